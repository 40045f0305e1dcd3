"""astertrack config: check, show, compare and explain configuration files."""

from __future__ import annotations

import dataclasses
import json
import tomllib
from pathlib import Path
from typing import Any, get_args, get_origin

import click
import msgspec

from astertrack.cli.common import AS_JSON, FILE, FINE, NO, end, fail, plainly, say
from astertrack.cli.run import load
from astertrack.config import ConfigError, read_gateway
from astertrack.parts import versions as versions_part
from astertrack.plan import Drop, Plan
from astertrack.plan.files import VersionTable
from astertrack.plan.model import KINDS
from astertrack.routerfile import ClassTable, PeerTable, RouterTable, RulesTable
from astertrack.versions.offering import difference

KINDS_OF_FILE = ("router", "gateway", "versions", "plan")
TABLES: dict[str, type[Any]] = {
    "router": RouterTable, "class": ClassTable, "peer": PeerTable, "rules": RulesTable, "version": VersionTable,
    **KINDS}


def kind_of(path: Path) -> str:
    """Tell what a file is by the tables in it; raises ConfigError where it is no TOML or JSON."""
    text = path.read_text("utf-8")
    if path.suffix == ".json":
        return "router"
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as wrong:
        raise ConfigError(f"{path}: {wrong}") from None
    if "router" in raw:
        return "router"
    if set(raw) & {"service", "probation", "limits"} or (set(raw) & {"plan", "store"} and not set(raw) & {
            "front", "destination", "log"} and "kind" not in raw.get("store", {})):
        return "versions"
    if set(raw) & {*KINDS, "version"}:
        return "plan"
    return "gateway"


def check(path: Path, kind: str) -> dict[str, Any]:
    """Check one file and return what it says in short; raises ConfigError."""
    if kind == "router":
        config = load(path)
        return {"name": config.name, "listen": f"{config.host}:{config.port}", "classes": list(config.classes),
                "peers": sum(len(item["roster"]["endpoints"]) for item in config.known), "bulletin": config.bulletin}
    if kind == "versions":
        settings = versions_part.read_settings(path)
        if settings.plan.file:
            versions_part.read_plan_file(path.parent / settings.plan.file)
        return {"service": settings.service.address, "plan": settings.plan.file, "store": settings.store.folder,
                "probation_s": settings.probation.seconds}
    if kind == "plan":
        id, plan, in_force_ms = versions_part.read_plan_file(path)
        return {"version": str(id), "records": plan.size, "state": f"{plan.state:064x}", "in_force_ms": in_force_ms}
    gateway = read_gateway(path, [])
    return {"front": gateway.front and f"{gateway.front[0]}:{gateway.front[1]}", "store": gateway.store,
            "destinations": [destination.name for destination in gateway.destinations],
            "log": f"{gateway.log_format}, {gateway.log_level}"}


@click.group("config")
def command() -> None:
    """Check, show, compare and explain configuration files."""


@command.command("check")
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option("--kind", type=click.Choice(KINDS_OF_FILE), help="What the files are; told from their tables otherwise.")
@AS_JSON
@plainly
def check_command(files: tuple[Path, ...], kind: str | None, as_json: bool) -> None:
    """Check files: a router's, a gateway's, a versions' file, a routing plan. Exit code 1: one is not sound.

    An error names the file, the line or the path of the field, and what was expected there.
    """
    results: list[dict[str, Any]] = []
    for path in files:
        if not path.exists():
            fail(f"{path}: no such file")
        result: dict[str, Any] = {"file": str(path)}
        try:
            result["kind"] = kind or kind_of(path)
            result |= {"sound": True, "says": check(path, result["kind"])}
        except (ConfigError, UnicodeDecodeError) as wrong:
            text = str(wrong)
            result |= {"sound": False, "error": text if str(path) in text else f"{path}: {text}"}
        results.append(result)
    say(results, as_json, "\n".join(
        f"{r['file']}: {r['kind']}: sound" if r["sound"] else f"{r['error']}" for r in results))
    end(FINE if all(result["sound"] for result in results) else NO)


@command.command("show")
@click.argument("file", type=FILE)
@AS_JSON
@plainly
def show(file: Path, as_json: bool) -> None:
    """Show what a file comes to, the defaults filled in."""
    kind = kind_of(file)
    values: Any
    if kind == "router":
        config = load(file)
        values = dataclasses.asdict(config)
        values["settings"]["topology"] = config.settings.topology.value
        values["settings"]["classes"] = [
            {name: getattr(value, "value", value) for name, value in service.items()}
            for service in values["settings"]["classes"]]
    elif kind == "versions":
        values = msgspec.to_builtins(versions_part.read_settings(file))
    elif kind == "plan":
        values = [msgspec.to_builtins(record) for record in versions_part.read_plan_file(file)[1].records()]
    else:
        values = dataclasses.asdict(read_gateway(file, []))
    say(values, as_json, "\n".join(flat(values)))


