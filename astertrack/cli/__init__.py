"""The command line. Each module holds one group of commands, which parse arguments, call the library and print."""

from __future__ import annotations

from importlib import import_module

import click

GROUPS = {"run": "astertrack.cli.run", "config": "astertrack.cli.config", "plan": "astertrack.cli.plan",
          "versions": "astertrack.cli.versions"}


class LazyGroup(click.Group):
    """Imports the module of a group on first use, so that no command waits for modules that it does not need."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the groups."""
        return list(GROUPS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the group or the command of that name, or None."""
        if cmd_name not in GROUPS:
            return None
        command: click.Command = import_module(GROUPS[cmd_name]).command
        return command


@click.command(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="astertrack")
def main() -> None:
    """astertrack: a call router that places calls between exchanges at two sites.

    Exit codes of every command: 0, success; 1, a negative result (a file is invalid, two files differ, a call is
    refused); 2, the command could not be carried out.
    """
