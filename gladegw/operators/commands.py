"""The operators' commands: each is a request of one line, answered by one response.

The operators' documentation page describes the commands and their responses.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from gladegw.operators.lifecycle import Event, InvalidTransitionError, Lifecycle, State
from gladegw.operators.request_counters import RequestCounters

MAX_COMMAND_BYTES = 256
COMMANDS = ("PING", "INFO", "LAMEDUCK", "REJOIN")


class LineReader:
    """Collects one line from chunks of any size and ignores everything after it."""

    def __init__(self) -> None:
        self.buffer = b""
        self.too_long = False

    def feed(self, data: bytes) -> bytes | None:
        """Return the line without its line end once it is complete, else None.

        A line that is too long counts as complete: it is truncated and `too_long` is set.
        """
        self.buffer += data
        line, end, _ = self.buffer.partition(b"\n")
        if end and len(line) <= MAX_COMMAND_BYTES:
            return line.removesuffix(b"\r")
        if len(line) > MAX_COMMAND_BYTES:
            self.too_long = True
            return line[:MAX_COMMAND_BYTES]
        return None

    def finish(self) -> bytes | None:
        """Return the unterminated line when the input has ended, None if there is none."""
        return self.buffer or None


@dataclass(frozen=True, slots=True)
class BackendCounts:
    """The numbers of all backends in the endpoint list and of those currently skipped."""

    known: int
    skipped: int


class CommandHandler:
    """Executes operators' commands on a proxy process."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        counters: RequestCounters,
        has_backend: Callable[[], bool],
        backends: Callable[[], BackendCounts],
        extra_info: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        """Create a handler.

        `has_backend` returns whether a backend is available, `extra_info` the INFO lines of enabled features.
        """
        self.lifecycle = lifecycle
        self.counters = counters
        self.has_backend = has_backend
        self.backends = backends
        self.extra_info = extra_info

    def answer(self, line: bytes, too_long: bool = False) -> bytes:
        """Execute the command in `line` and return the response; errors are FAILURE responses."""
        if too_long:
            return b"FAILURE a call has at most %d bytes\n" % MAX_COMMAND_BYTES
        command = line.strip(b" \t").decode("ascii", "replace")
        if command == "PING":
            return self._ping()
        if command == "INFO":
            return "".join(f"{text}\n" for text in self.info()).encode()
        if command in (Event.LAMEDUCK.value, Event.REJOIN.value):
            return self._apply(Event(command))
        return f"FAILURE unknown call; calls are {', '.join(COMMANDS)}\n".encode()

    def _ping(self) -> bytes:
        state = self.lifecycle.state
        if state is not State.READY:
            return f"FAILURE {state.value}\n".encode()
        return b"SUCCESS ready\n" if self.has_backend() else b"FAILURE no backend is listed as ready\n"

    def _apply(self, event: Event) -> bytes:
        try:
            return f"SUCCESS {self.lifecycle.on(event).value}\n".encode()
        except InvalidTransitionError as error:
            return f"FAILURE {error}\n".encode()

    def info(self) -> Iterator[str]:
        """Yield the lines of the INFO response."""
        counters, backends = self.counters, self.backends()
        yield "SUCCESS"
        for name, handled in counters.handled.items():
            yield f"app.handled.{name}.passed={handled.passed}"
            yield f"app.handled.{name}.dropped={handled.dropped}"
            yield f"app.handled.{name}.bad_gateway={handled.bad_gateway}"
        yield f"app.upstream_tries={counters.upstream_attempts}"
        yield from self.extra_info()
        yield f"app.in_progress={counters.in_progress}"
        yield f"app.known_backends={backends.known}"
        yield f"app.skipped_backends={backends.skipped}"
        yield "EOT"
