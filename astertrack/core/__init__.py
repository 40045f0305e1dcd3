"""Requests, attempts and outcomes. Nothing here knows a byte, a socket or a library."""

from astertrack.core.gate import Approval, Gate, Policy, Refusal, RouteConstraint
from astertrack.core.model import CUT, NORMAL, AttemptEnd, Final, Request
from astertrack.core.router import Router

__all__ = ["CUT", "NORMAL", "Approval", "AttemptEnd", "Final", "Gate", "Policy", "Refusal", "Request",
           "RouteConstraint", "Router"]
