"""The set of downstream connections, their limits and their closing."""

from __future__ import annotations

import asyncio
import logging
import math
import sys
import time
from collections import deque
from collections.abc import Callable, Mapping

from gladegw.balancing.events import Effect
from gladegw.limits.connection_eviction import (
    CLOSE_AFTER_RESPONSE_FRACTION,
    MIN_READ_BYTES_PER_S,
    ConnectionStage,
    connections_to_evict,
    eviction_cost,
    slowest_reader,
)
from gladegw.limits.memory_account import MemoryAccount
from gladegw.net.acceptor import Acceptor
from gladegw.net.downstream.connection import ClientConnection
from gladegw.net.interfaces import RequestHandler, RequestInfo
from gladegw.net.log_rate_limit import LogRateLimit
from gladegw.net.request import Router
from gladegw.net.upstream.exchange import ONE_LOOP_TURN_S
from gladegw.operators.request_counters import RequestCounters, RequestObserver

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 120.0  # until a connection without a request is closed
# Time after the start of a drain in which requests in transit are still read. It ends well before 0.7 s
# after SIGTERM, when clients may no longer rely on a response.
READ_AFTER_DRAIN_S = 0.25
SWEEP_INTERVAL_S = 0.1  # between checks for overdue connections
MAX_FULL_READS_PER_TURN = 64  # of the event loop, before each further one waits for the next turn
MAX_SENT_AHEAD_PER_TURN = 16  # requests that are answered behind others, in a turn of the event loop
RANKING_VALID_S = 0.02  # for which the order of eviction is kept
MIN_RANKED = 32  # connections in that order
MAX_DISCARD_LINES_PER_S = 5  # log lines of connections that were aborted with unsent bytes


