"""Replay protection: a sliding window over each sender's sequence numbers and a bound on its clock skew.

The window is a bitmap behind the highest sequence number, as in RFC 6479, "IPsec Anti-Replay Algorithm without Bit
Shifting", and is held in one integer: a number is looked up and recorded in constant time, and a sender costs some 200
bytes regardless of how much it sends. A plain set of received numbers grows with the traffic until it is purged.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

WINDOW_SIZE = 1024  # sequence numbers tracked behind the highest; reordering on a path spans far fewer
MAX_CLOCK_SKEW_US = 30_000_000  # includes the datagram's transit time; beyond it a datagram is rejected
MAX_SENDERS = 4_096  # the most recently active senders are kept


class ReplayResult(Enum):
    """The result of checking a datagram's sequence number and time. The values become part of counter names."""

    NEW = "new"
    DUPLICATE = "again"
    TOO_OLD = "too old"  # behind the window: possibly received before, and treated as a duplicate
    SKEWED = "skewed"


class ReplayWindow:
    """The received sequence numbers of one sender."""

    __slots__ = ("_bits", "highest")

    def __init__(self) -> None:
        self.highest, self._bits = -1, 0  # bit n: the number `highest - n` was received

    def record(self, seq: int) -> ReplayResult:
        """Record a sequence number and return whether it is new, a duplicate or too old."""
        ahead = seq - self.highest
        if ahead > 0:
            self._bits = ((self._bits << ahead) | 1) & ((1 << WINDOW_SIZE) - 1) if ahead < WINDOW_SIZE else 1
            self.highest = seq
            return ReplayResult.NEW
        if -ahead >= WINDOW_SIZE:
            return ReplayResult.TOO_OLD
        if self._bits >> -ahead & 1:
            return ReplayResult.DUPLICATE
        self._bits |= 1 << -ahead
        return ReplayResult.NEW


class ReplayFilter:
    """The replay windows of all senders. A restarted sender has a new epoch, in which its numbers start again."""

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self._max_senders = max_senders
        self._windows: OrderedDict[tuple[str, int], ReplayWindow] = OrderedDict()
        self._epochs: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._windows)

    def record(self, sender: str, epoch: int, seq: int, sent_at_us: int, now_us: int) -> ReplayResult:
        """Record a verified datagram and return whether it is new.

        `epoch` is the time at which its sender started, by the sender's own clock.
        """
        if abs(now_us - sent_at_us) > MAX_CLOCK_SKEW_US:
            return ReplayResult.SKEWED
        if epoch < self._epochs.get(sender, 0):
            return ReplayResult.TOO_OLD  # sent by a process that has since restarted: a replayed datagram
        if epoch > self._epochs.get(sender, 0):
            self._windows.pop((sender, self._epochs.get(sender, 0)), None)
            self._epochs[sender] = epoch
        window = self._windows.get((sender, epoch))
        if window is None:
            window = self._windows[sender, epoch] = ReplayWindow()
            while len(self._windows) > self._max_senders:
                (oldest_sender, _), _ = self._windows.popitem(last=False)
                self._epochs.pop(oldest_sender, None)
        else:
            self._windows.move_to_end((sender, epoch))
        return window.record(seq)
