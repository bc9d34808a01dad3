"""How the callers' connections end when the proxy is to be lame or to leave."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from gladegw.net.downstream.server import Server
from gladegw.operators.lifecycle import State

STILL_COMING = 0.45  # s in which all is served as before, while the front takes notice
LAST_ACCEPT = 0.6  # s after SIGTERM at which the listener and the idle connections close
STEP = 0.01  # s between looks whether all is answered
LAME_STEP = 0.1  # s between looks at connections that came while lame
UNUSED = 1.0  # s for which a connection that came while lame may say nothing
LAST_BYTES = 1.0  # s for the last answers to be taken


class Drain:
    """Follows the life-cycle: lame and back, or out. `owed` tells how many answers are still to be given."""

    def __init__(self, server: Server, owed: Callable[[], int]) -> None:
        self.server, self.owed = server, owed
        self.lame: asyncio.Task[None] | None = None

    def told(self, state: State) -> None:
        """From whichever thread the change came."""
        self.server.loop.call_soon_threadsafe(self.follow, state)

    def follow(self, state: State) -> None:
        if state is State.DRAINING and self.lame is None:
            self.lame = self.server.loop.create_task(self._lame())
        elif state is State.READY or state is State.STARTING:
            self._stop()
            self.server.resume()

    def _stop(self) -> None:
        if self.lame is not None:
            self.lame.cancel()
            self.lame = None

    async def _lame(self) -> None:
        """The process stays and its listener too: the front may still send, and a drain may be called off."""
        await asyncio.sleep(STILL_COMING)
        self.server.drain()
        self.server.close_idle()
        while True:
            await asyncio.sleep(LAME_STEP)
            self.server.close_idle(time.monotonic() - UNUSED)

    async def leave(self) -> None:
        """Callers go on using a connection that stays open, and lose what is unanswered at the end: so each
        answer closes its own, then the rest close, and the process ends when nothing is owed any more."""
        self._stop()
        server = self.server
        if not server.draining:
            await asyncio.sleep(STILL_COMING)
        server.drain()
        server.close_idle()
        await asyncio.sleep(LAST_ACCEPT - STILL_COMING)
        await server.entrance.close()
        answered_at = time.monotonic()
        while server.connections or self.owed():
            server.close_idle(partial=True)
            if self.owed() or server.owes:
                answered_at = time.monotonic()
            elif time.monotonic() > answered_at + LAST_BYTES:
                break  # the last answers' peers have had their time
            await asyncio.sleep(STEP)
        server.abort()
