"""Duty `digest`: summarizes all members' metrics in one record."""

from __future__ import annotations

from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.store_cache import StoreCache
from gladegw.coordination.records import FleetSummaryRecord, MemberMetricsRecord, encode
from gladegw.coordination.store import Put

MAX_WORST = 5  # members listed as those with the highest unserved fraction


def unserved_fraction(metrics: dict[str, int]) -> float:
    """Return the fraction of the finished requests that were not served; 0 if there are none."""
    finished = {
        outcome: sum(value for name, value in metrics.items() if name.endswith("." + outcome))
        for outcome in ("passed", "dropped", "bad_gateway")
    }
    total = sum(finished.values())
    return 1 - finished["passed"] / total if total else 0.0


def summarize(view: StoreCache, token: int) -> FleetSummaryRecord:
    """Summarize the metrics of all live members."""
    members = sorted({member.name for _, member in view.members()})
    reported: dict[str, MemberMetricsRecord] = view.member_metrics()
    totals: dict[str, int] = {}
    for name in members:
        for figure, value in reported[name].figures.items() if name in reported else ():
            totals[figure] = totals.get(figure, 0) + value
    ranked = sorted(
        ((name, round(unserved_fraction(reported[name].figures), 4)) for name in members if name in reported),
        key=lambda entry: (-entry[1], entry[0]),
    )
    worst = tuple(entry for entry in ranked[:MAX_WORST] if entry[1] > 0)
    silent = tuple(name for name in members if name not in reported)
    return FleetSummaryRecord(token=token, members=len(members), totals=totals, worst=worst, silent=silent)


class FleetSummary(DutyWork):
    """Summary of the fleet's metrics."""

    name = "digest"
    period = 1.0
    reads_reported = True

    def __init__(self) -> None:
        self.last: FleetSummaryRecord | None = None

    async def step(self, context: DutyContext) -> None:
        """Write the summary if it has changed."""
        summary = summarize(context.cache, context.token)
        if summary != self.last:
            await context.effect(Put(context.cache.keys.fleet_record("digest"), encode(summary)))
            self.last = summary

    def end(self) -> None:
        """Discard the state kept between steps; see `DutyWork.end`."""
        self.last = None
