"""The service's side: which versions a router is sent, and what the routers have said of them. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from astertrack.plan import Drop, Plan, PlanLine
from astertrack.plan.model import Record, kind_of
from astertrack.versions.model import Document, Report, VersionId, make_document

PLANS_MOST = 32  # latest plans held, from which deltas are made
SEEN_MOST = 65_536  # reports remembered, so that one heard twice counts once
DELTA_SHARE = 0.5  # of a plan's records: a delta of more is sent as a full version


def kind_and_key(record: Record) -> tuple[str, str]:
    """Return by what a delta names a record."""
    return kind_of(record), record.key()


def difference(old: Plan, new: Plan) -> list[PlanLine]:
    """Return the lines that make the new plan of the old one: what is gone first, for a prefix may change its kind."""
    before = {kind_and_key(record): record for record in old.records()}
    after = {kind_and_key(record): record for record in new.records()}
    gone = sorted(set(before) - set(after))
    changed = [record for name, record in after.items() if before.get(name) != record]
    return [*(Drop(kind, key) for kind, key in gone), *changed]


@dataclass(frozen=True, slots=True)
class Published:
    """A plan under its version."""

    id: VersionId
    plan: Plan
    in_force_ms: int = 0


class Catalogue:
    """The versions that a service has published."""

    def __init__(self) -> None:
        self._published: OrderedDict[VersionId, Published] = OrderedDict()
        self._full: Document | None = None  # of the latest
        self._deltas: dict[VersionId, Document] = {}  # to the latest, by base

    @property
    def latest(self) -> Published | None:
        """The version that routers should have."""
        return next(reversed(self._published.values()), None)

    def publish(self, id: VersionId, plan: Plan, in_force_ms: int = 0) -> None:
        """Take the next version; raises ValueError unless it comes after all others."""
        if self.latest is not None and id <= self.latest.id:
            raise ValueError(f"version {id} does not come after {self.latest.id}")
        self._published[id] = Published(id, plan, in_force_ms)
        if len(self._published) > PLANS_MOST:
            self._published.popitem(last=False)
        self._full, self._deltas = None, {}

    def document_for(self, after: str, full: bool) -> Document | None:
        """Return what a router that has accepted a version is sent; None: nothing is newer."""
        latest = self.latest
        if latest is None or (after == str(latest.id) and not full):
            return None
        try:
            held = self._published.get(VersionId.parse(after))
        except ValueError:
            held = None
        if not full and held is not None and held.id.epoch == latest.id.epoch and held.id < latest.id:
            if held.id not in self._deltas:
                lines = difference(held.plan, latest.plan)
                if len(lines) <= DELTA_SHARE * latest.plan.size:
                    self._deltas[held.id] = make_document(latest.id, lines, latest.plan.state, held.id.number,
                                                          latest.in_force_ms)
            if held.id in self._deltas:
                return self._deltas[held.id]
        if self._full is None:
            self._full = make_document(latest.id, latest.plan.records(), latest.plan.state,
                                       in_force_ms=latest.in_force_ms)
        return self._full


class ReportLog:
    """What routers have reported; a report heard twice counts once."""

    def __init__(self) -> None:
        self._seen: OrderedDict[tuple[str, str, int], None] = OrderedDict()
        self.latest: dict[tuple[str, VersionId], Report] = {}  # latest of each router and version
        self.in_force: dict[str, Report] = {}  # by router
        self.repeated = 0

    def add(self, reports: list[Report]) -> list[Report]:
        """Take a batch; return those that are new."""
        new = []
        for report in reports:
            name = (report.router, report.boot, report.seq)
            if name in self._seen:
                self.repeated += 1
                continue
            self._seen[name] = None
            if len(self._seen) > SEEN_MOST:
                self._seen.popitem(last=False)
            id = VersionId(report.epoch, report.number)
            self.latest[report.router, id] = report
            if report.stand in ("in-force", "settled"):
                self.in_force[report.router] = report
            new.append(report)
        if len(self.latest) > SEEN_MOST:
            for name_id in list(self.latest)[:len(self.latest) - SEEN_MOST]:
                del self.latest[name_id]
        return new

    def latest_reports(self) -> Iterator[Report]:
        """Yield the latest stand of each router and version, the newest version first."""
        yield from sorted(self.latest.values(), key=lambda r: (-r.epoch, -r.number, r.router))


_reports = msgspec.json.Decoder(list[Report])


def read_reports(body: bytes) -> list[Report]:
    """Read the body of a status message; raises ValueError with what was expected."""
    try:
        return _reports.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
        raise ValueError(str(wrong)) from None


def write_reports(reports: tuple[Report, ...] | list[Report]) -> bytes:
    """Put reports into the body of a status message."""
    return msgspec.json.encode(reports)
