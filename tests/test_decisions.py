"""The routing and grading rules, each in one small scenario."""

import pytest
from helpers import ORDINARY, SECOND, URGENT, ControllerHarness, entries, is_refused, sent_to, settings

from ospreylug import Controller
from ospreylug import interface as io
from ospreylug.logic import (
    BUSY_NUMBER_BACKOFF_US,
    MAX_BACKOFF_DOUBLINGS,
    MAX_FURTHER_ATTEMPTS,
    MAX_SAMPLING_PERIODS,
    TANDEM_BACKOFF_HOLDING_TIMES,
    TRUNK_RESERVATION,
    Grade,
)

TANDEM_BACKOFF_US = int(TANDEM_BACKOFF_HOLDING_TIMES * ORDINARY.hold_us)


def grade_of(harness: ControllerHarness, number: int) -> Grade:
    return harness.controller.exchanges[f"x{number}"].grade


def own_grade_of(harness: ControllerHarness) -> Grade:
    return harness.controller.own_grade


def bring_to_grade(harness: ControllerHarness, number: int, target: Grade) -> None:
    """Bring an exchange to a grade by its set-up delays alone, while another one answers promptly."""
    other = 1 if number == 2 else 2
    harness.complete_calls(number, 50_000, 5)
    harness.complete_calls(other, 50_000, 5)
    harness.pass_time(SECOND)
    names = [harness.offer(number)[0] for _ in range(12)]
    for name in names[:6]:
        harness.answer(name, number, 10_000_000)
    harness.complete_calls(other, 50_000, 12)
    harness.pass_time(SECOND)
    if target is Grade.HEAVY:
        for name in names[6:]:
            harness.answer(name, number, 10_000_000)
        harness.complete_calls(other, 50_000, 12)
        harness.pass_time(SECOND)
    assert grade_of(harness, number) is target
    assert own_grade_of(harness) is Grade.LIGHT


def test_call_takes_the_direct_group_first() -> None:
    harness = ControllerHarness()
    assert sent_to(harness.offer(2)[1]) == ["x2"]


def test_set_up_is_tried_while_the_free_circuits_are_unknown() -> None:
    harness = ControllerHarness()
    assert harness.controller.exchanges["x2"].free is None
    assert sent_to(harness.offer(2)[1]) == ["x2"]


def test_full_direct_group_overflows_to_one_remembered_tandem() -> None:
    harness = ControllerHarness(exchanges=8)
    harness.set_free(2, 0)
    first = sent_to(harness.offer(2)[1])
    assert first and first != ["x2"]
    for _ in range(5):
        assert sent_to(harness.offer(2)[1]) == first


@pytest.mark.parametrize("cause", [io.Cause.CRANKBACK, io.Cause.CRANKBACK_FULL, io.Cause.PROCESSOR_FULL])
def test_another_tandem_is_used_while_a_blocked_one_backs_off(cause: io.Cause) -> None:
    harness = ControllerHarness(exchanges=4)
    harness.set_free(2, 0)
    name, actions = harness.offer(2)
    (blocked,) = sent_to(actions)
    harness.end_attempt(name, int(blocked[1:]), io.Outcome.TURNED_AWAY, cause)
    for _ in range(6):
        assert blocked not in sent_to(harness.offer(2)[1])
    other = {"x1": 3, "x3": 1}[blocked]
    harness.set_free(other, 0)
    harness.now += TANDEM_BACKOFF_US
    assert sent_to(harness.offer(2)[1]) == [blocked]


