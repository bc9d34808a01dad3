"""The clock by which holding is proven: monotonic, and counting the time that the machine is suspended."""

from __future__ import annotations

import time

BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_time() -> float:
    """S since the machine started."""
    return time.clock_gettime(BOOT_CLOCK)
