"""The callers' side of the platform's protocol: a small part of SIP over TCP (RFC 3261).

Stream cuts bytes into messages, and serves either end. Server is what a call router knows of one connection
from callers: which set-ups are open on it, and how to answer them.
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
CONTROL_CHARACTERS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")  # what no header may hold; a search costs less than a loop
CAUSE_PATTERN = re.compile(r"cause\s*=\s*([0-9]{1,3})", re.ASCII)


@dataclass(slots=True)
class Message:
    """A request (method and uri) or a response (status); header names are lower-case, the first of each."""

    method: str
    uri: str
    status: int
    headers: dict[str, str]
    body: bytes


class MessageDecoder:
    """Cuts what comes on one connection into messages, at any split of the bytes."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0
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
        try:
            while (message := self._next()) is not None:
                events.append(message)
        except MalformedError as wrong:
            self.has_failed = True
            self._buffer.clear()
            events.append(Malformed(str(wrong)))
        return events

    def _next(self) -> Message | None:
        while self._buffer[:2] == b"\r\n":  # keep-alives between messages (RFC 5626)
            del self._buffer[:2]
        end = self._buffer.find(b"\r\n\r\n", max(0, self._scanned - 3))
        if end < 0:
            self._scanned = len(self._buffer)
            if self._scanned > MAX_MESSAGE_BYTES:
                raise MalformedError("head too long")
            return None
        if end + 4 > MAX_MESSAGE_BYTES:
            raise MalformedError("head too long")
        first, headers = self._head(decode_utf8(self._buffer[:end]))
        length = parse_integer(headers.get("content-length", "missing"), "Content-Length", 0, MAX_MESSAGE_BYTES)
        if end + 4 + length > MAX_MESSAGE_BYTES:
            raise MalformedError("message too long")
        if len(self._buffer) < end + 4 + length:
            self._scanned = end + 3
            return None
        body = bytes(self._buffer[end + 4:end + 4 + length])
        del self._buffer[:end + 4 + length]
        self._scanned = 0
        return self._message(first, headers, body)

    @staticmethod
    def _head(head: str) -> tuple[str, dict[str, str]]:
        first, *lines = head.split("\r\n")
        if CONTROL_CHARACTERS.search(head.replace("\r\n", "")):
            raise MalformedError("control characters in a head")
        headers: dict[str, str] = {}
        last = ""
        for line in lines:
            if line[:1] in (" ", "\t"):  # a folded line goes on with the one before
                if not last:
                    raise MalformedError("a folded line with nothing before it")
                headers[last] += " " + line.strip()
                continue
            name, colon, value = line.partition(":")
            last, value = name.rstrip().lower(), value.strip()
            if not colon or not last:
                raise MalformedError("a header without a name")
            if headers.setdefault(last, value) != value and last == "content-length":
                raise MalformedError("two Content-Lengths that differ")
        return first, headers

    @staticmethod
    def _message(first: str, headers: dict[str, str], body: bytes) -> Message:
        words = first.split(" ", 2)
        if words[0] == "SIP/2.0" and len(words) >= 2:
            return Message("", "", parse_integer(words[1], "status", 100, 699), headers, body)
        if len(words) != 3 or words[2] != "SIP/2.0" or not words[0].isalpha() or not words[1]:
            raise MalformedError("neither a request nor a status line")
        return Message(words[0], words[1], 0, headers, body)


