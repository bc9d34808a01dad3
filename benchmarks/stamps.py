"""Times what the block `policy` adds to a request: the gate, and a stamp read or written.

    python benchmarks/stamps.py [--json]

The figures in docs/policy.md come from it.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from statistics import median
from types import SimpleNamespace
from typing import Any

from gladegw.control.clock import boot_time
from gladegw.coordination.policy_epochs import HEADER
from gladegw.coordination.serving_lease import ServingLease
from gladegw.net.features import PolicySettings
from gladegw.net.policy_router import PolicyRouter

ASKS, ROUNDS = 20_000, 9
HEADERS = [(b"host", b"x"), (b"x-call-id", b"c1"), (b"x-budget", b"2000m"), (b"accept", b"*/*")]
DIGEST = "d1c5055d92f92dd5bc9fddab"


def pools() -> Any:
    """What routes, at no cost of its own."""

    def route_by(*asked: Any) -> Any:
        return SimpleNamespace(pool="back", headers=list(asked[3]))

    return SimpleNamespace(
        current="table", route_by=route_by, activate=lambda *_: None, retain=lambda *_: None
    )


def stamped(**settings: Any) -> PolicyRouter:
    gate = ServingLease(boot_time)
    gate.until = boot_time() + 3600
    made = PolicyRouter(pools(), gate, PolicySettings(**settings), False)
    made.activate(7, DIGEST, ("table", ""))  # type: ignore[arg-type]
    return made


def microseconds(ask: Callable[[], Any]) -> float:
    found = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(ASKS):
            ask()
        found.append((time.perf_counter() - began) * 1e6 / ASKS)
    return round(median(found), 3)


def main() -> None:
    bare, plain = pools(), stamped()
    both = stamped(stamp_pools=("back",), stamp_from=("10.0.0.0/8",))
    told = [*HEADERS, (HEADER, f"7-{DIGEST}".encode())]

    def source() -> str:
        return "10.1.2.3"

    figures = {
        "route alone": microseconds(
            lambda: bare.route_by("table", b"GET", b"/status/1", HEADERS, 2.0, source)
        ),
        "gate, no stamps": microseconds(lambda: plain(b"GET", b"/status/1", HEADERS, 2.0, source)),
        "gate, stamp written": microseconds(lambda: both(b"GET", b"/status/1", HEADERS, 2.0, source)),
        "gate, stamp read and written": microseconds(lambda: both(b"GET", b"/status/1", told, 2.0, source)),
    }
    if "--json" in sys.argv:
        print(json.dumps(figures))
        return
    for name, value in figures.items():
        print(f"{name:<30} {value:.3f} us")


if __name__ == "__main__":
    main()
