"""A relay on a link between two processes, which breaks it as networks do: each way by itself, late, held
back and let go later, or reset in the midst of a message."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random
from typing import Any

CHUNK = 64 * 1024  # bytes read at a time; what is held back beyond a chunk stays with the sender's kernel


class Way:
    """One direction of all connections of a link. Bytes are neither lost nor reordered within a connection:
    TCP would mend that; what is held back for longer than its users wait is as good as lost."""

    def __init__(self) -> None:
        self.delay = 0.0  # s
        self.waiting: list[bytearray] = []  # what is held back of each connection, as far as it was read
        self._open = asyncio.Event()
        self._open.set()

    @property
    def held(self) -> bool:
        return not self._open.is_set()

    def hold(self) -> None:
        self._open.clear()

    def release(self) -> None:
        self._open.set()

    async def passed(self, pace: float = 1.0) -> None:
        """Once what has just come may go on, on a connection of this pace."""
        if self.delay:
            await asyncio.sleep(self.delay * pace)
        await self._open.wait()

    async def kept(self, piece: bytes, reader: asyncio.StreamReader) -> bytes:
        """The piece, and what came behind it while it was held back."""
        if not self.held:
            return piece
        held = bytearray(piece)
        self.waiting.append(held)
        opened = asyncio.ensure_future(self._open.wait())
        tasks: list[asyncio.Future[Any]] = [opened]
        try:
            while self.held and len(held) < CHUNK:
                more = asyncio.ensure_future(reader.read(CHUNK))
                tasks[1:] = [more]
                await asyncio.wait((opened, more), return_when=asyncio.FIRST_COMPLETED)
                if not more.done():
                    break
                held += more.result()
                if not more.result():  # its end: what is read next tells it again
                    break
            await opened
        finally:
            self.waiting = [one for one in self.waiting if one is not held]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)  # nobody reads when the pump goes on
        return bytes(held)


class Link:
    """`async with` listens; `address` is what the one side is told in place of `target`."""

    def __init__(self, target: str, port: int = 0) -> None:
        host, _, told = target.rpartition(":")
        self.target, self.port = (host, int(told)), port
        self.address = ""
        self.there, self.back = Way(), Way()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.paces = Random(target)
        self.pumps: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Link:
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", self.port)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    async def __aexit__(self, *exc: object) -> None:
        assert self.server is not None
        self.server.close()
        self.reset()
        for pump in list(self.pumps):
            pump.cancel()

    def cut(self, manner: str = "both") -> None:
        """`there`, `back` or both, and for new connections too: they come up and nothing passes."""
        for way, name in ((self.there, "there"), (self.back, "back")):
            if manner in (name, "both"):
                way.hold()

    def late(self, seconds: float) -> None:
        """So much on each way, from none to twice that by connection: what comes on one overtakes what came
        on another."""
        self.there.delay = self.back.delay = seconds

    def heal(self) -> None:
        self.there.release()
        self.back.release()

    def reset(self) -> None:
        """Ends all connections where they are, in the midst of whatever is on its way."""
        for writer in list(self.writers):
            transport = writer.transport
            if isinstance(transport, asyncio.WriteTransport):
                transport.abort()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        other: asyncio.StreamWriter | None = None
        pace = self.paces.uniform(0.0, 2.0)
        try:
            await self.there.passed(pace)
            far, other = await asyncio.open_connection(*self.target)
            self.writers.add(other)
            pumps = [
                asyncio.create_task(self._pump(self.there, reader, other, pace)),
                asyncio.create_task(self._pump(self.back, far, writer, pace)),
            ]
            self.pumps |= set(pumps)
            for pump in pumps:
                pump.add_done_callback(self.pumps.discard)
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        except OSError:
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    self.writers.discard(end)
                    end.close()

    @staticmethod
    async def _pump(
        way: Way, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pace: float
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK):
                whole = await way.kept(chunk, reader)
                await way.passed(pace)
                writer.write(whole)
                await writer.drain()
