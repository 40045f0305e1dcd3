"""The bulletin, read by the started program from a stand-in over server-sent events."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from astertrack.net.bulletin import REDIAL_INTERVAL_US, UNRESPONSIVE_TIMEOUT_US, read_event
from laboratory.stand_ins import BinaryNode, Node, SipCaller, program, until


class Board:
    """A stand-in bulletin. It ends a connection when told to, as real ones do."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.asked: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def start(self) -> Board:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request with the events that it has not had."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        last = next(line.split(": ")[1] for line in head.split("\r\n") if line.startswith("Last-Event-ID"))
        self.asked.append(last)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
        for event in self.events:
            if event["no"] > int(last):
                self.write(writer, event)
        self.writers.append(writer)

    @staticmethod
    def write(writer: asyncio.StreamWriter, event: dict[str, Any]) -> None:
        """Write one event."""
        writer.write(f"id: {event['no']}\ndata: {json.dumps(event)}\n\n".encode())

    def tell(self, *endpoints: dict[str, Any], snapshot: bool = False) -> None:
        """Tell all who listen."""
        no = 2 + len(self.events)
        self.events.append({"no": no, "roster": {
            "index": no, "snapshot": snapshot, "endpoints": list(endpoints)}})
        for writer in self.writers:
            self.write(writer, self.events[-1])

    def hang_up(self) -> None:
        """End all connections."""
        for writer in self.writers:
            writer.close()
        self.writers.clear()


def endpoint(name: str, number: int, address: str, status: str = "in_service") -> dict[str, Any]:
    """An entry of the list."""
    return {"name": name, "address": address, "zone": "fes", "type": "small-node", "group": number,
            "status": status, "weight": 1, "since_ms": 0}


async def outcome(caller: SipCaller, call: str, number: str, dest: int) -> int:
    """Place a call; return its final status."""
    caller.invite(call, number, dest, 1500)
    await until(lambda: call in caller.finals)
    return caller.finals[call][0].status


def test_peers_come_drain_and_go_as_the_bulletin_tells_and_an_address_is_used_again() -> None:
    async def work() -> None:
        board = await Board().start()
        nodes: dict[int, Node] = {1: await BinaryNode().start()}
        other = await BinaryNode().start()
        async with program(nodes, bulletin=board.address) as router:
            caller = await SipCaller.connect(router.port)
            await until(lambda: board.writers)
            assert board.asked == ["1"]
            assert await outcome(caller, "a" * 16, "good", 2) == 503  # not in the list
            board.tell(endpoint("s-2", 2, other.address))
            await until(lambda: other.writers)  # it is connected to, to hear of the group
            assert await outcome(caller, "b" * 16, "long", 2) == 200
            board.hang_up()
            board.tell(endpoint("s-2", 2, other.address, "terminating"))  # told while nobody listens
            await until(lambda: board.writers)
            assert board.asked == ["1", "2"]
            await until(lambda: "state=draining" in router.log.read_text())
            assert await outcome(caller, "c" * 16, "good", 2) == 503
            assert other.seen["c" * 16] == 0
            assert "b" * 16 not in caller.byes  # a call through a peer that drains goes on
            board.tell(endpoint("s-2", 2, other.address, "terminated"))
            await until(lambda: "b" * 16 in caller.byes)
            board.tell(endpoint("s-9", 3, other.address))  # a new machine at the same address
            await until(lambda: "name=s-9" in router.log.read_text())
            assert await outcome(caller, "d" * 16, "good", 3) == 200
            assert other.seen["d" * 16] == 1
        other.stop()
    asyncio.run(work())


def test_events_that_cannot_be_read_are_passed_over() -> None:
    async def work() -> None:
        board = await Board().start()
        other = await BinaryNode().start()
        async with program({1: await BinaryNode().start()}, bulletin=board.address) as router:
            await until(lambda: board.writers)
            for writer in board.writers:
                writer.write(b"id: 2\ndata: [\n\nid: 3\ndata: {\"no\":3,\"roster\":{\"endpoints\":[5]}}\n\n")
            board.tell(endpoint("s-2", 2, other.address))
            await until(lambda: other.writers)
            caller = await SipCaller.connect(router.port)
            assert await outcome(caller, "e" * 16, "good", 2) == 200
            # The first is asked for again, once; what stays unreadable is passed over.
            assert board.asked[:2] == ["1", "1"]
            assert (await router.counts())["bulletin_malformed"] == 1
        other.stop()
    asyncio.run(work())


def test_a_new_configuration_moves_the_bulletin_and_a_bad_one_changes_nothing() -> None:
    async def work() -> None:
        old, new, other = await Board().start(), await Board().start(), await BinaryNode().start()
        async with program({1: await BinaryNode().start()}, bulletin=old.address) as router:
            caller = await SipCaller.connect(router.port)
            await until(lambda: old.writers)
            old.tell(endpoint("s-2", 2, other.address))
            await router.logged("name=s-2")
            assert await outcome(caller, "a" * 16, "long", 1) == 200
            bad = ("{", '{"bulletin": 5}', "[]", '{"bulletin": "127.0.0.1:x"}', '{"settings": {}}')
            for at, text in enumerate(bad):
                router.reload(text)
                await router.logged("configuration not taken over", at + 1)
            new.events = [*old.events]  # the numbers continue
            new.tell(endpoint("s-2", 2, other.address, "terminating"))
            router.reload(json.dumps({"bulletin": new.address}))
            await until(lambda: new.asked == ["2"])
            await router.logged("state=draining")
            assert await outcome(caller, "b" * 16, "good", 1) == 200  # known peers stay
            assert "a" * 16 not in caller.byes  # and so do calls that stand
            caller.ask("BYE", "a" * 16)
            counts = await router.counts()
            assert (counts["reloads"], counts["reloads_failed"], counts["calls_cut"]) == (1, len(bad), 0)
        other.stop()
    asyncio.run(work())


def test_a_bulletin_that_falls_silent_is_asked_again_before_what_it_told_counts() -> None:
    assert UNRESPONSIVE_TIMEOUT_US + REDIAL_INTERVAL_US < 3_000_000  # of the 4 s allowed, with room for a dial


def test_an_event_is_read_into_entries() -> None:
    raw = {"no": 41, "roster": {"index": 7, "snapshot": False, "endpoints": [
        {**endpoint("s-00c41f7a", 2, "127.0.0.1:3868", "terminating"), "since_ms": 1700000000000}]}}
    number, complete, (entry,) = read_event(raw, ["casablanca", "fes"], ["small-node"])
    assert (number, complete, entry.address) == (41, False, "127.0.0.1:3868")
    assert (entry.entry.zone, entry.entry.number) == (1, 2)
    assert entry.entry.readiness.value == "draining"
    assert entry.entry.started_us == 1700000000000000