def test_tandem_backoff_doubles_with_each_block_until_a_call_is_answered() -> None:
    """Without the doubling, large networks would try tandems without an onward group after each backoff."""
    harness = ControllerHarness(exchanges=3)
    harness.set_free(2, 0)
    for blocks in range(MAX_BACKOFF_DOUBLINGS + 1):
        name, actions = harness.offer(2)
        assert sent_to(actions) == ["x1"]
        harness.end_attempt(name, 1, io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
        harness.now += (TANDEM_BACKOFF_US << min(blocks, MAX_BACKOFF_DOUBLINGS)) - 1
        assert not sent_to(harness.offer(2)[1])
        harness.now += 1
    name, actions = harness.offer(2)
    harness.answer(name, 1, 50_000)
    name, actions = harness.offer(2)
    harness.end_attempt(name, 1, io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
    harness.now += TANDEM_BACKOFF_US
    assert sent_to(harness.offer(2)[1]) == ["x1"]


def test_tandem_that_worked_is_remembered_after_one_block() -> None:
    """A pair without a direct group has one planned tandem; forgotten, it would be found again only by chance."""
    harness = ControllerHarness(exchanges=40)
    harness.set_free(2, 0)
    name, actions = harness.offer(2)
    (first,) = sent_to(actions)
    harness.answer(name, int(first[1:]), 50_000)
    name, actions = harness.offer(2)
    actions = harness.end_attempt(name, int(first[1:]), io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
    (second,) = sent_to(actions)
    harness.end_attempt(name, int(second[1:]), io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK, attempt=1, settled=True)
    harness.now += TANDEM_BACKOFF_US
    for n in range(40):
        harness.set_free(n, 9)
    harness.set_free(2, 0)
    harness.set_free(int(second[1:]), 0)
    assert sent_to(harness.offer(2)[1]) == [first]


def test_tandem_with_most_free_circuits_is_chosen() -> None:
    harness = ControllerHarness(exchanges=6)
    for n in (1, 3, 4, 5):
        harness.set_free(n, 10 + n)
    harness.set_free(2, 0)
    assert sent_to(harness.offer(2)[1]) == ["x5"]


def test_call_cranked_back_tries_another_tandem() -> None:
    harness = ControllerHarness(exchanges=6)
    harness.set_free(2, 0)
    name, actions = harness.offer(2)
    (first,) = sent_to(actions)
    actions = harness.end_attempt(name, int(first[1:]), io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
    (second,) = sent_to(actions)
    assert second not in (first, "x2")


@pytest.mark.parametrize(("free", "is_sent"), [
    (TRUNK_RESERVATION + 1, True), (TRUNK_RESERVATION, False), (1, False), (0, False)])
def test_transit_call_is_refused_within_the_trunk_reservation(free: float, is_sent: bool) -> None:
    harness = ControllerHarness()
    harness.set_free(2, free)
    actions = harness.offer(2, transit=True, via=1)[1]
    assert (sent_to(actions) == ["x2"]) is is_sent
    assert is_refused(actions) is not is_sent


def test_direct_call_takes_the_last_circuit() -> None:
    harness = ControllerHarness()
    harness.set_free(2, 1)
    assert sent_to(harness.offer(2)[1]) == ["x2"]


def test_transit_call_is_sent_to_its_destination_only() -> None:
    harness = ControllerHarness(exchanges=8)
    harness.set_free(2, 0)
    assert not sent_to(harness.offer(2, transit=True)[1])


def test_fresh_call_is_not_sent_at_fair_and_transit_call_not_at_heavy() -> None:
    harness = ControllerHarness()
    bring_to_grade(harness, 2, Grade.FAIR)
    assert not sent_to(harness.offer(2)[1])
    assert sent_to(harness.offer(2, transit=True)[1]) == ["x2"]
    harness = ControllerHarness()
    bring_to_grade(harness, 2, Grade.HEAVY)
    assert not sent_to(harness.offer(2)[1])
    assert is_refused(harness.offer(2, transit=True)[1])


def test_loaded_tandem_is_not_chosen() -> None:
    harness = ControllerHarness(exchanges=4)
    bring_to_grade(harness, 1, Grade.FAIR)
    harness.set_free(2, 0)
    assert sent_to(harness.offer(2)[1]) == ["x3"]


def test_class_worth_clearly_more_is_still_sent_at_fair() -> None:
    harness = ControllerHarness(settings(classes=(ORDINARY, URGENT)))
    bring_to_grade(harness, 2, Grade.FAIR)
    assert not sent_to(harness.offer(2)[1])
    assert sent_to(harness.offer(2, service=1)[1]) == ["x2"]


def test_one_circuit_is_reserved_for_a_class_worth_clearly_more() -> None:
    harness = ControllerHarness(settings(classes=(ORDINARY, URGENT)), exchanges=3)
    harness.set_free(2, 1)
    harness.set_free(1, TRUNK_RESERVATION + 1)
    assert not sent_to(harness.offer(2)[1])  # reserved directly, and besides the trunk reservation to a tandem
    assert sent_to(harness.offer(2, service=1)[1]) == ["x2"]


def test_four_samples_do_not_raise_a_grade_and_count_in_the_next_period() -> None:
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 5)
    harness.pass_time(SECOND)
    harness.complete_calls(2, 5_000_000, 4)
    harness.pass_time(SECOND)
    assert grade_of(harness, 2) is Grade.LIGHT
    harness.complete_calls(2, 5_000_000, 1)
    harness.pass_time(SECOND)
    assert grade_of(harness, 2) is Grade.FAIR


def test_samples_of_a_thin_stream_are_discarded_after_some_periods() -> None:
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 5)
    harness.pass_time(SECOND)
    harness.complete_calls(2, 5_000_000, 4)
    for _ in range(MAX_SAMPLING_PERIODS):
        harness.pass_time(SECOND)
    harness.complete_calls(2, 5_000_000, 1)
    harness.pass_time(SECOND)
    assert grade_of(harness, 2) is Grade.LIGHT


def test_grade_without_samples_falls_once_a_period() -> None:
    harness = ControllerHarness()
    bring_to_grade(harness, 2, Grade.HEAVY)
    for name in list(harness.controller.calls):
        harness.end_attempt(name, 2, io.Outcome.OK, settled=True)
    harness.pass_time(SECOND)
    assert grade_of(harness, 2) is Grade.FAIR
    harness.pass_time(SECOND)
    assert grade_of(harness, 2) is Grade.LIGHT


def test_grade_that_fell_without_samples_allows_one_set_up_at_a_time() -> None:
    """After a hang or a slow period, set-ups that all return at once would not be answered in time."""
    harness = ControllerHarness(exchanges=3)
    bring_to_grade(harness, 2, Grade.HEAVY)
    for name in list(harness.controller.calls):
        harness.end_attempt(name, 2, io.Outcome.OK, settled=True)
    harness.pass_time(SECOND)
    harness.pass_time(SECOND)
    assert grade_of(harness, 2) is Grade.LIGHT
    name, actions = harness.offer(2)
    assert sent_to(actions) == ["x2"]
    queued, actions = harness.offer(2)
    assert not actions  # nor over a tandem, which leads to the same processor
    assert is_refused(harness.offer(2, transit=True)[1])
    harness.set_free(1, 0)
    assert not sent_to(harness.offer(1)[1])  # and it is no tandem either
    harness.handle(io.CallerGone(queued))
    harness.answer(name, 2, 50_000)
    harness.pass_time(SECOND)
    assert [sent_to(harness.offer(2)[1]) for _ in range(3)] == [["x2"]] * 3


def test_age_of_unanswered_set_ups_raises_the_grade() -> None:
    """A hung processor yields no delays; without the ages of its set-ups it would stay LIGHT for ever."""
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 5)
    harness.pass_time(SECOND)
    for _ in range(6):
        harness.offer(2)
    harness.pass_time(SECOND)
    assert grade_of(harness, 2) is Grade.FAIR


def test_unanswered_set_ups_do_not_count_at_first() -> None:
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 5)
    harness.pass_time(SECOND - 1000)
    for _ in range(6):
        harness.offer(2)
    harness.pass_time(2000)
    assert grade_of(harness, 2) is Grade.LIGHT


