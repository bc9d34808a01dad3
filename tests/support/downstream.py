"""The downstream side of the proxy alone, with a request handler that a test controls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from gladegw.balancing.events import Effect
from gladegw.net.downstream.server import DownstreamServer
from gladegw.net.interfaces import ResponseSink
from gladegw.net.request import Request
from gladegw.operators.request_counters import RequestCounters
from support.loopback import PATIENCE


def request_bytes(number: int) -> bytes:
    return b"GET /stock HTTP/1.1\r\nHost: x\r\nX-Call-Id: %d\r\nX-Budget: 1000m\r\n\r\n" % number


class Recorder:
    """A request handler that records the requests and, if given, calls `handle` with each response sink."""

    def __init__(self, handle: Callable[[ResponseSink], None] | None = None) -> None:
        self.handle = handle
        self.opened_requests: asyncio.Queue[Request] = asyncio.Queue()
        self.replies: list[ResponseSink] = []

    def on_request(self, request: Request, reply: ResponseSink) -> object:
        self.opened_requests.put_nowait(request)
        self.replies.append(reply)
        if self.handle is not None:
            self.handle(reply)
        return self

    def on_body_complete(self, call: Any) -> None:
        raise AssertionError("no request in these tests has a streamed body")

    def on_disconnect(self, call: Any) -> None:
        pass


def start_downstream_server(handler: Recorder) -> tuple[DownstreamServer, tuple[str, int]]:
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
