"""The command line, called in process and as a program."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from astertrack.cli import main
from astertrack.config import ConfigError
from laboratory.stand_ins import ROOT, BinaryNode, free_port, running_router, wait_until

DEPLOY = ROOT / "deploy"
PLAN = str(DEPLOY / "example-plan.toml")


def run_command(*arguments: str, code: int = 0) -> Result:
    """Invoke a command in process, and check its exit code."""
    result = CliRunner().invoke(main, list(arguments))
    assert result.exit_code == code, result.output
    return result


def test_every_command_has_a_help_text() -> None:
    for arguments in ((), ("run",), ("config",), ("config", "check"), ("config", "show"), ("config", "diff"),
                  ("config", "explain"), ("plan", "compile"), ("plan", "lookup"), ("versions", "serve"),
                  ("versions", "status")):
        text = run_command(*arguments, "--help").output
        assert len(text.splitlines()) > 5


def test_all_files_under_deploy_are_valid() -> None:
    files = [str(path) for path in sorted(DEPLOY.glob("*.toml")) if path.name != "balancer.toml"]
    results = json.loads(run_command("config", "check", *files, "--json").stdout)
    kinds = {Path(r["file"]).name: r["kind"] for r in results}
    assert kinds["example.toml"] == "router"
    assert kinds["gateway.toml"] == kinds["example-gateway.toml"] == "gateway"
    assert kinds["versions.toml"] == kinds["example-versions.toml"] == "versions"
    assert kinds["example-plan.toml"] == "plan"
    assert all(r["sound"] for r in results)


@pytest.mark.parametrize(("name", "text", "parts"), [
    ("plan.toml", '[[exchange]]\nnumber = 1\n[[prefix]]\ndigits = "5x"\nexchange = 1\n', ["prefix[0].digits"]),
    ("plan.toml", '[[exchange]]\nnumber = 1\n[[prefix]]\ndigits = "5"\nexchange = 7\n',
     ["prefix '5'", "unknown-exchange", "exchange 7 is not listed"]),
    ("plan.toml", "[[prefix]\n", ["line 1"]),
    ("versions.toml", '[service]\nadress = "x"\n', ["service", "adress"]),
    ("versions.toml", '[service]\naddress = "nowhere"\n', ["service.address", "host:port"]),
    ("versions.toml", "[probation]\nseconds = -1\n", ["probation.seconds"]),
    ("gateway.toml", '[front]\nlisten = "127.0.0.1:1"\nport = 3\n', ["front", "unknown name port"]),
    ("gateway.toml", "[fornt]\n", ["fornt: unknown name fornt"]),
    ("router.toml", '[router]\nname = "a"\nexchange = 0\n', ["router", "listen"]),
    ("router.toml", '[router]\nname = "a"\nexchange = 0\nlisten = "x:1"\n[[class]]\nname = "c"\naim_ms = 5\n'
                    "deadline_ms = 4\n", ["class[0].deadline_ms"]),
    ("router.toml", '[router]\nname = "a"\nexchange = 0\nlisten = "x:1"\n[[class]]\nname = "c"\naim_ms = 5\n'
                    'deadline_ms = 9\n[[peer]]\nname = "p"\naddress = "h:1"\nexchange = 0\n', ["peer[0].exchange"])])
def test_an_invalid_file_is_reported_with_its_field_and_what_was_expected(tmp_path: Path, name: str, text: str,
                                                                          parts: list[str]) -> None:
    path = tmp_path / name
    path.write_text(text)
    output = run_command("config", "check", str(path), code=1).stdout
    assert str(path) in output or name in output
    for part in parts:
        assert part in output
    result = json.loads(run_command("config", "check", "--json", str(path), code=1).stdout)
    assert not result[0]["sound"]
    run_command("config", "check", str(tmp_path / "nowhere"), code=2)


def test_a_plan_is_compiled_and_looked_up() -> None:
    compiled = json.loads(run_command("plan", "compile", "--json", PLAN).stdout)
    assert (compiled["version"], compiled["records"]) == ("1.1", 10)
    route = json.loads(run_command("plan", "lookup", PLAN, "535801", "--class", "declaration-save", "--json").stdout)
    assert (route["exchange"], route["prefix"], route["ways"]) == (3, "53580", [[3], [2]])
    assert route["limits"] == ["saves to fes-2"]
    barred = json.loads(run_command("plan", "lookup", PLAN, "09001", "--json", code=1).stdout)
    assert (barred["turned_away"], barred["wait_ms"]) == ("barred", 60000)
    assert json.loads(run_command("plan", "lookup", PLAN, "1", "--dest", "2", "--json").stdout)["exchange"] == 2
    run_command("plan", "lookup", PLAN, "1", code=1)
    run_command("plan", "lookup", PLAN, "x", code=2)
    run_command("plan", "compile", "/nowhere", code=2)


def test_files_are_shown_compared_and_described(tmp_path: Path) -> None:
    shown = json.loads(run_command("config", "show", "--json", str(DEPLOY / "example.toml")).stdout)
    assert shown["settings"]["max_attempts"] == 6
    assert "plan.file" in run_command("config", "show", str(DEPLOY / "example-versions.toml")).stdout
    changed = tmp_path / "plan.toml"
    changed.write_text((DEPLOY / "example-plan.toml").read_text().replace('digits = "522"', 'digits = "523"'))
    delta = json.loads(run_command("config", "diff", "--json", PLAN, str(changed), code=1).stdout)
    assert delta == [{"kind": "drop", "of": "prefix", "key": "522"}, {"kind": "prefix", "digits": "523", "exchange": 1}]
    run_command("config", "diff", PLAN, PLAN)
    run_command("config", "diff", str(DEPLOY / "versions.toml"), str(DEPLOY / "example-versions.toml"), code=1)
    run_command("config", "diff", PLAN, str(DEPLOY / "example.toml"), code=2)
    assert "barred" in run_command("config", "explain").stdout
    assert "at least 0" in run_command("config", "explain", "prefix.exchange").stdout
    run_command("config", "explain", "whim", code=2)
    run_command("config", "explain", "prefix.whim", code=2)


def test_a_plan_folder_publishes_newer_versions_and_reports_invalid_files(tmp_path: Path) -> None:
    from astertrack.cli.versions import PlanFolder  # noqa: PLC0415

    published: list[str] = []
    folder = PlanFolder(tmp_path, lambda id, plan, in_force_ms: published.append(str(id)))
    text = "[version]\nnumber = {}\n[[exchange]]\nnumber = 1\n"
    (tmp_path / "b.toml").write_text(text.format(2))
    (tmp_path / "a.toml").write_text(text.format(1))
    (tmp_path / "c.toml").write_text("[[prefix]]\n")
    errors = folder.scan()
    assert published == ["1.1", "1.2"]
    assert len(errors) == 1
    assert "c.toml" in errors[0]
    assert folder.scan() == []
    (tmp_path / "a.toml").write_text(text.format(1) + "# changed\n")
    assert "each change needs a new version number" in folder.scan()[0]
    (tmp_path / "c.toml").write_text(text.format(3))
    assert folder.scan() == []
    assert published == ["1.1", "1.2", "1.3"]


def command_line(*arguments: str, **more: Any) -> list[str]:
    """The command line that starts astertrack as a program with these arguments."""
    return [sys.executable, "-c", "from astertrack.cli import main; main()", *arguments]


def test_a_router_follows_a_plan_folder_and_status_shows_its_versions(tmp_path: Path) -> None:
    async def run_test() -> None:
        port, folder = free_port(), tmp_path / "versions"
        folder.mkdir()
        text = "[version]\nnumber = {}\n[[exchange]]\nnumber = 1\n[[prefix]]\ndigits = \"{}\"\nexchange = {}\n"
        (folder / "1.toml").write_text(text.format(1, 5, 1))
        service = await asyncio.create_subprocess_exec(
            *command_line("versions", "serve", str(folder), "--listen", f"127.0.0.1:{port}", "--log-format", "json"),
            cwd=ROOT, stderr=(tmp_path / "log").open("w"))
        node = await BinaryNode().start()
        try:
            settings = f'[service]\naddress = "127.0.0.1:{port}"\n[probation]\nseconds = 0\n'
            async with running_router({1: node}, versions=settings) as router:
                await router.wait_for_log("version=1.1")
                (folder / "2.new").write_text(text.format(2, 6, 1))
                (folder / "2.new").replace(folder / "2.toml")
                await router.wait_for_log("version=1.2")
                (folder / "3.toml").write_text(text.format(3, 6, 9))
                await wait_until(lambda: "unknown-exchange" in (tmp_path / "log").read_text())
                await wait_until(lambda: '"stand": "settled"' in (tmp_path / "log").read_text())
                result = await asyncio.to_thread(subprocess.run, command_line(
                    "versions", "status", "--service", f"127.0.0.1:{port}", "--json"), cwd=ROOT, capture_output=True,
                    text=True, check=False, timeout=20)
                rows = {row["number"]: row["stand"] for row in json.loads(result.stdout)}
                assert rows[2] == "settled"
                assert rows[1] == "superseded"
                assert result.returncode == 0
                assert all(json.loads(line)["event"] for line in (tmp_path / "log").read_text().splitlines())
        finally:
            service.terminate()
            await service.wait()
        result = await asyncio.to_thread(subprocess.run, command_line("versions", "status", "--service",
                                                                      f"127.0.0.1:{port}"),
                                         cwd=ROOT, capture_output=True, text=True, check=False, timeout=20)
        assert result.returncode == 2
        assert "no answer" in result.stderr
    asyncio.run(run_test())


def test_the_demo_shows_an_answered_call_of_each_front() -> None:
    result = subprocess.run([sys.executable, "-m", "laboratory.demo", "--once", "--free-ports"], cwd=ROOT, check=False,
                          capture_output=True, text=True, timeout=60, env=dict(os.environ))
    assert result.returncode == 0, result.stderr
    assert "INVITE to 5221234 -> 200" in result.stdout
    assert "'type': 'answer'" in result.stdout


def test_run_reports_an_invalid_configuration_in_one_line(tmp_path: Path) -> None:
    invalid_file = tmp_path / "router.toml"
    invalid_file.write_text("[router]\n")
    for arguments in (("run", "--config", str(invalid_file)), ("run", "--config", str(tmp_path / "none.json"))):
        result = subprocess.run(command_line(*arguments), cwd=ROOT, capture_output=True, text=True, check=False,
                                timeout=30, env={**os.environ, "ASTERTRACK_GATEWAY": str(tmp_path / "none")})
        assert result.returncode == 2
        assert result.stderr.startswith("astertrack: ")
        assert result.stderr.count("\n") == 1


def test_the_defaults_of_a_router_file_are_the_platforms_rules() -> None:
    from astertrack.cli.run import load_config  # noqa: PLC0415

    config = load_config(DEPLOY / "example.toml")
    assert config.settings.release_us == 300_000
    assert config.settings.max_attempts == 6
    assert [service.worth for service in config.settings.classes] == [1.0, 8.0]
    with pytest.raises(ConfigError, match="nowhere"):
        load_config(Path("/nowhere.toml"))


@pytest.mark.parametrize("arguments", [("run", "--config", str(DEPLOY / "example.toml"), "--listen"),
                                       ("versions", "serve", str(DEPLOY), "--listen")])
def test_an_address_in_use_is_reported_in_one_line(arguments: tuple[str, ...]) -> None:
    # Guards against docs/incidents/6: Twisted's CannotListenError is not an OSError, and left the program uncaught.
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        bound.listen()
        address = f"127.0.0.1:{bound.getsockname()[1]}"
        result = subprocess.run(command_line(*arguments, address), cwd=ROOT, capture_output=True, text=True,
                                check=False, timeout=20)
    assert result.returncode == 2
    assert f"cannot listen on {address}" in result.stderr
    assert "Traceback" not in result.stderr
