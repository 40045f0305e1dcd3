"""The interface of the decision module: its settings, the events it takes and the actions it returns.

Fields named *_us are in microseconds. deadline_us of CallOffered, started_us and at_us are points in time of the
clock that is passed to Controller.handle; all others are durations. This module holds data types only.

The interface is wider than its present use: Controller ignores peer messages, sends no messages, probes,
cancellations or one-time roster requests, and doesn't read the fields marked "not read by Controller".
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Topology(Enum):
    """How the remote exchanges are connected."""

    MESH = "mesh"  # exchanges joined by trunk groups; a call may go in transit through a tandem
    POOLS = "pools"  # pools of agents shared by all controllers; no transit


class Repeatability(Enum):
    """Whether a call may be set up a second time after an attempt that may have been executed."""

    FREE = "free"  # may be repeated
    GUARDED = "guarded"  # the exchanges of one RepeatScope discard repeats within repeat_window_us
    SINGLE = "single"  # must not be repeated


class RepeatScope(Enum):
    """Which exchanges recognise and discard repeats of a GUARDED call."""

    ALL = "all"
    ZONE = "zone"
    EXCHANGE = "exchange"


class Readiness(Enum):
    """Administrative state of an exchange in the roster."""

    READY = "ready"
    DRAINING = "draining"  # keeps its calls, takes no new ones
    GONE = "gone"


class RosterKind(Enum):
    """What a roster event contains."""

    UPDATE = "update"  # only the entries that changed
    REPLACE = "replace"  # the complete list
    RESTORED = "restored"  # the complete list from before a restart, possibly stale
    UNAVAILABLE = "unavailable"  # nothing: a query failed or the subscription was lost


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"  # the call was established and has been released
    NUMBER_FAULT = "number fault"  # all lines of the called number busy, or a signalling error
    TURNED_AWAY = "turned away"  # crankback, or a processor or pool was full
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"  # no connection, so nothing was executed
    CUT = "cut"  # the connection was lost
    CALLED_OFF = "called off"  # cancelled
    NOT_SENT = "not sent"  # no free circuit, own processor down, or time or attempts exhausted


class Cause(Enum):
    """The reported reason for the outcome of an attempt."""

    NONE = "none"
    NO_CIRCUIT = "no circuit"
    CRANKBACK = "crankback"  # returned by the tandem
    CRANKBACK_FULL = "crankback, far processor full"
    PROCESSOR_FULL = "processor full"
    LINES_BUSY = "lines busy"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of call. aim_us and deadline_us count from the first attempt of the caller."""

    aim_us: int  # an answer within this time earns the full worth
    deadline_us: int  # after this time the caller has given up
    worth: float  # value of a call answered within aim_us; only its ratio to that of other classes matters
    late_worth: float = 0.0  # fraction of the worth that a later answer earns
    width: float = 1.0  # circuits per call
    hold_us: int = 0  # mean holding time
    repeatability: Repeatability = Repeatability.FREE
    repeat_scope: RepeatScope = RepeatScope.ALL
    repeat_window_us: int = 0  # how long GUARDED repeats are discarded
    pools: tuple[int, ...] = ()  # with Topology.POOLS: the pools that may serve it; empty: any

    @property
    def may_repeat_anywhere(self) -> bool:
        """Whether a call that was possibly executed may be repeated at any exchange, so that it may be refused."""
        return self.repeatability is Repeatability.FREE or (
            self.repeatability is Repeatability.GUARDED and self.repeat_scope is RepeatScope.ALL)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer that shares the network with others. Not read by Controller."""

    fraction: float  # its share of the service
    quota_per_s: float  # requests per second within that share, over all controllers


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a controller, fixed at its start.

    Raises a ValueError that names the field if a value is out of range.
    """

    controllers: int  # controllers in the network, this one included; not read by Controller
    number: int  # of this controller; not read by Controller
    home: int  # number of the own exchange; -1 with Topology.POOLS
    topology: Topology
    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()  # not read by Controller
    over_share_worth: float = 1.0  # fraction of the worth, for calls above a tenant's share; not read by Controller
    zone: int = -1  # of the own exchange; -1: unknown; not read by Controller
    max_attempts: int = 1  # per call
    release_us: int = 0  # wait before the next attempt after a time-out, a lost connection or a cancellation
    resend_us: int = 0  # resend time of a waiting set-up, doubled at each resend; 0: never; not read by Controller
    drain_grace_us: int = 0  # time to stop sending to a draining or gone exchange; not read by Controller
    cold_from: float = 1.0  # fraction of its capacity that a processor has when it starts
    cold_us: int = 0  # warm-up time of a processor after its start
    fall_multiple: float = 1.0  # a cold processor is overloaded above this multiple of its capacity
    fall_us: int = 0  # time over which that load is measured
    answer_grace_us: int = 0  # how long after the deadline a final answer still counts; not read by Controller
    roster_on_request: bool = False  # the roster is sent on request only
    ask_every_us: int = 0  # without a request for this long, a roster on request counts as this old
    may_probe: bool = False  # Probe is allowed; not read by Controller
    may_message: bool = False  # TellPeers is allowed; not read by Controller
    may_call_off: bool = False  # CallOff is allowed; not read by Controller
    callers_wait: bool = False  # refusals tell callers how long to wait
    max_caller_wait_us: int = 0  # longest wait that callers honour
    tandem_advice: bool = False  # offered calls may recommend a tandem; not read by Controller
    tick_us: int = 1000  # not read by Controller

    def __post_init__(self) -> None:
        """Check the values."""
        if not isinstance(self.topology, Topology):
            raise ValueError(f"topology: unknown value {self.topology!r}")
        if self.controllers < 1:
            raise ValueError(f"controllers: must be at least 1, but is {self.controllers}")
        if not self.classes:
            raise ValueError("classes: must contain at least one class of call")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts: must be at least 1, but is {self.max_attempts}")
        for name in ("release_us", "resend_us", "drain_grace_us", "cold_us", "fall_us", "answer_grace_us",
                     "ask_every_us", "max_caller_wait_us", "cold_from", "fall_multiple", "tick_us",
                     "over_share_worth"):
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name}: must not be negative, but is {getattr(self, name)}")
        for index, service in enumerate(self.classes):
            if service.deadline_us <= 0 or service.aim_us <= 0:
                raise ValueError(f"classes[{index}]: aim_us and deadline_us must be above 0")
            if not service.width > 0 or not service.worth >= 0:
                raise ValueError(f"classes[{index}]: width must be above 0 and worth must not be negative")
        for index, tenant in enumerate(self.tenants):
            if not tenant.quota_per_s >= 0:
                raise ValueError(f"tenants[{index}].quota_per_s: must not be negative")


