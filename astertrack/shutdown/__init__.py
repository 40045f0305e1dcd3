"""Decides what a router that was asked to stop does next, and when. No I/O; `astertrack.stopping` carries it out.

The method is a graceful shutdown with a deadline: the signal fixes the time of the earliest SIGKILL, and everything
else is planned back from it. Invariants:

- Every call gets its final answer before `ShutdownSchedule.answer_by_us`, whatever it waits for; a set-up that arrives
  later is refused at once.
- A connection is closed only when no set-up is open or unread on it, or shortly before the end.
- The process ends before `ShutdownSchedule.kill_us`, whether or not peers, clients and the store respond.
"""

from astertrack.shutdown.machine import Shutdown
from astertrack.shutdown.model import (
    CloseConnections,
    CloseListeners,
    CloseStore,
    Exit,
    OpenWork,
    RefuseOldest,
    RefuseSetUps,
    ShutdownAction,
    ShutdownPhase,
    ShutdownSchedule,
    StopHandshakes,
    make_schedule,
)

__all__ = ["CloseConnections", "CloseListeners", "CloseStore", "Exit", "OpenWork", "RefuseOldest", "RefuseSetUps",
           "Shutdown", "ShutdownAction", "ShutdownPhase", "ShutdownSchedule", "StopHandshakes", "make_schedule"]
