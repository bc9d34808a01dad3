"""The backends as discovery lists them, the pool of connections to them, and its limit."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import sys
import time
from bisect import bisect_right
from collections.abc import Callable
from operator import attrgetter

from gladegw.balancing.events import ServerState, Status
from gladegw.limits.buffer_budget import MAX_BUFFERED_BYTES
from gladegw.limits.memory_account import MemoryAccount
from gladegw.net.config import Address
from gladegw.net.endpoint_lists import ListedBackend, Listing
from gladegw.net.upstream.connections import UpstreamConnection
from gladegw.net.upstream.exchange import Exchange

log = logging.getLogger(__name__)

# Fraction of the configured idle time after which the proxy closes an idle connection, so that it closes
# before the backend does.
IDLE_FRACTION = 0.9
SWEEP_INTERVAL_S = 1.0  # between searches for connections that have been idle too long
# Time after a response before its connection is reused. A faulty backend may send a second response, which
# would be taken for the response to the next request.
MIN_REUSE_DELAY_S = 0.01
# Time after a failed connect during which an exchange waits for that delay instead of connecting.
REFUSAL_MEMORY_S = 5.0
IDLE_SINCE = attrgetter("idle_since")
# Connect errors raised by the local machine: no packet was sent, so the backend is not at fault and a retry
# may succeed.
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
ROOM_RETRY_S = 0.02  # until an exchange is tried again that waits for a connection to be freed
CONNECT_RETRY_INTERVAL_S = 0.01  # between retries after a local fault, within the connect timeout


class LocalFaultError(Exception):
    """Faults of the local machine prevented a connection until the connect timeout."""


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
        self.last_received_at = 0.0  # monotonic time of the last received bytes
        self.refused_at = -math.inf  # monotonic time of the last failed connect
        self.idle: list[UpstreamConnection] = []

    @property
    def recently_refused(self) -> bool:
        """Whether a connect to the backend has recently failed."""
        return time.monotonic() < self.refused_at + REFUSAL_MEMORY_S

    @property
    def serving(self) -> bool:
        """Whether the backend receives requests."""
        return self.state is ServerState.SERVING

    def take_idle(self) -> UpstreamConnection | None:
        """Remove and return the most recently used connection idle for MIN_REUSE_DELAY_S, or None.

        Those found to be idle too long or not reusable are closed.
        """
        now = time.monotonic()
        # The list is sorted, since connections are appended in the order of time.
        position = bisect_right(self.idle, now - MIN_REUSE_DELAY_S, key=IDLE_SINCE)
        while position:
            position -= 1
            connection = self.idle[position]
            if connection.idle_since > now - self.owner.max_idle_s and connection.reusable:
                self.remove_idle(connection)
                return connection
            connection.abandon()  # which also removes it from the list
        return None

    def take_recently_used(self) -> UpstreamConnection | None:
        """Remove and return the idle connection whose MIN_REUSE_DELAY_S is over first, or None."""
        while self.idle:
            connection = self.idle[0]
            if connection.reusable:
                self.remove_idle(connection)
                return connection
            connection.abandon()
        return None

    def return_idle(self, connection: UpstreamConnection) -> None:
        """Make a connection available for reuse, or close it if the backend does not serve."""
        if connection not in self.connections or not self.serving:
            connection.abandon()
            return
        connection.idle_since = time.monotonic()
        self.idle.append(connection)
        self.owner.upstreams_with_idle.add(self)

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Remove a connection from the idle ones."""
        if connection in self.idle:
            self.idle.remove(connection)
            if not self.idle:
                self.owner.upstreams_with_idle.discard(self)

    def unregister(self, connection: UpstreamConnection) -> None:
        """Unregister a lost connection."""
        self.remove_idle(connection)
        self.connections.discard(connection)
        self.owner.connections.discard(connection)

    def close_idle(self, unused_since: float = float("inf")) -> None:
        """Close connections that have been idle since `unused_since`, in seconds of the monotonic clock."""
        for connection in [c for c in self.idle if c.idle_since <= unused_since]:
            connection.abandon()

    def renew(self) -> None:
        """Discard all connections, since another process has taken over the address."""
        self.close_idle()
        self.connections.clear()  # those in use are closed by return_idle() when their exchange ends


