"""Tests of plan versions with a simulated clock: order, validation, activation, probation, reports, and the store."""

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
    """A plan of these records and the exchanges."""
    return build(iter([*EXCHANGES, *records]))


def make_version(number: int, new: Plan, epoch: int = 1, in_force_ms: int = 0, base: Plan | None = None,
                 base_number: int = 0) -> Document:
    """The document of a version: a full one or, if a base is given, a delta on it."""
    if base is None:
        return make_document(VersionId(epoch, number), new.records(), new.state, in_force_ms=in_force_ms)
    return make_document(VersionId(epoch, number), difference(base, new), new.state, base_number, in_force_ms)


class VersionHarness:
    """Drives a VersionManager and collects its actions."""

    def __init__(self, probation_us: int = 0, has_store: bool = False, max_bytes: int = 1 << 20) -> None:
        self.manager = VersionManager(VersionSettings("n1", "fes", probation_us, max_bytes, has_store),
                                      random.Random(1))
        self.now = 0  # in microseconds
        self.actions: list[Any] = []

    def send(self, document: Document, end: bool = True, lines: list[bytes] | None = None,
             chunk_lines: int = 3) -> None:
        """Deliver a version in chunks as the control wire does, and validate it."""
        self.manager.receive_header(write_header(document.header), self.now)
        sent_lines = list(document.lines) if lines is None else lines
        for start in range(0, len(sent_lines), chunk_lines):
            self.manager.receive_lines(sent_lines[start:start + chunk_lines])
            self.manager.run_step(self.now)
        if end:
            self.manager.receive_end(self.now)
        self.validate()

    def validate(self) -> None:
        """Run all pending validation, and collect the actions."""
        while self.manager.run_step(self.now):
            pass
        self.actions += self.manager.take_actions()

    def pass_time(self, to_us: int) -> None:
        """Advance the clock in steps of 100 ms."""
        while self.now < to_us:
            self.now = min(to_us, self.now + 100_000)
            self.manager.tick(self.now)
            self.validate()

    def reports(self, number: int | None = None) -> list[str]:
        """The reported states of one version, or "number state" of all versions."""
        reports = [action.report for action in self.actions if isinstance(action, SendReport)]
        return [report.stand if number is not None else f"{report.number} {report.stand}" for report in reports
                if number is None or report.number == number]

    def reason(self, number: int) -> str:
        """The reason of the latest refusal of a version."""
        return next(action.report.reason for action in reversed(self.actions)
                    if isinstance(action, SendReport) and action.report.number == number and action.report.reason)

    @property
    def in_force(self) -> str:
        """The version in force now, or an empty string."""
        version = self.manager.activate_due(self.now)
        return str(version.id) if version is not None else ""


def test_valid_version_takes_force_and_corrupt_version_changes_nothing() -> None:
    harness = VersionHarness()
    harness.send(make_version(1, plan(Prefix("5", 1))))
    assert harness.reports(1) == ["accepted", "in-force", "settled"]
    second = make_version(2, plan(Prefix("6", 2)))
    corrupt_line = b"x" * len(second.lines[0])
    harness.send(second, lines=[corrupt_line, *second.lines[1:]])
    assert harness.reason(2) == "digest"  # corrupted in transit: the malformed line is not the service's fault
    assert harness.in_force == "1.1"
    assert harness.manager.in_force is not None
    assert harness.manager.in_force.plan.target("55") == 1
    harness.send(second)
    assert harness.in_force == "1.2"


def test_refusal_of_an_invalid_version_names_the_record_and_field() -> None:
    harness = VersionHarness()
    valid = plan()
    for number, line, reason, path in (
            (1, b'{"kind":"prefix","digits":"5","exchange":9}', "unknown-exchange", "exchange"),
            (2, b'{"kind":"prefix","digits":5,"exchange":1}', "schema", "digits"),
            (3, b'{"kind":"choice","exchange":1,"over":[[1]]}', "route-through-itself", "over[0][0]"),
            (4, b'\xff', "schema", "")):
        version = make_version(number, valid)
        raw = Document(version.header, (*version.lines, line))
        document = make_raw_document(number, raw.lines)
        harness.send(document)
        report = next(action.report for action in reversed(harness.actions) if isinstance(action, SendReport))
        assert (report.reason, report.path, report.line) == (reason, path, len(raw.lines))
        assert harness.in_force == ""


