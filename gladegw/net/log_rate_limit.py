"""Limit of the log lines of one kind."""

from __future__ import annotations

import math
import time


class LogRateLimit:
    """Limits how many lines of one kind are logged in each second."""

    def __init__(self, max_lines_per_s: int) -> None:
        self.max_lines_per_s = max_lines_per_s
        self.began_at = -math.inf  # of the current second
        self.lines = 0  # in the current second

    def take(self) -> bool:
        """Return whether a line may be logged now, and count it."""
        now = time.monotonic()
        if now >= self.began_at + 1.0:
            self.began_at, self.lines = now, 0
        self.lines += 1
        return self.lines <= self.max_lines_per_s
