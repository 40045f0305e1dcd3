"""Configuration in versions as a part of a router: the plan at the gate, the control wire, and the store."""

from __future__ import annotations

import hashlib
import random
import sys
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
import structlog
from twisted.internet.defer import Deferred, succeed
from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure

from astertrack.checking import split_validation_error
from astertrack.config import ConfigError, split_address
from astertrack.core import Approval, FinalResult, Policy, Refusal, Request, RouteConstraint, Router
from astertrack.net.control import TICK_INTERVAL_US, ControlClient
from astertrack.parts import read_toml
from astertrack.parts.model import PartContext
from astertrack.plan import Plan, PlanAdmission, PlanError, PlanEvaluator, PlanRefusal, RouteQuery, build, write_line
from astertrack.plan.files import read_plan
from astertrack.store.versions import VersionFiles
from astertrack.versions import (
    ActiveVersion,
    CallOutcome,
    Header,
    SetCurrentVersion,
    StoreVersion,
    VersionId,
    VersionManager,
    VersionSettings,
    make_document,
    write_header,
)
from ospreylug import interface as io

log = structlog.get_logger()
NO_PLAN_WAIT_US = 2_000_000  # a call that needs a plan to find its route, and there is none yet
CUT_SHARE = 0.5  # of a zone's exchanges that do not answer: the zone is taken for cut off
# The store's thread gives the interpreter's lock back so soon when calls want it; by default they wait 5 ms.
SWITCH_S = 0.0005
LINES_A_TURN = 200  # of a plan that is written out whole for the store


class _Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    address: str = ""


class _PlanFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    file: str = ""


class _Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    folder: str = ""


class _Probation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    seconds: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 10.0


class _Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    octets: Annotated[int, msgspec.Meta(ge=1024, le=2**31)] = 32 * 2**20


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """deploy/versions.toml."""

    service: _Service = _Service()
    plan: _PlanFile = _PlanFile()
    store: _Store = _Store()
    probation: _Probation = _Probation()
    limits: _Limits = _Limits()


def read_settings(path: Path) -> Settings:
    """Read and check the file, or raise a ConfigError that names file, field and what was expected."""
    try:
        settings = msgspec.convert(read_toml(path), Settings)
    except msgspec.ValidationError as wrong:
        expected, field = split_validation_error(wrong)
        raise ConfigError(f"{path}: {field or 'the file'}: {expected}") from None
    if settings.service.address:
        _, port = split_address(settings.service.address, f"{path}: service.address")
        if not port:
            raise ConfigError(f"{path}: service.address: a port above 0 is needed")
    return settings


