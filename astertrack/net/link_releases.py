"""The releases towards one peer that wait for a connection, or that may have been lost with one."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace

MAX_QUEUED_RELEASES = 2_000  # of one link; beyond it the oldest are dropped
# Bytes that arrive this long after a release, which is more than a round trip, show that the connection carried it.
RELEASE_DELIVERY_US = 100_000


@dataclass(frozen=True, slots=True)
class QueuedRelease:
    """A release that waits for the connection."""

    cause: int
    is_answered: bool  # whether the call was answered; otherwise it cancels a set-up
    may_never_be_sent: bool = False  # the peer was unresponsive


class LinkReleases:
    """The releases of one link, by call id. Times are Unix microseconds."""

    def __init__(self, counts: Counter[str]) -> None:
        self._counts = counts
        self.queued: dict[str, QueuedRelease] = {}  # wait for a connection, the oldest first
        # Sent on the present connection, perhaps in vain: with the time of sending, the oldest first.
        self._undelivered: dict[str, tuple[QueuedRelease, int]] = {}

    def queue(self, call_id: str, release: QueuedRelease) -> None:
        """Keep a release for the next connection; of too many, the oldest one is dropped."""
        self.queued[call_id] = release
        if len(self.queued) > MAX_QUEUED_RELEASES:
            del self.queued[next(iter(self.queued))]
            self._counts["peer_releases_dropped"] += 1

    def take_queued(self) -> dict[str, QueuedRelease]:
        """Return the releases that wait, to be sent on a new connection."""
        queued, self.queued = self.queued, {}
        return queued

    def on_sent(self, call_id: str, release: QueuedRelease, now_us: int) -> None:
        """Remember a release that was sent on the present connection."""
        self._undelivered.pop(call_id, None)
        self._undelivered[call_id] = release, now_us

    def on_bytes_received(self, now_us: int) -> None:
        """Forget the releases that the present connection has carried."""
        while self._undelivered:
            call_id, (_, sent_us) = next(iter(self._undelivered.items()))
            if now_us - sent_us < RELEASE_DELIVERY_US:
                return
            del self._undelivered[call_id]

    def on_connection_lost(self, is_unresponsive: bool) -> None:
        """Queue again what the connection may not have carried."""
        undelivered, self._undelivered = self._undelivered, {}
        for call_id, (release, _) in undelivered.items():
            self.queue(call_id, replace(release, may_never_be_sent=is_unresponsive))

    def clear(self) -> None:
        """Drop what waits: nobody is left to be told."""
        self.queued.clear()

    def is_pending(self, call_id: str, also_if_unresponsive: bool) -> bool:
        """Return whether a release of this call waits for a connection."""
        queued = self.queued.get(call_id)
        return queued is not None and (also_if_unresponsive or not queued.may_never_be_sent)
