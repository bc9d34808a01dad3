"""The order in which members claim a vacant duty: a preference that spreads duties, never a safeguard.

Rendezvous hashing by duty and member (D. Thaler and C. Ravishankar, IEEE/ACM Transactions on Networking 6,
1998), weighted by -w / ln(h) (as in J. Resch, "New hashing algorithms for data storage", SDC 2015). Each
member ranks all members by itself and delays its claim by its rank. Concurrent claims are harmless, since the
store accepts one.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from functools import lru_cache

FLAP_THRESHOLD = 3  # incarnations within FLAP_WINDOW_S
FLAP_WINDOW_S = 60.0  # by the observer's own clock


def score(duty: str, member: str, weight: float) -> float:
    """Return a member's score for a duty: the highest claims first; 0 for a weight of 0."""
    if weight <= 0:
        return 0.0
    return -weight / _log_hash(duty, member)


@lru_cache(maxsize=1 << 16)
def _log_hash(duty: str, member: str) -> float:
    digest = hashlib.blake2b(f"{duty}\0{member}".encode(), digest_size=8).digest()
    return math.log((int.from_bytes(digest) + 0.5) / 2**64)


def ranking(duty: str, members: Mapping[str, float]) -> list[str]:
    """Return the names by preference; `members` has weights by name, and those of weight 0 come last."""
    return sorted(members, key=lambda name: (-score(duty, name, members[name]), name))


def claim_delay(duty: str, member: str, members: Mapping[str, float], interval: float) -> float:
    """Return for how many s this member leaves a vacant duty to those ranked before it."""
    ranked = ranking(duty, members)
    return interval * (ranked.index(member) if member in ranked else len(ranked))


def estimated_claim_delay(duty: str, member: str, weight: float, members: int, interval: float) -> float:
    """Return the expected `claim_delay` in s, without ranking all members.

    For fleets of many members of about equal weight: it is computed from the expected number of members
    ranked before this one, given its own hash.
    """
    if weight <= 0:
        return interval * members
    return interval * members * -math.expm1(_log_hash(duty, member))


def successor(duty: str, leaving: str, members: Mapping[str, float]) -> str:
    """Return to whom a leaving member hands a duty over; empty if there is nobody."""
    return next((name for name in ranking(duty, members) if name != leaving and members[name] > 0), "")


class FlapDetector:
    """Finds members that restart too often to be given a duty."""

    def __init__(self) -> None:
        self.incarnations: dict[str, list[tuple[float, str]]] = {}

    def observe(self, name: str, incarnation: str, now: float) -> None:
        """Record a sighting of a member's incarnation, at `now` in s."""
        recent = [entry for entry in self.incarnations.get(name, []) if now - entry[0] < FLAP_WINDOW_S]
        if all(other != incarnation for _, other in recent):
            recent.append((now, incarnation))
        self.incarnations[name] = recent

    def forget(self, now: float) -> None:
        """Drop members without a new incarnation within the window, which bounds the memory."""
        self.incarnations = {
            name: entries
            for name, entries in self.incarnations.items()
            if now - entries[-1][0] < FLAP_WINDOW_S
        }

    def weights(self, names: Iterable[str], now: float) -> dict[str, float]:
        """Return the weight of each member for the ranking: 0 if it flaps, else 1."""
        return {
            name: 0.0
            if sum(now - at < FLAP_WINDOW_S for at, _ in self.incarnations.get(name, [])) >= FLAP_THRESHOLD
            else 1.0
            for name in names
        }
