"""Ranges of numbers as sets of prefixes."""

from __future__ import annotations

DIGITS = "0123456789abcdef"


def covering_prefixes(first: str, last: str) -> list[str]:
    """Return the smallest set of prefixes that covers the numbers from first to last, both inclusive.

    Raises ValueError if first and last differ in length or first is greater than last.
    """
    if len(first) != len(last) or first > last or not first:
        raise ValueError("first and last must have the same number of digits, and first must not exceed last")
    common = 0  # length of the common prefix
    while common < len(first) and first[common] == last[common]:
        common += 1
    if common == len(first):
        return [first]
    head, low, high = first[:common], first[common], last[common]
    first_suffix, last_suffix = first[common + 1:], last[common + 1:]
    # Decimal ranges stay decimal: they cover no prefix with a letter unless one of their bounds has a letter. Each call
    # decides this by its own arguments: within a00 to b19 the recursion takes 00 to 19 for decimal and returns b1,
    # which also covers b1a to b1f.
    digits = DIGITS if any(char > "9" for char in first + last) else DIGITS[:10]
    prefixes: list[str] = []
    low_complete = first_suffix.strip(digits[0]) == ""
    high_complete = last_suffix.strip(digits[-1]) == ""
    if low_complete and high_complete and low == digits[0] and high == digits[-1]:
        return [head] if head else list(digits)  # all numbers of this length; an empty prefix is not permitted
    if not low_complete:
        prefixes += [head + low + suffix for suffix in covering_prefixes(first_suffix, digits[-1] * len(first_suffix))]
    middle = digits[digits.index(low) + (not low_complete):digits.index(high) + high_complete]
    prefixes += [head + digit for digit in middle]
    if not high_complete:
        prefixes += [head + high + suffix for suffix in covering_prefixes(digits[0] * len(last_suffix), last_suffix)]
    return prefixes
