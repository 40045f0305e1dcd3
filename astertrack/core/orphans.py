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
MAX_PLACED_ORPHANS = 10_000  # whose peer is known; the oldest are forgotten


class Orphans:
    """Tells the ids that this process has not handled. `calls` are the current calls, by id.

    Attributes: window_us, how long after a start a call from before it may stand, in microseconds; started_us, the time
    of the start.
    """

    def __init__(self, classes: Iterable[io.ServiceClass], calls: Container[str], now_us: Callable[[], int]) -> None:
        self._calls, self._now_us, self._history = calls, now_us, CallHistory()
        longest_hold_us = max(service.hold_us for service in classes)
        self.window_us = max(MIN_ORPHAN_WINDOW_US, ORPHAN_HOLDING_TIMES * longest_hold_us)
        self.started_us = now_us()
        # Where an orphan stands, if that is known: the peer by call id, the oldest first, and the call ids by peer.
        self._peers: dict[str, str] = {}
        self._call_ids: dict[str, set[str]] = {}

    def add_known(self, call_id: str) -> None:
        """Take note that this process has handled a call."""
        self._history.add(call_id)

    def is_unknown(self, call_id: str) -> bool:
        """Return whether this process has not handled the call; its previous process may have set it up."""
        return call_id not in self._calls and call_id not in self._history

    def may_stand(self, call_id: str) -> bool:
        """Return whether the call may be an orphan: set up by the previous process, and still established at a peer."""
        return self.is_unknown(call_id) and self._now_us() < self.started_us + self.window_us

    def place(self, call_id: str, peer: str) -> None:
        """Take note of the peer at which an orphan stands, as its client says."""
        self._remove(call_id)
        self._peers[call_id] = peer
        self._call_ids.setdefault(peer, set()).add(call_id)
        if len(self._peers) > MAX_PLACED_ORPHANS:
            self._remove(next(iter(self._peers)))

    def take_from(self, peer: str) -> list[str]:
        """Return the ids of the orphans that stand at a peer, and forget where they stand."""
        taken = list(self._call_ids.get(peer, ()))
        for call_id in taken:
            self._remove(call_id)
        return [call_id for call_id in taken if self.is_unknown(call_id)]

    def _remove(self, call_id: str) -> None:
        peer = self._peers.pop(call_id, None)
        if peer is None:
            return
        self._call_ids[peer].remove(call_id)
        if not self._call_ids[peer]:
            del self._call_ids[peer]
