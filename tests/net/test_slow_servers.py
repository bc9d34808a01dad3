"""A long answer that a server writes slowly arrives whole, and a slow reader of a request ends in time.

Guards against cutting off what a server still gives, also at SIGTERM, and against a final answer seconds
after its time where a server takes a large request slowly (report a22a10, picture d).
"""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from support.loopback import Backend, Proxy, Seen, proxy, read_message, run

PIECE = b"x" * 20_000
PIECES = 15
PIECE_INTERVAL_S = 0.15  # so that the answer takes 2.25 s
BUDGET_S = 2.0
REQUEST_BYTES = 5_000_000
SERVER_BYTES_PER_S = 300_000
MAX_LATE_S = 0.5  # of a final answer, after its time


async def write_slowly(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(PIECE) * PIECES))
    for _ in range(PIECES):
        writer.write(PIECE)
        await writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S)


@pytest.mark.parametrize("ends", [False, True], ids=["serving", "at-sigterm"])
def test_a_long_answer_that_its_server_writes_slowly_arrives_whole(ends: bool) -> None:
    async def ask(node: Proxy, number: int) -> int:
        caller = await node.caller()
        reply = await caller.call("stock", f"{number:016x}", budget="1500m")
        return len(reply.body) if reply.code == 200 else -reply.code

    async def test() -> None:
        async with proxy({f"s-{n}": Backend(write_slowly) for n in range(2)}) as node:
            asked = []
            for number in range(8):
                asked.append(asyncio.create_task(ask(node, number)))
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.3)
            if ends:
                node.terminate()
            sizes = await asyncio.gather(*asked)
            assert sizes == [len(PIECE) * PIECES] * len(sizes)

    run(test())


async def start_slow_reader() -> tuple[asyncio.Server, str]:
    """A server that reads requests slowly, with a small buffer."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = await reader.readline()
        if b"/load" in line or b"/healthz" in line:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        while await reader.read(SERVER_BYTES_PER_S // 20):
            await asyncio.sleep(0.05)
        writer.close()

    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
    listener.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listener, limit=1 << 15)
    return server, "{}:{}".format(*listener.getsockname())


def test_a_large_request_that_its_server_reads_slowly_is_answered_in_time() -> None:
    async def ask(node: Proxy, number: int) -> float:
        """Return the seconds from the request's last byte, as the proxy's system took it, to the answer."""
        reader, writer = await asyncio.open_connection(*node.address)
        head = (
            f"POST /canje HTTP/1.1\r\nHost: x\r\nX-Call-Id: {number:016x}\r\nX-Budget: {BUDGET_S:.0f}000m\r\n"
        )
        writer.write(head.encode() + b"Content-Length: %d\r\n\r\n" % REQUEST_BYTES)
        answer = asyncio.create_task(read_message(reader))
        for begin in range(0, REQUEST_BYTES, 1 << 16):
            if answer.done():
                return 0.0  # an early answer is in time
            writer.write(b"x" * min(1 << 16, REQUEST_BYTES - begin))
            await writer.drain()
        sent_at = time.monotonic()
        line, _, _ = await answer
        assert line.split(" ")[1] != "200"
        writer.close()
        return time.monotonic() - sent_at

    async def waits(ends: bool) -> list[float]:
        """Return the waits of four clients; `ends`: the proxy is told to end meanwhile."""
        server, address = await start_slow_reader()
        backend = Backend()
        backend.address = address
        async with proxy({"s-1": backend}) as node:
            asked = [asyncio.create_task(ask(node, number)) for number in range(4)]
            await asyncio.sleep(0.5)
            if ends:
                node.terminate()
            waited = await asyncio.gather(*asked)
        server.close()
        return waited

    async def test() -> None:
        for waited in await asyncio.gather(waits(False), waits(True)):
            assert max(waited) < BUDGET_S + MAX_LATE_S, waited

    run(test())
