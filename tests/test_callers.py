"""The SIP front with callers that send nothing, incomplete, too many or invalid messages."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from drivers import FakeTransport, SipFrontHarness, close_by_peer, make_invite, released_calls, response_statuses
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from astertrack.core import NORMAL_CLEARING, AttemptEnd
from astertrack.net.caller_releases import MAX_PENDING, RETENTION_US
from astertrack.net.callers import IDLE_TIMEOUT_US, MESSAGE_TIMEOUT_US, SWEEP_INTERVAL_US, WRITE_BLOCKED_TIMEOUT_US
from astertrack.wire import sip
from ospreylug import interface as io

FIRST_CALL, SECOND_CALL = "1" * 16, "2" * 16
PING = sip.encode_message("OPTIONS sip:ping@net SIP/2.0", [("Call-ID", "ping"), ("CSeq", "1 OPTIONS")])
RELEASE_CONFIRMATION = sip.encode_message("SIP/2.0 200 OK", [("Call-ID", FIRST_CALL), ("CSeq", "2 BYE")])


def connect_and_establish(harness: SipFrontHarness, call: str = FIRST_CALL) -> tuple[Any, Any]:
    """Return a connection on which a call is established, and its transport."""
    connection, transport = harness.connect()
    connection.dataReceived(make_invite(call))
    harness.router_harness.router.on_answered(harness.router_harness.peer_by_call[call], call, b"answer")
    return connection, transport


def test_the_timeouts_suit_the_callers() -> None:
    # Callers get an answer or the close within 3 s of connecting.
    assert MESSAGE_TIMEOUT_US + SWEEP_INTERVAL_US < 3_000_000
    assert IDLE_TIMEOUT_US > 4_000_000  # after which callers close idle connections themselves


class ConnectionStates(RuleBasedStateMachine):
    """Model of a connection: without a message, within a message, idle, with a pending set-up, closed."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = SipFrontHarness()
        self.connection, self.transport = self.harness.connect()
        self.has_sent_message, self.active_us, self.call_count = False, self.now_us(), 0
        self.partial_since_us: int | None = None
        self.is_closed = False

    def now_us(self) -> int:
        return round(self.harness.reactor.seconds() * 1e6)

    def record_message(self) -> None:
        self.has_sent_message, self.partial_since_us, self.active_us = True, None, self.now_us()

    def receive(self, data: bytes) -> None:
        if not self.transport.is_closed:
            self.connection.dataReceived(data)

    @rule(ping=st.booleans())
    def send_message(self, ping: bool) -> None:
        if self.is_closed or self.partial_since_us is not None:
            return
        self.call_count += not ping
        self.receive(PING if ping else make_invite(f"{self.call_count:016x}", wait_ms="9000"))
        self.record_message()

    @rule()
    def begin_message(self) -> None:
        if not self.is_closed and self.partial_since_us is None:
            self.receive(PING[:20])
            self.partial_since_us = self.now_us()

    @rule()
    def finish_message(self) -> None:
        if not self.is_closed and self.partial_since_us is not None:
            self.receive(PING[20:])
            self.record_message()

    @rule(ticks=st.integers(1, 30))
    def wait(self, ticks: int) -> None:
        for _ in range(ticks):
            had_pending = bool(self.connection.sip_connection.pending_invites)
            self.harness.pass_time(0.25)
            now = self.now_us()
            closed_with_pending = had_pending and self.transport.is_closed  # closing refuses pending set-ups
            overdue = [0 if self.has_sent_message else now - self.active_us - MESSAGE_TIMEOUT_US,
                       now - self.partial_since_us - MESSAGE_TIMEOUT_US if self.partial_since_us is not None else 0,
                       0 if self.connection.sip_connection.pending_invites or closed_with_pending
                       else now - self.active_us - IDLE_TIMEOUT_US]
            assert max(overdue) <= 2 * SWEEP_INTERVAL_US or self.is_closed
            if self.transport.is_closed and not self.is_closed:
                assert max(overdue) > 0
                self.is_closed = True

    @invariant()
    def is_closed_exactly_when_a_timeout_has_expired(self) -> None:
        assert self.transport.is_closed is self.is_closed
        if self.is_closed:  # pending set-ups are answered first
            assert not self.connection.sip_connection.pending_invites


