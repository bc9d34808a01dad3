"""Findings: one for each fault in a description, with its place in the file and a code that never changes."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import dataclass

CODES: dict[str, str] = {
    "R001": "the file can't be read as HCL",
    "R002": "unknown key",
    "R003": "unknown block",
    "R004": "duplicate block or key",
    "R005": "a value of the wrong type or out of range",
    "R006": "something needed is missing",
    "R007": "settings that exclude each other",
    "R008": "a pattern that can't be used",
    "R101": "two routes claim the same request with equal precedence",
    "R102": "two applications claim overlapping routes",
    "R103": "a route that no request reaches",
    "R104": "a route that no request can match",
    "R201": "unknown pool",
    "R202": "unknown class",
    "R203": "unknown tenant",
    "R204": "unknown application",
    "R205": "names collide",
    "R301": "more attempts than the class permits",
    "R302": "too many attempts over all tiers",
    "R303": "a timeout longer than the caller's",
    "R304": "a timeout shorter than the class's aim",
    "R401": "weights that sum to nothing",
    "R402": "a mirror of a class that is not safe to repeat",
    "R403": "fallbacks in a circle",
    "R404": "applications that call each other in a circle",
    "R405": "a selector that no endpoint matches",
    "R406": "the path is changed where the platform wants it unchanged",
    "R407": "a pool that no route uses",
    "R501": "an expectation that can't be read",
}


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """A position in a file; line and column count from 1."""

    file: str
    line: int
    column: int = 1

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Finding:
    code: str  # one of CODES
    place: Place
    message: str
    other: Place | None = None  # another place involved, such as the first of two duplicates
    hint: str = ""

    def __str__(self) -> str:
        other = f" (see {self.other.file}:{self.other.line})" if self.other is not None else ""
        hint = f"; {self.hint}" if self.hint else ""
        return f"{self.place}: {self.code} {self.message}{other}{hint}"


class RoutingError(Exception):
    """A description can't be used. The message is the first finding, on one line."""

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = sorted(set(findings), key=lambda found: (found.place, found.code, found.message))
        super().__init__(str(self.findings[0]) if self.findings else "no description")


def nearest(word: str, known: Iterable[str]) -> str:
    """A hint that names the most similar known word; empty if none is similar."""
    matches = difflib.get_close_matches(word, list(known), n=1, cutoff=0.6)
    return f"did you mean {matches[0]}?" if matches else ""
