"""The bulletin: the events known at the start, and those read since over server-sent events."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from astertrack.core.model import Timer
from astertrack.net.base import StreamProtocol
from astertrack.net.clock import ReactorClock
from astertrack.net.peers import Endpoint
from astertrack.wire import sse
from astertrack.wire.common import Malformed, MalformedError
from ospreylug import interface as io

log = structlog.get_logger()
# A comment comes every second. What is told counts as heard 4 s after a stop: 3.5 s and a dial were too many.
SILENT_US = 2_200_000
REDIAL_US = 200_000
DIAL_US = 1_000_000
STATES = {"in_service": io.Readiness.READY, "terminating": io.Readiness.DRAINING,
          "terminated": io.Readiness.GONE}


def read_event(raw: Any, zones: list[str], kinds: list[str]) -> tuple[int, bool, list[Endpoint]]:
    """Read an event's number, whether its list is complete, and the list."""
    try:
        roster = raw["roster"]
        endpoints = []
        for item in roster["endpoints"]:
            name, address = item["name"], item["address"]
            host, _, port = address.rpartition(":")
            if not isinstance(name, str) or not host or not 0 < int(port) < 65536:
                raise ValueError(f"name {name!r} or address {address!r}")
            zone, kind = item.get("zone"), item.get("type")
            endpoints.append(Endpoint(address, io.Entry(
                exchange=name, number=int(item["group"]), zone=zones.index(zone) if zone in zones else -1,
                kind=kinds.index(kind) if kind in kinds else 0, readiness=STATES[item["status"]],
                weight=float(item.get("weight") or 1.0),
                started_us=int(item.get("since_ms") or 0) * 1000 or None)))
        return int(raw["no"]), bool(roster.get("snapshot")), endpoints
    except (KeyError, TypeError, ValueError, AttributeError) as wrong:
        raise MalformedError(f"bulletin event: {wrong!r}") from None


class Reading(StreamProtocol):
    """One connection to the bulletin."""

    def __init__(self, bulletin: Bulletin) -> None:
        self.bulletin = bulletin
        self.machine = sse.Client()
        self.left = False  # for another connection: what still comes or ends here means nothing

    def connectionMade(self) -> None:
        """Twisted's hook: ask for what came after the last event heard of."""
        super().connectionMade()
        self.write(sse.get("/bulletins", self.bulletin.address, str(self.bulletin.last)))
        self.bulletin.begun(self)

    def dataReceived(self, data: bytes) -> None:
        """Twisted's hook: bytes came."""
        if self.left:
            return
        self.bulletin.alive()
        for event in self.machine.receive(data):
            if isinstance(event, Malformed):
                self.bulletin.counts["bulletin_malformed"] += 1
                log.warning("bulletin sent what cannot be read", reason=event.reason)
            else:
                self.bulletin.heard(event)
            if self.left:
                return
        if self.machine.ended:
            self.leave()

    def leave(self) -> None:
        """Drop the connection, and count it as ended now: the close of a dead one may take its time."""
        self.abort()
        self._ended()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted's hook: the connection has ended."""
        self._ended()

    def _ended(self) -> None:
        if not self.left:
            self.left = True
            self.bulletin.ended()


class Bulletin(ClientFactory):
    """Keeps reading the bulletin, and tells of the peers."""

    noisy = False

    def __init__(self, address: str, last: int, zones: list[str], kinds: list[str], clock: ReactorClock,
                 counts: Counter[str], tell: Callable[[bool, list[Endpoint]], None]) -> None:
        self.address, self.last, self.zones, self.kinds = address, last, zones, kinds
        self.clock, self.counts, self.tell = clock, counts, tell
        self.connector: Any = None
        self.reading: Reading | None = None
        self._silence: Timer | None = None
        self._redial: Timer | None = None
        self._asked_again = -1  # after which event one that could not be read was asked for again

    def buildProtocol(self, addr: IAddress | None) -> Reading:
        """Twisted's hook for a connection that came up."""
        return Reading(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Twisted's hook for one that did not."""
        if connector is self.connector:  # not one given up for another address
            self.ended()

    def dial(self) -> None:
        """Connect."""
        self._redial = None
        host, _, port = self.address.rpartition(":")
        self.counts["bulletin_dials"] += 1
        self.connector = self.clock.reactor.connectTCP(host, int(port), self, timeout=DIAL_US / 1e6)

    def switch_address(self, address: str) -> None:
        """Read on at another address, from the last event heard of.

        Guards a new configuration under load: the old address tells nothing more, though its connections stay
        open for a while. What is known of the peers stays.
        """
        self.address = address
        reading, connector, self.connector = self.reading, self.connector, None
        if reading is not None:
            reading.leave()
        elif connector is not None and connector.state == "connecting":
            connector.stopConnecting()
        if self._redial is not None:
            self._redial.cancel()
        self.dial()

    def begun(self, reading: Reading) -> None:
        """A connection is up and has asked."""
        self.reading = reading
        self.alive()

    def alive(self) -> None:
        """A byte came."""
        if self._silence is not None:
            self._silence.cancel()
        self._silence = self.clock.call_at(self.clock.now_us() + SILENT_US, self._silent)

    def _silent(self) -> None:
        log.warning("bulletin fell silent")
        if self.reading is not None:
            self.reading.leave()

    def ended(self) -> None:
        """Connect again soon."""
        self.reading = None
        if self._silence is not None:
            self._silence.cancel()
        if self._redial is None:
            self._redial = self.clock.call_at(self.clock.now_us() + REDIAL_US, self.dial)

    def heard(self, event: sse.ServerSentEvent) -> None:
        """Tell of an event, once."""
        try:
            number, complete, endpoints = read_event(json.loads(event.data), self.zones, self.kinds)
        except (MalformedError, json.JSONDecodeError, RecursionError) as wrong:
            self.counts["bulletin_malformed"] += 1
            log.warning("bulletin event that cannot be read", error=str(wrong))
            # Spoilt on its way, it comes again whole: asked for once, for it may have been written so.
            if self._asked_again != self.last and self.reading is not None:
                self._asked_again = self.last
                self.reading.leave()
            return
        if number <= self.last:
            return
        self.last = number
        self.counts["bulletin_events"] += 1
        self.tell(complete, endpoints)