TestConnectionStates = ConnectionStates.TestCase


def test_connections_are_bounded_and_those_without_a_message_are_evicted_first() -> None:
    harness = SipFrontHarness(max_connections=3)
    busy, idle, unused = harness.connect(), harness.connect(), harness.connect()
    harness.pass_time(0.5)
    busy[0].dataReceived(make_invite(FIRST_CALL))
    idle[0].dataReceived(PING)
    harness.pass_time(0.2)
    for victim in (unused, idle):
        new = harness.connect()
        assert victim[1].is_closed
        close_by_peer(victim[0])
        new[0].dataReceived(make_invite(f"{len(harness.router_harness.peer_by_call) + 7:016x}"))  # an unused id
    assert not busy[1].is_closed
    assert harness.front.buildProtocol(None) is None  # all have pending set-ups: the new one is refused
    assert harness.counts["sip_connections_refused"] == 1


def test_a_connection_that_just_got_an_answer_is_not_evicted() -> None:
    harness = SipFrontHarness(max_connections=1)
    connection, transport = harness.connect()
    connection.dataReceived(make_invite(FIRST_CALL))
    harness.pass_time(0.3)
    harness.router_harness.router.on_answered(harness.router_harness.peer_by_call[FIRST_CALL], FIRST_CALL, b"answer")
    assert harness.front.buildProtocol(None) is None
    assert not transport.is_closed
    harness.pass_time(0.2)
    assert harness.front.buildProtocol(None) is not None
    assert transport.disconnecting and not transport.aborted  # the answer can still be read


def test_evicted_connections_count_until_they_have_ended() -> None:
    harness = SipFrontHarness(max_connections=20)
    for _ in range(20):
        harness.connect()
    harness.pass_time(0.2)
    for _ in range(3):
        harness.connect()
    assert harness.counts["sip_closed_for_room"] == 3  # three different ones
    for _ in range(100):
        if (new := harness.front.buildProtocol(None)) is not None:
            new.makeConnection(FakeTransport())  # type: ignore[no-untyped-call]
    assert harness.front.open_descriptors <= 28  # the limit of 20 and the margin of 8


def test_a_connection_with_bytes_not_read_yet_is_not_closed_for_being_idle() -> None:
    harness = SipFrontHarness()
    connection, transport = harness.connect()
    connection.dataReceived(PING)
    ours, theirs = socket.socketpair()
    with ours, theirs:
        transport.socket = ours
        theirs.send(b"I")
        harness.pass_time(IDLE_TIMEOUT_US / 1e6 + 1)
        assert not transport.is_closed
        ours.recv(1)
        harness.pass_time(0.5)
        assert transport.is_closed


def test_a_caller_that_does_not_read_is_not_read_from_and_then_closed() -> None:
    harness = SipFrontHarness()
    connection, transport = harness.connect()
    connection.dataReceived(make_invite(FIRST_CALL))
    transport.producer.pauseProducing()
    assert transport.producerState == "paused"
    harness.pass_time(WRITE_BLOCKED_TIMEOUT_US / 1e6 + 0.5)
    assert transport.aborted


@pytest.mark.parametrize("bad", [
    {"attrs": "dest:1;width:nan"}, {"attrs": "dest:1;width:inf"}, {"attrs": "dest:1;width:-1"},
    {"attrs": "dest:1;width:1e9"}, {"attrs": "dest:1.5"}, {"attrs": "dest:-1"}, {"attrs": "dest:1e300"},
    {"attrs": "dest:one"}, {"attrs": ""}, {"attrs": "dest:1;via:nan"}, {"attrs": "dest:1;transit:7"},
    {"attrs": "dest:1;dest:2"}, {"wait_ms": "999999999"}, {"wait_ms": "-5"}, {"wait_ms": "1e3"},
    {"class_name": "unheard-of"}, {"body": b"x" * 15_900}])
