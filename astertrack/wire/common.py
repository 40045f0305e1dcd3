"""Limits, errors and parsing helpers that the codecs share."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from types import MappingProxyType

MAX_MESSAGE_BYTES = 16 * 1024  # of one message, in every protocol
DESCRIPTION_HEADROOM_BYTES = 1024  # what a description leaves free in a message for the other fields sent with it
MAX_CACHED_FIGURES_CHARS = 256  # length of the longest text whose parsed figures are cached


@dataclass(frozen=True, slots=True)
class Malformed:
    """The input cannot be parsed. It is the last event of its connection, which has to be closed."""

    reason: str


class MalformedError(Exception):
    """Raised inside a codec for input that cannot be parsed; the codec turns it into a Malformed event."""


def decode_utf8(raw: bytes | bytearray) -> str:
    """Decode UTF-8; raises MalformedError for bytes that are not."""
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError:
        raise MalformedError("not UTF-8") from None


def take_http_head(buffer: bytearray) -> list[str] | None:
    """Remove the head of an HTTP message from the buffer and return its lines, or None while it is incomplete.

    Raises MalformedError for a head above MAX_MESSAGE_BYTES and for one that is not UTF-8.
    """
    end = buffer.find(b"\r\n\r\n")
    if end > MAX_MESSAGE_BYTES or (end < 0 and len(buffer) > MAX_MESSAGE_BYTES):
        raise MalformedError("head too long")
    if end < 0:
        return None
    lines = decode_utf8(bytes(buffer[:end])).split("\r\n")
    del buffer[:end + 4]
    return lines


def parse_integer(raw: str, name: str, minimum: int = 0, maximum: int = 2**53) -> int:
    """Parse an integer of plain ASCII digits; raises MalformedError if it is anything else or out of range.

    int() alone is too lenient: it also takes a plus sign, surrounding spaces and underscores.
    """
    digits = raw.removeprefix("-")
    if not digits.isascii() or not digits.isdigit() or len(digits) > 16 or not minimum <= int(raw) <= maximum:
        raise MalformedError(f"{name}: not an integer from {minimum} to {maximum}")
    return int(raw)


def _parse_figures(raw: str) -> tuple[Mapping[str, float], bool]:
    """Parse the figures; the flag is False if any was left out."""
    parsed: dict[str, float] = {}
    is_valid = True
    for part in raw.split(";") if raw else ():
        name, _, value = part.partition(":")
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if abs(number) < 1e15 and name.strip() not in parsed:  # excludes infinity and NaN
            parsed[name.strip()] = number
        else:
            is_valid = False
    return MappingProxyType(parsed), is_valid


_parse_figures_cached = lru_cache(maxsize=2048)(_parse_figures)


def parse_figures(raw: str, strict: bool = False) -> Mapping[str, float]:
    """Parse 'name:value;name:value' into numbers by name.

    A value that is not a finite number, and a name that occurs again, is left out or, if strict, raises
    MalformedError. Few distinct texts occur, again and again, so caching saves most of the work. Long texts are not
    cached: a sender could fill the memory with them.
    """
    parsed, is_valid = (_parse_figures_cached if len(raw) <= MAX_CACHED_FIGURES_CHARS else _parse_figures)(raw)
    if strict and not is_valid:
        raise MalformedError("a figure is not a finite number or occurs twice")
    return parsed
