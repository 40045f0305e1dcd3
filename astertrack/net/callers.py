"""The platform's front: SIP callers on TCP. Translates between wire.sip and the core; decides nothing."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import islice, takewhile
from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any

import structlog
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from astertrack.core import Request, Router
from astertrack.core.model import Clock
from astertrack.net.base import BackpressureProducer, StreamProtocol
from astertrack.wire import sip
from astertrack.wire.common import Malformed, MalformedError, parse_figures

log = structlog.get_logger()
REFUSED, FAILED, TERMINATED, BAD = 503, 500, 487, 400
READ_MOST = 4096  # octets read from one connection at a turn: about ten set-ups
SWEEP_US = 250_000  # how often connections and releases are looked at
SPEAK_US = 2_400_000  # a connection without a whole message for so long is closed: callers are owed it in 3 s
IDLE_US = 5_000_000  # and one with no set-up open; callers themselves close theirs after 4 s
CHOKED_US = 2_000_000  # one that does not read what it is sent
END_US = 500_000  # how long a connection that is closed may take to send what is left
FRESH_US = 100_000  # a connection so young is not given up for another
LOOKED_AT = 32  # connections among which the one least missed is sought: all would take too long in a crowd
UNHEARD_US = 350_000  # a release that the caller has not heard by then is sent on another connection
RELEASE_TRIES = 3
WIDTH_MOST = 64.0  # circuits
DEADLINES = 2  # times the class's own deadline: what asks for longer is out of range


@dataclass(slots=True)
class Release:
    """A release that is to be heard by a caller."""

    cause: int
    asked_us: int
    sent_us: int = 0
    tried: list[CallerConnection] = field(default_factory=list)


class CallerFront(Factory):
    """All connections from callers."""

    def __init__(self, router: Router, clock: Clock, classes: dict[str, int], counts: Counter[str],
                 most: int) -> None:
        self.router, self.clock, self.classes, self.counts, self.most = router, clock, classes, counts, most
        self.connections: dict[CallerConnection, None] = {}  # the one quiet for longest first
        self.releases: dict[str, Release] = {}  # not sent yet, or not heard by the caller
        self.held = 0  # descriptors: a connection given up holds its own until the reactor's next turn
        clock.call_at(clock.now_us() + SWEEP_US, self._sweep)

    def buildProtocol(self, addr: IAddress | None) -> CallerConnection | None:
        """Twisted's hook for a new connection; None refuses it."""
        crowded = self.held >= self.most + max(8, self.most // 4)  # those given up may still be there
        if crowded or (len(self.connections) >= self.most and not self._make_room()):
            self.counts["sip_connections_refused"] += 1
            return None
        return CallerConnection(self)

    def _make_room(self) -> bool:
        """Close the connection that is least missed: guards the descriptors against those that only hold one.

        The oldest that never said a word comes first, then the one that has been idle for longest.
        """
        now = self.clock.now_us()
        old = takewhile(lambda c: now - c.quiet_us > FRESH_US, self.connections)
        spare = list(islice((c for c in old if not c.machine.open and not c.unread()), LOOKED_AT))
        if not spare:
            return False
        self.counts["sip_closed_for_room"] += 1
        next((c for c in spare if not c.spoken), spare[0]).leave()
        return True

    def _sweep(self) -> None:
        now = self.clock.now_us()
        for connection in list(self.connections):
            connection.check(now)
        for call, release in list(self.releases.items()):
            self._follow_up(call, release, now)
        self.clock.call_at(now + SWEEP_US, self._sweep)

    # ---- releases

    def release(self, call: str, cause: int, preferred: CallerConnection | None = None) -> None:
        """Release a call that stood, on its own connection or any other: none owns it."""
        self.counts["sip_releases_sent"] += 1
        self.releases[call] = release = Release(cause, self.clock.now_us())
        self._send(call, release, preferred)

    def _send(self, call: str, release: Release, preferred: CallerConnection | None = None,
              any_one: bool = False) -> None:
        """Send it where it will be heard: on a connection where calls were answered, the latest in use.

        Guards callers against others who connect and neither ask nor listen: releases told to those are lost.
        """
        def fit(c: CallerConnection) -> bool:
            return c.usable() and c not in release.tried and (c.trusted or any_one)

        if preferred is None or preferred not in self.connections or not fit(preferred):
            preferred = next((c for c in reversed(self.connections) if fit(c)), None)
        if preferred is None:
            return  # the sweep tries again
        release.tried.append(preferred)
        release.sent_us = self.clock.now_us()
        preferred.release(call, release.cause)

    def _follow_up(self, call: str, release: Release, now: int) -> None:
        if not release.tried:
            self._send(call, release, any_one=now - release.asked_us >= SWEEP_US)
        elif not self.counts["sip_releases_heard"] or len(release.tried) >= RELEASE_TRIES:
            del self.releases[call]  # callers need not say that they heard one
        elif now - release.sent_us > UNHEARD_US:
            self.counts["sip_releases_repeated"] += 1
            self._send(call, release)


class CallerConnection(StreamProtocol):
    """One connection; the core's Caller for the calls that came on it."""

    def __init__(self, front: CallerFront) -> None:
        self.front, self.router, self.counts = front, front.router, front.counts
        self.machine = sip.Server()
        self.quiet_us = front.clock.now_us()  # since when nothing whole came and nothing was said
        self.partial_us: int | None = None  # since when a message is under way
        self.ending_us: int | None = None
        self.spoken = self.trusted = False  # a whole message came; a call was answered here

    def connectionMade(self) -> None:
        """Twisted's hook: the connection is up."""
        super().connectionMade()
        # Answers leave when a turn of the event loop ends: in a burst, reads of 64 KiB kept them too long.
        transport: Any = self.transport
        transport.bufferSize = READ_MOST
        transport.registerProducer(BackpressureProducer(self, self.front.clock, self._paused), True)
        self.counts["sip_connections"] += 1
        self.front.connections[self] = None
        self.front.held += 1

    def unread(self) -> bool:
        """Whether bytes have come that were not read yet.

        Guards a set-up that a busy router has not seen: closing now would lose it, and only one that crosses
        the close within 50 ms is sent again.
        """
        socket = getattr(self.transport, "socket", None)
        try:
            return socket is not None and bool(socket.recv(1, MSG_PEEK | MSG_DONTWAIT))
        except OSError:
            return False

    def leave(self) -> None:
        """Drop the connection, and count it as ended now: many may come before its end is noticed."""
        self.front.connections.pop(self, None)
        self.ending_us = self.front.clock.now_us()
        if self.write_blocked_since_us is None:
            self.close()  # an abort could take with it what the caller has not read yet
        else:
            self.abort()

    def _paused(self) -> None:
        self.counts["sip_pauses"] += 1

    def usable(self) -> bool:
        """Whether what is written here has a chance to be read."""
        return self.ending_us is None and self.write_blocked_since_us is None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted's hook: its callers have given up what is open on it; calls that stand go on."""
        self.front.connections.pop(self, None)
        self.front.held -= 1
        for call in list(self.machine.open):
            del self.machine.open[call]
            self.router.cancel(call)

    def check(self, now: int) -> None:
        """Close the connection if it is of no use: each holds a descriptor, and some callers never let go."""
        if self.ending_us is not None:
            if now - self.ending_us > END_US:
                self.abort()
        elif self.write_blocked_since_us is not None and now - self.write_blocked_since_us > CHOKED_US:
            self.counts["sip_closed_unread"] += 1
            self.abort()
        elif not self.spoken and now - self.quiet_us > SPEAK_US:
            self._end("sip_closed_silent")
        elif self.partial_us is not None and now - self.partial_us > SPEAK_US:
            self._end("sip_closed_half_sent")
        elif not self.machine.open and now - self.quiet_us > IDLE_US and not self.unread():
            self._end("sip_closed_idle")

    def _end(self, why: str) -> None:
        """Answer what is open and close, not waiting for long until that is sent."""
        self.counts[why] += 1
        self.ending_us = self.front.clock.now_us()
        for call in list(self.machine.open):
            self.router.cancel(call)
            self.machine.refuse(call, REFUSED)
        self._flush()
        self.close()

    def dataReceived(self, data: bytes) -> None:
        """Twisted's hook: bytes came."""
        if self.ending_us is not None:
            return
        before = self.machine.messages
        events = self.machine.receive(data)
        whole = self.machine.messages > before
        now = self.front.clock.now_us()
        if not self.machine.partial:
            self.partial_us = None
        elif whole or self.partial_us is None:
            self.partial_us = now
        if whole:
            self.spoken = True
            self._stir(now)
        for event in events:
            match event:
                case sip.SetUp():
                    self._set_up(event)
                case sip.GivenUp(call):
                    self.counts["sip_given_up"] += 1
                    if call in self.machine.open:
                        self.router.cancel(call)
                        self.machine.refuse(call, TERMINATED)
                case sip.HungUp(call, cause):
                    self.counts["sip_hung_up"] += 1
                    self.router.release_call(call, cause)
                case sip.Acknowledged():
                    self.counts["sip_acknowledged"] += 1
                case sip.ReleaseHeard(call):
                    self.counts["sip_releases_heard"] += 1
                    self.front.releases.pop(call, None)
                case Malformed(reason):
                    log.warning("caller sent what cannot be read", reason=reason)
                    self._end("sip_malformed")
        self._flush()

    def _set_up(self, event: sip.SetUp) -> None:
        self.counts["sip_set_ups"] += 1
        service = self.front.classes.get(event.tier, -1)
        request = self._read(event, service) if service >= 0 else None
        if request is None:
            self.counts["sip_unplaceable"] += 1
            log.warning("a call that cannot be placed", call=event.call, tier=event.tier[:40],
                        wait_ms=event.wait_ms, figures=event.attrs[:80])
            self.on_failed(event.call)
        elif not self.router.offer(request, self):
            # The id of a call in hand, on another connection: that call and its caller are not to be harmed.
            log.warning("a call in hand was offered again", call=event.call)
            self.machine.refuse(event.call, BAD)

    def _read(self, event: sip.SetUp, service: int) -> Request | None:
        """Make a request of it; None where a figure is out of range: such a call must never stand."""
        try:
            attrs = parse_figures(event.attrs, strict=True)
        except MalformedError:
            return None
        dest, width, via = attrs.get("dest", -1.0), attrs.get("width", 1.0), attrs.get("via", -1.0)
        now, longest = self.router.now_us(), self.router.settings.classes[service].deadline_us
        least = -1 if self.router.gate.resolves_destination else 0  # -1: the plan finds it by the number
        if not (least <= dest < 2**31 and dest.is_integer() and 0 < width <= WIDTH_MOST
                and -1 <= via < 2**31 and via.is_integer() and event.wait_ms * 1000 <= DEADLINES * longest
                and attrs.get("transit", 0) in (0, 1) and attrs.get("again", 0) in (0, 1)):
            return None
        return Request(
            event.call, service, event.tier, int(dest), event.number,
            now + min(event.wait_ms * 1000, longest), event.description, width=width,
            transit=bool(attrs.get("transit")), via=int(via), cut_before=bool(attrs.get("again")))

    def on_answered(self, call: str, description: bytes) -> None:
        """The call stands."""
        if self.machine.answer(call, description):
            self.trusted = True
            self.counts["sip_answers_sent"] += 1
        self._flush()

    def on_refused(self, call: str, wait_us: int) -> None:
        """Turned away; the caller is told when to return."""
        if self.machine.refuse(call, REFUSED, -(-wait_us // 1000)):
            self.counts["sip_refusals_sent"] += 1
        self._flush()

    def on_failed(self, call: str) -> None:
        """The call has failed."""
        if self.machine.refuse(call, FAILED):
            self.counts["sip_failures_sent"] += 1
        self._flush()

    def on_released(self, call: str, cause: int) -> None:
        """A call that stood is over."""
        self.front.release(call, cause, self)

    def release(self, call: str, cause: int) -> None:
        """Write a release here."""
        self.machine.release(call, cause)
        self._flush()

    def _stir(self, now: int) -> None:
        self.quiet_us = now
        if self.front.connections.pop(self, self) is None:
            self.front.connections[self] = None

    def _flush(self) -> None:
        """Write what is to be said. Not quiet then: a connection just answered on is not closed for room."""
        if data := self.machine.take():
            self._stir(self.front.clock.now_us())
            self.write(data)
