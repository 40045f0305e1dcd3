"""The wire of the bulletin and of the control service: an HTTP/1.1 response that holds server-sent events."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from astertrack.wire.common import (
    MAX_MESSAGE_BYTES,
    Malformed,
    MalformedError,
    decode_utf8,
    parse_integer,
    take_http_head,
)

MAX_LIST_EVENT_BYTES = 64 * MAX_MESSAGE_BYTES  # octets of one event: the first holds the whole list


@dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """One event."""

    id: str
    data: str
    name: str = "message"


def encode_event(name: str, lines: Iterable[bytes], id: str = "") -> bytes:
    """Put one event together, whose data has these lines."""
    head = f"event: {name}\n".encode() + (f"id: {id}\n".encode() if id else b"")
    return head + b"".join(b"data: " + line + b"\n" for line in lines) + b"\n"


def encode_request(path: str, host: str, last_id: str) -> bytes:
    """The request for the events after last_id."""
    return (f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
            f"Last-Event-ID: {last_id}\r\nCache-Control: no-store\r\n\r\n").encode()


class EventDecoder:
    """The events of one response, whether it is sent in chunks or until the connection ends."""

    def __init__(self, limit: int = MAX_LIST_EVENT_BYTES, accepts_any_id: bool = False) -> None:
        self._accepts_any_id = accepts_any_id  # whether an id may be something else than a whole number
        self._limit = limit  # octets of one event
        self._name = "message"
        self._buffer = bytearray()
        self._body = bytearray()
        self._lines = bytearray()
        self._headed = self._chunked = self.is_ended = False
        self._left = -1  # octets of the chunk being read; -1: its length comes next
        self._id = ""
        self._data: list[str] = []
        self._size = 0

    def receive(self, data: bytes) -> list[ServerSentEvent | Malformed]:
        """Take bytes; return the events that they complete."""
        events: list[ServerSentEvent | Malformed] = []
        if self.is_ended:
            return events
        self._buffer += data
        try:
            if not self._headed and not self._head():
                return events
            if self._chunked:
                self._unchunk()
            else:
                self._body += self._buffer
                self._buffer.clear()
            self._read(events)
        except MalformedError as wrong:
            self.is_ended = True
            events.append(Malformed(str(wrong)))
        return events

    def _head(self) -> bool:
        head = take_http_head(self._buffer)
        if head is None:
            return False
        first, *lines = head
        words = first.split(" ")
        if not words[0].startswith("HTTP/1.") or words[1:2] != ["200"]:
            raise MalformedError("no 200 in answer")
        for line in lines:
            name, _, value = line.partition(":")
            if name.strip().lower() == "transfer-encoding":
                self._chunked = value.strip().lower() == "chunked"
        self._headed = True
        return True

    def _unchunk(self) -> None:
        while self._buffer:
            if self._left < 0:
                end = self._buffer.find(b"\r\n")
                if end < 0:
                    if len(self._buffer) > 64:
                        raise MalformedError("no length of a chunk")
                    return
                size = bytes(self._buffer[:end]).split(b";")[0].strip()
                if not 0 < len(size) <= 6 or size.strip(b"0123456789abcdefABCDEF"):
                    raise MalformedError("the length of a chunk is no number")
                self._left = int(size, 16) + 2  # with the end of line behind it
                del self._buffer[:end + 2]
                if self._left == 2:
                    self.is_ended = True
                    return
            piece = self._buffer[:self._left]
            self._left -= len(piece)
            del self._buffer[:len(piece)]
            data = max(0, len(piece) - max(0, 2 - self._left))
            self._body += piece[:data]
            self._left = self._left or -1

    def _read(self, events: list[ServerSentEvent | Malformed]) -> None:
        *lines, rest = bytes(self._body).replace(b"\r\n", b"\n").split(b"\n")
        self._body = bytearray(rest)
        if len(rest) > self._limit:
            raise MalformedError("event too long")
        for raw in lines:
            line = decode_utf8(raw)
            if not line:
                if self._data:
                    events.append(ServerSentEvent(self._id, "\n".join(self._data), self._name))
                self._data, self._size, self._name = [], 0, "message"
                continue
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "id":
                if not self._accepts_any_id:
                    parse_integer(value, "id")
                self._id = value
            elif name == "event":
                self._name = value
            elif name == "data":
                self._data.append(value)
                self._size += len(value)
                if self._size > self._limit:
                    raise MalformedError("event too long")
