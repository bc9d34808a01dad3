"""A real proxy whose servers begin to drain while its discovery has a fault, and what is counted of it."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from gladegw.rig.nodes.many import ManyServers
from support.faulty_discovery import FaultyDiscovery
from support.loopback import SETTINGS, Caller
from support.proxies import Proxies, proxies

SERVERS = 4
REQUEST_TIME_S = 0.02  # that a server takes for a request
REQUEST_INTERVAL_S = 0.05  # between two requests of a client
CLIENTS = 4
SETTLED_S = 1.5  # after the start, until a play begins
KNOWN_WITHIN_S = 6.0  # after which a change counts as known
DRAIN_GRACE_S = 0.55  # of a drain, including slack for the sockets
BURST = 24  # requests that wait at a proxy that stands still
CONTRACT = {**SETTINGS["contract"], "drain_grace": 0.5}


@dataclass
class Surroundings:
    """A proxy with its servers, clients and discovery."""

    servers: ManyServers
    discovery: FaultyDiscovery
    fleet: Proxies
    drained: frozenset[int] = frozenset({0, 1, 2})
    clients: list[asyncio.Task[None]] = field(default_factory=list)

    def connect_clients(self) -> None:
        """Let clients send requests, each on a connection of its own."""
        address = self.fleet.addresses[0]
        self.clients += [
            asyncio.create_task(self.fleet.ask(address, REQUEST_INTERVAL_S)) for _ in range(CLIENTS)
        ]

    def disconnect_clients(self) -> None:
        for task in self.clients:
            task.cancel()
        self.clients.clear()

    async def restart_proxy(self) -> None:
        """Kill the proxy, start it with the list that it had last, and wait until it is ready."""
        self.disconnect_clients()
        known = self.servers.listing(self.discovery.version)
        self.fleet.change_config(0, known=known)
        await self.fleet.restart(0)
        self.connect_clients()

    async def drain(self) -> float:
        """Let servers drain; returns when."""
        at = time.monotonic()
        version = self.discovery.version + 1
        await self.discovery.publish(self.servers.drain(set(self.drained), version))
        return at

    def late(self, since: float) -> list[float]:
        """Seconds from `since` to each request that came to a draining server later."""
        return [one.at - since for one in self.servers.calls_to(set(self.drained), since)]

    def stop_proxy(self) -> None:
        self.fleet.processes[0].send_signal(signal.SIGSTOP)

    def continue_proxy(self) -> None:
        self.fleet.processes[0].send_signal(signal.SIGCONT)

    async def burst(self) -> list[asyncio.Task[Any]]:
        """Write requests on new connections, which the proxy reads together once it goes on."""
        callers = [Caller(*await asyncio.open_connection(*self.fleet.addresses[0])) for _ in range(BURST)]
        tasks = []
        for number, caller in enumerate(callers):
            caller.send("stock", f"{number:016x}")
            tasks.append(asyncio.create_task(caller.answer()))
        return tasks


@asynccontextmanager
async def surroundings(
    probes: bool = True, healthy: bool = True, count: int = SERVERS
) -> AsyncIterator[Surroundings]:
    """Start a proxy with a settled watch; a draining server completes requests as before.

    `probes`: whether probes are allowed; `healthy`: whether a draining server answers them; `count`: servers.
    """
    servers, discovery = await ManyServers(count, REQUEST_TIME_S).start(), await FaultyDiscovery().start()
    servers.rejects, servers.healthy_draining = False, healthy
    limits = {**SETTINGS["policy_limits"], "probes": probes}
    async with proxies(1, servers, discovery, contract=CONTRACT, policy_limits=limits) as fleet:
        around = Surroundings(servers, discovery, fleet)
        around.connect_clients()
        await asyncio.sleep(SETTLED_S)
        yield around
        around.disconnect_clients()
    servers.stop()
