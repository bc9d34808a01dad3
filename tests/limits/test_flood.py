"""Clients are served during floods of silent, dripping, and repeatedly reconnecting peers."""

from __future__ import annotations

import json
import sys

import pytest
from support.loopback import Backend, proxy, run

from gladegw.rig import process
from gladegw.rig.traffic import flood

RATE, DEADLINE = 100.0, 1.0  # requests per second; seconds


def request_bytes(number: int) -> bytes:
    return f"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: {number:016x}\r\nX-Budget: 1000m\r\n\r\n".encode()


async def serve_during_flood(manner: str, count: int, requests: int) -> flood.Known:
    async with proxy({f"s-{n}": Backend() for n in range(6)}, sockets=256) as node:
        target = f"127.0.0.1:{node.address[1]}"
        flood_process = None
        if count:
            flood_process = await flood.start(flood.Plan(manner=manner, target=target, count=count))
        try:
            return await flood.known(
                target, [request_bytes(number) for number in range(requests)], RATE, DEADLINE
            )
        finally:
            if flood_process is not None:
                await process.end(flood_process)


@pytest.mark.parametrize(("manner", "count"), [("silent", 3000), ("drip", 3000), ("churn", 200)])
def test_a_known_client_is_served_beside_a_crowd_that_stays(manner: str, count: int) -> None:
    async def test() -> None:
        outcome = await serve_during_flood(manner, count, 300)
        assert outcome.codes.get(200, 0) >= 285, outcome.codes

    run(test())


if __name__ == "__main__":

    async def measure() -> None:
        for manner, count in (("silent", 3000), ("drip", 3000), ("churn", 200), ("none", 0)):
            outcome = await serve_during_flood(manner, count, 800)
            row = {
                "manner": manner,
                "codes": outcome.codes,
                "p50_ms": round(1000 * outcome.quantile(0.5), 1),
                "p99_ms": round(1000 * outcome.quantile(0.99), 1),
            }
            print(json.dumps(row), file=sys.stdout, flush=True)

    run(measure())
