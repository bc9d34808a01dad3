"""The store's client over a simulated network: `control.client.Client` against the stand-in's model."""

from __future__ import annotations

import asyncio
import copy
from collections.abc import AsyncIterator, Awaitable, Callable
from contextvars import Context
from random import Random
from typing import Any, TypeVar

from gladegw.control.errors import StoreRejectedError, StoreUnreachableError, WatchLostError
from gladegw.coordination.store import (
    CompactedError,
    Get,
    KeyValue,
    Operation,
    StoreError,
    StoreEvent,
    Txn,
    TxnResult,
)
from gladegw.rig.simulate.loop import VirtualLoop
from gladegw.rig.store.cluster import Cluster, NotNow

T = TypeVar("T")
DELAY = (0.0002, 0.004)  # s each way
SLOW_SHARE, SLOW = 0.02, (0.01, 0.4)  # of all messages, and s of theirs
LOST = 0.002  # share of messages that come after their caller has given up


class Net:
    """Links between processes and the store's members, each way by itself."""

    def __init__(self, loop: VirtualLoop, cluster: Cluster, seed: int) -> None:
        self.loop, self.cluster, self.draws = loop, cluster, Random(f"net {seed}")
        self.held: dict[tuple[str, str], asyncio.Event] = {}  # by process's name and way, while it is cut
        self.messages = 0

    def cut(self, name: str, way: str) -> None:
        self.held.setdefault((name, way), asyncio.Event())

    def heal(self, name: str, way: str) -> None:
        held = self.held.pop((name, way), None)
        if held is not None:
            held.set()

    def delay(self) -> float:
        draw = self.draws.random()
        if draw < LOST:
            return self.draws.uniform(1.0, 8.0)
        return self.draws.uniform(*(SLOW if draw < LOST + SLOW_SHARE else DELAY))

    async def passed(self, name: str, way: str) -> None:
        """One message on its way."""
        self.messages += 1
        await asyncio.sleep(self.delay())
        while (held := self.held.get((name, way))) is not None:
            await held.wait()

    def free(self, name: str) -> bool:
        return (name, "there") not in self.held and (name, "back") not in self.held


class Watching:
    def __init__(self, key: bytes, end: bytes, revision: int) -> None:
        self.key, self.end, self.next = key, end, revision


class Wire:
    """`name` is the process's without its life: a link outlives it."""

    def __init__(self, net: Net, name: str, timeout: float) -> None:
        self.net, self.name, self.timeout = net, name, timeout
        self.cluster = net.cluster
        self.at = net.draws.randrange(len(net.cluster.machines))
        self.calls = 0
        self.under_way: set[asyncio.Task[None]] = set()

    @property
    def member(self) -> int:
        return self.at % len(self.cluster.machines)

    def use_next_endpoint(self) -> None:
        self.at += 1

    def at_next_endpoint(self) -> Wire:
        """Another client of the same process, that begins with the next member."""
        other = copy.copy(self)
        other.at = self.at + 1
        return other

    def close(self) -> None:
        pass

    async def _call(self, ask: Callable[[int], Awaitable[T]]) -> T:
        """One try of one member. What was sent is done whether its caller still waits or not."""
        self.calls += 1
        at, member = self.at, self.member
        answer: asyncio.Future[tuple[Any, Exception | None]] = self.net.loop.create_future()

        async def carried() -> None:
            await self.net.passed(self.name, "there")
            result: Any = None
            fault: Exception | None = None
            try:
                if not self.cluster.machines[member].up:
                    raise NotNow("down")
                await self.cluster.heard()
                result = await ask(member)
            except NotNow as problem:
                fault = StoreUnreachableError(str(problem))
            except StoreError as problem:
                fault = StoreRejectedError(str(problem))
            await self.net.passed(self.name, "back")
            if not answer.done():
                answer.set_result((result, fault))

        task = self.net.loop.create_task(carried(), context=Context())  # nobody's: it goes on without them
        self.under_way.add(task)
        task.add_done_callback(self.under_way.discard)
        try:
            async with asyncio.timeout(self.timeout):
                result, fault = await answer
        except TimeoutError:
            result, fault = None, StoreUnreachableError("no answer in time")
        if isinstance(fault, StoreUnreachableError) and at == self.at:
            self.use_next_endpoint()
        if fault is not None:
            raise fault
        found: T = result
        return found

    async def txn(self, txn: Txn) -> TxnResult:
        return await self._call(lambda member: self.cluster.write(member, txn))

    async def do(self, *operations: Operation) -> TxnResult:
        return await self.txn(Txn((), operations))

    async def get(self, asked: Get, serializable: bool = False) -> tuple[int, tuple[KeyValue, ...]]:
        async def read(member: int) -> tuple[int, tuple[KeyValue, ...]]:
            return self.cluster.read(member, asked, serializable)

        return await self._call(read)

    async def count(self, first: bytes, end: bytes) -> int:
        return len((await self.get(Get(first, end)))[1])

    async def names(self, first: bytes, end: bytes) -> list[bytes]:
        return [kv.key for kv in (await self.get(Get(first, end)))[1]]

    def _led(self, member: int) -> None:
        if not self.cluster.led(member):
            raise NotNow("no leader")

    async def grant(self, ttl: int) -> tuple[int, int]:
        async def granted(member: int) -> tuple[int, int]:
            self._led(member)
            lease = self.cluster.model.grant(ttl, self.cluster.now)
            return lease.id, lease.ttl

        return await self._call(granted)

    async def keep_alive(self, id: int) -> int:
        async def kept(member: int) -> int:
            self._led(member)
            return self.cluster.model.keep_alive(id, self.cluster.now)

        return await self._call(kept)

    async def revoke(self, id: int) -> None:
        async def revoked(member: int) -> None:
            self._led(member)
            before = self.cluster.model.revision
            self.cluster.model.revoke(id)
            self.cluster.ended_leases(before, self.cluster.clock())

        await self._call(revoked)

    async def watch(
        self, key: bytes, end: bytes, revision: int, silence: float
    ) -> AsyncIterator[tuple[int, list[StoreEvent]]]:
        member, watch, bell = self.member, Watching(key, end, revision), asyncio.Event()
        machine = self.cluster.machines[member]
        machine.watches[bell] = {0: watch}
        quiet = 0.0  # s without a word
        try:
            while True:
                if bell not in machine.watches or not machine.up:
                    raise WatchLostError("it ended")
                bell.clear()
                until = self.cluster.seen(member)
                if watch.next <= until:
                    try:
                        found = self.cluster.model.since(watch.next, key, end)
                    except CompactedError as fault:
                        raise WatchLostError(str(fault), True) from None
                    watch.next = until + 1
                    told = [event for event in found if event.kv.mod_revision <= until]
                    if told:
                        try:
                            async with asyncio.timeout(silence):
                                await self.net.passed(self.name, "back")
                        except TimeoutError:
                            self.use_next_endpoint()
                            raise WatchLostError("it fell silent") from None
                        quiet = 0.0
                        yield until, told
                    continue
                try:
                    async with asyncio.timeout(silence / 2):
                        await bell.wait()
                except TimeoutError:
                    quiet += silence / 2
                    if self.net.free(self.name) and not machine.cut:
                        quiet = 0.0  # it was asked, and has answered
                    elif quiet >= silence:
                        self.use_next_endpoint()
                        raise WatchLostError("it fell silent") from None
        finally:
            machine.watches.pop(bell, None)
