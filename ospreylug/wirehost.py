"""Adapter that connects many controllers to one simulator: JSON lines in and out. It only translates.

Each line in is a batch of messages at one simulated time, grouped by controller instance, which the wire format
calls a proxy. Each line out is the reply to one batch: the actions of every instance in it.
"""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from ospreylug import interface as io
from ospreylug.logic import Controller

# By the code on the wire. The codes match those of gRPC: 4 is DEADLINE_EXCEEDED, 14 UNAVAILABLE.
OUTCOME_BY_CODE = {0: io.Outcome.OK, 13: io.Outcome.NUMBER_FAULT, 8: io.Outcome.TURNED_AWAY, 4: io.Outcome.TIMEOUT,
                   14: io.Outcome.UNREACHABLE, 10: io.Outcome.CUT, 1: io.Outcome.CALLED_OFF,
                   9: io.Outcome.NOT_SENT}
REPEATABILITY_BY_EFFECT = {"free": io.Repeatability.FREE, "guarded": io.Repeatability.GUARDED,
                           "single_shot": io.Repeatability.SINGLE}
SCOPE_BY_GROUP = {"all": io.RepeatScope.ALL, "zone": io.RepeatScope.ZONE, "cell": io.RepeatScope.EXCHANGE}
# By the code of the reason. PROCESSOR_FULL is not listed, as its code contains a wait, see read_event.
CAUSE_BY_REASON = {1: io.Cause.NO_CIRCUIT, 2: io.Cause.CRANKBACK, 18: io.Cause.CRANKBACK_FULL,
                   4: io.Cause.LINES_BUSY}
EMPTY_LOAD = io.Load()


class WireError(Exception):
    """A message that does not follow the wire format; the text names the message and the field."""


def require_field(message: dict[str, Any], name: str, *types: type) -> Any:
    """Return a required field of one of the given types; raise a WireError that names it otherwise."""
    value = message.get(name)
    if value is None or not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
        problem = "is missing" if value is None else f"has the wrong type {type(value).__name__}"
        raise WireError(f"{message.get('cmd', 'message')}: field {name} {problem}")
    return value


def optional_number(container: dict[str, Any], name: str, default: float) -> float:
    """Return an optional number, or the default when it is absent."""
    value = container.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise WireError(f"field {name} has the wrong type {type(value).__name__}")
    return value


def optional_list(container: dict[str, Any], name: str) -> list[Any]:
    """Return an optional array, or an empty list when it is absent."""
    value = container.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise WireError(f"field {name} has the wrong type {type(value).__name__}")
    return value


