"""The state machine of versions on a clock of the test's own: order, checks, instants, probation, the store."""

from __future__ import annotations

import contextlib
import hashlib
import itertools
import random
import weakref
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from astertrack.plan import Drop, Plan, build
from astertrack.plan.model import Barred, Choice, Exchange, Prefix
from astertrack.store.versions import CURRENT_POINTER, MAX_CHAIN_DELTAS, PREVIOUS_POINTER, VersionFiles
from astertrack.versions import (
    CallOutcome,
    Document,
    Report,
    RequestFullVersion,
    SendReport,
    SetCurrentVersion,
    StoreVersion,
    VersionId,
    VersionManager,
    VersionSettings,
    make_document,
    write_header,
)
from astertrack.versions.offering import Catalogue, ReportLog, difference, read_reports, write_reports
from astertrack.versions.probation import MAX_EVALUATIONS, Probation, Verdict
from astertrack.versions.reports import MAX_BATCH_REPORTS, MAX_PENDING_REPORTS, Outbox

SECOND = 1_000_000
EXCHANGES = [Exchange(1, "casablanca"), Exchange(2, "fes"), Exchange(3, "fes")]


def plan(*records: Any) -> Plan:
    """A plan of these and the exchanges."""
    return build(iter([*EXCHANGES, *records]))


def document(number: int, made: Plan, epoch: int = 1, in_force_ms: int = 0, base: Plan | None = None,
             of: int = 0) -> Document:
    """A version's document: full, or with a base a delta."""
    if base is None:
        return make_document(VersionId(epoch, number), made.records(), made.state, in_force_ms=in_force_ms)
    return make_document(VersionId(epoch, number), difference(base, made), made.state, of, in_force_ms)


class Control:
    """Feeds a Versions and keeps what it asks for."""

    def __init__(self, probation_us: int = 0, keep: bool = False, octets: int = 1 << 20) -> None:
        self.versions = VersionManager(VersionSettings("n1", "fes", probation_us, octets, keep), random.Random(1))
        self.now = 0
        self.actions: list[Any] = []

    def send(self, sent: Document, end: bool = True, lines: list[bytes] | None = None, piece: int = 3) -> None:
        """Send a version as the wire brings it, and check it."""
        self.versions.receive_header(write_header(sent.header), self.now)
        given = list(sent.lines) if lines is None else lines
        for at in range(0, len(given), piece):
            self.versions.receive_lines(given[at:at + piece])
            self.versions.run_step(self.now)
        if end:
            self.versions.receive_end(self.now)
        self.check()

    def check(self) -> None:
        """Check all that can be checked."""
        while self.versions.run_step(self.now):
            pass
        self.actions += self.versions.take_actions()

    def pass_time(self, to_us: int) -> None:
        """Let time pass in steps of 100 ms."""
        while self.now < to_us:
            self.now = min(to_us, self.now + 100_000)
            self.versions.tick(self.now)
            self.check()

    def reports(self, number: int | None = None) -> list[str]:
        """What was reported, of one version or as "number stand" of all."""
        told = [a.report for a in self.actions if isinstance(a, SendReport)]
        return [r.stand if number is not None else f"{r.number} {r.stand}" for r in told
                if number is None or r.number == number]

    def reason(self, number: int) -> str:
        """Why a version was refused last."""
        return next(a.report.reason for a in reversed(self.actions)
                    if isinstance(a, SendReport) and a.report.number == number and a.report.reason)

    @property
    def in_force(self) -> str:
        """Which version is in force now."""
        version = self.versions.activate_due(self.now)
        return str(version.id) if version is not None else ""


