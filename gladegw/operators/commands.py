"""The operators' calls: a line in, an answer out. The words are those of the operators' page."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from gladegw.operators.lifecycle import Event, Lifecycle, Refused, State
from gladegw.operators.request_counters import Ledger

LONGEST = 256  # bytes of a call
WORDS = ("PING", "INFO", "LAMEDUCK", "REJOIN")


class Line:
    """Collects one line from pieces of any size; what comes after it is not looked at."""

    def __init__(self) -> None:
        self.held = b""
        self.too_long = False

    def feed(self, data: bytes) -> bytes | None:
        """The line without its end, once it is whole. One that is too long counts as whole: no call."""
        self.held += data
        line, end, _ = self.held.partition(b"\n")
        if end and len(line) <= LONGEST:
            return line.removesuffix(b"\r")
        if len(line) > LONGEST:
            self.too_long = True
            return line[:LONGEST]
        return None

    def ended(self) -> bytes | None:
        """What came before the caller ended its side: a call too, if it is one."""
        return self.held or None


@dataclass(frozen=True, slots=True)
class Backends:
    """What is known of the listed backends now."""

    known: int
    skipped: int


class Operators:
    """Answers calls; `able` says whether some backend is there to serve."""

    def __init__(
        self,
        life: Lifecycle,
        ledger: Ledger,
        able: Callable[[], bool],
        backends: Callable[[], Backends],
        more: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        """`more`: lines of INFO from features that are on."""
        self.life, self.ledger, self.able, self.backends, self.more = life, ledger, able, backends, more

    def answer(self, line: bytes, too_long: bool = False) -> bytes:
        if too_long:
            return b"FAILURE a call has at most %d bytes\n" % LONGEST
        word = line.strip(b" \t").decode("ascii", "replace")
        if word == "PING":
            return self._ping()
        if word == "INFO":
            return "".join(f"{text}\n" for text in self.info()).encode()
        if word in (Event.LAMEDUCK.value, Event.REJOIN.value):
            return self._turn(Event(word))
        return f"FAILURE unknown call; calls are {', '.join(WORDS)}\n".encode()

    def _ping(self) -> bytes:
        state = self.life.state
        if state is not State.READY:
            return f"FAILURE {state.value}\n".encode()
        return b"SUCCESS ready\n" if self.able() else b"FAILURE no backend is listed as ready\n"

    def _turn(self, event: Event) -> bytes:
        try:
            return f"SUCCESS {self.life.on(event).value}\n".encode()
        except Refused as fault:
            return f"FAILURE {fault}\n".encode()

    def info(self) -> Iterator[str]:
        ledger, backends = self.ledger, self.backends()
        yield "SUCCESS"
        for name, handled in ledger.handled.items():
            yield f"app.handled.{name}.passed={handled.passed}"
            yield f"app.handled.{name}.dropped={handled.dropped}"
            yield f"app.handled.{name}.bad_gateway={handled.bad_gateway}"
        yield f"app.upstream_tries={ledger.upstream_tries}"
        yield from self.more()
        yield f"app.in_progress={ledger.in_progress}"
        yield f"app.known_backends={backends.known}"
        yield f"app.skipped_backends={backends.skipped}"
        yield "EOT"
