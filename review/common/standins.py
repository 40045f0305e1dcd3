"""Stand-ins for the cases of the review: exchanges, callers, the bulletin, and a way to start the router.

They follow the protocol page, use only the standard library, and listen on loopback addresses and free ports.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_TIMEOUT_S = 30.0  # a call router has to be ready within this time
SET_UP, PROGRESS, ANSWER, RELEASE, GROUP_STATE, TEST, TEST_RESULT = 1, 6, 9, 12, 43, 52, 53
P_CLASS, P_WAIT, P_NUMBER, P_NOTE, P_REPORT, P_CAUSE, P_DESCRIPTION = 1, 3, 9, 15, 19, 29, 31
NO_CALL = "0" * 16
# Exit codes of a case's program. run.sh turns BROKEN into 1, and all that is neither BROKEN nor HELD into 2, so that a
# program that ends with an exception never counts as a broken rule.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2


class Record:
    """The file record.txt: what was sent, answered and run, each line with the Unix time."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.start_s = time.time()

    def write(self, who: str, text: str) -> float:
        """Write a line, and return its time."""
        now = time.time()
        self.file.write(f"{now:.3f} {now - self.start_s:8.3f} {who:<10} {text}\n")
        self.file.flush()
        return now


def free_port() -> int:
    """Return a TCP port of loopback that is not in use."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        return int(bound.getsockname()[1])


def new_call_id() -> str:
    """Return a new call id of 16 hexadecimal digits."""
    return f"{random.getrandbits(64):016x}"


async def wait_for(condition: Callable[[], bool], timeout_s: float, interval_s: float = 0.01) -> bool:
    """Wait until a condition holds; return False if it does not in time."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(interval_s)
    return True


# ---- exchanges


def encode(kind: int, call: str, parameters: dict[int, bytes] | None = None) -> bytes:
    """Encode a binary message."""
    body = bytes([kind]) + bytes.fromhex(call)
    for code, value in (parameters or {}).items():
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def decode(body: bytes) -> tuple[int, str, dict[int, bytes]]:
    """Decode a binary message without its length."""
    parameters, offset = {}, 9
    while offset < len(body):
        code, length = struct.unpack_from(">BH", body, offset)
        parameters[code] = body[offset + 3:offset + 3 + length]
        offset += 3 + length
    return body[0], body[1:9].hex(), parameters


