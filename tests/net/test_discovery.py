"""Discovery over real connections: the proxy learns each change before it counts as known."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from pathlib import Path
from typing import Any

import pytest
from support.loopback import (
    PATIENCE,
    SETTINGS,
    Backend,
    Discovery,
    config,
    endpoint,
    free_address,
    listing,
    proxy,
    response,
    run,
    start_program,
    until_ready,
)

KNOWN_WITHIN_S = 6.0  # after which a change counts as known to all proxies
KNOWN_AFTER_SIGHUP_S = 4.0


def test_a_stalled_watch_is_replaced_in_time_despite_a_long_poll_interval() -> None:
    async def test() -> None:
        discovery = await Discovery().start()
        discovery.silent = 1
        contract = {**SETTINGS["contract"], "must_ask_in": 60.0}
        async with proxy({"s-1": Backend()}, discovery, contract=contract), asyncio.timeout(PATIENCE):
            await discovery.asked.get()
            began = asyncio.get_running_loop().time()
            discovery.put(2)
            await discovery.asked.get()
            assert asyncio.get_running_loop().time() - began < KNOWN_WITHIN_S

    run(test())


def test_in_push_mode_the_proxy_watches_from_its_start() -> None:
    async def test() -> None:
        discovery = await Discovery().start()
        old_backend, new_backend = Backend(), await Backend().start()
        async with (
            proxy({"s-1": old_backend}, discovery, discovery_mode="push") as node,
            asyncio.timeout(PATIENCE),
        ):
            assert (await discovery.asked.get()).startswith("/v1/servers?from=1&hold_ms=")
            discovery.put(
                2, endpoint("s-1", old_backend.address, "Terminating"), endpoint("s-2", new_backend.address)
            )
            assert (await discovery.asked.get()).startswith("/v1/servers?from=2&")
            assert (await (await node.caller()).call("canje", "1" * 16)).code == 200
            discovery.changes.put_nowait(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            assert (await discovery.asked.get()).startswith("/v1/servers?from=2&")
        assert (old_backend.count, new_backend.count) == (0, 1)
        await new_backend.stop()

    run(test())


def until_close(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body


def chunked(body: bytes) -> bytes:
    half = len(body) // 2
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:half], body[half:]))
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def after_interim(body: bytes) -> bytes:
    return b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + response(200, body)


@pytest.mark.parametrize("form", [until_close, chunked, after_interim])
def test_a_list_is_accepted_in_any_framing_and_byte_by_byte(form: Any) -> None:
    """A body may end with the connection, be chunked or follow an interim response; the JSON is indented."""

    async def test() -> None:
        old_backend, new_backend = Backend(), await Backend().start()
        listed = listing(2, endpoint("s-2", new_backend.address))
        raw_response = form(json.dumps(listed, indent=2).encode())
        discovery = Discovery()
        asked = 0

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal asked
            while await reader.readuntil(b"\r\n\r\n"):
                asked += 1
                if asked > 1:
                    discovery.asked.put_nowait("again")
                    await reader.read()
                    break
                for byte in raw_response:
                    writer.write(bytes([byte]))
                    await writer.drain()
                if form is until_close:
                    writer.close()
                    break

        discovery.server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = discovery.server.sockets[0].getsockname()[:2]
        discovery.address = f"{host}:{port}"
        async with proxy({"s-1": old_backend}, discovery) as node, asyncio.timeout(PATIENCE):
            assert await discovery.asked.get() == "again"  # the list has been applied
            assert (await (await node.caller()).call("canje", "1" * 16)).code == 200
        assert (old_backend.count, new_backend.count) == (0, 1)
        await new_backend.stop()

    run(test())


def test_after_sighup_an_unanswered_first_call_is_repeated_in_time(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = await Discovery().start(), await Discovery().start()
        old_backend, new_backend = await Backend().start(), await Backend().start()
        new.silent = 1
        listen = free_address()
        raw = config(old.address, listing(1, endpoint("s-1", old_backend.address)), listen)
        process = await start_program(raw, str(tmp_path))
        try:
            host, _, port = listen.rpartition(":")
            await until_ready((host, int(port)))
            await old.asked.get()  # the first watch is open
            (tmp_path / "config.json").write_text(json.dumps(raw | {"discovery": new.address}))
            process.send_signal(signal.SIGHUP)
            began = asyncio.get_running_loop().time()
            async with asyncio.timeout(PATIENCE):
                assert await new.asked.get() == "/v1/servers"
                new.put(1, endpoint("s-2", new_backend.address), snapshot=True)
                assert await new.asked.get() == "/v1/servers"
                assert asyncio.get_running_loop().time() - began < KNOWN_AFTER_SIGHUP_S
                assert (await new.asked.get()).startswith("/v1/servers?from=1&")
        finally:
            process.kill()
            await process.wait()

    run(test())


def test_many_idle_clients_leave_descriptors_for_discovery_and_backends() -> None:
    """They connect while discovery is down and stay connected; its first list is applied nevertheless."""

    async def test() -> None:
        address = free_address()
        host, _, port = address.rpartition(":")
        old_backend, new_backend = Backend(), await Backend().start()
        discovery_down = Discovery()
        discovery_down.address = address  # nothing listens there yet
        async with proxy({"s-1": old_backend}, discovery_down, sockets=64) as node, asyncio.timeout(PATIENCE):
            idle_clients = [await node.caller() for _ in range(200)]
            discovery = Discovery()
            discovery.server = await asyncio.start_server(discovery._connection, host, int(port))
            began = asyncio.get_running_loop().time()
            discovery.put(
                2, endpoint("s-1", old_backend.address, "Terminating"), endpoint("s-2", new_backend.address)
            )
            while not (await discovery.asked.get()).startswith("/v1/servers?from=2"):
                pass
            assert asyncio.get_running_loop().time() - began < KNOWN_WITHIN_S
            number = 0
            while not new_backend.count:  # with so many clients a new one may be refused at first
                number += 1
                with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                    await (await node.caller()).call("stock", f"{number:016x}")
            assert old_backend.count == 0
            for caller in idle_clients:
                caller.writer.close()
            discovery.server.close()
        await new_backend.stop()

    run(test())
