"""Connections of the WebSocket front on a fake clock: pings, timeouts, repeated ids, clients that do not read."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any, cast

import pytest
from drivers import FakeClock, FakeTransport
from test_router import RouterHarness
from test_websocket_codec import HANDSHAKE, frame
from twisted.internet.task import Clock

from astertrack.net.client_connection import ClientConnection
from astertrack.net.websocket import ApiFront
from astertrack.wire import callapi as api


def connect() -> tuple[Clock, ClientConnection, Any]:
    """Return a connection after its handshake, with its clock and its transport."""
    reactor, transport = Clock(), cast(Any, FakeTransport)()
    front = ApiFront(RouterHarness().router, FakeClock(reactor), {"ledger-read": 0}, Counter(), "/calls")
    connection = cast(Any, front.buildProtocol(None))
    connection.makeConnection(transport)
    connection.dataReceived(HANDSHAKE)
    transport.clear()
    return reactor, connection, transport


def pass_time(reactor: Clock, seconds: int) -> None:
    """Advance the clock, in steps shorter than the intervals of the front's timers."""
    for _ in range(seconds * 20):
        reactor.advance(0.05)


def test_an_idle_connection_is_pinged_and_an_unresponsive_one_is_closed() -> None:
    reactor, connection, transport = connect()
    pass_time(reactor, 25)
    assert transport.value() == frame(0x89, b"", masked=False)
    connection.dataReceived(frame(0x8A, b""))  # a pong
    pass_time(reactor, 59)
    assert not transport.aborted
    pass_time(reactor, 2)
    assert transport.aborted


@pytest.mark.parametrize("received", [
    b"", HANDSHAKE[:30], HANDSHAKE + b"\x81", HANDSHAKE + frame(0x01, b"{", masked=True)])
def test_a_connection_with_an_incomplete_handshake_or_message_is_closed_in_time(received: bytes) -> None:
    reactor, transport = Clock(), cast(Any, FakeTransport)()
    front = ApiFront(RouterHarness().router, FakeClock(reactor), {"ledger-read": 0}, Counter(), "/calls")
    connection = cast(Any, front.buildProtocol(None))
    connection.makeConnection(transport)
    if received:
        connection.dataReceived(received)
    pass_time(reactor, 2)
    assert not transport.aborted
    pass_time(reactor, 1)
    assert transport.aborted


def test_a_set_up_with_the_id_of_a_pending_call_and_other_fields_does_not_affect_it() -> None:
    _, connection, _ = connect()
    front = connection.front
    now_ms = connection.front.router.now_us() // 1000
    set_up = api.SetUp("1" * 16, "ledger-read", "5", 1, now_ms + 3000)
    front.on_request(connection, set_up)
    with pytest.raises(api.InvalidMessageError):
        front.on_request(connection, api.SetUp("1" * 16, "ledger-read", "5", 1, now_ms + 3000, description="other"))
    front.on_request(connection, api.SetUp("1" * 16, "ledger-read", "5", 1, now_ms + 3000))  # a repeat
    assert not front.calls["1" * 16].has_other_fields(set_up)
    assert front.counts["ws_set_ups"] == 1


def test_a_client_that_does_not_read_is_not_read_from() -> None:
    reactor, connection, transport = connect()
    producer = cast(Any, transport.producer)
    producer.pauseProducing()
    assert transport.producerState == "paused"
    producer.resumeProducing()
    assert transport.producerState == "producing"
    producer.pauseProducing()
    pass_time(reactor, 9)
    connection.dataReceived(frame(0x8A, b"", masked=True))
    assert not transport.aborted
    pass_time(reactor, 2)
    assert transport.aborted


def test_the_end_of_a_call_is_kept_for_the_retention_period() -> None:
    reactor, connection, _ = connect()
    front = connection.front
    front.on_request(connection, api.SetUp("0" * 16, "ledger-read", "5", 9, 0))  # its deadline has passed
    assert isinstance(front.calls["0" * 16].last_message, api.Refused)
    for _ in range(11):  # 55 s of 60 s
        reactor.advance(5)
    assert front.calls
    reactor.advance(5)
    assert not front.calls


@pytest.mark.parametrize("field", [
    {"dest": 10**400}, {"width": 10**400}, {"width": float("inf")}, {"width": float("nan")}, {"deadline": 10**20},
    {"description": "half a pair \ud800"}, {"number": "\ud800"}])
def test_a_field_that_cannot_be_used_is_an_error_and_the_connection_goes_on(field: dict[str, Any]) -> None:
    # Guards against docs/incidents/6: an OverflowError and a UnicodeEncodeError closed the connection.
    _, connection, transport = connect()
    sound = {"type": "setup", "id": "1" * 16, "class": "ledger-read", "number": "5", "dest": 1, "deadline": 2**50}
    connection.dataReceived(frame(0x81, json.dumps(sound | field).encode()))
    assert b'"code":"bad-field"' in transport.value()
    connection.dataReceived(frame(0x81, json.dumps(sound).encode()))
    assert connection.front.counts["ws_set_ups"] == 1