def test_a_set_up_with_attributes_out_of_range_gets_an_error_and_is_never_sent(bad: dict[str, Any]) -> None:
    harness = SipFrontHarness()
    connection, transport = harness.connect()
    connection.dataReceived(make_invite(FIRST_CALL, **bad))
    assert response_statuses(transport, FIRST_CALL) in ([400], [500])
    assert not harness.router_harness.set_ups


def test_a_set_up_with_the_id_of_a_call_pending_on_another_connection_does_not_affect_it() -> None:
    harness = SipFrontHarness()
    (first, first_transport), (other, other_transport) = harness.connect(), harness.connect()
    first.dataReceived(make_invite(FIRST_CALL))
    other.dataReceived(make_invite(FIRST_CALL, body=b"another"))
    assert response_statuses(other_transport, FIRST_CALL) == [400]
    other.dataReceived(sip.encode_message("CANCEL sip:5@net SIP/2.0", [("Call-ID", FIRST_CALL), ("CSeq", "1 CANCEL")]))
    close_by_peer(other)
    harness.router_harness.router.on_answered(harness.router_harness.peer_by_call[FIRST_CALL], FIRST_CALL, b"answer")
    assert response_statuses(first_transport, FIRST_CALL) == [200]


def test_a_set_up_with_the_id_of_a_pending_call_and_another_description_is_refused_and_closes() -> None:
    harness = SipFrontHarness()
    connection, transport = harness.connect()
    connection.dataReceived(make_invite(FIRST_CALL) + make_invite(FIRST_CALL))  # a repeat, which is ignored
    assert not transport.is_closed
    connection.dataReceived(make_invite(FIRST_CALL, body=b"another"))
    assert response_statuses(transport, FIRST_CALL) == [503]
    assert transport.is_closed
    assert FIRST_CALL not in harness.router_harness.router.calls


@pytest.mark.parametrize("head", [
    b"INVITE sip:5@net SIP/2.0\r\nContent-Length: 60000000\r\n\r\n", b"x" * 17_000, b"\xff\xfe\r\n\r\n",
    b"INVITE sip:5@net SIP/2.0\r\nContent-Length: -1\r\n\r\n",
    b"INVITE sip:5@net SIP/2.0\r\nCall-ID: 5\r\nContent-Length: 0\r\n\r\n"])
def test_a_malformed_message_is_refused_and_closes_without_waiting_for_the_rest(head: bytes) -> None:
    harness = SipFrontHarness()
    connection, transport = harness.connect()
    connection.dataReceived(head)
    assert transport.value().startswith(b"SIP/2.0 400 ")
    assert transport.is_closed
    connection.dataReceived(b"x" * 100_000)  # nothing that still arrives is buffered
    assert not connection.sip_connection.has_partial_message


def test_a_release_is_sent_where_calls_were_answered_not_on_the_latest_connection() -> None:
    harness = SipFrontHarness()
    own, own_transport = connect_and_establish(harness)
    _, other_transport = connect_and_establish(harness, SECOND_CALL)
    unused, unused_transport = harness.connect()
    unused.dataReceived(PING)
    close_by_peer(own)
    harness.router_harness.router.on_ended(
        harness.router_harness.peer_by_call[FIRST_CALL], FIRST_CALL, AttemptEnd(io.Outcome.OK))
    assert released_calls(other_transport) == [FIRST_CALL]
    assert not released_calls(unused_transport) + released_calls(own_transport)


