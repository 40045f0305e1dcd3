"""Shutdowns of one router while clients go on sending on open connections until its process ends.

SIGTERM comes after 1.5 s, SIGKILL at the platform's earliest time. From SIGTERM on the exchanges misbehave as the row
says. The last line of output is a JSON object with the figures of each row.

    python -m benchmarks.shutdowns [--row NAME] [--repeat N] [--source FOLDER]
"""

from __future__ import annotations

import argparse
import json
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path

from laboratory.stand_ins import ROOT
from laboratory.trials.exchanges import Mode
from laboratory.trials.records import TrialRecord
from laboratory.trials.rules import find_breaches
from laboratory.trials.runner import run_trial
from laboratory.trials.schedule import Action, Event, Stop, Trial

TERM_AT_S = 1.5
EXCUSED_S = 0.7  # what is written later after SIGTERM is lost if SIGKILL finds it unanswered
CLOSE_TO_KILL_S = 0.05


def make_trial(modes: tuple[Mode, ...] = (), wait_s: float = 3.0, **changes: object) -> Trial:
    """Return a trial in which the exchanges change to these modes at SIGTERM."""
    events = tuple(Event(TERM_AT_S, Action.MODE, index, mode) for index, mode in enumerate(modes))
    trial = Trial(0.0, (wait_s, wait_s), events=events, stops=(Stop(TERM_AT_S, restart_after_s=None),),
                  comes_again=False)
    trial = replace(trial, **changes)  # type: ignore[arg-type]
    return replace(trial, length_s=TERM_AT_S + trial.kill_after_s + 0.2)


HALF_HANG, ALL_HANG = (Mode.HANGS,) * 2, (Mode.HANGS,) * 4
SLOW, RESETS = (Mode.SLOW,) * 4, (Mode.RESETS,) * 4
ROWS: dict[str, Trial] = {
    "3 s quick, clients stop": make_trial(clients_stop_s=0.4),
    "3 s quick, clients stop, API": make_trial(clients_stop_s=0.4, api_ratio=1.0),
    "3 s quick": make_trial(),
    "3 s quick, API": make_trial(api_ratio=1.0),
    "3 s quick, 300/s": make_trial(rate_per_s=300.0),
    "9 s quick": make_trial(wait_s=9.0),
    "1.5 s quick": make_trial(wait_s=1.5),
    "0.8 s quick": make_trial(wait_s=0.8),
    "0.3 s quick": make_trial(wait_s=0.3),
    "3 s half hang": make_trial(HALF_HANG),
    "3 s half hang, API": make_trial(HALF_HANG, api_ratio=1.0),
    "3 s half hang, 200 connections, 200/s": make_trial(HALF_HANG, rate_per_s=200.0, crowd=200),
    "3 s half hang, clients stop after 2 s": make_trial(HALF_HANG, clients_stop_s=2.0),
    "3 s all hang": make_trial(ALL_HANG),
    "3 s all frozen": make_trial((Mode.FROZEN,) * 4),
    "1.5 s half hang, clients come again": make_trial(HALF_HANG, wait_s=1.5, comes_again=True),
    "0.8 s half hang": make_trial(HALF_HANG, wait_s=0.8),
    "0.3 s all hang": make_trial(ALL_HANG, wait_s=0.3),
    "9 s half hang": make_trial(HALF_HANG, wait_s=9.0),
    "9 s half hang, both fronts": make_trial(HALF_HANG, wait_s=9.0, api_ratio=0.5),
    "9 s all hang, 600/s": make_trial(ALL_HANG, wait_s=9.0, rate_per_s=600.0),
    "3 s slow": make_trial(SLOW),
    "0.8 s slow": make_trial(SLOW, wait_s=0.8),
    "3 s resets": make_trial(RESETS),
    "0.8 s resets": make_trial(RESETS, wait_s=0.8),
    "9 s resets, both fronts": make_trial(RESETS, wait_s=9.0, api_ratio=0.5),
    "3 s quick, newcomers": make_trial(newcomer_interval_s=0.005),
    "3 s quick, in pieces": make_trial(piece_ratio=1.0),
    "0.8 s half hang, in pieces, both fronts": make_trial(HALF_HANG, wait_s=0.8, piece_ratio=1.0, api_ratio=0.5),
    "3 s half hang, two routers, near stops": make_trial(HALF_HANG, routers=2, api_ratio=0.5),
    "3 s half hang, two routers, far stops": make_trial(
        HALF_HANG, routers=2, api_ratio=0.5, stops=(Stop(TERM_AT_S, 1, restart_after_s=None),)),
    "3 s half hang, two routers, both stop": make_trial(
        HALF_HANG, routers=2, api_ratio=0.5,
        stops=(Stop(TERM_AT_S, 0, restart_after_s=None), Stop(TERM_AT_S + 0.4, 1, restart_after_s=None))),
    "3 s half hang, store": make_trial(HALF_HANG, has_store=True),
    "3 s half hang, store stalls": make_trial(
        has_store=True, events=(Event(TERM_AT_S, Action.STALL_STORE, for_s=6.0),
                                *(Event(TERM_AT_S, Action.MODE, n, Mode.HANGS) for n in range(2)))),
    "3 s quick, flood": make_trial(is_flooded=True),
    "0.8 s quick, flood": make_trial(wait_s=0.8, is_flooded=True),
}


@dataclass
class Figures:
    """The figures of one run."""

    kill_after_s: float
    ended_after_s: float | None
    was_killed: bool
    late_set_ups: int
    served: int  # of all
    served_late: int
    breaches: dict[str, int]
    written_close_to_kill: int  # of the lost ones


def measure(trial: Trial, record: TrialRecord) -> Figures:
    """Return the figures of a run."""
    process = next(p for p in record.processes if p.term_s is not None)
    term_s, ended_s = process.term_s or 0.0, process.ended_s
    late = [s for s in record.set_ups if s.written_s is not None and s.written_s > term_s + EXCUSED_S]
    breaches = find_breaches(record)
    return Figures(
        trial.kill_after_s, None if ended_s is None else round(ended_s - term_s, 3), process.was_killed, len(late),
        sum(s.is_served for s in record.set_ups), sum(s.is_served for s in late),
        dict(Counter(b.rule.value for b in breaches)),
        sum(not s.answers and (s.written_s or 0.0) > (ended_s or 0.0) - CLOSE_TO_KILL_S for s in late))


def main() -> None:
    """Run the rows, and print a line for each and the JSON object."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--row", default="", help="only rows whose name contains this")
    parser.add_argument("--repeat", type=int, default=1)
    parser.add_argument("--source", type=Path, default=ROOT, help="the folder of the program")
    parser.add_argument("--keep", type=Path, default=None, help="a folder for configuration and logs")
    arguments = parser.parse_args()
    results: dict[str, list[dict[str, object]]] = {}
    for name, trial in ROWS.items():
        if arguments.row not in name:
            continue
        for index in range(arguments.repeat):
            keep = arguments.keep and arguments.keep / f"{name}-{index}".replace("/", "-")
            record = run_trial(replace(trial, seed=index + 1), arguments.source, keep)
            figures = measure(trial, record)
            results.setdefault(name, []).append(vars(figures))
            end = "killed" if figures.was_killed else "ended by itself"
            print(f"{name}: kill at {figures.kill_after_s:.2f}, {end} {figures.ended_after_s}, "
                  f"late {figures.late_set_ups}, served {figures.served} (late {figures.served_late}), "
                  f"breaches {figures.breaches}", flush=True)
            for breach in find_breaches(record)[:3]:
                print(f"    {breach.rule.value}: {breach.subject} {breach.detail}", flush=True)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
