"""Rendezvous hashing: the weighted pool of a key, and the subset of a fleet's members that a proxy uses.

Both are highest-random-weight choices (Thaler and Ravishankar, 1998): each candidate gets a score from a hash
of the key and its name, and the best score wins. Adding or removing a candidate moves only the keys that it
wins or had won. With weights (score = -weight / ln u, Schindelhauer and Schomaker, 2005) a key moves only to
a pool whose share grew.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache
from typing import Any

from gladegw.routing.model import RequestView, Route

HASH_RANGE = float(1 << 64)


@lru_cache(maxsize=1)
def hasher() -> Callable[[Any], int]:
    """The hash function; imported only if a split or a subset is used."""
    from xxhash import xxh3_64_intdigest

    return xxh3_64_intdigest


def unit_hash(key: str, name: str) -> float:
    """Hashes two texts to a number in (0, 1) that is the same in every process."""
    value = hasher()(f"{key}\0{name}".encode("utf-8", "surrogatepass"))
    return (value + 0.5) / HASH_RANGE


def choose(key: str, weights: Sequence[tuple[str, float]]) -> str:
    """The pool that a key is assigned to; empty if no weight is above 0."""
    best_score, pool = -1.0, ""
    for name, weight in weights:
        if weight > 0:
            score = weight / -math.log(min(unit_hash(key, name), 1 - 1e-16))
            if score > best_score:
                best_score, pool = score, name
    return pool


def shares(weights: Sequence[tuple[str, float]]) -> dict[str, float]:
    total = sum(weight for _, weight in weights)
    return {name: weight / total for name, weight in weights} if total > 0 else {}


def subset(proxy: str, names: Iterable[str], size: int) -> list[str]:
    """The sorted names of the `size` members that a proxy uses, the same for the same proxy and names."""
    hashed = hasher()
    scored = ((hashed(f"{proxy}\0{name}".encode("utf-8", "surrogatepass")), name) for name in names)
    return sorted(name for _, name in heapq.nlargest(size, scored))


def first_pool(route: Route, request: RequestView) -> str:
    """The pool tried first: the route's pool, or the one that its split assigns to the request."""
    split = route.split
    if split is None:
        return route.pool
    kind, _, name = split.by.partition(":")
    key: str | None = request.call_id
    if kind == "tenant":
        key = request.tenant
    elif kind == "header":
        key = request.headers.get(name)
    elif kind == "query":
        key = request.query.get(name)
    return choose(key or request.call_id, split.weights)
