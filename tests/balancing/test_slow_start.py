"""Slow start over a whole fleet: what all balancers together send to servers that have just started."""

from __future__ import annotations

import asyncio
import heapq
import math
import time
from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as check
from hypothesis import strategies as st
from support.loopback import PATIENCE, SETTINGS, Backend, Discovery, endpoint, proxy, run

from gladegw import (
    Arrival,
    Balancer,
    Event,
    ListKind,
    Outcome,
    Probe,
    ProbeResult,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Settings,
    Status,
    Timer,
)

LATENCY = 0.05  # s of each call
BUSY = 60.0  # calls that a warm server says it holds; a cold one says that it holds none
CLASS = RequestClass("safe", priority_weight=1, latency_objective=1.0, deadline=2.0)


@dataclass
class Fleet:
    """Balancers that share nothing, before servers that answer all alike, in simulated time."""

    settings: Settings
    servers: int
    rate: float  # calls a second of the whole fleet
    skew: float  # how unevenly they are spread over the balancers
    seed: int
    now: float = 1000.0
    sent: dict[int, list[float]] = field(default_factory=dict)
    answered: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.cold_since = dict.fromkeys(range(1, self.servers + 1), 0.0)
        self.sent = {server: [] for server in self.cold_since}
        self.events: list[tuple[float, int, int, Event]] = []
        self.made = self.calls = 0
        self.shares = [math.exp(self.skew * self.random.gauss(0, 1)) for _ in range(self.settings.balancers)]
        self.balancers = [self._balancer(me) for me in range(self.settings.balancers)]

    def _balancer(self, me: int) -> Balancer:
        values = {name: getattr(self.settings, name) for name in self.settings.__slots__}
        balancer = Balancer(Settings(**{**values, "instance": me}), self.random.getrandbits(32))
        self._later(0.0, me, ServerList(ListKind.FULL, self._entries()))
        return balancer

    def _entries(self) -> list[ServerEntry]:
        return [ServerEntry(server, zone="a", started_at=since) for server, since in self.cold_since.items()]

    def _later(self, delay: float, me: int, event: Event) -> None:
        self.made += 1
        heapq.heappush(self.events, (self.now + delay, self.made, me, event))

    def restart(self, *servers: int) -> None:
        """All balancers learn of it at once, and none of them has a call out there."""
        self.cold_since |= dict.fromkeys(servers, self.now)
        for me in range(self.settings.balancers):
            self._later(0.0, me, ServerList(ListKind.FULL, self._entries()))

    def replace_balancers(self) -> None:
        """Each is killed and starts again with nothing learned."""
        self.events = []
        self.balancers = [self._balancer(me) for me in range(self.settings.balancers)]

    def run(self, span: float, rate: float | None = None) -> None:
        end = self.now + span
        rate = self.rate if rate is None else rate
        arrival = self.now + self.random.expovariate(rate)
        while True:
            due = self.events[0][0] if self.events else math.inf
            if min(due, arrival) > end:
                break
            if arrival <= due:
                self.now = arrival
                self.calls += 1
                (me,) = self.random.choices(range(len(self.shares)), self.shares)
                self._handle(me, Arrival(self.calls, "safe", 2.0))
                arrival += self.random.expovariate(rate)
            else:
                self.now, _, me, event = heapq.heappop(self.events)
                self._handle(me, event)
        self.now = end

    def _handle(self, me: int, event: Event) -> None:
        self.answered += isinstance(event, Outcome)
        for action in self.balancers[me].handle(self.now, [event]):
            if isinstance(action, SetTimer):
                self._later(action.delay, me, Timer(action.token))
            elif isinstance(action, Send):
                self.sent[action.server].append(self.now)
                outcome = Outcome(action.call, 0, action.server, Status.OK, LATENCY, True)
                self._later(LATENCY, me, outcome)
            elif isinstance(action, Probe):
                busy = BUSY if self.warmth(action.server, self.now) >= 1 else 0.0
                self._later(0.001, me, ProbeResult(action.server, Status.OK, 0.001, {"busy_reqs": busy}))

    def warmth(self, server: int, at: float) -> float:
        setup, since = self.settings, self.cold_since[server]
        if not since or at >= since + setup.warmup_time:
            return 1.0
        return (
            setup.warmup_start_fraction + (1 - setup.warmup_start_fraction) * (at - since) / setup.warmup_time
        )

    def most_over_budget(self, server: int, capacity: float) -> float:
        """The largest part of its budget that a cold server got in any span; a warm one bears `capacity`."""
        setup, since = self.settings, self.cold_since[server]
        times = [at for at in self.sent[server] if since <= at < since + setup.warmup_time]
        worst = 0.0
        for first, start in enumerate(times):
            got = sum(1 for at in times[first:] if at < start + setup.overload_window)
            middle = self.warmth(server, start + setup.overload_window / 2)
            allowed = setup.overload_multiple * middle * capacity * setup.overload_window
            worst = max(worst, got / bound(allowed))
        return worst


