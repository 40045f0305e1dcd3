"""What every driver does with its connection."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure


class Conversation(Protocol):
    """A connection that can be written to and closed at any time, whether it is up or not."""

    def connectionMade(self) -> None:
        """Twisted's hook: the connection is up. Messages are small and wanted at once."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)

    def write(self, data: bytes) -> None:
        """Write, if there is anything to write and a connection."""
        transport: Any = self.transport
        if data and transport is not None:
            transport.write(data)

    def close(self) -> None:
        """Close once what was written has gone."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()

    def abort(self) -> None:
        """Drop the connection."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()


def failed_as(reason: Failure, kind: type[Exception]) -> bool:
    """Whether a connection ended, or failed to come up, in this way."""
    return isinstance(reason.value, kind)
