"""The router file: a router's configuration as one TOML file, for installations that no platform configures.

It has the settings of the platform's JSON, with other names and in milliseconds, and is validated against a schema.
Only `astertrack run` and the other commands read it; a start by the platform does not import this module.
"""

from __future__ import annotations

import resource
import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec

from astertrack.checking import split_validation_error
from astertrack.config import Config, ConfigError, read_gateway, split_address
from ospreylug import interface as io

Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=3_600_000)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
BULLETIN_STATUS = {"in_service": "in_service", "draining": "terminating"}  # of a peer, by its state in the file


class RouterTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The router itself: its name, addresses, exchange and limits."""

    name: Name
    listen: str  # host:port for SIP callers
    exchange: Annotated[int, msgspec.Meta(ge=0, lt=2**31)]  # number of the router's own exchange
    zone: str = ""
    seed: int = 0
    bulletin: str = ""  # host:port of a service that publishes the peers; empty: those of [[peer]]
    sockets: Annotated[int, msgspec.Meta(ge=16)] | None = None  # limit of file descriptors; none: the system's limit
    dial_ms: Milliseconds = 500.0  # timeout of a connection attempt to a peer


class ClassTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of call: its times, relative worth, mean duration and circuits."""

    name: Name
    aim_ms: Milliseconds  # a call that is answered within this time earns its full worth
    deadline_ms: Milliseconds  # after this time the caller has cancelled the call
    worth: Annotated[float, msgspec.Meta(ge=0)] = 1.0  # relative to the other classes
    late_worth: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0  # fraction of `worth` for a later answer
    hold_ms: Annotated[float, msgspec.Meta(ge=0)] = 10_000.0  # mean duration of these calls
    width: Annotated[float, msgspec.Meta(gt=0, le=64)] = 1.0  # circuits that a call takes


class PeerTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A peer: another exchange that calls are sent to."""

    name: Name
    address: str
    exchange: Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
    zone: str = ""
    state: str = "in_service"  # or "draining"; see BULLETIN_STATUS


class RulesTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rules for attempts, waits and slow start; the defaults are the platform's values."""

    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=6)] = 6
    release_ms: Annotated[float, msgspec.Meta(ge=300)] = 300.0  # before a new attempt, after a timeout, reset or cancel
    caller_wait_ms: Annotated[float, msgspec.Meta(ge=0)] = 2_000.0  # maximum wait given to refused callers
    cold_from: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.3  # fraction of its capacity that a started peer has
    cold_ms: Annotated[float, msgspec.Meta(ge=0)] = 15_000.0  # warm-up time of a peer after its start
    fall_multiple: Annotated[float, msgspec.Meta(gt=0)] = 2.0  # multiple of its capacity that overloads a cold peer
    fall_ms: Annotated[float, msgspec.Meta(ge=0)] = 3_000.0  # time over which that load is measured


class RouterFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The router file."""

    router: RouterTable
    classes: Annotated[list[ClassTable], msgspec.Meta(min_length=1)] = msgspec.field(name="class")
    peers: list[PeerTable] = msgspec.field(name="peer", default_factory=list)
    rules: RulesTable = RulesTable()


def to_us(milliseconds: float) -> int:
    """Convert milliseconds to microseconds."""
    return int(milliseconds * 1000)


def read_router_file(path: Path) -> RouterFile:
    """Read and validate the file. Raises ConfigError, naming the file, the field and what was expected."""
    try:
        raw: dict[str, Any] = tomllib.loads(path.read_text("utf-8"))
        return msgspec.convert(raw, RouterFile)
    except msgspec.ValidationError as error:
        expected, field = split_validation_error(error)
        raise ConfigError(f"{path}: {field or 'the file'}: {expected}") from None
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def read_config(path: Path, gateway: Path) -> Config:
    """Build a router's configuration from a router file and a gateway file. Raises ConfigError."""
    file = read_router_file(path)
    router, rules = file.router, file.rules
    host, port = split_address(router.listen, f"{path}: router.listen")
    if router.bulletin:
        split_address(router.bulletin, f"{path}: router.bulletin")
    if len({call_class.name for call_class in file.classes}) != len(file.classes):
        raise ConfigError(f"{path}: class: names must be unique")
    names = [peer.name for peer in file.peers]
    for position, peer in enumerate(file.peers):
        split_address(peer.address, f"{path}: peer[{position}].address")
        if peer.state not in BULLETIN_STATUS:
            raise ConfigError(f"{path}: peer[{position}].state: expected one of {', '.join(BULLETIN_STATUS)}")
        if peer.exchange == router.exchange:
            raise ConfigError(f"{path}: peer[{position}].exchange: {peer.exchange} is this router's own exchange")
        if names.index(peer.name) != position:
            raise ConfigError(f"{path}: peer[{position}].name: duplicate name {peer.name!r}")
    zones = sorted({zone for zone in (router.zone, *(peer.zone for peer in file.peers)) if zone})
    for position, call_class in enumerate(file.classes):
        if call_class.deadline_ms < call_class.aim_ms:
            raise ConfigError(f"{path}: class[{position}].deadline_ms: must not be less than aim_ms")
    settings = io.Settings(
        controllers=len(file.peers) + 1, number=0, home=router.exchange, topology=io.Topology.MESH,
        classes=tuple(io.ServiceClass(to_us(call_class.aim_ms), to_us(call_class.deadline_ms), call_class.worth,
                                      call_class.late_worth, call_class.width, to_us(call_class.hold_ms))
                      for call_class in file.classes),
        zone=zones.index(router.zone) if router.zone else -1, max_attempts=rules.max_attempts,
        release_us=to_us(rules.release_ms), drain_grace_us=2_000_000, cold_from=rules.cold_from,
        cold_us=to_us(rules.cold_ms), fall_multiple=rules.fall_multiple, fall_us=to_us(rules.fall_ms), may_probe=True,
        may_call_off=True, callers_wait=True, max_caller_wait_us=to_us(rules.caller_wait_ms))
    endpoints = [{"name": peer.name, "address": peer.address, "zone": peer.zone, "type": "", "group": peer.exchange,
                  "status": BULLETIN_STATUS[peer.state], "weight": 1, "since_ms": 0} for peer in file.peers]
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return Config(
        name=router.name, host=host, port=port, seed=router.seed, settings=settings,
        classes={call_class.name: position for position, call_class in enumerate(file.classes)}, zones=zones,
        kinds=[""],
        dial_us=to_us(router.dial_ms), bulletin=router.bulletin, known_last=0,
        known=[{"no": 0, "roster": {"index": 0, "snapshot": True, "endpoints": endpoints}}],
        sockets=min(router.sockets or system_limit, system_limit), gateway=read_gateway(gateway, zones))
