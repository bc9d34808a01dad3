"""Case 7: in a crowd of idle clients the proxy cuts large answers whose last bytes still wait in it."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

from bench2 import TROUBLE, Backend, Discovery, Proxy, Record, configuration, endpoint, play
from downloads import fetch, large_answer

DESCRIPTORS = 256
DOWNLOADS = 60  # under a third of the descriptors, which is what clients use for requests
SMALLEST_BYTES, STEP_BYTES = 4_200_000, 30_000
READ_BYTES_PER_S = 1_000_000
CROWD = 160  # clients that connect and send nothing
CROWD_AFTER_S = 0.5
RECONNECT_AFTER_S = 0.1  # of a client of the crowd whose connection was closed


async def idle(proxy: Proxy) -> None:
    """Connect, send nothing until the proxy closes, and connect again."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*proxy.address)
            try:
                await reader.read(1)
            finally:
                writer.close()
        await asyncio.sleep(RECONNECT_AFTER_S)


async def case(record: Record, folder: Path) -> bool:
    """Read answers at an even pace while idle clients fill the descriptors."""
    discovery = await Discovery(record).start()
    backends = [await Backend(f"s{number}", large_answer).start() for number in range(8)]
    await discovery.put(*(endpoint(backend.name, backend.address) for backend in backends))
    proxy = Proxy(record, folder, configuration(discovery, sockets=DESCRIPTORS))
    crowd: list[asyncio.Task[None]] = []
    try:
        await proxy.start()
        sizes = [SMALLEST_BYTES + number * STEP_BYTES for number in range(DOWNLOADS)]
        downloads = []
        for number, size in enumerate(sizes):
            name = f"case7-{number:02d}"
            downloads.append(asyncio.create_task(fetch(record, proxy, name, size, READ_BYTES_PER_S)))
            await asyncio.sleep(0.02)  # so that none is shed for load
        await asyncio.sleep(CROWD_AFTER_S)
        if TROUBLE:
            record.add(f"{CROWD} idle clients connect")
            crowd = [asyncio.create_task(idle(proxy)) for _ in range(CROWD)]
        missing = [size - await download for size, download in zip(sizes, downloads, strict=True)]
        record.add(f"{sum(map(bool, missing))} of {DOWNLOADS} requests were lost")
        return not any(missing)
    finally:
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        await proxy.end()


play(case, Path(__file__).parent)
