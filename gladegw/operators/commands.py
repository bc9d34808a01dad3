"""The operators' calls: a line in, an answer out. The words are those of the operators' page."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from gladegw.operators.lifecycle import Event, InvalidTransitionError, Lifecycle, State
from gladegw.operators.request_counters import RequestCounters

MAX_COMMAND_BYTES = 256  # bytes of a call
COMMANDS = ("PING", "INFO", "LAMEDUCK", "REJOIN")


class LineReader:
    """Collects one line from pieces of any size; what comes after it is not looked at."""

    def __init__(self) -> None:
        self.buffer = b""
        self.too_long = False

    def feed(self, data: bytes) -> bytes | None:
        """The line without its end, once it is whole. One that is too long counts as whole: no call."""
        self.buffer += data
        line, end, _ = self.buffer.partition(b"\n")
        if end and len(line) <= MAX_COMMAND_BYTES:
            return line.removesuffix(b"\r")
        if len(line) > MAX_COMMAND_BYTES:
            self.too_long = True
            return line[:MAX_COMMAND_BYTES]
        return None

    def ended(self) -> bytes | None:
        """What came before the caller ended its side: a call too, if it is one."""
        return self.buffer or None


@dataclass(frozen=True, slots=True)
class BackendCounts:
    """What is known of the listed backends now."""

    known: int
    skipped: int


class CommandHandler:
    """Answers calls; `able` says whether some backend is there to serve."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        counters: RequestCounters,
        has_backend: Callable[[], bool],
        backends: Callable[[], BackendCounts],
        extra_info: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        """`more`: lines of INFO from features that are on."""
        self.lifecycle, self.counters, self.has_backend, self.backends, self.extra_info = (
            lifecycle,
            counters,
            has_backend,
            backends,
            extra_info,
        )

    def answer(self, line: bytes, too_long: bool = False) -> bytes:
        if too_long:
            return b"FAILURE a call has at most %d bytes\n" % MAX_COMMAND_BYTES
        word = line.strip(b" \t").decode("ascii", "replace")
        if word == "PING":
            return self._ping()
        if word == "INFO":
            return "".join(f"{text}\n" for text in self.info()).encode()
        if word in (Event.LAMEDUCK.value, Event.REJOIN.value):
            return self._apply(Event(word))
        return f"FAILURE unknown call; calls are {', '.join(COMMANDS)}\n".encode()

    def _ping(self) -> bytes:
        state = self.lifecycle.state
        if state is not State.READY:
            return f"FAILURE {state.value}\n".encode()
        return b"SUCCESS ready\n" if self.has_backend() else b"FAILURE no backend is listed as ready\n"

    def _apply(self, event: Event) -> bytes:
        try:
            return f"SUCCESS {self.lifecycle.on(event).value}\n".encode()
        except InvalidTransitionError as fault:
            return f"FAILURE {fault}\n".encode()

    def info(self) -> Iterator[str]:
        ledger, backends = self.counters, self.backends()
        yield "SUCCESS"
        for name, handled in ledger.handled.items():
            yield f"app.handled.{name}.passed={handled.passed}"
            yield f"app.handled.{name}.dropped={handled.dropped}"
            yield f"app.handled.{name}.bad_gateway={handled.bad_gateway}"
        yield f"app.upstream_tries={ledger.upstream_attempts}"
        yield from self.extra_info()
        yield f"app.in_progress={ledger.in_progress}"
        yield f"app.known_backends={backends.known}"
        yield f"app.skipped_backends={backends.skipped}"
        yield "EOT"
