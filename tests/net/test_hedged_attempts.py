"""The decisions and the sockets agree on which attempts are in flight."""

from __future__ import annotations

import asyncio
import copy

from support.loopback import SETTINGS, Backend, Seen, proxy, response, run

from gladegw.net.driver import Driver

WARM_UP_REQUESTS = 30
HANGS_S = 0.9


def test_no_second_attempt_is_decided_while_one_is_in_flight() -> None:
    """Guards against a state that two modules hold differently (reports 58289b, a22a10 and 9346bc).

    Where the settings allow a second copy, the decisions sent one for a stuck request; the driver dropped it.
    """

    async def behave(seen: Seen, writer: asyncio.StreamWriter) -> None:
        if seen.headers["x-call-id"].startswith("e"):
            await asyncio.sleep(HANGS_S)
        writer.write(response(200, b"done"))

    async def test() -> None:
        limits = copy.deepcopy(SETTINGS["policy_limits"]) | {"may_duplicate": True}
        backends = {f"s-{n}": Backend(behave) for n in range(3)}
        async with proxy(backends, policy_limits=limits) as node:
            caller = await node.caller()
            for number in range(WARM_UP_REQUESTS):
                assert (await caller.call("stock", f"f{number:015x}")).code == 200
            for number in range(3):
                await caller.call("stock", f"e{number:015x}", budget="1200m")
            node.terminate()
            assert node.process.stderr is not None
            log = (await node.process.stderr.read()).decode()
        assert Driver.__module__ not in log, log

    run(test())
