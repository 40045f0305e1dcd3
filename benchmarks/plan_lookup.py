"""Longest-prefix match: compares the plan's trie with a dict of prefixes and with a scan over all of them.

Prefixes have 4 to 9 digits and numbers 11; half of the numbers begin with one of the prefixes. Each structure is built
and queried three times in turn, and the shortest of the three times is reported, since disturbances only lengthen a
run. Memory is measured by tracemalloc. It includes the keys, but not the numbers that are looked up.
"""

from __future__ import annotations

import argparse
import gc
import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from astertrack.plan.trie import PrefixTrie

ROUNDS = 3
MAX_SCAN_COMPARISONS = 2_000_000  # per measurement, for which the scan looks up fewer numbers (but at least 20)
NUMBER_COUNT = 20_000  # of the numbers looked up


def draw_entries(rng: random.Random, count: int) -> list[tuple[str, int]]:
    """Return so many different random prefixes, each with the number of an exchange."""
    entries: dict[str, int] = {}
    while len(entries) < count:
        length = rng.choice((4, 5, 6, 6, 7, 7, 7, 8, 8, 9) if count > 5_000 else (4, 5, 6, 7))
        entries["".join(rng.choices("0123456789", k=length))] = rng.randrange(40)
    return list(entries.items())


def make_trie(entries: list[tuple[str, int]]) -> Callable[[str], Any]:
    """Return the match function of the plan's trie."""
    editor: Any = PrefixTrie[int]().edit()
    for digits, value in entries:
        editor.put(digits, value)
    match: Callable[[str], Any] = editor.freeze().match
    return match


def make_dict(entries: list[tuple[str, int]]) -> Callable[[str], Any]:
    """Return a match function that looks up every prefix length that occurs in a dict, the longest first."""
    value_by_prefix = {digits[:]: value for digits, value in entries}
    lengths = sorted({len(digits) for digits in value_by_prefix}, reverse=True)

    def match(number: str) -> tuple[int, int] | None:
        for length in lengths:
            value = value_by_prefix.get(number[:length])
            if value is not None:
                return length, value
        return None
    return match


def make_scan(entries: list[tuple[str, int]]) -> Callable[[str], Any]:
    """Return a match function that searches a list of all prefixes, the longest first."""
    longest_first = sorted(entries, key=lambda entry: -len(entry[0]))

    def match(number: str) -> tuple[int, int] | None:
        for digits, value in longest_first:
            if number.startswith(digits):
                return len(digits), value
        return None
    return match


FACTORIES = {"trie": make_trie, "dict": make_dict, "scan": make_scan}


def copy_entries(entries: list[tuple[str, int]]) -> list[tuple[str, int]]:
    """Copy the entries with their strings, so that the strings count towards the memory of the structure."""
    return [("".join(list(digits)), value) for digits, value in entries]


def measure(name: str, entries: list[tuple[str, int]], numbers: list[str]) -> dict[str, float]:
    """Measure the build time, the look-up time and the memory of one structure."""
    queries = numbers if name != "scan" else numbers[:max(20, MAX_SCAN_COMPARISONS // len(entries))]
    build_times_s, look_up_times_s = [], []
    for _ in range(ROUNDS):
        gc.collect()
        started_s = time.perf_counter()
        match = FACTORIES[name](entries)
        build_times_s.append(time.perf_counter() - started_s)
        started_s = time.perf_counter()
        for number in queries:
            match(number)
        look_up_times_s.append((time.perf_counter() - started_s) / len(queries))
        del match
    gc.collect()
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    copied_entries = copy_entries(entries)
    match = FACTORIES[name](copied_entries)
    del copied_entries
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    del match
    return {"look_up_us": round(min(look_up_times_s) * 1e6, 3), "compile_ms": round(min(build_times_s) * 1e3, 2),
            "memory_mib": round(memory_bytes / 2**20, 2)}


def measure_delta(entries: list[tuple[str, int]], rng: random.Random) -> dict[str, float]:
    """Measure a change of ten prefixes that keeps the previous version: the trie's own, and a copy of the dict."""
    editor: Any = PrefixTrie[int]().edit()
    for digits, value in entries:
        editor.put(digits, value)
    trie, value_by_prefix = editor.freeze(), dict(entries)
    changed_prefixes = [digits for digits, _ in rng.sample(entries, 10)]
    trie_times_s, dict_times_s = [], []
    for _ in range(ROUNDS):
        started_s = time.perf_counter()
        editor = trie.edit()
        for digits in changed_prefixes:
            editor.put(digits, 41)
        editor.freeze()
        trie_times_s.append(time.perf_counter() - started_s)
        started_s = time.perf_counter()
        copy = dict(value_by_prefix)
        copy.update(dict.fromkeys(changed_prefixes, 41))
        dict_times_s.append(time.perf_counter() - started_s)
    return {"trie_ms": round(min(trie_times_s) * 1e3, 3), "dict_ms": round(min(dict_times_s) * 1e3, 3)}


def main() -> None:
    """Print a table, and its rows as a JSON object; "wrong" counts the numbers that trie and dict match differently."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="*", default=[100, 10_000, 1_000_000])
    arguments = parser.parse_args()
    rng = random.Random(arguments.seed)
    rows: dict[str, dict[str, dict[str, float]]] = {}
    mismatches = 0
    print(f"{'prefixes':>9} {'kind':>5} {'look-up us':>11} {'compile ms':>11} {'MiB':>8}")
    for size in arguments.sizes:
        entries = draw_entries(rng, size)
        numbers = [(rng.choice(entries)[0] if index % 2 else "") for index in range(NUMBER_COUNT)]
        numbers = [start + "".join(rng.choices("0123456789", k=11 - len(start))) for start in numbers]
        match_trie, match_dict = make_trie(entries), make_dict(entries)
        mismatches += sum(match_trie(number) != match_dict(number) for number in numbers)
        del match_trie, match_dict
        rows[str(size)] = {name: measure(name, entries, numbers) for name in FACTORIES}
        for name, row in rows[str(size)].items():
            print(f"{size:>9} {name:>5} {row['look_up_us']:>11} {row['compile_ms']:>11} {row['memory_mib']:>8}")
        rows[str(size)]["delta_of_10"] = measure_delta(entries, rng)
        print(f"{size:>9} a delta of ten: {rows[str(size)]['delta_of_10']}")
    print(json.dumps({"seed": arguments.seed, "wrong": mismatches, "sizes": rows}))


if __name__ == "__main__":
    main()
