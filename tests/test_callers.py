"""The SIP front against callers who say nothing, half of it, too much, or what must never stand."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from drivers import Abortable, Callers, ended, invite, releases, statuses
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from astertrack.core import NORMAL_CLEARING, AttemptEnd
from astertrack.net.callers import IDLE_TIMEOUT_US, MESSAGE_TIMEOUT_US, SWEEP_INTERVAL_US, WRITE_BLOCKED_TIMEOUT_US
from astertrack.wire import sip
from ospreylug import interface as io

ONE, TWO = "1" * 16, "2" * 16
PING = sip.encode("OPTIONS sip:ping@net SIP/2.0", [("Call-ID", "ping"), ("CSeq", "1 OPTIONS")])
HEARD = sip.encode("SIP/2.0 200 OK", [("Call-ID", ONE), ("CSeq", "2 BYE")])


def stands(callers: Callers, call: str = ONE) -> tuple[Any, Any]:
    """A connection on which a call was answered."""
    connection, transport = callers.connect()
    connection.dataReceived(invite(call))
    callers.harness.router.on_answered(callers.harness.peer_by_call[call], call, b"answer")
    return connection, transport


def test_the_times_owed_to_callers_are_kept() -> None:
    assert MESSAGE_TIMEOUT_US + SWEEP_INTERVAL_US < 3_000_000  # told or closed within 3 s of connecting
    assert IDLE_TIMEOUT_US > 4_000_000  # after which callers close idle connections themselves


class ConnectionStates(RuleBasedStateMachine):
    """A connection's states by a model: silent, half a message under way, idle, with a set-up open, ended."""

    def __init__(self) -> None:
        super().__init__()
        self.callers = Callers()
        self.connection, self.transport = self.callers.connect()
        self.spoken, self.heard_us, self.calls = False, self.now_us(), 0
        self.half_us: int | None = None
        self.over = False

    def now_us(self) -> int:
        return round(self.callers.reactor.seconds() * 1e6)

    def whole(self) -> None:
        self.spoken, self.half_us, self.heard_us = True, None, self.now_us()

    def receive(self, data: bytes) -> None:
        if not self.transport.ended:
            self.connection.dataReceived(data)

    @rule(ping=st.booleans())
    def say(self, ping: bool) -> None:
        if self.over or self.half_us is not None:
            return
        self.calls += not ping
        self.receive(PING if ping else invite(f"{self.calls:016x}", wait_ms="9000"))
        self.whole()

    @rule()
    def begin(self) -> None:
        if not self.over and self.half_us is None:
            self.receive(PING[:20])
            self.half_us = self.now_us()

    @rule()
    def finish(self) -> None:
        if not self.over and self.half_us is not None:
            self.receive(PING[20:])
            self.whole()

    @rule(ticks=st.integers(1, 30))
    def wait(self, ticks: int) -> None:
        for _ in range(ticks):
            self.callers.pass_time(0.25)
            now = self.now_us()
            late = [0 if self.spoken else now - self.heard_us - MESSAGE_TIMEOUT_US,
                    now - self.half_us - MESSAGE_TIMEOUT_US if self.half_us is not None else 0,
                    0 if self.connection.machine.open else now - self.heard_us - IDLE_TIMEOUT_US]
            assert max(late) <= 2 * SWEEP_INTERVAL_US or self.over
            if self.transport.ended and not self.over:
                assert max(late) > 0
                self.over = True

    @invariant()
    def as_the_model_says(self) -> None:
        assert self.transport.ended is self.over
        if self.over:  # what was open is answered first
            assert not self.connection.machine.open


TestConnectionStates = ConnectionStates.TestCase


def test_connections_are_bounded_and_those_that_never_spoke_make_room() -> None:
    callers = Callers(most=3)
    busy, idle, silent = callers.connect(), callers.connect(), callers.connect()
    callers.pass_time(0.5)
    busy[0].dataReceived(invite(ONE))
    idle[0].dataReceived(PING)
    callers.pass_time(0.2)
    for victim in (silent, idle):
        new = callers.connect()
        assert victim[1].ended
        ended(victim[0])
        new[0].dataReceived(invite(f"{len(callers.harness.peer_by_call) + 7:016x}"))
    assert not busy[1].ended
    assert callers.front.buildProtocol(None) is None  # all have set-ups open: the new one is refused
    assert callers.counts["sip_connections_refused"] == 1


def test_a_connection_just_answered_on_does_not_make_room() -> None:
    callers = Callers(most=1)
    connection, transport = callers.connect()
    connection.dataReceived(invite(ONE))
    callers.pass_time(0.3)
    callers.harness.router.on_answered(callers.harness.peer_by_call[ONE], ONE, b"answer")
    assert callers.front.buildProtocol(None) is None
    assert not transport.ended
    callers.pass_time(0.2)
    assert callers.front.buildProtocol(None) is not None
    assert transport.disconnecting and not transport.aborted  # what was said can still be read


def test_in_one_turn_connections_that_were_given_up_count_until_they_have_ended() -> None:
    callers = Callers(most=20)
    for _ in range(20):
        callers.connect()
    callers.pass_time(0.2)
    for _ in range(3):
        callers.connect()
    assert callers.counts["sip_closed_for_room"] == 3  # three different ones
    for _ in range(100):
        if (new := callers.front.buildProtocol(None)) is not None:
            new.makeConnection(Abortable())  # type: ignore[no-untyped-call]
    assert callers.front.open_descriptors <= 28


