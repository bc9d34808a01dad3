"""How requests ended and how long they took, by class, whoever answered them: also routes by themselves and a
missing route, which are what a bad table does. For rollouts; imported with the block `rollout` alone."""

from __future__ import annotations

import time
from collections.abc import Iterable

from gladegw.balancing.events import RequestClass
from gladegw.net.interfaces import RequestInfo
from gladegw.operators.request_counters import OutcomeCounts


class RequestTiming:
    """Read from the agent's thread: figures that may be one step apart."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self.objectives = {cls.name: cls.latency_objective for cls in classes}
        self.durations = dict.fromkeys(self.objectives, 0.0)  # s, of those that were answered with 200
        self.late = dict.fromkeys(self.objectives, 0)  # of these, not within their class's aim
        self.count = dict.fromkeys(self.durations, 0)
        self.ends = {cls: OutcomeCounts() for cls in self.durations}

    def on_start(self, asked: RequestInfo) -> None:
        pass

    def on_end(self, asked: RequestInfo, code: int | None) -> None:
        if asked.cls not in self.durations:
            return
        self.ends[asked.cls].add(code)
        if code == 200:
            took = time.monotonic() - asked.received_at
            self.durations[asked.cls] += took
            self.count[asked.cls] += 1
            self.late[asked.cls] += took > self.objectives[asked.cls]

    def counters(self) -> dict[str, int]:
        """Microseconds and counts, which only grow."""
        told = {f"took.{cls}": round(1e6 * took) for cls, took in self.durations.items()}
        for cls, ends in self.ends.items():
            told |= {
                f"late.{cls}": self.late[cls],
                f"timed.{cls}": self.count[cls],
                f"ended.{cls}.passed": ends.passed,
                f"ended.{cls}.refused": ends.dropped,
                f"ended.{cls}.failed": ends.bad_gateway,
                f"ended.{cls}.gone": ends.disconnected,
            }
        return told
