"""How many calls to a peer that answers every message after a delay are answered.

The last output line is one JSON object. Example: python -m benchmarks.slow_peer --delays 0.5 0.8
"""

from __future__ import annotations

import argparse
import asyncio
import json
from typing import Any

from astertrack.wire import peer
from laboratory.stand_ins import BinaryNode, SipCaller, running_router

CALLS = 12
CALL_INTERVAL_S = 0.7
WAIT_MS = 3_000


class SlowNode(BinaryNode):
    """An exchange that handles each message after a delay; the state of its groups comes at once."""

    def __init__(self, delay_s: float) -> None:
        super().__init__()
        self.delay_s = delay_s

    def handle_message(self, message: peer.Message, writer: asyncio.StreamWriter) -> None:
        """Handle a message after the delay."""
        asyncio.get_running_loop().call_later(self.delay_s, super().handle_message, message, writer)


async def measure(delay_s: float) -> dict[str, Any]:
    """Place calls, and count the answered ones and the dropped connections."""
    node = await SlowNode(delay_s).start()
    async with running_router({1: node}) as router:
        caller = await SipCaller.connect(router.sip_port)
        calls = [f"{number:016x}" for number in range(CALLS)]
        for call in calls:
            caller.invite(call, "good-1", 1, WAIT_MS)
            await asyncio.sleep(CALL_INTERVAL_S)
        await asyncio.sleep(WAIT_MS / 1000)
        statuses = [caller.final_responses[call][0].status for call in calls]
        counts = await router.stop_and_read_counters()
    return {"delay_s": delay_s, "calls": CALLS, "answered": statuses.count(200),
            "dropped_connections": counts["peer_drops"], "overlaps": node.overlaps}


def main() -> None:
    """Measure each delay and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--delays", type=float, nargs="*", default=[0.5, 0.8])
    results = [asyncio.run(measure(delay_s)) for delay_s in parser.parse_args().delays]
    for result in results:
        print(result)
    print(json.dumps({"peers": results}))


if __name__ == "__main__":
    main()
