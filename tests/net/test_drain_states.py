"""Servers begin to drain in each state of discovery: nothing is sent too late, and what is allowed is served.

Guards both against requests to a server whose drain counts as known and against refusing all where the
platform's pages allow a request (report a22a10). A drain counts as known once it was written to the proxy, or
6 s after discovery had it and could be reached. A process that connections are refused by can't be reached;
one that rejects calls can, since overload can't be told from an outage.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from enum import Enum

import pytest
from support.drain_plays import DRAIN_GRACE_S, KNOWN_WITHIN_S, Surroundings, surroundings
from support.faulty_discovery import CallFault
from support.loopback import run

SERVERS = 6
DRAINED = frozenset({0, 1, 2})
DRAIN_AFTER_S = 0.3  # from the begin of the state, or the restart
LASTS_S = 11.0  # from the drain to discovery's return
WATCHED_S = 4.0  # from the time at which requests have to be served again
VALID_S = 4.5  # for which a list is valid at least, from the begin of the state or from a restart
MIN_SERVED_FRACTION = 0.95
MAX_FAILURE_LINES_PER_S = 2


class State(Enum):
    """What becomes of discovery; the value is the seconds from its return until requests are served again."""

    UP = 0.0
    CROWDED = 0.01  # rejects two calls after a wait and answers the next ones
    REJECTING = 8.0  # rejects each call after a wait; a rejected call is repeated some seconds later
    DOWN = 1.5  # refuses connections
    SILENT = 5.0  # answers nothing; an unanswered call is given up after 4 s


class Reaction(Enum):
    """What draining servers do with probes."""

    ANSWER = "answer"
    FAIL = "fail"
    DIFFER = "differ"


@dataclass(frozen=True)
class Play:
    """A state of discovery, what draining servers do with probes, and whether the proxy has just started."""

    state: State
    reaction: Reaction
    restarted: bool

    @property
    def is_always_valid(self) -> bool:
        """Whether the list is valid all the time."""
        keeps_list = self.state is State.DOWN and not self.restarted
        return keeps_list or self.state in (State.UP, State.CROWDED)


async def enter(state: State, around: Surroundings) -> None:
    """Begin a state of discovery."""
    if state is State.CROWDED:
        around.discovery.reject_calls(2)
    elif state is State.REJECTING:
        around.discovery.fail_calls(CallFault.REJECTED_AFTER_WAIT)
    elif state is State.SILENT:
        around.discovery.fail_calls(CallFault.SILENT)
    elif state is State.DOWN:
        around.discovery.die()


async def leave(state: State, around: Surroundings) -> None:
    """Let discovery answer again."""
    if state is State.DOWN:
        await around.discovery.revive()
    elif state in (State.REJECTING, State.SILENT):
        around.discovery.fail_calls(CallFault.NONE)


@dataclass(frozen=True)
class Counts:
    """What was counted in a play."""

    play: Play
    late: int
    served: dict[str, tuple[int, int]]  # by phase: requests answered with 200, and all

    def __str__(self) -> str:
        process = "just started" if self.play.restarted else "ran on"
        phases = ", ".join(
            f"{phase} {good} of {total} served" for phase, (good, total) in self.served.items()
        )
        name, reaction = self.play.state.name.lower(), self.play.reaction.value
        return f"{name}, {process}, draining servers {reaction}: {self.late} late, {phases}"

    @property
    def is_good(self) -> bool:
        """Whether nothing was late and what is allowed was served."""
        return not self.late and all(
            good >= MIN_SERVED_FRACTION * total > 0 for good, total in self.served.values()
        )


async def count(play: Play) -> Counts:
    """Play it, and count late requests and those served."""
    async with surroundings(healthy=play.reaction is not Reaction.FAIL, count=SERVERS) as around:
        around.drained = DRAINED
        around.servers.unhealthy = {0} if play.reaction is Reaction.DIFFER else set()
        await enter(play.state, around)
        if play.restarted:
            await around.restart_proxy()
        begun_at = time.monotonic()
        await asyncio.sleep(DRAIN_AFTER_S)
        drained_at = await around.drain()
        await asyncio.sleep(LASTS_S)
        returned_at = time.monotonic()
        await leave(play.state, around)
        served_from = returned_at + play.state.value
        await asyncio.sleep(served_from + WATCHED_S - time.monotonic())
        reachable_at = returned_at if play.state is State.DOWN else drained_at
        known_at = min([reachable_at + KNOWN_WITHIN_S, *around.discovery.written_at])
        phases = {
            "at first": (begun_at, begun_at + VALID_S),
            "at last": (served_from, served_from + WATCHED_S),
        }
        if play.is_always_valid:
            phases["between"] = (begun_at + VALID_S, served_from)
        codes = {phase: around.fleet.codes_between(*span) for phase, span in phases.items()}
        late = len(around.late(known_at + DRAIN_GRACE_S))
        # Connections are refused several times a second, which is not logged each time.
        failures = [line for lines in around.fleet.logs for line in lines if b"call failed" in line]
        assert len(failures) < MAX_FAILURE_LINES_PER_S * (LASTS_S + play.state.value + WATCHED_S), failures[
            :5
        ]
    return Counts(play, late, {phase: (seen.count(200), len(seen)) for phase, seen in codes.items()})


@pytest.mark.parametrize("state", State)
def test_no_request_is_late_and_what_is_allowed_is_served(state: State) -> None:
    async def test() -> None:
        plays = [Play(state, reaction, restarted) for reaction in Reaction for restarted in (False, True)]
        counts = await asyncio.gather(*(count(play) for play in plays))
        print("\n".join(map(str, counts)))
        assert all(each.is_good for each in counts), "\n".join(str(c) for c in counts if not c.is_good)

    run(test())
