"""The service side: which version document a router is sent, and a log of the reports from routers. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from astertrack.plan import Drop, Plan, PlanLine
from astertrack.plan.model import Record, kind_of
from astertrack.versions.model import Document, Report, VersionId, make_document

MAX_PLANS = 32  # latest plans kept as bases of deltas
MAX_REMEMBERED_REPORTS = 65_536  # for the detection of duplicates
MAX_DELTA_RATIO = 0.5  # of a plan's records; above it a full version is sent instead of a delta


def kind_and_key(record: Record) -> tuple[str, str]:
    """Return the kind and key by which a delta identifies a record."""
    return kind_of(record), record.key()


def difference(old: Plan, new: Plan) -> list[PlanLine]:
    """Return the lines of the delta from the old to the new plan.

    Removals come first, since a prefix may change its kind.
    """
    before = {kind_and_key(record): record for record in old.records()}
    after = {kind_and_key(record): record for record in new.records()}
    removed = sorted(set(before) - set(after))
    changed = [record for name, record in after.items() if before.get(name) != record]
    return [*(Drop(kind, key) for kind, key in removed), *changed]


@dataclass(frozen=True, slots=True)
class Published:
    """A published plan with its version."""

    id: VersionId
    plan: Plan
    in_force_ms: int = 0


class Catalogue:
    """The versions that a service has published."""

    def __init__(self) -> None:
        self._published: OrderedDict[VersionId, Published] = OrderedDict()
        self._full: Document | None = None  # of the latest version
        self._deltas: dict[VersionId, Document] = {}  # deltas to the latest version, by base

    @property
    def latest(self) -> Published | None:
        """The latest published version, which routers should have."""
        return next(reversed(self._published.values()), None)

    def publish(self, id: VersionId, plan: Plan, in_force_ms: int = 0) -> None:
        """Publish the next version. Raises ValueError unless it orders after all others."""
        if self.latest is not None and id <= self.latest.id:
            raise ValueError(f"version {id} does not come after {self.latest.id}")
        self._published[id] = Published(id, plan, in_force_ms)
        if len(self._published) > MAX_PLANS:
            self._published.popitem(last=False)
        self._full, self._deltas = None, {}

    def document_for(self, after: str, full: bool) -> Document | None:
        """Return the document for a router whose latest accepted version is `after`; None if nothing is newer.

        It is a delta if the base is still known and the delta is small enough, or a full version. `full` forces the
        latter.
        """
        latest = self.latest
        if latest is None or (after == str(latest.id) and not full):
            return None
        try:
            base = self._published.get(VersionId.parse(after))
        except ValueError:
            base = None
        if not full and base is not None and base.id.epoch == latest.id.epoch and base.id < latest.id:
            if base.id not in self._deltas:
                lines = difference(base.plan, latest.plan)
                if len(lines) <= MAX_DELTA_RATIO * latest.plan.size:
                    self._deltas[base.id] = make_document(latest.id, lines, latest.plan.state, base.id.number,
                                                          latest.in_force_ms)
            if base.id in self._deltas:
                return self._deltas[base.id]
        if self._full is None:
            self._full = make_document(latest.id, latest.plan.records(), latest.plan.state,
                                       in_force_ms=latest.in_force_ms)
        return self._full


class ReportLog:
    """The reports of all routers. A duplicate report counts once."""

    def __init__(self) -> None:
        self._seen: OrderedDict[tuple[str, str, int], None] = OrderedDict()
        self.latest: dict[tuple[str, VersionId], Report] = {}  # by router and version
        self.in_force: dict[str, Report] = {}  # latest report of a version in force or settled, by router
        self.duplicate_count = 0  # reports that were received before

    def add(self, reports: list[Report]) -> list[Report]:
        """Add a batch of reports; return those that are not duplicates."""
        new = []
        for report in reports:
            report_id = (report.router, report.boot, report.seq)
            if report_id in self._seen:
                self.duplicate_count += 1
                continue
            self._seen[report_id] = None
            if len(self._seen) > MAX_REMEMBERED_REPORTS:
                self._seen.popitem(last=False)
            id = VersionId(report.epoch, report.number)
            self.latest[report.router, id] = report
            if report.stand in ("in-force", "settled"):
                self.in_force[report.router] = report
            new.append(report)
        if len(self.latest) > MAX_REMEMBERED_REPORTS:
            for router_version in list(self.latest)[:len(self.latest) - MAX_REMEMBERED_REPORTS]:
                del self.latest[router_version]
        return new

    def latest_reports(self) -> Iterator[Report]:
        """Yield the latest report of each router on each version, the newest version first."""
        yield from sorted(self.latest.values(), key=lambda report: (-report.epoch, -report.number, report.router))


_report_decoder = msgspec.json.Decoder(list[Report])


def read_reports(body: bytes) -> list[Report]:
    """Decode the body of a status message. Raises ValueError with the expected value."""
    try:
        return _report_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from None


def write_reports(reports: tuple[Report, ...] | list[Report]) -> bytes:
    """Encode reports as the body of a status message."""
    return msgspec.json.encode(reports)
