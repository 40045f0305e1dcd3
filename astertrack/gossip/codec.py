"""Messages sealed and opened: MessagePack in a signed envelope, a ring of keys, and a bound on what checking costs.

An envelope is [release, sender, epoch, number, time, body, signature]. The signature (Ed25519, RFC 8032) is over all
before it; the body is the message. Receivers check in the order of cost: length, form, release, who it claims to be,
its clock, whether its number was heard, whether there is time left to check signatures, and the signature last.
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
from astertrack.gossip.replay import SKEW_US, Heard, Replays

DOMAIN = b"astertrack gossip 1\0"  # so that no signature made for something else fits
KEYS_MOST = 4  # of one instance, valid at once: the old and the new one, twice over
CHECKS_A_SECOND = 2_000  # signatures checked, at some 130 us each: a quarter of a core at the very most
UNKNOWN_SHARE = 0.1  # of these for senders that are no members, or write from elsewhere
SENDER_A_SECOND = 100  # for each member: one that floods leaves the others theirs
CHECKED_MOST = 8_192  # claims' signatures remembered: the same claim comes from many


class BadKey(Exception):
    """A ring or a key that cannot be used; the text says what and why."""


def public_text(key: Ed25519PublicKey) -> str:
    """Return a public key as it stands in a ring."""
    return base64.b64encode(key.public_bytes_raw()).decode()


def private_text(key: Ed25519PrivateKey) -> str:
    """Return a private key as it stands in a key file."""
    return base64.b64encode(key.private_bytes_raw()).decode()


def read_private(text: str) -> Ed25519PrivateKey:
    """Read a key file: one line of base64, of 32 octets."""
    try:
        return Ed25519PrivateKey.from_private_bytes(base64.b64decode(text.strip(), validate=True))
    except ValueError:
        raise BadKey("not a key: base64 of 32 octets is expected") from None


class _KeyTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[key]]` of a ring."""

    name: Name
    public: str
    from_ms: Annotated[int, msgspec.Meta(ge=0)] = 0
    until_ms: Annotated[int, msgspec.Meta(ge=0)] = 2**53


class _RingFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    key: list[_KeyTable] = []


@dataclass(frozen=True, slots=True)
class RingKey:
    """A public key and when it is valid, in Unix microseconds."""

    public: Ed25519PublicKey
    from_us: int
    until_us: int


class KeyRing:
    """Whose signature counts, and when. Replaced as a whole when its file changes."""

    def __init__(self, keys: dict[str, tuple[RingKey, ...]] | None = None) -> None:
        self.keys = keys or {}

    @classmethod
    def read(cls, text: str) -> KeyRing:
        """Read a ring's TOML, or raise BadKey with the table and field that is wrong."""
        try:
            file = msgspec.convert(tomllib.loads(text), _RingFile)
        except (tomllib.TOMLDecodeError, msgspec.ValidationError) as wrong:
            raise BadKey(f"key ring: {wrong}") from None
        keys: dict[str, tuple[RingKey, ...]] = {}
        for at, table in enumerate(file.key):
            try:
                public = Ed25519PublicKey.from_public_bytes(base64.b64decode(table.public, validate=True))
            except ValueError:
                raise BadKey(f"key ring: key[{at}].public: base64 of 32 octets is expected") from None
            if table.until_ms <= table.from_ms:
                raise BadKey(f"key ring: key[{at}].until_ms: not after from_ms")
            held = keys.get(table.name, ())
            if len(held) >= KEYS_MOST:
                raise BadKey(f"key ring: key[{at}]: at most {KEYS_MOST} keys for {table.name!r}")
            keys[table.name] = (*held, RingKey(public, table.from_ms * 1000, table.until_ms * 1000))
        return cls(keys)

    def valid(self, name: str, now_us: int) -> Iterable[Ed25519PublicKey]:
        """Return the keys of an instance that are valid now."""
        return (k.public for k in self.keys.get(name, ()) if k.from_us <= now_us < k.until_us)

    def verify(self, name: str, signature: bytes, data: bytes, now_us: int) -> bool:
        """Whether an instance signed this with a key that is valid now."""
        for public in self.valid(name, now_us):
            try:
                public.verify(signature, data)
                return True
            except InvalidSignature:
                continue
        return False


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    release: UnsignedInt
    sender: Name
    epoch: UnsignedInt  # milliseconds of the sender's clock when it started
    number: UnsignedInt
    at_ms: UnsignedInt
    body: Annotated[bytes, msgspec.Meta(max_length=256 * 1024)]
    signature: Signature


_encoder = msgspec.msgpack.Encoder()
_envelopes = msgspec.msgpack.Decoder(_Envelope)
_messages: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def signed_bytes(signed_fields: tuple[object, ...]) -> bytes:
    """Return the octets that a claim's signature is over."""
    return DOMAIN + _encoder.encode(signed_fields)


