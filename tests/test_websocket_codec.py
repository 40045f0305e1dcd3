"""Our WebSocket against an independent library, and its states under random steps."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from wires import CUTS, check_any_split, feed
from wsproto import ConnectionType, WSConnection
from wsproto import events as theirs

from astertrack.wire.common import MAX_MESSAGE_BYTES, Malformed
from astertrack.wire.websocket import Closed, Opened, Role, State, Text, WebSocket, accept_token

TEXTS = st.text(max_size=400)
SHAKE = (b"GET /calls HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: keep-alive, Upgrade\r\n"
         b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n")


def server() -> WebSocket:
    """Our server."""
    return WebSocket(Role.SERVER, "/calls")


def frame(first: int, payload: bytes, masked: bool = True) -> bytes:
    """A client's frame, its mask all zero."""
    size = len(payload)
    length = bytes((size | masked << 7,)) if size < 126 else bytes((126 | masked << 7,)) + size.to_bytes(2)
    return bytes((first,)) + length + bytes(4 * masked) + payload


def test_the_handshake_token_is_that_of_the_specification() -> None:
    assert accept_token("dGhlIHNhbXBsZSBub25jZQ==") == "s3pPLMBiTxaQ9kYGzzhZRbK+xOo="  # RFC 6455, 1.3


@given(st.lists(TEXTS, max_size=4), CUTS)
def test_our_server_reads_their_client_and_their_client_ours(said: list[str], cuts: list[int]) -> None:
    client, ours = WSConnection(ConnectionType.CLIENT), server()
    asked = client.send(theirs.Request(host="x", target="/calls"))
    assert feed(ours.receive, asked, cuts) == [Opened()]
    client.receive_data(ours.take_output())
    assert isinstance(next(iter(client.events())), theirs.AcceptConnection)
    data = b"".join(client.send(theirs.Message(one)) for one in said)
    data += client.send(theirs.Ping(b"are you there"))
    assert feed(ours.receive, data, cuts) == [Text(one) for one in said]
    for one in said:
        ours.send(one)
    client.receive_data(ours.take_output())
    pong, *rest = client.events()
    assert isinstance(pong, theirs.Pong)
    assert bytes(pong.payload) == b"are you there"
    assert [e.data for e in rest if isinstance(e, theirs.TextMessage)] == said
    assert feed(ours.receive, client.send(theirs.CloseConnection(1000)), cuts) == [Closed(1000)]
    client.receive_data(ours.take_output())
    assert any(isinstance(e, theirs.CloseConnection) for e in client.events())


@given(st.lists(TEXTS, max_size=4), CUTS)
def test_our_client_reads_their_server_and_their_server_ours(said: list[str], cuts: list[int]) -> None:
    other, ours = WSConnection(ConnectionType.SERVER), WebSocket(Role.CLIENT, "/calls", "x")
    ours.connect()
    other.receive_data(ours.take_output())
    request = next(iter(other.events()))
    assert isinstance(request, theirs.Request)
    assert request.target == "/calls"
    assert feed(ours.receive, other.send(theirs.AcceptConnection()), cuts) == [Opened()]
    data = b"".join(other.send(theirs.Message(one)) for one in said)
    assert feed(ours.receive, data, cuts) == [Text(one) for one in said]
    for one in said:
        ours.send(one)
    ours.close(1001)
    other.receive_data(ours.take_output())
    heard = list(other.events())
    assert "".join(e.data for e in heard if isinstance(e, theirs.TextMessage)) == "".join(said)
    assert [e.code for e in heard if isinstance(e, theirs.CloseConnection)] == [1001]


@given(st.lists(st.tuples(st.sampled_from([0x01, 0x81, 0x00, 0x80, 0x89, 0x8A, 0x88, 0x82, 0x83, 0xC1]),
                          st.binary(max_size=140), st.booleans()), max_size=6), CUTS)
