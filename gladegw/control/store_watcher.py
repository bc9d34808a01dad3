"""Keeps ranges of the view up: a whole read, then the watch behind it, and again when that is lost; and says
which ranges a member needs: in a large fleet not everybody's record of everybody."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from gladegw.control.backoff import Backoff
from gladegw.control.errors import StoreClientError, StoreRejectedError, WatchLostError
from gladegw.control.keys import KeyRange
from gladegw.control.store_cache import StoreCache
from gladegw.control.store_client import StoreClient
from gladegw.coordination.store import Get, StoreEvent

if TYPE_CHECKING:
    from gladegw.control.member import FleetMember

MAX_RANKED_MEMBERS = 64  # members up to which each knows all
MAX_WATCHED_MEMBERS = 2 * MAX_RANKED_MEMBERS  # of them, from which one that knew all does no more
RECOUNT_INTERVAL_S = 30.0  # s between looks how many there are, where they are not all known

OnChange = Callable[[list[StoreEvent] | None], None]  # None: all of it was read anew


class StoreWatcher:
    """`silence`: s without a word of the watch, though it was asked, after which it counts as lost."""

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
        while True:
            try:
                # Linearizable: claims hang on it.
                revision, found = await self.client.get(Get(*self.key_range))
                self.cache.load_snapshot(self.key_range, revision, found)
                self.backoff.reset()
                self.on_change(None)
                async for now, events in self.client.watch(*self.key_range, revision + 1, self.silence):
                    self.cache.apply_events(self.key_range, now, events)
                    if events:
                        self.on_change(events)
            except StoreRejectedError as fault:
                self.log_fault(f"the store refuses: {fault}")
                await asyncio.sleep(self.backoff.max_delay())
            except StoreClientError as fault:
                if not isinstance(fault, WatchLostError):
                    self.log_fault(f"the store is not reached: {fault}")
                await asyncio.sleep(self.backoff.next_delay())


class ReportedWatch:
    """Follows `told/` while some duty that reads it is held."""

    def __init__(self, agent: FleetMember) -> None:
        self.agent = agent
        self.wanted: set[str] = set()
        self.loaded = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def want(self, duty: str, wanted: bool) -> None:
        if wanted:
            self.wanted.add(duty)
        else:
            self.wanted.discard(duty)
        agent = self.agent
        if self.wanted and self.task is None:
            follower = agent.watcher_of(agent.keys.reported, lambda _: self.loaded.set())
            self.task = agent.loop.create_task(follower.run())
        elif not self.wanted and self.task is not None:
            self.stop()
            agent.cache.drop_range(agent.keys.reported)

    async def wait_loaded(self) -> None:
        """Once all of it was read since it was wanted."""
        await self.loaded.wait()

    def stop(self) -> None:
        following, self.task = self.task, None
        if following is not None:
            following.cancel()
        self.loaded.clear()


class LiveWatch:
    """Follows `live/`: all of it in a small fleet, and while some duty is held; else what is claimed and the
    policy alone. Each member's record sent to each is what grows with the square of a fleet, and who holds
    nothing needs but their number."""

    def __init__(self, agent: FleetMember, on_change: OnChange) -> None:
        self.agent, self.on_change = agent, on_change
        self.held_duties: set[str] = set()
        self.member_count = 0
        self.complete = asyncio.Event()  # all of it is known, and kept up
        self.resize_needed = asyncio.Event()
        self.watches_all = False
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def key_ranges(self) -> list[KeyRange]:
        keys = self.agent.keys
        if self.watches_all:
            return [keys.live]
        return [keys.claims] if self.agent.participant is None else [keys.claims, keys.policy]

    @property
    def informed(self) -> bool:
        """Whether what claims hang on is known."""
        return bool(self.tasks) and all(self.agent.cache.known_revision(part) for part in self.key_ranges)

    @property
    def members(self) -> int:
        """Members that are there, about."""
        return (
            len(self.agent.cache.keys_by_kind.get("members", ()))
            if self.complete.is_set()
            else self.member_count
        )

    def want(self, duty: str, held: bool) -> None:
        if held:
            self.held_duties.add(duty)
        else:
            self.held_duties.discard(duty)
        self.resize_needed.set()

    async def run(self) -> None:
        agent = self.agent
        backoff = Backoff(agent.random)
        try:
            while True:
                self.resize_needed.clear()
                try:
                    if not self.complete.is_set():
                        self.member_count = await agent.client.count(*agent.keys.members)
                    backoff.reset()
                except StoreClientError as fault:
                    agent.log_fault(f"the store is not reached: {fault}")
                    await asyncio.sleep(backoff.next_delay())
                    if not self.tasks:  # unknown: as a small one
                        self._start(True)
                    continue
                most = MAX_WATCHED_MEMBERS if self.watches_all else MAX_RANKED_MEMBERS
                self.member_count = self.members
                self._start(bool(self.held_duties) or self.member_count <= most)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RECOUNT_INTERVAL_S * agent.random.uniform(0.7, 1.0)):
                        await self.resize_needed.wait()
        finally:
            self._stop()

    def _start(self, wide: bool) -> None:
        if self.tasks and wide is self.watches_all:
            return
        self._stop()
        self.watches_all = wide
        agent = self.agent
        if not wide:
            agent.cache.load_snapshot(agent.keys.members, 0, ())
        agent.cache.retain_ranges(*self.key_ranges, agent.keys.reported)
        self.tasks = [
            agent.loop.create_task(agent.watcher_of(part, self._on_update).run()) for part in self.key_ranges
        ]

    def _on_update(self, events: list[StoreEvent] | None) -> None:
        if self.watches_all and not self.complete.is_set():
            self.complete.set()
        if self.watches_all and not self.held_duties and self.members > MAX_WATCHED_MEMBERS:
            self.resize_needed.set()
        if self.informed:
            self.on_change(events)

    def _stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        self.complete.clear()
