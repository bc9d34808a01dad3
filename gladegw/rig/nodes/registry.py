"""What stand-in discovery knows and when it tells it: versions, changes, lateness, faults. Pure.

A change is planned with a delay and published when that has passed; each publication is a new version. A call
takes its turn: discovery has a fixed capacity, and one that would wait too long fails.
"""

from __future__ import annotations

import hashlib
import heapq

import msgspec

HISTORY = 1000  # versions back, from which changes can still be told


class Endpoint(msgspec.Struct, frozen=True):
    """A backend as discovery lists it."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str  # Ready, Terminating, Gone
    weight: float
    since_ms: int


class Listing(msgspec.Struct, frozen=True):
    """An answer: the whole list, or the changed entries."""

    index: int
    snapshot: bool
    endpoints: tuple[Endpoint, ...]


class Registry:
    def __init__(self, lines_per_s: float, call_lines: float, patience: float) -> None:
        self.lines_per_s, self.call_lines, self.patience = lines_per_s, call_lines, patience
        self.version = 0
        self.endpoints: dict[str, Endpoint] = {}
        self._gone: dict[str, Endpoint] = {}
        self._changed: dict[str, int] = {}  # by name: the version of its latest change, also of what is gone
        self._pending: list[tuple[float, int, Endpoint]] = []
        self._planned = 0
        self._busy_until = 0.0
        self.stale = False  # nothing more is published
        self.down = False
        self.silent = False  # takes calls and answers none
        self.left_out = 0.0  # share of the list that whole lists lack

    # changes
    def plan(self, at: float, endpoint: Endpoint) -> None:
        """The change is published at `at`."""
        self._planned += 1
        heapq.heappush(self._pending, (at, self._planned, endpoint))

    def next_due(self) -> float | None:
        return self._pending[0][0] if self._pending and not self.stale else None

    def publish(self, now: float) -> list[Endpoint]:
        """What has become known by now, in one version."""
        found: list[Endpoint] = []
        while not self.stale and self._pending and self._pending[0][0] <= now:
            endpoint = heapq.heappop(self._pending)[2]
            known = self.endpoints.get(endpoint.name)
            if known is None or known.since_ms <= endpoint.since_ms:  # else it tells of an earlier process
                found.append(endpoint)
        if found:
            self.version += 1
            for endpoint in found:
                self._changed[endpoint.name] = self.version
                here, there = self.endpoints, self._gone
                if endpoint.status == "Gone":
                    here, there = there, here
                here[endpoint.name] = endpoint
                there.pop(endpoint.name, None)
            for name in [name for name, at in self._changed.items() if at <= self.version - HISTORY]:
                del self._changed[name]
                self._gone.pop(name, None)
        return found

    # calls
    def turn(self, now: float, lines: int) -> float | None:
        """When a call that comes now is answered; None: it would wait too long."""
        begins = max(now, self._busy_until)
        if begins - now > self.patience:
            return None
        self._busy_until = begins + (self.call_lines + lines) / self.lines_per_s
        return self._busy_until

    def whole(self) -> Listing:
        return Listing(
            self.version, True, tuple(e for e in self.endpoints.values() if not self._omits(e.name))
        )

    def since(self, version: int) -> Listing:
        """The changes after a version, or the whole list where it can't tell them."""
        if not self.version - HISTORY < version <= self.version:
            return self.whole()
        changed = [name for name, at in self._changed.items() if at > version]
        found = tuple(self.endpoints.get(name) or self._gone[name] for name in changed)
        return Listing(self.version, False, found)

    def _omits(self, name: str) -> bool:
        if not self.left_out:
            return False
        return hashlib.blake2b(name.encode(), digest_size=2).digest()[0] < self.left_out * 256
