"""The router: holds calls and attempts, passes events to the decision module and carries out its actions.

The router enforces five rules, whatever the module asks for: each call gets one final answer before its deadline;
attempts never overlap; a new attempt waits for the release of one that was possibly executed; no set-up goes to a
peer that is draining or gone; no call gets more attempts than the settings allow.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from astertrack.core.calls import Attempt, Call, CallTable
from astertrack.core.circuits import CircuitEstimates
from astertrack.core.dispatcher import Dispatcher
from astertrack.core.gate import Admission, Gate, Refusal
from astertrack.core.history import RecentAttempts
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
)
from astertrack.core.orphan_releases import OrphanReleases
from astertrack.core.orphans import Orphans
from astertrack.core.roster import apply_change, gone_peers, restarted_peers
from ospreylug import interface as io
from ospreylug.logic import Controller

# The router refuses a call that is still unanswered this long before its deadline, and a call offered with less time
# left at once. A longer margin costs calls: some callers wait only 110 to 160 ms. With a margin of 100 ms and the time
# before the set-up is sent, 7 to 60 ms remained for an answer, which takes about 40 ms. With the short margin a busy
# router answers a few calls too late, which costs no more than the margin gains.
ANSWER_MARGIN_US = 10_000
# A release before a set-up that waits for a connection delays the set-up by no more than this. Connections to peers may
# take a second to be established.
MAX_RELEASE_HOLD_US = 1_500_000
RELEASE_CHECK_INTERVAL_US = 10_000  # between checks whether a release that delays a set-up was sent
RETRY_WAIT_US = 1_000_000  # wait before a retry, given with refusals that neither the gate nor the module decided
# Outcomes after which the peer may have executed the set-up: a new attempt has to wait for the release.
POSSIBLY_EXECUTED = (io.Outcome.TIMEOUT, io.Outcome.CUT, io.Outcome.CALLED_OFF)


class Router:
    """The current calls of one router, and the decision module that it consults.

    Fronts and peers report events by calling its methods; answers and set-ups leave through the ports of
    astertrack.core.model.
    """

    def __init__(self, settings: io.Settings, seed: int, clock: Clock, peers: Peers, log: LogFunction,
                 record: Callable[[CallRecord], None],
                 on_orphan_released: Callable[[str, int], None] = lambda call_id, cause: None,
                 gate: Gate | None = None, counts: Counter[str] | None = None) -> None:
        self.settings, self.clock, self.peers, self.log, self.record = settings, clock, peers, log, record
        self._now_us = 0
        self.controller = Controller(settings, seed)
        self.call_table = CallTable()
        self.calls, self.calls_by_peer = self.call_table.by_id, self.call_table.by_peer
        self.roster: dict[str, io.Entry] = {}
        self.circuits = CircuitEstimates()
        self.counts: Counter[str] = counts if counts is not None else Counter()
        self.gate = gate if gate is not None else Gate((), log, self.counts)
        self._recent_attempts = RecentAttempts()
        self.orphans = Orphans(settings.classes, self.calls, self.now_us)
        self.orphan_releases = OrphanReleases(
            self.orphans, lambda: self.roster, self._release_at, self.counts, on_orphan_released)
        self.last_offer_us = 0
        self._deadline_limit_us: int | None = None  # while shutting down: no call is awaited longer
        self._dispatcher = Dispatcher(self.controller, self.now_us, self._carry_out, log, self.counts)

    # ---- requests of callers

    def offer(self, request: Request, caller: Caller) -> bool:
        """Accept a call; return False if a call with this id is already current."""
        if request.call_id in self.calls:
            self.counts["offers_repeated"] += 1
            return False
        now = self.last_offer_us = self.now_us()
        if self._recent_attempts.contains(request.call_id, now):
            # Its caller left and came again, or has used the id twice: a second attempt would run a second time.
            self.counts["offers_run_before"] += 1
            caller.on_refused(request.call_id, RETRY_WAIT_US)
            return True
        self.orphans.add_known(request.call_id)
        if request.release_first:  # also if the call is refused below: its caller must not be told so while it stands
            self.orphan_releases.release_at_all_peers(request.call_id, NORMAL_CLEARING)
        call = self.calls[request.call_id] = Call(
            request, caller, now, self._limit_deadline(request.deadline_us) - ANSWER_MARGIN_US)
        self.counts["calls_in_transit" if request.transit else "calls_fresh"] += 1
        if call.answer_by_us <= now:
            self.counts["offers_too_late"] += 1
            self._reject(call, FinalResult.REFUSED, RETRY_WAIT_US)
            return True
        decision = self.gate.admit(request, now)
        if isinstance(decision, Refusal):
            self.counts["refused_at_gate"] += 1
            call.label = decision.label
            self._reject(call, FinalResult.REFUSED, decision.wait_us)
            return True
        call.admission, call.label = decision, decision.label
        self._schedule_guard(call)
        if request.release_first:
            self.counts["offers_held_for_release"] += 1
            self.clock.call_at(now + self.settings.release_us, lambda: self._end_hold(call))
        else:
            self._offer_to_module(call, decision)
        return True

    def _schedule_guard(self, call: Call) -> None:
        if call.guard_timer is not None:
            call.guard_timer.cancel()
        call.guard_timer = self.clock.call_at(call.answer_by_us, lambda: self._refuse_overdue(call))

    def _offer_to_module(self, call: Call, admission: Admission) -> None:
        request = call.request
        self._dispatcher.dispatch(io.CallOffered(
            request.call_id, request.service, request.dest, request.number,
            self._limit_deadline(request.deadline_us), request.width,
            request.tenant, request.transit, request.via, request.repeated, request.cut_before,
            admission.constraint.tiers, admission.constraint.never))

    def _end_hold(self, call: Call) -> None:
        """Route a call that was held until the release of an earlier attempt has taken effect.

        A release that still waits for a connection prolongs the hold, up to MAX_RELEASE_HOLD_US.
        """
        if self.calls.get(call.request.call_id) is not call or call.admission is None:
            return  # cancelled, or refused at its deadline
        now = self.now_us()
        if self.peers.is_release_pending(call.request.call_id) and now - call.accepted_us < MAX_RELEASE_HOLD_US:
            self.clock.call_at(now + self.settings.release_us, lambda: self._end_hold(call))
        else:
            self._offer_to_module(call, call.admission)

    def _release_at(self, peer: str, call_id: str, cause: int) -> None:
        self.peers.release(peer, call_id, cause)

    def cancel(self, call_id: str) -> bool:
        """Cancel an unanswered call for its caller; return False if there is none with this id."""
        call = self.calls.get(call_id)
        if call is None or call.is_established:
            return False
        now = self.now_us()
        self.log("caller gave up", call=call_id, waited_ms=(now - call.accepted_us) // 1000, attempts=call.attempts,
                 left_ms=(call.request.deadline_us - now) // 1000, **self._log_fields(call))
        self._end_unanswered(call, FinalResult.CANCELLED)
        self._dispatcher.dispatch(io.CallerGone(call_id))
        if call.attempt is not None:
            self._cancel_attempt(call, io.Outcome.CALLED_OFF, settled=True)
        return True

    def release_call(self, call_id: str, cause: int) -> bool:
        """Release a call for its caller: an established one, or one that this process does not know.

        Returns False if there is nothing to release: the call has ended, or has not been answered.
        """
        call = self.calls.get(call_id)
        if self.orphans.is_unknown(call_id):
            self.orphans.add_known(call_id)
            self.orphan_releases.release_at_all_peers(call_id, cause)
            return True
        if call is None or not call.is_established or call.attempt is None:
            return False
        self.counts["releases_by_caller"] += 1
        self.peers.release(call.attempt.peer, call_id, cause)
        self._end_established(call, AttemptEnd(io.Outcome.OK if cause == NORMAL_CLEARING else io.Outcome.CUT))
        return True

    # ---- shutting down

    def _limit_deadline(self, deadline_us: int) -> int:
        limit_us = self._deadline_limit_us
        return deadline_us if limit_us is None else min(deadline_us, limit_us)

    def limit_deadlines(self, limit_us: int) -> None:
        """Await no call longer than until limit_us: current ones and later ones have no later deadline."""
        self._deadline_limit_us = self._limit_deadline(limit_us)
        answer_by_us = self._deadline_limit_us - ANSWER_MARGIN_US
        for call in self.call_table.unanswered():
            if call.answer_by_us > answer_by_us:
                call.answer_by_us = answer_by_us
                self._schedule_guard(call)

    def refuse_oldest(self, count: int) -> None:
        """Answer the calls that have waited for longest now, as if their deadlines had passed."""
        for call in self.call_table.unanswered()[:count]:
            self.counts["answers_before_deadline"] += 1
            self._refuse_overdue(call)

    # ---- events of peers

    def on_answered(self, peer: str, call_id: str, description: bytes) -> None:
        """Called when a peer has answered a set-up."""
        call = self.call_table.find_at_peer(peer, call_id)
        if call is None or call.attempt is None:
            # The attempt was cancelled: the peer holds circuits for a call that nobody waits for.
            self.counts["answers_late"] += 1
            self.peers.release(peer, call_id, NORMAL_CLEARING)
            return
        if call.is_established:
            self.counts["answers_repeated"] += 1
            return
        call.is_established = True
        self._cancel_timers(call)
        self.counts["final_answered"] += 1
        call.caller.on_answered(call_id, description)
        self._write_record(call, FinalResult.ANSWERED.value)
        if call.admission is not None:
            call.admission.notify_final(call.request, FinalResult.ANSWERED, self.now_us())
        delay_us = self.now_us() - call.attempt.sent_us
        self._dispatcher.dispatch(io.CallStands(call_id, call.attempt.number, peer, delay_us))

    def on_ended(self, peer: str, call_id: str, end: AttemptEnd) -> None:
        """Called when a peer has ended an attempt or an established call."""
        call = self.call_table.find_at_peer(peer, call_id)
        if call is None:
            self.counts["releases_unknown"] += 1
            self.orphan_releases.pass_on(call_id, end.outcome)
        elif call.is_established:
            self._end_by_peer(call, end)
        else:
            if call.attempt is not None and end.outcome is not io.Outcome.UNREACHABLE:
                self.circuits.add_rejection(peer, self.now_us() - call.attempt.sent_us)
            self._end_attempt(call, end, settled=False)

    def on_peer_lost(self, peer: str) -> list[str]:
        """Cut the established calls of a peer whose process has died: nobody else releases them. Return their ids."""
        lost = [call for call in self.calls_by_peer.get(peer, {}).values() if call.is_established]
        for call in lost:
            self._end_by_peer(call, AttemptEnd(io.Outcome.CUT))
        return [call.request.call_id for call in lost] + self.orphan_releases.cut(peer)

    def place_orphan(self, call_id: str, peer: str) -> bool:
        """Take note of where a call of the previous process stands; cut it, and return False, if that peer is gone."""
        self.orphans.place(call_id, peer)
        if peer in self.roster:
            return True
        self.orphan_releases.cut(peer)
        return False

    def on_group_state(self, peer: str, load: io.Load, ok: bool = True, delay_us: int = 0) -> None:
        """Called when a peer has reported the state of the trunk group towards it, or has answered a probe."""
        if peer in self.roster:
            self._dispatcher.dispatch(io.GroupStatus(peer, ok, delay_us, self._add_circuit_report(peer, load)))

    def set_roster(self, change: io.RosterChange) -> None:
        """Apply a change of the roster of peers that the bulletin announced."""
        before, self.roster = self.roster, apply_change(self.roster, change)
        self._dispatcher.dispatch(change)
        for peer in gone_peers(before, self.roster):
            self.circuits.remove(peer)
            self.on_peer_lost(peer)  # a peer that is gone sends no releases
        for entry in restarted_peers(before, self.roster):
            self._cut_calls_sent_before(entry.exchange, entry.started_us or 0)

    def _cut_calls_sent_before(self, peer: str, started_us: int) -> None:
        """Cut the established calls that were sent to the previous process of a peer."""
        if started_us >= self.orphans.started_us:
            self.orphan_releases.cut(peer)
        for call in list(self.calls_by_peer.get(peer, {}).values()):
            if call.is_established and call.attempt and call.attempt.sent_us < started_us:
                self._end_by_peer(call, AttemptEnd(io.Outcome.CUT))

    # ---- actions of the module

    def now_us(self) -> int:
        """Return the Unix time in microseconds, never less than before, even if the clock is set back."""
        self._now_us = max(self._now_us, self.clock.now_us())
        return self._now_us

    def _add_circuit_report(self, peer: str, load: io.Load) -> io.Load:
        calls = reversed(self.calls_by_peer.get(peer, {}).values())
        return self.circuits.add_report(peer, load, calls, self.now_us())

    def _carry_out(self, action: io.Action) -> None:
        match action:
            case io.SetUp(call_id, peer, timeout_us):
                self._set_up(call_id, peer, self.now_us() + timeout_us)
            case io.Refuse(call_id, wait_us):
                if (call := self.call_table.find_unanswered(call_id)) is not None:
                    self._reject(call, FinalResult.REFUSED, wait_us)
            case io.Fail(call_id):
                if (call := self.call_table.find_unanswered(call_id)) is not None:
                    self._reject(call, FinalResult.FAILED)
            case io.CallOff(call_id, attempt_number):
                call = self.call_table.find_unanswered(call_id)
                if call is not None and call.attempt is not None and call.attempt.number == attempt_number:
                    self._cancel_attempt(call, io.Outcome.CALLED_OFF, settled=False)
                elif call is not None and call.held_set_up is not None and call.attempts == attempt_number:
                    self._cancel_held_set_up(call)
                    call.attempts += 1
                    self._report_not_sent(call_id, attempt_number, "", io.Cause.NONE)
            case io.SetTimer(token, at_us):
                self.clock.call_at(at_us, lambda: self._dispatcher.dispatch(io.TimerDue(token)))
            case io.Probe(peer):
                self.counts["probes_sent"] += 1
                self.peers.probe(peer)
            case io.Log(text):
                self.log("module", text=text)
            case io.WatchRoster() | io.FetchRoster() | io.TellPeers():
                pass  # the bulletin is read anyway, and routers cannot send messages to each other

    def _set_up(self, call_id: str, peer: str, deadline_us: int) -> None:
        """Send a set-up, or report to the module that it was not sent: no circuit is free or a rule forbids it."""
        call = self.call_table.find_unanswered(call_id)
        if call is None or self._hold_set_up(call, peer, deadline_us):
            return
        attempt_number, now = call.attempts, self.now_us()
        call.attempts += 1
        deadline_us = min(deadline_us, call.answer_by_us)
        entry = self.roster.get(peer)
        no_circuit = not self.circuits.has_room(peer, call.request.width)
        may_stand = attempt_number > 0 and self.peers.is_release_pending(call_id, peer)
        if (call.attempt is not None or attempt_number >= self.settings.max_attempts
                or now < call.next_attempt_us or entry is None or entry.readiness is not io.Readiness.READY
                or deadline_us <= now or no_circuit or may_stand
                or (call.admission is not None and not call.admission.permits(call.request, entry, now))):
            self.counts["attempts_moot_here"] += 1
            cause = io.Cause.NO_CIRCUIT if no_circuit else io.Cause.NONE
            self._report_not_sent(call_id, attempt_number, peer, cause)
            return
        call.attempt = attempt = Attempt(attempt_number, peer, now)
        self.call_table.add_at_peer(peer, call)
        self.counts["attempts_sent"] += 1
        self._recent_attempts.add(call_id, now)
        if call.admission is not None:
            call.admission.notify_sent(call.request, entry, now)
        attempt.timer = self.clock.call_at(deadline_us, lambda: self._on_attempt_timeout(call, attempt))
        self.peers.set_up(peer, call.request, deadline_us)

    def _report_not_sent(self, call_id: str, attempt_number: int, peer: str, cause: io.Cause) -> None:
        self._dispatcher.dispatch(
            io.AttemptEnded(call_id, attempt_number, peer, io.Outcome.NOT_SENT, 0, False, cause))

    def _hold_set_up(self, call: Call, peer: str, deadline_us: int) -> bool:
        """Return whether a set-up has to wait, and send it later if so.

        The attempt before was lost with its connection, and may stand at its peer. The next one waits until that was
        released, and for the release time after it. Whatever the set-up depends on is checked when it is sent.
        """
        now = self.now_us()
        if now < call.released_us:
            next_check_us = call.released_us
        elif now < call.hold_end_us and self.peers.is_release_pending(call.request.call_id, peer):
            next_check_us = now + RELEASE_CHECK_INTERVAL_US
        else:
            return False
        if call.held_set_up is None:
            self.counts["attempts_held_for_release"] += 1
        call.held_set_up = self.clock.call_at(next_check_us, lambda: self._send_held_set_up(call, peer, deadline_us))
        return True

    def _send_held_set_up(self, call: Call, peer: str, deadline_us: int) -> None:
        if not self._hold_set_up(call, peer, deadline_us):
            call.held_set_up = None
            self._set_up(call.request.call_id, peer, deadline_us)

    def _cancel_held_set_up(self, call: Call) -> None:
        if call.held_set_up is not None:
            call.held_set_up.cancel()
            call.held_set_up = None

    def on_attempt_released(self, call_id: str) -> None:
        """Called when the release of an attempt that was lost with its connection was sent on a later one."""
        call = self.call_table.find_unanswered(call_id)
        if call is not None and call.attempt is None:
            call.released_us = self.now_us() + self.settings.release_us

    # ---- the ends of calls and attempts

    def _on_attempt_timeout(self, call: Call, attempt: Attempt) -> None:
        if call.attempt is attempt and not call.is_established:
            self._cancel_attempt(call, io.Outcome.TIMEOUT, settled=False)

    def _refuse_overdue(self, call: Call) -> None:
        """Refuse a call that is still unanswered, whatever it waits for: it must not cost the call its answer.

        It has failed instead if an attempt may have been executed, and its class may not be executed twice.
        """
        if self.calls.get(call.request.call_id) is not call or call.is_established:
            return
        self.counts["answers_by_guard"] += 1
        is_possibly_executed = call.is_possibly_executed or call.attempt is not None
        must_fail = is_possibly_executed and not self.settings.classes[call.request.service].may_repeat_anywhere
        self.log("call overdue", call=call.request.call_id, waits_for=call.state.value, attempts=call.attempts,
                 peer=call.attempt.peer if call.attempt else "", failed=must_fail,
                 waited_ms=(self.now_us() - call.accepted_us) // 1000, **self._log_fields(call))
        self._reject(call, FinalResult.FAILED if must_fail else FinalResult.REFUSED, RETRY_WAIT_US)
        self._dispatcher.dispatch(io.CallerGone(call.request.call_id))
        if call.attempt is not None:
            self._cancel_attempt(call, io.Outcome.TIMEOUT, settled=True)

    def _cancel_attempt(self, call: Call, outcome: io.Outcome, settled: bool) -> None:
        if call.attempt is not None:
            self.peers.cancel_set_up(call.attempt.peer, call.request.call_id)
            self._end_attempt(call, AttemptEnd(outcome), settled)

    def _end_attempt(self, call: Call, end: AttemptEnd, settled: bool) -> None:
        """End the attempt of a call. `settled`: the call has its final answer, so that no further attempt follows."""
        attempt, call.attempt = call.attempt, None
        if attempt is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.call_table.remove_from_peer(attempt.peer, call.request.call_id)
        self.counts["attempts_" + end.outcome.value.replace(" ", "_")] += 1
        now = self.now_us()
        load = self._add_circuit_report(attempt.peer, end.load)
        if end.outcome in (*POSSIBLY_EXECUTED, io.Outcome.NUMBER_FAULT):
            call.is_possibly_executed = True
        if end.outcome in POSSIBLY_EXECUTED:
            call.next_attempt_us = now + self.settings.release_us
            call.hold_end_us = now + MAX_RELEASE_HOLD_US
        self._dispatcher.dispatch(io.AttemptEnded(call.request.call_id, attempt.number, attempt.peer, end.outcome,
                                       now - attempt.sent_us, settled, end.cause, 0, load))

    def _end_by_peer(self, call: Call, end: AttemptEnd) -> None:
        """End an established call that its peer has released or cut, and release it towards its caller."""
        call.caller.on_released(call.request.call_id,
                                NORMAL_CLEARING if end.outcome is io.Outcome.OK else TEMPORARY_FAILURE)
        self._end_established(call, end)

    def _end_established(self, call: Call, end: AttemptEnd) -> None:
        ended_normally = end.outcome is io.Outcome.OK
        self.counts["calls_ended" if ended_normally else "calls_cut"] += 1
        self._write_record(call, "ended" if ended_normally else "cut")
        self.calls.pop(call.request.call_id, None)
        if call.admission is not None:
            call.admission.notify_ended(call.request, self.now_us())
        self._end_attempt(call, end, settled=True)

    def _reject(self, call: Call, result: FinalResult, wait_us: int = 0) -> None:
        """End an unanswered call, and send its caller the one final answer: refused or failed."""
        self._end_unanswered(call, result)
        if result is FinalResult.REFUSED:
            call.caller.on_refused(call.request.call_id, wait_us)
        else:
            call.caller.on_failed(call.request.call_id)

    def _end_unanswered(self, call: Call, result: FinalResult) -> None:
        self._cancel_timers(call)
        self.calls.pop(call.request.call_id, None)
        self.counts["final_" + result.value.replace(" ", "_")] += 1
        self._write_record(call, result.value)
        if call.admission is not None:
            now = self.now_us()
            call.admission.notify_final(call.request, result, now)
            call.admission.notify_ended(call.request, now)

    def _cancel_timers(self, call: Call) -> None:
        """Cancel the timers of a call that has its final answer."""
        self._cancel_held_set_up(call)
        if call.guard_timer is not None:
            call.guard_timer.cancel()
            call.guard_timer = None
        if call.attempt is not None and call.attempt.timer is not None:
            call.attempt.timer.cancel()

    def _write_record(self, call: Call, event: str) -> None:
        request = call.request
        self.record(CallRecord(request.call_id, self.now_us(), event, request.service_name, request.number,
                               request.dest, request.transit, call.attempts,
                               call.attempt.peer if call.attempt else "", call.accepted_us, call.label))

    @staticmethod
    def _log_fields(call: Call) -> dict[str, str]:
        """Return the fields that the gate's label adds to the log lines of a call."""
        return {"version": call.label} if call.label else {}
