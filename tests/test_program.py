"""The program as the platform starts it, between simulated callers and nodes, over sockets."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from typing import Any

from laboratory.stand_ins import ApiCaller, ApiNode, BinaryNode, Node, SipCaller, running_router, wait_until

CALL_NUMBERS = itertools.count(1)
BEHAVIOURS = ("good", "full", "fault", "busy", "reset", "cut", "silent")


def new_call_id() -> str:
    """An id that no earlier call has used."""
    return f"{next(CALL_NUMBERS):016x}"


def run(run_test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run the body of a test."""
    asyncio.run(run_test())


def test_mixed_callers_get_one_final_answer_each_and_attempts_never_overlap() -> None:
    async def run_test() -> None:
        nodes: dict[int, Node] = {n: await BinaryNode().start() for n in (1, 2)}
        api_nodes: dict[int, Node] = {3: await ApiNode().start()}
        async with running_router(nodes, api_nodes) as router:
            sip_callers = [await SipCaller.connect(router.sip_port) for _ in range(2)]
            api_callers = [await ApiCaller.connect(router.api_port) for _ in range(2)]
            by_sip, by_api = {}, {}
            for index in range(120):
                behaviour, dest, call = BEHAVIOURS[index % len(BEHAVIOURS)], index % 3 + 1, new_call_id()
                if index % 2:
                    by_sip[call] = sip_callers[index // 2 % 2]
                    by_sip[call].invite(call, f"{behaviour}-{index}", dest, 1500)
                else:
                    by_api[call] = api_callers[index // 2 % 2]
                    by_api[call].set_up(call, f"{behaviour}-{index}", dest, 1500)
                    if index % 8 == 0:  # a repeated request belongs to the same call
                        by_api[call].set_up(call, f"{behaviour}-{index}", dest, 1500)
            await wait_until(lambda: all(c in by_sip[c].final_responses for c in by_sip)
                             and all(by_api[c].final_answers(c) for c in by_api))
            await wait_until(lambda: not any(node.established_calls for node in (*nodes.values(), *api_nodes.values())))
            counts = await router.stop_and_read_counters()
            answers = {c: len(s.final_responses[c]) for c, s in by_sip.items()}
            answers |= {c: len(s.final_answers(c)) for c, s in by_api.items()}
            assert set(answers.values()) == {1}
            assert counts["final_answered"] + counts["final_refused"] + counts["final_failed"] == 120
            assert counts["calls_in_hand"] == 0
            assert sum(node.overlaps for node in (*nodes.values(), *api_nodes.values())) == 0
            assert max(sum(node.request_counts[c] for node in (*nodes.values(), *api_nodes.values()))
                       for c in answers) <= 6
            answered = [c for c in by_sip if by_sip[c].final_responses[c][0].status == 200]
            assert answered
            assert all(by_sip[c].final_responses[c][0].body == b"answer to offer " + c.encode() for c in answered)
            refusals = [f for c in by_sip for f in by_sip[c].final_responses[c] if f.status == 503]
            assert refusals
            assert all(int(f.headers["x-cooldown"]) >= 0 for f in refusals)
            messages = [m for c in by_api for m in by_api[c].final_answers(c)]
            assert {m["type"] for m in messages} >= {"answer", "refused"}
            assert all(m["cooldown"] >= 0 for m in messages if m["type"] == "refused")
            for caller in sip_callers:  # each call that was established has been released towards its caller
                established = {c for c, f in caller.final_responses.items() if f[0].status == 200}
                await wait_until(lambda established=established, caller=caller: (
                    established == set(caller.received_byes)))
            for client in api_callers:
                established = {m["id"] for m in client.received_messages if m["type"] == "answer"}
                await wait_until(lambda established=established, client=client: established == {
                    m["id"] for m in client.received_messages if m["type"] == "released"})
    run(run_test)


def test_a_cancelled_set_up_is_cancelled_at_the_peer_and_gets_no_answer() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with running_router({1: node}) as router:
            sip, api = await SipCaller.connect(router.sip_port), await ApiCaller.connect(router.api_port)
            first, second = new_call_id(), new_call_id()
            sip.invite(first, "silent-1", 1)
            api.set_up(second, "silent-2", 1)
            await wait_until(lambda: node.request_counts[first] and node.request_counts[second])
            sip.send_request("CANCEL", first)
            api.send(type="cancel", id=second)
            await wait_until(lambda: {first, second} <= {c for c, _ in node.received_releases})
            await wait_until(lambda: first in sip.final_responses and api.messages_about(second, "cancelled"))
            assert [f.status for f in sip.final_responses[first]] == [487]
            assert not api.final_answers(second)
    run(run_test)


def test_closing_a_socket_cancels_its_pending_calls_and_keeps_its_established_ones() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with running_router({1: node}) as router:
            api = await ApiCaller.connect(router.api_port)
            pending, established = new_call_id(), new_call_id()
            api.set_up(pending, "silent-1", 1)
            api.set_up(established, "long-1", 1)
            await wait_until(lambda: api.final_answers(established) and node.request_counts[pending])
            api.close()
            await wait_until(lambda: pending in {c for c, _ in node.received_releases})
            assert established in node.established_calls
            other = await ApiCaller.connect(router.api_port)
            other.send(type="resume", id=established)
            await wait_until(lambda: other.messages_about(established, "answer"))
            other.send(type="release", id=established)
            await wait_until(lambda: other.messages_about(established, "released"))
            await wait_until(lambda: established not in node.established_calls)
            other.set_up(pending, "silent-1", 1)  # repeated after its end: the same call, not a second one
            await wait_until(lambda: other.messages_about(pending, "cancelled"))
            assert node.request_counts[pending] == 1
    run(run_test)


def test_invalid_messages_of_a_client_get_errors_and_affect_no_other_call() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with running_router({1: node}) as router:
            api, call = await ApiCaller.connect(router.api_port), new_call_id()
            api.send(type="nonsense", id=call)
            api.send(type="setup", id=call, dest=1)
            api.send(type="cancel", id=call)
            api.set_up(call, "good-1", 1, class_name="unheard-of")
            api.set_up(call, "good-1", -1)
            await wait_until(lambda: len(api.received_messages) == 5)
            assert [m["code"] for m in api.received_messages] == [
                "unknown-type", "missing-field", "unknown-call", "unknown-class", "bad-field"]
            late = new_call_id()
            api.set_up(late, "good-1", 1, wait_ms=-1000)
            await wait_until(lambda: api.final_answers(late))
            assert api.final_answers(late)[0]["type"] == "refused"
            assert api.final_answers(late)[0]["cooldown"] > 0
            assert not node.request_counts[late]
            unmasked = await ApiCaller.connect(router.api_port)
            unmasked.writer.write(b"\x81\x03abc")  # a frame of a client has to be masked
            await wait_until(lambda: unmasked.close_code is not None)
            assert unmasked.close_code == 1002
            malformed = await SipCaller.connect(router.sip_port)
            malformed.writer.write(b"INVITE what SIP/2.0\r\n\r\n")
            await wait_until(malformed.reader.at_eof)
            api.set_up(call, "good-1", 1)
            await wait_until(lambda: api.final_answers(call))
            assert api.final_answers(call)[0]["type"] == "answer"
    run(run_test)


def test_a_peer_that_dies_cuts_its_calls_and_releases_them_towards_their_callers() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with running_router({1: node}) as router:
            sip, call, pending = await SipCaller.connect(router.sip_port), new_call_id(), new_call_id()
            sip.invite(call, "long-1", 1)
            await wait_until(lambda: call in sip.final_responses)
            sip.invite(pending, "silent-1", 1)
            await wait_until(lambda: node.request_counts[pending])
            assert node.server is not None
            node.server.close()
            for writer in node.writers:
                writer.transport.abort()
            await wait_until(lambda: call in sip.received_byes and pending in sip.final_responses)
            assert sip.final_responses[pending][0].status == 503
    run(run_test)


def test_the_release_of_a_call_set_up_before_a_restart_is_passed_on_to_its_caller_once() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with running_router({1: node}) as router:
            sip, orphan, own = await SipCaller.connect(router.sip_port), new_call_id(), new_call_id()
            sip.invite(own, "fault-1", 1)
            await wait_until(lambda: own in sip.final_responses)
            node.send_release(node.writers[0], own, 16)  # a call of this process that was never established
            node.send_release(node.writers[0], orphan, 16)
            node.send_release(node.writers[0], orphan, 16)  # sent again, as on each new connection
            await wait_until(lambda: sip.received_byes)
            counts = await router.stop_and_read_counters()
            assert sip.received_byes == [orphan]
            assert counts["releases_passed_on"] == 1
    run(run_test)


def test_established_calls_at_a_destination_are_resumed_after_its_socket_closes() -> None:
    async def run_test() -> None:
        node = await ApiNode().start()
        async with running_router({}, {1: node}) as router:
            sip, resumed, lost, pending = (
                await SipCaller.connect(router.sip_port), new_call_id(), new_call_id(), new_call_id())
            sip.invite(resumed, "long-1", 1)
            sip.invite(lost, "long-2", 1)
            sip.invite(pending, "silent-1", 1)
            await wait_until(lambda: {resumed, lost} <= set(sip.final_responses) and node.request_counts[pending])
            node.established_calls.discard(lost)  # the destination no longer has this call
            node.writers[0].close()
            await wait_until(lambda: node.request_counts["resume"] == 2 and lost in sip.received_byes)
            await wait_until(lambda: pending in sip.final_responses)  # a pending set-up fails with its socket
            assert sip.final_responses[pending][0].status == 503
            assert resumed not in sip.received_byes
            sip.send_request("BYE", resumed)
            await wait_until(lambda: resumed not in node.established_calls)
            assert [node.request_counts[call] for call in (resumed, lost, pending)] == [1, 1, 1]  # no second set-up
    run(run_test)


def test_a_cancel_that_crosses_the_answer_gets_the_answer_again() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with running_router({1: node}) as router:
            api, call = await ApiCaller.connect(router.api_port), new_call_id()
            api.set_up(call, "long-1", 1)
            await wait_until(lambda: api.final_answers(call))
            api.send(type="cancel", id=call)
            await wait_until(lambda: len(api.messages_about(call, "answer")) == 2)
            assert call in node.established_calls
            api.send(type="release", id=call, cause=31)
            await wait_until(lambda: (call, 31) in node.received_releases)
    run(run_test)


def test_after_sigterm_accepted_calls_finish_and_new_ones_are_accepted_for_a_while() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with running_router({1: node}) as router:
            sip, before, after = await SipCaller.connect(router.sip_port), new_call_id(), new_call_id()
            sip.invite(before, "good-1", 1)
            await wait_until(lambda: node.request_counts[before])
            router.process.terminate()
            late = await SipCaller.connect(router.sip_port)
            late.send_request("OPTIONS", "ping")
            late.invite(after, "good-2", 1)
            await wait_until(lambda: before in sip.final_responses and after in late.final_responses
                             and late.options_response_count == 1)
            counts = await router.stop_and_read_counters()
            assert counts["calls_in_hand"] == 0
            assert counts["final_answered"] == 2
    run(run_test)


def test_after_sigterm_the_program_exits_before_sigkill_despite_established_calls() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with running_router({1: node}) as router:
            sip, call = await SipCaller.connect(router.sip_port), new_call_id()
            sip.invite(call, "long-1", 1)
            await wait_until(lambda: call in sip.final_responses)
            counts = await router.stop_and_read_counters()
            assert counts["calls_in_hand"] == 1
            assert call in node.established_calls  # it stays established: the peer releases it to the next process
            assert not sip.received_byes
    run(run_test)


def test_a_caller_releases_a_call_that_was_established_before_a_restart() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with running_router({1: node}) as router:
            sip, call, own = await SipCaller.connect(router.sip_port), new_call_id(), new_call_id()
            sip.invite(own, "fault-1", 1)
            await wait_until(lambda: own in sip.final_responses)
            sip.send_request("BYE", own)  # of this process and ended: there is nothing to release
            sip.send_request("BYE", call)
            await wait_until(lambda: call in {c for c, _ in node.received_releases})
            assert own not in {c for c, _ in node.received_releases}
    run(run_test)
