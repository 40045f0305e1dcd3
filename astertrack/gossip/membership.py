"""Group membership: SWIM with Lifeguard's local health, in which every claim binds only its signer.

Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
(DSN 2002); Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (DSN-W
2018). Because a member may lie, this implementation differs from both papers in two points:

- An Alive or Leave claim counts only if its subject signed it, so no member can declare another one alive.
- There is no claim of death, so no member can declare another one dead. A Suspect claim is only its accuser's
  statement, and each instance decides by its own timers what follows from it. Accusers whose suspicions are refuted
  lose weight (see trust.py); below a minimum weight, an accuser's Suspect claims are ignored.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import zlib
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

import msgspec

from astertrack.gossip.dissemination import UpdateQueue
from astertrack.gossip.model import (
    Ack,
    Action,
    Alive,
    Claim,
    ClaimSigner,
    GossipSettings,
    Leave,
    MemberChanged,
    Message,
    Nack,
    OpenStream,
    Ping,
    PingReq,
    Send,
    ServerReport,
    State,
    Suspect,
    Sync,
    sign_claim,
)
from astertrack.gossip.trust import Trust

RESERVED_BYTES = 200  # of a datagram, for the envelope, the signature and the fields of the message other than claims
MAX_MEMBERS = 4_096  # known at once; claims of further names are ignored
NACK_TIMEOUT_FRACTION = 0.8  # of the time that a helper has for its answer; then it sends a nack (Lifeguard)
MAX_SYNC_CLAIM_BYTES = 64 * 1024  # per Sync; not used, so not enforced. A view of 1,000 members takes twice that
encoder = msgspec.msgpack.Encoder()


class TimerKind(Enum):
    """What a timer of Membership triggers."""

    PROBE = auto()
    PROBE_TIMEOUT = auto()
    PROBE_END = auto()
    SUSPICION = auto()
    NACK = auto()
    REJOIN = auto()


@dataclass(slots=True, eq=False)
class Suspicion:
    """The accusers of a suspected member and the minimum and maximum time that it has for a refutation."""

    started_us: int
    min_timeout_us: int
    max_timeout_us: int
    accusers: dict[str, Suspect] = field(default_factory=dict)
    confirmed_locally: bool = False  # whether this instance's own probe has failed as well

    def expires_us(self, weight: float, required_confirmations: int) -> int:
        """Return the time at which the suspicion expires, in microseconds.

        The timeout shrinks from max_timeout_us to min_timeout_us with the logarithm of the summed weight of the
        confirming accusers: Dadgar, Phillips and Currey, "Lifeguard", LHA-Suspicion.
        """
        progress = math.log(weight + 1) / math.log(required_confirmations + 1)
        return self.started_us + max(
            self.min_timeout_us, int(self.max_timeout_us - (self.max_timeout_us - self.min_timeout_us) * progress))


@dataclass(slots=True, eq=False)
class Member:
    """Another instance as this one knows it."""

    claim: Alive  # the latest one that the member signed
    state: State = State.ALIVE
    state_since_us: int = 0
    suspicion: Suspicion | None = None
    missed_last_probe: bool = False  # whether it did not answer this instance's latest probe

    @property
    def name(self) -> str:
        """The member's name, taken from its claim."""
        return self.claim.name


@dataclass(slots=True, eq=False)
class Probe:
    """The outstanding probe of the current protocol period."""

    name: str
    seq: int
    expected_nacks: int = 0  # number of helpers that were sent a PingReq
    received_nacks: int = 0
    is_acknowledged: bool = False


