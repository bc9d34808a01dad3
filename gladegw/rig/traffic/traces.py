"""Recorded traces, read line by line in constant memory: CSV, JSON lines, and the proxy's own captures.

Times of a trace count from its first request. What is out of order by no more than the window is put in
order; what is later still is sent at once or dropped, as asked, and counted. A line that can't be read is
named by its number and counted, or ends the reading.
"""

from __future__ import annotations

import csv
import heapq
import itertools
import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from gladegw.rig.errors import TraceError

WINDOW = 1024  # requests that are held to put them in order
NAMED = 5  # bad lines that are named; the rest is counted
FOREVER = 1e18  # s; a figure that JSON can hold
FORMATS = ("auto", "csv", "jsonl", "capture")


@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """How a trace is played. Times in seconds of the trace."""

    format: str = "auto"
    bad_lines: str = "skip"  # or "fail"
    late: str = "keep"  # what comes out of order beyond the window: "keep" (sent at once), "drop" or "fail"
    speed: float = 1.0  # times faster than recorded
    begin: float = 0.0  # of the trace, from its first request
    end: float = FOREVER
    longest_gap: float = FOREVER  # a longer pause is cut to this
    window: int = WINDOW


@dataclass(frozen=True, slots=True, order=True)
class Recorded:
    """A request of a trace; `at` in seconds."""

    at: float
    cls: str = ""
    tenant: str = ""
    key: str = ""
    budget: float = 0.0  # s; 0: not told


@dataclass(slots=True)
class Count:
    """What the reading met."""

    requests: int = 0
    bad: int = 0
    bad_lines: list[str] = field(default_factory=list)
    out_of_order: int = 0
    late: int = 0  # out of order beyond the window
    dropped: int = 0
    duplicates: int = 0  # of a time
    gaps: int = 0  # cut to the longest


class _Skip(Exception):
    """A line that is in order but holds no request."""


def _number(text: Any, name: str) -> float:
    value = float(text)
    if value - value != 0.0:
        raise ValueError(f"{name} is not finite")
    return value


def _from_fields(raw: dict[str, Any]) -> Recorded:
    if not isinstance(raw, dict):
        raise ValueError("not an object")
    at = raw.get("at", raw.get("time", raw.get("timestamp")))
    if at in (None, ""):
        raise ValueError("no time (at)")
    budget = raw.get("budget_ms") or 0
    return Recorded(
        _number(at, "at"),
        str(raw.get("class") or raw.get("cls") or ""),
        str(raw.get("tenant") or ""),
        str(raw.get("key") or ""),
        _number(budget, "budget_ms") / 1000,
    )


def _from_capture(raw: dict[str, Any]) -> Recorded:
    if raw.get("kind") != "req":
        raise _Skip
    steps = raw["steps"]
    admitted = next((step for step in steps if "at" in step), None)
    if admitted is None:
        raise ValueError("a request without a time")
    return Recorded(
        _number(admitted["at"], "at"),
        str(raw["class"]),
        str(raw["tenant"]),
        "",
        _number(raw["budget_ms"], "budget_ms") / 1000,
    )


def _format(path: Path, asked: str) -> str:
    if asked != "auto":
        return asked
    with path.open(encoding="utf-8", errors="replace") as file:
        first = next((line for line in file if line.strip()), "")
    if not first.lstrip().startswith("{"):
        return "csv"
    return "capture" if '"kind"' in first else "jsonl"


def _lines(path: Path, form: str) -> Iterator[tuple[int, dict[str, Any] | Exception]]:
    with path.open(encoding="utf-8", errors="replace", newline="") as file:
        if form == "csv":
            rows = csv.reader(file)
            names = [name.strip() for name in next(rows, [])]
            if names and not {"at", "time", "timestamp"} & set(names):
                raise TraceError(f"{path}:1: the head names no column at, time or timestamp")
            for row in rows:
                if row:
                    whole = len(row) == len(names)
                    found: dict[str, Any] = dict(zip(names, row, strict=False))
                    yield rows.line_num, found if whole else ValueError(f"{len(row)} of {len(names)} columns")
            return
        for number, line in enumerate(file, 1):
            if line.strip():
                try:
                    yield number, json.loads(line)
                except ValueError:
                    yield number, ValueError("not JSON")


def _requests(path: Path, options: Options, count: Count) -> Iterator[Recorded]:
    form = _format(path, options.format)
    make = _from_capture if form == "capture" else _from_fields
    for number, raw in _lines(path, form):
        try:
            if isinstance(raw, Exception):
                raise raw
            yield make(raw)
        except _Skip:
            continue
        except (ValueError, TypeError, KeyError, AttributeError) as fault:
            reason = f"{path}:{number}: {'lacks ' if isinstance(fault, KeyError) else ''}{fault}"
            if options.bad_lines == "fail":
                raise TraceError(reason) from None
            count.bad += 1
            if len(count.bad_lines) < NAMED:
                count.bad_lines.append(reason)


def _in_order(found: Iterator[Recorded], options: Options, count: Count) -> Iterator[Recorded]:
    held: list[tuple[float, int, Recorded]] = []
    latest = last = float("-inf")
    for place in itertools.count():
        request = next(found, None)
        if request is not None:
            count.out_of_order += request.at < latest
            latest = max(latest, request.at)
            heapq.heappush(held, (request.at, place, request))
        while held and (request is None or len(held) > options.window):
            out = heapq.heappop(held)[2]
            if out.at < last:
                count.late += 1
                if options.late == "fail":
                    raise TraceError(f"a request at {out.at:g} s comes after one at {last:g} s")
                if options.late == "drop":
                    count.dropped += 1
                    continue
                out = Recorded(last, out.cls, out.tenant, out.key, out.budget)
            count.duplicates += out.at == last
            last = out.at
            yield out
        if request is None:
            return


def read(path: Path, options: Options, count: Count) -> Iterator[Recorded]:
    """Requests in order, their times as they are to be played; raises TraceError, also where there is
    none."""
    try:
        first: float | None = None
        cut, before = 0.0, 0.0
        for request in _in_order(_requests(path, options, count), options, count):
            first = request.at if first is None else first
            at = request.at - first
            if at < options.begin:
                continue
            if at >= options.end:
                break
            at -= options.begin
            if at - before > options.longest_gap:
                count.gaps += 1
                cut += at - before - options.longest_gap
            before = at
            count.requests += 1
            yield Recorded(
                (at - cut) / options.speed, request.cls, request.tenant, request.key, request.budget
            )
    except OSError as fault:
        raise TraceError(f"{path}: {fault.strerror or fault}") from None
    if not count.requests:
        raise TraceError(f"{path}: holds no request")
