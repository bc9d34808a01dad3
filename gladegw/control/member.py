"""This process as a member of the fleet: its lease, its record, its view of the others, and its duties.

It runs on a thread of its own, as operators' calls do, so that a serving loop that is busy for longer than a
renewal may take does not lose the lease. It touches nothing of the serving loop but counts that it reads.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

import msgspec

from gladegw.control.backoff import Backoff
from gladegw.control.clock import boot
from gladegw.control.duties.base import Work
from gladegw.control.errors import RefusedByStore, StoreFault
from gladegw.control.keys import Keys, Range
from gladegw.control.leader_election import Keeper
from gladegw.control.store_cache import View
from gladegw.control.store_client import Client
from gladegw.control.store_watcher import RANKED, Changed, Follower, Live, Reader
from gladegw.coordination import election_order
from gladegw.coordination import lease as leases
from gladegw.coordination.duty import Event
from gladegw.coordination.lease import Lease
from gladegw.coordination.records import KnownMemberRecord, MemberMetricsRecord, MemberRecord, encode
from gladegw.coordination.store import Put, Txn
from gladegw.coordination.store import StoreEvent as Change

if TYPE_CHECKING:
    from gladegw.control.policy_participant import Carrier, Policies
    from gladegw.coordination.serving_lease import ServingLease

log = logging.getLogger(__name__)

PAUSE = 0.05  # s that each member of a duty's order leaves to the one before it
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


class Agent:
    """`figures` is asked for own counts, from this thread. All else happens on it."""

    def __init__(
        self,
        options: Options,
        member: MemberRecord,
        works: Iterable[type[Work]],
        figures: Callable[[], MemberMetricsRecord | None] = lambda: None,
        clock: Callable[[], float] = boot,
        told: Callable[[str, int, bool], None] = lambda name, token, begun: None,
        carrier: Carrier | None = None,
    ) -> None:
        self.options, self.clock, self.figures = options, clock, figures
        self.incarnation = member.incarnation or secrets.token_hex(8)
        self.works = [work() for work in works]
        can = tuple(work.name for work in self.works)
        knows = tuple(word for work in self.works for word in work.knows)
        self.member = msgspec.structs.replace(
            member, incarnation=self.incarnation, can=can, knows=knows, since=time.time()
        )
        self.name = member.name
        self.keys = Keys(options.prefix)
        self.view = View(self.keys)
        self.client = Client(options.endpoints, options.timeout, options.token_file)
        self.watcher = Client(options.endpoints, options.timeout, options.token_file)
        self.lease, self.ttl = Lease(), float(options.ttl)
        self.registered = self.leaving = False
        self.flaps, self.forgot = election_order.FlapDetector(), 0.0
        self.told = told
        self.keepers: list[Keeper] = []
        self.said: dict[str, float] = {}
        self.draws = Random(self.incarnation)
        self.thread: threading.Thread | None = None
        self.registered_at = 0  # revision
        self.on_record: MemberRecord | None = (
            None  # what the store has of this process, as far as it has answered
        )
        self.policies: Policies | None = None
        if carrier is not None:
            from gladegw.control.policy_participant import Policies

            self.policies = Policies(self, carrier)
        self.ready = threading.Event()
        self.giving_back: set[asyncio.Task[None]] = set()

    # from other threads
    @property
    def gate(self) -> ServingLease | None:
        return self.policies.carrier.gate if self.policies is not None else None

    @property
    def may_serve(self) -> bool:
        return self.gate is None or self.gate.open

    def info(self) -> tuple[str, ...]:
        """For operators' INFO."""
        policies = self.policies
        if policies is None:
            return ()
        member = policies.member
        told = f"policy.epoch={policies.in_use}", f"policy.digest={member.digest}"
        return (*told, f"policy.way_back={member.fallback}") if member.fallback else told

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
        self.reached = asyncio.Event()  # the store has answered
        self.reader = Reader(self)
        self.keepers = [Keeper(self, work, self.told) for work in self.works]
        self.live = Live(self, self._seen)
        loops = [self._keep(), self.live.run(), self._tell(), self._bound()]
        if self.policies is not None:
            loops.append(self.policies.run())
        running = [self.loop.create_task(work) for work in loops]
        self.ready.set()
        await self.stopping.wait()
        try:
            async with asyncio.timeout(LEAVING):
                await self._hand_over()
        except (TimeoutError, StoreFault) as fault:
            log.info("coordination: signed off by the lease's end: %s", fault or "no answer in time")
        running += self.giving_back
        for task in running:
            task.cancel()
        for keeper in self.keepers:
            keeper.stop()
        self.reader.stop()
        if self.policies is not None:
            self.policies.stop()
        await asyncio.gather(*running, return_exceptions=True)
        self.client.close()
        self.watcher.close()

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
            known = KnownMemberRecord(name=self.name, zone=self.member.zone, left=True)
            await self.client.do(Put(self.keys.known(self.name), encode(known)))
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
            self.registered and self.live.informed and not self.leaving and self.lease.is_valid(self.clock())
        )

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
                await asyncio.sleep(backoff.most())
            except StoreFault as fault:
                self.trouble(f"the store is not reached: {fault}")
                self.reached.clear()
                with contextlib.suppress(TimeoutError):  # unless another call is answered before
                    async with asyncio.timeout(backoff.next()):
                        await self.reached.wait()

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
        telling = self.member
        known = self.keys.known(self.name)
        operations = (
            Put(self.keys.member(self.name, self.incarnation), encode(telling), self.lease.id),
            Put(known, encode(KnownMemberRecord(name=self.name, zone=self.member.zone))),
        )
        try:
            done = await self.client.txn(Txn((), operations))
        except RefusedByStore as fault:
            self.trouble(f"the store refuses the member's record: {fault}")
            return
        except StoreFault:
            return
        self.on_record = telling
        if not self.registered:
            self.registered, self.registered_at = True, done.revision
            if self.policies is not None:
                self.policies.rejoined()
                self.policies.heard()
        for keeper in self.keepers:
            keeper.look()

    async def tell(self) -> None:
        """The own record anew; a fault leaves it to the next renewal."""
        await self._register()

    async def _renew(self) -> None:
        sent, id = self.clock(), self.lease.id
        ttl = await self.client.keep_alive(id)
        self.lease = leases.renewed(self.lease, id, sent, ttl)
        if not self.lease.id:
            self._expired()
        elif not self.registered or self.on_record != self.member:
            await self._register()

    async def _bound(self) -> None:
        """Ends what is under way when the bound has passed. No safeguard: each effect asks by itself."""
        while True:
            left = self.lease.until - self.clock() if self.lease.id else self.ttl / 10
            await asyncio.sleep(max(LOOK, min(left, TELL)))
            if self.lease.id and not self.lease.is_valid(self.clock()):
                self._expired()

    def _expired(self) -> None:
        """A lease whose bound has passed is not taken up again: what hung on it may be another's by now. It
        is given back: where the store hears this member and its answers don't come, renewals went on
        arriving, and nobody else could have what hung on it until the last one's time was over."""
        over, self.lease, self.registered = self.lease.id, Lease(), False
        for keeper in self.keepers:
            keeper.on(Event.EXPIRED)
        if over:
            task = self.loop.create_task(self._give_back(over))
            self.giving_back.add(task)
            task.add_done_callback(self.giving_back.discard)

    async def _give_back(self, id: int) -> None:
        with contextlib.suppress(StoreFault):
            await self.client.revoke(id)

    # the others
    def follower(self, part: Range, changed: Changed) -> Follower:
        silence = max(2.0, self.options.ttl / 2)
        backoff = Backoff(self.draws)
        return Follower(self.watcher, self.view, part, silence, backoff, self.trouble, changed)

    def _seen(self, events: list[Change] | None) -> None:
        """A fleet is told of each of its members by each: what costs by the fleet's size is not done here."""
        now = self.clock()
        keys = [event.kv.key for event in events if not event.deleted] if events is not None else None
        for key in self.view.kinds.get("members", ()) if keys is None else keys:
            kind, *names = self.keys.split(key)
            if kind == "members" and len(names) == 2:
                self.flaps.observe(names[0], names[1], now)
        if now > self.forgot + election_order.FLAP_WINDOW_S / 4:
            self.forgot = now
            self.flaps.forget(now)
        if self.policies is not None:
            self.policies.heard()
        touched = {event.kv.key for event in events} if events is not None else None
        for keeper in self.keepers:
            if touched is None or keeper.key in touched or not keeper.idle:
                keeper.hear(self.view.keys.get(keeper.key), self.view.to(self.keys.claims))

    def _weights(self, duty: str) -> dict[str, float]:
        members = [m for _, m in self.view.members() if duty in m.can and m.state in ("ready", "starting")]
        return self.flaps.weights({member.name for member in members}, self.clock())

    def wait(self, duty: str) -> float:
        """S to leave to others; none for whom the last holder named, who goes first whatever the order."""
        heir = self.view.heir(duty)
        if heir == self.name:
            return 0.0
        there = self.live.number
        if there > RANKED or not self.live.whole.is_set():
            own = self.flaps.weights((self.name,), self.clock())[self.name]
            return election_order.estimated_claim_delay(duty, self.name, own, there, PAUSE) + (
                PAUSE if heir else 0.0
            )
        weights = self._weights(duty)
        return election_order.claim_delay(duty, self.name, weights, PAUSE) + (
            PAUSE if heir in weights else 0.0
        )

    def heir(self, duty: str) -> str:
        return election_order.successor(duty, self.name, self._weights(duty))

    async def _tell(self) -> None:
        last: MemberMetricsRecord | None = None
        under = 0
        while True:
            await asyncio.sleep(TELL * self.draws.uniform(0.8, 1.2))
            now = self.figures()
            if now is None or not self.registered or (now == last and under == self.lease.id):
                continue
            if self.member.state in ("lame", "leaving"):  # another of its name may serve, and tell its own
                continue
            try:
                under = self.lease.id
                told = encode(msgspec.structs.replace(now, incarnation=self.incarnation))
                await self.client.do(Put(self.keys.figures(self.name), told, under))
                last = now
            except StoreFault as fault:
                self.trouble(f"figures: {fault}")
