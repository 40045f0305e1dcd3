"""Base classes of the Twisted protocols in this package."""

from __future__ import annotations

from collections.abc import Callable
from functools import cached_property
from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from astertrack.config import ConfigError
from astertrack.core.model import Clock
from astertrack.net import tcp_states
from astertrack.net.pacing import READ_BUFFER_BYTES, PauseReason, ReadControl
from astertrack.net.weakly import weakly

DEFAULT_BACKLOG = 50  # connections that wait to be accepted


class StreamProtocol(Protocol):
    """A connection that can be written to and closed at any time, whether it is established or not."""

    write_blocked_since_us: int | None = None  # since when the other end has not read; None while it reads
    is_closed = False  # dropped or ended: whatever still arrives on it is ignored

    @cached_property
    def reading(self) -> ReadControl:
        """Pauses reading from this connection."""
        return ReadControl(weakly(self._get_transport))

    def _get_transport(self) -> Any:
        return self.transport

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established.

        Disables Nagle's algorithm: messages are small and must not be delayed. Limits what is read at once.
        """
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        transport.bufferSize = READ_BUFFER_BYTES
        tcp_states.note_connected(transport)

    def is_closed_by_peer(self) -> bool:
        """Return whether the other end has closed or reset the connection, also while bytes from it are unread.

        Returns False where the system does not tell.
        """
        return tcp_states.is_closed(self.transport)

    def write(self, data: bytes) -> None:
        """Write data, if there is any and if there is a connection."""
        transport: Any = self.transport
        if data and transport is not None:
            transport.write(data)

    def close(self) -> None:
        """Close the connection after the data written so far has been sent."""
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()

    def half_close(self) -> None:
        """Send what was written so far, and then the end of the data; what still arrives is read.

        A whole close would be a reset if bytes arrive at the same time, and the other end could lose the last data.
        """
        transport: Any = self.transport
        if transport is not None:
            transport.loseWriteConnection()

    def has_received_bytes(self) -> bool:
        """Return whether bytes wait in the socket's buffer."""
        connection = getattr(self.transport, "socket", None)
        try:
            return connection is not None and bool(connection.recv(1, MSG_PEEK | MSG_DONTWAIT))
        except OSError:
            return False

    def abort(self) -> None:
        """Close the connection at once, without sending what is still buffered."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()


class BackpressureProducer:
    """Twisted's push producer for one connection: nothing is read from a client that does not read what it is sent.

    This bounds the write buffer. The protocol's write_blocked_since_us says since when reading has been paused, for
    the code that closes such connections.
    """

    def __init__(self, protocol: StreamProtocol, clock: Clock, on_pause: Callable[[], None]) -> None:
        self.protocol, self.clock, self.on_pause = protocol, clock, on_pause

    def pauseProducing(self) -> None:
        """Called by Twisted when the write buffer is full."""
        self.protocol.write_blocked_since_us = self.clock.now_us()
        self.on_pause()
        self.protocol.reading.pause(PauseReason.WRITE_BLOCKED)

    def resumeProducing(self) -> None:
        """Called by Twisted when the write buffer has been sent."""
        self.protocol.write_blocked_since_us = None
        self.protocol.reading.resume(PauseReason.WRITE_BLOCKED)

    def stopProducing(self) -> None:
        """Called by Twisted when the connection has ended."""


def listen(reactor: Any, host: str, port: int, factory: Factory, backlog: int = DEFAULT_BACKLOG) -> Any:
    """Listen on an address, and return the listening port. Raises ConfigError, which names the address.

    Twisted's CannotListenError is not an OSError.
    """
    try:
        return reactor.listenTCP(port, factory, backlog=backlog, interface=host)
    except CannotListenError as error:
        raise ConfigError(f"cannot listen on {host}:{port}: {error.socketError}") from None


def is_failure_of_type(reason: Failure, exception_type: type[Exception]) -> bool:
    """Return whether a connection, or an attempt to connect, ended with an exception of this type."""
    return isinstance(reason.value, exception_type)
