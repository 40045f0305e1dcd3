"""Gossip at size, in virtual time: how soon a death is found, what is falsely found, what it costs, how it heals.

For each size and loss: a steady stretch, a death, and a partition along the zones of 15 s. The machines are the
program's; the network is the laboratory's.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from typing import Any

from astertrack.gossip import GossipSettings, State
from laboratory.gossip_world import GossipWorld, Network, octets_a_second

STEADY_S = 20.0
FOUND_S = 120.0  # that a death is waited for
CUT_S = 15.0
HEALED_S = 120.0


def measure(count: int, loss: float, seed: int, partition: bool) -> dict[str, Any]:
    """Play one size under one loss."""
    began = time.monotonic()
    settings = GossipSettings()
    world = GossipWorld(count, seed, settings, Network(loss=loss, doubled=0.01))
    world.run(STEADY_S)
    sent = sum(i.sent for i in world.instances.values()) / count / STEADY_S
    octets = octets_a_second(world.instances.values(), STEADY_S)
    victim = world.instances[f"n{count // 2}"]
    died, victim.down = world.now, True
    agreed = world.until(world.agree, FOUND_S)
    found = sorted((at - died) / settings.probe_interval_us for i in world.running() for at, name, state, _ in i.changes
                   if name == victim.name and state is State.DEAD)
    hours = count * (world.now - world.began) / 3.6e9
    false = world.false_deaths({victim.name: died})
    standing = sum(world.instances[by].machine.members[of].state is State.DEAD for _, by, of in false
                   if of in world.instances[by].machine.members)
    row: dict[str, Any] = {
        "instances": count, "loss": loss, "datagrams_s": round(sent, 2), "octets_s": round(octets),
        "found_median": round(statistics.median(found), 1) if found else None,
        "found_99": round(found[min(len(found) - 1, int(0.99 * len(found)))], 1) if found else None,
        "found_by_all": round(agreed, 1) if agreed is not None else None,
        "false_deaths": len(false), "false_deaths_hour": round(len(false) / hours, 2), "false_standing": standing}
    if partition:
        zones = {i.name: i.zone for i in world.instances.values()}
        world.network.cut = lambda sender, receiver: zones[sender] != zones[receiver]
        world.run(CUT_S)
        world.network.cut = lambda sender, receiver: False
        row["healed_s"] = world.until(world.agree, HEALED_S)
    row["real_s"] = round(time.monotonic() - began, 1)
    return row


def main() -> None:
    """Print a row for each, and all as one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="*", default=[10, 100, 1000])
    parser.add_argument("--losses", type=float, nargs="*", default=[0.0, 0.1, 0.3])
    given = parser.parse_args()
    rows = []
    for count in given.sizes:
        for loss in given.losses:
            rows.append(measure(count, loss, given.seed, partition=True))
            print(rows[-1], flush=True)
    print(json.dumps({"seed": given.seed, "rows": rows}))


if __name__ == "__main__":
    main()
