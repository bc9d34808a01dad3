"""`digest`: one record of the whole fleet out of every member's figures."""

from __future__ import annotations

from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.store_cache import StoreCache
from gladegw.coordination.records import FleetSummaryRecord, MemberMetricsRecord, encode
from gladegw.coordination.store import Put

MAX_WORST = 5


def unserved_fraction(figures: dict[str, int]) -> float:
    """Share of the requests that ended and were not served; 0 where none ended."""
    ended = {
        end: sum(value for name, value in figures.items() if name.endswith("." + end))
        for end in ("passed", "dropped", "bad_gateway")
    }
    total = sum(ended.values())
    return 1 - ended["passed"] / total if total else 0.0


def summarize(view: StoreCache, token: int) -> FleetSummaryRecord:
    members = sorted({member.name for _, member in view.members()})
    told: dict[str, MemberMetricsRecord] = view.member_metrics()
    totals: dict[str, int] = {}
    for name in members:
        for figure, value in told[name].figures.items() if name in told else ():
            totals[figure] = totals.get(figure, 0) + value
    ranked = sorted(
        ((name, round(unserved_fraction(told[name].figures), 4)) for name in members if name in told),
        key=lambda entry: (-entry[1], entry[0]),
    )
    worst = tuple(entry for entry in ranked[:MAX_WORST] if entry[1] > 0)
    silent = tuple(name for name in members if name not in told)
    return FleetSummaryRecord(token=token, members=len(members), totals=totals, worst=worst, silent=silent)


class FleetSummary(DutyWork):
    name = "digest"
    period = 1.0
    reads_reported = True

    def __init__(self) -> None:
        self.last: FleetSummaryRecord | None = None

    async def step(self, holding: DutyContext) -> None:
        fleet = summarize(holding.cache, holding.token)
        if fleet != self.last:
            await holding.effect(Put(holding.cache.keys.fleet_record("digest"), encode(fleet)))
            self.last = fleet

    def end(self) -> None:
        self.last = None
