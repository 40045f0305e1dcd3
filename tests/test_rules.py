"""The five rules of the controller under arbitrary legal sequences of events, checked from outside.

1. Every call gets exactly one final answer, in time, and no set-up after its end.
2. Attempts of a call do not overlap, and classes that must not be executed twice are not repeated.
3. Nothing new is sent to an exchange that is draining or gone.
4. A cold processor gets no more than this controller's share of its capacity.
5. After a time-out, a lost connection or a cancellation the next attempt waits for the release.
"""

from helpers import ORDINARY, SECOND, URGENT, entries, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from ospreylug import interface as io
from ospreylug.logic import Controller

OUTCOMES = [
    (io.Outcome.OK, io.Cause.NONE), (io.Outcome.NUMBER_FAULT, io.Cause.LINES_BUSY),
    (io.Outcome.NUMBER_FAULT, io.Cause.NONE), (io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK),
    (io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK_FULL), (io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL),
    (io.Outcome.TIMEOUT, io.Cause.NONE), (io.Outcome.UNREACHABLE, io.Cause.NONE),
    (io.Outcome.CUT, io.Cause.NONE), (io.Outcome.CALLED_OFF, io.Cause.NONE),
    (io.Outcome.NOT_SENT, io.Cause.NO_CIRCUIT), (io.Outcome.NOT_SENT, io.Cause.PROCESSOR_FULL),
]
NEEDS_RELEASE = {io.Outcome.TIMEOUT, io.Outcome.CUT, io.Outcome.CALLED_OFF}
POSSIBLY_EXECUTED = {*NEEDS_RELEASE, io.Outcome.NUMBER_FAULT}
COLD_US, EXCHANGES = 10 * SECOND, 5

# A step is a name, two numbers that choose its details and its call or exchange, and a time in microseconds.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "offer", "offer", "answer", "end", "end", "free", "roster", "gone", "wait",
                         "stray"]),
        st.integers(0, 11), st.integers(0, 50), st.integers(0, 2_000_000)),
    max_size=80)


class NetworkSimulation:
    """Simulates the network and the callers, and checks every action against the rules."""

    def __init__(self, controller_settings: io.Settings) -> None:
        self.settings = controller_settings
        self.controller = Controller(controller_settings, 3)
        self.now = 50 * SECOND  # in microseconds, as all times here
        self.open_calls: dict[str, io.CallOffered] = {}  # offered, and neither refused nor ended
        self.answered: set[str] = set()
        self.pending: dict[str, tuple[int, str, int, int]] = {}  # attempt, exchange, sent_us, timeout_us (absolute)
        self.attempts: dict[str, int] = {}
        self.established: set[str] = set()
        self.not_before: dict[str, int] = {}
        self.possibly_executed: set[str] = set()
        self.ready = {f"x{n}" for n in range(EXCHANGES)}
        self.started: dict[str, int] = {}
        self.sent_cold: dict[str, list[int]] = {}
        self.handle(io.RosterChange(io.RosterKind.RESTORED, entries(range(EXCHANGES))))

    def handle(self, event: io.Event) -> None:
        for action in self.controller.handle(self.now, event):
            match action:
                case io.SetUp(call, exchange, timeout_us):
                    offer = self.open_calls[call]  # rule 1: no set-up after the end
                    assert call not in self.pending  # rule 2
                    assert exchange in self.ready  # rule 3
                    assert self.now >= self.not_before.get(call, 0)  # rule 5
                    assert exchange != "x0" and timeout_us > 0
                    assert not offer.transit or exchange == f"x{offer.dest}"
                    repeatability = self.settings.classes[offer.service].repeatability
                    assert repeatability is not io.Repeatability.SINGLE or call not in self.possibly_executed
                    number = self.attempts[call] = self.attempts.get(call, -1) + 1
                    assert number < self.settings.max_attempts
                    until = min(self.now + timeout_us, offer.deadline_us)
                    self.pending[call] = (number, exchange, self.now, until)
                    self.check_cold(exchange)
                case io.Refuse(call) | io.Fail(call):
                    offer = self.open_calls.pop(call)  # rule 1: exactly one answer
                    assert call not in self.pending
                    assert self.now <= offer.deadline_us + self.settings.answer_grace_us
                    is_single = self.settings.classes[offer.service].repeatability is io.Repeatability.SINGLE
                    assert not (isinstance(action, io.Refuse) and is_single and call in self.possibly_executed)
                    self.answered.add(call)
                case _:
                    pass

    def check_cold(self, exchange: str) -> None:
        """Check rule 4: this controller's share of the budget of a cold processor, at any rate."""
        started = self.started.get(exchange)
        if started is None or self.now - started >= COLD_US:
            return
        sent = self.sent_cold.setdefault(exchange, [])
        sent.append(self.now)
        window = [t for t in sent if t > self.now - self.settings.fall_us]
        rates = [state.set_up_rate for state in self.controller.exchanges.values()]
        limit = max(1.0, max(rates) * 0.9 * self.settings.fall_us / 1e6)  # 0.9 = cold_from x fall_multiple
        assert len(window) <= limit + 1

    def end_attempt(self, call: str, outcome: io.Outcome, cause: io.Cause) -> None:
        attempt, exchange, sent, _ = self.pending[call]
        if call in self.established and outcome not in (io.Outcome.OK, io.Outcome.CUT):
            outcome, cause = io.Outcome.OK, io.Cause.NONE
        settled = outcome is io.Outcome.OK or call in self.established or call not in self.open_calls
        del self.pending[call]
        if outcome in NEEDS_RELEASE:
            self.not_before[call] = self.now + self.settings.release_us
        if outcome in POSSIBLY_EXECUTED:
            self.possibly_executed.add(call)
        if settled:
            self.open_calls.pop(call, None)
        self.established.discard(call)
        self.handle(io.AttemptEnded(call, attempt, exchange, outcome, self.now - sent, settled, cause))

    def pass_time(self, us: int) -> None:
        """Advance the clock: set-ups time out, and every call must be answered before its deadline."""
        until = self.now + us
        while True:
            due = [(t, c) for c, (_, _, _, t) in self.pending.items() if c not in self.established and t <= until]
            if not due:
                break
            timeout_us, call = min(due)
            self.now = max(self.now, timeout_us)
            self.end_attempt(call, io.Outcome.TIMEOUT, io.Cause.NONE)
        self.now = until
        self.handle(io.TimerDue("period"))
        for call, offer in list(self.open_calls.items()):
            is_in_progress = call in self.pending or call in self.established
            assert is_in_progress or self.now <= offer.deadline_us + self.settings.answer_grace_us  # rule 1: in time


