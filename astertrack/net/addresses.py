"""Which peer has each address. A new peer may take the address of one that has gone, before the roster tells so.

A process that answers at an address is the peer that the roster announced there last. The one before it has gone: what
is meant for it would reach the new one.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ospreylug import interface as io


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A peer of the roster and its address, host:port."""

    address: str
    entry: io.Entry

    @property
    def is_gone(self) -> bool:
        """Whether the peer has left."""
        return self.entry.readiness is io.Readiness.GONE

    def as_gone(self) -> Endpoint:
        """Return the same endpoint after the peer has left."""
        return replace(self, entry=replace(self.entry, readiness=io.Readiness.GONE))


class AddressOwners:
    """The peers by their addresses, and the peers whose address another one has taken."""

    def __init__(self) -> None:
        self._owners: dict[str, Endpoint] = {}  # by address
        self._addresses: dict[str, str] = {}  # by name, of the owners
        self._displaced: dict[str, str] = {}  # by name: the address that another peer has taken

    def resolve(self, endpoints: list[Endpoint], complete: bool) -> list[Endpoint]:
        """Return a change of the roster in which each address has one peer: the others are gone.

        A displaced peer stays gone until the roster gives it another address, or the other peer leaves. A complete list
        removes the peers that it does not name.
        """
        if complete:
            listed = {endpoint.entry.exchange for endpoint in endpoints}
            for name in [name for name in self._addresses if name not in listed]:
                self._remove(name)
        resolved: dict[str, Endpoint] = {}  # by name
        for endpoint in endpoints:
            name, address = endpoint.entry.exchange, endpoint.address
            if endpoint.is_gone:
                self._remove(name)
                self._displaced.pop(name, None)
                resolved[name] = endpoint
            elif self._displaced.get(name) == address and address in self._owners:
                resolved[name] = endpoint.as_gone()
            else:
                self._displaced.pop(name, None)
                owner = self._owners.get(address)
                if owner is not None and owner.entry.exchange != name:
                    self._displaced[owner.entry.exchange] = address
                    self._remove(owner.entry.exchange)
                    resolved[owner.entry.exchange] = owner.as_gone()
                self._remove(name)
                self._owners[address] = endpoint
                self._addresses[name] = address
                resolved[name] = endpoint
        return list(resolved.values())

    def _remove(self, name: str) -> None:
        address = self._addresses.pop(name, None)
        if address is not None:
            del self._owners[address]
