"""Keeps a stream of server-sent events open: dials, and replaces a connection that does not deliver.

A router cannot tell a server that answers slowly from one that does not answer. An attempt without a response is
therefore kept, and a further one is made beside it (a hedged request: Dean and Barroso, The Tail at Scale, CACM 2013).
The first one that gets a response becomes the stream. Until then the oldest attempt is kept, so that it gets its answer
however long the server needs, and the later one is replaced at intervals, so that a server or a path that has come up
again is noticed soon.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from astertrack.core.model import Timer
from astertrack.net.base import StreamProtocol
from astertrack.net.clock import ReactorClock


@dataclass(frozen=True, slots=True)
class StreamTimeouts:
    """The timeouts of a stream, in microseconds."""

    dial_us: int  # an attempt without a connection gets a further one beside it
    response_us: int  # so does an attempt with a connection and without a response
    silence_us: int  # a stream without a completed line is dropped
    patience_us: int  # the oldest attempt is dropped


class StreamOwner(Protocol):
    """The side that reads the stream."""

    def build_connection(self, attempt: StreamAttempt) -> StreamProtocol:
        """Build the protocol of a connection, which reports its events to the attempt."""

    def on_dial(self) -> None:
        """Called before each dial."""

    def on_slow(self) -> None:
        """Called when an attempt has had no response in time."""

    def on_silent(self) -> bool:
        """Called when the stream has been silent for the timeout; return whether it is to be dropped."""

    def on_stream_open(self, connection: Any) -> None:
        """Called when an attempt has become the stream."""

    def on_stream_lost(self) -> None:
        """Called when the stream has ended or was dropped."""

    def next_dial_delay_us(self) -> int:
        """Return the wait before the next dial, after an attempt has failed or the stream was lost."""


@dataclass(frozen=True, slots=True)
class StreamProgress:
    """What the bytes that were received at once have completed."""

    completed_line: bool
    completed_event: bool
    has_partial_line: bool  # they end within a line


class AttemptPhase(Enum):
    """The phases of an attempt, in this order; it may end in any of them."""

    DIALING = "dialing"
    WAITING = "waiting for the response"
    OPEN = "open"
    ENDED = "ended"


class StreamAttempt(ClientFactory):
    """One attempt to open the stream, and the stream itself if it succeeds."""

    noisy = False

    def __init__(self, streams: StreamKeeper) -> None:
        self._streams = streams
        self.phase = AttemptPhase.DIALING
        self.started_us = streams.clock.now_us()
        self.has_partial_line = False  # the beginning of a line has been received, and its end has not
        self.is_slow = False  # had no response in time, and is kept for a late one
        self.connector: Any = None
        self.connection: StreamProtocol | None = None
        self._timer: Timer | None = None

    def buildProtocol(self, addr: IAddress | None) -> StreamProtocol:
        """Called by Twisted when the connection is established."""
        self.connection = self._streams.owner.build_connection(self)
        return self.connection

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Called by Twisted when the connection cannot be established."""
        self.on_closed()

    def on_connected(self) -> None:
        """Called when the connection is established and its request was sent."""
        if self.phase is AttemptPhase.DIALING:
            self.phase = AttemptPhase.WAITING
            if not self.is_slow:
                self.set_timer(self._streams.timeouts.response_us, lambda: self._streams.on_slow(self))

    def on_response(self, progress: StreamProgress) -> None:
        """Called when bytes were received, and the head of a valid response is among all received ones.

        Bytes of a line that does not end are no sign of life: they would keep a stream that delivers nothing.
        """
        is_first = self.phase is AttemptPhase.WAITING
        if is_first:
            self.phase = AttemptPhase.OPEN
            self._streams.on_open(self)
        self.has_partial_line = progress.has_partial_line
        if progress.completed_event:
            self._streams.reset_silence_timeout()
        if self.phase is AttemptPhase.OPEN and (is_first or progress.completed_line):
            self.restart_silence_timer()

    def on_closed(self) -> None:
        """Called when the connection has ended, or could not be established."""
        self.connection = None  # they refer to each other
        if self.phase is not AttemptPhase.ENDED:
            self._end()
            self._streams.on_ended(self)

    def drop(self) -> None:
        """Abort the attempt, and treat it as ended from now on: the close of a dead connection may be delayed."""
        if self.phase is AttemptPhase.ENDED:
            return
        is_dialing = self.phase is AttemptPhase.DIALING
        self._end()
        if self.connection is not None:
            self.connection.is_closed = True
            self.connection.abort()
        elif is_dialing and self.connector is not None:
            self.connector.stopConnecting()
        self._streams.on_ended(self)

    def on_reading_resumed(self) -> None:
        """Called after a time in which the router itself did not read."""
        if self.phase is AttemptPhase.OPEN:
            self.restart_silence_timer()

    def restart_silence_timer(self) -> None:
        """Restart the timer that drops the stream when nothing is received."""
        self.set_timer(self._streams.silence_timeout_us, lambda: self._streams.on_silent(self))

    def set_timer(self, delay_us: int, callback: Callable[[], None]) -> None:
        """Set the timer of the present phase; it replaces an earlier one."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._streams.clock.call_at(self._streams.clock.now_us() + delay_us, callback)

    def _end(self) -> None:
        self.phase = AttemptPhase.ENDED
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class StreamKeeper:
    """Keeps one stream open, at one address, until it is stopped."""

    def __init__(self, address: str, timeouts: StreamTimeouts, owner: StreamOwner, clock: ReactorClock) -> None:
        self.address, self.timeouts, self.owner, self.clock = address, timeouts, owner, clock
        self.silence_timeout_us = timeouts.silence_us
        self.stream: StreamAttempt | None = None
        self.attempts: list[StreamAttempt] = []  # that are not open; the oldest first, two at most
        self._dial_timer: Timer | None = None
        self._is_stopped = False

    def start(self) -> None:
        """Dial, if there is an address."""
        if self.address and not self._is_stopped:
            self._dial()

    def stop(self) -> None:
        """Drop the stream and all attempts, and make no further ones."""
        self._is_stopped = True
        self._drop_all()

    def switch_address(self, address: str) -> None:
        """Drop the stream and all attempts, and continue at another address, host:port; an empty one stops.

        At the same address everything is kept: a slow response would never come if each reload asked for it anew.
        """
        if address == self.address:
            return
        self.address = ""  # until all is dropped, no further attempt is scheduled
        self._drop_all()
        self.address = address
        self.start()

    def _drop_all(self) -> None:
        if self._dial_timer is not None:
            self._dial_timer.cancel()
            self._dial_timer = None
        for attempt in [*([self.stream] if self.stream is not None else []), *self.attempts]:
            attempt.drop()

    def _dial(self) -> None:
        self._dial_timer = None
        self.owner.on_dial()
        attempt = StreamAttempt(self)
        self.attempts.append(attempt)
        attempt.set_timer(self.timeouts.dial_us, lambda: self.on_slow(attempt))
        host, _, port = self.address.rpartition(":")
        attempt.connector = self.clock.reactor.connectTCP(
            host, int(port), attempt, timeout=self.timeouts.patience_us / 1e6)

    def _schedule_dial(self) -> None:
        """Schedule the next dial, unless there is a stream, an attempt that is not slow, or a dial scheduled."""
        is_needed = self.stream is None and self._dial_timer is None and all(a.is_slow for a in self.attempts)
        if is_needed and self.address and not self._is_stopped:
            self._dial_timer = self.clock.call_at(self.clock.now_us() + self.owner.next_dial_delay_us(), self._dial)

    # ---- events of the attempts

    def on_slow(self, attempt: StreamAttempt) -> None:
        """Keep the oldest attempt and drop a later one, which have had no response in time; make a further one."""
        self.owner.on_slow()
        if attempt is not self.attempts[0]:
            attempt.drop()
            return
        attempt.is_slow = True
        waited_us = self.clock.now_us() - attempt.started_us
        attempt.set_timer(max(0, self.timeouts.patience_us - waited_us), attempt.drop)
        self._schedule_dial()

    def on_open(self, attempt: StreamAttempt) -> None:
        """Make an attempt the stream, and drop the others."""
        self.attempts.remove(attempt)
        self.stream = attempt
        if self._dial_timer is not None:
            self._dial_timer.cancel()
            self._dial_timer = None
        for other in list(self.attempts):
            other.drop()
        self.owner.on_stream_open(attempt.connection)

    def on_silent(self, stream: StreamAttempt) -> None:
        """Drop the stream, if its owner agrees.

        The timeout doubles if a line was incomplete: one that takes longer would otherwise never be received.
        """
        if self.owner.on_silent():
            if stream.has_partial_line:
                self.silence_timeout_us = min(self.timeouts.patience_us, 2 * self.silence_timeout_us)
            stream.drop()

    def reset_silence_timeout(self) -> None:
        """Return to the configured timeout, after an event was received."""
        self.silence_timeout_us = self.timeouts.silence_us

    def on_ended(self, attempt: StreamAttempt) -> None:
        """Schedule the next dial after an attempt has failed, or the stream has ended."""
        if attempt is self.stream:
            self.stream = None
            self.owner.on_stream_lost()
        else:
            self.attempts.remove(attempt)
        self._schedule_dial()
