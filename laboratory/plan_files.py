"""Plan files of any size, for tests and measurements."""

from __future__ import annotations

EXCHANGES = (1, 2)


def make_plan_text(version: int, aliases: int = 0, prefixes: int = 0) -> str:
    """Return the text of a plan file with the EXCHANGES and so many aliases and prefixes."""
    tables = [f"[version]\nnumber = {version}\n"]
    for exchange in EXCHANGES:
        tables.append(f"[[exchange]]\nnumber = {exchange}\n[[prefix]]\ndigits = '{exchange}'\nexchange = {exchange}\n")
    tables += [f"[[alias]]\ndigits = '5{n:06d}'\nto = '{1 + n % 2}{n:06d}'\n" for n in range(aliases)]
    tables += [f"[[prefix]]\ndigits = '6{n:06d}'\nexchange = {1 + n % 2}\n" for n in range(prefixes)]
    return "".join(tables)
