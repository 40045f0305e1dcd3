"""Each line of the mechanism and each departure, one small scene each."""

import pytest
from helpers import ORDINARY, SECOND, URGENT, Stage, entries, refused, sent_to, settings

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

REST_US = int(TANDEM_BACKOFF_HOLDING_TIMES * ORDINARY.hold_us)


def grade(stage: Stage, number: int) -> Grade:
    return stage.controller.exchanges[f"x{number}"].grade


def own(stage: Stage) -> Grade:
    return stage.controller.own_grade


def press(stage: Stage, number: int, to: Grade) -> None:
    """Bring an exchange to a state by set-up delays alone, while another one answers promptly."""
    other = 1 if number == 2 else 2
    stage.delays(number, 50_000, 5)
    stage.delays(other, 50_000, 5)
    stage.pass_time(SECOND)
    names = [stage.offer(number)[0] for _ in range(12)]
    for name in names[:6]:
        stage.stands(name, number, 10_000_000)
    stage.delays(other, 50_000, 12)
    stage.pass_time(SECOND)
    if to is Grade.HEAVY:
        for name in names[6:]:
            stage.stands(name, number, 10_000_000)
        stage.delays(other, 50_000, 12)
        stage.pass_time(SECOND)
    assert grade(stage, number) is to
    assert own(stage) is Grade.LIGHT


def test_direct_first() -> None:
    stage = Stage()
    assert sent_to(stage.offer(2)[1]) == ["x2"]


def test_unknown_circuits_are_not_zero() -> None:
    stage = Stage()
    assert stage.controller.exchanges["x2"].free is None
    assert sent_to(stage.offer(2)[1]) == ["x2"]


def test_full_direct_group_overflows_to_one_sticky_tandem() -> None:
    stage = Stage(exchanges=8)
    stage.free(2, 0)
    first = sent_to(stage.offer(2)[1])
    assert first and first != ["x2"]
    for _ in range(5):
        assert sent_to(stage.offer(2)[1]) == first


@pytest.mark.parametrize("cause", [io.Cause.CRANKBACK, io.Cause.CRANKBACK_FULL, io.Cause.PROCESSOR_FULL])
def test_tandem_is_redrawn_after_a_block_and_rests(cause: io.Cause) -> None:
    stage = Stage(exchanges=4)
    stage.free(2, 0)
    name, actions = stage.offer(2)
    (blocked,) = sent_to(actions)
    stage.ends(name, int(blocked[1:]), io.Outcome.TURNED_AWAY, cause)
    for _ in range(6):
        assert blocked not in sent_to(stage.offer(2)[1])
    other = {"x1": 3, "x3": 1}[blocked]
    stage.free(other, 0)
    stage.now += REST_US
    assert sent_to(stage.offer(2)[1]) == [blocked]


