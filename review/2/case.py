"""Bad clients whose trailer never ends must not take the proxy over its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    BROKEN,
    HELD,
    TROUBLE,
    Backend,
    Clients,
    Discovery,
    Proxy,
    Record,
    main,
    running_proxy,
)

PEERS = 4
PEER_MB = 60  # that each peer has to send at most
BODY_BYTES = 70_000
SECONDS = 40.0
REQUESTS_PER_S = 20.0


async def bad_client(proxy: Proxy, record: Record, number: int) -> None:
    """Send the head and the body of a request, then a trailer that does not end."""
    reader, writer = await asyncio.open_connection(proxy.host, proxy.port)
    id = f"{random.SystemRandom().getrandbits(64):016x}"
    head = f"POST /reserve HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\nX-Caller: acme\r\nX-Budget: 6000m\r\n"
    head += f"Idempotency-Key: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head.encode() + b"%x\r\n%b\r\n" % (BODY_BYTES, b"b" * BODY_BYTES) + b"0\r\nX-Note: ")
    began = time.monotonic()
    sent = 0
    with contextlib.suppress(ConnectionError):
        while sent < PEER_MB * 1_000_000 and not reader.at_eof():
            writer.write(b"a" * 65536)
            await writer.drain()
            sent += 65536
    record.write(f"bad client {number} sent {sent / 1e6:.1f} MB in {time.monotonic() - began:.1f} s")
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(3.0):
            answer = await reader.read(100)
            record.write(f"bad client {number} got {answer[:40]!r}")
    writer.close()


async def case(record: Record) -> int:
    """Watch the proxy's memory as the platform does, and end it once it is over its limit."""
    draw = random.Random(59)
    backends = [Backend(f"s-{number:08x}", record, 0.1) for number in (1, 2, 3, 4)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(backends, record)
    await discovery.start()
    killed_after = 0.0
    async with running_proxy(discovery, record) as proxy:
        clients = Clients(proxy, record)
        loop = asyncio.get_running_loop()
        began = loop.time()
        tasks: list[asyncio.Task[object]] = []
        peers: list[asyncio.Task[None]] = []
        peak = 0.0
        next_line = 0.0
        next_request = began
        while (now := loop.time()) < began + SECONDS:
            if TROUBLE and not peers and now > began + 2:
                peers = [asyncio.create_task(bad_client(proxy, record, n)) for n in range(PEERS)]
            memory = proxy.memory_in_use_mb()
            peak = max(peak, memory)
            if now >= next_line:
                next_line = now + 0.5
                record.write(f"memory_mb={memory:.1f} of {proxy.memory_mb}")
            if memory > proxy.memory_mb:
                killed_after = now - began
                record.write(f"over the limit: memory_mb={memory:.1f}, so the platform kills the proxy")
                proxy.kill()
                break
            if now >= next_request:
                next_request = now + draw.expovariate(REQUESTS_PER_S)
                tasks.append(asyncio.create_task(clients.ask("find", 1.5, 3.0)))
            await asyncio.sleep(0.01)
        exited = proxy.process.returncode
        await asyncio.gather(*tasks, return_exceptions=True)
        for peer in peers:
            peer.cancel()
        await asyncio.gather(*peers, return_exceptions=True)
    for backend in backends:
        await backend.stop()
    served = sum(result.code == 200 for result in clients.results)
    summary = f"requests={len(clients.results)} served={served} peak_mb={peak:.1f} limit_mb={proxy.memory_mb}"
    if killed_after:
        summary += f" killed_after_s={killed_after:.1f}"
    record.write(summary)
    print(summary)
    return BROKEN if killed_after or exited is not None else HELD


main(__file__, case)
