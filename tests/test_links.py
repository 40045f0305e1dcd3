"""Links to peers: corrupt, truncated, repeated and missing messages, and connections that end during a call."""

from __future__ import annotations

from collections import Counter
from typing import Any, cast

import pytest
from drivers import FakeClock, FakeTransport, close_by_peer
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from test_router import RouterHarness
from twisted.internet.error import (
    ConnectBindError,
    ConnectionLost,
    ConnectionRefusedError,
    NoRouteError,
    TCPTimedOutError,
    TimeoutError,
    UserError,
)
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from astertrack.core import Request
from astertrack.net.addresses import Endpoint
from astertrack.net.link_releases import MAX_QUEUED_RELEASES, RELEASE_DELIVERY_US
from astertrack.net.links import (
    KEEPALIVE_IDLE_US,
    LIVENESS_CHECK_INTERVAL_US,
    MAX_UNRESPONSIVE_TIMEOUT_US,
    PEER_LOST_TIMEOUT_US,
    RECONNECT_INTERVAL_US,
    UNRESPONSIVE_TIMEOUT_US,
)
from astertrack.net.partial import STALLED_MESSAGE_TIMEOUT_US
from astertrack.net.peers import PeerLink, PeerTable
from astertrack.wire import peer as wire
from ospreylug import interface as io

DIAL_ERRORS = [ConnectionRefusedError, TimeoutError, TCPTimedOutError, NoRouteError, ConnectBindError, UserError]
FIRST_CALL, SECOND_CALL = "1" * 16, "2" * 16


class FakeReactor(Clock):
    """A reactor that only records dials."""

    def __init__(self) -> None:
        super().__init__()
        self.dials: list[Any] = []
        self.state = "connecting"
        self.stopped_dials = 0
        self.is_dial_pending = False

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> Any:
        """Called by a link to dial."""
        self.dials.append(factory)
        self.is_dial_pending = True
        return self

    def stopConnecting(self) -> None:
        """Called by a link to stop a dial."""
        self.stopped_dials += 1
        self.is_dial_pending = False


