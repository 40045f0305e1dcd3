"""astertrack config: check, show, compare and explain configuration files."""

from __future__ import annotations

import dataclasses
import json
import tomllib
from pathlib import Path
from typing import Any, get_args, get_origin

import click
import msgspec

from astertrack.cli.common import (
    EXIT_NEGATIVE,
    EXIT_OK,
    FILE_PATH,
    JSON_OPTION,
    exit_with,
    fail,
    print_result,
    report_errors,
)
from astertrack.cli.run import load_config
from astertrack.config import ConfigError, read_gateway
from astertrack.parts import versions as versions_part
from astertrack.parts.planfile import read_plan_file
from astertrack.plan import Drop, Plan
from astertrack.plan.files import VersionTable
from astertrack.plan.model import KINDS
from astertrack.routerfile import ClassTable, PeerTable, RouterTable, RulesTable
from astertrack.versions.offering import difference

FILE_KINDS = ("router", "gateway", "versions", "plan")
TABLES: dict[str, type[Any]] = {
    "router": RouterTable, "class": ClassTable, "peer": PeerTable, "rules": RulesTable, "version": VersionTable,
    **KINDS}


def detect_kind(path: Path) -> str:
    """Return the kind of a file, detected by its tables. Raises ConfigError if it is neither TOML nor JSON."""
    text = path.read_text("utf-8")
    if path.suffix == ".json":
        return "router"
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{path}: {error}") from None
    if "router" in raw:
        return "router"
    if set(raw) & {"service", "probation", "limits"} or (set(raw) & {"plan", "store"} and not set(raw) & {
            "front", "destination", "log"} and "kind" not in raw.get("store", {})):
        return "versions"
    if set(raw) & {*KINDS, "version"}:
        return "plan"
    return "gateway"


def check_file(path: Path, kind: str) -> dict[str, Any]:
    """Validate one file and return a summary of its contents. Raises ConfigError."""
    if kind == "router":
        config = load_config(path)
        return {"name": config.name, "listen": f"{config.host}:{config.port}", "classes": list(config.classes),
                "peers": sum(len(item["roster"]["endpoints"]) for item in config.known), "bulletin": config.bulletin}
    if kind == "versions":
        settings = versions_part.read_settings(path)
        if settings.plan.file:
            read_plan_file(path.parent / settings.plan.file)
        return {"service": settings.service.address, "plan": settings.plan.file, "store": settings.store.folder,
                "probation_s": settings.probation.seconds}
    if kind == "plan":
        id, plan, in_force_ms = read_plan_file(path)
        return {"version": str(id), "records": plan.size, "state": f"{plan.state:064x}", "in_force_ms": in_force_ms}
    gateway = read_gateway(path, [])
    return {"front": gateway.front and f"{gateway.front[0]}:{gateway.front[1]}", "store": gateway.store,
            "destinations": [destination.name for destination in gateway.destinations],
            "log": f"{gateway.log_format}, {gateway.log_level}"}


@click.group("config")
def command() -> None:
    """Check, show, compare and explain configuration files."""


@command.command("check")
@click.argument("files", nargs=-1, required=True, type=FILE_PATH)
@click.option("--kind", type=click.Choice(FILE_KINDS), help="Kind of the files; default: detected by their tables.")
@JSON_OPTION
@report_errors
def check_command(files: tuple[Path, ...], kind: str | None, as_json: bool) -> None:
    """Check router files, gateway files, versions files and routing plans. Exit code 1: one of them is invalid.

    An error names the file, the line or the path of the field, and what was expected there.
    """
    results: list[dict[str, Any]] = []
    for path in files:
        if not path.exists():
            fail(f"{path}: no such file")
        result: dict[str, Any] = {"file": str(path)}
        try:
            result["kind"] = kind or detect_kind(path)
            result |= {"sound": True, "says": check_file(path, result["kind"])}
        except (ConfigError, UnicodeDecodeError) as error:
            message = str(error)
            result |= {"sound": False, "error": message if str(path) in message else f"{path}: {message}"}
        results.append(result)
    print_result(results, as_json, "\n".join(
        f"{entry['file']}: {entry['kind']}: valid" if entry["sound"] else f"{entry['error']}" for entry in results))
    exit_with(EXIT_OK if all(result["sound"] for result in results) else EXIT_NEGATIVE)


@command.command("show")
@click.argument("file", type=FILE_PATH)
@JSON_OPTION
@report_errors
def show(file: Path, as_json: bool) -> None:
    """Show the settings of a file, including defaults."""
    kind = detect_kind(file)
    values: Any
    if kind == "router":
        config = load_config(file)
        values = dataclasses.asdict(config)
        values["settings"]["topology"] = config.settings.topology.value
        values["settings"]["classes"] = [
            {name: getattr(value, "value", value) for name, value in call_class.items()}
            for call_class in values["settings"]["classes"]]
    elif kind == "versions":
        values = msgspec.to_builtins(versions_part.read_settings(file))
    elif kind == "plan":
        values = [msgspec.to_builtins(record) for record in read_plan_file(file)[1].records()]
    else:
        values = dataclasses.asdict(read_gateway(file, []))
    print_result(values, as_json, "\n".join(flatten(values)))


