"""Gossip at scale in virtual time: detection time of a failure, false detections, traffic and partition recovery.

For each group size and loss rate: a steady phase, a failure of one instance, and a partition of 15 s between the zones.
The state machines are the program's; the network is the simulation in laboratory/gossip_world.py.

Units of the results: found_median and found_99 (the 99th percentile over the instances that detected the failure) are
in probe intervals, found_by_all and healed_s in seconds of virtual time, datagrams_s and octets_s per instance and
second, false_deaths_hour per instance and hour. false_standing counts the false detections that were not corrected.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from typing import Any

from astertrack.gossip import GossipSettings, State
from laboratory.gossip_world import GossipWorld, Network, bytes_per_second

STEADY_S = 20.0
DETECTION_TIMEOUT_S = 120.0  # maximum wait for the detection of a failure
PARTITION_S = 15.0
HEALING_TIMEOUT_S = 120.0


def measure(count: int, loss: float, seed: int, partition: bool) -> dict[str, Any]:
    """Run one group size under one loss rate and return the measured row."""
    started_s = time.monotonic()
    settings = GossipSettings()
    world = GossipWorld(count, seed, settings, Network(loss_fraction=loss, duplicate_fraction=0.01))
    world.run(STEADY_S)
    datagrams_per_second = sum(instance.datagrams_sent for instance in world.instances.values()) / count / STEADY_S
    sent_bytes_per_second = bytes_per_second(world.instances.values(), STEADY_S)
    victim = world.instances[f"n{count // 2}"]
    death_us, victim.is_down = world.now_us, True
    agreement_s = world.run_until(world.views_agree, DETECTION_TIMEOUT_S)
    detection_periods = sorted((time_us - death_us) / settings.probe_interval_us
                               for instance in world.running_instances() for time_us, name, state, _ in instance.changes
                               if name == victim.name and state is State.DEAD)
    hours = count * (world.now_us - world.started_us) / 3.6e9
    false_deaths = world.false_deaths({victim.name: death_us})
    uncorrected_deaths = sum(world.instances[observer].membership.members[subject].state is State.DEAD
                             for _, observer, subject in false_deaths
                             if subject in world.instances[observer].membership.members)
    row: dict[str, Any] = {
        "instances": count, "loss": loss, "datagrams_s": round(datagrams_per_second, 2),
        "octets_s": round(sent_bytes_per_second),
        "found_median": round(statistics.median(detection_periods), 1) if detection_periods else None,
        "found_99": round(detection_periods[min(len(detection_periods) - 1, int(0.99 * len(detection_periods)))], 1)
                    if detection_periods else None,
        "found_by_all": round(agreement_s, 1) if agreement_s is not None else None,
        "false_deaths": len(false_deaths), "false_deaths_hour": round(len(false_deaths) / hours, 2),
        "false_standing": uncorrected_deaths}
    if partition:
        zones = {instance.name: instance.zone for instance in world.instances.values()}
        world.network.is_blocked = lambda sender, receiver: zones[sender] != zones[receiver]
        world.run(PARTITION_S)
        world.network.is_blocked = lambda sender, receiver: False
        row["healed_s"] = world.run_until(world.views_agree, HEALING_TIMEOUT_S)
    row["real_s"] = round(time.monotonic() - started_s, 1)
    return row


def main() -> None:
    """Print one row per size and loss rate, and then all rows as one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="*", default=[10, 100, 1000])
    parser.add_argument("--losses", type=float, nargs="*", default=[0.0, 0.1, 0.3])
    arguments = parser.parse_args()
    rows = []
    for count in arguments.sizes:
        for loss in arguments.losses:
            rows.append(measure(count, loss, arguments.seed, partition=True))
            print(rows[-1], flush=True)
    print(json.dumps({"seed": arguments.seed, "rows": rows}))


if __name__ == "__main__":
    main()
