"""Clients that leave with requests unread, and ids that come again after their client has left."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import sys
import termios
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from drivers import SipFrontHarness, close_by_peer, make_invite, response_statuses
from test_callers import FIRST_CALL, SECOND_CALL
from test_router import RouterHarness

from astertrack.core.history import MAX_RECENT_ATTEMPTS, RETENTION_US, RecentAttempts
from astertrack.net import tcp_states
from astertrack.net.input_queue import MAX_QUEUED_BYTES
from astertrack.net.pacing import READ_BUFFER_BYTES
from benchmarks.abandoned_requests import measure
from ospreylug import interface as io


@pytest.fixture
def connected() -> Iterator[tuple[SipFrontHarness, Any, Any, socket.socket]]:
    """A connection of the SIP front whose transport has a real socket, and the client's end of it."""
    harness = SipFrontHarness()
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.create_connection(
            listener.getsockname()) as client:
        accepted, _ = listener.accept()
        with accepted:
            connection, transport = harness.connect()
            transport.socket = accepted
            tcp_states.note_connected(transport)
            yield harness, connection, transport, client


def wait_for(condition: Callable[[], bool], limit_s: float = 5.0) -> None:
    """Wait until a condition holds; fail if it does not within the limit."""
    end_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.001)


def count_unread(connection: socket.socket) -> int:
    """Return how many received bytes wait in a socket (FIONREAD)."""
    return int.from_bytes(fcntl.ioctl(connection, termios.FIONREAD, bytes(4)), sys.byteorder)


def record_pieces(connection: Any, pieces: list[tuple[Any, bytes]]) -> list[tuple[Any, bytes]]:
    """Record what a connection processes at once."""
    process = connection.input._process

    def record(data: bytes, has_left: bool) -> float:
        pieces.append((connection, data))
        return float(process(data, has_left))

    connection.input._process = record
    return pieces


@pytest.mark.parametrize("front", ["sip", "api"])
@pytest.mark.parametrize("end", ["close", "reset"])
def test_set_ups_of_a_client_that_has_left_are_not_sent_on_and_none_runs_twice(front: str, end: str) -> None:
    # Guards against docs/incidents/10: they were sent on while they were read, and set up again under the same ids.
    result = asyncio.run(measure(front, end, again=False, seed=1, observed_s=2.0))
    assert result["arrived"] == 0, result
    again = asyncio.run(measure(front, end, again=True, seed=1, observed_s=3.0))
    assert (again["twice"], again["overlaps"]) == (0, 0), again


def test_a_set_up_is_dropped_and_a_release_carried_out_if_their_caller_has_left(connected: Any) -> None:
    harness, connection, _, client = connected
    connection.dataReceived(make_invite(FIRST_CALL))
    harness.router_harness.router.on_answered(harness.router_harness.peer_by_call[FIRST_CALL], FIRST_CALL, b"answer")
    client.close()
    wait_for(connection.is_closed_by_peer)
    bye = f"BYE sip:{FIRST_CALL}@net SIP/2.0\r\nCall-ID: {FIRST_CALL}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"
    connection.dataReceived(make_invite(SECOND_CALL) + bye.encode())
    assert harness.counts["sip_set_ups_abandoned"] == 1
    assert SECOND_CALL not in harness.router_harness.router.calls
    assert not connection.sip_connection.pending_invites
    assert FIRST_CALL not in harness.router_harness.router.calls


def test_what_was_read_ahead_is_processed_in_order_and_in_pieces(connected: Any) -> None:
    harness, connection, transport, client = connected
    data = b"".join(make_invite(f"{number:016x}") for number in range(100))
    assert len(data) > 2 * READ_BUFFER_BYTES
    client.sendall(data[READ_BUFFER_BYTES:])
    wait_for(lambda: count_unread(transport.socket) == len(data) - READ_BUFFER_BYTES)
    pieces = record_pieces(connection, [])
    connection.dataReceived(data[:READ_BUFFER_BYTES])
    assert transport.producerState == "paused"
    assert connection.has_unread_bytes()
    harness.pass_time(5)
    assert b"".join(piece for _, piece in pieces) == data
    assert max(len(piece) for _, piece in pieces) == READ_BUFFER_BYTES
    assert harness.counts["sip_set_ups"] == 100
    assert transport.producerState == "producing"
    assert harness.front.queues.queued_bytes == 0


def test_what_was_read_ahead_is_bounded_and_dropped_with_its_connection(connected: Any) -> None:
    harness, connection, transport, client = connected
    client.setblocking(False)
    connection.input._bytes += b"\r\n" * (MAX_QUEUED_BYTES // 2)
    harness.front.queues.queued_bytes += MAX_QUEUED_BYTES
    client.send(b"\r\n" * 100)
    wait_for(lambda: count_unread(transport.socket) == 200)
    connection.dataReceived(b"\r\n" * (READ_BUFFER_BYTES // 2))
    assert len(connection.input) == MAX_QUEUED_BYTES + READ_BUFFER_BYTES  # nothing was read ahead
    close_by_peer(connection)
    assert (len(connection.input), harness.front.queues.queued_bytes) == (0, 0)


def test_queues_take_turns_one_piece_in_each_reactor_iteration() -> None:
    # Guards against docs/incidents/9: many connections with much to process held up everybody else together.
    harness = SipFrontHarness()
    connections = [harness.connect()[0] for _ in range(3)]
    pieces: list[tuple[Any, bytes]] = []
    for connection in connections:
        record_pieces(connection, pieces)
        connection.input._bytes += b"\r\n" * READ_BUFFER_BYTES  # read ahead: two pieces
        connection.dataReceived(b"\r\n" * (READ_BUFFER_BYTES // 2))
    assert not pieces
    harness.pass_time(1)
    assert [connection for connection, _ in pieces] == connections * 3


def test_an_id_that_was_sent_to_a_peer_is_refused_when_it_comes_again() -> None:
    # Guards against docs/incidents/10: it was set up a second time.
    harness = SipFrontHarness()
    first, _ = harness.connect()
    first.dataReceived(make_invite(FIRST_CALL))
    close_by_peer(first)
    again, again_transport = harness.connect()
    again.dataReceived(make_invite(FIRST_CALL))
    assert response_statuses(again_transport, FIRST_CALL) == [503]
    assert len(harness.router_harness.set_ups) == 1
    assert harness.router_harness.router.counts["offers_run_before"] == 1


def test_an_id_that_was_never_sent_to_a_peer_may_come_again() -> None:
    harness = RouterHarness()
    harness.router.set_roster(io.RosterChange(io.RosterKind.REPLACE))
    harness.offer("a")
    harness.router.cancel("a")
    harness.set_last_peer_readiness(io.Readiness.READY)
    harness.offer("a")
    assert harness.set_ups == [("x1", "a")]


def test_recent_attempts_are_exact_and_bounded_in_number_and_time() -> None:
    recent = RecentAttempts()
    for number in range(MAX_RECENT_ATTEMPTS + 1):
        recent.add(str(number), number)
    assert not recent.contains("0", 0)
    assert recent.contains("1", RETENTION_US)
    assert not recent.contains("1", RETENTION_US + 1)
    recent.add("late", 2 * RETENTION_US)
    assert len(recent._sent_us) == 1
