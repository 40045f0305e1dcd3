"""astertrack run: start a router."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any, cast

import click

from astertrack import logs
from astertrack.cli.common import FILE, end, plainly


@click.command("run")
@click.option("--config", "path", type=FILE, envvar="RELAY_CONFIG", required=True, show_envvar=True,
              help="The router's file: TOML as deploy/example.toml, or the platform's JSON.")
@click.option("--name", help="The router's name, instead of the file's.")
@click.option("--listen", help="host:port for SIP callers, instead of the file's.")
@click.option("--gateway", type=FILE, help="The WebSocket front, destinations, store and log, as deploy/gateway.toml.")
@click.option("--versions", type=FILE, help="Routing plans and their service, as deploy/versions.toml.")
@click.option("--log-format", type=click.Choice(logs.FORMATS), help="Instead of the [log] table of --gateway.")
@click.option("--log-level", type=click.Choice(logs.LEVELS), help="Instead of the [log] table of --gateway.")
@plainly
def command(path: Path, name: str | None, listen: str | None, gateway: Path | None, versions: Path | None,
            log_format: str | None, log_level: str | None) -> None:
    """Start a router and run until SIGTERM or Ctrl-C.

    SIGHUP reads the configuration again as far as a running router can follow it; SIGUSR1 prints the counters.
    """
    from twisted.internet import reactor  # noqa: PLC0415  # it installs itself at import: only here is one wanted

    from astertrack.__main__ import serve  # noqa: PLC0415

    for variable, value in (("RELAY_CONFIG", path), ("RELAY_NAME", name), ("RELAY_LISTEN", listen),
                            ("ASTERTRACK_GATEWAY", gateway), ("ASTERTRACK_VERSIONS", versions)):
        if value is not None:  # what is read again on SIGHUP is found as it was at the start
            os.environ[variable] = str(value)
    config = load(path)
    logs.configure(log_format or config.gateway.log_format, log_level or config.gateway.log_level)
    end(serve(config, cast(Any, reactor)))


def load(path: Path) -> Any:
    """Read a router's configuration in either form; raises ConfigError."""
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
