"""Sealed messages: keys, replays, floods, and whatever else may come in a datagram."""

from __future__ import annotations

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import given
from hypothesis import strategies as st

from astertrack.gossip import model  # not its Testimony by name: a test runner would take that for a test
from astertrack.gossip.codec import (
    CHECKS_A_SECOND,
    SENDER_A_SECOND,
    UNKNOWN_SHARE,
    BadKey,
    Codec,
    KeyRing,
    Opened,
    Turned,
    private_text,
    public_text,
    read_private,
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
    Suspect,
    Sync,
    sign_claim,
)
from astertrack.gossip.replay import SKEW_US

SECOND = 1_000_000
NAMES = st.text(min_size=1, max_size=8)
NUMBERS = st.integers(0, 2**63 - 1)
CLAIMS: st.SearchStrategy[Claim] = st.one_of(
    st.builds(Alive, NAMES, NUMBERS, st.text(max_size=20), NAMES, st.binary(max_size=64)),
    st.builds(Leave, NAMES, NUMBERS, st.binary(max_size=64)),
    st.builds(Suspect, NAMES, NUMBERS, NAMES, st.binary(max_size=64)),
    st.builds(model.ServerReport, NAMES, NAMES, st.booleans(), NUMBERS, NUMBERS, st.binary(max_size=64)))
LISTS = st.lists(CLAIMS, max_size=3)
MESSAGES: st.SearchStrategy[Message] = st.one_of(
    st.builds(Ping, NUMBERS, NAMES, NUMBERS, LISTS), st.builds(Ack, NUMBERS, NUMBERS, LISTS),
    st.builds(PingReq, NUMBERS, NAMES, st.text(max_size=20), NUMBERS, LISTS), st.builds(Nack, NUMBERS),
    st.builds(Sync, st.booleans(), LISTS))
KEYS = {name: Ed25519PrivateKey.from_private_bytes(bytes([at + 1]) * 32) for at, name in enumerate("abcd")}


class Pair:
    """Two instances and a clock."""

    def __init__(self, text: str = "") -> None:
        self.now = 1_800_000_000 * SECOND
        text = text or "".join(f'[[key]]\nname = "{n}"\npublic = "{public_text(k.public_key())}"\n'
                               for n, k in KEYS.items() if n != "d")
        self.ring = KeyRing.read(text)
        self.a, self.b = (Codec(name, KEYS[name], self.ring, lambda: self.now) for name in "ab")

    def open(self, data: bytes, known: bool = True) -> str:
        """What b makes of it."""
        result = self.b.open(data, known, 64 * 1024)
        return result.reason if isinstance(result, Turned) else ""


@given(MESSAGES)
def test_a_message_is_opened_as_it_was_sealed_once(message: Message) -> None:
    pair = Pair()
    data = pair.a.seal(message)
    assert Codec.peek(data) == "a"
    assert pair.b.open(data, True, 64 * 1024) == Opened("a", message)
    assert pair.open(data) == "heard again"


@given(MESSAGES, st.data())
def test_no_octet_can_be_changed_nor_left_out(message: Message, data: st.DataObject) -> None:
    pair = Pair()
    sealed = bytearray(pair.a.seal(message))
    at = data.draw(st.integers(0, len(sealed) - 1))
    if data.draw(st.booleans()):
        sealed[at] ^= data.draw(st.integers(1, 255))
    else:
        del sealed[at:]
    assert pair.open(bytes(sealed)) != ""


@given(st.binary(max_size=200))
def test_whatever_comes_is_turned_away_in_words(data: bytes) -> None:
    pair = Pair()
    assert pair.open(data) in ("malformed", "other release", "no key", "skewed")
    assert sum(pair.b.counts.values()) == 1


@given(st.recursive(st.none() | st.booleans() | st.integers(-2**60, 2**60) | st.binary(max_size=20) | st.text(
    max_size=10), lambda inner: st.lists(inner, max_size=4), max_leaves=12))
def test_a_body_of_any_form_under_a_good_signature_ends_nothing(body: object) -> None:
    import msgspec  # noqa: PLC0415

    pair = Pair()
    real = msgspec.msgpack.Encoder()

    class Body(msgspec.Struct, array_like=True):
        """Any value in place of a message."""

        value: object
    result = pair.open(pair.a.seal(Body(body)))  # type: ignore[arg-type]
    assert result in ("", "malformed body")
    assert real is not None