def test_processor_full_counts_as_a_delay_above_w2() -> None:
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 5)
    harness.pass_time(SECOND)
    for _ in range(5):
        name, _ = harness.offer(2)
        assert is_refused(harness.end_attempt(name, 2, io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL))
    harness.pass_time(SECOND)
    assert grade_of(harness, 2) is Grade.FAIR


def test_crankback_for_a_full_processor_counts_for_the_destination() -> None:
    harness = ControllerHarness(exchanges=4)
    harness.complete_calls(2, 50_000, 5)
    harness.pass_time(SECOND)
    harness.set_free(2, 0)
    for _ in range(5):
        harness.now += TANDEM_BACKOFF_US
        name, actions = harness.offer(2)
        (tandem,) = sent_to(actions)
        harness.end_attempt(name, int(tandem[1:]), io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK_FULL)
    assert harness.controller.exchanges["x2"].sample_count >= 1
    assert harness.controller.exchanges["x1"].sample_count == harness.controller.exchanges["x3"].sample_count == 0


def test_two_leg_set_ups_have_their_own_minimum_delay() -> None:
    harness = ControllerHarness(exchanges=3)
    harness.complete_calls(1, 50_000, 5)
    harness.set_free(2, 0)
    for _ in range(5):
        name, actions = harness.offer(2)
        assert sent_to(actions) == ["x1"]
        harness.answer(name, 1, 200_000)  # long for one leg, normal for two
    harness.pass_time(SECOND)
    assert harness.controller.exchanges["x1"].min_delays_us == {1: 50_000.0, 2: 200_000.0}
    assert grade_of(harness, 1) is Grade.LIGHT


