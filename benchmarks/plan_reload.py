"""How long a SIGHUP with a large plan file takes, and the longest turn of the reactor that it causes.

Starts the program with a small plan for each size, replaces the file and sends SIGHUP. The last output line is one JSON
object. Example: python -m benchmarks.plan_reload --aliases 6000 19900 --prefixes 100000
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

from laboratory.plan_files import EXCHANGES, make_plan_text
from laboratory.stand_ins import BinaryNode, Node, running_router


async def measure(aliases: int, prefixes: int) -> dict[str, Any]:
    """Reload a plan of this size once; return the time until it is in force and the longest turn."""
    nodes: dict[int, Node] = {number: await BinaryNode().start() for number in EXCHANGES}
    with tempfile.TemporaryDirectory() as folder:
        path, new = Path(folder) / "plan.toml", Path(folder) / "plan.new"
        path.write_text(make_plan_text(1))
        async with running_router(nodes, versions=f'[plan]\nfile = "{path}"\n[probation]\nseconds = 0\n') as router:
            new.write_text(make_plan_text(2, aliases, prefixes))
            new.replace(path)
            start_s = time.perf_counter()
            router.process.send_signal(signal.SIGHUP)
            await router.wait_for_log("version=1.2")
            in_force_s = time.perf_counter() - start_s
            counts = await router.stop_and_read_counters()
    return {"aliases": aliases, "prefixes": prefixes, "in_force_s": round(in_force_s, 3),
            "longest_turn_ms": counts["versions_longest_turn_us"] / 1000}


def main() -> None:
    """Measure each size and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--aliases", type=int, nargs="*", default=[6_000, 19_900])
    parser.add_argument("--prefixes", type=int, nargs="*", default=[100_000])
    arguments = parser.parse_args()
    sizes = [(count, 0) for count in arguments.aliases] + [(0, count) for count in arguments.prefixes]
    results = [asyncio.run(measure(*size)) for size in sizes]
    for result in results:
        print(result)
    print(json.dumps({"reloads": results}))


if __name__ == "__main__":
    main()
