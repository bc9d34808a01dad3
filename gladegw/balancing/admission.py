"""Admission control: concurrency window, admission threshold and per-class latency statistics.

All times are in seconds. Pure: no I/O, no clock.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection
from random import Random

from gladegw.balancing.events import RequestClass
from gladegw.balancing.parameters import INITIAL_WINDOW, RATE_MEMORY_S

MIN_SAMPLES = 10  # calls that must have been observed before any call is rejected
HISTORY_SIZE = 300  # priority weights retained; the threshold's error is then about 3 percentage points
BUDGET_HISTORY_SIZE = 64  # time budgets retained for each class
MIN_TARGET_FRACTION = 0.35  # lower bound of the latency target, as a fraction of the latency objective
TARGET_LATE_FRACTION = 0.2  # fraction of late answers at which the window is stable
UNLOADED_LATENCY_FACTOR = 1.75  # latency target per unloaded mean latency; latencies have a long tail
MIN_UNLOADED_SAMPLES = 20  # answers needed to measure the unloaded latency
UNLOADED_MEMORY_S = 60.0  # time constant with which the unloaded latency follows a lasting rise
MAX_TARGET_FRACTION = 0.9  # upper bound and initial value of the target, as a fraction of the objective
MIN_WINDOW = 2.0  # calls; a smaller window recovers poorly
# Calls per server, summed over all first-tier instances; applies where instances outnumber servers.
MIN_WINDOW_PER_SERVER = 2.0
MAX_STEP_FRACTION = 0.3  # largest change of the window by one answer, as a fraction of the window
SUNK_WORK_FACTOR = 0.5  # extra fraction admitted per tier above, whose work a rejection here would waste


class ClassState:
    """A request class with the statistics learned for it."""

    def __init__(self, cls: RequestClass, stage: int) -> None:
        self.priority_weight, self.latency_objective, self.deadline, self.effect = (
            cls.priority_weight,
            cls.latency_objective,
            cls.deadline,
            cls.effect,
        )
        self.group, self.window = cls.group, cls.window
        self.counts_late = cls.late_weight_fraction > 0
        # Halved at each inner tier, because a caller makes about two calls there, one after another.
        self.min_target = MIN_TARGET_FRACTION * cls.latency_objective / 2**stage
        # Starts at the loosest target, until the unloaded latency is known: a target that is too low would
        # shrink the window without any load and keep it small.
        self.target = MAX_TARGET_FRACTION * cls.latency_objective
        self.unloaded_latency = math.inf  # mean latency without load
        self.mean = Mean(self.min_target / 2)
        self.budgets: deque[float] = deque(maxlen=BUDGET_HISTORY_SIZE)
        self.median_budget, self.budgets_since_median = 0.0, 0
        self.recent_arrivals = 0.0  # exponentially decayed count

    def update_target(self, span: float) -> None:
        """Update the unloaded latency and the latency target; `span` is the time since the last update.

        The target stays above the unloaded latency: a lower one would shrink the window without any load.
        """
        mean = self.mean
        if mean.count >= MIN_UNLOADED_SAMPLES:
            increase = (
                0.0
                if math.isinf(self.unloaded_latency)
                else (mean.value - self.unloaded_latency) * span / UNLOADED_MEMORY_S
            )
            self.unloaded_latency = min(mean.value, self.unloaded_latency + increase)
            self.target = max(
                self.min_target,
                min(
                    UNLOADED_LATENCY_FACTOR * self.unloaded_latency,
                    MAX_TARGET_FRACTION * self.latency_objective,
                ),
            )

    def typical_budget(self, budget: float) -> float:
        """Add a budget (seconds) and return the median of recent ones, which is recomputed periodically."""
        self.budgets.append(budget)
        self.budgets_since_median += 1
        if (
            self.budgets_since_median >= BUDGET_HISTORY_SIZE // 4
            or len(self.budgets) < BUDGET_HISTORY_SIZE // 4
        ):
            self.budgets_since_median = 0
            self.median_budget = sorted(self.budgets)[len(self.budgets) // 2]
        return self.median_budget


class Mean:
    """Running mean of the recent samples; it has the prior's value until the first sample."""

    __slots__ = ("count", "value")

    def __init__(self, prior: float) -> None:
        self.value = prior
        self.count = 0.0

    def add(self, sample: float, memory: float) -> None:
        """Add a sample with a weight of at least 1 / `memory`; older samples fade out accordingly."""
        self.count = min(self.count + 1, memory)
        self.value += (sample - self.value) / self.count


