"""This process as a member of the fleet: its lease, its record, its view of the others, and its duties.

It runs on a thread of its own, as operators' calls do, so that a serving loop that is busy for longer than a
renewal may take does not lose the lease. It touches nothing of the serving loop but counts that it reads.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import msgspec

from granitepoint.control.client import Client
from granitepoint.control.clock import boot
from granitepoint.control.duties.base import Work
from granitepoint.control.errors import RefusedByStore, StoreFault, WatchLost
from granitepoint.control.keeper import Keeper
from granitepoint.control.keys import Keys
from granitepoint.control.view import View
from granitepoint.coordination import lease as leases
from granitepoint.coordination import turns
from granitepoint.coordination.duty import Event
from granitepoint.coordination.lease import Lease
from granitepoint.coordination.records import Figures, Known, Member, encode
from granitepoint.coordination.store import Get, Put, Txn

log = logging.getLogger(__name__)

PAUSE = 0.05  # s that each member of a duty's order leaves to the one before it
FIRST_BACKOFF, MOST_BACKOFF = 0.1, 5.0  # s
TELL = 2.0  # s between looks whether own figures have changed
LOOK = 0.02  # s between looks at the own bound, at least
SAID = 10.0  # s between two lines about the same kind of trouble
LEAVING = 1.5  # s that a hand-over may take


@dataclass(frozen=True, slots=True)
class Options:
    endpoints: tuple[tuple[str, int], ...]
    prefix: str
    ttl: int  # s
    timeout: float  # s for a call
    token_file: str = ""


class Backoff:
    """Capped, doubled, and jittered by half, so that forty that lost the store don't return at once."""

    def __init__(self, draws: Random) -> None:
        self.draws, self.pause = draws, FIRST_BACKOFF

    def next(self) -> float:
        pause, self.pause = self.pause, min(MOST_BACKOFF, 2 * self.pause)
        return pause * self.draws.uniform(0.5, 1.0)

    def reset(self) -> None:
        self.pause = FIRST_BACKOFF


