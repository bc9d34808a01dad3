"""The one place where requests, attempts and their ends are counted. `INFO` and the figures read from it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

REJECTION_CODES = (429, 503)

Asked = TypeVar("Asked", contravariant=True)


class RequestObserver(Protocol[Asked]):
    """What a feature is told of each request: its turn has come; its end (None: the caller left)."""

    def on_start(self, asked: Asked) -> None: ...

    def on_end(self, asked: Asked, code: int | None) -> None: ...


class OutcomeCounts:
    """How the requests of one class ended."""

    __slots__ = ("bad_gateway", "disconnected", "dropped", "passed")

    def __init__(self) -> None:
        self.passed = self.dropped = self.bad_gateway = self.disconnected = 0

    def add(self, code: int | None) -> None:
        """`code`: of the answer that went out whole; None: the client left before."""
        if code is None:
            self.disconnected += 1
        elif code == 200:
            self.passed += 1
        elif code in REJECTION_CODES:
            self.dropped += 1
        else:
            self.bad_gateway += 1

    @property
    def total(self) -> int:
        return self.passed + self.dropped + self.bad_gateway + self.disconnected


class RequestCounters:
    """Every request of a known class that came whole is in `in_progress` until it is in one count of its
    class. Readers in other threads see figures that may be one step apart."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.handled = {name: OutcomeCounts() for name in classes}
        self.in_progress = 0
        self.upstream_attempts = 0  # attempts whose last byte was written to a backend

    def on_received(self) -> None:
        self.in_progress += 1

    def on_ended(self, cls: str, code: int | None) -> None:
        self.in_progress -= 1
        self.handled[cls].add(code)

    def on_attempt(self) -> None:
        self.upstream_attempts += 1
