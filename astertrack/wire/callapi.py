"""The messages of the call-control API: one JSON object per WebSocket message (docs/call-control.md).

Clients send the requests, servers the other messages. A call router is a server for callers and a client of
destinations that use the same API. Fields are encoded under their own names, except service, which is sent as class.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import quote

from astertrack.wire.common import MAX_MESSAGE_BYTES, MalformedError
from astertrack.wire.sip import CALL_ID_PATTERN

# Headers of the handshake by which a client identifies itself; the names are in lower case, as they are decoded.
CLIENT_NAME_HEADER, CLIENT_STARTED_HEADER = "x-client-name", "x-client-started"
MAX_CLIENT_NAME_LENGTH = 128
MAX_STARTED_MS = 2**53


class InvalidMessageError(Exception):
    """A message that cannot be processed, with the code and reason of the error message that answers it."""

    def __init__(self, code: str, reason: str, id: str | None = None) -> None:
        super().__init__(reason)
        self.code, self.reason, self.id = code, reason, id


@dataclass(slots=True)
class SetUp:
    """Client: set up a call."""

    id: str
    service: str
    number: str
    dest: int = -1  # -1: determined by the routing plan, if there is one
    deadline: int = 0  # Unix time in milliseconds
    description: str = ""
    width: float = 1.0  # circuits that the call takes
    transit: bool = False
    via: int = -1  # recommended tandem, or the exchange from which a call in transit comes; -1: none
    again: bool = False  # the caller returns after an established call was cut
    new_id: bool = False  # the client sends this id for the first time


@dataclass(slots=True)
class Cancel:
    """Client: cancel a call that has not been answered."""

    id: str


@dataclass(slots=True)
class Release:
    """Client: release an established call, with a Q.850 cause."""

    id: str
    cause: int = 16


@dataclass(slots=True)
class Resume:
    """Client: request the state of a call, and its further messages on this connection."""

    id: str
    peer: str | None = None  # as the answer had it


@dataclass(slots=True)
class Confirm:
    """Client: the release of a call, which asked for it, was received and passed on."""

    id: str


@dataclass(slots=True)
class Progress:
    """Server: the call is being processed."""

    id: str


@dataclass(slots=True)
class Answer:
    """Server, final: the call is established."""

    id: str
    description: str = ""
    peer: str | None = None  # where the call stands: for clients with a name, which send it back with a resume


@dataclass(slots=True)
class Refused:
    """Server, final: the call was refused; it may be tried again under a new id after cooldown milliseconds."""

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
    """Server: the call was cancelled; no final message follows."""

    id: str


@dataclass(slots=True)
class Released:
    """Server: an established call was released."""

    id: str
    cause: int = 16
    confirm: bool | None = None  # true: the server sends it again on the client's next connection until it is confirmed


@dataclass(slots=True)
class Unconfirmed:
    """Server: it does not know the call, which may be established since before a restart of the server."""

    id: str


@dataclass(slots=True)
class State:
    """Server, destinations only: the trunk group towards it and the load of its processor."""

    free: float | None = None
    size: float | None = None
    hold_back: float | None = None


@dataclass(slots=True)
class Error:
    """Server: a message could not be processed."""

    code: str
    reason: str
    id: str | None = None


Request = SetUp | Cancel | Release | Resume | Confirm
Message = Request | Progress | Answer | Refused | Failed | Cancelled | Released | Unconfirmed | State | Error
REQUEST_TYPES: dict[str, type[Any]] = {"setup": SetUp, "cancel": Cancel, "release": Release,
                                       "resume": Resume, "confirm": Confirm}
REPLY_TYPES: dict[str, type[Any]] = {
    "progress": Progress, "answer": Answer, "refused": Refused, "failed": Failed, "cancelled": Cancelled,
    "released": Released, "unconfirmed": Unconfirmed, "state": State, "error": Error}
TYPE_NAMES = {message_type: name for name, message_type in (REQUEST_TYPES | REPLY_TYPES).items()}
FIELD_NAMES = {"class": "service"}  # by JSON key: the key class is a keyword of Python
KEY_NAMES = {"service": "class"}  # by field
MAX_TEXT_LENGTHS = {"number": 128, "service": 64, "peer": 128, "code": 64, "reason": 512,
                    "description": MAX_MESSAGE_BYTES}
INTEGER_RANGES = {"dest": (-1, 2**31), "deadline": (0, 2**53), "via": (-1, 2**31), "cooldown": (0, 2**31),
                  "cause": (1, 127)}
NUMBER_RANGES = {"width": (1e-6, 64.0), "free": (0.0, 1e9), "size": (0.0, 1e9), "hold_back": (0.0, 1.0)}
BOOLEAN_FIELDS = ("transit", "again", "new_id", "confirm")
REQUIRED_FIELDS: dict[type[Any], tuple[str, ...]] = {
    SetUp: ("id", "service", "number", "deadline"), Error: ("code", "reason"), State: ()}


def _is_encodable(text: str) -> bool:
    """Return whether a text can be encoded: JSON can contain one half of a surrogate pair."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _check_value(name: str, value: object, call: str | None) -> object:
    """Return the value if the field may have it; raises InvalidMessageError if not."""
    key, is_valid = KEY_NAMES.get(name, name), False
    if name == "id":
        is_valid = isinstance(value, str) and CALL_ID_PATTERN.fullmatch(value) is not None
    elif name in BOOLEAN_FIELDS:
        is_valid = isinstance(value, bool)
    elif name in MAX_TEXT_LENGTHS:
        is_valid = isinstance(value, str) and len(value) <= MAX_TEXT_LENGTHS[name] and (
            _is_encodable(value) if name == "description" else value.isprintable())
    elif isinstance(value, bool) or not isinstance(value, (int, float)):
        is_valid = False
    elif name in INTEGER_RANGES:
        is_valid = isinstance(value, int) and INTEGER_RANGES[name][0] <= value <= INTEGER_RANGES[name][1]
    else:
        is_valid = NUMBER_RANGES[name][0] <= value <= NUMBER_RANGES[name][1]
    if not is_valid:
        raise InvalidMessageError("bad-field", f"field {key} has an invalid value", call)
    return value


