"""The router's client of the control service: reads versions, checks them in small steps, and reports their states.

It only does the I/O: astertrack.versions decides what a version means and what has to be done about it.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.error import UserError
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from astertrack.core.model import Timer
from astertrack.net.base import StreamProtocol, is_failure_of_type
from astertrack.net.clock import ReactorClock
from astertrack.versions import (
    Action,
    LogEvent,
    Outbox,
    Report,
    RequestFullVersion,
    SendReport,
    SetCurrentVersion,
    StoreVersion,
    VersionManager,
)
from astertrack.versions.offering import write_reports
from astertrack.wire import control, http
from astertrack.wire.common import Malformed

log = structlog.get_logger()
DIAL_TIMEOUT_US = 1_000_000
# The service sends a comment every second: a connection on which three of them are missing is taken for dead.
UNRESPONSIVE_TIMEOUT_US = 3_200_000
# The interval between dials doubles with each failure, up to the maximum. The actual delay is drawn at random between
# half the interval and the whole interval.
MIN_RECONNECT_INTERVAL_US, MAX_RECONNECT_INTERVAL_US = 200_000, 15_000_000
# The number of failures is reduced to this once a version was received completely: the next dial is after 0.8 s at the
# latest.
MAX_FAILURES_AFTER_VERSION = 2
HEALTHY_STREAM_US = 5_000_000  # a stream that lasted longer was healthy and resets the number of failures
STATUS_TIMEOUT_US = 3_000_000  # for a status message and its response together
# Checking takes no more than this of one reactor iteration: calls wait at most this long for it.
CHECK_BUDGET_US = 1_500
# Bytes read per reactor iteration. The events in them are parsed and hashed in the same iteration, in about 2 ms.
READ_BUFFER_BYTES = 8 * 1024
# Reading pauses when more bytes than the first limit wait to be checked, and resumes below the second.
PAUSE_READING_BYTES, RESUME_READING_BYTES = 1 << 20, 1 << 18
TICK_INTERVAL_US = 100_000  # between ticks, which do the work that depends on time


class VersionStream(StreamProtocol):
    """One connection on which versions are received."""

    def __init__(self, client: ControlClient) -> None:
        self.client, self.decoder = client, control.VersionStreamDecoder()
        self.is_paused = False

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established: request what follows the latest accepted version."""
        super().connectionMade()
        transport: Any = self.transport
        transport.bufferSize = READ_BUFFER_BYTES
        self.write(self.client.make_request())
        self.client.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when bytes were received."""
        if self.is_closed:
            return
        start_s = time.perf_counter()
        self.client.restart_unresponsive_timer()
        for event in self.decoder.receive(data):
            self.client.on_event(event)
            if self.is_closed:
                break
        if self.decoder.is_ended and not self.is_closed:
            self.drop()
        self.client.record_turn(start_s)

    def set_paused(self, is_paused: bool) -> None:
        """Pause or resume reading."""
        transport: Any = self.transport
        if is_paused is not self.is_paused and transport is not None and not self.is_closed:
            self.is_paused = is_paused
            (transport.pauseProducing if is_paused else transport.resumeProducing)()

    def drop(self) -> None:
        """Abort the connection and treat it as ended from now on."""
        if not self.is_closed:
            self.is_closed = True
            self.abort()
            self.client.on_disconnected(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted when the connection has ended."""
        if not self.is_closed:
            self.is_closed = True
            self.client.on_disconnected(self)


class StatusConnection(StreamProtocol):
    """One connection on which one batch of reports is sent."""

    def __init__(self, client: ControlClient, batch: tuple[Report, ...]) -> None:
        self.client, self.batch = client, batch
        self.decoder = http.MessageDecoder(http.MessageKind.RESPONSE)

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established: send the batch."""
        super().connectionMade()
        self.write(http.encode_request("POST", control.STATUS_PATH, self.client.address, write_reports(self.batch)))

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when bytes were received."""
        response = self.decoder.receive(data)
        if response is None or self.is_closed:
            return
        self.is_closed = True
        self.client.on_status_response(self.batch, 0 if isinstance(response, Malformed) else response.status)
        self.abort()

    def on_timeout(self) -> None:
        """Fail if there was no response in time: the service may have received the batch, but it is sent again."""
        if not self.is_closed:
            self.is_closed = True
            self.client.on_status_response(self.batch, 0)
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted when the connection has ended, possibly before a response."""
        if not self.is_closed:
            self.is_closed = True
            self.client.on_status_response(self.batch, 0)


class _DialFactory(ClientFactory):
    """Factory of one connection attempt, like links.DialFactory, but a refusal is a failure like any other."""

    noisy = False

    def __init__(self, build_connection: Callable[[], StreamProtocol], on_failure: Callable[[], None]) -> None:
        self.build_connection, self.on_failure = build_connection, on_failure

    def buildProtocol(self, addr: IAddress | None) -> StreamProtocol:
        """Called by Twisted when the connection is established."""
        return self.build_connection()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Called by Twisted when the connection cannot be established; an attempt stopped by this router is ignored."""
        if not is_failure_of_type(reason, UserError):
            self.on_failure()


