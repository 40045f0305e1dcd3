"""Every decision of the controller. Its events, actions and settings stand in ospreylug/interface.py.

From top to bottom: constants; what is known of a far exchange and its load grade; the roster; a call's life
(offered, route choice, set-up, answer or another attempt, final answer).
"""

from __future__ import annotations

import math
import random
from enum import IntEnum

from ospreylug import interface as io
from ospreylug.interface import Action, Cause, Outcome, Readiness, Repeatability, RepeatScope, RosterKind

# Constants: unit, reason, source (paper: Huang, Chen and Hung; DESIGN: the design page; ours).
PERIOD_US = 1_000_000  # us; the state of each processor is settled once a period (DESIGN)
LONGEST_PERIODS = 4  # periods; a thin stream's samples are kept so long, to reach MIN_SAMPLES (ours)
ALPHA = 0.1  # hysteresis around each threshold (DESIGN)
W1_TIMES, W2_TIMES = 5.0, 10.0  # least delays; mean waits of the thresholds (DESIGN: 4 and 8, left open)
W2_MOST_US = 500_000.0  # us; W2 is never more (DESIGN)
LEAST_MOST_US = W2_MOST_US / 2  # us; a least delay above was learnt in congestion: keeps W1 < W2 (ours)
MIN_SAMPLES = 5  # samples a period before a state may rise (DESIGN)
RESERVE = 2.0  # circuits that transit and alternative calls leave free (DESIGN: one, open above)
BUSY_NUMBER_US = 1_000_000  # us; no further call to a number just found with all lines busy (ours)
FURTHER_ATTEMPTS = 1  # attempts after the first that was sent; more feed a collapse (ours)
PATIENCE_LEAST_US = 300_000  # us; least time given to a set-up (ours)
REST_HOLDS = 0.5  # mean holding times; a tandem's rest for a destination after one block (ours)
REST_DOUBLINGS = 3  # times; blocks in a row double the rest, so often at most (ours)
SET_UP_LEASTS = 2.0  # least delays; time left below which a held call is not sent any more (ours)
DRAWN = 8  # tandems drawn, of which the one with most room is taken; also the most remembered (ours)
WORTH_CLEAR = 2.0  # times; a class worth so much more a circuit is refused from HEAVY only (ours)
WORTH_MORE = 1.2  # times; a class worth so much more a circuit has circuits kept for it (ours)
ASK_SHARE = 0.25  # of ask_every_us; how often a roster that has to be asked for is asked anew (ours)
POOLED = 0.25  # quantile of all set-up delays that tells the own processor's part in them (ours)
KEPT_SHARE = 0.1  # of a group's circuits; at most so many are kept for classes worth more, but one (ours)
HINT_MOST = 0.95  # share; a report that asks to hold back more counts as this (ours)
HELD = "held "  # start of the timer's token of a call that is held
AGAIN = "again "  # and of one whose set-up broke on its way
BROKEN_TRIES = 2  # further attempts after set-ups that broke; a far end may break them all (ours)
RATE_MEMORY = 0.2  # weight of the newest period in the set-ups seen to go to a processor (ours)


class Grade(IntEnum):
    """Load state of a processor (paper, section IV-B)."""

    LIGHT = 0
    FAIR = 1
    HEAVY = 2


