"""The gate: the ordered chain of admission policies that every call offered at any front passes before the module.

A policy may resolve a call's destination, constrain the exchanges that its set-ups may use, or refuse it with a wait.
The module, ospreylug.logic, chooses exchanges, retries and sheds load among admitted calls. Each policy is notified
exactly once of the final result of a call that it admitted, and exactly once that the call has ended, also if a later
policy refused the call. Both notifications go through the policies in reverse order of admission.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from astertrack.core.model import FinalResult, LogFunction, Request
from ospreylug import interface as io

FAULT_WAIT_US = 1_000_000  # wait before a retry, given if a fail_closed policy raised an exception
Tiers = tuple[frozenset[int] | None, ...]


@dataclass(frozen=True, slots=True)
class RouteConstraint:
    """The exchanges, by number, that a call's set-ups may use.

    `tiers`: groups of exchanges in order of preference; None stands for every exchange. Empty: any exchange.
    `never`: exchanges that are excluded, even if a tier contains them.
    """

    tiers: Tiers = ()
    never: frozenset[int] = frozenset()

    def permits(self, number: int) -> bool:
        """Return whether set-ups may be sent to this exchange."""
        return number not in self.never and (
            not self.tiers or any(tier is None or number in tier for tier in self.tiers))

    def intersect(self, other: RouteConstraint) -> RouteConstraint:
        """Return the constraint that permits what both permit, ordered by this one's tiers, then by the other's."""
        never = self.never | other.never
        if not self.tiers or not other.tiers:
            return RouteConstraint(self.tiers or other.tiers, never)
        common = [a if b is None else b if a is None else a & b for a in self.tiers for b in other.tiers]
        usable = tuple(tier for tier in common if tier is None or tier - never)
        # One empty tier permits no exchange, whereas no tiers at all would permit every exchange.
        return RouteConstraint(usable or (frozenset(),), never)


UNCONSTRAINED = RouteConstraint()


@dataclass(frozen=True, slots=True)
class Approval:
    """A policy's consent to a call.

    `dest`, unless None, replaces the call's destination. `token` is the policy's own state of the call; it is passed to
    the policy's other methods.
    """

    dest: int | None = None
    constraint: RouteConstraint = UNCONSTRAINED
    label: str = ""  # for the call's log lines and its record, such as the version of the routing plan
    token: object = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """A policy's refusal of a call: the cause, and the wait in microseconds after which the caller may retry."""

    cause: str
    wait_us: int
    label: str = ""  # as for an Approval


class Policy(Protocol):
    """An admission policy. It decides from its arguments and notifications only: no I/O, no clock but now_us.

    `token` is the one that the policy returned with its Approval of the call.
    """

    name: str
    # Whether a call is refused if the policy raises an exception. True where admitting a call does more harm than
    # refusing it (access rights); False where refusing does more harm (routes, call gapping).
    fail_closed: bool

    def admit(self, request: Request, now_us: int) -> Approval | Refusal | None:
        """Decide on an offered call; None admits it without further notifications to this policy."""

    def permits(self, token: object, request: Request, entry: io.Entry, now_us: int) -> bool:
        """Return whether a set-up of the call may go to this exchange; called right before it is sent."""

    def sent(self, token: object, request: Request, entry: io.Entry, now_us: int) -> None:
        """Called when a set-up of the call has been sent."""

    def final(self, token: object, request: Request, final: FinalResult, now_us: int) -> None:
        """Called once with the final result of the call, also if its caller cancelled it."""

    def over(self, token: object, request: Request, now_us: int) -> None:
        """Called once when the call has ended, always after final()."""


class Admission:
    """The gate's admission of one call, kept with the call until its end."""

    __slots__ = ("_approvals", "_gate", "constraint", "label")

    def __init__(self, gate: Gate) -> None:
        self._gate = gate
        self._approvals: list[tuple[Policy, object]] = []  # each with the policy's token
        self.constraint = UNCONSTRAINED
        self.label = ""

    def add(self, policy: Policy, approval: Approval) -> None:
        """Apply the approval of one policy."""
        self._approvals.append((policy, approval.token))
        self.constraint = approval.constraint if self.constraint is UNCONSTRAINED else (
            self.constraint.intersect(approval.constraint))
        self.label = ",".join(part for part in (self.label, approval.label) if part)

    def permits(self, request: Request, entry: io.Entry, now_us: int) -> bool:
        """Return whether a set-up may go to this exchange now, whatever the module asked for."""
        return self.constraint.permits(entry.number) and all(
            self._gate.is_permitted(policy, token, request, entry, now_us) for policy, token in self._approvals)

    def notify_sent(self, request: Request, entry: io.Entry, now_us: int) -> None:
        """Notify the policies that a set-up has been sent."""
        for policy, token in self._approvals:
            self._gate.notify(policy, "sent", token, request, entry, now_us)

    def notify_final(self, request: Request, result: FinalResult, now_us: int) -> None:
        """Notify the policies of the final result."""
        for policy, token in reversed(self._approvals):
            self._gate.notify(policy, "final", token, request, result, now_us)

    def notify_ended(self, request: Request, now_us: int) -> None:
        """Notify the policies that the call has ended; when called again, do nothing."""
        approvals, self._approvals = self._approvals, []
        for policy, token in reversed(approvals):
            self._gate.notify(policy, "over", token, request, now_us)


class Gate:
    """The chain of admission policies. An exception in one voids only its own decision; the call is still answered."""

    def __init__(self, policies: Sequence[Policy], log: LogFunction, counts: Counter[str],
                 resolves_destination: bool = False) -> None:
        self.policies, self.log, self.counts = tuple(policies), log, counts
        self.resolves_destination = resolves_destination  # True: a policy supplies it for calls offered without one
        self._empty_admission = Admission(self)  # without policies: shared by all calls, since it has no state

    def admit(self, request: Request, now_us: int) -> Admission | Refusal:
        """Ask the policies in order; the first refusal is final. May set the request's destination."""
        if not self.policies:
            return self._empty_admission
        admission = Admission(self)
        for policy in self.policies:
            try:
                decision = policy.admit(request, now_us)
            except Exception as error:
                self._report_fault(policy, "admit", error)
                decision = Refusal("fault", FAULT_WAIT_US) if policy.fail_closed else None
            if isinstance(decision, Refusal):
                self.counts[f"gate_refused_{policy.name}_{decision.cause}".replace("-", "_")] += 1
                admission.notify_final(request, FinalResult.REFUSED, now_us)
                admission.notify_ended(request, now_us)
                return decision
            if decision is not None:
                if decision.dest is not None:
                    request.dest = decision.dest
                admission.add(policy, decision)
        return admission

    def is_permitted(self, policy: Policy, token: object, request: Request, entry: io.Entry, now_us: int) -> bool:
        """Return whether one policy permits a set-up."""
        try:
            return policy.permits(token, request, entry, now_us)
        except Exception as error:
            self._report_fault(policy, "permits", error)
            return not policy.fail_closed

    def notify(self, policy: Policy, method: str, *values: object) -> None:
        """Call a notification method of one policy, and log an exception that it raises."""
        try:
            getattr(policy, method)(*values)
        except Exception as error:
            self._report_fault(policy, method, error)

    def _report_fault(self, policy: Policy, method: str, error: Exception) -> None:
        self.counts["gate_faults"] += 1
        self.log("gate fault", policy=policy.name, told=method, error=repr(error))
