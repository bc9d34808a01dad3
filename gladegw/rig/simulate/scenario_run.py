"""A simulated fleet's life: operators who change policies and roll bundles out, faults, and the end, when all
has to be whole again."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from random import Random

import msgspec

from gladegw.control.errors import StoreClientError
from gladegw.control.rollout_plan import Plan
from gladegw.coordination.records import RolloutRecord
from gladegw.rig.simulate.judge import Judge
from gladegw.rig.simulate.world import BAD, BROKEN, CONFIRM, DEADLINE, World, files, lived

LOOK = 0.05  # s
SETTLE = 90.0  # s after the last fault
ROLLOUT = 240.0  # s more, for a rollout that is under way
DUTIES = ("digest", "sweeper", "compare", "policy", "bundles", "rollout", "counted")
BETWEEN = 1.2  # s between two faults, on the average
SOON = (0.1, 4.0)  # s until something that was broken is whole
LONG = 0.2  # share of cuts that last longer than members of a stage wait for a sign
PLAN = Plan(stages=("1", "50%", "100%"), bake_s=20.0, most_s=100.0, least_requests=50)


class Simulated(msgspec.Struct, kw_only=True):
    """What one seed gave. `broken` is what must not be, `missing` what did not come about in the end."""

    seed: int
    seconds: float = 0.0  # of the simulated time
    faults: dict[str, int] = {}
    changes: dict[str, int] = {}  # by outcome
    rollouts: dict[str, int] = {}
    messages: int = 0
    looks: int = 0
    begins: int = 0  # of duties
    effects: int = 0
    broken: list[str] = []
    missing: list[str] = []
    told: list[str] = []


class Course:
    def __init__(self, world: World, seed: int, found: Simulated) -> None:
        self.world, self.found = world, found
        self.draws = Random(f"course {seed}")
        self.judge = Judge(world)
        self.number = 0
        self.mending: set[asyncio.Task[None]] = set()

    # operators
    async def changed(self, word: str, dry: bool = False) -> str:
        operator, everyone = self.world.operator, self.world.when_cut_off == "serve"
        try:
            digest = await operator.upload(files(self.judge.knows(word)))
            change = await operator.propose(digest, DEADLINE, everyone, "rig", word, dry)
            outcome = (await operator.outcome(change, DEADLINE)).outcome
        except (StoreClientError, ValueError) as fault:
            outcome = "refused" if isinstance(fault, ValueError) else "unknown"
        self.found.changes[outcome] = self.found.changes.get(outcome, 0) + 1
        return outcome

    async def operate(self) -> None:
        while True:
            await asyncio.sleep(self.draws.uniform(0.5, 6.0))
            self.number += 1
            what = self.draws.choices(("good", "broken", "dry", "call off", "rollout"), (6, 1, 1, 1, 3))[0]
            word = f"w{self.number}"
            self.world.note(f"operator: {what} {word}")
            if what == "rollout":
                await self.rolled(word + (BAD if self.draws.random() < 0.4 else ""))
            elif what == "call off":
                calling = asyncio.ensure_future(self.changed(word))
                await asyncio.sleep(self.draws.uniform(0.0, 0.3))
                with contextlib.suppress(StoreClientError):
                    await self.world.operator.cancel("rig")
                await calling
            else:
                await self.changed(word + (BROKEN if what == "broken" else ""), what == "dry")

    async def rolled(self, word: str) -> None:
        rollouts = self.world.rollouts
        everyone = self.world.when_cut_off == "serve"
        try:
            bundle = files(self.judge.knows(word))
            record = await rollouts.start(PLAN, bundle, CONFIRM, DEADLINE, everyone, "rig", word)
        except (StoreClientError, ValueError):
            return
        course: list[Callable[[], Awaitable[RolloutRecord]]] = []
        if self.draws.random() < 0.3:
            courses: tuple[list[Callable[[], Awaitable[RolloutRecord]]], ...] = (
                [lambda: rollouts.stop("rig", True)],
                [lambda: rollouts.stop("rig", False)],
                [lambda: rollouts.pause(True), lambda: rollouts.pause(False)],
            )
            course = self.draws.choice(courses)
        for ask in course:
            await asyncio.sleep(self.draws.uniform(0.0, 30.0))
            with contextlib.suppress(StoreClientError, ValueError):
                await ask()
        state = "unknown"
        with contextlib.suppress(StoreClientError, TimeoutError):
            async with asyncio.timeout(ROLLOUT):
                state = (await rollouts.outcome(record.id)).phase
        if state == "stopped":  # what it has left in force
            await asyncio.sleep(self.draws.uniform(0.0, 3 * CONFIRM))
            with contextlib.suppress(StoreClientError, ValueError):
                await rollouts.stop("rig", True)
        kind = f"{'bad' if BAD in word else 'good'}: {state}"
        self.found.rollouts[kind] = self.found.rollouts.get(kind, 0) + 1

    # faults
    def mend(self, after: float, how: Callable[[], object]) -> None:
        async def later() -> None:
            await asyncio.sleep(after)
            how()

        task = asyncio.ensure_future(later())
        self.mending.add(task)
        task.add_done_callback(self.mending.discard)

    def soon(self) -> float:
        return self.draws.uniform(*SOON)

    def dies(self, name: str) -> None:
        self.world.kill(name)
        self.mend(self.soon(), lambda: self.world.start(name))

    def leaves(self, name: str) -> None:
        process = self.world.processes[name]

        async def replaced() -> None:
            await self.world.leave(name)
            await asyncio.sleep(self.draws.uniform(0.0, 1.0))
            if self.world.processes[name] is process:
                self.world.start(name)

        task = asyncio.ensure_future(replaced())
        self.mending.add(task)
        task.add_done_callback(self.mending.discard)

    def stands(self, name: str) -> None:
        """Half of them in the midst of their effects."""
        judge = self.world.holders.get("counted")
        if judge is not None and judge.held and self.draws.random() < 0.5:
            name = judge.held[max(judge.held)].member.partition("#")[0]
        for_s = self.draws.uniform(*self.draws.choice(((0.05, 0.9), (1.0, 6.0))))
        self.world.loop.stop_process(self.world.processes[name].id, self.world.loop.now + for_s)

    def cut(self, name: str) -> None:
        """Those in a stage for longer, since they have to go back by themselves."""
        ways = self.draws.choice((("there",), ("back",), ("there", "back")))
        for way in ways:
            self.world.net.cut(name, way)
        decided = self.judge.decided
        long = name in decided[max(decided)][1].named or self.draws.random() < LONG
        lasts = self.draws.uniform(8.0, 20.0) if long else self.soon()
        for way in ways:
            self.mend(lasts, lambda way=way: self.world.net.heal(name, way))  # type: ignore[misc]

    def agreed(self, name: str) -> None:
        """One that has voted hears nothing, or stands still, when it is decided: another's vote is late."""
        world, model, keys = self.world, self.world.cluster.model, self.world.operator.keys
        victim = world.processes[name]
        other = self.draws.choice([one for one in world.names if one != name])

        def opened() -> bool:
            return keys.open_change in model.keys

        def voted() -> bool:
            change = model.keys.get(keys.open_change)
            vote = model.keys.get(keys.vote(name, f"i{victim.life}"))
            return change is not None and vote is not None and vote.mod_revision > change.create_revision

        async def until(what: Callable[[], bool], patience: float) -> bool:
            end = world.loop.now + patience
            while not what() and world.loop.now < end and not victim.gone:
                await asyncio.sleep(0.002)
            return what()

        async def course() -> None:
            if opened() or not await until(opened, 10.0):
                return
            world.net.cut(other, "there")
            try:
                if not await until(voted, 1.0):
                    return
                if self.draws.random() < 0.5:
                    world.net.cut(name, "back")
                    self.mend(self.draws.uniform(1.0, 6.0), lambda: world.net.heal(name, "back"))
                else:
                    world.loop.stop_process(victim.id, world.loop.now + self.draws.uniform(1.2, 6.0))
            finally:
                world.net.heal(other, "there")

        task = asyncio.ensure_future(course())
        self.mending.add(task)
        task.add_done_callback(self.mending.discard)

    def store(self, name: str) -> None:
        cluster = self.world.cluster
        what = self.draws.choice(("depose", "down", "majority", "slow", "watches", "unanswered", "cut"))
        member = self.draws.randrange(3)
        if what == "depose":
            cluster.depose()
        elif what == "watches":
            cluster.cut_watches()
        elif what == "unanswered":
            cluster.unanswered += self.draws.randint(1, 4)
        elif what == "slow":
            cluster.slow = self.draws.uniform(0.02, 0.6)
            self.mend(self.soon(), lambda: setattr(cluster, "slow", 0.0))
        elif what == "cut":
            cluster.cut(member)
            self.mend(self.soon(), lambda: cluster.heal(member))
        else:
            for number in range(1 if what == "down" else 2):
                at = (member + number) % 3
                cluster.down(at)
                self.mend(self.soon(), lambda at=at: cluster.up(at))  # type: ignore[misc]

    async def break_things(self) -> None:
        kinds = (self.dies, self.leaves, self.stands, self.cut, self.store, self.agreed)
        busy: set[str] = set()
        while True:
            await asyncio.sleep(self.draws.expovariate(1 / BETWEEN))
            fault = self.draws.choices(kinds, (2, 1, 3, 3, 2, 2))[0]
            name = self.draws.choice(self.world.names)
            process = self.world.processes[name]
            if process.gone or process.task.done() or name in busy or not hasattr(process.agent, "stopping"):
                continue
            self.world.note(f"fault: {fault.__name__} {process.id}")
            self.found.faults[fault.__name__] = self.found.faults.get(fault.__name__, 0) + 1
            if fault in (self.dies, self.leaves):
                busy.add(name)
                self.mend(SOON[1] + 5.0, lambda name=name: busy.discard(name))  # type: ignore[misc]
            fault(name)

    # all of it
    async def look(self) -> None:
        while True:
            self.judge.look()
            await asyncio.sleep(LOOK)

    async def run(self, lasts: float) -> None:
        world, loop = self.world, self.world.loop
        began = loop.now
        expiring = asyncio.ensure_future(world.cluster.expire())
        for name in world.names:
            world.start(name)
        looking = asyncio.ensure_future(self.look())
        while await self.changed("w0") != "everywhere":
            await asyncio.sleep(0.5)
        acting = [asyncio.ensure_future(self.operate()), asyncio.ensure_future(self.break_things())]
        await asyncio.sleep(lasts)
        acting[1].cancel()
        while self.mending:
            await asyncio.sleep(1.0)
        acting[0].cancel()
        end = loop.now + SETTLE
        while loop.now < end + (ROLLOUT if world.operator.keys.rollout in world.cluster.model.keys else 0.0):
            await asyncio.sleep(1.0)
        await self.taken_back()
        self.found.missing = self.judge.settled(DUTIES)
        for task in (looking, expiring, *acting):
            if task.done() and not task.cancelled():
                task.result()
            task.cancel()
        self.judge.history()
        self.found.seconds = loop.now - began

    async def taken_back(self) -> None:
        """A stage that a stop has left in force: members have gone back by themselves."""
        with contextlib.suppress(StoreClientError, ValueError):
            await self.world.rollouts.stop("rig", True)
        await asyncio.sleep(10.0)


def simulate(seed: int, members: int, lasts: float, when_cut_off: str) -> Simulated:
    """The same seed gives the same, in processes that hash alike: `many`."""
    found = Simulated(seed=seed)
    courses: list[Course] = []

    async def life(world: World) -> None:
        courses.append(Course(world, seed, found))
        await courses[0].run(lasts)

    world = lived(seed, members, when_cut_off, life)
    judge = courses[0].judge
    found.broken, found.looks, found.messages = judge.broken, judge.looks, world.net.messages
    found.begins = sum(len(one.held) for one in world.holders.values())
    found.effects = sum(one.effects for one in world.holders.values())
    found.told = [f"{at:.3f} {what}" for at, what in world.told]
    return found