def read_plan_file(path: Path) -> tuple[VersionId, Plan, int]:
    """Read a plan of our own form, or raise a ConfigError; without a number it is version 1.1."""
    try:
        read = read_plan(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as wrong:
        raise ConfigError(f"{path}: {wrong}") from None
    except PlanError as refused:
        raise ConfigError(f"{path}: {refused}") from None
    try:
        plan = build(iter(read.records))
    except PlanError as refused:
        finding = refused.finding
        record = read.records[finding.line - 1] if finding.line else None
        where = f"{record.__struct_config__.tag} {record.key()!r}: " if record is not None else ""
        raise ConfigError(f"{path}: {where}{finding.reason.value}: {finding.path or 'record'}: "
                          f"{finding.expected}") from None
    if read.version is None:
        return VersionId(1, 1), plan, 0
    return VersionId(read.version.epoch, read.version.number), plan, read.version.in_force_ms


@dataclass(frozen=True, slots=True)
class _Token:
    """What the policy keeps of a call: its version from its first moment on."""

    version: ActiveVersion
    passed: PlanAdmission
    dest: int  # as its caller gave it


class PlanPolicy:
    """The gate's entry for the plan in force."""

    name = "plan"
    fail_closed = False

    def __init__(self, versions: VersionManager, evaluator: PlanEvaluator) -> None:
        self.versions, self.evaluator = versions, evaluator

    def admit(self, request: Request, now_us: int) -> Approval | Refusal | None:
        """Resolve, narrow or refuse a call by the version in force at this instant."""
        version = self.versions.activate_due(now_us)
        if version is None:
            return Refusal("no-plan", NO_PLAN_WAIT_US) if request.dest < 0 else None
        dest = request.dest
        verdict = self.evaluator.admit(
            version.plan, RouteQuery(request.number, dest, request.service_name, request.transit), now_us)
        label = str(version.id)
        if isinstance(verdict, PlanRefusal):
            if verdict.cause == "unmatched" and not request.transit:
                self._outcome(version, request, dest, now_us, failed=True)
            return Refusal(verdict.cause, verdict.wait_us, label)
        route = verdict.route
        return Approval(route.dest, RouteConstraint(route.tiers, route.never), label, _Token(version, verdict, dest))

    def permits(self, token: object, request: Request, entry: io.Entry, now_us: int) -> bool:
        """The constraint has said it."""
        return True

    def sent(self, token: object, request: Request, entry: io.Entry, now_us: int) -> None:
        """Nothing hangs on it."""

    def final(self, token: object, request: Request, final: FinalResult, now_us: int) -> None:
        """A call's end tells of its version, unless its caller had enough of waiting or it was only passing."""
        if isinstance(token, _Token) and final is not FinalResult.CANCELLED and not request.transit:
            self._outcome(token.version, request, token.dest, now_us, final is not FinalResult.ANSWERED)

    def _outcome(self, version: ActiveVersion, request: Request, dest: int, now_us: int, failed: bool) -> None:
        exchange = version.plan.records_of("exchange").get(str(request.dest))
        zone = exchange.zone if exchange is not None else ""
        self.versions.record_outcome(
            version.id, CallOutcome(request.number, dest, request.service_name, zone, now_us, failed))

    def over(self, token: object, request: Request, now_us: int) -> None:
        """Its limits have room again."""
        if isinstance(token, _Token):
            self.evaluator.release(token.passed)


class VersionsPart:
    """Everything of it that one router has."""

    def __init__(self, context: PartContext, path: Path) -> None:
        self.context, self.path = context, path
        self.settings = read_settings(path)
        config, settings = context.config, self.settings
        zones, at = config.zones, config.settings.zone
        zone = zones[at] if 0 <= at < len(zones) else ""
        self.source = random.Random(config.seed)
        self.versions = VersionManager(
            VersionSettings(config.name, zone, int(settings.probation.seconds * 1e6), settings.limits.octets,
                            bool(settings.store.folder)), self.source)
        self.files = VersionFiles(Path(settings.store.folder)) if settings.store.folder else None
        if self.files is not None:
            sys.setswitchinterval(SWITCH_S)
        self.client = ControlClient(settings.service.address, config.name, self.versions, context.clock, context.counts,
                                    self.source, self._store)
        self.policy = PlanPolicy(self.versions, PlanEvaluator(zone, config.settings.home, self.source))
        self.router: Router | None = None
        self._storing: Deferred[Any] = succeed(None)
        self._stopped = False

    def policies(self) -> Sequence[Policy]:
        """Its entry for the gate."""
        return (self.policy,)

    def start(self, router: Router) -> None:
        """Take up the last good version, then the file's, then the service's."""
        self.router = router
        if self.files is not None:
            kept, wrong = self.files.load()
            for line in wrong:
                self.context.counts["versions_store_spoilt"] += 1
                log.warning("kept version cannot be used", folder=str(self.files.folder), error=line)
            if kept is not None:
                self.versions.restore(kept.id, kept.plan, router.now_us())
                log.info("kept version in force", version=str(kept.id), records=kept.plan.size)
        if self.settings.plan.file:
            self._offer(*read_plan_file(self._plan_path()))
        self.client.start()
        self._watch()

    def _plan_path(self) -> Path:
        return self.path.parent / self.settings.plan.file  # a relative one: beside the settings

    def _offer(self, id: VersionId, plan: Plan, in_force_ms: int) -> None:
        """Offer the file's version as the service's are offered: the same order and checks hold for it."""
        assert self.router is not None
        now = self.router.now_us()
        document = make_document(id, plan.records(), plan.state, in_force_ms=in_force_ms)
        self.versions.receive_header(write_header(document.header), now)
        self.versions.receive_lines(list(document.lines))
        self.versions.receive_end(now)
        while self.versions.run_step(now):
            pass
        self.client.execute_actions()

    def reload(self) -> None:
        """Follow the service and read the plan file that the settings now name."""
        try:
            settings = read_settings(self.path)
            offered = read_plan_file(self.path.parent / settings.plan.file) if settings.plan.file else None
        except ConfigError as wrong:
            self.context.counts["reloads_failed"] += 1
            log.warning("settings not taken over", error=str(wrong))
            return
        self.settings = settings
        self.client.switch_address(settings.service.address)
        if offered is not None:
            self._offer(*offered)

    def stop(self) -> None:
        """Calls in hand keep their versions; nothing new is read."""
        self._stopped = True
        self.client.stop()

    def update_counters(self) -> None:
        """Bring the counters up to date."""
        counts, client = self.context.counts, self.client
        counts.update({name: value - counts[name] for name, value in self.versions.counts.items()})
        counts["control_longest_turn_us"] = client.longest_turn_us
        counts["control_reports_waiting"] = len(client.outbox)
        counts["control_reports_lost"] = client.outbox.dropped
        if client.swap_durations_us:
            counts["versions_swap_p99_us"] = sorted(client.swap_durations_us)[
                int(0.99 * (len(client.swap_durations_us) - 1))]

    # ---- zones

    def _watch(self) -> None:
        """Notice zones that do not answer: no version is to be blamed for them alone."""
        if self._stopped:
            return
        if self.versions.probation is not None and self.router is not None:
            up: dict[int, list[bool]] = {}
            for name, link in self.context.peers.links.items():
                entry = self.router.roster.get(name)
                if entry is not None:
                    up.setdefault(entry.zone, []).append(link.is_healthy())
            for zone, links in up.items():
                if links.count(False) >= CUT_SHARE * len(links):
                    zones = self.context.config.zones
                    self.versions.mark_disturbed(zones[zone] if 0 <= zone < len(zones) else "")
        self.context.clock.call_at(self.context.clock.now_us() + TICK_INTERVAL_US, self._watch)

    # ---- the store

    def _store(self, action: StoreVersion | SetCurrentVersion) -> None:
        """Write in a thread, one thing after the other; a disk that fails or is slow costs no call."""
        files = self.files
        if files is None:
            return
        if isinstance(action, StoreVersion):
            self._in_thread("keep", lambda: files.save(action.header, action.text))
            return
        id = action.id
        if files.chain_too_long(id) and self.versions.in_force is not None and self.versions.in_force.id == id:
            self._write_whole(id, self.versions.in_force.plan)
        else:
            self._in_thread("point", lambda: files.set_current(id))

    def _in_thread(self, what: str, do: Callable[[], bool]) -> None:
        pool = self.context.reactor.getThreadPool()
        self._storing.addCallback(lambda _: deferToThreadPool(self.context.reactor, pool, do))
        self._storing.addCallbacks(lambda done: self._stored(what, done), lambda wrong: self._unstored(what, wrong))

    def _stored(self, what: str, done: bool) -> None:
        self.context.counts[f"versions_store_{what}" if done else "versions_store_not_whole"] += 1

    def _unstored(self, what: str, wrong: Failure) -> None:
        self.context.counts["versions_store_failures"] += 1
        log.warning("version not stored", step=what, error=str(wrong.value))

    def _write_whole(self, id: VersionId, plan: Plan) -> None:
        """Write a plan that stands on many deltas as one full version, a few lines a turn."""
        pieces: list[bytes] = []
        counted = [0, 0]  # records, octets

        def some(records: Iterator[Any]) -> None:
            lines = [write_line(record) for record, _ in zip(records, range(LINES_A_TURN), strict=False)]
            if lines:
                pieces.append(b"\n".join((*lines, b"")))
                counted[0] += len(lines)
                counted[1] += len(pieces[-1])
                self.context.reactor.callLater(0, some, records)
            elif (files := self.files) is not None:
                header = Header(id.epoch, id.number, counted[0], counted[1], digest_of(pieces), f"{plan.state:064x}")
                self._in_thread("keep", lambda: files.save(header, pieces))
                self._in_thread("point", lambda: files.set_current(id))

        some(plan.records())


def digest_of(pieces: list[bytes]) -> str:
    """Return the SHA-256 of a text in pieces."""
    digest = hashlib.sha256()
    for piece in pieces:
        digest.update(piece)
    return digest.hexdigest()


def make(context: PartContext, path: Path) -> VersionsPart:
    """Make the part; raises ConfigError."""
    return VersionsPart(context, path)
