"""The members of a pool: selectors, the local zone and its spill-over, subsets, and fallback pools.

Times are passed in, in seconds of any monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence, Set
from dataclasses import dataclass
from fnmatch import fnmatchcase

from gladegw.routing.model import Endpoint, Pool, Selector
from gladegw.routing.split import subset


def selects(selector: Selector, endpoint: Endpoint) -> bool:
    return (
        (not selector.zones or endpoint.zone in selector.zones)
        and (not selector.types or endpoint.type in selector.types)
        and (not selector.statuses or endpoint.status in selector.statuses)
        and (not selector.groups or endpoint.group in selector.groups)
        and endpoint.weight >= selector.least_weight
        and (not selector.names or any(fnmatchcase(endpoint.name, name) for name in selector.names))
    )


@dataclass(frozen=True, slots=True)
class Members:
    """The members of a pool and the reason for them; `usable` counts those that are ready and not ejected."""

    names: frozenset[str]
    usable: int
    spilled: bool = False
    expected: int = 0  # local members that should be usable
    reason: str = ""


class Membership:
    """Tracks the members of one pool over time.

    Local members that are ready count as expected, and so do those that vanished while ready, for
    `remember_s`. An orderly drain lowers the expected number at once; the loss of a zone lowers it only after
    that time.
    """

    def __init__(self, pool: Pool, zone: str, proxy: str) -> None:
        self.pool, self.zone, self.proxy = pool, zone, proxy
        self.ready: set[str] = set()  # local members that were ready at the last update
        self.vanished: dict[str, float] = {}  # local members that vanished while ready, with the time
        self.spilled = False

    def update(self, endpoints: Iterable[Endpoint], now: float, ejected: Set[str] = frozenset()) -> Members:
        """The members now. `ejected` are endpoints that the decision module of the pool has taken out of use:
        they stay members but don't count as usable."""
        chosen = [
            endpoint
            for endpoint in endpoints
            if endpoint.status != "Gone" and selects(self.pool.selector, endpoint)
        ]
        if not self.pool.local:
            return self._members(chosen, ejected, False, 0, "all zones")
        local = [endpoint for endpoint in chosen if endpoint.zone == self.zone]
        expected = self._expected_count(local, now)
        usable = sum(endpoint.status == "Ready" and endpoint.name not in ejected for endpoint in local)
        share = usable / expected if expected else 0.0
        threshold = self.pool.spill_until if self.spilled else self.pool.spill_below
        self.spilled = self.pool.spill_below > 0 and (usable == 0 or share < threshold)
        reason = f"{usable} of {expected} local members usable"
        return self._members(chosen if self.spilled else local, ejected, self.spilled, expected, reason)

    def _expected_count(self, local: Sequence[Endpoint], now: float) -> int:
        listed = {endpoint.name for endpoint in local}
        ready = {endpoint.name for endpoint in local if endpoint.status == "Ready"}
        for name in self.ready - listed:
            self.vanished.setdefault(name, now)
        oldest = now - self.pool.remember_s
        self.vanished = {
            name: since for name, since in self.vanished.items() if since > oldest and name not in listed
        }
        self.ready = ready
        return len(ready) + len(self.vanished)

    def _members(
        self, chosen: Sequence[Endpoint], ejected: Set[str], spilled: bool, expected: int, reason: str
    ) -> Members:
        ready = [endpoint.name for endpoint in chosen if endpoint.status == "Ready"]
        size = self.pool.subset
        if size and len(ready) > size:
            kept = subset(self.proxy, ready, size)
            # A draining member stays while it would belong to the subset, so that its calls can complete.
            subset_of_all = frozenset(subset(self.proxy, [endpoint.name for endpoint in chosen], size))
            draining = [
                endpoint.name
                for endpoint in chosen
                if endpoint.status != "Ready" and endpoint.name in subset_of_all
            ]
            usable = sum(name not in ejected for name in kept)
            subset_reason = f"{reason}; {size} of {len(ready)}"
            return Members(frozenset(kept + draining), usable, spilled, expected, subset_reason)
        usable = sum(name not in ejected for name in ready)
        return Members(frozenset(endpoint.name for endpoint in chosen), usable, spilled, expected, reason)


def first_usable_pool(
    first: str, route_fallback: Sequence[str], pools: Mapping[str, Pool], usable: Callable[[str], bool]
) -> str | None:
    """The first pool with a usable member among `first`, its own fallbacks (depth first) and those of the
    route, in this order. None: there is none, and the request is rejected at once."""
    visited: set[str] = set()
    candidates = [first, *route_fallback]
    while candidates:
        name = candidates.pop(0)
        if name in visited or name not in pools:
            continue
        visited.add(name)
        if usable(name):
            return name
        candidates[:0] = pools[name].fallback
    return None
