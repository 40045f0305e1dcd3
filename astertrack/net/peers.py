"""Peers that speak the platform's binary protocol, and the table of the links to all peers."""

from __future__ import annotations

import re
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache

import structlog

from astertrack.core import NORMAL_CLEARING, TEMPORARY_FAILURE, AttemptEnd, Request
from astertrack.core.model import Clock, Timer
from astertrack.net.addresses import Endpoint
from astertrack.net.links import LIVENESS_CHECK_INTERVAL_US, Link, LinkConnection
from astertrack.wire import peer as wire
from astertrack.wire.common import Malformed, MalformedError, parse_figures
from ospreylug import interface as io
from ospreylug.wirehost import read_load

log = structlog.get_logger()
MAX_LIVENESS_CHECK_DELAY_US = 100_000  # a check of the links that runs more than this after its due time is skipped
PROBE_TIMEOUT_US = 250_000
# By Q.850 cause: 34 no circuit available, which the platform uses for whatever is full; 17 user busy and 47 resource
# unavailable, for errors; 102 recovery on timer expiry, for an attempt that was never sent.
RELEASE_CAUSE_OUTCOMES = {34: io.Outcome.TURNED_AWAY, 17: io.Outcome.NUMBER_FAULT, 47: io.Outcome.NUMBER_FAULT,
                          102: io.Outcome.NOT_SENT, TEMPORARY_FAILURE: io.Outcome.CUT, NORMAL_CLEARING: io.Outcome.OK}
# By the note that a release may have besides its cause.
RELEASE_NOTE_CAUSES = {"congestion": io.Cause.NO_CIRCUIT, "crankback": io.Cause.CRANKBACK,
                       "remote_throttled": io.Cause.CRANKBACK_FULL, "throttled": io.Cause.PROCESSOR_FULL,
                       "engaged": io.Cause.LINES_BUSY}
CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")  # without tab, CR and LF, which occur in text
# The names that read_load expects, by the short names of the values in a load report.
LOAD_FIELDS = {"x0": "free", "x1": "size", "queue": "backlog", "inflight": "outstanding", "util": "utilization",
               "latency_ms": "recent_ms", "qps": "can_take", "eps": "hold_back"}


@lru_cache(maxsize=2048)
def parse_load_report(report: str) -> io.Load:
    """Parse a load report, in which values have either their short names or the names that read_load expects."""
    return read_load({LOAD_FIELDS.get(name, name): value for name, value in parse_figures(report).items()})


class PeerConnection(LinkConnection):
    """One connection to a peer."""

    def __init__(self, link: PeerLink) -> None:
        self.link = link
        self.decoder = wire.MessageDecoder()
        super().__init__(link, self.decoder)

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established."""
        super().connectionMade()
        self.link.on_connected(self)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when bytes were received."""
        if self.is_closed:
            return
        self.link.record_activity()
        messages = self.decoder.receive(data)
        for message in messages:
            try:
                if isinstance(message, Malformed):
                    raise MalformedError(message.reason)
                event = wire.parse_event(message)
            except MalformedError as error:
                self.link.counts["peer_malformed"] += 1
                log.warning("malformed message from a peer", peer=self.link.name, reason=str(error))
                self.link.abort_connection(self)
                return
            if isinstance(event, wire.Answered) and self.link.contains_next_message(event):
                self.link.counts["peer_swallowed"] += 1
                log.warning("truncated answer from a peer was completed by the next message", peer=self.link.name,
                            call=event.call)
                self.link.abort_connection(self)
                return
            if event is not None:
                self.link.on_event(event)
            if self.is_closed:
                return
        self.note_received(len(messages))


