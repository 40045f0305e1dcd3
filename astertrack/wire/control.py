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

EVENT_MOST = 256 * 1024  # octets of one event
PIECE_MOST = 8 * 1024  # octets of records in one event that we send: one is read in under 2 ms
VERSIONS, STATUS = "/versions", "/status"


@dataclass(frozen=True, slots=True)
class Head:
    """A version begins."""

    raw: bytes


@dataclass(frozen=True, slots=True)
class Lines:
    """Some of its records."""

    lines: list[bytes]


@dataclass(frozen=True, slots=True)
class End:
    """It is whole."""


Event = Head | Lines | End | Malformed


class Stream:
    """What a router reads from the service on one connection."""

    def __init__(self) -> None:
        self._events = sse.Client(EVENT_MOST, any_id=True)

    @property
    def ended(self) -> bool:
        """Whether nothing more can come."""
        return self._events.ended

    def receive(self, data: bytes) -> list[Event]:
        """Take bytes; return what they complete. Events of unknown names are passed over."""
        found: list[Event] = []
        for event in self._events.receive(data):
            if isinstance(event, Malformed):
                found.append(event)
            elif event.name == "version":
                found.append(Head(event.data.encode()))
            elif event.name == "records":
                found.append(Lines(event.data.encode().split(b"\n")))
            elif event.name == "end":
                found.append(End())
        return found


def ask(host: str, router: str, after: str, full: bool) -> bytes:
    """The request for the versions after one."""
    return sse.get(f"{VERSIONS}?router={quote(router, safe='')}{'&full=1' if full else ''}", host, after)


@dataclass(frozen=True, slots=True)
class Asked:
    """What a router asks of the service."""

    router: str
    after: str
    full: bool


def read_ask(message: http.Message) -> Asked | None:
    """Read a router's request for versions; None: it is none."""
    parts = urlsplit(message.target)
    if message.method != "GET" or parts.path != VERSIONS:
        return None
    query = parse_qs(parts.query)
    return Asked(query.get("router", [""])[0], message.headers.get("last-event-id", ""), query.get("full") == ["1"])


def version(head: bytes, lines: Iterator[bytes] | list[bytes] | tuple[bytes, ...], id: str) -> Iterator[bytes]:
    """Yield the events of one version."""
    yield sse.encode("version", (head,))
    piece: list[bytes] = []
    size = 0
    for line in lines:
        piece.append(line)
        size += len(line)
        if size >= PIECE_MOST:
            yield sse.encode("records", piece)
            piece, size = [], 0
    if piece:
        yield sse.encode("records", piece)
    yield sse.encode("end", (b"{}",), id)


def comment() -> bytes:
    """A sign of life."""
    return b": \n\n"
