"""Start the program as the platform does, and tell at its end how long the longest turn of its reactor took.

A turn is what lies between two waits for events: nothing else is served meanwhile. Told in wall time and in the
processor time of the thread, since a shared machine adds to the first what it takes away.
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

TRACE_S = float(os.environ.get("WATCH_TRACE_MS", "0")) / 1000  # turns longer than this are told with where they were


def trace(_: int, frame: Any) -> None:
    """Tell where a long turn is."""
    print("long turn:", " < ".join(f"{f.name}:{f.lineno}" for f in reversed(traceback.extract_stack(frame)[-7:])),
          file=sys.stderr, flush=True)


class Watched:
    """The reactor's poller, with a clock on either side of its wait."""

    def __init__(self, poller: Any) -> None:
        self._poller = poller
        self._began: tuple[float, float] | None = None
        self.walls: list[float] = []
        self.longest_cpu = 0.0

    def poll(self, *values: Any) -> Any:
        """Wait for events."""
        if self._began is not None:
            wall, cpu = time.perf_counter() - self._began[0], time.thread_time() - self._began[1]
            self.longest_cpu = max(self.longest_cpu, cpu)
            if wall > 0.001:
                self.walls.append(wall)
        if TRACE_S:
            signal.setitimer(signal.ITIMER_REAL, 0)
        events = self._poller.poll(*values)
        if TRACE_S:
            signal.setitimer(signal.ITIMER_REAL, TRACE_S)
        self._began = time.perf_counter(), time.thread_time()
        return events

    def __getattr__(self, name: str) -> Any:
        return getattr(self._poller, name)


def watched_main() -> int:
    """Run the program; returns its exit code."""
    reactor: Any = default_reactor
    watched = reactor._poller = Watched(reactor._poller)
    if TRACE_S:
        signal.signal(signal.SIGALRM, trace)
    code = main()
    signal.setitimer(signal.ITIMER_REAL, 0)
    walls = sorted(watched.walls) or [0.0]
    print(f"turns longest_us={int(walls[-1] * 1e6)} longest_cpu_us={int(watched.longest_cpu * 1e6)} "
          f"over_10_ms={sum(wall > 0.010 for wall in walls)}", file=sys.stderr, flush=True)
    return code


if __name__ == "__main__":
    sys.exit(watched_main())