class ControlClient:
    """Keeps reading versions and reporting their states, until it is stopped.

    address is host:port, or empty for no service; router is this router's name; store is called with each action that
    concerns the store.
    """

    def __init__(self, address: str, router: str, versions: VersionManager, clock: ReactorClock, counts: Counter[str],
                 random_source: random.Random, store: Callable[[StoreVersion | SetCurrentVersion], None]) -> None:
        self.address, self.router, self.versions, self.clock, self.counts = address, router, versions, clock, counts
        self.store, self._random = store, random_source
        self.outbox = Outbox(random_source)
        self.stream: VersionStream | None = None
        self.longest_turn_us = 0  # of reading and checking: how long a call may have waited for it
        self.swap_durations_us: list[int] = []  # of putting a version in force, the latest 1,000
        self._full_requested = self._work_scheduled = self._stopped = False
        self._connector: Any = None
        self._unresponsive_timer: Timer | None = None
        self._reconnect_timer: Timer | None = None
        self._failures = 0
        self._connected_us = 0

    # ---- start and stop

    def start(self) -> None:
        """Dial, and start the periodic work."""
        if self.address:
            self.dial()
        self._tick()

    def stop(self) -> None:
        """Stop reading versions and sending reports."""
        self._stopped = True
        for timer in (self._unresponsive_timer, self._reconnect_timer):
            if timer is not None:
                timer.cancel()
        if self.stream is not None:
            self.stream.drop()
        elif self._connector is not None and self._connector.state == "connecting":
            self._connector.stopConnecting()

    def switch_address(self, address: str) -> None:
        """Continue at another address, host:port; an empty one stops reading."""
        if address == self.address:
            return
        self.address, self._failures = address, 0
        if self.stream is not None:
            self.stream.drop()
        elif address and self._reconnect_timer is None and self._connector is None:
            self.dial()

    def _tick(self) -> None:
        if self._stopped:
            return
        start_s = time.perf_counter()
        self.versions.tick(self.clock.now_us())
        self.execute_actions()
        self.schedule_work()
        self._send_reports()
        self.record_turn(start_s)
        self.clock.call_at(self.clock.now_us() + TICK_INTERVAL_US, self._tick)

    def record_turn(self, start_s: float) -> None:
        """Record how long a piece of work has blocked the reactor."""
        self.longest_turn_us = max(self.longest_turn_us, int((time.perf_counter() - start_s) * 1e6))

    # ---- the stream

    def dial(self) -> None:
        """Connect."""
        self._reconnect_timer = None
        if self._stopped or not self.address:
            return
        self.counts["control_dials"] += 1
        host, _, port = self.address.rpartition(":")
        self._connector = self.clock.reactor.connectTCP(
            host, int(port), _DialFactory(lambda: VersionStream(self), self._on_dial_failed),
            timeout=DIAL_TIMEOUT_US / 1e6)

    def _on_dial_failed(self) -> None:
        self._connector = None
        self._schedule_reconnect()

    def make_request(self) -> bytes:
        """Return the request that opens a stream."""
        full, self._full_requested = self._full_requested, False
        newest = self.versions.newest
        return control.encode_stream_request(self.address, self.router, str(newest) if newest is not None else "", full)

    def on_connected(self, stream: VersionStream) -> None:
        """Take over a connection that is established and has sent its request."""
        self.stream, self._connector = stream, None
        self._connected_us = self.clock.now_us()
        self.counts["control_connections"] += 1
        self.restart_unresponsive_timer()

    def restart_unresponsive_timer(self) -> None:
        """Restart the timer that drops the connection when nothing is received."""
        if self._unresponsive_timer is not None:
            self._unresponsive_timer.cancel()
        self._unresponsive_timer = self.clock.call_at(
            self.clock.now_us() + UNRESPONSIVE_TIMEOUT_US, self._on_unresponsive)

    def _on_unresponsive(self) -> None:
        if self.stream is None or self.stream.is_paused:
            return  # nothing is being read; the timer is restarted when reading resumes
        self.counts["control_silent"] += 1
        log.warning("control service is unresponsive", address=self.address)
        self.stream.drop()

    def on_disconnected(self, stream: VersionStream) -> None:
        """Drop what was received incompletely, and dial again."""
        if stream is not self.stream:
            return
        self.stream = None
        if self._unresponsive_timer is not None:
            self._unresponsive_timer.cancel()
        self.versions.stream_lost()
        self.execute_actions()
        if self.clock.now_us() - self._connected_us > HEALTHY_STREAM_US:
            self._failures = 0
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self._stopped or self._reconnect_timer is not None:
            return
        max_delay_us = min(MAX_RECONNECT_INTERVAL_US, MIN_RECONNECT_INTERVAL_US << min(self._failures, 16))
        self._failures += 1
        delay_us = int(max_delay_us * (0.5 + 0.5 * self._random.random()))
        self._reconnect_timer = self.clock.call_at(self.clock.now_us() + delay_us, self.dial)

    def on_event(self, event: control.Event) -> None:
        """Pass an event of the stream to the version manager."""
        now = self.clock.now_us()
        match event:
            case control.VersionHeader(raw):
                self.versions.receive_header(raw, now)
            case control.VersionRecords(lines):
                self.versions.receive_lines(lines)
            case control.VersionEnd():
                self.versions.receive_end(now)
                # The router reconnects soon after a stream that delivered a version, even if it breaks off: with the
                # full backoff, a router whose stream broke off four times in ten seconds was disconnected for eleven.
                self._failures = min(self._failures, MAX_FAILURES_AFTER_VERSION)
            case Malformed(reason):
                self.counts["control_malformed"] += 1
                log.warning("malformed data from the control service", reason=reason)
        self.execute_actions()
        self.schedule_work()

    # ---- checking

    def schedule_work(self) -> None:
        """Schedule checking if there is anything to check; pause reading while much waits to be checked."""
        if self.stream is not None:
            if self.versions.unchecked_bytes > PAUSE_READING_BYTES:
                self.stream.set_paused(True)
            elif self.stream.is_paused and self.versions.unchecked_bytes < RESUME_READING_BYTES:
                self.stream.set_paused(False)
                self.restart_unresponsive_timer()
        if self.versions.has_work and not self._work_scheduled:
            self._work_scheduled = True
            self.clock.reactor.callLater(0, self._run_work)

    def _run_work(self) -> None:
        self._work_scheduled = False
        start_s = time.perf_counter()
        end_s, now = start_s + CHECK_BUDGET_US / 1e6, self.clock.now_us()
        while self._run_step(now) and time.perf_counter() < end_s:
            pass
        self.execute_actions()
        self.record_turn(start_s)
        self.schedule_work()

    def _run_step(self, now_us: int) -> bool:
        """Do one step of checking, and return whether there may be more to do now."""
        in_force, start_s = self.versions.in_force, time.perf_counter()
        if not self.versions.run_step(now_us):
            return False
        if self.versions.in_force is not in_force:  # this step put a version in force
            self.swap_durations_us.append(int((time.perf_counter() - start_s) * 1e6))
            del self.swap_durations_us[:-1000]
        return True

    def execute_actions(self) -> None:
        """Execute the actions that the version manager requests."""
        for action in self.versions.take_actions():
            self._execute(action)

    def _execute(self, action: Action) -> None:
        match action:
            case SendReport(report):
                if self.address:
                    self.outbox.add(report)
            case StoreVersion() | SetCurrentVersion():
                self.store(action)
            case RequestFullVersion():
                self._full_requested = True
                self.counts["control_asked_full"] += 1
                if self.stream is not None:
                    # Not while the stream's own data is being processed; versions left in that data are of no use now.
                    self.clock.reactor.callLater(0, self.stream.drop)
            case LogEvent(event, values):
                log.info(event, **dict(values))

    # ---- status

    def _send_reports(self) -> None:
        batch = self.outbox.take_batch(self.clock.now_us())
        if not batch:
            return
        self.counts["control_status_sent"] += 1
        host, _, port = self.address.rpartition(":")

        def build_connection() -> StreamProtocol:
            connection = StatusConnection(self, batch)
            self.clock.call_at(self.clock.now_us() + STATUS_TIMEOUT_US, connection.on_timeout)
            return connection

        self.clock.reactor.connectTCP(
            host, int(port), _DialFactory(build_connection, lambda: self.on_status_response(batch, 0)),
            timeout=DIAL_TIMEOUT_US / 1e6)

    def on_status_response(self, batch: tuple[Report, ...], status: int) -> None:
        """Process the HTTP status of the response to a batch; 0 means that there was none."""
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
