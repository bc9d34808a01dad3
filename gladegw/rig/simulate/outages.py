"""The store without its majority for as long as is asked, an hour among it, at each point of a change: what
share of the time members serve meanwhile, and whether all is whole afterwards. Simulated: an hour takes a
minute."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import Iterable

import msgspec

from gladegw.control.errors import StoreClientError
from gladegw.coordination.store import within
from gladegw.rig.simulate.judge import Judge
from gladegw.rig.simulate.parallel_runs import WITHIN, child, in_turn
from gladegw.rig.simulate.scenario_run import DUTIES, Course, Simulated
from gladegw.rig.simulate.seeded_defects import planted
from gladegw.rig.simulate.world import World, lived

LOOK = 0.05  # s
SETTLE = 60.0  # s after the store's return
MODULE = "gladegw.rig.simulate.outages"
FASTER = 10  # than real time, at least
PHASES = ("at rest", "open", "voted", "decided")


class Asked(msgspec.Struct, frozen=True, kw_only=True):
    when_cut_off: str
    away: float  # s
    phase: str = "at rest"
    members: int = 5
    seed: int = 1
    planted: str = ""  # name of a defect


class Outage(msgspec.Struct, kw_only=True):
    """`served`: share of all members' time while the store was away; `first` and `last`: when one of them
    first did not serve, s from its end, and when one did last not, s from its return; -1 where all served."""

    when_cut_off: str
    away: float
    phase: str
    served: float = 0.0
    first: float = -1.0
    last: float = -1.0
    outcome: str = ""  # of the change that was under way
    wrong: list[str] = []


class Watch:
    """Who serves, look by look."""

    def __init__(self, world: World, judge: Judge) -> None:
        self.world, self.judge = world, judge
        self.looks: list[tuple[float, int]] = []

    async def run(self) -> None:
        while True:
            self.judge.look()
            self.looks.append((self.world.loop.now, len(self.world.serving())))
            await asyncio.sleep(LOOK)


def reached(world: World, phase: str) -> bool:
    """Whether the change is at this point, by what stands in the store."""
    keys, model = world.operator.keys, world.cluster.model
    if phase == "decided":
        return model.keys[keys.committed_policy].version > 1
    change = model.keys.get(keys.open_change)
    if change is None:
        return False
    cast = sum(
        within(key, *keys.votes) and kv.mod_revision > change.create_revision
        for key, kv in model.keys.items()
    )
    return cast >= (len(world.names) if phase == "voted" else 0)


async def course(world: World, asked: Asked, found: Outage) -> None:
    loop, cluster = world.loop, world.cluster
    steps = Course(world, asked.seed, Simulated(seed=asked.seed))
    judge = steps.judge
    watch = Watch(world, judge)
    running = [asyncio.ensure_future(cluster.expire()), asyncio.ensure_future(watch.run())]
    for name in world.names:
        world.start(name)
    while await steps.changed("w0") != "everywhere":
        await asyncio.sleep(0.5)
    await asyncio.sleep(5.0)
    changing: asyncio.Task[str] | None = None
    if asked.phase != "at rest":
        changing = asyncio.ensure_future(steps.changed("w1"))
        while not reached(world, asked.phase) and not changing.done():
            await asyncio.sleep(0.0005)
    away = loop.now
    for member in (0, 1):
        cluster.down(member)
    await asyncio.sleep(asked.away)
    for member in (0, 1):
        cluster.up(member)
    back = loop.now
    if changing is not None:
        with contextlib.suppress(StoreClientError):
            found.outcome = await changing
    await asyncio.sleep(max(0.0, back + SETTLE - loop.now))
    found.wrong = judge.settled(DUTIES)
    for task in running:
        task.cancel()
    judge.history()
    found.wrong += judge.broken
    meanwhile = [serving for at, serving in watch.looks if away <= at < back]
    found.served = round(sum(meanwhile) / max(1, len(meanwhile)) / len(world.names), 4)
    short = [at for at, serving in watch.looks if at >= away and serving < len(world.names)]
    if short:
        found.first, found.last = round(short[0] - away, 2), round(short[-1] - back, 2)


def play(asked: Asked) -> Outage:
    found = Outage(when_cut_off=asked.when_cut_off, away=asked.away, phase=asked.phase)
    lived(asked.seed, asked.members, asked.when_cut_off, lambda world: course(world, asked, found))
    return found


async def measure(wanted: Iterable[Asked], at_once: int) -> list[Outage]:
    """Raises RigError."""
    works = (child(MODULE, asked, Outage, WITHIN + asked.away / FASTER) for asked in wanted)
    return [found async for found in in_turn(works, at_once)]


def main() -> int:
    asked: Asked = msgspec.json.decode(sys.stdin.buffer.read(), type=Asked)
    with planted(asked.planted):
        sys.stdout.buffer.write(msgspec.json.encode(play(asked)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
