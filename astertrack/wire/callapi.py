"""The messages of the call-control API: JSON objects, one a WebSocket message (docs/call-control.md).

Clients send the requests and servers the rest; a call router is a server towards callers and a client towards
destinations that speak the same API.
"""

from __future__ import annotations

import json
import math
from dataclasses import asdict, dataclass
from typing import Any

from astertrack.wire.common import MAX_MESSAGE_BYTES
from astertrack.wire.sip import CALL_ID_PATTERN


class InvalidMessageError(Exception):
    """A message that cannot be acted on: the code and reason of the error that answers it."""

    def __init__(self, code: str, reason: str, id: str | None = None) -> None:
        super().__init__(reason)
        self.code, self.reason, self.id = code, reason, id


@dataclass(slots=True)
class SetUp:
    """Client: place a call. The deadline is a Unix time in milliseconds."""

    id: str
    service: str
    number: str
    dest: int = -1  # -1: by the routing plan, where there is one
    deadline: int = 0
    description: str = ""
    width: float = 1.0
    transit: bool = False
    via: int = -1
    again: bool = False


@dataclass(slots=True)
class Cancel:
    """Client: give up a call that is not answered."""

    id: str


@dataclass(slots=True)
class Release:
    """Client: end a call that stands."""

    id: str
    cause: int = 16


@dataclass(slots=True)
class Resume:
    """Client: say how a call stands, and tell this connection what becomes of it."""

    id: str


@dataclass(slots=True)
class Progress:
    """Server: the call is in hand."""

    id: str


@dataclass(slots=True)
class Answer:
    """Server, final: the call stands."""

    id: str
    description: str = ""


@dataclass(slots=True)
class Refused:
    """Server, final: turned away; trying again, with a new id, is harmless after cooldown milliseconds."""

    id: str
    cooldown: int = 0
    reason: str = ""


@dataclass(slots=True)
class Failed:
    """Server, final: the call has failed."""

    id: str
    reason: str = ""


@dataclass(slots=True)
class Cancelled:
    """Server: the call was given up; no final answer is owed."""

    id: str


@dataclass(slots=True)
class Released:
    """Server: a call that stood is over."""

    id: str
    cause: int = 16


@dataclass(slots=True)
class State:
    """Server, destinations only: the group of circuits towards it and its processor's load."""

    free: float | None = None
    size: float | None = None
    hold_back: float | None = None


@dataclass(slots=True)
class Error:
    """Server: a message could not be acted on."""

    code: str
    reason: str
    id: str | None = None


Request = SetUp | Cancel | Release | Resume
Message = Request | Progress | Answer | Refused | Failed | Cancelled | Released | State | Error
REQUEST_TYPES: dict[str, type[Any]] = {"setup": SetUp, "cancel": Cancel, "release": Release,
                                 "resume": Resume}
REPLY_TYPES: dict[str, type[Any]] = {
    "progress": Progress, "answer": Answer, "refused": Refused, "failed": Failed, "cancelled": Cancelled,
    "released": Released, "state": State, "error": Error}
TYPE_NAMES = {kind: name for name, kind in (REQUEST_TYPES | REPLY_TYPES).items()}
FIELD_NAMES = {"class": "service"}  # the API's word is Python's
KEY_NAMES = {"service": "class"}
MAX_TEXT_LENGTHS = {"number": 128, "service": 64, "code": 64, "reason": 512, "description": MAX_MESSAGE_BYTES}
INTEGER_RANGES = {"dest": (-1, 2**31), "deadline": (0, 2**53), "via": (-1, 2**31), "cooldown": (0, 2**31),
         "cause": (1, 127)}
NUMBER_RANGES = {"width": (1e-6, 64.0), "free": (0.0, 1e9), "size": (0.0, 1e9), "hold_back": (0.0, 1.0)}
BOOLEAN_FIELDS = ("transit", "again")
REQUIRED_FIELDS: dict[type[Any], tuple[str, ...]] = {
    SetUp: ("id", "service", "number", "deadline"), Error: ("code", "reason"), State: ()}


def _value(name: str, value: object, call: str | None) -> object:
    """Check one field's value."""
    told, good = KEY_NAMES.get(name, name), False
    if name == "id":
        good = isinstance(value, str) and CALL_ID_PATTERN.fullmatch(value) is not None
    elif name in BOOLEAN_FIELDS:
        good = isinstance(value, bool)
    elif name in MAX_TEXT_LENGTHS:
        good = isinstance(value, str) and len(value) <= MAX_TEXT_LENGTHS[name] and (
            name == "description" or value.isprintable())
    elif isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        good = False
    elif name in INTEGER_RANGES:
        good = isinstance(value, int) and INTEGER_RANGES[name][0] <= value <= INTEGER_RANGES[name][1]
    else:
        good = NUMBER_RANGES[name][0] <= value <= NUMBER_RANGES[name][1]
    if not good:
        raise InvalidMessageError("bad-field", f"field {told} has no value that can be used", call)
    return value


def _read(raw: str, kinds: dict[str, type[Any]]) -> Any:
    try:
        message = json.loads(raw)
    except (ValueError, RecursionError):
        raise InvalidMessageError("bad-json", "not JSON") from None
    if not isinstance(message, dict):
        raise InvalidMessageError("bad-json", "not an object")
    given = message.get("id")
    call = given if isinstance(given, str) and CALL_ID_PATTERN.fullmatch(given) else None
    name: Any = message.get("type")
    kind: Any = kinds.get(name) if isinstance(name, str) else None
    if kind is None:
        raise InvalidMessageError("unknown-type", "no such type of message", call)
    fields: dict[str, Any] = {FIELD_NAMES.get(str(key), str(key)): value for key, value in message.items()}
    known = kind.__dataclass_fields__
    values = {key: _value(key, value, call) for key, value in fields.items()
              if key in known and value is not None}
    for field in REQUIRED_FIELDS.get(kind, ("id",)):
        if field not in values:
            raise InvalidMessageError("missing-field", f"field {KEY_NAMES.get(field, field)} is missing", call)
    return kind(**values)


def decode_request(raw: str) -> Request:
    """Read what a client sent, or raise a BadMessage. Fields that are not known are passed over."""
    message: Request = _read(raw, REQUEST_TYPES)
    return message


def decode_reply(raw: str) -> Message:
    """Read what a server sent, or raise a BadMessage."""
    message: Message = _read(raw, REPLY_TYPES)
    return message


def encode_message(message: Message) -> str:
    """Put a message into JSON."""
    fields = {KEY_NAMES.get(name, name): value for name, value in asdict(message).items() if value is not None}
    return json.dumps({"type": TYPE_NAMES[type(message)], **fields}, separators=(",", ":"))
