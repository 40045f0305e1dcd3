"""Splitting of the validation errors of msgspec, for the messages about configuration files and documents."""

from __future__ import annotations


def split_validation_error(error: Exception) -> tuple[str, str]:
    """Split a msgspec error into what was expected and the path to the field; the path of the root is empty."""
    expected, _, path = str(error).partition(" - at `$")
    return expected[:1].lower() + expected[1:], path.rstrip("`").lstrip(".")
