"""Server-sent events (WHATWG HTML, section 9.2) in an HTTP/1.1 response, as the bulletin and control services send."""

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

MAX_LIST_EVENT_BYTES = 64 * MAX_MESSAGE_BYTES  # of one event: the bulletin's first one holds the complete list of peers


@dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """One event; id is the last event id when it was received."""

    id: str
    data: str
    name: str = "message"


def encode_event(name: str, lines: Iterable[bytes], id: str = "") -> bytes:
    """Encode one event whose data has these lines."""
    head = f"event: {name}\n".encode() + (f"id: {id}\n".encode() if id else b"")
    return head + b"".join(b"data: " + line + b"\n" for line in lines) + b"\n"


def encode_request(path: str, host: str, last_id: str) -> bytes:
    """Encode the request for the events after last_id."""
    return (f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
            f"Last-Event-ID: {last_id}\r\nCache-Control: no-store\r\n\r\n").encode()


class EventDecoder:
    """Decodes the events of one response, whose body is chunked or lasts until the connection is closed.

    max_event_bytes limits the data of one event. Unless accepts_any_id, ids have to be integers, as in the bulletin.
    """

    def __init__(self, max_event_bytes: int = MAX_LIST_EVENT_BYTES, accepts_any_id: bool = False) -> None:
        self._accepts_any_id = accepts_any_id
        self._max_event_bytes = max_event_bytes
        self._name = "message"
        self._buffer = bytearray()
        self._body = bytearray()
        self._has_head = self._is_chunked = self.is_ended = False
        self._chunk_left = -1  # bytes of the chunk still to come, with its line end; -1: its size line comes next
        self.line_count = 0  # complete lines of the body received
        self._id = ""
        self._data: list[str] = []
        self._data_chars = 0

    @property
    def is_open(self) -> bool:
        """Whether the head of a response with status 200 was received, so that events follow."""
        return self._has_head

    @property
    def has_partial_line(self) -> bool:
        """Whether the beginning of a line has been received and its end has not."""
        return bool(self._body)

    def receive(self, data: bytes) -> list[ServerSentEvent | Malformed]:
        """Add received bytes and return the events that they complete; after Malformed nothing more is returned."""
        events: list[ServerSentEvent | Malformed] = []
        if self.is_ended:
            return events
        self._buffer += data
        try:
            if not self._has_head and not self._parse_head():
                return events
            if self._is_chunked:
                self._decode_chunks()
            else:
                self._body += self._buffer
                self._buffer.clear()
            self._parse_events(events)
        except MalformedError as error:
            self.is_ended = True
            self._buffer.clear()
            self._body.clear()
            self._data.clear()
            events.append(Malformed(str(error)))
        return events

    def _parse_head(self) -> bool:
        head = take_http_head(self._buffer)
        if head is None:
            return False
        status_line, *lines = head
        words = status_line.split(" ")
        if not words[0].startswith("HTTP/1.") or words[1:2] != ["200"]:
            raise MalformedError("the response status is not 200")
        for line in lines:
            name, _, value = line.partition(":")
            if name.strip().lower() == "transfer-encoding":
                self._is_chunked = value.strip().lower() == "chunked"
        self._has_head = True
        return True

    def _decode_chunks(self) -> None:
        while self._buffer:
            if self._chunk_left < 0:
                end = self._buffer.find(b"\r\n")
                if end < 0:
                    if len(self._buffer) > 64:
                        raise MalformedError("a chunk without a size line")
                    return
                size = bytes(self._buffer[:end]).split(b";")[0].strip()
                if not 0 < len(size) <= 6 or size.strip(b"0123456789abcdefABCDEF"):
                    raise MalformedError("the size of a chunk is not a hexadecimal number of at most 6 digits")
                self._chunk_left = int(size, 16) + 2  # with the line end after it
                del self._buffer[:end + 2]
                if self._chunk_left == 2:
                    self.is_ended = True
                    return
            part = self._buffer[:self._chunk_left]
            self._chunk_left -= len(part)
            del self._buffer[:len(part)]
            # Without those of the last two bytes of the chunk, its line end, that are in this part.
            data_length = max(0, len(part) - max(0, 2 - self._chunk_left))
            self._body += part[:data_length]
            self._chunk_left = self._chunk_left or -1

    def _parse_events(self, events: list[ServerSentEvent | Malformed]) -> None:
        *lines, rest = bytes(self._body).replace(b"\r\n", b"\n").split(b"\n")
        self._body = bytearray(rest)
        self.line_count += len(lines)
        if len(rest) > self._max_event_bytes:
            raise MalformedError("event too long")
        for raw in lines:
            line = decode_utf8(raw)
            if not line:
                if self._data:
                    events.append(ServerSentEvent(self._id, "\n".join(self._data), self._name))
                self._data, self._data_chars, self._name = [], 0, "message"
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
                self._data_chars += len(value) + 1  # with the line end, so that empty lines count, too
                if self._data_chars > self._max_event_bytes:
                    raise MalformedError("event too long")
