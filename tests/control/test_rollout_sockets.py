"""Rollouts over several processes of the program, with requests flowing and faults between them."""

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
from support.fleet import Conducted, store
from support.loopback import PATIENCE, ROOT, Proxy, run
from support.policy_site import Site

from gladegw.control.rollouts import latest

PROXIES = 6
CONFIRM = 4  # s


def routes(word: str, harm: str = "") -> str:
    """Goes to the backend with a word that the backend sees; `harm` is one more route, before it."""
    pool = 'pool "all" {\n  names = ["*"]\n}\n'
    end = f'  pool = "all"\n  edit_headers {{\n    put = {{ "x-word" = "{word}" }}\n  }}\n}}\n'
    return f'{pool}{harm}route "all" {{\n  prefix = "/"\n{end}'


FAILS = (
    'route "bad" {\n  prefix = "/"\n  header "x-try" {\n    regex = ".*[05]"\n  }\n'
    "  answer {\n    code = 502\n  }\n}\n"
)


class Rolled(Conducted, Site):
    loads: list[asyncio.Task[None]]

    def block(self, deadline: int, endpoints: list[str] | None = None) -> str:
        return super().block(deadline, endpoints) + f"rollout {{\n  confirm_s = {CONFIRM}\n}}\n"

    async def begin(self) -> dict[str, Proxy]:
        self.file.write_text(routes("first"), encoding="utf-8")
        self.settings.write_text(self.block(10), encoding="utf-8")
        self.nodes = dict(
            zip(
                [f"p{n}" for n in range(PROXIES)],
                await asyncio.gather(*(self.proxy(f"p{n}") for n in range(PROXIES))),
                strict=True,
            )
        )
        code, told = await self.propose("old", routes("old"))
        assert code == 0, told
        self.old = told["digest"]
        self.loads = [asyncio.create_task(load(node)) for node in self.nodes.values()]
        return self.nodes

    async def again(self, name: str) -> Proxy:
        """Starts the one of that name anew, with its share of the requests: with none there is no verdict."""
        node = self.nodes[name] = await self.proxy(name)
        self.loads.append(asyncio.create_task(load(node)))
        return node

    def plan(self, word: str, text: str, **more: Any) -> str:
        self.bundle(word, text)
        values = {
            "bundle": f"{word}.routes.hcl",
            "stages": ["1", "2", "100%"],
            "bake_s": 6,
            "least_requests": 20,
            "most_s": 60,
        } | more
        return self.plan_file(word, values)

    async def versions(self, wanted: Any) -> dict[str, str]:
        found = await self.until(lambda told: wanted({m["name"]: m["version"] for m in told["members"]}))
        return {member["name"]: member["version"] for member in found["members"]}

    def all_old(self, found: dict[str, str]) -> bool:
        return set(found.values()) == {self.old}


async def load(node: Proxy, each: float = 0.04) -> None:
    """Requests one after another; whatever is answered is the rollout's to judge."""
    number = 0
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            caller = await node.caller()
            try:
                while True:
                    number += 1
                    await caller.call("stock", f"{id(node)}-{number}", X_Try=f"{number}")
                    await asyncio.sleep(each)
            finally:
                caller.writer.close()
        await asyncio.sleep(each)


@contextlib.asynccontextmanager
async def rolled(folder: Path, ttl: int = 2) -> AsyncIterator[Rolled]:
    async with store(3) as at, contextlib.AsyncExitStack() as stack:
        here = Rolled(at, folder, stack, "serve", ttl)
        await here.begin()
        try:
            yield here
        finally:
            for one in here.loads:
                one.cancel()
            await asyncio.gather(*here.loads, return_exceptions=True)


def test_what_is_not_worse_goes_through_all_stages(tmp_path: Path) -> None:
    async def test() -> None:
        async with rolled(tmp_path) as here:
            started = asyncio.create_task(here.rollout("start", here.plan("new", routes("new")), "--wait"))
            seen = set()
            while not started.done():
                _, told = await here.rollout("status")
                new = sum(member["version"] not in ("", here.old) for member in told["members"])
                seen.add((told["stage"], new))
            code, told = started.result()
            assert code == 0 and (told["state"], told["stage"], told["stages"]) == ("done", 3, 3), told
            found = await here.versions(lambda now: here.old not in now.values())
            assert len(set(found.values())) == 1 and len(found) == PROXIES
            assert {new for stage, new in seen if stage == 1} <= {0, 1} and (2, 2) in seen, seen
            code, told = await here.rollout("history")
            assert [one["state"] for one in told["history"]] == ["done"]
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


