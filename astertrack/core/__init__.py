"""Call requests, attempts and outcomes, independent of protocols, sockets and third-party libraries."""

from astertrack.core.gate import Approval, Gate, Policy, Refusal, RouteConstraint
from astertrack.core.model import NORMAL_CLEARING, TEMPORARY_FAILURE, AttemptEnd, FinalResult, Request
from astertrack.core.router import Router

__all__ = ["NORMAL_CLEARING", "TEMPORARY_FAILURE", "Approval", "AttemptEnd", "FinalResult", "Gate", "Policy", "Refusal",
           "Request", "RouteConstraint", "Router"]
