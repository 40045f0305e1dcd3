"""The core by itself: a clock and ports of the test's own, no socket and no byte."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Sequence

from helpers import SECOND, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from astertrack.core import NORMAL_CLEARING, TEMPORARY_FAILURE, AttemptEnd, Gate, Policy, Request, Router
from astertrack.core.model import CallRecord
from astertrack.core.router import MARGIN_US
from ospreylug import interface as io


class Handle:
    """A timer."""

    def __init__(self, do: Callable[[], None]) -> None:
        self.do: Callable[[], None] | None = do

    def cancel(self) -> None:
        """Forget it."""
        self.do = None


class World:
    """A clock, peers that only take note, and a caller who does."""

    def __init__(self, policies: Sequence[Policy] = ()) -> None:
        self.now = 1_000 * SECOND
        self.order = itertools.count()
        self.timers: list[tuple[int, int, Handle]] = []
        self.sent: list[tuple[str, str]] = []  # (peer, call)
        self.out: dict[str, str] = {}  # call: the peer where a set-up is out or stands
        self.released: list[tuple[str, str, int]] = []
        self.finals: Counter[str] = Counter()
        self.answers: dict[str, str] = {}
        self.waits: dict[str, int] = {}
        self.over: Counter[str] = Counter()
        self.records: list[CallRecord] = []
        self.ended_us: dict[str, int] = {}  # call: when an attempt ended of which the release is awaited
        self.faults: list[str] = []
        given = settings(callers_wait=True, max_caller_wait_us=2 * SECOND, release_us=300_000)
        counts: Counter[str] = Counter()
        gate = Gate(policies, lambda event, **values: None, counts)
        self.router = Router(given, 7, self, self, lambda event, **values: None, self.records.append, gate=gate,
                             counts=counts)
        self.roster(io.Readiness.READY)

    # the clock

    def now_us(self) -> int:
        return self.now

    def call_at(self, when_us: int, callback: Callable[[], None]) -> Handle:
        handle = Handle(callback)
        heapq.heappush(self.timers, (when_us, next(self.order), handle))
        return handle

    def pass_time(self, us: int) -> None:
        end = self.now + us
        while self.timers and self.timers[0][0] <= end:
            when, _, handle = heapq.heappop(self.timers)
            self.now = max(self.now, when)
            if handle.do is not None:
                handle.do()
        self.now = end

    # the peers

    def set_up(self, peer: str, request: Request, deadline_us: int) -> None:
        if request.call in self.out:
            self.faults.append("attempts overlap")
        if self.now - self.ended_us.get(request.call, 0) < 300_000:
            self.faults.append("resent before the release")
        entry = self.router.roster.get(peer)
        if entry is None or entry.readiness is not io.Readiness.READY:
            self.faults.append("sent to a peer that drains or is gone")
        if not self.now < deadline_us <= request.deadline_us:
            self.faults.append("a deadline that is none")
        self.sent.append((peer, request.call))
        self.out[request.call] = peer

    def cancel_set_up(self, peer: str, call: str) -> None:
        self.release(peer, call, NORMAL_CLEARING)
        self.ended_us[call] = self.now

    def release(self, peer: str, call: str, cause: int) -> None:
        self.released.append((peer, call, cause))
        if self.out.get(call) == peer:
            del self.out[call]

    def probe(self, peer: str) -> None:
        pass

    # the caller

    def on_answered(self, call: str, description: bytes) -> None:
        self.finals[call] += 1
        self.answers[call] = description.decode()

    def on_refused(self, call: str, wait_us: int) -> None:
        self.finals[call] += 1
        self.waits[call] = wait_us

    def on_failed(self, call: str) -> None:
        self.finals[call] += 1

    # what tests do

    def roster(self, last: io.Readiness) -> None:
        entries = tuple(io.Entry(f"x{n}", n, 0, readiness=last if n == 3 else io.Readiness.READY)
                        for n in range(4))
        self.router.set_roster(io.RosterChange(io.RosterKind.REPLACE, entries))

    def offer(self, call: str, dest: int = 1, wait_us: int = 3 * SECOND, **more: bool) -> None:
        request = Request(call, 0, "ledger-read", dest, f"line-{call}", self.now + wait_us, b"offer", **more)
        self.router.offer(request, Callee(self))

    def peer_ends(self, call: str, outcome: io.Outcome, cause: io.Cause = io.Cause.NONE) -> None:
        peer = self.out.pop(call)
        if outcome is io.Outcome.CUT:
            self.ended_us[call] = self.now
        self.router.on_ended(peer, call, AttemptEnd(outcome, cause))


class Callee:
    """The caller's port: World has a release of its own, towards peers."""

    def __init__(self, world: World) -> None:
        self.on_answered, self.on_refused, self.on_failed = world.on_answered, world.on_refused, world.on_failed
        self.world = world

    def on_released(self, call: str, cause: int) -> None:
        self.world.over[call] += 1


