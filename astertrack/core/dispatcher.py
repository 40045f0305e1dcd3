"""Passes events to the decision module, one after the other, and its actions to the router."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from astertrack.core.model import LogFunction
from ospreylug import interface as io
from ospreylug.logic import Controller


class Dispatcher:
    """The events that the module has not handled yet. An action may cause further events, which are queued."""

    def __init__(self, controller: Controller, now_us: Callable[[], int], carry_out: Callable[[io.Action], None],
                 log: LogFunction, counts: Counter[str]) -> None:
        self._controller, self._now_us, self._carry_out = controller, now_us, carry_out
        self._log, self._counts = log, counts
        self._events: deque[io.Event] = deque()
        self._is_dispatching = False

    def dispatch(self, event: io.Event) -> None:
        """Pass an event to the module and carry out its actions."""
        self._events.append(event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                for action in self._handle(self._events.popleft()):
                    self._carry_out(action)
        finally:
            self._is_dispatching = False

    def _handle(self, event: io.Event) -> list[io.Action]:
        """Return the module's actions; none if it fails, which affects one call, and its guard timer answers that."""
        try:
            return self._controller.handle(self._now_us(), event)
        except Exception as error:
            self._counts["module_faults"] += 1
            self._log("module fault", told=type(event).__name__, error=repr(error))
            return []
