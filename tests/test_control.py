"""Versions of the routing plan, tested on the started program with a stand-in control service, nodes and callers."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sqlite3
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from astertrack.plan import Plan, build
from astertrack.plan.model import Barred, Choice, Exchange, Limit, Prefix, RetryAdvice, Unmatched
from astertrack.versions import VersionId, make_document
from astertrack.wire import sse
from laboratory.control_service import ControlService, encode_document, encode_endless_version, make_unchecked_document
from laboratory.stand_ins import (
    ApiCaller,
    BinaryNode,
    PartitionableNode,
    SipCaller,
    free_port,
    running_router,
    wait_until,
)

# Stand-in nodes answer by the first word of the called number: "silent" gives no answer, "long" a call that stays
# established until it is released, and any other word used here an answer and a release soon after it.

CALL_NUMBERS = itertools.count(0xC000)  # from which call ids are made
EXCHANGES = [Exchange(n, "fes") for n in (1, 2, 3)]


def new_call_id() -> str:
    """Return an unused call id."""
    return f"{next(CALL_NUMBERS):016x}"


def run(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run the coroutine of a test."""
    asyncio.run(work())


def make_plan(*records: Any) -> Plan:
    """Return a plan with the exchanges and these records."""
    return build(iter([*EXCHANGES, *records]))


def make_settings(service: ControlService | None = None, store: str = "", seconds: float = 0, file: str = "",
                  address: str = "") -> str:
    """Return the text of versions.toml, with a probation of this many seconds."""
    where = service.address if service is not None else address
    return (f'[service]\naddress = "{where}"\n[store]\nfolder = "{store}"\n[plan]\nfile = "{file}"\n'
            f"[probation]\nseconds = {seconds}\n")


async def place_call(caller: SipCaller, number: str, dest: int = -1, wait_ms: int = 2000,
                 class_name: str = "ledger-read") -> tuple[str, Any]:
    """Place a call by SIP and wait for its final answer."""
    call = new_call_id()
    caller.invite(call, number, dest, wait_ms, class_name)
    await wait_until(lambda: call in caller.final_responses)
    return call, caller.final_responses[call][0]


def test_numbers_are_routed_by_the_version_in_force_through_both_fronts() -> None:
    async def work() -> None:
        service = await ControlService().start()
        nodes = {n: await BinaryNode().start() for n in (1, 2, 3)}
        service.publish(VersionId(1, 1), make_plan(Prefix("5", 1), Prefix("55", 2), Barred("9", 700),
                                                  Choice(3, direct=False, over=[[2]], any_tandem=False),
                                                  Prefix("7", 3), RetryAdvice("unmatched", 300)))
        async with running_router(nodes, versions=make_settings(service)) as router:  # type: ignore[arg-type]
            await wait_until(lambda: "in-force" in service.reported_states(VersionId(1, 1)))
            sip, api = await SipCaller.connect(router.sip_port), await ApiCaller.connect(router.api_port)
            for number, node in (("51", 1), ("551", 2), ("71", 2)):
                call, answer = await place_call(sip, number, dest=3)
                assert answer.status == 200
                assert [n for n, stand_in in nodes.items() if stand_in.request_counts[call]] == [node]
                other = new_call_id()
                api.send(type="setup", id=other, number=number, deadline=2**50, **{"class": "ledger-read"})
                await wait_until(lambda other=other: api.final_answers(other))
                assert api.final_answers(other)[0]["type"] == "answer"
                assert [n for n, stand_in in nodes.items() if stand_in.request_counts[other]] == [node]
            _, refused = await place_call(sip, "91")
            assert refused.status == 503
            assert 700 <= int(refused.headers["x-cooldown"]) <= 900
            _, unmatched = await place_call(sip, "11")
            assert unmatched.status == 503
            assert 300 <= int(unmatched.headers["x-cooldown"]) <= 400
            assert (await place_call(sip, "11", dest=1))[1].status == 200
            counts = await router.stop_and_read_counters()
            assert counts["refused_at_gate"] == 2
            assert counts["gate_refused_plan_barred"] == 1
        await service.stop()
    run(work)


