"""A lease as its holder can prove it, by its own clock alone.

The store ends a lease a time to live after it got the last renewal, by its clock. The holder can't see that
moment. It counts from before the renewal was sent, which is earlier, and takes off a share for how much its
own clock may lag behind the store's. So its bound lies before the store's, as long as clocks run at a pace
within that share of each other; none has to show the right time (C. Gray and D. Cheriton, "Leases", SOSP
1989, section 2). The clock has to count the time in which the machine was suspended.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_CLOCK_DRIFT = (
    0.15  # share of a time to live that the holder gives away: a clock 10 % slow against one 5 % fast
)


@dataclass(frozen=True, slots=True)
class Lease:
    """Times in s, by the holder's clock. `until` is the holder's own bound: nothing is begun from then on."""

    id: int = 0  # 0: none
    until: float = -math.inf

    def is_valid(self, now: float) -> bool:
        return self.id != 0 and now < self.until


def granted(id: int, sent: float, ttl: float, drift: float = MAX_CLOCK_DRIFT) -> Lease:
    """`sent` is when the request went out, not when its answer came."""
    return Lease(id, sent + ttl * (1.0 - drift))


def renewed(lease: Lease, id: int, sent: float, ttl: float, drift: float = MAX_CLOCK_DRIFT) -> Lease:
    """A renewal that was answered. An answer may come late, and after that of a later renewal: a bound never
    goes back. `ttl` 0: the store knows no such lease, so it is over whatever the bound said."""
    if id != lease.id or not id:
        return lease
    if ttl <= 0:
        return Lease()
    return Lease(id, max(lease.until, sent + ttl * (1.0 - drift)))


def renewal_due(lease: Lease, ttl: float, drift: float = MAX_CLOCK_DRIFT) -> float:
    """When to send the next renewal: at two thirds of what is left after an answered one."""
    return lease.until - ttl * (1.0 - drift) * 2 / 3


class StaleTokenError(Exception):
    """An effect whose token is older than one that was accepted; the message says both."""


class Fence:
    """What an effect touches keeps the highest token and refuses lower ones; where the store itself is
    written, the transaction compares instead."""

    __slots__ = ("highest",)

    def __init__(self, highest: int = 0) -> None:
        self.highest = highest

    def accept(self, token: int) -> None:
        if token < self.highest:
            raise StaleTokenError(f"token {token} after {self.highest}")
        self.highest = token
