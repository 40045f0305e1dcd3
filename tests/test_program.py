"""The program as it is started in service, between stand-ins, over sockets."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from typing import Any

from laboratory.stand_ins import ApiCaller, ApiNode, BinaryNode, Node, SipCaller, program, until

IDS = itertools.count(1)
WORDS = ("good", "full", "fault", "busy", "reset", "cut", "silent")


def fresh() -> str:
    """An id that no call has had."""
    return f"{next(IDS):016x}"


def run(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test's body."""
    asyncio.run(work())


def test_mixed_callers_get_one_final_answer_each_and_attempts_never_overlap() -> None:
    async def work() -> None:
        nodes: dict[int, Node] = {n: await BinaryNode().start() for n in (1, 2)}
        api: dict[int, Node] = {3: await ApiNode().start()}
        async with program(nodes, api) as router:
            sips = [await SipCaller.connect(router.port) for _ in range(2)]
            apis = [await ApiCaller.connect(router.api_port) for _ in range(2)]
            by_sip, by_api = {}, {}
            for at in range(120):
                word, dest, call = WORDS[at % len(WORDS)], at % 3 + 1, fresh()
                if at % 2:
                    by_sip[call] = sips[at // 2 % 2]
                    by_sip[call].invite(call, f"{word}-{at}", dest, 1500)
                else:
                    by_api[call] = apis[at // 2 % 2]
                    by_api[call].set_up(call, f"{word}-{at}", dest, 1500)
                    if at % 8 == 0:  # the same request twice: the same call
                        by_api[call].set_up(call, f"{word}-{at}", dest, 1500)
            await until(lambda: all(c in by_sip[c].finals for c in by_sip)
                        and all(by_api[c].finals(c) for c in by_api))
            await until(lambda: not any(n.standing for n in (*nodes.values(), *api.values())))
            counts = await router.counts()
            answers = {c: len(s.finals[c]) for c, s in by_sip.items()}
            answers |= {c: len(s.finals(c)) for c, s in by_api.items()}
            assert set(answers.values()) == {1}
            assert counts["final_answered"] + counts["final_refused"] + counts["final_failed"] == 120
            assert counts["calls_in_hand"] == 0
            assert sum(n.overlaps for n in (*nodes.values(), *api.values())) == 0
            assert max(sum(n.seen[c] for n in (*nodes.values(), *api.values())) for c in answers) <= 6
            answered = [c for c in by_sip if by_sip[c].finals[c][0].status == 200]
            assert answered
            assert all(by_sip[c].finals[c][0].body == b"answer to offer " + c.encode() for c in answered)
            refusals = [f for c in by_sip for f in by_sip[c].finals[c] if f.status == 503]
            assert refusals
            assert all(int(f.headers["x-cooldown"]) >= 0 for f in refusals)
            told = [m for c in by_api for m in by_api[c].finals(c)]
            assert {m["type"] for m in told} >= {"answer", "refused"}
            assert all(m["cooldown"] >= 0 for m in told if m["type"] == "refused")
            for caller in sips:  # what stood and is over was released towards its caller
                stood = {c for c, f in caller.finals.items() if f[0].status == 200}
                await until(lambda stood=stood, caller=caller: stood == set(caller.byes))
            for client in apis:
                stood = {m["id"] for m in client.heard if m["type"] == "answer"}
                await until(lambda stood=stood, client=client: stood == {
                    m["id"] for m in client.heard if m["type"] == "released"})
    run(work)


def test_a_cancelled_set_up_is_given_up_at_the_peer_and_owes_no_answer() -> None:
    async def work() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, api = await SipCaller.connect(router.port), await ApiCaller.connect(router.api_port)
            first, second = fresh(), fresh()
            sip.invite(first, "silent-1", 1)
            api.set_up(second, "silent-2", 1)
            await until(lambda: node.seen[first] and node.seen[second])
            sip.ask("CANCEL", first)
            api.send(type="cancel", id=second)
            await until(lambda: {first, second} <= {c for c, _ in node.released})
            await until(lambda: first in sip.finals and api.told(second, "cancelled"))
            assert [f.status for f in sip.finals[first]] == [487]
            assert not api.finals(second)
    run(work)


def test_a_socket_closed_mid_call_gives_up_what_is_open_and_keeps_what_stands() -> None:
    async def work() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            api = await ApiCaller.connect(router.api_port)
            open_call, standing = fresh(), fresh()
            api.set_up(open_call, "silent-1", 1)
            api.set_up(standing, "long-1", 1)
            await until(lambda: api.finals(standing) and node.seen[open_call])
            api.close()
            await until(lambda: open_call in {c for c, _ in node.released})
            assert standing in node.standing
            other = await ApiCaller.connect(router.api_port)
            other.send(type="resume", id=standing)
            await until(lambda: other.told(standing, "answer"))
            other.send(type="release", id=standing)
            await until(lambda: other.told(standing, "released"))
            await until(lambda: standing not in node.standing)
            other.set_up(open_call, "silent-1", 1)  # repeated after the end: the same call, not a second one
            await until(lambda: other.told(open_call, "cancelled"))
            assert node.seen[open_call] == 1
    run(work)


def test_what_a_client_gets_wrong_is_answered_and_harms_nothing_else() -> None:
    async def work() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            api, call = await ApiCaller.connect(router.api_port), fresh()
            api.send(type="nonsense", id=call)
            api.send(type="setup", id=call, dest=1)
            api.send(type="cancel", id=call)
            api.set_up(call, "good-1", 1, tier="unheard-of")
            api.set_up(call, "good-1", -1)
            await until(lambda: len(api.heard) == 5)
            assert [m["code"] for m in api.heard] == [
                "unknown-type", "missing-field", "unknown-call", "unknown-class", "bad-field"]
            late = fresh()
            api.set_up(late, "good-1", 1, wait_ms=-1000)
            await until(lambda: api.finals(late))
            assert api.finals(late)[0]["type"] == "refused"
            assert api.finals(late)[0]["cooldown"] > 0
            assert not node.seen[late]
            unreadable = await ApiCaller.connect(router.api_port)
            unreadable.writer.write(b"\x81\x03abc")  # a client's frame has to be masked
            await until(lambda: unreadable.closed is not None)
            assert unreadable.closed == 1002
            broken = await SipCaller.connect(router.port)
            broken.writer.write(b"INVITE what SIP/2.0\r\n\r\n")
            await until(broken.reader.at_eof)
            api.set_up(call, "good-1", 1)
            await until(lambda: api.finals(call))
            assert api.finals(call)[0]["type"] == "answer"
    run(work)


def test_a_peer_that_dies_cuts_its_calls_and_releases_them_towards_their_callers() -> None:
    async def work() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, call, out = await SipCaller.connect(router.port), fresh(), fresh()
            sip.invite(call, "long-1", 1)
            await until(lambda: call in sip.finals)
            sip.invite(out, "silent-1", 1)
            await until(lambda: node.seen[out])
            assert node.server is not None
            node.server.close()
            for writer in node.writers:
                writer.transport.abort()
            await until(lambda: call in sip.byes and out in sip.finals)
            assert sip.finals[out][0].status == 503
    run(work)


def test_the_release_of_a_call_set_up_before_a_restart_is_passed_on_to_its_caller_once() -> None:
    async def work() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, orphan, own = await SipCaller.connect(router.port), fresh(), fresh()
            sip.invite(own, "fault-1", 1)
            await until(lambda: own in sip.finals)
            node.end(node.writers[0], own, 16)  # a call of this process that never stood
            node.end(node.writers[0], orphan, 16)
            node.end(node.writers[0], orphan, 16)  # told again, as on each new connection
            await until(lambda: sip.byes)
            counts = await router.counts()
            assert sip.byes == [orphan]
            assert counts["releases_passed_on"] == 1
    run(work)


def test_calls_that_stand_at_a_destination_are_resumed_when_its_socket_closes() -> None:
    async def work() -> None:
        node = await ApiNode().start()
        async with program({}, {1: node}) as router:
            sip, kept, lost, out = await SipCaller.connect(router.port), fresh(), fresh(), fresh()
            sip.invite(kept, "long-1", 1)
            sip.invite(lost, "long-2", 1)
            sip.invite(out, "silent-1", 1)
            await until(lambda: {kept, lost} <= set(sip.finals) and node.seen[out])
            node.standing.discard(lost)  # it has forgotten that one
            node.writers[0].close()
            await until(lambda: node.seen["resume"] == 2 and lost in sip.byes)
            await until(lambda: out in sip.finals)  # what was open on the socket is broken
            assert sip.finals[out][0].status == 503
            assert kept not in sip.byes
            sip.ask("BYE", kept)
            await until(lambda: kept not in node.standing)
            assert [node.seen[call] for call in (kept, lost, out)] == [1, 1, 1]  # no second set-up
    run(work)


def test_a_cancel_that_crosses_the_answer_is_told_the_answer_again() -> None:
    async def work() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            api, call = await ApiCaller.connect(router.api_port), fresh()
            api.set_up(call, "long-1", 1)
            await until(lambda: api.finals(call))
            api.send(type="cancel", id=call)
            await until(lambda: len(api.told(call, "answer")) == 2)
            assert call in node.standing
            api.send(type="release", id=call, cause=31)
            await until(lambda: (call, 31) in node.released)
    run(work)


def test_sigterm_finishes_what_is_taken_and_still_takes_calls_for_a_while() -> None:
    async def work() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, before, after = await SipCaller.connect(router.port), fresh(), fresh()
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
    run(work)


def test_sigterm_does_not_wait_for_calls_that_stand_until_it_is_killed() -> None:
    async def work() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, call = await SipCaller.connect(router.port), fresh()
            sip.invite(call, "long-1", 1)
            await until(lambda: call in sip.finals)
            counts = await router.counts()
            assert counts["calls_in_hand"] == 1
            assert call in node.standing  # it goes on: the peer releases it to the next process
            assert not sip.byes
    run(work)


def test_a_caller_releases_a_call_that_stood_before_a_restart() -> None:
    async def work() -> None:
        node = await BinaryNode().start()
        async with program({1: node}) as router:
            sip, call, own = await SipCaller.connect(router.port), fresh(), fresh()
            sip.invite(own, "fault-1", 1)
            await until(lambda: own in sip.finals)
            sip.ask("BYE", own)  # of this process, and over: nothing is to be released
            sip.ask("BYE", call)
            await until(lambda: call in {c for c, _ in node.released})
            assert own not in {c for c, _ in node.released}
    run(work)
