"""Sealed messages: key rotation, replays, floods, and arbitrary bytes in a datagram."""

from __future__ import annotations

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import given
from hypothesis import strategies as st

from astertrack.gossip.codec import (
    MAX_VERIFICATIONS_PER_MEMBER,
    MAX_VERIFICATIONS_PER_SECOND,
    UNKNOWN_SENDERS_FRACTION,
    Codec,
    InvalidKeyError,
    KeyRing,
    OpenedMessage,
    Rejected,
    decode_private_key,
    encode_private_key,
    encode_public_key,
)
from astertrack.gossip.model import (
    Ack,
    Alive,
    Claim,
    Leave,
    Message,
    Nack,
    Ping,
    PingReq,
    ServerReport,
    Suspect,
    Sync,
    sign_claim,
)
from astertrack.gossip.replay import MAX_CLOCK_SKEW_US

SECOND = 1_000_000
NAMES = st.text(min_size=1, max_size=8)
UNSIGNED_INTS = st.integers(0, 2**63 - 1)
CLAIMS: st.SearchStrategy[Claim] = st.one_of(
    st.builds(Alive, NAMES, UNSIGNED_INTS, st.text(max_size=20), NAMES, st.binary(max_size=64)),
    st.builds(Leave, NAMES, UNSIGNED_INTS, st.binary(max_size=64)),
    st.builds(Suspect, NAMES, UNSIGNED_INTS, NAMES, st.binary(max_size=64)),
    st.builds(ServerReport, NAMES, NAMES, st.booleans(), UNSIGNED_INTS, UNSIGNED_INTS, st.binary(max_size=64)))
CLAIM_LISTS = st.lists(CLAIMS, max_size=3)
MESSAGES: st.SearchStrategy[Message] = st.one_of(
    st.builds(Ping, UNSIGNED_INTS, NAMES, UNSIGNED_INTS, CLAIM_LISTS),
    st.builds(Ack, UNSIGNED_INTS, UNSIGNED_INTS, CLAIM_LISTS),
    st.builds(PingReq, UNSIGNED_INTS, NAMES, st.text(max_size=20), UNSIGNED_INTS, CLAIM_LISTS),
    st.builds(Nack, UNSIGNED_INTS),
    st.builds(Sync, st.booleans(), CLAIM_LISTS))
KEYS = {name: Ed25519PrivateKey.from_private_bytes(bytes([index + 1]) * 32) for index, name in enumerate("abcd")}


class Pair:
    """Two codecs, a and b, that share a key ring and a clock."""

    def __init__(self, ring_text: str = "") -> None:
        self.now_us = 1_800_000_000 * SECOND
        ring_text = ring_text or "".join(f'[[key]]\nname = "{name}"\npublic = "{encode_public_key(key.public_key())}"\n'
                                         for name, key in KEYS.items() if name != "d")
        self.ring = KeyRing.read(ring_text)
        self.a, self.b = (Codec(name, KEYS[name], self.ring, lambda: self.now_us) for name in "ab")

    def open(self, data: bytes, is_known_sender: bool = True) -> str:
        """Return the reason for which b rejects the data, or an empty string if b opens it."""
        result = self.b.open(data, is_known_sender, 64 * 1024)
        return result.reason if isinstance(result, Rejected) else ""


@given(MESSAGES)
def test_a_sealed_message_is_opened_unchanged_and_only_once(message: Message) -> None:
    pair = Pair()
    data = pair.a.seal(message)
    assert Codec.peek_sender(data) == "a"
    assert pair.b.open(data, True, 64 * 1024) == OpenedMessage("a", message)
    assert pair.open(data) == "heard again"


@given(MESSAGES, st.data())
def test_a_changed_or_truncated_datagram_is_rejected(message: Message, data: st.DataObject) -> None:
    pair = Pair()
    sealed = bytearray(pair.a.seal(message))
    index = data.draw(st.integers(0, len(sealed) - 1))
    if data.draw(st.booleans()):
        sealed[index] ^= data.draw(st.integers(1, 255))
    else:
        del sealed[index:]
    assert pair.open(bytes(sealed)) != ""


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_with_a_reason_and_counted(data: bytes) -> None:
    pair = Pair()
    assert pair.open(data) in ("malformed", "other release", "no key", "skewed")
    assert sum(pair.b.counts.values()) == 1


@given(st.recursive(st.none() | st.booleans() | st.integers(-2**60, 2**60) | st.binary(max_size=20) | st.text(
    max_size=10), lambda inner: st.lists(inner, max_size=4), max_leaves=12))
def test_an_arbitrary_body_with_a_valid_signature_raises_no_exception(body: object) -> None:
    import msgspec  # noqa: PLC0415

    pair = Pair()
    real = msgspec.msgpack.Encoder()

    class Body(msgspec.Struct, array_like=True):
        """A struct that encodes any value in place of a message."""

        value: object
    result = pair.open(pair.a.seal(Body(body)))  # type: ignore[arg-type]
    assert result in ("", "malformed body")
    assert real is not None


