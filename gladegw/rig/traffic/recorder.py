"""Latency figures of a load: HdrHistograms in microseconds, in all and by class, tenant and code."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram
from hdrh.log import HistogramLogWriter

LARGEST = 600_000_000  # us; what is longer counts as this
DIGITS = 3
QUANTILES = (("p50", 50.0), ("p90", 90.0), ("p99", 99.0), ("p999", 99.9))
OPEN_SECONDS = 16  # histograms of single seconds that are held open
KINDS = ("lateness", "latency", "service")


def histogram() -> Any:
    return HdrHistogram(1, LARGEST, DIGITS)


def record(into: Any, seconds: float) -> None:
    into.record_value(min(LARGEST, max(1, round(seconds * 1e6))))


def summary(of: Any) -> dict[str, float]:
    """Milliseconds."""
    if not of.get_total_count():
        return {name: 0.0 for name, _ in QUANTILES} | {"max": 0.0}
    found = {name: of.get_value_at_percentile(share) / 1000 for name, share in QUANTILES}
    return found | {"max": of.get_max_value() / 1000}


class Tally(msgspec.Struct):
    """What one worker counted, as it travels to the process that adds them up."""

    sent: int = 0
    tries: int = 0
    answered: int = 0
    due: int = 0  # arrivals of the schedule
    codes: dict[str, int] = {}
    histograms: dict[str, bytes] = {}  # lateness, latency, service
    tagged: dict[str, bytes] = {}  # `class|tenant|code`: latency
    seconds: dict[int, bytes] = {}  # latency of what was due in that second
    cpu: float = 0.0  # s
    memory: float = 0.0  # MB at the most
    worth: float = 0.0  # answered within its aim
    asked_worth: float = 0.0
    trace: dict[str, Any] = {}


class Recorder:
    """One worker's figures."""

    def __init__(self) -> None:
        self.tally = Tally(codes={}, histograms={}, tagged={}, seconds={})
        self.codes: Counter[str] = Counter()
        self.of = {kind: histogram() for kind in KINDS}
        self.tagged: dict[str, Any] = {}
        self.seconds: dict[int, Any] = {}  # the latest; older ones are kept as text

    def fired(self, late: float) -> None:
        self.tally.sent += 1
        record(self.of["lateness"], late)

    def ended(self, due: float, tag: str, code: str, latency: float, service: float | None) -> None:
        """A request's final end; `due` in seconds from the start."""
        self.codes[code] += 1
        record(self.of["latency"], latency)
        if service is not None:
            record(self.of["service"], service)
            self.tally.answered += 1
        key = f"{tag}|{code}"
        if key not in self.tagged:
            self.tagged[key] = histogram()
        record(self.tagged[key], latency)
        second = int(due)
        if second not in self.seconds:
            self._open(second)
        record(self.seconds[second], latency)

    def _open(self, second: int) -> None:
        found = histogram()
        if second in self.tally.seconds:
            found.decode_and_add(self.tally.seconds.pop(second))
        self.seconds[second] = found
        if len(self.seconds) > OPEN_SECONDS:
            self._close(min(self.seconds))

    def _close(self, second: int) -> None:
        self.tally.seconds[second] = self.seconds.pop(second).encode()

    def result(self) -> Tally:
        tally = self.tally
        tally.codes = dict(self.codes)
        tally.histograms = {kind: found.encode() for kind, found in self.of.items()}
        tally.tagged = {key: found.encode() for key, found in self.tagged.items()}
        for second in list(self.seconds):
            self._close(second)
        return tally


class Total:
    """All workers' figures together."""

    def __init__(self, tallies: list[Tally]) -> None:
        self.tallies = tallies
        self.of = {kind: histogram() for kind in KINDS}
        self.tagged: dict[str, Any] = {}
        self.seconds: dict[int, Any] = {}
        self.codes: Counter[str] = Counter()
        for tally in tallies:
            self.codes.update(tally.codes)
            for kind, text in tally.histograms.items():
                self.of[kind].decode_and_add(text)
            for key, text in tally.tagged.items():
                self.tagged.setdefault(key, histogram()).decode_and_add(text)
            for second, text in tally.seconds.items():
                self.seconds.setdefault(second, histogram()).decode_and_add(text)

    def sum(self, name: str) -> float:
        return sum(float(getattr(tally, name)) for tally in self.tallies)

    def write_log(self, path: Path, started: float) -> None:
        """The standard histogram log: an interval a second, then the whole run by tag."""
        with path.open("w", encoding="utf-8") as file:
            log = HistogramLogWriter(file)
            log.output_log_format_version()
            log.output_comment(f"[StartTime: {started:.3f} (seconds since epoch)]")
            log.output_comment("latency from the intended time, microseconds")
            log.output_legend()
            for second in sorted(self.seconds):
                log.output_interval_histogram(self.seconds[second], second or 1e-9, second + 1, 1_000_000.0)
            end = max(self.seconds, default=0) + 1
            for key in sorted(self.tagged):
                file.write(f"Tag={key.replace(',', '_').replace(' ', '_')},")
                log.output_interval_histogram(self.tagged[key], 1e-9, end, 1_000_000.0)
