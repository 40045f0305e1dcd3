"""Limits what one connection may ask of the router, so that it cannot starve the others.

Reading from a connection pauses while it is over its message rate: TCP then slows the sender down, and nothing is lost.
Set-ups beyond their own rate are refused, because a caller is better off with a quick refusal than with a late answer.
The rates are far above what a sound caller or peer needs (docs/operators/limits.md).
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from astertrack.core.model import Clock, Timer
from astertrack.net.weakly import weakly

# On its busiest day a router gets 190 calls a second, and 1.6 times as many in a burst; they may share a connection.
MAX_SET_UPS_PER_S = 320
MAX_MESSAGES_PER_S = 4 * MAX_SET_UPS_PER_S  # of a caller or a peer, for each call: set-up, answer, release, state
BURST_S = 2.0  # hundreds of messages may come at once
# A release of an unknown call is sent to every peer.
UNKNOWN_RELEASE_COST = 4  # messages
RETRY_WAIT_US = 1_000_000  # given with the refusal of a set-up beyond the rate
# Read from one connection per reactor iteration: about ten set-ups. Responses are sent at the end of an iteration, and
# other connections wait for it.
READ_BUFFER_BYTES = 4_096


class TokenBucket:
    """A token bucket: `rate` tokens per second, and as many at once as come in BURST_S."""

    def __init__(self, rate: float, now_us: int) -> None:
        self._rate, self._size = rate, rate * BURST_S
        self._tokens, self._updated_us = self._size, now_us

    def _refill(self, now_us: int) -> None:
        elapsed_s = max(0, now_us - self._updated_us) / 1e6
        self._tokens = min(self._size, self._tokens + elapsed_s * self._rate)
        self._updated_us = now_us

    def take(self, now_us: int) -> bool:
        """Take a token; return False if there is none."""
        self._refill(now_us)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def spend(self, count: float, now_us: int) -> int:
        """Take tokens, also if there are fewer; return the microseconds until the debt is paid, or 0."""
        self._refill(now_us)
        self._tokens -= count
        return max(0, int(-self._tokens / self._rate * 1e6))


class PauseReason(Enum):
    """Why reading from a connection is paused."""

    WRITE_BLOCKED = "the other end does not read"
    OVER_RATE = "the other end sends more than its message rate"
    QUEUED = "received bytes are not processed yet"
    SHUTTING_DOWN = "the next process is to receive what the other end has to say"


class ReadControl:
    """Pauses reading from a connection while there is a reason for it."""

    def __init__(self, get_transport: Callable[[], Any]) -> None:
        self._get_transport = get_transport
        self._reasons: set[PauseReason] = set()
        self._ignored_reasons: set[PauseReason] = set()

    def ignore(self, reason: PauseReason) -> None:
        """Pause no longer for this reason."""
        self._ignored_reasons.add(reason)
        self.resume(reason)

    def is_paused_for(self, reason: PauseReason) -> bool:
        """Return whether reading is paused for this reason."""
        return reason in self._reasons

    def pause(self, reason: PauseReason) -> None:
        """Pause reading, unless this reason is ignored."""
        if reason in self._ignored_reasons:
            return
        transport = self._get_transport()
        if not self._reasons and transport is not None:
            transport.pauseProducing()
        self._reasons.add(reason)

    def resume(self, reason: PauseReason) -> None:
        """Resume reading, unless there is another reason."""
        if reason not in self._reasons:
            return
        self._reasons.remove(reason)
        transport = self._get_transport()
        if not self._reasons and transport is not None:
            transport.resumeProducing()


class MessagePacer:
    """Keeps a connection to its message rate, by pausing to read from it."""

    def __init__(self, reading: ReadControl, clock: Clock, on_pause: Callable[[], None],
                 on_resume: Callable[[], None]) -> None:
        self._reading, self._clock = reading, clock
        self._on_pause, self._on_resume = weakly(on_pause), weakly(on_resume)
        self._bucket = TokenBucket(MAX_MESSAGES_PER_S, clock.now_us())
        self._timer: Timer | None = None

    def spend(self, messages: float) -> None:
        """Take note of received messages; pause if they were too many."""
        wait_us = self._bucket.spend(messages, now := self._clock.now_us())
        if wait_us and self._timer is None:
            self._reading.pause(PauseReason.OVER_RATE)
            self._on_pause()
            self._timer = self._clock.call_at(now + wait_us, self.resume)

    def resume(self) -> None:
        """Read again."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._on_resume()
            self._reading.resume(PauseReason.OVER_RATE)

    def cancel(self) -> None:
        """Stop the timer; called when the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
