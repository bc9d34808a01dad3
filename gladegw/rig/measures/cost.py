"""What the block `coordination` costs a proxy that serves: the same load with it and without, by turns, each
on a fresh proxy; and whether one that has more to do than it can do keeps its duties."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

import msgspec

from gladegw.control import fleet_status
from gladegw.control.store_client import StoreClient, addresses
from gladegw.rig import process
from gladegw.rig.measures.capacity import WARM_RATE, CapacitySettings, bench
from gladegw.rig.measures.scale import CALL, PREFIX, block, stand


class Play(msgspec.Struct, frozen=True):
    """Latencies in ms, CPU in microseconds a request."""

    block: bool
    rate: float
    p50: float
    p99: float
    cpu_us: float
    memory_mb: float
    good: float  # share answered 200
    kept: bool | None  # whether all duties stayed under their tokens; None: without the block


async def tokens(endpoints: tuple[str, ...]) -> dict[str, int]:
    client = StoreClient(addresses(endpoints), CALL)
    try:
        return {
            duty["name"]: duty["token"]
            for duty in fleet_status.duties(await fleet_status.read(client, PREFIX))
        }
    finally:
        client.close()


async def play(settings: CapacitySettings, rate: float, ttl: int, with_block: bool) -> Play:
    """Raises RigError."""
    async with stand() as store:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "with.hcl"
            file.write_text(block(store.endpoints, ttl), encoding="utf-8")
            async with bench(settings, str(file) if with_block else "", "") as running:
                await running.through(WARM_RATE)
                before = await tokens(store.endpoints) if with_block else {}
                figures = await running.through(rate)
                assert running.proxy is not None
                memory = process.used(running.proxy.pid)[1]
                kept = None
                if with_block:
                    kept = bool(before) and all(before.values()) and before == await tokens(store.endpoints)
    told = figures["latency_ms"]
    return Play(
        with_block, rate, told["p50"], told["p99"], figures["proxy_cpu_us"], memory, figures["good"], kept
    )


async def measure(rate: float, plays: int, lasts: float, ttl: int) -> dict[str, Any]:
    """Plays by turns, the one that begins changing; differences are of medians over pairs."""
    settings = CapacitySettings(duration=lasts)
    began = time.monotonic()
    pairs = []
    for number in range(plays):
        order = (False, True) if number % 2 == 0 else (True, False)
        pair = {with_block: await play(settings, rate, ttl, with_block) for with_block in order}
        pairs.append((pair[False], pair[True]))
    names = ("p50", "p99", "cpu_us", "memory_mb")
    return {
        "rate": rate,
        "plays": plays,
        "ttl_s": ttl,
        "seconds": round(time.monotonic() - began, 1),
        "kept": all(there.kept for _, there in pairs),
        "without": {name: median(getattr(one, name) for one, _ in pairs) for name in names},
        "with": {name: median(getattr(there, name) for _, there in pairs) for name in names},
        "difference": {
            name: median(getattr(there, name) - getattr(one, name) for one, there in pairs) for name in names
        },
        "good": min(min(one.good, there.good) for one, there in pairs),
        "each": [msgspec.to_builtins(one) for pair in pairs for one in pair],
    }