class Exchange:
    """A sound exchange: answers each set-up after a short time, keeps the call, and releases it after its holding time.

    No connection owns a call that stands. Its release is sent on the connection of its set-up, otherwise on any open
    one, and also on the next one that is opened.
    """

    def __init__(self, name: str, number: int, record: Record, circuits: int = 120, answer_s: float = 0.03,
                 hold_s: Callable[[str], float | None] = lambda number: 3.0) -> None:
        self.name, self.number, self.record, self.circuits, self.answer_s = name, number, record, circuits, answer_s
        self.hold_s = hold_s  # holding time of a call by its called number; None: until released by the other side
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []
        self.pending: dict[str, tuple[asyncio.StreamWriter, asyncio.Task[None]]] = {}
        self.standing: dict[str, asyncio.StreamWriter] = {}
        self.set_ups: list[tuple[float, str]] = []  # time of arrival and call
        self.overlaps: list[str] = []  # calls with two attempts out at once here
        self.released_here: dict[str, float] = {}  # when this exchange sent its release, by call
        self.released_by_router: dict[str, float] = {}
        self.unsent: list[tuple[str, int]] = []  # releases for the next connection that is opened
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        """Its address, host:port."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Exchange:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def _spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def _report(self) -> bytes:
        free = max(0, self.circuits - len(self.pending) - len(self.standing))
        return f"x0:{free};x1:{self.circuits};eps:0".encode()

    def _tell_group(self) -> None:
        for writer in self.writers:
            writer.write(encode(GROUP_STATE, NO_CALL, {P_REPORT: self._report()}))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        writer.write(encode(GROUP_STATE, NO_CALL, {P_REPORT: self._report()}))
        for call, cause in self.unsent:
            writer.write(encode(RELEASE, call, {P_CAUSE: bytes([cause])}))
        self.unsent = []
        try:
            while True:
                length = int.from_bytes(await reader.readexactly(2), "big")
                self._handle(*decode(await reader.readexactly(length)), writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            for call, (owner, task) in list(self.pending.items()):
                if owner is writer:  # the close gives up the set-ups that are open on the connection
                    task.cancel()
                    del self.pending[call]
                    self.record.write(self.name, f"set-up given up by the close of its connection call={call}")
            writer.close()

    def _handle(self, kind: int, call: str, parameters: dict[int, bytes], writer: asyncio.StreamWriter) -> None:
        if kind == TEST:
            writer.write(encode(TEST_RESULT, call, {P_CAUSE: b"\1", P_REPORT: self._report()}))
        elif kind == SET_UP:
            now = time.time()
            self.set_ups.append((now, call))
            twice = call in self.pending or call in self.standing
            self.record.write(self.name, f"set-up arrived call={call} number={parameters[P_NUMBER].decode()}"
                              + (" WHILE AN ATTEMPT OF THIS CALL IS OUT HERE" if twice else ""))
            if twice:
                self.overlaps.append(call)
            self.pending[call] = (writer, self._spawn(self._answer(call, parameters, writer)))
            self._tell_group()
        elif kind == RELEASE:
            self.record.write(self.name, f"release arrived call={call} cause={parameters[P_CAUSE][0]}")
            self.released_by_router[call] = time.time()
            entry = self.pending.pop(call, None)
            if entry is not None:
                entry[1].cancel()
            self.standing.pop(call, None)
            self._tell_group()

    async def _answer(self, call: str, parameters: dict[int, bytes], writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.answer_s)
        self.pending.pop(call, None)
        self.standing[call] = writer
        writer.write(encode(ANSWER, call, {P_DESCRIPTION: b"c=IN IP4 127.0.0.1\r\nanswer to " + call.encode()
                                           + b" from " + self.name.encode()}))
        self.record.write(self.name, f"answer written call={call}")
        hold_s = self.hold_s(parameters[P_NUMBER].decode())
        if hold_s is not None:
            self._spawn(self._end_later(call, hold_s))

    async def _end_later(self, call: str, hold_s: float) -> None:
        await asyncio.sleep(hold_s)
        self.release(call)

    def release(self, call: str, cause: int = 16) -> None:
        """End a call that stands here."""
        writer = self.standing.pop(call, None)
        if writer is None:
            return
        if writer not in self.writers:
            writer = self.writers[-1] if self.writers else None
        self.released_here[call] = time.time()
        self.unsent.append((call, cause))
        if writer is not None:
            writer.write(encode(RELEASE, call, {P_CAUSE: bytes([cause]), P_REPORT: self._report()}))
        self.record.write(self.name, f"release written call={call} cause={cause}"
                          + ("" if writer is not None else " (no connection is open)"))
        self._tell_group()

    def stop(self) -> None:
        """Stop listening, and close the connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in self.writers:
            writer.close()


# ---- callers over SIP


