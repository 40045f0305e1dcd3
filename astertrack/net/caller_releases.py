"""Releases of established calls towards SIP callers, and the choice of the connection on which each is sent.

No connection owns an established call: its release may be sent on any connection of callers. Not every connection has a
caller behind it, though: some only hold a descriptor, and never read or understand what they are sent.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from astertrack.core.model import Clock

# Only after this time is a release sent on a connection on which no call has been answered.
ANSWERED_CONNECTION_WAIT_US = 250_000
RESPONSE_TIMEOUT_US = 350_000  # an unconfirmed release is then sent again on another connection
MAX_ATTEMPTS = 3
# Releases for which no connection is found are dropped after this time, and the oldest ones beyond this number.
RETENTION_US = 60_000_000
MAX_PENDING = 10_000


class Trust(IntEnum):
    """How likely it is that a caller receives what is sent on a connection."""

    NONE = 0  # no whole message was received on it, or one that no caller sends
    SOUND_MESSAGES = 1  # whole messages, all of them sound
    ANSWERED_CALL = 2  # one of its calls was answered


class ReleaseConnection(Protocol):
    """A connection on which releases can be sent."""

    @property
    def trust(self) -> Trust:
        """How likely it is that a caller receives what is sent on it."""

    def is_writable(self) -> bool:
        """Return whether the caller is likely to read what is written now."""

    def release(self, call_id: str, cause: int) -> None:
        """Send a release."""


@dataclass(slots=True)
class PendingRelease:
    """A release that no caller has confirmed yet."""

    cause: int
    requested_us: int
    sent_us: int = 0
    tried_connections: list[ReleaseConnection] = field(default_factory=list)  # on which it was sent
    best_trust: Trust = Trust.NONE  # of those connections when it was sent


class CallerReleases:
    """The releases that are not sent yet, or not confirmed.

    `connections` are those of all callers, the most recently active one last. `on_settled` is called with each call id
    whose release a caller has, as far as can be known.
    """

    def __init__(self, connections: dict[ReleaseConnection, None], clock: Clock, counts: Counter[str],
                 on_settled: Callable[[str], None] = lambda call_id: None) -> None:
        self.connections, self.clock, self.counts, self.on_settled = connections, clock, counts, on_settled
        self.pending: dict[str, PendingRelease] = {}  # by call id, the oldest first

    def release(self, call_id: str, cause: int, preferred: ReleaseConnection | None = None) -> None:
        """Release an established call, on the preferred connection if that is trusted, or on any other."""
        self.counts["sip_releases_sent"] += 1
        if len(self.pending) >= MAX_PENDING:
            self._drop(next(iter(self.pending)))
        self.pending.pop(call_id, None)
        self.pending[call_id] = release = PendingRelease(cause, self.clock.now_us())
        if preferred is not None and preferred in self.connections and self._is_candidate(
                preferred, Trust.ANSWERED_CALL):
            self._send(call_id, release, preferred)
        else:
            self._send_on_first(call_id, release, self._candidates(Trust.ANSWERED_CALL))

    def confirm(self, call_id: str) -> None:
        """Forget a release that a caller has confirmed."""
        if self.pending.pop(call_id, None) is not None:
            self.on_settled(call_id)

    def withdraw(self, call_id: str) -> None:
        """Forget the release of a call whose caller is somebody else."""
        self.pending.pop(call_id, None)

    def check(self) -> None:
        """Send what could not be sent before, and repeat what is not confirmed. Called at short intervals."""
        if not self.pending:
            return
        trusted = list(self._candidates(Trust.ANSWERED_CALL))
        # A connection with an answered call comes first; the others are in the order of their activity.
        others = (c for c in self._candidates(Trust.SOUND_MESSAGES) if c.trust is not Trust.ANSWERED_CALL)
        all_candidates = [*trusted, *others]
        for call_id, release in list(self.pending.items()):
            self._check_release(call_id, release, trusted, all_candidates)

    def _check_release(self, call_id: str, release: PendingRelease, trusted: list[ReleaseConnection],
                       all_candidates: list[ReleaseConnection]) -> None:
        now = self.clock.now_us()
        if not release.tried_connections:
            may_use_any = now - release.requested_us >= ANSWERED_CONNECTION_WAIT_US
            self._send_on_first(call_id, release, all_candidates if may_use_any else trusted)
            if not release.tried_connections and now - release.requested_us > RETENTION_US:
                self._drop(call_id)
        elif self._is_finished(release):
            self.confirm(call_id)
        elif now - release.sent_us > RESPONSE_TIMEOUT_US:
            if self._send_on_first(call_id, release, all_candidates):
                self.counts["sip_releases_repeated"] += 1
            elif now - release.requested_us > RETENTION_US:
                self._drop(call_id)

    def _is_finished(self, release: PendingRelease) -> bool:
        """Return whether repeating an unconfirmed release is of no use.

        Callers are not obliged to confirm a release. While none ever has, one that was sent where a call had been
        answered is taken for received.
        """
        callers_confirm = self.counts["sip_releases_heard"] > 0
        return len(release.tried_connections) >= MAX_ATTEMPTS or (
            not callers_confirm and release.best_trust is Trust.ANSWERED_CALL)

    def _drop(self, call_id: str) -> None:
        self.counts["sip_releases_dropped"] += 1
        del self.pending[call_id]

    @staticmethod
    def _is_candidate(connection: ReleaseConnection, min_trust: Trust) -> bool:
        return connection.trust >= min_trust and connection.is_writable()

    def _candidates(self, min_trust: Trust) -> Iterator[ReleaseConnection]:
        return (c for c in reversed(self.connections) if self._is_candidate(c, min_trust))

    def _send_on_first(self, call_id: str, release: PendingRelease, candidates: Iterable[ReleaseConnection]) -> bool:
        """Send a release on the first candidate on which it was not sent before; return whether there is one."""
        connection = next((c for c in candidates if c not in release.tried_connections), None)
        if connection is not None:
            self._send(call_id, release, connection)
        return connection is not None

    def _send(self, call_id: str, release: PendingRelease, connection: ReleaseConnection) -> None:
        release.tried_connections.append(connection)
        release.best_trust = max(release.best_trust, connection.trust)
        release.sent_us = self.clock.now_us()
        connection.release(call_id, release.cause)
