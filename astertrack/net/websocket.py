"""The second front: callers who speak the call-control API over WebSocket (docs/call-control.md).

No socket owns a call. A set-up that is not answered is given up when its socket closes; a call that stands
goes on, and whoever resumes it is told of its end.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace

import structlog
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from astertrack.core import Request, Router
from astertrack.net.base import BackpressureProducer, StreamProtocol
from astertrack.net.clock import ReactorClock
from astertrack.wire import callapi as api
from astertrack.wire import websocket as ws
from astertrack.wire.common import Malformed

log = structlog.get_logger()
KEPT_US = 60_000_000  # how long the end of a call is remembered for whoever asks
SWEEP_US = 5_000_000  # how often what is too old is forgotten
PING_US = 20_000_000  # a silent socket is asked for a sign of life
SILENT_US = 60_000_000  # and given up after so long
WATCH_US = 250_000  # how often sockets are looked at
WHOLE_US = 2_400_000  # a handshake or message not whole by then closes its socket, as on the SIP front
CHOKED_US = 10_000_000  # a client that does not read for so long is given up: what waits for it is bounded
CONNECTIONS_MOST = 256
FINAL = (api.Refused, api.Failed, api.Cancelled, api.Released)


@dataclass(slots=True, eq=False)
class ApiCall:
    """A call as this front knows it: its last word, and the socket that is told the next."""

    session: Session | None
    told: api.Message
    asked: api.SetUp
    ended_us: int | None = None  # None: in hand


class CallFront(Factory):
    """All sockets; the core's Caller for the calls that came on any of them."""

    def __init__(self, router: Router, clock: ReactorClock, classes: dict[str, int], counts: Counter[str],
                 path: str, most: int = CONNECTIONS_MOST) -> None:
        self.router, self.clock, self.classes, self.counts, self.path = router, clock, classes, counts, path
        self.most = min(most, CONNECTIONS_MOST)
        self.sessions: set[Session] = set()
        self.calls: dict[str, ApiCall] = {}
        self.clock.call_at(self.clock.now_us() + SWEEP_US, self._sweep)
        self.clock.call_at(self.clock.now_us() + WATCH_US, self._watch)

    def buildProtocol(self, addr: IAddress | None) -> Session | None:
        """Twisted's hook for a new connection; None refuses it."""
        if len(self.sessions) >= self.most:
            self.counts["ws_connections_refused"] += 1
            return None
        return Session(self)

    def _sweep(self) -> None:
        """Forget what ended long ago."""
        now = self.clock.now_us()
        old = now - KEPT_US
        for call in [n for n, c in self.calls.items() if c.ended_us is not None and c.ended_us <= old]:
            del self.calls[call]
        self.clock.call_at(now + SWEEP_US, self._sweep)

    def _watch(self) -> None:
        """Give up sockets that have died without a word, or never say a whole one."""
        now = self.clock.now_us()
        for session in list(self.sessions):
            session.check(now)
        self.clock.call_at(now + WATCH_US, self._watch)

    # ---- what clients ask

    def asked(self, session: Session, request: api.Request) -> None:
        """Act on a client's message."""
        call = self.calls.get(request.id)
        if isinstance(request, api.SetUp) and call is not None and (
                replace(request, deadline=0) != replace(call.asked, deadline=0)):
            # Another call under an id in use: neither that call nor its client is to be harmed by it.
            raise api.BadMessage("id-in-use", "another call has this id", request.id)
        if isinstance(request, api.SetUp) and call is None:
            self._set_up(session, request)
        elif call is None:
            raise api.BadMessage("unknown-call", "no such call", request.id)
        elif isinstance(request, (api.SetUp, api.Resume)):
            # The same request again, perhaps over a new socket: the same call, never a second set-up.
            self.counts["ws_repeats"] += 1
            call.session = session
            session.tell(call.told)
        elif isinstance(request, api.Cancel):
            if self.router.cancel(request.id):
                self._tell(request.id, api.Cancelled(request.id))
            else:  # it crossed the answer, or came twice: the call is as was told
                session.tell(call.told)
        elif self.router.release_call(request.id, request.cause):
            self._tell(request.id, api.Released(request.id, request.cause))
        elif call.ended_us is not None:
            session.tell(call.told)
        else:
            raise api.BadMessage("not-standing", "the call is not answered: cancel it", request.id)

    def _set_up(self, session: Session, asked: api.SetUp) -> None:
        service = self.classes.get(asked.service)
        if service is None:
            raise api.BadMessage("unknown-class", "no such class of call", asked.id)
        if asked.dest < 0 and not self.router.gate.resolves_destination:
            raise api.BadMessage("bad-field", "field dest is needed: there is no plan to find it by", asked.id)
        if asked.id in self.router.calls:
            raise api.BadMessage("id-in-use", "another caller's call has this id", asked.id)
        now = self.router.now_us()
        longest = now + self.router.settings.classes[service].deadline_us
        self.counts["ws_set_ups"] += 1
        self.calls[asked.id] = call = ApiCall(session, api.Progress(asked.id), asked)
        self.router.offer(Request(
            asked.id, service, asked.service, asked.dest, asked.number, min(asked.deadline * 1000, longest),
            asked.description.encode(), asked.width, transit=asked.transit, via=asked.via,
            cut_before=asked.again), self)
        if isinstance(call.told, api.Progress):
            session.tell(call.told)

    def closed(self, session: Session) -> None:
        """A socket has closed: what is not answered is given up, what stands goes on."""
        self.sessions.discard(session)
        for name in [n for n, c in self.calls.items() if c.session is session]:
            self.calls[name].session = None
            if self.router.cancel(name):
                self.counts["ws_given_up_by_close"] += 1
                self._tell(name, api.Cancelled(name))

    # ---- what the core answers

    def _tell(self, name: str, message: api.Message) -> None:
        call = self.calls.get(name)
        if call is None:
            return
        call.told = message
        if isinstance(message, FINAL):
            call.ended_us = self.clock.now_us()
        if call.session is not None:
            call.session.tell(message)

    def on_answered(self, call: str, description: bytes) -> None:
        """The call stands."""
        self.counts["ws_answers_sent"] += 1
        self._tell(call, api.Answer(call, description.decode("utf-8", "replace")))

    def on_refused(self, call: str, wait_us: int) -> None:
        """Turned away; the caller is told when to return."""
        self.counts["ws_refusals_sent"] += 1
        self._tell(call, api.Refused(call, -(-wait_us // 1000)))

    def on_failed(self, call: str) -> None:
        """The call has failed."""
        self.counts["ws_failures_sent"] += 1
        self._tell(call, api.Failed(call))

    def on_released(self, call: str, cause: int) -> None:
        """A call that stood is over."""
        self.counts["ws_releases_sent"] += 1
        self._tell(call, api.Released(call, cause))


class Session(StreamProtocol):
    """One client's socket."""

    def __init__(self, front: CallFront) -> None:
        self.front, self.counts = front, front.counts
        self.machine = ws.WebSocket(ws.Role.SERVER, front.path)
        self.heard_us = front.clock.now_us()
        self.partial_us: int | None = self.heard_us  # since when something is under way
        self.pinged = self.busy = False

    def connectionMade(self) -> None:
        """Twisted's hook: the connection is up."""
        super().connectionMade()
        self.counts["ws_connections"] += 1
        self.front.sessions.add(self)
        if self.transport is not None:  # a client that does not read is not read either, until it does
            self.transport.registerProducer(BackpressureProducer(self, self.front.clock, self._paused), True)

    def _paused(self) -> None:
        self.counts["ws_pauses"] += 1

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted's hook: the connection has ended."""
        self.front.closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Twisted's hook: bytes came."""
        self.heard_us = now = self.front.clock.now_us()
        self.pinged, self.busy = False, True
        events = self.machine.receive(data)
        if not self.machine.partial:
            self.partial_us = None
        elif events or self.partial_us is None:
            self.partial_us = now
        for event in events:
            match event:
                case ws.Text(raw):
                    self._text(raw)
                case ws.Closed():
                    self.close()
                case Malformed(reason):
                    self.counts["ws_malformed"] += 1
                    log.warning("client sent what cannot be read", reason=reason)
                    self.close()
        self.busy = False
        self.write(self.machine.take())

    def _text(self, raw: str) -> None:
        try:
            self.front.asked(self, api.read_request(raw))
        except api.BadMessage as wrong:
            self.counts["ws_errors_sent"] += 1
            self.tell(api.Error(wrong.code, wrong.reason, wrong.id))

    def tell(self, message: api.Message) -> None:
        """Send a message."""
        self.machine.send(api.write(message))
        if not self.busy:
            self.write(self.machine.take())

    def check(self, now_us: int) -> None:
        """Ask a silent socket for a sign of life, and give one up that has been silent for long."""
        choked = self.write_blocked_since_us is not None and now_us - self.write_blocked_since_us > CHOKED_US
        if choked or now_us - self.heard_us > SILENT_US:
            self.abort()
        elif self.partial_us is not None and now_us - self.partial_us > WHOLE_US:
            self.counts["ws_closed_half_sent"] += 1
            self.abort()
        elif now_us - self.heard_us > PING_US and not self.pinged:
            self.pinged = True
            self.machine.ping()
            self.write(self.machine.take())

    def close_going_away(self) -> None:
        """The router stops: say so."""
        self.machine.close(ws.CloseCode.GOING_AWAY)
        self.write(self.machine.take())
        self.close()
