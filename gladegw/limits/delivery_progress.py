"""Notices that a peer takes no more of the bytes that were written to its connection."""

from __future__ import annotations


class DeliveryProgress:
    """Notices that a peer has stopped reading.

    What a peer takes shows in the number of undelivered bytes: those that were written to its connection and
    that its system has not acknowledged. Times are in seconds on the clock that the caller passes as `now`.
    """

    __slots__ = ("_progressed_at", "_undelivered", "max_stall_s")

    def __init__(self, max_stall_s: float, now: float) -> None:
        self.max_stall_s = max_stall_s
        self._progressed_at = now
        self._undelivered = 0

    def restart(self, now: float, undelivered: int) -> None:
        """Count the time without progress from `now`."""
        self._progressed_at, self._undelivered = now, undelivered

    def has_stalled(self, now: float, undelivered: int) -> bool:
        """Whether the number of undelivered bytes has not changed for `max_stall_s`."""
        if undelivered != self._undelivered:
            self.restart(now, undelivered)
        return now >= self._progressed_at + self.max_stall_s