class Far:
    """What this controller knows of one far exchange, or pool."""

    __slots__ = ("best", "cold_next_us", "entry", "free", "grade", "least_us", "out", "passed_us", "periods",
                 "proven", "rate", "samples", "sent", "settled", "size", "sum_delay", "sum_least")

    def __init__(self, entry: io.Entry) -> None:
        self.entry = entry
        self.grade = Grade.LIGHT
        self.free: float | None = None  # unknown circuits are not zero: set-ups are tried
        self.size: float | None = None
        self.least_us: dict[int, float] = {}  # by destination: a two-leg route has a longer floor
        self.out: dict[str, Call] = {}  # set-ups sent and not yet answered, oldest first
        self.samples, self.periods, self.sent, self.settled = 0, 0, 0, 0
        self.sum_least = self.sum_delay = 0.0
        self.proven = True  # False: its state fell for want of samples, not on delays
        self.rate = 0.0  # set-ups a second sent here of late
        self.cold_next_us = 0
        self.passed_us = 0  # when the latest of the set-ups answered was sent
        self.best = 0.0  # most set-ups a second that a report said it can take

    def sample(self, dest: int, delay_us: float) -> None:
        """Take one set-up delay over the route through here to dest."""
        least = min(self.least_us.get(dest, LEAST_MOST_US), max(delay_us, 1.0))
        self.least_us[dest] = least
        self.samples += 1
        self.sum_least += least
        self.sum_delay += max(delay_us, least)

    def lower_bound(self, dest: int, age_us: float) -> None:
        """Count an unanswered set-up's age as a delay, once it is longer than a light processor's."""
        least = self.least_us.get(dest, LEAST_MOST_US)
        if age_us > W1_TIMES * least:
            self.samples += 1
            self.sum_least += least
            self.sum_delay += age_us

    def full(self, dest: int) -> None:
        """'Processor full', or a turn-back for it, counts as a delay above W2: where HEAVY begins."""
        least = self.least_us.get(dest, LEAST_MOST_US)
        self.samples += 1
        self.sum_least += least
        self.sum_delay += least / (1.0 - (1.0 + ALPHA) * thresholds(least)[1])

    def hint(self, load: io.Load) -> None:
        """A load report counts as one more delay sample: at full size a pair's own samples are few.

        Covers thin streams. Late, noisy, frozen or absurd, a report is never the sole source: it comes with
        the end of a call, weighs no more than one delay, and its wait is cut to W2's most.
        """
        least = self.least_us.get(self.entry.number)
        wait_us, queue, takes, share = (v if v is not None and 0 <= v < math.inf else None for v in (
            load.wait_us, load.queue, load.capacity_per_s, load.hold_back))
        self.best = max(self.best, takes or 0.0)
        if wait_us is None and queue is not None and self.best:
            wait_us = queue / self.best * 1e6
        if least is not None and (wait_us is not None or share is not None):
            self.samples += 1
            self.sum_least += least
            asked_us = least / (1.0 - min(share or 0.0, HINT_MOST))  # a load of the share to hold back
            self.sum_delay += max(least + min(wait_us or 0.0, W2_MOST_US), asked_us)

    def lost(self, call: Call) -> bool:
        """Whether a later set-up was answered first: a processor has one line, so only the answer was lost.

        Guards a sound processor against being graded for lost answers, which look like a hang.
        """
        return call.sent_us < self.passed_us

    def unanswered(self, dest: int, age_us: float) -> None:
        """A set-up given up without an answer says no less than a full processor, however short its time was.

        Guards against short tries (a redial storm): cut off early, they would hide the far end's delay.
        """
        if age_us > W1_TIMES * self.least_us.get(dest, LEAST_MOST_US):
            self.full(dest)

    def settle(self, now_us: int) -> None:
        """Close a period: the state moves by the mean delay against the thresholds, with hysteresis."""
        # At first the mean of all periods: from nothing, a young controller would learn its own rate for ten
        # seconds, and meanwhile send next to nothing to a cold exchange.
        self.settled += 1
        self.rate += max(RATE_MEMORY, 1 / self.settled) * (self.sent * 1e6 / PERIOD_US - self.rate)
        self.sent = 0
        for call in self.out.values():
            if not self.lost(call):
                self.lower_bound(call.offer.dest, now_us - call.sent_us)
        self.periods += 1
        if not self.samples:
            self.proven = self.proven and self.grade is Grade.LIGHT
            self.grade = Grade(max(self.grade - 1, 0))
        else:
            load = 1.0 - self.sum_least / self.sum_delay
            self.grade = step(self.grade, load, self.sum_least / self.samples, self.samples >= MIN_SAMPLES)
            if load < (1 - ALPHA) * thresholds(self.sum_least / self.samples)[0]:
                self.proven = True
        if not self.samples or self.samples >= MIN_SAMPLES or self.periods >= LONGEST_PERIODS:
            self.samples, self.periods = 0, 0
            self.sum_least = self.sum_delay = 0.0


def thresholds(least_us: float) -> tuple[float, float]:
    """Loads at which a processor of this least delay meets W1 and W2; W1 < W2 whatever was measured."""
    least = min(max(least_us, 1.0), LEAST_MOST_US)
    w2 = min(W2_TIMES * least, W2_MOST_US)
    w1 = min(W1_TIMES * least, (least + w2) / 2)
    return 1.0 - least / w1, 1.0 - least / w2


