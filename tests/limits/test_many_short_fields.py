"""Memory stays bounded while hundreds of clients send heads of very many short fields.

Guards against a limit on a head's bytes that does not count what its objects take (report a22a10, picture a).
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable, Coroutine
from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.loopback import Backend, Proxy, proxy, run

from gladegw.net.downstream.header_buffer import HeaderBuffer

CLIENTS = 300
SOCKETS = 1024
MEMORY_MB = 80
REQUEST_INTERVAL_S = 0.5  # of one client
WATCHED_S = 6.0
ANSWERED_WITHIN_S = 5.0
GOOD_INTERVAL_S = 0.05
MIN_SERVED_FRACTION = 0.95

header_bytes = st.binary(max_size=8).map(lambda text: text.replace(b"\0", b""))


def many_fields(count: int, number: int) -> bytes:
    """The beginning of a request with `count` header fields of three bytes."""
    line = b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget: 1000m\r\n" % number
    return line + b"a:b\r\n" * count


async def send_whole_heads(node: Proxy, number: int) -> None:
    """Send whole heads of 3,000 fields, again on a new connection if the connection ends."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*node.address)
            while not reader.at_eof():
                writer.write(many_fields(3000, number) + b"\r\n")
                async with asyncio.timeout(ANSWERED_WITHIN_S):
                    await reader.read(4096)
                await asyncio.sleep(REQUEST_INTERVAL_S)
            writer.close()
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def stop_inside_a_head(node: Proxy, number: int, fields: int) -> None:
    """Send `fields` fields and stop, again on a new connection once the connection ends."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*node.address)
            writer.write(many_fields(fields, number))
            while await reader.read(4096):
                pass
            writer.close()
        await asyncio.sleep(REQUEST_INTERVAL_S)


MANNERS: dict[str, Callable[[Proxy, int], Coroutine[None, None, None]]] = {
    "whole": send_whole_heads,
    "stopped-over-the-limit": partial(stop_inside_a_head, fields=11_000),
    "stopped-at-the-limit": partial(stop_inside_a_head, fields=900),
}


@pytest.mark.parametrize("manner", MANNERS.values(), ids=MANNERS)
def test_heads_of_very_many_short_fields_fill_no_memory(
    manner: Callable[[Proxy, int], Coroutine[None, None, None]],
) -> None:
    async def test() -> None:
        backends = {f"s-{n}": Backend() for n in range(4)}
        async with proxy(backends, sockets=SOCKETS, memory_mb=MEMORY_MB) as node:
            crowd = [asyncio.create_task(manner(node, number)) for number in range(CLIENTS)]
            good = await node.caller()
            codes: list[int] = []
            begun = time.monotonic()
            while time.monotonic() < begun + WATCHED_S:
                reply = await good.call("stock", f"f{len(codes):015x}")
                codes.append(reply.code)
                await asyncio.sleep(GOOD_INTERVAL_S)
            peak = node.memory_bytes("VmHWM")
            for task in crowd:
                task.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
        assert peak < MEMORY_MB * 1_000_000, f"{peak} bytes at the peak"
        assert codes.count(200) >= MIN_SERVED_FRACTION * len(codes) > 0

    run(test())


@given(st.lists(st.tuples(header_bytes, header_bytes), max_size=20))
def test_a_header_buffer_returns_the_fields_in_order(fields: list[tuple[bytes, bytes]]) -> None:
    buffer = HeaderBuffer()
    for name, value in fields:
        buffer.append(name, value)
    assert buffer.fields() == fields
    buffer.clear()
    assert buffer.fields() == []


def test_a_field_that_contains_the_separator_is_an_error() -> None:
    """Guards against one field that is taken for two."""
    buffer = HeaderBuffer()
    buffer.append(b"a", b"b\0content-length\x003")
    with pytest.raises(ValueError, match="NUL"):
        buffer.fields()
