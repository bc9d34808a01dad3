"""Keeps ranges of the view up: a whole read, then the watch behind it, and again when that is lost; and says
which ranges a member needs: in a large fleet not everybody's record of everybody."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from gladegw.control.backoff import Backoff
from gladegw.control.errors import RefusedByStore, StoreFault, WatchLost
from gladegw.control.keys import Range
from gladegw.control.store_cache import View
from gladegw.control.store_client import Client
from gladegw.coordination.store import Get, StoreEvent

if TYPE_CHECKING:
    from gladegw.control.member import Agent

RANKED = 64  # members up to which each knows all
MANY = 2 * RANKED  # of them, from which one that knew all does no more
RECOUNT = 30.0  # s between looks how many there are, where they are not all known

Changed = Callable[[list[StoreEvent] | None], None]  # None: all of it was read anew


class Follower:
    """`silence`: s without a word of the watch, though it was asked, after which it counts as lost."""

    def __init__(
        self,
        client: Client,
        view: View,
        part: Range,
        silence: float,
        backoff: Backoff,
        trouble: Callable[[str], None],
        changed: Changed,
    ) -> None:
        self.client, self.view, self.part, self.silence = client, view, part, silence
        self.backoff, self.trouble, self.changed = backoff, trouble, changed

    async def run(self) -> None:
        while True:
            try:
                # Linearizable: claims hang on it.
                revision, found = await self.client.get(Get(*self.part))
                self.view.whole(self.part, revision, found)
                self.backoff.reset()
                self.changed(None)
                async for now, events in self.client.watch(*self.part, revision + 1, self.silence):
                    self.view.change(self.part, now, events)
                    if events:
                        self.changed(events)
            except RefusedByStore as fault:
                self.trouble(f"the store refuses: {fault}")
                await asyncio.sleep(self.backoff.most())
            except StoreFault as fault:
                if not isinstance(fault, WatchLost):
                    self.trouble(f"the store is not reached: {fault}")
                await asyncio.sleep(self.backoff.next())


class Reader:
    """Follows `told/` while some duty that reads it is held."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.wanted: set[str] = set()
        self.there = asyncio.Event()
        self.following: asyncio.Task[None] | None = None

    def want(self, duty: str, wanted: bool) -> None:
        if wanted:
            self.wanted.add(duty)
        else:
            self.wanted.discard(duty)
        agent = self.agent
        if self.wanted and self.following is None:
            follower = agent.follower(agent.keys.told, lambda _: self.there.set())
            self.following = agent.loop.create_task(follower.run())
        elif not self.wanted and self.following is not None:
            self.stop()
            agent.view.forget(agent.keys.told)

    async def known(self) -> None:
        """Once all of it was read since it was wanted."""
        await self.there.wait()

    def stop(self) -> None:
        following, self.following = self.following, None
        if following is not None:
            following.cancel()
        self.there.clear()


class Live:
    """Follows `live/`: all of it in a small fleet, and while some duty is held; else what is claimed and the
    policy alone. Each member's record sent to each is what grows with the square of a fleet, and who holds
    nothing needs but their number."""

    def __init__(self, agent: Agent, changed: Changed) -> None:
        self.agent, self.changed = agent, changed
        self.held: set[str] = set()
        self.counted = 0
        self.whole = asyncio.Event()  # all of it is known, and kept up
        self.moved = asyncio.Event()
        self.wide = False
        self.following: list[asyncio.Task[None]] = []

    @property
    def parts(self) -> list[Range]:
        keys = self.agent.keys
        if self.wide:
            return [keys.live]
        return [keys.claims] if self.agent.policies is None else [keys.claims, keys.policy]

    @property
    def informed(self) -> bool:
        """Whether what claims hang on is known."""
        return bool(self.following) and all(self.agent.view.to(part) for part in self.parts)

    @property
    def number(self) -> int:
        """Members that are there, about."""
        return len(self.agent.view.kinds.get("members", ())) if self.whole.is_set() else self.counted

    def want(self, duty: str, held: bool) -> None:
        if held:
            self.held.add(duty)
        else:
            self.held.discard(duty)
        self.moved.set()

    async def run(self) -> None:
        agent = self.agent
        backoff = Backoff(agent.draws)
        try:
            while True:
                self.moved.clear()
                try:
                    if not self.whole.is_set():
                        self.counted = await agent.client.count(*agent.keys.members)
                    backoff.reset()
                except StoreFault as fault:
                    agent.trouble(f"the store is not reached: {fault}")
                    await asyncio.sleep(backoff.next())
                    if not self.following:  # unknown: as a small one
                        self._follow(True)
                    continue
                most = MANY if self.wide else RANKED
                self.counted = self.number
                self._follow(bool(self.held) or self.counted <= most)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RECOUNT * agent.draws.uniform(0.7, 1.0)):
                        await self.moved.wait()
        finally:
            self._stop()

    def _follow(self, wide: bool) -> None:
        if self.following and wide is self.wide:
            return
        self._stop()
        self.wide = wide
        agent = self.agent
        if not wide:
            agent.view.whole(agent.keys.members, 0, ())
        agent.view.only(*self.parts, agent.keys.told)
        self.following = [
            agent.loop.create_task(agent.follower(part, self._seen).run()) for part in self.parts
        ]

    def _seen(self, events: list[StoreEvent] | None) -> None:
        if self.wide and not self.whole.is_set():
            self.whole.set()
        if self.wide and not self.held and self.number > MANY:
            self.moved.set()
        if self.informed:
            self.changed(events)

    def _stop(self) -> None:
        for task in self.following:
            task.cancel()
        self.following = []
        self.whole.clear()