def encode_message(first: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Put a message together."""
    lines = [first, *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


@dataclass(slots=True)
class SetUp:
    """A call offered."""

    call: str
    number: str
    tier: str
    wait_ms: int
    attrs: str
    description: bytes


@dataclass(slots=True)
class CallCancelled:
    """The caller gives up a set-up."""

    call: str


@dataclass(slots=True)
class CallReleased:
    """The caller releases a call that stands."""

    call: str
    cause: int


@dataclass(slots=True)
class Acknowledged:
    """The caller has seen the final answer."""

    call: str


@dataclass(slots=True)
class ReleaseConfirmed:
    """The caller has heard our release of a call."""

    call: str


Event = SetUp | CallCancelled | CallReleased | Acknowledged | ReleaseConfirmed | Malformed


@dataclass(slots=True)
class PendingInvite:
    """A set-up that is not answered: the headers that its answer echoes, and what tells it from another."""

    headers: dict[str, str]
    uri: str
    body: bytes


@dataclass(slots=True)
class ServerConnection:
    """One connection from callers: bytes in by receive, bytes out by take."""

    pending_invites: dict[str, PendingInvite] = field(default_factory=dict)  # set-ups not answered, by call
    message_count: int = 0  # whole ones that came
    _stream: MessageDecoder = field(default_factory=MessageDecoder)
    _out: bytearray = field(default_factory=bytearray)

    def take_output(self) -> bytes:
        """Return what is to be written, once."""
        out = bytes(self._out)
        self._out.clear()
        return out

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has begun and not ended."""
        return self._stream.has_partial_message

    def receive(self, data: bytes) -> list[Event]:
        """Take bytes; return what the callers did. Tests, and what cannot be read, are answered here."""
        events: list[Event] = []
        for message in self._stream.receive(data):
            if isinstance(message, Malformed):
                self._respond({}, 400)
                events.append(message)
                continue
            self.message_count += 1
            try:
                event = self._event(message)
            except MalformedError as wrong:
                self._stream.has_failed = True
                if message.headers.get("call-id", "") not in self.pending_invites:  # else its own answer is still owed
                    self._respond(message.headers, 400)
                events.append(Malformed(str(wrong)))
                break
            if event is not None:
                events.append(event)
        return events

    def _event(self, message: Message) -> Event | None:
        if message.status:
            call = message.headers.get("call-id", "")
            ours = message.status < 300 and message.headers.get("cseq", "").endswith("BYE")
            return ReleaseConfirmed(call) if ours else None
        if message.method == "OPTIONS":
            self._respond(message.headers, 200)
            return None
        if message.method == "NOTIFY":
            return None
        call = message.headers.get("call-id", "")
        if not CALL_ID_PATTERN.fullmatch(call):
            raise MalformedError("Call-ID: not 16 hex digits")
        if message.method == "INVITE":
            return self._invite(call, message)
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

    def _invite(self, call: str, message: Message) -> Event | None:
        scheme, _, address = message.uri.partition(":")
        if scheme != "sip":
            raise MalformedError("not a sip: address")
        wait = parse_integer(message.headers.get("x-deadline", "missing"), "X-Deadline", 0, 10**9)
        if (offer := self.pending_invites.get(call)) is not None:
            if offer.uri != message.uri or offer.body != message.body:
                raise MalformedError("the id of an open set-up with another description")
            return None  # the same set-up again on the same connection: its answer is still to come
        if len(message.body) + len(address) > MAX_MESSAGE_BYTES - DESCRIPTION_HEADROOM_BYTES:
            raise MalformedError("a set-up too long to be passed on")
        self.pending_invites[call] = PendingInvite(
            {name: message.headers[name] for name in ECHOED_HEADERS if name in message.headers},
            message.uri, message.body)
        return SetUp(call, address.partition("@")[0], message.headers.get("x-tier", ""), wait,
                     message.headers.get("x-attrs", ""), message.body)

    def answer(self, call: str, description: bytes) -> bool:
        """Answer a set-up: the call stands. False if it is not open here."""
        return self._final(call, 200, body=description)

    def refuse(self, call: str, status: int, cooldown_ms: int | None = None) -> bool:
        """Refuse a set-up, or say that it has failed."""
        more = [] if cooldown_ms is None else [("X-Cooldown", str(cooldown_ms))]
        return self._final(call, status, more)

    def release(self, call: str, cause: int) -> None:
        """Release a call that stands, whichever connection it came on."""
        self._out += encode_message(f"BYE sip:{call}@net SIP/2.0", [
            ("Via", "SIP/2.0/TCP router"), ("Call-ID", call), ("CSeq", "2 BYE"),
            ("Reason", f"Q.850;cause={cause}")])

    def _final(self, call: str, status: int, more: list[tuple[str, str]] | None = None,
               body: bytes = b"") -> bool:
        offer = self.pending_invites.pop(call, None)
        if offer is None:
            return False
        self._respond(offer.headers, status, more, body)
        return True

    def _respond(self, headers: dict[str, str], status: int, more: list[tuple[str, str]] | None = None,
                 body: bytes = b"") -> None:
        names = {"via": "Via", "from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq"}
        echoed = [(names[name], headers[name]) for name in ECHOED_HEADERS if name in headers]
        self._out += encode_message(f"SIP/2.0 {status} {REASON_PHRASES[status]}", echoed + (more or []), body)
