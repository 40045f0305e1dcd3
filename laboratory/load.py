"""Nodes and callers in a process of their own, so that nothing else of a measurement holds them up.

The parent starts it, reads the nodes' addresses from its first line, writes the router's ports to it, and reads the
figures from its last line. Calls come through SIP and WebSocket in turn, at an even rate.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import Counter
from typing import Any, Self

import click

from laboratory.stand_ins import ROOT, ApiCaller, BinaryNode, Node, SipCaller

WORDS = ("full", "fault", "silent", "cut", "reset")  # what the nodes do with numbers of these words
WORD_SHARE = 0.08  # of the calls
WAITS_MS = (400, 1_500, 3_000)
CONNECTIONS = 4  # of each front
ANSWERS_S = 8.0  # that the last calls are waited for


class RemoteNode(Node):
    """A node of the other process, as far as a router's configuration needs it."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self._address = address

    @property
    def address(self) -> str:
        """Where it listens."""
        return self._address


class Offering:
    """Calls to numbers of digits, each to a number of its own, and some to words."""

    def __init__(self, source: random.Random, exchanges: list[int]) -> None:
        self.source, self.exchanges = source, exchanges
        self.sips: list[SipCaller] = []
        self.apis: list[ApiCaller] = []
        self.by: dict[str, SipCaller | ApiCaller] = {}

    async def play(self, sip_port: int, api_port: int, rate: float, seconds: float, most: int) -> None:
        """Offer calls for so long, or so many."""
        self.sips = [await SipCaller.connect(sip_port) for _ in range(CONNECTIONS)]
        self.apis = [await ApiCaller.connect(api_port) for _ in range(CONNECTIONS)]
        at, began = 0, time.monotonic()
        while time.monotonic() < began + seconds and at < most:
            call, word = f"{at + 1:016x}", self.source.random()
            number = (f"{self.source.choice(WORDS)}-{at}" if word < WORD_SHARE else
                      f"{self.source.randrange(10**9):09}")
            dest, wait_ms = self.source.choice(self.exchanges), self.source.choice(WAITS_MS)
            caller: SipCaller | ApiCaller
            if at % 2:
                caller = self.sips[at // 2 % CONNECTIONS]
                caller.invite(call, number, dest, wait_ms)
            else:
                caller = self.apis[at // 2 % CONNECTIONS]
                caller.set_up(call, number, dest, wait_ms)
            self.by[call] = caller
            at += 1
            await asyncio.sleep(max(0.0, began + at / rate - time.monotonic()))

    def finals(self) -> Counter[int]:
        """Return how many calls got no final answer, one, and several."""
        told: Counter[str] = Counter()
        for api in self.apis:
            told.update(m["id"] for m in api.received_messages if m["type"] in ("answer", "refused", "failed"))
        for sip in self.sips:
            told.update({call: len(answers) for call, answers in sip.final_responses.items()})
        return Counter(min(2, told[call]) for call in self.by)

    def closed(self) -> int:
        """Return how many connections the router has closed on us."""
        return sum(caller.task.done() for caller in self.sips) + sum(caller.task.done() for caller in self.apis)


async def play(nodes: int, seed: int, rate: float, seconds: float, most: int) -> dict[str, Any]:
    """Be the process: addresses out, ports in, figures back."""
    exchanges = {n: await BinaryNode().start() for n in range(1, nodes + 1)}
    print(json.dumps({n: node.address for n, node in exchanges.items()}), flush=True)
    line = await asyncio.to_thread(sys.stdin.readline)
    ports = json.loads(line)
    offering = Offering(random.Random(seed), list(exchanges))
    await offering.play(ports["sip"], ports["api"], rate, seconds, most)
    end = time.monotonic() + ANSWERS_S
    while offering.finals()[0] and time.monotonic() < end:
        await asyncio.sleep(0.1)
    finals = offering.finals()
    await asyncio.sleep(0.5)  # a second answer would come about now
    finals, closed = offering.finals(), offering.closed()
    for caller in offering.sips:
        caller.close()
    for client in offering.apis:
        client.close()
    for node in exchanges.values():
        node.stop()
    await asyncio.sleep(0.1)
    return {"calls": len(offering.by), "final_missing": finals[0], "final_double": finals[2],
            "overlaps": sum(node.overlaps for node in exchanges.values()), "closed": closed}


class Load:
    """The parent's end."""

    def __init__(self, process: asyncio.subprocess.Process, nodes: dict[int, Node]) -> None:
        self.process, self.nodes = process, nodes

    @classmethod
    async def start(cls, nodes: int, seed: int, rate: float, seconds: float, most: int = 10**9) -> Self:
        """Start the process, and learn where its nodes listen."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "laboratory.load", "--nodes", str(nodes), "--seed", str(seed), "--rate", str(rate),
            "--seconds", str(seconds), "--most", str(most), cwd=ROOT, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE)
        assert process.stdout is not None
        addresses = json.loads(await process.stdout.readline())
        return cls(process, {int(n): RemoteNode(address) for n, address in addresses.items()})

    async def play(self, sip_port: int, api_port: int) -> dict[str, Any]:
        """Let it offer its calls, and return its figures."""
        output, _ = await self.process.communicate(json.dumps({"sip": sip_port, "api": api_port}).encode() + b"\n")
        figures: dict[str, Any] = json.loads(output.splitlines()[-1])
        return figures


@click.command()
@click.option("--nodes", type=int, default=4, help="Stand-in exchanges, numbered from 1.")
@click.option("--seed", type=int, default=1)
@click.option("--rate", type=float, default=200.0, help="Calls a second, both fronts together.")
@click.option("--seconds", type=float, default=10.0)
@click.option("--most", type=int, default=10**9, help="Calls at most.")
def main(nodes: int, seed: int, rate: float, seconds: float, most: int) -> None:
    """Nodes and callers for a router that the parent process has."""
    print(json.dumps(asyncio.run(play(nodes, seed, rate, seconds, most))), flush=True)


if __name__ == "__main__":
    main()
