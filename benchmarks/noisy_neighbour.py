"""What one sender at full speed costs the other callers of a router, which runs under the platform's limits.

Beside the sender, one caller on each front places 25 calls a second, to four exchanges in a process of their own that
answer after 10 to 30 ms. Example: python -m benchmarks.noisy_neighbour --mode api-sound --seconds 10 --seed 1
The last output line is one JSON object. The modes are those of laboratory.flood; "none" is a run without a sender.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from pathlib import Path
from typing import Any

from laboratory.exchanges import ExchangesProcess
from laboratory.flood import DESTINATION_TEXTS, MODES, PEER_MESSAGES, STREAM_EVENTS
from laboratory.load import RemoteNode
from laboratory.stand_ins import ROOT, ApiCaller, Node, RouterProcess, SipCaller, running_router

EXCHANGES = 4
NOISY_EXCHANGE = 5
CALLS_PER_S = 25.0  # of each caller
WARM_UP_S, FINAL_ANSWER_WAIT_S = 1.0, 4.0
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1_024}
PAGE_BYTES = 4_096


class TimedSipCaller(SipCaller):
    """A SIP caller that records the delays of its final answers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(reader, writer)
        self.sent_s: dict[str, float] = {}
        self.delays_s: dict[str, float] = {}

    async def poll(self) -> None:
        """Note the arrival of final answers."""
        while True:
            for call in self.final_responses:
                if call not in self.delays_s:
                    self.delays_s[call] = time.monotonic() - self.sent_s[call]
            await asyncio.sleep(0.002)


