"""Puts the parts of one call router together."""

from __future__ import annotations

import os
import sys
from collections import Counter
from typing import Any

import structlog

from astertrack.config import Config, ConfigError, read_bulletin_address
from astertrack.core import Gate, Router
from astertrack.net.apilink import ApiLink
from astertrack.net.bulletin import Bulletin, read_event
from astertrack.net.callers import CallerFront
from astertrack.net.clock import ReactorClock
from astertrack.net.links import Link
from astertrack.net.peers import Endpoint, PeerLink, PeerTable
from astertrack.net.websocket import CallFront
from astertrack.parts import load_parts
from astertrack.parts.model import PartContext
from astertrack.store import make_store
from astertrack.wire.common import MalformedError
from ospreylug import interface as io

log = structlog.get_logger()
LAST_CALLERS_US = 900_000  # after SIGTERM connections and set-ups still come: 0.4 s and 0.2 s, with some room
STANDING_US = 3_200_000  # how long the program's end waits for calls that stand; SIGKILL comes after 3.7 s
CHECK_US = 50_000  # how often it is looked whether all calls are over
STORE_US = 2_000_000  # how long the program's end waits for the store
LISTEN_BACKLOG = 512
# Of the descriptors: callers keep a third at most, and the rest is for those who connect and say nothing.
CALLERS_SHARE, API_SHARE = 0.625, 0.125


