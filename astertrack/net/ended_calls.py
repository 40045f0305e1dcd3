"""The ends of calls that the WebSocket front remembers for clients that ask again, bounded in time and number."""

from __future__ import annotations

from collections.abc import Callable

RETENTION_US = 60_000_000
MAX_ENDED_CALLS = 20_000  # a minute of the highest rate of set-ups of one connection; about 10 MB


class EndedCalls:
    """The ids of ended calls, in the order of their ends. `forget` is called with each id that is removed."""

    def __init__(self, forget: Callable[[str], None]) -> None:
        self._forget = forget
        self._ended_us: dict[str, int] = {}
        self._forgotten_until_us = 0  # until then, a call was forgotten before its retention time had passed

    def __len__(self) -> int:
        return len(self._ended_us)

    def add(self, call_id: str, now_us: int) -> None:
        """Remember the end of a call; forget the oldest one if there are too many."""
        self._ended_us.pop(call_id, None)
        self._ended_us[call_id] = now_us
        if len(self._ended_us) > MAX_ENDED_CALLS:
            oldest, ended_us = next(iter(self._ended_us.items()))
            self._forgotten_until_us = max(self._forgotten_until_us, ended_us + RETENTION_US)
            self._remove(oldest)

    def remove(self, call_id: str) -> None:
        """Take note that a call with this id is set up anew."""
        self._ended_us.pop(call_id, None)

    def expire(self, now_us: int) -> None:
        """Forget the calls whose retention time has passed."""
        while self._ended_us:
            call_id, ended_us = next(iter(self._ended_us.items()))
            if now_us - ended_us < RETENTION_US:
                return
            self._remove(call_id)

    def may_have_forgotten(self, now_us: int) -> bool:
        """Return whether a call may be forgotten although its retention time has not passed."""
        return now_us < self._forgotten_until_us

    def _remove(self, call_id: str) -> None:
        del self._ended_us[call_id]
        self._forget(call_id)
