"""Resources that the pools of one proxy share, and the state of a pending request."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Set as AbstractSet
from typing import TYPE_CHECKING

from gladegw.balancing.events import Status
from gladegw.limits.abandoned_ids import AbandonedIds
from gladegw.limits.buffer_budget import chunk_bytes
from gladegw.limits.descriptor_budget import split_descriptors
from gladegw.limits.memory_account import MemoryAccount
from gladegw.net.config import Config
from gladegw.net.interfaces import ResponseSink
from gladegw.net.request import Request
from gladegw.net.stall_monitor import StallMonitor
from gladegw.net.stream_deadline import StreamDeadline
from gladegw.net.upstream.exchange import Exchange
from gladegw.net.upstream.pool import UpstreamPool
from gladegw.operators.commands import BackendCounts
from gladegw.operators.event_counters import EventCounters
from gladegw.operators.request_counters import RequestCounters

if TYPE_CHECKING:
    from gladegw.net.driver import Driver


class PendingRequest:
    """An accepted request that has not been answered completely."""

    __slots__ = (
        "attempts",
        "deadline",
        "driver",
        "exchange",
        "last_status",
        "number",
        "open",
        "ran",
        "reply",
        "request",
        "streaming",
        "timer",
    )

    def __init__(
        self, driver: Driver, number: int, request: Request, reply: ResponseSink, deadline: float
    ) -> None:
        self.driver = driver
        self.number, self.request, self.reply, self.deadline = number, request, reply, deadline
        self.open = True
        self.attempts = 0
        self.ran = False  # a backend may have run it
        self.streaming = False  # a part of the response was sent
        self.exchange: Exchange | None = None
        self.last_status: Status | None = None  # of the latest attempt that ended
        self.timer: asyncio.TimerHandle | StreamDeadline | None = None  # enforces the deadline


def open_descriptors() -> int:
    """The number of file descriptors that this process has open; 0 if this cannot be determined."""
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        return 0


class SharedResources:
    """Upstream connections, identifiers of open requests, counters and buffers that all pools share."""

    def __init__(self, config: Config) -> None:
        settings = config.settings
        self.budget = split_descriptors(config.sockets, open_descriptors(), config.admin is not None)
        self.upstreams = UpstreamPool(settings.connect_timeout, settings.conn_idle, self.budget.upstreams)
        self.counters = RequestCounters(cls.name for cls in settings.classes)
        self.events = EventCounters()
        self.stalls = StallMonitor(asyncio.get_running_loop())
        self.scratch = memoryview(bytearray(chunk_bytes(config.memory, self.budget.clients)))
        self.upstreams.scratch = self.scratch
        self.memory = self.upstreams.memory = MemoryAccount(config.memory)
        self.ids: set[bytes] = set()  # identifiers of open requests and of attempts in flight
        self.abandoned_ids = AbandonedIds()
        self.last_call_number = 0

    def listed(self) -> list[tuple[int, bool]]:
        """Each backend's number and whether it receives requests; called from the fleet member's thread."""
        return [(server, upstream.serving) for server, upstream in list(self.upstreams.by_id.items())]

    def backends(self, avoided: AbstractSet[int]) -> BackendCounts:
        """Counts of backends for operators; called from the thread of the admin interface."""
        listed = list(self.upstreams.by_id.items())
        skipped = sum(1 for server, upstream in listed if not upstream.serving or server in avoided)
        return BackendCounts(len(listed), skipped)
