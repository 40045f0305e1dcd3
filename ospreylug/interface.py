"""The interface of the decision module: what it is told and what it can ask for, in telephony's terms.

Times are microseconds of the caller's own clock. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Topology(Enum):
    """How the far ends hang together."""

    MESH = "mesh"  # exchanges joined by trunk groups; calls may be in transit
    POOLS = "pools"  # pools of agents that every controller shares; no transit


class Repeatability(Enum):
    """What a second set-up of the same call may do."""

    FREE = "free"  # may be repeated
    GUARDED = "guarded"  # repeats are discarded inside one group of exchanges, for a while
    SINGLE = "single"  # never twice


class RepeatScope(Enum):
    """Which exchanges discard repeats of a GUARDED call."""

    ALL = "all"
    ZONE = "zone"
    EXCHANGE = "exchange"


class Readiness(Enum):
    """State of an exchange in the roster."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class RosterKind(Enum):
    """What a roster event holds."""

    UPDATE = "update"  # the changed entries only
    REPLACE = "replace"  # the complete list
    RESTORED = "restored"  # the complete list as held before a restart, possibly stale
    UNAVAILABLE = "unavailable"  # a query failed or the subscription broke


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"  # the call stood and has ended
    NUMBER_FAULT = "number fault"  # all lines of the number busy, or a signalling fault
    TURNED_AWAY = "turned away"  # crankback, or a processor or pool was full
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    CUT = "cut"
    CALLED_OFF = "called off"
    NOT_SENT = "not sent"  # no circuit free, own processor down, time or attempts used up


class Cause(Enum):
    """Why an attempt ended as it did, where that is told."""

    NONE = "none"
    NO_CIRCUIT = "no circuit"
    CRANKBACK = "crankback"  # the tandem sent it back
    CRANKBACK_FULL = "crankback, far processor full"
    PROCESSOR_FULL = "processor full"
    LINES_BUSY = "lines busy"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of call."""

    aim_us: int
    deadline_us: int
    worth: float
    late_worth: float = 0.0
    width: float = 1.0
    hold_us: int = 0
    repeatability: Repeatability = Repeatability.FREE
    repeat_scope: RepeatScope = RepeatScope.ALL
    repeat_window_us: int = 0
    pools: tuple[int, ...] = ()  # with POOLS: where it may go; empty: anywhere


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer who shares the network."""

    fraction: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a controller is told once, at its start."""

    controllers: int
    number: int
    home: int  # number of the own exchange; -1 with POOLS
    topology: Topology
    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    zone: int = -1
    max_attempts: int = 1
    release_us: int = 0
    resend_us: int = 0
    drain_grace_us: int = 0
    cold_from: float = 1.0
    cold_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 0
    answer_grace_us: int = 0
    roster_on_request: bool = False
    ask_every_us: int = 0
    may_probe: bool = False
    may_message: bool = False
    may_call_off: bool = False
    callers_wait: bool = False  # callers are told how long to wait after a refusal
    max_caller_wait_us: int = 0
    tandem_advice: bool = False
    tick_us: int = 1000

    def __post_init__(self) -> None:
        """Turn down what no network can be."""
        if not isinstance(self.topology, Topology):
            raise ValueError(f"topology: unknown value {self.topology!r}")
        if self.controllers < 1:
            raise ValueError(f"controllers: at least 1 is needed, not {self.controllers}")
        if not self.classes:
            raise ValueError("classes: at least one class of call is needed")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts: at least 1 is needed, not {self.max_attempts}")
        for name in ("release_us", "resend_us", "drain_grace_us", "cold_us", "fall_us", "answer_grace_us",
                     "ask_every_us", "max_caller_wait_us", "cold_from", "fall_multiple", "tick_us",
                     "over_share_worth"):
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name}: must not be negative, but is {getattr(self, name)}")
        for at, service in enumerate(self.classes):
            if service.deadline_us <= 0 or service.aim_us <= 0:
                raise ValueError(f"classes[{at}]: aim_us and deadline_us must be above 0")
            if not service.width > 0 or not service.worth >= 0:
                raise ValueError(f"classes[{at}]: width must be above 0 and worth not negative")
        for at, tenant in enumerate(self.tenants):
            if not tenant.quota_per_s >= 0:
                raise ValueError(f"tenants[{at}].quota_per_s: must not be negative")


@dataclass(frozen=True, slots=True)
class Load:
    """What a report says of a far exchange; None where it does not say."""

    free: float | None = None  # free circuits of the group towards it: true when told
    size: float | None = None  # circuits of that group
    queue: float | None = None  # set-ups waiting at its processor
    in_progress: float | None = None  # set-ups in work there
    utilization: float | None = None  # share of the processor that is busy
    wait_us: float | None = None  # the wait at its processor
    capacity_per_s: float | None = None  # set-ups a second that it can take from all senders
    hold_back: float | None = None  # share of set-ups that it asks every sender to hold back


@dataclass(frozen=True, slots=True)
class Entry:
    """One exchange of the roster."""

    exchange: str
    number: int
    zone: int
    kind: int = 0
    readiness: Readiness = Readiness.READY
    weight: float = 1.0
    started_us: int | None = None


@dataclass(frozen=True, slots=True)
class RosterChange:
    """News of the roster."""

    kind: RosterKind
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call to set up: fresh from a subscriber here, or in transit."""

    call: str
    service: int
    dest: int
    number: str
    deadline_us: int
    width: float = 1.0
    tenant: int = 0
    transit: bool = False
    via: int = -1  # advice on a tandem, or where a call in transit comes from
    repeated: bool = False
    cut_before: bool = False
    # Groups of exchanges to which it may be sent, by number, the first before the second; None: any other.
    tiers: tuple[frozenset[int] | None, ...] = ()  # empty: any
    never: frozenset[int] = frozenset()  # and to which it may not


@dataclass(frozen=True, slots=True)
class CallStands:
    """A set-up was answered: the call holds its circuits until the attempt ends."""

    call: str
    attempt: int
    exchange: str
    delay_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over."""

    call: str
    attempt: int
    exchange: str
    outcome: Outcome
    delay_us: int
    settled: bool
    cause: Cause = Cause.NONE
    wait_us: int = 0  # a full processor's own word on how long to wait
    load: Load = field(default_factory=Load)


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has left, or the answer is overdue."""

    call: str


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer has come due."""

    token: str


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """Free circuits of an own group have changed, or a probe was answered."""

    exchange: str
    ok: bool
    delay_us: int
    load: Load


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another controller."""

    sender: int
    data: bytes


Event = (RosterChange | CallOffered | CallStands | AttemptEnded | CallerGone | TimerDue | GroupStatus
         | PeerMessage)


@dataclass(frozen=True, slots=True)
class SetUp:
    """Send a set-up: to the destination's exchange, or to another one as tandem."""

    call: str
    exchange: str
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away (a call in transit: crankback)."""

    call: str
    wait_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the call has failed."""

    call: str


@dataclass(frozen=True, slots=True)
class CallOff:
    """Give up an attempt that is out."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerDue at a time."""

    token: str
    at_us: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Test a far exchange."""

    exchange: str


@dataclass(frozen=True, slots=True)
class WatchRoster:
    """Subscribe to the roster's changes."""


@dataclass(frozen=True, slots=True)
class FetchRoster:
    """Ask once for the whole roster."""


@dataclass(frozen=True, slots=True)
class TellPeers:
    """Send a short message to every other controller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str


Action = (SetUp | Refuse | Fail | CallOff | SetTimer | Probe | WatchRoster | FetchRoster | TellPeers | Log)
