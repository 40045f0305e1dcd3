"""Reading the configuration at the start; an invalid one ends the program with one line of error."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from astertrack.config import ConfigError, read_config, read_gateway
from laboratory.stand_ins import ROOT, SETTINGS

VALID_CONFIG = {"listen": "127.0.0.1:1", "seed": "8c1f30d27a5be964", "settings": SETTINGS,
                "known": {"no": 3, "items": []}}


def write_config(folder: Path, config: object) -> dict[str, str]:
    """Write the configuration to a file, and return the environment that names it."""
    path = folder / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return {"RELAY_CONFIG": str(path), "ASTERTRACK_GATEWAY": str(folder / "none.toml")}


def test_a_configuration_is_read(tmp_path: Path) -> None:
    config = read_config(write_config(tmp_path, VALID_CONFIG))
    assert (config.host, config.port, config.seed) == ("127.0.0.1", 1, 0x8c1f30d27a5be964)
    assert config.classes == {"ledger-read": 0, "declaration-save": 1}
    assert config.known_last == 3
    assert config.gateway.front is None


@pytest.mark.parametrize("config", [
    "{", "[]", {}, {**VALID_CONFIG, "settings": {}}, {**VALID_CONFIG, "listen": "here"},
    {**VALID_CONFIG, "seed": "xyz"}, {**VALID_CONFIG, "settings": {**SETTINGS, "fleetSize": float("inf")}},
    {**VALID_CONFIG, "limits": {"sockets": float("inf")}}, {**VALID_CONFIG, "known": {"no": float("inf"), "items": []}},
    {**VALID_CONFIG, "known": 5}, {**VALID_CONFIG, "bulletin": "nowhere"},
    {**VALID_CONFIG, "settings": {**SETTINGS, "services": [{"name": "a"}]}}])
def test_an_invalid_configuration_ends_the_program_with_one_line(config: object, tmp_path: Path) -> None:
    with pytest.raises(ConfigError):
        read_config(write_config(tmp_path, config))
    if config in ("{", {**VALID_CONFIG, "listen": "here"}):
        result = subprocess.run([sys.executable, "-m", "astertrack"], cwd=ROOT, check=False, text=True,
                                timeout=60, capture_output=True,
                                env={**os.environ, **write_config(tmp_path, config)})
        assert result.returncode == 2
        assert result.stderr.startswith("astertrack: ")
        assert result.stderr.count("\n") == 1


@pytest.mark.parametrize("text", [
    "[front", '[front]\nlisten = "x"', '[store]\nkind = "oracle"', '[store]\nkind = "sqlite"',
    '[[destination]]\nname = "w"', "front = 3"])
def test_an_invalid_gateway_file_is_rejected(text: str, tmp_path: Path) -> None:
    path = tmp_path / "gateway.toml"
    path.write_text(text)
    with pytest.raises(ConfigError):
        read_gateway(path, ["fes"])


def test_everything_is_off_in_the_gateway_file_of_deploy() -> None:
    gateway = read_gateway(ROOT / "deploy" / "gateway.toml", [])
    assert (gateway.front, gateway.store, gateway.destinations) == (None, "off", ())
