"""A client that reads gets its whole response; one that stops reading holds nothing for ever."""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import time
from collections.abc import AsyncIterator, Callable

import pytest
from support.downstream import Recorder, request_bytes, start_downstream_server, until
from support.loopback import PATIENCE, Backend, Proxy, Seen, proxy, run

from gladegw.limits.connection_eviction import ConnectionStage
from gladegw.limits.delivery_progress import DeliveryProgress
from gladegw.net.downstream.connection import NO_HEADERS, ClientConnection
from gladegw.net.downstream.delivery import CLIENT_STALL_S
from gladegw.net.downstream.server import DownstreamServer
from gladegw.net.drain import Drain
from gladegw.net.interfaces import ResponseSink

IN_PROXY_BYTES = 8 << 20  # of a response: more than the socket buffers hold, its end waits in the proxy
IN_KERNEL_BYTES = 1 << 20  # of a response that the proxy's system takes at once, unlike the client's
RECEIVE_BUFFER_BYTES = 1 << 16
LARGE_BYTES = 16 << 20  # of a response that the proxy cannot read whole before its client reads
PIECE_BYTES = 1 << 18
SLOW_READ_BYTES = 1 << 14
SLOW_READ_INTERVAL_S = 0.25  # 64 kB/s
STALL_S = 0.4  # limit in tests of clients that stop reading


class PassiveSource:
    """The source of a streamed response that the test writes itself."""

    def pause(self) -> None:
        pass

    def resume(self) -> None:
        pass


def respond(reply: ResponseSink, size: int) -> None:
    reply.answer(200, NO_HEADERS, b"x" * size)


def stream(reply: ResponseSink, size: int) -> None:
    reply.begin(NO_HEADERS, None, PassiveSource())
    reply.send(b"x" * size)
    reply.finish()


@contextlib.asynccontextmanager
async def unread_response(
    size: int, respond_with: Callable[[ResponseSink, int], None] = respond
) -> AsyncIterator[tuple[DownstreamServer, ClientConnection, socket.socket]]:
    """A server, its one connection with a response that its client has not read yet, and the client."""
    handler = Recorder(lambda reply: respond_with(reply, size))
    server, address = start_downstream_server(handler)
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.connect(address)
        client.setblocking(False)
        client.send(request_bytes(1))
        await handler.opened_requests.get()
        (connection,) = server.connections
        await until(lambda: connection.current is None)
        assert connection.delivery.undelivered_bytes > size / 2
        assert bool(connection.delivery.unsent_bytes) is (size == IN_PROXY_BYTES)
        yield server, connection, client
    await server.acceptor.close()


async def end_process(server: DownstreamServer) -> None:
    """Shut down, and close all connections as the end of the process would."""
    await Drain(server, lambda: 0).shut_down()
    for connection in list(server.connections):
        connection.abort_connection()


async def read_slowly(client: socket.socket, duration_s: float, size: float = math.inf) -> int:
    """Read at 64 kB/s for `duration_s`, then as fast as possible.

    Returns the number of bytes until the end, or once more than `size` have come.
    """
    loop = asyncio.get_running_loop()
    began, received = time.monotonic(), 0
    async with asyncio.timeout(PATIENCE):
        while received <= size and (part := await loop.sock_recv(client, SLOW_READ_BYTES)):
            received += len(part)
            if time.monotonic() < began + duration_s:
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
    return received


@pytest.mark.parametrize("respond_with", [respond, stream])
@pytest.mark.parametrize("size", [IN_PROXY_BYTES, IN_KERNEL_BYTES])
@pytest.mark.parametrize("sends_more", [False, True])
def test_a_slowly_read_response_arrives_complete_though_the_proxy_is_told_to_end(
    respond_with: Callable[[ResponseSink, int], None], size: int, sends_more: bool
) -> None:
    """Guards against an end of the process that discards a response's last bytes (review case 6)."""

    async def test() -> None:
        async with unread_response(size, respond_with) as (server, _, client):
            shutdown = asyncio.create_task(end_process(server))
            if sends_more:  # unread input, over which a close would reset the connection
                await asyncio.sleep(1.0)
                client.send(request_bytes(2))
            assert await read_slowly(client, 2.5) > size
            client.close()
            async with asyncio.timeout(PATIENCE):
                await shutdown

    run(test())


@pytest.mark.parametrize("close_reason", ["idle", "overdue"])
@pytest.mark.parametrize("size", [IN_PROXY_BYTES, IN_KERNEL_BYTES])
def test_a_slowly_read_response_arrives_complete_though_its_connection_is_closed(
    close_reason: str, size: int
) -> None:
    """Guards against a close that resets the connection over input which arrives later (as review case 6)."""

    async def test() -> None:
        async with unread_response(size) as (server, connection, client):
            connection.changed_at -= 10.0  # long after the response was written
            if close_reason == "overdue":
                connection.request_deadline.due_at = time.monotonic() - 1.0
                server._sweep()
            else:
                server.close_idle()
            assert connection.closing
            client.send(request_bytes(2))
            assert await read_slowly(client, 2.5) > size

    run(test())


@pytest.mark.parametrize("size", [IN_PROXY_BYTES, IN_KERNEL_BYTES])
def test_a_client_that_stops_reading_does_not_hold_the_end_of_the_proxy(size: int) -> None:
    """Guards against waiting for ever for bytes that nobody reads (the other side of review case 6)."""

    async def test() -> None:
        async with unread_response(size) as (server, connection, client):
            connection.delivery.progress.max_stall_s = STALL_S
            assert client.recv(SLOW_READ_BYTES)
            began = time.monotonic()
            async with asyncio.timeout(PATIENCE):
                await end_process(server)
            assert time.monotonic() - began < CLIENT_STALL_S / 2
            await until(lambda: not server.connections)

    run(test())