class SipConnection:
    """A connection of callers. It acknowledges final answers, and confirms releases."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.sent: dict[str, float] = {}  # when the last byte of a set-up was written, by call
        self.finals: dict[str, list[tuple[float, int]]] = {}  # time and status, by call
        self.byes: dict[str, float] = {}  # when a release arrived, by call
        self.options_ok = False
        self.is_open = False

    async def open(self, port: int) -> SipConnection:
        """Connect to the router."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.is_open = True
        self.task = asyncio.get_running_loop().create_task(self._read())
        return self

    def send(self, method: str, target: str, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        """Send a request."""
        lines = [f"{method} sip:{target}@net SIP/2.0", "Via: SIP/2.0/TCP peer",
                 *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}", "", ""]
        self.writer.write("\r\n".join(lines).encode() + body)

    def invite(self, call: str, number: str, dest: int, wait_ms: int, tier: str = "ledger-read") -> None:
        """Place a call."""
        body = b"c=IN IP4 127.0.0.1\r\noffer of " + call.encode()
        self.send("INVITE", number, [
            ("Call-ID", call), ("CSeq", "1 INVITE"), ("X-Tier", tier), ("X-Deadline", str(wait_ms)),
            ("X-Attrs", f"dest:{dest};width:1;via:-1")], body)
        self.sent[call] = self.record.write(
            self.name, f"INVITE sent call={call} tier={tier} dest={dest} number={number} deadline_ms={wait_ms}")

    def cancel(self, call: str) -> None:
        """Give up a set-up."""
        self.record.write(self.name, f"CANCEL sent call={call}")
        self.send("CANCEL", call, [("Call-ID", call), ("CSeq", "1 CANCEL")])

    def bye(self, call: str) -> None:
        """Release a call that stands."""
        self.record.write(self.name, f"BYE sent call={call}")
        self.send("BYE", call, [("Call-ID", call), ("CSeq", "2 BYE"), ("Reason", "Q.850;cause=16")])

    async def _read(self) -> None:
        try:
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                start, *lines = head.split("\r\n")
                headers = {name.strip().lower(): value.strip() for name, _, value in
                           (line.partition(":") for line in lines if line)}
                await self.reader.readexactly(int(headers.get("content-length", "0")))
                self._handle(start, headers)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.is_open = False

    def _handle(self, start: str, headers: dict[str, str]) -> None:
        call, cseq = headers.get("call-id", ""), headers.get("cseq", "")
        if start.startswith("SIP/2.0"):
            status = int(start.split()[1])
            if cseq.endswith("OPTIONS"):
                self.options_ok = status == 200
            elif cseq.endswith("INVITE") and status >= 200:
                now = self.record.write(self.name, f"{status} received call={call}")
                self.finals.setdefault(call, []).append((now, status))
                self.send("ACK", call, [("Call-ID", call), ("CSeq", "1 ACK")])
        elif start.startswith("BYE"):
            self.byes.setdefault(call, self.record.write(self.name, f"BYE received call={call}"))
            lines = ["SIP/2.0 200 OK", *(f"{name}: {headers[name.lower()]}" for name in ("Via", "Call-ID", "CSeq")
                                         if name.lower() in headers), "Content-Length: 0", "", ""]
            self.writer.write("\r\n".join(lines).encode())

    def close(self) -> None:
        """Close the connection."""
        if self.is_open:
            self.writer.close()
            self.task.cancel()
            self.is_open = False


# ---- clients of the call-control API


class ApiClient:
    """A client of the call-control API on one WebSocket connection."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.messages: list[tuple[float, dict[str, Any]]] = []
        self.is_open = False

    async def open(self, port: int, path: str = "/calls") -> ApiClient:
        """Connect, and complete the handshake."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        key = base64.b64encode(os.urandom(16)).decode()
        self.writer.write((f"GET {path} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\nUpgrade: websocket\r\n"
                           f"Connection: Upgrade\r\nSec-WebSocket-Key: {key}\r\nSec-WebSocket-Version: 13\r\n\r\n"
                           ).encode())
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5)
        if b" 101 " not in head.split(b"\r\n")[0]:
            raise ConnectionError(head.decode())
        self.is_open = True
        self.task = asyncio.get_running_loop().create_task(self._read())
        return self

    def _send_frame(self, opcode: int, payload: bytes) -> None:
        key = os.urandom(4)
        head = bytes([0x80 | opcode])
        if len(payload) < 126:
            head += bytes([0x80 | len(payload)])
        else:
            head += bytes([0x80 | 126]) + struct.pack(">H", len(payload))
        self.writer.write(head + key + bytes(b ^ key[i % 4] for i, b in enumerate(payload)))

    def send(self, **message: Any) -> None:
        """Send a message."""
        self.record.write(self.name, "sent " + json.dumps(message))
        self._send_frame(1, json.dumps(message).encode())

    async def _read(self) -> None:
        try:
            while True:
                first, second = await self.reader.readexactly(2)
                length = second & 127
                if length == 126:
                    length = int.from_bytes(await self.reader.readexactly(2), "big")
                elif length == 127:
                    length = int.from_bytes(await self.reader.readexactly(8), "big")
                payload = await self.reader.readexactly(length)
                if first & 15 == 1:
                    message = json.loads(payload)
                    self.messages.append((self.record.write(self.name, "received " + json.dumps(message)), message))
                elif first & 15 == 9:
                    self._send_frame(10, payload)
                elif first & 15 == 8:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if self.is_open:
                self.record.write(self.name, "socket ended")
            self.is_open = False

    def about(self, call: str, *types: str) -> list[dict[str, Any]]:
        """Return the messages of these types about a call."""
        return [message for _, message in self.messages if message.get("id") == call and message["type"] in types]

    def close(self) -> None:
        """Close the TCP connection."""
        if self.is_open:
            self.is_open = False
            self.writer.close()
            self.task.cancel()


