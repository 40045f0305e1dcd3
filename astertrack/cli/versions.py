"""astertrack versions: a control service for small installations, and what routers have reported to one."""

from __future__ import annotations

import http.client
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import click
import structlog

from astertrack import logs
from astertrack.cli.common import AS_JSON, FINE, NO, end, fail, plainly, say
from astertrack.config import ConfigError, split_address

LOOK_S = 0.5  # between looks at the folder
ANSWER_S = 5.0  # that `status` waits for the service
log = structlog.get_logger()


@click.group("versions")
def command() -> None:
    """Serve versions of the routing plan, and see how routers stand to them."""


class Folder:
    """A folder of plan files, each with a [version] table: publishes what is newer than the latest published."""

    def __init__(self, folder: Path, publish: Callable[[Any, Any, int], None]) -> None:
        self.folder, self.publish = folder, publish
        self._seen: dict[Path, tuple[int, int]] = {}  # size and time of what was read
        self.latest: Any = None

    def look(self) -> list[str]:
        """Read files that are new or have changed; return what is wrong with any, each told once."""
        from astertrack.parts.versions import read_plan_file  # noqa: PLC0415

        wrong: list[str] = []
        found = []
        for path in sorted(self.folder.glob("*.toml")):
            try:
                stat = path.stat()
            except OSError:
                continue  # taken away between the two
            mark = (stat.st_size, stat.st_mtime_ns)
            if self._seen.get(path) == mark:
                continue
            self._seen[path] = mark
            try:
                found.append((path, *read_plan_file(path)))
            except ConfigError as error:
                wrong.append(str(error))
        for path, id, plan, in_force_ms in sorted(found, key=lambda item: (item[1].epoch, item[1].number)):
            if self.latest is not None and id <= self.latest:
                wrong.append(f"{path}: version {id} does not come after {self.latest}, and is not published: "
                             "a change needs a number of its own")
                continue
            self.publish(id, plan, in_force_ms)
            self.latest = id
        return wrong


@command.command("serve")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False, exists=True))
@click.option("--listen", default="127.0.0.1:7480", show_default=True, help="host:port for routers.")
@click.option("--log-format", type=click.Choice(logs.FORMATS), default="logfmt")
@click.option("--log-level", type=click.Choice(logs.LEVELS), default="info")
@plainly
def serve(folder: Path, listen: str, log_format: str, log_level: str) -> None:
    """Be the control service of a small installation: publish the plan files in FOLDER.

    Each file is a plan with a [version] table. A file with a higher number than all before is checked and sent to
    every router; one that is not sound is logged and not sent. Write files beside the folder and move them in, so
    that none is read half written.
    """
    from twisted.internet import reactor as default_reactor  # noqa: PLC0415
    from twisted.internet.task import LoopingCall  # noqa: PLC0415

    from astertrack.net.clock import ReactorClock  # noqa: PLC0415
    from astertrack.net.versionserver import VersionService  # noqa: PLC0415
    from astertrack.versions.offering import Catalogue  # noqa: PLC0415

    logs.configure(log_format, log_level)
    host, port = split_address(listen, "--listen")
    reactor = cast(Any, default_reactor)
    service = VersionService(Catalogue(), ReactorClock(reactor))

    def publish(id: Any, plan: Any, in_force_ms: int) -> None:
        service.publish(id, plan, in_force_ms)
        log.info("version published", version=str(id), records=plan.size, routers=len(service.streams))

    files = Folder(folder, publish)

    def look() -> None:
        for wrong in files.look():
            log.warning("plan file not published", error=wrong)

    try:
        listening = reactor.listenTCP(port, service, interface=host)
    except OSError as wrong:
        fail(f"cannot listen: {wrong}")
    LoopingCall(look).start(LOOK_S)
    log.info("serving versions", folder=str(folder), address=f"{host}:{listening.getHost().port}")
    reactor.run()


@command.command("status")
@click.option("--service", default="127.0.0.1:7480", show_default=True, help="host:port of the control service.")
@click.option("--version", "wanted", help="EPOCH.NUMBER: only this version.")
@AS_JSON
@plainly
def status(service: str, wanted: str | None, as_json: bool) -> None:
    """Tell how every router stands to every version. Exit code 1: one has refused a version or taken it back."""
    host, port = split_address(service, "--service")
    connection = http.client.HTTPConnection(host, port, timeout=ANSWER_S)
    try:
        connection.request("GET", "/status")
        answer = connection.getresponse()
        body = answer.read()
    except (OSError, http.client.HTTPException) as wrong:
        fail(f"no answer from {service}: {wrong}")
    finally:
        connection.close()
    if answer.status != 200:
        fail(f"{service} answered {answer.status}")
    rows = [row for row in json.loads(body) if wanted in (None, f"{row['epoch']}.{row['number']}")]
    lines = [f"{'version':>10} {'router':12} {'stand':12} why"]
    for row in rows:
        where = ", ".join(x for x in (f"record {row['line']}" if row.get("line") else "", row.get("path", "")) if x)
        why = ": ".join(x for x in (row.get("reason", ""), where, row.get("expected", "")) if x)
        lines.append(f"{row['epoch']}.{row['number']:<6}".rjust(10) + f" {row['router']:12} {row['stand']:12} {why}")
    say(rows, as_json, "\n".join(lines) if rows else "no reports")
    end(NO if any(row["stand"] in ("refused", "rolled-back") for row in rows) else FINE)
