"""Discovery client: fetches the endpoint list or watches for its changes."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any, cast

import httptools

from gladegw.balancing.events import DiscoveryFailure
from gladegw.net.config import Address
from gladegw.net.endpoint_lists import EndpointInventory, Listing, decode

log = logging.getLogger(__name__)

HOLD_FRACTION = 0.25  # of the maximum interval between polls, for one watch
# A watch that has fallen silent looks like one with nothing to tell until its call is given up. That takes a
# third of the 6 s after which a change counts as told; the rest is for the calls that follow, which may be
# refused while all proxies call at once.
MAX_HOLD_S = 0.8  # of one watch
ANSWER_TIMEOUT_S = 1.2  # beyond the hold time of a watch
FIRST_HOLD_S = 0.05  # of a call that opens a watch: until its response nothing is known
CONNECT_TIMEOUT_S = 1.0  # s
FULL_LIST_TIMEOUT_S = 2.1  # discovery may queue a call for 2 s before it rejects it
LONG_ANSWER_TIMEOUT_S = 4.0  # after a call without a response: discovery may be slow
IMMEDIATE_REJECTION_S = 0.3  # a rejection within this time was not queued
MAX_READ_S = 3.0  # beyond its timeout, for a response whose parts keep arriving
MIN_CALL_SPACING_S = 0.05  # on average, if discovery answers each call immediately
MAX_CONCURRENT_FETCHES = 4.0  # a burst of calls without spacing: updates may follow one another closely
MAX_EMPTY_UPDATE_BYTES = 100  # of a response without updates
LIST_PATH = "/v1/servers"
MAX_LIST_BYTES = 8 << 20  # of a response
REJECTION_CODES = (
    429,
    503,
)  # discovery is down or overloaded


class DiscoveryRejectedError(ValueError):
    """Discovery rejected the call."""


class _Channel(asyncio.Protocol):
    """One persistent connection to discovery, with one call at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None
        self.parser: Any = None
        self.body = bytearray()
        self.framed = False  # the response headers delimit its body
        self.until_close = False  # its body ends with the connection
        self.last_received_at = 0.0  # when bytes last arrived
        self.answer_began_at = 0.0  # when the first bytes of the last answer arrived

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._fail(ConnectionError("discovery closed the connection"))

    def data_received(self, data: bytes) -> None:
        self.last_received_at = time.monotonic()
        try:
            self.parser.feed_data(data)
        except Exception as fault:  # whatever it is, the stream can't be followed any further
            self._fail(ValueError(f"malformed answer: {fault}"))
            self.close()

    def eof_received(self) -> bool | None:
        if self.until_close:
            self._complete()
        return None

    # parser callbacks
    def on_message_begin(self) -> None:
        self.framed = False
        self.answer_began_at = self.last_received_at

    def on_header(self, name: bytes, value: bytes) -> None:
        self.framed = self.framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.until_close = not self.framed and self.parser.get_status_code() >= 200

    def on_body(self, chunk: bytes) -> None:
        self.body += chunk
        if len(self.body) > MAX_LIST_BYTES:
            raise ValueError("the answer is too large")

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() >= 200:  # others are interim responses
            self._complete()
            if not self.parser.should_keep_alive():
                self.close()

    def _complete(self) -> None:
        self.until_close = False
        if self.answer is not None and not self.answer.done():
            self.answer.set_result((self.parser.get_status_code(), bytes(self.body)))

    def _fail(self, fault: Exception) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(fault)

    @property
    def up(self) -> bool:
        """Whether a call can be sent immediately over the existing connection."""
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        self.answer = None  # it is not awaited any more
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    async def begin(self, at: Address, target: str) -> asyncio.Future[tuple[int, bytes]]:
        """Send a call, over a new connection if necessary, and return the future of its response.

        Raises OSError.
        """
        loop = asyncio.get_running_loop()
        if not self.up:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, *at)
        if self.transport is None:
            raise ConnectionError("lost as soon as made")
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.until_close = False
        self.answer = loop.create_future()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {at[0]}:{at[1]}\r\n\r\n".encode())
        return self.answer


