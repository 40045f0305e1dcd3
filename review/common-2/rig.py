"""Stand-ins of the second review: the platform, callers, exchanges, a bulletin, and a proxy that resets connections.

Everything runs in one asyncio process on loopback addresses and uses the standard library only; the routers run as
processes of their own, started with the `run` line of deploy/balancer.toml. The codecs are written after the operators'
protocol page and share no code with the program under review.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
READY_LIMIT_S = 30.0  # a router has to be ready within this time (the fleet page)
SLACK_S = 0.050  # every time limit of the rules is this much longer (the protocol page)
CLOSE_RELEASE_S = 1.0  # a release by the peer is passed on to the client within this time
LOST_RELEASE_S = 8.0  # whatever is over is released towards its client within this time, if no release could be sent

# The settings, in the form of the wire page, for a deployment of the size that the brief gives.
SETTINGS: dict[str, Any] = {
    "areas": ["casablanca", "fes"], "clientHabits": {"marksRetry": False}, "discovery": "pushed",
    "extra": {"channelsNeeded": [1, 1], "classHoldUs": [10200000, 8200000], "givesWait": False, "homeOffice": 0,
              "peerLoad": "inline", "releaseUs": 300000, "resendUs": 0, "routeAdvice": False, "skilledPools": [],
              "topology": "mesh"},
    "fleetSize": 5, "goal": {"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.25},
    "kinds": ["small-node"],
    "limits": {"cancel": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeoutUs": 500000,
               "idleCloseUs": 600000000, "maxAttempts": 6, "maxOpen": 20000, "maxRetryAfterUs": 2000000,
               "maxStreams": 1048576, "peers": False, "probes": True, "retryAfter": True, "secondCopies": False},
    "loadInfo": {"fields": ["free", "size", "hold_back"], "how": "inline"}, "myNumber": 0, "orgs": [],
    "overShareWorth": 0.1,
    "prices": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.08, "moves": 0.0,
               "origin": 0.0, "peer": 0.0, "probe": 0.004, "waste": 0.16},
    "rules": {"askEveryUs": 10000000, "coldFrom": 0.3, "coldUs": 15000000, "drainGraceUs": 2000000,
              "fallMultiple": 2.0, "fallUs": 3000000, "graceToAnswerUs": 20000},
    "serviceType": "trunks",
    "services": [
        {"deadlineUs": 9000000, "effect": "free", "gain": 1.0, "group": "all", "lateWorth": 0.1, "name": "ledger-read",
         "onTimeUs": 1500000, "repeatWindowUs": 5000000, "stream": True},
        {"deadlineUs": 6000000, "effect": "free", "gain": 8.0, "group": "all", "lateWorth": 0.25,
         "name": "declaration-save", "onTimeUs": 1000000, "repeatWindowUs": 5000000, "stream": True}],
    "tickUs": 5000, "tier": 0, "tiers": ["ledger-nodes"], "weightKind": "off", "worthBy": "request", "zone": 0}


def new_call_id() -> str:
    """Return a new call id: 16 hex digits."""
    return secrets.token_hex(8)


def free_port() -> int:
    """Return a TCP port of loopback that is not in use."""
    with socket.socket() as bound:
        bound.bind((HOST, 0))
        return int(bound.getsockname()[1])


async def wait_until(condition: Callable[[], Any], limit_s: float) -> bool:
    """Wait until a condition holds, for limit_s at most; return whether it does."""
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() >= end:
            return bool(condition())
        await asyncio.sleep(0.005)
    return True


class CannotRun(Exception):
    """The case could not run; the message says why."""


class Record:
    """The record of one run: what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path: Path) -> None:
        self.path, self.start = path, time.time()
        self._file = path.open("w", encoding="utf-8")

    def write(self, who: str, what: str, **values: object) -> None:
        """Write one line."""
        fields = " ".join(f"{name}={value}" for name, value in values.items())
        print(f"{time.time() - self.start:8.3f} {who:<12} {what} {fields}".rstrip(), file=self._file, flush=True)

    def say(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        print(text, flush=True)
        print(text, file=self._file, flush=True)


# ---- routers


class RouterProcess:
    """One router, as the platform starts it."""

    def __init__(self, rig: Rig, name: str, config: dict[str, Any], gateway: str, versions: str) -> None:
        self.rig, self.name, self.config = rig, name, config
        self.port = int(config["listen"].rpartition(":")[2])
        self.folder = rig.folder / name
        self.folder.mkdir()
        self.gateway_text, self.versions_text = gateway, versions
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self) -> None:
        """Start the process with the `run` line of the deploy file; its log goes to the temporary folder."""
        self.starts += 1
        (self.folder / "config.json").write_text(json.dumps(self.config))
        (self.folder / "gateway.toml").write_text(self.gateway_text)
        (self.folder / "versions.toml").write_text(self.versions_text)
        temporary = self.folder / f"tmp-{self.starts}"
        temporary.mkdir()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {name: value for name, value in os.environ.items() if name in ("PATH", "HOME", "LANG")}
        environment |= {"RELAY_NAME": self.name, "RELAY_LISTEN": f"{HOST}:{self.port}",
                        "RELAY_CONFIG": str(self.folder / "config.json"), "TMPDIR": str(temporary),
                        "ASTERTRACK_GATEWAY": str(self.folder / "gateway.toml"),
                        "ASTERTRACK_VERSIONS": str(self.folder / "versions.toml")}
        with (self.folder / f"log-{self.starts}").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log)
        self.rig.record.write("platform", "started", router=self.name, number=self.starts)

    async def ready(self) -> None:
        """Wait until the router passes a test (OPTIONS), as the front does before it takes a router in."""
        end = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < end:
            if self.process is None or self.process.returncode is not None:
                break
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                try:
                    writer.write(sip("OPTIONS sip:ping@net SIP/2.0", {"Call-ID": "ping", "CSeq": "1 OPTIONS"}))
                    if (await asyncio.wait_for(reader.read(200), 1.0)).startswith(b"SIP/2.0 200"):
                        self.rig.record.write("platform", "ready", router=self.name)
                        return
                finally:
                    writer.close()
            await asyncio.sleep(0.02)
        raise CannotRun(f"router {self.name} did not become ready: {self.log_text()[-600:]}")

    def log_text(self) -> str:
        """Return the log of the latest start."""
        return (self.folder / f"log-{self.starts}").read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.rig.record.write("platform", number.name, router=self.name)
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def exited(self, limit_s: float) -> bool:
        """Wait for the end of the process; return whether it came in time."""
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
        except TimeoutError:
            return False
        self.rig.record.write("platform", "ended", router=self.name, code=self.process.returncode)
        return True


