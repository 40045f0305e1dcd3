"""The routing plan: its trie against a dict, its records, and what it says of a call."""

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
from astertrack.plan.compiled import covering_prefixes
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
from astertrack.plan.trie import BURST_THRESHOLD, PrefixTrie

DIGITS = st.text("0123", min_size=1, max_size=6)
STEPS = st.lists(st.tuples(st.sampled_from("ppprv"), DIGITS, st.integers(0, 3)), max_size=400)
EXCHANGES = [Exchange(n, "fes" if n % 2 else "casablanca") for n in range(6)]


def longest(entries: dict[str, Any], number: str) -> tuple[int, Any] | None:
    """What a scan over a dict says."""
    return next(((n, entries[number[:n]]) for n in range(len(number), -1, -1) if number[:n] in entries), None)


@given(STEPS, st.lists(DIGITS, max_size=20))
def test_the_trie_agrees_with_a_dict_and_no_version_changes_once_it_is_made(steps: Any, numbers: list[str]) -> None:
    model: dict[str, int] = {}
    versions: list[tuple[PrefixTrie[int], dict[str, int]]] = []
    editor: Any = PrefixTrie[int]().edit()
    for what, digits, value in steps:
        if what == "p":
            assert editor.put(digits, value) == model.get(digits)
            model[digits] = value
        elif what == "r":
            assert editor.remove(digits) == model.pop(digits, None)
        else:
            versions.append((editor.freeze(), dict(model)))
            editor = versions[-1][0].edit()
    versions.append((editor.freeze(), model))
    for trie, entries in versions:
        assert len(trie) == len(entries)
        assert dict(trie.items()) == entries
        for number in (*numbers, *entries):
            assert trie.match(number) == longest(entries, number)
            assert trie.get(number) == entries.get(number)
            assert dict(trie.items(number)) == {k: v for k, v in entries.items() if k.startswith(number)}


def test_containers_burst_and_what_is_shared_by_two_versions_is_one_object() -> None:
    draw = random.Random(3)
    keys = {"".join(draw.choices("0123456789", k=7)) for _ in range(BURST_THRESHOLD * 40)}
    editor: Any = PrefixTrie[int]().edit()
    for key in keys:
        editor.put(key, 1)
    first = editor.freeze()
    editor = first.edit()
    editor.put("1234567", 2)
    second = editor.freeze()
    above, below = first._root.children, second._root.children
    assert sum(above[d] is below[d] for d in above) >= len(above) - 1


@given(st.integers(1, 5), st.data())
def test_a_range_is_its_numbers_and_no_others(length: int, data: Any) -> None:
    first = data.draw(st.integers(0, 10**length - 1))
    last = data.draw(st.integers(first, 10**length - 1))
    found = covering_prefixes(f"{first:0{length}}", f"{last:0{length}}")
    assert len(found) <= 18 * length
    covered = [n for prefix in found for n in range(int(prefix.ljust(length, "0")),
                                                    int(prefix.ljust(length, "9")) + 1)]
    assert sorted(covered) == list(range(first, last + 1))


def records() -> st.SearchStrategy[Any]:
    """Records that are sound by themselves; together they may not be."""
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


@given(st.lists(records(), max_size=30), st.lists(records() | st.builds(
    Drop, st.sampled_from(["prefix", "barred", "alias", "choice", "limit"]), DIGITS), max_size=12))
def test_a_delta_makes_the_plan_that_its_records_make_afresh(base: list[Any], delta: list[Any]) -> None:
    plan = Plan()
    for record in (*EXCHANGES, *base):
        try:
            plan = build(iter([record]), plan)
        except PlanError:
            continue
    before = list(plan.records())
    try:
        after = build(iter(delta), plan)
    except PlanError as refused:
        assert refused.finding.expected
        assert list(plan.records()) == before
        return
    afresh = build(iter(list(after.records())))
    assert (afresh.state, afresh.size) == (after.state, after.size)
    assert list(afresh.records()) == list(after.records())
    assert after.size == len(list(after.records()))


@given(records())
def test_a_record_reads_back_as_it_was_written(record: Any) -> None:
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
def test_a_line_that_is_no_record_names_the_field_and_what_was_expected(line: bytes, reason: Reason,
                                                                        path: str) -> None:
    with pytest.raises(PlanError) as caught:
        read_line(line, 7)
    assert (caught.value.finding.reason, caught.value.finding.path) == (reason, path)
    assert caught.value.finding.line == 7
    assert caught.value.finding.expected


