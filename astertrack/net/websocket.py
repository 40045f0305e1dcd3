"""The WebSocket front: callers that speak the call-control API over WebSocket (docs/call-control.md).

No connection owns a call. A set-up without an answer is cancelled when its connection closes. An established call goes
on, and its release is sent to the client that resumes it, also if the router has restarted since its set-up. A client
that has given a name is sent its releases on any connection (astertrack/net/client_releases.py).
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from astertrack.core import Request, Router
from astertrack.net.client_connection import ClientConnection
from astertrack.net.client_releases import ClientIdentity, ClientReleases
from astertrack.net.clock import ReactorClock
from astertrack.net.ended_calls import EndedCalls
from astertrack.net.input_queue import QueueScheduler
from astertrack.net.pacing import RETRY_WAIT_US, UNKNOWN_RELEASE_COST
from astertrack.net.resumed_orphans import ResumedOrphans
from astertrack.wire import callapi as api

SWEEP_INTERVAL_US = 5_000_000  # between removals of ended calls
CHECK_INTERVAL_US = 250_000  # between checks of the connections
MAX_CONNECTIONS = 256
# With these messages a call ends. An answer is final for the set-up only: the call is established after it.
ENDING_MESSAGES = (api.Refused, api.Failed, api.Cancelled, api.Released)


@dataclass(slots=True, eq=False)
class ApiCall:
    """A call of this front: its set-up, the latest message about it, and the connection that is sent the next one."""

    connection: ClientConnection | None
    last_message: api.Message
    # Of the set-up; None: unknown, since the call was set up before a restart, and has ended after it.
    digest: bytes | None
    client: ClientIdentity | None = None  # that is sent its release on any connection; None: it gave no name
    is_ended: bool = False

    @property
    def awaits_resume(self) -> bool:
        """Whether the call was released, and its client has to ask for that: it has no connection and no name."""
        return isinstance(self.last_message, api.Released) and self.connection is None and self.client is None

    @property
    def is_unclaimed_orphan(self) -> bool:
        """Whether the call was released, and the previous process set it up for a client that has not resumed it."""
        return self.awaits_resume and self.digest is None

    def belongs_to(self, connection: ClientConnection) -> bool:
        """Return whether the client on this connection placed or resumed the call, as far as can be known."""
        if self.client is not None:
            return self.client == connection.client
        return self.connection is None or self.connection is connection

    def has_other_fields(self, set_up: api.SetUp) -> bool:
        """Return whether a set-up with the same id is for a different call: any field but two differs."""
        return self.digest is not None and digest_of(set_up) != self.digest


def digest_of(set_up: api.SetUp) -> bytes:
    """Return a digest of all fields but two, which may differ in a repeated set-up."""
    text = api.encode_message(replace(set_up, deadline=0, new_id=False))
    return hashlib.blake2b(text.encode(), digest_size=16).digest()


class ApiFront(Factory):
    """All connections from clients. Implements the core's Caller port for the calls that arrived on any of them."""

    def __init__(self, router: Router, clock: ReactorClock, classes: dict[str, int], counts: Counter[str],
                 path: str, max_connections: int = MAX_CONNECTIONS,
                 on_release_settled: Callable[[str], None] = lambda call_id: None,
                 on_orphan_resumed: Callable[[str], None] = lambda call_id: None) -> None:
        self.router, self.clock, self.classes, self.counts, self.path = router, clock, classes, counts, path
        self.on_release_settled, self.on_orphan_resumed = on_release_settled, on_orphan_resumed
        self.max_connections = min(max_connections, MAX_CONNECTIONS)
        self.connections: set[ClientConnection] = set()
        self.calls: dict[str, ApiCall] = {}
        self.ended_calls = EndedCalls(self._forget)
        self.queues = QueueScheduler(clock)
        self.orphans = ResumedOrphans(counts)
        self.releases = ClientReleases(clock, counts, router.orphans.window_us, on_release_settled)
        self.clock.call_at(self.clock.now_us() + SWEEP_INTERVAL_US, self._sweep)
        self.clock.call_at(self.clock.now_us() + CHECK_INTERVAL_US, self._check_connections)

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:
        """Called by Twisted when a connection is accepted; None refuses it."""
        if len(self.connections) >= self.max_connections:
            self.counts["ws_connections_refused"] += 1
            return None
        return ClientConnection(self, getattr(addr, "host", ""))

    def _sweep(self) -> None:
        """Forget the calls whose retention period has expired."""
        now = self.clock.now_us()
        self.ended_calls.expire(now)
        self.releases.expire()
        self.clock.call_at(now + SWEEP_INTERVAL_US, self._sweep)

    def _forget(self, call_id: str) -> None:
        connection = self.calls.pop(call_id).connection
        if connection is not None:
            connection.call_ids.discard(call_id)

    def _check_connections(self) -> None:
        """Close connections that are unresponsive or do not complete a message."""
        now = self.clock.now_us()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self.clock.call_at(now + CHECK_INTERVAL_US, self._check_connections)

    # ---- messages from clients

    def on_request(self, connection: ClientConnection, request: api.Request) -> None:
        """Process a message from a client. Raises InvalidMessageError if the call's state rules it out."""
        call = self.calls.get(request.id)
        match request:
            case api.SetUp():
                self._on_set_up(connection, request, call)
            case api.Resume():
                self._on_resume(connection, request, call)
            case api.Release():
                self._on_release(connection, request, call)
            case api.Cancel():
                self._on_cancel(connection, request.id, call)
            case api.Confirm():
                if connection.client is not None:
                    self.releases.confirm(connection.client, request.id)

    def is_release_pending(self, call_id: str) -> bool:
        """Return whether a client has not been sent, or has not confirmed, the release of this call."""
        call = self.calls.get(call_id)
        if call is not None and call.awaits_resume and not call.is_unclaimed_orphan:
            return True
        return self.releases.is_pending(call_id)

    def _on_set_up(self, connection: ClientConnection, set_up: api.SetUp, call: ApiCall | None) -> None:
        # A router that has restarted releases an id at its destinations before it sends the set-up.
        is_new = set_up.new_id and call is not None and call.digest is None
        if call is None or is_new:
            self._set_up(connection, set_up)
        elif call.has_other_fields(set_up):
            # A different call under an id in use must affect neither the existing call nor its client.
            raise api.InvalidMessageError("id-in-use", "another call has this id", set_up.id)
        else:
            self._send_state(connection, set_up.id, call)

    def _on_resume(self, connection: ClientConnection, request: api.Resume, call: ApiCall | None) -> None:
        call_id = request.id
        if call is not None:
            self._send_state(connection, call_id, call)
        elif self.router.orphans.may_stand(call_id) and self.orphans.has_room():
            self.orphans.resume(call_id, connection)
            connection.call_ids.add(call_id)
            connection.send_message(api.Unconfirmed(call_id))
            if request.peer is not None and not self.router.place_orphan(call_id, request.peer):
                connection.input.spend(UNKNOWN_RELEASE_COST - 1)
        else:
            raise api.InvalidMessageError("unknown-call", "no such call", call_id)

    def _send_state(self, connection: ClientConnection, call_id: str, call: ApiCall) -> None:
        """Answer a repeated request, possibly on a new connection: it causes no second set-up."""
        self.counts["ws_repeats"] += 1
        if call.is_unclaimed_orphan:
            self.releases.withdraw(call_id)
            self.on_orphan_resumed(call_id)
        self._move_call(call_id, call, connection, connection.client)
        self._send_last_message(call_id, call)
        self.on_release_settled(call_id)

    @staticmethod
    def _move_call(call_id: str, call: ApiCall, connection: ClientConnection, client: ClientIdentity | None) -> None:
        """Send further messages about a call on this connection."""
        if call.connection is not None:
            call.connection.call_ids.discard(call_id)
        call.connection, call.client = connection, client
        connection.call_ids.add(call_id)

    def _on_release(self, connection: ClientConnection, release: api.Release, call: ApiCall | None) -> None:
        call_id = release.id
        if call is None and not self.router.orphans.is_unknown(call_id):  # it ended long ago, or is another caller's
            raise api.InvalidMessageError("unknown-call", "no such call", call_id)
        if call is not None and call.is_ended:
            connection.send_message(call.last_message)
        elif not self.router.release_call(call_id, release.cause):
            raise api.InvalidMessageError("not-standing", "the call is not answered: cancel it", call_id)
        elif call is not None:
            if call.belongs_to(connection):
                self._move_call(call_id, call, connection, None)  # it need not confirm its own release
            self._update_call(call_id, api.Released(call_id, release.cause))
        else:  # set up before a restart
            connection.input.spend(UNKNOWN_RELEASE_COST - 1)
            call = self._take_orphan(call_id, release.cause)
            if call.belongs_to(connection):
                self._move_call(call_id, call, connection, None)
            else:
                connection.send_message(call.last_message)
            self._update_call(call_id, call.last_message)

    def _on_cancel(self, connection: ClientConnection, call_id: str, call: ApiCall | None) -> None:
        if call is None:
            # The answer to its set-up may have been lost with the previous process.
            if self.router.orphan_releases.release_if_orphan(call_id):
                connection.input.spend(UNKNOWN_RELEASE_COST - 1)
            raise api.InvalidMessageError("unknown-call", "no such call", call_id)
        if self.router.cancel(call_id):
            self._update_call(call_id, api.Cancelled(call_id))
        else:  # the cancel crossed the answer or is a repeat: the client is sent the call's state again
            connection.send_message(call.last_message)

    def release_orphan(self, call_id: str, cause: int) -> bool:
        """Release a call that the previous process set up; return whether its client is known."""
        call = self._take_orphan(call_id, cause)
        self._update_call(call_id, call.last_message)
        if call.is_unclaimed_orphan:
            self.releases.release_unclaimed(call_id, cause)
            return False
        return True

    def _take_orphan(self, call_id: str, cause: int) -> ApiCall:
        """Remember the end of a call from before a restart like that of any call, for the client that resumed it."""
        owner = self.orphans.take(call_id)
        call = self.calls[call_id] = ApiCall(owner.connection, api.Released(call_id, cause), None, owner.client)
        return call

    def _set_up(self, connection: ClientConnection, message: api.SetUp) -> None:
        service = self.classes.get(message.service)
        if service is None:
            raise api.InvalidMessageError("unknown-class", "no such class of call", message.id)
        if message.dest < 0 and not self.router.gate.resolves_destination:
            raise api.InvalidMessageError(
                "bad-field", "field dest is needed: there is no plan to find it by", message.id)
        if message.id in self.router.calls:
            raise api.InvalidMessageError("id-in-use", "another caller's call has this id", message.id)
        now = self.router.now_us()
        if not connection.set_up_bucket.take(now):
            # It is not remembered: a repeat is a new set-up, and nothing was sent to a peer.
            self.counts["ws_refused_over_rate"] += 1
            connection.send_message(api.Refused(message.id, RETRY_WAIT_US // 1000, "over-rate"))
            return
        if self.ended_calls.may_have_forgotten(now) and not self.router.orphans.is_unknown(message.id):
            # Its end may be forgotten already: it must not be set up a second time.
            connection.send_message(api.Refused(message.id, RETRY_WAIT_US // 1000, "id-used"))
            return
        self.ended_calls.remove(message.id)
        max_deadline_us = now + self.router.settings.classes[service].deadline_us
        self.counts["ws_set_ups"] += 1
        self.releases.withdraw(message.id)
        self.calls[message.id] = call = ApiCall(connection, api.Progress(message.id), digest_of(message),
                                                connection.client)
        connection.call_ids.add(message.id)
        self.orphans.forget(message.id)
        self.router.offer(Request(
            message.id, service, message.service, message.dest, message.number,
            min(message.deadline * 1000, max_deadline_us), message.description.encode(), message.width,
            transit=message.transit, via=message.via, cut_before=message.again,
            release_first=not message.new_id and self.router.orphans.may_stand(message.id)), self)
        if isinstance(call.last_message, api.Progress):  # otherwise the final message was sent within offer
            connection.send_message(call.last_message)

    def on_closed(self, connection: ClientConnection) -> None:
        """Cancel the unanswered set-ups of a connection that has closed; established calls go on."""
        self.connections.discard(connection)
        if connection.client is not None:
            self.releases.remove_connection(connection, connection.client)
        for call_id in connection.call_ids:
            self.orphans.on_closed(call_id, connection)
            call = self.calls.get(call_id)
            if call is None or call.connection is not connection:
                continue
            call.connection = None
            if self.router.cancel(call_id):
                self.counts["ws_given_up_by_close"] += 1
                self._update_call(call_id, api.Cancelled(call_id))
        connection.call_ids.clear()

    # ---- messages from the core

    def _update_call(self, call_id: str, message: api.Message) -> None:
        """Store the latest message about a call, and send it if the call has a connection."""
        call = self.calls.get(call_id)
        if call is None:
            return
        call.last_message = message
        if isinstance(message, ENDING_MESSAGES):
            call.is_ended = True
            self.ended_calls.add(call_id, self.clock.now_us())
        self._send_last_message(call_id, call)

    def _send_last_message(self, call_id: str, call: ApiCall) -> None:
        """Send the latest message about a call to its client: if it is connected; a release also later, by its name."""
        message = call.last_message
        if call.client is not None and isinstance(message, api.Released):
            self.releases.release(call.client, call_id, message.cause)
        elif call.connection is not None:
            call.connection.send_message(message)

    def on_answered(self, call_id: str, description: bytes) -> None:
        """Send the answer: the call is established."""
        self.counts["ws_answers_sent"] += 1
        self._update_call(call_id, api.Answer(call_id, description.decode("utf-8", "replace"), self._peer_of(call_id)))

    def _peer_of(self, call_id: str) -> str | None:
        """Return where a call stands, if its client has a name: it remembers that over a restart of this router."""
        front_call, call = self.calls.get(call_id), self.router.calls.get(call_id)
        if front_call is None or front_call.client is None or call is None or call.attempt is None:
            return None
        return call.attempt.peer

    def on_refused(self, call_id: str, wait_us: int) -> None:
        """Refuse a set-up, and tell the caller when to try again."""
        self.counts["ws_refusals_sent"] += 1
        self._update_call(call_id, api.Refused(call_id, -(-wait_us // 1000)))

    def on_failed(self, call_id: str) -> None:
        """Report that the call has failed."""
        self.counts["ws_failures_sent"] += 1
        self._update_call(call_id, api.Failed(call_id))

    def on_released(self, call_id: str, cause: int) -> None:
        """Report that an established call has ended."""
        self.counts["ws_releases_sent"] += 1
        self._update_call(call_id, api.Released(call_id, cause))
