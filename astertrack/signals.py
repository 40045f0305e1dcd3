"""Signals from before the first import that takes long until the end of the process.

Without a handler, a signal that comes while the router starts would end the process at once, and with it connections
that the system has established already. This module imports nothing but the standard library's signal and time.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Mapping
from typing import Any

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
Handler = Callable[[int], None]  # is passed when the signal came, in Unix microseconds


class SignalQueue:
    """Keeps the signals that come, until there is a reactor whose thread can handle them."""

    def __init__(self) -> None:
        self._received: list[tuple[int, int]] = []  # number and time
        self._handlers: Mapping[int, Handler] = {}
        self._reactor: Any = None

    def install(self) -> None:
        """Receive the signals from now on."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, _: object) -> None:
        self._received.append((number, time.time_ns() // 1000))
        if self._reactor is not None:
            self._reactor.callFromThread(self._handle)

    def connect(self, reactor: Any, handlers: Mapping[int, Handler]) -> None:
        """Let a reactor that runs handle the signals, those that have come already first."""
        self._reactor, self._handlers = reactor, handlers
        self._handle()

    def _handle(self) -> None:
        while self._received:
            number, received_us = self._received.pop(0)
            self._handlers[number](received_us)


QUEUE = SignalQueue()
