"""Whether members of a stage do worse than those left as they are, judged again and again while it bakes.

Windows of some seconds are compared, in each of which members are the unit. The evidence is an e-process: a
wager against "not worse" whose mean never grows under it, so that P(it ever reaches 1/alpha) <= alpha however
often it is looked at (J. Ville, 1939; V. Vovk and R. Wang, "E-values: calibration, combination and
applications", Annals of Statistics 49, 2021, sections 2 and 3).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from statistics import median

from gladegw.coordination import fleet_regression
from gladegw.coordination.fleet_regression import FleetWindow

MAX_LOG_FACTOR = math.log(8.0)  # of one window's factor: no single moment decides
MAX_LOG_EVIDENCE_TO_PASS = math.log(20.0)  # evidence above which time alone does not make a stage "not worse"
OUTCOME_KINDS = ("failed", "refused", "late")
MAX_DIVERGENT_WINDOWS = 6  # windows in a row in which a member works by other backends than all others do
RATE_ALTERNATIVES = (0.01, 0.03, 0.1, 0.3, 0.8)  # of a rate: how much worse it may be, mixed alike
CALIBRATOR_KAPPA = 0.3  # of the calibrator k p**(k-1): the lower, the more it lives by the lowest ranks
CALM_DEVIATIONS = 2.0  # standard deviations from what is usual, from which a window counts as no calm one
MAD_TO_DEVIATION = 1.4826  # of a median distance to a standard deviation
BASELINE_STANDARD_ERRORS = 1.0  # standard errors of what is usual
MAX_RESIDUALS = 240  # residuals of others that are kept of each level
MIN_CONTROL_MEMBERS = 3  # members left as they are, without which nothing can be compared
MEMBER_DEVIATIONS = 2.0  # standard deviations by which members differ beyond chance, that count as plausible


class Verdict(Enum):
    WORSE = "worse"
    NOT_WORSE = "not worse"
    INCONCLUSIVE = "not enough evidence"


@dataclass(frozen=True, slots=True)
class Sample:
    """Of one member in one window: requests by class that ended, failed, were refused, were answered later
    than the class's aim (a class is missing there where its member does not tell); and figures of which more
    is worse, by name (ms, attempts a request, share of a core, bytes a second). `serving`: digest of the
    backends that it may send to, empty where it does not tell."""

    requests: Mapping[str, int] = field(default_factory=dict)
    failed: Mapping[str, int] = field(default_factory=dict)
    refused: Mapping[str, int] = field(default_factory=dict)
    late: Mapping[str, int] = field(default_factory=dict)
    levels: Mapping[str, float] = field(default_factory=dict)
    serving: str = ""

    def failures(self, kind: str, cls: str) -> tuple[int, int]:
        """Requests of a class that were bad in this way, and of how many."""
        told: Mapping[str, int] = getattr(self, kind)
        return (told[cls], self.requests.get(cls, 0)) if cls in told else (0, 0)


@dataclass(frozen=True, slots=True)
class Limits:
    """What worse means: rates by which the new ones may be worse, and the share by which levels may be."""

    failed: float = 0.002
    refused: float = 0.02
    late: float = 0.02
    level: float = 0.1
    alpha: float = 0.01  # share of rollouts of something unchanged that may be stopped
    min_requests: int = 200

    @property
    def tolerances(self) -> dict[str, float]:
        return {"failed": self.failed, "refused": self.refused, "late": self.late, "level": self.level}


@dataclass(frozen=True, slots=True)
class Evidence:
    """Kept from window to window. `wagers` by figure, each a wager that is their mean; `peaks`: the highest
    that it was, both as logarithms. `base`: each member's mean level before the stage, and of how many
    windows."""

    wagers: Mapping[str, tuple[float, ...]] = field(default_factory=dict)
    peaks: Mapping[str, float] = field(default_factory=dict)
    baseline_levels: Mapping[str, Mapping[str, tuple[float, int]]] = field(default_factory=dict)
    baseline_rates: Mapping[str, tuple[int, int]] = field(
        default_factory=dict
    )  # of the others, in calm windows
    residuals: Mapping[str, tuple[float, ...]] = field(
        default_factory=dict
    )  # how far others were from each other
    requests: int = 0  # that the new ones ended
    windows: int = 0
    divergent_windows: int = (
        0  # of them, in a row until now, with a member of the stage that works by other backends
    )
    history: tuple[FleetWindow, ...] = ()  # windows before the first stage, of all
    recent: tuple[FleetWindow, ...] = ()  # the last windows of those left as they are


@dataclass(frozen=True, slots=True)
class Evaluation:
    verdict: Verdict
    reason: str = ""
    e_values: Mapping[str, float] = field(default_factory=dict)  # e-value by figure, at its highest


def is_calm(bad: int, of: int, usual: tuple[int, int]) -> bool:
    """Whether this window's rate is no other than the usual one, by chance at least."""
    rate = (usual[0] + bad + 0.5) / (usual[1] + of + 1.0)
    return abs(bad - of * rate) <= CALM_DEVIATIONS * math.sqrt(of * rate * (1 - rate)) + 1.0


