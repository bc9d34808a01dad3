"""A supervisor's link to the store: what the store says of versions, and what it is told of one name."""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from collections.abc import Callable
from dataclasses import replace
from random import Random

from gladegw.control.backoff import Backoff
from gladegw.control.clock import boot
from gladegw.control.errors import RefusedByStore, StoreFault
from gladegw.control.keys import Keys
from gladegw.control.member import SAID, Options
from gladegw.control.store_cache import View
from gladegw.control.store_client import Client
from gladegw.control.store_watcher import Follower
from gladegw.coordination.records import ProgramRecord, SupervisorRecord, encode
from gladegw.coordination.store import Put
from gladegw.coordination.supervision import VersionOrder, apply_order

log = logging.getLogger(__name__)

TICK = 0.05  # s between looks whether there is something new to tell


class Companion:
    """`order` is the store's last word; `told` gives what the store is to know. One task each reads, writes,
    and neither failing touches the processes."""

    def __init__(
        self, options: Options, name: str, order: VersionOrder, told: Callable[[], SupervisorRecord]
    ) -> None:
        self.name, self.order, self.told, self.ttl = name, order, told, options.ttl
        self.keys = Keys(options.prefix)
        self.view = View(self.keys)
        self.client = Client(options.endpoints, options.timeout, options.token_file)
        self.watcher = Client(options.endpoints, options.timeout, options.token_file)
        self.draws = Random(secrets.token_hex(8))
        self.silence = max(2.0, options.ttl / 2)
        self.said: dict[str, float] = {}

    def trouble(self, what: str) -> None:
        """One line for each kind of trouble, every SAID s at most."""
        kind, now = what.partition(":")[0], time.monotonic()
        if now > self.said.get(kind, -SAID) + SAID:
            self.said[kind] = now
            log.warning("supervise: %s", " ".join(what.split()))

    def heard(self, events: object) -> None:
        program = self.view.read(self.keys.program, ProgramRecord)
        sign = self.view.keys.get(self.keys.sign)
        if program is not None:
            self.order = apply_order(
                self.order,
                self.name,
                program.epoch,
                program.version,
                program.new,
                program.named,
                float(program.confirm_s),
                sign.mod_revision if sign is not None else 0,
                boot(),
            )

    async def follow(self) -> None:
        follower = Follower(
            self.watcher,
            self.view,
            self.keys.policy,
            self.silence,
            Backoff(self.draws),
            self.trouble,
            self.heard,
        )
        await follower.run()

    async def tell(self) -> None:
        """The record under a lease, at each change; where the lease is gone, under another."""
        backoff, lease, due = Backoff(self.draws), 0, 0.0
        last: SupervisorRecord | None = None
        while True:
            try:
                now = boot()
                if lease and now >= due and not await self.client.keep_alive(lease):
                    lease = 0
                if not lease:
                    lease, last = (await self.client.grant(self.ttl))[0], None
                if now >= due:
                    due = now + self.ttl / 3
                if (record := self.told()) != last:
                    await self.client.do(Put(self.keys.supervisor(self.name), encode(record), lease))
                    last = record
                backoff.reset()
                await asyncio.sleep(TICK)
            except StoreFault as fault:
                if isinstance(fault, RefusedByStore):
                    lease = 0
                self.trouble(f"the store is not reached: {fault}")
                last = None
                await asyncio.sleep(backoff.next())

    def without_clock(self) -> VersionOrder:
        """What is kept of the order from one supervisor to the next: its clock goes on elsewhere."""
        return replace(self.order, heard=0.0, sign=0)

    def close(self) -> None:
        self.client.close()
        self.watcher.close()
