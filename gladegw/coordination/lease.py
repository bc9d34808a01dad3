"""A store lease with an expiry that its holder computes from its own clock alone.

By its own clock, the store expires a lease one time to live after the last renewal arrived. The holder cannot
observe that moment. It counts from the moment before it sent the renewal, which is earlier, and subtracts a
fraction for clock drift. Its expiry therefore lies before the store's as long as the clock rates differ by
less than that fraction; no clock has to show the right time (C. Gray and D. Cheriton, "Leases", SOSP 1989,
section 2). The holder's clock must also count the time for which the machine was suspended.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.15  # fraction of the time to live; covers a clock 10 % slow against one 5 % fast


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store with the expiry that its holder assumes.

    `until` is in s of the holder's clock; no effect is started from then on.
    """

    id: int = 0  # 0: none
    until: float = -math.inf

    def is_valid(self, now: float) -> bool:
        """Whether there is a lease and it has not expired at `now`."""
        return self.id != 0 and now < self.until


def granted(id: int, sent: float, ttl: float, drift: float = MAX_CLOCK_DRIFT) -> Lease:
    """Return the lease after a response to its grant.

    `sent` is when the request was sent, not when its response arrived. Times in s.
    """
    return Lease(id, sent + ttl * (1.0 - drift))


def renewed(lease: Lease, id: int, sent: float, ttl: float, drift: float = MAX_CLOCK_DRIFT) -> Lease:
    """Return the lease after a response to a renewal.

    Responses may arrive late and out of order, so `until` never decreases. A `ttl` of 0 means that the store
    has no such lease, so it is over whatever its expiry was. A response for another lease changes nothing.
    """
    if id != lease.id or not id:
        return lease
    if ttl <= 0:
        return Lease()
    return Lease(id, max(lease.until, sent + ttl * (1.0 - drift)))


def renewal_due(lease: Lease, ttl: float, drift: float = MAX_CLOCK_DRIFT) -> float:
    """Return when to send the next renewal: a third of the validity after the last answered one was sent."""
    return lease.until - ttl * (1.0 - drift) * 2 / 3


class StaleTokenError(Exception):
    """An effect has an older token than one accepted before; the message names both tokens."""


class Fence:
    """The guard of a resource outside the store against former holders of a duty.

    It stores the highest fencing token and rejects lower ones. Writes to the store need no Fence, since their
    transaction compares the token.
    """

    __slots__ = ("highest",)

    def __init__(self, highest: int = 0) -> None:
        self.highest = highest

    def accept(self, token: int) -> None:
        """Record the token; raises StaleTokenError if a higher one was accepted before."""
        if token < self.highest:
            raise StaleTokenError(f"token {token} after {self.highest}")
        self.highest = token