# ---- the bulletin


class Bulletin:
    """The bulletin: events numbered in order, sent as server-sent events, and a comment every second."""

    def __init__(self, record: Record, answer_delay_s: float = 0.0) -> None:
        self.record = record
        self.answer_delay_s = answer_delay_s  # from a request to the first byte of its response
        self.events: list[dict[str, Any]] = []
        self.port = 0
        self.requests = 0
        self.heard: dict[int, float] = {}  # when an event was first written to a connection, by number
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        """Its address, host:port."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Bulletin:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def publish(self, endpoints: list[dict[str, Any]], snapshot: bool = False) -> float:
        """Publish the next event; return the time."""
        number = len(self.events) + 1
        self.events.append({"no": number, "roster": {"index": number, "snapshot": snapshot, "endpoints": endpoints}})
        return self.record.write("bulletin", f"event {number}: " + ", ".join(
            f"{e['name']} {e['status']}" for e in endpoints))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.requests += 1
            last = next((int(line.split(":")[1]) for line in head.split("\r\n")
                         if line.lower().startswith("last-event-id:")), 0)
            self.record.write("bulletin", f"request {self.requests}: events after {last}")
            await asyncio.sleep(self.answer_delay_s)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: hello\n\n")
            next_comment = time.monotonic() + 1.0
            while not writer.is_closing():
                for event in self.events[last:]:
                    writer.write(f"id: {event['no']}\ndata: {json.dumps(event)}\n\n".encode())
                    last = event["no"]
                    self.heard.setdefault(last, self.record.write("bulletin", f"event {last} written"))
                if time.monotonic() >= next_comment:
                    writer.write(b": still here\n\n")
                    next_comment += 1.0
                await writer.drain()
                await asyncio.sleep(0.05)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Stop listening, and close the connections."""
        self.server.close()
        for writer in self.writers:
            writer.close()


# ---- the router


def endpoint(exchange: Exchange, status: str = "in_service", since_ms: int = 0, zone: str = "fes") -> dict[str, Any]:
    """Return an exchange's entry in the bulletin's list."""
    return {"name": exchange.name, "address": exchange.address, "zone": zone, "type": "small-node",
            "group": exchange.number, "status": status, "weight": 1, "since_ms": since_ms}


