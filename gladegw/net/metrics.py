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

log = logging.getLogger(__name__)

OTHER = "other"  # tag of classes and tenants that are not configured, which limits the number of tags
NO_ANSWER = "none"  # code of a request whose client disconnected
DATAGRAM = 1400  # bytes: with its headers it stays within one packet of an ordinary network
SINKS = {"stderr": 2, "stdout": 1, "none": None}
STATSD_SPECIAL = re.compile(r"[\s|#:,@\x00-\x1f\x7f]")
LINE_SPECIAL = re.compile(r"([,= ])")
CONTROL = re.compile(r"[\x00-\x1f\x7f\\]")

Tags = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Settings of the block `figures`."""

    format: str = "statsd"
    sink: str = "stderr"
    flush_ms: int = 1000
    buffer_kb: int = 256  # for each target
    udp: str | None = None
    file: str | None = None

    def __post_init__(self) -> None:
        if self.format not in ("statsd", "line"):
            raise ValueError(f"format must be statsd or line, not {self.format!r}")
        if self.sink not in SINKS:
            raise ValueError(f"sink must be one of {', '.join(SINKS)}, not {self.sink!r}")
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
        self.stamp = 0

    @staticmethod
    def tags(tags: Tags) -> str:
        """Encode tags for the start of a line."""
        values = ((name, CONTROL.sub("_", value) or "_") for name, value in tags)
        return ",".join(name + "=" + LINE_SPECIAL.sub(r"\\\1", value) for name, value in values)

    def _line(self, name: str, field: str, value: int, tags: str) -> bytes:
        # Two points with the same name, tags and time would be one: each gets a time of its own.
        self.stamp = max(self.stamp + 1, time.time_ns())
        name = "gladegw_" + name.replace(".", "_")
        return f"{name}{',' if tags else ''}{tags} {field}={value}i {self.stamp}\n".encode()

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
    """A function that appends lines to a file."""

    def write(lines: Sequence[bytes]) -> int:
        # Opened anew each time: a descriptor that is held goes on taking lines after its folder is deleted.
        with path.open("ab", buffering=0) as file:
            left = memoryview(b"".join(lines))
            while left:
                left = left[file.write(left) or 0 :]
        return 0

    return write


def to_udp(host: str, port: int) -> Write:
    """A function that sends lines as UDP datagrams."""
    family = socket.AF_INET6 if ipaddress.ip_address(host).version == 6 else socket.AF_INET
    sender = socket.socket(family, socket.SOCK_DGRAM)
    connected = False

    def write(lines: Sequence[bytes]) -> int:
        nonlocal connected
        if not connected:
            sender.connect((host, port))  # so that a target that refuses is noticed
            connected = True
        lost = 0
        for datagram in datagrams(lines):
            try:
                if sum(map(len, datagram)) > DATAGRAM:
                    raise OSError("too long for a datagram")
                sender.send(b"".join(datagram))
            except OSError:
                lost += len(datagram)
        return lost

    return write


def datagrams(lines: Iterable[bytes]) -> Iterable[list[bytes]]:
    """Group lines into datagrams of at most DATAGRAM bytes."""
    together: list[bytes] = []
    size = 0
    for line in lines:
        if together and size + len(line) > DATAGRAM:
            yield together
            together, size = [], 0
        together.append(line)
        size += len(line)
    if together:
        yield together


class Target:
    """A destination of metrics; logs once when it starts to lose lines and once when it recovers."""

    def __init__(self, name: str, write: Write, max_bytes: int) -> None:
        self.name = name
        self.writer = BackgroundWriter(write, max_bytes, f"figures-{name}")
        self.failing = False
        self.written = 0  # batches that had gone out when lines were last lost

    def lost(self) -> int:
        """The number of lines lost since the last call."""
        lost = self.writer.take_dropped()
        if lost:
            self.written = self.writer.written
        if lost and not self.failing:
            self.failing = True
            log.warning("figures: %s does not take all figures", self.name)
        elif self.failing and self.writer.written > self.written:
            self.failing = False
            log.warning("figures: %s takes figures again", self.name)
        return lost


class Metrics:
    """Request observer that passes a batch of metrics to each target at each flush."""

    def __init__(self, settings: MetricsSettings, served: Settings) -> None:
        self.settings = settings
        self.classes = {cls.name for cls in served.classes}
        self.tenants = {tenant.name for tenant in served.tenants}
        self.format: StatsD | LineFormat = StatsD() if settings.format == "statsd" else LineFormat()
        self.max_entries = settings.buffer_kb * 1024
        self.targets: list[Target] = []
        descriptor = SINKS[settings.sink]
        if descriptor is not None:
            self.targets.append(Target(settings.sink, to_descriptor(descriptor), self.max_entries))
        if settings.udp is not None:
            self.targets.append(Target("udp", to_udp(*address(settings.udp)), self.max_entries))
        if settings.file is not None:
            self.targets.append(Target("file", to_file(Path(settings.file)), self.max_entries))
        self.times: deque[bytes] = deque()  # timer lines since the last flush
        self.size = 0
        self.dropped = 0
        self.requests: dict[str, int] = {}  # ended since the last flush, by tags
        self.answers: dict[str, int] = {}
        self.inflight: dict[tuple[str, str], int] = {}
        self.changed_gauges: set[tuple[str, str]] = set()  # whose gauge has changed since the last flush
        self.rendered: dict[tuple[str, str, str], str] = {}

    def _tags_of(self, request: RequestInfo) -> tuple[str, str]:
        """The class and tenant tags of a request."""
        return (
            request.cls if request.cls in self.classes else OTHER,
            request.tenant if request.tenant in self.tenants else OTHER,
        )

    def on_start(self, request: RequestInfo) -> None:
        """Count a request in flight."""
        key = self._tags_of(request)
        self.inflight[key] = self.inflight.get(key, 0) + 1
        self.changed_gauges.add(key)

    def on_end(self, request: RequestInfo, code: int | None) -> None:
        """Record an ended request; `code` is None if it got no response."""
        who = self._tags_of(request)
        self.inflight[who] -= 1
        self.changed_gauges.add(who)
        key = (*who, str(code or NO_ANSWER))
        tags = self.rendered.get(key)
        if tags is None:
            tags = self.format.tags((("class", key[0]), ("tenant", key[1]), ("code", key[2])))
            self.rendered[key] = tags
        self.requests[tags] = self.requests.get(tags, 0) + 1
        if code is not None:
            self.answers[tags] = self.answers.get(tags, 0) + 1
        line = self.format.timer("request", round((time.monotonic() - request.received_at) * 1000), tags)
        self.times.append(line)
        self.size += len(line)
        while self.size > self.max_entries:
            self.size -= len(self.times.popleft())
            self.dropped += 1

    def flush(self) -> None:
        """Pass the metrics since the last flush to the targets."""
        batch = list(self.times)
        self.times.clear()
        self.size = 0
        batch += [self.format.count("requests", count, tags) for tags, count in self.requests.items()]
        batch += [self.format.count("answers", count, tags) for tags, count in self.answers.items()]
        self.requests.clear()
        self.answers.clear()
        for who in self.changed_gauges | {who for who, count in self.inflight.items() if count}:
            tags = self.format.tags((("class", who[0]), ("tenant", who[1])))
            batch.append(self.format.gauge("inflight", self.inflight[who], tags))
        self.changed_gauges.clear()
        self.dropped += sum(target.lost() for target in self.targets)
        if self.dropped:
            batch.append(self.format.count("figures.dropped", self.dropped, ""))
            self.dropped = 0
        if batch:
            for target in self.targets:
                target.writer.put(batch)

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