def test_short_unanswered_attempt_counts_as_a_full_processor() -> None:
    """In a redial storm, attempts cut off at 0.6 s would hide how slow the remote exchange is."""
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 5)
    harness.pass_time(SECOND)
    for _ in range(5):
        name, _ = harness.offer(2, deadline_us=harness.now + 600_000)
        harness.end_attempt(name, 2, io.Outcome.TIMEOUT, delay_us=600_000)
    state = harness.controller.exchanges["x2"]
    assert state.sample_count == 5
    assert 1 - state.min_delay_sum_us / state.delay_sum_us == pytest.approx(1.1 * 0.9)
    harness.pass_time(SECOND)
    assert grade_of(harness, 2) is Grade.FAIR


def test_set_up_times_out_at_the_aim() -> None:
    harness = ControllerHarness()
    (sent,) = harness.offer(2)[1]
    assert isinstance(sent, io.SetUp) and sent.timeout_us == ORDINARY.aim_us
    (sent,) = harness.offer(2, deadline_us=harness.now + SECOND)[1]
    assert isinstance(sent, io.SetUp) and sent.timeout_us == SECOND


def test_number_with_all_lines_busy_is_not_called_for_a_while() -> None:
    harness = ControllerHarness()
    name, _ = harness.offer(2, number="hot")
    assert is_refused(harness.end_attempt(name, 2, io.Outcome.NUMBER_FAULT, io.Cause.LINES_BUSY))
    assert is_refused(harness.offer(2, number="hot")[1])
    assert sent_to(harness.offer(2, number="other")[1]) == ["x2"]
    harness.now += BUSY_NUMBER_BACKOFF_US
    assert sent_to(harness.offer(2, number="hot")[1]) == ["x2"]


def test_set_ups_to_a_cold_processor_are_spaced() -> None:
    harness = ControllerHarness(exchanges=3)
    harness.handle(io.RosterChange(io.RosterKind.UPDATE, entries([2], started_us=harness.now)))
    assert sent_to(harness.offer(2)[1]) == ["x2"]
    assert not sent_to(harness.offer(2)[1])
    harness.now += harness.settings.fall_us
    assert sent_to(harness.offer(2)[1]) == ["x2"]
    assert not sent_to(harness.offer(2)[1])
    harness.now += harness.settings.cold_us
    assert sent_to(harness.offer(2)[1]) == sent_to(harness.offer(2)[1]) == ["x2"]


@pytest.mark.parametrize("readiness", [io.Readiness.DRAINING, io.Readiness.GONE])
def test_draining_or_gone_exchange_gets_no_new_calls(readiness: io.Readiness) -> None:
    harness = ControllerHarness(exchanges=4)
    harness.handle(io.RosterChange(io.RosterKind.UPDATE, entries([2], readiness=readiness)))
    assert is_refused(harness.offer(2)[1])
    harness.set_free(3, 0)
    harness.set_free(1, 9)
    assert sent_to(harness.offer(3)[1]) == ["x1"]


def test_exchange_absent_from_a_complete_list_is_gone() -> None:
    harness = ControllerHarness(exchanges=4)
    harness.handle(io.RosterChange(io.RosterKind.REPLACE, entries([0, 1])))
    assert is_refused(harness.offer(3)[1])


def test_of_two_processors_of_one_exchange_the_newer_is_used() -> None:
    harness = ControllerHarness(exchanges=3)
    new = io.Entry("y2", 2, 0, started_us=5)
    harness.handle(io.RosterChange(io.RosterKind.UPDATE, (new,)))
    assert sent_to(harness.offer(2)[1]) == ["y2"]


def test_call_goes_only_to_the_pools_of_its_class() -> None:
    service = io.ServiceClass(SECOND, 3 * SECOND, 1.0, pools=(1, 3))
    harness = ControllerHarness(settings(topology=io.Topology.POOLS, home=-1, classes=(service,)), exchanges=6)
    harness.set_free(1, 0)
    for _ in range(6):
        assert sent_to(harness.offer(1)[1]) == ["x3"]


def test_roster_on_request_is_requested_again() -> None:
    harness = ControllerHarness(settings(roster_on_request=True, ask_every_us=10 * SECOND))
    assert harness.controller.roster_requested_us == harness.now
    harness.handle(io.RosterChange(io.RosterKind.UNAVAILABLE))
    harness.now += SECOND
    assert harness.handle(io.TimerDue("period")) == [io.WatchRoster()]


