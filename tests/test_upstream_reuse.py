"""Which kept connection to a backend carries the next request, and which one must not."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

import pytest
from netkit import PATIENCE, Backend, Seen, endpoint, listing, proxy, response, run, serve_ok

from granitepoint.interface import Status
from granitepoint.net.discovery import read_listing
from granitepoint.net.exchange import Exchange
from granitepoint.net.upstream import REST, Upstreams

REQUEST = b"GET /stock HTTP/1.1\r\nX-Call-Id: %d\r\n\r\n"


def test_a_second_answer_that_comes_late_is_not_taken_for_that_of_the_next_request() -> None:
    """The backend answers once more when the next request has come, on the connection of the first."""

    async def test() -> None:
        first_writer: list[asyncio.StreamWriter] = []

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            if backend.count == 2:
                first_writer[0].write(response(200, b"done once more"))
            first_writer.append(writer)
            await serve_ok(seen, writer)

        backend = Backend(behave)
        async with proxy({"s-1": backend}) as node, asyncio.timeout(PATIENCE):
            caller = await node.caller()
            for number in range(5):
                answer = await caller.call("stock", f"{number:016x}")
                assert answer.body == b"done " + f"{number:016x}".encode()

    run(test())


async def used_connections(between: Callable[[Upstreams, Backend], None], most_open: int = 10) -> list[int]:
    """The backend's connections that carry a first request, and, after `between`, a second one."""
    backend = await Backend().start()
    upstreams = Upstreams(connect_timeout=PATIENCE, conn_idle=PATIENCE, most_open=most_open)
    upstreams.apply(read_listing(listing(1, endpoint("s-1", backend.address))))
    (upstream,) = upstreams.by_id.values()
    used = []
    for number in range(2):
        done: asyncio.Future[Exchange] = asyncio.get_running_loop().create_future()
        message = REQUEST % number
        upstreams.start(
            Exchange(upstream, lambda sent=message: sent, PATIENCE, lambda: True, done.set_result)  # type: ignore[misc]
        )
        async with asyncio.timeout(PATIENCE):
            assert (await done).status is Status.OK
            used.append((await backend.calls.get()).connection)
        if not number:
            between(upstreams, backend)
    await backend.stop()
    return used


def rest(upstreams: Upstreams, backend: Backend) -> None:
    for upstream in upstreams.by_id.values():
        for connection in upstream.idle:
            connection.idle_since -= REST


def send_half_a_line(upstreams: Upstreams, backend: Backend) -> None:
    """It is in this side's kernel, and not read, when the next request is sent."""
    rest(upstreams, backend)
    os.write(backend.writers[0].get_extra_info("socket").fileno(), b"HTTP/1.1 2")


def refuse_another(upstreams: Upstreams, backend: Backend) -> None:
    for upstream in upstreams.by_id.values():
        upstream.refused_at = asyncio.get_running_loop().time()


def nothing(upstreams: Upstreams, backend: Backend) -> None:
    pass


@pytest.mark.parametrize(
    ("between", "most_open", "used"),
    [
        (rest, 10, [1, 1]),
        (nothing, 10, [1, 2]),  # it has just answered
        (nothing, 1, [1, 1]),  # there may be no other
        (refuse_another, 10, [1, 1]),
        (send_half_a_line, 10, [1, 2]),
    ],
)
def test_a_connection_is_used_again_when_it_has_rested_and_is_silent(
    between: Callable[[Upstreams, Backend], None], most_open: int, used: list[int]
) -> None:
    async def test() -> None:
        assert await used_connections(between, most_open) == used

    run(test())