Wager = tuple[float, ...]  # logarithms, one for each of the ways in which it may be worse


def rate_factor(
    new: int, of: int, others: Sequence[tuple[int, int]], allowed: float, usual: tuple[int, int] = (0, 0)
) -> Wager:
    """The wager on one window, for each of WORSE_BY: `new` of `of` against the highest rate that the `others`
    (bad, of all) make plausible, and `allowed` on top. `usual`: of the others in the calm windows before;
    where this one is calm too, all of them tell the rate, else this one alone. None is above CAP."""
    total = sum(n for _, n in others)
    if not of or not total:
        return (0.0,) * len(RATE_ALTERNATIVES)
    worst = sum(bad for bad, _ in others)
    if is_calm(worst, total, usual):
        known = usual[1] + total
        rate = (usual[0] + worst + 0.5) / (known + 1.0)
        return _ratios(new, of, rate + math.sqrt(rate * (1 - rate) / known) + allowed)
    pooled = (worst + 0.5) / (total + 1.0)
    variance = pooled * (1 - pooled)
    rates = [(bad / n, variance / n) for bad, n in others if n]
    mean = sum(rate for rate, _ in rates) / len(rates)
    differ = sum((rate - mean) ** 2 for rate, _ in rates) / max(1, len(rates) - 1)
    beyond = math.sqrt(max(0.0, differ - sum(chance for _, chance in rates) / len(rates)))
    return _ratios(
        new, of, max(pooled, mean) + math.sqrt(variance / total) + MEMBER_DEVIATIONS * beyond + allowed
    )


def _ratios(new: int, of: int, null: float) -> Wager:
    null, logs = min(0.95, null), []
    for worse in RATE_ALTERNATIVES:
        rate = min(0.98, null + worse)
        logs.append(new * math.log(rate / null) + (of - new) * math.log((1 - rate) / (1 - null)))
    return tuple(min(MAX_LOG_FACTOR, one) for one in logs)


def rank_factor(value: float, others: Sequence[float], allowed: float) -> float:
    """Logarithm of the wager on one window: where a member's level stands among others', after `allowed` was
    taken off it. Ties count against the evidence."""
    if len(others) < MIN_CONTROL_MEMBERS:
        return 0.0
    at_least = sum(other >= value - allowed for other in others)
    p = (1 + at_least) / (1 + len(others))
    return min(MAX_LOG_FACTOR, math.log(CALIBRATOR_KAPPA) + (CALIBRATOR_KAPPA - 1) * math.log(p))


def leave_one_out_residuals(values: Sequence[float]) -> list[float]:
    """How far each is from the middle of the rest. What strikes all in a window is no part of it, so windows
    may be laid together: a rank among all of them says more than one among the members of a window."""
    return [value - median([*values[:at], *values[at + 1 :]]) for at, value in enumerate(values)]


