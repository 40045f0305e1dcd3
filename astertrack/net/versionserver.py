"""A control service for small installations: sends the versions of its catalogue and records the routers' reports."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator
from typing import Any

import msgspec
import structlog
from twisted.internet.interfaces import IAddress, IPullProducer
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]  # it has no stubs

from astertrack.net.base import StreamProtocol
from astertrack.net.clock import ReactorClock
from astertrack.versions import Document, Report, VersionId, write_header
from astertrack.versions.offering import Catalogue, ReportLog, read_reports
from astertrack.wire import control, http
from astertrack.wire.common import Malformed

log = structlog.get_logger()
KEEP_ALIVE_INTERVAL_US = 1_000_000  # between the comments that show a router that its stream is alive
REQUEST_TIMEOUT_US = 5_000_000  # a connection without a complete request is then closed
MAX_CONNECTIONS = 2_000


@implementer(IPullProducer)
class RouterConnection(StreamProtocol):
    """One connection from a router: a stream of versions, or one status message."""

    def __init__(self, service: VersionService) -> None:
        self.service = service
        self.decoder = http.MessageDecoder(http.MessageKind.REQUEST)
        self.stream_request: control.StreamRequest | None = None
        self.last_sent = ""  # id of the version sent last; at first the one that the router has; empty: none
        self.queue: deque[Iterator[bytes]] = deque()
        self.is_producing = False

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established."""
        super().connectionMade()
        self.service.connections.add(self)
        clock = self.service.clock
        clock.call_at(clock.now_us() + REQUEST_TIMEOUT_US, self._on_request_timeout)

    def _on_request_timeout(self) -> None:
        if not self.decoder.is_done:
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted when the connection has ended."""
        self.is_closed = True
        self.queue.clear()
        self.service.connections.discard(self)
        self.service.streams.discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when bytes were received."""
        message = self.decoder.receive(data)
        if message is None:
            return
        if isinstance(message, Malformed):
            self.service.counts["malformed"] += 1
            self._respond(400, "Bad Request", message.reason.encode())
        elif (stream_request := control.parse_stream_request(message)) is not None:
            self.stream_request, self.last_sent = stream_request, stream_request.after
            self.service.counts["streams"] += 1
            self.service.streams.add(self)
            self.write(http.encode_stream_head())
            self.send_next(stream_request.full)
        elif message.target == control.STATUS_PATH and message.method == "POST":
            self._on_status(message.body)
        elif message.target == control.STATUS_PATH and message.method == "GET":
            self._respond(200, "OK", msgspec.json.encode(list(self.service.report_log.latest_reports())))
        else:
            self._respond(404, "Not Found", b"no such thing here")

    def _on_status(self, body: bytes) -> None:
        try:
            reports = read_reports(body)
        except ValueError as error:
            self.service.counts["reports_unreadable"] += 1
            self._respond(400, "Bad Request", str(error).encode())
            return
        self.service.record_reports(reports)
        self._respond(204, "No Content")

    def _respond(self, status: int, phrase: str, body: bytes = b"") -> None:
        self.write(http.encode_response(status, phrase, body))
        self.close()

    def send_next(self, full: bool = False) -> None:
        """Send the version that follows the one sent last, if there is one."""
        document = self.service.catalogue.document_for(self.last_sent, full)
        if document is not None:
            self.last_sent = str(document.header.id)
            self.send_version(document)

    def send_version(self, document: Document) -> None:
        """Send a version, as fast as the router reads it."""
        header = document.header
        self.queue.append(control.encode_version(write_header(header), document.lines, str(header.id)))
        transport: Any = self.transport
        if not self.is_producing and transport is not None:
            self.is_producing = True
            transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Called by Twisted when the write buffer has room for the next event."""
        transport: Any = self.transport
        while self.queue:
            event = next(self.queue[0], None)
            if event is not None:
                self.write(event)
                return
            self.queue.popleft()
        self.is_producing = False
        transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Called by Twisted when the connection has ended."""
        self.queue.clear()

    def send_keep_alive(self) -> None:
        """Send a comment, which shows that the stream is alive, unless a version is being sent."""
        if not self.is_producing:
            self.write(control.encode_keep_alive())


class VersionService(Factory):
    """All connections of a control service."""

    noisy = False

    def __init__(self, catalogue: Catalogue, clock: ReactorClock) -> None:
        self.catalogue, self.clock, self.report_log = catalogue, clock, ReportLog()
        self.counts: Counter[str] = Counter()
        self.connections: set[RouterConnection] = set()
        self.streams: set[RouterConnection] = set()
        clock.call_at(clock.now_us() + KEEP_ALIVE_INTERVAL_US, self._send_keep_alives)

    def buildProtocol(self, addr: IAddress | None) -> RouterConnection | None:
        """Called by Twisted when a connection is accepted; None refuses it."""
        if len(self.connections) >= MAX_CONNECTIONS:
            self.counts["connections_refused"] += 1
            return None
        return RouterConnection(self)

    def _send_keep_alives(self) -> None:
        for stream in list(self.streams):
            stream.send_keep_alive()
        self.clock.call_at(self.clock.now_us() + KEEP_ALIVE_INTERVAL_US, self._send_keep_alives)

    def publish(self, id: VersionId, plan: Any, in_force_ms: int = 0) -> None:
        """Publish a version and send it to all connected routers. Raises ValueError if it is out of order."""
        self.catalogue.publish(id, plan, in_force_ms)
        for stream in list(self.streams):
            stream.send_next()

    def record_reports(self, reports: list[Report]) -> None:
        """Record a router's reports, and log the new ones."""
        for report in self.report_log.add(reports):
            log.info("report", router=report.router, version=f"{report.epoch}.{report.number}", stand=report.stand,
                     reason=report.reason, path=report.path, expected=report.expected)