@pytest.mark.parametrize(
    "changes",
    [{"controllers": 0}, {"classes": ()}, {"max_attempts": 0}, {"release_us": -1}, {"topology": "ring"},
     {"fall_multiple": -1.0}, {"tenants": (io.Tenant(0.5, -1.0),)}],
)
def test_impossible_settings_name_the_setting(changes: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(changes))):
        settings(**changes)


def let_first_attempt_expire(harness: ControllerHarness, number: str) -> None:
    """Have a caller's first attempt fail at a full group, and let its aim pass."""
    harness.set_free(2, 0)
    for other in (1, 3):
        harness.set_free(other, 0)
    name, _ = harness.offer(2, number=number)
    harness.handle(io.CallerGone(name))
    harness.now += ORDINARY.aim_us + 1


def test_late_redial_leaves_a_circuit_for_calls_in_time() -> None:
    """In overload, a late call earns part of its worth and takes a circuit from a call in time."""
    harness = ControllerHarness(settings(classes=(io.ServiceClass(1_500_000, 9 * SECOND, 1.0, late_worth=0.25),)))
    let_first_attempt_expire(harness, "late")
    harness.set_free(2, TRUNK_RESERVATION + 1)
    assert is_refused(harness.offer(2, number="late")[1])
    assert sent_to(harness.offer(2, number="first attempt")[1]) == ["x2"]
    harness.set_free(2, TRUNK_RESERVATION + 2)
    assert sent_to(harness.offer(2, number="late")[1]) == ["x2"]


def test_redial_within_its_aim_is_like_a_first_attempt() -> None:
    harness = ControllerHarness(settings(classes=(io.ServiceClass(1_500_000, 9 * SECOND, 1.0, late_worth=0.25),)))
    let_first_attempt_expire(harness, "late")
    harness.now -= 2
    harness.set_free(2, 1)
    assert sent_to(harness.offer(2, number="late")[1]) == ["x2"]


def test_caller_is_forgotten_after_the_deadline_of_the_class() -> None:
    harness = ControllerHarness(settings(classes=(io.ServiceClass(1_500_000, 9 * SECOND, 1.0, late_worth=0.25),)))
    let_first_attempt_expire(harness, "late")
    harness.now += 9 * SECOND
    harness.set_free(2, 1)
    assert sent_to(harness.offer(2, number="late")[1]) == ["x2"]
    harness.pass_time(10 * SECOND)
    assert not harness.controller.first_offer_us


def test_late_redial_takes_no_tandem() -> None:
    """In a jam, a call of partial worth over a tandem would occupy twice the circuits and three processors."""
    harness = ControllerHarness()
    let_first_attempt_expire(harness, "late")
    harness.set_free(1, 9)
    assert is_refused(harness.offer(2, number="late")[1])
    assert sent_to(harness.offer(2, number="first attempt")[1]) == ["x1"]


def load_own_processor(harness: ControllerHarness) -> None:
    """Slow down the thin streams to many exchanges together."""
    for delay_us in (50_000, 2_000_000):
        for number in range(1, 13):
            harness.complete_calls(number, delay_us, 1)
        harness.pass_time(SECOND)
    assert all(state.grade is Grade.LIGHT for state in harness.controller.exchanges.values())


def test_own_processor_is_graded_by_all_streams_together() -> None:
    """In a large network, no stream to one exchange has enough samples to show a jam of the own processor."""
    harness = ControllerHarness(exchanges=13)
    load_own_processor(harness)
    assert own_grade_of(harness) is Grade.FAIR
    harness.set_free(2, 0)
    assert not sent_to(harness.offer(2)[1])  # no tandem
    harness.complete_calls(3, 50_000, 1)
    harness.pass_time(SECOND)
    assert own_grade_of(harness) is Grade.LIGHT
    assert sent_to(harness.offer(2)[1])


def test_late_redial_is_refused_while_the_own_processor_is_loaded() -> None:
    harness = ControllerHarness(exchanges=13)
    name, _ = harness.offer(3, number="late")
    harness.end_attempt(name, 3, io.Outcome.NUMBER_FAULT)
    harness.now += ORDINARY.aim_us + 1
    load_own_processor(harness)
    assert is_refused(harness.offer(3, number="late")[1])
    assert sent_to(harness.offer(3, number="first attempt")[1]) == ["x3"]


