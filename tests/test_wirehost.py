"""The adapter: the translation of every message, malformed input, and a call through the real process."""

import io as stdlib_io
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ospreylug import interface as io
from ospreylug import wirehost

ROOT = Path(__file__).parent.parent
# It contains fields that the adapter does not read, such as areas, kinds, givesWait and news.
ENV: dict[str, Any] = {
    "areas": ["here"], "discovery": "pushed", "fleetSize": 3, "kinds": ["k"], "myNumber": 0, "orgs": [
        {"name": "t", "fraction": 0.5, "quotaPerS": 12.0}], "overShareWorth": 0.1, "tickUs": 5000, "zone": 0,
    "extra": {"channelsNeeded": [1, 3], "classHoldUs": [9000000, 5000000], "givesWait": True, "homeOffice": 0,
              "releaseUs": 500000, "resendUs": 250000, "topology": "mesh", "skilledPools": [], "news": 1},
    "limits": {"cancel": True, "maxAttempts": 6, "maxRetryAfterUs": 2000000, "peers": True, "probes": False,
               "retryAfter": True},
    "rules": {"askEveryUs": 10000000, "coldFrom": 0.3, "coldUs": 13000000, "drainGraceUs": 500000,
              "fallMultiple": 3.0, "fallUs": 3000000, "graceToAnswerUs": 20000},
    "services": [
        {"deadlineUs": 9000000, "effect": "free", "gain": 1.0, "group": "all", "lateWorth": 0.25,
         "name": "a", "onTimeUs": 1500000, "repeatWindowUs": 5000000, "stream": True},
        {"deadlineUs": 6000000, "effect": "guarded", "gain": 8.0, "group": "cell", "onTimeUs": 800000}],
}
MEMBERS = [{"switch": f"s{n}", "campus": 0, "generationHw": 0, "nodeNo": n, "readiness": "ready", "heft": 1,
            "launchedUs": None} for n in range(3)]
REQUEST = {"cmd": "NEW_REQUEST", "call": "c1", "resent": False, "update": False, "key": "line", "width": 1,
           "deadlineUs": 4000000, "tandem": -1, "reconnect": False, "customer": 0, "tandemCall": False,
           "sizeHintUs": None, "qos": 0, "dest": 2}


def batch(n: int, at_us: int, *messages: dict[str, Any], proxy: int = 5) -> dict[str, Any]:
    return {"atTimeUs": at_us, "n": n, "groups": [{"proxy": proxy, "msgs": list(messages)}]}


START = batch(1, 1000000, {"cmd": "NEW_INSTANCE", "salt": 4, "env": ENV},
              {"cmd": "POOL", "page": 0, "members": MEMBERS},
              {"cmd": "MEMBERS", "form": "restored", "epoch": 1, "page": 0})


def actions(reply: dict[str, Any], ignored: str = "DEFER") -> list[dict[str, Any]]:
    return [a for g in reply["groups"] for a in g["actions"] if a["cmd"] != ignored]


def test_settings() -> None:
    result = wirehost.read_settings(ENV)
    assert (result.controllers, result.home, result.topology) == (3, 0, io.Topology.MESH)
    assert result.classes[0] == io.ServiceClass(1500000, 9000000, 1.0, 0.25, 1, 9000000,
                                                repeat_window_us=5000000)
    assert result.classes[1].width == 3
    assert result.classes[1].repeatability is io.Repeatability.GUARDED
    assert result.classes[1].repeat_scope is io.RepeatScope.EXCHANGE
    assert result.tenants == (io.Tenant(0.5, 12.0),)
    assert (result.release_us, result.resend_us, result.cold_from, result.fall_us) == (500000, 250000, 0.3, 3000000)
    assert result.may_message and result.may_call_off and result.callers_wait and not result.may_probe


