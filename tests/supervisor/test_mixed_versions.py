"""Compatibility with the released version 0.2.0: as processes of one proxy and as members of one fleet."""

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

# The package as released, when it was called granitepoint.
ARCHIVE = ROOT / "tests" / "data" / "released" / "granitepoint-0.2.0.tar.xz"
RELEASED = ("granitepoint",)
CURRENT = ("gladegw",)


@pytest.fixture
def released(tmp_path: Path) -> Path:
    """A directory with the released package."""
    folder = tmp_path / "released"
    with tarfile.open(ARCHIVE) as archive:
        archive.extractall(folder, filter="data")
    return folder


class MixedVersions(Supervised):
    """A supervised proxy whose two versions are the released program and the current one."""

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
    addresses = msgspec.json.decode(await nodes.stdout.readline())
    raw = config(
        SCENARIO, "p0", f"127.0.0.1:{free_port()}", addresses["discovery"], addresses["known"], 0, 0, "a"
    )
    node = MixedVersions("p0", raw, folder, book, "", {}, "0.2.0")
    node.released = released
    try:
        await node.start()
        await node.ready()
        await node.until("steady", "0.2.0")
        yield node
    finally:
        await node.kill()
        await process.end(nodes)
        book.close()


def test_released_and_current_processes_replace_each_other_without_lost_requests(
    tmp_path: Path, released: Path
) -> None:
    async def test() -> None:
        async with supervised(tmp_path, released) as node, Steady(node.port) as load:
            for version in ("0.3.0", "0.2.0", "0.3.0"):
                node.replace(version)
                await node.until("steady", version)
            await load.more(100)
            assert not load.lost, load.codes

    run(test())


@pytest.mark.parametrize("programs", [(RELEASED, CURRENT), (CURRENT, RELEASED)], ids=["upgrade", "downgrade"])
def test_duties_pass_between_a_released_and_a_current_member(
    programs: tuple[tuple[str, ...], tuple[str, ...]], released: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PYTHONPATH", str(released))

    async def test() -> None:
        async with store() as fleet_store:
            block = fleet_store.block()
            async with proxy({"s-1": Backend()}, features=block, name="p1", program=programs[0]) as first:
                before = await fleet_store.duties(held_by("p1"))
                await fleet_store.wait_for_digest(before["digest"][1])
                async with proxy(
                    {"s-1": Backend()}, features=block, name="p2", program=programs[1]
                ) as second:
                    await fleet_store.members(
                        lambda listed: [m["state"] for m in listed] == ["ready", "ready"]
                    )
                    assert await served(first, "1")
                    assert await served(second, "2")
                    first.process.terminate()
                    after = await fleet_store.duties(held_by("p2"))
                    assert all(after[name][1] > before[name][1] for name in before)
                    await fleet_store.wait_for_digest(after["digest"][1])
                    assert all_held(await fleet_store.duties(held_by("p2")))

    run(test())


def test_a_policy_commits_on_a_released_and_a_current_member(
    tmp_path: Path, released: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PYTHONPATH", str(released))

    async def test() -> None:
        async with store() as fleet_store, contextlib.AsyncExitStack() as stack:
            site = Site(fleet_store, tmp_path, stack, "serve", 1)
            await site.proxy("p1", program=RELEASED)
            await site.proxy("p2", program=CURRENT)
            for epoch, word in enumerate(("second", "third"), 1):
                code, result = await site.propose(word)
                assert (code, result["outcome"], result["epoch"]) == (0, "everywhere", epoch)
                policy = await site.status(
                    lambda current: {m["state"] for m in current["members"]} == {"in force"}
                )
                assert policy["epoch"] == epoch

    run(test())