def test_a_call_is_answered_released_and_recorded() -> None:
    world = World()
    world.offer("a")
    assert world.sent == [("x1", "a")]
    world.router.on_answered("x1", "a", b"theirs")
    world.pass_time(20 * SECOND)  # no time-out runs for a call that stands
    assert world.answers == {"a": "theirs"}
    world.peer_ends("a", io.Outcome.OK)
    assert (world.finals["a"], world.over["a"]) == (1, 1)
    assert [r.event for r in world.records] == ["answered", "ended"]
    assert not world.router.calls


def test_a_silent_peer_is_given_up_and_the_caller_told_before_its_deadline() -> None:
    world = World()
    world.offer("a", wait_us=SECOND)
    world.pass_time(SECOND - MARGIN_US)
    assert world.finals["a"] == 1
    assert world.released == [("x1", "a", NORMAL_CLEARING)]


def test_a_call_the_module_gave_up_on_is_answered_at_once_with_a_time_to_return() -> None:
    world = World()
    world.offer("a", dest=9)
    assert world.finals["a"] == 1
    assert world.waits["a"] > 0


def test_the_late_answer_to_an_attempt_given_up_is_released() -> None:
    world = World()
    world.offer("a")
    assert world.router.cancel("a")
    world.released.clear()
    world.router.on_answered("x1", "a", b"too late")
    assert world.released == [("x1", "a", NORMAL_CLEARING)]
    assert not world.finals["a"]


def test_a_cancel_that_crosses_the_answer_leaves_the_call_standing() -> None:
    world = World()
    world.offer("a")
    world.router.on_answered("x1", "a", b"theirs")
    assert not world.router.cancel("a")
    assert world.router.release_call("a", NORMAL_CLEARING)
    assert not world.router.release_call("a", NORMAL_CLEARING)
    assert world.released == [("x1", "a", NORMAL_CLEARING)]


def test_a_call_offered_with_hardly_any_time_is_refused_unsent() -> None:
    """A call with less than the margin left would be given up before an answer could be written."""
    world = World()
    world.offer("a", wait_us=MARGIN_US)
    assert (world.finals["a"], world.sent) == (1, [])
    assert world.waits["a"] > 0


def test_circuits_of_set_ups_on_their_way_are_not_free() -> None:
    """Each circuit that frees is told a round trip late: every call held for it was sent, and was moot."""
    world = World()
    world.offer("first")
    world.pass_time(40_000)
    world.peer_ends("first", io.Outcome.NUMBER_FAULT)  # a round trip takes 40 ms
    for peer in ("x1", "x2", "x3"):  # no way round either
        world.router.on_group_state(peer, io.Load(free=0.0, size=20.0))
    for name in "abc":
        world.offer(name)
    world.sent.clear()
    world.router.on_group_state("x1", io.Load(free=1.0, size=20.0))
    assert len(world.sent) == 1
    world.pass_time(5_000)
    world.router.on_group_state("x1", io.Load(free=1.0, size=20.0))  # it left before our set-up came
    assert len(world.sent) == 1
    world.pass_time(40_000)
    world.router.on_group_state("x1", io.Load(free=1.0, size=20.0))
    assert len(world.sent) == 2


def test_a_fault_in_the_module_costs_its_call_only() -> None:
    world = World()
    handle = world.router.controller.handle

    def faulty(now_us: int, event: io.Event) -> list[io.Action]:
        if isinstance(event, io.CallOffered) and event.call == "bad":
            raise RuntimeError("a fault")
        return handle(now_us, event)

    world.router.controller.handle = faulty  # type: ignore[method-assign]
    world.offer("bad")
    world.offer("good")
    world.pass_time(3 * SECOND)
    assert world.finals == {"bad": 1, "good": 1}
    assert world.router.counts["answers_by_guard"] == 1


