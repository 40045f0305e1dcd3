"""The data types of the core, and the ports through which it reaches callers, peers, the clock and the log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ospreylug import interface as io

NORMAL_CLEARING = 16  # Q.850: normal clearing
TEMPORARY_FAILURE = 41  # Q.850: temporary failure; used where a call or its set-up was cut


@dataclass(slots=True)
class Request:
    """A call to be set up. Its deadline, after which the caller no longer waits, is absolute Unix microseconds."""

    call_id: str
    service: int  # index of the call's class in io.Settings.classes
    service_name: str  # name of the class
    dest: int  # number of the destination exchange; -1: a policy of the gate supplies it
    number: str  # the called number
    deadline_us: int
    description: bytes  # the caller's offer, which is passed on to the peer
    width: float = 1.0  # circuits that the call takes
    tenant: int = 0
    transit: bool = False
    via: int = -1  # recommended tandem, or the exchange from which a call in transit comes; -1: none
    repeated: bool = False  # the caller has offered the call before
    cut_before: bool = False  # the caller returns after an established call was cut
    # The call may be established at a peer since before a restart of this router: it is released at all of them first.
    release_first: bool = False


@dataclass(slots=True)
class AttemptEnd:
    """How an attempt, or the established call that resulted from it, ended, as reported by its peer or the router."""

    outcome: io.Outcome
    cause: io.Cause = io.Cause.NONE
    load: io.Load = field(default_factory=io.Load)


class FinalResult(Enum):
    """The result of a call set-up; each call gets exactly one."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "given up"  # cancelled by the caller, which gets no answer then


@dataclass(slots=True)
class CallRecord:
    """A row of the call records: the final result of a call, or the end of an established one. Times: Unix us."""

    call: str
    at_us: int
    event: str  # the value of a FinalResult, or "ended" or "cut"
    service: str
    number: str
    dest: int
    transit: bool
    attempts: int
    peer: str  # peer of the current attempt; empty: there is none
    taken_us: int = 0  # when the call was accepted
    version: str = ""  # version of the routing plan that applied to the call; empty: none did


class Caller(Protocol):
    """The side that offered a call.

    For each call it receives exactly one of on_answered, on_refused and on_failed, or none if it
    has cancelled the call before.
    """

    def on_answered(self, call_id: str, description: bytes) -> None:
        """Report that the call is established."""

    def on_refused(self, call_id: str, wait_us: int) -> None:
        """Report that the call is refused and may be retried after wait_us microseconds."""

    def on_failed(self, call_id: str) -> None:
        """Report that the call has failed."""

    def on_released(self, call_id: str, cause: int) -> None:
        """Report that an established call has been released."""


class Peers(Protocol):
    """The peer exchanges, addressed by their names in the roster."""

    def set_up(self, peer: str, request: Request, deadline_us: int) -> None:
        """Send a set-up whose answer is awaited until the deadline."""

    def cancel_set_up(self, peer: str, call_id: str) -> None:
        """Cancel a pending set-up."""

    def release(self, peer: str, call_id: str, cause: int) -> None:
        """Release an established call."""

    def is_release_pending(self, call_id: str, peer: str = "") -> bool:
        """Return whether a release of this call waits for a connection.

        One that waits for an unresponsive peer, which may never be sent, counts only if that peer is given.
        """

    def probe(self, peer: str) -> None:
        """Send a probe to a peer."""


class Timer(Protocol):
    """A callback scheduled for an instant."""

    def cancel(self) -> None:
        """Cancel the callback; has no effect once it has run."""


class Clock(Protocol):
    """The Unix clock in microseconds, with timers."""

    def now_us(self) -> int:
        """Return the current time."""

    def call_at(self, when_us: int, callback: Callable[[], None]) -> Timer:
        """Call the callback at when_us, never earlier."""


class LogFunction(Protocol):
    """The only function of a log that the core uses."""

    def __call__(self, event: str, **values: object) -> object:
        """Write a log line with named values."""
