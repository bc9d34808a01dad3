"""One client at full speed gets its share of the event loop, and the others are served as without it.

Guards against a connection whose messages the proxy answers by itself, thousands in one turn of the loop,
while other clients get their answers late or never, or memory grows (report a22a10, picture b).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable, Iterator

import pytest
from support.loopback import Backend, Proxy, proxy, run

MEMORY_MB = 80
WATCHED_S = 5.0
GOOD_CLIENTS = 4
GOOD_INTERVAL_S = 0.05
MIN_SERVED_FRACTION = 0.95
MAX_P99_S = 0.15  # of a good request, which takes some milliseconds without the busy client
BATCH = 500  # messages that are written at once


def without_id(number: int) -> bytes:
    return b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Budget: 1000m\r\n\r\n"


def under_a_new_name(number: int) -> bytes:
    return b"GET /class-%d HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Caller: t%d\r\n\r\n" % ((number,) * 3)


def readiness_check(number: int) -> bytes:
    return b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


def without_budget(number: int) -> bytes:
    return b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\n\r\n" % number


def malformed(number: int) -> bytes:
    return b"\x00 not HTTP\r\n\r\n"


async def send_at_full_speed(node: Proxy, message: Callable[[int], bytes]) -> None:
    """Write messages as fast as the connection takes them, and read the answers."""
    numbers: Iterator[int] = itertools.count()
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*node.address)
            while not reader.at_eof() and not writer.is_closing():
                writer.write(b"".join(message(next(numbers)) for _ in range(BATCH)))
                await writer.drain()
                await reader.read(1 << 16)
            writer.close()
        await asyncio.sleep(0)


async def send_good_requests(node: Proxy, client: int, codes: list[int], times: list[float]) -> None:
    caller = await node.caller()
    for number in itertools.count():
        begun = time.monotonic()
        reply = await caller.call("stock", f"{client:08x}{number:08x}")
        codes.append(reply.code)
        times.append(time.monotonic() - begun)
        await asyncio.sleep(GOOD_INTERVAL_S)


@pytest.mark.parametrize(
    "message", [without_id, under_a_new_name, readiness_check, without_budget, malformed]
)
def test_good_clients_are_served_in_time_beside_one_at_full_speed(message: Callable[[int], bytes]) -> None:
    async def test() -> None:
        codes: list[int] = []
        times: list[float] = []
        async with proxy({f"s-{n}": Backend() for n in range(4)}, memory_mb=MEMORY_MB) as node:
            busy = asyncio.create_task(send_at_full_speed(node, message))
            good = [
                asyncio.create_task(send_good_requests(node, client, codes, times))
                for client in range(GOOD_CLIENTS)
            ]
            await asyncio.sleep(WATCHED_S)
            peak = node.memory_bytes("VmHWM")
            for task in (busy, *good):
                task.cancel()
            await asyncio.gather(busy, *good, return_exceptions=True)
        p99 = sorted(times)[int(0.99 * len(times))]
        expected = GOOD_CLIENTS * WATCHED_S / (GOOD_INTERVAL_S + MAX_P99_S)
        found = (
            f"{codes.count(200)} of {len(codes)} served, {expected:.0f} wanted, p99 {p99:.3f} s, {peak} bytes"
        )
        assert codes.count(200) >= MIN_SERVED_FRACTION * max(len(codes), expected), found
        assert p99 < MAX_P99_S, found
        assert peak < MEMORY_MB * 1_000_000, found

    run(test())
