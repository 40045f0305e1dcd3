"""The protocol between callers and a call router: a small subset of SIP over TCP (RFC 3261).

MessageDecoder splits a byte stream into messages and serves both ends. ServerConnection is the call router's end of
one connection from callers: it tracks the set-ups that are pending on it and encodes the answers.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from astertrack.wire.common import (
    DESCRIPTION_HEADROOM_BYTES,
    MAX_MESSAGE_BYTES,
    Malformed,
    MalformedError,
    decode_utf8,
    parse_integer,
)

CALL_ID_PATTERN = re.compile(r"[0-9a-f]{16}", re.ASCII)
REASON_PHRASES = {100: "Trying", 200: "OK", 400: "Bad Request", 480: "Temporarily Unavailable",
                  481: "Call/Transaction Does Not Exist", 487: "Request Terminated",
                  500: "Server Internal Error", 501: "Not Implemented",
                  503: "Service Unavailable"}
ECHOED_HEADERS = ("via", "from", "to", "call-id", "cseq")
# One search with this pattern costs less than a loop over the characters.
CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")  # not allowed in headers
CAUSE_PATTERN = re.compile(r"cause\s*=\s*([0-9]{1,3})", re.ASCII)


@dataclass(slots=True)
class Message:
    """A request (method and uri) or a response (status, from 100 to 699).

    The fields of the other kind are empty or 0. Header names are in lower case; of a repeated header, the first
    value counts.
    """

    method: str
    uri: str
    status: int
    headers: dict[str, str]
    body: bytes


class MessageDecoder:
    """Splits the bytes of one connection into messages, in whatever pieces they arrive."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned_bytes = 0  # of the buffer, which need not be searched again for the end of the head
        self.has_failed = False  # nothing more is decoded

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
        try:
            while (message := self._next_message()) is not None:
                events.append(message)
        except MalformedError as error:
            self.has_failed = True
            self._buffer.clear()
            events.append(Malformed(str(error)))
        return events

    def _next_message(self) -> Message | None:
        while self._buffer[:2] == b"\r\n":  # keep-alives between messages (RFC 5626)
            del self._buffer[:2]
        head_end = self._buffer.find(b"\r\n\r\n", max(0, self._scanned_bytes - 3))
        if head_end < 0:
            self._scanned_bytes = len(self._buffer)
            if self._scanned_bytes > MAX_MESSAGE_BYTES:
                raise MalformedError("head too long")
            return None
        if head_end + 4 > MAX_MESSAGE_BYTES:
            raise MalformedError("head too long")
        start_line, headers = self._parse_head(decode_utf8(self._buffer[:head_end]))
        length = parse_integer(headers.get("content-length", "missing"), "Content-Length", 0, MAX_MESSAGE_BYTES)
        if head_end + 4 + length > MAX_MESSAGE_BYTES:
            raise MalformedError("message too long")
        if len(self._buffer) < head_end + 4 + length:
            self._scanned_bytes = head_end + 3
            return None
        body = bytes(self._buffer[head_end + 4:head_end + 4 + length])
        del self._buffer[:head_end + 4 + length]
        self._scanned_bytes = 0
        return self._make_message(start_line, headers, body)

    @staticmethod
    def _parse_head(head: str) -> tuple[str, dict[str, str]]:
        start_line, *lines = head.split("\r\n")
        if CONTROL_CHARACTERS.search(head.replace("\r\n", "")):
            raise MalformedError("control characters in the head")
        headers: dict[str, str] = {}
        last_name = ""
        for line in lines:
            if line[:1] in (" ", "\t"):  # a folded line continues the header before it
                if not last_name:
                    raise MalformedError("a folded line without a header before it")
                headers[last_name] += " " + line.strip()
                continue
            name, colon, value = line.partition(":")
            last_name, value = name.rstrip().lower(), value.strip()
            if not colon or not last_name:
                raise MalformedError("a header line without a name")
            if headers.setdefault(last_name, value) != value and last_name == "content-length":
                raise MalformedError("Content-Length headers that differ")
        return start_line, headers

    @staticmethod
    def _make_message(start_line: str, headers: dict[str, str], body: bytes) -> Message:
        words = start_line.split(" ", 2)
        if words[0] == "SIP/2.0" and len(words) >= 2:
            return Message("", "", parse_integer(words[1], "status", 100, 699), headers, body)
        if len(words) != 3 or words[2] != "SIP/2.0" or not words[0].isalpha() or not words[1]:
            raise MalformedError("neither a request line nor a status line")
        return Message(words[0], words[1], 0, headers, body)


