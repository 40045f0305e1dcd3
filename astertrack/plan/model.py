"""The record types of the routing plan, their schema, and the findings that describe an invalid record.

A plan is a set of records, each with a unique key. On the wire a record is one line of JSON with its `kind`, so that
a plan of any size can be read and validated incrementally; in a plan file it is a TOML table. Called numbers consist
of the digits 0-9 and the letters a-f, as the platform defines them.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any

import msgspec

from astertrack.checking import split_validation_error

MAX_PREFIX_LENGTH = 32  # characters; a called number has 16 on the platform, 15 by E.164
# Prefixes per range; a range that needs more is refused. A decimal range of n digits needs 18 n at most.
MAX_RANGE_PREFIXES = 400
MAX_EXCLUDED_EXCHANGES = 64  # per choice
MAX_WAIT_MS = 3_600_000  # one hour; the random extension by `spread` comes on top

ExchangeNumber = Annotated[int, msgspec.Meta(ge=0, lt=2**31, description="the number of an exchange")]
Digits = Annotated[str, msgspec.Meta(pattern="^[0-9a-f]*$", max_length=MAX_PREFIX_LENGTH)]
WaitMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_WAIT_MS)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern="^[^\\x00-\\x1f]*$")]
Count = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
ANY = "*"  # matches every destination, class or zone


class Reason(Enum):
    """Why a version was refused or rolled back.

    The remedies are described in docs/operators/config-versions.md. The values are reported to the service, and stay.
    """

    SCHEMA = "schema"  # a line is not a record, or a field has an invalid value
    DUPLICATE = "doubled"  # two records with the same key, or two meanings of one prefix
    MISSING = "missing"  # a delta removes a record that does not exist
    UNKNOWN_EXCHANGE = "unknown-exchange"  # a record refers to an exchange that has no record
    ROUTE_THROUGH_ITSELF = "route-through-itself"  # a choice names its own destination as a tandem or as excluded
    ALIAS_LOOP = "alias-loop"  # aliases that form a loop, or too many in a row
    NO_ROUTE = "no-route"  # a choice that leaves a destination without any route
    TOO_MANY = "too-many"  # too many records, prefixes of a range, queued or scheduled versions
    TOO_LARGE = "too-large"  # too many bytes in the version or in a record
    LENGTH_MISMATCH = "length"  # the lines do not have the number of records or bytes in the header
    DIGEST_MISMATCH = "digest"  # the lines do not have the digest in the header
    STATE_MISMATCH = "state"  # the resulting plan does not have the digest (`state`) in the header
    BASE_MISSING = "base-missing"  # a delta on a version that is neither in force nor scheduled
    STALE = "stale"  # number not above that of the newest accepted version
    OLD_EPOCH = "old-epoch"  # epoch before that of the newest accepted version
    CONFLICTING_CONTENTS = "two-contents"  # a version received before, now with another plan
    SUPERSEDED = "superseded"  # followed by a newer full version before its validation began
    PROBATION = "probation"  # rolled back: calls fail more often than before


@dataclass(frozen=True, slots=True)
class Finding:
    """An error in a version: its position, and what was expected there or is wrong.

    `line` is the number of the record, counted from 1; 0 stands for the version as a whole. `path` names the field,
    such as `over[0][1]`, and is empty if the error concerns no single field.
    """

    reason: Reason
    expected: str
    line: int = 0
    path: str = ""

    def __str__(self) -> str:
        position = ", ".join(part for part in (f"record {self.line}" if self.line else "", self.path) if part)
        return f"{self.reason.value}: {position}{': ' if position else ''}{self.expected}"


class PlanError(Exception):
    """Raised when a plan cannot be built; `finding` says why."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class _Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind", omit_defaults=True):
    """The base of all records. Unknown fields are errors, so that a misspelt field name is not ignored."""

    def key(self) -> str:
        """Return the key, unique among the records of this kind."""
        raise NotImplementedError


