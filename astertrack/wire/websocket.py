"""WebSocket (RFC 6455) for both ends of a connection: handshake, frames and text messages.

No extensions are offered or accepted. receive takes the bytes read, take_output returns the bytes to write.
"""

from __future__ import annotations

import base64
import hashlib
import secrets
import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum

from astertrack.wire.common import MAX_MESSAGE_BYTES, Malformed, MalformedError, decode_utf8

HANDSHAKE_GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"  # RFC 6455, section 1.3
MAX_CONTROL_PAYLOAD_BYTES = 125  # RFC 6455, section 5.5


class Role(Enum):
    """The end of the connection that a WebSocket object stands for."""

    SERVER = "server"
    CLIENT = "client"


class Opcode(IntEnum):
    """Frame opcodes (RFC 6455, section 5.2)."""

    CONTINUATION = 0
    TEXT = 1
    BINARY = 2
    CLOSE = 8
    PING = 9
    PONG = 10


class State(Enum):
    """Connection states."""

    CONNECTING = "connecting"
    OPEN = "open"
    CLOSING = "closing"  # our close frame was sent, the peer's has not been received
    CLOSED = "closed"


class CloseCode(IntEnum):
    """Why a connection is closed (RFC 6455, section 7.4.1)."""

    NORMAL = 1000
    GOING_AWAY = 1001
    PROTOCOL_ERROR = 1002
    UNSUPPORTED = 1003
    NO_STATUS = 1005  # never sent in a frame: stands for a close frame without a code
    INVALID_DATA = 1007
    TOO_BIG = 1009


@dataclass(slots=True)
class Opened:
    """The handshake is complete."""


@dataclass(slots=True)
class Text:
    """A complete text message."""

    data: str


@dataclass(slots=True)
class Pong:
    """A pong, whether it answers a ping or is unsolicited."""

    data: bytes


@dataclass(slots=True)
class Closed:
    """The peer sent a close frame: nothing more will be received."""

    code: int


Event = Opened | Text | Pong | Closed | Malformed


class _ProtocolError(Exception):
    """The input violates the protocol; code is the close code to answer with."""

    def __init__(self, code: CloseCode, reason: str) -> None:
        super().__init__(reason)
        self.code = code


def accept_token(key: str) -> str:
    """Return the value of Sec-WebSocket-Accept, which proves that the server read the key (RFC 6455, section 4.2.2)."""
    return base64.b64encode(hashlib.sha1(key.encode() + HANDSHAKE_GUID).digest()).decode()


