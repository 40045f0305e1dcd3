"""The check of a plan's aliases: they form no loop, and no number passes more than MAX_ALIASES of them.

A number that matches alias A is looked up again with the prefix A.to. It then matches the longest prefix of A.to, or a
longer prefix that begins with A.to, depending on the rest of the number. All of these are assumed to be possible: a
plan with a loop is always refused, and so are some plans that only appear to have one.

Aliases that may lead to one another are not listed, because a plan can have quadratically many such pairs. The check
goes by levels instead: level 1 has all aliases, and each further level those that may lead to one of the level before.
An alias on level n begins a chain of n aliases; a loop is on every level.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from collections.abc import Callable, Generator, Iterable

from astertrack.plan.model import Alias, Finding, PlanError, Reason

MAX_ALIASES = 8  # followed for one number
SORTED_RUN_LENGTH = 512  # keys sorted in one step
MERGED_PER_STEP = 64  # keys merged in one step


class _Level:
    """The aliases of one level, by their digits."""

    def __init__(self, ordered: list[str]) -> None:
        self.ordered = ordered
        self.members = set(ordered)

    def find_extension(self, prefix: str) -> str | None:
        """Return an alias whose digits begin with prefix and are longer, or None."""
        index = bisect_right(self.ordered, prefix)
        if index < len(self.ordered) and self.ordered[index].startswith(prefix):
            return self.ordered[index]
        return None


def _sort(keys: list[str]) -> Generator[None, None, list[str]]:
    """Sort keys, with pauses: sorting 20,000 in one go takes several milliseconds."""
    runs = []
    for start in range(0, len(keys), SORTED_RUN_LENGTH):
        runs.append(sorted(keys[start:start + SORTED_RUN_LENGTH]))
        yield
    merged: list[str] = []
    for key in heapq.merge(*runs):
        merged.append(key)
        if len(merged) % MERGED_PER_STEP == 0:
            yield
    return merged


class AliasCheck:
    """The check of the aliases of one plan.

    `match` returns the alias at the longest prefix of a number, or None if that prefix has another record or none
    matches.
    """

    def __init__(self, aliases: dict[str, Alias], match: Callable[[str], Alias | None]) -> None:
        self._aliases, self._match = aliases, match
        self._matched: dict[str, str] = {}  # the alias that A.to itself matches, by the digits of A

    def run(self) -> Generator[None, None, None]:
        """Run the check, with pauses of the caller after each alias. Raises PlanError."""
        for digits, alias in self._aliases.items():
            matched = self._match(alias.to)
            if matched is not None:
                self._matched[digits] = matched.digits
            yield
        levels = [_Level((yield from _sort(list(self._aliases))))]
        while levels[-1].ordered:
            if len(levels) > MAX_ALIASES:
                raise PlanError(Finding(Reason.ALIAS_LOOP, self._describe_chain(levels)))
            ordered = []
            for digits in levels[-1].ordered:
                if self._find_successor(digits, levels[-1]) is not None:
                    ordered.append(digits)
                yield
            levels.append(_Level(ordered))

    def _find_successor(self, digits: str, level: _Level) -> str | None:
        """Return an alias of a level to which this one may lead, or None."""
        matched = self._matched.get(digits)
        if matched is not None and matched in level.members:
            return matched
        return level.find_extension(self._aliases[digits].to)

    def _describe_chain(self, levels: Iterable[_Level]) -> str:
        """Describe a chain that begins on the last level: the loop in it, or that it is too long."""
        *lower, highest = levels
        chain = [highest.ordered[0]]
        for level in reversed(lower):
            successor = self._find_successor(chain[-1], level)
            assert successor is not None
            if successor in chain:
                return f"no loop of aliases: {' -> '.join((*chain[chain.index(successor):], successor))}"
            chain.append(successor)
        return f"at most {MAX_ALIASES} aliases in a row: {' -> '.join(chain)}"
