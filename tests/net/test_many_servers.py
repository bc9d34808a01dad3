"""Proxies with 3,200 servers: drains take effect in time with little CPU and with discovery overloaded."""

from __future__ import annotations

import asyncio
import contextlib
import time

from support.loopback import SETTINGS, read_message, response, run
from support.proxies import WatchedDiscovery, proxies

from gladegw.rig.cpu_limit import CpuShare
from gladegw.rig.nodes.many import ManyServers

SERVERS = 3200
DRAIN_GRACE_S = 0.55  # of a drain, including slack for the sockets
KNOWN_WITHIN_S = 6.0  # after which a change counts as known, even if every call was rejected
REJECTION_DELAY_S = 2.0  # that a call queues until discovery rejects it
CPU_SHARE = 0.2  # of a core
CALL_TIME_S = 0.1  # that a server takes for a call
RECOVERED_WITHIN_S = 9.0  # from the end of the overload: a rejected call is repeated some seconds later
BURST_PER_PROXY = 8  # additional clients per proxy that start at once
CONTRACT = {**SETTINGS["contract"], "drain_grace": 0.5}


class OverloadableDiscovery(WatchedDiscovery):
    """Rejects every call while it is `overloaded`, and ends its open watches when that begins."""

    def __init__(self) -> None:
        super().__init__()
        self.overloaded = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                line, _, _ = await read_message(reader)
                writer.write(await self._answer(line.split(" ")[1]))
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> bytes:
        if self.overloaded:
            await asyncio.sleep(REJECTION_DELAY_S)
            return response(503)
        answer = await self.watch(target, lambda: self.overloaded)
        return response(503) if self.overloaded else answer

    async def overload(self) -> None:
        async with self.changed:
            self.overloaded = True
            self.changed.notify_all()


def test_drains_of_a_quarter_of_3200_servers_take_effect_in_time_with_little_cpu() -> None:
    async def test() -> None:
        servers, discovery = await ManyServers(SERVERS).start(), await OverloadableDiscovery().start()
        async with proxies(1, servers, discovery, contract=CONTRACT) as fleet:
            with CpuShare(fleet.processes[0].pid, CPU_SHARE):
                client_tasks = [asyncio.create_task(fleet.ask(fleet.addresses[0], 0.05)) for _ in range(4)]
                await asyncio.sleep(1.0)
                drained = set(range(0, SERVERS, 4))
                await discovery.publish(servers.drain(drained, 2))
                await asyncio.sleep(2.0)
                late = servers.calls_to(drained, discovery.delivered_at + DRAIN_GRACE_S)
                for task in client_tasks:
                    task.cancel()
        servers.stop()
        assert not late, late[0].at - discovery.delivered_at
        assert fleet.codes.count(200) > 20

    run(test())


def test_no_call_is_sent_to_a_draining_server_though_discovery_rejects_every_call() -> None:
    """Guards against requests to draining servers that have not been used since the drain (report 83daec).

    The watches end with 503, servers begin to drain, and each call to discovery is rejected after 2 s. When
    the drain counts as known, more clients start, so that further servers would be used. Answered probes
    prove nothing, so all requests are refused until discovery is heard, and served from then on.
    """

    async def test() -> None:
        servers, discovery = (
            await ManyServers(SERVERS, CALL_TIME_S).start(),
            await OverloadableDiscovery().start(),
        )
        async with proxies(4, servers, discovery, contract=CONTRACT) as fleet:
            client_tasks = [asyncio.create_task(fleet.ask(address, 0.15)) for address in fleet.addresses]
            await asyncio.sleep(0.5)
            await discovery.overload()
            drained = set(range(0, SERVERS, 4))
            begun = time.monotonic()
            servers.drain(drained, 2)
            await asyncio.sleep(KNOWN_WITHIN_S + DRAIN_GRACE_S)
            burst_start = len(fleet.codes)
            burst = [address for address in fleet.addresses for _ in range(BURST_PER_PROXY)]
            client_tasks += [asyncio.create_task(fleet.ask(address, 0.15)) for address in burst]
            await asyncio.sleep(3.0)
            refused = fleet.codes[burst_start:]
            discovery.overloaded = False
            await discovery.publish(servers.listing(3))
            await asyncio.sleep(RECOVERED_WITHIN_S)
            recovered_at = len(fleet.codes)
            await asyncio.sleep(2.0)
            late = servers.calls_to(drained, begun + KNOWN_WITHIN_S + DRAIN_GRACE_S)
            for task in client_tasks:
                task.cancel()
        servers.stop()
        assert not late, (len(late), late[0].at - begun)
        assert len(refused) > BURST_PER_PROXY and set(refused) == {503}
        served = fleet.codes[recovered_at:].count(200)
        assert served > 0.95 * len(fleet.codes[recovered_at:]) > BURST_PER_PROXY

    run(test())
