"""How a plan's constraint should reach the module: told with the call, or met by 'not sent' when it sends.

One router's core with stand-in ports in virtual time, twelve exchanges, calls to each of them, of which a part may go
neither direct nor over any but two tandems. Both ways keep the plan; counted is what becomes of the calls, and what
the module does in vain.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from astertrack.core import Approval, AttemptEnd, Gate, Refusal, Request, RouteConstraint, Router
from ospreylug import interface as io

SECOND = 1_000_000
EXCHANGES = 12
CIRCUITS = 30.0
DELAY_US = 40_000
HOLD_US = 4 * SECOND
NARROWED = 0.5  # of the calls


class World:
    """A clock, peers that answer after a while and hold a circuit for each call, and a caller who counts."""

    def __init__(self, told: bool, seed: int) -> None:
        self.now, self.order = 1_000 * SECOND, itertools.count()
        self.timers: list[tuple[int, int, list[Callable[[], None] | None]]] = []
        self.source = random.Random(seed)
        self.taken: Counter[str] = Counter()
        self.finals: Counter[str] = Counter()
        counts: Counter[str] = Counter()
        settings = io.Settings(
            controllers=EXCHANGES, number=0, home=0, topology=io.Topology.MESH, max_attempts=6, release_us=300_000,
            classes=(io.ServiceClass(1_500_000, 9 * SECOND, 1.0, hold_us=HOLD_US),), callers_wait=True,
            max_caller_wait_us=2 * SECOND)
        self.router = Router(settings, seed, self, self, lambda event, **values: None, lambda record: None,
                             gate=Gate((Plan(),), lambda event, **values: None, counts), counts=counts)
        if not told:
            self._keep_from_the_module()
        self.router.set_roster(io.RosterChange(io.RosterKind.REPLACE, tuple(
            io.Entry(f"x{n}", n, 0) for n in range(EXCHANGES))))
        for n in range(1, EXCHANGES):
            self.state(f"x{n}")

    def _keep_from_the_module(self) -> None:
        handle = self.router.controller.handle

        def blind(now_us: int, event: io.Event) -> list[io.Action]:
            if isinstance(event, io.CallOffered):
                event = replace(event, tiers=(), never=frozenset())
            return handle(now_us, event)
        self.router.controller.handle = blind  # type: ignore[method-assign]

    def now_us(self) -> int:
        """The clock's port."""
        return self.now

    def call_at(self, when_us: int, callback: Callable[[], None]) -> Any:
        """The clock's port."""
        cell: list[Callable[[], None] | None] = [callback]
        heapq.heappush(self.timers, (when_us, next(self.order), cell))

        class Handle:
            """A timer."""

            def cancel(self) -> None:
                """Forget it."""
                cell[0] = None
        return Handle()

    def pass_time(self, until_us: int) -> None:
        """Let time pass."""
        while self.timers and self.timers[0][0] <= until_us:
            when, _, cell = heapq.heappop(self.timers)
            self.now = max(self.now, when)
            if cell[0] is not None:
                cell[0]()
        self.now = until_us

    def state(self, peer: str) -> None:
        """A peer tells its free circuits."""
        self.router.on_group_state(peer, io.Load(free=CIRCUITS - self.taken[peer], size=CIRCUITS))

    def set_up(self, peer: str, request: Request, deadline_us: int) -> None:
        """The peers' port."""
        self.taken[peer] += 1
        call = request.call_id

        def ends() -> None:
            self.taken[peer] -= 1
            self.router.on_ended(peer, call, AttemptEnd(io.Outcome.OK))
            self.state(peer)

        def answers() -> None:
            self.router.on_answered(peer, call, b"")
            self.call_at(self.now + int(self.source.expovariate(1 / HOLD_US)), ends)
        self.call_at(self.now + DELAY_US, answers)

    def cancel_set_up(self, peer: str, call: str) -> None:
        """The peers' port."""

    def release(self, peer: str, call: str, cause: int) -> None:
        """The peers' port."""

    def probe(self, peer: str) -> None:
        """The peers' port."""

    def on_answered(self, call: str, description: bytes) -> None:
        """The caller's port."""
        self.finals["stood"] += 1

    def on_refused(self, call: str, wait_us: int) -> None:
        """The caller's port."""
        self.finals["refused"] += 1

    def on_failed(self, call: str) -> None:
        """The caller's port."""
        self.finals["failed"] += 1

    def on_released(self, call: str, cause: int) -> None:
        """The caller's port."""


class Plan:
    """Half of the numbers may go over two tandems only, which depend on the destination."""

    name, fail_closed = "plan", False

    def admit(self, request: Request, now_us: int) -> Approval | Refusal | None:
        """Narrow a call."""
        if int(request.number) % 100 >= NARROWED * 100:
            return Approval()
        first = 1 + request.dest % (EXCHANGES - 1)
        second = 1 + (request.dest + 3) % (EXCHANGES - 1)
        return Approval(constraint=RouteConstraint((frozenset({first}), frozenset({second})),
                                                   frozenset({request.dest})))

    def permits(self, token: object, request: Request, entry: io.Entry, now_us: int) -> bool:
        """The constraint says it."""
        return True

    def sent(self, token: object, request: Request, entry: io.Entry, now_us: int) -> None:
        """Nothing hangs on it."""

    def final(self, token: object, request: Request, final: Any, now_us: int) -> None:
        """Nothing hangs on it."""

    def over(self, token: object, request: Request, now_us: int) -> None:
        """Nothing hangs on it."""


def play(told: bool, seed: int, rate: float, seconds: float) -> dict[str, float]:
    """Play one run, and return the shares."""
    world, source = World(told, seed), random.Random(seed)
    calls, at = 0, world.now
    end = at + int(seconds * SECOND)
    while at < end:
        at += int(source.expovariate(rate) * SECOND)
        world.pass_time(at)
        calls += 1
        request = Request(f"{calls:016x}", 0, "a", source.randrange(1, EXCHANGES), str(source.randrange(10**9)),
                          world.now + 3 * SECOND, b"")
        world.router.offer(request, world)
    world.pass_time(end + 30 * SECOND)
    counts = world.router.counts
    return {"stood": round(world.finals["stood"] / calls, 4), "refused": round(world.finals["refused"] / calls, 4),
            "in_vain": round(counts["attempts_moot_here"] / calls, 4)}


def main() -> None:
    """Print both ways at three rates, paired by seed."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=30.0)
    given = parser.parse_args()
    rows = []
    for rate in (30.0, 60.0, 90.0):
        for told in (True, False):
            runs = [play(told, given.seed + at, rate, given.seconds) for at in range(given.runs)]
            rows.append({"rate": rate, "told": told} | {
                name: [min(r[name] for r in runs), max(r[name] for r in runs)] for name in runs[0]})
            print(rows[-1])
    print(json.dumps({"seed": given.seed, "rows": rows}))


if __name__ == "__main__":
    main()