def flatten(values: Any, path: str = "") -> list[str]:
    """Return nested values as lines of the form path = value."""
    if isinstance(values, dict):
        return [line for name, value in values.items()
                for line in flatten(value, f"{path}.{name}" if path else str(name))]
    if isinstance(values, (list, tuple)) and values and isinstance(values[0], dict):
        return [line for index, value in enumerate(values) for line in flatten(value, f"{path}[{index}]")]
    return [f"{path} = {json.dumps(values, default=str)}"]


@command.command("diff")
@click.argument("old", type=FILE_PATH)
@click.argument("new", type=FILE_PATH)
@JSON_OPTION
@report_errors
def diff(old: Path, new: Path, as_json: bool) -> None:
    """Compare two files of one kind and print the differences. Exit code 1: they differ.

    Two plans are compared by their records: the lines are those of the delta from OLD to NEW.
    """
    kinds = detect_kind(old), detect_kind(new)
    if kinds[0] != kinds[1]:
        fail(f"{old} is a {kinds[0]} file and {new} a {kinds[1]} file")
    if kinds[0] == "plan":
        plans: list[Plan] = [read_plan_file(path)[1] for path in (old, new)]
        lines = difference(*plans)
        values: Any = [msgspec.to_builtins(line) for line in lines]
        text = [f"- {line.of} {line.key_}" if isinstance(line, Drop)
                else f"+ {json.dumps(msgspec.to_builtins(line))}" for line in lines]
    else:
        settings = [dict(line.split(" = ", 1) for line in flatten(_read_values(path, kinds[0]))) for path in (old, new)]
        names = sorted(name for name in {*settings[0], *settings[1]} if settings[0].get(name) != settings[1].get(name))
        values = [{"path": name, "old": settings[0].get(name), "new": settings[1].get(name)} for name in names]
        text = [f"{row['path']}: {row['old'] or 'not set'} -> {row['new'] or 'not set'}" for row in values]
    print_result(values, as_json, "\n".join(text) if text else "no differences")
    exit_with(EXIT_NEGATIVE if values else EXIT_OK)


def _read_values(path: Path, kind: str) -> Any:
    """Return the settings of a file as nested values."""
    if kind == "versions":
        return msgspec.to_builtins(versions_part.read_settings(path))
    if kind == "gateway":
        return dataclasses.asdict(read_gateway(path, []))
    return dataclasses.asdict(load_config(path))


@command.command("explain")
@click.argument("name", required=False)
@JSON_OPTION
def explain(name: str | None, as_json: bool) -> None:
    """Describe a table or a field, such as `choice` or `choice.over`; without a name, list the tables."""
    if name is None:
        rows = {table: _first_line(table_type) for table, table_type in TABLES.items()}
        print_result(rows, as_json, "\n".join(f"{table:10} {text}" for table, text in rows.items()))
        return
    table, _, field_name = name.partition(".")
    if table not in TABLES:
        fail(f"unknown table {table!r}; expected one of {', '.join(TABLES)}")
    table_type = TABLES[table]
    fields = {}
    for field in msgspec.structs.fields(table_type):
        required = field.default is msgspec.NODEFAULT and field.default_factory is msgspec.NODEFAULT
        default = None if required else field.default if field.default is not msgspec.NODEFAULT else []
        fields[field.encode_name] = {"type": describe_type(field.type), "required": required, "default": default}
    if field_name:
        if field_name not in fields:
            fail(f"table {table!r} has no field {field_name!r}; its fields are {', '.join(fields)}")
        fields = {field_name: fields[field_name]}
    values = {"table": table, "meaning": (table_type.__doc__ or "").strip(), "fields": fields}
    lines = [f"[{table}]  {values['meaning']}", ""] if not field_name else []
    lines += [f"{table}.{field}: {description['type']}" + (
        "; required" if description["required"] else f"; default {json.dumps(description['default'])}")
        for field, description in fields.items()]
    print_result(values, as_json, "\n".join(lines))


def _first_line(table_type: type[Any]) -> str:
    return (table_type.__doc__ or "").strip().split("\n", maxsplit=1)[0]


def describe_type(field_type: Any) -> str:
    """Describe the values that a field of this type accepts."""
    if hasattr(field_type, "__metadata__"):
        meta = field_type.__metadata__[0]
        parts = [describe_type(get_args(field_type)[0])]
        for name, word in (("ge", "at least"), ("gt", "above"), ("le", "at most"), ("lt", "below"),
                           ("min_length", "no shorter than"), ("max_length", "no longer than"),
                           ("pattern", "that matches")):
            value = getattr(meta, name, None)
            if value is not None:
                parts.append(f"{word} {value}")
        return ", ".join(parts)
    words = {str: "text", int: "whole number", float: "number", bool: "true or false", type(None): "nothing"}
    if field_type in words:
        return words[field_type]
    if get_origin(field_type) is list:
        return f"list of {describe_type(get_args(field_type)[0])}"
    if get_args(field_type):
        return " or ".join(describe_type(arg) for arg in get_args(field_type) if arg is not type(None))
    return str(getattr(field_type, "__name__", field_type))
