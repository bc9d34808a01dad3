"""Requests of a client that has closed its connection are not begun, and one that may have run runs once."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.loopback import Backend, Caller, Seen, proxy, response, run

from gladegw.limits.abandoned_ids import RETENTION_S, AbandonedIds

PIPELINED = 30
CLIENTS = 20
START_INTERVAL_S = 0.1  # between two clients
WORK_S = 0.05
BEGUN_WITHIN_S = 0.1  # of the close of the client's connection
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REPEATS = 20
REFUSALS = (429, 503)  # these say that the request never ran


def request_bytes(number: int) -> bytes:
    return b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget: 4000m\r\n\r\n" % number


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("size", [10, 200_000], ids=["small-answers", "large-answers"])
def test_requests_that_wait_when_their_client_closes_are_not_begun(size: int, reset: bool) -> None:
    """Guards against requests sent on for a client that left with its answers unread (a22a10, picture c)."""

    async def test() -> None:
        begun: dict[int, float] = {}
        closed: dict[int, float] = {}

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            begun[int(seen.headers["x-call-id"], 16)] = time.monotonic()
            await asyncio.sleep(WORK_S)
            writer.write(response(200, b"x" * size))

        async def leave(caller: Caller, client: int) -> None:
            await asyncio.sleep(client * START_INTERVAL_S)
            caller.writer.write(b"".join(request_bytes(client * 100 + n) for n in range(PIPELINED)))
            await asyncio.sleep(2.5 * WORK_S)
            if reset:
                connection = caller.writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            caller.writer.transport.abort()
            closed[client] = time.monotonic()

        async with proxy({f"s-{n}": Backend(behave) for n in range(2)}) as node:
            callers = [await node.caller(limit=1024) for _ in range(CLIENTS)]
            await asyncio.gather(*(leave(caller, client) for client, caller in enumerate(callers)))
            await asyncio.sleep(2.0)
        late = [number for number, at in begun.items() if at > closed[number // 100] + BEGUN_WITHIN_S]
        assert not late
        assert len(begun) >= CLIENTS

    run(test())


@pytest.mark.parametrize("cls", ["canje", "reserva"])
def test_a_request_whose_client_left_runs_once_though_its_id_comes_again(cls: str) -> None:
    """Guards against an id that runs twice when it comes again after its client left (a22a10, picture c)."""

    async def test() -> None:
        runs: dict[str, int] = {}
        arrived: asyncio.Queue[str] = asyncio.Queue()

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            number = seen.headers["x-call-id"]
            runs[number] = runs.get(number, 0) + 1
            arrived.put_nowait(number)
            await asyncio.sleep(WORK_S)
            writer.write(response(200, b"done"))

        codes = []
        async with proxy({f"s-{n}": Backend(behave) for n in range(2)}) as node:
            for number in range(REPEATS):
                identifier = f"{number:016x}"
                first = await node.caller()
                first.send(cls, identifier, budget="3000m")
                await arrived.get()
                first.writer.transport.abort()
                await asyncio.sleep(0.02 if number % 2 else 2 * WORK_S)
                again = await node.caller()
                codes.append((await again.call(cls, identifier, budget="3000m")).code)
                again.writer.close()
        assert max(runs.values()) == 1, runs
        assert not set(codes) & set(REFUSALS), codes

    run(test())


def test_an_idempotent_request_whose_client_left_is_served_when_it_comes_again() -> None:
    async def test() -> None:
        arrived = asyncio.Event()

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            arrived.set()
            await asyncio.sleep(WORK_S)
            writer.write(response(200, b"done"))

        async with proxy({"s-1": Backend(behave)}) as node:
            first = await node.caller()
            first.send("stock", "a" * 16)
            await arrived.wait()
            first.writer.transport.abort()
            await asyncio.sleep(2 * WORK_S)
            assert (await (await node.caller()).call("stock", "a" * 16)).code == 200

    run(test())


@given(st.lists(st.tuples(st.binary(min_size=1, max_size=2), st.floats(0.0, 10.0)), max_size=30))
def test_ids_are_remembered_for_their_time_and_in_bounded_number(steps: list[tuple[bytes, float]]) -> None:
    ids, now, added = AbandonedIds(max_ids=5), 100.0, {}
    for identifier, delay in steps:
        now += delay
        ids.add(identifier, now)
        added[identifier] = now
        assert ids.contains(identifier, now)
        assert len(ids) <= 5
    for identifier, at in added.items():
        if now >= at + RETENTION_S:
            assert not ids.contains(identifier, now)
    assert not ids.contains(b"never", now)
