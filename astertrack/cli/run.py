"""astertrack run: start a router."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any, cast

import click

from astertrack import logs
from astertrack.cli.common import FILE_PATH, exit_with, report_errors


@click.command("run")
@click.option("--config", "path", type=FILE_PATH, envvar="RELAY_CONFIG", required=True, show_envvar=True,
              help="The router file: TOML as in deploy/example.toml, or the platform's JSON.")
@click.option("--name", help="The router's name, overriding the file.")
@click.option("--listen", help="host:port for SIP callers, overriding the file.")
@click.option("--gateway", type=FILE_PATH,
              help="The gateway file: WebSocket front, destinations, store and log; as deploy/gateway.toml.")
@click.option("--versions", type=FILE_PATH,
              help="The versions file: routing plans and their service; as deploy/versions.toml.")
@click.option("--log-format", type=click.Choice(logs.FORMATS), help="Overrides the [log] table of --gateway.")
@click.option("--log-level", type=click.Choice(logs.LEVELS), help="Overrides the [log] table of --gateway.")
@report_errors
def command(path: Path, name: str | None, listen: str | None, gateway: Path | None, versions: Path | None,
            log_format: str | None, log_level: str | None) -> None:
    """Start a router and run it until SIGTERM or Ctrl-C.

    SIGHUP reloads those settings that a running router can change; SIGUSR1 prints the counters.
    """
    from twisted.internet import reactor  # noqa: PLC0415  # importing it installs it, which only this command needs

    from astertrack.__main__ import serve  # noqa: PLC0415

    for variable, value in (("RELAY_CONFIG", path), ("RELAY_NAME", name), ("RELAY_LISTEN", listen),
                            ("ASTERTRACK_GATEWAY", gateway), ("ASTERTRACK_VERSIONS", versions)):
        if value is not None:  # SIGHUP reads the configuration from the same variables again
            os.environ[variable] = str(value)
    config = load_config(path)
    logs.configure(log_format or config.gateway.log_format, log_level or config.gateway.log_level)
    exit_with(serve(config, cast(Any, reactor)))


def load_config(path: Path) -> Any:
    """Read a router's Config from a router file (.toml) or the platform's JSON. Raises ConfigError.

    The environment variables RELAY_LISTEN and RELAY_NAME take precedence over the file, and ASTERTRACK_GATEWAY names
    the gateway file.
    """
    from dataclasses import replace  # noqa: PLC0415

    from astertrack.config import DEFAULT_GATEWAY_FILE, read_config, split_address  # noqa: PLC0415

    if path.suffix != ".toml":
        return read_config(os.environ | {"RELAY_CONFIG": str(path)})
    from astertrack import routerfile  # noqa: PLC0415

    config = routerfile.read_config(path, Path(os.environ.get("ASTERTRACK_GATEWAY") or DEFAULT_GATEWAY_FILE))
    if listen := os.environ.get("RELAY_LISTEN"):
        host, port = split_address(listen, "--listen")
        config = replace(config, host=host, port=port)
    return replace(config, name=os.environ.get("RELAY_NAME") or config.name)
