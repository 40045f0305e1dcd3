"""Limits on the source of the decision module: its length, imports and places that send set-ups."""

import ast
from pathlib import Path

SOURCE = (Path(__file__).parent.parent / "ospreylug" / "logic.py").read_text(encoding="utf-8")


def test_length_and_width() -> None:
    lines = [line for line in SOURCE.splitlines() if line.strip()]
    assert len(lines) <= 650
    assert max(map(len, lines)) <= 110


def test_first_lines_name_the_interface() -> None:
    assert "ospreylug/interface.py" in SOURCE.splitlines()[0]


def test_set_ups_are_sent_from_one_place_only() -> None:
    calls = [n for n in ast.walk(ast.parse(SOURCE)) if isinstance(n, ast.Attribute) and n.attr == "SetUp"]
    assert len(calls) == 1


def test_imports_give_no_clock_and_no_input_or_output() -> None:
    names = {a.name for n in ast.walk(ast.parse(SOURCE)) if isinstance(n, ast.Import) for a in n.names}
    names |= {n.module or "" for n in ast.walk(ast.parse(SOURCE)) if isinstance(n, ast.ImportFrom)}
    assert names <= {"__future__", "math", "random", "enum", "ospreylug", "ospreylug.interface"}
    assert not [n for n in ast.walk(ast.parse(SOURCE)) if isinstance(n, ast.Global)]
