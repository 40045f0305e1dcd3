"""How many set-ups reach an exchange after their caller has left, and how many run twice when it comes again.

A client writes set-ups while the router is paused (SIGSTOP), and closes or resets its connection with all of them
unread. The router is continued after 0.1 s. With --again the client sends the same ids on a new connection 30 ms later.
Example: python -m benchmarks.abandoned_requests --front sip --end reset --again --seed 1
The last output line is one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import socket
import struct
import time
from typing import Any

from wsproto import WSConnection
from wsproto.events import Message

from benchmarks.noisy_neighbour import LIMITS
from laboratory.exchanges import ExchangesProcess
from laboratory.flood import complete_handshake, encode_invite, encode_set_up
from laboratory.stand_ins import RouterProcess, running_router

EXCHANGES = 4
SET_UPS = 1_200
UNREAD_BYTES = 325_000  # written before the close: what the buffers of both ends hold
PAUSE_S, RETURN_S, OBSERVED_S = 0.1, 0.03, 6.0


class Client:
    """A client on one connection of a front."""

    def __init__(self, router: RouterProcess, front: str) -> None:
        self.is_api = front == "api"
        self.connection = socket.create_connection(
            ("127.0.0.1", router.api_port if self.is_api else router.sip_port))
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * UNREAD_BYTES)
        self.websocket: WSConnection | None = None

    def complete_handshake(self) -> None:
        """Complete the handshake of a WebSocket; does nothing on the SIP front."""
        if self.is_api:
            self.websocket = complete_handshake(self.connection, is_server=False)

    def encode(self, call: str) -> bytes:
        """Encode the set-up of a call."""
        if self.websocket is None:
            return encode_invite(call)
        return self.websocket.send(Message(encode_set_up(call)))

    def write(self, calls: list[str], limit: int) -> int:
        """Write whole set-ups, as many as the limit of bytes and the buffers allow; return their number."""
        self.connection.setblocking(False)
        data, count = b"", 0
        for call in calls:
            message = self.encode(call)
            if len(data) + len(message) > limit:
                break
            data, count = data + message, count + 1
        written = self.connection.send(data)
        return count if written == len(data) else data[:written].count(b"Call-ID") or count

    def leave(self, end: str) -> None:
        """Close or reset the connection."""
        if end == "reset":
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.connection.close()


async def measure(front: str, end: str, again: bool, seed: int, observed_s: float = OBSERVED_S) -> dict[str, Any]:
    """Write set-ups to a paused router and leave; return what the exchanges saw."""
    rng = random.Random(seed)
    calls = [f"{rng.getrandbits(64):016x}" for _ in range(SET_UPS)]
    exchanges = await ExchangesProcess.start(EXCHANGES, seed)
    async with running_router(exchanges.nodes, limits=LIMITS) as router:
        await asyncio.sleep(0.5)
        client = Client(router, front)
        await asyncio.to_thread(client.complete_handshake)
        await asyncio.sleep(0.2)
        router.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.05)
        written = client.write(calls, UNREAD_BYTES)
        client.leave(end)
        left_s = time.time()
        await asyncio.sleep(PAUSE_S)
        router.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(RETURN_S)
        returned: Client | None = None
        if again:
            returned = Client(router, front)
            await asyncio.to_thread(returned.complete_handshake)
            returned.connection.setblocking(True)
            data = b"".join(map(returned.encode, calls[:written]))
            await asyncio.to_thread(returned.connection.sendall, data)
        await asyncio.sleep(observed_s)
        if returned is not None:
            returned.leave("close")
        counts = await router.stop_and_read_counters()
    results = await exchanges.stop()
    arrivals: dict[str, list[float]] = results["arrivals"]
    return {"front": front, "end": end, "again": again, "written": written,
            "arrived": sum(any(at > left_s for at in times) for times in arrivals.values()),
            "twice": sum(len(times) > 1 for times in arrivals.values()), "overlaps": results["overlaps"],
            "abandoned": counts["sip_set_ups_abandoned"] + counts["ws_set_ups_abandoned"],
            "run_before": counts["offers_run_before"]}


def main() -> None:
    """Measure and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--front", choices=("sip", "api"), default="sip")
    parser.add_argument("--end", choices=("close", "reset"), default="close")
    parser.add_argument("--again", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(json.dumps(asyncio.run(measure(arguments.front, arguments.end, arguments.again, arguments.seed))))


if __name__ == "__main__":
    main()
