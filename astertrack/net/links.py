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

from astertrack.core import NORMAL_CLEARING, TEMPORARY_FAILURE, AttemptEnd, Request, Router
from astertrack.core.model import Timer
from astertrack.net.base import StreamProtocol, failed_as
from astertrack.net.clock import ReactorClock
from ospreylug import interface as io

log = structlog.get_logger()
REDIAL_US = 250_000  # between dials to a peer that does not answer
YOUNG_US = 100_000  # a connection that ended so soon is not dialled again at once
REFUSALS = 2  # dials refused in a row: one may be a mishap, as a reset may be; two are a process that is gone
QUIET_US = 250_000  # a peer from which nothing came for so long is tested: usually it tells of its groups
SILENT_US = 650_000  # and without a word to that its connection is given up: another may work
LOST_US = 6_750_000  # calls that stood there are released: they must be 8 s after their end, if unheard
WATCH_US = 100_000  # how often it is looked
OWED_US = 250_000  # how long the end of a broken set-up is worth telling: it may be sent again after 300 ms


class DialFactory(ClientFactory):
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
    connection: StreamProtocol | None = None
    retired: bool = False
    waiting: dict[str, tuple[Request, int]] = field(default_factory=dict)  # set-ups for when it is up
    open: set[str] = field(default_factory=set)  # set-ups written on the connection and not ended
    owed: list[tuple[str, int, bool, int]] = field(default_factory=list)  # releases for when it is up, since
    broken: io.Outcome = io.Outcome.CUT  # how set-ups end whose connection did
    _dialling: Any = None
    _refusals: int = 0
    _up_us: int = 0
    _heard_us: int = 0  # when the latest bytes came
    _asked: bool = False  # whether it was tested since
    _redial: Timer | None = None

    # ---- what the kinds say

    def converse(self) -> StreamProtocol:
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

    def alive(self) -> None:
        """Bytes came from the peer."""
        self._heard_us, self._asked = self.clock.now_us(), False

    def is_healthy(self) -> bool:
        """Whether the peer has been heard of late: silent ones are tested, and sound ones answer that."""
        return self.connection is not None and self.clock.now_us() - self._heard_us <= SILENT_US

    def watch(self) -> None:
        """Notice a peer that says nothing: a connection may stay open though nothing comes on it any more.

        Guards the set-ups behind it, and the calls that stand there: they end unheard, and are to be released
        towards their callers all the same.
        """
        now = self.clock.now_us()
        if self.connection is not None and now - max(self._heard_us, self._up_us) > SILENT_US:
            self.counts["peer_silent"] += 1
            self.drop(self.connection)
        elif self.connection is not None and now - self._heard_us > QUIET_US and not self._asked:
            self._asked = True
            self.probe()
        if now - self._heard_us > LOST_US and (calls := self.router.on_peer_lost(self.name)):
            log.warning("calls at a silent peer are given up", peer=self.name, calls=len(calls))
            self.owed += [(call, TEMPORARY_FAILURE, True, now) for call in calls]

    def dial(self) -> None:
        """Connect, unless a connection is up or coming."""
        if self.connection is not None or self._dialling is not None or not self.wanted():
            return
        host, _, port = self.address.rpartition(":")
        self.counts["peer_dials"] += 1
        self._dialling = self.clock.reactor.connectTCP(
            host, int(port), DialFactory(self.converse, self.dial_failed), timeout=self.dial_us / 1e6)

    def wanted(self) -> bool:
        """Whether the connection serves a purpose: calls that stand are heard of on it."""
        return not self.retired

    def connected(self, connection: StreamProtocol) -> None:
        """The connection is up: send what waits for it."""
        if self.retired:
            connection.done = True
            connection.abort()
            return
        self.connection, self._dialling, self._refusals = connection, None, 0
        self._up_us = now = self.clock.now_us()
        self.counts["peer_connections"] += 1
        owed, self.owed = self.owed, []
        for call, cause, answered, since_us in owed:
            if answered or now - since_us < OWED_US:
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
        self._refusals = self._refusals + 1 if refused else 0
        if self._refusals >= REFUSALS:
            self.owed.clear()
            self.router.on_peer_lost(self.name)  # no process, so none of its calls
        for call in waiting:
            self.router.on_ended(self.name, call, AttemptEnd(io.Outcome.UNREACHABLE))
        self._dial_later()

    def disconnected(self, connection: StreamProtocol, reason: Failure) -> None:
        """The connection has ended, and with it the set-ups that were open on it."""
        self.leave(connection, "peer_closes" if failed_as(reason, ConnectionDone) else "peer_resets")

    def drop(self, connection: StreamProtocol) -> None:
        """Give up a connection on which something came spoilt or cut off: no more can be read on it."""
        connection.abort()
        self.leave(connection, "peer_drops")

    def leave(self, connection: StreamProtocol, why: str = "peer_closes") -> None:
        """Count a connection as ended now: its close may wait, and set-ups must not be sent on it."""
        if connection.done:
            return
        connection.done = True
        if connection is self.connection:
            self._ended(why)
        elif self.connection is None:  # it ended before it could be used
            self.dial_failed(refused=False)

    def _ended(self, why: str) -> None:
        """The connection is no more. What stands goes on: no connection owns a call that stands.

        Guards those calls against a reset, which alone does not prove that the process died: if it did, the
        next dials are refused, or the bulletin tells. A set-up that was open may have been answered unheard:
        the peer is told that it is over, or it would hold circuits for nobody.
        """
        self.connection = None
        self.counts[why] += 1
        now = self.clock.now_us()
        opened, self.open = self.open, set()
        if why != "peer_closes":
            log.warning("connection to a peer ended", peer=self.name, why=why, set_ups=len(opened))
        self.owed += [(call, NORMAL_CLEARING, False, now) for call in opened]
        for call in opened:
            self.router.on_ended(self.name, call, AttemptEnd(self.broken))
        if now - self._up_us < YOUNG_US:
            self._dial_later()
        else:
            self.dial()  # what concerns calls that stand is told on the next connection

    def _dial_later(self) -> None:
        if self._redial is None and self.wanted():
            def again() -> None:
                self._redial = None
                self.dial()
            self._redial = self.clock.call_at(self.clock.now_us() + REDIAL_US, again)

    def retire(self) -> None:
        """The peer has left the list: nothing of it is kept, and nothing more is said to it.

        Guards against links to machines long gone, which would dial for ever.
        """
        self.retired = True
        self.owed.clear()
        if self._redial is not None:
            self._redial.cancel()
            self._redial = None
        if self._dialling is not None and self._dialling.state == "connecting":
            self._dialling.stopConnecting()
        self._dialling = None
        waiting, self.waiting = self.waiting, {}
        for call in waiting:
            self.router.on_ended(self.name, call, AttemptEnd(io.Outcome.UNREACHABLE))
        if self.connection is not None:
            self.drop(self.connection)
            self.owed.clear()

    # ---- calls

    def set_up(self, request: Request, deadline_us: int) -> None:
        """Send a set-up, once the connection is up."""
        if self.retired:
            self.router.on_ended(self.name, request.call_id, AttemptEnd(io.Outcome.UNREACHABLE))
            return
        if self.connection is None:
            self.waiting[request.call_id] = (request, deadline_us)
            self.dial()
            return
        self.counts["peer_set_ups_sent"] += 1
        try:
            self.send_set_up(request, deadline_us)
        except ValueError as wrong:  # no message holds it: it costs this call, not the others of its caller
            log.warning("set-up that cannot be sent", peer=self.name, call=request.call_id, error=str(wrong))
            self.router.on_ended(self.name, request.call_id, AttemptEnd(io.Outcome.NUMBER_FAULT))
            return
        self.open.add(request.call_id)

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
            self.owed.append((call, cause, answered, self.clock.now_us()))
            self.dial()
