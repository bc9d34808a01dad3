"""Processes replaced again and again under their supervisors while requests flow: what is lost, how long it
takes."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec

from gladegw.rig import process
from gladegw.rig.judging import ledger
from gladegw.rig.measures.capacity import SCENARIO
from gladegw.rig.measures.failover import quantiles
from gladegw.rig.measures.scale import sort
from gladegw.rig.nodes.settings import config
from gladegw.rig.ports import free_port
from gladegw.rig.supervised import Supervised
from gladegw.rig.traffic.steady import Steady

PAUSE = 0.02  # s between two requests of a caller
VERSIONS = {"1": "none", "2": "none"}


@contextlib.asynccontextmanager
async def supervised(
    count: int,
    folder: Path,
    features: str,
    versions: dict[str, str],
    version: str,
    troubles: int | None = None,
) -> AsyncIterator[list[Supervised]]:
    """Proxies before trivial nodes, each under a supervisor; ended by force. `troubles`: of the nodes."""
    nodes = await process.start(*process.python("gladegw.rig.nodes.trivial", *sort(troubles)))
    book = ledger.Ledger(folder / "rig.jsonl")
    running: list[Supervised] = []
    try:
        assert nodes.stdout is not None
        told = msgspec.json.decode(await nodes.stdout.readline())
        for number in range(count):
            name, listen = f"p{number}", f"127.0.0.1:{free_port()}"
            raw = config(SCENARIO, name, listen, told["discovery"], told["known"], 0, number, "a")
            running.append(Supervised(name, raw, folder, book, features, versions, version))
        await asyncio.gather(*(one.start() for one in running))
        await asyncio.gather(*(one.until("steady", version) for one in running))
        yield running
    finally:
        await asyncio.gather(*(one.kill() for one in running))
        await process.end(nodes)
        book.close()


async def measure(proxies: int, count: int) -> dict[str, Any]:
    """`count` replacements over all proxies, one after another at each. Raises RigError."""
    took: list[float] = []
    with tempfile.TemporaryDirectory() as scratch:
        async with supervised(proxies, Path(scratch), "", VERSIONS, "1") as running:
            async with contextlib.AsyncExitStack() as stack:
                loads = [await stack.enter_async_context(Steady(one.port, PAUSE)) for one in running]

                async def again(one: Supervised, times: int) -> None:
                    for number in range(times):
                        began, version = time.monotonic(), "21"[number % 2]
                        one.replace(version)
                        await one.until("steady", version)
                        took.append(time.monotonic() - began)

                each = [count // proxies + (number < count % proxies) for number in range(proxies)]
                await asyncio.gather(*map(again, running, each))
    return {
        "proxies": proxies,
        "replacements": len(took),
        "seconds": quantiles(took),
        "requests": sum(len(load.codes) for load in loads),
        "lost": sum(load.lost for load in loads),
        "excused": sum(load.excused for load in loads),
        "why": dict(sum((load.why for load in loads), Counter())),
        "served": sum(code == 200 for load in loads for code in load.codes),
    }
