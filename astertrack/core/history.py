"""Which calls this process has handled. Others may have been set up by its previous process, before a restart.

Nothing of a call outlives the process, but the call itself does: it stays established at its peer. Its id is all by
which a message about it can be told from one about a call that this process has ended.
"""

from __future__ import annotations

FILTER_BITS = 1 << 21
HASHES_PER_ID = 3
HASH_BITS = 21  # of the filter's index
MAX_IDS_PER_GENERATION = 100_000
RETENTION_US = 60_000_000  # of the ids of calls that were sent to a peer
MAX_RECENT_ATTEMPTS = 20_000  # a minute of the highest rate of set-ups of one connection; about 3 MB


class _BloomFilter:
    """A set of ids in 256 KiB (Bloom, "Space/time trade-offs in hash coding with allowable errors", 1970).

    It contains all ids that were added, and with 100,000 of them fewer than 1 in 300 of the others.
    """

    def __init__(self) -> None:
        self._bits = bytearray(FILTER_BITS // 8)
        self.size = 0

    @staticmethod
    def _positions(id: str) -> list[int]:
        digest = hash(id)
        return [digest >> (HASH_BITS * index) & (FILTER_BITS - 1) for index in range(HASHES_PER_ID)]

    def add(self, id: str) -> None:
        """Add an id."""
        self.size += 1
        for position in self._positions(id):
            self._bits[position >> 3] |= 1 << (position & 7)

    def __contains__(self, id: str) -> bool:
        return all(self._bits[position >> 3] & 1 << (position & 7) for position in self._positions(id))


class RecentAttempts:
    """The ids of calls that were sent to a peer within the last RETENTION_US; the latest MAX_RECENT_ATTEMPTS at most.

    Unlike CallHistory it is exact: a new call is never taken for one of these.
    """

    def __init__(self) -> None:
        self._sent_us: dict[str, int] = {}  # by call id, the oldest first

    def add(self, call_id: str, now_us: int) -> None:
        """Remember that a set-up of a call was sent."""
        self._sent_us.pop(call_id, None)
        self._sent_us[call_id] = now_us
        while len(self._sent_us) > MAX_RECENT_ATTEMPTS or self._oldest_us() <= now_us - RETENTION_US:
            del self._sent_us[next(iter(self._sent_us))]

    def _oldest_us(self) -> int:
        return next(iter(self._sent_us.values()))

    def contains(self, call_id: str, now_us: int) -> bool:
        """Return whether a set-up of the call was sent within the retention time."""
        sent_us = self._sent_us.get(call_id)
        return sent_us is not None and now_us - sent_us < RETENTION_US


class CallHistory:
    """Remembers at least the latest MAX_IDS_PER_GENERATION ids of calls, in memory of a fixed size.

    An id that was never added is taken for a known one in fewer than 1 of 150 cases, and far fewer soon after a start.
    """

    def __init__(self) -> None:
        self._current, self._previous = _BloomFilter(), _BloomFilter()

    def add(self, call_id: str) -> None:
        """Remember an id."""
        if self._current.size >= MAX_IDS_PER_GENERATION:
            self._current, self._previous = _BloomFilter(), self._current
        self._current.add(call_id)

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._current or call_id in self._previous
