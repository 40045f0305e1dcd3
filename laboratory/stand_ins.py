"""Stand-ins for what the program speaks to, and a way to start it. All on loopback, on free ports."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, Self

from wsproto import ConnectionType, WSConnection
from wsproto.events import AcceptConnection, CloseConnection, Message, Ping, Request, TextMessage

from astertrack.wire import peer, sip

ROOT = Path(__file__).resolve().parent.parent
CIRCUITS = 100  # of a stand-in exchange's group
BOUND_S = 20.0  # no wait is longer

SETTINGS = {
    "areas": ["casablanca", "fes"], "kinds": ["small-node"], "fleetSize": 4, "myNumber": 0, "zone": 0,
    "extra": {"topology": "mesh", "homeOffice": 0, "releaseUs": 300000, "classHoldUs": [10000000, 8000000]},
    "limits": {"maxAttempts": 6, "cancel": True, "retryAfter": True, "maxRetryAfterUs": 2000000,
               "dialTimeoutUs": 500000},
    "rules": {"drainGraceUs": 2000000},
    "services": [
        {"name": "ledger-read", "onTimeUs": 1500000, "deadlineUs": 9000000, "gain": 1.0, "lateWorth": 0.1},
        {"name": "declaration-save", "onTimeUs": 1000000, "deadlineUs": 6000000, "gain": 8.0}]}


async def with_timeout(wait: Any) -> Any:
    """Wait for something, but not for ever."""
    return await asyncio.wait_for(wait, BOUND_S)


async def wait_until(holds: Any) -> None:
    """Wait until a condition holds, but not for ever."""
    async def look() -> None:
        while not holds():
            await asyncio.sleep(0.005)
    await with_timeout(look())


class Node:
    """A stand-in exchange: it answers by the number called, and counts what it is sent."""

    def __init__(self) -> None:
        self.active_set_ups: Counter[str] = Counter()  # set-ups of a call that are out here
        self.request_counts: Counter[str] = Counter()
        self.overlaps = 0
        self.received_releases: list[tuple[str, int]] = []
        self.established_calls: set[str] = set()
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Self:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self

    @property
    def address(self) -> str:
        """Where it listens."""
        assert self.server is not None
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def count_set_up(self, call: str) -> None:
        """A set-up has arrived."""
        self.request_counts[call] += 1
        self.active_set_ups[call] += 1
        self.overlaps += self.active_set_ups[call] > 1

    def start_task(self, work: Any) -> None:
        """Do something beside reading on."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """Close everything."""
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()


class BinaryNode(Node):
    """It speaks the platform's binary messages."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Tell the group's state, then answer set-ups."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):  # cancelled: the loop ends
            await self.serve_messages(reader, writer)

    async def serve_messages(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Speak on one connection until it ends."""
        self.writers.append(writer)
        stream = peer.MessageDecoder()
        self.send_group_state(writer)
        while data := await reader.read(4096):
            for message in stream.receive(data):
                assert isinstance(message, peer.Message)
                self.handle_message(message, writer)

    def send_group_state(self, writer: asyncio.StreamWriter) -> None:
        """Tell how many circuits of the group are free: at the start, and whenever one has become so."""
        taken = sum(count > 0 for count in self.active_set_ups.values())
        self.send_message(writer, peer.MessageType.GROUP_STATE, "0" * 16, {
            peer.Parameter.REPORT: f"x0:{max(0, CIRCUITS - taken)};x1:{CIRCUITS};eps:0".encode()})

    def free_circuit(self, call: str, writer: asyncio.StreamWriter) -> None:
        """A call holds its circuit no longer."""
        if self.active_set_ups.pop(call, 0):
            self.send_group_state(writer)

    def handle_message(self, message: peer.Message, writer: asyncio.StreamWriter) -> None:
        """Act on one message."""
        call = message.call
        if message.type == peer.MessageType.TEST:
            self.send_message(writer, peer.MessageType.TEST_RESULT, call, {peer.Parameter.CAUSE: b"\1"})
        elif message.type == peer.MessageType.SET_UP:
            self.count_set_up(call)
            self.start_task(self.respond(call, message.parameters[peer.Parameter.NUMBER].decode(),
                                   message.parameters[peer.Parameter.DESCRIPTION], writer))
        elif message.type == peer.MessageType.RELEASE:
            self.received_releases.append((call, message.parameters[peer.Parameter.CAUSE][0]))
            self.free_circuit(call, writer)
            self.established_calls.discard(call)

    def send_message(self, writer: asyncio.StreamWriter, kind: peer.MessageType, call: str,
            parameters: dict[int, bytes]) -> None:
        """Write one message."""
        writer.write(peer.encode_message(peer.Message(kind, call, parameters)))

    def send_release(self, writer: asyncio.StreamWriter, call: str, cause: int, note: bytes = b"") -> None:
        """Release a call or a set-up."""
        self.free_circuit(call, writer)
        self.established_calls.discard(call)
        self.send_message(writer, peer.MessageType.RELEASE, call,
                 {peer.Parameter.CAUSE: bytes((cause,)), **({peer.Parameter.NOTE: note} if note else {})})

    async def respond(self, call: str, number: str, description: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer as the number's first word says."""
        await asyncio.sleep(0.01)
        what = number.partition("-")[0]
        if what == "full":
            self.send_release(writer, call, 34, b"throttled")
        elif what == "fault":
            self.send_release(writer, call, 47)
        elif what == "busy":
            self.send_release(writer, call, 17, b"engaged")
        elif what == "reset":
            self.send_release(writer, call, 41)
        elif what != "silent" and self.active_set_ups[call]:
            self.established_calls.add(call)
            self.send_message(writer, peer.MessageType.ANSWER, call,
                              {peer.Parameter.DESCRIPTION: b"answer to " + description})
            if what != "long":
                await asyncio.sleep(0.1)
                if call in self.established_calls:
                    self.send_release(writer, call, 41 if what == "cut" else 16)


class PartitionableNode(BinaryNode):
    """A node that can be cut off: what comes is lost, nothing is said, and connections stay open."""

    def __init__(self) -> None:
        super().__init__()
        self.is_partitioned = False

    def handle_message(self, message: peer.Message, writer: asyncio.StreamWriter) -> None:
        """Hear nothing while cut off."""
        if not self.is_partitioned:
            super().handle_message(message, writer)

    def send_message(self, writer: asyncio.StreamWriter, kind: peer.MessageType, call: str,
            parameters: dict[int, bytes]) -> None:
        """Say nothing while cut off."""
        if not self.is_partitioned:
            super().send_message(writer, kind, call, parameters)


class ApiNode(Node):
    """It speaks the call-control API; its WebSocket is an independent library's."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Shake hands, tell the state, answer set-ups."""
        self.writers.append(writer)
        machine, parts = WSConnection(ConnectionType.SERVER), ""
        while data := await reader.read(4096):
            machine.receive_data(data)
            for event in machine.events():
                if isinstance(event, Request):
                    writer.write(machine.send(AcceptConnection()))
                    self.send_message(machine, writer, type="state", free=50, size=50, hold_back=0)
                elif isinstance(event, TextMessage):
                    parts += event.data
                    if event.message_finished:
                        self.start_task(self.handle_message(json.loads(parts), machine, writer))
                        parts = ""

    def send_message(self, machine: WSConnection, writer: asyncio.StreamWriter, **message: Any) -> None:
        """Send one message."""
        writer.write(machine.send(Message(json.dumps(message))))

    async def handle_message(self, asked: dict[str, Any], machine: WSConnection, writer: asyncio.StreamWriter) -> None:
        """Act on one message."""
        call = asked["id"]
        if asked["type"] == "setup":
            self.count_set_up(call)
            assert asked["deadline"] > time.time() * 1000
            await asyncio.sleep(0.01)
            what = asked["number"].split("-")[0]
            if what in ("full", "fault"):
                self.active_set_ups[call] = 0
                kind = "refused" if what == "full" else "failed"
                self.send_message(machine, writer, type=kind, id=call, reason="processor-full")
            elif what != "silent":
                self.established_calls.add(call)
                self.send_message(machine, writer, type="answer", id=call, description="answer to "
                          + asked["description"])
                if what != "long":
                    await asyncio.sleep(0.1)
                    self.active_set_ups[call] = 0
                    self.established_calls.discard(call)
                    self.send_message(machine, writer, type="released", id=call, cause=16)
        elif asked["type"] == "resume":
            self.request_counts["resume"] += 1
            if call in self.established_calls:
                self.send_message(machine, writer, type="answer", id=call, description="still")
            else:
                self.send_message(machine, writer, type="error", id=call, code="unknown-call", reason="no such call")
        elif asked["type"] in ("cancel", "release"):
            self.received_releases.append((call, asked.get("cause", 0)))
            self.active_set_ups[call] = 0
            self.established_calls.discard(call)


class SipCaller:
    """One connection of SIP callers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.stream = reader, writer, sip.MessageDecoder()
        self.final_responses: dict[str, list[sip.Message]] = {}
        self.received_byes: list[str] = []
        self.options_response_count = 0
        self.task = asyncio.get_running_loop().create_task(self.read())

    @classmethod
    async def connect(cls, port: int) -> SipCaller:
        """Connect."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def invite(self, call: str, number: str, dest: int, wait_ms: int = 3000,
               tier: str = "ledger-read") -> None:
        """Place a call."""
        self.writer.write(sip.encode_message(f"INVITE sip:{number}@net SIP/2.0", [
            ("Via", "SIP/2.0/TCP peer"), ("Call-ID", call), ("CSeq", "1 INVITE"), ("X-Tier", tier),
            ("X-Deadline", str(wait_ms)), ("X-Attrs", f"dest:{dest};width:1;via:-1")],
            b"offer " + call.encode()))

    def send_request(self, method: str, call: str) -> None:
        """Send CANCEL, BYE, ACK or OPTIONS."""
        self.writer.write(sip.encode_message(f"{method} sip:{call}@net SIP/2.0", [
            ("Call-ID", call), ("CSeq", f"1 {method}")]))

    async def read(self) -> None:
        """Read until the end."""
        while data := await self.reader.read(4096):
            for message in self.stream.receive(data):
                assert isinstance(message, sip.Message)
                call = message.headers.get("call-id", "")
                if message.method == "BYE":
                    self.received_byes.append(call)
                elif message.headers.get("cseq", "").endswith("OPTIONS"):
                    self.options_response_count += 1
                elif message.headers.get("cseq", "").endswith("INVITE") and message.status >= 200:
                    self.final_responses.setdefault(call, []).append(message)
                    self.send_request("ACK", call)

    def close(self) -> None:
        """Close."""
        self.writer.close()
        self.task.cancel()


