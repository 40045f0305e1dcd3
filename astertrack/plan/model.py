"""What a version of the routing plan holds: records, each checked by itself, and what may be wrong with one.

A plan is a set of records, each with a key of its own. On the wire a record is one line of JSON with its `kind`,
so that a plan of any size is read and checked piece by piece; in our files it is a TOML table. Numbers called
are digits 0-9 and letters a-f, as the platform has them.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any

import msgspec

from astertrack.checking import split_validation_error

MAX_PREFIX_LENGTH = 32  # characters of a prefix: a number called has 16 on the platform, 15 by E.164
RANGE_MOST = 400  # prefixes that one range may stand for; one of n digits needs 18 n at most
TANDEMS_MOST = 64  # exchanges in one choice
WAIT_MOST_MS = 3_600_000

Exchange_ = Annotated[int, msgspec.Meta(ge=0, lt=2**31, description="the number of an exchange")]
Digits = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]*$", max_length=MAX_PREFIX_LENGTH)]
Wait = Annotated[int, msgspec.Meta(ge=0, le=WAIT_MOST_MS)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern="^[^\\x00-\\x1f]*$")]
Count = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
ANY = "*"


class Reason(Enum):
    """Why a version was refused, and where the cure is described in docs/operators/config-versions.md."""

    SCHEMA = "schema"  # a line is no record, or a field's value cannot be used
    DOUBLED = "doubled"  # two records of one key, or two meanings of one prefix
    MISSING = "missing"  # a delta takes out what is not there
    UNKNOWN_EXCHANGE = "unknown-exchange"
    THROUGH_ITSELF = "route-through-itself"
    ALIAS_LOOP = "alias-loop"
    NO_ROUTE = "no-route"  # a choice that leaves a destination without any way
    TOO_MANY = "too-many"
    TOO_LARGE = "too-large"
    LENGTH = "length"
    DIGEST = "digest"
    STATE = "state"  # the plan that a delta makes is not the one that the service has
    BASE_MISSING = "base-missing"
    STALE = "stale"
    OLD_EPOCH = "old-epoch"
    TWO_CONTENTS = "two-contents"
    SUPERSEDED = "superseded"
    PROBATION = "probation"  # taken back: calls failed that did not before


@dataclass(frozen=True, slots=True)
class Finding:
    """What is wrong with a version: where, and what was expected. `line` counts its records from 1; 0: the whole."""

    reason: Reason
    expected: str
    line: int = 0
    path: str = ""

    def __str__(self) -> str:
        where = ", ".join(x for x in (f"record {self.line}" if self.line else "", self.path) if x)
        return f"{self.reason.value}: {where}{': ' if where else ''}{self.expected}"


class PlanError(Exception):
    """A plan that cannot be made; `finding` says why."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class _Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind", omit_defaults=True):
    """What all records share: unknown fields are errors, so that a slip of the pen is not passed over."""

    def key(self) -> str:
        """Return what no two records of this kind share."""
        raise NotImplementedError


class Exchange(_Record, frozen=True, tag="exchange"):
    """An exchange that others may name, and the zone it lies in."""

    number: Exchange_
    zone: str = ""

    def key(self) -> str:
        """Return what no two records of this kind share."""
        return str(self.number)


class Prefix(_Record, frozen=True, tag="prefix"):
    """Numbers that begin so belong to an exchange."""

    digits: Digits
    exchange: Exchange_

    def key(self) -> str:
        """Return what no two records of this kind share."""
        return self.digits


class Barred(_Record, frozen=True, tag="barred"):
    """Numbers that begin so are not called: a quick refusal says when to return, if ever."""

    digits: Digits
    wait_ms: Wait | None = None  # None: as `told` has it for "barred"

    def key(self) -> str:
        """Return what no two records of this kind share."""
        return self.digits


class Alias(_Record, frozen=True, tag="alias"):
    """Numbers that begin with `digits` are routed as those that begin with `to`."""

    digits: Digits
    to: Digits

    def key(self) -> str:
        """Return what no two records of this kind share."""
        return self.digits


class Range(_Record, frozen=True, tag="range"):
    """Numbers from `first` to `last`, of equally many digits, and all that go on from them, belong to an exchange."""

    first: Digits
    last: Digits
    exchange: Exchange_

    def key(self) -> str:
        """Return what no two records of this kind share."""
        return f"{self.first}-{self.last}"


class Choice(_Record, frozen=True, tag="choice"):
    """Which ways lead to a destination, for a class of call and for routers of a zone, in order of choice.

    The most exact of the choices that fit a call holds: by exchange, then by class, then by zone. `direct`: the
    direct way may be taken. `over`: groups of tandems, the first group before the second. Empty: any tandem.
    `never`: tandems that are not taken whatever else is said.
    """

    exchange: Exchange_ | None = None  # None: every destination
    service: str = msgspec.field(default=ANY, name="class")
    zone: str = ANY
    direct: bool = True
    over: Annotated[list[list[Exchange_]], msgspec.Meta(max_length=8)] = []
    never: Annotated[list[Exchange_], msgspec.Meta(max_length=TANDEMS_MOST)] = []
    any_tandem: bool = True  # whether others may be taken when no group of `over` can; with `over` empty: any

    def key(self) -> str:
        """Return what no two records of this kind share."""
        return f"{ANY if self.exchange is None else self.exchange}/{self.service}/{self.zone}"


