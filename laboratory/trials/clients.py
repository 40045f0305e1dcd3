"""Stand-in clients of both fronts, which go on using their connections until these end, and record what they see."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable

from wsproto import ConnectionType, WSConnection
from wsproto.events import AcceptConnection, CloseConnection, Message, Ping, Request, TextMessage

from astertrack.wire import sip
from astertrack.wire.common import Malformed
from laboratory.trials.records import Answer, AnswerKind, SetUpRecord

RESEND_WINDOW_S = 0.05  # a set-up that crosses the close of its connection by so much is sent once more
PIECE_BYTES = 40
PIECE_INTERVAL_S = 0.008
CONNECT_TIMEOUT_S = 2.0


class Client(asyncio.Protocol):
    """One connection of a client. Subclasses speak the protocol of a front."""

    front = ""

    def __init__(self, router: int, on_ended: Callable[[Client], None]) -> None:
        self.router, self._on_ended = router, on_ended
        self.transport: asyncio.Transport | None = None
        self.set_ups: dict[str, SetUpRecord] = {}
        self.is_ended = False
        self._unwritten: list[tuple[SetUpRecord, int]] = []  # each with the bytes written up to its end
        self._bytes_given = 0
        self._pieces: list[tuple[bytes, SetUpRecord | None]] = []  # each with the set-up that it completes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection is established."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def eof_received(self) -> None:
        """Called by asyncio when the router has closed; asyncio then closes this end."""
        self._mark_ended()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio when the connection has ended."""
        self._mark_ended()

    def _mark_ended(self) -> None:
        if self.is_ended:
            return
        self._note_written()
        self.is_ended = True
        now = time.time()
        for record in self.set_ups.values():
            if not record.answers and record.connection_ended_s is None:
                record.connection_ended_s = now
        self._on_ended(self)

    @property
    def open_set_ups(self) -> list[SetUpRecord]:
        """The set-ups that wait for an answer."""
        return [r for r in self.set_ups.values() if not r.answers and r.gave_up_s is None]

    @property
    def unwritten_bytes(self) -> int:
        """The bytes that wait in the buffer of this end, because the router does not read."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    @property
    def written_bytes(self) -> int:
        """The bytes that have left the buffer of this end."""
        return self._bytes_given - self.unwritten_bytes

    def leave(self) -> None:
        """Close the connection, which gives up what is open on it."""
        if self.is_ended:
            return
        now = time.time()
        for record in self.open_set_ups:
            record.gave_up_s = now
        if self.transport is not None:
            self.transport.close()
        self._mark_ended()

    def discard(self) -> None:
        """Close the connection at the end of the trial; nothing is noted any more."""
        self.is_ended = True
        if self.transport is not None:
            self.transport.abort()

    # ---- writing

    def set_up(self, record: SetUpRecord, dest: int, in_pieces: bool = False) -> None:
        """Write a set-up, at once or in pieces."""
        record.front, record.router = self.front, self.router
        self.set_ups[record.call] = record
        self._write(self.encode_set_up(record, dest), record, in_pieces)

    def _write(self, data: bytes, record: SetUpRecord | None = None, in_pieces: bool = False) -> None:
        """Write now, or behind the pieces that are not written yet."""
        if not in_pieces and not self._pieces:
            self._write_now(data, record)
            return
        size = PIECE_BYTES if in_pieces else len(data)
        pieces = [data[offset:offset + size] for offset in range(0, len(data), size)]
        is_idle = not self._pieces
        self._pieces += [(piece, None) for piece in pieces[:-1]]
        self._pieces.append((pieces[-1], record))
        if is_idle:
            self._write_piece()

    def _write_piece(self) -> None:
        if self.is_ended:
            self._pieces.clear()
        if self._pieces:
            self._write_now(*self._pieces[0])
            asyncio.get_running_loop().call_later(PIECE_INTERVAL_S, self._drop_piece)

    def _drop_piece(self) -> None:
        if self._pieces:
            del self._pieces[0]
        self._write_piece()

    def _write_now(self, data: bytes, record: SetUpRecord | None) -> None:
        if self.transport is None or self.is_ended or self.transport.is_closing():
            return
        self.transport.write(data)
        self._bytes_given += len(data)
        if record is not None:
            self._unwritten.append((record, self._bytes_given))
        self._note_written()

    def _note_written(self) -> None:
        """Note which set-ups have left the buffer of this end."""
        if self.transport is None:
            return
        while self._unwritten and self._unwritten[0][1] <= self.written_bytes:
            record, _ = self._unwritten.pop(0)
            record.written_s = time.time()

    def give_up(self, call: str) -> None:
        """Give up a set-up."""
        record = self.set_ups[call]
        if not record.answers and record.written_s is not None:
            record.gave_up_s = time.time()
            self._write(self.encode_cancel(call))

    def encode_set_up(self, record: SetUpRecord, dest: int) -> bytes:
        """Encode a set-up."""
        raise NotImplementedError

    def encode_cancel(self, call: str) -> bytes:
        """Encode the message that gives a set-up up."""
        raise NotImplementedError

    def _on_answer(self, call: str, kind: AnswerKind, description: bytes = b"") -> None:
        self._note_written()
        if (record := self.set_ups.get(call)) is not None:
            record.answers.append(Answer(kind, time.time(), description))


class SipClient(Client):
    """A connection of SIP callers."""

    front = "sip"

    def __init__(self, router: int, on_ended: Callable[[Client], None], on_released: Callable[[str], None]) -> None:
        super().__init__(router, on_ended)
        self.decoder, self._on_released = sip.MessageDecoder(), on_released

    def encode_set_up(self, record: SetUpRecord, dest: int) -> bytes:
        """Encode an INVITE."""
        return sip.encode_message(f"INVITE sip:{record.call}@net SIP/2.0", [
            ("Via", "SIP/2.0/TCP peer"), ("Call-ID", record.call), ("CSeq", "1 INVITE"), ("X-Tier", record.service),
            ("X-Deadline", str(round(record.wait_s * 1000))), ("X-Attrs", f"dest:{dest};width:1;via:-1")],
            b"offer " + record.call.encode())

    def encode_cancel(self, call: str) -> bytes:
        """Encode a CANCEL."""
        return self._encode_request("CANCEL", call)

    @staticmethod
    def _encode_request(method: str, call: str) -> bytes:
        return sip.encode_message(f"{method} sip:{call}@net SIP/2.0", [("Call-ID", call), ("CSeq", f"1 {method}")])

    def data_received(self, data: bytes) -> None:
        """Called by asyncio when bytes were received."""
        for message in self.decoder.receive(data):
            if isinstance(message, Malformed):
                for record in self.open_set_ups:
                    self._on_answer(record.call, AnswerKind.UNREADABLE)
                return
            self._on_message(message)

    def _on_message(self, message: sip.Message) -> None:
        call, cseq = message.headers.get("call-id", ""), message.headers.get("cseq", "")
        if message.method == "BYE":
            self._on_released(call)
            self._write(sip.encode_message("SIP/2.0 200 OK", [("Call-ID", call), ("CSeq", cseq)]))
        elif cseq.endswith("INVITE") and message.status >= 200:
            kind = (AnswerKind.SERVED if message.status == 200 else
                    AnswerKind.REFUSED if message.status in (503, 480) else AnswerKind.FAILED)
            self._on_answer(call, kind, message.body)
            self._write(self._encode_request("ACK", call))


class ApiClient(Client):
    """A connection of a client of the call-control API. Its WebSocket is wsproto's, not the router's own code."""

    front = "api"

    def __init__(self, router: int, on_ended: Callable[[Client], None], on_released: Callable[[str], None]) -> None:
        super().__init__(router, on_ended)
        self.connection, self._text, self._on_released = WSConnection(ConnectionType.CLIENT), "", on_released
        self.opened = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection is established: begin the handshake."""
        super().connection_made(transport)
        self._write_now(self.connection.send(Request(host="127.0.0.1", target="/calls")), None)

    def _mark_ended(self) -> None:
        super()._mark_ended()
        self.opened.set()

    def encode_set_up(self, record: SetUpRecord, dest: int) -> bytes:
        """Encode a setup message."""
        return self._encode(type="setup", id=record.call, number=record.call, dest=dest,
                            description=f"offer {record.call}", deadline=round((time.time() + record.wait_s) * 1000),
                            new_id=True, **{"class": record.service})

    def encode_cancel(self, call: str) -> bytes:
        """Encode a cancel message."""
        return self._encode(type="cancel", id=call)

    def resume(self, call: str) -> None:
        """Ask for the state of a call from an earlier connection."""
        self._write(self._encode(type="resume", id=call))

    def _encode(self, **message: object) -> bytes:
        return self.connection.send(Message(json.dumps(message)))

    def data_received(self, data: bytes) -> None:
        """Called by asyncio when bytes were received."""
        self.connection.receive_data(data)
        for event in self.connection.events():
            if isinstance(event, AcceptConnection):
                self.opened.set()
            elif isinstance(event, Ping):
                self._write(self.connection.send(event.response()))
            elif isinstance(event, CloseConnection):
                self._mark_ended()
                if self.transport is not None:
                    self.transport.close()
            elif isinstance(event, TextMessage):
                self._text += event.data
                if event.message_finished:
                    text, self._text = self._text, ""
                    self._on_message(json.loads(text))

    def _on_message(self, message: dict[str, str]) -> None:
        """Handle a message; a call that the router does not know when it is resumed is over."""
        kinds = {"answer": AnswerKind.SERVED, "refused": AnswerKind.REFUSED, "failed": AnswerKind.FAILED}
        if message["type"] in kinds:
            self._on_answer(message["id"], kinds[message["type"]], message.get("description", "").encode())
        elif message["type"] == "released" or message.get("code") == "unknown-call":
            self._on_released(message["id"])


async def connect(make_client: Callable[[], Client], port: int) -> Client | None:
    """Connect a client; return None if nobody listens."""
    with contextlib.suppress(OSError, asyncio.TimeoutError):
        _, client = await asyncio.wait_for(
            asyncio.get_running_loop().create_connection(make_client, "127.0.0.1", port), CONNECT_TIMEOUT_S)
        if isinstance(client, ApiClient):
            await asyncio.wait_for(client.opened.wait(), CONNECT_TIMEOUT_S)
        return client if not client.is_ended else None
    return None
