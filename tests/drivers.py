"""The one helper of the tests of drivers: a transport and a clock of the test's own."""

from __future__ import annotations

from collections import Counter
from typing import Any, cast

from test_router import RouterHarness
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from astertrack.net.callers import CallerFront
from astertrack.net.clock import ReactorClock
from astertrack.wire import sip


class Abortable(StringTransport):
    """A transport that takes note of its abort."""

    aborted = False

    def abortConnection(self) -> None:
        """Twisted's name for dropping a connection."""
        self.aborted = True

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Not a socket."""

    @property
    def ended(self) -> bool:
        """Whether the program has ended the connection."""
        return self.aborted or self.disconnecting


class Seconds(ReactorClock):
    """The reactor's clock taken for the Unix clock."""

    def now_us(self) -> int:
        """Return the instant."""
        return round(float(self.reactor.seconds()) * 1e6)


class Callers:
    """The SIP front on a clock of its own, before a router whose peers only take note."""

    def __init__(self, most: int = 100) -> None:
        self.reactor, self.harness, self.counts = Clock(), RouterHarness(), Counter[str]()
        self.front = CallerFront(self.harness.router, Seconds(self.reactor), {"ledger-read": 0}, self.counts,
                                 most)

    def connect(self) -> tuple[Any, Any]:
        """A connection and its transport."""
        connection, transport = cast(Any, self.front.buildProtocol(None)), cast(Any, Abortable)()
        connection.makeConnection(transport)
        return connection, transport

    def pass_time(self, seconds: float) -> None:
        """Let time pass, in steps as short as the front's own."""
        for _ in range(round(seconds * 20)):
            self.reactor.advance(0.05)


def ended(connection: Any) -> None:
    """The other end has closed."""
    connection.connectionLost(cast(Any, Failure)(ConnectionDone()))


def invite(call: str, number: str = "5", attrs: str = "dest:1;width:1;via:-1", wait_ms: str = "3000",
           body: bytes = b"offer", tier: str = "ledger-read") -> bytes:
    """A set-up."""
    return sip.encode(f"INVITE sip:{number}@net SIP/2.0", [
        ("Call-ID", call), ("CSeq", "1 INVITE"), ("X-Tier", tier), ("X-Deadline", wait_ms),
        ("X-Attrs", attrs)], body)


def statuses(transport: Any, call: str) -> list[int]:
    """The statuses of the answers to this set-up, or of all responses to no set-up."""
    told = [m for m in sip.Stream().receive(transport.value()) if isinstance(m, sip.Message) and m.status]
    return [m.status for m in told if m.headers.get("call-id", "") == call]


def releases(transport: Any) -> list[str]:
    """The calls released here."""
    return [m.headers["call-id"] for m in sip.Stream().receive(transport.value())
            if isinstance(m, sip.Message) and m.method == "BYE"]
