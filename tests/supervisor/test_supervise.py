"""Supervisor and program as processes: replacements under load, faulty versions, exits of either."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec
import pytest
from support.loopback import ROOT, run

from gladegw.rig import process
from gladegw.rig.judging import ledger
from gladegw.rig.measures.capacity import SCENARIO
from gladegw.rig.nodes.settings import config
from gladegw.rig.ports import free_port
from gladegw.rig.supervised import Supervised
from gladegw.rig.traffic.steady import Steady
from gladegw.supervisor.processes import start_ticks

VERSIONS = {
    "1.0": "none",
    "1.1": "none",
    "2.0": "exits",
    "2.1": "never",
    "2.2": "errors",
    "2.3": "hangs",
    "2.4": "leaks",
}


PROVE_S = {"2.4": 40.0}  # until its memory is full, also on a machine that is busy


@contextlib.asynccontextmanager
async def supervised(folder: Path, **bounds: float) -> AsyncIterator[Supervised]:
    nodes = await process.start(*process.python("gladegw.rig.nodes.trivial", "3"))
    book = ledger.Ledger(folder / "rig.jsonl")
    assert nodes.stdout is not None
    addresses = msgspec.json.decode(await nodes.stdout.readline())
    raw = config(
        SCENARIO, "p0", f"127.0.0.1:{free_port()}", addresses["discovery"], addresses["known"], 0, 0, "a"
    )
    raw["limits"]["memory_mb"] = 64
    one = Supervised("p0", raw, folder, book, "", VERSIONS, "1.0", **bounds)
    try:
        await one.start()
        await one.ready()
        await one.until("steady", "1.0")
        yield one
    finally:
        await one.kill()
        await process.end(nodes)
        book.close()


def gone(pid: int) -> bool:
    return not start_ticks(pid)  # nobody may have asked yet how it ended


def test_versions_follow_each_other_under_load_and_nothing_is_lost(tmp_path: Path) -> None:
    async def test() -> None:
        async with supervised(tmp_path) as one, Steady(one.port) as load:
            for version in ("1.1", "1.0", "1.1"):
                before = one.pids()["current"]
                one.replace(version)
                await one.until("steady", version)
                assert gone(before) and set(one.pids()) == {"current"}
            await load.more(100)
            assert not load.lost, load.codes

    run(test())


@pytest.mark.parametrize(
    ("version", "why"),
    [
        ("2.0", "exit code 1"),
        ("2.1", "not ready in 3 s"),
        ("2.2", "requests failed"),
        ("2.3", ""),
        ("2.4", "MiB of memory are in use"),
    ],
)
def test_a_bad_version_is_given_up(version: str, why: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with supervised(tmp_path, ready_s=3.0, prove_s=PROVE_S.get(version, 5.0)) as one:
            before = one.pids()["current"]
            async with Steady(one.port) as load:
                one.replace(version)
                end = time.monotonic() + 60
                while not (state := one.now().get("supervision", {})).get("refused"):
                    assert time.monotonic() < end, state
                    await asyncio.sleep(0.02)
                state = await one.until("steady", "1.0")
                assert state["refused"] == [version] and why in state["reason"], state
                assert one.pids() == {"current": before}
                await load.settled()
                lost = load.lost
                await load.more(100)
                assert load.lost == lost

    run(test())


def test_a_version_that_fails_is_given_up_however_little_it_was_asked_in_its_time(tmp_path: Path) -> None:
    """The time of its proof is over before enough requests have ended."""

    async def test() -> None:
        async with supervised(tmp_path, ready_s=10.0, prove_s=4.0) as one, Steady(one.port, 0.3) as load:
            await load.more(50)
            one.replace("2.2")
            end = time.monotonic() + 60
            while not (state := one.now().get("supervision", {})).get("refused"):
                assert time.monotonic() < end, state
                await asyncio.sleep(0.02)
            assert "requests failed" in (await one.until("steady", "1.0"))["reason"]

    run(test())


def test_a_file_that_cannot_be_used_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with supervised(tmp_path) as one:
            one.file.write_text('supervise {\n  version = "9"\n}\n', encoding="utf-8")
            one.signal("hup")
            async with Steady(one.port) as load:
                await load.more(300)
                assert not load.lost
            assert "there is no program 9" in (one.folder / "log").read_text()
            assert (await one.until("steady", "1.0"))["wanted"] == "1.0"

    run(test())


def test_a_dead_process_is_followed_and_a_dead_supervisor_leaves_its_proxy(tmp_path: Path) -> None:
    async def test() -> None:
        async with supervised(tmp_path) as one:
            first = one.pids()["current"]
            os.kill(first, signal.SIGKILL)
            end = time.monotonic() + 20
            while one.pids().get("current") in (None, first):
                assert time.monotonic() < end
                await asyncio.sleep(0.02)
            await one.until("steady", "1.0")
            second = one.pids()["current"]
            result = subprocess.run(  # one supervisor for a state file
                (sys.executable, "-m", "gladegw", "supervise", str(one.file)),
                cwd=ROOT,
                timeout=30,
                env={**os.environ, "EDGE_CONFIG": str(one.folder / "config.json")},
                capture_output=True,
                text=True,
                check=False,
            )
            assert result.returncode == 2 and "in use by another supervisor" in result.stderr
            async with Steady(one.port) as load:
                await one.abandon()
                await load.more(60)
                await one.start()
                await one.until("steady", "1.0")
                assert one.pids() == {"current": second}
                one.replace("1.1")
                await one.until("bringing up", "1.0")
                await one.abandon()  # with two of them there
                await one.start()
                await one.until("steady", "1.1")
                assert gone(second)
                assert not load.lost, load.codes
            last = one.pids()["current"]
            await one.end(10.0)  # on SIGTERM it ends its processes
            assert gone(last) and not one.state.exists()

    run(test())


def test_one_that_hangs_is_killed_and_followed(tmp_path: Path) -> None:
    async def test() -> None:
        async with supervised(tmp_path, hang_s=2.0) as one:
            first = one.pids()["current"]
            os.kill(first, signal.SIGSTOP)
            end = time.monotonic() + 20
            while one.pids().get("current") in (None, first):
                assert time.monotonic() < end
                await asyncio.sleep(0.02)
            await one.until("steady", "1.0")
            assert gone(first)

    run(test())


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("supervise {\n}\n", ":1: supervise needs version"),
        ("x {\n}\n", ":1: unexpected block x; expected one supervise block"),
        ('supervise {\n  version = "1"\n}\n', ":2: there is no program 1"),
        ("supervise {", "not HCL"),
        ('supervise {\n  version = "1"\n  ready = 3\n}\n', ":3: unknown setting ready"),
        ("supervise {\n  version = 3\n}\n", ":2: version must be a string"),
        (
            'supervise {\n  version = "1"\n}\nprogram "1" {\n  dir = "nowhere"\n  run = "exec x"\n}\n',
            ":5: dir",
        ),
        (
            'supervise {\n  version = "1"\n}\nprogram "1" {\n  dir = "."\n  run = "x"\n}\n',
            ":6: run must end with exec",
        ),
        (
            'supervise {\n  version = "1"\n  drain_s = 0\n}\n'
            'program "1" {\n  dir = "."\n  run = "exec x"\n}\n',
            ":3: drain_s must be",
        ),
    ],
)
def test_a_bad_file_is_one_line(text: str, why: str, tmp_path: Path) -> None:
    file = tmp_path / "supervise.hcl"
    file.write_text(text, encoding="utf-8")
    result = subprocess.run(
        (sys.executable, "-m", "gladegw", "supervise", str(file), "--check"),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 2 and why in result.stderr and result.stderr.count("\n") == 1, result.stderr