@pytest.mark.parametrize(("lines", "reason", "at"), [
    ([Prefix("5", 9)], Reason.UNKNOWN_EXCHANGE, 1),
    ([Prefix("5", 1), Prefix("5", 2)], Reason.DOUBLED, 2),
    ([Prefix("5", 1), Barred("5")], Reason.DOUBLED, 2),
    ([Range("50", "59", 1), Prefix("5", 1)], Reason.DOUBLED, 2),
    ([Range("59", "50", 1)], Reason.SCHEMA, 1),
    ([Choice(1, over=[[2], [1]])], Reason.ROUTE_THROUGH_ITSELF, 1),
    ([Choice(1, over=[[2], [9]])], Reason.UNKNOWN_EXCHANGE, 1),
    ([Choice(1, never=[1])], Reason.ROUTE_THROUGH_ITSELF, 1),
    ([Choice(1, over=[[2]], never=[2])], Reason.DOUBLED, 1),
    ([Choice(1, direct=False, any_tandem=False)], Reason.NO_ROUTE, 1),
    ([Limit("x")], Reason.SCHEMA, 1),
    ([RetryAdvice("whim", 1)], Reason.SCHEMA, 1),
    ([Alias("12", "13"), Alias("13", "12")], Reason.ALIAS_LOOP, 0),
    ([Alias("12", "123")], Reason.ALIAS_LOOP, 0),
    ([Alias("1", "22"), Alias("223", "1")], Reason.ALIAS_LOOP, 0),
    ([Alias(f"{n}", f"{n + 1}") for n in range(10, 30)], Reason.ALIAS_LOOP, 0),
    ([Drop("prefix", "5")], Reason.SCHEMA, 1)])
def test_a_plan_that_means_nothing_is_refused_with_its_record(lines: list[Any], reason: Reason, at: int) -> None:
    with pytest.raises(PlanError) as caught:
        build(iter([*EXCHANGES, *lines]))
    assert caught.value.finding.reason is reason
    assert caught.value.finding.line == (at + len(EXCHANGES) if at else 0)


def test_a_delta_may_not_take_out_what_is_not_there_nor_an_exchange_that_others_name() -> None:
    base = build(iter([*EXCHANGES, Prefix("5", 1), Choice(2, over=[[3]])]))
    for drop, reason in ((Drop("prefix", "6"), Reason.MISSING), (Drop("barred", "5"), Reason.MISSING),
                         (Drop("exchange", "1"), Reason.UNKNOWN_EXCHANGE),
                         (Drop("exchange", "3"), Reason.UNKNOWN_EXCHANGE), (Drop("whim", "1"), Reason.SCHEMA)):
        with pytest.raises(PlanError) as caught:
            build(iter([drop]), base)
        assert caught.value.finding.reason is reason
    after = build(iter([Drop("prefix", "5"), Drop("exchange", "1")]), base)
    assert after.target("55") is None
    assert base.target("55") == 1


def test_the_longest_prefix_holds_and_aliases_are_followed() -> None:
    plan = build(iter([*EXCHANGES, Prefix("5", 1), Prefix("555", 2), Range("60", "64", 3), Barred("666"),
                       Alias("7", "55"), Alias("0", "7")]))
    assert [plan.target(n) for n in ("51", "5551", "556")] == [1, 2, 1]
    assert plan.target("75") == 2  # 75 is 555
    assert plan.target("05") == 2  # 05 is 75 is 555
    assert isinstance(plan.target("6661"), Barred)
    assert isinstance(plan.target("631"), Range)
    assert plan.target("65") is None


def test_the_most_exact_choice_holds_and_says_the_order_of_ways() -> None:
    plan = build(iter([*EXCHANGES, Choice(never=[4]), Choice(1, over=[[2], [3]], any_tandem=False),
                       Choice(1, service="save", direct=False, over=[[5]]), Choice(1, zone="fes", over=[[3]])]))
    assert plan.route(2, "read", "casablanca").never == {4}
    assert plan.route(1, "read", "casablanca").tiers == (frozenset({1}), frozenset({2}), frozenset({3}))
    assert plan.route(1, "read", "fes").tiers == (frozenset({1}), frozenset({3}), None)
    saved = plan.route(1, "save", "fes")
    assert saved.tiers == (frozenset({5}), None)
    assert not saved.permits(1)  # the direct way is not to be taken, and "any other" does not bring it back
    assert saved.permits(2)


def evaluator() -> PlanEvaluator:
    """A PlanEvaluator with a random source of its own."""
    return PlanEvaluator("fes", 0, random.Random(1))