class ApiCaller:
    """One socket of a client of the call-control API, on an independent library."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.machine = reader, writer, WSConnection(ConnectionType.CLIENT)
        self.received_messages: list[dict[str, Any]] = []
        self.opened = asyncio.Event()
        self.close_code: int | None = None
        writer.write(self.machine.send(Request(host="127.0.0.1", target="/calls")))
        self.task = asyncio.get_running_loop().create_task(self.read())

    @classmethod
    async def connect(cls, port: int) -> ApiCaller:
        """Connect and shake hands."""
        caller = cls(*await asyncio.open_connection("127.0.0.1", port))
        await with_timeout(caller.opened.wait())
        return caller

    def send(self, **message: Any) -> None:
        """Send a message."""
        self.writer.write(self.machine.send(Message(json.dumps(message))))

    def set_up(self, call: str, number: str, dest: int, wait_ms: int = 3000,
               tier: str = "ledger-read") -> None:
        """Place a call."""
        self.send(type="setup", id=call, number=number, dest=dest, description=f"offer {call}",
                  deadline=int(time.time() * 1000) + wait_ms, **{"class": tier})

    async def read(self) -> None:
        """Read until the end."""
        parts = ""
        while data := await self.reader.read(4096):
            self.machine.receive_data(data)
            for event in self.machine.events():
                if isinstance(event, AcceptConnection):
                    self.opened.set()
                elif isinstance(event, TextMessage):
                    parts += event.data
                    if event.message_finished:
                        self.received_messages.append(json.loads(parts))
                        parts = ""
                elif isinstance(event, Ping):
                    self.writer.write(self.machine.send(event.response()))
                elif isinstance(event, CloseConnection):
                    self.close_code = event.code

    def messages_about(self, call: str, *types: str) -> list[dict[str, Any]]:
        """What was said of a call, of these types."""
        return [m for m in self.received_messages if m.get("id") == call and m["type"] in types]

    def final_answers(self, call: str) -> list[dict[str, Any]]:
        """The final answers of a call."""
        return self.messages_about(call, "answer", "refused", "failed")

    def close(self) -> None:
        """Close without a word."""
        self.writer.close()
        self.task.cancel()


class RouterProcess:
    """The program, started as in service."""

    def __init__(self, process: asyncio.subprocess.Process, port: int, api_port: int, log_path: Path) -> None:
        self.process, self.port, self.api_port, self.log_path = process, port, api_port, log_path

    def reload_config(self, text: str) -> None:
        """Replace the configuration file, and tell the program."""
        new = self.log_path.with_name("config.new")
        new.write_text(text)
        new.replace(self.log_path.with_name("config.json"))
        self.process.send_signal(signal.SIGHUP)

    async def wait_for_log(self, text: str, times: int = 1) -> None:
        """Wait until the log says so."""
        await wait_until(lambda: self.log_path.read_text().count(text) >= times)

    async def stop_and_read_counters(self) -> Counter[str]:
        """End it, and return the counters it prints."""
        if self.process.returncode is None:
            self.process.terminate()
        assert await with_timeout(self.process.wait()) == 0
        line = next(x for x in self.log_path.read_text().splitlines() if x.startswith("counters "))
        return Counter({name: int(value) for name, _, value in (w.partition("=") for w in line.split()[1:])})


def free_port() -> int:
    """A port that nothing listens on."""
    import socket  # noqa: PLC0415

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@contextlib.asynccontextmanager
async def running_router(nodes: dict[int, Node], api_nodes: dict[int, Node] | None = None,
                  gateway: str = "", bulletin: str = "", versions: str = "",
                  module: str = "astertrack") -> AsyncIterator[RouterProcess]:
    """Start the program between these stand-in exchanges, by number; versions: the text of its versions.toml."""
    port, api_port = free_port(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        endpoints = [{"name": f"s-{n}", "address": node.address, "zone": "fes", "type": "small-node",
                      "group": n, "status": "in_service", "weight": 1, "since_ms": 0}
                     for n, node in nodes.items()]
        config = {"name": "n0", "listen": f"127.0.0.1:{port}", "seed": "1f", "bulletin": bulletin,
                  "known": {"no": 1, "items": [{"no": 1, "roster": {
                      "index": 1, "snapshot": True, "endpoints": endpoints}}]}, "settings": SETTINGS}
        here = Path(folder)
        (here / "config.json").write_text(json.dumps(config))
        lines = [gateway, "[front]", f'listen = "127.0.0.1:{api_port}"']
        for n, node in (api_nodes or {}).items():
            lines += ["[[destination]]", f'name = "w-{n}"', f'address = "{node.address}"', f"number = {n}"]
        (here / "gateway.toml").write_text("\n".join(lines))
        (here / "versions.toml").write_text(versions)
        log = here / "log"
        with log.open("w") as sink:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, cwd=ROOT, stderr=sink,
                env={**os.environ, "RELAY_NAME": "n0", "RELAY_LISTEN": f"127.0.0.1:{port}",
                     "RELAY_CONFIG": str(here / "config.json"),
                     "ASTERTRACK_GATEWAY": str(here / "gateway.toml"),
                     "ASTERTRACK_VERSIONS": str(here / "versions.toml")})
        try:
            await wait_until(lambda: process.returncode is not None or "event=serving" in log.read_text())
            assert process.returncode is None, log.read_text()
            yield RouterProcess(process, port, api_port, log)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            for node in (*nodes.values(), *(api_nodes or {}).values()):
                node.stop()
