"""Callers of one proxy who ask one after another, and count what was lost: for replacements under load."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

LOOK = 0.05  # s
STILL = 0.5  # s by which a look comes late
KEEPS = (True, True, False)  # callers: whether each keeps its connection


class Steady:
    """Requests on connections that stay and on new ones; what each was answered, 0 for nothing. One that went
    out on a kept connection and found it closed without a byte is sent once more, as clients do (RFC 9112,
    section 9.3.1). One in whose time these callers themselves stood still is nobody's loss: a proxy does not
    wait for ever for a head."""

    def __init__(self, port: int, pause: float = 0.005) -> None:
        self.pause = pause  # s between two requests of a caller
        self.port, self.number = port, 0
        self.codes: list[int] = []
        self.lost = 0  # neither served nor, on a busy machine, refused by the decisions
        self.excused = 0  # of a time in which the callers stood still
        self.stood = 0.0  # when they last did
        self.why: Counter[str] = Counter()  # of the lost ones
        self.tasks: list[asyncio.Task[None]] = []
        self.ended = [0] * len(KEEPS)  # requests of each caller whose outcome is counted

    async def _look(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(LOOK)
            if time.monotonic() > before + LOOK + STILL:
                self.stood = time.monotonic()

    async def _ask(self, who: int, keep: bool) -> None:
        streams = None
        while True:
            self.number += 1
            request = (
                f"GET /status/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id(self)}-{self.number}\r\n"
                "X-Budget: 3000m\r\n\r\n"
            )
            began = time.monotonic()
            code, kept, shed, why = 0, streams is not None, False, ""
            while True:
                try:
                    async with asyncio.timeout(5.0):
                        if streams is None:
                            streams = await asyncio.open_connection("127.0.0.1", self.port)
                        streams[1].write(request.encode())
                        head = (await streams[0].readuntil(b"\r\n\r\n")).lower()
                        size = int(head.partition(b"content-length:")[2].split(b"\r\n", 1)[0])
                        body = await streams[0].readexactly(size)
                        code = int(head.split(b" ")[1])
                        shed = code == 503 and body.startswith(b"refused")
                        keeps = keep and b"connection: close" not in head
                except (OSError, asyncio.IncompleteReadError, TimeoutError) as fault:
                    keeps = False
                    partial = getattr(fault, "partial", b"")
                    why = f"{type(fault).__name__} on a {'kept' if kept else 'new'} connection"
                    kept &= not isinstance(fault, TimeoutError) and not partial
                if not keeps and streams is not None:
                    streams[1].close()
                    streams = None
                if code or not kept:
                    break
                kept = False
            if not code:
                await asyncio.sleep(LOOK)  # by then it is known whether they have stood still
            if not code and self.stood > began:
                self.excused += 1
            elif code != 200 and not shed:
                self.lost += 1
                self.why[f"answered {code}" if code else why] += 1
            self.codes.append(code)
            self.ended[who] += 1
            await asyncio.sleep(self.pause)

    async def __aenter__(self) -> Steady:
        self.tasks = [asyncio.create_task(self._ask(who, keep)) for who, keep in enumerate(KEEPS)]
        self.tasks.append(asyncio.create_task(self._look()))
        return self

    async def __aexit__(self, *exc: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def more(self, count: int) -> None:
        wanted = len(self.codes) + count
        async with asyncio.timeout(30.0):
            while len(self.codes) < wanted:
                await asyncio.sleep(0.01)

    async def settled(self) -> None:
        """All that were under way are counted."""
        wanted = [ended + 1 for ended in self.ended]
        async with asyncio.timeout(30.0):
            while any(ended < least for ended, least in zip(self.ended, wanted, strict=True)):
                await asyncio.sleep(0.01)
