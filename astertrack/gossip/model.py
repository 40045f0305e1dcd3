"""What instances say of each other: claims, each signed by whom it binds, and the messages that carry them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated, Protocol, TypeVar

import msgspec

# An instance reads messages of its own protocol version only and ignores fields that it does not know.
PROTOCOL_VERSION = 1
MAX_NAME_LENGTH = 32
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Address = Annotated[str, msgspec.Meta(max_length=64)]
Signature = Annotated[bytes, msgspec.Meta(max_length=80)]
UnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class State(IntEnum):
    """How a member stands, by what one instance knows."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class _Claim(msgspec.Struct, frozen=True, array_like=True, tag_field="k"):
    """What all claims share. `signature` is over bound()."""


class Alive(_Claim, frozen=True, tag=1):
    """A member says that it lives, from an incarnation on, and where. Only it can: others' words revive nobody."""

    name: Name
    # Rises with each start and each refutation: milliseconds of the member's clock, or the previous value plus one.
    incarnation: UnsignedInt
    address: Address
    zone: Name
    signature: Signature = b""

    def signed_fields(self) -> tuple[object, ...]:
        """Return what is signed, and by whom."""
        return "alive", self.name, self.incarnation, self.address, self.zone

    @property
    def signer(self) -> str:
        """Who must have signed it."""
        return self.name


class Leave(_Claim, frozen=True, tag=2):
    """A member says that it leaves. Of an earlier incarnation it means nothing: it may be an old one, sent again."""

    name: Name
    incarnation: UnsignedInt
    signature: Signature = b""

    def signed_fields(self) -> tuple[object, ...]:
        """Return what is signed, and by whom."""
        return "leave", self.name, self.incarnation

    @property
    def signer(self) -> str:
        """Who must have signed it."""
        return self.name


class Suspect(_Claim, frozen=True, tag=3):
    """An instance says that a member of this incarnation did not answer it. Its own word: it may not lend it."""

    name: Name
    incarnation: UnsignedInt
    accuser: Name
    signature: Signature = b""

    def signed_fields(self) -> tuple[object, ...]:
        """Return what is signed, and by whom."""
        return "suspect", self.name, self.incarnation, self.accuser

    @property
    def signer(self) -> str:
        """Who must have signed it."""
        return self.accuser


class ServerReport(_Claim, frozen=True, tag=4):
    """An instance says what it saw of a server itself, and when by its own clock."""

    reporter: Name
    server: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    is_unhealthy: bool
    seq: UnsignedInt  # rises with each that the witness makes of this server
    at_ms: UnsignedInt
    signature: Signature = b""

    def signed_fields(self) -> tuple[object, ...]:
        """Return what is signed, and by whom."""
        return "testimony", self.reporter, self.server, self.is_unhealthy, self.seq, self.at_ms

    @property
    def signer(self) -> str:
        """Who must have signed it."""
        return self.reporter


Claim = Alive | Leave | Suspect | ServerReport
ClaimList = Annotated[list[Claim], msgspec.Meta(max_length=4096)]


class _Message(msgspec.Struct, frozen=True, array_like=True, tag_field="k"):
    """What all messages share."""


class Ping(_Message, frozen=True, tag=1):
    """Are you there? `target`: for whom it is meant, since an address may be another's by now."""

    seq: UnsignedInt
    target: Name
    digest: UnsignedInt  # of the sender's view, see Membership.digest()
    claims: ClaimList = []


class Ack(_Message, frozen=True, tag=2):
    """I am; or, through a helper, it is."""

    seq: UnsignedInt
    digest: UnsignedInt
    claims: ClaimList = []


class PingReq(_Message, frozen=True, tag=3):
    """Ask the target for me."""

    seq: UnsignedInt
    target: Name
    address: Address
    digest: UnsignedInt
    claims: ClaimList = []


class Nack(_Message, frozen=True, tag=4):
    """I asked the target for you and have no answer yet: so the fault is not between you and me (Lifeguard)."""

    seq: UnsignedInt


class Sync(_Message, frozen=True, tag=5):
    """All that the sender knows, over a stream. `reply`: whether the other side's is wanted."""

    wants_reply: bool
    claims: ClaimList = []


Message = Ping | Ack | PingReq | Nack | Sync


class ClaimSigner(Protocol):
    """Signs what this instance claims, and checks what others do."""

    def sign(self, signed_fields: tuple[object, ...]) -> bytes:
        """Return this instance's signature."""

    def verify(self, signer: str, signed_fields: tuple[object, ...], signature: bytes) -> bool:
        """Whether the signer signed it with a key that is valid now."""


ClaimT = TypeVar("ClaimT", Alive, Leave, Suspect, ServerReport)


def sign_claim(claim: ClaimT, claim_signer: ClaimSigner) -> ClaimT:
    """Return the claim with this instance's signature."""
    return msgspec.structs.replace(claim, signature=claim_signer.sign(claim.signed_fields()))


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """How an instance gossips. The defaults are for a few milliseconds between sites; each says why."""

    probe_interval_us: int = 1_000_000  # one member is probed each: SWIM's protocol period T'
    # A direct answer is waited for so long before others are asked: several round trips of 60 ms and a slow turn.
    probe_timeout_us: int = 300_000
    indirect_probes: int = 3  # asked to probe for us: SWIM's k; one in three lost leaves 1 in 27 without any help
    # Least time of a suspicion is this many periods times log10 of the members (Lifeguard: alpha 5), ...
    suspicion_multiplier: float = 4.0
    max_suspicion_multiplier: float = 6.0  # ... and this many times longer while nobody confirms it (Lifeguard: beta 6)
    required_confirmations: int = 3  # that bring it down to the least (Lifeguard: K 3)
    max_local_health: int = 8  # local health multiplier at most (Lifeguard: S 8)
    # Each piece of news is sent so many times log2 of the members: all hear it with high probability (SWIM: lambda).
    retransmit_multiplier: float = 3.0
    max_datagram_bytes: int = 1_400  # of a datagram: under every path's MTU
    dead_member_retention_us: int = 120_000_000  # a dead member is remembered, and tried now and then, for so long
    rejoin_interval_us: int = 4_000_000  # between tries to reach dead members and seeds: heals partitions
    min_sync_interval_us: int = 3_000_000  # between syncs that this instance begins
    # Views that differ for so long are made equal by a sync, though nobody was away: news was lost.
    max_digest_mismatches: int = 12


# ---- what the machine asks its driver to do


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Open a stream, send this, and hand back what comes: heard() takes it, and answer() is what the other end says."""

    address: str
    message: Sync | Ping


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member stands otherwise than before."""

    name: str
    state: State
    reason: str


Action = Send | OpenStream | MemberChanged
