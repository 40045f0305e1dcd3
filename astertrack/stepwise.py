"""Long computations as generators, which pause after each small step so that calls are handled in between.

A generator yields None after a step, or an Offload: work that cannot be divided into steps. Its driver sends the
result of the Offload back in. `run_to_end` drives one without pauses; astertrack.net.cooperative does it in a reactor.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any, TypeVar

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Offload:
    """Work that takes too long for one step. `function` may run in another thread, and must not raise."""

    function: Callable[[], Any]


Steps = Generator[Offload | None, Any, T]


def run_to_end(steps: Steps[T]) -> T:
    """Run a computation without pauses, for callers that handle no calls meanwhile, and return its result."""
    result: Any = None
    while True:
        try:
            offload = steps.send(result)
        except StopIteration as end:
            value: T = end.value
            return value
        result = offload.function() if offload is not None else None
