"""A plan as a TOML document of ours: the tables that a version's records are written in. Text in, records out."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from astertrack.checking import split_validation_error
from astertrack.plan.model import KINDS, Finding, PlanError, Reason, Record, kind_of, read_table


class VersionTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The `[version]` table: its number, the service's epoch, and from when it is in force (Unix ms; 0: at once)."""

    number: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    epoch: Annotated[int, msgspec.Meta(ge=1, lt=2**53)] = 1
    in_force_ms: Annotated[int, msgspec.Meta(ge=0, lt=2**53)] = 0


@dataclass(frozen=True, slots=True)
class PlanFile:
    """A plan as a file holds it."""

    version: VersionTable | None
    records: tuple[Record, ...]


def read_plan(text: str) -> PlanFile:
    """Read a document; raises Refused with a finding whose path names the table and field, as `prefix[3].digits`."""
    try:
        raw: dict[str, Any] = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise PlanError(Finding(Reason.SCHEMA, f"not TOML: {error}")) from None
    version = raw.pop("version", None)
    head = None
    if version is not None:
        try:
            head = msgspec.convert(version, VersionTable)
        except msgspec.ValidationError as error:
            expected, path = split_validation_error(error)
            raise PlanError(Finding(Reason.SCHEMA, expected, 0, f"version.{path}".rstrip("."))) from None
    records: list[Record] = []
    for kind, held in raw.items():
        if kind not in KINDS:
            raise PlanError(Finding(Reason.SCHEMA, f"no such kind of record; known are {', '.join(KINDS)}", 0, kind))
        tables = [held] if isinstance(held, dict) else held
        if not isinstance(tables, list):
            raise PlanError(Finding(Reason.SCHEMA, "a table, or an array of tables", 0, kind))
        for at, table in enumerate(tables):
            try:
                records.append(read_table(kind, table, 0))
            except PlanError as refused:
                finding = refused.finding
                path = f"{kind}[{at}]" + (f".{finding.path}" if finding.path else "")
                raise PlanError(Finding(finding.reason, finding.expected, 0, path)) from None
    return PlanFile(head, tuple(records))


def name_of(record: Record, records: tuple[Record, ...]) -> str:
    """Return where a record stands in its file, as `choice[2]`, for findings that count records."""
    kind = kind_of(record)
    same = [r for r in records if type(r) is type(record)]
    return f"{kind}[{next(at for at, r in enumerate(same) if r is record)}]"
