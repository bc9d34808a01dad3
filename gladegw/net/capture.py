"""The feature `capture`: the inputs of each decision as JSON lines, from which it can be replayed."""

from __future__ import annotations

import logging
import re
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gladegw.balancing.events import Arrival, ServerState
from gladegw.net.background_writer import BackgroundWriter, to_descriptor
from gladegw.net.config import Config
from gladegw.net.endpoint_lists import Listing
from gladegw.net.load_reports import read_report
from gladegw.net.request import Request

log = logging.getLogger(__name__)

VERSION = 1
MAX_TEXT_CHARS = 200  # characters of a peer's text
TABLE_TEXT_DIVISOR = 4  # of the ring, maximum size of a route table's text
STATUS = {ServerState.SERVING: "Ready", ServerState.DRAINING: "Terminating", ServerState.REMOVED: "Gone"}


@dataclass(frozen=True, slots=True)
class CaptureSettings:
    """Settings of the block `capture`."""

    ring_kb: int = 512
    dir: str | None = None
    file_kb: int = 1024
    files: int = 8

    def __post_init__(self) -> None:
        if not 16 <= self.ring_kb <= 65_536:
            raise ValueError(f"ring_kb must be 16 to 65536, not {self.ring_kb}")
        if not 16 <= self.file_kb <= 1_048_576:
            raise ValueError(f"file_kb must be 16 to 1048576, not {self.file_kb}")
        if not 1 <= self.files <= 10_000:
            raise ValueError(f"files must be 1 to 10000, not {self.files}")
        if self.dir is not None and not self.dir:
            raise ValueError("dir must name a folder")


def encoder() -> Callable[[Any], bytes]:
    """A JSON encoder.

    Imported only if a capture is configured. The standard library's took a quarter of a request's CPU time.
    """
    import msgspec

    return msgspec.json.Encoder().encode


class RequestRecord(bytes):
    """The line of a request, with the lists that it refers to."""

    lists: dict[int, bytes]
    generation = 0  # of the table of routes that it was routed by
    table = b""


class CaptureFiles:
    """Writes records to files of which each can be replayed alone.

    Each file begins with the start record, and contains each list before the first record that refers to it.
    Runs in the writer's thread.
    """

    def __init__(self, settings: CaptureSettings, name: str, start: bytes) -> None:
        assert settings.dir is not None
        self.folder, self.files, self.max_bytes = Path(settings.dir), settings.files, settings.file_kb * 1024
        self.stem = "capture-" + re.sub(r"[^A-Za-z0-9._-]", "_", name) + "-"
        self.start = start
        self.path: Path | None = None
        self.size = 0
        self.written: set[int] = set()  # lists that the file holds
        self.generation = 0  # of the table of routes that it holds last
        self.failing = False

    def _present(self) -> list[Path]:
        found = [path for path in self.folder.glob(self.stem + "*.jsonl") if self._number(path) > 0]
        return sorted(found, key=self._number)

    def _number(self, path: Path) -> int:
        text = path.name[len(self.stem) : -len(".jsonl")]
        return int(text) if text.isdecimal() else 0

    def _next(self) -> None:
        present = self._present()
        number = self._number(present[-1]) + 1 if present else 1
        self.path = self.folder / f"{self.stem}{number:06d}.jsonl"
        self.path.open("xb").close()
        for old in present[: max(0, len(present) + 1 - self.files)]:
            old.unlink(missing_ok=True)
        self.size = 0
        self.written = set()
        self.generation = 0

    def write(self, lines: Sequence[bytes]) -> int:
        """Write records and return the number of those lost."""
        try:
            part: list[bytes] = []
            for record in lines:
                needed = record.lists if isinstance(record, RequestRecord) else {}
                if self.path is None or self.size + len(record) > self.max_bytes or not self.path.exists():
                    self._out(part)
                    self._next()
                    part = []
                    self._add(part, self.start)
                if (
                    isinstance(record, RequestRecord)
                    and record.table
                    and record.generation != self.generation
                ):
                    self.generation = record.generation
                    self._add(part, record.table)
                for serial, text in needed.items():
                    if serial not in self.written:
                        self.written.add(serial)
                        self._add(part, text)
                self._add(part, record)
            self._out(part)
        except OSError as fault:
            self.path = None  # what is in it may end anywhere: the next record begins another file
            if not self.failing:
                self.failing = True
                log.warning("capture: records stay in memory, the folder can't be written: %s", fault)
            return len(lines)
        self.failing = False
        return 0

    def _add(self, part: list[bytes], text: bytes) -> None:
        part.append(text)
        self.size += len(text)

    def _out(self, part: list[bytes]) -> None:
        if part and self.path is not None:
            with self.path.open("ab", buffering=0) as file:
                left = memoryview(b"".join(part))
                while left:
                    left = left[file.write(left) or 0 :]


