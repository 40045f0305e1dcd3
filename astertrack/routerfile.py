"""A router's configuration as one TOML file of ours, for installations that no platform configures.

It says what the platform's JSON says, in our terms and units, checked by a schema. Read only by `astertrack run` and
the other commands: the platform's start does not import it.
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

Ms = Annotated[float, msgspec.Meta(gt=0, le=3_600_000)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
STATES = {"in_service": "in_service", "draining": "terminating"}


class RouterTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[router]`: this router."""

    name: Text
    listen: str  # host:port for SIP callers
    exchange: Annotated[int, msgspec.Meta(ge=0, lt=2**31)]  # number of its own exchange
    zone: str = ""
    seed: int = 0
    bulletin: str = ""  # host:port of a list of peers that changes; empty: the list below holds
    sockets: Annotated[int, msgspec.Meta(ge=16)] | None = None  # descriptors it may hold; none: what the system gives
    dial_ms: Ms = 500.0


class ClassTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[class]]`: a class of call."""

    name: Text
    aim_ms: Ms  # a call that stands by then earns its whole worth
    deadline_ms: Ms  # and after this its caller has given up
    worth: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    late_worth: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    hold_ms: Annotated[float, msgspec.Meta(ge=0)] = 10_000.0  # how long such calls last on average
    width: Annotated[float, msgspec.Meta(gt=0, le=64)] = 1.0


class PeerTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[[peer]]`: another exchange."""

    name: Text
    address: str
    exchange: Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
    zone: str = ""
    state: str = "in_service"


class RulesTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[rules]`: what holds for attempts; the defaults are the operators' figures."""

    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=6)] = 6
    release_ms: Annotated[float, msgspec.Meta(ge=300)] = 300.0  # before a resend, after a time-out, reset or cancel
    caller_wait_ms: Annotated[float, msgspec.Meta(ge=0)] = 2_000.0  # longest wait that refused callers are told
    cold_from: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.3
    cold_ms: Annotated[float, msgspec.Meta(ge=0)] = 15_000.0
    fall_multiple: Annotated[float, msgspec.Meta(gt=0)] = 2.0
    fall_ms: Annotated[float, msgspec.Meta(ge=0)] = 3_000.0


class RouterFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    router: RouterTable
    classes: Annotated[list[ClassTable], msgspec.Meta(min_length=1)] = msgspec.field(name="class")
    peers: list[PeerTable] = msgspec.field(name="peer", default_factory=list)
    rules: RulesTable = RulesTable()


def us(milliseconds: float) -> int:
    """Return microseconds."""
    return int(milliseconds * 1000)


def read_router_file(path: Path) -> RouterFile:
    """Read and check the file, or raise a ConfigError that names it, the field and what was expected."""
    try:
        raw: dict[str, Any] = tomllib.loads(path.read_text("utf-8"))
        return msgspec.convert(raw, RouterFile)
    except msgspec.ValidationError as wrong:
        expected, field = split_validation_error(wrong)
        raise ConfigError(f"{path}: {field or 'the file'}: {expected}") from None
    except (OSError, ValueError) as wrong:
        raise ConfigError(f"{path}: {wrong}") from None


def read_config(path: Path, gateway: Path) -> Config:
    """Make a router's configuration of the file, or raise a ConfigError."""
    file = read_router_file(path)
    router, rules = file.router, file.rules
    host, port = split_address(router.listen, f"{path}: router.listen")
    if router.bulletin:
        split_address(router.bulletin, f"{path}: router.bulletin")
    if len({service.name for service in file.classes}) != len(file.classes):
        raise ConfigError(f"{path}: class: each name once")
    names = [peer.name for peer in file.peers]
    for at, peer in enumerate(file.peers):
        split_address(peer.address, f"{path}: peer[{at}].address")
        if peer.state not in STATES:
            raise ConfigError(f"{path}: peer[{at}].state: one of {', '.join(STATES)}")
        if peer.exchange == router.exchange:
            raise ConfigError(f"{path}: peer[{at}].exchange: {peer.exchange} is this router's own")
        if names.index(peer.name) != at:
            raise ConfigError(f"{path}: peer[{at}].name: {peer.name!r} is there already")
    zones = sorted({zone for zone in (router.zone, *(peer.zone for peer in file.peers)) if zone})
    for at, service in enumerate(file.classes):
        if service.deadline_ms < service.aim_ms:
            raise ConfigError(f"{path}: class[{at}].deadline_ms: not before aim_ms")
    settings = io.Settings(
        controllers=len(file.peers) + 1, number=0, home=router.exchange, topology=io.Topology.MESH,
        classes=tuple(io.ServiceClass(us(c.aim_ms), us(c.deadline_ms), c.worth, c.late_worth, c.width, us(c.hold_ms))
                      for c in file.classes),
        zone=zones.index(router.zone) if router.zone else -1, max_attempts=rules.max_attempts,
        release_us=us(rules.release_ms), drain_grace_us=2_000_000, cold_from=rules.cold_from, cold_us=us(rules.cold_ms),
        fall_multiple=rules.fall_multiple, fall_us=us(rules.fall_ms), may_probe=True, may_call_off=True,
        callers_wait=True, max_caller_wait_us=us(rules.caller_wait_ms))
    endpoints = [{"name": peer.name, "address": peer.address, "zone": peer.zone, "type": "", "group": peer.exchange,
                  "status": STATES[peer.state], "weight": 1, "since_ms": 0} for peer in file.peers]
    given, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return Config(
        name=router.name, host=host, port=port, seed=router.seed, settings=settings,
        classes={service.name: at for at, service in enumerate(file.classes)}, zones=zones, kinds=[""],
        dial_us=us(router.dial_ms), bulletin=router.bulletin, known_last=0,
        known=[{"no": 0, "roster": {"index": 0, "snapshot": True, "endpoints": endpoints}}],
        sockets=min(router.sockets or given, given), gateway=read_gateway(gateway, zones))
