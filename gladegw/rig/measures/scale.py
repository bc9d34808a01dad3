"""What a fleet costs its store and its members as it grows: calls, bytes and CPU while nothing happens, and
at the loss of a process that holds duties."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from gladegw.control import fleet_status
from gladegw.control.duties import ALL
from gladegw.control.errors import StoreClientError
from gladegw.control.keys import Keys
from gladegw.control.policy_proposals import PolicyOperator
from gladegw.control.store_client import StoreClient, addresses
from gladegw.coordination.store import Get
from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.judging import ledger
from gladegw.rig.measures.capacity import SCENARIO
from gladegw.rig.measures.crowd import Plan
from gladegw.rig.measures.failover import Stand
from gladegw.rig.nodes.settings import config
from gladegw.rig.ports import free_port
from gladegw.rig.proxy import Proxy
from gladegw.rig.store.launch import launch

PREFIX = "/scale"
PATIENCE = 600.0  # s for a fleet to be complete
CALL = 30.0  # s for a look at the whole store
LOOK = 0.1  # s between looks
AT_ONCE = 16  # proxies that start at once
PER_PROCESS = 250  # members without serving
LEAST_PROCESSES = 4  # of them, so that others are left when one is lost


class Row(msgspec.Struct, kw_only=True):
    """Rates are per second while nothing happens. `bytes`: what the loopback carried, with headers."""

    members: int
    duties: int
    serving: bool
    together_s: float  # from the first start until all are there and all duties are held
    store_calls: float
    bytes: float
    store_cpu: float  # share of a core
    member_cpu: float  # share of a core, of one member; of a serving one, all that it does
    without_cpu: float  # the same of one without the block; 0: not measured
    lost_s: float  # from a kill of one process until its duties are held again
    lost_calls: int  # of all to the store in that time
    ended_s: float = 0.0  # of that, until the store had ended the last lease of a holder
    vacant_s: float = 0.0  # the longest time between a duty's key gone and the next one's there
    decided_s: list[float] = []  # of each change of policy, from its proposal on
    everywhere_s: list[float] = []  # until all members' records tell it


def carried() -> int:
    """Bytes that the loopback has received."""
    for line in Path("/proc/net/dev").read_text(encoding="ascii").splitlines():
        name, _, counts = line.partition(":")
        if name.strip() == "lo":
            return int(counts.split()[0])
    return 0


class Members:
    """Processes with members in them; `holders` are the names in each."""

    def __init__(self) -> None:
        self.pids: list[Callable[[], int]] = []
        self.names: list[frozenset[str]] = []
        self.kills: list[Callable[[], Any]] = []

    def cpu(self) -> float:
        return sum(process.used(pid())[0] for pid in self.pids)


class Scale:
    def __init__(self, store: Stand, members: int, ttl: int) -> None:
        self.store, self.members, self.ttl = store, members, ttl
        self.client = StoreClient(addresses(store.endpoints), CALL)
        self.fleet = Members()

    async def calls(self) -> int:
        return int((await self.store.order("calls")).split()[1])

    async def held(self, wanted: Callable[[dict[str, str | None], int], bool]) -> dict[str, str | None]:
        """Holders by duty, once they and the number of members are as wanted."""
        found: dict[str, str | None] = {}
        async with asyncio.timeout(PATIENCE):
            while not found:
                with contextlib.suppress(StoreClientError):
                    view = await fleet_status.read(self.client, PREFIX)
                    holders = {duty["name"]: duty["holder"] for duty in fleet_status.duties(view)}
                    if wanted(holders, len(view.members())):
                        found = holders
                await asyncio.sleep(LOOK)
        return found

    async def passed_on(self, wanted: set[str]) -> dict[str, tuple[float, float]]:
        """When each of these duties' keys was gone, and when the next was there, as a watch tells it: a look
        at the whole store again and again costs it what is to be measured."""
        keys, known = Keys(PREFIX), 0
        gone: dict[str, float] = {}
        found: dict[str, tuple[float, float]] = {}
        async with asyncio.timeout(PATIENCE):
            while found.keys() < wanted:
                with contextlib.suppress(StoreClientError):
                    if not known:
                        known, there = await self.client.get(Get(*keys.claims))
                        missing = wanted - {keys.split(kv.key)[-1] for kv in there}
                        gone |= dict.fromkeys(missing, time.monotonic())
                    async for now, events in self.client.watch(*keys.claims, known + 1, PATIENCE):
                        known = max(now, known)
                        for event in events:
                            kind, duty = keys.split(event.kv.key)
                            if kind != "duties" or duty not in wanted or duty in found:
                                continue
                            if event.deleted:
                                gone[duty] = time.monotonic()
                            elif duty in gone:
                                found[duty] = gone[duty], time.monotonic()
                        if found.keys() >= wanted:
                            break
        return found

    def complete(self, duties: int) -> Callable[[dict[str, str | None], int], bool]:
        return lambda holders, there: (
            there >= self.members and len(holders) >= duties and all(holders.values())
        )

    async def change(self, number: int, row: Row) -> None:
        """One change of policy over all of them. Raises RigError where it came to nothing."""
        operator = PolicyOperator(self.client, PREFIX, timeout=PATIENCE)
        digest = await operator.upload({"site.routes.hcl": f"{number}"})
        began = time.monotonic()
        change = await operator.propose(digest, int(PATIENCE), True, "rig", "", False)
        result = await operator.outcome(change, int(PATIENCE))
        row.decided_s.append(round(time.monotonic() - began, 3))
        if result.outcome != "everywhere":
            raise RigError(f"change {number}: {result.outcome}: {result.reason}")
        while any(member.epoch < result.epoch for _, member in (await operator.view()).members()):
            await asyncio.sleep(LOOK)
        row.everywhere_s.append(round(time.monotonic() - began, 3))

    async def measure(
        self, duties: int, serving: bool, lasts: float, began: float, without: float, changes: int = 0
    ) -> Row:
        holders = await self.held(self.complete(duties))
        together = time.monotonic() - began
        await asyncio.sleep(2 * self.ttl)  # what came with the start has settled
        at, calls, sent = time.monotonic(), await self.calls(), carried()
        store, members = process.used(self.store.child.pid)[0], self.fleet.cpu()
        await asyncio.sleep(lasts)
        took = time.monotonic() - at
        row = Row(
            members=self.members,
            duties=duties,
            serving=serving,
            together_s=round(together, 1),
            store_calls=(await self.calls() - calls) / took,
            bytes=(carried() - sent) / took,
            store_cpu=(process.used(self.store.child.pid)[0] - store) / took,
            member_cpu=(self.fleet.cpu() - members) / took / self.members,
            without_cpu=without,
            lost_s=0.0,
            lost_calls=0,
        )
        for number in range(changes):
            await self.change(number, row)
        held = [sum(holder in names for holder in holders.values()) for names in self.fleet.names]
        victim = held.index(max(held))
        gone = self.fleet.names[victim]
        wanted = {duty for duty, holder in holders.items() if holder in gone}
        before, calls = time.monotonic(), await self.calls()
        await self.fleet.kills[victim]()
        passed = await self.passed_on(wanted)
        row.lost_calls = await self.calls() - calls
        row.lost_s = max(taken for _, taken in passed.values()) - before
        row.ended_s = max(ended for ended, _ in passed.values()) - before
        row.vacant_s = max(taken - ended for ended, taken in passed.values())
        self.client.close()
        return row


@contextlib.asynccontextmanager
async def stand() -> AsyncIterator[Stand]:
    child, endpoints = await launch(3, "--one-process")
    try:
        yield Stand(child, endpoints)
    finally:
        await process.end(child)


async def crowd(members: int, duties: int, ttl: int, lasts: float, changes: int = 0) -> Row:
    """Members without serving, many in a process. Raises RigError."""
    children: list[asyncio.subprocess.Process] = []
    async with stand() as store:
        scale = Scale(store, members, ttl)
        began = time.monotonic()
        each = min(PER_PROCESS, -(-members // LEAST_PROCESSES))
        try:
            for first in range(0, members, each):
                count = min(each, members - first)
                child = await process.start(*process.python("gladegw.rig.measures.crowd"))
                children.append(child)
                await _begun(child, Plan(store.endpoints, PREFIX, first, count, duties, ttl, bool(changes)))
                scale.fleet.pids.append(lambda child=child: child.pid)  # type: ignore[misc]
                scale.fleet.names.append(frozenset(f"m{number}" for number in range(first, first + count)))
                scale.fleet.kills.append(lambda child=child: _killed(child))  # type: ignore[misc]
            row = await scale.measure(duties, False, lasts, began, 0.0, changes)
        finally:
            for child in children:
                await _killed(child)
    return row


async def _begun(child: asyncio.subprocess.Process, plan: Plan) -> None:
    assert child.stdin is not None and child.stdout is not None
    child.stdin.write(msgspec.json.encode(plan) + b"\n")
    async with asyncio.timeout(PATIENCE):
        if not await child.stdout.readline():
            raise RigError("a process of members ended at its start")


async def _killed(child: asyncio.subprocess.Process) -> None:
    process.kill(child)
    await child.wait()


def sort(troubles: int | None) -> tuple[str, ...]:
    """How many trivial nodes, and of which kind."""
    return ("4",) if troubles is None else ("8", str(troubles))


def block(endpoints: Sequence[str], ttl: int) -> str:
    named = ", ".join(f'"{endpoint}"' for endpoint in endpoints)
    return f'coordination {{\n  endpoints = [{named}]\n  prefix = "{PREFIX}"\n  ttl_s = {ttl}\n}}\n'


@contextlib.asynccontextmanager
async def proxies(
    count: int,
    folder: Path,
    features: str | Sequence[str],
    harms: Sequence[str] = ("",),
    troubles: int | None = None,
) -> AsyncIterator[list[Proxy]]:
    """Real ones before trivial nodes, with one settings file or one each; ended by force, all at once.
    `troubles`: a seed of what the nodes suffer meanwhile."""
    nodes = await process.start(*process.python("gladegw.rig.nodes.trivial", *sort(troubles)))
    book = ledger.Ledger(folder / "rig.jsonl")
    started: list[Proxy] = []
    try:
        assert nodes.stdout is not None
        told = msgspec.json.decode(await nodes.stdout.readline())
        for number in range(count):
            name = f"p{number}"
            listen = f"127.0.0.1:{free_port()}"
            raw = config(SCENARIO, name, listen, told["discovery"], told["known"], 0, number, "a")
            own = features if isinstance(features, str) else features[number]
            started.append(Proxy(name, raw, folder, book, own))
            started[-1].harm = harms[number % len(harms)]
        for first in range(0, count, AT_ONCE):
            some = started[first : first + AT_ONCE]
            await asyncio.gather(*(proxy.start() for proxy in some))
            await asyncio.gather(*(proxy.ready() for proxy in some))
        yield started
    finally:
        await asyncio.gather(*(proxy.kill() for proxy in started))
        await process.end(nodes)
        book.close()


async def fleet_of(count: int, ttl: int, lasts: float) -> Row:
    """Serving proxies, first without the block. Raises RigError."""
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        async with proxies(count, folder / "without", "") as running:
            await asyncio.sleep(2 * ttl)
            alone = Members()
            alone.pids = [lambda proxy=proxy: proxy.pid for proxy in running]  # type: ignore[misc]
            cpu, at = alone.cpu(), time.monotonic()
            await asyncio.sleep(lasts)
            without = (alone.cpu() - cpu) / (time.monotonic() - at) / count
        async with stand() as store:
            file = folder / "with.hcl"
            file.write_text(block(store.endpoints, ttl), encoding="utf-8")
            scale = Scale(store, count, ttl)
            began = time.monotonic()
            async with proxies(count, folder / "with", str(file)) as running:
                scale.fleet.pids = [lambda proxy=proxy: proxy.pid for proxy in running]  # type: ignore[misc]
                scale.fleet.names = [frozenset((proxy.name,)) for proxy in running]
                scale.fleet.kills = [proxy.kill for proxy in running]
                row = await scale.measure(len(ALL), True, lasts, began, without)
    return row