def read_settings(env: dict[str, Any]) -> io.Settings:
    """Translate the settings of an instance's first message; raise a WireError where they are invalid."""
    extra, limits, rules = (env.get(name) or {} for name in ("extra", "limits", "rules"))
    widths, holding_times, pools = (optional_list(extra, n) for n in ("channelsNeeded", "classHoldUs", "skilledPools"))
    classes = []
    for index, raw in enumerate(optional_list(env, "services")):
        effect, scope = raw.get("effect") or "free", raw.get("group") or "all"
        if effect not in REPEATABILITY_BY_EFFECT or scope not in SCOPE_BY_GROUP:
            raise WireError(f"services[{index}]: unknown effect {effect!r} or group {scope!r}")
        classes.append(io.ServiceClass(
            aim_us=int(require_field(raw, "onTimeUs", int, float)),
            deadline_us=int(require_field(raw, "deadlineUs", int, float)),
            worth=optional_number(raw, "gain", 1.0), late_worth=optional_number(raw, "lateWorth", 0.0),
            width=widths[index] if index < len(widths) else 1.0,
            hold_us=int(holding_times[index]) if index < len(holding_times) else 0,
            repeatability=REPEATABILITY_BY_EFFECT[effect], repeat_scope=SCOPE_BY_GROUP[scope],
            repeat_window_us=int(optional_number(raw, "repeatWindowUs", 0)),
            pools=tuple(int(p) for p in (pools[index] or ())) if index < len(pools) else ()))
    tenants = tuple(io.Tenant(optional_number(raw, "fraction", 0.0), optional_number(raw, "quotaPerS", 0.0))
                    for raw in optional_list(env, "orgs"))
    try:
        topology = io.Topology(extra.get("topology", "mesh"))
    except ValueError:
        raise WireError(f"extra.topology: unknown value {extra.get('topology')!r}") from None
    try:
        return io.Settings(
            controllers=int(require_field(env, "fleetSize", int)), number=int(optional_number(env, "myNumber", 0)),
            home=int(optional_number(extra, "homeOffice", -1)), topology=topology, classes=tuple(classes),
            tenants=tenants, over_share_worth=optional_number(env, "overShareWorth", 1.0),
            zone=int(optional_number(env, "zone", -1)),
            max_attempts=int(optional_number(limits, "maxAttempts", 1)),
            release_us=int(optional_number(extra, "releaseUs", 0)),
            resend_us=int(optional_number(extra, "resendUs", 0)),
            drain_grace_us=int(optional_number(rules, "drainGraceUs", 0)),
            cold_from=optional_number(rules, "coldFrom", 1.0), cold_us=int(optional_number(rules, "coldUs", 0)),
            fall_multiple=optional_number(rules, "fallMultiple", 1.0),
            fall_us=int(optional_number(rules, "fallUs", 0)),
            answer_grace_us=int(optional_number(rules, "graceToAnswerUs", 0)),
            roster_on_request=env.get("discovery") == "on_request",
            ask_every_us=int(optional_number(rules, "askEveryUs", 0)), may_probe=bool(limits.get("probes")),
            may_message=bool(limits.get("peers")), may_call_off=bool(limits.get("cancel")),
            callers_wait=bool(limits.get("retryAfter")),
            max_caller_wait_us=int(optional_number(limits, "maxRetryAfterUs", 0)),
            tandem_advice=bool(extra.get("routeAdvice")), tick_us=int(optional_number(env, "tickUs", 1000)))
    except (ValueError, OverflowError) as error:
        raise WireError(f"settings: {error}") from None


def read_entries(raw: list[Any]) -> tuple[io.Entry, ...]:
    """Translate the entries of a roster list; raise a WireError where they are malformed."""
    entries = []
    for item in raw:
        if not isinstance(item, dict):
            raise WireError("POOL: field members must contain only objects")
        readiness = require_field(item, "readiness", str)
        if readiness not in ("ready", "draining", "gone"):
            raise WireError(f"POOL: field readiness has the unknown value {readiness!r}")
        entries.append(io.Entry(
            exchange=require_field(item, "switch", str), number=int(require_field(item, "nodeNo", int, float)),
            zone=int(optional_number(item, "campus", -1)), kind=int(optional_number(item, "generationHw", 0)),
            readiness=io.Readiness(readiness), weight=optional_number(item, "heft", 1.0),
            started_us=int(optional_number(item, "launchedUs", 0)) or None))  # 0: unknown
    return tuple(entries)


def read_load(raw: Any) -> io.Load:
    """Translate a load report; values that are malformed, infinite or below zero count as absent."""
    if not isinstance(raw, dict):
        return EMPTY_LOAD

    def read_number(name: str, factor: float = 1.0) -> float | None:
        value = raw.get(name)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < float("inf"):
            return None
        return value * factor

    return io.Load(
        free=read_number("free"), size=read_number("size"), queue=read_number("backlog"),
        in_progress=read_number("outstanding"), utilization=read_number("utilization"),
        wait_us=read_number("recent_ms", 1000.0), capacity_per_s=read_number("can_take"),
        hold_back=read_number("hold_back"))


