"""Rollouts of bundles over several proxy processes, under load and with faults."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from support.fleet import RolloutCommands, store
from support.loopback import PATIENCE, ROOT, Proxy, run
from support.policy_site import Site

from gladegw.control.rollouts import latest

PROXIES = 6
CONFIRM_S = 4  # time without heartbeats after which members of a stage revert


def routes(word: str, harm: str = "") -> str:
    """Return routes that add a header with this word to each request; `harm` is a route before them."""
    pool = 'pool "all" {\n  names = ["*"]\n}\n'
    end = f'  pool = "all"\n  edit_headers {{\n    put = {{ "x-word" = "{word}" }}\n  }}\n}}\n'
    return f'{pool}{harm}route "all" {{\n  prefix = "/"\n{end}'


FAILING_ROUTE = (
    'route "bad" {\n  prefix = "/"\n  header "x-try" {\n    regex = ".*[05]"\n  }\n'
    "  answer {\n    code = 502\n  }\n}\n"
)


class RolloutSite(RolloutCommands, Site):
    loads: list[asyncio.Task[None]]

    def block(self, deadline: int, endpoints: list[str] | None = None) -> str:
        return super().block(deadline, endpoints) + f"rollout {{\n  confirm_s = {CONFIRM_S}\n}}\n"

    async def start(self) -> dict[str, Proxy]:
        self.file.write_text(routes("first"), encoding="utf-8")
        self.settings.write_text(self.block(10), encoding="utf-8")
        self.nodes = dict(
            zip(
                [f"p{n}" for n in range(PROXIES)],
                await asyncio.gather(*(self.proxy(f"p{n}") for n in range(PROXIES))),
                strict=True,
            )
        )
        code, status = await self.propose("old", routes("old"))
        assert code == 0, status
        self.old = status["digest"]
        self.loads = [asyncio.create_task(load(node)) for node in self.nodes.values()]
        return self.nodes

    async def restart(self, name: str) -> Proxy:
        """Start the proxy of that name again, with its load: without requests there is no verdict."""
        node = self.nodes[name] = await self.proxy(name)
        self.loads.append(asyncio.create_task(load(node)))
        return node

    def plan(self, word: str, text: str, **settings: Any) -> str:
        self.bundle(word, text)
        values = {
            "bundle": f"{word}.routes.hcl",
            "stages": ["1", "2", "100%"],
            "bake_s": 6,
            "least_requests": 20,
            "most_s": 60,
        } | settings
        return self.plan_file(word, values)

    async def wait_for_versions(self, wanted: Any) -> dict[str, str]:
        found = await self.until(lambda status: wanted({m["name"]: m["version"] for m in status["members"]}))
        return {member["name"]: member["version"] for member in found["members"]}

    def all_old(self, versions: dict[str, str]) -> bool:
        return set(versions.values()) == {self.old}


async def load(node: Proxy, pause_s: float = 0.04) -> None:
    """Send requests one after another without checking the answers: the rollout judges them."""
    number = 0
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            caller = await node.caller()
            try:
                while True:
                    number += 1
                    await caller.call("stock", f"{id(node)}-{number}", X_Try=f"{number}")
                    await asyncio.sleep(pause_s)
            finally:
                caller.writer.close()
        await asyncio.sleep(pause_s)


@contextlib.asynccontextmanager
async def rollout_site(folder: Path, ttl: int = 2) -> AsyncIterator[RolloutSite]:
    async with store(3) as at, contextlib.AsyncExitStack() as stack:
        here = RolloutSite(at, folder, stack, "serve", ttl)
        await here.start()
        try:
            yield here
        finally:
            for task in here.loads:
                task.cancel()
            await asyncio.gather(*here.loads, return_exceptions=True)


def test_an_equally_good_bundle_goes_through_all_stages(tmp_path: Path) -> None:
    async def test() -> None:
        async with rollout_site(tmp_path) as here:
            started = asyncio.create_task(here.rollout("start", here.plan("new", routes("new")), "--wait"))
            seen = set()
            while not started.done():
                _, status = await here.rollout("status")
                new = sum(member["version"] not in ("", here.old) for member in status["members"])
                seen.add((status["stage"], new))
            code, status = started.result()
            assert code == 0 and (status["state"], status["stage"], status["stages"]) == (
                "done",
                3,
                3,
            ), status
            found = await here.wait_for_versions(lambda now: here.old not in now.values())
            assert len(set(found.values())) == 1 and len(found) == PROXIES
            assert {new for stage, new in seen if stage == 1} <= {0, 1} and (2, 2) in seen, seen
            code, status = await here.rollout("history")
            assert [rollout["state"] for rollout in status["history"]] == ["done"]
            page = tmp_path / "page.html"
            command = "rollout", "page", "-f", str(here.settings), "-o", str(page)
            done = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "gladegw", *command],
                cwd=ROOT,
                capture_output=True,
                text=True,
            )
            assert done.returncode == 0 and done.stdout.startswith(f"{page}: rollout "), done.stderr
            text = page.read_text(encoding="utf-8")
            assert "<svg" in text and "<script" not in text
            assert text.count("<td>not worse</td>") == 2, text.partition("<svg")[0]

    run(test())


def test_a_failing_bundle_is_rolled_back_in_its_first_stage(tmp_path: Path) -> None:
    async def test() -> None:
        async with rollout_site(tmp_path) as here:
            plan = here.plan("bad", routes("bad", FAILING_ROUTE), bake_s=60, most_s=60)
            began = time.monotonic()
            code, status = await here.rollout("start", plan, "--wait")
            assert code == 1 and (status["state"], status["stage"]) == ("back", 1), status
            assert status["verdict"].startswith("failed stock"), status
            assert time.monotonic() - began < 50
            await here.wait_for_versions(here.all_old)
            code, status = await here.rollout("back")
            assert code == 1 and status["refused"] == "no rollout is under way"

    run(test())


@pytest.mark.parametrize("how", ["kill", "stop"])
def test_a_lost_controller_is_replaced(how: str, tmp_path: Path) -> None:
    """The successor continues the stage, and its members keep the new bundle in the meantime."""

    async def test() -> None:
        async with rollout_site(tmp_path) as here:
            plan = here.plan("new", routes("new"), stages=["2", "100%"], bake_s=60, most_s=60)
            code, _ = await here.rollout("start", plan)
            assert code == 0
            found = await here.until(lambda status: status["phase"] == "baking")
            staged = set(found["named"])
            held = await here.at.duties(lambda now: bool(now.get("rollout", (None,))[0]))
            holder = held["rollout"][0]
            process = here.nodes[holder].process
            process.send_signal({"kill": signal.SIGKILL, "stop": signal.SIGSTOP}[how])
            await here.at.duties(lambda now: now.get("rollout", (None,))[0] not in (None, holder))
            await asyncio.sleep(CONFIRM_S + 1)  # longer than members wait for a heartbeat
            _, found = await here.rollout("status")
            new = {member["name"] for member in found["members"] if member["version"] == found["new"]}
            assert found["phase"] == "baking" and new >= staged - {holder}, found
            if how == "stop":
                process.send_signal(signal.SIGCONT)
            code, status = await here.rollout("back")
            assert code == 0
            await here.until(lambda status: status["state"] == "back")
            await here.wait_for_versions(here.all_old)

    run(test())


@pytest.mark.parametrize("step", ["moving", "finishing"])
def test_a_controller_that_dies_while_a_change_is_open_leaves_one_bundle(step: str, tmp_path: Path) -> None:
    """The rollout is rolled back, or done if the change was committed before; members never end up mixed.

    The controller is a participant too, and a participant that is lost while a change is open counts as a
    vote against it.
    """

    async def test() -> None:
        async with rollout_site(tmp_path) as here:
            plan = here.plan("new", routes("new"), stages=["1", "100%"])
            assert (await here.rollout("start", plan))[0] == 0
            end = time.monotonic() + 3 * PATIENCE
            while True:  # the step may end between two reads: then the controller is killed right after it
                record = latest(await here.at.view())
                assert record is not None and time.monotonic() < end
                if record.phase in (step, "done"):
                    break
            held = await here.at.duties(lambda now: bool(now.get("rollout", (None,))[0]))
            holder = held["rollout"][0]
            here.nodes[holder].process.kill()
            await here.nodes[holder].code()
            await here.restart(holder)
            ended = await here.until(lambda status: status["state"] in ("done", "back", "stopped"))
            assert ended["state"] in ("done", "back"), ended
            wanted = ended["new"] if ended["state"] == "done" else here.old
            await here.wait_for_versions(lambda now: len(now) == PROXIES and set(now.values()) == {wanted})

    run(test())


def test_members_of_a_stage_revert_by_themselves_when_the_store_is_lost(tmp_path: Path) -> None:
    async def test() -> None:
        async with rollout_site(tmp_path) as here:
            plan = here.plan("new", routes("new"), stages=["2", "100%"], bake_s=60, most_s=60)
            assert (await here.rollout("start", plan))[0] == 0
            found = await here.until(lambda status: status["phase"] == "baking")
            await here.wait_for_versions(
                lambda now: sum(version == found["new"] for version in now.values()) == 2
            )
            # a member that starts within the stage must prepare the old bundle, too
            restarted = found["named"][0]
            here.nodes[restarted].process.kill()
            await here.nodes[restarted].code()
            await here.restart(restarted)
            end = time.monotonic() + PATIENCE
            while f"policy.way_back={here.old}" not in await here.nodes[restarted].operator("INFO"):
                assert time.monotonic() < end
                await asyncio.sleep(0.05)
            for member in (0, 1):
                await here.at.order("down", member=member)
            codes = {}
            for name in found["named"]:
                node = here.nodes[name]
                end = time.monotonic() + CONFIRM_S + PATIENCE
                while (info := await node.operator("INFO")) and f"policy.digest={here.old}" not in info:
                    assert time.monotonic() < end, info
                    await asyncio.sleep(0.05)
                caller = await node.caller()
                codes[name] = (await caller.call("stock", f"{name:>016}")).code
                caller.writer.close()
            assert set(codes.values()) == {200}
            for member in (0, 1):
                await here.at.order("up", member=member)
            ended = await here.until(lambda status: status["state"] in ("back", "stopped"))
            assert ended["state"] == "back" and "by themselves" in ended["verdict"], ended
            await here.wait_for_versions(here.all_old)

    run(test())


def test_a_stop_cancels_the_open_change_of_a_stage(tmp_path: Path) -> None:
    """A stopped process that does not vote makes sure that the change is still open."""

    async def test() -> None:
        async with rollout_site(tmp_path, ttl=30) as here:
            holder = (await here.at.duties(lambda now: bool(now.get("rollout", ("",))[0])))["rollout"][0]
            silent = next(node for name, node in here.nodes.items() if name != holder)
            plan = here.plan("new", routes("new"), stages=["2", "100%"])
            silent.process.send_signal(signal.SIGSTOP)
            assert (await here.rollout("start", plan))[0] == 0
            await here.status(lambda found: found["change"] is not None)
            code, status = await here.rollout("stop")
            assert (code, status["state"]) == (0, "stopped")
            assert (await here.tool("status"))[1]["change"] is None
            silent.process.send_signal(signal.SIGCONT)
            await here.wait_for_versions(here.all_old)
            assert (await here.tool("status"))[1]["epoch"] == 1

    run(test())


def test_restarted_members_get_the_bundle_of_their_stage_and_operators_control_the_rollout(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with rollout_site(tmp_path) as here:
            plan = here.plan("new", routes("new"), stages=["2", "100%"], bake_s=60, most_s=60)
            assert (await here.rollout("start", plan))[0] == 0
            code, status = await here.rollout("start", plan)
            assert code == 1 and "under way" in status["refused"]
            found = await here.until(lambda status: status["phase"] == "baking")
            assert (await here.rollout("pause"))[1]["state"] == "paused"
            code, status = await here.propose("other", routes("other"))
            assert code == 1 and "is under way" in status["reason"]
            inside, outside = found["named"][0], next(n for n in here.nodes if n not in found["named"])
            for name in (inside, outside):
                here.nodes[name].process.kill()
                await here.nodes[name].code()
            for name in (inside, outside):
                await here.restart(name)
            now = await here.wait_for_versions(lambda now: len(now) == PROXIES and all(now.values()))
            assert now[inside] == found["new"] and now[outside] == here.old, now
            assert (await here.rollout("resume"))[1]["state"] == "running"
            code, status = await here.rollout("stop")
            assert code == 0 and status["state"] == "stopped"
            await here.wait_for_versions(here.all_old)  # they revert without heartbeats
            code, status = await here.rollout("back")
            assert code == 0 and status["state"] == "back"
            code, status = await here.propose("other", routes("other"))
            assert code == 0, status

    run(test())


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("rollout {\n}\n", ":1: bundle must"),
        ('rollout {\n  bundle = "x"\n  bake = 3\n}\n', ":3: unknown"),
        ('rollout {\n  bundle = "x"\n  stages = ["1"]\n}\n', ":3: stages: "),
        ("x {\n}\n", ":1: a plan must be one"),
        ('rollout {\n  bundle = "x"\n  bake_s = 0\n}\n', ":3: bake_s must be"),
        ("rollout {", "not HCL"),
        ('rollout {\n  bundle = "x"\n  on_worse = "go"\n}\n', ":3: on_worse must be"),
        ('rollout {\n  bundle = "nothing.hcl"\n}\n', "nothing.hcl: No such file"),
    ],
)
def test_a_bad_plan_is_one_line(text: str, why: str, tmp_path: Path) -> None:
    plan = tmp_path / "plan.hcl"
    plan.write_text(text, encoding="utf-8")
    result = subprocess.run(
        (sys.executable, "-m", "gladegw", "rollout", "check", str(plan)),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 2 and why in result.stderr and result.stderr.count("\n") == 1, result.stderr
