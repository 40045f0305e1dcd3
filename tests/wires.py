"""The one helper of the tests of state machines: feeding bytes at any split."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from hypothesis import strategies as st

from astertrack.wire.common import Malformed

CALLS = st.text("0123456789abcdef", min_size=16, max_size=16)
CUTS = st.lists(st.integers(1, 40), max_size=30)
Receive = Callable[[bytes], Sequence[Any]]


def feed(receive: Receive, data: bytes, cuts: Sequence[int] = ()) -> list[Any]:
    """Feed data in pieces of these lengths, the rest at once; return all events."""
    events: list[Any] = []
    for cut in cuts:
        events += receive(data[:cut])
        data = data[cut:]
    return events + list(receive(data))


def check_any_split(make: Callable[[], Receive], data: bytes, cuts: Sequence[int]) -> list[Any]:
    """Whatever the split, the events are those of one piece; after Malformed there is none. Returns them."""
    whole = feed(make(), data)
    assert feed(make(), data, cuts) == whole
    assert feed(make(), data, [1] * len(data)) == whole
    assert not any(isinstance(event, Malformed) for event in whole[:-1])
    return whole
