"""A run's course over time, from its ledgers, as arrays for plots."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import numpy.typing as npt

from gladegw.rig.faults import schedule
from gladegw.rig.judging.ledger import Origin, Run, Try, read_all
from gladegw.rig.scenario import Scenario

BIN = 0.5  # s
Floats = npt.NDArray[np.float64]


@dataclass(slots=True)
class Course:
    """Values by bin of time; NaN where nothing was due."""

    times: Floats
    served: Floats  # share of the worth due in the bin, answered within its aim
    p50: Floats  # ms, of arrivals due in the bin
    p99: Floats
    refused: Floats  # a second
    retries: Floats  # a second
    inflight: dict[str, Floats] = field(default_factory=dict)  # by node
    bands: list[tuple[str, float, float]] = field(default_factory=list)


def course(folder: Path) -> Course:
    scenario: Scenario = msgspec.json.decode((folder / "scenario.json").read_bytes(), type=Scenario)
    records = read_all(folder)
    origin = next(record.at for record in records if isinstance(record, Origin))
    bins = max(1, int(np.ceil(scenario.run.duration / BIN)))
    classes = {cls.name: cls for cls in scenario.classes}
    firsts: dict[int, Try] = {}
    lasts: dict[int, Try] = {}
    refused, retries = np.zeros(bins), np.zeros(bins)

    def place(at: float) -> int:
        return min(bins - 1, max(0, int((at - origin) / BIN)))

    for record in records:
        if isinstance(record, Try) and record.first >= 0:
            if record.turn == 0:
                firsts[record.first] = record
            else:
                retries[place(record.due)] += 1
            before = lasts.get(record.first)
            if before is None or record.turn >= before.turn:
                lasts[record.first] = record
            if record.code in (429, 503):
                refused[place(record.ended)] += 1
    asked, good = np.zeros(bins), np.zeros(bins)
    latencies: dict[int, list[float]] = defaultdict(list)
    for number, first in firsts.items():
        cls, last, at = classes[first.cls], lasts[number], place(first.due)
        latency = last.ended - first.due
        asked[at] += cls.worth * cls.work_ms
        if last.code == 200:
            latencies[at].append(latency * 1000)
            good[at] += cls.worth * cls.work_ms * (latency <= cls.aim_ms / 1000)
    with np.errstate(invalid="ignore", divide="ignore"):
        served = good / asked
    percentiles: Floats = np.full((2, bins), np.nan, dtype=np.float64)
    for at, found in latencies.items():
        percentiles[:, at] = np.percentile(found, [50, 99])
    return Course(
        np.arange(bins, dtype=np.float64) * BIN,
        served,
        percentiles[0],
        percentiles[1],
        refused / BIN,
        retries / BIN,
        _inflight(records, origin, bins),
        schedule.bands(scenario),
    )


def _inflight(records: list[Any], origin: float, bins: int) -> dict[str, Floats]:
    """Requests held by each node at the middle of each bin."""
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for record in records:
        if isinstance(record, Run) and record.outcome != "full":
            spans[record.node].append((record.whole - origin, (record.ended or record.whole) - origin))
    middles = (np.arange(bins) + 0.5) * BIN
    found = {}
    for node in sorted(spans):
        begins = np.sort([begin for begin, _ in spans[node]])
        ends = np.sort([end for _, end in spans[node]])
        held = np.searchsorted(begins, middles, "right") - np.searchsorted(ends, middles, "right")
        found[node] = held.astype(np.float64)
    return found
