"""Tests of the routing plan: the prefix trie against a dict, the records, and the evaluation of calls."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from astertrack.plan import (
    Drop,
    Plan,
    PlanAdmission,
    PlanBuilder,
    PlanError,
    PlanEvaluator,
    PlanRefusal,
    Reason,
    RouteQuery,
    build,
    read_line,
)
from astertrack.plan.files import read_plan
from astertrack.plan.model import (
    Alias,
    Barred,
    Choice,
    Exchange,
    Limit,
    Prefix,
    Range,
    RetryAdvice,
    Unmatched,
    write_line,
)
from astertrack.plan.ranges import covering_prefixes
from astertrack.plan.trie import BURST_THRESHOLD, PrefixTrie

DIGITS = st.text("0123", min_size=1, max_size=6)
# p: put, three times as often as r: remove and v: freeze a version and edit it further.
EDIT_STEPS = st.lists(st.tuples(st.sampled_from("ppprv"), DIGITS, st.integers(0, 3)), max_size=400)
EXCHANGES = [Exchange(n, "fes" if n % 2 else "casablanca") for n in range(6)]


def scan_longest_prefix(entries: dict[str, Any], number: str) -> tuple[int, Any] | None:
    """Find the longest prefix by a scan over a dict."""
    return next(((length, entries[number[:length]]) for length in range(len(number), -1, -1)
                 if number[:length] in entries), None)


@given(EDIT_STEPS, st.lists(DIGITS, max_size=20))
def test_trie_matches_a_dict_and_versions_are_immutable(steps: Any, numbers: list[str]) -> None:
    model: dict[str, int] = {}
    versions: list[tuple[PrefixTrie[int], dict[str, int]]] = []
    editor: Any = PrefixTrie[int]().edit()
    for action, digits, value in steps:
        if action == "p":
            assert editor.put(digits, value) == model.get(digits)
            model[digits] = value
        elif action == "r":
            assert editor.remove(digits) == model.pop(digits, None)
        else:
            versions.append((editor.freeze(), dict(model)))
            editor = versions[-1][0].edit()
    versions.append((editor.freeze(), model))
    for trie, entries in versions:
        assert len(trie) == len(entries)
        assert dict(trie.items()) == entries
        for number in (*numbers, *entries):
            assert trie.match(number) == scan_longest_prefix(entries, number)
            assert trie.get(number) == entries.get(number)
            assert dict(trie.items(number)) == {k: v for k, v in entries.items() if k.startswith(number)}


def test_containers_burst_and_versions_share_unchanged_nodes() -> None:
    source = random.Random(3)
    keys = {"".join(source.choices("0123456789", k=7)) for _ in range(BURST_THRESHOLD * 40)}
    editor: Any = PrefixTrie[int]().edit()
    for key in keys:
        editor.put(key, 1)
    first = editor.freeze()
    editor = first.edit()
    editor.put("1234567", 2)
    second = editor.freeze()
    old, new = first._root.children, second._root.children
    assert sum(old[digit] is new[digit] for digit in old) >= len(old) - 1


@given(st.integers(1, 5), st.data())
def test_range_prefixes_cover_exactly_its_numbers(length: int, data: Any) -> None:
    first = data.draw(st.integers(0, 10**length - 1))
    last = data.draw(st.integers(first, 10**length - 1))
    prefixes = covering_prefixes(f"{first:0{length}}", f"{last:0{length}}")
    assert len(prefixes) <= 18 * length  # as MAX_RANGE_PREFIXES assumes
    covered = [number for prefix in prefixes for number in range(int(prefix.ljust(length, "0")),
                                                                 int(prefix.ljust(length, "9")) + 1)]
    assert sorted(covered) == list(range(first, last + 1))


def record_strategy() -> st.SearchStrategy[Any]:
    """Records that are valid on their own, but not necessarily together."""
    exchange = st.integers(0, 6)
    return st.one_of(
        st.builds(Prefix, DIGITS, exchange), st.builds(Barred, DIGITS, st.none() | st.integers(0, 100)),
        st.builds(Alias, DIGITS, DIGITS),
        st.builds(Choice, st.none() | exchange, service=st.sampled_from(["*", "a"]),
                  zone=st.sampled_from(["*", "fes"]),
                  direct=st.booleans(), over=st.lists(st.lists(exchange, max_size=2), max_size=2),
                  never=st.lists(exchange, max_size=2), any_tandem=st.booleans()),
        st.builds(Limit, st.sampled_from(["x", "y"]), st.none() | exchange, in_hand=st.integers(0, 3)),
        st.builds(RetryAdvice, st.sampled_from(["barred", "limit"]), st.integers(0, 1000)),
        st.builds(Unmatched, st.booleans()))


@given(st.lists(record_strategy(), max_size=30), st.lists(record_strategy() | st.builds(
    Drop, st.sampled_from(["prefix", "barred", "alias", "choice", "limit"]), DIGITS), max_size=12))
def test_delta_results_in_the_plan_built_from_scratch(base: list[Any], delta: list[Any]) -> None:
    plan = Plan()
    for record in (*EXCHANGES, *base):
        try:
            plan = build(iter([record]), plan)
        except PlanError:
            continue
    before = list(plan.records())
    try:
        after = build(iter(delta), plan)
    except PlanError as error:
        assert error.finding.expected
        assert list(plan.records()) == before
        return
    rebuilt = build(iter(list(after.records())))
    assert (rebuilt.state, rebuilt.size) == (after.state, after.size)
    assert list(rebuilt.records()) == list(after.records())
    assert after.size == len(list(after.records()))


@given(record_strategy())
def test_records_round_trip(record: Any) -> None:
    assert read_line(write_line(record), 1) == record


@pytest.mark.parametrize(("line", "reason", "path"), [
    (b"{", Reason.SCHEMA, ""),
    (b'{"kind":"prefix","digits":"5x","exchange":1}', Reason.SCHEMA, "digits"),
    (b'{"kind":"prefix","digits":"5","exchange":"1"}', Reason.SCHEMA, "exchange"),
    (b'{"kind":"prefix","digits":"5","exchange":1,"more":1}', Reason.SCHEMA, ""),
    (b'{"kind":"choice","exchange":1,"over":[[2],[-1]]}', Reason.SCHEMA, "over[1][0]"),
    (b'{"kind":"prefix","digits":"\xc3","exchange":1}', Reason.SCHEMA, ""),
    (b'{"kind":"nonsense"}', Reason.SCHEMA, "kind"),
    (b"[" * 100_000, Reason.SCHEMA, "")])
def test_malformed_line_is_refused_with_field_and_expectation(line: bytes, reason: Reason, path: str) -> None:
    with pytest.raises(PlanError) as raised:
        read_line(line, 7)
    assert (raised.value.finding.reason, raised.value.finding.path) == (reason, path)
    assert raised.value.finding.line == 7
    assert raised.value.finding.expected


@pytest.mark.parametrize(("lines", "reason", "position"), [
    ([Prefix("5", 9)], Reason.UNKNOWN_EXCHANGE, 1),
    ([Prefix("5", 1), Prefix("5", 2)], Reason.DUPLICATE, 2),
    ([Prefix("5", 1), Barred("5")], Reason.DUPLICATE, 2),
    ([Range("50", "59", 1), Prefix("5", 1)], Reason.DUPLICATE, 2),
    ([Range("59", "50", 1)], Reason.SCHEMA, 1),
    ([Choice(1, over=[[2], [1]])], Reason.ROUTE_THROUGH_ITSELF, 1),
    ([Choice(1, over=[[2], [9]])], Reason.UNKNOWN_EXCHANGE, 1),
    ([Choice(1, never=[1])], Reason.ROUTE_THROUGH_ITSELF, 1),
    ([Choice(1, over=[[2]], never=[2])], Reason.DUPLICATE, 1),
    ([Choice(1, direct=False, any_tandem=False)], Reason.NO_ROUTE, 1),
    ([Limit("x")], Reason.SCHEMA, 1),
    ([RetryAdvice("whim", 1)], Reason.SCHEMA, 1),
    ([Alias("12", "13"), Alias("13", "12")], Reason.ALIAS_LOOP, 0),
    ([Alias("12", "123")], Reason.ALIAS_LOOP, 0),
    ([Alias("1", "22"), Alias("223", "1")], Reason.ALIAS_LOOP, 0),
    ([Alias(f"{n}", f"{n + 1}") for n in range(10, 30)], Reason.ALIAS_LOOP, 0),
    ([Drop("prefix", "5")], Reason.SCHEMA, 1)])
def test_inconsistent_plan_is_refused_with_the_record(lines: list[Any], reason: Reason, position: int) -> None:
    with pytest.raises(PlanError) as raised:
        build(iter([*EXCHANGES, *lines]))
    assert raised.value.finding.reason is reason
    assert raised.value.finding.line == (position + len(EXCHANGES) if position else 0)


def test_delta_cannot_remove_missing_records_or_referenced_exchanges() -> None:
    base = build(iter([*EXCHANGES, Prefix("5", 1), Choice(2, over=[[3]])]))
    for drop, reason in ((Drop("prefix", "6"), Reason.MISSING), (Drop("barred", "5"), Reason.MISSING),
                         (Drop("exchange", "1"), Reason.UNKNOWN_EXCHANGE),
                         (Drop("exchange", "3"), Reason.UNKNOWN_EXCHANGE), (Drop("whim", "1"), Reason.SCHEMA)):
        with pytest.raises(PlanError) as raised:
            build(iter([drop]), base)
        assert raised.value.finding.reason is reason
    after = build(iter([Drop("prefix", "5"), Drop("exchange", "1")]), base)
    assert after.target("55") is None
    assert base.target("55") == 1


def test_longest_prefix_matches_and_aliases_are_followed() -> None:
    plan = build(iter([*EXCHANGES, Prefix("5", 1), Prefix("555", 2), Range("60", "64", 3), Barred("666"),
                       Alias("7", "55"), Alias("0", "7")]))
    assert [plan.target(number) for number in ("51", "5551", "556")] == [1, 2, 1]
    assert plan.target("75") == 2  # 75 -> 555
    assert plan.target("05") == 2  # 05 -> 75 -> 555
    assert isinstance(plan.target("6661"), Barred)
    assert isinstance(plan.target("631"), Range)
    assert plan.target("65") is None


def test_most_specific_choice_determines_the_order_of_routes() -> None:
    plan = build(iter([*EXCHANGES, Choice(never=[4]), Choice(1, over=[[2], [3]], any_tandem=False),
                       Choice(1, service="save", direct=False, over=[[5]]), Choice(1, zone="fes", over=[[3]])]))
    assert plan.route(2, "read", "casablanca").never == {4}
    assert plan.route(1, "read", "casablanca").tiers == (frozenset({1}), frozenset({2}), frozenset({3}))
    assert plan.route(1, "read", "fes").tiers == (frozenset({1}), frozenset({3}), None)
    saved = plan.route(1, "save", "fes")
    assert saved.tiers == (frozenset({5}), None)
    assert not saved.permits(1)  # the direct route is excluded, also by the tier "any other"
    assert saved.permits(2)


def make_evaluator() -> PlanEvaluator:
    """A PlanEvaluator with its own random source."""
    return PlanEvaluator("fes", 0, random.Random(1))


def test_call_is_routed_barred_or_sent_to_the_destination_of_its_caller() -> None:
    plan = build(iter([*EXCHANGES, Prefix("5", 1), Barred("9", 500), RetryAdvice("unmatched", 300, 0.5)]))
    strict = build(iter([Unmatched(True)]), plan)
    matched = make_evaluator().admit(plan, RouteQuery("55", 2, "a", False), 0)
    assert isinstance(matched, PlanAdmission)
    assert matched.route.dest == 1
    barred = make_evaluator().admit(plan, RouteQuery("99", 2, "a", False), 0)
    assert isinstance(barred, PlanRefusal)
    assert barred.cause == "barred"
    assert 500_000 <= barred.wait_us <= 625_000
    unmatched = make_evaluator().admit(plan, RouteQuery("33", 2, "a", False), 0)
    assert isinstance(unmatched, PlanAdmission)
    assert unmatched.route.dest == 2
    for refused in (make_evaluator().admit(plan, RouteQuery("33", -1, "a", False), 0),
                    make_evaluator().admit(strict, RouteQuery("33", 2, "a", False), 0)):
        assert isinstance(refused, PlanRefusal)
        assert refused.cause == "unmatched"
        assert 300_000 <= refused.wait_us <= 450_000
    transit = make_evaluator().admit(strict, RouteQuery("99", 3, "a", True), 0)
    assert isinstance(transit, PlanAdmission)
    assert transit.route.dest == 3


def test_limit_counts_calls_until_release_across_versions() -> None:
    plan = build(iter([*EXCHANGES, Limit("two", 1, in_hand=2, wait_ms=100)]))
    tighter = build(iter([Limit("two", 1, in_hand=1)]), plan)
    evaluator, query = make_evaluator(), RouteQuery("5", 1, "a", False)
    calls = [evaluator.admit(plan, query, 0) for _ in range(3)]
    assert [isinstance(call, PlanAdmission) for call in calls] == [True, True, False]
    assert isinstance(evaluator.admit(plan, RouteQuery("5", 2, "a", False), 0), PlanAdmission)
    assert isinstance(evaluator.admit(plan, RouteQuery("5", 1, "a", True), 0), PlanAdmission)
    assert isinstance(calls[0], PlanAdmission)
    evaluator.release(calls[0])
    assert isinstance(evaluator.admit(tighter, query, 0), PlanRefusal)  # one call has not been released
    assert isinstance(calls[1], PlanAdmission)
    evaluator.release(calls[1])
    assert isinstance(evaluator.admit(tighter, query, 0), PlanAdmission)


@given(st.lists(st.integers(0, 400_000), min_size=1, max_size=80), st.integers(1, 10), st.integers(1, 5))
def test_rate_limit_is_never_exceeded_by_more_than_its_burst(gaps: list[int], rate: int, burst: int) -> None:
    plan = build(iter([Limit("rate", per_s=rate, burst=burst)]))
    evaluator, now, admitted = make_evaluator(), 0, []
    for gap in gaps:
        now += gap
        if isinstance(evaluator.admit(plan, RouteQuery("5", 1, "a", False), now), PlanAdmission):
            admitted.append(now)
    for index, first in enumerate(admitted):
        for count, last in enumerate(admitted[index:], 1):
            assert count <= burst + rate * (last - first) / 1e6 + 1e-6
    if now >= 10_000_000:
        assert admitted


def test_refusal_by_one_limit_takes_no_tokens_from_another() -> None:
    plan = build(iter([Limit("a", per_s=1.0), Limit("b", in_hand=0)]))
    evaluator = make_evaluator()
    assert isinstance(evaluator.admit(plan, RouteQuery("5", 1, "a", False), 0), PlanRefusal)
    only_a = build(iter([Limit("a", per_s=1.0)]))
    assert isinstance(evaluator.admit(only_a, RouteQuery("5", 1, "a", False), 0), PlanAdmission)


def test_plan_file_errors_name_the_table_and_field() -> None:
    text = """
        [version]
        number = 7
        [[exchange]]
        number = 1
        [[prefix]]
        digits = "55"
        exchange = 1
        [unmatched]
        refuse = true
        """
    plan_file = read_plan(text)
    assert plan_file.version is not None
    assert plan_file.version.number == 7
    assert build(iter(plan_file.records)).target("551") == 1
    for invalid, path in (("[[prefix]]\ndigits = 5\nexchange = 1", "prefix[0].digits"), ("[whim]\na = 1", "whim"),
                        ("[version]\nnumber = 0", "version.number"), ("prefix = 3", "prefix"), ("= 1", "")):
        with pytest.raises(PlanError) as raised:
            read_plan(invalid)
        assert raised.value.finding.path == path


def test_validation_can_pause_between_records_and_steps() -> None:
    builder = PlanBuilder()
    for record in EXCHANGES:
        builder.apply(record)
    for n in range(500):
        builder.apply(Alias(f"1{n:03}", f"2{n:03}"))
    assert sum(1 for _ in builder.validate()) >= 1000  # two steps per alias
    assert builder.finish().size == 506
