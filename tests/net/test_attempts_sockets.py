"""When an attempt may start and which budget it sends if its client, connection or window ends meanwhile."""

from __future__ import annotations

import asyncio
import copy
import os
import signal
import socket
import time
from pathlib import Path

from support.loopback import (
    GRADES,
    PATIENCE,
    SETTINGS,
    Backend,
    Discovery,
    Seen,
    endpoint,
    proxy,
    read_message,
    response,
    run,
    serve_ok,
)

SYN_SENT = "02"  # state in /proc/net/tcp
TOLERANCE_S = 0.15  # by which the budget that an attempt sends may exceed the client's remaining time
LONG_CONNECT_TIMEOUT = {**SETTINGS["policy_limits"], "connect_timeout": 10.0, "probes": False}


class FullBacklog:
    """A backend whose accept queue is full: the kernel drops a connect, which succeeds when it is resent."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.filler = socket.create_connection(("127.0.0.1", self.port))

    async def until_connect_is_dropped(self) -> None:
        row = f"0100007F:{self.port:04X} {SYN_SENT} "
        while row not in Path("/proc/net/tcp").read_text():
            await asyncio.sleep(0.005)

    def make_room(self) -> None:
        self.listener.accept()[0].close()
        self.filler.close()

    async def connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        self.listener.setblocking(False)
        accepted, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return await asyncio.open_connection(sock=accepted)


def budget_seconds(header: str) -> float:
    assert header.endswith("u")
    return int(header[:-1]) / 1e6


def test_an_attempt_after_a_slow_connect_sends_the_remaining_budget() -> None:
    async def test() -> None:
        full, discovery = FullBacklog(), await Discovery().start()
        async with proxy({"s-1": Backend()}, discovery, policy_limits=LONG_CONNECT_TIMEOUT) as node:
            discovery.put(2, endpoint("s-2", full.address), snapshot=True)
            await discovery.asked.get()
            async with asyncio.timeout(PATIENCE):
                while not (await discovery.asked.get()).startswith("/v1/servers?from=2"):
                    pass
                caller = await node.caller()
                began = time.monotonic()
                caller.send("canje", "1" * 16, budget="2600m")
                await full.until_connect_is_dropped()
                full.make_room()
                reader, writer = await full.connection()
                _, headers, _ = await read_message(reader)
                remaining = 2.6 - (time.monotonic() - began)
                writer.write(response(200, b"served"))
                assert (await caller.answer()).body == b"served"
            assert remaining < 2.1  # the connect was slow
            assert budget_seconds(headers["x-budget"]) <= remaining + TOLERANCE_S

    run(test())


def test_a_repeat_does_not_begin_after_its_window_when_its_connection_comes_up_late() -> None:
    """The scenario is repeated until the retry starts to connect before the window has passed.

    It does not if the window passes before the first attempt fails.
    """
    grades = copy.deepcopy(GRADES)
    grades[1] |= {"window": 0.5, "objective": 3.0}  # the connect succeeds after 1 s, within the objective

    async def retry_connects_in_window() -> bool:
        """Whether the retry began to connect within the window; if so, asserts that it writes nothing."""
        full, discovery = FullBacklog(), await Discovery().start()
        first = Backend()

        async def list_second_backend_then_reset(seen: Seen, writer: asyncio.StreamWriter) -> None:
            discovery.put(2, endpoint("s-1", first.address), endpoint("s-2", full.address))
            while not (await discovery.asked.get()).startswith("/v1/servers?from=2"):
                pass
            # The proxy sends its next discovery call before it applies the list of the last one.
            await asyncio.sleep(0.1)
            writer.transport.abort()

        first.behave = list_second_backend_then_reset
        async with proxy(
            {"s-1": first}, discovery, grades=grades, policy_limits=LONG_CONNECT_TIMEOUT
        ) as node:
            caller = await node.caller()
            async with asyncio.timeout(PATIENCE):
                while (await discovery.asked.get()).endswith("hold_ms=50"):
                    pass  # after its first call, which is short, the proxy pauses
                caller.send("reserva", "1" * 16, budget="4000m")
                connect = asyncio.create_task(full.until_connect_is_dropped())
                answer = asyncio.create_task(caller.answer())
                await asyncio.wait((connect, answer), return_when=asyncio.FIRST_COMPLETED)
                if not connect.done():
                    connect.cancel()
                    return False
                full.make_room()
                reader, _ = await full.connection()
                assert (await answer).code in (502, 504)
            node.process.kill()
            assert await reader.read() == b""  # the retry wrote nothing
        return True

    async def test() -> None:
        while not await retry_connects_in_window():
            pass

    run(test())


def test_pipelined_requests_of_a_client_that_closed_are_not_forwarded() -> None:
    """The proxy reads a client only as far as it answers: the close follows the pipelined requests, and the
    second request would start only when the first ends."""

    async def test() -> None:
        answer_now = asyncio.Event()

        async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
            if seen.headers["x-call-id"] == "1" * 16:
                await answer_now.wait()
            await serve_ok(seen, writer)

        backend = Backend(behave)
        async with proxy({"s-1": backend}) as node, asyncio.timeout(PATIENCE):
            caller = await node.caller()
            caller.send("canje", "1" * 16)
            caller.send("canje", "2" * 16)
            caller.send("canje", "3" * 16)
            await backend.calls.get()
            caller.writer.write_eof()
            answer_now.set()
            await caller.reader.read()  # until the proxy closes
            assert (await (await node.caller()).call("canje", "4" * 16)).code == 200
            assert backend.count == 2

    run(test())


def test_a_request_whose_client_closed_while_the_proxy_was_stopped_is_not_forwarded() -> None:
    async def test() -> None:
        backend = Backend()
        limits = {**SETTINGS["policy_limits"], "probes": False}
        # With a quantum of 0, a request is forwarded in the loop turn in which it is read.
        started = proxy({"s-1": backend}, policy_limits=limits, quantum=0.0)
        async with started as node, asyncio.timeout(PATIENCE):
            open_client = await node.caller()
            # Leaves an idle upstream connection.
            assert (await open_client.call("canje", "1" * 16)).code == 200
            node.process.send_signal(signal.SIGSTOP)
            while "T" not in process_state(node.process.pid):
                await asyncio.sleep(0)
            caller = await node.caller()
            caller.send("canje", "2" * 16)
            caller.writer.close()
            await caller.writer.wait_closed()
            node.process.send_signal(signal.SIGCONT)
            assert (await open_client.call("canje", "3" * 16)).code == 200
            assert (await open_client.call("canje", "4" * 16)).code == 200
            assert backend.count == 3

    run(test())


def process_state(process: int) -> str:
    """The one-letter state of a process in /proc."""
    return Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()[0]


def test_the_helper_reads_a_process_state() -> None:
    assert process_state(os.getpid()) in "RS"


def test_an_attempt_for_a_request_that_waited_unread_sends_the_remaining_budget() -> None:
    async def test() -> None:
        backend = Backend()
        limits = {**SETTINGS["policy_limits"], "probes": False}
        async with proxy({"s-1": backend}, policy_limits=limits) as node, asyncio.timeout(PATIENCE):
            open_client = await node.caller()
            assert (await open_client.call("canje", "1" * 16)).code == 200
            await backend.calls.get()
            node.process.send_signal(signal.SIGSTOP)
            while "T" not in process_state(node.process.pid):
                await asyncio.sleep(0)
            began = time.monotonic()
            open_client.send("canje", "2" * 16, budget="2000m")
            while time.monotonic() < began + 0.8:
                await asyncio.sleep(0.01)
            node.process.send_signal(signal.SIGCONT)
            seen = await backend.calls.get()
            remaining = 2.0 - (time.monotonic() - began)
            assert budget_seconds(seen.headers["x-budget"]) <= remaining + TOLERANCE_S

    run(test())
