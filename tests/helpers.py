"""Test settings, rosters, and a harness that passes events to a controller."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from ospreylug import interface as io
from ospreylug.logic import Controller

SECOND = 1_000_000  # in microseconds
ORDINARY = io.ServiceClass(aim_us=1_500_000, deadline_us=9 * SECOND, worth=1.0, hold_us=10 * SECOND)
URGENT = io.ServiceClass(aim_us=800_000, deadline_us=6 * SECOND, worth=8.0, hold_us=6 * SECOND)

SETTINGS = io.Settings(
    controllers=4, number=0, home=0, topology=io.Topology.MESH, classes=(ORDINARY,), max_attempts=6,
    release_us=500_000, drain_grace_us=500_000, cold_from=0.3, cold_us=10 * SECOND, fall_multiple=3.0,
    fall_us=3 * SECOND, answer_grace_us=20_000,
)


def settings(**changes: object) -> io.Settings:
    """Return the default test settings with some of them changed."""
    return replace(SETTINGS, **changes)  # type: ignore[arg-type]


def entries(numbers: Iterable[int], **changes: object) -> tuple[io.Entry, ...]:
    """Return roster entries for the exchanges with these numbers."""
    return tuple(replace(io.Entry(f"x{n}", n, 0), **changes) for n in numbers)  # type: ignore[arg-type]


class ControllerHarness:
    """A controller with a clock. The exchanges are named x0, x1, ...; x0 is the own one."""

    def __init__(self, harness_settings: io.Settings = SETTINGS, exchanges: int = 4, seed: int = 7) -> None:
        self.now = 1000 * SECOND  # in microseconds
        self.settings = harness_settings
        self.controller = Controller(harness_settings, seed)
        self.offer_count = 0
        self.handle(io.RosterChange(io.RosterKind.RESTORED, entries(range(exchanges))))

    def handle(self, event: io.Event) -> list[io.Action]:
        """Pass an event to the controller; return its actions except timers and log lines."""
        actions = self.controller.handle(self.now, event)
        return [a for a in actions if not isinstance(a, (io.SetTimer, io.Log))]

    def pass_time(self, us: int) -> None:
        """Advance the clock; the timer of the grading period expires."""
        self.now += us
        self.handle(io.TimerDue("period"))

    def offer(self, dest: int, **fields: object) -> tuple[str, list[io.Action]]:
        """Offer a fresh call to dest; return its id and the actions."""
        self.offer_count += 1
        name = f"call-{self.offer_count}"
        offer = io.CallOffered(name, 0, dest, f"line-{self.offer_count}", self.now + 3 * SECOND)
        return name, self.handle(replace(offer, **fields))  # type: ignore[arg-type]

    def set_free(self, number: int, circuits: float) -> None:
        """Report the free circuits towards an exchange, of a group of 20."""
        self.handle(io.GroupStatus(f"x{number}", True, 0, io.Load(free=circuits, size=20.0)))

    def answer(self, name: str, number: int, delay_us: int, attempt: int = 0) -> None:
        """Have an exchange answer the call after delay_us."""
        self.handle(io.CallStands(name, attempt, f"x{number}", delay_us))

    def end_attempt(self, name: str, number: int, outcome: io.Outcome, cause: io.Cause = io.Cause.NONE,
                    attempt: int = 0, settled: bool = False, delay_us: int = 20_000) -> list[io.Action]:
        """End an attempt; return the actions."""
        return self.handle(io.AttemptEnded(name, attempt, f"x{number}", outcome, delay_us, settled, cause))

    def complete_calls(self, number: int, delay_us: int, count: int) -> None:
        """Have an exchange answer count fresh calls after delay_us each, and release them."""
        for _ in range(count):
            name, _ = self.offer(number)
            self.answer(name, number, delay_us)
            self.end_attempt(name, number, io.Outcome.OK, settled=True)


def sent_to(actions: list[io.Action]) -> list[str]:
    """Return the names of the exchanges to which set-ups are sent."""
    return [a.exchange for a in actions if isinstance(a, io.SetUp)]


def is_refused(actions: list[io.Action]) -> bool:
    """Whether the call is refused."""
    return any(isinstance(a, io.Refuse) for a in actions)
