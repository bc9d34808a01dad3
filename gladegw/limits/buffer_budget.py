"""The memory budget for buffered message bytes, and the read size that it leaves to each stream."""

from __future__ import annotations

STREAMS_MEMORY_FRACTION = 1 / 8  # of the memory limit, for bytes received and not yet forwarded
CHUNKS_PER_STREAM = 2  # one being received, one being sent to the other side
MIN_CHUNK_BYTES = 8 * 1024
MAX_CHUNK_BYTES = 64 * 1024
MAX_BUFFERED_BYTES = 64 * 1024  # a message up to this size is buffered so that its request can be retried

# Counted for each header field beyond its name and value, as in RFC 9113, section 6.5.2.
HEADER_OVERHEAD_BYTES = 32


def chunk_bytes(memory: int, streams: int) -> int:
    """Return the read size in bytes that keeps `streams` streams within their fraction of `memory` bytes.

    The size is at least `MIN_CHUNK_BYTES`, even if the streams then exceed that fraction.
    """
    return int(
        max(
            MIN_CHUNK_BYTES,
            min(MAX_CHUNK_BYTES, memory * STREAMS_MEMORY_FRACTION / CHUNKS_PER_STREAM / max(1, streams)),
        )
    )
