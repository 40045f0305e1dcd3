"""Commands. Each file holds one group; they parse, call and print, and decide nothing."""

from __future__ import annotations

from importlib import import_module

import click

GROUPS = {"run": "astertrack.cli.run", "config": "astertrack.cli.config", "plan": "astertrack.cli.plan",
          "versions": "astertrack.cli.versions"}


class Commands(click.Group):
    """Loads a group's module when it is asked for: a command does not wait for what it does not use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the groups."""
        return list(GROUPS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a group, or the command of that name."""
        if cmd_name not in GROUPS:
            return None
        command: click.Command = import_module(GROUPS[cmd_name]).command
        return command


@click.command(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="astertrack")
def main() -> None:
    """astertrack: a call router that places calls between exchanges at two sites.

    Exit codes of every command: 0, it went well; 1, the answer is no (a file is not sound, two differ, nothing was
    found); 2, the command could not be carried out.
    """
