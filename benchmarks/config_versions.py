"""Sends plan versions to a real router under calls, as a random script drawn from a seed says.

The router runs between stand-in nodes and a stand-in control service. While calls arrive by SIP and WebSocket, the
service sends versions that are valid, invalid, truncated, reordered, repeated, different under the same number, of a
new epoch, in a burst, of 100,000 prefixes or scheduled for later, or it stops sending. Every verdict of the router is
compared with the one that the script expects, and the version in every call's record with the one that the router
reported as in force when it accepted the call.
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
LARGE_PLAN_PREFIXES = 100_000  # of the one large version
STEP_INTERVAL_S = (0.03, 0.35)  # minimum and maximum between two steps of the script
MAX_WAIT_S = 12.0  # for the last answers and reports, and for the router to reconnect
MAX_BACKOFF_S = 16.0  # maximum time that a router backs off before it connects
SETTLE_INTERVAL_S = 0.25  # after a step that makes the router or the service close the stream
ExpectedOutcomes = set[str]  # permitted reasons of a refusal; "" stands for acceptance


class Script:
    """The script of the control service. Records the expected outcomes of each version that was sent completely."""

    def __init__(self, service: ControlService, rng: random.Random) -> None:
        self.service, self.rng = service, rng
        self.epoch, self.number = 1, 0
        self.expected: dict[VersionId, ExpectedOutcomes] = {}
        self.sent_count = 0
        self.plan = self.large_plan = Plan()
        self.undecided: set[VersionId] = set()  # sent, but no verdict received
        self.read_report_count = 0  # of the reports that the service has received
        self.step_counts: Counter[str] = Counter()

    def next_id(self) -> VersionId:
        """Return the id with the next number of the epoch."""
        self.number += 1
        return VersionId(self.epoch, self.number)

    def draw_plan(self, prefix_count: int = 30) -> Plan:
        """Return a random plan that routes about nine in ten of the numbers of two digits, and some of five."""
        rng = self.rng
        records: list[Any] = [Prefix(f"{start:02}", rng.randint(1, 4)) for start in range(100) if rng.random() < 0.9]
        records += [Prefix(f"{start:05}", rng.randint(1, 4)) for start in rng.sample(range(100_000), prefix_count)]
        records.append(Barred("997", rng.randint(100, 5_000)))
        records.append(Choice(rng.randint(1, 4), never=[]))
        records.append(Limit("all", in_hand=100_000))
        return build(iter([*EXCHANGES, *records]))

    def draw_large_plan(self) -> Plan:
        """Return a random plan of LARGE_PLAN_PREFIXES prefixes."""
        records = [Prefix(f"{start:06}", 1 + start % 4)
                   for start in self.rng.sample(range(1_000_000), LARGE_PLAN_PREFIXES)]
        return build(iter([*EXCHANGES, *records]))

    def expect_outcomes(self, id: VersionId, expected: ExpectedOutcomes) -> None:
        """Record the expected outcomes of a version.

        If earlier versions are still undecided, the router may also skip this one in favour of a later one.
        """
        for received in self.service.received_reports[self.read_report_count:]:
            self.undecided.discard(VersionId(received.report.epoch, received.report.number))
        self.read_report_count = len(self.service.received_reports)
        supersession = {"superseded"} if self.undecided else set()
        self.expected.setdefault(id, set()).update(expected | supersession)
        self.undecided.add(id)

    def publish(self, plan: Plan, expected: ExpectedOutcomes, in_force_ms: int = 0) -> None:
        """Send a valid version on the open streams, and keep it for routers that connect later."""
        id = self.next_id()
        self.plan = plan
        self.expect_outcomes(id, expected)
        self.service.publish(id, plan, in_force_ms)
        self.sent_count += 1

    def send(self, document: Document, expected: ExpectedOutcomes) -> None:
        """Send a version on the open streams only, not to routers that connect later."""
        self.expect_outcomes(document.header.id, expected)
        self.service.send(document)
        self.sent_count += 1

    async def wait_for_router(self) -> None:
        """Wait until the router is connected, as it may be backing off; give up after MAX_BACKOFF_S."""
        deadline_s = time.monotonic() + MAX_BACKOFF_S
        while not self.service.open_streams and time.monotonic() < deadline_s:
            await asyncio.sleep(0.01)

    # ---- steps

    async def send_valid(self) -> None:
        """Send a typical valid version; in most cases as a delta where that is smaller."""
        self.service.sends_deltas = self.rng.random() < 0.7
        changes = [Prefix(f"{self.rng.randrange(100):02}", self.rng.randint(1, 4))]
        base = self.plan if self.plan.size else self.draw_plan()
        self.publish(build(iter(changes), base) if self.rng.random() < 0.7 else self.draw_plan(), {""})

    async def send_scheduled(self) -> None:
        """Send a valid version that comes into force later."""
        self.publish(self.draw_plan(), {""}, int(time.time() * 1000) + self.rng.randint(50, 600))

    async def send_schema_violation(self) -> None:
        """Send a version with a line that is not a valid record."""
        line = self.rng.choice([b"{", b'{"kind":"prefix","digits":"5x","exchange":1}', b"[]",
                                b'{"kind":"whim"}', b'{"kind":"prefix","digits":"5","exchange":1,"more":0}'])
        self.send(make_unchecked_document(self.next_id().number, [b'{"kind":"exchange","number":1}', line], self.epoch),
                  {"schema"})

    async def send_semantic_error(self) -> None:
        """Send a version whose records are valid one by one, but not together."""
        reason, lines = self.rng.choice([
            ("unknown-exchange", [b'{"kind":"prefix","digits":"5","exchange":9}']),
            ("route-through-itself", [b'{"kind":"choice","exchange":1,"over":[[1]]}']),
            ("alias-loop", [b'{"kind":"alias","digits":"12","to":"13"}', b'{"kind":"alias","digits":"13","to":"12"}']),
            ("doubled", [b'{"kind":"prefix","digits":"5","exchange":1}', b'{"kind":"barred","digits":"5"}'])])
        lines = [b'{"kind":"exchange","number":1}', *lines]
        self.send(make_unchecked_document(self.next_id().number, lines, self.epoch), {reason})

    async def send_invalid_utf8(self) -> None:
        """Send a version with a line that is not UTF-8. The router drops the stream and does not receive it."""
        self.service.send_raw(encode_document(make_unchecked_document(
            self.next_id().number, [b'{"kind":"exchange","number":1}', b"\xff\xfe"], self.epoch)))
        await asyncio.sleep(SETTLE_INTERVAL_S)

    async def send_corrupt(self) -> None:
        """Send a version whose records do not match its digest. The router requests a full version."""
        plan = self.draw_plan()
        valid_document = make_document(self.next_id(), plan.records(), plan.state)
        lines = list(valid_document.lines)
        lines[-1], lines[-2] = lines[-2], lines[-1]
        self.send(Document(valid_document.header, tuple(lines)), {"digest"})
        await asyncio.sleep(SETTLE_INTERVAL_S)

    async def send_delta_without_base(self) -> None:
        """Send a delta from a version that was never sent."""
        self.number += 1
        base_number = self.number
        plan = self.draw_plan()
        self.send(make_document(self.next_id(), [Prefix("01", 1)], plan.state, base_number), {"base-missing"})
        await asyncio.sleep(SETTLE_INTERVAL_S)

    async def send_reordered(self) -> None:
        """Send two versions, the later one first."""
        earlier_id, plan = self.next_id(), self.draw_plan()
        earlier_document = make_document(earlier_id, plan.records(), plan.state)
        self.publish(self.draw_plan(), {""})
        self.send(earlier_document, {"stale"})

    async def send_repeated(self) -> None:
        """Send the latest version again."""
        latest = self.service.catalogue.document_for("", True)
        if latest is not None:
            self.send(latest, set())

    async def send_conflicting(self) -> None:
        """Send a different plan under the latest number."""
        latest = self.service.catalogue.latest
        if latest is not None:
            plan = self.draw_plan(31)
            self.send(make_document(latest.id, plan.records(), plan.state), {"two-contents"})

    async def start_new_epoch(self) -> None:
        """Restart the numbers in a new epoch, and then send a late version of the old one."""
        old_id = VersionId(self.epoch, self.number + 1)
        self.epoch, self.number = self.epoch + 1, 0
        self.publish(self.draw_plan(), {""})
        plan = self.draw_plan()
        self.send(make_document(old_id, plan.records(), plan.state), {"old-epoch"})

    async def truncate_stream(self) -> None:
        """Close the stream within a version; a router that reconnects is sent the latest one."""
        plan = self.draw_plan()
        data = encode_document(make_document(self.next_id(), plan.records(), plan.state))
        self.service.send_raw(data[:self.rng.randrange(len(data) - 20)])
        await asyncio.sleep(0.02)
        self.service.close_streams()
        await asyncio.sleep(SETTLE_INTERVAL_S)

    async def announce_too_large(self) -> None:
        """Send a header that announces 60 MB, and a part of that."""
        plan = self.draw_plan()
        valid_document = make_document(self.next_id(), plan.records(), plan.state)
        large_header = valid_document.header.__class__(
            valid_document.header.epoch, valid_document.header.number, 10**6, 60 * 10**6, valid_document.header.digest,
            valid_document.header.state)
        self.send(Document(large_header, valid_document.lines), {"too-large"})

    async def send_burst(self) -> None:
        """Send two hundred versions in a second."""
        started_s = time.monotonic()
        self.service.sends_deltas = False
        for index in range(200):
            self.publish(self.draw_plan(5), {""})
            await asyncio.sleep(max(0.0, started_s + index * 0.005 - time.monotonic()))

    async def stop_sending(self) -> None:
        """Keep the stream open without sending anything, not even keep-alives, until the router reconnects."""
        stream_count = len(self.service.streams)
        self.service.sends_keep_alives = False
        deadline_s = time.monotonic() + MAX_WAIT_S
        while len(self.service.streams) == stream_count and time.monotonic() < deadline_s:
            await asyncio.sleep(0.02)
        self.service.sends_keep_alives = True

    async def send_large(self) -> None:
        """Send the large plan; it is built in advance, so that building it delays nothing else in this process."""
        self.service.sends_deltas = False
        self.publish(self.large_plan, {""})
        await asyncio.sleep(0.5)

    async def send_malformed(self) -> None:
        """Send events that are not part of any version."""
        self.service.send_raw(self.rng.choice([
            sse.encode_event("version", (b"{",)), sse.encode_event("records", (b"x",)), sse.encode_event("end", (b"",)),
            sse.encode_event("whim", (b"x",)),
            sse.encode_event("version", (write_header(make_unchecked_document(1, [], 1).header)[:-9],))]))

    async def run(self, end_s: float) -> None:
        """Run random steps until an instant of the monotonic clock, and each rare one once, in a random order."""
        frequent_steps = [self.send_valid] * 6 + [
            self.send_scheduled, self.send_schema_violation, self.send_schema_violation, self.send_semantic_error,
            self.send_semantic_error, self.send_corrupt, self.send_delta_without_base, self.send_reordered,
            self.send_repeated, self.send_conflicting, self.start_new_epoch, self.truncate_stream,
            self.send_invalid_utf8, self.announce_too_large, self.send_malformed]
        rare_steps = [self.send_burst, self.stop_sending, self.send_large, self.send_valid]
        self.rng.shuffle(rare_steps)
        interval_s = (end_s - time.monotonic()) / (len(rare_steps) + 1)
        rare_times_s = [time.monotonic() + interval_s * (index + 0.5) for index in range(len(rare_steps))]
        while time.monotonic() < end_s or rare_steps:
            # Rare steps are removed from the front, so the time of the next one is counted from the end of its list.
            await self.wait_for_router()
            step = (rare_steps.pop(0) if rare_steps and time.monotonic() >= rare_times_s[-len(rare_steps)]
                    else self.rng.choice(frequent_steps))
            self.step_counts[step.__name__] += 1
            await step()
            await asyncio.sleep(self.rng.uniform(*STEP_INTERVAL_S))
        await self.wait_for_router()
        self.service.sends_deltas = False
        self.publish(self.draw_plan(), {""})
        last_id = VersionId(self.epoch, self.number)
        self.expected[last_id] = {""}  # no later version can supersede it


def count_wrong_versions(database: Path, service: ControlService) -> tuple[int, int]:
    """Return the number of recorded calls, and of those recorded under another version than was in force for them."""
    changes = []
    for received in service.received_reports:
        report = received.report
        if report.stand == "in-force":
            # The sequence number orders changes of the same microsecond.
            changes.append((report.at_us, report.seq, f"{report.epoch}.{report.number}"))
        elif report.stand == "rolled-back":
            changes.append((report.at_us, report.seq, report.to))
    changes.sort()
    change_times_us = [at_us for at_us, _, _ in changes]
    rows = sqlite3.connect(database).execute(
        "SELECT call, taken_us, group_concat(DISTINCT version) FROM call_records GROUP BY call").fetchall()
    wrong_count = 0
    for _, taken_us, version in rows:
        index = bisect.bisect_right(change_times_us, taken_us) - 1
        wrong_count += version != (changes[index][2] if index >= 0 else "")
    return len(rows), wrong_count


def find_wrong_verdicts(script: Script) -> list[str]:
    """Return a line for each version whose verdict is not one that the script expects."""
    reported: dict[VersionId, tuple[set[str], set[str]]] = {}
    for received in script.service.received_reports:
        report = received.report
        states, reasons = reported.setdefault(VersionId(report.epoch, report.number), (set(), set()))
        states.add(report.stand)
        if report.stand == "refused":
            reasons.add(report.reason)
    errors = []
    for id, expected in script.expected.items():
        states, reasons = reported.get(id, (set(), set()))
        accepted = bool(states - {"refused"})
        rightly_accepted = accepted and "" in expected
        if rightly_accepted:  # first sent as a delta whose base was lost with its stream, then again as a full version
            reasons = reasons - {"base-missing"}
        outcomes = ({""} if rightly_accepted else set()) | reasons
        if (accepted and "" not in expected) or not outcomes or not outcomes <= expected:
            errors.append(f"{id}: expected {sorted(expected)}, reported {sorted(states)} {sorted(reasons)}")
    errors += [f"{id}: reports of a version that was never sent: {states}" for id, (states, _) in reported.items()
               if id not in script.expected]
    return errors


async def measure(seed: int, seconds: float, rate: float, max_calls: int) -> dict[str, Any]:
    """Run one script under calls at a rate per second, and return the results."""
    started_s = time.monotonic()
    rng = random.Random(seed)
    service = await ControlService().start()
    script = Script(service, random.Random(rng.random()))
    script.large_plan = script.draw_large_plan()
    load = await LoadProcess.start(4, rng.getrandbits(32), rate, seconds, max_calls)
    with tempfile.TemporaryDirectory() as folder:
        database = Path(folder) / "calls.db"
        versions_toml = (f'[service]\naddress = "{service.address}"\n[store]\nfolder = "{folder}/versions"\n'
                         "[probation]\nseconds = 2.0\n")
        store_toml = f'[store]\nkind = "sqlite"\ndatabase = "{database}"'
        async with running_router(load.nodes, gateway=store_toml, versions=versions_toml,
                                  module="laboratory.watched") as router:
            end_s = time.monotonic() + seconds
            script_task = asyncio.create_task(script.run(end_s - 2.0))
            load_results = await load.run(router.sip_port, router.api_port)
            await script_task
            deadline_s = time.monotonic() + MAX_WAIT_S
            while find_wrong_verdicts(script) and time.monotonic() < deadline_s:
                await asyncio.sleep(0.2)
            counts = await router.stop_and_read_counters()
            log = router.log_path.read_text()
        recorded_calls, calls_with_wrong_version = count_wrong_versions(database, service)
    await service.stop()
    wrong_verdicts = find_wrong_verdicts(script)
    for line in wrong_verdicts[:20]:
        print("wrong verdict:", line)
    turns = dict(word.split("=") for word in log.splitlines()[-1].split()[1:])
    print("steps:", dict(script.step_counts))
    return {
        "seed": seed, "calls": load_results["calls"], "recorded": recorded_calls, "answered": counts["final_answered"],
        "final_missing": load_results["final_missing"], "final_double": load_results["final_double"],
        "overlaps": load_results["overlaps"], "versions_sent": script.sent_count,
        "accepted": counts["versions_accepted"], "refused": counts["versions_refused"],
        "rolled_back": counts["versions_rolled_back"], "half_received": counts["versions_half_received"],
        "wrong_verdicts": len(wrong_verdicts), "calls_with_wrong_version": calls_with_wrong_version,
        "longest_turn_ms": int(turns["longest_us"]) / 1000, "longest_turn_cpu_ms": int(turns["longest_cpu_us"]) / 1000,
        "turns_over_10_ms": int(turns["over_10_ms"]),
        "longest_check_ms": counts["control_longest_turn_us"] / 1000,
        "swap_ms_p99": counts["versions_swap_p99_us"] / 1000, "seconds": round(time.monotonic() - started_s, 1)}


async def measure_without_versions(seed: int, seconds: float, rate: float) -> dict[str, Any]:
    """Measure the turns of the reactor under calls at the same rate, with no plan and no control service.

    The calls are drawn from another seed than in measure(), so only their rate and mix are the same.
    """
    load = await LoadProcess.start(4, seed, rate, seconds)
    async with running_router(load.nodes, module="laboratory.watched") as router:
        load_results = await load.run(router.sip_port, router.api_port)
        await router.stop_and_read_counters()
        turns = dict(word.split("=") for word in router.log_path.read_text().splitlines()[-1].split()[1:])
    return {"seed": seed, **load_results, "longest_turn_ms": int(turns["longest_us"]) / 1000,
            "longest_turn_cpu_ms": int(turns["longest_cpu_us"]) / 1000, "turns_over_10_ms": int(turns["over_10_ms"])}


def main() -> None:
    """Print the steps of the script and the wrong verdicts, and the results as a JSON object."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=28.0, help="duration of the calls")
    parser.add_argument("--rate", type=float, default=200.0, help="calls per second, over both fronts together")
    parser.add_argument("--calls", type=int, default=10**9, help="maximum number of calls")
    parser.add_argument("--without", action="store_true", help="place calls without any versions; ignores --calls")
    arguments = parser.parse_args()
    if arguments.without:
        print(json.dumps(asyncio.run(measure_without_versions(arguments.seed, arguments.seconds, arguments.rate))))
        return
    print(json.dumps(asyncio.run(measure(arguments.seed, arguments.seconds, arguments.rate, arguments.calls))))


if __name__ == "__main__":
    main()