def make_raw_document(number: int, lines: tuple[bytes, ...], state: int = 0) -> Document:
    """A document of lines that need not be valid, with a matching header."""
    text = b"".join(line + b"\n" for line in lines)
    header = make_version(number, plan()).header.__class__(1, number, len(lines), len(text),
                                                       hashlib.sha256(text).hexdigest(), f"{state:064x}")
    return Document(header, lines)


def test_late_repeated_and_conflicting_versions() -> None:
    harness = VersionHarness()
    plans = {n: plan(Prefix("5", n)) for n in (1, 2, 3)}
    harness.send(make_version(2, plans[2]))
    harness.send(make_version(1, plans[1]))  # late
    assert harness.reason(1) == "stale"
    assert harness.in_force == "1.2"
    harness.send(make_version(2, plans[2]))  # repeated: the same verdict, in a report with a new sequence number
    assert harness.reports(2) == ["accepted", "in-force", "settled", "settled"]
    harness.send(make_version(2, plans[3]))  # same number, different plan
    assert harness.reason(2) == "two-contents"
    harness.send(make_version(3, plans[3]))
    assert harness.in_force == "1.3"
    sequence = [action.report.seq for action in harness.actions if isinstance(action, SendReport)]
    assert sequence == sorted(set(sequence))


def test_new_epoch_may_start_with_lower_numbers_and_old_epoch_is_refused() -> None:
    harness = VersionHarness()
    harness.send(make_version(40, plan(Prefix("5", 1))))
    harness.send(make_version(1, plan(Prefix("5", 2)), epoch=2))
    assert harness.in_force == "2.1"
    harness.send(make_version(41, plan(Prefix("5", 3)), epoch=1))
    assert harness.reason(41) == "old-epoch"
    harness.send(make_version(2, plan(Prefix("5", 3)), epoch=2, base=plan(Prefix("5", 1)), base_number=40))
    assert harness.reason(2) == "base-missing"  # version 40 of another epoch is not a valid base
    assert harness.in_force == "2.1"


def test_delta_with_missing_base_requests_a_full_version_once() -> None:
    harness = VersionHarness()
    first, second, third = (plan(*(Prefix(f"{digit}", 1) for digit in range(5, 5 + count))) for count in (1, 2, 3))
    harness.send(make_version(1, first))
    harness.send(make_version(3, third, base=second, base_number=2))
    harness.send(make_version(3, third, base=second, base_number=2))
    assert harness.reason(3) == "base-missing"
    assert sum(isinstance(action, RequestFullVersion) for action in harness.actions) == 1
    harness.send(make_version(3, third))  # the full version has the same number
    assert harness.in_force == "1.3"
    harness.send(make_version(4, second, base=third, base_number=3))
    assert harness.in_force == "1.4"
    assert harness.manager.in_force is not None
    assert harness.manager.in_force.plan.state == second.state


def test_delta_waits_for_the_validation_of_its_base() -> None:
    harness = VersionHarness()
    first, second = plan(Prefix("5", 1)), plan(Prefix("5", 2), Prefix("6", 2))
    for document in (make_version(1, first), make_version(2, second, base=first, base_number=1)):
        harness.manager.receive_header(write_header(document.header), 0)
        harness.manager.receive_lines(list(document.lines))
        harness.manager.receive_end(0)
    harness.validate()
    assert harness.reports() == ["1 accepted", "1 in-force", "1 settled", "2 accepted", "1 superseded", "2 in-force",
                                 "2 settled"]


def test_delta_with_a_different_result_is_refused_and_a_full_version_requested() -> None:
    harness = VersionHarness()
    first = plan(Prefix("5", 1))
    harness.send(make_version(1, first))
    mismatched = make_document(VersionId(1, 2), [Drop("prefix", "5")], first.state, 1)
    harness.send(mismatched)
    assert harness.reason(2) == "state"
    assert any(isinstance(action, RequestFullVersion) for action in harness.actions)
    harness.send(make_version(2, first))
    assert harness.in_force == "1.2"


