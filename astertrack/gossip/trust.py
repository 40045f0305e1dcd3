"""How much an instance's word weighs: it falls with each claim that is refuted, and recovers with time."""

from __future__ import annotations

import math
from collections import OrderedDict

RECOVERS_US = 60_000_000  # half of what is held against an instance is forgiven in so long (ours)
HEEDED_LEAST = 0.25  # below this weight an instance's word alone starts nothing: four refuted claims (ours)
REMEMBERED_MOST = 4_096


class Trust:
    """Weights by name, from 0 to 1: 1 / (1 + refuted claims), the older ones forgiven by half-lives.

    Under loss sound instances err, too: one refuted suspicion halves a weight for a minute, which slows a true
    suspicion down by less than its spread by others makes up for.
    """

    def __init__(self) -> None:
        self._held: OrderedDict[str, tuple[float, int]] = OrderedDict()  # refuted claims, and as of when

    def _refuted(self, name: str, now_us: int) -> float:
        held, since_us = self._held.get(name, (0.0, now_us))
        return held * math.exp2((since_us - now_us) / RECOVERS_US)

    def refuted(self, name: str, now_us: int) -> None:
        """A claim of this instance was refuted by who knows better."""
        self._held[name] = (min(64.0, self._refuted(name, now_us) + 1.0), now_us)
        self._held.move_to_end(name)
        if len(self._held) > REMEMBERED_MOST:
            self._held.popitem(last=False)

    def weight(self, name: str, now_us: int) -> float:
        """Return the weight of an instance's word."""
        return 1.0 / (1.0 + self._refuted(name, now_us))

    def heeded(self, name: str, now_us: int) -> bool:
        """Whether its word alone may start something."""
        return self.weight(name, now_us) >= HEEDED_LEAST
