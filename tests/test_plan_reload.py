"""Plan files that are read again between calls: parsing in steps, the check of aliases, the started program."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
import tomllib
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_control import make_settings, new_call_id, place_call, run

from astertrack.plan import Plan, PlanBuilder, PlanError, build
from astertrack.plan.aliases import MAX_ALIASES
from astertrack.plan.files import MAX_STATEMENT_CHARS, parse_plan, read_plan
from astertrack.plan.model import KINDS, Alias, Choice, Exchange, Prefix, Reason, read_table
from astertrack.stepwise import run_to_end
from astertrack.versions import VersionId, VersionManager, VersionSettings, make_document, write_header
from astertrack.versions.model import FullVersionEncoder
from laboratory.plan_files import make_plan_text
from laboratory.stand_ins import BinaryNode, SipCaller, running_router, wait_until

ALIASES = 10_000
CALL_INTERVAL_S = 0.05
WAIT_MS = 1_000  # of the calls; the bound of the operators' pages is half a second more
GRACE_S = 0.5


def replace_file(path: Path, text: str) -> None:
    """Replace a file at once."""
    new = path.with_suffix(".new")
    new.write_text(text)
    new.replace(path)


def test_calls_are_answered_in_time_while_a_sighup_loads_a_plan_of_many_aliases(tmp_path: Path) -> None:
    # Guards against docs/incidents/1: the router served nothing while it read, checked and checked again the plan file.
    async def work() -> None:
        nodes = {n: await BinaryNode().start() for n in (1, 2)}
        path = tmp_path / "plan.toml"
        path.write_text(make_plan_text(1, 0))
        async with running_router(nodes, versions=make_settings(file=str(path))) as router:  # type: ignore[arg-type]
            sip = await SipCaller.connect(router.sip_port)
            replace_file(path, make_plan_text(2, ALIASES))
            router.process.send_signal(signal.SIGHUP)
            placed: dict[str, float] = {}
            answered: dict[str, float] = {}
            while "event=\"version in force\" version=1.2" not in router.log_path.read_text():
                call = new_call_id()
                sip.invite(call, f"{1 + len(placed) % 2}00", 1 + len(placed) % 2, WAIT_MS)
                placed[call] = time.monotonic()
                for _ in range(5):
                    await asyncio.sleep(CALL_INTERVAL_S / 5)
                    for other in set(sip.final_responses) - set(answered):
                        answered[other] = time.monotonic()
            await wait_until(lambda: set(placed) <= set(sip.final_responses))
            assert placed
            late = [call for call, at in placed.items()
                    if answered.get(call, time.monotonic()) - at > WAIT_MS / 1000 + GRACE_S]
            assert not late
            assert {sip.final_responses[call][0].status for call in placed} == {200}
            call, answer = await place_call(sip, "5000001")
            assert answer.status == 200
            assert nodes[2].request_counts[call]
    run(work)


def test_of_two_sighups_in_quick_succession_the_second_file_is_loaded_too(tmp_path: Path) -> None:
    async def work() -> None:
        nodes = {n: await BinaryNode().start() for n in (1, 2)}
        path = tmp_path / "plan.toml"
        path.write_text(make_plan_text(1, 0))
        async with running_router(nodes, versions=make_settings(file=str(path))) as router:  # type: ignore[arg-type]
            replace_file(path, make_plan_text(2, 3_000))
            router.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.02)
            replace_file(path, make_plan_text(3, 10))
            router.process.send_signal(signal.SIGHUP)
            await router.wait_for_log("version=1.3")
            router.process.send_signal(signal.SIGHUP)  # for a change of another file
            await router.wait_for_log("plan file unchanged")
    run(work)


def test_a_plan_file_does_not_end_a_version_that_is_being_received() -> None:
    # Guards against the loss of a version of the control service when a SIGHUP arrives while it is received.
    versions = VersionManager(VersionSettings("n0", probation_us=0), random.Random(1))
    own = build(iter([Exchange(1)]))
    received = build(iter([Exchange(1), Prefix("5", 1), Prefix("6", 1)]))
    document = make_document(VersionId(1, 3), received.records(), received.state)
    versions.receive_header(write_header(document.header), 0)
    versions.receive_lines(list(document.lines[:1]))
    versions.receive_validated(*encode(own, VersionId(1, 2)), 0)
    versions.receive_lines(list(document.lines[1:]))
    versions.receive_end(0)
    while versions.has_work:
        versions.run_step(0)
    assert versions.in_force is not None
    assert versions.in_force.id == VersionId(1, 3)
    assert versions.counts["versions_half_received"] == 0


def encode(plan: Plan, id: VersionId) -> tuple[Any, Plan, tuple[bytes, ...]]:
    """Return the header, the plan and the text of a full version."""
    encoder = FullVersionEncoder()
    for record in plan.records():
        encoder.add(record)
    header, text = encoder.finish(id, plan.state)
    return header, plan, text


def test_a_plan_file_behind_a_version_that_stalls_costs_no_time_and_is_accepted_once_that_ends() -> None:
    versions = VersionManager(VersionSettings("n0", probation_us=0), random.Random(1))
    plan = build(iter([Exchange(1)]))
    document = make_document(VersionId(1, 3), plan.records(), plan.state)
    versions.receive_header(write_header(document.header), 0)
    versions.receive_validated(*encode(plan, VersionId(1, 2)), 0)
    assert not versions.has_work  # otherwise the driver would call run_step() in every turn
    versions.stream_lost()
    assert versions.has_work
    while versions.run_step(0):
        pass
    assert versions.in_force is not None
    assert versions.in_force.id == VersionId(1, 2)


def test_a_text_in_pieces_has_the_header_of_the_document() -> None:
    plan = build(iter([Exchange(1), *(Prefix(f"5{n:03}", 1) for n in range(450))]))
    document = make_document(VersionId(2, 7), plan.records(), plan.state, in_force_ms=9)
    encoder = FullVersionEncoder()
    for record in plan.records():
        encoder.add(record)
    header, text = encoder.finish(VersionId(2, 7), plan.state, 9)
    assert header == document.header
    assert b"".join(text) == document.text()
    assert len(text) == 3


# ---- aliases


def test_the_work_of_checking_aliases_grows_with_their_number_and_not_with_its_square() -> None:
    # Guards against docs/incidents/1: each alias was compared with every other one.
    builder, count = PlanBuilder(), 500
    for n in range(count):
        builder.apply(Alias(f"6{n:04}", "5"))
        builder.apply(Alias(f"5{n:04}", "1"))
    calls: Counter[str] = Counter()

    def count_call(frame: Any, event: str, function: Any) -> None:
        calls[event] += event in ("call", "c_call")

    sys.setprofile(count_call)
    try:
        for _ in builder.validate():
            pass
    finally:
        sys.setprofile(None)
    assert sum(calls.values()) <= 50 * 2 * count


def longest_chain(aliases: dict[str, str]) -> int:
    """Return the length of the longest chain of aliases, or MAX_ALIASES + 1 if it is longer, by trying all of them."""
    def successors(digits: str) -> list[str]:
        to = aliases[digits]
        matching = [other for other in aliases if to.startswith(other)]
        return [*([max(matching, key=len)] if matching else []),
                *(other for other in aliases if other.startswith(to) and other != to)]

    def length_from(digits: str, depth: int) -> int:
        if depth > MAX_ALIASES:
            return 1
        return 1 + max((length_from(other, depth + 1) for other in set(successors(digits))), default=0)

    return min(MAX_ALIASES + 1, max((length_from(digits, 1) for digits in aliases), default=0))


@given(st.dictionaries(st.text("12", min_size=1, max_size=4), st.text("123", min_size=1, max_size=4), max_size=5))
def test_aliases_are_refused_exactly_if_they_form_a_loop_or_too_long_a_chain(aliases: dict[str, str]) -> None:
    too_long = longest_chain(aliases) > MAX_ALIASES
    builder = PlanBuilder()
    for digits, to in aliases.items():
        builder.apply(Alias(digits, to))
    if not too_long:
        for _ in builder.validate():
            pass
        return
    with pytest.raises(PlanError) as raised:
        for _ in builder.validate():
            pass
    assert raised.value.finding.reason is Reason.ALIAS_LOOP
    assert " -> " in raised.value.finding.expected


@pytest.mark.parametrize(("length", "is_accepted"), [(MAX_ALIASES, True), (MAX_ALIASES + 1, False)])
def test_a_chain_of_aliases_is_accepted_up_to_the_maximum(length: int, is_accepted: bool) -> None:
    aliases = [Alias(f"{n:x}", f"{n + 1:x}") for n in range(length)]
    if is_accepted:
        assert build(iter(aliases)).size == length
    else:
        with pytest.raises(PlanError, match=f"at most {MAX_ALIASES} aliases in a row: 0 -> 1 -> 2"):
            build(iter(aliases))


# ---- parsing in steps

TABLES = st.sampled_from([
    "[[prefix]]\ndigits = '5'\nexchange = 1\n",
    "[[prefix]]\n# a comment\n\ndigits = '''\n[[exchange]]'''\nexchange = 1\n",
    "  [[ choice ]]\r\n  exchange = 1\r\n  over = [\n[2, 3],\n  [4],\n]\n",
    "[[limit]]\nname = \"[[limit]]\"\nin_hand = 3\n",
    "[unmatched]\nrefuse = true\n",
    "[version]\nnumber = 7\n",
    "[choice.x]\ny = 1\n",
    "exchange = [{number = 1}, {number = 2}]\n",
    "[[exchange]]\nnumber = 3\nzone = 'a'\n",
    "['unmatched']\n",
    "[[prefix]\n",
    "note = '''\n[[x]]\n",
    "# [[alias]]\n",
    "\n",
    "[[alias]]\ndigits = '7'\nto = '" + "1" * 20 + "'  # " + "x" * MAX_STATEMENT_CHARS + "\n",
])


def parse_in_one_go(text: str) -> tuple[Any, list[Any]]:
    """Parse a plan file with one call of tomllib; return its version and its records by kind. Raises an exception."""
    raw = tomllib.loads(text)
    version = raw.pop("version", None)
    return version and version["number"], [read_table(kind, table, 0) for kind, content in sorted(raw.items())
                                           for table in ([content] if isinstance(content, dict) else content)]


@given(st.lists(TABLES, max_size=6))
def test_a_file_parsed_in_steps_gives_what_it_gives_in_one_go(tables: list[str]) -> None:
    text = "".join(tables)
    try:
        expected = parse_in_one_go(text)
    except (tomllib.TOMLDecodeError, PlanError, TypeError):
        with pytest.raises(PlanError):
            read_plan(text)
        return
    plan_file = read_plan(text)
    by_kind = sorted(plan_file.records, key=lambda record: str(record.__struct_config__.tag))  # a stable sort
    assert (plan_file.version and plan_file.version.number, by_kind) == expected


def test_only_long_statements_are_offloaded_and_an_error_names_the_line_of_the_file() -> None:
    short = "[[prefix]]\ndigits = '5'\nexchange = 1\n"
    assert all(step is None for step in parse_plan(short * 1_000))
    long = "prefix = [\n" + "{digits = '5', exchange = 1},\n" * 1_000 + "]\n"
    steps = parse_plan(long)
    offload = next(steps)
    assert offload is not None
    assert len(run_to_end(parse_plan(long)).records) == 1_000
    with pytest.raises(PlanError, match="line 302"):
        read_plan(short * 100 + "[[prefix]]\ndigits = 5x\n" + short * 100)


def test_a_choice_with_every_group_on_a_line_of_its_own_is_parsed_in_steps() -> None:
    text = "[[choice]]\nover = [\n" + "[1],\n" * 8 + "]\n[[exchange]]\nnumber = 1\n"
    assert all(step is None for step in parse_plan(text))
    records = read_plan(text).records
    assert isinstance(records[0], Choice)
    assert len(records[0].over) == 8
    assert {type(record) for record in records} == {Choice, KINDS["exchange"]}
