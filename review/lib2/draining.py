"""A backend that drains and then ends, and a client whose requests are unsafe to repeat."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

from bench2 import Backend, Proxy, Record, grade, message, read_head, request

PAUSE_S = 0.1  # of a client between two requests
DRAIN_TIME_S = 3.0  # from the begin of the drain to the end of the process; the pages say 2 to 6 s
GRADES = [
    grade("nearby", 1.0, 0.6, 1.5),
    grade("status", 3.0, 0.6, 1.5),
    grade("book-slot", 5.0, 2.5, 6.0, effect="once"),  # marked as unsafe to repeat
]
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER


class DrainingBackend(Backend):
    """A backend that, while it drains, fails its health check and completes the requests that reach it.

    At the end of its drain the process ends, as it would if nobody had sent it anything new.
    """

    def __init__(self, record: Record, name: str, work_s: float) -> None:
        super().__init__(name, self.complete)
        self.record, self.work_s = record, work_s
        self.draining = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.reached_at: dict[str, float] = {}  # by request: when its head had come
        self.under_way: set[str] = set()
        self.cut: set[str] = set()  # requests that were under way when the process ended

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        while True:
            line, headers = await read_head(reader)
            if line.split(" ")[1] in ("/load", "/healthz"):
                writer.write(message(503 if self.draining else 200, b"inflight=0,queue=0"))
                continue
            await reader.readexactly(int(headers.get("content-length", "0")))
            await self.complete(line, headers, reader, writer)

    async def complete(
        self, line: str, headers: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Run one request."""
        name = headers["x-call-id"]
        self.reached_at[name] = time.monotonic()
        if self.draining:
            self.record.add(f"{self.name} drains and got {name}")
        self.under_way.add(name)
        await asyncio.sleep(self.work_s)
        self.under_way.discard(name)
        writer.write(message(200, b"done " + name.encode()))

    async def end_after_drain(self) -> None:
        """End the process at the end of its drain: connections are reset, new ones are refused."""
        self.draining = True
        await asyncio.sleep(DRAIN_TIME_S)
        self.cut = set(self.under_way)
        self.server.close()
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if not writer.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                writer.transport.abort()
        self.record.add(f"{self.name} ended with {len(self.cut)} requests under way")

    def judge(self, since: float, limit: float, event: str, codes: dict[str, str]) -> bool:
        """Whether nothing reached it later than `limit` after `since`; `codes` are the answers by request."""
        late = {name: at - since for name, at in self.reached_at.items() if at > since + limit}
        self.record.add(f"{len(late)} requests reached {self.name} more than {limit} s after {event}")
        if late:
            self.record.add(
                f"the first after {min(late.values()):.3f} s, the last after {max(late.values()):.3f} s"
            )
        for name in sorted(self.cut & set(late)):
            self.record.add(
                f"of these {name} was under way when {self.name} ended; answer: {codes.get(name)}"
            )
        return not late


async def client(proxy: Proxy, name: str, codes: dict[str, str]) -> None:
    """Send one request after another on one connection."""
    reader, writer = await asyncio.open_connection(*proxy.address)
    for count in range(1_000_000):
        number = f"{name}-{count}"
        writer.write(request("POST", "book-slot", number, 3000, "Content-Length: 4") + b"slot")
        line, headers = await read_head(reader)
        await reader.readexactly(int(headers["content-length"]))
        codes[number] = line.split(" ")[1]
        await asyncio.sleep(PAUSE_S)


def summary(codes: dict[str, str]) -> str:
    """The answers to clients, counted by code."""
    counts = {code: list(codes.values()).count(code) for code in sorted(set(codes.values()))}
    return f"answers to clients by code: {counts}"
