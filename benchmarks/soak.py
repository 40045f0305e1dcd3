"""Short, dense trials drawn by a seed: shutdowns one after another among faults of everything around the router.

    python -m benchmarks.soak --seed 1 [--seeds 50] [--jobs 4] [--length 14] [--source FOLDER] [--keep FOLDER]

The last line of output is a JSON object: the seeds, the set-ups, and the breaches by rule.
"""

from __future__ import annotations

import argparse
import json
import traceback
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from laboratory.stand_ins import ROOT
from laboratory.trials.rules import Breach, find_breaches
from laboratory.trials.runner import run_trial
from laboratory.trials.schedule import draw_trial

MAX_PRINTED_BREACHES = 4  # of one seed


@dataclass(frozen=True)
class SeedResult:
    """What one seed has shown."""

    seed: int
    description: str
    set_ups: int = 0
    served: int = 0
    shutdowns: int = 0
    breaches: tuple[Breach, ...] = ()
    longest_lag_s: float = 0.0  # of the stand-ins
    fault: str = ""  # of the trial itself


def run_seed(seed: int, length_s: float, source: Path, keep: Path | None) -> SeedResult:
    """Run the trial of one seed."""
    trial = draw_trial(seed, length_s)
    description = (f"deadlines {trial.waits_s}, {trial.routers} router(s), {len(trial.stops)} shutdowns, "
                   f"{len(trial.events)} faults, API {trial.api_ratio:.0%}, crowd {trial.crowd}")
    try:
        record = run_trial(trial, source, keep and keep / f"seed-{seed}")
    except Exception:
        return SeedResult(seed, description, fault=traceback.format_exc())
    return SeedResult(seed, description, len(record.set_ups), sum(s.is_served for s in record.set_ups),
                      sum(p.term_s is not None for p in record.processes), tuple(find_breaches(record)),
                      record.longest_lag_s)


def describe(result: SeedResult) -> str:
    """Return the lines of one seed."""
    if result.fault:
        return f"seed {result.seed}: FAULT OF THE TRIAL ({result.description})\n{result.fault}"
    rules = dict(Counter(breach.rule.value for breach in result.breaches))
    lines = [f"seed {result.seed}: {result.set_ups} set-ups, {result.served} served, breaches {rules or 'none'} "
             f"({result.description})"]
    lines += [f"    {b.rule.value}: {b.subject} {b.detail}" for b in result.breaches[:MAX_PRINTED_BREACHES]]
    return "\n".join(lines)


def main() -> int:
    """Run the seeds, print their lines and the JSON object; return 1 if there were breaches or faults."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--jobs", type=int, default=1, help="trials at a time")
    parser.add_argument("--length", type=float, default=14.0, help="of a trial, in seconds")
    parser.add_argument("--source", type=Path, default=ROOT, help="the folder of the program")
    parser.add_argument("--keep", type=Path, default=None, help="a folder for configuration and logs")
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    run = partial(run_seed, length_s=arguments.length, source=arguments.source, keep=arguments.keep)
    results = []
    with ProcessPoolExecutor(arguments.jobs) as executor:
        for result in executor.map(run, seeds):
            print(describe(result), flush=True)
            results.append(result)
    rules = Counter(breach.rule.value for result in results for breach in result.breaches)
    print(json.dumps({
        "seeds": len(results), "seeds_with_breaches": sum(bool(r.breaches) for r in results),
        "faults_of_trials": sum(bool(r.fault) for r in results), "set_ups": sum(r.set_ups for r in results),
        "served": sum(r.served for r in results), "shutdowns": sum(r.shutdowns for r in results),
        "longest_lag_s": round(max(r.longest_lag_s for r in results), 3), "breaches": dict(rules)}))
    return int(any(r.breaches or r.fault for r in results))


if __name__ == "__main__":
    raise SystemExit(main())
