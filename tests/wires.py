"""Helpers for testing codecs: feeding them bytes split at any place."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from hypothesis import strategies as st

from astertrack.wire.common import Malformed

CALL_IDS = st.text("0123456789abcdef", min_size=16, max_size=16)
PIECE_LENGTHS = st.lists(st.integers(1, 40), max_size=30)
Receive = Callable[[bytes], Sequence[Any]]


def feed(receive: Receive, data: bytes, piece_lengths: Sequence[int] = ()) -> list[Any]:
    """Feed data in pieces of these lengths, the remainder at once; return all events."""
    events: list[Any] = []
    for length in piece_lengths:
        events += receive(data[:length])
        data = data[length:]
    return events + list(receive(data))


def check_any_split(make_receive: Callable[[], Receive], data: bytes, piece_lengths: Sequence[int]) -> list[Any]:
    """Assert that the events do not depend on the split and that none follows Malformed; return them."""
    expected = feed(make_receive(), data)
    assert feed(make_receive(), data, piece_lengths) == expected
    assert feed(make_receive(), data, [1] * len(data)) == expected
    assert not any(isinstance(event, Malformed) for event in expected[:-1])
    return expected
