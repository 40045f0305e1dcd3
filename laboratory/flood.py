"""One sender at full speed, in a process of its own: a client of a front, or a server that the router connects to.

A client connects to a port and sends for some seconds. A server prints its port, and sends on each connection, also for
some seconds, once a line arrives on its input. Both read whatever they are sent. The last output line is a JSON object.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import random
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator

import click
from wsproto import ConnectionType, WSConnection
from wsproto.events import AcceptConnection, Message, Ping, Request

from astertrack.wire import peer, sip

HOST = "127.0.0.1"
BATCH_MESSAGES = 50  # written at once
FAR_FUTURE_MS = 2**50
Encode = Callable[[str], bytes]  # of the message for one new call id


def encode_invite(call: str, class_name: str = "ledger-read", attrs: str = "dest:1;width:1;via:-1") -> bytes:
    """Encode a set-up of the SIP front."""
    return sip.encode_message("INVITE sip:good@net SIP/2.0", [
        ("Via", "SIP/2.0/TCP peer"), ("Call-ID", call), ("CSeq", "1 INVITE"), ("X-Tier", class_name),
        ("X-Deadline", "3000"), ("X-Attrs", attrs)], b"offer")


def encode_request(method: str, call: str) -> bytes:
    """Encode another request of the SIP front."""
    return sip.encode_message(f"{method} sip:{call}@net SIP/2.0", [("Call-ID", call), ("CSeq", f"2 {method}")])


SIP_MESSAGES: dict[str, Encode] = {
    "sip-sound": encode_invite,
    "sip-class": lambda call: encode_invite(call, f"class-{call}"),
    "sip-attributes": lambda call: encode_invite(call, attrs=f"dest:{call}"),
    "sip-options": lambda call: encode_request("OPTIONS", call),
    "sip-bye": lambda call: encode_request("BYE", call),
    "sip-withdrawn": lambda call: encode_invite(call) + encode_request("CANCEL", call),
}


def encode_set_up(call: str, class_name: str = "ledger-read", deadline_ms: int = FAR_FUTURE_MS) -> str:
    """Encode a set-up of the call-control API."""
    return json.dumps({"type": "setup", "id": call, "class": class_name, "number": "good", "dest": 1,
                       "deadline": deadline_ms, "description": "offer", "new_id": True})


API_TEXTS: dict[str, Callable[[str], str]] = {
    "api-sound": encode_set_up,
    "api-late": lambda call: encode_set_up(call, deadline_ms=1),
    "api-class": lambda call: encode_set_up(call, f"class-{call}"),
    "api-release": lambda call: json.dumps({"type": "release", "id": call}),
    "api-resume": lambda call: json.dumps({"type": "resume", "id": call}),
    "api-cancel": lambda call: json.dumps({"type": "cancel", "id": call}),
    "api-not-json": lambda call: "no json",
    "api-withdrawn": encode_set_up,  # and a cancel, see below
}
API_CLIENTS = (*API_TEXTS, "api-ping")

LOAD_REPORT: dict[int, bytes] = {peer.Parameter.REPORT: b"x0:50;x1:100;eps:0"}
PEER_MESSAGES: dict[str, tuple[peer.MessageType, dict[int, bytes]]] = {
    "peer-state": (peer.MessageType.GROUP_STATE, {**LOAD_REPORT}),
    "peer-answer": (peer.MessageType.ANSWER, {peer.Parameter.DESCRIPTION: b"answer"}),
    "peer-release": (peer.MessageType.RELEASE, {peer.Parameter.CAUSE: b"\x10"}),
    "peer-progress": (peer.MessageType.PROGRESS, {}),
}
DESTINATION_TEXTS: dict[str, Callable[[str], str]] = {
    "destination-state": lambda call: json.dumps({"type": "state", "free": 50, "size": 100, "hold_back": 0}),
    "destination-error": lambda call: json.dumps({"type": "error", "id": call, "code": "unknown-call", "reason": "no"}),
    "destination-released": lambda call: json.dumps({"type": "released", "id": call, "cause": 16}),
    "destination-not-json": lambda call: "no json",
}
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


def encode_roster_event(number: int, name: str) -> bytes:
    """Encode an event of the bulletin that adds one peer, at an address where nothing listens."""
    event = {"no": number, "roster": {"index": number, "snapshot": False, "endpoints": [
        {"name": name, "address": f"{HOST}:1", "zone": "fes", "type": "small-node", "group": 9,
         "status": "terminating", "weight": 1, "since_ms": 0}]}}
    return f"id: {number}\ndata: {json.dumps(event)}\n\n".encode()


STREAM_EVENTS: dict[str, Callable[[int], bytes]] = {
    "bulletin-comment": lambda number: b": hello\n\n",
    "bulletin-empty-lines": lambda number: b"data:\n",
    "bulletin-repeated": lambda number: encode_roster_event(2, "s-9"),
    "bulletin-events": lambda number: encode_roster_event(number + 2, "s-9"),
    "bulletin-names": lambda number: encode_roster_event(number + 2, f"s-{number + 10}"),
    "bulletin-malformed": lambda number: f"id: {number + 2}\ndata: [\n\n".encode(),
    "control-comment": lambda number: b": hello\n\n",
    "control-empty-lines": lambda number: b"data:\n",
    "control-malformed": lambda number: b"event: version\ndata: {\n\nevent: end\ndata: {}\n\n",
}
MODES = (*SIP_MESSAGES, *API_CLIENTS, *PEER_MESSAGES, *DESTINATION_TEXTS, *STREAM_EVENTS)


def discard_input(connection: socket.socket) -> None:
    """Read until the other end closes."""
    with contextlib.suppress(OSError):
        while connection.recv(1 << 16):
            pass


def send_for(connection: socket.socket, messages: Iterator[bytes], seconds: float) -> int:
    """Send messages as fast as the other end reads them; return how many were sent."""
    threading.Thread(target=discard_input, args=(connection,), daemon=True).start()
    end_s, sent = time.monotonic() + seconds, 0
    connection.settimeout(1.0)
    while time.monotonic() < end_s:
        batch = b"".join(itertools.islice(messages, BATCH_MESSAGES))
        try:
            connection.sendall(batch)
        except TimeoutError:
            break  # a part of the batch was sent: no whole message can follow
        except OSError:
            break
        sent += BATCH_MESSAGES
    return sent


def new_call_ids(rng: random.Random) -> Iterator[str]:
    """Yield call ids, each once."""
    while True:
        yield f"{rng.getrandbits(64):016x}"


def complete_handshake(connection: socket.socket, is_server: bool) -> WSConnection:
    """Complete the handshake of a WebSocket; return its state."""
    websocket = WSConnection(ConnectionType.SERVER if is_server else ConnectionType.CLIENT)
    if not is_server:
        connection.sendall(websocket.send(Request(host=HOST, target="/calls")))
    received_s = time.monotonic()
    while time.monotonic() < received_s + 5.0:
        websocket.receive_data(connection.recv(1 << 16))
        for event in websocket.events():
            if isinstance(event, Request):
                connection.sendall(websocket.send(AcceptConnection()))
                return websocket
            if isinstance(event, AcceptConnection):
                return websocket
    raise TimeoutError


def make_messages(mode: str, connection: socket.socket, rng: random.Random) -> Iterator[bytes]:
    """Begin the conversation on a connection, and return the endless messages of a mode."""
    calls = new_call_ids(rng)
    if mode in SIP_MESSAGES:
        return map(SIP_MESSAGES[mode], calls)
    if mode in API_CLIENTS or mode in DESTINATION_TEXTS:
        websocket = complete_handshake(connection, mode in DESTINATION_TEXTS)
        if mode == "api-ping":
            return (websocket.send(Ping()) for _ in calls)
        if mode == "api-withdrawn":
            return (websocket.send(Message(encode_set_up(call)))
                    + websocket.send(Message(json.dumps({"type": "cancel", "id": call}))) for call in calls)
        encode = API_TEXTS.get(mode) or DESTINATION_TEXTS[mode]
        return (websocket.send(Message(encode(call))) for call in calls)
    if mode in PEER_MESSAGES:
        kind, parameters = PEER_MESSAGES[mode]
        connection.sendall(peer.encode_message(peer.Message(peer.MessageType.GROUP_STATE, "0" * 16, {**LOAD_REPORT})))
        return (peer.encode_message(peer.Message(kind, call, parameters)) for call in calls)
    connection.recv(1 << 16)  # the request
    connection.sendall(STREAM_HEAD)
    return map(STREAM_EVENTS[mode], itertools.count())


def flood_as_client(mode: str, port: int, seconds: float, rng: random.Random) -> int:
    """Connect and send; return the number of messages sent."""
    with socket.create_connection((HOST, port)) as connection:
        return send_for(connection, make_messages(mode, connection, rng), seconds)


def flood_as_server(mode: str, seconds: float, rng: random.Random) -> int:
    """Send on each connection; return the number of messages sent. Connections before the start stay open."""
    totals: list[int] = []
    started = threading.Event()

    def serve(connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            messages = make_messages(mode, connection, random.Random(rng.getrandbits(32)))
            started.wait()
            totals.append(send_for(connection, messages, max(0.0, end_s[0] - time.monotonic())))

    def accept() -> None:
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=serve, args=(connection,), daemon=True).start()

    end_s = [0.0]
    listener = socket.create_server((HOST, 0))
    print(json.dumps({"port": listener.getsockname()[1]}), flush=True)
    threading.Thread(target=accept, daemon=True).start()
    sys.stdin.readline()
    end_s[0] = time.monotonic() + seconds
    started.set()
    time.sleep(seconds + 1.5)
    return sum(totals)


@click.command()
@click.option("--mode", type=click.Choice(MODES), required=True)
@click.option("--port", type=int, default=0, help="Of the front; servers listen on a free one.")
@click.option("--seconds", type=float, default=10.0)
@click.option("--seed", type=int, default=1)
def main(mode: str, port: int, seconds: float, seed: int) -> None:
    """Send at full speed."""
    rng = random.Random(seed)
    sent = flood_as_client(mode, port, seconds, rng) if port else flood_as_server(mode, seconds, rng)
    print(json.dumps({"sent": sent}), flush=True)


if __name__ == "__main__":
    main()
