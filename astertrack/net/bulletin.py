"""The bulletin, which announces changes of the roster: parses its events, and reads them as server-sent events."""

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
# The bulletin sends a comment every second. If a connection stops delivering, a router is expected to know the next
# event within 4 s; with a timeout of 3.5 s, to which a dial is added, it took longer.
UNRESPONSIVE_TIMEOUT_US = 2_200_000
RECONNECT_INTERVAL_US = 200_000
DIAL_TIMEOUT_US = 1_000_000
STATUS_READINESS = {"in_service": io.Readiness.READY, "terminating": io.Readiness.DRAINING,
                    "terminated": io.Readiness.GONE}


def read_event(raw: Any, zones: list[str], kinds: list[str]) -> tuple[int, bool, list[Endpoint]]:
    """Parse an event decoded from JSON: return its number, whether its list of peers is complete, and the list.

    Events are numbered in ascending order. Raises MalformedError.
    """
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
                kind=kinds.index(kind) if kind in kinds else 0, readiness=STATUS_READINESS[item["status"]],
                weight=float(item.get("weight") or 1.0),
                started_us=int(item.get("since_ms") or 0) * 1000 or None)))
        return int(raw["no"]), bool(roster.get("snapshot")), endpoints
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedError(f"bulletin event: {error!r}") from None


class BulletinConnection(StreamProtocol):
    """One connection to the bulletin."""

    def __init__(self, bulletin: Bulletin) -> None:
        self.bulletin = bulletin
        self.decoder = sse.EventDecoder()
        self.is_closed = False  # dropped or ended: what still arrives on it, or its end, is ignored

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established: request what follows the last received event."""
        super().connectionMade()
        self.write(sse.encode_request("/bulletins", self.bulletin.address, str(self.bulletin.last_event)))
        self.bulletin.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when bytes were received."""
        if self.is_closed:
            return
        self.bulletin.restart_unresponsive_timer()
        for event in self.decoder.receive(data):
            if isinstance(event, Malformed):
                self.bulletin.counts["bulletin_malformed"] += 1
                log.warning("malformed data from the bulletin", reason=event.reason)
            else:
                self.bulletin.on_event(event)
            if self.is_closed:
                return
        if self.decoder.is_ended:
            self.drop()

    def drop(self) -> None:
        """Abort the connection and treat it as ended from now on: the close of a dead one may be delayed."""
        self.abort()
        self._on_ended()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted when the connection has ended."""
        self._on_ended()

    def _on_ended(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.bulletin.on_disconnected()


class Bulletin(ClientFactory):
    """Keeps reading the bulletin, and passes on changes of the roster.

    on_change is called with each new event: whether its list of peers is complete, and the list.
    """

    noisy = False

    def __init__(self, address: str, last_event: int, zones: list[str], kinds: list[str], clock: ReactorClock,
                 counts: Counter[str], on_change: Callable[[bool, list[Endpoint]], None]) -> None:
        self.address, self.last_event, self.zones, self.kinds = address, last_event, zones, kinds
        self.clock, self.counts, self.on_change = clock, counts, on_change
        self.connector: Any = None
        self.connection: BulletinConnection | None = None
        self._unresponsive_timer: Timer | None = None
        self._reconnect_timer: Timer | None = None
        self._retried_after = -1  # the event after which a malformed one was requested again

    def buildProtocol(self, addr: IAddress | None) -> BulletinConnection:
        """Called by Twisted when the connection is established."""
        return BulletinConnection(self)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Called by Twisted when the connection cannot be established."""
        if connector is self.connector:  # not an attempt that was stopped for another address
            self.on_disconnected()

    def dial(self) -> None:
        """Connect."""
        self._reconnect_timer = None
        host, _, port = self.address.rpartition(":")
        self.counts["bulletin_dials"] += 1
        self.connector = self.clock.reactor.connectTCP(host, int(port), self, timeout=DIAL_TIMEOUT_US / 1e6)

    def switch_address(self, address: str) -> None:
        """Continue at another address, host:port, after the last received event.

        This keeps events coming when the configuration changes under load: the old address sends no more of them,
        although its connections stay open for a while. The known peers are kept.
        """
        self.address = address
        connection, connector, self.connector = self.connection, self.connector, None
        if connection is not None:
            connection.drop()
        elif connector is not None and connector.state == "connecting":
            connector.stopConnecting()
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
        self.dial()

    def on_connected(self, connection: BulletinConnection) -> None:
        """Take over a connection that is established and has sent its request."""
        self.connection = connection
        self.restart_unresponsive_timer()

    def restart_unresponsive_timer(self) -> None:
        """Restart the timer that drops the connection when nothing is received."""
        if self._unresponsive_timer is not None:
            self._unresponsive_timer.cancel()
        self._unresponsive_timer = self.clock.call_at(
            self.clock.now_us() + UNRESPONSIVE_TIMEOUT_US, self._on_unresponsive)

    def _on_unresponsive(self) -> None:
        log.warning("bulletin is unresponsive")
        if self.connection is not None:
            self.connection.drop()

    def on_disconnected(self) -> None:
        """Schedule the next dial after a connection has ended or could not be established."""
        self.connection = None
        if self._unresponsive_timer is not None:
            self._unresponsive_timer.cancel()
        if self._reconnect_timer is None:
            self._reconnect_timer = self.clock.call_at(self.clock.now_us() + RECONNECT_INTERVAL_US, self.dial)

    def on_event(self, event: sse.ServerSentEvent) -> None:
        """Pass on the change of the roster that an event describes, once per event."""
        try:
            number, complete, endpoints = read_event(json.loads(event.data), self.zones, self.kinds)
        except (MalformedError, json.JSONDecodeError, RecursionError) as error:
            self.counts["bulletin_malformed"] += 1
            log.warning("malformed bulletin event", error=str(error))
            # If it was corrupted on its way, it arrives intact when requested again. It is requested again only once,
            # because it may be malformed at its source.
            if self._retried_after != self.last_event and self.connection is not None:
                self._retried_after = self.last_event
                self.connection.drop()
            return
        if number <= self.last_event:
            return
        self.last_event = number
        self.counts["bulletin_events"] += 1
        self.on_change(complete, endpoints)
