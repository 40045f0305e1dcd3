"""The gate: the ordered list of policies that every offered call of every front passes before the module.

A policy may resolve a call's destination, narrow where its set-ups may go, or refuse it with a wait. It decides
neither server nor retry nor, among admitted calls, whom to turn away: those stay with the module. Whatever a
policy does, it is told exactly once how a call it admitted was answered, and exactly once that nothing of the
call is left, in reverse order of approval, also where a later policy refused it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from astertrack.core.model import FinalResult, LogFunction, Request
from ospreylug import interface as io

FAULT_WAIT_US = 1_000_000  # when to return after a refusal by a policy that failed and has to stay shut
Tiers = tuple[frozenset[int] | None, ...]


@dataclass(frozen=True, slots=True)
class RouteConstraint:
    """Where a call's set-ups may go, by the exchanges' numbers.

    `tiers`: groups of exchanges, the first before the second; None stands for every exchange. Empty: any.
    `never`: exchanges that are not sent to, whatever the tiers say.
    """

    tiers: Tiers = ()
    never: frozenset[int] = frozenset()

    def permits(self, number: int) -> bool:
        """Whether a set-up may be sent to this exchange at all."""
        return number not in self.never and (
            not self.tiers or any(tier is None or number in tier for tier in self.tiers))

    def intersect(self, other: RouteConstraint) -> RouteConstraint:
        """Return what both permit: in this one's order, and within a tier of it in the other's."""
        never = self.never | other.never
        if not self.tiers or not other.tiers:
            return RouteConstraint(self.tiers or other.tiers, never)
        both = [a if b is None else b if a is None else a & b for a in self.tiers for b in other.tiers]
        kept = tuple(tier for tier in both if tier is None or tier - never)
        return RouteConstraint(kept or (frozenset(),), never)


UNCONSTRAINED = RouteConstraint()


@dataclass(frozen=True, slots=True)
class Approval:
    """A policy lets a call pass: whither (None: as it came), how, and what the policy wants back at its end."""

    dest: int | None = None
    constraint: RouteConstraint = UNCONSTRAINED
    label: str = ""  # for the call's log lines and its record, such as the version of the plan it follows
    token: object = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """A policy turns a call away: why, and after how long its caller should return."""

    cause: str
    wait_us: int
    label: str = ""  # as an Approval's


class Policy(Protocol):
    """One entry of the list. Decides by what it is told alone: no I/O, no clock but now_us."""

    name: str
    # Whether a fault of the policy refuses the call: so it must be where admitting is the greater harm (rights),
    # not where refusing is (routes, gaps).
    fail_closed: bool

    def admit(self, request: Request, now_us: int) -> Approval | Refusal | None:
        """Take a view of an offered call; None: it passes, and the policy hears no more of it."""

    def permits(self, token: object, request: Request, entry: io.Entry, now_us: int) -> bool:
        """Say, at the moment of sending, whether a set-up of the call may go to this exchange."""

    def sent(self, token: object, request: Request, entry: io.Entry, now_us: int) -> None:
        """Hear that a set-up of the call has left."""

    def final(self, token: object, request: Request, final: FinalResult, now_us: int) -> None:
        """Hear of the call's one final answer, or that its caller gave up."""

    def over(self, token: object, request: Request, now_us: int) -> None:
        """Hear that nothing of the call is in hand any more."""


class Admission:
    """What the gate made of one call; kept with it until its end."""

    __slots__ = ("_gate", "_held", "constraint", "label")

    def __init__(self, gate: Gate) -> None:
        self._gate = gate
        self._held: list[tuple[Policy, object]] = []
        self.constraint = UNCONSTRAINED
        self.label = ""

    def add(self, policy: Policy, approval: Approval) -> None:
        """Take in what one policy said."""
        self._held.append((policy, approval.token))
        self.constraint = approval.constraint if self.constraint is UNCONSTRAINED else (
            self.constraint.intersect(approval.constraint))
        self.label = ",".join(x for x in (self.label, approval.label) if x)

    def permits(self, request: Request, entry: io.Entry, now_us: int) -> bool:
        """Whether a set-up may go to this exchange now. The last word, whatever the module asked for."""
        return self.constraint.permits(entry.number) and all(
            self._gate.ask(policy, token, request, entry, now_us) for policy, token in self._held)

    def sent(self, request: Request, entry: io.Entry, now_us: int) -> None:
        """Tell the policies that a set-up has left."""
        for policy, token in self._held:
            self._gate.tell(policy, "sent", token, request, entry, now_us)

    def final(self, request: Request, final: FinalResult, now_us: int) -> None:
        """Tell the policies of the final answer."""
        for policy, token in reversed(self._held):
            self._gate.tell(policy, "final", token, request, final, now_us)

    def over(self, request: Request, now_us: int) -> None:
        """Tell the policies that nothing is left, and forget them: told once, whoever asks again."""
        held, self._held = self._held, []
        for policy, token in reversed(held):
            self._gate.tell(policy, "over", token, request, now_us)


class Gate:
    """The list of policies. A fault in one costs its own say, never the call its answer."""

    def __init__(self, policies: Sequence[Policy], log: LogFunction, counts: Counter[str],
                 resolves_destination: bool = False) -> None:
        self.policies, self.log, self.counts = tuple(policies), log, counts
        self.resolves_destination = resolves_destination  # True: calls may come without one, as a policy supplies it
        self._open = Admission(self)  # for all calls, while there is no policy

    def admit(self, request: Request, now_us: int) -> Admission | Refusal:
        """Ask every policy in order; the first refusal stands. May set the request's destination."""
        if not self.policies:
            return self._open
        admission = Admission(self)
        for policy in self.policies:
            try:
                verdict = policy.admit(request, now_us)
            except Exception as wrong:
                self._fault(policy, "admit", wrong)
                verdict = Refusal("fault", FAULT_WAIT_US) if policy.fail_closed else None
            if isinstance(verdict, Refusal):
                self.counts[f"gate_refused_{policy.name}_{verdict.cause}".replace("-", "_")] += 1
                admission.final(request, FinalResult.REFUSED, now_us)
                admission.over(request, now_us)
                return verdict
            if verdict is not None:
                if verdict.dest is not None:
                    request.dest = verdict.dest
                admission.add(policy, verdict)
        return admission

    def ask(self, policy: Policy, token: object, request: Request, entry: io.Entry, now_us: int) -> bool:
        """Ask one policy about a set-up."""
        try:
            return policy.permits(token, request, entry, now_us)
        except Exception as wrong:
            self._fault(policy, "permits", wrong)
            return not policy.fail_closed

    def tell(self, policy: Policy, what: str, *values: object) -> None:
        """Tell one policy something; its faults stay its own."""
        try:
            getattr(policy, what)(*values)
        except Exception as wrong:
            self._fault(policy, what, wrong)

    def _fault(self, policy: Policy, what: str, wrong: Exception) -> None:
        self.counts["gate_faults"] += 1
        self.log("gate fault", policy=policy.name, told=what, error=repr(wrong))
