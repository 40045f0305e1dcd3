"""Data types of plan versions: identifiers, headers, documents, reports, and the actions of the version manager."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Literal

import msgspec

from astertrack.checking import split_validation_error
from astertrack.plan import Finding, Plan, PlanError, Reason, write_line
from astertrack.plan.model import PlanLine, Record

# A version with 100,000 prefixes has 5 MiB. Six times that bounds what a faulty service can send; the settings may
# give another limit.
MAX_VERSION_BYTES = 32 * 2**20
# The longest common record, a choice with 64 exchanges, has less than 1,000 bytes. The number of tandems in the groups
# of a choice has no other limit.
MAX_LINE_BYTES = 4 * 1024
PIECE_LINES = 200  # in a piece of a text that is written to the store


@dataclass(frozen=True, slots=True, order=True)
class VersionId:
    """The identifier of a version. Versions of a later epoch order after all versions of an earlier one."""

    epoch: int
    number: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"

    @classmethod
    def parse(cls, text: str) -> VersionId:
        """Parse "epoch.number". Raises ValueError."""
        epoch, dot, number = text.partition(".")
        if not dot or not (epoch.isascii() and epoch.isdigit() and number.isascii() and number.isdigit()):
            raise ValueError(f"not EPOCH.NUMBER: {text!r}")
        return cls(int(epoch), int(number))


_Count = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
_Hex = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]


class Header(msgspec.Struct, frozen=True, omit_defaults=True):
    """The header of a version. Unknown fields are ignored, since a newer service may send more."""

    epoch: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    number: Annotated[int, msgspec.Meta(ge=1, lt=2**53)]
    records: _Count  # number of lines that follow
    octets: _Count  # bytes of those lines, including their line ends
    digest: _Hex  # SHA-256 of those lines, including their line ends
    state: _Hex  # digest of the resulting plan: the sum of astertrack.plan.model.record_digest over its records
    kind: Literal["full", "delta"] = "full"
    base: Annotated[int, msgspec.Meta(ge=1, lt=2**53)] | None = None  # number of the version that a delta changes
    in_force_ms: _Count = 0  # Unix time from which it is in force; 0 or past: as soon as it has been validated

    @property
    def id(self) -> VersionId:
        """The identifier of the version."""
        return VersionId(self.epoch, self.number)


_header_decoder = msgspec.json.Decoder(Header)


def read_header(raw: bytes | str) -> Header:
    """Decode a header. Raises PlanError with a finding."""
    try:
        return _header_decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        expected, path = split_validation_error(error)
        raise PlanError(Finding(Reason.SCHEMA, expected, 0, path)) from None


def write_header(header: Header) -> bytes:
    """Encode a header as JSON."""
    return msgspec.json.encode(header)


@dataclass(frozen=True, slots=True)
class Document:
    """A complete version: its header and its lines, as they are sent over the wire and written to the store."""

    header: Header
    lines: tuple[bytes, ...]

    def text(self) -> bytes:
        """Return the lines with their line ends as one byte string."""
        return b"".join(line + b"\n" for line in self.lines)


def make_document(id: VersionId, lines: Iterable[PlanLine], state: int, base: int | None = None,
                  in_force_ms: int = 0) -> Document:
    """Create the document of a full version or, if base is given, of a delta on that version."""
    encoded = tuple(write_line(line) for line in lines)
    digest, octets = hashlib.sha256(), 0
    for line in encoded:
        digest.update(line + b"\n")
        octets += len(line) + 1
    return Document(Header(id.epoch, id.number, len(encoded), octets, digest.hexdigest(), f"{state:064x}",
                           "full" if base is None else "delta", base, in_force_ms), encoded)


class FullVersionEncoder:
    """Encodes the records of a plan as the text of a full version, one record at a time.

    The text is in pieces of PIECE_LINES lines: a thread that handled 100,000 lines would hold the interpreter lock and
    delay calls.
    """

    def __init__(self) -> None:
        self._lines: list[bytes] = []  # of the piece that is not complete
        self._pieces: list[bytes] = []
        self._digest, self._record_count, self._byte_count = hashlib.sha256(), 0, 0

    def add(self, record: Record) -> None:
        """Encode the next record."""
        self._lines.append(write_line(record))
        if len(self._lines) == PIECE_LINES:
            self._complete_piece()

    def _complete_piece(self) -> None:
        piece = b"\n".join((*self._lines, b""))
        self._pieces.append(piece)
        self._digest.update(piece)
        self._record_count += len(self._lines)
        self._byte_count += len(piece)
        self._lines = []

    def finish(self, id: VersionId, state: int, in_force_ms: int = 0) -> tuple[Header, tuple[bytes, ...]]:
        """Return the header and the text of the version; `state` is the digest of the plan."""
        if self._lines:
            self._complete_piece()
        header = Header(id.epoch, id.number, self._record_count, self._byte_count, self._digest.hexdigest(),
                        f"{state:064x}", in_force_ms=in_force_ms)
        return header, tuple(self._pieces)


class VersionState(Enum):
    """The states of a version, as reported to the control service."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    IN_FORCE = "in-force"
    SUPERSEDED = "superseded"
    SETTLED = "settled"  # its probation has ended, and it stays in force
    ROLLED_BACK = "rolled-back"


class Report(msgspec.Struct, frozen=True, omit_defaults=True):
    """A status report of a router on one version.

    `router`, `boot` and `seq` identify it, so that duplicates are recognised. After a refusal or a rollback, `reason`,
    `line`, `path` and `expected` have the Finding.
    """

    router: str  # name of the router
    boot: str  # identifies the process of the router, in which `seq` rises
    seq: int
    epoch: int
    number: int
    stand: str  # value of a VersionState
    at_us: int  # time of the change of state
    reason: str = ""
    line: int = 0
    path: str = ""
    expected: str = ""
    to: str = ""  # after a rollback: the version that is in force again


@dataclass(frozen=True, slots=True)
class ActiveVersion:
    """A version that is in force for calls admitted from `since_us` on."""

    id: VersionId
    plan: Plan
    since_us: int


# ---- actions that the version manager requests from its driver


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a report to the service until the service has acknowledged it."""

    report: Report


@dataclass(frozen=True, slots=True)
class StoreVersion:
    """Write an accepted version to the store, if there is one. The text has the pieces in which it was received.

    It has few large pieces instead of lines: a thread that handles 100,000 lines would hold the interpreter lock and
    delay calls.
    """

    header: Header
    text: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class SetCurrentVersion:
    """Make this version the one that is loaded from the store at the next start."""

    id: VersionId


@dataclass(frozen=True, slots=True)
class RequestFullVersion:
    """Request a full version from the service.

    What it sent was incomplete, corrupt, or a delta on a base that is not available here.
    """


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an event to the log."""

    event: str
    values: tuple[tuple[str, object], ...] = ()


Action = SendReport | StoreVersion | SetCurrentVersion | RequestFullVersion | LogEvent
