"""Accepted versions on disk: one file per version, and a pointer file that is replaced atomically.

A version is written to a temporary file, synced and renamed. The pointer file, `current`, lists the files of the last
good version (a full one and the deltas on it) with their digests, and is replaced in the same way. After a power
failure at any time, either the old or the new pointer exists, and the files that it lists are complete. Files that no
pointer refers to are removed later. All calls block: the program makes them in a thread.
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
MAX_CHAIN_DELTAS = 64  # on one full version; the version with the last of them is then written in full, too


class StoreError(Exception):
    """Raised when the files on disk cannot be used; the message says which and why."""


class _ChainLink(msgspec.Struct, frozen=True):
    """A file of a chain, with its digest."""

    file: str
    digest: str


class _Pointer(msgspec.Struct, frozen=True):
    """The contents of a pointer file: a version, and the chain of files from which it is built."""

    epoch: int
    number: int
    chain: list[_ChainLink]


@dataclass(frozen=True, slots=True)
class StoredVersion:
    """The version that was loaded from the store."""

    id: VersionId
    plan: Plan


def fsync_directory(directory: Path) -> None:
    """Make the names in a directory durable."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class VersionFiles:
    """The directory of stored versions of one router.

    `step` is called with a name before each step of a write, between which a crash can occur; tests simulate crashes
    there.
    """

    def __init__(self, folder: Path, step: Callable[[str], None] = lambda name: None) -> None:
        self.folder, self._step = folder, step
        self._chains: dict[VersionId, list[_ChainLink]] = {}

    def _write(self, name: str, pieces: Iterable[bytes]) -> str:
        """Write a file atomically, so that a power failure leaves it complete or absent; return its SHA-256."""
        digest = hashlib.sha256()
        temporary = self.folder / f".{name}.new"
        self._step("write")
        with temporary.open("wb") as out:
            for piece in pieces:
                digest.update(piece)
                out.write(piece)
            out.flush()
            self._step("fsync")
            os.fsync(out.fileno())
        self._step("rename")
        temporary.replace(self.folder / name)
        self._step("sync folder")
        fsync_directory(self.folder)
        return digest.hexdigest()

    def save(self, header: Header, text: Iterable[bytes]) -> bool:
        """Write an accepted version, whose text may be in pieces of any size.

        Returns False if it is a delta on a version that is not stored, and therefore cannot be stored either.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        base_chain: list[_ChainLink] = []
        if header.kind == "delta":
            stored_chain = self._chains.get(VersionId(header.epoch, header.base or 0))
            if stored_chain is None:
                return False
            base_chain = stored_chain
        name = f"{header.epoch}.{header.number}.{header.kind}"
        digest = self._write(name, (write_header(header) + b"\n", *text))
        self._chains[header.id] = [*base_chain, _ChainLink(name, digest)]
        return True

    def is_chain_too_long(self, id: VersionId) -> bool:
        """Return whether a version is built from so many deltas that it should be written as a full version.

        That is the case from MAX_CHAIN_DELTAS deltas on.
        """
        return len(self._chains.get(id, ())) > MAX_CHAIN_DELTAS

    def set_current(self, id: VersionId) -> bool:
        """Make a version the one that is loaded at the next start. Returns False if it is not stored."""
        chain = self._chains.get(id)
        if chain is None:
            return False
        current = self.folder / CURRENT_POINTER
        if current.exists():
            self._write(PREVIOUS_POINTER, (current.read_bytes(),))
        self._write(CURRENT_POINTER, (msgspec.json.encode(_Pointer(id.epoch, id.number, chain)),))
        self._remove_unreferenced(id)
        return True

    def _remove_unreferenced(self, id: VersionId) -> None:
        """Remove the files that neither pointer refers to and that no later version is built from."""
        self._chains = {other: chain for other, chain in self._chains.items() if other >= id}
        referenced = {link.file for chain in self._chains.values() for link in chain}
        for pointer in (CURRENT_POINTER, PREVIOUS_POINTER):
            with contextlib.suppress(OSError, msgspec.DecodeError):
                referenced |= {link.file for link in self._read_pointer(pointer).chain}
        for path in self.folder.iterdir():
            if path.suffix in (".full", ".delta", ".new") and path.name not in referenced:
                self._step("remove")
                path.unlink(missing_ok=True)

    def _read_pointer(self, name: str) -> _Pointer:
        return msgspec.json.decode((self.folder / name).read_bytes(), type=_Pointer)

    def load(self) -> tuple[StoredVersion | None, list[str]]:
        """Return the last good version, or the previous one if that is corrupt, and the errors that occurred."""
        errors: list[str] = []
        for name in (CURRENT_POINTER, PREVIOUS_POINTER):
            if not (self.folder / name).exists():
                continue
            try:
                pointer = self._read_pointer(name)
                plan = self._build(pointer)
            except (OSError, msgspec.DecodeError, StoreError) as error:
                errors.append(f"{name}: {error}")
                continue
            id = VersionId(pointer.epoch, pointer.number)
            self._chains[id] = pointer.chain
            return StoredVersion(id, plan), errors
        return None, errors

    def _build(self, pointer: _Pointer) -> Plan:
        plan = Plan()
        for link in pointer.chain:
            if "/" in link.file:
                raise StoreError(f"{link.file}: not a file of this folder")
            data = (self.folder / link.file).read_bytes()
            if hashlib.sha256(data).hexdigest() != link.digest:
                raise StoreError(f"{link.file}: digest mismatch")
            header_line, *lines = data.split(b"\n")[:-1]
            try:
                header = read_header(header_line)
                builder = PlanBuilder(plan if header.kind == "delta" else None)
                for number, line in enumerate(lines, 1):
                    builder.apply(read_line(line, number))
                for _ in builder.validate():
                    pass
            except PlanError as plan_error:
                raise StoreError(f"{link.file}: {plan_error}") from None
            plan = builder.finish()
            if f"{plan.state:064x}" != header.state:
                raise StoreError(f"{link.file}: the resulting plan does not match the digest in the header")
        return plan
