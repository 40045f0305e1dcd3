"""The binary messages between call routers and peers.

message = length:2 type:1 call:8 parameters, parameter = code:1 length:2 value; big-endian. Stream serves
either end; read_event tells what a peer's message means.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

from astertrack.wire.common import DESCRIPTION_HEADROOM_BYTES, MAX_MESSAGE_BYTES, Malformed, MalformedError, decode_utf8


class MessageType(IntEnum):
    """Types of message."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_COMPLETE = 16
    GROUP_STATE = 43
    TEST = 52
    TEST_RESULT = 53


class Parameter(IntEnum):
    """Codes of parameters."""

    CLASS = 1
    WAIT = 3
    NUMBER = 9
    NOTE = 15
    REPORT = 19
    CAUSE = 29
    DESCRIPTION = 31


@dataclass(slots=True)
class Message:
    """One message; call is 16 hex digits."""

    type: int
    call: str
    parameters: dict[int, bytes] = field(default_factory=dict)


def encode_message(message: Message) -> bytes:
    """Put a message together."""
    body = bytearray((message.type,)) + bytes.fromhex(message.call)
    for code, value in message.parameters.items():
        body += struct.pack(">BH", code, len(value)) + value
    if len(body) + 2 > MAX_MESSAGE_BYTES:
        raise ValueError("message too long")
    return struct.pack(">H", len(body)) + bytes(body)


class MessageDecoder:
    """Cuts what comes on one connection into messages, at any split of the bytes."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.has_failed = False

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self._buffer)

    def receive(self, data: bytes) -> list[Message | Malformed]:
        """Take bytes; return the messages that they complete."""
        events: list[Message | Malformed] = []
        if self.has_failed:
            return events
        self._buffer += data
        at = 0
        try:
            while len(self._buffer) - at >= 2:
                length = int.from_bytes(self._buffer[at:at + 2])
                if length + 2 > MAX_MESSAGE_BYTES:
                    raise MalformedError("message too long")
                if length < 9:
                    raise MalformedError("message too short")
                if len(self._buffer) - at < 2 + length:
                    break
                events.append(self._message(bytes(self._buffer[at + 2:at + 2 + length])))
                at += 2 + length
        except MalformedError as wrong:
            self.has_failed = True
            self._buffer.clear()
            events.append(Malformed(str(wrong)))
        del self._buffer[:at]
        return events

    @staticmethod
    def _message(body: bytes) -> Message:
        parameters: dict[int, bytes] = {}
        at = 9
        while at < len(body):
            if at + 3 > len(body):
                raise MalformedError("a parameter that is cut off")
            code, length = struct.unpack_from(">BH", body, at)
            at += 3
            if at + length > len(body):
                raise MalformedError("a parameter longer than its message")
            if code in parameters:
                raise MalformedError("a parameter that comes twice")
            parameters[code] = body[at:at + length]
            at += length
        return Message(body[0], body[1:9].hex(), parameters)


@dataclass(slots=True)
class Answered:
    """The call stands."""

    call: str
    description: bytes


@dataclass(slots=True)
class Released:
    """An attempt has ended, or a call that stood."""

    call: str
    cause: int
    note: str
    report: str


@dataclass(slots=True)
class TestResult:
    """A test was answered."""

    call: str
    passed: bool
    report: str


@dataclass(slots=True)
class GroupState:
    """The state of the group towards this peer."""

    report: str


Event = Answered | Released | TestResult | GroupState


def parse_event(message: Message) -> Event | None:
    """Say what a peer's message means; None where it means nothing to a call router."""
    parameters = message.parameters
    report = decode_utf8(parameters.get(Parameter.REPORT, b""))
    cause = parameters.get(Parameter.CAUSE)
    if message.type not in MessageType.__members__.values():
        raise MalformedError("an unknown type of message")
    if message.type == MessageType.ANSWER:
        description = parameters.get(Parameter.DESCRIPTION)
        if description is None or len(description) > MAX_MESSAGE_BYTES - DESCRIPTION_HEADROOM_BYTES:
            raise MalformedError("an answer without a description that can be passed on")
        return Answered(message.call, description)
    if message.type in (MessageType.RELEASE, MessageType.TEST_RESULT) and (cause is None or len(cause) != 1):
        raise MalformedError("a release or test result without a cause of one byte")
    if message.type == MessageType.RELEASE and cause:
        return Released(message.call, cause[0], decode_utf8(parameters.get(Parameter.NOTE, b"")), report)
    if message.type == MessageType.TEST_RESULT and cause:
        return TestResult(message.call, cause[0] == 1, report)
    if message.type == MessageType.GROUP_STATE:
        return GroupState(report)
    return None


def encode_set_up(call: str, tier: str, number: str, wait_ms: int, description: bytes) -> bytes:
    """A set-up."""
    return encode_message(Message(MessageType.SET_UP, call, {
        Parameter.CLASS: tier.encode(), Parameter.WAIT: str(wait_ms).encode(), Parameter.NUMBER: number.encode(),
        Parameter.DESCRIPTION: description}))


def encode_release(call: str, cause: int) -> bytes:
    """The end of a set-up (cause 16) or of a call that stands."""
    return encode_message(Message(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,))}))


def encode_test(call: str) -> bytes:
    """A test that asks for a report."""
    return encode_message(Message(MessageType.TEST, call, {Parameter.CAUSE: b"\1"}))
