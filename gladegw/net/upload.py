"""The body of a request that is streamed to a backend while it is received."""

from __future__ import annotations

from collections.abc import Callable

from gladegw.limits.delivery_progress import DeliveryProgress


class RequestBody:
    """Buffer of body bytes between a client and one backend at a time.

    Bytes that no backend has taken are retained, so that another backend can be tried. Meanwhile the client
    is not read; `on_progress` is called when the buffer has been emptied.
    """

    __slots__ = ("buffer", "complete", "length", "on_progress", "on_release", "reader", "released", "size")

    def __init__(self, length: int | None, start: bytearray, on_progress: Callable[[], None]) -> None:
        self.length = length  # bytes; None: unknown until its end
        self.buffer = start
        self.size = len(start)  # bytes received
        self.on_progress = on_progress
        self.complete = False
        self.released = False  # a backend has taken bytes, which are no longer retained
        self.on_release: Callable[[], None] | None = None  # called when the first bytes are taken
        self.reader: Callable[[], None] | None = None  # called at new bytes and at the end

    @property
    def waiting(self) -> bool:
        """Whether the buffer holds bytes."""
        return bool(self.buffer)

    def feed(self, chunk: bytes) -> None:
        """Append received bytes; `flush` passes them on."""
        self.size += len(chunk)
        self.buffer += chunk

    def flush(self) -> None:
        """Tell the reader of the bytes that were appended."""
        if self.reader is not None:
            self.reader()

    def end(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        if self.reader is not None:
            self.reader()

    def take(self) -> bytes | None:
        """Remove and return the buffered bytes, or None if there are none at present."""
        if not self.buffer:
            return None
        if not self.released:
            self.released = True
            if self.on_release is not None:
                self.on_release()
        chunk = bytes(self.buffer)
        self.buffer.clear()
        self.on_progress()
        return chunk

    def drop(self) -> None:
        """Discard the buffer and the callbacks; the rest of the body is not needed."""
        self.reader = self.on_release = None
        self.buffer.clear()
        self.on_progress()


class UploadProgress(DeliveryProgress):
    """Notices that a backend takes no more of a request's body."""

    __slots__ = ()

    def has_stalled_upload(self, now: float, waiting: bool, undelivered: int) -> bool:
        """Whether the backend has taken nothing for `max_stall_s`, while bytes were waiting for it.

        `waiting`: the client's bytes wait here, so that it is not the client that is slow.
        """
        if not waiting:
            self.restart(now, undelivered)
        return self.has_stalled(now, undelivered)
