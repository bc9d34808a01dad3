"""The released version 0.2.0 beside this one: processes of one proxy, and members of one fleet."""

from __future__ import annotations

import contextlib
import json
import shlex
import sys
import tarfile
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest
from support.fleet import all_held, held_by, served, store
from support.loopback import ROOT, Backend, proxy, run
from support.policy_site import Site

from gladegw.rig import process
from gladegw.rig.judging import ledger
from gladegw.rig.measures.capacity import SCENARIO
from gladegw.rig.nodes.settings import config
from gladegw.rig.ports import free_port
from gladegw.rig.supervised import Supervised
from gladegw.rig.traffic.steady import Steady

# The package as it was released, under the name that it had then.
ARCHIVE = ROOT / "tests" / "data" / "released" / "granitepoint-0.2.0.tar.xz"
RELEASED = ("granitepoint",)
CURRENT = ("gladegw",)


@pytest.fixture
def released(tmp_path: Path) -> Path:
    """A folder with the released package."""
    folder = tmp_path / "released"
    with tarfile.open(ARCHIVE) as archive:
        archive.extractall(folder, filter="data")
    return folder


class MixedVersions(Supervised):
    """A supervised proxy whose versions are the released program and this one."""

    released = Path()

    def write_file(self) -> None:
        lines = [f'  version = "{self.version}"', f'  state = "{self.state}"']
        lines += [f"  {key} = {value}" for key, value in self.bounds.items()]
        blocks = ["supervise {", *lines, "}"]
        programs = (("0.2.0", self.released, "granitepoint"), ("0.3.0", ROOT, "gladegw"))
        for version, folder, package in programs:
            command = json.dumps(f"exec {shlex.quote(sys.executable)} -m {package}")
            blocks += [f'program "{version}" {{', f'  dir = "{folder}"', f"  run = {command}", "}"]
        self.folder.mkdir(parents=True, exist_ok=True)
        self.file.write_text("\n".join(blocks) + "\n", encoding="utf-8")


@contextlib.asynccontextmanager
async def supervised(folder: Path, released: Path) -> AsyncIterator[MixedVersions]:
    nodes = await process.start(*process.python("gladegw.rig.nodes.trivial", "3"))
    book = ledger.Ledger(folder / "rig.jsonl")
    assert nodes.stdout is not None
    told = msgspec.json.decode(await nodes.stdout.readline())
    raw = config(SCENARIO, "p0", f"127.0.0.1:{free_port()}", told["discovery"], told["known"], 0, 0, "a")
    one = MixedVersions("p0", raw, folder, book, "", {}, "0.2.0")
    one.released = released
    try:
        await one.start()
        await one.ready()
        await one.until("steady", "0.2.0")
        yield one
    finally:
        await one.kill()
        await process.end(nodes)
        book.close()


def test_the_released_process_and_this_one_replace_each_other_without_a_loss(
    tmp_path: Path, released: Path
) -> None:
    async def test() -> None:
        async with supervised(tmp_path, released) as one, Steady(one.port) as load:
            for version in ("0.3.0", "0.2.0", "0.3.0"):
                one.replace(version)
                await one.until("steady", version)
            await load.more(100)
            assert not load.lost, load.codes

    run(test())


@pytest.mark.parametrize("programs", [(RELEASED, CURRENT), (CURRENT, RELEASED)], ids=["upgrade", "downgrade"])
def test_duties_pass_between_a_released_member_and_this_one(
    programs: tuple[tuple[str, ...], tuple[str, ...]], released: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PYTHONPATH", str(released))

    async def test() -> None:
        async with store() as at:
            block = at.block()
            async with proxy({"s-1": Backend()}, features=block, name="p1", program=programs[0]) as first:
                before = await at.duties(held_by("p1"))
                await at.wait_for_digest(before["digest"][1])
                async with proxy(
                    {"s-1": Backend()}, features=block, name="p2", program=programs[1]
                ) as second:
                    await at.members(lambda found: [m["state"] for m in found] == ["ready", "ready"])
                    assert await served(first, "1")
                    assert await served(second, "2")
                    first.process.terminate()
                    after = await at.duties(held_by("p2"))
                    assert all(after[name][1] > before[name][1] for name in before)
                    await at.wait_for_digest(after["digest"][1])
                    assert all_held(await at.duties(held_by("p2")))

    run(test())


def test_a_policy_commits_on_a_released_member_and_on_this_one(
    tmp_path: Path, released: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PYTHONPATH", str(released))

    async def test() -> None:
        async with store() as at, contextlib.AsyncExitStack() as stack:
            site = Site(at, tmp_path, stack, "serve", 1)
            await site.proxy("p1", program=RELEASED)
            await site.proxy("p2", program=CURRENT)
            for epoch, word in enumerate(("second", "third"), 1):
                code, told = await site.propose(word)
                assert (code, told["outcome"], told["epoch"]) == (0, "everywhere", epoch)
                found = await site.status(lambda now: {m["state"] for m in now["members"]} == {"in force"})
                assert found["epoch"] == epoch

    run(test())
