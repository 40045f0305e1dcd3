"""WebSocket (RFC 6455), either end of a connection: handshake, frames, messages of text.

No extension is offered or taken. Bytes in by receive, bytes out by take.
"""

from __future__ import annotations

import base64
import hashlib
import secrets
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum

from astertrack.wire.common import MAX_MESSAGE_BYTES, Malformed, MalformedError, decode_utf8

MAGIC = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"  # RFC 6455, section 1.3
CONTROL_MOST = 125  # octets of a control frame's payload


class Role(Enum):
    """Which end this is."""

    SERVER = "server"
    CLIENT = "client"


class Opcode(IntEnum):
    """Frames' opcodes."""

    CONTINUATION = 0
    TEXT = 1
    BINARY = 2
    CLOSE = 8
    PING = 9
    PONG = 10


class State(Enum):
    """A connection's states."""

    CONNECTING = "connecting"
    OPEN = "open"
    CLOSING = "closing"  # our close frame is out, the other's has not come
    CLOSED = "closed"


class CloseCode(IntEnum):
    """Why a connection is closed (RFC 6455, section 7.4.1)."""

    NORMAL = 1000
    GOING_AWAY = 1001
    PROTOCOL_ERROR = 1002
    UNSUPPORTED = 1003
    NO_STATUS = 1005  # never sent
    INVALID_DATA = 1007
    TOO_BIG = 1009


@dataclass(slots=True)
class Opened:
    """The handshake is done."""


@dataclass(slots=True)
class Text:
    """A whole message."""

    data: str


@dataclass(slots=True)
class Pong:
    """A pong, asked for or not."""

    data: bytes


@dataclass(slots=True)
class Closed:
    """The other end closes: nothing more will come."""

    code: int


Event = Opened | Text | Pong | Closed | Malformed


