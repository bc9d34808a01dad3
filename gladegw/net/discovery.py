"""Discovery client: fetches the endpoint list or watches for its changes."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any, cast

import httptools

from gladegw.balancing.events import DiscoveryFailure
from gladegw.limits.unfinished_element import UnfinishedElement
from gladegw.net.config import Address
from gladegw.net.endpoint_lists import EndpointInventory, Listing, decode
from gladegw.net.log_rate_limit import LogRateLimit
from gladegw.net.upstream.exchange import ONE_LOOP_TURN_S

log = logging.getLogger(__name__)

HOLD_FRACTION = 0.25  # hold time of a watch call, as a fraction of the maximum interval between polls
# A watch whose connection has stalled can't be told from one without changes until its call times out. Hold
# time and timeout together take a third of the 6 s after which a change counts as known to the proxy. The
# rest is for the calls that follow, which discovery may reject while all proxies call at once.
MAX_HOLD_S = 0.8  # hold time of one watch call
ANSWER_TIMEOUT_S = 1.2  # for a response, beyond the hold time of its call
FIRST_HOLD_S = 0.05  # hold time of a call that opens a watch; short, as nothing is known before its response
CONNECT_TIMEOUT_S = 1.0
FULL_LIST_TIMEOUT_S = 2.1  # discovery may queue a call for 2 s before it rejects it
LONG_ANSWER_TIMEOUT_S = 4.0  # instead of FULL_LIST_TIMEOUT_S after a timeout, as discovery may be slow
IMMEDIATE_REJECTION_S = 0.3  # a rejection within this time was not queued
MAX_READ_S = 3.0  # beyond the timeout of a call, while parts of its response keep arriving
MIN_CALL_SPACING_S = 0.05  # average between the calls of a watch, if discovery answers them immediately
MAX_CALL_BURST = 4.0  # calls of a watch without spacing, since updates may follow one another closely
MAX_EMPTY_UPDATE_BYTES = 100  # a larger response contains updates and is logged
MAX_REFUSED_LINES_PER_S = 1  # log lines of calls whose connections are refused one after another
LIST_PATH = "/v1/servers"
MAX_HEAD_BYTES = 32 * 1024  # size limit of the header fields of one response
MAX_LIST_BYTES = 8 << 20  # size limit of a response body
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
        self.head_size = 0  # bytes of the response's header fields
        self.unfinished_element = UnfinishedElement()
        self.framed = False  # whether the response headers delimit its body
        self.until_close = False  # whether the body extends to the end of the connection
        self.last_received_at = 0.0  # when bytes last arrived
        self.answer_began_at = 0.0  # when the first bytes of the last answer arrived

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop passes a class of its own

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._fail(ConnectionError("discovery closed the connection"))

    def data_received(self, data: bytes) -> None:
        self.last_received_at = time.monotonic()
        try:
            self.parser.feed_data(data)
            self.unfinished_element.on_parsed(len(data))
        except Exception as fault:  # after any parser error the rest of the stream can't be parsed
            self._fail(ValueError(f"malformed response: {fault}"))
            self.close()

    def eof_received(self) -> bool | None:
        if self.until_close:
            self._complete()
        return None

    # parser callbacks
    def on_message_begin(self) -> None:
        self.framed = False
        self.head_size = 0
        self.answer_began_at = self.last_received_at

    def on_header(self, name: bytes, value: bytes) -> None:
        self.unfinished_element.on_completed()
        self.head_size += len(name) + len(value)
        if self.head_size > MAX_HEAD_BYTES:
            raise ValueError("response headers too large")
        self.framed = self.framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.unfinished_element.on_completed()
        self.until_close = not self.framed and self.parser.get_status_code() >= 200

    def on_body(self, chunk: bytes) -> None:
        self.unfinished_element.on_completed()
        self.body += chunk
        if len(self.body) > MAX_LIST_BYTES:
            raise ValueError("the response is too large")

    def on_message_complete(self) -> None:
        self.unfinished_element.on_completed()
        if self.parser.get_status_code() >= 200:  # 1xx responses are interim
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
        self.answer = None  # nothing awaits it any more
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    async def send(self, address: Address, target: str) -> asyncio.Future[tuple[int, bytes]]:
        """Send a call, over a new connection if necessary, and return the future of its response.

        Raises OSError.
        """
        loop = asyncio.get_running_loop()
        if not self.up:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, *address)
        if self.transport is None:
            raise ConnectionError("discovery closed the new connection immediately")
        self.parser = httptools.HttpResponseParser(self)
        self.unfinished_element = UnfinishedElement()
        self.body = bytearray()
        self.until_close = False
        self.answer = loop.create_future()
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n\r\n".encode())
        return self.answer


class DiscoveryCall:
    """One pending call to discovery: its target and its deadline."""

    def __init__(
        self, target: str, timeout: float, moves: int, number: int, hold: float, continues_watch: bool
    ) -> None:
        """Create a call that begins now.

        `timeout` is in seconds, beyond the hold time `hold`; `moves` is the number of address changes so far;
        `number` identifies the call in the log; `continues_watch` marks a call that continues a watch, which
        does not queue at discovery.
        """
        self.hold = hold
        self.number = number
        self.target, self.timeout, self.moves, self.continues_watch = target, timeout, moves, continues_watch
        self.begun_at = time.monotonic()
        self.answer: asyncio.Future[tuple[int, bytes]] | None = None

    def earliest_answer_at(self, is_confirmation: bool) -> float:
        """When discovery has written the response at the earliest, as a monotonic time.

        Its arrival does not tell, because it may be read late. `is_confirmation`: it contains no changes, so
        that discovery has waited for the call's hold time.
        """
        return self.begun_at + (self.hold if is_confirmation else 0.0)

    async def result(self, channel: _Channel) -> bytes:
        """The body of the response.

        Waits longer while parts of it arrive, up to MAX_READ_S, since a repeated call would transfer it again
        from the start. Raises OSError, TimeoutError or ValueError.
        """
        assert self.answer is not None
        due = self.begun_at + self.hold + self.timeout
        sockets_read = False
        while not self.answer.done():
            now = time.monotonic()
            latest = max(due, min(channel.last_received_at + ANSWER_TIMEOUT_S, due + MAX_READ_S))
            if now < latest:
                await asyncio.wait((self.answer,), timeout=latest - now)
            elif sockets_read:
                raise TimeoutError
            else:
                # Timers run before sockets: the answer may have arrived while the process was stopped.
                await asyncio.sleep(ONE_LOOP_TURN_S)
                sockets_read = True
        code, body = self.answer.result()
        if code in REJECTION_CODES:
            raise DiscoveryRejectedError(f"status {code}")
        if code != 200:
            raise ValueError(f"status {code}")
        return body


class Discovery:
    """Calls discovery when the balancer asks for it, and reports changes and failures.

    The only call that it makes unasked is the next call of a watch that continues.
    """

    def __init__(
        self,
        address: Address,
        version: int | None,
        max_poll_gap: float,
        on_list: Callable[[Listing], None],
        on_failed: Callable[[DiscoveryFailure, float], None],
        inventory: EndpointInventory | None = None,
        on_call_end: Callable[[str], None] = lambda result: None,
        has_stalled: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a client that makes no call yet.

        `inventory` holds the list of `version`, if one is known; `on_failed` is called with the kind of a
        failure and the monotonic time at which the call began, `on_call_end` with the name of each call's
        result. `has_stalled` tells whether this process has just stalled.
        """
        # Version None: no list from this address is known; 0 is a valid version.
        self.address, self.version = address, version
        self.hold = min(HOLD_FRACTION * max_poll_gap, MAX_HOLD_S)  # hold time of a watch call, in seconds
        self.on_list, self.on_failed, self.on_call_end = on_list, on_failed, on_call_end
        self.has_stalled = has_stalled
        self.last_call_at = self.previous_call_at = time.monotonic()  # begins of the latest two calls
        self.calls = 0  # number of calls made, which identifies the latest one in the log
        self.inventory = inventory or EndpointInventory()
        self.list_received = asyncio.Event()  # set once any list was received
        self.queued_call_timeout = FULL_LIST_TIMEOUT_S  # of a call that may queue at discovery
        # While a new configuration is being read, lists from the present address don't count as current.
        self.address_changing = False
        # Number of address changes. A call begun before the latest one has no effect on later calls.
        self.moves = 0
        # While connections are refused, discovery is called several times a second.
        self._was_refused, self._logs_call = False, True
        self._refused_lines = LogRateLimit(MAX_REFUSED_LINES_PER_S)
        self._watch: asyncio.Task[None] | None = None
        self._delayed_address: Address | None = None  # new address whose first call has not begun yet
        self._previous_watches: list[asyncio.Task[None]] = []
        self._fetches: set[asyncio.Task[None]] = set()

    def watch(self, on: bool, delay: float = 0.0) -> None:
        """Start a new watch after `delay` seconds, or stop watching."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        self._delayed_address = self.address if on and delay else None
        if on:
            self._watch = asyncio.get_running_loop().create_task(self._watch_loop(delay))

    def move(self, address: Address, delay: float = 0.0) -> None:
        """Switch to another address, whose list versions may differ, and fetch a full snapshot there.

        `delay`: seconds until the first call, which serves for all configurations until then.

        Changes that the previous address is still sending are applied too, so its watch is read until the new
        address has answered.
        """
        if address == self._delayed_address:
            return
        for task in self._fetches:
            task.cancel()
        if self._watch is not None:
            self._previous_watches.append(self._watch)
            self._watch = None
        self.address, self.version = address, None
        self.moves += 1
        self.watch(True, delay)

    def fetch(self) -> None:
        """Fetch a full snapshot."""
        task = asyncio.get_running_loop().create_task(self._fetch_snapshot())
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    def stop(self) -> None:
        """Cancel all calls."""
        for task in (self._watch, *self._previous_watches, *self._fetches):
            if task is not None:
                task.cancel()

    async def _watch_loop(self, delay: float) -> None:
        """Run one watch, whose first call begins after `delay` seconds.

        For discovery a watch continues if its next call arrives within 0.2 s of a response; otherwise the
        call queues behind those of all other callers. Hence the next call is sent before the list is
        delivered, which may take longer.
        """
        channel = _Channel()
        allowance = MAX_CALL_BURST
        moves = self.moves
        try:
            if delay:
                await asyncio.sleep(delay)
                self._delayed_address = None
            call = await self._send_watch_call(channel)
            while call is not None:
                body = await self._receive(channel, call)
                if body is None:
                    return
                listing = self._apply_response(body, call, channel)
                if listing is None:
                    return
                if moves != self.moves:  # the address changed meanwhile: the last list of this watch
                    self._deliver(listing, call, len(body))
                    return
                elapsed = time.monotonic() - call.begun_at
                allowance = min(MAX_CALL_BURST, allowance + elapsed / MIN_CALL_SPACING_S) - 1
                answered_call, size = call, len(body)
                if allowance >= 0 and channel.up:
                    # Scheduled rather than called, so that the call is written first. The list is delivered
                    # even if this watch is cancelled meanwhile.
                    asyncio.get_running_loop().call_soon(self._deliver, listing, answered_call, size)
                    call = await self._send_watch_call(channel)
                    continue
                self._deliver(listing, answered_call, size)
                if allowance < 0:
                    await asyncio.sleep(max(0.0, MIN_CALL_SPACING_S - elapsed))
                call = await self._send_watch_call(channel)
        finally:
            channel.close()

    def _new_call(
        self, target: str, timeout: float, hold: float = 0.0, continues_watch: bool = False
    ) -> DiscoveryCall:
        """Create a call that begins now; `timeout` is in seconds, beyond the hold time."""
        self.calls += 1
        self.previous_call_at, self.last_call_at = self.last_call_at, time.monotonic()
        return DiscoveryCall(target, timeout, self.moves, self.calls, hold, continues_watch)

    async def _send_watch_call(self, channel: _Channel) -> DiscoveryCall | None:
        """Send the next call of a watch; it requests a full snapshot if no version is known.

        None if that failed.
        """
        if self.version is None:
            call = self._new_call(LIST_PATH, self.queued_call_timeout)
        else:
            # After a stall the call may come too late to continue the watch.
            continues = channel.up and not self.has_stalled()
            hold = min(self.hold, MAX_HOLD_S if continues else FIRST_HOLD_S)
            timeout = ANSWER_TIMEOUT_S if continues else self.queued_call_timeout
            target = f"{LIST_PATH}?from={self.version}&hold_ms={int(hold * 1000)}"
            call = self._new_call(target, timeout, hold, continues_watch=continues)
        return await self._send(channel, call)

    async def _send(self, channel: _Channel, call: DiscoveryCall) -> DiscoveryCall | None:
        """Send a call; None if that failed."""
        self._logs_call = not self._was_refused or self._refused_lines.take()
        if not channel.up and self._logs_call:
            log.info(
                "discovery: sending a call on a new connection: target=%s call=%d since_previous_ms=%d",
                call.target,
                call.number,
                1000 * (self.last_call_at - self.previous_call_at),
            )
        try:
            call.answer = await channel.send(self.address, call.target)
        except (OSError, TimeoutError) as fault:
            self._report_failure(call, fault)
            return None
        return call

    async def _fetch_snapshot(self) -> None:
        """Fetch and deliver one full snapshot."""
        channel = _Channel()
        try:
            call = await self._send(channel, self._new_call(LIST_PATH, FULL_LIST_TIMEOUT_S))
            body = await self._receive(channel, call) if call is not None else None
            listing = (
                self._apply_response(body, call, channel) if call is not None and body is not None else None
            )
            if call is not None and body is not None and listing is not None:
                self._deliver(listing, call, len(body))
        finally:
            channel.close()

    async def _receive(self, channel: _Channel, call: DiscoveryCall) -> bytes | None:
        """The body of the response; None if the call failed."""
        try:
            return await call.result(channel)
        except (OSError, TimeoutError, ValueError) as fault:
            self._report_failure(call, fault)
            return None

    def _apply_response(self, body: bytes, call: DiscoveryCall, channel: _Channel) -> Listing | None:
        """Decode a response and apply it to the inventory; None if it is malformed.

        The next call of the watch continues from its version.
        """
        try:
            answer = decode(body)
            listing = self.inventory.apply(answer)
        except ValueError as fault:
            self._report_failure(call, fault)
            return None
        self._was_refused = False
        self.on_call_end("answered")
        if not call.continues_watch:
            log.info(
                "discovery: call answered: call=%d after_ms=%d version=%d changed=%d",
                call.number,
                1000 * (time.monotonic() - call.begun_at),
                listing.version,
                len(listing.backends),
            )
        is_confirmation = not answer.snapshot and not answer.endpoints
        listing.as_of = min(channel.answer_began_at, call.earliest_answer_at(is_confirmation))
        if call.moves == self.moves:
            self.queued_call_timeout = FULL_LIST_TIMEOUT_S
            self.version = answer.index
            for task in self._previous_watches:
                task.cancel()
            self._previous_watches = []
        return listing

    def _report_failure(self, call: DiscoveryCall, fault: Exception) -> None:
        """Log, count and report a failed call."""
        kind = self._failure_kind(call, fault)
        was_refused, self._was_refused = self._was_refused, kind is DiscoveryFailure.CONNECTION_REFUSED
        level = log.warning if self._logs_call or not (was_refused and self._was_refused) else log.debug
        level(
            "discovery: call failed: target=%s call=%d after_ms=%d version=%s reason=%s",
            call.target,
            call.number,
            1000 * (time.monotonic() - call.begun_at),
            self.version,
            str(fault) or type(fault).__name__,
        )
        self.on_call_end(kind.name.lower())
        if call.moves == self.moves:
            if isinstance(fault, TimeoutError) and not call.continues_watch:
                self.queued_call_timeout = LONG_ANSWER_TIMEOUT_S
            self.on_failed(kind, call.begun_at)

    @staticmethod
    def _failure_kind(call: DiscoveryCall, fault: Exception) -> DiscoveryFailure:
        """Classify the failure of a call.

        A call that continues a watch in time does not queue: discovery rejects it when it goes down.
        """
        if isinstance(fault, ConnectionRefusedError):
            return DiscoveryFailure.CONNECTION_REFUSED
        if isinstance(fault, ConnectionError) and call.continues_watch:
            return DiscoveryFailure.WATCH_ENDED
        if not isinstance(fault, DiscoveryRejectedError):
            return DiscoveryFailure.UNANSWERED
        if call.continues_watch:
            return DiscoveryFailure.WATCH_REJECTED
        waited = time.monotonic() - call.begun_at
        return (
            DiscoveryFailure.REJECTED_IMMEDIATELY
            if waited < IMMEDIATE_REJECTION_S
            else DiscoveryFailure.REJECTED
        )

    def _deliver(self, listing: Listing, call: DiscoveryCall, size: int) -> None:
        """Pass the changes of a list to `on_list`."""
        began = time.monotonic()
        listing.current = call.moves == self.moves and not self.address_changing
        self.list_received.set()
        try:
            self.on_list(listing)
        except Exception:
            # A change may have been lost, and later lists wouldn't repeat it: start again with a snapshot.
            log.exception("discovery: failed to apply a list; requesting a full snapshot")
            self.inventory.forget()
            self.version = None
            self.watch(True)
        if size > MAX_EMPTY_UPDATE_BYTES:
            log.info(
                "discovery: list applied: version=%d whole=%s changed=%d known=%d bytes=%d after_ms=%d "
                "took_ms=%d",
                listing.version,
                listing.complete,
                len(listing.backends),
                len(self.inventory.known),
                size,
                1000 * (began - call.begun_at),
                1000 * (time.monotonic() - began),
            )
