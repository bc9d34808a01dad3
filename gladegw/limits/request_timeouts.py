"""How long a peer may take for a request: head and body by their progress, silence and rubbish not at all."""

from __future__ import annotations

import math

HEAD = 2.2  # s for a head, and for a short request as a whole; a true client may take 2 s
SLOWEST = 48_000.0  # bytes a second of a body; a true client sends 64 kB a second
STALL = 1.2  # s without that before a body counts as abandoned
FIRST = 2.8  # s from connecting at which a body must be on its way: silence is owed an end within 3 s
LEAST = 0.3  # s for the first bytes of a body, however late its head was


class Pace:
    """`due` is when the peer counts as silent; infinite where nothing is awaited of it."""

    __slots__ = ("came", "due")

    def __init__(self, came: float) -> None:
        self.came = came
        self.due = came + HEAD

    def head_begins(self, now: float) -> None:
        """The first byte of a request; the first one of a connection is awaited since it came."""
        self.due = min(self.due, now + HEAD)

    def body_begins(self, now: float) -> None:
        """A short body may come as slowly as a head: both together have a head's time at least."""
        self.due = max(self.due, min(now + STALL, max(self.came + FIRST, now + LEAST)))

    def body(self, size: int, now: float) -> None:
        if self.due < math.inf:
            self.due = max(self.due, min(now + STALL, self.due + size / SLOWEST))

    def held_up(self) -> None:
        """This side does not read, so nothing can be said of the peer."""
        self.due = math.inf

    def resumed(self, now: float) -> None:
        self.due = now + STALL

    def whole(self) -> None:
        """Nothing is awaited. What comes next is not the first: its time is from its own first byte."""
        self.due = self.came = math.inf
