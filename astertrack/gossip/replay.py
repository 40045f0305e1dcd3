"""Which datagrams of a sender have been heard: a sliding window over its sequence numbers, and one over its clock.

The window is a bitmap behind the highest number heard, as in RFC 6479, held in one integer: a number is looked up and
set in constant time, and a sender costs some 200 octets whatever it sends. A set of the numbers heard, the plain way,
grows with what comes until somebody sweeps it. benchmarks/gossip_structures.py measures both.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

WINDOW = 1024  # numbers behind the highest that are told apart: reordering on a path reaches over far fewer
SKEW_US = 30_000_000  # a sender's clock may be off by so much, with the datagram's way; more is refused
SENDERS_MOST = 4_096  # senders remembered, the latest heard


class Heard(Enum):
    """What a datagram is, by its number and time."""

    NEW = "new"
    AGAIN = "again"
    TOO_OLD = "too old"  # behind the window: it may have been heard or not, and is taken for heard
    SKEWED = "skewed"


class ReplayWindow:
    """Numbers heard of one sender."""

    __slots__ = ("_bits", "highest")

    def __init__(self) -> None:
        self.highest, self._bits = -1, 0  # bit n: the number `highest - n` was heard

    def hear(self, seq: int) -> Heard:
        """Note a number, and say whether it is new."""
        ahead = seq - self.highest
        if ahead > 0:
            self._bits = ((self._bits << ahead) | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self.highest = seq
            return Heard.NEW
        if -ahead >= WINDOW:
            return Heard.TOO_OLD
        if self._bits >> -ahead & 1:
            return Heard.AGAIN
        self._bits |= 1 << -ahead
        return Heard.NEW


class Replays:
    """Windows of all senders. A sender that starts again has a new epoch: its numbers begin anew."""

    def __init__(self, most: int = SENDERS_MOST) -> None:
        self._most = most
        self._windows: OrderedDict[tuple[str, int], ReplayWindow] = OrderedDict()
        self._epochs: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._windows)

    def hear(self, sender: str, epoch: int, seq: int, at_us: int, now_us: int) -> Heard:
        """Say whether a verified datagram is new. `epoch`: when its sender started, by its own clock."""
        if abs(now_us - at_us) > SKEW_US:
            return Heard.SKEWED
        if epoch < self._epochs.get(sender, 0):
            return Heard.TOO_OLD  # of a process that has been followed by another: an old datagram, sent again
        if epoch > self._epochs.get(sender, 0):
            self._windows.pop((sender, self._epochs.get(sender, 0)), None)
            self._epochs[sender] = epoch
        window = self._windows.get((sender, epoch))
        if window is None:
            window = self._windows[sender, epoch] = ReplayWindow()
            while len(self._windows) > self._most:
                (old, _), _ = self._windows.popitem(last=False)
                self._epochs.pop(old, None)
        else:
            self._windows.move_to_end((sender, epoch))
        return window.hear(seq)