def read_event(message: dict[str, Any]) -> io.Event:
    """Translate a message that is an event, except for rosters; raise a WireError if it is malformed."""
    cmd = message.get("cmd")
    if cmd == "NEW_REQUEST":
        return io.CallOffered(
            call=require_field(message, "call", str), service=require_field(message, "qos", int),
            dest=int(require_field(message, "dest", int, float)), number=str(message.get("key") or ""),
            deadline_us=int(require_field(message, "deadlineUs", int, float)),
            width=optional_number(message, "width", 1.0),
            tenant=int(optional_number(message, "customer", 0)), transit=bool(message.get("tandemCall")),
            via=int(optional_number(message, "tandem", -1)), repeated=bool(message.get("resent")),
            cut_before=bool(message.get("reconnect")))
    if cmd == "HEADERS":
        return io.CallStands(require_field(message, "call", str), require_field(message, "go", int),
                             require_field(message, "switch", str), int(optional_number(message, "latencyUs", 0)))
    if cmd == "COMPLETED":
        code, reason = require_field(message, "outcome", int), int(optional_number(message, "why", 0))
        if code not in OUTCOME_BY_CODE:
            raise WireError(f"COMPLETED: field outcome has the unknown value {code}")
        cause, wait_ms = CAUSE_BY_REASON.get(reason, io.Cause.NONE), 0
        if reason & 15 == 3 and reason > 0:  # processor full: the bits above the lowest four are its wait in ms
            cause, wait_ms = io.Cause.PROCESSOR_FULL, reason >> 4
        return io.AttemptEnded(require_field(message, "call", str), require_field(message, "go", int),
                               require_field(message, "switch", str), OUTCOME_BY_CODE[code],
                               int(optional_number(message, "latencyUs", 0)), bool(message.get("settled")), cause,
                               wait_ms * 1000, read_load(message.get("healthInfo")))
    if cmd == "LAPSED":
        return io.CallerGone(require_field(message, "call", str))
    if cmd == "RING":
        return io.TimerDue(require_field(message, "nonce", str))
    if cmd == "HEALTH":
        return io.GroupStatus(require_field(message, "switch", str), require_field(message, "outcome", int) == 0,
                              int(optional_number(message, "latencyUs", 0)), read_load(message.get("healthInfo")))
    if cmd == "WHISPER":
        try:
            data = base64.b64decode(require_field(message, "contents", str), validate=True)
        except binascii.Error:
            raise WireError("WHISPER: field contents is not base64") from None
        return io.PeerMessage(require_field(message, "by", int), data)
    raise WireError(f"unknown message {cmd!r}")


def write_action(action: io.Action) -> dict[str, Any]:
    """Translate one action into a message."""
    match action:
        case io.SetUp(call, exchange, timeout_us):
            return {"cmd": "TRY", "call": call, "switch": exchange, "allowForUs": timeout_us}
        case io.Refuse(call, wait_us):
            return {"cmd": "BOUNCE", "call": call, "notBeforeForUs": wait_us}
        case io.Fail(call):
            return {"cmd": "DROP_REQUEST", "call": call}
        case io.CallOff(call, attempt):
            return {"cmd": "CALL_OFF", "call": call, "go": attempt}
        case io.SetTimer(token, at_us):
            return {"cmd": "DEFER", "nonce": token, "fireAtUs": at_us}
        case io.Probe(exchange):
            return {"cmd": "ASK_LOAD", "switch": exchange}
        case io.WatchRoster():
            return {"cmd": "OBSERVE", "enable": True}
        case io.FetchRoster():
            return {"cmd": "LOOKUP"}
        case io.TellPeers(data):
            return {"cmd": "SAY", "addressee": "*", "contents": base64.b64encode(data).decode("ascii")}
        case io.Log(text):
            return {"cmd": "LOG", "bodyText": text}


