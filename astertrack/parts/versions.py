"""The part of a router that handles versions of the routing plan.

It applies the plan in force as an admission policy, receives new versions from the control service or from a file,
and stores accepted ones on disk.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable, Sequence
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
from astertrack.net.cooperative import CooperativeRunner
from astertrack.parts import read_toml
from astertrack.parts.model import PartContext
from astertrack.parts.planfile import LoadedPlan, load_plan_file
from astertrack.plan import Plan, PlanAdmission, PlanEvaluator, PlanRefusal, RouteQuery
from astertrack.stepwise import Steps, run_to_end
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
)
from astertrack.versions.model import FullVersionEncoder
from ospreylug import interface as io

log = structlog.get_logger()
NO_PLAN_WAIT_US = 2_000_000  # wait before a retry, given while a call needs a plan and there is none yet
ZONE_OUTAGE_RATIO = 0.5  # a zone is marked as disturbed if at least this fraction of its exchanges is not healthy
# After this time the store's thread yields the interpreter lock (GIL) to the reactor's thread, which handles calls.
# With Python's default, calls would wait 5 ms for it.
SWITCH_INTERVAL_S = 0.0005


class _Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    address: str = ""


class _PlanFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    file: str = ""


class _Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    folder: str = ""


class _Probation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    seconds: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 10.0


class _Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    octets: Annotated[int, msgspec.Meta(ge=1024, le=2**31)] = 32 * 2**20  # maximum size of a version in bytes


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The versions file, deploy/versions.toml."""

    service: _Service = _Service()
    plan: _PlanFile = _PlanFile()
    store: _Store = _Store()
    probation: _Probation = _Probation()
    limits: _Limits = _Limits()


def read_settings(path: Path) -> Settings:
    """Read and validate the versions file. Raises ConfigError, naming the file, the field and what was expected."""
    try:
        settings = msgspec.convert(read_toml(path), Settings)
    except msgspec.ValidationError as error:
        expected, field = split_validation_error(error)
        raise ConfigError(f"{path}: {field or 'the file'}: {expected}") from None
    if settings.service.address:
        _, port = split_address(settings.service.address, f"{path}: service.address")
        if not port:
            raise ConfigError(f"{path}: service.address: a port above 0 is required")
    return settings


@dataclass(frozen=True, slots=True)
class _Token:
    """The policy's state of an admitted call, which keeps the version in force at its admission until it ends."""

    version: ActiveVersion
    admission: PlanAdmission
    dest: int  # as given by the caller


class PlanPolicy:
    """The gate's policy that applies the routing plan in force."""

    name = "plan"
    fail_closed = False

    def __init__(self, versions: VersionManager, evaluator: PlanEvaluator) -> None:
        self.versions, self.evaluator = versions, evaluator

    def admit(self, request: Request, now_us: int) -> Approval | Refusal | None:
        """Resolve, constrain or refuse a call by the version in force at this time."""
        version = self.versions.activate_due(now_us)
        if version is None:
            return Refusal("no-plan", NO_PLAN_WAIT_US) if request.dest < 0 else None
        dest = request.dest
        decision = self.evaluator.admit(
            version.plan, RouteQuery(request.number, dest, request.service_name, request.transit), now_us)
        label = str(version.id)
        if isinstance(decision, PlanRefusal):
            if decision.cause == "unmatched" and not request.transit:
                self._record_outcome(version, request, dest, now_us, failed=True)
            return Refusal(decision.cause, decision.wait_us, label)
        route = decision.route
        return Approval(route.dest, RouteConstraint(route.tiers, route.never), label, _Token(version, decision, dest))

    def permits(self, token: object, request: Request, entry: io.Entry, now_us: int) -> bool:
        """Return True: the gate itself enforces the route constraint of the approval."""
        return True

    def sent(self, token: object, request: Request, entry: io.Entry, now_us: int) -> None:
        """Do nothing: neither limits nor outcomes depend on set-ups."""

    def final(self, token: object, request: Request, final: FinalResult, now_us: int) -> None:
        """Record the outcome of the call under its version, which may be on probation.

        Calls that their callers cancelled and calls in transit are not recorded: they say nothing about the version.
        """
        if isinstance(token, _Token) and final is not FinalResult.CANCELLED and not request.transit:
            self._record_outcome(token.version, request, token.dest, now_us, final is not FinalResult.ANSWERED)

    def _record_outcome(self, version: ActiveVersion, request: Request, dest: int, now_us: int, failed: bool) -> None:
        exchange = version.plan.records_of("exchange").get(str(request.dest))
        zone = exchange.zone if exchange is not None else ""
        self.versions.record_outcome(
            version.id, CallOutcome(request.number, dest, request.service_name, zone, now_us, failed))

    def over(self, token: object, request: Request, now_us: int) -> None:
        """Release the call from the limits in which it counts."""
        if isinstance(token, _Token):
            self.evaluator.release(token.admission)


