"""Members before one store: the program's own agents, each with a pace, a gate, and figures that follow from
the bundle that it serves by."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable, Mapping
from contextvars import copy_context
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from gladegw.control.duties import ALL
from gladegw.control.duties.base import DutyContext, DutyWork, NotHolderError
from gladegw.control.duties.bundle_collection import BundleCollection
from gladegw.control.duties.policy_coordinator import PolicyCoordinator
from gladegw.control.duties.rollout_controller import RolloutController
from gladegw.control.errors import StoreClientError
from gladegw.control.member import FleetMember, StoreOptions
from gladegw.control.policy_participant import ServingHost
from gladegw.control.policy_proposals import PolicyOperator
from gladegw.control.rollouts import RolloutOperator
from gladegw.coordination.records import MemberMetricsRecord, MemberRecord
from gladegw.coordination.serving_lease import ServingLease
from gladegw.coordination.store import Put
from gladegw.rig.measures.failover import Judge as Holders
from gladegw.rig.measures.member import Line
from gladegw.rig.simulate.loop import PROCESS, VirtualLoop, virtual
from gladegw.rig.simulate.wire import Net, Wire
from gladegw.rig.store.cluster import Cluster

PREFIX = "/simulated"
TTL = 2  # s
TIMEOUT = 0.5  # s for a call
RATES = (0.9, 1.0, 1.05)  # of members' clocks
CONFIRM, DEADLINE = 6, 8  # s
RATE = 20.0  # requests/s of one member
FAILS = 0.5  # share that a bad bundle fails
EFFECTS = 0.05  # s between two effects of the duty that counts them
BAD, BROKEN = "bad", "broken"  # words in a bundle: it fails requests; it can't be prepared


def files(word: str) -> dict[str, str]:
    return {"site.routes.hcl": word}


@dataclass(slots=True)
class Taken:
    """A table that a process went over to, in true time."""

    at: float
    process: str
    epoch: int
    word: str


@dataclass
class Process:
    """One life of a member."""

    name: str
    life: int
    rate: float
    loop: VirtualLoop
    agent: FleetMember = field(init=False)
    gate: ServingLease = field(init=False)
    task: asyncio.Task[None] = field(init=False)
    epoch: int = -1
    word: str = ""
    held: dict[str, str] = field(default_factory=dict)  # words by digest, of what was prepared
    counted: float = 0.0
    counts: dict[str, int] = field(default_factory=dict)

    @property
    def id(self) -> str:
        return f"{self.name}#{self.life}"

    @property
    def gone(self) -> bool:
        return self.loop.still.get(self.id, 0.0) == math.inf

    def clock(self) -> float:
        return self.loop.now * self.rate

    def figures(self) -> MemberMetricsRecord:
        """Of the requests since it was asked last."""
        now = self.loop.now
        asked = int((now - self.counted) * RATE) if self.counted else 0
        self.counted = self.counted + asked / RATE if self.counted else now
        failed = round(asked * FAILS) if BAD in self.word else 0
        told = self.counts
        for name, more in (
            ("ended.status.passed", asked - failed),
            ("ended.status.failed", failed),
            ("ended.status.refused", 0),
            ("ended.status.gone", 0),
            ("timed.status", asked),
            ("took.status", 20_000 * asked),
            ("upstream_tries", asked),
            ("cpu_us", 500 * asked),
        ):
            told[name] = told.get(name, 0) + more
        return MemberMetricsRecord(
            name=self.name, figures={**told, "at_ms": round(1000 * now), "rss_kb": 30_000}
        )


class World:
    def __init__(self, loop: VirtualLoop, members: int, seed: int, when_cut_off: str) -> None:
        self.loop, self.when_cut_off = loop, when_cut_off
        self.draws = Random(f"world {seed}")
        self.cluster = Cluster(3, clock=loop.time)
        self.net = Net(loop, self.cluster, seed)
        self.names = [f"m{number}" for number in range(members)]
        self.processes: dict[str, Process] = {}
        self.all: list[Process] = []
        self.taken: list[Taken] = []
        self.holders: dict[str, Holders] = {}  # by duty
        self.told: list[tuple[float, str]] = []  # what happened, for people
        self.operator = PolicyOperator(self.wire("operator", 2.0), PREFIX, timeout=5.0)  # type: ignore[arg-type]
        self.rollouts = RolloutOperator(self.operator)

    def note(self, what: str) -> None:
        self.told.append((self.loop.now, what))

    def wire(self, name: str, timeout: float = TIMEOUT) -> Wire:
        return Wire(self.net, name, timeout)

    # members
    def start(self, name: str) -> Process:
        life = 1 + max((one.life for one in self.all if one.name == name), default=0)
        number = self.names.index(name)
        process = Process(name, life, RATES[number % len(RATES)], self.loop)
        self.processes[name] = process
        self.all.append(process)
        context = copy_context()
        context.run(PROCESS.set, process.id)
        context.run(self._made, process, "ab"[number % 2])
        process.task = self.loop.create_task(process.agent.run(), context=context)
        return process

    def _made(self, process: Process, zone: str) -> None:
        process.gate = ServingLease(process.clock)
        options = StoreOptions((("store", 1),), PREFIX, TTL, TIMEOUT)
        member = MemberRecord(name=process.name, incarnation=f"i{process.life}", zone=zone, state="ready")
        works: list[type[DutyWork]] = [
            *ALL,
            PolicyCoordinator,
            BundleCollection,
            RolloutController,
            self._counted(process),
        ]

        def told(duty: str, token: int, begun: bool) -> None:
            self.judged(self.line(process, "begin" if begun else "end", duty, token))

        agent = process.agent = FleetMember(
            options, member, works, process.figures, process.clock, told, self._carrier(process)
        )
        agent.random = Random(f"{process.id}")
        agent.client, agent.watch_client = self.wire(process.name), self.wire(process.name)  # type: ignore[assignment]

    def line(self, process: Process, what: str, duty: str, token: int) -> Line:
        """By true time: the process's bound is one of its own clock."""
        lease = process.agent.lease
        until = lease.until / process.rate if lease.id else 0.0
        return Line(what, self.loop.now, process.id, duty, token, until)

    def judged(self, line: Line) -> None:
        self.holders.setdefault(line.duty, Holders()).line(line)

    def _counted(self, process: Process) -> type[DutyWork]:
        world = self

        class Counted(DutyWork):
            name = "counted"
            period = EFFECTS

            async def step(self, holding: DutyContext) -> None:
                token = holding.token
                line = world.line(process, "effect", "counted", token)
                try:
                    await holding.effect(Put(holding.cache.keys.fleet_record("counted"), str(token).encode()))
                except NotHolderError as fault:
                    if fault.started:
                        world.judged(msgspec.structs.replace(line, what="refused"))
                    raise
                except (StoreClientError, asyncio.CancelledError):  # it was sent, and may have been taken
                    world.judged(line)
                    raise
                world.judged(line)

        return Counted

    def _carrier(self, process: Process) -> ServingHost:
        def prepare(found: Mapping[str, str]) -> str:
            word = found["site.routes.hcl"]
            if BROKEN in word and self.names.index(process.name) == 0:
                raise ValueError(f"{process.name} can't serve {word}")
            return word

        def take(epoch: int, digest: str, ready: Any, done: Any) -> None:
            if epoch < process.epoch:
                self.note(f"BACK {process.id} from {process.epoch} to {epoch}")
            process.epoch, process.word = epoch, ready or ""
            self.taken.append(Taken(self.loop.now, process.id, epoch, process.word))
            done()

        return ServingHost(prepare, take, process.gate, self.when_cut_off)

    def serving(self) -> list[Process]:
        """Who would answer a request now."""
        return [one for one in self.all if not self.loop.stands(one.id) and one.gate.open]

    # ends
    async def leave(self, name: str) -> None:
        """SIGTERM, to the end or for as long as it takes to be killed."""
        process = self.processes[name]
        process.gate.close()
        process.agent.stopping.set()
        await asyncio.wait([process.task], timeout=4.0)
        self.loop.stop_process(process.id, math.inf)

    def kill(self, name: str) -> None:
        process = self.processes[name]
        self.loop.stop_process(process.id, math.inf)

    async def close(self) -> None:
        self.loop.release()
        for process in self.all:
            process.task.cancel()


def lived(seed: int, members: int, when_cut_off: str, life: Callable[[World], Awaitable[None]]) -> World:
    """A world on a loop of its own, from the begin of this life to its end."""
    logging.disable(logging.CRITICAL)
    try:
        with virtual(seed) as loop:
            world = World(loop, members, seed, when_cut_off)

            async def run() -> None:
                try:
                    await life(world)
                finally:
                    await world.close()

            try:
                loop.run_until_complete(run())
            finally:
                loop.release()
                for task in asyncio.all_tasks(loop):
                    task.cancel()
                loop.run_until_complete(asyncio.sleep(1.0))
    finally:
        logging.disable(logging.NOTSET)
    return world
