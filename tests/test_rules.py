"""The five rules under arbitrary legal event orders, seen from outside the controller."""

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
DOUBT = {io.Outcome.TIMEOUT, io.Outcome.CUT, io.Outcome.CALLED_OFF}
MAY_HAVE_RUN = {*DOUBT, io.Outcome.NUMBER_FAULT}
COLD_US, EXCHANGES = 10 * SECOND, 5

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "offer", "offer", "stand", "end", "end", "free", "roster", "gone", "wait",
                         "stray"]),
        st.integers(0, 11), st.integers(0, 50), st.integers(0, 2_000_000)),
    max_size=80)


class World:
    """Plays the network and the callers, and checks each action against the rules."""

    def __init__(self, given_settings: io.Settings) -> None:
        self.settings = given_settings
        self.controller = Controller(given_settings, 3)
        self.now = 50 * SECOND
        self.open: dict[str, io.CallOffered] = {}  # calls that are owed an answer
        self.answered: set[str] = set()
        self.out: dict[str, tuple[int, str, int, int]] = {}  # attempt, exchange, sent, given up at
        self.attempts: dict[str, int] = {}
        self.standing: set[str] = set()
        self.barred: dict[str, int] = {}
        self.ran: set[str] = set()
        self.ready = {f"x{n}" for n in range(EXCHANGES)}
        self.started: dict[str, int] = {}
        self.sent_cold: dict[str, list[int]] = {}
        self.tell(io.RosterChange(io.RosterKind.RESTORED, entries(range(EXCHANGES))))

    def tell(self, event: io.Event) -> None:
        for action in self.controller.handle(self.now, event):
            match action:
                case io.SetUp(call, exchange, timeout_us):
                    offer = self.open[call]  # rule 1: nothing after the end
                    assert call not in self.out  # rule 2
                    assert exchange in self.ready  # rule 3
                    assert self.now >= self.barred.get(call, 0)  # rule 5
                    assert exchange != "x0" and timeout_us > 0
                    assert not offer.transit or exchange == f"x{offer.dest}"
                    kind = self.settings.classes[offer.service].repeatability
                    assert kind is not io.Repeatability.SINGLE or call not in self.ran
                    number = self.attempts[call] = self.attempts.get(call, -1) + 1
                    assert number < self.settings.max_attempts
                    until = min(self.now + timeout_us, offer.deadline_us)
                    self.out[call] = (number, exchange, self.now, until)
                    self.cold(exchange)
                case io.Refuse(call) | io.Fail(call):
                    offer = self.open.pop(call)  # exactly one answer
                    assert call not in self.out
                    assert self.now <= offer.deadline_us + self.settings.answer_grace_us
                    single = self.settings.classes[offer.service].repeatability is io.Repeatability.SINGLE
                    assert not (isinstance(action, io.Refuse) and single and call in self.ran)
                    self.answered.add(call)
                case _:
                    pass

    def cold(self, exchange: str) -> None:
        """Rule 4: this controller's part of the budget of a cold processor, whatever the rates were."""
        started = self.started.get(exchange)
        if started is None or self.now - started >= COLD_US:
            return
        sent = self.sent_cold.setdefault(exchange, [])
        sent.append(self.now)
        window = [t for t in sent if t > self.now - self.settings.fall_us]
        rates = [state.set_up_rate for state in self.controller.exchanges.values()]
        most = max(1.0, max(rates) * 0.9 * self.settings.fall_us / 1e6)
        assert len(window) <= most + 1

    def end(self, call: str, outcome: io.Outcome, cause: io.Cause) -> None:
        attempt, exchange, sent, _ = self.out[call]
        if call in self.standing and outcome not in (io.Outcome.OK, io.Outcome.CUT):
            outcome, cause = io.Outcome.OK, io.Cause.NONE
        settled = outcome is io.Outcome.OK or call in self.standing or call not in self.open
        del self.out[call]
        if outcome in DOUBT:
            self.barred[call] = self.now + self.settings.release_us
        if outcome in MAY_HAVE_RUN:
            self.ran.add(call)
        if settled:
            self.open.pop(call, None)
        self.standing.discard(call)
        self.tell(io.AttemptEnded(call, attempt, exchange, outcome, self.now - sent, settled, cause))

    def pass_time(self, us: int) -> None:
        """Let time pass; set-ups whose time is up come back, and callers whose time is up leave."""
        until = self.now + us
        while True:
            due = [(t, c) for c, (_, _, _, t) in self.out.items() if c not in self.standing and t <= until]
            if not due:
                break
            at, call = min(due)
            self.now = max(self.now, at)
            self.end(call, io.Outcome.TIMEOUT, io.Cause.NONE)
        self.now = until
        self.tell(io.TimerDue("period"))
        for call, offer in list(self.open.items()):
            held = call in self.out or call in self.standing
            assert held or self.now <= offer.deadline_us + self.settings.answer_grace_us  # rule 1: in time


