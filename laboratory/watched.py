"""Starts the program as the platform does, and reports at its end the longest turn of its reactor.

A turn is the time between two waits for events, during which nothing else is served. It is measured in wall time and
in the CPU time of the thread, since on a shared machine the wall time includes the time in which others run.
"""

from __future__ import annotations

import os
import signal
import sys
import time
import traceback
from typing import Any

from twisted.internet import reactor as default_reactor

from astertrack.__main__ import main

# The stack is printed during turns longer than this; 0 turns it off.
TRACE_THRESHOLD_S = float(os.environ.get("WATCH_TRACE_MS", "0")) / 1000


def print_stack(_: int, frame: Any) -> None:
    """Print the innermost frames of a long turn; called by SIGALRM."""
    print("long turn:",
          " < ".join(f"{entry.name}:{entry.lineno}" for entry in reversed(traceback.extract_stack(frame)[-7:])),
          file=sys.stderr, flush=True)


class TimedPoller:
    """Wraps the poller of the reactor and measures the time between its waits."""

    def __init__(self, poller: Any) -> None:
        self._poller = poller
        self._turn_started: tuple[float, float] | None = None  # wall time and CPU time
        self.wall_times_s: list[float] = []  # of the turns longer than 1 ms
        self.longest_cpu_s = 0.0

    def poll(self, *arguments: Any) -> Any:
        """Wait for events."""
        if self._turn_started is not None:
            wall_s, cpu_s = time.perf_counter() - self._turn_started[0], time.thread_time() - self._turn_started[1]
            self.longest_cpu_s = max(self.longest_cpu_s, cpu_s)
            if wall_s > 0.001:
                self.wall_times_s.append(wall_s)
        if TRACE_THRESHOLD_S:
            signal.setitimer(signal.ITIMER_REAL, 0)
        events = self._poller.poll(*arguments)
        if TRACE_THRESHOLD_S:
            signal.setitimer(signal.ITIMER_REAL, TRACE_THRESHOLD_S)
        self._turn_started = time.perf_counter(), time.thread_time()
        return events

    def __getattr__(self, name: str) -> Any:
        return getattr(self._poller, name)


def run_timed() -> int:
    """Run the program, print the times of its turns to standard error, and return its exit code."""
    reactor: Any = default_reactor
    poller = reactor._poller = TimedPoller(reactor._poller)
    if TRACE_THRESHOLD_S:
        signal.signal(signal.SIGALRM, print_stack)
    exit_code = main()
    signal.setitimer(signal.ITIMER_REAL, 0)
    wall_times_s = sorted(poller.wall_times_s) or [0.0]
    print(f"turns longest_us={int(wall_times_s[-1] * 1e6)} longest_cpu_us={int(poller.longest_cpu_s * 1e6)} "
          f"over_10_ms={sum(wall_s > 0.010 for wall_s in wall_times_s)}", file=sys.stderr, flush=True)
    return exit_code


if __name__ == "__main__":
    sys.exit(run_timed())
