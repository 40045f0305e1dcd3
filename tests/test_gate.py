"""The gate: what policies may do to a call, and what they are told of it, whatever else happens."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from helpers import SECOND
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from test_router import Calls, RouterHarness

from astertrack.core import Approval, FinalResult, Refusal, Request, RouteConstraint
from astertrack.parts.versions import PlanPolicy
from astertrack.plan import Desk, Plan, build
from astertrack.plan.model import Choice, Exchange, Limit, Prefix
from astertrack.versions import Rules, VersionId, Versions, make_document, write_header
from ospreylug import interface as io

Verdict = Callable[[Request], Approval | Refusal | None]
TIERS = st.lists(st.none() | st.frozensets(st.integers(0, 4), max_size=3), max_size=3).map(tuple)
NARROWINGS = st.builds(RouteConstraint, TIERS, st.frozensets(st.integers(0, 4), max_size=2))


class Book:
    """A policy that does as it is told and keeps a book."""

    def __init__(self, verdict: Verdict, name: str = "book", shut: bool = False) -> None:
        self.verdict, self.name, self.fail_closed = verdict, name, shut
        self.admitted: list[str] = []
        self.finals: Counter[str] = Counter()
        self.overs: Counter[str] = Counter()
        self.sents: list[tuple[str, int]] = []
        self.shut: set[int] = set()
        self.order: list[str] = []

    def admit(self, request: Request, now_us: int) -> Approval | Refusal | None:
        """Do as told."""
        verdict = self.verdict(request)
        if isinstance(verdict, Approval):
            self.admitted.append(request.call)
        return verdict

    def permits(self, token: object, request: Request, entry: io.Entry, now_us: int) -> bool:
        """Do as told."""
        return entry.number not in self.shut

    def sent(self, token: object, request: Request, entry: io.Entry, now_us: int) -> None:
        """Keep it."""
        self.sents.append((request.call, entry.number))

    def final(self, token: object, request: Request, final: FinalResult, now_us: int) -> None:
        """Keep it."""
        self.finals[request.call] += 1
        self.order.append(f"{self.name} final")

    def over(self, token: object, request: Request, now_us: int) -> None:
        """Keep it."""
        self.overs[request.call] += 1
        self.order.append(f"{self.name} over")


class Faulty(Book):
    """A policy that fails in all it does."""

    def __getattribute__(self, name: str) -> Any:
        if name in ("admit", "permits", "sent", "final", "over"):
            raise RuntimeError(name)
        return super().__getattribute__(name)


def book(*verdicts: Approval | Refusal | None, name: str = "book", shut: bool = False) -> Book:
    """A policy that says these, one after the other, the last for ever."""
    left = list(verdicts)
    return Book(lambda request: left.pop(0) if len(left) > 1 else left[0], name, shut)


def test_the_first_refusal_stands_and_earlier_policies_are_told_that_it_is_over() -> None:
    first, second = book(Approval(), name="first"), book(Approval(), Refusal("why", 5), name="second")
    third = book(Approval(), name="third")
    harness = RouterHarness((first, second, third))
    harness.offer("a")
    harness.offer("b")
    assert harness.set_ups == [("x1", "a")]
    assert (harness.finals["b"], harness.waits["b"]) == (1, 5)
    assert (first.finals["b"], first.overs["b"], third.admitted) == (1, 1, ["a"])
    assert harness.router.counts["gate_refused_second_why"] == 1
    first.order.clear()
    harness.router.on_answered("x1", "a", b"theirs")
    assert first.order == ["first final"]
    harness.peer_ends("a", io.Outcome.OK)
    assert first.order == ["first final", "first over"]


def test_a_policy_resolves_the_destination_for_those_after_it_and_for_the_module() -> None:
    seen: list[int] = []
    later = Book(lambda request: seen.append(request.dest))
    harness = RouterHarness((book(Approval(dest=2)), later))
    harness.offer("a", dest=1)
    assert harness.set_ups == [("x2", "a")]
    assert seen == [2]
    assert harness.router.calls["a"].request.dest == 2


def test_a_narrowed_call_goes_over_the_first_tier_that_has_room_and_never_elsewhere() -> None:
    constraint = RouteConstraint((frozenset({3}), frozenset({2})), frozenset({1}))
    harness = RouterHarness((book(Approval(constraint=constraint)),))
    harness.offer("a", dest=1)
    assert harness.set_ups == [("x3", "a")]
    harness.peer_ends("a", io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
    assert harness.set_ups[-1] == ("x2", "a")
    harness.peer_ends("a", io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
    harness.pass_time(3 * SECOND)
    assert harness.finals["a"] == 1
    assert {peer for peer, _ in harness.set_ups} == {"x2", "x3"}


def test_a_call_that_may_go_nowhere_is_refused_at_once() -> None:
    harness = RouterHarness((book(Approval(constraint=RouteConstraint((frozenset(),)))),))
    harness.offer("a")
    assert (harness.finals["a"], harness.set_ups) == (1, [])


def test_calls_that_may_not_go_direct_do_not_stand_in_the_way_of_those_that_wait_for_the_direct_group() -> None:
    harness = RouterHarness((book(Approval(constraint=RouteConstraint((frozenset({2}),))), Approval()),))
    for peer in ("x1", "x2", "x3"):
        harness.router.on_group_state(peer, io.Load(free=0.0, size=20.0))
    harness.offer("round")
    harness.offer("direct")
    harness.router.on_group_state("x1", io.Load(free=1.0, size=20.0))
    assert harness.set_ups == [("x1", "direct")]
    assert harness.finals["direct"] == 0


def test_the_last_word_at_the_moment_of_sending_is_the_policies() -> None:
    shut = book(Approval())
    shut.shut = {1}
    harness = RouterHarness((shut,))
    harness.offer("a")
    assert all(peer != "x1" for peer, _ in harness.set_ups)
    assert harness.router.counts["attempts_moot_here"] >= 1
    assert shut.sents == [("a", int(peer[1:])) for peer, _ in harness.set_ups]


@pytest.mark.parametrize("shut", [False, True])
def test_a_fault_in_a_policy_costs_no_call_its_answer(shut: bool) -> None:
    harness = RouterHarness((Faulty(lambda request: None, shut=shut), book(Approval())))
    harness.offer("a")
    assert harness.router.counts["gate_faults"] >= 1
    if shut:
        assert harness.waits["a"] > 0
    else:
        harness.router.on_answered("x1", "a", b"theirs")
        assert harness.finals["a"] == 1


def test_a_fault_while_a_call_is_told_of_leaves_the_others_told() -> None:
    faulty, sound = book(Approval()), book(Approval())
    harness = RouterHarness((sound, faulty))
    harness.offer("a")
    faulty.final = lambda *values: 1 / 0  # type: ignore[method-assign,assignment]
    harness.router.on_answered("x1", "a", b"theirs")
    assert (sound.finals["a"], harness.router.counts["gate_faults"]) == (1, 1)


@given(NARROWINGS, NARROWINGS, st.integers(0, 4))
def test_two_narrowings_together_permit_what_both_do(one: RouteConstraint, other: RouteConstraint, number: int) -> None:
    assert one.intersect(other).permits(number) is (one.permits(number) and other.permits(number))


class NarrowedCalls(Calls):
    """The same random steps through two policies that resolve, narrow and refuse at random."""

    def make_harness(self) -> RouterHarness:
        draw = random.Random(5)

        def verdict(request: Request) -> Approval | Refusal | None:
            kind = draw.random()
            if kind < 0.2:
                return None if kind < 0.1 else Refusal("drawn", 1_000)
            tiers = tuple(draw.choice([None, frozenset(draw.sample(range(4), 2))]) for _ in range(draw.randrange(3)))
            self.narrowings.setdefault(request.call, []).append(
                constraint := RouteConstraint(tiers, frozenset(draw.sample(range(4), draw.randrange(2)))))
            return Approval(draw.choice([None, None, 2]), constraint)
        self.narrowings: dict[str, list[RouteConstraint]] = {}
        self.books = [Book(verdict, "one"), Book(verdict, "two")]
        return RouterHarness(self.books)

    @invariant()
    def what_policies_say_holds_and_they_are_told_once(self) -> None:
        """Whatever came before."""
        for peer, call in self.harness.set_ups:
            assert all(constraint.permits(int(peer[1:])) for constraint in self.narrowings.get(call, []))
        for policy in self.books:
            admitted = set(policy.admitted)
            in_hand = set(self.harness.router.calls)
            assert all(policy.overs[call] == (call not in in_hand) for call in admitted)
            assert all(policy.finals[call] <= 1 for call in admitted)
            assert all(policy.finals[call] == 1 for call in admitted - in_hand)
            assert set(policy.overs) <= admitted


TestNarrowedCalls = NarrowedCalls.TestCase


# ---- the plan at the gate


def planned(*plans: Plan) -> tuple[RouterHarness, Versions, PlanPolicy]:
    """A harness with a plan policy, and the first plan in force."""
    versions = Versions(Rules("n1", "z", 0), random.Random(1))
    policy = PlanPolicy(versions, Desk("z", 0, random.Random(1)))
    harness = RouterHarness((policy,))
    versions.restore(VersionId(1, 1), plans[0], harness.now)
    return harness, versions, policy


def plan(*records: Any) -> Plan:
    """A plan of four exchanges and these."""
    return build(iter([*(Exchange(n, "z") for n in range(4)), *records]))


def test_a_version_in_force_exactly_at_a_calls_deadline_leaves_it_its_one_answer() -> None:
    harness, versions, _ = planned(plan(Prefix("5", 1)))
    harness.offer("a", wait_us=3 * SECOND)
    later = plan(Prefix("5", 2))
    sent = make_document(VersionId(1, 2), later.records(), later.state, in_force_ms=(harness.now + 3 * SECOND) // 1000)
    versions.header(write_header(sent.header), harness.now)
    versions.lines(list(sent.lines))
    versions.end(harness.now)
    while versions.work(harness.now):
        pass
    harness.call_at(harness.now + 3 * SECOND, lambda: versions.tick(harness.now))
    deadline = harness.now + 3 * SECOND
    harness.pass_time(deadline - harness.now - 1)
    harness.offer("before", wait_us=SECOND)
    harness.pass_time(1)
    harness.offer("at", wait_us=SECOND)
    assert harness.finals["a"] == 1
    assert [harness.router.calls[c].label for c in ("before", "at")] == ["1.1", "1.2"]
    harness.pass_time(5 * SECOND)
    assert harness.finals == {"a": 1, "before": 1, "at": 1}
    assert {r.call: r.version for r in harness.records} == {"a": "1.1", "before": "1.1", "at": "1.2"}


def test_a_call_waiting_to_be_tried_again_keeps_its_version_though_the_new_one_has_no_such_exchange() -> None:
    harness, versions, policy = planned(plan(Choice(1, over=[[2]], any_tandem=False)))
    harness.offer("a", dest=1)
    harness.peer_ends("a", io.Outcome.CUT)  # its set-up broke: it waits 300 ms for the release
    versions.restore(VersionId(1, 2), build(iter([Exchange(0), Exchange(3)])), harness.now)
    harness.pass_time(SECOND)
    assert harness.set_ups == [("x1", "a"), ("x1", "a")]
    harness.router.on_answered("x1", "a", b"theirs")
    assert (harness.finals["a"], harness.router.calls["a"].label) == (1, "1.1")
    assert policy.versions.in_force is not None
    harness.peer_ends("a", io.Outcome.OK)
    assert not harness.router.calls


def test_limits_are_free_again_however_a_call_ends() -> None:
    harness, _, policy = planned(plan(Limit("one", in_hand=1)))
    for end in ("cancel", "refused", "timeout", "hang up", "ended"):
        harness.offer(end)
        assert policy.desk.in_hand["one"] == 1
        harness.offer(f"{end} too")
        assert harness.waits[f"{end} too"] > 0
        if end == "cancel":
            harness.router.cancel(end)
        elif end == "refused":
            harness.peer_ends(end, io.Outcome.NUMBER_FAULT)
        elif end == "timeout":
            harness.pass_time(4 * SECOND)
        else:
            harness.router.on_answered(harness.peer_by_call[end], end, b"theirs")
            if end == "ended":
                harness.peer_ends(end, io.Outcome.OK)
            else:
                harness.router.release_call(end, 16)
        assert not policy.desk.in_hand
