"""A backend's large answer, and a client that reads it at an even pace."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import time

from bench2 import CouldNotRunError, Proxy, Record, read_head, request

PIECE_BYTES = 1 << 16
RECEIVE_BUFFER_BYTES = 1 << 17  # of the client, as of a small device


async def large_answer(
    line: str, headers: dict[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer with as many bytes as the request asks for, as fast as they are taken."""
    size = int(headers["x-size"])
    piece = os.urandom(PIECE_BYTES)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
    for begun in range(0, size, PIECE_BYTES):
        writer.write(piece[: size - begun])
        await writer.drain()


async def connect(address: tuple[str, int]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a client's connection with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    return await asyncio.open_connection(sock=sock, limit=1 << 15)


async def fetch(
    record: Record, proxy: Proxy, name: str, size: int, bytes_per_s: float, hurry_after_s: float = 1e9
) -> int:
    """Ask for an answer of `size` bytes, read it at an even pace and return how many bytes came.

    From `hurry_after_s` on it is read as fast as it comes.
    """
    reader, writer = await connect(proxy.address)
    writer.write(request("GET", "nearby", name, 1500, f"X-Size: {size}"))
    line, headers = await read_head(reader)
    if " 200 " not in line or headers.get("content-length") != str(size):
        raise CouldNotRunError(f"{name}: no answer to read: {line}")
    began, got = time.monotonic(), 0
    ended_by = "whole"
    with contextlib.suppress(ConnectionError):
        while got < size:
            part = await reader.read(1 << 14)
            if not part:
                ended_by = "its connection was closed"
                break
            got += len(part)
            took = time.monotonic() - began
            if took < hurry_after_s and got / bytes_per_s > took:
                await asyncio.sleep(got / bytes_per_s - took)
    if got < size and ended_by == "whole":
        ended_by = "its connection was reset"
    record.add(f"{name} got {got} of {size} bytes in {time.monotonic() - began:.2f} s: {ended_by}")
    writer.close()
    return got
