"""Versions under calls: a real router, a stand-in control service and stand-in nodes, and a script drawn from a seed.

While calls come through SIP and WebSocket, the service sends versions that are good, broken, cut, reordered, doubled,
of two contents, of a new epoch, in a flood, of 100,000 prefixes, timed for later, or falls silent. Every verdict is
compared with the one that the script expects, and the version of every call's record with what the service was told
was in force at the instant at which the call was taken.
"""

from __future__ import annotations

import argparse
import asyncio
import bisect
import json
import random
import sqlite3
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from astertrack.plan import Plan, build
from astertrack.plan.model import Barred, Choice, Exchange, Limit, Prefix
from astertrack.versions import Document, VersionId, make_document, write_header
from astertrack.wire import sse
from laboratory.control_service import ControlService, encode_document, make_unchecked_document
from laboratory.load import LoadProcess
from laboratory.stand_ins import running_router

EXCHANGES = [Exchange(n, "casablanca" if n % 2 else "fes") for n in range(1, 5)]
LARGE = 100_000  # prefixes of the one large version
STEP_S = (0.03, 0.35)  # between two steps of the script
WAIT_S = 12.0  # at the end, for answers and reports
AWAY_S = 16.0  # that a router backs off at most
SETTLE_S = 0.25  # after a step that breaks the stream, before what comes next
Expected = set[str]  # reasons, or "" for accepted


