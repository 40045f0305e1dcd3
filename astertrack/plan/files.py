"""Parser for plan files: TOML documents with one table per record. No I/O.

A file is parsed statement by statement, so that a file of any size can be parsed between calls. A statement here is a
table with its header, or whatever precedes the first one. It ends at the first line that begins with "[" up to which
the text is valid TOML by itself: before that, the line is within an array or a string that is still open.
"""

from __future__ import annotations

import re
import tomllib
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Annotated, Any

import msgspec

from astertrack.checking import split_validation_error
from astertrack.plan.model import KINDS, Finding, PlanError, Reason, Record, read_table
from astertrack.stepwise import Offload, Steps, run_to_end

HEADER_LINE = re.compile(r"\n[ \t]*\[")
ARRAY_OF_TABLES = re.compile(r"\s*\[\[")
MAX_STATEMENT_CHARS = 8 * 1024  # parsed in one step; a longer statement is offloaded
# Lines that are tried as the end of a statement. A choice has at most eight lines within it that begin with "[". In a
# file that is not valid, the end may never be found: it is then parsed as a whole, which says where the error is.
MAX_END_ATTEMPTS = 16


class VersionTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The `[version]` table: version number, epoch of the service, and activation time (Unix ms; 0: immediately)."""

    number: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    epoch: Annotated[int, msgspec.Meta(ge=1, lt=2**53)] = 1
    in_force_ms: Annotated[int, msgspec.Meta(ge=0, lt=2**53)] = 0


@dataclass(frozen=True, slots=True)
class PlanFile:
    """The contents of a plan file."""

    version: VersionTable | None
    records: list[Record]


def _parse_toml(text: str) -> dict[str, Any] | Exception:
    """Parse TOML; return the error instead of raising it."""
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return error


def _possible_ends(text: str, start: int) -> Iterator[int]:
    """Yield where the statement that begins at start may end: before each header line after it, and at the end."""
    for header in HEADER_LINE.finditer(text, start + 1):
        yield header.start() + 1
    yield len(text)


def _parse_statement(text: str, start: int) -> Steps[tuple[dict[str, Any], int] | None]:
    """Parse the statement that begins at start: return its tables and its end, or None if the end was not found."""
    for end in islice(_possible_ends(text, start), MAX_END_ATTEMPTS):
        tables = yield from _parse_toml_in_step(text[start:end])
        if isinstance(tables, dict):
            return tables, end
        yield None
    return None


def _parse_toml_in_step(text: str) -> Steps[dict[str, Any] | Exception]:
    """Parse TOML in this step if it is short, and offloaded if it is not."""
    if len(text) <= MAX_STATEMENT_CHARS:
        return _parse_toml(text)
    result: dict[str, Any] | Exception = yield Offload(lambda: _parse_toml(text))
    return result


class _PlanFileParser:
    """Collects the version and the records of a plan file, table by table."""

    def __init__(self) -> None:
        self.version: VersionTable | None = None
        self.records: list[Record] = []
        self._record_counts: Counter[str] = Counter()  # by kind
        self._closed: set[str] = set()  # tables that must not occur again: all but arrays of tables, `[[name]]`

    def add(self, tables: dict[str, Any], is_array_of_tables: bool) -> Steps[None]:
        """Add the tables of one statement. Raises PlanError."""
        for name, content in tables.items():
            if name in self._closed or (self._record_counts[name] and not is_array_of_tables):
                raise PlanError(Finding(Reason.SCHEMA, f"not TOML: {name!r} occurs twice, and not as [[{name}]]"))
            if not is_array_of_tables:
                self._closed.add(name)
            if name == "version":
                self.version = self._read_version(content)
            else:
                yield from self._add_records(name, content)

    @staticmethod
    def _read_version(content: object) -> VersionTable:
        try:
            return msgspec.convert(content, VersionTable)
        except msgspec.ValidationError as error:
            expected, path = split_validation_error(error)
            raise PlanError(Finding(Reason.SCHEMA, expected, 0, f"version.{path}".rstrip("."))) from None

    def _add_records(self, kind: str, content: object) -> Steps[None]:
        if kind not in KINDS:
            raise PlanError(Finding(Reason.SCHEMA, f"a known kind of record: {', '.join(KINDS)}", 0, kind))
        tables = [content] if isinstance(content, dict) else content
        if not isinstance(tables, list):
            raise PlanError(Finding(Reason.SCHEMA, "a table, or an array of tables", 0, kind))
        for table in tables:
            try:
                self.records.append(read_table(kind, table, 0))
            except PlanError as table_error:
                finding = table_error.finding
                path = f"{kind}[{self._record_counts[kind]}]" + (f".{finding.path}" if finding.path else "")
                raise PlanError(Finding(finding.reason, finding.expected, 0, path)) from None
            self._record_counts[kind] += 1
            yield None


def parse_plan(text: str) -> Steps[PlanFile]:
    """Parse a plan file in steps of one table.

    Raises PlanError with a finding whose path names the table and the field, such as `prefix[3].digits`.
    """
    parser, start = _PlanFileParser(), 0
    while start < len(text):
        statement = yield from _parse_statement(text, start)
        if statement is None:
            return (yield from _parse_as_a_whole(text))
        tables, end = statement
        yield from parser.add(tables, ARRAY_OF_TABLES.match(text, start) is not None)
        start = end
    return PlanFile(parser.version, parser.records)


def _parse_as_a_whole(text: str) -> Steps[PlanFile]:
    tables: dict[str, Any] | Exception = yield Offload(lambda: _parse_toml(text))
    if not isinstance(tables, dict):
        raise PlanError(Finding(Reason.SCHEMA, f"not TOML: {tables}"))
    parser = _PlanFileParser()
    yield from parser.add(tables, is_array_of_tables=False)
    return PlanFile(parser.version, parser.records)


def read_plan(text: str) -> PlanFile:
    """Parse a plan file in one go. Raises PlanError as parse_plan() does."""
    return run_to_end(parse_plan(text))
