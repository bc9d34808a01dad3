"""Typed access to the settings of one block. A wrong value becomes a finding and the default is used."""

from __future__ import annotations

import math
from typing import Any

from gladegw.routing.findings import Finding, Place, nearest
from gladegw.routing.source import Block


class Fields:
    def __init__(self, block: Block, findings: list[Finding], blocks: tuple[str, ...] = ()) -> None:
        self.block, self.findings = block, findings
        self.read_keys: set[str] = set()
        self.blocks = blocks  # names of the blocks that are permitted inside

    def fault(
        self, code: str, message: str, key: str = "", hint: str = "", other: Place | None = None
    ) -> None:
        name = f"{self.block.name} {self.block.label}".strip()
        place = self.block.place_of(key) if key else self.block.place
        self.findings.append(Finding(code, place, f"{name}: {message}", other, hint))

    def has(self, key: str) -> bool:
        self.read_keys.add(key)
        return key in self.block.attributes

    def raw(self, key: str) -> Any:
        self.read_keys.add(key)
        attribute = self.block.attributes.get(key)
        return None if attribute is None else attribute.value

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
            self.fault("R004", f"{key} holds a value more than once", key)
        return tuple(dict.fromkeys(value))

    def one_or_more(self, singular: str, plural: str) -> tuple[str, ...]:
        """The values of `host = "a"` or of `hosts = ["a", "b"]`."""
        if self.has(singular) and self.has(plural):
            self.fault("R007", f"{singular} and {plural} exclude each other", plural)
        single = self.text(singular)
        return (single,) if single else self.texts(plural)

    def whole(self, key: str, default: int, minimum: int, maximum: int) -> int:
        value = self.raw(key)
        if value is None:
            return default
        if not isinstance(value, int) or isinstance(value, bool) or not minimum <= value <= maximum:
            self.wrong(key, f"a whole number from {minimum} to {maximum}")
            return default
        return value

    def number(self, key: str, default: float, minimum: float, maximum: float) -> float:
        value = self.raw(key)
        if value is None:
            return default
        numeric = isinstance(value, int | float) and not isinstance(value, bool)
        if not numeric or not math.isfinite(value) or not minimum <= value <= maximum:
            self.wrong(key, f"a number from {minimum:g} to {maximum:g}")
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
        """The inner block of this name, if there is one; each further one is a finding."""
        blocks = list(self.block.of(name))
        for repeated in blocks[1:]:
            self.findings.append(Finding("R004", repeated.place, f"a second block {name}", blocks[0].place))
        return blocks[0] if blocks else None

    def done(self) -> None:
        """Reports keys that no call has read, and blocks that are not permitted, as unknown."""
        for key in self.block.attributes:
            if key not in self.read_keys:
                hint = nearest(key, self.read_keys | set(self.blocks))
                self.fault("R002", f"unknown key {key}", key, hint)
        for block in self.block.blocks:
            if block.name not in self.blocks:
                hint = nearest(block.name, self.read_keys | set(self.blocks))
                place = f"{self.block.name} {self.block.label}".strip()
                self.findings.append(
                    Finding("R003", block.place, f"{place}: unknown block {block.name}", None, hint)
                )
