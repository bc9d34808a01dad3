"""How long a peer may take for a request: head and body by their progress, silence and rubbish not at all."""

from __future__ import annotations

import math

HEAD_TIMEOUT_S = 2.2  # s for a head, and for a short request as a whole; a true client may take 2 s
MIN_BODY_BYTES_PER_S = 48_000.0  # bytes a second of a body; a true client sends 64 kB a second
BODY_STALL_TIMEOUT_S = 1.2  # s without that before a body counts as abandoned
FIRST_BODY_TIMEOUT_S = (
    2.8  # s from connecting at which a body must be on its way: silence is owed an end within 3 s
)
MIN_BODY_START_S = 0.3  # s for the first bytes of a body, however late its head was


class RequestDeadline:
    """`due` is when the peer counts as silent; infinite where nothing is awaited of it."""

    __slots__ = ("accepted_at", "due_at")

    def __init__(self, accepted_at: float) -> None:
        self.accepted_at = accepted_at
        self.due_at = accepted_at + HEAD_TIMEOUT_S

    def on_head_start(self, now: float) -> None:
        """The first byte of a request; the first one of a connection is awaited since it came."""
        self.due_at = min(self.due_at, now + HEAD_TIMEOUT_S)

    def on_body_start(self, now: float) -> None:
        """A short body may come as slowly as a head: both together have a head's time at least."""
        self.due_at = max(
            self.due_at,
            min(
                now + BODY_STALL_TIMEOUT_S,
                max(self.accepted_at + FIRST_BODY_TIMEOUT_S, now + MIN_BODY_START_S),
            ),
        )

    def on_body(self, size: int, now: float) -> None:
        if self.due_at < math.inf:
            self.due_at = max(
                self.due_at, min(now + BODY_STALL_TIMEOUT_S, self.due_at + size / MIN_BODY_BYTES_PER_S)
            )

    def suspend(self) -> None:
        """This side does not read, so nothing can be said of the peer."""
        self.due_at = math.inf

    def resume(self, now: float) -> None:
        self.due_at = now + BODY_STALL_TIMEOUT_S

    def on_complete(self) -> None:
        """Nothing is awaited. What comes next is not the first: its time is from its own first byte."""
        self.due_at = self.accepted_at = math.inf