class OpenRequest:
    """A request without a response yet, with the decisions on it so far."""

    __slots__ = ("arrival", "lists", "pool", "request", "size", "steps")

    def __init__(self, request: Request, arrival: Arrival) -> None:
        self.request, self.arrival = request, arrival
        self.steps: list[tuple[bytes, bytes]] = []  # of a pick, what can stand on the record; the rest
        self.lists: set[int] = set()
        self.pool = ""  # that took it, where routes are on
        self.size = 0


class Capture:
    """Records decisions in a ring buffer in memory, and in files if configured."""

    def __init__(self, settings: CaptureSettings, config: Config) -> None:
        self.settings = settings
        self.max_bytes = settings.ring_kb * 1024
        self.encode = encoder()
        self.start = self._line(
            "start",
            seed=f"{config.seed:x}",
            name=config.name,
            at=time.monotonic(),
            settings=config.raw_settings,
        )
        self.endpoints: dict[str, bytes] = {}  # of the list as it stands, encoded, by name
        self.names: dict[int, str] = {}
        self.removed: set[int] = set()  # by the latest list; a pick may still come from the one before
        self.index = self.serial = 0
        self.lists: dict[int, bytes] = {}  # the latest, and those that a record or an open request needs
        self.uses: dict[int, int] = {}
        self.tables: dict[int, bytes] = {}  # of routes, by generation: the latest, and those that are needed
        self.generation = 0
        self.generations_in_use: set[int] = set()  # generations that requests can still go by
        self.reports: dict[int, tuple[str, float]] = {}  # as received, with the value that the balancer uses
        self.open: dict[int, OpenRequest] = {}
        self.records: deque[RequestRecord] = deque()
        self.size = len(self.start)
        self.dumper = BackgroundWriter(to_descriptor(2), 2 * self.max_bytes, "capture-dump")
        self.filer: BackgroundWriter | None = None
        if settings.dir is not None:
            self.filer = BackgroundWriter(
                CaptureFiles(settings, config.name, self.start).write, self.max_bytes, "capture-files"
            )

    def _line(self, kind: str, **fields: Any) -> bytes:
        return self.encode({"v": VERSION, "kind": kind, **fields}) + b"\n"

    # events of the driver
    def on_list(self, listing: Listing) -> None:
        """Record a list, always as a full snapshot; only changed entries are encoded again."""
        for server in self.removed:
            del self.names[server]
        self.removed = {
            listed.entry.server for listed in listing.backends if listed.entry.state is ServerState.REMOVED
        }
        if listing.complete:
            self.endpoints, self.names = {}, {}
        for listed in listing.backends:
            entry = listed.entry
            self.names[entry.server] = listed.name
            self.endpoints[listed.name] = self.encode(
                {
                    "name": listed.name,
                    "zone": entry.zone,
                    "group": entry.cell,
                    "status": STATUS[entry.state],
                    "weight": entry.weight,
                }
            )
        before = self.serial
        self.serial += 1
        self.index = listing.version
        head = self._line("list", list=self.serial, index=self.index)[:-2]
        text = head + b',"endpoints":[' + b",".join(self.endpoints.values()) + b"]}\n"
        self.lists[self.serial] = text
        self.size += len(text)
        self._forget_list(before)
        for listed in listing.backends:
            if listed.entry.state is ServerState.REMOVED:
                del self.endpoints[listed.name]
                self.reports.pop(listed.entry.server, None)
        if listing.complete:
            self.reports = {server: report for server, report in self.reports.items() if server in self.names}
        self._shrink()

    def on_load_report(self, server: int, text: bytes) -> None:
        """Retain a load report for the decisions that use it."""
        figure = (read_report(text) or {}).get("busy_reqs")
        if figure is not None and server in self.names:
            self.reports[server] = text.decode("ascii").strip()[:MAX_TEXT_CHARS], figure

    def on_request(self, request: Request, arrival: Arrival, pool: str = "") -> None:
        """Start the record of a request."""
        opened = self.open[arrival.call] = OpenRequest(request, arrival)
        opened.pool = pool

    def on_routes(self, generation: int, digest: str, file: str, text: str, epoch: int | None = None) -> None:
        """Record a route table, with its text if that is not too large."""
        retained_text = text if len(text) <= self.max_bytes // TABLE_TEXT_DIVISOR else None
        ruled = {} if epoch is None else {"epoch": epoch}
        line = self._line(
            "routes", generation=generation, digest=digest, file=file, text=retained_text, **ruled
        )
        before, self.tables[generation] = self.generation, line
        self.generation = generation
        self.size += len(line)
        self._forget_table(before)
        self._shrink()

    def retain_generations(self, generations: set[int]) -> None:
        """Set the route tables in use; others are retained only while a record refers to them."""
        left, self.generations_in_use = self.generations_in_use - generations, generations
        for generation in left:
            self._forget_table(generation)

    def on_decision(self, number: int, step: str, used: dict[str, Any], verdict: Any) -> None:
        """Record a decision of the balancer on a request: its inputs and its result."""
        try:
            self._step(number, step, used, verdict)
        except Exception:  # a faulty record must not fail the request
            log.exception("capture: a decision could not be recorded")
            opened = self.open.pop(number, None)
            if opened is not None:
                self.size -= opened.size
                self._unuse(list(opened.lists))

    def _step(self, number: int, step: str, used: dict[str, Any], verdict: Any) -> None:
        opened = self.open.get(number)
        if opened is None:
            return
        top = b""
        if step == "pick":
            top = self.encode(self._pick(used, verdict))[1:-1]
            self._use(opened)
            verdict = None
        elif step == "admit":
            milliseconds = opened.request.budget * 1000
            budget = opened.arrival.budget
            used["spent"] = milliseconds / 1000 - budget
            if milliseconds / 1000 - used["spent"] != budget:
                used["budget"] = budget
        rest = {"step": step, **used} if verdict is None else {"step": step, **used, "said": verdict}
        text = self.encode(rest)[1:-1]
        opened.steps.append((top, text))
        size = len(top) + len(text)
        opened.size += size
        self.size += size
        self._shrink()

    def _pick(self, used: dict[str, Any], verdict: int) -> dict[str, Any]:
        inflight, load, servers = {}, {}, {}
        for server, known in used["servers"].items():
            name = self.names[server]
            inflight[name] = known.pop("out", 0)
            report = self.reports.get(server)
            if report is not None and "reported_at" in known and report[1] == known.get("last_report", 0.0):
                known.pop("last_report", None)
                load[name] = report[0]
            servers[name] = known
        used["servers"] = servers
        return {
            "index": self.index,
            "list": self.serial,
            "inflight": inflight,
            "load": load,
            "server": self.names[verdict],
        }

    def on_end(self, number: int, code: int | None) -> None:
        """Complete the record of a request; `code` is None if the client disconnected."""
        opened = self.open.pop(number, None)
        if opened is None:
            return
        self._use(opened)
        picks = [place for place, (top, _) in enumerate(opened.steps) if top]
        last = picks[-1] if picks else -1
        request = opened.request
        budget_ms = request.budget * 1000
        head = {
            "v": VERSION,
            "kind": "req",
            "id": request.id.decode("latin-1")[:MAX_TEXT_CHARS],
            "class": request.cls,
            "tenant": request.tenant[:MAX_TEXT_CHARS],
            "budget_ms": int(budget_ms) if budget_ms == int(budget_ms) else budget_ms,
        }
        if request.routed is not None:
            head["route"] = request.routed.capture_fields(opened.pool)
        unpicked = b'"index":%d,"list":%d,"inflight":{},"load":{},"server":null' % (self.index, self.serial)
        steps = [
            b"{" + top + b"," + rest + b"}" if top and place != last else b"{" + rest + b"}"
            for place, (top, rest) in enumerate(opened.steps)
        ]
        record = RequestRecord(
            self.encode(head)[:-1]
            + b","
            + (opened.steps[last][0] if picks else unpicked)
            + b',"answer":'
            + (b"null" if code is None else b"%d" % code)
            + b',"steps":['
            + b",".join(steps)
            + b"]}\n"
        )
        record.lists = {serial: self.lists[serial] for serial in sorted(opened.lists)}
        if request.routed is not None:
            record.generation = request.routed.generation
            record.table = self.tables.get(record.generation, b"")
        self.size += len(record) - opened.size
        self.records.append(record)
        if self.filer is not None:
            self.filer.put([record])
        self._shrink()

    # the ring
    def _forget_table(self, generation: int) -> None:
        """Discard a route table that is neither in use nor referred to."""
        if generation and generation != self.generation and generation not in self.generations_in_use:
            needed = any(record.generation == generation for record in self.records)
            needed = needed or any(
                opened.request.routed is not None and opened.request.routed.generation == generation
                for opened in self.open.values()
            )
            if not needed:
                self.size -= len(self.tables.pop(generation, b""))

    def _use(self, opened: OpenRequest) -> None:
        if self.serial not in opened.lists and self.serial in self.lists:
            opened.lists.add(self.serial)
            self.uses[self.serial] = self.uses.get(self.serial, 0) + 1

    def _unuse(self, serials: Sequence[int]) -> None:
        for serial in serials:
            self.uses[serial] -= 1
            self._forget_list(serial)

    def _forget_list(self, serial: int) -> None:
        if serial != self.serial and not self.uses.get(serial):
            self.uses.pop(serial, None)
            self.size -= len(self.lists.pop(serial, b""))

    def _shrink(self) -> None:
        """Discard the oldest records, then the steps of the oldest open request, down to the size limit."""
        while self.size > self.max_bytes and (self.records or self.open):
            if self.records:
                record = self.records.popleft()
                self.size -= len(record)
                self._unuse(list(record.lists))
                if record.generation != self.generation:
                    self._forget_table(record.generation)
            else:
                opened = self.open.pop(next(iter(self.open)))
                self.size -= opened.size
                self._unuse(list(opened.lists))

    def dump(self) -> None:
        """Write the ring buffer to standard error: start record, lists, request records."""
        if self.dumper.size or self.dumper.writing:
            log.warning("capture: the last dump is still being written")
            return
        lines = [self.start, *self.lists.values()]
        if len(self.tables) == 1:
            lines += self.tables.values()
        generation = 0
        for record in self.records:
            if len(self.tables) > 1 and record.table and record.generation != generation:
                generation = record.generation
                lines.append(record.table)
            lines.append(record)
        self.dumper.put(lines)

    def close(self, timeout: float) -> None:
        """Stop the writers, waiting for each up to `timeout` seconds."""
        for writer in (self.dumper, self.filer):
            if writer is not None:
                writer.close(timeout)
