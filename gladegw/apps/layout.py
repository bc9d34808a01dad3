"""Formats an HCL file: two spaces of indentation per level, at most one blank line in a row, and aligned
equal signs of adjacent settings. Only white space changes; comments stay."""

from __future__ import annotations

from itertools import groupby

from gladegw.routing.findings import Finding, Place, RoutingError
from gladegw.routing.source import TOKEN

OPEN, CLOSE = "{[", "}]"


def _join_tokens(tokens: list[str]) -> str:
    """Joins the tokens of a line, with one space wherever a space belongs."""
    out = ""
    previous = ""
    for token in tokens:
        tight = not out or token in (",", "]") or previous == "["
        if token == "}" and previous == "{":
            tight = True
        out += token if tight else " " + token
        previous = token
    return out


def _tokens_by_line(text: str, file: str) -> list[list[str]]:
    """The tokens of each line. A comment that spans several lines is one token."""
    lines: list[list[str]] = [[]]
    offset = 0
    while offset < len(text):
        match = TOKEN.match(text, offset)
        if match is None:
            place = Place(file, text.count("\n", 0, offset) + 1, offset - text.rfind("\n", 0, offset))
            raise RoutingError([Finding("R001", place, f"unexpected {text[offset]!r}")])
        if match.lastgroup == "line":
            lines.append([])
        elif match.lastgroup != "blank":
            lines[-1].append(match[0].rstrip())
        offset = match.end()
    return lines


def format_hcl(text: str, file: str = "") -> str:
    """The formatted text. Raises RoutingError for a character that starts no HCL token."""
    depth = 0
    indented: list[tuple[int, list[str]]] = []
    for tokens in _tokens_by_line(text, file):
        closing = 0
        for token in tokens:
            if token not in CLOSE:
                break
            closing += 1
        indented.append((max(0, depth - closing), tokens))
        depth += sum((token in OPEN) - (token in CLOSE) for token in tokens if token)
    return _align(indented)


def _align(lines: list[tuple[int, list[str]]]) -> str:
    out: list[str] = []
    for alignment_level, group in groupby(lines, key=_alignment_level):
        block = list(group)
        if alignment_level is None:
            for level, tokens in block:
                text = "  " * level + _join_tokens(tokens) if tokens else ""
                if text or (out and out[-1]):
                    out.append(text)
            continue
        width = max(len(tokens[0]) for _, tokens in block)
        out += ["  " * level + f"{tokens[0]:<{width}} " + _join_tokens(tokens[1:]) for level, tokens in block]
    while out and not out[-1]:
        out.pop()
    return "\n".join(out) + "\n"


def _alignment_level(line: tuple[int, list[str]]) -> int | None:
    """The indentation level of a setting, whose equal sign is aligned with its neighbours on that level.
    None for any other line."""
    level, tokens = line
    is_setting = len(tokens) > 2 and tokens[1] == "=" and tokens[-1] not in OPEN
    return level if is_setting else None
