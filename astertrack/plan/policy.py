"""What a plan says of one call: barred, limited, whither and how. Pure; a router keeps one Desk for all versions.

The Desk holds what outlives a version: how many calls each limit has in hand, and how much of its rate is used. A
call that began under one version counts in the limits of that one until it is over, under the limits' names, so
that a new version with a lower figure admits nothing until enough calls have ended.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from astertrack.plan.compiled import Plan
from astertrack.plan.model import ANY, Barred, Limit, PlanRefusal, Range, Route

# After how long to return, where the plan does not say: by cause, in milliseconds. A limit frees when calls end,
# which takes seconds; a barred or unmatched number will not do better soon, and a redial is only work.
WAITS_MS = {"barred": 60_000, "limit": 2_000, "unmatched": 10_000, "no-route": 5_000}
SPREAD = 0.25  # share of a wait by which it is spread, where the plan does not say: callers must not return at once
BUCKETS_MOST = 4_096  # limits whose use is remembered; the plan holds no more of them that matter


@dataclass(slots=True)
class RouteQuery:
    """What a plan is asked: a call, as far as it matters to routes."""

    number: str
    dest: int  # as its caller gave it; -1: not at all
    service: str
    transit: bool


@dataclass(frozen=True, slots=True)
class PlanAdmission:
    """A call that may go on: how, and the limits in which it counts until it is over."""

    route: Route
    limits: tuple[str, ...] = ()


Turning = tuple[str, str, int | None]  # cause, by what, and the wait in ms that the record itself names


def resolve_destination(plan: Plan, asked: RouteQuery) -> int | Turning:
    """Return the exchange that a call goes to, or why it is turned away."""
    if asked.transit:
        return asked.dest
    target = plan.target(asked.number)
    if isinstance(target, Barred):
        return "barred", target.digits, target.wait_ms
    if isinstance(target, Range):
        return target.exchange
    if isinstance(target, int):
        return target
    if asked.dest < 0 or any(record.refuse for record in plan.records_of("unmatched").values()):
        return "unmatched", "", None
    return asked.dest


def find_route(plan: Plan, asked: RouteQuery, zone: str) -> Route | str:
    """Return all that a plan says of a call's way, limits apart; the cause, if it is turned away.

    Two plans for which this is equal treat the call alike: the judgement of a version rests on that.
    """
    dest = resolve_destination(plan, asked)
    return plan.route(dest, asked.service, zone) if isinstance(dest, int) else dest[0]


def limit_applies(limit: Limit, asked: RouteQuery, dest: int) -> bool:
    """Whether a call to an exchange counts in a limit."""
    return ((limit.exchange is None or limit.exchange == dest)
            and limit.service in (ANY, asked.service)
            and asked.number.startswith(limit.digits)
            and (limit.transit or not asked.transit))


class _Bucket:
    """A token bucket (RFC 2697's idea, with one rate): what is left, and when it was so."""

    __slots__ = ("at_us", "left")

    def __init__(self, left: float, at_us: int) -> None:
        self.left, self.at_us = left, at_us

    def filled(self, limit: Limit, now_us: int) -> float:
        """Return what is left now."""
        rate = limit.per_s or 0.0
        return min(limit.burst, self.left + rate * max(0, now_us - self.at_us) / 1e6)


class PlanEvaluator:
    """Applies plans to calls."""

    def __init__(self, zone: str, home: int, random_source: random.Random) -> None:
        self.zone, self.home, self._random = zone, home, random_source
        self.in_hand: Counter[str] = Counter()  # calls by the name of the limit in which they count
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, plan: Plan, asked: RouteQuery, now_us: int) -> PlanAdmission | PlanRefusal:
        """Say what becomes of a call. A call in transit keeps its destination, and no prefix is applied to it:
        the router before has applied its own, and a second opinion could send it round in circles."""
        dest = resolve_destination(plan, asked)
        if not isinstance(dest, int):
            return self._turned(plan, *dest)
        limits = plan.records_of("limit")
        counted: tuple[str, ...] = ()
        if limits:
            full, fitting = self._limited(limits, asked, dest, now_us)
            if full is not None:
                return self._turned(plan, "limit", full.name, full.wait_ms)
            counted = tuple(limit.name for limit in fitting)
        route = plan.route(dest, asked.service, self.zone)
        for name in counted:
            self.in_hand[name] += 1
        return PlanAdmission(route, counted)

    def _limited(self, limits: dict[str, Limit], asked: RouteQuery, dest: int,
                 now_us: int) -> tuple[Limit | None, list[Limit]]:
        """Return the first limit that is reached, and all that fit; takes of their rates only if none is."""
        fitting = [limit for limit in limits.values() if limit_applies(limit, asked, dest)]
        for limit in fitting:
            if limit.in_hand is not None and self.in_hand[limit.name] >= limit.in_hand:
                return limit, fitting
            if limit.per_s is not None and self._bucket(limit, now_us).filled(limit, now_us) < 1.0:
                return limit, fitting
        for limit in fitting:
            if limit.per_s is not None:
                bucket = self._bucket(limit, now_us)
                bucket.left, bucket.at_us = bucket.filled(limit, now_us) - 1.0, now_us
        return None, fitting

    def _bucket(self, limit: Limit, now_us: int) -> _Bucket:
        bucket = self._buckets.get(limit.name)
        if bucket is None:
            if len(self._buckets) >= BUCKETS_MOST:  # the one unused for longest is full again in all likelihood
                del self._buckets[min(self._buckets, key=lambda name: self._buckets[name].at_us)]
            bucket = self._buckets[limit.name] = _Bucket(limit.burst, now_us)
        return bucket

    def release(self, passed: PlanAdmission) -> None:
        """A call that was admitted is over."""
        for name in passed.limits:
            self.in_hand[name] -= 1
            if self.in_hand[name] <= 0:
                del self.in_hand[name]

    def _turned(self, plan: Plan, cause: str, by: str, wait_ms: int | None) -> PlanRefusal:
        told = plan.records_of("told").get(cause)
        spread = told.spread if told is not None else SPREAD
        if wait_ms is None:
            wait_ms = told.wait_ms if told is not None else WAITS_MS[cause]
        # Spread upwards only: nobody is told to return before the wait that the plan names.
        return PlanRefusal(cause, int(wait_ms * 1000 * (1.0 + spread * self._random.random())), by)
