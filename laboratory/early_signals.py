"""Starts the program; it gets SIGHUP and SIGTERM as soon as it listens, before its reactor runs."""

from __future__ import annotations

import os
import signal
import sys
from unittest import mock

from astertrack.__main__ import main
from astertrack.app import App


class SignalledApp(App):
    """A router whose process is signalled at the end of its start."""

    def start(self) -> None:
        """Start, and signal this process."""
        super().start()
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            os.kill(os.getpid(), number)


if __name__ == "__main__":
    with mock.patch("astertrack.__main__.App", SignalledApp):
        sys.exit(main())
