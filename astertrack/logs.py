"""Logging: structlog on standard error, in one of three formats, from a minimum level up."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import structlog

FORMATS = ("logfmt", "json", "console")
LEVELS = ("debug", "info", "warning", "error")
# Lines with the same event that are written in one second. What peers and callers send must not decide how much is
# logged; information about sound calls and peers is more frequent than warnings.
MAX_LINES_PER_S = {"warning": 20, "info": 400}


class LineLimiter:
    """A structlog processor that drops repeated lines beyond a rate, and counts them.

    The next line of that event that is written gives the number as `suppressed`.
    """

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s = now_s
        self._second = 0
        self._written: dict[str, int] = {}  # in this second, by event
        self._suppressed: dict[str, int] = {}  # since the last line that was written, by event

    def __call__(self, logger: Any, method: str, values: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
        """Return the line's values, or raise DropEvent."""
        event, second = str(values.get("event")), int(self._now_s())
        if second != self._second:
            self._second = second
            self._written.clear()
        written = self._written.get(event, 0)
        if written >= MAX_LINES_PER_S.get(method, sys.maxsize):
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            raise structlog.DropEvent
        self._written[event] = written + 1
        if (suppressed := self._suppressed.pop(event, 0)):
            values["suppressed"] = suppressed
        return values


def configure(log_format: str = "logfmt", level: str = "info") -> None:
    """Configure logging. Raises ValueError if the format or the level is unknown."""
    if log_format not in FORMATS:
        raise ValueError(f"unknown log format {log_format!r}; expected one of {', '.join(FORMATS)}")
    if level not in LEVELS:
        raise ValueError(f"unknown log level {level!r}; expected one of {', '.join(LEVELS)}")
    renderer: Any
    if log_format == "json":
        renderer = structlog.processors.JSONRenderer(sort_keys=False)
    elif log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    else:
        renderer = structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"])
    structlog.configure(
        processors=[LineLimiter(), structlog.processors.TimeStamper(fmt="iso", utc=True),
                    structlog.processors.add_log_level, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr), cache_logger_on_first_use=True)
