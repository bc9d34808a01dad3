"""Watchers of key ranges, and the selection of the ranges that a member watches.

A watcher reads its range, follows the changes from that revision on, and starts again when the watch is lost.
In a large fleet a member that holds no duty does not watch the member records.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from gladegw.control.backoff import Backoff
from gladegw.control.errors import StoreClientError, StoreRejectedError, WatchLostError
from gladegw.control.interfaces import OnChange, WatchHost
from gladegw.control.keys import KeyRange
from gladegw.control.store_cache import StoreCache
from gladegw.control.store_client import StoreClient
from gladegw.coordination.store import Get, StoreEvent

MAX_RANKED_MEMBERS = 64  # fleet size up to which each member watches all member records
MAX_WATCHED_MEMBERS = 2 * MAX_RANKED_MEMBERS  # hysteresis: fleet size above which it stops watching them
RECOUNT_INTERVAL_S = 30.0  # longest time between two counts of the members while they are not all watched


class StoreWatcher:
    """Keeps one key range of the cache current.

    The watch counts as lost after `silence` seconds without a response, although progress was requested.
    """

    def __init__(
        self,
        client: StoreClient,
        cache: StoreCache,
        key_range: KeyRange,
        silence: float,
        backoff: Backoff,
        log_fault: Callable[[str], None],
        on_change: OnChange,
    ) -> None:
        self.client, self.cache, self.key_range, self.silence = client, cache, key_range, silence
        self.backoff, self.log_fault, self.on_change = backoff, log_fault, on_change

    async def run(self) -> None:
        """Read and watch the range until cancelled; faults are logged and retried."""
        while True:
            try:
                # Linearizable, because claims of duties depend on it.
                revision, entries = await self.client.get(Get(*self.key_range))
                self.cache.load_snapshot(self.key_range, revision, entries)
                self.backoff.reset()
                self.on_change(None)
                async for watched_revision, events in self.client.watch(
                    *self.key_range, revision + 1, self.silence
                ):
                    self.cache.apply_events(self.key_range, watched_revision, events)
                    if events:
                        self.on_change(events)
            except StoreRejectedError as fault:
                self.log_fault(f"the store rejected the request: {fault}")
                await asyncio.sleep(self.backoff.max_delay())
            except StoreClientError as fault:
                if not isinstance(fault, WatchLostError):
                    self.log_fault(f"the store is unreachable: {fault}")
                await asyncio.sleep(self.backoff.next_delay())


class ReportedWatch:
    """Watch of the reported keys (`told/`) while a duty that reads them is held."""

    def __init__(self, host: WatchHost) -> None:
        self.host = host
        self.wanted: set[str] = set()
        self.loaded = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def want(self, duty: str, wanted: bool) -> None:
        """Start the watch if a held duty needs it, or stop it after the last one."""
        if wanted:
            self.wanted.add(duty)
        else:
            self.wanted.discard(duty)
        host = self.host
        if self.wanted and self.task is None:
            watcher = host.watcher_of(host.keys.reported, lambda _: self.loaded.set())
            self.task = host.loop.create_task(watcher.run())
        elif not self.wanted and self.task is not None:
            self.stop()
            host.cache.drop_range(host.keys.reported)

    async def wait_loaded(self) -> None:
        """Wait until the range has been read after the watch was started."""
        await self.loaded.wait()

    def stop(self) -> None:
        """Stop the watch."""
        task, self.task = self.task, None
        if task is not None:
            task.cancel()
        self.loaded.clear()


class LiveWatch:
    """Watch of the live keys (`live/`).

    A member watches all live keys in a small fleet and while it holds a duty, otherwise only the duty holders
    and the policy: if each member watched all member records, the load would grow with the square of the
    fleet, and a member without duties needs only their number.
    """

    def __init__(self, host: WatchHost, on_change: OnChange) -> None:
        self.host, self.on_change = host, on_change
        self.held_duties: set[str] = set()
        self.member_count = 0
        self.complete = asyncio.Event()  # set while all live keys are known and watched
        self.resize_needed = asyncio.Event()
        self.watches_all = False
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def key_ranges(self) -> list[KeyRange]:
        """Ranges that are watched at present."""
        keys = self.host.keys
        if self.watches_all:
            return [keys.live]
        return [keys.claims] if self.host.participant is None else [keys.claims, keys.policy]

    @property
    def ranges_known(self) -> bool:
        """Whether all watched ranges, on which claims depend, are known."""
        return bool(self.tasks) and all(
            self.host.cache.known_revision(key_range) for key_range in self.key_ranges
        )

    @property
    def members(self) -> int:
        """Approximate number of live members."""
        return (
            len(self.host.cache.keys_by_kind.get("members", ()))
            if self.complete.is_set()
            else self.member_count
        )

    def want(self, duty: str, held: bool) -> None:
        """Record whether a duty is held, and have `run` select the watched ranges again."""
        if held:
            self.held_duties.add(duty)
        else:
            self.held_duties.discard(duty)
        self.resize_needed.set()

    async def run(self) -> None:
        """Select and run the watchers until cancelled."""
        host = self.host
        backoff = Backoff(host.random)
        try:
            while True:
                self.resize_needed.clear()
                try:
                    if not self.complete.is_set():
                        self.member_count = await host.client.count(*host.keys.members)
                    backoff.reset()
                except StoreClientError as fault:
                    host.log_fault(f"the store is unreachable: {fault}")
                    await asyncio.sleep(backoff.next_delay())
                    if not self.tasks:  # the fleet's size is unknown: treat it as small
                        self._start(True)
                    continue
                size_limit = MAX_WATCHED_MEMBERS if self.watches_all else MAX_RANKED_MEMBERS
                self.member_count = self.members
                self._start(bool(self.held_duties) or self.member_count <= size_limit)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RECOUNT_INTERVAL_S * host.random.uniform(0.7, 1.0)):
                        await self.resize_needed.wait()
        finally:
            self._stop()

    def _start(self, watch_all: bool) -> None:
        if self.tasks and watch_all is self.watches_all:
            return
        self._stop()
        self.watches_all = watch_all
        host = self.host
        if not watch_all:
            host.cache.load_snapshot(host.keys.members, 0, ())
        host.cache.retain_ranges(*self.key_ranges, host.keys.reported)
        self.tasks = [
            host.loop.create_task(host.watcher_of(key_range, self._on_update).run())
            for key_range in self.key_ranges
        ]

    def _on_update(self, events: list[StoreEvent] | None) -> None:
        if self.watches_all and not self.complete.is_set():
            self.complete.set()
        if self.watches_all and not self.held_duties and self.members > MAX_WATCHED_MEMBERS:
            self.resize_needed.set()
        if self.ranges_known:
            self.on_change(events)

    def _stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        self.complete.clear()
