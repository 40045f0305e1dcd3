"""One version on its way in: its lines are counted, digested and checked as they come, a few at a time."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterator
from enum import Enum

from astertrack.plan import Finding, Plan, PlanBuilder, PlanError, Reason, read_line
from astertrack.versions.model import MAX_LINE_BYTES, Header


class Phase(Enum):
    """Where it is. OPEN -> WHOLE -> CHECKED, or from the first two to REFUSED; nothing leads back."""

    OPEN = "open"  # more may come
    WHOLE = "whole"  # all has come, and not all is checked
    CHECKED = "checked"  # `plan` can be used
    REFUSED = "refused"  # `finding` says why


class VersionReceiver:
    """A version being received and checked. Lines are digested as they come and read when run_step() gets to them.

    Checking begins with start(): a delta's base may be a version that is still being checked itself.
    """

    def __init__(self, header: Header, keep_text: bool) -> None:
        self.header, self.phase = header, Phase.OPEN
        self.plan: Plan | None = None
        self.finding: Finding | None = None
        # What a record was found wrong by, before all has come. It stands only if the text is the one that the
        # service sent: a line spoilt on its way must not brand a sound version.
        self._suspect: Finding | None = None
        self._builder: PlanBuilder | None = None
        self._waiting: deque[bytes] = deque()
        self._kept: list[bytes] | None = [] if keep_text else None
        self._digest, self._octets, self._lines = hashlib.sha256(), 0, 0
        self._closing: Iterator[None] | None = None

        self.unchecked_bytes = 0  # octets of lines that wait to be checked

    @property
    def started(self) -> bool:
        """Whether checking has begun."""
        return self._builder is not None

    def start(self, base: Plan | None) -> None:
        """Begin checking, on an empty plan or on the base of a delta."""
        self._builder = PlanBuilder(base)

    def refuse(self, finding: Finding) -> None:
        """Give it up, and let go of all that it holds."""
        self.phase, self.finding = Phase.REFUSED, finding
        self._waiting.clear()
        self._kept = self._closing = self._builder = None
        self.unchecked_bytes = 0

    def receive_lines(self, lines: list[bytes]) -> None:
        """Take lines that came; after a refusal they mean nothing."""
        if self.phase is not Phase.OPEN:
            return
        for line in lines:
            self._octets += len(line) + 1
            self._lines += 1
            if self._octets > self.header.octets or self._lines > self.header.records:
                self.refuse(Finding(Reason.LENGTH, f"{self.header.records} records of {self.header.octets} octets, "
                                                    "as its head says, and more came"))
                return
            if len(line) > MAX_LINE_BYTES:
                self.refuse(Finding(Reason.TOO_LARGE, f"a record of at most {MAX_LINE_BYTES} octets", self._lines))
                return
            if self._suspect is None:
                self._waiting.append(line)
                self.unchecked_bytes += len(line)
        text = b"\n".join((*lines, b""))
        self._digest.update(text)
        if self._kept is not None:
            self._kept.append(text)

    def receive_end(self) -> None:
        """All has come: compare it with what the head said."""
        if self.phase is not Phase.OPEN:
            return
        if (self._octets, self._lines) != (self.header.octets, self.header.records):
            self.refuse(Finding(Reason.LENGTH, f"{self.header.records} records of {self.header.octets} octets, as "
                                                f"its head says; {self._lines} of {self._octets} came"))
        elif self._digest.hexdigest() != self.header.digest:
            self.refuse(Finding(Reason.DIGEST, f"lines with the digest {self.header.digest[:16]}..., as its head says"))
        elif self._suspect is not None:
            self.refuse(self._suspect)
        else:
            self.phase = Phase.WHOLE

    def run_step(self) -> bool:
        """Do one small piece of checking, of some microseconds; False: there is none to do now."""
        builder = self._builder
        if builder is None:
            return False
        try:
            if self._waiting:
                line = self._waiting.popleft()
                self.unchecked_bytes -= len(line)
                builder.apply(read_line(line, builder.line_count + 1))
                return True
            if self.phase is not Phase.WHOLE:
                return False
            if self._closing is None:
                self._closing = builder.validate()
            if next(self._closing, self) is self:  # it has ended
                self._finish(builder)
            return True
        except PlanError as refused:
            if self.phase is Phase.OPEN:
                self._suspect = refused.finding
                self._waiting.clear()
                self.unchecked_bytes = 0
            else:
                self.refuse(refused.finding)
            return True

    def _finish(self, builder: PlanBuilder) -> None:
        plan = builder.finish()
        if f"{plan.state:064x}" != self.header.state:
            self.refuse(Finding(Reason.STATE, f"a plan with the digest {self.header.state[:16]}..., as its head says; "
                                               f"it has {plan.state:064x}"[:140]))
            return
        self.plan, self.phase, self._closing, self._builder = plan, Phase.CHECKED, None, None

    def text(self) -> tuple[bytes, ...] | None:
        """Return the whole text for the store, in pieces, if it was kept."""
        return None if self._kept is None else tuple(self._kept)
