"""Simulated courses in children: a seed is the same course in each, whatever process asked for it.

Sets of names are walked in the order of their hashes, which Python draws anew for each process unless it is
told not to; so courses run in processes that are told, some at a time."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import deque
from collections.abc import AsyncGenerator, Coroutine, Iterable, Sequence
from typing import Any, TypeVar

import msgspec

from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.simulate.scenario_run import Simulated, simulate
from gladegw.rig.simulate.seeded_defects import planted

T = TypeVar("T")
MODULE = "gladegw.rig.simulate.parallel_runs"
ENVIRON = {"PYTHONHASHSEED": "0"}
WITHIN = 120.0  # s of this machine's time for a course; one whose clock stands still never ends


class Asked(msgspec.Struct, frozen=True, kw_only=True):
    seed: int
    members: int = 5
    lasts: float = 60.0  # s of faults
    when_cut_off: str = "serve"
    planted: str = ""  # name of a defect


async def child(module: str, asked: msgspec.Struct, form: type[T], within: float = WITHIN) -> T:
    """What a module's `main` makes of this in a process of its own, within so many s. Raises RigError."""
    one = await process.start(*process.python(module), environ={**os.environ, **ENVIRON})
    try:
        try:
            async with asyncio.timeout(within):
                told, _ = await one.communicate(msgspec.json.encode(asked))
        except TimeoutError:
            raise RigError(f"{asked} has not ended in {within:g} s") from None
        if one.returncode:
            raise RigError(f"{asked} ended with {one.returncode}")
        return msgspec.json.decode(told, type=form)
    finally:
        await process.end(one)


async def in_turn(works: Iterable[Coroutine[Any, Any, T]], at_once: int) -> AsyncGenerator[T, None]:
    """Their results in their order, `at_once` of them at a time."""
    running: deque[asyncio.Task[T]] = deque()
    try:
        for work in works:
            running.append(asyncio.create_task(work))
            if len(running) == at_once:
                yield await running.popleft()
        while running:
            yield await running.popleft()
    finally:
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


def courses(wanted: Iterable[Asked], at_once: int) -> AsyncGenerator[Simulated, None]:
    """Raises RigError."""
    return in_turn((child(MODULE, asked, Simulated, WITHIN) for asked in wanted), at_once)


async def first_found(wanted: Sequence[Asked], said: str, at_once: int) -> Simulated | None:
    """The first course of which this is said."""
    looking = courses(wanted, at_once)
    try:
        async for found in looking:
            if any(said in what for what in found.broken):
                return found
    finally:
        await looking.aclose()
    return None


def main() -> int:
    asked: Asked = msgspec.json.decode(sys.stdin.buffer.read(), type=Asked)
    with planted(asked.planted):
        found = simulate(asked.seed, asked.members, asked.lasts, asked.when_cut_off)
    sys.stdout.buffer.write(msgspec.json.encode(found))
    return 0


if __name__ == "__main__":
    sys.exit(main())
