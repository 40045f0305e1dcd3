"""Decides how calls are routed. The events, actions and settings are defined in ospreylug/interface.py.

Grades follow Huang, Chen and Hung, "A QoS-Aware Transcoding Proxy Using On-demand Data Broadcasting".
"""

from __future__ import annotations

import math
import random
from enum import IntEnum

from ospreylug import interface as io
from ospreylug.interface import Action, Cause, Outcome, Readiness, Repeatability, RepeatScope, RosterKind

GRADING_PERIOD_US = 1_000_000  # the grade of every processor is updated once per period
MAX_SAMPLING_PERIODS = 4  # periods over which the samples of little traffic add up, to reach MIN_SAMPLES
HYSTERESIS = 0.1  # fraction by which the load has to pass a threshold before the grade changes
# Mean delays where FAIR and HEAVY begin, in minimum ones; 4 and 8 in the design, which leaves them open.
W1_MULTIPLE, W2_MULTIPLE = 5.0, 10.0
MAX_W2_US = 500_000.0
MAX_MIN_DELAY_US = MAX_W2_US / 2  # also the default; a higher one was learned in congestion; keeps W1 < W2
MIN_SAMPLES = 5  # delay samples needed before a grade may rise
TRUNK_RESERVATION = 2.0  # circuits that transit, overflow and late calls leave free; the design has 1 or more
BUSY_NUMBER_BACKOFF_US = 1_000_000  # time without further calls to a number whose lines were all busy
MAX_FURTHER_ATTEMPTS = 1  # after the first, +1 while the own grade is LIGHT; more feed a congestion collapse
MIN_SET_UP_TIMEOUT_US = 300_000  # even if the aim is nearer or past; never beyond the caller's deadline
TANDEM_BACKOFF_HOLDING_TIMES = 0.5  # mean holding times; a tandem's backoff for a destination after one block
MAX_BACKOFF_DOUBLINGS = 3  # every further block in a row doubles the backoff, up to this many times
SET_UP_MARGIN_MULTIPLE = 2.0  # minimum delays; with less time left a queued call is not sent any more
TANDEM_SAMPLE_SIZE = 8  # tandems drawn, of which that with most free circuits is used; maximum remembered
HEAVY_ONLY_WORTH_RATIO = 2.0  # of worth_per_circuit_time to the least: above, refusal only at HEAVY
RESERVATION_WORTH_RATIO = 1.2  # of worth_per_circuit_time: above, the class worth more has a reservation
ROSTER_REQUEST_RATIO = 0.25  # of ask_every_us: time after which the roster is requested again
OWN_DELAY_QUANTILE = 0.25  # low quantile of all set-up delays; shows the delay at the own processor
MAX_RESERVED_FRACTION = 0.1  # of a group's circuits reserved for classes worth more; at least one circuit
MAX_HOLD_BACK_FRACTION = 0.95  # a report that asks for more counts as this: 1 would be an infinite delay
QUEUED_TOKEN_PREFIX = "held "  # of the timer token of a queued call
RETRY_TOKEN_PREFIX = "again "  # of the timer token of a call whose set-up lost its connection
MAX_CONNECTION_LOSS_ATTEMPTS = 2  # further attempts after lost connections; an exchange may break them all
RATE_SMOOTHING = 0.2  # weight of the newest period in the moving average of the set-up rate


class Grade(IntEnum):
    """Load state of a processor, as in section IV-B of the paper."""

    LIGHT = 0
    FAIR = 1
    HEAVY = 2


