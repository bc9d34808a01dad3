"""The one place where requests, attempts and their ends are counted. `INFO` and the figures read from it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

REFUSALS = (429, 503)

Asked = TypeVar("Asked", contravariant=True)


class Watcher(Protocol[Asked]):
    """What a feature is told of each request: its turn has come; its end (None: the caller left)."""

    def begun(self, asked: Asked) -> None: ...

    def ended(self, asked: Asked, code: int | None) -> None: ...


class Handled:
    """How the requests of one class ended."""

    __slots__ = ("bad_gateway", "dropped", "gone", "passed")

    def __init__(self) -> None:
        self.passed = self.dropped = self.bad_gateway = self.gone = 0

    def add(self, code: int | None) -> None:
        """`code`: of the answer that went out whole; None: the client left before."""
        if code is None:
            self.gone += 1
        elif code == 200:
            self.passed += 1
        elif code in REFUSALS:
            self.dropped += 1
        else:
            self.bad_gateway += 1

    @property
    def total(self) -> int:
        return self.passed + self.dropped + self.bad_gateway + self.gone


class Ledger:
    """Every request of a known class that came whole is in `in_progress` until it is in one count of its
    class. Readers in other threads see figures that may be one step apart."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.handled = {name: Handled() for name in classes}
        self.in_progress = 0
        self.upstream_tries = 0  # attempts whose last byte was written to a backend

    def taken(self) -> None:
        self.in_progress += 1

    def ended(self, cls: str, code: int | None) -> None:
        self.in_progress -= 1
        self.handled[cls].add(code)

    def tried(self) -> None:
        self.upstream_tries += 1
