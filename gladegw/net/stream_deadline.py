"""Ends a streamed response that its server does not complete in time."""

from __future__ import annotations

import asyncio
import time

from gladegw.balancing.events import Status
from gladegw.net.upstream.exchange import ONE_LOOP_TURN_S, TIMER_LAG_S, Exchange

# A large response is ended if it makes no progress for this long after the request's deadline.
LARGE_RESPONSE_STALL_S = 2.0
# Time after the deadline in which a response that is not large has to be completed. With a delay of the
# process of 0.15 s its client still sees the end within 0.5 s of the deadline.
COMPLETION_GRACE_S = 0.3
# A response of unknown length that is not large may become large while it progresses at this rate.
MIN_RATE_BYTES_PER_S = 4096.0
CHECK_INTERVAL_S = 0.05


class StreamDeadline:
    """Enforces the deadline of a request on its streamed response.

    A large response is timed by its first bytes only, so it may go on while it progresses or its client does
    not read. Any other response is complete within COMPLETION_GRACE_S of the deadline or is ended, which
    closes the client's connection. One of unknown length may still become large: it goes on while each
    further period of that length brings bytes at MIN_RATE_BYTES_PER_S.
    """

    __slots__ = ("_deadline", "_exchange", "_loop", "_period_bytes", "_period_ends_at", "_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop, exchange: Exchange, deadline: float) -> None:
        """Start to enforce the deadline, in seconds of the monotonic clock."""
        self._loop, self._exchange, self._deadline = loop, exchange, deadline
        self._period_ends_at = 0.0  # of the present period after the deadline; 0: none has begun
        self._period_bytes = 0  # forwarded before that period
        self._timer: asyncio.TimerHandle
        self._schedule(max(deadline, time.monotonic()))

    def cancel(self) -> None:
        """Stop to enforce the deadline."""
        self._timer.cancel()

    def _schedule(self, at: float) -> None:
        self._timer = self._loop.call_at(at, self._check, at)

    def _check(self, due_at: float) -> None:
        """Check the progress, after the sockets were read if the process was delayed."""
        if time.monotonic() > due_at + TIMER_LAG_S:
            # Timers run before sockets: the rest of the response may have arrived meanwhile.
            self._timer = self._loop.call_later(ONE_LOOP_TURN_S, self._judge)
        else:
            self._judge()

    def _judge(self) -> None:
        """End the response if it may not go on."""
        now = time.monotonic()
        if self._may_go_on(now):
            self._schedule(now + CHECK_INTERVAL_S)
        else:
            self._exchange.end(Status.TIMEOUT)

    def _may_go_on(self, now: float) -> bool:
        exchange = self._exchange
        if exchange.paused:
            self._period_ends_at = 0.0
            return True
        if exchange.large:
            return now < exchange.progressed_at + LARGE_RESPONSE_STALL_S
        if not self._period_ends_at:
            self._begin_period(now)
        elif now >= self._period_ends_at:
            received = exchange.forwarded_bytes - self._period_bytes
            if received < MIN_RATE_BYTES_PER_S * COMPLETION_GRACE_S:
                return False
            self._begin_period(now)
        return True

    def _begin_period(self, now: float) -> None:
        self._period_ends_at = now + COMPLETION_GRACE_S
        self._period_bytes = self._exchange.forwarded_bytes
