"""Plays a scenario: starts discovery, nodes and proxies, drives the load through the script, and cleans
up."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.faults import schedule
from gladegw.rig.faulty_versions import HARMS
from gladegw.rig.judging import ledger
from gladegw.rig.nodes.fleet import FleetPlan, Order
from gladegw.rig.nodes.settings import MUST_ASK, config
from gladegw.rig.ports import free_port
from gladegw.rig.proxy import Proxy
from gladegw.rig.scenario import Scenario, Store
from gladegw.rig.traffic import flood
from gladegw.rig.traffic.arrivals import Shape
from gladegw.rig.traffic.load import LEAD, Load, Loaded
from gladegw.rig.traffic.operators import Operators
from gladegw.rig.traffic.worker import Plan
from gladegw.rig.traffic.workload import CallClass, Mix

UP_WITHIN = 60.0  # s for the fleet
END_WITHIN = 8.0  # s after SIGTERM, as long as the longest deadline takes and more

if TYPE_CHECKING:
    from gladegw.rig.faults.coordinated import Coordinated

Progress = Callable[[float, dict[str, Any], dict[str, ledger.Sample]], None]


def coordinated(settings: Store, folder: Path) -> Coordinated:
    """The store of a scenario, whose code needs the extra `coordination`."""
    from gladegw.rig.faults.coordinated import Coordinated

    return Coordinated(settings, folder)


def mix_of(scenario: Scenario) -> Mix:
    """Worth counts for each unit of work, so that a heavy request is worth more than a light one."""
    load = scenario.load
    return Mix(
        classes=tuple(
            CallClass(
                name=cls.name,
                share=cls.share,
                deadline=cls.deadline_ms / 1000,
                aim=cls.aim_ms / 1000,
                worth=cls.worth * cls.work_ms,
                keyed=cls.effect == "by_key",
            )
            for cls in scenario.classes
        ),
        tenants=tuple((tenant.name, tenant.share * tenant.usage) for tenant in scenario.tenants),
        retries=load.retries,
        try_share=load.try_share,
        honours=load.honours,
        backoff=(load.backoff_ms[0] / 1000, load.backoff_ms[1] / 1000),
    )


def shape_of(scenario: Scenario) -> Shape:
    load = scenario.load
    surges = schedule.surges(scenario)
    return Shape(
        rate=load.rate, duration=scenario.run.duration, shape=load.shape, low=load.low, surges=surges
    )


class Play:
    """One scenario under way. `async with` starts and ends all of it, whatever happens between."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario, self.folder = scenario, folder
        self.steps = schedule.script(scenario)
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.jsonl"):
            old.unlink()
        for old in folder.glob("proxies/*/log"):
            old.unlink()
        (folder / "scenario.json").write_bytes(msgspec.json.encode(scenario))
        (folder / "script.json").write_bytes(msgspec.json.encode(self.steps))
        self.store = coordinated(scenario.store, folder) if scenario.store is not None else None
        self.book = ledger.Ledger(folder / "rig.jsonl")
        asked = scenario.operators
        self.operators = Operators(self.book, asked.every_s) if asked is not None else None
        self.proxies: dict[str, Proxy] = {}
        self.sidecars: dict[str, Proxy] = {}
        self.fleet: asyncio.subprocess.Process | None = None
        self.doors: dict[str, str] = {}
        self.known: dict[str, Any] = {}
        self.up: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.moved: dict[str, asyncio.Future[str]] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.origin = 0.0
        self.samples: dict[str, ledger.Sample] = {}

    def _task(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        return task

    async def __aenter__(self) -> Play:
        try:
            await self._start()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._end()

    async def _start(self) -> None:
        scenario = self.scenario
        names = tuple(f"p{number}" for number in range(scenario.proxies.count))
        plan = FleetPlan(scenario, self.steps, str(self.folder / "fleet.jsonl"), names, MUST_ASK)
        self.fleet = await process.start(
            *process.python("gladegw.rig.nodes.fleet"), log=self.folder / "fleet.log"
        )
        assert self.fleet.stdin is not None
        self.fleet.stdin.write(msgspec.json.encode(plan) + b"\n")
        listening = self._task(self._listen(self.fleet))
        async with asyncio.timeout(UP_WITHIN):
            await asyncio.wait((listening, self.up), return_when=asyncio.FIRST_COMPLETED)
        if not self.up.done():
            raise RigError(f"the fleet ended at its start; see {self.folder / 'fleet.log'}")
        zones = scenario.tiers[0].zones
        if self.store is not None:
            await self.store.start()
        for number, name in enumerate(names):
            self.proxies[name] = self._proxy(
                name, self.doors[name], self.known, 0, number, zones[number % len(zones)]
            )
            if self.store is not None:
                proxy = self.proxies[name]
                proxy.features = await self.store.features(name, proxy.features, proxy.root)
            if self.operators is not None:
                self.proxies[name].admin = f"127.0.0.1:{free_port()}"
                await self.operators.link(name, self.proxies[name].admin)
        await asyncio.gather(*(proxy.start() for proxy in self.proxies.values()))
        await asyncio.gather(*(proxy.ready() for proxy in self.proxies.values()))

    def _proxy(self, name: str, door: str, known: dict[str, Any], tier: int, number: int, zone: str) -> Proxy:
        how = self.scenario.proxies
        listen = f"127.0.0.1:{free_port()}"
        raw = config(self.scenario, name, listen, door, known, tier, number, zone)
        cpus = (how.cpus[number % len(how.cpus)],) if how.cpus else ()
        features = self.scenario.tiers[tier].features or how.features
        made = Proxy(name, raw, self.folder, self.book, features, how.checkout, cpus)
        if how.does and tier == 0:
            made.harm = how.does[number % len(how.does)]
            if made.harm not in HARMS:
                raise RigError(f"proxies: does: no such thing: {made.harm}; there are {', '.join(HARMS)}")
        return made

    # the fleet's word
    async def _listen(self, child: asyncio.subprocess.Process) -> None:
        assert child.stdout is not None
        while line := await child.stdout.readline():
            said = msgspec.json.decode(line)
            if said["say"] == "up":
                self.doors, self.known = said["doors"], said["known"]
                self.up.set_result(None)
            elif said["say"] == "sidecar":
                self._task(self._sidecar(said))
            elif said["say"] == "sidecar_end":
                self._task(self.sidecars.pop(said["name"]).kill())
            elif said["say"] == "door":
                self.moved[said["name"]].set_result(said["address"])

    async def _sidecar(self, said: dict[str, Any]) -> None:
        proxy = self._proxy(
            said["name"], said["discovery"], said["known"], said["tier"], len(self.sidecars), said["zone"]
        )
        self.sidecars[proxy.name] = proxy
        await proxy.start()
        await proxy.ready()
        self._order(Order("sidecar", said["node"], port=proxy.port))

    def _order(self, order: Order) -> None:
        if self.fleet is not None and self.fleet.stdin is not None:
            self.fleet.stdin.write(msgspec.json.encode(order) + b"\n")

    # the run
    async def run(self, progress: Progress | None = None) -> Loaded:
        scenario = self.scenario
        how = scenario.load
        plan = Plan(
            target=tuple(f"127.0.0.1:{proxy.port}" for proxy in self.proxies.values()),
            names=tuple(self.proxies),
            mix=mix_of(scenario),
            shape=shape_of(scenario),
            process=how.arrivals,
            seed=scenario.run.seed,
            connections=how.connections,
            ledger=str(self.folder / "clients"),
            prefix=f"{scenario.run.seed:x}-",
            rude=schedule.rude(scenario),
            trace=how.trace,
            host=scenario.tiers[0].host,
        )
        load = Load(plan, how.workers, how.valid_p99_ms)
        asking: list[asyncio.Task[Any]] = []
        try:
            await load.start()
            self.origin = time.monotonic() + LEAD
            self._order(Order("go", at=self.origin))
            self._task(self._script())
            self._task(self._sample())
            if self.operators is not None:
                asking = [self._task(self.operators.ask(name)) for name in self.operators.links]
            if self.store is not None and self.store.settings.changes_every_s:
                asking.append(self._task(self.store.changing(self.book)))

            def told(now: dict[str, Any]) -> None:
                if progress is not None:
                    progress(time.monotonic() - self.origin, now, self.samples)

            loaded = await load.run(self.origin, told)
        finally:
            await load.close()
            for task in asking:  # the proxies end next
                task.cancel()
        loaded.total.write_log(self.folder / "latency.hlog", time.time() - scenario.run.duration)
        (self.folder / "load.json").write_bytes(msgspec.json.encode(loaded.figures()))
        return loaded

    async def _script(self) -> None:
        for step in self.steps:
            if step.party in ("proxies", "store"):
                await asyncio.sleep(max(0.0, self.origin + step.at - time.monotonic()))
                if step.party == "store" or step.action == "cut":
                    self._task(self._on_store(step))
                else:
                    self._task(self._step(step, self.proxies[step.target]))
            elif step.party == "load":
                band = ledger.FaultBand(step.action, self.origin + step.at, self.origin + step.until)
                self.book.put(band)

    async def _until(self, step: schedule.Step) -> None:
        await asyncio.sleep(max(0.0, self.origin + step.until - time.monotonic()))

    async def _on_store(self, step: schedule.Step) -> None:
        assert self.store is not None
        began = time.monotonic()
        try:
            member = await self.store.begin(step)
            if step.until > step.at:
                await self._until(step)
                await self.store.over(step, member)
        finally:
            self.book.put(ledger.FaultBand(step.action, began, time.monotonic(), step.target))

    async def _step(self, step: schedule.Step, proxy: Proxy) -> None:
        began = time.monotonic()
        try:
            if step.action in ("proxy_kill", "proxy_term"):
                if step.action == "proxy_kill":
                    await proxy.kill()
                else:
                    await proxy.end(END_WITHIN)
                if step.until:
                    await self._until(step)
                    await proxy.start()
                    await proxy.ready()
            elif step.action == "proxy_stop":
                proxy.signal("stop")
                await self._until(step)
                proxy.signal("cont")
            elif step.action == "flood":
                target = f"127.0.0.1:{proxy.port}"
                crowd = await flood.start(flood.Plan(manner=step.manner, target=target, count=int(step.size)))
                try:
                    await self._until(step)
                finally:
                    await process.end(crowd)
            elif step.action == "operators_cut":
                assert self.operators is not None
                link = self.operators.links[proxy.name]
                link.cut(step.manner)
                await self._until(step)
                link.heal()
            elif step.action == "descriptors":
                proxy.descriptors(int(step.size))
                await self._until(step)
                proxy.all_descriptors()
            elif step.action == "discovery_move":
                self.moved[proxy.name] = asyncio.get_running_loop().create_future()
                self._order(Order("move", proxy.name))
                proxy.config["discovery"] = await self.moved[proxy.name]
                proxy.write_config()
                proxy.signal("hup")
        finally:
            self.book.put(ledger.FaultBand(step.action, began, time.monotonic(), step.target))

    async def _sample(self) -> None:
        while True:
            now = time.monotonic()
            for proxy in (*self.proxies.values(), *self.sidecars.values()):
                if proxy.pid:
                    cpu, memory, descriptors = process.used(proxy.pid)
                    sample = ledger.Sample(proxy.name, now, 0, cpu, memory, descriptors)
                    self.samples[proxy.name] = sample
                    self.book.put(sample)
            self.book.flush()
            await asyncio.sleep(self.scenario.run.sample)

    async def _end(self) -> None:
        """All that was started is gone afterwards, and every ledger is written."""
        try:
            ends = [proxy.end(END_WITHIN) for proxy in self.proxies.values()]
            ends += [proxy.kill() for proxy in self.sidecars.values()]
            await asyncio.gather(*ends, return_exceptions=True)
        finally:
            for proxy in (*self.proxies.values(), *self.sidecars.values()):
                if proxy.child is not None and proxy.child.returncode is None:
                    process.kill(proxy.child)
            for task in self.tasks:
                task.cancel()
            try:
                if self.operators is not None:
                    await self.operators.end()
                if self.store is not None:
                    await self.store.end()
                if self.fleet is not None:
                    await process.end(self.fleet)
            finally:
                if self.fleet is not None and self.fleet.returncode is None:
                    process.kill(self.fleet)
                self.book.close()


async def play(scenario: Scenario, folder: Path, progress: Progress | None = None) -> Loaded:
    async with Play(scenario, folder) as running:
        loaded = await running.run(progress)
        await asyncio.sleep(SETTLE)
    return loaded


SETTLE = 0.3  # s for what runs at nodes to be written down


def machine() -> dict[str, Any]:
    """What a measurement was taken on."""
    model = ""
    try:
        with open("/proc/cpuinfo", encoding="utf-8") as file:
            model = next(
                (line.partition(":")[2].strip() for line in file if line.startswith("model name")), ""
            )
    except OSError:
        pass
    import platform

    return {"cpu": model, "cores": os.cpu_count(), "python": platform.python_version()}
