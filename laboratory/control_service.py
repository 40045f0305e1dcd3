"""A stand-in control service: sends versions as a script says, good, broken, cut, reordered, in floods or not at all.

It speaks the control wire with the program's own encoders where a version is to be sound, and with bytes of the
script's own where it is not. It keeps every report with the instant at which it was heard, as the service's log.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Self

from astertrack.plan import Plan
from astertrack.versions import Document, Header, Report, VersionId, make_document, write_header
from astertrack.versions.offering import Catalogue, ReportLog, read_reports
from astertrack.wire import control, http, sse


def encode_document(document: Document, record_count: int | None = None, with_end: bool = True) -> bytes:
    """The bytes of a version: all of them, or those of its first records, or all but its end."""
    lines = document.lines if record_count is None else document.lines[:record_count]
    parts = list(control.encode_version(write_header(document.header), lines, str(document.header.id)))
    return b"".join(parts if with_end and record_count is None else parts[:-1])


def make_unchecked_document(number: int, lines: Iterable[bytes], epoch: int = 1, state: int = 0) -> Document:
    """A document whose lines need not be sound, under a head that fits them."""
    sound = make_document(VersionId(epoch, number), (), state)
    given = tuple(lines)
    text = b"".join(line + b"\n" for line in given)
    header = Header(epoch, number, len(given), len(text), hashlib.sha256(text).hexdigest(), sound.header.state)
    return Document(header, given)


@dataclass(eq=False)
class RouterStream:
    """One router that listens."""

    request: control.StreamRequest
    writer: asyncio.StreamWriter
    opened_at_us: int
    is_closed: bool = False


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report, and when it was heard here."""

    received_at_us: int
    report: Report


@dataclass
class ControlService:
    """The service. `catalogue` answers who connects, as a sound service does; the rest is up to the script."""

    catalogue: Catalogue = field(default_factory=Catalogue)
    report_log: ReportLog = field(default_factory=ReportLog)
    received_reports: list[ReceivedReport] = field(default_factory=list)  # each report once, in the order heard
    streams: list[RouterStream] = field(default_factory=list)  # all there have been
    # How status requests are answered: "accept" (204), "unavailable" (503, the reports are discarded), "close" (the
    # reports are recorded and the connection is closed without a response), "hang" (as "close", but it stays open).
    status_mode: str = "accept"
    sends_latest_on_connect: bool = True  # whether who connects is sent the latest version
    sends_keep_alives: bool = True
    status_request_count: int = 0
    sends_deltas: bool = True  # whether what is published goes out as a delta where it can

    def __post_init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._task: asyncio.Task[None] | None = None
        self.port = 0

    async def start(self, port: int = 0) -> Self:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]
        self._task = asyncio.get_running_loop().create_task(self._send_keep_alives())
        return self

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    @property
    def open_streams(self) -> list[RouterStream]:
        """The routers that listen now."""
        return [stream for stream in self.streams if not stream.is_closed]

    async def stop(self) -> None:
        """Refuse new connections and close the open ones."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _send_keep_alives(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            if self.sends_keep_alives:
                self.send_raw(control.encode_keep_alive())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        machine = http.MessageDecoder(http.MessageKind.REQUEST)
        stream = None
        try:
            while data := await reader.read(65536):
                message = machine.receive(data)
                if not isinstance(message, http.Message):
                    continue
                asked = control.parse_stream_request(message)
                if asked is not None:
                    stream = RouterStream(asked, writer, time.time_ns() // 1000)
                    self.streams.append(stream)
                    writer.write(http.encode_stream_head())
                    offered = (self.catalogue.document_for(asked.after, asked.full)
                               if self.sends_latest_on_connect else None)
                    if offered is not None:
                        writer.write(encode_document(offered))
                else:
                    await self._handle_status(message, writer)
                    if self.status_mode != "hang":
                        break
        except ConnectionError:
            pass
        finally:
            if stream is not None:
                stream.is_closed = True
            self._writers.discard(writer)
            writer.close()

    async def _handle_status(self, message: http.Message, writer: asyncio.StreamWriter) -> None:
        self.status_request_count += 1
        if self.status_mode == "unavailable":
            writer.write(http.encode_response(503, "Service Unavailable"))
        else:
            now = time.time_ns() // 1000
            self.received_reports += [ReceivedReport(now, report)
                                      for report in self.report_log.add(read_reports(message.body))]
            if self.status_mode == "accept":
                writer.write(http.encode_response(204, "No Content"))
        with contextlib.suppress(ConnectionError):
            await writer.drain()

    # ---- what a script does

    def send_raw(self, data: bytes) -> None:
        """Send bytes to every router that listens."""
        for stream in self.open_streams:
            stream.writer.write(data)

    def send(self, document: Document) -> None:
        """Send a version whole."""
        self.send_raw(encode_document(document))

    def publish(self, id: VersionId, plan: Plan, in_force_ms: int = 0) -> Document:
        """Publish a version as a sound service does; returns what those who have the one before were sent."""
        before = self.catalogue.latest
        self.catalogue.publish(id, plan, in_force_ms)
        document = self.catalogue.document_for(
            str(before.id) if before is not None and self.sends_deltas else "", False)
        assert document is not None
        self.send(document)
        return document

    def close_streams(self) -> None:
        """Close every stream."""
        for stream in self.open_streams:
            stream.is_closed = True
            stream.writer.close()

    def reported_states(self, id: VersionId) -> list[str]:
        """What was reported of a version, in the order of its reports."""
        told = [h.report for h in self.received_reports if (h.report.epoch, h.report.number) == (id.epoch, id.number)]
        return [report.stand for report in sorted(told, key=lambda r: (r.boot, r.seq))]

    def reported_reasons(self, id: VersionId) -> list[str]:
        """Why a version was refused or taken back."""
        return [h.report.reason for h in self.received_reports
                if (h.report.epoch, h.report.number) == (id.epoch, id.number) and h.report.reason]


def encode_endless_version(octets: int) -> Iterable[bytes]:
    """A version that claims to be small and does not end: so many octets of records."""
    sound = make_unchecked_document(1, [b'{"kind":"exchange","number":1}'])
    yield sse.encode_event("version", (write_header(sound.header),))
    record = sse.encode_event("records", [b'{"kind":"exchange","number":1}'] * 500)
    for _ in range(octets // len(record) + 1):
        yield record
