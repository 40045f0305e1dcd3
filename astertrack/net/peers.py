"""Peers that speak the platform's binary messages, and the table of all peers."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache

import structlog
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from astertrack.core import NORMAL_CLEARING, TEMPORARY_FAILURE, AttemptEnd, Request
from astertrack.core.model import Clock, Timer
from astertrack.net.base import StreamProtocol
from astertrack.net.links import LIVENESS_CHECK_INTERVAL_US, Link
from astertrack.wire import peer as wire
from astertrack.wire.common import Malformed, MalformedError, parse_figures
from ospreylug import interface as io
from ospreylug.wirehost import read_load

log = structlog.get_logger()
PARTIAL_US = 300_000  # a message of at most 16 KiB that is not whole by then will not be
LATE_US = 100_000  # a look at the links that comes later than this waits for the next one
PROBE_US = 250_000  # a probe unanswered for so long has failed
OUTCOMES = {34: io.Outcome.TURNED_AWAY, 17: io.Outcome.NUMBER_FAULT, 47: io.Outcome.NUMBER_FAULT,
            102: io.Outcome.NOT_SENT, TEMPORARY_FAILURE: io.Outcome.CUT, NORMAL_CLEARING: io.Outcome.OK}
NOTES = {"congestion": io.Cause.NO_CIRCUIT, "crankback": io.Cause.CRANKBACK,
         "remote_throttled": io.Cause.CRANKBACK_FULL, "throttled": io.Cause.PROCESSOR_FULL,
         "engaged": io.Cause.LINES_BUSY}
CONTROL = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")  # what no text has; tab, CR and LF are text
FIELDS = {"x0": "free", "x1": "size", "queue": "backlog", "inflight": "outstanding", "util": "utilization",
          "latency_ms": "recent_ms", "qps": "can_take", "eps": "hold_back"}


@lru_cache(maxsize=2048)
def parse_load_report(report: str) -> io.Load:
    """Translate a report, whichever of the two names its figures bear."""
    return read_load({FIELDS.get(name, name): value for name, value in parse_figures(report).items()})


class PeerConnection(StreamProtocol):
    """One connection to a peer."""

    def __init__(self, link: PeerLink) -> None:
        self.link = link
        self.stream = wire.Stream()
        self._partial: Timer | None = None  # runs while a message is under way

    def connectionMade(self) -> None:
        """Twisted's hook: the connection is up."""
        super().connectionMade()
        self.link.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Twisted's hook: bytes came."""
        self.link.record_activity()
        for message in self.stream.receive(data) if not self.is_closed else ():
            try:
                if isinstance(message, Malformed):
                    raise MalformedError(message.reason)
                event = wire.read_event(message)
            except MalformedError as wrong:
                self.link.counts["peer_malformed"] += 1
                log.warning("peer sent what cannot be read", peer=self.link.name, reason=str(wrong))
                self.link.abort_connection(self)
                return
            if isinstance(event, wire.Answered) and self.link.swallowed(event):
                self.link.counts["peer_swallowed"] += 1
                log.warning("peer stopped short in an answer, and went on behind it", peer=self.link.name,
                            call=event.call)
                self.link.abort_connection(self)
                return
            if event is not None:
                self.link.heard(event)
            if self.is_closed:
                return
        self._watch()

    def _watch(self) -> None:
        """Give up the connection when a message stops short: what follows would be taken for its rest."""
        if self._partial is not None:
            self._partial.cancel()
            self._partial = None
        if self.stream.partial:
            clock = self.link.clock
            self._partial = clock.call_at(clock.now_us() + PARTIAL_US, self._cut_short)

    def _cut_short(self) -> None:
        if not self.is_closed:
            self.link.counts["peer_cut_short"] += 1
            log.warning("peer stopped short in a message", peer=self.link.name)
            self.link.abort_connection(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted's hook: the connection has ended."""
        self.link.on_disconnected(self, reason)


@dataclass(eq=False)
class PeerLink(Link):
    """The way to a peer that speaks the platform's binary messages."""

    tests: dict[str, tuple[int, Timer]] = field(default_factory=dict)
    _tests_made: int = 0

    def build_connection(self) -> PeerConnection:
        """Make the protocol of a new connection."""
        return PeerConnection(self)

    def send_set_up(self, request: Request, deadline_us: int) -> None:
        """Write a set-up; the wire tells the time left, so it is worked out last."""
        wait_ms = max(1, (deadline_us - self.clock.now_us()) // 1000)
        self._write(wire.set_up(request.call_id, request.service_name, request.number, wait_ms,
                                request.description))

    def send_release(self, call: str, cause: int, answered: bool) -> None:
        """Write a release: one message for both meanings."""
        self._write(wire.release(call, cause))

    def probe(self) -> None:
        """Test the peer."""
        self._tests_made += 1
        call = f"{self._tests_made:016x}"
        now = self.clock.now_us()

        def silent() -> None:
            if self.tests.pop(call, None) is not None:
                self.router.on_group_state(self.name, io.Load(), ok=False, delay_us=self.clock.now_us() - now)

        self.tests[call] = (now, self.clock.call_at(now + PROBE_US, silent))
        if self.connection is not None:
            self._write(wire.test(call))

    def swallowed(self, event: wire.Answered) -> bool:
        """Whether an answer that stopped short was filled up by a message behind it.

        Guards a caller against an answer that no peer gave: each message begins with the high octet of its length,
        which under 8 KiB is a control character, and descriptions are text. One that is offered with control
        characters may be answered with some.
        """
        call = self.router.calls.get(event.call)
        return (call is not None and CONTROL.search(event.description) is not None
                and CONTROL.search(call.request.description) is None)

    def heard(self, event: wire.Event) -> None:
        """Tell the core what the peer said."""
        match event:
            case wire.Answered(call, description):
                self.counts["peer_answers"] += 1
                self.outstanding_set_ups.discard(call)
                self.router.on_answered(self.name, call, description)
            case wire.Released(call, cause, note, report):
                self.counts[f"peer_releases_cause_{cause}"] += 1
                self.outstanding_set_ups.discard(call)
                outcome = OUTCOMES.get(cause, io.Outcome.NUMBER_FAULT)
                end = AttemptEnd(outcome, NOTES.get(note, io.Cause.NONE), parse_load_report(report))
                self.router.on_ended(self.name, call, end)
            case wire.GroupState(report):
                self.counts["peer_group_states"] += 1
                self.router.on_group_state(self.name, parse_load_report(report))
            case wire.Tested(call, passed, report):
                if (test := self.tests.pop(call, None)) is not None:
                    test[1].cancel()
                    self.router.on_group_state(self.name, parse_load_report(report), passed, self.clock.now_us() - test[0])

    def _write(self, data: bytes) -> None:
        if self.connection is not None:
            self.connection.write(data)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Where a peer of the list is to be found."""

    address: str
    entry: io.Entry


class PeerTable:
    """The core's Peers port: the links, by name."""

    def __init__(self, make: Callable[[Endpoint], Link], home: int, clock: Clock) -> None:
        self.make, self.home, self.clock = make, home, clock
        self.links: dict[str, Link] = {}
        self._watch_us = clock.now_us() + LIVENESS_CHECK_INTERVAL_US
        clock.call_at(self._watch_us, self._watch)
        self.addresses: dict[str, str] = {}

    def _watch(self) -> None:
        """Look after all links; not in a turn that comes late, for then the silence may be our own.

        Guards every connection against a pause of this process: timers come before what waits to be read.
        """
        now = self.clock.now_us()
        if now - self._watch_us < LATE_US:
            for link in list(self.links.values()):
                link.check_liveness()
        self._watch_us = now + LIVENESS_CHECK_INTERVAL_US
        self.clock.call_at(self._watch_us, self._watch)

    def update(self, endpoints: list[Endpoint], complete: bool) -> None:
        """Follow the list. A peer at a new address is a new machine; one's name is kept on a restart."""
        named = {e.entry.exchange for e in endpoints}
        gone = [e.entry.exchange for e in endpoints if e.entry.readiness is io.Readiness.GONE]
        if complete:
            gone += [name for name in self.links if name not in named]
        for name in gone:
            self._drop(name)
        for endpoint in endpoints:
            if self.addresses.get(endpoint.entry.exchange, endpoint.address) != endpoint.address:
                self._drop(endpoint.entry.exchange)
        self.add(endpoints)

    def add(self, endpoints: list[Endpoint]) -> None:
        """Make links to those that are new."""
        for endpoint in endpoints:
            name, entry = endpoint.entry.exchange, endpoint.entry
            if entry.readiness is not io.Readiness.GONE and entry.number != self.home and (
                    name not in self.links):
                self.links[name] = self.make(endpoint)
                self.addresses[name] = endpoint.address

    def _drop(self, name: str) -> None:
        link = self.links.pop(name, None)
        self.addresses.pop(name, None)
        if link is not None:
            link.retire()

    def set_up(self, peer: str, request: Request, deadline_us: int) -> None:
        """Send a set-up."""
        self.links[peer].set_up(request, deadline_us)

    def cancel_set_up(self, peer: str, call: str) -> None:
        """Give up a set-up that is out."""
        self.release(peer, call, NORMAL_CLEARING)

    def release(self, peer: str, call: str, cause: int) -> None:
        """Release a call that stands."""
        if (link := self.links.get(peer)) is not None:
            link.release(call, cause)

    def probe(self, peer: str) -> None:
        """Test a peer."""
        if (link := self.links.get(peer)) is not None:
            link.probe()
