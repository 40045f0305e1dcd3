"""What is still to be told: least-sent first, the newest of those first, and newer news in place of older.

SWIM sends each piece of news a number of times that grows with the logarithm of the members, the pieces sent least
often first. The plain way, a list sorted at each message, costs the length of the list at each of them. Here each
count of sendings has a shelf, and taking from the first shelf costs what is taken; news about the same subject takes
the older one's place wherever that is. benchmarks/gossip_structures.py measures both.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

T = TypeVar("T")


class NewsQueue(Generic[T]):
    """Pieces of news by subject. Bounded: beyond `most`, the one sent most often is let go."""

    def __init__(self, most: int = 4_096) -> None:
        self._most = most
        self._shelves: list[dict[Hashable, tuple[T, int]]] = [{}]  # by times sent; each holds the newest last
        self._at: dict[Hashable, int] = {}  # subject: on which shelf it is
        self.lost = 0

    def __len__(self) -> int:
        return len(self._at)

    def put(self, subject: Hashable, news: T, octets: int) -> None:
        """Take news; what was to be told of the same subject is not told any more."""
        shelf = self._at.pop(subject, None)
        if shelf is not None:
            del self._shelves[shelf][subject]
        elif len(self._at) >= self._most:
            self._let_go()
        self._shelves[0][subject] = (news, octets)
        self._at[subject] = 0

    def _let_go(self) -> None:
        shelf = next(shelf for shelf in reversed(self._shelves) if shelf)
        oldest = next(iter(shelf))
        del shelf[oldest], self._at[oldest]
        self.lost += 1

    def drop(self, subject: Hashable) -> None:
        """Tell no more of a subject."""
        shelf = self._at.pop(subject, None)
        if shelf is not None:
            del self._shelves[shelf][subject]

    def take(self, octets: int, times_most: int) -> list[T]:
        """Return what fits into so many octets, and count it as sent; what was sent times_most times is gone."""
        taken: list[tuple[Hashable, tuple[T, int], int]] = []
        for count, shelf in enumerate(self._shelves):
            for subject in reversed(shelf):
                entry = shelf[subject]
                if entry[1] > octets:
                    continue
                octets -= entry[1]
                taken.append((subject, entry, count))
            if octets < 32:  # no piece of news is so small
                break
        for subject, entry, count in reversed(taken):  # so that the newest stays last on its next shelf, too
            del self._shelves[count][subject]
            if count + 1 >= times_most:
                del self._at[subject]
                continue
            if count + 1 == len(self._shelves):
                self._shelves.append({})
            self._shelves[count + 1][subject] = entry
            self._at[subject] = count + 1
        return [entry[0] for _, entry, _ in taken]


class PlainQueue(Generic[T]):
    """The same by sorting a list each time: what NewsQueue is measured and tested against."""

    def __init__(self) -> None:
        self._items: list[list[object]] = []  # subject, news, octets, times sent, order
        self._order = 0

    def __len__(self) -> int:
        return len(self._items)

    def put(self, subject: Hashable, news: T, octets: int) -> None:
        """Take news."""
        self._items = [item for item in self._items if item[0] != subject]
        self._order += 1
        self._items.append([subject, news, octets, 0, self._order])

    def take(self, octets: int, times_most: int) -> list[T]:
        """Return what fits, and count it as sent."""
        self._items.sort(key=lambda item: (item[3], -item[4]))  # type: ignore[operator]
        taken = []
        for item in self._items:
            if item[2] <= octets:  # type: ignore[operator]
                octets -= item[2]  # type: ignore[operator]
                taken.append(item)
        for item in taken:
            item[3] += 1  # type: ignore[operator]
        self._items = [item for item in self._items if item[3] < times_most]  # type: ignore[operator]
        return [item[1] for item in taken]  # type: ignore[misc]
