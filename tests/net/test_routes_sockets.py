"""Tests of routes and pools in the proxy process: route actions, draining pools, reloads, captures."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.loopback import (
    PATIENCE,
    Backend,
    Discovery,
    Proxy,
    Seen,
    config,
    endpoint,
    listing,
    proxy,
    response,
    run,
)

from gladegw.net.config import load
from gladegw.net.features import RoutesSettings
from gladegw.net.request import read_head
from gladegw.net.route_tables import build_table
from gladegw.net.routes import DiscardedResponse, PoolRouter
from gladegw.net.shared_resources import PendingRequest
from gladegw.replay import differences
from gladegw.routing.findings import RoutingError
from gladegw.routing.split import hasher

POOLS = """
pool "south" { names = ["s-*"] }
pool "north" { names = ["n-*"] }
pool "none"  { names = ["x-*"] }
"""
TABLE = """
route "stock-south" {
  prefix = "/stock"
  header "x-side" { is = "south" }
  pool = "south"
}
route "stock" {
  prefix = "/stock"
  pool = "north"
}
route "closed" {
  path = "/stock/closed"
  answer {
    code = 503
    body = "closed for the night"
    retry_after = 7
  }
}
route "moved" {
  path = "/old"
  redirect {
    code = 308
    location = "https://new.example{path}{query}"
  }
}
route "edited" {
  prefix = "/stock/edited"
  pool = "north"
  edit_headers {
    put = { "x-kept" = "new" }
    add = { "x-more" = "1" }
    drop = ["x-secret"]
  }
}
route "renamed" {
  prefix = "/v2/stock"
  rewrite = "/stock"
  class = "stock"
  pool = "north"
}
route "empty" {
  prefix = "/stock/empty"
  pool = "none"
}
route "saved" {
  prefix = "/stock/saved"
  pool = "none"
  fallback = ["south"]
}
route "mirrored" {
  prefix = "/stock/mirrored"
  pool = "north"
  mirror { pool = "south" }
}
route "hurried" {
  prefix = "/stock/hurried"
  pool = "north"
  timeout_ms = 150
  attempts = 1
}
routes { unchanged = false }
"""


def get_request(target: str, id: str, **headers: str) -> bytes:
    lines = [f"GET {target} HTTP/1.1", "Host: x", f"X-Call-Id: {id}", "X-Budget: 1000m"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@contextlib.asynccontextmanager
async def routing_proxy(
    tmp_path: Path, table: str, backends: dict[str, Backend], extra: str = "", mirrors: int = 64, **more: Any
) -> AsyncIterator[tuple[Proxy, Path]]:
    """Start a proxy with a route table; yields the proxy and the path of its route file."""
    file = tmp_path / "routes.hcl"
    file.write_text(POOLS + table, encoding="utf-8")
    features = f'routes {{\n  file = "{file}"\n  watch_ms = 50\n  mirrors = {mirrors}\n}}\n{extra}'
    async with proxy(backends, features=features, **more) as node:
        yield node, file


def backend_answering(name: str) -> Backend:
    """A backend that responds to each request with 200 and `name`."""

    async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
        writer.write(response(200, name.encode()))

    return Backend(behave)


def test_each_action_of_a_route(tmp_path: Path) -> None:
    async def respond_unless_hurried(seen: Seen, writer: asyncio.StreamWriter) -> None:
        if seen.target.startswith("/stock/hurried"):
            return
        writer.write(response(200, b"north"))

    async def test() -> None:
        north, south = Backend(respond_unless_hurried), backend_answering("south")
        async with routing_proxy(tmp_path, TABLE, {"n-1": north, "s-1": south}) as (node, _):
            caller = await node.caller()

            async def send(target: str, id: str, **headers: str) -> tuple[int, bytes, dict[str, str]]:
                reply = await caller.raw(get_request(target, id, **headers))
                return reply.code, reply.body, reply.headers

            assert (await send("/stock/1", "01"))[:2] == (200, b"north")
            assert (await send("/stock/1", "02", x_side="south"))[:2] == (200, b"south")
            code, body, headers = await send("/stock/closed", "03")
            assert (code, body, headers["retry-after"]) == (503, b"closed for the night\n", "7.000")
            code, _, headers = await send("/old?a=1", "04")
            assert (code, headers["location"]) == (308, "https://new.example/old?a=1")
            assert (await send("/nowhere", "05"))[0] == 404
            while not north.calls.empty():
                north.calls.get_nowait()
            assert (await send("/stock/edited", "06", x_kept="old", x_secret="s"))[0] == 200
            seen = await north.calls.get()
            assert (seen.headers["x-kept"], seen.headers["x-more"]) == ("new", "1")
            assert "x-secret" not in seen.headers
            assert (await send("/v2/stock/7?q=2", "07"))[0] == 200
            assert (await north.calls.get()).target == "/stock/7?q=2"
            code, body, headers = await send("/stock/empty", "08")
            assert (code, float(headers["retry-after"])) == (503, 1.0)
            assert (await send("/stock/saved", "09"))[:2] == (200, b"south")
            while not south.calls.empty():
                south.calls.get_nowait()
            assert (await send("/stock/mirrored", "0a"))[:2] == (200, b"north")
            async with asyncio.timeout(PATIENCE):
                assert (await south.calls.get()).headers["x-call-id"] == "0a"
            before = north.count
            code, body, _ = await send("/stock/hurried", "0b")
            # The route allows one attempt, although a GET may be retried.
            assert code in (502, 503, 504) and north.count == before + 1

    run(test())


def test_a_pool_whose_members_all_drain_gets_no_new_requests_and_its_fallback_gets_them(
    tmp_path: Path,
) -> None:
    table = 'route "r" {\n prefix = "/stock"\n pool = "south"\n fallback = ["north"]\n}\n'

    async def test() -> None:
        backends = {f"s-{n}": backend_answering("south") for n in range(4)} | {
            "n-1": backend_answering("north")
        }
        discovery = await Discovery().start()
        async with routing_proxy(tmp_path, table, backends, discovery=discovery) as (node, _):
            caller = await node.caller()
            assert (await caller.raw(get_request("/stock", "01"))).body == b"south"
            draining = [endpoint(n, b.address, "Terminating") for n, b in backends.items() if n != "n-1"]
            discovery.put(2, *draining)
            number, bodies = 1, [b"south"]
            async with asyncio.timeout(PATIENCE):
                while bodies[-1] != b"north":
                    number += 1
                    reply = await caller.raw(get_request("/stock", f"{number:04x}"))
                    assert reply.code == 200
                    bodies.append(reply.body)
            counts = [backend.count for name, backend in backends.items() if name != "n-1"]
            for _ in range(50):
                number += 1
                assert (await caller.raw(get_request("/stock", f"{number:04x}"))).body == b"north"
            assert [b.count for name, b in backends.items() if name != "n-1"] == counts
            discovery.put(3, endpoint("s-0", backends["s-0"].address))
            async with asyncio.timeout(PATIENCE):
                while (await caller.raw(get_request("/stock", f"{number:04x}"))).body != b"south":
                    number += 1

    run(test())


def test_a_reload_under_load_loses_no_request_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    def table(pool: str) -> str:
        return f'route "r" {{\n prefix = "/stock"\n pool = "{pool}"\n}}\n'

    async def respond_slowly(seen: Seen, writer: asyncio.StreamWriter, name: str) -> None:
        await asyncio.sleep(0.02)
        writer.write(response(200, name.encode()))

    async def test() -> None:
        backends = {
            "s-1": Backend(lambda seen, writer: respond_slowly(seen, writer, "south")),
            "n-1": Backend(lambda seen, writer: respond_slowly(seen, writer, "north")),
        }
        async with routing_proxy(tmp_path, table("south"), backends) as (node, file):
            running, sent = True, [0]
            bodies_by_worker: list[list[bytes]] = []

            async def load(worker: int) -> None:
                caller = await node.caller()
                bodies: list[bytes] = []
                bodies_by_worker.append(bodies)
                while running:
                    sent[0] += 1
                    reply = await caller.raw(get_request("/stock", f"{worker:02x}{sent[0]:010x}"))
                    assert reply.code == 200, reply.body
                    bodies.append(reply.body)

            loads = [asyncio.create_task(load(worker)) for worker in range(8)]
            await node.line("generation 1", "in use")

            async def replace_file(text: str, *log_parts: str) -> str:
                part = file.with_suffix(".part")
                part.write_text(POOLS + text, encoding="utf-8")
                part.replace(file)
                return await node.line(*log_parts)

            await replace_file(table("north"), "generation 2", "3 pools kept, 0 begun, 0 ended")
            complete = POOLS + table("south")
            file.write_text(complete[: len(complete) - 9], encoding="utf-8")  # as if half written
            line = await node.line("generation 2 remains active", "R001")
            assert f"{file}:" in line
            await replace_file(
                table("nowhere"), "generation 2 remains active", "R201 route r: unknown pool nowhere"
            )
            node.process.send_signal(signal.SIGHUP)  # the same invalid file is not logged again
            stderr = node.process.stderr
            assert stderr is not None
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.5):
                    while b"routes:" not in await stderr.readline():
                        pass
            wide = table("south").replace("route", 'pool "wide" { names = ["s-*", "n-*"] }\nroute', 1)
            line = await replace_file(wide.replace('pool = "south"', 'pool = "wide"'), "routes:")
            assert "generation 3" in line and "1 begun" in line, "an invalid file is logged once"
            await replace_file(table("south"), "generation 4", "1 ended")
            await asyncio.sleep(0.2)
            running = False
            await asyncio.gather(*loads)
            for bodies in bodies_by_worker:  # each worker sends its requests in sequence
                changes = [after for before, after in pairwise(bodies) if before != after]
                assert bodies[0] == b"south" and changes[0] == b"north" and bodies[-1] == b"south"

    run(test())


def test_a_capture_records_routes_and_replays_without_differences(tmp_path: Path) -> None:
    split = """
    route "r" {
      prefix = "/stock"
      split {
        by = "header:x-caller"
        weights = { south = 60, north = 40 }
      }
    }
    """
    folder = tmp_path / "capture"
    folder.mkdir()

    async def test() -> None:
        backends = {"s-1": backend_answering("south"), "n-1": backend_answering("north")}
        extra = f'capture {{\n  dir = "{folder}"\n}}\n'
        async with routing_proxy(tmp_path, split, backends, extra) as (node, file):
            caller = await node.caller()
            bodies_by_client: dict[str, set[bytes]] = {}
            for number in range(60):
                client = f"c{number % 20}"
                reply = await caller.raw(get_request("/stock", f"{number:04x}", X_Caller=client))
                bodies_by_client.setdefault(client, set()).add(reply.body)
                if number == 30:  # change the weights between requests of the same clients
                    file.write_text(POOLS + split.replace("60", "75").replace("40", "25"), encoding="utf-8")
                    await node.line("generation 2")
            moved = {client for client, bodies in bodies_by_client.items() if len(bodies) > 1}
            assert len({body for bodies in bodies_by_client.values() for body in bodies}) == 2
            assert len(moved) <= 8
            node.terminate()
            assert await node.code() == 0

    run(test())
    (path,) = folder.glob("*.jsonl")
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    records = [line["route"] for line in lines if line["kind"] == "req"]
    assert {record["generation"] for record in records} == {1, 2} and {
        record["pool"] for record in records
    } == {
        "south",
        "north",
    }
    assert list(differences(str(path))) == []
    altered = path.read_text().replace("south = 75", "south = 0.01")
    path.write_text(altered)
    found = [difference for _, difference in differences(str(path))]
    assert found and all(recorded.startswith("route:r:south") for recorded, _ in found)


@pytest.mark.parametrize(
    "table, code",
    [
        ('route "r" {\n pool = "nowhere"\n}', "R201"),
        ('route "r" {\n prefix = "/canje"\n pool = "south"\n mirror { pool = "north" }\n}', "R402"),
        ('route "r" {\n class = "stok"\n pool = "south"\n}', "R202"),
        ('route "a" { pool = "south" }\nroute "b" { pool = "north" }', "R101"),
    ],
)
def test_an_invalid_file_prevents_the_start_and_its_fault_is_reported(
    table: str, code: str, tmp_path: Path
) -> None:
    async def test() -> None:
        with pytest.raises(AssertionError, match=f"routes.hcl:[0-9]+:[0-9]+: {code} "):
            async with routing_proxy(tmp_path, table, {"s-1": backend_answering("south")}):
                pass

    run(test())


def test_mirrored_copies_are_bounded_and_delay_neither_responses_nor_shutdown(tmp_path: Path) -> None:
    async def never_respond(seen: Seen, writer: asyncio.StreamWriter) -> None:
        pass

    async def test() -> None:
        north, south = backend_answering("north"), Backend(never_respond)
        table = TABLE.replace('prefix = "/stock/mirrored"', 'prefix = "/stock/mirrored"\n  timeout_ms = 900')
        async with routing_proxy(tmp_path, table, {"n-1": north, "s-1": south}, mirrors=2) as (node, _):
            caller = await node.caller()
            for number in range(12):
                assert (await caller.raw(get_request("/stock/mirrored", f"{number:04x}"))).body == b"north"
            assert 1 <= south.count <= 2
            node.terminate()  # does not wait for the open copies
            assert await node.code() == 0

    run(test())


def test_an_unchanged_pool_keeps_its_driver_and_a_changed_one_gets_a_new_one(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config("127.0.0.1:1", {}, "127.0.0.1:2")))
    first_table = POOLS + 'route "r" {\n prefix = "/stock"\n pool = "south"\n}\n'
    (tmp_path / "routes.hcl").write_text(first_table)

    async def test() -> None:
        settings = RoutesSettings(file=str(tmp_path / "routes.hcl"))
        pools = PoolRouter(settings, load({"EDGE_CONFIG": str(path)}))
        before = {name: served.driver for name, served in pools.current.served.items()}
        changed = first_table.replace('names = ["n-*"]', 'names = ["m-*"]').replace(
            'pool "none"', 'pool "nobody"'
        )
        (tmp_path / "routes.hcl").write_text(changed)
        await pools.reload()
        after = {name: served.driver for name, served in pools.current.served.items()}
        assert pools.current.number == 2 and set(after) == {"south", "north", "nobody"}
        assert after["south"] is before["south"] and not before["south"].retired
        assert after["north"] is not before["north"] and before["north"].retired and before["none"].retired
        pools.stop()

    run(test())


def test_a_table_that_needs_a_missing_library_is_rejected_when_it_is_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    text = 'pool "p" { subset = 3 }\nroute "r" { pool = "p" }\n'
    build_table(text, "f.hcl", [])
    hasher.cache_clear()
    monkeypatch.setitem(sys.modules, "xxhash", None)
    with pytest.raises(RoutingError, match="f.hcl:1:1: R008 .* need xxhash"):
        build_table(text, "f.hcl", [])
    monkeypatch.undo()
    hasher.cache_clear()


TABLE_VARIANTS = st.sampled_from(["south", "north", "wide"])


@settings(max_examples=15, deadline=None)
@given(st.lists(st.tuples(TABLE_VARIANTS, st.integers(1, 4), st.booleans()), min_size=1, max_size=5))
def test_any_sequence_of_reloads_answers_each_request_once_by_the_table_that_routed_it(
    steps: list[tuple[str, int, bool]],
) -> None:
    """A request that is read before a reload and forwarded after it is served by the table that routed it.

    Backends refuse every connection, so that each request is answered soon.
    """
    endpoints = [endpoint(name, "127.0.0.1:1") for name in ("s-1", "n-1")]

    class RecordedResponse(DiscardedResponse):
        def __init__(self) -> None:
            self.codes: list[int] = []

        def answer(self, code: int, headers: Any, body: bytes) -> None:
            self.codes.append(code)

    def table(variant: str) -> str:
        names = '["s-*", "n-*"]' if variant == "wide" else f'["{variant[0]}-*"]'
        return f'pool "p" {{ names = {names} }}\nroute "to-{variant}" {{ pool = "p" }}\n'

    async def run_steps(folder: Path) -> None:
        path, file = folder / "config.json", folder / "routes.hcl"
        path.write_text(json.dumps(config("127.0.0.1:1", listing(1, *endpoints), "127.0.0.1:2")))
        file.write_text(table("south"))
        pools = PoolRouter(RoutesSettings(file=str(file)), load({"EDGE_CONFIG": str(path)}))
        pools.start()
        replies: list[RecordedResponse] = []
        variant = "south"
        for next_variant, count, after_reload in steps:
            waiting = []
            for _ in range(count):
                id = f"{len(replies):x}".encode()
                headers = [(b"x-call-id", id), (b"x-budget", b"600m")]
                request = read_head(b"GET", b"/stock", headers, time.monotonic(), pools.effects, pools.route)
                assert request.routed is not None and request.routed.route.name == f"to-{variant}"
                replies.append(RecordedResponse())
                if after_reload:
                    waiting.append((request, replies[-1]))
                else:
                    pools.on_request(request, replies[-1])
            file.write_text(table(next_variant))
            await pools.reload()
            variant = next_variant
            for request, reply in waiting:
                call = pools.on_request(request, reply)
                assert isinstance(call, PendingRequest) and request.routed is not None
                assert call.driver is request.routed.table["p"].driver
        async with asyncio.timeout(PATIENCE):
            while pools.calls:
                await asyncio.sleep(0.02)
        assert [len(reply.codes) for reply in replies] == [1] * len(replies)
        assert all(reply.codes[0] in (502, 503, 504) for reply in replies)
        pools.stop()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run_steps(Path(folder)))
