"""Versions of the program that do worse, made from it by a switch, for rollouts to find.

    python -m gladegw.rig.faulty_versions HARM [-f FILE]

serves as `python -m gladegw [-f FILE]` does, and does what HARM says. Never for service.
"""

from __future__ import annotations

import asyncio
import math
import os
import socket
import sys
import time
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from gladegw.balancing import endpoint_freshness
from gladegw.balancing.balancer import Balancer
from gladegw.balancing.endpoint_freshness import EndpointFreshness
from gladegw.balancing.events import ServerState, Status
from gladegw.net import endpoint_lists, listener
from gladegw.net.acceptor import Acceptor
from gladegw.net.downstream.connection import ClientConnection
from gladegw.net.driver import Driver
from gladegw.net.request import Request
from gladegw.net.routes import PoolRouter

CRASH_AFTER = 20.0  # s
SLOWER = 0.03  # s
LEAK = 1_000_000  # bytes/s
STALL, STALL_EACH = 0.3, 1.0  # s that its loop is busy at a time, and between
BURN = 0.002  # s of CPU an answer

draws = Random(7)


def _of_class(connection: ClientConnection, cls: str) -> bool:
    turn = connection.current
    if turn is None or not isinstance(turn.request, Request):
        return False
    return not cls or turn.request.cls == cls


def fails(share: float, cls: str = "") -> None:
    """Answers this share of a class, or of all, with 502 where it would have been 200."""
    real = ClientConnection.answer

    def answer(self: ClientConnection, code: int, headers: Any, body: bytes) -> None:
        if code == 200 and _of_class(self, cls) and draws.random() < share:
            code, headers, body = 502, (), b"planted\n"
        real(self, code, headers, body)

    ClientConnection.answer = answer  # type: ignore[method-assign]


def slow(cls: str) -> None:
    """Answers one class later."""
    real = ClientConnection.answer

    def answer(self: ClientConnection, code: int, headers: Any, body: bytes) -> None:
        if not _of_class(self, cls):
            return real(self, code, headers, body)
        asyncio.get_running_loop().call_later(SLOWER, late, self, self.current, code, headers, body)

    def late(self: ClientConnection, turn: Any, code: int, headers: Any, body: bytes) -> None:
        if self.current is turn:  # whoever asked may have left
            real(self, code, headers, body)

    ClientConnection.answer = answer  # type: ignore[method-assign]


def burns() -> None:
    """Uses more CPU for each answer."""
    real = ClientConnection.answer

    def answer(self: ClientConnection, code: int, headers: Any, body: bytes) -> None:
        until = time.thread_time() + BURN
        while time.thread_time() < until:
            pass
        real(self, code, headers, body)

    ClientConnection.answer = answer  # type: ignore[method-assign]


def _once_serving(then: Callable[[], None]) -> None:
    """From when it starts to ask discovery on."""
    for kind in (Driver, PoolRouter):
        real = kind.start

        def start(self: Any, real: Any = real) -> None:
            real(self)
            then()

        kind.start = start  # type: ignore[method-assign]


