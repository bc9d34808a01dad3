"""Reports the memory of this process: gauges for the metrics, and a log line when the room runs short."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from gladegw.limits.memory_account import Holding, MemoryAccount
from gladegw.net.allocator import return_free_memory
from gladegw.net.log_rate_limit import LogRateLimit
from gladegw.net.process_memory import resident_bytes

log = logging.getLogger(__name__)

MAX_LINES_PER_S = 1
SHORT_FRACTION = 1 / 4  # of the capacity; with less of it free, the room is short


class MemoryMonitor:
    """Watches a memory account and the resident memory of the process, whose limit is `limit` bytes."""

    def __init__(self, account: MemoryAccount, limit: int) -> None:
        self.account, self.limit = account, limit
        self._lines = LogRateLimit(MAX_LINES_PER_S)

    def log_ready(self) -> None:
        """Log what is left of the limit before the first client."""
        log.info(
            "memory: ready to serve: resident_bytes=%d limit_bytes=%d capacity_bytes=%d",
            resident_bytes(),
            self.limit,
            self.account.capacity,
        )

    def check(self, client_connections: int, server_connections: int) -> None:
        """If little room is left, log what is held by its kind and return what is free to the system.

        To be called from time to time.
        """
        account = self.account
        if account.free >= SHORT_FRACTION * account.capacity or not self._lines.take():
            return
        return_free_memory()
        held = " ".join(f"{holding.name.lower()}={account.by_holding[holding]}" for holding in Holding)
        log.warning(
            "memory: room is short: resident_bytes=%d limit_bytes=%d capacity_bytes=%d held_bytes=%d "
            "client_connections=%d server_connections=%d %s",
            resident_bytes(),
            self.limit,
            account.capacity,
            account.total,
            client_connections,
            server_connections,
            held,
        )

    def take_shortages(self) -> Iterable[tuple[str, int]]:
        """What was done for lack of memory since the last call, and how often."""
        return [(shortage.value, count) for shortage, count in self.account.take_shortages().items()]

    def gauges(self) -> Iterable[tuple[str, str, int]]:
        """Name, value of the tag `kind` (empty: no tag) and bytes of each gauge."""
        account = self.account
        yield "memory.resident_bytes", "", resident_bytes()
        yield "memory.limit_bytes", "", self.limit
        yield "memory.capacity_bytes", "", account.capacity
        for holding in Holding:
            yield "memory.held_bytes", holding.name.lower(), account.by_holding[holding]