class Agent:
    """`figures` is asked for own counts, from this thread. All else happens on it."""

    def __init__(
        self, options: Options, member: Member, works: Iterable[type[Work]],
        figures: Callable[[], Figures | None] = lambda: None,
        clock: Callable[[], float] = boot,
        told: Callable[[str, int, bool], None] = lambda name, token, begun: None,
    ) -> None:  # fmt: skip
        self.options, self.clock, self.figures = options, clock, figures
        self.incarnation = member.incarnation or secrets.token_hex(8)
        self.works = [work() for work in works]
        can = tuple(work.name for work in self.works)
        self.member = msgspec.structs.replace(
            member, incarnation=self.incarnation, can=can, since=time.time()
        )
        self.name = member.name
        self.keys = Keys(options.prefix)
        self.view = View(self.keys)
        self.client = Client(options.endpoints, options.timeout, options.token_file)
        self.follower = Client(options.endpoints, options.timeout, options.token_file)
        self.lease, self.ttl = Lease(), float(options.ttl)
        self.registered = self.informed = self.leaving = False
        self.flaps = turns.Flaps()
        self.told = told
        self.keepers: list[Keeper] = []
        self.said: dict[str, float] = {}
        self.draws = Random(self.incarnation)
        self.thread: threading.Thread | None = None
        self.ready = threading.Event()

    # from other threads
    def start(self) -> None:
        self.thread = threading.Thread(target=self._main, name="agent", daemon=True)
        self.thread.start()
        self.ready.wait()

    def _main(self) -> None:
        """Whatever ends it, the process serves on."""
        try:
            asyncio.run(self.run())
        except Exception:
            log.exception("coordination: ended")
        finally:
            self.ready.set()

    def tell_state(self, state: str) -> None:
        """The life-cycle's: lame members hand their duties over, and say so in their record."""
        if self.thread is not None and self.thread.is_alive():
            self.loop.call_soon_threadsafe(self._state, state)

    def leave(self) -> None:
        """Hands over and signs off, for at most LEAVING s."""
        if self.thread is not None and self.thread.is_alive():
            self.loop.call_soon_threadsafe(self.stopping.set)
            self.thread.join(LEAVING + 0.5)

    # on the thread
    async def run(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        self.keepers = [Keeper(self, work, self.told) for work in self.works]
        loops = [self._keep(), self._follow(), self._tell(), self._bound()]
        running = [self.loop.create_task(work) for work in loops]
        self.ready.set()
        await self.stopping.wait()
        try:
            async with asyncio.timeout(LEAVING):
                await self._hand_over()
        except (TimeoutError, StoreFault) as fault:
            log.info("coordination: signed off by the lease's end: %s", fault or "no answer in time")
        for task in running:
            task.cancel()
        for keeper in self.keepers:
            keeper.stop()
        await asyncio.gather(*running, return_exceptions=True)
        self.client.close()
        self.follower.close()

    def _state(self, state: str) -> None:
        self.member = msgspec.structs.replace(self.member, state=state)
        lame = state in ("lame", "leaving")
        for keeper in self.keepers:
            if lame:
                keeper.leave()
            else:
                keeper.left = False
                keeper.look()
        self.loop.create_task(self._register())

    async def _hand_over(self) -> None:
        self.leaving = True
        for keeper in self.keepers:
            keeper.leave()
        while not all(keeper.settled for keeper in self.keepers):
            await asyncio.sleep(LOOK / 4)
        if self.lease.id:
            await self.client.revoke(self.lease.id)

    def trouble(self, what: str) -> None:
        """One line for each kind of trouble, every SAID s at most."""
        kind, now = what.partition(":")[0], time.monotonic()
        if now > self.said.get(kind, -SAID) + SAID:
            self.said[kind] = now
            log.warning("coordination: %s", " ".join(what.split()))

    # lease and record
    @property
    def able(self) -> bool:
        """Whether it may claim: its lease is good, and it has seen the store as it is under it."""
        return (
            self.registered and self.informed and not self.leaving and self.lease.live(self.clock())
        )  # fmt: skip

    async def _keep(self) -> None:
        backoff = Backoff(self.draws)
        while True:
            try:
                if not self.lease.id:
                    await self._join()
                    backoff.reset()
                await asyncio.sleep(max(0.0, leases.renewal_due(self.lease, self.ttl) - self.clock()))
                await self._renew()
                backoff.reset()
            except RefusedByStore as fault:
                self.trouble(f"the store refuses: {fault}")
                await asyncio.sleep(MOST_BACKOFF * self.draws.uniform(0.5, 1.0))
            except StoreFault as fault:
                self.trouble(f"the store is not reached: {fault}")
                await asyncio.sleep(backoff.next())

    async def _join(self) -> None:
        sent = self.clock()
        id, ttl = await self.client.grant(self.options.ttl)
        self.ttl = float(ttl)
        self.lease = leases.granted(id, sent, self.ttl)
        self.registered = False
        await self._register()

    async def _register(self) -> None:
        """The own record under the lease; a fault leaves it to the next renewal."""
        if not self.lease.id or self.leaving:
            return
        known = self.keys.known(self.name)
        operations = (
            Put(self.keys.member(self.name, self.incarnation), encode(self.member), self.lease.id),
            Put(known, encode(Known(name=self.name, zone=self.member.zone))),
        )
        try:
            await self.client.txn(Txn((), operations))
        except RefusedByStore as fault:
            self.trouble(f"the store refuses the member's record: {fault}")
            return
        except StoreFault:
            return
        self.registered = True
        for keeper in self.keepers:
            keeper.look()

    async def _renew(self) -> None:
        sent, id = self.clock(), self.lease.id
        ttl = await self.client.keep_alive(id)
        self.lease = leases.renewed(self.lease, id, sent, ttl)
        if not self.lease.id:
            self._expired()
        elif not self.registered:
            await self._register()

    async def _bound(self) -> None:
        """Ends what is under way when the bound has passed. No safeguard: each effect asks by itself."""
        while True:
            left = self.lease.until - self.clock() if self.lease.id else TELL
            await asyncio.sleep(max(LOOK, min(left, TELL)))
            if self.lease.id and not self.lease.live(self.clock()):
                self._expired()

    def _expired(self) -> None:
        """A lease whose bound has passed is not taken up again: what hung on it may be another's by now."""
        self.lease, self.registered = Lease(), False
        for keeper in self.keepers:
            keeper.on(Event.EXPIRED)

    # the others
    async def _follow(self) -> None:
        backoff = Backoff(self.draws)
        first, end = self.keys.all
        silence = max(2.0, self.options.ttl / 2)
        while True:
            try:
                revision, found = await self.follower.get(Get(first, end))  # linearizable: claims hang on it
                self.view.whole(revision, found)
                self.informed = True
                backoff.reset()
                self._seen()
                while True:
                    async for now, events in self.follower.watch(first, end, self.view.revision + 1, silence):
                        self.view.change(now, events)
                        if events:
                            self._seen()
                    break
            except RefusedByStore as fault:
                self.trouble(f"the store refuses: {fault}")
                await asyncio.sleep(MOST_BACKOFF * self.draws.uniform(0.5, 1.0))
            except StoreFault as fault:
                if not isinstance(fault, WatchLost):
                    self.trouble(f"the store is not reached: {fault}")
                self.follower.elsewhere()
                await asyncio.sleep(backoff.next())

    def _seen(self) -> None:
        now = self.clock()
        for _, member in self.view.members():
            self.flaps.seen(member.name, member.incarnation, now)
        self.flaps.forget(now)
        for keeper in self.keepers:
            keeper.hear(self.view.keys.get(keeper.key), self.view.revision)

    def _weights(self, duty: str) -> dict[str, float]:
        members = [m for _, m in self.view.members() if duty in m.can and m.state in ("ready", "starting")]
        return self.flaps.weights({member.name for member in members}, self.clock())

    def wait(self, duty: str) -> float:
        """S to leave to others; none for whom the last holder named, who goes first whatever the order."""
        heir = self.view.heir(duty)
        if heir == self.name:
            return 0.0
        weights = self._weights(duty)
        return turns.wait(duty, self.name, weights, PAUSE) + (PAUSE if heir in weights else 0.0)

    def heir(self, duty: str) -> str:
        return turns.heir(duty, self.name, self._weights(duty))

    async def _tell(self) -> None:
        last: Figures | None = None
        under = 0
        while True:
            await asyncio.sleep(TELL * self.draws.uniform(0.8, 1.2))
            now = self.figures()
            if now is None or not self.registered or (now == last and under == self.lease.id):
                continue
            try:
                under = self.lease.id
                await self.client.do(Put(self.keys.figures(self.name), encode(now), under))
                last = now
            except StoreFault as fault:
                self.trouble(f"figures: {fault}")
