"""Rollouts of program versions over proxies under supervisors, under load and with faults."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from support.fleet import PREFIX, RolloutCommands, Store, store
from support.loopback import PATIENCE, run

from gladegw.control import fleet_status
from gladegw.control.rollouts import latest
from gladegw.rig import process
from gladegw.rig.judging import ledger
from gladegw.rig.measures.capacity import SCENARIO
from gladegw.rig.nodes.settings import config
from gladegw.rig.ports import free_port
from gladegw.rig.supervised import Supervised
from gladegw.rig.traffic.steady import Steady

PROXIES = 6
BACKGROUND_PAUSE_S = 0.04  # between two requests of the load that only the rollout judges
VERSIONS = {
    "1.0": "none",
    "1.1": "none",
    "2.0": "exits",
    "2.2": "fails 20%",
    "2.3": "crashes",
}
ROUTES = 'pool "all" {\n  names = ["*"]\n}\nroute "all" {\n  prefix = "/"\n  pool = "all"\n}\n'


class Site(RolloutCommands):
    def __init__(self, at: Store, folder: Path, supervised: list[Supervised], settings: Path) -> None:
        self.at, self.folder, self.settings = at, folder, settings
        self.by_name = {proxy.name: proxy for proxy in supervised}

    def plan(self, version: str, **settings: Any) -> str:
        values = {
            "program": version,
            "stages": ["1", "2", "100%"],
            "bake_s": 3,
            "least_requests": 20,
            "most_s": 60,
            "move_s": 30,
        } | settings
        return self.plan_file(version, values)

    async def wait_for_version_start(self) -> None:
        """Wait until a supervisor has begun to start the new version."""
        end = time.monotonic() + 2 * PATIENCE
        while not any(proxy.now().get("supervision", {}).get("coming") for proxy in self.by_name.values()):
            assert time.monotonic() < end
            await asyncio.sleep(0.02)

    async def wait_until_all_run(self, version: str) -> None:
        await self.until(
            lambda status: [member["version"] for member in status["members"]] == [version] * PROXIES
        )
        for proxy in self.by_name.values():
            await proxy.until("steady", version)

    async def controller(self) -> str:
        held = await self.at.duties(lambda now: bool(now.get("rollout", (None,))[0]))
        return str(held["rollout"][0])


@contextlib.asynccontextmanager
async def site(folder: Path, ttl: int = 2, confirm: int = 6) -> AsyncIterator[Site]:
    async with store(3) as at, contextlib.AsyncExitStack() as stack:
        nodes = await process.start(*process.python("gladegw.rig.nodes.trivial", "3"))
        stack.push_async_callback(process.end, nodes)
        assert nodes.stdout is not None
        ports = msgspec.json.decode(await nodes.stdout.readline())
        routes, settings = folder / "all.routes.hcl", folder / "site.hcl"
        routes.write_text(ROUTES, encoding="utf-8")
        settings.write_text(
            at.block(ttl_s=ttl) + f'routes {{\n  file = "{routes}"\n}}\npolicy {{\n}}\n'
            f"rollout {{\n  confirm_s = {confirm}\n}}\n",
            encoding="utf-8",
        )
        rig_ledger = ledger.Ledger(folder / "rig.jsonl")
        stack.callback(rig_ledger.close)
        supervised = []
        for number in range(PROXIES):
            raw = config(
                SCENARIO,
                f"p{number}",
                f"127.0.0.1:{free_port()}",
                ports["discovery"],
                ports["known"],
                0,
                number,
                "ab"[number % 2],
            )
            proxy = Supervised(f"p{number}", raw, folder, rig_ledger, str(settings), VERSIONS, "1.0")
            supervised.append(proxy)
            stack.push_async_callback(proxy.kill)
        await asyncio.gather(*(proxy.start() for proxy in supervised))
        await asyncio.gather(*(proxy.until("steady", "1.0") for proxy in supervised))
        here = Site(at, folder, supervised, settings)
        await at.members(lambda found: [member["state"] for member in found] == ["ready"] * PROXIES)
        for proxy in supervised:
            await stack.enter_async_context(Steady(proxy.port, BACKGROUND_PAUSE_S))
        yield here


def test_a_good_version_goes_through_all_stages(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as here, Steady(next(iter(here.by_name.values())).port) as load:
            started = asyncio.create_task(here.rollout("start", here.plan("1.1"), "--wait"))
            seen = set()
            while not started.done():
                _, status = await here.rollout("status")
                new = sum(member["version"] == "1.1" for member in status["members"])
                seen.add((status["stage"], new))
                if status["state"] != "none":
                    assert {member["version"] for member in status["members"]} <= {"1.0", "1.1"}
            code, status = started.result()
            assert (code, status["state"], status["stage"]) == (0, "done", 3), status
            assert max(new for stage, new in seen if stage == 1) == 1, seen
            assert max(new for stage, new in seen if stage == 2) == 2, seen
            await here.wait_until_all_run("1.1")
            assert not load.lost and 200 in load.codes
            code, status = await here.rollout("start", here.plan("1.1"))
            assert code == 1 and "already running" in status["refused"]

    run(test())


@pytest.mark.parametrize(
    ("version", "why"),
    [
        ("2.0", "exit code 1"),
        ("2.2", "failed"),
        ("2.3", "exit code 3"),
        ("9", "no program"),
    ],
)
def test_a_bad_version_is_back_in_its_first_stage(version: str, why: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as here:
            plan = here.plan(version, bake_s=70, most_s=70)
            code, status = await here.rollout("start", plan, "--wait")
            assert (code, status["state"], status["stage"]) == (1, "back", 1), status
            assert why in status["verdict"], status
            await here.wait_until_all_run("1.0")
            # the rollout that was rolled back does not prevent another
            assert (await here.rollout("start", here.plan("1.1")))[0] == 0
            assert (await here.rollout("back"))[1]["state"] in ("back", "going back")
            await here.wait_until_all_run("1.0")

    run(test())


@pytest.mark.parametrize("how", ["kill", "stop", "supervisor"])
def test_a_conductor_that_is_lost_is_followed(how: str, tmp_path: Path) -> None:
    """The controller is lost while the first stage starts; its supervisor restarts a killed process."""

    async def test() -> None:
        async with site(tmp_path) as here:
            assert (await here.rollout("start", here.plan("1.1")))[0] == 0
            await here.wait_for_version_start()
            victim = here.by_name[await here.controller()]
            pid = victim.pids()["current"]
            if how == "supervisor":
                await victim.abandon()
                await victim.start()
            else:
                os.kill(pid, signal.SIGKILL if how == "kill" else signal.SIGSTOP)
            ended = await here.until(lambda status: status["state"] in ("done", "back", "stopped"))
            assert ended["state"] == "done", ended
            await here.wait_until_all_run("1.1")

    run(test())


def test_members_of_a_stage_revert_by_themselves_when_the_store_is_lost(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as here:
            assert (await here.rollout("start", here.plan("1.1", bake_s=60)))[0] == 0
            found = await here.until(lambda status: status["phase"] == "baking")
            for member in (0, 1):
                await here.at.order("down", member=member)
            for name in found["named"]:
                await here.by_name[name].until("steady", "1.0")
            for member in (0, 1):
                await here.at.order("up", member=member)
            ended = await here.until(lambda status: status["state"] in ("done", "back", "stopped"))
            assert ended["state"] == "back" and "by itself" in ended["verdict"], ended
            await here.wait_until_all_run("1.0")

    run(test())


def test_an_operator_stops_a_rollout_while_a_stage_starts(tmp_path: Path) -> None:
    """No further member starts the version, and those that run it revert by themselves.

    A rollback afterwards succeeds once, and then there is no rollout left.
    """

    async def test() -> None:
        async with site(tmp_path) as here:
            assert (await here.rollout("start", here.plan("1.1")))[0] == 0
            await here.wait_for_version_start()
            code, status = await here.rollout("stop")
            assert (code, status["state"]) == (0, "stopped"), status
            await here.wait_until_all_run("1.0")
            code, status = await here.rollout("back")
            assert (code, status["state"]) == (0, "back"), status
            code, status = await here.rollout("back")
            assert code == 1 and status["refused"] == "no rollout is under way"
            await here.wait_until_all_run("1.0")

    run(test())


def test_a_rollout_is_rejected_if_a_member_has_no_supervisor(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as here:
            proxy = here.by_name["p3"]
            await proxy.abandon()

            async def is_registered() -> bool:
                view = await fleet_status.read(here.at.client, PREFIX)
                return view.keys.supervisor("p3") in view.entries

            end = time.monotonic() + PATIENCE
            while await is_registered():
                assert time.monotonic() < end
            code, status = await here.rollout("start", here.plan("1.1"))
            assert code == 1 and status["refused"] == "no supervisor is registered for: p3", status
            assert latest(await here.at.view()) is None

    run(test())
