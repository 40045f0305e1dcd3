"""A control service for small installations: serves the versions of a catalogue, and hears what routers report."""

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
from astertrack.versions.offering import Catalogue, Ledger, read_reports
from astertrack.wire import control, http
from astertrack.wire.common import Malformed

log = structlog.get_logger()
COMMENT_US = 1_000_000  # between signs of life
ASK_US = 5_000_000  # a request not whole after so long is given up
CONNECTIONS_MOST = 2_000


@implementer(IPullProducer)
class Router(StreamProtocol):
    """One connection: a stream of versions, or one message of status."""

    def __init__(self, service: VersionService) -> None:
        self.service = service
        self.reader = http.Reader(http.Kind.REQUEST)
        self.asked: control.Asked | None = None
        self.sent = ""  # the version that it has been sent last
        self.queue: deque[Iterator[bytes]] = deque()
        self.producing = False

    def connectionMade(self) -> None:
        """Twisted's hook: the connection is up."""
        super().connectionMade()
        self.service.connections.add(self)
        clock = self.service.clock
        clock.call_at(clock.now_us() + ASK_US, self._overdue)

    def _overdue(self) -> None:
        if not self.reader.done:
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted's hook: the connection has ended."""
        self.is_closed = True
        self.queue.clear()
        self.service.connections.discard(self)
        self.service.streams.discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Twisted's hook: bytes came."""
        message = self.reader.receive(data)
        if message is None:
            return
        if isinstance(message, Malformed):
            self.service.counts["malformed"] += 1
            self._answer(400, "Bad Request", message.reason.encode())
        elif (asked := control.read_ask(message)) is not None:
            self.asked, self.sent = asked, asked.after
            self.service.counts["streams"] += 1
            self.service.streams.add(self)
            self.write(http.stream())
            self.offer(asked.full)
        elif message.target == control.STATUS and message.method == "POST":
            self._status(message.body)
        elif message.target == control.STATUS and message.method == "GET":
            self._answer(200, "OK", msgspec.json.encode(list(self.service.ledger.rows())))
        else:
            self._answer(404, "Not Found", b"no such thing here")

    def _status(self, body: bytes) -> None:
        try:
            reports = read_reports(body)
        except ValueError as wrong:
            self.service.counts["reports_unreadable"] += 1
            self._answer(400, "Bad Request", str(wrong).encode())
            return
        self.service.hear(reports)
        self._answer(204, "No Content")

    def _answer(self, status: int, phrase: str, body: bytes = b"") -> None:
        self.write(http.response(status, phrase, body))
        self.close()

    def offer(self, full: bool = False) -> None:
        """Send what is newer than what it was sent last."""
        document = self.service.catalogue.next_for(self.sent, full)
        if document is not None:
            self.sent = str(document.header.id)
            self.send(document)

    def send(self, document: Document) -> None:
        """Send a version, as fast as it is read."""
        header = document.header
        self.queue.append(control.version(write_header(header), document.lines, str(header.id)))
        transport: Any = self.transport
        if not self.producing and transport is not None:
            self.producing = True
            transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Twisted's hook: there is room for the next event."""
        transport: Any = self.transport
        while self.queue:
            event = next(self.queue[0], None)
            if event is not None:
                self.write(event)
                return
            self.queue.popleft()
        self.producing = False
        transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Twisted's hook: the connection has ended."""
        self.queue.clear()

    def comment(self) -> None:
        """Give a sign of life, unless versions are under way."""
        if not self.producing:
            self.write(control.comment())


class VersionService(Factory):
    """All connections of a control service."""

    noisy = False

    def __init__(self, catalogue: Catalogue, clock: ReactorClock) -> None:
        self.catalogue, self.clock, self.ledger = catalogue, clock, Ledger()
        self.counts: Counter[str] = Counter()
        self.connections: set[Router] = set()
        self.streams: set[Router] = set()
        clock.call_at(clock.now_us() + COMMENT_US, self._comment)

    def buildProtocol(self, addr: IAddress | None) -> Router | None:
        """Twisted's hook for a new connection; None refuses it."""
        if len(self.connections) >= CONNECTIONS_MOST:
            self.counts["connections_refused"] += 1
            return None
        return Router(self)

    def _comment(self) -> None:
        for stream in list(self.streams):
            stream.comment()
        self.clock.call_at(self.clock.now_us() + COMMENT_US, self._comment)

    def publish(self, id: VersionId, plan: Any, in_force_ms: int = 0) -> None:
        """Publish a version, and send it to every router that listens. Raises ValueError if it is out of order."""
        self.catalogue.publish(id, plan, in_force_ms)
        for stream in list(self.streams):
            stream.offer()

    def hear(self, reports: list[Report]) -> None:
        """Take what a router reports."""
        for report in self.ledger.hear(reports):
            log.info("report", router=report.router, version=f"{report.epoch}.{report.number}", stand=report.stand,
                     reason=report.reason, path=report.path, expected=report.expected)
