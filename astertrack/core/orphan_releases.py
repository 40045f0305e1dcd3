"""Releases of calls that only the process before a restart knew: towards all peers, or towards their callers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from astertrack.core.model import NORMAL_CLEARING, TEMPORARY_FAILURE
from astertrack.core.orphans import Orphans
from ospreylug import interface as io


class OrphanReleases:
    """Passes releases of orphans on. `release_at` releases one at a peer, `on_released` towards its caller."""

    def __init__(self, orphans: Orphans, peer_names: Callable[[], Iterable[str]],
                 release_at: Callable[[str, str, int], None], counts: Counter[str],
                 on_released: Callable[[str, int], None]) -> None:
        self._orphans, self._peer_names, self._release_at = orphans, peer_names, release_at
        self._counts, self.on_released = counts, on_released

    def release_at_all_peers(self, call_id: str, cause: int) -> None:
        """Release a call that may be established at any peer."""
        self._counts["releases_of_before"] += 1
        for peer in self._peer_names():
            self._release_at(peer, call_id, cause)

    def release_if_orphan(self, call_id: str) -> bool:
        """Release a call at all peers if it may be an orphan; return whether it may. Its id stays unknown."""
        if not self._orphans.may_stand(call_id):
            return False
        self.release_at_all_peers(call_id, NORMAL_CLEARING)
        return True

    def pass_on(self, call_id: str, outcome: io.Outcome) -> None:
        """Pass the release of a call by its peer on to its caller, once."""
        ended_normally = outcome is io.Outcome.OK
        if self._orphans.is_unknown(call_id) and (ended_normally or outcome is io.Outcome.CUT):
            self._orphans.add_known(call_id)
            self._counts["releases_passed_on"] += 1
            self.on_released(call_id, NORMAL_CLEARING if ended_normally else TEMPORARY_FAILURE)

    def cut(self, peer: str) -> list[str]:
        """Release the orphans that are known to stand at a peer whose process has died. Return their ids."""
        orphans = self._orphans.take_from(peer)
        for call_id in orphans:
            self.pass_on(call_id, io.Outcome.CUT)
        return orphans