class ExchangeState:
    """What this controller knows of one remote exchange, or of one pool."""

    __slots__ = ("delay_sum_us", "entry", "free", "grade", "is_grade_confirmed", "last_answered_sent_us",
                 "min_delay_sum_us", "min_delays_us", "pending", "reported_capacity", "sample_count",
                 "sent_count", "set_up_rate", "size", "slow_start_next_us", "total_periods", "window_periods")

    def __init__(self, entry: io.Entry) -> None:
        self.entry = entry
        self.grade = Grade.LIGHT
        self.free: float | None = None  # free circuits; while unknown, set-ups are tried
        self.size: float | None = None  # circuits of the group
        self.min_delays_us: dict[int, float] = {}  # by destination: a two-leg route has a longer minimum
        self.pending: dict[str, Call] = {}  # set-ups sent and not yet answered, oldest first
        # Samples and periods since the sums were last cleared; set-ups of this period; all periods.
        self.sample_count, self.window_periods, self.sent_count, self.total_periods = 0, 0, 0, 0
        self.min_delay_sum_us = self.delay_sum_us = 0.0
        self.is_grade_confirmed = True  # False: it fell for want of samples, not through short delays
        self.set_up_rate = 0.0  # moving average of the set-ups per second sent to it
        self.slow_start_next_us = 0  # earliest time of the next set-up while the processor is cold
        self.last_answered_sent_us = 0  # sending time of the latest set-up that was answered
        self.reported_capacity = 0.0  # highest capacity in a report, in set-ups per second

    def add_delay(self, dest: int, delay_us: float) -> None:
        """Add the delay of one set-up over the route through this exchange to dest."""
        min_delay_us = min(self.min_delays_us.get(dest, MAX_MIN_DELAY_US), max(delay_us, 1.0))
        self.min_delays_us[dest] = min_delay_us
        self.sample_count += 1
        self.min_delay_sum_us += min_delay_us
        self.delay_sum_us += max(delay_us, min_delay_us)

    def add_pending_age(self, dest: int, age_us: float) -> None:
        """Add the age of an unanswered set-up as a delay, once it exceeds those of a LIGHT processor."""
        min_delay_us = self.min_delays_us.get(dest, MAX_MIN_DELAY_US)
        if age_us > W1_MULTIPLE * min_delay_us:
            self.sample_count += 1
            self.min_delay_sum_us += min_delay_us
            self.delay_sum_us += age_us

    def add_processor_full(self, dest: int) -> None:
        """Add 'processor full', or a crankback for it, as the lowest delay that can make a grade HEAVY."""
        min_delay_us = self.min_delays_us.get(dest, MAX_MIN_DELAY_US)
        self.sample_count += 1
        self.min_delay_sum_us += min_delay_us
        self.delay_sum_us += min_delay_us / (1.0 - (1.0 + HYSTERESIS) * load_thresholds(min_delay_us)[1])

    def add_load_report(self, load: io.Load) -> None:
        """Add a load report as one more delay sample: in large networks a pair has few samples of its own.

        Reports can be late, noisy, frozen or absurd, so they are never the only source: each comes with the
        end of an attempt and counts like one delay, and its waiting time is limited.
        """
        min_delay_us = self.min_delays_us.get(self.entry.number)
        wait_us, queue, capacity, hold_back = (v if v is not None and 0 <= v < math.inf else None for v in (
            load.wait_us, load.queue, load.capacity_per_s, load.hold_back))
        self.reported_capacity = max(self.reported_capacity, capacity or 0.0)
        if wait_us is None and queue is not None and self.reported_capacity:
            wait_us = queue / self.reported_capacity * 1e6
        if min_delay_us is not None and (wait_us is not None or hold_back is not None):
            self.sample_count += 1
            self.min_delay_sum_us += min_delay_us
            # The fraction to hold back counts as the load of the processor, see load_thresholds.
            load_delay_us = min_delay_us / (1.0 - min(hold_back or 0.0, MAX_HOLD_BACK_FRACTION))
            self.delay_sum_us += max(min_delay_us + min(wait_us or 0.0, MAX_W2_US), load_delay_us)

    def is_answer_lost(self, call: Call) -> bool:
        """Whether a set-up sent later was answered: then this one was handled and only its answer was lost.

        This holds because a processor handles set-ups in the order of arrival. Counted as pending, lost
        answers would look like a hang and raise the grade of a healthy processor.
        """
        return call.sent_us < self.last_answered_sent_us

    def add_unanswered(self, dest: int, age_us: float) -> None:
        """Add an unanswered attempt like 'processor full', once it lasted longer than at a LIGHT processor.

        In a redial storm attempts are cut off early, and their own times would hide the remote delay.
        """
        if age_us > W1_MULTIPLE * self.min_delays_us.get(dest, MAX_MIN_DELAY_US):
            self.add_processor_full(dest)

    def update_grade(self, now_us: int) -> None:
        """End a grading period: compare the mean delay with the thresholds, with hysteresis."""
        # The rate is at first the mean of all periods: a moving average that starts from zero would take ten
        # seconds to reach the rate, and until then almost nothing would be sent to a cold exchange.
        self.total_periods += 1
        self.set_up_rate += max(RATE_SMOOTHING, 1 / self.total_periods) * (
            self.sent_count * 1e6 / GRADING_PERIOD_US - self.set_up_rate)
        self.sent_count = 0
        for call in self.pending.values():
            if not self.is_answer_lost(call):
                self.add_pending_age(call.offer.dest, now_us - call.sent_us)
        self.window_periods += 1
        if not self.sample_count:
            self.is_grade_confirmed = self.is_grade_confirmed and self.grade is Grade.LIGHT
            self.grade = Grade(max(self.grade - 1, 0))
        else:
            load = 1.0 - self.min_delay_sum_us / self.delay_sum_us
            self.grade = next_grade(self.grade, load, self.min_delay_sum_us / self.sample_count,
                                    self.sample_count >= MIN_SAMPLES)
            if load < (1 - HYSTERESIS) * load_thresholds(self.min_delay_sum_us / self.sample_count)[0]:
                self.is_grade_confirmed = True
        # Too few samples count in the next period too.
        if (not self.sample_count or self.sample_count >= MIN_SAMPLES
                or self.window_periods >= MAX_SAMPLING_PERIODS):
            self.sample_count, self.window_periods = 0, 0
            self.min_delay_sum_us = self.delay_sum_us = 0.0


def load_thresholds(min_delay_us: float) -> tuple[float, float]:
    """Return the loads at which the mean delay reaches W1 and W2. W1 < W2 whatever minimum was measured.

    The load of a processor, from 0 to 1, is 1 - minimum delay / mean delay.
    """
    limited_us = min(max(min_delay_us, 1.0), MAX_MIN_DELAY_US)
    w2_us = min(W2_MULTIPLE * limited_us, MAX_W2_US)
    w1_us = min(W1_MULTIPLE * limited_us, (limited_us + w2_us) / 2)
    return 1.0 - limited_us / w1_us, 1.0 - limited_us / w2_us