def test_incomplete_version_is_dropped_and_may_be_sent_again() -> None:
    harness = VersionHarness()
    document = make_version(1, plan(*(Prefix(f"5{n}", 1) for n in range(9))))
    for line_count in range(len(document.lines)):
        harness.send(document, end=False, lines=list(document.lines[:line_count]))
        harness.manager.stream_lost()
        harness.validate()
        assert harness.in_force == ""
        assert not harness.manager.has_work
    assert harness.manager.counts["versions_half_received"] == len(document.lines)
    harness.send(document)
    assert harness.in_force == "1.1"


def test_wrong_length_or_digest_is_refused_and_too_large_versions_are_not_buffered() -> None:
    harness = VersionHarness(max_bytes=2_000)
    document = make_version(1, plan(*(Prefix(f"5{n}", 1) for n in range(9))))
    harness.send(document, lines=list(document.lines[:-1]))
    assert harness.reason(1) == "length"
    harness.send(document, lines=[*document.lines, document.lines[0]])
    assert harness.reason(1) == "length"
    harness.send(document, lines=[*document.lines[1:], document.lines[0]])
    assert harness.reason(1) == "digest"
    large = make_version(2, plan(*(Prefix(f"{n}", 1) for n in range(1000, 1999))))
    harness.send(large)
    assert harness.reason(2) == "too-large"
    assert harness.manager.unchecked_bytes == 0
    harness.manager.receive_header(b"{", 0)
    harness.manager.receive_header(b'{"epoch":1}', 0)
    assert harness.manager.counts["versions_heads_unreadable"] == 2
    harness.send(document)
    assert harness.in_force == "1.1"


def test_version_is_in_force_exactly_from_its_activation_time() -> None:
    harness = VersionHarness()
    harness.send(make_version(1, plan(Prefix("5", 1))))
    harness.send(make_version(2, plan(Prefix("5", 2)), in_force_ms=5_000))
    assert harness.in_force == "1.1"
    previous, current = harness.manager.activate_due(5 * SECOND - 1), harness.manager.activate_due(5 * SECOND)
    assert previous is not None
    assert current is not None
    assert (str(previous.id), str(current.id), current.since_us) == ("1.1", "1.2", 5 * SECOND)
    reports = [action.report for action in [*harness.actions, *harness.manager.take_actions()]
               if isinstance(action, SendReport)]
    assert [(sent.number, sent.at_us) for sent in reports if sent.stand == "in-force"] == [(1, 0), (2, 5 * SECOND)]


def test_newer_version_with_an_earlier_activation_time_supersedes_a_scheduled_one() -> None:
    harness = VersionHarness()
    harness.send(make_version(1, plan()))
    harness.send(make_version(2, plan(Prefix("5", 2)), in_force_ms=9_000))
    harness.send(make_version(3, plan(Prefix("5", 3)), in_force_ms=4_000))
    assert harness.reports(2) == ["accepted", "superseded"]
    harness.pass_time(10 * SECOND)
    assert harness.in_force == "1.3"


def test_flood_of_versions_is_skipped_up_to_the_latest() -> None:
    harness = VersionHarness()
    plans = [plan(*(Prefix(f"{n}", 1 + n % 3) for n in range(count))) for count in range(1, 101)]
    for number, new in enumerate(plans, 1):  # all at once, without validation in between
        document = make_version(number, new)
        harness.manager.receive_header(write_header(document.header), 0)
        harness.manager.receive_lines(list(document.lines))
        harness.manager.receive_end(0)
    harness.validate()
    assert harness.in_force == "1.100"
    verdicts = {number: harness.reports(number)[0] for number in range(1, 101)}
    assert set(verdicts.values()) == {"accepted", "refused"}
    assert all(harness.reason(number) == "superseded" for number, verdict in verdicts.items() if verdict == "refused")


