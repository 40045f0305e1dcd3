"""The configuration of a call router: RELAY_*, the JSON file that RELAY_CONFIG names, and the gateway file."""

from __future__ import annotations

import json
import os
import resource
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ospreylug import interface as io
from ospreylug.wirehost import WireError, read_settings

# Tables of the gateway file and their fields. Unknown names are rejected, as they are probably typing errors.
GATEWAY_FIELDS = {"front": {"listen", "path"}, "store": {"kind", "database"}, "log": {"format", "level"},
                  "destination": {"name", "address", "path", "number", "zone"}}
DEFAULT_GATEWAY_FILE = Path(__file__).resolve().parent.parent / "deploy" / "gateway.toml"


class ConfigError(Exception):
    """The configuration cannot be used; the message gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class Destination:
    """A destination server that speaks the call-control API."""

    name: str
    address: str
    path: str
    number: int  # of its exchange
    zone: int  # index of its zone; -1: unknown


@dataclass(frozen=True, slots=True)
class Gateway:
    """The contents of the gateway file; by default everything is off."""

    front: tuple[str, int] | None = None  # host and port of the WebSocket front; None: off
    path: str = "/calls"
    store: str = "off"  # kind of the store of call records
    database: str = ""
    destinations: tuple[Destination, ...] = ()
    log_format: str = "logfmt"
    log_level: str = "info"


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a call router, read when it starts."""

    name: str
    host: str  # host and port for SIP callers
    port: int
    seed: int
    settings: io.Settings
    classes: dict[str, int]  # index of a class by its name
    zones: list[str]  # names; io.Entry.zone is an index into them
    kinds: list[str]  # names of the kinds of exchanges; io.Entry.kind is an index into them
    dial_us: int  # timeout of a connection attempt to a peer
    bulletin: str  # host:port; empty: none
    known_last: int  # number of the last bulletin event up to the start
    known: list[Any]  # bulletin events up to the start, decoded
    sockets: int  # limit of file descriptors of the process
    gateway: Gateway = field(default_factory=Gateway)


def split_address(address: object, name: str) -> tuple[str, int]:
    """Split host:port; a ConfigError names the setting `name`."""
    host, _, port = address.rpartition(":") if isinstance(address, str) else ("", "", "")
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{name}: expected host:port, got {address!r}")
    return host.strip("[]"), int(port)


def read_gateway(path: Path, zones: list[str]) -> Gateway:
    """Read the gateway file; if there is none, everything is off. Raises ConfigError."""
    try:
        raw = tomllib.loads(path.read_text("utf-8"))
    except FileNotFoundError:
        return Gateway()
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path.name}: {error}") from None
    for table, content in raw.items():
        for item in content if isinstance(content, list) else [content]:
            unknown = ({table} - set(GATEWAY_FIELDS)) or (
                set(item) - GATEWAY_FIELDS[table] if isinstance(item, dict) else set())
            if unknown:
                known = GATEWAY_FIELDS.get(table, GATEWAY_FIELDS)
                raise ConfigError(f"{path.name}: {table}: unknown name {sorted(unknown)[0]}; expected one of "
                                  f"{', '.join(sorted(known))}")
    try:
        front, store = raw.get("front", {}), raw.get("store", {})
        listen = front.get("listen", "")
        kind = store.get("kind", "off")
        if kind not in ("off", "sqlite", "postgresql"):
            raise ConfigError(f"{path.name}: store.kind: unknown value {kind!r}")
        if kind != "off" and not store.get("database"):
            raise ConfigError(f"{path.name}: store.database is missing")
        destinations = []
        for item in raw.get("destination", ()):
            split_address(item["address"], f"{path.name}: destination.address")
            zone = item.get("zone", "")
            destinations.append(Destination(
                str(item["name"]), item["address"], str(item.get("path", "/calls")), int(item["number"]),
                zones.index(zone) if zone in zones else -1))
        log = raw.get("log", {})
        return Gateway(split_address(listen, f"{path.name}: front.listen") if listen else None,
                       str(front.get("path", "/calls")), kind, str(store.get("database", "")),
                       tuple(destinations), str(log.get("format", "logfmt")), str(log.get("level", "info")))
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{path.name}: {error!r}") from None


def _read_platform_file(environ: Mapping[str, str]) -> tuple[str, dict[str, Any]]:
    """Read the JSON file that RELAY_CONFIG names: return its path and its object. Raises ConfigError."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        raw = json.loads(Path(path).read_text("utf-8"))
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: cannot read {path}: {error.strerror}") from None
    except (ValueError, RecursionError):
        raise ConfigError(f"RELAY_CONFIG: {path} is not valid JSON") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"RELAY_CONFIG: {path} does not contain a JSON object")
    return path, raw


def _read_descriptor_limit(limits: object) -> int:
    """Return the limit of file descriptors: the configured one, but at most that of the system."""
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    configured = limits.get("sockets") if isinstance(limits, dict) else None
    return min(int(configured), system_limit) if configured else system_limit


def read_bulletin_address(environ: Mapping[str, str] = os.environ) -> str:
    """Read the bulletin's address, the only setting outside the parts that a running router reloads.

    Returns "" if the configuration is a router file (TOML) that names no bulletin. Raises ConfigError.
    """
    if environ.get("RELAY_CONFIG", "").endswith(".toml"):
        from astertrack.routerfile import read_router_file  # noqa: PLC0415  # not used on the platform

        return read_router_file(Path(environ["RELAY_CONFIG"])).router.bulletin
    _, raw = _read_platform_file(environ)
    address = raw.get("bulletin")
    _, port = split_address(address, "bulletin")
    if not port:
        raise ConfigError(f"bulletin: a port above 0 is required, got {address!r}")
    return str(address)


def read_config(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the configuration that RELAY_CONFIG names. Raises ConfigError."""
    path, raw = _read_platform_file(environ)
    if not isinstance(raw.get("settings"), dict):
        raise ConfigError(f"RELAY_CONFIG: {path} has no object 'settings'")
    raw_settings = raw["settings"]
    try:
        settings = read_settings(raw_settings)
        seed = int(str(raw.get("seed") or "0"), 16)
        known = raw.get("known") or {"no": 0, "items": []}
        limits = raw_settings.get("limits") or {}
        classes = {str(service["name"]): index for index, service in enumerate(raw_settings["services"])}
        host, port = split_address(environ.get("RELAY_LISTEN") or raw.get("listen"), "RELAY_LISTEN")
        bulletin = str(raw.get("bulletin") or "")
        if bulletin:
            split_address(bulletin, "bulletin")
        return Config(
            name=environ.get("RELAY_NAME") or str(raw.get("name") or ""), host=host, port=port, seed=seed,
            settings=settings, classes=classes, zones=[str(zone) for zone in raw_settings.get("areas") or ()],
            kinds=[str(kind) for kind in raw_settings.get("kinds") or ()],
            dial_us=int(limits.get("dialTimeoutUs") or 500_000), bulletin=bulletin,
            known_last=int(known["no"]), known=list(known["items"]),
            sockets=_read_descriptor_limit(raw.get("limits")),
            gateway=read_gateway(Path(environ.get("ASTERTRACK_GATEWAY") or DEFAULT_GATEWAY_FILE),
                                 [str(zone) for zone in raw_settings.get("areas") or ()]))
    except WireError as error:
        raise ConfigError(f"settings: {error}") from None
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"RELAY_CONFIG: {path}: {error!r}") from None
