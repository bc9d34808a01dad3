"""Counters of requests, their outcomes and upstream attempts, reported by `INFO` and the metrics."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

REJECTION_CODES = (429, 503)

RequestT = TypeVar("RequestT", contravariant=True)


class RequestObserver(Protocol[RequestT]):
    """Receives the start and the end of each request."""

    def on_start(self, request: RequestT) -> None:
        """Handle the start of a request's processing."""
        ...

    def on_end(self, request: RequestT, code: int | None) -> None:
        """Handle a request's end; `code` is its status code, None if the client disconnected."""
        ...


class OutcomeCounts:
    """The outcomes of the requests of one class."""

    __slots__ = ("bad_gateway", "disconnected", "dropped", "passed")

    def __init__(self) -> None:
        self.passed = self.dropped = self.bad_gateway = self.disconnected = 0

    def add(self, code: int | None) -> None:
        """Count a response completed with status `code`; None if the client disconnected before."""
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
        """The number of requests that ended."""
        return self.passed + self.dropped + self.bad_gateway + self.disconnected


class RequestCounters:
    """The counters of one process.

    Each completely received request of a known class counts in `in_progress` until it is counted as one
    outcome of its class. Readers in other threads may see some counters one update behind the others.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        self.handled = {name: OutcomeCounts() for name in classes}
        self.in_progress = 0
        self.upstream_attempts = 0  # attempts whose request was completely written to a backend

    def on_received(self) -> None:
        """Count a completely received request."""
        self.in_progress += 1

    def on_ended(self, cls: str, code: int | None) -> None:
        """Count the end of a request of class `cls`; `code` as in `OutcomeCounts.add`."""
        self.in_progress -= 1
        self.handled[cls].add(code)

    def on_attempt(self) -> None:
        """Count an upstream attempt."""
        self.upstream_attempts += 1
