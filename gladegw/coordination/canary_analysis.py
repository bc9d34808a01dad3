"""Canary analysis: a sequential test of whether a stage's members do worse than the others.

Windows of some seconds are compared, in each of which the members are the units. The evidence is an
e-process: a wager against "not worse" whose expectation never grows under that hypothesis, so that P(it ever
reaches 1/alpha) <= alpha however often it is evaluated (J. Ville, 1939; V. Vovk and R. Wang, "E-values:
calibration, combination and applications", Annals of Statistics 49, 2021, sections 2 and 3).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from statistics import median

from gladegw.coordination import fleet_regression
from gladegw.coordination.fleet_regression import FleetWindow

MAX_LOG_FACTOR = math.log(8.0)  # limits how much a single window can contribute to the evidence
MAX_LOG_EVIDENCE_TO_PASS = math.log(20.0)  # a baked stage with more evidence is inconclusive
OUTCOME_KINDS = ("failed", "refused", "late")
MAX_DIVERGENT_WINDOWS = 6  # consecutive windows, after which the stage is worse
RATE_ALTERNATIVES = (0.01, 0.03, 0.1, 0.3, 0.8)  # increases of a rate that are wagered on, weighted equally
CALIBRATOR_KAPPA = 0.3  # k in the calibrator k * p**(k - 1); a small k rewards only very small p-values
CALM_DEVIATIONS = 2.0  # largest difference of a calm window from the baseline, in standard deviations
MAD_TO_DEVIATION = 1.4826  # standard deviation / median absolute deviation of a normal distribution
BASELINE_STANDARD_ERRORS = 1.0  # allowance for the error of a member's baseline level, in standard errors
MAX_RESIDUALS = 240  # latest residuals that are kept for each level
MIN_CONTROL_MEMBERS = 3  # members outside the stage that a comparison needs
MEMBER_DEVIATIONS = 2.0  # allowance for differences between members beyond chance, in standard deviations


class Verdict(Enum):
    """The result of an evaluation."""

    WORSE = "worse"
    NOT_WORSE = "not worse"
    INCONCLUSIVE = "not enough evidence"


@dataclass(frozen=True, slots=True)
class Sample:
    """One member's metrics of one window.

    `requests`, `failed`, `refused` and `late` (later than the class's latency objective) are counts by class;
    a class that the member does not report is missing. `levels` are metrics by name for which higher is worse
    (response time in ms, attempts per request, CPU ms per request, memory growth in kB/s). `serving` is the
    digest of the list of backends that the member may send to, empty if not reported.
    """

    requests: Mapping[str, int] = field(default_factory=dict)
    failed: Mapping[str, int] = field(default_factory=dict)
    refused: Mapping[str, int] = field(default_factory=dict)
    late: Mapping[str, int] = field(default_factory=dict)
    levels: Mapping[str, float] = field(default_factory=dict)
    serving: str = ""

    def failures(self, kind: str, cls: str) -> tuple[int, int]:
        """Return the number of requests of a class with this kind of failure, and of all its requests."""
        counts: Mapping[str, int] = getattr(self, kind)
        return (counts[cls], self.requests.get(cls, 0)) if cls in counts else (0, 0)


@dataclass(frozen=True, slots=True)
class Limits:
    """Tolerated absolute increase of each rate and relative increase of the levels, and test parameters."""

    failed: float = 0.002
    refused: float = 0.02
    late: float = 0.02
    level: float = 0.1
    alpha: float = 0.01  # bound on the probability of a false alarm
    min_requests: int = 200  # requests of the stage's members that a pass needs

    @property
    def tolerances(self) -> dict[str, float]:
        """The tolerances by kind of metric."""
        return {"failed": self.failed, "refused": self.refused, "late": self.late, "level": self.level}


@dataclass(frozen=True, slots=True)
class Evidence:
    """The state of the analysis between windows.

    `wagers` are the wagers by metric, the e-value being their mean, and `peaks` the highest e-value so far,
    both as logarithms. `baseline_levels` has each member's mean level before the stage and the number of
    windows; `baseline_rates` has, by metric, the other members' failed and all requests in
    calm windows.
    """

    wagers: Mapping[str, tuple[float, ...]] = field(default_factory=dict)
    peaks: Mapping[str, float] = field(default_factory=dict)
    baseline_levels: Mapping[str, Mapping[str, tuple[float, int]]] = field(default_factory=dict)
    baseline_rates: Mapping[str, tuple[int, int]] = field(default_factory=dict)
    residuals: Mapping[str, tuple[float, ...]] = field(default_factory=dict)  # of the other members, by level
    requests: int = 0  # completed by the stage's members
    windows: int = 0
    divergent_windows: int = 0  # latest consecutive windows in which a stage's member used other backends
    history: tuple[FleetWindow, ...] = ()  # windows of all members before the first stage
    recent: tuple[FleetWindow, ...] = ()  # latest windows of the members outside the stage


@dataclass(frozen=True, slots=True)
class Evaluation:
    """A verdict with its reason and the highest e-value by metric."""

    verdict: Verdict
    reason: str = ""
    e_values: Mapping[str, float] = field(default_factory=dict)


def is_calm(failed: int, requests: int, baseline: tuple[int, int]) -> bool:
    """Whether a window's failure rate differs from the baseline's by no more than chance."""
    rate = (baseline[0] + failed + 0.5) / (baseline[1] + requests + 1.0)
    return abs(failed - requests * rate) <= CALM_DEVIATIONS * math.sqrt(requests * rate * (1 - rate)) + 1.0


Wager = tuple[float, ...]  # logarithm of the wager on each alternative


def rate_factor(
    canary_failed: int,
    canary_requests: int,
    others: Sequence[tuple[int, int]],
    allowed: float,
    baseline: tuple[int, int] = (0, 0),
) -> Wager:
    """Return the wager on one window for each of RATE_ALTERNATIVES, none above MAX_LOG_FACTOR.

    The rate `canary_failed` / `canary_requests` is compared with the highest plausible rate of the `others`
    (failed and all requests of each) plus `allowed`. `baseline` has the others' failed and all requests in
    earlier calm windows. If this window is calm too, the others' rate is estimated from all of these windows,
    otherwise from this window alone.
    """
    total = sum(n for _, n in others)
    if not canary_requests or not total:
        return (0.0,) * len(RATE_ALTERNATIVES)
    failed = sum(count for count, _ in others)
    if is_calm(failed, total, baseline):
        requests = baseline[1] + total
        rate = (baseline[0] + failed + 0.5) / (requests + 1.0)
        return _likelihood_ratios(
            canary_failed, canary_requests, rate + math.sqrt(rate * (1 - rate) / requests) + allowed
        )
    pooled = (failed + 0.5) / (total + 1.0)
    variance = pooled * (1 - pooled)
    rates = [(count / n, variance / n) for count, n in others if n]
    mean = sum(rate for rate, _ in rates) / len(rates)
    observed_variance = sum((rate - mean) ** 2 for rate, _ in rates) / max(1, len(rates) - 1)
    excess_deviation = math.sqrt(
        max(0.0, observed_variance - sum(chance for _, chance in rates) / len(rates))
    )
    return _likelihood_ratios(
        canary_failed,
        canary_requests,
        max(pooled, mean) + math.sqrt(variance / total) + MEMBER_DEVIATIONS * excess_deviation + allowed,
    )


def _likelihood_ratios(failed: int, requests: int, null_rate: float) -> Wager:
    null_rate, logs = min(0.95, null_rate), []
    for increase in RATE_ALTERNATIVES:
        rate = min(0.98, null_rate + increase)
        logs.append(
            failed * math.log(rate / null_rate) + (requests - failed) * math.log((1 - rate) / (1 - null_rate))
        )
    return tuple(min(MAX_LOG_FACTOR, log_ratio) for log_ratio in logs)


def rank_factor(value: float, others: Sequence[float], allowed: float) -> float:
    """Return the logarithm of the wager on one window by the rank of a member's level among the others.

    `allowed` is subtracted from the member's level first. Ties count as "not worse".
    """
    if len(others) < MIN_CONTROL_MEMBERS:
        return 0.0
    not_below = sum(other >= value - allowed for other in others)
    p = (1 + not_below) / (1 + len(others))
    return min(MAX_LOG_FACTOR, math.log(CALIBRATOR_KAPPA) + (CALIBRATOR_KAPPA - 1) * math.log(p))


def leave_one_out_residuals(values: Sequence[float]) -> list[float]:
    """Return the difference of each value from the median of the rest.

    This removes effects common to all members in a window, so the residuals of several windows can be pooled,
    which gives finer ranks.
    """
    return [value - median([*values[:index], *values[index + 1 :]]) for index, value in enumerate(values)]


def baseline_uncertainty(residuals: Sequence[float], windows: int) -> float:
    """Return the plausible error of a member's baseline level after this many windows.

    The error is the same in each window, so without this allowance it would be counted as evidence each time.
    """
    spread = MAD_TO_DEVIATION * median([abs(value) for value in residuals])
    return BASELINE_STANDARD_ERRORS * spread / math.sqrt(windows + 1)


def mixture(log_wagers: Iterable[float]) -> float:
    """Return the logarithm of the mean of wagers, which is a valid wager even if they are dependent."""
    logs = list(log_wagers)
    if not logs:
        return 0.0
    largest = max(logs)
    return largest + math.log(sum(math.exp(log - largest) for log in logs) / len(logs))


def add_baseline_window(evidence: Evidence, window: Mapping[str, Sample]) -> Evidence:
    """Add a window from before the first stage to the baselines."""
    baseline = {name: dict(levels) for name, levels in evidence.baseline_levels.items()}
    for name, sample in window.items():
        means = baseline.setdefault(name, {})
        for level, value in sample.levels.items():
            mean, count = means.get(level, (0.0, 0))
            means[level] = (mean + (value - mean) / (count + 1), count + 1)
    history = fleet_regression.append_history(evidence.history, aggregate(list(window.values())))
    rates = _updated_baseline_rates(evidence, list(window.values()))
    return replace(evidence, baseline_levels=baseline, baseline_rates=rates, history=history)


def aggregate(samples: Sequence[Sample]) -> FleetWindow:
    """Combine the samples of several members into one window."""
    classes = sorted({cls for sample in samples for cls in sample.requests})
    rates = {f"{kind} {cls}": total_failures(samples, kind, cls) for kind in OUTCOME_KINDS for cls in classes}
    return fleet_regression.fleet_window(
        rates, (sample.levels for sample in samples), (sample.serving for sample in samples)
    )


def _updated_baseline_rates(evidence: Evidence, others: Sequence[Sample]) -> dict[str, tuple[int, int]]:
    rates = dict(evidence.baseline_rates)
    for kind in OUTCOME_KINDS:
        for cls in {cls for sample in others for cls in sample.requests}:
            failed, requests = total_failures(others, kind, cls)
            baseline = rates.get(f"{kind} {cls}", (0, 0))
            if is_calm(failed, requests, baseline):
                rates[f"{kind} {cls}"] = (baseline[0] + failed, baseline[1] + requests)
    return rates


def add_canary_window(
    evidence: Evidence, window: Mapping[str, Sample], staged_members: Iterable[str], limits: Limits
) -> Evidence:
    """Add a window of the stage.

    `window` has samples only of members that were present throughout it, by name; `staged_members` are the
    names of the stage's members.
    """
    stage = [window[name] for name in sorted(staged_members) if name in window]
    names = sorted(set(staged_members) & window.keys())
    rest = {name: sample for name, sample in window.items() if name not in set(staged_members)}
    if not stage or len(rest) < MIN_CONTROL_MEMBERS:
        return evidence
    wagers, peaks, pools = dict(evidence.wagers), dict(evidence.peaks), dict(evidence.residuals)
    _update_rate_wagers(wagers, peaks, evidence, window, stage, list(rest.values()), limits)
    _update_level_wagers(wagers, peaks, pools, evidence, window, names, list(rest), limits)
    requests = sum(sum(sample.requests.values()) for sample in stage)
    rates = _updated_baseline_rates(evidence, list(rest.values()))
    divergent = count_divergent_windows(evidence.divergent_windows, stage, list(rest.values()))
    recent = fleet_regression.append_recent(evidence.recent, aggregate(list(rest.values())))
    return replace(
        evidence,
        wagers=wagers,
        peaks=peaks,
        baseline_rates=rates,
        residuals=pools,
        requests=evidence.requests + requests,
        windows=evidence.windows + 1,
        divergent_windows=divergent,
        recent=recent,
    )


def _update_rate_wagers(
    wagers: dict[str, Wager],
    peaks: dict[str, float],
    evidence: Evidence,
    window: Mapping[str, Sample],
    stage: Sequence[Sample],
    rest: Sequence[Sample],
    limits: Limits,
) -> None:
    for kind, allowed in zip(OUTCOME_KINDS, (limits.failed, limits.refused, limits.late), strict=True):
        for cls in sorted({cls for sample in window.values() for cls in getattr(sample, kind)}):
            others = [sample.failures(kind, cls) for sample in rest]
            failed, requests = total_failures(stage, kind, cls)
            metric = f"{kind} {cls}"
            baseline = evidence.baseline_rates.get(metric, (0, 0))
            _update_wager(wagers, peaks, metric, rate_factor(failed, requests, others, allowed, baseline))


def _update_level_wagers(
    wagers: dict[str, Wager],
    peaks: dict[str, float],
    pools: dict[str, tuple[float, ...]],
    evidence: Evidence,
    window: Mapping[str, Sample],
    names: Sequence[str],
    rest: Sequence[str],
    limits: Limits,
) -> None:
    for level in sorted({level for sample in window.values() for level in sample.levels}):
        changes = {
            name: change
            for name, sample in window.items()
            if (change := _change_from_baseline(evidence, name, sample, level)) is not None
        }
        other_changes = [changes[name] for name in rest if name in changes]
        if len(other_changes) < MIN_CONTROL_MEMBERS:
            continue
        pool = pools[level] = (*pools.get(level, ()), *leave_one_out_residuals(other_changes))[
            -MAX_RESIDUALS:
        ]
        median_change, logs = median(other_changes), []
        for name in names:
            if name in changes:
                mean, windows = evidence.baseline_levels[name][level]
                allowed = limits.level * abs(mean) + baseline_uncertainty(pool, windows)
                logs.append(rank_factor(changes[name] - median_change, pool, allowed))
        if logs:
            _update_wager(wagers, peaks, level, (mixture(logs),))


def total_failures(samples: Iterable[Sample], kind: str, cls: str) -> tuple[int, int]:
    """Return the requests of a class with this kind of failure, and all its requests, over the samples."""
    counts = [sample.failures(kind, cls) for sample in samples]
    return sum(failed for failed, _ in counts), sum(requests for _, requests in counts)


def count_divergent_windows(before: int, stage: Sequence[Sample], others: Sequence[Sample]) -> int:
    """Return for how many consecutive windows a member of the stage used other backends than all the others.

    `before` is the count before this window. Such a member may be sending to a backend that drains, which no
    rate shows until that backend is removed. A window in which the others differ among themselves, as during
    an update of the list, does not change the count.
    """
    digests = {sample.serving for sample in others}
    if len(digests) != 1 or digests == {""}:
        return before
    return before + 1 if any(sample.serving not in ("", *digests) for sample in stage) else 0


def _change_from_baseline(evidence: Evidence, name: str, sample: Sample, level: str) -> float | None:
    baseline = evidence.baseline_levels.get(name, {}).get(level)
    return None if baseline is None or level not in sample.levels else sample.levels[level] - baseline[0]


def _update_wager(wagers: dict[str, Wager], peaks: dict[str, float], metric: str, factor: Wager) -> None:
    before = wagers.get(metric, (0.0,) * len(factor))
    wagers[metric] = tuple(wager + log_factor for wager, log_factor in zip(before, factor, strict=True))
    peaks[metric] = max(peaks.get(metric, 0.0), mixture(wagers[metric]))


def evaluate(evidence: Evidence, limits: Limits, baked: bool) -> Evaluation:
    """Evaluate the evidence; `baked` means that the stage's bake time is over.

    Alpha is divided equally among all metrics.
    """
    e_values = {name: round(math.exp(min(50.0, peak)), 2) for name, peak in evidence.peaks.items()}
    if evidence.divergent_windows >= MAX_DIVERGENT_WINDOWS:
        why = f"uses other backends than all other members, for {evidence.divergent_windows} windows"
        return Evaluation(Verdict.WORSE, why, e_values)
    bound = math.log(max(1, len(e_values)) / limits.alpha)
    worst = max(evidence.peaks, key=lambda name: evidence.peaks[name], default="")
    if worst and evidence.peaks[worst] >= bound:
        return Evaluation(
            Verdict.WORSE, f"{worst}: e-value {e_values[worst]:g} of {math.exp(bound):g}", e_values
        )
    if baked and evidence.requests >= limits.min_requests:
        now = {name: mixture(wager) for name, wager in evidence.wagers.items()}
        likely = max(now, key=lambda name: now[name], default="")
        if not likely or now[likely] < MAX_LOG_EVIDENCE_TO_PASS:
            regression = fleet_regression.regressed_metric(
                evidence.history, evidence.recent, limits.tolerances
            )
            if regression:
                return Evaluation(
                    Verdict.INCONCLUSIVE,
                    f"inconclusive, all members do worse than before the rollout: {regression}",
                    e_values,
                )
            return Evaluation(Verdict.NOT_WORSE, "", e_values)
        why = f"inconclusive, {likely}: e-value {math.exp(min(50.0, now[likely])):.0f} of {math.exp(bound):g}"
        return Evaluation(Verdict.INCONCLUSIVE, why, e_values)
    progress = f"{evidence.requests} of {limits.min_requests} requests in {evidence.windows} windows"
    return Evaluation(Verdict.INCONCLUSIVE, progress, e_values)
