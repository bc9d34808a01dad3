"""Identifiers of requests that may have run and whose clients left before the answer."""

from __future__ import annotations

from collections import OrderedDict

RETENTION_S = 15.0  # longer than a client's deadline
MAX_IDS = 20_000


class AbandonedIds:
    """Remembers identifiers for RETENTION_S, at most MAX_IDS of them; times are in seconds.

    Of each it holds a hash of fixed size, which differs from process to process.
    """

    def __init__(self, max_ids: int = MAX_IDS) -> None:
        self._max_ids = max_ids
        self._added_at: OrderedDict[int, float] = OrderedDict()  # oldest first

    def __len__(self) -> int:
        return len(self._added_at)

    def add(self, identifier: bytes, now: float) -> None:
        """Remember an identifier; if there are too many, the oldest is forgotten."""
        key = hash(identifier)
        self._added_at.pop(key, None)
        self._added_at[key] = now
        self._forget_old(now)

    def contains(self, identifier: bytes, now: float) -> bool:
        """Whether an identifier is remembered."""
        self._forget_old(now)
        return hash(identifier) in self._added_at

    def _forget_old(self, now: float) -> None:
        """Forget identifiers that are too old or too many."""
        while self._added_at:
            oldest = next(iter(self._added_at))
            if len(self._added_at) <= self._max_ids and now < self._added_at[oldest] + RETENTION_S:
                return
            del self._added_at[oldest]
