"""Routers in a row, as processes: calls stand through them while some are restarted, and then end."""

from __future__ import annotations

import asyncio

import pytest

from laboratory.restart_chains import Scenario, run_scenario

HOLD_S = 0.5  # between a restart and the ends of the calls


@pytest.mark.parametrize("scenario", [
    # The first one is review/10. Its connection to far is new, and far did not know that it is the same client.
    Scenario("near", hold_s=HOLD_S),
    # No caller is connected to near's second process: what far sent to it must not count as received.
    Scenario("near twice", restarts=2, calls_end_while_down=True, hold_s=HOLD_S),
    Scenario("near and far", restarted=("near", "far"), hold_s=HOLD_S, crowd_per_s=30),
    Scenario("near and middle", has_middle=True, restarted=("near", "middle"), hold_s=HOLD_S),
    Scenario("one near of two", other_nears=1, hold_s=HOLD_S),
    Scenario("client resumes", caller_is_api_client=True, hold_s=HOLD_S)], ids=lambda scenario: scenario.name)
def test_calls_that_end_after_a_restart_are_released_towards_their_callers_only(scenario: Scenario) -> None:
    # Guards against docs/incidents/12: a destination sent releases only on a connection that had asked for the call.
    result = asyncio.run(run_scenario(scenario))
    assert (result.stood, result.released_in_time) == (scenario.calls, scenario.calls)
    assert (result.released_early, result.released_twice, result.strangers_told) == (0, 0, 0)
    assert result.unanswered == 0
