"""Sends a router's reports on versions to the control service, in batches, each on a connection of its own."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import structlog
from twisted.internet.error import TimeoutError
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from astertrack.core.model import Timer
from astertrack.net.base import StreamProtocol, is_failure_of_type
from astertrack.net.clock import ReactorClock
from astertrack.versions import Outbox, Report
from astertrack.versions.offering import write_reports
from astertrack.wire import control, http
from astertrack.wire.common import Malformed

log = structlog.get_logger()
# For a connection, and for the response on it. Doubles with each time-out: a service that needs longer than the minimum
# would otherwise never acknowledge a report.
MIN_TIMEOUT_US, MAX_TIMEOUT_US = 3_000_000, 60_000_000
NO_RESPONSE = 0  # in place of an HTTP status


class _ReportConnection(StreamProtocol):
    """One connection on which one batch of reports is sent."""

    def __init__(self, sender: ReportSender, batch: tuple[Report, ...]) -> None:
        self.sender, self.batch = sender, batch
        self.decoder = http.MessageDecoder(http.MessageKind.RESPONSE)
        self._timer: Timer | None = None

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established: send the batch."""
        super().connectionMade()
        self.write(http.encode_request("POST", control.STATUS_PATH, self.sender.address(), write_reports(self.batch)))
        clock = self.sender.clock
        self._timer = clock.call_at(clock.now_us() + self.sender.timeout_us, self._on_timeout)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when bytes were received."""
        response = self.decoder.receive(data)
        if response is not None:
            self._end(NO_RESPONSE if isinstance(response, Malformed) else response.status)

    def _on_timeout(self) -> None:
        """Fail: the service may have received the batch, but it is sent again."""
        self.sender.on_timeout()
        self._end(NO_RESPONSE)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted when the connection has ended, possibly before a response."""
        self._end(NO_RESPONSE)

    def _end(self, status: int) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.sender.on_response(self.batch, status)
        self.abort()


class _ReportFactory(ClientFactory):
    """The factory of one connection."""

    noisy = False

    def __init__(self, sender: ReportSender, batch: tuple[Report, ...]) -> None:
        self.sender, self.batch = sender, batch

    def buildProtocol(self, addr: IAddress | None) -> StreamProtocol:
        """Called by Twisted when the connection is established."""
        return _ReportConnection(self.sender, self.batch)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Called by Twisted when the connection cannot be established."""
        if is_failure_of_type(reason, TimeoutError):
            self.sender.on_timeout()
        self.sender.on_response(self.batch, NO_RESPONSE)


class ReportSender:
    """Sends what is due in an outbox. `address` returns the service's present host:port, or "" for none."""

    def __init__(self, outbox: Outbox, address: Callable[[], str], clock: ReactorClock, counts: Counter[str]) -> None:
        self.outbox, self.address, self.clock, self.counts = outbox, address, clock, counts
        self.timeout_us = MIN_TIMEOUT_US

    def send_due(self) -> None:
        """Send the next batch, if one is due and there is a service."""
        address = self.address()
        batch = self.outbox.take_batch(self.clock.now_us()) if address else ()
        if not batch:
            return
        self.counts["control_status_sent"] += 1
        host, _, port = address.rpartition(":")
        self.clock.reactor.connectTCP(host, int(port), _ReportFactory(self, batch), timeout=self.timeout_us / 1e6)

    def on_timeout(self) -> None:
        """Give the service more time for the next batch."""
        self.timeout_us = min(MAX_TIMEOUT_US, 2 * self.timeout_us)

    def on_response(self, batch: tuple[Report, ...], status: int) -> None:
        """Process the HTTP status of the response to a batch, or NO_RESPONSE."""
        if 200 <= status < 300:
            self.counts["control_reports_heard"] += len(batch)
            self.outbox.acknowledge(batch)
        elif status == 400:  # it would be rejected the next time, too
            self.counts["control_reports_unreadable"] += len(batch)
            log.warning("control service rejected reports as malformed", reports=len(batch))
            self.outbox.acknowledge(batch)
        else:
            self.counts["control_status_failed"] += 1
            self.outbox.delivery_failed(self.clock.now_us())
