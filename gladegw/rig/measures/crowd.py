"""Many members of a fleet in one process, without serving: the load that a large fleet puts on its store.

Run as `python -m gladegw.rig.measures.crowd`: takes a `Plan` as one line on standard input, prints
`ready` once all of them may hold duties, and ends when that input ends.
"""

from __future__ import annotations

import asyncio
import sys

import msgspec

from gladegw.control.clock import boot_time
from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.duties.policy_coordinator import PolicyCoordinator
from gladegw.control.member import FleetMember, StoreOptions
from gladegw.control.policy_participant import ServingHost
from gladegw.control.store_client import addresses
from gladegw.coordination.records import MemberMetricsRecord, MemberRecord
from gladegw.coordination.serving_lease import ServingLease

LOOK = 0.05  # s
AT_ONCE = 25  # that join at once, of a process


class Plan(msgspec.Struct, frozen=True):
    endpoints: tuple[str, ...]
    prefix: str
    first: int
    count: int
    duties: int
    ttl: int  # s
    policy: bool = False  # they take part in changes of policy, and serve nothing by them


def still(duty: str) -> type[DutyWork]:
    class Still(DutyWork):
        """Is held, and does nothing."""

        name = duty
        period = 3600.0

        async def step(self, holding: DutyContext) -> None:
            pass

    return Still


def carrier() -> ServingHost:
    """Whatever is decided is taken, at once."""
    return ServingHost(
        lambda files: files, lambda epoch, digest, ready, done: done(), ServingLease(boot_time)
    )


def agents(plan: Plan) -> list[FleetMember]:
    options = StoreOptions(addresses(plan.endpoints), plan.prefix, plan.ttl, timeout=float(plan.ttl))
    works: list[type[DutyWork]] = [still(f"duty-{number}") for number in range(plan.duties)]
    if plan.policy:
        works.append(PolicyCoordinator)
    return [
        FleetMember(
            options,
            MemberRecord(name=f"m{number}", incarnation="", state="ready"),
            works,
            lambda name=f"m{number}": MemberMetricsRecord(name=name),  # type: ignore[misc]
            host=carrier() if plan.policy else None,
        )
        for number in range(plan.first, plan.first + plan.count)
    ]


async def run(plan: Plan) -> None:
    crowd = agents(plan)
    running: list[asyncio.Task[None]] = []
    for first in range(0, len(crowd), AT_ONCE):  # one loop serves them all: each has its lease to renew
        running += [asyncio.create_task(agent.run()) for agent in crowd[first : first + AT_ONCE]]
        while not all(agent.may_claim for agent in crowd[: first + AT_ONCE]):
            await asyncio.sleep(LOOK)
    print("ready", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for task in running:
        task.cancel()


def main() -> int:
    asyncio.run(run(msgspec.json.decode(sys.stdin.buffer.readline(), type=Plan)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
