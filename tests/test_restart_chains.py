"""Routers in a row, as processes: calls stand through them while some are restarted, and then end."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest
from test_program import new_call_id, run

from laboratory.restart_chains import LOST_RELEASE_S, RESTART_S, ReleasingNode, Scenario, run_scenario, running_chain
from laboratory.stand_ins import ApiNode, SipCaller, running_router, wait_until

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


@pytest.mark.parametrize("stopped_by", ["SIGKILL", "SIGTERM"])
def test_calls_stand_on_while_a_router_that_is_their_destination_restarts(stopped_by: str) -> None:
    # Guards against docs/incidents/13: after two refused dials the calls were cut, which stood on at the exchange.
    scenario = Scenario("far", restarted=("far",), stop_signal=signal.Signals[stopped_by], hold_s=HOLD_S)
    result = asyncio.run(run_scenario(scenario))
    assert (result.stood, result.released_in_time) == (scenario.calls, scenario.calls)
    assert (result.released_early, result.released_twice, result.strangers_told) == (0, 0, 0)


def test_calls_at_an_exchange_that_dies_after_their_destination_has_restarted_are_released() -> None:
    # Guards against docs/incidents/15: the destination did not know at which exchange the resumed calls stood.
    scenario = Scenario("far, exchange dies", restarted=("far",), exchange_dies=True, hold_s=HOLD_S)
    result = asyncio.run(run_scenario(scenario))
    assert (result.stood, result.released_in_time) == (scenario.calls, scenario.calls)
    assert (result.released_early, result.released_twice, result.strangers_told) == (0, 0, 0)


def test_releases_by_callers_while_their_destination_restarts_reach_the_exchange() -> None:
    # Guards against docs/incidents/13: after two refused dials they were forgotten.
    scenario = Scenario("far", restarted=("far",), caller_hangs_up=True, calls_end_while_down=True, hold_s=HOLD_S)
    result = asyncio.run(run_scenario(scenario))
    assert (result.stood, result.reached_the_exchange) == (scenario.calls, scenario.calls)


def test_a_router_that_is_terminated_delivers_the_releases_that_wait_for_its_destination() -> None:
    # Guards against docs/incidents/13: with its last call the router exited, and the release was lost with it.
    async def work() -> None:
        async with running_chain(Scenario("far and then near", calls=3, restarted=("far",))) as chain:
            await chain.start()
            await chain.connect_caller()
            calls = await chain.place_standing_calls()
            await chain.stop_routers()
            for call in calls:
                chain.sip_callers[0].send_request("BYE", call)
            await asyncio.sleep(0.2)
            chain.processes["near"].process.send_signal(signal.SIGTERM)
            await asyncio.sleep(RESTART_S)
            await chain.start_router("far")
            await wait_until(lambda: not chain.exchange.established_calls)
            assert {call for call, _ in chain.exchange.received_releases} == set(calls)
            assert await chain.processes["near"].process.wait() == 0
    run(work)


def test_calls_at_a_destination_that_does_not_come_back_are_released_in_time() -> None:
    async def work() -> None:
        destination, call = await ApiNode().start(), new_call_id()
        async with running_router({}, {1: destination}) as router:
            sip = await SipCaller.connect(router.sip_port)
            sip.invite(call, "long-1", 1)
            await wait_until(lambda: call in sip.final_responses)
            ended_s = time.monotonic()
            destination.stop()
            while call not in sip.received_byes and time.monotonic() < ended_s + LOST_RELEASE_S:
                if sip.reader.at_eof():  # the router closes idle connections
                    sip = await SipCaller.connect(router.sip_port)
                sip.send_request("OPTIONS", "ping")
                await asyncio.sleep(0.1)
            assert call in sip.received_byes
    run(work)


class SlowNode(ReleasingNode):
    """An exchange that takes half a second to answer."""

    async def respond(self, call: str, number: str, description: bytes, writer: asyncio.StreamWriter) -> None:
        """Respond late."""
        await asyncio.sleep(0.5)
        await super().respond(call, number, description, writer)


def test_a_call_whose_answer_was_lost_with_its_destination_does_not_stand_on_at_the_exchange() -> None:
    # Guards against docs/incidents/14: the restarted destination did not know the set-up that was cancelled.
    async def work() -> None:
        async with running_chain(Scenario("answer lost", restarted=("far",))) as chain:
            chain.exchange = exchange = SlowNode()
            await chain.start()
            await chain.connect_caller()
            call = chain.place_call()
            await wait_until(lambda: exchange.request_counts[call])
            chain.processes["far"].process.send_signal(signal.SIGSTOP)
            await wait_until(lambda: call in exchange.established_calls)
            await chain.restart([])
            await wait_until(lambda: call in chain.sip_callers[0].final_responses)
            assert chain.sip_callers[0].final_responses[call][0].status >= 400
            await wait_until(lambda: call not in exchange.established_calls)
    run(work)
