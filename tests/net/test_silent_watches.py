"""Servers begin to drain while the watches of all proxies are stalled and discovery can answer few calls.

Guards against requests to a server whose drain counts as known (report 24bf6d: dozens, with 13 proxies). All
watches stalled at once, and each proxy noticed that 4 s later. All called discovery at about the same time,
and the calls beyond its capacity were rejected immediately. A rejected call was repeated 3.5 to 6.4 s later,
so the list arrived after the change counted as known. Meanwhile the server still answered requests while its
health check returned 503, and the proxy took each answer as proof that it was not draining. A replay with a
pause of 15 s after a rejected call confirmed this: one proxy sent 154 requests to the draining server, each
was answered, and all its probes failed.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any

import pytest
from support.loopback import SETTINGS, read_message, response, run
from support.proxies import WatchedDiscovery, proxies

from gladegw.rig.nodes.many import ManyServers

PROXIES = 8
SERVERS = 4
DRAINED = {1}
CALL_TIME_S = 0.4  # s to serve a call that does not continue a watch: 8 proxies are answered within 3.2 s
MAX_QUEUE_TIME_S = 1.0  # s that a call may queue; one that would queue longer is rejected immediately
CONTINUES_WITHIN_S = 0.2  # s from a response within which the next call continues the watch
KNOWN_WITHIN_S = 6.0  # s after which a change counts as known
DRAIN_GRACE_S = 0.55  # s of drain grace, including slack for the sockets
REQUEST_TIME_S = 0.2  # s that a server takes for a request
CLIENTS_PER_PROXY = 8  # the draining server answers some request of each proxy within REQUEST_TIME_S
REQUEST_INTERVAL_S = 0.2  # s between two requests of a client
VALID_FOR_S = 5.0  # for which a list is valid at least after its watch stalled, 0.8 s old at most
CONTRACT = {**SETTINGS["contract"], "drain_grace": 0.5}
WITHOUT_PROBES = {**SETTINGS["policy_limits"], "probes": False}


class LimitedDiscovery(WatchedDiscovery):
    """Serves calls that do not continue a watch one by one and rejects those that would queue too long.

    Watches can be stalled, and all calls that do not continue a watch can be rejected for a time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.generation = 0  # incremented to stall all connections of earlier generations
        self.busy_until = self.reject_until = 0.0
        self.rejected = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        generation = self.generation
        answered_at = -1.0
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                line, _, _ = await read_message(reader)
                continues_watch = time.monotonic() - answered_at <= CONTINUES_WITHIN_S
                answer = await self._answer(line.split(" ")[1], continues_watch)
                if generation != self.generation:
                    await reader.read()  # until the proxy closes the connection
                    break
                writer.write(answer)
                await writer.drain()
                answered_at = time.monotonic()
        writer.close()

    async def _answer(self, target: str, continues_watch: bool) -> bytes:
        if not continues_watch and not await self._queue_call():
            self.rejected += 1
            return response(503)
        return await self.watch(target)

    async def _queue_call(self) -> bool:
        """Queue a call that does not continue a watch; False if it is rejected."""
        now = time.monotonic()
        begins_at = max(now, self.busy_until)
        if now < self.reject_until or begins_at - now > MAX_QUEUE_TIME_S:
            return False
        self.busy_until = begins_at + CALL_TIME_S
        await asyncio.sleep(self.busy_until - now)
        return True

    def stall_watches(self) -> None:
        """Send no further response on the connections that exist now."""
        self.generation += 1


class Outcome:
    """Result of one run with stalled watches."""

    def __init__(self, late: list[float], codes: list[int], rejected_calls: int) -> None:
        self.late = late  # s from the drain to each request sent after the drain counted as known
        self.codes = codes  # status codes of the responses since the drain
        self.rejected_calls = rejected_calls

    @property
    def served(self) -> float:
        """The share of requests that were answered with 200."""
        return self.codes.count(200) / len(self.codes)


async def run_scenario(rejected_for: float, lasts: float, **changes: Any) -> Outcome:
    """Answer all watches at once and stall them; then drain servers and reject calls to discovery.

    Calls are rejected for `rejected_for` seconds from the drain; the run ends `lasts` seconds after it.
    """
    servers, discovery = await ManyServers(SERVERS, REQUEST_TIME_S).start(), await LimitedDiscovery().start()
    servers.rejects = False
    async with proxies(PROXIES, servers, discovery, contract=CONTRACT, **changes) as fleet:
        clients = [address for address in fleet.addresses for _ in range(CLIENTS_PER_PROXY)]
        client_tasks = [asyncio.create_task(fleet.ask(address, REQUEST_INTERVAL_S)) for address in clients]
        await asyncio.sleep(1.0)
        await discovery.publish({"index": 2, "snapshot": False, "endpoints": []})
        await asyncio.sleep(0.3)
        discovery.stall_watches()
        begun = time.monotonic()
        before = len(fleet.codes)
        await discovery.publish(servers.drain(DRAINED, 3))
        discovery.reject_until = begun + rejected_for
        await asyncio.sleep(lasts)
        late = servers.calls_to(DRAINED, begun + KNOWN_WITHIN_S + DRAIN_GRACE_S)
        for task in client_tasks:
            task.cancel()
    servers.stop()
    return Outcome([one.at - begun for one in late], fleet.codes[before:], discovery.rejected)


@pytest.mark.parametrize("limits", [SETTINGS["policy_limits"], WITHOUT_PROBES], ids=["probes", "no-probes"])
def test_no_request_is_sent_to_a_draining_server_after_all_watches_stalled(limits: dict[str, Any]) -> None:
    async def test() -> None:
        outcome = await run_scenario(0.0, 11.0, policy_limits=limits)
        assert not outcome.late, (len(outcome.late), outcome.late[0])
        assert outcome.rejected_calls
        assert outcome.served > 0.9

    run(test())


def test_a_server_that_answers_requests_but_fails_its_probes_gets_none_without_news() -> None:
    """Discovery is reachable, so nothing is sent by an expired list; until then requests are served."""

    async def test() -> None:
        outcome = await run_scenario(12.0, 12.0)
        assert not outcome.late, (len(outcome.late), outcome.late[0])
        assert outcome.served > 0.9 * VALID_FOR_S / 12.0
        assert outcome.codes.count(200) + outcome.codes.count(503) == len(outcome.codes)

    run(test())


def test_without_probes_no_request_is_sent_based_on_an_expired_list() -> None:
    """Discovery is reachable, so a drain counts as known, and without probes nothing else reveals it."""

    async def test() -> None:
        outcome = await run_scenario(12.0, 12.0, policy_limits=WITHOUT_PROBES)
        assert not outcome.late, (len(outcome.late), outcome.late[0])
        assert outcome.codes.count(200) + outcome.codes.count(503) == len(outcome.codes)

    run(test())
