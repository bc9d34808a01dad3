"""Settings of the C library's allocator, which keep freed memory from staying with the process."""

from __future__ import annotations

import ctypes

# <malloc.h> of the GNU C library
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# Larger blocks are mapped by themselves and unmapped when they are freed; among small ones, buffers of all
# sizes would leave holes that nothing fits into.
MMAP_THRESHOLD_BYTES = 16 * 1024


_c_library = ctypes.CDLL(None)


def _function(name: str) -> ctypes._NamedFuncPointer | None:
    """A function of the C library; None if it has none of this name."""
    return getattr(_c_library, name, None)


def limit_fragmentation() -> bool:
    """Make the allocator return freed buffers; returns whether it supports that.

    To be called before other threads start: each would get a heap of its own.
    """
    mallopt = _function("mallopt")
    if mallopt is None:
        return False
    return bool(mallopt(M_ARENA_MAX, 1) and mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))


def return_free_memory() -> None:
    """Return free pages to the system, also those within the heap."""
    malloc_trim = _function("malloc_trim")
    if malloc_trim is not None:
        malloc_trim(0)
