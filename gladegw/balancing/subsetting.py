"""Which servers an instance uses, out of thousands: a bounded pool, so that probes and connections do not
grow as instances times servers. Pure; part of the decisions.

Each zone's servers form a ring, in the order of their numbers, which is the same at every instance;
instances start at places spread evenly by their number.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

MAX_LOCAL_SERVERS = 10  # servers of the own zone that an instance uses
MAX_SERVERS = 16  # servers that an instance uses in all
GOLDEN_RATIO = 0.6180339887498949  # multiples of it spread evenly over a ring, however many there are


class RingServer(Protocol):
    """What a ring asks of a server."""

    id: int
    zone: str
    ejected_until: float  # 0: in use


T = TypeVar("T", bound=RingServer)


def build_rings(serving: Iterable[T]) -> dict[str, list[T]]:
    """The rings of these servers by zone."""
    rings: dict[str, list[T]] = {}
    for server in sorted(serving, key=lambda server: server.id):
        rings.setdefault(server.zone, []).append(server)
    return rings


def select_pool(rings: dict[str, list[T]], zone: str, instance: int) -> list[T]:
    """The pool of the instance of this zone and number: its own zone's servers, then the others' in turn."""
    place = instance * GOLDEN_RATIO % 1.0
    pool: list[T] = []
    others: list[list[T]] = []
    for name in sorted(rings):
        ring = rings[name]
        start = int(place * len(ring))
        if name == zone:
            pool = _first_usable(ring, start, MAX_LOCAL_SERVERS)
        else:
            others.append(_first_usable(ring, start, MAX_SERVERS))
    turn = 0
    while len(pool) < MAX_SERVERS and any(len(ring) > turn for ring in others):
        for ring in others:
            if len(ring) > turn and len(pool) < MAX_SERVERS:
                pool.append(ring[turn])
        turn += 1
    return pool


def _first_usable(ring: list[T], start: int, limit: int) -> list[T]:
    """The first servers from a place of a ring on, ejected ones behind all others."""
    found: list[T] = []
    ejected: list[T] = []
    for step in range(len(ring)):
        server = ring[(start + step) % len(ring)]
        if server.ejected_until:
            ejected.append(server)
            continue
        found.append(server)
        if len(found) == limit:
            return found
    return (found + ejected)[:limit]