class TimedApiCaller(ApiCaller):
    """An API caller that records the delays of its final answers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(reader, writer)
        self.sent_s: dict[str, float] = {}
        self.delays_s: dict[str, float] = {}
        self.kinds: dict[str, str] = {}

    def set_up_new(self, call: str, number: str, dest: int) -> None:
        """Place a call whose id is sent for the first time."""
        self.send(type="setup", id=call, number=number, dest=dest, description="offer", new_id=True,
                  deadline=int(time.time() * 1000) + 3_000, **{"class": "ledger-read"})

    async def poll(self) -> None:
        """Note the arrival of final answers."""
        seen = 0
        while True:
            for message in self.received_messages[seen:]:
                if message["type"] in ("answer", "refused", "failed"):
                    self.delays_s[message["id"]] = time.monotonic() - self.sent_s[message["id"]]
                    self.kinds[message["id"]] = message["type"]
            seen = len(self.received_messages)
            await asyncio.sleep(0.002)


class ProcessWatch:
    """Samples the resident memory and the descriptors of a process."""

    def __init__(self, process_id: int) -> None:
        self.process_id, self.max_mb, self.last_mb, self.max_descriptors = process_id, 0.0, 0.0, 0

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            pages = int(Path(f"/proc/{self.process_id}/statm").read_text().split()[1])
            self.last_mb = pages * PAGE_BYTES / 1e6
            self.max_mb = max(self.max_mb, self.last_mb)
            self.max_descriptors = max(self.max_descriptors, len(list(Path(f"/proc/{self.process_id}/fd").iterdir())))
            await asyncio.sleep(0.1)


class FloodProcess:
    """The sender as its parent sees it."""

    def __init__(self, mode: str, seconds: float, seed: int) -> None:
        self.mode = mode
        self.arguments = ["-m", "laboratory.flood", "--mode", mode, "--seconds", str(seconds), "--seed", str(seed)]
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.is_server = mode in PEER_MESSAGES or mode in DESTINATION_TEXTS or mode in STREAM_EVENTS

    async def start_server(self) -> None:
        """Start a sender that listens, before the router."""
        if self.is_server:
            self.process = await self._start([])
            assert self.process.stdout is not None
            self.port = json.loads(await self.process.stdout.readline())["port"]

    async def run(self, router: RouterProcess) -> int:
        """Let it send; return the number of messages sent."""
        if self.mode == "none":
            return 0
        if self.process is None:
            port = router.sip_port if self.mode.startswith("sip-") else router.api_port
            self.process = await self._start(["--port", str(port)])
        output, _ = await self.process.communicate(b"go\n")
        return int(json.loads(output.splitlines()[-1])["sent"])

    async def _start(self, arguments: list[str]) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable, *self.arguments, *arguments, cwd=ROOT, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE)

    @property
    def address(self) -> str:
        """The host and port of a server."""
        return f"127.0.0.1:{self.port}"


async def place_calls(caller: Any, place: Any, seconds: float, rng: random.Random) -> None:
    """Place calls at a constant rate."""
    started_s = time.monotonic()
    for index in range(round(seconds * CALLS_PER_S)):
        call = f"{rng.getrandbits(64):016x}"
        caller.sent_s[call] = time.monotonic()
        place(call, "good", 1 + index % EXCHANGES)
        await asyncio.sleep(max(0.0, started_s + (index + 1) / CALLS_PER_S - time.monotonic()))


def summarize(sent_s: dict[str, float], delays_s: dict[str, float], answered: int) -> dict[str, Any]:
    """Return the results of one caller; delays in milliseconds."""
    delays_ms = sorted(delay * 1e3 for delay in delays_s.values()) or [0.0]
    return {"calls": len(sent_s), "answered": answered, "refused": len(delays_s) - answered,
            "missing": len(sent_s) - len(delays_s), "median_ms": round(delays_ms[len(delays_ms) // 2]),
            "p99_ms": round(delays_ms[int(0.99 * (len(delays_ms) - 1))]), "max_ms": round(delays_ms[-1])}


async def measure(mode: str, seconds: float, seed: int) -> dict[str, Any]:
    """Run a router between exchanges, two callers and the sender; return the figures."""
    rng = random.Random(f"callers {seed}")  # the sender has the seed itself: no two share an id
    exchanges = await ExchangesProcess.start(EXCHANGES, seed)
    flood = FloodProcess(mode, seconds, seed)
    await flood.start_server()
    nodes: dict[int, Node] = dict(exchanges.nodes)
    destinations: dict[int, Node] = {}
    if mode in PEER_MESSAGES:
        nodes[NOISY_EXCHANGE] = RemoteNode(flood.address)
    elif mode in DESTINATION_TEXTS:
        destinations[NOISY_EXCHANGE] = RemoteNode(flood.address)
    bulletin = flood.address if mode.startswith("bulletin-") else ""
    versions = f'[service]\naddress = "{flood.address}"\n' if mode.startswith("control-") else ""
    async with running_router(nodes, destinations, bulletin=bulletin, versions=versions, limits=LIMITS) as router:
        sip, api = await TimedSipCaller.connect(router.sip_port), await TimedApiCaller.connect(router.api_port)
        watch = ProcessWatch(router.process.pid)
        background = [asyncio.create_task(work) for work in (sip.poll(), api.poll(), watch.run())]
        await asyncio.sleep(WARM_UP_S)
        start_mb = watch.last_mb
        *_, sent = await asyncio.gather(
            place_calls(sip, sip.invite, seconds, rng), place_calls(api, api.set_up_new, seconds, rng),
            flood.run(router))
        deadline_s = time.monotonic() + FINAL_ANSWER_WAIT_S
        while time.monotonic() < deadline_s and (
                len(sip.delays_s) < len(sip.sent_s) or len(api.delays_s) < len(api.sent_s)):
            await asyncio.sleep(0.05)
        for task in background:
            task.cancel()
        log_kb = router.log_path.stat().st_size // 1_000
        sip_answered = sum(final[0].status == 200 for final in sip.final_responses.values())
        result = {
            "mode": mode, "seconds": seconds, "sent": sent, "memory_mb": [round(start_mb), round(watch.max_mb),
                                                                       round(watch.last_mb)],
            "descriptors": watch.max_descriptors, "log_kb": log_kb,
            "sip": summarize(sip.sent_s, sip.delays_s, sip_answered),
            "api": summarize(api.sent_s, api.delays_s, sum(kind == "answer" for kind in api.kinds.values()))}
        sip.close()
        api.close()
    result["overlaps"] = (await exchanges.stop())["overlaps"]
    return result


def main() -> None:
    """Measure and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mode", choices=("none", *MODES), default="none")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(json.dumps(asyncio.run(measure(arguments.mode, arguments.seconds, arguments.seed))))


if __name__ == "__main__":
    main()
