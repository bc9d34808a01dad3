"""What each `when_cut_off` costs while the store is away: for how long proxies refuse, and what share of what
they are asked meanwhile."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from gladegw.rig import process
from gladegw.rig.measures import scale
from gladegw.rig.measures.changes import Course, policy
from gladegw.rig.measures.failover import Stand
from gladegw.rig.store.launch import launch

AFTER = 5.0  # s beyond the store's return, in which all serve again
DEADLINE = 10  # s


async def one(mode: str, away: float, proxies: int, ttl: int) -> dict[str, Any]:
    """Raises RigError where not all serve again afterwards."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        child, endpoints = await launch(3)
        try:
            store = Stand(child, endpoints)
            first, file = folder / "site.routes.hcl", folder / "site.hcl"
            first.write_text(policy(0), encoding="utf-8")
            file.write_text(
                scale.block(endpoints, ttl) + f'routes {{\n  file = "{first}"\n}}\n'
                f'policy {{\n  when_cut_off = "{mode}"\n  deadline_s = {DEADLINE}\n}}\n',
                encoding="utf-8",
            )
            async with scale.proxies(proxies, folder, str(file)) as running:
                course = Course(store, running, {}, 1)
                asking = [asyncio.create_task(course.ask(proxy)) for proxy in running]
                await course.all_serve(0)
                result = await course.change(1, DEADLINE)
                await course.all_serve(result.epoch)
                began = time.monotonic()
                for member in (0, 1):
                    await store.order("down", member)
                await asyncio.sleep(away)
                for member in (0, 1):
                    await store.order("up", member)
                back = time.monotonic()
                await asyncio.sleep(AFTER)
                await course.all_serve(result.epoch)
                for task in asking:
                    task.cancel()
                await asyncio.gather(*asking, return_exceptions=True)
                course.client.close()
        finally:
            await process.end(child)
    asked = [answer for answer in course.answers if answer.sent >= began]
    refused = [answer for answer in asked if answer.word < 0]
    return {
        "when_cut_off": mode,
        "away_s": away,
        "answers": len(asked),
        "refused": len(refused),
        "share": round(len(refused) / max(1, len(asked)), 4),
        "first_s": round(min((one.sent for one in refused), default=began) - began, 2),
        "last_after_s": round(max((one.ended for one in refused), default=back) - back, 2),
    }


async def measure(
    modes: Sequence[str], aways: Sequence[float], proxies: int, ttl: int
) -> list[dict[str, Any]]:
    return [await one(mode, away, proxies, ttl) for mode in modes for away in aways]
