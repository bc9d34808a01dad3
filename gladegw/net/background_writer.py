"""Writing of lines by a thread, so that a full pipe or a slow disk does not block requests."""

from __future__ import annotations

import logging
import os
import select
import threading
from collections import deque
from collections.abc import Callable, Iterable, Sequence

MAX_LOG_BYTES = 128 * 1024  # of queued log lines
CHUNK_BYTES = 32 * 1024  # per write, so that other writers of the descriptor get their turn

Write = Callable[[Sequence[bytes]], int]  # takes lines, returns how many it could not hand on

_write_lock = threading.Lock()  # lines of different writers do not mix


class BackgroundWriter:
    """Queue of at most `max_bytes` bytes, written by a thread of its own.

    If it is full, the oldest lines are dropped and counted.
    """

    def __init__(self, write: Write, max_bytes: int, name: str) -> None:
        self.write, self.max_bytes = write, max_bytes
        self.lines: deque[bytes] = deque()
        self.size = self.writing = self.dropped = 0  # bytes held, bytes being written, lines lost
        self.written = 0  # batches that went out whole
        self.stopping = False
        self.changed = threading.Condition()
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.thread.start()

    def put(self, lines: Iterable[bytes]) -> None:
        """Append lines."""
        with self.changed:
            for line in lines:
                self.lines.append(line)
                self.size += len(line)
            while self.lines and self.size + self.writing > self.max_bytes:
                self.size -= len(self.lines.popleft())
                self.dropped += 1
            self.changed.notify_all()

    def take_dropped(self) -> int:
        """Return the number of dropped lines and reset it."""
        with self.changed:
            dropped, self.dropped = self.dropped, 0
        return dropped

    def _run(self) -> None:
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.lines or self.stopping)
                if not self.lines:
                    return
                batch = list(self.lines)
                self.lines.clear()
                self.writing, self.size = self.size, 0
            try:
                lost = self.write(batch)
            except (OSError, ValueError):
                lost = len(batch)
            with self.changed:
                self.writing = 0
                self.dropped += lost
                self.written += not lost

    def close(self, timeout: float) -> None:
        """Write the queued lines as far as possible within `timeout` seconds."""
        with self.changed:
            self.stopping = True
            self.changed.notify_all()
        self.thread.join(timeout)


def to_descriptor(descriptor: int) -> Write:
    """A function that writes lines to a file descriptor, complete lines at a time."""

    def write(lines: Sequence[bytes]) -> int:
        chunk = bytearray()
        for place, line in enumerate(lines, 1):
            chunk += line
            if len(chunk) < CHUNK_BYTES and place < len(lines):
                continue
            with _write_lock:
                view = memoryview(bytes(chunk))
                while view:
                    try:
                        view = view[os.write(descriptor, view) :]
                    except BlockingIOError:
                        select.select([], [descriptor], [])
            chunk.clear()
        return 0

    return write


class LogHandler(logging.Handler):
    """Log handler that does not block the event loop if standard error is a full pipe."""

    def __init__(self, writer: BackgroundWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the formatted record."""
        try:
            self.writer.put([self.format(record).encode(errors="backslashreplace") + b"\n"])
        except Exception:
            self.handleError(record)
