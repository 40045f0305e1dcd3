"""Evaluation of a plan for one call: barred, limited, or admitted with a destination and routes. No I/O.

A router has one PlanEvaluator for all versions of its plan. It holds the state that outlives a version: the number of
concurrent calls of each limit, and the used part of its rate. A call that was admitted under one version counts in
the limits of that version until it is released. The counts are kept by the names of the limits, so that a new version
with a lower limit admits nothing until enough calls have been released.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from astertrack.plan.compiled import Plan
from astertrack.plan.model import ANY, Barred, Limit, PlanRefusal, Range, Route

# Wait before a retry by cause, in milliseconds, where the plan gives none. Limits have room again when calls are
# released, which takes seconds; a barred or unmatched number will not succeed soon, and a retry only costs work.
DEFAULT_WAITS_MS = {"barred": 60_000, "limit": 2_000, "unmatched": 10_000, "no-route": 5_000}
# Fraction of a wait by which it is extended at random, where the plan gives none: callers must not retry in step.
DEFAULT_SPREAD = 0.25
MAX_BUCKETS = 4_096  # token buckets kept, one per limit with a rate; no plan is expected to use more at a time


@dataclass(slots=True)
class RouteQuery:
    """The properties of a call on which its route depends."""

    number: str  # called number
    dest: int  # destination given by the caller; -1: none
    service: str  # class of the call
    transit: bool  # whether the call comes from another router and not from a caller


@dataclass(frozen=True, slots=True)
class PlanAdmission:
    """An admitted call: its route, and the names of the limits in which it counts until it is released."""

    route: Route
    limits: tuple[str, ...] = ()


RefusalDetails = tuple[str, str, int | None]  # cause, source, and the wait in ms given by the record itself


def resolve_destination(plan: Plan, query: RouteQuery) -> int | RefusalDetails:
    """Return the destination exchange of a call, or the refusal."""
    if query.transit:
        return query.dest
    target = plan.target(query.number)
    if isinstance(target, Barred):
        return "barred", target.digits, target.wait_ms
    if isinstance(target, Range):
        return target.exchange
    if isinstance(target, int):
        return target
    if query.dest < 0 or any(record.refuse for record in plan.records_of("unmatched").values()):
        return "unmatched", "", None
    return query.dest


def find_route(plan: Plan, query: RouteQuery, zone: str) -> Route | str:
    """Return the route of a call under a plan, or the cause of its refusal. Limits are not considered.

    Two plans with equal results treat the call alike, which the evaluation of a version on probation relies on.
    """
    dest = resolve_destination(plan, query)
    return plan.route(dest, query.service, zone) if isinstance(dest, int) else dest[0]


def limit_applies(limit: Limit, query: RouteQuery, dest: int) -> bool:
    """Return whether a call to an exchange counts in a limit."""
    return ((limit.exchange is None or limit.exchange == dest)
            and limit.service in (ANY, query.service)
            and query.number.startswith(limit.digits)
            and (limit.transit or not query.transit))


class _Bucket:
    """A token bucket (as in RFC 2697, with one rate): the tokens, and the time of their last update."""

    __slots__ = ("tokens", "updated_us")

    def __init__(self, tokens: float, updated_us: int) -> None:
        self.tokens, self.updated_us = tokens, updated_us

    def tokens_at(self, limit: Limit, now_us: int) -> float:
        """Return the tokens at this time, refilled at the rate of the limit."""
        rate = limit.per_s or 0.0
        return min(limit.burst, self.tokens + rate * max(0, now_us - self.updated_us) / 1e6)


class PlanEvaluator:
    """Applies plans to calls, and counts the calls of each limit across versions.

    `zone` and `home` are the zone and the exchange of this router; no method reads `home`.
    """

    def __init__(self, zone: str, home: int, random_source: random.Random) -> None:
        self.zone, self.home, self._random = zone, home, random_source
        self.in_hand: Counter[str] = Counter()  # concurrent calls by the name of the limit
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, plan: Plan, query: RouteQuery, now_us: int) -> PlanAdmission | PlanRefusal:
        """Admit or refuse a call.

        A call in transit keeps its destination and no prefix is applied to it: the previous router has applied its
        own, and a different result here could route the call in a loop.
        """
        dest = resolve_destination(plan, query)
        if not isinstance(dest, int):
            return self._refuse(plan, *dest)
        limits = plan.records_of("limit")
        counted: tuple[str, ...] = ()
        if limits:
            reached, matching = self._check_limits(limits, query, dest, now_us)
            if reached is not None:
                return self._refuse(plan, "limit", reached.name, reached.wait_ms)
            counted = tuple(limit.name for limit in matching)
        route = plan.route(dest, query.service, self.zone)
        for name in counted:
            self.in_hand[name] += 1
        return PlanAdmission(route, counted)

    def _check_limits(self, limits: dict[str, Limit], query: RouteQuery, dest: int,
                      now_us: int) -> tuple[Limit | None, list[Limit]]:
        """Return the first limit that is reached, and all that match. Tokens are taken only if none is reached."""
        matching = [limit for limit in limits.values() if limit_applies(limit, query, dest)]
        for limit in matching:
            if limit.in_hand is not None and self.in_hand[limit.name] >= limit.in_hand:
                return limit, matching
            if limit.per_s is not None and self._bucket(limit, now_us).tokens_at(limit, now_us) < 1.0:
                return limit, matching
        for limit in matching:
            if limit.per_s is not None:
                bucket = self._bucket(limit, now_us)
                bucket.tokens, bucket.updated_us = bucket.tokens_at(limit, now_us) - 1.0, now_us
        return None, matching

    def _bucket(self, limit: Limit, now_us: int) -> _Bucket:
        bucket = self._buckets.get(limit.name)
        if bucket is None:
            if len(self._buckets) >= MAX_BUCKETS:  # the least recently used bucket has most likely refilled
                del self._buckets[min(self._buckets, key=lambda name: self._buckets[name].updated_us)]
            bucket = self._buckets[limit.name] = _Bucket(limit.burst, now_us)
        return bucket

    def release(self, admission: PlanAdmission) -> None:
        """Remove a released call from the limits in which it counted."""
        for name in admission.limits:
            self.in_hand[name] -= 1
            if self.in_hand[name] <= 0:
                del self.in_hand[name]

    def _refuse(self, plan: Plan, cause: str, source: str, wait_ms: int | None) -> PlanRefusal:
        advice = plan.records_of("told").get(cause)
        spread = advice.spread if advice is not None else DEFAULT_SPREAD
        if wait_ms is None:
            wait_ms = advice.wait_ms if advice is not None else DEFAULT_WAITS_MS[cause]
        # The spread only extends the wait: no caller is advised to retry earlier than the plan says.
        return PlanRefusal(cause, int(wait_ms * 1000 * (1.0 + spread * self._random.random())), source)
