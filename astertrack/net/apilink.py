"""Destinations that speak the call-control API over WebSocket, of which the router is a client."""

from __future__ import annotations

from dataclasses import dataclass, field

import structlog

from astertrack.core import NORMAL_CLEARING, AttemptEnd, Request
from astertrack.net.links import Link, LinkConnection
from astertrack.net.release_confirmations import ReleaseConfirmations
from astertrack.wire import callapi as api
from astertrack.wire import websocket as ws
from astertrack.wire.common import MAX_MESSAGE_BYTES, Malformed
from ospreylug import interface as io

log = structlog.get_logger()
MAX_HANDSHAKE_TIMEOUT_US = 8_000_000
REASON_CAUSES = {"no-circuit": io.Cause.NO_CIRCUIT, "turned-back": io.Cause.CRANKBACK,
                 "far-processor-full": io.Cause.CRANKBACK_FULL, "processor-full": io.Cause.PROCESSOR_FULL,
                 "lines-busy": io.Cause.LINES_BUSY}


class ApiConnection(LinkConnection):
    """One WebSocket connection to a destination."""

    def __init__(self, link: ApiLink) -> None:
        self.link = link
        headers = api.encode_client_headers(link.client) if link.client is not None else {}
        self.websocket = ws.WebSocket(ws.Role.CLIENT, link.path, link.address, headers=headers)
        self._started_us = 0  # of the handshake
        super().__init__(link, self.websocket)

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established; the socket is open after the handshake."""
        super().connectionMade()
        self.websocket.connect()
        self.write(self.websocket.take_output())
        clock = self.link.clock
        self._started_us = clock.now_us()
        clock.call_at(self._started_us + self.link.handshake_timeout_us, self._on_handshake_timeout)

    def _on_handshake_timeout(self) -> None:
        """Abort a handshake that is not complete in time: the link does not dial again while it waits for one."""
        if self.websocket.state is ws.State.CONNECTING:
            self.link.on_handshake_timeout()
            self.abort()

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when bytes were received."""
        if self.is_closed:
            return
        if self.is_receiving_messages():  # a handshake that never completes is no sign of life
            self.link.record_activity()
        messages_before = self.websocket.message_count
        for event in self.websocket.receive(data):
            match event:
                case ws.Opened():
                    self.link.on_handshake(self.link.clock.now_us() - self._started_us)
                    self.link.on_connected(self)
                    self.link.record_activity()
                case ws.Text(raw):
                    self._on_text(raw)
                case ws.Closed():
                    self.write(self.websocket.take_output())
                    self.close()
                    self.link.mark_ended(self)
                case Malformed(reason):
                    self.link.counts["peer_malformed"] += 1
                    log.warning("malformed data from a destination", peer=self.link.name, reason=reason)
                    self.link.abort_connection(self)
            if self.is_closed:
                return
        self.write(self.websocket.take_output())
        self.note_received(self.websocket.message_count - messages_before)

    def is_receiving_messages(self) -> bool:
        """Return whether the handshake is complete."""
        return self.websocket.state is not ws.State.CONNECTING

    def _on_text(self, raw: str) -> None:
        try:
            self.link.on_message(api.decode_reply(raw))
        except api.InvalidMessageError as error:
            self.link.counts["peer_malformed"] += 1
            log.warning("malformed message from a destination", peer=self.link.name, reason=error.reason)

    def ping(self) -> None:
        """Send a ping."""
        self.websocket.ping()
        self.write(self.websocket.take_output())

    def send_message(self, message: api.Message) -> None:
        """Send a message."""
        self.websocket.send(api.encode_message(message))
        self.write(self.websocket.take_output())


