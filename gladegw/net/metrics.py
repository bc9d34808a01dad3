"""The feature `figures`: counters, timers and gauges of requests, in StatsD or InfluxDB line format."""

from __future__ import annotations

import asyncio
import ipaddress
import logging
import re
import socket
import time
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from gladegw.balancing.events import Settings
from gladegw.net.background_writer import BackgroundWriter, Write, to_descriptor
from gladegw.net.config import address
from gladegw.net.interfaces import RequestInfo
from gladegw.operators.event_counters import EventCounters, MemoryReport

log = logging.getLogger(__name__)

OTHER_TAG = "other"  # tag for classes and tenants that are not configured; bounds the number of tags
NO_RESPONSE_CODE = "none"  # code tag of a request whose client disconnected
MAX_DATAGRAM_BYTES = 1400  # with its headers, a datagram fits into one packet on ordinary networks
SINK_DESCRIPTORS = {"stderr": 2, "stdout": 1, "none": None}
STATSD_SPECIAL = re.compile(r"[\s|#:,@\x00-\x1f\x7f]")
LINE_SPECIAL = re.compile(r"([,= ])")
CONTROL = re.compile(r"[\x00-\x1f\x7f\\]")

Tags = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Settings in the `figures` block."""

    format: str = "statsd"
    sink: str = "stderr"
    flush_ms: int = 1000
    buffer_kb: int = 256  # per target
    udp: str | None = None
    file: str | None = None

    def __post_init__(self) -> None:
        if self.format not in ("statsd", "line"):
            raise ValueError(f"format must be statsd or line, not {self.format!r}")
        if self.sink not in SINK_DESCRIPTORS:
            raise ValueError(f"sink must be one of {', '.join(SINK_DESCRIPTORS)}, not {self.sink!r}")
        if not 10 <= self.flush_ms <= 600_000:
            raise ValueError(f"flush_ms must be 10 to 600000, not {self.flush_ms}")
        if not 4 <= self.buffer_kb <= 65_536:
            raise ValueError(f"buffer_kb must be 4 to 65536, not {self.buffer_kb}")
        if self.udp is not None:
            host, port = address(self.udp)
            ipaddress.ip_address(host)
            if not port:
                raise ValueError(f"udp has no port: {self.udp!r}")
        if self.file is not None and not self.file:
            raise ValueError("file must name a file")


class StatsD:
    """Encoder of the StatsD format."""

    @staticmethod
    def tags(tags: Tags) -> str:
        """Encode tags for the end of a line."""
        return ",".join(f"{name}:{STATSD_SPECIAL.sub('_', value) or '_'}" for name, value in tags)

    @staticmethod
    def _line(name: str, value: int, kind: str, tags: str) -> bytes:
        return f"gladegw.{name}:{value}|{kind}{'|#' if tags else ''}{tags}\n".encode()

    def count(self, name: str, value: int, tags: str) -> bytes:
        """Encode a counter."""
        return self._line(name, value, "c", tags)

    def gauge(self, name: str, value: int, tags: str) -> bytes:
        """Encode a gauge."""
        return self._line(name, value, "g", tags)

    def timer(self, name: str, value: int, tags: str) -> bytes:
        """Encode a duration in milliseconds."""
        return self._line(name + ".ms", value, "ms", tags)


class LineFormat:
    """Encoder of the InfluxDB line format."""

    def __init__(self) -> None:
        self.last_timestamp = 0

    @staticmethod
    def tags(tags: Tags) -> str:
        """Encode tags for the start of a line."""
        values = ((name, CONTROL.sub("_", value) or "_") for name, value in tags)
        return ",".join(name + "=" + LINE_SPECIAL.sub(r"\\\1", value) for name, value in values)

    def _line(self, name: str, field: str, value: int, tags: str) -> bytes:
        # InfluxDB merges points with the same name, tags and time, so each point gets a unique time.
        self.last_timestamp = max(self.last_timestamp + 1, time.time_ns())
        name = "gladegw_" + name.replace(".", "_")
        return f"{name}{',' if tags else ''}{tags} {field}={value}i {self.last_timestamp}\n".encode()

    def count(self, name: str, value: int, tags: str) -> bytes:
        """Encode a counter."""
        return self._line(name, "count", value, tags)

    def gauge(self, name: str, value: int, tags: str) -> bytes:
        """Encode a gauge."""
        return self._line(name, "value", value, tags)

    def timer(self, name: str, value: int, tags: str) -> bytes:
        """Encode a duration in milliseconds."""
        return self._line(name, "ms", value, tags)


def to_file(path: Path) -> Write:
    """Return a function that appends lines to a file."""

    def write(lines: Sequence[bytes]) -> int:
        # Reopened for each batch: an open descriptor would still accept lines after its folder is deleted.
        with path.open("ab", buffering=0) as file:
            remaining = memoryview(b"".join(lines))
            while remaining:
                remaining = remaining[file.write(remaining) or 0 :]
        return 0

    return write


def to_udp(host: str, port: int) -> Write:
    """Return a function that sends lines as UDP datagrams."""
    family = socket.AF_INET6 if ipaddress.ip_address(host).version == 6 else socket.AF_INET
    udp_socket = socket.socket(family, socket.SOCK_DGRAM)
    connected = False

    def write(lines: Sequence[bytes]) -> int:
        nonlocal connected
        if not connected:
            udp_socket.connect((host, port))  # a connected socket reports a target that refuses datagrams
            connected = True
        lost = 0
        for datagram in pack_datagrams(lines):
            try:
                if sum(map(len, datagram)) > MAX_DATAGRAM_BYTES:
                    raise OSError("too long for a datagram")
                udp_socket.send(b"".join(datagram))
            except OSError:
                lost += len(datagram)
        return lost

    return write


def pack_datagrams(lines: Iterable[bytes]) -> Iterable[list[bytes]]:
    """Group lines into datagrams of at most MAX_DATAGRAM_BYTES bytes."""
    datagram: list[bytes] = []
    size = 0
    for line in lines:
        if datagram and size + len(line) > MAX_DATAGRAM_BYTES:
            yield datagram
            datagram, size = [], 0
        datagram.append(line)
        size += len(line)
    if datagram:
        yield datagram


class Target:
    """A destination of metrics; logs once when it starts to lose lines and once when it recovers."""

    def __init__(self, name: str, write: Write, max_bytes: int) -> None:
        self.name = name
        self.writer = BackgroundWriter(write, max_bytes, f"figures-{name}")
        self.failing = False
        self.batches_at_last_loss = 0  # the writer's complete batches when lines were last lost

    def take_lost(self) -> int:
        """Return the number of lines lost since the last call; log a loss or recovery."""
        lost = self.writer.take_dropped()
        if lost:
            self.batches_at_last_loss = self.writer.complete_batches
        if lost and not self.failing:
            self.failing = True
            log.warning("figures: target %s loses lines", self.name)
        elif self.failing and self.writer.complete_batches > self.batches_at_last_loss:
            self.failing = False
            log.warning("figures: target %s accepts lines again", self.name)
        return lost


class Metrics:
    """Request observer that sends a batch of metrics to each target at each flush."""

    def __init__(
        self, settings: MetricsSettings, balancer_settings: Settings, events: EventCounters | None = None
    ) -> None:
        self.settings = settings
        self.events = events or EventCounters()
        self.classes = {cls.name for cls in balancer_settings.classes}
        self.tenants = {tenant.name for tenant in balancer_settings.tenants}
        self.format: StatsD | LineFormat = StatsD() if settings.format == "statsd" else LineFormat()
        self.max_bytes = settings.buffer_kb * 1024
        self.targets: list[Target] = []
        descriptor = SINK_DESCRIPTORS[settings.sink]
        if descriptor is not None:
            self.targets.append(Target(settings.sink, to_descriptor(descriptor), self.max_bytes))
        if settings.udp is not None:
            self.targets.append(Target("udp", to_udp(*address(settings.udp)), self.max_bytes))
        if settings.file is not None:
            self.targets.append(Target("file", to_file(Path(settings.file)), self.max_bytes))
        self.timer_lines: deque[bytes] = deque()  # since the last flush
        self.timer_bytes = 0
        self.dropped = 0
        self.request_counts: dict[str, int] = {}  # requests ended since the last flush, by encoded tags
        self.response_counts: dict[str, int] = {}  # of these, the requests with a response
        self.inflight: dict[tuple[str, str], int] = {}  # by class and tenant tag
        self.changed_gauges: set[tuple[str, str]] = set()  # changed since the last flush
        self.encoded_tags: dict[tuple[str, str, str], str] = {}

    def _gauge_key(self, request: RequestInfo) -> tuple[str, str]:
        """Return the class and tenant tags of a request, which identify its in-flight gauge."""
        return (
            request.cls if request.cls in self.classes else OTHER_TAG,
            request.tenant if request.tenant in self.tenants else OTHER_TAG,
        )

    def on_start(self, request: RequestInfo) -> None:
        """Count a request in flight."""
        gauge_key = self._gauge_key(request)
        self.inflight[gauge_key] = self.inflight.get(gauge_key, 0) + 1
        self.changed_gauges.add(gauge_key)

    def on_end(self, request: RequestInfo, code: int | None) -> None:
        """Record an ended request; `code` is None if it got no response."""
        gauge_key = self._gauge_key(request)
        self.inflight[gauge_key] -= 1
        self.changed_gauges.add(gauge_key)
        key = (*gauge_key, str(code or NO_RESPONSE_CODE))
        tags = self.encoded_tags.get(key)
        if tags is None:
            tags = self.format.tags((("class", key[0]), ("tenant", key[1]), ("code", key[2])))
            self.encoded_tags[key] = tags
        self.request_counts[tags] = self.request_counts.get(tags, 0) + 1
        if code is not None:
            self.response_counts[tags] = self.response_counts.get(tags, 0) + 1
        line = self.format.timer("request", round((time.monotonic() - request.received_at) * 1000), tags)
        self.timer_lines.append(line)
        self.timer_bytes += len(line)
        while self.timer_bytes > self.max_bytes:
            self.timer_bytes -= len(self.timer_lines.popleft())
            self.dropped += 1

    def flush(self) -> None:
        """Send the metrics since the last flush to the targets."""
        batch = list(self.timer_lines)
        self.timer_lines.clear()
        self.timer_bytes = 0
        batch += [self.format.count("requests", count, tags) for tags, count in self.request_counts.items()]
        batch += [self.format.count("answers", count, tags) for tags, count in self.response_counts.items()]
        self.request_counts.clear()
        self.response_counts.clear()
        for gauge_key in self.changed_gauges | {
            gauge_key for gauge_key, count in self.inflight.items() if count
        }:
            tags = self.format.tags((("class", gauge_key[0]), ("tenant", gauge_key[1])))
            batch.append(self.format.gauge("inflight", self.inflight[gauge_key], tags))
        self.changed_gauges.clear()
        batch += self._event_lines()
        self.dropped += sum(target.take_lost() for target in self.targets)
        if self.dropped:
            batch.append(self.format.count("figures.dropped", self.dropped, ""))
            self.dropped = 0
        if batch:
            for target in self.targets:
                target.writer.put(batch)

    def _event_lines(self) -> list[bytes]:
        """Return the counters of internal events and the gauges of the endpoint lists."""
        encoder = self.format
        lines = [
            encoder.count(event.counter, count, encoder.tags(((event.tag, event.value),)))
            for event, count in self.events.take().items()
        ]
        if self.events.memory is not None:
            lines += self._memory_lines(self.events.memory)
        for pool, age in self.events.list_ages.items():
            tags = encoder.tags((("pool", pool),)) if pool else ""
            lines.append(encoder.gauge("endpoint_list.age_ms", round(1000 * age()), tags))
        for pool, validity in self.events.list_validities.items():
            tags = encoder.tags((("pool", pool),)) if pool else ""
            # StatsD reads a signed gauge as a change of its value.
            lines.append(encoder.gauge("endpoint_list.valid_ms", max(0, round(1000 * validity())), tags))
        return lines

    def _memory_lines(self, memory: MemoryReport) -> list[bytes]:
        """Return the gauges of the memory, and the counters of what was done for lack of it."""
        encoder = self.format
        lines = [
            encoder.gauge(name, size, encoder.tags((("kind", kind),)) if kind else "")
            for name, kind, size in memory.gauges()
        ]
        for action, count in memory.take_shortages():
            lines.append(encoder.count("memory.shortages", count, encoder.tags((("action", action),))))
        return lines

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        while True:
            await asyncio.sleep(self.settings.flush_ms / 1000)
            self.flush()

    def close(self, timeout: float) -> None:
        """Flush, and wait for each target up to `timeout` seconds."""
        self.flush()
        for target in self.targets:
            target.writer.close(timeout)
