"""Times the routing package: look-ups, reading, checking, building, memory.

    python benchmarks/routing.py [--json]

Prints one line a size. The figures in docs/routing.md come from it.
"""

from __future__ import annotations

import argparse
import json
import random
import time
import tracemalloc
from typing import Any

from gladegw.apps.check import check
from gladegw.apps.read import read_texts
from gladegw.apps.sidecar import sidecar
from gladegw.apps.write import sidecar_file
from gladegw.routing.checks import check_table
from gladegw.routing.matcher import Table
from gladegw.routing.model import Ask
from gladegw.routing.read import read_text

SIZES = (10, 500, 5000)
HOSTS, AREAS = 50, 40
ASKS, ROUNDS = 2000, 7
APPS, ROUTES = 200, 25


def table_text(routes: int, kind: str) -> str:
    """Routes by host and prefix; `header` and `regex` are what the last part of their names says."""
    out = ['pool "p" {}']
    for number in range(routes):
        host = f'  host = "s{number % HOSTS}.example"\n' if number % 2 else ""
        path = f"/app{number % AREAS}/area{number}"
        match = f'  prefix = "{path}"\n'
        if kind == "regex":
            match = f'  regex = "{path}/[0-9]+/x"\n'
        elif kind == "header":
            match += '  header "x-side" { is = "south" }\n'
        out.append(f'route "r{number}" {{\n{host}{match}  pool = "p"\n}}')
    return "\n".join(out) + "\n"


def lookups(routes: int, kind: str) -> dict[str, Any]:
    text = table_text(routes, kind)
    begun = time.perf_counter()
    description = read_text(text, "routes.hcl")
    read = time.perf_counter()
    tracemalloc.start()
    table = Table(description)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    before = time.perf_counter()
    findings = check_table(table)
    checked = time.perf_counter()
    draws = random.Random(1)
    headers = [(b"host", b"s"), (b"x-side", b"south"), (b"x-caller", b"dash")]
    asks = []
    for _ in range(ASKS):
        number = draws.randrange(routes)
        target = f"/app{number % AREAS}/area{number}/12/x?y=1"
        asks.append(Ask("GET", target, f"s{number % HOSTS}.example:8080", headers, 500.0))
    assert all(table.find(ask) for ask in asks) and not findings
    best = float("inf")
    for _ in range(ROUNDS):
        start = time.perf_counter()
        for ask in asks:
            table.find(ask)
        best = min(best, (time.perf_counter() - start) / ASKS)
    whole = float("inf")  # with making the request's view, as the front does
    for _ in range(ROUNDS):
        start = time.perf_counter()
        for ask in asks:
            table.find(Ask("GET", ask.path, ask.host, headers, 500.0))
        whole = min(whole, (time.perf_counter() - start) / ASKS)
    return {
        "kind": kind,
        "routes": routes,
        "lookup_us": round(best * 1e6, 2),
        "request_us": round(whole * 1e6, 2),
        "lookups_per_s": round(1 / best),
        "read_s": round(read - begun, 3),
        "check_s": round(checked - before, 3),
        "table_kb": memory // 1024,
    }


def landscape_text(number: int) -> str:
    calls = [f"app{(number + step) % APPS}" for step in (1, 7) if number + step < APPS]
    out = [f'app "app{number}" {{\n  owner = "team {number % 9}"\n  calls = {json.dumps(calls)}\n}}']
    if number == 0:
        out += [f'class "c{cls}" {{\n  aim_ms = 100\n  timeout_ms = 1000\n}}' for cls in range(ROUTES)]
    out.append(f'pool "pool{number}" {{ names = ["a{number}-*"] }}')
    out += [
        f'route "c{cls}" {{\n  host = "app{number}.example"\n  prefix = "/c{cls}"\n'
        f'  pool = "pool{number}"\n}}'
        for cls in range(ROUTES)
    ]
    return "\n".join(out) + "\n"


def build() -> dict[str, Any]:
    texts = {f"app{number:03}.hcl": landscape_text(number) for number in range(APPS)}
    texts["platform.hcl"] = "platform { attempts_over_tiers = 10000 }\n"
    start = time.perf_counter()
    findings: list[Any] = []
    landscape = read_texts(texts, findings)
    read = time.perf_counter()
    findings += [found for found in check(landscape) if found.code != "R302"]
    checked = time.perf_counter()
    files = [sidecar_file(app, sidecar(app, landscape)) for app in landscape.apps]
    end = time.perf_counter()
    assert not findings, findings[0]
    return {
        "apps": len(files),
        "routes": sum(1 for _ in landscape.routes()),
        "read_s": round(read - start, 2),
        "check_s": round(checked - read, 2),
        "build_s": round(end - checked, 2),
        "whole_s": round(end - start, 2),
        "kb": sum(len(text) for _, text in files) // 1024,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    found = [lookups(routes, kind) for kind in ("prefix", "header", "regex") for routes in SIZES]
    made = build()
    if parser.parse_args().json:
        print(json.dumps({"lookups": found, "landscape": made}))
        return
    for one in [*found, made]:
        print("  ".join(f"{key} {value}" for key, value in one.items()))


if __name__ == "__main__":
    main()
