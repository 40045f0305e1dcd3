"""Input from outside must not raise, break a rule, or keep a backoff or a grade for ever."""

import pytest
from helpers import ORDINARY, SECOND, ControllerHarness, entries, is_refused, sent_to, settings

from ospreylug import interface as io
from ospreylug.logic import MAX_BACKOFF_DOUBLINGS, TANDEM_SAMPLE_SIZE, Grade


def test_class_out_of_range_is_refused_at_once() -> None:
    harness = ControllerHarness()
    for service in (-1, 1, 99):
        assert is_refused(harness.offer(2, service=service)[1])
    assert not harness.controller.calls


def test_tenant_out_of_range_is_served() -> None:
    harness = ControllerHarness(settings(tenants=(io.Tenant(1.0, 10.0),)))
    for tenant in (-1, 0, 99):
        assert sent_to(harness.offer(2, tenant=tenant)[1]) == ["x2"]


def test_unknown_exchanges_and_calls_are_ignored() -> None:
    harness = ControllerHarness()
    for event in (io.GroupStatus("nowhere", True, 0, io.Load(free=5.0)), io.CallerGone("nobody"),
                  io.CallStands("nobody", 0, "nowhere", 5), io.TimerDue("nobody"), io.PeerMessage(99, b"?"),
                  io.AttemptEnded("nobody", 0, "nowhere", io.Outcome.CUT, 5, True)):
        assert harness.handle(event) == []
    assert is_refused(harness.offer(99)[1])


def test_call_named_like_a_timer_is_an_ordinary_call() -> None:
    harness = ControllerHarness(exchanges=3)
    harness.set_free(1, 0)
    harness.set_free(2, 0)
    assert not harness.handle(io.CallOffered("period", 0, 2, "line", harness.now + 3 * SECOND))
    assert not harness.handle(io.TimerDue("period"))


@pytest.mark.parametrize("load", [io.Load(free=0.0, size=0.0), io.Load(free=-5.0, size=-1.0), io.Load()])
def test_invalid_group_sizes_do_not_raise_and_a_group_that_appears_is_used(load: io.Load) -> None:
    harness = ControllerHarness(exchanges=3)
    harness.handle(io.GroupStatus("x2", True, 0, load))
    harness.offer(2)
    harness.now += 3 * SECOND
    harness.handle(io.GroupStatus("x2", True, 0, io.Load(free=8.0, size=8.0)))
    assert sent_to(harness.offer(2)[1]) == ["x2"]


def test_few_of_thousands_of_exchanges_are_examined_for_a_call() -> None:
    harness = ControllerHarness(exchanges=3000)
    for number in range(0, 3000, 7):
        harness.set_free(number, 0)
    assert sent_to(harness.offer(7)[1])
    assert len(harness.controller.remembered_tandems[7]) <= TANDEM_SAMPLE_SIZE
    harness.handle(io.RosterChange(io.RosterKind.REPLACE, entries(range(3))))
    assert harness.controller.tandem_numbers == [1, 2]


def test_tandem_backoff_ends() -> None:
    harness = ControllerHarness(exchanges=3)
    harness.set_free(2, 0)
    for _ in range(50):
        name, actions = harness.offer(2)
        if sent_to(actions):
            harness.end_attempt(name, 1, io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
        harness.pass_time(SECOND)
    harness.now += harness.controller.tandem_backoff_us << MAX_BACKOFF_DOUBLINGS
    assert sent_to(harness.offer(2)[1]) == ["x1"]


def test_grade_falls_again_without_new_samples() -> None:
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 5)
    harness.pass_time(SECOND)
    harness.complete_calls(2, 20_000_000, 6)
    harness.pass_time(SECOND)
    assert harness.controller.exchanges["x2"].grade is Grade.FAIR
    for _ in range(3):
        harness.pass_time(SECOND)
    assert sent_to(harness.offer(2)[1]) == ["x2"]


@pytest.mark.parametrize(("left_us", "is_queued"), [(SECOND // 10, False), (SECOND, True), (9 * SECOND, True)])
def test_queued_calls_are_answered_before_their_callers_leave(left_us: int, is_queued: bool) -> None:
    harness = ControllerHarness(exchanges=3)
    harness.set_free(1, 0)
    harness.set_free(2, 0)
    offer = io.CallOffered("held", 0, 2, "n", harness.now + left_us)
    actions = harness.controller.handle(harness.now, offer)
    timers = [a for a in actions if isinstance(a, io.SetTimer)]
    assert is_refused(actions) is not is_queued
    assert [t.at_us < harness.now + min(left_us, ORDINARY.aim_us) for t in timers] == [True] * is_queued
