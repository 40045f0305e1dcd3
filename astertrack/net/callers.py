"""The platform's front: SIP callers on TCP. Translates between wire.sip and the core; decides nothing."""

from __future__ import annotations

from collections import Counter
from typing import Any

import structlog
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from astertrack.core import Request, Router
from astertrack.net.base import Conversation
from astertrack.wire import sip
from astertrack.wire.common import Malformed, figures

log = structlog.get_logger()
REFUSED, FAILED, TERMINATED = 503, 500, 487
READ_MOST = 4096  # octets read from one connection at a turn: about ten set-ups


class CallerFront(Factory):
    """All connections from callers."""

    def __init__(self, router: Router, classes: dict[str, int], counts: Counter[str]) -> None:
        self.router, self.classes, self.counts = router, classes, counts
        self.connections: list[CallerConnection] = []
        self.releases: list[tuple[str, int]] = []  # to be told on the next connection: none is open

    def buildProtocol(self, addr: IAddress | None) -> CallerConnection:
        """Twisted's hook for a new connection."""
        return CallerConnection(self)

    def release(self, call: str, cause: int, preferred: CallerConnection | None = None) -> None:
        """Release a call that stood, on its own connection or any other: none owns it."""
        self.counts["sip_releases_sent"] += 1
        if preferred is not None and preferred in self.connections:
            preferred.release(call, cause)
        elif self.connections:
            self.connections[-1].release(call, cause)
        else:
            self.releases.append((call, cause))


class CallerConnection(Conversation):
    """One connection; the core's Caller for the calls that came on it."""

    def __init__(self, front: CallerFront) -> None:
        self.front, self.router, self.counts = front, front.router, front.counts
        self.machine = sip.Server()

    def connectionMade(self) -> None:
        """Twisted's hook: the connection is up."""
        super().connectionMade()
        # Answers leave when a turn of the event loop ends: in a burst, reads of 64 KiB kept them too long.
        transport: Any = self.transport
        transport.bufferSize = READ_MOST
        self.counts["sip_connections"] += 1
        self.front.connections.append(self)
        waiting, self.front.releases = self.front.releases, []
        for call, cause in waiting:
            self.release(call, cause)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted's hook: its callers have given up what is open on it; calls that stand go on."""
        if self in self.front.connections:
            self.front.connections.remove(self)
        for call in list(self.machine.open):
            del self.machine.open[call]
            self.router.cancel(call)

    def dataReceived(self, data: bytes) -> None:
        """Twisted's hook: bytes came."""
        for event in self.machine.receive(data):
            match event:
                case sip.SetUp():
                    self._set_up(event)
                case sip.GivenUp(call):
                    self.counts["sip_given_up"] += 1
                    if call in self.machine.open:
                        self.router.cancel(call)
                        self.machine.refuse(call, TERMINATED)
                case sip.HungUp(call, cause):
                    self.counts["sip_hung_up"] += 1
                    self.router.hang_up(call, cause)
                case sip.Acknowledged():
                    self.counts["sip_acknowledged"] += 1
                case Malformed(reason):
                    self.counts["sip_malformed"] += 1
                    log.warning("caller sent what cannot be read", reason=reason)
                    self._flush()
                    self.close()
        self._flush()

    def _set_up(self, event: sip.SetUp) -> None:
        self.counts["sip_set_ups"] += 1
        attrs = figures(event.attrs)
        service = self.front.classes.get(event.tier, -1)
        if service < 0 or "dest" not in attrs:
            self.counts["sip_unplaceable"] += 1
            self.failed(event.call)
            return
        deadline_us = self.router.now_us() + event.wait_ms * 1000
        request = Request(
            event.call, service, event.tier, int(attrs["dest"]), event.number, deadline_us, event.description,
            width=attrs.get("width", 1.0), transit=bool(attrs.get("transit")), via=int(attrs.get("via", -1)),
            cut_before=bool(attrs.get("again")))
        if not self.router.offer(request, self):
            log.warning("a call in hand was offered again", call=event.call)

    def answered(self, call: str, description: bytes) -> None:
        """The call stands."""
        if self.machine.answer(call, description):
            self.counts["sip_answers_sent"] += 1
        self._flush()

    def refused(self, call: str, wait_us: int) -> None:
        """Turned away; the caller is told when to return."""
        if self.machine.refuse(call, REFUSED, -(-wait_us // 1000)):
            self.counts["sip_refusals_sent"] += 1
        self._flush()

    def failed(self, call: str) -> None:
        """The call has failed."""
        if self.machine.refuse(call, FAILED):
            self.counts["sip_failures_sent"] += 1
        self._flush()

    def released(self, call: str, cause: int) -> None:
        """A call that stood is over."""
        self.front.release(call, cause, self)

    def release(self, call: str, cause: int) -> None:
        """Write a release here."""
        self.machine.release(call, cause)
        self._flush()

    def _flush(self) -> None:
        self.write(self.machine.take())