class Exchange(_Record, frozen=True, tag="exchange"):
    """An exchange and its zone. Other records may refer only to exchanges that have such a record."""

    number: ExchangeNumber
    zone: str = ""

    def key(self) -> str:
        """Return the key, unique among the records of this kind."""
        return str(self.number)


class Prefix(_Record, frozen=True, tag="prefix"):
    """Numbers with this prefix belong to an exchange."""

    digits: Digits
    exchange: ExchangeNumber

    def key(self) -> str:
        """Return the key, unique among the records of this kind."""
        return self.digits


class Barred(_Record, frozen=True, tag="barred"):
    """Calls to numbers with this prefix are refused at once, with advice on when to retry."""

    digits: Digits
    wait_ms: WaitMs | None = None  # None: the wait that RetryAdvice gives for the cause "barred"

    def key(self) -> str:
        """Return the key, unique among the records of this kind."""
        return self.digits


class Alias(_Record, frozen=True, tag="alias"):
    """Numbers with the prefix `digits` are routed as if they had the prefix `to` instead."""

    digits: Digits
    to: Digits

    def key(self) -> str:
        """Return the key, unique among the records of this kind."""
        return self.digits


class Range(_Record, frozen=True, tag="range"):
    """Numbers from `first` to `last`, which have equal length, and all their extensions belong to an exchange."""

    first: Digits
    last: Digits
    exchange: ExchangeNumber

    def key(self) -> str:
        """Return the key, unique among the records of this kind."""
        return f"{self.first}-{self.last}"


class Choice(_Record, frozen=True, tag="choice"):
    """The permitted routes to a destination, in order of preference, for a class of call and for routers of a zone.

    Of the choices that match a call the most specific one applies: by exchange, then by class, then by zone.
    `direct`: whether the direct route may be used. `over`: groups of tandems, the first group preferred over the
    second; if empty, any tandem. `never`: excluded tandems, whatever the other fields allow.
    """

    exchange: ExchangeNumber | None = None  # None: every destination
    service: str = msgspec.field(default=ANY, name="class")
    zone: str = ANY
    direct: bool = True
    over: Annotated[list[list[ExchangeNumber]], msgspec.Meta(max_length=8)] = []
    never: Annotated[list[ExchangeNumber], msgspec.Meta(max_length=MAX_EXCLUDED_EXCHANGES)] = []
    # Whether any other tandem may be used after the groups of `over`. Has no effect if `over` is empty.
    any_tandem: bool = True

    def key(self) -> str:
        """Return the key, unique among the records of this kind."""
        return f"{ANY if self.exchange is None else self.exchange}/{self.service}/{self.zone}"


class Limit(_Record, frozen=True, tag="limit"):
    """The maximum number of concurrent calls and the maximum rate of admitted calls, of the calls that it matches.

    A call matches by destination, class and number prefix. Each router enforces its limits on its own: a figure applies
    per router. Calls in transit already hold circuits and are counted only if `transit` is set.
    """

    name: Name
    exchange: ExchangeNumber | None = None  # destination; None: every destination
    service: str = msgspec.field(default=ANY, name="class")
    digits: Digits = ""  # prefix of the called number
    in_hand: Count | None = None  # maximum number of concurrent calls; None: unlimited
    per_s: Rate | None = None  # maximum rate of admitted calls per second; None: unlimited
    burst: Annotated[float, msgspec.Meta(ge=1, le=1e6)] = 1.0  # calls admitted at once after a pause: the bucket size
    transit: bool = False
    wait_ms: WaitMs | None = None  # None: the wait that RetryAdvice gives for the cause "limit"

    def key(self) -> str:
        """Return the key, unique among the records of this kind."""
        return self.name


class RetryAdvice(_Record, frozen=True, tag="told"):
    """The retry advice for refused callers, by cause: a wait, extended at random by up to the fraction `spread`."""

    cause: str  # one of CAUSES
    wait_ms: WaitMs
    spread: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.25

    def key(self) -> str:
        """Return the key, unique among the records of this kind."""
        return self.cause


