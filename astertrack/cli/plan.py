"""astertrack plan: compile a plan file, and look up the routes of calls in it."""

from __future__ import annotations

import time
import tracemalloc
from pathlib import Path
from typing import Any

import click
import msgspec

from astertrack.cli.common import (
    EXIT_NEGATIVE,
    EXIT_OK,
    FILE_PATH,
    JSON_OPTION,
    exit_with,
    fail,
    print_result,
    report_errors,
)
from astertrack.parts.planfile import read_plan_file
from astertrack.plan import RouteQuery
from astertrack.plan.model import ANY, Range
from astertrack.plan.policy import limit_applies, resolve_destination
from astertrack.plan.ranges import DIGITS


@click.group("plan")
def command() -> None:
    """Compile a plan file, and look up the routes of calls in it."""


@command.command("compile")
@click.argument("file", type=FILE_PATH)
@JSON_OPTION
@report_errors
def compile_command(file: Path, as_json: bool) -> None:
    """Compile a plan file as a router does, and print its size, digest, compile time and memory."""
    start_s = time.perf_counter()
    id, plan, _ = read_plan_file(file)
    took_ms = (time.perf_counter() - start_s) * 1000
    tracemalloc.start()  # for a second compilation: tracing slows it down, and the first one was timed
    measured_plan = read_plan_file(file)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del measured_plan
    values = {"version": str(id), "records": plan.size, "prefixes": len(plan.prefixes), "state": f"{plan.state:064x}",
              "took_ms": round(took_ms, 1), "memory_kib": memory_bytes // 1024,
              "kinds": {kind: len(records) for kind, records in plan.records_by_kind.items()}}
    print_result(values, as_json, "\n".join(f"{name:10} {value}" for name, value in values.items()))


@command.command("lookup")
@click.argument("file", type=FILE_PATH)
@click.argument("number")
@click.option("--dest", type=int, default=-1, help="Destination exchange given by the caller; -1: none.")
@click.option("--class", "service", default=ANY, help="Class of the call.")
@click.option("--zone", default=ANY, help="Zone of the router.")
@JSON_OPTION
@report_errors
def lookup(file: Path, number: str, dest: int, service: str, zone: str, as_json: bool) -> None:
    """Look up the route of a call to NUMBER in the plan file FILE. Exit code 1: the plan refuses the call."""
    if number.strip(DIGITS) or not number:
        fail(f"{number!r} is not a number: expected digits 0-9 and letters a-f")
    _, plan, _ = read_plan_file(file)
    entry = plan.prefixes.match(number)
    query = RouteQuery(number, dest, service, False)
    destination = resolve_destination(plan, query)
    values: dict[str, Any] = {"number": number, "prefix": number[:entry[0]] if entry is not None else None}
    if entry is not None:
        values["record"] = {"kind": "prefix", "digits": number[:entry[0]], "exchange": entry[1]} if isinstance(
            entry[1], int) else msgspec.to_builtins(entry[1])
        if isinstance(entry[1], Range):
            values["prefix"] = entry[1].key()
    if not isinstance(destination, int):
        values |= {"turned_away": destination[0], "wait_ms": destination[2]}
        print_result(values, as_json, f"{number}: refused: {destination[0]} {destination[1]}".rstrip())
        exit_with(EXIT_NEGATIVE)
    route = plan.route(destination, service, zone)
    tiers = [sorted(tier) if tier is not None else ["any"] for tier in route.tiers]
    limits = [limit.name for limit in plan.records_of("limit").values() if limit_applies(limit, query, destination)]
    values |= {"exchange": destination, "ways": tiers or [["any"]], "never": sorted(route.never), "limits": limits}
    text = [f"{number}: exchange {destination}, by {'prefix ' + str(values['prefix']) if entry else 'the caller'}",
            "routes: " + (", then ".join("any" if tier == ["any"] else "direct" if tier == [destination]
                                         else "via " + " or ".join(map(str, tier)) for tier in tiers)
                          or "direct, then any")]
    if route.never:
        text.append("excluded: " + ", ".join(map(str, sorted(route.never))))
    if limits:
        text.append("limits: " + ", ".join(limits))
    print_result(values, as_json, "\n".join(text))
    exit_with(EXIT_OK)
