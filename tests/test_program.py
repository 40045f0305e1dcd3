"""The program as the platform starts it, between simulated callers and nodes, over sockets."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from typing import Any

from laboratory.stand_ins import ApiCaller, ApiNode, BinaryNode, Node, SipCaller, program, until

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
        async with program(nodes, api_nodes) as router:
            sip_callers = [await SipCaller.connect(router.port) for _ in range(2)]
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
            await until(lambda: all(c in by_sip[c].finals for c in by_sip)
                        and all(by_api[c].finals(c) for c in by_api))
            await until(lambda: not any(node.standing for node in (*nodes.values(), *api_nodes.values())))
            counts = await router.counts()
            answers = {c: len(s.finals[c]) for c, s in by_sip.items()}
            answers |= {c: len(s.finals(c)) for c, s in by_api.items()}
            assert set(answers.values()) == {1}
            assert counts["final_answered"] + counts["final_refused"] + counts["final_failed"] == 120
            assert counts["calls_in_hand"] == 0
            assert sum(node.overlaps for node in (*nodes.values(), *api_nodes.values())) == 0
            assert max(sum(node.seen[c] for node in (*nodes.values(), *api_nodes.values())) for c in answers) <= 6
            answered = [c for c in by_sip if by_sip[c].finals[c][0].status == 200]
            assert answered
            assert all(by_sip[c].finals[c][0].body == b"answer to offer " + c.encode() for c in answered)
            refusals = [f for c in by_sip for f in by_sip[c].finals[c] if f.status == 503]
            assert refusals
            assert all(int(f.headers["x-cooldown"]) >= 0 for f in refusals)
            messages = [m for c in by_api for m in by_api[c].finals(c)]
            assert {m["type"] for m in messages} >= {"answer", "refused"}
            assert all(m["cooldown"] >= 0 for m in messages if m["type"] == "refused")
            for caller in sip_callers:  # each call that was established has been released towards its caller
                established = {c for c, f in caller.finals.items() if f[0].status == 200}
                await until(lambda established=established, caller=caller: established == set(caller.byes))
            for client in api_callers:
                established = {m["id"] for m in client.heard if m["type"] == "answer"}
                await until(lambda established=established, client=client: established == {
                    m["id"] for m in client.heard if m["type"] == "released"})
    run(run_test)


def test_a_cancelled_set_up_is_cancelled_at_the_peer_and_gets_no_answer() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, api = await SipCaller.connect(router.port), await ApiCaller.connect(router.api_port)
            first, second = new_call_id(), new_call_id()
            sip.invite(first, "silent-1", 1)
            api.set_up(second, "silent-2", 1)
            await until(lambda: node.seen[first] and node.seen[second])
            sip.ask("CANCEL", first)
            api.send(type="cancel", id=second)
            await until(lambda: {first, second} <= {c for c, _ in node.released})
            await until(lambda: first in sip.finals and api.told(second, "cancelled"))
            assert [f.status for f in sip.finals[first]] == [487]
            assert not api.finals(second)
    run(run_test)


def test_closing_a_socket_cancels_its_pending_calls_and_keeps_its_established_ones() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            api = await ApiCaller.connect(router.api_port)
            pending, established = new_call_id(), new_call_id()
            api.set_up(pending, "silent-1", 1)
            api.set_up(established, "long-1", 1)
            await until(lambda: api.finals(established) and node.seen[pending])
            api.close()
            await until(lambda: pending in {c for c, _ in node.released})
            assert established in node.standing
            other = await ApiCaller.connect(router.api_port)
            other.send(type="resume", id=established)
            await until(lambda: other.told(established, "answer"))
            other.send(type="release", id=established)
            await until(lambda: other.told(established, "released"))
            await until(lambda: established not in node.standing)
            other.set_up(pending, "silent-1", 1)  # repeated after its end: the same call, not a second one
            await until(lambda: other.told(pending, "cancelled"))
            assert node.seen[pending] == 1
    run(run_test)


def test_invalid_messages_of_a_client_get_errors_and_affect_no_other_call() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            api, call = await ApiCaller.connect(router.api_port), new_call_id()
            api.send(type="nonsense", id=call)
            api.send(type="setup", id=call, dest=1)
            api.send(type="cancel", id=call)
            api.set_up(call, "good-1", 1, tier="unheard-of")
            api.set_up(call, "good-1", -1)
            await until(lambda: len(api.heard) == 5)
            assert [m["code"] for m in api.heard] == [
                "unknown-type", "missing-field", "unknown-call", "unknown-class", "bad-field"]
            late = new_call_id()
            api.set_up(late, "good-1", 1, wait_ms=-1000)
            await until(lambda: api.finals(late))
            assert api.finals(late)[0]["type"] == "refused"
            assert api.finals(late)[0]["cooldown"] > 0
            assert not node.seen[late]
            unmasked = await ApiCaller.connect(router.api_port)
            unmasked.writer.write(b"\x81\x03abc")  # a frame of a client has to be masked
            await until(lambda: unmasked.closed is not None)
            assert unmasked.closed == 1002
            malformed = await SipCaller.connect(router.port)
            malformed.writer.write(b"INVITE what SIP/2.0\r\n\r\n")
            await until(malformed.reader.at_eof)
            api.set_up(call, "good-1", 1)
            await until(lambda: api.finals(call))
            assert api.finals(call)[0]["type"] == "answer"
    run(run_test)


def test_a_peer_that_dies_cuts_its_calls_and_releases_them_towards_their_callers() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, call, pending = await SipCaller.connect(router.port), new_call_id(), new_call_id()
            sip.invite(call, "long-1", 1)
            await until(lambda: call in sip.finals)
            sip.invite(pending, "silent-1", 1)
            await until(lambda: node.seen[pending])
            assert node.server is not None
            node.server.close()
            for writer in node.writers:
                writer.transport.abort()
            await until(lambda: call in sip.byes and pending in sip.finals)
            assert sip.finals[pending][0].status == 503
    run(run_test)


def test_the_release_of_a_call_set_up_before_a_restart_is_passed_on_to_its_caller_once() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, orphan, own = await SipCaller.connect(router.port), new_call_id(), new_call_id()
            sip.invite(own, "fault-1", 1)
            await until(lambda: own in sip.finals)
            node.end(node.writers[0], own, 16)  # a call of this process that was never established
            node.end(node.writers[0], orphan, 16)
            node.end(node.writers[0], orphan, 16)  # sent again, as on each new connection
            await until(lambda: sip.byes)
            counts = await router.counts()
            assert sip.byes == [orphan]
            assert counts["releases_passed_on"] == 1
    run(run_test)


def test_established_calls_at_a_destination_are_resumed_after_its_socket_closes() -> None:
    async def run_test() -> None:
        node = await ApiNode().start()
        async with program({}, {1: node}) as router:
            sip, resumed, lost, pending = (
                await SipCaller.connect(router.port), new_call_id(), new_call_id(), new_call_id())
            sip.invite(resumed, "long-1", 1)
            sip.invite(lost, "long-2", 1)
            sip.invite(pending, "silent-1", 1)
            await until(lambda: {resumed, lost} <= set(sip.finals) and node.seen[pending])
            node.standing.discard(lost)  # the destination no longer has this call
            node.writers[0].close()
            await until(lambda: node.seen["resume"] == 2 and lost in sip.byes)
            await until(lambda: pending in sip.finals)  # a pending set-up fails with its socket
            assert sip.finals[pending][0].status == 503
            assert resumed not in sip.byes
            sip.ask("BYE", resumed)
            await until(lambda: resumed not in node.standing)
            assert [node.seen[call] for call in (resumed, lost, pending)] == [1, 1, 1]  # no second set-up
    run(run_test)


def test_a_cancel_that_crosses_the_answer_gets_the_answer_again() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            api, call = await ApiCaller.connect(router.api_port), new_call_id()
            api.set_up(call, "long-1", 1)
            await until(lambda: api.finals(call))
            api.send(type="cancel", id=call)
            await until(lambda: len(api.told(call, "answer")) == 2)
            assert call in node.standing
            api.send(type="release", id=call, cause=31)
            await until(lambda: (call, 31) in node.released)
    run(run_test)


def test_after_sigterm_accepted_calls_finish_and_new_ones_are_accepted_for_a_while() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, before, after = await SipCaller.connect(router.port), new_call_id(), new_call_id()
            sip.invite(before, "good-1", 1)
            await until(lambda: node.seen[before])
            router.process.terminate()
            late = await SipCaller.connect(router.port)
            late.ask("OPTIONS", "ping")
            late.invite(after, "good-2", 1)
            await until(lambda: before in sip.finals and after in late.finals and late.tests == 1)
            counts = await router.counts()
            assert counts["calls_in_hand"] == 0
            assert counts["final_answered"] == 2
    run(run_test)


def test_after_sigterm_the_program_exits_before_sigkill_despite_established_calls() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, call = await SipCaller.connect(router.port), new_call_id()
            sip.invite(call, "long-1", 1)
            await until(lambda: call in sip.finals)
            counts = await router.counts()
            assert counts["calls_in_hand"] == 1
            assert call in node.standing  # it stays established: the peer releases it to the next process
            assert not sip.byes
    run(run_test)


def test_a_caller_releases_a_call_that_was_established_before_a_restart() -> None:
    async def run_test() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, call, own = await SipCaller.connect(router.port), new_call_id(), new_call_id()
            sip.invite(own, "fault-1", 1)
            await until(lambda: own in sip.finals)
            sip.ask("BYE", own)  # of this process and ended: there is nothing to release
            sip.ask("BYE", call)
            await until(lambda: call in {c for c, _ in node.released})
            assert own not in {c for c, _ in node.released}
    run(run_test)