class Host:
    """The controllers of one process. They share only the roster lists, which messages name by page number."""

    def __init__(self, report_error: Callable[[str], None]) -> None:
        """Start without instances; report_error is called with one line for each malformed message."""
        self.report_error = report_error
        self.instances: dict[int, Controller] = {}  # by proxy number
        self.pages: dict[int, tuple[io.Entry, ...]] = {}  # roster lists by page number

    def handle(self, batch: dict[str, Any]) -> dict[str, Any]:
        """Return the reply to one batch; raise a WireError if the batch itself is malformed.

        A malformed message is answered with PANIC, and the rest of the batch is skipped for its instance only.
        """
        n, now_us = require_field(batch, "n", int), require_field(batch, "atTimeUs", int)
        replies: dict[int, list[dict[str, Any]]] = {}
        failed_proxies: set[int] = set()
        for group in optional_list(batch, "groups"):
            if not isinstance(group, dict):
                raise WireError("field groups must contain only objects")
            proxy = require_field(group, "proxy", int)
            actions = replies.setdefault(proxy, [])
            for message in optional_list(group, "msgs"):
                if not isinstance(message, dict):
                    raise WireError("field msgs must contain only objects")
                if proxy in failed_proxies:  # roster lists are still read, as other instances use them too
                    if message.get("cmd") == "POOL":
                        self.pages[require_field(message, "page", int)] = read_entries(
                            optional_list(message, "members"))
                    continue
                try:
                    actions.extend(write_action(a) for a in self.deliver(now_us, proxy, message))
                except WireError as error:
                    self.report_error(f"batch {n}, proxy {proxy}: {error}")
                    actions.append({"cmd": "PANIC", "bodyText": str(error)})
                    failed_proxies.add(proxy)
        return {"n": n, "groups": [{"proxy": p, "actions": written} for p, written in replies.items() if written]}

    def deliver(self, now_us: int, proxy: int, message: dict[str, Any]) -> list[io.Action]:
        """Process one message and return the actions of its instance; none if the instance does not exist."""
        cmd = message.get("cmd")
        if cmd == "POOL":
            self.pages[require_field(message, "page", int)] = read_entries(optional_list(message, "members"))
            return []
        if cmd == "NEW_INSTANCE":
            settings = read_settings(require_field(message, "env", dict))
            self.instances[proxy] = Controller(settings, require_field(message, "salt", int))
            return []
        if cmd == "CRASH_NOW":
            self.instances.pop(proxy, None)
            return []
        event: io.Event
        if cmd == "MEMBERS":
            form = require_field(message, "form", str)
            try:
                kind = io.RosterKind(form)
            except ValueError:
                raise WireError(f"MEMBERS: field form has the unknown value {form!r}") from None
            entries: tuple[io.Entry, ...] = ()
            if kind is not io.RosterKind.UNAVAILABLE:
                page = require_field(message, "page", int)
                if page not in self.pages:  # reported and ignored: without its list the message says nothing
                    self.report_error(f"proxy {proxy}: MEMBERS: field page names the unknown list {page}")
                    return []
                entries = self.pages[page]
            event = io.RosterChange(kind, entries)
        else:
            event = read_event(message)
        instance = self.instances.get(proxy)
        return [] if instance is None else instance.handle(now_us, event)


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until the input ends; return the exit code, which is 2 after a malformed line."""
    def report_error(text: str) -> None:
        print(f"ospreylug: {text}", file=errors, flush=True)

    host = Host(report_error)
    for line_number, line in enumerate(source, 1):
        if not line.strip():
            continue
        place = f"line {line_number}"
        try:
            batch = json.loads(line)
            if not isinstance(batch, dict):
                raise WireError("not a JSON object")
            place = f"batch {batch.get('n')}"
            reply = host.handle(batch)
        except json.JSONDecodeError as error:
            report_error(f"{place}: invalid JSON: {error.msg} at column {error.colno}")
            return 2
        except WireError as error:
            report_error(f"{place}: {error}")
            return 2
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