def test_tandem_blocked_again_and_again_rests_longer_until_a_call_stands_over_it() -> None:
    """Guards large fleets: tandems without a group onward would be learnt anew after each rest."""
    stage = Stage(exchanges=3)
    stage.free(2, 0)
    for blocks in range(MAX_BACKOFF_DOUBLINGS + 1):
        name, actions = stage.offer(2)
        assert sent_to(actions) == ["x1"]
        stage.ends(name, 1, io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
        stage.now += (REST_US << min(blocks, MAX_BACKOFF_DOUBLINGS)) - 1
        assert not sent_to(stage.offer(2)[1])
        stage.now += 1
    name, actions = stage.offer(2)
    stage.stands(name, 1, 50_000)
    name, actions = stage.offer(2)
    stage.ends(name, 1, io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
    stage.now += REST_US
    assert sent_to(stage.offer(2)[1]) == ["x1"]


def test_tandem_that_worked_is_remembered_through_a_block() -> None:
    """Guards pairs without a group: the one tandem planned for them must not be found again by chance."""
    stage = Stage(exchanges=40)
    stage.free(2, 0)
    name, actions = stage.offer(2)
    (first,) = sent_to(actions)
    stage.stands(name, int(first[1:]), 50_000)
    name, actions = stage.offer(2)
    actions = stage.ends(name, int(first[1:]), io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
    (second,) = sent_to(actions)
    stage.ends(name, int(second[1:]), io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK, attempt=1, settled=True)
    stage.now += REST_US
    for n in range(40):
        stage.free(n, 9)
    stage.free(2, 0)
    stage.free(int(second[1:]), 0)
    assert sent_to(stage.offer(2)[1]) == [first]


def test_roomiest_of_the_tandems_drawn_is_taken() -> None:
    stage = Stage(exchanges=6)
    for n in (1, 3, 4, 5):
        stage.free(n, 10 + n)
    stage.free(2, 0)
    assert sent_to(stage.offer(2)[1]) == ["x5"]


def test_call_turned_back_tries_another_tandem() -> None:
    stage = Stage(exchanges=6)
    stage.free(2, 0)
    name, actions = stage.offer(2)
    (first,) = sent_to(actions)
    actions = stage.ends(name, int(first[1:]), io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK)
    (second,) = sent_to(actions)
    assert second not in (first, "x2")


@pytest.mark.parametrize(("free", "goes"), [
    (TRUNK_RESERVATION + 1, True), (TRUNK_RESERVATION, False), (1, False), (0, False)])
def test_transit_is_turned_back_at_the_reserve(free: float, goes: bool) -> None:
    stage = Stage()
    stage.free(2, free)
    actions = stage.offer(2, transit=True, via=1)[1]
    assert (sent_to(actions) == ["x2"]) is goes
    assert refused(actions) is not goes


def test_direct_call_takes_the_last_circuit() -> None:
    stage = Stage()
    stage.free(2, 1)
    assert sent_to(stage.offer(2)[1]) == ["x2"]


def test_transit_goes_nowhere_but_to_its_destination() -> None:
    stage = Stage(exchanges=8)
    stage.free(2, 0)
    assert not sent_to(stage.offer(2, transit=True)[1])


def test_fresh_is_refused_from_fair_transit_only_when_heavy() -> None:
    stage = Stage()
    press(stage, 2, Grade.FAIR)
    assert not sent_to(stage.offer(2)[1])
    assert sent_to(stage.offer(2, transit=True)[1]) == ["x2"]
    stage = Stage()
    press(stage, 2, Grade.HEAVY)
    assert not sent_to(stage.offer(2)[1])
    assert refused(stage.offer(2, transit=True)[1])


def test_pressed_tandem_is_passed_over() -> None:
    stage = Stage(exchanges=4)
    press(stage, 1, Grade.FAIR)
    stage.free(2, 0)
    assert sent_to(stage.offer(2)[1]) == ["x3"]


def test_class_worth_clearly_more_is_refused_from_heavy() -> None:
    stage = Stage(settings(classes=(ORDINARY, URGENT)))
    press(stage, 2, Grade.FAIR)
    assert not sent_to(stage.offer(2)[1])
    assert sent_to(stage.offer(2, service=1)[1]) == ["x2"]


def test_one_circuit_is_kept_for_a_class_worth_clearly_more() -> None:
    stage = Stage(settings(classes=(ORDINARY, URGENT)), exchanges=3)
    stage.free(2, 1)
    stage.free(1, TRUNK_RESERVATION + 1)
    assert not sent_to(stage.offer(2)[1])  # keeps it direct, and on top of the reserve towards a tandem
    assert sent_to(stage.offer(2, service=1)[1]) == ["x2"]


def test_four_samples_do_not_raise_a_state_and_are_kept_for_the_next_period() -> None:
    stage = Stage()
    stage.delays(2, 50_000, 5)
    stage.pass_time(SECOND)
    stage.delays(2, 5_000_000, 4)
    stage.pass_time(SECOND)
    assert grade(stage, 2) is Grade.LIGHT
    stage.delays(2, 5_000_000, 1)
    stage.pass_time(SECOND)
    assert grade(stage, 2) is Grade.FAIR


def test_samples_of_a_thin_stream_are_forgotten_in_the_end() -> None:
    stage = Stage()
    stage.delays(2, 50_000, 5)
    stage.pass_time(SECOND)
    stage.delays(2, 5_000_000, 4)
    for _ in range(MAX_SAMPLING_PERIODS):
        stage.pass_time(SECOND)
    stage.delays(2, 5_000_000, 1)
    stage.pass_time(SECOND)
    assert grade(stage, 2) is Grade.LIGHT


def test_silent_processor_steps_down_once_a_period() -> None:
    stage = Stage()
    press(stage, 2, Grade.HEAVY)
    for name in list(stage.controller.calls):
        stage.ends(name, 2, io.Outcome.OK, settled=True)
    stage.pass_time(SECOND)
    assert grade(stage, 2) is Grade.FAIR
    stage.pass_time(SECOND)
    assert grade(stage, 2) is Grade.LIGHT


def test_processor_that_fell_silent_gets_one_set_up_at_a_time_until_proven_light() -> None:
    """Guards the return after a hang or a slow spell: all at once, nothing would be answered in time."""
    stage = Stage(exchanges=3)
    press(stage, 2, Grade.HEAVY)
    for name in list(stage.controller.calls):
        stage.ends(name, 2, io.Outcome.OK, settled=True)
    stage.pass_time(SECOND)
    stage.pass_time(SECOND)
    assert grade(stage, 2) is Grade.LIGHT
    name, actions = stage.offer(2)
    assert sent_to(actions) == ["x2"]
    held, actions = stage.offer(2)
    assert not actions  # nor over a tandem: it ends at the same processor
    assert refused(stage.offer(2, transit=True)[1])
    stage.free(1, 0)
    assert not sent_to(stage.offer(1)[1])  # and it is no tandem either
    stage.tell(io.CallerGone(held))
    stage.stands(name, 2, 50_000)
    stage.pass_time(SECOND)
    assert [sent_to(stage.offer(2)[1]) for _ in range(3)] == [["x2"]] * 3


def test_age_of_unanswered_setups_raises_the_state() -> None:
    """A hung processor yields no delays; without the ages it would stay LIGHT for ever."""
    stage = Stage()
    stage.delays(2, 50_000, 5)
    stage.pass_time(SECOND)
    for _ in range(6):
        stage.offer(2)
    stage.pass_time(SECOND)
    assert grade(stage, 2) is Grade.FAIR


def test_young_unanswered_setups_do_not_count() -> None:
    stage = Stage()
    stage.delays(2, 50_000, 5)
    stage.pass_time(SECOND - 1000)
    for _ in range(6):
        stage.offer(2)
    stage.pass_time(2000)
    assert grade(stage, 2) is Grade.LIGHT


def test_processor_full_counts_as_a_delay_above_w2() -> None:
    stage = Stage()
    stage.delays(2, 50_000, 5)
    stage.pass_time(SECOND)
    for _ in range(5):
        name, _ = stage.offer(2)
        assert refused(stage.ends(name, 2, io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL))
    stage.pass_time(SECOND)
    assert grade(stage, 2) is Grade.FAIR


def test_turn_back_for_a_full_processor_counts_for_the_destination() -> None:
    stage = Stage(exchanges=4)
    stage.delays(2, 50_000, 5)
    stage.pass_time(SECOND)
    stage.free(2, 0)
    for _ in range(5):
        stage.now += REST_US
        name, actions = stage.offer(2)
        (tandem,) = sent_to(actions)
        stage.ends(name, int(tandem[1:]), io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK_FULL)
    assert stage.controller.exchanges["x2"].sample_count >= 1
    assert stage.controller.exchanges["x1"].sample_count == stage.controller.exchanges["x3"].sample_count == 0


def test_two_leg_setups_feed_the_tandem_with_a_floor_of_their_own() -> None:
    stage = Stage(exchanges=3)
    stage.delays(1, 50_000, 5)
    stage.free(2, 0)
    for _ in range(5):
        name, actions = stage.offer(2)
        assert sent_to(actions) == ["x1"]
        stage.stands(name, 1, 200_000)  # long for one leg, ordinary for two
    stage.pass_time(SECOND)
    assert stage.controller.exchanges["x1"].min_delays_us == {1: 50_000.0, 2: 200_000.0}
    assert grade(stage, 1) is Grade.LIGHT


def test_short_try_given_up_counts_as_a_full_processor() -> None:
    """Guards against a redial storm: cut off at 0.6 s, tries would hide how slow the far end is."""
    stage = Stage()
    stage.delays(2, 50_000, 5)
    stage.pass_time(SECOND)
    for _ in range(5):
        name, _ = stage.offer(2, deadline_us=stage.now + 600_000)
        stage.ends(name, 2, io.Outcome.TIMEOUT, delay_us=600_000)
    far = stage.controller.exchanges["x2"]
    assert far.sample_count == 5
    assert 1 - far.min_delay_sum_us / far.delay_sum_us == pytest.approx(1.1 * 0.9)
    stage.pass_time(SECOND)
    assert grade(stage, 2) is Grade.FAIR


def test_setup_is_given_up_at_the_aim() -> None:
    stage = Stage()
    (sent,) = stage.offer(2)[1]
    assert isinstance(sent, io.SetUp) and sent.timeout_us == ORDINARY.aim_us
    (sent,) = stage.offer(2, deadline_us=stage.now + SECOND)[1]
    assert isinstance(sent, io.SetUp) and sent.timeout_us == SECOND


def test_number_with_all_lines_busy_is_left_alone_for_a_while() -> None:
    stage = Stage()
    name, _ = stage.offer(2, number="hot")
    assert refused(stage.ends(name, 2, io.Outcome.NUMBER_FAULT, io.Cause.LINES_BUSY))
    assert refused(stage.offer(2, number="hot")[1])
    assert sent_to(stage.offer(2, number="other")[1]) == ["x2"]
    stage.now += BUSY_NUMBER_BACKOFF_US
    assert sent_to(stage.offer(2, number="hot")[1]) == ["x2"]


def test_cold_processor_gets_spread_set_ups() -> None:
    stage = Stage(exchanges=3)
    stage.tell(io.RosterChange(io.RosterKind.UPDATE, entries([2], started_us=stage.now)))
    assert sent_to(stage.offer(2)[1]) == ["x2"]
    assert not sent_to(stage.offer(2)[1])
    stage.now += stage.settings.fall_us
    assert sent_to(stage.offer(2)[1]) == ["x2"]
    assert not sent_to(stage.offer(2)[1])
    stage.now += stage.settings.cold_us
    assert sent_to(stage.offer(2)[1]) == sent_to(stage.offer(2)[1]) == ["x2"]


@pytest.mark.parametrize("readiness", [io.Readiness.DRAINING, io.Readiness.GONE])
def test_draining_or_gone_exchange_gets_nothing_new(readiness: io.Readiness) -> None:
    stage = Stage(exchanges=4)
    stage.tell(io.RosterChange(io.RosterKind.UPDATE, entries([2], readiness=readiness)))
    assert refused(stage.offer(2)[1])
    stage.free(3, 0)
    stage.free(1, 9)
    assert sent_to(stage.offer(3)[1]) == ["x1"]


def test_exchange_absent_from_a_complete_list_is_gone() -> None:
    stage = Stage(exchanges=4)
    stage.tell(io.RosterChange(io.RosterKind.REPLACE, entries([0, 1])))
    assert refused(stage.offer(3)[1])


def test_of_two_processors_of_one_exchange_the_newer_is_used() -> None:
    stage = Stage(exchanges=3)
    new = io.Entry("y2", 2, 0, started_us=5)
    stage.tell(io.RosterChange(io.RosterKind.UPDATE, (new,)))
    assert sent_to(stage.offer(2)[1]) == ["y2"]


def test_pools_use_only_those_with_the_skill() -> None:
    service = io.ServiceClass(SECOND, 3 * SECOND, 1.0, pools=(1, 3))
    stage = Stage(settings(topology=io.Topology.POOLS, home=-1, classes=(service,)), exchanges=6)
    stage.free(1, 0)
    for _ in range(6):
        assert sent_to(stage.offer(1)[1]) == ["x3"]


def test_roster_that_must_be_asked_for_is_asked_and_asked_again() -> None:
    stage = Stage(settings(roster_on_request=True, ask_every_us=10 * SECOND))
    assert stage.controller.roster_requested_us == stage.now
    stage.tell(io.RosterChange(io.RosterKind.UNAVAILABLE))
    stage.now += SECOND
    assert stage.tell(io.TimerDue("period")) == [io.WatchRoster()]


@pytest.mark.parametrize(
    "changes",
    [{"controllers": 0}, {"classes": ()}, {"max_attempts": 0}, {"release_us": -1}, {"topology": "ring"},
     {"fall_multiple": -1.0}, {"tenants": (io.Tenant(0.5, -1.0),)}],
)
def test_impossible_settings_name_the_setting(changes: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(changes))):
        settings(**changes)


def late_redial(stage: Stage, number: str) -> None:
    """Let a caller's first try fall at a full group and its aim pass."""
    stage.free(2, 0)
    for other in (1, 3):
        stage.free(other, 0)
    name, _ = stage.offer(2, number=number)
    stage.tell(io.CallerGone(name))
    stage.now += ORDINARY.aim_us + 1


def test_redial_past_its_aim_leaves_a_circuit_for_calls_in_time() -> None:
    """Guards overload: late calls earn a part, and each circuit they take is lost to a call in time."""
    stage = Stage(settings(classes=(io.ServiceClass(1_500_000, 9 * SECOND, 1.0, late_worth=0.25),)))
    late_redial(stage, "late")
    stage.free(2, TRUNK_RESERVATION + 1)
    assert refused(stage.offer(2, number="late")[1])
    assert sent_to(stage.offer(2, number="first try")[1]) == ["x2"]
    stage.free(2, TRUNK_RESERVATION + 2)
    assert sent_to(stage.offer(2, number="late")[1]) == ["x2"]


def test_redial_within_its_aim_is_like_a_first_try() -> None:
    stage = Stage(settings(classes=(io.ServiceClass(1_500_000, 9 * SECOND, 1.0, late_worth=0.25),)))
    late_redial(stage, "late")
    stage.now -= 2
    stage.free(2, 1)
    assert sent_to(stage.offer(2, number="late")[1]) == ["x2"]


def test_caller_is_forgotten_after_the_give_up_time() -> None:
    stage = Stage(settings(classes=(io.ServiceClass(1_500_000, 9 * SECOND, 1.0, late_worth=0.25),)))
    late_redial(stage, "late")
    stage.now += 9 * SECOND
    stage.free(2, 1)
    assert sent_to(stage.offer(2, number="late")[1]) == ["x2"]
    stage.pass_time(10 * SECOND)
    assert not stage.controller.first_offer_us


def test_redial_past_its_aim_takes_no_tandem() -> None:
    """Guards a jam: over a tandem a call worth a part holds twice the circuits and three processors."""
    stage = Stage()
    late_redial(stage, "late")
    stage.free(1, 9)
    assert refused(stage.offer(2, number="late")[1])
    assert sent_to(stage.offer(2, number="first try")[1]) == ["x1"]


def press_own(stage: Stage) -> None:
    """Have one thin stream to each of many exchanges slow down together."""
    for delay_us in (50_000, 2_000_000):
        for number in range(1, 13):
            stage.delays(number, delay_us, 1)
        stage.pass_time(SECOND)
    assert all(far.grade is Grade.LIGHT for far in stage.controller.exchanges.values())


def test_own_processor_is_graded_by_all_streams_together() -> None:
    """Guards large fleets: no stream to one exchange is thick enough to show the jam here."""
    stage = Stage(exchanges=13)
    press_own(stage)
    assert own(stage) is Grade.FAIR
    stage.free(2, 0)
    assert not sent_to(stage.offer(2)[1])  # no tandem
    stage.delays(3, 50_000, 1)
    stage.pass_time(SECOND)
    assert own(stage) is Grade.LIGHT
    assert sent_to(stage.offer(2)[1])


def test_redial_past_its_aim_is_refused_while_the_own_processor_is_pressed() -> None:
    stage = Stage(exchanges=13)
    name, _ = stage.offer(3, number="late")
    stage.ends(name, 3, io.Outcome.NUMBER_FAULT)
    stage.now += ORDINARY.aim_us + 1
    press_own(stage)
    assert refused(stage.offer(3, number="late")[1])
    assert sent_to(stage.offer(3, number="first try")[1]) == ["x3"]


def test_some_slow_exchanges_do_not_make_the_own_processor_slow() -> None:
    stage = Stage(exchanges=13)
    for slow_us in (50_000, 5_000_000):
        for number in range(1, 13):
            stage.delays(number, slow_us if number < 7 else 50_000, 1)
        stage.pass_time(SECOND)
    assert own(stage) is Grade.LIGHT


def test_first_delay_on_a_route_is_its_own_floor_and_says_nothing() -> None:
    stage = Stage(exchanges=13)
    for number in range(1, 13):
        stage.delays(number, 5_000_000, 1)
    assert stage.controller.delay_ratios == []


def test_call_without_a_circuit_is_held_and_gets_the_first_that_frees() -> None:
    """Guards full groups: a refusal would only bring the caller back, and each try is work."""
    stage = Stage(exchanges=3)
    stage.free(2, 0)
    stage.free(1, 0)
    name, actions = stage.offer(2)
    assert not actions
    freed = io.GroupStatus("x2", True, 0, io.Load(free=1.0))
    assert [a.call for a in stage.tell(freed) if isinstance(a, io.SetUp)] == [name]
    assert not stage.tell(freed)


def test_held_call_is_refused_when_it_could_not_stand_in_time_any_more() -> None:
    stage = Stage(exchanges=3)
    stage.delays(2, 50_000, 1)
    stage.free(2, 0)
    stage.free(1, 0)
    name, _ = stage.offer(2)
    stage.now += ORDINARY.aim_us - 100_000
    assert refused(stage.tell(io.TimerDue(f"held {name}")))
    assert not stage.tell(io.GroupStatus("x2", True, 0, io.Load(free=5.0)))
    assert not stage.tell(io.TimerDue(f"held {name}"))
    stage.pass_time(SECOND)
    assert not stage.controller.queued


def test_timer_of_a_call_that_was_sent_does_nothing() -> None:
    stage = Stage(exchanges=3)
    stage.free(2, 0)
    stage.free(1, 0)
    name, _ = stage.offer(2)
    stage.free(2, 1)
    stage.now += ORDINARY.aim_us - 100_000
    assert not stage.tell(io.TimerDue(f"held {name}"))


def test_of_calls_held_the_most_worth_goes_first() -> None:
    stage = Stage(settings(classes=(ORDINARY, URGENT)), exchanges=3)
    stage.free(2, 0)
    stage.free(1, 0)
    stage.offer(2)
    name, _ = stage.offer(2, service=1)
    actions = stage.tell(io.GroupStatus("x2", True, 0, io.Load(free=1.0)))
    assert [a.call for a in actions if isinstance(a, io.SetUp)] == [name]


def test_call_without_a_group_waits_for_the_tandem_remembered() -> None:
    stage = Stage(exchanges=4)
    stage.tell(io.GroupStatus("x2", True, 0, io.Load(free=0.0, size=0.0)))
    stage.free(3, 0)
    name, actions = stage.offer(2)
    assert sent_to(actions) == ["x1"]
    stage.stands(name, 1, 50_000)
    stage.free(1, 0)
    name, actions = stage.offer(2)
    assert not actions
    actions = stage.tell(io.GroupStatus("x1", True, 0, io.Load(free=9.0)))
    assert [(a.call, a.exchange) for a in actions if isinstance(a, io.SetUp)] == [(name, "x1")]


def test_transit_is_never_held() -> None:
    stage = Stage()
    stage.free(2, 0)
    assert refused(stage.offer(2, transit=True, via=1)[1])


def test_redial_within_its_aim_is_given_up_at_the_first_trys_aim() -> None:
    stage = Stage()
    name, _ = stage.offer(2, number="again")
    stage.ends(name, 2, io.Outcome.NUMBER_FAULT)
    stage.now += SECOND
    (sent,) = stage.offer(2, number="again")[1]
    assert isinstance(sent, io.SetUp) and sent.timeout_us == ORDINARY.aim_us - SECOND


def test_call_to_a_pressed_exchange_is_held_until_its_state_falls() -> None:
    """Guards against callers who redial at once: each refusal would bring the next try, which is work."""
    stage = Stage()
    press(stage, 2, Grade.FAIR)
    for name in list(stage.controller.calls):
        stage.ends(name, 2, io.Outcome.OK, settled=True)
    name, actions = stage.offer(2)
    assert not actions
    stage.now += SECOND
    actions = stage.tell(io.TimerDue("period"))
    assert [a.call for a in actions if isinstance(a, io.SetUp)] == [name]


def test_second_further_attempt_only_while_the_own_processor_is_light() -> None:
    stage = Stage(exchanges=13)
    for pressed in (False, True):
        if pressed:
            press_own(stage)
        stage.free(12, 0)
        name, actions = stage.offer(12)
        tried = 0
        while sent_to(actions):
            (via,) = sent_to(actions)
            actions = stage.ends(name, int(via[1:]), io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK, tried)
            tried += 1
        assert tried == (0 if pressed else MAX_FURTHER_ATTEMPTS + 2)


WIDE = io.ServiceClass(aim_us=2 * SECOND, deadline_us=9 * SECOND, worth=4.0, width=3.0, hold_us=10 * SECOND)


def test_width_of_a_class_worth_more_is_kept_in_large_groups_and_one_circuit_in_thin_ones() -> None:
    stage = Stage(settings(classes=(ORDINARY, WIDE)), exchanges=3)
    stage.free(1, 0)
    for size, kept in ((100.0, 3.0), (20.0, 2.0), (8.0, 1.0)):
        for free, goes in ((kept, False), (kept + 1, True)):
            stage.controller.queued.clear()
            stage.tell(io.GroupStatus("x2", True, 0, io.Load(free=free, size=size)))
            assert bool(sent_to(stage.offer(2)[1])) is goes


def test_wide_call_held_gathers_its_circuits() -> None:
    """Guards wide calls in full groups: narrow ones would take each circuit that frees."""
    stage = Stage(settings(classes=(ORDINARY, WIDE)), exchanges=3)
    stage.free(1, 0)
    stage.free(2, 0)
    name, _ = stage.offer(2, service=1, width=3.0)
    assert not stage.tell(io.GroupStatus("x2", True, 0, io.Load(free=2.0)))
    assert not sent_to(stage.offer(2)[1])
    actions = stage.tell(io.GroupStatus("x2", True, 0, io.Load(free=3.0)))
    assert [a.call for a in actions if isinstance(a, io.SetUp)] == [name]


def test_call_cut_and_back_again_is_a_first_try() -> None:
    """Guards calls cut by a crash or lost circuits: they have their whole aim again."""
    stage = Stage()
    late_redial(stage, "cut")
    stage.free(2, 1)
    assert refused(stage.offer(2, number="cut")[1])
    assert sent_to(stage.offer(2, number="cut", cut_before=True)[1]) == ["x2"]


def reported(stage: Stage, load: io.Load, count: int) -> None:
    """Have calls to exchange 2 end with a load report."""
    for _ in range(count):
        name, _ = stage.offer(2)
        stage.stands(name, 2, 50_000)
        stage.tell(io.AttemptEnded(name, 0, "x2", io.Outcome.OK, 50_000, True, load=load))


@pytest.mark.parametrize("load", [io.Load(wait_us=9e6), io.Load(hold_back=1.0)])
def test_load_report_is_one_more_delay_sample(load: io.Load) -> None:
    """Guards thin streams: three set-ups and their reports are six samples."""
    stage = Stage()
    stage.delays(2, 50_000, 1)
    stage.pass_time(SECOND)
    reported(stage, load, 3)
    far = stage.controller.exchanges["x2"]
    assert far.sample_count == 7
    assert far.delay_sum_us > far.min_delay_sum_us + 1_000_000


def test_queue_is_a_wait_at_the_rate_that_was_reported() -> None:
    stage = Stage()
    stage.delays(2, 50_000, 1)
    far = stage.controller.exchanges["x2"]
    before = far.delay_sum_us
    far.add_load_report(io.Load(queue=2.0, capacity_per_s=10.0))
    assert far.delay_sum_us - before == pytest.approx(250_000)
    far.add_load_report(io.Load(queue=2.0, capacity_per_s=1.0))
    assert far.delay_sum_us - before == pytest.approx(500_000)


@pytest.mark.parametrize("value", [-1.0, float("nan"), float("inf")])
def test_absurd_report_counts_for_nothing(value: float) -> None:
    stage = Stage()
    stage.delays(2, 50_000, 1)
    far = stage.controller.exchanges["x2"]
    before = far.sample_count, far.delay_sum_us
    far.add_load_report(io.Load(wait_us=value, queue=value, capacity_per_s=value, hold_back=value))
    assert (far.sample_count, far.delay_sum_us) == before


def test_frozen_report_holds_no_grade_for_ever() -> None:
    stage = Stage()
    stage.delays(2, 50_000, 1)
    reported(stage, io.Load(wait_us=1e15), 9)
    for _ in range(6):
        stage.pass_time(SECOND)
    assert grade(stage, 2) is Grade.LIGHT


def test_lost_answers_do_not_grade_a_sound_processor() -> None:
    """Guards against lost answers: they look like a hang, but later set-ups are answered promptly."""
    stage = Stage()
    stage.delays(2, 50_000, 5)
    for lost in range(8):
        stage.now += 100_000
        name, _ = stage.offer(2)
        stage.now += 100_000
        stage.delays(2, 50_000, 1)
        stage.pass_time(SECOND)
        if lost < 6:
            stage.ends(name, 2, io.Outcome.TIMEOUT, delay_us=ORDINARY.aim_us)
    far = stage.controller.exchanges["x2"]
    assert len(far.pending) == 2
    assert far.grade is Grade.LIGHT
    assert own(stage) is Grade.LIGHT
    assert far.delay_sum_us == far.min_delay_sum_us


def test_a_refusal_names_an_instant_of_the_next_period_and_to_a_late_redial_all_that_callers_honour() -> None:
    stage = Stage(settings(callers_wait=True, max_caller_wait_us=2 * SECOND))
    stage.now += 300_000  # of the period of one second
    stage.tell(io.RosterChange(io.RosterKind.REPLACE, entries(range(2))))
    _, first = stage.offer(3, number="line")
    stage.now += 2 * SECOND  # past the aim of the caller's first try
    _, again = stage.offer(3, number="line")
    waits = [a.wait_us for a in first + again if isinstance(a, io.Refuse)]
    assert 700_000 <= waits[0] < 1_700_000
    assert waits[1] == 2 * SECOND


def test_callers_refused_at_once_are_not_told_one_instant() -> None:
    stage = Stage(settings(callers_wait=True, max_caller_wait_us=2 * SECOND))
    actions = [a for _ in range(20) for a in stage.offer(9)[1]]
    assert len({a.wait_us for a in actions if isinstance(a, io.Refuse)}) > 10


def test_no_cooldown_where_callers_are_not_told() -> None:
    stage = Stage(settings(max_caller_wait_us=2 * SECOND))
    _, actions = stage.offer(9)
    assert [a.wait_us for a in actions if isinstance(a, io.Refuse)] == [0]


def broken_call() -> tuple[Controller, list[io.Action]]:
    """A call whose set-up broke on its way, and what that led to."""
    controller = Controller(settings(release_us=300_000, callers_wait=True, max_caller_wait_us=SECOND), 1)
    roster = (io.Entry("x0", 0, 0), io.Entry("x1", 1, 0))
    controller.handle(0, io.RosterChange(io.RosterKind.RESTORED, roster))
    sent = controller.handle(0, io.CallOffered("c", 0, 1, "5", 9 * SECOND))
    assert any(isinstance(action, io.SetUp) for action in sent)
    return controller, controller.handle(10_000, io.AttemptEnded("c", 0, "x1", io.Outcome.CUT, 10_000, False))


def test_a_set_up_that_broke_is_sent_again_on_the_same_route_after_the_release() -> None:
    controller, actions = broken_call()
    assert actions == [io.SetTimer("again c", 310_000)]
    again = controller.handle(310_000, io.TimerDue("again c"))
    assert [action.exchange for action in again if isinstance(action, io.SetUp)] == ["x1"]


def test_a_far_end_that_breaks_every_set_up_is_left_alone_and_the_call_answered_at_once() -> None:
    controller, _ = broken_call()
    now = 310_000
    for attempt in (1, 2):
        controller.handle(now, io.TimerDue("again c"))
        last = controller.handle(now, io.AttemptEnded("c", attempt, "x1", io.Outcome.CUT, 0, False))
        now += 300_000
    assert [type(action) for action in last] == [io.Refuse]


def test_a_caller_who_leaves_while_a_broken_set_up_is_awaited_is_forgotten() -> None:
    controller, _ = broken_call()
    controller.handle(20_000, io.CallerGone("c"))
    assert not controller.handle(310_000, io.TimerDue("again c"))
    assert not controller.calls
