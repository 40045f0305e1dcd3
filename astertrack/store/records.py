"""Records of calls, written in batches by a pool's thread: a store that fails or is slow costs no call."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any, Protocol

import structlog
from twisted.enterprise import adbapi
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from astertrack.core.model import CallRecord

log = structlog.get_logger()
QUEUE_MOST = 10_000  # records that wait; the newest are dropped beyond that, and counted
BATCH_MOST = 500
RETRY_S = 1.0  # before a batch that failed is written again
TRIES_MOST = 5  # then it is lost, and counted

TABLE = """CREATE TABLE IF NOT EXISTS call_records (
    call TEXT NOT NULL, at_us BIGINT NOT NULL, event TEXT NOT NULL, service TEXT NOT NULL,
    number TEXT NOT NULL, dest INTEGER NOT NULL, transit INTEGER NOT NULL, attempts INTEGER NOT NULL,
    peer TEXT NOT NULL, taken_us BIGINT NOT NULL DEFAULT 0, version TEXT NOT NULL DEFAULT '',
    PRIMARY KEY (call, at_us, event))"""
# For tables that were made before these columns were.
LATER_COLUMNS = ("taken_us BIGINT NOT NULL DEFAULT 0", "version TEXT NOT NULL DEFAULT ''")
INSERT = ("INSERT INTO call_records (call, at_us, event, service, number, dest, transit, attempts, peer, taken_us, "
          "version) VALUES ({}) ON CONFLICT DO NOTHING")



class Store(Protocol):
    """Where records go."""

    def record(self, record: CallRecord) -> None:
        """Take a record; returns at once."""

    def waiting(self) -> int:
        """Return how many records are not written."""

    def close(self) -> Deferred[None]:
        """Write what waits, and fire when that is done or has failed."""


class NullStore:
    """No store."""

    def record(self, record: CallRecord) -> None:
        """Forget it."""

    def waiting(self) -> int:
        """Nothing waits."""
        return 0

    def close(self) -> Deferred[None]:
        """Nothing waits."""
        return succeed(None)


class SqlStore:
    """SQLite or PostgreSQL through a pool of one connection."""

    def __init__(self, reactor: Any, pool: Any, mark: str, counts: Counter[str]) -> None:
        self.reactor, self.pool, self.counts = reactor, pool, counts
        self.mark = mark
        self.insert = INSERT.format(", ".join([mark] * 11))
        self.queue: deque[CallRecord] = deque()
        self.made = self.busy = self.closing = False
        self.tries = 0
        self.closed: Deferred[None] = Deferred()

    def record(self, record: CallRecord) -> None:
        """Queue a record; one too many is lost, and counted."""
        if len(self.queue) >= QUEUE_MOST:
            self.counts["store_lost"] += 1
            return
        self.queue.append(record)
        if not self.busy:
            self.busy = True
            self.reactor.callLater(0, self._write)

    def _write(self) -> None:
        batch = [self.queue[at] for at in range(min(BATCH_MOST, len(self.queue)))]
        if not batch:
            self._idle()
            return
        done = self.pool.runInteraction(self._insert, batch)
        done.addCallbacks(self._written, self._failed, callbackArgs=(len(batch),), errbackArgs=(len(batch),))

    def _insert(self, transaction: Any, batch: list[CallRecord]) -> None:
        """Runs in the pool's thread, in one transaction: a batch is written whole or not at all."""
        if not self.made:
            transaction.execute(TABLE)
            self._add_columns(transaction)
        transaction.executemany(self.insert, [
            (r.call, r.at_us, r.event, r.service, r.number, r.dest, int(r.transit), r.attempts, r.peer,
             r.taken_us, r.version) for r in batch])

    def _add_columns(self, transaction: Any) -> None:
        """Bring a table of an earlier release up to date."""
        if self.mark == "?":
            transaction.execute("PRAGMA table_info(call_records)")
            there = {row[1] for row in transaction.fetchall()}
            for column in LATER_COLUMNS:
                if column.split()[0] not in there:
                    transaction.execute(f"ALTER TABLE call_records ADD COLUMN {column}")
        else:
            for column in LATER_COLUMNS:
                transaction.execute(f"ALTER TABLE call_records ADD COLUMN IF NOT EXISTS {column}")

    def _written(self, _: object, count: int) -> None:
        self.made, self.tries = True, 0
        self.counts["store_written"] += count
        self._forget(count)
        self._write()

    def _failed(self, reason: Failure, count: int) -> None:
        self.tries += 1
        self.counts["store_failures"] += 1
        log.warning("store failed", error=str(reason.value).strip(), waiting=len(self.queue))
        if self.tries >= TRIES_MOST or self.closing:
            self.tries = 0
            self.counts["store_lost"] += count
            self._forget(count)
        self.reactor.callLater(0 if self.closing else RETRY_S, self._write)

    def _forget(self, count: int) -> None:
        for _ in range(count):
            self.queue.popleft()

    def _idle(self) -> None:
        self.busy = False
        if self.closing and not self.closed.called:
            self.pool.close()
            self.closed.callback(None)

    def waiting(self) -> int:
        """Return how many records are not written."""
        return len(self.queue)

    def close(self) -> Deferred[None]:
        """Write what waits, each batch tried once."""
        self.closing = True
        if not self.busy:
            self._idle()
        return self.closed


def make_store(kind: str, database: str, reactor: Any, counts: Counter[str]) -> Store:
    """Make the store that the gateway's file names."""
    if kind == "off":
        return NullStore()
    one = {"cp_min": 1, "cp_max": 1, "cp_reconnect": True, "cp_noisy": False, "cp_reactor": reactor}
    connect: Any = adbapi.ConnectionPool
    if kind == "sqlite":
        return SqlStore(reactor, connect("sqlite3", database, check_same_thread=False, **one), "?", counts)
    return SqlStore(reactor, connect("psycopg2", database, **one), "%s", counts)
