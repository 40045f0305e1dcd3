"""A plan in the form in which calls search it, and the way from records to it, piece by piece.

A Plan does not change. Building takes one record at a time, so that whoever drives it can stop between any two
and let calls pass; a delta begins from the plan before and shares what it does not touch.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

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
from astertrack.plan.trie import Editor, PrefixTrie

MAX_RECORDS = 2_000_000  # of one plan; the memory for it is what limits an installation sooner
MAX_OTHER_RECORDS = 20_000  # of the records that are not prefixes
MAX_ALIASES = 8  # followed for one number
MODULUS = 2**256
DIGITS = "0123456789abcdef"

Target = Prefix | Barred | Alias | Range
# What a trie holds for a prefix. Equal values are one object: for a plain prefix its exchange's number alone.
Value = int | Barred | Alias | Range


@dataclass(frozen=True, slots=True, weakref_slot=True)
class Plan:
    """One plan, ready to be asked. Shared by all calls that began while it was in force."""

    prefixes: PrefixTrie[Value] = field(default_factory=PrefixTrie)
    records_by_kind: dict[str, dict[str, Any]] = field(default_factory=dict)  # records that are not prefixes, by kind
    state: int = 0  # digest of all records, whatever their order
    size: int = 0  # records

    def records_of(self, kind: str) -> dict[str, Any]:
        """Return the records of a kind that is not searched by number, by key."""
        return self.records_by_kind.get(kind, {})

    def target(self, number: str) -> Value | None:
        """Return what the longest prefix of a number says, aliases followed; None: no prefix fits."""
        for _ in range(MAX_ALIASES + 1):
            hit = self.prefixes.match(number)
            if hit is None or not isinstance(hit[1], Alias):
                return None if hit is None else hit[1]
            number = hit[1].to + number[hit[0]:]
        return None  # guards against a loop that the check did not see: as if no prefix fitted

    def choice(self, exchange: int, service: str, zone: str) -> Choice | None:
        """Return the most exact choice for these: by exchange, then by class, then by zone."""
        choices = self.records_of("choice")
        if not choices:
            return None
        for place in (str(exchange), ANY):
            for of_class in (service, ANY):
                for of_zone in (zone, ANY):
                    found: Choice | None = choices.get(f"{place}/{of_class}/{of_zone}")
                    if found is not None:
                        return found
        return None

    def route(self, exchange: int, service: str, zone: str) -> Route:
        """Return how a call of this class may get from a router of this zone to an exchange."""
        choice = self.choice(exchange, service, zone)
        if choice is None:
            return Route(exchange)
        never = frozenset(choice.never) - {exchange}
        never = frozenset(choice.never) - {exchange} if choice.direct else frozenset((*choice.never, exchange))
        if choice.direct and not choice.over:
            return Route(exchange, (), never)
        tiers: list[frozenset[int] | None] = [frozenset({exchange})] if choice.direct else []
        tiers += [frozenset(group) - never - {exchange} for group in choice.over]
        if not choice.over or choice.any_tandem:
            tiers.append(None)
        return Route(exchange, tuple(tiers), never)

    def records(self) -> Iterator[Record]:
        """Yield every record: those that are not prefixes first, each kind by key."""
        for kind in KINDS:
            if kind != "alias":  # those stand among the numbers
                yield from (self.records_of(kind)[key] for key in sorted(self.records_of(kind)))
        for digits, value in self.prefixes.items():
            if isinstance(value, int):
                yield Prefix(digits, value)
            elif not isinstance(value, Range):
                yield value


def covering_prefixes(first: str, last: str) -> list[str]:
    """Return the fewest prefixes that stand for all numbers from first to last, of equally many digits.

    Errors: ValueError if the two are not of equal length, or first comes after last.
    """
    if len(first) != len(last) or first > last or not first:
        raise ValueError("first and last must have equally many digits, and first not come after last")
    at = 0
    while at < len(first) and first[at] == last[at]:
        at += 1
    if at == len(first):
        return [first]
    head, low, high = first[:at], first[at], last[at]
    first_rest, last_rest = first[at + 1:], last[at + 1:]
    # Decimal ranges stay decimal: no prefix with a letter stands in them unless the range itself has letters.
    digits = DIGITS if any(c > "9" for c in first + last) else DIGITS[:10]
    found: list[str] = []
    whole_low = first_rest.strip(digits[0]) == ""
    whole_high = last_rest.strip(digits[-1]) == ""
    if whole_low and whole_high and low == digits[0] and high == digits[-1]:
        return [head] if head else list(digits)
    if not whole_low:
        found += [head + low + rest for rest in covering_prefixes(first_rest, digits[-1] * len(first_rest))]
    middle = digits[digits.index(low) + (not whole_low):digits.index(high) + whole_high]
    found += [head + digit for digit in middle]
    if not whole_high:
        found += [head + high + rest for rest in covering_prefixes(digits[0] * len(last_rest), last_rest)]
    return found


class PlanBuilder:
    """The way from records to a Plan. Feed lines by apply(), then validate(); either raises Refused with a finding."""

    def __init__(self, base: Plan | None = None) -> None:
        base = base if base is not None else Plan()
        self._base = base
        self._numbers: Editor[Value] = base.prefixes.edit()
        self._others = {kind: dict(base.records_of(kind)) for kind in KINDS if kind not in ("prefix", "barred")}
        self._state, self._size = base.state, base.size
        self._put: set[tuple[str, str]] | None = set() if base.size else None  # keys put by a delta
        self.line_count = 0
        # Whom records name, with the first line that does: checked once all exchanges are known.
        self._named: dict[int, tuple[int, str]] = {}

    def _refuse(self, reason: Reason, expected: str, path: str = "") -> PlanError:
        return PlanError(Finding(reason, expected, self.line_count, path))

    def apply(self, line: PlanLine) -> None:
        """Take the next record, or in a delta the next record or Drop."""
        self.line_count += 1
        if isinstance(line, Drop):
            self._drop(line)
            return
        if self._size >= MAX_RECORDS:
            raise self._refuse(Reason.TOO_MANY, f"at most {MAX_RECORDS} records")
        if self._put is not None:  # a delta: a record of a known key takes the place of the one before
            # Prefixes of all kinds share their keys: one number has one meaning.
            kind = "number" if isinstance(line, (Prefix, Barred, Alias)) else type(line).__name__
            kind_key = (kind, line.key())
            if kind_key in self._put:
                raise self._refuse(Reason.DOUBLED, f"the delta has {line.key()!r} already")
            self._put.add(kind_key)
        self._meaning(line)
        before = self._store(line)
        if before is not None:
            if self._put is None:
                raise self._refuse(Reason.DOUBLED, f"there is a {kind_of(before)} "
                                                   f"{before.key()!r} already")
            self._count(before, -1)
        self._count(line, 1)

    def _count(self, record: Record, sign: int) -> None:
        self._state = (self._state + sign * record_digest(record)) % MODULUS
        self._size += sign

    def _store(self, record: Record) -> Record | None:
        """Put a record where it belongs; return the one whose place it takes."""
        if isinstance(record, Prefix):
            return self._place(record.digits, record.exchange)
        if isinstance(record, (Barred, Alias)):
            return self._place(record.digits, record)
        kind = kind_of(record)
        holder = self._others[kind]
        before: Record | None = holder.get(record.key())
        if isinstance(record, Range):
            if before is not None:
                self._span(before, None)
            self._span(record, record)
        if before is None and sum(map(len, self._others.values())) >= MAX_OTHER_RECORDS:
            raise self._refuse(Reason.TOO_MANY, f"at most {MAX_OTHER_RECORDS} records that are not prefixes")
        holder[record.key()] = record
        return before

    def _place(self, digits: str, value: Value) -> Record | None:
        before = self._numbers.put(digits, value)
        if isinstance(before, Range):
            raise self._refuse(Reason.DOUBLED, f"prefix {digits!r} lies in the range {before.key()}", "digits")
        if isinstance(before, Alias):
            del self._others["alias"][digits]
        if isinstance(value, Alias):
            self._others["alias"][digits] = value
        return self._as_record(digits, before)

    @staticmethod
    def _as_record(digits: str, value: Value | None) -> Record | None:
        return Prefix(digits, value) if isinstance(value, int) else value

    def _span(self, record: Any, value: Range | None) -> None:
        """Put or take the prefixes that a range stands for."""
        for digits in covering_prefixes(record.first, record.last):
            if value is None:
                self._numbers.remove(digits)
            elif (before := self._numbers.put(digits, value)) is not None:
                other = self._as_record(digits, before)
                raise self._refuse(Reason.DOUBLED, f"prefix {digits!r} of the range has a meaning already: "
                                                   f"{kind_of(other) if other else ''} "
                                                   f"{other.key() if other else ''}", "first")

    def _drop(self, line: Drop) -> None:
        if self._put is None:
            raise self._refuse(Reason.SCHEMA, "a full version takes nothing out", "kind")
        if line.of not in KINDS:
            raise self._refuse(Reason.SCHEMA, f"no such kind of record; known are {', '.join(KINDS)}", "of")
        before: Record | None
        if line.of in ("prefix", "barred", "alias"):
            value = self._numbers.get(line.key_)
            before = self._as_record(line.key_, value)
            if type(before) is not KINDS[line.of]:
                before = None
            else:
                self._numbers.remove(line.key_)
                self._others["alias"].pop(line.key_, None)
        else:
            before = self._others[line.of].pop(line.key_, None)
            if isinstance(before, Range):
                self._span(before, None)
        if before is None:
            raise self._refuse(Reason.MISSING, f"there is no {line.of} {line.key_!r} to take out", "key")
        self._count(before, -1)

    # ---- what a record means

    def _name(self, exchange: int | None, path: str) -> None:
        if exchange is not None:
            self._named.setdefault(exchange, (self.line_count, path))

    def _meaning(self, record: Record) -> None:
        """Check what can be told of a record by itself, and note whom it names."""
        match record:
            case Prefix():
                if not record.digits:
                    raise self._refuse(Reason.SCHEMA, "at least one digit", "digits")
                self._name(record.exchange, "exchange")
            case Barred(digits) if not digits:
                raise self._refuse(Reason.SCHEMA, "at least one digit", "digits")
            case Alias(digits, to):
                if not digits or not to:
                    raise self._refuse(Reason.SCHEMA, "at least one digit", "to" if digits else "digits")
            case Range():
                self._range(record)
            case Choice():
                self._choice(record)
            case Limit():
                if record.in_hand is None and record.per_s is None:
                    raise self._refuse(Reason.SCHEMA, "in_hand or per_s, or both", "in_hand")
                self._name(record.exchange, "exchange")
            case RetryAdvice():
                if record.cause not in CAUSES:
                    raise self._refuse(Reason.SCHEMA, f"one of {', '.join(CAUSES)}", "cause")
            case Exchange() | Unmatched():
                pass

    def _range(self, record: Range) -> None:
        try:
            found = covering_prefixes(record.first, record.last)
        except ValueError as error:
            raise self._refuse(Reason.SCHEMA, str(error), "first") from None
        if len(found) > MAX_RANGE_PREFIXES or len(record.first) > MAX_PREFIX_LENGTH:
            raise self._refuse(Reason.TOO_MANY, f"a range of at most {MAX_RANGE_PREFIXES} prefixes", "first")
        self._name(record.exchange, "exchange")

    def _choice(self, record: Choice) -> None:
        for at, group in enumerate(record.over):
            for place, tandem in enumerate(group):
                path = f"over[{at}][{place}]"
                if tandem == record.exchange:
                    raise self._refuse(Reason.ROUTE_THROUGH_ITSELF, f"exchange {tandem} is no way to itself", path)
                if tandem in record.never:
                    raise self._refuse(Reason.DOUBLED, f"exchange {tandem} is never to be taken, too", path)
                self._name(tandem, path)
        seen = [tandem for group in record.over for tandem in group]
        if len(seen) != len(set(seen)):
            raise self._refuse(Reason.DOUBLED, "each exchange in one group only", "over")
        for place, tandem in enumerate(record.never):
            if tandem == record.exchange:
                raise self._refuse(Reason.ROUTE_THROUGH_ITSELF,
                                   f"exchange {tandem} is the destination: say direct = false", f"never[{place}]")
            self._name(tandem, f"never[{place}]")
        self._name(record.exchange, "exchange")
        if not record.direct and not record.any_tandem and not seen:
            raise self._refuse(Reason.NO_ROUTE, "a direct way, a tandem, or a barred prefix instead", "over")

    def validate(self) -> Iterator[None]:
        """Check what only the whole tells; yields between pieces, so that calls may pass. Then finish() it."""
        known = self._others["exchange"]
        for exchange, (line, path) in self._named.items():
            if str(exchange) not in known:
                raise PlanError(Finding(Reason.UNKNOWN_EXCHANGE, f"exchange {exchange} is not listed", line, path))
        yield
        if self._put is not None and any(str(number) not in known for number in self._dropped_exchanges()):
            yield from self._still_named(known)
        yield from self._aliases()

    def _dropped_exchanges(self) -> list[str]:
        return [key for key in self._base.records_of("exchange") if key not in self._others["exchange"]]

    def _still_named(self, known: dict[str, Any]) -> Iterator[None]:
        """A delta took an exchange out: what it left in the plan must not name it."""
        trie = self._numbers.peek()
        for at, (digits, value) in enumerate(trie.items()):
            exchange = value if isinstance(value, int) else getattr(value, "exchange", None)
            if exchange is not None and str(exchange) not in known:
                raise PlanError(Finding(Reason.UNKNOWN_EXCHANGE,
                                      f"exchange {exchange} was taken out, and prefix {digits!r} names it"))
            if at % 64 == 63:
                yield
        for kind in ("choice", "limit"):
            for record in self._others[kind].values():
                named = [record.exchange, *(t for g in getattr(record, "over", ()) for t in g),
                         *getattr(record, "never", ())]
                for exchange in named:
                    if exchange is not None and str(exchange) not in known:
                        raise PlanError(Finding(
                            Reason.UNKNOWN_EXCHANGE,
                            f"exchange {exchange} was taken out, and {kind} {record.key()!r} names it"))
            yield

    def _aliases(self) -> Iterator[None]:
        """No number may be sent round for ever, nor through more than ALIASES_MOST aliases.

        A number of alias A goes on as one that begins with A.to, and is met next by the longest prefix of that,
        or by a longer one that begins with it, if the rest of the number goes on so. All of these are taken for
        possible: a plan with a loop is never let through, and one that only looks like a loop is refused, too.
        """
        trie, below = self._numbers.peek(), dict[str, list[str]]()
        found: dict[str, Alias] = self._others["alias"]
        for digits, alias in found.items():
            nexts = []
            hit = trie.match(alias.to)
            if hit is not None and isinstance(hit[1], Alias):
                nexts.append(hit[1].digits)
            nexts += [d for d in found if d.startswith(alias.to) and len(d) > len(alias.to)]
            below[digits] = nexts
            yield
        depth: dict[str, int] = {}

        def deep(digits: str, way: tuple[str, ...]) -> int:
            if digits in way:
                loop = " -> ".join((*way[way.index(digits):], digits))
                raise PlanError(Finding(Reason.ALIAS_LOOP, f"prefixes that lead back to themselves: {loop}"))
            if digits not in depth:
                if len(way) > MAX_ALIASES:
                    raise PlanError(Finding(Reason.ALIAS_LOOP,
                                          f"at most {MAX_ALIASES} aliases in a row: {' -> '.join(way)}"))
                depth[digits] = 1 + max((deep(d, (*way, digits)) for d in below[digits]), default=0)
            return depth[digits]

        for digits in found:
            if deep(digits, ()) > MAX_ALIASES:
                raise PlanError(Finding(Reason.ALIAS_LOOP, f"at most {MAX_ALIASES} aliases in a row, from {digits!r}"))
            yield

    def finish(self) -> Plan:
        """Return the plan; call it once validate() is through."""
        return Plan(self._numbers.freeze(), {k: v for k, v in self._others.items() if v}, self._state, self._size)


def build(lines: Iterator[PlanLine], base: Plan | None = None) -> Plan:
    """Make a plan of records in one go, as a command line does; raises Refused."""
    builder = PlanBuilder(base)
    for line in lines:
        builder.apply(line)
    for _ in builder.validate():
        pass
    return builder.finish()