@dataclass(eq=False)
class PeerLink(Link):
    """The link to a peer that speaks the platform's binary protocol."""

    # Unanswered probes, by their ids: when each was sent, in microseconds, and the timer of its timeout.
    pending_probes: dict[str, tuple[int, Timer]] = field(default_factory=dict)
    _probe_count: int = 0

    def build_connection(self) -> PeerConnection:
        """Build the protocol of a new connection."""
        return PeerConnection(self)

    def send_set_up(self, request: Request, deadline_us: int) -> None:
        """Send a set-up. The message gives the remaining time, which is therefore computed last."""
        wait_ms = max(1, (deadline_us - self.clock.now_us()) // 1000)
        self._write(wire.encode_set_up(request.call_id, request.service_name, request.number, wait_ms,
                                       request.description))

    def send_release(self, call_id: str, cause: int, answered: bool) -> None:
        """Send a release, which this protocol uses both to cancel a set-up and to release an established call."""
        self._write(wire.encode_release(call_id, cause))

    def probe(self) -> None:
        """Send a probe, and report its failure to the router if it is not answered in time."""
        self._probe_count += 1
        probe_id = f"{self._probe_count:016x}"  # sent in place of a call id
        now = self.clock.now_us()

        def on_timeout() -> None:
            if self.pending_probes.pop(probe_id, None) is not None:
                self.router.on_group_state(self.name, io.Load(), ok=False, delay_us=self.clock.now_us() - now)

        self.pending_probes[probe_id] = (now, self.clock.call_at(now + PROBE_TIMEOUT_US, on_timeout))
        if self.connection is not None:
            self._write(wire.encode_test(probe_id))

    def contains_next_message(self, event: wire.Answered) -> bool:
        """Return whether a truncated answer was completed by the message that follows it.

        Without this check a caller could receive an answer that no peer gave. Each message begins with the high byte
        of its length, which is a control character for lengths under 8 KiB, while descriptions are text. Lengths whose
        high byte is a tab, CR or LF are not recognised, because these occur in text. If the set-up's own description
        contains control characters, the answer's may contain them too.
        """
        call = self.router.calls.get(event.call)
        return (call is not None and CONTROL_CHARACTERS.search(event.description) is not None
                and CONTROL_CHARACTERS.search(call.request.description) is None)

    def on_event(self, event: wire.Event) -> None:
        """Pass a message from the peer to the router."""
        match event:
            case wire.Answered(call_id, description):
                self.counts["peer_answers"] += 1
                self.pending_set_ups.discard(call_id)
                self.router.on_answered(self.name, call_id, description)
            case wire.Released(call_id, cause, note, report):
                self.counts[f"peer_releases_cause_{cause}"] += 1
                self.pending_set_ups.discard(call_id)
                outcome = RELEASE_CAUSE_OUTCOMES.get(cause, io.Outcome.NUMBER_FAULT)
                end = AttemptEnd(outcome, RELEASE_NOTE_CAUSES.get(note, io.Cause.NONE), parse_load_report(report))
                self.router.on_ended(self.name, call_id, end)
            case wire.GroupState(report):
                self.counts["peer_group_states"] += 1
                self.router.on_group_state(self.name, parse_load_report(report))
            case wire.TestResult(probe_id, passed, report):
                if (probe := self.pending_probes.pop(probe_id, None)) is not None:
                    probe[1].cancel()
                    self.router.on_group_state(self.name, parse_load_report(report), passed,
                                            self.clock.now_us() - probe[0])

    def _write(self, data: bytes) -> None:
        if self.connection is not None:
            self.connection.write(data)


class PeerTable:
    """The links to all peers, by name. Implements the Peers port of the core."""

    def __init__(self, make_link: Callable[[Endpoint], Link], home: int, clock: Clock,
                 max_links: int = sys.maxsize) -> None:
        self.make_link, self.home, self.clock, self.max_links = make_link, home, clock, max_links
        self.links: dict[str, Link] = {}
        self._next_check_us = clock.now_us() + LIVENESS_CHECK_INTERVAL_US
        clock.call_at(self._next_check_us, self._check_liveness)
        self.addresses: dict[str, str] = {}

    def _check_liveness(self) -> None:
        """Check all links, unless the check runs late: then it may be this process that did not respond.

        Otherwise a pause of this process would drop every connection, because timers run before pending input is read.
        """
        now = self.clock.now_us()
        if now - self._next_check_us < MAX_LIVENESS_CHECK_DELAY_US:
            for link in list(self.links.values()):
                link.check_liveness()
        self._next_check_us = now + LIVENESS_CHECK_INTERVAL_US
        self.clock.call_at(self._next_check_us, self._check_liveness)

    def admit(self, endpoints: list[Endpoint], complete: bool) -> list[Endpoint]:
        """Return the endpoints without the new peers for which there is no room: each link holds a descriptor."""
        room = self.max_links - (0 if complete else len(self.links))
        admitted = []
        for endpoint in endpoints:
            is_new = not endpoint.is_gone and (complete or endpoint.entry.exchange not in self.links)
            if not is_new or room > 0:
                admitted.append(endpoint)
                room -= is_new
        return admitted

    def update(self, endpoints: list[Endpoint], complete: bool) -> None:
        """Apply a change of the roster; a complete list also removes the peers that it does not name.

        A peer keeps its name when it restarts; at another address it is a new machine, and its link starts afresh.
        """
        listed = {e.entry.exchange for e in endpoints}
        gone = [e.entry.exchange for e in endpoints if e.is_gone]
        if complete:
            gone += [name for name in self.links if name not in listed]
        for name in gone:
            self._remove(name)
        for endpoint in endpoints:
            if self.addresses.get(endpoint.entry.exchange, endpoint.address) != endpoint.address:
                self._remove(endpoint.entry.exchange)
        self.add(endpoints)

    def add(self, endpoints: list[Endpoint]) -> None:
        """Create links to the peers that have none yet, except to the own exchange, whose number is `home`."""
        for endpoint in endpoints:
            name, entry = endpoint.entry.exchange, endpoint.entry
            if not endpoint.is_gone and entry.number != self.home and name not in self.links:
                self.links[name] = self.make_link(endpoint)
                self.addresses[name] = endpoint.address

    def _remove(self, name: str) -> None:
        link = self.links.pop(name, None)
        self.addresses.pop(name, None)
        if link is not None:
            link.retire()

    def set_up(self, peer: str, request: Request, deadline_us: int) -> None:
        """Send a set-up."""
        self.links[peer].set_up(request, deadline_us)

    def cancel_set_up(self, peer: str, call_id: str) -> None:
        """Cancel a pending set-up."""
        self.release(peer, call_id, NORMAL_CLEARING)

    def release(self, peer: str, call_id: str, cause: int) -> None:
        """Release an established call."""
        if (link := self.links.get(peer)) is not None:
            link.release(call_id, cause)

    def is_release_pending(self, call_id: str, peer: str = "") -> bool:
        """Return whether a release of this call waits for a connection.

        One that waits for an unresponsive peer, which may never be sent, counts only if that peer is given.
        """
        return any(link.is_release_pending(call_id, link.name == peer) for link in self.links.values())

    def has_unsent_releases(self) -> bool:
        """Return whether a peer has to be told of releases once it is connected, while its calls may stand."""
        return any(link.has_unsent_releases() for link in self.links.values())

    def stop_input(self) -> None:
        """Read nothing more from the peers."""
        for link in self.links.values():
            link.stop_input()

    def finish(self) -> None:
        """Send what was written, and close the connections."""
        for link in self.links.values():
            link.finish()

    def count_waiting_for_dial(self) -> int:
        """Return the number of set-ups that wait for a connection to their peer."""
        return sum(len(link.queued_set_ups) for link in self.links.values())

    def probe(self, peer: str) -> None:
        """Send a probe to a peer."""
        if (link := self.links.get(peer)) is not None:
            link.probe()
