"""Upstream connections, on which exchanges (attempts and probes) run, and their pool."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import time
from bisect import bisect_right
from operator import attrgetter
from typing import Any, cast

import httptools

from gladegw.balancing.events import ServerState, Status
from gladegw.limits.buffer_budget import MAX_BUFFERED_BYTES
from gladegw.net.config import Address
from gladegw.net.endpoint_lists import ListedBackend, Listing
from gladegw.net.sockets import has_unread
from gladegw.net.upstream.exchange import Exchange

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 32 * 1024  # of a response's headers
IDLE_FRACTION = 0.9  # of the settings' idle time after which this side closes first
SWEEP_INTERVAL_S = 1.0  # s between looks for idle connections
MIN_REST_S = 0.01  # no reuse so soon after a response: a faulty backend may send a second one
REFUSED_FOR_S = 5.0  # s after a refused connection in which connections are used without a rest
FLUSH_TIMEOUT_S = 0.05  # while a response of unknown length is buffered, so that it can be retried
IDLE_SINCE = attrgetter("idle_since")
# A connect that fails so has not left this machine: the backend is not at fault, and the next try may
# succeed.
LOCAL_FAULTS = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)
CONNECT_RETRY_INTERVAL_S = 0.01  # s until it is tried again, within the time of a connect
CHUNKED_BEGUN = -1  # the length of a response that declares none


class LocalFaultError(Exception):
    """No connection was possible in time because of a fault of this machine."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to a backend, which carries one exchange at a time."""

    __slots__ = (
        "answer",
        "body",
        "broken",
        "exchange",
        "flush_at",
        "head_size",
        "headers",
        "idle_since",
        "length",
        "parser",
        "size",
        "stopped",
        "transport",
        "until_close",
        "upstream",
    )

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.parser: Any = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.size = self.head_size = 0
        self.length: int | None = None  # of the response body; None: unknown until its end
        self.until_close = False  # the response body ends with the connection
        self.flush_at: asyncio.TimerHandle | None = None  # when a slow response is streamed
        self.answer: tuple[Exchange, int, bytes, bool] | None = None  # complete, not delivered yet
        self.broken = False
        self.stopped = False  # the backend does not read at present
        self.idle_since = 0.0

    # transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection (called by the event loop)."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class
        self.transport.set_write_buffer_limits(high=len(self.upstream.owner.scratch))
        self.upstream.owner.made += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and end its exchange (called by the event loop)."""
        self.transport = None
        self.upstream.lost(self)
        self._no_flush()
        if self.exchange is not None:
            # The whole request may have left this process, so the backend may have run it: never a resend.
            exchange, self.exchange = self.exchange, None
            exchange.connection = None
            exchange.end(Status.RESET)

    def eof_received(self) -> bool | None:
        """Complete a response whose end is the close of the connection (called by the event loop)."""
        if self.until_close and self.exchange is not None:
            self._complete(False)
            self._deliver()
        return None

    def pause_writing(self) -> None:
        """The write buffer is full: stop sending the request body."""
        self.stopped = True

    def resume_writing(self) -> None:
        """The write buffer has drained: continue to send the request body."""
        self.stopped = False
        if self.exchange is not None and self.exchange.uploading:
            self.exchange.progressed_at = time.monotonic()
            self.more()

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer that all upstream connections share."""
        return self.upstream.owner.scratch

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes."""
        self.upstream.last_received_at = time.monotonic()
        if self.exchange is None:
            self.abandon()  # an unsolicited response
            return
        try:
            self.parser.feed_data(self.upstream.owner.scratch[:size])
        except Exception as fault:  # garbage; it may still have run
            if self.exchange is not None:
                log.warning("backend %s: malformed answer: %s", self.upstream.address, fault)
            self.broken = True
        self._deliver()

    def _deliver(self) -> None:
        """Pass a complete response to its exchange; after any irregularity the connection is not reused."""
        if self.answer is not None:
            (exchange, code, body, keep), self.answer = self.answer, None
            headers, self.headers = self.headers, []
            self._no_flush()
            if keep and not self.broken and exchange.request_complete:
                self.exchange = None
                self.hold(False)
                self.upstream.return_idle(self)
            else:
                self.abandon()
            exchange.on_answer(code, headers, body)
        elif self.broken:
            self._break()

    # parser callbacks
    def on_message_begin(self) -> None:
        """Check that this is the only response to the request (called by the parser)."""
        if self.answer is not None:
            raise ValueError("more than one answer to one request")
        self.until_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field (called by the parser)."""
        self.head_size += len(name) + len(value)
        if self.head_size > MAX_HEAD_BYTES:
            raise ValueError("headers too large")
        if not self.until_close and self.length != CHUNKED_BEGUN:
            self.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Decide whether the response is buffered or streamed (called by the parser)."""
        code = self.parser.get_status_code()
        headers = dict(self.headers)
        length = headers.get(b"content-length", b"")
        self.length = int(length) if length.isdigit() else None
        if code >= 200 and code not in (204, 304):
            self.until_close = self.length is None and b"transfer-encoding" not in headers
            if self.length is None:
                self.length = CHUNKED_BEGUN
                self.flush_at = self.upstream.owner.loop.call_later(FLUSH_TIMEOUT_S, self._pass_on, code)
            elif self.length > MAX_BUFFERED_BYTES:
                self._pass_on(code)

    def on_body(self, chunk: bytes) -> None:
        """Buffer or forward a part of the body (called by the parser)."""
        exchange = self.exchange
        if exchange is None:
            return
        if exchange.sink is not None:
            exchange.progressed_at = self.upstream.last_received_at
            exchange.forward(chunk)
            return
        self.size += len(chunk)
        self.body.append(chunk)
        if self.size > MAX_BUFFERED_BYTES:
            code = self.parser.get_status_code()
            self._pass_on(code)
            if exchange.sink is None:
                raise ValueError("nobody wants it" if code == 200 else "body too large")

    def _pass_on(self, code: int) -> None:
        """Stream the response from here on."""
        exchange = self.exchange
        self._no_flush()
        if exchange is None or exchange.sink is not None or self.answer is not None:
            return
        length = None if self.length == CHUNKED_BEGUN else self.length
        if exchange.begin_answer(code, self.headers, length) and exchange.sink is not None:
            body, self.body = self.body, []
            for chunk in body:
                exchange.forward(chunk)

    def _no_flush(self) -> None:
        """Cancel the timer that starts streaming."""
        if self.flush_at is not None:
            self.flush_at.cancel()
            self.flush_at = None

    def on_message_complete(self) -> None:
        """Complete the response (called by the parser)."""
        self._complete(self.parser.should_keep_alive())  # known only here

    def _complete(self, keep_alive: bool) -> None:
        """Retain the complete response until `_deliver`; interim responses are ignored."""
        code = self.parser.get_status_code()
        body, self.body = b"".join(self.body), []
        self.size, self.head_size, self.length = 0, 0, None
        if 100 <= code < 200 and code != 101:
            self.headers = []  # an interim response
        elif self.exchange is not None:
            self.answer = self.exchange, code, body, keep_alive and code != 101

    def begin(self, exchange: Exchange) -> None:
        """Write the exchange's request."""
        assert self.transport is not None
        self.exchange = exchange
        self.transport.write(exchange.request())
        if exchange.upload is None:
            exchange.on_request_sent()
        else:
            exchange.upload.reader = self.more
            self.more()

    def more(self) -> None:
        """Send buffered bytes of the request body as far as the backend takes them."""
        exchange = self.exchange
        if exchange is None or exchange.upload is None or exchange.request_complete:
            return
        upload = exchange.upload
        chunked = upload.length is None
        while not self.stopped and self.transport is not None:
            chunk = upload.take()
            if chunk is None:
                break
            exchange.progressed_at = time.monotonic()
            self.transport.write(b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked else chunk)
        if upload.complete and not upload.waiting and self.transport is not None:
            if chunked:
                self.transport.write(b"0\r\n\r\n")
            exchange.on_request_sent()

    @property
    def silent(self) -> bool:
        """Whether the connection is open and nothing can be read from it.

        Unsolicited bytes would be taken for the next response; otherwise it is the backend's close.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return not has_unread(self.transport.get_extra_info("socket").fileno())

    def hold(self, on: bool) -> None:
        """Pause or resume reading, as the client does not read."""
        if self.transport is not None and not self.transport.is_closing():
            if on:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def abandon(self) -> None:
        """Abort the connection and detach its exchange."""
        self.exchange = None
        self._no_flush()
        self.upstream.forget(self)
        if self.transport is not None:
            self.transport.abort()

    def _break(self) -> None:
        """Abort the connection and fail its exchange after a malformed response."""
        exchange = self.exchange
        self.abandon()
        if exchange is not None:
            # The backend did respond, so it is up: a reset would indicate a process that has died.
            exchange.connection = None
            exchange.end(Status.ERROR)


class Upstream:
    """One backend as last listed by discovery, with its connections."""

    __slots__ = (
        "address",
        "connections",
        "idle",
        "last_received_at",
        "owner",
        "refused_at",
        "started_at",
        "state",
    )

    def __init__(self, owner: UpstreamPool, address: Address, started_at: float, state: ServerState) -> None:
        self.owner, self.address, self.started_at, self.state = owner, address, started_at, state
        self.connections: set[UpstreamConnection] = set()
        self.last_received_at = 0.0  # when it last sent anything
        self.refused_at = -math.inf  # when a connection to it last did not come up
        self.idle: list[UpstreamConnection] = []

    @property
    def refuses(self) -> bool:
        """Whether it has recently refused a connection."""
        return time.monotonic() < self.refused_at + REFUSED_FOR_S

    @property
    def serving(self) -> bool:
        """Whether it receives requests."""
        return self.state is ServerState.SERVING

    def take_idle(self, rested: bool = True) -> UpstreamConnection | None:
        """Remove and return the most recently used idle connection, or None.

        With `rested`, only those unused for MIN_REST_S. The others age and are closed.
        """
        now = time.monotonic()
        latest = now - MIN_REST_S if rested else now
        place = bisect_right(self.idle, latest, key=IDLE_SINCE)  # they were put there one after another
        while place:
            place -= 1
            connection = self.idle[place]
            if connection.idle_since > now - self.owner.idle_for and connection.silent:
                self.forget(connection)
                return connection
            connection.abandon()  # and is no longer at that place
        return None

    def return_idle(self, connection: UpstreamConnection) -> None:
        """Make a connection available for reuse, or close it if the backend does not serve."""
        if connection not in self.connections or not self.serving:
            connection.abandon()
            return
        connection.idle_since = time.monotonic()
        self.idle.append(connection)
        self.owner.with_idle.add(self)

    def forget(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the idle ones."""
        if connection in self.idle:
            self.idle.remove(connection)
            if not self.idle:
                self.owner.with_idle.discard(self)

    def lost(self, connection: UpstreamConnection) -> None:
        """Unregister a lost connection."""
        self.forget(connection)
        self.connections.discard(connection)
        self.owner.made -= 1

    def close_idle(self, unused_since: float = float("inf")) -> None:
        """Close connections that have been idle since `unused_since`, in seconds of the monotonic clock."""
        for connection in [c for c in self.idle if c.idle_since <= unused_since]:
            connection.abandon()

    def renew(self) -> None:
        """Discard all connections, since another process has taken over the address."""
        self.close_idle()
        self.connections.clear()  # those in use end with their exchange, in keep()


