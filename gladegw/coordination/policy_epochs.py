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
FORM = re.compile(rb"(0|[1-9]\d{0,11})-([0-9a-f]{0,64})")
MOST_HELD = 4  # tables before the one in use, whatever their time: each is memory


@dataclass(frozen=True, slots=True)
class Stamp:
    """`digest` is empty for epoch 0, in which each proxy has a file of its own."""

    epoch: int
    digest: str

    def __str__(self) -> str:
        return f"{self.epoch}-{self.digest}"


def read(text: bytes) -> Stamp:
    """Raises ValueError."""
    found = FORM.fullmatch(text)
    if found is None:
        raise ValueError("malformed stamp")
    return Stamp(int(found[1]), found[2].decode())


class Standing(Enum):
    """Of the table that a stamp names, at one proxy."""

    IN_USE = "in use"
    HELD = "held"  # the one in use before, or before that
    PREPARED = "prepared"  # in force elsewhere already, since a proxy stamps by it
    RETIRED = "retired"
    UNKNOWN = "unknown"


DECIDES = (Standing.IN_USE, Standing.HELD, Standing.PREPARED)


@dataclass(slots=True)
class Shelf:
    """The tables that a proxy can decide by. `hold`: s for which one is kept after it was in use; longer than
    a request may be on its way."""

    hold: float
    in_use: Stamp | None = None  # none was yet
    held: dict[Stamp, float] = field(default_factory=dict)  # until when
    prepared: Stamp | None = None

    def prepares(self, stamp: Stamp | None) -> None:
        """What it has agreed to, right before its vote is sent; None: that is over."""
        newer = stamp is not None and (self.in_use is None or stamp.epoch > self.in_use.epoch)
        self.prepared = stamp if newer else None

    def takes(self, stamp: Stamp, now: float) -> None:
        if stamp == self.in_use:
            return
        self.held.pop(stamp, None)
        if self.in_use is not None:
            self.held[self.in_use] = now + self.hold
        self.in_use = stamp
        if self.prepared is not None and self.prepared.epoch <= stamp.epoch:
            self.prepared = None

    def standing(self, stamp: Stamp, now: float) -> Standing:
        if stamp == self.in_use:
            return Standing.IN_USE
        if now < self.held.get(stamp, now):
            return Standing.HELD
        if stamp == self.prepared:
            return Standing.PREPARED
        if self.in_use is None or stamp.epoch > self.in_use.epoch:
            return Standing.UNKNOWN
        return Standing.RETIRED

    def over(self, now: float) -> list[Stamp]:
        """Those that are held no longer; each is told once."""
        order = sorted(self.held, key=lambda stamp: self.held[stamp])
        gone = [
            stamp
            for number, stamp in enumerate(order)
            if self.held[stamp] <= now or number < len(order) - MOST_HELD
        ]
        for stamp in gone:
            del self.held[stamp]
        return gone