class Membership:
    """One instance's view of all others.

    This is a state machine without I/O: every method is given the current time in microseconds, and take_actions()
    returns what the caller has to do.
    """

    def __init__(self, own_claim: Alive, seeds: Iterable[str], settings: GossipSettings, random_source: random.Random,
                 claim_signer: ClaimSigner, now_us: int) -> None:
        self.settings, self._random, self._claim_signer = settings, random_source, claim_signer
        self.own_claim = sign_claim(own_claim, claim_signer)
        self.seeds = [seed for seed in seeds if seed != own_claim.address]
        self.members: dict[str, Member] = {}
        # Derived from `members`, because every message needs them: the live members, the dead and left ones, and the
        # sum of the live members' checksums.
        self._live: dict[str, Member] = {}
        self._gone: dict[str, Member] = {}
        self._digest_sum = 0
        self.trust = Trust()
        self.updates: UpdateQueue[Claim] = UpdateQueue()
        self.local_health = 0  # Lifeguard's local health multiplier: 0 is healthy
        self.is_leaving = False
        self.counts: Counter[str] = Counter()
        # Received and verified, for the evaluation of servers. The caller has to remove them.
        self.server_reports: list[ServerReport] = []
        self._actions: list[Action] = []
        # The rest of a shuffled round of probe targets: each member is probed within two rounds.
        self._probe_order: list[str] = []
        self._probe_seqs = itertools.count(random_source.randrange(1 << 30))
        self._probe: Probe | None = None
        # Probes on behalf of others, by this instance's number: the requester's address and its number.
        self._relayed_probes: dict[int, tuple[str, int]] = {}
        self._timers: list[tuple[int, int, TimerKind, object]] = []
        self._timer_ids = itertools.count()
        self._last_sync_us = -settings.min_sync_interval_us
        self._digest_mismatches = 0  # consecutive probes whose answer had another digest
        self._last_refutation_us = -settings.probe_interval_us
        self._schedule(now_us + int(random_source.random() * settings.probe_interval_us), TimerKind.PROBE, None)
        self._schedule(now_us + int(random_source.random() * settings.rejoin_interval_us), TimerKind.REJOIN, None)
        self._disseminate(self.own_claim)

    # ---- timers

    def _schedule(self, due_us: int, timer: TimerKind, argument: object) -> None:
        heapq.heappush(self._timers, (due_us, next(self._timer_ids), timer, argument))

    def next_timer_us(self) -> int:
        """Return the time at which tick() is due."""
        return self._timers[0][0]

    def tick(self, now_us: int) -> None:
        """Run all timers that are due."""
        while self._timers and self._timers[0][0] <= now_us:
            _, _, timer, argument = heapq.heappop(self._timers)
            if timer is TimerKind.PROBE:
                self._start_probe(now_us)
            elif timer is TimerKind.PROBE_TIMEOUT:
                self._probe_indirectly(argument, now_us)
            elif timer is TimerKind.PROBE_END:
                self._finish_probe(argument, now_us)
            elif timer is TimerKind.SUSPICION:
                self._check_suspicion(str(argument), now_us)
            elif timer is TimerKind.NACK:
                self._send_nack(argument)
            elif timer is TimerKind.REJOIN:
                self._try_rejoin(now_us)

    def take_actions(self) -> list[Action]:
        """Return the pending actions in order and clear them."""
        actions, self._actions = self._actions, []
        return actions

    # ---- view

    def live_members(self) -> list[Member]:
        """Return the members that are alive or suspected, but neither dead nor left."""
        return list(self._live.values())

    def group_size(self) -> int:
        """Return the number of live members, this instance included."""
        return 1 + len(self._live)

    def digest(self) -> int:
        """Return a 32-bit digest of the view: which members are live, and in which incarnation.

        Two instances with equal views have equal digests.
        """
        own_checksum = 0 if self.is_leaving else self._claim_checksum(self.own_claim)
        return (self._digest_sum + own_checksum) & 0xFFFFFFFF

    @staticmethod
    def _claim_checksum(claim: Alive) -> int:
        return zlib.crc32(f"{claim.name} {claim.incarnation}".encode())

    def _update_member(self, member: Member, claim: Alive, state: State, now_us: int, reason: str) -> None:
        """Set a member's claim and state; nothing else changes either of them."""
        name, is_live = member.name, state in (State.ALIVE, State.SUSPECT)
        if self._live.pop(name, None) is not None:
            self._digest_sum -= self._claim_checksum(member.claim)
        self._gone.pop(name, None)
        (self._live if is_live else self._gone)[name] = member
        member.claim = claim
        if is_live:
            self._digest_sum += self._claim_checksum(claim)
        if member.state is not state:
            member.state, member.state_since_us = state, now_us
            self._actions.append(MemberChanged(name, state, reason))
            self.counts[f"members_{state.name.lower()}"] += 1
        if state is not State.SUSPECT:
            member.suspicion = None

    # ---- sending

    def _disseminate(self, claim: Claim) -> None:
        """Queue a claim for dissemination, in place of the previous claim about the same subject.

        Each Suspect claim is queued per accuser, and each ServerReport per reporter and server.
        """
        subject: object = claim.name if isinstance(claim, (Alive, Leave)) else (
            (claim.name, claim.accuser) if isinstance(claim, Suspect) else (claim.reporter, claim.server, "server"))
        if isinstance(claim, Alive):  # supersedes the suspicions about earlier incarnations
            member = self.members.get(claim.name)
            for accuser in (member.suspicion.accusers if member is not None and member.suspicion is not None else ()):
                self.updates.discard((claim.name, accuser))
        self.updates.put(subject, claim, len(encoder.encode(claim)))

    def retransmit_limit(self) -> int:
        """Return how many times this instance sends each update."""
        return max(2, math.ceil(self.settings.retransmit_multiplier * math.log2(self.group_size() + 1)))

    def _select_claims(self, prioritized: Iterable[Claim] = ()) -> list[Claim]:
        """Return the claims to piggyback on a message, the prioritized ones first."""
        selected = list(prioritized)
        remaining_bytes = (self.settings.max_datagram_bytes - RESERVED_BYTES
                           - sum(len(encoder.encode(claim)) for claim in selected))
        return selected + [claim for claim in self.updates.take(remaining_bytes, self.retransmit_limit())
                           if claim not in selected]

    def _send(self, address: str, message: Message) -> None:
        self._actions.append(Send(address, message))

    # ---- probing

    def _start_probe(self, now_us: int) -> None:
        """Probe the next member of the round, after forgetting members that have been gone for long.

        The interval and the timeout grow with the local health multiplier (Lifeguard: LHA-Probe).
        """
        self._schedule(now_us + self.settings.probe_interval_us * (self.local_health + 1), TimerKind.PROBE, None)
        self._forget_gone_members(now_us)
        if self.is_leaving:
            return
        member = self._next_probe_target()
        if member is None:
            return
        self._probe = probe = Probe(member.name, next(self._probe_seqs))
        # Buddy system (Lifeguard): a suspected member learns of it with the first probe and can refute it.
        suspicions = list(member.suspicion.accusers.values()) if member.suspicion is not None else []
        self._send_ping(member, probe.seq, suspicions)
        self._schedule(
            now_us + self.settings.probe_timeout_us * (self.local_health + 1), TimerKind.PROBE_TIMEOUT, probe)
        # 1 us before the next probe starts, since that replaces self._probe.
        self._schedule(
            now_us + self.settings.probe_interval_us * (self.local_health + 1) - 1, TimerKind.PROBE_END, probe)

    def _send_ping(self, member: Member, seq: int, prioritized: Iterable[Claim] = ()) -> None:
        self._send(member.claim.address, Ping(seq, member.name, self.digest(), self._select_claims(prioritized)))

    def _next_probe_target(self) -> Member | None:
        while True:
            while self._probe_order:
                member = self.members.get(self._probe_order.pop())
                if member is not None and member.state in (State.ALIVE, State.SUSPECT):
                    return member
            self._probe_order = list(self._live)
            if not self._probe_order:
                return None
            self._random.shuffle(self._probe_order)

    def _probe_indirectly(self, argument: object, now_us: int) -> None:
        """Ask other members to probe a target that sent no direct answer: the fault may lie on the path to it."""
        probe = argument
        assert isinstance(probe, Probe)
        member = self.members.get(probe.name)
        if probe.is_acknowledged or probe is not self._probe or member is None:
            return
        helpers = self._sample_members(self.settings.indirect_probes, probe.name)
        probe.expected_nacks = len(helpers)
        for helper in helpers:
            self._send(helper.claim.address, PingReq(
                probe.seq, member.name, member.claim.address, self.digest(), self._select_claims()))
        # Also probe over a stream, whose retransmissions make up for packet loss: without it, 10% datagram loss caused
        # a false suspicion in every hundredth period of each instance, and this traffic grew with the group.
        self._actions.append(OpenStream(member.claim.address, Ping(probe.seq, member.name, self.digest())))

    def _sample_members(self, count: int, excluded: str) -> list[Member]:
        """Return up to `count` random members that are not suspected, without the excluded one."""
        names = list(self._live)
        candidates = self._random.sample(names, min(len(names), 2 * count + 2))
        unsuspected = [member for member in (self._live[name] for name in candidates)
                       if member.state is State.ALIVE and member.name != excluded]
        return unsuspected[:count]

    def _finish_probe(self, argument: object, now_us: int) -> None:
        """Evaluate a probe at the end of its period: a member that misses two probes in a row is suspected.

        A single missed probe is not disseminated: at 30% loss one in sixty is missed, and the traffic caused by each
        suspicion grows with the number of members.
        """
        probe = argument
        assert isinstance(probe, Probe)
        if probe.is_acknowledged or probe is not self._probe:
            return
        self.counts["probes_failed"] += 1
        # Helpers that send no nack either indicate a local fault (Lifeguard: missed nacks raise the multiplier).
        missed_nacks = probe.expected_nacks - probe.received_nacks
        self._adjust_local_health(missed_nacks if probe.expected_nacks else 1)
        member = self.members.get(probe.name)
        if member is None or member.state not in (State.ALIVE, State.SUSPECT):
            return
        # One missed probe is enough if others suspect the member already.
        if not member.missed_last_probe and member.suspicion is None:
            member.missed_last_probe = True
            self._probe_order.append(member.name)  # probed again in the next period
        else:
            claim = sign_claim(Suspect(member.name, member.claim.incarnation, self.own_claim.name), self._claim_signer)
            self._add_suspicion(member, claim, now_us, confirmed_locally=True)

    def _adjust_local_health(self, delta: int) -> None:
        self.local_health = max(0, min(self.settings.max_local_health, self.local_health + delta))

    def _send_nack(self, argument: object) -> None:
        seq = argument
        assert isinstance(seq, int)
        requester = self._relayed_probes.get(seq)
        if requester is not None:
            self._send(requester[0], Nack(requester[1]))

    # ---- messages

    def handle_message(self, sender: str, address: str, message: Message, now_us: int) -> None:
        """Process a message from `sender`, whose signature has been verified.

        `address` is the address that the message came from; replies go there.
        """
        if sender == self.own_claim.name:
            return
        match message:
            case Ping():
                self._apply_claims(message.claims, now_us)
                if message.target == self.own_claim.name and not self.is_leaving:
                    self._send(address, Ack(message.seq, self.digest(), self._reply_claims(sender)))
                    self._compare_digests(sender, message.digest, now_us)
            case Ack():
                self._apply_claims(message.claims, now_us)
                self._handle_ack(sender, message, now_us)
            case PingReq():
                self._apply_claims(message.claims, now_us)
                target = self.members.get(message.target)
                if target is not None and not self.is_leaving:
                    seq = next(self._probe_seqs)
                    self._relayed_probes[seq] = (address, message.seq)
                    if len(self._relayed_probes) > 1_024:
                        del self._relayed_probes[next(iter(self._relayed_probes))]
                    self._send_ping(target, seq)
                    nack_delay_us = (
                        self.settings.probe_interval_us - self.settings.probe_timeout_us) * NACK_TIMEOUT_FRACTION
                    self._schedule(now_us + int(nack_delay_us), TimerKind.NACK, seq)
            case Nack():
                if self._probe is not None and message.seq == self._probe.seq:
                    self._probe.received_nacks += 1
            case Sync():
                self._apply_claims(message.claims, now_us)
                if message.wants_reply:  # counts as a sync; only handle_stream_message() replies
                    self._last_sync_us = now_us

    def _reply_claims(self, sender: str) -> list[Claim]:
        """Return the claims to piggyback on a reply.

        A suspected sender first receives the suspicions about it, and an unknown sender this instance's own claim.
        """
        member = self.members.get(sender)
        if member is not None and member.suspicion is not None:
            return self._select_claims(member.suspicion.accusers.values())
        return self._select_claims(() if member is not None else (self.own_claim,))

    def _handle_ack(self, sender: str, ack: Ack, now_us: int) -> None:
        requester = self._relayed_probes.pop(ack.seq, None)
        if requester is not None:  # answer to a relayed probe: forwarded in this instance's own name
            self._send(requester[0], Ack(requester[1], ack.digest, self._select_claims()))
            return
        probe = self._probe
        if probe is not None and ack.seq == probe.seq and not probe.is_acknowledged:
            probe.is_acknowledged = True
            self._adjust_local_health(-1)
            if (member := self.members.get(probe.name)) is not None:
                member.missed_last_probe = False
            if sender == probe.name:
                self._compare_digests(sender, ack.digest, now_us)

    def _compare_digests(self, sender: str, digest: int, now_us: int) -> None:
        """Start a sync with the sender if digests have differed for long, because updates were then lost on the way.

        Counted are consecutive comparisons with any members. A sender that is dead or has left in this view is synced
        with at once, since it is evidently alive.
        """
        if digest == self.digest():
            self._digest_mismatches = 0
            return
        self._digest_mismatches += 1
        member = self.members.get(sender)
        is_gone = member is not None and member.state in (State.DEAD, State.LEFT)
        if member is not None and (is_gone or (
                self._digest_mismatches > self.settings.max_digest_mismatches + self._dissemination_periods())):
            self._start_sync(member.claim.address, now_us)

    def _dissemination_periods(self) -> int:
        """Return for how many periods queued updates may still spread; until then a mismatch is no sign of loss."""
        return 2 * self.retransmit_limit() if len(self.updates) else 0

    def _start_sync(self, address: str, now_us: int) -> None:
        if now_us - self._last_sync_us < self.settings.min_sync_interval_us:
            return
        self._last_sync_us, self._digest_mismatches = now_us, 0
        self.counts["syncs"] += 1
        self._actions.append(OpenStream(address, self.make_sync(wants_reply=True)))

    def handle_stream_message(self, sender: str, message: Sync | Ping, now_us: int) -> Sync | Ack | None:
        """Return the reply to a message that came over a stream, or None to send no reply.

        The sender's signature has been verified.
        """
        if self.is_leaving or (isinstance(message, Ping) and message.target != self.own_claim.name):
            return None
        if isinstance(message, Ping):
            return Ack(message.seq, self.digest(), self._reply_claims(sender))
        self._apply_claims(message.claims, now_us)
        return self.make_sync(wants_reply=False)

    def make_sync(self, wants_reply: bool) -> Sync:
        """Return a Sync with the claims of all live members; it also serves as the reply to a Sync."""
        claims: list[Claim] = [] if self.is_leaving else [self.own_claim]
        claims += [member.claim for member in self._live.values()]
        return Sync(wants_reply, claims)

    # ---- claims

    def _apply_claims(self, claims: Iterable[Claim], now_us: int) -> None:
        for claim in claims:
            match claim:
                case Alive():
                    self._apply_alive(claim, now_us)
                case Leave():
                    self._apply_leave(claim, now_us)
                case Suspect():
                    self._apply_suspect(claim, now_us)
                case ServerReport():
                    if self._verify_claim(claim):
                        self.server_reports.append(claim)

    def _verify_claim(self, claim: Claim) -> bool:
        """Return whether a claim's signature is valid; only claims that would change the state are verified.

        A claim that exceeds the verification budget counts as invalid, too.
        """
        if self._claim_signer.verify(claim.signer, claim.signed_fields(), claim.signature):
            return True
        self.counts["claims_unsigned"] += 1
        return False

    def _apply_alive(self, claim: Alive, now_us: int) -> None:
        if claim.name == self.own_claim.name:
            # This instance's own claim, from before a restart or echoed by others: if its incarnation is later, the
            # current one has to be raised above it.
            if claim.incarnation > self.own_claim.incarnation and self._verify_claim(claim):
                self._refute(claim.incarnation, now_us)
            return
        member = self.members.get(claim.name)
        if member is not None and claim.incarnation <= member.claim.incarnation:
            return
        if (member is None and len(self.members) >= MAX_MEMBERS) or not self._verify_claim(claim):
            return
        if member is None:
            # Dead at first, so that _update_member() below reports the change to ALIVE.
            self.members[claim.name] = member = Member(claim, State.DEAD, now_us)
            # At a random place, so that the new member is probed within the current round.
            self._probe_order.insert(self._random.randrange(len(self._probe_order) + 1), claim.name)
        elif member.suspicion is not None:
            for accuser in member.suspicion.accusers:
                if accuser != self.own_claim.name:
                    self.trust.record_refutation(accuser, now_us)
        self._disseminate(claim)
        member.missed_last_probe = False
        self._update_member(member, claim, State.ALIVE, now_us, "alive claim received")

    def _apply_leave(self, claim: Leave, now_us: int) -> None:
        member = self.members.get(claim.name)
        if claim.name == self.own_claim.name:
            if not self.is_leaving and claim.incarnation >= self.own_claim.incarnation and self._verify_claim(claim):
                self._refute(claim.incarnation, now_us)
            return
        if member is None or claim.incarnation < member.claim.incarnation or member.state is State.LEFT:
            return
        if self._verify_claim(claim):
            self._disseminate(claim)
            self._update_member(member, member.claim, State.LEFT, now_us, "leave claim received")

    def _apply_suspect(self, claim: Suspect, now_us: int) -> None:
        if claim.name == self.own_claim.name:
            if claim.incarnation >= self.own_claim.incarnation and not self.is_leaving and self._verify_claim(claim):
                self._refute(claim.incarnation, now_us)
                if self.trust.weight(claim.accuser, now_us) >= 0.5:
                    # A trusted accuser is rarely wrong: this instance may be slow (Lifeguard).
                    self._adjust_local_health(1)
            return
        member = self.members.get(claim.name)
        if member is None or claim.accuser == claim.name or claim.incarnation != member.claim.incarnation or (
                member.state not in (State.ALIVE, State.SUSPECT)):
            return
        if member.suspicion is not None and claim.accuser in member.suspicion.accusers:
            return
        if claim.accuser != self.own_claim.name and claim.accuser not in self.members:
            return  # only members may accuse
        if not self.trust.is_accepted(claim.accuser, now_us):
            self.counts["suspicions_unheeded"] += 1
            return
        if self._verify_claim(claim):
            self._add_suspicion(member, claim, now_us, confirmed_locally=False)

    def _add_suspicion(self, member: Member, claim: Suspect, now_us: int, confirmed_locally: bool) -> None:
        suspicion = member.suspicion
        if suspicion is None:
            min_timeout_us = int(self.settings.suspicion_multiplier * max(1.0, math.log10(self.group_size()))
                                 * self.settings.probe_interval_us)
            max_timeout_us = int(min_timeout_us * self.settings.max_suspicion_multiplier)
            suspicion = member.suspicion = Suspicion(now_us, min_timeout_us, max_timeout_us)
            reason = "probe not answered" if confirmed_locally else f"suspected by {claim.accuser}"
            self._update_member(member, member.claim, State.SUSPECT, now_us, reason)
        suspicion.confirmed_locally = suspicion.confirmed_locally or confirmed_locally
        # Only the first accuser and as many others as the required confirmations are kept.
        if claim.accuser not in suspicion.accusers and len(suspicion.accusers) <= self.settings.required_confirmations:
            suspicion.accusers[claim.accuser] = claim
            self._disseminate(claim)
        self._schedule(self._suspicion_expires_us(suspicion, now_us), TimerKind.SUSPICION, member.name)

    def _suspicion_expires_us(self, suspicion: Suspicion, now_us: int) -> int:
        others_weight = sum(self.trust.weight(accuser, now_us) for accuser in suspicion.accusers
                            if accuser != self.own_claim.name)
        # Without an own failed probe, the first accuser started the suspicion and does not count as a confirmation.
        first_weight = 0.0 if suspicion.confirmed_locally else 1.0
        return suspicion.expires_us(max(0.0, others_weight - first_weight), self.settings.required_confirmations)

    def _check_suspicion(self, name: str, now_us: int) -> None:
        """Declare a member dead if its suspicion has expired and this instance's own probe has failed as well.

        Claims of other members alone never make a member dead here.
        """
        member = self.members.get(name)
        if member is None or member.suspicion is None:
            return
        expires_us = self._suspicion_expires_us(member.suspicion, now_us)
        if now_us < expires_us:
            return  # a timer of an earlier estimate: another one is scheduled
        if member.suspicion.confirmed_locally:
            self._update_member(member, member.claim, State.DEAD, now_us, "suspicion not refuted")
        else:
            # Probe it next and check again: by then the own probe has failed, or the member has answered and can
            # refute the suspicion.
            self._probe_order.append(name)
            self._schedule(
                now_us + 2 * self.settings.probe_interval_us * (self.local_health + 1), TimerKind.SUSPICION, name)

    def _refute(self, incarnation: int, now_us: int) -> None:
        """Disseminate an Alive claim with a higher incarnation, which refutes all suspicions of earlier ones.

        A suspicion of an earlier incarnation is not refuted again within half a probe interval of the last refutation.
        """
        if now_us - self._last_refutation_us < self.settings.probe_interval_us // 2 and (
                incarnation < self.own_claim.incarnation):
            return
        self._last_refutation_us = now_us
        self.counts["refutations"] += 1
        renewed_claim = msgspec.structs.replace(
            self.own_claim, incarnation=max(incarnation, self.own_claim.incarnation) + 1, signature=b"")
        claim = sign_claim(renewed_claim, self._claim_signer)
        self.own_claim = claim
        self._disseminate(claim)

    # ---- joining, leaving, forgetting

    def _try_rejoin(self, now_us: int) -> None:
        """Sync with a random seed or dead member that is not in the live view.

        After a partition, either side can thereby find the other again.
        """
        self._schedule(now_us + self.settings.rejoin_interval_us
                       + int(self._random.random() * self.settings.rejoin_interval_us / 4), TimerKind.REJOIN, None)
        if self.is_leaving:
            return
        live_addresses = {member.claim.address for member in self._live.values()}
        unreachable_addresses = [seed for seed in self.seeds if seed not in live_addresses]
        unreachable_addresses += [member.claim.address for member in self._gone.values() if member.state is State.DEAD]
        if unreachable_addresses:
            self._start_sync(self._random.choice(unreachable_addresses), now_us)

    def _forget_gone_members(self, now_us: int) -> None:
        for name in [gone_name for gone_name, member in self._gone.items()
                     if now_us - member.state_since_us > self.settings.dead_member_retention_us]:
            del self.members[name], self._gone[name]

    def leave(self, now_us: int) -> None:
        """Announce that this instance leaves, at once to as many members as one update is sent to.

        The announcement cannot wait for the next probes, because the instance stops.
        """
        claim = sign_claim(Leave(self.own_claim.name, self.own_claim.incarnation), self._claim_signer)
        self._disseminate(claim)
        for member in self._sample_members(self.retransmit_limit(), ""):
            self._send_ping(member, next(self._probe_seqs), (claim,))
        self.is_leaving = True

    def report_server(self, report: ServerReport) -> None:
        """Sign and disseminate this instance's own observation of a server."""
        claim = sign_claim(report, self._claim_signer)
        self._disseminate(claim)

    def forward_report(self, report: ServerReport) -> None:
        """Disseminate another instance's report after the caller has judged it worth forwarding."""
        self._disseminate(report)
