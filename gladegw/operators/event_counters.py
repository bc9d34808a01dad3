"""Counters of a proxy's internal events and ages of its endpoint lists, reported by the metrics."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol


class CountedEvent(NamedTuple):
    """A kind of event: the name of its counter and the counter's only tag."""

    counter: str
    tag: str
    value: str


class MemoryReport(Protocol):
    """What a process tells of its memory."""

    def gauges(self) -> Iterable[tuple[str, str, int]]:
        """Name, value of the tag `kind` (empty: no tag) and bytes of each gauge."""
        ...

    def take_shortages(self) -> Iterable[tuple[str, int]]:
        """What was done for lack of memory since the last call, and how often."""
        ...


class EventCounters:
    """The events counted since the last report, and the current age of each pool's endpoint list."""

    def __init__(self) -> None:
        self.counts: Counter[CountedEvent] = Counter()
        # By pool: seconds since discovery last confirmed the pool's endpoint list.
        self.list_ages: dict[str, Callable[[], float]] = {}
        # By pool: seconds until the list expires, 0 or less once it has.
        self.list_validities: dict[str, Callable[[], float]] = {}
        self.memory: MemoryReport | None = None

    def on_discovery_call(self, result: str) -> None:
        """Count a call to discovery; `result` is `answered` or the kind of its failure."""
        self.counts[CountedEvent("discovery.calls", "result", result)] += 1

    def on_send(self, list_state: str) -> None:
        """Count an attempt by the state of the endpoint list that it relies on."""
        self.counts[CountedEvent("sends", "list", list_state)] += 1

    def on_attempt_end(self, status: str) -> None:
        """Count an attempt that ended with `status`."""
        self.counts[CountedEvent("attempts", "status", status)] += 1

    def on_retry(self, status: str) -> None:
        """Count a further attempt of a request whose attempt before ended with `status`."""
        self.counts[CountedEvent("retries", "after", status)] += 1

    def on_rejection(self, reason: str) -> None:
        """Count a request that got no further attempt, for `reason`."""
        self.counts[CountedEvent("rejections", "reason", reason)] += 1

    def take(self) -> Counter[CountedEvent]:
        """Return the counts since the last call."""
        counts, self.counts = self.counts, Counter()
        return counts
