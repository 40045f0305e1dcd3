"""The queue of updates to disseminate: least-transmitted first, the newest of those first, one update per subject.

SWIM sends each update a number of times that grows with the logarithm of the number of members, and prefers the least
transmitted ones. Sorting a list for every message would cost time in the length of the list. Here updates are kept in
buckets by transmission count, so that taking from the first bucket costs only what is taken. A newer update about a
subject replaces the older one in whichever bucket that is.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

T = TypeVar("T")


class UpdateQueue(Generic[T]):
    """A bounded queue of updates by subject.

    When it holds `max_updates`, the oldest of the most-transmitted updates makes room for a new one.
    """

    def __init__(self, max_updates: int = 4_096) -> None:
        self._max_updates = max_updates
        self._buckets: list[dict[Hashable, tuple[T, int]]] = [{}]  # by transmission count; the newest update is last
        self._bucket_by_subject: dict[Hashable, int] = {}  # the transmission count of each subject's update
        self.dropped_updates = 0

    def __len__(self) -> int:
        return len(self._bucket_by_subject)

    def put(self, subject: Hashable, update: T, size_bytes: int) -> None:
        """Add an update; it replaces the queued update about the same subject."""
        bucket = self._bucket_by_subject.pop(subject, None)
        if bucket is not None:
            del self._buckets[bucket][subject]
        elif len(self._bucket_by_subject) >= self._max_updates:
            self._evict()
        self._buckets[0][subject] = (update, size_bytes)
        self._bucket_by_subject[subject] = 0

    def _evict(self) -> None:
        bucket = next(bucket for bucket in reversed(self._buckets) if bucket)
        oldest_subject = next(iter(bucket))
        del bucket[oldest_subject], self._bucket_by_subject[oldest_subject]
        self.dropped_updates += 1

    def discard(self, subject: Hashable) -> None:
        """Remove the queued update about a subject, if there is one."""
        bucket = self._bucket_by_subject.pop(subject, None)
        if bucket is not None:
            del self._buckets[bucket][subject]

    def take(self, available_bytes: int, max_transmissions: int) -> list[T]:
        """Return the updates that fit into `available_bytes` and count them as transmitted.

        An update is removed after `max_transmissions`.
        """
        selected: list[tuple[Hashable, tuple[T, int], int]] = []
        for transmissions, bucket in enumerate(self._buckets):
            for subject in reversed(bucket):
                entry = bucket[subject]
                if entry[1] > available_bytes:
                    continue
                available_bytes -= entry[1]
                selected.append((subject, entry, transmissions))
            if available_bytes < 32:  # no update is that small
                break
        # In reverse, so that the newest update stays last in its next bucket, too.
        for subject, entry, transmissions in reversed(selected):
            del self._buckets[transmissions][subject]
            if transmissions + 1 >= max_transmissions:
                del self._bucket_by_subject[subject]
                continue
            if transmissions + 1 == len(self._buckets):
                self._buckets.append({})
            self._buckets[transmissions + 1][subject] = entry
            self._bucket_by_subject[subject] = transmissions + 1
        return [entry[0] for _, entry, _ in selected]


class SortedUpdateQueue(Generic[T]):
    """Reference implementation that sorts a list for every message; tests compare UpdateQueue with it."""

    def __init__(self) -> None:
        self._items: list[list[object]] = []  # subject, update, size in bytes, transmissions, order of arrival
        self._order = 0

    def __len__(self) -> int:
        return len(self._items)

    def put(self, subject: Hashable, update: T, size_bytes: int) -> None:
        """Add an update; it replaces the queued update about the same subject."""
        self._items = [item for item in self._items if item[0] != subject]
        self._order += 1
        self._items.append([subject, update, size_bytes, 0, self._order])

    def take(self, available_bytes: int, max_transmissions: int) -> list[T]:
        """Return the updates that fit into `available_bytes` and count them as transmitted."""
        self._items.sort(key=lambda item: (item[3], -item[4]))  # type: ignore[operator]
        selected = []
        for item in self._items:
            if item[2] <= available_bytes:  # type: ignore[operator]
                available_bytes -= item[2]  # type: ignore[operator]
                selected.append(item)
        for item in selected:
            item[3] += 1  # type: ignore[operator]
        self._items = [item for item in self._items if item[3] < max_transmissions]  # type: ignore[operator]
        return [item[1] for item in selected]  # type: ignore[misc]
