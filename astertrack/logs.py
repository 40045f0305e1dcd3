"""The program's log: structlog on standard error, in one of three formats, from a level up."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

FORMATS = ("logfmt", "json", "console")
LEVELS = ("debug", "info", "warning", "error")


def configure(form: str = "logfmt", level: str = "info") -> None:
    """Set the log up; raises ValueError for a format or level that there is not."""
    if form not in FORMATS:
        raise ValueError(f"no such log format: {form!r}; there are {', '.join(FORMATS)}")
    if level not in LEVELS:
        raise ValueError(f"no such log level: {level!r}; there are {', '.join(LEVELS)}")
    renderer: Any
    if form == "json":
        renderer = structlog.processors.JSONRenderer(sort_keys=False)
    elif form == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    else:
        renderer = structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"])
    structlog.configure(
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), structlog.processors.add_log_level,
                    renderer],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr), cache_logger_on_first_use=True)
