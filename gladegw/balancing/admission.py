"""How many calls may be out, which arrivals are dropped, and what is learned of each class. Pure; part of the
decisions.

Seconds throughout.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection
from random import Random

from gladegw.balancing.events import RequestClass
from gladegw.balancing.parameters import INITIAL_WINDOW, RATE_MEMORY_S

MIN_SAMPLES = 10  # calls, below which procQ and H say nothing and nothing is refused
HISTORY_SIZE = 300  # worths kept in H: the cut's error is then about 3 points of 100
BUDGET_HISTORY_SIZE = 64  # time budgets of a class that are kept to know the usual one
TARGET = 0.35  # share of the aim that all but LATE_SHARE of the answers should take
TARGET_LATE_FRACTION = 0.2  # share of answers past the target at which W stands still
BASE_RATIO = 1.75  # unhurried mean latencies that the target is at least: a long tail passes less
BASE_SAMPLES = 20  # answers before the unhurried latency is taken from them
BASE_MEMORY_S = 60.0  # s in which the unhurried latency follows a lasting rise
MAX_TARGET_FRACTION = 0.9  # share of the aim that the target stays within, and where it starts
MIN_WINDOW = 2.0  # calls; W does not recover well from less
MIN_WINDOW_PER_SERVER = (
    2.0  # calls for each server that the first tier's instances share, if these are the more
)
MAX_STEP_FRACTION = 0.3  # share of W that one call moves it by at most
SUNK_WORK_FACTOR = 0.5  # added to ST's weight per tier above: work done there is lost by a refusal here


class ClassState:
    """A class of requests with what was learned of it."""

    def __init__(self, cls: RequestClass, stage: int) -> None:
        self.priority_weight, self.latency_objective, self.deadline, self.effect = (
            cls.priority_weight,
            cls.latency_objective,
            cls.deadline,
            cls.effect,
        )
        self.group, self.window = cls.group, cls.window
        self.counts_late = cls.late_weight_fraction > 0
        # The target of an inner call: a caller makes about two calls, one after another, at each tier.
        self.min_target = TARGET * cls.latency_objective / 2**stage
        # Until the unhurried latency is known the target is the loosest: where an instance sees a call a
        # second, a guess of the unhurried latency that is too low closes W on a quiet day and keeps it shut.
        self.target = MAX_TARGET_FRACTION * cls.latency_objective
        self.unloaded_latency = math.inf  # s, the mean latency when little is in the way
        self.mean = Mean(self.min_target / 2)
        self.budgets: deque[float] = deque(maxlen=BUDGET_HISTORY_SIZE)
        self.median_budget, self.fresh_budgets = 0.0, 0
        self.recent_arrivals = 0.0  # arrivals, fading

    def learn_base(self, span: float) -> None:
        """A target below what an unhurried call takes would close W on a quiet day."""
        mean = self.mean
        if mean.count >= BASE_SAMPLES:
            creep = (
                0.0
                if math.isinf(self.unloaded_latency)
                else (mean.value - self.unloaded_latency) * span / BASE_MEMORY_S
            )
            self.unloaded_latency = min(mean.value, self.unloaded_latency + creep)
            self.target = max(
                self.min_target,
                min(BASE_RATIO * self.unloaded_latency, MAX_TARGET_FRACTION * self.latency_objective),
            )

    def typical_budget(self, budget: float) -> float:
        """The median of the recent budgets, renewed now and then."""
        self.budgets.append(budget)
        self.fresh_budgets += 1
        if self.fresh_budgets >= BUDGET_HISTORY_SIZE // 4 or len(self.budgets) < BUDGET_HISTORY_SIZE // 4:
            self.fresh_budgets = 0
            self.median_budget = sorted(self.budgets)[len(self.budgets) // 2]
        return self.median_budget


class Mean:
    """A running mean of the last few samples, from a prior."""

    __slots__ = ("count", "value")

    def __init__(self, prior: float) -> None:
        self.value = prior
        self.count = 0.0

    def add(self, sample: float, memory: float) -> None:
        self.count = min(self.count + 1, memory)
        self.value += (sample - self.value) / self.count


class Admission:
    """procQ, the arrival rate, the history H of worths, the window W and the cut that follows from them."""

    def __init__(self, stage: int, random: Random) -> None:
        self.stage = stage
        self.random = random
        self.latency = Mean(0.0)  # of the calls that were answered
        self.mix_latency = 0.0  # s, mean latency of the calls that come, refused ones among them
        self.in_flight_age = 0.0  # mean age of the calls out, in mean latencies of their class
        self.rate = 0.0
        self.rate_span = 0.0
        self.history: deque[float] = deque(maxlen=HISTORY_SIZE)
        self.window = INITIAL_WINDOW
        self.available_fraction = 1.0  # share of the capacity that W was learned on which stands now
        self.overload_limit = (
            math.inf
        )  # calls of this instance that crowd what stands now, if all hold as many
        self.min_window = MIN_WINDOW
        self.in_startup = True  # W doubles each round until the first bad sign
        self.threshold, self.tie_reject_fraction = -math.inf, 0.0
        self.last_draw: float | None = None  # by which the last tie was told apart

    @property
    def processing_time(self) -> float:
        # A hung server finishes nothing, so the ages of what is out count too. In units of their class: long
        # calls are out the longest, so that their ages in seconds say more of the mix than of the servers.
        return self.mix_latency * max(1.0, 0.5 * self.in_flight_age)

    def observe_rate(self, arrivals: int, span: float) -> None:
        self.rate_span = min(self.rate_span + span, RATE_MEMORY_S)
        self.rate += (arrivals / span - self.rate) * min(1.0, span / self.rate_span)

    def observe_mix(self, classes: Collection[ClassState], span: float) -> None:
        """What is refused must weigh too: a cut leaves the worthiest, which are the heaviest here, and with
        the latency of these alone the servers seem to do ever fewer calls, so ever more are refused."""
        total = sum(kind.recent_arrivals for kind in classes)
        if total > 0:
            self.mix_latency = sum(kind.recent_arrivals * kind.mean.value for kind in classes) / total
        for kind in classes:
            kind.recent_arrivals *= max(0.0, 1 - span / RATE_MEMORY_S)

    def observe_latency(self, latency: float) -> None:
        self.latency.add(latency, max(MIN_SAMPLES, self.rate * RATE_MEMORY_S))

    def set_min_window(self, servers: int, balancers: int) -> None:
        """With more instances than servers, two calls of each would crowd every server. Inner tiers keep
        the floor: a refusal there loses the work above."""
        if self.stage == 0:
            self.min_window = min(MIN_WINDOW, max(1.0, MIN_WINDOW_PER_SERVER * servers / balancers))

    @property
    def limit(self) -> float:
        """W as far as the servers that it was learned on still stand."""
        return min(
            self.window, max(self.window * self.available_fraction, self.overload_limit, self.min_window)
        )

    def step(self) -> float:
        return min(MAX_STEP_FRACTION * self.window, 1 / math.sqrt(self.window))

    def on_good_answer(self, busy: float) -> None:
        """An answer within its target. W grows only while it is what limits."""
        if busy + 1 >= 0.8 * self.limit:
            self.window += (
                0.5 if self.in_startup else TARGET_LATE_FRACTION / (1 - TARGET_LATE_FRACTION) * self.step()
            )

    def on_late_answer(self) -> None:
        self.in_startup = False
        self.window = max(self.min_window, self.window - self.step())

    def target_drop_rate(self) -> float:
        if self.latency.count < MIN_SAMPLES or len(self.history) < MIN_SAMPLES or self.rate <= 0:
            return 0.0
        supported = self.limit / max(self.processing_time, 1e-6) * (1 + SUNK_WORK_FACTOR * self.stage)
        return max(0.0, 1 - supported / self.rate)

    def update_threshold(self) -> None:
        target = self.target_drop_rate()
        if target <= 0:
            self.threshold, self.tie_reject_fraction = -math.inf, 0.0
            return
        count = len(self.history)
        below = 0.0
        counts: dict[float, int] = {}
        for worth in self.history:
            counts[worth] = counts.get(worth, 0) + 1
        for worth in sorted(counts):
            share = counts[worth] / count
            if below + share >= target - 1e-12:
                # Worth has few levels: ties at the cut are refused by chance, up to the target.
                self.threshold, self.tie_reject_fraction = worth, (target - below) / share
                return
            below += share

    def draw(self) -> float:
        return self.random.random()

    def admits(self, priority_weight: float) -> bool:
        self.last_draw = None
        if priority_weight == self.threshold:
            self.last_draw = self.draw()
            return self.last_draw >= self.tie_reject_fraction
        return priority_weight > self.threshold
