"""Messages that never end, on every kind of connection: later bytes must not extend the time that they are given."""

from __future__ import annotations

import json
from typing import Any

import pytest
from drivers import FakeClock
from test_call_front import connect, pass_time
from test_links import FIRST_CALL, SECOND_CALL, PeerHarness, connected_peer
from test_streams import COMMENT, HEAD, BulletinHarness
from test_websocket_codec import frame
from wsproto import ConnectionType, WSConnection
from wsproto.events import AcceptConnection, Message, Ping, Request

from astertrack.net.addresses import Endpoint
from astertrack.net.apilink import ApiLink
from astertrack.net.bulletin import TIMEOUTS
from astertrack.net.links import PEER_LOST_TIMEOUT_US
from astertrack.net.partial import INCOMPLETE_MESSAGE_TIMEOUT_US
from astertrack.wire import peer as wire

RELEASE_LIMIT_US = 1_000_000  # a release by a peer is due at its caller within this time
WRONG_LENGTH = 16_000


class DestinationHarness(PeerHarness):
    """A destination that speaks the call-control API. Its WebSocket is wsproto's, not the router's own code."""

    def make_link(self, endpoint: Endpoint) -> Any:
        """Called by the table to make a link."""
        link = ApiLink(endpoint.entry.exchange, endpoint.address, self.router, FakeClock(self.reactor), self.counts,
                       500_000)
        link.dial()
        return link

    def connect(self) -> None:
        """Establish the connection of the latest dial, and complete the handshake."""
        super().connect()
        self.far = WSConnection(ConnectionType.SERVER)
        self.receive_output()
        assert [type(event) for event in self.far.events()] == [Request]
        self.connection.dataReceived(self.far.send(AcceptConnection()))

    def receive_output(self) -> None:
        """Pass what the router has written to the far end."""
        self.far.receive_data(self.transports[-1].value())
        self.transports[-1].clear()


def send_release(peer: PeerHarness) -> None:
    """Send the release of the second call from the peer."""
    peer.send(wire.MessageType.RELEASE, SECOND_CALL, {wire.Parameter.CAUSE: b"\x10"})


@pytest.mark.parametrize("interval_us", [50_000, 250_000])
def test_a_peers_message_with_a_wrong_length_ends_its_connection_although_more_arrives(interval_us: int) -> None:
    # Guards against docs/incidents/5: each piece of data began the time of an incomplete message anew.
    peer = connected_peer(FIRST_CALL, SECOND_CALL)
    peer.send_answer(SECOND_CALL)
    answer = wire.encode_message(wire.Message(
        wire.MessageType.ANSWER, FIRST_CALL, {wire.Parameter.DESCRIPTION: b"answer"}))
    peer.connection.dataReceived(WRONG_LENGTH.to_bytes(2) + answer[2:])
    for _ in range(INCOMPLETE_MESSAGE_TIMEOUT_US // interval_us + 1):
        send_release(peer)
        peer.pass_time(interval_us)
    assert peer.transports[0].aborted
    assert not peer.router_harness.caller_releases
    peer.connect()  # at once; the peer sends its release on the next connection, too
    send_release(peer)
    assert peer.router_harness.caller_releases == {SECOND_CALL: 1}
    assert INCOMPLETE_MESSAGE_TIMEOUT_US + 50_000 < RELEASE_LIMIT_US


def test_a_peer_that_writes_in_small_pieces_keeps_its_connection() -> None:
    peer = connected_peer()
    state = wire.encode_message(wire.Message(
        wire.MessageType.GROUP_STATE, "0" * 16, {wire.Parameter.REPORT: b"x0:12;x1:40;eps:0"}))
    data = 3 * state
    for offset in range(0, len(data), 3):  # each message takes 0.5 s; the reads do not end where messages do
        peer.connection.dataReceived(data[offset:offset + 3])
        peer.pass_time(50_000)
    assert not peer.transports[0].aborted
    assert peer.counts["peer_group_states"] == 3


@pytest.mark.parametrize("is_fragmented", [False, True])
def test_a_destinations_message_that_does_not_end_ends_its_connection(is_fragmented: bool) -> None:
    # Guards against docs/incidents/5: such a message had no time limit, and its bytes showed that the peer is alive.
    peer = DestinationHarness()
    peer.connect()
    if is_fragmented:
        peer.connection.dataReceived(peer.far.send(Message("{", message_finished=False)))
    else:
        peer.connection.dataReceived(b"\x81\x7e" + WRONG_LENGTH.to_bytes(2))
    for _ in range(INCOMPLETE_MESSAGE_TIMEOUT_US // 50_000 + 1):
        peer.connection.dataReceived(peer.far.send(Ping()))
        peer.pass_time(50_000)
    assert peer.transports[0].aborted


def test_a_destination_that_sends_whole_messages_is_not_dropped() -> None:
    peer = DestinationHarness()
    peer.connect()
    for index in range(40):
        message = peer.far.send(Message('{"type": "state", "free": 5}'))
        peer.connection.dataReceived(message[:4])
        peer.connection.dataReceived(message[4:] + peer.far.send(Ping()))
        assert peer.counts["peer_state"] == index + 1
        peer.pass_time(50_000)
    assert not peer.transports[0].aborted


def test_a_clients_fragmented_message_is_not_extended_by_the_pongs_within_it() -> None:
    # Guards against docs/incidents/5: each pong began the time of an incomplete message anew.
    reactor, connection, transport = connect()
    connection.dataReceived(frame(0x01, b"{"))
    for _ in range(4):
        pass_time(reactor, 1)
        connection.dataReceived(frame(0x8A, b""))
    assert transport.aborted


def test_a_stream_whose_line_does_not_end_is_replaced_in_time() -> None:
    # Guards against docs/incidents/5: each byte counted as a sign of life of the bulletin.
    harness = BulletinHarness()
    harness.pass_time(0.1)
    harness.send(0, HEAD + COMMENT + b"data: ")
    for _ in range(3):
        harness.pass_time(1.0)
        harness.send(0, b"x")
    assert harness.is_closed(0)


def test_a_line_that_takes_longer_than_the_timeout_is_received_in_the_end() -> None:
    event = b'data: {"no": 2, "roster": {"snapshot": false, "endpoints": []}}\n\n'
    harness = BulletinHarness()
    harness.pass_time(0.1)
    for _ in range(4):
        dial = harness.dial_count() - 1
        harness.send(dial, HEAD + COMMENT)
        for index in range(len(event)):
            if harness.is_closed(dial):
                break
            harness.send(dial, event[index:index + 1])
            harness.pass_time(0.1)  # 6.5 s for the whole event
        if harness.changes:
            break
        harness.pass_time(0.5)
    assert len(harness.changes) == 1
    assert harness.bulletin.streams.silence_timeout_us == TIMEOUTS.silence_us


def test_a_handshake_that_never_completes_does_not_keep_the_calls_of_its_destination() -> None:
    peer = DestinationHarness()
    peer.connect()
    peer.offer_call(FIRST_CALL)
    peer.connection.dataReceived(peer.far.send(Message(json.dumps({"type": "answer", "id": FIRST_CALL}))))
    peer.link.abort_connection(peer.connection)
    for _ in range(PEER_LOST_TIMEOUT_US // 500_000 + 2):
        if peer.link.connection is None and peer.link._connector is not None:
            PeerHarness.connect(peer)
            peer.connection.dataReceived(b"HTTP/1.1 ")
        peer.pass_time(500_000)
    assert peer.router_harness.caller_releases == {FIRST_CALL: 1}
