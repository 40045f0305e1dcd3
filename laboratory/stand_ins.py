"""Stand-ins for the exchanges and callers that the program talks to, and a way to start it.

Everything listens on loopback, on free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import resource
import signal
import socket
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
GROUP_CIRCUITS = 100  # in the trunk group of a stand-in exchange, unless it has another number
PORT_RANGE = (12_000, 32_000)  # below the ephemeral ports
PORTS_OF_PROCESS = 97
_PORT_COUNTER = itertools.count()
MAX_WAIT_S = 20.0  # for any wait in this package's helpers

# The settings in the router's configuration file.
SETTINGS = {
    "areas": ["casablanca", "fes"], "kinds": ["small-node"], "fleetSize": 4, "myNumber": 0, "zone": 0,
    "extra": {"topology": "mesh", "homeOffice": 0, "releaseUs": 300000, "classHoldUs": [10000000, 8000000]},
    "limits": {"maxAttempts": 6, "cancel": True, "retryAfter": True, "maxRetryAfterUs": 2000000,
               "dialTimeoutUs": 500000},
    "rules": {"drainGraceUs": 2000000},
    "services": [
        {"name": "ledger-read", "onTimeUs": 1500000, "deadlineUs": 9000000, "gain": 1.0, "lateWorth": 0.1},
        {"name": "declaration-save", "onTimeUs": 1000000, "deadlineUs": 6000000, "gain": 8.0}]}


async def with_timeout(awaitable: Any) -> Any:
    """Await something for at most MAX_WAIT_S; raises TimeoutError after that."""
    return await asyncio.wait_for(awaitable, MAX_WAIT_S)


async def wait_until(condition: Any) -> None:
    """Wait until a condition holds; raises TimeoutError after MAX_WAIT_S."""
    async def poll() -> None:
        while not condition():
            await asyncio.sleep(0.005)
    await with_timeout(poll())


class Node:
    """A stand-in exchange. The called number determines its behaviour, and it counts the requests that it receives."""

    def __init__(self) -> None:
        self.active_calls: Counter[str] = Counter()  # by call id: set-ups whose calls have not ended
        self.request_counts: Counter[str] = Counter()  # set-ups by call id; "resume": all resume requests
        self.overlaps = 0  # set-ups received while another one of the same call was active
        self.received_releases: list[tuple[str, int]] = []  # call id and cause
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
        """The host and port that it listens on."""
        assert self.server is not None
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def count_set_up(self, call: str) -> None:
        """Count a received set-up."""
        self.request_counts[call] += 1
        self.active_calls[call] += 1
        self.overlaps += self.active_calls[call] > 1

    def start_task(self, coroutine: Any) -> None:
        """Run a coroutine concurrently with the reading of the connection."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self) -> None:
        """Cancel the tasks, stop listening and close the connections."""
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()


class BinaryNode(Node):
    """A stand-in exchange that speaks the platform's binary protocol."""

    circuits = GROUP_CIRCUITS

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it or the event loop ends."""
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):  # cancelled when the event loop ends
            await self.serve_messages(reader, writer)

    async def serve_messages(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the state of the trunk group, then handle messages until the connection ends."""
        self.writers.append(writer)
        decoder = peer.MessageDecoder()
        self.send_group_state(writer)
        while data := await reader.read(4096):
            for message in decoder.receive(data):
                assert isinstance(message, peer.Message)
                self.handle_message(message, writer)

    def send_group_state(self, writer: asyncio.StreamWriter) -> None:
        """Send the number of free circuits of the group: on connection, and whenever a circuit becomes free.

        A call has a circuit from its set-up to its end.
        """
        engaged_circuits = sum(count > 0 for count in self.active_calls.values())
        self.send_message(writer, peer.MessageType.GROUP_STATE, "0" * 16, {
            peer.Parameter.REPORT:
                f"x0:{max(0, self.circuits - engaged_circuits)};x1:{self.circuits};eps:0".encode()})

    def free_circuit(self, call: str, writer: asyncio.StreamWriter) -> None:
        """Free the circuit of a call, if it has one."""
        if self.active_calls.pop(call, 0):
            self.send_group_state(writer)

    def handle_message(self, message: peer.Message, writer: asyncio.StreamWriter) -> None:
        """Handle one message."""
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

    def send_message(self, writer: asyncio.StreamWriter, message_type: peer.MessageType, call: str,
                     parameters: dict[int, bytes]) -> None:
        """Send one message."""
        writer.write(peer.encode_message(peer.Message(message_type, call, parameters)))

    def send_release(self, writer: asyncio.StreamWriter, call: str, cause: int, note: bytes = b"") -> None:
        """Release an established call, or refuse a pending set-up, with a Q.850 cause."""
        self.free_circuit(call, writer)
        self.established_calls.discard(call)
        self.send_message(writer, peer.MessageType.RELEASE, call,
                 {peer.Parameter.CAUSE: bytes((cause,)), **({peer.Parameter.NOTE: note} if note else {})})

    async def respond(self, call: str, number: str, description: bytes, writer: asyncio.StreamWriter) -> None:
        """Respond to a set-up as the word before the first hyphen of the called number says.

        full, fault, busy, reset: release with a cause. silent: no response. long: answer and stay established. cut:
        answer, then release with a failure cause. Any other word: answer, then release normally after 100 ms.
        """
        await asyncio.sleep(0.01)
        behaviour = number.partition("-")[0]
        if behaviour == "full":
            self.send_release(writer, call, 34, b"throttled")
        elif behaviour == "fault":
            self.send_release(writer, call, 47)
        elif behaviour == "busy":
            self.send_release(writer, call, 17, b"engaged")
        elif behaviour == "reset":
            self.send_release(writer, call, 41)
        elif behaviour != "silent" and self.active_calls[call]:
            self.established_calls.add(call)
            self.send_message(writer, peer.MessageType.ANSWER, call,
                              {peer.Parameter.DESCRIPTION: b"answer to " + description})
            if behaviour != "long":
                await asyncio.sleep(0.1)
                if call in self.established_calls:
                    self.send_release(writer, call, 41 if behaviour == "cut" else 16)


