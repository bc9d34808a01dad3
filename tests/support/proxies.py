"""Several real proxies in front of the rig's servers, each with its own clients."""

from __future__ import annotations

import asyncio
import contextlib
import json
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any, Self

from gladegw.rig.nodes.many import ManyServers
from support.loopback import (
    PATIENCE,
    ROOT,
    Caller,
    config,
    free_address,
    listing,
    response,
    start_program,
    until_ready,
)


class WatchedDiscovery:
    """A fake discovery whose watches wait for the next change; it holds only the latest change."""

    def __init__(self) -> None:
        self.version = 1
        self.change = b""
        self.changed = asyncio.Condition()
        self.watches = 0  # watch calls that are waiting
        self.delivered_at = 0.0  # time at which a watch was last answered with a change
        self.address = ""

    async def start(self) -> Self:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        raise NotImplementedError

    async def watch(self, target: str, ends: Callable[[], bool] = lambda: False) -> bytes:
        """Return the response to a watch once there is a change, its wait is over or `ends` returns true."""
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        version, wait_s = int(query["from"]), int(query["hold_ms"]) / 1000
        self.watches += 1
        try:
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self.version > version or ends())
        except TimeoutError:
            return response(200, json.dumps(listing(version, snapshot=False)).encode())
        finally:
            self.watches -= 1
        if not ends():
            self.delivered_at = time.monotonic()
        return response(200, self.change)

    async def publish(self, change: dict[str, object]) -> None:
        async with self.changed:
            self.version += 1
            self.change = json.dumps(change).encode()
            self.changed.notify_all()


class Proxies:
    """Real proxies in front of many servers, and the status codes that their clients received."""

    def __init__(
        self,
        processes: list[asyncio.subprocess.Process],
        addresses: list[tuple[str, int]],
        logs: list[list[bytes]],
        configs: list[Path],
    ) -> None:
        self.processes, self.addresses = processes, addresses
        self.configs = configs  # the file that each proxy reads again on SIGHUP
        self.logs = logs  # the lines that each proxy has written to standard error
        self.readers: list[asyncio.Task[None]] = []  # they read these lines
        self.codes: list[int] = []
        self.answered_at: list[float] = []  # when each of these was received
        self.callers: list[tuple[str, int]] = []

    async def start(self, config_path: Path) -> asyncio.subprocess.Process:
        """Start a proxy with a configuration, beside which its settings file lies."""
        raw, folder = json.loads(config_path.read_text()), config_path.parent
        process = await start_program(raw, str(folder), "-f", str(folder / "malabar.hcl"))
        self.logs.append([])
        # A pipe that is not read to its end keeps `wait` from returning.
        self.readers.append(asyncio.create_task(collect(process, self.logs[-1])))
        return process

    def change_config(self, number: int, **changes: object) -> None:
        """Write a proxy's configuration anew with other top-level values."""
        path = self.configs[number]
        path.write_text(json.dumps(json.loads(path.read_text()) | changes))

    async def restart(self, number: int) -> None:
        """Kill a proxy, start it again and wait until it is ready."""
        self.processes[number].kill()
        await self.processes[number].wait()
        self.processes[number] = await self.start(self.configs[number])
        await until_ready(self.addresses[number])

    def codes_between(self, begin: float, end: float) -> list[int]:
        """Return the status codes received between two monotonic times."""
        return [code for code, at in zip(self.codes, self.answered_at, strict=True) if begin <= at < end]

    async def ask(self, address: tuple[str, int], every: float) -> None:
        client_number = len(self.callers)
        self.callers.append(address)
        number = 0
        caller = Caller(*await asyncio.open_connection(*address))
        while True:
            number += 1
            started = time.monotonic()
            reply = await caller.call("stock", f"{client_number:08x}{number:08x}")
            self.codes.append(reply.code)
            self.answered_at.append(time.monotonic())
            await asyncio.sleep(max(0.0, started + every - time.monotonic()))


async def collect(process: asyncio.subprocess.Process, lines: list[bytes]) -> None:
    """Append each line of a process's standard error to `lines` until it ends."""
    assert process.stderr is not None
    while line := await process.stderr.readline():
        lines.append(line)


@contextlib.asynccontextmanager
async def proxies(
    count: int, servers: ManyServers, discovery: WatchedDiscovery, **changes: Any
) -> AsyncIterator[Proxies]:
    """Start proxies with the deployment's features and yield them once all are ready and watch discovery.

    `changes` are changes of settings.
    """
    features = (ROOT / "deploy" / "malabar.hcl").read_text()
    endpoints = servers.listing(1)
    fleet = Proxies([], [], [], [])
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number in range(count):
                listen = free_address()
                raw = config(discovery.address, endpoints, listen, **changes, balancers=count, me=number)
                directory = Path(folder) / str(number)
                directory.mkdir()
                (directory / "malabar.hcl").write_text(features)
                path = directory / "config.json"
                path.write_text(json.dumps(raw))
                fleet.configs.append(path)
                fleet.processes.append(await fleet.start(path))
                host, _, port = listen.rpartition(":")
                fleet.addresses.append((host, int(port)))
            for address in fleet.addresses:
                await until_ready(address)
            async with asyncio.timeout(PATIENCE):
                while discovery.watches < count:
                    await asyncio.sleep(0.01)
            yield fleet
        finally:
            for process in fleet.processes:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
            await asyncio.gather(*fleet.readers)