def test_a_good_version_is_accepted_and_in_force_and_a_bad_one_changes_nothing() -> None:
    control = Control()
    control.send(document(1, plan(Prefix("5", 1))))
    assert control.reports(1) == ["accepted", "in-force", "settled"]
    broken = document(2, plan(Prefix("6", 2)))
    spoilt = b"x" * len(broken.lines[0])
    control.send(broken, lines=[spoilt, *broken.lines[1:]])
    assert control.reason(2) == "digest"  # spoilt on its way: that a line is no record is not the service's fault
    assert control.in_force == "1.1"
    assert control.versions.in_force is not None
    assert control.versions.in_force.plan.target("55") == 1
    control.send(broken)
    assert control.in_force == "1.2"


def test_a_version_wrong_by_schema_or_by_meaning_names_the_record_and_field() -> None:
    control = Control()
    good = plan()
    for number, line, reason, path in (
            (1, b'{"kind":"prefix","digits":"5","exchange":9}', "unknown-exchange", "exchange"),
            (2, b'{"kind":"prefix","digits":5,"exchange":1}', "schema", "digits"),
            (3, b'{"kind":"choice","exchange":1,"over":[[1]]}', "route-through-itself", "over[0][0]"),
            (4, b'\xff', "schema", "")):
        sent = document(number, good)
        raw = Document(sent.header, (*sent.lines, line))
        whole = make_raw(number, raw.lines)
        control.send(whole)
        told = next(a.report for a in reversed(control.actions) if isinstance(a, SendReport))
        assert (told.reason, told.path, told.line) == (reason, path, len(raw.lines))
        assert control.in_force == ""


def make_raw(number: int, lines: tuple[bytes, ...], state: int = 0) -> Document:
    """A document of lines that need not be sound, under a head that fits them."""
    text = b"".join(line + b"\n" for line in lines)
    header = document(number, plan()).header.__class__(1, number, len(lines), len(text),
                                                       hashlib.sha256(text).hexdigest(), f"{state:064x}")
    return Document(header, lines)


def test_versions_out_of_order_and_doubled_and_with_two_contents() -> None:
    control = Control()
    plans = {n: plan(Prefix("5", n)) for n in (1, 2, 3)}
    control.send(document(2, plans[2]))
    control.send(document(1, plans[1]))  # late
    assert control.reason(1) == "stale"
    assert control.in_force == "1.2"
    control.send(document(2, plans[2]))  # twice: the verdict again, under a new number of its report
    assert control.reports(2) == ["accepted", "in-force", "settled", "settled"]
    control.send(document(2, plans[3]))  # the same number with another plan
    assert control.reason(2) == "two-contents"
    control.send(document(3, plans[3]))
    assert control.in_force == "1.3"
    sequence = [a.report.seq for a in control.actions if isinstance(a, SendReport)]
    assert sequence == sorted(set(sequence))


def test_a_new_epoch_may_begin_with_lower_numbers_and_an_older_one_is_refused() -> None:
    control = Control()
    control.send(document(40, plan(Prefix("5", 1))))
    control.send(document(1, plan(Prefix("5", 2)), epoch=2))
    assert control.in_force == "2.1"
    control.send(document(41, plan(Prefix("5", 3)), epoch=1))
    assert control.reason(41) == "old-epoch"
    control.send(document(2, plan(Prefix("5", 3)), epoch=2, base=plan(Prefix("5", 1)), of=40))
    assert control.reason(2) == "base-missing"  # version 40 of another epoch is no base
    assert control.in_force == "2.1"


def test_a_delta_whose_base_is_missing_asks_once_for_a_full_version() -> None:
    control = Control()
    first, second, third = (plan(*(Prefix(f"{n}", 1) for n in range(5, 5 + m))) for m in (1, 2, 3))
    control.send(document(1, first))
    control.send(document(3, third, base=second, of=2))
    control.send(document(3, third, base=second, of=2))
    assert control.reason(3) == "base-missing"
    assert sum(isinstance(a, RequestFullVersion) for a in control.actions) == 1
    control.send(document(3, third))  # the full one comes under the same number
    assert control.in_force == "1.3"
    control.send(document(4, second, base=third, of=3))
    assert control.in_force == "1.4"
    assert control.versions.in_force is not None
    assert control.versions.in_force.plan.state == second.state


