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
from astertrack.net.base import Conversation
from astertrack.net.clock import ReactorClock
from astertrack.net.peers import Endpoint
from astertrack.wire import sse
from astertrack.wire.common import Malformed, Unreadable
from ospreylug import interface as io

log = structlog.get_logger()
SILENT_US = 3_500_000  # a comment comes every second: a connection without a byte for so long is dead
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
        raise Unreadable(f"bulletin event: {wrong!r}") from None


class Reading(Conversation):
    """One connection to the bulletin."""

    def __init__(self, bulletin: Bulletin) -> None:
        self.bulletin = bulletin
        self.machine = sse.Client()

    def connectionMade(self) -> None:
        """Twisted's hook: ask for what came after the last event heard of."""
        super().connectionMade()
        self.write(sse.get("/bulletins", self.bulletin.address, str(self.bulletin.last)))
        self.bulletin.alive()

    def dataReceived(self, data: bytes) -> None:
        """Twisted's hook: bytes came."""
        self.bulletin.alive()
        for event in self.machine.receive(data):
            if isinstance(event, Malformed):
                self.bulletin.counts["bulletin_malformed"] += 1
                log.warning("bulletin sent what cannot be read", reason=event.reason)
            else:
                self.bulletin.heard(event)
        if self.machine.ended:
            self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted's hook: the connection has ended."""
        self.bulletin.ended()


class Bulletin(ClientFactory):
    """Keeps reading the bulletin, and tells of the peers."""

    noisy = False

    def __init__(self, address: str, last: int, zones: list[str], kinds: list[str], clock: ReactorClock,
                 counts: Counter[str], tell: Callable[[bool, list[Endpoint]], None]) -> None:
        self.address, self.last, self.zones, self.kinds = address, last, zones, kinds
        self.clock, self.counts, self.tell = clock, counts, tell
        self.connector: Any = None
        self._silence: Timer | None = None

    def buildProtocol(self, addr: IAddress | None) -> Reading:
        """Twisted's hook for a connection that came up."""
        return Reading(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Twisted's hook for one that did not."""
        self.ended()

    def dial(self) -> None:
        """Connect."""
        host, _, port = self.address.rpartition(":")
        self.counts["bulletin_dials"] += 1
        self.connector = self.clock.reactor.connectTCP(host, int(port), self, timeout=DIAL_US / 1e6)

    def alive(self) -> None:
        """A byte came."""
        if self._silence is not None:
            self._silence.cancel()
        self._silence = self.clock.at(self.clock.now_us() + SILENT_US, self._silent)

    def _silent(self) -> None:
        log.warning("bulletin fell silent")
        self.connector.transport.abortConnection()

    def ended(self) -> None:
        """Connect again soon."""
        if self._silence is not None:
            self._silence.cancel()
        self.clock.at(self.clock.now_us() + REDIAL_US, self.dial)

    def heard(self, event: sse.ServerSentEvent) -> None:
        """Tell of an event, once."""
        try:
            number, complete, endpoints = read_event(json.loads(event.data), self.zones, self.kinds)
        except (Unreadable, json.JSONDecodeError, RecursionError) as wrong:
            self.counts["bulletin_malformed"] += 1
            log.warning("bulletin event that cannot be read", error=str(wrong))
            return
        if number <= self.last:
            return
        self.last = number
        self.counts["bulletin_events"] += 1
        self.tell(complete, endpoints)
