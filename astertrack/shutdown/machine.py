"""The state machine of a shutdown."""

from __future__ import annotations

from astertrack.shutdown.model import (
    HANDSHAKE_TIME_US,
    LINGER_US,
    MAX_LINGER_US,
    QUIET_TIME_US,
    CloseConnections,
    CloseListeners,
    CloseStore,
    Exit,
    OpenWork,
    RefuseOldest,
    RefuseSetUps,
    ShutdownAction,
    ShutdownPhase,
    ShutdownSchedule,
    StopHandshakes,
)

REFUSAL_TIME_US = 200  # of the processor, for one call that is refused at the end
CHECK_INTERVAL_US = 10_000  # how often the machine is to be asked


class Shutdown:
    """Goes through the phases of one shutdown. Its owner passes the open work every CHECK_INTERVAL_US."""

    def __init__(self, schedule: ShutdownSchedule) -> None:
        self.schedule = schedule
        self.phase = ShutdownPhase.ACCEPTING
        self._phase_since_us = schedule.requested_us
        self._is_store_closing = False

    def handle(self, now_us: int, work: OpenWork) -> list[ShutdownAction]:
        """Return what to do now."""
        match self.phase:
            case ShutdownPhase.ACCEPTING:
                return self._accept(now_us, work)
            case ShutdownPhase.HANDSHAKES:
                return self._await_handshakes(now_us, work)
            case ShutdownPhase.ANSWERING:
                return self._answer(now_us, work)
            case ShutdownPhase.CLOSING:
                return self._close(now_us, work)
            case ShutdownPhase.EXITING:
                return []

    def _enter(self, phase: ShutdownPhase, now_us: int) -> None:
        self.phase, self._phase_since_us = phase, now_us

    def _accept(self, now_us: int, work: OpenWork) -> list[ShutdownAction]:
        if now_us < self.schedule.accept_until_us:
            return self._refuse_in_time(now_us, work)
        self._enter(ShutdownPhase.HANDSHAKES, now_us)
        return [StopHandshakes()]

    def _await_handshakes(self, now_us: int, work: OpenWork) -> list[ShutdownAction]:
        if now_us < self._phase_since_us + HANDSHAKE_TIME_US:
            return self._refuse_in_time(now_us, work)
        self._enter(ShutdownPhase.ANSWERING, now_us)
        return [CloseListeners()]

    def _answer(self, now_us: int, work: OpenWork) -> list[ShutdownAction]:
        must_pass_on = work.has_releases and now_us < self.schedule.release_until_us
        is_quiet = now_us - work.last_set_up_us >= QUIET_TIME_US
        is_done = is_quiet and not work.has_requests and not must_pass_on
        if now_us < self.schedule.answer_by_us and not is_done:
            return self._refuse_in_time(now_us, work)
        self._enter(ShutdownPhase.CLOSING, now_us)
        return [RefuseSetUps(), CloseConnections(is_forced=False)]

    def _refuse_in_time(self, now_us: int, work: OpenWork) -> list[ShutdownAction]:
        """Refuse calls early if there are more than can be refused together at the end."""
        room = max(0, self.schedule.answer_by_us - now_us) // REFUSAL_TIME_US
        excess = work.unanswered_calls - room
        return [RefuseOldest(excess)] if excess > 0 else []

    def _close(self, now_us: int, work: OpenWork) -> list[ShutdownAction]:
        is_forced = now_us >= min(self._phase_since_us + LINGER_US, self.schedule.exit_by_us)
        actions: list[ShutdownAction] = [CloseConnections(is_forced)]
        if not self._is_store_closing and (is_forced or not work.unfinished_connections):
            self._is_store_closing = True  # not before: a set-up that is refused has a record, too
            actions.append(CloseStore())
        has_lingered = not work.open_connections or now_us >= self._phase_since_us + MAX_LINGER_US
        if now_us >= self.schedule.exit_by_us or (has_lingered and self._is_store_closing and work.is_store_closed):
            self._enter(ShutdownPhase.EXITING, now_us)
            actions.append(Exit(work.is_store_closed))
        return actions
