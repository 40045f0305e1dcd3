"""Who is there: SWIM with Lifeguard's local health, and claims that bind only those who signed them.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (DSN
2002); Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (DSN-W
2018). Two things differ, for a member may lie:

- Nobody revives another: an Alive or Leave claim counts only with its subject's own signature.
- Nobody buries another: there is no claim of death. A suspicion is its accuser's word, and what comes of it each
  instance decides by its own timers. Accusers whose suspicions are refuted lose weight (see trust.py), and with too
  little weight theirs alone starts nothing.
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

import msgspec

from astertrack.gossip.dissemination import NewsQueue
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

ENVELOPE = 200  # octets of a datagram that are not claims: envelope, signature, and the message's own fields
MEMBERS_MOST = 4_096  # remembered; names beyond that are not taken in
NACK_SHARE = 0.8  # of the time for a helper's answer, after which it says that it has none (Lifeguard)
CLAIMS_OF_SYNC = 64 * 1024  # octets of claims in one message of a sync; a view of 1,000 members has twice that
encoder = msgspec.msgpack.Encoder()


@dataclass(slots=True, eq=False)
class Suspicion:
    """What is held against a member: by whom, and when it is over."""

    began_us: int
    least_us: int
    most_us: int
    accusers: dict[str, Suspect] = field(default_factory=dict)
    own: bool = False  # whether this instance has itself found it silent

    def ends_us(self, weight: float, needed: int) -> int:
        """Return when it is over, by the weight of those who confirm it (Lifeguard's LHA-Suspicion)."""
        share = math.log(weight + 1) / math.log(needed + 1)
        return self.began_us + max(self.least_us, int(self.most_us - (self.most_us - self.least_us) * share))


@dataclass(slots=True, eq=False)
class Member:
    """Another instance."""

    claim: Alive  # its latest word
    state: State = State.ALIVE
    since_us: int = 0
    suspicion: Suspicion | None = None
    doubted: bool = False  # whether its latest probe from here was not answered

    @property
    def name(self) -> str:
        """Its name."""
        return self.claim.name


@dataclass(slots=True, eq=False)
class Probe:
    """A probe that is out."""

    name: str
    seq: int
    nacks_due: int = 0  # helpers asked
    nacks: int = 0
    answered: bool = False


class Membership:
    """One instance's view of all others. Every method is told the instant; take() says what is to be done."""

    def __init__(self, me: Alive, seeds: Iterable[str], settings: GossipSettings, source: random.Random,
                 claim_signer: ClaimSigner, now_us: int) -> None:
        self.settings, self._random, self._claim_signer = settings, source, claim_signer
        self.me = sign_claim(me, claim_signer)
        self.seeds = [seed for seed in seeds if seed != me.address]
        self.members: dict[str, Member] = {}
        # Kept beside it, for each message asks: who is there, who is gone, and the sum over those who are there.
        self._there: dict[str, Member] = {}
        self._gone: dict[str, Member] = {}
        self._sum = 0
        self.trust = Trust()
        self.news: NewsQueue[Claim] = NewsQueue()
        self.health = 0  # Lifeguard's local health multiplier: 0 is sound
        self.leaving = False
        self.counts: Counter[str] = Counter()
        self.server_reports: list[ServerReport] = []  # heard and verified, for who judges servers
        self._actions: list[Action] = []
        self._order: list[str] = []  # of probes: a shuffled round, so that each member is probed within two rounds
        self._seqs = itertools.count(source.randrange(1 << 30))
        self._probe: Probe | None = None
        self._relayed: dict[int, tuple[str, int]] = {}  # our number of a probe for another: whom to answer, its number
        self._timers: list[tuple[int, int, str, object]] = []
        self._orders = itertools.count()
        self._synced_us = -settings.min_sync_interval_us
        self._differs = 0  # probes in a row whose answer told another view
        self._refuted_us = -settings.probe_interval_us
        self._at(now_us + int(source.random() * settings.probe_interval_us), "period", None)
        self._at(now_us + int(source.random() * settings.rejoin_interval_us), "rejoin", None)
        self._tell(self.me)

    # ---- time

    def _at(self, when_us: int, what: str, about: object) -> None:
        heapq.heappush(self._timers, (when_us, next(self._orders), what, about))

    def next_us(self) -> int:
        """Return when tick() is due."""
        return self._timers[0][0]

    def tick(self, now_us: int) -> None:
        """Do what is due."""
        while self._timers and self._timers[0][0] <= now_us:
            _, _, what, about = heapq.heappop(self._timers)
            if what == "period":
                self._period(now_us)
            elif what == "unanswered":
                self._unanswered(about, now_us)
            elif what == "ended":
                self._ended(about, now_us)
            elif what == "suspected":
                self._suspected(str(about), now_us)
            elif what == "nack":
                self._nack(about)
            elif what == "rejoin":
                self._rejoin(now_us)

    def take(self) -> list[Action]:
        """Return what is to be done, once, in order."""
        actions, self._actions = self._actions, []
        return actions

    # ---- what is known

    def alive(self) -> list[Member]:
        """Return the members that are not known to be gone, suspected ones included."""
        return list(self._there.values())

    def size(self) -> int:
        """Return how many there are, this instance included."""
        return 1 + len(self._there)

    def digest(self) -> int:
        """Return a figure that two instances share whose views are the same: who is alive, in which incarnation."""
        own = 0 if self.leaving else self._figure(self.me)
        return (self._sum + own) & 0xFFFFFFFF

    @staticmethod
    def _figure(claim: Alive) -> int:
        return zlib.crc32(f"{claim.name} {claim.incarnation}".encode())

    def _set(self, member: Member, claim: Alive, state: State, now_us: int, reason: str) -> None:
        """The one place where a member's claim and state change."""
        name, there = member.name, state in (State.ALIVE, State.SUSPECT)
        if self._there.pop(name, None) is not None:
            self._sum -= self._figure(member.claim)
        self._gone.pop(name, None)
        (self._there if there else self._gone)[name] = member
        member.claim = claim
        if there:
            self._sum += self._figure(claim)
        if member.state is not state:
            member.state, member.since_us = state, now_us
            self._actions.append(MemberChanged(name, state, reason))
            self.counts[f"members_{state.name.lower()}"] += 1
        if state is not State.SUSPECT:
            member.suspicion = None

    # ---- sending

    def _tell(self, claim: Claim) -> None:
        """Spread a claim. One of each subject and kind is told, the latest; suspicions one for each accuser."""
        subject: object = claim.name if isinstance(claim, (Alive, Leave)) else (
            (claim.name, claim.accuser) if isinstance(claim, Suspect) else (claim.reporter, claim.server, "server"))
        if isinstance(claim, Alive):  # what was held against its earlier incarnations is old news
            member = self.members.get(claim.name)
            for accuser in (member.suspicion.accusers if member is not None and member.suspicion is not None else ()):
                self.news.drop((claim.name, accuser))
        self.news.put(subject, claim, len(encoder.encode(claim)))

    def times(self) -> int:
        """Return how often a piece of news is sent by each instance."""
        return max(2, math.ceil(self.settings.retransmit_multiplier * math.log2(self.size() + 1)))

    def _claims(self, first: Iterable[Claim] = ()) -> list[Claim]:
        """Return the claims that ride on a message, those named first."""
        chosen = list(first)
        room = self.settings.max_datagram_bytes - ENVELOPE - sum(len(encoder.encode(claim)) for claim in chosen)
        return chosen + [claim for claim in self.news.take(room, self.times()) if claim not in chosen]

    def _send(self, address: str, message: Message) -> None:
        self._actions.append(Send(address, message))

    # ---- probing

    def _period(self, now_us: int) -> None:
        """Probe the next member of the round; a sick instance probes more slowly (LHA-Probe)."""
        self._at(now_us + self.settings.probe_interval_us * (self.health + 1), "period", None)
        self._forget(now_us)
        if self.leaving:
            return
        member = self._next()
        if member is None:
            return
        self._probe = probe = Probe(member.name, next(self._seqs))
        # Buddy system (Lifeguard): who is suspected hears of it with the first probe, and can refute it.
        held = list(member.suspicion.accusers.values()) if member.suspicion is not None else []
        self._ping(member, probe.seq, held)
        self._at(now_us + self.settings.probe_timeout_us * (self.health + 1), "unanswered", probe)
        self._at(now_us + self.settings.probe_interval_us * (self.health + 1) - 1, "ended", probe)

    def _ping(self, member: Member, seq: int, first: Iterable[Claim] = ()) -> None:
        self._send(member.claim.address, Ping(seq, member.name, self.digest(), self._claims(first)))

    def _next(self) -> Member | None:
        while True:
            while self._order:
                member = self.members.get(self._order.pop())
                if member is not None and member.state in (State.ALIVE, State.SUSPECT):
                    return member
            self._order = list(self._there)
            if not self._order:
                return None
            self._random.shuffle(self._order)

    def _unanswered(self, about: object, now_us: int) -> None:
        """No direct answer came: ask others to probe, for the fault may lie on the way."""
        probe = about
        assert isinstance(probe, Probe)
        member = self.members.get(probe.name)
        if probe.answered or probe is not self._probe or member is None:
            return
        helpers = self._draw(self.settings.indirect_probes, probe.name)
        probe.nacks_due = len(helpers)
        for helper in helpers:
            self._send(helper.claim.address, PingReq(
                probe.seq, member.name, member.claim.address, self.digest(), self._claims()))
        # And over a stream, which mends what a lossy path loses: without it, a tenth of the datagrams lost meant a
        # false suspicion in every hundredth period of each instance, and their news grew with the members.
        self._actions.append(OpenStream(member.claim.address, Ping(probe.seq, member.name, self.digest())))

    def _draw(self, count: int, but: str) -> list[Member]:
        """Draw so many members that nobody suspects."""
        names = list(self._there)
        drawn = self._random.sample(names, min(len(names), 2 * count + 2))
        sound = [m for m in (self._there[name] for name in drawn) if m.state is State.ALIVE and m.name != but]
        return sound[:count]

    def _ended(self, about: object, now_us: int) -> None:
        """The period of a probe is over: a member that has not answered two in a row is suspected.

        One unanswered probe is no news worth telling all: at 30% loss one in sixty is, and what is told of each
        grows with the members.
        """
        probe = about
        assert isinstance(probe, Probe)
        if probe.answered or probe is not self._probe:
            return
        self.counts["probes_failed"] += 1
        # Helpers that say nothing either hint at ourselves (Lifeguard: missed nacks count against local health).
        missed = probe.nacks_due - probe.nacks
        self._ail(missed if probe.nacks_due else 1)
        member = self.members.get(probe.name)
        if member is None or member.state not in (State.ALIVE, State.SUSPECT):
            return
        if not member.doubted and member.suspicion is None:  # what others have found needs one look only
            member.doubted = True
            self._order.append(member.name)  # once more, at once
        else:
            claim = sign_claim(Suspect(member.name, member.claim.incarnation, self.me.name), self._claim_signer)
            self._suspect(member, claim, now_us, own=True)

    def _ail(self, by: int) -> None:
        self.health = max(0, min(self.settings.max_local_health, self.health + by))

    def _nack(self, about: object) -> None:
        seq = about
        assert isinstance(seq, int)
        waiting = self._relayed.get(seq)
        if waiting is not None:
            self._send(waiting[0], Nack(waiting[1]))

    # ---- messages

    def heard(self, sender: str, address: str, message: Message, now_us: int) -> None:
        """Take a message of an instance whose signature was checked, from the address that it came from."""
        if sender == self.me.name:
            return
        match message:
            case Ping():
                self._hear(message.claims, now_us)
                if message.target == self.me.name and not self.leaving:
                    self._send(address, Ack(message.seq, self.digest(), self._answer_claims(sender)))
                    self._compare(sender, message.digest, now_us)
            case Ack():
                self._hear(message.claims, now_us)
                self._acked(sender, message, now_us)
            case PingReq():
                self._hear(message.claims, now_us)
                target = self.members.get(message.target)
                if target is not None and not self.leaving:
                    seq = next(self._seqs)
                    self._relayed[seq] = (address, message.seq)
                    if len(self._relayed) > 1_024:
                        del self._relayed[next(iter(self._relayed))]
                    self._ping(target, seq)
                    wait = (self.settings.probe_interval_us - self.settings.probe_timeout_us) * NACK_SHARE
                    self._at(now_us + int(wait), "nack", seq)
            case Nack():
                if self._probe is not None and message.seq == self._probe.seq:
                    self._probe.nacks += 1
            case Sync():
                self._hear(message.claims, now_us)
                if message.wants_reply:
                    self._synced_us = now_us

    def _answer_claims(self, sender: str) -> list[Claim]:
        """Return what rides on an answer; who is not known, or is held for dead, hears of that first."""
        member = self.members.get(sender)
        if member is not None and member.suspicion is not None:
            return self._claims(member.suspicion.accusers.values())
        return self._claims(() if member is not None else (self.me,))

    def _acked(self, sender: str, ack: Ack, now_us: int) -> None:
        waiting = self._relayed.pop(ack.seq, None)
        if waiting is not None:  # it answered us for another, who is told in our name
            self._send(waiting[0], Ack(waiting[1], ack.digest, self._claims()))
            return
        probe = self._probe
        if probe is not None and ack.seq == probe.seq and not probe.answered:
            probe.answered = True
            self._ail(-1)
            if (member := self.members.get(probe.name)) is not None:
                member.doubted = False
            if sender == probe.name:
                self._compare(sender, ack.digest, now_us)

    def _compare(self, sender: str, digest: int, now_us: int) -> None:
        """Begin a sync with an instance whose view has been another for long: news was lost on its way."""
        if digest == self.digest():
            self._differs = 0
            return
        self._differs += 1
        member = self.members.get(sender)
        held_dead = member is not None and member.state in (State.DEAD, State.LEFT)
        if member is not None and (
                held_dead or self._differs > self.settings.max_digest_mismatches + self._quiet_periods()):
            self._sync(member.claim.address, now_us)

    def _quiet_periods(self) -> int:
        """Periods in which news may still be under way: it is no news that is lost."""
        return 2 * self.times() if len(self.news) else 0

    def _sync(self, address: str, now_us: int) -> None:
        if now_us - self._synced_us < self.settings.min_sync_interval_us:
            return
        self._synced_us, self._differs = now_us, 0
        self.counts["syncs"] += 1
        self._actions.append(OpenStream(address, self.view(wants_reply=True)))

    def answer(self, sender: str, message: Sync | Ping, now_us: int) -> Sync | Ack | None:
        """Return what is said on a stream to an instance whose signature was checked; None: nothing."""
        if self.leaving or (isinstance(message, Ping) and message.target != self.me.name):
            return None
        if isinstance(message, Ping):
            return Ack(message.seq, self.digest(), self._answer_claims(sender))
        self._hear(message.claims, now_us)
        return self.view(wants_reply=False)

    def view(self, wants_reply: bool) -> Sync:
        """Return all that this instance knows: its answer to a sync, too."""
        claims: list[Claim] = [] if self.leaving else [self.me]
        claims += [member.claim for member in self._there.values()]
        return Sync(wants_reply, claims)

    # ---- claims

    def _hear(self, claims: Iterable[Claim], now_us: int) -> None:
        for claim in claims:
            match claim:
                case Alive():
                    self._hear_alive(claim, now_us)
                case Leave():
                    self._hear_leave(claim, now_us)
                case Suspect():
                    self._hear_suspect(claim, now_us)
                case ServerReport():
                    if self._verified(claim):
                        self.server_reports.append(claim)

    def _verified(self, claim: Claim) -> bool:
        """Check the signature of a claim that would change something; what changes nothing is not checked."""
        if self._claim_signer.verify(claim.signer, claim.signed_fields(), claim.signature):
            return True
        self.counts["claims_unsigned"] += 1
        return False

    def _hear_alive(self, claim: Alive, now_us: int) -> None:
        if claim.name == self.me.name:
            # Ours, of before a restart or sent back to us: a later one than ours means that we start again behind it.
            if claim.incarnation > self.me.incarnation and self._verified(claim):
                self._refute(claim.incarnation, now_us)
            return
        member = self.members.get(claim.name)
        if member is not None and claim.incarnation <= member.claim.incarnation:
            return
        if (member is None and len(self.members) >= MEMBERS_MOST) or not self._verified(claim):
            return
        if member is None:
            self.members[claim.name] = member = Member(claim, State.DEAD, now_us)
            self._order.insert(self._random.randrange(len(self._order) + 1), claim.name)  # within this round
        elif member.suspicion is not None:
            for accuser in member.suspicion.accusers:
                if accuser != self.me.name:
                    self.trust.refuted(accuser, now_us)
        self._tell(claim)
        member.doubted = False
        self._set(member, claim, State.ALIVE, now_us, "its own word")

    def _hear_leave(self, claim: Leave, now_us: int) -> None:
        member = self.members.get(claim.name)
        if claim.name == self.me.name:
            if not self.leaving and claim.incarnation >= self.me.incarnation and self._verified(claim):
                self._refute(claim.incarnation, now_us)
            return
        if member is None or claim.incarnation < member.claim.incarnation or member.state is State.LEFT:
            return
        if self._verified(claim):
            self._tell(claim)
            self._set(member, member.claim, State.LEFT, now_us, "it has left")

    def _hear_suspect(self, claim: Suspect, now_us: int) -> None:
        if claim.name == self.me.name:
            if claim.incarnation >= self.me.incarnation and not self.leaving and self._verified(claim):
                self._refute(claim.incarnation, now_us)
                if self.trust.weight(claim.accuser, now_us) >= 0.5:
                    self._ail(1)  # sound accusers do not err often: we may be slow (Lifeguard)
            return
        member = self.members.get(claim.name)
        if member is None or claim.accuser == claim.name or claim.incarnation != member.claim.incarnation or (
                member.state not in (State.ALIVE, State.SUSPECT)):
            return
        if member.suspicion is not None and claim.accuser in member.suspicion.accusers:
            return
        if claim.accuser != self.me.name and claim.accuser not in self.members:
            return  # who is no member has no voice
        if not self.trust.heeded(claim.accuser, now_us):
            self.counts["suspicions_unheeded"] += 1
            return
        if self._verified(claim):
            self._suspect(member, claim, now_us, own=False)

    def _suspect(self, member: Member, claim: Suspect, now_us: int, own: bool) -> None:
        suspicion = member.suspicion
        if suspicion is None:
            least = int(self.settings.suspicion_multiplier * max(1.0, math.log10(self.size()))
                        * self.settings.probe_interval_us)
            most = int(least * self.settings.max_suspicion_multiplier)
            suspicion = member.suspicion = Suspicion(now_us, least, most)
            reason = "no answer" if own else f"{claim.accuser} suspects it"
            self._set(member, member.claim, State.SUSPECT, now_us, reason)
        suspicion.own = suspicion.own or own
        if claim.accuser not in suspicion.accusers and len(suspicion.accusers) <= self.settings.required_confirmations:
            suspicion.accusers[claim.accuser] = claim
            self._tell(claim)
        self._at(self._ends_us(suspicion, now_us), "suspected", member.name)

    def _ends_us(self, suspicion: Suspicion, now_us: int) -> int:
        others = sum(self.trust.weight(a, now_us) for a in suspicion.accusers if a != self.me.name)
        first = 0.0 if suspicion.own else 1.0  # the first of them begins it, and does not confirm it
        return suspicion.ends_us(max(0.0, others - first), self.settings.required_confirmations)

    def _suspected(self, name: str, now_us: int) -> None:
        """A suspicion may be over; hearsay alone buries nobody: it must have been found silent from here, too."""
        member = self.members.get(name)
        if member is None or member.suspicion is None:
            return
        ends_us = self._ends_us(member.suspicion, now_us)
        if now_us < ends_us:
            return  # an earlier timer: another is set
        if member.suspicion.own:
            self._set(member, member.claim, State.DEAD, now_us, "not refuted")
        else:
            # Probe it next, and look again: by then the own probe has failed, or it has answered and may refute.
            self._order.append(name)
            self._at(now_us + 2 * self.settings.probe_interval_us * (self.health + 1), "suspected", name)

    def _refute(self, incarnation: int, now_us: int) -> None:
        """Say that we live: once a period, for one word answers all that is held against earlier ones."""
        if now_us - self._refuted_us < self.settings.probe_interval_us // 2 and incarnation < self.me.incarnation:
            return
        self._refuted_us = now_us
        self.counts["refutations"] += 1
        later = msgspec.structs.replace(self.me, incarnation=max(incarnation, self.me.incarnation) + 1, signature=b"")
        claim = sign_claim(later, self._claim_signer)
        self.me = claim
        self._tell(claim)

    # ---- joining, leaving, forgetting

    def _rejoin(self, now_us: int) -> None:
        """Try a seed or a dead member now and then: who was cut off is found again, from either side."""
        self._at(now_us + self.settings.rejoin_interval_us
                 + int(self._random.random() * self.settings.rejoin_interval_us / 4), "rejoin", None)
        if self.leaving:
            return
        known = {m.claim.address for m in self._there.values()}
        away = [seed for seed in self.seeds if seed not in known]
        away += [m.claim.address for m in self._gone.values() if m.state is State.DEAD]
        if away:
            self._sync(self._random.choice(away), now_us)

    def _forget(self, now_us: int) -> None:
        for name in [n for n, m in self._gone.items() if now_us - m.since_us > self.settings.dead_member_retention_us]:
            del self.members[name], self._gone[name]

    def leave(self, now_us: int) -> None:
        """Say farewell: to as many as news is told to at first, at once, for there is no later."""
        claim = sign_claim(Leave(self.me.name, self.me.incarnation), self._claim_signer)
        self._tell(claim)
        for member in self._draw(self.times(), ""):
            self._ping(member, next(self._seqs), (claim,))
        self.leaving = True

    def report_server(self, report: ServerReport) -> None:
        """Spread what this instance saw of a server itself."""
        claim = sign_claim(report, self._claim_signer)
        self._tell(claim)

    def forward_report(self, report: ServerReport) -> None:
        """Spread what another saw, once it was found worth it."""
        self._tell(report)
