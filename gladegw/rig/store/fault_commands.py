"""The stand-in store as a command, and the line by line protocol by which a rig tells it its faults."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec

from gladegw.coordination.store import StoreError
from gladegw.rig.store.cluster import Cluster
from gladegw.rig.store.machines import Machines
from gladegw.rig.store.record import Recorder
from gladegw.rig.store.server import Store

HOST = "127.0.0.1"
ROOM = 512  # connections that wait at a member, as many as come at once after a loss


class Order(msgspec.Struct, frozen=True):
    """One line of the rig: what to do, to which member, how much."""

    do: str
    member: int = 0
    size: float = 0.0
    text: str = ""


async def obey(cluster: Cluster, machines: Machines | None, order: Order) -> str:
    """What is answered. Raises ValueError for an order that is none."""
    if order.do in ("kill", "stop", "go", "start"):
        if machines is None:
            raise ValueError("members are no processes here")
        await machines.order(order.do, order.member)
    elif order.do in ("down", "up", "cut", "heal"):
        getattr(cluster, order.do)(order.member)
    elif order.do in ("depose", "cut_watches"):
        getattr(cluster, order.do)()
    elif order.do == "slow":
        cluster.slow = order.size
    elif order.do == "forward":
        cluster.ahead += order.size
    elif order.do == "unanswered":
        cluster.unanswered = int(order.size)
    elif order.do == "compact":
        cluster.model.compact(cluster.model.revision)
    elif order.do == "full":
        cluster.model.quota = int(order.size)
    elif order.do == "token":
        cluster.token = order.text
    elif order.do == "leader":
        return f"ok {-1 if cluster.leader is None else cluster.leader}"
    elif order.do == "calls":
        return f"ok {cluster.calls}"
    elif order.do == "fenced":
        return f"ok {cluster.fenced}"
    else:
        raise ValueError(f"no such order: {order.do}")
    return "ok"


async def lines() -> AsyncIterator[bytes]:
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), os.fdopen(os.dup(0), "rb"))
    while line := await reader.readline():
        yield line


async def serve(
    members: int, port: int, least_ttl: int, orders: bool, processes: bool = True, record: Path | None = None
) -> None:
    """Until it is cancelled; with `orders`, until standard input ends. With `processes` each member's address
    is a process of its own. Raises OSError and RigError."""
    cluster = Cluster(members, least_ttl)
    ports = [port + number for number in range(members)]
    async with contextlib.AsyncExitStack() as stack:
        if record is not None:
            cluster.recorder = Recorder(stack.enter_context(record.open("wb")), cluster.clock)
        listeners = [socket.create_server((HOST, 0 if processes else port), backlog=ROOM) for port in ports]
        await stack.enter_async_context(Store(cluster, listeners))
        machines: Machines | None = None
        if processes:
            targets = ["{}:{}".format(*listener.getsockname()) for listener in listeners]
            machines = await stack.enter_async_context(Machines(cluster, ports, targets))
        print(" ".join(f"{HOST}:{port}" for port in ports), flush=True)
        if not orders:
            await asyncio.Event().wait()
        async for line in lines():
            try:
                answer = await obey(cluster, machines, msgspec.json.decode(line, type=Order))
                print(answer, flush=True)
            except (ValueError, msgspec.DecodeError, StoreError) as fault:
                print(f"error: {fault}", flush=True)
