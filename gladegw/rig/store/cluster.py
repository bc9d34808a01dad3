"""The stand-in store's members by a stated model, not by a consensus algorithm: one model holds the truth;
what a member may do follows from who is up, who leads, and what is cut.

- Writes, leases and linearizable reads need a leader and a majority that reach each other.
- A serializable read is answered by any member out of what had been told to it when it was cut off.
- When the leader is lost there is none for `election` s; the new one starts every lease anew.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from gladegw.coordination.store import Get, InMemoryStore, KeyValue, Target, Txn, TxnResult, within
from gladegw.rig.store.record import Recorder

STEP = 0.02  # s between looks at what time alone changes
NO_LEADER = "etcdserver: no leader"
TIMED_OUT = "etcdserver: request timed out"


class NotNow(Exception):
    """A member can't answer: the write may have taken place all the same."""


class Watch(Protocol):
    """One watch: its keys, and the first revision that it has not been told of."""

    key: bytes
    end: bytes
    next: int


@dataclass(slots=True)
class Machine:
    """`cut`: from the other members. `stale`: the revision up to which it was told, while it is cut.
    `speaks`: not set for one that stands still and is not missed yet: what needs the leader waits for it."""

    up: bool = True
    cut: bool = False
    stale: int = 0
    watches: dict[asyncio.Event, dict[int, Watch]] = field(default_factory=dict)  # of a stream, by its bell
    speaks: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.speaks.set()


class Cluster:
    def __init__(
        self,
        members: int,
        least_ttl: int = 1,
        election: float = 0.5,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.model = InMemoryStore(min_ttl=least_ttl)
        self.machines = [Machine() for _ in range(members)]
        self.leader: int | None = 0
        self.term = 1
        self.election, self.clock = election, clock
        self.ahead = 0.0  # s by which the store's clock was set forward
        self.slow = 0.0  # s that each write takes longer
        self.unanswered = 0  # writes that will be done and not answered
        self.token = ""  # that callers have to show
        self.calls = 0
        self.fenced = 0  # transactions whose token did not hold any more
        self.electing: asyncio.Task[None] | None = None
        self.recorder: Recorder | None = None

    @property
    def now(self) -> float:
        return self.clock() + self.ahead

    def quorum(self) -> bool:
        return 2 * sum(m.up and not m.cut for m in self.machines) > len(self.machines)

    def led(self, member: int) -> bool:
        """Whether this member reaches a leader that a majority follows."""
        machine = self.machines[member]
        return machine.up and not machine.cut and self.leader is not None and self.quorum()

    # faults
    def down(self, member: int) -> None:
        self.machines[member].up = False
        self._wake(member)
        self._lost(member)

    def up(self, member: int) -> None:
        """A restart with the data kept."""
        self.machines[member].up = True
        self._elect()

    def cut(self, member: int) -> None:
        machine = self.machines[member]
        machine.cut, machine.stale = True, self.model.revision
        self._lost(member)

    def heal(self, member: int) -> None:
        self.machines[member].cut = False
        self._wake(member)
        self._elect()

    def depose(self) -> None:
        """The leader is lost to the others for a moment, and another is elected."""
        if self.leader is not None:
            self._lost(self.leader)

    def cut_watches(self) -> None:
        for machine in self.machines:
            watches, machine.watches = machine.watches, {}
            for watch in watches:
                watch.set()

    def _lost(self, member: int) -> None:
        if member == self.leader or not self.quorum():
            self.leader = None
            self._elect()

    def _elect(self) -> None:
        if self.leader is None and (self.electing is None or self.electing.done()):
            self.electing = asyncio.get_running_loop().create_task(self._election())

    async def _election(self) -> None:
        await asyncio.sleep(self.election)
        able = [number for number, m in enumerate(self.machines) if m.up and not m.cut]
        if self.quorum() and self.leader is None:
            self.term += 1
            self.leader = able[self.term % len(able)]
            self.model.extend_all(self.now)

    # what members do
    async def heard(self) -> None:
        """Until the leader speaks, or there is none."""
        while self.leader is not None and not self.machines[self.leader].speaks.is_set():
            await asyncio.sleep(STEP)

    async def expire(self) -> None:
        """Ends leases by the leader's clock, for as long as the store runs and the leader does."""
        while True:
            await asyncio.sleep(STEP)
            if self.leader is not None and self.quorum() and self.machines[self.leader].speaks.is_set():
                before = self.model.revision
                self.model.expire(self.now)
                self.ended_leases(before, self.clock())

    def ended_leases(self, before: int, begin: float) -> None:
        """What hung on them is gone: `before` is the revision before that."""
        if self.model.revision != before:
            if self.recorder is not None:
                self.recorder.gone(self.model.since(before + 1, b"\0", b"\0"), begin, self.clock())
            self.changed(before)

    def changed(self, before: int) -> None:
        """Since this revision. Watches of other keys than what changed are not woken, so that a fleet's
        writes do not cost by the square of its watches."""
        keys = [event.kv.key for event in self.model.since(before + 1, b"\0", b"\0")]
        for machine in self.machines:
            if not machine.up or machine.cut:
                continue
            for bell, watches in machine.watches.items():
                if bell.is_set():
                    continue
                for watch in watches.values():
                    if watch.next <= before or any(within(key, watch.key, watch.end) for key in keys):
                        bell.set()
                        break
                    watch.next = max(watch.next, self.model.revision + 1)

    def _wake(self, member: int) -> None:
        for watch in self.machines[member].watches:
            watch.set()

    async def write(self, member: int, txn: Txn) -> TxnResult:
        """Raises StoreError, or NotNow where the caller can't know what became of it."""
        if not self.led(member):
            raise NotNow(NO_LEADER)
        writes = any(not isinstance(one, Get) for one in (*txn.success, *txn.failure))
        if self.slow and writes:
            await asyncio.sleep(self.slow)
            if not self.led(member):
                raise NotNow(TIMED_OUT)
        before = self.model.revision
        done = self.model.txn(txn)
        if not done.succeeded and any(one.target is Target.CREATE and one.operand for one in txn.compare):
            self.fenced += 1
        self.changed(before)
        if self.unanswered and writes:
            self.unanswered -= 1
            raise NotNow(TIMED_OUT)
        return done

    def read(self, member: int, asked: Get, serializable: bool) -> tuple[int, tuple[KeyValue, ...]]:
        machine = self.machines[member]
        if serializable and machine.up:
            if machine.cut and not asked.revision:
                asked = Get(asked.key, asked.end, machine.stale)
            return machine.stale if machine.cut else self.model.revision, self.model.get(asked)
        if not self.led(member):
            raise NotNow(NO_LEADER)
        return self.model.revision, self.model.get(asked)

    def seen(self, member: int) -> int:
        """The revision up to which a watch at this member is told."""
        machine = self.machines[member]
        return machine.stale if machine.cut else self.model.revision