def run_steps(steps: list[tuple[str, int, int, int]], repeatability: io.Repeatability) -> None:
    ordinary = io.ServiceClass(ORDINARY.aim_us, ORDINARY.deadline_us, 1.0, hold_us=SECOND, repeatability=repeatability)
    network = NetworkSimulation(settings(
        classes=(ordinary, URGENT), controllers=EXCHANGES, max_attempts=3, cold_us=COLD_US))
    for index, (step, variant, choice, us) in enumerate(steps):
        if step == "offer":
            name = f"c{index}"
            offer = io.CallOffered(name, variant % 2, 1 + choice % (EXCHANGES - 1), f"n{choice % 3}",
                                   network.now + 1 + us, width=1.0 + choice % 2, transit=variant > 8)
            network.open_calls[name] = offer
            network.handle(offer)
        elif step == "answer" and network.pending:
            call = sorted(network.pending)[choice % len(network.pending)]
            if call not in network.established and call in network.open_calls:
                network.established.add(call)
                network.handle(io.CallStands(call, network.pending[call][0], network.pending[call][1], us))
        elif step == "end" and network.pending:
            network.end_attempt(sorted(network.pending)[choice % len(network.pending)], *OUTCOMES[variant])
        elif step == "free":
            network.handle(io.GroupStatus(
                f"x{choice % EXCHANGES}", True, 0, io.Load(free=float(variant - 2), size=10.0)))
        elif step == "roster":
            exchange = f"x{1 + choice % (EXCHANGES - 1)}"
            readiness = list(io.Readiness)[variant % 3]
            started = network.now if variant > 5 and readiness is io.Readiness.READY else None
            if readiness is io.Readiness.READY:
                network.ready.add(exchange)
                network.started.pop(exchange, None)
                network.sent_cold.pop(exchange, None)
                if started:
                    network.started[exchange] = started
            else:
                network.ready.discard(exchange)
            network.handle(io.RosterChange(io.RosterKind.UPDATE, entries(
                [int(exchange[1:])], readiness=readiness, started_us=started)))
        elif step == "gone" and network.open_calls:
            call = sorted(network.open_calls)[choice % len(network.open_calls)]
            if call not in network.established:
                del network.open_calls[call]
                network.handle(io.CallerGone(call))
        elif step == "wait":
            network.pass_time(us)
        elif step == "stray":
            network.handle(io.CallerGone("never"))
            network.handle(io.TimerDue("never"))
            network.handle(io.CallStands("never", variant, "x9", us))
            network.handle(io.AttemptEnded(
                "never", variant, "x9", OUTCOMES[variant][0], us, False, OUTCOMES[variant][1]))
            network.handle(io.PeerMessage(choice, b"\xff\x00"))
            network.handle(io.GroupStatus("x9", False, us, io.Load()))
            network.handle(io.RosterChange(io.RosterKind.UNAVAILABLE))
    network.pass_time(10 * SECOND)
    assert not [c for c in network.open_calls if c not in network.established]  # rule 1: every call got its answer


@hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
@given(STEPS)
def test_rules_for_calls_that_may_be_repeated(steps: list[tuple[str, int, int, int]]) -> None:
    run_steps(steps, io.Repeatability.FREE)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
@given(STEPS)
def test_rules_for_calls_that_must_not_be_executed_twice(steps: list[tuple[str, int, int, int]]) -> None:
    run_steps(steps, io.Repeatability.SINGLE)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=100)
@given(STEPS)
def test_same_events_cause_the_same_actions(steps: list[tuple[str, int, int, int]]) -> None:
    runs = []
    for _ in range(2):
        controller, log = Controller(settings(), 11), []
        controller.handle(0, io.RosterChange(io.RosterKind.RESTORED, entries(range(6))))
        for index, (step, _, choice, us) in enumerate(steps):
            event: io.Event = io.TimerDue("period")
            if step == "offer":
                event = io.CallOffered(f"c{index}", 0, 1 + choice % 5, "n", index * 10**6 + us)
            elif step == "free":
                event = io.GroupStatus(f"x{choice % 6}", True, 0, io.Load(free=0.0))
            log.append(controller.handle(index * 300_000, event))
        runs.append(log)
    assert runs[0] == runs[1]
