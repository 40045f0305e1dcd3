"""What the commands share: how they end, and how they print."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Any, NoReturn, ParamSpec, TypeVar

import click

from astertrack.config import ConfigError

P = ParamSpec("P")
R = TypeVar("R")
# The exit codes of every command: it went well; the answer is no (a file is not sound, two differ, nothing was found);
# the command itself could not be carried out.
FINE, NO, FAILED = 0, 1, 2

FILE = click.Path(path_type=Path, dir_okay=False)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object, for programs.")


def say(values: Any, as_json: bool, text: str) -> None:
    """Print a result: for people, or as JSON."""
    click.echo(json.dumps(values) if as_json else text)


def end(code: int) -> NoReturn:
    """End the command with an exit code."""
    raise SystemExit(code)


def fail(message: str) -> NoReturn:
    """End the command: it could not be carried out."""
    click.echo(f"astertrack: {message}", err=True)
    raise SystemExit(FAILED)


def plainly(command: Callable[P, R]) -> Callable[P, R]:
    """Turn errors of configuration and files into one plain line and exit code 2."""
    @wraps(command)
    def run(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return command(*args, **kwargs)
        except ConfigError as wrong:
            fail(str(wrong))
        except OSError as wrong:
            fail(f"{wrong.filename or ''}: {wrong.strerror or wrong}".removeprefix(": "))
    return run