def test_strangers_the_skewed_and_those_without_a_valid_key_are_turned_away() -> None:
    pair = Pair()
    stranger = Codec("d", KEYS["d"], pair.ring, lambda: pair.now)
    forger = Codec("a", KEYS["d"], pair.ring, lambda: pair.now)
    assert pair.open(stranger.seal(Nack(1))) == "no key"
    assert pair.open(forger.seal(Nack(1))) == "bad signature"
    assert pair.open(pair.b.seal(Nack(1))) == "no key"  # its own, come back
    early = pair.a.seal(Nack(1))
    pair.now += SKEW_US + SECOND
    assert pair.open(early) == "skewed"
    assert pair.open(pair.a.seal(Nack(2))[:40]) == "malformed"
    assert pair.b.open(pair.a.seal(Sync(True, [])), True, 50) == Turned("too long")


def test_keys_change_in_service_without_a_word_lost_and_a_withdrawn_one_ends_at_once() -> None:
    pair = Pair()
    new = Ed25519PrivateKey.from_private_bytes(b"n" * 32)
    claim = sign_claim(Alive("a", 1, "x", "z"), pair.a)
    assert pair.b.verify("a", claim.signed_fields(), claim.signature)
    both = "".join(f'[[key]]\nname = "{n}"\npublic = "{public_text(k.public_key())}"\n'
                   for n, k in (("a", KEYS["a"]), ("a", new), ("b", KEYS["b"])))
    pair.b.renew(KeyRing.read(both))
    assert pair.open(pair.a.seal(Nack(1))) == ""
    pair.a.renew(KeyRing.read(both), new)
    assert pair.open(pair.a.seal(Nack(2))) == ""
    pair.b.renew(KeyRing.read("".join(f'[[key]]\nname = "{n}"\npublic = "{public_text(k.public_key())}"\n'
                                      for n, k in (("a", new), ("b", KEYS["b"])))))
    assert pair.open(pair.a.seal(Nack(3))) == ""
    assert not pair.b.verify("a", claim.signed_fields(), claim.signature)  # verified before, but by the old key
    timed = f'[[key]]\nname = "a"\npublic = "{public_text(new.public_key())}"\nuntil_ms = {pair.now // 1000 + 5000}\n'
    pair.b.renew(KeyRing.read(timed))
    assert pair.open(pair.a.seal(Nack(4))) == ""
    pair.now += 6 * SECOND
    assert pair.open(pair.a.seal(Nack(5))) == "no key"


def test_a_flood_costs_no_more_than_its_share_and_leaves_the_members_theirs() -> None:
    pair = Pair()
    forger = Codec("a", KEYS["d"], pair.ring, lambda: pair.now)
    bad = [forger.seal(Nack(n)) for n in range(int(CHECKS_A_SECOND * UNKNOWN_SHARE) + 500)]
    reasons = [pair.open(data, known=False) for data in bad]
    assert reasons.count("bad signature") == int(CHECKS_A_SECOND * UNKNOWN_SHARE)
    assert reasons.count("no time") == 500
    assert pair.open(pair.a.seal(Nack(1)), known=True) == ""
    flood = [pair.open(pair.a.seal(Nack(n))) for n in range(SENDER_A_SECOND + 20)]
    assert flood.count("no time") == 21
    other = Codec("c", KEYS["c"], pair.ring, lambda: pair.now)
    assert pair.open(other.seal(Nack(1))) == ""
    pair.now += SECOND
    assert pair.open(pair.a.seal(Nack(1))) == ""


@pytest.mark.parametrize("text", ["[[key]]\n", '[[key]]\nname = "a"\npublic = "x"\n', "= 1", "[key]\n",
                                  '[[key]]\nname = "a"\npublic = "' + "A" * 43 + '="\nuntil_ms = 0\n',
                                  ('[[key]]\nname = "a"\npublic = "' + "A" * 43 + '="\n') * 5])
def test_a_bad_ring_is_told_with_its_field(text: str) -> None:
    with pytest.raises(BadKey, match=r"key ring: "):
        KeyRing.read(text)


def test_a_key_file_reads_back_and_a_bad_one_is_told() -> None:
    assert read_private(private_text(KEYS["a"]) + "\n").private_bytes_raw() == KEYS["a"].private_bytes_raw()
    for text in ("", "x", "A" * 10):
        with pytest.raises(BadKey):
            read_private(text)