def step(grade: Grade, load: float, least_us: float, may_rise: bool) -> Grade:
    """One transition of the paper's state diagram, by at most one state."""
    fair, heavy = thresholds(least_us)
    if may_rise and grade is not Grade.HEAVY and load > (1 + ALPHA) * (fair, heavy)[grade]:
        return Grade(grade + 1)
    if grade is not Grade.LIGHT and load < (1 - ALPHA) * (fair, heavy)[grade - 1]:
        return Grade(grade - 1)
    return grade


def worth_a_circuit(service: io.ServiceClass) -> float:
    """Worth of a call of this class for each circuit and second that it holds."""
    return service.worth / (service.width * max(service.hold_us, 1))


class Call:
    """One call in hand."""

    __slots__ = ("aim_us", "attempt", "broken", "deadline_us", "doubt", "doubt_us", "held_at", "kept", "late",
                 "not_before_us", "offer", "over", "sent_us", "service", "taken_us", "tried", "via", "waits",
                 "worth")

    def __init__(self, offer: io.CallOffered, service: io.ServiceClass, now_us: int) -> None:
        self.offer, self.service, self.taken_us, self.deadline_us = offer, service, now_us, offer.deadline_us
        self.attempt = -1  # number of the last attempt
        self.via: Far | None = None  # where an attempt is out, or the call stands
        self.doubt: Far | None = None  # where an attempt may have run
        self.sent_us = self.not_before_us = self.doubt_us = 0
        self.tried: list[int] = []
        self.aim_us = now_us + service.aim_us  # end of the time in which it earns its whole worth
        self.late = False  # a redial past the aim of its first try
        self.kept = 0.0  # circuits to be left free for classes worth clearly more
        self.over = False
        self.waits = False  # for the release of a set-up that broke
        self.broken = 0  # set-ups of it that broke
        self.worth = worth_a_circuit(service)
        self.held_at = -1  # number of the exchange whose circuits it waits for


