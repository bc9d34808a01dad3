"""A scenario's store: the stand-in beside the fleet, a relay on each proxy's link to each of its members, and
an operator who changes the policy again and again."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from gladegw.control.errors import StoreClientError
from gladegw.control.policy_proposals import PolicyOperator
from gladegw.control.store_client import StoreClient, addresses
from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.faults.links import Link
from gladegw.rig.faults.schedule import Step
from gladegw.rig.judging import ledger
from gladegw.rig.measures.failover import Stand
from gladegw.rig.scenario import Store
from gladegw.rig.store.launch import launch
from gladegw.rig.store.record import RECORD

UNBOUNDED = 1 << 40  # bytes that a store takes which is not full
FULL = 1


OPERATOR = 1.0  # s for a call of the operator's
DEADLINE = 10  # s of a change


def routes(number: int) -> str:
    """All requests to all nodes, in other words each time."""
    pool = 'pool "all" {\n  names = ["*"]\n}\n'
    edit = f'  edit_headers {{\n    put = {{ "x-word" = "w{number}" }}\n  }}\n'
    return f'{pool}route "all" {{\n  prefix = "/"\n  pool = "all"\n{edit}}}\n'


class Coordinated:
    def __init__(self, settings: Store, folder: Path) -> None:
        self.settings, self.folder = settings, folder
        self.links: dict[str, list[Link]] = {}
        self.stand: Stand | None = None
        self.asking = asyncio.Lock()  # one order at a time: answers come in order

    async def start(self) -> None:
        record = self.folder / RECORD
        child, endpoints = await launch(self.settings.members, "--record", str(record.resolve()))
        self.stand = Stand(child, endpoints)

    async def features(self, name: str, base: str, root: Path) -> str:
        """This proxy's settings file: what it would have without a store, and the block. Raises RigError."""
        assert self.stand is not None
        links = self.links[name] = [Link(target) for target in self.stand.endpoints]
        for link in links:
            await link.__aenter__()
        try:
            text = (root / base).read_text(encoding="utf-8") if base else ""
        except OSError as fault:
            raise RigError(f"{root / base}: {fault.strerror or fault}") from None
        named = ", ".join(f'"{link.address}"' for link in links)
        settings = self.settings
        text += (
            f'\ncoordination {{\n  endpoints = [{named}]\n  prefix = "{settings.prefix}"\n'
            f"  ttl_s = {settings.ttl_s}\n  timeout_ms = {settings.timeout_ms}\n}}\n"
        )
        if settings.policy:
            first = self.folder / "site.routes.hcl"
            first.write_text(routes(0), encoding="utf-8")
            text += f'routes {{\n  file = "{first.resolve()}"\n}}\n'
            text += f'policy {{\n  when_cut_off = "{settings.policy}"\n}}\n'
        file = self.folder / "proxies" / name / "features.hcl"
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_text(text, encoding="utf-8")
        return str(file.resolve())

    async def changing(self, book: ledger.Ledger) -> None:
        """A band in the ledger for each change; its target is what came of it."""
        assert self.stand is not None
        client = StoreClient(addresses(self.stand.endpoints), OPERATOR)
        operator, number = PolicyOperator(client, self.settings.prefix), 0
        try:
            while True:
                await asyncio.sleep(self.settings.changes_every_s)
                number += 1
                began = time.monotonic()
                try:
                    digest = await operator.upload({"site.routes.hcl": routes(number)})
                    everyone = self.settings.policy == "serve"
                    change = await operator.propose(digest, DEADLINE, everyone, "rig", "", False)
                    outcome = (await operator.outcome(change, DEADLINE)).outcome
                except (StoreClientError, ValueError):
                    outcome = "unknown"
                book.put(ledger.FaultBand("policy", began, time.monotonic(), outcome))
        finally:
            client.close()

    # faults
    async def order(self, do: str, member: int = 0, size: float = 0.0) -> str:
        assert self.stand is not None
        async with self.asking:
            return await self.stand.order(do, member, size)

    async def begin(self, step: Step) -> int:
        """The member that it was done to; raises RigError."""
        if step.action == "cut":
            for link in self.links[step.target]:
                link.cut(step.manner)
            return 0
        assert self.stand is not None
        async with self.asking:
            leader = await self.stand.leader()
        member = leader if step.manner != "follower" else (leader + 1) % self.settings.members
        if step.action in ("store_kill", "store_stop", "store_depose"):
            await self.order(step.action.removeprefix("store_"), member)
        elif step.action == "store_slow":
            await self.order("slow", size=step.size)
        elif step.action == "store_full":
            await self.order("full", size=FULL)
        elif step.action == "store_forward":
            await self.order("forward", size=step.size)
        return member

    async def over(self, step: Step, member: int) -> None:
        if step.action == "cut":
            for link in self.links[step.target]:
                link.heal()
        elif step.action == "store_kill":
            await self.order("start", member)
        elif step.action == "store_stop":
            await self.order("go", member)
        elif step.action == "store_slow":
            await self.order("slow")
        elif step.action == "store_full":
            await self.order("full", size=UNBOUNDED)

    async def end(self) -> None:
        for links in self.links.values():
            for link in links:
                await link.__aexit__()
        if self.stand is not None:
            await process.end(self.stand.child)
