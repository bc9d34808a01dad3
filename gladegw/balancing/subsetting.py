"""Subsetting: which servers an instance uses, out of thousands.

The pool is bounded, so that probes and connections do not grow as instances times servers. Each zone's
servers form a ring in the order of their ids, which is the same at every instance; instances start at
positions spread evenly by their number. Pure: no I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

MAX_LOCAL_SERVERS = 10  # servers of its own zone that an instance uses
MAX_SERVERS = 16  # servers that an instance uses in all
GOLDEN_RATIO = 0.6180339887498949  # multiples of it, modulo 1, spread evenly for any number of instances


class RingServer(Protocol):
    """The attributes of a server that a ring uses."""

    id: int
    zone: str
    ejected_until: float  # 0: not ejected


T = TypeVar("T", bound=RingServer)


def build_rings(serving: Iterable[T]) -> dict[str, list[T]]:
    """Return the serving servers by zone, each zone ordered by server id."""
    rings: dict[str, list[T]] = {}
    for server in sorted(serving, key=lambda server: server.id):
        rings.setdefault(server.zone, []).append(server)
    return rings


def select_pool(rings: dict[str, list[T]], zone: str, instance: int) -> list[T]:
    """Return the pool of the instance with this zone and number.

    Servers of the instance's own zone come first, then those of the other zones in rotation.
    """
    position = instance * GOLDEN_RATIO % 1.0
    pool: list[T] = []
    others: list[list[T]] = []
    for name in sorted(rings):
        ring = rings[name]
        start = int(position * len(ring))
        if name == zone:
            pool = _first_usable(ring, start, MAX_LOCAL_SERVERS)
        else:
            others.append(_first_usable(ring, start, MAX_SERVERS))
    index = 0
    while len(pool) < MAX_SERVERS and any(len(ring) > index for ring in others):
        for ring in others:
            if len(ring) > index and len(pool) < MAX_SERVERS:
                pool.append(ring[index])
        index += 1
    return pool


def _first_usable(ring: list[T], start: int, limit: int) -> list[T]:
    """Return up to `limit` servers from position `start` of a ring, ejected ones last."""
    usable: list[T] = []
    ejected: list[T] = []
    for step in range(len(ring)):
        server = ring[(start + step) % len(ring)]
        if server.ejected_until:
            ejected.append(server)
            continue
        usable.append(server)
        if len(usable) == limit:
            return usable
    return (usable + ejected)[:limit]