def test_a_call_is_resolved_barred_or_left_to_its_callers_destination() -> None:
    plan = build(iter([*EXCHANGES, Prefix("5", 1), Barred("9", 500), RetryAdvice("unmatched", 300, 0.5)]))
    strict = build(iter([Unmatched(True)]), plan)
    passed = evaluator().admit(plan, RouteQuery("55", 2, "a", False), 0)
    assert isinstance(passed, PlanAdmission)
    assert passed.route.dest == 1
    turned = evaluator().admit(plan, RouteQuery("99", 2, "a", False), 0)
    assert isinstance(turned, PlanRefusal)
    assert turned.cause == "barred"
    assert 500_000 <= turned.wait_us <= 625_000
    kept = evaluator().admit(plan, RouteQuery("33", 2, "a", False), 0)
    assert isinstance(kept, PlanAdmission)
    assert kept.route.dest == 2
    for refused in (evaluator().admit(plan, RouteQuery("33", -1, "a", False), 0),
                    evaluator().admit(strict, RouteQuery("33", 2, "a", False), 0)):
        assert isinstance(refused, PlanRefusal)
        assert refused.cause == "unmatched"
        assert 300_000 <= refused.wait_us <= 450_000
    transit = evaluator().admit(strict, RouteQuery("99", 3, "a", True), 0)
    assert isinstance(transit, PlanAdmission)
    assert transit.route.dest == 3


def test_a_limit_counts_calls_until_they_are_over_also_across_versions() -> None:
    plan = build(iter([*EXCHANGES, Limit("two", 1, in_hand=2, wait_ms=100)]))
    tighter = build(iter([Limit("two", 1, in_hand=1)]), plan)
    here, asked = evaluator(), RouteQuery("5", 1, "a", False)
    calls = [here.admit(plan, asked, 0) for _ in range(3)]
    assert [isinstance(c, PlanAdmission) for c in calls] == [True, True, False]
    assert isinstance(here.admit(plan, RouteQuery("5", 2, "a", False), 0), PlanAdmission)
    assert isinstance(here.admit(plan, RouteQuery("5", 1, "a", True), 0), PlanAdmission)
    assert isinstance(calls[0], PlanAdmission)
    here.release(calls[0])
    assert isinstance(here.admit(tighter, asked, 0), PlanRefusal)  # one is still in hand
    assert isinstance(calls[1], PlanAdmission)
    here.release(calls[1])
    assert isinstance(here.admit(tighter, asked, 0), PlanAdmission)


@given(st.lists(st.integers(0, 400_000), min_size=1, max_size=80), st.integers(1, 10), st.integers(1, 5))
def test_a_rate_is_never_passed_by_more_than_its_burst(gaps: list[int], rate: int, burst: int) -> None:
    plan = build(iter([Limit("rate", per_s=rate, burst=burst)]))
    here, now, admitted = evaluator(), 0, []
    for gap in gaps:
        now += gap
        if isinstance(here.admit(plan, RouteQuery("5", 1, "a", False), now), PlanAdmission):
            admitted.append(now)
    for at, first in enumerate(admitted):
        for count, last in enumerate(admitted[at:], 1):
            assert count <= burst + rate * (last - first) / 1e6 + 1e-6
    if now >= 10_000_000:
        assert admitted


def test_a_refusal_by_one_limit_takes_nothing_of_another() -> None:
    plan = build(iter([Limit("a", per_s=1.0), Limit("b", in_hand=0)]))
    here = evaluator()
    assert isinstance(here.admit(plan, RouteQuery("5", 1, "a", False), 0), PlanRefusal)
    only = build(iter([Limit("a", per_s=1.0)]))
    assert isinstance(here.admit(only, RouteQuery("5", 1, "a", False), 0), PlanAdmission)


def test_a_file_is_read_and_its_errors_name_the_table_and_field() -> None:
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
    read = read_plan(text)
    assert read.version is not None
    assert read.version.number == 7
    assert build(iter(read.records)).target("551") == 1
    for wrong, path in (("[[prefix]]\ndigits = 5\nexchange = 1", "prefix[0].digits"), ("[whim]\na = 1", "whim"),
                        ("[version]\nnumber = 0", "version.number"), ("prefix = 3", "prefix"), ("= 1", "")):
        with pytest.raises(PlanError) as caught:
            read_plan(wrong)
        assert caught.value.finding.path == path


def test_checking_stops_between_any_two_records_and_pieces() -> None:
    builder = PlanBuilder()
    for record in EXCHANGES:
        builder.apply(record)
    for n in range(500):
        builder.apply(Alias(f"1{n:03}", f"2{n:03}"))
    assert sum(1 for _ in builder.validate()) >= 1000
    assert builder.finish().size == 506
