"""Versions of the plan: their numbers, what their heads say, what is reported of them and what is to be done."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Literal

import msgspec

from astertrack.checking import split_validation_error
from astertrack.plan import Finding, Plan, PlanError, Reason, write_line
from astertrack.plan.model import PlanLine

# A version of 100,000 prefixes has 5 MiB. Six times that is a bound for a service that has lost its way; settings
# may name another one.
MAX_VERSION_BYTES = 32 * 2**20
MAX_LINE_BYTES = 4 * 1024  # octets of one record; the longest sound one, a choice over 64 tandems, has under 1,000


@dataclass(frozen=True, slots=True, order=True)
class VersionId:
    """A version's place in time: versions of a later epoch come after all of an earlier one."""

    epoch: int
    number: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"

    @classmethod
    def parse(cls, text: str) -> VersionId:
        """Read "epoch.number"; raises ValueError."""
        epoch, dot, number = text.partition(".")
        if not dot or not (epoch.isascii() and epoch.isdigit() and number.isascii() and number.isdigit()):
            raise ValueError(f"not EPOCH.NUMBER: {text!r}")
        return cls(int(epoch), int(number))


_Count = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
_Hex = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class Header(msgspec.Struct, frozen=True, omit_defaults=True):
    """What comes before a version's records. Unknown fields are passed over: a newer service may send more."""

    epoch: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    number: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    records: _Count  # lines that follow
    octets: _Count  # of those lines, each with its end of line
    digest: _Hex  # SHA-256 of those lines, each with its end of line
    state: _Hex  # the digest of the plan that results, as astertrack.plan.model.digest sums it
    kind: Literal["full", "delta"] = "full"
    base: Annotated[int, msgspec.Meta(ge=1, lt=2**53)] | None = None  # of a delta: the version it changes
    in_force_ms: _Count = 0  # Unix time from which it is in force; 0 or past: as soon as it is checked

    @property
    def id(self) -> VersionId:
        """The version's place in time."""
        return VersionId(self.epoch, self.number)


_headers = msgspec.json.Decoder(Header)


def read_header(raw: bytes | str) -> Header:
    """Read a head, or raise Refused with its finding."""
    try:
        return _headers.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
        expected, path = split_validation_error(wrong)
        raise PlanError(Finding(Reason.SCHEMA, expected, 0, path)) from None


def write_header(header: Header) -> bytes:
    """Put a head into JSON."""
    return msgspec.json.encode(header)


@dataclass(frozen=True, slots=True)
class Document:
    """A whole version: its head and its lines, as they go over the wire and into the store."""

    header: Header
    lines: tuple[bytes, ...]

    def text(self) -> bytes:
        """Return the lines as one text, each with its end of line."""
        return b"".join(line + b"\n" for line in self.lines)


def make_document(id: VersionId, lines: Iterable[PlanLine], state: int, base: int | None = None,
                  in_force_ms: int = 0) -> Document:
    """Make the document of a full version, or with a base that of a delta."""
    raw = tuple(write_line(line) for line in lines)
    digest, octets = hashlib.sha256(), 0
    for line in raw:
        digest.update(line + b"\n")
        octets += len(line) + 1
    return Document(Header(id.epoch, id.number, len(raw), octets, digest.hexdigest(), f"{state:064x}",
                           "full" if base is None else "delta", base, in_force_ms), raw)


class VersionState(Enum):
    """What is reported of a version."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    IN_FORCE = "in-force"
    SUPERSEDED = "superseded"
    SETTLED = "settled"  # its probation is over, and it stays
    ROLLED_BACK = "rolled-back"


class Report(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a router's status. `boot` and `seq` name it: heard twice, it is the same one."""

    router: str
    boot: str
    seq: int
    epoch: int
    number: int
    stand: str
    at_us: int  # the instant at which it became so
    reason: str = ""
    line: int = 0
    path: str = ""
    expected: str = ""
    to: str = ""  # of a roll-back: the version in force again


@dataclass(frozen=True, slots=True)
class ActiveVersion:
    """The version that calls follow from an instant on."""

    id: VersionId
    plan: Plan
    since_us: int


# ---- what the machine asks its driver to do


@dataclass(frozen=True, slots=True)
class SendReport:
    """Report to the service until it has been heard."""

    report: Report


@dataclass(frozen=True, slots=True)
class StoreVersion:
    """Write an accepted version to the store, where there is one. Its text comes in the pieces in which it came.

    Few large pieces, not lines: a thread that handled 100,000 of those would keep the program's lock from the calls.
    """

    header: Header
    text: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class SetCurrentVersion:
    """Make this version the one that the store serves at a start."""

    id: VersionId


@dataclass(frozen=True, slots=True)
class RequestFullVersion:
    """Ask the service for a full version: what it sends builds on something that is not here."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line for the log."""

    event: str
    values: tuple[tuple[str, object], ...] = ()


Action = SendReport | StoreVersion | SetCurrentVersion | RequestFullVersion | LogEvent
