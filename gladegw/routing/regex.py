"""Regular expressions in linear time (RE2), whole-value matches only. Imported where a route has one."""

from __future__ import annotations

from functools import lru_cache
from typing import Any

LONGEST = 1000  # characters of a pattern
MEMORY = 1 << 20  # bytes of a compiled pattern
PLAIN_STOP = set(".^$*+?()[]{}|\\")


class PatternError(ValueError):
    """The pattern can't be used."""


@lru_cache(maxsize=20_000)
def compiled(pattern: str) -> Any:
    """Raises PatternError."""
    try:
        import re2
    except ModuleNotFoundError:
        raise PatternError("needs google-re2: pip install 'gladegw[routes]'") from None
    if len(pattern) > LONGEST:
        raise PatternError(f"the pattern has more than {LONGEST} characters")
    options = re2.Options()
    options.max_mem = MEMORY
    options.log_errors = False
    try:
        return re2.compile(pattern, options)
    except re2.error as fault:
        why = fault.args[0] if fault.args else "malformed"
        text = why.decode("utf-8", "replace") if isinstance(why, bytes) else str(why)
        raise PatternError(text) from None


def full(pattern: str, value: str) -> bool:
    return compiled(pattern).fullmatch(value) is not None


@lru_cache(maxsize=20_000)
def literal_start(pattern: str) -> str:
    """What each match begins with, as far as it shows in the pattern; may be shorter than it could be."""
    depth = 0
    escaped = False
    for mark in pattern:  # an alternative at the top makes the start uncertain
        if escaped:
            escaped = False
        elif mark == "\\":
            escaped = True
        elif mark in "([":
            depth += 1
        elif mark in ")]":
            depth -= 1
        elif mark == "|" and depth <= 0:
            return ""
    found = []
    at = 1 if pattern.startswith("^") else 0
    while at < len(pattern):
        mark = pattern[at]
        width = 1
        if mark == "\\" and at + 1 < len(pattern) and not pattern[at + 1].isalnum():
            mark, width = pattern[at + 1], 2
        elif mark in PLAIN_STOP:
            break
        after = pattern[at + width : at + width + 1]
        if after in ("*", "?", "{"):
            break  # this one may not be there
        found.append(mark)
        at += width
        if after == "+":
            break
    return "".join(found)
