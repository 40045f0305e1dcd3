"""What happens in one trial, and how a seed draws it."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass, replace
from enum import Enum

from laboratory.trials.exchanges import Mode

LONGEST_WAIT_OF_KILL_S = 3.0  # a longer deadline counts as this one
RESTART_S = 1.0  # reserved for a new process between two shutdowns
KILL_RESERVE_S = 0.7  # between the longest deadline after SIGTERM and the earliest SIGKILL


class Action(Enum):
    """What an event does to an exchange or to discovery."""

    MODE = "mode"
    REPLACE = "replace"  # the process dies, and another one listens at its address
    VANISH = "vanish"  # nobody reads or accepts any more; it returns later
    DRAIN = "drain"  # and back into service
    DISCOVERY_SILENT = "discovery silent"
    DISCOVERY_DOWN = "discovery down"
    RELOAD = "reload"  # SIGHUP with a moved bulletin
    STALL_STORE = "stall store"
    CUT_CALLS = "cut calls"


@dataclass(frozen=True)
class Event:
    """One event of a trial; `for_s` is how long its effect lasts, 0 for ever."""

    at_s: float
    action: Action
    exchange: int = 0
    mode: Mode = Mode.QUICK
    for_s: float = 0.0


@dataclass(frozen=True)
class Stop:
    """A shutdown of a router: a series of signals that begins with SIGTERM, and a new process afterwards."""

    at_s: float
    router: int = 0
    further_signals: tuple[signal.Signals, ...] = ()
    restart_after_s: float | None = 0.2  # None: no new process


@dataclass(frozen=True)
class Trial:
    """The clients, exchanges and events of one trial."""

    length_s: float
    waits_s: tuple[float, ...] = (3.0, 3.0)  # of the classes, from the settings
    exchanges: int = 4
    rate_per_s: float = 50.0
    connections: int = 8
    api_ratio: float = 0.0  # of the connections that speak the call-control API
    routers: int = 1  # 2: the second one is a destination of the first
    crowd: int = 0  # further connections, which rarely send
    comes_again: bool = True  # clients connect again as soon as a connection has ended
    newcomer_interval_s: float = 0.0  # between connections that write a set-up at once; 0: none
    piece_ratio: float = 0.0  # of the set-ups that are written in pieces
    cancel_ratio: float = 0.0  # of the set-ups that are given up early
    leave_ratio: float = 0.0  # of the set-ups after which the client leaves
    bad_client_interval_s: float = 0.0
    clients_stop_s: float | None = None  # after SIGTERM, clients send nothing more
    has_store: bool = False
    is_flooded: bool = False  # one connection is filled with set-ups before each shutdown
    events: tuple[Event, ...] = ()
    stops: tuple[Stop, ...] = ()
    seed: int = 1

    @property
    def longest_wait_s(self) -> float:
        """The longest deadline of the settings."""
        return max(self.waits_s)

    @property
    def kill_after_s(self) -> float:
        """The earliest time of SIGKILL after SIGTERM, in seconds."""
        return min(self.longest_wait_s, LONGEST_WAIT_OF_KILL_S) + KILL_RESERVE_S


# ---- schedules drawn from a seed

WAITS_S = ((0.3, 0.3), (0.6, 0.8), (0.8, 1.5), (1.5, 1.0), (3.0, 2.0), (4.0, 6.0), (9.0, 6.0))
FAULT_MODES = tuple(mode for mode in Mode if mode is not Mode.QUICK)
MAX_FURTHER_SIGNALS = 3
FURTHER_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGUSR1)
WARM_UP_S = 0.8  # before the first shutdown
TAIL_S = 1.0  # after the last one


def draw_trial(seed: int, length_s: float = 14.0) -> Trial:
    """Return the trial of a seed: shutdowns one after another, among faults of everything around the router."""
    rng = random.Random(seed)
    waits_s = rng.choice(WAITS_S)
    trial = Trial(
        length_s, waits_s, exchanges=rng.randint(3, 5), rate_per_s=rng.uniform(30.0, 90.0),
        connections=rng.randint(4, 12), api_ratio=rng.choice((0.0, 0.3, 0.5, 1.0)), routers=rng.choice((1, 1, 1, 2)),
        crowd=rng.choice((0, 0, 0, 120)), comes_again=True, newcomer_interval_s=rng.choice((0.0, 0.01, 0.05)),
        piece_ratio=rng.choice((0.0, 0.1, 0.5)), cancel_ratio=rng.choice((0.0, 0.1)),
        leave_ratio=rng.choice((0.0, 0.01)), bad_client_interval_s=rng.choice((0.0, 0.1)),
        has_store=rng.random() < 0.5, is_flooded=rng.random() < 0.15, seed=seed)
    return replace(trial, events=tuple(draw_events(rng, trial)), stops=tuple(draw_stops(rng, trial)))


def draw_stops(rng: random.Random, trial: Trial) -> list[Stop]:
    """Draw shutdowns one after another; of two routers in a row, now one, now the other, now both."""
    stops, at_s = [], rng.uniform(WARM_UP_S, 2.0)
    while at_s + trial.kill_after_s + TAIL_S < trial.length_s:
        further = tuple(rng.choice(FURTHER_SIGNALS) for _ in range(rng.choice((0, 0, 1, MAX_FURTHER_SIGNALS))))
        router = rng.randrange(trial.routers)
        stops.append(Stop(at_s, router, further, rng.uniform(0.05, 0.4)))
        if trial.routers > 1 and rng.random() < 0.4:
            stops.append(Stop(at_s + rng.uniform(0.0, 0.6), 1 - router, (), rng.uniform(0.05, 0.4)))
        at_s += trial.kill_after_s + RESTART_S + rng.uniform(0.2, 1.5)
    return stops


def draw_events(rng: random.Random, trial: Trial) -> list[Event]:
    """Draw faults of the exchanges, of discovery and of the store."""
    events: list[Event] = []
    for exchange in range(trial.exchanges):
        at_s = rng.uniform(0.5, 3.0)
        while at_s < trial.length_s - TAIL_S:
            for_s = rng.uniform(0.3, 3.0)
            action = rng.choices(
                (Action.MODE, Action.REPLACE, Action.VANISH, Action.CUT_CALLS, Action.DRAIN), (10, 2, 1, 1, 2))[0]
            if action is Action.DRAIN:
                for_s = rng.uniform(3.0, 6.0)
            elif action is not Action.MODE:
                for_s = min(for_s, 1.5)
            events.append(Event(at_s, action, exchange, rng.choice(FAULT_MODES), for_s))
            at_s += for_s + rng.uniform(0.3, 2.5)
    at_s = rng.uniform(1.0, 4.0)
    while at_s < trial.length_s - TAIL_S:
        action = rng.choice((Action.DISCOVERY_SILENT, Action.DISCOVERY_DOWN, Action.RELOAD, Action.RELOAD))
        for_s = rng.uniform(0.5, 3.0)
        events.append(Event(at_s, action, for_s=for_s))
        at_s += for_s + rng.uniform(0.1, 2.0)
    if trial.has_store and rng.random() < 0.3:
        events.append(Event(rng.uniform(1.0, trial.length_s / 2), Action.STALL_STORE, for_s=rng.uniform(1.0, 5.0)))
    return sorted(events, key=lambda event: event.at_s)
