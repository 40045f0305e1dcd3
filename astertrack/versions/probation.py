"""Whether a version made calls fail: a test of its calls against those before it and those it did not touch.

The calls since it is in force are compared with the latest ones before it. A version changes the way of some
calls and leaves others as they were; which, is found for each call by asking both plans. A cut zone or a surge
makes both kinds fail more, a bad version only those that it touched. So the figure tested is, in each zone, the
change of the log odds of failure of touched calls less that of untouched ones,

    theta = (logit a1 - logit a0) - (logit u1 - logit u0),   var = sum over the eight cells of 1 / (n + 1/2),

with 1/2 added to every cell (Haldane 1956, Anscombe 1956); the difference of two log odds ratios is tested as in
Altman and Bland ("Interaction revisited: the difference between two estimates", BMJ 326:219, 2003), and zones are
pooled with inverse variances (Woolf 1955). Where a zone has too few untouched calls to compare with, the touched
ones stand alone, but only while that zone is undisturbed: a cut zone or a surge without a comparison tells
nothing of the version.

It is looked at LOOKS times; the error of all looks together is at most ALPHA (Bonferroni), one-sided.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from statistics import NormalDist

ALPHA = 0.001  # chance that a version that does no harm is taken back, however often it is looked at (ours)
MAX_EVALUATIONS = 5  # times that a version is looked at (ours)
WORSE_LEAST = 0.05  # the share of failures must have grown by so much: less is not worth a roll-back (ours)
CALLS_LEAST = 20  # touched calls before and since, fewer of which decide nothing (ours)
COMPARED_LEAST = 20  # untouched calls before and since, fewer of which are no comparison (ours)
BEFORE_MOST = 2_000  # latest calls before a version that are remembered: a minute at 33 a second (ours)
SURGE = 1.3  # times the rate of before: then uncompared calls tell nothing (operators: surges are 1.2 to 1.6)
EXTENDED = 3  # periods after which a version that could not be judged stays (ours)


class Verdict(Enum):
    """What became of a probation."""

    OPEN = "open"
    KEPT = "kept"
    UNDECIDED = "undecided"  # it stays, for nothing could be told
    WORSE = "worse"  # it is to be taken back


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """A call's end, as far as a version could be to blame for it."""

    number: str
    dest: int  # as its caller gave it
    service: str
    zone: str  # of its destination
    at_us: int
    failed: bool


@dataclass(frozen=True, slots=True)
class ProbationStatistics:
    """What a judgement rests on."""

    z: float
    before: float  # share of failures among touched calls
    since: float
    calls: int  # touched calls since
    zones: int  # that took part


def critical_z() -> float:
    """Return what z must pass at one look."""
    return NormalDist().inv_cdf(1 - ALPHA / MAX_EVALUATIONS)


