"""Whose turn it is to claim a duty that nobody holds: a preference that spreads duties, never a safeguard.

Rendezvous hashing by duty and member (D. Thaler and C. Ravishankar, IEEE/ACM Transactions on Networking 6,
1998), weighted by -w / ln(h) (as in J. Resch, "New hashing algorithms for data storage", SDC 2015): each
member ranks all by itself and waits its rank's time. Two that claim at once harm nothing, since the store
takes one.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from functools import lru_cache

FLAP_THRESHOLD = 3  # incarnations within WINDOW from which a member gets no duty
FLAP_WINDOW_S = 60.0  # s, by the observer's own clock


def score(duty: str, member: str, weight: float) -> float:
    """The higher, the sooner; 0 for a weight of 0."""
    if weight <= 0:
        return 0.0
    return -weight / _log_draw(duty, member)


@lru_cache(maxsize=1 << 16)
def _log_draw(duty: str, member: str) -> float:
    drawn = hashlib.blake2b(f"{duty}\0{member}".encode(), digest_size=8).digest()
    return math.log((int.from_bytes(drawn) + 0.5) / 2**64)


def ranking(duty: str, members: Mapping[str, float]) -> list[str]:
    """Names by preference, with their weights given; those of no weight come last."""
    return sorted(members, key=lambda name: (-score(duty, name, members[name]), name))


def claim_delay(duty: str, member: str, members: Mapping[str, float], interval: float) -> float:
    """S that this member leaves a duty to those before it."""
    ranked = ranking(duty, members)
    return interval * (ranked.index(member) if member in ranked else len(ranked))


def estimated_claim_delay(duty: str, member: str, weight: float, members: int, interval: float) -> float:
    """The same where so many of about one weight are there that nobody should rank them all: how many of them
    are before this one on the average, given its own draw."""
    if weight <= 0:
        return interval * members
    return interval * members * -math.expm1(_log_draw(duty, member))


def successor(duty: str, leaving: str, members: Mapping[str, float]) -> str:
    """To whom a member that leaves hands a duty; empty: there is nobody."""
    return next((name for name in ranking(duty, members) if name != leaving and members[name] > 0), "")


class FlapDetector:
    """Which members came and went too often lately to be given anything."""

    def __init__(self) -> None:
        self.incarnations: dict[str, list[tuple[float, str]]] = {}

    def observe(self, name: str, incarnation: str, now: float) -> None:
        recent = [entry for entry in self.incarnations.get(name, []) if now - entry[0] < FLAP_WINDOW_S]
        if all(other != incarnation for _, other in recent):
            recent.append((now, incarnation))
        self.incarnations[name] = recent

    def forget(self, now: float) -> None:
        """Bounded by what came within the window."""
        self.incarnations = {
            name: entries
            for name, entries in self.incarnations.items()
            if now - entries[-1][0] < FLAP_WINDOW_S
        }

    def weights(self, names: Iterable[str], now: float) -> dict[str, float]:
        return {
            name: 0.0
            if sum(now - at < FLAP_WINDOW_S for at, _ in self.incarnations.get(name, [])) >= FLAP_THRESHOLD
            else 1.0
            for name in names
        }
