"""Optional subsystems of a router, called parts: each connects a package that does no I/O to its drivers.

To add a part, write a module with `make(context, path)` and list it in PARTS with its file under deploy/. A part that
has no file, or whose file leaves it off, is not imported, so that it adds neither time nor memory.
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
# Module, its file under deploy/, the environment variable that names another file, and the settings (table, field) of
# which any non-empty one switches the part on.
PARTS = (
    ("astertrack.parts.versions", "versions.toml", "ASTERTRACK_VERSIONS",
     (("service", "address"), ("plan", "file"), ("store", "folder"))),
)


def read_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file; if there is none, return an empty dict. Raises ConfigError."""
    try:
        return tomllib.loads(path.read_text("utf-8"))
    except FileNotFoundError:
        return {}
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def settings_path(file: str, variable: str, environ: Mapping[str, str]) -> Path:
    """Return the path of a part's settings file."""
    return Path(environ.get(variable) or DEPLOY / file)


def is_switched_on(tables: dict[str, Any], switches: tuple[tuple[str, str], ...]) -> bool:
    """Return whether any of the settings that switch a part on is not empty."""
    return any(isinstance(tables.get(table), dict) and tables[table].get(name) for table, name in switches)


def load_parts(context: PartContext, environ: Mapping[str, str] = os.environ) -> list[Part]:
    """Create the parts that are switched on. Raises ConfigError."""
    parts: list[Part] = []
    for module, file, variable, switches in PARTS:
        path = settings_path(file, variable, environ)
        tables = read_toml(path)
        if is_switched_on(tables, switches):
            parts.append(import_module(module).make(context, path))
    return parts
