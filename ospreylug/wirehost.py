"""Adapter: many controllers on one wire, JSON lines in and out. It translates and decides nothing."""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from ospreylug import interface as io
from ospreylug.logic import Controller

OUTCOMES = {0: io.Outcome.OK, 13: io.Outcome.NUMBER_FAULT, 8: io.Outcome.TURNED_AWAY, 4: io.Outcome.TIMEOUT,
            14: io.Outcome.UNREACHABLE, 10: io.Outcome.CUT, 1: io.Outcome.CALLED_OFF, 9: io.Outcome.NOT_SENT}
EFFECTS = {"free": io.Repeatability.FREE, "guarded": io.Repeatability.GUARDED,
           "single_shot": io.Repeatability.SINGLE}
SCOPES = {"all": io.RepeatScope.ALL, "zone": io.RepeatScope.ZONE, "cell": io.RepeatScope.EXCHANGE}
CAUSES = {1: io.Cause.NO_CIRCUIT, 2: io.Cause.CRANKBACK, 18: io.Cause.CRANKBACK_FULL, 4: io.Cause.LINES_BUSY}
NO_LOAD = io.Load()


class WireError(Exception):
    """A message that does not follow the wire's page; the text names the message and the field."""


def need(message: dict[str, Any], name: str, *kinds: type) -> Any:
    """Return a required field of one of the given types, or raise a WireError naming it."""
    value = message.get(name)
    if value is None or not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
        wrong = "is missing" if value is None else f"has the wrong type {type(value).__name__}"
        raise WireError(f"{message.get('cmd', 'message')}: field {name} {wrong}")
    return value


def number(holder: dict[str, Any], name: str, default: float) -> float:
    """Return an optional figure, the default when absent."""
    value = holder.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise WireError(f"field {name} has the wrong type {type(value).__name__}")
    return value


def listed(holder: dict[str, Any], name: str) -> list[Any]:
    """Return an optional array, empty when absent."""
    value = holder.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise WireError(f"field {name} has the wrong type {type(value).__name__}")
    return value


def read_settings(env: dict[str, Any]) -> io.Settings:
    """Translate the settings of the first message."""
    extra, limits, rules = (env.get(name) or {} for name in ("extra", "limits", "rules"))
    widths, holds, pools = (listed(extra, n) for n in ("channelsNeeded", "classHoldUs", "skilledPools"))
    classes = []
    for at, raw in enumerate(listed(env, "services")):
        effect, scope = raw.get("effect") or "free", raw.get("group") or "all"
        if effect not in EFFECTS or scope not in SCOPES:
            raise WireError(f"services[{at}]: unknown effect {effect!r} or group {scope!r}")
        classes.append(io.ServiceClass(
            aim_us=int(need(raw, "onTimeUs", int, float)),
            deadline_us=int(need(raw, "deadlineUs", int, float)),
            worth=number(raw, "gain", 1.0), late_worth=number(raw, "lateWorth", 0.0),
            width=widths[at] if at < len(widths) else 1.0, hold_us=int(holds[at]) if at < len(holds) else 0,
            repeatability=EFFECTS[effect], repeat_scope=SCOPES[scope],
            repeat_window_us=int(number(raw, "repeatWindowUs", 0)),
            pools=tuple(int(p) for p in (pools[at] or ())) if at < len(pools) else ()))
    tenants = tuple(io.Tenant(number(raw, "fraction", 0.0), number(raw, "quotaPerS", 0.0))
                    for raw in listed(env, "orgs"))
    try:
        topology = io.Topology(extra.get("topology", "mesh"))
    except ValueError:
        raise WireError(f"extra.topology: unknown value {extra.get('topology')!r}") from None
    try:
        return io.Settings(
            controllers=int(need(env, "fleetSize", int)), number=int(number(env, "myNumber", 0)),
            home=int(number(extra, "homeOffice", -1)), topology=topology, classes=tuple(classes),
            tenants=tenants, over_share_worth=number(env, "overShareWorth", 1.0),
            zone=int(number(env, "zone", -1)),
            max_attempts=int(number(limits, "maxAttempts", 1)), release_us=int(number(extra, "releaseUs", 0)),
            resend_us=int(number(extra, "resendUs", 0)),
            drain_grace_us=int(number(rules, "drainGraceUs", 0)), cold_from=number(rules, "coldFrom", 1.0),
            cold_us=int(number(rules, "coldUs", 0)), fall_multiple=number(rules, "fallMultiple", 1.0),
            fall_us=int(number(rules, "fallUs", 0)), answer_grace_us=int(number(rules, "graceToAnswerUs", 0)),
            roster_on_request=env.get("discovery") == "on_request",
            ask_every_us=int(number(rules, "askEveryUs", 0)), may_probe=bool(limits.get("probes")),
            may_message=bool(limits.get("peers")), may_call_off=bool(limits.get("cancel")),
            callers_wait=bool(limits.get("retryAfter")),
            max_caller_wait_us=int(number(limits, "maxRetryAfterUs", 0)),
            tandem_advice=bool(extra.get("routeAdvice")), tick_us=int(number(env, "tickUs", 1000)))
    except ValueError as wrong:
        raise WireError(f"settings: {wrong}") from None


