"""The state machine of versions: in what order they come, which is in force, and which is taken back.

It is fed what the control wire brings, a clock and the ends of calls; it is asked which version is in force at an
instant; it returns what its driver has to do. It checks at most one version at a time, in pieces: run_step() does one.

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

SEEN_MOST = 1_024  # versions whose verdict is remembered, for a service that sends one twice
SCHEDULED_MOST = 16  # accepted versions that wait for their instant; each holds what it changed
MAX_QUEUED_VERSIONS = 256  # versions that wait to be checked
# Refusals that are the wire's fault or a matter of order: the same version may come again, whole or at its time.
PASSING = {Reason.LENGTH, Reason.DIGEST, Reason.BASE_MISSING, Reason.STALE, Reason.OLD_EPOCH, Reason.TOO_MANY,
           Reason.SUPERSEDED, Reason.TWO_CONTENTS, Reason.STATE}
WANT_FULL = {Reason.LENGTH, Reason.DIGEST, Reason.BASE_MISSING, Reason.STATE}


@dataclass(frozen=True, slots=True)
class VersionSettings:
    """How versions are treated here."""

    router: str
    zone: str = ""  # of this router, by which choices are made
    probation_us: int = 10_000_000  # 0: versions are settled as soon as they are in force
    max_bytes: int = MAX_VERSION_BYTES
    has_store: bool = False  # whether there is a store for accepted documents


class VersionManager:
    """All versions that one router knows of."""

    def __init__(self, settings: VersionSettings, source: random.Random) -> None:
        self.settings = settings
        self.boot = f"{source.getrandbits(64):016x}"  # names this process in its reports
        self.in_force: ActiveVersion | None = None
        self.settled: ActiveVersion | None = None  # the version to go back to
        self.newest: VersionId | None = None  # highest number accepted, in force or not
        self.scheduled: list[ActiveVersion] = []  # accepted, by the instant from which they are in force
        self.probation: Probation | None = None
        self.counts: Counter[str] = Counter()
        self._queue: deque[VersionReceiver] = deque()  # versions that came and are not decided, oldest first
        self._open: VersionReceiver | None = None  # the one whose lines come now
        self._seen: OrderedDict[VersionId, tuple[str, Report]] = OrderedDict()
        self._asked: VersionId | None = None  # for which version a full one was asked
        self._actions: list[Action] = []
        self._seq = 0
        self._recent, self._since = RecentOutcomes(), RecentOutcomes()
        self._sorting: Iterator[CallOutcome] | None = None  # calls before a version, still to be compared

    def take_actions(self) -> list[Action]:
        """Return what is to be done, once, in order."""
        actions, self._actions = self._actions, []
        return actions

    @property
    def unchecked_bytes(self) -> int:
        """Octets that came and are not checked: whoever reads the wire should stop while they are many."""
        return sum(receiving.unchecked_bytes for receiving in self._queue)

    @property
    def has_work(self) -> bool:
        """Whether run_step() has something to do."""
        return self._sorting is not None or any(
            r.phase is not Phase.OPEN or (r.started and r.unchecked_bytes > 0) for r in self._queue)

    # ---- what comes over the wire

    def receive_header(self, raw: bytes | str, now_us: int) -> None:
        """A version begins; one that was not ended is over."""
        self._cut()
        self.counts["versions_offered"] += 1
        try:
            header = read_header(raw)
        except PlanError as refused:
            self.counts["versions_heads_unreadable"] += 1
            self._note("version with a head that cannot be read", finding=str(refused.finding))
            return
        if header.octets > self.settings.max_bytes:
            finding = Finding(Reason.TOO_LARGE, f"at most {self.settings.max_bytes} octets", 0, "octets")
            self._refused(header, finding, now_us)
            return
        if len(self._queue) >= MAX_QUEUED_VERSIONS:
            self._skip(now_us)
        if len(self._queue) >= MAX_QUEUED_VERSIONS:
            self._refused(header, Finding(Reason.TOO_MANY, f"at most {MAX_QUEUED_VERSIONS} versions at a time"), now_us)
            return
        self._open = VersionReceiver(header, self.settings.has_store)
        self._queue.append(self._open)
        self._advance(now_us)

    def receive_lines(self, lines: list[bytes]) -> None:
        """Records of the version that has begun; without one they mean nothing."""
        if self._open is not None:
            self._open.receive_lines(lines)
        else:
            self.counts["versions_lines_unused"] += len(lines)

    def receive_end(self, now_us: int) -> None:
        """The version that has begun is whole."""
        if self._open is not None:
            self._open.receive_end()
            self._open = None
            self._skip(now_us)
            self._advance(now_us)

    def stream_lost(self) -> None:
        """The stream has ended. What came in part is dropped; the service will send it again."""
        self._cut()

    def _cut(self) -> None:
        cut, self._open = self._open, None
        if cut is not None and cut.phase is Phase.OPEN:
            self.counts["versions_half_received"] += 1
            self._note("version received in part", version=str(cut.header.id))
            self._queue.remove(cut)

    # ---- checking

    def run_step(self, now_us: int) -> bool:
        """Do one piece of checking, of some microseconds; False: nothing is to be done now."""
        if self._sorting is not None:
            self._compare()
            return True
        if not self._queue:
            return False
        head = self._queue[0]
        if head.phase in (Phase.OPEN, Phase.COMPLETE) and not head.run_step():
            return False
        self._advance(now_us)
        return True

    def _advance(self, now_us: int) -> None:
        """Begin checking the oldest version, and put away those that are decided."""
        while self._queue:
            head = self._queue[0]
            if head.phase in (Phase.OPEN, Phase.COMPLETE) and not head.started:
                base, finding = self._order(head.header)
                if finding is not None:
                    head.refuse(finding)
                    again = self._seen.get(head.header.id)
                    if finding.reason is Reason.SUPERSEDED and again is not None:
                        self._queue.popleft()
                        self._repeat(again[1])
                        continue
                else:
                    head.start(base)
            if head.phase is Phase.REFUSED:
                self._queue.popleft()
                assert head.finding is not None
                self._refused(head.header, head.finding, now_us)
            elif head.phase is Phase.CHECKED:
                self._queue.popleft()
                self._accepted(head, now_us)
            else:
                return

    def _skip(self, now_us: int) -> None:
        """Pass over full versions that came whole and were followed by another whole full one.

        Guards the calls against a service that sends faster than versions can be checked: what would be in force
        for no time at all need not be checked.
        """
        later: VersionId | None = None
        for receiving in list(reversed(self._queue)):
            header = receiving.header
            if later is not None and header.id < later and header.in_force_ms == 0 and not receiving.started and (
                    receiving.phase is Phase.COMPLETE and header.kind == "full"):
                self._queue.remove(receiving)
                self._refused(header, Finding(Reason.SUPERSEDED, f"version {later} came before it was checked"), now_us)
            elif receiving.phase is Phase.COMPLETE and header.kind == "full" and header.in_force_ms == 0:
                later = header.id if later is None else max(later, header.id)
            if header.kind == "delta":
                later = None  # what it changes may be any of those before it

    def _order(self, header: Header) -> tuple[Plan | None, Finding | None]:
        """Say whether a version may come now; return the plan that a delta changes."""
        seen = self._seen.get(header.id)
        if seen is not None:
            if seen[0] != header.state:
                return None, Finding(Reason.TWO_CONTENTS, f"the plan {seen[0][:16]}..., which version {header.id} had "
                                                          f"when it came first; now it has {header.state[:16]}...")
            return None, Finding(Reason.SUPERSEDED, "came before")  # the verdict of then is told again
        if self.newest is not None and header.epoch < self.newest.epoch:
            return None, Finding(Reason.OLD_EPOCH, f"epoch {self.newest.epoch} or later", 0, "epoch")
        if self.newest is not None and header.id <= self.newest:
            return None, Finding(Reason.STALE, f"a version after {self.newest}", 0, "number")
        if header.kind == "full":
            return None, None
        for held in (*self.scheduled, *((self.in_force,) if self.in_force is not None else ())):
            if header.base is not None and held.id == VersionId(header.epoch, header.base):
                return held.plan, None
        return None, Finding(Reason.BASE_MISSING, f"a base that is here: {self._bases() or 'there is none'}", 0, "base")

    def _bases(self) -> str:
        held = [*self.scheduled, *([self.in_force] if self.in_force is not None else [])]
        return ", ".join(sorted({str(version.id) for version in held}))

    # ---- verdicts

    def _refused(self, header: Header, finding: Finding, now_us: int) -> None:
        self.counts["versions_refused"] += 1
        self.counts[f"versions_refused_{finding.reason.value}".replace("-", "_")] += 1
        self._note("version refused", version=str(header.id), finding=str(finding))
        report = self._report(header.id, VersionState.REFUSED, now_us, finding)
        if finding.reason not in PASSING:
            self._remember(header, report)
        # Asked for once for each version: a service that has none whole would be asked for ever.
        if finding.reason in WANT_FULL and self._asked != header.id and (
                self.newest is None or header.id > self.newest):
            self._asked = header.id
            self._actions.append(RequestFullVersion())

    def _accepted(self, done: VersionReceiver, now_us: int) -> None:
        header = done.header
        assert done.plan is not None
        if len(self.scheduled) >= SCHEDULED_MOST:
            self._refused(header, Finding(Reason.TOO_MANY, f"at most {SCHEDULED_MOST} versions that wait for their "
                                                           "instant"), now_us)
            return
        self.counts["versions_accepted"] += 1
        self.newest = header.id
        since_us = max(header.in_force_ms * 1000, now_us)
        self._remember(header, self._report(header.id, VersionState.ACCEPTED, now_us))
        text = done.text()
        if text is not None:
            self._actions.append(StoreVersion(header, text))
        for older in [v for v in self.scheduled if v.since_us >= since_us]:
            self.scheduled.remove(older)  # it would take this one's place, though it is older
            self._report_state(older.id, VersionState.SUPERSEDED, now_us)
        self.scheduled.append(ActiveVersion(header.id, done.plan, since_us))
        self.activate_due(now_us)

    def _remember(self, header: Header, report: Report) -> None:
        self._seen[header.id] = (header.state, report)
        if len(self._seen) > SEEN_MOST:
            self._seen.popitem(last=False)

    def _repeat(self, report: Report) -> None:
        """Tell a verdict again: to a service that sends a version twice, as when it lost the first report."""
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
        """Report how a version stands, and remember that as its latest."""
        report = self._report(id, state, at_us, finding, to)
        if (seen := self._seen.get(id)) is not None:
            self._seen[id] = (seen[0], report)
        self.counts[f"versions_{state.value}".replace("-", "_")] += 1

    def _note(self, event: str, **values: object) -> None:
        self._actions.append(LogEvent(event, tuple(values.items())))

    # ---- what is in force

    def restore(self, id: VersionId, plan: Plan, now_us: int) -> None:
        """Begin with the version that the store held."""
        self.in_force = self.settled = ActiveVersion(id, plan, now_us)
        self.newest = id
        self._seen[id] = (f"{plan.state:064x}", self._report(id, VersionState.ACCEPTED, now_us))
        self._report_state(id, VersionState.IN_FORCE, now_us)

    def activate_due(self, now_us: int) -> ActiveVersion | None:
        """Return the version in force at this instant; what is scheduled for it or before has come in force."""
        while self.scheduled and self.scheduled[0].since_us <= now_us:
            self._put_in_force(self.scheduled.pop(0))
        return self.in_force

    def _put_in_force(self, new: ActiveVersion) -> None:
        before, self.in_force = self.in_force, new
        if before is not None:
            self._report_state(before.id, VersionState.SUPERSEDED, new.since_us)
        self._report_state(new.id, VersionState.IN_FORCE, new.since_us)
        self._note("version in force", version=str(new.id), records=new.plan.size, since_us=new.since_us)
        if self.settled is None or not self.settings.probation_us:
            self._settle(new.since_us)
            return
        self.probation = Probation(new.since_us, self.settings.probation_us)
        self._since = RecentOutcomes()
        self._sorting = iter(list(self._recent.outcomes))

    def _settle(self, at_us: int) -> None:
        assert self.in_force is not None
        self.settled, self.probation, self._sorting = self.in_force, None, None
        self._recent, self._since = self._since, RecentOutcomes()
        self._report_state(self.in_force.id, VersionState.SETTLED, at_us)
        self._actions.append(SetCurrentVersion(self.in_force.id))

    # ---- probation

    def affects(self, outcome: CallOutcome) -> bool:
        """Whether the version in force and the one settled before it treat such a call differently."""
        assert self.in_force is not None
        assert self.settled is not None
        asked = RouteQuery(outcome.number, outcome.dest, outcome.service, False)
        zone = self.settings.zone
        return find_route(self.in_force.plan, asked, zone) != find_route(self.settled.plan, asked, zone)

    def _compare(self) -> None:
        """Sort one of the calls before a version into those that it touches and those that it does not."""
        outcome = next(self._sorting, None) if self._sorting is not None else None
        if outcome is None or self.probation is None:
            self._sorting = None
        else:
            self.probation.add_before(outcome, self.affects(outcome))

    def record_outcome(self, version: VersionId, outcome: CallOutcome) -> None:
        """A call that followed a version has its final answer."""
        if self.in_force is None or version != self.in_force.id:
            return
        if self.probation is None:
            self._recent.add(outcome)
        else:
            self._since.add(outcome)
            self.probation.add_since(outcome, self.affects(outcome))

    def mark_disturbed(self, zone: str) -> None:
        """A zone is cut off, or its exchanges do not answer: its failures alone blame no version."""
        if self.probation is not None:
            self.probation.disturbed_zones.add(zone)

    def tick(self, now_us: int) -> None:
        """Do what time asks for: put in force what is due, and look at a version on probation."""
        self.activate_due(now_us)
        if self.probation is None or self._sorting is not None or now_us < self.probation.next_evaluation_us():
            return
        judgement, figures = self.probation.evaluate(now_us)
        if judgement is Verdict.WORSE:
            self._roll_back(figures, now_us)
        elif judgement is not Verdict.OPEN:
            if judgement is Verdict.UNDECIDED:
                self.counts["versions_undecided"] += 1
                assert self.in_force is not None
                self._note("version could not be judged and stays", version=str(self.in_force.id), calls=figures.calls)
            self._settle(now_us)

    def _roll_back(self, figures: ProbationStatistics, now_us: int) -> None:
        assert self.in_force is not None
        assert self.settled is not None
        bad, self.probation = self.in_force, None
        self.in_force = ActiveVersion(self.settled.id, self.settled.plan, now_us)
        self.settled = self.in_force
        finding = Finding(Reason.PROBATION, f"calls to fail no more often than before: {figures.before:.1%} of the "
                          f"calls that it touches failed before it, {figures.since:.1%} of {figures.calls} since "
                          f"(z = {figures.z:.1f})")
        self._report_state(bad.id, VersionState.ROLLED_BACK, now_us, finding, to=str(self.settled.id))
        self._note("version rolled back", version=str(bad.id), to=str(self.settled.id), finding=str(finding))


def replace_report(report: Report, seq: int) -> Report:
    """Return the same report under a new number."""
    return Report(report.router, report.boot, seq, report.epoch, report.number, report.stand, report.at_us,
                  report.reason, report.line, report.path, report.expected, report.to)
