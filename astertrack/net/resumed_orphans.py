"""Whose the calls of the process before a restart are, as far as clients have shown by resuming them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from astertrack.net.client_releases import ClientIdentity

if TYPE_CHECKING:
    from astertrack.net.client_connection import ClientConnection

MAX_RESUMED_ORPHANS = 10_000  # on open connections
MAX_ABSENT_ORPHANS = 10_000  # of named clients that have left; the oldest are forgotten


@dataclass(frozen=True, slots=True)
class OrphanOwner:
    """The client of an orphan: the connection on which it resumed the call, its name, both, or neither."""

    connection: ClientConnection | None
    client: ClientIdentity | None


class ResumedOrphans:
    """The owners of the orphans that were resumed, by call id."""

    def __init__(self, counts: Counter[str]) -> None:
        self._counts = counts
        self._connections: dict[str, ClientConnection] = {}
        self._absent: dict[str, ClientIdentity] = {}  # resumed on a connection that has ended, the oldest first

    def has_room(self) -> bool:
        """Return whether a further call can be resumed."""
        return len(self._connections) < MAX_RESUMED_ORPHANS

    def resume(self, call_id: str, connection: ClientConnection) -> None:
        """Take note that a client has resumed a call."""
        self._counts["ws_orphans_resumed"] += 1
        self._connections[call_id] = connection
        self._absent.pop(call_id, None)

    def forget(self, call_id: str) -> None:
        """Forget a call: its id is used for a new one."""
        self._connections.pop(call_id, None)
        self._absent.pop(call_id, None)

    def take(self, call_id: str) -> OrphanOwner:
        """Return the owner of a call, and forget the call."""
        connection = self._connections.pop(call_id, None)
        client = self._absent.pop(call_id, None) if connection is None else connection.client
        return OrphanOwner(connection, client)

    def on_closed(self, call_id: str, connection: ClientConnection) -> None:
        """Take note that a connection with a call has ended. A client with a name may come back without its calls."""
        if self._connections.get(call_id) is not connection:
            return
        del self._connections[call_id]
        if connection.client is None:
            return
        self._absent[call_id] = connection.client
        if len(self._absent) > MAX_ABSENT_ORPHANS:
            del self._absent[next(iter(self._absent))]
            self._counts["ws_orphans_dropped"] += 1
