"""Store client of a supervisor: reads the version order and publishes the supervisor's status."""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from collections.abc import Callable
from dataclasses import replace
from random import Random

from gladegw.control.backoff import Backoff
from gladegw.control.clock import boot_time
from gladegw.control.errors import StoreClientError, StoreRejectedError
from gladegw.control.keys import Keys
from gladegw.control.store_cache import StoreCache
from gladegw.control.store_client import StoreClient
from gladegw.control.store_options import LOG_INTERVAL_S, StoreOptions
from gladegw.control.store_watcher import StoreWatcher
from gladegw.coordination.records import ProgramRecord, SupervisorRecord, encode
from gladegw.coordination.store import Put
from gladegw.coordination.supervision import VersionOrder, apply_order

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.05  # between checks whether the status has changed


class SupervisorClient:
    """Connection of one supervisor to the store.

    `order` is the latest version order and `status` returns the record to publish. `watch` and `publish`
    each run as one task. Faults of the store do not affect the supervised processes.
    """

    def __init__(
        self, options: StoreOptions, name: str, order: VersionOrder, status: Callable[[], SupervisorRecord]
    ) -> None:
        self.name, self.order, self.status, self.ttl = name, order, status, options.ttl
        self.keys = Keys(options.prefix)
        self.cache = StoreCache(self.keys)
        self.client = StoreClient(options.endpoints, options.timeout, options.token_file)
        self.watch_client = StoreClient(options.endpoints, options.timeout, options.token_file)
        self.random = Random(secrets.token_hex(8))
        self.silence = max(2.0, options.ttl / 2)
        self.last_logged: dict[str, float] = {}

    def log_fault(self, message: str) -> None:
        """Log a fault, at most every LOG_INTERVAL_S for each kind: the part before the first colon."""
        kind, now = message.partition(":")[0], time.monotonic()
        if now > self.last_logged.get(kind, -LOG_INTERVAL_S) + LOG_INTERVAL_S:
            self.last_logged[kind] = now
            log.warning("supervise: %s", " ".join(message.split()))

    def on_update(self, events: object) -> None:
        """Update the version order from the program record and the controller's heartbeat."""
        program = self.cache.read(self.keys.program, ProgramRecord)
        heartbeat = self.cache.entries.get(self.keys.rollout_heartbeat)
        if program is not None:
            self.order = apply_order(
                self.order,
                self.name,
                program.epoch,
                program.version,
                program.new,
                program.named,
                float(program.confirm_s),
                heartbeat.mod_revision if heartbeat is not None else 0,
                boot_time(),
            )

    async def watch(self) -> None:
        """Watch the policy keys until cancelled."""
        watcher = StoreWatcher(
            self.watch_client,
            self.cache,
            self.keys.policy,
            self.silence,
            Backoff(self.random),
            self.log_fault,
            self.on_update,
        )
        await watcher.run()

    async def publish(self) -> None:
        """Publish the status record at each change, under a lease that is replaced after it expires."""
        backoff, lease, due = Backoff(self.random), 0, 0.0
        last: SupervisorRecord | None = None
        while True:
            try:
                now = boot_time()
                if lease and now >= due and not await self.client.keep_alive(lease):
                    lease = 0
                if not lease:
                    lease, last = (await self.client.grant(self.ttl))[0], None
                if now >= due:
                    due = now + self.ttl / 3
                if (record := self.status()) != last:
                    await self.client.do(Put(self.keys.supervisor(self.name), encode(record), lease))
                    last = record
                backoff.reset()
                await asyncio.sleep(POLL_INTERVAL_S)
            except StoreClientError as fault:
                if isinstance(fault, StoreRejectedError):
                    lease = 0
                self.log_fault(f"the store is unreachable: {fault}")
                last = None
                await asyncio.sleep(backoff.next_delay())

    def without_clock(self) -> VersionOrder:
        """Return the order without clock-dependent fields, to hand over to another supervisor process."""
        return replace(self.order, heard=0.0, sign=0)

    def close(self) -> None:
        """Close the connections."""
        self.client.close()
        self.watch_client.close()
