"""The way to one peer: a connection kept up while the peer is in service or holds calls of ours."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import structlog
from twisted.internet.error import ConnectionDone, ConnectionRefusedError, UserError
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from astertrack.core import AttemptEnd, Request, Router
from astertrack.core.model import Timer
from astertrack.net.base import Conversation, failed_as
from astertrack.net.clock import ReactorClock
from ospreylug import interface as io

log = structlog.get_logger()
REDIAL_US = 500_000  # between dials to a peer that does not answer


class Dialler(ClientFactory):
    """One attempt to connect."""

    noisy = False

    def __init__(self, make: Callable[[], Protocol], failed: Callable[[bool], None]) -> None:
        self.make, self.failed = make, failed

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        """Twisted's hook for a connection that came up."""
        return self.make()

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        """Twisted's hook for one that did not."""
        if not failed_as(reason, UserError):  # stopped by ourselves
            self.failed(failed_as(reason, ConnectionRefusedError))


@dataclass(eq=False)
class Link:
    """What is known of the way to one peer. Its kinds say how it is spoken to."""

    name: str
    address: str
    router: Router
    clock: ReactorClock
    counts: Counter[str]
    dial_us: int  # a connection not up after so long has failed
    connection: Conversation | None = None
    retired: bool = False
    waiting: dict[str, tuple[Request, int]] = field(default_factory=dict)  # set-ups for when it is up
    open: set[str] = field(default_factory=set)  # set-ups written on the connection and not ended
    owed: list[tuple[str, int, bool]] = field(default_factory=list)  # releases for when it is up
    _dialling: Any = None
    _redial: Timer | None = None

    # ---- what the kinds say

    def converse(self) -> Conversation:
        """Make the protocol of a new connection; it calls connected and disconnected."""
        raise NotImplementedError

    def send_set_up(self, request: Request, deadline_us: int) -> None:
        """Write a set-up."""
        raise NotImplementedError

    def send_release(self, call: str, cause: int, answered: bool) -> None:
        """Write that a set-up is given up or, where it was answered, that the call is released."""
        raise NotImplementedError

    def probe(self) -> None:
        """Test the peer."""
        raise NotImplementedError

    def resumed(self) -> None:
        """The connection is up again: ask for what became of the calls that stand."""

    # ---- the connection

    def dial(self) -> None:
        """Connect, unless a connection is up or coming."""
        if self.connection is not None or self._dialling is not None or not self.wanted():
            return
        host, _, port = self.address.rpartition(":")
        self.counts["peer_dials"] += 1
        self._dialling = self.clock.reactor.connectTCP(
            host, int(port), Dialler(self.converse, self.dial_failed), timeout=self.dial_us / 1e6)

    def wanted(self) -> bool:
        """Whether the connection serves a purpose: calls that stand are heard of on it."""
        return not self.retired or bool(self.waiting or self.owed) or self.name in self.router.at_peer

    def connected(self, connection: Conversation) -> None:
        """The connection is up: send what waits for it."""
        self.connection, self._dialling = connection, None
        self.counts["peer_connections"] += 1
        owed, self.owed = self.owed, []
        for call, cause, answered in owed:
            self.send_release(call, cause, answered)
        self.resumed()
        waiting, self.waiting = self.waiting, {}
        for request, deadline_us in waiting.values():
            self.set_up(request, deadline_us)

    def dial_failed(self, refused: bool) -> None:
        """Nothing runs there, or nothing answers: what waited never left."""
        self._dialling = None
        self.counts["peer_dials_refused" if refused else "peer_dials_timed_out"] += 1
        waiting, self.waiting = self.waiting, {}
        if refused:
            self.owed.clear()
            self.router.peer_lost(self.name)  # no process, so none of its calls
        for call in waiting:
            self.router.ended(self.name, call, AttemptEnd(io.Outcome.UNREACHABLE))
        self._dial_later()

    def disconnected(self, connection: Conversation, reason: Failure) -> None:
        """The connection has ended, and with it the set-ups that were open on it."""
        if connection is not self.connection:
            if self.connection is None:  # it ended before it could be used
                self.dial_failed(refused=False)
            return
        self.connection = None
        clean = failed_as(reason, ConnectionDone)
        self.counts["peer_closes" if clean else "peer_resets"] += 1
        opened, self.open = self.open, set()
        if not clean:
            log.warning("peer reset its connection", peer=self.name,
                        calls=len(self.router.at_peer.get(self.name, ())))
            self.reset()
        for call in opened:
            self.router.ended(self.name, call, AttemptEnd(io.Outcome.CUT))
        if clean:
            self.dial()  # what concerns calls that stand is told on the next connection
        else:
            self._dial_later()

    def reset(self) -> None:
        """The peer reset the connection: a process that dies does so, and cuts its calls."""
        self.router.peer_lost(self.name)

    def _dial_later(self) -> None:
        if self._redial is None and self.wanted():
            def again() -> None:
                self._redial = None
                self.dial()
            self._redial = self.clock.at(self.clock.now_us() + REDIAL_US, again)

    def retire(self) -> None:
        """The peer has left the list: its connection is closed once no call needs it."""
        self.retired = True
        if self.connection is not None and not self.wanted():
            self.connection.close()

    # ---- calls

    def set_up(self, request: Request, deadline_us: int) -> None:
        """Send a set-up, once the connection is up."""
        if self.connection is None:
            self.waiting[request.call] = (request, deadline_us)
            self.dial()
            return
        self.counts["peer_set_ups_sent"] += 1
        self.open.add(request.call)
        self.send_set_up(request, deadline_us)

    def release(self, call: str, cause: int) -> None:
        """Give up a set-up, or release a call that stands."""
        if self.waiting.pop(call, None) is not None:
            return
        answered = call not in self.open
        self.open.discard(call)
        if self.connection is not None:
            self.counts["peer_releases_sent"] += 1
            self.send_release(call, cause, answered)
        elif answered:  # the call would stay up there, and hold its circuits
            self.owed.append((call, cause, answered))
            self.dial()
