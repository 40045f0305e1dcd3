"""The bulletin, read by the started program from a stand-in server over server-sent events."""

from __future__ import annotations

import asyncio
import json

from astertrack.net.bulletin import RECONNECT_INTERVAL_US, UNRESPONSIVE_TIMEOUT_US, read_event
from laboratory.bulletin import BulletinServer, make_endpoint
from laboratory.stand_ins import BinaryNode, Node, SipCaller, running_router, wait_until


async def place_call(caller: SipCaller, call: str, number: str, dest: int) -> int:
    """Place a call and return its final status."""
    caller.invite(call, number, dest, 1500)
    await wait_until(lambda: call in caller.final_responses)
    return caller.final_responses[call][0].status


def test_peers_are_added_drained_and_removed_by_bulletin_events_and_an_address_is_reused() -> None:
    async def work() -> None:
        bulletin = await BulletinServer().start()
        nodes: dict[int, Node] = {1: await BinaryNode().start()}
        other = await BinaryNode().start()
        async with running_router(nodes, bulletin=bulletin.address) as router:
            caller = await SipCaller.connect(router.sip_port)
            await wait_until(lambda: bulletin.writers)
            assert bulletin.last_event_ids == ["1"]
            assert await place_call(caller, "a" * 16, "good", 2) == 503  # no peer has number 2 yet
            bulletin.publish(make_endpoint("s-2", 2, other.address))
            await wait_until(lambda: other.writers)  # the router connects, to receive the state of the group
            assert await place_call(caller, "b" * 16, "long", 2) == 200
            bulletin.close_connections()
            # Published while the router is not connected.
            bulletin.publish(make_endpoint("s-2", 2, other.address, "terminating"))
            await wait_until(lambda: bulletin.writers)
            assert bulletin.last_event_ids == ["1", "2"]
            await wait_until(lambda: "state=draining" in router.log_path.read_text())
            assert await place_call(caller, "c" * 16, "good", 2) == 503
            assert other.request_counts["c" * 16] == 0
            assert "b" * 16 not in caller.received_byes  # an established call through a draining peer goes on
            bulletin.publish(make_endpoint("s-2", 2, other.address, "terminated"))
            await wait_until(lambda: "b" * 16 in caller.received_byes)
            bulletin.publish(make_endpoint("s-9", 3, other.address))  # a new machine at the same address
            await wait_until(lambda: "name=s-9" in router.log_path.read_text())
            assert await place_call(caller, "d" * 16, "good", 3) == 200
            assert other.request_counts["d" * 16] == 1
        other.stop()
    asyncio.run(work())


def test_after_a_malformed_event_the_events_are_requested_again_and_the_valid_ones_count() -> None:
    async def work() -> None:
        bulletin = await BulletinServer().start()
        other = await BinaryNode().start()
        async with running_router({1: await BinaryNode().start()}, bulletin=bulletin.address) as router:
            await wait_until(lambda: bulletin.writers)
            for writer in bulletin.writers:
                writer.write(b"id: 2\ndata: [\n\nid: 3\ndata: {\"no\":3,\"roster\":{\"endpoints\":[5]}}\n\n")
            bulletin.publish(make_endpoint("s-2", 2, other.address))
            await wait_until(lambda: other.writers)
            caller = await SipCaller.connect(router.sip_port)
            assert await place_call(caller, "e" * 16, "good", 2) == 200
            # The first malformed event drops the connection, and what follows event 1 is requested again. The second
            # one arrived on the dropped connection and is ignored.
            assert bulletin.last_event_ids[:2] == ["1", "1"]
            assert (await router.stop_and_read_counters())["bulletin_malformed"] == 1
        other.stop()
    asyncio.run(work())


def test_a_new_configuration_changes_the_bulletin_address_and_an_invalid_one_changes_nothing() -> None:
    async def work() -> None:
        old, new, other = await BulletinServer().start(), await BulletinServer().start(), await BinaryNode().start()
        async with running_router({1: await BinaryNode().start()}, bulletin=old.address) as router:
            caller = await SipCaller.connect(router.sip_port)
            await wait_until(lambda: old.writers)
            old.publish(make_endpoint("s-2", 2, other.address))
            await router.wait_for_log("name=s-2")
            assert await place_call(caller, "a" * 16, "long", 1) == 200
            invalid = ("{", '{"bulletin": 5}', "[]", '{"bulletin": "127.0.0.1:x"}', '{"settings": {}}')
            for index, text in enumerate(invalid):
                router.reload_config(text)
                await router.wait_for_log("configuration not taken over", index + 1)
            new.events = [*old.events]  # the numbers continue
            new.publish(make_endpoint("s-2", 2, other.address, "terminating"))
            router.reload_config(json.dumps({"bulletin": new.address}))
            await wait_until(lambda: new.last_event_ids == ["2"])
            await router.wait_for_log("state=draining")
            assert await place_call(caller, "b" * 16, "good", 1) == 200  # known peers are kept
            assert "a" * 16 not in caller.received_byes  # and so are established calls
            caller.send_request("BYE", "a" * 16)
            counts = await router.stop_and_read_counters()
            assert (counts["reloads"], counts["reloads_failed"], counts["calls_cut"]) == (1, len(invalid), 0)
        other.stop()
    asyncio.run(work())


def test_a_router_reconnects_to_an_unresponsive_bulletin_within_the_time_allowed() -> None:
    assert UNRESPONSIVE_TIMEOUT_US + RECONNECT_INTERVAL_US < 3_000_000  # 4 s are allowed, including a dial


def test_an_event_is_parsed_into_entries() -> None:
    raw = {"no": 41, "roster": {"index": 7, "snapshot": False, "endpoints": [
        {**make_endpoint("s-00c41f7a", 2, "127.0.0.1:3868", "terminating"), "since_ms": 1700000000000}]}}
    number, complete, (entry,) = read_event(raw, ["casablanca", "fes"], ["small-node"])
    assert (number, complete, entry.address) == (41, False, "127.0.0.1:3868")
    assert (entry.entry.zone, entry.entry.number) == (1, 2)
    assert entry.entry.readiness.value == "draining"
    assert entry.entry.started_us == 1700000000000000
