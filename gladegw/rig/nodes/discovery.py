"""The sockets of stand-in discovery. Each proxy has a door (an address) of its own, so that what each was
told can be written down."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from gladegw.rig.judging import ledger
from gladegw.rig.nodes.registry import Endpoint, Listing, Registry

LONGEST_HOLD = 60.0  # s that a watch may wait
MOVE_CLOSES = 1.5  # s after a move at which the old address closes what is open
LOOK = 0.25  # s between two looks whether a door has been idle too long


class Door:
    """One proxy's address of discovery, and what that proxy has been told."""

    def __init__(self, owner: Discovery, proxy: str, must_ask: float) -> None:
        self.owner, self.proxy, self.must_ask = owner, proxy, must_ask
        self.told: dict[str, tuple[str, int]] = {}
        self.asked_at = time.monotonic()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.calls: set[Caller] = set()

    async def open(self) -> str:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Caller(self), "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    async def move(self) -> str:
        """Another address; the old one takes nothing new and soon closes what it has."""
        old, callers = self.server, list(self.calls)
        if old is not None:
            old.close()

        def close() -> None:
            for caller in callers:
                caller.drop()

        self.owner.loop.call_later(MOVE_CLOSES, close)
        return await self.open()

    def tell(self, listing: Listing) -> None:
        """Written to the proxy just now."""
        now = time.monotonic()
        named = set()
        for endpoint in listing.endpoints:
            named.add(endpoint.name)
            self._note(endpoint.name, endpoint.status, endpoint.since_ms, now)
        if listing.snapshot:
            for name in [name for name in self.told if name not in named]:
                self._note(name, "Gone", 0, now)

    def _note(self, name: str, status: str, since_ms: int, now: float) -> None:
        if self.told.get(name) != (status, since_ms):
            if status == "Gone":
                if self.told.pop(name, None) is None:
                    return
            else:
                self.told[name] = status, since_ms
            self.owner.book.put(ledger.Told(self.proxy, name, now, status, since_ms))

    def overdue(self, now: float) -> None:
        """A proxy that neither watches nor asks counts as told of what it would have been told."""
        watching = any(caller.waiting for caller in self.calls)
        if not watching and now - self.asked_at > self.must_ask:
            self.tell(self.owner.registry.whole())


class Caller(asyncio.Protocol):
    """A connection of a proxy, with one call at a time."""

    def __init__(self, door: Door) -> None:
        self.door, self.owner = door, door.owner
        self.transport: asyncio.Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.target = b""
        self.waiting = False
        self.since: int | None = None  # the version it has; None: it asks for the whole list
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.door.calls.add(self)
        if self.owner.registry.down:
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.waiting = False
        self.door.calls.discard(self)
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except Exception:  # no request
            self.drop()

    def on_message_begin(self) -> None:
        self.target = b""

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_message_complete(self) -> None:
        self.door.asked_at = time.monotonic()
        if self.owner.registry.silent:
            return
        parts = urlsplit(self.target.decode("latin-1"))
        query = parse_qs(parts.query)
        if parts.path != "/v1/servers":
            self._write(404, b"{}")
            return
        try:
            self.since = int(query["from"][0]) if "from" in query else None
            hold = min(LONGEST_HOLD, int(query.get("hold_ms", ["0"])[0]) / 1000)
        except ValueError:
            self._write(400, b"{}")
            return
        if self.since is not None and self.since == self.owner.registry.version:
            self.waiting = True
            self.timer = self.owner.loop.call_later(hold, self.wake)
        else:
            self.answer()

    def wake(self) -> None:
        """The watch has something to tell, or its time is over."""
        if self.waiting:
            self.waiting = False
            if self.timer is not None:
                self.timer.cancel()
            if not self.owner.registry.silent:
                self.answer()

    def answer(self) -> None:
        registry = self.owner.registry
        now = time.monotonic()
        listing = registry.since(self.since) if self.since is not None else registry.whole()
        at = registry.turn(now, len(listing.endpoints))
        if at is None:
            self.owner.loop.call_later(registry.patience, self._write, 503, b"{}")
        else:
            self.owner.loop.call_later(at - now, self._send)

    def _send(self) -> None:
        registry = self.owner.registry
        if self.transport is None or registry.silent:
            return
        if registry.down:
            self._write(503, b"{}")
            return
        listing = registry.since(self.since) if self.since is not None else registry.whole()
        self._write(200, msgspec.json.encode(listing))
        self.door.asked_at = time.monotonic()
        self.door.tell(listing)

    def _write(self, code: int, body: bytes) -> None:
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n" % (code, len(body)) + body)

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Discovery:
    """The one service behind all doors."""

    def __init__(self, registry: Registry, book: ledger.Ledger, must_ask: float) -> None:
        self.registry, self.book, self.must_ask = registry, book, must_ask
        self.loop = asyncio.get_running_loop()
        self.doors: dict[str, Door] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._looking = self.loop.call_later(LOOK, self._look)

    async def door(self, proxy: str) -> str:
        door = self.doors[proxy] = Door(self, proxy, self.must_ask)
        return await door.open()

    def close_door(self, proxy: str) -> None:
        door = self.doors.pop(proxy, None)
        if door is not None:
            if door.server is not None:
                door.server.close()
            for caller in list(door.calls):
                caller.drop()

    def known_to(self, proxy: str) -> None:
        """The proxy starts with the list as it stands."""
        self.doors[proxy].told = {e.name: (e.status, e.since_ms) for e in self.registry.endpoints.values()}

    def change(self, delay: float, endpoint: Endpoint) -> None:
        self.registry.plan(time.monotonic() + delay, endpoint)
        self.arm()

    def arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due = self.registry.next_due()
        if due is not None:
            self._timer = self.loop.call_later(max(0.0, due - time.monotonic()), self._publish)

    def _publish(self) -> None:
        if self.registry.publish(time.monotonic()):
            self._each_caller(lambda caller: caller.wake())
        self.arm()

    def _each_caller(self, do: Callable[[Caller], None]) -> None:
        for door in self.doors.values():
            for caller in list(door.calls):
                do(caller)

    def set_down(self, down: bool) -> None:
        self.registry.down = down
        if down:
            self._each_caller(lambda caller: caller.drop())

    def set_silent(self, silent: bool) -> None:
        self.registry.silent = silent
        if not silent:
            self._each_caller(lambda caller: caller.drop())  # what was asked meanwhile gets no answer

    def set_stale(self, stale: bool) -> None:
        self.registry.stale = stale
        self.arm()

    def _look(self) -> None:
        now = time.monotonic()
        if not (self.registry.down or self.registry.silent):
            for door in self.doors.values():
                door.overdue(now)
        self._looking = self.loop.call_later(LOOK, self._look)

    def close(self) -> None:
        self._looking.cancel()
        if self._timer is not None:
            self._timer.cancel()
        for proxy in list(self.doors):
            self.close_door(proxy)
