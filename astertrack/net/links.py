"""The link to one peer: a connection that is kept up until the peer leaves the roster."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import structlog
from twisted.internet.error import ConnectionDone, ConnectionRefusedError, TCPTimedOutError, TimeoutError
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from astertrack.core import NORMAL_CLEARING, TEMPORARY_FAILURE, AttemptEnd, Request, Router
from astertrack.core.model import Timer
from astertrack.net.base import StreamProtocol, is_failure_of_type
from astertrack.net.clock import ReactorClock
from astertrack.net.link_releases import LinkReleases, QueuedRelease
from astertrack.net.pacing import MessagePacer, PauseReason
from astertrack.net.partial import MessageDecoder, PartialMessageTimer
from ospreylug import interface as io

log = structlog.get_logger()
RECONNECT_INTERVAL_US = 250_000  # between dials to a peer that does not answer
MIN_CONNECTED_US = 100_000  # after a connection that lasted less than this, RECONNECT_INTERVAL_US passes before a dial
# The peer's process counts as gone after this many consecutive refused dials. A single refused dial, like a reset, does
# not prove that it has ended.
REFUSED_DIALS_UNTIL_LOST = 2
# A probe is sent after this time without received bytes. A healthy peer usually reports its trunk groups more often.
KEEPALIVE_IDLE_US = 250_000
# The connection is dropped after this time without received bytes, that is, if the probe is not answered either: a new
# connection may work. A peer whose answers take longer would lose every connection before its first answer: the timeout
# doubles with each connection on which the peer only sent the state of its groups, up to the maximum.
UNRESPONSIVE_TIMEOUT_US = 650_000
MAX_UNRESPONSIVE_TIMEOUT_US = 5_200_000
RESPONSE_TIME_RATIO = 2  # the timeout is no less than this multiple of the time of the last response to a probe
# The established calls at a peer are released after this time without received bytes: the platform requires that a call
# whose end was not noticed is released towards its caller within 8 s of its end.
PEER_LOST_TIMEOUT_US = 6_750_000
LIVENESS_CHECK_INTERVAL_US = 100_000
MIN_PROBE_WAIT_US = UNRESPONSIVE_TIMEOUT_US - KEEPALIVE_IDLE_US - LIVENESS_CHECK_INTERVAL_US


class ConnectionEnd(Enum):
    """How a connection ended; the values are the names of the counters."""

    CLOSED = "peer_closes"
    RESET = "peer_resets"
    ABORTED = "peer_drops"  # by the router
    UNRESPONSIVE = "peer_silent"  # and aborted by the router


class DialFailure(Enum):
    """Why a dial failed; the values are the ends of the counters' names."""

    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    OTHER = "failed"  # an error of this host or of the network, or the handshake failed


def classify_dial_failure(reason: Failure) -> DialFailure:
    """Return why a dial failed. Only errors that are named here are more than a failure."""
    if is_failure_of_type(reason, ConnectionRefusedError):
        return DialFailure.REFUSED
    if is_failure_of_type(reason, TimeoutError) or is_failure_of_type(reason, TCPTimedOutError):
        return DialFailure.TIMED_OUT
    return DialFailure.OTHER


class LinkConnection(StreamProtocol):
    """A connection of a link, which ends if a message stays incomplete, and is read no faster than its message rate."""

    def __init__(self, link: Link, decoder: MessageDecoder) -> None:
        self._link = link
        self._partial_timer = PartialMessageTimer(decoder, link.clock, self._on_partial_timeout)
        self._pacer = MessagePacer(self.reading, link.clock, self._on_over_rate, self._on_reading_resumed)

    def is_receiving_messages(self) -> bool:
        """Return whether the connection is past its handshake, which has a timeout of its own."""
        return True

    def note_received(self, messages: int) -> None:
        """Take note of received bytes that have completed so many messages."""
        if self.is_receiving_messages():
            self._partial_timer.update()
        self._pacer.spend(messages)

    def _on_partial_timeout(self) -> None:
        self._link.on_incomplete_message(self)

    def _on_over_rate(self) -> None:
        self._link.counts["peer_paused_over_rate"] += 1
        self._partial_timer.cancel()

    def _on_reading_resumed(self) -> None:
        if self.is_receiving_messages():
            self._partial_timer.restart()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted when the connection has ended."""
        self._partial_timer.cancel()
        self._pacer.cancel()
        self._link.on_disconnected(self, reason)


class DialFactory(ClientFactory):
    """Factory of one connection attempt."""

    noisy = False

    def __init__(self, build_connection: Callable[[], Protocol], on_failure: Callable[[DialFailure], None]) -> None:
        self.build_connection, self.on_failure = build_connection, on_failure

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        """Called by Twisted when the connection is established."""
        return self.build_connection()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Called by Twisted when the connection cannot be established."""
        self.on_failure(classify_dial_failure(reason))