def next_grade(grade: Grade, load: float, min_delay_us: float, may_rise: bool) -> Grade:
    """Return the grade after one transition of the paper's state diagram (section IV-B): at most one step."""
    fair, heavy = load_thresholds(min_delay_us)
    if may_rise and grade is not Grade.HEAVY and load > (1 + HYSTERESIS) * (fair, heavy)[grade]:
        return Grade(grade + 1)
    if grade is not Grade.LIGHT and load < (1 - HYSTERESIS) * (fair, heavy)[grade - 1]:
        return Grade(grade - 1)
    return grade


def worth_per_circuit_time(service: io.ServiceClass) -> float:
    """Return the worth of a call of this class per circuit and microsecond of its holding time."""
    return service.worth / (service.width * max(service.hold_us, 1))


class Call:
    """A call from its offer to its final answer or its release."""

    __slots__ = ("aim_us", "attempt", "awaits_release", "deadline_us", "has_ended", "is_late",
                 "lost_connections", "next_hop", "not_before_us", "offer", "possibly_executed_by",
                 "possibly_executed_us", "queued_for", "reserved", "sent_us", "service", "start_us",
                 "tried_exchanges", "worth_per_circuit_time")

    def __init__(self, offer: io.CallOffered, service: io.ServiceClass, now_us: int) -> None:
        self.offer, self.service, self.start_us, self.deadline_us = offer, service, now_us, offer.deadline_us
        self.attempt = -1  # number of the last attempt
        self.next_hop: ExchangeState | None = None  # where a set-up is pending or the call is established
        self.possibly_executed_by: ExchangeState | None = None  # where an attempt may have been executed
        # When the last attempt was sent, when the next one may be, and when the one possibly executed was.
        self.sent_us = self.not_before_us = self.possibly_executed_us = 0
        self.tried_exchanges: list[int] = []  # their numbers
        self.aim_us = now_us + service.aim_us  # absolute time up to which an answer earns the full worth
        self.is_late = False  # a redial after the aim of the caller's first attempt
        self.reserved = 0.0  # circuits it leaves free for classes worth more
        self.has_ended = False
        self.awaits_release = False  # the release of a set-up whose connection was lost
        self.lost_connections = 0  # set-ups of this call that lost their connection
        self.worth_per_circuit_time = worth_per_circuit_time(service)
        self.queued_for = -1  # number of the exchange for whose circuits it is queued