class App:
    """One call router."""

    def __init__(self, config: Config, reactor: Any) -> None:
        self.config, self.reactor = config, reactor
        self.counts: Counter[str] = Counter()
        self.clock = ReactorClock(reactor)
        self.store = make_store(config.gateway.store, config.gateway.database, reactor, self.counts)
        self.peers = PeerTable(self._link, config.settings.home, self.clock)
        self.parts = load_parts(PartContext(config, reactor, self.clock, self.counts, self.peers))
        policies = [policy for part in self.parts for policy in part.policies()]
        self.router = Router(config.settings, config.seed, self.clock, self.peers, log.info, self.store.record,
                             self._orphaned, Gate(policies, log.warning, self.counts, bool(policies)), self.counts)
        self.front = CallerFront(self.router, self.clock, config.classes, self.counts,
                                 max(8, int(config.sockets * CALLERS_SHARE)))
        self.paths = {d.name: d.path for d in config.gateway.destinations}
        self.destinations = [Endpoint(d.address, io.Entry(d.name, d.number, d.zone))
                             for d in config.gateway.destinations]
        self.call_front: CallFront | None = None
        self.ports: list[Any] = []
        self.bulletin = Bulletin(config.bulletin, config.known_last, config.zones, config.kinds, self.clock,
                                 self.counts, lambda complete, changed: self._roster(
                                     io.RosterKind.REPLACE if complete else io.RosterKind.UPDATE, changed))
        self.stop_us: int | None = None  # when it was told to stop

    def _link(self, endpoint: Endpoint) -> Link:
        name, dial_us = endpoint.entry.exchange, self.config.dial_us
        link: Link
        if name in self.paths:
            link = ApiLink(name, endpoint.address, self.router, self.clock, self.counts, dial_us,
                           path=self.paths[name])
        else:
            link = PeerLink(name, endpoint.address, self.router, self.clock, self.counts, dial_us)
        link.dial()
        return link

    def _orphaned(self, call: str, cause: int) -> None:
        """A call of the process before a restart is over."""
        self.front.release(call, cause)

    def start(self) -> None:
        """Learn the peers, listen, and follow the bulletin."""
        config = self.config
        endpoints: dict[str, Endpoint] = {}
        for raw in config.known:
            try:
                _, complete, changed = read_event(raw, config.zones, config.kinds)
            except MalformedError as wrong:
                log.warning("known event that cannot be read", error=str(wrong))
                continue
            if complete:
                endpoints = {}
            endpoints.update({e.entry.exchange: e for e in changed})
        listed = [e for e in endpoints.values() if e.entry.readiness is not io.Readiness.GONE]
        self._roster(io.RosterKind.RESTORED, listed)
        for part in self.parts:
            part.start(self.router)
        self.ports.append(self.reactor.listenTCP(
            config.port, self.front, backlog=LISTEN_BACKLOG, interface=config.host))
        if config.gateway.front is not None:
            host, port = config.gateway.front
            self.call_front = CallFront(self.router, self.clock, config.classes, self.counts,
                                        config.gateway.path, max(8, int(config.sockets * API_SHARE)))
            self.ports.append(self.reactor.listenTCP(
                port, self.call_front, backlog=LISTEN_BACKLOG, interface=host))
        if config.bulletin:
            self.bulletin.dial()
        log.info("serving", name=config.name, host=config.host, port=config.port, peers=len(listed))

    def _roster(self, kind: io.RosterKind, endpoints: list[Endpoint]) -> None:
        if kind is not io.RosterKind.UPDATE:  # our own destinations are in every complete list
            endpoints = [*(e for e in endpoints if e.entry.exchange not in self.paths), *self.destinations]
        for e in endpoints:
            log.info("peer", name=e.entry.exchange, number=e.entry.number, address=e.address,
                     state=e.entry.readiness.value, started_us=e.entry.started_us)
        self.peers.add(endpoints)  # first: the news may free calls, which may go to a new peer at once
        self.router.set_roster(io.RosterChange(kind, tuple(e.entry for e in endpoints)))
        self.peers.update(endpoints, complete=kind is not io.RosterKind.UPDATE)

    def reload(self) -> None:
        """Follow the bulletin that the configuration now names; a file that is no good changes nothing."""
        for part in self.parts:
            part.reload()
        try:
            address = read_bulletin_address()
        except ConfigError as wrong:
            self.counts["reloads_failed"] += 1
            log.warning("configuration not taken over", error=str(wrong))
            return
        self.counts["reloads"] += 1
        log.info("configuration taken over", bulletin=address)
        if address:
            self.bulletin.switch_address(address)

    def stop(self) -> None:
        """Finish what is taken, and take what still comes, as the platform has it at a planned restart."""
        if self.stop_us is not None:
            return
        self.stop_us = self.clock.now_us()
        log.info("stopping", calls=len(self.router.calls), unanswered=self.router.count_unanswered())
        self.clock.call_at(self.clock.now_us() + LAST_CALLERS_US, self._close)

    def _close(self) -> None:
        for port in self.ports:
            port.stopListening()
        for part in self.parts:
            part.stop()
        self._finish()

    def _finish(self) -> None:
        # Calls that stand need no router: peers release them to the next one. Ends are passed on for a while,
        # but not until the platform's SIGKILL, which would leave the store and the counters unwritten.
        standing = self.router.calls and self.clock.now_us() < (self.stop_us or 0) + STANDING_US
        if standing or self.router.count_unanswered():
            self.clock.call_at(self.clock.now_us() + CHECK_US, self._finish)
        elif self.reactor.running:
            for session in list(self.call_front.sessions) if self.call_front is not None else ():
                session.close_going_away()
            for connection in list(self.front.connections):
                connection.close()
            self.clock.call_at(self.clock.now_us() + STORE_US, self._abandon_store)
            self.store.close().addCallback(
                lambda _: self.clock.call_at(self.clock.now_us() + CHECK_US, self.reactor.stop))

    def _abandon_store(self) -> None:
        """Guards the end against a store that hangs: its thread cannot be stopped."""
        log.warning("the store did not finish in time")
        self.print_counts()
        os._exit(0)

    def print_counts(self) -> None:
        """Print the counters, one line."""
        self.counts["store_waiting"] = self.store.pending_count()
        for part in self.parts:
            part.update_counters()
        figures = " ".join(f"{name}={self.counts[name]}" for name in sorted(self.counts))
        print(f"counters calls_in_hand={len(self.router.calls)} {figures}", file=sys.stderr, flush=True)