@dataclass(eq=False)
class Link:
    """State of the link to one peer. Subclasses implement the protocol that the peer speaks."""

    name: str
    address: str
    router: Router
    clock: ReactorClock
    counts: Counter[str]
    dial_timeout_us: int
    connection: StreamProtocol | None = None
    retired: bool = False
    is_input_stopped: bool = False
    # Set-ups that wait for the connection, by call id: the request and its deadline in microseconds.
    queued_set_ups: dict[str, tuple[Request, int]] = field(default_factory=dict)
    pending_set_ups: set[str] = field(default_factory=set)  # sent on the connection and neither answered nor ended
    releases: LinkReleases = field(init=False)
    connection_lost_outcome: io.Outcome = io.Outcome.CUT  # of set-ups whose connection is lost
    calls_end_with_process: bool = True  # the established calls at the peer end when its process does
    _connector: Any = None
    _refused_dials: int = 0
    _connected_us: int = 0
    _last_received_us: int = 0
    _probe_sent_us: int | None = None  # time of the unanswered probe on the present connection
    _has_responded: bool = False  # the peer sent more on the present connection than the state at its start
    _unresponsive_timeout_us: int = UNRESPONSIVE_TIMEOUT_US
    _reconnect_timer: Timer | None = None

    def __post_init__(self) -> None:
        """Begin without releases."""
        self.releases = LinkReleases(self.counts)

    # ---- implemented by subclasses

    def build_connection(self) -> StreamProtocol:
        """Build the protocol of a new connection, which calls on_connected and on_disconnected."""
        raise NotImplementedError

    def send_set_up(self, request: Request, deadline_us: int) -> None:
        """Send a set-up."""
        raise NotImplementedError

    def send_release(self, call_id: str, cause: int, answered: bool) -> None:
        """Send the cancellation of a set-up or, if it was answered, the release of the call."""
        raise NotImplementedError

    def probe(self) -> None:
        """Send a probe to the peer."""
        raise NotImplementedError

    def resume_calls(self) -> None:
        """Called after a reconnect, to ask the peer for the state of the established calls."""

    # ---- the connection

    def record_activity(self) -> None:
        """Record that bytes were received from the peer, and how long it took if it was probed."""
        now = self.clock.now_us()
        self._last_received_us = now
        if now - self._connected_us > KEEPALIVE_IDLE_US:
            self._has_responded = True
        self.releases.on_bytes_received(now)
        if self._probe_sent_us is not None:
            response_time_us = now - self._probe_sent_us
            self._probe_sent_us = None
            self._unresponsive_timeout_us = min(
                MAX_UNRESPONSIVE_TIMEOUT_US, max(UNRESPONSIVE_TIMEOUT_US, RESPONSE_TIME_RATIO * response_time_us))

    def is_healthy(self) -> bool:
        """Return whether the peer is connected and sent bytes recently.

        An unresponsive peer is probed, and a healthy one answers the probe.
        """
        return self.connection is not None and (
            self.clock.now_us() - self._last_received_us <= self._unresponsive_timeout_us)

    def check_liveness(self) -> None:
        """Probe an unresponsive peer, drop its connection and finally release its calls.

        A connection can stay open although nothing arrives on it any more. This protects pending set-ups, and
        established calls: their ends go unnoticed, and they still have to be released towards their callers. A new
        connection gets the full timeout before it is dropped in turn.
        """
        now = self.clock.now_us()
        if self.connection is not None and self._is_silent(now):
            if self._last_received_us >= self._connected_us and not self._has_responded:  # alive, but perhaps slow
                self._unresponsive_timeout_us = min(MAX_UNRESPONSIVE_TIMEOUT_US, 2 * self._unresponsive_timeout_us)
            self.abort_connection(self.connection, ConnectionEnd.UNRESPONSIVE)
        elif (self.connection is not None and now - self._last_received_us > KEEPALIVE_IDLE_US
                and self._probe_sent_us is None):
            self._probe_sent_us = now
            self.probe()
        if now - self._last_received_us > PEER_LOST_TIMEOUT_US and (calls := self.router.on_peer_lost(self.name)):
            log.warning("releasing calls at an unresponsive peer", peer=self.name, calls=len(calls))
            for call_id in calls:
                self.releases.queue(call_id, QueuedRelease(TEMPORARY_FAILURE, True, True))

    def _is_silent(self, now_us: int) -> bool:
        """Return whether the peer has sent nothing for the timeout, and has had the time to answer a probe.

        After a pause of this process, nothing has been received for long from peers that were not asked.
        """
        silent_since_us = max(self._last_received_us, self._connected_us)
        return (now_us - silent_since_us > self._unresponsive_timeout_us and self._probe_sent_us is not None
                and now_us - self._probe_sent_us >= MIN_PROBE_WAIT_US)

    def dial(self) -> None:
        """Connect, unless a connection is established or under way."""
        if self.connection is not None or self._connector is not None or not self.is_wanted():
            return
        host, _, port = self.address.rpartition(":")
        self.counts["peer_dials"] += 1
        self._connector = self.clock.reactor.connectTCP(
            host, int(port), DialFactory(self.build_connection, self.on_dial_failed),
            timeout=self.dial_timeout_us / 1e6)

    def is_wanted(self) -> bool:
        """Return whether the link needs a connection. Until it is retired it does: the ends of calls arrive on it."""
        return not self.retired and not self.is_input_stopped

    def on_connected(self, connection: StreamProtocol) -> None:
        """Send what waits for the connection, now that it is established."""
        if not self.is_wanted():  # any more, since the connection was being established
            connection.is_closed = True
            connection.abort()
            return
        self.connection, self._connector, self._refused_dials = connection, None, 0
        self._connected_us = self.clock.now_us()
        self._probe_sent_us, self._has_responded = None, False
        self.counts["peer_connections"] += 1
        self._send_queued_releases()
        self.resume_calls()
        queued_set_ups, self.queued_set_ups = self.queued_set_ups, {}
        for request, deadline_us in queued_set_ups.values():
            self.set_up(request, deadline_us)

    def _send_queued_releases(self) -> None:
        """Send the releases that wait for the connection, before any set-up is sent on it.

        A release names only its call. Because of this order, it cannot release a later attempt, however late it is.
        """
        for call_id, queued in self.releases.take_queued().items():
            self._send_release(call_id, queued)
            self.router.on_attempt_released(call_id)

    def _send_release(self, call_id: str, release: QueuedRelease) -> None:
        self.send_release(call_id, release.cause, release.is_answered)
        self.releases.on_sent(call_id, release, self.clock.now_us())

    def on_dial_failed(self, failure: DialFailure) -> None:
        """End the queued set-ups, which were never sent, and dial again later."""
        if self.retired:  # it stopped the dial itself
            return
        self._connector = None
        self.counts[f"peer_dials_{failure.value}"] += 1
        queued_set_ups, self.queued_set_ups = self.queued_set_ups, {}
        self._refused_dials = self._refused_dials + 1 if failure is DialFailure.REFUSED else 0
        if self._refused_dials >= REFUSED_DIALS_UNTIL_LOST and self.calls_end_with_process:
            self.releases.clear()
            self.router.on_peer_lost(self.name)  # the process is gone, and its calls with it
        for call_id in queued_set_ups:
            self.router.on_ended(self.name, call_id, AttemptEnd(io.Outcome.UNREACHABLE))
        self._schedule_reconnect()

    def on_disconnected(self, connection: StreamProtocol, reason: Failure) -> None:
        """Handle the end of a connection, which also ends the set-ups that are pending on it."""
        is_close = is_failure_of_type(reason, ConnectionDone)
        self.mark_ended(connection, ConnectionEnd.CLOSED if is_close else ConnectionEnd.RESET)

    def abort_connection(self, connection: StreamProtocol, end: ConnectionEnd = ConnectionEnd.ABORTED) -> None:
        """Abort a connection and treat it as ended.

        Used for unresponsive peers, for retired links, and after corrupt or truncated data, because the messages that
        follow it cannot be found.
        """
        connection.abort()
        self.mark_ended(connection, end)

    def on_incomplete_message(self, connection: StreamProtocol) -> None:
        """Abort a connection on which a message stays incomplete: what follows would be taken for the rest of it."""
        if not connection.is_closed:
            self.counts["peer_cut_short"] += 1
            log.warning("truncated message from a peer", peer=self.name)
            self.abort_connection(connection)

    def mark_ended(self, connection: StreamProtocol, end: ConnectionEnd = ConnectionEnd.CLOSED) -> None:
        """Treat a connection as ended from now on: its close may be delayed, and no set-up may be sent on it."""
        if connection.is_closed:
            return
        connection.is_closed = True
        if connection is self.connection:
            self._on_connection_ended(end)
        elif self.connection is None:  # it ended before it was ready for use
            self.on_dial_failed(DialFailure.OTHER)

    def _on_connection_ended(self, end: ConnectionEnd) -> None:
        """End the pending set-ups and reconnect. Established calls go on: no connection owns them.

        A reset alone does not prove that the peer's process died, so it must not end established calls: if the
        process died, the next dials are refused, or the bulletin reports it. A pending set-up may have been
        answered without this router receiving the answer: the peer is sent a release, or it would hold circuits for
        nobody. So it is if a release may have been lost with the connection.
        """
        self.connection, self._probe_sent_us = None, None
        self.counts[end.value] += 1
        is_unresponsive = end is ConnectionEnd.UNRESPONSIVE
        if is_unresponsive:
            self.counts[ConnectionEnd.ABORTED.value] += 1
        pending, self.pending_set_ups = self.pending_set_ups, set()
        if end is not ConnectionEnd.CLOSED:
            log.warning("connection to a peer ended", peer=self.name, why=end.value, set_ups=len(pending))
        self.releases.on_connection_lost(is_unresponsive)
        for call_id in pending:
            self.releases.queue(call_id, QueuedRelease(NORMAL_CLEARING, False, is_unresponsive))
        for call_id in pending:
            self.router.on_ended(self.name, call_id, AttemptEnd(self.connection_lost_outcome))
        if self.clock.now_us() - self._connected_us < MIN_CONNECTED_US:
            self._schedule_reconnect()
        else:
            self.dial()  # messages about established calls arrive on the next connection

    def _schedule_reconnect(self) -> None:
        if self._reconnect_timer is None and self.is_wanted():
            def reconnect() -> None:
                self._reconnect_timer = None
                self.dial()
            self._reconnect_timer = self.clock.call_at(self.clock.now_us() + RECONNECT_INTERVAL_US, reconnect)

    def retire(self) -> None:
        """Shut the link down for good, once the peer has left the roster: nothing is kept for it or sent to it.

        Without this, links to machines that are long gone would dial forever.
        """
        self.retired = True
        self.releases.clear()
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
            self._reconnect_timer = None
        if self._connector is not None and self._connector.state == "connecting":
            self._connector.stopConnecting()
        self._connector = None
        queued_set_ups, self.queued_set_ups = self.queued_set_ups, {}
        for call_id in queued_set_ups:
            self.router.on_ended(self.name, call_id, AttemptEnd(io.Outcome.UNREACHABLE))
        if self.connection is not None:
            self.abort_connection(self.connection)
            self.releases.clear()  # the end of the connection added releases of its pending set-ups

    # ---- calls

    def set_up(self, request: Request, deadline_us: int) -> None:
        """Send a set-up, or queue it until the connection is established."""
        if self.retired:
            self.router.on_ended(self.name, request.call_id, AttemptEnd(io.Outcome.UNREACHABLE))
            return
        if self.connection is None:
            self.queued_set_ups[request.call_id] = (request, deadline_us)
            self.dial()
            return
        self.counts["peer_set_ups_sent"] += 1
        try:
            self.send_set_up(request, deadline_us)
        except ValueError as error:  # it fits no message; only this call fails, not its caller's other calls
            log.warning("set-up cannot be encoded", peer=self.name, call=request.call_id, error=str(error))
            self.router.on_ended(self.name, request.call_id, AttemptEnd(io.Outcome.NUMBER_FAULT))
            return
        self.pending_set_ups.add(request.call_id)

    def release(self, call_id: str, cause: int) -> None:
        """Cancel a set-up, or release an established call."""
        if self.queued_set_ups.pop(call_id, None) is not None:
            return
        answered = call_id not in self.pending_set_ups  # a set-up that was sent and not answered is in there
        self.pending_set_ups.discard(call_id)
        if self.connection is not None:
            self.counts["peer_releases_sent"] += 1
            self._send_release(call_id, QueuedRelease(cause, answered))
        elif answered:  # otherwise the call would stay established at the peer, and hold its circuits
            self.releases.queue(call_id, QueuedRelease(cause, answered))
            self.dial()

    def is_release_pending(self, call_id: str, also_if_unresponsive: bool = True) -> bool:
        """Return whether a release of this call waits for a connection, also between two dials."""
        return self.releases.is_pending(call_id, also_if_unresponsive)

    def stop_input(self) -> None:
        """Read nothing more, and connect no more: the peer repeats releases on the connections of the next process.

        What is written is still sent.
        """
        self.is_input_stopped = True
        if self.connection is not None:
            self.connection.reading.pause(PauseReason.SHUTTING_DOWN)

    def finish(self) -> None:
        """Send what was written, and close the connection."""
        if self.connection is not None:
            self.connection.half_close()

    def has_unsent_releases(self) -> bool:
        """Return whether releases wait for a connection, of calls that may stand at the peer."""
        return any(not (release.may_never_be_sent and self.calls_end_with_process)
                   for release in self.releases.queued.values())
