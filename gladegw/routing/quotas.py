"""Divides the quota of a tenant among the pools.

Each pool has its own decision module, which counts only its own requests. So that a tenant gets no more by
using more pools, its quota is divided among them in proportion to its recent requests. The parts always sum
to the whole quota.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

ARRIVAL_HALF_LIFE = 10.0  # s
MIN_PART = 0.05  # fraction of an equal part that each pool keeps, so that its first requests aren't refused


class QuotaDivision:
    def __init__(self, pools: Sequence[str], quotas: Mapping[str, float]) -> None:
        self.pools, self.quotas = tuple(pools), dict(quotas)
        self.recent_arrivals = {tenant: dict.fromkeys(self.pools, 0.0) for tenant in self.quotas}
        self.decayed_at: float | None = None

    def record_arrival(self, tenant: str, pool: str) -> None:
        arrivals = self.recent_arrivals.get(tenant)
        if arrivals is not None and pool in arrivals:
            arrivals[pool] += 1.0

    def parts_by_pool(self, now: float) -> dict[str, dict[str, float]]:
        """Quotas by pool and tenant, in requests/s."""
        if self.decayed_at is not None and now > self.decayed_at:
            decay = 0.5 ** ((now - self.decayed_at) / ARRIVAL_HALF_LIFE)
            for arrivals in self.recent_arrivals.values():
                for pool in arrivals:
                    arrivals[pool] *= decay
        self.decayed_at = now
        parts: dict[str, dict[str, float]] = {pool: {} for pool in self.pools}
        for tenant, quota in self.quotas.items():
            arrivals = self.recent_arrivals[tenant]
            total = sum(arrivals.values())
            minimum = MIN_PART / len(self.pools)
            for pool in self.pools:
                share = arrivals[pool] / total if total > 1e-9 else 1 / len(self.pools)
                parts[pool][tenant] = quota * (minimum + (1 - MIN_PART) * share)
        return parts