@pytest.mark.parametrize("size", [IN_PROXY_BYTES, IN_KERNEL_BYTES])
@pytest.mark.parametrize("stage", [ConnectionStage.IDLE, ConnectionStage.CLOSING])
@pytest.mark.parametrize("reads", [True, False])
def test_a_connection_is_evicted_only_if_its_client_has_stopped_reading(
    stage: ConnectionStage, size: int, reads: bool
) -> None:
    """Guards against an eviction that cuts a response (review case 7); a stopped reader is evicted."""

    async def test() -> None:
        async with unread_response(size) as (server, connection, client):
            if stage is ConnectionStage.CLOSING:
                connection.close()
                client.send(request_bytes(2))  # unread input, over which a close would reset the connection
            connection.changed_at -= 10.0  # long after the response was written
            if not reads:
                connection.delivery.progress.max_stall_s = STALL_S
                await until(lambda: connection.stage is stage)
            server._evict(1)
            if reads:
                assert await read_slowly(client, 0.5, size) > size
            else:
                await until(lambda: not server.connections)

    run(test())


@pytest.mark.parametrize("size", [IN_PROXY_BYTES, IN_KERNEL_BYTES])
def test_a_drain_reads_no_request_behind_a_response_that_is_still_being_delivered(size: int) -> None:
    """A request that is accepted late in a shutdown may have no answer when the process is killed."""

    async def test() -> None:
        async with unread_response(size) as (server, connection, client):
            server.drain()
            server.close_idle()
            assert connection.closing and connection.stage is ConnectionStage.DELIVERING
            client.send(request_bytes(2))
            assert await read_slowly(client, 0.5) > size
            assert connection.current is None and not connection.queued

    run(test())


@pytest.mark.parametrize("size", [IN_PROXY_BYTES, IN_KERNEL_BYTES])
def test_a_response_arrives_complete_though_the_next_one_on_its_connection_breaks_off(size: int) -> None:
    """Guards against a close after a fault that discards earlier responses (as review case 6)."""

    async def test() -> None:
        def answer(reply: ResponseSink) -> None:
            if handler.opened_requests.qsize() == 1:
                respond(reply, size)
                return
            reply.begin(NO_HEADERS, None, PassiveSource())
            reply.send(b"y")
            reply.abort()

        handler = Recorder(answer)
        server, address = start_downstream_server(handler)
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            client.connect(address)
            client.setblocking(False)
            client.send(request_bytes(1) + request_bytes(2))
            received = 0
            while handler.opened_requests.qsize() < 2:  # which waits until the client takes the first one
                received += await read_slowly(client, 0.0, 0)
            assert received < size  # the next one breaks off while this one is still being delivered
            client.send(request_bytes(3))  # unread input, over which a close would reset the connection
            received += await read_slowly(client, 2.0)
            assert received > size
        await server.acceptor.close()

    run(test())


def test_a_client_that_takes_bytes_within_each_limit_has_not_stalled() -> None:
    """The system of a slow client acknowledges in lumps, many seconds apart."""
    progress = DeliveryProgress(max_stall_s=20.0, now=100.0)
    assert not progress.has_stalled(119.0, 5000)  # written since
    assert not progress.has_stalled(138.9, 5000)
    assert not progress.has_stalled(138.9, 4000)
    assert progress.has_stalled(158.9, 4000)
    assert not progress.has_stalled(159.0, 3999)


async def stream_to(client: socket.socket, node: Proxy) -> int:
    """Connect a client with a small receive buffer, request a large response and read its begin.

    Returns how many bytes of the body are still to come.
    """
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, node.address)
    await loop.sock_sendall(client, request_bytes(1))
    head, _, begin = (await loop.sock_recv(client, SLOW_READ_BYTES)).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    return LARGE_BYTES - len(begin)


async def large_response(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES)
    for _ in range(LARGE_BYTES // PIECE_BYTES):
        writer.write(bytes(PIECE_BYTES))
        await writer.drain()


def test_a_response_is_not_cut_off_while_it_waits_for_a_client_that_reads_slowly() -> None:
    """Guards against a stall limit of backends that counts while reading is paused (review case 9)."""

    async def test() -> None:
        program = ("tests.support.short_stalls", str(STALL_S), str(CLIENT_STALL_S))
        async with proxy({"s-1": Backend(large_response)}, program=program) as node:
            with socket.socket() as client:
                left = await stream_to(client, node)
                assert await read_slowly(client, 3.0, left - 1) == left

    run(test())


def test_a_response_is_ended_once_its_client_stops_reading() -> None:
    """Guards against a client that holds its connection and its backend's for ever (review case 9)."""

    async def test() -> None:
        backend = Backend(large_response)
        program = ("tests.support.short_stalls", str(CLIENT_STALL_S), str(STALL_S))
        async with proxy({"s-1": backend}, program=program) as node:
            with socket.socket() as client:
                left = await stream_to(client, node)
                async with asyncio.timeout(CLIENT_STALL_S / 2):
                    await backend.closed.get()
                with contextlib.suppress(ConnectionError):
                    assert await read_slowly(client, 0.0) < left

    run(test())