class Script:
    """The service's part. Keeps what it expects of each version that went out whole."""

    def __init__(self, service: ControlService, source: random.Random) -> None:
        self.service, self.source = service, source
        self.epoch, self.number = 1, 0
        self.expected: dict[VersionId, Expected] = {}
        self.sent = 0
        self.plan = self.prepared = Plan()
        self.waiting: set[VersionId] = set()  # sent, and no verdict heard
        self.read = 0  # of what the service has heard
        self.kinds: Counter[str] = Counter()

    def next_id(self) -> VersionId:
        """Return the next number of the epoch."""
        self.number += 1
        return VersionId(self.epoch, self.number)

    def draw(self, prefixes: int = 30) -> Plan:
        """Draw a plan: every number of two digits goes somewhere."""
        source = self.source
        records: list[Any] = [Prefix(f"{n:02}", source.randint(1, 4)) for n in range(100) if source.random() < 0.9]
        records += [Prefix(f"{n:05}", source.randint(1, 4)) for n in source.sample(range(100_000), prefixes)]
        records.append(Barred("997", source.randint(100, 5_000)))
        records.append(Choice(source.randint(1, 4), never=[]))
        records.append(Limit("all", in_hand=100_000))
        return build(iter([*EXCHANGES, *records]))

    def large(self) -> Plan:
        """Draw a plan of very many prefixes."""
        records = [Prefix(f"{n:06}", 1 + n % 4) for n in self.source.sample(range(1_000_000), LARGE)]
        return build(iter([*EXCHANGES, *records]))

    def expect(self, id: VersionId, expected: Expected) -> None:
        """Note what may be told of a version. One that others wait before may be passed over for a later one."""
        for heard in self.service.received_reports[self.read:]:
            self.waiting.discard(VersionId(heard.report.epoch, heard.report.number))
        self.read = len(self.service.received_reports)
        crowded = {"superseded"} if self.waiting else set()
        self.expected.setdefault(id, set()).update(expected | crowded)
        self.waiting.add(id)

    def publish(self, plan: Plan, expected: Expected, in_force_ms: int = 0) -> None:
        """Send a sound version to who listens, and remember it for who connects."""
        id = self.next_id()
        self.plan = plan
        self.expect(id, expected)
        self.service.publish(id, plan, in_force_ms)
        self.sent += 1

    def send(self, document: Document, expected: Expected) -> None:
        """Send a version that is not for who connects."""
        self.expect(document.header.id, expected)
        self.service.send(document)
        self.sent += 1

    async def listening(self) -> None:
        """Wait until the router listens: it may be backing off."""
        until = time.monotonic() + AWAY_S
        while not self.service.open_streams and time.monotonic() < until:
            await asyncio.sleep(0.01)

    # ---- steps

    async def good(self) -> None:
        """A version as most are: a delta where that is less."""
        self.service.sends_deltas = self.source.random() < 0.7
        changed = [Prefix(f"{self.source.randrange(100):02}", self.source.randint(1, 4))]
        base = self.plan if self.plan.size else self.draw()
        self.publish(build(iter(changed), base) if self.source.random() < 0.7 else self.draw(), {""})

    async def timed(self) -> None:
        """A version for a later instant."""
        self.publish(self.draw(), {""}, int(time.time() * 1000) + self.source.randint(50, 600))

    async def wrong_by_schema(self) -> None:
        """A line that is no record."""
        line = self.source.choice([b"{", b'{"kind":"prefix","digits":"5x","exchange":1}', b"[]",
                                   b'{"kind":"whim"}', b'{"kind":"prefix","digits":"5","exchange":1,"more":0}'])
        self.send(make_unchecked_document(self.next_id().number, [b'{"kind":"exchange","number":1}', line], self.epoch),
                  {"schema"})

    async def wrong_by_meaning(self) -> None:
        """Records that are sound one by one."""
        reason, lines = self.source.choice([
            ("unknown-exchange", [b'{"kind":"prefix","digits":"5","exchange":9}']),
            ("route-through-itself", [b'{"kind":"choice","exchange":1,"over":[[1]]}']),
            ("alias-loop", [b'{"kind":"alias","digits":"12","to":"13"}', b'{"kind":"alias","digits":"13","to":"12"}']),
            ("doubled", [b'{"kind":"prefix","digits":"5","exchange":1}', b'{"kind":"barred","digits":"5"}'])])
        lines = [b'{"kind":"exchange","number":1}', *lines]
        self.send(make_unchecked_document(self.next_id().number, lines, self.epoch), {reason})

    async def not_text(self) -> None:
        """A version with a line that is not UTF-8: the stream cannot be read on, and the version has not come."""
        self.service.send_raw(encode_document(make_unchecked_document(
            self.next_id().number, [b'{"kind":"exchange","number":1}', b"\xff\xfe"], self.epoch)))
        await asyncio.sleep(SETTLE_S)

    async def spoilt(self) -> None:
        """A version whose text is not what its head says. The router asks for a whole one."""
        plan = self.draw()
        sound = make_document(self.next_id(), plan.records(), plan.state)
        lines = list(sound.lines)
        lines[-1], lines[-2] = lines[-2], lines[-1]
        self.send(Document(sound.header, tuple(lines)), {"digest"})
        await asyncio.sleep(SETTLE_S)

    async def base_missing(self) -> None:
        """A delta on a version that never was."""
        self.number += 1
        base = self.number
        plan = self.draw()
        self.send(make_document(self.next_id(), [Prefix("01", 1)], plan.state, base), {"base-missing"})
        await asyncio.sleep(SETTLE_S)

    async def reordered(self) -> None:
        """Two versions, the later one first."""
        first, plan = self.next_id(), self.draw()
        late = make_document(first, plan.records(), plan.state)
        self.publish(self.draw(), {""})
        self.send(late, {"stale"})

    async def doubled(self) -> None:
        """The latest version once more."""
        latest = self.service.catalogue.document_for("", True)
        if latest is not None:
            self.send(latest, set())

    async def two_contents(self) -> None:
        """The latest number with another plan."""
        latest = self.service.catalogue.latest
        if latest is not None:
            plan = self.draw(31)
            self.send(make_document(latest.id, plan.records(), plan.state), {"two-contents"})

    async def new_epoch(self) -> None:
        """The service starts again, with lower numbers; then one of the old epoch comes, late."""
        old = VersionId(self.epoch, self.number + 1)
        self.epoch, self.number = self.epoch + 1, 0
        self.publish(self.draw(), {""})
        plan = self.draw()
        self.send(make_document(old, plan.records(), plan.state), {"old-epoch"})

    async def cut(self) -> None:
        """The stream ends within a version; who dials again is sent the latest."""
        plan = self.draw()
        data = encode_document(make_document(self.next_id(), plan.records(), plan.state))
        self.service.send_raw(data[:self.source.randrange(len(data) - 20)])
        await asyncio.sleep(0.02)
        self.service.close_streams()
        await asyncio.sleep(SETTLE_S)

    async def too_large(self) -> None:
        """A head that announces 60 MB, and some of it."""
        plan = self.draw()
        sound = make_document(self.next_id(), plan.records(), plan.state)
        head = sound.header.__class__(sound.header.epoch, sound.header.number, 10**6, 60 * 10**6, sound.header.digest,
                                      sound.header.state)
        self.send(Document(head, sound.lines), {"too-large"})

    async def flood(self) -> None:
        """Two hundred versions in a second."""
        began = time.monotonic()
        self.service.sends_deltas = False
        for at in range(200):
            self.publish(self.draw(5), {""})
            await asyncio.sleep(max(0.0, began + at * 0.005 - time.monotonic()))

    async def silence(self) -> None:
        """The stream stays open and says nothing, until the router dials again."""
        before = len(self.service.streams)
        self.service.sends_keep_alives = False
        until = time.monotonic() + WAIT_S
        while len(self.service.streams) == before and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.service.sends_keep_alives = True

    async def huge(self) -> None:
        """A plan of 100,000 prefixes, made before so that the calls of this process wait for nothing."""
        self.service.sends_deltas = False
        self.publish(self.prepared, {""})
        await asyncio.sleep(0.5)

    async def odd(self) -> None:
        """What is no version at all."""
        self.service.send_raw(self.source.choice([
            sse.encode_event("version", (b"{",)), sse.encode_event("records", (b"x",)), sse.encode_event("end", (b"",)),
            sse.encode_event("whim", (b"x",)),
            sse.encode_event("version", (write_header(make_unchecked_document(1, [], 1).header)[:-9],))]))

    async def play(self, until: float) -> None:
        """Play steps until an instant; the rare ones each once, in a drawn order among the others."""
        usual = [self.good] * 6 + [self.timed, self.wrong_by_schema, self.wrong_by_schema, self.wrong_by_meaning,
                                   self.wrong_by_meaning, self.spoilt, self.base_missing, self.reordered, self.doubled,
                                   self.two_contents, self.new_epoch, self.cut, self.not_text, self.too_large,
                                   self.odd]
        rare = [self.flood, self.silence, self.huge, self.good]
        self.source.shuffle(rare)
        span = (until - time.monotonic()) / (len(rare) + 1)
        rare_at = [time.monotonic() + span * (at + 0.5) for at in range(len(rare))]
        while time.monotonic() < until or rare:
            await self.listening()
            step = rare.pop(0) if rare and time.monotonic() >= rare_at[-len(rare)] else self.source.choice(usual)
            self.kinds[step.__name__] += 1
            await step()
            await asyncio.sleep(self.source.uniform(*STEP_S))
        await self.listening()
        self.service.sends_deltas = False
        self.publish(self.draw(), {""})
        last = VersionId(self.epoch, self.number)
        self.expected[last] = {""}  # nothing comes after it


