"""Helpers that the commands share: exit codes, arguments, output and errors."""

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
# The exit codes of every command: success; a negative result (a file is invalid, two files differ, a call is refused);
# the command could not be carried out.
EXIT_OK, EXIT_NEGATIVE, EXIT_FAILURE = 0, 1, 2

FILE_PATH = click.Path(path_type=Path, dir_okay=False)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print one JSON object, for programs.")


def print_result(values: Any, as_json: bool, text: str) -> None:
    """Print a result as JSON or as text."""
    click.echo(json.dumps(values) if as_json else text)


def exit_with(code: int) -> NoReturn:
    """Exit with this code."""
    raise SystemExit(code)


def fail(message: str) -> NoReturn:
    """Print an error and exit with EXIT_FAILURE."""
    click.echo(f"astertrack: {message}", err=True)
    raise SystemExit(EXIT_FAILURE)


def report_errors(command: Callable[P, R]) -> Callable[P, R]:
    """Report errors of configurations and files as one line, with exit code 2. A decorator."""
    @wraps(command)
    def run(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return command(*args, **kwargs)
        except ConfigError as error:
            fail(str(error))
        except OSError as error:
            fail(f"{error.filename or ''}: {error.strerror or error}".removeprefix(": "))
    return run
