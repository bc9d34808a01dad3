"""Discovery over real connections: each change is known in the time after which it counts as told."""

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

TOLD_WITHIN = 6.0  # s, of the protocol
TOLD_AFTER_SIGHUP = 4.0


def test_a_silent_watch_is_replaced_in_time_however_rarely_the_settings_want_to_be_asked() -> None:
    async def test() -> None:
        discovery = await Discovery().start()
        discovery.silent = 1
        contract = {**SETTINGS["contract"], "must_ask_in": 60.0}
        async with proxy({"s-1": Backend()}, discovery, contract=contract), asyncio.timeout(PATIENCE):
            await discovery.asked.get()
            began = asyncio.get_running_loop().time()
            discovery.put(2)
            await discovery.asked.get()
            assert asyncio.get_running_loop().time() - began < TOLD_WITHIN

    run(test())


def test_pushed_lists_are_watched_from_the_first_moment() -> None:
    async def test() -> None:
        discovery = await Discovery().start()
        one, two = Backend(), await Backend().start()
        async with proxy({"s-1": one}, discovery, discovery_mode="push") as node, asyncio.timeout(PATIENCE):
            assert (await discovery.asked.get()).startswith("/v1/servers?from=1&hold_ms=")
            discovery.put(2, endpoint("s-1", one.address, "Terminating"), endpoint("s-2", two.address))
            assert (await discovery.asked.get()).startswith("/v1/servers?from=2&")
            assert (await (await node.caller()).call("canje", "1" * 16)).code == 200
            discovery.changes.put_nowait(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            assert (await discovery.asked.get()).startswith("/v1/servers?from=2&")
        assert (one.count, two.count) == (0, 1)
        await two.stop()

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
def test_a_list_may_come_in_any_form_and_in_single_bytes(form: Any) -> None:
    """An answer may end with its connection, in chunks, behind an interim one; its JSON may be indented."""

    async def test() -> None:
        one, two = Backend(), await Backend().start()
        told = listing(2, endpoint("s-2", two.address))
        whole = form(json.dumps(told, indent=2).encode())
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
                for byte in whole:
                    writer.write(bytes([byte]))
                    await writer.drain()
                if form is until_close:
                    writer.close()
                    break

        discovery.server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = discovery.server.sockets[0].getsockname()[:2]
        discovery.address = f"{host}:{port}"
        async with proxy({"s-1": one}, discovery) as node, asyncio.timeout(PATIENCE):
            assert await discovery.asked.get() == "again"  # the list has been taken
            assert (await (await node.caller()).call("canje", "1" * 16)).code == 200
        assert (one.count, two.count) == (0, 1)
        await two.stop()

    run(test())


def test_after_sighup_a_first_call_without_an_answer_is_repeated_in_time(tmp_path: Path) -> None:
    async def test() -> None:
        old, new = await Discovery().start(), await Discovery().start()
        one, two = await Backend().start(), await Backend().start()
        new.silent = 1
        listen = free_address()
        raw = config(old.address, listing(1, endpoint("s-1", one.address)), listen)
        process = await start_program(raw, str(tmp_path))
        try:
            host, _, port = listen.rpartition(":")
            await until_ready((host, int(port)))
            await old.asked.get()  # the module's own first watch is open
            (tmp_path / "config.json").write_text(json.dumps(raw | {"discovery": new.address}))
            process.send_signal(signal.SIGHUP)
            began = asyncio.get_running_loop().time()
            async with asyncio.timeout(PATIENCE):
                assert await new.asked.get() == "/v1/servers"
                new.put(1, endpoint("s-2", two.address), snapshot=True)
                assert await new.asked.get() == "/v1/servers"
                assert asyncio.get_running_loop().time() - began < TOLD_AFTER_SIGHUP
                assert (await new.asked.get()).startswith("/v1/servers?from=1&")
        finally:
            process.kill()
            await process.wait()

    run(test())


def test_a_crowd_of_idle_clients_leaves_descriptors_for_discovery_and_backends() -> None:
    """They come while discovery is down and stay; what it tells at its return is followed all the same."""

    async def test() -> None:
        address = free_address()
        host, _, port = address.rpartition(":")
        one, two = Backend(), await Backend().start()
        down = Discovery()
        down.address = address  # nobody listens there
        async with proxy({"s-1": one}, down, sockets=64) as node, asyncio.timeout(PATIENCE):
            crowd = [await node.caller() for _ in range(200)]
            discovery = Discovery()
            discovery.server = await asyncio.start_server(discovery._connection, host, int(port))
            began = asyncio.get_running_loop().time()
            discovery.put(2, endpoint("s-1", one.address, "Terminating"), endpoint("s-2", two.address))
            while not (await discovery.asked.get()).startswith("/v1/servers?from=2"):
                pass
            assert asyncio.get_running_loop().time() - began < TOLD_WITHIN
            number = 0
            while not two.count:  # among a crowd a caller may be refused at first
                number += 1
                with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                    await (await node.caller()).call("stock", f"{number:016x}")
            assert one.count == 0
            for caller in crowd:
                caller.writer.close()
            discovery.server.close()
        await two.stop()

    run(test())
