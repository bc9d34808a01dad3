"""Slow start across a fleet: how many calls all balancers together send to servers that just started."""

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

LATENCY_S = 0.05  # of each call
WARM_SERVER_LOAD = 60.0  # calls in the load report of a warm server; a warming server reports none
CLASS = RequestClass("safe", priority_weight=1, latency_objective=1.0, deadline=2.0)


@dataclass
class Fleet:
    """Independent balancers and their servers, which all answer alike, in simulated time."""

    settings: Settings
    servers: int
    rate: float  # calls per second of the whole fleet
    skew: float  # how unevenly the calls are spread over the balancers
    seed: int
    now: float = 1000.0
    sent: dict[int, list[float]] = field(default_factory=dict)
    answered: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.started_at = dict.fromkeys(range(1, self.servers + 1), 0.0)
        self.sent = {server: [] for server in self.started_at}
        self.events: list[tuple[float, int, int, Event]] = []
        self.event_count = self.calls = 0
        self.traffic_weights = [
            math.exp(self.skew * self.random.gauss(0, 1)) for _ in range(self.settings.balancers)
        ]
        self.balancers = [self._balancer(me) for me in range(self.settings.balancers)]

    def _balancer(self, me: int) -> Balancer:
        values = {name: getattr(self.settings, name) for name in self.settings.__slots__}
        balancer = Balancer(Settings(**{**values, "instance": me}), self.random.getrandbits(32))
        self._schedule(0.0, me, ServerList(ListKind.FULL, self._entries()))
        return balancer

    def _entries(self) -> list[ServerEntry]:
        return [ServerEntry(server, zone="a", started_at=since) for server, since in self.started_at.items()]

    def _schedule(self, delay: float, me: int, event: Event) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, me, event))

    def restart(self, *servers: int) -> None:
        """Restart servers that have no calls in flight; all balancers get the new list immediately."""
        self.started_at |= dict.fromkeys(servers, self.now)
        for me in range(self.settings.balancers):
            self._schedule(0.0, me, ServerList(ListKind.FULL, self._entries()))

    def replace_balancers(self) -> None:
        """Kill all balancers and start them again without what they learned."""
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
                (me,) = self.random.choices(range(len(self.traffic_weights)), self.traffic_weights)
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
                self._schedule(action.delay, me, Timer(action.token))
            elif isinstance(action, Send):
                self.sent[action.server].append(self.now)
                outcome = Outcome(action.call, 0, action.server, Status.OK, LATENCY_S, True)
                self._schedule(LATENCY_S, me, outcome)
            elif isinstance(action, Probe):
                load = WARM_SERVER_LOAD if self.warmup_fraction(action.server, self.now) >= 1 else 0.0
                self._schedule(0.001, me, ProbeResult(action.server, Status.OK, 0.001, {"busy_reqs": load}))

    def warmup_fraction(self, server: int, at: float) -> float:
        settings, since = self.settings, self.started_at[server]
        if not since or at >= since + settings.warmup_time:
            return 1.0
        return (
            settings.warmup_start_fraction
            + (1 - settings.warmup_start_fraction) * (at - since) / settings.warmup_time
        )

    def max_budget_use(self, server: int, capacity: float) -> float:
        """Return the highest ratio of calls to budget over all overload windows of a server's warm-up.

        `capacity`: calls per second that a warm server can serve.
        """
        settings, since = self.settings, self.started_at[server]
        times = [at for at in self.sent[server] if since <= at < since + settings.warmup_time]
        worst = 0.0
        for first, start in enumerate(times):
            sent = sum(1 for at in times[first:] if at < start + settings.overload_window)
            warmup_fraction = self.warmup_fraction(server, start + settings.overload_window / 2)
            allowed = settings.overload_multiple * warmup_fraction * capacity * settings.overload_window
            worst = max(worst, sent / max_calls(allowed))
        return worst


def max_calls(allowed: float) -> float:
    """Return the maximum number of calls that the operators' terms accept for a budget of `allowed` calls."""
    if allowed < 30:
        return allowed + 3 * math.sqrt(allowed) + 3
    return allowed + 2 * math.sqrt(allowed) + 2


def make_settings(
    balancers: int,
    warmup_start_fraction: float,
    warmup_time: float,
    overload_multiple: float,
    overload_window: float,
) -> Settings:
    return Settings(
        classes=[CLASS],
        zone="a",
        balancers=balancers,
        max_attempts=1,
        warmup_start_fraction=warmup_start_fraction,
        warmup_time=warmup_time,
        overload_multiple=overload_multiple,
        overload_window=overload_window,
        may_probe=True,
        price_probe=0.001,
    )


SETTINGS_STRATEGY = st.builds(
    make_settings,
    st.sampled_from([2, 5, 12, 30]),
    st.floats(0.14, 0.5),
    st.floats(6.0, 20.0),
    st.floats(2.0, 4.0),
    st.floats(1.0, 3.0),
)


@check(max_examples=12, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(SETTINGS_STRATEGY, st.integers(3, 10), st.floats(1.5, 12.0), st.floats(0.0, 1.0), st.integers(0, 1000))
def test_all_balancers_together_keep_the_budget_of_a_warming_server(
    fleet_settings: Settings, servers: int, capacity: float, skew: float, seed: int
) -> None:
    fleet = Fleet(fleet_settings, servers, capacity * servers, skew, seed)
    fleet.run(25.0)
    fleet.restart(1)
    fleet.run(fleet_settings.warmup_time)
    assert fleet.max_budget_use(1, capacity) <= 1


@pytest.mark.parametrize("seed", range(4))
def test_thirty_idle_balancers_do_not_spend_saved_tokens_in_one_burst(seed: int) -> None:
    """After a pause each may have saved a token for the warming server; a burst would spend all of them."""
    fleet_settings = make_settings(30, 0.15, 20.0, 2.0, 1.5)
    fleet = Fleet(fleet_settings, 6, 6 * 8.0, 0.5, seed)
    fleet.run(25.0)
    fleet.restart(1)
    fleet.run(6.0, rate=0.01)
    fleet.run(3.0, rate=6 * 16.0)
    assert fleet.max_budget_use(1, 8.0) <= 1


@check(max_examples=12, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(SETTINGS_STRATEGY, st.integers(3, 8), st.floats(2.0, 12.0), st.booleans(), st.integers(0, 1000))
def test_calls_are_served_within_the_budget_while_all_servers_warm_up(
    fleet_settings: Settings, servers: int, capacity: float, fresh: bool, seed: int
) -> None:
    """All servers just started; the balancers have learned from traffic, or just started too (`fresh`)."""
    fleet = Fleet(fleet_settings, servers, capacity * servers, 0.3, seed)
    if not fresh:
        fleet.run(25.0)
    calls, answered = fleet.calls, fleet.answered
    fleet.restart(*fleet.started_at)
    fleet.run(10.0)
    server_capacity = max(capacity, 1 / LATENCY_S)  # a server can serve at least one call at a time
    assert max(fleet.max_budget_use(server, server_capacity) for server in fleet.started_at) <= 1
    assert fleet.answered - answered > 0.15 * (fleet.calls - calls)


def test_a_proxy_that_just_started_uses_servers_that_just_started() -> None:
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
