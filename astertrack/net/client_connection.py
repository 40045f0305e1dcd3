"""One connection of the WebSocket front: its messages, its identity and its timeouts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from astertrack.net.base import BackpressureProducer, StreamProtocol
from astertrack.net.client_releases import ClientIdentity
from astertrack.net.input_queue import InputQueue
from astertrack.net.pacing import MAX_SET_UPS_PER_S, TokenBucket
from astertrack.net.partial import PartialMessage
from astertrack.wire import callapi as api
from astertrack.wire import websocket as ws
from astertrack.wire.common import Malformed, MalformedError

if TYPE_CHECKING:
    from astertrack.net.websocket import ApiFront

log = structlog.get_logger()
PING_IDLE_US = 20_000_000  # a ping is sent after this time without received bytes
UNRESPONSIVE_TIMEOUT_US = 60_000_000  # a connection is closed after this time without received bytes
# A connection whose handshake or message stays incomplete for this long is closed, as on the SIP front.
MESSAGE_TIMEOUT_US = 2_400_000
# A connection whose client does not read for this long is closed: this bounds the data that waits for the client.
WRITE_BLOCKED_TIMEOUT_US = 10_000_000


class ClientConnection(StreamProtocol):
    """The connection of one client."""

    def __init__(self, front: ApiFront, host: str) -> None:
        self.front, self.counts, self.host = front, front.counts, host
        self.client: ClientIdentity | None = None  # None: the client has given no name
        self.websocket = ws.WebSocket(ws.Role.SERVER, front.path)
        self.last_received_us = front.clock.now_us()
        self.partial_message = PartialMessage(self.websocket, self.last_received_us)  # or the handshake
        self.input = InputQueue(self, front.clock, front.queues, self._process, self._on_over_rate,
                                self._on_reading_resumed)
        self.set_up_bucket = TokenBucket(MAX_SET_UPS_PER_S, self.last_received_us)
        self.call_ids: set[str] = set()  # of the calls whose messages it was the last to ask for
        self.ping_sent = self.is_finishing = False
        self.is_receiving = False  # output is written once, after all input

    def connectionMade(self) -> None:
        """Called by Twisted when the connection is established."""
        super().connectionMade()
        self.counts["ws_connections"] += 1
        self.front.connections.add(self)
        if self.transport is not None:  # reading pauses while the client does not read what it is sent
            self.transport.registerProducer(BackpressureProducer(self, self.front.clock, self._on_pause), True)
        if self.front.queues.is_draining:
            self.input.lift_limits()

    def _on_pause(self) -> None:
        self.counts["ws_pauses"] += 1

    def _on_over_rate(self) -> None:
        self.counts["ws_paused_over_rate"] += 1

    def _on_reading_resumed(self) -> None:
        self.partial_message.restart(self.front.clock.now_us())

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called by Twisted when the connection has ended."""
        self.input.clear()
        self.front.on_closed(self)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted when bytes were received."""
        self.input.receive(data)

    def _process(self, data: bytes, has_left: bool) -> int:
        """Process received bytes; return the number of messages that they completed."""
        self.last_received_us = now = self.front.clock.now_us()
        self.ping_sent, self.is_receiving = False, True
        messages_before = self.websocket.message_count
        events = self.websocket.receive(data)
        self.partial_message.update(now)
        for event in events:
            match event:
                case ws.Opened():
                    self._identify(self.websocket.received_headers)
                case ws.Text(raw):
                    self._on_text(raw, has_left)
                case ws.Closed():
                    self.close()
                case Malformed(reason):
                    self.counts["ws_malformed"] += 1
                    log.warning("malformed data from a client", reason=reason)
                    self.close()
        self.is_receiving = False
        self.write(self.websocket.take_output())
        return self.websocket.message_count - messages_before

    def _identify(self, headers: dict[str, str]) -> None:
        """Note who the client is, if it says so, and send it the releases that are held for it."""
        try:
            info = api.decode_client_headers(headers)
        except MalformedError as error:
            self.counts["ws_errors_sent"] += 1
            self.send_message(api.Error("bad-field", str(error)))
            return
        if info is not None:
            self.client = ClientIdentity(info.name, self.host)
            started_us = None if info.started_ms is None else info.started_ms * 1000
            self.front.releases.add_connection(self, self.client, started_us)

    def send_release(self, call_id: str, cause: int) -> None:
        """Send a release that the client has to confirm."""
        self.send_message(api.Released(call_id, cause, confirm=True))

    def _on_text(self, raw: str, has_left: bool) -> None:
        try:
            request = api.decode_request(raw)
            if has_left and isinstance(request, api.SetUp):
                self.counts["ws_set_ups_abandoned"] += 1
                return
            self.front.on_request(self, request)
        except api.InvalidMessageError as error:
            self.counts["ws_errors_sent"] += 1
            self.send_message(api.Error(error.code, error.reason, error.id))

    def send_message(self, message: api.Message) -> None:
        """Send a message, or queue it while input is being processed."""
        self.websocket.send(api.encode_message(message))
        if not self.is_receiving:
            self.write(self.websocket.take_output())

    def check_timeouts(self, now_us: int) -> None:
        """Ping an idle client, and close the connection if a timeout has expired."""
        write_blocked = (self.write_blocked_since_us is not None
                         and now_us - self.write_blocked_since_us > WRITE_BLOCKED_TIMEOUT_US)
        if write_blocked or now_us - self.last_received_us > UNRESPONSIVE_TIMEOUT_US:
            self.abort()
        elif self.input.is_over_rate():
            self.input.check_left()
        elif self.partial_message.is_older_than(MESSAGE_TIMEOUT_US, now_us):
            self.counts["ws_closed_half_sent"] += 1
            self.abort()
        elif now_us - self.last_received_us > PING_IDLE_US and not self.ping_sent:
            self.ping_sent = True
            self.websocket.ping()
            self.write(self.websocket.take_output())

    def has_unfinished_input(self) -> bool:
        """Return whether a set-up may have been received that was not processed, or is incomplete."""
        if self.is_finishing:
            return False
        is_open = self.websocket.state is ws.State.OPEN
        return bool(len(self.input)) or self.has_received_bytes() or (is_open and self.websocket.has_partial_message)

    def finish(self) -> None:
        """Close the connection with status 1001 (going away), because the router stops."""
        if not self.is_finishing:
            self.is_finishing = True
            self.websocket.close(ws.CloseCode.GOING_AWAY)
            self.write(self.websocket.take_output())
            self.half_close()
