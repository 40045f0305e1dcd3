"""Confirms releases to the destinations that sent them, once the callers have them.

A destination holds the release of a call until it is confirmed, and sends it again on the next connection. A release
that was confirmed on receipt would be lost with this process, if that ends before the caller has it.
"""

from __future__ import annotations

from collections.abc import Callable

MAX_WAITING = 10_000  # beyond it the oldest are forgotten: their destinations send them again on a later connection


class ReleaseConfirmations:
    """The releases that a destination wants confirmed, by call id.

    `is_pending` returns whether a front still has to pass a call's release on.
    """

    def __init__(self, is_pending: Callable[[str], bool]) -> None:
        self._is_pending = is_pending
        self._waiting: dict[str, Callable[[str], None]] = {}

    def expect(self, call_id: str, confirm: Callable[[str], None]) -> None:
        """Take note of a received release; `confirm` is called with the call id as soon as no front has it pending."""
        self._waiting.pop(call_id, None)
        self._waiting[call_id] = confirm
        if len(self._waiting) > MAX_WAITING:
            del self._waiting[next(iter(self._waiting))]

    def update(self, call_id: str) -> None:
        """Confirm the release of a call, if it was expected and is no longer pending."""
        if call_id in self._waiting and not self._is_pending(call_id):
            self._waiting.pop(call_id)(call_id)