class Unmatched(_Record, frozen=True, tag="unmatched"):
    """Calls to numbers that match no prefix: they go to the destination that the caller gave, or are refused."""

    refuse: bool = False

    def key(self) -> str:
        """Return the key, unique among the records of this kind."""
        return ""


class Drop(_Record, frozen=True, tag="drop"):
    """In a delta: removes the record of this kind and key."""

    of: str  # kind of the record
    key_: str = msgspec.field(name="key")  # as returned by key() of the record


Record = Exchange | Prefix | Barred | Alias | Range | Choice | Limit | RetryAdvice | Unmatched
PlanLine = Record | Drop
KINDS: dict[str, type[Any]] = {
    "exchange": Exchange, "prefix": Prefix, "barred": Barred, "alias": Alias, "range": Range, "choice": Choice,
    "limit": Limit, "told": RetryAdvice, "unmatched": Unmatched}
CAUSES = ("barred", "limit", "unmatched", "no-route")  # causes of refusals by a plan

_line_decoder: msgspec.json.Decoder[PlanLine] = msgspec.json.Decoder(PlanLine)
_line_encoder = msgspec.json.Encoder(order="deterministic")


def kind_of(record: Record) -> str:
    """Return the kind of a record, as its `kind` field names it on the wire."""
    return str(record.__struct_config__.tag)


def _finding(error: Exception, line_number: int) -> Finding:
    """Convert a validation error into a finding with the expected value and the path to the field."""
    expected, path = split_validation_error(error)
    return Finding(Reason.SCHEMA, expected, line_number, path)


def read_line(raw: bytes | str, line_number: int) -> PlanLine:
    """Decode one line of a version. Raises PlanError with a finding that has the line number."""
    try:
        return _line_decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PlanError(_finding(error, line_number)) from None


def read_table(kind: str, table: object, line_number: int) -> Record:
    """Decode one TOML table of a plan file. Raises PlanError with a finding."""
    if kind not in KINDS:
        raise PlanError(Finding(Reason.SCHEMA, f"a known kind of record: {', '.join(KINDS)}", 0, kind))
    try:
        record: Record = msgspec.convert(table, KINDS[kind])
    except msgspec.ValidationError as error:
        raise PlanError(_finding(error, line_number)) from None
    return record


def write_line(line: PlanLine) -> bytes:
    """Encode a record or a Drop in its canonical wire form, over which the digest of a record is computed."""
    return _line_encoder.encode(line)


def record_digest(record: Record) -> int:
    """Return the digest of a record, an integer below 2**256.

    The digest of a plan is the sum of the digests of its records modulo 2**256: it does not depend on their order,
    and a delta changes it by the digests of the records that it adds and removes. (AdHash: Bellare and Micciancio,
    "A new paradigm for collision-free hashing", EUROCRYPT 1997.) It protects against mistakes and lost deltas, not
    against forgery: whoever can forge the service's stream can forge the digest, too.
    """
    return int.from_bytes(hashlib.sha256(write_line(record)).digest())


@dataclass(frozen=True, slots=True)
class Route:
    """The destination exchange of a call, and the routes that the plan permits to it.

    `tiers` are groups of exchanges to which a set-up may be sent, the first group preferred over the second; None in
    the last place stands for any other exchange. If empty, the decision module chooses freely. `never` are excluded
    exchanges, which take precedence over the tiers.
    """

    dest: int
    tiers: tuple[frozenset[int] | None, ...] = ()
    never: frozenset[int] = frozenset()

    def permits(self, number: int) -> bool:
        """Return whether a set-up may be sent to this exchange at all."""
        return number not in self.never and (
            not self.tiers or any(tier is None or number in tier for tier in self.tiers))


@dataclass(frozen=True, slots=True)
class PlanRefusal:
    """The refusal of a call by a plan: its cause, and the wait before a retry in microseconds."""

    cause: str
    wait_us: int
    source: str = ""  # name of the limit, or the barred prefix
