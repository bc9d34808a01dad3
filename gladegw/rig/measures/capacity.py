"""What one proxy can do on one core, and what it adds: measured by open-loop load beside the same load
direct."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any

import msgspec

from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.judging import ledger
from gladegw.rig.nodes.model import Kind
from gladegw.rig.nodes.settings import config
from gladegw.rig.ports import free_port
from gladegw.rig.proxy import Proxy
from gladegw.rig.scenario import Class, Proxies, Scenario, Tier
from gladegw.rig.traffic.arrivals import Shape
from gladegw.rig.traffic.load import LEAD, Load
from gladegw.rig.traffic.worker import Plan
from gladegw.rig.traffic.workload import CallClass, Mix

PATIENCE = 20.0  # s for the trivial nodes to be up
GOOD = 0.999  # share of the requests that must be answered 200 for a rate to count
TRIES = 2  # of a rate, each with a fresh proxy
WARM_RATE = 300.0  # requests/s before a measurement
GROWTH = 1.5  # between two rates of the climb
MOST_RATE = 100_000.0  # requests/s
HELD = 500  # connections at which memory and descriptors are read


class CapacitySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`capacity {}` of an experiment file. Cores are numbers of the machine; none: not pinned."""

    schedule_rates: tuple[float, ...] = (500.0, 2000.0, 8000.0)
    first_rate: float = 1000.0
    bound_ms: float = 20.0  # of added latency at the 99th percentile
    steps: int = 3  # halvings after the first rate that is too much
    duration: float = 4.0  # s of each measurement
    nodes: int = 6
    workers: int = 2
    connections: int = 64  # of each worker
    proxy_cpu: tuple[int, ...] = (0,)
    node_cpu: tuple[int, ...] = (1,)
    load_cpus: tuple[int, ...] = (2, 3, 4, 5)

    def __post_init__(self) -> None:
        for name in ("first_rate", "bound_ms", "duration", "nodes", "workers", "connections"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name} must be above 0")
        if not 0 <= self.steps <= 10:
            raise ValueError("steps must be 0 to 10")


SCENARIO = Scenario(
    classes=(Class(name="status", work_ms=1, aim_ms=1000, deadline_ms=4000),),
    tiers=(Tier(),),
    kinds=(Kind(cores=64, idle=30),),
    proxies=Proxies(count=1, quantum_ms=0),
)


class Bench:
    """Trivial nodes, one proxy before them, and loads against either."""

    def __init__(self, settings: CapacitySettings, told: dict[str, Any], proxy: Proxy | None) -> None:
        self.settings, self.told, self.proxy = settings, told, proxy

    async def load(self, rate: float, targets: Sequence[str], connections: int = 0) -> dict[str, Any]:
        settings = self.settings
        plan = Plan(
            target=tuple(targets),
            names=tuple(targets),
            mix=Mix(classes=(CallClass(name="status", deadline=4.0, aim=1.0),)),
            shape=Shape(rate=rate, duration=settings.duration),
            seed=7,
            prefix=f"{time.time_ns():x}-",
            connections=connections or settings.connections,
        )
        load = Load(plan, settings.workers)
        try:
            await load.start(settings.load_cpus)
            cpu = process.used(self.proxy.pid)[0] if self.proxy is not None else 0.0
            loaded = await load.run(time.monotonic() + LEAD)
            used = process.used(self.proxy.pid) if self.proxy is not None else (0.0, 0.0, 0)
        finally:
            await load.close()
        figures = loaded.figures()
        good = figures["codes"].get("200", 0) / max(1, figures["sent"])
        figures |= {
            "rate": rate,
            "good": good,
            "proxy_cpu_us": (used[0] - cpu) * 1e6 / max(1, figures["sent"]),
        }
        return figures

    async def through(self, rate: float) -> dict[str, Any]:
        assert self.proxy is not None
        return await self.load(rate, [f"127.0.0.1:{self.proxy.port}"])

    async def direct(self, rate: float) -> dict[str, Any]:
        return await self.load(rate, self.told["nodes"])

    def holds(self, figures: dict[str, Any]) -> bool:
        """Whether the proxy carried this rate: nearly all served, and late by less than the bound."""
        return bool(figures["good"] >= GOOD and figures["latency_ms"]["p99"] < self.settings.bound_ms)

    async def held(self) -> dict[str, float]:
        """Memory and descriptors with many callers' connections open, each of which has asked once."""
        assert self.proxy is not None
        writers = []
        try:
            for number in range(HELD):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
                writers.append(writer)
                writer.write(
                    b"GET /status/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: held%d\r\nX-Budget: 2000m\r\n\r\n"
                    % number
                )
                async with asyncio.timeout(5):
                    await reader.readuntil(b"\r\n\r\n")
            _, memory, descriptors = process.used(self.proxy.pid)
        finally:
            for writer in writers:
                writer.close()
        return {"connections": HELD, "memory_mb": memory, "descriptors": descriptors}


