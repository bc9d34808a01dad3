"""A proxy before 3,200 servers: drains take hold in time at a small share of a core, and while discovery is
crowded."""

from __future__ import annotations

import asyncio
import contextlib
import time

from support.loopback import SETTINGS, read_message, response, run
from support.proxies import WatchedDiscovery, proxies

from gladegw.rig.cpu_limit import CpuShare
from gladegw.rig.nodes.many import ManyServers

SERVERS = 3200
GRACE = 0.55  # s, with the slack of sockets
TOLD_WITHIN = 6.0  # s after which a change counts as told, also where each call was refused
PATIENCE = 2.0  # s that a call waits until discovery refuses it
SHARE = 0.2  # of a core
WORK = 0.1  # s of a call
CLIENTS = 8  # of each proxy that come at once
CONTRACT = {**SETTINGS["contract"], "drain_grace": 0.5}


class CrowdedDiscovery(WatchedDiscovery):
    """Refuses every call while it is `crowded`, and then ends the watches that it has."""

    def __init__(self) -> None:
        super().__init__()
        self.crowded = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                line, _, _ = await read_message(reader)
                writer.write(await self._answer(line.split(" ")[1]))
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> bytes:
        if self.crowded:
            await asyncio.sleep(PATIENCE)
            return response(503)
        answer = await self.watch(target, lambda: self.crowded)
        return response(503) if self.crowded else answer

    async def crowd(self) -> None:
        async with self.changed:
            self.crowded = True
            self.changed.notify_all()


def test_a_quarter_of_3200_servers_drains_in_time_at_a_small_share_of_a_core() -> None:
    async def test() -> None:
        servers, discovery = await ManyServers(SERVERS).start(), await CrowdedDiscovery().start()
        async with proxies(1, servers, discovery, contract=CONTRACT) as fleet:
            with CpuShare(fleet.processes[0].pid, SHARE):
                asking = [asyncio.create_task(fleet.ask(fleet.addresses[0], 0.05)) for _ in range(4)]
                await asyncio.sleep(1.0)
                drained = set(range(0, SERVERS, 4))
                await discovery.publish(servers.drain(drained, 2))
                await asyncio.sleep(2.0)
                late = servers.calls_to(drained, discovery.delivered_at + GRACE)
                for task in asking:
                    task.cancel()
        servers.stop()
        assert not late, late[0].at - discovery.delivered_at
        assert fleet.codes.count(200) > 20

    run(test())


def test_no_call_goes_to_a_drained_server_though_discovery_refuses_every_call() -> None:
    """What was seen with report 83daec: the watches end with 503, servers begin to drain, each call to
    discovery is refused after 2 s, and when the drain counts as known more clients come than before, so that
    servers are used which had not been asked since."""

    async def test() -> None:
        servers, discovery = await ManyServers(SERVERS, WORK).start(), await CrowdedDiscovery().start()
        async with proxies(4, servers, discovery, contract=CONTRACT) as fleet:
            asking = [asyncio.create_task(fleet.ask(address, 0.15)) for address in fleet.addresses]
            await asyncio.sleep(0.5)
            await discovery.crowd()
            drained = set(range(0, SERVERS, 4))
            begun = time.monotonic()
            servers.drain(drained, 2)
            await asyncio.sleep(TOLD_WITHIN + GRACE)
            quiet = len(fleet.codes)
            burst = [address for address in fleet.addresses for _ in range(CLIENTS)]
            asking += [asyncio.create_task(fleet.ask(address, 0.15)) for address in burst]
            await asyncio.sleep(3.0)
            late = servers.calls_to(drained, begun + TOLD_WITHIN + GRACE)
            for task in asking:
                task.cancel()
        servers.stop()
        assert not late, (len(late), late[0].at - begun)
        assert fleet.codes[quiet:].count(200) > 0.5 * len(fleet.codes[quiet:]) > CLIENTS

    run(test())
