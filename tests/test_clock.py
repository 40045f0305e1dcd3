"""Timers of the reactor clock."""

from __future__ import annotations

import gc
import weakref
from collections.abc import Callable

import pytest
from twisted.internet.task import Clock

from astertrack.net.clock import ReactorClock, ScheduledCall


class TimerOwner:
    """An object that refers to its timer, as the timer refers to it."""

    timer: ScheduledCall | None = None

    def on_due(self) -> None:
        """Does nothing."""


class LaggingClock(ReactorClock):
    """A Unix clock that runs as fast as the reactor's, but may lag behind it."""

    lag_us = 0

    def now_us(self) -> int:
        """Return the current time."""
        return int(self.reactor.seconds() * 1e6) - self.lag_us


@pytest.mark.parametrize("end", [lambda clock, timer: clock.advance(2), lambda clock, timer: timer.cancel()])
def test_a_timer_that_fired_or_was_cancelled_leaves_nothing_to_the_garbage_collector(
        end: Callable[[Clock, ScheduledCall], None]) -> None:
    reactor = Clock()
    clock, owner = LaggingClock(reactor), TimerOwner()
    gc.disable()
    try:
        owner.timer = clock.call_at(clock.now_us() + 1_000_000, owner.on_due)
        end(reactor, owner.timer)
        owner_ref, timer_ref = weakref.ref(owner), weakref.ref(owner.timer)
        del owner
        assert owner_ref() is None
        assert timer_ref() is None
    finally:
        gc.enable()


def test_a_timer_never_fires_before_its_instant() -> None:
    reactor, fired = Clock(), list[int]()
    clock = LaggingClock(reactor)
    clock.call_at(1_000_000, lambda: fired.append(clock.now_us()))
    clock.lag_us = 300  # the Unix clock was set back
    reactor.advance(1.0)
    assert fired == []
    reactor.advance(0.001)
    assert len(fired) == 1
    assert fired[0] >= 1_000_000
