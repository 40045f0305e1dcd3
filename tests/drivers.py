"""Helpers for the tests of the Twisted protocols of astertrack.net: fake transport, fake clock, the SIP front."""

from __future__ import annotations

from collections import Counter
from typing import Any, cast

from test_router import RouterHarness
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from astertrack.net.callers import SipFront
from astertrack.net.clock import ReactorClock
from astertrack.wire import sip


class FakeTransport(StringTransport):
    """A transport that records what is written and whether it was aborted."""

    aborted = False

    def abortConnection(self) -> None:
        """Called by the protocol to abort the connection."""
        self.aborted = True

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Does nothing: there is no socket."""

    @property
    def is_closed(self) -> bool:
        """Return whether the protocol has closed or aborted the connection."""
        return self.aborted or self.disconnecting


class FakeClock(ReactorClock):
    """A clock that uses the reactor's time as the Unix time."""

    def now_us(self) -> int:
        """Return the current time."""
        return round(float(self.reactor.seconds()) * 1e6)


class SipFrontHarness:
    """The SIP front on a fake clock, with a router whose peers only record what they are sent."""

    def __init__(self, max_connections: int = 100) -> None:
        self.reactor, self.router_harness, self.counts = Clock(), RouterHarness(), Counter[str]()
        self.front = SipFront(self.router_harness.router, FakeClock(self.reactor), {"ledger-read": 0}, self.counts,
                              max_connections)

    def connect(self) -> tuple[Any, Any]:
        """Return a new connection and its transport."""
        connection, transport = cast(Any, self.front.buildProtocol(None)), cast(Any, FakeTransport)()
        connection.makeConnection(transport)
        return connection, transport

    def pass_time(self, seconds: float) -> None:
        """Advance the clock, in steps shorter than the intervals of the front's timers."""
        for _ in range(round(seconds * 20)):
            self.reactor.advance(0.05)


def close_by_peer(connection: Any) -> None:
    """Close a connection from its other end."""
    connection.connectionLost(cast(Any, Failure)(ConnectionDone()))


def make_invite(call: str, number: str = "5", attrs: str = "dest:1;width:1;via:-1", wait_ms: str = "3000",
                body: bytes = b"offer", class_name: str = "ledger-read") -> bytes:
    """Return a set-up."""
    return sip.encode_message(f"INVITE sip:{number}@net SIP/2.0", [
        ("Call-ID", call), ("CSeq", "1 INVITE"), ("X-Tier", class_name), ("X-Deadline", wait_ms),
        ("X-Attrs", attrs)], body)


def response_statuses(transport: Any, call: str) -> list[int]:
    """Return the statuses of the responses with this call id or, for an empty id, of those without one."""
    responses = [m for m in sip.MessageDecoder().receive(transport.value()) if isinstance(m, sip.Message) and m.status]
    return [m.status for m in responses if m.headers.get("call-id", "") == call]


def released_calls(transport: Any) -> list[str]:
    """Return the ids of the calls released on a connection."""
    return [m.headers["call-id"] for m in sip.MessageDecoder().receive(transport.value())
            if isinstance(m, sip.Message) and m.method == "BYE"]
