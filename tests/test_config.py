"""What the program is told at its start; a configuration that cannot be used gets one plain line."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from astertrack.config import ConfigError, read_config, read_gateway
from laboratory.stand_ins import ROOT, SETTINGS

GOOD = {"listen": "127.0.0.1:1", "seed": "8c1f30d27a5be964", "settings": SETTINGS,
        "known": {"no": 3, "items": []}}


def written(folder: Path, config: object) -> dict[str, str]:
    """The environment that names this configuration."""
    path = folder / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return {"RELAY_CONFIG": str(path), "ASTERTRACK_GATEWAY": str(folder / "none.toml")}


def test_a_configuration_is_read(tmp_path: Path) -> None:
    config = read_config(written(tmp_path, GOOD))
    assert (config.host, config.port, config.seed) == ("127.0.0.1", 1, 0x8c1f30d27a5be964)
    assert config.classes == {"ledger-read": 0, "declaration-save": 1}
    assert config.known_last == 3
    assert config.gateway.front is None


@pytest.mark.parametrize("config", [
    "{", "[]", {}, {**GOOD, "settings": {}}, {**GOOD, "listen": "here"}, {**GOOD, "seed": "xyz"},
    {**GOOD, "known": 5}, {**GOOD, "bulletin": "nowhere"},
    {**GOOD, "settings": {**SETTINGS, "services": [{"name": "a"}]}}])
def test_a_bad_configuration_ends_the_program_with_one_line(config: object, tmp_path: Path) -> None:
    with pytest.raises(ConfigError):
        read_config(written(tmp_path, config))
    if config in ("{", {**GOOD, "listen": "here"}):
        done = subprocess.run([sys.executable, "-m", "astertrack"], cwd=ROOT, check=False, text=True,
                              timeout=60, capture_output=True,
                              env={**os.environ, **written(tmp_path, config)})
        assert done.returncode == 2
        assert done.stderr.startswith("astertrack: ")
        assert done.stderr.count("\n") == 1


@pytest.mark.parametrize("text", [
    "[front", '[front]\nlisten = "x"', '[store]\nkind = "oracle"', '[store]\nkind = "sqlite"',
    '[[destination]]\nname = "w"', "front = 3"])
def test_a_bad_gateway_file_is_said(text: str, tmp_path: Path) -> None:
    path = tmp_path / "gateway.toml"
    path.write_text(text)
    with pytest.raises(ConfigError):
        read_gateway(path, ["fes"])


def test_everything_in_our_own_file_is_off() -> None:
    gateway = read_gateway(ROOT / "deploy" / "gateway.toml", [])
    assert (gateway.front, gateway.store, gateway.destinations) == (None, "off", ())
