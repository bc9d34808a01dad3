"""Nodes that answer at once, and discovery before them: what is measured with these is the proxy alone.

Run as `python -m gladegw.rig.nodes.trivial COUNT [SEED]`: prints one line of JSON with the addresses,
and ends when standard input ends. With a seed they have troubles as nodes do, one after another.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any, cast

import msgspec
import uvloop

from gladegw.rig.judging import ledger
from gladegw.rig.nodes.discovery import Discovery
from gladegw.rig.nodes.registry import Endpoint, Registry

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\ncontent-length: 2\r\n\r\nno"
LOAD = b"HTTP/1.1 200 OK\r\ncontent-length: 18\r\n\r\ninflight=0,queue=0"
MUST_ASK = 10.0  # s
ZONES = ("a", "b")
BETWEEN = (3.0, 8.0)  # s from one trouble to the next
LASTS = (1.0, 4.0)  # s of one
DRAINS = (3.0, 6.0)  # s from a node's drain to its end, in a deploy


class Trivial(asyncio.Protocol):
    """Counts ends of heads: its callers send no bodies, and nothing before the last answer has come."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.node.connections.add(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.node.connections.discard(self.transport)

    def data_received(self, data: bytes) -> None:
        node = self.node
        if data.startswith(b"GET /load"):
            self.transport.write(LOAD)
            return
        heads = data.count(b"\r\n\r\n")
        bad = node.fails and node.draws.random() < node.fails
        answer = (ERROR if bad else ANSWER) * heads
        if node.late:
            asyncio.get_running_loop().call_later(node.late, self.transport.write, answer)
        else:
            self.transport.write(answer)


class Node:
    def __init__(self, name: str, zone: str, discovery: Discovery, draws: Random) -> None:
        self.name, self.zone, self.discovery, self.draws = name, zone, discovery, draws
        self.connections: set[asyncio.Transport] = set()
        self.late = 0.0  # s
        self.fails = 0.0  # share of its answers
        self.address = ""
        self.since = 0

    async def up(self, cold: bool = True) -> None:
        """One that is not cold says nothing of its start, as one that was there for long."""
        server = await asyncio.get_running_loop().create_server(
            lambda: Trivial(self), "127.0.0.1", 0, backlog=1024
        )
        self.server = server
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        self.since = int(time.time() * 1000) if cold else 0

    def listed(self, status: str) -> Endpoint:
        return Endpoint(self.name, self.address, self.zone, "trivial", 0, status, 1.0, self.since)

    def down(self) -> None:
        self.server.close()
        for connection in list(self.connections):
            connection.abort()


class Troubles:
    """What happens to nodes in service, one after another by a seed: they die, a zone is gone for a while,
    they are replaced in turn, they are slow, they fail."""

    def __init__(self, nodes: list[Node], discovery: Discovery, seed: int) -> None:
        self.nodes, self.discovery, self.draws = nodes, discovery, Random(seed)
        self.made = len(nodes)

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self.draws.uniform(*BETWEEN))
            troubles = self.dies, self.zone_is_gone, self.deployed, self.slow, self.failing
            await self.draws.choice(troubles)()

    async def joined(self, zone: str) -> None:
        node = Node(f"t{self.made}", zone, self.discovery, self.draws)
        self.made += 1
        await node.up()
        self.nodes.append(node)
        self.discovery.change(0.0, node.listed("Ready"))

    def gone(self, node: Node, told_after: float) -> None:
        self.nodes.remove(node)
        node.down()
        self.discovery.change(told_after, node.listed("Gone"))

    async def dies(self) -> None:
        node = self.draws.choice(self.nodes)
        self.gone(node, 0.5)
        await asyncio.sleep(self.draws.uniform(*LASTS))
        await self.joined(node.zone)

    async def zone_is_gone(self) -> None:
        lost = [node for node in self.nodes if node.zone == ZONES[1]]
        for node in lost:
            self.gone(node, 0.5)
        await asyncio.sleep(self.draws.uniform(*LASTS))
        for node in lost:
            await self.joined(node.zone)

    async def deployed(self) -> None:
        """Half of them, each replaced before the next drains."""
        for node in self.draws.sample(self.nodes, len(self.nodes) // 2):
            await self.joined(node.zone)
            self.discovery.change(0.0, node.listed("Terminating"))
            await asyncio.sleep(self.draws.uniform(*DRAINS))
            self.gone(node, 0.0)

    async def slow(self) -> None:
        node = self.draws.choice(self.nodes)
        node.late = self.draws.uniform(0.03, 0.2)
        await asyncio.sleep(self.draws.uniform(*LASTS))
        node.late = 0.0

    async def failing(self) -> None:
        node = self.draws.choice(self.nodes)
        node.fails = self.draws.uniform(0.1, 1.0)
        await asyncio.sleep(self.draws.uniform(*LASTS))
        node.fails = 0.0


async def run(count: int, seed: int | None) -> None:
    loop = asyncio.get_running_loop()
    registry = Registry(100_000, 0, 5.0)
    with tempfile.TemporaryDirectory() as folder:
        book = ledger.Ledger(Path(folder) / "told.jsonl")
        discovery = Discovery(registry, book, MUST_ASK)
        nodes = []
        for number in range(count):
            zone = ZONES[0] if seed is None else ZONES[number % len(ZONES)]
            nodes.append(Node(f"t{number}", zone, discovery, Random(number)))
            await nodes[-1].up(cold=False)
            registry.plan(0.0, nodes[-1].listed("Ready"))
        registry.publish(time.monotonic())
        told: dict[str, Any] = {
            "nodes": [node.address for node in nodes],
            "discovery": await discovery.door("p0"),
            "known": msgspec.to_builtins(registry.whole()),
        }
        print(msgspec.json.encode(told).decode(), flush=True)
        troubles = loop.create_task(Troubles(nodes, discovery, seed).run()) if seed is not None else None
        await loop.run_in_executor(None, sys.stdin.read)
        if troubles is not None:
            troubles.cancel()
        discovery.close()
        book.close()


def main() -> int:
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else None
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(run(int(sys.argv[1]), seed))
    return 0


if __name__ == "__main__":
    sys.exit(main())
