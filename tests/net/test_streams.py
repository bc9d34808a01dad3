"""Large, slow and fragmented messages through the proxy program, over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.loopback import PATIENCE, Backend, Proxy, proxy, response, run

from gladegw.limits.buffer_budget import (
    CHUNKS_PER_STREAM,
    MAX_CHUNK_BYTES,
    MIN_CHUNK_BYTES,
    STREAMS_MEMORY_FRACTION,
    chunk_bytes,
)

MB = 1 << 20


@given(st.integers(1 << 20, 1 << 30), st.integers(1, 2000))
def test_all_streams_stay_within_their_fraction_of_the_memory(memory: int, streams: int) -> None:
    size = chunk_bytes(memory, streams)
    assert MIN_CHUNK_BYTES <= size <= MAX_CHUNK_BYTES
    if size > MIN_CHUNK_BYTES:
        assert size * CHUNKS_PER_STREAM * streams <= memory * STREAMS_MEMORY_FRACTION


Act = Callable[[bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RawBackend:
    """A backend that answers probes, and reads the head of any other request and passes it to `act`."""

    def __init__(self, act: Act) -> None:
        self.act = act
        self.heads: list[bytes] = []
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> RawBackend:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET /load"):
                    writer.write(response(200, b"inflight=0,queue=0"))
                    continue
                self.heads.append(head)
                await self.act(head, reader, writer)
                if writer.is_closing():
                    return
        writer.close()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()


async def read_body(head: bytes, reader: asyncio.StreamReader) -> bytes:
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
    if b"content-length" in fields:
        return await reader.readexactly(int(fields[b"content-length"]))
    if head.startswith(b"GET"):
        return b""
    parts: list[bytes] = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])


def request_head(cls: str, id: str, *fields: str, version: str = "1.1", budget: str = "3000m") -> bytes:
    method = "GET" if cls == "stock" else "POST"
    lines = [f"{method} /{cls} HTTP/{version}", "Host: x", f"X-Call-Id: {id}", f"X-Budget: {budget}"]
    lines += [f"Idempotency-Key: k{id}"] if cls == "reserva" else []
    return "\r\n".join([*lines, *fields]).encode() + b"\r\n\r\n"


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[bytes, bytes], bytes]:
    async with asyncio.timeout(PATIENCE):
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
        code = int(head.split(b" ")[1])
        if b"content-length" in fields or b"transfer-encoding" in fields:
            return code, fields, await read_body(head, reader)
        return code, fields, await reader.read()


@contextlib.asynccontextmanager
async def proxy_with_backend(act: Act, **changes: Any) -> AsyncIterator[tuple[Proxy, RawBackend]]:
    backend = RawBackend(act)
    async with proxy({"s-1": cast(Backend, backend)}, **changes) as node:
        yield node, backend


def pattern(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(1 << 16) * (size // (1 << 16)) + b"x" * (size % (1 << 16))


async def echo(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    body = await read_body(head, reader)
    writer.write(response(200, body))
    await writer.drain()


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [0, 1, 65_536, 65_537, 3 * MB])
def test_a_body_of_any_size_is_echoed_unchanged(size: int, chunked: bool) -> None:
    async def test() -> None:
        async with proxy_with_backend(echo) as (node, backend):
            caller = await node.caller()
            body = pattern(size)
            for id in "ab":  # on the same connection
                if chunked:
                    caller.writer.write(
                        request_head("reserva", id * 16, "Transfer-Encoding: chunked", "Trailer: X-T")
                    )
                    for start in range(0, size, 70_001):
                        part = body[start : start + 70_001]
                        caller.writer.write(b"%x;ext=1\r\n%b\r\n" % (len(part), part))
                        await caller.writer.drain()
                    caller.writer.write(b"0\r\nX-Call-Id: forged\r\n\r\n")
                else:
                    caller.writer.write(request_head("reserva", id * 16, f"Content-Length: {size}") + body)
                code, _, echoed = await read_answer(caller.reader)
                assert code == 200 and echoed == body
            assert len(backend.heads) == 2 and not any(b"forged" in head for head in backend.heads)
            figures = await node.figures()
            assert figures["app.handled.reserva.passed"] == figures["app.upstream_tries"] == 2
            assert figures["app.in_progress"] == 0

    run(test())


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_a_response_with_any_framing_arrives_complete(framing: str, version: str) -> None:
    async def test() -> None:
        async def act(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_body(head, reader)
            writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
            size = sizes.pop()
            body = pattern(size)
            if framing == "length":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + body)
            elif framing == "chunked":
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                for start in range(0, size, 50_000):
                    part = body[start : start + 50_000]
                    writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                    await writer.drain()
                writer.write(b"0\r\nX-Trailer: 1\r\n\r\n")
            else:
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
            await writer.drain()
            if framing == "close":
                writer.close()

        sizes = [2 * MB, 70_000, 10, 0]
        request_sizes = list(reversed(sizes))
        async with proxy_with_backend(act) as (node, _):
            for number, size in enumerate(request_sizes):
                caller = await node.caller()
                caller.writer.write(request_head("stock", f"{number:016x}", version=version))
                code, fields, body = await read_answer(caller.reader)
                assert code == 200 and body == pattern(size)
                assert version == "1.1" or b"transfer-encoding" not in fields
                caller.writer.close()

    run(test())


def test_the_first_bytes_of_a_response_arrive_before_the_backend_sends_the_rest() -> None:
    async def test() -> None:
        continue_large, continue_small = asyncio.Event(), asyncio.Event()

        async def act(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if b"/stock" in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"a" * 1000)
                await continue_large.wait()
                writer.write(b"a" * 199_000)
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"3e8\r\n" + b"a" * 1000 + b"\r\n")
                await continue_small.wait()
                writer.write(b"0\r\n\r\n")

        async with proxy_with_backend(act) as (node, _):
            callers = [await node.caller(), await node.caller()]
            callers[0].writer.write(request_head("stock", "a" * 16, budget="1000m"))
            callers[1].writer.write(request_head("canje", "b" * 16, "Content-Length: 0", budget="1000m"))
            for caller in callers:
                async with asyncio.timeout(PATIENCE):
                    assert b" 200 " in await caller.reader.readuntil(b"\r\n\r\n")
                    assert b"aaa" in await caller.reader.read(100)
            figures = await node.figures()
            assert figures["app.in_progress"] == 2
            continue_small.set()
            async with asyncio.timeout(PATIENCE):
                rest = await callers[1].reader.readuntil(b"0\r\n\r\n")
                assert rest.endswith(b"0\r\n\r\n")
            await asyncio.sleep(1.1)  # the budget has expired; a large response continues
            continue_large.set()
            async with asyncio.timeout(PATIENCE):
                size = 0
                while size < 199_900:
                    size += len(await callers[0].reader.read(1 << 16))
            assert (await node.figures())["app.handled.stock.passed"] == 1

    run(test())


def test_a_response_without_a_length_that_still_progresses_is_not_cut_off() -> None:
    """At the deadline only a few bytes have arrived; the proxy cannot know yet that the response is large."""

    async def test() -> None:
        async def act(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(20):
                writer.write(b"3e8\r\n" + b"a" * 1000 + b"\r\n")
                await asyncio.sleep(0.1)
            writer.write(b"186a0\r\n" + b"a" * 100_000 + b"\r\n0\r\n\r\n")

        async with proxy_with_backend(act) as (node, _), asyncio.timeout(PATIENCE):
            caller = await node.caller()
            caller.writer.write(request_head("canje", "b" * 16, "Content-Length: 0", budget="1000m"))
            received = b""
            while not received.endswith(b"\r\n0\r\n\r\n"):
                chunk = await caller.reader.read(1 << 16)
                assert chunk, "the response was cut off"
                received += chunk
            assert received.count(b"a") >= 120_000

    run(test())


@pytest.mark.parametrize("large", [False, True])
def test_a_response_that_never_ends_is_broken_off_detectably(large: bool) -> None:
    """A small response has to be complete by its deadline; a large one may pause for 2 s."""

    async def test() -> None:
        async def act(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            size = 100_000 if large else 1000
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\r\n" % (size, b"a" * size))
            await reader.read()

        async with proxy_with_backend(act) as (node, _), asyncio.timeout(PATIENCE):
            caller = await node.caller()
            started_at = asyncio.get_running_loop().time()
            caller.writer.write(request_head("canje", "b" * 16, "Content-Length: 0", budget="1000m"))
            assert b" 200 " in await caller.reader.readuntil(b"\r\n\r\n")
            rest = b""
            with contextlib.suppress(ConnectionError):
                while chunk := await caller.reader.read(1 << 16):
                    rest += chunk
            took = asyncio.get_running_loop().time() - started_at
            assert b"aaa" in rest and not rest.endswith(b"0\r\n\r\n")
            assert took < (3.5 if large else 1.5)
            assert (await node.figures())["app.in_progress"] == 0

    run(test())


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
def test_a_response_that_breaks_off_reaches_the_client_detectably_incomplete(
    framing: str, version: str
) -> None:
    async def test() -> None:
        async def act(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            start = {
                "length": b"Content-Length: 300000\r\n\r\n",
                "close": b"\r\n",
                "chunked": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % 300_000,
            }[framing]
            writer.write(b"HTTP/1.1 200 OK\r\n" + start + b"a" * 100_000)
            await writer.drain()
            await asyncio.sleep(0.2)
            reset_connection(writer)

        async with proxy_with_backend(act) as (node, backend):
            caller = await node.caller()
            caller.writer.write(request_head("stock", "a" * 16, version=version))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_answer(caller.reader)
            figures = await node.figures()
            assert figures["app.handled.stock.bad_gateway"] == 1 and figures["app.in_progress"] == 0
            assert len(backend.heads) == 1

    run(test())


@pytest.mark.parametrize("framing", ["close", "chunked"])
def test_requests_pipelined_behind_a_response_that_breaks_off_are_answered(framing: str) -> None:
    """Guards against the loss of requests read behind a response without a length (review case 10)."""

    async def test() -> None:
        async def act(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if b"/stock" in head:
                writer.write(response(200, b"whole"))
                return
            await read_body(head, reader)
            start = (
                b"Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n" if framing == "chunked" else b"\r\nbegin"
            )
            writer.write(b"HTTP/1.1 200 OK\r\n" + start)
            await writer.drain()
            await asyncio.sleep(0.4)
            reset_connection(writer)

        async with proxy_with_backend(act) as (node, _):
            caller = await node.caller()
            heads = [request_head("canje", "a" * 16, "Content-Length: 0")]
            heads += [request_head("stock", f"{number:016x}") for number in range(3)]
            caller.writer.write(b"".join(heads))
            answers = [await read_answer(caller.reader) for _ in heads]
            codes = [code for code, _, _ in answers]
            assert codes[0] == 502 and codes[-1] == 200
            assert set(codes[1:]) <= {200, 503}, codes  # the one backend has just failed

    run(test())


def test_a_client_that_closes_while_its_streamed_response_pauses_cancels_it() -> None:
    """Reading is paused while a response is streamed, so the close is not read."""

    async def test() -> None:
        async def act(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"a" * 100_000)
            await asyncio.sleep(PATIENCE)

        async with proxy_with_backend(act) as (node, _):
            caller = await node.caller()
            caller.writer.write(request_head("stock", "a" * 16, budget="9000m"))
            await caller.reader.readuntil(b"\r\n\r\n")
            await caller.reader.readexactly(100_000)
            caller.writer.close()
            async with asyncio.timeout(1.0):
                while (await node.figures())["app.in_progress"]:
                    await asyncio.sleep(0.02)

    run(test())


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset the connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def reject_early(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readexactly(100_000)
    writer.write(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
    await writer.drain()
    await asyncio.sleep(PATIENCE)


async def serve_early(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readexactly(100_000)
    writer.write(response(200, b"seen enough"))
    await writer.drain()
    await asyncio.sleep(PATIENCE)


async def break_off(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readexactly(100_000)
    writer.transport.abort()


@pytest.mark.parametrize(("act", "code"), [(reject_early, 503), (serve_early, 200), (break_off, 503)])
def test_a_response_sent_before_the_end_of_the_request_body_arrives(act: Act, code: int) -> None:
    """The rest of the body must be read and discarded: closing with unread bytes would lose the response."""

    async def test() -> None:
        async with proxy_with_backend(act) as (node, backend):
            caller = await node.caller()
            size = 8 * MB
            caller.writer.write(request_head("canje", "a" * 16, f"Content-Length: {size}"))

            async def send() -> None:
                for _ in range(size // 65_536):
                    caller.writer.write(bytes(65_536))
                    await caller.writer.drain()

            sending = asyncio.create_task(send())
            actual_code, fields, _ = await read_answer(caller.reader)
            assert actual_code == code and fields[b"connection"] == b"close"
            async with asyncio.timeout(PATIENCE):
                await sending
            assert await caller.ended()
            assert len(backend.heads) == 1  # no retry, since body bytes were sent and no longer retained
            figures = await node.figures()
            ends = {name: n for name, n in figures.items() if "canje" in name and n}
            assert list(ends.values()) == [1] and figures["app.in_progress"] == 0

    run(test())


def test_a_body_that_no_backend_has_taken_can_be_sent_to_another() -> None:
    async def test() -> None:
        backend = await RawBackend(echo).start()
        dead = Backend()
        await dead.start()
        assert dead.server is not None
        dead.server.close()
        async with proxy({"s-1": dead, "s-2": cast(Backend, backend)}) as node:
            for number in range(6):
                caller = await node.caller()
                body = pattern(MB, number)
                caller.writer.write(request_head("canje", f"{number:016x}", f"Content-Length: {MB}") + body)
                code, _, echoed = await read_answer(caller.reader)
                assert code == 200 and echoed == body
                caller.writer.close()

    run(test())


def test_a_body_at_64_kb_per_s_is_accepted_and_its_budget_runs_from_its_end() -> None:
    async def test() -> None:
        async with proxy_with_backend(echo) as (node, _):
            caller = await node.caller()
            body = pattern(160_000)
            caller.writer.write(
                request_head("reserva", "a" * 16, f"Content-Length: {len(body)}", budget="1000m")
            )
            for start in range(0, len(body), 8_000):
                await asyncio.sleep(0.125)
                caller.writer.write(body[start : start + 8_000])
            code, _, echoed = await read_answer(caller.reader)
            assert code == 200 and echoed == body

    run(test())


@pytest.mark.parametrize("sent", [0, 1000, 100_000])
def test_a_connection_whose_body_stalls_is_closed_within_three_seconds(sent: int) -> None:
    async def test() -> None:
        async with proxy_with_backend(echo) as (node, _):
            started_at = time.monotonic()
            caller = await node.caller()
            caller.writer.write(request_head("canje", "a" * 16, "Content-Length: 1000000") + bytes(sent))
            assert await caller.ended()
            assert time.monotonic() - started_at < 3.0
            assert (await node.figures())["app.in_progress"] == 0

    run(test())


@pytest.mark.parametrize("when", ["sending", "reading"])
def test_a_client_that_disconnects_midway_ends_the_exchange_with_the_backend(when: str) -> None:
    async def test() -> None:
        ended = asyncio.Event()

        async def act(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                if when == "sending":
                    await read_body(head, reader)
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (64 * MB))
                    for _ in range(1024):
                        writer.write(bytes(65_536))
                        await writer.drain()
            except (OSError, asyncio.IncompleteReadError):
                ended.set()
                raise

        async with proxy_with_backend(act) as (node, _):
            caller = await node.caller()
            if when == "sending":
                caller.writer.write(request_head("canje", "a" * 16, f"Content-Length: {8 * MB}") + bytes(MB))
                await caller.writer.drain()
            else:
                caller.writer.write(request_head("stock", "a" * 16))
                await caller.reader.readexactly(MB)
            caller.writer.transport.abort()
            async with asyncio.timeout(PATIENCE):
                await ended.wait()
                while (await node.figures())["app.in_progress"]:
                    await asyncio.sleep(0.02)

    run(test())


def test_thirty_bodies_of_32_mb_stay_within_the_memory_budget() -> None:
    """All streams run at once and neither readers nor writers keep pace, so that every buffer fills up."""

    async def test() -> None:
        size, streams = 32 * MB, 30

        async def act(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            if head.startswith(b"POST"):
                left = size
                while left:
                    left -= len(await reader.read(min(left, 1 << 18)))
                writer.write(response(200, b"%d" % size))
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                for _ in range(size >> 18):
                    writer.write(bytes(1 << 18))
                    await writer.drain()

        async def upload(node: Proxy, number: int) -> int:
            caller = await node.caller()
            caller.writer.write(
                request_head("canje", f"{number:016x}", f"Content-Length: {size}", budget="5900m")
            )
            for _ in range(size >> 18):
                caller.writer.write(bytes(1 << 18))
                await caller.writer.drain()
            code, _, body = await read_answer(caller.reader)
            caller.writer.close()
            return code if body == b"%d" % size else 0

        async def download(node: Proxy, number: int) -> int:
            caller = await node.caller()
            caller.writer.write(request_head("stock", f"{number:016x}", budget="5900m"))
            head = await caller.reader.readuntil(b"\r\n\r\n")
            code = int(head.split(b" ")[1])
            left = size if code == 200 else 0
            while left:
                part = await caller.reader.read(1 << 18)
                if not part:
                    return 0
                left -= len(part)
            caller.writer.close()
            return code

        async with proxy_with_backend(act, memory_mb=64) as (node, _):
            initial_peak = node.memory_bytes("VmHWM")
            transfers = [upload(node, n) if n % 2 else download(node, n) for n in range(streams)]
            codes = await asyncio.gather(*transfers)
            assert codes.count(200) + codes.count(503) == streams and codes.count(200) >= streams // 2
            assert node.memory_bytes("VmHWM") - initial_peak < 16 * MB

    run(test())


def test_a_slow_reader_pauses_only_its_own_response() -> None:
    async def test() -> None:
        written = 0

        async def act(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            if b"/canje" in head:
                writer.write(response(200, b"quick"))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (64 * MB))
            for _ in range(256):
                writer.write(bytes(1 << 18))
                await writer.drain()
                written += 1 << 18

        async with proxy_with_backend(act) as (node, _):
            slow, quick = await node.caller(), await node.caller()
            slow.writer.write(request_head("stock", "a" * 16))
            await slow.reader.readexactly(1000)
            last_written = -1
            while last_written != written:
                last_written = written
                await asyncio.sleep(0.3)
            assert written < 48 * MB
            for number in range(5):
                quick.writer.write(request_head("canje", f"{number:016x}", "Content-Length: 0"))
                assert (await read_answer(quick.reader))[0] == 200
            left = 64 * MB - 1000
            async with asyncio.timeout(PATIENCE):
                while left > 0:
                    part = await slow.reader.read(1 << 20)
                    assert part
                    left -= len(part)

    run(test())


def test_a_head_split_at_every_byte_and_requests_in_a_row() -> None:
    async def test() -> None:
        async with proxy_with_backend(echo) as (node, backend):
            caller = await node.caller()
            request = request_head("canje", "a" * 16, "Content-Length: 5") + b"hello"
            for byte in request:
                caller.writer.write(bytes([byte]))
                await caller.writer.drain()
            assert (await read_answer(caller.reader))[2] == b"hello"
            pipelined = b"".join(
                request_head("canje", f"{n:016x}", f"Content-Length: {n * 50_000}") + pattern(n * 50_000)
                for n in range(5)
            )
            caller.writer.write(pipelined)
            for n in range(5):
                assert (await read_answer(caller.reader))[2] == pattern(n * 50_000)
            assert len(backend.heads) == 6

    run(test())


def test_100_continue_precedes_the_body_and_a_head_response_has_no_body() -> None:
    async def test() -> None:
        async with proxy_with_backend(echo) as (node, _):
            caller = await node.caller()
            caller.writer.write(
                request_head("canje", "a" * 16, "Content-Length: 200000", "Expect: 100-continue")
            )
            async with asyncio.timeout(PATIENCE):
                assert b" 100 " in await caller.reader.readuntil(b"\r\n\r\n")
            caller.writer.write(bytes(200_000))
            assert (await read_answer(caller.reader))[0] == 200
            caller.writer.write(b"HEAD /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(PATIENCE):
                assert b" 200 " in await caller.reader.readuntil(b"\r\n\r\n")
            caller.writer.write(b"GET http://service.internal/healthz?x HTTP/1.1\r\nHost: x\r\n\r\n")
            code, _, body = await read_answer(caller.reader)
            assert (code, body) == (200, b"ok\n")
            caller.writer.write(
                request_head("stock", "b" * 16).replace(b"/stock", b"http://service.internal/stock?q=1")
            )
            assert (await read_answer(caller.reader))[0] == 200

    run(test())


def test_whitespace_around_a_header_value_is_ignored() -> None:
    """If the length were not recognized, the backend would get a truncated body."""

    async def test() -> None:
        async def act(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            body = await read_body(head, reader)
            spaced = b"HTTP/1.1 200 OK\r\nContent-Length:  %d \t\r\n\r\n" % len(body)
            writer.write(spaced + body)

        async with proxy_with_backend(act) as (node, backend):
            caller = await node.caller()
            for size in (10, 100_000):
                head = request_head("canje", f"{size:016x}", f"Content-Length: \t{size} ")
                caller.writer.write(head.replace(b"3000m\r\n", b"3000m \t\r\n") + pattern(size))
                code, _, body = await read_answer(caller.reader)
                assert code == 200 and body == pattern(size)
            assert b"content-length: 100000\r\n" in backend.heads[1]

    run(test())


LENGTH_AND_CHUNKED = "Content-Length: 5\r\nTransfer-Encoding: chunked"


@pytest.mark.parametrize(
    "fields",
    [
        LENGTH_AND_CHUNKED,
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 5, 5",
        "Content-Length: +5",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding: xchunked",
        "Content-Length: 99999999999",
    ],
)
def test_requests_with_ambiguous_or_invalid_framing_reach_no_backend(fields: str) -> None:
    async def test() -> None:
        async with proxy_with_backend(echo) as (node, backend):
            caller = await node.caller()
            smuggled = request_head("canje", "b" * 16, "Content-Length: 0")
            caller.writer.write(request_head("canje", "a" * 16, fields) + b"0\r\n\r\n" + smuggled)
            code, _, _ = await read_answer(caller.reader)
            assert 400 <= code < 500
            assert await caller.ended() and backend.heads == []

    run(test())


def test_headers_named_by_connection_are_not_forwarded() -> None:
    async def test() -> None:
        async with proxy_with_backend(echo) as (node, backend):
            caller = await node.caller()
            caller.writer.write(
                request_head(
                    "canje",
                    "a" * 16,
                    "Connection: X-Hop, X-Call-Id",
                    "X-Hop: 1",
                    "X-Far: 2",
                    "Content-Length: 0",
                )
            )
            assert (await read_answer(caller.reader))[0] == 200
            assert b"x-hop" not in backend.heads[0] and b"x-far: 2" in backend.heads[0]
            assert b"x-call-id: " + b"a" * 16 in backend.heads[0]

    run(test())
