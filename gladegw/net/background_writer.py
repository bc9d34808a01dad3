"""Writes lines on a background thread, so that a full pipe or a slow disk does not block requests."""

from __future__ import annotations

import logging
import os
import select
import threading
from collections import deque
from collections.abc import Callable, Iterable, Sequence

MAX_LOG_BYTES = 128 * 1024  # of queued log lines
CHUNK_BYTES = 32 * 1024  # written per hold of the lock, so that other writers do not wait long

Write = Callable[[Sequence[bytes]], int]  # writes lines and returns how many were lost

_write_lock = threading.Lock()  # keeps lines of different writers from interleaving


class BackgroundWriter:
    """Queue of lines of at most `max_bytes` in total, written by its own thread.

    When it is full, the oldest lines are dropped and counted.
    """

    def __init__(self, write: Write, max_bytes: int, name: str) -> None:
        self.write, self.max_bytes = write, max_bytes
        self.lines: deque[bytes] = deque()
        self.queued_bytes = self.writing_bytes = self.dropped_lines = 0
        self.complete_batches = 0  # batches written without losing a line
        self.stopping = False
        self.condition = threading.Condition()
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.thread.start()

    def put(self, lines: Iterable[bytes]) -> None:
        """Append lines, and drop the oldest queued lines beyond the size limit."""
        with self.condition:
            for line in lines:
                self.lines.append(line)
                self.queued_bytes += len(line)
            while self.lines and self.queued_bytes + self.writing_bytes > self.max_bytes:
                self.queued_bytes -= len(self.lines.popleft())
                self.dropped_lines += 1
            self.condition.notify_all()

    def take_dropped(self) -> int:
        """Return the number of dropped lines and reset it."""
        with self.condition:
            dropped, self.dropped_lines = self.dropped_lines, 0
        return dropped

    def _run(self) -> None:
        while True:
            with self.condition:
                self.condition.wait_for(lambda: self.lines or self.stopping)
                if not self.lines:
                    return
                batch = list(self.lines)
                self.lines.clear()
                self.writing_bytes, self.queued_bytes = self.queued_bytes, 0
            try:
                lost = self.write(batch)
            except (OSError, ValueError):
                lost = len(batch)
            with self.condition:
                self.writing_bytes = 0
                self.dropped_lines += lost
                self.complete_batches += not lost

    def close(self, timeout: float) -> None:
        """Write the queued lines as far as possible within `timeout` seconds."""
        with self.condition:
            self.stopping = True
            self.condition.notify_all()
        self.thread.join(timeout)


def to_descriptor(descriptor: int) -> Write:
    """Return a function that writes lines to a file descriptor, several complete lines at a time."""

    def write(lines: Sequence[bytes]) -> int:
        chunk = bytearray()
        for position, line in enumerate(lines, 1):
            chunk += line
            if len(chunk) < CHUNK_BYTES and position < len(lines):
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
