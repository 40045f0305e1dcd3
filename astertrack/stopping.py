"""Carries out the shutdown of a router, as astertrack.shutdown decides it."""

from __future__ import annotations

import os
import threading
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import structlog

from astertrack.core import Router
from astertrack.core.router import ANSWER_MARGIN_US
from astertrack.net.clock import ReactorClock
from astertrack.net.draining import FrontDrain
from astertrack.net.listeners import accept_and_close, stop_handshakes
from astertrack.net.peers import PeerTable
from astertrack.parts.model import Part
from astertrack.shutdown import (
    CloseConnections,
    CloseListeners,
    CloseStore,
    Exit,
    OpenWork,
    RefuseOldest,
    RefuseSetUps,
    Shutdown,
    ShutdownAction,
    ShutdownPhase,
    StopHandshakes,
    make_schedule,
)
from astertrack.shutdown.machine import CHECK_INTERVAL_US
from astertrack.shutdown.model import QUIET_TIME_US
from astertrack.store import Store

log = structlog.get_logger()
PROGRESS_LOG_INTERVAL_US = 500_000
EXIT_GRACE_US = 15_000  # before SIGKILL, the process ends even if one of its threads does not


@dataclass(frozen=True, slots=True)
class ShutdownContext:
    """The components of a router that a shutdown deals with."""

    router: Router
    peers: PeerTable
    clock: ReactorClock
    reactor: Any
    counts: Counter[str]
    listeners: Sequence[Any]
    fronts: Sequence[FrontDrain]
    parts: Sequence[Part]
    store: Store
    print_counts: Callable[[], None]


class ShutdownRunner:
    """One shutdown."""

    def __init__(self, context: ShutdownContext, requested_us: int) -> None:
        self._context = context
        longest_deadline_us = max(service.deadline_us for service in context.router.settings.classes)
        self._schedule = make_schedule(requested_us, longest_deadline_us, ANSWER_MARGIN_US)
        self._machine = Shutdown(self._schedule)
        self._is_store_closed = False
        self._next_log_us = requested_us

    def start(self) -> None:
        """Limit the deadlines of all calls, process all input, and begin to check what is open."""
        schedule, router = self._schedule, self._context.router
        log.info("stopping", calls=len(router.calls), unanswered=router.call_table.count_unanswered(),
                 accept_ms=(schedule.accept_until_us - schedule.requested_us) // 1000,
                 answer_ms=(schedule.answer_by_us - schedule.requested_us) // 1000,
                 kill_ms=(schedule.kill_us - schedule.requested_us) // 1000)
        router.limit_deadlines(schedule.deadline_us)
        for front in self._context.fronts:
            front.start()
        self._check()

    def _check(self) -> None:
        now = self._context.clock.now_us()
        next_check = self._context.clock.call_at(now + CHECK_INTERVAL_US, self._check)  # also if a step fails
        work = self._find_open_work()
        self._log_progress(now, work)
        phase = self._machine.phase
        actions = self._machine.handle(now, work)
        if self._machine.phase is not phase:
            log.info("stop phase", phase=self._machine.phase.value, elapsed_ms=self._elapsed_ms(now),
                     unanswered=work.unanswered_calls, established=work.established_calls,
                     unread_connections=work.unread_connections, connections=work.open_connections)
        for action in actions:
            if isinstance(action, Exit):
                next_check.cancel()
            self._carry_out(action, now)

    def _elapsed_ms(self, now_us: int) -> int:
        return (now_us - self._schedule.requested_us) // 1000

    def _find_open_work(self) -> OpenWork:
        context, router = self._context, self._context.router
        unanswered = router.call_table.count_unanswered()
        return OpenWork(
            unanswered, len(router.calls) - unanswered, context.peers.has_unsent_releases(),
            sum(front.count_unread() for front in context.fronts) if self._depends_on_unread(unanswered) else 0,
            sum(front.count_open() for front in context.fronts),
            sum(front.count_unfinished() for front in context.fronts), router.last_offer_us, self._is_store_closed)

    def _depends_on_unread(self, unanswered: int) -> bool:
        """Return whether unread input decides what comes next; to ask every connection for it costs a system call."""
        if self._machine.phase is ShutdownPhase.CLOSING:
            return True
        is_quiet = self._context.clock.now_us() - self._context.router.last_offer_us >= QUIET_TIME_US
        return self._machine.phase is ShutdownPhase.ANSWERING and is_quiet and not unanswered

    def _log_progress(self, now_us: int, work: OpenWork) -> None:
        """Log now and then what the calls wait for."""
        if now_us < self._next_log_us:
            return
        self._next_log_us = now_us + PROGRESS_LOG_INTERVAL_US
        log.info("stop progress", elapsed_ms=self._elapsed_ms(now_us),
                 waiting_for_dial=self._context.peers.count_waiting_for_dial(), connections=work.open_connections,
                 **self._context.router.call_table.count_states())

    def _carry_out(self, action: ShutdownAction, now_us: int) -> None:
        context = self._context
        match action:
            case StopHandshakes():
                for listener in context.listeners:
                    stop_handshakes(listener)
            case CloseListeners():
                for listener in context.listeners:
                    accept_and_close(listener)
                for part in context.parts:
                    part.stop()
            case RefuseOldest(count):
                context.router.refuse_oldest(count)
            case RefuseSetUps():
                context.router.limit_deadlines(now_us)
                context.router.refuse_oldest(context.router.call_table.count_unanswered())
                context.peers.stop_input()  # no client can be told any more
            case CloseConnections(is_forced):
                for front in context.fronts:
                    front.close(now_us, is_forced)
            case CloseStore():
                context.peers.finish()
                context.store.close().addCallback(self._on_store_closed)
            case Exit(is_store_closed):
                self._exit(is_store_closed)

    def _on_store_closed(self, _: object) -> None:
        self._is_store_closed = True

    def _exit(self, is_store_closed: bool) -> None:
        """Print the counters and end the process; at once if the thread of the store hangs, which cannot be stopped."""
        context = self._context
        elapsed_ms = self._elapsed_ms(context.clock.now_us())
        if not is_store_closed:
            log.warning("store did not close in time; exiting without it", elapsed_ms=elapsed_ms)
            context.print_counts()
            os._exit(0)
        log.info("stopped", elapsed_ms=elapsed_ms)
        context.print_counts()
        grace_s = max(0, self._schedule.kill_us - EXIT_GRACE_US - context.clock.now_us()) / 1e6
        watchdog = threading.Timer(grace_s, os._exit, (0,))  # a thread that computes on would delay the reactor's stop
        watchdog.daemon = True
        watchdog.start()
        context.reactor.stop()
