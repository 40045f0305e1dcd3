"""Callbacks that do not keep their object alive.

A connection and its helpers refer to each other. Without this they would be left to the garbage collector, whose rare
full collections would let memory grow with each connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from weakref import WeakMethod


def weakly(method: Callable[..., Any]) -> Callable[..., Any]:
    """Return a function that calls a bound method while its object exists, and does nothing after that."""
    reference = WeakMethod(method)

    def call(*arguments: Any) -> Any:
        target = reference()
        return None if target is None else target(*arguments)

    return call