# ---- SIP, the callers' side


def sip(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode one SIP message."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}", "",
             ""]
    return "\r\n".join(lines).encode() + body


class CallerSide:
    """All callers of one router: their calls, and whatever the router told them on any of their connections."""

    def __init__(self, rig: Rig, router: RouterProcess, confirms_releases: bool) -> None:
        self.rig, self.router, self.confirms_releases = rig, router, confirms_releases
        self.offered: dict[str, float] = {}  # by call: when its set-up was written
        self.dests: dict[str, int] = {}  # by call: the exchange called
        self.finals: dict[str, list[int]] = {}  # by call: the statuses of its final answers
        self.answers: dict[str, bytes] = {}  # by call: the description of its answer
        self.answered_at: dict[str, float] = {}
        self.released_at: dict[str, float] = {}  # by call: the first release by the router
        self.causes: dict[str, str] = {}
        self.connections: list[CallerConnection] = []

    async def connect(self) -> CallerConnection:
        """Open a connection."""
        connection = CallerConnection(self, *await asyncio.open_connection(HOST, self.router.port))
        self.connections.append(connection)
        return connection


class CallerConnection:
    """One connection of callers."""

    def __init__(self, side: CallerSide, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.side, self.reader, self.writer = side, reader, writer
        self.is_open = True
        side.rig.writers.append(writer)
        self.task = side.rig.spawn(self._read())

    def invite(self, number: str, dest: int, wait_ms: int = 3000, tier: str = "ledger-read",
               description: bytes = b"c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n") -> str:
        """Place a call and return its id."""
        call = new_call_id()
        self.side.offered[call], self.side.dests[call] = time.time(), dest
        self.side.rig.record.write("caller", "set-up", call=call, dest=dest, tier=tier, wait_ms=wait_ms)
        self.writer.write(sip(f"INVITE sip:{number}@net SIP/2.0", {
            "Via": "SIP/2.0/TCP peer", "Call-ID": call, "CSeq": "1 INVITE", "X-Tier": tier,
            "X-Deadline": str(wait_ms), "X-Attrs": f"dest:{dest};width:1;via:-1"}, description))
        return call

    def bye(self, call: str) -> None:
        """Release a call that stands."""
        self.side.rig.record.write("caller", "release", call=call)
        self.writer.write(sip(f"BYE sip:{call}@net SIP/2.0", {
            "Via": "SIP/2.0/TCP peer", "Call-ID": call, "CSeq": "2 BYE", "Reason": "Q.850;cause=16"}))

    def options(self) -> None:
        """Send a test."""
        self.writer.write(sip("OPTIONS sip:ping@net SIP/2.0", {"Call-ID": "ping", "CSeq": "1 OPTIONS"}))

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        self.writer.close()

    async def _read(self) -> None:
        buffer = b""
        with contextlib.suppress(ConnectionError):
            while data := await self.reader.read(65536):
                buffer += data
                while (end := buffer.find(b"\r\n\r\n")) >= 0:
                    start_line, *lines = buffer[:end].decode().split("\r\n")
                    headers = {name.strip().lower(): value.strip() for name, _, value in (
                        line.partition(":") for line in lines)}
                    length = int(headers.get("content-length", "0"))
                    if len(buffer) < end + 4 + length:
                        break
                    body, buffer = buffer[end + 4:end + 4 + length], buffer[end + 4 + length:]
                    self._on_message(start_line, headers, body)
        self.is_open = False

    def _on_message(self, start_line: str, headers: dict[str, str], body: bytes) -> None:
        side, call, now = self.side, headers.get("call-id", ""), time.time()
        if start_line.startswith("BYE "):
            side.rig.record.write("caller", "got release", call=call, reason=headers.get("reason", ""))
            side.released_at.setdefault(call, now)
            side.causes.setdefault(call, headers.get("reason", ""))
            if side.confirms_releases:
                self.writer.write(sip("SIP/2.0 200 OK", {"Call-ID": call, "CSeq": "2 BYE"}))
        elif start_line.startswith("SIP/2.0 ") and headers.get("cseq", "").endswith("INVITE"):
            status = int(start_line.split(" ")[1])
            if status >= 200:
                side.rig.record.write("caller", "got answer", call=call, status=status)
                side.finals.setdefault(call, []).append(status)
                if status == 200:
                    side.answers[call] = body
                    side.answered_at[call] = now
                self.writer.write(sip(f"ACK sip:{call}@net SIP/2.0", {"Call-ID": call, "CSeq": "1 ACK"}))


# ---- the binary protocol, the peers' side

SET_UP, ANSWER, RELEASE, RELEASE_HEARD, GROUP_STATE, TEST, TEST_RESULT = 1, 9, 12, 16, 43, 52, 53
P_CLASS, P_WAIT, P_NUMBER, P_NOTE, P_REPORT, P_CAUSE, P_DESCRIPTION = 1, 3, 9, 15, 19, 29, 31


def encode(kind: int, call: str, parameters: dict[int, bytes]) -> bytes:
    """Encode one message."""
    body = bytes((kind,)) + bytes.fromhex(call) + b"".join(
        struct.pack(">BH", code, len(value)) + value for code, value in parameters.items())
    return struct.pack(">H", len(body)) + body


def split(buffer: bytearray) -> list[tuple[int, str, dict[int, bytes], bytes]]:
    """Remove the complete messages from a buffer: type, call, parameters, and the bytes of each."""
    messages = []
    while len(buffer) >= 2 and len(buffer) >= 2 + (length := int.from_bytes(buffer[:2])):
        raw = bytes(buffer[:2 + length])
        del buffer[:2 + length]
        parameters, offset = {}, 11
        while offset < len(raw):
            code, size = struct.unpack_from(">BH", raw, offset)
            parameters[code] = raw[offset + 3:offset + 3 + size]
            offset += 3 + size
        messages.append((raw[2], raw[3:11].hex(), parameters, raw))
    return messages


class Exchange:
    """A peer. It answers each set-up after answer_s; a call stands until it is released by either side.

    Closing a connection gives up the set-ups that are open on it; no connection owns a call that stands. What concerns
    such a call is sent on the connection its set-up came on, otherwise on any open one, and its release also on the
    next one that is opened.
    """

    def __init__(self, rig: Rig, name: str, number: int, size: int = 120) -> None:
        self.rig, self.name, self.number, self.size = rig, name, number, size
        self.answer_s = 0.012
        self.taken_by_others = 0  # circuits of the group that calls of its other end hold
        self.port = self.opened = 0  # opened: how many connections came up
        self.server: asyncio.Server | None = None
        self.connections: list[asyncio.StreamWriter] = []
        self.open_set_ups: dict[str, asyncio.StreamWriter] = {}  # received, neither answered nor given up
        self.standing: dict[str, asyncio.StreamWriter] = {}  # with the connection the set-up came on
        self.set_ups: dict[str, list[float]] = {}  # by call: when its set-ups arrived
        self.ended: dict[str, float] = {}  # by call: when its release was written by this exchange
        self.got_release: dict[str, list[float]] = {}  # by call: releases by the router
        self.overlaps: list[str] = []  # calls with a set-up that arrived while an earlier one was still out
        self.descriptions: dict[str, bytes] = {}  # by call: as answered
        self.releases_for_next: list[bytes] = []
        self.on_set_up: Callable[[str], Awaitable[None]] | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """host:port."""
        return f"{HOST}:{self.port}"

    def state(self) -> bytes:
        """The state of the group, as a message."""
        free = max(0, self.size - self.taken_by_others - len(self.open_set_ups) - len(self.standing))
        return encode(GROUP_STATE, "0" * 16, {P_REPORT: f"x0:{free};x1:{self.size};eps:0".encode()})

    def tell_state(self) -> None:
        """Send the state of the group on the open connections, four at most."""
        for writer in self.connections[:4]:
            writer.write(self.state())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        self.opened += 1
        self.rig.writers.append(writer)
        self.rig.record.write(self.name, "connection opened")
        writer.write(self.state())
        for message in self.releases_for_next:
            writer.write(message)
        self.releases_for_next.clear()
        buffer = bytearray()
        try:
            while data := await reader.read(65536):
                buffer += data
                for kind, call, parameters, _ in split(buffer):
                    self._on_message(kind, call, parameters, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.remove(writer)
            for call in [c for c, w in self.open_set_ups.items() if w is writer]:
                del self.open_set_ups[call]
                self.rig.record.write(self.name, "set-up given up by close", call=call)
            self.rig.record.write(self.name, "connection ended")
            writer.close()

    def _on_message(self, kind: int, call: str, parameters: dict[int, bytes], writer: asyncio.StreamWriter) -> None:
        if kind == TEST:
            writer.write(encode(TEST_RESULT, call, {P_CAUSE: b"\1", P_REPORT: self.state()[14:]}))
        elif kind == SET_UP:
            self.set_ups.setdefault(call, []).append(time.time())
            is_overlap = call in self.open_set_ups or call in self.standing
            self.rig.record.write(self.name, "got set-up", call=call, attempt=len(self.set_ups[call]),
                                  overlap=is_overlap)
            if is_overlap:
                self.overlaps.append(call)
            self.open_set_ups[call] = writer
            self.rig.spawn(self._answer(call, writer))
        elif kind == RELEASE:
            cause = parameters[P_CAUSE][0]
            self.rig.record.write(self.name, "got release", call=call, cause=cause,
                                  standing=call in self.standing)
            self.got_release.setdefault(call, []).append(time.time())
            if self.standing.pop(call, None) or self.open_set_ups.pop(call, None):
                self.tell_state()

    async def _answer(self, call: str, writer: asyncio.StreamWriter) -> None:
        if self.on_set_up is not None:
            await self.on_set_up(call)
        await asyncio.sleep(self.answer_s)
        if self.open_set_ups.get(call) is writer:
            del self.open_set_ups[call]
            self.standing[call] = writer
            description = self.descriptions.setdefault(call, f"answer of {self.name} to {call}".encode())
            self.rig.record.write(self.name, "answered", call=call)
            writer.write(encode(ANSWER, call, {P_DESCRIPTION: description}))
            self.tell_state()

    def release(self, call: str, cause: int = 16) -> None:
        """End a call that stands, and send its release."""
        writer = self.standing.pop(call)
        self.ended[call] = time.time()
        message = encode(RELEASE, call, {P_CAUSE: bytes((cause,))})
        target = writer if writer in self.connections else next(iter(self.connections), None)
        self.rig.record.write(self.name, "released", call=call, cause=cause, sent=target is not None)
        if target is not None:
            target.write(message)
        self.releases_for_next.append(message)
        self.tell_state()


# ---- a proxy in front of an exchange


class Proxy:
    """Passes bytes between a router and an exchange, and can reset its connections.

    on_connection is called with each new pair; a pair's from_exchange, if set, decides on each message of the exchange.
    """

    def __init__(self, rig: Rig, exchange: Exchange) -> None:
        self.rig, self.exchange = rig, exchange
        self.pairs: list[Pair] = []
        self.on_connection: Callable[[Pair], None] | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.rig.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """host:port."""
        return f"{HOST}:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection(HOST, self.exchange.port)
        self.rig.writers += [writer, far_writer]
        pair = Pair(self, writer, far_writer)
        self.pairs.append(pair)
        if self.on_connection is not None:
            self.on_connection(pair)
        await asyncio.gather(pair.pump_router(reader), pair.pump_exchange(far_reader))
        self.pairs.remove(pair)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection: its other end gets RST."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Pair:
    """One connection through a proxy."""

    def __init__(self, proxy: Proxy, router: asyncio.StreamWriter, exchange: asyncio.StreamWriter) -> None:
        self.proxy, self.router, self.exchange = proxy, router, exchange
        self.opened = time.time()
        self.from_exchange: Callable[[int, str, bytes], bytes | None] | None = None  # None: drop the message
        self.is_reset = False

    def reset(self, why: str) -> None:
        """Reset both sides."""
        if not self.is_reset:
            self.is_reset = True
            self.proxy.rig.record.write("network", f"connection reset, {why}", peer=self.proxy.exchange.name,
                                        age_ms=int((time.time() - self.opened) * 1000))
            reset(self.router)
            reset(self.exchange)

    async def pump_router(self, reader: asyncio.StreamReader) -> None:
        """Pass on what the router sends."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if not self.is_reset:
                    self.exchange.write(data)
        if not self.is_reset:
            self.exchange.close()

    async def pump_exchange(self, reader: asyncio.StreamReader) -> None:
        """Pass on the messages of the exchange."""
        buffer = bytearray()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                buffer += data
                for kind, call, _, raw in split(buffer):
                    passed: bytes | None = raw if self.from_exchange is None else self.from_exchange(kind, call, raw)
                    if passed and not self.is_reset:
                        self.router.write(passed)
        if not self.is_reset:
            self.router.close()


class CutProxy:
    """Passes bytes between a router and an exchange, and can be cut off.

    While it is, open connections stay open and say nothing, and new ones never come up: nobody accepts them, and the
    queue of the listening socket is full.
    """

    def __init__(self, rig: Rig, exchange: Exchange) -> None:
        self.rig, self.exchange, self.is_cut, self.port = rig, exchange, False, 0
        self._listener = socket.socket()
        self._fillers: list[socket.socket] = []
        self._accepting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener.setblocking(False)
        self._listener.bind((HOST, 0))
        self._listener.listen(1)
        self.port = self._listener.getsockname()[1]
        self._accepting = self.rig.spawn(self._accept())

    @property
    def address(self) -> str:
        """host:port."""
        return f"{HOST}:{self.port}"

    async def cut(self) -> None:
        """Cut the exchange off."""
        self.rig.record.write("network", "cut off", peer=self.exchange.name)
        self.is_cut = True
        assert self._accepting is not None
        self._accepting.cancel()
        await asyncio.sleep(0)
        while len(self._fillers) < 64:
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            try:
                await asyncio.wait_for(asyncio.get_running_loop().sock_connect(filler, (HOST, self.port)), 0.1)
            except TimeoutError:
                return  # the queue is full
        raise CannotRun("connections still come up")

    def heal(self) -> None:
        """End the cut: what was written meanwhile on connections that are still open arrives."""
        self.rig.record.write("network", "connected again", peer=self.exchange.name)
        ports = {filler.getsockname()[1] for filler in self._fillers}
        waiting = []
        with contextlib.suppress(BlockingIOError):
            while True:
                sock, address = self._listener.accept()
                if address[1] in ports:
                    sock.close()
                else:
                    waiting.append(sock)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.is_cut = False
        for sock in waiting:
            sock.setblocking(False)
            self.rig.spawn(self._serve(sock))
        self._accepting = self.rig.spawn(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._listener)
            self.rig.spawn(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        far_reader, far_writer = await asyncio.open_connection(HOST, self.exchange.port)
        self.rig.writers += [writer, far_writer]
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                while self.is_cut:
                    await asyncio.sleep(0.01)
                writer.write(data)
        while self.is_cut:
            await asyncio.sleep(0.01)
        writer.close()


# ---- the call-control API, the clients' side


class ApiClient:
    """A client of the call-control API, on one WebSocket."""

    def __init__(self, rig: Rig, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.rig, self.reader, self.writer = rig, reader, writer
        self.received: list[dict[str, Any]] = []
        self.is_open = True
        rig.writers.append(writer)

    @classmethod
    async def connect(cls, rig: Rig, port: int) -> ApiClient:
        """Connect, and complete the handshake."""
        reader, writer = await asyncio.open_connection(HOST, port)
        key = base64.b64encode(secrets.token_bytes(16)).decode()
        writer.write((f"GET /calls HTTP/1.1\r\nHost: {HOST}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                      f"Sec-WebSocket-Key: {key}\r\nSec-WebSocket-Version: 13\r\n\r\n").encode())
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        if not head.startswith(b"HTTP/1.1 101"):
            raise CannotRun(f"no WebSocket: {head[:40]!r}")
        client = cls(rig, reader, writer)
        rig.spawn(client._read())
        return client

    def send(self, message: dict[str, Any]) -> None:
        """Send a message."""
        self.send_text(json.dumps(message))

    def send_text(self, text: str) -> None:
        """Send a text message."""
        self.rig.record.write("client", "sent", message=text[:200])
        self._send_frame(1, text.encode())

    def _send_frame(self, opcode: int, payload: bytes) -> None:
        key = secrets.token_bytes(4)
        length = bytes((0x80 | len(payload),)) if len(payload) < 126 else b"\xfe" + struct.pack(">H", len(payload))
        self.writer.write(bytes((0x80 | opcode,)) + length + key + bytes(
            octet ^ key[index % 4] for index, octet in enumerate(payload)))

    async def _read(self) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                opcode, length = await self.reader.readexactly(2)
                if length == 126:
                    length = int.from_bytes(await self.reader.readexactly(2))
                payload = await self.reader.readexactly(length)
                if opcode & 15 == 1:
                    self.rig.record.write("client", "got", message=payload.decode()[:200])
                    self.received.append(json.loads(payload))
                elif opcode & 15 == 9:
                    self._send_frame(10, payload)
                elif opcode & 15 == 8:
                    break
        self.rig.record.write("client", "socket ended")
        self.is_open = False
        self.writer.close()

    def about(self, call: str, *kinds: str) -> list[dict[str, Any]]:
        """Return the received messages of these types about a call."""
        return [m for m in self.received if m.get("id") == call and m["type"] in kinds]


# ---- the bulletin


class BulletinService:
    """Serves the events of the list of peers as server-sent events; a comment every second."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.events, self.port = rig, [], 0
        self.events: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.rig.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]

    def add(self, endpoints: list[dict[str, Any]], snapshot: bool = False) -> None:
        """Add an event."""
        number = len(self.events) + 1
        self.events.append({"no": number, "roster": {"index": number, "snapshot": snapshot, "endpoints": endpoints}})
        if number > 1:
            self.rig.record.write("bulletin", "event", no=number,
                                  peers=",".join(f"{e['name']}:{e['status']}" for e in endpoints))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.rig.writers.append(writer)
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            last = next((int(line.partition(":")[2]) for line in head.split("\r\n")
                         if line.lower().startswith("last-event-id:")), 0)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            while not writer.is_closing():
                for event in self.events[last:]:
                    writer.write(f"id: {event['no']}\ndata: {json.dumps(event)}\n\n".encode())
                    last = event["no"]
                writer.write(b": \n\n")
                await writer.drain()
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(asyncio.shield(self.changed.wait()), 1.0)


def endpoint(name: str, address: str, number: int, status: str = "in_service", zone: str = "fes",
             since_ms: int = 0) -> dict[str, Any]:
    """Return one entry of the list of peers."""
    return {"name": name, "address": address, "zone": zone, "type": "small-node", "group": number, "status": status,
            "weight": 1, "since_ms": since_ms}


# ---- the rig


class Rig:
    """What one case starts, in a temporary folder; close() ends all of it."""

    def __init__(self, folder: Path) -> None:
        self.case = folder
        self.record = Record(folder / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.routers: list[RouterProcess] = []
        self.servers: list[asyncio.AbstractServer] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: list[asyncio.StreamWriter] = []  # of all connections of the stand-ins

    def spawn(self, coroutine: Any) -> asyncio.Task[None]:
        """Run a coroutine beside the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def exchange(self, name: str, number: int, size: int = 120) -> Exchange:
        """Start an exchange."""
        exchange = Exchange(self, name, number, size)
        await exchange.start()
        assert exchange.server is not None
        self.servers.append(exchange.server)
        return exchange

    async def bulletin(self, endpoints: list[dict[str, Any]]) -> BulletinService:
        """Start a bulletin with these peers."""
        service = BulletinService(self)
        service.add(endpoints, snapshot=True)
        await service.start()
        return service

    def router(self, name: str, bulletin: BulletinService | None, home: int = 0, gateway: str = "",
               versions: str = "", sockets: int = 1024) -> RouterProcess:
        """Configure a router as the platform does; the bulletin's events so far are known to it."""
        settings = json.loads(json.dumps(SETTINGS))
        settings["extra"]["homeOffice"] = home
        events = bulletin.events if bulletin is not None else []
        config = {"name": name, "listen": f"{HOST}:{free_port()}", "seed": secrets.token_hex(8),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                  "bulletin": f"{HOST}:{bulletin.port}" if bulletin is not None else "",
                  "known": {"no": len(events), "items": list(events)}, "settings": settings}
        router = RouterProcess(self, name, config, gateway, versions)
        self.routers.append(router)
        return router

    async def close(self) -> None:
        """End all processes and tasks that were started, and remove the temporary folder."""
        for router in self.routers:
            if router.process is not None and router.process.returncode is None:
                router.process.kill()
                await router.process.wait()
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(router.folder, Path(os.environ["KEEP_LOGS"]) / router.name, dirs_exist_ok=True)
        for server in self.servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0.05)  # until the transports have closed
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case: Callable[[Rig], Awaitable[list[str]]], file: str, limit_s: float = 110.0) -> None:
    """Run a case: it returns the breaches of the rule that it saw. Exit 1: broken; 0: held; 2: it could not run."""
    async def run() -> int:
        rig = Rig(Path(file).resolve().parent)
        running = asyncio.get_running_loop().create_task(asyncio.wait_for(case(rig), limit_s))
        for number in (signal.SIGTERM, signal.SIGINT):  # all processes are ended then, too
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        try:
            breaches = await running
        except (TimeoutError, CannotRun, OSError, asyncio.CancelledError) as error:
            rig.record.say(f"could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await rig.close()
        for line in breaches[:20]:
            rig.record.say(f"broken: {line}")
        rig.record.say(f"disruption {'on' if rig.trouble else 'off'}: "
                       + (f"rule broken {len(breaches)} times" if breaches else "rule held"))
        return 1 if breaches else 0

    try:
        code = asyncio.run(run())
    except Exception as error:  # a fault of the case itself
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