def wrong_versions(database: Path, service: ControlService) -> tuple[int, int]:
    """Return how many calls were recorded, and how many under another version than was in force for them."""
    changes = []
    for heard in service.received_reports:
        report = heard.report
        if report.stand == "in-force":
            changes.append((report.at_us, report.seq, f"{report.epoch}.{report.number}"))
        elif report.stand == "rolled-back":
            changes.append((report.at_us, report.seq, report.to))
    changes.sort()
    instants = [at for at, _, _ in changes]
    rows = sqlite3.connect(database).execute(
        "SELECT call, taken_us, group_concat(DISTINCT version) FROM call_records GROUP BY call").fetchall()
    bad = 0
    for _, taken_us, version in rows:
        at = bisect.bisect_right(instants, taken_us) - 1
        bad += version != (changes[at][2] if at >= 0 else "")
    return len(rows), bad


def wrong_verdicts(script: Script) -> list[str]:
    """Return the versions whose verdict is not the one that the script expects."""
    told: dict[VersionId, tuple[set[str], set[str]]] = {}
    for heard in script.service.received_reports:
        report = heard.report
        stands, reasons = told.setdefault(VersionId(report.epoch, report.number), (set(), set()))
        stands.add(report.stand)
        if report.stand == "refused":
            reasons.add(report.reason)
    bad = []
    for id, expected in script.expected.items():
        stands, reasons = told.get(id, (set(), set()))
        accepted = bool(stands - {"refused"})
        may = accepted and "" in expected
        if may:  # a delta on a version that was lost with its stream; it came again, whole
            reasons = reasons - {"base-missing"}
        found = ({""} if may else set()) | reasons
        if (accepted and "" not in expected) or not found or not found <= expected:
            bad.append(f"{id}: expected {sorted(expected)}, told {sorted(stands)} {sorted(reasons)}")
    bad += [f"{id}: told of what was never sent: {stands}" for id, (stands, _) in told.items()
            if id not in script.expected]
    return bad


