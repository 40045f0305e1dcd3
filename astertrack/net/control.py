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
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from astertrack.net.base import StreamProtocol
from astertrack.net.clock import ReactorClock
from astertrack.net.reports import ReportSender
from astertrack.net.streams import StreamAttempt, StreamKeeper, StreamProgress, StreamTimeouts
from astertrack.versions import (
    Action,
    LogEvent,
    Outbox,
    RequestFullVersion,
    SendReport,
    SetCurrentVersion,
    StoreVersion,
    VersionManager,
)
from astertrack.wire import control
from astertrack.wire.common import Malformed

log = structlog.get_logger()
DIAL_TIMEOUT_US = 1_000_000
# The service sends a comment every second: a connection on which three of them are missing is taken for dead.
UNRESPONSIVE_TIMEOUT_US = 3_200_000
STREAM_TIMEOUTS = StreamTimeouts(dial_us=DIAL_TIMEOUT_US, response_us=UNRESPONSIVE_TIMEOUT_US,
                                 silence_us=UNRESPONSIVE_TIMEOUT_US, patience_us=60_000_000)
# The interval between dials doubles with each failure, up to the maximum. The actual delay is drawn at random between
# half the interval and the whole interval.
MIN_RECONNECT_INTERVAL_US, MAX_RECONNECT_INTERVAL_US = 200_000, 15_000_000
# The number of failures is reduced to this once a version was received completely: the next dial is after 0.8 s at the
# latest.
MAX_FAILURES_AFTER_VERSION = 2
HEALTHY_STREAM_US = 5_000_000  # a stream that lasted longer was healthy and resets the number of failures
# Checking takes no more than this of one reactor iteration: calls wait at most this long for it.
CHECK_BUDGET_US = 1_500
# Bytes read per reactor iteration. The events in them are parsed and hashed in the same iteration, in about 2 ms.
READ_BUFFER_BYTES = 8 * 1024
# Reading pauses when more bytes than the first limit wait to be checked, and resumes below the second.
PAUSE_READING_BYTES, RESUME_READING_BYTES = 1 << 20, 1 << 18
TICK_INTERVAL_US = 100_000  # between ticks, which do the work that depends on time


