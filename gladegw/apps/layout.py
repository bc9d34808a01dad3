"""Lays a file out: two blanks a level, one blank line at most, equal signs of neighbouring lines aligned.
Comments stay; nothing but blanks is changed."""

from __future__ import annotations

from itertools import groupby

from gladegw.routing.findings import Finding, Place, RoutingError
from gladegw.routing.source import TOKEN

OPEN, CLOSE = "{[", "}]"


def _spaced(words: list[str]) -> str:
    """The words of a line with one blank where one belongs."""
    out = ""
    before = ""
    for word in words:
        tight = not out or word in (",", "]") or before == "["
        if word == "}" and before == "{":
            tight = True
        out += word if tight else " " + word
        before = word
    return out


def _lines(text: str, file: str) -> list[list[str]]:
    """The words of each line; a comment over several lines stays one word."""
    lines: list[list[str]] = [[]]
    at = 0
    while at < len(text):
        found = TOKEN.match(text, at)
        if found is None:
            place = Place(file, text.count("\n", 0, at) + 1, at - text.rfind("\n", 0, at))
            raise RoutingError([Finding("R001", place, f"unexpected {text[at]!r}")])
        if found.lastgroup == "line":
            lines.append([])
        elif found.lastgroup != "blank":
            lines[-1].append(found[0].rstrip())
        at = found.end()
    return lines


def laid_out(text: str, file: str = "") -> str:
    """Raises RoutingError for what is no HCL."""
    depth = 0
    made: list[tuple[int, list[str]]] = []
    for words in _lines(text, file):
        closing = 0
        for word in words:
            if word not in CLOSE:
                break
            closing += 1
        made.append((max(0, depth - closing), words))
        depth += sum((word in OPEN) - (word in CLOSE) for word in words if word)
    return _aligned(made)


def _aligned(lines: list[tuple[int, list[str]]]) -> str:
    out: list[str] = []
    for kind, group in groupby(lines, key=_kind):
        some = list(group)
        if kind is None:
            for level, words in some:
                text = "  " * level + _spaced(words) if words else ""
                if text or (out and out[-1]):
                    out.append(text)
            continue
        width = max(len(words[0]) for _, words in some)
        out += ["  " * level + f"{words[0]:<{width}} " + _spaced(words[1:]) for level, words in some]
    while out and not out[-1]:
        out.pop()
    return "\n".join(out) + "\n"


def _kind(line: tuple[int, list[str]]) -> int | None:
    """Lines that are aligned with their neighbours have the same; None: those that are not."""
    level, words = line
    setting = len(words) > 2 and words[1] == "=" and words[-1] not in OPEN
    return level if setting else None
