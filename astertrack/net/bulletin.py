"""The bulletin, which announces changes of the roster: parses its events, and reads them as server-sent events."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from astertrack.net.addresses import Endpoint
from astertrack.net.base import StreamProtocol
from astertrack.net.clock import ReactorClock
from astertrack.net.pacing import MessagePacer
from astertrack.net.streams import StreamAttempt, StreamKeeper, StreamProgress, StreamTimeouts
from astertrack.wire import sse
from astertrack.wire.common import Malformed, MalformedError
from ospreylug import interface as io

log = structlog.get_logger()
# The bulletin sends a comment every second. If a connection stops delivering, a router is expected to know the next
# event within 4 s; with a timeout of 3.5 s, to which a dial is added, it took longer.
UNRESPONSIVE_TIMEOUT_US = 2_200_000
RECONNECT_INTERVAL_US = 200_000
TIMEOUTS = StreamTimeouts(dial_us=1_000_000, response_us=UNRESPONSIVE_TIMEOUT_US, silence_us=UNRESPONSIVE_TIMEOUT_US,
                          patience_us=60_000_000)
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
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise MalformedError(f"bulletin event: {error!r}") from None


class BulletinConnection(StreamProtocol):
    """One connection to the bulletin."""

    def __init__(self, bulletin: Bulletin, attempt: StreamAttempt) -> None:
        self.bulletin, self.attempt = bulletin, attempt
        self.decoder = sse.EventDecoder()
        self._pacer = MessagePacer(self.reading, bulletin.streams.clock, self._on_over_rate, self._on_reading_resumed)

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established: request what follows the last received event."""
        super().connectionMade()
        self.write(sse.encode_request("/bulletins", self.bulletin.streams.address, str(self.bulletin.last_event)))
        self.attempt.on_connected()

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when bytes were received."""
        if self.is_closed:
            return
        lines_before = self.decoder.line_count
        events = self.decoder.receive(data)
        if self.decoder.is_open:
            self.attempt.on_response(StreamProgress(
                self.decoder.line_count > lines_before, bool(events), self.decoder.has_partial_line))
        for event in events:
            if isinstance(event, Malformed):
                self.bulletin.counts["bulletin_malformed"] += 1
                log.warning("malformed data from the bulletin", reason=event.reason)
            else:
                self.bulletin.on_event(event)
            if self.is_closed:
                return
        if self.decoder.is_ended:
            self.attempt.drop()
            return
        self._pacer.spend(len(events))

    def _on_over_rate(self) -> None:
        self.bulletin.counts["bulletin_paused_over_rate"] += 1

    def _on_reading_resumed(self) -> None:
        self.attempt.on_reading_resumed()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted when the connection has ended."""
        self.is_closed = True
        self._pacer.cancel()
        self.attempt.on_closed()


class Bulletin:
    """Keeps reading the bulletin, and passes on changes of the roster.

    on_change is called with each new event: whether its list of peers is complete, and the list.
    """

    def __init__(self, address: str, last_event: int, zones: list[str], kinds: list[str], clock: ReactorClock,
                 counts: Counter[str], on_change: Callable[[bool, list[Endpoint]], None]) -> None:
        self.last_event, self.zones, self.kinds = last_event, zones, kinds
        self.counts, self.on_change = counts, on_change
        self.streams = StreamKeeper(address, TIMEOUTS, self, clock)
        self._retried_after = -1  # the event after which a malformed one was requested again

    def start(self) -> None:
        """Start to read, if there is an address."""
        self.streams.start()

    def switch_address(self, address: str) -> None:
        """Continue at another address, host:port, after the last received event.

        This keeps events coming when the configuration changes under load: the old address sends no more of them,
        although its connections stay open for a while. The known peers are kept.
        """
        self.streams.switch_address(address)

    # ---- the owner of the stream

    def build_connection(self, attempt: StreamAttempt) -> BulletinConnection:
        """Build the protocol of a connection."""
        return BulletinConnection(self, attempt)

    def on_dial(self) -> None:
        """Count a dial."""
        self.counts["bulletin_dials"] += 1

    def on_slow(self) -> None:
        """Log that the bulletin does not respond in time."""
        self.counts["bulletin_slow"] += 1
        log.warning("bulletin has not responded in time", address=self.streams.address)

    def on_silent(self) -> bool:
        """Log that the bulletin is unresponsive; the stream is to be dropped."""
        log.warning("bulletin is unresponsive")
        return True

    def on_stream_open(self, connection: Any) -> None:
        """Do nothing: events follow."""

    def on_stream_lost(self) -> None:
        """Do nothing: the stream is opened again after the last received event."""

    def next_dial_delay_us(self) -> int:
        """Return the wait before the next dial."""
        return RECONNECT_INTERVAL_US

    # ---- events

    def on_event(self, event: sse.ServerSentEvent) -> None:
        """Pass on the change of the roster that an event describes, once per event."""
        try:
            number, complete, endpoints = read_event(json.loads(event.data), self.zones, self.kinds)
        except (MalformedError, ValueError, RecursionError) as error:  # ValueError: of json, for numbers of any length
            self.counts["bulletin_malformed"] += 1
            log.warning("malformed bulletin event", error=str(error))
            # If it was corrupted on its way, it arrives intact when requested again. It is requested again only once,
            # because it may be malformed at its source.
            if self._retried_after != self.last_event and self.streams.stream is not None:
                self._retried_after = self.last_event
                self.streams.stream.drop()
            return
        if number <= self.last_event:
            return
        self.last_event = number
        self.counts["bulletin_events"] += 1
        self.on_change(complete, endpoints)