class _Violation(Exception):
    """What came breaks the protocol: the close code to answer with, and why."""

    def __init__(self, code: CloseCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code


def accept_token(key: str) -> str:
    """The server's proof that it read the client's key."""
    return base64.b64encode(hashlib.sha1(key.encode() + MAGIC).digest()).decode()


def mask(data: bytes, key: bytes) -> bytes:
    """Mask or unmask a payload; done on whole numbers, which is far quicker than by the octet."""
    if not data:
        return data
    pad = (key * (len(data) // 4 + 1))[:len(data)]
    return (int.from_bytes(data) ^ int.from_bytes(pad)).to_bytes(len(data))


class WebSocket:
    """One end of one connection."""

    def __init__(self, role: Role, path: str = "/", host: str = "",
                 random_bytes: Callable[[int], bytes] = secrets.token_bytes) -> None:
        self.role, self.path, self.host, self._random = role, path, host, random_bytes
        self.state = State.CONNECTING
        self._buffer = bytearray()
        self._out = bytearray()
        self._parts: bytearray | None = None  # of a message in fragments
        self._key = ""

    @property
    def has_partial_message(self) -> bool:
        """Whether a handshake, a frame or a message in fragments has begun and not ended."""
        return self.state is State.CONNECTING or bool(self._buffer) or self._parts is not None

    def take_output(self) -> bytes:
        """Return what is to be written, once."""
        out = bytes(self._out)
        self._out.clear()
        return out

    def connect(self) -> None:
        """Begin the handshake, as a client."""
        self._key = base64.b64encode(self._random(16)).decode()
        self._out += (f"GET {self.path} HTTP/1.1\r\nHost: {self.host}\r\nUpgrade: websocket\r\n"
                      f"Connection: Upgrade\r\nSec-WebSocket-Key: {self._key}\r\n"
                      "Sec-WebSocket-Version: 13\r\n\r\n").encode()

    def receive(self, data: bytes) -> list[Event]:
        """Take bytes; return what they complete. After Closed or Malformed the connection is to be closed."""
        events: list[Event] = []
        if self.state is State.CLOSED:
            return events
        self._buffer += data
        try:
            if self.state is State.CONNECTING and not self._shake(events):
                return events
            while (frame := self._frame()) is not None:
                self._take_frame(*frame, events)
        except _Violation as wrong:
            if self.state is not State.CONNECTING:
                self.close(wrong.code)
            self.state = State.CLOSED
            self._buffer.clear()
            events.append(Malformed(str(wrong)))
        return events

    # ---- handshake

    def _shake(self, events: list[Event]) -> bool:
        end = self._buffer.find(b"\r\n\r\n")
        if end > MAX_MESSAGE_BYTES or (end < 0 and len(self._buffer) > MAX_MESSAGE_BYTES):
            self._reject(431, "Request Header Fields Too Large", "head too long")
        if end < 0:
            return False
        try:
            first, *lines = decode_utf8(self._buffer[:end]).split("\r\n")
        except MalformedError as wrong:
            self._reject(400, "Bad Request", str(wrong))
        headers: dict[str, str] = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        del self._buffer[:end + 4]
        if self.role is Role.SERVER:
            self._serve(first, headers)
        else:
            self._check(first, headers)
        self.state = State.OPEN
        events.append(Opened())
        return True

    @staticmethod
    def _upgrades(headers: dict[str, str]) -> bool:
        connection = [token.strip().lower() for token in headers.get("connection", "").split(",")]
        return headers.get("upgrade", "").lower() == "websocket" and "upgrade" in connection

    def _serve(self, first: str, headers: dict[str, str]) -> None:
        words, key = first.split(" "), headers.get("sec-websocket-key", "")
        if len(words) != 3 or words[0] != "GET" or words[2] != "HTTP/1.1" or not self._upgrades(headers):
            self._reject(400, "Bad Request", "not a WebSocket handshake")
        if words[1].partition("?")[0] != self.path:
            self._reject(404, "Not Found", "no such path")
        if headers.get("sec-websocket-version") != "13":
            self._reject(426, "Upgrade Required", "not version 13")
        try:
            if len(base64.b64decode(key, validate=True)) != 16:
                raise ValueError
        except ValueError:
            self._reject(400, "Bad Request", "no key of 16 octets")
        self._out += ("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                      f"Sec-WebSocket-Accept: {accept_token(key)}\r\n\r\n").encode()

    def _check(self, first: str, headers: dict[str, str]) -> None:
        if first.split(" ")[:2] != ["HTTP/1.1", "101"] or not self._upgrades(headers):
            raise _Violation(CloseCode.PROTOCOL_ERROR, "the server does not switch protocols")
        if headers.get("sec-websocket-accept") != accept_token(self._key):
            raise _Violation(CloseCode.PROTOCOL_ERROR, "the server did not read the key")
        if "sec-websocket-extensions" in headers:
            raise _Violation(CloseCode.PROTOCOL_ERROR, "an extension that was not offered")

    def _reject(self, status: int, phrase: str, reason: str) -> None:
        if self.role is Role.SERVER:
            version = "Sec-WebSocket-Version: 13\r\n" if status == 426 else ""
            self._out += (f"HTTP/1.1 {status} {phrase}\r\n{version}Connection: close\r\n"
                          "Content-Length: 0\r\n\r\n").encode()
        raise _Violation(CloseCode.PROTOCOL_ERROR, reason)

    # ---- frames

    def _frame(self) -> tuple[bool, int, bytes] | None:
        """Cut one frame off: whether it is final, its opcode and its payload."""
        buffer = self._buffer
        if len(buffer) < 2 or self.state is State.CLOSED:
            return None
        final, opcode, masked, length = buffer[0] >> 7, buffer[0] & 15, buffer[1] >> 7, buffer[1] & 127
        if buffer[0] & 0x70:
            raise _Violation(CloseCode.PROTOCOL_ERROR, "reserved bits set")
        if opcode not in Opcode.__members__.values():
            raise _Violation(CloseCode.PROTOCOL_ERROR, "unknown opcode")
        if bool(masked) is not (self.role is Role.SERVER):
            raise _Violation(CloseCode.PROTOCOL_ERROR, "frame not masked" if not masked else "frame masked")
        if opcode >= Opcode.CLOSE and (not final or length > CONTROL_MOST):
            raise _Violation(CloseCode.PROTOCOL_ERROR, "control frame in fragments, or too long")
        at = 2 + {126: 2, 127: 8}.get(length, 0)
        if len(buffer) < at:
            return None
        if length >= 126:
            short, length = length == 126, int.from_bytes(buffer[2:at])
            if length < (126 if short else 1 << 16):
                raise _Violation(CloseCode.PROTOCOL_ERROR, "length not in its shortest form")
        if length + len(self._parts or b"") > MAX_MESSAGE_BYTES:
            raise _Violation(CloseCode.TOO_BIG, "message too long")
        whole = at + 4 * masked + length
        if len(buffer) < whole:
            return None
        payload = bytes(buffer[at + 4 * masked:whole])
        if masked:
            payload = mask(payload, bytes(buffer[at:at + 4]))
        del buffer[:whole]
        return bool(final), opcode, payload

    def _take_frame(self, final: bool, opcode: int, payload: bytes, events: list[Event]) -> None:
        if opcode == Opcode.PING:
            if self.state is State.OPEN:
                self._send(Opcode.PONG, payload)
        elif opcode == Opcode.PONG:
            events.append(Pong(payload))
        elif opcode == Opcode.CLOSE:
            self._take_close(payload, events)
        else:
            self._take_data(final, opcode, payload, events)

    def _take_data(self, final: bool, opcode: int, payload: bytes, events: list[Event]) -> None:
        if opcode == Opcode.BINARY:
            raise _Violation(CloseCode.UNSUPPORTED, "a binary message")
        if (opcode == Opcode.CONTINUATION) is (self._parts is None):
            raise _Violation(CloseCode.PROTOCOL_ERROR, "fragments out of order")
        parts = (self._parts or bytearray()) + payload
        self._parts = None if final else parts
        if final and self.state is State.OPEN:  # once closing, what still comes is passed over
            events.append(Text(self._decode(parts)))

    def _take_close(self, payload: bytes, events: list[Event]) -> None:
        code = int(CloseCode.NO_STATUS)
        if payload:
            code = int.from_bytes(payload[:2])
            self._decode(payload[2:])
            if len(payload) < 2 or not (1000 <= code <= 1014 or 3000 <= code <= 4999) or (
                    code in (1004, 1005, 1006)):
                raise _Violation(CloseCode.PROTOCOL_ERROR, "no valid close code")
        self.close(CloseCode.NORMAL if code == CloseCode.NO_STATUS else code)
        self.state = State.CLOSED
        events.append(Closed(code))

    @staticmethod
    def _decode(data: bytes | bytearray) -> str:
        try:
            return decode_utf8(data)
        except MalformedError as wrong:
            raise _Violation(CloseCode.INVALID_DATA, str(wrong)) from None

    # ---- sending

    def send(self, data: str) -> bool:
        """Send a message; False if the connection is not open."""
        if self.state is not State.OPEN:
            return False
        self._send(Opcode.TEXT, data.encode())
        return True

    def ping(self, data: bytes = b"") -> None:
        """Ask for a pong."""
        if self.state is State.OPEN:
            self._send(Opcode.PING, data)

    def close(self, code: int = CloseCode.NORMAL) -> None:
        """Send a close frame, once."""
        if self.state is State.OPEN:
            self._send(Opcode.CLOSE, struct.pack(">H", code))
            self.state = State.CLOSING

    def _send(self, opcode: Opcode, payload: bytes) -> None:
        bit = 0x80 if self.role is Role.CLIENT else 0
        self._out.append(0x80 | opcode)
        if len(payload) < 126:
            self._out.append(bit | len(payload))
        elif len(payload) < 1 << 16:
            self._out += struct.pack(">BH", bit | 126, len(payload))
        else:
            self._out += struct.pack(">BQ", bit | 127, len(payload))
        if bit:
            key = self._random(4)
            self._out += key
            payload = mask(payload, key)
        self._out += payload
