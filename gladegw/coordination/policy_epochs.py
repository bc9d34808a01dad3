"""The policy epoch header, by which all proxies on a request's path decide by the same policy.

The first proxy adds the header. It names the epoch and the bundle's digest, so it means the same to each
proxy, whatever updates that one has received. A proxy without the named table sheds the request, since any
other table would apply a second policy to it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

HEADER = b"x-policy-epoch"
PATTERN = re.compile(rb"(0|[1-9]\d{0,11})-([0-9a-f]{0,64})")
MAX_RETAINED_TABLES = 4  # bounds the memory, whatever the retention time


class PolicyEpochError(ValueError):
    """A header value that is no policy epoch."""


@dataclass(frozen=True, slots=True)
class PolicyEpoch:
    """The epoch of a policy with its bundle's digest.

    The digest is empty for epoch 0, in which each proxy has a configuration file of its own.
    """

    epoch: int
    digest: str

    def __str__(self) -> str:
        return f"{self.epoch}-{self.digest}"


def parse_epoch(text: bytes) -> PolicyEpoch:
    """Parse the header's value; raises PolicyEpochError."""
    match = PATTERN.fullmatch(text)
    if match is None:
        raise PolicyEpochError("malformed stamp")
    return PolicyEpoch(int(match[1]), match[2].decode())


class TableState(Enum):
    """The state at one proxy of the table that a policy epoch names."""

    IN_USE = "in use"
    RETAINED = "held"  # was in use before
    PREPARED = "prepared"  # committed already, since another proxy sent its epoch
    RETIRED = "retired"
    UNKNOWN = "unknown"


USABLE_STATES = (TableState.IN_USE, TableState.RETAINED, TableState.PREPARED)


@dataclass(slots=True)
class TableRetention:
    """The tables that a proxy can decide by.

    `retention_s` is how long a table is retained after it was in use; it must exceed the longest time that a
    request takes from the first proxy to the last.
    """

    retention_s: float
    in_use: PolicyEpoch | None = None
    retained: dict[PolicyEpoch, float] = field(default_factory=dict)  # expiry times in s
    prepared: PolicyEpoch | None = None

    def on_prepared(self, stamp: PolicyEpoch | None) -> None:
        """Record the table to be voted for, before the vote is sent; None once the change has ended."""
        newer = stamp is not None and (self.in_use is None or stamp.epoch > self.in_use.epoch)
        self.prepared = stamp if newer else None

    def activate(self, stamp: PolicyEpoch, now: float) -> None:
        """Put a table in use and retain the one before it."""
        if stamp == self.in_use:
            return
        self.retained.pop(stamp, None)
        if self.in_use is not None:
            self.retained[self.in_use] = now + self.retention_s
        self.in_use = stamp
        if self.prepared is not None and self.prepared.epoch <= stamp.epoch:
            self.prepared = None

    def state_of(self, stamp: PolicyEpoch, now: float) -> TableState:
        """Return the state of the table that a request's policy epoch names."""
        if stamp == self.in_use:
            return TableState.IN_USE
        if now < self.retained.get(stamp, now):
            return TableState.RETAINED
        if stamp == self.prepared:
            return TableState.PREPARED
        if self.in_use is None or stamp.epoch > self.in_use.epoch:
            return TableState.UNKNOWN
        return TableState.RETIRED

    def expire(self, now: float) -> list[PolicyEpoch]:
        """Drop tables past their retention and return them, each once."""
        order = sorted(self.retained, key=lambda stamp: self.retained[stamp])
        expired = [
            stamp
            for number, stamp in enumerate(order)
            if self.retained[stamp] <= now or number < len(order) - MAX_RETAINED_TABLES
        ]
        for stamp in expired:
            del self.retained[stamp]
        return expired
