"""The feature `capture`: records the inputs of each decision as JSON lines, so that it can be replayed."""

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

VERSION = 1  # of the record format
RING_FRACTION = 1 / 256  # of the memory limit, which bounds the ring as `ring_kb` does
MAX_TEXT_CHARS = 200  # for each text that a peer sent
TABLE_TEXT_DIVISOR = 4  # a route table's text is recorded up to ring size / TABLE_TEXT_DIVISOR
STATUS_NAMES = {
    ServerState.SERVING: "Ready",
    ServerState.DRAINING: "Terminating",
    ServerState.REMOVED: "Gone",
}


@dataclass(frozen=True, slots=True)
class CaptureSettings:
    """Settings in the `capture` block."""

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


def json_encoder() -> Callable[[Any], bytes]:
    """Return a JSON encoder.

    msgspec is imported only if a capture is configured. The standard library's encoder took a quarter of
    a request's CPU time.
    """
    import msgspec

    return msgspec.json.Encoder().encode


class RequestRecord(bytes):
    """The encoded record of a request, with the endpoint lists and route table that its replay needs."""

    lists: dict[int, bytes]  # by serial number
    generation = 0  # of the route table that the request was routed by; 0: none
    table = b""  # record of that route table


class CaptureFiles:
    """Writes records to files, each of which can be replayed on its own.

    Each file begins with the start record, and contains each list before the first record that refers to it.
    Runs in the writer's thread.
    """

    def __init__(self, settings: CaptureSettings, name: str, start: bytes) -> None:
        assert settings.dir is not None
        self.folder, self.files, self.max_bytes = Path(settings.dir), settings.files, settings.file_kb * 1024
        self.file_prefix = "capture-" + re.sub(r"[^A-Za-z0-9._-]", "_", name) + "-"
        self.start_record = start
        self.path: Path | None = None
        self.size = 0
        self.written_lists: set[int] = set()  # serial numbers of the lists in the current file
        self.generation = 0  # of the last route table in the current file
        self.failing = False

    def _existing_files(self) -> list[Path]:
        files = [path for path in self.folder.glob(self.file_prefix + "*.jsonl") if self._number(path) > 0]
        return sorted(files, key=self._number)

    def _number(self, path: Path) -> int:
        text = path.name[len(self.file_prefix) : -len(".jsonl")]
        return int(text) if text.isdecimal() else 0

    def _start_next_file(self) -> None:
        existing = self._existing_files()
        number = self._number(existing[-1]) + 1 if existing else 1
        self.path = self.folder / f"{self.file_prefix}{number:06d}.jsonl"
        self.path.open("xb").close()
        for old in existing[: max(0, len(existing) + 1 - self.files)]:
            old.unlink(missing_ok=True)
        self.size = 0
        self.written_lists = set()
        self.generation = 0

    def write(self, lines: Sequence[bytes]) -> int:
        """Write records and return how many were lost."""
        try:
            pending: list[bytes] = []
            for record in lines:
                lists = record.lists if isinstance(record, RequestRecord) else {}
                if self.path is None or self.size + len(record) > self.max_bytes or not self.path.exists():
                    self._flush(pending)
                    self._start_next_file()
                    pending = []
                    self._append(pending, self.start_record)
                if (
                    isinstance(record, RequestRecord)
                    and record.table
                    and record.generation != self.generation
                ):
                    self.generation = record.generation
                    self._append(pending, record.table)
                for serial, text in lists.items():
                    if serial not in self.written_lists:
                        self.written_lists.add(serial)
                        self._append(pending, text)
                self._append(pending, record)
            self._flush(pending)
        except OSError as error:
            self.path = None  # it may end in an incomplete line, so the next record starts another file
            if not self.failing:
                self.failing = True
                log.warning("capture: the folder can't be written, keeping records in memory only: %s", error)
            return len(lines)
        self.failing = False
        return 0

    def _append(self, pending: list[bytes], text: bytes) -> None:
        pending.append(text)
        self.size += len(text)

    def _flush(self, pending: list[bytes]) -> None:
        if pending and self.path is not None:
            with self.path.open("ab", buffering=0) as file:
                remaining = memoryview(b"".join(pending))
                while remaining:
                    remaining = remaining[file.write(remaining) or 0 :]


class OpenRequest:
    """A request that has not ended, with the decisions on it so far."""

    __slots__ = ("arrival", "lists", "pool", "request", "size", "steps")

    def __init__(self, request: Request, arrival: Arrival) -> None:
        self.request, self.arrival = request, arrival
        # For each step, the encoded fields of a pick (empty for other steps) and the remaining fields. The
        # pick fields of the last pick are written on the request's record itself.
        self.steps: list[tuple[bytes, bytes]] = []
        self.lists: set[int] = set()  # serial numbers of the lists that its decisions used
        self.pool = ""  # that the request was routed to; empty without routes
        self.size = 0  # bytes of `steps`


