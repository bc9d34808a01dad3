"""Conversion of wall-clock times to the monotonic clock, robust against steps of the wall clock."""

from __future__ import annotations

import time

MIN_STEP_S = 0.02  # smallest change of the wall clock against the monotonic clock that counts as a step
MAX_OFFSETS = 8  # clock offsets that are kept


class StartTimes:
    """Converts start times of servers to the monotonic clock.

    A given time may have been taken before or after a step of the wall clock. It is converted with each known
    offset between the clocks, and the latest result that is not in the future is used, so that a server is
    never assumed to be further through its slow start than it is.
    """

    def __init__(self) -> None:
        self.offsets = [time.time() - time.monotonic()]  # wall clock minus monotonic clock, in seconds

    def monotonic(self, since_ms: float) -> float:
        """Convert a Unix time in milliseconds to seconds of the monotonic clock, above 0."""
        now = time.monotonic()
        self._check_step(now)
        readings = [since_ms / 1000 - offset for offset in self.offsets]
        past = [reading for reading in readings if reading <= now + MIN_STEP_S]
        return max(max(past, default=now), 1e-3)

    def _check_step(self, now: float) -> None:
        offset = time.time() - now
        if all(abs(offset - known) > MIN_STEP_S for known in self.offsets):
            self.offsets = [*self.offsets[-MAX_OFFSETS + 1 :], offset]
