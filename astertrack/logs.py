"""Logging: structlog on standard error, in one of three formats, from a minimum level up."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

FORMATS = ("logfmt", "json", "console")
LEVELS = ("debug", "info", "warning", "error")


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
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), structlog.processors.add_log_level,
                    renderer],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr), cache_logger_on_first_use=True)
