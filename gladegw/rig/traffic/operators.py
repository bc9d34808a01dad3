"""Operators who ask each proxy for its state again and again, over a relay that may break."""

from __future__ import annotations

import asyncio
import time

from gladegw.rig.faults.links import Link
from gladegw.rig.judging import ledger

PATIENCE = 3.0  # s for an answer, longer than what is owed


async def called(address: str) -> str:
    """The first word of the answer to one PING, or how it failed."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(PATIENCE):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"PING\n")
            line = await reader.readline()
        return line.decode("latin-1").split(" ")[0].strip() or "closed"
    except TimeoutError:
        return "late"
    except OSError:
        return "refused"
    finally:
        if writer is not None:
            writer.close()


class Operators:
    """`every`: s between two calls of one proxy."""

    def __init__(self, book: ledger.Ledger, every: float) -> None:
        self.book, self.every = book, every
        self.links: dict[str, Link] = {}

    async def link(self, name: str, admin: str) -> None:
        self.links[name] = await Link(admin).__aenter__()

    async def ask(self, name: str) -> None:
        """Without end."""
        while True:
            at = time.monotonic()
            how = await called(self.links[name].address)
            self.book.put(ledger.Called(name, at, time.monotonic(), how))
            await asyncio.sleep(max(0.0, at + self.every - time.monotonic()))

    async def end(self) -> None:
        for link in self.links.values():
            await link.__aexit__()
