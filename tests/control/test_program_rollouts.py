"""Rollouts of the program over proxies under supervisors, with requests flowing and faults between them."""

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
from support.fleet import PREFIX, Conducted, Store, store
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
BACKGROUND_PAUSE_S = 0.04  # between two requests of a caller whose answers only the rollout judges
VERSIONS = {
    "1.0": "none",
    "1.1": "none",
    "2.0": "exits",
    "2.2": "fails 20%",
    "2.3": "crashes",
}
ROUTES = 'pool "all" {\n  names = ["*"]\n}\nroute "all" {\n  prefix = "/"\n  pool = "all"\n}\n'


class Site(Conducted):
    def __init__(self, at: Store, folder: Path, running: list[Supervised], settings: Path) -> None:
        self.at, self.folder, self.settings = at, folder, settings
        self.by_name = {one.name: one for one in running}

    def plan(self, version: str, **more: Any) -> str:
        values = {
            "program": version,
            "stages": ["1", "2", "100%"],
            "bake_s": 3,
            "least_requests": 20,
            "most_s": 60,
            "move_s": 30,
        } | more
        return self.plan_file(version, values)

    async def comes_up(self) -> None:
        """Until a stage has begun somewhere."""
        end = time.monotonic() + 2 * PATIENCE
        while not any(one.now().get("supervision", {}).get("coming") for one in self.by_name.values()):
            assert time.monotonic() < end
            await asyncio.sleep(0.02)

    async def all_run(self, version: str) -> None:
        await self.until(lambda told: [one["version"] for one in told["members"]] == [version] * PROXIES)
        for one in self.by_name.values():
            await one.until("steady", version)

    async def conductor(self) -> str:
        held = await self.at.duties(lambda now: bool(now.get("rollout", (None,))[0]))
        return str(held["rollout"][0])


@contextlib.asynccontextmanager
async def site(folder: Path, ttl: int = 2, confirm: int = 6) -> AsyncIterator[Site]:
    async with store(3) as at, contextlib.AsyncExitStack() as stack:
        nodes = await process.start(*process.python("gladegw.rig.nodes.trivial", "3"))
        stack.push_async_callback(process.end, nodes)
        assert nodes.stdout is not None
        told = msgspec.json.decode(await nodes.stdout.readline())
        routes, settings = folder / "all.routes.hcl", folder / "site.hcl"
        routes.write_text(ROUTES, encoding="utf-8")
        settings.write_text(
            at.block(ttl_s=ttl) + f'routes {{\n  file = "{routes}"\n}}\npolicy {{\n}}\n'
            f"rollout {{\n  confirm_s = {confirm}\n}}\n",
            encoding="utf-8",
        )
        book = ledger.Ledger(folder / "rig.jsonl")
        stack.callback(book.close)
        running = []
        for number in range(PROXIES):
            raw = config(
                SCENARIO,
                f"p{number}",
                f"127.0.0.1:{free_port()}",
                told["discovery"],
                told["known"],
                0,
                number,
                "ab"[number % 2],
            )
            one = Supervised(f"p{number}", raw, folder, book, str(settings), VERSIONS, "1.0")
            running.append(one)
            stack.push_async_callback(one.kill)
        await asyncio.gather(*(one.start() for one in running))
        await asyncio.gather(*(one.until("steady", "1.0") for one in running))
        here = Site(at, folder, running, settings)
        await at.members(lambda found: [one["state"] for one in found] == ["ready"] * PROXIES)
        for one in running:
            await stack.enter_async_context(Steady(one.port, BACKGROUND_PAUSE_S))
        yield here