def test_some_slow_exchanges_do_not_make_the_own_processor_slow() -> None:
    harness = ControllerHarness(exchanges=13)
    for slow_us in (50_000, 5_000_000):
        for number in range(1, 13):
            harness.complete_calls(number, slow_us if number < 7 else 50_000, 1)
        harness.pass_time(SECOND)
    assert own_grade_of(harness) is Grade.LIGHT


def test_first_delay_on_a_route_is_its_minimum_and_no_sample() -> None:
    harness = ControllerHarness(exchanges=13)
    for number in range(1, 13):
        harness.complete_calls(number, 5_000_000, 1)
    assert harness.controller.delay_ratios == []


def test_call_without_a_circuit_is_queued_and_gets_the_first_free_one() -> None:
    """At a full group a refusal would only make the caller redial, and every attempt costs processing."""
    harness = ControllerHarness(exchanges=3)
    harness.set_free(2, 0)
    harness.set_free(1, 0)
    name, actions = harness.offer(2)
    assert not actions
    freed = io.GroupStatus("x2", True, 0, io.Load(free=1.0))
    assert [a.call for a in harness.handle(freed) if isinstance(a, io.SetUp)] == [name]
    assert not harness.handle(freed)


def test_queued_call_is_refused_when_it_cannot_be_answered_in_time() -> None:
    harness = ControllerHarness(exchanges=3)
    harness.complete_calls(2, 50_000, 1)
    harness.set_free(2, 0)
    harness.set_free(1, 0)
    name, _ = harness.offer(2)
    harness.now += ORDINARY.aim_us - 100_000
    assert is_refused(harness.handle(io.TimerDue(f"held {name}")))
    assert not harness.handle(io.GroupStatus("x2", True, 0, io.Load(free=5.0)))
    assert not harness.handle(io.TimerDue(f"held {name}"))
    harness.pass_time(SECOND)
    assert not harness.controller.queued


def test_queue_timer_of_a_call_that_was_sent_does_nothing() -> None:
    harness = ControllerHarness(exchanges=3)
    harness.set_free(2, 0)
    harness.set_free(1, 0)
    name, _ = harness.offer(2)
    harness.set_free(2, 1)
    harness.now += ORDINARY.aim_us - 100_000
    assert not harness.handle(io.TimerDue(f"held {name}"))


def test_queued_call_with_the_highest_worth_goes_first() -> None:
    harness = ControllerHarness(settings(classes=(ORDINARY, URGENT)), exchanges=3)
    harness.set_free(2, 0)
    harness.set_free(1, 0)
    harness.offer(2)
    name, _ = harness.offer(2, service=1)
    actions = harness.handle(io.GroupStatus("x2", True, 0, io.Load(free=1.0)))
    assert [a.call for a in actions if isinstance(a, io.SetUp)] == [name]


def test_call_without_a_direct_group_waits_for_the_remembered_tandem() -> None:
    harness = ControllerHarness(exchanges=4)
    harness.handle(io.GroupStatus("x2", True, 0, io.Load(free=0.0, size=0.0)))
    harness.set_free(3, 0)
    name, actions = harness.offer(2)
    assert sent_to(actions) == ["x1"]
    harness.answer(name, 1, 50_000)
    harness.set_free(1, 0)
    name, actions = harness.offer(2)
    assert not actions
    actions = harness.handle(io.GroupStatus("x1", True, 0, io.Load(free=9.0)))
    assert [(a.call, a.exchange) for a in actions if isinstance(a, io.SetUp)] == [(name, "x1")]


def test_transit_call_is_never_queued() -> None:
    harness = ControllerHarness()
    harness.set_free(2, 0)
    assert is_refused(harness.offer(2, transit=True, via=1)[1])


def test_redial_times_out_at_the_aim_of_the_first_attempt() -> None:
    harness = ControllerHarness()
    name, _ = harness.offer(2, number="again")
    harness.end_attempt(name, 2, io.Outcome.NUMBER_FAULT)
    harness.now += SECOND
    (sent,) = harness.offer(2, number="again")[1]
    assert isinstance(sent, io.SetUp) and sent.timeout_us == ORDINARY.aim_us - SECOND


def test_call_to_a_loaded_exchange_is_queued_until_its_grade_falls() -> None:
    """Where callers redial at once, every refusal would cause the next attempt, which costs processing."""
    harness = ControllerHarness()
    bring_to_grade(harness, 2, Grade.FAIR)
    for name in list(harness.controller.calls):
        harness.end_attempt(name, 2, io.Outcome.OK, settled=True)
    name, actions = harness.offer(2)
    assert not actions
    harness.now += SECOND
    actions = harness.handle(io.TimerDue("period"))
    assert [a.call for a in actions if isinstance(a, io.SetUp)] == [name]


