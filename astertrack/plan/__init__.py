"""The routing plan: which exchange a number belongs to, how calls may get there, and what limits them.

Decides, for one call at a time and without I/O: the destination (longest match over a burst trie), the ordered
groups of ways to it by destination, class and zone, whether a number is barred or a limit reached, and what the
refused caller is told. Which server of those permitted is taken, whether to try again and whom to turn away stays
with the decision module.

What may never happen: a plan that is half checked is asked; a plan changes once it is made; a call follows two
plans. Methods: burst tries (Heinz, Zobel and Williams 2002) made persistent by copying paths (Driscoll and others
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