@pytest.mark.parametrize(
    ("message", "event"),
    [
        (REQUEST, io.CallOffered("c1", 0, 2, "line", 4000000)),
        ({**REQUEST, "tandemCall": True, "tandem": 1, "resent": True, "reconnect": True, "customer": 2},
         io.CallOffered("c1", 0, 2, "line", 4000000, 1, 2, True, 1, True, True)),
        ({"cmd": "HEADERS", "call": "c", "go": 1, "switch": "s1", "latencyUs": 7},
         io.CallStands("c", 1, "s1", 7)),
        ({"cmd": "LAPSED", "call": "c"}, io.CallerGone("c")),
        ({"cmd": "RING", "nonce": "t"}, io.TimerDue("t")),
        ({"cmd": "WHISPER", "by": 3, "contents": "aGkgNw=="}, io.PeerMessage(3, b"hi 7")),
        ({"cmd": "HEALTH", "switch": "s1", "outcome": 0, "latencyUs": 0,
          "healthInfo": {"free": 3, "size": 9, "can_take": -1}},
         io.GroupStatus("s1", True, 0, io.Load(free=3, size=9))),
        ({"cmd": "HEALTH", "switch": "s1", "outcome": 14, "latencyUs": 5, "healthInfo": None},
         io.GroupStatus("s1", False, 5, io.Load())),
    ],
)
def test_events(message: dict[str, Any], event: io.Event) -> None:
    assert wirehost.read_event(message) == event


@pytest.mark.parametrize(
    ("code", "why", "outcome", "cause", "wait_us"),
    [
        (0, None, io.Outcome.OK, io.Cause.NONE, 0),
        (13, 4, io.Outcome.NUMBER_FAULT, io.Cause.LINES_BUSY, 0),
        (8, 2, io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK, 0),
        (8, 18, io.Outcome.TURNED_AWAY, io.Cause.CRANKBACK_FULL, 0),
        (8, 3, io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL, 0),
        (8, 3 + 16 * 40, io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL, 40000),
        (9, 1, io.Outcome.NOT_SENT, io.Cause.NO_CIRCUIT, 0),
        (4, None, io.Outcome.TIMEOUT, io.Cause.NONE, 0),
        (14, None, io.Outcome.UNREACHABLE, io.Cause.NONE, 0),
        (10, None, io.Outcome.CUT, io.Cause.NONE, 0),
        (1, None, io.Outcome.CALLED_OFF, io.Cause.NONE, 0),
    ],
)
def test_outcomes(code: int, why: int | None, outcome: io.Outcome, cause: io.Cause, wait_us: int) -> None:
    result = wirehost.read_event({"cmd": "COMPLETED", "call": "c", "go": 0, "switch": "s", "outcome": code,
                                  "latencyUs": 9, "settled": False, "why": why, "healthInfo": {}})
    assert result == io.AttemptEnded("c", 0, "s", outcome, 9, False, cause, wait_us, io.Load())


def test_load_report() -> None:
    report = {"free": 2, "size": 8, "outstanding": 1, "backlog": 4, "utilization": 0.5, "recent_ms": 12,
              "can_take": 140, "hold_back": 0.25, "unheard_of": 3}
    assert wirehost.read_load(report) == io.Load(2, 8, 4, 1, 0.5, 12000.0, 140, 0.25)
    assert wirehost.read_load({"free": -1, "size": float("inf"), "can_take": "x"}) == io.Load()


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        (io.SetUp("c", "s", 5), {"cmd": "TRY", "call": "c", "switch": "s", "allowForUs": 5}),
        (io.Refuse("c", 6), {"cmd": "BOUNCE", "call": "c", "notBeforeForUs": 6}),
        (io.Fail("c"), {"cmd": "DROP_REQUEST", "call": "c"}),
        (io.CallOff("c", 1), {"cmd": "CALL_OFF", "call": "c", "go": 1}),
        (io.SetTimer("t", 9), {"cmd": "DEFER", "nonce": "t", "fireAtUs": 9}),
        (io.Probe("s"), {"cmd": "ASK_LOAD", "switch": "s"}),
        (io.WatchRoster(), {"cmd": "OBSERVE", "enable": True}),
        (io.FetchRoster(), {"cmd": "LOOKUP"}),
        (io.TellPeers(b"hi 7"), {"cmd": "SAY", "addressee": "*", "contents": "aGkgNw=="}),
        (io.Log("x"), {"cmd": "LOG", "bodyText": "x"}),
    ],
)
def test_actions(action: io.Action, expected: dict[str, Any]) -> None:
    assert wirehost.write_action(action) == expected


def run(*batches: dict[str, Any] | str) -> tuple[int, list[dict[str, Any]], str]:
    lines = "".join((b if isinstance(b, str) else json.dumps(b)) + "\n" for b in batches)
    out, err = stdlib_io.StringIO(), stdlib_io.StringIO()
    code = wirehost.serve(stdlib_io.StringIO(lines), out, err)
    return code, [json.loads(line) for line in out.getvalue().splitlines()], err.getvalue()