class DiscoveryCall:
    """One pending call to discovery: its target and its deadline."""

    def __init__(self, target: str, timeout: float, moves: int, continues_watch: bool = False) -> None:
        """Create a call that begins now.

        `timeout` is in seconds; `moves` is the number of address changes so far; `continues_watch` marks a
        call that does not queue at discovery.
        """
        self.target, self.timeout, self.moves, self.continues_watch = target, timeout, moves, continues_watch
        self.begun_at = time.monotonic()
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None

    async def result(self, channel: _Channel) -> bytes:
        """The body of the response.

        Waits as long as parts of it arrive, since otherwise it would be requested and sent again from the
        start. Raises OSError, TimeoutError or ValueError.
        """
        assert self.answer is not None
        due = self.begun_at + self.timeout
        while not self.answer.done():
            now = time.monotonic()
            latest = max(due, min(channel.last_received_at + ANSWER_TIMEOUT_S, due + MAX_READ_S))
            if now >= latest:
                raise TimeoutError
            await asyncio.wait((self.answer,), timeout=latest - now)
        code, body = self.answer.result()
        if code in REJECTION_CODES:
            raise DiscoveryRejectedError(f"status {code}")
        if code != 200:
            raise ValueError(f"status {code}")
        return body


class Discovery:
    """Calls discovery as the balancer demands, and passes on changes and failures.

    It makes no call of its own, except for the next call of a watch that continues.
    """

    def __init__(
        self,
        at: Address,
        version: int | None,
        max_poll_gap: float,
        on_list: Callable[[Listing], None],
        on_failed: Callable[[DiscoveryFailure], None],
        inventory: EndpointInventory | None = None,
    ) -> None:
        """Create a client that makes no call yet.

        `inventory` is the list of `version`, if one is known; `on_failed` is called with the kind of a
        failure.
        """
        self.at, self.version = at, version  # None: no list of this address is known; 0 is a version too
        self.hold = min(HOLD_FRACTION * max_poll_gap, MAX_HOLD_S)  # s
        self.on_list, self.on_failed = on_list, on_failed
        self.inventory = inventory or EndpointInventory()
        self.list_received = asyncio.Event()  # whether a list was received
        self.turn_timeout = FULL_LIST_TIMEOUT_S
        self.address_changing = (
            False  # a new configuration is being read: what comes meanwhile is no news any more
        )
        self.moves = 0  # to other addresses; what began before the last one has no say in what follows
        self._watch: asyncio.Task[None] | None = None
        self._left: list[asyncio.Task[None]] = []  # watches at previous addresses
        self._fetches: set[asyncio.Task[None]] = set()

    def watch(self, on: bool) -> None:
        """Start a new watch, or stop watching."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if on:
            self._watch = asyncio.get_running_loop().create_task(self._watch_loop())

    def move(self, at: Address) -> None:
        """Switch to another address, whose versions may differ, and fetch a full snapshot there.

        Changes that the previous address has sent already count, so its watch is read until the new one has
        answered.
        """
        for task in self._fetches:
            task.cancel()
        if self._watch is not None:
            self._left.append(self._watch)
            self._watch = None
        self.at, self.version = at, None
        self.moves += 1
        self.watch(True)

    def fetch(self) -> None:
        """Fetch a full snapshot."""
        task = asyncio.get_running_loop().create_task(self._fetch_loop())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def stop(self) -> None:
        """Cancel all calls."""
        for task in (self._watch, *self._left, *self._fetches):
            if task is not None:
                task.cancel()

    async def _watch_loop(self) -> None:
        """Run one watch.

        A watch continues if its next call arrives within 0.2 s of a response; otherwise it starts again,
        behind all other callers. Hence the next call is sent before the list is applied, however long that
        takes.
        """
        channel = _Channel()
        allowance = MAX_CONCURRENT_FETCHES
        moves = self.moves
        try:
            call = await self._begin(channel)
            while call is not None:
                body = await self._answered(channel, call)
                if body is None:
                    return
                listing = self._read(body, call, channel)
                if listing is None:
                    return
                if moves != self.moves:  # discovery has moved: this was the last word from here
                    self._deliver(listing, call, len(body))
                    return
                elapsed = time.monotonic() - call.begun_at
                allowance = min(MAX_CONCURRENT_FETCHES, allowance + elapsed / MIN_CALL_SPACING_S) - 1
                answered, size = call, len(body)
                if allowance >= 0 and channel.up:
                    # What was written is taken whatever becomes of this watch: in the loop's next turn, when
                    # the call has been written.
                    asyncio.get_running_loop().call_soon(self._deliver, listing, answered, size)
                    call = await self._begin(channel)
                    continue
                self._deliver(listing, answered, size)
                if allowance < 0:
                    await asyncio.sleep(max(0.0, MIN_CALL_SPACING_S - elapsed))
                call = await self._begin(channel)
        finally:
            channel.close()

    async def _begin(self, channel: _Channel) -> DiscoveryCall | None:
        """Send the next call of a watch; without a known version it fetches the full snapshot."""
        if self.version is None:
            call = DiscoveryCall(LIST_PATH, self.turn_timeout, self.moves)
        else:
            hold = min(self.hold, MAX_HOLD_S if channel.up else FIRST_HOLD_S)
            timeout = ANSWER_TIMEOUT_S if channel.up else self.turn_timeout
            target = f"{LIST_PATH}?from={self.version}&hold_ms={int(hold * 1000)}"
            call = DiscoveryCall(target, hold + timeout, self.moves, continues_watch=channel.up)
        return await self._write(channel, call)

    async def _write(self, channel: _Channel, call: DiscoveryCall) -> DiscoveryCall | None:
        """Send a call; None if that failed."""
        if not channel.up:
            log.info("discovery: call begins: target=%s", call.target)
        try:
            call.answer = await channel.begin(self.at, call.target)
        except (OSError, TimeoutError) as fault:
            self._failed(call, fault)
            return None
        return call

    async def _fetch_loop(self) -> None:
        """Run one fetch."""
        channel = _Channel()
        try:
            call = await self._write(channel, DiscoveryCall(LIST_PATH, FULL_LIST_TIMEOUT_S, self.moves))
            body = await self._answered(channel, call) if call is not None else None
            listing = self._read(body, call, channel) if call is not None and body is not None else None
            if call is not None and body is not None and listing is not None:
                self._deliver(listing, call, len(body))
        finally:
            channel.close()

    async def _answered(self, channel: _Channel, call: DiscoveryCall) -> bytes | None:
        """The body of the response; None if the call failed."""
        try:
            return await call.result(channel)
        except (OSError, TimeoutError, ValueError) as fault:
            self._failed(call, fault)
            return None

    def _read(self, body: bytes, call: DiscoveryCall, channel: _Channel) -> Listing | None:
        """Decode and apply a response; None if it is malformed.

        The next call continues from its version.
        """
        try:
            answer = decode(body)
            listing = self.inventory.apply(answer)
        except ValueError as fault:
            self._failed(call, fault)
            return None
        listing.current = call.moves == self.moves and not self.address_changing
        listing.as_of = channel.answer_began_at
        if call.moves == self.moves:
            self.turn_timeout = FULL_LIST_TIMEOUT_S
            self.version = answer.index
            for task in self._left:
                task.cancel()
            self._left = []
        return listing

    def _failed(self, call: DiscoveryCall, fault: Exception) -> None:
        """Log and report a failed call."""
        log.warning(
            "discovery: call failed: target=%s after_ms=%d version=%s reason=%s",
            call.target,
            1000 * (time.monotonic() - call.begun_at),
            self.version,
            str(fault) or type(fault).__name__,
        )
        if call.moves == self.moves:
            if isinstance(fault, TimeoutError) and not call.continues_watch:
                self.turn_timeout = LONG_ANSWER_TIMEOUT_S
            self.on_failed(self._kind(call, fault))

    @staticmethod
    def _kind(call: DiscoveryCall, fault: Exception) -> DiscoveryFailure:
        """Classify the failure of a call."""
        if not isinstance(fault, DiscoveryRejectedError):
            return DiscoveryFailure.UNANSWERED
        waited = time.monotonic() - call.begun_at
        return (
            DiscoveryFailure.REJECTED_IMMEDIATELY
            if waited < IMMEDIATE_REJECTION_S
            else DiscoveryFailure.REJECTED
        )

    def _deliver(self, listing: Listing, call: DiscoveryCall, size: int) -> None:
        """Pass on the changes of a list."""
        began = time.monotonic()
        self.list_received.set()
        try:
            self.on_list(listing)
        except Exception:
            # Whoever follows the list may have missed a change, and no later list would repeat it.
            log.exception("discovery: a list could not be taken")
            self.inventory.forget()
            self.version = None
            self.watch(True)
        if size > MAX_EMPTY_UPDATE_BYTES:
            log.info(
                "discovery: list taken: version=%d whole=%s changed=%d known=%d bytes=%d after_ms=%d "
                "took_ms=%d",
                listing.version,
                listing.complete,
                len(listing.backends),
                len(self.inventory.known),
                size,
                1000 * (began - call.begun_at),
                1000 * (time.monotonic() - began),
            )
