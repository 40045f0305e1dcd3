"""The way to a peer: what comes spoilt, short, twice or not at all, and connections that end under a call."""

from __future__ import annotations

from collections import Counter
from typing import Any, cast

import pytest
from drivers import Abortable, Seconds, ended
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from test_router import RouterHarness
from twisted.internet.error import ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from astertrack.core import Request
from astertrack.net.links import (
    KEEPALIVE_IDLE_US,
    LIVENESS_CHECK_INTERVAL_US,
    PEER_LOST_TIMEOUT_US,
    REDIAL_INTERVAL_US,
    UNRESPONSIVE_TIMEOUT_US,
)
from astertrack.net.peers import PARTIAL_MESSAGE_TIMEOUT_US, Endpoint, PeerLink, PeerTable
from astertrack.wire import peer as wire
from ospreylug import interface as io

ONE, TWO = "1" * 16, "2" * 16


class Dials(Clock):
    """A reactor that only takes note of dials."""

    def __init__(self) -> None:
        super().__init__()
        self.dials: list[Any] = []
        self.state = "connecting"
        self.stopped = 0

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float) -> Any:
        """Twisted's name for dialling."""
        self.dials.append(factory)
        return self

    def stopConnecting(self) -> None:
        """Twisted's name for giving up a dial."""
        self.stopped += 1


