"""What the checker of our files and wires says, in two parts: the path to the field, and what was expected there."""

from __future__ import annotations


def split_validation_error(wrong: Exception) -> tuple[str, str]:
    """Split an error of msgspec into what was expected and the path to the field, empty for the whole."""
    expected, _, path = str(wrong).partition(" - at `$")
    return expected[:1].lower() + expected[1:], path.rstrip("`").lstrip(".")