def test_a_connection_with_bytes_not_read_yet_is_not_closed_for_being_idle() -> None:
    callers = Callers()
    connection, transport = callers.connect()
    connection.dataReceived(PING)
    ours, theirs = socket.socketpair()
    with ours, theirs:
        transport.socket = ours
        theirs.send(b"I")
        callers.pass_time(IDLE_TIMEOUT_US / 1e6 + 1)
        assert not transport.ended
        ours.recv(1)
        callers.pass_time(0.5)
        assert transport.ended


def test_a_caller_that_does_not_read_is_not_read_and_given_up() -> None:
    callers = Callers()
    connection, transport = callers.connect()
    connection.dataReceived(invite(ONE))
    transport.producer.pauseProducing()
    assert transport.producerState == "paused"
    callers.pass_time(WRITE_BLOCKED_TIMEOUT_US / 1e6 + 0.5)
    assert transport.aborted


@pytest.mark.parametrize("bad", [
    {"attrs": "dest:1;width:nan"}, {"attrs": "dest:1;width:inf"}, {"attrs": "dest:1;width:-1"},
    {"attrs": "dest:1;width:1e9"}, {"attrs": "dest:1.5"}, {"attrs": "dest:-1"}, {"attrs": "dest:1e300"},
    {"attrs": "dest:one"}, {"attrs": ""}, {"attrs": "dest:1;via:nan"}, {"attrs": "dest:1;transit:7"},
    {"attrs": "dest:1;dest:2"}, {"wait_ms": "999999999"}, {"wait_ms": "-5"}, {"wait_ms": "1e3"},
    {"tier": "unheard-of"}, {"body": b"x" * 15_900}])
def test_a_set_up_with_figures_that_cannot_be_gets_an_error_and_is_never_sent(bad: dict[str, Any]) -> None:
    callers = Callers()
    connection, transport = callers.connect()
    connection.dataReceived(invite(ONE, **bad))
    assert statuses(transport, ONE) in ([400], [500])
    assert not callers.harness.set_ups


def test_the_id_of_an_open_call_from_another_connection_harms_neither_call_nor_caller() -> None:
    callers = Callers()
    (first, first_transport), (other, other_transport) = callers.connect(), callers.connect()
    first.dataReceived(invite(ONE))
    other.dataReceived(invite(ONE, body=b"another"))
    assert statuses(other_transport, ONE) == [400]
    other.dataReceived(sip.encode("CANCEL sip:5@net SIP/2.0", [("Call-ID", ONE), ("CSeq", "1 CANCEL")]))
    ended(other)
    callers.harness.router.on_answered(callers.harness.peer_by_call[ONE], ONE, b"answer")
    assert statuses(first_transport, ONE) == [200]


def test_the_id_of_an_open_call_with_another_description_is_answered_once_and_closed() -> None:
    callers = Callers()
    connection, transport = callers.connect()
    connection.dataReceived(invite(ONE) + invite(ONE))  # the same again: passed over
    assert not transport.ended
    connection.dataReceived(invite(ONE, body=b"another"))
    assert statuses(transport, ONE) == [503]
    assert transport.ended
    assert ONE not in callers.harness.router.calls


@pytest.mark.parametrize("head", [
    b"INVITE sip:5@net SIP/2.0\r\nContent-Length: 60000000\r\n\r\n", b"x" * 17_000, b"\xff\xfe\r\n\r\n",
    b"INVITE sip:5@net SIP/2.0\r\nContent-Length: -1\r\n\r\n",
    b"INVITE sip:5@net SIP/2.0\r\nCall-ID: 5\r\nContent-Length: 0\r\n\r\n"])
def test_what_cannot_be_read_is_told_so_and_closed_without_waiting_for_the_rest(head: bytes) -> None:
    callers = Callers()
    connection, transport = callers.connect()
    connection.dataReceived(head)
    assert transport.value().startswith(b"SIP/2.0 400 ")
    assert transport.ended
    connection.dataReceived(b"x" * 100_000)  # nothing is kept of what still comes
    assert not connection.machine.partial


def test_a_release_goes_where_calls_were_answered_not_to_the_latest_connection() -> None:
    callers = Callers()
    own, own_transport = stands(callers)
    _, other_transport = stands(callers, TWO)
    mute, mute_transport = callers.connect()
    mute.dataReceived(PING)
    ended(own)
    callers.harness.router.on_ended(callers.harness.peer_by_call[ONE], ONE, AttemptEnd(io.Outcome.OK))
    assert releases(other_transport) == [ONE]
    assert not releases(mute_transport) + releases(own_transport)


def test_a_release_that_is_not_heard_is_sent_again_elsewhere_where_callers_say_so() -> None:
    callers = Callers()
    first, first_transport = stands(callers)
    _, other_transport = stands(callers, TWO)
    callers.harness.router.on_ended(callers.harness.peer_by_call[ONE], ONE, AttemptEnd(io.Outcome.OK))
    callers.pass_time(1)
    assert releases(first_transport) == [ONE]  # no caller has ever said so: it need not
    assert not callers.front.pending_releases
    first.dataReceived(HEARD)
    callers.front.release(ONE, NORMAL_CLEARING, first)
    callers.pass_time(1)
    assert releases(first_transport) == [ONE, ONE]
    assert releases(other_transport) == [ONE]


def test_a_release_without_a_connection_that_answered_calls_waits_only_a_moment() -> None:
    callers = Callers()
    callers.front.release(ONE, NORMAL_CLEARING)
    callers.pass_time(2)
    connection, transport = callers.connect()
    connection.dataReceived(PING)
    callers.pass_time(0.5)
    assert releases(transport) == [ONE]
