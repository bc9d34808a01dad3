"""The body of a request that is passed on while it comes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable


class Upload:
    """Bytes between a caller and one backend at a time. What no backend has taken is held, so that another
    can be tried; the caller is not read meanwhile (`moved` is told when all is taken)."""

    __slots__ = ("chunks", "length", "let_go", "moved", "on_let_go", "reader", "size", "whole")

    def __init__(self, length: int | None, chunks: list[bytes], moved: Callable[[], None]) -> None:
        self.length = length  # None: unknown until its end
        self.chunks = deque(chunks)
        self.size = sum(map(len, chunks))  # bytes that have come
        self.moved = moved
        self.whole = False
        self.let_go = False  # some bytes are no longer held
        self.on_let_go: Callable[[], None] | None = None
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
        self.whole = True
        if self.reader is not None:
            self.reader()

    def take(self) -> bytes | None:
        """The next bytes, which from here on are not held any more; None: there are none now."""
        if not self.chunks:
            return None
        if not self.let_go:
            self.let_go = True
            if self.on_let_go is not None:
                self.on_let_go()
        chunk = self.chunks.popleft()
        if not self.chunks:
            self.moved()
        return chunk

    def drop(self) -> None:
        """Nobody wants the rest."""
        self.reader = self.on_let_go = None
        self.chunks.clear()
        self.moved()
