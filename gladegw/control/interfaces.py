"""Interfaces through which the parts of a fleet member use the member.

The member constructs its elections, watches and policy participant; these depend only on the protocols here,
so that none of them imports the member's module.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

from gladegw.control.keys import KeyRange, Keys
from gladegw.control.store_cache import StoreCache
from gladegw.control.store_client import StoreClient
from gladegw.control.store_options import StoreOptions
from gladegw.coordination.lease import Lease
from gladegw.coordination.records import MemberRecord
from gladegw.coordination.store import StoreEvent

OnChange = Callable[[list[StoreEvent] | None], None]  # None: the whole range was read again


class RangeWatcher(Protocol):
    """A watcher that keeps one range of keys of the cache current."""

    async def run(self) -> None:
        """Keep the range current until cancelled."""


class LiveView(Protocol):
    """The watch of the live keys, as an election uses it."""

    @property
    def complete(self) -> asyncio.Event:
        """Event that is set while all live keys are known."""

    def want(self, duty: str, held: bool) -> None:
        """Request all live keys while the duty is held."""


class ReportedView(Protocol):
    """The watch of the reported keys, as an election uses it."""

    def want(self, duty: str, wanted: bool) -> None:
        """Request the reported keys while the duty needs them."""

    async def wait_loaded(self) -> None:
        """Wait until all reported keys have been read."""


class MemberHost(Protocol):
    """Attributes of the member that all its parts use."""

    @property
    def keys(self) -> Keys:
        """Keys of the installation."""

    @property
    def cache(self) -> StoreCache:
        """Local copy of the watched keys."""

    @property
    def client(self) -> StoreClient:
        """Client for all calls other than watches."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Event loop of the member's thread."""

    def log_fault(self, message: str) -> None:
        """Log a fault, at a limited rate for each kind."""


class ElectionHost(MemberHost, Protocol):
    """The member as an election uses it."""

    @property
    def name(self) -> str:
        """Name of the member."""

    @property
    def incarnation(self) -> str:
        """Identifier of this process among all processes of the same name."""

    @property
    def lease(self) -> Lease:
        """Lease of the member."""

    @property
    def clock(self) -> Callable[[], float]:
        """Clock of the lease's bound, in seconds."""

    @property
    def may_claim(self) -> bool:
        """Whether the member may claim a duty now."""

    @property
    def live_watch(self) -> LiveView:
        """Watch of the live keys."""

    @property
    def reported_watch(self) -> ReportedView:
        """Watch of the reported keys."""

    def claim_delay(self, duty: str) -> float:
        """Seconds to wait before the duty is claimed."""

    def successor(self, duty: str) -> str:
        """Name of the member that should hold the duty next, or an empty string."""


class WatchHost(MemberHost, Protocol):
    """The member as its watches use it."""

    @property
    def participant(self) -> object | None:
        """Policy participant; None if the member takes no part in changes of policy."""

    @property
    def random(self) -> Random:
        """Source of jitter."""

    def watcher_of(self, key_range: KeyRange, on_change: OnChange) -> RangeWatcher:
        """Create the watcher of a range; `on_change` is called after each change of it."""


class ParticipantHost(MemberHost, Protocol):
    """The member as its policy participant uses it."""

    record: MemberRecord

    @property
    def name(self) -> str:
        """Name of the member."""

    @property
    def incarnation(self) -> str:
        """Identifier of this process among all processes of the same name."""

    @property
    def lease(self) -> Lease:
        """Lease of the member."""

    @property
    def ttl(self) -> float:
        """Time to live of the lease in seconds."""

    @property
    def clock(self) -> Callable[[], float]:
        """Clock of the lease's bound, in seconds."""

    @property
    def options(self) -> StoreOptions:
        """Settings of the connection to the store."""

    @property
    def random(self) -> Random:
        """Source of jitter."""

    @property
    def registered(self) -> bool:
        """Whether the member's record is in the store under its lease."""

    @property
    def registered_at(self) -> int:
        """Store revision of the registration."""

    @property
    def store_reached(self) -> asyncio.Event:
        """Event that is set once the store has answered after a fault."""

    async def publish_record(self) -> None:
        """Write the member's record to the store."""
