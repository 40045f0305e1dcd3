"""The admission gate: what policies may do to a call, and which of its events they are notified of in every case."""

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
from astertrack.plan import Plan, PlanEvaluator, build
from astertrack.plan.model import Choice, Exchange, Limit, Prefix
from astertrack.versions import VersionId, VersionManager, VersionSettings, make_document, write_header
from ospreylug import interface as io

DecideFunction = Callable[[Request], Approval | Refusal | None]
TIERS = st.lists(st.none() | st.frozensets(st.integers(0, 4), max_size=3), max_size=3).map(tuple)
CONSTRAINTS = st.builds(RouteConstraint, TIERS, st.frozensets(st.integers(0, 4), max_size=2))


class RecordingPolicy:
    """A policy whose decisions a function supplies, and that records every notification."""

    def __init__(self, decide: DecideFunction, name: str = "recording", fail_closed: bool = False) -> None:
        self.decide, self.name, self.fail_closed = decide, name, fail_closed
        self.admitted: list[str] = []
        self.final_counts: Counter[str] = Counter()
        self.end_counts: Counter[str] = Counter()
        self.sent_set_ups: list[tuple[str, int]] = []
        self.blocked_exchanges: set[int] = set()
        self.notifications: list[str] = []

    def admit(self, request: Request, now_us: int) -> Approval | Refusal | None:
        """Return the supplied decision, and record an admitted call."""
        decision = self.decide(request)
        if isinstance(decision, Approval):
            self.admitted.append(request.call_id)
        return decision

    def permits(self, token: object, request: Request, entry: io.Entry, now_us: int) -> bool:
        """Permit every exchange that is not blocked."""
        return entry.number not in self.blocked_exchanges

    def sent(self, token: object, request: Request, entry: io.Entry, now_us: int) -> None:
        """Record the set-up."""
        self.sent_set_ups.append((request.call_id, entry.number))

    def final(self, token: object, request: Request, final: FinalResult, now_us: int) -> None:
        """Count the final result of the call."""
        self.final_counts[request.call_id] += 1
        self.notifications.append(f"{self.name} final")

    def over(self, token: object, request: Request, now_us: int) -> None:
        """Count the end of the call."""
        self.end_counts[request.call_id] += 1
        self.notifications.append(f"{self.name} over")


class FaultyPolicy(RecordingPolicy):
    """A policy that raises an exception in every method."""

    def __getattribute__(self, name: str) -> Any:
        if name in ("admit", "permits", "sent", "final", "over"):
            raise RuntimeError(name)
        return super().__getattribute__(name)


def scripted_policy(*decisions: Approval | Refusal | None, name: str = "scripted",
                    fail_closed: bool = False) -> RecordingPolicy:
    """A policy that returns these decisions in order, and then the last one for every further call."""
    remaining = list(decisions)
    return RecordingPolicy(lambda request: remaining.pop(0) if len(remaining) > 1 else remaining[0], name, fail_closed)


def test_the_first_refusal_decides_and_earlier_policies_are_notified_of_the_end() -> None:
    first, second = (scripted_policy(Approval(), name="first"),
                     scripted_policy(Approval(), Refusal("why", 5), name="second"))
    third = scripted_policy(Approval(), name="third")
    harness = RouterHarness((first, second, third))
    harness.offer("a")
    harness.offer("b")
    assert harness.set_ups == [("x1", "a")]
    assert (harness.finals["b"], harness.waits["b"]) == (1, 5)
    assert (first.final_counts["b"], first.end_counts["b"], third.admitted) == (1, 1, ["a"])
    assert harness.router.counts["gate_refused_second_why"] == 1
    first.notifications.clear()
    harness.router.on_answered("x1", "a", b"theirs")
    assert first.notifications == ["first final"]
    harness.peer_ends("a", io.Outcome.OK)
    assert first.notifications == ["first final", "first over"]


