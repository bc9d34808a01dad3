"""Until when requests may be answered, by the machine's clock: written by the thread that talks to the store,
asked by the serving loop before each request. One float, so no lock is needed."""

from __future__ import annotations

import math
from collections.abc import Callable


class ServingLease:
    """Closed until it is told otherwise. A bound that has passed closes it by itself, so a process that stood
    still, with requests waiting in its sockets, answers none of them before it has asked again."""

    __slots__ = ("clock", "until")

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.until = -math.inf

    @property
    def open(self) -> bool:
        return self.clock() < self.until

    def close(self) -> None:
        self.until = -math.inf
