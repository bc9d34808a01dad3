"""What a new table changes. The decision module of a pool that is kept retains what it has learned."""

from __future__ import annotations

from dataclasses import dataclass, replace

from gladegw.routing.model import Description


@dataclass(frozen=True, slots=True)
class Change:
    kept: tuple[str, ...]  # pools that are unchanged or differ only in their fallback
    begun: tuple[str, ...]
    ended: tuple[str, ...]
    routes: tuple[int, int, int]  # added, changed, removed

    def __str__(self) -> str:
        added, changed, removed = self.routes
        pools = f"{len(self.kept)} pools kept, {len(self.begun)} begun, {len(self.ended)} ended"
        return f"{added} routes added, {changed} changed, {removed} removed; {pools}"


def change(old: Description, new: Description) -> Change:
    """Compares two descriptions. A pool is kept if name and selection of members are unchanged."""
    before = {pool.name: replace(pool, fallback=()) for pool in old.pools}
    after = {pool.name: replace(pool, fallback=()) for pool in new.pools}
    kept = tuple(name for name, pool in after.items() if before.get(name) == pool)
    routes_before = {str(route): route for route in old.routes}
    routes_after = {str(route): route for route in new.routes}
    shared = routes_before.keys() & routes_after.keys()
    return Change(
        kept=kept,
        begun=tuple(name for name in after if name not in kept),
        ended=tuple(name for name in before if name not in kept),
        routes=(
            len(routes_after.keys() - shared),
            sum(routes_before[name] != routes_after[name] for name in shared),
            len(routes_before.keys() - shared),
        ),
    )
