"""The entry point that the platform starts: a call router configured by RELAY_* alone. See also `astertrack run`."""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import Mapping
from typing import Any, cast

from astertrack import signals

if __name__ == "__main__":
    signals.QUEUE.install()  # before the imports that take long

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
    signals.QUEUE.install()
    app = App(config, reactor)
    app.start()
    gc.freeze()  # objects that exist now live until the end: garbage collections need not scan them
    # Many short garbage collections instead of few long ones: a single pause of 80 ms delays every call.
    gc.set_threshold(1_000, 20, 1_000)
    reactor.callWhenRunning(signals.QUEUE.connect, reactor, {
        signal.SIGTERM: app.stop, signal.SIGINT: app.stop, signal.SIGUSR1: lambda _: app.print_counts(),
        signal.SIGHUP: lambda _: app.reload()})
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