class Limit(_Record, frozen=True, tag="limit"):
    """How many calls may be in hand, and how many a second be admitted, of those that it names.

    A router keeps its limits by itself: a figure holds for each router. Calls in transit have circuits already
    and are counted only where `transit` says so.
    """

    name: Name
    exchange: Exchange_ | None = None
    service: str = msgspec.field(default=ANY, name="class")
    digits: Digits = ""
    in_hand: Count | None = None
    per_s: Rate | None = None
    burst: Annotated[float, msgspec.Meta(ge=1, le=1e6)] = 1.0
    transit: bool = False
    wait_ms: Wait | None = None

    def key(self) -> str:
        """Return what no two records of this kind share."""
        return self.name


class RetryAdvice(_Record, frozen=True, tag="told"):
    """What a refused caller is told, by cause: after how long to return, spread at random by a share of it."""

    cause: str
    wait_ms: Wait
    spread: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.25

    def key(self) -> str:
        """Return what no two records of this kind share."""
        return self.cause


class Unmatched(_Record, frozen=True, tag="unmatched"):
    """What becomes of a number that no prefix fits: the caller's own destination holds, or it is refused."""

    refuse: bool = False

    def key(self) -> str:
        """Return what no two records of this kind share."""
        return ""


class Drop(_Record, frozen=True, tag="drop"):
    """In a delta: the record of this kind and key is taken out."""

    of: str
    key_: str = msgspec.field(name="key")


Record = Exchange | Prefix | Barred | Alias | Range | Choice | Limit | RetryAdvice | Unmatched
PlanLine = Record | Drop
KINDS: dict[str, type[Any]] = {
    "exchange": Exchange, "prefix": Prefix, "barred": Barred, "alias": Alias, "range": Range, "choice": Choice,
    "limit": Limit, "told": RetryAdvice, "unmatched": Unmatched}
CAUSES = ("barred", "limit", "unmatched", "no-route")  # of refusals by a plan

_lines: msgspec.json.Decoder[PlanLine] = msgspec.json.Decoder(PlanLine)
_encoder = msgspec.json.Encoder(order="deterministic")


def kind_of(record: Record) -> str:
    """Return the kind of a record, as its `kind` field names it on the wire."""
    return str(record.__struct_config__.tag)


def _finding(wrong: Exception, line: int) -> Finding:
    """Turn the checker's words into ours: what was expected, and the path to the field."""
    expected, path = split_validation_error(wrong)
    return Finding(Reason.SCHEMA, expected, line, path)


def read_line(raw: bytes | str, line: int) -> PlanLine:
    """Read one line of a version, or raise Refused with its finding."""
    try:
        return _lines.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
        raise PlanError(_finding(wrong, line)) from None


def from_table(kind: str, table: object, line: int) -> Record:
    """Read one TOML table of our files, or raise Refused with its finding."""
    if kind not in KINDS:
        raise PlanError(Finding(Reason.SCHEMA, f"no such kind of record; known are {', '.join(KINDS)}", 0, kind))
    try:
        record: Record = msgspec.convert(table, KINDS[kind])
    except msgspec.ValidationError as wrong:
        raise PlanError(_finding(wrong, line)) from None
    return record


def write_line(line: PlanLine) -> bytes:
    """Return the one form of a record on the wire, by which it is digested."""
    return _encoder.encode(line)


def digest(record: Record) -> int:
    """Return a record's digest, a number below 2**256.

    The digest of a plan is the sum of its records' modulo 2**256: it does not depend on their order, and a delta
    changes it by what it puts and takes. (AdHash: Bellare and Micciancio, "A new paradigm for collision-free
    hashing", EUROCRYPT 1997. It guards against mistakes and lost deltas; whoever can forge the service's stream
    can forge the digest, too.)
    """
    return int.from_bytes(hashlib.sha256(write_line(record)).digest())


@dataclass(frozen=True, slots=True)
class Route:
    """What a plan lets a call do: the exchange it goes to, and how it may get there.

    `tiers` are groups of exchanges to which a set-up may be sent, the first before the second; None in the last
    place stands for any other. Empty: the module chooses freely. `never` holds whatever the tiers say.
    """

    dest: int
    tiers: tuple[frozenset[int] | None, ...] = ()
    never: frozenset[int] = frozenset()

    def permits(self, number: int) -> bool:
        """Whether a set-up may be sent to this exchange at all."""
        return number not in self.never and (
            not self.tiers or any(tier is None or number in tier for tier in self.tiers))


@dataclass(frozen=True, slots=True)
class PlanRefusal:
    """A plan's refusal: its cause, and the wait that the caller is told, in microseconds."""

    cause: str
    wait_us: int
    by: str = ""  # the limit, or the barred prefix
