"""Assembles a call router from its components, and controls its start and reload."""

from __future__ import annotations

import sys
from collections import Counter
from typing import Any

import structlog

from astertrack.config import Config, ConfigError, read_bulletin_address
from astertrack.core import Gate, Router
from astertrack.net.addresses import AddressOwners, Endpoint
from astertrack.net.apilink import ApiLink
from astertrack.net.base import listen
from astertrack.net.bulletin import Bulletin, read_event
from astertrack.net.callers import SipFront
from astertrack.net.clock import ReactorClock
from astertrack.net.draining import FrontDrain
from astertrack.net.links import Link
from astertrack.net.peers import PeerLink, PeerTable
from astertrack.net.release_confirmations import ReleaseConfirmations
from astertrack.net.websocket import ApiFront
from astertrack.parts import load_parts
from astertrack.parts.model import PartContext
from astertrack.stopping import ShutdownContext, ShutdownRunner
from astertrack.store import make_store
from astertrack.wire.callapi import ClientInfo
from astertrack.wire.common import MalformedError
from ospreylug import interface as io

log = structlog.get_logger()
LISTEN_BACKLOG = 512
# Fractions of the file descriptors that connections of SIP and of WebSocket callers may hold. Callers in use hold at
# most a third of all descriptors; the remainder of these fractions is for connections that never send anything.
SIP_DESCRIPTOR_RATIO, API_DESCRIPTOR_RATIO = 0.625, 0.125
# Peers beyond this fraction of the descriptors are not taken into the roster, but this many always are.
PEER_DESCRIPTOR_RATIO, MIN_MAX_PEERS = 0.2, 64