def bound(allowed: float) -> float:
    """The most calls that a budget of `allowed` may become, by the operators' terms."""
    if allowed < 30:
        return allowed + 3 * math.sqrt(allowed) + 3
    return allowed + 2 * math.sqrt(allowed) + 2


def setup(balancers: int, cold_from: float, cold_for: float, multiple: float, within: float) -> Settings:
    return Settings(
        classes=[CLASS],
        zone="a",
        balancers=balancers,
        max_attempts=1,
        warmup_start_fraction=cold_from,
        warmup_time=cold_for,
        overload_multiple=multiple,
        overload_window=within,
        may_probe=True,
        price_probe=0.001,
    )


SETUPS = st.builds(
    setup,
    st.sampled_from([2, 5, 12, 30]),
    st.floats(0.14, 0.5),
    st.floats(6.0, 20.0),
    st.floats(2.0, 4.0),
    st.floats(1.0, 3.0),
)


@check(max_examples=12, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(SETUPS, st.integers(3, 10), st.floats(1.5, 12.0), st.floats(0.0, 1.0), st.integers(0, 1000))
def test_one_cold_server_gets_its_budget_from_all_together(
    drawn: Settings, servers: int, capacity: float, skew: float, seed: int
) -> None:
    fleet = Fleet(drawn, servers, capacity * servers, skew, seed)
    fleet.run(25.0)
    fleet.restart(1)
    fleet.run(drawn.warmup_time)
    assert fleet.most_over_budget(1, capacity) <= 1


@pytest.mark.parametrize("seed", range(4))
def test_thirty_idle_balancers_do_not_all_spend_what_they_saved_at_once(seed: int) -> None:
    """After a pause each may hold a call's worth for the cold server; a burst would spend them all."""
    drawn = setup(30, 0.15, 20.0, 2.0, 1.5)
    fleet = Fleet(drawn, 6, 6 * 8.0, 0.5, seed)
    fleet.run(25.0)
    fleet.restart(1)
    fleet.run(6.0, rate=0.01)
    fleet.run(3.0, rate=6 * 16.0)
    assert fleet.most_over_budget(1, 8.0) <= 1


@check(max_examples=12, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(SETUPS, st.integers(3, 8), st.floats(2.0, 12.0), st.booleans(), st.integers(0, 1000))
def test_a_wholly_cold_fleet_is_served_within_its_budget(
    drawn: Settings, servers: int, capacity: float, fresh: bool, seed: int
) -> None:
    """All servers have just started, before balancers that know them or that have just started too."""
    fleet = Fleet(drawn, servers, capacity * servers, 0.3, seed)
    if not fresh:
        fleet.run(25.0)
    calls, answered = fleet.calls, fleet.answered
    fleet.restart(*fleet.cold_since)
    fleet.run(10.0)
    bears = max(capacity, 1 / LATENCY)  # it does one call after another at least
    assert max(fleet.most_over_budget(server, bears) for server in fleet.cold_since) <= 1
    assert fleet.answered - answered > 0.15 * (fleet.calls - calls)


def test_processes_that_have_just_started_serve_before_servers_that_have_too() -> None:
    async def test() -> None:
        now_ms = int(1000 * time.time())
        backends = [await Backend().start() for _ in range(3)]
        discovery = await Discovery().start()
        discovery.put(
            2,
            *(
                endpoint(f"s-{number}", backend.address, since_ms=now_ms)
                for number, backend in enumerate(backends)
            ),
            snapshot=True,
        )
        limits = {**SETTINGS["policy_limits"], "send_cap": 1}
        async with proxy({"s-0": backends[0]}, discovery, policy_limits=limits, balancers=3) as node:
            async with asyncio.timeout(PATIENCE):
                while not (await discovery.asked.get()).startswith("/v1/servers?from=2"):
                    pass
                served = number = 0
                caller = await node.caller()
                while served < 3:
                    number += 1
                    served += (await caller.call("stock", f"{number:016x}")).code == 200
        assert sum(backend.count for backend in backends) <= number
        for backend in backends:
            await backend.stop()

    run(test())
