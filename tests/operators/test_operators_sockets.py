"""Operators' commands, drain and process replacement with real proxy processes over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import tempfile

import pytest
from support.loopback import (
    PATIENCE,
    Backend,
    Caller,
    Discovery,
    Proxy,
    Seen,
    config,
    free_address,
    listing,
    proxy,
    response,
    run,
    send_and_read_all,
    start_program,
)


async def until(prefix: str, node: Proxy, command: str = "PING") -> str:
    async with asyncio.timeout(PATIENCE):
        while not (reply := await node.operator(command)).startswith(prefix):
            await asyncio.sleep(0.02)
        return reply


async def healthz(node: Proxy) -> int:
    caller = await node.caller()
    reply = await caller.raw(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
    caller.writer.close()
    return reply.code


@pytest.mark.parametrize(
    ("parts", "prefix"),
    [
        ([bytes([byte]) for byte in b"PING\r\n"], b"SUCCESS"),
        ([b"PING\nINFO\n"], b"SUCCESS ready\n"),
        ([b"PING\n" + b"x" * 1_000_000], b"SUCCESS"),
        ([b"x" * 1_000_000], b"FAILURE"),
        ([b"\x00\xff\x16\x03\n"], b"FAILURE"),
        ([b"\n"], b"FAILURE"),
    ],
)
def test_valid_and_malformed_commands_get_their_response(parts: list[bytes], prefix: bytes) -> None:
    async def test() -> None:
        async with proxy({"s-1": Backend()}) as node:
            with contextlib.suppress(ConnectionError):
                reply = await send_and_read_all(node.admin, *parts)
                assert reply.startswith(prefix)
            assert (await node.operator("PING")).startswith("SUCCESS")

    run(test())


def test_commands_are_answered_beside_many_connections_with_an_incomplete_line() -> None:
    async def test() -> None:
        async with proxy({"s-1": Backend()}) as node:
            host, _, port = node.admin.rpartition(":")
            incomplete = [await asyncio.open_connection(host, int(port)) for _ in range(50)]
            for _, writer in incomplete:
                writer.write(b"PIN")
            for _ in range(20):
                async with asyncio.timeout(1.0):
                    assert (await node.operator("PING")).startswith("SUCCESS")
            for _, writer in incomplete:
                writer.close()

    run(test())


def test_commands_are_answered_at_the_descriptor_limit() -> None:
    async def test() -> None:
        async with proxy({"s-1": Backend()}, sockets=64) as node:
            idle = []
            for _ in range(200):
                with contextlib.suppress(OSError):
                    idle.append(await asyncio.wait_for(node.caller(), 1.0))
            for _ in range(10):
                async with asyncio.timeout(1.0):
                    assert (await node.operator("INFO")).endswith("EOT\n")
            for caller in idle:
                caller.writer.close()

    run(test())


def test_commands_are_answered_while_the_event_loop_is_saturated() -> None:
    async def test() -> None:
        async with proxy({"s-1": Backend()}) as node:
            requests = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" * 500

            async def flood() -> None:
                caller = await node.caller()

                async def read() -> None:
                    while await caller.reader.read(1 << 18):
                        pass

                reading = asyncio.create_task(read())
                while True:
                    caller.writer.write(requests)
                    await caller.writer.drain()
                    assert not reading.done()

            floods = [asyncio.create_task(flood()) for _ in range(8)]
            await asyncio.sleep(0.5)
            for _ in range(20):
                async with asyncio.timeout(1.0):
                    assert (await node.operator("INFO")).endswith("EOT\n")
            for task in floods:
                assert not task.done()
                task.cancel()

    run(test())


@pytest.mark.parametrize("admin", ["127.0.0.1", "127.0.0.1:none", "host:80:", "held"])
def test_an_unusable_operators_address_is_reported_in_one_line(admin: str) -> None:
    async def test() -> None:
        backend = await Backend().start()
        occupied = socket.create_server(("127.0.0.1", 0))
        known = listing(1)
        admin_addr = f"127.0.0.1:{occupied.getsockname()[1]}" if admin == "held" else admin
        with tempfile.TemporaryDirectory() as folder:
            raw = config(backend.address, known, free_address()) | {"admin_addr": admin_addr}
            process = await start_program(raw, folder)
            _, lines = await asyncio.wait_for(process.communicate(), PATIENCE)
        occupied.close()
        await backend.stop()
        assert process.returncode == 2
        assert len(lines.splitlines()) == 1 and admin_addr in lines.decode()

    run(test())


def test_without_an_operators_address_there_is_no_listener_and_no_thread() -> None:
    async def test() -> None:
        backend, discovery = await Backend().start(), await Discovery().start()
        with tempfile.TemporaryDirectory() as folder:
            address = free_address()
            process = await start_program(config(discovery.address, listing(1), address), folder)
            host, _, port = address.rpartition(":")
            async with asyncio.timeout(PATIENCE):
                while True:
                    with contextlib.suppress(OSError):
                        _, writer = await asyncio.open_connection(host, int(port))
                        break
                    await asyncio.sleep(0.02)
            writer.close()
            with open(f"/proc/{process.pid}/task/{process.pid}/children") as children:
                assert children.read() == ""
            names = set()
            for task in os.listdir(f"/proc/{process.pid}/task"):
                with open(f"/proc/{process.pid}/task/{task}/comm") as comm:
                    names.add(comm.read().strip())
            process.kill()
            await process.wait()
        await backend.stop()
        assert "admin" not in names

    run(test())


def test_info_counts_the_outcome_of_each_request() -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            if seen.target.startswith("/canje"):
                writer.write(response(500))
            else:
                await gate.wait()
                writer.write(response(200, b"ok"))

        backend = Backend(behave)
        async with proxy({"s-1": backend}) as node:
            assert (await node.figures())["app.known_backends"] == 1
            failing = await node.caller()
            assert (await failing.call("canje", "a" * 16)).code == 502
            assert (await failing.raw(b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n")).code == 404
            callers = [await node.caller() for _ in range(3)]
            for number, caller in enumerate(callers):
                caller.send("reserva", f"{number:016x}", budget="4000m")
            async with asyncio.timeout(PATIENCE):
                while (await node.figures())["app.in_progress"] != 3:
                    await asyncio.sleep(0.02)
            callers[0].writer.close()
            async with asyncio.timeout(PATIENCE):
                while (await node.figures())["app.in_progress"] != 2:
                    await asyncio.sleep(0.02)
            gate.set()
            for caller in callers[1:]:
                assert (await caller.answer()).code == 200
            counters = await node.figures()
            assert counters["app.in_progress"] == 0
            assert (
                counters["app.handled.reserva.passed"] == 2 and counters["app.handled.canje.bad_gateway"] == 1
            )
            assert counters["app.handled.stock.passed"] == counters["app.handled.stock.dropped"] == 0
            assert counters["app.upstream_tries"] == backend.count

    run(test())


def test_a_drain_closes_every_connection_and_rejoin_succeeds() -> None:
    async def test() -> None:
        async def slow(seen: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(1.0)
            writer.write(response(200, b"late"))

        async with proxy({"s-1": Backend(slow)}) as node:
            idle, used, partial = await node.caller(), await node.caller(), await node.caller()
            assert (await used.raw(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")).code == 200
            used.send("reserva", "b" * 16, budget="4000m")
            partial.writer.write(b"GET /healthz HT")
            assert (await node.operator("LAMEDUCK")).startswith("SUCCESS lame")
            assert await healthz(node) == 503
            assert (await node.operator("PING")).startswith("FAILURE")
            assert (await node.operator("LAMEDUCK")).startswith("SUCCESS")
            reply = await used.answer()
            assert reply.code == 200 and reply.headers["connection"] == "close"
            assert await used.ended() and await idle.ended()
            assert (await partial.raw(b"TP/1.1\r\nHost: x\r\n\r\n")).code == 503 and await partial.ended()
            late = await node.caller()  # clients may still send during a drain: served, then closed
            assert (await late.call("reserva", "c" * 16, budget="4000m")).code == 200
            assert await late.ended()
            silent = await node.caller()
            assert await silent.ended()
            assert node.process.returncode is None
            assert (await node.operator("REJOIN")).startswith("SUCCESS ready")
            assert await healthz(node) == 200
            rejoined = await node.caller()
            for id in "de":
                assert (await rejoined.call("reserva", id * 16, budget="4000m")).code == 200
            await node.operator("LAMEDUCK")
            node.terminate()  # while draining
            assert await node.code() == 0

    run(test())


def test_a_process_replaces_another_without_losing_a_request() -> None:
    """Guards against connections reset in the old process's accept queue.

    That happens without the socket filter in the kernel and without emptying the queue."""

    async def test() -> None:
        discovery = await Discovery().start()
        backend = await Backend().start()
        completed, failures = 0, 0
        stop = asyncio.Event()

        async def send_requests(address: tuple[str, int], sender: int) -> None:
            nonlocal completed, failures
            number = 0
            while not stop.is_set():
                number += 1
                try:
                    caller = Caller(*await asyncio.open_connection(*address))
                    id = f"{sender:04x}{number:012x}"
                    reply = await caller.call("stock", id, Connection="close")
                    failures += reply.code not in (200, 503)
                    caller.writer.close()
                    completed += 1
                except (OSError, asyncio.IncompleteReadError):
                    failures += 1

        async with contextlib.AsyncExitStack() as stack:
            old = await stack.enter_async_context(proxy({"s-1": backend}, discovery))
            listen = "{}:{}".format(*old.address)
            senders = [asyncio.create_task(send_requests(old.address, sender)) for sender in range(8)]
            for number in range(3):
                discovery.put(number + 2, snapshot=False)
                new = await stack.enter_async_context(proxy({"s-1": backend}, discovery, listen=listen))
                before = completed
                async with asyncio.timeout(PATIENCE):
                    while completed < before + 50:  # both processes serve meanwhile
                        await asyncio.sleep(0.01)
                old.terminate()
                assert await old.code() == 0
                assert (await new.operator("PING")).startswith("SUCCESS")
                old = new
            stop.set()
            await asyncio.gather(*senders)
        assert completed > 150 and failures == 0

    run(test())


def test_the_old_process_keeps_serving_if_its_replacement_never_becomes_ready() -> None:
    async def test() -> None:
        async with proxy({"s-1": Backend()}) as node:
            listen = "{}:{}".format(*node.address)
            with tempfile.TemporaryDirectory() as folder:
                raw = config(free_address(), listing(1), listen)
                replacement = await start_program(raw, folder, EDGE_ADMIN_ADDR=free_address())
                caller = await node.caller()
                for id in range(20):
                    assert (await caller.call("stock", f"{id:016x}")).code == 200
                    assert await healthz(node) == 200
                replacement.kill()
                await replacement.wait()
            for id in range(20, 40):
                fresh = await node.caller()
                assert (await fresh.call("stock", f"{id:016x}")).code == 200

    run(test())