class UpstreamPool:
    """All backends, and the limit on the number of connections to them."""

    def __init__(self, connect_timeout: float, conn_idle: float, max_connections: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout = connect_timeout
        self.max_idle_s = IDLE_FRACTION * conn_idle
        self.max_connections = max_connections
        # Frees a connection that a slowly read response holds; returns whether one is or may soon be free.
        self.make_room: Callable[[], bool] = lambda: False
        self.scratch = memoryview(bytearray(MAX_BUFFERED_BYTES))  # read buffer that all connections share
        self.memory = MemoryAccount(sys.maxsize)
        self.connections: set[UpstreamConnection] = set()  # those that are open
        self.by_id: dict[int, Upstream] = {}
        self.upstreams_with_idle: set[Upstream] = set()  # usually few of the thousands of backends
        self._connects: set[asyncio.Task[None]] = set()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def open(self) -> int:
        """The number of descriptors in use by connections or connects in progress."""
        return len(self.connections) + len(self._connects)

    @property
    def any_received(self) -> bool:
        """Whether any backend has sent anything."""
        return any(upstream.last_received_at for upstream in self.by_id.values())

    @property
    def ready(self) -> bool:
        """Whether any backend receives requests."""
        return any(upstream.serving for upstream in list(self.by_id.values()))

    def apply(self, listing: Listing) -> None:
        """Apply an endpoint list; only a complete list removes the backends that are missing from it."""
        listed_servers = set()
        for listed in listing.backends:
            listed_servers.add(listed.entry.server)
            self._add_backend(listed)
        if listing.complete:
            for server in [server for server in self.by_id if server not in listed_servers]:
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
        """Stop sending requests to a backend; exchanges in flight continue."""
        upstream = self.by_id[server]
        upstream.state = state
        upstream.close_idle()
        if state is ServerState.REMOVED:
            del self.by_id[server]

    def start(self, exchange: Exchange) -> None:
        """Start an exchange on an idle or a new connection."""
        upstream = exchange.upstream
        connection = upstream.take_idle()
        if connection is not None:
            exchange.start_on(connection)
            return
        if self.open >= self.max_connections or upstream.recently_refused:
            # A new connection is impossible or would probably fail.
            connection = upstream.take_recently_used()
            if connection is not None:
                delay = connection.idle_since + MIN_REUSE_DELAY_S - time.monotonic()
                self.loop.call_later(max(0.0, delay), self._start_after_delay, exchange, connection)
                return
        if self.open >= self.max_connections and not self._close_longest_idle():
            if self.make_room():
                self.loop.call_later(ROOM_RETRY_S, self._start_unless_ended, exchange)
            else:
                exchange.end(Status.NOT_SENT)  # the proxy's own connection limit: not the backend's fault
        else:
            task = self.loop.create_task(self._connect(exchange, upstream))
            self._connects.add(task)
            task.add_done_callback(self._connects.discard)

    def _start_unless_ended(self, exchange: Exchange) -> None:
        """Start an exchange that waited for a connection, unless its time is over."""
        if exchange.status is None:
            self.start(exchange)

    def _start_after_delay(self, exchange: Exchange, connection: UpstreamConnection) -> None:
        """Start an exchange on a connection whose reuse delay is over, or on another if it was closed."""
        upstream = exchange.upstream
        if connection in upstream.connections and connection.reusable:
            exchange.start_on(connection)
            return
        connection.abandon()
        if exchange.status is None:
            self.loop.call_soon(self.start, exchange)  # the closed connection is no longer counted then

    async def _connect(self, exchange: Exchange, upstream: Upstream) -> None:
        """Open a connection and start the exchange on it."""
        connection = UpstreamConnection(upstream)
        address, started_at = upstream.address, upstream.started_at
        try:
            async with asyncio.timeout(self.connect_timeout):
                await self._open_connection(connection, address)
            if (address, started_at) != (upstream.address, upstream.started_at):
                raise ConnectionError("the backend was replaced during the connect")
            if connection.transport is None:
                raise ConnectionError("the connection was closed immediately after it was established")
            upstream.connections.add(connection)
            exchange.start_on(connection)
        except LocalFaultError as fault:
            log.warning("backend %s: connect failed because of a local fault: %s", address, fault)
            connection.abandon()
            exchange.end(Status.NOT_SENT)
        except (OSError, TimeoutError):
            upstream.refused_at = time.monotonic()
            connection.abandon()
            exchange.end(Status.CONNECT_FAILED)
        except Exception:
            log.exception("backend %s: unexpected error when starting an exchange", address)
            connection.abandon()
            exchange.end(Status.RESET)

    async def _open_connection(self, connection: UpstreamConnection, address: Address) -> None:
        """Establish the connection, retrying after local faults.

        Raises OSError, or LocalFaultError if local faults persist until the timeout.
        """
        local_fault: OSError | None = None
        try:
            while True:
                try:
                    await self.loop.create_connection(lambda: connection, *address)
                    return
                except OSError as fault:
                    if fault.errno not in LOCAL_FAULTS:
                        raise
                    local_fault = fault
                    await asyncio.sleep(CONNECT_RETRY_INTERVAL_S)
        except asyncio.CancelledError:
            # ENETUNREACH may also be caused by the backend's network.
            if local_fault is not None and local_fault.errno != errno.ENETUNREACH:
                raise LocalFaultError(str(local_fault)) from None
            raise

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; False if there is none."""
        idle = [connection for upstream in self.upstreams_with_idle for connection in upstream.idle[:1]]
        if not idle:
            return False
        min(idle, key=lambda c: c.idle_since).abandon()
        return True

    def _sweep(self) -> None:
        """Close connections that have been idle too long."""
        for connection in self.connections:
            connection.update_share()  # the kernel may have accepted bytes since
        oldest = time.monotonic() - self.max_idle_s
        for upstream in list(self.upstreams_with_idle):
            upstream.close_idle(oldest)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
