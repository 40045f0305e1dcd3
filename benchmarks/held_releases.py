"""What a router holds for API clients that never return: memory, and the longest time without other work.

So many releases are requested for named clients that are away, spread evenly; then the client with the most connects.
Example: python -m benchmarks.held_releases --releases 20000 --clients 10
The last output line is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable

from twisted.internet.task import Clock

from astertrack.net.client_releases import BATCH_INTERVAL_US, ClientIdentity, ClientReleases
from astertrack.net.clock import ReactorClock
from astertrack.wire import callapi as api

ORPHAN_WINDOW_US = 200_000_000


class SimulatedClock(ReactorClock):
    """A clock whose Unix time is that of a simulated reactor."""

    def now_us(self) -> int:
        """Return the simulated time."""
        return round(float(self.reactor.seconds()) * 1e6)


class EncodingConnection:
    """A connection that encodes what it is given, as a real one does."""

    def __init__(self) -> None:
        self.sent = 0

    def send_release(self, call_id: str, cause: int) -> None:
        """Encode a release."""
        api.encode_message(api.Released(call_id, cause, confirm=True))
        self.sent += 1


def measure_ms(work: Callable[[], None]) -> float:
    """Return the duration of work in milliseconds."""
    start = time.perf_counter()
    work()
    return (time.perf_counter() - start) * 1000


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--releases", type=int, default=20_000)
    parser.add_argument("--clients", type=int, default=10)
    arguments = parser.parse_args()
    reactor, counts = Clock(), Counter[str]()
    releases = ClientReleases(SimulatedClock(reactor), counts, ORPHAN_WINDOW_US, lambda call_id: None)
    identities = [ClientIdentity(f"near-{number}@10.0.0.1:3868/w-1", "10.0.0.1") for number in range(arguments.clients)]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(arguments.releases):
        releases.release(identities[number % arguments.clients], f"{number:016x}", 16)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    connection = EncodingConnection()
    turns_ms = [measure_ms(lambda: releases.add_connection(connection, identities[0], None))]
    while True:
        sent = connection.sent
        turns_ms.append(measure_ms(lambda: reactor.advance(BATCH_INTERVAL_US / 1e6)))
        if connection.sent == sent:
            break
    print(f"{arguments.releases} releases for {arguments.clients} clients: {(held - before) / 1e6:.1f} MB held, "
          f"{counts['ws_releases_dropped']} dropped; {connection.sent} sent in {len(turns_ms) - 1} turns, the longest "
          f"{max(turns_ms):.2f} ms")
    print(json.dumps({"held_bytes": held - before, "dropped": counts["ws_releases_dropped"], "sent": connection.sent,
                      "longest_turn_ms": round(max(turns_ms), 3)}))


if __name__ == "__main__":
    main()
