"""The SIP, binary and event-stream codecs: any split of the bytes, malformed input, limits and round trips."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wires import CALL_IDS, PIECE_LENGTHS, check_any_split, feed

from astertrack.net.peers import parse_load_report
from astertrack.wire import peer, sip, sse
from astertrack.wire.common import MAX_MESSAGE_BYTES, Malformed, MalformedError, parse_figures, parse_integer
from ospreylug import interface as io

BODIES = st.binary(max_size=200)
TOKENS = st.text("abcxyz019-", min_size=1, max_size=12)
INVITES = st.builds(
    lambda call, number, wait, body: (sip.SetUp(call, number, "voice", wait, "dest:2", body), sip.encode_message(
        f"INVITE sip:{number}@net SIP/2.0",
        [("Via", "SIP/2.0/TCP peer"), ("Call-ID", call), ("CSeq", "1 INVITE"), ("X-Tier", "voice"),
         ("X-Deadline", str(wait)), ("X-Attrs", "dest:2")], body)),
    CALL_IDS, TOKENS, st.integers(0, 9000), BODIES)


def bye(call: str) -> bytes:
    """Return a BYE from a caller, with cause 31 and a header name in lower case."""
    return sip.encode_message(f"BYE sip:{call}@net SIP/2.0", [("call-id", call), ("CSeq", "2 BYE"),
                                                              ("Reason", "Q.850;cause=31")])


@given(st.lists(INVITES, max_size=4, unique_by=lambda invite: invite[0].call), CALL_IDS, PIECE_LENGTHS)
def test_sip_messages_are_decoded_at_any_split(invites: list[tuple[sip.SetUp, bytes]], call: str,
                                               piece_lengths: list[int]) -> None:
    data = b"\r\n\r\n".join([*(raw for _, raw in invites), bye(call)])
    events = check_any_split(lambda: sip.ServerConnection().receive, data, piece_lengths)
    assert events == [*(event for event, _ in invites), sip.CallReleased(call, 31)]


@given(BODIES, PIECE_LENGTHS)
def test_arbitrary_bytes_raise_nothing_in_a_decoder(noise: bytes, piece_lengths: list[int]) -> None:
    for prefix in (b"", b"INVITE sip:1@net SIP/2.0\r\n", b"\x00\x20\x0c", b"HTTP/1.1 200 OK\r\n\r\ndata: "):
        check_any_split(lambda: sip.ServerConnection().receive, prefix + noise, piece_lengths)
        check_any_split(lambda: peer.MessageDecoder().receive, prefix + noise, piece_lengths)
        check_any_split(lambda: sse.EventDecoder().receive, prefix + noise, piece_lengths)


@pytest.mark.parametrize("raw", [
    b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\n\r\n",  # no Content-Length
    b"INVITE sip:1@net SIP/2.0\r\nContent-Length: 0\r\nX-Deadline: 5\r\n\r\n",  # no Call-ID
    b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nContent-Length: 0\r\n\r\n",  # no X-Deadline
    b"BYE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nContent-Length: +1\r\n\r\n",
    b"BYE sip:1@net SIP/2.0\r\nCall-ID: 00000000000000aa\r\nContent-Length: 1_0\r\n\r\n",
    b"BYE sip:1@net SIP/2.0\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
    b"BYE sip:1@net SIP/2.0\r\nContent-Length: 99999\r\n\r\n",
    b"BYE sip:1@net SIP/2.0\r\nA: \x00\r\nContent-Length: 0\r\n\r\n",
    b"BYE sip:1@net SIP/2.0\r\n folded\r\nContent-Length: 0\r\n\r\n",
    b"GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    b"INVITE tel:1 SIP/2.0\r\nCall-ID: 00000000000000aa\r\nX-Deadline: 1\r\nContent-Length: 0\r\n\r\n",
    b"BYE sip:\xff@net SIP/2.0\r\nContent-Length: 0\r\n\r\n",
    b"x" * (MAX_MESSAGE_BYTES + 1),
])
def test_malformed_sip_is_reported_once_and_ends_the_connection(raw: bytes) -> None:
    server = sip.ServerConnection()
    events = feed(server.receive, raw + bye("00000000000000bb"))
    assert [type(event) for event in events] == [Malformed]
    assert server.receive(bye("00000000000000bb")) == []


def test_sip_responses_echo_the_identifying_headers_and_are_sent_once() -> None:
    server, call = sip.ServerConnection(), "00000000000000aa"
    server.receive(sip.encode_message("INVITE sip:5@net SIP/2.0", [
        ("Via", "SIP/2.0/TCP peer"), ("From", "a"), ("Call-ID", call), ("CSeq", "1 INVITE"),
        ("X-Deadline", "100")], b"offer"))
    assert server.reject(call, 503, 250)
    assert not server.answer(call, b"late")
    (message,) = sip.MessageDecoder().receive(server.take_output())
    assert isinstance(message, sip.Message)
    assert (message.status, message.headers["x-cooldown"]) == (503, "250")
    assert message.headers["cseq"] == "1 INVITE"
    assert (message.headers["via"], message.headers["from"]) == ("SIP/2.0/TCP peer", "a")
    assert server.take_output() == b""


@given(st.lists(st.builds(peer.Message, st.integers(0, 255), CALL_IDS,
                          st.dictionaries(st.integers(0, 255), BODIES, max_size=4)), max_size=5), PIECE_LENGTHS)
def test_binary_messages_are_decoded_at_any_split(messages: list[peer.Message], piece_lengths: list[int]) -> None:
    data = b"".join(map(peer.encode_message, messages))
    assert check_any_split(lambda: peer.MessageDecoder().receive, data, piece_lengths) == messages


@pytest.mark.parametrize("raw", [
    b"\x40\x00", b"\x00\x08" + b"1" * 8,  # a message too long, one too short
    b"\x00\x0b\x0c" + b"1" * 8 + b"\x1d\x00",  # the head of a parameter is cut off
    b"\x00\x0c\x0c" + b"1" * 8 + b"\x1d\x00\x01",  # a parameter longer than its message
])
def test_malformed_binary_messages_are_reported_once(raw: bytes) -> None:
    decoder = peer.MessageDecoder()
    assert [type(event) for event in feed(decoder.receive, raw)] == [Malformed]
    assert decoder.receive(raw) == []


def test_a_release_needs_a_cause_of_one_byte() -> None:
    for parameters in ({}, {29: b""}, {29: b"16"}):  # 29 is the code of the cause
        with pytest.raises(MalformedError):
            peer.parse_event(peer.Message(peer.MessageType.RELEASE, "0" * 16, parameters))


def test_load_reports_are_parsed_under_either_name_and_invalid_figures_are_left_out() -> None:
    assert (parse_load_report("x0:3;x1:9;eps:0.25") == parse_load_report("free:3;size:9;hold_back:0.25")
            == io.Load(3, 9, hold_back=0.25))
    assert parse_figures("x0:nan;x1:inf;;:;queue:7") == {"queue": 7}
    assert parse_load_report("x0:-1;x1:40").free is None


@given(st.lists(st.tuples(st.integers(0, 99), st.text("ab{}é", min_size=1, max_size=20)), max_size=4),
       st.booleans(), PIECE_LENGTHS, st.integers(1, 9))
def test_server_sent_events_are_decoded_at_any_split(events: list[tuple[int, str]], chunked: bool,
                                                     piece_lengths: list[int], size: int) -> None:
    body = b"".join(f": comment\n\nid: {event_id}\ndata: {data}\n\n".encode() for event_id, data in events)
    if chunked:
        pieces = [body[start:start + size] for start in range(0, len(body), size)]
        body = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    head = b"HTTP/1.1 200 OK\r\n" + (b"Transfer-Encoding: chunked\r\n" if chunked else b"") + b"\r\n"
    decoded = check_any_split(lambda: sse.EventDecoder().receive, head + body, piece_lengths)
    assert decoded == [sse.ServerSentEvent(str(event_id), data) for event_id, data in events]


@pytest.mark.parametrize("raw", [b"HTTP/1.1 503 Busy\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\nid: x\n\n",
                                 b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                                 b"y" * (MAX_MESSAGE_BYTES + 1)])
def test_a_malformed_event_stream_is_reported_once(raw: bytes) -> None:
    assert [type(event) for event in feed(sse.EventDecoder().receive, raw)] == [Malformed]


def test_integers_are_plain_digits() -> None:
    assert parse_integer("12", "n") == 12
    for raw in ("", "-", "--1", " 1", "1_0", "٣", "1" * 17, "-1"):
        with pytest.raises(MalformedError):
            parse_integer(raw, "n")