class Controller:
    """The call control of one exchange. Hand every event to handle; carry out what it returns, in order."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.far: dict[str, Far] = {}  # by exchange, in the order learnt
        self.ready: dict[int, Far] = {}  # by number: where new work may go; made anew when the roster changes
        self.numbers: list[int] = []  # the numbers of ready but for the own one, in order
        self.own = Grade.LIGHT  # state of the own processor, through which every set-up goes
        self.pooled: list[tuple[float, float]] = []  # (delay / least, least) of this period's set-ups
        self.usual = 0.0  # set-ups a second that a warm processor was seen to get from here
        self.first_us: dict[tuple[str, int, int, int], int] = {}  # caller's first try, oldest caller first
        self.worths = worths = [worth_a_circuit(s) for s in settings.classes]
        # A pressed processor refuses the least worth first: from FAIR, a class worth clearly more from HEAVY.
        self.limit = [Grade.HEAVY if w > WORTH_CLEAR * min(worths) else Grade.FAIR for w in worths]
        self.kept = [self._wider(w) for w in worths]
        self.kept_late = [self._wider(w * s.late_worth)
                          for w, s in zip(worths, settings.classes, strict=True)]
        self.calls: dict[str, Call] = {}
        self.sticky: dict[int, list[int]] = {}  # destination: tandems remembered, the present one first
        self.blocked: dict[tuple[int, int], tuple[int, int]] = {}  # (tandem, destination): rest's end, blocks
        holds = [s.hold_us for s in settings.classes if s.hold_us]
        self.rest_us = int(REST_HOLDS * (sum(holds) / len(holds) if holds else settings.cold_us))
        # Calls held: by number of the exchange whose circuits they wait for, then by worth, the oldest first.
        self.held: dict[int, dict[float, dict[str, Call]]] = {}
        self.busy_until_us: dict[str, int] = {}  # called numbers found with all lines busy
        self.actions: list[Action] = []
        self.period_us: int | None = None  # when the present period ends
        self.asked_us: int | None = None
        self.now_us = 0

    def handle(self, now_us: int, event: io.Event) -> list[Action]:
        """Take one event; return what to do, in order."""
        self.now_us = max(self.now_us, now_us)
        self.actions = []
        self._clock()
        match event:
            case io.CallOffered():
                self._offered(event)
            case io.CallStands():
                self._stands(event)
            case io.AttemptEnded():
                self._ended(event)
            case io.GroupStatus():
                self._report(self.far.get(event.exchange), event.load)
                self._wake(self.far.get(event.exchange))
            case io.CallerGone():
                self._gone(event.call)
            case io.RosterChange():
                self._roster(event)
            case io.TimerDue():
                call = self.calls.get(event.token.removeprefix(HELD))
                if call is not None and call.via is None and event.token.startswith(HELD):
                    self._refuse(call)  # held long enough
                call = self.calls.get(event.token.removeprefix(AGAIN))
                if call is not None and call.waits and event.token.startswith(AGAIN):
                    call.waits = False
                    self._place(call)
            case io.PeerMessage():
                pass
        return self.actions

    # ---- periods and the roster

    def _clock(self) -> None:
        """Settle each period that has ended; after a long pause once is enough."""
        if self.period_us is None:
            self.period_us = self.now_us + PERIOD_US
            self.actions.append(io.SetTimer("period", self.period_us))
        if self.now_us < self.period_us:
            return
        self.period_us = self.now_us + PERIOD_US
        self.actions.append(io.SetTimer("period", self.period_us))
        for far in self.far.values():
            before = far.grade
            far.settle(self.now_us)
            if Grade.HEAVY in (before, far.grade) and before is not far.grade:
                self.actions.append(io.Log(f"exchange {far.entry.number}: {before.name} -> {far.grade.name}"))
        self._settle_own()
        for number in list(self.held):
            self._wake(self.ready.get(number))
        warm = [f.rate for f in self.far.values() if f.rate and (
            not f.entry.started_us or self.now_us - f.entry.started_us >= self.settings.cold_us)]
        oldest = self.now_us - max(s.deadline_us for s in self.settings.classes)
        while self.first_us and next(iter(self.first_us.values())) < oldest:
            del self.first_us[next(iter(self.first_us))]
        self.usual = sum(warm) / len(warm) if warm else 0.0
        self.busy_until_us = {n: t for n, t in self.busy_until_us.items() if t > self.now_us}
        every = self.settings.ask_every_us * ASK_SHARE
        if self.settings.roster_on_request and (self.asked_us is None or self.now_us - self.asked_us > every):
            self.asked_us = self.now_us
            self.actions.append(io.WatchRoster())

    def _settle_own(self) -> None:
        """Grade the own processor by the delays of all set-ups together, like a far one, once a period.

        Every set-up waits here first, so only a wait here makes even the quickest quarter slow: a few slow
        far ends do not. Guards a large fleet, where no stream to one exchange is thick enough to be graded.
        Harm: when most far ends are slow at once, the own one is taken for slow.
        """
        for far in self.far.values():
            for call in (c for c in far.out.values() if not far.lost(c)):
                self._pool(far, call.offer.dest, self.now_us - call.sent_us, W1_TIMES)
        before = self.own
        if not self.pooled:
            self.own = Grade(max(self.own - 1, 0))
        else:
            ratio, least = sorted(self.pooled)[int(POOLED * len(self.pooled))]
            self.own = step(self.own, 1.0 - 1.0 / ratio, least, len(self.pooled) >= MIN_SAMPLES)
        self.pooled = []
        if before is not self.own:
            self.actions.append(io.Log(f"own processor: {before.name} -> {self.own.name}"))

    def _pool(self, far: Far, dest: int, delay_us: float, over: float = 0.0) -> None:
        """Count a delay on the route through far to dest for the own processor, if over so many floors."""
        least = far.least_us.get(dest)
        if least is not None and delay_us > over * least:
            self.pooled.append((max(delay_us / least, 1.0), least))

    def _roster(self, event: io.RosterChange) -> None:
        if event.kind is RosterKind.UNAVAILABLE:
            self.asked_us = None
            return
        if event.kind is RosterKind.RESTORED and self.settings.roster_on_request:
            self.asked_us = self.now_us
            self.actions.append(io.WatchRoster())
        for entry in event.entries:
            far = self.far.get(entry.exchange)
            if far is None:
                self.far[entry.exchange] = Far(entry)
            else:
                far.entry = entry
        if event.kind is not RosterKind.UPDATE:  # absent from a complete list: gone
            named = {entry.exchange for entry in event.entries}
            for exchange in [e for e in self.far if e not in named]:
                del self.far[exchange]
        for exchange in [e for e, far in self.far.items() if far.entry.readiness is Readiness.GONE]:
            del self.far[exchange]
        self.ready = {}  # of two of one number, the one that started last
        for far in self.far.values():
            other = self.ready.get(far.entry.number)
            if far.entry.readiness is Readiness.READY and (
                    other is None or (far.entry.started_us or 0) > (other.entry.started_us or 0)):
                self.ready[far.entry.number] = far
        self.numbers = sorted(set(self.ready) - {self.settings.home})

    def _cold_wait_us(self, far: Far) -> int:
        """Least gap between set-ups to a cold processor (0: it is warm).

        Guards against pushing it over: this controller's share of multiple x coldFrom x what warm processors
        were seen to take from it, spread evenly, so that unused room is not saved for a burst.
        """
        settings, started = self.settings, far.entry.started_us
        if not started or self.now_us - started >= settings.cold_us or not settings.fall_us:
            return 0
        rate = max(self.usual * settings.fall_multiple * settings.cold_from, 1e6 / settings.fall_us)
        return int(1e6 / rate)

    def _held_back(self, far: Far) -> bool:
        """Whether no fresh set-up may go to this processor just now.

        A processor that stepped down in silence gets one set-up at a time until delays prove it light: else
        all senders return at once and a slow one never answers in time. Covers hang, stall, cut and slow, far
        or at home; harm: a recovered exchange fills up a period or two later.
        """
        if not far.proven and far.out:
            return True
        return bool(self._cold_wait_us(far)) and self.now_us < far.cold_next_us

    def _report(self, far: Far | None, load: io.Load) -> None:
        if far is not None:
            far.free = far.free if load.free is None else load.free
            far.size = far.size if load.size is None else load.size

    # ---- a call's life

    def _offered(self, offer: io.CallOffered) -> None:
        if offer.call in self.calls:
            return
        if not 0 <= offer.service < len(self.settings.classes):
            self.actions.append(io.Refuse(offer.call))
            return
        call = Call(offer, self.settings.classes[offer.service], self.now_us)
        call.kept = self.kept[offer.service]
        if offer.number and not offer.transit:
            self._redial(call)
        self.calls[offer.call] = call
        self._place(call)

    def _redial(self, call: Call) -> None:
        """The aim runs from the caller's first try: a try past it earns part of its worth, and gives way.

        Calls for the same number, class and customer within a class's give-up time count as one caller's.
        Covers overload, crowded numbers and callers who redial at once; harm: two callers of one number.
        """
        offer, now = call.offer, self.now_us
        key = (offer.number, offer.dest, offer.service, offer.tenant)
        first = self.first_us.get(key)
        if first is None or offer.cut_before or now - first > call.service.deadline_us:
            self.first_us.pop(key, None)
            self.first_us[key] = first = now
        call.aim_us = first + call.service.aim_us
        if now > call.aim_us:
            call.late, call.kept = True, self.kept_late[offer.service]

    def _place(self, call: Call) -> None:
        """Admit the call and choose its route, or turn it away."""
        offer = call.offer
        dest = self.ready.get(offer.dest)
        pressed = self.own is not Grade.LIGHT
        if dest is None or (call.late and pressed) or self.busy_until_us.get(offer.number, 0) > self.now_us:
            self._refuse(call)
        elif not offer.transit and self._held_back(dest):
            self._hold(call, dest)  # a tandem would only bring it to the same processor
        elif offer.transit:
            silent = not dest.proven and bool(dest.out)
            room = self._room(dest, offer.width, call.kept, RESERVE)
            if dest.grade is Grade.HEAVY or silent or not room or not self._send(call, dest):
                self._refuse(call)
        elif dest.grade >= (Grade.FAIR if call.late else self.limit[offer.service]):
            self._hold(call, dest)
        elif dest.entry.number not in call.tried and not self._ahead(call, dest) and self._room(
                dest, offer.width, call.kept, RESERVE if call.late else 0.0) and self._send(call, dest):
            pass
        else:
            tandem = None if call.late or pressed else self._tandem(call, dest)
            if tandem is None or not self._send(call, tandem):
                self._hold(call, dest)

    def _hold(self, call: Call, dest: Far) -> None:
        """No circuit: hold the call while it can still stand in time; a circuit that frees goes to it.

        A refusal would only bring the caller back later, and each try is work. It waits for the direct group,
        or where there is none for the group to the tandem remembered. Covers full and shrunken groups and
        callers who redial at once; harm: more calls stand late in their time.
        """
        number = dest.entry.number
        if dest.size == 0 or not self._may(call.offer, number):
            number = next((n for n in self.sticky.get(number, ()) if self._may(call.offer, n)), number)
        margin_us = SET_UP_LEASTS * dest.least_us.get(dest.entry.number, LEAST_MOST_US)
        until = int(min(call.deadline_us, call.aim_us) - margin_us)
        if call.late or until <= self.now_us or not self._may(call.offer, number):
            self._refuse(call)
            return
        call.held_at = number
        self.held.setdefault(number, {}).setdefault(call.worth, {})[call.offer.call] = call
        self.actions.append(io.SetTimer(HELD + call.offer.call, until))

    def _let_go(self, call: Call) -> None:
        """The call is held no longer. Guards the CPU: each event of its group would look at it again."""
        by_worth = self.held.get(call.held_at, {})
        if (calls := by_worth.get(call.worth)) is not None:
            calls.pop(call.offer.call, None)
            if not calls:
                del by_worth[call.worth]
            if not by_worth:
                del self.held[call.held_at]
        call.held_at = -1

    def _ahead(self, call: Call, far: Far) -> bool:
        """Whether a call worth more a circuit is held for this group: wide calls gather circuits there."""
        held = self.held.get(far.entry.number)
        return held is not None and max(held) > call.worth

    def _wake(self, far: Far | None) -> None:
        """Place the calls held for circuits to this exchange again, the most worth first."""
        while far is not None and (held := self.held.get(far.entry.number)):
            call = next(iter(held[max(held)].values()))
            reserve = RESERVE if call.offer.dest != far.entry.number else 0.0
            if not self._room(far, call.offer.width, call.kept, reserve):
                break
            self._let_go(call)
            self._place(call)
            if call.via is None and not call.over:
                break

    def _wider(self, worth: float) -> float:
        """Circuits that a direct call of this worth leaves free: the width of a class worth more.

        Trunk reservation by worth; guards wide and urgent calls in full groups, whatever filled them. Thin
        groups keep one: in those a wide class's width would stand idle most of the time.
        """
        return max((s.width for s, v in zip(self.settings.classes, self.worths, strict=True)
                    if v > worth * WORTH_MORE), default=0.0)

    @staticmethod
    def _room(far: Far, width: float, kept: float, reserve: float = 0.0) -> bool:
        """Whether a call of this width may take circuits to far, with so many kept and in reserve."""
        if far.free is None:
            return True
        kept = min(kept, max(1.0, KEPT_SHARE * far.size)) if far.size else kept
        return far.free - width >= reserve + kept

    def _tandem(self, call: Call, dest: Far) -> Far | None:
        """The tandem remembered for the destination; drawn anew after a block."""
        pools, limit, number = call.service.pools, self.limit[call.offer.service], dest.entry.number

        def fit(far: Far | None) -> bool:
            return (far is not None and far.grade < limit and not self._held_back(far)
                    and self._may(call.offer, far.entry.number)
                    and far.entry.number not in call.tried
                    and self.blocked.get((far.entry.number, number), (0, 0))[0] <= self.now_us
                    and self._room(far, call.offer.width, call.kept, RESERVE))

        kept = self.sticky.setdefault(number, [])
        for tier in call.offer.tiers or (None,):
            for at in kept:
                if (tier is None or at in tier) and fit(self.ready.get(at)):
                    return self.ready[at]
            pool = self.numbers if tier is None else [n for n in self.numbers if n in tier]
            drawn = [self.ready[n] for n in self.random.sample(pool, min(DRAWN, len(pool)))
                     if n != number and (not pools or n in pools) and fit(self.ready[n])]
            if drawn:
                best = max(drawn, key=lambda far: math.inf if far.free is None else far.free)
                kept.insert(0, best.entry.number)
                del kept[DRAWN:]
                return best
        return None

    @staticmethod
    def _may(offer: io.CallOffered, number: int) -> bool:
        """Whether the call may be sent to this exchange at all: a plan of routes may have narrowed that."""
        return number not in offer.never and (
            not offer.tiers or any(tier is None or number in tier for tier in offer.tiers))

    def _send(self, call: Call, far: Far) -> bool:
        """The only place that sends a set-up: whatever was decided, the five rules are checked here."""
        settings, offer, now = self.settings, call.offer, self.now_us
        number = far.entry.number
        if call.over or call.via is not None or now >= call.deadline_us or now < call.not_before_us:
            return False  # rules 1, 2 and 5: not after the end, one attempt at a time, release awaited
        if call.attempt + 1 >= settings.max_attempts or far.entry.readiness is not Readiness.READY:
            return False  # rule 3: drains are kept
        if number == settings.home or (offer.transit and number != offer.dest):
            return False
        if not self._may(offer, number):
            return False
        if settings.topology is io.Topology.POOLS and call.service.pools and number not in call.service.pools:
            return False
        if call.doubt is not None and not self._may_repeat(call, far):
            return False  # rule 2, for classes that may not run twice
        gap_us = self._cold_wait_us(far)
        if gap_us and now < far.cold_next_us:
            return False  # rule 4: a cold processor is not pushed over
        far.cold_next_us = now + gap_us
        call.attempt += 1
        call.via, call.sent_us = far, now
        call.tried.append(number)
        far.out[offer.call] = call
        far.sent += 1
        if far.free is not None:
            far.free -= offer.width
        # Give up at the aim: a set-up still unanswered then is dropped from the far queue, which bounds the
        # queue by what is still worth serving (jam, hang, stall). Harm: a late answer's part worth is lost.
        aim_us = call.taken_us + call.service.aim_us if call.late else call.aim_us
        until = max(aim_us, now + PATIENCE_LEAST_US)
        self.actions.append(io.SetUp(offer.call, far.entry.exchange, min(call.deadline_us, until) - now))
        return True

    def _may_repeat(self, call: Call, far: Far) -> bool:
        service, first = call.service, call.doubt
        if service.repeatability is Repeatability.FREE or first is None:
            return True
        if service.repeatability is Repeatability.SINGLE or (
                self.now_us - call.doubt_us > service.repeat_window_us):
            return False
        return (service.repeat_scope is RepeatScope.ALL or far.entry.exchange == first.entry.exchange
                or (service.repeat_scope is RepeatScope.ZONE and far.entry.zone == first.entry.zone))

    def _stands(self, event: io.CallStands) -> None:
        call = self.calls.get(event.call)
        if call is None or call.via is None or event.attempt != call.attempt:
            return
        call.via.out.pop(event.call, None)
        self._pool(call.via, call.offer.dest, event.delay_us)
        call.via.passed_us = max(call.via.passed_us, call.sent_us)
        self._wake(call.via)
        call.via.sample(call.offer.dest, event.delay_us)
        self.blocked.pop((call.via.entry.number, call.offer.dest), None)

    def _ended(self, event: io.AttemptEnded) -> None:
        self._report(self.far.get(event.exchange), event.load)
        call = self.calls.get(event.call)
        if event.exchange in self.far:
            self.far[event.exchange].hint(event.load)
        if call is None or call.via is None or event.attempt != call.attempt:
            return
        far, call.via = call.via, None
        answered = far.out.pop(event.call, None) is None
        outcome, cause = event.outcome, event.cause
        if cause in (Cause.PROCESSOR_FULL, Cause.CRANKBACK_FULL) and outcome is Outcome.TURNED_AWAY:
            hit = self.ready.get(call.offer.dest) if cause is Cause.CRANKBACK_FULL else far
            if hit is not None:
                hit.full(call.offer.dest)
        elif outcome is Outcome.UNREACHABLE:
            far.full(call.offer.dest)
        elif outcome in (Outcome.TIMEOUT, Outcome.CALLED_OFF) and not answered and not far.lost(call):
            far.unanswered(call.offer.dest, event.delay_us)
            self._pool(far, call.offer.dest, event.delay_us)
        if outcome is Outcome.NUMBER_FAULT and cause is Cause.LINES_BUSY:
            self.busy_until_us[call.offer.number] = self.now_us + BUSY_NUMBER_US
        tandem_full = cause is Cause.PROCESSOR_FULL and far.entry.number != call.offer.dest
        if cause in (Cause.NO_CIRCUIT, Cause.CRANKBACK, Cause.CRANKBACK_FULL) or tandem_full:
            self._block(far.entry.number, call.offer.dest)
            if outcome is Outcome.NOT_SENT and event.load.free is None:
                far.free = 0.0
        if outcome in (Outcome.NUMBER_FAULT, Outcome.TIMEOUT, Outcome.CUT, Outcome.CALLED_OFF) and (
                call.doubt is None):
            call.doubt, call.doubt_us = far, call.sent_us
        if outcome in (Outcome.TIMEOUT, Outcome.CUT, Outcome.CALLED_OFF):
            call.not_before_us = self.now_us + self.settings.release_us
        if event.settled or call.over or outcome is Outcome.OK:
            self.calls.pop(event.call, None)
        elif call.offer.transit or cause in (Cause.CRANKBACK_FULL, Cause.LINES_BUSY) or (
                cause is Cause.PROCESSOR_FULL and not tandem_full):
            self._refuse(call)
        elif outcome in (Outcome.CUT, Outcome.UNREACHABLE) and self._broke(call, far, outcome):
            pass
        elif outcome in (Outcome.TURNED_AWAY, Outcome.NOT_SENT) and len(call.tried) <= FURTHER_ATTEMPTS + (
                self.own is Grade.LIGHT):
            self._place(call)
        else:
            self._refuse(call)

    def _broke(self, call: Call, far: Far, outcome: Outcome) -> bool:
        """Place a call again whose set-up broke on its way, the same route included; False: not any more.

        Neither exchange was full: what broke was a connection. It waits for the release of what may have run.
        Covers spoilt answers, resets and peers that closed; harm: more work for an exchange that breaks all.
        """
        call.broken += 1
        if call.broken > BROKEN_TRIES or call.late:
            return False
        if outcome is Outcome.UNREACHABLE:  # nothing ran, and nothing runs there now: another route, at once
            self._place(call)
            return True
        until = min(call.deadline_us, call.aim_us) - SET_UP_LEASTS * far.least_us.get(call.offer.dest, 0.0)
        if call.not_before_us >= until or not self._may_repeat(call, far):
            return False
        call.tried.remove(far.entry.number)
        call.waits = True
        self.actions.append(io.SetTimer(AGAIN + call.offer.call, call.not_before_us))
        return True

    def _block(self, tandem: int, dest: int) -> None:
        """A tandem turned a call back: it rests for that destination, twice as long after each in a row.

        Turn-backs cost two processors and tip a full network into a jam; a tandem that refuses all at once
        keeps its groups free and would draw ever more calls. Doubling learns which tandems have no way on.
        Covers shrunken groups and cut links, too; harm: a short block outlives its cause.
        """
        kept, blocks = self.sticky.get(dest, []), self.blocked.get((tandem, dest), (0, 0))[1]
        if blocks and tandem in kept:
            kept.remove(tandem)  # redrawn after a block; one block alone does not forget a tandem that worked
        self.blocked[tandem, dest] = (self.now_us + (self.rest_us << blocks), min(blocks + 1, REST_DOUBLINGS))

    def _gone(self, name: str) -> None:
        call = self.calls.get(name)
        if call is not None:
            call.over = True
            self._let_go(call)
            if call.via is None:
                del self.calls[name]

    def _refuse(self, call: Call) -> None:
        """Final answer: turned away, or failed where an attempt may have run and must stay single."""
        call.over = True
        self._let_go(call)
        del self.calls[call.offer.call]
        service = call.service
        narrow = (service.repeatability is Repeatability.GUARDED
                  and service.repeat_scope is not RepeatScope.ALL)
        if call.doubt is not None and (service.repeatability is Repeatability.SINGLE or narrow):
            self.actions.append(io.Fail(call.offer.call))
        else:
            self.actions.append(io.Refuse(call.offer.call, self._cooldown_us(call)))

    def _cooldown_us(self, call: Call) -> int:
        """When the caller should return: no state changes before the period's end, so no answer does.

        A redial past its aim stays away as long as callers honour. Guards the processors in overload, which
        look at every redial; harm: some of its part worth is lost. Spread over a period, since callers who
        were all told one instant come back at one instant.
        """
        most = self.settings.max_caller_wait_us if self.settings.callers_wait else 0
        rest = (self.period_us or self.now_us) - self.now_us + self.random.random() * PERIOD_US
        return most if call.late else max(0, min(int(rest), most))
