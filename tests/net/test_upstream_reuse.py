"""Which kept connection to a backend carries the next request, and which one must not."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable

import pytest
from support.loopback import PATIENCE, Backend, Seen, endpoint, listing, response, run, serve_ok

from gladegw.balancing.events import Status
from gladegw.net.endpoint_lists import read_listing
from gladegw.net.upstream.connections import MIN_REST_S, UpstreamPool
from gladegw.net.upstream.exchange import Exchange

REQUEST = b"GET /stock HTTP/1.1\r\nX-Call-Id: %d\r\n\r\n"


class TwoRequests:
    """One backend, and two requests to it, one after another, with something between them."""

    def __init__(self, backend: Backend, most_open: int = 10) -> None:
        self.backend = backend
        self.upstreams = UpstreamPool(connect_timeout=PATIENCE, conn_idle=PATIENCE, max_connections=most_open)
        self.bodies: list[bytes] = []
        self.connections: list[int] = []

    async def play(self, between: Callable[[UpstreamPool, Backend], None]) -> None:
        await self.backend.start()
        self.upstreams.apply(read_listing(listing(1, endpoint("s-1", self.backend.address))))
        await self._send(0)
        between(self.upstreams, self.backend)
        await self._send(1)
        await self.backend.stop()

    async def _send(self, number: int) -> None:
        (upstream,) = self.upstreams.by_id.values()
        done: asyncio.Future[Exchange] = asyncio.get_running_loop().create_future()
        message = REQUEST % number
        self.upstreams.start(Exchange(upstream, lambda: message, PATIENCE, lambda: True, done.set_result))
        async with asyncio.timeout(PATIENCE):
            exchange = await done
            assert exchange.status is Status.OK
            self.bodies.append(exchange.body)
            self.connections.append((await self.backend.calls.get()).connection)


def test_a_second_answer_that_comes_late_is_not_taken_for_that_of_the_next_request() -> None:
    """The backend answers once more when the next request has come, on the connection of the first."""

    async def test() -> None:
        first_writer: list[asyncio.StreamWriter] = []

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            if first_writer:
                first_writer[0].write(response(200, b"done once more"))
            first_writer.append(writer)
            await serve_ok(seen, writer)

        played = TwoRequests(Backend(behave))
        await played.play(just_answered)
        assert played.bodies == [b"done 0", b"done 1"]

    run(test())


def rest(upstreams: UpstreamPool, backend: Backend) -> None:
    for upstream in upstreams.by_id.values():
        for connection in upstream.idle:
            connection.idle_since -= MIN_REST_S


def send_half_a_line(upstreams: UpstreamPool, backend: Backend) -> None:
    """It is in this side's kernel, and not read, when the next request is sent."""
    rest(upstreams, backend)
    os.write(backend.writers[0].get_extra_info("socket").fileno(), b"HTTP/1.1 2")


def refuse_another(upstreams: UpstreamPool, backend: Backend) -> None:
    just_answered(upstreams, backend)
    for upstream in upstreams.by_id.values():
        upstream.refused_at = time.monotonic()


def just_answered(upstreams: UpstreamPool, backend: Backend) -> None:
    """However busy this machine is."""
    for upstream in upstreams.by_id.values():
        for connection in upstream.idle:
            connection.idle_since = time.monotonic()


@pytest.mark.parametrize(
    ("between", "most_open", "used"),
    [
        (rest, 10, [1, 1]),
        (just_answered, 10, [1, 2]),  # it has just answered
        (just_answered, 1, [1, 1]),  # there may be no other
        (refuse_another, 10, [1, 1]),
        (send_half_a_line, 10, [1, 2]),
    ],
)
def test_a_connection_is_used_again_when_it_has_rested_and_is_silent(
    between: Callable[[UpstreamPool, Backend], None], most_open: int, used: list[int]
) -> None:
    async def test() -> None:
        played = TwoRequests(Backend(), most_open)
        await played.play(between)
        assert played.connections == used

    run(test())
