"""System calls that fail for a moment: what they ask for is asked again, and no backend is blamed."""

from __future__ import annotations

import asyncio
import errno
import json
import signal
from pathlib import Path
from typing import Any

import pytest
from support.loopback import (
    PATIENCE,
    Backend,
    Discovery,
    config,
    endpoint,
    free_address,
    listing,
    run,
    start_program,
    until_ready,
)

from gladegw.balancing.events import Status
from gladegw.net.acceptor import Acceptor
from gladegw.net.endpoint_lists import read_listing
from gladegw.net.upstream.connections import UpstreamPool
from gladegw.net.upstream.exchange import Exchange

TOLD_AFTER_SIGHUP = 4.0  # s
REQUEST = b"GET /stock HTTP/1.1\r\nX-Call-Id: 1\r\n\r\n"
LOCAL = (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENFILE, errno.EMFILE, errno.ENETUNREACH)


async def status_of_an_attempt(failures: int, fault: int, patch: pytest.MonkeyPatch) -> Status | None:
    """How an attempt ends whose first connects fail in this process."""
    loop = asyncio.get_running_loop()
    connect, left = loop.create_connection, failures

    async def failing(*arguments: Any, **how: Any) -> Any:
        nonlocal left
        if left:
            left -= 1
            raise OSError(fault, "for a moment")
        return await connect(*arguments, **how)

    backend = await Backend().start()
    upstreams = UpstreamPool(connect_timeout=0.5, conn_idle=PATIENCE, max_connections=10)
    upstreams.apply(read_listing(listing(1, endpoint("s-1", backend.address))))
    (upstream,) = upstreams.by_id.values()
    patch.setattr(loop, "create_connection", failing)
    done: asyncio.Future[Exchange] = loop.create_future()
    upstreams.start(Exchange(upstream, lambda: REQUEST, PATIENCE, lambda: True, done.set_result))
    async with asyncio.timeout(PATIENCE):
        exchange = await done
    await backend.stop()
    return exchange.status


def test_a_connect_that_fails_here_for_a_moment_is_tried_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        for fault in LOCAL:
            assert await status_of_an_attempt(2, fault, monkeypatch) is Status.OK, errno.errorcode[fault]

    run(test())


def test_a_connect_that_goes_on_failing_here_is_not_the_backend_s_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        assert await status_of_an_attempt(10_000, errno.EADDRNOTAVAIL, monkeypatch) is Status.NOT_SENT

    run(test())


def test_connections_that_abort_one_after_another_do_not_hold_up_the_loop() -> None:
    class Aborting:
        """A listener whose callers have all gone before they were let in."""

        tries = 0

        def accept(self) -> Any:
            self.tries += 1
            assert self.tries < 10_000
            raise OSError(errno.ECONNABORTED, "gone")

    async def test() -> None:
        sock: Any = Aborting()
        entrance = Acceptor(lambda peer, came: asyncio.Protocol(), 10, lambda: 0, lambda count: None)
        entrance.listeners[sock] = None
        entrance._accept(sock)
        assert sock.tries >= 1

    run(test())


def test_a_configuration_that_is_half_written_at_the_signal_is_read_again(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = await Discovery().start(), await Discovery().start()
        backend = await Backend().start()
        listen = free_address()
        raw = config(old.address, listing(1, endpoint("s-1", backend.address)), listen)
        process = await start_program(raw, str(tmp_path))
        try:
            host, _, port = listen.rpartition(":")
            await until_ready((host, int(port)))
            text = json.dumps(raw | {"discovery": new.address})
            (tmp_path / "config.json").write_text(text[: len(text) // 2])
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
            (tmp_path / "config.json").write_text(text)
            async with asyncio.timeout(TOLD_AFTER_SIGHUP):
                assert await new.asked.get() == "/v1/servers"
        finally:
            process.kill()
            await process.wait()

    run(test())