class PartitionableNode(BinaryNode):
    """A node that can be partitioned: messages in both directions are lost, and the connections stay open."""

    def __init__(self) -> None:
        super().__init__()
        self.is_partitioned = False

    def handle_message(self, message: peer.Message, writer: asyncio.StreamWriter) -> None:
        """Drop the message while partitioned."""
        if not self.is_partitioned:
            super().handle_message(message, writer)

    def send_message(self, writer: asyncio.StreamWriter, message_type: peer.MessageType, call: str,
                     parameters: dict[int, bytes]) -> None:
        """Send nothing while partitioned."""
        if not self.is_partitioned:
            super().send_message(writer, message_type, call, parameters)


class ApiNode(Node):
    """A stand-in exchange that speaks the call-control API. Its WebSocket is wsproto's, not the router's own code."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Complete the handshake, send the state of the group, then handle messages."""
        self.writers.append(writer)
        connection, text = WSConnection(ConnectionType.SERVER), ""
        while data := await reader.read(4096):
            connection.receive_data(data)
            for event in connection.events():
                if isinstance(event, Request):
                    writer.write(connection.send(AcceptConnection()))
                    self.send_message(connection, writer, type="state", free=50, size=50, hold_back=0)
                elif isinstance(event, TextMessage):
                    text += event.data
                    if event.message_finished:
                        self.start_task(self.handle_message(json.loads(text), connection, writer))
                        text = ""

    def send_message(self, connection: WSConnection, writer: asyncio.StreamWriter, **message: Any) -> None:
        """Send one message; the keyword arguments are its fields."""
        writer.write(connection.send(Message(json.dumps(message))))

    async def handle_message(self, request: dict[str, Any], connection: WSConnection,
                             writer: asyncio.StreamWriter) -> None:
        """Handle one message; a set-up as the word before the first hyphen of the called number says."""
        call = request["id"]
        if request["type"] == "setup":
            self.count_set_up(call)
            assert request["deadline"] > time.time() * 1000
            await asyncio.sleep(0.01)
            behaviour = request["number"].split("-")[0]
            if behaviour in ("full", "fault"):
                self.active_calls[call] = 0
                message_type = "refused" if behaviour == "full" else "failed"
                self.send_message(connection, writer, type=message_type, id=call, reason="processor-full")
            elif behaviour != "silent":
                self.established_calls.add(call)
                self.send_message(connection, writer, type="answer", id=call,
                                  description="answer to " + request["description"])
                if behaviour != "long":
                    await asyncio.sleep(0.1)
                    self.active_calls[call] = 0
                    self.established_calls.discard(call)
                    self.send_message(connection, writer, type="released", id=call, cause=16)
        elif request["type"] == "resume":
            self.request_counts["resume"] += 1
            if call in self.established_calls:
                self.send_message(connection, writer, type="answer", id=call, description="still")
            else:
                self.send_message(connection, writer, type="error", id=call, code="unknown-call", reason="no such call")
        elif request["type"] in ("cancel", "release"):
            self.received_releases.append((call, request.get("cause", 0)))
            self.active_calls[call] = 0
            self.established_calls.discard(call)


