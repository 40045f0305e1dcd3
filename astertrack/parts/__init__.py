"""Subsystems as parts of one router: each wires its deciding package to its drivers.

To add one, write a module with `make(context, tables)` and list it in PARTS with its file under deploy/. A part whose
file switches it off, or that has no file, is not imported: it costs the platform nothing.
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from importlib import import_module
from pathlib import Path
from typing import Any

from astertrack.config import ConfigError
from astertrack.parts.model import Part, PartContext

DEPLOY = Path(__file__).resolve().parent.parent.parent / "deploy"
# Module, its file under deploy/, the variable that names another file, and what switches it on: any of these
# settings that is not empty.
PARTS = (
    ("astertrack.parts.versions", "versions.toml", "ASTERTRACK_VERSIONS",
     (("service", "address"), ("plan", "file"), ("store", "folder"))),
)


def read_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file, or raise a ConfigError; without one, everything is off."""
    try:
        return tomllib.loads(path.read_text("utf-8"))
    except FileNotFoundError:
        return {}
    except (OSError, ValueError) as wrong:
        raise ConfigError(f"{path}: {wrong}") from None


def settings_path(file: str, variable: str, environ: Mapping[str, str]) -> Path:
    """Return where a part's settings are."""
    return Path(environ.get(variable) or DEPLOY / file)


def switched_on(tables: dict[str, Any], switches: tuple[tuple[str, str], ...]) -> bool:
    """Whether any of the settings that switch a part on is not empty."""
    return any(isinstance(tables.get(table), dict) and tables[table].get(name) for table, name in switches)


def load_parts(context: PartContext, environ: Mapping[str, str] = os.environ) -> list[Part]:
    """Make the parts that are switched on; raises ConfigError."""
    parts: list[Part] = []
    for module, file, variable, switches in PARTS:
        path = settings_path(file, variable, environ)
        tables = read_toml(path)
        if switched_on(tables, switches):
            parts.append(import_module(module).make(context, path))
    return parts
