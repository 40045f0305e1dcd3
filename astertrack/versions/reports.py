"""The queue of reports to the service: bounded, resent with backoff and jitter until they are acknowledged."""

from __future__ import annotations

import random
from collections import OrderedDict

from astertrack.versions.model import Report, VersionState

MAX_PENDING_REPORTS = 4_096  # beyond it the oldest reports of FIRST_DROPPED_STATES are dropped first, and counted
MAX_BATCH_REPORTS = 256  # per message
MIN_BACKOFF_US, MAX_BACKOFF_US = 200_000, 10_000_000  # exponential backoff between attempts, doubling
# States whose reports are dropped first when the queue is full: they no longer matter once a later version is in force.
FIRST_DROPPED_STATES = {VersionState.ACCEPTED.value, VersionState.SUPERSEDED.value, VersionState.SETTLED.value}


class Outbox:
    """Pending reports by sequence number. One batch is in flight at a time; unacknowledged reports are sent again."""

    def __init__(self, random_source: random.Random) -> None:
        self._pending: OrderedDict[int, Report] = OrderedDict()
        self._random = random_source
        self._failures = 0
        self.dropped = 0
        self.in_flight = False
        self.not_before_us = 0

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, report: Report) -> None:
        """Add a report to be sent."""
        if len(self._pending) >= MAX_PENDING_REPORTS:
            # Refusals, rollbacks and the version in force stay relevant for longest.
            discarded = next((seq for seq, pending in self._pending.items() if pending.stand in FIRST_DROPPED_STATES),
                             next(iter(self._pending)))
            del self._pending[discarded]
            self.dropped += 1
        self._pending[report.seq] = report

    def take_batch(self, now_us: int) -> tuple[Report, ...]:
        """Return the reports to send now, oldest first, and mark them as in flight.

        The result is empty if nothing is pending, a batch is in flight, or the backoff has not expired.
        """
        if self.in_flight or not self._pending or now_us < self.not_before_us:
            return ()
        self.in_flight = True
        return tuple(report for report, _ in zip(self._pending.values(), range(MAX_BATCH_REPORTS), strict=False))

    def acknowledge(self, batch: tuple[Report, ...]) -> None:
        """Remove the reports that the service has acknowledged."""
        self.in_flight, self._failures, self.not_before_us = False, 0, 0
        for report in batch:
            self._pending.pop(report.seq, None)

    def delivery_failed(self, now_us: int) -> None:
        """Schedule the batch to be sent again, since the service may not have received it.

        The backoff doubles with each failure and has jitter, so that routers do not retry in step.
        """
        self.in_flight = False
        backoff_us = min(MAX_BACKOFF_US, MIN_BACKOFF_US << min(self._failures, 16))
        self._failures += 1
        self.not_before_us = now_us + int(backoff_us * (0.5 + 0.5 * self._random.random()))
