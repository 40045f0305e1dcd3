"""Accepted versions on disk: whole files under digests, and a pointer that is replaced in one step.

A version is a file of its own, written beside its place, synced and renamed; the pointer, `current`, names the
files that make the last good version (a full one and the deltas on it) with their digests, and is replaced the same
way. Whenever the power goes, either the old pointer or the new one is there, and what it names is whole. What no
pointer names is removed later. All calls here block: the program makes them in a thread.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from astertrack.plan import Plan, PlanBuilder, PlanError, read_line
from astertrack.versions import Header, VersionId, read_header, write_header

CURRENT_POINTER, PREVIOUS_POINTER = "current", "previous"
MAX_CHAIN_DELTAS = 64  # deltas on one full version; beyond that a full one is written


class StoreError(Exception):
    """What is on disk cannot be used; the text says what and why."""


class _Link(msgspec.Struct, frozen=True):
    """One file of the chain."""

    file: str
    digest: str


class _Pointer(msgspec.Struct, frozen=True):
    """What `current` holds."""

    epoch: int
    number: int
    chain: list[_Link]


@dataclass(frozen=True, slots=True)
class StoredVersion:
    """What the store had."""

    id: VersionId
    plan: Plan


def sync_folder(folder: Path) -> None:
    """Make the names in a folder last."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


class VersionFiles:
    """The folder of one router. `step` is called before each step that a crash can fall between; tests crash there."""

    def __init__(self, folder: Path, step: Callable[[str], None] = lambda name: None) -> None:
        self.folder, self._step = folder, step
        self._chains: dict[VersionId, list[_Link]] = {}

    def _write(self, name: str, pieces: Iterable[bytes]) -> str:
        """Write a file whole or not at all, whenever the power goes; return the digest of what it holds."""
        digest = hashlib.sha256()
        beside = self.folder / f".{name}.new"
        self._step("write")
        with beside.open("wb") as out:
            for piece in pieces:
                digest.update(piece)
                out.write(piece)
            out.flush()
            self._step("fsync")
            os.fsync(out.fileno())
        self._step("rename")
        beside.replace(self.folder / name)
        self._step("sync folder")
        sync_folder(self.folder)
        return digest.hexdigest()

    def save(self, header: Header, text: Iterable[bytes]) -> bool:
        """Write an accepted version, whose text may come in pieces of any size.

        False: it is a delta on one that is not here, and cannot be kept.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        before: list[_Link] = []
        if header.kind == "delta":
            found = self._chains.get(VersionId(header.epoch, header.base or 0))
            if found is None:
                return False
            before = found
        name = f"{header.epoch}.{header.number}.{header.kind}"
        digest = self._write(name, (write_header(header) + b"\n", *text))
        self._chains[header.id] = [*before, _Link(name, digest)]
        return True

    def chain_too_long(self, id: VersionId) -> bool:
        """Whether a version stands on so many deltas that it should be written whole."""
        return len(self._chains.get(id, ())) > MAX_CHAIN_DELTAS

    def set_current(self, id: VersionId) -> bool:
        """Make a version the one that is served at a start; False: it is not here."""
        chain = self._chains.get(id)
        if chain is None:
            return False
        current = self.folder / CURRENT_POINTER
        if current.exists():
            self._write(PREVIOUS_POINTER, (current.read_bytes(),))
        self._write(CURRENT_POINTER, (msgspec.json.encode(_Pointer(id.epoch, id.number, chain)),))
        self._clean(id)
        return True

    def _clean(self, id: VersionId) -> None:
        """Remove the files that neither pointer names and no later version stands on."""
        self._chains = {held: chain for held, chain in self._chains.items() if held >= id}
        wanted = {link.file for chain in self._chains.values() for link in chain}
        for pointer in (CURRENT_POINTER, PREVIOUS_POINTER):
            with contextlib.suppress(OSError, msgspec.DecodeError):
                wanted |= {link.file for link in self._read_pointer(pointer).chain}
        for path in self.folder.iterdir():
            if path.suffix in (".full", ".delta", ".new") and path.name not in wanted:
                self._step("remove")
                path.unlink(missing_ok=True)

    def _read_pointer(self, name: str) -> _Pointer:
        return msgspec.json.decode((self.folder / name).read_bytes(), type=_Pointer)

    def load(self) -> tuple[StoredVersion | None, list[str]]:
        """Return the last good version, or the one before if that is spoilt; and what was wrong on the way."""
        wrong: list[str] = []
        for name in (CURRENT_POINTER, PREVIOUS_POINTER):
            if not (self.folder / name).exists():
                continue
            try:
                pointer = self._read_pointer(name)
                plan = self._build(pointer)
            except (OSError, msgspec.DecodeError, StoreError) as error:
                wrong.append(f"{name}: {error}")
                continue
            id = VersionId(pointer.epoch, pointer.number)
            self._chains[id] = pointer.chain
            return StoredVersion(id, plan), wrong
        return None, wrong

    def _build(self, pointer: _Pointer) -> Plan:
        plan = Plan()
        for link in pointer.chain:
            if "/" in link.file:
                raise StoreError(f"{link.file}: not a file of this folder")
            data = (self.folder / link.file).read_bytes()
            if hashlib.sha256(data).hexdigest() != link.digest:
                raise StoreError(f"{link.file}: its digest is not the one that was written")
            head, *lines = data.split(b"\n")[:-1]
            try:
                header = read_header(head)
                builder = PlanBuilder(plan if header.kind == "delta" else None)
                for at, line in enumerate(lines, 1):
                    builder.apply(read_line(line, at))
                for _ in builder.validate():
                    pass
            except PlanError as refused:
                raise StoreError(f"{link.file}: {refused}") from None
            plan = builder.finish()
            if f"{plan.state:064x}" != header.state:
                raise StoreError(f"{link.file}: makes another plan than it did")
        return plan
