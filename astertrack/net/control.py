"""The router's end of the control wire: reads versions, checks them between calls, and tells how they stand.

Thin: what a version means, and what is to be done, astertrack.versions decides.
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
from astertrack.net.base import StreamProtocol, failed_as
from astertrack.net.clock import ReactorClock
from astertrack.versions import Action, AskFull, Keep, Note, Outbox, Point, Report, Tell, Versions
from astertrack.versions.offering import write_reports
from astertrack.wire import control, http
from astertrack.wire.common import Malformed

log = structlog.get_logger()
DIAL_US = 1_000_000  # a connection not up after so long has failed
SILENT_US = 3_200_000  # a comment comes every second; three lost are no chance
REDIAL_LEAST_US, REDIAL_MOST_US = 200_000, 15_000_000  # between dials, doubling, each drawn between its half and itself
FAILURES_OF_USE = 2  # counted at most once a version has come whole: the next dial is after 0.8 s at the latest
SOUND_US = 5_000_000  # a stream that lasted so long was sound: the next dial is a first one
ANSWER_US = 3_000_000  # for the whole of a status message and its answer
# Checking takes no more than this of a turn of the reactor: calls wait that long for it, and no longer.
TURN_US = 1_500
PIECES = 16  # of checking between two looks at the clock; a piece takes some 5 us
READ_MOST = 8 * 1024  # octets read at one turn: the events in them are cut and digested at once, in some 2 ms
STOP_READING, READ_ON = 1 << 20, 1 << 18  # octets that wait to be checked: above, nothing is read; below, it is again
TICK_INTERVAL_US = 100_000  # how often what time asks for is done


class VersionStream(StreamProtocol):
    """One connection on which versions come."""

    def __init__(self, client: ControlClient) -> None:
        self.client, self.machine = client, control.Stream()
        self.paused = False

    def connectionMade(self) -> None:
        """Twisted's hook: ask for what came after the latest version accepted."""
        super().connectionMade()
        transport: Any = self.transport
        transport.bufferSize = READ_MOST
        self.write(self.client.question())
        self.client.begun(self)

    def dataReceived(self, data: bytes) -> None:
        """Twisted's hook: bytes came."""
        if self.is_closed:
            return
        began = time.perf_counter()
        self.client.alive()
        for event in self.machine.receive(data):
            self.client.heard(event)
            if self.is_closed:
                break
        if self.machine.ended and not self.is_closed:
            self.leave()
        self.client.turned(began)

    def pause(self, paused: bool) -> None:
        """Stop reading, or go on."""
        transport: Any = self.transport
        if paused is not self.paused and transport is not None and not self.is_closed:
            self.paused = paused
            (transport.pauseProducing if paused else transport.resumeProducing)()

    def leave(self) -> None:
        """Drop the connection, and count it as ended now."""
        if not self.is_closed:
            self.is_closed = True
            self.abort()
            self.client.ended(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted's hook: the connection has ended."""
        if not self.is_closed:
            self.is_closed = True
            self.client.ended(self)


class StatusMessage(StreamProtocol):
    """One connection on which one batch of reports is told."""

    def __init__(self, client: ControlClient, batch: tuple[Report, ...]) -> None:
        self.client, self.batch = client, batch
        self.reader = http.Reader(http.Kind.RESPONSE)

    def connectionMade(self) -> None:
        """Twisted's hook: tell."""
        super().connectionMade()
        self.write(http.request("POST", control.STATUS, self.client.address, write_reports(self.batch)))

    def dataReceived(self, data: bytes) -> None:
        """Twisted's hook: bytes came."""
        answer = self.reader.receive(data)
        if answer is None or self.is_closed:
            return
        self.is_closed = True
        self.client.told(self.batch, 0 if isinstance(answer, Malformed) else answer.status)
        self.abort()

    def overdue(self) -> None:
        """No answer came in time: it may have been heard, and is told again."""
        if not self.is_closed:
            self.is_closed = True
            self.client.told(self.batch, 0)
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted's hook: the connection has ended, perhaps before an answer."""
        if not self.is_closed:
            self.is_closed = True
            self.client.told(self.batch, 0)


class _Dial(ClientFactory):
    """One attempt to connect."""

    noisy = False

    def __init__(self, make: Callable[[], StreamProtocol], failed: Callable[[], None]) -> None:
        self.make, self.failed = make, failed

    def buildProtocol(self, addr: IAddress | None) -> StreamProtocol:
        """Twisted's hook for a connection that came up."""
        return self.make()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Twisted's hook for one that did not; stopped by ourselves, it is no failure."""
        if not failed_as(reason, UserError):
            self.failed()


class ControlClient:
    """Keeps reading versions, and tells how they stand, until it is stopped."""

    def __init__(self, address: str, router: str, versions: Versions, clock: ReactorClock, counts: Counter[str],
                 source: random.Random, store: Callable[[Keep | Point], None]) -> None:
        self.address, self.router, self.versions, self.clock, self.counts = address, router, versions, clock, counts
        self.store, self._random = store, source
        self.outbox = Outbox(source)
        self.stream: VersionStream | None = None
        self.longest_turn_us = 0  # of checking and reading: what a call may have waited for it
        self.swap_durations_us: list[int] = []  # how long putting a version in force took, the latest 1,000
        self._full = self._working = self._stopped = False
        self._connector: Any = None
        self._silence: Timer | None = None
        self._redial: Timer | None = None
        self._failures = 0
        self._begun_us = 0

    # ---- life

    def start(self) -> None:
        """Dial, and look after what time asks for."""
        if self.address:
            self.dial()
        self._tick()

    def stop(self) -> None:
        """Say nothing more and read nothing more."""
        self._stopped = True
        for timer in (self._silence, self._redial):
            if timer is not None:
                timer.cancel()
        if self.stream is not None:
            self.stream.leave()
        elif self._connector is not None and self._connector.state == "connecting":
            self._connector.stopConnecting()

    def switch_address(self, address: str) -> None:
        """Read on at another address."""
        if address == self.address:
            return
        self.address, self._failures = address, 0
        if self.stream is not None:
            self.stream.leave()
        elif address and self._redial is None and self._connector is None:
            self.dial()

    def _tick(self) -> None:
        if self._stopped:
            return
        began = time.perf_counter()
        self.versions.tick(self.clock.now_us())
        self.execute_actions()
        self.check()
        self._tell()
        self.turned(began)
        self.clock.call_at(self.clock.now_us() + TICK_INTERVAL_US, self._tick)

    def turned(self, began: float) -> None:
        """Note how long a piece of work held the reactor."""
        self.longest_turn_us = max(self.longest_turn_us, int((time.perf_counter() - began) * 1e6))

    # ---- the stream

    def dial(self) -> None:
        """Connect."""
        self._redial = None
        if self._stopped or not self.address:
            return
        self.counts["control_dials"] += 1
        host, _, port = self.address.rpartition(":")
        self._connector = self.clock.reactor.connectTCP(
            host, int(port), _Dial(lambda: VersionStream(self), self._failed), timeout=DIAL_US / 1e6)

    def _failed(self) -> None:
        self._connector = None
        self._again()

    def question(self) -> bytes:
        """Return what is asked at the start of a stream."""
        full, self._full = self._full, False
        newest = self.versions.newest
        return control.ask(self.address, self.router, str(newest) if newest is not None else "", full)

    def begun(self, stream: VersionStream) -> None:
        """A connection is up and has asked."""
        self.stream, self._connector = stream, None
        self._begun_us = self.clock.now_us()
        self.counts["control_connections"] += 1
        self.alive()

    def alive(self) -> None:
        """Bytes came."""
        if self._silence is not None:
            self._silence.cancel()
        self._silence = self.clock.call_at(self.clock.now_us() + SILENT_US, self._silent)

    def _silent(self) -> None:
        if self.stream is None or self.stream.paused:
            return  # it is not read; once it is read again, alive() watches on
        self.counts["control_silent"] += 1
        log.warning("control service fell silent", address=self.address)
        self.stream.leave()

    def ended(self, stream: VersionStream) -> None:
        """A connection has ended: what came in part is dropped, and it is dialled again."""
        if stream is not self.stream:
            return
        self.stream = None
        if self._silence is not None:
            self._silence.cancel()
        self.versions.broken()
        self.execute_actions()
        if self.clock.now_us() - self._begun_us > SOUND_US:
            self._failures = 0
        self._again()

    def _again(self) -> None:
        if self._stopped or self._redial is not None:
            return
        longest = min(REDIAL_MOST_US, REDIAL_LEAST_US << min(self._failures, 16))
        self._failures += 1
        wait = int(longest * (0.5 + 0.5 * self._random.random()))
        self._redial = self.clock.call_at(self.clock.now_us() + wait, self.dial)

    def heard(self, event: control.Event) -> None:
        """Pass on what came."""
        now = self.clock.now_us()
        match event:
            case control.Head(raw):
                self.versions.header(raw, now)
            case control.Lines(lines):
                self.versions.lines(lines)
            case control.End():
                self.versions.end(now)
                # A stream that brings versions is worth dialling again soon, though it breaks: after four breaks in
                # ten seconds a router was away for eleven.
                self._failures = min(self._failures, FAILURES_OF_USE)
            case Malformed(reason):
                self.counts["control_malformed"] += 1
                log.warning("control service sent what cannot be read", reason=reason)
        self.execute_actions()
        self.check()

    # ---- checking

    def check(self) -> None:
        """Check on at the next turns, if there is anything to check; stop reading while much waits for it."""
        if self.stream is not None:
            if self.versions.waiting > STOP_READING:
                self.stream.pause(True)
            elif self.stream.paused and self.versions.waiting < READ_ON:
                self.stream.pause(False)
                self.alive()
        if self.versions.busy and not self._working:
            self._working = True
            self.clock.reactor.callLater(0, self._work)

    def _work(self) -> None:
        self._working = False
        began = time.perf_counter()
        until, now = began + TURN_US / 1e6, self.clock.now_us()
        while self._pieces(now) and time.perf_counter() < until:
            pass
        self.execute_actions()
        self.turned(began)
        self.check()

    def _pieces(self, now_us: int) -> bool:
        """Do a few pieces of checking; False: there is nothing left to do now."""
        for _ in range(PIECES):
            in_force, began = self.versions.in_force, time.perf_counter()
            if not self.versions.work(now_us):
                return False
            if self.versions.in_force is not in_force:  # that piece put a version in force
                self.swap_durations_us.append(int((time.perf_counter() - began) * 1e6))
                del self.swap_durations_us[:-1000]
        return True

    def execute_actions(self) -> None:
        """Do what the versions ask for."""
        for action in self.versions.take():
            self._do(action)

    def _do(self, action: Action) -> None:
        match action:
            case Tell(report):
                if self.address:
                    self.outbox.add(report)
            case Keep() | Point():
                self.store(action)
            case AskFull():
                self._full = True
                self.counts["control_asked_full"] += 1
                if self.stream is not None:
                    # Not from within the reading of the stream itself: what it still holds is of no use now.
                    self.clock.reactor.callLater(0, self.stream.leave)
            case Note(event, values):
                log.info(event, **dict(values))

    # ---- status

    def _tell(self) -> None:
        batch = self.outbox.batch(self.clock.now_us())
        if not batch:
            return
        self.counts["control_status_sent"] += 1
        host, _, port = self.address.rpartition(":")

        def make() -> StreamProtocol:
            message = StatusMessage(self, batch)
            self.clock.call_at(self.clock.now_us() + ANSWER_US, message.overdue)
            return message

        self.clock.reactor.connectTCP(host, int(port), _Dial(make, lambda: self.told(batch, 0)), timeout=DIAL_US / 1e6)

    def told(self, batch: tuple[Report, ...], status: int) -> None:
        """Take the answer to a batch: 0 stands for none."""
        if 200 <= status < 300:
            self.counts["control_reports_heard"] += len(batch)
            self.outbox.heard(batch)
        elif status == 400:  # it will not be read next time either
            self.counts["control_reports_unreadable"] += len(batch)
            log.warning("control service cannot read our reports", reports=len(batch))
            self.outbox.heard(batch)
        else:
            self.counts["control_status_failed"] += 1
            self.outbox.failed(self.clock.now_us())
