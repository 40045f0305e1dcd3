"""The interface of the parts of a router, which astertrack.parts lists."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from astertrack.config import Config
from astertrack.core import Policy, Router
from astertrack.net.clock import ReactorClock
from astertrack.net.peers import PeerTable


@dataclass(frozen=True, slots=True)
class PartContext:
    """The objects of the router that every part gets when it is created."""

    config: Config
    reactor: Any
    clock: ReactorClock
    counts: Counter[str]
    peers: PeerTable


class Part(Protocol):
    """One optional subsystem of a router."""

    def policies(self) -> Sequence[Policy]:
        """Return its admission policies for the gate, in order."""

    def start(self, router: Router) -> None:
        """Start the part, once the router can accept calls. Raises ConfigError if it cannot start."""

    def reload(self) -> None:
        """Read the settings again; invalid ones change nothing."""

    def stop(self) -> None:
        """Stop the part: it starts no further work."""

    def update_counters(self) -> None:
        """Update the counters that are computed on request."""
