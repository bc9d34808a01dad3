"""The order in which members claim a vacant duty: it spreads the duties, but does not ensure a single holder.

Rendezvous hashing by duty and member (D. Thaler and C. Ravishankar, IEEE/ACM Transactions on Networking 6,
1998), weighted by -w / ln(h) (as in J. Resch, "New hashing algorithms for data storage", SDC 2015). Each
member computes the ranking itself and delays its claim in proportion to its rank. Concurrent claims are
harmless, since the store accepts one.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Mapping
from functools import lru_cache

FLAP_THRESHOLD = 3  # incarnations within FLAP_WINDOW_S
FLAP_WINDOW_S = 60.0  # by the observer's own clock


def score(duty: str, member: str, weight: float) -> float:
    """Return a member's score for a duty; the member with the highest score claims first. 0 at weight 0."""
    if weight <= 0:
        return 0.0
    return -weight / _log_hash(duty, member)


@lru_cache(maxsize=1 << 16)
def _log_hash(duty: str, member: str) -> float:
    digest = hashlib.blake2b(f"{duty}\0{member}".encode(), digest_size=8).digest()
    return math.log((int.from_bytes(digest) + 0.5) / 2**64)


def ranking(duty: str, members: Mapping[str, float]) -> list[str]:
    """Return the names, the most preferred first; `members` has weights by name, and weight 0 ranks last."""
    return sorted(members, key=lambda name: (-score(duty, name, members[name]), name))


def claim_delay(duty: str, member: str, members: Mapping[str, float], interval: float) -> float:
    """Return how many s this member waits before it claims a vacant duty, so that higher-ranked ones can."""
    ranked = ranking(duty, members)
    return interval * (ranked.index(member) if member in ranked else len(ranked))


def estimated_claim_delay(duty: str, member: str, weight: float, members: int, interval: float) -> float:
    """Return the expected `claim_delay` in s, without ranking all members.

    For fleets of many members of about equal weight. The estimate is the expected number of members ranked
    before this one, given its own hash, times `interval`.
    """
    if weight <= 0:
        return interval * members
    return interval * members * -math.expm1(_log_hash(duty, member))


def successor(duty: str, leaving: str, members: Mapping[str, float]) -> str:
    """Return the name of the member that should take over a duty; empty if there is none."""
    return next((name for name in ranking(duty, members) if name != leaving and members[name] > 0), "")


class FlapDetector:
    """Finds members that restart too often to be given a duty."""

    def __init__(self) -> None:
        self.incarnations: dict[str, list[tuple[float, str]]] = {}  # per name: (time, incarnation)

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
            if sum(now - seen_at < FLAP_WINDOW_S for seen_at, _ in self.incarnations.get(name, []))
            >= FLAP_THRESHOLD
            else 1.0
            for name in names
        }
