"""The policy epoch header, by which all proxies on a request's path decide by the same policy.

The first proxy adds the header, which names the epoch and the bundle's digest. It thus means the same policy
to each proxy, whatever updates that proxy has received. A proxy without the named table sheds the request,
since with any other table the request would be subject to two policies.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

HEADER = b"x-policy-epoch"
PATTERN = re.compile(rb"(0|[1-9]\d{0,11})-([0-9a-f]{0,64})")
MAX_RETAINED_TABLES = 4  # besides the one in use; bounds the memory, whatever the retention time


class PolicyEpochError(ValueError):
    """The header's value is not a valid policy epoch."""


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
    RETAINED = "held"  # was in use before, and can still be used
    PREPARED = "prepared"  # and committed already, since another proxy sent its epoch
    RETIRED = "retired"
    UNKNOWN = "unknown"


USABLE_STATES = (TableState.IN_USE, TableState.RETAINED, TableState.PREPARED)


@dataclass(slots=True)
class TableRetention:
    """The route tables by which a proxy can decide requests.

    `retention_s` is how long a table is retained after it was in use; it must exceed the longest time that a
    request takes from the first proxy to the last.
    """

    retention_s: float
    in_use: PolicyEpoch | None = None
    retained: dict[PolicyEpoch, float] = field(default_factory=dict)  # expiry times in s
    prepared: PolicyEpoch | None = None

    def on_prepared(self, policy_epoch: PolicyEpoch | None) -> None:
        """Record the prepared table before the yes vote is sent, or None once the change is closed."""
        newer = policy_epoch is not None and (self.in_use is None or policy_epoch.epoch > self.in_use.epoch)
        self.prepared = policy_epoch if newer else None

    def activate(self, policy_epoch: PolicyEpoch, now: float) -> None:
        """Put a table in use and retain the one before it."""
        if policy_epoch == self.in_use:
            return
        self.retained.pop(policy_epoch, None)
        if self.in_use is not None:
            self.retained[self.in_use] = now + self.retention_s
        self.in_use = policy_epoch
        if self.prepared is not None and self.prepared.epoch <= policy_epoch.epoch:
            self.prepared = None

    def state_of(self, policy_epoch: PolicyEpoch, now: float) -> TableState:
        """Return the state of the table that a request's policy epoch names."""
        if policy_epoch == self.in_use:
            return TableState.IN_USE
        if now < self.retained.get(policy_epoch, now):
            return TableState.RETAINED
        if policy_epoch == self.prepared:
            return TableState.PREPARED
        if self.in_use is None or policy_epoch.epoch > self.in_use.epoch:
            return TableState.UNKNOWN
        return TableState.RETIRED

    def expire(self, now: float) -> list[PolicyEpoch]:
        """Drop the tables that are no longer retained, and return their policy epochs."""
        order = sorted(self.retained, key=lambda policy_epoch: self.retained[policy_epoch])
        expired = [
            policy_epoch
            for number, policy_epoch in enumerate(order)
            if self.retained[policy_epoch] <= now or number < len(order) - MAX_RETAINED_TABLES
        ]
        for policy_epoch in expired:
            del self.retained[policy_epoch]
        return expired
