"""A duty's steps while they fail, on a clock that jumps."""

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
def test_a_step_that_fails_at_once_is_not_made_again_at_once(fault: Exception) -> None:
    """Found by a simulated course: a holder at the very end of its bound asked on, and no time passed."""
    steps: list[float] = []

    class Fails(DutyWork):
        name = "fails"
        period = 0.0

        async def step(self, holding: DutyContext) -> None:
            steps.append(asyncio.get_running_loop().time())
            if len(steps) > 100:
                raise asyncio.CancelledError
            raise fault

    async def run() -> None:
        complete = asyncio.Event()
        complete.set()
        keys, live = Keys("/x"), SimpleNamespace(complete=complete)
        member = SimpleNamespace(
            keys=keys, cache=StoreCache(keys), log_fault=lambda text: None, live_watch=live
        )
        keeper = LeaderElection(cast(Any, member), Fails(), lambda name, token, begun: None)
        keeper.duty = Duty(Phase.HELD, 7)
        working = asyncio.create_task(keeper._run_work(7))
        await asyncio.sleep(1.0 + RETRY_INTERVAL_S / 2)
        working.cancel()

    with virtual(1) as loop:
        loop.run_until_complete(run())
    assert len(steps) == 1 + round(1.0 / RETRY_INTERVAL_S)
