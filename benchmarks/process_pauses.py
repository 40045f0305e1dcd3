"""How many connections to idle peers a router drops because its own process was paused (SIGSTOP).

The last output line is one JSON object. Example: python -m benchmarks.process_pauses --pauses 5 --seconds 0.8
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
from typing import Any

from laboratory.stand_ins import BinaryNode, Node, running_router

PEERS = 3
RUNNING_S = 0.7  # between two pauses


async def measure(pauses: int, pause_s: float) -> dict[str, Any]:
    """Pause a router several times; return the number of connections that it dropped."""
    nodes: dict[int, Node] = {number: await BinaryNode().start() for number in range(1, PEERS + 1)}
    async with running_router(nodes) as router:
        await asyncio.sleep(RUNNING_S)
        for _ in range(pauses):
            router.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause_s)
            router.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(RUNNING_S)
        counts = await router.stop_and_read_counters()
    return {"pauses": pauses, "pause_s": pause_s, "peers": PEERS, "dropped_connections": counts["peer_drops"]}


def main() -> None:
    """Measure and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pauses", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=0.8)
    arguments = parser.parse_args()
    print(json.dumps(asyncio.run(measure(arguments.pauses, arguments.seconds))))


if __name__ == "__main__":
    main()
