"""Base class of duties: work that one elected member does for the fleet."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Protocol

from gladegw.control.store_cache import StoreCache
from gladegw.coordination.store import Compare, Operation, TxnResult


class NotHolderError(Exception):
    """The duty is not, or no longer, held by this member.

    `started` is set if the effect was sent and the store rejected its fencing token or a comparison.
    """

    def __init__(self, duty: str, started: bool = False) -> None:
        super().__init__(f"duty {duty} is not held by this member")
        self.started = started


class DutyContext(Protocol):
    """Operations that a duty may use while it is held."""

    @property
    def token(self) -> int:
        """Fencing token of the duty."""

    @property
    def cache(self) -> StoreCache:
        """Local copy of the watched keys."""

    async def grant(self, ttl: int) -> int:
        """Create a lease of `ttl` seconds that is not renewed; return its id. Raises StoreClientError."""

    async def names(self, first: bytes, end: bytes) -> list[bytes]:
        """Return the keys stored in a range that is not watched; raises StoreClientError."""

    async def effect(self, *operations: Operation, compares: tuple[Compare, ...] = ()) -> TxnResult:
        """Execute operations in one transaction that is fenced by the duty's token.

        Raises NotHolderError if the duty is not held or one of `compares` fails, and StoreClientError if the
        outcome is unknown.
        """


class DutyWork(ABC):
    """Work of a duty, executed in steps while the duty is held.

    `period` is the time between two steps in seconds. `reads_reported` is set if the steps read the reported
    keys, which a member watches only while such a duty needs them. When the duty is lost, the current step is
    cancelled and `end` is called.
    """

    name = ""
    period = 1.0
    reads_reported = False
    capabilities: tuple[str, ...] = ()  # required of a holder; members of older versions may lack them

    async def begin(self, context: DutyContext) -> None:  # noqa: B027
        """Prepare for the first step after the duty was claimed."""

    @abstractmethod
    async def step(self, context: DutyContext) -> None:
        """Do one step of the work."""

    def end(self) -> None:  # noqa: B027
        """Discard the state kept between steps after the duty was lost; must not write to the store."""
