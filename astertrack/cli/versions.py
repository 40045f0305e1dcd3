"""astertrack versions: a control service for small installations, and the reports that routers sent to one."""

from __future__ import annotations

import http.client
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import click
import structlog

from astertrack import logs
from astertrack.cli.common import EXIT_NEGATIVE, EXIT_OK, JSON_OPTION, exit_with, fail, print_result, report_errors
from astertrack.config import ConfigError, split_address

SCAN_INTERVAL_S = 0.5  # between scans of the folder
STATUS_TIMEOUT_S = 5.0  # that `status` waits for the service
log = structlog.get_logger()


@click.group("versions")
def command() -> None:
    """Publish versions of the routing plan, and show their state at the routers."""


class PlanFolder:
    """A folder of plan files, each with a [version] table, that publishes versions higher than the latest.

    `publish` is called with the VersionId, the Plan and the activation time in Unix milliseconds (0: immediately).
    """

    def __init__(self, folder: Path, publish: Callable[[Any, Any, int], None]) -> None:
        self.folder, self.publish = folder, publish
        self._seen: dict[Path, tuple[int, int]] = {}  # size and modification time of each file as last read
        self.latest: Any = None  # VersionId of the latest published version

    def scan(self) -> list[str]:
        """Read new and changed files and publish their versions. Return the errors found, each of them only once."""
        from astertrack.parts.planfile import read_plan_file  # noqa: PLC0415

        errors: list[str] = []
        plans = []
        for path in sorted(self.folder.glob("*.toml")):
            try:
                stat = path.stat()
            except OSError:
                continue  # deleted since the folder was listed
            fingerprint = (stat.st_size, stat.st_mtime_ns)
            if self._seen.get(path) == fingerprint:
                continue
            self._seen[path] = fingerprint
            try:
                plans.append((path, *read_plan_file(path)))
            except ConfigError as error:
                errors.append(str(error))
        for path, id, plan, in_force_ms in sorted(plans, key=lambda item: (item[1].epoch, item[1].number)):
            if self.latest is not None and id <= self.latest:
                errors.append(f"{path}: not published: version {id} is not higher than {self.latest}; "
                              "each change needs a new version number")
                continue
            self.publish(id, plan, in_force_ms)
            self.latest = id
        return errors


@command.command("serve")
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False, exists=True))
@click.option("--listen", default="127.0.0.1:7480", show_default=True, help="host:port for routers.")
@click.option("--log-format", type=click.Choice(logs.FORMATS), default="logfmt")
@click.option("--log-level", type=click.Choice(logs.LEVELS), default="info")
@report_errors
def serve(folder: Path, listen: str, log_format: str, log_level: str) -> None:
    """Run a control service for a small installation that publishes the plan files in FOLDER.

    Each file is a plan with a [version] table. A file with a higher number than all earlier ones is validated and sent
    to every router; an invalid one is logged and not sent. Write files outside the folder and move them in, so that
    none is read while it is incomplete.
    """
    from twisted.internet import reactor as default_reactor  # noqa: PLC0415
    from twisted.internet.task import LoopingCall  # noqa: PLC0415

    from astertrack.net.base import listen as start_listening  # noqa: PLC0415
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

    plan_folder = PlanFolder(folder, publish)

    def scan() -> None:
        for message in plan_folder.scan():
            log.warning("plan file not published", error=message)

    listening = start_listening(reactor, host, port, service)
    LoopingCall(scan).start(SCAN_INTERVAL_S)
    log.info("serving versions", folder=str(folder), address=f"{host}:{listening.getHost().port}")
    reactor.run()


@command.command("status")
@click.option("--service", default="127.0.0.1:7480", show_default=True, help="host:port of the control service.")
@click.option("--version", "wanted", help="Show only this version, EPOCH.NUMBER.")
@JSON_OPTION
@report_errors
def status(service: str, wanted: str | None, as_json: bool) -> None:
    """Show the state of each version at each router. Exit code 1: a router refused a version or rolled one back."""
    host, port = split_address(service, "--service")
    connection = http.client.HTTPConnection(host, port, timeout=STATUS_TIMEOUT_S)
    try:
        connection.request("GET", "/status")
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        fail(f"no answer from {service}: {error}")
    finally:
        connection.close()
    if response.status != 200:
        fail(f"{service} answered with status {response.status}")
    rows = [row for row in json.loads(body) if wanted in (None, f"{row['epoch']}.{row['number']}")]
    lines = [f"{'version':>10} {'router':12} {'stand':12} details"]
    for row in rows:
        location = ", ".join(part for part in (f"record {row['line']}" if row.get("line") else "", row.get("path", ""))
                             if part)
        details = ": ".join(part for part in (row.get("reason", ""), location, row.get("expected", "")) if part)
        lines.append(f"{row['epoch']}.{row['number']:<6}".rjust(10)
                     + f" {row['router']:12} {row['stand']:12} {details}")
    print_result(rows, as_json, "\n".join(lines) if rows else "no reports")
    exit_with(EXIT_NEGATIVE if any(row["stand"] in ("refused", "rolled-back") for row in rows) else EXIT_OK)