class Controller:
    """The call control of one exchange: takes events and returns actions, to be carried out in order."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.exchanges: dict[str, ExchangeState] = {}  # by name, in the order of their first appearance
        self.ready_exchanges: dict[int, ExchangeState] = {}  # by number; they may get new calls
        self.tandem_numbers: list[int] = []  # keys of ready_exchanges without the own exchange, sorted
        self.own_grade = Grade.LIGHT  # of the own processor, which handles every set-up
        self.delay_ratios: list[tuple[float, float]] = []  # this period's (delay / minimum, minimum)
        self.warm_rate = 0.0  # mean set-ups per second sent from here to a warmed-up processor
        # When a caller made the first attempt, by called number, destination, class and tenant; oldest first.
        self.first_offer_us: dict[tuple[str, int, int, int], int] = {}
        self.class_worths = class_worths = [worth_per_circuit_time(s) for s in settings.classes]
        # By class, the grade from which calls are not sent: a loaded processor first loses those worth least.
        self.refusal_grades = [Grade.HEAVY if w > HEAVY_ONLY_WORTH_RATIO * min(class_worths) else Grade.FAIR
                               for w in class_worths]
        self.reserved_widths = [self._reserved_width(w) for w in class_worths]
        self.late_reserved_widths = [self._reserved_width(w * s.late_worth)
                                     for w, s in zip(class_worths, settings.classes, strict=True)]
        self.calls: dict[str, Call] = {}
        self.remembered_tandems: dict[int, list[int]] = {}  # by destination, the one in use first
        # By (tandem, destination): when the backoff ends, and the number of blocks in a row.
        self.tandem_backoffs: dict[tuple[int, int], tuple[int, int]] = {}
        holding_times = [s.hold_us for s in settings.classes if s.hold_us]
        self.tandem_backoff_us = int(TANDEM_BACKOFF_HOLDING_TIMES * (
            sum(holding_times) / len(holding_times) if holding_times else settings.cold_us))
        # By number of the exchange whose circuits the calls wait for, then by worth, the oldest call first.
        self.queued: dict[int, dict[float, dict[str, Call]]] = {}
        self.busy_numbers_until_us: dict[str, int] = {}  # by called number, after all its lines were busy
        self.actions: list[Action] = []
        self.period_end_us: int | None = None
        self.roster_requested_us: int | None = None
        self.now_us = 0

    def handle(self, now_us: int, event: io.Event) -> list[Action]:
        """Process one event and return the actions that it causes, in order.

        A time before that of an earlier event counts as the time of that event.
        """
        self.now_us = max(self.now_us, now_us)
        self.actions = []
        self._end_period_if_due()
        match event:
            case io.CallOffered():
                self._on_call_offered(event)
            case io.CallStands():
                self._on_call_answered(event)
            case io.AttemptEnded():
                self._on_attempt_ended(event)
            case io.GroupStatus():
                self._update_circuits(self.exchanges.get(event.exchange), event.load)
                self._route_queued_calls(self.exchanges.get(event.exchange))
            case io.CallerGone():
                self._on_caller_gone(event.call)
            case io.RosterChange():
                self._update_roster(event)
            case io.TimerDue():
                call = self.calls.get(event.token.removeprefix(QUEUED_TOKEN_PREFIX))
                if call is not None and call.next_hop is None and event.token.startswith(QUEUED_TOKEN_PREFIX):
                    self._refuse(call)  # no circuit became free in time
                call = self.calls.get(event.token.removeprefix(RETRY_TOKEN_PREFIX))
                if call is not None and call.awaits_release and event.token.startswith(RETRY_TOKEN_PREFIX):
                    call.awaits_release = False
                    self._route_call(call)
            case io.PeerMessage():
                pass  # nothing is exchanged between controllers
        return self.actions

    def _end_period_if_due(self) -> None:
        """End the grading period once its time is over; after a long pause one update is enough."""
        if self.period_end_us is None:
            self.period_end_us = self.now_us + GRADING_PERIOD_US
            self.actions.append(io.SetTimer("period", self.period_end_us))
        if self.now_us < self.period_end_us:
            return
        self.period_end_us = self.now_us + GRADING_PERIOD_US
        self.actions.append(io.SetTimer("period", self.period_end_us))
        for state in self.exchanges.values():
            before = state.grade
            state.update_grade(self.now_us)
            if Grade.HEAVY in (before, state.grade) and before is not state.grade:  # no set-ups at HEAVY
                self.actions.append(io.Log(
                    f"exchange {state.entry.number}: {before.name} -> {state.grade.name}"))
        self._update_own_grade()
        for number in list(self.queued):
            self._route_queued_calls(self.ready_exchanges.get(number))
        warm_rates = [e.set_up_rate for e in self.exchanges.values() if e.set_up_rate and (
            not e.entry.started_us or self.now_us - e.entry.started_us >= self.settings.cold_us)]
        oldest_us = self.now_us - max(s.deadline_us for s in self.settings.classes)
        while self.first_offer_us and next(iter(self.first_offer_us.values())) < oldest_us:
            del self.first_offer_us[next(iter(self.first_offer_us))]
        self.warm_rate = sum(warm_rates) / len(warm_rates) if warm_rates else 0.0
        self.busy_numbers_until_us = {n: t for n, t in self.busy_numbers_until_us.items() if t > self.now_us}
        interval_us = self.settings.ask_every_us * ROSTER_REQUEST_RATIO
        if self.settings.roster_on_request and (
                self.roster_requested_us is None or self.now_us - self.roster_requested_us > interval_us):
            self.roster_requested_us = self.now_us
            self.actions.append(io.WatchRoster())

    def _update_own_grade(self) -> None:
        """Grade the own processor once a period by the delays of all set-ups together, like a remote one.

        Every set-up waits here first, so only a wait here slows even the fastest quarter of them; a few slow
        remote exchanges do not. In a large network no stream to one exchange has enough samples to be graded.
        The cost is that the own processor is taken for slow when most remote exchanges are slow at once.
        """
        for state in self.exchanges.values():
            for call in (c for c in state.pending.values() if not state.is_answer_lost(c)):
                self._add_delay_ratio(state, call.offer.dest, self.now_us - call.sent_us, W1_MULTIPLE)
        before = self.own_grade
        if not self.delay_ratios:
            self.own_grade = Grade(max(self.own_grade - 1, 0))
        else:
            ratio, min_delay_us = sorted(self.delay_ratios)[int(OWN_DELAY_QUANTILE * len(self.delay_ratios))]
            self.own_grade = next_grade(self.own_grade, 1.0 - 1.0 / ratio, min_delay_us,
                                        len(self.delay_ratios) >= MIN_SAMPLES)
        self.delay_ratios = []
        if before is not self.own_grade:
            self.actions.append(io.Log(f"own processor: {before.name} -> {self.own_grade.name}"))

    def _add_delay_ratio(self, state: ExchangeState, dest: int, delay_us: float, factor: float = 0.0) -> None:
        """Add a delay to the own processor's samples if it is above factor x its route's minimum."""
        min_delay_us = state.min_delays_us.get(dest)
        if min_delay_us is not None and delay_us > factor * min_delay_us:
            self.delay_ratios.append((max(delay_us / min_delay_us, 1.0), min_delay_us))

    def _update_roster(self, event: io.RosterChange) -> None:
        if event.kind is RosterKind.UNAVAILABLE:
            self.roster_requested_us = None
            return
        if event.kind is RosterKind.RESTORED and self.settings.roster_on_request:
            self.roster_requested_us = self.now_us
            self.actions.append(io.WatchRoster())
        for entry in event.entries:
            state = self.exchanges.get(entry.exchange)
            if state is None:
                self.exchanges[entry.exchange] = ExchangeState(entry)
            else:
                state.entry = entry
        if event.kind is not RosterKind.UPDATE:  # an exchange missing from a complete list is gone
            listed = {entry.exchange for entry in event.entries}
            for exchange in [e for e in self.exchanges if e not in listed]:
                del self.exchanges[exchange]
        for exchange in [e for e, state in self.exchanges.items() if state.entry.readiness is Readiness.GONE]:
            del self.exchanges[exchange]
        self.ready_exchanges = {}  # of two with the same number, the one that started last
        for state in self.exchanges.values():
            other = self.ready_exchanges.get(state.entry.number)
            if state.entry.readiness is Readiness.READY and (
                    other is None or (state.entry.started_us or 0) > (other.entry.started_us or 0)):
                self.ready_exchanges[state.entry.number] = state
        self.tandem_numbers = sorted(set(self.ready_exchanges) - {self.settings.home})

    def _slow_start_gap_us(self, state: ExchangeState) -> int:
        """Return the minimum interval between set-ups to a cold processor; 0 once it has warmed up.

        This prevents overload. The rate is this controller's share: fall_multiple x cold_from x its observed
        rate to warmed-up processors, or one per fall_us if that is more. Even spacing avoids a later burst.
        """
        settings, start_us = self.settings, state.entry.started_us
        if not start_us or self.now_us - start_us >= settings.cold_us or not settings.fall_us:
            return 0
        rate = max(self.warm_rate * settings.fall_multiple * settings.cold_from, 1e6 / settings.fall_us)
        return int(1e6 / rate)

    def _is_throttled(self, state: ExchangeState) -> bool:
        """Whether no set-up of a new call may be sent to this processor at present.

        If its grade fell for want of samples, it gets one set-up at a time until delays confirm LIGHT: if all
        senders came back at once, a slow processor would never answer in time. This handles hangs, stalls,
        cut links and slowness, remote or local. The cost is that recovery takes a period or two longer.
        """
        if not state.is_grade_confirmed and state.pending:
            return True
        return bool(self._slow_start_gap_us(state)) and self.now_us < state.slow_start_next_us

    def _update_circuits(self, state: ExchangeState | None, load: io.Load) -> None:
        """Take over the free circuits and the size of the group, where the report gives them."""
        if state is not None:
            state.free = state.free if load.free is None else load.free
            state.size = state.size if load.size is None else load.size

    def _on_call_offered(self, offer: io.CallOffered) -> None:
        if offer.call in self.calls:
            return
        if not 0 <= offer.service < len(self.settings.classes):
            self.actions.append(io.Refuse(offer.call))
            return
        call = Call(offer, self.settings.classes[offer.service], self.now_us)
        call.reserved = self.reserved_widths[offer.service]
        if offer.number and not offer.transit:
            self._apply_redial(call)
        self.calls[offer.call] = call
        self._route_call(call)

    def _apply_redial(self, call: Call) -> None:
        """Count the call's aim from its caller's first attempt, and mark a redial after that aim as late.

        A late redial earns part of its worth, so calls in time go first. Calls for one number, class and
        tenant within the deadline of the class count as one caller's. This handles overload, popular numbers
        and immediate redials. The cost is that two callers of one number are taken for one.
        """
        offer, now = call.offer, self.now_us
        key = (offer.number, offer.dest, offer.service, offer.tenant)
        first_us = self.first_offer_us.get(key)
        if first_us is None or offer.cut_before or now - first_us > call.service.deadline_us:
            self.first_offer_us.pop(key, None)
            self.first_offer_us[key] = first_us = now
        call.aim_us = first_us + call.service.aim_us
        if now > call.aim_us:
            call.is_late, call.reserved = True, self.late_reserved_widths[offer.service]

    def _route_call(self, call: Call) -> None:
        """Send the call over the direct group or a tandem, queue it for a circuit, or refuse it."""
        offer = call.offer
        dest = self.ready_exchanges.get(offer.dest)
        is_own_loaded = self.own_grade is not Grade.LIGHT
        if dest is None or (call.is_late and is_own_loaded) or (
                self.busy_numbers_until_us.get(offer.number, 0) > self.now_us):
            self._refuse(call)
        elif not offer.transit and self._is_throttled(dest):
            self._queue_call(call, dest)  # a tandem would only lead to the same processor
        elif offer.transit:
            is_unresponsive = not dest.is_grade_confirmed and bool(dest.pending)
            has_room = self._has_room(dest, offer.width, call.reserved, TRUNK_RESERVATION)
            if dest.grade is Grade.HEAVY or is_unresponsive or not has_room or not self._send(call, dest):
                self._refuse(call)
        elif dest.grade >= (Grade.FAIR if call.is_late else self.refusal_grades[offer.service]):
            self._queue_call(call, dest)
        elif (dest.entry.number not in call.tried_exchanges and not self._is_outranked(call, dest)
                and self._has_room(dest, offer.width, call.reserved,
                                   TRUNK_RESERVATION if call.is_late else 0.0) and self._send(call, dest)):
            pass
        else:
            tandem = None if call.is_late or is_own_loaded else self._choose_tandem(call, dest)
            if tandem is None or not self._send(call, tandem):
                self._queue_call(call, dest)

    def _queue_call(self, call: Call, dest: ExchangeState) -> None:
        """Queue the call while it can still be answered in time; refuse it otherwise.

        A refusal would only make the caller redial, and every attempt costs processing. The call waits for a
        circuit of the direct group or, without one, of that to the remembered tandem, and for a lower grade.
        This handles full and reduced groups and immediate redials. The cost is more answers close to the aim.
        """
        number = dest.entry.number
        if dest.size == 0 or not self._is_allowed(call.offer, number):
            number = next((n for n in self.remembered_tandems.get(number, ())
                           if self._is_allowed(call.offer, n)), number)
        margin_us = SET_UP_MARGIN_MULTIPLE * dest.min_delays_us.get(dest.entry.number, MAX_MIN_DELAY_US)
        latest_us = int(min(call.deadline_us, call.aim_us) - margin_us)
        if call.is_late or latest_us <= self.now_us or not self._is_allowed(call.offer, number):
            self._refuse(call)
            return
        call.queued_for = number
        self.queued.setdefault(number, {}).setdefault(call.worth_per_circuit_time, {})[call.offer.call] = call
        self.actions.append(io.SetTimer(QUEUED_TOKEN_PREFIX + call.offer.call, latest_us))

    def _dequeue(self, call: Call) -> None:
        """Remove the call from its queue; left there, it would cost CPU time at each event of its group."""
        by_worth = self.queued.get(call.queued_for, {})
        if (calls := by_worth.get(call.worth_per_circuit_time)) is not None:
            calls.pop(call.offer.call, None)
            if not calls:
                del by_worth[call.worth_per_circuit_time]
            if not by_worth:
                del self.queued[call.queued_for]
        call.queued_for = -1

    def _is_outranked(self, call: Call, state: ExchangeState) -> bool:
        """Whether a call worth more is queued for the group: it goes first, so wide calls get circuits."""
        queued = self.queued.get(state.entry.number)
        return queued is not None and max(queued) > call.worth_per_circuit_time

    def _route_queued_calls(self, state: ExchangeState | None) -> None:
        """Route the calls queued for circuits to this exchange again, those with the highest worth first."""
        while state is not None and (queued := self.queued.get(state.entry.number)):
            call = next(iter(queued[max(queued)].values()))
            trunk_reservation = TRUNK_RESERVATION if call.offer.dest != state.entry.number else 0.0
            if not self._has_room(state, call.offer.width, call.reserved, trunk_reservation):
                break
            self._dequeue(call)
            self._route_call(call)
            if call.next_hop is None and not call.has_ended:
                break  # it was queued again

    def _reserved_width(self, worth: float) -> float:
        """Return the circuits that a direct call of this worth leaves free: the width of a class worth more.

        This trunk reservation by worth protects wide and urgent calls in full groups, whatever filled them.
        _has_room limits it in small groups, where the width of a wide class would be idle most of the time.
        """
        return max((s.width for s, w in zip(self.settings.classes, self.class_worths, strict=True)
                    if w > worth * RESERVATION_WORTH_RATIO), default=0.0)

    @staticmethod
    def _has_room(state: ExchangeState, width: float, reserved: float, additional: float = 0.0) -> bool:
        """Whether a call of this width leaves the reserved and additional circuits free; True if unknown."""
        if state.free is None:
            return True
        reserved = min(reserved, max(1.0, MAX_RESERVED_FRACTION * state.size)) if state.size else reserved
        return state.free - width >= additional + reserved

    def _choose_tandem(self, call: Call, dest: ExchangeState) -> ExchangeState | None:
        """Return a usable tandem remembered for the destination, or else the best of a random sample."""
        pools, refusal_grade, number = (
            call.service.pools, self.refusal_grades[call.offer.service], dest.entry.number)

        def is_usable(state: ExchangeState | None) -> bool:
            return (state is not None and state.grade < refusal_grade and not self._is_throttled(state)
                    and self._is_allowed(call.offer, state.entry.number)
                    and state.entry.number not in call.tried_exchanges
                    and self.tandem_backoffs.get((state.entry.number, number), (0, 0))[0] <= self.now_us
                    and self._has_room(state, call.offer.width, call.reserved, TRUNK_RESERVATION))

        remembered = self.remembered_tandems.setdefault(number, [])
        for tier in call.offer.tiers or (None,):
            for tandem in remembered:
                if (tier is None or tandem in tier) and is_usable(self.ready_exchanges.get(tandem)):
                    return self.ready_exchanges[tandem]
            eligible = self.tandem_numbers if tier is None else [n for n in self.tandem_numbers if n in tier]
            candidates = [self.ready_exchanges[n]
                          for n in self.random.sample(eligible, min(TANDEM_SAMPLE_SIZE, len(eligible)))
                          if n != number and (not pools or n in pools) and is_usable(self.ready_exchanges[n])]
            if candidates:
                best = max(candidates, key=lambda state: math.inf if state.free is None else state.free)
                remembered.insert(0, best.entry.number)
                del remembered[TANDEM_SAMPLE_SIZE:]
                return best
        return None

    @staticmethod
    def _is_allowed(offer: io.CallOffered, number: int) -> bool:
        """Whether the route constraint of the call, if any, allows this exchange."""
        return number not in offer.never and (
            not offer.tiers or any(tier is None or number in tier for tier in offer.tiers))

    def _send(self, call: Call, state: ExchangeState) -> bool:
        """Send a set-up, or return False where a rule or setting forbids it. Nothing else sends set-ups.

        The rules: (1) one final answer for a call, in time, and no set-up after its end; (2) one attempt at a
        time, repeated only as the class allows; (3) nothing new to an exchange that is draining or gone;
        (4) no overload of a cold processor; (5) no attempt before the release of one that may still run.
        """
        settings, offer, now = self.settings, call.offer, self.now_us
        number = state.entry.number
        if (call.has_ended or call.next_hop is not None or now >= call.deadline_us
                or now < call.not_before_us):
            return False  # rules 1, 2 and 5
        if call.attempt + 1 >= settings.max_attempts or state.entry.readiness is not Readiness.READY:
            return False  # the limit of attempts, and rule 3
        if number == settings.home or (offer.transit and number != offer.dest):
            return False
        if not self._is_allowed(offer, number):
            return False
        if settings.topology is io.Topology.POOLS and call.service.pools and number not in call.service.pools:
            return False
        if call.possibly_executed_by is not None and not self._may_repeat(call, state):
            return False  # rule 2, for classes that may not be executed twice
        gap_us = self._slow_start_gap_us(state)
        if gap_us and now < state.slow_start_next_us:
            return False  # rule 4
        state.slow_start_next_us = now + gap_us
        call.attempt += 1
        call.next_hop, call.sent_us = state, now
        call.tried_exchanges.append(number)
        state.pending[offer.call] = call
        state.sent_count += 1
        if state.free is not None:
            state.free -= offer.width
        # At the aim the remote queue drops the set-up, so that in a jam, hang or stall it holds only what is
        # worth serving. A late redial has an aim of its own. The cost is the partial worth of a late answer.
        aim_us = call.start_us + call.service.aim_us if call.is_late else call.aim_us
        until_us = max(aim_us, now + MIN_SET_UP_TIMEOUT_US)
        self.actions.append(io.SetUp(offer.call, state.entry.exchange, min(call.deadline_us, until_us) - now))
        return True

    def _may_repeat(self, call: Call, state: ExchangeState) -> bool:
        """Whether the class allows a set-up to this exchange after an attempt that may have been executed."""
        service, previous = call.service, call.possibly_executed_by
        if service.repeatability is Repeatability.FREE or previous is None:
            return True
        if service.repeatability is Repeatability.SINGLE or (
                self.now_us - call.possibly_executed_us > service.repeat_window_us):
            return False
        return (service.repeat_scope is RepeatScope.ALL or state.entry.exchange == previous.entry.exchange
                or (service.repeat_scope is RepeatScope.ZONE and state.entry.zone == previous.entry.zone))

    def _on_call_answered(self, event: io.CallStands) -> None:
        call = self.calls.get(event.call)
        if call is None or call.next_hop is None or event.attempt != call.attempt:
            return
        call.next_hop.pending.pop(event.call, None)
        self._add_delay_ratio(call.next_hop, call.offer.dest, event.delay_us)
        call.next_hop.last_answered_sent_us = max(call.next_hop.last_answered_sent_us, call.sent_us)
        self._route_queued_calls(call.next_hop)
        call.next_hop.add_delay(call.offer.dest, event.delay_us)
        self.tandem_backoffs.pop((call.next_hop.entry.number, call.offer.dest), None)

    def _on_attempt_ended(self, event: io.AttemptEnded) -> None:
        """Record what the attempt tells about the exchange; then forget, retry or refuse the call."""
        self._update_circuits(self.exchanges.get(event.exchange), event.load)
        call = self.calls.get(event.call)
        if event.exchange in self.exchanges:
            self.exchanges[event.exchange].add_load_report(event.load)
        if call is None or call.next_hop is None or event.attempt != call.attempt:
            return
        state, call.next_hop = call.next_hop, None
        was_answered = state.pending.pop(event.call, None) is None  # then _on_call_answered has removed it
        outcome, cause = event.outcome, event.cause
        if cause in (Cause.PROCESSOR_FULL, Cause.CRANKBACK_FULL) and outcome is Outcome.TURNED_AWAY:
            congested = self.ready_exchanges.get(call.offer.dest) if cause is Cause.CRANKBACK_FULL else state
            if congested is not None:
                congested.add_processor_full(call.offer.dest)
        elif outcome is Outcome.UNREACHABLE:
            state.add_processor_full(call.offer.dest)
        elif (outcome in (Outcome.TIMEOUT, Outcome.CALLED_OFF) and not was_answered
                and not state.is_answer_lost(call)):
            state.add_unanswered(call.offer.dest, event.delay_us)
            self._add_delay_ratio(state, call.offer.dest, event.delay_us)
        if outcome is Outcome.NUMBER_FAULT and cause is Cause.LINES_BUSY:
            self.busy_numbers_until_us[call.offer.number] = self.now_us + BUSY_NUMBER_BACKOFF_US
        is_tandem_full = cause is Cause.PROCESSOR_FULL and state.entry.number != call.offer.dest
        if cause in (Cause.NO_CIRCUIT, Cause.CRANKBACK, Cause.CRANKBACK_FULL) or is_tandem_full:
            self._back_off_tandem(state.entry.number, call.offer.dest)
            if outcome is Outcome.NOT_SENT and event.load.free is None:
                state.free = 0.0  # until the next report
        if outcome in (Outcome.NUMBER_FAULT, Outcome.TIMEOUT, Outcome.CUT, Outcome.CALLED_OFF) and (
                call.possibly_executed_by is None):
            call.possibly_executed_by, call.possibly_executed_us = state, call.sent_us
        if outcome in (Outcome.TIMEOUT, Outcome.CUT, Outcome.CALLED_OFF):
            call.not_before_us = self.now_us + self.settings.release_us
        if event.settled or call.has_ended or outcome is Outcome.OK:
            self.calls.pop(event.call, None)
        elif call.offer.transit or cause in (Cause.CRANKBACK_FULL, Cause.LINES_BUSY) or (
                cause is Cause.PROCESSOR_FULL and not is_tandem_full):
            self._refuse(call)
        elif (outcome in (Outcome.CUT, Outcome.UNREACHABLE)
                and self._retry_after_connection_loss(call, state, outcome)):
            pass
        elif outcome in (Outcome.TURNED_AWAY, Outcome.NOT_SENT) and (
                len(call.tried_exchanges) <= MAX_FURTHER_ATTEMPTS + (self.own_grade is Grade.LIGHT)):
            self._route_call(call)
        else:
            self._refuse(call)

    def _retry_after_connection_loss(self, call: Call, state: ExchangeState, outcome: Outcome) -> bool:
        """Route a call again after its set-up lost its connection; False when it is not retried any more.

        Neither exchange was full, only a connection failed: the same route may be used, after the release of
        what may have been executed. This handles corrupt answers, resets and connections closed by the peer.
        The cost is more work for an exchange that closes the connection at every set-up.
        """
        call.lost_connections += 1
        if call.lost_connections > MAX_CONNECTION_LOSS_ATTEMPTS or call.is_late:
            return False
        if outcome is Outcome.UNREACHABLE:  # nothing was or can be executed there: another route, at once
            self._route_call(call)
            return True
        latest_us = min(call.deadline_us, call.aim_us) - (
            SET_UP_MARGIN_MULTIPLE * state.min_delays_us.get(call.offer.dest, 0.0))
        if call.not_before_us >= latest_us or not self._may_repeat(call, state):
            return False
        call.tried_exchanges.remove(state.entry.number)
        call.awaits_release = True
        self.actions.append(io.SetTimer(RETRY_TOKEN_PREFIX + call.offer.call, call.not_before_us))
        return True

    def _back_off_tandem(self, tandem: int, dest: int) -> None:
        """Back off from a tandem for a destination after a block, twice as long after each block in a row.

        Crankbacks load two processors and congest a full network. A tandem that refuses all calls at once
        keeps its groups free and would attract ever more calls. The doubling avoids tandems without an onward
        group, also where groups were reduced or links cut. The cost is that it outlasts a short block.
        """
        remembered, blocks = (
            self.remembered_tandems.get(dest, []), self.tandem_backoffs.get((tandem, dest), (0, 0))[1])
        if blocks and tandem in remembered:
            remembered.remove(tandem)  # at the second block; after one alone a tandem that worked is kept
        self.tandem_backoffs[tandem, dest] = (
            self.now_us + (self.tandem_backoff_us << blocks), min(blocks + 1, MAX_BACKOFF_DOUBLINGS))

    def _on_caller_gone(self, call_id: str) -> None:
        call = self.calls.get(call_id)
        if call is not None:
            call.has_ended = True
            self._dequeue(call)
            if call.next_hop is None:
                del self.calls[call_id]

    def _refuse(self, call: Call) -> None:
        """Refuse the call, or fail it if an attempt may have run and the caller must not redial."""
        call.has_ended = True
        self._dequeue(call)
        del self.calls[call.offer.call]
        if call.possibly_executed_by is not None and not call.service.may_repeat_anywhere:
            self.actions.append(io.Fail(call.offer.call))
        else:
            self.actions.append(io.Refuse(call.offer.call, self._caller_wait_us(call)))

    def _caller_wait_us(self, call: Call) -> int:
        """Return how long a refused caller is asked to wait: until grades, and so the answer, can change.

        The wait ends after the grading period, spread over the next one: callers given one time would all
        return at once. A late redial waits as long as callers honour, because in overload every redial costs
        the processors work. The cost is some of its partial worth.
        """
        max_wait_us = self.settings.max_caller_wait_us if self.settings.callers_wait else 0
        wait_us = (self.period_end_us or self.now_us) - self.now_us + self.random.random() * GRADING_PERIOD_US
        return max_wait_us if call.is_late else max(0, min(int(wait_us), max_wait_us))
