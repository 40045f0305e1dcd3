"""Claims, each signed by the instance that it binds, and the messages that carry them."""

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
    """The state of a member as one instance knows it."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class _Claim(msgspec.Struct, frozen=True, array_like=True, tag_field="k"):
    """Base of all claims; `signature` covers the result of signed_fields()."""


class Alive(_Claim, frozen=True, tag=1):
    """A member's claim that it is alive at an address, from an incarnation on.

    Only the member itself can sign it, so the claims of others cannot declare it alive.
    """

    name: Name
    # Rises with each start and each refutation: milliseconds of the member's clock, or the previous value plus one.
    incarnation: UnsignedInt
    address: Address
    zone: Name
    signature: Signature = b""

    def signed_fields(self) -> tuple[object, ...]:
        """Return the fields that the signature covers, preceded by the type of the claim."""
        return "alive", self.name, self.incarnation, self.address, self.zone

    @property
    def signer(self) -> str:
        """The instance that must have signed the claim: the member itself."""
        return self.name


class Leave(_Claim, frozen=True, tag=2):
    """A member's claim that it leaves the group.

    It is ignored if its incarnation is older than the member's current one, because it may be a replay.
    """

    name: Name
    incarnation: UnsignedInt
    signature: Signature = b""

    def signed_fields(self) -> tuple[object, ...]:
        """Return the fields that the signature covers, preceded by the type of the claim."""
        return "leave", self.name, self.incarnation

    @property
    def signer(self) -> str:
        """The instance that must have signed the claim: the member itself."""
        return self.name


class Suspect(_Claim, frozen=True, tag=3):
    """An instance's claim that a member in this incarnation did not answer its probes.

    The accuser signs it itself and cannot make it on behalf of another instance.
    """

    name: Name
    incarnation: UnsignedInt
    accuser: Name
    signature: Signature = b""

    def signed_fields(self) -> tuple[object, ...]:
        """Return the fields that the signature covers, preceded by the type of the claim."""
        return "suspect", self.name, self.incarnation, self.accuser

    @property
    def signer(self) -> str:
        """The instance that must have signed the claim: the accuser."""
        return self.accuser


class ServerReport(_Claim, frozen=True, tag=4):
    """An instance's own observation of a server, with the time of the observation by the instance's clock."""

    reporter: Name
    server: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    is_unhealthy: bool
    seq: UnsignedInt  # rises with each report of this reporter about this server
    observed_at_ms: UnsignedInt
    signature: Signature = b""

    def signed_fields(self) -> tuple[object, ...]:
        """Return the fields that the signature covers, preceded by the type of the claim."""
        # The type is part of the signed bytes and therefore keeps its name.
        return "testimony", self.reporter, self.server, self.is_unhealthy, self.seq, self.observed_at_ms

    @property
    def signer(self) -> str:
        """The instance that must have signed the claim: the reporter."""
        return self.reporter


Claim = Alive | Leave | Suspect | ServerReport
ClaimList = Annotated[list[Claim], msgspec.Meta(max_length=4096)]


class _Message(msgspec.Struct, frozen=True, array_like=True, tag_field="k"):
    """Base of all messages."""


class Ping(_Message, frozen=True, tag=1):
    """A probe that asks the receiver for an Ack.

    `target` names the intended receiver, because the address may belong to another instance by now.
    """

    seq: UnsignedInt
    target: Name
    digest: UnsignedInt  # digest of the sender's view, see Membership.digest()
    claims: ClaimList = []


class Ack(_Message, frozen=True, tag=2):
    """The answer to a Ping, sent by the target itself or forwarded by a helper."""

    seq: UnsignedInt
    digest: UnsignedInt
    claims: ClaimList = []


class PingReq(_Message, frozen=True, tag=3):
    """A request to probe the target on behalf of the sender (SWIM: ping-req)."""

    seq: UnsignedInt
    target: Name
    address: Address
    digest: UnsignedInt
    claims: ClaimList = []


class Nack(_Message, frozen=True, tag=4):
    """A helper's notice that it has probed the target and has no answer yet (Lifeguard).

    It shows the requester that the path between requester and helper works.
    """

    seq: UnsignedInt


class Sync(_Message, frozen=True, tag=5):
    """The claims of all members that the sender regards as live, sent over a stream.

    `wants_reply` requests those of the receiver in return.
    """

    wants_reply: bool
    claims: ClaimList = []


Message = Ping | Ack | PingReq | Nack | Sync


class ClaimSigner(Protocol):
    """Signs the claims of this instance and verifies those of others."""

    def sign(self, signed_fields: tuple[object, ...]) -> bytes:
        """Return this instance's signature over the fields."""

    def verify(self, signer: str, signed_fields: tuple[object, ...], signature: bytes) -> bool:
        """Return whether the signer signed the fields with a key that is valid now."""


ClaimT = TypeVar("ClaimT", Alive, Leave, Suspect, ServerReport)


def sign_claim(claim: ClaimT, claim_signer: ClaimSigner) -> ClaimT:
    """Return a copy of the claim that carries this instance's signature."""
    return msgspec.structs.replace(claim, signature=claim_signer.sign(claim.signed_fields()))


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """The parameters of the protocol. The defaults are meant for sites a few milliseconds apart.

    SWIM: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
    (DSN 2002). Lifeguard: Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
    Detection" (DSN-W 2018).
    """

    probe_interval_us: int = 1_000_000  # one member is probed per interval: SWIM's protocol period T'
    # Timeout of a direct probe, after which helpers are asked: also covers several round trips of 60 ms and a slow
    # reactor turn.
    probe_timeout_us: int = 300_000
    # Helpers per probe, SWIM's k. If a helper's whole probe is lost with probability 1/3, 1 in 27 probes gets no help.
    indirect_probes: int = 3
    # The minimum suspicion timeout is this many probe intervals times log10 of the number of members (Lifeguard uses
    # alpha = 5).
    suspicion_multiplier: float = 4.0
    max_suspicion_multiplier: float = 6.0  # times the minimum while nobody confirms the suspicion (Lifeguard: beta 6)
    required_confirmations: int = 3  # after which the minimum timeout applies (Lifeguard: K 3)
    max_local_health: int = 8  # upper bound of the local health multiplier (Lifeguard: S 8)
    # An update is sent this many times log2 of the number of members, so that all receive it with high probability
    # (SWIM: lambda).
    retransmit_multiplier: float = 3.0
    max_datagram_bytes: int = 1_400  # below the MTU of every path
    dead_member_retention_us: int = 120_000_000  # dead members are remembered and retried for this long
    rejoin_interval_us: int = 4_000_000  # between attempts to reach dead members and seeds, which heals partitions
    min_sync_interval_us: int = 3_000_000  # between syncs that this instance starts
    # After this many consecutive probes with different digests a sync reconciles the views: an update was lost,
    # although no member appeared unreachable. While updates are still spreading, more are needed.
    max_digest_mismatches: int = 12


# ---- actions that Membership requests from its caller


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send a datagram."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Action: open a stream, send the message and pass the reply to Membership.handle_message().

    The other end produces the reply with Membership.handle_stream_message().
    """

    address: str
    message: Sync | Ping


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """Notification: a member's state has changed."""

    name: str
    state: State
    reason: str


Action = Send | OpenStream | MemberChanged
