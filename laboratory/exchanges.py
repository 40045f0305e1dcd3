"""Stand-in exchanges in a process of their own, so that neither they nor the rest of a measurement delay each other."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from typing import Any, Self

import click

from astertrack.wire import peer
from laboratory.load import RemoteNode
from laboratory.stand_ins import ROOT, BinaryNode, Node

ANSWER_S = (0.01, 0.03)  # time until an answer: the minimum and the maximum
CIRCUITS = 1_000  # of each group: more than any caller of the measurements uses


class RecordingNode(BinaryNode):
    """An exchange that records when each set-up arrived, in seconds of the Unix clock."""

    circuits = CIRCUITS

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.arrivals: dict[str, list[float]] = {}  # by call id

    def handle_message(self, message: peer.Message, writer: asyncio.StreamWriter) -> None:
        """Record a set-up, and handle the message."""
        if message.type == peer.MessageType.SET_UP:
            self.arrivals.setdefault(message.call, []).append(time.time())
        super().handle_message(message, writer)

    async def respond(self, call: str, number: str, description: bytes, writer: asyncio.StreamWriter) -> None:
        """Respond after a random time."""
        await asyncio.sleep(self.rng.uniform(*ANSWER_S) - 0.01)  # the base class waits for 10 ms
        await super().respond(call, number, description, writer)


async def run_exchanges(node_count: int, seed: int) -> None:
    """Print the addresses, serve until the input ends, and print the arrivals of all set-ups."""
    rng = random.Random(seed)
    nodes = [await RecordingNode(rng).start() for _ in range(node_count)]
    print(json.dumps([node.address for node in nodes]), flush=True)
    await asyncio.to_thread(sys.stdin.read)
    arrivals: dict[str, list[float]] = {}
    for node in nodes:
        for call, times in node.arrivals.items():
            arrivals[call] = sorted(arrivals.get(call, []) + times)
        node.stop()
    print(json.dumps({"arrivals": arrivals, "overlaps": sum(node.overlaps for node in nodes)}), flush=True)


class ExchangesProcess:
    """The process as its parent sees it."""

    def __init__(self, process: asyncio.subprocess.Process, nodes: dict[int, Node]) -> None:
        self.process, self.nodes = process, nodes

    @classmethod
    async def start(cls, node_count: int, seed: int) -> Self:
        """Start the process; its exchanges are numbered from 1."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "laboratory.exchanges", "--nodes", str(node_count), "--seed", str(seed), cwd=ROOT,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=2**26)
        assert process.stdout is not None
        addresses = json.loads(await process.stdout.readline())
        return cls(process, {number: RemoteNode(address) for number, address in enumerate(addresses, 1)})

    async def stop(self) -> dict[str, Any]:
        """End the process; return the arrivals of set-ups by call id, and the number of overlapping attempts."""
        output, _ = await self.process.communicate(b"")
        results: dict[str, Any] = json.loads(output)
        return results


@click.command()
@click.option("--nodes", "node_count", type=int, default=4)
@click.option("--seed", type=int, default=1)
def main(node_count: int, seed: int) -> None:
    """Run stand-in exchanges until the input ends."""
    asyncio.run(run_exchanges(node_count, seed))


if __name__ == "__main__":
    main()
