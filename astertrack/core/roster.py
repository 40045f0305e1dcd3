"""What a change of the roster does to the peers in it. A roster is a dictionary of entries by the peers' names."""

from __future__ import annotations

from collections.abc import Iterator

from ospreylug import interface as io

Roster = dict[str, io.Entry]


def apply_change(roster: Roster, change: io.RosterChange) -> Roster:
    """Return the roster after a change."""
    changed = {} if change.kind in (io.RosterKind.REPLACE, io.RosterKind.RESTORED) else dict(roster)
    for entry in change.entries:
        if entry.readiness is io.Readiness.GONE:
            changed.pop(entry.exchange, None)
        else:
            changed[entry.exchange] = entry
    return changed


def gone_peers(before: Roster, after: Roster) -> Iterator[str]:
    """Return the peers that are no longer in the roster."""
    return (peer for peer in before if peer not in after)


def restarted_peers(before: Roster, after: Roster) -> Iterator[io.Entry]:
    """Return the entries of the peers that have restarted: a new process has started at a new time."""
    return (after[peer] for peer, old in before.items()
            if peer in after and after[peer].started_us and after[peer].started_us != old.started_us)
