"""The state machine of versions: their order of arrival, which one is in force, and which one is rolled back.

Its inputs are the events of the control stream, the time, and the outcomes of calls; its outputs are the version in
force at a given time and actions for its driver. It validates at most one version at a time, in small steps: each call
of run_step() runs one.

    header -> lines -> end -> checked -> accepted -> in force -> settled
                 |                |                      |
              refused          refused            superseded, rolled back
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass

from astertrack.plan import Finding, Plan, PlanError, Reason, RouteQuery, find_route
from astertrack.versions.model import (
    MAX_VERSION_BYTES,
    Action,
    ActiveVersion,
    Header,
    LogEvent,
    Report,
    RequestFullVersion,
    SendReport,
    SetCurrentVersion,
    StoreVersion,
    VersionId,
    VersionState,
    read_header,
)
from astertrack.versions.probation import CallOutcome, Probation, ProbationStatistics, RecentOutcomes, Verdict
from astertrack.versions.receiving import Phase, VersionReceiver

MAX_REMEMBERED_VERDICTS = 1_024  # versions whose verdict is repeated if the service sends them again
MAX_SCHEDULED_VERSIONS = 16  # accepted versions that are not in force yet; each holds its changes in memory
MAX_QUEUED_VERSIONS = 256  # versions that wait for validation
# Refusals caused by the transmission or the order of versions: the same version may arrive again, intact or in order.
RETRYABLE_REASONS = {Reason.LENGTH_MISMATCH, Reason.DIGEST_MISMATCH, Reason.BASE_MISSING, Reason.STALE,
                     Reason.OLD_EPOCH, Reason.TOO_MANY, Reason.SUPERSEDED, Reason.CONFLICTING_CONTENTS,
                     Reason.STATE_MISMATCH}
# Refusals after which a full version is requested: the lines were incomplete or corrupt, or the base is not available.
FULL_VERSION_REASONS = {Reason.LENGTH_MISMATCH, Reason.DIGEST_MISMATCH, Reason.BASE_MISSING, Reason.STATE_MISMATCH}


@dataclass(frozen=True, slots=True)
class VersionSettings:
    """The settings of a VersionManager."""

    router: str
    zone: str = ""  # zone of this router, on which choices depend
    probation_us: int = 10_000_000  # 0: versions are settled as soon as they are in force
    max_bytes: int = MAX_VERSION_BYTES
    has_store: bool = False  # whether accepted documents are written to a store


class VersionManager:
    """All versions known to one router."""

    def __init__(self, settings: VersionSettings, random_source: random.Random) -> None:
        self.settings = settings
        self.boot = f"{random_source.getrandbits(64):016x}"  # identifies this process in its reports
        self.in_force: ActiveVersion | None = None
        self.settled: ActiveVersion | None = None  # the version that a rollback restores
        self.newest: VersionId | None = None  # highest accepted version, in force or not
        self.scheduled: list[ActiveVersion] = []  # accepted versions, by the time from which they are in force
        self.probation: Probation | None = None
        self.counts: Counter[str] = Counter()
        self._queue: deque[VersionReceiver] = deque()  # versions without a verdict, oldest first
        self._receiving: VersionReceiver | None = None  # the version whose lines are arriving
        # By version, oldest first: the digest of its plan, and the latest report on it.
        self._known_versions: OrderedDict[VersionId, tuple[str, Report]] = OrderedDict()
        self._full_requested_for: VersionId | None = None  # version for which a full one was requested
        self._actions: list[Action] = []
        self._seq = 0
        # Outcomes of calls under the settled version, and under the version on probation, which replace the former when
        # that version is settled.
        self._recent_outcomes, self._probation_outcomes = RecentOutcomes(), RecentOutcomes()
        # Calls before the version on probation that are still to be classified as affected by it or not.
        self._unclassified: Iterator[CallOutcome] | None = None

    def take_actions(self) -> list[Action]:
        """Return the pending actions in order, and clear them."""
        actions, self._actions = self._actions, []
        return actions

    @property
    def unchecked_bytes(self) -> int:
        """Received bytes that have not been validated. The reader of the stream should pause while there are many."""
        return sum(receiver.unchecked_bytes for receiver in self._queue)

    @property
    def has_work(self) -> bool:
        """Return whether run_step() has something to do."""
        if self._unclassified is not None:
            return True
        if not self._queue:
            return False
        head = self._queue[0]  # run_step() works on no other version
        return head.phase is not Phase.OPEN or not head.started or head.unchecked_bytes > 0

    # ---- events of the control stream

    def receive_header(self, raw: bytes | str, now_us: int) -> None:
        """Process the header of a version. A previous version that has not ended is dropped."""
        self._drop_incomplete()
        self.counts["versions_offered"] += 1
        try:
            header = read_header(raw)
        except PlanError as error:
            self.counts["versions_heads_unreadable"] += 1
            self._log("version with a head that cannot be read", finding=str(error.finding))
            return
        receiver = VersionReceiver(header, self.settings.has_store)
        if self._enqueue(receiver, now_us):
            self._receiving = receiver
            self._advance_queue(now_us)

    def receive_validated(self, header: Header, plan: Plan, text: tuple[bytes, ...], now_us: int) -> None:
        """Process a complete full version whose plan was validated elsewhere, such as that of a plan file.

        It takes its turn behind the versions that were received before, and affects none that is still arriving.
        """
        self.counts["versions_offered"] += 1
        receiver = VersionReceiver.of_validated(header, plan, text if self.settings.has_store else None)
        if self._enqueue(receiver, now_us):
            self._skip_superseded(now_us)
            self._advance_queue(now_us)

    def _enqueue(self, receiver: VersionReceiver, now_us: int) -> bool:
        """Add a version to the queue; return False if it was refused instead: it is too large, or the queue is full."""
        header = receiver.header
        if header.octets > self.settings.max_bytes:
            finding = Finding(Reason.TOO_LARGE, f"at most {self.settings.max_bytes} bytes", 0, "octets")
            self._refuse(header, finding, now_us)
            return False
        if len(self._queue) >= MAX_QUEUED_VERSIONS:
            self._skip_superseded(now_us)
        if len(self._queue) >= MAX_QUEUED_VERSIONS:
            self._refuse(header, Finding(Reason.TOO_MANY, f"at most {MAX_QUEUED_VERSIONS} queued versions"), now_us)
            return False
        self._queue.append(receiver)
        return True

    def has_verdict(self, id: VersionId) -> bool:
        """Return whether a version has a final verdict, which is only repeated if the version is received again."""
        return id in self._known_versions

    def receive_lines(self, lines: list[bytes]) -> None:
        """Process lines of the current version. Without one they are counted and ignored."""
        if self._receiving is not None:
            self._receiving.receive_lines(lines)
        else:
            self.counts["versions_lines_unused"] += len(lines)

    def receive_end(self, now_us: int) -> None:
        """Process the end of the current version."""
        if self._receiving is not None:
            self._receiving.receive_end()
            self._receiving = None
            self._skip_superseded(now_us)
            self._advance_queue(now_us)

    def stream_lost(self) -> None:
        """Process the end of the stream. A partly received version is dropped; the service will send it again."""
        self._drop_incomplete()

    def _drop_incomplete(self) -> None:
        incomplete, self._receiving = self._receiving, None
        if incomplete is not None and incomplete.phase is Phase.OPEN:
            self.counts["versions_half_received"] += 1
            self._log("version received in part", version=str(incomplete.header.id))
            self._queue.remove(incomplete)

    # ---- validation

    def run_step(self, now_us: int) -> bool:
        """Run one small step of validation, of some microseconds. Returns False if there is nothing to do now."""
        if self._unclassified is not None:
            self._classify_next()
            return True
        if not self._queue:
            return False
        head = self._queue[0]
        if head.started and head.phase in (Phase.OPEN, Phase.COMPLETE) and not head.run_step():
            return False
        self._advance_queue(now_us)
        return True

    def _advance_queue(self, now_us: int) -> None:
        """Start validation of the oldest queued version, and remove the versions that have a verdict."""
        while self._queue:
            head = self._queue[0]
            if head.phase in (Phase.OPEN, Phase.COMPLETE) and not head.started:
                base, finding = self._check_order(head.header)
                if finding is not None:
                    head.refuse(finding)
                    remembered = self._known_versions.get(head.header.id)
                    # _check_order() gives this reason for a version that was received before with the same plan.
                    if finding.reason is Reason.SUPERSEDED and remembered is not None:
                        self._queue.popleft()
                        self._repeat_report(remembered[1])
                        continue
                else:
                    head.start(base)
            if head.phase is Phase.REFUSED:
                self._queue.popleft()
                assert head.finding is not None
                self._refuse(head.header, head.finding, now_us)
            elif head.phase is Phase.CHECKED:
                self._queue.popleft()
                self._accept(head, now_us)
            else:
                return

    def _skip_superseded(self, now_us: int) -> None:
        """Refuse complete full versions that are followed by another complete full version.

        Protects calls against a service that sends versions faster than they can be validated: a version that would
        be superseded as soon as it is in force need not be validated.
        """
        later: VersionId | None = None
        for receiver in list(reversed(self._queue)):
            header = receiver.header
            if later is not None and header.id < later and header.in_force_ms == 0 and not receiver.started and (
                    receiver.phase is Phase.COMPLETE and header.kind == "full"):
                self._queue.remove(receiver)
                self._refuse(header, Finding(Reason.SUPERSEDED, f"version {later} came before it was checked"), now_us)
            elif receiver.phase is Phase.COMPLETE and header.kind == "full" and header.in_force_ms == 0:
                later = header.id if later is None else max(later, header.id)
            if header.kind == "delta":
                later = None  # its base may be any of the versions before it

    def _check_order(self, header: Header) -> tuple[Plan | None, Finding | None]:
        """Check the order of a version. Returns the base plan of a delta, or a finding if it is not acceptable now."""
        seen = self._known_versions.get(header.id)
        if seen is not None:
            if seen[0] != header.state:
                return None, Finding(
                    Reason.CONFLICTING_CONTENTS, f"the plan {seen[0][:16]}..., as when version {header.id} "
                                                 f"was first received; got {header.state[:16]}...")
            return None, Finding(Reason.SUPERSEDED, "already received")  # _advance_queue() repeats the previous verdict
        if self.newest is not None and header.epoch < self.newest.epoch:
            return None, Finding(Reason.OLD_EPOCH, f"epoch {self.newest.epoch} or later", 0, "epoch")
        if self.newest is not None and header.id <= self.newest:
            return None, Finding(Reason.STALE, f"a version after {self.newest}", 0, "number")
        if header.kind == "full":
            return None, None
        for version in (*self.scheduled, *((self.in_force,) if self.in_force is not None else ())):
            if header.base is not None and version.id == VersionId(header.epoch, header.base):
                return version.plan, None
        return None, Finding(Reason.BASE_MISSING,
                             f"an available base: {self._available_bases() or 'there is none'}", 0, "base")

    def _available_bases(self) -> str:
        versions = [*self.scheduled, *([self.in_force] if self.in_force is not None else [])]
        return ", ".join(sorted({str(version.id) for version in versions}))

    # ---- verdicts

    def _refuse(self, header: Header, finding: Finding, now_us: int) -> None:
        self.counts["versions_refused"] += 1
        self.counts[f"versions_refused_{finding.reason.value}".replace("-", "_")] += 1
        self._log("version refused", version=str(header.id), finding=str(finding))
        report = self._report(header.id, VersionState.REFUSED, now_us, finding)
        if finding.reason not in RETRYABLE_REASONS:
            self._remember(header, report)
        # Requested once per version: otherwise a service without an intact version would be asked again and again.
        if finding.reason in FULL_VERSION_REASONS and self._full_requested_for != header.id and (
                self.newest is None or header.id > self.newest):
            self._full_requested_for = header.id
            self._actions.append(RequestFullVersion())

    def _accept(self, receiver: VersionReceiver, now_us: int) -> None:
        header = receiver.header
        assert receiver.plan is not None
        if len(self.scheduled) >= MAX_SCHEDULED_VERSIONS:
            self._refuse(header, Finding(Reason.TOO_MANY, f"at most {MAX_SCHEDULED_VERSIONS} scheduled versions"),
                         now_us)
            return
        self.counts["versions_accepted"] += 1
        self.newest = header.id
        since_us = max(header.in_force_ms * 1000, now_us)
        self._remember(header, self._report(header.id, VersionState.ACCEPTED, now_us))
        text = receiver.text()
        if text is not None:
            self._actions.append(StoreVersion(header, text))
        for older in [version for version in self.scheduled if version.since_us >= since_us]:
            self.scheduled.remove(older)  # it would replace the new version later, though it is older
            self._report_state(older.id, VersionState.SUPERSEDED, now_us)
        self.scheduled.append(ActiveVersion(header.id, receiver.plan, since_us))
        self.activate_due(now_us)

    def _remember(self, header: Header, report: Report) -> None:
        self._known_versions[header.id] = (header.state, report)
        if len(self._known_versions) > MAX_REMEMBERED_VERDICTS:
            self._known_versions.popitem(last=False)

    def _repeat_report(self, report: Report) -> None:
        """Repeat a verdict for a service that sends a version again, for example because it lost the first report."""
        self.counts["versions_repeated"] += 1
        self._seq += 1
        self._actions.append(SendReport(replace_report(report, self._seq)))

    def _report(self, id: VersionId, state: VersionState, at_us: int, finding: Finding | None = None,
                to: str = "") -> Report:
        self._seq += 1
        report = Report(self.settings.router, self.boot, self._seq, id.epoch, id.number, state.value, at_us, to=to)
        if finding is not None:
            report = Report(self.settings.router, self.boot, self._seq, id.epoch, id.number, state.value, at_us,
                            finding.reason.value, finding.line, finding.path, finding.expected, to)
        self._actions.append(SendReport(report))
        return report

    def _report_state(self, id: VersionId, state: VersionState, at_us: int, finding: Finding | None = None,
                      to: str = "") -> None:
        """Report the state of a version, and remember the report as its latest one."""
        report = self._report(id, state, at_us, finding, to)
        if (seen := self._known_versions.get(id)) is not None:
            self._known_versions[id] = (seen[0], report)
        self.counts[f"versions_{state.value}".replace("-", "_")] += 1

    def _log(self, event: str, **values: object) -> None:
        self._actions.append(LogEvent(event, tuple(values.items())))

    # ---- the version in force

    def restore(self, id: VersionId, plan: Plan, now_us: int) -> None:
        """Start with the version that was loaded from the store."""
        self.in_force = self.settled = ActiveVersion(id, plan, now_us)
        self.newest = id
        self._known_versions[id] = (f"{plan.state:064x}", self._report(id, VersionState.ACCEPTED, now_us))
        self._report_state(id, VersionState.IN_FORCE, now_us)

    def activate_due(self, now_us: int) -> ActiveVersion | None:
        """Put scheduled versions in force that are due by now_us, and return the version in force then."""
        while self.scheduled and self.scheduled[0].since_us <= now_us:
            self._activate(self.scheduled.pop(0))
        return self.in_force

    def _activate(self, new: ActiveVersion) -> None:
        previous, self.in_force = self.in_force, new
        if previous is not None:
            self._report_state(previous.id, VersionState.SUPERSEDED, new.since_us)
        self._report_state(new.id, VersionState.IN_FORCE, new.since_us)
        self._log("version in force", version=str(new.id), records=new.plan.size, since_us=new.since_us)
        if self.settled is None or not self.settings.probation_us:
            self._settle(new.since_us)
            return
        self.probation = Probation(new.since_us, self.settings.probation_us)
        self._probation_outcomes = RecentOutcomes()
        self._unclassified = iter(list(self._recent_outcomes.outcomes))

    def _settle(self, at_us: int) -> None:
        assert self.in_force is not None
        self.settled, self.probation, self._unclassified = self.in_force, None, None
        self._recent_outcomes, self._probation_outcomes = self._probation_outcomes, RecentOutcomes()
        self._report_state(self.in_force.id, VersionState.SETTLED, at_us)
        self._actions.append(SetCurrentVersion(self.in_force.id))

    # ---- probation

    def affects(self, outcome: CallOutcome) -> bool:
        """Return whether the version in force and the settled one before it treat such a call differently."""
        assert self.in_force is not None
        assert self.settled is not None
        query = RouteQuery(outcome.number, outcome.dest, outcome.service, False)
        zone = self.settings.zone
        return find_route(self.in_force.plan, query, zone) != find_route(self.settled.plan, query, zone)

    def _classify_next(self) -> None:
        """Classify the next call from before the version on probation as affected by it or not."""
        outcome = next(self._unclassified, None) if self._unclassified is not None else None
        if outcome is None or self.probation is None:
            self._unclassified = None
        else:
            self.probation.add_before(outcome, self.affects(outcome))

    def record_outcome(self, version: VersionId, outcome: CallOutcome) -> None:
        """Record the outcome of a call under a version. Only calls under the version in force count."""
        if self.in_force is None or version != self.in_force.id:
            return
        if self.probation is None:
            self._recent_outcomes.add(outcome)
        else:
            self._probation_outcomes.add(outcome)
            self.probation.add_since(outcome, self.affects(outcome))

    def mark_disturbed(self, zone: str) -> None:
        """Mark a zone as disturbed: it is cut off, or its exchanges do not answer.

        Failures in it are not evidence against a version unless there are unaffected calls to compare with.
        """
        if self.probation is not None:
            self.probation.disturbed_zones.add(zone)

    def tick(self, now_us: int) -> None:
        """Run periodic work: put due versions in force, and evaluate a version on probation."""
        self.activate_due(now_us)
        if self.probation is None or self._unclassified is not None or now_us < self.probation.next_evaluation_us():
            return
        verdict, statistics = self.probation.evaluate(now_us)
        if verdict is Verdict.WORSE:
            self._roll_back(statistics, now_us)
        elif verdict is not Verdict.OPEN:
            if verdict is Verdict.UNDECIDED:
                self.counts["versions_undecided"] += 1
                assert self.in_force is not None
                self._log("version could not be judged and stays", version=str(self.in_force.id),
                          calls=statistics.affected_calls)
            self._settle(now_us)

    def _roll_back(self, statistics: ProbationStatistics, now_us: int) -> None:
        assert self.in_force is not None
        assert self.settled is not None
        failed, self.probation = self.in_force, None
        self.in_force = ActiveVersion(self.settled.id, self.settled.plan, now_us)
        self.settled = self.in_force
        finding = Finding(
            Reason.PROBATION, "calls to fail no more often than before: "
                              f"{statistics.failure_ratio_before:.1%} of the affected calls failed before it, "
                              f"{statistics.failure_ratio_since:.1%} of {statistics.affected_calls} since "
                              f"(z = {statistics.z:.1f})")
        self._report_state(failed.id, VersionState.ROLLED_BACK, now_us, finding, to=str(self.settled.id))
        self._log("version rolled back", version=str(failed.id), to=str(self.settled.id), finding=str(finding))


def replace_report(report: Report, seq: int) -> Report:
    """Return the same report with a new sequence number."""
    return Report(report.router, report.boot, seq, report.epoch, report.number, report.stand, report.at_us,
                  report.reason, report.line, report.path, report.expected, report.to)