def test_invalid_and_reordered_versions_are_refused_and_the_last_valid_one_serves() -> None:
    async def work() -> None:
        service = await ControlService().start()
        nodes = {n: await BinaryNode().start() for n in (1, 2)}
        service.publish(VersionId(1, 1), make_plan(Prefix("5", 1)))
        async with running_router(nodes, versions=make_settings(service)) as router:  # type: ignore[arg-type]
            await wait_until(lambda: "in-force" in service.reported_states(VersionId(1, 1)))
            sip = await SipCaller.connect(router.sip_port)
            for number, lines in ((2, [b"{"]), (3, [b'{"kind":"prefix","digits":"5","exchange":9}']),
                                  (4, [b'{"kind":"exchange","number":1}',
                                       b'{"kind":"choice","exchange":1,"over":[[1]]}']),
                                  (5, [b'{"kind":"alias","digits":"12","to":"13"}',
                                       b'{"kind":"alias","digits":"13","to":"12"}'])):
                service.send(make_unchecked_document(number, lines))
                await wait_until(lambda number=number: service.reported_states(VersionId(1, number)) == ["refused"])
            assert [service.reported_reasons(VersionId(1, n)) for n in (2, 3, 4, 5)] == [
                ["schema"], ["unknown-exchange"], ["route-through-itself"], ["alias-loop"]]
            later, sooner = make_plan(Prefix("5", 2)), make_plan(Prefix("5", 1))
            service.send(make_document(VersionId(1, 7), later.records(), later.state))
            service.send(make_document(VersionId(1, 6), sooner.records(), sooner.state))
            await wait_until(lambda: service.reported_states(VersionId(1, 6)) == ["refused"])
            assert service.reported_reasons(VersionId(1, 6)) == ["stale"]
            service.send(make_document(VersionId(1, 7), sooner.records(), sooner.state))
            await wait_until(lambda: "two-contents" in service.reported_reasons(VersionId(1, 7)))
            call, answer = await place_call(sip, "51")
            assert answer.status == 200
            assert nodes[2].request_counts[call]
            service.send(make_document(VersionId(2, 1), sooner.records(), sooner.state))
            await wait_until(lambda: "in-force" in service.reported_states(VersionId(2, 1)))
            call, _ = await place_call(sip, "51")
            assert nodes[1].request_counts[call]
            assert router.process.returncode is None
        await service.stop()
    run(work)