def test_a_good_version_goes_through_all_stages(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as here, Steady(next(iter(here.by_name.values())).port) as load:
            started = asyncio.create_task(here.rollout("start", here.plan("1.1"), "--wait"))
            seen = set()
            while not started.done():
                _, told = await here.rollout("status")
                new = sum(one["version"] == "1.1" for one in told["members"])
                seen.add((told["stage"], new))
                if told["state"] != "none":
                    assert {one["version"] for one in told["members"]} <= {"1.0", "1.1"}
            code, told = started.result()
            assert (code, told["state"], told["stage"]) == (0, "done", 3), told
            assert max(new for stage, new in seen if stage == 1) == 1, seen
            assert max(new for stage, new in seen if stage == 2) == 2, seen
            await here.all_run("1.1")
            assert not load.lost and 200 in load.codes
            code, told = await here.rollout("start", here.plan("1.1"))
            assert code == 1 and "already running" in told["refused"]

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
            code, told = await here.rollout("start", plan, "--wait")
            assert (code, told["state"], told["stage"]) == (1, "back", 1), told
            assert why in told["verdict"], told
            await here.all_run("1.0")
            assert (await here.rollout("start", here.plan("1.1")))[0] == 0  # what is left allows another
            assert (await here.rollout("back"))[1]["state"] in ("back", "going back")
            await here.all_run("1.0")

    run(test())


@pytest.mark.parametrize("how", ["kill", "stop", "supervisor"])
def test_a_conductor_that_is_lost_is_followed(how: str, tmp_path: Path) -> None:
    """At the moment at which the first stage comes up; the supervisor starts what was killed anew."""

    async def test() -> None:
        async with site(tmp_path) as here:
            assert (await here.rollout("start", here.plan("1.1")))[0] == 0
            await here.comes_up()
            victim = here.by_name[await here.conductor()]
            pid = victim.pids()["current"]
            if how == "supervisor":
                await victim.abandon()
                await victim.start()
            else:
                os.kill(pid, signal.SIGKILL if how == "kill" else signal.SIGSTOP)
            over = await here.until(lambda told: told["state"] in ("done", "back", "stopped"))
            assert over["state"] == "done", over
            await here.all_run("1.1")

    run(test())


def test_names_of_a_stage_go_back_by_themselves_when_the_store_is_gone(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as here:
            assert (await here.rollout("start", here.plan("1.1", bake_s=60)))[0] == 0
            found = await here.until(lambda told: told["phase"] == "baking")
            for member in (0, 1):
                await here.at.order("down", member=member)
            for name in found["named"]:
                await here.by_name[name].until("steady", "1.0")
            for member in (0, 1):
                await here.at.order("up", member=member)
            over = await here.until(lambda told: told["state"] in ("done", "back", "stopped"))
            assert over["state"] == "back" and "by itself" in over["verdict"], over
            await here.all_run("1.0")

    run(test())


def test_an_operator_stops_while_a_stage_comes_up(tmp_path: Path) -> None:
    """Nothing moves any more, and what has moved goes back by itself; a way back of that changes nothing."""

    async def test() -> None:
        async with site(tmp_path) as here:
            assert (await here.rollout("start", here.plan("1.1")))[0] == 0
            await here.comes_up()
            code, told = await here.rollout("stop")
            assert (code, told["state"]) == (0, "stopped"), told
            await here.all_run("1.0")
            code, told = await here.rollout("back")
            assert (code, told["state"]) == (0, "back"), told
            code, told = await here.rollout("back")
            assert code == 1 and told["refused"] == "no rollout is under way"
            await here.all_run("1.0")

    run(test())


def test_a_name_without_a_supervisor_is_a_refusal(tmp_path: Path) -> None:
    async def test() -> None:
        async with site(tmp_path) as here:
            one = here.by_name["p3"]
            await one.abandon()

            async def heard() -> bool:
                view = await fleet_status.read(here.at.client, PREFIX)
                return view.keys.supervisor("p3") in view.entries

            end = time.monotonic() + PATIENCE
            while await heard():
                assert time.monotonic() < end
            code, told = await here.rollout("start", here.plan("1.1"))
            assert code == 1 and told["refused"] == "no supervisor is registered for: p3", told
            assert latest(await here.at.view()) is None

    run(test())
