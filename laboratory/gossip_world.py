"""A simulation of the gossip protocol in virtual time: the program's state machines on a simulated network.

It covers loss, delay, duplication, reordering, partitions, one-way links, skewed clocks, pauses, churn and lying
members, all from one seed. Signatures are replaced by tags that name their signer. The state machines cannot tell them
from real signatures, and a simulation of a thousand instances avoids a thousand signatures per second.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from astertrack.gossip.membership import Membership
from astertrack.gossip.model import Alive, GossipSettings, MemberChanged, Message, OpenStream, Ping, Send, State, Sync

ENVELOPE_BYTES = 64 + 48  # what the codec adds to a message: signature, sender and numbers
# Per message over a stream: the envelope, and five packets of 40 bytes that open and close the stream.
STREAM_OVERHEAD_BYTES = ENVELOPE_BYTES + 5 * 40
RETRANSMIT_TIMEOUT_US = 200_000  # for a lost packet of a stream: the minimum of common systems
encoder = msgspec.msgpack.Encoder()


class TagSigner:
    """A ClaimSigner with a hash in place of a signature, at negligible cost.

    All instances of a simulation share the secret, but sign() makes only tags of its own name.
    """

    def __init__(self, name: str, secret: int) -> None:
        self.name, self._secret = name, secret

    def sign(self, signed_fields: tuple[object, ...]) -> bytes:
        """Return a tag of the length of a real signature."""
        return f"{hash((self.name, self._secret, signed_fields)) & (2**64 - 1):064x}".encode()

    def verify(self, signer: str, signed_fields: tuple[object, ...], signature: bytes) -> bool:
        """Return whether the signer made the tag."""
        return signature == f"{hash((signer, self._secret, signed_fields)) & (2**64 - 1):064x}".encode()


@dataclass
class Network:
    """The properties of the simulated network. Fractions are of all datagrams; delays are (minimum, maximum)."""

    loss_fraction: float = 0.0
    duplicate_fraction: float = 0.0
    zone_delay_us: tuple[int, int] = (500, 3_000)  # inside a zone
    cross_zone_delay_us: tuple[int, int] = (8_000, 22_000)  # between zones
    late_fraction: float = 0.01  # late by up to a second, which reorders them
    # Whether the path from the sender to the receiver is cut.
    is_blocked: Callable[[str, str], bool] = lambda sender, receiver: False


@dataclass(eq=False)
class Instance:
    """A simulated instance with its membership state machine and its traffic counts."""

    name: str
    zone: str
    membership: Membership
    skew_us: int = 0
    paused_until_us: int = 0
    is_down: bool = False
    datagrams_sent: int = 0
    datagram_bytes: int = 0
    streams_opened: int = 0
    stream_bytes: int = 0
    changes: list[tuple[int, str, State, str]] = field(default_factory=list)


class GossipWorld:
    """All instances, the network between them, and the virtual clock."""

    def __init__(self, count: int, seed: int, settings: GossipSettings | None = None, network: Network | None = None,
                 skew_us: int = 0, zones: int = 2, joined: bool = True) -> None:
        self.random = random.Random(seed)
        self.settings, self.network = settings or GossipSettings(), network or Network()
        self.secret = self.random.getrandbits(64)
        self.now_us = 1_800_000_000_000_000
        self.started_us = self.now_us
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.event_ids = itertools.count()
        self.instances: dict[str, Instance] = {}
        self.counts: Counter[str] = Counter()
        self.send_hook: Callable[[Instance, str, Message], Message | None] = lambda sender, address, message: message
        names = [f"n{index}" for index in range(count)]
        for index, name in enumerate(names):
            self.add(name, f"z{index % zones}", names[:3], self.random.randint(-skew_us, skew_us) if skew_us else 0)
        if joined:  # start in the steady state, in which all instances know each other
            claims = [instance.membership.own_claim for instance in self.instances.values()]
            for instance in self.instances.values():
                instance.membership.handle_message("", "", Sync(False, list(claims)), self.local_time_us(instance))
                instance.membership.take_actions()
                instance.membership.updates._buckets, instance.membership.updates._bucket_by_subject = [{}], {}

    def add(self, name: str, zone: str, seeds: Iterable[str], skew_us: int = 0) -> Instance:
        """Start an instance; an instance of the same name is replaced, as by a restart."""
        own_claim = Alive(name, (self.now_us + skew_us) // 1000, name, zone)
        membership = Membership(own_claim, seeds, self.settings, random.Random(self.random.getrandbits(64)),
                                TagSigner(name, self.secret), self.now_us + skew_us)
        instance = self.instances[name] = Instance(name, zone, membership, skew_us)
        self._schedule_timer(instance)
        return instance

    # ---- time

    def schedule(self, due_us: int, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time of the virtual clock."""
        heapq.heappush(self.events, (due_us, next(self.event_ids), callback))

    def local_time_us(self, instance: Instance) -> int:
        """Return the time by the instance's own, possibly skewed clock."""
        return self.now_us + instance.skew_us

    def run(self, duration_s: float) -> None:
        """Advance the virtual clock and run everything that is due."""
        end_us = self.now_us + int(duration_s * 1e6)
        while self.events and self.events[0][0] <= end_us:
            due_us, _, callback = heapq.heappop(self.events)
            self.now_us = max(self.now_us, due_us)
            callback()
        self.now_us = end_us

    def _schedule_timer(self, instance: Instance) -> None:
        due_us = instance.membership.next_timer_us() - instance.skew_us

        def run_timer() -> None:
            if instance.is_down or self.instances.get(instance.name) is not instance:
                return
            if self.now_us < instance.paused_until_us:  # overdue timers run when the pause ends
                self.schedule(instance.paused_until_us, run_timer)
                return
            instance.membership.tick(self.local_time_us(instance))
            self.perform_actions(instance)
            self._schedule_timer(instance)
        self.schedule(max(due_us, self.now_us), run_timer)

    # ---- the network

    def perform_actions(self, instance: Instance) -> None:
        """Perform the actions that an instance's state machine has requested."""
        for action in instance.membership.take_actions():
            if isinstance(action, Send):
                self.send(instance, action.address, action.message)
            elif isinstance(action, OpenStream):
                self._open_stream(instance, action.address, action.message)
            elif isinstance(action, MemberChanged):
                instance.changes.append((self.now_us, action.name, action.state, action.reason))

    def send(self, sender: Instance, address: str, message: Message) -> None:
        """Send a datagram, subject to the network's faults, and check its length."""
        outgoing = self.send_hook(sender, address, message)
        if outgoing is None:
            return
        datagram_bytes = len(encoder.encode(outgoing)) + ENVELOPE_BYTES
        assert datagram_bytes <= self.settings.max_datagram_bytes, (datagram_bytes, outgoing)
        sender.datagrams_sent += 1
        sender.datagram_bytes += datagram_bytes
        receiver = self.instances.get(address)
        network = self.network
        if receiver is None or network.is_blocked(sender.name, address) or self.random.random() < network.loss_fraction:
            return
        for _ in range(1 + (self.random.random() < network.duplicate_fraction)):
            min_delay_us, max_delay_us = (
                network.zone_delay_us if sender.zone == receiver.zone else network.cross_zone_delay_us)
            delay_us = self.random.randint(min_delay_us, max_delay_us)
            if self.random.random() < network.late_fraction:
                delay_us += self.random.randrange(1_000_000)
            self.schedule(self.now_us + delay_us, lambda: self.deliver(sender.name, address, outgoing))

    def deliver(self, sender: str, address: str, message: Message) -> None:
        """Deliver a datagram to the instance that has the address at this time."""
        receiver = self.instances.get(address)
        if receiver is None or receiver.is_down:
            return
        if self.now_us < receiver.paused_until_us:
            self.schedule(receiver.paused_until_us, lambda: self.deliver(sender, address, message))
            return
        receiver.membership.handle_message(sender, sender, message, self.local_time_us(receiver))
        self.perform_actions(receiver)
        self._schedule_early_timer(receiver)

    def _schedule_early_timer(self, instance: Instance) -> None:
        """Run the next timer early if a received message has set it before the scheduled one.

        Only timers that are due within 50 ms are run early.
        """
        due_us = instance.membership.next_timer_us() - instance.skew_us

        def run_timer() -> None:
            if not instance.is_down and self.instances.get(instance.name) is instance and (
                    instance.membership.next_timer_us() <= self.local_time_us(instance)) and (
                    self.now_us >= instance.paused_until_us):
                instance.membership.tick(self.local_time_us(instance))
                self.perform_actions(instance)
        if due_us < self.now_us + 50_000:
            self.schedule(max(due_us, self.now_us), run_timer)

    def _open_stream(self, sender: Instance, address: str, message: Sync | Ping) -> None:
        """Send a message and its reply over a stream: it is reliable or cannot be opened at all.

        Each lost packet delays the stream by a retransmission.
        """
        receiver = self.instances.get(address)
        sender.streams_opened += 1
        sender.stream_bytes += len(encoder.encode(message)) + STREAM_OVERHEAD_BYTES
        if receiver is None or receiver.is_down or self.network.is_blocked(sender.name, address) or (
                self.network.is_blocked(address, sender.name)) or self.now_us < receiver.paused_until_us:
            return

        def deliver_request() -> None:
            if receiver.is_down:
                return
            reply = receiver.membership.handle_stream_message(sender.name, message, self.local_time_us(receiver))
            self.perform_actions(receiver)
            if reply is not None:
                receiver.stream_bytes += len(encoder.encode(reply)) + STREAM_OVERHEAD_BYTES
                self.schedule(self.now_us + self._stream_delay_us(1), lambda: deliver_reply(reply))

        def deliver_reply(reply: Message) -> None:
            if not sender.is_down and self.now_us >= sender.paused_until_us:
                sender.membership.handle_message(address, address, reply, self.local_time_us(sender))
                self.perform_actions(sender)
        self.schedule(self.now_us + self._stream_delay_us(3), deliver_request)

    def _stream_delay_us(self, packets: int) -> int:
        """Return the time that this many successive packets of a stream take."""
        total_us = 0
        for _ in range(packets):
            total_us += self.random.randint(*self.network.cross_zone_delay_us)
            while self.random.random() < self.network.loss_fraction:
                total_us += RETRANSMIT_TIMEOUT_US
        return total_us

    # ---- observations

    def running_instances(self) -> list[Instance]:
        """Return the instances that are not down."""
        return [instance for instance in self.instances.values() if not instance.is_down]

    def views_agree(self) -> bool:
        """Return whether the live view of every running instance is exactly the set of running instances."""
        names = {instance.name for instance in self.running_instances()}
        return all({member.name for member in observer.membership.live_members()} | {observer.name} == names
                   for observer in self.running_instances())

    def false_deaths(self, actual_deaths_us: dict[str, int] | None = None) -> list[tuple[int, str, str]]:
        """Return (time, observer, subject) of all wrong declarations of death.

        `actual_deaths_us` holds the times at which instances really stopped; later declarations of these are correct.
        """
        death_times_us = actual_deaths_us or {}
        return [(time_us, instance.name, name) for instance in self.instances.values()
                for time_us, name, state, _ in instance.changes
                if state is State.DEAD and not (name in death_times_us and death_times_us[name] <= time_us)]

    def run_until(self, condition: Callable[[], bool], timeout_s: float, step_s: float = 0.25) -> float | None:
        """Advance the clock until the condition holds and return the seconds that took, or None after `timeout_s`."""
        start_us = self.now_us
        while self.now_us - start_us < timeout_s * 1e6:
            if condition():
                return (self.now_us - start_us) / 1e6
            self.run(step_s)
        return (self.now_us - start_us) / 1e6 if condition() else None


def bytes_per_second(instances: Iterable[Any], duration_s: float) -> float:
    """Return the mean number of bytes that an instance sent per second, streams included."""
    measured = list(instances)
    return float(sum(instance.datagram_bytes + instance.stream_bytes for instance in measured)
                 / len(measured) / duration_s)
