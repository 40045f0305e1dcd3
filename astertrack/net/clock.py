"""The Unix clock and its timers, on a Twisted reactor."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any


class ScheduledCall:
    """A timer: one callback, called at an instant of the Unix clock and never before it.

    Once it has fired or been cancelled it drops all its references. Otherwise timers and calls that refer to each
    other are left to the garbage collector, whose pauses of 80 ms lost calls in a busy router.
    """

    __slots__ = ("__weakref__", "_callback", "_clock", "_delayed_call", "_when_us")

    def __init__(self, clock: ReactorClock, when_us: int, callback: Callable[[], None]) -> None:
        self._clock, self._when_us = clock, when_us
        self._callback: Callable[[], None] | None = callback
        self._delayed_call: Any = None
        self._schedule()

    def _schedule(self) -> None:
        delay_s = max(0, self._when_us - self._clock.now_us()) / 1e6
        self._delayed_call = self._clock.reactor.callLater(delay_s, self._on_due)

    def _on_due(self) -> None:
        # The reactor's clock is not the Unix clock: if the callback ran slightly early, it would find that its period
        # is not over yet.
        if self._clock.now_us() < self._when_us:
            self._schedule()
            return
        callback, self._callback, self._delayed_call = self._callback, None, None
        if callback is not None:
            callback()

    def cancel(self) -> None:
        """Cancel the call; has no effect once it has been made."""
        delayed_call, self._callback, self._delayed_call = self._delayed_call, None, None
        if delayed_call is not None and delayed_call.active():
            delayed_call.cancel()


class ReactorClock:
    """The core's Clock port, implemented with a Twisted reactor."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor

    def now_us(self) -> int:
        """Return the current time in microseconds of the Unix clock."""
        return time.time_ns() // 1000

    def call_at(self, when_us: int, callback: Callable[[], None]) -> ScheduledCall:
        """Schedule a callback at an instant, given in microseconds of the Unix clock."""
        return ScheduledCall(self, when_us, callback)
