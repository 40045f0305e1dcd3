"""Reception of one version: its lines are counted, digested and validated incrementally as they arrive."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterator
from enum import Enum

from astertrack.plan import Finding, Plan, PlanBuilder, PlanError, Reason, read_line
from astertrack.versions.model import MAX_LINE_BYTES, Header


class Phase(Enum):
    """The phases of reception: OPEN -> COMPLETE -> CHECKED, or from the first two to REFUSED. There is no way back."""

    OPEN = "open"  # more lines may arrive
    COMPLETE = "complete"  # all lines have arrived, but not all of them have been validated
    CHECKED = "checked"  # `plan` is valid
    REFUSED = "refused"  # `finding` says why


class VersionReceiver:
    """A version that is being received and validated.

    Lines are digested as they arrive and decoded later by run_step(). Validation begins with start(), since the base
    of a delta may be a version that is still being validated itself.
    """

    def __init__(self, header: Header, keeps_text: bool) -> None:
        self.header, self.phase = header, Phase.OPEN
        self.plan: Plan | None = None
        self.finding: Finding | None = None
        # A finding from before all lines have arrived. It counts only if the text then has the digest that the service
        # announced: a line corrupted in transit must not mark a valid version as invalid.
        self._provisional_finding: Finding | None = None
        self._builder: PlanBuilder | None = None
        self._unchecked: deque[bytes] = deque()
        self._text: list[bytes] | None = [] if keeps_text else None
        self._digest, self._byte_count, self._line_count = hashlib.sha256(), 0, 0
        self._validation: Iterator[None] | None = None

        self.unchecked_bytes = 0  # bytes of lines that have not been validated yet

    @classmethod
    def of_validated(cls, header: Header, plan: Plan, text: tuple[bytes, ...] | None) -> VersionReceiver:
        """Return a complete full version whose plan was built and validated elsewhere, such as from a plan file."""
        receiver = cls(header, text is not None)
        receiver.phase, receiver.plan = Phase.COMPLETE, plan
        if text is not None:
            receiver._text = list(text)
        return receiver

    @property
    def started(self) -> bool:
        """Return whether validation has begun."""
        return self._builder is not None

    def start(self, base: Plan | None) -> None:
        """Begin validation, on an empty plan or on the base of a delta. A plan validated elsewhere needs none."""
        if self.plan is not None:
            self.phase = Phase.CHECKED
        else:
            self._builder = PlanBuilder(base)

    def refuse(self, finding: Finding) -> None:
        """Refuse the version and release all that has been received of it."""
        self.phase, self.finding = Phase.REFUSED, finding
        self._unchecked.clear()
        self._text = self._validation = self._builder = None
        self.unchecked_bytes = 0

    def receive_lines(self, lines: list[bytes]) -> None:
        """Process received lines. They are ignored after a refusal."""
        if self.phase is not Phase.OPEN:
            return
        for line in lines:
            self._byte_count += len(line) + 1
            self._line_count += 1
            if self._byte_count > self.header.octets or self._line_count > self.header.records:
                self.refuse(Finding(
                    Reason.LENGTH_MISMATCH, f"{self.header.records} records of {self.header.octets} bytes, "
                                            "as in the header; received more"))
                return
            if len(line) > MAX_LINE_BYTES:
                self.refuse(Finding(Reason.TOO_LARGE, f"a record of at most {MAX_LINE_BYTES} bytes", self._line_count))
                return
            if self._provisional_finding is None:
                self._unchecked.append(line)
                self.unchecked_bytes += len(line)
        text = b"\n".join((*lines, b""))
        self._digest.update(text)
        if self._text is not None:
            self._text.append(text)

    def receive_end(self) -> None:
        """Process the end of the version: compare the received lines with the header."""
        if self.phase is not Phase.OPEN:
            return
        if (self._byte_count, self._line_count) != (self.header.octets, self.header.records):
            self.refuse(Finding(
                Reason.LENGTH_MISMATCH, f"{self.header.records} records of {self.header.octets} bytes, as "
                                        f"in the header; received {self._line_count} of {self._byte_count}"))
        elif self._digest.hexdigest() != self.header.digest:
            self.refuse(Finding(
                Reason.DIGEST_MISMATCH, f"lines with the digest {self.header.digest[:16]}..., as in the header"))
        elif self._provisional_finding is not None:
            self.refuse(self._provisional_finding)
        else:
            self.phase = Phase.COMPLETE

    def run_step(self) -> bool:
        """Run one small step of validation, of some microseconds. Returns False if there is nothing to do now."""
        builder = self._builder
        if builder is None:
            return False
        try:
            if self._unchecked:
                line = self._unchecked.popleft()
                self.unchecked_bytes -= len(line)
                builder.apply(read_line(line, builder.line_count + 1))
                return True
            if self.phase is not Phase.COMPLETE:
                return False
            if self._validation is None:
                self._validation = builder.validate()
            if next(self._validation, self) is self:  # the iterator is exhausted
                self._finish(builder)
            return True
        except PlanError as error:
            if self.phase is Phase.OPEN:
                self._provisional_finding = error.finding
                self._unchecked.clear()
                self.unchecked_bytes = 0
            else:
                self.refuse(error.finding)
            return True

    def _finish(self, builder: PlanBuilder) -> None:
        plan = builder.finish()
        if f"{plan.state:064x}" != self.header.state:
            self.refuse(Finding(
                Reason.STATE_MISMATCH, f"a plan with the digest {self.header.state[:16]}..., as in the header; "
                                       f"got {plan.state:064x}"[:140]))
            return
        self.plan, self.phase, self._validation, self._builder = plan, Phase.CHECKED, None, None

    def text(self) -> tuple[bytes, ...] | None:
        """Return the text for the store in the pieces in which it arrived, or None if it is not kept."""
        return None if self._text is None else tuple(self._text)
