"""Times the routing package: look-ups, reading, checking, building, memory.

    python benchmarks/routing.py [--json]

Prints one line per kind and number of routes. The figures in docs/routing.md come from it.
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
from gladegw.routing.model import RequestView
from gladegw.routing.read import read_text

SIZES = (10, 500, 5000)
HOSTS, AREAS = 50, 40
REQUESTS, ROUNDS = 2000, 7
APPS, ROUTES = 200, 25


def table_text(routes: int, kind: str) -> str:
    """Routes by host and prefix. Kind `header` adds a header matcher, kind `regex` replaces the prefix."""
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
    started = time.perf_counter()
    description = read_text(text, "routes.hcl")
    read_done = time.perf_counter()
    tracemalloc.start()
    table = Table(description)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    check_started = time.perf_counter()
    findings = check_table(table)
    check_done = time.perf_counter()
    random_source = random.Random(1)
    headers = [(b"host", b"s"), (b"x-side", b"south"), (b"x-caller", b"dash")]
    requests = []
    for _ in range(REQUESTS):
        number = random_source.randrange(routes)
        target = f"/app{number % AREAS}/area{number}/12/x?y=1"
        requests.append(RequestView("GET", target, f"s{number % HOSTS}.example:8080", headers, 500.0))
    assert all(table.find(request) for request in requests) and not findings
    best_lookup = float("inf")
    for _ in range(ROUNDS):
        start = time.perf_counter()
        for request in requests:
            table.find(request)
        best_lookup = min(best_lookup, (time.perf_counter() - start) / REQUESTS)
    best_request = float("inf")  # includes creating the RequestView, as the proxy does for each request
    for _ in range(ROUNDS):
        start = time.perf_counter()
        for request in requests:
            table.find(RequestView("GET", request.path, request.host, headers, 500.0))
        best_request = min(best_request, (time.perf_counter() - start) / REQUESTS)
    return {
        "kind": kind,
        "routes": routes,
        "lookup_us": round(best_lookup * 1e6, 2),
        "request_us": round(best_request * 1e6, 2),
        "lookups_per_s": round(1 / best_lookup),
        "read_s": round(read_done - started, 3),
        "check_s": round(check_done - check_started, 3),
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
    read_done = time.perf_counter()
    findings += [finding for finding in check(landscape) if finding.code != "R302"]
    check_done = time.perf_counter()
    files = [sidecar_file(app, sidecar(app, landscape)) for app in landscape.apps]
    end = time.perf_counter()
    assert not findings, findings[0]
    return {
        "apps": len(files),
        "routes": sum(1 for _ in landscape.routes()),
        "read_s": round(read_done - start, 2),
        "check_s": round(check_done - read_done, 2),
        "build_s": round(end - check_done, 2),
        "whole_s": round(end - start, 2),
        "kb": sum(len(text) for _, text in files) // 1024,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    lookup_rows = [lookups(routes, kind) for kind in ("prefix", "header", "regex") for routes in SIZES]
    build_row = build()
    if parser.parse_args().json:
        print(json.dumps({"lookups": lookup_rows, "landscape": build_row}))
        return
    for row in [*lookup_rows, build_row]:
        print("  ".join(f"{key} {value}" for key, value in row.items()))


if __name__ == "__main__":
    main()
