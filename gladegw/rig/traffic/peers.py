"""Peers with bad manners: they connect and send rubbish, a part, a drip, or nothing, and see what they
get."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Sequence
from random import Random

import msgspec

from gladegw.rig.judging import ledger

OWED = 3.0  # s from connecting, within which such a peer is owed an error or a close (TERMS)
PATIENCE = 3.5  # s that it waits
MANNERS = ("silent", "drip", "garbage", "half")
HALF = b"GET /status/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: "


class Rude(msgspec.Struct, frozen=True, kw_only=True):
    """A stretch in which such peers come, `rate` a second."""

    manner: str
    at: float
    lasts: float
    rate: float
    seed: int = 0


class Peers:
    def __init__(
        self,
        rude: Sequence[Rude],
        hosts: Sequence[str],
        names: Sequence[str],
        start: float,
        book: ledger.Ledger | None,
    ) -> None:
        self.rude, self.hosts, self.names, self.start, self.book = rude, hosts, names, start, book

    async def run(self) -> None:
        await asyncio.gather(*(self._stretch(rude) for rude in self.rude))

    async def _stretch(self, rude: Rude) -> None:
        draws = Random(rude.seed)
        async with asyncio.TaskGroup() as group:
            for number in range(int(rude.lasts * rude.rate)):
                due = self.start + rude.at + number / rude.rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                group.create_task(self._peer(rude.manner, number % len(self.hosts), draws.randbytes(64)))

    async def _peer(self, manner: str, place: int, rubbish: bytes) -> None:
        at = time.monotonic()
        how, code = "closed", 0
        writer: asyncio.StreamWriter | None = None
        try:
            host, _, port = self.hosts[place].rpartition(":")
            async with asyncio.timeout(PATIENCE):
                reader, writer = await asyncio.open_connection(host, int(port))
                dripping = asyncio.create_task(self._send(manner, writer, rubbish))
                try:
                    line = await reader.readline()
                finally:
                    dripping.cancel()
                parts = line.split(b" ")
                if len(parts) > 1 and parts[1].isdigit():
                    how, code = "answer", int(parts[1])
        except TimeoutError:
            how = "silence"
        except OSError:
            pass
        finally:
            if writer is not None:
                writer.close()
        if self.book is not None:
            ended = time.monotonic()
            self.book.put(ledger.PeerSeen(manner, self.names[place], at, ended, how, code))

    @staticmethod
    async def _send(manner: str, writer: asyncio.StreamWriter, rubbish: bytes) -> None:
        with contextlib.suppress(OSError):
            if manner == "garbage":
                writer.write(rubbish + b"\r\n\r\n")
            elif manner == "half":
                writer.write(HALF)
            elif manner == "drip":
                for byte in HALF * 100:
                    writer.write(bytes([byte]))
                    await asyncio.sleep(0.2)
