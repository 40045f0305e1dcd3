"""Stand-in exchanges and callers in a process of their own, so that the rest of a measurement does not delay them.

The parent process starts it, reads the addresses of the exchanges from its first line of output, writes the router's
ports to its input, and reads the results from its last line of output. Calls are placed alternately by SIP and over
WebSocket, at a constant rate.
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

FAILURE_WORDS = ("full", "fault", "silent", "cut", "reset")  # called numbers for which a stand-in fails in this way
FAILURE_FRACTION = 0.08  # of the calls
CALL_TIMEOUTS_MS = (400, 1_500, 3_000)
CONNECTIONS_PER_FRONT = 4
FINAL_ANSWER_TIMEOUT_S = 8.0  # after the last call was placed


class RemoteNode(Node):
    """A node in the other process; it has only the address, which is what a router's configuration needs."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self._address = address

    @property
    def address(self) -> str:
        """The host and port that it listens on."""
        return self._address


class CallGenerator:
    """Places calls to nine random digits, which two calls rarely share, or to a word that makes a stand-in fail."""

    def __init__(self, rng: random.Random, exchanges: list[int]) -> None:
        self.rng, self.exchanges = rng, exchanges
        self.sip_callers: list[SipCaller] = []
        self.api_callers: list[ApiCaller] = []
        self.caller_by_call: dict[str, SipCaller | ApiCaller] = {}

    async def place_calls(self, sip_port: int, api_port: int, rate: float, seconds: float, max_calls: int) -> None:
        """Place calls at a rate per second, until the time or the number of calls is reached."""
        self.sip_callers = [await SipCaller.connect(sip_port) for _ in range(CONNECTIONS_PER_FRONT)]
        self.api_callers = [await ApiCaller.connect(api_port) for _ in range(CONNECTIONS_PER_FRONT)]
        index, started_s = 0, time.monotonic()
        while time.monotonic() < started_s + seconds and index < max_calls:
            call, draw = f"{index + 1:016x}", self.rng.random()
            number = (f"{self.rng.choice(FAILURE_WORDS)}-{index}" if draw < FAILURE_FRACTION else
                      f"{self.rng.randrange(10**9):09}")
            dest, wait_ms = self.rng.choice(self.exchanges), self.rng.choice(CALL_TIMEOUTS_MS)
            caller: SipCaller | ApiCaller
            if index % 2:
                caller = self.sip_callers[index // 2 % CONNECTIONS_PER_FRONT]
                caller.invite(call, number, dest, wait_ms)
            else:
                caller = self.api_callers[index // 2 % CONNECTIONS_PER_FRONT]
                caller.set_up(call, number, dest, wait_ms)
            self.caller_by_call[call] = caller
            index += 1
            await asyncio.sleep(max(0.0, started_s + index / rate - time.monotonic()))

    def count_final_answers(self) -> Counter[int]:
        """Return the number of calls by the number of their final answers: none, one, or 2 for more than one."""
        answer_counts: Counter[str] = Counter()
        for api in self.api_callers:
            answer_counts.update(message["id"] for message in api.received_messages
                                 if message["type"] in ("answer", "refused", "failed"))
        for sip in self.sip_callers:
            answer_counts.update({call: len(answers) for call, answers in sip.final_responses.items()})
        return Counter(min(2, answer_counts[call]) for call in self.caller_by_call)

    def count_closed_connections(self) -> int:
        """Return the number of connections that the router has closed."""
        return (sum(caller.task.done() for caller in self.sip_callers)
                + sum(caller.task.done() for caller in self.api_callers))


async def run_load(node_count: int, seed: int, rate: float, seconds: float, max_calls: int) -> dict[str, Any]:
    """Do the work of the process: print the addresses, read the ports, place the calls, and return the results."""
    exchanges = {number: await BinaryNode().start() for number in range(1, node_count + 1)}
    print(json.dumps({number: node.address for number, node in exchanges.items()}), flush=True)
    line = await asyncio.to_thread(sys.stdin.readline)
    ports = json.loads(line)
    generator = CallGenerator(random.Random(seed), list(exchanges))
    await generator.place_calls(ports["sip"], ports["api"], rate, seconds, max_calls)
    deadline_s = time.monotonic() + FINAL_ANSWER_TIMEOUT_S
    while generator.count_final_answers()[0] and time.monotonic() < deadline_s:
        await asyncio.sleep(0.1)
    calls_by_answer_count = generator.count_final_answers()
    await asyncio.sleep(0.5)  # a duplicate final answer would arrive within this time
    calls_by_answer_count, closed_connections = (
        generator.count_final_answers(), generator.count_closed_connections())
    for caller in generator.sip_callers:
        caller.close()
    for client in generator.api_callers:
        client.close()
    for node in exchanges.values():
        node.stop()
    await asyncio.sleep(0.1)
    return {"calls": len(generator.caller_by_call), "final_missing": calls_by_answer_count[0],
            "final_double": calls_by_answer_count[2],
            "overlaps": sum(node.overlaps for node in exchanges.values()), "closed": closed_connections}


class LoadProcess:
    """The load process as its parent sees it."""

    def __init__(self, process: asyncio.subprocess.Process, nodes: dict[int, Node]) -> None:
        self.process, self.nodes = process, nodes

    @classmethod
    async def start(cls, node_count: int, seed: int, rate: float, seconds: float, max_calls: int = 10**9) -> Self:
        """Start the process and read the addresses of its nodes; rate is in calls per second."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "laboratory.load", "--nodes", str(node_count), "--seed", str(seed), "--rate",
            str(rate), "--seconds", str(seconds), "--most", str(max_calls), cwd=ROOT, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE)
        assert process.stdout is not None
        addresses = json.loads(await process.stdout.readline())
        return cls(process, {int(number): RemoteNode(address) for number, address in addresses.items()})

    async def run(self, sip_port: int, api_port: int) -> dict[str, Any]:
        """Let it place its calls through a router, and return its results."""
        output, _ = await self.process.communicate(json.dumps({"sip": sip_port, "api": api_port}).encode() + b"\n")
        results: dict[str, Any] = json.loads(output.splitlines()[-1])
        return results


@click.command()
@click.option("--nodes", "node_count", type=int, default=4, help="Stand-in exchanges, numbered from 1.")
@click.option("--seed", type=int, default=1)
@click.option("--rate", type=float, default=200.0, help="Calls per second, over both fronts together.")
@click.option("--seconds", type=float, default=10.0)
@click.option("--most", "max_calls", type=int, default=10**9, help="Maximum number of calls.")
def main(node_count: int, seed: int, rate: float, seconds: float, max_calls: int) -> None:
    """Run stand-in exchanges and callers for a router that the parent process runs."""
    print(json.dumps(asyncio.run(run_load(node_count, seed, rate, seconds, max_calls))), flush=True)


if __name__ == "__main__":
    main()
