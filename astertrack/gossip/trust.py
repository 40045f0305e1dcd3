"""The weight of each instance's claims, which falls with every refuted claim and recovers over time."""

from __future__ import annotations

import math
from collections import OrderedDict

# Neither value comes from the papers. After one half-life an instance's refuted claims count half; after four refuted
# claims within a short time its weight is below the minimum, and its suspicions are ignored until it recovers.
REFUTATION_HALF_LIFE_US = 60_000_000
MIN_ACCEPTED_WEIGHT = 0.25
MAX_TRACKED_MEMBERS = 4_096


class Trust:
    """Weights by instance name, from 0 to 1: 1 / (1 + refuted claims), where refuted claims decay with a half-life.

    Healthy instances also make wrong claims under packet loss. One refuted suspicion halves an instance's weight, which
    then recovers within minutes. The lower weight delays the end of a justified suspicion by less time than the
    confirmations by other members save.
    """

    def __init__(self) -> None:
        # Count of refuted claims and the time at which it was calculated, by instance name.
        self._refutations: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def _current_refutations(self, name: str, now_us: int) -> float:
        refutations, updated_us = self._refutations.get(name, (0.0, now_us))
        return refutations * math.exp2((updated_us - now_us) / REFUTATION_HALF_LIFE_US)

    def record_refutation(self, name: str, now_us: int) -> None:
        """Record that a claim of this instance was refuted by the claim's subject."""
        self._refutations[name] = (min(64.0, self._current_refutations(name, now_us) + 1.0), now_us)
        self._refutations.move_to_end(name)
        if len(self._refutations) > MAX_TRACKED_MEMBERS:
            self._refutations.popitem(last=False)

    def weight(self, name: str, now_us: int) -> float:
        """Return the current weight of an instance's claims."""
        return 1.0 / (1.0 + self._current_refutations(name, now_us))

    def is_accepted(self, name: str, now_us: int) -> bool:
        """Return whether suspicions of this instance count at all."""
        return self.weight(name, now_us) >= MIN_ACCEPTED_WEIGHT