@dataclass(eq=False)
class ApiLink(Link):
    """The link to one destination."""

    path: str = "/calls"
    client: api.ClientInfo | None = None  # how the router identifies itself; None: not at all
    confirmations: ReleaseConfirmations = field(default_factory=lambda: ReleaseConfirmations(lambda call_id: False))
    # A destination may be a router itself: its process may end while its calls stand at the exchanges behind it.
    calls_end_with_process: bool = False
    # With this outcome a set-up is not tried again at the same destination: servers of the API remember the id of a
    # cancelled set-up, and never set it up a second time.
    connection_lost_outcome: io.Outcome = io.Outcome.NUMBER_FAULT
    handshake_timeout_us: int = 0
    # Where the destination says that the established calls stand, by call id: it may have forgotten that when they are
    # resumed.
    call_peers: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Begin with the timeout of a dial."""
        super().__post_init__()
        self.handshake_timeout_us = self.dial_timeout_us

    def on_handshake_timeout(self) -> None:
        """Give the next handshake more time: a destination that needs longer would otherwise never be reached."""
        self.handshake_timeout_us = min(MAX_HANDSHAKE_TIMEOUT_US, 2 * self.handshake_timeout_us)

    def on_handshake(self, duration_us: int) -> None:
        """Adapt the timeout to the duration of a completed handshake."""
        self.handshake_timeout_us = min(MAX_HANDSHAKE_TIMEOUT_US, max(self.dial_timeout_us, 2 * duration_us))

    def build_connection(self) -> ApiConnection:
        """Build the protocol of a new connection."""
        return ApiConnection(self)

    def _send_message(self, message: api.Message) -> None:
        """Send a message if there is a connection. Raises ValueError if it is a set-up that is too long."""
        if isinstance(message, api.SetUp) and len(api.encode_message(message).encode()) > MAX_MESSAGE_BYTES:
            raise ValueError("message too long")
        if isinstance(self.connection, ApiConnection):
            self.connection.send_message(message)

    def send_set_up(self, request: Request, deadline_us: int) -> None:
        """Send a set-up. The message gives the deadline as a Unix time in milliseconds.

        The id is new to the destination, or was released there: a set-up is not sent to the same destination again.
        """
        self._send_message(api.SetUp(
            request.call_id, request.service_name, request.number, request.dest, deadline_us // 1000,
            request.description.decode("utf-8", "replace"),
            request.width, request.dest != self.exchange_number(), again=request.cut_before, new_id=True))

    def exchange_number(self) -> int:
        """Return the number of the destination's exchange, or -1. A call for another exchange is in transit there."""
        entry = self.router.roster.get(self.name)
        return entry.number if entry is not None else -1

    def send_release(self, call_id: str, cause: int, answered: bool) -> None:
        """Send a cancel or a release, for which the API has different messages."""
        self._send_message(api.Release(call_id, cause) if answered else api.Cancel(call_id))

    def probe(self) -> None:
        """Ping the destination, and report whether it is connected without waiting for the pong.

        A pong says nothing about the load of its processor. The result comes from a timer, as an answer from the
        network would come.
        """
        is_connected = self.connection is not None
        if isinstance(self.connection, ApiConnection):
            self.connection.ping()
        self.clock.call_at(self.clock.now_us(),
                           lambda: self.router.on_group_state(self.name, io.Load(), ok=is_connected))

    def resume_calls(self) -> None:
        """Request the state of the established calls, after a reconnect."""
        calls = self.router.calls_by_peer.get(self.name, {})
        self.call_peers = {call_id: peer for call_id, peer in self.call_peers.items() if call_id in calls}
        for call_id, call in calls.items():
            if call.is_established:
                self._send_message(api.Resume(call_id, self.call_peers.get(call_id)))

    def release(self, call_id: str, cause: int) -> None:
        """Cancel a set-up, or release an established call."""
        self.call_peers.pop(call_id, None)
        super().release(call_id, cause)

    def on_message(self, message: api.Message) -> None:
        """Pass a message from the destination to the router."""
        self.counts["peer_" + api.TYPE_NAMES[type(message)]] += 1
        match message:
            case api.Answer(call_id, description, peer):
                self.pending_set_ups.discard(call_id)
                if peer is not None and call_id in self.router.calls_by_peer.get(self.name, {}):
                    self.call_peers[call_id] = peer
                self.router.on_answered(self.name, call_id, description.encode())
            case api.Refused(call_id, _, reason):
                self._end_attempt(call_id, io.Outcome.TURNED_AWAY, REASON_CAUSES.get(reason, io.Cause.NONE))
            case api.Failed(call_id, reason):
                self._end_attempt(call_id, io.Outcome.NUMBER_FAULT, REASON_CAUSES.get(reason, io.Cause.NONE))
            case api.Cancelled(call_id):
                self._end_attempt(call_id, io.Outcome.CUT)
            case api.Released():
                self._on_released(message)
            case api.Unconfirmed():
                pass  # the destination has restarted; if the call still stands, its release follows
            case api.Error(code, reason, call_id):
                log.warning("error message from a destination", peer=self.name, code=code, reason=reason, call=call_id)
                if call_id is not None:  # the destination does not know the call, or will never set it up
                    self._end_attempt(call_id, io.Outcome.CUT if code == "unknown-call" else io.Outcome.NUMBER_FAULT)
            case api.State(free, size, hold_back):
                self.router.on_group_state(self.name, io.Load(free=free, size=size, hold_back=hold_back))

    def _on_released(self, released: api.Released) -> None:
        call_id = released.id
        if released.confirm:
            self.confirmations.expect(call_id, self._confirm_release)
        if call_id in self.pending_set_ups:  # the id of a call that ended there before this set-up
            self._end_attempt(call_id, io.Outcome.NUMBER_FAULT)
        else:
            self._end_attempt(call_id, io.Outcome.OK if released.cause == NORMAL_CLEARING else io.Outcome.CUT)
        self.confirmations.update(call_id)

    def _confirm_release(self, call_id: str) -> None:
        """Confirm a release. Without a connection it is received again on the next one, and confirmed there."""
        self.counts["peer_releases_confirmed"] += 1
        self._send_message(api.Confirm(call_id))

    def _end_attempt(self, call_id: str, outcome: io.Outcome, cause: io.Cause = io.Cause.NONE) -> None:
        self.pending_set_ups.discard(call_id)
        self.call_peers.pop(call_id, None)
        self.router.on_ended(self.name, call_id, AttemptEnd(outcome, cause))
