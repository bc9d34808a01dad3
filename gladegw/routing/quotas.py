"""What each pool may spend of a tenant's quota.
 One decision module serves each pool, and each counts for itself. So that a tenant gets no more by asking for
more pools, its quota is divided among them as its requests came lately. The parts always sum to the whole.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

HALF_LIFE = 10.0  # s, after which an arrival counts half
FLOOR = 0.05  # of an even part, that a pool without any request keeps, so that its first are not refused


class Division:
    def __init__(self, pools: Sequence[str], quotas: Mapping[str, float]) -> None:
        self.pools, self.quotas = tuple(pools), dict(quotas)
        self.came = {tenant: dict.fromkeys(self.pools, 0.0) for tenant in self.quotas}
        self.faded_at: float | None = None

    def arrived(self, tenant: str, pool: str) -> None:
        came = self.came.get(tenant)
        if came is not None and pool in came:
            came[pool] += 1.0

    def parts(self, now: float) -> dict[str, dict[str, float]]:
        """By pool and tenant, requests a second."""
        if self.faded_at is not None and now > self.faded_at:
            kept = 0.5 ** ((now - self.faded_at) / HALF_LIFE)
            for came in self.came.values():
                for pool in came:
                    came[pool] *= kept
        self.faded_at = now
        made: dict[str, dict[str, float]] = {pool: {} for pool in self.pools}
        for tenant, quota in self.quotas.items():
            came = self.came[tenant]
            whole = sum(came.values())
            least = FLOOR / len(self.pools)
            for pool in self.pools:
                share = came[pool] / whole if whole > 1e-9 else 1 / len(self.pools)
                made[pool][tenant] = quota * (least + (1 - FLOOR) * share)
        return made
