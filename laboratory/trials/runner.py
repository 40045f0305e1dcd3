"""Runs one trial: real processes of the router between stand-in clients, exchanges and discovery, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import random
import signal
import sqlite3
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from laboratory.bulletin import BulletinServer, make_endpoint
from laboratory.load import RemoteNode
from laboratory.stand_ins import ROOT, SETTINGS, Node, RouterInstallation, RouterProcess
from laboratory.trials.clients import RESEND_WINDOW_S, ApiClient, Client, SipClient, connect
from laboratory.trials.exchanges import Exchange, Mode
from laboratory.trials.records import DrainRecord, ProcessRecord, SetUpRecord, TrialRecord
from laboratory.trials.schedule import Action, Event, Stop, Trial

SERVICES = ("ledger-read", "declaration-save")
WARM_UP_S = 0.3  # until the router is connected to its exchanges
RECONNECT_INTERVAL_S = 0.02
COMMENT_INTERVAL_S = 1.0
LAG_INTERVAL_S = 0.005
SETTLING_INTERVAL_S = 0.5  # between the set-ups of a connection at the end of a trial
RELEASE_LIMIT_S = 8.1
EARLY_GIVE_UP_S = 0.15
FLOOD_BYTES, FLOOD_BATCH = 3_000_000, 200
UNTOLD_LIMIT_S = 6.0  # after a failed call to discovery a change counts as told at the latest after this time
GARBAGE = (b"\x00\xff\r\n\r\n", b"INVITE sip:1@net SIP/2.0\r\nContent-Length: 99999999\r\n\r\n",
           b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\n")


def make_settings(waits_s: tuple[float, ...]) -> dict[str, Any]:
    """Return the settings of a router whose classes have these deadlines."""
    settings: dict[str, Any] = copy.deepcopy(dict(SETTINGS))
    for service, wait_s in zip(settings["services"], waits_s, strict=True):
        service["deadlineUs"] = round(wait_s * 1e6)
        service["onTimeUs"] = min(service["onTimeUs"], service["deadlineUs"])
    return settings


class SilentBulletin(BulletinServer):
    """A stand-in for discovery that can fall silent or be down."""

    is_silent = False
    server: asyncio.Server | None = None

    async def start(self) -> SilentBulletin:
        """Listen on a free port, or again on the one that it had."""
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to a request, unless silent."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            if self.is_silent:
                self.writers.append(writer)
                await reader.read()
            else:
                await super().serve(reader, writer)
                await self._send_comments(writer)

    async def _send_comments(self, writer: asyncio.StreamWriter) -> None:
        """Send a comment every second, as the platform's bulletin does, unless silent."""
        while not writer.is_closing():
            await asyncio.sleep(COMMENT_INTERVAL_S)
            if not self.is_silent:
                writer.write(b": hello\n\n")

    def publish(self, *endpoints: dict[str, Any], snapshot: bool = False) -> None:
        """Note an event, and send it unless silent."""
        writers = self.writers
        if self.is_silent:
            self.writers = []
        super().publish(*endpoints, snapshot=snapshot)
        self.writers = writers

    def stop(self) -> None:
        """Stop listening, and close the connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.close_connections()


class TrialRunner:
    """One run of a trial."""

    def __init__(self, trial: Trial, folder: Path, source: Path = ROOT) -> None:
        self.trial, self.folder, self.source = trial, folder, source
        self.rng = random.Random(trial.seed)
        self.record = TrialRecord(time.time(), trial.longest_wait_s)
        self.exchanges = [Exchange(f"s-{n}", random.Random(trial.seed * 100 + n), self.record.attempts)
                          for n in range(1, trial.exchanges + 1)]
        self.bulletin = SilentBulletin()
        self.installations: list[RouterInstallation] = []
        self.processes: dict[int, tuple[RouterProcess, ProcessRecord]] = {}  # by router, the running ones
        self.clients: list[Client] = []
        self.by_call: dict[str, SetUpRecord] = {}
        self.is_over = self.is_settling = False
        self.quiet_routers: set[int] = set()  # to which clients send nothing more
        self.call_count = 0
        self.since_ms: dict[int, int] = {}  # by exchange: the start of its present process, if it is not the first
        self.tasks: list[asyncio.Task[None]] = []

    async def _measure_lag(self) -> None:
        """Note how long the stand-ins, which share one event loop, are kept from noticing anything."""
        while not self.is_over:
            due_s = time.monotonic() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.record.longest_lag_s = max(self.record.longest_lag_s, time.monotonic() - due_s)

    async def run(self) -> TrialRecord:
        """Run the trial, and return what was seen."""
        self._spawn(self._measure_lag())
        try:
            await self._start()
            await self._load()
            await self._settle()
        finally:
            self.is_over = True
            self.record.ended_s = time.time()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            for process, _ in list(self.processes.values()):
                await process.kill()
            for client in self.clients:
                client.discard()
            for exchange in self.exchanges:
                exchange.stop()
            self.bulletin.stop()
        return self.record

    # ---- the routers

    async def _start(self) -> None:
        await asyncio.gather(*(exchange.start() for exchange in self.exchanges))
        await self.bulletin.start()
        nodes: dict[int, Node] = {n: RemoteNode(e.address) for n, e in enumerate(self.exchanges, 1)}
        last = self._install(self.trial.routers - 1, nodes, {})
        if self.trial.routers > 1:
            far: dict[int, Node] = {n: RemoteNode(f"127.0.0.1:{last.api_port}") for n in nodes}
            self._install(0, {}, far)
        for router in reversed(range(self.trial.routers)):
            await self._start_router(router)
        await asyncio.sleep(WARM_UP_S)

    def _install(self, router: int, nodes: dict[int, Node], destinations: dict[int, Node]) -> RouterInstallation:
        folder = self.folder / f"router-{router}"
        folder.mkdir()
        gateway = (f'[store]\nkind = "sqlite"\ndatabase = "{folder / "calls.db"}"' if self.trial.has_store else "")
        installation = RouterInstallation(
            folder, nodes, destinations, gateway, self.bulletin.address if nodes else "", name=f"n{router}",
            source=self.source, settings=make_settings(self.trial.waits_s))
        self.installations.insert(0, installation)
        return installation

    async def _start_router(self, router: int) -> None:
        installation = self.installations[router]
        self._update_known(installation)
        record = ProcessRecord(router, time.time())
        self.record.processes.append(record)
        process = await installation.start()
        self.processes[router] = process, record
        await installation.wait_until_serving(process)
        record.ready_s = time.time()

    def _update_known(self, installation: RouterInstallation) -> None:
        """Put the events of discovery so far into the configuration, as the platform does at every start."""
        path = installation.folder / "config.json"
        config = json.loads(path.read_text())
        if config["bulletin"]:
            first = config["known"]["items"][0]
            config["known"] = {"no": 1 + len(self.bulletin.events), "items": [first, *self.bulletin.events]}
            path.write_text(json.dumps(config))

    async def _stop(self, stop: Stop) -> None:
        """Send the signals of a shutdown, SIGKILL at its earliest time, and start a new process."""
        if stop.router not in self.processes:
            return
        process, record = self.processes[stop.router]
        if self.trial.is_flooded:
            await self._flood(stop.router)
        record.term_s = time.time()
        record.kill_due_s = record.term_s + self.trial.kill_after_s
        self._signal(process, signal.SIGTERM)
        if self.trial.clients_stop_s is not None:
            asyncio.get_running_loop().call_later(self.trial.clients_stop_s, self._quieten, stop.router)
        for number in stop.further_signals:
            await asyncio.sleep(self.rng.uniform(0.02, 0.15))
            self._signal(process, number)
        try:
            await asyncio.wait_for(process.process.wait(), record.kill_due_s - time.time())
        except TimeoutError:
            await process.kill()
        record.ended_s, record.exit_code = time.time(), process.process.returncode
        record.was_killed = record.exit_code == -signal.SIGKILL
        self._collect(process, record)
        if stop.restart_after_s is not None and not self.is_over:
            await asyncio.sleep(stop.restart_after_s)
            await self._start_router(stop.router)
        else:
            del self.processes[stop.router]

    @staticmethod
    def _signal(process: RouterProcess, number: signal.Signals) -> None:
        """Signal a process. Popen.send_signal would reap one that has just ended, and asyncio lose its exit code."""
        if process.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.process.pid, number)

    def _quieten(self, router: int) -> None:
        self.quiet_routers.add(router)

    def _collect(self, process: RouterProcess, record: ProcessRecord) -> None:
        """Read the counters and the call records of a process that has ended."""
        text = process.log_path.read_text()
        process.log_path.with_name(f"log-{round(record.started_s * 1000)}").write_text(text)
        for line in text.splitlines():
            if line.startswith("counters "):
                record.counters = {name: int(value) for name, _, value in (
                    word.partition("=") for word in line.split()[1:])}
        database = process.log_path.with_name("calls.db")
        has_stalled = any(event.action is Action.STALL_STORE for event in self.trial.events)
        if self.trial.has_store and not has_stalled and database.exists():
            with contextlib.closing(sqlite3.connect(database)) as connection:
                rows = connection.execute(
                    "SELECT call FROM call_records WHERE event IN ('answered', 'refused', 'failed')")
                record.recorded_calls = {row[0] for row in rows}

    # ---- the load

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def _load(self) -> None:
        trial = self.trial
        for index in range(trial.connections):
            self._spawn(self._use_connection(index))
        for _ in range(trial.crowd):
            self._spawn(self._join_crowd())
        if trial.newcomer_interval_s:
            self._spawn(self._send_newcomers())
        if trial.bad_client_interval_s:
            self._spawn(self._send_bad_clients())
        stops = [asyncio.get_running_loop().create_task(self._stop_at(stop)) for stop in trial.stops]
        for event in trial.events:
            self._spawn(self._carry_out_at(event))
        await asyncio.sleep(trial.length_s)
        await asyncio.gather(*stops)
        for process, _ in self.processes.values():
            assert process.process.returncode is None, process.log_path.read_text()

    async def _stop_at(self, stop: Stop) -> None:
        await asyncio.sleep(stop.at_s)
        await self._stop(stop)

    async def _carry_out_at(self, event: Event) -> None:
        await asyncio.sleep(event.at_s)
        await self._carry_out(event)

    def _new_client(self, router: int, is_api: bool) -> Client:
        kind: type[SipClient | ApiClient] = ApiClient if is_api else SipClient
        return kind(router, self._on_client_ended, self._on_released)

    async def _connect(self, router: int, is_api: bool) -> Client | None:
        installation = self.installations[router]
        client = await connect(lambda: self._new_client(router, is_api),
                               installation.api_port if is_api else installation.sip_port)
        if client is not None:
            self.clients.append(client)
        return client

    def _new_set_up(self) -> tuple[SetUpRecord, int]:
        """Return a new set-up, and the number of its exchange."""
        self.call_count += 1
        index = self.rng.randrange(len(SERVICES))
        record = SetUpRecord(f"{self.call_count:016x}", SERVICES[index], self.trial.waits_s[index])
        self.record.set_ups.append(record)
        self.by_call[record.call] = record
        return record, self.rng.randrange(len(self.exchanges)) + 1

    def _on_released(self, call: str) -> None:
        if (record := self.by_call.get(call)) is not None:
            record.release_times_s.append(time.time())

    def _on_client_ended(self, client: Client) -> None:
        """Send once more what crossed the close of its connection."""
        crossed = [r for r in client.open_set_ups if r.written_s is not None
                   and r.written_s >= time.time() - RESEND_WINDOW_S]
        if crossed and not self.is_over:
            self._spawn(self._send_again(client, crossed))

    async def _send_again(self, client: Client, crossed: list[SetUpRecord]) -> None:
        other = await self._connect(client.router, client.front == "api")
        if other is not None:
            for _ in crossed:
                other.set_up(*self._new_set_up())

    def _is_quiet(self, router: int) -> bool:
        return router in self.quiet_routers

    async def _use_connection(self, index: int) -> None:
        """Send set-ups on one connection at a time, until the trial is over."""
        trial = self.trial
        is_api = index < trial.connections * trial.api_ratio
        router = index % trial.routers if is_api else 0
        interval_s = trial.connections / trial.rate_per_s
        client: Client | None = None
        await asyncio.sleep(index * interval_s / trial.connections)
        is_first = True
        while not self.is_over:
            if client is None or client.is_ended:
                if not is_first and not trial.comes_again and trial.stops:
                    return
                client = await self._connect(router, is_api)
                if client is None:
                    await asyncio.sleep(RECONNECT_INTERVAL_S)
                    continue
                is_first = False
                self._resume_calls(client)
            if not self._is_quiet(router):
                self._send_one(client)
            await asyncio.sleep(SETTLING_INTERVAL_S if self.is_settling else interval_s)

    def _resume_calls(self, client: Client) -> None:
        """A client of the API asks for its calls again when it has connected anew."""
        if isinstance(client, ApiClient):
            for record in self.record.set_ups[-2000:]:
                if (record.front == "api" and record.router == client.router and record.is_served
                        and not record.release_times_s):
                    client.resume(record.call)

    def _send_one(self, client: Client) -> None:
        record, dest = self._new_set_up()
        trial, rng = self.trial, self.rng
        client.set_up(record, dest, rng.random() < trial.piece_ratio)
        loop = asyncio.get_running_loop()
        if rng.random() < trial.cancel_ratio:
            loop.call_later(rng.uniform(0, EARLY_GIVE_UP_S), client.give_up, record.call)
        if rng.random() < trial.leave_ratio:
            loop.call_later(rng.uniform(0, EARLY_GIVE_UP_S), client.leave)

    async def _join_crowd(self) -> None:
        """Hold a connection, and send a set-up now and then."""
        client: Client | None = None
        while not self.is_over:
            if client is None or client.is_ended:
                client = await self._connect(0, False)
            if client is not None and not self.is_settling and not self._is_quiet(0):
                self._send_one(client)
            await asyncio.sleep(self.rng.uniform(0.2, 3.0))

    async def _send_newcomers(self) -> None:
        """Connect, and write a set-up at once."""
        while not self.is_settling:
            client = await self._connect(0, False)
            if client is not None:
                record, dest = self._new_set_up()
                client.set_up(record, dest)
            await asyncio.sleep(self.trial.newcomer_interval_s)

    async def _flood(self, router: int) -> None:
        """Fill one connection with set-ups, more than the router reads at once."""
        client = await self._connect(router, False)
        while client is not None and not client.is_ended and client.written_bytes < FLOOD_BYTES:
            for _ in range(FLOOD_BATCH):
                record, dest = self._new_set_up()
                record.is_over_rate = True
                client.set_up(record, dest)
            await asyncio.sleep(0)  # for the event loop to write
            if client.unwritten_bytes:
                break

    async def _send_bad_clients(self) -> None:
        """Connect, send what no client should, and leave."""
        while not self.is_over:
            port = self.rng.choice((self.installations[0].sip_port, self.installations[0].api_port))
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(self.rng.choice(GARBAGE))
                await asyncio.sleep(self.rng.uniform(0, 0.1))
                writer.transport.abort()
            await asyncio.sleep(self.trial.bad_client_interval_s)

    # ---- events

    async def _carry_out(self, event: Event) -> None:
        exchange = self.exchanges[event.exchange]
        match event.action:
            case Action.MODE:
                exchange.set_mode(event.mode)
                await self._after(event.for_s, lambda: exchange.set_mode(Mode.QUICK))
            case Action.REPLACE:
                await exchange.die()
                await asyncio.sleep(event.for_s)
                await self._start_anew(event.exchange)
            case Action.VANISH:
                exchange.set_mode(Mode.FROZEN)
                await asyncio.sleep(event.for_s)
                await exchange.die()
                exchange.set_mode(Mode.QUICK)
                await self._start_anew(event.exchange)
            case Action.DRAIN:
                await self._drain(event, exchange)
            case Action.DISCOVERY_SILENT:
                self.bulletin.is_silent = True
                await asyncio.sleep(event.for_s)
                self.bulletin.is_silent = False
                self.bulletin.close_connections()
            case Action.DISCOVERY_DOWN:
                self.bulletin.stop()
                await asyncio.sleep(event.for_s)
                await self.bulletin.start()
            case Action.RELOAD:
                await self._reload()
            case Action.STALL_STORE:
                await self._stall_store(event.for_s)
            case Action.CUT_CALLS:
                exchange.cut_calls()

    async def _start_anew(self, index: int) -> None:
        """Start another process of an exchange, and announce it."""
        exchange = self.exchanges[index]
        await exchange.start(exchange.port)
        self.since_ms[index] = round(time.time() * 1000)
        self.bulletin.publish(self._endpoint(index))

    def _endpoint(self, index: int, status: str = "in_service") -> dict[str, Any]:
        exchange = self.exchanges[index]
        return make_endpoint(exchange.name, index + 1, exchange.address, status, self.since_ms.get(index, 0))

    @staticmethod
    async def _after(delay_s: float, action: Callable[[], None]) -> None:
        if delay_s:
            await asyncio.sleep(delay_s)
            action()

    async def _drain(self, event: Event, exchange: Exchange) -> None:
        now = time.time()
        is_heard = not self.bulletin.is_silent and self.bulletin.server is not None
        drain = DrainRecord(exchange.name, now if is_heard else now + UNTOLD_LIMIT_S)
        self.record.drains.append(drain)
        self.bulletin.publish(self._endpoint(event.exchange, "terminating"))
        await asyncio.sleep(event.for_s)
        drain.until_s = time.time()
        self.bulletin.publish(self._endpoint(event.exchange))

    async def _reload(self) -> None:
        """Move discovery to another port, and send SIGHUP."""
        router = self.trial.routers - 1
        old, self.bulletin = self.bulletin, SilentBulletin()
        self.bulletin.events = old.events
        await self.bulletin.start()
        installation = self.installations[router]
        config = json.loads((installation.folder / "config.json").read_text())
        text = json.dumps(config | {"bulletin": self.bulletin.address})
        (installation.folder / "config.new").write_text(text)
        (installation.folder / "config.new").replace(installation.folder / "config.json")
        # Until the interpreter runs the program, SIGHUP ends a process; its start reads the new file anyway.
        if router in self.processes and self.processes[router][1].ready_s is not None:
            self._signal(self.processes[router][0], signal.SIGHUP)
        await asyncio.sleep(0.3)
        old.stop()

    async def _stall_store(self, for_s: float) -> None:
        """Hold the lock of the database, so that writes wait."""
        database = self.installations[0].folder / "calls.db"
        if database.exists():
            with contextlib.closing(sqlite3.connect(database, isolation_level=None)) as connection, \
                    contextlib.suppress(sqlite3.OperationalError):
                connection.execute("BEGIN EXCLUSIVE")
                await asyncio.sleep(for_s)
                connection.execute("ROLLBACK")

    # ---- the end

    async def _settle(self) -> None:
        """Send little more, and wait for the answers and releases that are owed."""
        self.is_settling = True
        set_ups, until_s = list(self.record.set_ups), time.time() + RELEASE_LIMIT_S + 0.5
        while self.processes and time.time() < until_s and any(self._is_owed(record) for record in set_ups):
            await asyncio.sleep(0.05)

    @staticmethod
    def _is_owed(record: SetUpRecord) -> bool:
        is_open = not record.answers and record.gave_up_s is None and record.connection_ended_s is None
        return is_open or (record.is_served and not record.release_times_s)


async def _run_in(trial: Trial, folder: Path, source: Path) -> TrialRecord:
    return await TrialRunner(trial, folder, source).run()


def run_trial(trial: Trial, source: Path = ROOT, keep: Path | None = None) -> TrialRecord:
    """Run a trial; `source` is the folder of the program, `keep` one in which configuration and logs are left."""
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_run_in(trial, keep, source))
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run_in(trial, Path(folder), source))