class VersionsPart:
    """The plan policy, the control client and the store of one router."""

    def __init__(self, context: PartContext, path: Path) -> None:
        self.context, self.path = context, path
        self.settings = read_settings(path)
        config, settings = context.config, self.settings
        zones, zone_index = config.zones, config.settings.zone
        zone = zones[zone_index] if 0 <= zone_index < len(zones) else ""
        self.random_source = random.Random(config.seed)
        self.versions = VersionManager(
            VersionSettings(config.name, zone, int(settings.probation.seconds * 1e6), settings.limits.octets,
                            bool(settings.store.folder)), self.random_source)
        self.files = VersionFiles(Path(settings.store.folder)) if settings.store.folder else None
        if self.files is not None:
            sys.setswitchinterval(SWITCH_INTERVAL_S)
        self.client = ControlClient(settings.service.address, config.name, self.versions, context.clock, context.counts,
                                    self.random_source, self._write_to_store)
        self.policy = PlanPolicy(self.versions, PlanEvaluator(zone, config.settings.home, self.random_source))
        self.router: Router | None = None
        self._write_queue: Deferred[Any] = succeed(None)
        self.runner = CooperativeRunner(context.reactor)  # for work that grows with a plan
        self._offered_fingerprint = ""  # of the plan file's contents that were offered last
        self._is_reloading = self._must_reload_again = self._stopped = False

    def policies(self) -> Sequence[Policy]:
        """Return its admission policy for the gate."""
        return (self.policy,)

    def start(self, router: Router) -> None:
        """Restore the last good version from the store, offer that of the plan file, and connect to the service."""
        self.router = router
        if self.files is not None:
            stored_version, errors = self.files.load()
            for message in errors:
                self.context.counts["versions_store_spoilt"] += 1
                log.warning("kept version cannot be used", folder=str(self.files.folder), error=message)
            if stored_version is not None:
                self.versions.restore(stored_version.id, stored_version.plan, router.now_us())
                log.info("kept version in force", version=str(stored_version.id), records=stored_version.plan.size)
        if self.settings.plan.file:
            self._offer(run_to_end(load_plan_file(self._plan_path(self.settings))))
        self.client.start()
        self._check_zones()

    def _plan_path(self, settings: Settings) -> Path:
        return self.path.parent / settings.plan.file  # relative to the versions file

    def _offer(self, loaded: LoadedPlan) -> None:
        """Offer the plan file's version like those of the service, so that the same order applies to it."""
        assert self.router is not None
        self._offered_fingerprint = loaded.fingerprint
        self.versions.receive_validated(loaded.header, loaded.plan, loaded.text, self.router.now_us())
        self.client.execute_actions()
        self.client.schedule_work()

    def reload(self) -> None:
        """Read the settings again, and switch to the service and the plan file that they name now.

        The plan file is loaded between calls. If SIGHUP arrives meanwhile, it is loaded again afterwards. Changes of
        the other settings need a restart. Invalid files change nothing.
        """
        if self._stopped:
            return
        if self._is_reloading:
            self._must_reload_again = True
            return
        try:
            settings = read_settings(self.path)
        except ConfigError as error:
            self._on_reload_failed(error)
            return
        if not settings.plan.file:
            self._apply_settings(settings)
            return
        self._is_reloading = True
        loading = self.runner.run(load_plan_file(self._plan_path(settings)))
        loading.addCallbacks(lambda loaded: self._on_plan_loaded(settings, loaded),
                             lambda failure: self._on_reload_failed(failure.value))
        loading.addBoth(lambda _: self._on_reload_ended())

    def _apply_settings(self, settings: Settings) -> None:
        self.settings = settings
        self.client.switch_address(settings.service.address)

    def _on_plan_loaded(self, settings: Settings, loaded: LoadedPlan) -> None:
        self._apply_settings(settings)
        if loaded.fingerprint == self._offered_fingerprint and self.versions.has_verdict(loaded.header.id):
            log.info("plan file unchanged", version=str(loaded.header.id))
        else:
            self._offer(loaded)

    def _on_reload_failed(self, error: Exception) -> None:
        self.context.counts["reloads_failed"] += 1
        log.warning("settings not taken over", error=str(error))

    def _on_reload_ended(self) -> None:
        self._is_reloading = False
        if self._must_reload_again:
            self._must_reload_again = False
            self.reload()

    def stop(self) -> None:
        """Receive no further versions. Current calls keep the versions under which they were admitted."""
        self._stopped = True
        self.runner.stop()
        self.client.stop()

    def update_counters(self) -> None:
        """Update the counters that are computed on request."""
        counts, client = self.context.counts, self.client
        counts.update({name: value - counts[name] for name, value in self.versions.counts.items()})
        counts["control_longest_turn_us"] = client.longest_turn_us
        counts["versions_longest_turn_us"] = self.runner.longest_turn_us
        counts["control_reports_waiting"] = len(client.outbox)
        counts["control_reports_lost"] = client.outbox.dropped
        if client.swap_durations_us:
            counts["versions_swap_p99_us"] = sorted(client.swap_durations_us)[
                int(0.99 * (len(client.swap_durations_us) - 1))]

    # ---- zones

    def _check_zones(self) -> None:
        """Mark zones with unhealthy exchanges as disturbed, so that no version is blamed for failures in them alone."""
        if self._stopped:
            return
        if self.versions.probation is not None and self.router is not None:
            health_by_zone: dict[int, list[bool]] = {}
            for name, link in self.context.peers.links.items():
                entry = self.router.roster.get(name)
                if entry is not None:
                    health_by_zone.setdefault(entry.zone, []).append(link.is_healthy())
            for zone, health in health_by_zone.items():
                if health.count(False) >= ZONE_OUTAGE_RATIO * len(health):
                    zones = self.context.config.zones
                    self.versions.mark_disturbed(zones[zone] if 0 <= zone < len(zones) else "")
        self.context.clock.call_at(self.context.clock.now_us() + TICK_INTERVAL_US, self._check_zones)

    # ---- the store

    def _write_to_store(self, action: StoreVersion | SetCurrentVersion) -> None:
        """Carry out a write in a thread, one after the other, so that a failing or slow disk costs no call."""
        files = self.files
        if files is None:
            return
        if isinstance(action, StoreVersion):
            self._run_in_thread("keep", lambda: files.save(action.header, action.text))
            return
        id = action.id
        if files.is_chain_too_long(id) and self.versions.in_force is not None and self.versions.in_force.id == id:
            self._write_full_version(id, self.versions.in_force.plan)
        else:
            self._run_in_thread("point", lambda: files.set_current(id))

    def _run_in_thread(self, step: str, write: Callable[[], bool]) -> None:
        pool = self.context.reactor.getThreadPool()
        self._write_queue.addCallback(lambda _: deferToThreadPool(self.context.reactor, pool, write))
        self._write_queue.addCallbacks(lambda is_complete: self._on_written(step, is_complete),
                                         lambda failure: self._on_write_failed(step, failure))

    def _on_written(self, step: str, is_complete: bool) -> None:
        self.context.counts[f"versions_store_{step}" if is_complete else "versions_store_not_whole"] += 1

    def _on_write_failed(self, step: str, failure: Failure) -> None:
        self.context.counts["versions_store_failures"] += 1
        log.warning("version not stored", step=step, error=str(failure.value))

    def _write_full_version(self, id: VersionId, plan: Plan) -> None:
        """Store a plan that was built from many deltas as one full version, encoded between calls."""
        def write(version: tuple[Header, tuple[bytes, ...]]) -> None:
            if (files := self.files) is not None:
                self._run_in_thread("keep", lambda: files.save(*version))
                self._run_in_thread("point", lambda: files.set_current(id))

        self.runner.run(encode_full_version(id, plan)).addCallback(write)


def encode_full_version(id: VersionId, plan: Plan) -> Steps[tuple[Header, tuple[bytes, ...]]]:
    """Encode a plan as a full version, in steps of one record: return its header and its text."""
    encoder = FullVersionEncoder()
    for record in plan.records():
        encoder.add(record)
        yield None
    return encoder.finish(id, plan.state)


def make(context: PartContext, path: Path) -> VersionsPart:
    """Create the part. Raises ConfigError."""
    return VersionsPart(context, path)
