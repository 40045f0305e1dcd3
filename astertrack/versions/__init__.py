"""Versions of the routing plan: which is accepted, which is in force for a call, and which is rolled back.

Decides, by the clock that it is given: whether a version from a control service is acceptable now (epochs, numbers,
deltas and their bases), whether it is valid (in small steps, so that calls are processed in between), from which time
on it is in force, and whether the calls that it affects fail more often than chance allows, in which case it is rolled
back (a difference of log odds ratios, Altman and Bland 2003, pooled over zones as by Woolf 1955).

Invariants: a refused or partly received version does not change what is in force; a version number of one epoch stands
for one plan only; the version in force at a given time is the same whenever that time is queried.
"""

from astertrack.versions.machine import VersionManager, VersionSettings
from astertrack.versions.model import (
    Action,
    ActiveVersion,
    Document,
    Header,
    LogEvent,
    Report,
    RequestFullVersion,
    SendReport,
    SetCurrentVersion,
    StoreVersion,
    VersionId,
    VersionState,
    make_document,
    read_header,
    write_header,
)
from astertrack.versions.probation import CallOutcome, Probation, Verdict
from astertrack.versions.reports import Outbox

__all__ = ["Action", "ActiveVersion", "CallOutcome", "Document", "Header", "LogEvent", "Outbox", "Probation", "Report",
           "RequestFullVersion", "SendReport", "SetCurrentVersion", "StoreVersion", "Verdict", "VersionId",
           "VersionManager", "VersionSettings", "VersionState", "make_document", "read_header", "write_header"]
