"""Draining of downstream connections when the proxy becomes unready or shuts down."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from gladegw.net.downstream.server import DownstreamServer
from gladegw.operators.lifecycle import State

ACCEPT_AFTER_TERM_S = 0.45  # normal service until the load balancer in front notices the drain
LISTENER_CLOSE_DELAY_S = 0.6  # from SIGTERM until the listener and the last idle connections close
POLL_INTERVAL_S = 0.01  # between checks for pending responses
DRAIN_POLL_INTERVAL_S = 0.1  # between checks of connections accepted while draining
FIRST_REQUEST_TIMEOUT_S = 1.0  # of a connection accepted while draining
FINAL_CLOSE_TIMEOUT_S = 1.0  # for clients to close their connections after the last responses


class Drain:
    """Drains the downstream connections as the lifecycle state requires, and resumes service.

    `count_pending` returns the number of pending responses.
    """

    def __init__(self, server: DownstreamServer, count_pending: Callable[[], int]) -> None:
        self.server, self.count_pending = server, count_pending
        self.drain_task: asyncio.Task[None] | None = None

    def on_state(self, state: State) -> None:
        """Handle a state change; may be called from any thread."""
        self.server.loop.call_soon_threadsafe(self.apply_state, state)

    def apply_state(self, state: State) -> None:
        """Start or cancel draining; called on the event loop."""
        if state is State.DRAINING and self.drain_task is None:
            self.drain_task = self.server.loop.create_task(self._drain())
        elif state is State.READY or state is State.STARTING:
            self._stop()
            self.server.resume()

    def _stop(self) -> None:
        if self.drain_task is not None:
            self.drain_task.cancel()
            self.drain_task = None

    async def _drain(self) -> None:
        """Drain while the process keeps running and its listener stays open.

        The load balancer in front may still send requests, and the drain may be cancelled.
        """
        await asyncio.sleep(ACCEPT_AFTER_TERM_S)
        self.server.drain()
        self.server.close_idle()
        while True:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            self.server.close_idle(time.monotonic() - FIRST_REQUEST_TIMEOUT_S)

    async def shut_down(self) -> None:
        """Shut down gracefully.

        Clients continue to use connections that stay open, and would lose the requests that are pending when
        the process ends. Hence each response closes its own connection first, then idle connections are
        closed, and the process ends when nothing is pending. A response is pending until its client has
        received it or has stopped reading.
        """
        self._stop()
        server = self.server
        if not server.draining:
            await asyncio.sleep(ACCEPT_AFTER_TERM_S)
        server.drain()
        server.close_idle()
        await asyncio.sleep(LISTENER_CLOSE_DELAY_S - ACCEPT_AFTER_TERM_S)
        await server.acceptor.close()
        last_pending_at = time.monotonic()
        while server.connections or self.count_pending():
            server.close_idle(partial=True)
            if self.count_pending() or server.has_pending:
                last_pending_at = time.monotonic()
            elif time.monotonic() > last_pending_at + FINAL_CLOSE_TIMEOUT_S:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        server.abort()
