"""Detects a regression of the whole fleet since a rollout's first stage began.

A stage's members may harm all others through shared backends, which no comparison between them and the others
shows. The only reference is the fleet's own past, which also differs for other reasons, such as bursts of
requests and failed nodes. A regression is therefore never a verdict against a stage; it only holds back the
next one. It is found if in nearly all recent windows the other members did worse than in any window before
the first stage, by more than the tolerance. Windows in which the list of backends changed are known
disturbances and are not counted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median

HISTORY_WINDOWS = 30  # latest windows before the first stage that are kept
RECENT_WINDOWS = 6  # compared with the history
MAX_UNCHANGED_WINDOWS = 1  # recent windows that may be no worse than the history
MIN_HISTORY_WINDOWS = 3  # windows of history that a comparison needs
CHANCE_DEVIATIONS = 2.0  # difference of a window's rate explained by chance, in standard deviations
SHARED_LEVEL_PREFIXES = ("ms ", "attempts")  # prefixes of the levels that shared backends affect


@dataclass(frozen=True, slots=True)
class FleetWindow:
    """Combined metrics of several members in one window.

    `rates` has failed and all requests by metric, `levels` the members' median by name. `backends` is the
    digest of the list of backends that all of them use; empty if they use different lists.
    """

    rates: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    levels: Mapping[str, float] = field(default_factory=dict)
    backends: str = ""


def fleet_window(
    rates: Mapping[str, tuple[int, int]], levels: Iterable[Mapping[str, float]], backends: Iterable[str]
) -> FleetWindow:
    """Combine the rates, each member's levels and the digest of each member's backends into a window."""
    values_by_name: dict[str, list[float]] = {}
    for member_levels in levels:
        for name, value in member_levels.items():
            values_by_name.setdefault(name, []).append(value)
    digests = set(backends)
    medians = {name: median(values) for name, values in values_by_name.items()}
    return FleetWindow(dict(rates), medians, digests.pop() if len(digests) == 1 else "")


def append_history(history: Sequence[FleetWindow], window: FleetWindow) -> tuple[FleetWindow, ...]:
    """Return the history with one more window, without the oldest beyond HISTORY_WINDOWS."""
    return (*history, window)[-HISTORY_WINDOWS:]


def append_recent(recent: Sequence[FleetWindow], window: FleetWindow) -> tuple[FleetWindow, ...]:
    """Return the recent windows with one more.

    If the list of backends changed, the earlier windows are not comparable: they are replaced by an empty
    window that only holds the new digest.
    """
    if recent and window.backends != recent[-1].backends:
        return (FleetWindow(backends=window.backends),)
    return (*recent, window)[-RECENT_WINDOWS - 1 :]


def regressed_metric(
    history: Sequence[FleetWindow], recent: Sequence[FleetWindow], tolerances: Mapping[str, float]
) -> str:
    """Describe the first metric that regressed; empty if none did.

    `tolerances` has the absolute tolerance by kind of rate, and that of `level` as a fraction.
    """
    last = [window for window in recent if window.rates or window.levels][-RECENT_WINDOWS:]
    if len(history) < MIN_HISTORY_WINDOWS or len(last) < RECENT_WINDOWS:
        return ""
    return _regressed_rate(history, last, tolerances) or _regressed_level(history, last, tolerances["level"])


def _regressed_rate(
    history: Sequence[FleetWindow], last: Sequence[FleetWindow], tolerances: Mapping[str, float]
) -> str:
    for metric in sorted({name for window in last for name in window.rates}):
        past = [window.rates[metric] for window in history if window.rates.get(metric, (0, 0))[1]]
        now = [window.rates.get(metric, (0, 0)) for window in last]
        if len(past) >= MIN_HISTORY_WINDOWS and sum(
            _rate_exceeds(past, counts, tolerances[metric.split()[0]]) for counts in now
        ) >= (RECENT_WINDOWS - MAX_UNCHANGED_WINDOWS):
            return f"{metric} {_percent(now)}, previously {_percent(past)}"
    return ""


def _regressed_level(history: Sequence[FleetWindow], last: Sequence[FleetWindow], tolerance: float) -> str:
    for name in sorted(
        {name for window in last for name in window.levels if name.startswith(SHARED_LEVEL_PREFIXES)}
    ):
        past = [window.levels[name] for window in history if name in window.levels]
        now = [window.levels[name] for window in last if name in window.levels]
        if len(past) < MIN_HISTORY_WINDOWS:
            continue
        bound = max(past) + tolerance * abs(median(past))
        if sum(value > bound for value in now) >= RECENT_WINDOWS - MAX_UNCHANGED_WINDOWS:
            return f"{name} {median(now):.4g}, previously {median(past):.4g}"
    return ""


def _rate_exceeds(past: Sequence[tuple[int, int]], now: tuple[int, int], tolerance: float) -> bool:
    failed, requests = now
    if not requests:
        return False
    baseline = (sum(failures for failures, _ in past) + 0.5) / (sum(n for _, n in past) + 1.0)
    by_chance = baseline + CHANCE_DEVIATIONS * math.sqrt(baseline * (1 - baseline) / requests)
    return failed / requests > max(by_chance, *(failures / n for failures, n in past)) + tolerance


def _percent(windows: Sequence[tuple[int, int]]) -> str:
    requests = sum(n for _, n in windows)
    return f"{100 * sum(failed for failed, _ in windows) / max(1, requests):.2g}%"