class Admission:
    """Concurrency window and admission threshold of one instance.

    The threshold follows from the processing time, the arrival rate, the recent priority weights and the
    window.
    """

    def __init__(self, stage: int, random: Random) -> None:
        self.stage = stage
        self.random = random
        self.latency = Mean(0.0)  # of the calls that were answered
        self.mix_latency = 0.0  # mean over all arriving calls, rejected ones included
        self.in_flight_age = 0.0  # mean age of the attempts in flight, in mean latencies of their class
        self.rate = 0.0  # arriving calls per second
        self.rate_span = 0.0  # seconds over which the rate is averaged
        self.history: deque[float] = deque(maxlen=HISTORY_SIZE)  # priority weights of recent arrivals
        self.window = INITIAL_WINDOW  # calls in flight
        self.available_fraction = 1.0  # part still available of the capacity that the window was learned on
        # Calls of this instance that overload the available servers if all instances hold as many.
        self.overload_limit = math.inf
        self.min_window = MIN_WINDOW
        self.in_startup = True  # the window grows faster until the first late answer
        self.threshold, self.tie_reject_fraction = -math.inf, 0.0
        self.last_draw: float | None = None  # random number that decided the last call; None: not a tie

    @property
    def processing_time(self) -> float:
        """Estimated processing time of a call, in seconds."""
        # A hung server completes no calls, so the ages of calls in flight count too. They are relative to the
        # class's mean latency: ages in seconds would reflect the mix of classes more than the servers.
        return self.mix_latency * max(1.0, 0.5 * self.in_flight_age)

    def observe_rate(self, arrivals: int, span: float) -> None:
        """Update the arrival rate with the arrivals of the last `span` seconds."""
        self.rate_span = min(self.rate_span + span, RATE_MEMORY_S)
        self.rate += (arrivals / span - self.rate) * min(1.0, span / self.rate_span)

    def observe_mix(self, classes: Collection[ClassState], span: float) -> None:
        """Update the mean latency of the arriving mix of classes, rejected calls included.

        The threshold admits the calls of highest priority weight, which tend to be the longest. The latency
        of admitted calls alone would make the servers appear to complete fewer calls, and so more and more
        calls would be rejected.
        """
        total = sum(cls.recent_arrivals for cls in classes)
        if total > 0:
            self.mix_latency = sum(cls.recent_arrivals * cls.mean.value for cls in classes) / total
        for cls in classes:
            cls.recent_arrivals *= max(0.0, 1 - span / RATE_MEMORY_S)

    def observe_latency(self, latency: float) -> None:
        """Add the latency of an answered call."""
        self.latency.add(latency, max(MIN_SAMPLES, self.rate * RATE_MEMORY_S))

    def set_min_window(self, servers: int, balancers: int) -> None:
        """Set the floor of the window for the number of servers and instances.

        With more instances than servers, two calls of each instance would overload every server. Inner tiers
        keep the default floor: a rejection there wastes the work done above.
        """
        if self.stage == 0:
            self.min_window = min(MIN_WINDOW, max(1.0, MIN_WINDOW_PER_SERVER * servers / balancers))

    @property
    def limit(self) -> float:
        """The window, scaled to the share of the capacity that is still available."""
        return min(
            self.window, max(self.window * self.available_fraction, self.overload_limit, self.min_window)
        )

    def step(self) -> float:
        """Return the amount by which one answer moves the window."""
        return min(MAX_STEP_FRACTION * self.window, 1 / math.sqrt(self.window))

    def on_good_answer(self, busy: float) -> None:
        """Process an answer within its target: the window grows, but only while it is nearly full.

        `busy` is the number of attempts in the window.
        """
        if busy + 1 >= 0.8 * self.limit:
            self.window += (
                0.5 if self.in_startup else TARGET_LATE_FRACTION / (1 - TARGET_LATE_FRACTION) * self.step()
            )

    def on_late_answer(self) -> None:
        """Process an answer beyond its target: the window shrinks, and startup ends."""
        self.in_startup = False
        self.window = max(self.min_window, self.window - self.step())

    def target_drop_rate(self) -> float:
        """Return the fraction of arrivals to reject; 0 while there are too few samples."""
        if self.latency.count < MIN_SAMPLES or len(self.history) < MIN_SAMPLES or self.rate <= 0:
            return 0.0
        supported = self.limit / max(self.processing_time, 1e-6) * (1 + SUNK_WORK_FACTOR * self.stage)
        return max(0.0, 1 - supported / self.rate)

    def update_threshold(self) -> None:
        """Set the admission threshold from the target drop rate and the recent priority weights."""
        target = self.target_drop_rate()
        if target <= 0:
            self.threshold, self.tie_reject_fraction = -math.inf, 0.0
            return
        count = len(self.history)
        below = 0.0
        counts: dict[float, int] = {}
        for weight in self.history:
            counts[weight] = counts.get(weight, 0) + 1
        for weight in sorted(counts):
            fraction = counts[weight] / count
            if below + fraction >= target - 1e-12:
                # Priority weights take few distinct values, so many calls are tied at the threshold. They are
                # rejected at random, so that the total matches the target drop rate.
                self.threshold, self.tie_reject_fraction = weight, (target - below) / fraction
                return
            below += fraction

    def draw(self) -> float:
        """Return a random number in [0, 1) that decides a tie at the threshold."""
        return self.random.random()

    def admits(self, priority_weight: float) -> bool:
        """Return whether a call of this priority weight is admitted."""
        self.last_draw = None
        if priority_weight == self.threshold:
            self.last_draw = self.draw()
            return self.last_draw >= self.tie_reject_fraction
        return priority_weight > self.threshold
