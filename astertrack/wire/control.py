"""The control wire: versions of the plan as server-sent events, and status by POST (docs/config-versions.md).

    GET /versions?router=NAME[&full=1]      Last-Event-ID: EPOCH.NUMBER, the latest version accepted, or nothing
    event: version   data: the head, a JSON object
    event: records   data: one record a line, some hundreds an event
    event: end       id: EPOCH.NUMBER
    POST /status     a JSON array of reports; 204 once they are heard

A comment comes at least every second, so that a stream that is open and dead is told from one that has no news.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import parse_qs, quote, urlsplit

from astertrack.wire import http, sse
from astertrack.wire.common import Malformed

MAX_EVENT_BYTES = 256 * 1024  # octets of one event
RECORDS_EVENT_BYTES = 8 * 1024  # octets of records in one event that we send: one is read in under 2 ms
VERSIONS_PATH, STATUS_PATH = "/versions", "/status"


@dataclass(frozen=True, slots=True)
class VersionHead:
    """A version begins."""

    raw: bytes


@dataclass(frozen=True, slots=True)
class VersionRecords:
    """Some of its records."""

    lines: list[bytes]


@dataclass(frozen=True, slots=True)
class VersionEnd:
    """It is whole."""


Event = VersionHead | VersionRecords | VersionEnd | Malformed


class VersionStreamDecoder:
    """What a router reads from the service on one connection."""

    def __init__(self) -> None:
        self._events = sse.EventDecoder(MAX_EVENT_BYTES, accepts_any_id=True)

    @property
    def is_ended(self) -> bool:
        """Whether nothing more can come."""
        return self._events.is_ended

    def receive(self, data: bytes) -> list[Event]:
        """Take bytes; return what they complete. Events of unknown names are passed over."""
        found: list[Event] = []
        for event in self._events.receive(data):
            if isinstance(event, Malformed):
                found.append(event)
            elif event.name == "version":
                found.append(VersionHead(event.data.encode()))
            elif event.name == "records":
                found.append(VersionRecords(event.data.encode().split(b"\n")))
            elif event.name == "end":
                found.append(VersionEnd())
        return found


def encode_stream_request(host: str, router: str, after: str, full: bool) -> bytes:
    """The request for the versions after one."""
    return sse.encode_request(
        f"{VERSIONS_PATH}?router={quote(router, safe='')}{'&full=1' if full else ''}", host, after)


@dataclass(frozen=True, slots=True)
class StreamRequest:
    """What a router asks of the service."""

    router: str
    after: str
    full: bool


def parse_stream_request(message: http.Message) -> StreamRequest | None:
    """Read a router's request for versions; None: it is none."""
    parts = urlsplit(message.target)
    if message.method != "GET" or parts.path != VERSIONS_PATH:
        return None
    query = parse_qs(parts.query)
    return StreamRequest(
        query.get("router", [""])[0], message.headers.get("last-event-id", ""), query.get("full") == ["1"])


def encode_version(head: bytes, lines: Iterator[bytes] | list[bytes] | tuple[bytes, ...], id: str) -> Iterator[bytes]:
    """Yield the events of one version."""
    yield sse.encode_event("version", (head,))
    piece: list[bytes] = []
    size = 0
    for line in lines:
        piece.append(line)
        size += len(line)
        if size >= RECORDS_EVENT_BYTES:
            yield sse.encode_event("records", piece)
            piece, size = [], 0
    if piece:
        yield sse.encode_event("records", piece)
    yield sse.encode_event("end", (b"{}",), id)


def encode_keep_alive() -> bytes:
    """A sign of life."""
    return b": \n\n"
