"""The time until which this process may answer requests.

The thread of the store client writes it, and the event loop that serves requests reads it before each of
them. It is a single float, so no lock is needed.
"""

from __future__ import annotations

import math
from collections.abc import Callable


class ServingLease:
    """The right to serve requests, which expires by itself.

    It is valid until `until`, in s of `clock`, and not valid before `until` is first set. Because it expires
    without an event, a process that was suspended answers none of the requests queued in its sockets before
    it has renewed.
    """

    __slots__ = ("clock", "until")

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.until = -math.inf

    @property
    def open(self) -> bool:
        """Whether requests may be answered now."""
        return self.clock() < self.until

    def close(self) -> None:
        """End the lease at once."""
        self.until = -math.inf
