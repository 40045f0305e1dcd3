"""A stand-in control service that sends versions as a script tells it to.

The versions may be valid, invalid, truncated, reordered, sent in bursts or withheld. Valid versions are encoded by
the program's own encoders, and the script supplies the bytes of the others. The service records every report with
the time of its receipt, as the log of a real one would.
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
    """Encode a version: the whole of it, only its header and first records, or all but its end event."""
    lines = document.lines if record_count is None else document.lines[:record_count]
    chunks = list(control.encode_version(write_header(document.header), lines, str(document.header.id)))
    return b"".join(chunks if with_end and record_count is None else chunks[:-1])


def make_unchecked_document(number: int, lines: Iterable[bytes], epoch: int = 1, state: int = 0) -> Document:
    """Return a document whose lines need not be valid, with a header that matches them in count, length and digest."""
    valid_document = make_document(VersionId(epoch, number), (), state)
    records = tuple(lines)
    text = b"".join(line + b"\n" for line in records)
    header = Header(epoch, number, len(records), len(text), hashlib.sha256(text).hexdigest(),
                    valid_document.header.state)
    return Document(header, records)


@dataclass(eq=False)
class RouterStream:
    """The event stream of one router."""

    request: control.StreamRequest
    writer: asyncio.StreamWriter
    opened_at_us: int
    is_closed: bool = False


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report with the time of its receipt, in microseconds of the Unix clock."""

    received_at_us: int
    report: Report


@dataclass
class ControlService:
    """The service. Routers that connect are sent the latest version of `catalogue`, as by a real service.

    Everything that is sent later is sent by the script.
    """

    catalogue: Catalogue = field(default_factory=Catalogue)
    report_log: ReportLog = field(default_factory=ReportLog)
    received_reports: list[ReceivedReport] = field(default_factory=list)  # without repetitions, in order of receipt
    streams: list[RouterStream] = field(default_factory=list)  # including those that are closed
    # How status requests are answered. "accept": the reports are recorded and the response is 204. "unavailable": the
    # reports are discarded and the response is 503. "close": the reports are recorded, and the connection is closed
    # without a response. "hang": the reports are recorded, and the connection stays open without a response.
    status_mode: str = "accept"
    sends_latest_on_connect: bool = True
    sends_keep_alives: bool = True
    status_request_count: int = 0
    sends_deltas: bool = True  # publish() sends a delta where there is a base

    def __post_init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._task: asyncio.Task[None] | None = None
        self.port = 0

    async def start(self, port: int = 0) -> Self:
        """Listen on loopback, on this port or on a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]
        self._task = asyncio.get_running_loop().create_task(self._send_keep_alives())
        return self

    @property
    def address(self) -> str:
        """The host and port that it listens on."""
        return f"127.0.0.1:{self.port}"

    @property
    def open_streams(self) -> list[RouterStream]:
        """The streams that are open now."""
        return [stream for stream in self.streams if not stream.is_closed]

    async def stop(self) -> None:
        """Stop listening and close the open connections."""
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
        decoder = http.MessageDecoder(http.MessageKind.REQUEST)
        stream = None
        try:
            while data := await reader.read(65536):
                message = decoder.receive(data)
                if not isinstance(message, http.Message):
                    continue
                request = control.parse_stream_request(message)
                if request is not None:
                    stream = RouterStream(request, writer, time.time_ns() // 1000)
                    self.streams.append(stream)
                    writer.write(http.encode_stream_head())
                    document = (self.catalogue.document_for(request.after, request.full)
                                if self.sends_latest_on_connect else None)
                    if document is not None:
                        writer.write(encode_document(document))
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
            now_us = time.time_ns() // 1000
            self.received_reports += [ReceivedReport(now_us, report)
                                      for report in self.report_log.add(read_reports(message.body))]
            if self.status_mode == "accept":
                writer.write(http.encode_response(204, "No Content"))
        with contextlib.suppress(ConnectionError):
            await writer.drain()

    # ---- called by scripts

    def send_raw(self, data: bytes) -> None:
        """Write bytes to every open stream."""
        for stream in self.open_streams:
            stream.writer.write(data)

    def send(self, document: Document) -> None:
        """Send a complete version on every open stream."""
        self.send_raw(encode_document(document))

    def publish(self, id: VersionId, plan: Plan, in_force_ms: int = 0) -> Document:
        """Publish a version as a real service does.

        Returns the document that was sent, which is a delta from the previous version where possible.
        """
        previous = self.catalogue.latest
        self.catalogue.publish(id, plan, in_force_ms)
        document = self.catalogue.document_for(
            str(previous.id) if previous is not None and self.sends_deltas else "", False)
        assert document is not None
        self.send(document)
        return document

    def close_streams(self) -> None:
        """Close every stream."""
        for stream in self.open_streams:
            stream.is_closed = True
            stream.writer.close()

    def reported_states(self, id: VersionId) -> list[str]:
        """Return the states reported for a version, in the order in which the routers sent them."""
        reports = [received.report for received in self.received_reports
                   if (received.report.epoch, received.report.number) == (id.epoch, id.number)]
        return [report.stand for report in sorted(reports, key=lambda entry: (entry.boot, entry.seq))]

    def reported_reasons(self, id: VersionId) -> list[str]:
        """Return the reasons reported for the refusal or rollback of a version."""
        return [received.report.reason for received in self.received_reports
                if (received.report.epoch, received.report.number) == (id.epoch, id.number)
                and received.report.reason]


def encode_endless_version(byte_count: int) -> Iterable[bytes]:
    """Yield a version whose header announces one record, followed by at least so many bytes of records and no end."""
    announced = make_unchecked_document(1, [b'{"kind":"exchange","number":1}'])
    yield sse.encode_event("version", (write_header(announced.header),))
    chunk = sse.encode_event("records", [b'{"kind":"exchange","number":1}'] * 500)
    for _ in range(byte_count // len(chunk) + 1):
        yield chunk