def mask(data: bytes, key: bytes) -> bytes:
    """Mask or unmask a payload with a key of 4 bytes; XOR of two long integers is far faster than byte by byte."""
    if not data:
        return data
    padded_key = (key * (len(data) // 4 + 1))[:len(data)]
    return (int.from_bytes(data) ^ int.from_bytes(padded_key)).to_bytes(len(data))


class WebSocket:
    """One end of one connection; path, host and the further headers are those of the handshake request."""

    def __init__(self, role: Role, path: str = "/", host: str = "",
                 random_bytes: Callable[[int], bytes] = secrets.token_bytes,
                 headers: Mapping[str, str] | None = None) -> None:
        self.role, self.path, self.host, self._random_bytes = role, path, host, random_bytes
        self._headers = dict(headers or {})
        self.received_headers: dict[str, str] = {}  # of the other end's handshake, their names in lower case
        self.state = State.CONNECTING
        self._buffer = bytearray()
        self._output = bytearray()
        self._fragments: bytearray | None = None  # payload so far of a fragmented message
        self.message_count = 0  # complete messages received, with the handshake and control frames between messages
        self._key = ""  # of the handshake request that was sent; only a client has one

    @property
    def has_partial_message(self) -> bool:
        """Whether the handshake, a frame or a fragmented message is still incomplete."""
        return self.state is State.CONNECTING or bool(self._buffer) or self._fragments is not None

    def take_output(self) -> bytes:
        """Return the bytes to write and forget them."""
        output = bytes(self._output)
        self._output.clear()
        return output

    def connect(self) -> None:
        """Start the handshake as a client."""
        self._key = base64.b64encode(self._random_bytes(16)).decode()
        further_headers = "".join(f"{name}: {value}\r\n" for name, value in self._headers.items())
        self._output += (f"GET {self.path} HTTP/1.1\r\nHost: {self.host}\r\nUpgrade: websocket\r\n"
                         f"Connection: Upgrade\r\nSec-WebSocket-Key: {self._key}\r\n"
                         f"Sec-WebSocket-Version: 13\r\n{further_headers}\r\n").encode()

    def receive(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete.

        After Closed or Malformed the connection has to be closed.
        """
        events: list[Event] = []
        if self.state is State.CLOSED:
            return events
        self._buffer += data
        try:
            if self.state is State.CONNECTING and not self._receive_handshake(events):
                return events
            while (frame := self._next_frame()) is not None:
                self._handle_frame(*frame, events)
                self.message_count += self._fragments is None
        except _ProtocolError as error:
            if self.state is not State.CONNECTING:
                self.close(error.code)
            self.state = State.CLOSED
            self._buffer.clear()
            events.append(Malformed(str(error)))
        return events

    # ---- handshake

    def _receive_handshake(self, events: list[Event]) -> bool:
        head_end = self._buffer.find(b"\r\n\r\n")
        if head_end > MAX_MESSAGE_BYTES or (head_end < 0 and len(self._buffer) > MAX_MESSAGE_BYTES):
            self._reject_handshake(431, "Request Header Fields Too Large", "head too long")
        if head_end < 0:
            return False
        try:
            start_line, *lines = decode_utf8(self._buffer[:head_end]).split("\r\n")
        except MalformedError as error:
            self._reject_handshake(400, "Bad Request", str(error))
        headers: dict[str, str] = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        del self._buffer[:head_end + 4]
        if self.role is Role.SERVER:
            self._accept_request(start_line, headers)
        else:
            self._check_response(start_line, headers)
        self.state = State.OPEN
        self.message_count += 1
        self.received_headers = headers
        events.append(Opened())
        return True

    @staticmethod
    def _requests_upgrade(headers: dict[str, str]) -> bool:
        connection = [token.strip().lower() for token in headers.get("connection", "").split(",")]
        return headers.get("upgrade", "").lower() == "websocket" and "upgrade" in connection

    def _accept_request(self, start_line: str, headers: dict[str, str]) -> None:
        words, key = start_line.split(" "), headers.get("sec-websocket-key", "")
        if len(words) != 3 or words[0] != "GET" or words[2] != "HTTP/1.1" or not self._requests_upgrade(headers):
            self._reject_handshake(400, "Bad Request", "not a WebSocket handshake")
        if words[1].partition("?")[0] != self.path:
            self._reject_handshake(404, "Not Found", "no such path")
        if headers.get("sec-websocket-version") != "13":
            self._reject_handshake(426, "Upgrade Required", "the WebSocket version is not 13")
        try:
            if len(base64.b64decode(key, validate=True)) != 16:
                raise ValueError
        except ValueError:
            self._reject_handshake(400, "Bad Request", "the key is not 16 bytes in base64")
        self._output += ("HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                         f"Sec-WebSocket-Accept: {accept_token(key)}\r\n\r\n").encode()

    def _check_response(self, start_line: str, headers: dict[str, str]) -> None:
        if start_line.split(" ")[:2] != ["HTTP/1.1", "101"] or not self._requests_upgrade(headers):
            raise _ProtocolError(CloseCode.PROTOCOL_ERROR, "the server did not switch protocols")
        if headers.get("sec-websocket-accept") != accept_token(self._key):
            raise _ProtocolError(CloseCode.PROTOCOL_ERROR, "the server's accept token does not match the key")
        if "sec-websocket-extensions" in headers:
            raise _ProtocolError(CloseCode.PROTOCOL_ERROR, "an extension that was not offered")

    def _reject_handshake(self, status: int, phrase: str, reason: str) -> None:
        """Raise _ProtocolError, as a server after a response with this status."""
        if self.role is Role.SERVER:
            version = "Sec-WebSocket-Version: 13\r\n" if status == 426 else ""
            self._output += (f"HTTP/1.1 {status} {phrase}\r\n{version}Connection: close\r\n"
                             "Content-Length: 0\r\n\r\n").encode()
        raise _ProtocolError(CloseCode.PROTOCOL_ERROR, reason)

    # ---- frames

    def _next_frame(self) -> tuple[bool, int, bytes] | None:
        """Remove one frame from the buffer and return its final flag, opcode and unmasked payload.

        Returns None while the frame is incomplete.
        """
        buffer = self._buffer
        if len(buffer) < 2 or self.state is State.CLOSED:
            return None
        final, opcode, masked, length = buffer[0] >> 7, buffer[0] & 15, buffer[1] >> 7, buffer[1] & 127
        if buffer[0] & 0x70:
            raise _ProtocolError(CloseCode.PROTOCOL_ERROR, "reserved bits set")
        if opcode not in Opcode.__members__.values():
            raise _ProtocolError(CloseCode.PROTOCOL_ERROR, "unknown opcode")
        if bool(masked) is not (self.role is Role.SERVER):
            raise _ProtocolError(CloseCode.PROTOCOL_ERROR, "frame not masked" if not masked else "frame masked")
        if opcode >= Opcode.CLOSE and (not final or length > MAX_CONTROL_PAYLOAD_BYTES):
            raise _ProtocolError(CloseCode.PROTOCOL_ERROR, "control frame fragmented or too long")
        header_end = 2 + {126: 2, 127: 8}.get(length, 0)
        if len(buffer) < header_end:
            return None
        if length >= 126:
            has_16_bit_length, length = length == 126, int.from_bytes(buffer[2:header_end])
            if length < (126 if has_16_bit_length else 1 << 16):
                raise _ProtocolError(CloseCode.PROTOCOL_ERROR, "length not in its shortest form")
        if length + len(self._fragments or b"") > MAX_MESSAGE_BYTES:
            raise _ProtocolError(CloseCode.TOO_BIG, "message too long")
        frame_end = header_end + 4 * masked + length
        if len(buffer) < frame_end:
            return None
        payload = bytes(buffer[header_end + 4 * masked:frame_end])
        if masked:
            payload = mask(payload, bytes(buffer[header_end:header_end + 4]))
        del buffer[:frame_end]
        return bool(final), opcode, payload

    def _handle_frame(self, final: bool, opcode: int, payload: bytes, events: list[Event]) -> None:
        if opcode == Opcode.PING:
            if self.state is State.OPEN:
                self._send_frame(Opcode.PONG, payload)
        elif opcode == Opcode.PONG:
            events.append(Pong(payload))
        elif opcode == Opcode.CLOSE:
            self._handle_close(payload, events)
        else:
            self._handle_data(final, opcode, payload, events)

    def _handle_data(self, final: bool, opcode: int, payload: bytes, events: list[Event]) -> None:
        if opcode == Opcode.BINARY:
            raise _ProtocolError(CloseCode.UNSUPPORTED, "binary messages are not supported")
        if (opcode == Opcode.CONTINUATION) is (self._fragments is None):
            raise _ProtocolError(CloseCode.PROTOCOL_ERROR, "fragments out of order")
        message = (self._fragments or bytearray()) + payload
        self._fragments = None if final else message
        if final and self.state is State.OPEN:  # once closing, further messages are ignored
            events.append(Text(self._decode(message)))

    def _handle_close(self, payload: bytes, events: list[Event]) -> None:
        code = int(CloseCode.NO_STATUS)
        if payload:
            code = int.from_bytes(payload[:2])
            self._decode(payload[2:])
            if len(payload) < 2 or not (1000 <= code <= 1014 or 3000 <= code <= 4999) or (
                    code in (1004, 1005, 1006)):  # reserved: they may not be sent (RFC 6455, section 7.4.1)
                raise _ProtocolError(CloseCode.PROTOCOL_ERROR, "invalid close code")
        self.close(CloseCode.NORMAL if code == CloseCode.NO_STATUS else code)
        self.state = State.CLOSED
        events.append(Closed(code))

    @staticmethod
    def _decode(data: bytes | bytearray) -> str:
        try:
            return decode_utf8(data)
        except MalformedError as error:
            raise _ProtocolError(CloseCode.INVALID_DATA, str(error)) from None

    # ---- sending

    def send(self, data: str) -> bool:
        """Send a text message; returns False if the connection is not open."""
        if self.state is not State.OPEN:
            return False
        self._send_frame(Opcode.TEXT, data.encode())
        return True

    def ping(self, data: bytes = b"") -> None:
        """Send a ping, if the connection is open; the peer answers with a pong."""
        if self.state is State.OPEN:
            self._send_frame(Opcode.PING, data)

    def close(self, code: int = CloseCode.NORMAL) -> None:
        """Send a close frame, if the connection is open; only the first call has an effect."""
        if self.state is State.OPEN:
            self._send_frame(Opcode.CLOSE, struct.pack(">H", code))
            self.state = State.CLOSING

    def _send_frame(self, opcode: Opcode, payload: bytes) -> None:
        mask_bit = 0x80 if self.role is Role.CLIENT else 0
        self._output.append(0x80 | opcode)
        if len(payload) < 126:
            self._output.append(mask_bit | len(payload))
        elif len(payload) < 1 << 16:
            self._output += struct.pack(">BH", mask_bit | 126, len(payload))
        else:
            self._output += struct.pack(">BQ", mask_bit | 127, len(payload))
        if mask_bit:
            key = self._random_bytes(4)
            self._output += key
            payload = mask(payload, key)
        self._output += payload