def baseline_uncertainty(pool: Sequence[float], seen: int) -> float:
    """By how much what is usual for a member may be wrong, where it was seen so often: it is no part of what
    is new, and the same in each window, so that it would count again and again."""
    spread = MAD_TO_DEVIATION * median([abs(value) for value in pool])
    return BASELINE_STANDARD_ERRORS * spread / math.sqrt(seen + 1)


def mixture(logs: Iterable[float]) -> float:
    """Of wagers of several members on one window: their mean, which is a wager whatever binds them."""
    found = list(logs)
    if not found:
        return 0.0
    top = max(found)
    return top + math.log(sum(math.exp(one - top) for one in found) / len(found))


def add_baseline_window(evidence: Evidence, window: Mapping[str, Sample]) -> Evidence:
    """A window before the stage: what each member's levels are when nothing has changed."""
    base = {name: dict(levels) for name, levels in evidence.baseline_levels.items()}
    for name, sample in window.items():
        mine = base.setdefault(name, {})
        for level, value in sample.levels.items():
            mean, count = mine.get(level, (0.0, 0))
            mine[level] = (mean + (value - mean) / (count + 1), count + 1)
    past = fleet_regression.append_history(evidence.history, aggregate(list(window.values())))
    rates = _updated_baseline_rates(evidence, list(window.values()))
    return replace(evidence, baseline_levels=base, baseline_rates=rates, history=past)


def aggregate(samples: Sequence[Sample]) -> FleetWindow:
    """What a window says of all of these together."""
    classes = sorted({cls for sample in samples for cls in sample.requests})
    rates = {f"{kind} {cls}": total_failures(samples, kind, cls) for kind in OUTCOME_KINDS for cls in classes}
    return fleet_regression.fleet_window(
        rates, (one.levels for one in samples), (one.serving for one in samples)
    )


def _updated_baseline_rates(evidence: Evidence, others: Sequence[Sample]) -> dict[str, tuple[int, int]]:
    found = dict(evidence.baseline_rates)
    for kind in OUTCOME_KINDS:
        for cls in {cls for sample in others for cls in sample.requests}:
            bad, of = total_failures(others, kind, cls)
            known = found.get(f"{kind} {cls}", (0, 0))
            if is_calm(bad, of, known):
                found[f"{kind} {cls}"] = (known[0] + bad, known[1] + of)
    return found


def add_canary_window(
    evidence: Evidence, window: Mapping[str, Sample], new: Iterable[str], limits: Limits
) -> Evidence:
    """One more window, of the members that were there all through it."""
    stage = [window[name] for name in sorted(new) if name in window]
    names = sorted(set(new) & window.keys())
    rest = {name: sample for name, sample in window.items() if name not in set(new)}
    if not stage or len(rest) < MIN_CONTROL_MEMBERS:
        return evidence
    wagers, peaks, pools = dict(evidence.wagers), dict(evidence.peaks), dict(evidence.residuals)
    for kind, allowed in zip(OUTCOME_KINDS, (limits.failed, limits.refused, limits.late), strict=True):
        for cls in sorted({cls for sample in window.values() for cls in getattr(sample, kind)}):
            others = [one.failures(kind, cls) for one in rest.values()]
            bad, of = total_failures(stage, kind, cls)
            figure = f"{kind} {cls}"
            known = evidence.baseline_rates.get(figure, (0, 0))
            _update_wager(wagers, peaks, figure, rate_factor(bad, of, others, allowed, known))
    for level in sorted({level for sample in window.values() for level in sample.levels}):
        gone = {
            name: moved
            for name, sample in window.items()
            if (moved := _change_from_baseline(evidence, name, sample, level)) is not None
        }
        others_moved = [gone[name] for name in rest if name in gone]
        if len(others_moved) < MIN_CONTROL_MEMBERS:
            continue
        pool = pools[level] = (*pools.get(level, ()), *leave_one_out_residuals(others_moved))[-MAX_RESIDUALS:]
        middle, logs = median(others_moved), []
        for name in names:
            if name in gone:
                usual, seen = evidence.baseline_levels[name][level]
                allowed = limits.level * abs(usual) + baseline_uncertainty(pool, seen)
                logs.append(rank_factor(gone[name] - middle, pool, allowed))
        if logs:
            _update_wager(wagers, peaks, level, (mixture(logs),))
    asked = sum(sum(one.requests.values()) for one in stage)
    calm_ones = _updated_baseline_rates(evidence, list(rest.values()))
    apart = count_divergent_windows(evidence.divergent_windows, stage, list(rest.values()))
    lately = fleet_regression.append_recent(evidence.recent, aggregate(list(rest.values())))
    return replace(
        evidence,
        wagers=wagers,
        peaks=peaks,
        baseline_rates=calm_ones,
        residuals=pools,
        requests=evidence.requests + asked,
        windows=evidence.windows + 1,
        divergent_windows=apart,
        recent=lately,
    )


