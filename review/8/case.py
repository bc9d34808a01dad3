"""Case 8: after a new configuration, requests go to a backend whose drain counts as told."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path
from typing import Any

from bench2 import (
    TROUBLE,
    CouldNotRunError,
    Discovery,
    Proxy,
    Record,
    configuration,
    endpoint,
    message,
    play,
)
from draining import GRADES, DrainingBackend, client, summary

PROXIES = 3
WORK_S = 0.2  # of a request at a backend
CLIENTS = 6  # of each proxy
HUP_AFTER_S = 3.0  # from the begin of load; the program runs and is ready for longer than a second
DRAIN_AFTER_HUP_S = 2.0
OLD_ADDRESS_CLOSES_S = 1.5  # after the signal, says the page
REFUSED_CALLS = 2  # that a crowded discovery lets wait too long
CALL_WAITS_S = 1.0  # until it fails: `timeout_ms` of the site file
TOLD_AFTER_HUP_S = 4.0
GRACE_S = 0.5 + 0.05  # `drain_grace` of the settings, and what sockets add to every limit
WATCHED_S = 12.0  # from the signal


class CrowdedDiscovery(Discovery):
    """Discovery at the new address: the first calls wait too long and end with 503, as the page says."""

    refused = 0

    async def answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        """Answer one call, or let it wait too long."""
        if TROUBLE and self.refused < REFUSED_CALLS:
            self.refused += 1
            await asyncio.sleep(CALL_WAITS_S)
            self.record.add(f"new discovery: call {self.refused} has waited too long: 503")
            writer.write(message(503))
            return
        if "from=" not in target:
            self.record.add("new discovery: whole list")
        await super().answer(target, writer)


class OldDiscovery(Discovery):
    """Discovery at the old address, which closes its open connections after a new configuration."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.writers: set[asyncio.StreamWriter] = set()

    async def answer(self, target: str, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        self.writers.add(writer)
        await super().answer(target, writer)

    async def leave(self) -> None:
        """Take no new connections, and close the open ones after the time that the page names."""
        self.server.close()
        await asyncio.sleep(OLD_ADDRESS_CLOSES_S)
        for writer in self.writers:
            writer.close()
        self.record.add("old discovery closed its connections")


def change_configurations(
    proxies: list[Proxy], raws: list[dict[str, Any]], new: list[CrowdedDiscovery]
) -> float:
    """Give each proxy its new address of discovery; return when the last one was signaled."""
    for proxy, raw, discovery in zip(proxies, raws, new, strict=True):
        changed = json.dumps(raw | {"discovery": discovery.address})
        (proxy.folder / "config.json").write_text(changed, encoding="utf-8")
    for proxy in proxies:
        proxy.send_signal(signal.SIGHUP)
    return time.monotonic()


async def case(record: Record, folder: Path) -> bool:
    """Give the proxies a new configuration under load; a backend that is replaced begins to drain.

    As on the bench, each proxy reaches discovery at an address of its own.
    """
    old = await OldDiscovery(record).start()
    new = [await CrowdedDiscovery(record).start() for _ in range(PROXIES)]
    backends = [await DrainingBackend(record, f"s{number}", WORK_S).start() for number in range(4)]
    drained = backends[0]
    for discovery in (old, *new):
        await discovery.put(*(endpoint(backend.name, backend.address) for backend in backends))
    proxies, raws = [], []
    codes: dict[str, str] = {}
    clients: list[asyncio.Task[None]] = []
    try:
        for number in range(PROXIES):
            own = folder / str(number)
            own.mkdir()
            raws.append(configuration(old, {"balancers": PROXIES, "me": number, "grades": GRADES}))
            proxies.append(Proxy(record, own, raws[-1]))
        await asyncio.gather(*(proxy.start() for proxy in proxies))
        clients += [
            asyncio.create_task(client(proxies[number % PROXIES], f"case8-{number}", codes))
            for number in range(PROXIES * CLIENTS)
        ]
        await asyncio.sleep(HUP_AFTER_S)
        if not all(backend.reached_at for backend in backends):
            raise CouldNotRunError("a backend got no request before the signal")
        signaled_at = change_configurations(proxies, raws, new)
        leaving = asyncio.create_task(old.leave())
        await asyncio.sleep(DRAIN_AFTER_HUP_S)
        ending = asyncio.create_task(drained.end_after_drain())
        for discovery in new:
            await discovery.put(endpoint(drained.name, drained.address, "Terminating"))
        await leaving
        await ending
        await asyncio.sleep(signaled_at + WATCHED_S - time.monotonic())
    finally:
        for task in clients:
            task.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        for proxy in proxies:
            await proxy.end()
    record.add(summary(codes))
    return drained.judge(signaled_at, TOLD_AFTER_HUP_S + GRACE_S, "SIGHUP", codes)


play(case, Path(__file__).parent)
