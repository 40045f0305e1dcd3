"""Loads plan files: reads, parses, builds and validates a plan, and encodes it as a version.

At a start this is done in one go. Later it is done in small steps between calls, since its time grows with the file.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from pathlib import Path

from astertrack.config import ConfigError
from astertrack.plan import Plan, PlanBuilder, PlanError
from astertrack.plan.files import PlanFile, VersionTable, parse_plan
from astertrack.stepwise import Offload, Steps, run_to_end
from astertrack.versions import Header, VersionId
from astertrack.versions.model import FullVersionEncoder

DEFAULT_VERSION = VersionTable(number=1)  # of a file without a [version] table
RECORDS_FREED_PER_STEP = 1_000  # freeing 400,000 records at once takes 10 ms


@dataclass(frozen=True, slots=True)
class LoadedPlan:
    """The validated plan of a file, as a version."""

    header: Header
    plan: Plan
    text: tuple[bytes, ...]  # of the version, as written to the store
    fingerprint: str  # SHA-256 of the file


@dataclass(frozen=True, slots=True)
class _FileContents:
    text: str
    fingerprint: str


def _read(path: Path) -> _FileContents | ConfigError:
    """Read a file; return the error instead of raising it."""
    try:
        data = path.read_bytes()
        return _FileContents(data.decode(), hashlib.sha256(data).hexdigest())
    except (OSError, UnicodeDecodeError) as error:
        return ConfigError(f"{path}: {error}")


def _locate(error: PlanError, plan_file: PlanFile) -> str:
    """Describe an error in the records of a file, with the kind and the key of the record at fault."""
    finding = error.finding
    record = plan_file.records[finding.line - 1] if finding.line else None
    location = f"{record.__struct_config__.tag} {record.key()!r}: " if record is not None else ""
    return f"{location}{finding.reason.value}: {finding.path or 'record'}: {finding.expected}"


def load_plan_file(path: Path) -> Steps[LoadedPlan]:
    """Load a plan file in small steps. Raises ConfigError, naming the file and the record."""
    contents: _FileContents | ConfigError = yield Offload(lambda: _read(path))
    if isinstance(contents, ConfigError):
        raise contents
    try:
        plan_file = yield from parse_plan(contents.text)
    except PlanError as error:
        raise ConfigError(f"{path}: {error}") from None
    try:
        plan, encoder = yield from _build(plan_file)
    except PlanError as error:
        raise ConfigError(f"{path}: {_locate(error, plan_file)}") from None
    version = plan_file.version or DEFAULT_VERSION
    header, text = encoder.finish(VersionId(version.epoch, version.number), plan.state, version.in_force_ms)
    return LoadedPlan(header, plan, text, contents.fingerprint)


def _build(plan_file: PlanFile) -> Steps[tuple[Plan, FullVersionEncoder]]:
    """Build the plan of a file, and encode its records. Removes them from the file. Raises PlanError."""
    builder, encoder = PlanBuilder(), FullVersionEncoder()
    for record in plan_file.records:
        builder.apply(record)
        encoder.add(record)
        yield None
    yield from builder.validate()
    while plan_file.records:
        del plan_file.records[-RECORDS_FREED_PER_STEP:]
        yield None
    return builder.finish(), encoder


def read_plan_file(path: Path) -> tuple[VersionId, Plan, int]:
    """Read a plan file in one go: its version, its plan, and its activation time in Unix ms (0: immediately).

    A file without a [version] table is version 1.1. Raises ConfigError.
    """
    loaded = run_to_end(load_plan_file(path))
    return loaded.header.id, loaded.plan, loaded.header.in_force_ms
