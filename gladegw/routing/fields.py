"""One block's settings, taken out by type; what is wrong becomes findings, and reading goes on."""

from __future__ import annotations

import math
from typing import Any

from gladegw.routing.findings import Finding, Place, nearest
from gladegw.routing.source import Block


class Fields:
    def __init__(self, block: Block, findings: list[Finding], blocks: tuple[str, ...] = ()) -> None:
        self.block, self.findings = block, findings
        self.known: set[str] = set()
        self.blocks = blocks  # names of the blocks that may stand inside

    def fault(
        self, code: str, message: str, key: str = "", hint: str = "", other: Place | None = None
    ) -> None:
        name = f"{self.block.name} {self.block.label}".strip()
        place = self.block.place_of(key) if key else self.block.place
        self.findings.append(Finding(code, place, f"{name}: {message}", other, hint))

    def has(self, key: str) -> bool:
        self.known.add(key)
        return key in self.block.attributes

    def raw(self, key: str) -> Any:
        self.known.add(key)
        found = self.block.attributes.get(key)
        return None if found is None else found.value

    def wrong(self, key: str, wanted: str) -> None:
        self.fault("R005", f"{key} must be {wanted}", key)

    def text(self, key: str, default: str = "", empty: bool = False) -> str:
        value = self.raw(key)
        if value is None:
            return default
        if not isinstance(value, str) or not (value or empty):
            self.wrong(key, "a text")
            return default
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        value = self.raw(key)
        if value is None:
            return ()
        if not isinstance(value, list) or not all(isinstance(item, str) and item for item in value):
            self.wrong(key, "a list of texts")
            return ()
        if len(set(value)) < len(value):
            self.fault("R004", f"{key} names something twice", key)
        return tuple(dict.fromkeys(value))

    def one_or_more(self, one: str, more: str) -> tuple[str, ...]:
        """`host = "a"` or `hosts = ["a", "b"]`."""
        if self.has(one) and self.has(more):
            self.fault("R007", f"{one} and {more} exclude each other", more)
        single = self.text(one)
        return (single,) if single else self.texts(more)

    def whole(self, key: str, default: int, least: int, most: int) -> int:
        value = self.raw(key)
        if value is None:
            return default
        if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
            self.wrong(key, f"a whole number from {least} to {most}")
            return default
        return value

    def number(self, key: str, default: float, least: float, most: float) -> float:
        value = self.raw(key)
        if value is None:
            return default
        plain = isinstance(value, int | float) and not isinstance(value, bool)
        if not plain or not math.isfinite(value) or not least <= value <= most:
            self.wrong(key, f"a number from {least:g} to {most:g}")
            return default
        return float(value)

    def truth(self, key: str, default: bool) -> bool:
        value = self.raw(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            self.wrong(key, "true or false")
            return default
        return value

    def pairs(self, key: str) -> dict[str, Any]:
        value = self.raw(key)
        if value is None:
            return {}
        if not isinstance(value, dict):
            self.wrong(key, "an object, as { a = 1 }")
            return {}
        return value

    def inner(self, name: str) -> Block | None:
        """The one block of this name inside, if there is one."""
        found = list(self.block.of(name))
        for more in found[1:]:
            self.findings.append(Finding("R004", more.place, f"a second block {name}", found[0].place))
        return found[0] if found else None

    def done(self) -> None:
        """What nothing asked for is unknown."""
        for key in self.block.attributes:
            if key not in self.known:
                hint = nearest(key, self.known | set(self.blocks))
                self.fault("R002", f"unknown key {key}", key, hint)
        for block in self.block.blocks:
            if block.name not in self.blocks:
                hint = nearest(block.name, self.known | set(self.blocks))
                place = f"{self.block.name} {self.block.label}".strip()
                self.findings.append(
                    Finding("R003", block.place, f"{place}: unknown block {block.name}", None, hint)
                )
