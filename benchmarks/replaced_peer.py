"""What happens to calls when a new exchange comes up at the address of one that died, before the bulletin tells of it.

Three calls stand at the exchange that dies. --order says how the bulletin tells: both changes in one event, "together",
or the new exchange first and the end of the old one 3 s later, "new-first". Calls to both go on, five a second each.
Example: python -m benchmarks.replaced_peer --order new-first --delay 2 --seed 1
The last output line is one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import time
from typing import Any

from astertrack.wire import peer
from laboratory.bulletin import BulletinServer, make_endpoint
from laboratory.stand_ins import BinaryNode, SipCaller, running_router, wait_until

STANDING_CALLS = 3
OLD_NUMBER, NEW_NUMBER, OTHER_NUMBER = 1, 2, 3
TELL_SETTLE_S, OLD_END_S, OBSERVED_S, CALL_INTERVAL_S = 0.5, 3.0, 9.0, 0.2


class ReplacedNode(BinaryNode):
    """An exchange that can die, or listen at the address of one that did, and records which numbers were called."""

    def __init__(self) -> None:
        super().__init__()
        self.called: list[tuple[float, str]] = []  # time of the Unix clock, called number
        self.foreign_ids: list[str] = []  # of releases of calls that this exchange never had

    def die(self) -> None:
        """Stop listening, and reset all connections."""
        assert self.server is not None
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in self.writers:
            writer.transport.abort()

    async def start_at(self, address: str) -> None:
        """Listen at an address."""
        host, _, port = address.rpartition(":")
        while True:
            with contextlib.suppress(OSError):
                self.server = await asyncio.start_server(self.serve, host, int(port))
                return
            await asyncio.sleep(0.005)

    def handle_message(self, message: peer.Message, writer: asyncio.StreamWriter) -> None:
        """Record what arrives, and handle it."""
        if message.type == peer.MessageType.SET_UP:
            self.called.append((time.time(), message.parameters[peer.Parameter.NUMBER].decode()))
        elif message.type == peer.MessageType.RELEASE and message.call not in self.request_counts:
            self.foreign_ids.append(message.call)
        super().handle_message(message, writer)


async def measure(order: str, delay_s: float, seed: int, observed_s: float = OBSERVED_S) -> dict[str, Any]:
    """Replace an exchange under calls; return what became of them."""
    rng = random.Random(seed)
    old, new = ReplacedNode(), ReplacedNode()
    await old.start()
    other = await BinaryNode().start()
    address = old.address
    bulletin = await BulletinServer().start()
    async with running_router({OLD_NUMBER: old, OTHER_NUMBER: other}, bulletin=bulletin.address) as router:
        caller = await SipCaller.connect(router.sip_port)
        standing = [f"{rng.getrandbits(64):016x}" for _ in range(STANDING_CALLS)]
        for call in standing:
            caller.invite(call, "long-standing", OLD_NUMBER)
        await wait_until(lambda: all(call in caller.final_responses for call in standing))
        await wait_until(lambda: bulletin.writers)
        old.die()
        died_s = time.time()
        await new.start_at(address)
        released_s: dict[str, float] = {}

        async def place_calls() -> None:
            while True:
                for number, word in ((OLD_NUMBER, "for-old"), (NEW_NUMBER, "for-new")):
                    caller.invite(f"{rng.getrandbits(64):016x}", word, number, wait_ms=1_000)
                for call in standing:
                    if call in caller.received_byes:
                        released_s.setdefault(call, time.time())
                await asyncio.sleep(CALL_INTERVAL_S)

        placing = asyncio.create_task(place_calls())
        await asyncio.sleep(delay_s)
        told_s = time.time()
        arrival = make_endpoint("s-9", NEW_NUMBER, address)
        end = make_endpoint(f"s-{OLD_NUMBER}", OLD_NUMBER, address, "terminated")
        if order == "together":
            bulletin.publish(end, arrival)
        else:
            bulletin.publish(arrival)
            await asyncio.sleep(OLD_END_S)
            bulletin.publish(end)
        await asyncio.sleep(observed_s - delay_s)
        placing.cancel()
        caller.close()
    new.stop()
    other.stop()
    wrong = [at for at, number in new.called if number.startswith("for-old") and at > told_s + TELL_SETTLE_S]
    return {"order": order, "delay_s": delay_s, "standing": STANDING_CALLS, "released": len(released_s),
            "last_release_s": round(max(released_s.values(), default=died_s) - died_s, 1),
            "wrong_place": len(wrong), "right_place": sum(number.startswith("for-new") for _, number in new.called),
            "old_ids_at_new": sum(call in new.foreign_ids or call in new.request_counts for call in standing),
            "overlaps": new.overlaps}


def main() -> None:
    """Measure and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--order", choices=("together", "new-first"), default="together")
    parser.add_argument("--delay", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(json.dumps(asyncio.run(measure(arguments.order, arguments.delay, arguments.seed))))


if __name__ == "__main__":
    main()
