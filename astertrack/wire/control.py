"""The protocol of the control service: plan versions as server-sent events, status by POST (docs/config-versions.md).

    GET /versions?router=NAME[&full=1]      Last-Event-ID: EPOCH.NUMBER of the latest accepted version, or empty
    event: version   data: the version's header, a JSON object
    event: records   data: one record per line, some hundreds per event
    event: end       id: EPOCH.NUMBER
    POST /status     a JSON array of reports; answered with 204 once they are processed

The service sends a comment at least every second, so that a dead connection can be told from one without new versions.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import parse_qs, quote, urlsplit

from astertrack.wire import http, sse
from astertrack.wire.common import Malformed

MAX_EVENT_BYTES = 256 * 1024  # of one received event
RECORDS_EVENT_BYTES = 8 * 1024  # an event is sent once its records have this size: one is parsed in under 2 ms
VERSIONS_PATH, STATUS_PATH = "/versions", "/status"


@dataclass(frozen=True, slots=True)
class VersionHeader:
    """The header of a version, which begins it, as JSON."""

    raw: bytes


@dataclass(frozen=True, slots=True)
class VersionRecords:
    """Some of the version's records, each one line."""

    lines: list[bytes]


@dataclass(frozen=True, slots=True)
class VersionEnd:
    """The version is complete."""


Event = VersionHeader | VersionRecords | VersionEnd | Malformed


class VersionStreamDecoder:
    """Decodes what a router receives from the control service on one connection."""

    def __init__(self) -> None:
        self._decoder = sse.EventDecoder(MAX_EVENT_BYTES, accepts_any_id=True)

    @property
    def is_ended(self) -> bool:
        """Whether no more events can come: the response has ended or was malformed."""
        return self._decoder.is_ended

    @property
    def is_open(self) -> bool:
        """Whether the service has accepted the request, so that events follow."""
        return self._decoder.is_open

    @property
    def line_count(self) -> int:
        """The number of complete lines of the body received."""
        return self._decoder.line_count

    @property
    def has_partial_line(self) -> bool:
        """Whether the beginning of a line has been received and its end has not."""
        return self._decoder.has_partial_line

    def receive(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete; events with unknown names are ignored."""
        events: list[Event] = []
        for event in self._decoder.receive(data):
            if isinstance(event, Malformed):
                events.append(event)
            elif event.name == "version":
                events.append(VersionHeader(event.data.encode()))
            elif event.name == "records":
                events.append(VersionRecords(event.data.encode().split(b"\n")))
            elif event.name == "end":
                events.append(VersionEnd())
        return events


def encode_stream_request(host: str, router: str, after: str, full: bool) -> bytes:
    """Encode the request for the versions after one (EPOCH.NUMBER, or empty for all); full asks for a full version."""
    return sse.encode_request(
        f"{VERSIONS_PATH}?router={quote(router, safe='')}{'&full=1' if full else ''}", host, after)


@dataclass(frozen=True, slots=True)
class StreamRequest:
    """A router's request for the stream of versions."""

    router: str
    after: str
    full: bool


def parse_stream_request(message: http.Message) -> StreamRequest | None:
    """Parse a router's request for versions; None if the message is a different request."""
    parts = urlsplit(message.target)
    if message.method != "GET" or parts.path != VERSIONS_PATH:
        return None
    query = parse_qs(parts.query)
    return StreamRequest(
        query.get("router", [""])[0], message.headers.get("last-event-id", ""), query.get("full") == ["1"])


def encode_version(header: bytes, lines: Iterator[bytes] | list[bytes] | tuple[bytes, ...], id: str) -> Iterator[bytes]:
    """Yield the encoded events of one version; id is EPOCH.NUMBER."""
    yield sse.encode_event("version", (header,))
    batch: list[bytes] = []
    batch_bytes = 0
    for line in lines:
        batch.append(line)
        batch_bytes += len(line)
        if batch_bytes >= RECORDS_EVENT_BYTES:
            yield sse.encode_event("records", batch)
            batch, batch_bytes = [], 0
    if batch:
        yield sse.encode_event("records", batch)
    yield sse.encode_event("end", (b"{}",), id)


def encode_keep_alive() -> bytes:
    """Encode a comment, which only shows that the connection is alive."""
    return b": \n\n"
