"""Each request that was read gets a complete response, however its connection is closed."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

import pytest
from support.downstream import Recorder, request_bytes, start_downstream_server, until
from support.loopback import PATIENCE, Backend, Seen, proxy, run, serve_ok

from gladegw.net.downstream.connection import NO_HEADERS
from gladegw.net.interfaces import ResponseSink

LARGE = 4 << 20  # bytes of a response, more than socket buffers hold


@pytest.mark.parametrize("close_reason", ["idle", "partial", "overdue", "evicted"])
@pytest.mark.parametrize("reused", [False, True])
def test_a_request_that_arrives_just_before_a_close_is_answered(close_reason: str, reused: bool) -> None:
    """The request is unread in the kernel when the server decides to close; it must be read and answered."""

    async def test() -> None:
        handler = Recorder(lambda reply: reply.answer(200, NO_HEADERS, b"done"))
        server, address = start_downstream_server(handler)
        with socket.create_connection(address) as client:
            # Bytes are sent immediately.
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await until(lambda: len(server.connections) == 1)
            (connection,) = server.connections
            if reused:
                client.send(request_bytes(1))
                await handler.opened_requests.get()
                await until(lambda: connection.current is None)
            first, rest = request_bytes(2)[:10], request_bytes(2)[10:]
            if close_reason in ("partial", "overdue"):
                client.send(first)
                await until(lambda: connection.receiving)
            connection.changed_at -= 10.0  # long after the previous response, if any
            connection.request_started_at -= 10.0
            connection.request_deadline.due_at = (
                time.monotonic() - 1.0 if close_reason == "overdue" else connection.request_deadline.due_at
            )
            client.send(rest if close_reason in ("partial", "overdue") else first + rest)
            close: dict[str, Callable[[], None]] = {
                "idle": server.close_idle,
                "partial": lambda: server.close_idle(partial=True),
                "overdue": server._sweep,
                "evicted": lambda: server._evict(1),
            }
            close[close_reason]()
            async with asyncio.timeout(PATIENCE):
                assert (await handler.opened_requests.get()).id == b"2"
        await server.acceptor.close()

    run(test())


@pytest.mark.parametrize("read_between", [False, True])
def test_an_overdue_client_that_goes_on_sending_is_closed_once_it_was_read(read_between: bool) -> None:
    """Guards against a client that is never closed since some of its bytes are always unread (review 2)."""

    async def test() -> None:
        handler = Recorder(lambda reply: reply.answer(200, NO_HEADERS, b"done"))
        server, address = start_downstream_server(handler)
        with socket.create_connection(address) as client:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            request = request_bytes(3)
            client.send(request[:10])
            await until(lambda: len(server.connections) == 1)
            (connection,) = server.connections
            await until(lambda: connection.receiving)
            connection.request_deadline.due_at = time.monotonic() - 1.0
            client.send(request[10:20])
            server._sweep()
            received = connection.received
            if read_between:
                await until(lambda: connection.received > received)
            client.send(request[20:])
            server._sweep()
            assert connection.closing is read_between
            if not read_between:  # the request was complete when it was first read
                async with asyncio.timeout(PATIENCE):
                    assert (await handler.opened_requests.get()).id == b"3"
        await server.acceptor.close()

    run(test())


def test_the_last_response_arrives_complete_while_its_client_sends_more() -> None:
    """Closing with the unread second request would reset the connection and lose the rest of the response."""

    async def test() -> None:
        def answer(reply: ResponseSink) -> None:
            client.send(request_bytes(2))
            reply.answer(200, NO_HEADERS, b"x" * LARGE)

        handler = Recorder(answer)
        server, address = start_downstream_server(handler)
        server.drain()
        server.reads_until = 0.0  # stop reading behind an open request
        with socket.create_connection(address) as client:
            client.send(request_bytes(1))
            await handler.opened_requests.get()
            reader, _ = await asyncio.open_connection(sock=client.dup())
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"connection: close" in head.lower()
            assert len(await reader.read()) == LARGE
            assert handler.opened_requests.empty()  # the request after the last response was not read
        await server.acceptor.close()

    run(test())


@pytest.mark.parametrize("responses_read", ["before exit", "after exit"])
def test_all_requests_that_were_read_are_answered_before_the_proxy_exits(responses_read: str) -> None:
    """Pipelined requests are queued behind an open one when the proxy starts to drain."""

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
            await idle.ended()  # connections are being closed now
            answer_now.set()
            if responses_read == "before exit":
                answers = [await caller.answer() for _ in range(5)]
                assert [answer.code for answer in answers] == [200] * 5
                assert answers[-1].headers["connection"] == "close"
                assert await caller.ended()
            assert await node.code() == 0
            if responses_read == "after exit":
                assert [(await caller.answer()).code for _ in range(5)] == [200] * 5

    run(test())


@pytest.mark.parametrize("length", [None, 5])
def test_a_request_behind_a_streamed_response_is_read_only_after_its_end(length: int | None) -> None:
    """If the response breaks off, the client may repeat a request that was not read (as review case 10)."""

    class PassiveSource:
        def pause(self) -> None:
            pass

        def resume(self) -> None:
            pass

    async def test() -> None:
        handler = Recorder()
        server, address = start_downstream_server(handler)
        with socket.create_connection(address) as client:
            client.send(request_bytes(1))
            await handler.opened_requests.get()
            handler.replies[0].begin(NO_HEADERS, length, PassiveSource())
            client.send(request_bytes(2))
            (connection,) = server.connections
            await until(lambda: connection.unread)
            await asyncio.sleep(0.1)
            assert connection.unread and not connection.queued
            handler.replies[0].send(b"whole")
            handler.replies[0].finish()
            async with asyncio.timeout(PATIENCE):
                assert (await handler.opened_requests.get()).id == b"2"
        await server.acceptor.close()

    run(test())


def test_the_caller_helper_reads_one_response_at_a_time() -> None:
    """The tests above rely on `Caller.answer` to return the responses one by one and in order."""

    async def test() -> None:
        async with proxy({"s-1": Backend()}) as node:
            caller = await node.caller()
            for number in range(3):
                caller.send("stock", f"{number:016x}")
            bodies = [(await caller.answer()).body for _ in range(3)]
            assert bodies == [b"done " + f"{number:016x}".encode() for number in range(3)]

    run(test())
