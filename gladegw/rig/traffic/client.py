"""A client's side of HTTP/1.1 connections, one request at a time on each, by callbacks.

Used by the load generator and by nodes that call the next tier. It never waits for an answer before the
next request: where all connections are busy it opens another, up to a bound, and beyond that requests wait
in turn.
"""

from __future__ import annotations

import asyncio
import time
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any, cast

import httptools

LARGEST = 4 << 20  # bytes of an answer
SWEEP = 0.1  # s between looks for requests that waited out their time without a connection


class Exchange:
    """One request: when it was sent and how it ended.

    `how` is one of: answer (whole), closed (the peer ended the connection without a whole answer), garbage,
    refused (no connection came up), timeout (sent, no whole answer in time), unsent (no connection in time).
    """

    __slots__ = (
        "code",
        "crc",
        "deadline",
        "done",
        "ended",
        "headers",
        "how",
        "length",
        "line",
        "request",
        "resent",
        "sent",
    )

    def __init__(self, request: bytes, deadline: float, done: Callable[[Exchange], None]) -> None:
        self.request, self.deadline, self.done = request, deadline, done
        self.how = ""
        self.sent = self.ended = 0.0  # monotonic s
        self.code = self.crc = self.length = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.resent = False
        self.line: Line | None = None

    def end(self, how: str) -> None:
        if self.how:
            return
        self.how, self.ended, self.line = how, time.monotonic(), None
        self.done(self)

    def header(self, name: bytes) -> bytes:
        return next((value for key, value in self.headers if key == name), b"")


class Line(asyncio.Protocol):
    """One connection."""

    __slots__ = ("begun", "exchange", "idle_since", "parser", "pool", "transport", "used")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.parser: Any = None
        self.used = self.begun = False
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def begin(self, exchange: Exchange) -> None:
        assert self.transport is not None
        self.exchange, exchange.line = exchange, self
        self.begun = False
        self.parser = httptools.HttpResponseParser(self)
        exchange.sent = exchange.sent or time.monotonic()
        self.transport.write(exchange.request)

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            self.drop()
            return
        self.begun = True
        try:
            self.parser.feed_data(data)
        except Exception:  # whatever it is, it is no answer
            exchange, self.exchange = self.exchange, None
            self.drop()
            if exchange is not None:
                exchange.end("garbage")

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.exchange is not None:
            self.exchange.headers.append((name.lower(), value))

    def on_body(self, chunk: bytes) -> None:
        if self.exchange is not None:
            self.exchange.crc = zlib.crc32(chunk, self.exchange.crc)
            self.exchange.length += len(chunk)
            if self.exchange.length > LARGEST:
                raise ValueError("the answer is too large")

    def on_message_complete(self) -> None:
        exchange = self.exchange
        if exchange is None:
            return
        code = self.parser.get_status_code()
        if 100 <= code < 200:
            exchange.headers.clear()
            return
        self.exchange = None
        exchange.code = code
        self.used = True
        if self.parser.should_keep_alive():
            self.pool.keep(self)
        else:
            self.drop()
        exchange.end("answer")

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.pool.lost(self)
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        if self.used and not self.begun and not exchange.resent:
            exchange.resent = True  # the close may have crossed the request: once more, on a new connection
            self.pool.open_for(exchange)
        else:
            exchange.end("closed")

    def drop(self) -> None:
        self.pool.lost(self)
        if self.transport is not None:
            self.transport.abort()


class Pool:
    """The connections to one address."""

    def __init__(self, host: str, port: int, most: int, idle: float = 30.0, connect: float = 3.0) -> None:
        self.loop = asyncio.get_running_loop()
        self.host, self.port, self.most, self.idle_for, self.connect = host, port, most, idle, connect
        self.idle: list[Line] = []
        self.lines: set[Line] = set()
        self.opening = 0
        self.opened = 0  # in all
        self.waiting: deque[Exchange] = deque()
        self.out: set[Exchange] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweeper = self.loop.call_later(SWEEP, self._sweep)

    def send(self, exchange: Exchange) -> None:
        self.out.add(exchange)
        line = self._idle_line()
        if line is not None:
            line.begin(exchange)
        elif len(self.lines) + self.opening < self.most:
            self.open_for(exchange)
        else:
            self.waiting.append(exchange)

    def open_for(self, exchange: Exchange) -> None:
        self.opening += 1
        task = self.loop.create_task(self._open(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, exchange: Exchange) -> None:
        line = Line(self)
        try:
            left = min(self.connect, exchange.deadline - time.monotonic())
            async with asyncio.timeout(max(0.001, left)):
                await self.loop.create_connection(lambda: line, self.host, self.port)
        except (OSError, TimeoutError) as fault:
            self.opening -= 1
            late = isinstance(fault, TimeoutError) and time.monotonic() >= exchange.deadline - 0.001
            exchange.end("unsent" if late else "refused")
            self._open_next()
            return
        except BaseException:
            self.opening -= 1
            raise
        self.opening -= 1
        self.lines.add(line)
        self.opened += 1
        if exchange.how:
            self.keep(line)
        else:
            line.begin(exchange)

    def _idle_line(self) -> Line | None:
        oldest = time.monotonic() - self.idle_for
        while self.idle:
            line = self.idle.pop()
            if line.transport is not None and not line.transport.is_closing():
                if line.idle_since >= oldest:
                    return line
                line.drop()
        return None

    def keep(self, line: Line) -> None:
        now = time.monotonic()
        while self.waiting:
            exchange = self.waiting.popleft()
            if not exchange.how:
                if line.transport is not None and not line.transport.is_closing():
                    line.begin(exchange)
                else:
                    self.waiting.appendleft(exchange)
                    line.drop()
                return
        line.idle_since = now
        self.idle.append(line)

    def lost(self, line: Line) -> None:
        if line not in self.lines:
            return
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)
        self._open_next()

    def _open_next(self) -> None:
        """There is room for a connection: the next that waits gets one."""
        while self.waiting:
            exchange = self.waiting.popleft()
            if not exchange.how:
                self.open_for(exchange)
                return

    def give_up(self, exchange: Exchange) -> None:
        """Ends it now, and its connection with it, so that a late answer reaches nobody."""
        line = exchange.line
        if line is not None:
            line.exchange = None
            line.drop()
        exchange.end("timeout" if exchange.sent else "unsent")

    def _sweep(self) -> None:
        now = time.monotonic()
        self.out = {exchange for exchange in self.out if not exchange.how}
        for exchange in [e for e in self.out if e.deadline <= now]:
            self.give_up(exchange)
        while self.waiting and self.waiting[0].how:
            self.waiting.popleft()
        for line in [line for line in self.idle if line.idle_since < now - self.idle_for]:
            line.drop()
        self._sweeper = self.loop.call_later(SWEEP, self._sweep)

    def close(self) -> None:
        self._sweeper.cancel()
        for exchange in list(self.out):
            if not exchange.how:
                self.give_up(exchange)
        for line in list(self.lines):
            line.drop()
        for task in list(self._tasks):
            task.cancel()