class Capture:
    """Records decisions in a ring buffer in memory, and also in files if configured."""

    def __init__(self, settings: CaptureSettings, config: Config) -> None:
        self.settings = settings
        self.max_bytes = min(settings.ring_kb * 1024, int(RING_FRACTION * config.memory))
        self.encode = json_encoder()
        self.start_record = self._line(
            "start",
            seed=f"{config.seed:x}",
            name=config.name,
            at=time.monotonic(),
            settings=config.raw_settings,
        )
        self.endpoints: dict[str, bytes] = {}  # encoded entries of the current list, by name
        self.names: dict[int, str] = {}  # by server
        self.removed: set[int] = set()  # by the latest list; a pick may still be from the previous one
        # Of the current list: its version, as given by discovery, and its serial number in this capture
        self.list_version = self.list_serial = 0
        self.lists: dict[int, bytes] = {}  # by serial: the latest, and those used by a record or open request
        # Number of records and open requests that use each list, by serial
        self.list_uses: dict[int, int] = {}
        self.route_tables: dict[int, bytes] = {}  # by generation: the latest, and those still needed
        self.generation = 0  # of the latest route table
        self.generations_in_use: set[int] = set()  # of the route tables that can still route requests
        self.reports: dict[int, tuple[str, float]] = {}  # by server: text, in-flight value
        self.open_requests: dict[int, OpenRequest] = {}
        self.records: deque[RequestRecord] = deque()
        self.size = len(self.start_record)  # bytes retained
        self.dump_writer = BackgroundWriter(to_descriptor(2), 2 * self.max_bytes, "capture-dump")
        self.file_writer: BackgroundWriter | None = None
        if settings.dir is not None:
            self.file_writer = BackgroundWriter(
                CaptureFiles(settings, config.name, self.start_record).write, self.max_bytes, "capture-files"
            )

    def _line(self, kind: str, **fields: Any) -> bytes:
        return self.encode({"v": VERSION, "kind": kind, **fields}) + b"\n"

    # Events from the driver
    def on_list(self, listing: Listing) -> None:
        """Record an endpoint list as a full snapshot; only the entries in `listing` are encoded again."""
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
                    "status": STATUS_NAMES[entry.state],
                    "weight": entry.weight,
                }
            )
        previous = self.list_serial
        self.list_serial += 1
        self.list_version = listing.version
        head = self._line("list", list=self.list_serial, index=self.list_version)[:-2]
        text = head + b',"endpoints":[' + b",".join(self.endpoints.values()) + b"]}\n"
        self.lists[self.list_serial] = text
        self.size += len(text)
        self._discard_unused_list(previous)
        for listed in listing.backends:
            if listed.entry.state is ServerState.REMOVED:
                del self.endpoints[listed.name]
                self.reports.pop(listed.entry.server, None)
        if listing.complete:
            self.reports = {server: report for server, report in self.reports.items() if server in self.names}
        self._enforce_size_limit()

    def on_load_report(self, server: int, text: bytes) -> None:
        """Keep a load report for the records of the decisions that use it."""
        in_flight = (read_report(text) or {}).get("busy_reqs")
        if in_flight is not None and server in self.names:
            self.reports[server] = text.decode("ascii").strip()[:MAX_TEXT_CHARS], in_flight

    def on_request(self, request: Request, arrival: Arrival, pool: str = "") -> None:
        """Start the record of a request."""
        opened = self.open_requests[arrival.call] = OpenRequest(request, arrival)
        opened.pool = pool

    def on_routes(self, generation: int, digest: str, file: str, text: str, epoch: int | None = None) -> None:
        """Record a route table, with its text if that is not too large."""
        retained_text = text if len(text) <= self.max_bytes // TABLE_TEXT_DIVISOR else None
        epoch_field = {} if epoch is None else {"epoch": epoch}
        line = self._line(
            "routes", generation=generation, digest=digest, file=file, text=retained_text, **epoch_field
        )
        previous, self.route_tables[generation] = self.generation, line
        self.generation = generation
        self.size += len(line)
        self._discard_unused_table(previous)
        self._enforce_size_limit()

    def retain_generations(self, generations: set[int]) -> None:
        """Set the route tables in use; others are retained only while a record refers to them."""
        released, self.generations_in_use = self.generations_in_use - generations, generations
        for generation in released:
            self._discard_unused_table(generation)

    def on_decision(self, number: int, step: str, inputs: dict[str, Any], verdict: Any) -> None:
        """Record a decision of the balancer on a request: its inputs and its result."""
        try:
            self._record_step(number, step, inputs, verdict)
        except Exception:  # a faulty record must not fail the request
            log.exception("capture: a decision could not be recorded")
            opened = self.open_requests.pop(number, None)
            if opened is not None:
                self.size -= opened.size
                self._release_lists(list(opened.lists))

    def _record_step(self, number: int, step: str, inputs: dict[str, Any], verdict: Any) -> None:
        opened = self.open_requests.get(number)
        if opened is None:
            return
        pick_fields = b""
        if step == "pick":
            pick_fields = self.encode(self._pick(inputs, verdict))[1:-1]
            self._use_current_list(opened)
            verdict = None
        elif step == "admit":
            milliseconds = opened.request.budget * 1000
            budget = opened.arrival.budget
            inputs["spent"] = milliseconds / 1000 - budget
            if milliseconds / 1000 - inputs["spent"] != budget:
                inputs["budget"] = budget
        step_fields = (
            {"step": step, **inputs} if verdict is None else {"step": step, **inputs, "said": verdict}
        )
        text = self.encode(step_fields)[1:-1]
        opened.steps.append((pick_fields, text))
        size = len(pick_fields) + len(text)
        opened.size += size
        self.size += size
        self._enforce_size_limit()

    def _pick(self, inputs: dict[str, Any], verdict: int) -> dict[str, Any]:
        inflight, load, servers = {}, {}, {}
        for server, server_inputs in inputs["servers"].items():
            name = self.names[server]
            inflight[name] = server_inputs.pop("out", 0)
            report = self.reports.get(server)
            if (
                report is not None
                and "reported_at" in server_inputs
                and report[1] == server_inputs.get("last_report", 0.0)
            ):
                server_inputs.pop("last_report", None)
                load[name] = report[0]
            servers[name] = server_inputs
        inputs["servers"] = servers
        return {
            "index": self.list_version,
            "list": self.list_serial,
            "inflight": inflight,
            "load": load,
            "server": self.names[verdict],
        }

    def on_end(self, number: int, code: int | None) -> None:
        """Complete the record of a request; `code` is None if the client disconnected."""
        opened = self.open_requests.pop(number, None)
        if opened is None:
            return
        self._use_current_list(opened)
        picks = [position for position, (pick_fields, _) in enumerate(opened.steps) if pick_fields]
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
        no_pick_fields = b'"index":%d,"list":%d,"inflight":{},"load":{},"server":null' % (
            self.list_version,
            self.list_serial,
        )
        steps = [
            b"{" + pick_fields + b"," + step_fields + b"}"
            if pick_fields and position != last
            else b"{" + step_fields + b"}"
            for position, (pick_fields, step_fields) in enumerate(opened.steps)
        ]
        record = RequestRecord(
            self.encode(head)[:-1]
            + b","
            + (opened.steps[last][0] if picks else no_pick_fields)
            + b',"answer":'
            + (b"null" if code is None else b"%d" % code)
            + b',"steps":['
            + b",".join(steps)
            + b"]}\n"
        )
        record.lists = {serial: self.lists[serial] for serial in sorted(opened.lists)}
        if request.routed is not None:
            record.generation = request.routed.generation
            record.table = self.route_tables.get(record.generation, b"")
        self.size += len(record) - opened.size
        self.records.append(record)
        if self.file_writer is not None:
            self.file_writer.put([record])
        self._enforce_size_limit()

    # Ring buffer
    def _discard_unused_table(self, generation: int) -> None:
        """Discard a route table that is neither in use nor referred to."""
        if generation and generation != self.generation and generation not in self.generations_in_use:
            needed = any(record.generation == generation for record in self.records)
            needed = needed or any(
                opened.request.routed is not None and opened.request.routed.generation == generation
                for opened in self.open_requests.values()
            )
            if not needed:
                self.size -= len(self.route_tables.pop(generation, b""))

    def _use_current_list(self, opened: OpenRequest) -> None:
        if self.list_serial not in opened.lists and self.list_serial in self.lists:
            opened.lists.add(self.list_serial)
            self.list_uses[self.list_serial] = self.list_uses.get(self.list_serial, 0) + 1

    def _release_lists(self, serials: Sequence[int]) -> None:
        for serial in serials:
            self.list_uses[serial] -= 1
            self._discard_unused_list(serial)

    def _discard_unused_list(self, serial: int) -> None:
        if serial != self.list_serial and not self.list_uses.get(serial):
            self.list_uses.pop(serial, None)
            self.size -= len(self.lists.pop(serial, b""))

    def _enforce_size_limit(self) -> None:
        """Discard the oldest records, then the oldest open requests, until the size limit is met."""
        while self.size > self.max_bytes and (self.records or self.open_requests):
            if self.records:
                record = self.records.popleft()
                self.size -= len(record)
                self._release_lists(list(record.lists))
                if record.generation != self.generation:
                    self._discard_unused_table(record.generation)
            else:
                opened = self.open_requests.pop(next(iter(self.open_requests)))
                self.size -= opened.size
                self._release_lists(list(opened.lists))

    def dump(self) -> None:
        """Write the ring buffer to standard error: start record, lists, route tables and request records."""
        if self.dump_writer.queued_bytes or self.dump_writer.writing_bytes:
            log.warning("capture: the previous dump is still being written; no new one is started")
            return
        lines = [self.start_record, *self.lists.values()]
        if len(self.route_tables) == 1:
            lines += self.route_tables.values()
        generation = 0
        for record in self.records:
            if len(self.route_tables) > 1 and record.table and record.generation != generation:
                generation = record.generation
                lines.append(record.table)
            lines.append(record)
        self.dump_writer.put(lines)

    def close(self, timeout: float) -> None:
        """Stop the writers, waiting for each up to `timeout` seconds."""
        for writer in (self.dump_writer, self.file_writer):
            if writer is not None:
                writer.close(timeout)