def test_a_version_truncated_in_a_character_or_anywhere_else_is_dropped_and_requested_again() -> None:
    async def work() -> None:
        # A service sends no keep-alive within a version: its empty line would complete the truncated event.
        service = await ControlService(sends_latest_on_connect=False, sends_keep_alives=False).start()
        node = await BinaryNode().start()
        made = build(iter([Exchange(1, "fès-médina"), Prefix("5", 1)]))
        sent = make_document(VersionId(1, 1), made.records(), made.state)
        data = encode_document(sent)
        in_character = data.index("è".encode()) + 1
        async with running_router({1: node}, versions=make_settings(service)) as router:
            for index, length in enumerate((in_character, len(data) // 3, len(data) - 3)):
                await wait_until(lambda index=index: len(service.streams) == index + 1
                                 and not service.streams[-1].is_closed)
                service.send_raw(data[:length])
                await asyncio.sleep(0.05)
                service.close_streams()
            await wait_until(lambda: len(service.streams) == 4)
            assert not service.reported_states(VersionId(1, 1))
            service.send(sent)
            await wait_until(lambda: "in-force" in service.reported_states(VersionId(1, 1)))
            counts = await router.stop_and_read_counters()
            assert counts["versions_half_received"] == 2  # the third was truncated within its header
        await service.stop()
    run(work)


def test_an_unresponsive_stream_is_dropped_and_an_endless_or_malformed_one_affects_nothing_else() -> None:
    async def work() -> None:
        service = await ControlService(sends_latest_on_connect=False).start()
        node = await BinaryNode().start()
        async with running_router({1: node}, versions=make_settings(service)) as router:
            sip = await SipCaller.connect(router.sip_port)
            await wait_until(lambda: len(service.open_streams) == 1)
            service.send_raw(b"data: \xff\n\n")
            await wait_until(lambda: len(service.streams) == 2 and len(service.open_streams) == 1)
            for data in encode_endless_version(3_000_000):
                service.send_raw(data)
            service.send_raw(sse.encode_event("end", (b"{}",)))
            await wait_until(lambda: service.reported_reasons(VersionId(1, 1)) == ["length"])
            assert (await place_call(sip, "good-1", dest=1))[1].status == 200
            await wait_until(lambda: len(service.open_streams) == 1)  # it has reconnected and requested a full version
            assert service.streams[-1].request.full
            service.sends_keep_alives = False
            stream_count = len(service.streams)
            await wait_until(lambda: len(service.streams) > stream_count)
            counts = await router.stop_and_read_counters()
            assert counts["control_silent"] >= 1
            assert counts["control_malformed"] >= 1
        await service.stop()
    run(work)


def test_reports_are_repeated_until_confirmed_and_harmless_when_received_twice() -> None:
    async def work() -> None:
        service = await ControlService(status_mode="close").start()
        node = await BinaryNode().start()
        service.publish(VersionId(1, 1), make_plan(Prefix("5", 1)))
        async with running_router({1: node}, versions=make_settings(service)):
            # Received, but not confirmed to the router.
            await wait_until(lambda: service.report_log.duplicate_count >= 3)
            service.status_mode = "unavailable"
            request_count = service.status_request_count
            await wait_until(lambda: service.status_request_count > request_count)
            service.status_mode = "accept"
            await wait_until(lambda: service.status_request_count > request_count + 1)
            assert service.reported_states(VersionId(1, 1)) == ["accepted", "in-force", "settled"]
            await asyncio.sleep(0.5)
            assert len(service.received_reports) == 3
        await service.stop()
    run(work)


def test_a_call_keeps_the_version_of_its_set_up_for_its_record_and_all_its_attempts(tmp_path: Path) -> None:
    async def work() -> None:
        service = await ControlService().start()
        nodes = {n: await BinaryNode().start() for n in (1, 2)}
        database = tmp_path / "calls.db"
        service.publish(VersionId(1, 1), make_plan(Prefix("5", 1)))
        store = f'[store]\nkind = "sqlite"\ndatabase = "{database}"'
        async with running_router(nodes, gateway=store, versions=make_settings(service)) as router:  # type: ignore[arg-type]
            await wait_until(lambda: "in-force" in service.reported_states(VersionId(1, 1)))
            api = await ApiCaller.connect(router.api_port)
            for behaviour in ("silent", "long"):  # neither number is in the plan, which keeps the caller's dest
                api.set_up(new_call_id(), f"{behaviour}-1", 1, 2500)
            # The ids of these two calls.
            calls = list(itertools.islice((f"{n:016x}" for n in itertools.count(next(CALL_NUMBERS) - 2)), 2))
            await wait_until(lambda: nodes[1].request_counts[calls[0]] and api.final_answers(calls[1]))
            # Version 2 removes exchange 1, at which one call is established and one waits for its answer.
            smaller = build(iter([Exchange(2), Prefix("5", 2), Unmatched(True)]))
            service.publish(VersionId(1, 2), smaller)
            await wait_until(lambda: "in-force" in service.reported_states(VersionId(1, 2)))
            api.set_up(third := new_call_id(), "good-1", 1, 2500)
            await wait_until(lambda: api.final_answers(third))
            assert api.final_answers(third)[0]["type"] == "refused"
            await wait_until(lambda: api.final_answers(calls[0]))
            assert len(api.final_answers(calls[0])) == 1
            assert not api.messages_about(calls[1], "released")
            api.send(type="release", id=calls[1])
            await wait_until(lambda: api.messages_about(calls[1], "released"))
            await router.stop_and_read_counters()
        rows = sqlite3.connect(database).execute("SELECT call, version FROM call_records").fetchall()
        versions = {call: {v for c, v in rows if c == call} for call in (*calls, third)}
        assert versions == {calls[0]: {"1.1"}, calls[1]: {"1.1"}, third: {"1.2"}}
        await service.stop()
    run(work)


def test_the_last_valid_version_serves_after_a_restart_without_the_service(tmp_path: Path) -> None:
    async def work() -> None:
        service = await ControlService().start()
        nodes = {n: await BinaryNode().start() for n in (1, 2)}
        service.publish(VersionId(1, 1), make_plan(Prefix("5", 1)))
        async with running_router(nodes, versions=make_settings(service, str(tmp_path))) as router:  # type: ignore[arg-type]
            await wait_until(lambda: "settled" in service.reported_states(VersionId(1, 1)))
            service.publish(VersionId(1, 2), make_plan(Prefix("5", 2)))
            await wait_until(lambda: "settled" in service.reported_states(VersionId(1, 2)))
            # The report is sent before the store's thread has written the pointer file.
            pointer = tmp_path / "current"
            await wait_until(lambda: pointer.exists() and b'"number":2' in pointer.read_bytes())
            router.process.kill()  # without a shutdown
            await router.process.wait()
        address = service.address
        await service.stop()
        nodes = {n: await BinaryNode().start() for n in (1, 2)}
        text = make_settings(store=str(tmp_path), address=address)
        async with running_router(nodes, versions=text) as router:  # type: ignore[arg-type]
            sip = await SipCaller.connect(router.sip_port)
            call, answer = await place_call(sip, "51")
            assert answer.status == 200
            assert nodes[2].request_counts[call]
            counts = await router.stop_and_read_counters()
            assert counts["control_dials"] >= 1
            assert counts["control_reports_waiting"] >= 1
    run(work)


def test_without_a_service_and_a_store_calls_are_routed_as_without_a_plan() -> None:
    async def work() -> None:
        node = await BinaryNode().start()
        async with running_router({1: node}, versions=make_settings(address=f"127.0.0.1:{free_port()}")) as router:
            sip = await SipCaller.connect(router.sip_port)
            assert (await place_call(sip, "good-1", dest=1))[1].status == 200
            _, answer = await place_call(sip, "good-1")  # neither the caller nor a plan gives a destination
            assert answer.status == 503
            assert int(answer.headers["x-cooldown"]) == 2000
            await router.stop_and_read_counters()
    run(work)


def test_a_version_that_misroutes_is_rolled_back_under_calls() -> None:
    async def work() -> None:
        service = await ControlService().start()
        nodes = {n: await BinaryNode().start() for n in (1, 2)}
        service.publish(VersionId(1, 1), make_plan())
        async with running_router(nodes, versions=make_settings(service, seconds=2.0)) as router:  # type: ignore[arg-type]
            await wait_until(lambda: "in-force" in service.reported_states(VersionId(1, 1)))
            sip = await SipCaller.connect(router.sip_port)
            stop = False

            async def offer() -> None:
                for index in itertools.count():  # each to a different number: repeated calls to one count as redials
                    if stop:
                        return
                    sip.invite(new_call_id(), f"good-{index}", 1)
                    sip.invite(new_call_id(), f"fine-{index}", 2)
                    await asyncio.sleep(0.02)
            task = asyncio.get_running_loop().create_task(offer())
            await asyncio.sleep(1.5)
            # Calls to exchange 1 may not go direct, and there is no tandem left: they are refused.
            service.publish(VersionId(1, 2), make_plan(Choice(1, direct=False, over=[[3]], any_tandem=False)))
            await wait_until(lambda: "rolled-back" in service.reported_states(VersionId(1, 2)))
            assert service.reported_reasons(VersionId(1, 2)) == ["probation"]
            call, answer = await place_call(sip, "good-last", dest=1)
            assert answer.status == 200
            assert nodes[1].request_counts[call]
            stop = True
            await task
        await service.stop()
    run(work)


def test_a_version_that_arrives_while_a_site_is_cut_off_is_accepted_and_not_blamed_for_it() -> None:
    async def work() -> None:
        service = await ControlService().start()
        near, far = await BinaryNode().start(), await PartitionableNode().start()
        near_zone = [Exchange(1, "casablanca"), Exchange(2, "fes")]
        service.publish(VersionId(1, 1), build(iter(near_zone)))
        async with running_router({1: near, 2: far}, versions=make_settings(service, seconds=2.0)) as router:
            await wait_until(lambda: "in-force" in service.reported_states(VersionId(1, 1)))
            sip, stop = await SipCaller.connect(router.sip_port), False
            placed_calls: dict[str, tuple[int, float]] = {}
            loop = asyncio.get_running_loop()

            async def offer() -> None:
                for index in itertools.count():
                    if stop:
                        return
                    call = new_call_id()
                    placed_calls[call] = (index % 2 + 1, loop.time())
                    sip.invite(call, f"good-{index}", index % 2 + 1, 1500)
                    await asyncio.sleep(0.01)
            task = loop.create_task(offer())
            await asyncio.sleep(1.5)
            far.is_partitioned = True
            await asyncio.sleep(0.5)
            # It concerns every call to the cut-off site and no other: over exchange 1 if not direct.
            service.publish(VersionId(1, 2), build(iter([*near_zone, Choice(2, over=[[1]])])))
            await wait_until(lambda: "settled" in service.reported_states(VersionId(1, 2)))
            far.is_partitioned = False
            call = ""
            for _ in range(40):
                call, answer = await place_call(sip, f"good-back-{call}", dest=2, wait_ms=1500)
                if answer.status == 200:
                    break
            assert answer.status == 200
            stop = True
            await task
            await wait_until(lambda: all(c in sip.final_responses for c in placed_calls))
            assert {len(sip.final_responses[c]) for c in placed_calls} == {1}
            assert "rolled-back" not in service.reported_states(VersionId(1, 2))
            assert near.overlaps + far.overlaps == 0
            near_calls = [c for c, (dest, _) in placed_calls.items() if dest == 1]
            assert sum(sip.final_responses[c][0].status == 200 for c in near_calls) > 0.9 * len(near_calls)
        await service.stop()
    run(work)


def test_a_limit_is_enforced_and_has_room_again_when_calls_end() -> None:
    async def work() -> None:
        service = await ControlService().start()
        node = await BinaryNode().start()
        service.publish(VersionId(1, 1), make_plan(Limit("two", 1, in_hand=2, wait_ms=150)))
        async with running_router({1: node}, versions=make_settings(service)) as router:
            await wait_until(lambda: "in-force" in service.reported_states(VersionId(1, 1)))
            api = await ApiCaller.connect(router.api_port)
            calls = [new_call_id() for _ in range(3)]
            for call in calls:
                api.set_up(call, "long-1", 1)
            await wait_until(lambda: all(api.final_answers(c) for c in calls))
            kinds = [api.final_answers(c)[0]["type"] for c in calls]
            assert kinds == ["answer", "answer", "refused"]
            assert 150 <= api.final_answers(calls[2])[0]["cooldown"] <= 190
            api.send(type="release", id=calls[0])
            await wait_until(lambda: api.messages_about(calls[0], "released"))
            api.set_up(again := new_call_id(), "long-1", 1)
            await wait_until(lambda: api.final_answers(again))
            assert api.final_answers(again)[0]["type"] == "answer"
            assert node.overlaps == 0
        await service.stop()
    run(work)


def test_a_plan_file_serves_without_a_service_and_is_read_again_on_sighup(tmp_path: Path) -> None:
    async def work() -> None:
        nodes = {n: await BinaryNode().start() for n in (1, 2)}
        path = tmp_path / "plan.toml"
        text = "[version]\nnumber = {}\n[[exchange]]\nnumber = {}\n[[prefix]]\ndigits = \"5\"\nexchange = {}\n"
        path.write_text(text.format(1, 1, 1))
        async with running_router(nodes, versions=make_settings(file=str(path))) as router:  # type: ignore[arg-type]
            sip = await SipCaller.connect(router.sip_port)
            call, _ = await place_call(sip, "51")
            assert nodes[1].request_counts[call]
            path.write_text(text.format(2, 1, 2))  # names an exchange that is not listed: refused
            router.process.send_signal(signal.SIGHUP)
            await router.wait_for_log("settings not taken over")
            assert "unknown-exchange" in router.log_path.read_text()
            path.write_text(text.format(2, 2, 2))
            router.process.send_signal(signal.SIGHUP)
            await router.wait_for_log("version=1.2")
            call, _ = await place_call(sip, "51")
            assert nodes[2].request_counts[call]
    run(work)


def test_two_hundred_versions_in_a_second_delay_no_call_of_either_front() -> None:
    async def work() -> None:
        service = await ControlService().start()
        nodes = {n: await BinaryNode().start() for n in (1, 2)}
        plans = [make_plan(*(Prefix(f"{d}{n % 10}", 1 + (n + d) % 2) for d in range(40, 60))) for n in range(201)]
        service.publish(VersionId(1, 1), plans[0])
        async with running_router(nodes, versions=make_settings(service)) as router:  # type: ignore[arg-type]
            await wait_until(lambda: "in-force" in service.reported_states(VersionId(1, 1)))
            sip, api = await SipCaller.connect(router.sip_port), await ApiCaller.connect(router.api_port)
            by_sip, by_api = [new_call_id() for _ in range(100)], [new_call_id() for _ in range(100)]
            for index in range(200):
                service.publish(VersionId(1, index + 2), plans[index + 1])
                if index % 2:
                    sip.invite(by_sip[index // 2], f"{40 + index % 20}1", 1)
                else:
                    api.set_up(by_api[index // 2], f"{40 + index % 20}1", 1)
                await asyncio.sleep(0.005)
            await wait_until(lambda: all(c in sip.final_responses for c in by_sip)
                             and all(api.final_answers(c) for c in by_api))
            await wait_until(lambda: "in-force" in service.reported_states(VersionId(1, 201)))
            assert {len(sip.final_responses[c]) for c in by_sip} | {len(api.final_answers(c)) for c in by_api} == {1}
            verdicts = {n: service.reported_states(VersionId(1, n))[0] for n in range(2, 202)}
            assert all(v == "accepted" or service.reported_reasons(VersionId(1, n)) == ["superseded"]
                       for n, v in verdicts.items())
            assert sum(n.overlaps for n in nodes.values()) == 0
        await service.stop()
    run(work)