def test_an_unconfirmed_release_is_repeated_elsewhere_if_callers_confirm_releases() -> None:
    harness = SipFrontHarness()
    first, first_transport = connect_and_establish(harness)
    _, other_transport = connect_and_establish(harness, SECOND_CALL)
    harness.router_harness.router.on_ended(
        harness.router_harness.peer_by_call[FIRST_CALL], FIRST_CALL, AttemptEnd(io.Outcome.OK))
    harness.pass_time(1)
    assert released_calls(first_transport) == [FIRST_CALL]  # no caller has ever confirmed one: they are not obliged to
    assert not harness.front.releases.pending
    first.dataReceived(RELEASE_CONFIRMATION)
    harness.front.releases.release(FIRST_CALL, NORMAL_CLEARING, first)
    harness.pass_time(1)
    assert released_calls(first_transport) == [FIRST_CALL, FIRST_CALL]
    assert released_calls(other_transport) == [FIRST_CALL]


def test_a_release_without_a_connection_with_answered_calls_waits_for_any_connection_briefly() -> None:
    harness = SipFrontHarness()
    harness.front.releases.release(FIRST_CALL, NORMAL_CLEARING)
    harness.pass_time(2)
    connection, transport = harness.connect()
    connection.dataReceived(PING)
    harness.pass_time(0.5)
    assert released_calls(transport) == [FIRST_CALL]


def test_a_release_never_goes_to_a_connection_without_a_whole_message() -> None:
    # Guards against docs/incidents/8: releases went to a crowd that never finished a request, and were forgotten.
    harness = SipFrontHarness()
    front, front_transport = harness.connect()
    front.dataReceived(PING)
    crowd = [harness.connect() for _ in range(20)]
    for member, _ in crowd:
        member.dataReceived(PING[:20])
    harness.front.releases.release(FIRST_CALL, NORMAL_CLEARING)
    harness.pass_time(1)
    assert released_calls(front_transport) == [FIRST_CALL]
    assert not any(released_calls(transport) for _, transport in crowd)


def test_a_release_on_a_doubtful_connection_is_repeated_where_a_call_was_answered() -> None:
    # Guards against docs/incidents/8: a release counted as received wherever it was sent.
    harness = SipFrontHarness()
    doubtful, doubtful_transport = harness.connect()
    doubtful.dataReceived(PING)
    harness.front.releases.release(FIRST_CALL, NORMAL_CLEARING)
    harness.pass_time(1)
    assert released_calls(doubtful_transport) == [FIRST_CALL]
    _, answered_transport = connect_and_establish(harness, SECOND_CALL)
    harness.pass_time(1)
    assert released_calls(answered_transport) == [FIRST_CALL]
    harness.pass_time(1)
    assert not harness.front.releases.pending
    assert released_calls(doubtful_transport) == [FIRST_CALL]


def test_a_release_does_not_go_to_a_connection_with_an_invalid_set_up() -> None:
    harness = SipFrontHarness()
    front, front_transport = harness.connect()
    front.dataReceived(PING)
    invalid, invalid_transport = harness.connect()
    invalid.dataReceived(make_invite(SECOND_CALL, class_name="unheard-of"))
    harness.front.releases.release(FIRST_CALL, NORMAL_CLEARING)
    harness.pass_time(1)
    assert released_calls(front_transport) == [FIRST_CALL]
    assert not released_calls(invalid_transport)


def test_releases_without_a_connection_are_bounded_in_number_and_time() -> None:
    harness = SipFrontHarness()
    for number in range(MAX_PENDING + 5):
        harness.front.releases.release(f"{number:016x}", NORMAL_CLEARING)
    assert len(harness.front.releases.pending) == MAX_PENDING
    assert next(iter(harness.front.releases.pending)) == f"{5:016x}"
    harness.pass_time(RETENTION_US / 1e6 + 1)
    assert not harness.front.releases.pending
    assert harness.counts["sip_releases_dropped"] == MAX_PENDING + 5