def read_entries(raw: list[Any]) -> tuple[io.Entry, ...]:
    """Translate the entries of a list."""
    entries = []
    for item in raw:
        if not isinstance(item, dict):
            raise WireError("POOL: field members holds something other than objects")
        readiness = need(item, "readiness", str)
        if readiness not in ("ready", "draining", "gone"):
            raise WireError(f"POOL: field readiness has the unknown value {readiness!r}")
        entries.append(io.Entry(
            exchange=need(item, "switch", str), number=int(need(item, "nodeNo", int, float)),
            zone=int(number(item, "campus", -1)), kind=int(number(item, "generationHw", 0)),
            readiness=io.Readiness(readiness), weight=number(item, "heft", 1.0),
            started_us=int(number(item, "launchedUs", 0)) or None))
    return tuple(entries)


def read_load(raw: Any) -> io.Load:
    """Translate a load report; unknown values and those below zero are not told."""
    if not isinstance(raw, dict):
        return NO_LOAD

    def told(name: str, factor: float = 1.0) -> float | None:
        value = raw.get(name)
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < float("inf"):
            return None
        return value * factor

    return io.Load(free=told("free"), size=told("size"), queue=told("backlog"), in_progress=told("outstanding"),
                   utilization=told("utilization"), wait_us=told("recent_ms", 1000.0), capacity_per_s=told("can_take"),
                   hold_back=told("hold_back"))


def read_event(message: dict[str, Any]) -> io.Event:
    """Translate one message for a running instance, lists apart."""
    cmd = message.get("cmd")
    if cmd == "NEW_REQUEST":
        return io.CallOffered(
            call=need(message, "call", str), service=need(message, "qos", int),
            dest=int(need(message, "dest", int, float)), number=str(message.get("key") or ""),
            deadline_us=int(need(message, "deadlineUs", int, float)), width=number(message, "width", 1.0),
            tenant=int(number(message, "customer", 0)), transit=bool(message.get("tandemCall")),
            via=int(number(message, "tandem", -1)), repeated=bool(message.get("resent")),
            cut_before=bool(message.get("reconnect")))
    if cmd == "HEADERS":
        return io.CallStands(need(message, "call", str), need(message, "go", int),
                             need(message, "switch", str), int(number(message, "latencyUs", 0)))
    if cmd == "COMPLETED":
        code, why = need(message, "outcome", int), int(number(message, "why", 0))
        if code not in OUTCOMES:
            raise WireError(f"COMPLETED: field outcome has the unknown value {code}")
        cause, wait_ms = CAUSES.get(why, io.Cause.NONE), 0
        if why & 15 == 3 and why > 0:
            cause, wait_ms = io.Cause.PROCESSOR_FULL, why >> 4
        return io.AttemptEnded(need(message, "call", str), need(message, "go", int),
                               need(message, "switch", str), OUTCOMES[code],
                               int(number(message, "latencyUs", 0)), bool(message.get("settled")), cause,
                               wait_ms * 1000, read_load(message.get("healthInfo")))
    if cmd == "LAPSED":
        return io.CallerGone(need(message, "call", str))
    if cmd == "RING":
        return io.TimerDue(need(message, "nonce", str))
    if cmd == "HEALTH":
        return io.GroupStatus(need(message, "switch", str), need(message, "outcome", int) == 0,
                              int(number(message, "latencyUs", 0)), read_load(message.get("healthInfo")))
    if cmd == "WHISPER":
        try:
            data = base64.b64decode(need(message, "contents", str), validate=True)
        except binascii.Error:
            raise WireError("WHISPER: field contents is not base64") from None
        return io.PeerMessage(need(message, "by", int), data)
    raise WireError(f"unknown message {cmd!r}")