def test_second_further_attempt_only_while_the_own_processor_is_light() -> None:
    harness = ControllerHarness(exchanges=13)
    for is_loaded in (False, True):
        if is_loaded:
            load_own_processor(harness)
        harness.set_free(12, 0)
        name, actions = harness.offer(12)
        attempts = 0
        while sent_to(actions):
            (via,) = sent_to(actions)
            actions = harness.end_attempt(name, int(via[1:]), io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK, attempts)
            attempts += 1
        assert attempts == (0 if is_loaded else MAX_FURTHER_ATTEMPTS + 2)


WIDE = io.ServiceClass(aim_us=2 * SECOND, deadline_us=9 * SECOND, worth=4.0, width=3.0, hold_us=10 * SECOND)


def test_reservation_is_the_class_width_in_large_groups_and_one_circuit_in_thin_ones() -> None:
    harness = ControllerHarness(settings(classes=(ORDINARY, WIDE)), exchanges=3)
    harness.set_free(1, 0)
    for size, reserved in ((100.0, 3.0), (20.0, 2.0), (8.0, 1.0)):
        for free, is_sent in ((reserved, False), (reserved + 1, True)):
            harness.controller.queued.clear()
            harness.handle(io.GroupStatus("x2", True, 0, io.Load(free=free, size=size)))
            assert bool(sent_to(harness.offer(2)[1])) is is_sent


def test_queued_wide_call_collects_its_circuits() -> None:
    """In a full group, narrow calls would take every circuit that becomes free."""
    harness = ControllerHarness(settings(classes=(ORDINARY, WIDE)), exchanges=3)
    harness.set_free(1, 0)
    harness.set_free(2, 0)
    name, _ = harness.offer(2, service=1, width=3.0)
    assert not harness.handle(io.GroupStatus("x2", True, 0, io.Load(free=2.0)))
    assert not sent_to(harness.offer(2)[1])
    actions = harness.handle(io.GroupStatus("x2", True, 0, io.Load(free=3.0)))
    assert [a.call for a in actions if isinstance(a, io.SetUp)] == [name]


def test_redial_after_a_cut_call_is_a_first_attempt() -> None:
    """A caller whose call was cut by a crash or lost circuits has the whole aim again."""
    harness = ControllerHarness()
    let_first_attempt_expire(harness, "cut")
    harness.set_free(2, 1)
    assert is_refused(harness.offer(2, number="cut")[1])
    assert sent_to(harness.offer(2, number="cut", cut_before=True)[1]) == ["x2"]


def end_with_report(harness: ControllerHarness, load: io.Load, count: int) -> None:
    """End calls to exchange 2 with a load report."""
    for _ in range(count):
        name, _ = harness.offer(2)
        harness.answer(name, 2, 50_000)
        harness.handle(io.AttemptEnded(name, 0, "x2", io.Outcome.OK, 50_000, True, load=load))


@pytest.mark.parametrize("load", [io.Load(wait_us=9e6), io.Load(hold_back=1.0)])
def test_load_report_is_one_more_delay_sample(load: io.Load) -> None:
    """Reports supplement thin streams: three set-ups and their reports are six samples, after the one before."""
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 1)
    harness.pass_time(SECOND)
    end_with_report(harness, load, 3)
    state = harness.controller.exchanges["x2"]
    assert state.sample_count == 7
    assert state.delay_sum_us > state.min_delay_sum_us + 1_000_000


def test_reported_queue_is_a_wait_at_the_reported_capacity() -> None:
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 1)
    state = harness.controller.exchanges["x2"]
    before = state.delay_sum_us
    state.add_load_report(io.Load(queue=2.0, capacity_per_s=10.0))
    assert state.delay_sum_us - before == pytest.approx(250_000)
    state.add_load_report(io.Load(queue=2.0, capacity_per_s=1.0))
    assert state.delay_sum_us - before == pytest.approx(500_000)


@pytest.mark.parametrize("value", [-1.0, float("nan"), float("inf")])
def test_absurd_report_is_ignored(value: float) -> None:
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 1)
    state = harness.controller.exchanges["x2"]
    before = state.sample_count, state.delay_sum_us
    state.add_load_report(io.Load(wait_us=value, queue=value, capacity_per_s=value, hold_back=value))
    assert (state.sample_count, state.delay_sum_us) == before


