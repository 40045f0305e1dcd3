"""The searchable form of a plan, and its incremental construction from records.

A Plan is immutable. A PlanBuilder takes one record at a time, so that its driver can pause between any two records
and process calls; a delta starts from its base plan and shares all that it does not change.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator
from dataclasses import dataclass, field
from typing import Any

from astertrack.plan.aliases import MAX_ALIASES, AliasCheck
from astertrack.plan.model import (
    ANY,
    CAUSES,
    KINDS,
    MAX_PREFIX_LENGTH,
    MAX_RANGE_PREFIXES,
    Alias,
    Barred,
    Choice,
    Drop,
    Exchange,
    Finding,
    Limit,
    PlanError,
    PlanLine,
    Prefix,
    Range,
    Reason,
    Record,
    RetryAdvice,
    Route,
    Unmatched,
    kind_of,
    record_digest,
)
from astertrack.plan.ranges import covering_prefixes
from astertrack.plan.trie import PrefixTrie, TrieEditor

MAX_RECORDS = 2_000_000  # per plan; memory limits an installation sooner
MAX_OTHER_RECORDS = 20_000  # records other than prefixes, per plan
CHECKED_PER_STEP = 64  # references compared with the exchanges in one step of the validation
MODULUS = 2**256

Target = Prefix | Barred | Alias | Range
# The value of a prefix in the trie. To save memory, a plain prefix has only its exchange number, and all prefixes of a
# range share its record.
PrefixValue = int | Barred | Alias | Range


@dataclass(frozen=True, slots=True, weakref_slot=True)
class Plan:
    """A validated plan. Shared by all calls that were admitted while it was in force."""

    prefixes: PrefixTrie[PrefixValue] = field(default_factory=PrefixTrie)
    # By kind and then by key: all records but those of the kinds "prefix" and "barred", which only the trie holds.
    records_by_kind: dict[str, dict[str, Any]] = field(default_factory=dict)
    state: int = 0  # digest of all records, independent of their order: the `state` of a version's header
    size: int = 0  # number of records

    def records_of(self, kind: str) -> dict[str, Any]:
        """Return the records of a kind that is not looked up by number, as a mapping from key to record."""
        return self.records_by_kind.get(kind, {})

    def target(self, number: str) -> PrefixValue | None:
        """Return the value of the longest matching prefix, with aliases followed; None if no prefix matches."""
        for _ in range(MAX_ALIASES + 1):
            hit = self.prefixes.match(number)
            if hit is None or not isinstance(hit[1], Alias):
                return None if hit is None else hit[1]
            number = hit[1].to + number[hit[0]:]
        return None  # an alias loop that validation missed is treated as if no prefix matched

    def choice(self, exchange: int, service: str, zone: str) -> Choice | None:
        """Return the most specific choice for these values: by exchange, then by class, then by zone."""
        choices = self.records_of("choice")
        if not choices:
            return None
        for exchange_key in (str(exchange), ANY):
            for class_key in (service, ANY):
                for zone_key in (zone, ANY):
                    candidate: Choice | None = choices.get(f"{exchange_key}/{class_key}/{zone_key}")
                    if candidate is not None:
                        return candidate
        return None

    def route(self, exchange: int, service: str, zone: str) -> Route:
        """Return the permitted routes of a call of this class from a router of this zone to an exchange."""
        choice = self.choice(exchange, service, zone)
        if choice is None:
            return Route(exchange)
        never = frozenset(choice.never) - {exchange} if choice.direct else frozenset((*choice.never, exchange))
        if choice.direct and not choice.over:
            return Route(exchange, (), never)
        tiers: list[frozenset[int] | None] = [frozenset({exchange})] if choice.direct else []
        tiers += [frozenset(group) - never - {exchange} for group in choice.over]
        if not choice.over or choice.any_tandem:
            tiers.append(None)
        return Route(exchange, tuple(tiers), never)

    def records(self) -> Iterator[Record]:
        """Yield all records: those other than prefixes first, each kind in the order of its keys."""
        for kind in KINDS:
            if kind != "alias":  # aliases are among the prefixes
                yield from (self.records_of(kind)[key] for key in sorted(self.records_of(kind)))
        for digits, value in self.prefixes.items():
            if isinstance(value, int):
                yield Prefix(digits, value)
            elif not isinstance(value, Range):
                yield value


class PlanBuilder:
    """Builds a Plan from records, in full or as a delta on a base plan.

    Pass lines to apply(), run validate() to its end, then call finish(). apply() and validate() raise PlanError, after
    which the builder must not be used any more. A delta on an empty plan is built like a full version.
    """

    def __init__(self, base: Plan | None = None) -> None:
        base = base if base is not None else Plan()
        self._base = base
        self._prefixes: TrieEditor[PrefixValue] = base.prefixes.edit()
        self._records_by_kind = {
            kind: dict(base.records_of(kind)) for kind in KINDS if kind not in ("prefix", "barred")}
        self._state, self._size = base.state, base.size
        # Keys of the records that the delta has set so far; None for a full version.
        self._delta_keys: set[tuple[str, str]] | None = set() if base.size else None
        self.line_count = 0
        # Exchanges that records refer to, with the first such line and path. Checked once all exchanges are known.
        self._referenced: dict[int, tuple[int, str]] = {}

    def _error(self, reason: Reason, expected: str, path: str = "") -> PlanError:
        return PlanError(Finding(reason, expected, self.line_count, path))

    def apply(self, line: PlanLine) -> None:
        """Add the next record; in a delta, replace one of the same key, or remove one by a Drop."""
        self.line_count += 1
        if isinstance(line, Drop):
            self._remove(line)
            return
        if self._size >= MAX_RECORDS:
            raise self._error(Reason.TOO_MANY, f"at most {MAX_RECORDS} records")
        if self._delta_keys is not None:  # in a delta, a record replaces an earlier one with the same key
            # Prefix, Barred and Alias share one key space: a prefix has only one meaning.
            kind = "number" if isinstance(line, (Prefix, Barred, Alias)) else type(line).__name__
            kind_key = (kind, line.key())
            if kind_key in self._delta_keys:
                raise self._error(Reason.DUPLICATE, f"the delta already has {line.key()!r}")
            self._delta_keys.add(kind_key)
        self._check_record(line)
        previous = self._store(line)
        if previous is not None:
            if self._delta_keys is None:
                raise self._error(Reason.DUPLICATE, f"there is a {kind_of(previous)} "
                                                    f"{previous.key()!r} already")
            self._account(previous, -1)
        self._account(line, 1)

    def _account(self, record: Record, sign: int) -> None:
        self._state = (self._state + sign * record_digest(record)) % MODULUS
        self._size += sign

    def _store(self, record: Record) -> Record | None:
        """Store a record under its kind and key; return the record that it replaces."""
        if isinstance(record, Prefix):
            return self._put_prefix(record.digits, record.exchange)
        if isinstance(record, (Barred, Alias)):
            return self._put_prefix(record.digits, record)
        kind = kind_of(record)
        records = self._records_by_kind[kind]
        previous: Record | None = records.get(record.key())
        if isinstance(record, Range):
            if previous is not None:
                self._expand_range(previous, None)
            self._expand_range(record, record)
        if previous is None and sum(map(len, self._records_by_kind.values())) >= MAX_OTHER_RECORDS:
            raise self._error(Reason.TOO_MANY, f"at most {MAX_OTHER_RECORDS} records other than prefixes")
        records[record.key()] = record
        return previous

    def _put_prefix(self, digits: str, value: PrefixValue) -> Record | None:
        previous = self._prefixes.put(digits, value)
        if isinstance(previous, Range):
            raise self._error(Reason.DUPLICATE, f"prefix {digits!r} is within the range {previous.key()}", "digits")
        if isinstance(previous, Alias):
            del self._records_by_kind["alias"][digits]
        if isinstance(value, Alias):
            self._records_by_kind["alias"][digits] = value
        return self._as_record(digits, previous)

    @staticmethod
    def _as_record(digits: str, value: PrefixValue | None) -> Record | None:
        return Prefix(digits, value) if isinstance(value, int) else value

    def _expand_range(self, record: Any, value: Range | None) -> None:
        """Set the prefixes that a range covers; remove them if value is None."""
        for digits in covering_prefixes(record.first, record.last):
            if value is None:
                self._prefixes.remove(digits)
            elif (previous := self._prefixes.put(digits, value)) is not None:
                other = self._as_record(digits, previous)
                raise self._error(Reason.DUPLICATE, f"prefix {digits!r} of the range already exists as "
                                                    f"{kind_of(other) if other else ''} "
                                                    f"{other.key() if other else ''}", "first")

    def _remove(self, line: Drop) -> None:
        if self._delta_keys is None:
            raise self._error(Reason.SCHEMA, "no drop in a full version", "kind")
        if line.of not in KINDS:
            raise self._error(Reason.SCHEMA, f"a known kind of record: {', '.join(KINDS)}", "of")
        previous: Record | None
        if line.of in ("prefix", "barred", "alias"):
            value = self._prefixes.get(line.key_)
            previous = self._as_record(line.key_, value)
            if type(previous) is not KINDS[line.of]:
                previous = None
            else:
                self._prefixes.remove(line.key_)
                self._records_by_kind["alias"].pop(line.key_, None)
        else:
            previous = self._records_by_kind[line.of].pop(line.key_, None)
            if isinstance(previous, Range):
                self._expand_range(previous, None)
        if previous is None:
            raise self._error(Reason.MISSING, f"there is no {line.of} {line.key_!r} to remove", "key")
        self._account(previous, -1)

    # ---- validation of single records

    def _note_reference(self, exchange: int | None, path: str) -> None:
        if exchange is not None:
            self._referenced.setdefault(exchange, (self.line_count, path))

    def _check_record(self, record: Record) -> None:
        """Validate a record on its own, and note the exchanges that it refers to."""
        match record:
            case Prefix():
                if not record.digits:
                    raise self._error(Reason.SCHEMA, "at least one digit", "digits")
                self._note_reference(record.exchange, "exchange")
            case Barred(digits) if not digits:
                raise self._error(Reason.SCHEMA, "at least one digit", "digits")
            case Alias(digits, to):
                if not digits or not to:
                    raise self._error(Reason.SCHEMA, "at least one digit", "to" if digits else "digits")
            case Range():
                self._check_range(record)
            case Choice():
                self._check_choice(record)
            case Limit():
                if record.in_hand is None and record.per_s is None:
                    raise self._error(Reason.SCHEMA, "in_hand or per_s, or both", "in_hand")
                self._note_reference(record.exchange, "exchange")
            case RetryAdvice():
                if record.cause not in CAUSES:
                    raise self._error(Reason.SCHEMA, f"one of {', '.join(CAUSES)}", "cause")
            case Exchange() | Unmatched():
                pass

    def _check_range(self, record: Range) -> None:
        try:
            prefixes = covering_prefixes(record.first, record.last)
        except ValueError as error:
            raise self._error(Reason.SCHEMA, str(error), "first") from None
        if len(prefixes) > MAX_RANGE_PREFIXES or len(record.first) > MAX_PREFIX_LENGTH:
            raise self._error(Reason.TOO_MANY, f"a range of at most {MAX_RANGE_PREFIXES} prefixes", "first")
        self._note_reference(record.exchange, "exchange")

    def _check_choice(self, record: Choice) -> None:
        for group_index, group in enumerate(record.over):
            for index, tandem in enumerate(group):
                path = f"over[{group_index}][{index}]"
                if tandem == record.exchange:
                    raise self._error(Reason.ROUTE_THROUGH_ITSELF,
                                      f"exchange {tandem} cannot be a tandem on the route to itself", path)
                if tandem in record.never:
                    raise self._error(Reason.DUPLICATE, f"exchange {tandem} is also in never", path)
                self._note_reference(tandem, path)
        tandems = [tandem for group in record.over for tandem in group]
        if len(tandems) != len(set(tandems)):
            raise self._error(Reason.DUPLICATE, "each exchange in one group only", "over")
        for index, tandem in enumerate(record.never):
            if tandem == record.exchange:
                raise self._error(Reason.ROUTE_THROUGH_ITSELF,
                                  f"exchange {tandem} is the destination: use direct = false", f"never[{index}]")
            self._note_reference(tandem, f"never[{index}]")
        self._note_reference(record.exchange, "exchange")
        if not record.direct and not record.any_tandem and not tandems:
            raise self._error(Reason.NO_ROUTE, "a direct route, a tandem, or a barred prefix instead", "over")

    def validate(self) -> Iterator[None]:
        """Validate the plan as a whole. Yields between small steps, so that calls can be processed meanwhile."""
        known = self._records_by_kind["exchange"]
        for index, (exchange, (line, path)) in enumerate(self._referenced.items()):
            if str(exchange) not in known:
                raise PlanError(Finding(Reason.UNKNOWN_EXCHANGE, f"exchange {exchange} is not listed", line, path))
            if index % CHECKED_PER_STEP == 0:
                yield
        yield
        if self._delta_keys is not None and (yield from self._has_removed_exchange(known)):
            yield from self._check_removed_exchanges(known)
        yield from AliasCheck(self._records_by_kind["alias"], self._match_alias).run()

    def _has_removed_exchange(self, known: dict[str, Any]) -> Generator[None, None, bool]:
        for index, number in enumerate(self._base.records_of("exchange")):
            if number not in known:
                return True
            if index % CHECKED_PER_STEP == 0:
                yield
        return False

    def _check_removed_exchanges(self, known: dict[str, Any]) -> Iterator[None]:
        """Check that no remaining record refers to an exchange that the delta has removed."""
        trie = self._prefixes.peek()
        for index, (digits, value) in enumerate(trie.items()):
            exchange = value if isinstance(value, int) else getattr(value, "exchange", None)
            if exchange is not None and str(exchange) not in known:
                raise PlanError(Finding(Reason.UNKNOWN_EXCHANGE,
                                        f"exchange {exchange} was removed, but prefix {digits!r} refers to it"))
            if index % CHECKED_PER_STEP == 0:
                yield
        for kind in ("choice", "limit"):
            for record in self._records_by_kind[kind].values():
                references = [record.exchange, *(tandem for group in getattr(record, "over", ()) for tandem in group),
                              *getattr(record, "never", ())]
                for exchange in references:
                    if exchange is not None and str(exchange) not in known:
                        raise PlanError(Finding(
                            Reason.UNKNOWN_EXCHANGE,
                            f"exchange {exchange} was removed, but {kind} {record.key()!r} refers to it"))
                yield

    def _match_alias(self, number: str) -> Alias | None:
        hit = self._prefixes.peek().match(number)
        return hit[1] if hit is not None and isinstance(hit[1], Alias) else None

    def finish(self) -> Plan:
        """Return the plan. May be called once, after validate() has been exhausted."""
        return Plan(self._prefixes.freeze(),
                    {kind: records for kind, records in self._records_by_kind.items() if records},
                    self._state, self._size)


def build(lines: Iterator[PlanLine], base: Plan | None = None) -> Plan:
    """Build a plan from records without pauses, for callers that process no calls meanwhile. Raises PlanError."""
    builder = PlanBuilder(base)
    for line in lines:
        builder.apply(line)
    for _ in builder.validate():
        pass
    return builder.finish()
