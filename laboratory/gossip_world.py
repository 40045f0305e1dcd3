"""The gossip protocol alone, in virtual time: the program's own state machines on a network of the script's making.

Loss, delay, duplication, reordering, partitions, one-way links, skewed clocks, pauses, churn and liars, under a seed.
Signatures are stood in for by tags that only their signer can make, which is what the real ones are: the machines
cannot tell the two apart, and a thousand instances need no thousand signatures a second.
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

ENVELOPE = 64 + 48  # octets round a message: signature, sender, numbers; what the real codec adds
STREAM_OCTETS = ENVELOPE + 5 * 40  # round a message on a stream, with the packets that open and close it
RETRANSMIT_US = 200_000  # until a lost packet of a stream is sent again: the least that common systems wait
encoder = msgspec.msgpack.Encoder()


class TagSealer:
    """A signature that its signer alone can make, and everybody check, at no cost."""

    def __init__(self, name: str, secret: int) -> None:
        self.name, self._secret = name, secret

    def sign(self, signed_fields: tuple[object, ...]) -> bytes:
        """Return a tag of the length of a real signature."""
        return f"{hash((self.name, self._secret, signed_fields)) & (2**64 - 1):064x}".encode()

    def verify(self, signer: str, signed_fields: tuple[object, ...], signature: bytes) -> bool:
        """Whether the signer made it."""
        return signature == f"{hash((signer, self._secret, signed_fields)) & (2**64 - 1):064x}".encode()


@dataclass
class Network:
    """How datagrams fare."""

    loss: float = 0.0
    doubled: float = 0.0
    delay_us: tuple[int, int] = (500, 3_000)  # inside a zone
    cross_us: tuple[int, int] = (8_000, 22_000)  # between zones
    straggle: float = 0.01  # of datagrams are late by up to a second: reordering
    cut: Callable[[str, str], bool] = lambda sender, receiver: False  # whether nothing gets from one to the other


@dataclass(eq=False)
class Instance:
    """One instance of the world."""

    name: str
    zone: str
    machine: Membership
    skew_us: int = 0
    paused_until_us: int = 0
    down: bool = False
    sent: int = 0
    octets: int = 0
    streams: int = 0
    stream_octets: int = 0
    changes: list[tuple[int, str, State, str]] = field(default_factory=list)


class GossipWorld:
    """All instances, the network between them, and a clock."""

    def __init__(self, count: int, seed: int, settings: GossipSettings | None = None, network: Network | None = None,
                 skew_us: int = 0, zones: int = 2, joined: bool = True) -> None:
        self.random = random.Random(seed)
        self.settings, self.network = settings or GossipSettings(), network or Network()
        self.secret = self.random.getrandbits(64)
        self.now = 1_800_000_000_000_000
        self.began = self.now
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.instances: dict[str, Instance] = {}
        self.counts: Counter[str] = Counter()
        self.hook: Callable[[Instance, str, Message], Message | None] = lambda sender, address, message: message
        names = [f"n{at}" for at in range(count)]
        for at, name in enumerate(names):
            self.add(name, f"z{at % zones}", names[:3], self.random.randint(-skew_us, skew_us) if skew_us else 0)
        if joined:  # as after a while: everybody knows everybody
            claims = [instance.machine.me for instance in self.instances.values()]
            for instance in self.instances.values():
                instance.machine.heard("", "", Sync(False, list(claims)), self.local(instance))
                instance.machine.take()
                instance.machine.news._shelves, instance.machine.news._at = [{}], {}

    def add(self, name: str, zone: str, seeds: Iterable[str], skew_us: int = 0) -> Instance:
        """Start an instance, new or again under a name that was there."""
        me = Alive(name, (self.now + skew_us) // 1000, name, zone)
        machine = Membership(me, seeds, self.settings, random.Random(self.random.getrandbits(64)),
                             TagSealer(name, self.secret), self.now + skew_us)
        instance = self.instances[name] = Instance(name, zone, machine, skew_us)
        self._wake(instance)
        return instance

    # ---- time

    def at(self, when_us: int, do: Callable[[], None]) -> None:
        """Do something at an instant of the world's clock."""
        heapq.heappush(self.events, (when_us, next(self.order), do))

    def local(self, instance: Instance) -> int:
        """Return the instance's own clock."""
        return self.now + instance.skew_us

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + int(seconds * 1e6)
        while self.events and self.events[0][0] <= end:
            when, _, do = heapq.heappop(self.events)
            self.now = max(self.now, when)
            do()
        self.now = end

    def _wake(self, instance: Instance) -> None:
        when = instance.machine.next_us() - instance.skew_us

        def due() -> None:
            if instance.down or self.instances.get(instance.name) is not instance:
                return
            if self.now < instance.paused_until_us:  # it comes late to all that was due
                self.at(instance.paused_until_us, due)
                return
            instance.machine.tick(self.local(instance))
            self.carry_out(instance)
            self._wake(instance)
        self.at(max(when, self.now), due)

    # ---- the network

    def carry_out(self, instance: Instance) -> None:
        """Do what a machine asks for."""
        for action in instance.machine.take():
            if isinstance(action, Send):
                self.send(instance, action.address, action.message)
            elif isinstance(action, OpenStream):
                self._exchange(instance, action.address, action.message)
            elif isinstance(action, MemberChanged):
                instance.changes.append((self.now, action.name, action.state, action.reason))

    def send(self, sender: Instance, address: str, message: Message) -> None:
        """Send a datagram."""
        told = self.hook(sender, address, message)
        if told is None:
            return
        octets = len(encoder.encode(told)) + ENVELOPE
        assert octets <= self.settings.max_datagram_bytes, (octets, told)
        sender.sent += 1
        sender.octets += octets
        receiver = self.instances.get(address)
        network = self.network
        if receiver is None or network.cut(sender.name, address) or self.random.random() < network.loss:
            return
        for _ in range(1 + (self.random.random() < network.doubled)):
            low, high = network.delay_us if sender.zone == receiver.zone else network.cross_us
            delay = self.random.randint(low, high)
            if self.random.random() < network.straggle:
                delay += self.random.randrange(1_000_000)
            self.at(self.now + delay, lambda: self.arrive(sender.name, address, told))

    def arrive(self, sender: str, address: str, message: Message) -> None:
        """A datagram comes to whoever has the address now."""
        receiver = self.instances.get(address)
        if receiver is None or receiver.down:
            return
        if self.now < receiver.paused_until_us:
            self.at(receiver.paused_until_us, lambda: self.arrive(sender, address, message))
            return
        receiver.machine.heard(sender, sender, message, self.local(receiver))
        self.carry_out(receiver)
        self._rewake(receiver)

    def _rewake(self, instance: Instance) -> None:
        """What was heard may have set an earlier timer."""
        when = instance.machine.next_us() - instance.skew_us

        def due() -> None:
            if not instance.down and self.instances.get(instance.name) is instance and (
                    instance.machine.next_us() <= self.local(instance)) and self.now >= instance.paused_until_us:
                instance.machine.tick(self.local(instance))
                self.carry_out(instance)
        if when < self.now + 50_000:
            self.at(max(when, self.now), due)

    def _exchange(self, sender: Instance, address: str, message: Sync | Ping) -> None:
        """A stream: reliable, or not there at all; each packet of it that is lost costs a retransmission."""
        receiver = self.instances.get(address)
        sender.streams += 1
        sender.stream_octets += len(encoder.encode(message)) + STREAM_OCTETS
        if receiver is None or receiver.down or self.network.cut(sender.name, address) or (
                self.network.cut(address, sender.name)) or self.now < receiver.paused_until_us:
            return

        def there() -> None:
            if receiver.down:
                return
            answer = receiver.machine.answer(sender.name, message, self.local(receiver))
            self.carry_out(receiver)
            if answer is not None:
                receiver.stream_octets += len(encoder.encode(answer)) + STREAM_OCTETS
                self.at(self.now + self._way_us(1), lambda: back(answer))

        def back(answer: Message) -> None:
            if not sender.down and self.now >= sender.paused_until_us:
                sender.machine.heard(address, address, answer, self.local(sender))
                self.carry_out(sender)
        self.at(self.now + self._way_us(3), there)

    def _way_us(self, packets: int) -> int:
        """Return how long so many packets of a stream take, one after the other."""
        total = 0
        for _ in range(packets):
            total += self.random.randint(*self.network.cross_us)
            while self.random.random() < self.network.loss:
                total += RETRANSMIT_US
        return total

    # ---- what is to be seen

    def running(self) -> list[Instance]:
        """Return the instances that run."""
        return [instance for instance in self.instances.values() if not instance.down]

    def agree(self) -> bool:
        """Whether all that run hold exactly each other for there."""
        names = {instance.name for instance in self.running()}
        return all({m.name for m in i.machine.alive()} | {i.name} == names for i in self.running())

    def false_deaths(self, really: dict[str, int] | None = None) -> list[tuple[int, str, str]]:
        """Return (instant, by whom, of whom) of deaths that were none: of those who ran at that instant."""
        down = really or {}
        return [(at, instance.name, name) for instance in self.instances.values()
                for at, name, state, _ in instance.changes
                if state is State.DEAD and not (name in down and down[name] <= at)]

    def until(self, holds: Callable[[], bool], seconds: float, step: float = 0.25) -> float | None:
        """Let time pass until something holds; return how many seconds that took, or None if it never did."""
        began = self.now
        while self.now - began < seconds * 1e6:
            if holds():
                return (self.now - began) / 1e6
            self.run(step)
        return (self.now - began) / 1e6 if holds() else None


def octets_a_second(instances: Iterable[Any], seconds: float) -> float:
    """Return the mean octets that an instance sent in a second, streams included."""
    held = list(instances)
    return float(sum(i.octets + i.stream_octets for i in held) / len(held) / seconds)