def test_what_fails_is_taken_back_in_its_first_stage(tmp_path: Path) -> None:
    async def test() -> None:
        async with rolled(tmp_path) as here:
            plan = here.plan("bad", routes("bad", FAILS), bake_s=60, most_s=60)
            began = time.monotonic()
            code, told = await here.rollout("start", plan, "--wait")
            assert code == 1 and (told["state"], told["stage"]) == ("back", 1), told
            assert told["verdict"].startswith("failed stock"), told
            assert time.monotonic() - began < 50
            await here.versions(here.all_old)
            code, told = await here.rollout("back")
            assert code == 1 and told["refused"] == "no rollout is under way"

    run(test())


@pytest.mark.parametrize("how", ["kill", "stop"])
def test_a_conductor_that_is_lost_is_followed_by_another(how: str, tmp_path: Path) -> None:
    """Its successor goes on in the stage, and those in the stage keep the new bundle meanwhile."""

    async def test() -> None:
        async with rolled(tmp_path) as here:
            plan = here.plan("new", routes("new"), stages=["2", "100%"], bake_s=60, most_s=60)
            code, _ = await here.rollout("start", plan)
            assert code == 0
            found = await here.until(lambda told: told["phase"] == "baking")
            named = set(found["named"])
            held = await here.at.duties(lambda now: bool(now.get("rollout", (None,))[0]))
            holder = held["rollout"][0]
            process = here.nodes[holder].process
            process.send_signal({"kill": signal.SIGKILL, "stop": signal.SIGSTOP}[how])
            await here.at.duties(lambda now: now.get("rollout", (None,))[0] not in (None, holder))
            await asyncio.sleep(CONFIRM + 1)  # more than they wait for a sign
            _, found = await here.rollout("status")
            new = {one["name"] for one in found["members"] if one["version"] == found["new"]}
            assert found["phase"] == "baking" and new >= named - {holder}, found
            if how == "stop":
                process.send_signal(signal.SIGCONT)
            code, told = await here.rollout("back")
            assert code == 0
            await here.until(lambda told: told["state"] == "back")
            await here.versions(here.all_old)

    run(test())


@pytest.mark.parametrize("step", ["moving", "finishing"])
def test_a_conductor_that_dies_while_a_change_is_open_leaves_one_bundle(step: str, tmp_path: Path) -> None:
    """It is a member too, and whoever is lost while a change is open is a no: so the way back, or, where it
    was decided before, on to the end. A third thing does not come about, whoever conducts."""

    async def test() -> None:
        async with rolled(tmp_path) as here:
            plan = here.plan("new", routes("new"), stages=["1", "100%"])
            assert (await here.rollout("start", plan))[0] == 0
            end = time.monotonic() + 3 * PATIENCE
            while True:  # the step may be over between two looks: then it dies right after it
                record = latest(await here.at.view())
                assert record is not None and time.monotonic() < end
                if record.phase in (step, "done"):
                    break
            held = await here.at.duties(lambda now: bool(now.get("rollout", (None,))[0]))
            holder = held["rollout"][0]
            here.nodes[holder].process.kill()
            await here.nodes[holder].code()
            await here.again(holder)
            over = await here.until(lambda told: told["state"] in ("done", "back", "stopped"))
            assert over["state"] in ("done", "back"), over
            wanted = over["new"] if over["state"] == "done" else here.old
            await here.versions(lambda now: len(now) == PROXIES and set(now.values()) == {wanted})

    run(test())


