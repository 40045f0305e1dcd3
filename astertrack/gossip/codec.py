"""Encoding and authentication of messages: MessagePack in a signed envelope, a key ring and a verification budget.

An envelope is [version, sender, epoch, sequence number, time, body, signature]. The Ed25519 signature (RFC 8032) covers
all preceding fields; the body is the encoded message. The receiver checks in order of cost: length, form, protocol
version, claimed sender, clock skew, the remaining verification budget, the signature, the replay window and the body.
"""

from __future__ import annotations

import base64
import tomllib
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

from astertrack.gossip.model import PROTOCOL_VERSION, Message, Name, Signature, UnsignedInt
from astertrack.gossip.replay import MAX_CLOCK_SKEW_US, ReplayFilter, ReplayResult

DOMAIN = b"astertrack gossip 1\0"  # domain separation: no signature made for another purpose is valid here
MAX_KEYS_PER_MEMBER = 4  # in the key ring, valid now or not: room for two rotations with an old and a new key each
MAX_VERIFICATIONS_PER_SECOND = 2_000  # some 130 us each: at most a quarter of a core
# Fraction of these for unknown senders: non-members, and members that send from another address.
UNKNOWN_SENDERS_FRACTION = 0.1
MAX_VERIFICATIONS_PER_MEMBER = 100  # per second, so that a flooding member leaves the others their share
MAX_CACHED_SIGNATURES = 8_192  # of claims, because the same claim arrives from many members


class InvalidKeyError(Exception):
    """A key ring or private key is invalid; the message names the table and the reason."""


def encode_public_key(key: Ed25519PublicKey) -> str:
    """Return a public key as base64 text, the form used in a key ring."""
    return base64.b64encode(key.public_bytes_raw()).decode()


def encode_private_key(key: Ed25519PrivateKey) -> str:
    """Return a private key as base64 text, the form used in a key file."""
    return base64.b64encode(key.private_bytes_raw()).decode()


def decode_private_key(text: str) -> Ed25519PrivateKey:
    """Return the private key in a key file: one line of base64, 32 bytes decoded. Raises InvalidKeyError."""
    try:
        return Ed25519PrivateKey.from_private_bytes(base64.b64decode(text.strip(), validate=True))
    except ValueError:
        raise InvalidKeyError("invalid private key: expected base64 of 32 bytes") from None


class _KeyTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One `[[key]]` table of a key ring file. Times are in milliseconds of the Unix clock."""

    name: Name
    public: str
    from_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    until_ms: Annotated[int, msgspec.Meta(ge=0)] = 2**53


class _RingFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    key: list[_KeyTable] = []


@dataclass(frozen=True, slots=True)
class RingKey:
    """A public key and its period of validity, in Unix microseconds, the end excluded."""

    public_key: Ed25519PublicKey
    valid_from_us: int
    valid_until_us: int


class KeyRing:
    """The public keys of all instances with their periods of validity; replaced as a whole when its file changes."""

    def __init__(self, keys: dict[str, tuple[RingKey, ...]] | None = None) -> None:
        self.keys = keys or {}

    @classmethod
    def read(cls, text: str) -> KeyRing:
        """Return the key ring in a TOML text. Raises InvalidKeyError with the table and field at fault."""
        try:
            file = msgspec.convert(tomllib.loads(text), _RingFile)
        except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
            raise InvalidKeyError(f"key ring: {error}") from None
        keys: dict[str, tuple[RingKey, ...]] = {}
        for index, table in enumerate(file.key):
            try:
                public = Ed25519PublicKey.from_public_bytes(base64.b64decode(table.public, validate=True))
            except ValueError:
                raise InvalidKeyError(f"key ring: key[{index}].public: expected base64 of 32 bytes") from None
            if table.until_ms <= table.from_ms:
                raise InvalidKeyError(f"key ring: key[{index}].until_ms: must be later than from_ms")
            member_keys = keys.get(table.name, ())
            if len(member_keys) >= MAX_KEYS_PER_MEMBER:
                raise InvalidKeyError(f"key ring: key[{index}]: at most {MAX_KEYS_PER_MEMBER} keys for {table.name!r}")
            keys[table.name] = (*member_keys, RingKey(public, table.from_ms * 1000, table.until_ms * 1000))
        return cls(keys)

    def valid_keys(self, name: str, now_us: int) -> Iterable[Ed25519PublicKey]:
        """Return the keys of an instance that are valid now."""
        return (key.public_key for key in self.keys.get(name, ()) if key.valid_from_us <= now_us < key.valid_until_us)

    def verify(self, name: str, signature: bytes, data: bytes, now_us: int) -> bool:
        """Return whether the instance signed the data with a key that is valid now."""
        for public_key in self.valid_keys(name, now_us):
            try:
                public_key.verify(signature, data)
                return True
            except InvalidSignature:
                continue
        return False


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    """The envelope of a message; the signature covers all fields before it."""

    version: UnsignedInt
    sender: Name
    epoch: UnsignedInt  # start of the sender, in milliseconds of its clock
    sequence: UnsignedInt  # rises with each message of the sender in this epoch
    sent_at_ms: UnsignedInt
    body: Annotated[bytes, msgspec.Meta(max_length=256 * 1024)]
    signature: Signature


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
_message_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def signed_bytes(signed_fields: tuple[object, ...]) -> bytes:
    """Return the bytes that a claim's signature covers."""
    return DOMAIN + _encoder.encode(signed_fields)


