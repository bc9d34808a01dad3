"""Servers begin to drain while each call to discovery fails, and go on answering requests and probes.

Guards against taking what one draining server did, or a rejected call, for a sign that a server does not
drain (report a22a10): the proxy used each server that answered a probe, once another draining server had
failed one or discovery had rejected a call. No page promises that a draining server fails its probes.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from enum import Enum

import pytest
from support.drain_plays import DRAIN_GRACE_S, KNOWN_WITHIN_S, surroundings
from support.faulty_discovery import CallFault
from support.loopback import run

SERVERS = 6
SEEN = 5  # the server that the proxy has seen drain before
SEEN_DRAIN_S = 2.0  # from its drain to the faults
WATCHED_S = 12.0  # from the drain on


class SeenDrain(Enum):
    """What a proxy has seen of a server that drained before."""

    NONE = "none"
    FAILED_PROBE = "failed its probe"
    ANSWERED_PROBE = "answered its probe"


@dataclass(frozen=True)
class Play:
    """How each call fails from the drain on, and how many servers drain then."""

    fault: CallFault
    seen: SeenDrain
    drained: int
    watch_is_rejected: bool = False

    def __str__(self) -> str:
        watch = "watch rejected, then " if self.watch_is_rejected else ""
        return f"calls {watch}{self.fault.value}, drain seen before: {self.seen.value}, {self.drained} drain"


async def late_requests(play: Play) -> str:
    """Return what was wrong in a play, if anything."""
    async with surroundings(healthy=True, count=SERVERS) as around:
        if play.seen is not SeenDrain.NONE:
            around.drained = frozenset({SEEN})
            around.servers.unhealthy = {SEEN} if play.seen is SeenDrain.FAILED_PROBE else set()
            await around.drain()
            await asyncio.sleep(SEEN_DRAIN_S)
        around.drained = frozenset(range(play.drained))
        if play.watch_is_rejected:
            await around.discovery.go_down()
        else:
            around.discovery.fail_calls(play.fault)
        known_at = await around.drain() + KNOWN_WITHIN_S + DRAIN_GRACE_S
        await asyncio.sleep(known_at - time.monotonic())
        before = len(around.fleet.codes)
        await asyncio.sleep(WATCHED_S - KNOWN_WITHIN_S - DRAIN_GRACE_S)
        codes = around.fleet.codes[before:]
        late = around.late(known_at)
        expiries = [line for line in around.fleet.logs[0] if b"endpoint list expired" in line]
    if not late:
        return ""
    served = f"{codes.count(200)} of {len(codes)} served"
    return f"{play}: {len(late)} late, {served}; {b''.join(expiries[-1:]).decode().strip()}"


FAULTS = (
    (CallFault.REJECTED_AFTER_WAIT, False),
    (CallFault.REJECTED_AT_ONCE, False),
    (CallFault.REJECTED_AFTER_WAIT, True),
    (CallFault.SILENT, False),
)


@pytest.mark.parametrize("seen", SeenDrain)
def test_no_request_goes_to_a_server_that_answers_probes_while_it_drains(seen: SeenDrain) -> None:
    async def test() -> None:
        plays = [Play(fault, seen, drained, rejected) for fault, rejected in FAULTS for drained in (3, 1)]
        found = await asyncio.gather(*(late_requests(play) for play in plays))
        assert not any(found), "\n".join(filter(None, found))

    run(test())
