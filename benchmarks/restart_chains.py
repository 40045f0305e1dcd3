"""Who is told of the ends of calls when routers in a row are restarted: one line for each scenario.

Ten calls stand, the routers named are ended and started again 1 s later, and 3 s after that the exchange ends all.
--scenario names one of them; --calls says how many calls stand. --before DIR is a checkout of the version before: then
the scenarios with routers of both versions run instead, and with --all-before every router is of that version.
Example: python -m benchmarks.restart_chains --calls 10
The last output line is one JSON object.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
from dataclasses import replace
from pathlib import Path

from laboratory.restart_chains import Result, Scenario, run_scenario
from laboratory.stand_ins import ROOT

SCENARIOS = (
    Scenario("nobody restarted", restarted=()),
    Scenario("near killed"),
    Scenario("near terminated", stop_signal=signal.SIGTERM),
    Scenario("near killed, calls end while it is down", calls_end_while_down=True),
    Scenario("near killed twice", restarts=2),
    Scenario("near killed twice, calls end while it is down", restarts=2, calls_end_while_down=True),
    Scenario("near and far killed", restarted=("near", "far")),
    Scenario("near and far killed, calls end while they are down", restarted=("near", "far"),
             calls_end_while_down=True),
    Scenario("far killed", restarted=("far",)),
    Scenario("far terminated", restarted=("far",), stop_signal=signal.SIGTERM),
    Scenario("far killed, calls end while it is down", restarted=("far",), calls_end_while_down=True),
    Scenario("far killed twice", restarted=("far",), restarts=2),
    Scenario("nobody restarted, the exchange dies", restarted=(), exchange_dies=True),
    Scenario("far killed, then the exchange dies", restarted=("far",), exchange_dies=True),
    Scenario("near killed, then the exchange dies", exchange_dies=True),
    Scenario("near killed, caller hangs up", caller_hangs_up=True),
    Scenario("far killed, caller hangs up", restarted=("far",), caller_hangs_up=True),
    Scenario("far killed, caller hangs up while it is down", restarted=("far",), caller_hangs_up=True,
             calls_end_while_down=True),
    Scenario("near and far killed, caller hangs up", restarted=("near", "far"), caller_hangs_up=True),
    Scenario("middle killed", has_middle=True, restarted=("middle",)),
    Scenario("near killed before a middle", has_middle=True),
    Scenario("far killed behind a middle", has_middle=True, restarted=("far",)),
    Scenario("near and middle killed", has_middle=True, restarted=("near", "middle")),
    Scenario("near, middle and far killed", has_middle=True, restarted=("near", "middle", "far")),
    Scenario("API client resumes, near killed", caller_is_api_client=True),
    Scenario("API client resumes, near killed, calls end while it is down", caller_is_api_client=True,
             calls_end_while_down=True),
    Scenario("API client resumes, near and far killed", caller_is_api_client=True, restarted=("near", "far")),
    Scenario("near killed in a crowd", crowd_per_s=60),
    Scenario("near and far killed in a crowd", restarted=("near", "far"), crowd_per_s=60),
    Scenario("one near of four killed", other_nears=3),
    Scenario("far behind four nears killed", other_nears=3, restarted=("far",)),
    Scenario("one near of four and far killed", other_nears=3, restarted=("near", "far")),
)
MIXED_SCENARIOS = tuple(
    replace(scenario, name=f"{scenario.name}; {old} of the version before", routers_of_version_before=(old,))
    for old in ("near", "far") for scenario in SCENARIOS if scenario.name in (
        "nobody restarted", "near killed", "far killed", "near and far killed", "near killed, caller hangs up",
        "far killed, caller hangs up", "API client resumes, near killed"))


def select(arguments: argparse.Namespace) -> list[Scenario]:
    """Return the scenarios to run."""
    scenarios = MIXED_SCENARIOS if arguments.before and not arguments.all_before else SCENARIOS
    if arguments.all_before:
        scenarios = tuple(replace(s, routers_of_version_before=("near", "middle", "far", "near-2", "near-3", "near-4"))
                          for s in scenarios)
    chosen = [s for s in scenarios if arguments.scenario in ("", s.name)]
    if not chosen:
        raise SystemExit(f"no such scenario; there are: {', '.join(s.name for s in scenarios)}")
    return [replace(s, calls=arguments.calls) for s in chosen]


def describe(scenario: Scenario, result: Result) -> str:
    """Return the line of a scenario."""
    outcome = (f"{result.reached_the_exchange} of {result.stood} reach the exchange" if scenario.caller_hangs_up else
               f"{result.released_in_time} of {result.stood} in time, slowest {result.slowest_release_s} s")
    return (f"{scenario.name}: {outcome}, early {result.released_early}, twice {result.released_twice}, strangers told "
            f"{result.strangers_told}, slowest answer {result.slowest_answer_s} s, unanswered {result.unanswered}")


def main() -> None:
    """Run the scenarios, and print a line for each and the JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=10)
    parser.add_argument("--scenario", default="")
    parser.add_argument("--before", type=Path, default=None)
    parser.add_argument("--all-before", action="store_true")
    arguments = parser.parse_args()
    results = {}
    for scenario in select(arguments):
        result = asyncio.run(run_scenario(scenario, arguments.before or ROOT))
        results[scenario.name] = result.as_dict()
        print(describe(scenario, result), flush=True)
    print(json.dumps({"calls": arguments.calls, "scenarios": results}))


if __name__ == "__main__":
    main()