class Probation:
    """One version on probation. Outcomes come in, those of before first; evaluate() judges."""

    def __init__(self, since_us: int, period_us: int) -> None:
        self.since_us, self.period_us = since_us, period_us
        # Finals by zone, whether touched, whether since, and whether failed.
        self.cells: Counter[tuple[str, bool, bool, bool]] = Counter()
        self.disturbed_zones: set[str] = set()
        self._before_us: tuple[int, int] | None = None  # first and last of the calls before
        self._calls: Counter[bool] = Counter()  # by whether since
        self.evaluations = 0

    def add_before(self, outcome: CallOutcome, touched: bool) -> None:
        """Take the end of a call that followed the version before."""
        first = self._before_us[0] if self._before_us is not None else outcome.at_us
        self._before_us = (min(first, outcome.at_us), max(outcome.at_us, first))
        self.cells[outcome.zone, touched, False, outcome.failed] += 1
        self._calls[False] += 1

    def add_since(self, outcome: CallOutcome, touched: bool) -> None:
        """Take the end of a call that follows this version."""
        self.cells[outcome.zone, touched, True, outcome.failed] += 1
        self._calls[True] += 1

    def next_evaluation_us(self) -> int:
        """Return when to look next."""
        return self.since_us + (self.evaluations + 1) * self.period_us // MAX_EVALUATIONS

    def evaluate(self, now_us: int) -> tuple[Verdict, ProbationStatistics]:
        """Judge by what is known now; counts as one of the looks."""
        self.evaluations += 1
        figures = self._figures(now_us)
        if figures.z > critical_z() and figures.since - figures.before >= WORSE_LEAST:
            return Verdict.WORSE, figures
        if self.evaluations < MAX_EVALUATIONS:
            return Verdict.OPEN, figures
        # Without calls to judge by, it waits on; every further look is one more chance to err, so it takes none.
        enough = figures.calls >= CALLS_LEAST and figures.zones > 0
        if enough:
            return Verdict.KEPT, figures
        late = now_us - self.since_us >= EXTENDED * self.period_us
        return (Verdict.UNDECIDED if late or not self._touches() else Verdict.OPEN), figures

    def _touches(self) -> bool:
        return any(touched for _, touched, _, _ in self.cells)

    def _surge(self, now_us: int) -> bool:
        """Whether calls come clearly faster than before: by more than SURGE, and than chance (two deviations)."""
        if self._before_us is None:
            return False
        before_s = max(1.0, (self._before_us[1] - self._before_us[0]) / 1e6)
        since_s = max(0.1, (now_us - self.since_us) / 1e6)
        expected = self._calls[False] / before_s * since_s
        return self._calls[True] > SURGE * expected + 2 * math.sqrt(SURGE * expected + 1)

    def _figures(self, now_us: int) -> ProbationStatistics:
        weight = total = 0.0
        zones = 0
        surge = self._surge(now_us)
        for zone in {zone for zone, _, _, _ in self.cells}:
            touched = self._table(zone, True)
            if min(sum(touched[0]), sum(touched[1])) == 0:
                continue
            compared = self._table(zone, False)
            theta, variance = self._log_odds_ratio(touched)
            if min(sum(compared[0]), sum(compared[1])) >= COMPARED_LEAST:
                other, more = self._log_odds_ratio(compared)
                theta, variance = theta - other, variance + more
            elif surge or zone in self.disturbed_zones:
                continue
            weight += 1 / variance
            total += theta / variance
            zones += 1
        before, since = (self._share(since) for since in (False, True))
        calls = {since: sum(n for (_, t, s, _), n in self.cells.items() if t and s is since) for since in (False, True)}
        enough = zones and min(calls.values()) >= CALLS_LEAST
        return ProbationStatistics(total / math.sqrt(weight) if enough else 0.0, before, since, calls[True], zones)

    def _table(self, zone: str, touched: bool) -> tuple[tuple[int, int], tuple[int, int]]:
        """Return (stood, failed) before, and since."""
        def row(since: bool) -> tuple[int, int]:
            return self.cells[zone, touched, since, False], self.cells[zone, touched, since, True]
        return row(False), row(True)

    @staticmethod
    def _log_odds_ratio(table: tuple[tuple[int, int], tuple[int, int]]) -> tuple[float, float]:
        (stood0, failed0), (stood1, failed1) = ((a + 0.5, b + 0.5) for a, b in table)
        ratio = math.log(failed1 / stood1) - math.log(failed0 / stood0)
        return ratio, 1 / stood0 + 1 / failed0 + 1 / stood1 + 1 / failed1

    def _share(self, since: bool) -> float:
        failed = sum(n for (_, t, s, f), n in self.cells.items() if t and s is since and f)
        calls = sum(n for (_, t, s, _), n in self.cells.items() if t and s is since)
        return failed / calls if calls else 0.0


class RecentOutcomes:
    """The latest calls, for the next version to be compared with."""

    def __init__(self) -> None:
        self.outcomes: deque[CallOutcome] = deque(maxlen=BEFORE_MOST)

    def add(self, outcome: CallOutcome) -> None:
        """Remember a call's end."""
        self.outcomes.append(outcome)
