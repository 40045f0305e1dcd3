"""Releases of established calls towards clients of the WebSocket front that have a name.

Such a client gets its releases on whatever connection it has, also if it has restarted and does not know its calls any
more. Each release is held until the client confirms it, and sent again on the client's next connection until then.

After a restart of this router, nothing tells whose a call of the previous process was, unless its client resumes it.
Its release goes to the clients that may have placed it: those that have lost their calls in a restart of their own.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from astertrack.core.model import Clock

# Releases are dropped after this time: a client that has been away for so long has other means to find its calls gone.
RETENTION_US = 600_000_000
MAX_HELD_PER_CLIENT = 2_000
MAX_HELD = 10_000  # of all clients; beyond it, the client with the most loses its oldest
MAX_CLIENTS = 1_000  # remembered, connected or not
# A client that connects gets its releases in batches, so that neither it nor anybody else has to wait for all of them.
BATCH_SIZE, BATCH_INTERVAL_US = 50, 50_000


@dataclass(frozen=True, slots=True)
class ClientIdentity:
    """A client over all its connections: the name that it gives, and the host that it connects from."""

    name: str
    host: str


class ClientReleaseConnection(Protocol):
    """A connection of a client that has a name."""

    def send_release(self, call_id: str, cause: int) -> None:
        """Send a release that the client has to confirm."""


@dataclass(slots=True)
class HeldRelease:
    """A release that its client has not confirmed."""

    cause: int
    requested_us: int
    sent_on: tuple[ClientReleaseConnection, ...] = ()  # the open connections on which it was sent


@dataclass(slots=True)
class _Client:
    connections: dict[ClientReleaseConnection, None] = field(default_factory=dict)  # the latest one last
    releases: dict[str, HeldRelease] = field(default_factory=dict)  # by call id, the oldest first
    # Until then a call that nobody has resumed may be one of its process before a restart; 0: it knows all its calls.
    may_have_orphans_until_us: int = 0
    is_sending: bool = False  # the next batch is scheduled

    @property
    def connection(self) -> ClientReleaseConnection | None:
        """The latest connection: the others may be those of a process that has ended."""
        return next(reversed(self.connections), None)


class ClientReleases:
    """The releases that clients with a name have not confirmed.

    `orphan_window_us` is how long a call may stand; `on_settled` is called with each call id whose release a client has
    confirmed.
    """

    def __init__(self, clock: Clock, counts: Counter[str], orphan_window_us: int,
                 on_settled: Callable[[str], None]) -> None:
        self.clock, self.counts, self.orphan_window_us, self.on_settled = clock, counts, orphan_window_us, on_settled
        self._clients: dict[ClientIdentity, _Client] = {}
        self._held_count = 0
        self._holder_counts = Counter[str]()  # by call id: the clients for which its release is held
        self._unclaimed: dict[str, HeldRelease] = {}  # of calls whose client is not known, the oldest first

    # ---- connections

    def add_connection(self, connection: ClientReleaseConnection, identity: ClientIdentity,
                       started_us: int | None) -> None:
        """Send a client what it has not confirmed. started_us: since when it knows its calls; None: it knows all.

        Only the first start that a client names counts: with it or later, it resumes on this router what it knows.
        """
        client = self._clients.get(identity)
        if client is None:
            client = self._clients[identity] = _Client()
            if started_us is not None:
                client.may_have_orphans_until_us = started_us + self.orphan_window_us
                if self._may_have_orphans(client):
                    for call_id, release in self._unclaimed.items():
                        self._hold(client, call_id, release.cause)
            self._forget_clients()
        client.connections[connection] = None
        self._send_batch(client)  # also what was sent on the connection before, which may not have carried it

    def remove_connection(self, connection: ClientReleaseConnection, identity: ClientIdentity) -> None:
        """Take note that a connection has ended: what it may not have carried is sent on another one."""
        client = self._clients.get(identity)
        if client is None:
            return
        client.connections.pop(connection, None)
        for release in client.releases.values():
            release.sent_on = tuple(other for other in release.sent_on if other is not connection)
        self._send_batch(client)

    def _may_have_orphans(self, client: _Client) -> bool:
        return self.clock.now_us() < client.may_have_orphans_until_us

    def _forget_clients(self) -> None:
        """Keep MAX_CLIENTS, and forget one that is not connected: the one for which the least is held."""
        absent = [identity for identity, client in self._clients.items() if not client.connections]
        if len(self._clients) <= MAX_CLIENTS or not absent:
            return
        identity = min(absent, key=lambda i: len(self._clients[i].releases))
        client = self._clients[identity]
        while client.releases:
            self._drop_oldest(client)
        del self._clients[identity]

    # ---- releases

    def release(self, identity: ClientIdentity, call_id: str, cause: int) -> None:
        """Release a call towards its client: now, or when it connects."""
        client = self._clients.setdefault(identity, _Client())
        self._hold(client, call_id, cause)
        if (connection := client.connection) is not None:
            self._send(client, call_id, connection)

    def release_unclaimed(self, call_id: str, cause: int) -> None:
        """Release a call whose client is not known towards each one that may have placed it."""
        self._unclaimed[call_id] = HeldRelease(cause, self.clock.now_us())
        if len(self._unclaimed) > MAX_HELD:
            del self._unclaimed[next(iter(self._unclaimed))]
            self.counts["ws_releases_dropped"] += 1
        for identity, client in self._clients.items():
            if self._may_have_orphans(client):
                self.release(identity, call_id, cause)

    def confirm(self, identity: ClientIdentity, call_id: str) -> None:
        """Forget a release that its client has confirmed."""
        client = self._clients.get(identity)
        if client is not None and call_id in client.releases:
            self._remove(client, call_id)
            self.counts["ws_releases_confirmed"] += 1
            self.on_settled(call_id)

    def withdraw(self, call_id: str) -> None:
        """Forget the releases of a call: its client has shown itself."""
        self._unclaimed.pop(call_id, None)
        if not self.is_pending(call_id):
            return
        for client in self._clients.values():
            if call_id in client.releases:
                self._remove(client, call_id)

    def is_pending(self, call_id: str) -> bool:
        """Return whether a client has not confirmed the release of this call."""
        return call_id in self._holder_counts

    def expire(self) -> None:
        """Drop the releases whose retention time has passed. Called now and then."""
        limit_us = self.clock.now_us() - RETENTION_US
        for client in self._clients.values():
            while client.releases and next(iter(client.releases.values())).requested_us < limit_us:
                self._drop_oldest(client)
        while self._unclaimed and next(iter(self._unclaimed.values())).requested_us < limit_us:
            del self._unclaimed[next(iter(self._unclaimed))]

    def _hold(self, client: _Client, call_id: str, cause: int) -> None:
        if call_id in client.releases:
            return
        self._held_count += 1
        self._holder_counts[call_id] += 1
        client.releases[call_id] = HeldRelease(cause, self.clock.now_us())
        if len(client.releases) > MAX_HELD_PER_CLIENT:
            self._drop_oldest(client)
        elif self._held_count > MAX_HELD:
            self._drop_oldest(max(self._clients.values(), key=lambda c: len(c.releases)))

    def _drop_oldest(self, client: _Client) -> None:
        self._remove(client, next(iter(client.releases)))
        self.counts["ws_releases_dropped"] += 1

    def _remove(self, client: _Client, call_id: str) -> None:
        del client.releases[call_id]
        self._held_count -= 1
        self._holder_counts[call_id] -= 1
        if not self._holder_counts[call_id]:
            del self._holder_counts[call_id]

    def _send(self, client: _Client, call_id: str, connection: ClientReleaseConnection) -> None:
        release = client.releases.get(call_id)
        if release is not None and connection not in release.sent_on:
            release.sent_on += (connection,)
            self.counts["ws_releases_to_named"] += 1
            connection.send_release(call_id, release.cause)

    def _send_batch(self, client: _Client) -> None:
        """Send the next batch of what was not sent on the present connection, and schedule the one after it."""
        connection = client.connection
        if connection is None or client.is_sending:
            return
        unsent = [call_id for call_id, release in client.releases.items() if connection not in release.sent_on]
        for call_id in unsent[:BATCH_SIZE]:
            self._send(client, call_id, connection)
        if len(unsent) > BATCH_SIZE:
            client.is_sending = True
            self.clock.call_at(self.clock.now_us() + BATCH_INTERVAL_US, lambda: self._send_next_batch(client))

    def _send_next_batch(self, client: _Client) -> None:
        client.is_sending = False
        self._send_batch(client)