def _decode(raw: str, message_types: dict[str, type[Any]]) -> Any:
    try:
        message = json.loads(raw)
    except (ValueError, RecursionError):
        raise InvalidMessageError("bad-json", "not JSON") from None
    if not isinstance(message, dict):
        raise InvalidMessageError("bad-json", "not an object")
    raw_id = message.get("id")
    call = raw_id if isinstance(raw_id, str) and CALL_ID_PATTERN.fullmatch(raw_id) else None
    name: Any = message.get("type")
    message_type: Any = message_types.get(name) if isinstance(name, str) else None
    if message_type is None:
        raise InvalidMessageError("unknown-type", "no such type of message", call)
    fields: dict[str, Any] = {FIELD_NAMES.get(str(key), str(key)): value for key, value in message.items()}
    known_fields = message_type.__dataclass_fields__
    values = {key: _check_value(key, value, call) for key, value in fields.items()
              if key in known_fields and value is not None}
    for field in REQUIRED_FIELDS.get(message_type, ("id",)):
        if field not in values:
            raise InvalidMessageError("missing-field", f"field {KEY_NAMES.get(field, field)} is missing", call)
    return message_type(**values)


def decode_request(raw: str) -> Request:
    """Decode a client's message; unknown fields are ignored. Raises InvalidMessageError."""
    message: Request = _decode(raw, REQUEST_TYPES)
    return message


def decode_reply(raw: str) -> Message:
    """Decode a server's message; unknown fields are ignored. Raises InvalidMessageError."""
    message: Message = _decode(raw, REPLY_TYPES)
    return message


def encode_message(message: Message) -> str:
    """Encode a message as JSON; fields that are None are left out."""
    fields = {KEY_NAMES.get(name, name): value for name, value in asdict(message).items() if value is not None}
    return json.dumps({"type": TYPE_NAMES[type(message)], **fields}, separators=(",", ":"))


@dataclass(frozen=True, slots=True)
class ClientInfo:
    """What a client says about itself in its handshake."""

    name: str  # the same after a restart of the client
    # When a process started that does not know the calls of the one before it, in Unix milliseconds; None: the client
    # knows all its calls.
    started_ms: int | None = None


def encode_client_headers(info: ClientInfo) -> dict[str, str]:
    """Return the handshake headers of a client."""
    headers = {CLIENT_NAME_HEADER: quote(info.name, errors="replace")[:MAX_CLIENT_NAME_LENGTH]}
    if info.started_ms is not None:
        headers[CLIENT_STARTED_HEADER] = str(info.started_ms)
    return headers


def decode_client_headers(headers: dict[str, str]) -> ClientInfo | None:
    """Return what a client says about itself, or None if it says nothing. Raises MalformedError.

    The name stays as it was encoded, as it is only compared.
    """
    name, started = headers.get(CLIENT_NAME_HEADER), headers.get(CLIENT_STARTED_HEADER)
    if name is None:
        return None
    if not 0 < len(name) <= MAX_CLIENT_NAME_LENGTH or not (name.isascii() and name.isprintable()):
        raise MalformedError(f"header {CLIENT_NAME_HEADER}: expected 1 to {MAX_CLIENT_NAME_LENGTH} ASCII characters")
    if started is None:
        return ClientInfo(name)
    if not (started.isascii() and started.isdecimal() and len(started) <= 16 and int(started) < MAX_STARTED_MS):
        raise MalformedError(f"header {CLIENT_STARTED_HEADER}: expected a Unix time in milliseconds")
    return ClientInfo(name, int(started))
