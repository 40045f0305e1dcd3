"""Sockets of the WebSocket front on a clock of the test's own: signs of life, clients that do not read."""

from __future__ import annotations

from collections import Counter
from typing import Any, cast

from drivers import Abortable, Seconds
from test_router import World
from test_websocket_codec import SHAKE, frame
from twisted.internet.task import Clock

from astertrack.net.websocket import CallFront, Session
from astertrack.wire import callapi as api


def connect() -> tuple[Clock, Session, Any]:
    """One socket, shaken hands with."""
    reactor, transport = Clock(), cast(Any, Abortable)()
    front = CallFront(World().router, Seconds(reactor), {"ledger-read": 0}, Counter(), "/calls")
    session = cast(Any, front.buildProtocol(None))
    session.makeConnection(transport)
    session.dataReceived(SHAKE)
    transport.clear()
    return reactor, session, transport


def test_a_silent_socket_is_pinged_and_one_without_a_sign_of_life_given_up() -> None:
    reactor, session, transport = connect()
    for _ in range(5):
        reactor.advance(5)
    assert transport.value() == frame(0x89, b"", masked=False)
    session.dataReceived(frame(0x8A, b""))  # a pong: alive
    for _ in range(12):
        reactor.advance(5)
    assert not transport.aborted
    reactor.advance(5)
    assert transport.aborted


def test_a_client_that_does_not_read_is_not_read_from() -> None:
    _, _, transport = connect()
    producer = cast(Any, transport.producer)
    producer.pauseProducing()
    assert transport.producerState == "paused"
    producer.resumeProducing()
    assert transport.producerState == "producing"


def test_the_end_of_a_call_is_remembered_and_then_forgotten() -> None:
    reactor, session, _ = connect()
    front = session.front
    front.asked(session, api.SetUp("0" * 16, "ledger-read", "5", 9, 0))  # its deadline has passed
    assert isinstance(front.calls["0" * 16].told, api.Refused)
    for _ in range(11):
        reactor.advance(5)
    assert front.calls
    reactor.advance(5)
    assert not front.calls
