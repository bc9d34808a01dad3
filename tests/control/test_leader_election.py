"""Failing steps of a duty, on a virtual clock."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from gladegw.control.duties.base import DutyContext, DutyWork, NotHolderError
from gladegw.control.errors import StoreUnreachableError
from gladegw.control.keys import Keys
from gladegw.control.leader_election import RETRY_INTERVAL_S, LeaderElection
from gladegw.control.store_cache import StoreCache
from gladegw.coordination.duty import Duty, Phase
from gladegw.rig.simulate.loop import virtual


@pytest.mark.parametrize(
    "fault", [StoreUnreachableError("gone"), NotHolderError("fails"), ValueError("planted")]
)
def test_a_failing_step_is_repeated_only_after_a_delay(fault: Exception) -> None:
    """A holder whose lease was about to expire repeated its failing step without a delay. On a virtual clock
    such a loop never ends, because no time passes."""
    step_times: list[float] = []

    class FailingWork(DutyWork):
        name = "fails"
        period = 0.0

        async def step(self, holding: DutyContext) -> None:
            step_times.append(asyncio.get_running_loop().time())
            if len(step_times) > 100:
                raise asyncio.CancelledError
            raise fault

    async def run() -> None:
        complete = asyncio.Event()
        complete.set()
        keys, live = Keys("/x"), SimpleNamespace(complete=complete)
        member = SimpleNamespace(
            keys=keys, cache=StoreCache(keys), log_fault=lambda text: None, live_watch=live
        )
        election = LeaderElection(cast(Any, member), FailingWork(), lambda name, token, begun: None)
        election.duty = Duty(Phase.HELD, 7)
        working = asyncio.create_task(election._run_work(7))
        await asyncio.sleep(1.0 + RETRY_INTERVAL_S / 2)
        working.cancel()

    with virtual(1) as loop:
        loop.run_until_complete(run())
    assert len(step_times) == 1 + round(1.0 / RETRY_INTERVAL_S)
