"""After a stall of the process nothing is decided before the sockets were read; but not for ever."""

from __future__ import annotations

import asyncio
import time

from support.loopback import run

from gladegw.net.stall_monitor import MAX_GAP_S, MAX_SETTLING_S, StallMonitor


def stall(seconds: float) -> None:
    """Keep this process's event loop from running."""
    time.sleep(seconds)


def test_a_stall_is_noticed_and_settles_after_some_loop_turns() -> None:
    async def test() -> None:
        monitor = StallMonitor(asyncio.get_running_loop())
        await asyncio.sleep(0)
        assert not monitor.is_settling()
        before = time.monotonic()
        stall(2 * MAX_GAP_S)
        assert monitor.is_settling()
        assert monitor.unread_since() <= before
        settled = asyncio.Event()
        monitor.when_settled(settled.set)
        async with asyncio.timeout(MAX_SETTLING_S):
            await settled.wait()
        assert not monitor.is_settling()

    run(test())


def test_a_process_that_stalls_again_and_again_still_settles() -> None:
    """Guards against a proxy on a slow machine that decides nothing any more."""

    async def test() -> None:
        monitor = StallMonitor(asyncio.get_running_loop())
        stall(2 * MAX_GAP_S)
        assert monitor.is_settling()
        settled = asyncio.Event()
        monitor.when_settled(settled.set)
        began_at = time.monotonic()
        while not settled.is_set():
            stall(1.5 * MAX_GAP_S)
            await asyncio.sleep(0)
            assert time.monotonic() < began_at + 10 * MAX_SETTLING_S

    run(test())