def test_members_of_a_stage_go_back_by_themselves_when_the_store_is_gone(tmp_path: Path) -> None:
    async def test() -> None:
        async with rolled(tmp_path) as here:
            plan = here.plan("new", routes("new"), stages=["2", "100%"], bake_s=60, most_s=60)
            assert (await here.rollout("start", plan))[0] == 0
            found = await here.until(lambda told: told["phase"] == "baking")
            await here.versions(lambda now: sum(version == found["new"] for version in now.values()) == 2)
            began = found["named"][0]  # one that begins within the stage has to hold the way back, too
            here.nodes[began].process.kill()
            await here.nodes[began].code()
            await here.again(began)
            end = time.monotonic() + PATIENCE
            while f"policy.way_back={here.old}" not in await here.nodes[began].operator("INFO"):
                assert time.monotonic() < end
                await asyncio.sleep(0.05)
            for member in (0, 1):
                await here.at.order("down", member=member)
            seen = {}
            for name in found["named"]:
                node = here.nodes[name]
                end = time.monotonic() + CONFIRM + PATIENCE
                while (told := await node.operator("INFO")) and f"policy.digest={here.old}" not in told:
                    assert time.monotonic() < end, told
                    await asyncio.sleep(0.05)
                caller = await node.caller()
                seen[name] = (await caller.call("stock", f"{name:>016}")).code
                caller.writer.close()
            assert set(seen.values()) == {200}
            for member in (0, 1):
                await here.at.order("up", member=member)
            over = await here.until(lambda told: told["state"] in ("back", "stopped"))
            assert over["state"] == "back" and "by themselves" in over["verdict"], over
            await here.versions(here.all_old)

    run(test())


def test_a_stop_ends_the_stage_that_is_open(tmp_path: Path) -> None:
    """One that does not vote keeps it open, so that it is for certain."""

    async def test() -> None:
        async with rolled(tmp_path, ttl=30) as here:
            holder = (await here.at.duties(lambda now: bool(now.get("rollout", ("",))[0])))["rollout"][0]
            still = next(node for name, node in here.nodes.items() if name != holder)
            plan = here.plan("new", routes("new"), stages=["2", "100%"])
            still.process.send_signal(signal.SIGSTOP)
            assert (await here.rollout("start", plan))[0] == 0
            await here.status(lambda found: found["change"] is not None)
            code, told = await here.rollout("stop")
            assert (code, told["state"]) == (0, "stopped")
            assert (await here.tool("status"))[1]["change"] is None
            still.process.send_signal(signal.SIGCONT)
            await here.versions(here.all_old)
            assert (await here.tool("status"))[1]["epoch"] == 1

    run(test())


def test_one_that_comes_back_gets_what_its_place_says_and_an_operator_is_heard(tmp_path: Path) -> None:
    async def test() -> None:
        async with rolled(tmp_path) as here:
            plan = here.plan("new", routes("new"), stages=["2", "100%"], bake_s=60, most_s=60)
            assert (await here.rollout("start", plan))[0] == 0
            code, told = await here.rollout("start", plan)
            assert code == 1 and "under way" in told["refused"]
            found = await here.until(lambda told: told["phase"] == "baking")
            assert (await here.rollout("pause"))[1]["state"] == "paused"
            code, told = await here.propose("other", routes("other"))
            assert code == 1 and "is under way" in told["reason"]
            inside, outside = found["named"][0], next(n for n in here.nodes if n not in found["named"])
            for name in (inside, outside):
                here.nodes[name].process.kill()
                await here.nodes[name].code()
            for name in (inside, outside):
                await here.again(name)
            now = await here.versions(lambda now: len(now) == PROXIES and all(now.values()))
            assert now[inside] == found["new"] and now[outside] == here.old, now
            assert (await here.rollout("resume"))[1]["state"] == "running"
            code, told = await here.rollout("stop")
            assert code == 0 and told["state"] == "stopped"
            await here.versions(here.all_old)  # by themselves: nobody conducts it
            code, told = await here.rollout("back")
            assert code == 0 and told["state"] == "back"
            code, told = await here.propose("other", routes("other"))
            assert code == 0, told

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
    told = subprocess.run(
        (sys.executable, "-m", "gladegw", "rollout", "check", str(plan)),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert told.returncode == 2 and why in told.stderr and told.stderr.count("\n") == 1, told.stderr
