"""Detection of stalls of the process, after which the sockets hold input that was not read in order."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from gladegw.net.upstream.exchange import ONE_LOOP_TURN_S

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05
# A longer gap between two checks counts as a stall; the grace of a drain covers shorter ones.
MAX_GAP_S = CHECK_INTERVAL_S + 0.1
# Loop turns until an endpoint list that was unread after a stall has been received, decoded and passed on.
SETTLING_TURNS = 8
MAX_SETTLING_S = 1.0  # a process that stalls again and again still decides after it


class StallMonitor:
    """Notices that this process stalled, for example because it was stopped.

    After a stall, requests and endpoint lists that arrived during it are read in any order. Nothing may be
    decided until the lists among them were applied, since discovery has already reported what they contain.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.checked_at = time.monotonic()
        self.stalled_since = 0.0  # latest check before the stall; meaningless while there is no turn left
        self.settling_since = 0.0  # end of the first stall that is not settled yet
        self.turns_left = 0  # until the sockets are read
        self.waiting: list[Callable[[], None]] = []
        self._check_periodically()

    def is_settling(self) -> bool:
        """Return whether input that arrived during a stall may still be unread."""
        now = time.monotonic()
        if now - self.checked_at > MAX_GAP_S:
            if not self.turns_left:
                log.info("process stalled: for_s=%.3f", now - self.checked_at)
                self.stalled_since, self.settling_since = self.checked_at, now
                self.loop.call_later(ONE_LOOP_TURN_S, self._on_turn)
            if now < self.settling_since + MAX_SETTLING_S:
                self.turns_left = SETTLING_TURNS
        self.checked_at = now
        return self.turns_left > 0

    def unread_since(self) -> float:
        """Return the monotonic time since which a signal or other input may have waited to be read."""
        if self.is_settling():
            return self.stalled_since
        return time.monotonic() - MAX_GAP_S

    def when_settled(self, callback: Callable[[], None]) -> None:
        """Call `callback` once the sockets were read after the present stall."""
        self.waiting.append(callback)

    def _check_periodically(self) -> None:
        self.is_settling()
        self.loop.call_later(CHECK_INTERVAL_S, self._check_periodically)

    def _on_turn(self) -> None:
        """Count a loop turn, in which the loop has read the sockets that were ready."""
        self.turns_left -= 1
        if self.turns_left:
            self.loop.call_later(ONE_LOOP_TURN_S, self._on_turn)
            return
        callbacks, self.waiting = self.waiting, []
        for callback in callbacks:
            callback()
