"""Runs long computations in the reactor's thread, a few steps in each of its turns, so that calls are handled between.

Twisted's Cooperator schedules the steps. Several computations share the time of a turn.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.task import CooperativeTask, Cooperator, TaskStopped
from twisted.internet.threads import deferToThreadPool

from astertrack.stepwise import Steps

T = TypeVar("T")
TURN_BUDGET_US = 1_500  # of each reactor turn; calls wait at most this long, and the time of one step, for the steps


class _TurnBudget:
    """Says when the steps of one turn have used up its budget, and records the longest turn."""

    def __init__(self, runner: CooperativeRunner) -> None:
        self._runner, self._start_s = runner, time.perf_counter()

    def __call__(self) -> bool:
        elapsed_us = (time.perf_counter() - self._start_s) * 1e6
        self._runner.longest_turn_us = max(self._runner.longest_turn_us, int(elapsed_us))
        return elapsed_us >= TURN_BUDGET_US


class CooperativeRunner:
    """Runs computations of astertrack.stepwise on a reactor."""

    def __init__(self, reactor: Any) -> None:
        self.longest_turn_us = 0  # spent on steps in one turn of the reactor
        self._reactor = reactor
        self._cooperator = Cooperator(lambda: _TurnBudget(self), lambda turn: reactor.callLater(0, turn))
        self._tasks: set[CooperativeTask[Any]] = set()

    def run(self, steps: Steps[T]) -> Deferred[T]:
        """Start a computation. The Deferred fires with its result or its exception; never, if stop() ends it."""
        finished: Deferred[T] = Deferred()
        task = self._cooperator.cooperate(self._drive(steps, finished))
        self._tasks.add(task)

        def on_end(failure: Any) -> None:
            self._tasks.discard(task)
            if failure is not None and not failure.check(TaskStopped):
                finished.errback(failure)

        task.whenDone().addCallbacks(lambda _: on_end(None), on_end)
        return finished

    def stop(self) -> None:
        """End all computations that still run."""
        for task in list(self._tasks):
            task.stop()

    def _drive(self, steps: Steps[T], finished: Deferred[T]) -> Iterator[Deferred[None] | None]:
        """Yield once per step; for an offloaded one, yield the Deferred for whose result the Cooperator waits."""
        result: Any = None
        while True:
            try:
                offload = steps.send(result)
            except StopIteration as end:
                finished.callback(end.value)
                return
            result = None
            if offload is None:
                yield None
                continue
            results: list[Any] = []
            yield deferToThreadPool(
                self._reactor, self._reactor.getThreadPool(), offload.function).addCallback(results.append)
            result = results[0]
