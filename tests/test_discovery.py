"""Discovery over real connections: each change is known in the time after which it counts as told."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from netkit import (
    PATIENCE,
    SETTINGS,
    Backend,
    Discovery,
    config,
    endpoint,
    free_address,
    listing,
    proxy,
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
