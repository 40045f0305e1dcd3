"""Probation of a version: a test whether its calls fail more often than calls before it and calls it does not affect.

The calls since the version came into force are compared with the latest calls before it. A version changes the route
of some calls (affected calls) and leaves others unchanged; which group a call belongs to is found by resolving it
under both plans. A zone that is cut off or a surge raises the failure rate of both groups, a bad version only that of
the affected calls. Therefore the test statistic is, per zone, the change of the log odds of failure of affected calls
minus that of unaffected calls,

    theta = (logit a1 - logit a0) - (logit u1 - logit u0),   var = sum over the eight cells of 1 / (n + 1/2),

where a and u are the failure ratios of affected and unaffected calls, 0 before the version and 1 since then. A cell is
the number n of failed or successful calls behind one of the four ratios; 1/2 is added to every cell (Haldane 1956,
Anscombe 1956). The difference of two log odds ratios is tested as in Altman and Bland ("Interaction revisited: the
difference between two estimates", BMJ 326:219, 2003), and zones are pooled with inverse variances (Woolf 1955).
Where a zone has too few unaffected calls for a comparison, the change of the affected calls is used alone, but only
while the zone is undisturbed: without a comparison, failures in a zone that is cut off or during a surge say nothing
about the version.

The version is tested MAX_EVALUATIONS times at most. The probability of a false alarm over all tests together is at most
ALPHA (Bonferroni correction), one-sided.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from statistics import NormalDist

ALPHA = 0.001  # probability that a harmless version is rolled back, over all its evaluations
MAX_EVALUATIONS = 5  # per probation period; later ones follow at the same interval while there are too few calls
MIN_FAILURE_INCREASE = 0.05  # of the failure ratio; a smaller increase is not worth a rollback
MIN_AFFECTED_CALLS = 20  # before and since each; fewer are not enough for a verdict
MIN_UNAFFECTED_CALLS = 20  # before and since each; fewer are not enough for a comparison
MAX_RECENT_CALLS = 2_000  # calls kept from before a version: one minute at 33 calls per second
# Times the previous call rate, above which calls without a comparison are not used. Operators report surges of 1.2 to
# 1.6.
SURGE_RATIO = 1.3
MAX_PERIODS = 3  # probation periods after which a version without a verdict stays in force


class Verdict(Enum):
    """The verdict of an evaluation."""

    OPEN = "open"  # the probation continues
    KEPT = "kept"
    UNDECIDED = "undecided"  # the version stays, since there were not enough calls
    WORSE = "worse"  # the version is to be rolled back


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """The outcome of a call, with the properties on which its route depends."""

    number: str
    dest: int  # destination given by the caller
    service: str
    zone: str  # zone of the destination
    at_us: int
    failed: bool


@dataclass(frozen=True, slots=True)
class ProbationStatistics:
    """The figures on which a verdict is based."""

    z: float  # test statistic in standard deviations; 0 if there are too few calls for a test
    failure_ratio_before: float  # of the affected calls before the version
    failure_ratio_since: float  # of the affected calls since then
    affected_calls: int  # number of affected calls since then
    zones: int  # number of zones that contributed


def critical_z() -> float:
    """Return the critical value of z for one evaluation."""
    return NormalDist().inv_cdf(1 - ALPHA / MAX_EVALUATIONS)


class Probation:
    """A version on probation. Collects call outcomes, those from before the version first, and evaluates them."""

    def __init__(self, since_us: int, period_us: int) -> None:
        self.since_us, self.period_us = since_us, period_us
        # Number of calls by zone, whether affected, whether since the version is in force, and whether failed.
        self.cells: Counter[tuple[str, bool, bool, bool]] = Counter()
        self.disturbed_zones: set[str] = set()
        self._before_span_us: tuple[int, int] | None = None  # first and last call before the version
        self._call_counts: Counter[bool] = Counter()  # by whether since the version is in force
        self.evaluations = 0

    def add_before(self, outcome: CallOutcome, affected: bool) -> None:
        """Add the outcome of a call under the previous version."""
        first = self._before_span_us[0] if self._before_span_us is not None else outcome.at_us
        self._before_span_us = (min(first, outcome.at_us), max(outcome.at_us, first))
        self.cells[outcome.zone, affected, False, outcome.failed] += 1
        self._call_counts[False] += 1

    def add_since(self, outcome: CallOutcome, affected: bool) -> None:
        """Add the outcome of a call under this version."""
        self.cells[outcome.zone, affected, True, outcome.failed] += 1
        self._call_counts[True] += 1

    def next_evaluation_us(self) -> int:
        """Return the time of the next evaluation."""
        return self.since_us + (self.evaluations + 1) * self.period_us // MAX_EVALUATIONS

    def evaluate(self, now_us: int) -> tuple[Verdict, ProbationStatistics]:
        """Evaluate the calls so far. Counts as one of the evaluations."""
        self.evaluations += 1
        statistics = self._statistics(now_us)
        if statistics.z > critical_z() and (
                statistics.failure_ratio_since - statistics.failure_ratio_before >= MIN_FAILURE_INCREASE):
            return Verdict.WORSE, statistics
        if self.evaluations < MAX_EVALUATIONS:
            return Verdict.OPEN, statistics
        # Each test is one more chance of a false alarm, so after the last evaluation of the period the version is kept.
        # The probation stays open only while there are too few calls, since evaluations of too few calls test nothing.
        enough = statistics.affected_calls >= MIN_AFFECTED_CALLS and statistics.zones > 0
        if enough:
            return Verdict.KEPT, statistics
        is_overdue = now_us - self.since_us >= MAX_PERIODS * self.period_us
        return (Verdict.UNDECIDED if is_overdue or not self._affects_calls() else Verdict.OPEN), statistics

    def _affects_calls(self) -> bool:
        return any(affected for _, affected, _, _ in self.cells)

    def _has_surge(self, now_us: int) -> bool:
        """Return whether the call rate exceeds the previous one by SURGE_RATIO and two standard deviations."""
        if self._before_span_us is None:
            return False
        before_s = max(1.0, (self._before_span_us[1] - self._before_span_us[0]) / 1e6)
        since_s = max(0.1, (now_us - self.since_us) / 1e6)
        expected = self._call_counts[False] / before_s * since_s
        return self._call_counts[True] > SURGE_RATIO * expected + 2 * math.sqrt(SURGE_RATIO * expected + 1)

    def _statistics(self, now_us: int) -> ProbationStatistics:
        weight_sum = weighted_sum = 0.0
        zones = 0
        has_surge = self._has_surge(now_us)
        for zone in {zone for zone, _, _, _ in self.cells}:
            affected = self._table(zone, True)
            if min(sum(affected[0]), sum(affected[1])) == 0:
                continue
            unaffected = self._table(zone, False)
            theta, variance = self._log_odds_ratio(affected)
            if min(sum(unaffected[0]), sum(unaffected[1])) >= MIN_UNAFFECTED_CALLS:
                unaffected_theta, unaffected_variance = self._log_odds_ratio(unaffected)
                theta, variance = theta - unaffected_theta, variance + unaffected_variance
            elif has_surge or zone in self.disturbed_zones:
                continue
            weight_sum += 1 / variance
            weighted_sum += theta / variance
            zones += 1
        before, since = (self._failure_ratio(since) for since in (False, True))
        calls = {since: sum(count for (_, is_affected, is_since, _), count in self.cells.items()
                            if is_affected and is_since is since) for since in (False, True)}
        enough = zones and min(calls.values()) >= MIN_AFFECTED_CALLS
        return ProbationStatistics(weighted_sum / math.sqrt(weight_sum) if enough else 0.0, before, since,
                                   calls[True], zones)

    def _table(self, zone: str, affected: bool) -> tuple[tuple[int, int], tuple[int, int]]:
        """Return the numbers of (succeeded, failed) calls before the version, and since then."""
        def row(since: bool) -> tuple[int, int]:
            return self.cells[zone, affected, since, False], self.cells[zone, affected, since, True]
        return row(False), row(True)

    @staticmethod
    def _log_odds_ratio(table: tuple[tuple[int, int], tuple[int, int]]) -> tuple[float, float]:
        (succeeded0, failed0), (succeeded1, failed1) = ((succeeded + 0.5, failed + 0.5) for succeeded, failed in table)
        ratio = math.log(failed1 / succeeded1) - math.log(failed0 / succeeded0)
        return ratio, 1 / succeeded0 + 1 / failed0 + 1 / succeeded1 + 1 / failed1

    def _failure_ratio(self, since: bool) -> float:
        failed = sum(count for (_, is_affected, is_since, has_failed), count in self.cells.items()
                     if is_affected and is_since is since and has_failed)
        calls = sum(count for (_, is_affected, is_since, _), count in self.cells.items()
                    if is_affected and is_since is since)
        return failed / calls if calls else 0.0


class RecentOutcomes:
    """The outcomes of the latest calls, with which the next version is compared."""

    def __init__(self) -> None:
        self.outcomes: deque[CallOutcome] = deque(maxlen=MAX_RECENT_CALLS)

    def add(self, outcome: CallOutcome) -> None:
        """Add the outcome of a call."""
        self.outcomes.append(outcome)
