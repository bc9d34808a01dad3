"""How many bytes of messages on their way the process may hold, and what that leaves to each stream."""

from __future__ import annotations

STREAMS_SHARE = 1 / 8  # of the memory limit, for bytes that have come and have not gone on
PIECES = 2  # pieces that a stream holds at most: one read, and one that the other side has not taken
LEAST_PIECE = 8 * 1024  # bytes
MOST_PIECE = 64 * 1024
WHOLE = 64 * 1024  # bytes of a message that is held whole, so that its request can be tried again


def piece(memory: int, streams: int) -> int:
    """Bytes read at a time, so that all `streams` together hold their share of `memory` bytes at most."""
    return int(max(LEAST_PIECE, min(MOST_PIECE, memory * STREAMS_SHARE / PIECES / max(1, streams))))
