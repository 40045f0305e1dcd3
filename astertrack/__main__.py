"""Start a call router as the platform does: told by RELAY_*, and nothing else. `astertrack run` does the same."""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import Mapping
from typing import Any, cast

from twisted.internet import reactor as default_reactor

from astertrack import logs
from astertrack.app import App
from astertrack.config import Config, ConfigError, read_config


def main(environ: Mapping[str, str] = os.environ) -> int:
    """Run until told to stop; returns the exit code: 0, or 2 for a configuration that cannot be used."""
    try:
        config = read_config(environ)
        logs.configure(config.gateway.log_format, config.gateway.log_level)
        return serve(config, cast(Any, default_reactor))
    except (ConfigError, ValueError) as wrong:
        print(f"astertrack: {wrong}", file=sys.stderr)
    except OSError as wrong:
        print(f"astertrack: cannot listen: {wrong}", file=sys.stderr)
    return 2


def serve(config: Config, reactor: Any) -> int:
    """Run a router on a reactor until it is told to stop. Raises ConfigError and OSError before it serves."""
    app = App(config, reactor)
    app.start()

    def on(number: signal.Signals, do: Any) -> None:
        signal.signal(number, lambda *_: reactor.callFromThread(do))

    def handlers() -> None:  # after the reactor has set its own
        on(signal.SIGTERM, app.stop)
        on(signal.SIGINT, app.stop)
        on(signal.SIGUSR1, app.print_counts)
        on(signal.SIGHUP, app.reload)

    gc.freeze()  # what is there now stays: it need not be looked at again
    gc.set_threshold(1_000, 20, 1_000)  # many short pauses: one of 80 ms holds every call up
    reactor.callWhenRunning(handlers)
    reactor.run()
    app.print_counts()
    return 0


if __name__ == "__main__":
    sys.exit(main())