class App:
    """One call router."""

    def __init__(self, config: Config, reactor: Any) -> None:
        self.config, self.reactor = config, reactor
        self.counts: Counter[str] = Counter()
        self.clock = ReactorClock(reactor)
        self.store = make_store(config.gateway.store, config.gateway.database, reactor, self.counts)
        self.peers = PeerTable(self._make_link, config.settings.home, self.clock,
                               max(MIN_MAX_PEERS, int(config.sockets * PEER_DESCRIPTOR_RATIO)))
        self.address_owners = AddressOwners()
        self.confirmations = ReleaseConfirmations(self._is_release_pending)
        self.started_ms = self.clock.now_us() // 1000
        self.parts = load_parts(PartContext(config, reactor, self.clock, self.counts, self.peers))
        policies = [policy for part in self.parts for policy in part.policies()]
        self.router = Router(config.settings, config.seed, self.clock, self.peers, log.info, self.store.record,
                             self._release_orphan, Gate(policies, log.warning, self.counts, bool(policies)),
                             self.counts)
        self.sip_front = SipFront(self.router, self.clock, config.classes, self.counts,
                                  max(8, int(config.sockets * SIP_DESCRIPTOR_RATIO)), self.confirmations.update)
        self.destination_paths = {d.name: d.path for d in config.gateway.destinations}
        self.destinations = [Endpoint(d.address, io.Entry(d.name, d.number, d.zone))
                             for d in config.gateway.destinations]
        self.api_front: ApiFront | None = None
        self.listeners: list[Any] = []
        self.bulletin = Bulletin(config.bulletin, config.known_last, config.zones, config.kinds, self.clock,
                                 self.counts, lambda complete, changed: self._apply_roster(
                                     io.RosterKind.REPLACE if complete else io.RosterKind.UPDATE, changed))
        self.shutdown: ShutdownRunner | None = None

    def _make_link(self, endpoint: Endpoint) -> Link:
        name, dial_us = endpoint.entry.exchange, self.config.dial_us
        link: Link
        if name in self.destination_paths:
            link = ApiLink(name, endpoint.address, self.router, self.clock, self.counts, dial_us,
                           path=self.destination_paths[name], client=self._client_info(name),
                           confirmations=self.confirmations)
        else:
            link = PeerLink(name, endpoint.address, self.router, self.clock, self.counts, dial_us)
        link.dial()
        return link

    def _client_info(self, destination: str) -> ClientInfo:
        """Return how the router names itself at a destination. Its name and address stay the same after a restart."""
        config = self.config
        return ClientInfo(f"{config.name}@{config.host}:{config.port}/{destination}", self.started_ms)

    def _release_orphan(self, call_id: str, cause: int) -> None:
        """Release a call of the process before a restart towards its caller: a client of the API, or by SIP.

        Unless its client is known, callers of both kinds may have it.
        """
        if self.api_front is None or not self.api_front.release_orphan(call_id, cause):
            self.sip_front.releases.release(call_id, cause)

    def _is_release_pending(self, call_id: str) -> bool:
        """Return whether a caller is not known to have the release of a call.

        If it is not known who the caller is, the SIP front and the clients that may have placed the call decide.
        """
        return call_id in self.sip_front.releases.pending or (
            self.api_front is not None and self.api_front.is_release_pending(call_id))

    def start(self) -> None:
        """Load the peers of the configuration, start the parts, listen, and follow the bulletin."""
        config = self.config
        endpoints: dict[str, Endpoint] = {}  # by name
        for raw in config.known:
            try:
                _, complete, changed = read_event(raw, config.zones, config.kinds)
            except MalformedError as error:
                log.warning("known bulletin event is malformed", error=str(error))
                continue
            if complete:
                endpoints = {}
            endpoints.update({endpoint.entry.exchange: endpoint for endpoint in changed})
        initial_peers = [endpoint for endpoint in endpoints.values()
                         if not endpoint.is_gone]
        self._apply_roster(io.RosterKind.RESTORED, initial_peers)
        for part in self.parts:
            part.start(self.router)
        self.listeners.append(listen(self.reactor, config.host, config.port, self.sip_front, LISTEN_BACKLOG))
        if config.gateway.front is not None:
            host, port = config.gateway.front
            self.api_front = ApiFront(self.router, self.clock, config.classes, self.counts,
                                      config.gateway.path, max(8, int(config.sockets * API_DESCRIPTOR_RATIO)),
                                      self.confirmations.update, self.sip_front.releases.withdraw)
            self.listeners.append(listen(self.reactor, host, port, self.api_front, LISTEN_BACKLOG))
        self.bulletin.start()
        log.info("serving", name=config.name, host=config.host, port=config.port, peers=len(initial_peers))

    def _apply_roster(self, kind: io.RosterKind, endpoints: list[Endpoint]) -> None:
        if kind is not io.RosterKind.UPDATE:  # configured destinations belong to every complete list
            endpoints = [*(endpoint for endpoint in endpoints if endpoint.entry.exchange not in self.destination_paths),
                         *self.destinations]
        endpoints = self.address_owners.resolve(endpoints, complete=kind is not io.RosterKind.UPDATE)
        known_endpoints = endpoints
        endpoints = self.peers.admit(endpoints, complete=kind is not io.RosterKind.UPDATE)
        if len(endpoints) < len(known_endpoints):
            self.counts["peers_without_room"] += len(known_endpoints) - len(endpoints)
            log.warning("no room for further peers", room=self.peers.max_links, peers=len(known_endpoints))
        for endpoint in endpoints:
            log.info("peer", name=endpoint.entry.exchange, number=endpoint.entry.number, address=endpoint.address,
                     state=endpoint.entry.readiness.value, started_us=endpoint.entry.started_us)
        self.peers.add(endpoints)  # before set_roster, which may send queued calls to a new peer at once
        self.router.set_roster(io.RosterChange(kind, tuple(endpoint.entry for endpoint in endpoints)))
        self.peers.update(endpoints, complete=kind is not io.RosterKind.UPDATE)

    def reload(self) -> None:
        """Reload the parts, and follow the bulletin that the configuration names now; invalid files change nothing."""
        for part in self.parts:
            part.reload()
        try:
            address = read_bulletin_address()
        except ConfigError as error:
            self.counts["reloads_failed"] += 1
            log.warning("configuration not taken over", error=str(error))
            return
        self.counts["reloads"] += 1
        log.info("configuration taken over", bulletin=address)
        if address:
            self.bulletin.switch_address(address)

    def stop(self, requested_us: int | None = None) -> None:
        """Shut down, counting from a time in Unix microseconds, or from now. Further calls do nothing."""
        if self.shutdown is None:
            self.shutdown = ShutdownRunner(self._shutdown_context(), requested_us or self.clock.now_us())
            self.shutdown.start()

    def _shutdown_context(self) -> ShutdownContext:
        fronts = [FrontDrain(self.sip_front.connections, self.sip_front.queues)]
        if self.api_front is not None:
            fronts.append(FrontDrain(self.api_front.connections, self.api_front.queues))
        return ShutdownContext(self.router, self.peers, self.clock, self.reactor, self.counts, self.listeners, fronts,
                               self.parts, self.store, self.print_counts)

    def print_counts(self) -> None:
        """Print the counters as one line on standard error."""
        self.counts["store_waiting"] = self.store.pending_count()
        for part in self.parts:
            part.update_counters()
        counters = " ".join(f"{name}={self.counts[name]}" for name in sorted(self.counts))
        print(f"counters calls_in_hand={len(self.router.calls)} {counters}", file=sys.stderr, flush=True)