class SipCaller:
    """A connection of SIP callers to the router."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.decoder = reader, writer, sip.MessageDecoder()
        self.final_responses: dict[str, list[sip.Message]] = {}  # by call id
        self.received_byes: list[str] = []  # call ids
        self.options_response_count = 0
        self.task = asyncio.get_running_loop().create_task(self.read())

    @classmethod
    async def connect(cls, port: int) -> Self:
        """Connect to the router's SIP port on loopback."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def invite(self, call: str, number: str, dest: int, wait_ms: int = 3000,
               class_name: str = "ledger-read") -> None:
        """Place a call of this service class."""
        self.writer.write(sip.encode_message(f"INVITE sip:{number}@net SIP/2.0", [
            ("Via", "SIP/2.0/TCP peer"), ("Call-ID", call), ("CSeq", "1 INVITE"), ("X-Tier", class_name),
            ("X-Deadline", str(wait_ms)), ("X-Attrs", f"dest:{dest};width:1;via:-1")],
            b"offer " + call.encode()))

    def send_request(self, method: str, call: str) -> None:
        """Send a CANCEL, BYE, ACK or OPTIONS request."""
        self.writer.write(sip.encode_message(f"{method} sip:{call}@net SIP/2.0", [
            ("Call-ID", call), ("CSeq", f"1 {method}")]))

    async def read(self) -> None:
        """Read and record messages until the connection ends, and acknowledge each final response."""
        while data := await self.reader.read(4096):
            for message in self.decoder.receive(data):
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
        """Close the connection."""
        self.writer.close()
        self.task.cancel()


class ApiCaller:
    """A client of the call-control API on one connection. Its WebSocket is wsproto's, not the router's own code."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.connection = reader, writer, WSConnection(ConnectionType.CLIENT)
        self.received_messages: list[dict[str, Any]] = []
        self.opened = asyncio.Event()
        self.close_code: int | None = None
        writer.write(self.connection.send(Request(host="127.0.0.1", target="/calls")))
        self.task = asyncio.get_running_loop().create_task(self.read())

    @classmethod
    async def connect(cls, port: int) -> Self:
        """Connect to the router's WebSocket port on loopback, and wait for the handshake."""
        caller = cls(*await asyncio.open_connection("127.0.0.1", port))
        await with_timeout(caller.opened.wait())
        return caller

    def send(self, **message: Any) -> None:
        """Send a message; the keyword arguments are its fields."""
        self.writer.write(self.connection.send(Message(json.dumps(message))))

    def set_up(self, call: str, number: str, dest: int, wait_ms: int = 3000,
               class_name: str = "ledger-read") -> None:
        """Place a call of this service class."""
        self.send(type="setup", id=call, number=number, dest=dest, description=f"offer {call}",
                  deadline=int(time.time() * 1000) + wait_ms, **{"class": class_name})

    async def read(self) -> None:
        """Read and record messages until the connection ends, and answer pings."""
        text = ""
        while data := await self.reader.read(4096):
            self.connection.receive_data(data)
            for event in self.connection.events():
                if isinstance(event, AcceptConnection):
                    self.opened.set()
                elif isinstance(event, TextMessage):
                    text += event.data
                    if event.message_finished:
                        self.received_messages.append(json.loads(text))
                        text = ""
                elif isinstance(event, Ping):
                    self.writer.write(self.connection.send(event.response()))
                elif isinstance(event, CloseConnection):
                    self.close_code = event.code

    def messages_about(self, call: str, *types: str) -> list[dict[str, Any]]:
        """Return the received messages of these types about a call."""
        return [message for message in self.received_messages
                if message.get("id") == call and message["type"] in types]

    def final_answers(self, call: str) -> list[dict[str, Any]]:
        """Return the final answers received for a call."""
        return self.messages_about(call, "answer", "refused", "failed")

    def close(self) -> None:
        """Close the TCP connection without a WebSocket close frame."""
        self.writer.close()
        self.task.cancel()