def test_a_delta_on_a_version_that_is_still_being_checked_waits_for_it() -> None:
    control = Control()
    first, second = plan(Prefix("5", 1)), plan(Prefix("5", 2), Prefix("6", 2))
    for sent in (document(1, first), document(2, second, base=first, of=1)):
        control.versions.receive_header(write_header(sent.header), 0)
        control.versions.receive_lines(list(sent.lines))
        control.versions.receive_end(0)
    control.check()
    assert control.reports() == ["1 accepted", "1 in-force", "1 settled", "2 accepted", "1 superseded", "2 in-force",
                                 "2 settled"]


def test_a_delta_that_makes_another_plan_than_the_service_has_is_refused_and_a_full_one_asked() -> None:
    control = Control()
    first = plan(Prefix("5", 1))
    control.send(document(1, first))
    wrong = make_document(VersionId(1, 2), [Drop("prefix", "5")], first.state, 1)
    control.send(wrong)
    assert control.reason(2) == "state"
    assert any(isinstance(a, RequestFullVersion) for a in control.actions)
    control.send(document(2, first))
    assert control.in_force == "1.2"


def test_what_came_in_part_is_dropped_and_may_come_again() -> None:
    control = Control()
    sent = document(1, plan(*(Prefix(f"5{n}", 1) for n in range(9))))
    for cut in range(len(sent.lines)):
        control.send(sent, end=False, lines=list(sent.lines[:cut]))
        control.versions.stream_lost()
        control.check()
        assert control.in_force == ""
        assert not control.versions.has_work
    assert control.versions.counts["versions_half_received"] == len(sent.lines)
    control.send(sent)
    assert control.in_force == "1.1"


def test_lengths_and_digests_that_do_not_fit_are_refused_and_too_large_ones_are_not_even_kept() -> None:
    control = Control(octets=2_000)
    sent = document(1, plan(*(Prefix(f"5{n}", 1) for n in range(9))))
    control.send(sent, lines=list(sent.lines[:-1]))
    assert control.reason(1) == "length"
    control.send(sent, lines=[*sent.lines, sent.lines[0]])
    assert control.reason(1) == "length"
    control.send(sent, lines=[*sent.lines[1:], sent.lines[0]])
    assert control.reason(1) == "digest"
    large = document(2, plan(*(Prefix(f"{n}", 1) for n in range(1000, 1999))))
    control.send(large)
    assert control.reason(2) == "too-large"
    assert control.versions.unchecked_bytes == 0
    control.versions.receive_header(b"{", 0)
    control.versions.receive_header(b'{"epoch":1}', 0)
    assert control.versions.counts["versions_heads_unreadable"] == 2
    control.send(sent)
    assert control.in_force == "1.1"


def test_a_version_is_in_force_from_its_instant_exactly() -> None:
    control = Control()
    control.send(document(1, plan(Prefix("5", 1))))
    control.send(document(2, plan(Prefix("5", 2)), in_force_ms=5_000))
    assert control.in_force == "1.1"
    before, at = control.versions.activate_due(5 * SECOND - 1), control.versions.activate_due(5 * SECOND)
    assert before is not None
    assert at is not None
    assert (str(before.id), str(at.id), at.since_us) == ("1.1", "1.2", 5 * SECOND)
    told = [a.report for a in [*control.actions, *control.versions.take_actions()] if isinstance(a, SendReport)]
    assert [(r.number, r.at_us) for r in told if r.stand == "in-force"] == [(1, 0), (2, 5 * SECOND)]


def test_a_newer_version_for_an_earlier_instant_takes_the_place_of_one_that_waits() -> None:
    control = Control()
    control.send(document(1, plan()))
    control.send(document(2, plan(Prefix("5", 2)), in_force_ms=9_000))
    control.send(document(3, plan(Prefix("5", 3)), in_force_ms=4_000))
    assert control.reports(2) == ["accepted", "superseded"]
    control.pass_time(10 * SECOND)
    assert control.in_force == "1.3"


