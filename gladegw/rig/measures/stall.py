"""Whether an agent keeps its duty while the serving loop is busy for long: on a thread of its own, as the
program has it, or on that loop.

Run as `python -m gladegw.rig.measures.stall`: takes a `Plan` as one line on standard input and prints a
`Row`. The loop it makes does nothing but be busy, and look how late its own timers come, which is what a
request on it would wait.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import time
from itertools import pairwise

import msgspec

from gladegw.control.clock import boot_time
from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.member import FleetMember, StoreOptions
from gladegw.control.store_client import addresses
from gladegw.coordination.records import MemberRecord
from gladegw.coordination.store import Put
from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.measures.scale import PREFIX, stand

TIMER = 0.005  # s between two looks of the loop
PATIENCE = 20.0  # s to hold the duty first


class Plan(msgspec.Struct, frozen=True):
    endpoints: tuple[str, ...]
    thread: bool
    busy: float  # s at a time
    free: float  # s between
    lasts: float  # s
    ttl: int


class Row(msgspec.Struct, kw_only=True):
    """`late`: of the loop's timers, in ms. `gap`: s between two effects of the duty, at most."""

    thread: bool
    busy_s: float
    free_s: float
    lost: int  # leases that ran out
    effects: int
    gap_s: float
    late_p50: float
    late_p99: float
    cpu: float  # share of a core


class Beats(DutyWork):
    """Writes as often as it may."""

    name = "beat"
    period = 0.05

    def __init__(self) -> None:
        self.at: list[float] = []
        self.ends = 0

    async def step(self, holding: DutyContext) -> None:
        await holding.effect(Put(holding.cache.keys.fleet_record(self.name), b"1"))
        self.at.append(time.monotonic())

    def end(self) -> None:
        self.ends += 1


async def stalled(plan: Plan) -> Row:
    """Raises TimeoutError where it never held the duty."""
    options = StoreOptions(addresses(plan.endpoints), PREFIX, plan.ttl, timeout=1.0)
    agent = FleetMember(
        options, MemberRecord(name="m", incarnation="", state="ready"), [Beats], clock=boot_time
    )
    work = agent.works[0]
    assert isinstance(work, Beats)
    if plan.thread:
        agent.start()
    else:
        running = asyncio.create_task(agent.run())
    async with asyncio.timeout(PATIENCE):
        while not work.at:
            await asyncio.sleep(TIMER)
    late: list[float] = []
    began, cpu = time.monotonic(), time.process_time()
    first, ends = len(work.at), work.ends
    busy_at = began + plan.free
    while (now := time.monotonic()) < began + plan.lasts:
        if now >= busy_at:
            while time.monotonic() < now + plan.busy:
                pass
            busy_at = time.monotonic() + plan.free
        due = time.monotonic() + TIMER
        await asyncio.sleep(TIMER)
        late.append(1000 * (time.monotonic() - due))
    took, used = time.monotonic() - began, time.process_time() - cpu
    beats = [began, *work.at[first:], began + took]
    row = Row(
        thread=plan.thread,
        busy_s=plan.busy,
        free_s=plan.free,
        lost=work.ends - ends,
        effects=len(work.at) - first,
        gap_s=max(b - a for a, b in pairwise(beats)),
        late_p50=sorted(late)[len(late) // 2],
        late_p99=sorted(late)[int(0.99 * len(late))],
        cpu=used / took,
    )
    if plan.thread:
        agent.shut_down()
    else:
        agent.stopping.set()
        with contextlib.suppress(asyncio.CancelledError):
            await running
    return row


async def measure(busy: float, free: float, lasts: float, ttl: int) -> list[Row]:
    """The thread, then the loop, each in a process pinned to one core. Raises RigError."""
    rows: list[Row] = []
    for thread in (True, False):
        async with stand() as store:
            plan = Plan(store.endpoints, thread, busy, free, lasts, ttl)
            core = sorted(os.sched_getaffinity(0))[-1]
            child = await process.start(*process.python("gladegw.rig.measures.stall"), cpus=(core,))
            assert child.stdin is not None and child.stdout is not None
            try:
                child.stdin.write(msgspec.json.encode(plan) + b"\n")
                line = await child.stdout.readline()
                if not line:
                    raise RigError("the process that is busy ended before its time")
                rows.append(msgspec.json.decode(line, type=Row))
            finally:
                await process.end(child)
    return rows


def main() -> int:
    plan: Plan = msgspec.json.decode(sys.stdin.buffer.readline(), type=Plan)
    row = asyncio.run(stalled(plan))
    sys.stdout.buffer.write(msgspec.json.encode(row) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