def test_any_frames_at_any_split_are_read_alike_and_break_nothing(
        frames: list[tuple[int, bytes, bool]], cuts: list[int]) -> None:
    data = SHAKE + b"".join(frame(first, payload, masked) for first, payload, masked in frames)
    check_any_split(lambda: server().receive, data, cuts)


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
def test_what_breaks_the_protocol_is_answered_with_its_code(raw: bytes, code: int) -> None:
    ours = server()
    ours.receive(SHAKE)
    ours.take_output()
    assert [type(event) for event in ours.receive(raw)] == [Malformed]
    assert ours.take_output() == frame(0x88, code.to_bytes(2), masked=False)
    assert ours.receive(frame(0x81, b"more")) == []


def test_fragments_with_a_ping_between_them_make_one_message() -> None:
    ours = server()
    data = SHAKE + frame(0x01, b"a") + frame(0x89, b"p") + frame(0x00, b"b") + frame(0x80, b"c")
    assert ours.receive(data) == [Opened(), Text("abc")]
    assert ours.take_output().endswith(frame(0x8A, b"p", masked=False))


@pytest.mark.parametrize(("change", "status"), [
    ((b"GET /calls", b"GET /other"), b"404"), ((b"GET", b"POST"), b"400"), ((b": 13", b": 8"), b"426"),
    ((b"dGhlIHNhbXBsZSBub25jZQ==", b"short"), b"400"), ((b"Upgrade: websocket", b"Upgrade: h2c"), b"400"),
    ((b"Host: x", b"Host: " + b"x" * MAX_MESSAGE_BYTES), b"431"),
])
def test_a_handshake_that_will_not_do_is_told_why(change: tuple[bytes, bytes], status: bytes) -> None:
    ours = server()
    assert [type(event) for event in ours.receive(SHAKE.replace(*change))] == [Malformed]
    assert ours.take_output().startswith(b"HTTP/1.1 " + status)


class Pair(RuleBasedStateMachine):
    """Our two ends joined: what either sends while open arrives once, in order, until it closes."""

    def __init__(self) -> None:
        super().__init__()
        self.ends = {Role.CLIENT: WebSocket(Role.CLIENT, "/calls", "x"), Role.SERVER: server()}
        self.ends[Role.CLIENT].connect()
        self.wire = dict.fromkeys(Role, b"")  # on its way to that end
        self.said: dict[Role, list[object]] = {role: [] for role in Role}
        self.heard: dict[Role, list[object]] = {role: [] for role in Role}

    @staticmethod
    def other(role: Role) -> Role:
        """The other end."""
        return Role.CLIENT if role is Role.SERVER else Role.SERVER

    @rule(role=st.sampled_from(Role), size=st.integers(1, 400))
    def deliver(self, role: Role, size: int) -> None:
        for end in Role:
            self.wire[self.other(end)] += self.ends[end].take_output()
        data, self.wire[role] = self.wire[role][:size], self.wire[role][size:]
        self.heard[role] += self.ends[role].receive(data)

    @rule(role=st.sampled_from(Role), data=TEXTS)
    def say(self, role: Role, data: str) -> None:
        was_open = self.ends[role].state is State.OPEN
        assert self.ends[role].send(data) is was_open
        if was_open:
            self.said[role].append(Text(data))

    @rule(role=st.sampled_from(Role), data=st.binary(max_size=125))
    def ping(self, role: Role, data: bytes) -> None:
        self.ends[role].ping(data)

    @precondition(lambda self: any(end.state is State.OPEN for end in self.ends.values()))
    @rule(role=st.sampled_from(Role))
    def close(self, role: Role) -> None:
        self.ends[role].close()

    @invariant()
    def in_order_and_whole(self) -> None:
        for role in Role:
            heard = [event for event in self.heard[role] if isinstance(event, Text)]
            assert heard == self.said[self.other(role)][:len(heard)]
            assert not any(isinstance(event, Malformed) for event in self.heard[role])
            closed = [at for at, event in enumerate(self.heard[role]) if isinstance(event, Closed)]
            assert closed in ([], [len(self.heard[role]) - 1])
            assert bool(closed) is (self.ends[role].state is State.CLOSED)


TestPair = Pair.TestCase
