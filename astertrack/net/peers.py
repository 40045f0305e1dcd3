"""Connections to peers: one each, kept up while the peer is in service or holds calls of ours."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any, Protocol

import structlog
from twisted.internet.error import ConnectionDone, ConnectionRefusedError, UserError
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from astertrack.core import CUT, NORMAL, AttemptEnd, Request, Router
from astertrack.core.model import Timer
from astertrack.net.base import Conversation, failed_as
from astertrack.net.clock import ReactorClock
from astertrack.wire import peer as wire
from astertrack.wire.common import Malformed, Unreadable, figures
from ospreylug import interface as io
from ospreylug.wirehost import read_load

log = structlog.get_logger()
REDIAL_US = 500_000  # between dials to a peer that does not answer
PROBE_US = 250_000  # a probe unanswered for so long has failed
OUTCOMES = {34: io.Outcome.TURNED_AWAY, 17: io.Outcome.NUMBER_FAULT, 47: io.Outcome.NUMBER_FAULT,
            102: io.Outcome.NOT_SENT, CUT: io.Outcome.CUT, NORMAL: io.Outcome.OK}
NOTES = {"congestion": io.Cause.NO_CIRCUIT, "crankback": io.Cause.CRANKBACK,
         "remote_throttled": io.Cause.CRANKBACK_FULL, "throttled": io.Cause.PROCESSOR_FULL,
         "engaged": io.Cause.LINES_BUSY}
FIELDS = {"x0": "free", "x1": "size", "queue": "backlog", "inflight": "outstanding", "util": "utilization",
          "latency_ms": "recent_ms", "qps": "can_take", "eps": "hold_back"}


@lru_cache(maxsize=2048)
def load(report: str) -> io.Load:
    """Translate a report, whichever of the two names its figures bear."""
    return read_load({FIELDS.get(name, name): value for name, value in figures(report).items()})


class Link(Protocol):
    """What every kind of peer offers."""

    def set_up(self, request: Request, deadline_us: int) -> None:
        """Send a set-up."""

    def release(self, call: str, cause: int) -> None:
        """Give up a set-up, or release a call that stands."""

    def probe(self) -> None:
        """Test the peer."""

    def retire(self) -> None:
        """The peer is gone: close once nothing needs it."""


class PeerConnection(Conversation):
    """One connection to a peer."""

    def __init__(self, link: PeerLink) -> None:
        self.link = link
        self.stream = wire.Stream()

    def connectionMade(self) -> None:
        """Twisted's hook: the connection is up."""
        super().connectionMade()
        self.link.connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Twisted's hook: bytes came."""
        for message in self.stream.receive(data):
            try:
                if isinstance(message, Malformed):
                    raise Unreadable(message.reason)
                event = wire.read_event(message)
            except Unreadable as wrong:
                self.link.counts["peer_malformed"] += 1
                log.warning("peer sent what cannot be read", peer=self.link.name, reason=str(wrong))
                self.stream.broken = True
                self.close()
                return
            if event is not None:
                self.link.heard(event)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted's hook: the connection has ended."""
        self.link.disconnected(self, clean=failed_as(reason, ConnectionDone))


class Dialler(ClientFactory):
    """One attempt to connect."""

    noisy = False

    def __init__(self, link: PeerLink) -> None:
        self.link = link

    def buildProtocol(self, addr: IAddress | None) -> PeerConnection:
        """Twisted's hook for a connection that came up."""
        return PeerConnection(self.link)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Twisted's hook for one that did not."""
        if not failed_as(reason, UserError):  # stopped by ourselves
            self.link.dial_failed(refused=failed_as(reason, ConnectionRefusedError))


