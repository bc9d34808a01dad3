"""Detects a regression of the whole fleet since a rollout's first stage began.

A stage's members may harm all others through shared backends, which no comparison between them and the others
shows. The only reference is the fleet's own past, and that differs for other reasons as well, such as bursts
and failed nodes. A regression is therefore never a verdict against a stage; it only holds back the next one.
It is found if in nearly all recent windows the other members did worse than in any window before the first
stage, by more than the tolerance. Windows in which the list of backends changed are known disturbances and
are not counted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median

HISTORY_WINDOWS = 30  # before the first stage
RECENT_WINDOWS = 6  # compared with the history
MAX_UNCHANGED_WINDOWS = 1  # of the recent ones
MIN_HISTORY_WINDOWS = 3  # for any comparison
CHANCE_DEVIATIONS = 2.0  # standard deviations of a window's rate
SHARED_LEVEL_PREFIXES = ("ms ", "attempts")  # levels that shared backends affect


@dataclass(frozen=True, slots=True)
class FleetWindow:
    """One window of the members outside the stage.

    `rates` has failed and all requests by metric, `levels` the members' median by name. `backends` is the
    digest of the list that all of them use; empty if they differ.
    """

    rates: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    levels: Mapping[str, float] = field(default_factory=dict)
    backends: str = ""


def fleet_window(
    rates: Mapping[str, tuple[int, int]], levels: Iterable[Mapping[str, float]], backends: Iterable[str]
) -> FleetWindow:
    """Combine the rates, each member's levels and each member's list of backends into a window."""
    found: dict[str, list[float]] = {}
    for one in levels:
        for name, value in one.items():
            found.setdefault(name, []).append(value)
    lists = set(backends)
    medians = {name: median(values) for name, values in found.items()}
    return FleetWindow(dict(rates), medians, lists.pop() if len(lists) == 1 else "")


def append_history(before: Sequence[FleetWindow], one: FleetWindow) -> tuple[FleetWindow, ...]:
    """Return the history with one more window, up to its limit."""
    return (*before, one)[-HISTORY_WINDOWS:]


def append_recent(recent: Sequence[FleetWindow], one: FleetWindow) -> tuple[FleetWindow, ...]:
    """Return the recent windows with one more.

    A change of the list of backends starts over with an empty window, since earlier ones are not comparable.
    """
    if recent and one.backends != recent[-1].backends:
        return (FleetWindow(backends=one.backends),)
    return (*recent, one)[-RECENT_WINDOWS - 1 :]


def regressed_metric(
    before: Sequence[FleetWindow], recent: Sequence[FleetWindow], allowed: Mapping[str, float]
) -> str:
    """Describe the first metric that regressed; empty if none did.

    `allowed` has the tolerance by kind of rate, and that of `level` as a fraction.
    """
    last = [one for one in recent if one.rates or one.levels][-RECENT_WINDOWS:]
    if len(before) < MIN_HISTORY_WINDOWS or len(last) < RECENT_WINDOWS:
        return ""
    return _regressed_rate(before, last, allowed) or _regressed_level(before, last, allowed["level"])


def _regressed_rate(
    before: Sequence[FleetWindow], last: Sequence[FleetWindow], allowed: Mapping[str, float]
) -> str:
    for metric in sorted({name for one in last for name in one.rates}):
        past = [one.rates[metric] for one in before if one.rates.get(metric, (0, 0))[1]]
        now = [one.rates.get(metric, (0, 0)) for one in last]
        if len(past) >= MIN_HISTORY_WINDOWS and sum(
            _rate_exceeds(past, one, allowed[metric.split()[0]]) for one in now
        ) >= (RECENT_WINDOWS - MAX_UNCHANGED_WINDOWS):
            return f"{metric} {_percent(now)} where it was {_percent(past)}"
    return ""


def _regressed_level(before: Sequence[FleetWindow], last: Sequence[FleetWindow], allowed: float) -> str:
    for name in sorted(
        {name for one in last for name in one.levels if name.startswith(SHARED_LEVEL_PREFIXES)}
    ):
        past = [one.levels[name] for one in before if name in one.levels]
        now = [one.levels[name] for one in last if name in one.levels]
        if len(past) < MIN_HISTORY_WINDOWS:
            continue
        bound = max(past) + allowed * abs(median(past))
        if sum(value > bound for value in now) >= RECENT_WINDOWS - MAX_UNCHANGED_WINDOWS:
            return f"{name} {median(now):.4g} where it was {median(past):.4g}"
    return ""


def _rate_exceeds(past: Sequence[tuple[int, int]], now: tuple[int, int], allowed: float) -> bool:
    failed, requests = now
    if not requests:
        return False
    baseline = (sum(one for one, _ in past) + 0.5) / (sum(n for _, n in past) + 1.0)
    by_chance = baseline + CHANCE_DEVIATIONS * math.sqrt(baseline * (1 - baseline) / requests)
    return failed / requests > max(by_chance, *(one / n for one, n in past)) + allowed


def _percent(windows: Sequence[tuple[int, int]]) -> str:
    requests = sum(n for _, n in windows)
    return f"{100 * sum(failed for failed, _ in windows) / max(1, requests):.2g}%"
