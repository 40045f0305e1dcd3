"""What the stand-ins of a trial have seen. Times are seconds of the Unix clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class AnswerKind(Enum):
    """The kind of a final answer."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNREADABLE = "unreadable"


@dataclass(frozen=True)
class Answer:
    """A final answer, as a client received it."""

    kind: AnswerKind
    at_s: float
    description: bytes = b""


@dataclass
class SetUpRecord:
    """A set-up that a client has begun to write."""

    call: str
    service: str
    wait_s: float  # how long the client waits for the answer
    written_s: float | None = None  # when its last byte was written to an open connection; None: never
    answers: list[Answer] = field(default_factory=list)
    connection_ended_s: float | None = None  # when the client noticed that its connection had ended
    gave_up_s: float | None = None
    release_times_s: list[float] = field(default_factory=list)  # of releases that the client received
    is_over_rate: bool = False  # one of a flood; the router may refuse it without a record
    front: str = "sip"
    router: int = 0

    @property
    def is_served(self) -> bool:
        """Whether the first answer says that the call stands."""
        return bool(self.answers) and self.answers[0].kind is AnswerKind.SERVED


class AttemptEnd(Enum):
    """How an attempt ended at an exchange, as far as the exchange knows."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CANCELLED = "cancelled"  # by the router
    RESET = "reset"  # with its connection
    OPEN = "open"  # it has not ended


@dataclass
class AttemptRecord:
    """A set-up that has reached an exchange."""

    call: str
    exchange: str
    arrived_s: float
    end: AttemptEnd = AttemptEnd.OPEN
    ended_s: float | None = None
    answers: list[bytes] = field(default_factory=list)  # descriptions of answers that were written whole
    call_over_s: float | None = None  # when the established call ended
    over_sent_s: float | None = None  # when the exchange has sent a release of it on an open connection
    over_by_router: bool = False  # the router has released it
    waited_unread: bool = False  # it may have arrived long before the exchange read it


@dataclass
class ProcessRecord:
    """One process of a router."""

    router: int
    started_s: float
    ready_s: float | None = None
    term_s: float | None = None  # when SIGTERM was sent first
    kill_due_s: float | None = None  # when SIGKILL was due
    ended_s: float | None = None
    exit_code: int | None = None
    was_killed: bool = False
    counters: dict[str, int] = field(default_factory=dict)
    recorded_calls: set[str] | None = None  # calls with a final result in the store; None: there is no store


@dataclass
class DrainRecord:
    """A change of the roster that takes an exchange out of service."""

    exchange: str
    told_s: float  # when it counts as told
    until_s: float | None = None  # when the exchange was put back into service


@dataclass
class TrialRecord:
    """Everything that was seen in one trial."""

    started_s: float
    longest_wait_s: float  # of the classes in the settings
    set_ups: list[SetUpRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    processes: list[ProcessRecord] = field(default_factory=list)
    drains: list[DrainRecord] = field(default_factory=list)
    ended_s: float = 0.0
    longest_lag_s: float = 0.0  # by which the stand-ins were late to notice anything: all times are that uncertain
