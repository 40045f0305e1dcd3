"""The store of record, behind the started program: SQLite, and PostgreSQL against a stand-in."""

from __future__ import annotations

import asyncio
import sqlite3
import struct
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from laboratory.stand_ins import BinaryNode, SipCaller, program, until

CALLS = [f"{n:016x}" for n in range(0x500, 0x508)]


class Postgres:
    """A stand-in for a PostgreSQL server: protocol 3.0, simple queries, each one said to have worked."""

    def __init__(self, silent: bool = False) -> None:
        self.silent, self.port = silent, 0
        self.queries: list[str] = []

    async def start(self) -> Postgres:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        def say(kind: bytes, body: bytes) -> None:
            writer.write(kind + struct.pack(">I", len(body) + 4) + body)

        if self.silent:
            await reader.read()
            return
        try:
            await reader.readexactly(struct.unpack(">I", await reader.readexactly(4))[0] - 4)
            say(b"R", struct.pack(">I", 0))
            for name, value in (("server_version", "15.0"), ("client_encoding", "UTF8"),
                                ("standard_conforming_strings", "on"), ("integer_datetimes", "on"),
                                ("DateStyle", "ISO, MDY"), ("TimeZone", "UTC")):
                say(b"S", f"{name}\0{value}\0".encode())
            state = b"I"
            say(b"Z", state)
            while (kind := await reader.readexactly(1)) != b"X":
                body = await reader.readexactly(struct.unpack(">I", await reader.readexactly(4))[0] - 4)
                if kind == b"Q":
                    query = body.rstrip(b"\0").decode()
                    self.queries.append(query)
                    state = {"BEGIN": b"T", "COMMIT": b"I", "ROLLBACK": b"I"}.get(query, state)
                    say(b"C", query.split()[0].encode() + (b" 0 1\0" if "INSERT" in query else b"\0"))
                    say(b"Z", state)
        except asyncio.IncompleteReadError:
            pass


def postgresql(port: int) -> str:
    """The gateway's file for a server here."""
    where = f"host=127.0.0.1 port={port} user=u dbname=d sslmode=disable gssencmode=disable"
    return f'[store]\nkind = "postgresql"\ndatabase = "{where}"'


async def place(port: int) -> None:
    """Place calls that stand and end."""
    caller = await SipCaller.connect(port)
    for call in CALLS:
        caller.invite(call, "good-1", 1)
    await until(lambda: set(caller.byes) == set(CALLS))
    assert all(len(caller.finals[call]) == 1 for call in CALLS)


def run(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test's body."""
    asyncio.run(work())


def test_sqlite_keeps_what_became_of_each_call(tmp_path: Path) -> None:
    async def work() -> None:
        node = await BinaryNode().start()
        store = f'[store]\nkind = "sqlite"\ndatabase = "{tmp_path / "calls.db"}"'
        async with program({1: node}, gateway=store) as router:
            await place(router.port)
            counts = await router.counts()
            assert counts["store_written"] == 2 * len(CALLS)
        rows = sqlite3.connect(tmp_path / "calls.db").execute(
            "SELECT call, event, service, number, dest, attempts, peer FROM call_records"
            " ORDER BY call, at_us")
        assert list(rows) == [(call, event, "ledger-read", "good-1", 1, 1, "s-1")
                              for call in CALLS for event in ("answered", "ended")]
    run(work)


def test_postgresql_is_written_to_in_transactions() -> None:
    async def work() -> None:
        node, server = await BinaryNode().start(), await Postgres().start()
        async with program({1: node}, gateway=postgresql(server.port)) as router:
            await place(router.port)
            counts = await router.counts()
            assert counts["store_written"] == 2 * len(CALLS)
        inserts = [q for q in server.queries if q.startswith("INSERT INTO call_records")]
        assert len(inserts) == 2 * len(CALLS)
        assert all(sum(call in q for q in inserts) == 2 for call in CALLS)
        assert server.queries[0] == "BEGIN"
        assert server.queries[1].startswith("CREATE TABLE IF NOT EXISTS call_records")
        assert server.queries.count("BEGIN") == server.queries.count("COMMIT")
    run(work)


@pytest.mark.parametrize("silent", [True, False])
def test_a_store_that_hangs_or_refuses_costs_no_call(silent: bool) -> None:
    async def work() -> None:
        node, server = await BinaryNode().start(), await Postgres(silent=True).start()
        port = server.port if silent else 1
        async with program({1: node}, gateway=postgresql(port)) as router:
            await place(router.port)
            counts = await router.counts()
            assert counts["final_answered"] == len(CALLS)
            assert counts["store_written"] == 0
            assert counts["store_lost"] + counts["store_waiting"] == 2 * len(CALLS)
    run(work)
