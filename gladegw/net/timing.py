"""How requests ended and how long they took, by class, whoever answered them: also routes by themselves and a
missing route, which are what a bad table does. For rollouts; imported with the block `rollout` alone."""

from __future__ import annotations

import time
from collections.abc import Iterable

from gladegw.balancing.events import RequestClass
from gladegw.net.interfaces import Asked
from gladegw.operators.request_counters import OutcomeCounts


class Timing:
    """Read from the agent's thread: figures that may be one step apart."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self.aims = {cls.name: cls.latency_objective for cls in classes}
        self.took = dict.fromkeys(self.aims, 0.0)  # s, of those that were answered with 200
        self.late = dict.fromkeys(self.aims, 0)  # of these, not within their class's aim
        self.count = dict.fromkeys(self.took, 0)
        self.ends = {cls: OutcomeCounts() for cls in self.took}

    def begun(self, asked: Asked) -> None:
        pass

    def ended(self, asked: Asked, code: int | None) -> None:
        if asked.cls not in self.took:
            return
        self.ends[asked.cls].add(code)
        if code == 200:
            took = time.monotonic() - asked.came
            self.took[asked.cls] += took
            self.count[asked.cls] += 1
            self.late[asked.cls] += took > self.aims[asked.cls]

    def figures(self) -> dict[str, int]:
        """Microseconds and counts, which only grow."""
        told = {f"took.{cls}": round(1e6 * took) for cls, took in self.took.items()}
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
