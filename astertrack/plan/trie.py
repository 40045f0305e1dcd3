"""A persistent burst trie of number prefixes: longest match, cheap copies, small memory.

A burst trie (Heinz, Zobel and Williams, "Burst tries: a fast, efficient data structure for string keys", ACM
TOIS 20(2), 2002) keeps the upper part of the keys in trie nodes and the rest in containers, each of which
bursts into a node once it is too full. Here a container is a dict of suffixes, which is the quickest small map
that Python has, and the suffixes are shared among containers.

It is persistent (Driscoll, Sarnak, Sleator and Tarjan, 1989): an Editor copies only the nodes on the way to
what it changes, so that two versions of a plan share all else, and a superseded one costs what it alone holds.
Within one edit the nodes it made are changed in place. benchmarks/plan_lookup.py measures it against a dict of
prefixes and a scan.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
# Entries of a container before it bursts. Measured from 16 to 256 at 100,000 prefixes: times of look-ups and edits
# do not differ beyond the noise, and memory falls from 6.4 to 5.3 MiB up to 128, not beyond.
BURST_THRESHOLD = 128


class _Bucket(Generic[T]):
    """A container: the rests of its keys, and the lengths that these have, the longest first."""

    __slots__ = ("entries", "lengths", "owner")

    def __init__(self, owner: object, entries: dict[str, T], lengths: tuple[int, ...] = ()) -> None:
        self.owner, self.entries, self.lengths = owner, entries, lengths

    def grow(self, length: int) -> None:
        """Note that a rest of this length is here."""
        if length not in self.lengths:
            self.lengths = tuple(sorted((*self.lengths, length), reverse=True))


class _Node(Generic[T]):
    """A node: the value of the key that ends here, and what follows by the next character."""

    __slots__ = ("children", "owner", "value")

    def __init__(self, owner: object, value: T | None, children: dict[str, _Node[T] | _Bucket[T]]) -> None:
        self.owner, self.value, self.children = owner, value, children


class PrefixTrie(Generic[T]):
    """An immutable map from prefixes to values (never None). Shared freely; edit() makes the next one."""

    __slots__ = ("_root", "size")

    def __init__(self, root: _Node[T] | _Bucket[T] | None = None, size: int = 0) -> None:
        self._root: _Node[T] | _Bucket[T] = root if root is not None else _Bucket(None, {})
        self.size = size

    def __len__(self) -> int:
        return self.size

    def match(self, number: str) -> tuple[int, T] | None:
        """Return the length and the value of the longest prefix of number that is here; None: there is none."""
        at, depth, best, found = self._root, 0, 0, None
        while type(at) is _Node:
            if at.value is not None:
                best, found = depth, at.value
            below = at.children.get(number[depth:depth + 1])
            if below is None:
                return None if found is None else (best, found)
            at, depth = below, depth + 1
        assert type(at) is _Bucket
        entries, most = at.entries, len(number) - depth
        for length in at.lengths:
            if length <= most and (value := entries.get(number[depth:depth + length])) is not None:
                return depth + length, value
        return None if found is None else (best, found)

    def get(self, prefix: str) -> T | None:
        """Return the value of exactly this prefix."""
        hit = self.match(prefix)
        return hit[1] if hit is not None and hit[0] == len(prefix) else None

    def items(self, prefix: str = "") -> Iterator[tuple[str, T]]:
        """Yield what is here and begins with prefix, shorter keys before those that go on from them."""
        at, depth = self._root, 0
        while type(at) is _Node and depth < len(prefix):
            below = at.children.get(prefix[depth])
            if below is None:
                return
            at, depth = below, depth + 1
        yield from self._walk(at, prefix[:depth], prefix[depth:])

    def _walk(self, at: _Node[T] | _Bucket[T], before: str, rest: str) -> Iterator[tuple[str, T]]:
        if type(at) is _Bucket:
            for suffix in sorted(at.entries):
                if suffix.startswith(rest):
                    yield before + suffix, at.entries[suffix]
            return
        assert type(at) is _Node
        if at.value is not None:
            yield before, at.value
        for digit in sorted(at.children):
            yield from self._walk(at.children[digit], before + digit, "")

    def edit(self) -> Editor[T]:
        """Begin the next version of this map; this one does not change."""
        return Editor(self._root, self.size)


class Editor(Generic[T]):
    """Changes on the way to the next PrefixTrie. Not to be used after freeze()."""

    def __init__(self, root: _Node[T] | _Bucket[T], size: int) -> None:
        self._root, self._size = root, size
        self._owner: object | None = object()  # marks the nodes that this edit made and may change
        self._suffixes: dict[str, str] = {}  # one string for equal suffixes of many containers

    def put(self, prefix: str, value: T) -> T | None:
        """Set the value of a prefix; return the one it had."""
        assert value is not None
        self._root, before = self._put(self._root, prefix, 0, value)
        self._size += before is None
        return before

    def remove(self, prefix: str) -> T | None:
        """Take a prefix out; return the value it had, None if it is not here."""
        root, before = self._remove(self._root, prefix, 0)
        self._root = root if root is not None else _Bucket(self._owner, {})
        self._size -= before is not None
        return before

    def get(self, prefix: str) -> T | None:
        """Return the value of exactly this prefix, as changed so far."""
        return self.peek().get(prefix)

    def peek(self) -> PrefixTrie[T]:
        """Return what has been changed so far, to be read before the next change only."""
        return PrefixTrie(self._root, self._size)

    def freeze(self) -> PrefixTrie[T]:
        """Return the next version; this edit is over."""
        self._owner = None  # no node is owned by None's successor: what was made stays as it is
        done = PrefixTrie(self._root, self._size)
        self._root = _Bucket(None, {})
        return done

    def _own_node(self, node: _Node[T]) -> _Node[T]:
        return node if node.owner is self._owner else _Node(self._owner, node.value, dict(node.children))

    def _put(self, at: _Node[T] | _Bucket[T], prefix: str, depth: int,
             value: T) -> tuple[_Node[T] | _Bucket[T], T | None]:
        if type(at) is _Node:
            node = self._own_node(at)
            if depth == len(prefix):
                before, node.value = node.value, value
                return node, before
            below = node.children.get(prefix[depth])
            if below is None:
                below = _Bucket(self._owner, {})
            node.children[prefix[depth]], before = self._put(below, prefix, depth + 1, value)
            return node, before
        assert type(at) is _Bucket
        if at.owner is not self._owner:
            at = _Bucket(self._owner, dict(at.entries), at.lengths)
        rest = prefix[depth:]
        before = at.entries.get(rest)
        at.entries[self._suffixes.setdefault(rest, rest)] = value
        at.grow(len(rest))
        return (self._burst(at) if len(at.entries) > BURST_THRESHOLD else at), before

    def _burst(self, bucket: _Bucket[T]) -> _Node[T]:
        node: _Node[T] = _Node(self._owner, None, {})
        for suffix, value in bucket.entries.items():
            if not suffix:
                node.value = value
                continue
            below = node.children.get(suffix[0])
            if type(below) is not _Bucket:
                below = node.children[suffix[0]] = _Bucket(self._owner, {})
            rest = suffix[1:]
            below.entries[self._suffixes.setdefault(rest, rest)] = value
            below.grow(len(rest))
        return node

    def _remove(self, at: _Node[T] | _Bucket[T], prefix: str,
                depth: int) -> tuple[_Node[T] | _Bucket[T] | None, T | None]:
        """Return what is left of the subtree (None: nothing) and the value taken out."""
        if type(at) is _Bucket:
            before = at.entries.get(prefix[depth:])
            if before is None:
                return at, None
            entries = dict(at.entries)
            del entries[prefix[depth:]]
            lengths = tuple(sorted(set(map(len, entries)), reverse=True))
            return (_Bucket(self._owner, entries, lengths) if entries else None), before
        assert type(at) is _Node
        if depth == len(prefix):
            if at.value is None:
                return at, None
            node = self._own_node(at)
            before, node.value = node.value, None
            return (node if node.children else None), before
        below = at.children.get(prefix[depth])
        if below is None:
            return at, None
        left, before = self._remove(below, prefix, depth + 1)
        if before is None:
            return at, None
        node = self._own_node(at)
        if left is not None:
            node.children[prefix[depth]] = left
        else:
            del node.children[prefix[depth]]
        return (node if node.children or node.value is not None else None), before