class Budget:
    """How many signatures may be checked: in all, by strangers, and for each member."""

    def __init__(self, now_us: int) -> None:
        self._all = self._strangers = 0.0
        self._members: OrderedDict[str, float] = OrderedDict()
        self._second = now_us // 1_000_000

    def take(self, member: str | None, now_us: int) -> bool:
        """Whether one more may be checked in this second; a name of None stands for strangers."""
        if now_us // 1_000_000 != self._second:
            self._second, self._all, self._strangers = now_us // 1_000_000, 0.0, 0.0
            self._members.clear()
        if member is None:
            if self._strangers >= CHECKS_A_SECOND * UNKNOWN_SHARE:
                return False
            self._strangers += 1
        else:
            if self._members.get(member, 0.0) >= SENDER_A_SECOND:
                return False
            self._members[member] = self._members.get(member, 0.0) + 1
        if self._all >= CHECKS_A_SECOND:
            return False
        self._all += 1
        return True


@dataclass(frozen=True, slots=True)
class Opened:
    """A message whose sender is who it says."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class Turned:
    """A datagram that is passed over, and why."""

    reason: str


class Codec:
    """Seals what this instance sends and opens what it hears; the Sealer of its claims, too."""

    def __init__(self, name: str, key: Ed25519PrivateKey, ring: KeyRing, now_us: Callable[[], int]) -> None:
        self.name, self.key, self.ring, self.now_us = name, key, ring, now_us
        self.epoch = now_us() // 1000
        self.counts: Counter[str] = Counter()
        self._number = 0
        self._replays = Replays()
        self._budget = Budget(now_us())
        # Claims' signatures that were checked, for the same claim comes from many: by signer, octets and signature.
        self._checked: OrderedDict[tuple[str, bytes, bytes], None] = OrderedDict()

    # ---- claims

    def sign(self, signed_fields: tuple[object, ...]) -> bytes:
        """Return this instance's signature of a claim."""
        return self.key.sign(signed_bytes(signed_fields))

    def verify(self, signer: str, signed_fields: tuple[object, ...], signature: bytes) -> bool:
        """Whether the signer signed a claim with a key that is valid now."""
        data, now = signed_bytes(signed_fields), self.now_us()
        if (signer, data, signature) in self._checked and any(True for _ in self.ring.valid(signer, now)):
            return True
        if not self._budget.take(signer if signer in self.ring.keys else None, now):
            self.counts["gossip_unchecked"] += 1
            return False
        if not self.ring.verify(signer, signature, data, now):
            return False
        self._checked[signer, data, signature] = None
        if len(self._checked) > CHECKED_MOST:
            self._checked.popitem(last=False)
        return True

    def renew(self, ring: KeyRing, key: Ed25519PrivateKey | None = None) -> None:
        """Take a new ring, and perhaps a new key of our own: what the old ones vouched for is checked again."""
        self.ring, self.key = ring, key or self.key
        self._checked.clear()

    # ---- messages

    def seal(self, message: Message) -> bytes:
        """Return the octets of a message."""
        self._number += 1
        body = _encoder.encode(message)
        at_ms = self.now_us() // 1000
        head = (PROTOCOL_VERSION, self.name, self.epoch, self._number, at_ms, body)
        return _encoder.encode((*head, self.key.sign(DOMAIN + _encoder.encode(head))))

    def open(self, data: bytes, known: bool, most: int) -> Opened | Turned:
        """Open what came; `known`: whether it came from where a member of its sender's name is, see peek()."""
        result = self._open(data, known, most)
        if isinstance(result, Turned):
            self.counts["gossip_turned_" + result.reason.replace(" ", "_")] += 1
        return result

    @staticmethod
    def peek(data: bytes) -> str | None:
        """Return who a datagram claims to be from, unchecked."""
        try:
            return _envelopes.decode(data).sender
        except (msgspec.DecodeError, UnicodeDecodeError):
            return None

    def _open(self, data: bytes, known: bool, most: int) -> Opened | Turned:
        if len(data) > most:
            return Turned("too long")
        try:
            envelope = _envelopes.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return Turned("malformed")
        if envelope.release != PROTOCOL_VERSION:
            return Turned("other release")
        now = self.now_us()
        if envelope.sender == self.name or not any(True for _ in self.ring.valid(envelope.sender, now)):
            return Turned("no key")
        if abs(now - envelope.at_ms * 1000) > SKEW_US:
            return Turned("skewed")
        if not self._budget.take(envelope.sender if known else None, now):
            return Turned("no time")
        head = (envelope.release, envelope.sender, envelope.epoch, envelope.number, envelope.at_ms, envelope.body)
        if not self.ring.verify(envelope.sender, envelope.signature, DOMAIN + _encoder.encode(head), now):
            return Turned("bad signature")
        heard = self._replays.hear(envelope.sender, envelope.epoch, envelope.number, envelope.at_ms * 1000, now)
        if heard is not Heard.NEW:
            return Turned(f"heard {heard.value}")
        try:
            return Opened(envelope.sender, _messages.decode(envelope.body))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return Turned("malformed body")