class UpstreamPool:
    """All backends, and the limit of connections to them."""

    def __init__(self, connect_timeout: float, conn_idle: float, max_connections: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout = connect_timeout
        self.idle_for = IDLE_FRACTION * conn_idle
        self.max_connections = max_connections
        self.made = 0  # open connections
        self.scratch = memoryview(bytearray(MAX_BUFFERED_BYTES))  # into which all connections read
        self.by_id: dict[int, Upstream] = {}
        self.with_idle: set[Upstream] = set()  # a few of thousands
        self._connects: set[asyncio.Task[None]] = set()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def open(self) -> int:
        """The number of descriptors in use or about to be."""
        return self.made + len(self._connects)

    @property
    def list_received(self) -> bool:
        """Whether any backend has sent anything."""
        return any(upstream.last_received_at for upstream in self.by_id.values())

    @property
    def ready(self) -> bool:
        """Whether any backend receives requests."""
        return any(upstream.serving for upstream in list(self.by_id.values()))

    def apply(self, listing: Listing) -> None:
        """Apply the updates of a list; only a complete list removes backends that it does not name."""
        named = set()
        for listed in listing.backends:
            named.add(listed.entry.server)
            self._add_backend(listed)
        if listing.complete:
            for server in [server for server in self.by_id if server not in named]:
                self._drain_backend(server, ServerState.REMOVED)

    def _add_backend(self, listed: ListedBackend) -> None:
        """Add or update one backend."""
        entry = listed.entry
        upstream = self.by_id.get(entry.server)
        if upstream is None:
            if entry.state is not ServerState.REMOVED:
                self.by_id[entry.server] = Upstream(self, listed.address, entry.started_at, entry.state)
            return
        if upstream.address != listed.address or entry.started_at > upstream.started_at:
            upstream.renew()
        upstream.address, upstream.started_at = listed.address, entry.started_at
        upstream.state = entry.state
        if entry.state is not ServerState.SERVING:
            self._drain_backend(entry.server, entry.state)

    def _drain_backend(self, server: int, state: ServerState) -> None:
        """Send nothing more to a backend; open exchanges continue."""
        upstream = self.by_id[server]
        upstream.state = state
        upstream.close_idle()
        if state is ServerState.REMOVED:
            del self.by_id[server]

    def start(self, exchange: Exchange) -> None:
        """Start an exchange on an idle or a new connection."""
        upstream = exchange.upstream
        connection = upstream.take_idle()
        if connection is None and (self.open >= self.max_connections or upstream.refuses):
            connection = upstream.take_idle(rested=False)  # there will be no other
        if connection is not None:
            exchange.start_on(connection)
        elif self.open >= self.max_connections and not self._close_idlest():
            exchange.end(Status.NOT_SENT)  # this proxy's own limit: no fault of the backend
        else:
            task = self.loop.create_task(self._connect(exchange, upstream))
            self._connects.add(task)
            task.add_done_callback(self._connects.discard)

    async def _connect(self, exchange: Exchange, upstream: Upstream) -> None:
        """Open a connection and start the exchange on it."""
        connection = UpstreamConnection(upstream)
        at, since = upstream.address, upstream.started_at
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self._connected(connection, at)
            if (at, since) != (upstream.address, upstream.started_at):
                raise ConnectionError("the backend is another one by now")
            if connection.transport is None:
                raise ConnectionError("lost as soon as made")
            upstream.connections.add(connection)
            exchange.start_on(connection)
        except LocalFaultError as fault:
            log.warning("backend %s: no connection could be made here: %s", at, fault)
            connection.abandon()
            exchange.end(Status.NOT_SENT)
        except (OSError, TimeoutError):
            upstream.refused_at = time.monotonic()
            connection.abandon()
            exchange.end(Status.CONNECT_FAILED)
        except Exception:
            log.exception("backend %s: an attempt failed", at)
            connection.abandon()
            exchange.end(Status.RESET)

    async def _connected(self, connection: UpstreamConnection, at: Address) -> None:
        """Establish the connection, retrying after local faults.

        Raises OSError, or LocalFaultError if local faults persist until the timeout.
        """
        local: OSError | None = None
        try:
            while True:
                try:
                    await self.loop.create_connection(lambda: connection, *at)
                    return
                except OSError as fault:
                    if fault.errno not in LOCAL_FAULTS:
                        raise
                    local = fault
                    await asyncio.sleep(CONNECT_RETRY_INTERVAL_S)
        except asyncio.CancelledError:
            if local is not None and local.errno != errno.ENETUNREACH:  # which may tell of the backend, too
                raise LocalFaultError(str(local)) from None
            raise

    def _close_idlest(self) -> bool:
        """Close the connection that has been idle longest; False if there is none."""
        idle = [connection for upstream in self.with_idle for connection in upstream.idle[:1]]
        if not idle:
            return False
        min(idle, key=lambda c: c.idle_since).abandon()
        return True

    def _sweep(self) -> None:
        """Close connections that have been idle too long."""
        oldest = time.monotonic() - self.idle_for
        for upstream in list(self.with_idle):
            upstream.close_idle(oldest)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
