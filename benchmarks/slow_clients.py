"""What hundreds of slow or half-finished clients cost a router, which runs under the platform's limits.

Beside them one caller on each front places 25 calls a second. --picture: "slow" clients write a large request a little
at a time, "half" ones stop half way through it, "fields" ones send heads of very many short header fields, "backlog"
ones write thousands of small messages at once and then nothing.
Example: python -m benchmarks.slow_clients --front api --picture half --clients 300 --seed 1
The last output line is one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
from typing import Any

from wsproto import ConnectionType, WSConnection
from wsproto.events import Request

from benchmarks.noisy_neighbour import LIMITS, ProcessWatch, TimedApiCaller, TimedSipCaller, place_calls, summarize
from laboratory.exchanges import ExchangesProcess
from laboratory.flood import encode_invite, encode_set_up
from laboratory.stand_ins import running_router

EXCHANGES = 4
DESCRIPTION_BYTES = 14_000
FIELDS = 2_200
PIECE_BYTES, PIECE_INTERVAL_S = 200, 0.05
BACKLOG_BYTES = 400_000
WARM_UP_S = 1.0


def make_request(front: str, picture: str, call: str) -> bytes:
    """Return what a client sends, after the handshake on the API front unless the head itself is the picture."""
    fields = b"a: \r\n" * FIELDS
    if front == "sip":
        if picture == "fields":
            return b"INVITE sip:good@net SIP/2.0\r\n" + fields
        if picture == "backlog":
            notify = b"NOTIFY sip:a@net SIP/2.0\r\nContent-Length: 0\r\n\r\n"
            return encode_invite(call) + notify * (BACKLOG_BYTES // len(notify))
        return encode_invite(call)[:-5].replace(b"Content-Length: 5", b"Content-Length: %d" % DESCRIPTION_BYTES) + (
            b"x" * DESCRIPTION_BYTES)
    if picture == "fields":
        return b"GET /calls HTTP/1.1\r\n" + fields
    websocket = WSConnection(ConnectionType.CLIENT)
    handshake = websocket.send(Request(host="127.0.0.1", target="/calls"))
    text = encode_set_up(call).replace("offer", "x" * DESCRIPTION_BYTES)
    body = encode_frame(text.encode()) if picture != "backlog" else encode_frame(b"no json") * (BACKLOG_BYTES // 13)
    return handshake + body


def encode_frame(payload: bytes) -> bytes:
    """Encode a masked text frame, with a key of zeros, before the handshake has been answered."""
    length = bytes((0x80 | len(payload),)) if len(payload) < 126 else b"\xfe" + len(payload).to_bytes(2)
    return b"\x81" + length + bytes(4) + payload


async def run_client(port: int, data: bytes, picture: str, end: asyncio.Event) -> bool:
    """Send as the picture says, and read whatever comes; return whether the router has closed the connection."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        closed = asyncio.create_task(reader.read(-1))
        limit = len(data) // 2 if picture == "half" else len(data)
        step = PIECE_BYTES if picture == "slow" else limit
        for offset in range(0, limit, step):
            if closed.done() or end.is_set():
                break
            writer.write(data[offset:min(limit, offset + step)])
            await asyncio.sleep(PIECE_INTERVAL_S if picture == "slow" else 0)
        await asyncio.wait([closed, asyncio.create_task(end.wait())], return_when=asyncio.FIRST_COMPLETED)
        writer.close()
        return closed.done()
    return True


async def measure(front: str, picture: str, clients: int, seconds: float, seed: int) -> dict[str, Any]:
    """Run a router between exchanges, two callers and the clients; return the figures."""
    rng = random.Random(seed)
    exchanges = await ExchangesProcess.start(EXCHANGES, seed)
    async with running_router(exchanges.nodes, limits=LIMITS) as router:
        sip, api = await TimedSipCaller.connect(router.sip_port), await TimedApiCaller.connect(router.api_port)
        watch = ProcessWatch(router.process.pid)
        background = [asyncio.create_task(work) for work in (sip.poll(), api.poll(), watch.run())]
        await asyncio.sleep(WARM_UP_S)
        start_mb, end = watch.last_mb, asyncio.Event()
        port = router.api_port if front == "api" else router.sip_port
        crowd = [asyncio.create_task(run_client(
            port, make_request(front, picture, f"{rng.getrandbits(64):016x}"), picture, end)) for _ in range(clients)]
        await asyncio.gather(
            place_calls(sip, sip.invite, seconds, rng), place_calls(api, api.set_up_new, seconds, rng))
        await asyncio.sleep(1.0)
        end.set()
        closed = sum(await asyncio.gather(*crowd))
        for task in background:
            task.cancel()
        answered = sum(final[0].status == 200 for final in sip.final_responses.values())
        result = {
            "front": front, "picture": picture, "clients": clients, "closed_by_router": closed,
            "memory_mb": [round(start_mb), round(watch.max_mb), round(watch.last_mb)],
            "descriptors": watch.max_descriptors, "sip": summarize(sip.sent_s, sip.delays_s, answered),
            "api": summarize(api.sent_s, api.delays_s, sum(kind == "answer" for kind in api.kinds.values()))}
        sip.close()
        api.close()
    await exchanges.stop()
    return result


def main() -> None:
    """Measure and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--front", choices=("sip", "api"), default="sip")
    parser.add_argument("--picture", choices=("slow", "half", "fields", "backlog"), default="slow")
    parser.add_argument("--clients", type=int, default=300)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(json.dumps(asyncio.run(measure(
        arguments.front, arguments.picture, arguments.clients, arguments.seconds, arguments.seed))))


if __name__ == "__main__":
    main()
