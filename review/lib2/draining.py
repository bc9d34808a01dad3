"""A backend that can drain, and a client that sends one request after another."""

from __future__ import annotations

import asyncio
import time

from bench2 import Backend, Proxy, Record, message, read_head, request

PAUSE_S = 0.1  # of a client between two requests
WORK_S = 0.03  # of a request at a backend


class DrainingBackend(Backend):
    """A backend that, while it drains, fails its health check and completes the requests that reach it."""

    def __init__(self, record: Record, name: str) -> None:
        super().__init__(name, self.complete)
        self.record = record
        self.draining = False
        self.reached_at: list[float] = []  # when each request's head had come

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while True:
            line, headers = await read_head(reader)
            if line.split(" ")[1] in ("/load", "/healthz"):
                writer.write(message(503 if self.draining else 200, b"inflight=0,queue=0"))
                continue
            await self.complete(line, headers, reader, writer)

    async def complete(
        self, line: str, headers: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run one request."""
        self.reached_at.append(time.monotonic())
        if self.draining:
            self.record.add(f"{self.name} drains and got {headers['x-call-id']}")
        await asyncio.sleep(WORK_S)
        writer.write(message(200, b"done " + headers["x-call-id"].encode()))


async def client(proxy: Proxy, name: str, codes: dict[str, int]) -> None:
    """Send one request after another on one connection."""
    reader, writer = await asyncio.open_connection(*proxy.address)
    for count in range(1_000_000):
        writer.write(request("GET", "nearby", f"{name}-{count}", 1500))
        line, headers = await read_head(reader)
        await reader.readexactly(int(headers["content-length"]))
        code = line.split(" ")[1]
        codes[code] = codes.get(code, 0) + 1
        await asyncio.sleep(PAUSE_S)
