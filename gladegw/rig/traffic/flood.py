"""A crowd that stays: connections that ask nothing and come back when they are closed, from a process of its
own; and a known client beside it, which opens a connection for each request."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import sys
import time
from collections.abc import Sequence
from functools import partial

import msgspec
import uvloop

from gladegw.rig import process

MANNERS = ("silent", "drip", "churn")
DRIP = 0.2  # s between two bytes of one that drips
BYTES = b"GET /status/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + b"0" * 2000
SPARE = 64  # descriptors of the process beside the connections
UP_WITHIN = 30.0  # s for the crowd to have connected once


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """`sources` are addresses of this machine from which connections come in turn."""

    manner: str
    target: str
    count: int
    sources: tuple[str, ...] = ("127.0.0.2", "127.0.0.3", "127.0.0.4")


class _One(asyncio.Protocol):
    def __init__(self, gone: asyncio.Future[None]) -> None:
        self.gone = gone
        self.transport: asyncio.BaseTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.gone.done():
            self.gone.set_result(None)


class Crowd:
    """Runs in the process of its own."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.host, _, port = plan.target.rpartition(":")
        self.port = int(port)
        self.made = 0
        self.up: set[int] = set()
        self.all_up = asyncio.Event()

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(self.plan.count):
                group.create_task(self._stay(number))

    async def _stay(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        source = self.plan.sources[number % len(self.plan.sources)]
        while True:
            gone: asyncio.Future[None] = loop.create_future()
            try:
                transport, _ = await loop.create_connection(
                    partial(_One, gone), self.host, self.port, local_addr=(source, 0)
                )
            except OSError:
                await asyncio.sleep(DRIP)
                continue
            self.made += 1
            self.up.add(number)
            if len(self.up) == self.plan.count:
                self.all_up.set()
            if self.plan.manner == "churn":
                transport.close()
            elif self.plan.manner == "drip":
                await self._drip(transport, gone)
            await gone

    @staticmethod
    async def _drip(transport: asyncio.WriteTransport, gone: asyncio.Future[None]) -> None:
        for place in range(len(BYTES)):
            transport.write(BYTES[place : place + 1])
            done, _ = await asyncio.wait((gone,), timeout=DRIP)
            if done:
                return


async def _crowd() -> None:
    plan: Plan = msgspec.json.decode(sys.stdin.buffer.readline(), type=Plan)
    wanted = plan.count + SPARE
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, max(wanted, most)))
    crowd = Crowd(plan)
    running = asyncio.create_task(crowd.run())
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(crowd.all_up.wait(), UP_WITHIN)
    print(f"up {len(crowd.up)}", flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.buffer.read)  # until the pipe ends
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    print(f"made {crowd.made}", flush=True)


async def start(plan: Plan) -> asyncio.subprocess.Process:
    """The crowd as a process, once each of its connections has come up (or it waited for that in vain)."""
    child = await process.start(*process.python("gladegw.rig.traffic.flood"))
    assert child.stdin is not None and child.stdout is not None
    child.stdin.write(msgspec.json.encode(plan) + b"\n")
    await child.stdout.readline()
    return child


class Known(msgspec.Struct, kw_only=True):
    """What the known client saw: counts by code (0: closed without one, -1: none in time), and the s from
    when each 200 was due to when it came."""

    sent: int = 0
    codes: dict[int, int] = {}
    took: list[float] = []

    def quantile(self, share: float) -> float:
        ordered = sorted(self.took)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")


async def _asked(host: str, port: int, request: bytes) -> int:
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return 0
    try:
        writer.write(request)
        return int((await reader.readuntil(b"\r\n\r\n")).split(b" ", 2)[1])
    except (OSError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.close()


async def known(target: str, requests: Sequence[bytes], rate: float, deadline: float) -> Known:
    """Sends each of `requests` on a connection of its own, `rate` a second whatever becomes of them."""
    host, _, port = target.rpartition(":")
    seen = Known(codes={}, took=[])
    begin = time.monotonic()

    async def one(number: int, request: bytes) -> None:
        due = begin + number / rate
        await asyncio.sleep(due - time.monotonic())
        code = -1
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + deadline):
                code = await _asked(host, int(port), request)
        seen.codes[code] = seen.codes.get(code, 0) + 1
        if code == 200:
            seen.took.append(time.monotonic() - due)

    await asyncio.gather(*(one(number, request) for number, request in enumerate(requests)))
    seen.sent = len(requests)
    return seen


if __name__ == "__main__":
    uvloop.run(_crowd())