def flat(values: Any, path: str = "") -> list[str]:
    """Return nested values as lines of path = value."""
    if isinstance(values, dict):
        return [line for name, value in values.items() for line in flat(value, f"{path}.{name}" if path else str(name))]
    if isinstance(values, (list, tuple)) and values and isinstance(values[0], dict):
        return [line for at, value in enumerate(values) for line in flat(value, f"{path}[{at}]")]
    return [f"{path} = {json.dumps(values, default=str)}"]


@command.command("diff")
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@AS_JSON
@plainly
def diff(old: Path, new: Path, as_json: bool) -> None:
    """Compare two files of one kind: what the second says otherwise. Exit code 1: they differ.

    Two plans are compared by what they mean: the lines are those of the delta from one to the other.
    """
    kinds = kind_of(old), kind_of(new)
    if kinds[0] != kinds[1]:
        fail(f"{old} is a {kinds[0]} file and {new} a {kinds[1]} file")
    if kinds[0] == "plan":
        plans: list[Plan] = [versions_part.read_plan_file(path)[1] for path in (old, new)]
        lines = difference(*plans)
        values: Any = [msgspec.to_builtins(line) for line in lines]
        text = [f"- {line.of} {line.key_}" if isinstance(line, Drop)
                else f"+ {json.dumps(msgspec.to_builtins(line))}" for line in lines]
    else:
        sides = [dict(line.split(" = ", 1) for line in flat(_values(path, kinds[0]))) for path in (old, new)]
        names = sorted(name for name in {*sides[0], *sides[1]} if sides[0].get(name) != sides[1].get(name))
        values = [{"path": name, "old": sides[0].get(name), "new": sides[1].get(name)} for name in names]
        text = [f"{v['path']}: {v['old'] or 'not there'} -> {v['new'] or 'not there'}" for v in values]
    say(values, as_json, "\n".join(text) if text else "they say the same")
    end(NO if values else FINE)


def _values(path: Path, kind: str) -> Any:
    """Return what a file says as nested values."""
    if kind == "versions":
        return msgspec.to_builtins(versions_part.read_settings(path))
    if kind == "gateway":
        return dataclasses.asdict(read_gateway(path, []))
    return dataclasses.asdict(load(path))


@command.command("explain")
@click.argument("name", required=False)
@AS_JSON
def explain(name: str | None, as_json: bool) -> None:
    """Explain a table or a field, such as `choice` or `choice.over`; without a name, list the tables."""
    if name is None:
        rows = {table: _first(kind) for table, kind in TABLES.items()}
        say(rows, as_json, "\n".join(f"{table:10} {text}" for table, text in rows.items()))
        return
    table, _, wanted = name.partition(".")
    if table not in TABLES:
        fail(f"there is no table {table!r}; there are {', '.join(TABLES)}")
    kind = TABLES[table]
    fields = {}
    for field in msgspec.structs.fields(kind):
        required = field.default is msgspec.NODEFAULT and field.default_factory is msgspec.NODEFAULT
        default = None if required else field.default if field.default is not msgspec.NODEFAULT else []
        fields[field.encode_name] = {"type": type_text(field.type), "required": required, "default": default}
    if wanted:
        if wanted not in fields:
            fail(f"table {table!r} has no field {wanted!r}; it has {', '.join(fields)}")
        fields = {wanted: fields[wanted]}
    values = {"table": table, "meaning": (kind.__doc__ or "").strip(), "fields": fields}
    lines = [f"[{table}]  {values['meaning']}", ""] if not wanted else []
    lines += [f"{table}.{field}: {what['type']}" + (
        "; required" if what["required"] else f"; {json.dumps(what['default'])} if not said")
        for field, what in fields.items()]
    say(values, as_json, "\n".join(lines))


def _first(kind: type[Any]) -> str:
    return (kind.__doc__ or "").strip().split("\n", maxsplit=1)[0]


def type_text(kind: Any) -> str:
    """Say in words what values a field takes."""
    if hasattr(kind, "__metadata__"):
        meta = kind.__metadata__[0]
        parts = [type_text(get_args(kind)[0])]
        for name, word in (("ge", "at least"), ("gt", "above"), ("le", "at most"), ("lt", "below"),
                           ("min_length", "no shorter than"), ("max_length", "no longer than"),
                           ("pattern", "that matches")):
            value = getattr(meta, name, None)
            if value is not None:
                parts.append(f"{word} {value}")
        return ", ".join(parts)
    words = {str: "text", int: "whole number", float: "number", bool: "true or false", type(None): "nothing"}
    if kind in words:
        return words[kind]
    if get_origin(kind) is list:
        return f"list of {type_text(get_args(kind)[0])}"
    if get_args(kind):
        return " or ".join(type_text(arg) for arg in get_args(kind) if arg is not type(None))
    return str(getattr(kind, "__name__", kind))