def total_failures(samples: Iterable[Sample], kind: str, cls: str) -> tuple[int, int]:
    told = [one.failures(kind, cls) for one in samples]
    return sum(bad for bad, _ in told), sum(of for _, of in told)


def count_divergent_windows(before: int, stage: Sequence[Sample], others: Sequence[Sample]) -> int:
    """Windows for which a member of the stage would send to other backends than all the others: to one that
    drains, say. No rate shows that before the backend is gone. One in which the others don't agree, since a
    list is on its way, says nothing."""
    agreed = {one.serving for one in others}
    if len(agreed) != 1 or agreed == {""}:
        return before
    return before + 1 if any(one.serving not in ("", *agreed) for one in stage) else 0


def _change_from_baseline(evidence: Evidence, name: str, sample: Sample, level: str) -> float | None:
    known = evidence.baseline_levels.get(name, {}).get(level)
    return None if known is None or level not in sample.levels else sample.levels[level] - known[0]


def _update_wager(wagers: dict[str, Wager], peaks: dict[str, float], figure: str, factor: Wager) -> None:
    before = wagers.get(figure, (0.0,) * len(factor))
    wagers[figure] = tuple(one + more for one, more in zip(before, factor, strict=True))
    peaks[figure] = max(peaks.get(figure, 0.0), mixture(wagers[figure]))


def evaluate(evidence: Evidence, limits: Limits, baked: bool) -> Evaluation:
    """`baked`: its time is over. The figures share alpha alike."""
    figures = {name: round(math.exp(min(50.0, peak)), 2) for name, peak in evidence.peaks.items()}
    if evidence.divergent_windows >= MAX_DIVERGENT_WINDOWS:
        why = f"works by other backends than all others, for {evidence.divergent_windows} windows"
        return Evaluation(Verdict.WORSE, why, figures)
    bound = math.log(max(1, len(figures)) / limits.alpha)
    worst = max(evidence.peaks, key=lambda name: evidence.peaks[name], default="")
    if worst and evidence.peaks[worst] >= bound:
        return Evaluation(
            Verdict.WORSE, f"{worst}: e-value {figures[worst]:g} of {math.exp(bound):g}", figures
        )
    if baked and evidence.requests >= limits.min_requests:
        now = {name: mixture(wager) for name, wager in evidence.wagers.items()}
        likely = max(now, key=lambda name: now[name], default="")
        if not likely or now[likely] < MAX_LOG_EVIDENCE_TO_PASS:
            all_worse = fleet_regression.regressed_metric(
                evidence.history, evidence.recent, limits.tolerances
            )
            if all_worse:
                return Evaluation(
                    Verdict.INCONCLUSIVE, f"in doubt, all do worse than before it: {all_worse}", figures
                )
            return Evaluation(Verdict.NOT_WORSE, "", figures)
        why = f"in doubt, {likely}: e-value {math.exp(min(50.0, now[likely])):.0f} of {math.exp(bound):g}"
        return Evaluation(Verdict.INCONCLUSIVE, why, figures)
    few = f"{evidence.requests} of {limits.min_requests} requests in {evidence.windows} windows"
    return Evaluation(Verdict.INCONCLUSIVE, few, figures)