class VerificationBudget:
    """Limits on signature verifications in each second of the clock: in total, for unknown senders, and per member."""

    def __init__(self, now_us: int) -> None:
        self._total = self._unknown_senders = 0.0
        self._by_member: OrderedDict[str, float] = OrderedDict()
        self._second = now_us // 1_000_000

    def try_consume(self, member: str | None, now_us: int) -> bool:
        """Return whether another signature may be verified in this second, and count it.

        `member` is None for unknown senders, which share one allowance.
        """
        if now_us // 1_000_000 != self._second:
            self._second, self._total, self._unknown_senders = now_us // 1_000_000, 0.0, 0.0
            self._by_member.clear()
        if member is None:
            if self._unknown_senders >= MAX_VERIFICATIONS_PER_SECOND * UNKNOWN_SENDERS_FRACTION:
                return False
            self._unknown_senders += 1
        else:
            if self._by_member.get(member, 0.0) >= MAX_VERIFICATIONS_PER_MEMBER:
                return False
            self._by_member[member] = self._by_member.get(member, 0.0) + 1
        if self._total >= MAX_VERIFICATIONS_PER_SECOND:
            return False
        self._total += 1
        return True


@dataclass(frozen=True, slots=True)
class OpenedMessage:
    """A message from an authenticated sender."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class Rejected:
    """A message that is dropped. The reason becomes part of a counter's name.

    "other release": another protocol version. "no key": no key of the sender is valid now, or the sender is this
    instance. "skewed": the clocks differ by more than MAX_CLOCK_SKEW_US. "no time": the verification budget of this
    second is used up. "heard ...": rejected by the replay filter, followed by its ReplayResult.
    """

    reason: str


class Codec:
    """Seals outgoing messages, opens incoming ones, and signs and verifies claims (ClaimSigner)."""

    def __init__(self, name: str, key: Ed25519PrivateKey, ring: KeyRing, read_clock_us: Callable[[], int]) -> None:
        self.name, self.key, self.ring, self.read_clock_us = name, key, ring, read_clock_us
        self.epoch = read_clock_us() // 1000
        self.counts: Counter[str] = Counter()
        self._sequence = 0
        self._replay_filter = ReplayFilter()
        self._budget = VerificationBudget(read_clock_us())
        # Cache of verified claim signatures by signer, signed bytes and signature: the same claim arrives from many
        # members.
        self._verified_signatures: OrderedDict[tuple[str, bytes, bytes], None] = OrderedDict()

    # ---- claims

    def sign(self, signed_fields: tuple[object, ...]) -> bytes:
        """Return this instance's signature over a claim."""
        return self.key.sign(signed_bytes(signed_fields))

    def verify(self, signer: str, signed_fields: tuple[object, ...], signature: bytes) -> bool:
        """Return whether the signer signed a claim with a key that is valid now."""
        data, now_us = signed_bytes(signed_fields), self.read_clock_us()
        if (signer, data, signature) in self._verified_signatures and any(
                True for _ in self.ring.valid_keys(signer, now_us)):
            return True
        if not self._budget.try_consume(signer if signer in self.ring.keys else None, now_us):
            self.counts["gossip_unchecked"] += 1
            return False
        if not self.ring.verify(signer, signature, data, now_us):
            return False
        self._verified_signatures[signer, data, signature] = None
        if len(self._verified_signatures) > MAX_CACHED_SIGNATURES:
            self._verified_signatures.popitem(last=False)
        return True

    def replace_keys(self, ring: KeyRing, key: Ed25519PrivateKey | None = None) -> None:
        """Replace the key ring and optionally this instance's own key.

        Signatures verified with the previous ring are verified again.
        """
        self.ring, self.key = ring, key or self.key
        self._verified_signatures.clear()

    # ---- messages

    def seal(self, message: Message) -> bytes:
        """Return the bytes of a message in a signed envelope."""
        self._sequence += 1
        body = _encoder.encode(message)
        sent_at_ms = self.read_clock_us() // 1000
        signed_header = (PROTOCOL_VERSION, self.name, self.epoch, self._sequence, sent_at_ms, body)
        return _encoder.encode((*signed_header, self.key.sign(DOMAIN + _encoder.encode(signed_header))))

    def open(self, data: bytes, is_known_sender: bool, max_bytes: int) -> OpenedMessage | Rejected:
        """Authenticate and decode a received datagram or stream message of at most `max_bytes` bytes.

        `is_known_sender` says whether it came from the address of the member named as its sender, see peek_sender().
        """
        result = self._open(data, is_known_sender, max_bytes)
        if isinstance(result, Rejected):
            self.counts["gossip_turned_" + result.reason.replace(" ", "_")] += 1
        return result

    @staticmethod
    def peek_sender(data: bytes) -> str | None:
        """Return the claimed sender of a datagram, without verification."""
        try:
            return _envelope_decoder.decode(data).sender
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None

    def _open(self, data: bytes, is_known_sender: bool, max_bytes: int) -> OpenedMessage | Rejected:
        if len(data) > max_bytes:
            return Rejected("too long")
        try:
            envelope = _envelope_decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return Rejected("malformed")
        if envelope.version != PROTOCOL_VERSION:
            return Rejected("other release")
        now_us = self.read_clock_us()
        if envelope.sender == self.name or not any(True for _ in self.ring.valid_keys(envelope.sender, now_us)):
            return Rejected("no key")
        if abs(now_us - envelope.sent_at_ms * 1000) > MAX_CLOCK_SKEW_US:
            return Rejected("skewed")
        if not self._budget.try_consume(envelope.sender if is_known_sender else None, now_us):
            return Rejected("no time")
        signed_header = (envelope.version, envelope.sender, envelope.epoch, envelope.sequence, envelope.sent_at_ms,
                         envelope.body)
        if not self.ring.verify(envelope.sender, envelope.signature, DOMAIN + _encoder.encode(signed_header), now_us):
            return Rejected("bad signature")
        replay_result = self._replay_filter.record(
            envelope.sender, envelope.epoch, envelope.sequence, envelope.sent_at_ms * 1000, now_us)
        if replay_result is not ReplayResult.NEW:
            return Rejected(f"heard {replay_result.value}")
        try:
            return OpenedMessage(envelope.sender, _message_decoder.decode(envelope.body))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return Rejected("malformed body")
