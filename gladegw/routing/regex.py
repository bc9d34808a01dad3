"""Regular expressions that match whole values in linear time (RE2, imported once a pattern is compiled)."""

from __future__ import annotations

from functools import lru_cache
from typing import Any

MAX_PATTERN_LENGTH = 1000  # characters
MAX_PATTERN_BYTES = 1 << 20
METACHARACTERS = set(".^$*+?()[]{}|\\")


class PatternError(ValueError):
    """The pattern can't be used."""


@lru_cache(maxsize=20_000)
def compiled(pattern: str) -> Any:
    """The compiled pattern; raises PatternError if it can't be used."""
    try:
        import re2
    except ModuleNotFoundError:
        raise PatternError("needs google-re2: pip install 'gladegw[routes]'") from None
    if len(pattern) > MAX_PATTERN_LENGTH:
        raise PatternError(f"the pattern has more than {MAX_PATTERN_LENGTH} characters")
    options = re2.Options()
    options.max_mem = MAX_PATTERN_BYTES
    options.log_errors = False
    try:
        return re2.compile(pattern, options)
    except re2.error as fault:
        why = fault.args[0] if fault.args else "malformed"
        text = why.decode("utf-8", "replace") if isinstance(why, bytes) else str(why)
        raise PatternError(text) from None


def full_match(pattern: str, value: str) -> bool:
    return compiled(pattern).fullmatch(value) is not None


@lru_cache(maxsize=20_000)
def literal_start(pattern: str) -> str:
    """A literal text that each match begins with; may be shorter than the longest such text."""
    depth = 0
    escaped = False
    for char in pattern:  # an alternative at the top level: no common start is known
        if escaped:
            escaped = False
        elif char == "\\":
            escaped = True
        elif char in "([":
            depth += 1
        elif char in ")]":
            depth -= 1
        elif char == "|" and depth <= 0:
            return ""
    literal = []
    index = 1 if pattern.startswith("^") else 0
    while index < len(pattern):
        char = pattern[index]
        width = 1
        if char == "\\" and index + 1 < len(pattern) and not pattern[index + 1].isalnum():
            char, width = pattern[index + 1], 2
        elif char in METACHARACTERS:
            break
        following = pattern[index + width : index + width + 1]
        if following in ("*", "?", "{"):
            break  # this character may occur zero times
        literal.append(char)
        index += width
        if following == "+":
            break
    return "".join(literal)