def settings(exchanges: int) -> dict[str, Any]:
    """Return the settings of a small deployment: exchange 0 is the router's own, the classes are those of the site."""
    return {
        "areas": ["casablanca", "fes"], "clientHabits": {"marksRetry": False}, "discovery": "pushed",
        "extra": {"channelsNeeded": [1, 1], "classHoldUs": [11_000_000, 8_700_000], "givesWait": False,
                  "homeOffice": 0, "peerLoad": "inline", "releaseUs": 300_000, "resendUs": 0, "routeAdvice": False,
                  "skilledPools": [], "topology": "mesh"},
        "fleetSize": exchanges + 1, "kinds": ["small-node"],
        "limits": {"cancel": True, "dialTimeoutUs": 500_000, "idleCloseUs": 600_000_000, "maxAttempts": 6,
                   "maxOpen": 20_000, "maxRetryAfterUs": 2_000_000, "maxStreams": 1_048_576, "peers": False,
                   "probes": True, "retryAfter": True, "secondCopies": False},
        "loadInfo": {"fields": ["free", "size", "hold_back"], "how": "inline"}, "myNumber": 0, "orgs": [],
        "rules": {"askEveryUs": 10_000_000, "coldFrom": 0.3, "coldUs": 15_000_000, "drainGraceUs": 2_000_000,
                  "fallMultiple": 2.0, "fallUs": 3_000_000, "graceToAnswerUs": 20_000},
        "serviceType": "trunks",
        "services": [
            {"name": "ledger-read", "onTimeUs": 1_500_000, "deadlineUs": 9_000_000, "gain": 1.0, "lateWorth": 0.1,
             "effect": "free", "group": "all", "repeatWindowUs": 5_000_000, "stream": True},
            {"name": "declaration-save", "onTimeUs": 1_000_000, "deadlineUs": 6_000_000, "gain": 8.0,
             "lateWorth": 0.25, "effect": "free", "group": "all", "repeatWindowUs": 5_000_000, "stream": True}],
        "tickUs": 5000, "tier": 0, "tiers": ["ledger-nodes"], "weightKind": "off", "worthBy": "request", "zone": 0}


class Router:
    """The program, started with the `run` line of the deploy file in a folder of its own."""

    created: ClassVar[list[Router]] = []  # all of them: run_case ends those that still run

    def __init__(self, folder: Path, record: Record, bulletin: Bulletin, exchanges: list[Exchange],
                 environment: dict[str, str] | None = None) -> None:
        self.folder, self.record, self.bulletin, self.exchanges = folder, record, bulletin, exchanges
        self.environment = environment or {}
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.log = (folder / "log").open("ab")
        Router.created.append(self)

    def write_config(self) -> None:
        """Write the configuration file as the platform does, with all events so far."""
        config = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": f"{random.getrandbits(64):016x}",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bulletin": self.bulletin.address,
                  "known": {"no": len(self.bulletin.events), "items": self.bulletin.events},
                  "settings": settings(len(self.exchanges))}
        new = self.folder / "config.new"
        new.write_text(json.dumps(config))
        new.replace(self.folder / "config.json")

    async def start(self) -> None:
        """Start the program, and wait until it passes a test."""
        self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / f"tmp{time.monotonic_ns()}"
        temporary.mkdir()
        self.record.write("platform", f"starts the router: {command}")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log,
            env={**os.environ, "RELAY_NAME": "n0", "RELAY_LISTEN": f"127.0.0.1:{self.port}",
                 "RELAY_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(temporary), **self.environment})
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise RuntimeError("the router ended at its start: " + (self.folder / "log").read_text()[-2000:])
            with contextlib.suppress(OSError):
                test = await SipConnection("front", self.record).open(self.port)
                test.send("OPTIONS", "ping", [("Call-ID", new_call_id()), ("CSeq", "1 OPTIONS")])
                passed = await wait_for(lambda test=test: test.options_ok, 2.0)
                test.close()
                if passed:
                    self.record.write("platform", "the router has passed its test")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError("the router was not ready in time")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        assert self.process is not None
        if self.process.returncode is None:
            self.record.write("platform", f"sends {number.name}")
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the end of the process."""
        assert self.process is not None
        return await self.process.wait()

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


def run_case(case: Callable[[Record, Path], Awaitable[int]], script: str, limit_s: float = 110.0) -> None:
    """Run a case with its record and a temporary folder, and exit with its verdict."""
    record = Record(Path(script).resolve().parent / "record.txt")
    record.write("case", f"TROUBLE={int(TROUBLE)}")

    async def limited() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            try:
                return await asyncio.wait_for(case(record, Path(folder)), limit_s)
            except (Exception, asyncio.CancelledError) as error:
                record.write("case", f"could not run: {error!r}")
                log = Path(folder) / "log"
                if log.exists():
                    record.write("case", "end of the router's log: " + log.read_text(errors="replace")[-1500:])
                return COULD_NOT_RUN
            finally:
                for router in Router.created:
                    await router.stop()

    verdict = asyncio.run(limited())
    record.write("case", {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(verdict, "the case could not run"))
    sys.exit(verdict)