@given(st.data())
def test_every_complete_version_gets_one_verdict_in_any_order(data: Any) -> None:
    plans = {count: plan(*(Prefix(f"5{digit}", 1 + (count + digit) % 3) for digit in range(count)))
             for count in range(1, 6)}
    harness = VersionHarness()
    activated: list[VersionId] = []
    for index in range(data.draw(st.integers(1, 12))):
        number = data.draw(st.integers(1, 5))
        base = data.draw(st.sampled_from([None, *range(1, 6)]))
        # In force at once, or in 2 s.
        in_force_ms = data.draw(st.sampled_from([0, 0, 1, 3])) and harness.now // 1000 + 2_000
        document = make_version(number, plans[number], 1, in_force_ms, plans[base] if base else None, base or 0)
        report_count = len(harness.reports())
        if data.draw(st.booleans()):
            harness.send(document)
            assert len(harness.reports()) > report_count
        else:
            line_count = data.draw(st.integers(0, max(0, len(document.lines) - 1)))
            harness.send(document, end=False, lines=list(document.lines[:line_count]))
            harness.manager.stream_lost()
        harness.pass_time(harness.now + data.draw(st.sampled_from([0, SECOND])))
        current = harness.manager.activate_due(harness.now)
        if current is not None and (not activated or activated[-1] != current.id):
            assert all(current.id > earlier for earlier in activated)
            assert current.plan.state == plans[current.id.number].state
            activated.append(current.id)
        del index
    for number in range(1, 6):
        assert harness.reports(number).count("accepted") <= 1 or harness.manager.counts["versions_repeated"]


# ---- probation


def add_calls(harness: VersionHarness, count: int, failure_ratio: float, number: str, zone: str,
              source: random.Random) -> None:
    """Record outcomes of calls to a number under the version in force, a fraction of which fails."""
    for _ in range(count):
        version = harness.manager.activate_due(harness.now)
        assert version is not None
        harness.manager.record_outcome(
            version.id, CallOutcome(number, 1, "a", zone, harness.now, source.random() < failure_ratio))


def start_probation(seed: int, changed: Any) -> tuple[VersionHarness, random.Random]:
    """Settle a version with 40 s of calls, and put the next one in force."""
    source, harness = random.Random(seed), VersionHarness(10 * SECOND)
    first = [Prefix("5", 1), Prefix("6", 2)]
    harness.send(make_version(1, plan(*first)))
    for _ in range(40):
        harness.pass_time(harness.now + SECOND)
        add_calls(harness, 5, 0.1, "51", "fes", source)
        add_calls(harness, 5, 0.1, "61", "fes", source)
    harness.send(make_version(2, plan(*changed)))
    assert harness.in_force == "1.2"
    return harness, source


