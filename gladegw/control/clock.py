"""Clock for lease expiry: monotonic, and it also advances while the machine is suspended."""

from __future__ import annotations

import time

BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def boot_time() -> float:
    """Return the seconds since the machine started."""
    return time.clock_gettime(BOOT_CLOCK)
