"""The process that holds discovery and all nodes, and carries out the fleet's part of the script.

Run as `python -m gladegw.rig.nodes.fleet`: the plan is one line of JSON on standard input, orders
follow as further lines, and what it has to say goes to standard output, a line of JSON each. It ends when
standard input ends.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import uvloop

from gladegw.rig.faults.links import Link
from gladegw.rig.faults.schedule import Step, place
from gladegw.rig.judging import ledger
from gladegw.rig.nodes.discovery import Discovery
from gladegw.rig.nodes.model import KeyWindow, Kind, Life
from gladegw.rig.nodes.node import Node, drawn_work
from gladegw.rig.nodes.registry import Endpoint, Registry
from gladegw.rig.scenario import Scenario, Tier
from gladegw.rig.traffic.client import Pool

FLUSH = 0.2  # s
READY_AFTER = 0.05  # s that a started process needs


class FleetPlan(msgspec.Struct, frozen=True):
    """All that the fleet is told before it starts. Doors: proxies of the first tier by name."""

    scenario: Scenario
    steps: tuple[Step, ...]
    ledger: str
    doors: tuple[str, ...]
    must_ask: float


class Order(msgspec.Struct, frozen=True):
    """A later line: `go` (the origin of the script), `sidecar` (a node's own proxy is ready), `door` (a new
    address of discovery for a proxy), `move` (that proxy is to move)."""

    order: str
    name: str = ""
    at: float = 0.0
    port: int = 0


def kinds_of(tier: Tier, kinds: tuple[Kind, ...], seed: int) -> list[Kind]:
    """The kind of each place of a tier: by share, in a drawn order."""
    total = sum(kind.share for kind in kinds) or 1.0
    wanted = [kind.share / total * tier.nodes for kind in kinds]
    counts = [int(share) for share in wanted]
    while sum(counts) < tier.nodes:
        most = max(range(len(kinds)), key=lambda n: wanted[n] - counts[n])
        counts[most] += 1
    found = [kind for kind, count in zip(kinds, counts, strict=True) for _ in range(count)]
    Random(seed).shuffle(found)
    return found


class Fleet:
    def __init__(self, plan: FleetPlan) -> None:
        scenario = self.scenario = plan.scenario
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.book = ledger.Ledger(Path(plan.ledger))
        self.tiers = scenario.tiers
        self.classes = {cls.name: cls for cls in scenario.classes}
        self.seed = scenario.run.seed
        self.draws = Random(self.seed + 77)
        self.keys = [
            {c.name: KeyWindow(c.window_ms / 1000) for c in scenario.classes if c.effect == "by_key"}
            for _ in self.tiers
        ]
        self.waiters: dict[tuple[int, str], list[tuple[Node, Any]]] = {}
        self.nodes: dict[str, Node] = {}  # who stands at each place now
        self.generations = itertools.count(1)
        self.discoveries = [self._discovery(plan.must_ask) for _ in self.tiers]
        self.sidecars: dict[str, asyncio.Future[int]] = {}  # ports, by the node's name
        self.linked = any(fault.kind.startswith("node_") for fault in scenario.faults)
        self.links: dict[str, Link] = {}  # before each node, by its name, where links are to break
        self.origin = 0.0
        self.tasks: set[asyncio.Task[None]] = set()

    def _discovery(self, must_ask: float) -> Discovery:
        how = self.scenario.discovery
        registry = Registry(how.lines_per_s, how.call_lines, how.patience_s)
        return Discovery(registry, self.book, must_ask)

    # what nodes ask
    def work_of(self, tier: int, cls: str, id: str) -> float:
        """Seconds of a yardstick core; 0: no such class."""
        found = self.classes.get(cls)
        if found is None:
            return 0.0
        mean = found.work_ms / 1000 * self.tiers[tier].work
        return drawn_work(id, self.seed, mean, found.spread)

    def calls_below(self, tier: int, draw: float) -> int:
        if tier + 1 >= len(self.tiers):
            return 0
        calls = self.tiers[tier + 1].calls
        return int(calls) + (draw < calls - int(calls))

    def sidecar(self, node: Node) -> str:
        return f"of-{node.name}"

    def key_ended(self, tier: int, cls: str, key: str, body: bytes | None) -> None:
        window = self.keys[tier][cls]
        if body is None:
            window.held.pop(key, None)
        else:
            window.end(key, body)
        for node, job in self.waiters.pop((tier, key), []):
            node.answer_repeat(job, body)

    # lives
    async def start(
        self, where: str, tier: int, kind: Kind, cold: bool, name: str = "", port: int = 0
    ) -> None:
        """A node starts at a place; with further tiers below, its own proxy first."""
        number = int(where.rpartition("/")[2])
        zones = self.tiers[tier].zones
        name = name or f"{self.tiers[tier].name}-{number}-{next(self.generations)}"
        node = Node(self, name, tier, kind, zones[number % len(zones)], self.seed * 7919 + number, cold)
        node.port = port
        self.nodes[where] = node
        if tier + 1 < len(self.tiers):
            door = await self.discoveries[tier + 1].door(self.sidecar(node))
            self.discoveries[tier + 1].known_to(self.sidecar(node))
            waits = self.sidecars[node.name] = self.loop.create_future()
            say(
                "sidecar",
                name=self.sidecar(node),
                node=node.name,
                tier=tier + 1,
                zone=node.zone,
                discovery=door,
                known=self._known(tier + 1),
            )
            node.next = Pool("127.0.0.1", await waits, kind.slots)
        await node.listen()
        if self.linked and node.name not in self.links:
            self.links[node.name] = await Link(f"127.0.0.1:{node.port}").__aenter__()
        if cold:
            self._announce(node, "Ready", self.scenario.discovery.notice_s)

    def _known(self, tier: int) -> dict[str, Any]:
        listing = self.discoveries[tier].registry.whole()
        known: dict[str, Any] = msgspec.to_builtins(listing)
        return known

    def _endpoint(self, node: Node, status: str) -> Endpoint:
        weight = node.kind.cores * node.kind.speed
        link = self.links.get(node.name)
        address = f"127.0.0.1:{node.port}" if link is None else link.address
        return Endpoint(node.name, address, node.zone, node.kind.name, 0, status, weight, node.since_ms)

    def _announce(self, node: Node, status: str, delay: tuple[float, float]) -> None:
        self.discoveries[node.tier].change(self.draws.uniform(*delay), self._endpoint(node, status))

    def ended(self, node: Node, cause: str) -> None:
        """A process has ended, of itself (`drained`) or silently."""
        how = self.scenario.discovery
        self._announce(node, "Gone", how.notice_s if cause == "drained" else how.silent_s)
        if node.next is not None:
            self.discoveries[node.tier + 1].close_door(self.sidecar(node))
            say("sidecar_end", name=self.sidecar(node))

    async def begin(self) -> None:
        """The lower tiers first: what calls them needs them."""
        for number in reversed(range(len(self.tiers))):
            tier = self.tiers[number]
            kinds = kinds_of(tier, self.scenario.kinds, self.seed + number)
            places = [place(tier.name, n) for n in range(tier.nodes)]
            await asyncio.gather(
                *(self.start(where, number, kind, False) for where, kind in zip(places, kinds, strict=True))
            )
            for where in places:
                node = self.nodes[where]
                self.discoveries[number].registry.plan(0.0, self._endpoint(node, "Ready"))
            self.discoveries[number].registry.publish(time.monotonic())
        doors = {}
        for name in self.plan.doors:
            doors[name] = await self.discoveries[0].door(name)
            self.discoveries[0].known_to(name)
        say("up", doors=doors, known=self._known(0), nodes={where: n.name for where, n in self.nodes.items()})
        self._flush()

    def _flush(self) -> None:
        self.book.flush()
        self.loop.call_later(FLUSH, self._flush)

    # the script
    async def play(self) -> None:
        for step in self.plan.steps:
            if step.party != "fleet":
                continue
            await asyncio.sleep(max(0.0, self.origin + step.at - time.monotonic()))
            task = self.loop.create_task(self._step(step))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _until(self, step: Step) -> None:
        await asyncio.sleep(max(0.0, self.origin + step.until - time.monotonic()))

    async def _step(self, step: Step) -> None:
        began = time.monotonic()
        try:
            if step.target == "discovery":
                await self._discovery_step(step)
            else:
                node = self.nodes[step.target]
                if node.model.life is Life.UP:
                    await self._node_step(step, node)
        finally:
            self.book.put(ledger.FaultBand(step.action, began, time.monotonic(), step.target))

    async def _discovery_step(self, step: Step) -> None:
        for on in (True, False):
            for discovery in self.discoveries:
                if step.action == "discovery_outage":
                    discovery.set_down(on)
                elif step.action == "discovery_silence":
                    discovery.set_silent(on)
                elif step.action == "discovery_stale":
                    discovery.set_stale(on)
                else:
                    discovery.registry.left_out = step.size if on else 0.0
            if on:
                await self._until(step)

    async def _node_step(self, step: Step, node: Node) -> None:
        action = step.action
        if action == "kill":
            node.end("killed")
            if step.until:
                await self._until(step)
                await self.start(step.target, node.tier, node.kind, True, node.name, node.port)
        elif action == "replace":
            node.drain()
            self._announce(node, "Terminating", self.scenario.discovery.notice_s)
            await self._until(step)
            if node.model.life is not Life.DOWN:
                node.end("drained")
            await self.start(step.target, node.tier, node.kind, True)
        else:
            await self._passing(step, node)

    async def _passing(self, step: Step, node: Node) -> None:
        """What begins and ends, and leaves the node as it was."""
        if step.action.startswith("node_"):
            return await self._link_step(step, self.links[node.name])
        if step.action == "vanish":
            node.vanish()
        for on in (True, False):
            if step.action == "fast_errors":
                node.errors = step.size if on else 0.0
            elif step.action == "slow":
                node.slow(step.size if on else 1.0)
            elif step.action == "freeze":
                node.freeze(on)
            elif step.action in ("reset", "drip", "garbage"):
                node.misbehave((step.manner or step.action) if on else "", step.size)
            if on:
                await self._until(step)
        if step.action == "vanish" and node.model.life is not Life.DOWN:
            await node.come_back()

    async def _link_step(self, step: Step, link: Link) -> None:
        if step.action == "node_reset":
            link.reset()
        elif step.action == "node_cut":
            link.cut(step.manner)
            await self._until(step)
            link.heal()
        else:
            link.late(step.size)
            await self._until(step)
            link.late(0.0)

    # orders
    async def obey(self, order: Order) -> None:
        if order.order == "go":
            self.origin = order.at
            self.book.put(ledger.Origin(order.at, time.time() - time.monotonic() + order.at))
            await self.play()
        elif order.order == "sidecar":
            waits = self.sidecars.get(order.name)
            if waits is not None and not waits.done():
                waits.set_result(order.port)
        elif order.order == "move":
            door = self.discoveries[0].doors[order.name]
            say("door", name=order.name, address=await door.move())

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for link in self.links.values():
            await link.__aexit__()
        for node in self.nodes.values():
            for job in node.jobs.values():
                job.run.outcome = "open"
                self.book.put(job.run)
            self.book.put(ledger.Sample(node.name, time.monotonic(), probes=node.probes))
            node.close()
        for discovery in self.discoveries:
            discovery.close()
        self.book.close()


def say(what: str, **fields: Any) -> None:
    sys.stdout.buffer.write(msgspec.json.encode({"say": what, **fields}) + b"\n")
    sys.stdout.buffer.flush()


async def lines() -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=64 << 20)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def run() -> None:
    reader = await lines()
    line = await reader.readline()
    if not line:
        return
    fleet = Fleet(msgspec.json.decode(line, type=FleetPlan))
    beginning = asyncio.create_task(fleet.begin())
    obeying: set[asyncio.Task[None]] = {beginning}
    gc.collect()
    gc.freeze()
    try:
        while line := await reader.readline():
            task = asyncio.create_task(fleet.obey(msgspec.json.decode(line, type=Order)))
            obeying.add(task)
            for done in [task for task in obeying if task.done()]:
                obeying.discard(done)
                done.result()
    finally:
        for task in obeying:
            task.cancel()
        await fleet.close()


def main() -> int:
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