def run_calls(harness: VersionHarness, source: random.Random, affected: float, unaffected: float,
              rate: int = 5) -> list[str]:
    """Record 35 s of calls with these failure ratios; return the reported states of the new version."""
    for index in range(350):
        harness.pass_time(harness.now + SECOND // 10)
        count = rate * (index + 1) // 10 - rate * index // 10
        add_calls(harness, count, affected, "51", "fes", source)
        add_calls(harness, count, unaffected, "61", "fes", source)
    return harness.reports(2)


@pytest.mark.parametrize("seed", range(8))
def test_version_that_makes_calls_fail_is_rolled_back(seed: int) -> None:
    harness, source = start_probation(seed, [Prefix("5", 3), Prefix("6", 2)])
    assert run_calls(harness, source, 0.7, 0.1) == ["accepted", "in-force", "rolled-back"]
    assert harness.in_force == "1.1"
    assert harness.reason(2) == "probation"
    rollback = next(action.report for action in harness.actions
                    if isinstance(action, SendReport) and action.report.stand == "rolled-back")
    assert rollback.to == "1.1"
    harness.send(make_version(2, plan(Prefix("5", 3), Prefix("6", 2))))  # sent again: it remains rolled back
    assert harness.in_force == "1.1"
    harness.send(make_version(3, plan(Prefix("5", 1), Prefix("6", 1))))
    assert harness.in_force == "1.3"


@pytest.mark.parametrize("seed", range(8))
def test_failures_and_a_surge_of_all_calls_alike_cause_no_rollback(seed: int) -> None:
    harness, source = start_probation(seed, [Prefix("5", 3), Prefix("6", 2)])
    assert run_calls(harness, source, 0.6, 0.6, rate=8) == ["accepted", "in-force", "settled"]


def test_version_that_affects_all_calls_is_not_rolled_back_in_a_disturbed_zone_or_a_surge() -> None:
    all_changed = [Prefix("5", 3), Prefix("6", 3)]
    undisturbed, source = start_probation(1, all_changed)
    assert "rolled-back" in run_calls(undisturbed, source, 0.6, 0.6)
    disturbed, source = start_probation(1, all_changed)
    disturbed.manager.mark_disturbed("fes")
    assert "rolled-back" not in run_calls(disturbed, source, 0.6, 0.6)
    surge, source = start_probation(1, all_changed)
    assert "rolled-back" not in run_calls(surge, source, 0.6, 0.6, rate=10)


def test_harmless_versions_are_rolled_back_no_more_often_than_alpha() -> None:
    source, rollbacks = random.Random(9), 0
    for _ in range(1_500):
        probation = Probation(0, 10 * SECOND)
        for index, affected in itertools.product(range(150), (False, True)):
            probation.add_before(CallOutcome("5", 1, "a", "z", index * SECOND // 4, source.random() < 0.2), affected)
        for index in range(1, MAX_EVALUATIONS + 1):
            for affected in (False, True):
                for _ in range(15):
                    probation.add_since(CallOutcome("5", 1, "a", "z", 0, source.random() < 0.2), affected)
            if probation.evaluate(index * 2 * SECOND)[0] is Verdict.WORSE:
                rollbacks += 1
                break
    assert rollbacks <= 6  # at most 1.5 are expected; the probability of 6 or fewer is 0.999


def test_version_without_enough_calls_stays_and_is_counted() -> None:
    harness = VersionHarness(10 * SECOND)
    harness.send(make_version(1, plan(Prefix("5", 1))))
    harness.send(make_version(2, plan(Prefix("5", 2))))
    harness.pass_time(40 * SECOND)
    assert harness.reports(2) == ["accepted", "in-force", "settled"]
    assert harness.manager.counts["versions_undecided"] == 1


def test_superseded_plan_is_freed_with_its_last_call() -> None:
    harness = VersionHarness()
    harness.send(make_version(1, plan(Prefix("5", 1))))
    assert harness.manager.in_force is not None
    plan_of_call: Any = [harness.manager.in_force.plan]  # the reference that a call holds
    reference = weakref.ref(plan_of_call[0])
    harness.send(make_version(2, plan(Prefix("5", 2))))
    assert reference() is not None
    assert plan_of_call[0].target("55") == 1
    plan_of_call.clear()
    assert reference() is None  # immediately: the manager holds no reference


# ---- reports and the service side


def report(seq: int, stand: str = "accepted") -> Report:
    """A report on a version whose number is the sequence number."""
    return Report("n1", "b", seq, 1, seq, stand, 0)


def test_reports_are_resent_with_backoff_until_acknowledged_one_batch_at_a_time() -> None:
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


def test_duplicate_report_counts_once() -> None:
    report_log = ReportLog()
    batch = [report(1), report(2, "in-force")]
    assert report_log.add(read_reports(write_reports(batch))) == batch
    assert report_log.add(batch) == []
    assert report_log.duplicate_count == 2
    assert [(latest.number, latest.stand)
            for latest in report_log.latest_reports()] == [(2, "in-force"), (1, "accepted")]
    for malformed in (b"{", b"[1]", b"\xff"):
        with pytest.raises(ValueError, match=r"."):
            read_reports(malformed)


def test_service_sends_a_delta_if_smaller_and_a_full_version_on_request() -> None:
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
    assert changed.header.kind == "full"  # a delta would be larger


@given(st.lists(st.sampled_from([Prefix("5", 1), Prefix("5", 2), Barred("5"), Choice(1), Choice(1, over=[[2]]),
                                 Prefix("55", 3)]), max_size=4, unique_by=lambda r: (type(r), r.key())),
       st.lists(st.sampled_from([Prefix("5", 1), Barred("5"), Choice(1, over=[[3]]), Prefix("55", 3)]), max_size=4,
                unique_by=lambda r: (type(r), r.key())))
def test_difference_of_two_plans_converts_one_to_the_other(old: Any, new: Any) -> None:
    def plan_without_duplicates(records: Any) -> Plan:
        by_key = {record.key() if not isinstance(record, Choice) else f"choice {record.key()}": record
                  for record in records}
        return plan(*by_key.values())
    before, after = plan_without_duplicates(old), plan_without_duplicates(new)
    assert build(iter(difference(before, after)), before).state == after.state


# ---- the store


class PowerFailure(Exception):
    """Raised by a simulated power failure."""


def save(files: VersionFiles, document: Document) -> bool:
    """Write a document to the store."""
    return files.save(document.header, (document.text(),))


def load_version(files: VersionFiles) -> str:
    """Load the version that a restart finds, and check its plan: version n routes prefix 5 to exchange n % 3 + 1."""
    stored, _ = VersionFiles(files.folder).load()
    if stored is None:
        return ""
    assert stored.plan.target("5") == stored.id.number % 3 + 1
    return str(stored.id)


def test_power_failure_at_any_step_leaves_the_old_or_the_new_version(tmp_path: Path) -> None:
    steps: list[str] = []
    counting = VersionFiles(tmp_path / "count", steps.append)
    plans = {n: plan(Prefix("5", n % 3 + 1)) for n in range(1, 5)}

    def write(files: VersionFiles, number: int) -> None:
        base = plans[number - 1] if number > 1 else None
        assert save(files, make_version(number, plans[number], base=base, base_number=number - 1))
        assert files.set_current(VersionId(1, number))
    for number in (1, 2, 3):
        write(counting, number)
    steps.clear()
    write(counting, 4)
    assert {"write", "fsync", "rename", "sync folder"} <= set(steps)
    loaded = set()
    for crash in range(len(steps) + 1):
        steps_left = [crash]

        def step(name: str, steps_left: list[int] = steps_left) -> None:
            steps_left[0] -= 1
            if steps_left[0] < 0:
                raise PowerFailure(name)
        files = VersionFiles(tmp_path / f"crash-{crash}")
        for number in (1, 2, 3):
            write(files, number)
        files._step = step
        with contextlib.suppress(PowerFailure):
            write(files, 4)
        loaded.add(load_version(files))
        assert load_version(files) in ("1.3", "1.4")
    assert loaded == {"1.3", "1.4"}


def test_corrupt_file_falls_back_to_the_previous_version_with_an_error(tmp_path: Path) -> None:
    files = VersionFiles(tmp_path)
    for number in (1, 2):
        assert save(files, make_version(number, plan(Prefix("5", number % 3 + 1))))
        assert files.set_current(VersionId(1, number))
    (tmp_path / "1.2.full").write_bytes((tmp_path / "1.2.full").read_bytes()[:-5])
    stored, errors = VersionFiles(tmp_path).load()
    assert stored is not None
    assert str(stored.id) == "1.1"
    assert "1.2.full" in errors[0]
    (tmp_path / CURRENT_POINTER).write_bytes(b"{")
    (tmp_path / PREVIOUS_POINTER).unlink()
    assert VersionFiles(tmp_path).load()[0] is None


def test_restored_version_is_in_force_and_the_base_of_deltas(tmp_path: Path) -> None:
    first, second = plan(Prefix("5", 1)), plan(Prefix("5", 2))
    harness = VersionHarness(has_store=True)
    files = VersionFiles(tmp_path)
    for document in (make_version(1, first), make_version(2, second, base=first, base_number=1)):
        harness.send(document)
    for action in harness.actions:
        if isinstance(action, StoreVersion):
            assert files.save(action.header, action.text)
        elif isinstance(action, SetCurrentVersion):
            assert files.set_current(action.id)
    stored, errors = VersionFiles(tmp_path).load()
    assert not errors
    assert stored is not None
    restarted = VersionHarness()
    restarted.manager.restore(stored.id, stored.plan, 0)
    assert restarted.in_force == "1.2"
    restarted.send(make_version(2, second))  # the service repeats it
    assert "refused" not in restarted.reports(2)
    restarted.send(make_version(3, first, base=second, base_number=2))
    assert restarted.in_force == "1.3"


def test_delta_without_stored_base_is_not_stored_and_long_chains_are_detected(tmp_path: Path) -> None:
    files = VersionFiles(tmp_path)
    plans = [plan(Prefix("5", n % 3 + 1)) for n in range(MAX_CHAIN_DELTAS + 3)]
    assert not save(files, make_version(2, plans[2], base=plans[1], base_number=1))
    assert not files.set_current(VersionId(1, 2))
    assert save(files, make_version(1, plans[1]))
    for number in range(2, MAX_CHAIN_DELTAS + 2):
        assert save(files, make_version(number, plans[number], base=plans[number - 1], base_number=number - 1))
    assert files.is_chain_too_long(VersionId(1, MAX_CHAIN_DELTAS + 1))
    assert not files.is_chain_too_long(VersionId(1, MAX_CHAIN_DELTAS))