class RouterProcess:
    """The program in a process of its own, with its ports and its log. It is configured by environment and files."""

    def __init__(self, process: asyncio.subprocess.Process, sip_port: int, api_port: int, log_path: Path) -> None:
        self.process, self.sip_port, self.api_port, self.log_path = process, sip_port, api_port, log_path

    def reload_config(self, text: str) -> None:
        """Replace the configuration file, and send SIGHUP."""
        new_file = self.log_path.with_name("config.new")
        new_file.write_text(text)
        new_file.replace(self.log_path.with_name("config.json"))
        self.process.send_signal(signal.SIGHUP)

    async def wait_for_log(self, text: str, times: int = 1) -> None:
        """Wait until the log contains a text, at least so many times."""
        await wait_until(lambda: self.log_path.read_text().count(text) >= times)

    async def kill(self) -> None:
        """End the process at once, if it still runs."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def stop_and_read_counters(self) -> Counter[str]:
        """Terminate the program, check that it exits with 0, and return the counters that it prints at its end."""
        if self.process.returncode is None:
            self.process.terminate()
        return await self.wait_and_read_counters()

    async def wait_and_read_counters(self) -> Counter[str]:
        """Wait for the end of the program, check that it exits with 0, and return the counters that it prints."""
        assert await with_timeout(self.process.wait()) == 0
        line = next(x for x in self.log_path.read_text().splitlines() if x.startswith("counters "))
        return Counter({name: int(value) for name, _, value in (word.partition("=") for word in line.split()[1:])})


def free_port() -> int:
    """Return a TCP port of loopback that is not in use, and that this process has not been given lately.

    The system gives none of these ports to an outgoing connection, which would take one while its router restarts. For
    the same reason processes that run side by side begin at different ports.
    """
    first, end = PORT_RANGE
    while True:
        port = first + (os.getpid() * PORTS_OF_PROCESS + next(_PORT_COUNTER)) % (end - first)
        with socket.socket() as bound_socket, contextlib.suppress(OSError):
            bound_socket.bind(("127.0.0.1", port))
            return port


class RouterInstallation:
    """The configuration of one router in a folder, with ports of its own: it can be started any number of times.

    nodes and api_nodes are its peers and its destinations, by exchange number; gateway is text to put at the head of
    gateway.toml, bulletin the address of the bulletin service, versions the text of versions.toml, and limits the
    platform's limits, of which that of descriptors is set for the process, too. source is the folder of the program.
    """

    def __init__(self, folder: Path, nodes: dict[int, Node], api_nodes: dict[int, Node] | None = None,
                 gateway: str = "", bulletin: str = "", versions: str = "", limits: dict[str, float] | None = None,
                 name: str = "n0", source: Path = ROOT, settings: dict[str, Any] | None = None) -> None:
        self.folder, self.limits, self.name, self.source = folder, limits, name, source
        self.sip_port, self.api_port = free_port(), free_port()
        endpoints = [{"name": f"s-{number}", "address": node.address, "zone": "fes", "type": "small-node",
                      "group": number, "status": "in_service", "weight": 1, "since_ms": 0}
                     for number, node in nodes.items()]
        config = {"name": name, "listen": f"127.0.0.1:{self.sip_port}", "seed": "1f", "bulletin": bulletin,
                  "limits": limits or {}, "known": {"no": 1, "items": [{"no": 1, "roster": {
                      "index": 1, "snapshot": True, "endpoints": endpoints}}]}, "settings": settings or SETTINGS}
        (folder / "config.json").write_text(json.dumps(config))
        gateway_lines = [gateway, "[front]", f'listen = "127.0.0.1:{self.api_port}"']
        for number, node in (api_nodes or {}).items():
            gateway_lines += ["[[destination]]", f'name = "w-{number}"', f'address = "{node.address}"',
                              f"number = {number}"]
        (folder / "gateway.toml").write_text("\n".join(gateway_lines))
        (folder / "versions.toml").write_text(versions)

    async def start(self, module: str = "astertrack") -> RouterProcess:
        """Start a Python module of the program; the log of an earlier start is replaced."""
        log_path = self.folder / "log"
        with log_path.open("w") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, cwd=self.source, stderr=log_file,
                env={**os.environ, "RELAY_NAME": self.name, "RELAY_LISTEN": f"127.0.0.1:{self.sip_port}",
                     "RELAY_CONFIG": str(self.folder / "config.json"),
                     "ASTERTRACK_GATEWAY": str(self.folder / "gateway.toml"),
                     "ASTERTRACK_VERSIONS": str(self.folder / "versions.toml")})
        return RouterProcess(process, self.sip_port, self.api_port, log_path)

    async def wait_until_serving(self, router: RouterProcess) -> None:
        """Wait until a started process serves. Fails with the log's text if it ends before."""
        process, log_path = router.process, router.log_path
        await wait_until(lambda: process.returncode is not None or "event=serving" in log_path.read_text())
        assert process.returncode is None, log_path.read_text()
        if self.limits is not None:
            sockets = int(self.limits["sockets"])
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))


@contextlib.asynccontextmanager
async def running_router(nodes: dict[int, Node], api_nodes: dict[int, Node] | None = None,
                         gateway: str = "", bulletin: str = "", versions: str = "",
                         module: str = "astertrack", limits: dict[str, float] | None = None,
                         ) -> AsyncIterator[RouterProcess]:
    """Run a module of the program between stand-in exchanges, and stop all of them at the end.

    The other parameters are those of RouterInstallation.
    """
    with tempfile.TemporaryDirectory() as folder:
        installation = RouterInstallation(Path(folder), nodes, api_nodes, gateway, bulletin, versions, limits)
        router = await installation.start(module)
        try:
            await installation.wait_until_serving(router)
            yield router
        finally:
            await router.kill()
            for node in (*nodes.values(), *(api_nodes or {}).values()):
                node.stop()
