"""The routing plan: which exchange a number belongs to, the permitted routes to it, and the call limits.

Decides, for one call at a time and without I/O: the destination (longest-prefix match in a burst trie), the ordered
groups of routes to it by destination, class and zone, whether the number is barred or a limit is reached, and the
retry advice for a refused caller. The choice among the permitted routes, retries and load shedding are left to the
decision module.

Invariants: a plan that is not fully validated is never queried; a plan is immutable once built; a call follows one
plan only. Methods: burst tries (Heinz, Zobel and Williams 2002) made persistent by path copying (Driscoll and others
1989); set digests by AdHash (Bellare and Micciancio 1997).
"""

from astertrack.plan.compiled import Plan, PlanBuilder, build
from astertrack.plan.model import (
           Drop,
           Finding,
           PlanError,
           PlanLine,
           PlanRefusal,
           Reason,
           Record,
           Route,
           read_line,
           write_line,
)
from astertrack.plan.policy import PlanAdmission, PlanEvaluator, RouteQuery, find_route

__all__ = ["Drop", "Finding", "Plan", "PlanAdmission", "PlanBuilder", "PlanError", "PlanEvaluator", "PlanLine",
           "PlanRefusal", "Reason", "Record", "Route", "RouteQuery", "build", "find_route", "read_line", "write_line"]
