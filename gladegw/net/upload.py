"""The body of a request that is passed on while it comes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable


class RequestBody:
    """Bytes between a caller and one backend at a time. What no backend has taken is held, so that another
    can be tried; the caller is not read meanwhile (`moved` is told when all is taken)."""

    __slots__ = ("chunks", "complete", "length", "on_progress", "on_release", "reader", "released", "size")

    def __init__(self, length: int | None, chunks: list[bytes], on_progress: Callable[[], None]) -> None:
        self.length = length  # None: unknown until its end
        self.chunks = deque(chunks)
        self.size = sum(map(len, chunks))  # bytes that have come
        self.on_progress = on_progress
        self.complete = False
        self.released = False  # some bytes are no longer held
        self.on_release: Callable[[], None] | None = None
        self.reader: Callable[[], None] | None = None

    @property
    def waiting(self) -> bool:
        return bool(self.chunks)

    def feed(self, chunk: bytes) -> None:
        self.size += len(chunk)
        self.chunks.append(chunk)
        if self.reader is not None:
            self.reader()

    def end(self) -> None:
        self.complete = True
        if self.reader is not None:
            self.reader()

    def take(self) -> bytes | None:
        """The next bytes, which from here on are not held any more; None: there are none now."""
        if not self.chunks:
            return None
        if not self.released:
            self.released = True
            if self.on_release is not None:
                self.on_release()
        chunk = self.chunks.popleft()
        if not self.chunks:
            self.on_progress()
        return chunk

    def drop(self) -> None:
        """Nobody wants the rest."""
        self.reader = self.on_release = None
        self.chunks.clear()
        self.on_progress()
