"""What the state machines share."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from types import MappingProxyType

MAX_MESSAGE_BYTES = 16 * 1024  # octets of one message, on every wire
DESCRIPTION_HEADROOM_BYTES = 1024  # octets of a message that a description leaves for what goes with it
MAX_CACHED_FIGURES_CHARS = 256  # characters of the longest text of figures that is remembered


@dataclass(frozen=True, slots=True)
class Malformed:
    """What came cannot be read: the last event of its connection, which is to be closed."""

    reason: str


class MalformedError(Exception):
    """Raised inside a state machine, which turns it into Malformed."""


def decode_utf8(raw: bytes | bytearray) -> str:
    """Decode UTF-8, or say that it is not."""
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError:
        raise MalformedError("not UTF-8") from None


def take_http_head(buffer: bytearray) -> list[str] | None:
    """Cut the head of an HTTP message off a buffer, and return its lines; None: it is not whole yet."""
    end = buffer.find(b"\r\n\r\n")
    if end > MAX_MESSAGE_BYTES or (end < 0 and len(buffer) > MAX_MESSAGE_BYTES):
        raise MalformedError("head too long")
    if end < 0:
        return None
    lines = decode_utf8(bytes(buffer[:end])).split("\r\n")
    del buffer[:end + 4]
    return lines


def parse_integer(raw: str, name: str, least: int = 0, most: int = 2**53) -> int:
    """Read a whole number of plain digits: int() would take signs, spaces and underscores, too."""
    digits = raw.removeprefix("-")
    if not digits.isascii() or not digits.isdigit() or len(digits) > 16 or not least <= int(raw) <= most:
        raise MalformedError(f"{name}: not a whole number from {least} to {most}")
    return int(raw)


def _figures(raw: str) -> tuple[Mapping[str, float], bool]:
    read: dict[str, float] = {}
    sound = True
    for part in raw.split(";") if raw else ():
        name, _, value = part.partition(":")
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if abs(number) < 1e15 and name.strip() not in read:  # neither infinite nor NaN
            read[name.strip()] = number
        else:
            sound = False
    return MappingProxyType(read), sound


_remembered = lru_cache(maxsize=2048)(_figures)


def parse_figures(raw: str, strict: bool = False) -> Mapping[str, float]:
    """Read 'name:value;name:value'; a value that is no finite number is left out or, if strict, unreadable.

    The same few texts come again and again: remembering them saves most of the work. Long ones are not
    remembered: whoever sends them could fill the memory.
    """
    read, sound = (_remembered if len(raw) <= MAX_CACHED_FIGURES_CHARS else _figures)(raw)
    if strict and not sound:
        raise MalformedError("a figure that is no number, or comes twice")
    return read
