"""The Unix clock, and what is to be done at an instant of it, on a Twisted reactor."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any


class ScheduledCall:
    """One thing to be done at an instant, never before it.

    Done or cancelled, it lets go of everything: timers and calls that hold each other are left to the garbage
    collector, whose pauses of 80 ms lost calls in a busy router.
    """

    __slots__ = ("__weakref__", "_call", "_clock", "_do", "_when_us")

    def __init__(self, clock: ReactorClock, when_us: int, do: Callable[[], None]) -> None:
        self._clock, self._when_us = clock, when_us
        self._do: Callable[[], None] | None = do
        self._call: Any = None
        self._arm()

    def _arm(self) -> None:
        left = max(0, self._when_us - self._clock.now_us()) / 1e6
        self._call = self._clock.reactor.callLater(left, self._due)

    def _due(self) -> None:
        # The reactor's clock is not the Unix clock: a timer a hair early would find its period not yet over.
        if self._clock.now_us() < self._when_us:
            self._arm()
            return
        do, self._do, self._call = self._do, None, None
        if do is not None:
            do()

    def cancel(self) -> None:
        """Forget it; harmless when it has fired."""
        call, self._do, self._call = self._call, None, None
        if call is not None and call.active():
            call.cancel()


class ReactorClock:
    """The core's clock port."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor

    def now_us(self) -> int:
        """Return the present instant in microseconds."""
        return time.time_ns() // 1000

    def call_at(self, when_us: int, do: Callable[[], None]) -> ScheduledCall:
        """Call do at an instant."""
        return ScheduledCall(self, when_us, do)
