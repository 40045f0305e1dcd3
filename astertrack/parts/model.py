"""What a part is, and what it is given. The parts are listed in astertrack.parts."""

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
    """What every part is made with."""

    config: Config
    reactor: Any
    clock: ReactorClock
    counts: Counter[str]
    peers: PeerTable


class Part(Protocol):
    """One subsystem of a router."""

    def policies(self) -> Sequence[Policy]:
        """Return its entries for the gate, in order."""

    def start(self, router: Router) -> None:
        """Begin, once the router can take calls. Raises ConfigError where it cannot."""

    def reload(self) -> None:
        """Read what it was configured with again; what cannot be used changes nothing."""

    def stop(self) -> None:
        """Begin nothing more."""

    def update_counters(self) -> None:
        """Bring the counters up to date."""
