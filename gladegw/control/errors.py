"""What can go wrong between a process and the store."""

from __future__ import annotations


class StoreClientError(Exception):
    """One line."""


class StoreUnreachableError(StoreClientError):
    """No member of the store answered; nothing is known of what was sent: a write may have been done."""


class StoreRejectedError(StoreClientError):
    """The store answered that it won't: nothing was done."""


class WatchLostError(StoreClientError):
    """A watch ended; `compacted` if what it missed is not kept any more."""

    def __init__(self, reason: str, compacted: bool = False) -> None:
        super().__init__(reason)
        self.compacted = compacted


class PlanError(Exception):
    """A rollout's plan can't be used; the message is one line with file, line and reason."""
