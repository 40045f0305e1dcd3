"""What every driver does with its connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from astertrack.core.model import Clock


class StreamProtocol(Protocol):
    """A connection that can be written to and closed at any time, whether it is up or not."""

    write_blocked_since_us: int | None = None  # since when the other end does not read
    is_closed = False  # given up or ended: what still comes on it means nothing

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


class Throttle:
    """Twisted's producer for one connection: while the other end does not read, nothing is read from it.

    Bounds what waits to be written. Since when that is so stands in choked_us, for whoever gives it up.
    """

    def __init__(self, conversation: StreamProtocol, clock: Clock, paused: Callable[[], None]) -> None:
        self.conversation, self.clock, self.paused = conversation, clock, paused

    def _pass_on(self, name: str) -> None:
        transport: Any = self.conversation.transport
        if transport is not None:
            getattr(transport, name)()

    def pauseProducing(self) -> None:
        """Too much is waiting to be written."""
        self.conversation.write_blocked_since_us = self.clock.now_us()
        self.paused()
        self._pass_on("pauseProducing")

    def resumeProducing(self) -> None:
        """It has been written."""
        self.conversation.write_blocked_since_us = None
        self._pass_on("resumeProducing")

    def stopProducing(self) -> None:
        """The connection has ended."""


def failed_as(reason: Failure, kind: type[Exception]) -> bool:
    """Whether a connection ended, or failed to come up, in this way."""
    return isinstance(reason.value, kind)
