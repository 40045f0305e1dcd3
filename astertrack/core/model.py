"""What the core deals in, and the ports through which it speaks with the world."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ospreylug import interface as io

NORMAL_CLEARING = 16  # Q.850: normal clearing
TEMPORARY_FAILURE = 41  # Q.850: temporary failure; here: the call or its set-up was cut


@dataclass(slots=True)
class Request:
    """A call to be set up. Its deadline is an instant of the Unix clock, in microseconds."""

    call: str
    service: int
    service_name: str
    dest: int
    number: str
    deadline_us: int
    description: bytes
    width: float = 1.0
    tenant: int = 0
    transit: bool = False
    via: int = -1
    repeated: bool = False
    cut_before: bool = False


@dataclass(slots=True)
class AttemptEnd:
    """How a peer ended an attempt, or the call that came of it."""

    outcome: io.Outcome
    cause: io.Cause = io.Cause.NONE
    load: io.Load = field(default_factory=io.Load)


class FinalResult(Enum):
    """The one final answer of a call."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "given up"  # by the caller: no answer is owed


@dataclass(slots=True)
class CallRecord:
    """A line for the store of record: a call's final answer, or the end of one that stood."""

    call: str
    at_us: int
    event: str  # a FinalResult's value, or "ended" or "cut"
    service: str
    number: str
    dest: int
    transit: bool
    attempts: int
    peer: str
    taken_us: int = 0  # when the call was taken
    version: str = ""  # of the routing plan that it followed; empty: there was none


class Caller(Protocol):
    """Whoever offered a call. Each call gets exactly one of answered, refused and failed."""

    def on_answered(self, call: str, description: bytes) -> None:
        """The call stands."""

    def on_refused(self, call: str, wait_us: int) -> None:
        """Turned away; trying again is harmless after wait_us."""

    def on_failed(self, call: str) -> None:
        """The call has failed."""

    def on_released(self, call: str, cause: int) -> None:
        """A call that stood is over."""


class Peers(Protocol):
    """The far exchanges, by the name that the roster gives them."""

    def set_up(self, peer: str, request: Request, deadline_us: int) -> None:
        """Send a set-up that will be waited for until the deadline."""

    def cancel_set_up(self, peer: str, call: str) -> None:
        """Give up a set-up that is out."""

    def release(self, peer: str, call: str, cause: int) -> None:
        """Release a call that stands."""

    def probe(self, peer: str) -> None:
        """Test a peer."""


class Timer(Protocol):
    """Something that will be called at an instant."""

    def cancel(self) -> None:
        """Forget it; harmless when it has fired."""


class Clock(Protocol):
    """The Unix clock in microseconds, and what is to be done at an instant of it."""

    def now_us(self) -> int:
        """Return the present instant."""

    def call_at(self, when_us: int, callback: Callable[[], None]) -> Timer:
        """Call the callback at an instant, never before it."""


class LogFunction(Protocol):
    """The one use that the core makes of a log."""

    def __call__(self, event: str, **values: object) -> object:
        """Write a line."""
