"""Compares two ways to apply route constraints: passed to the module with the call, or checked before each set-up.

The core of one router runs on simulated ports in virtual time, with calls to each of eleven other exchanges. A part
of the calls may neither go direct nor over any but two tandems. Both ways respect the constraints. In the second, the
module does not know them, and a set-up that violates one is reported to it as not sent. The benchmark counts the
results of the calls and the set-ups that the module attempted in vain.
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

SECOND_US = 1_000_000
EXCHANGE_COUNT = 12  # including the router's own
CIRCUITS_PER_PEER = 30.0
ANSWER_DELAY_US = 40_000
MEAN_HOLD_US = 4 * SECOND_US
CONSTRAINED_FRACTION = 0.5  # of the calls


class Simulation:
    """Implements the router's ports: a virtual clock, peers, and a caller that counts the results of its calls.

    The peers answer every set-up after a delay and hold a circuit for each call.
    """

    def __init__(self, pass_constraints: bool, seed: int) -> None:
        self.clock_us, self.sequence = 1_000 * SECOND_US, itertools.count()
        self.timers: list[tuple[int, int, list[Callable[[], None] | None]]] = []  # a heap: time, order, callback
        self.rng = random.Random(seed)
        self.engaged_circuits: Counter[str] = Counter()  # by peer
        self.results: Counter[str] = Counter()
        counts: Counter[str] = Counter()
        settings = io.Settings(
            controllers=EXCHANGE_COUNT, number=0, home=0, topology=io.Topology.MESH, max_attempts=6, release_us=300_000,
            classes=(io.ServiceClass(1_500_000, 9 * SECOND_US, 1.0, hold_us=MEAN_HOLD_US),), callers_wait=True,
            max_caller_wait_us=2 * SECOND_US)
        self.router = Router(settings, seed, self, self, lambda event, **values: None, lambda record: None,
                             gate=Gate((ConstrainingPolicy(),), lambda event, **values: None, counts), counts=counts)
        if not pass_constraints:
            self._hide_constraints_from_module()
        self.router.set_roster(io.RosterChange(io.RosterKind.REPLACE, tuple(
            io.Entry(f"x{exchange}", exchange, 0) for exchange in range(EXCHANGE_COUNT))))
        for exchange in range(1, EXCHANGE_COUNT):
            self.report_group_state(f"x{exchange}")

    def _hide_constraints_from_module(self) -> None:
        handle = self.router.controller.handle

        def handle_unconstrained(now_us: int, event: io.Event) -> list[io.Action]:
            if isinstance(event, io.CallOffered):
                event = replace(event, tiers=(), never=frozenset())
            return handle(now_us, event)
        self.router.controller.handle = handle_unconstrained  # type: ignore[method-assign]

    def now_us(self) -> int:
        """Implements Clock."""
        return self.clock_us

    def call_at(self, when_us: int, callback: Callable[[], None]) -> Any:
        """Implements Clock."""
        pending: list[Callable[[], None] | None] = [callback]
        heapq.heappush(self.timers, (when_us, next(self.sequence), pending))

        class Timer:
            """Implements Timer."""

            def cancel(self) -> None:
                """Implements Timer."""
                pending[0] = None
        return Timer()

    def advance_to(self, until_us: int) -> None:
        """Run the timers that are due up to an instant, and set the clock to it."""
        while self.timers and self.timers[0][0] <= until_us:
            when_us, _, pending = heapq.heappop(self.timers)
            self.clock_us = max(self.clock_us, when_us)
            if pending[0] is not None:
                pending[0]()
        self.clock_us = until_us

    def report_group_state(self, peer: str) -> None:
        """Report the free circuits of a peer to the router."""
        self.router.on_group_state(
            peer, io.Load(free=CIRCUITS_PER_PEER - self.engaged_circuits[peer], size=CIRCUITS_PER_PEER))

    def set_up(self, peer: str, request: Request, deadline_us: int) -> None:
        """Implements Peers: answers after a delay, and releases the call after a random holding time."""
        self.engaged_circuits[peer] += 1
        call = request.call_id

        def end_call() -> None:
            self.engaged_circuits[peer] -= 1
            self.router.on_ended(peer, call, AttemptEnd(io.Outcome.OK))
            self.report_group_state(peer)

        def answer_call() -> None:
            self.router.on_answered(peer, call, b"")
            self.call_at(self.clock_us + int(self.rng.expovariate(1 / MEAN_HOLD_US)), end_call)
        self.call_at(self.clock_us + ANSWER_DELAY_US, answer_call)

    def cancel_set_up(self, peer: str, call_id: str) -> None:
        """Implements Peers."""

    def release(self, peer: str, call_id: str, cause: int) -> None:
        """Implements Peers."""

    def is_release_pending(self, call_id: str, peer: str = "") -> bool:
        """Implements Peers."""
        return False

    def probe(self, peer: str) -> None:
        """Implements Peers."""

    def on_answered(self, call_id: str, description: bytes) -> None:
        """Implements Caller."""
        self.results["stood"] += 1

    def on_refused(self, call_id: str, wait_us: int) -> None:
        """Implements Caller."""
        self.results["refused"] += 1

    def on_failed(self, call_id: str) -> None:
        """Implements Caller."""
        self.results["failed"] += 1

    def on_released(self, call_id: str, cause: int) -> None:
        """Implements Caller."""


class ConstrainingPolicy:
    """Allows half of the numbers only two tandems, which depend on the destination, and not the direct route."""

    name, fail_closed = "plan", False

    def admit(self, request: Request, now_us: int) -> Approval | Refusal | None:
        """Admit every call, with a constraint for a fraction of the numbers."""
        if int(request.number) % 100 >= CONSTRAINED_FRACTION * 100:
            return Approval()
        first_tandem = 1 + request.dest % (EXCHANGE_COUNT - 1)
        second_tandem = 1 + (request.dest + 3) % (EXCHANGE_COUNT - 1)
        return Approval(constraint=RouteConstraint((frozenset({first_tandem}), frozenset({second_tandem})),
                                                   frozenset({request.dest})))

    def permits(self, token: object, request: Request, entry: io.Entry, now_us: int) -> bool:
        """Return True: the constraint alone decides, and the gate checks it."""
        return True

    def sent(self, token: object, request: Request, entry: io.Entry, now_us: int) -> None:
        """Implements Policy; the notification is not used."""

    def final(self, token: object, request: Request, final: Any, now_us: int) -> None:
        """Implements Policy; the notification is not used."""

    def over(self, token: object, request: Request, now_us: int) -> None:
        """Implements Policy; the notification is not used."""


def run_simulation(pass_constraints: bool, seed: int, rate: float, seconds: float) -> dict[str, float]:
    """Run one simulation with Poisson arrivals at a rate per second.

    Returns the fractions of the offered calls that were established and refused, and the number of set-ups attempted in
    vain per offered call, which can exceed 1.
    """
    simulation, rng = Simulation(pass_constraints, seed), random.Random(seed)
    calls, arrival_us = 0, simulation.clock_us
    end_us = arrival_us + int(seconds * SECOND_US)
    while arrival_us < end_us:
        arrival_us += int(rng.expovariate(rate) * SECOND_US)
        simulation.advance_to(arrival_us)
        calls += 1
        request = Request(f"{calls:016x}", 0, "a", rng.randrange(1, EXCHANGE_COUNT), str(rng.randrange(10**9)),
                          simulation.clock_us + 3 * SECOND_US, b"")
        simulation.router.offer(request, simulation)
    simulation.advance_to(end_us + 30 * SECOND_US)
    counts = simulation.router.counts
    return {"stood": round(simulation.results["stood"] / calls, 4),
            "refused": round(simulation.results["refused"] / calls, 4),
            "in_vain": round(counts["attempts_moot_here"] / calls, 4)}


def main() -> None:
    """Print the minimum and maximum of the results at three call rates, and all rows as a JSON object.

    "told" in a row says whether the module was passed the constraints. Both ways are paired by seed: run n uses the
    same one in every row.
    """
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=30.0)
    arguments = parser.parse_args()
    rows = []
    for rate in (30.0, 60.0, 90.0):
        for pass_constraints in (True, False):
            runs = [run_simulation(pass_constraints, arguments.seed + index, rate, arguments.seconds)
                    for index in range(arguments.runs)]
            rows.append({"rate": rate, "told": pass_constraints} | {
                name: [min(run[name] for run in runs), max(run[name] for run in runs)] for name in runs[0]})
            print(rows[-1])
    print(json.dumps({"seed": arguments.seed, "rows": rows}))


if __name__ == "__main__":
    main()
