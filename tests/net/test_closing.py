"""Each request that was read gets its answer, whatever closes its connection; no close takes one."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest
from support.loopback import PATIENCE, Backend, Seen, proxy, run, serve_ok

from gladegw.balancing.events import Effect
from gladegw.net.downstream.connection import NO_HEADERS
from gladegw.net.downstream.server import DownstreamServer
from gladegw.net.interfaces import ResponseSink
from gladegw.net.request import Request
from gladegw.operators.request_counters import RequestCounters

LARGE = 4 << 20  # bytes of an answer that no socket's buffers hold


def request_line(number: int) -> bytes:
    return b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: %d\r\nX-Budget: 1000m\r\n\r\n" % number


class Recorder:
    """Stands in for the driver: keeps each request that is opened, and does with it as it is told."""

    def __init__(self, do: Callable[[ResponseSink], None] | None = None) -> None:
        self.do = do
        self.opened_requests: asyncio.Queue[Request] = asyncio.Queue()
        self.replies: list[ResponseSink] = []

    def on_request(self, request: Request, reply: ResponseSink) -> object:
        self.opened_requests.put_nowait(request)
        self.replies.append(reply)
        if self.do is not None:
            self.do(reply)
        return self

    def on_body_complete(self, call: Any) -> None:
        raise AssertionError("no request here has a large body")

    def on_disconnect(self, call: Any) -> None:
        pass


def callers_side(handler: Recorder) -> tuple[DownstreamServer, tuple[str, int]]:
    server = DownstreamServer(
        {"stock": Effect.IDEMPOTENT},
        handler,
        100,
        RequestCounters(["stock"]),
        lambda: True,
        memoryview(bytearray(65536)),
    )
    server.acceptor.listen("127.0.0.1", 0)
    (listener,) = server.acceptor.listeners
    return server, listener.getsockname()


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("ending", ["idle", "partial", "overdue", "evicted"])
@pytest.mark.parametrize("kept", [False, True])
def test_a_request_that_arrives_in_the_instant_of_a_close_is_answered(ending: str, kept: bool) -> None:
    """The bytes are in the kernel when the close is decided on: they are read first."""

    async def test() -> None:
        handler = Recorder(lambda reply: reply.answer(200, NO_HEADERS, b"done"))
        server, address = callers_side(handler)
        with socket.create_connection(address) as client:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # what is sent has arrived
            await until(lambda: len(server.connections) == 1)
            (connection,) = server.connections
            if kept:
                client.send(request_line(1))
                await handler.opened_requests.get()
                await until(lambda: connection.current is None)
            first, rest = request_line(2)[:10], request_line(2)[10:]
            if ending in ("partial", "overdue"):
                client.send(first)
                await until(lambda: connection.receiving)
            connection.changed_at -= 10.0  # its last answer, if there was one, is long ago
            connection.request_started_at -= 10.0
            connection.request_deadline.due_at = (
                time.monotonic() - 1.0 if ending == "overdue" else connection.request_deadline.due_at
            )
            client.send(rest if ending in ("partial", "overdue") else first + rest)
            close: dict[str, Callable[[], None]] = {
                "idle": server.close_idle,
                "partial": lambda: server.close_idle(partial=True),
                "overdue": server._sweep,
                "evicted": lambda: server._evict(1),
            }
            close[ending]()
            async with asyncio.timeout(PATIENCE):
                assert (await handler.opened_requests.get()).id == b"2"
        await server.acceptor.close()

    run(test())


def test_a_last_answer_arrives_whole_though_its_client_sends_on() -> None:
    """A close over the unread second request would reset the connection and take the rest of the answer."""

    async def test() -> None:
        def answer(reply: ResponseSink) -> None:
            client.send(request_line(2))
            reply.answer(200, NO_HEADERS, b"x" * LARGE)

        handler = Recorder(answer)
        server, address = callers_side(handler)
        server.drain()
        server.reads_until = 0.0  # it reads no further behind an open request
        with socket.create_connection(address) as client:
            client.send(request_line(1))
            await handler.opened_requests.get()
            reader, _ = await asyncio.open_connection(sock=client.dup())
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"connection: close" in head.lower()
            assert len(await reader.read()) == LARGE
            assert handler.opened_requests.empty()  # what came after the end was not taken
        await server.acceptor.close()

    run(test())


@pytest.mark.parametrize("ended", ["each answer", "drained"])
def test_all_that_was_read_is_answered_before_the_proxy_closes(ended: str) -> None:
    """Pipelined requests wait behind one that is being served when the proxy begins to leave."""

    async def test() -> None:
        answer_now = asyncio.Event()

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            await answer_now.wait()
            await serve_ok(seen, writer)

        backend = Backend(behave)
        async with proxy({"s-1": backend}) as node, asyncio.timeout(PATIENCE):
            caller, idle = await node.caller(), await node.caller()
            for number in range(5):
                caller.send("canje", f"{number:016x}", budget="6000m")
            await backend.calls.get()
            node.terminate()
            await idle.ended()  # from here on connections are closed
            answer_now.set()
            if ended == "each answer":
                answers = [await caller.answer() for _ in range(5)]
                assert [answer.code for answer in answers] == [200] * 5
                assert answers[-1].headers["connection"] == "close"
                assert await caller.ended()
            assert await node.code() == 0
            if ended == "drained":
                assert [(await caller.answer()).code for _ in range(5)] == [200] * 5

    run(test())


def test_answers_are_read_in_order_by_a_caller_of_these_tests() -> None:
    """`Caller.answer` reads one message at a time, so that the tests above count answers and not bytes."""

    async def test() -> None:
        async with proxy({"s-1": Backend()}) as node:
            caller = await node.caller()
            for number in range(3):
                caller.send("stock", f"{number:016x}")
            bodies = [(await caller.answer()).body for _ in range(3)]
            assert bodies == [b"done " + f"{number:016x}".encode() for number in range(3)]

    run(test())
