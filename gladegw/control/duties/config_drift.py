"""Duty `compare`: detects members with different lists of backends or different routes."""

from __future__ import annotations

import time

import msgspec

from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.store_cache import StoreCache
from gladegw.coordination.records import ConfigDriftRecord, encode
from gladegw.coordination.store import Put


def members_by_digest(view: StoreCache, field: str) -> dict[str, tuple[str, ...]]:
    """Return the member names by the digest in a field of their metrics; empty if no two digests differ.

    Intended differences, as between zones or tiers, are included.
    """
    groups: dict[str, list[str]] = {}
    for name, metrics in sorted(view.member_metrics().items()):
        digest = getattr(metrics, field)
        if digest:
            groups.setdefault(digest, []).append(name)
    return {digest: tuple(names) for digest, names in groups.items()} if len(groups) > 1 else {}


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
        discovery, routes = members_by_digest(view, "discovery"), members_by_digest(view, "routes")
        previous = self.last or view.read(key, ConfigDriftRecord)
        since = 0.0
        if discovery or routes:
            since = previous.since if previous is not None and previous.since else time.time()
        drift = ConfigDriftRecord(token=context.token, discovery=discovery, routes=routes, since=since)
        if self.last is None or msgspec.structs.replace(drift, token=self.last.token) != self.last:
            await context.effect(Put(key, encode(drift)))
            self.last = drift

    def end(self) -> None:
        """Discard the state kept between steps; see `DutyWork.end`."""
        self.last = None
