"""How many bytes of messages on their way the process may hold, and what that leaves to each stream."""

from __future__ import annotations

STREAMS_MEMORY_FRACTION = 1 / 8  # of the memory limit, for bytes that have come and have not gone on
CHUNKS_PER_STREAM = (
    2  # pieces that a stream holds at most: one read, and one that the other side has not taken
)
MIN_CHUNK_BYTES = 8 * 1024  # bytes
MAX_CHUNK_BYTES = 64 * 1024
MAX_BUFFERED_BYTES = (
    64 * 1024
)  # bytes of a message that is held whole, so that its request can be tried again


def chunk_bytes(memory: int, streams: int) -> int:
    """Bytes read at a time, so that all `streams` together hold their share of `memory` bytes at most."""
    return int(
        max(
            MIN_CHUNK_BYTES,
            min(MAX_CHUNK_BYTES, memory * STREAMS_MEMORY_FRACTION / CHUNKS_PER_STREAM / max(1, streams)),
        )
    )
