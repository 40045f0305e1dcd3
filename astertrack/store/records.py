"""Call records, written in batches by a thread of a connection pool. A failing or slow database affects no call."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any, Protocol

import structlog
from twisted.enterprise import adbapi
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from astertrack.core.model import CallRecord

log = structlog.get_logger()
MAX_QUEUED_RECORDS = 10_000  # beyond it new records are dropped, and counted
MAX_BATCH_RECORDS = 500
RETRY_INTERVAL_S = 1.0  # wait before a failed batch is written again
MAX_WRITE_ATTEMPTS = 5  # per batch; then it is dropped, and counted

# Columns are fields of CallRecord. Those in *_us are microseconds of the Unix clock, and taken_us is when the call was
# accepted.
CREATE_TABLE = """CREATE TABLE IF NOT EXISTS call_records (
    call TEXT NOT NULL, at_us BIGINT NOT NULL, event TEXT NOT NULL, service TEXT NOT NULL,
    number TEXT NOT NULL, dest INTEGER NOT NULL, transit INTEGER NOT NULL, attempts INTEGER NOT NULL,
    peer TEXT NOT NULL, taken_us BIGINT NOT NULL DEFAULT 0, version TEXT NOT NULL DEFAULT '',
    PRIMARY KEY (call, at_us, event))"""
# Columns that were added later: tables created before lack them.
ADDED_COLUMNS = ("taken_us BIGINT NOT NULL DEFAULT 0", "version TEXT NOT NULL DEFAULT ''")
INSERT_RECORD = ("INSERT INTO call_records (call, at_us, event, service, number, dest, transit, attempts, peer, "
                 "taken_us, version) VALUES ({}) ON CONFLICT DO NOTHING")


class Store(Protocol):
    """The interface of a store for call records."""

    def record(self, record: CallRecord) -> None:
        """Queue a record; returns immediately."""

    def pending_count(self) -> int:
        """Return the number of records that have not been written."""

    def close(self) -> Deferred[None]:
        """Write the queued records; the Deferred fires when they have been written or have failed."""


class NullStore:
    """A store that discards all records."""

    def record(self, record: CallRecord) -> None:
        """Discard the record."""

    def pending_count(self) -> int:
        """Return 0, since nothing is queued."""
        return 0

    def close(self) -> Deferred[None]:
        """Return a Deferred that has already fired."""
        return succeed(None)


class SqlStore:
    """A store in SQLite or PostgreSQL, through a pool with one connection, which one batch uses at a time."""

    def __init__(self, reactor: Any, pool: Any, placeholder: str, counts: Counter[str]) -> None:
        self.reactor, self.pool, self.counts = reactor, pool, counts
        self.placeholder = placeholder
        self.insert = INSERT_RECORD.format(", ".join([placeholder] * 11))
        self.queue: deque[CallRecord] = deque()
        self.is_table_ready = self.is_writing = self.is_closing = False
        self.write_attempts = 0
        self.closed: Deferred[None] = Deferred()

    def record(self, record: CallRecord) -> None:
        """Queue a record. If the queue is full, the record is dropped and counted."""
        if len(self.queue) >= MAX_QUEUED_RECORDS:
            self.counts["store_lost"] += 1
            return
        self.queue.append(record)
        if not self.is_writing:
            self.is_writing = True
            self.reactor.callLater(0, self._write)

    def _write(self) -> None:
        batch = [self.queue[index] for index in range(min(MAX_BATCH_RECORDS, len(self.queue)))]
        if not batch:
            self._stop_writing()
            return
        deferred = self.pool.runInteraction(self._insert, batch)
        deferred.addCallbacks(self._on_written, self._on_failed, callbackArgs=(len(batch),), errbackArgs=(len(batch),))

    def _insert(self, transaction: Any, batch: list[CallRecord]) -> None:
        """Write a batch in one transaction, completely or not at all. Runs in a thread of the pool."""
        if not self.is_table_ready:
            transaction.execute(CREATE_TABLE)
            self._add_columns(transaction)
        transaction.executemany(self.insert, [
            (record.call, record.at_us, record.event, record.service, record.number, record.dest, int(record.transit),
             record.attempts, record.peer, record.taken_us, record.version) for record in batch])

    def _add_columns(self, transaction: Any) -> None:
        """Add the columns that a table created by an earlier release lacks."""
        if self.placeholder == "?":
            transaction.execute("PRAGMA table_info(call_records)")
            columns = {row[1] for row in transaction.fetchall()}
            for column in ADDED_COLUMNS:
                if column.split()[0] not in columns:
                    transaction.execute(f"ALTER TABLE call_records ADD COLUMN {column}")
        else:
            for column in ADDED_COLUMNS:
                transaction.execute(f"ALTER TABLE call_records ADD COLUMN IF NOT EXISTS {column}")

    def _on_written(self, _: object, count: int) -> None:
        self.is_table_ready, self.write_attempts = True, 0
        self.counts["store_written"] += count
        self._remove_oldest(count)
        self._write()

    def _on_failed(self, reason: Failure, count: int) -> None:
        self.write_attempts += 1
        self.counts["store_failures"] += 1
        log.warning("store failed", error=str(reason.value).strip(), waiting=len(self.queue))
        if self.write_attempts >= MAX_WRITE_ATTEMPTS or self.is_closing:
            self.write_attempts = 0
            self.counts["store_lost"] += count
            self._remove_oldest(count)
        self.reactor.callLater(0 if self.is_closing else RETRY_INTERVAL_S, self._write)

    def _remove_oldest(self, count: int) -> None:
        for _ in range(count):
            self.queue.popleft()

    def _stop_writing(self) -> None:
        self.is_writing = False
        if self.is_closing and not self.closed.called:
            self.pool.close()
            self.closed.callback(None)

    def pending_count(self) -> int:
        """Return the number of records that have not been written."""
        return len(self.queue)

    def close(self) -> Deferred[None]:
        """Write the queued records, with one attempt per batch."""
        self.is_closing = True
        if not self.is_writing:
            self._stop_writing()
        return self.closed


def make_store(kind: str, database: str, reactor: Any, counts: Counter[str]) -> Store:
    """Create the store that the gateway file configures: "off", "sqlite" or "postgresql"."""
    if kind == "off":
        return NullStore()
    pool_options = {"cp_min": 1, "cp_max": 1, "cp_reconnect": True, "cp_noisy": False, "cp_reactor": reactor}
    connect: Any = adbapi.ConnectionPool
    if kind == "sqlite":
        return SqlStore(reactor, connect("sqlite3", database, check_same_thread=False, **pool_options), "?", counts)
    return SqlStore(reactor, connect("psycopg2", database, **pool_options), "%s", counts)
