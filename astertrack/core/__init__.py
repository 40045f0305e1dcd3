"""Requests, attempts and outcomes. Nothing here knows a byte, a socket or a library."""

from astertrack.core.gate import Approval, Gate, Policy, Refusal, RouteConstraint
from astertrack.core.model import NORMAL_CLEARING, TEMPORARY_FAILURE, AttemptEnd, FinalResult, Request
from astertrack.core.router import Router

__all__ = ["NORMAL_CLEARING", "TEMPORARY_FAILURE", "Approval", "AttemptEnd", "FinalResult", "Gate", "Policy", "Refusal",
           "Request", "RouteConstraint", "Router"]
