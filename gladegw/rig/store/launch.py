"""Starts the stand-in store as a process of its own, at ports in a row that nobody has."""

from __future__ import annotations

import asyncio

from gladegw.rig import process
from gladegw.rig.errors import RigError
from gladegw.rig.ports import free_ports

TRIES = 20
UP_WITHIN = 20.0  # s


async def launch(members: int, *more: str) -> tuple[asyncio.subprocess.Process, list[str]]:
    """The store and its members' addresses; it takes orders on standard input. Raises RigError."""
    for _ in range(TRIES):  # another process may take a port between the look and the start
        port = free_ports(members)
        words = ("rig", "store", "--members", str(members), "--port", str(port), "--orders", *more)
        child = await process.start(*process.python("gladegw", *words))
        assert child.stdout is not None
        async with asyncio.timeout(UP_WITHIN):
            endpoints = (await child.stdout.readline()).decode().split()
        if len(endpoints) == members:
            return child, endpoints
        await process.end(child)
    raise RigError("the stand-in store finds no ports")
