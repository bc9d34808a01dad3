"""What a duty is: begun when it is held, stepped through while it is, ended when it is not any more."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Protocol

from gladegw.control.store_cache import StoreCache
from gladegw.coordination.store import Compare, Operation, TxnResult


class NotHolderError(Exception):
    """The duty is not held (any more). `begun`: the effect was sent, and the store refused its token."""

    def __init__(self, duty: str, begun: bool = False) -> None:
        super().__init__(duty)
        self.started = begun


class DutyContext(Protocol):
    """What a duty may do while it is held under `token`."""

    @property
    def token(self) -> int: ...

    @property
    def cache(self) -> StoreCache: ...

    async def grant(self, ttl: int) -> int:
        """A lease of the store's that nobody keeps alive; raises StoreFault."""

    async def names(self, first: bytes, end: bytes) -> list[bytes]:
        """Keys of a range that is not watched; raises StoreFault."""

    async def effect(self, *operations: Operation, compares: tuple[Compare, ...] = ()) -> TxnResult:
        """Writes to the store, if the duty is held right before and, by the store's word, in the same
        transaction. Raises NotHeld, also where one of `compares` fails, or StoreFault where the outcome is
        not known."""


class DutyWork(ABC):
    """`period`: s from the end of one step to the begin of the next. `reads`: its steps need what stands
    under `told/`, which only holders read. A duty that is not held has nothing under way: `end` is called
    once its step is cancelled."""

    name = ""
    period = 1.0
    reads_reported = False
    capabilities: tuple[str, ...] = ()  # kinds of its work that an older program would get wrong

    async def begin(self, holding: DutyContext) -> None:  # noqa: B027
        """Before the first step of a holder."""

    @abstractmethod
    async def step(self, holding: DutyContext) -> None: ...

    def end(self) -> None:  # noqa: B027
        """What was kept for the steps can be forgotten; nothing is written any more."""