@pytest.mark.parametrize(
    ("message", "expected_text"),
    [
        ({"cmd": "NOVELTY"}, "unknown message 'NOVELTY'"),
        ({k: v for k, v in REQUEST.items() if k != "call"}, "field call"),
        ({**REQUEST, "qos": "x"}, "field qos"),
        ({"cmd": "MEMBERS", "form": "odd", "page": 0}, "field form"),
        ({"cmd": "COMPLETED", "call": "c", "go": 0, "switch": "s", "outcome": 77}, "field outcome"),
        ({"cmd": "WHISPER", "by": 1, "contents": "?"}, "field contents"),
        ({"cmd": "NEW_INSTANCE", "salt": 1, "env": {**ENV, "fleetSize": 0}}, "controllers"),
        ({"cmd": "NEW_INSTANCE", "salt": 1, "env": {**ENV, "extra": {"topology": "ring"}}}, "topology"),
    ],
)
def test_malformed_message_is_reported_and_answered_with_panic(message: dict[str, Any], expected_text: str) -> None:
    code, replies, err = run(START, batch(2, 2000000, message))
    assert code == 0
    assert [a["cmd"] for a in actions(replies[1])] == ["PANIC"]
    assert err.count("\n") == 1 and "batch 2, proxy 5" in err and expected_text in err


@pytest.mark.parametrize("line", ["{", "[]", '{"n": 1}', '{"n": 1, "atTimeUs": 5, "groups": [3]}'])
def test_malformed_line_ends_the_process_with_one_error_line(line: str) -> None:
    code, replies, err = run(line)
    assert (code, replies) == (2, [])
    assert err.count("\n") == 1 and "Traceback" not in err


def test_empty_batch() -> None:
    assert run({"atTimeUs": 1, "n": 7, "groups": []}) == (0, [{"n": 7, "groups": []}], "")


def test_instances_are_independent_and_a_killed_one_does_not_answer() -> None:
    other = batch(2, 1000000, *START["groups"][0]["msgs"], proxy=6)
    code, replies, err = run(START, other, batch(3, 1100000, {"cmd": "CRASH_NOW"}, REQUEST),
                             batch(4, 1100000, REQUEST, proxy=6))
    assert (code, err) == (0, "")
    assert replies[2]["groups"] == []
    assert [a["cmd"] for a in actions(replies[3])] == ["TRY"]


def test_unknown_roster_list_is_reported_and_ignored() -> None:
    code, replies, err = run(START, batch(2, 2000000, {"cmd": "MEMBERS", "form": "update", "page": 9}))
    assert code == 0 and actions(replies[1]) == [] and "page" in err


def test_call_through_the_process() -> None:
    """A call is set up, answered and released; a second one is refused, as its exchange is draining."""
    batches = [
        START,
        batch(2, 1005000, REQUEST),
        batch(3, 1080000, {"cmd": "HEADERS", "call": "c1", "go": 0, "switch": "s2", "latencyUs": 75000}),
        batch(4, 1500000, {"cmd": "COMPLETED", "call": "c1", "go": 0, "switch": "s2", "outcome": 0,
                           "latencyUs": 495000, "settled": True, "why": None,
                           "healthInfo": {"free": 4, "size": 5}}),
        batch(5, 1505000, {"cmd": "POOL", "page": 1, "members": [{**MEMBERS[2], "readiness": "draining"}]},
              {"cmd": "MEMBERS", "form": "update", "epoch": 2, "page": 1}, {**REQUEST, "call": "c2"}),
    ]
    completed = subprocess.run([sys.executable, "-m", "ospreylug.wirehost"], cwd=ROOT, check=True, text=True,
                               capture_output=True, input="".join(json.dumps(b) + "\n" for b in batches))
    replies = [json.loads(line) for line in completed.stdout.splitlines()]
    assert [r["n"] for r in replies] == [1, 2, 3, 4, 5]
    assert actions(replies[1]) == [{"cmd": "TRY", "call": "c1", "switch": "s2", "allowForUs": 1500000}]
    assert actions(replies[2]) == actions(replies[3]) == []
    (bounce,) = actions(replies[4])
    assert (bounce["cmd"], bounce["call"]) == ("BOUNCE", "c2")
    assert 495_000 <= bounce["notBeforeForUs"] < 1_495_000
    assert completed.stderr == ""


def test_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    readme = (ROOT / "README.md").read_text(encoding="utf-8")
    code = readme.split("```python\n")[1].split("```")[0]
    exec(compile(code, "README.md", "exec"), {})
    assert "SetUp(call='c-1', exchange='b', timeout_us=1500000)" in capsys.readouterr().out
