"""`compare`: whether all members work by the same list of backends and the same routes."""

from __future__ import annotations

import time

import msgspec

from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.store_cache import StoreCache
from gladegw.coordination.records import ConfigDriftRecord, encode
from gladegw.coordination.store import Put


def groups(view: StoreCache, field: str) -> dict[str, tuple[str, ...]]:
    """Names by the digest that they work by; empty where there is one at most. Only members of one zone's or
    one tier's table are alike; what differs by design shows here as well."""
    found: dict[str, list[str]] = {}
    for name, figures in sorted(view.member_metrics().items()):
        digest = getattr(figures, field)
        if digest:
            found.setdefault(digest, []).append(name)
    return {digest: tuple(names) for digest, names in found.items()} if len(found) > 1 else {}


class ConfigDrift(DutyWork):
    name = "compare"
    period = 1.0
    reads_reported = True

    def __init__(self) -> None:
        self.last: ConfigDriftRecord | None = None

    async def step(self, holding: DutyContext) -> None:
        view = holding.cache
        key = view.keys.fleet_record("compare")
        discovery, routes = groups(view, "discovery"), groups(view, "routes")
        before = self.last or view.read(key, ConfigDriftRecord)
        since = 0.0
        if discovery or routes:
            since = before.since if before is not None and before.since else time.time()
        now = ConfigDriftRecord(token=holding.token, discovery=discovery, routes=routes, since=since)
        if self.last is None or msgspec.structs.replace(now, token=self.last.token) != self.last:
            await holding.effect(Put(key, encode(now)))
            self.last = now

    def end(self) -> None:
        self.last = None
