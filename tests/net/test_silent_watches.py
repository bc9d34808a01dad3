"""Servers begin to drain while every proxy's watch is silent, and discovery can answer few calls at once.

Seen (report 24bf6d): with 13 proxies, dozens of requests went to a server whose drain counted as known. How
it came about: all watches fell silent at once and a server began to drain. Each proxy noticed 4 s later, all
called discovery within moments, and those beyond what it could answer were refused at once. A refused call
was repeated 3.5 to 6.4 s later, so the news came after they counted as known. Meanwhile the server went on
answering requests while its health check said 503, and the proxy took each answer as proof that it did not
drain. What proved it: in a replay of such a day with the pause after a refused call set to 15 s, one proxy
sent 154 requests to the draining server, each answered, all its probes failed.
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
TURN = 0.4  # s of a call that is not of a watch that goes on: 8 proxies are answered within 3.2 s
MOST_WAIT = 1.0  # s that a call may wait for its turn; one that would wait longer is refused at once
GOES_ON = 0.2  # s from an answer to the next call of a watch
TOLD_WITHIN = 6.0  # s after which a change counts as told
GRACE = 0.55  # s of a drain, with the slack of sockets
WORK = 0.2  # s of a request
CLIENTS = 8  # of each proxy: the draining server answers some request of each proxy within WORK
EVERY = 0.2  # s between two requests of a client
CONTRACT = {**SETTINGS["contract"], "drain_grace": 0.5}
WITHOUT_PROBES = {**SETTINGS["policy_limits"], "probes": False}


class LimitedDiscovery(WatchedDiscovery):
    """Answers first calls one after another and refuses those that would wait too long. Watches can fall
    silent, and all first calls can be refused for a time."""

    def __init__(self) -> None:
        super().__init__()
        self.generation = 0  # of connections; those of an earlier one are silent
        self.busy_until = self.refuse_until = 0.0
        self.refused = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        generation = self.generation
        answered_at = -1.0
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                line, _, _ = await read_message(reader)
                goes_on = time.monotonic() - answered_at <= GOES_ON
                answer = await self._answer(line.split(" ")[1], goes_on)
                if generation != self.generation:
                    await reader.read()  # until the proxy gives up
                    break
                writer.write(answer)
                await writer.drain()
                answered_at = time.monotonic()
        writer.close()

    async def _answer(self, target: str, goes_on: bool) -> bytes:
        if not goes_on and not await self._turn():
            self.refused += 1
            return response(503)
        return await self.watch(target)

    async def _turn(self) -> bool:
        """Waits for a first call's turn; False: it is refused."""
        now = time.monotonic()
        begins_at = max(now, self.busy_until)
        if now < self.refuse_until or begins_at - now > MOST_WAIT:
            return False
        self.busy_until = begins_at + TURN
        await asyncio.sleep(self.busy_until - now)
        return True

    def fall_silent(self) -> None:
        """Nothing is answered any more on the connections that there are."""
        self.generation += 1


class Outcome:
    """What became of the requests of a day with silent watches."""

    def __init__(self, late: list[float], codes: list[int], refused_calls: int) -> None:
        self.late = late  # s from the drain to requests that came after it counted as known
        self.codes = codes  # of the answers from the drain on
        self.refused_calls = refused_calls

    @property
    def served(self) -> float:
        """The share of requests that was answered with 200."""
        return self.codes.count(200) / len(self.codes)


async def played(refused_for: float, lasts: float, **changes: Any) -> Outcome:
    """All watches are answered at one moment and fall silent right after; servers begin to drain, and every
    call to discovery is refused for a time (seconds from the drain)."""
    servers, discovery = await ManyServers(SERVERS, WORK).start(), await LimitedDiscovery().start()
    servers.rejects = False
    async with proxies(PROXIES, servers, discovery, contract=CONTRACT, **changes) as fleet:
        clients = [address for address in fleet.addresses for _ in range(CLIENTS)]
        asking = [asyncio.create_task(fleet.ask(address, EVERY)) for address in clients]
        await asyncio.sleep(1.0)
        await discovery.publish({"index": 2, "snapshot": False, "endpoints": []})
        await asyncio.sleep(0.3)
        discovery.fall_silent()
        begun = time.monotonic()
        before = len(fleet.codes)
        await discovery.publish(servers.drain(DRAINED, 3))
        discovery.refuse_until = begun + refused_for
        await asyncio.sleep(lasts)
        late = servers.calls_to(DRAINED, begun + TOLD_WITHIN + GRACE)
        for task in asking:
            task.cancel()
    servers.stop()
    return Outcome([one.at - begun for one in late], fleet.codes[before:], discovery.refused)


@pytest.mark.parametrize("limits", [SETTINGS["policy_limits"], WITHOUT_PROBES], ids=["probes", "no-probes"])
def test_no_request_goes_to_a_draining_server_after_all_watches_fell_silent(limits: dict[str, Any]) -> None:
    async def test() -> None:
        outcome = await played(0.0, 11.0, policy_limits=limits)
        assert not outcome.late, (len(outcome.late), outcome.late[0])
        assert outcome.refused_calls
        assert outcome.served > 0.9

    run(test())


def test_a_server_that_answers_requests_but_fails_its_probes_gets_none_without_news() -> None:
    async def test() -> None:
        outcome = await played(12.0, 12.0)
        assert not outcome.late, (len(outcome.late), outcome.late[0])
        assert outcome.served > 0.9

    run(test())


def test_without_probes_nothing_is_sent_by_a_list_that_has_lapsed() -> None:
    """Discovery can be reached, so that a drain counts as known, and nothing else tells of one."""

    async def test() -> None:
        outcome = await played(12.0, 12.0, policy_limits=WITHOUT_PROBES)
        assert not outcome.late, (len(outcome.late), outcome.late[0])
        assert outcome.codes.count(200) + outcome.codes.count(503) == len(outcome.codes)

    run(test())