class DownstreamServer:
    """State that the downstream connections share; `max_connections` limits their number."""

    def __init__(
        self,
        effects: Mapping[str, Effect],
        handler: RequestHandler,
        max_connections: int,
        counters: RequestCounters,
        ready: Callable[[], bool],
        scratch: memoryview,
        memory: MemoryAccount | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.effects, self.handler, self.max_connections = effects, handler, max_connections
        self.counters, self.ready = counters, ready
        self.memory = memory or MemoryAccount(sys.maxsize)
        self.scratch = scratch  # read buffer that all connections share
        self.connections: set[ClientConnection] = set()  # those whose descriptors are not closed yet
        # Those with a complete request that has no response, and whose client takes what it is sent:
        self.pending: set[ClientConnection] = set()
        self.answering: deque[ClientConnection] = deque()  # with requests that wait behind an answered one
        self.answers_scheduled = False
        self.ranked: deque[ClientConnection] = deque()  # to be evicted next, in this order
        self.ranked_at = -math.inf  # monotonic
        self.last_ranked = 0  # their number at that time
        self.full_reads = 0  # in this turn of the event loop
        self.resting: deque[ClientConnection] = deque()  # they read on in a later turn
        # Connections that were overdue at the last check, but held unread bytes.
        self.overdue_unread: set[ClientConnection] = set()
        self.checked_at = math.inf  # monotonic time of the last check for overdue connections
        self.draining = False  # each response is the last on its connection
        self.reads_until = math.inf  # monotonic time until which requests behind a pending one are read
        self.observers: tuple[RequestObserver[RequestInfo], ...] = ()
        self.router: Router | None = None
        self.acceptor = Acceptor(
            lambda peer, accepted_at: ClientConnection(self, peer, accepted_at),
            max_connections,
            lambda: len(self.connections),
            self._evict,
        )
        self.discard_lines = LogRateLimit(MAX_DISCARD_LINES_PER_S)
        self.on_sweep: Callable[[], None] = lambda: None  # called at each check
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def limit_connections(self, max_connections: int) -> None:
        """Admit at most so many connections from now on."""
        self.max_connections = max_connections
        self.acceptor.limit_descriptors(max_connections)

    def log_discarded_bytes(self, unsent_bytes: int, stage: ConnectionStage) -> None:
        """Log that a connection is aborted before the kernel has accepted all bytes of its responses."""
        if self.discard_lines.take():
            log.warning(
                "connection aborted with unsent bytes: bytes=%d stage=%s draining=%s connections=%d",
                unsent_bytes,
                stage.name.lower(),
                self.draining,
                len(self.connections),
            )

    def drain(self) -> None:
        """Make each further response the last on its connection.

        Requests that are already in transit are still read.
        """
        if not self.draining:
            self.draining = True
            self.reads_until = time.monotonic() + READ_AFTER_DRAIN_S

    def resume(self) -> None:
        """Cancel the drain."""
        self.draining = False
        self.reads_until = math.inf

    @property
    def closes_after_response(self) -> bool:
        """Whether the server wants connections to close after their next response."""
        return self.draining or len(self.connections) >= CLOSE_AFTER_RESPONSE_FRACTION * self.max_connections

    @property
    def is_overloaded(self) -> bool:
        """Whether new clients have to wait until other connections close."""
        return len(self.connections) >= self.acceptor.max_served

    @property
    def has_pending(self) -> bool:
        """Whether a request that was read has no response yet, or one that its client is still reading."""
        pending = (ConnectionStage.PENDING, ConnectionStage.UPLOADING, ConnectionStage.DELIVERING)
        return any(connection.stage in pending for connection in self.connections)

    @property
    def at_capacity(self) -> bool:
        """Whether the limit of concurrent requests is reached; further ones are shed immediately."""
        return len(self.pending) > self.acceptor.max_served

    def answer_next_of(self, connection: ClientConnection) -> None:
        """Let a connection answer its next request once those that came before have had their turn."""
        self.answering.append(connection)
        self._schedule_answers()

    def _schedule_answers(self) -> None:
        """Answer in the next turn of the event loop, once in it."""
        if not self.answers_scheduled:
            self.answers_scheduled = True
            self.loop.call_soon(self._answer_waiting)

    def _answer_waiting(self) -> None:
        """Answer requests that were sent ahead, a few in a turn so that other connections get theirs."""
        self.answers_scheduled = False
        for _ in range(min(len(self.answering), MAX_SENT_AHEAD_PER_TURN)):
            self.answering.popleft().answer_next()
        if self.answering:
            self._schedule_answers()

    def may_read_on(self) -> bool:
        """Count a read that filled its buffer; returns whether more of it may be read in this loop turn."""
        self._schedule_turn_end()
        self.full_reads += 1
        return self.full_reads <= MAX_FULL_READS_PER_TURN

    def rest(self, connection: ClientConnection) -> None:
        """Let a connection read on in a later turn of the event loop."""
        self._schedule_turn_end()
        self.resting.append(connection)

    def _schedule_turn_end(self) -> None:
        if not (self.full_reads or self.resting):
            self.loop.call_soon(self._on_turn_end)

    def _on_turn_end(self) -> None:
        """Let connections that have read their part of a loop turn read on, those first that rest longest."""
        self.full_reads = 0
        for _ in range(min(len(self.resting), MAX_FULL_READS_PER_TURN)):
            self.resting.popleft().read_on()
        if self.resting:
            self.loop.call_later(ONE_LOOP_TURN_S, self._on_turn_end)

    def on_closed(self, connection: ClientConnection) -> None:
        """Remove a connection, and resume paused listeners once its descriptor is closed."""
        self.connections.discard(connection)
        self.pending.discard(connection)
        if self.acceptor.paused:
            self.loop.call_soon(self.acceptor.resume)  # the transport closes it right after this callback

    def _evict(self, count: int) -> None:
        """Abort up to `count` connections by the eviction policy, unless they hold unread bytes.

        The client of a closing connection has received its response or stopped reading. One that reads slowly
        may have sent more, which it may repeat.
        """
        flood, now = self.acceptor.flood, time.monotonic()
        wanted = max(count, MIN_RANKED)
        is_used_up = not self.ranked and self.last_ranked == wanted
        if now > self.ranked_at + RANKING_VALID_S or is_used_up:
            self.ranked_at = now
            self.ranked = deque(
                connections_to_evict(
                    self.connections, now, wanted, flood.silence_timeout, flood.stall_timeout
                )
            )
            self.last_ranked = len(self.ranked)
        evicted = 0
        while self.ranked and evicted < count:
            connection = self.ranked.popleft()
            cost = eviction_cost(connection, now, flood.silence_timeout, flood.stall_timeout)
            if cost is None or connection.awaits_body:
                continue
            reads_slowly = connection.read_rate(now) < MIN_READ_BYTES_PER_S
            if connection.stage is ConnectionStage.CLOSING or reads_slowly or not connection.unread:
                connection.abort_connection()
                evicted += 1

    def evict_slow_reader(self) -> bool:
        """Abort the connection of the client that reads a streamed response most slowly, if it is too slow.

        Returns whether a connection to a backend is freed, or may soon be: a client's rate is not known at
        first.
        """
        now = time.monotonic()
        held_up = [each for each in self.connections if each.body_source and each.write_buffer_full]
        connection = slowest_reader(held_up, now)
        if connection is not None:
            connection.abort_connection()
            return True
        return any(math.isinf(each.read_rate(now)) for each in held_up)

    def close_idle(self, unused_since: float = math.inf, partial: bool = False) -> None:
        """Close connections without a request that have been unchanged since `unused_since`.

        `unused_since` is in seconds of the monotonic clock. With `partial`, also those whose request is
        incomplete.
        """
        for connection in list(self.connections):
            stage = connection.stage
            may_be_receiving = stage in (ConnectionStage.RECEIVING, ConnectionStage.DELIVERING)
            unused = stage is ConnectionStage.IDLE or (
                may_be_receiving and (partial or not connection.receiving)
            )
            if unused and connection.changed_at <= unused_since and not connection.unread:
                connection.close()

    def abort(self, unused_since: float = math.inf) -> None:
        """Abort closing connections that have been unchanged since `unused_since`.

        Their peers do not read the last response, or do not close their side.
        """
        for connection in list(self.connections):
            is_unused = connection.closing and connection.changed_at <= unused_since
            if is_unused and not connection.delivery.in_progress:
                connection.abort_connection()

    def _close_overdue(self, now: float) -> None:
        """Close connections whose request is overdue.

        Unread bytes may complete it, as after a stall of the process: these are read first. A peer that goes
        on sending always has unread bytes, and is closed if what was read since the last check was overdue.
        """
        previous, self.overdue_unread = self.overdue_unread, set()
        for connection in [each for each in self.connections if each.overdue(now)]:
            was_read = connection in previous and connection.was_read_overdue(self.checked_at)
            if was_read or not connection.unread:
                connection.close()
            else:
                self.overdue_unread.add(connection)
        self.checked_at = now

    def _abort_stalled(self) -> None:
        """Abort connections whose clients have gone or stopped reading while a response waits for them."""
        for connection in [each for each in self.connections if each.is_pending_unread]:
            has_stalled = connection.write_buffer_full and not connection.delivery.in_progress
            if not connection.hung_up() and has_stalled:
                connection.abort_connection()

    def _sweep(self) -> None:
        """Close connections whose request is overdue, that are idle too long, or whose client has stalled."""
        now = time.monotonic()
        for connection in self.connections:
            connection.update_share()  # the kernel may have accepted bytes since
        self.on_sweep()
        self._close_overdue(now)
        self._abort_stalled()
        self.close_idle(now - IDLE_TIMEOUT_S)
        self.abort(now - IDLE_TIMEOUT_S)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
