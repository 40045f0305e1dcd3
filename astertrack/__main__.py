"""Start a call router: read what it is told, wire the core to its fronts and peers, and run."""

from __future__ import annotations

import gc
import signal
import sys
from typing import Any, cast

import structlog
from twisted.internet import reactor as default_reactor

from astertrack.app import App
from astertrack.config import ConfigError, read_config


def main() -> int:
    """Run until told to stop; returns the exit code."""
    structlog.configure(
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), structlog.processors.add_log_level,
                    structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"])],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr), cache_logger_on_first_use=True)
    try:
        config = read_config()
    except ConfigError as wrong:
        print(f"astertrack: {wrong}", file=sys.stderr)
        return 2
    reactor = cast(Any, default_reactor)
    try:
        app = App(config, reactor)
        app.start()
    except ConfigError as wrong:
        print(f"astertrack: {wrong}", file=sys.stderr)
        return 2
    except OSError as wrong:
        print(f"astertrack: cannot listen: {wrong}", file=sys.stderr)
        return 2

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
