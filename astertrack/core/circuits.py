"""Estimates of the free circuits in the trunk groups to the peers, from what the peers report."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from astertrack.core.calls import Call
from ospreylug import interface as io


class CircuitEstimates:
    """The free circuits by peer, as last reported, less those of set-ups that the report cannot include yet."""

    def __init__(self) -> None:
        self._free: dict[str, float] = {}
        self._round_trip_us: dict[str, int] = {}  # estimate: the shortest time from a set-up to its rejection

    def has_room(self, peer: str, width: float) -> bool:
        """Return whether a call of this width may find free circuits; true if nothing was reported."""
        free = self._free.get(peer)
        return free is None or free >= width

    def add_rejection(self, peer: str, elapsed_us: int) -> None:
        """Record the time from a set-up to the peer's rejection of it."""
        self._round_trip_us[peer] = min(elapsed_us, self._round_trip_us.get(peer, elapsed_us))

    def add_report(self, peer: str, load: io.Load, calls: Iterable[Call], now_us: int) -> io.Load:
        """Record a report, and return it without the circuits of set-ups that had not arrived when it was sent.

        These are the set-ups sent within the last round trip. Without the correction, one free circuit would be used
        for several queued calls: each report that does not yet include the previous set-up would release another one.
        `calls` are those with an attempt at the peer, the latest first.
        """
        if load.free is None:
            return load
        since_us = now_us - self._round_trip_us.get(peer, 0)
        unseen_width = 0.0
        for call in calls:
            if call.attempt is None or call.attempt.sent_us <= since_us:
                break
            unseen_width += call.request.width
        self._free[peer] = free = max(0.0, load.free - unseen_width)
        return load if not unseen_width else replace(load, free=free)

    def remove(self, peer: str) -> None:
        """Forget the free circuits of a peer that has left the roster."""
        self._free.pop(peer, None)
