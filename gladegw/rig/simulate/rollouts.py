"""A rollout over as many members as are asked for, with nothing that fails around it: how long it takes
beside what its plan bakes, and how soon a bundle that fails half of its requests is taken back."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterable

import msgspec

from gladegw.control.rollout_plan import Plan
from gladegw.rig.simulate.parallel_runs import child, in_turn
from gladegw.rig.simulate.scenario_run import DUTIES, Course, Simulated
from gladegw.rig.simulate.world import BAD, CONFIRM, DEADLINE, World, files, lived

MODULE = "gladegw.rig.simulate.rollouts"
WITHIN = 1200.0  # s of this machine's time
PATIENCE = 3600.0  # s of the simulated time
TOGETHER = 10.0  # s for all to have joined
SETTLE = 5.0  # s for all to have heard of the last epoch


class Asked(msgspec.Struct, frozen=True, kw_only=True):
    members: int
    bad: bool = False
    bake: float = 30.0  # s of a stage
    seed: int = 1


class Rolled(msgspec.Struct, kw_only=True):
    members: int
    bad: bool
    state: str = ""
    seconds: float = 0.0  # from its start until all serve by one bundle
    baked: float = 0.0  # of which its plan bakes
    messages: int = 0  # of all, to and from the store
    wrong: list[str] = []


async def course(world: World, asked: Asked, found: Rolled) -> None:
    loop, rollouts = world.loop, world.rollouts
    steps = Course(world, asked.seed, Simulated(seed=asked.seed))
    looking = [asyncio.ensure_future(world.cluster.expire()), asyncio.ensure_future(steps.look())]
    for name in world.names:
        world.start(name)
    await asyncio.sleep(TOGETHER)
    while await steps.changed("w0") != "everywhere":
        await asyncio.sleep(1.0)
    word = "w1" + (BAD if asked.bad else "")
    plan = Plan(stages=("1", "25%", "100%"), bake_s=asked.bake, least_requests=50)
    began, before = loop.now, world.net.messages
    record = await rollouts.start(plan, files(steps.judge.knows(word)), CONFIRM, DEADLINE, True, "rig", word)
    async with asyncio.timeout(PATIENCE):
        over = await rollouts.outcome(record.id)
        wanted = "w0" if asked.bad else word
        while any(one.word != wanted for one in world.processes.values()):
            await asyncio.sleep(0.05)
    found.state, found.seconds = over.phase, round(loop.now - began, 1)
    found.baked = asked.bake * len(record.stages) if over.phase == "done" else 0.0
    found.messages = world.net.messages - before
    await asyncio.sleep(SETTLE)
    for task in looking:
        task.cancel()
    steps.judge.history()
    found.wrong = steps.judge.broken + steps.judge.settled(DUTIES)


def play(asked: Asked) -> Rolled:
    found = Rolled(members=asked.members, bad=asked.bad)
    lived(asked.seed, asked.members, "serve", lambda world: course(world, asked, found))
    return found


async def measure(wanted: Iterable[Asked], at_once: int) -> list[Rolled]:
    """Raises RigError."""
    return [found async for found in in_turn((child(MODULE, one, Rolled, WITHIN) for one in wanted), at_once)]


def main() -> int:
    asked: Asked = msgspec.json.decode(sys.stdin.buffer.read(), type=Asked)
    sys.stdout.buffer.write(msgspec.json.encode(play(asked)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