class VersionStream(StreamProtocol):
    """One connection on which versions are received."""

    def __init__(self, client: ControlClient, attempt: StreamAttempt) -> None:
        self.client, self.attempt, self.decoder = client, attempt, control.VersionStreamDecoder()
        self.is_paused = self.requests_full_version = False

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established: request what follows the latest accepted version."""
        super().connectionMade()
        transport: Any = self.transport
        transport.bufferSize = READ_BUFFER_BYTES
        self.requests_full_version = self.client.needs_full_version
        self.write(self.client.encode_stream_request(self.requests_full_version))
        self.attempt.on_connected()

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when bytes were received."""
        if self.is_closed:
            return
        start_s = time.perf_counter()
        lines_before = self.decoder.line_count
        events = self.decoder.receive(data)
        if self.decoder.is_open:
            self.attempt.on_response(StreamProgress(
                self.decoder.line_count > lines_before, bool(events), self.decoder.has_partial_line))
        for event in events:
            self.client.on_event(event)
            if self.is_closed:
                break
        if self.decoder.is_ended:
            self.attempt.drop()
        self.client.record_turn(start_s)

    def set_paused(self, is_paused: bool) -> None:
        """Pause or resume reading."""
        transport: Any = self.transport
        if is_paused is self.is_paused or transport is None or self.is_closed:
            return
        self.is_paused = is_paused
        if is_paused:
            transport.pauseProducing()
        else:
            transport.resumeProducing()
            self.attempt.on_reading_resumed()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted when the connection has ended."""
        self.is_closed = True
        self.attempt.on_closed()


class ControlClient:
    """Keeps reading versions and reporting their states, until it is stopped.

    address is host:port, or empty for no service; router is this router's name; store is called with each action that
    concerns the store.
    """

    def __init__(self, address: str, router: str, versions: VersionManager, clock: ReactorClock, counts: Counter[str],
                 random_source: random.Random, store: Callable[[StoreVersion | SetCurrentVersion], None]) -> None:
        self.router, self.versions, self.clock, self.counts = router, versions, clock, counts
        self.store, self._random = store, random_source
        self.outbox = Outbox(random_source)
        self.streams = StreamKeeper(address, STREAM_TIMEOUTS, self, clock)
        self.report_sender = ReportSender(self.outbox, lambda: self.address, clock, counts)
        self.stream: VersionStream | None = None
        self.needs_full_version = False  # until a stream is open for which one was requested
        self.longest_turn_us = 0  # of reading and checking: how long a call may have waited for it
        self.swap_durations_us: list[int] = []  # of putting a version in force, the latest 1,000
        self._work_scheduled = self._stopped = False
        self._failures = 0
        self._opened_us = 0

    @property
    def address(self) -> str:
        """The address of the service, host:port; empty: none."""
        return self.streams.address

    # ---- start and stop

    def start(self) -> None:
        """Start to read, and start the periodic work."""
        self.streams.start()
        self._tick()

    def stop(self) -> None:
        """Stop reading versions and sending reports."""
        self._stopped = True
        self.streams.stop()

    def switch_address(self, address: str) -> None:
        """Continue at another address, host:port; an empty one stops reading."""
        if address != self.address:
            self._failures = 0
            self.streams.switch_address(address)

    def _tick(self) -> None:
        if self._stopped:
            return
        start_s = time.perf_counter()
        self.versions.tick(self.clock.now_us())
        self.execute_actions()
        self.schedule_work()
        self.report_sender.send_due()
        self.record_turn(start_s)
        self.clock.call_at(self.clock.now_us() + TICK_INTERVAL_US, self._tick)

    def record_turn(self, start_s: float) -> None:
        """Record how long a piece of work has blocked the reactor."""
        self.longest_turn_us = max(self.longest_turn_us, int((time.perf_counter() - start_s) * 1e6))

    # ---- the owner of the stream

    def build_connection(self, attempt: StreamAttempt) -> VersionStream:
        """Build the protocol of a connection."""
        return VersionStream(self, attempt)

    def encode_stream_request(self, full: bool) -> bytes:
        """Return the request that opens a stream."""
        newest = self.versions.newest
        return control.encode_stream_request(self.address, self.router, str(newest) if newest is not None else "", full)

    def on_dial(self) -> None:
        """Count a dial."""
        self.counts["control_dials"] += 1

    def on_slow(self) -> None:
        """Log that the service does not respond in time."""
        self.counts["control_slow"] += 1
        log.warning("control service has not responded in time", address=self.address)

    def on_silent(self) -> bool:
        """Return whether to drop a stream on which nothing was received; not if nothing is being read."""
        if self.stream is None or self.stream.is_paused:
            return False  # the timer is restarted when reading resumes
        self.counts["control_silent"] += 1
        log.warning("control service is unresponsive", address=self.address)
        return True

    def on_stream_open(self, connection: Any) -> None:
        """Take over a connection on which the service has accepted the request."""
        self.stream = connection
        self._opened_us = self.clock.now_us()
        self.counts["control_connections"] += 1
        if connection.requests_full_version:
            self.needs_full_version = False

    def on_stream_lost(self) -> None:
        """Drop what was received incompletely."""
        self.stream = None
        self.versions.stream_lost()
        self.execute_actions()
        if self.clock.now_us() - self._opened_us > HEALTHY_STREAM_US:
            self._failures = 0

    def next_dial_delay_us(self) -> int:
        """Return the wait before the next dial."""
        max_delay_us = min(MAX_RECONNECT_INTERVAL_US, MIN_RECONNECT_INTERVAL_US << min(self._failures, 16))
        self._failures += 1
        return int(max_delay_us * (0.5 + 0.5 * self._random.random()))

    # ---- events of the stream

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
                self.needs_full_version = True
                self.counts["control_asked_full"] += 1
                if self.stream is not None:
                    # Not while the stream's own data is being processed; versions left in that data are of no use now.
                    self.clock.reactor.callLater(0, self.stream.attempt.drop)
            case LogEvent(event, values):
                log.info(event, **dict(values))
