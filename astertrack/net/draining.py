"""The connections of a front while the router shuts down: none is closed while a set-up may be open or unread on it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from astertrack.net.input_queue import InputQueue, QueueScheduler

LAST_READ_US = 15_000  # spent on what all connections have received, right before they are closed in any case


class DrainableConnection(Protocol):
    """A connection of a front."""

    input: InputQueue

    def has_unfinished_input(self) -> bool:
        """Return whether a set-up may have been received that was not processed, or is incomplete."""

    @property
    def is_finishing(self) -> bool:
        """Whether no further set-up is taken on it."""

    def finish(self) -> None:
        """Send what was written, and close the connection; further calls do nothing."""


class FrontDrain:
    """Drains the connections of one front. `connections` changes as they come and go."""

    def __init__(self, connections: Iterable[DrainableConnection], queues: QueueScheduler) -> None:
        self._connections, self._queues = connections, queues

    def start(self) -> None:
        """Process from now on whatever has been received, at any rate."""
        self._queues.is_draining = True
        for connection in list(self._connections):
            connection.input.lift_limits()

    def count_unread(self) -> int:
        """Return the number of connections with received bytes that are not processed, or an incomplete message."""
        return sum(connection.has_unfinished_input() for connection in self._connections)

    def count_open(self) -> int:
        """Return the number of connections."""
        return sum(1 for _ in self._connections)

    def count_unfinished(self) -> int:
        """Return the number of connections on which set-ups are still taken."""
        return sum(not connection.is_finishing for connection in self._connections)

    def close(self, now_us: int, is_forced: bool) -> None:
        """Close the connections on which nothing is unread; all of them if forced, after a last read."""
        for connection in list(self._connections):
            if is_forced:
                connection.input.process_all(now_us + LAST_READ_US)
            if is_forced or not connection.has_unfinished_input():
                connection.finish()
