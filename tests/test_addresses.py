"""Peers at the addresses of others that have gone."""

from __future__ import annotations

import asyncio

import pytest

from astertrack.net.addresses import AddressOwners, Endpoint
from benchmarks.replaced_peer import STANDING_CALLS, measure
from ospreylug import interface as io

RELEASE_LIMIT_S = 1.0  # after the bulletin has told


def make(name: str, address: str, readiness: io.Readiness = io.Readiness.READY) -> Endpoint:
    """Return a peer at an address."""
    return Endpoint(address, io.Entry(name, 1, 0, readiness=readiness))


def states(endpoints: list[Endpoint]) -> dict[str, bool]:
    """Return the names of the endpoints, and whether each is gone."""
    return {endpoint.entry.exchange: endpoint.is_gone for endpoint in endpoints}


@pytest.mark.parametrize("order", ["together", "new-first"])
def test_no_call_reaches_a_new_peer_for_the_one_whose_address_it_took(order: str) -> None:
    # Guards against docs/incidents/11: set-ups for the old peer went to the new one, and standing calls were released
    # only when the bulletin told of the old peer's end.
    result = asyncio.run(measure(order, 1.0, 1, observed_s=3.0))
    assert (result["wrong_place"], result["old_ids_at_new"], result["overlaps"]) == (0, 0, 0), result
    assert result["released"] == STANDING_CALLS and result["last_release_s"] <= 1.0 + RELEASE_LIMIT_S, result
    assert result["right_place"] > 0, result


def test_a_peer_whose_address_another_one_takes_is_gone_until_it_has_another_address() -> None:
    owners = AddressOwners()
    assert states(owners.resolve([make("old", "a:1"), make("other", "b:1")], True)) == {"old": False, "other": False}
    assert states(owners.resolve([make("new", "a:1")], False)) == {"old": True, "new": False}
    draining = make("old", "a:1", io.Readiness.DRAINING)
    assert states(owners.resolve([draining], False)) == {"old": True}
    assert states(owners.resolve([make("old", "a:1"), make("new", "a:1")], True)) == {"old": True, "new": False}
    assert states(owners.resolve([make("old", "c:1")], False)) == {"old": False}
    assert states(owners.resolve([make("new", "a:1")], False)) == {"new": False}


def test_an_address_is_free_after_its_peer_has_left_or_moved() -> None:
    owners = AddressOwners()
    owners.resolve([make("first", "a:1")], True)
    owners.resolve([make("second", "a:1")], False)
    owners.resolve([make("second", "a:1", io.Readiness.GONE)], False)
    assert states(owners.resolve([make("first", "a:1")], False)) == {"first": False}
    owners.resolve([make("first", "b:1")], False)
    assert states(owners.resolve([make("third", "a:1")], False)) == {"third": False}
    owners.resolve([make("third", "a:1")], True)  # "first" is not listed
    assert states(owners.resolve([make("fourth", "b:1")], False)) == {"fourth": False}


def test_of_two_peers_at_one_address_in_one_list_the_later_one_counts() -> None:
    assert states(AddressOwners().resolve([make("x", "a:1"), make("y", "a:1")], True)) == {"x": True, "y": False}
