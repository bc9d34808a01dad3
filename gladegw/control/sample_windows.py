"""Figures that members tell, made into what one window says of each of them."""

from __future__ import annotations

from collections.abc import Mapping

from gladegw.coordination.canary_analysis import Sample
from gladegw.coordination.records import MemberMetricsRecord

MIN_TIMED_REQUESTS = 5  # requests of a class, below which their mean says nothing
MIN_REQUESTS = 10  # requests in all, for figures a request
MAX_WINDOW_S = 3.9  # s for which a window goes on for want of them: two words of its member
OUTCOMES = ("passed", "refused", "failed", "gone")


class SampleWindows:
    """`begin` is what each member had told when its window began."""

    def __init__(self) -> None:
        self.started_with: dict[str, MemberMetricsRecord] = {}

    def next(self, now: Mapping[str, MemberMetricsRecord]) -> dict[str, Sample]:
        """Of the members that have told something in this window and are the process that they were. The
        next window begins where each of them has told last. One that was asked little goes on for LONGEST."""
        found = {}
        begin = dict(now)
        for name, figures in now.items():
            before = self.started_with.get(name)
            if before is not None and figures.incarnation == before.incarnation:
                if figures.figures.get("at_ms", 0) <= before.figures.get("at_ms", 0):
                    continue  # nothing new: its window goes on
                if has_too_few_requests(before.figures, figures.figures):
                    begin[name] = before
                    continue
                found[name] = sample(before.figures, figures.figures, figures.serving)
        self.started_with = begin
        return found


def has_too_few_requests(before: Mapping[str, int], after: Mapping[str, int]) -> bool:
    asked = sum(count - before.get(name, 0) for name, count in after.items() if name.startswith("ended."))
    return asked < MIN_REQUESTS and after.get("at_ms", 0) - before.get("at_ms", 0) < 1000 * MAX_WINDOW_S


def sample(before: Mapping[str, int], after: Mapping[str, int], serving: str = "") -> Sample:
    def grown(name: str) -> int:
        return max(0, after.get(name, 0) - before.get(name, 0))

    classes = sorted({name.split(".")[1] for name in after if name.startswith("ended.")})
    requests = {cls: sum(grown(f"ended.{cls}.{end}") for end in OUTCOMES) for cls in classes}
    failed = {cls: grown(f"ended.{cls}.failed") for cls in classes}
    refused = {cls: grown(f"ended.{cls}.refused") for cls in classes}
    late = {cls: grown(f"late.{cls}") for cls in classes if f"late.{cls}" in after}
    levels: dict[str, float] = {}
    for cls in classes:
        timed = grown(f"timed.{cls}")
        if timed >= MIN_TIMED_REQUESTS:
            levels[f"ms {cls}"] = grown(f"took.{cls}") / timed / 1000
    asked = sum(requests.values())
    if asked >= MIN_REQUESTS:
        levels["attempts"] = grown("upstream_tries") / asked
        levels["CPU ms"] = grown("cpu_us") / asked / 1000
    lasted = grown("at_ms") / 1000
    if lasted:
        levels["kB/s"] = (after.get("rss_kb", 0) - before.get("rss_kb", 0)) / lasted
    return Sample(requests, failed, refused, late, levels, serving)
