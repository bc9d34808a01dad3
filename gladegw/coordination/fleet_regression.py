"""Whether those left as they are do worse, too, since the first stage began: what a stage's members do to all
through the backends that they share shows in no comparison of them with the others.

Nobody is left to compare with but the fleet's own past, and that differs for other reasons as well: bursts,
nodes that die. So it is never a verdict against a stage, only a doubt in which the next one does not begin:
in nearly all of the last windows the others did worse than in any window before the first stage, by more
than is allowed. Windows in which the list of backends moved are known disturbances, and don't count."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median

HISTORY_WINDOWS = 30  # windows before the first stage
RECENT_WINDOWS = 6  # windows that are looked at
MAX_UNCHANGED_WINDOWS = 1  # of them that may have been as before
MIN_HISTORY_WINDOWS = 3  # windows of before, without which nothing is said
CHANCE_DEVIATIONS = 2.0  # standard deviations of a window's rate
SHARED_LEVEL_PREFIXES = ("ms ", "attempts")  # names begin so of those that shared backends show in


@dataclass(frozen=True, slots=True)
class FleetWindow:
    """One window of members left as they are: bad requests and all of them by figure, and the middle of their
    levels by name. `backends`: the list that all of them work by; empty where they don't agree."""

    rates: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    levels: Mapping[str, float] = field(default_factory=dict)
    backends: str = ""


def fleet_window(
    rates: Mapping[str, tuple[int, int]], levels: Iterable[Mapping[str, float]], backends: Iterable[str]
) -> FleetWindow:
    found: dict[str, list[float]] = {}
    for one in levels:
        for name, value in one.items():
            found.setdefault(name, []).append(value)
    lists = set(backends)
    middle = {name: median(values) for name, values in found.items()}
    return FleetWindow(dict(rates), middle, lists.pop() if len(lists) == 1 else "")


def append_history(before: Sequence[FleetWindow], one: FleetWindow) -> tuple[FleetWindow, ...]:
    return (*before, one)[-HISTORY_WINDOWS:]


def append_recent(recent: Sequence[FleetWindow], one: FleetWindow) -> tuple[FleetWindow, ...]:
    """The last windows, without the one in which the list moved: what came before says nothing of now."""
    if recent and one.backends != recent[-1].backends:
        return (FleetWindow(backends=one.backends),)
    return (*recent, one)[-RECENT_WINDOWS - 1 :]


def regressed_metric(
    before: Sequence[FleetWindow], recent: Sequence[FleetWindow], allowed: Mapping[str, float]
) -> str:
    """In which figure; empty where in none. `allowed`: by the kind of a rate, and `level` as a share."""
    last = [one for one in recent if one.rates or one.levels][-RECENT_WINDOWS:]
    if len(before) < MIN_HISTORY_WINDOWS or len(last) < RECENT_WINDOWS:
        return ""
    for figure in sorted({name for one in last for name in one.rates}):
        past = [one.rates[figure] for one in before if one.rates.get(figure, (0, 0))[1]]
        now = [one.rates.get(figure, (0, 0)) for one in last]
        if len(past) >= MIN_HISTORY_WINDOWS and sum(
            _rate_regressed(past, one, allowed[figure.split()[0]]) for one in now
        ) >= (RECENT_WINDOWS - MAX_UNCHANGED_WINDOWS):
            return f"{figure} {_percent(now)} where it was {_percent(past)}"
    for name in sorted(
        {name for one in last for name in one.levels if name.startswith(SHARED_LEVEL_PREFIXES)}
    ):
        usual = [one.levels[name] for one in before if name in one.levels]
        values = [one.levels[name] for one in last if name in one.levels]
        if len(usual) < MIN_HISTORY_WINDOWS:
            continue
        bound = max(usual) + allowed["level"] * abs(median(usual))
        if sum(value > bound for value in values) >= RECENT_WINDOWS - MAX_UNCHANGED_WINDOWS:
            return f"{name} {median(values):.4g} where it was {median(usual):.4g}"
    return ""


def _rate_regressed(past: Sequence[tuple[int, int]], now: tuple[int, int], allowed: float) -> bool:
    bad, of = now
    if not of:
        return False
    usual = (sum(one for one, _ in past) + 0.5) / (sum(n for _, n in past) + 1.0)
    by_chance = usual + CHANCE_DEVIATIONS * math.sqrt(usual * (1 - usual) / of)
    return bad / of > max(by_chance, *(one / n for one, n in past)) + allowed


def _percent(windows: Sequence[tuple[int, int]]) -> str:
    of = sum(n for _, n in windows)
    return f"{100 * sum(bad for bad, _ in windows) / max(1, of):.2g}%"
