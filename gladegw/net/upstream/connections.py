"""Upstream connections, on which exchanges (attempts and probes) run."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, Any, cast

import httptools

from gladegw.balancing.events import Status
from gladegw.limits.buffer_budget import HEADER_OVERHEAD_BYTES, MAX_BUFFERED_BYTES
from gladegw.limits.memory_account import CONNECTION_BYTES, Holding, MemoryShare, Shortage
from gladegw.limits.unfinished_element import UnfinishedElement
from gladegw.net.sockets import has_unread, unacknowledged_bytes
from gladegw.net.upstream.exchange import Exchange

if TYPE_CHECKING:
    from gladegw.net.upstream.pool import Upstream

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 32 * 1024  # limit of the header fields of one response, and their overhead
# A response of unknown length is buffered this long before it is streamed; until then the request can still
# be retried.
FLUSH_TIMEOUT_S = 0.05
UNDECLARED_LENGTH = -1  # body length of a response without Content-Length


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to a backend, which carries one exchange at a time."""

    __slots__ = (
        "body",
        "body_size",
        "broken",
        "exchange",
        "flush_timer",
        "head_size",
        "headers",
        "idle_since",
        "length",
        "parser",
        "response",
        "share",
        "transport",
        "unfinished_element",
        "until_close",
        "upstream",
        "write_paused",
    )

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.parser: Any = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()  # not delivered yet
        self.body_size = self.head_size = 0
        self.length: int | None = None  # of the response body; None: not known
        self.until_close = False  # the response body ends with the connection
        self.flush_timer: asyncio.TimerHandle | None = None  # starts streaming a slow response
        self.response: tuple[Exchange, int, bytes, bool] | None = None  # complete but not delivered yet
        self.unfinished_element = UnfinishedElement()
        self.broken = False
        self.write_paused = False  # the write buffer is full
        self.idle_since = 0.0
        self.share = MemoryShare(upstream.owner.memory)

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection (called by the event loop)."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is another class
        self.transport.set_write_buffer_limits(high=len(self.upstream.owner.scratch))
        self.upstream.owner.connections.add(self)
        self.share.set(Holding.CONNECTIONS, CONNECTION_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and end its exchange (called by the event loop)."""
        self.transport = None
        self.upstream.unregister(self)
        self.share.release()
        self._cancel_flush()
        if self.exchange is not None:
            # The whole request may have been sent, so the backend may have run it: never resend it here.
            exchange, self.exchange = self.exchange, None
            exchange.connection = None
            exchange.end(Status.RESET)
        # Ends the reference cycle, so that nothing waits for the garbage collector.
        self.parser = None

    def update_share(self) -> None:
        """Account for the bytes that are held for this connection now."""
        if self.transport is None:
            return
        complete = len(self.response[2]) if self.response is not None else 0
        received = len(self.body) + complete + self.head_size + self.unfinished_element.size
        self.share.set(Holding.RESPONSES, received)
        self.share.set(Holding.UNSENT_TO_SERVERS, self.transport.get_write_buffer_size())

    def eof_received(self) -> bool | None:
        """Complete a response whose end is the close of the connection (called by the event loop)."""
        if self.until_close and self.exchange is not None:
            self._complete(False)
            self._deliver()
        return None

    def pause_writing(self) -> None:
        """The write buffer is full: stop sending the request body."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """The write buffer has drained: continue to send the request body."""
        self.write_paused = False
        if self.exchange is not None and self.exchange.uploading:
            self.send_body()

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer that all upstream connections share."""
        owner = self.upstream.owner
        return owner.scratch[: owner.memory.allowance]

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes."""
        self.upstream.last_received_at = time.monotonic()
        if self.exchange is None:
            self.abandon()  # an unsolicited response
            return
        try:
            self.parser.feed_data(self.upstream.owner.scratch[:size])
            self.unfinished_element.on_parsed(size)
            self._forward_body()
        except Exception as fault:  # malformed response; the request may still have run
            if self.exchange is not None:
                log.warning("backend %s: malformed response: %s", self.upstream.address, fault)
            self.broken = True
        self._deliver()
        self.update_share()

    def _deliver(self) -> None:
        """Pass a complete response to its exchange; after any irregularity the connection is not reused."""
        if self.response is not None:
            (exchange, code, body, keep), self.response = self.response, None
            headers, self.headers = self.headers, []
            self._cancel_flush()
            if keep and not self.broken and exchange.request_complete:
                self.exchange = None
                self.set_read_paused(False)
                self.upstream.return_idle(self)
            else:
                self.abandon()
            exchange.on_response(code, headers, body)
        elif self.broken:
            self._fail_exchange()

    # parser callbacks
    def on_message_begin(self) -> None:
        """Check that this is the only response to the request (called by the parser)."""
        if self.response is not None:
            raise ValueError("the backend sent more than one response to one request")
        self.until_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field (called by the parser)."""
        self.unfinished_element.on_completed()
        self.head_size += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self.head_size > MAX_HEAD_BYTES:
            raise ValueError("response headers too large")
        if not self.until_close and self.length != UNDECLARED_LENGTH:
            self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Decide whether the response is buffered or streamed (called by the parser)."""
        self.unfinished_element.on_completed()
        code = self.parser.get_status_code()
        headers = dict(self.headers)
        length = headers.get(b"content-length", b"")
        self.length = int(length) if length.isdigit() else None
        if code >= 200 and code not in (204, 304):
            self.until_close = self.length is None and b"transfer-encoding" not in headers
            if self.length is None:
                self.length = UNDECLARED_LENGTH
                self.flush_timer = self.upstream.owner.loop.call_later(FLUSH_TIMEOUT_S, self._flush, code)
            elif self.length > self._max_held_bytes:
                self._start_streaming(code)

    @property
    def _max_held_bytes(self) -> int:
        """Bytes of a response that may be held until it is complete."""
        return min(MAX_BUFFERED_BYTES, self.upstream.owner.memory.allowance)

    def on_body(self, chunk: bytes) -> None:
        """Buffer or forward a part of the body (called by the parser)."""
        self.unfinished_element.on_completed()
        exchange = self.exchange
        if exchange is None:
            return
        code = self.parser.get_status_code()
        if code == 200:  # no other body is passed on
            self.body += chunk
        if exchange.sink is not None:
            return
        self.body_size += len(chunk)
        if self.body_size > self._max_held_bytes:
            self._start_streaming(code)
            if exchange.sink is None and self.body_size > MAX_BUFFERED_BYTES:
                raise ValueError("no receiver for a large body" if code == 200 else "response body too large")

    def _flush(self, code: int) -> None:
        """Start streaming a slow response, unless it should be complete first and can still be buffered."""
        if self.exchange is not None and self.exchange.prefers_complete():
            self.flush_timer = self.upstream.owner.loop.call_later(FLUSH_TIMEOUT_S, self._flush, code)
            return
        self._start_streaming(code)

    def _start_streaming(self, code: int) -> None:
        """Stream the response from now on, starting with its buffered bytes."""
        exchange = self.exchange
        self._cancel_flush()
        if exchange is None or exchange.sink is not None or self.response is not None:
            return
        length = None if self.length == UNDECLARED_LENGTH else self.length
        if exchange.begin_response(code, self.headers, length):
            if max(length or 0, self.body_size) <= MAX_BUFFERED_BYTES and length is not None:
                self.upstream.owner.memory.shortages[Shortage.RESPONSE_STREAMED_EARLY] += 1
            self._forward_body()

    def _forward_body(self) -> None:
        """Forward the received bytes of a streamed response, once for each read however small its pieces."""
        exchange = self.exchange
        if exchange is None or exchange.sink is None or not self.body:
            return
        chunk = bytes(self.body)
        self.body.clear()
        exchange.progressed_at = time.monotonic()
        exchange.forward(chunk)

    def _cancel_flush(self) -> None:
        """Cancel the timer that starts streaming."""
        if self.flush_timer is not None:
            self.flush_timer.cancel()
            self.flush_timer = None

    def on_message_complete(self) -> None:
        """Complete the response (called by the parser)."""
        self.unfinished_element.on_completed()
        self._complete(self.parser.should_keep_alive())  # only known at the end of the response

    def _complete(self, keep_alive: bool) -> None:
        """Retain the complete response until `_deliver`; interim responses are ignored."""
        self._forward_body()
        code = self.parser.get_status_code()
        body = bytes(self.body)
        self.body.clear()
        self.body_size, self.head_size, self.length = 0, 0, None
        if 100 <= code < 200 and code != 101:
            self.headers = []  # an interim response
        elif self.exchange is not None:
            self.response = self.exchange, code, body, keep_alive and code != 101

    def begin(self, exchange: Exchange) -> None:
        """Write the exchange's request."""
        assert self.transport is not None
        self.exchange = exchange
        for part in exchange.request():  # not joined, which would copy the body
            self.transport.write(part)
        if exchange.upload is None:
            exchange.on_request_sent()
        else:
            exchange.upload.reader = self.send_body
            self.send_body()
        self.update_share()

    def send_body(self) -> None:
        """Send buffered bytes of the request body until the write buffer is full."""
        exchange = self.exchange
        if exchange is None or exchange.upload is None or exchange.request_complete:
            return
        upload = exchange.upload
        chunked = upload.length is None
        while not self.write_paused and self.transport is not None:
            chunk = upload.take()
            if chunk is None:
                break
            self.transport.write(b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked else chunk)
        if upload.complete and not upload.waiting and self.transport is not None:
            if chunked:
                self.transport.write(b"0\r\n\r\n")
            exchange.on_request_sent()
        self.update_share()

    @property
    def reusable(self) -> bool:
        """Whether the connection is open and its socket has nothing to read.

        Unread bytes would be taken for the next response; a readable end of stream means that the backend
        has closed.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return not has_unread(self.transport.get_extra_info("socket").fileno())

    @property
    def undelivered_bytes(self) -> int:
        """Number of written bytes that the backend's system has not acknowledged, as far as this is known."""
        if self.transport is None or self.transport.is_closing():
            return 0
        unacknowledged = unacknowledged_bytes(self.transport.get_extra_info("socket").fileno())
        return self.transport.get_write_buffer_size() + (unacknowledged or 0)

    def set_read_paused(self, paused: bool) -> None:
        """Pause reading while the client does not read, or resume it."""
        if self.transport is not None and not self.transport.is_closing():
            if paused:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def abandon(self) -> None:
        """Abort the connection and detach its exchange."""
        self.exchange = None
        self._cancel_flush()
        self.upstream.remove_idle(self)
        if self.transport is not None:
            self.transport.abort()

    def _fail_exchange(self) -> None:
        """Abort the connection and fail its exchange after a malformed response."""
        exchange = self.exchange
        self.abandon()
        if exchange is not None:
            # The backend did respond, so it is up: a reset would mean that its process has died.
            exchange.connection = None
            exchange.end(Status.ERROR)
