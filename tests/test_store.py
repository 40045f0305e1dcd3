"""Tests of the store of call records in the running program, with SQLite and with a stand-in for PostgreSQL."""

from __future__ import annotations

import asyncio
import sqlite3
import struct
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from laboratory.stand_ins import BinaryNode, SipCaller, running_router, wait_until

SIGKILL_S = 3.7  # after SIGTERM, at the earliest, on the platform

CALLS = [f"{n:016x}" for n in range(0x500, 0x508)]


class PostgresStandIn:
    """A stand-in for a PostgreSQL server: protocol 3.0, simple queries only, each of which succeeds."""

    def __init__(self, unresponsive: bool = False) -> None:
        self.unresponsive, self.port = unresponsive, 0
        self.queries: list[str] = []

    async def start(self) -> PostgresStandIn:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        def send(kind: bytes, body: bytes) -> None:
            writer.write(kind + struct.pack(">I", len(body) + 4) + body)

        if self.unresponsive:
            await reader.read()
            return
        try:
            await reader.readexactly(struct.unpack(">I", await reader.readexactly(4))[0] - 4)
            send(b"R", struct.pack(">I", 0))
            for name, value in (("server_version", "15.0"), ("client_encoding", "UTF8"),
                                ("standard_conforming_strings", "on"), ("integer_datetimes", "on"),
                                ("DateStyle", "ISO, MDY"), ("TimeZone", "UTC")):
                send(b"S", f"{name}\0{value}\0".encode())
            state = b"I"
            send(b"Z", state)
            while (kind := await reader.readexactly(1)) != b"X":
                body = await reader.readexactly(struct.unpack(">I", await reader.readexactly(4))[0] - 4)
                if kind == b"Q":
                    query = body.rstrip(b"\0").decode()
                    self.queries.append(query)
                    state = {"BEGIN": b"T", "COMMIT": b"I", "ROLLBACK": b"I"}.get(query, state)
                    send(b"C", query.split()[0].encode() + (b" 0 1\0" if "INSERT" in query else b"\0"))
                    send(b"Z", state)
        except asyncio.IncompleteReadError:
            pass


def gateway_settings(port: int) -> str:
    """The gateway file for a PostgreSQL server on this port."""
    database = f"host=127.0.0.1 port={port} user=u dbname=d sslmode=disable gssencmode=disable"
    return f'[store]\nkind = "postgresql"\ndatabase = "{database}"'


async def place_calls(port: int) -> None:
    """Place calls that are established and then released."""
    caller = await SipCaller.connect(port)
    for call in CALLS:
        caller.invite(call, "good-1", 1)
    await wait_until(lambda: set(caller.received_byes) == set(CALLS))
    assert all(len(caller.final_responses[call]) == 1 for call in CALLS)


def run(body: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run the body of a test in an event loop."""
    asyncio.run(body())


def test_sqlite_stores_the_results_of_each_call(tmp_path: Path) -> None:
    async def body() -> None:
        node = await BinaryNode().start()
        store = f'[store]\nkind = "sqlite"\ndatabase = "{tmp_path / "calls.db"}"'
        async with running_router({1: node}, gateway=store) as router:
            await place_calls(router.sip_port)
            counts = await router.stop_and_read_counters()
            assert counts["store_written"] == 2 * len(CALLS)
        rows = sqlite3.connect(tmp_path / "calls.db").execute(
            "SELECT call, event, service, number, dest, attempts, peer FROM call_records"
            " ORDER BY call, at_us")
        assert list(rows) == [(call, event, "ledger-read", "good-1", 1, 1, "s-1")
                              for call in CALLS for event in ("answered", "ended")]
    run(body)


def test_postgresql_is_written_in_transactions() -> None:
    async def body() -> None:
        node, server = await BinaryNode().start(), await PostgresStandIn().start()
        async with running_router({1: node}, gateway=gateway_settings(server.port)) as router:
            await place_calls(router.sip_port)
            counts = await router.stop_and_read_counters()
            assert counts["store_written"] == 2 * len(CALLS)
        inserts = [query for query in server.queries if query.startswith("INSERT INTO call_records")]
        assert len(inserts) == 2 * len(CALLS)
        assert all(sum(call in query for query in inserts) == 2 for call in CALLS)
        assert server.queries[0] == "BEGIN"
        assert server.queries[1].startswith("CREATE TABLE IF NOT EXISTS call_records")
        assert server.queries.count("BEGIN") == server.queries.count("COMMIT")
    run(body)


def test_a_stop_with_an_established_call_and_a_stalled_store_ends_before_sigkill() -> None:
    # Guards against docs/incidents/7: the wait for the store ended 1.5 s after SIGKILL.
    async def body() -> None:
        node, server = await BinaryNode().start(), await PostgresStandIn(unresponsive=True).start()
        async with running_router({1: node}, gateway=gateway_settings(server.port)) as router:
            caller = await SipCaller.connect(router.sip_port)
            caller.invite(CALLS[0], "long-1", 1)
            await wait_until(lambda: CALLS[0] in caller.final_responses)
            start_s = time.monotonic()
            counts = await router.stop_and_read_counters()
            assert time.monotonic() - start_s < SIGKILL_S
            assert counts["store_waiting"] == 1
    run(body)


@pytest.mark.parametrize("unresponsive", [True, False])
def test_unresponsive_or_unreachable_store_affects_no_call(unresponsive: bool) -> None:
    async def body() -> None:
        node, server = await BinaryNode().start(), await PostgresStandIn(unresponsive=True).start()
        port = server.port if unresponsive else 1  # nothing listens on port 1
        async with running_router({1: node}, gateway=gateway_settings(port)) as router:
            await place_calls(router.sip_port)
            counts = await router.stop_and_read_counters()
            assert counts["final_answered"] == len(CALLS)
            assert counts["store_written"] == 0
            assert counts["store_lost"] + counts["store_waiting"] == 2 * len(CALLS)
    run(body)
