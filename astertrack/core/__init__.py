"""Requests, attempts and outcomes. Nothing here knows a byte, a socket or a library."""

from astertrack.core.model import CUT, NORMAL, AttemptEnd, Request
from astertrack.core.router import Router

__all__ = ["CUT", "NORMAL", "AttemptEnd", "Request", "Router"]
