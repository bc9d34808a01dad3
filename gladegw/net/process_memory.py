"""The memory of this process as the kernel counts it."""

from __future__ import annotations

import resource

PAGE_BYTES = resource.getpagesize()
RESIDENT_FIELD = 1  # of /proc/self/statm, in pages (proc(5))


def resident_bytes() -> int:
    """The resident memory of this process; 0 if this cannot be determined."""
    try:
        with open("/proc/self/statm", "rb") as statm:
            return int(statm.read().split()[RESIDENT_FIELD]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
