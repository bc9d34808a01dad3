"""When an attempt may begin and what it tells, where its caller, connection or window ends just then."""

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

SYN_SENT = "02"  # /proc/net/tcp
SLACK = 0.15  # s, by which an attempt may tell more than its caller has left
LONG_CONNECT = {**SETTINGS["policy_limits"], "connect_timeout": 10.0, "probes": False}


class BusyListener:
    """A backend whose queue of new connections is full: a connect is lost, and comes up when repeated."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.filling = socket.create_connection(("127.0.0.1", self.port))

    async def until_connect_is_lost(self) -> None:
        wanted = f"0100007F:{self.port:04X} {SYN_SENT} "
        while wanted not in Path("/proc/net/tcp").read_text():
            await asyncio.sleep(0.005)

    def make_room(self) -> None:
        self.listener.accept()[0].close()
        self.filling.close()

    async def connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        self.listener.setblocking(False)
        accepted, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return await asyncio.open_connection(sock=accepted)


def microseconds(told: str) -> float:
    assert told.endswith("u")
    return int(told[:-1]) / 1e6


def test_an_attempt_whose_connection_came_up_late_tells_what_is_left_then() -> None:
    async def test() -> None:
        busy, discovery = BusyListener(), await Discovery().start()
        async with proxy({"s-1": Backend()}, discovery, policy_limits=LONG_CONNECT) as node:
            discovery.put(2, endpoint("s-2", busy.address), snapshot=True)
            await discovery.asked.get()
            async with asyncio.timeout(PATIENCE):
                while not (await discovery.asked.get()).startswith("/v1/servers?from=2"):
                    pass
                caller = await node.caller()
                began = time.monotonic()
                caller.send("canje", "1" * 16, budget="2600m")
                await busy.until_connect_is_lost()
                busy.make_room()
                reader, writer = await busy.connection()
                _, headers, _ = await read_message(reader)
                left = 2.6 - (time.monotonic() - began)
                writer.write(response(200, b"served"))
                assert (await caller.answer()).body == b"served"
            assert left < 2.1  # the connect did take long
            assert microseconds(headers["x-budget"]) <= left + SLACK

    run(test())


def test_a_repeat_does_not_begin_after_its_window_when_its_connection_comes_up_late() -> None:
    """Where the window passes before the first attempt fails, the case is made again until it comes."""
    grades = copy.deepcopy(GRADES)
    grades[1] |= {"window": 0.5, "objective": 3.0}  # the connect comes up after 1 s, within the objective

    async def repeat_is_connecting() -> bool:
        """Whether the repeat began to connect within the window; if so, it must write nothing."""
        busy, discovery = BusyListener(), await Discovery().start()
        one = Backend()

        async def vanish(seen: Seen, writer: asyncio.StreamWriter) -> None:
            discovery.put(2, endpoint("s-1", one.address), endpoint("s-2", busy.address))
            while not (await discovery.asked.get()).startswith("/v1/servers?from=2"):
                pass
            await asyncio.sleep(0.1)  # the next call goes out before the list of the last one is taken
            writer.transport.abort()

        one.behave = vanish
        async with proxy({"s-1": one}, discovery, grades=grades, policy_limits=LONG_CONNECT) as node:
            caller = await node.caller()
            async with asyncio.timeout(PATIENCE):
                while (await discovery.asked.get()).endswith("hold_ms=50"):
                    pass  # behind the first call, a short one, the proxy makes a pause
                caller.send("reserva", "1" * 16, budget="4000m")
                connect = asyncio.create_task(busy.until_connect_is_lost())
                answer = asyncio.create_task(caller.answer())
                await asyncio.wait((connect, answer), return_when=asyncio.FIRST_COMPLETED)
                if not connect.done():
                    connect.cancel()
                    return False
                busy.make_room()
                reader, _ = await busy.connection()
                assert (await answer).code in (502, 504)
            node.process.kill()
            assert await reader.read() == b""  # nothing was written to it
        return True

    async def test() -> None:
        while not await repeat_is_connecting():
            pass

    run(test())


def test_what_a_caller_sent_before_it_closed_is_not_sent_on_later() -> None:
    """It wrote two requests and closed: the proxy reads no further than its answers, so the close lies behind
    the second one, which would begin only when the first one ends."""

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


def test_a_request_whose_caller_closed_while_the_process_stood_still_is_not_sent_on() -> None:
    async def test() -> None:
        backend = Backend()
        limits = {**SETTINGS["policy_limits"], "probes": False}  # a call is sent in the turn it comes in
        started = proxy({"s-1": backend}, policy_limits=limits, quantum=0.0)
        async with started as node, asyncio.timeout(PATIENCE):
            kept = await node.caller()
            assert (await kept.call("canje", "1" * 16)).code == 200  # there is a connection to be used
            node.process.send_signal(signal.SIGSTOP)
            while "T" not in stat_of(node.process.pid):
                await asyncio.sleep(0)
            caller = await node.caller()
            caller.send("canje", "2" * 16)
            caller.writer.close()
            await caller.writer.wait_closed()
            node.process.send_signal(signal.SIGCONT)
            assert (await kept.call("canje", "3" * 16)).code == 200
            assert (await kept.call("canje", "4" * 16)).code == 200
            assert backend.count == 3

    run(test())


def stat_of(process: int) -> str:
    """The state of a process, as one letter."""
    return Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()[0]


def test_the_helper_reads_a_process_state() -> None:
    assert stat_of(os.getpid()) in "RS"


def test_an_attempt_for_a_request_that_waited_unread_tells_what_is_left() -> None:
    async def test() -> None:
        backend = Backend()
        limits = {**SETTINGS["policy_limits"], "probes": False}
        async with proxy({"s-1": backend}, policy_limits=limits) as node, asyncio.timeout(PATIENCE):
            kept = await node.caller()
            assert (await kept.call("canje", "1" * 16)).code == 200
            await backend.calls.get()
            node.process.send_signal(signal.SIGSTOP)
            while "T" not in stat_of(node.process.pid):
                await asyncio.sleep(0)
            began = time.monotonic()
            kept.send("canje", "2" * 16, budget="2000m")
            while time.monotonic() < began + 0.8:
                await asyncio.sleep(0.01)
            node.process.send_signal(signal.SIGCONT)
            seen = await backend.calls.get()
            left = 2.0 - (time.monotonic() - began)
            assert microseconds(seen.headers["x-budget"]) <= left + SLACK

    run(test())