def test_calls_at_a_machine_that_left_the_list_are_cut() -> None:
    world = World()
    world.offer("a", dest=3)
    world.router.on_answered("x3", "a", b"theirs")
    world.roster(io.Readiness.DRAINING)
    assert not world.over
    world.roster(io.Readiness.GONE)
    assert world.over["a"] == 1


class Calls(RuleBasedStateMachine):
    """Random calls, answers, ends, cancels and lists: the rules hold, whatever the order."""

    def __init__(self) -> None:
        super().__init__()
        self.world, self.names = self.make_world(), itertools.count()
        self.offered: dict[str, int] = {}
        self.given_up: set[str] = set()

    def make_world(self) -> World:
        """Make the world that the steps are taken in."""
        return World()

    def pick(self, at: int, names: list[str]) -> str | None:
        """One of these, or none."""
        return names[at % len(names)] if names else None

    @rule(dest=st.integers(0, 4), wait=st.integers(50_000, 3 * SECOND), transit=st.booleans())
    def offer(self, dest: int, wait: int, transit: bool) -> None:
        name = f"c{next(self.names)}"
        self.offered[name] = self.world.now + wait
        self.world.offer(name, dest, wait, transit=transit)

    @rule(us=st.integers(1, 2 * SECOND))
    def pass_time(self, us: int) -> None:
        self.world.pass_time(us)

    @rule(at=st.integers(0, 9))
    def answer(self, at: int) -> None:
        if (name := self.pick(at, list(self.world.out))) is not None:
            self.world.router.on_answered(self.world.out[name], name, b"theirs")

    @rule(at=st.integers(0, 9), outcome=st.sampled_from([
        io.Outcome.OK, io.Outcome.TURNED_AWAY, io.Outcome.NUMBER_FAULT, io.Outcome.CUT, io.Outcome.NOT_SENT,
        io.Outcome.UNREACHABLE]), cause=st.sampled_from(io.Cause))
    def end(self, at: int, outcome: io.Outcome, cause: io.Cause) -> None:
        if (name := self.pick(at, list(self.world.out))) is not None:
            self.world.peer_ends(name, outcome, cause)

    @rule(at=st.integers(0, 30))
    def cancel(self, at: int) -> None:
        if (name := self.pick(at, list(self.offered))) is not None and self.world.router.cancel(name):
            self.given_up.add(name)

    @rule(at=st.integers(0, 30), cause=st.sampled_from([NORMAL_CLEARING, TEMPORARY_FAILURE]))
    def hang_up(self, at: int, cause: int) -> None:
        if (name := self.pick(at, list(self.offered))) is not None:
            self.world.router.release_call(name, cause)

    @rule(readiness=st.sampled_from(io.Readiness))
    def roster(self, readiness: io.Readiness) -> None:
        before = {c for c, peer in self.world.out.items() if peer == "x3"}
        self.world.roster(readiness)
        if readiness is io.Readiness.GONE:  # its calls are over there, too
            for name in before & set(self.world.answers):
                self.world.out.pop(name, None)

    @rule(peer=st.integers(1, 3), free=st.integers(0, 5))
    def circuits(self, peer: int, free: int) -> None:
        self.world.router.on_group_state(f"x{peer}", io.Load(free=float(free), size=20.0))

    @invariant()
    def rules_hold(self) -> None:
        world = self.world
        assert not world.faults
        assert all(count == 1 for count in world.finals.values())
        assert all(count == 1 for count in world.over.values())
        assert not self.given_up & set(world.finals)
        assert max(Counter(call for _, call in world.sent).values(), default=0) <= 6
        for name, deadline in self.offered.items():
            assert world.finals[name] or name in self.given_up or world.now < deadline
        assert set(world.over) <= set(world.answers)


TestCalls = Calls.TestCase


def test_a_call_with_a_short_deadline_gets_nearly_all_of_it() -> None:
    world = World()
    world.offer("a", wait_us=130_000)  # an answer takes 40 ms: a wide margin would have left it 30
    world.pass_time(100_000)
    assert not world.finals
    world.router.on_answered(world.out["a"], "a", b"answer")
    assert world.answers == {"a": "answer"}
    world.offer("b", wait_us=130_000)
    world.pass_time(130_000)
    assert world.finals["b"] == 1  # and is answered within it all the same
