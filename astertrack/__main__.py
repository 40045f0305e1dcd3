"""The entry point that the platform starts: a call router configured by RELAY_* alone. See also `astertrack run`."""

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
    """Run a router until a signal stops it. Returns the exit code: 0, or 2 if it could not start."""
    try:
        config = read_config(environ)
        logs.configure(config.gateway.log_format, config.gateway.log_level)
        return serve(config, cast(Any, default_reactor))
    except (ConfigError, ValueError, OSError) as error:
        print(f"astertrack: {error}", file=sys.stderr)
    return 2


def serve(config: Config, reactor: Any) -> int:
    """Run a router on a reactor until a signal stops it. Raises ConfigError if it cannot start."""
    app = App(config, reactor)
    app.start()

    def handle_signal(number: signal.Signals, callback: Any) -> None:
        signal.signal(number, lambda *_: reactor.callFromThread(callback))

    def install_signal_handlers() -> None:  # after the reactor has installed its own
        handle_signal(signal.SIGTERM, app.stop)
        handle_signal(signal.SIGINT, app.stop)
        handle_signal(signal.SIGUSR1, app.print_counts)
        handle_signal(signal.SIGHUP, app.reload)

    gc.freeze()  # objects that exist now live until the end: garbage collections need not scan them
    # Many short garbage collections instead of few long ones: a single pause of 80 ms delays every call.
    gc.set_threshold(1_000, 20, 1_000)
    reactor.callWhenRunning(install_signal_handlers)
    reactor.run()
    app.print_counts()
    return 0


if __name__ == "__main__":
    sys.exit(main())
