"""The subset of HTTP/1.1 (RFC 9112) that the control service needs: one request or response per connection.

A body needs a Content-Length; transfer codings are not supported. MessageDecoder decodes the messages of both ends. For
browsers and proxies use a full HTTP library instead.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum

from astertrack.wire.common import Malformed, MalformedError, parse_integer, take_http_head

MAX_BODY_BYTES = 512 * 1024  # a batch of reports has under 128 KiB


class MessageKind(Enum):
    """Which message a decoder expects."""

    REQUEST = "request"
    RESPONSE = "response"


@dataclass(frozen=True, slots=True)
class Message:
    """A request (method and target) or a response (status, from 100 to 599); header names are in lower case."""

    method: str
    target: str
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class MessageDecoder:
    """Decodes the one message of a connection, in whatever pieces its bytes arrive."""

    def __init__(self, kind: MessageKind, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.kind, self.max_body_bytes, self.is_done = kind, max_body_bytes, False
        self._buffer = bytearray()
        self._head: Message | None = None
        self._length = 0

    def receive(self, data: bytes) -> Message | Malformed | None:
        """Add received bytes and return the message once it is complete; bytes after it are ignored."""
        if self.is_done:
            return None
        self._buffer += data
        try:
            if self._head is None and not self._parse_head():
                return None
        except MalformedError as error:
            return self._finish(Malformed(str(error)))
        if len(self._buffer) < self._length or self._head is None:
            return None
        return self._finish(replace(self._head, body=bytes(self._buffer[:self._length])))

    def _finish(self, result: Message | Malformed) -> Message | Malformed:
        self.is_done = True
        self._buffer.clear()
        return result

    def _parse_head(self) -> bool:
        head = take_http_head(self._buffer)
        if head is None:
            return False
        start_line, *lines = head
        headers: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise MalformedError("a header line without a name")
            if headers.setdefault(name.lower(), value.strip()) != value.strip() and name.lower() == "content-length":
                raise MalformedError("Content-Length headers that differ")
        if "transfer-encoding" in headers:
            raise MalformedError("a transfer coding instead of a Content-Length")
        self._length = parse_integer(headers.get("content-length", "0"), "Content-Length", 0, self.max_body_bytes)
        words = start_line.split(" ", 2)
        if self.kind is MessageKind.REQUEST:
            if len(words) != 3 or not words[0].isalpha() or not words[1].startswith("/") or words[2] != "HTTP/1.1":
                raise MalformedError("not a request line")
            self._head = Message(words[0], words[1], 0, headers)
        else:
            if len(words) < 2 or not words[0].startswith("HTTP/1."):
                raise MalformedError("not a status line")
            self._head = Message("", "", parse_integer(words[1], "status", 100, 599), headers)
        return True


def encode_request(method: str, target: str, host: str, body: bytes = b"",
                   content_type: str = "application/json") -> bytes:
    """Encode a request; the connection is closed after its response."""
    return (f"{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Type: {content_type}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def encode_response(status: int, phrase: str, body: bytes = b"", content_type: str = "application/json") -> bytes:
    """Encode a response, after which the connection is closed."""
    return (f"HTTP/1.1 {status} {phrase}\r\nContent-Type: {content_type}\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def encode_stream_head() -> bytes:
    """Encode the head of a stream of server-sent events, which lasts until the connection is closed."""
    return (b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n"
            b"Connection: close\r\n\r\n")
