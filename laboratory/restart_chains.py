"""Routers in a row that are restarted while calls stand through them: who is told when the calls have ended?

A caller, by SIP or over the API, reaches an exchange through routers of which each is a destination of the one before.
The router next to the caller is near, the one next to the exchange is far.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass
from pathlib import Path

from astertrack.core import NORMAL_CLEARING
from astertrack.wire import sip
from laboratory.load import RemoteNode
from laboratory.stand_ins import (
    ROOT,
    ApiCaller,
    BinaryNode,
    Node,
    RouterInstallation,
    RouterProcess,
    SipCaller,
    wait_until,
)

RESTART_S = 1.0  # until a router that has ended is started again
LOST_RELEASE_S = 8.05  # the platform's limit for the release of a call, with its slack
CALL_SPACING_S = 0.01
FURTHER_CALL_INTERVAL_S = 0.5  # the callers go on calling, which shows where they are
ANSWER_TIMEOUT_S = 10.0
EXCHANGE_NUMBER = 1


@dataclass(frozen=True)
class Scenario:
    """What happens to the routers of one chain."""

    name: str
    calls: int = 10
    restarted: tuple[str, ...] = ("near",)
    stop_signal: signal.Signals = signal.SIGKILL
    restarts: int = 1
    has_middle: bool = False
    caller_is_api_client: bool = False
    caller_hangs_up: bool = False  # otherwise the exchange ends the calls
    exchange_dies: bool = False  # in place of releasing the calls
    calls_end_while_down: bool = False  # otherwise hold_s after the restart
    hold_s: float = 3.0
    crowd_per_s: int = 0  # SIP connections to near, and API connections to far, that never finish a request
    other_nears: int = 0  # further routers before far, with calls of their own that stand on
    routers_of_version_before: tuple[str, ...] = ()


@dataclass
class Result:
    """Counts of calls, and of what others were told."""

    stood: int = 0
    released_in_time: int = 0
    released_early: int = 0  # before they had ended: cut
    released_twice: int = 0
    slowest_release_s: float = 0.0
    reached_the_exchange: int = 0  # releases by the caller
    strangers_told: int = 0  # releases to clients and callers that have nothing to do with the call
    slowest_answer_s: float = 0.0  # of calls that were placed meanwhile
    unanswered: int = 0  # of these

    def as_dict(self) -> dict[str, object]:
        """Return all values by name."""
        return asdict(self)


class ReleasingNode(BinaryNode):
    """An exchange that sends a release as the platform's do: on an open connection, and on the next one again."""

    circuits = 5_000

    def __init__(self) -> None:
        super().__init__()
        self.ended_at: dict[str, float] = {}  # by call id: Unix time of its release by the exchange
        self.to_repeat: list[str] = []  # on the next connection

    async def serve_messages(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Repeat releases, and serve the connection."""
        repeated, self.to_repeat = self.to_repeat, []
        for call in repeated:
            self.send_release(writer, call, NORMAL_CLEARING)
        await super().serve_messages(reader, writer)

    def die(self) -> None:
        """End all calls without a word: stop listening, and reset all connections."""
        self.ended_at |= dict.fromkeys(self.established_calls, time.time())
        self.stop()
        for writer in self.writers:
            writer.transport.abort()

    def end_call(self, call: str) -> None:
        """Release a call that stands."""
        self.ended_at[call] = time.time()
        self.to_repeat.append(call)
        open_writers = [writer for writer in self.writers if not writer.is_closing()]
        if open_writers:
            self.send_release(open_writers[-1], call, NORMAL_CLEARING)
        else:
            self.established_calls.discard(call)


class ConfirmingSipCaller(SipCaller):
    """A connection of SIP callers that confirm releases."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(reader, writer)
        self.released_at: list[tuple[str, float]] = []  # call id and Unix time
        self.answered_at: dict[str, float] = {}  # by call id: Unix time of the final response

    async def read(self) -> None:
        """Read until the connection ends; confirm releases and acknowledge final responses."""
        with contextlib.suppress(ConnectionError):
            while data := await self.reader.read(4096):
                for message in self.decoder.receive(data):
                    assert isinstance(message, sip.Message)
                    self.on_message(message)

    def on_message(self, message: sip.Message) -> None:
        """Handle one message."""
        call, method = message.headers.get("call-id", ""), message.headers.get("cseq", "").partition(" ")[2]
        if message.method == "BYE":
            self.received_byes.append(call)
            self.released_at.append((call, time.time()))
            self.writer.write(sip.encode_message("SIP/2.0 200 OK", [
                ("Call-ID", call), ("CSeq", message.headers.get("cseq", ""))]))
        elif method == "INVITE" and message.status >= 200:
            self.final_responses.setdefault(call, []).append(message)
            self.answered_at[call] = time.time()
            self.send_request("ACK", call)


class RecordingApiCaller(ApiCaller):
    """A client of the API that records when its calls were released and answered."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        super().__init__(reader, writer)
        self.received_messages = _TimedList()


class _TimedList(list[dict[str, object]]):
    """A list of messages that notes when each one came."""

    def append(self, message: dict[str, object]) -> None:
        super().append({**message, "received_at": time.time()})


class Chain:
    """The routers of one scenario, the exchange behind them, the callers before them, and strangers."""

    def __init__(self, scenario: Scenario, folder: Path, source_before: Path) -> None:
        self.scenario, self.folder, self.source_before = scenario, folder, source_before
        self.exchange = ReleasingNode()
        self.installations: dict[str, RouterInstallation] = {}
        self.processes: dict[str, RouterProcess] = {}
        self.call_count = 0
        self.sip_callers: list[ConfirmingSipCaller] = []  # of near, the present connection last
        self.api_callers: list[RecordingApiCaller] = []
        self.other_callers: list[ConfirmingSipCaller] = []  # of the other nears
        self.strangers: list[ApiCaller] = []  # clients of far
        self.crowd_releases = 0
        self.placed_at: dict[str, float] = {}  # by call id, of the calls that were placed meanwhile
        self.tasks: list[asyncio.Task[None]] = []

    def new_call_id(self) -> str:
        """Return an id that was not used before."""
        self.call_count += 1
        return f"{self.call_count:016x}"

    async def start(self) -> None:
        """Start the exchange and the routers, and connect the callers and a stranger."""
        await self.exchange.start()
        names = ["far", *(["middle"] if self.scenario.has_middle else []), "near"]
        nodes: dict[int, Node] = {EXCHANGE_NUMBER: self.exchange}
        destinations: dict[int, Node] = {}
        for name in names:
            installation = self.install(name, nodes, destinations)
            nodes, destinations = {}, {EXCHANGE_NUMBER: RemoteNode(f"127.0.0.1:{installation.api_port}")}
        far_address = f"127.0.0.1:{self.installations['far'].api_port}"
        for index in range(self.scenario.other_nears):
            self.install(f"near-{index + 2}", {}, {EXCHANGE_NUMBER: RemoteNode(far_address)})
        for name in self.installations:
            await self.start_router(name)
        await asyncio.sleep(0.5)  # until the routers are connected
        self.strangers.append(await ApiCaller.connect(self.installations["far"].api_port))
        for index in range(self.scenario.other_nears):
            caller = await ConfirmingSipCaller.connect(self.installations[f"near-{index + 2}"].sip_port)
            self.other_callers.append(caller)

    def install(self, name: str, nodes: dict[int, Node], destinations: dict[int, Node]) -> RouterInstallation:
        """Configure a router."""
        folder = self.folder / name
        folder.mkdir()
        source = self.source_before if name in self.scenario.routers_of_version_before else ROOT
        self.installations[name] = RouterInstallation(folder, nodes, destinations, name=name, source=source)
        return self.installations[name]

    async def start_router(self, name: str) -> None:
        """Start a router, and wait until it serves."""
        self.processes[name] = await self.installations[name].start()
        await self.installations[name].wait_until_serving(self.processes[name])

    async def connect_caller(self) -> None:
        """Connect the caller to near."""
        near = self.installations["near"]
        if self.scenario.caller_is_api_client:
            self.api_callers.append(await RecordingApiCaller.connect(near.api_port))
        else:
            self.sip_callers.append(await ConfirmingSipCaller.connect(near.sip_port))

    def place_call(self) -> str:
        """Place a call that stands until it is released."""
        call = self.new_call_id()
        if self.scenario.caller_is_api_client:
            self.api_callers[-1].set_up(call, "long-1", EXCHANGE_NUMBER)
        else:
            self.sip_callers[-1].invite(call, "long-1", EXCHANGE_NUMBER)
        return call

    async def place_standing_calls(self) -> list[str]:
        """Place the calls of the scenario, and those of the other nears; return the ids of the first that stand."""
        calls = []
        for _ in range(self.scenario.calls):
            calls.append(self.place_call())
            await asyncio.sleep(CALL_SPACING_S)
        for caller in self.other_callers:
            caller.invite(self.new_call_id(), "long-1", EXCHANGE_NUMBER)
        expected = self.call_count
        with contextlib.suppress(TimeoutError):
            await wait_until(lambda: len(self.exchange.established_calls) >= expected)
        await asyncio.sleep(0.2)  # until the last answers have reached the callers
        return [call for call in calls if call in self.exchange.established_calls]

    async def stop_routers(self) -> None:
        """End the routers of the scenario at the same time, as it says."""
        processes = [self.processes[name].process for name in self.scenario.restarted]
        for process in processes:
            process.send_signal(self.scenario.stop_signal)
        for process in processes:
            await process.wait()

    async def restart(self, calls: list[str]) -> None:
        """Restart the routers of the scenario, as often as it says."""
        for index in range(self.scenario.restarts):
            await self.stop_routers()
            if self.scenario.calls_end_while_down and index == 0:
                self.end_calls(calls)
            await asyncio.sleep(RESTART_S)
            await asyncio.gather(*(self.start_router(name) for name in self.scenario.restarted))
            if "far" in self.scenario.restarted:
                self.strangers.append(await ApiCaller.connect(self.installations["far"].api_port))
            if index + 1 < self.scenario.restarts:
                await asyncio.sleep(RESTART_S)

    def end_calls(self, calls: list[str]) -> None:
        """Let the exchange or the caller release the calls, or the exchange die."""
        if self.scenario.exchange_dies:
            self.exchange.die()
            return
        for call in calls:
            if not self.scenario.caller_hangs_up:
                if call in self.exchange.established_calls:
                    self.exchange.end_call(call)
            elif self.scenario.caller_is_api_client:
                self.api_callers[-1].send(type="release", id=call)
            else:
                self.sip_callers[-1].send_request("BYE", call)

    async def crowd(self) -> None:
        """Open connections that never finish a request, until cancelled."""
        begun_invite = b"INVITE sip:1@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n"
        while True:
            near, far = self.installations["near"].sip_port, self.installations["far"].api_port
            for port, begun in ((near, begun_invite), (far, b"GET /calls HTTP/1.1\r\n")):
                self.tasks.append(asyncio.get_running_loop().create_task(self.join_crowd(port, begun)))
            await asyncio.sleep(1 / self.scenario.crowd_per_s)

    async def join_crowd(self, port: int, begun: bytes) -> None:
        """Connect, begin a request, and count the releases that come."""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            with contextlib.closing(writer):
                writer.write(begun)
                while data := await reader.read(4096):
                    self.crowd_releases += data.count(b"BYE ") + data.count(b"released")

    async def call_on(self) -> None:
        """Place further calls until cancelled."""
        while True:
            self.placed_at[self.place_call()] = time.time()
            await asyncio.sleep(FURTHER_CALL_INTERVAL_S)

    async def run(self) -> Result:
        """Run the scenario."""
        await self.start()
        await self.connect_caller()
        calls = await self.place_standing_calls()
        if self.scenario.restarted:
            if self.scenario.crowd_per_s:
                self.tasks.append(asyncio.get_running_loop().create_task(self.crowd()))
            await self.restart(calls)
        if self.scenario.restarted and "near" in self.scenario.restarted:
            await self.connect_caller()
        if self.scenario.caller_is_api_client:
            for call in calls:
                self.api_callers[-1].send(type="resume", id=call)
        self.tasks.append(asyncio.get_running_loop().create_task(self.call_on()))
        await asyncio.sleep(self.scenario.hold_s)
        if not self.scenario.calls_end_while_down:
            self.end_calls(calls)
        await self.wait_for_releases(calls)
        return self.result(calls)

    async def wait_for_releases(self, calls: list[str]) -> None:
        """Wait until all calls are over for everybody, or the platform's limit has passed; then a little longer."""
        until = time.time() + LOST_RELEASE_S
        while time.time() < until and not self.is_over(calls):
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)  # for releases that are told twice, or to strangers

    def is_over(self, calls: list[str]) -> bool:
        """Return whether all calls are over for everybody."""
        if self.scenario.caller_hangs_up:
            return not self.exchange.established_calls & set(calls)
        return set(calls) <= {call for call, _ in self.releases()}

    def releases(self) -> list[tuple[str, float]]:
        """Return the releases that the caller got: call id and Unix time."""
        by_api = [(str(m["id"]), float(m["received_at"])) for client in self.api_callers
                  for m in client.received_messages if m["type"] == "released"]
        return by_api + [release for caller in self.sip_callers for release in caller.released_at]

    def result(self, calls: list[str]) -> Result:
        """Return the counts."""
        result, own = Result(stood=len(calls)), set(calls)
        releases = [(call, at) for call, at in self.releases() if call in own]
        first: dict[str, float] = {}
        for call, at in releases:
            first[call] = min(at, first.get(call, at))
        ended = self.exchange.ended_at
        delays = [at - ended[call] for call, at in first.items() if call in ended]
        result.released_in_time = sum(0 <= delay <= LOST_RELEASE_S for delay in delays)
        result.slowest_release_s = round(max(delays, default=0.0), 3)
        result.released_early = sum(call not in ended or at < ended[call] for call, at in first.items())
        result.released_twice = sum(count > 1 for count in Counter(call for call, _ in releases).values())
        result.reached_the_exchange = len(own & {call for call, _ in self.exchange.received_releases})
        result.strangers_told = self.crowd_releases + sum(
            m["type"] == "released" for s in self.strangers for m in s.received_messages) + sum(
                len(caller.received_byes) for caller in self.other_callers)
        self.add_answers(result)
        return result

    def add_answers(self, result: Result) -> None:
        """Add the answers to the calls that were placed meanwhile."""
        answered_at = {call: at for caller in self.sip_callers for call, at in caller.answered_at.items()}
        answered_at |= {str(m["id"]): float(m["received_at"]) for client in self.api_callers
                        for m in client.received_messages if m["type"] in ("answer", "refused", "failed")}
        settled = [call for call, at in self.placed_at.items() if at < time.time() - 1.0]
        result.unanswered = sum(call not in answered_at for call in settled)
        result.slowest_answer_s = round(max((answered_at[call] - self.placed_at[call] for call in settled
                                             if call in answered_at), default=0.0), 3)

    async def stop(self) -> None:
        """End everything that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for sip_caller in (*self.sip_callers, *self.other_callers):
            sip_caller.close()
        for client in (*self.api_callers, *self.strangers):
            client.close()
        for process in self.processes.values():
            await process.kill()
        self.exchange.stop()


@contextlib.asynccontextmanager
async def running_chain(scenario: Scenario, source_before: Path = ROOT) -> AsyncIterator[Chain]:
    """Make the chain of a scenario, and end it at the end."""
    with tempfile.TemporaryDirectory() as folder:
        chain = Chain(scenario, Path(folder), source_before)
        try:
            yield chain
        finally:
            await chain.stop()


async def run_scenario(scenario: Scenario, source_before: Path = ROOT) -> Result:
    """Run one scenario. source_before: the folder of the program of the version before."""
    async with running_chain(scenario, source_before) as chain:
        return await chain.run()
