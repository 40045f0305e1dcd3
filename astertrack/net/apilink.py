"""Destinations that speak the call-control API over WebSocket: a call router is their client."""

from __future__ import annotations

from dataclasses import dataclass

import structlog
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from astertrack.core import NORMAL_CLEARING, AttemptEnd, Request
from astertrack.net.base import StreamProtocol
from astertrack.net.links import Link
from astertrack.wire import callapi as api
from astertrack.wire import websocket as ws
from astertrack.wire.common import MAX_MESSAGE_BYTES, Malformed
from ospreylug import interface as io

log = structlog.get_logger()
REASONS = {"no-circuit": io.Cause.NO_CIRCUIT, "turned-back": io.Cause.CRANKBACK,
           "far-processor-full": io.Cause.CRANKBACK_FULL, "processor-full": io.Cause.PROCESSOR_FULL,
           "lines-busy": io.Cause.LINES_BUSY}


class ApiConnection(StreamProtocol):
    """One socket to a destination."""

    def __init__(self, link: ApiLink) -> None:
        self.link = link
        self.machine = ws.WebSocket(ws.Role.CLIENT, link.path, link.address)

    def connectionMade(self) -> None:
        """Twisted's hook: the connection is up; the socket is once the handshake is done."""
        super().connectionMade()
        self.machine.connect()
        self.write(self.machine.take())
        clock = self.link.clock
        clock.call_at(clock.now_us() + self.link.dial_timeout_us, self._overdue)

    def _overdue(self) -> None:
        """Guards against a server that never shakes hands: nothing would dial again."""
        if self.machine.state is ws.State.CONNECTING:
            self.abort()

    def dataReceived(self, data: bytes) -> None:
        """Twisted's hook: bytes came."""
        if self.is_closed:
            return
        self.link.record_activity()
        for event in self.machine.receive(data):
            match event:
                case ws.Opened():
                    self.link.on_connected(self)
                case ws.Text(raw):
                    self._text(raw)
                case ws.Closed():
                    self.write(self.machine.take())
                    self.close()
                    self.link.mark_ended(self)
                case Malformed(reason):
                    self.link.counts["peer_malformed"] += 1
                    log.warning("destination sent what cannot be read", peer=self.link.name, reason=reason)
                    self.link.abort_connection(self)
            if self.is_closed:
                return
        self.write(self.machine.take())

    def _text(self, raw: str) -> None:
        try:
            self.link.heard(api.read_reply(raw))
        except api.BadMessage as wrong:
            self.link.counts["peer_malformed"] += 1
            log.warning("destination sent what cannot be read", peer=self.link.name, reason=wrong.reason)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted's hook: the connection has ended."""
        self.link.on_disconnected(self, reason)

    def ping(self) -> None:
        """Ask for a sign of life."""
        self.machine.ping()
        self.write(self.machine.take())

    def tell(self, message: api.Message) -> None:
        """Send a message."""
        self.machine.send(api.write(message))
        self.write(self.machine.take())


@dataclass(eq=False)
class ApiLink(Link):
    """The way to one destination."""

    path: str = "/calls"
    # Not tried again there: the API's servers remember an id that was given up, and never set it up twice.
    connection_lost_outcome: io.Outcome = io.Outcome.NUMBER_FAULT

    def build_connection(self) -> ApiConnection:
        """Make the protocol of a new connection."""
        return ApiConnection(self)

    def _tell(self, message: api.Message) -> None:
        if isinstance(message, api.SetUp) and len(api.write(message).encode()) > MAX_MESSAGE_BYTES:
            raise ValueError("message too long")
        if isinstance(self.connection, ApiConnection):
            self.connection.tell(message)

    def send_set_up(self, request: Request, deadline_us: int) -> None:
        """Write a set-up; its deadline travels as the instant it is."""
        self._tell(api.SetUp(request.call_id, request.service_name, request.number, request.dest, deadline_us // 1000,
                             request.description.decode("utf-8", "replace"),
                             request.width, request.dest != self.number(), again=request.cut_before))

    def number(self) -> int:
        """Return the exchange's number: a call for another one goes through it in transit."""
        entry = self.router.roster.get(self.name)
        return entry.number if entry is not None else -1

    def send_release(self, call: str, cause: int, answered: bool) -> None:
        """Write a cancel or a release: the API keeps them apart."""
        self._tell(api.Release(call, cause) if answered else api.Cancel(call))

    def probe(self) -> None:
        """Ask the socket for a sign of life, and answer for it: a ping tells nothing of a processor."""
        up = self.connection is not None
        if isinstance(self.connection, ApiConnection):
            self.connection.ping()
        self.clock.call_at(self.clock.now_us(), lambda: self.router.on_group_state(self.name, io.Load(), ok=up))

    def resume_calls(self) -> None:
        """Ask for what became of the calls that stand."""
        for call, held in self.router.calls_by_peer.get(self.name, {}).items():
            if held.is_established:
                self._tell(api.Resume(call))

    def heard(self, message: api.Message) -> None:
        """Tell the core what the destination said."""
        self.counts["peer_" + api.NAMES[type(message)]] += 1
        match message:
            case api.Answer(call, description):
                self.outstanding_set_ups.discard(call)
                self.router.on_answered(self.name, call, description.encode())
            case api.Refused(call, _, reason):
                self._over(call, io.Outcome.TURNED_AWAY, REASONS.get(reason, io.Cause.NONE))
            case api.Failed(call, reason):
                self._over(call, io.Outcome.NUMBER_FAULT, REASONS.get(reason, io.Cause.NONE))
            case api.Cancelled(call):
                self._over(call, io.Outcome.CUT)
            case api.Released(call, cause):
                self._over(call, io.Outcome.OK if cause == NORMAL_CLEARING else io.Outcome.CUT)
            case api.Error(code, reason, call):
                log.warning("destination sent an error", peer=self.name, code=code, reason=reason, call=call)
                if call is not None:  # the call is not there, or never will be
                    self._over(call, io.Outcome.CUT if code == "unknown-call" else io.Outcome.NUMBER_FAULT)
            case api.State(free, size, hold_back):
                self.router.on_group_state(self.name, io.Load(free=free, size=size, hold_back=hold_back))

    def _over(self, call: str, outcome: io.Outcome, cause: io.Cause = io.Cause.NONE) -> None:
        self.outstanding_set_ups.discard(call)
        self.router.on_ended(self.name, call, AttemptEnd(outcome, cause))