def test_a_policy_resolves_the_destination_for_later_policies_and_for_the_module() -> None:
    seen_destinations: list[int] = []
    later = RecordingPolicy(lambda request: seen_destinations.append(request.dest))
    harness = RouterHarness((scripted_policy(Approval(dest=2)), later))
    harness.offer("a", dest=1)
    assert harness.set_ups == [("x2", "a")]
    assert seen_destinations == [2]
    assert harness.router.calls["a"].request.dest == 2


def test_a_constrained_call_uses_the_first_tier_with_free_circuits_and_no_other_exchange() -> None:
    harness = RouterHarness((scripted_policy(
        Approval(constraint=RouteConstraint((frozenset({3}), frozenset({2})), frozenset({1})))),))
    harness.offer("a", dest=1)
    assert harness.set_ups == [("x3", "a")]
    harness.peer_ends("a", io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
    assert harness.set_ups[-1] == ("x2", "a")
    harness.peer_ends("a", io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
    harness.pass_time(3 * SECOND)
    assert harness.finals["a"] == 1
    assert {peer for peer, _ in harness.set_ups} == {"x2", "x3"}


def test_a_call_without_any_permitted_exchange_is_refused_at_once() -> None:
    harness = RouterHarness((scripted_policy(Approval(constraint=RouteConstraint((frozenset(),)))),))
    harness.offer("a")
    assert (harness.finals["a"], harness.set_ups) == (1, [])


def test_queued_calls_barred_from_the_direct_group_do_not_block_those_that_may_use_it() -> None:
    harness = RouterHarness((scripted_policy(Approval(constraint=RouteConstraint((frozenset({2}),))), Approval()),))
    for peer in ("x1", "x2", "x3"):
        harness.router.on_group_state(peer, io.Load(free=0.0, size=20.0))
    harness.offer("indirect")
    harness.offer("direct")
    harness.router.on_group_state("x1", io.Load(free=1.0, size=20.0))
    assert harness.set_ups == [("x1", "direct")]
    assert harness.finals["direct"] == 0


def test_policies_decide_last_when_a_set_up_is_sent() -> None:
    blocking = scripted_policy(Approval())
    blocking.blocked_exchanges = {1}
    harness = RouterHarness((blocking,))
    harness.offer("a")
    assert all(peer != "x1" for peer, _ in harness.set_ups)
    assert harness.router.counts["attempts_moot_here"] >= 1
    assert blocking.sent_set_ups == [("a", int(peer[1:])) for peer, _ in harness.set_ups]


@pytest.mark.parametrize("fail_closed", [False, True])
def test_a_fault_in_a_policy_leaves_the_call_its_answer(fail_closed: bool) -> None:
    harness = RouterHarness((FaultyPolicy(lambda request: None, fail_closed=fail_closed), scripted_policy(Approval())))
    harness.offer("a")
    assert harness.router.counts["gate_faults"] >= 1
    if fail_closed:
        assert harness.waits["a"] > 0
    else:
        harness.router.on_answered("x1", "a", b"theirs")
        assert harness.finals["a"] == 1


def test_a_fault_in_one_notification_does_not_keep_it_from_other_policies() -> None:
    faulty, healthy = scripted_policy(Approval()), scripted_policy(Approval())
    harness = RouterHarness((healthy, faulty))
    harness.offer("a")
    faulty.final = lambda *values: 1 / 0  # type: ignore[method-assign,assignment]
    harness.router.on_answered("x1", "a", b"theirs")
    assert (healthy.final_counts["a"], harness.router.counts["gate_faults"]) == (1, 1)


@given(CONSTRAINTS, CONSTRAINTS, st.integers(0, 4))
def test_the_intersection_of_two_constraints_permits_what_both_permit(
        one: RouteConstraint, other: RouteConstraint, number: int) -> None:
    assert one.intersect(other).permits(number) is (one.permits(number) and other.permits(number))


class ConstrainedCalls(Calls):
    """The same random steps, with two policies that resolve, constrain and refuse calls at random."""

    def make_harness(self) -> RouterHarness:
        source = random.Random(5)

        def decide(request: Request) -> Approval | Refusal | None:
            draw = source.random()
            if draw < 0.2:
                return None if draw < 0.1 else Refusal("random", 1_000)
            tiers = tuple(source.choice([None, frozenset(source.sample(range(4), 2))])
                          for _ in range(source.randrange(3)))
            self.constraints.setdefault(request.call_id, []).append(
                constraint := RouteConstraint(tiers, frozenset(source.sample(range(4), source.randrange(2)))))
            return Approval(source.choice([None, None, 2]), constraint)
        self.constraints: dict[str, list[RouteConstraint]] = {}
        self.recording_policies = [RecordingPolicy(decide, "one"), RecordingPolicy(decide, "two")]
        return RouterHarness(self.recording_policies)

    @invariant()
    def policies_are_obeyed_and_notified_once(self) -> None:
        """Set-ups obey every constraint; each policy gets one final result and one end for each call it admitted."""
        for peer, call in self.harness.set_ups:
            assert all(constraint.permits(int(peer[1:])) for constraint in self.constraints.get(call, []))
        for policy in self.recording_policies:
            admitted = set(policy.admitted)
            current = set(self.harness.router.calls)
            assert all(policy.end_counts[call] == (call not in current) for call in admitted)
            assert all(policy.final_counts[call] <= 1 for call in admitted)
            assert all(policy.final_counts[call] == 1 for call in admitted - current)
            assert set(policy.end_counts) <= admitted


TestConstrainedCalls = ConstrainedCalls.TestCase


# ---- the plan policy


def harness_with_plan(*plans: Plan) -> tuple[RouterHarness, VersionManager, PlanPolicy]:
    """A harness with a plan policy and the first of these plans in force."""
    versions = VersionManager(VersionSettings("n1", "z", 0), random.Random(1))
    policy = PlanPolicy(versions, PlanEvaluator("z", 0, random.Random(1)))
    harness = RouterHarness((policy,))
    versions.restore(VersionId(1, 1), plans[0], harness.now)
    return harness, versions, policy


def plan(*records: Any) -> Plan:
    """A plan of four exchanges and these records."""
    return build(iter([*(Exchange(n, "z") for n in range(4)), *records]))


def test_a_version_that_takes_force_at_a_calls_deadline_leaves_the_call_its_one_answer() -> None:
    harness, versions, _ = harness_with_plan(plan(Prefix("5", 1)))
    harness.offer("a", wait_us=3 * SECOND)
    next_plan = plan(Prefix("5", 2))
    document = make_document(VersionId(1, 2), next_plan.records(), next_plan.state,
                             in_force_ms=(harness.now + 3 * SECOND) // 1000)
    versions.receive_header(write_header(document.header), harness.now)
    versions.receive_lines(list(document.lines))
    versions.receive_end(harness.now)
    while versions.run_step(harness.now):
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


def test_a_call_waiting_for_its_retry_keeps_its_version_though_the_new_one_lacks_the_exchange() -> None:
    harness, versions, policy = harness_with_plan(plan(Choice(1, over=[[2]], any_tandem=False)))
    harness.offer("a", dest=1)
    harness.peer_ends("a", io.Outcome.CUT)  # the set-up was possibly executed: the next one waits 300 ms
    versions.restore(VersionId(1, 2), build(iter([Exchange(0), Exchange(3)])), harness.now)
    harness.pass_time(SECOND)
    assert harness.set_ups == [("x1", "a"), ("x1", "a")]
    harness.router.on_answered("x1", "a", b"theirs")
    assert (harness.finals["a"], harness.router.calls["a"].label) == (1, "1.1")
    assert policy.versions.in_force is not None
    harness.peer_ends("a", io.Outcome.OK)
    assert not harness.router.calls


def test_limits_are_released_however_a_call_ends() -> None:
    harness, _, policy = harness_with_plan(plan(Limit("one", in_hand=1)))
    for end in ("cancel", "refused", "timeout", "hang up", "ended"):
        harness.offer(end)
        assert policy.evaluator.in_hand["one"] == 1
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
        assert not policy.evaluator.in_hand