class PeerHarness:
    """One peer of a router whose peer table is the real one; the router's other ports only record."""

    def __init__(self) -> None:
        self.router_harness, self.reactor, self.counts = RouterHarness(), FakeReactor(), Counter[str]()
        self.router = self.router_harness.router
        self.router.peers = self.table = PeerTable(self.make_link, 0, FakeClock(self.reactor))
        self.router.set_roster(io.RosterChange(io.RosterKind.REPLACE, (io.Entry("x1", 1, 0),)))
        self.transports: list[Any] = []
        # By run_slow_peer: the probes of all connections, and when their answers are due, in microseconds.
        self.due_answers: dict[tuple[int, str], int] = {}
        self.connection: Any = None
        self.table.update([Endpoint("127.0.0.1:9", io.Entry("x1", 1, 0))], complete=True)
        self.link: PeerLink = cast(PeerLink, self.table.links["x1"])

    def make_link(self, endpoint: Endpoint) -> PeerLink:
        """Called by the table to make a link."""
        link = PeerLink(endpoint.entry.exchange, endpoint.address, self.router, FakeClock(self.reactor),
                        self.counts, 500_000)
        link.dial()
        return link

    def connect(self) -> None:
        """Establish the connection of the latest dial."""
        self.reactor.is_dial_pending = False
        self.connection, transport = self.reactor.dials[-1].buildProtocol(None), cast(Any, FakeTransport)()
        self.transports.append(transport)
        self.connection.makeConnection(transport)

    def fail_dial(self, error: type[Exception]) -> None:
        """Let the latest dial fail."""
        self.reactor.is_dial_pending = False
        self.reactor.dials[-1].clientConnectionFailed(None, cast(Any, Failure)(error()))

    def offer_call(self, call: str) -> None:
        """Offer a call to this peer's number."""
        self.router_harness.offer(call)

    def send(self, kind: int, call: str, parameters: dict[int, bytes]) -> None:
        """Send a message from the peer."""
        self.connection.dataReceived(wire.encode_message(wire.Message(kind, call, parameters)))

    def send_answer(self, call: str) -> None:
        """Send the answer to a set-up from the peer."""
        self.send(wire.MessageType.ANSWER, call, {wire.Parameter.DESCRIPTION: b"answer"})

    def sent_messages(self, connection: int = -1) -> list[tuple[int, str]]:
        """Return the types and calls of the messages sent to the peer on a connection."""
        messages = wire.MessageDecoder().receive(self.transports[connection].value())
        return [(m.type, m.call) for m in messages if isinstance(m, wire.Message)]

    def pass_time(self, us: int) -> None:
        """Advance the clocks of the reactor and of the router."""
        for _ in range(us // 50_000):
            self.reactor.advance(0.05)
            self.router_harness.pass_time(50_000)


def connected_peer(*calls: str) -> PeerHarness:
    """Return a connected peer at which these set-ups are pending."""
    peer = PeerHarness()
    peer.connect()
    for call in calls:
        peer.offer_call(call)
    return peer


CORRUPT_MESSAGES = [
    b"\xff\xff" + bytes(60), b"\x00\x04" + bytes(60), b"\x00\x09\x63" + bytes(8),  # too long, too short, unknown type
    b"\x00\x0f\x09" + bytes.fromhex(FIRST_CALL) + b"\x1f\xff\xff\x00\x00\x00",  # parameter longer than its message
    wire.encode_message(wire.Message(wire.MessageType.ANSWER, FIRST_CALL, {})),  # without a description
    b"\x00\x11\x09" + bytes.fromhex(FIRST_CALL) + b"\x1f\x00\x01a\x1f\x00\x01b",  # with two descriptions
    wire.encode_message(wire.Message(wire.MessageType.RELEASE, FIRST_CALL, {}))]  # without a cause


@pytest.mark.parametrize("corrupt_message", CORRUPT_MESSAGES)
def test_a_corrupt_message_ends_its_connection_and_each_set_up_on_it_once(corrupt_message: bytes) -> None:
    peer = connected_peer(FIRST_CALL, SECOND_CALL)
    assert {c for _, c in peer.sent_messages()} == {FIRST_CALL, SECOND_CALL}
    peer.connection.dataReceived(corrupt_message)
    assert peer.transports[0].aborted
    assert peer.router.counts["attempts_cut"] == 2
    peer.send_answer(FIRST_CALL)  # ignored, because it follows the corrupt message on the same connection
    close_by_peer(peer.connection)
    assert not peer.router_harness.finals
    assert peer.router.counts["attempts_cut"] == 2
    peer.connect()  # the link reconnects at once; set-ups that may have been answered are released before anything else
    assert sorted(peer.sent_messages()) == [
        (wire.MessageType.RELEASE, FIRST_CALL), (wire.MessageType.RELEASE, SECOND_CALL)]
    peer.pass_time(350_000)
    assert sorted(peer.sent_messages())[:2] == [
        (wire.MessageType.SET_UP, FIRST_CALL), (wire.MessageType.SET_UP, SECOND_CALL)]
    peer.send_answer(FIRST_CALL)
    assert peer.router_harness.answers == {FIRST_CALL: "answer"}


def test_a_truncated_message_ends_its_connection_and_a_delayed_one_does_not() -> None:
    peer = connected_peer(FIRST_CALL)
    message = wire.encode_message(wire.Message(
        wire.MessageType.ANSWER, FIRST_CALL, {wire.Parameter.DESCRIPTION: b"answer"}))
    peer.connection.dataReceived(message[:9])
    peer.pass_time(STALLED_MESSAGE_TIMEOUT_US - 50_000)
    peer.connection.dataReceived(message[9:] + message[:3])
    assert peer.router_harness.answers == {FIRST_CALL: "answer"}
    peer.pass_time(STALLED_MESSAGE_TIMEOUT_US - 50_000)
    assert not peer.transports[0].aborted
    peer.pass_time(100_000)
    assert peer.transports[0].aborted
    assert FIRST_CALL in peer.router.calls  # it is established: no connection owns it


@pytest.mark.parametrize("separate_reads", [False, True])
@pytest.mark.parametrize("missing", [1, 2, 5, 11])
def test_a_message_after_a_truncated_answer_is_not_taken_for_the_rest_of_it(separate_reads: bool, missing: int) -> None:
    """A truncated answer was completed by the group state after it, and the caller received both as the answer."""
    peer = connected_peer(FIRST_CALL)
    truncated = wire.encode_message(wire.Message(
        wire.MessageType.ANSWER, FIRST_CALL, {wire.Parameter.DESCRIPTION: b"c=IN IP4 10.4.7.9"}))[:-missing]
    state = wire.encode_message(wire.Message(
        wire.MessageType.GROUP_STATE, "0" * 16, {wire.Parameter.REPORT: b"x0:12;x1:40;eps:0"}))
    for data in (truncated, state) if separate_reads else (truncated + state,):
        peer.connection.dataReceived(data)
    assert not peer.router_harness.finals
    assert peer.transports[0].aborted
    assert peer.counts["peer_swallowed"] + peer.counts["peer_malformed"] == 1


def test_a_description_with_control_characters_is_accepted_if_the_offer_has_them_too() -> None:
    peer = connected_peer(FIRST_CALL)
    peer.router.calls[FIRST_CALL].request.description = b"\0binary"
    peer.connection.dataReceived(wire.encode_message(wire.Message(
        wire.MessageType.ANSWER, FIRST_CALL, {wire.Parameter.DESCRIPTION: b"\0\1theirs"})))
    assert peer.router_harness.finals == {FIRST_CALL: 1}
    assert not peer.transports[0].aborted


def test_an_answer_counts_once_despite_a_repeat_and_an_answer_to_an_unknown_call() -> None:
    peer = connected_peer(FIRST_CALL)
    peer.send_answer("f" * 16)
    peer.send_answer(FIRST_CALL)
    peer.send_answer(FIRST_CALL)
    assert peer.router_harness.finals == {FIRST_CALL: 1}
    assert not peer.transports[0].aborted


def test_a_reset_ends_no_established_call_but_two_refused_dials_do() -> None:
    peer = connected_peer(FIRST_CALL)
    peer.send_answer(FIRST_CALL)
    peer.pass_time(1_000_000)
    peer.connection.connectionLost(cast(Any, Failure)(ConnectionLost()))
    assert not peer.router_harness.caller_releases
    peer.fail_dial(TimeoutError)
    peer.pass_time(RECONNECT_INTERVAL_US + 50_000)
    peer.fail_dial(ConnectionRefusedError)
    assert not peer.router_harness.caller_releases
    peer.pass_time(RECONNECT_INTERVAL_US + 50_000)
    peer.fail_dial(ConnectionRefusedError)
    assert peer.router_harness.caller_releases == {FIRST_CALL: 1}


def test_nothing_is_sent_on_a_dropped_connection() -> None:
    peer = connected_peer(FIRST_CALL)
    peer.connection.dataReceived(CORRUPT_MESSAGES[0])
    before = peer.transports[0].value()
    peer.offer_call(SECOND_CALL)
    assert peer.transports[0].value() == before
    peer.connect()
    assert (wire.MessageType.SET_UP, SECOND_CALL) in peer.sent_messages()


def test_nothing_is_kept_for_or_dialled_to_a_peer_that_left_the_roster() -> None:
    peer = connected_peer(FIRST_CALL)
    peer.connection.dataReceived(CORRUPT_MESSAGES[0])
    peer.offer_call(SECOND_CALL)
    peer.router.set_roster(io.RosterChange(io.RosterKind.REPLACE))
    peer.table.update([], complete=True)
    dials = len(peer.reactor.dials)
    peer.pass_time(3_000_000)
    assert len(peer.reactor.dials) == dials
    assert peer.reactor.stopped_dials == 1
    assert not peer.link.queued_set_ups and not peer.link.pending_set_ups and not peer.link.releases.queued
    peer.connect()  # established although the dial was stopped
    assert peer.transports[-1].aborted
    assert not peer.sent_messages()


def test_a_set_up_that_is_too_long_for_a_message_fails_without_affecting_others() -> None:
    peer = connected_peer()
    request = Request(FIRST_CALL, 0, "ledger-read", 1, "5", peer.router_harness.now + 3_000_000, b"x" * 16_380)
    peer.router.offer(request, cast(Any, peer.router_harness))
    assert peer.router_harness.finals == {FIRST_CALL: 1}
    peer.offer_call(SECOND_CALL)
    assert peer.sent_messages() == [(wire.MessageType.SET_UP, SECOND_CALL)]


def test_an_unresponsive_connection_is_probed_dropped_and_its_calls_released_in_time() -> None:
    peer = connected_peer(FIRST_CALL)
    peer.send_answer(FIRST_CALL)
    peer.pass_time(KEEPALIVE_IDLE_US + 2 * LIVENESS_CHECK_INTERVAL_US)
    probes = [c for kind, c in peer.sent_messages() if kind == wire.MessageType.TEST]
    assert len(probes) == 1
    peer.send(wire.MessageType.TEST_RESULT, probes[0], {wire.Parameter.CAUSE: b"\1"})  # responsive
    peer.pass_time(UNRESPONSIVE_TIMEOUT_US - 50_000)
    assert not peer.transports[0].aborted
    peer.pass_time(2 * LIVENESS_CHECK_INTERVAL_US)
    assert peer.transports[0].aborted
    peer.connect()  # another connection, which is unresponsive, too
    peer.pass_time(UNRESPONSIVE_TIMEOUT_US + 2 * LIVENESS_CHECK_INTERVAL_US)
    assert peer.transports[1].aborted
    assert not peer.router_harness.caller_releases  # the peer may still return, and the call with it
    peer.pass_time(PEER_LOST_TIMEOUT_US - 2 * UNRESPONSIVE_TIMEOUT_US)
    assert peer.router_harness.caller_releases == {FIRST_CALL: 1}
    assert PEER_LOST_TIMEOUT_US + 2 * LIVENESS_CHECK_INTERVAL_US < 8_000_000
    peer.connect()
    # The peer was unreachable and may still hold the circuits of the call: it is sent a release.
    assert (wire.MessageType.RELEASE, FIRST_CALL) in peer.sent_messages()


def test_a_pause_of_the_router_is_not_taken_for_unresponsive_peers() -> None:
    peer = connected_peer(FIRST_CALL)
    peer.send_answer(FIRST_CALL)
    peer.reactor.advance(5)
    assert not peer.transports[0].aborted
    peer.send_answer(FIRST_CALL)  # it had arrived during the pause
    peer.pass_time(LIVENESS_CHECK_INTERVAL_US)
    assert not peer.transports[0].aborted


@pytest.mark.parametrize("error", DIAL_ERRORS)
def test_a_link_dials_again_whatever_the_error_of_its_dial(error: type[Exception]) -> None:
    # Guards against docs/incidents/6: Twisted's TimeoutError is a UserError, and was taken for a dial that the router
    # had stopped itself.
    peer = PeerHarness()
    peer.offer_call(FIRST_CALL)
    peer.fail_dial(error)
    assert peer.router.counts["attempts_unreachable"] == 1  # the queued set-up was never sent
    peer.pass_time(RECONNECT_INTERVAL_US + 50_000)
    assert len(peer.reactor.dials) == 2
    peer.connect()
    peer.offer_call(SECOND_CALL)
    assert (wire.MessageType.SET_UP, SECOND_CALL) in peer.sent_messages()


@pytest.mark.parametrize("connected_us", [0, 50_000, 600_000])
@pytest.mark.parametrize("dial_us", [0, 50_000, 400_000])
def test_a_lost_attempt_is_released_some_time_before_the_next_one(connected_us: int, dial_us: int) -> None:
    # Guards against docs/incidents/7: the release expired at the moment at which the next dial began.
    def sent() -> list[tuple[int, str]]:
        return [(kind, call) for kind, call in peer.sent_messages() if kind != wire.MessageType.TEST]

    peer = connected_peer()
    peer.pass_time(connected_us)
    peer.offer_call(FIRST_CALL)
    peer.connection.connectionLost(cast(Any, Failure)(ConnectionLost()))
    while not peer.reactor.is_dial_pending:
        peer.pass_time(50_000)
    peer.pass_time(dial_us)
    peer.connect()
    assert sent() == [(wire.MessageType.RELEASE, FIRST_CALL)]
    peer.pass_time(250_000)
    assert sent() == [(wire.MessageType.RELEASE, FIRST_CALL)]
    peer.pass_time(100_000)
    assert sent() == [(wire.MessageType.RELEASE, FIRST_CALL), (wire.MessageType.SET_UP, FIRST_CALL)]
    peer.send_answer(FIRST_CALL)
    assert peer.router_harness.finals == {FIRST_CALL: 1}


@pytest.mark.parametrize("is_silent", [False, True])
def test_a_release_on_a_connection_that_is_lost_is_sent_again_on_the_next(is_silent: bool) -> None:
    # Guards against docs/incidents/8: it was sent on a connection that did not carry it, and the call stood on.
    peer = connected_peer(FIRST_CALL)
    peer.send_answer(FIRST_CALL)
    peer.pass_time(200_000)
    assert peer.router.release_call(FIRST_CALL, 16)
    if is_silent:
        peer.pass_time(UNRESPONSIVE_TIMEOUT_US)
        assert peer.transports[0].aborted
    else:
        peer.connection.connectionLost(cast(Any, Failure)(ConnectionLost()))
    peer.connect()
    assert peer.sent_messages() == [(wire.MessageType.RELEASE, FIRST_CALL)]


def test_a_release_that_was_delivered_is_not_sent_again() -> None:
    peer = connected_peer(FIRST_CALL)
    peer.send_answer(FIRST_CALL)
    assert peer.router.release_call(FIRST_CALL, 16)
    peer.pass_time(RELEASE_DELIVERY_US)
    peer.send(wire.MessageType.GROUP_STATE, "0" * 16, {wire.Parameter.REPORT: b"x0:12;x1:40;eps:0"})
    peer.connection.connectionLost(cast(Any, Failure)(ConnectionLost()))
    peer.pass_time(RECONNECT_INTERVAL_US)
    peer.connect()
    assert not peer.sent_messages()


def test_a_release_waits_between_two_dials_as_well() -> None:
    peer = connected_peer(FIRST_CALL)
    peer.connection.connectionLost(cast(Any, Failure)(ConnectionLost()))
    while not peer.reactor.is_dial_pending:
        peer.pass_time(50_000)
    peer.fail_dial(TimeoutError)
    assert peer.table.is_release_pending(FIRST_CALL)


def test_the_releases_that_wait_for_a_connection_are_bounded() -> None:
    peer = PeerHarness()
    for number in range(MAX_QUEUED_RELEASES + 3):
        assert peer.router.release_call(f"{number:016x}", 16)
    assert len(peer.link.releases.queued) == MAX_QUEUED_RELEASES
    assert peer.counts["peer_releases_dropped"] == 3
    peer.connect()
    assert [call for _, call in peer.sent_messages()] == [f"{n + 3:016x}" for n in range(MAX_QUEUED_RELEASES)]


def test_a_lost_attempt_at_an_unresponsive_peer_delays_set_ups_to_that_peer_only() -> None:
    peer = connected_peer(FIRST_CALL)
    peer.pass_time(UNRESPONSIVE_TIMEOUT_US + 2 * LIVENESS_CHECK_INTERVAL_US)
    assert peer.transports[0].aborted
    assert not peer.table.is_release_pending(FIRST_CALL)
    assert not peer.table.is_release_pending(FIRST_CALL, "x2")
    assert peer.table.is_release_pending(FIRST_CALL, "x1")


class LinkStates(RuleBasedStateMachine):
    """Model of a link that is down, dialling or up: each set-up has one outcome, whatever ends the connection."""

    def __init__(self) -> None:
        super().__init__()
        self.peer = PeerHarness()
        self.call_count = 0

    @rule()
    def offer_call(self) -> None:
        self.call_count += 1
        self.peer.offer_call(f"{self.call_count:016x}")

    @rule()
    def connect(self) -> None:
        if self.peer.reactor.is_dial_pending:
            self.peer.connect()

    @rule(error=st.sampled_from(DIAL_ERRORS))
    def fail_dial(self, error: type[Exception]) -> None:
        if self.peer.reactor.is_dial_pending:
            self.peer.fail_dial(error)

    @rule(event=st.sampled_from(["corrupt", "reset", "close", "answer", "truncated"]))
    def receive(self, event: str) -> None:
        connection = self.peer.link.connection
        if connection is None:
            return
        if event == "corrupt":
            self.peer.connection.dataReceived(CORRUPT_MESSAGES[0])
        elif event == "reset":
            connection.connectionLost(cast(Any, Failure)(ConnectionLost()))
        elif event == "close":
            close_by_peer(connection)
        elif event == "truncated":
            self.peer.connection.dataReceived(b"\x00")
        elif self.peer.link.pending_set_ups:
            self.peer.send_answer(min(self.peer.link.pending_set_ups))

    @rule(ticks=st.integers(1, 40))
    def wait(self, ticks: int) -> None:
        self.peer.pass_time(ticks * 50_000)

    @invariant()
    def each_set_up_is_either_queued_or_pending(self) -> None:
        link, router = self.peer.link, self.peer.router
        unanswered = {n for n, c in router.calls.items() if c.attempt is not None and not c.is_established}
        assert unanswered == link.pending_set_ups | set(link.queued_set_ups)
        assert not link.pending_set_ups & set(link.queued_set_ups)
        assert not link.pending_set_ups or link.connection is not None
        assert all(count == 1 for count in self.peer.router_harness.finals.values())
        assert link.connection is not None or self.peer.reactor.is_dial_pending or link._reconnect_timer is not None
        assert len(link.releases.queued) <= self.call_count


TestLinkStates = LinkStates.TestCase


def send_group_state(peer: PeerHarness) -> None:
    """Send the state that a peer sends at the start of each connection."""
    peer.send(wire.MessageType.GROUP_STATE, "0" * 16, {wire.Parameter.REPORT: b"x0:9;x1:9"})


def run_slow_peer(peer: PeerHarness, delay_us: int, total_us: int) -> int:
    """Let a peer answer each probe after a delay, and connect again at once; return the number of answers."""
    step_us, answers = 50_000, 0
    for _ in range(0, total_us, step_us):
        if peer.transports[-1].aborted:
            peer.pass_time(RECONNECT_INTERVAL_US)
            peer.connect()
            send_group_state(peer)
        connection, now = len(peer.transports), round(peer.reactor.seconds() * 1e6)
        for kind, call in peer.sent_messages():
            if kind == wire.MessageType.TEST:
                peer.due_answers.setdefault((connection, call), now + delay_us)
        for (sent_on, call), at in list(peer.due_answers.items()):
            if sent_on == connection and at <= now < at + step_us:
                peer.send(wire.MessageType.TEST_RESULT, call, {wire.Parameter.CAUSE: b"\1"})
                answers += 1
        peer.pass_time(step_us)
    return answers


@pytest.mark.parametrize("delay_us", [800_000, 2_000_000])
def test_a_peer_that_answers_slowly_keeps_its_connection_in_the_end(delay_us: int) -> None:
    # Guards against docs/incidents/3: every connection was dropped before the first answer on it.
    peer = connected_peer()
    send_group_state(peer)
    run_slow_peer(peer, delay_us, 10_000_000)
    connections = len(peer.transports)
    assert run_slow_peer(peer, delay_us, 10_000_000) >= 2
    assert len(peer.transports) == connections
    peer.pass_time(MAX_UNRESPONSIVE_TIMEOUT_US + 2 * LIVENESS_CHECK_INTERVAL_US)
    assert peer.transports[-1].aborted  # one that falls silent is still dropped


def test_a_peer_that_is_fast_again_is_dropped_as_early_as_before() -> None:
    peer = connected_peer()
    send_group_state(peer)
    run_slow_peer(peer, 800_000, 10_000_000)
    run_slow_peer(peer, 0, 2_000_000)
    assert not peer.transports[-1].aborted
    peer.pass_time(UNRESPONSIVE_TIMEOUT_US + 2 * LIVENESS_CHECK_INTERVAL_US)
    assert peer.transports[-1].aborted


def test_a_pause_of_this_process_drops_no_connection_of_a_peer_that_answers() -> None:
    # Guards against docs/incidents/4: after a pause every idle connection was dropped without a probe.
    peer = connected_peer()
    send_group_state(peer)
    for _ in range(3):
        run_slow_peer(peer, 0, 1_000_000)
        peer.reactor.advance(0.8)  # all timers run late, and once
        peer.router_harness.pass_time(800_000)
        run_slow_peer(peer, 0, 1_000_000)
    assert len(peer.transports) == 1
    assert not peer.transports[0].aborted
