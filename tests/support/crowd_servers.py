"""Servers for tests with crowds of clients: `python -m support.crowd_servers COUNT`.

Prints the address of each server on one line, and serves until standard input ends. The query of a request's
target tells what is answered: `size` bytes after `ms` milliseconds. Bodies are received and discarded.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import httptools
import uvloop

DEFAULT_CALL_MS = 50
PIECE_BYTES = 64 * 1024


class ServerConnection(asyncio.Protocol):
    """Answers the requests of one connection of the proxy."""

    def __init__(self) -> None:
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.transport: Any = None
        self.may_write = asyncio.Event()
        self.may_write.set()
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        for task in self.tasks:
            task.cancel()

    def pause_writing(self) -> None:
        self.may_write.clear()

    def resume_writing(self) -> None:
        self.may_write.set()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self.target = b""

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_message_complete(self) -> None:
        task = asyncio.get_running_loop().create_task(self.answer(self.target))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def answer(self, target: bytes) -> None:
        """Answer a request to this target."""
        if target == b"/load":
            body = b"inflight=0,queue=0"
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        fields = dict(part.split(b"=") for part in target.partition(b"?")[2].split(b"&") if b"=" in part)
        await asyncio.sleep(int(fields.get(b"ms", DEFAULT_CALL_MS)) / 1000)
        left = int(fields.get(b"size", 4))
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % left)
        piece = b"x" * PIECE_BYTES
        while left > 0 and not self.transport.is_closing():
            await self.may_write.wait()
            self.transport.write(piece[:left])
            left -= PIECE_BYTES


async def serve(count: int) -> None:
    """Serve until standard input ends."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(ServerConnection, "127.0.0.1", 0) for _ in range(count)]
    print(*("{}:{}".format(*server.sockets[0].getsockname()[:2]) for server in servers), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(serve(int(sys.argv[1])))
