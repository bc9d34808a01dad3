"""Converts the metrics that members report to one sample per member and window."""

from __future__ import annotations

from collections.abc import Mapping

from gladegw.coordination.canary_analysis import Sample
from gladegw.coordination.records import MemberMetricsRecord

MIN_TIMED_REQUESTS = 5  # timed requests of a class that its mean time needs
MIN_REQUESTS = 10  # requests of all classes that metrics per request need
MAX_WINDOW_S = 3.9  # limits the window of a member with too few requests to two reports
OUTCOMES = ("passed", "refused", "failed", "gone")


class SampleWindows:
    """The open windows of all members; `started_with` has each member's metrics at its window's start."""

    def __init__(self) -> None:
        self.started_with: dict[str, MemberMetricsRecord] = {}

    def next(self, now: Mapping[str, MemberMetricsRecord]) -> dict[str, Sample]:
        """Return the samples of the members whose window ends, and start their next one.

        Members without new metrics, or whose process was replaced, have no sample. The window of a member
        with too few requests continues for up to MAX_WINDOW_S.
        """
        samples = {}
        started_with = dict(now)
        for name, metrics in now.items():
            before = self.started_with.get(name)
            if before is not None and metrics.incarnation == before.incarnation:
                if metrics.figures.get("at_ms", 0) <= before.figures.get("at_ms", 0):
                    continue  # no new report: the window continues
                if has_too_few_requests(before.figures, metrics.figures):
                    started_with[name] = before
                    continue
                samples[name] = sample(before.figures, metrics.figures, metrics.serving)
        self.started_with = started_with
        return samples


def has_too_few_requests(before: Mapping[str, int], after: Mapping[str, int]) -> bool:
    """Return whether a window must continue because it has too few requests."""
    requested = sum(count - before.get(name, 0) for name, count in after.items() if name.startswith("ended."))
    return requested < MIN_REQUESTS and after.get("at_ms", 0) - before.get("at_ms", 0) < 1000 * MAX_WINDOW_S


def sample(before: Mapping[str, int], after: Mapping[str, int], serving: str = "") -> Sample:
    """Return the sample between two reports of a member."""

    def increase(name: str) -> int:
        return max(0, after.get(name, 0) - before.get(name, 0))

    classes = sorted({name.split(".")[1] for name in after if name.startswith("ended.")})
    requests = {cls: sum(increase(f"ended.{cls}.{outcome}") for outcome in OUTCOMES) for cls in classes}
    failed = {cls: increase(f"ended.{cls}.failed") for cls in classes}
    refused = {cls: increase(f"ended.{cls}.refused") for cls in classes}
    late = {cls: increase(f"late.{cls}") for cls in classes if f"late.{cls}" in after}
    levels: dict[str, float] = {}
    for cls in classes:
        timed = increase(f"timed.{cls}")
        if timed >= MIN_TIMED_REQUESTS:
            levels[f"ms {cls}"] = increase(f"took.{cls}") / timed / 1000
    requested = sum(requests.values())
    if requested >= MIN_REQUESTS:
        levels["attempts"] = increase("upstream_tries") / requested
        levels["CPU ms"] = increase("cpu_us") / requested / 1000
    duration_s = increase("at_ms") / 1000
    if duration_s:
        levels["kB/s"] = (after.get("rss_kb", 0) - before.get("rss_kb", 0)) / duration_s
    return Sample(requests, failed, refused, late, levels, serving)
