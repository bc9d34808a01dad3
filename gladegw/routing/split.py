"""Where a key falls among weighted pools, and which members of a fleet a proxy keeps to (rendezvous hashing).
 Both are highest-random-weight choices (Thaler and Ravishankar, 1998): each key scores each candidate by a
hash of both, and the best score wins. A candidate that comes or goes moves only what it wins or has won; with
weights (score = -weight / ln u, Schindelhauer and Schomaker, 2005) a key moves only towards a pool whose
share grew.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache
from typing import Any

from gladegw.routing.model import Ask, Route

SPAN = float(1 << 64)


@lru_cache(maxsize=1)
def hasher() -> Callable[[Any], int]:
    """Imported where a split or a subset is used."""
    from xxhash import xxh3_64_intdigest

    return xxh3_64_intdigest


def unit(key: str, name: str) -> float:
    """A number in (0, 1), the same everywhere for the same two texts."""
    value = hasher()(f"{key}\0{name}".encode("utf-8", "surrogatepass"))
    return (value + 0.5) / SPAN


def choose(key: str, weights: Sequence[tuple[str, float]]) -> str:
    """The pool of a key; empty if no weight is above 0."""
    best, found = -1.0, ""
    for name, weight in weights:
        if weight > 0:
            score = weight / -math.log(min(unit(key, name), 1 - 1e-16))
            if score > best:
                best, found = score, name
    return found


def shares(weights: Sequence[tuple[str, float]]) -> dict[str, float]:
    whole = sum(weight for _, weight in weights)
    return {name: weight / whole for name, weight in weights} if whole > 0 else {}


def subset(me: str, names: Iterable[str], size: int) -> list[str]:
    """The members that this proxy keeps to, by name: `size` of them, the same for the same `me` and names."""
    hashed = hasher()
    scored = ((hashed(f"{me}\0{name}".encode("utf-8", "surrogatepass")), name) for name in names)
    return sorted(name for _, name in heapq.nlargest(size, scored))


def first_pool(route: Route, ask: Ask) -> str:
    """Where a request goes first: the pool, or its side of the split."""
    split = route.split
    if split is None:
        return route.pool
    kind, _, name = split.by.partition(":")
    key: str | None = ask.call_id
    if kind == "tenant":
        key = ask.tenant
    elif kind == "header":
        key = ask.headers.get(name)
    elif kind == "query":
        key = ask.query.get(name)
    return choose(key or ask.call_id, split.weights)