@dataclass(frozen=True, slots=True)
class Load:
    """A load report on a remote exchange; None where the report gives no value."""

    free: float | None = None  # free circuits of the group towards it, exact at the time of the report
    size: float | None = None  # circuits of that group
    queue: float | None = None  # set-ups queued at its processor
    in_progress: float | None = None  # set-ups that its processor is handling; not read by Controller
    utilization: float | None = None  # of its processor, from 0 to 1; not read by Controller
    wait_us: float | None = None  # time that set-ups wait at its processor
    capacity_per_s: float | None = None  # set-ups per second that it can take from all senders together
    hold_back: float | None = None  # fraction of the set-ups that it asks every sender to hold back


@dataclass(frozen=True, slots=True)
class Entry:
    """An exchange in the roster."""

    exchange: str  # its name
    number: int
    zone: int  # -1: unknown
    kind: int = 0  # type of its hardware; not read by Controller
    readiness: Readiness = Readiness.READY
    weight: float = 1.0  # relative to those of other entries; not read by Controller
    started_us: int | None = None  # when its processor started; None: unknown, taken as warmed up


@dataclass(frozen=True, slots=True)
class RosterChange:
    """The roster has changed, or could not be obtained."""

    kind: RosterKind
    entries: tuple[Entry, ...] = ()  # none if the kind is UNAVAILABLE


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call to set up, from a subscriber of the own exchange or in transit."""

    call: str  # id of the call
    service: int  # index into Settings.classes
    dest: int  # number of the destination exchange
    number: str  # the called number; empty: unknown
    deadline_us: int  # absolute time at which the caller gives up
    width: float = 1.0  # circuits that it takes
    tenant: int = 0  # index into Settings.tenants; used to tell callers apart, any value is accepted
    transit: bool = False
    via: int = -1  # recommended tandem, or the exchange a call in transit comes from; -1: none; not read by Controller
    repeated: bool = False  # the caller has sent it before; not read by Controller
    cut_before: bool = False  # the caller returns after an established call was cut
    # Route constraint: groups of exchange numbers in order of preference; a group of None allows every exchange.
    tiers: tuple[frozenset[int] | None, ...] = ()  # empty: no constraint
    never: frozenset[int] = frozenset()  # excluded exchanges


@dataclass(frozen=True, slots=True)
class CallStands:
    """A set-up was answered: the call is established and holds its circuits until the attempt ends."""

    call: str
    attempt: int
    exchange: str
    delay_us: int  # since the set-up was sent


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, or the established call that came of it, has ended."""

    call: str
    attempt: int  # number of the attempt, from 0
    exchange: str
    outcome: Outcome
    delay_us: int  # since the set-up was sent
    settled: bool  # the caller has its final answer or has left: no Refuse or Fail may follow
    cause: Cause = Cause.NONE
    wait_us: int = 0  # how long a full processor asks senders to wait; not read by Controller
    load: Load = field(default_factory=Load)


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has given up, or was refused without the controller, whose answer was overdue."""

    call: str


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer that was set with SetTimer has expired."""

    token: str  # that of the SetTimer action


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """The free circuits of a group of the own exchange have changed, or a probe has ended."""

    exchange: str
    ok: bool  # False: the exchange cannot be reached; not read by Controller
    delay_us: int  # response time of the probe; not read by Controller
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
    """Send a set-up to the destination exchange, or to another one as a tandem."""

    call: str
    exchange: str
    timeout_us: int  # from now


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the call is refused, or cranked back if it is in transit."""

    call: str
    wait_us: int = 0  # how long the caller is asked to wait before the next attempt


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the call has failed."""

    call: str


@dataclass(frozen=True, slots=True)
class CallOff:
    """Cancel a pending attempt."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerDue event at an absolute time."""

    token: str  # returned in TimerDue
    at_us: int  # absolute time


@dataclass(frozen=True, slots=True)
class Probe:
    """Check whether a remote exchange responds."""

    exchange: str


@dataclass(frozen=True, slots=True)
class WatchRoster:
    """Subscribe to changes of the roster."""


@dataclass(frozen=True, slots=True)
class FetchRoster:
    """Request the complete roster once."""


@dataclass(frozen=True, slots=True)
class TellPeers:
    """Send a short message to all other controllers."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line for the operators."""

    text: str


Action = (SetUp | Refuse | Fail | CallOff | SetTimer | Probe | WatchRoster | FetchRoster | TellPeers | Log)
