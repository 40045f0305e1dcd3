"""Versions of the routing plan: which is accepted, which is in force for a call, and which is taken back.

Decides, on the clock it is given: whether a version that comes from a control service may come now (epochs,
numbers, deltas and their bases), whether it is sound (in pieces, so that calls pass between them), from which
instant it is in force, and whether the calls that it touched fail more often than chance allows (a difference of
log odds ratios, Altman and Bland 2003, pooled over zones as by Woolf 1955), in which case it is rolled back.

What may never happen: a refused or half-received version changes what is in force; a number of one epoch means two
plans; a version in force for one instant is another one when asked again for the same instant.
"""

from astertrack.versions.machine import Rules, Versions
from astertrack.versions.model import (
    Action,
    AskFull,
    Document,
    Header,
    InForce,
    Keep,
    Note,
    Point,
    Report,
    Stand,
    Tell,
    VersionId,
    make_document,
    read_header,
    write_header,
)
from astertrack.versions.probation import Judgement, Outcome, Probation
from astertrack.versions.reports import Outbox

__all__ = ["Action", "AskFull", "Document", "Header", "InForce", "Judgement", "Keep", "Note", "Outbox", "Outcome",
           "Point", "Probation", "Report", "Rules", "Stand", "Tell", "VersionId", "Versions", "make_document",
           "read_header", "write_header"]
