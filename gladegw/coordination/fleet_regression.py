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

KEPT = 30  # windows before the first stage
RECENT = 6  # windows that are looked at
MOST = 1  # of them that may have been as before
LEAST = 3  # windows of before, without which nothing is said
CHANCE = 2.0  # standard deviations of a window's rate
LEVELS = ("ms ", "attempts")  # names begin so of those that shared backends show in


@dataclass(frozen=True, slots=True)
class Whole:
    """One window of members left as they are: bad requests and all of them by figure, and the middle of their
    levels by name. `backends`: the list that all of them work by; empty where they don't agree."""

    rates: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    levels: Mapping[str, float] = field(default_factory=dict)
    backends: str = ""


def whole(
    rates: Mapping[str, tuple[int, int]], levels: Iterable[Mapping[str, float]], backends: Iterable[str]
) -> Whole:
    found: dict[str, list[float]] = {}
    for one in levels:
        for name, value in one.items():
            found.setdefault(name, []).append(value)
    lists = set(backends)
    middle = {name: median(values) for name, values in found.items()}
    return Whole(dict(rates), middle, lists.pop() if len(lists) == 1 else "")


def kept(before: Sequence[Whole], one: Whole) -> tuple[Whole, ...]:
    return (*before, one)[-KEPT:]


def lately(recent: Sequence[Whole], one: Whole) -> tuple[Whole, ...]:
    """The last windows, without the one in which the list moved: what came before says nothing of now."""
    if recent and one.backends != recent[-1].backends:
        return (Whole(backends=one.backends),)
    return (*recent, one)[-RECENT - 1 :]


def worse(before: Sequence[Whole], recent: Sequence[Whole], allowed: Mapping[str, float]) -> str:
    """In which figure; empty where in none. `allowed`: by the kind of a rate, and `level` as a share."""
    last = [one for one in recent if one.rates or one.levels][-RECENT:]
    if len(before) < LEAST or len(last) < RECENT:
        return ""
    for figure in sorted({name for one in last for name in one.rates}):
        past = [one.rates[figure] for one in before if one.rates.get(figure, (0, 0))[1]]
        now = [one.rates.get(figure, (0, 0)) for one in last]
        if len(past) >= LEAST and sum(_rate_worse(past, one, allowed[figure.split()[0]]) for one in now) >= (
            RECENT - MOST
        ):
            return f"{figure} {_percent(now)} where it was {_percent(past)}"
    for name in sorted({name for one in last for name in one.levels if name.startswith(LEVELS)}):
        usual = [one.levels[name] for one in before if name in one.levels]
        values = [one.levels[name] for one in last if name in one.levels]
        if len(usual) < LEAST:
            continue
        bound = max(usual) + allowed["level"] * abs(median(usual))
        if sum(value > bound for value in values) >= RECENT - MOST:
            return f"{name} {median(values):.4g} where it was {median(usual):.4g}"
    return ""


def _rate_worse(past: Sequence[tuple[int, int]], now: tuple[int, int], allowed: float) -> bool:
    bad, of = now
    if not of:
        return False
    usual = (sum(one for one, _ in past) + 0.5) / (sum(n for _, n in past) + 1.0)
    by_chance = usual + CHANCE * math.sqrt(usual * (1 - usual) / of)
    return bad / of > max(by_chance, *(one / n for one, n in past)) + allowed


def _percent(windows: Sequence[tuple[int, int]]) -> str:
    of = sum(n for _, n in windows)
    return f"{100 * sum(bad for bad, _ in windows) / max(1, of):.2g}%"
