"""Good clients are served beside a crowd of clients that read large answers slowly, and memory stays bounded.

Guards against a crowd of slow readers that takes all descriptors (report a22a10, picture a): since a
connection whose client still reads is not evicted, 300 of them starved every other client. A reader at the
pace of a slow client, 64 kB/s, keeps its answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import Counter

import pytest
from support.loopback import Backend, Caller, Proxy, Seen, proxy, response, run

READERS = 300
READ_BYTES_PER_S = 20_000
READ_INTERVAL_S = 0.1
RECEIVE_BUFFER_BYTES = 8192
RECONNECT_AFTER_S = 0.2  # of a reader whose connection was closed
SOCKETS = 384
MEMORY_MB = 80
CALL_TIME_S = 0.05  # of a good client's request at a server
REQUEST_INTERVAL_S = 0.05
WATCHED_S = 8.0
ANSWERED_WITHIN_S = 4.0  # of a good client, counted from its connect
MIN_SERVED_FRACTION = 0.95


def large_answers(size: int) -> Backend:
    """A server whose answers to class `reserva` are large."""

    async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
        if seen.target.startswith("/reserva"):
            writer.write(response(200, b"x" * size))
        else:
            await asyncio.sleep(CALL_TIME_S)
            writer.write(response(200, b"good"))

    return Backend(behave)


async def read_slowly(node: Proxy, number: int) -> None:
    """Ask for a large answer again and again, and read it slowly."""
    loop = asyncio.get_running_loop()
    again = 0
    while True:
        again += 1
        with contextlib.closing(socket.socket()) as client, contextlib.suppress(OSError):
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            client.setblocking(False)
            await loop.sock_connect(client, node.address)
            head = f"POST /reserva HTTP/1.1\r\nHost: x\r\nX-Call-Id: {number:08x}{again:08x}\r\n"
            head += (
                f"X-Budget: 4000m\r\nIdempotency-Key: {number:016x}{again:016x}\r\nContent-Length: 0\r\n\r\n"
            )
            await loop.sock_sendall(client, head.encode())
            while await loop.sock_recv(client, int(READ_BYTES_PER_S * READ_INTERVAL_S)):
                await asyncio.sleep(READ_INTERVAL_S)
        await asyncio.sleep(RECONNECT_AFTER_S)


async def ask_once(node: Proxy, number: int) -> str:
    """Send one good request on a new connection; returns its status code, or how it failed."""
    try:
        async with asyncio.timeout(ANSWERED_WITHIN_S):
            caller: Caller = await node.caller()
            reply = await caller.call("stock", f"f{number:015x}", budget="1200m")
            caller.writer.close()
            return str(reply.code)
    except (TimeoutError, OSError, EOFError) as fault:
        return type(fault).__name__


@pytest.mark.parametrize("size", [200_000, 6_000_000], ids=["in-buffers", "streamed"])
def test_good_clients_are_served_beside_a_crowd_of_slow_readers(size: int) -> None:
    async def test() -> None:
        backends = {f"s-{n}": large_answers(size) for n in range(4)}
        async with proxy(backends, sockets=SOCKETS, memory_mb=MEMORY_MB) as node:
            readers = [asyncio.create_task(read_slowly(node, number)) for number in range(READERS)]
            asked: list[asyncio.Task[str]] = []
            begun = time.monotonic()
            while time.monotonic() < begun + WATCHED_S:
                asked.append(asyncio.create_task(ask_once(node, len(asked))))
                await asyncio.sleep(REQUEST_INTERVAL_S)
            served = await asyncio.gather(*asked)
            memory = node.memory_bytes("VmHWM")
            for reader in readers:
                reader.cancel()
            await asyncio.gather(*readers, return_exceptions=True)
        outcomes = Counter(served)
        fraction = outcomes["200"] / len(served)
        assert memory < MEMORY_MB * 1_000_000, memory
        assert fraction >= MIN_SERVED_FRACTION, f"{fraction:.2f} served: {outcomes}, {memory} bytes"

    run(test())
