"""The router: holds calls and attempts, feeds the decision module and carries out what it decides.

Whatever the module asks for, five things are kept here: one final answer a call, before its deadline;
attempts never overlap; a resend waits for the release; nothing new goes to a peer that drains or is gone; no
more attempts than the settings allow.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from astertrack.core.gate import Admission, Gate, Refusal
from astertrack.core.model import (
    NORMAL_CLEARING,
    TEMPORARY_FAILURE,
    AttemptEnd,
    Caller,
    CallRecord,
    Clock,
    FinalResult,
    LogFunction,
    Peers,
    Request,
    Timer,
)
from ospreylug import interface as io
from ospreylug.logic import Controller

# What is unanswered so long before its deadline, the router refuses itself; a call offered with less time
# left, at once. No longer: at times callers wait for 110 to 160 ms, and 100 ms of it left set-ups 7 to 60 ms,
# where an answer takes 40. A busy router that answers some after their time loses no more than it gains.
MARGIN_US = 10_000
ORPHAN_US = 60_000_000  # after a start, how long releases may come of calls that a process before set up
RETURN_US = 1_000_000  # when to return after a refusal of the router's own
UNCERTAIN = (io.Outcome.TIMEOUT, io.Outcome.CUT, io.Outcome.CALLED_OFF)  # its release has to be awaited


@dataclass(slots=True, eq=False)
class Attempt:
    """A set-up that is out, or the call that came of it."""

    number: int
    peer: str
    sent_us: int
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class Call:
    """A call in hand: unanswered, or established."""

    request: Request
    caller: Caller
    taken_us: int
    answer_by_us: int
    admission: Admission | None = None  # what the gate made of it; None: not through the gate
    label: str = ""  # what the gate wants said of it, such as the version of the plan that it follows
    guard: Timer | None = None  # refuses the call should nothing else have answered it
    attempt: Attempt | None = None
    attempts: int = 0
    not_before_us: int = 0
    is_established: bool = False


class Router:
    """One exchange's calls. Events come in by its methods; answers and set-ups leave by its ports."""

    def __init__(self, settings: io.Settings, seed: int, clock: Clock, peers: Peers, log: LogFunction,
                 record: Callable[[CallRecord], None],
                 orphaned: Callable[[str, int], None] = lambda call, cause: None,
                 gate: Gate | None = None, counts: Counter[str] | None = None) -> None:
        self.settings, self.clock, self.peers, self.log, self.record = settings, clock, peers, log, record
        self.orphaned = orphaned  # releases, towards its caller, a call of the process before this one
        self.controller = Controller(settings, seed)
        self.calls: dict[str, Call] = {}
        self.calls_by_peer: dict[str, dict[str, Call]] = {}  # calls with a pending or established attempt, by peer
        self.roster: dict[str, io.Entry] = {}
        self.free: dict[str, float] = {}  # circuits free in the group to a peer, as last told
        self.round_trip_us: dict[str, int] = {}  # shortest time in which a peer ended an attempt
        self.counts: Counter[str] = counts if counts is not None else Counter()
        self.gate = gate if gate is not None else Gate((), log, self.counts)
        self._seen: set[str] | None = set()  # calls of this process, while orphans may come
        clock.call_at(clock.now_us() + ORPHAN_US, self._no_more_orphans)
        self._events: deque[io.Event] = deque()
        self._busy = False
        self._now_us = 0

    # ---- what callers do

    def offer(self, request: Request, caller: Caller) -> bool:
        """Take a call; False if a call of this id is in hand already."""
        if request.call in self.calls:
            self.counts["offers_repeated"] += 1
            return False
        if self._seen is not None:
            self._seen.add(request.call)
        now = self.now_us()
        call = self.calls[request.call] = Call(request, caller, now, request.deadline_us - MARGIN_US)
        self.counts["calls_in_transit" if request.transit else "calls_fresh"] += 1
        if call.answer_by_us <= now:
            self.counts["offers_too_late"] += 1
            self._answer(call, FinalResult.REFUSED, RETURN_US)
            return True
        passed = self.gate.admit(request, now)
        if isinstance(passed, Refusal):
            self.counts["refused_at_gate"] += 1
            call.label = passed.label
            self._answer(call, FinalResult.REFUSED, passed.wait_us)
            return True
        call.admission, call.label = passed, passed.label
        call.guard = self.clock.call_at(call.answer_by_us, lambda: self._overdue(call))
        self._feed(io.CallOffered(
            request.call, request.service, request.dest, request.number, request.deadline_us, request.width,
            request.tenant, request.transit, request.via, request.repeated, request.cut_before,
            passed.constraint.tiers, passed.constraint.never))
        return True

    def cancel(self, name: str) -> bool:
        """The caller gives up an unanswered call; False if there is none."""
        call = self.calls.get(name)
        if call is None or call.is_established:
            return False
        now = self.now_us()
        self.log("caller gave up", call=name, waited_ms=(now - call.taken_us) // 1000, attempts=call.attempts,
                 left_ms=(call.request.deadline_us - now) // 1000, **self._labels(call))
        self._finish(call, FinalResult.CANCELLED)
        self._feed(io.CallerGone(name))
        if call.attempt is not None:
            self._give_up(call, io.Outcome.CALLED_OFF, settled=True)
        return True

    def release_call(self, name: str, cause: int) -> bool:
        """The caller releases a call that stands; False if there is none."""
        call = self.calls.get(name)
        if call is None and self._seen is not None and name not in self._seen:
            # It stood before a restart, at a peer that only the process before knew: else it would stand on.
            self._seen.add(name)
            self.counts["releases_of_before"] += 1
            for peer in self.roster:
                self.peers.release(peer, name, cause)
            return False
        if call is None or not call.is_established or call.attempt is None:
            return False
        self.counts["releases_by_caller"] += 1
        self.peers.release(call.attempt.peer, name, cause)
        self._over(call, AttemptEnd(io.Outcome.OK if cause == NORMAL_CLEARING else io.Outcome.CUT))
        return True

    def count_unanswered(self) -> int:
        """Return how many calls wait for their final answer."""
        return sum(not call.is_established for call in self.calls.values())

    # ---- what peers do

    def on_answered(self, peer: str, name: str, description: bytes) -> None:
        """A peer answered a set-up."""
        call = self._at(peer, name)
        if call is None or call.attempt is None:
            # The answer to an attempt given up: the peer holds circuits for a call that nobody waits for.
            self.counts["answers_late"] += 1
            self.peers.release(peer, name, NORMAL_CLEARING)
            return
        if call.is_established:
            self.counts["answers_repeated"] += 1
            return
        call.is_established = True
        self._stop(call)
        self.counts["final_answered"] += 1
        call.caller.on_answered(name, description)
        self._note(call, FinalResult.ANSWERED.value)
        if call.admission is not None:
            call.admission.final(call.request, FinalResult.ANSWERED, self.now_us())
        delay = self.now_us() - call.attempt.sent_us
        self._feed(io.CallStands(name, call.attempt.number, peer, delay))

    def on_ended(self, peer: str, name: str, end: AttemptEnd) -> None:
        """A peer ended an attempt, or a call that stood."""
        call = self._at(peer, name)
        if call is None:
            self.counts["releases_unknown"] += 1
            self._orphan(name, end.outcome)
        elif call.is_established:
            self._cut_or_ended(call, end)
        else:
            if call.attempt is not None and end.outcome is not io.Outcome.UNREACHABLE:
                took = self.now_us() - call.attempt.sent_us
                self.round_trip_us[peer] = min(took, self.round_trip_us.get(peer, took))
            self._attempt_over(call, end, settled=False)

    def _orphan(self, name: str, outcome: io.Outcome) -> None:
        """A call of the process before a restart is over: its caller is told, once."""
        ended = outcome is io.Outcome.OK
        if self._seen is not None and name not in self._seen and (ended or outcome is io.Outcome.CUT):
            self._seen.add(name)
            self.counts["releases_passed_on"] += 1
            self.orphaned(name, NORMAL_CLEARING if ended else TEMPORARY_FAILURE)

    def _no_more_orphans(self) -> None:
        self._seen = None

    def on_peer_lost(self, peer: str) -> list[str]:
        """A peer's process has died, and its calls with it: nobody else will release them. Returns them."""
        lost = [call for call in self.calls_by_peer.get(peer, {}).values() if call.is_established]
        for call in lost:
            self._cut_or_ended(call, AttemptEnd(io.Outcome.CUT))
        return [call.request.call for call in lost]

    def on_group_state(self, peer: str, load: io.Load, ok: bool = True, delay_us: int = 0) -> None:
        """A peer told the state of the group towards it, or answered a probe."""
        if peer in self.roster:
            self._feed(io.GroupStatus(peer, ok, delay_us, self._as_of_now(peer, load)))

    def set_roster(self, change: io.RosterChange) -> None:
        """The bulletin told of peers."""
        before = dict(self.roster)
        if change.kind in (io.RosterKind.REPLACE, io.RosterKind.RESTORED):
            self.roster = {}
        for entry in change.entries:
            if entry.readiness is io.Readiness.GONE:
                self.roster.pop(entry.exchange, None)
            else:
                self.roster[entry.exchange] = entry
        self._feed(change)
        for name, old in before.items():
            new = self.roster.get(name)
            if new is None:
                self.free.pop(name, None)
                self.on_peer_lost(name)  # a machine that vanished sends no release
            elif new.started_us and new.started_us != old.started_us:
                for call in list(self.calls_by_peer.get(name, {}).values()):  # calls of the process before
                    if call.is_established and call.attempt and call.attempt.sent_us < new.started_us:
                        self._cut_or_ended(call, AttemptEnd(io.Outcome.CUT))

    # ---- what the module asks for

    def now_us(self) -> int:
        """Return the clock, which never runs backwards for the module."""
        self._now_us = max(self._now_us, self.clock.now_us())
        return self._now_us

    def _feed(self, event: io.Event) -> None:
        """Hand an event to the module and carry out its actions; events that these cause wait their turn."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self.controller.handle(self.now_us(), event)
                except Exception as wrong:  # a fault in a decision costs one call, which its guard answers
                    self.counts["module_faults"] += 1
                    self.log("module fault", told=type(event).__name__, error=repr(wrong))
                    continue
                for action in actions:
                    self._carry_out(action)
        finally:
            self._busy = False

    def _as_of_now(self, peer: str, load: io.Load) -> io.Load:
        """Take the circuits of set-ups that the peer had not seen off the free ones that it told.

        Guards full groups: each circuit that frees is told a round trip late, and every call held for it
        would be sent. Set-ups of the last round trip had not arrived when the report left.
        """
        if load.free is None:
            return load
        since = self.now_us() - self.round_trip_us.get(peer, 0)
        unseen = 0.0
        for call in reversed(self.calls_by_peer.get(peer, {}).values()):
            if call.attempt is None or call.attempt.sent_us <= since:
                break
            unseen += call.request.width
        self.free[peer] = free = max(0.0, load.free - unseen)
        return load if not unseen else replace(load, free=free)

    def _carry_out(self, action: io.Action) -> None:
        match action:
            case io.SetUp(name, peer, timeout_us):
                self._set_up(name, peer, self.now_us() + timeout_us)
            case io.Refuse(name, wait_us):
                if (call := self._open(name)) is not None:
                    self._answer(call, FinalResult.REFUSED, wait_us)
            case io.Fail(name):
                if (call := self._open(name)) is not None:
                    self._answer(call, FinalResult.FAILED)
            case io.CallOff(name, number):
                call = self._open(name)
                if call is not None and call.attempt is not None and call.attempt.number == number:
                    self._give_up(call, io.Outcome.CALLED_OFF, settled=False)
            case io.SetTimer(token, at_us):
                self.clock.call_at(at_us, lambda: self._feed(io.TimerDue(token)))
            case io.Probe(peer):
                self.counts["probes_sent"] += 1
                self.peers.probe(peer)
            case io.Log(text):
                self.log("module", text=text)
            case io.WatchRoster() | io.FetchRoster() | io.TellPeers():
                pass  # the bulletin is always read, and routers have no way to talk to each other

    def _set_up(self, name: str, peer: str, deadline_us: int) -> None:
        call = self._open(name)
        if call is None:
            return
        number, now = call.attempts, self.now_us()
        call.attempts += 1
        deadline_us = min(deadline_us, call.answer_by_us)
        entry = self.roster.get(peer)
        free = self.free.get(peer)
        no_circuit = free is not None and free < call.request.width
        if (call.attempt is not None or number >= self.settings.max_attempts or now < call.not_before_us
                or entry is None or entry.readiness is not io.Readiness.READY or deadline_us <= now
                or no_circuit
                or (call.admission is not None and not call.admission.permits(call.request, entry, now))):
            self.counts["attempts_moot_here"] += 1
            cause = io.Cause.NO_CIRCUIT if no_circuit else io.Cause.NONE
            self._feed(io.AttemptEnded(name, number, peer, io.Outcome.NOT_SENT, 0, False, cause))
            return
        call.attempt = attempt = Attempt(number, peer, now)
        self.calls_by_peer.setdefault(peer, {})[name] = call
        self.counts["attempts_sent"] += 1
        if call.admission is not None:
            call.admission.sent(call.request, entry, now)
        attempt.timer = self.clock.call_at(deadline_us, lambda: self._timed_out(call, attempt))
        self.peers.set_up(peer, call.request, deadline_us)

    # ---- a call's and an attempt's end

    def _open(self, name: str) -> Call | None:
        call = self.calls.get(name)
        return None if call is None or call.is_established else call

    def _at(self, peer: str, name: str) -> Call | None:
        return self.calls_by_peer.get(peer, {}).get(name)

    def _timed_out(self, call: Call, attempt: Attempt) -> None:
        if call.attempt is attempt and not call.is_established:
            self._give_up(call, io.Outcome.TIMEOUT, settled=False)

    def _overdue(self, call: Call) -> None:
        """Refuse what the module has left unanswered: guards the one answer against its faults."""
        if self.calls.get(call.request.call) is not call or call.is_established:
            return
        self.counts["answers_by_guard"] += 1
        self._answer(call, FinalResult.REFUSED, RETURN_US)
        self._feed(io.CallerGone(call.request.call))
        if call.attempt is not None:
            self._give_up(call, io.Outcome.TIMEOUT, settled=True)

    def _give_up(self, call: Call, outcome: io.Outcome, settled: bool) -> None:
        if call.attempt is not None:
            self.peers.cancel_set_up(call.attempt.peer, call.request.call)
            self._attempt_over(call, AttemptEnd(outcome), settled)

    def _attempt_over(self, call: Call, end: AttemptEnd, settled: bool) -> None:
        attempt, call.attempt = call.attempt, None
        if attempt is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        self._leave(attempt.peer, call.request.call)
        self.counts["attempts_" + end.outcome.value.replace(" ", "_")] += 1
        now = self.now_us()
        load = self._as_of_now(attempt.peer, end.load)
        if end.outcome in UNCERTAIN:
            call.not_before_us = now + self.settings.release_us
        self._feed(io.AttemptEnded(call.request.call, attempt.number, attempt.peer, end.outcome,
                                   now - attempt.sent_us, settled, end.cause, 0, load))

    def _leave(self, peer: str, name: str) -> None:
        here = self.calls_by_peer.get(peer)
        if here is not None:
            here.pop(name, None)
            if not here:
                del self.calls_by_peer[peer]

    def _cut_or_ended(self, call: Call, end: AttemptEnd) -> None:
        """A call that stood is over by the peer's doing: release it towards its caller."""
        call.caller.on_released(call.request.call,
                                NORMAL_CLEARING if end.outcome is io.Outcome.OK else TEMPORARY_FAILURE)
        self._over(call, end)

    def _over(self, call: Call, end: AttemptEnd) -> None:
        ended = end.outcome is io.Outcome.OK
        self.counts["calls_ended" if ended else "calls_cut"] += 1
        self._note(call, "ended" if ended else "cut")
        self.calls.pop(call.request.call, None)
        if call.admission is not None:
            call.admission.over(call.request, self.now_us())
        self._attempt_over(call, end, settled=True)

    def _answer(self, call: Call, final: FinalResult, wait_us: int = 0) -> None:
        """Give the one final answer, if it is not a call that stands."""
        self._finish(call, final)
        if final is FinalResult.REFUSED:
            call.caller.on_refused(call.request.call, wait_us)
        else:
            call.caller.on_failed(call.request.call)

    def _finish(self, call: Call, final: FinalResult) -> None:
        self._stop(call)
        self.calls.pop(call.request.call, None)
        self.counts["final_" + final.value.replace(" ", "_")] += 1
        self._note(call, final.value)
        if call.admission is not None:
            now = self.now_us()
            call.admission.final(call.request, final, now)
            call.admission.over(call.request, now)

    def _stop(self, call: Call) -> None:
        """No time-out runs for a call that is answered."""
        if call.guard is not None:
            call.guard.cancel()
            call.guard = None
        if call.attempt is not None and call.attempt.timer is not None:
            call.attempt.timer.cancel()

    def _note(self, call: Call, event: str) -> None:
        request = call.request
        self.record(CallRecord(request.call, self.now_us(), event, request.service_name, request.number,
                           request.dest, request.transit, call.attempts,
                           call.attempt.peer if call.attempt else "", call.taken_us,
                           call.label))

    @staticmethod
    def _labels(call: Call) -> dict[str, str]:
        """What the gate wants said of a call in its log lines."""
        return {"version": call.label} if call.label else {}
