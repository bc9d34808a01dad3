"""Several real proxies before the servers of the rig, each asked by clients of its own."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, Protocol

from netkit import PATIENCE, ROOT, Caller, config, free_address, start_program, until_ready

from granitepoint.rig.nodes.many import ManyServers


class Watched(Protocol):
    """A stand-in for discovery."""

    address: str

    @property
    def watches(self) -> int:
        """Calls that wait for news."""
        ...


class Proxies:
    """Real proxies before many servers, each asked by a client of its own."""

    def __init__(self, processes: list[asyncio.subprocess.Process], addresses: list[tuple[str, int]]) -> None:
        self.processes, self.addresses = processes, addresses
        self.codes: list[int] = []
        self.callers: list[tuple[str, int]] = []

    async def ask(self, address: tuple[str, int], every: float) -> None:
        name = len(self.callers)
        self.callers.append(address)
        number = 0
        caller = Caller(*await asyncio.open_connection(*address))
        while True:
            number += 1
            began = time.monotonic()
            reply = await caller.call("stock", f"{name:08x}{number:08x}")
            self.codes.append(reply.code)
            await asyncio.sleep(max(0.0, began + every - time.monotonic()))


@contextlib.asynccontextmanager
async def proxies(
    count: int, servers: ManyServers, discovery: Watched, **changes: Any
) -> AsyncIterator[Proxies]:
    """Started, ready and watching discovery, with the features of the deployment. `changes`: of settings."""
    features = (ROOT / "deploy" / "malabar.hcl").read_text()
    known = servers.listing(1)
    processes: list[asyncio.subprocess.Process] = []
    addresses: list[tuple[str, int]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number in range(count):
                listen = free_address()
                raw = config(discovery.address, known, listen, **changes, balancers=count, me=number)
                place = Path(folder) / str(number)
                place.mkdir()
                (place / "malabar.hcl").write_text(features)
                processes.append(await start_program(raw, str(place), "-f", str(place / "malabar.hcl")))
                host, _, port = listen.rpartition(":")
                addresses.append((host, int(port)))
            for address in addresses:
                await until_ready(address)
            async with asyncio.timeout(PATIENCE):
                while discovery.watches < count:
                    await asyncio.sleep(0.01)
            yield Proxies(processes, addresses)
        finally:
            for process in processes:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
