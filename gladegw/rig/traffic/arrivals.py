"""When requests are due: fixed ahead, as a pure function of settings and seed.

A unit-rate point process (evenly spaced, or Poisson) is stretched in time by the inverse of the cumulative
rate, so that every shape of load works with every kind of arrivals, and a seed gives the same times on
every run.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random

STEP = 0.01  # s of the grid on which a rate is summed up
PROCESSES = ("constant", "poisson")
SHAPES = ("steady", "ramp", "spike", "diurnal")


@dataclass(frozen=True, slots=True, kw_only=True)
class Surge:
    """A stretch of more traffic: `size` times the usual, reached and left within `edge` s."""

    at: float
    lasts: float
    size: float
    edge: float = 0.2

    def factor(self, t: float) -> float:
        if not self.at <= t < self.at + self.lasts:
            return 1.0
        edge = max(self.edge, 1e-9)
        share = min(1.0, (t - self.at) / edge, (self.at + self.lasts - t) / edge)
        return 1.0 + (self.size - 1.0) * share


@dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """Requests a second over the run. `low` is the share of the rate at the low point of a shape."""

    rate: float
    duration: float
    shape: str = "steady"
    low: float = 0.5
    surges: tuple[Surge, ...] = ()

    def at(self, t: float) -> float:
        share = 1.0
        if self.shape == "ramp":
            share = self.low + (1 - self.low) * t / self.duration
        elif self.shape == "spike":  # the middle tenth at the full rate
            share = 1.0 if 0.45 <= t / self.duration < 0.55 else self.low
        elif self.shape == "diurnal":  # one day over the run, low at both ends
            share = self.low + (1 - self.low) * (1 - math.cos(2 * math.pi * t / self.duration)) / 2
        rate = self.rate * share
        for surge in self.surges:
            rate *= surge.factor(t)
        return rate


def _cumulative(rate: Callable[[float], float], duration: float) -> list[float]:
    """Requests due by each point of the grid (trapezoids)."""
    points = max(1, math.ceil(duration / STEP))
    width = duration / points
    total, sums, before = 0.0, [0.0], rate(0.0)
    for point in range(1, points + 1):
        now = rate(min(duration - 1e-9, point * width))
        total += (before + now) / 2 * width
        sums.append(total)
        before = now
    return sums


def _unit(process: str, draws: Random) -> Iterator[float]:
    """Points of rate 1: evenly spaced from 0 on, or Poisson."""
    at = 0.0
    while True:
        if process == "poisson":
            at += draws.expovariate(1.0)
            yield at
        else:
            yield at
            at += 1.0


def times(shape: Shape, process: str, seed: int) -> Iterator[float]:
    """Due times in seconds from the start, ascending, all under the duration."""
    if shape.shape == "steady" and not shape.surges:
        for point in _unit(process, Random(seed)):
            at = point / shape.rate
            if at >= shape.duration:
                return
            yield at
        return
    sums = _cumulative(shape.at, shape.duration)
    width = shape.duration / (len(sums) - 1)
    for point in _unit(process, Random(seed)):
        if point >= sums[-1]:
            return
        cell = bisect_right(sums, point) - 1
        inside = sums[cell + 1] - sums[cell]
        yield (cell + (point - sums[cell]) / inside) * width
