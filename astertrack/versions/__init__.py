"""Versions of the routing plan: which is accepted, which is in force for a call, and which is taken back.

Decides, on the clock it is given: whether a version that comes from a control service may come now (epochs,
numbers, deltas and their bases), whether it is sound (in pieces, so that calls pass between them), from which
instant it is in force, and whether the calls that it touched fail more often than chance allows (a difference of
log odds ratios, Altman and Bland 2003, pooled over zones as by Woolf 1955), in which case it is rolled back.

What may never happen: a refused or half-received version changes what is in force; a number of one epoch means two
plans; a version in force for one instant is another one when asked again for the same instant.
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
