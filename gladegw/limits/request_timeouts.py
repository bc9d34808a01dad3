"""Deadlines for receiving a request: its head, its body and the gaps between body bytes."""

from __future__ import annotations

import math

HEAD_TIMEOUT_S = 2.2  # also for a whole short request; a legitimate client may take 2 s
MIN_BODY_BYTES_PER_S = 48_000.0  # a legitimate client sends at least 64 kB/s
BODY_STALL_TIMEOUT_S = 1.2  # a body below the minimum rate for this long counts as abandoned
FIRST_BODY_TIMEOUT_S = 2.8  # from connecting to a body's first bytes; disconnects silent peers within 3 s
MIN_BODY_START_S = 0.3  # minimum time for a body's first bytes, even after a late head


class RequestDeadline:
    """The time `due_at` at which the peer times out; infinite while nothing is expected from it.

    All times are in seconds on the clock that the caller passes as `now`.
    """

    __slots__ = ("accepted_at", "due_at")

    def __init__(self, accepted_at: float) -> None:
        self.accepted_at = accepted_at
        self.due_at = accepted_at + HEAD_TIMEOUT_S

    def on_head_start(self, now: float) -> None:
        """Handle the first byte of a request; the time for a connection's first one runs from its accept."""
        self.due_at = min(self.due_at, now + HEAD_TIMEOUT_S)

    def on_body_start(self, now: float) -> None:
        """Handle the end of a head with a body to follow.

        A short body may be as slow as a head, so head and body together get at least the head's timeout.
        """
        self.due_at = max(
            self.due_at,
            min(
                now + BODY_STALL_TIMEOUT_S,
                max(self.accepted_at + FIRST_BODY_TIMEOUT_S, now + MIN_BODY_START_S),
            ),
        )

    def on_body(self, size: int, now: float) -> None:
        """Extend the deadline for `size` bytes of body received at `now`."""
        if self.due_at < math.inf:
            self.due_at = max(
                self.due_at, min(now + BODY_STALL_TIMEOUT_S, self.due_at + size / MIN_BODY_BYTES_PER_S)
            )

    def on_body_awaited(self, size: int, now: float) -> None:
        """Extend the deadline for the next `size` bytes of body, which are read once all have arrived."""
        if self.due_at < math.inf:
            self.due_at = max(self.due_at, now + MIN_BODY_START_S + size / MIN_BODY_BYTES_PER_S)

    def suspend(self) -> None:
        """Suspend the deadline while this side does not read."""
        self.due_at = math.inf

    def resume(self, now: float) -> None:
        """Restart the deadline when this side reads again."""
        self.due_at = now + BODY_STALL_TIMEOUT_S

    def on_complete(self) -> None:
        """Stop the deadline at the end of a request; the next one's starts with its own first byte."""
        self.due_at = self.accepted_at = math.inf
