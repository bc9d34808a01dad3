"""Outcomes and durations of requests by class, for rollouts.

Responses that routes give themselves and requests without a route count too, since an invalid route table
causes them. Imported only if the block `rollout` is configured.
"""

from __future__ import annotations

import time
from collections.abc import Iterable

from gladegw.balancing.events import RequestClass
from gladegw.net.interfaces import RequestInfo
from gladegw.operators.request_counters import OutcomeCounts


class RequestTiming:
    """Request observer with cumulative counters.

    The fleet member's thread reads the counters without a lock, so they may be one update apart.
    """

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self.objectives = {cls.name: cls.latency_objective for cls in classes}
        self.durations = dict.fromkeys(self.objectives, 0.0)  # s, total of requests answered with 200
        self.late = dict.fromkeys(self.objectives, 0)  # of these, slower than the class's latency objective
        self.count = dict.fromkeys(self.durations, 0)  # requests answered with 200
        self.ends = {cls: OutcomeCounts() for cls in self.durations}

    def on_start(self, request: RequestInfo) -> None:
        """Do nothing; requests are counted when they end."""
        pass

    def on_end(self, request: RequestInfo, code: int | None) -> None:
        """Count the request; `code` is None if it got no response."""
        if request.cls not in self.durations:
            return
        self.ends[request.cls].add(code)
        if code == 200:
            duration = time.monotonic() - request.received_at
            self.durations[request.cls] += duration
            self.count[request.cls] += 1
            self.late[request.cls] += duration > self.objectives[request.cls]

    def counters(self) -> dict[str, int]:
        """Cumulative counters; durations are in microseconds."""
        counters = {f"took.{cls}": round(1e6 * duration) for cls, duration in self.durations.items()}
        for cls, ends in self.ends.items():
            counters |= {
                f"late.{cls}": self.late[cls],
                f"timed.{cls}": self.count[cls],
                f"ended.{cls}.passed": ends.passed,
                f"ended.{cls}.refused": ends.dropped,
                f"ended.{cls}.failed": ends.bad_gateway,
                f"ended.{cls}.gone": ends.disconnected,
            }
        return counters
