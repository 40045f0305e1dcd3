"""Which call ids may be those of the process before a restart.

Nothing of a call outlives the process, but the call does: it stays established at its peer, and is an orphan then.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

from astertrack.core.history import CallHistory
from ospreylug import interface as io

# After a start, a set-up that its caller may have sent to the previous process is taken for one whose call may still be
# established at a peer: for this many times the longest mean holding time of a class, but no less than the minimum.
ORPHAN_HOLDING_TIMES = 20
MIN_ORPHAN_WINDOW_US = 60_000_000


class Orphans:
    """Tells the ids that this process has not handled. `calls` are the current calls, by id.

    Attributes: window_us, how long after a start a call from before it may stand, in microseconds.
    """

    def __init__(self, classes: Iterable[io.ServiceClass], calls: Container[str], now_us: Callable[[], int]) -> None:
        self._calls, self._now_us, self._history = calls, now_us, CallHistory()
        longest_hold_us = max(service.hold_us for service in classes)
        self.window_us = max(MIN_ORPHAN_WINDOW_US, ORPHAN_HOLDING_TIMES * longest_hold_us)
        self._window_end_us = now_us() + self.window_us

    def add_known(self, call_id: str) -> None:
        """Take note that this process has handled a call."""
        self._history.add(call_id)

    def is_unknown(self, call_id: str) -> bool:
        """Return whether this process has not handled the call; its previous process may have set it up."""
        return call_id not in self._calls and call_id not in self._history

    def may_stand(self, call_id: str) -> bool:
        """Return whether the call may be an orphan: set up by the previous process, and still established at a peer."""
        return self.is_unknown(call_id) and self._now_us() < self._window_end_us
