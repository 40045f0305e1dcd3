"""How long a message has been incomplete on a connection.

The time counts from the first byte of the message. Bytes that do not complete it must not extend it: after a wrong
length, everything that follows on the connection would be taken for the rest of that message.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from astertrack.core.model import Clock, Timer
from astertrack.net.weakly import weakly

# A message of a peer or a destination that has stopped, or that does not end although bytes of it arrive, ends its
# connection. The longer one leaves time to reconnect: a release behind the message is due at its caller within 1 s.
STALLED_MESSAGE_TIMEOUT_US = 300_000  # since the latest byte
INCOMPLETE_MESSAGE_TIMEOUT_US = 650_000  # since the first byte


class MessageDecoder(Protocol):
    """The part of a codec that shows where one message ends and the next one begins."""

    @property
    def has_partial_message(self) -> bool:
        """Whether the beginning of a message has been received and its end has not."""

    @property
    def message_count(self) -> int:
        """The number of complete messages received."""


class PartialMessage:
    """Since when the message at the end of the received bytes has been incomplete."""

    def __init__(self, decoder: MessageDecoder, now_us: int) -> None:
        self._decoder, self._message_count = decoder, decoder.message_count
        self.since_us = now_us if decoder.has_partial_message else None  # None: no message is incomplete

    def update(self, now_us: int) -> None:
        """Take note of bytes that the decoder has received at this time."""
        if not self._decoder.has_partial_message:
            self.since_us = None
        elif self.since_us is None or self._decoder.message_count != self._message_count:
            self.since_us = now_us
        self._message_count = self._decoder.message_count

    def restart(self, now_us: int) -> None:
        """Begin the time anew, after a time in which the router itself did not read."""
        if self.since_us is not None:
            self.since_us = now_us

    def is_older_than(self, timeout_us: int, now_us: int) -> bool:
        """Return whether a message has been incomplete for longer than a timeout."""
        return self.since_us is not None and now_us - self.since_us > timeout_us


class PartialMessageTimer:
    """Calls a function when a message of a peer or a destination has been incomplete for too long."""

    def __init__(self, decoder: MessageDecoder, clock: Clock, on_timeout: Callable[[], None]) -> None:
        self._partial = PartialMessage(decoder, clock.now_us())
        self._clock, self._on_timeout = clock, weakly(on_timeout)
        self._timer: Timer | None = None

    def update(self) -> None:
        """Take note of bytes that the decoder has received now."""
        now = self._clock.now_us()
        self._partial.update(now)
        self.cancel()
        if self._partial.since_us is not None:
            due_us = min(now + STALLED_MESSAGE_TIMEOUT_US, self._partial.since_us + INCOMPLETE_MESSAGE_TIMEOUT_US)
            self._timer = self._clock.call_at(due_us, self._on_timeout)

    def restart(self) -> None:
        """Begin the time anew, after a time in which the router itself did not read."""
        self._partial.restart(self._clock.now_us())
        self.update()

    def cancel(self) -> None:
        """Stop the timer; called when the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
