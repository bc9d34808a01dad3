"""The supervisor with real proxy processes: replacements under load, faulty versions, crashes of either."""

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


PROVE_S = {"2.4": 40.0}  # seconds; long enough for its memory to fill up, even on a busy machine


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
    node = Supervised("p0", raw, folder, book, "", VERSIONS, "1.0", **bounds)
    try:
        await node.start()
        await node.ready()
        await node.until("steady", "1.0")
        yield node
    finally:
        await node.kill()
        await process.end(nodes)
        book.close()


def has_exited(pid: int) -> bool:
    return not start_ticks(pid)  # also if its parent has not yet collected its exit status


def test_versions_replace_each_other_under_load_without_lost_requests(tmp_path: Path) -> None:
    async def test() -> None:
        async with supervised(tmp_path) as node, Steady(node.port) as load:
            for version in ("1.1", "1.0", "1.1"):
                before = node.pids()["current"]
                node.replace(version)
                await node.until("steady", version)
                assert has_exited(before) and set(node.pids()) == {"current"}
            await load.more(100)
            assert not load.lost, load.codes

    run(test())


@pytest.mark.parametrize(
    ("version", "reason"),
    [
        ("2.0", "exit code 1"),
        ("2.1", "not ready in 3 s"),
        ("2.2", "requests failed"),
        ("2.3", ""),
        ("2.4", "MiB of memory are in use"),
    ],
)
def test_a_faulty_version_is_refused(version: str, reason: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with supervised(tmp_path, ready_s=3.0, prove_s=PROVE_S.get(version, 5.0)) as node:
            before = node.pids()["current"]
            async with Steady(node.port) as load:
                node.replace(version)
                end = time.monotonic() + 60
                while not (state := node.now().get("supervision", {})).get("refused"):
                    assert time.monotonic() < end, state
                    await asyncio.sleep(0.02)
                state = await node.until("steady", "1.0")
                assert state["refused"] == [version] and reason in state["reason"], state
                assert node.pids() == {"current": before}
                await load.settled()
                lost = load.lost
                await load.more(100)
                assert load.lost == lost

    run(test())


def test_a_failing_version_is_refused_even_with_little_traffic_while_it_is_verified(tmp_path: Path) -> None:
    """The verification time `prove_s` ends before enough requests have completed."""

    async def test() -> None:
        async with supervised(tmp_path, ready_s=10.0, prove_s=4.0) as node, Steady(node.port, 0.3) as load:
            await load.more(50)
            node.replace("2.2")
            end = time.monotonic() + 60
            while not (state := node.now().get("supervision", {})).get("refused"):
                assert time.monotonic() < end, state
                await asyncio.sleep(0.02)
            assert "requests failed" in (await node.until("steady", "1.0"))["reason"]

    run(test())


def test_reloading_an_invalid_settings_file_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with supervised(tmp_path) as node:
            node.file.write_text('supervise {\n  version = "9"\n}\n', encoding="utf-8")
            node.signal("hup")
            async with Steady(node.port) as load:
                await load.more(300)
                assert not load.lost
            assert "there is no program 9" in (node.folder / "log").read_text()
            assert (await node.until("steady", "1.0"))["wanted"] == "1.0"

    run(test())


def test_a_killed_process_is_restarted_and_a_killed_supervisor_leaves_its_processes_running(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with supervised(tmp_path) as node:
            first = node.pids()["current"]
            os.kill(first, signal.SIGKILL)
            end = time.monotonic() + 20
            while node.pids().get("current") in (None, first):
                assert time.monotonic() < end
                await asyncio.sleep(0.02)
            await node.until("steady", "1.0")
            second = node.pids()["current"]
            result = subprocess.run(  # only one supervisor may use a state file
                (sys.executable, "-m", "gladegw", "supervise", str(node.file)),
                cwd=ROOT,
                timeout=30,
                env={**os.environ, "EDGE_CONFIG": str(node.folder / "config.json")},
                capture_output=True,
                text=True,
                check=False,
            )
            assert result.returncode == 2 and "in use by another supervisor" in result.stderr
            async with Steady(node.port) as load:
                await node.abandon()
                await load.more(60)
                await node.start()
                await node.until("steady", "1.0")
                assert node.pids() == {"current": second}
                node.replace("1.1")
                await node.until("bringing up", "1.0")
                await node.abandon()  # while two processes run
                await node.start()
                await node.until("steady", "1.1")
                assert has_exited(second)
                assert not load.lost, load.codes
            last = node.pids()["current"]
            await node.end(10.0)  # on SIGTERM the supervisor stops its processes
            assert has_exited(last) and not node.state.exists()

    run(test())


def test_a_hanging_process_is_killed_and_restarted(tmp_path: Path) -> None:
    async def test() -> None:
        async with supervised(tmp_path, hang_s=2.0) as node:
            first = node.pids()["current"]
            os.kill(first, signal.SIGSTOP)
            end = time.monotonic() + 20
            while node.pids().get("current") in (None, first):
                assert time.monotonic() < end
                await asyncio.sleep(0.02)
            await node.until("steady", "1.0")
            assert has_exited(first)

    run(test())


@pytest.mark.parametrize(
    ("text", "message"),
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
def test_an_invalid_settings_file_is_reported_in_one_line(text: str, message: str, tmp_path: Path) -> None:
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
    assert (
        result.returncode == 2 and message in result.stderr and result.stderr.count("\n") == 1
    ), result.stderr