async def measure(seed: int, seconds: float, rate: float, calls: int) -> dict[str, Any]:
    """Play one script, and return the figures."""
    began = time.monotonic()
    source = random.Random(seed)
    service = await ControlService().start()
    script = Script(service, random.Random(source.random()))
    script.prepared = script.large()
    load = await LoadProcess.start(4, source.getrandbits(32), rate, seconds, calls)
    with tempfile.TemporaryDirectory() as folder:
        database = Path(folder) / "calls.db"
        text = (f'[service]\naddress = "{service.address}"\n[store]\nfolder = "{folder}/versions"\n'
                "[probation]\nseconds = 2.0\n")
        store = f'[store]\nkind = "sqlite"\ndatabase = "{database}"'
        async with running_router(load.nodes, gateway=store, versions=text, module="laboratory.watched") as router:
            until = time.monotonic() + seconds
            versions = asyncio.create_task(script.play(until - 2.0))
            offered = await load.run(router.port, router.api_port)
            await versions
            end = time.monotonic() + WAIT_S
            while wrong_verdicts(script) and time.monotonic() < end:
                await asyncio.sleep(0.2)
            counts = await router.stop_and_read_counters()
            log = router.log_path.read_text()
        recorded, bad_versions = wrong_versions(database, service)
    await service.stop()
    verdicts = wrong_verdicts(script)
    for line in verdicts[:20]:
        print("wrong verdict:", line)
    turns = dict(word.split("=") for word in log.splitlines()[-1].split()[1:])
    print("steps:", dict(script.kinds))
    return {
        "seed": seed, "calls": offered["calls"], "recorded": recorded, "answered": counts["final_answered"],
        "final_missing": offered["final_missing"], "final_double": offered["final_double"],
        "overlaps": offered["overlaps"],
        "versions_sent": script.sent, "accepted": counts["versions_accepted"], "refused": counts["versions_refused"],
        "rolled_back": counts["versions_rolled_back"], "half_received": counts["versions_half_received"],
        "wrong_verdicts": len(verdicts), "calls_with_wrong_version": bad_versions,
        "longest_turn_ms": int(turns["longest_us"]) / 1000, "longest_turn_cpu_ms": int(turns["longest_cpu_us"]) / 1000,
        "turns_over_10_ms": int(turns["over_10_ms"]),
        "longest_check_ms": counts["control_longest_turn_us"] / 1000,
        "swap_ms_p99": counts["versions_swap_p99_us"] / 1000, "seconds": round(time.monotonic() - began, 1)}


async def without(seed: int, seconds: float, rate: float) -> dict[str, Any]:
    """Play the calls alone, with no plan and no service: the turns that are not the versions'."""
    load = await LoadProcess.start(4, seed, rate, seconds)
    async with running_router(load.nodes, module="laboratory.watched") as router:
        offered = await load.run(router.port, router.api_port)
        await router.stop_and_read_counters()
        turns = dict(word.split("=") for word in router.log_path.read_text().splitlines()[-1].split()[1:])
    return {"seed": seed, **offered, "longest_turn_ms": int(turns["longest_us"]) / 1000,
            "longest_turn_cpu_ms": int(turns["longest_cpu_us"]) / 1000, "turns_over_10_ms": int(turns["over_10_ms"])}


def main() -> None:
    """Print what happened, and the figures as one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=28.0, help="of calls")
    parser.add_argument("--rate", type=float, default=200.0, help="calls a second, both fronts together")
    parser.add_argument("--calls", type=int, default=10**9, help="at most")
    parser.add_argument("--without", action="store_true", help="the same calls with no versions at all")
    given = parser.parse_args()
    if given.without:
        print(json.dumps(asyncio.run(without(given.seed, given.seconds, given.rate))))
        return
    print(json.dumps(asyncio.run(measure(given.seed, given.seconds, given.rate, given.calls))))


if __name__ == "__main__":
    main()