def test_frozen_report_does_not_keep_a_grade() -> None:
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 1)
    end_with_report(harness, io.Load(wait_us=1e15), 9)
    for _ in range(6):
        harness.pass_time(SECOND)
    assert grade_of(harness, 2) is Grade.LIGHT


def test_lost_answers_do_not_raise_the_grade_of_a_healthy_processor() -> None:
    """Lost answers look like a hang, but set-ups sent later are answered promptly."""
    harness = ControllerHarness()
    harness.complete_calls(2, 50_000, 5)
    for lost_answers in range(8):
        harness.now += 100_000
        name, _ = harness.offer(2)
        harness.now += 100_000
        harness.complete_calls(2, 50_000, 1)
        harness.pass_time(SECOND)
        if lost_answers < 6:
            harness.end_attempt(name, 2, io.Outcome.TIMEOUT, delay_us=ORDINARY.aim_us)
    state = harness.controller.exchanges["x2"]
    assert len(state.pending) == 2
    assert state.grade is Grade.LIGHT
    assert own_grade_of(harness) is Grade.LIGHT
    assert state.delay_sum_us == state.min_delay_sum_us


def test_refusal_asks_to_wait_into_the_next_period_and_a_late_redial_for_the_maximum() -> None:
    harness = ControllerHarness(settings(callers_wait=True, max_caller_wait_us=2 * SECOND))
    harness.now += 300_000  # of the grading period of one second
    harness.handle(io.RosterChange(io.RosterKind.REPLACE, entries(range(2))))
    _, first = harness.offer(3, number="line")
    harness.now += 2 * SECOND  # past the aim of the caller's first attempt
    _, again = harness.offer(3, number="line")
    waits = [a.wait_us for a in first + again if isinstance(a, io.Refuse)]
    assert 700_000 <= waits[0] < 1_700_000
    assert waits[1] == 2 * SECOND


def test_callers_refused_together_are_asked_to_wait_differently() -> None:
    harness = ControllerHarness(settings(callers_wait=True, max_caller_wait_us=2 * SECOND))
    actions = [a for _ in range(20) for a in harness.offer(9)[1]]
    assert len({a.wait_us for a in actions if isinstance(a, io.Refuse)}) > 10


def test_refusal_without_wait_where_callers_do_not_wait() -> None:
    harness = ControllerHarness(settings(max_caller_wait_us=2 * SECOND))
    _, actions = harness.offer(9)
    assert [a.wait_us for a in actions if isinstance(a, io.Refuse)] == [0]


def lose_connection() -> tuple[Controller, list[io.Action]]:
    """Return a controller whose call lost its connection during the set-up, and the actions of that event."""
    controller = Controller(settings(release_us=300_000, callers_wait=True, max_caller_wait_us=SECOND), 1)
    roster = (io.Entry("x0", 0, 0), io.Entry("x1", 1, 0))
    controller.handle(0, io.RosterChange(io.RosterKind.RESTORED, roster))
    sent = controller.handle(0, io.CallOffered("c", 0, 1, "5", 9 * SECOND))
    assert any(isinstance(action, io.SetUp) for action in sent)
    return controller, controller.handle(10_000, io.AttemptEnded("c", 0, "x1", io.Outcome.CUT, 10_000, False))


def test_set_up_after_a_lost_connection_is_repeated_on_the_same_route_after_the_release() -> None:
    controller, actions = lose_connection()
    assert actions == [io.SetTimer("again c", 310_000)]
    again = controller.handle(310_000, io.TimerDue("again c"))
    assert [action.exchange for action in again if isinstance(action, io.SetUp)] == ["x1"]


def test_call_is_refused_at_once_when_an_exchange_breaks_every_set_up() -> None:
    controller, _ = lose_connection()
    now = 310_000
    for attempt in (1, 2):
        controller.handle(now, io.TimerDue("again c"))
        last = controller.handle(now, io.AttemptEnded("c", attempt, "x1", io.Outcome.CUT, 0, False))
        now += 300_000
    assert [type(action) for action in last] == [io.Refuse]


def test_caller_who_leaves_while_a_release_is_awaited_is_forgotten() -> None:
    controller, _ = lose_connection()
    controller.handle(20_000, io.CallerGone("c"))
    assert not controller.handle(310_000, io.TimerDue("again c"))
    assert not controller.calls
