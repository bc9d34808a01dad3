"""A crowd of clients that misbehave, in a process of its own: `python -m support.crowd ADDRESS FORM COUNT`.

Each client goes on until standard input ends: when its connection is closed it comes again on a new one. The
forms are those of report 9346bc, picture a, and others of the same kind.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import resource
import socket
import sys
from collections.abc import Callable, Coroutine

import uvloop

RECONNECT_AFTER_S = 0.3
SENDING_INTERVAL_S = 0.1  # between the pieces of a client that writes or reads slowly
RECEIVE_BUFFER_BYTES = 8192
REQUEST_INTERVAL_S = 0.5  # of clients that send whole heads again and again
RESPONSE_TIMEOUT_S = 5.0
LARGE_FIELD_BYTES = 1900
LARGE_FIELDS = 14

Address = tuple[str, int]
Form = Callable[["Client"], Coroutine[None, None, None]]
ids = itertools.count(1)


class Client:
    """One connection of a client of the crowd, whose number within the crowd is `number`."""

    def __init__(self, connection: socket.socket, number: int) -> None:
        self.connection, self.number = connection, number
        self.loop = asyncio.get_running_loop()

    async def send(self, data: bytes) -> None:
        """Send all of `data`, waiting as long as the proxy does not read."""
        await self.loop.sock_sendall(self.connection, data)

    async def receive(self, size: int = 65536) -> bytes:
        """Receive up to `size` bytes; raises ConnectionError at the end of the connection."""
        data = await self.loop.sock_recv(self.connection, size)
        if not data:
            raise ConnectionResetError
        return data

    async def wait_for_end(self) -> None:
        """Receive until the connection ends."""
        while True:
            await self.receive()


def get_head(target: bytes = b"/stock", fields: bytes = b"") -> bytes:
    """A whole request without a body."""
    return b"GET %b HTTP/1.1\r\nHost: x\r\nX-Call-Id: c%015x\r\nX-Budget: 1000m\r\n%b\r\n" % (
        target,
        next(ids),
        fields,
    )


def post_head(length: int | None, target: bytes = b"/canje", fields: bytes = b"") -> bytes:
    """The head of a request with a body; without a length it is chunked."""
    framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
    number = next(ids)
    if target.startswith(b"/reserva"):
        fields += b"Idempotency-Key: k%031x\r\n" % number
    return b"POST %b HTTP/1.1\r\nHost: x\r\nX-Call-Id: c%015x\r\nX-Budget: 4000m\r\n%b\r\n%b\r\n" % (
        target,
        number,
        framing,
        fields,
    )


def stop_half_way(*sizes: int) -> Form:
    """Stop half way through a body, whose size is that of the client's number among `sizes`."""

    async def form(client: Client) -> None:
        size = sizes[client.number % len(sizes)]
        await client.send(post_head(size) + b"y" * (size // 2))
        await client.wait_for_end()

    return form


def write_slowly(size: int, bytes_per_s: int) -> Form:
    """Write a body slowly."""

    async def form(client: Client) -> None:
        await client.send(post_head(size))
        piece = b"y" * int(bytes_per_s * SENDING_INTERVAL_S)
        for _ in range(0, size, len(piece)):
            await client.send(piece)
            await asyncio.sleep(SENDING_INTERVAL_S)
        await client.receive()

    return form


def whole_heads(fields: bytes) -> Form:
    """Send whole requests with these header fields again and again."""

    async def form(client: Client) -> None:
        while True:
            await client.send(get_head(fields=fields))
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await client.receive()
            await asyncio.sleep(REQUEST_INTERVAL_S)

    return form


def stop_inside_head(fields: bytes) -> Form:
    """Stop inside a head that has these header fields."""

    async def form(client: Client) -> None:
        await client.send(get_head(fields=fields)[:-2])
        await client.wait_for_end()

    return form


def read_slowly(size: int, requests: int, bytes_per_s: int) -> Form:
    """Ask for answers of `size` bytes, `requests` in a row on one connection, and read slowly."""

    async def form(client: Client) -> None:
        heads = (post_head(0, b"/reserva?size=%d" % size) for _ in range(requests))
        await client.send(b"".join(heads))
        while True:
            if bytes_per_s:
                await client.receive(int(bytes_per_s * SENDING_INTERVAL_S))
            await asyncio.sleep(SENDING_INTERVAL_S)

    return form


def pipeline(requests: int) -> Form:
    """Send small requests in a row again and again, and read nothing."""

    async def form(client: Client) -> None:
        while True:
            await client.send(b"".join(get_head() for _ in range(requests)))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    return form


def whole_bodies(size: int, target: bytes) -> Form:
    """Send whole requests with a body of `size` bytes."""

    async def form(client: Client) -> None:
        while True:
            await client.send(post_head(size, target) + b"y" * size)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await client.receive()
            await asyncio.sleep(REQUEST_INTERVAL_S)

    return form


async def idle(client: Client) -> None:
    """Send nothing."""
    await client.wait_for_end()


async def trailers(client: Client) -> None:
    """Send very many short trailer fields."""
    await client.send(post_head(None) + b"1\r\ny\r\n0\r\n" + b"a:b\r\n" * 5000 + b"\r\n")
    await client.wait_for_end()


async def one_byte_chunks(client: Client) -> None:
    """Send a body in chunks of one byte, and stop."""
    await client.send(post_head(None) + b"1\r\ny\r\n" * 50_000)
    await client.wait_for_end()


async def single_bytes(client: Client) -> None:
    """Send a head in single bytes."""
    for byte in get_head(fields=b"X-Note: " + b"n" * 500 + b"\r\n"):
        await client.send(bytes((byte,)))
        await asyncio.sleep(0.004)
    await client.receive()


async def long_ids(client: Client) -> None:
    """Send requests with very long identifiers, and leave once they may have begun."""
    fields = b"X-Call-Id: " + b"%020d" % next(ids) * 1200 + b"\r\n"
    head = b"POST /canje HTTP/1.1\r\nHost: x\r\nX-Budget: 4000m\r\nContent-Length: 0\r\n" + fields + b"\r\n"
    await client.send(head)
    await asyncio.sleep(SENDING_INTERVAL_S)


LARGE_FIELDS_TEXT = b"".join(b"X-%d: %b\r\n" % (n, b"v" * LARGE_FIELD_BYTES) for n in range(LARGE_FIELDS))
FORMS: dict[str, Form] = {
    "half-120k": stop_half_way(120_000),
    "half-large": stop_half_way(200_000, 1_000_000, 5_000_000),
    "body-7k-per-s": write_slowly(120_000, 7_000),
    "large-fields": whole_heads(LARGE_FIELDS_TEXT),
    "unfinished-short-fields": stop_inside_head(b"a:b\r\n" * 11_000),
    "short-fields": whole_heads(b"a:b\r\n" * 3000),
    "slow-reader": read_slowly(6_000_000, 1, 20_000),
    "slow-pipelines": read_slowly(200_000, 30, 20_000),
    "idle": idle,
    "trailers": trailers,
    "unfinished-field": stop_inside_head(b"X-Long: " + b"v" * 31_000),
    "unread-60k-answers": read_slowly(60_000, 30, 0),
    "unread-pipelines": pipeline(100),
    "one-byte-chunks": one_byte_chunks,
    "single-bytes": single_bytes,
    "long-ids": long_ids,
    "whole-60k-bodies": whole_bodies(60_000, b"/canje?ms=300"),
}
MIXED = "mixed"


async def behave(address: Address, number: int, form: Form) -> None:
    """Behave as a client of a form for ever."""
    loop = asyncio.get_running_loop()
    while True:
        with contextlib.suppress(OSError, TimeoutError), contextlib.closing(socket.socket()) as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            connection.setblocking(False)
            await loop.sock_connect(connection, address)
            await form(Client(connection, number))
        await asyncio.sleep(RECONNECT_AFTER_S)


async def play(address: Address, form: str, count: int) -> None:
    """Play `count` clients until standard input ends."""
    loop = asyncio.get_running_loop()
    forms = list(FORMS.values()) if form == MIXED else [FORMS[form]]
    clients = [
        loop.create_task(behave(address, number, forms[number % len(forms)])) for number in range(count)
    ]
    await loop.run_in_executor(None, sys.stdin.read)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)


def main() -> None:
    """Run the program."""
    host, _, port = sys.argv[1].rpartition(":")
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096) if hard > 0 else 4096, hard))
    play_all = play((host, int(port)), sys.argv[2], int(sys.argv[3]))
    asyncio.Runner(loop_factory=uvloop.new_event_loop).run(play_all)


if __name__ == "__main__":
    main()
