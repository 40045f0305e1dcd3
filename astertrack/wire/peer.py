"""The binary protocol between call routers and peers.

message = length:2 type:1 call:8 parameters, parameter = code:1 length:2 value; sizes are in bytes, integers are
big-endian, and a message's length does not count its own two bytes. MessageDecoder serves both ends; parse_event
interprets the messages of a peer.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

from astertrack.wire.common import DESCRIPTION_HEADROOM_BYTES, MAX_MESSAGE_BYTES, Malformed, MalformedError, decode_utf8


class MessageType(IntEnum):
    """Message types."""

    SET_UP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASE_COMPLETE = 16
    GROUP_STATE = 43
    TEST = 52
    TEST_RESULT = 53


class Parameter(IntEnum):
    """Parameter codes."""

    CLASS = 1  # name of the class of call
    WAIT = 3  # time left for an answer, in milliseconds, as decimal digits
    NUMBER = 9  # the called number
    NOTE = 15  # why a set-up was released, besides the cause
    REPORT = 19  # a load report, name:value;name:value
    CAUSE = 29  # one byte: the Q.850 cause of a release; 1 in a test that requests a load report, or that was passed
    DESCRIPTION = 31


@dataclass(slots=True)
class Message:
    """One message; call is an id of 16 hexadecimal digits."""

    type: int
    call: str
    parameters: dict[int, bytes] = field(default_factory=dict)


def encode_message(message: Message) -> bytes:
    """Encode a message; raises ValueError if it is longer than MAX_MESSAGE_BYTES."""
    body = bytearray((message.type,)) + bytes.fromhex(message.call)
    for code, value in message.parameters.items():
        body += struct.pack(">BH", code, len(value)) + value
    if len(body) + 2 > MAX_MESSAGE_BYTES:
        raise ValueError("message too long")
    return struct.pack(">H", len(body)) + bytes(body)


class MessageDecoder:
    """Splits the bytes of one connection into messages, in whatever pieces they arrive."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.has_failed = False
        self.message_count = 0  # complete messages received

    @property
    def has_partial_message(self) -> bool:
        """Whether the beginning of a message has been received and its end has not."""
        return bool(self._buffer)

    def receive(self, data: bytes) -> list[Message | Malformed]:
        """Add received bytes and return the messages that they complete; after Malformed nothing more is returned."""
        events: list[Message | Malformed] = []
        if self.has_failed:
            return events
        self._buffer += data
        offset = 0
        try:
            while len(self._buffer) - offset >= 2:
                length = int.from_bytes(self._buffer[offset:offset + 2])
                if length + 2 > MAX_MESSAGE_BYTES:
                    raise MalformedError("message too long")
                if length < 9:  # the type and the call id
                    raise MalformedError("message too short")
                if len(self._buffer) - offset < 2 + length:
                    break
                events.append(self._parse_message(bytes(self._buffer[offset + 2:offset + 2 + length])))
                offset += 2 + length
                self.message_count += 1
        except MalformedError as error:
            self.has_failed = True
            self._buffer.clear()
            events.append(Malformed(str(error)))
        del self._buffer[:offset]
        return events

    @staticmethod
    def _parse_message(body: bytes) -> Message:
        parameters: dict[int, bytes] = {}
        offset = 9
        while offset < len(body):
            if offset + 3 > len(body):
                raise MalformedError("the head of a parameter is cut off")
            code, length = struct.unpack_from(">BH", body, offset)
            offset += 3
            if offset + length > len(body):
                raise MalformedError("a parameter is longer than its message")
            if code in parameters:
                raise MalformedError("a parameter occurs twice")
            parameters[code] = body[offset:offset + length]
            offset += length
        return Message(body[0], body[1:9].hex(), parameters)


@dataclass(slots=True)
class Answered:
    """The call is established."""

    call: str
    description: bytes


@dataclass(slots=True)
class Released:
    """An attempt has ended, or an established call was released."""

    call: str
    cause: int
    note: str
    report: str


@dataclass(slots=True)
class TestResult:
    """A test message, with which a link probes its peer, was answered; the report gives the peer's load."""

    call: str
    passed: bool
    report: str


@dataclass(slots=True)
class GroupState:
    """The state of the trunk group towards this peer."""

    report: str


Event = Answered | Released | TestResult | GroupState


def parse_event(message: Message) -> Event | None:
    """Interpret a peer's message; None if its type has no meaning for a call router.

    Raises MalformedError for an unknown type and for a parameter that is missing or invalid.
    """
    parameters = message.parameters
    report = decode_utf8(parameters.get(Parameter.REPORT, b""))
    cause = parameters.get(Parameter.CAUSE)
    if message.type not in MessageType.__members__.values():
        raise MalformedError("unknown message type")
    if message.type == MessageType.ANSWER:
        description = parameters.get(Parameter.DESCRIPTION)
        if description is None or len(description) > MAX_MESSAGE_BYTES - DESCRIPTION_HEADROOM_BYTES:
            raise MalformedError("the description of an answer is missing or too long to be passed on")
        return Answered(message.call, description)
    if message.type in (MessageType.RELEASE, MessageType.TEST_RESULT) and (cause is None or len(cause) != 1):
        raise MalformedError("the cause of a release or test result is not one byte")
    if message.type == MessageType.RELEASE and cause:
        return Released(message.call, cause[0], decode_utf8(parameters.get(Parameter.NOTE, b"")), report)
    if message.type == MessageType.TEST_RESULT and cause:
        return TestResult(message.call, cause[0] == 1, report)
    if message.type == MessageType.GROUP_STATE:
        return GroupState(report)
    return None


def encode_set_up(call: str, class_name: str, number: str, wait_ms: int, description: bytes) -> bytes:
    """Encode a set-up; wait_ms is the time left for an answer, in milliseconds."""
    return encode_message(Message(MessageType.SET_UP, call, {
        Parameter.CLASS: class_name.encode(), Parameter.WAIT: str(wait_ms).encode(), Parameter.NUMBER: number.encode(),
        Parameter.DESCRIPTION: description}))


def encode_release(call: str, cause: int) -> bytes:
    """Encode the release of a pending set-up (cause 16) or of an established call."""
    return encode_message(Message(MessageType.RELEASE, call, {Parameter.CAUSE: bytes((cause,))}))


def encode_test(call: str) -> bytes:
    """Encode a test message, which probes the peer and requests a load report; call is the id of the probe."""
    return encode_message(Message(MessageType.TEST, call, {Parameter.CAUSE: b"\1"}))
