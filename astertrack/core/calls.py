"""The current calls of a router and their attempts, as the router holds them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from astertrack.core.gate import Admission
from astertrack.core.model import Caller, Request, Timer


@dataclass(slots=True, eq=False)
class Attempt:
    """A pending set-up, or the established call that resulted from it."""

    number: int  # from 0
    peer: str
    sent_us: int
    timer: Timer | None = None


class CallState(Enum):
    """What a current call waits for; the values occur in log lines."""

    WAITING_FOR_ROUTE = "waiting_for_route"  # a circuit, the time of a retry, or a release before the first attempt
    WAITING_FOR_RELEASE = "waiting_for_release"  # of the attempt before
    WAITING_FOR_ANSWER = "waiting_for_answer"  # of a peer that was sent a set-up, or is being dialled
    ESTABLISHED = "established"


@dataclass(slots=True, eq=False)
class Call:
    """A current call: unanswered, or established. Times are Unix microseconds."""

    request: Request
    caller: Caller
    accepted_us: int
    answer_by_us: int  # the request's deadline less the router's margin
    admission: Admission | None = None  # None: the call has not passed the gate
    label: str = ""  # the gate's label, such as the version of the routing plan
    guard_timer: Timer | None = None  # refuses the call if nothing else has answered it by answer_by_us
    attempt: Attempt | None = None
    attempts: int = 0
    next_attempt_us: int = 0  # earliest time of the next attempt
    # The attempt before may stand at a peer while its release waits for a connection, or has only just been sent.
    released_us: int = 0  # earliest time of the next set-up after that release was sent
    hold_end_us: int = 0  # a set-up does not wait longer for the release
    held_set_up: Timer | None = None  # sends the set-up that waits
    is_established: bool = False
    is_possibly_executed: bool = False  # by an attempt that has ended

    @property
    def state(self) -> CallState:
        """What the call waits for."""
        if self.is_established:
            return CallState.ESTABLISHED
        if self.attempt is not None:
            return CallState.WAITING_FOR_ANSWER
        return CallState.WAITING_FOR_ROUTE if self.held_set_up is None else CallState.WAITING_FOR_RELEASE


class CallTable:
    """The current calls: by id, the oldest first; and those with a pending or established attempt, by peer."""

    def __init__(self) -> None:
        self.by_id: dict[str, Call] = {}
        self.by_peer: dict[str, dict[str, Call]] = {}

    def unanswered(self) -> list[Call]:
        """Return the calls that still wait for their final answer, the oldest first."""
        return [call for call in self.by_id.values() if not call.is_established]

    def find_unanswered(self, call_id: str) -> Call | None:
        """Return a call that still waits for its final answer."""
        call = self.by_id.get(call_id)
        return None if call is None or call.is_established else call

    def count_unanswered(self) -> int:
        """Return the number of calls that still wait for their final answer."""
        return sum(not call.is_established for call in self.by_id.values())

    def count_states(self) -> dict[str, int]:
        """Return the number of calls by what they wait for."""
        return dict(Counter(call.state.value for call in self.by_id.values()))

    def add_at_peer(self, peer: str, call: Call) -> None:
        """Take note that a call has an attempt at a peer."""
        self.by_peer.setdefault(peer, {})[call.request.call_id] = call

    def find_at_peer(self, peer: str, call_id: str) -> Call | None:
        """Return a call if it has an attempt at this peer."""
        return self.by_peer.get(peer, {}).get(call_id)

    def remove_from_peer(self, peer: str, call_id: str) -> None:
        """Take note that the attempt of a call at a peer has ended."""
        calls = self.by_peer.get(peer)
        if calls is not None:
            calls.pop(call_id, None)
            if not calls:
                del self.by_peer[peer]
