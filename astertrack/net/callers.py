"""The SIP front of the platform: callers that connect over TCP.

Translates between astertrack.wire.sip and the core, and manages the connections; it makes no routing decisions.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from itertools import islice, takewhile
from typing import Any, cast

import structlog
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from astertrack.core import Request, Router
from astertrack.core.model import Clock
from astertrack.net.base import BackpressureProducer, StreamProtocol
from astertrack.net.caller_releases import CallerReleases, ReleaseConnection, Trust
from astertrack.net.input_queue import InputQueue, QueueScheduler
from astertrack.net.pacing import (
    MAX_SET_UPS_PER_S,
    RETRY_WAIT_US,
    UNKNOWN_RELEASE_COST,
    TokenBucket,
)
from astertrack.net.partial import PartialMessage
from astertrack.wire import sip
from astertrack.wire.common import Malformed, MalformedError, parse_figures

log = structlog.get_logger()
# SIP response codes (RFC 3261, section 21).
SERVICE_UNAVAILABLE, SERVER_INTERNAL_ERROR, REQUEST_TERMINATED, BAD_REQUEST = 503, 500, 487, 400
SWEEP_INTERVAL_US = 250_000  # between checks of the connections and of the releases that are not confirmed
# A connection whose first message, or the message it has begun, is not complete after this time is closed: a caller
# must get an answer or the close within 3 s of connecting.
MESSAGE_TIMEOUT_US = 2_400_000
IDLE_TIMEOUT_US = 5_000_000  # for connections without a pending set-up; callers themselves close theirs after 4 s
WRITE_BLOCKED_TIMEOUT_US = 2_000_000  # for connections whose caller does not read what it is sent
CLOSE_TIMEOUT_US = 500_000  # a connection that is being closed has this time to send the rest of its write buffer
MIN_EVICTION_IDLE_US = 100_000  # a connection that was active more recently is not closed to make room for another
MAX_EVICTION_CANDIDATES = 32  # examined per eviction: examining all connections would take too long when there are many
MAX_WIDTH = 64.0  # circuits
MAX_DEADLINE_RATIO = 2  # a set-up whose deadline is more than this multiple of its class's deadline is invalid


class SipFront(Factory):
    """All connections from callers."""

    def __init__(self, router: Router, clock: Clock, classes: dict[str, int], counts: Counter[str],
                 max_connections: int, on_release_settled: Callable[[str], None] = lambda call_id: None) -> None:
        self.router, self.clock, self.classes, self.counts, self.max_connections = (
            router, clock, classes, counts, max_connections)
        self.connections: dict[CallerConnection, None] = {}  # the one that has been idle for longest first
        self.releases = CallerReleases(cast(dict[ReleaseConnection, None], self.connections), clock, counts,
                                       on_release_settled)
        self.queues = QueueScheduler(clock)
        # A connection that was evicted keeps its descriptor until the next iteration of the reactor.
        self.open_descriptors = 0
        clock.call_at(clock.now_us() + SWEEP_INTERVAL_US, self._sweep)

    def buildProtocol(self, addr: IAddress | None) -> CallerConnection | None:
        """Called by Twisted when a connection is accepted; None refuses it."""
        # The margin is for evicted connections that are not closed yet.
        out_of_descriptors = self.open_descriptors >= self.max_connections + max(8, self.max_connections // 4)
        if out_of_descriptors or (len(self.connections) >= self.max_connections and not self._evict_connection()):
            self.counts["sip_connections_refused"] += 1
            return None
        return CallerConnection(self)

    def _evict_connection(self) -> bool:
        """Close the connection that is least needed, and return whether there was one.

        Protects the descriptors against callers that only hold connections. The oldest connection that never sent a
        message goes first, then the one that has been idle for longest.
        """
        now = self.clock.now_us()
        idle = takewhile(lambda c: now - c.idle_since_us > MIN_EVICTION_IDLE_US, self.connections)
        candidates = list(islice((c for c in idle if not c.sip_connection.pending_invites and not c.has_unread_bytes()),
                                 MAX_EVICTION_CANDIDATES))
        if not candidates:
            return False
        self.counts["sip_closed_for_room"] += 1
        next((c for c in candidates if not c.has_sent_message), candidates[0]).evict()
        return True

    def _sweep(self) -> None:
        now = self.clock.now_us()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self.releases.check()
        self.clock.call_at(now + SWEEP_INTERVAL_US, self._sweep)


class CallerConnection(StreamProtocol):
    """One connection. Implements the core's Caller port for the calls that arrived on it."""

    def __init__(self, front: SipFront) -> None:
        self.front, self.router, self.counts = front, front.router, front.counts
        self.sip_connection = sip.ServerConnection()
        self.idle_since_us = front.clock.now_us()  # since when no message was completed or sent
        self.partial_message = PartialMessage(self.sip_connection, self.idle_since_us)
        self.closing_since_us: int | None = None
        self.input = InputQueue(self, front.clock, front.queues, self._process, self._on_over_rate,
                                self._on_reading_resumed)
        self.set_up_bucket = TokenBucket(MAX_SET_UPS_PER_S, self.idle_since_us)
        self.has_sent_message = self.has_sent_invalid_message = False
        self.has_answered_call = False  # one of the caller's calls was answered

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established."""
        super().connectionMade()
        transport: Any = self.transport
        transport.registerProducer(BackpressureProducer(self, self.front.clock, self._on_pause), True)
        self.counts["sip_connections"] += 1
        self.front.connections[self] = None
        self.front.open_descriptors += 1
        if self.front.queues.is_draining:
            self.input.lift_limits()

    def has_unread_bytes(self) -> bool:
        """Return whether received bytes wait in the socket's buffer or in the queue.

        They may be a set-up that a busy router has not read yet. Closing the connection now would lose it: callers
        repeat a set-up only if it crosses the close within 50 ms.
        """
        return bool(len(self.input)) or self.has_received_bytes()

    def has_unfinished_input(self) -> bool:
        """Return whether a set-up may have been received that was not processed, or is incomplete."""
        return self.closing_since_us is None and (
            self.has_unread_bytes() or self.sip_connection.has_partial_message)

    @property
    def is_finishing(self) -> bool:
        """Whether the connection is being closed, and no further set-up is taken on it."""
        return self.closing_since_us is not None

    def finish(self) -> None:
        """Close the connection, because the router stops: what was written is sent first."""
        if self.closing_since_us is None:
            self.closing_since_us = self.front.clock.now_us()
            self.half_close()

    def evict(self) -> None:
        """Close the connection and treat it as ended from now on: new ones may arrive before its end is noticed."""
        self.front.connections.pop(self, None)
        self.closing_since_us = self.front.clock.now_us()
        if self.write_blocked_since_us is None:
            self.close()  # an abort could discard data that the caller has not read yet
        else:
            self.abort()

    def _on_pause(self) -> None:
        self.counts["sip_pauses"] += 1

    def _on_over_rate(self) -> None:
        self.counts["sip_paused_over_rate"] += 1

    def _on_reading_resumed(self) -> None:
        self.partial_message.restart(self.front.clock.now_us())

    @property
    def trust(self) -> Trust:
        """How likely it is that a caller receives what is sent here."""
        if self.has_answered_call:
            return Trust.ANSWERED_CALL
        is_sound = self.has_sent_message and not self.has_sent_invalid_message
        return Trust.SOUND_MESSAGES if is_sound else Trust.NONE

    def is_writable(self) -> bool:
        """Return whether the caller is likely to read what is written here."""
        return self.closing_since_us is None and self.write_blocked_since_us is None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted when the connection has ended, which cancels the set-ups that are pending on it.

        Established calls go on.
        """
        self.front.connections.pop(self, None)
        self.front.open_descriptors -= 1
        self.input.clear()
        for call_id in list(self.sip_connection.pending_invites):
            del self.sip_connection.pending_invites[call_id]
            self.router.cancel(call_id)

    def check_timeouts(self, now_us: int) -> None:
        """Close the connection if a timeout has expired: each holds a descriptor, and some callers never close."""
        if self.closing_since_us is not None:
            if now_us - self.closing_since_us > CLOSE_TIMEOUT_US:
                self.abort()
        elif (self.write_blocked_since_us is not None
                and now_us - self.write_blocked_since_us > WRITE_BLOCKED_TIMEOUT_US):
            self.counts["sip_closed_unread"] += 1
            self.abort()
        elif not self.has_sent_message and now_us - self.idle_since_us > MESSAGE_TIMEOUT_US:
            self._refuse_and_close("sip_closed_silent")
        elif self.input.is_over_rate():
            self.input.check_left()
        elif self.partial_message.is_older_than(MESSAGE_TIMEOUT_US, now_us):
            self._refuse_and_close("sip_closed_half_sent")
        elif (not self.sip_connection.pending_invites and now_us - self.idle_since_us > IDLE_TIMEOUT_US
                and not self.has_unread_bytes()):
            self._refuse_and_close("sip_closed_idle")

    def _refuse_and_close(self, counter: str) -> None:
        """Refuse the pending set-ups and close, waiting at most CLOSE_TIMEOUT_US until the responses are sent."""
        self.counts[counter] += 1
        self.closing_since_us = self.front.clock.now_us()
        for call_id in list(self.sip_connection.pending_invites):
            self.router.cancel(call_id)
            self.sip_connection.reject(call_id, SERVICE_UNAVAILABLE)
        self._flush()
        self.close()

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when bytes were received."""
        if self.closing_since_us is None:
            self.input.receive(data)

    def _process(self, data: bytes, has_left: bool) -> int:
        """Process received bytes; return the number of messages that they cost."""
        if self.closing_since_us is not None:
            return 0
        messages_before = self.sip_connection.message_count
        events = self.sip_connection.receive(data)
        message_count = self.sip_connection.message_count - messages_before
        message_completed = message_count > 0
        now = self.front.clock.now_us()
        self.partial_message.update(now)
        if message_completed:
            self.has_sent_message = True
            self._mark_active(now)
        for event in events:
            match event:
                case sip.SetUp() if has_left:
                    self.counts["sip_set_ups_abandoned"] += 1
                    del self.sip_connection.pending_invites[event.call]
                case sip.SetUp():
                    self._on_set_up(event)
                case sip.CallCancelled(call_id):
                    self.counts["sip_given_up"] += 1
                    if call_id in self.sip_connection.pending_invites:
                        self.router.cancel(call_id)
                        self.sip_connection.reject(call_id, REQUEST_TERMINATED)
                case sip.CallReleased(call_id, cause):
                    self.counts["sip_hung_up"] += 1
                    if self.router.orphans.is_unknown(call_id):
                        message_count += UNKNOWN_RELEASE_COST - 1
                    self.router.release_call(call_id, cause)
                case sip.Acknowledged():
                    self.counts["sip_acknowledged"] += 1
                case sip.ReleaseConfirmed(call_id):
                    self.counts["sip_releases_heard"] += 1
                    self.front.releases.confirm(call_id)
                case Malformed(reason):
                    log.warning("malformed data from a caller", reason=reason)
                    self._refuse_and_close("sip_malformed")
        self._flush()
        return message_count

    def _on_set_up(self, event: sip.SetUp) -> None:
        self.counts["sip_set_ups"] += 1
        if not self.set_up_bucket.take(self.front.clock.now_us()):
            self.counts["sip_refused_over_rate"] += 1
            self.on_refused(event.call, RETRY_WAIT_US)
            return
        service = self.front.classes.get(event.class_name, -1)
        request = self._make_request(event, service) if service >= 0 else None
        if request is None:
            self.counts["sip_unplaceable"] += 1
            log.warning("set-up of an unknown class or with attributes out of range", call=event.call,
                        tier=event.class_name[:40], wait_ms=event.wait_ms, figures=event.attrs[:80])
            self.has_sent_invalid_message = True
            self.on_failed(event.call)
        elif not self.router.offer(request, self):
            # A call with this id is in progress on another connection. That call and its caller must not be affected.
            log.warning("set-up with the id of a call in progress", call=event.call)
            self.has_sent_invalid_message = True
            self.sip_connection.reject(event.call, BAD_REQUEST)

    def _make_request(self, event: sip.SetUp, service: int) -> Request | None:
        """Convert a set-up to a request, or return None if an attribute is out of range.

        A call with such attributes must never be established.
        """
        try:
            attrs = parse_figures(event.attrs, strict=True)
        except MalformedError:
            return None
        dest, width, via = attrs.get("dest", -1.0), attrs.get("width", 1.0), attrs.get("via", -1.0)
        now, max_wait_us = self.router.now_us(), self.router.settings.classes[service].deadline_us
        min_dest = -1 if self.router.gate.resolves_destination else 0  # -1: the plan finds it by the number
        if not (min_dest <= dest < 2**31 and dest.is_integer() and 0 < width <= MAX_WIDTH
                and -1 <= via < 2**31 and via.is_integer() and event.wait_ms * 1000 <= MAX_DEADLINE_RATIO * max_wait_us
                and attrs.get("transit", 0) in (0, 1) and attrs.get("again", 0) in (0, 1)):
            return None
        drained_since_us = self.input.drained_since_us
        received_us = now if drained_since_us is None else drained_since_us
        return Request(
            event.call, service, event.class_name, int(dest), event.number,
            received_us + min(event.wait_ms * 1000, max_wait_us), event.description, width=width,
            transit=bool(attrs.get("transit")), via=int(via), cut_before=bool(attrs.get("again")))

    def on_answered(self, call_id: str, description: bytes) -> None:
        """Send the answer: the call is established."""
        if self.sip_connection.answer(call_id, description):
            self.has_answered_call = True
            self.counts["sip_answers_sent"] += 1
        self._flush()

    def on_refused(self, call_id: str, wait_us: int) -> None:
        """Refuse a set-up, and tell the caller when to try again."""
        if self.sip_connection.reject(call_id, SERVICE_UNAVAILABLE, -(-wait_us // 1000)):
            self.counts["sip_refusals_sent"] += 1
        self._flush()

    def on_failed(self, call_id: str) -> None:
        """Report that the call has failed."""
        if self.sip_connection.reject(call_id, SERVER_INTERNAL_ERROR):
            self.counts["sip_failures_sent"] += 1
        self._flush()

    def on_released(self, call_id: str, cause: int) -> None:
        """Release an established call that has ended, preferably on this connection."""
        self.front.releases.release(call_id, cause, self)

    def release(self, call_id: str, cause: int) -> None:
        """Send a release on this connection."""
        self.sip_connection.release(call_id, cause)
        self._flush()

    def _mark_active(self, now_us: int) -> None:
        """Move the connection to the end of the front's connections, which are ordered by their last activity.

        One that was removed, because it is evicted or has ended, is not inserted again.
        """
        self.idle_since_us = now_us
        if self.front.connections.pop(self, self) is None:  # it was there: all values are None
            self.front.connections[self] = None

    def _flush(self) -> None:
        """Send pending output. This counts as activity: a connection that just got an answer must not be evicted."""
        if data := self.sip_connection.take_output():
            self._mark_active(self.front.clock.now_us())
            self.write(data)
