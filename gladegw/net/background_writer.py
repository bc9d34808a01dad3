"""Lines that leave by a thread, so that a pipe nobody reads or a slow disk holds up no request."""

from __future__ import annotations

import logging
import os
import select
import threading
from collections import deque
from collections.abc import Callable, Iterable, Sequence

LOG_BYTES = 128 * 1024  # bytes of log lines that wait to be written
CHUNK = 32 * 1024  # bytes that go out at a time: other writers of the same descriptor come in between

Write = Callable[[Sequence[bytes]], int]  # takes lines, returns how many it could not hand on

_whole_lines = threading.Lock()  # lines of different writers do not mix


class BackgroundWriter:
    """Holds at most `most` bytes; beyond that the oldest lines are lost, and counted."""

    def __init__(self, write: Write, most: int, name: str) -> None:
        self.write, self.max_bytes = write, most
        self.lines: deque[bytes] = deque()
        self.size = self.writing = self.dropped = 0  # bytes held, bytes being written, lines lost
        self.written = 0  # batches that went out whole
        self.stopping = False
        self.changed = threading.Condition()
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.thread.start()

    def put(self, lines: Iterable[bytes]) -> None:
        with self.changed:
            for line in lines:
                self.lines.append(line)
                self.size += len(line)
            while self.lines and self.size + self.writing > self.max_bytes:
                self.size -= len(self.lines.popleft())
                self.dropped += 1
            self.changed.notify_all()

    def take_dropped(self) -> int:
        with self.changed:
            lost, self.dropped = self.dropped, 0
        return lost

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
        """Writes what is held, as far as the target takes it in this time."""
        with self.changed:
            self.stopping = True
            self.changed.notify_all()
        self.thread.join(timeout)


def to_descriptor(descriptor: int) -> Write:
    def write(lines: Sequence[bytes]) -> int:
        chunk = bytearray()
        for place, line in enumerate(lines, 1):
            chunk += line
            if len(chunk) < CHUNK and place < len(lines):
                continue
            with _whole_lines:
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
    """Log lines by a writer: once figures share standard error, a full pipe must not hold up the loop."""

    def __init__(self, writer: BackgroundWriter) -> None:
        super().__init__()
        self.writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        try:
            self.writer.put([self.format(record).encode(errors="backslashreplace") + b"\n"])
        except Exception:
            self.handleError(record)