def play(steps: list[tuple[str, int, int, int]], kind: io.Repeatability) -> None:
    ordinary = io.ServiceClass(ORDINARY.aim_us, ORDINARY.deadline_us, 1.0, hold_us=SECOND, repeatability=kind)
    world = World(settings(classes=(ordinary, URGENT), controllers=EXCHANGES, max_attempts=3,
                           cold_us=COLD_US))
    for at, (what, a, b, us) in enumerate(steps):
        if what == "offer":
            name = f"c{at}"
            offer = io.CallOffered(name, a % 2, 1 + b % (EXCHANGES - 1), f"n{b % 3}", world.now + 1 + us,
                                   width=1.0 + b % 2, transit=a > 8)
            world.open[name] = offer
            world.tell(offer)
        elif what == "stand" and world.out:
            call = sorted(world.out)[b % len(world.out)]
            if call not in world.standing and call in world.open:
                world.standing.add(call)
                world.tell(io.CallStands(call, world.out[call][0], world.out[call][1], us))
        elif what == "end" and world.out:
            world.end(sorted(world.out)[b % len(world.out)], *OUTCOMES[a])
        elif what == "free":
            world.tell(io.GroupStatus(f"x{b % EXCHANGES}", True, 0, io.Load(free=float(a - 2), size=10.0)))
        elif what == "roster":
            exchange = f"x{1 + b % (EXCHANGES - 1)}"
            readiness = list(io.Readiness)[a % 3]
            started = world.now if a > 5 and readiness is io.Readiness.READY else None
            if readiness is io.Readiness.READY:
                world.ready.add(exchange)
                world.started.pop(exchange, None)
                world.sent_cold.pop(exchange, None)
                if started:
                    world.started[exchange] = started
            else:
                world.ready.discard(exchange)
            world.tell(io.RosterChange(io.RosterKind.UPDATE, entries(
                [int(exchange[1:])], readiness=readiness, started_us=started)))
        elif what == "gone" and world.open:
            call = sorted(world.open)[b % len(world.open)]
            if call not in world.standing:
                del world.open[call]
                world.tell(io.CallerGone(call))
        elif what == "wait":
            world.pass_time(us)
        elif what == "stray":
            world.tell(io.CallerGone("never"))
            world.tell(io.TimerDue("never"))
            world.tell(io.CallStands("never", a, "x9", us))
            world.tell(io.AttemptEnded("never", a, "x9", OUTCOMES[a][0], us, False, OUTCOMES[a][1]))
            world.tell(io.PeerMessage(b, b"\xff\x00"))
            world.tell(io.GroupStatus("x9", False, us, io.Load()))
            world.tell(io.RosterChange(io.RosterKind.UNAVAILABLE))
    world.pass_time(10 * SECOND)
    assert not [c for c in world.open if c not in world.standing]  # every call got its answer


@hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
@given(STEPS)
def test_rules_hold_for_calls_that_may_be_repeated(steps: list[tuple[str, int, int, int]]) -> None:
    play(steps, io.Repeatability.FREE)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=300)
@given(STEPS)
def test_rules_hold_for_calls_that_must_not_run_twice(steps: list[tuple[str, int, int, int]]) -> None:
    play(steps, io.Repeatability.SINGLE)


@hypothesis_settings(derandomize=True, deadline=None, max_examples=100)
@given(STEPS)
def test_the_same_events_bring_the_same_actions(steps: list[tuple[str, int, int, int]]) -> None:
    runs = []
    for _ in range(2):
        controller, log = Controller(settings(), 11), []
        controller.handle(0, io.RosterChange(io.RosterKind.RESTORED, entries(range(6))))
        for at, (what, _, b, us) in enumerate(steps):
            event: io.Event = io.TimerDue("period")
            if what == "offer":
                event = io.CallOffered(f"c{at}", 0, 1 + b % 5, "n", at * 10**6 + us)
            elif what == "free":
                event = io.GroupStatus(f"x{b % 6}", True, 0, io.Load(free=0.0))
            log.append(controller.handle(at * 300_000, event))
        runs.append(log)
    assert runs[0] == runs[1]
