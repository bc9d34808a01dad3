"""Plays of one proxy with a crowd of clients and good clients beside it, and what they measure."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path

from support.loopback import ROOT, Backend, Proxy, free_address, proxy

SERVERS = 4
CROWD_STARTS_S = 0.5  # until the clients of a crowd connect
GOOD_CLIENTS = 4  # each sends a request, waits and sends the next one
REQUESTS_PER_S = 20.0  # of all good clients
BUDGET_S = 1.2
LATE_AFTER_S = BUDGET_S + 0.5  # an answer that comes later is lost
DEPLOYED_FEATURES = (ROOT / "deploy" / "malabar.hcl").read_text()


@contextlib.asynccontextmanager
async def helper(*arguments: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a module of this package as a process that ends with its standard input."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *arguments,
        env={**os.environ, "PYTHONPATH": str(Path(__file__).parents[1])},
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@contextlib.asynccontextmanager
async def crowd(address: str, form: str, count: int) -> AsyncIterator[None]:
    """Run a crowd of `count` clients of a form at an address, where no process need listen yet."""
    async with helper("support.crowd", address, form, str(count)):
        yield


@contextlib.asynccontextmanager
async def crowd_proxy(
    memory_mb: int, sockets: int, listen: str = "", crowd_before: tuple[str, int] | None = None
) -> AsyncIterator[Proxy]:
    """Run a proxy with the deployment's features, in front of servers in a process of their own.

    `listen` is the address of a proxy that it replaces; `crowd_before` is the form and the size of a crowd
    that is there before the proxy starts.
    """
    async with contextlib.AsyncExitStack() as stack:
        servers = await stack.enter_async_context(helper("support.crowd_servers", str(SERVERS)))
        listen_at = listen
        if crowd_before is not None:
            listen_at = free_address()
            await stack.enter_async_context(crowd(listen_at, *crowd_before))
            await asyncio.sleep(CROWD_STARTS_S)
        assert servers.stdout is not None
        backends = {}
        for number, address in enumerate((await servers.stdout.readline()).decode().split()):
            backends[f"s-{number}"] = Backend()
            backends[f"s-{number}"].address = address
        async with proxy(
            backends,
            features=DEPLOYED_FEATURES,
            listen=listen_at,
            is_replacement=bool(listen),
            memory_mb=memory_mb,
            sockets=sockets,
        ) as node:
            reading = asyncio.create_task(read_log(node))
            yield node
            if node.process.returncode is None:
                node.process.kill()
            await reading


async def read_log(node: Proxy) -> None:
    """Read the log to its end: a pipe that is full would keep the process's end from being seen."""
    assert node.process.stderr is not None
    while await node.process.stderr.read(65536):
        pass


@dataclass
class Served:
    """How the good clients' requests ended: status codes, and how the others failed."""

    outcomes: Counter[str] = field(default_factory=Counter)
    late: int = 0  # answered after LATE_AFTER_S, or never

    @property
    def fraction(self) -> float:
        """The fraction of all requests that were answered with 200 in time."""
        return self.outcomes["200"] / max(1, self.outcomes.total())

    def __str__(self) -> str:
        return (
            f"{self.fraction:.2f} of {self.outcomes.total()} served, {self.late} late {dict(self.outcomes)}"
        )


class GoodClients:
    """Good clients, which keep their connections; a request that crosses a close is sent once more."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.served = Served()
        self._sent = 0

    async def run_for(self, seconds: float) -> Served:
        """Send requests for some seconds, and return how they ended."""
        self.served = Served()
        until = time.monotonic() + seconds
        await asyncio.gather(*(self._send_until(until, number) for number in range(GOOD_CLIENTS)))
        return self.served

    async def _send_until(self, until: float, number: int) -> None:
        await asyncio.sleep(number / REQUESTS_PER_S)
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while time.monotonic() < until:
            begun = time.monotonic()
            try:
                async with asyncio.timeout(LATE_AFTER_S):
                    connection, code = await self._request(connection)
                self.served.outcomes[code] += 1
            except (TimeoutError, OSError, EOFError) as fault:
                if connection is not None:
                    connection[1].close()
                connection = None
                self.served.late += 1
                self.served.outcomes[type(fault).__name__] += 1
            await asyncio.sleep(max(0.0, begun + GOOD_CLIENTS / REQUESTS_PER_S - time.monotonic()))
        if connection is not None:
            connection[1].close()

    async def _request(
        self, connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
    ) -> tuple[tuple[asyncio.StreamReader, asyncio.StreamWriter] | None, str]:
        """Send one request; returns the connection, if it stays open, and the status code."""
        self._sent += 1
        head = f"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: g{self._sent:015x}\r\nX-Budget: 1200m\r\n\r\n"
        if connection is not None:
            with contextlib.suppress(OSError, EOFError):
                return await self._exchange(*connection, head)
            connection[1].close()
        return await self._exchange(*await asyncio.open_connection(*self.address), head)

    @staticmethod
    async def _exchange(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: str
    ) -> tuple[tuple[asyncio.StreamReader, asyncio.StreamWriter] | None, str]:
        writer.write(head.encode())
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = re.search(r"content-length: (\d+)", text)
        body = (await reader.readexactly(int(length[1]) if length else 0)).decode().strip()
        code = text.split(" ")[1]
        outcome = code if code == "200" else f"{code} {body}"
        if "connection: close" in text:
            writer.close()
            return None, outcome
        return (reader, writer), outcome


def joint_memory_bytes(*nodes: Proxy) -> int:
    """The resident memory of processes of one program, whose files count once; ended ones count nothing."""
    own_bytes, file_bytes = 0, 0
    for node in nodes:
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{node.process.pid}/status").read_text()
            sizes = {
                name: 1024 * int(size) for name, size in re.findall(r"^Rss(\w+):\s+(\d+) kB", text, re.M)
            }
            own_bytes += sizes.get("Anon", 0) + sizes.get("Shmem", 0)
            file_bytes = max(file_bytes, sizes.get("File", 0))
    return own_bytes + file_bytes


def reset_peak(node: Proxy) -> None:
    """Let the peak of the resident memory count from now on (proc(5), `clear_refs`)."""
    Path(f"/proc/{node.process.pid}/clear_refs").write_text("5")