def test_a_flood_is_passed_over_but_for_what_matters() -> None:
    control = Control()
    plans = [plan(*(Prefix(f"{n}", 1 + n % 3) for n in range(m))) for m in range(1, 101)]
    for number, made in enumerate(plans, 1):  # all at once, without a turn to check in
        sent = document(number, made)
        control.versions.receive_header(write_header(sent.header), 0)
        control.versions.receive_lines(list(sent.lines))
        control.versions.receive_end(0)
    control.check()
    assert control.in_force == "1.100"
    verdicts = {n: control.reports(n)[0] for n in range(1, 101)}
    assert set(verdicts.values()) == {"accepted", "refused"}
    assert all(control.reason(n) == "superseded" for n, v in verdicts.items() if v == "refused")


@given(st.data())
def test_whatever_comes_in_whatever_order_every_whole_version_gets_one_verdict(data: Any) -> None:
    made = {n: plan(*(Prefix(f"5{k}", 1 + (n + k) % 3) for k in range(n))) for n in range(1, 6)}
    control = Control()
    forces: list[VersionId] = []
    for at in range(data.draw(st.integers(1, 12))):
        number = data.draw(st.integers(1, 5))
        base = data.draw(st.sampled_from([None, *range(1, 6)]))
        instant = data.draw(st.sampled_from([0, 0, 1, 3])) and control.now // 1000 + 2_000
        sent = document(number, made[number], 1, instant, made[base] if base else None, base or 0)
        before = len(control.reports())
        if data.draw(st.booleans()):
            control.send(sent)
            assert len(control.reports()) > before
        else:
            cut = data.draw(st.integers(0, max(0, len(sent.lines) - 1)))
            control.send(sent, end=False, lines=list(sent.lines[:cut]))
            control.versions.stream_lost()
        control.pass_time(control.now + data.draw(st.sampled_from([0, SECOND])))
        current = control.versions.activate_due(control.now)
        if current is not None and (not forces or forces[-1] != current.id):
            assert all(current.id > earlier for earlier in forces)
            assert current.plan.state == made[current.id.number].state
            forces.append(current.id)
        del at
    for number in range(1, 6):
        assert control.reports(number).count("accepted") <= 1 or control.versions.counts["versions_repeated"]


# ---- probation


def calls(control: Control, count: int, failing: float, number: str, zone: str, source: random.Random) -> None:
    """Calls to a number under the version in force, some of which fail."""
    for _ in range(count):
        version = control.versions.activate_due(control.now)
        assert version is not None
        control.versions.record_outcome(
            version.id, CallOutcome(number, 1, "a", zone, control.now, source.random() < failing))


def on_probation(seed: int, changed: Any) -> tuple[Control, random.Random]:
    """A settled version with a minute of calls behind it, and the next one just in force."""
    source, control = random.Random(seed), Control(10 * SECOND)
    first = [Prefix("5", 1), Prefix("6", 2)]
    control.send(document(1, plan(*first)))
    for _ in range(40):
        control.pass_time(control.now + SECOND)
        calls(control, 5, 0.1, "51", "fes", source)
        calls(control, 5, 0.1, "61", "fes", source)
    control.send(document(2, plan(*changed)))
    assert control.in_force == "1.2"
    return control, source


