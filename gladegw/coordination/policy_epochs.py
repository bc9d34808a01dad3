"""One policy a request, through all tiers: the first proxy's stamp, and which table a later one decides by.

A stamp names the epoch and the bundle, so that it says the same to each proxy, whatever that one has heard so
far. Where the table that it names is not there, the request is refused as never run: by another it would be
decided by two policies.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

HEADER = b"x-policy-epoch"
PATTERN = re.compile(rb"(0|[1-9]\d{0,11})-([0-9a-f]{0,64})")
MAX_RETAINED_TABLES = 4  # tables before the one in use, whatever their time: each is memory


@dataclass(frozen=True, slots=True)
class PolicyEpoch:
    """`digest` is empty for epoch 0, in which each proxy has a file of its own."""

    epoch: int
    digest: str

    def __str__(self) -> str:
        return f"{self.epoch}-{self.digest}"


def parse_epoch(text: bytes) -> PolicyEpoch:
    """Raises ValueError."""
    found = PATTERN.fullmatch(text)
    if found is None:
        raise ValueError("malformed stamp")
    return PolicyEpoch(int(found[1]), found[2].decode())


class TableState(Enum):
    """Of the table that a stamp names, at one proxy."""

    IN_USE = "in use"
    RETAINED = "held"  # the one in use before, or before that
    PREPARED = "prepared"  # in force elsewhere already, since a proxy stamps by it
    RETIRED = "retired"
    UNKNOWN = "unknown"


USABLE_STATES = (TableState.IN_USE, TableState.RETAINED, TableState.PREPARED)


@dataclass(slots=True)
class TableRetention:
    """The tables that a proxy can decide by. `hold`: s for which one is kept after it was in use; longer than
    a request may be on its way."""

    retention_s: float
    in_use: PolicyEpoch | None = None  # none was yet
    retained: dict[PolicyEpoch, float] = field(default_factory=dict)  # until when
    prepared: PolicyEpoch | None = None

    def on_prepared(self, stamp: PolicyEpoch | None) -> None:
        """What it has agreed to, right before its vote is sent; None: that is over."""
        newer = stamp is not None and (self.in_use is None or stamp.epoch > self.in_use.epoch)
        self.prepared = stamp if newer else None

    def activate(self, stamp: PolicyEpoch, now: float) -> None:
        if stamp == self.in_use:
            return
        self.retained.pop(stamp, None)
        if self.in_use is not None:
            self.retained[self.in_use] = now + self.retention_s
        self.in_use = stamp
        if self.prepared is not None and self.prepared.epoch <= stamp.epoch:
            self.prepared = None

    def state_of(self, stamp: PolicyEpoch, now: float) -> TableState:
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
        """Those that are held no longer; each is told once."""
        order = sorted(self.retained, key=lambda stamp: self.retained[stamp])
        gone = [
            stamp
            for number, stamp in enumerate(order)
            if self.retained[stamp] <= now or number < len(order) - MAX_RETAINED_TABLES
        ]
        for stamp in gone:
            del self.retained[stamp]
        return gone
