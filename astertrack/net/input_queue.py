"""Reads ahead of what a client's connection has processed, so that a client that has left is noticed.

A close is only received behind all bytes that were sent before it, and those are processed a little at a time, between
the other connections. What waits in the socket is therefore moved to a bounded queue first. Then the state of the
connection tells whether the client is still there, before any of its requests is processed.
"""

from __future__ import annotations

import weakref
from collections.abc import Callable
from socket import MSG_DONTWAIT
from typing import TYPE_CHECKING, Any

from astertrack.core.model import Clock, Timer
from astertrack.net.pacing import READ_BUFFER_BYTES, MessagePacer, PauseReason
from astertrack.net.weakly import weakly

if TYPE_CHECKING:
    from astertrack.net.base import StreamProtocol

MAX_QUEUED_BYTES = 512 * 1024  # of one connection: what the buffers of both ends hold by default
MAX_TOTAL_QUEUED_BYTES = 8 * 1024 * 1024  # of all connections; beyond it, nothing is read ahead
RECEIVE_BYTES = 64 * 1024
DRAIN_TURN_US = 5_000  # spent on queues in one reactor iteration while the router drains


class QueueScheduler:
    """Takes the queues of one front in turn: one piece of one queue in each reactor iteration.

    However many connections have much to process, everybody else waits for one piece at a time. While the router
    drains it takes more: what was received must be answered before the process ends.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: dict[InputQueue, None] = {}  # the one that comes next first
        self._timer: Timer | None = None
        self.queued_bytes = 0
        self.is_draining = False

    def has_room(self) -> bool:
        """Return whether another piece may be read ahead."""
        return self.queued_bytes + RECEIVE_BYTES <= MAX_TOTAL_QUEUED_BYTES

    def add(self, queue: InputQueue) -> None:
        """Let a queue have its turn, after the others."""
        self._waiting[queue] = None
        if self._timer is None:
            self._timer = self._clock.call_at(self._clock.now_us(), self._process_next)

    def remove(self, queue: InputQueue) -> None:
        """Forget a queue."""
        self._waiting.pop(queue, None)

    def _process_next(self) -> None:
        until_us = self._clock.now_us() + (DRAIN_TURN_US if self.is_draining else 0)
        self._timer = None
        while self._waiting:
            queue = next(iter(self._waiting))
            del self._waiting[queue]
            queue.process_next()
            if self._clock.now_us() >= until_us:
                break
        if self._waiting and self._timer is None:
            self._timer = self._clock.call_at(self._clock.now_us(), self._process_next)


class InputQueue:
    """What was read from one connection and not processed yet.

    `process` is called with bytes, and with whether the client has left; it returns the number of messages that these
    completed, for the pacer.
    """

    def __init__(self, protocol: StreamProtocol, clock: Clock, scheduler: QueueScheduler,
                 process: Callable[[bytes, bool], float], on_over_rate: Callable[[], None],
                 on_resumed: Callable[[], None]) -> None:
        self._protocol: StreamProtocol = weakref.proxy(protocol)
        self._clock = clock
        self._scheduler, self._process, self._on_resumed = scheduler, weakly(process), weakly(on_resumed)
        self._pacer = MessagePacer(protocol.reading, clock, on_over_rate, self._on_pacer_resumed)
        self._bytes = bytearray()
        self._backlog_since_us: int | None = None  # since when more has been waiting than is read at once

    @property
    def drained_since_us(self) -> int | None:
        """Since when a backlog is drained for a shutdown, and its messages may have waited; None: there is none."""
        return self._backlog_since_us if self._scheduler.is_draining else None

    def __len__(self) -> int:
        return len(self._bytes)

    def receive(self, data: bytes) -> None:
        """Process received bytes at once; after a full read, queue them and read ahead."""
        if len(data) == READ_BUFFER_BYTES:
            self._note_backlog()
            self._append(data)
            self._read_ahead()
            self._schedule()
        else:
            self._backlog_since_us = None
            self._process_piece(data)

    def _note_backlog(self) -> None:
        if self._backlog_since_us is None:
            self._backlog_since_us = self._clock.now_us()

    def check_left(self) -> None:
        """Process on, whatever the rate, if the client has left: its set-ups are cancelled then."""
        if self._protocol.reading.is_paused_for(PauseReason.OVER_RATE) and self._protocol.is_closed_by_peer():
            self._pacer.resume()

    def is_over_rate(self) -> bool:
        """Return whether the connection waits because of its message rate."""
        return self._protocol.reading.is_paused_for(PauseReason.OVER_RATE)

    def lift_limits(self) -> None:
        """Process whatever has been received, at any rate, also if the other end does not read."""
        self._protocol.reading.ignore(PauseReason.WRITE_BLOCKED)
        self._protocol.reading.ignore(PauseReason.OVER_RATE)
        self._backlog_since_us = None  # a shutdown counts from its own beginning
        if self._bytes:
            self._note_backlog()
        self._pacer.resume()

    def process_all(self, until_us: int) -> None:
        """Process what has been received by now, but no longer than until a time."""
        self._read_ahead()
        while self._bytes and self._clock.now_us() < until_us:
            self.process_next()

    def spend(self, messages: float) -> None:
        """Take note of a message that costs more than others."""
        self._pacer.spend(messages)

    def clear(self) -> None:
        """Drop everything; called when the connection has ended or is being closed."""
        self._pacer.cancel()
        self._scheduler.remove(self)
        self._scheduler.queued_bytes -= len(self._bytes)
        self._bytes.clear()

    def process_next(self) -> None:
        """Process the next piece; called by the scheduler."""
        data = bytes(self._bytes[:READ_BUFFER_BYTES])
        del self._bytes[:len(data)]
        self._scheduler.queued_bytes -= len(data)
        if data:
            self._process_piece(data)

    def _append(self, data: bytes) -> None:
        self._bytes += data
        self._scheduler.queued_bytes += len(data)

    def _read_ahead(self) -> None:
        connection: Any = getattr(self._protocol.transport, "socket", None)
        while connection is not None and len(self._bytes) < MAX_QUEUED_BYTES and self._scheduler.has_room():
            try:
                data = connection.recv(RECEIVE_BYTES, MSG_DONTWAIT)
            except OSError:  # nothing more has arrived, or an error, which Twisted finds when it reads on
                return
            if not data:
                return
            self._append(data)

    def _process_piece(self, data: bytes) -> None:
        has_left = self._protocol.is_closed_by_peer()
        messages = self._process(data, has_left)
        if not has_left:
            self._pacer.spend(messages)
        self._schedule()

    def _schedule(self) -> None:
        """Let the next piece have its turn, or read on if there is none."""
        if not self._bytes:
            self._protocol.reading.resume(PauseReason.QUEUED)
            return
        self._protocol.reading.pause(PauseReason.QUEUED)
        if not self.is_over_rate():
            self._scheduler.add(self)

    def _on_pacer_resumed(self) -> None:
        self._on_resumed()
        if self._bytes:
            self._scheduler.add(self)
