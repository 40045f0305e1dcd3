"""What is still to be told to the service: kept until heard, told again with jitter and back-off, bounded."""

from __future__ import annotations

import random
from collections import OrderedDict

from astertrack.versions.model import Report, VersionState

MAX_PENDING_REPORTS = 4_096  # reports; beyond that the oldest of versions that no longer matter are let go, and counted
MAX_BATCH_REPORTS = 256  # reports in one message
AGAIN_LEAST_US, AGAIN_MOST_US = 200_000, 10_000_000  # between tries, doubling
PASSING = {VersionState.ACCEPTED.value, VersionState.SUPERSEDED.value, VersionState.SETTLED.value}


class Outbox:
    """Reports by their sequence numbers. One batch is out at a time; what is not heard is told again."""

    def __init__(self, source: random.Random) -> None:
        self._waiting: OrderedDict[int, Report] = OrderedDict()
        self._random = source
        self._failures = 0
        self.dropped = 0
        self.in_flight = False
        self.not_before_us = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, report: Report) -> None:
        """Take a report to be told."""
        if len(self._waiting) >= MAX_PENDING_REPORTS:
            # Refusals and what is in force matter for longest; the passing stands of old versions go first.
            oldest = next((seq for seq, r in self._waiting.items() if r.stand in PASSING), next(iter(self._waiting)))
            del self._waiting[oldest]
            self.dropped += 1
        self._waiting[report.seq] = report

    def take_batch(self, now_us: int) -> tuple[Report, ...]:
        """Return what to tell now, oldest first, and count it as out; empty: nothing, or it is too early."""
        if self.in_flight or not self._waiting or now_us < self.not_before_us:
            return ()
        self.in_flight = True
        return tuple(report for report, _ in zip(self._waiting.values(), range(MAX_BATCH_REPORTS), strict=False))

    def acknowledge(self, batch: tuple[Report, ...]) -> None:
        """The service has heard these."""
        self.in_flight, self._failures, self.not_before_us = False, 0, 0
        for report in batch:
            self._waiting.pop(report.seq, None)

    def delivery_failed(self, now_us: int) -> None:
        """The service may or may not have heard: tell it again, later each time, and never in step with others."""
        self.in_flight = False
        longest = min(AGAIN_MOST_US, AGAIN_LEAST_US << min(self._failures, 16))
        self._failures += 1
        self.not_before_us = now_us + int(longest * (0.5 + 0.5 * self._random.random()))
