"""Timers on a reactor's clock."""

from __future__ import annotations

import gc
import weakref
from collections.abc import Callable

import pytest
from twisted.internet.task import Clock

from astertrack.net.clock import ReactorClock, ScheduledCall


class Held:
    """A call that holds its timer, as its timer holds it."""

    timer: ScheduledCall | None = None

    def due(self) -> None:
        """Nothing is done."""


class Steady(ReactorClock):
    """A Unix clock that runs with the reactor's, but a little behind."""

    behind_us = 0

    def now_us(self) -> int:
        """Return the instant."""
        return int(self.reactor.seconds() * 1e6) - self.behind_us


@pytest.mark.parametrize("end", [lambda clock, timer: clock.advance(2), lambda clock, timer: timer.cancel()])
def test_a_timer_that_is_over_leaves_nothing_to_the_garbage_collector(
        end: Callable[[Clock, ScheduledCall], None]) -> None:
    reactor = Clock()
    clock, held = Steady(reactor), Held()
    gc.disable()
    try:
        held.timer = clock.call_at(clock.now_us() + 1_000_000, held.due)
        end(reactor, held.timer)
        gone, timer = weakref.ref(held), weakref.ref(held.timer)
        del held
        assert gone() is None
        assert timer() is None
    finally:
        gc.enable()


def test_a_timer_never_fires_before_its_instant() -> None:
    reactor, fired = Clock(), list[int]()
    clock = Steady(reactor)
    clock.call_at(1_000_000, lambda: fired.append(clock.now_us()))
    clock.behind_us = 300  # the Unix clock was set back
    reactor.advance(1.0)
    assert fired == []
    reactor.advance(0.001)
    assert len(fired) == 1
    assert fired[0] >= 1_000_000
