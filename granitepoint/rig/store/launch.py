"""Starts the stand-in store as a process of its own, at ports in a row that nobody has."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from granitepoint.rig import process
from granitepoint.rig.errors import RigError
from granitepoint.rig.proxy import free_port

TRIES = 20
UP_WITHIN = 20.0  # s


def free_ports(count: int) -> int | None:
    """The first of so many in a row; None: this time there were none."""
    first = free_port()
    with contextlib.ExitStack() as held:
        try:
            for port in range(first, first + count):
                held.enter_context(socket.create_server(("127.0.0.1", port)))
        except (OSError, OverflowError):
            return None
    return first


async def launch(members: int, *more: str) -> tuple[asyncio.subprocess.Process, list[str]]:
    """The store and its members' addresses; it takes orders on standard input. Raises RigError."""
    for _ in range(TRIES):  # another process may take a port between the look and the start
        port = free_ports(members)
        if port is None:
            continue
        words = ("rig", "store", "--members", str(members), "--port", str(port), "--orders", *more)
        child = await process.start(*process.python("granitepoint", *words))
        assert child.stdout is not None
        async with asyncio.timeout(UP_WITHIN):
            endpoints = (await child.stdout.readline()).decode().split()
        if len(endpoints) == members:
            return child, endpoints
        await process.end(child)
    raise RigError("the stand-in store finds no ports")