def encode_message(start_line: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Encode a message from its start line, headers and body; Content-Length is added."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


@dataclass(slots=True)
class SetUp:
    """An INVITE: a caller offers a call, and waits wait_ms milliseconds for the final response."""

    call: str
    number: str
    class_name: str  # of the class of call, from X-Tier
    wait_ms: int
    attrs: str  # name:value;name:value, from X-Attrs
    description: bytes


@dataclass(slots=True)
class CallCancelled:
    """A CANCEL: the caller cancels a set-up."""

    call: str


@dataclass(slots=True)
class CallReleased:
    """A BYE: the caller releases an established call, with a Q.850 cause."""

    call: str
    cause: int


@dataclass(slots=True)
class Acknowledged:
    """An ACK: the caller has received the final response."""

    call: str


@dataclass(slots=True)
class ReleaseConfirmed:
    """A response to our BYE: the caller has received the release of a call."""

    call: str


Event = SetUp | CallCancelled | CallReleased | Acknowledged | ReleaseConfirmed | Malformed


@dataclass(slots=True)
class PendingInvite:
    """An INVITE without a final response: the headers that the response echoes, and what identifies the INVITE."""

    headers: dict[str, str]
    uri: str
    body: bytes


@dataclass(slots=True)
class ServerConnection:
    """The call router's end of one connection from callers: receive takes bytes, take_output returns bytes."""

    pending_invites: dict[str, PendingInvite] = field(default_factory=dict)  # by call id
    message_count: int = 0  # complete messages received
    _decoder: MessageDecoder = field(default_factory=MessageDecoder)
    _output: bytearray = field(default_factory=bytearray)

    def take_output(self) -> bytes:
        """Return the bytes to write and forget them."""
        output = bytes(self._output)
        self._output.clear()
        return output

    @property
    def has_partial_message(self) -> bool:
        """Whether the beginning of a message has been received and its end has not."""
        return self._decoder.has_partial_message

    def receive(self, data: bytes) -> list[Event]:
        """Add received bytes and return the callers' events.

        OPTIONS, CANCEL, BYE, methods that are not implemented and malformed messages are answered here.
        """
        events: list[Event] = []
        for message in self._decoder.receive(data):
            if isinstance(message, Malformed):
                self._respond({}, 400)
                events.append(message)
                continue
            self.message_count += 1
            try:
                event = self._handle_message(message)
            except MalformedError as error:
                self._decoder.has_failed = True
                # A set-up with this id that is pending is sent its own final response by the owner of this object.
                if message.headers.get("call-id", "") not in self.pending_invites:
                    self._respond(message.headers, 400)
                events.append(Malformed(str(error)))
                break
            if event is not None:
                events.append(event)
        return events

    def _handle_message(self, message: Message) -> Event | None:
        if message.status:
            call = message.headers.get("call-id", "")
            confirms_bye = message.status < 300 and message.headers.get("cseq", "").endswith("BYE")
            return ReleaseConfirmed(call) if confirms_bye else None
        if message.method == "OPTIONS":
            self._respond(message.headers, 200)
            return None
        if message.method == "NOTIFY":  # the state of a trunk group; it wants no response
            return None
        call = message.headers.get("call-id", "")
        if not CALL_ID_PATTERN.fullmatch(call):
            raise MalformedError("Call-ID: not 16 hex digits")
        if message.method == "INVITE":
            return self._handle_invite(call, message)
        if message.method == "CANCEL":
            self._respond(message.headers, 200)
            return CallCancelled(call)
        if message.method == "BYE":
            self._respond(message.headers, 200)
            cause = CAUSE_PATTERN.search(message.headers.get("reason", ""))
            return CallReleased(call, min(int(cause[1]), 127) if cause else 16)
        if message.method == "ACK":
            return Acknowledged(call)
        self._respond(message.headers, 501)
        return None

    def _handle_invite(self, call: str, message: Message) -> Event | None:
        scheme, _, address = message.uri.partition(":")
        if scheme != "sip":
            raise MalformedError("the address is not a sip: URI")
        wait_ms = parse_integer(message.headers.get("x-deadline", "missing"), "X-Deadline", 0, 10**9)
        if (invite := self.pending_invites.get(call)) is not None:
            if invite.uri != message.uri or invite.body != message.body:
                raise MalformedError("the id of a pending set-up with another address or description")
            return None  # the INVITE was sent again on the same connection; its response is still to come
        if len(message.body) + len(address) > MAX_MESSAGE_BYTES - DESCRIPTION_HEADROOM_BYTES:
            raise MalformedError("address and description too long to be passed on")
        self.pending_invites[call] = PendingInvite(
            {name: message.headers[name] for name in ECHOED_HEADERS if name in message.headers},
            message.uri, message.body)
        return SetUp(call, address.partition("@")[0], message.headers.get("x-tier", ""), wait_ms,
                     message.headers.get("x-attrs", ""), message.body)

    def answer(self, call: str, description: bytes) -> bool:
        """Answer a set-up: the call is established. Returns False if the set-up is not pending here."""
        return self._send_final(call, 200, body=description)

    def reject(self, call: str, status: int, cooldown_ms: int | None = None) -> bool:
        """Send a final response other than 200 to a set-up: it is refused, has failed or was cancelled.

        Returns False if the set-up is not pending here.
        """
        extra_headers = [] if cooldown_ms is None else [("X-Cooldown", str(cooldown_ms))]
        return self._send_final(call, status, extra_headers)

    def release(self, call: str, cause: int) -> None:
        """Send a BYE for an established call, whichever connection its INVITE arrived on."""
        self._output += encode_message(f"BYE sip:{call}@net SIP/2.0", [
            ("Via", "SIP/2.0/TCP router"), ("Call-ID", call), ("CSeq", "2 BYE"),
            ("Reason", f"Q.850;cause={cause}")])

    def _send_final(self, call: str, status: int, extra_headers: list[tuple[str, str]] | None = None,
                    body: bytes = b"") -> bool:
        invite = self.pending_invites.pop(call, None)
        if invite is None:
            return False
        self._respond(invite.headers, status, extra_headers, body)
        return True

    def _respond(self, headers: dict[str, str], status: int, extra_headers: list[tuple[str, str]] | None = None,
                 body: bytes = b"") -> None:
        names = {"via": "Via", "from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq"}
        echoed = [(names[name], headers[name]) for name in ECHOED_HEADERS if name in headers]
        self._output += encode_message(
            f"SIP/2.0 {status} {REASON_PHRASES[status]}", echoed + (extra_headers or []), body)
