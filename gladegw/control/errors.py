"""Errors of the store client and of rollout plans."""

from __future__ import annotations


class StoreClientError(Exception):
    """Base class of the store client's errors; the message is one line."""


class StoreUnreachableError(StoreClientError):
    """No store endpoint answered.

    The outcome of the request is unknown: a write may have been applied.
    """


class StoreRejectedError(StoreClientError):
    """The store rejected the request; nothing was written."""


class WatchLostError(StoreClientError):
    """A watch ended; `compacted` if the missed revisions are no longer available."""

    def __init__(self, reason: str, compacted: bool = False) -> None:
        super().__init__(reason)
        self.compacted = compacted


class PlanError(Exception):
    """A rollout plan is invalid; the message is one line with file, line and reason."""


class ChangeRejectedError(ValueError):
    """A policy change or program rollout cannot be started; nothing was changed. The message is one line."""
