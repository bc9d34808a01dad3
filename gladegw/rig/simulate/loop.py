"""An event loop whose clock jumps to the next timer, and whose callbacks belong to simulated processes that
can stand still or be gone."""

from __future__ import annotations

import asyncio
import math
import secrets
import selectors
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import Context, ContextVar, copy_context
from random import Random
from typing import Any

PROCESS: ContextVar[str] = ContextVar("process", default="")  # whose callback runs
EPOCH = 1.8e9  # s since 1970, at which each simulation begins
WORK = 0.02  # s that a piece of work in a thread takes


class Stuck(Exception):
    """Nobody waits for anything that could come."""


class Jump(selectors.SelectSelector):
    """What waits for a time has it at once."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise Stuck
        self.loop.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        selector = Jump()
        self.now = 1000.0
        super().__init__(selector)
        selector.loop = self
        self.still: dict[str, float] = {}  # until when, by process; for ever: it is gone
        self.waiting: dict[str, deque[tuple[asyncio.Handle, Callable[[], None], Context]]] = {}

    def time(self) -> float:
        return self.now

    # processes
    def stop_process(self, name: str, until: float) -> None:
        self.still[name] = max(until, self.still.get(name, 0.0))

    def release(self) -> None:
        """All that stands still or is gone runs again, to be cancelled."""
        self.still.clear()
        for name in list(self.waiting):
            for handle, run, context in self.waiting.pop(name):
                if not handle.cancelled():
                    super().call_soon(run, context=context)

    def stands(self, name: str) -> bool:
        return self.still.get(name, 0.0) > self.now

    def _owned(self, callback: Callable[..., Any], args: tuple[Any, ...], context: Context) -> Any:
        """The callback as it runs while its process does; `handle` is set by the caller."""
        name = context.get(PROCESS, "")
        handle: list[asyncio.Handle] = []

        def run() -> None:
            if name and (self.stands(name) or self.waiting.get(name)):
                self._later(name, handle[0], lambda: callback(*args), context)
            else:
                callback(*args)

        return run, handle

    def _later(self, name: str, handle: asyncio.Handle, run: Callable[[], None], context: Context) -> None:
        queue = self.waiting.setdefault(name, deque())
        queue.append((handle, run, context))
        if len(queue) == 1 and self.still[name] < math.inf:
            self._wake(name)

    def _wake(self, name: str) -> None:
        """All that waits runs in its order, once the process does."""

        def drain() -> None:
            if self.stands(name):
                if self.still[name] < math.inf:
                    self._wake(name)
                return
            for handle, run, context in self.waiting.pop(name, ()):
                if not handle.cancelled():
                    super(VirtualLoop, self).call_soon(run, context=context)

        super().call_at(max(self.now, self.still[name]), drain, context=Context())

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        context = context if context is not None else copy_context()
        run, handle = self._owned(callback, args, context)
        handle.append(super().call_soon(run, context=context))
        owned: asyncio.Handle = handle[0]
        return owned

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        context = context if context is not None else copy_context()
        run, handle = self._owned(callback, args, context)
        made = super().call_at(when, run, context=context)
        handle.append(made)
        return made

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        future = self.create_future()

        def work() -> None:
            if future.cancelled():
                return
            try:
                future.set_result(func(*args))
            except Exception as fault:
                future.set_exception(fault)

        self.call_later(WORK, work)
        return future


@contextmanager
def virtual(seed: int) -> Iterator[VirtualLoop]:
    """A loop, and the process's clocks led by it; names that are drawn to be unlike any other are drawn by
    the seed."""
    real = time.monotonic, time.time, secrets.token_hex
    loop = VirtualLoop()
    draws = Random(f"names {seed}")
    secrets.token_hex = lambda nbytes=None: draws.randbytes(nbytes or 32).hex()
    time.monotonic = loop.time
    time.time = lambda: EPOCH + loop.now
    asyncio.set_event_loop(loop)
    try:
        yield loop
    finally:
        time.monotonic, time.time, secrets.token_hex = real
        asyncio.set_event_loop(None)
        loop.close()
