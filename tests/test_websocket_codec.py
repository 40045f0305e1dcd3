"""The WebSocket codec against an independent library (wsproto), and two of its ends under random steps."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from wires import PIECE_LENGTHS, check_any_split, feed
from wsproto import ConnectionType, WSConnection
from wsproto import events as wsproto_events

from astertrack.wire.common import MAX_MESSAGE_BYTES, Malformed
from astertrack.wire.websocket import Closed, Opened, Role, State, Text, WebSocket, accept_token

TEXTS = st.text(max_size=400)
HANDSHAKE = (b"GET /calls HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: keep-alive, Upgrade\r\n"
             b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n")


def make_server() -> WebSocket:
    """Return a server end of the codec under test."""
    return WebSocket(Role.SERVER, "/calls")


def frame(first_byte: int, payload: bytes, masked: bool = True) -> bytes:
    """Return a client's frame, or a server's if not masked; the mask is all zero.

    first_byte holds the final flag, the reserved bits and the opcode.
    """
    size = len(payload)
    length = bytes((size | masked << 7,)) if size < 126 else bytes((126 | masked << 7,)) + size.to_bytes(2)
    return bytes((first_byte,)) + length + bytes(4 * masked) + payload


def test_the_accept_token_is_that_of_the_specification() -> None:
    assert accept_token("dGhlIHNhbXBsZSBub25jZQ==") == "s3pPLMBiTxaQ9kYGzzhZRbK+xOo="  # RFC 6455, 1.3


@given(st.lists(TEXTS, max_size=4), PIECE_LENGTHS)
def test_the_server_interoperates_with_a_wsproto_client(texts: list[str], piece_lengths: list[int]) -> None:
    wsproto_client, websocket = WSConnection(ConnectionType.CLIENT), make_server()
    request = wsproto_client.send(wsproto_events.Request(host="x", target="/calls"))
    assert feed(websocket.receive, request, piece_lengths) == [Opened()]
    wsproto_client.receive_data(websocket.take_output())
    assert isinstance(next(iter(wsproto_client.events())), wsproto_events.AcceptConnection)
    data = b"".join(wsproto_client.send(wsproto_events.Message(text)) for text in texts)
    data += wsproto_client.send(wsproto_events.Ping(b"are you there"))
    assert feed(websocket.receive, data, piece_lengths) == [Text(text) for text in texts]
    for text in texts:
        websocket.send(text)
    wsproto_client.receive_data(websocket.take_output())
    pong, *rest = wsproto_client.events()
    assert isinstance(pong, wsproto_events.Pong)
    assert bytes(pong.payload) == b"are you there"
    assert [event.data for event in rest if isinstance(event, wsproto_events.TextMessage)] == texts
    close = wsproto_client.send(wsproto_events.CloseConnection(1000))
    assert feed(websocket.receive, close, piece_lengths) == [Closed(1000)]
    wsproto_client.receive_data(websocket.take_output())
    assert any(isinstance(event, wsproto_events.CloseConnection) for event in wsproto_client.events())


@given(st.lists(TEXTS, max_size=4), PIECE_LENGTHS)
def test_the_client_interoperates_with_a_wsproto_server(texts: list[str], piece_lengths: list[int]) -> None:
    wsproto_server, websocket = WSConnection(ConnectionType.SERVER), WebSocket(Role.CLIENT, "/calls", "x")
    websocket.connect()
    wsproto_server.receive_data(websocket.take_output())
    request = next(iter(wsproto_server.events()))
    assert isinstance(request, wsproto_events.Request)
    assert request.target == "/calls"
    assert feed(websocket.receive, wsproto_server.send(wsproto_events.AcceptConnection()), piece_lengths) == [Opened()]
    data = b"".join(wsproto_server.send(wsproto_events.Message(text)) for text in texts)
    assert feed(websocket.receive, data, piece_lengths) == [Text(text) for text in texts]
    for text in texts:
        websocket.send(text)
    websocket.close(1001)
    wsproto_server.receive_data(websocket.take_output())
    received = list(wsproto_server.events())
    assert "".join(event.data for event in received if isinstance(event, wsproto_events.TextMessage)) == "".join(texts)
    assert [event.code for event in received if isinstance(event, wsproto_events.CloseConnection)] == [1001]


@given(st.lists(st.tuples(st.sampled_from([0x01, 0x81, 0x00, 0x80, 0x89, 0x8A, 0x88, 0x82, 0x83, 0xC1]),
                          st.binary(max_size=140), st.booleans()), max_size=6), PIECE_LENGTHS)
def test_any_frames_are_decoded_alike_at_any_split_and_raise_nothing(
        frames: list[tuple[int, bytes, bool]], piece_lengths: list[int]) -> None:
    data = HANDSHAKE + b"".join(frame(first_byte, payload, masked) for first_byte, payload, masked in frames)
    check_any_split(lambda: make_server().receive, data, piece_lengths)


@pytest.mark.parametrize(("raw", "code"), [
    (frame(0x81, b"hi", masked=False), 1002), (frame(0xC1, b"hi"), 1002), (frame(0x83, b""), 1002),
    (frame(0x80, b"no start"), 1002), (frame(0x01, b"a") + frame(0x81, b"b"), 1002), (frame(0x09, b""), 1002),
    (frame(0x89, b"x" * 126), 1002), (frame(0x82, b"binary"), 1003), (frame(0x81, b"\xff"), 1007),
    (frame(0x88, b"\x03"), 1002), (frame(0x88, (1005).to_bytes(2)), 1002),
    (frame(0x88, b"\x03\xe8\xff"), 1007),
    (frame(0x81, b"x" * (MAX_MESSAGE_BYTES + 1)), 1009),
    (frame(0x01, b"x" * MAX_MESSAGE_BYTES) + frame(0x80, b"x"), 1009),
    (b"\x81\xfe\x00\x05", 1002), (b"\x81\xff" + b"\xff" * 8, 1009),
])
def test_a_protocol_violation_is_answered_with_its_close_code(raw: bytes, code: int) -> None:
    websocket = make_server()
    websocket.receive(HANDSHAKE)
    websocket.take_output()
    assert [type(event) for event in websocket.receive(raw)] == [Malformed]
    assert websocket.take_output() == frame(0x88, code.to_bytes(2), masked=False)
    assert websocket.receive(frame(0x81, b"more")) == []


def test_fragments_with_a_ping_between_them_make_one_message() -> None:
    websocket = make_server()
    data = HANDSHAKE + frame(0x01, b"a") + frame(0x89, b"p") + frame(0x00, b"b") + frame(0x80, b"c")
    assert websocket.receive(data) == [Opened(), Text("abc")]
    assert websocket.take_output().endswith(frame(0x8A, b"p", masked=False))


@pytest.mark.parametrize(("change", "status"), [
    ((b"GET /calls", b"GET /other"), b"404"), ((b"GET", b"POST"), b"400"), ((b": 13", b": 8"), b"426"),
    ((b"dGhlIHNhbXBsZSBub25jZQ==", b"short"), b"400"), ((b"Upgrade: websocket", b"Upgrade: h2c"), b"400"),
    ((b"Host: x", b"Host: " + b"x" * MAX_MESSAGE_BYTES), b"431"),
])
def test_an_invalid_handshake_is_refused_with_its_status(change: tuple[bytes, bytes], status: bytes) -> None:
    websocket = make_server()
    assert [type(event) for event in websocket.receive(HANDSHAKE.replace(*change))] == [Malformed]
    assert websocket.take_output().startswith(b"HTTP/1.1 " + status)


class Pair(RuleBasedStateMachine):
    """Two ends of the codec joined: what either sends while open arrives once and in order, until it closes."""

    def __init__(self) -> None:
        super().__init__()
        self.ends = {Role.CLIENT: WebSocket(Role.CLIENT, "/calls", "x"), Role.SERVER: make_server()}
        self.ends[Role.CLIENT].connect()
        self.in_flight = dict.fromkeys(Role, b"")  # bytes sent to that end and not delivered
        self.sent: dict[Role, list[object]] = {role: [] for role in Role}
        self.received: dict[Role, list[object]] = {role: [] for role in Role}

    @staticmethod
    def peer_of(role: Role) -> Role:
        """Return the role of the other end."""
        return Role.CLIENT if role is Role.SERVER else Role.SERVER

    @rule(role=st.sampled_from(Role), size=st.integers(1, 400))
    def deliver(self, role: Role, size: int) -> None:
        for end in Role:
            self.in_flight[self.peer_of(end)] += self.ends[end].take_output()
        data, self.in_flight[role] = self.in_flight[role][:size], self.in_flight[role][size:]
        self.received[role] += self.ends[role].receive(data)

    @rule(role=st.sampled_from(Role), data=TEXTS)
    def send_text(self, role: Role, data: str) -> None:
        was_open = self.ends[role].state is State.OPEN
        assert self.ends[role].send(data) is was_open
        if was_open:
            self.sent[role].append(Text(data))

    @rule(role=st.sampled_from(Role), data=st.binary(max_size=125))
    def ping(self, role: Role, data: bytes) -> None:
        self.ends[role].ping(data)

    @precondition(lambda self: any(end.state is State.OPEN for end in self.ends.values()))
    @rule(role=st.sampled_from(Role))
    def close(self, role: Role) -> None:
        self.ends[role].close()

    @invariant()
    def texts_arrive_in_order_and_complete(self) -> None:
        for role in Role:
            texts = [event for event in self.received[role] if isinstance(event, Text)]
            assert texts == self.sent[self.peer_of(role)][:len(texts)]
            assert not any(isinstance(event, Malformed) for event in self.received[role])
            closed_indexes = [index for index, event in enumerate(self.received[role]) if isinstance(event, Closed)]
            assert closed_indexes in ([], [len(self.received[role]) - 1])
            assert bool(closed_indexes) is (self.ends[role].state is State.CLOSED)


TestPair = Pair.TestCase
