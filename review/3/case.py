"""A server's answer that never ends must not keep the client from its final answer."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    BROKEN,
    HELD,
    LATE_ANSWER_S,
    SOCKET_SLACK_S,
    TROUBLE,
    Backend,
    Clients,
    Discovery,
    Message,
    Record,
    main,
    running_proxy,
)

SECONDS = 10.0
WAIT_S = 12.0  # of a client that is still connected
SPOILT_SHARE = 0.05
SILENT_AFTER_S = 1.45  # in one half of the answers without an end; the others go on
REQUESTS_PER_S = 20.0
BUDGET_S = 1.5
SCHEDULE_SLACK_S = 0.1  # for this script's own lateness


async def case(record: Record) -> int:
    """Ask for answers, some of which go on without an end, and time the end that each client sees."""
    draw = random.Random(59)
    backends = [Backend(f"s-{number:08x}", record, 0.1) for number in (1, 2, 3, 4)]
    spoilt: list[str] = []

    def spoil(backend: Backend) -> None:
        async def reply(message: Message, writer: asyncio.StreamWriter) -> bool:
            if not TROUBLE or draw.random() > SPOILT_SHARE:
                return False
            id = message.headers["x-call-id"]
            spoilt.append(id)
            kind = "goes silent" if len(spoilt) % 2 == 1 else "goes on"
            record.write(f"{backend.name} begins an answer without an end ({kind}) id={id}")
            writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
            began = time.monotonic()
            while not writer.transport.is_closing():
                if kind == "goes on" or time.monotonic() < began + SILENT_AFTER_S:
                    writer.write(b"5\r\nhello\r\n")
                await asyncio.sleep(0.2)
            return True

        backend.reply = reply

    for backend in backends:
        spoil(backend)
        await backend.start()
    discovery = Discovery(backends, record)
    await discovery.start()
    async with running_proxy(discovery, record) as proxy:
        clients = Clients(proxy, record)
        loop = asyncio.get_running_loop()
        asking = []
        began = loop.time()
        while loop.time() < began + SECONDS:
            asking.append(asyncio.create_task(clients.ask("find", BUDGET_S, WAIT_S)))
            await asyncio.sleep(draw.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*asking)
    for backend in backends:
        await backend.stop()
    latest = BUDGET_S + LATE_ANSWER_S + SOCKET_SLACK_S + SCHEDULE_SLACK_S
    lost = [result for result in clients.results if result.code < 0 or result.took_s > latest]
    served = sum(result.code == 200 for result in clients.results)
    summary = f"requests={len(clients.results)} served={served} endless={len(spoilt)} lost={len(lost)}"
    record.write(summary)
    for result in lost:
        end = "no end" if result.code < 0 else f"an end after {result.took_s:.2f} s"
        record.write(f"lost: id={result.id} saw {end}")
    print(summary)
    return BROKEN if lost else HELD


main(__file__, case)