@contextlib.asynccontextmanager
async def bench(settings: CapacitySettings, features: str, checkout: str) -> AsyncIterator[Bench]:
    nodes = await process.start(
        *process.python("gladegw.rig.nodes.trivial", str(settings.nodes)), cpus=settings.node_cpu
    )
    try:
        assert nodes.stdout is not None
        async with asyncio.timeout(PATIENCE):
            line = await nodes.stdout.readline()
        if not line:
            raise RigError("the trivial nodes did not start")
        told = msgspec.json.decode(line)
        with tempfile.TemporaryDirectory() as scratch:
            book = ledger.Ledger(Path(scratch) / "rig.jsonl")
            listen = f"127.0.0.1:{free_port()}"
            raw = config(SCENARIO, "p0", listen, told["discovery"], told["known"], 0, 0, "a")
            proxy = Proxy("p0", raw, Path(scratch), book, features, checkout, settings.proxy_cpu)
            try:
                await proxy.start()
                await proxy.ready()
                yield Bench(settings, told, proxy)
            finally:
                await proxy.end(8.0)
                book.close()
    finally:
        await process.end(nodes)


async def tried_at(
    settings: CapacitySettings, features: str, checkout: str, rate: float
) -> tuple[bool, list[dict[str, Any]]]:
    """Whether a fresh proxy carries this rate, once in TRIES: what others did to one is past."""
    tried = []
    for _ in range(TRIES):
        async with bench(settings, features, checkout) as running:
            await running.through(WARM_RATE)
            tried.append(await running.through(rate))
            if running.holds(tried[-1]):
                return True, tried
    return False, tried


async def most_rate(
    settings: CapacitySettings, features: str, checkout: str
) -> tuple[float, list[dict[str, Any]]]:
    """The highest rate found that it carries, and all that was tried."""
    tried: list[dict[str, Any]] = []

    async def carried(rate: float) -> bool:
        ok, found = await tried_at(settings, features, checkout, rate)
        tried.extend(found)
        return ok

    low, high = 0.0, settings.first_rate
    while high < MOST_RATE and await carried(high):
        low, high = high, high * GROWTH
    for _ in range(settings.steps):
        middle = (low + high) / 2
        low, high = (middle, high) if await carried(middle) else (low, middle)
    return low, tried


async def measure(settings: CapacitySettings, features: str, checkout: str) -> dict[str, Any]:
    """All figures of one build; latencies in ms."""
    most, tried = await most_rate(settings, features, checkout)
    async with bench(settings, features, checkout) as running:
        await running.through(WARM_RATE)
        schedule = [await running.direct(rate) for rate in settings.schedule_rates]
        parts = []
        for share in (0.25, 0.5, 0.75):
            rate = max(1.0, most * share)
            through, direct = await running.through(rate), await running.direct(rate)
            parts.append(
                {
                    "share": share,
                    "rate": rate,
                    "through": through["latency_ms"],
                    "direct": direct["latency_ms"],
                    "added_p50_ms": through["latency_ms"]["p50"] - direct["latency_ms"]["p50"],
                    "added_p99_ms": through["latency_ms"]["p99"] - direct["latency_ms"]["p99"],
                    "cpu_us": through["proxy_cpu_us"],
                }
            )
        return {
            "most_rate": most,
            "parts": parts,
            "held": await running.held(),
            "schedule": [
                {
                    "rate": one["rate"],
                    "lateness_ms": one["lateness_ms"],
                    "load_cpu_s": one["cpu_s"],
                    "valid": one["valid"],
                }
                for one in schedule
            ],
            "tried": [
                {
                    "rate": one["rate"],
                    "good": one["good"],
                    "p99_ms": one["latency_ms"]["p99"],
                    "cpu_us": one["proxy_cpu_us"],
                    "valid": one["valid"],
                }
                for one in tried
            ],
        }