def play(control: Control, source: random.Random, touched: float, untouched: float, rate: int = 5) -> list[str]:
    """Ten seconds of calls and more, and what was reported of the new version."""
    for at in range(350):
        control.pass_time(control.now + SECOND // 10)
        count = rate * (at + 1) // 10 - rate * at // 10
        calls(control, count, touched, "51", "fes", source)
        calls(control, count, untouched, "61", "fes", source)
    return control.reports(2)


@pytest.mark.parametrize("seed", range(8))
def test_a_version_that_makes_its_calls_fail_is_rolled_back_by_itself(seed: int) -> None:
    control, source = on_probation(seed, [Prefix("5", 3), Prefix("6", 2)])
    assert play(control, source, 0.7, 0.1) == ["accepted", "in-force", "rolled-back"]
    assert control.in_force == "1.1"
    assert control.reason(2) == "probation"
    told = next(a.report for a in control.actions if isinstance(a, SendReport) and a.report.stand == "rolled-back")
    assert told.to == "1.1"
    control.send(document(2, plan(Prefix("5", 3), Prefix("6", 2))))  # sent again: it stays taken back
    assert control.in_force == "1.1"
    control.send(document(3, plan(Prefix("5", 1), Prefix("6", 1))))
    assert control.in_force == "1.3"


@pytest.mark.parametrize("seed", range(8))
def test_a_cut_zone_or_a_surge_that_hits_all_calls_alike_is_not_blamed_on_a_version(seed: int) -> None:
    control, source = on_probation(seed, [Prefix("5", 3), Prefix("6", 2)])
    assert play(control, source, 0.6, 0.6, rate=8) == ["accepted", "in-force", "settled"]


def test_a_version_that_touches_all_is_not_blamed_while_its_zone_is_disturbed_or_calls_surge() -> None:
    everything = [Prefix("5", 3), Prefix("6", 3)]
    blamed, source = on_probation(1, everything)
    assert "rolled-back" in play(blamed, source, 0.6, 0.6)
    cut, source = on_probation(1, everything)
    cut.versions.mark_disturbed("fes")
    assert "rolled-back" not in play(cut, source, 0.6, 0.6)
    surge, source = on_probation(1, everything)
    assert "rolled-back" not in play(surge, source, 0.6, 0.6, rate=10)


def test_a_harmless_version_is_taken_back_no_more_often_than_stated() -> None:
    source, back = random.Random(9), 0
    for _ in range(1_500):
        probation = Probation(0, 10 * SECOND)
        for at, touched in itertools.product(range(150), (False, True)):
            probation.add_before(CallOutcome("5", 1, "a", "z", at * SECOND // 4, source.random() < 0.2), touched)
        for at in range(1, MAX_EVALUATIONS + 1):
            for touched in (False, True):
                for _ in range(15):
                    probation.add_since(CallOutcome("5", 1, "a", "z", 0, source.random() < 0.2), touched)
            if probation.evaluate(at * 2 * SECOND)[0] is Verdict.WORSE:
                back += 1
                break
    assert back <= 6  # 1.5 are expected at most; 6 or fewer come with probability 0.999


def test_a_version_without_calls_to_judge_by_stays_and_says_so() -> None:
    control = Control(10 * SECOND)
    control.send(document(1, plan(Prefix("5", 1))))
    control.send(document(2, plan(Prefix("5", 2))))
    control.pass_time(40 * SECOND)
    assert control.reports(2) == ["accepted", "in-force", "settled"]
    assert control.versions.counts["versions_undecided"] == 1


def test_a_superseded_plan_is_freed_once_its_last_call_is_over() -> None:
    control = Control()
    control.send(document(1, plan(Prefix("5", 1))))
    assert control.versions.in_force is not None
    calls_plan: Any = [control.versions.in_force.plan]  # as a call holds it
    left = weakref.ref(calls_plan[0])
    control.send(document(2, plan(Prefix("5", 2))))
    assert left() is not None
    assert calls_plan[0].target("55") == 1
    calls_plan.clear()
    assert left() is None  # at once: nothing in the machine holds it


# ---- reports and the service's side


def report(seq: int, stand: str = "accepted") -> Report:
    """A report."""
    return Report("n1", "b", seq, 1, seq, stand, 0)


def test_reports_are_told_until_heard_later_each_time_and_never_two_batches_at_once() -> None:
    outbox = Outbox(random.Random(1))
    for seq in range(MAX_BATCH_REPORTS + 5):
        outbox.add(report(seq))
    first = outbox.take_batch(0)
    assert len(first) == MAX_BATCH_REPORTS
    assert outbox.take_batch(0) == ()
    outbox.delivery_failed(0)
    gaps = []
    now = 0
    for _ in range(8):
        assert outbox.take_batch(outbox.not_before_us - 1) == ()
        now = outbox.not_before_us
        assert outbox.take_batch(now) == first
        outbox.delivery_failed(now)
        gaps.append(outbox.not_before_us - now)
    assert gaps[-1] > 4 * gaps[0]
    assert outbox.take_batch(outbox.not_before_us) == first
    outbox.acknowledge(first)
    assert len(outbox.take_batch(0)) == 5
    full = Outbox(random.Random(1))
    full.add(report(0, "refused"))
    for seq in range(1, MAX_PENDING_REPORTS + 10):
        full.add(report(seq))
    assert len(full) == MAX_PENDING_REPORTS
    assert full.dropped == 10
    assert full.take_batch(0)[0].stand == "refused"


def test_a_report_heard_twice_counts_once() -> None:
    report_log = ReportLog()
    batch = [report(1), report(2, "in-force")]
    assert report_log.add(read_reports(write_reports(batch))) == batch
    assert report_log.add(batch) == []
    assert report_log.repeated == 2
    assert [(r.number, r.stand) for r in report_log.latest_reports()] == [(2, "in-force"), (1, "accepted")]
    for wrong in (b"{", b"[1]", b"\xff"):
        with pytest.raises(ValueError, match=r"."):
            read_reports(wrong)


def test_the_service_sends_a_delta_where_that_is_less_and_a_full_version_where_it_is_asked() -> None:
    catalogue = Catalogue()
    many = [Prefix(f"5{n:03}", 1) for n in range(100)]
    catalogue.publish(VersionId(1, 1), plan(*many))
    catalogue.publish(VersionId(1, 2), plan(*many, Prefix("6", 2)))
    for after, full, kind in (("", False, "full"), ("1.1", False, "delta"), ("1.1", True, "full"),
                              ("0.9", False, "full"), ("nonsense", False, "full")):
        sent = catalogue.document_for(after, full)
        assert sent is not None
        assert (sent.header.kind, sent.header.number) == (kind, 2)
    assert catalogue.document_for("1.2", False) is None
    with pytest.raises(ValueError, match="after"):
        catalogue.publish(VersionId(1, 2), plan())
    catalogue.publish(VersionId(1, 3), plan(Barred("9")))
    changed = catalogue.document_for("1.2", False)
    assert changed is not None
    assert changed.header.kind == "full"  # a delta would be longer


@given(st.lists(st.sampled_from([Prefix("5", 1), Prefix("5", 2), Barred("5"), Choice(1), Choice(1, over=[[2]]),
                                 Prefix("55", 3)]), max_size=4, unique_by=lambda r: (type(r), r.key())),
       st.lists(st.sampled_from([Prefix("5", 1), Barred("5"), Choice(1, over=[[3]]), Prefix("55", 3)]), max_size=4,
                unique_by=lambda r: (type(r), r.key())))
def test_the_difference_of_two_plans_leads_from_one_to_the_other(old: Any, new: Any) -> None:
    def made(records: Any) -> Plan:
        kept = {r.key() if not isinstance(r, Choice) else f"choice {r.key()}": r for r in records}
        return plan(*kept.values())
    before, after = made(old), made(new)
    assert build(iter(difference(before, after)), before).state == after.state


# ---- the store


class Power(Exception):
    """It goes."""


def keep(files: VersionFiles, sent: Document) -> bool:
    """Write a document."""
    return files.save(sent.header, (sent.text(),))


def kept(files: VersionFiles) -> str:
    """Which version a start finds, and that it is whole."""
    found, _ = VersionFiles(files.folder).load()
    if found is None:
        return ""
    assert found.plan.target("5") == found.id.number % 3 + 1
    return str(found.id)


def test_whenever_the_power_goes_the_old_version_or_the_new_one_is_there_whole(tmp_path: Path) -> None:
    steps: list[str] = []
    counting = VersionFiles(tmp_path / "count", steps.append)
    plans = {n: plan(Prefix("5", n % 3 + 1)) for n in range(1, 5)}

    def write(files: VersionFiles, number: int) -> None:
        base = plans[number - 1] if number > 1 else None
        assert keep(files, document(number, plans[number], base=base, of=number - 1))
        assert files.set_current(VersionId(1, number))
    for number in (1, 2, 3):
        write(counting, number)
    steps.clear()
    write(counting, 4)
    assert {"write", "fsync", "rename", "sync folder"} <= set(steps)
    found = set()
    for crash in range(len(steps) + 1):
        left = [crash]

        def step(name: str, left: list[int] = left) -> None:
            left[0] -= 1
            if left[0] < 0:
                raise Power(name)
        files = VersionFiles(tmp_path / f"crash-{crash}")
        for number in (1, 2, 3):
            write(files, number)
        files._step = step
        with contextlib.suppress(Power):
            write(files, 4)
        found.add(kept(files))
        assert kept(files) in ("1.3", "1.4")
    assert found == {"1.3", "1.4"}


def test_a_spoilt_file_falls_back_to_the_version_before_and_says_so(tmp_path: Path) -> None:
    files = VersionFiles(tmp_path)
    for number in (1, 2):
        assert keep(files, document(number, plan(Prefix("5", number % 3 + 1))))
        assert files.set_current(VersionId(1, number))
    (tmp_path / "1.2.full").write_bytes((tmp_path / "1.2.full").read_bytes()[:-5])
    found, wrong = VersionFiles(tmp_path).load()
    assert found is not None
    assert str(found.id) == "1.1"
    assert "1.2.full" in wrong[0]
    (tmp_path / CURRENT_POINTER).write_bytes(b"{")
    (tmp_path / PREVIOUS_POINTER).unlink()
    assert VersionFiles(tmp_path).load()[0] is None


def test_a_restored_version_serves_and_what_comes_next_builds_on_it(tmp_path: Path) -> None:
    first, second = plan(Prefix("5", 1)), plan(Prefix("5", 2))
    control = Control(keep=True)
    files = VersionFiles(tmp_path)
    for sent in (document(1, first), document(2, second, base=first, of=1)):
        control.send(sent)
    for action in control.actions:
        if isinstance(action, StoreVersion):
            assert files.save(action.header, action.text)
        elif isinstance(action, SetCurrentVersion):
            assert files.set_current(action.id)
    found, wrong = VersionFiles(tmp_path).load()
    assert not wrong
    assert found is not None
    again = Control()
    again.versions.restore(found.id, found.plan, 0)
    assert again.in_force == "1.2"
    again.send(document(2, second))  # the service repeats it
    assert "refused" not in again.reports(2)
    again.send(document(3, first, base=second, of=2))
    assert again.in_force == "1.3"


def test_a_delta_on_what_is_not_kept_is_not_kept_and_long_chains_are_told(tmp_path: Path) -> None:
    files = VersionFiles(tmp_path)
    plans = [plan(Prefix("5", n % 3 + 1)) for n in range(MAX_CHAIN_DELTAS + 3)]
    assert not keep(files, document(2, plans[2], base=plans[1], of=1))
    assert not files.set_current(VersionId(1, 2))
    assert keep(files, document(1, plans[1]))
    for number in range(2, MAX_CHAIN_DELTAS + 2):
        assert keep(files, document(number, plans[number], base=plans[number - 1], of=number - 1))
    assert files.chain_too_long(VersionId(1, MAX_CHAIN_DELTAS + 1))
    assert not files.chain_too_long(VersionId(1, MAX_CHAIN_DELTAS))