def test_unknown_senders_skewed_clocks_and_invalid_keys_are_rejected() -> None:
    pair = Pair()
    unknown_sender = Codec("d", KEYS["d"], pair.ring, lambda: pair.now_us)
    forger = Codec("a", KEYS["d"], pair.ring, lambda: pair.now_us)
    assert pair.open(unknown_sender.seal(Nack(1))) == "no key"
    assert pair.open(forger.seal(Nack(1))) == "bad signature"
    assert pair.open(pair.b.seal(Nack(1))) == "no key"  # its own message, sent back
    delayed = pair.a.seal(Nack(1))
    pair.now_us += MAX_CLOCK_SKEW_US + SECOND
    assert pair.open(delayed) == "skewed"
    assert pair.open(pair.a.seal(Nack(2))[:40]) == "malformed"
    assert pair.b.open(pair.a.seal(Sync(True, [])), True, 50) == Rejected("too long")


def test_keys_rotate_without_lost_messages_and_a_withdrawn_key_is_rejected_at_once() -> None:
    pair = Pair()
    new_key = Ed25519PrivateKey.from_private_bytes(b"n" * 32)
    claim = sign_claim(Alive("a", 1, "x", "z"), pair.a)
    assert pair.b.verify("a", claim.signed_fields(), claim.signature)
    overlapping = "".join(f'[[key]]\nname = "{name}"\npublic = "{encode_public_key(key.public_key())}"\n'
                          for name, key in (("a", KEYS["a"]), ("a", new_key), ("b", KEYS["b"])))
    pair.b.replace_keys(KeyRing.read(overlapping))
    assert pair.open(pair.a.seal(Nack(1))) == ""
    pair.a.replace_keys(KeyRing.read(overlapping), new_key)
    assert pair.open(pair.a.seal(Nack(2))) == ""
    pair.b.replace_keys(KeyRing.read("".join(
        f'[[key]]\nname = "{name}"\npublic = "{encode_public_key(key.public_key())}"\n'
        for name, key in (("a", new_key), ("b", KEYS["b"])))))
    assert pair.open(pair.a.seal(Nack(3))) == ""
    assert not pair.b.verify("a", claim.signed_fields(), claim.signature)  # verified before, but by the old key
    expiring = (f'[[key]]\nname = "a"\npublic = "{encode_public_key(new_key.public_key())}"\n'
                f'until_ms = {pair.now_us // 1000 + 5000}\n')
    pair.b.replace_keys(KeyRing.read(expiring))
    assert pair.open(pair.a.seal(Nack(4))) == ""
    pair.now_us += 6 * SECOND
    assert pair.open(pair.a.seal(Nack(5))) == "no key"


def test_a_flood_is_limited_to_its_share_of_the_verification_budget() -> None:
    pair = Pair()
    forger = Codec("a", KEYS["d"], pair.ring, lambda: pair.now_us)
    unknown_limit = int(MAX_VERIFICATIONS_PER_SECOND * UNKNOWN_SENDERS_FRACTION)
    forged = [forger.seal(Nack(seq)) for seq in range(unknown_limit + 500)]
    reasons = [pair.open(data, is_known_sender=False) for data in forged]
    assert reasons.count("bad signature") == unknown_limit
    assert reasons.count("no time") == 500
    assert pair.open(pair.a.seal(Nack(1)), is_known_sender=True) == ""
    flood = [pair.open(pair.a.seal(Nack(seq))) for seq in range(MAX_VERIFICATIONS_PER_MEMBER + 20)]
    assert flood.count("no time") == 21  # 20 over the limit, and one for the message that was opened before
    other = Codec("c", KEYS["c"], pair.ring, lambda: pair.now_us)
    assert pair.open(other.seal(Nack(1))) == ""
    pair.now_us += SECOND
    assert pair.open(pair.a.seal(Nack(1))) == ""


@pytest.mark.parametrize("text", ["[[key]]\n", '[[key]]\nname = "a"\npublic = "x"\n', "= 1", "[key]\n",
                                  '[[key]]\nname = "a"\npublic = "' + "A" * 43 + '="\nuntil_ms = 0\n',
                                  ('[[key]]\nname = "a"\npublic = "' + "A" * 43 + '="\n') * 5])
def test_an_invalid_key_ring_raises_an_error_with_its_field(text: str) -> None:
    with pytest.raises(InvalidKeyError, match=r"key ring: "):
        KeyRing.read(text)


def test_a_key_file_round_trips_and_an_invalid_one_raises_an_error() -> None:
    assert decode_private_key(encode_private_key(KEYS["a"]) + "\n").private_bytes_raw() == KEYS["a"].private_bytes_raw()
    for text in ("", "x", "A" * 10):
        with pytest.raises(InvalidKeyError):
            decode_private_key(text)