@dataclass(eq=False)
class PeerLink:
    """What is known of the way to one peer."""

    name: str
    address: str
    router: Router
    clock: ReactorClock
    counts: Counter[str]
    dial_us: int  # a connection not up after so long has failed
    connection: PeerConnection | None = None
    retired: bool = False
    waiting: dict[str, tuple[Request, int]] = field(default_factory=dict)  # set-ups for when it is up
    open: set[str] = field(default_factory=set)  # set-ups written on the connection and not ended
    tests: dict[str, tuple[int, Timer]] = field(default_factory=dict)
    _dialling: Any = None
    _redial: Timer | None = None
    _tests_made: int = 0

    def dial(self) -> None:
        """Connect, unless a connection is up or coming."""
        if self.connection is not None or self._dialling is not None or not self.wanted():
            return
        host, _, port = self.address.rpartition(":")
        self.counts["peer_dials"] += 1
        self._dialling = self.clock.reactor.connectTCP(
            host, int(port), Dialler(self), timeout=self.dial_us / 1e6)

    def wanted(self) -> bool:
        """Whether the connection serves a purpose: calls that stand are heard of on it."""
        return not self.retired or bool(self.waiting) or self.name in self.router.at_peer

    def connected(self, connection: PeerConnection) -> None:
        """The connection is up: send what waits for it."""
        self.connection, self._dialling = connection, None
        self.counts["peer_connections"] += 1
        waiting, self.waiting = self.waiting, {}
        for request, deadline_us in waiting.values():
            self.set_up(request, deadline_us)

    def dial_failed(self, refused: bool) -> None:
        """Nothing runs there, or nothing answers: what waited never left."""
        self._dialling = None
        self.counts["peer_dials_refused" if refused else "peer_dials_timed_out"] += 1
        waiting, self.waiting = self.waiting, {}
        if refused:
            self.router.peer_lost(self.name)  # no process, so none of its calls
        for call in waiting:
            self.router.ended(self.name, call, AttemptEnd(io.Outcome.UNREACHABLE))
        self._dial_later()

    def disconnected(self, connection: PeerConnection, clean: bool) -> None:
        """The connection has ended, and with it the set-ups that were open on it."""
        if connection is not self.connection:
            return
        self.connection = None
        self.counts["peer_closes" if clean else "peer_resets"] += 1
        opened, self.open = self.open, set()
        if not clean:  # a process that dies resets its connections and cuts its calls
            log.warning("peer reset its connection", peer=self.name,
                        calls=len(self.router.at_peer.get(self.name, ())))
            self.router.peer_lost(self.name)
        for call in opened:
            self.router.ended(self.name, call, AttemptEnd(io.Outcome.CUT))
        if clean:
            self.dial()  # what concerns calls that stand is told on the next connection
        else:
            self._dial_later()

    def _dial_later(self) -> None:
        if self._redial is None and self.wanted():
            def again() -> None:
                self._redial = None
                self.dial()
            self._redial = self.clock.at(self.clock.now_us() + REDIAL_US, again)

    def retire(self) -> None:
        """The peer has left the list: its connection is closed once no call needs it."""
        self.retired = True
        if self.connection is not None and not self.wanted():
            self.connection.close()

    def set_up(self, request: Request, deadline_us: int) -> None:
        """Send a set-up, once the connection is up."""
        if self.connection is None:
            self.waiting[request.call] = (request, deadline_us)
            self.dial()
            return
        wait_ms = max(1, (deadline_us - self.clock.now_us()) // 1000)
        self.counts["peer_set_ups_sent"] += 1
        self.open.add(request.call)
        self._write(wire.set_up(request.call, request.service_name, request.number, wait_ms,
                                request.description))

    def release(self, call: str, cause: int) -> None:
        """Give up a set-up, or release a call that stands."""
        if self.waiting.pop(call, None) is not None:
            return
        self.open.discard(call)
        if self.connection is not None:
            self.counts["peer_releases_sent"] += 1
            self._write(wire.release(call, cause))

    def probe(self) -> None:
        """Test the peer."""
        self._tests_made += 1
        call = f"{self._tests_made:016x}"
        now = self.clock.now_us()

        def silent() -> None:
            if self.tests.pop(call, None) is not None:
                self.router.group_state(self.name, io.Load(), ok=False, delay_us=self.clock.now_us() - now)

        self.tests[call] = (now, self.clock.at(now + PROBE_US, silent))
        if self.connection is not None:
            self._write(wire.test(call))

    def heard(self, event: wire.Event) -> None:
        """Tell the core what the peer said."""
        match event:
            case wire.Answered(call, description):
                self.counts["peer_answers"] += 1
                self.open.discard(call)
                self.router.answered(self.name, call, description)
            case wire.Released(call, cause, note, report):
                self.counts[f"peer_releases_cause_{cause}"] += 1
                self.open.discard(call)
                outcome = OUTCOMES.get(cause, io.Outcome.NUMBER_FAULT)
                end = AttemptEnd(outcome, NOTES.get(note, io.Cause.NONE), load(report))
                self.router.ended(self.name, call, end)
            case wire.GroupState(report):
                self.counts["peer_group_states"] += 1
                self.router.group_state(self.name, load(report))
            case wire.Tested(call, passed, report):
                if (test := self.tests.pop(call, None)) is not None:
                    test[1].cancel()
                    self.router.group_state(self.name, load(report), passed, self.clock.now_us() - test[0])

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

    def __init__(self, make: Callable[[Endpoint], Link], home: int) -> None:
        self.make, self.home = make, home
        self.links: dict[str, Link] = {}
        self.addresses: dict[str, str] = {}

    def update(self, endpoints: list[Endpoint], complete: bool) -> None:
        """Follow the list. A peer at a new address is a new machine; one's name is kept on a restart."""
        named = {e.entry.exchange for e in endpoints}
        gone = [e.entry.exchange for e in endpoints if e.entry.readiness is io.Readiness.GONE]
        if complete:
            gone += [name for name in self.links if name not in named]
        for name in gone:
            self._drop(name)
        for endpoint in endpoints:
            name = endpoint.entry.exchange
            if endpoint.entry.readiness is io.Readiness.GONE or endpoint.entry.number == self.home:
                continue
            if self.addresses.get(name, endpoint.address) != endpoint.address:
                self._drop(name)
            if name not in self.links:
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

    def give_up(self, peer: str, call: str) -> None:
        """Give up a set-up that is out."""
        self.release(peer, call, NORMAL)

    def release(self, peer: str, call: str, cause: int) -> None:
        """Release a call that stands."""
        if (link := self.links.get(peer)) is not None:
            link.release(call, cause)

    def probe(self, peer: str) -> None:
        """Test a peer."""
        if (link := self.links.get(peer)) is not None:
            link.probe()
