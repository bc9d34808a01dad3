"""Who belongs to a pool now: selectors, the local zone and its spill-over, subsets, and pools that stand in.

Time is passed in, in seconds of any steady clock.
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
    """What a pool holds, and why; `usable` is how many of the names are ready."""

    names: frozenset[str]
    usable: int
    spilled: bool = False
    expected: int = 0  # local members that should be usable
    reason: str = ""


class Membership:
    """One pool's members over time.

    Expected are the local members that are ready, and those that vanished without having been told to drain:
    an orderly end lowers what is expected, a lost zone does not, until it is forgotten.
    """

    def __init__(self, pool: Pool, zone: str, me: str) -> None:
        self.pool, self.zone, self.me = pool, zone, me
        self.ready: set[str] = set()  # local members at the last look
        self.vanished: dict[str, float] = {}  # since when
        self.spilled = False

    def look(self, endpoints: Iterable[Endpoint], now: float, ill: Set[str] = frozenset()) -> Members:
        """`ill` are members that the pool's own module has taken out of use: listed, and not usable."""
        chosen = [one for one in endpoints if one.status != "Gone" and selects(self.pool.selector, one)]
        if not self.pool.local:
            return self._made(chosen, ill, False, 0, "all zones")
        local = [one for one in chosen if one.zone == self.zone]
        expected = self._expected(local, now)
        usable = sum(one.status == "Ready" and one.name not in ill for one in local)
        share = usable / expected if expected else 0.0
        bound = self.pool.spill_until if self.spilled else self.pool.spill_below
        self.spilled = self.pool.spill_below > 0 and (usable == 0 or share < bound)
        told = f"{usable} of {expected} local members usable"
        return self._made(chosen if self.spilled else local, ill, self.spilled, expected, told)

    def _expected(self, local: Sequence[Endpoint], now: float) -> int:
        listed = {one.name for one in local}
        ready = {one.name for one in local if one.status == "Ready"}
        for name in self.ready - listed:
            self.vanished.setdefault(name, now)
        oldest = now - self.pool.remember_s
        self.vanished = {
            name: since for name, since in self.vanished.items() if since > oldest and name not in listed
        }
        self.ready = ready
        return len(ready) + len(self.vanished)

    def _made(
        self, chosen: Sequence[Endpoint], ill: Set[str], spilled: bool, expected: int, reason: str
    ) -> Members:
        ready = [one.name for one in chosen if one.status == "Ready"]
        size = self.pool.subset
        if size and len(ready) > size:
            kept = subset(self.me, ready, size)
            # One that drains stays as long as it would belong here, so that its calls are seen to the end.
            every = frozenset(subset(self.me, [one.name for one in chosen], size))
            draining = [one.name for one in chosen if one.status != "Ready" and one.name in every]
            usable = sum(name not in ill for name in kept)
            told = f"{reason}; {size} of {len(ready)}"
            return Members(frozenset(kept + draining), usable, spilled, expected, told)
        usable = sum(name not in ill for name in ready)
        return Members(frozenset(one.name for one in chosen), usable, spilled, expected, reason)


def standing_in(
    first: str, route_fallback: Sequence[str], pools: Mapping[str, Pool], usable: Callable[[str], bool]
) -> str | None:
    """The pool that serves: the first, then its own fallbacks, then the route's, the first that has a usable
    member. None: nobody can, and the request is answered at once."""
    seen: set[str] = set()
    waiting = [first, *route_fallback]
    while waiting:
        name = waiting.pop(0)
        if name in seen or name not in pools:
            continue
        seen.add(name)
        if usable(name):
            return name
        waiting[:0] = pools[name].fallback
    return None
