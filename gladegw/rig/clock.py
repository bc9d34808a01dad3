"""Wakes a loop at a given time more exactly than the loop's own timers, which count in milliseconds."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import time
from collections.abc import Callable

CLOCK_MONOTONIC = 1
TFD_NONBLOCK = os.O_NONBLOCK
TFD_CLOEXEC = os.O_CLOEXEC
TFD_TIMER_ABSTIME = 1


class _Spec(ctypes.Structure):
    """struct itimerspec of timerfd_settime(2)."""

    _fields_ = (
        ("interval_s", ctypes.c_long),
        ("interval_ns", ctypes.c_long),
        ("value_s", ctypes.c_long),
        ("value_ns", ctypes.c_long),
    )


class Alarm:
    """One pending wake-up; `set` again before it came replaces it. Where the system has no timerfd the loop's
    timers serve."""

    def __init__(self, loop: asyncio.AbstractEventLoop, wake: Callable[[], None]) -> None:
        self.loop, self.wake = loop, wake
        self.handle: asyncio.TimerHandle | None = None
        self.descriptor = -1
        try:
            self._libc = ctypes.CDLL(None, use_errno=True)
            self.descriptor = self._libc.timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)
        except (OSError, AttributeError):
            return
        if self.descriptor >= 0:
            loop.add_reader(self.descriptor, self._due)

    def set(self, at: float) -> None:
        """`at` is on the monotonic clock, in seconds; what is past is due at once."""
        if self.descriptor < 0:
            if self.handle is not None:
                self.handle.cancel()
            self.handle = self.loop.call_later(max(0.0, at - time.monotonic()), self.wake)
            return
        nanoseconds = max(1, int(at * 1e9))
        spec = _Spec(0, 0, nanoseconds // 1_000_000_000, nanoseconds % 1_000_000_000)
        self._libc.timerfd_settime(self.descriptor, TFD_TIMER_ABSTIME, ctypes.byref(spec), None)

    def _due(self) -> None:
        with contextlib.suppress(BlockingIOError):
            os.read(self.descriptor, 8)
            self.wake()

    def close(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
        if self.descriptor >= 0:
            self.loop.remove_reader(self.descriptor)
            os.close(self.descriptor)
            self.descriptor = -1
