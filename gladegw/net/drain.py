"""Draining of downstream connections when the proxy becomes unready or shuts down."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from gladegw.net.downstream.server import DownstreamServer
from gladegw.operators.lifecycle import State

ACCEPT_AFTER_TERM_S = 0.45  # while the load balancer in front notices
LAST_ACCEPT_S = 0.6  # after SIGTERM, when the listener and idle connections close
POLL_INTERVAL_S = 0.01  # between checks for pending responses
DRAIN_POLL_INTERVAL_S = 0.1  # between checks of connections accepted while draining
UNUSED_CONNECTION_S = 1.0  # for the first request of a connection accepted while draining
LAST_BYTES_S = 1.0  # for the last responses to be received


class Drain:
    """Follows the life cycle: draining, ready again, or shutting down.

    `has_pending` returns the number of pending responses.
    """

    def __init__(self, server: DownstreamServer, has_pending: Callable[[], int]) -> None:
        self.server, self.has_pending = server, has_pending
        self.drain_task: asyncio.Task[None] | None = None

    def on_state(self, state: State) -> None:
        """Handle a state change; may be called from any thread."""
        self.server.loop.call_soon_threadsafe(self.follow, state)

    def follow(self, state: State) -> None:
        """Start or cancel draining on the event loop."""
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
        """Drain while the process and its listener stay.

        The load balancer in front may still send requests, and the drain may be cancelled.
        """
        await asyncio.sleep(ACCEPT_AFTER_TERM_S)
        self.server.drain()
        self.server.close_idle()
        while True:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
            self.server.close_idle(time.monotonic() - UNUSED_CONNECTION_S)

    async def shut_down(self) -> None:
        """Shut down gracefully.

        Clients continue to use a connection that stays open, and would lose what is pending at the end. Hence
        each response first closes its own connection, then idle ones are closed, and the process ends when
        nothing is pending.
        """
        self._stop()
        server = self.server
        if not server.draining:
            await asyncio.sleep(ACCEPT_AFTER_TERM_S)
        server.drain()
        server.close_idle()
        await asyncio.sleep(LAST_ACCEPT_S - ACCEPT_AFTER_TERM_S)
        await server.acceptor.close()
        answered_at = time.monotonic()
        while server.connections or self.has_pending():
            server.close_idle(partial=True)
            if self.has_pending() or server.has_pending:
                answered_at = time.monotonic()
            elif time.monotonic() > answered_at + LAST_BYTES_S:
                break  # the peers of the last responses had their time
            await asyncio.sleep(POLL_INTERVAL_S)
        server.abort()