class Peer:
    """One peer behind a router whose other ports only take note; the table is the router's own."""

    def __init__(self) -> None:
        self.harness, self.reactor, self.counts = RouterHarness(), Dials(), Counter[str]()
        self.router = self.harness.router
        self.router.peers = self.table = PeerTable(self.make, 0, Seconds(self.reactor))
        self.router.set_roster(io.RosterChange(io.RosterKind.REPLACE, (io.Entry("x1", 1, 0),)))
        self.transports: list[Any] = []
        self.up: Any = None
        self.table.update([Endpoint("127.0.0.1:9", io.Entry("x1", 1, 0))], complete=True)
        self.link: PeerLink = cast(PeerLink, self.table.links["x1"])

    def make(self, endpoint: Endpoint) -> PeerLink:
        link = PeerLink(endpoint.entry.exchange, endpoint.address, self.router, Seconds(self.reactor),
                        self.counts, 500_000)
        link.dial()
        return link

    def connect(self) -> None:
        """The latest dial comes up."""
        self.up, transport = self.reactor.dials[-1].buildProtocol(None), cast(Any, Abortable)()
        self.transports.append(transport)
        self.up.makeConnection(transport)

    def fail(self, kind: type[Exception]) -> None:
        """The latest dial does not come up."""
        self.reactor.dials[-1].clientConnectionFailed(None, cast(Any, Failure)(kind()))

    def place(self, call: str) -> None:
        """Offer a call to this peer's number."""
        self.harness.offer(call)

    def says(self, kind: int, call: str, parameters: dict[int, bytes]) -> None:
        """The peer sends a message."""
        self.up.dataReceived(wire.encode(wire.Message(kind, call, parameters)))

    def answers(self, call: str) -> None:
        """The peer answers a set-up."""
        self.says(wire.Type.ANSWER, call, {wire.Code.DESCRIPTION: b"answer"})

    def heard(self, at: int = -1) -> list[tuple[int, str]]:
        """Types and calls of the messages that the peer was sent on a connection."""
        messages = wire.Stream().receive(self.transports[at].value())
        return [(m.type, m.call) for m in messages if isinstance(m, wire.Message)]

    def pass_time(self, us: int) -> None:
        """Let time pass on both clocks."""
        for _ in range(us // 50_000):
            self.reactor.advance(0.05)
            self.harness.pass_time(50_000)


def peer_up(*calls: str) -> Peer:
    """A connected peer with these set-ups open at it."""
    peer = Peer()
    peer.connect()
    for call in calls:
        peer.place(call)
    return peer


SPOILT = [
    b"\xff\xff" + bytes(60), b"\x00\x04" + bytes(60), b"\x00\x09\x63" + bytes(8),
    b"\x00\x0f\x09" + bytes.fromhex(ONE) + b"\x1f\xff\xff\x00\x00\x00",
    wire.encode(wire.Message(wire.Type.ANSWER, ONE, {})),
    b"\x00\x11\x09" + bytes.fromhex(ONE) + b"\x1f\x00\x01a\x1f\x00\x01b",
    wire.encode(wire.Message(wire.Type.RELEASE, ONE, {}))]


@pytest.mark.parametrize("spoilt", SPOILT)
def test_what_is_spoilt_ends_its_connection_and_each_call_on_it_once(spoilt: bytes) -> None:
    peer = peer_up(ONE, TWO)
    assert {c for _, c in peer.heard()} == {ONE, TWO}
    peer.up.dataReceived(spoilt)
    assert peer.transports[0].aborted
    assert peer.router.counts["attempts_cut"] == 2
    peer.answers(ONE)  # behind the spoilt one: it no longer counts
    ended(peer.up)
    assert not peer.harness.finals
    assert peer.router.counts["attempts_cut"] == 2
    peer.connect()  # at once, and what may stand unheard is released before anything else
    assert sorted(peer.heard()) == [(wire.Type.RELEASE, ONE), (wire.Type.RELEASE, TWO)]
    peer.pass_time(350_000)
    assert sorted(peer.heard())[:2] == [(wire.Type.SET_UP, ONE), (wire.Type.SET_UP, TWO)]
    peer.answers(ONE)
    assert peer.harness.answers == {ONE: "answer"}


def test_a_message_that_stops_short_ends_its_connection_and_one_that_goes_on_does_not() -> None:
    peer = peer_up(ONE)
    whole = wire.encode(wire.Message(wire.Type.ANSWER, ONE, {wire.Code.DESCRIPTION: b"answer"}))
    peer.up.dataReceived(whole[:9])
    peer.pass_time(PARTIAL_MESSAGE_TIMEOUT_US - 50_000)
    peer.up.dataReceived(whole[9:] + whole[:3])
    assert peer.harness.answers == {ONE: "answer"}
    peer.pass_time(PARTIAL_MESSAGE_TIMEOUT_US - 50_000)
    assert not peer.transports[0].aborted
    peer.pass_time(100_000)
    assert peer.transports[0].aborted
    assert ONE in peer.router.calls  # it stands: no connection owns it


@pytest.mark.parametrize("apart", [False, True])
@pytest.mark.parametrize("missing", [1, 2, 5, 11])
def test_a_message_behind_one_that_stopped_short_is_not_taken_for_its_rest(apart: bool, missing: int) -> None:
    """A long day: an answer broke off, a state of the group filled it up, and a caller was told both as the answer."""
    peer = peer_up(ONE)
    cut = wire.encode(wire.Message(wire.Type.ANSWER, ONE, {wire.Code.DESCRIPTION: b"c=IN IP4 10.4.7.9"}))[:-missing]
    state = wire.encode(wire.Message(wire.Type.GROUP_STATE, "0" * 16, {wire.Code.REPORT: b"x0:12;x1:40;eps:0"}))
    for data in (cut, state) if apart else (cut + state,):
        peer.up.dataReceived(data)
    assert not peer.harness.finals
    assert peer.transports[0].aborted
    assert peer.counts["peer_swallowed"] + peer.counts["peer_malformed"] == 1


def test_a_description_with_control_characters_passes_where_the_offer_has_them_too() -> None:
    peer = peer_up(ONE)
    peer.router.calls[ONE].request.description = b"\0binary"
    peer.up.dataReceived(wire.encode(wire.Message(wire.Type.ANSWER, ONE, {wire.Code.DESCRIPTION: b"\0\1theirs"})))
    assert peer.harness.finals == {ONE: 1}
    assert not peer.transports[0].aborted


def test_a_good_answer_counts_with_a_copy_or_an_unknown_id_beside_it() -> None:
    peer = peer_up(ONE)
    peer.answers("f" * 16)
    peer.answers(ONE)
    peer.answers(ONE)
    assert peer.harness.finals == {ONE: 1}
    assert not peer.transports[0].aborted


def test_a_reset_cuts_no_call_that_stands_but_two_refused_dials_do() -> None:
    peer = peer_up(ONE)
    peer.answers(ONE)
    peer.pass_time(1_000_000)
    peer.up.connectionLost(cast(Any, Failure)(ConnectionLost()))
    assert not peer.harness.caller_releases
    peer.fail(TimeoutError)
    peer.pass_time(REDIAL_INTERVAL_US + 50_000)
    peer.fail(ConnectionRefusedError)
    assert not peer.harness.caller_releases
    peer.pass_time(REDIAL_INTERVAL_US + 50_000)
    peer.fail(ConnectionRefusedError)
    assert peer.harness.caller_releases == {ONE: 1}


def test_nothing_is_written_on_a_connection_that_was_given_up() -> None:
    peer = peer_up(ONE)
    peer.up.dataReceived(SPOILT[0])
    before = peer.transports[0].value()
    peer.place(TWO)
    assert peer.transports[0].value() == before
    peer.connect()
    assert (wire.Type.SET_UP, TWO) in peer.heard()


def test_nothing_is_kept_or_dialled_of_a_peer_that_has_gone() -> None:
    peer = peer_up(ONE)
    peer.up.dataReceived(SPOILT[0])
    peer.place(TWO)
    peer.router.set_roster(io.RosterChange(io.RosterKind.REPLACE))
    peer.table.update([], complete=True)
    dials = len(peer.reactor.dials)
    peer.pass_time(3_000_000)
    assert len(peer.reactor.dials) == dials
    assert peer.reactor.stopped == 1
    assert not peer.link.queued_set_ups and not peer.link.outstanding_set_ups and not peer.link.pending_releases
    peer.connect()  # it came up all the same
    assert peer.transports[-1].aborted
    assert not peer.heard()


def test_a_set_up_that_a_message_cannot_hold_fails_and_harms_no_other() -> None:
    peer = peer_up()
    request = Request(ONE, 0, "ledger-read", 1, "5", peer.harness.now + 3_000_000, b"x" * 16_380)
    peer.router.offer(request, cast(Any, peer.harness))
    assert peer.harness.finals == {ONE: 1}
    peer.place(TWO)
    assert peer.heard() == [(wire.Type.SET_UP, TWO)]


def test_a_silent_connection_is_tested_given_up_and_its_calls_released_in_time() -> None:
    peer = peer_up(ONE)
    peer.answers(ONE)
    peer.pass_time(KEEPALIVE_IDLE_US + 2 * LIVENESS_CHECK_INTERVAL_US)
    tests = [c for kind, c in peer.heard() if kind == wire.Type.TEST]
    assert len(tests) == 1
    peer.says(wire.Type.TEST_RESULT, tests[0], {wire.Code.CAUSE: b"\1"})  # alive
    peer.pass_time(UNRESPONSIVE_TIMEOUT_US - 50_000)
    assert not peer.transports[0].aborted
    peer.pass_time(2 * LIVENESS_CHECK_INTERVAL_US)
    assert peer.transports[0].aborted
    peer.connect()  # another connection, which says nothing either
    peer.pass_time(UNRESPONSIVE_TIMEOUT_US + 2 * LIVENESS_CHECK_INTERVAL_US)
    assert peer.transports[1].aborted
    assert not peer.harness.caller_releases  # it may still come back, and the call with it
    peer.pass_time(PEER_LOST_TIMEOUT_US - 2 * UNRESPONSIVE_TIMEOUT_US)
    assert peer.harness.caller_releases == {ONE: 1}
    assert PEER_LOST_TIMEOUT_US + 2 * LIVENESS_CHECK_INTERVAL_US < 8_000_000
    peer.connect()
    assert (wire.Type.RELEASE, ONE) in peer.heard()  # cut off, not dead: its circuits are freed there


def test_a_pause_of_the_program_itself_is_no_silence_of_its_peers() -> None:
    peer = peer_up(ONE)
    peer.answers(ONE)
    peer.reactor.advance(5)
    assert not peer.transports[0].aborted
    peer.answers(ONE)  # it was there to be read
    peer.pass_time(LIVENESS_CHECK_INTERVAL_US)
    assert not peer.transports[0].aborted


class LinkStates(RuleBasedStateMachine):
    """A link by a model: down, dialling, up; each set-up gets one outcome, whatever ends the connection."""

    def __init__(self) -> None:
        super().__init__()
        self.peer = Peer()
        self.calls = 0

    @rule()
    def place(self) -> None:
        self.calls += 1
        self.peer.place(f"{self.calls:016x}")

    @rule()
    def come_up(self) -> None:
        if self.peer.link.connection is None and self.peer.link._connector is not None:
            self.peer.connect()

    @rule(kind=st.sampled_from([ConnectionRefusedError, TimeoutError]))
    def fail(self, kind: type[Exception]) -> None:
        if self.peer.link.connection is None and self.peer.link._connector is not None:
            self.peer.fail(kind)

    @rule(how=st.sampled_from(["spoilt", "reset", "close", "answer", "short"]))
    def end(self, how: str) -> None:
        up = self.peer.link.connection
        if up is None:
            return
        if how == "spoilt":
            self.peer.up.dataReceived(SPOILT[0])
        elif how == "reset":
            up.connectionLost(cast(Any, Failure)(ConnectionLost()))
        elif how == "close":
            ended(up)
        elif how == "short":
            self.peer.up.dataReceived(b"\x00")
        elif self.peer.link.outstanding_set_ups:
            self.peer.answers(min(self.peer.link.outstanding_set_ups))

    @rule(ticks=st.integers(1, 40))
    def wait(self, ticks: int) -> None:
        self.peer.pass_time(ticks * 50_000)

    @invariant()
    def each_set_up_is_somewhere_and_once(self) -> None:
        link, router = self.peer.link, self.peer.router
        out = {n for n, c in router.calls.items() if c.attempt is not None and not c.is_established}
        assert out == link.outstanding_set_ups | set(link.queued_set_ups)
        assert not link.outstanding_set_ups & set(link.queued_set_ups)
        assert not link.outstanding_set_ups or link.connection is not None
        assert all(count == 1 for count in self.peer.harness.finals.values())
        assert link.connection is not None or link._connector is not None or link._redial_timer is not None
        assert len(link.pending_releases) <= self.calls


TestLinkStates = LinkStates.TestCase
