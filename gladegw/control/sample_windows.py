"""Figures that members tell, made into what one window says of each of them."""

from __future__ import annotations

from collections.abc import Mapping

from gladegw.coordination.canary_analysis import Sample
from gladegw.coordination.records import MemberMetricsRecord

LEAST_TIMED = 5  # requests of a class, below which their mean says nothing
LEAST_ASKED = 10  # requests in all, for figures a request
LONGEST = 3.9  # s for which a window goes on for want of them: two words of its member
ENDS = ("passed", "refused", "failed", "gone")


class Windows:
    """`begin` is what each member had told when its window began."""

    def __init__(self) -> None:
        self.begin: dict[str, MemberMetricsRecord] = {}

    def next(self, now: Mapping[str, MemberMetricsRecord]) -> dict[str, Sample]:
        """Of the members that have told something in this window and are the process that they were. The
        next window begins where each of them has told last. One that was asked little goes on for LONGEST."""
        found = {}
        begin = dict(now)
        for name, figures in now.items():
            before = self.begin.get(name)
            if before is not None and figures.incarnation == before.incarnation:
                if figures.figures.get("at_ms", 0) <= before.figures.get("at_ms", 0):
                    continue  # nothing new: its window goes on
                if thin(before.figures, figures.figures):
                    begin[name] = before
                    continue
                found[name] = sample(before.figures, figures.figures, figures.serving)
        self.begin = begin
        return found


def thin(before: Mapping[str, int], after: Mapping[str, int]) -> bool:
    asked = sum(count - before.get(name, 0) for name, count in after.items() if name.startswith("ended."))
    return asked < LEAST_ASKED and after.get("at_ms", 0) - before.get("at_ms", 0) < 1000 * LONGEST


def sample(before: Mapping[str, int], after: Mapping[str, int], serving: str = "") -> Sample:
    def grown(name: str) -> int:
        return max(0, after.get(name, 0) - before.get(name, 0))

    classes = sorted({name.split(".")[1] for name in after if name.startswith("ended.")})
    requests = {cls: sum(grown(f"ended.{cls}.{end}") for end in ENDS) for cls in classes}
    failed = {cls: grown(f"ended.{cls}.failed") for cls in classes}
    refused = {cls: grown(f"ended.{cls}.refused") for cls in classes}
    late = {cls: grown(f"late.{cls}") for cls in classes if f"late.{cls}" in after}
    levels: dict[str, float] = {}
    for cls in classes:
        timed = grown(f"timed.{cls}")
        if timed >= LEAST_TIMED:
            levels[f"ms {cls}"] = grown(f"took.{cls}") / timed / 1000
    asked = sum(requests.values())
    if asked >= LEAST_ASKED:
        levels["attempts"] = grown("upstream_tries") / asked
        levels["CPU ms"] = grown("cpu_us") / asked / 1000
    lasted = grown("at_ms") / 1000
    if lasted:
        levels["kB/s"] = (after.get("rss_kb", 0) - before.get("rss_kb", 0)) / lasted
    return Sample(requests, failed, refused, late, levels, serving)