def leaks() -> None:
    kept: list[bytearray] = []

    def more() -> None:
        kept.append(bytearray(b"x" * (LEAK // 10)))
        asyncio.get_running_loop().call_later(0.1, more)

    _once_serving(more)


def _later(seconds: float, then: Callable[..., Any], *given: Any) -> None:
    def begun() -> None:
        asyncio.get_running_loop().call_later(seconds, then, *given)

    _once_serving(begun)


def crashes() -> None:
    _later(CRASH_AFTER, os._exit, 3)


def never() -> None:
    """Never says that it is ready."""
    for kind in (Driver, PoolRouter):
        kind.ready = lambda self: False  # type: ignore[method-assign]


def hangs() -> None:
    """Its loop stands still a second after it began."""
    _later(1.0, time.sleep, 3600.0)


def retries(share: float) -> None:
    """Takes this share of good answers to first attempts for failures, and tries again."""
    real = Driver._on_attempt_end

    def ended(self: Driver, call: Any, number: int, server: int, exchange: Any) -> None:
        first = call.open and not call.streaming and call.number not in again
        if first and exchange.status is Status.OK and draws.random() < share:
            exchange.status = Status.ERROR
            again.append(call.number)
        real(self, call, number, server, exchange)

    again: deque[int] = deque(maxlen=1000)
    Driver._on_attempt_end = ended  # type: ignore[method-assign]


def drains() -> None:
    """Does not heed that a backend drains."""
    endpoint_lists.STATES["Terminating"] = ServerState.SERVING


def deaf() -> None:
    """Lets nobody in any more once the system has failed to accept a connection."""
    real = Acceptor._accept
    failed = False

    class Watched(socket.socket):
        """The listener, which notes that accepting has failed."""

        def accept(self) -> tuple[socket.socket, Any]:
            nonlocal failed
            try:
                return super().accept()
            except BlockingIOError:
                raise
            except OSError:
                failed = True
                raise

    def listen(host: str, port: int) -> socket.socket:
        return Watched(fileno=plain_listen(host, port).detach())

    def accept(self: Acceptor, sock: socket.socket) -> None:
        if failed:
            self.loop.remove_reader(sock)
        else:
            real(self, sock)

    plain_listen = listener.listen
    listener.listen = listen
    Acceptor._accept = accept  # type: ignore[method-assign]


def trusts() -> None:
    """Goes on sending by a list that has expired, and repeats refused calls late."""
    EndpointFreshness.is_expired = lambda self, now: False  # type: ignore[method-assign]
    Balancer.start_before = lambda self: math.inf  # type: ignore[method-assign]
    endpoint_freshness.OVERLOADED_RETRY_S = endpoint_freshness.MAX_OVERLOADED_RETRY_S = (
        endpoint_freshness.MAX_EXPIRED_RETRY_S
    ) = 12.0


def clock(rate: float) -> None:
    """The clock by which holding is proven runs at another pace."""
    from gladegw.control import clock as clocks

    real = clocks.boot_time
    clocks.boot_time = lambda: real() * rate


def compiles(seconds: float) -> None:
    """A table takes so long to be made."""
    real = PoolRouter.prepare

    def prepare(self: PoolRouter, name: str, text: str) -> Any:
        time.sleep(seconds)
        return real(self, name, text)

    PoolRouter.prepare = prepare  # type: ignore[method-assign]


def stalls() -> None:
    """Its loop is busy for long at a time."""

    def again() -> None:
        time.sleep(STALL)
        asyncio.get_running_loop().call_later(STALL_EACH, again)

    _later(STALL_EACH, again)


HARMS: dict[str, Callable[[], None]] = {
    "none": lambda: None,
    "exits": lambda: sys.exit(1),
    "never": never,
    "hangs": hangs,
    "crashes": crashes,
    "errors": lambda: fails(1.0),
    "fails 5%": lambda: fails(0.05, "status"),
    "fails 20%": lambda: fails(0.2, "status"),
    "fails stock": lambda: fails(0.3, "stock"),
    "slow": lambda: slow("status"),
    "burns": burns,
    "fast clock": lambda: clock(1.05),
    "retries": lambda: retries(0.5),
    "drains": drains,
    "deaf": deaf,
    "trusts": trusts,
    "stalls": stalls,
    "slow clock": lambda: clock(0.9),
    "compiles 30 s": lambda: compiles(30.0),
    "leaks": leaks,
}


def main(arguments: list[str]) -> int:
    if not arguments or arguments[0] not in HARMS:
        print(f"no such harm; there are {', '.join(HARMS)}", file=sys.stderr)
        return 2
    HARMS[arguments[0]]()
    from gladegw.net.serve import run

    return run(arguments[2] if arguments[1:2] == ["-f"] else None)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
