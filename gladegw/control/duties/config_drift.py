"""Duty `compare`: detects members with different lists of backends or different routes."""

from __future__ import annotations

import time

import msgspec

from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.store_cache import StoreCache
from gladegw.coordination.records import ConfigDriftRecord, encode
from gladegw.coordination.store import Put


def groups(view: StoreCache, field: str) -> dict[str, tuple[str, ...]]:
    """Group the member names by the digest in a field of their metrics; empty if there is at most one digest.

    Differences by design, as between zones or tiers, are included.
    """
    found: dict[str, list[str]] = {}
    for name, metrics in sorted(view.member_metrics().items()):
        digest = getattr(metrics, field)
        if digest:
            found.setdefault(digest, []).append(name)
    return {digest: tuple(names) for digest, names in found.items()} if len(found) > 1 else {}


class ConfigDrift(DutyWork):
    """Comparison of the members' configurations."""

    name = "compare"
    period = 1.0
    reads_reported = True

    def __init__(self) -> None:
        self.last: ConfigDriftRecord | None = None

    async def step(self, context: DutyContext) -> None:
        """Write the drift record if it has changed."""
        view = context.cache
        key = view.keys.fleet_record("compare")
        discovery, routes = groups(view, "discovery"), groups(view, "routes")
        before = self.last or view.read(key, ConfigDriftRecord)
        since = 0.0
        if discovery or routes:
            since = before.since if before is not None and before.since else time.time()
        now = ConfigDriftRecord(token=context.token, discovery=discovery, routes=routes, since=since)
        if self.last is None or msgspec.structs.replace(now, token=self.last.token) != self.last:
            await context.effect(Put(key, encode(now)))
            self.last = now

    def end(self) -> None:
        """Discard the state of the steps; see `DutyWork.end`."""
        self.last = None
