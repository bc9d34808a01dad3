"""Case 6: a planned restart cuts a large answer whose last bytes still wait in the proxy."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from bench2 import TROUBLE, Backend, Discovery, Proxy, Record, configuration, endpoint, play
from downloads import fetch, large_answer

PROXIES = 60  # each with one answer, since where the end of an answer waits depends on its size
SMALLEST_BYTES, STEP_BYTES = 4_600_000, 24_000
READ_BYTES_PER_S = 900_000
TERM_AFTER_S = 1.0  # from the request to SIGTERM
KILL_AFTER_S = 3.0 + 0.7  # from SIGTERM: the longest deadline, taken as 3 s where it is longer, plus 0.7 s


async def restart_in_answer(record: Record, proxy: Proxy, number: int) -> bool:
    """Read one answer while its proxy is told to end; return whether the rule held."""
    size = SMALLEST_BYTES + number * STEP_BYTES
    name = f"case6-{number:02d}"
    download = asyncio.create_task(fetch(record, proxy, name, size, READ_BYTES_PER_S))
    await asyncio.sleep(TERM_AFTER_S)
    assert proxy.process is not None
    termed_at = time.monotonic()
    ended_after = 0.0
    if TROUBLE:
        proxy.send_signal(signal.SIGTERM)
        # The platform kills no earlier than this; the proxy that ends by itself has been given that long.
        async with asyncio.timeout(110):
            while proxy.process.returncode is None:
                if time.monotonic() > termed_at + KILL_AFTER_S:
                    proxy.process.kill()
                await asyncio.sleep(0.01)
        ended_after = time.monotonic() - termed_at
        record.add(f"{name} its proxy ended {ended_after:.2f} s after SIGTERM")
    missing = size - await download
    by_itself = ended_after < KILL_AFTER_S - 0.1
    if missing and not by_itself:
        record.add(f"{name} not judged: the proxy served until it was killed")
    return not missing or not by_itself


async def case(record: Record, folder: Path) -> bool:
    """Start the proxies, and restart each in the midst of one answer."""
    discovery = await Discovery(record).start()
    backends = [await Backend(f"s{number}", large_answer).start() for number in range(2)]
    await discovery.put(*(endpoint(backend.name, backend.address) for backend in backends))
    proxies = []
    try:
        for number in range(PROXIES):
            own = folder / str(number)
            own.mkdir()
            proxies.append(Proxy(record, own, configuration(discovery, sockets=256)))
        await asyncio.gather(*(proxy.start() for proxy in proxies))
        held = await asyncio.gather(*(restart_in_answer(record, proxy, n) for n, proxy in enumerate(proxies)))
        record.add(f"{held.count(False)} of {PROXIES} requests were lost")
        return all(held)
    finally:
        for proxy in proxies:
            await proxy.end()


play(case, Path(__file__).parent)
