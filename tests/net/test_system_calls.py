"""System calls that fail temporarily are retried and do not count against a backend."""

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
from gladegw.net.upstream.exchange import Exchange
from gladegw.net.upstream.pool import UpstreamPool

RELOAD_TIMEOUT_S = 4.0  # from SIGHUP to a call to the new discovery address
REQUEST = b"GET /stock HTTP/1.1\r\nX-Call-Id: 1\r\n\r\n"
LOCAL_FAULTS = (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENFILE, errno.EMFILE, errno.ENETUNREACH)


async def attempt_status(failures: int, fault: int, patch: pytest.MonkeyPatch) -> Status | None:
    """Return the status of an attempt whose first `failures` connects fail locally."""
    loop = asyncio.get_running_loop()
    connect, failures_left = loop.create_connection, failures

    async def failing(*arguments: Any, **options: Any) -> Any:
        nonlocal failures_left
        if failures_left:
            failures_left -= 1
            raise OSError(fault, "simulated local fault")
        return await connect(*arguments, **options)

    backend = await Backend().start()
    upstreams = UpstreamPool(connect_timeout=0.5, conn_idle=PATIENCE, max_connections=10)
    upstreams.apply(read_listing(listing(1, endpoint("s-1", backend.address))))
    (upstream,) = upstreams.by_id.values()
    patch.setattr(loop, "create_connection", failing)
    done: asyncio.Future[Exchange] = loop.create_future()
    upstreams.start(Exchange(upstream, lambda: (REQUEST,), PATIENCE, lambda: True, done.set_result))
    async with asyncio.timeout(PATIENCE):
        exchange = await done
    await backend.stop()
    return exchange.status


def test_a_connect_is_retried_after_a_temporary_local_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        for fault in LOCAL_FAULTS:
            assert await attempt_status(2, fault, monkeypatch) is Status.OK, errno.errorcode[fault]

    run(test())


def test_a_lasting_local_fault_does_not_count_against_the_backend(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        assert await attempt_status(10_000, errno.EADDRNOTAVAIL, monkeypatch) is Status.NOT_SENT

    run(test())


def test_accept_does_not_block_the_event_loop_when_every_connection_aborts() -> None:
    class AbortingListener:
        """A listener whose clients all disconnect before they are accepted."""

        calls = 0

        def accept(self) -> Any:
            self.calls += 1
            assert self.calls < 10_000
            raise OSError(errno.ECONNABORTED, "gone")

    async def test() -> None:
        sock: Any = AbortingListener()
        acceptor = Acceptor(lambda peer, came: asyncio.Protocol(), 10, lambda: 0, lambda count: None)
        acceptor.listeners[sock] = None
        acceptor._accept(sock)
        assert sock.calls >= 1

    run(test())


def test_a_configuration_that_is_half_written_at_sighup_is_read_again(tmp_path: Path) -> None:
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
            async with asyncio.timeout(RELOAD_TIMEOUT_S):
                assert await new.asked.get() == "/v1/servers"
        finally:
            process.kill()
            await process.wait()

    run(test())