def write_action(action: io.Action) -> dict[str, Any]:
    """Translate one action."""
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
    """The instances of one process; they share nothing but the numbered lists, as the wire has it."""

    def __init__(self, complain: Callable[[str], None]) -> None:
        """Start with no instance; complain takes one line about what is malformed."""
        self.complain = complain
        self.instances: dict[int, Controller] = {}
        self.pages: dict[int, tuple[io.Entry, ...]] = {}

    def handle(self, batch: dict[str, Any]) -> dict[str, Any]:
        """Answer one batch."""
        n, now = need(batch, "n", int), need(batch, "atTimeUs", int)
        replies: dict[int, list[dict[str, Any]]] = {}
        broken: set[int] = set()
        for group in listed(batch, "groups"):
            if not isinstance(group, dict):
                raise WireError("field groups holds something other than objects")
            proxy = need(group, "proxy", int)
            out = replies.setdefault(proxy, [])
            for message in listed(group, "msgs"):
                if not isinstance(message, dict):
                    raise WireError("field msgs holds something other than objects")
                if proxy in broken:  # after its PANIC only the shared lists are still read
                    if message.get("cmd") == "POOL":
                        self.pages[need(message, "page", int)] = read_entries(listed(message, "members"))
                    continue
                try:
                    out.extend(write_action(a) for a in self.deliver(now, proxy, message))
                except WireError as wrong:
                    self.complain(f"batch {n}, proxy {proxy}: {wrong}")
                    out.append({"cmd": "PANIC", "bodyText": str(wrong)})
                    broken.add(proxy)
        return {"n": n, "groups": [{"proxy": p, "actions": acts} for p, acts in replies.items() if acts]}

    def deliver(self, now: int, proxy: int, message: dict[str, Any]) -> list[io.Action]:
        """Hand one message to its instance and return what it does."""
        cmd = message.get("cmd")
        if cmd == "POOL":
            self.pages[need(message, "page", int)] = read_entries(listed(message, "members"))
            return []
        if cmd == "NEW_INSTANCE":
            settings = read_settings(need(message, "env", dict))
            self.instances[proxy] = Controller(settings, need(message, "salt", int))
            return []
        if cmd == "CRASH_NOW":
            self.instances.pop(proxy, None)
            return []
        event: io.Event
        if cmd == "MEMBERS":
            form = need(message, "form", str)
            try:
                kind = io.RosterKind(form)
            except ValueError:
                raise WireError(f"MEMBERS: field form has the unknown value {form!r}") from None
            entries: tuple[io.Entry, ...] = ()
            if kind is not io.RosterKind.UNAVAILABLE:
                page = need(message, "page", int)
                if page not in self.pages:  # a list that was never given tells nothing
                    self.complain(f"proxy {proxy}: MEMBERS: field page names the unknown list {page}")
                    return []
                entries = self.pages[page]
            event = io.RosterChange(kind, entries)
        else:
            event = read_event(message)
        instance = self.instances.get(proxy)
        return [] if instance is None else instance.handle(now, event)


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until input ends; returns the exit code."""
    def complain(text: str) -> None:
        print(f"ospreylug: {text}", file=errors, flush=True)

    host = Host(complain)
    for at, line in enumerate(source, 1):
        if not line.strip():
            continue
        where = f"line {at}"
        try:
            batch = json.loads(line)
            if not isinstance(batch, dict):
                raise WireError("not an object")
            where = f"batch {batch.get('n')}"
            reply = host.handle(batch)
        except json.JSONDecodeError as wrong:
            complain(f"{where}: not JSON: {wrong.msg} at column {wrong.colno}")
            return 2
        except WireError as wrong:
            complain(f"{where}: {wrong}")
            return 2
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
