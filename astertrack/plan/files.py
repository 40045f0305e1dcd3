"""Parser for plan files: TOML documents with one table per record. No I/O."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from astertrack.checking import split_validation_error
from astertrack.plan.model import KINDS, Finding, PlanError, Reason, Record, kind_of, read_table


class VersionTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The `[version]` table: version number, epoch of the service, and activation time (Unix ms; 0: immediately)."""

    number: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    epoch: Annotated[int, msgspec.Meta(ge=1, lt=2**53)] = 1
    in_force_ms: Annotated[int, msgspec.Meta(ge=0, lt=2**53)] = 0


@dataclass(frozen=True, slots=True)
class PlanFile:
    """The contents of a plan file."""

    version: VersionTable | None
    records: tuple[Record, ...]


def read_plan(text: str) -> PlanFile:
    """Parse a plan file.

    Raises PlanError with a finding whose path names the table and the field, such as `prefix[3].digits`.
    """
    try:
        raw: dict[str, Any] = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise PlanError(Finding(Reason.SCHEMA, f"not TOML: {error}")) from None
    version = raw.pop("version", None)
    version_table = None
    if version is not None:
        try:
            version_table = msgspec.convert(version, VersionTable)
        except msgspec.ValidationError as error:
            expected, path = split_validation_error(error)
            raise PlanError(Finding(Reason.SCHEMA, expected, 0, f"version.{path}".rstrip("."))) from None
    records: list[Record] = []
    for kind, content in raw.items():
        if kind not in KINDS:
            raise PlanError(Finding(Reason.SCHEMA, f"a known kind of record: {', '.join(KINDS)}", 0, kind))
        tables = [content] if isinstance(content, dict) else content
        if not isinstance(tables, list):
            raise PlanError(Finding(Reason.SCHEMA, "a table, or an array of tables", 0, kind))
        for index, table in enumerate(tables):
            try:
                records.append(read_table(kind, table, 0))
            except PlanError as table_error:
                finding = table_error.finding
                path = f"{kind}[{index}]" + (f".{finding.path}" if finding.path else "")
                raise PlanError(Finding(finding.reason, finding.expected, 0, path)) from None
    return PlanFile(version_table, tuple(records))


def record_path(record: Record, records: tuple[Record, ...]) -> str:
    """Return the position of a record in its file, such as `choice[2]`, where a finding has only a record number."""
    kind = kind_of(record)
    same_kind = [other for other in records if type(other) is type(record)]
    return f"{kind}[{next(index for index, other in enumerate(same_kind) if other is record)}]"
