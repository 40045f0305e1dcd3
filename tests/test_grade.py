"""The load grade: thresholds and transitions at their boundaries, by exact values."""

import pytest

from ospreylug import interface as io
from ospreylug.logic import HYSTERESIS, ExchangeState, Grade, load_thresholds, next_grade


def test_thresholds() -> None:
    assert load_thresholds(20_000) == (0.8, 0.9)  # W1 is five and W2 ten minimum delays
    assert load_thresholds(50_000) == (0.8, 0.9)  # 10 x 50 ms is half a second, the limit of W2
    fair, heavy = load_thresholds(100_000)  # W2 is limited to half a second
    assert heavy == pytest.approx(0.8)
    assert fair == pytest.approx(1 - 100 / 300)


@pytest.mark.parametrize("min_delay_us", [0, 1, 10_000, 62_500, 100_000, 249_000, 250_000, 900_000, 10**9])
def test_thresholds_stay_ordered_and_below_one(min_delay_us: float) -> None:
    fair, heavy = load_thresholds(min_delay_us)
    assert 0 < fair < heavy
    assert (1 + HYSTERESIS) * heavy < 1


@pytest.mark.parametrize(
    ("before", "load", "after"),
    [
        (Grade.LIGHT, 0.8799, Grade.LIGHT),  # 1.1 x 0.8
        (Grade.LIGHT, 0.8801, Grade.FAIR),
        (Grade.LIGHT, 0.9999, Grade.FAIR),  # one step at a time
        (Grade.FAIR, 0.9899, Grade.FAIR),  # 1.1 x 0.9
        (Grade.FAIR, 0.9901, Grade.HEAVY),
        (Grade.FAIR, 0.7201, Grade.FAIR),  # 0.9 x 0.8
        (Grade.FAIR, 0.7199, Grade.LIGHT),
        (Grade.HEAVY, 0.8101, Grade.HEAVY),  # 0.9 x 0.9
        (Grade.HEAVY, 0.8099, Grade.FAIR),
        (Grade.HEAVY, 0.1, Grade.FAIR),
    ],
)
def test_transitions(before: Grade, load: float, after: Grade) -> None:
    assert next_grade(before, load, 20_000, True) is after


def test_without_five_samples_a_grade_may_fall_but_not_rise() -> None:
    assert next_grade(Grade.LIGHT, 0.99, 20_000, False) is Grade.LIGHT
    assert next_grade(Grade.HEAVY, 0.1, 20_000, False) is Grade.FAIR


def test_set_up_rate_is_known_after_the_first_period() -> None:
    state = ExchangeState(io.Entry("x1", 1, 0))
    rates = []
    for sent_count in (10, 20, 15):
        state.sent_count = sent_count
        state.update_grade(0)
        rates.append(state.set_up_rate)
    assert rates == [10, 15, 15]
