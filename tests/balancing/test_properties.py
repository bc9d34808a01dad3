"""Property tests: for valid events in any order, the rules are checked on the returned actions alone."""

from __future__ import annotations

from random import Random

import hypothesis.strategies as st
from hypothesis import HealthCheck, given
from hypothesis import settings as checks
from support.balancing import CLASSES, Driver, entries, settings

from gladegw import (
    Arrival,
    Balancer,
    Cancel,
    ClientDisconnected,
    Effect,
    Event,
    Fail,
    ListKind,
    Outcome,
    Probe,
    ProbeResult,
    Reject,
    Send,
    ServerList,
    ServerState,
    SetTimer,
    Status,
    Timer,
)

STATUSES_NEVER_RAN = (Status.REJECTED, Status.CONNECT_FAILED, Status.NOT_SENT)
CLASS_BY_NAME = {cls.name: cls for cls in CLASSES}


class ClientCall:
    """One call as the client and the servers see it."""

    def __init__(self, cls: str, deadline: float) -> None:
        self.cls, self.deadline = CLASS_BY_NAME[cls], deadline
        # Server, send time and status of each attempt; status None: in flight.
        self.attempts: list[tuple[int, float, Status | None]] = []
        self.ended = False

    def first_possible_run(self) -> tuple[int, float, Status | None] | None:
        """Return the first attempt that ran, may have run or may still run."""
        return next((a for a in self.attempts if a[2] not in STATUSES_NEVER_RAN), None)


@checks(max_examples=100, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    data=st.data(),
    may_hedge=st.booleans(),
    may_cancel=st.booleans(),
    may_probe=st.booleans(),
    seed=st.integers(0, 99),
)
def test_rules_hold_for_any_sequence_of_events(
    data: st.DataObject, may_hedge: bool, may_cancel: bool, may_probe: bool, seed: int
) -> None:
    config = settings(
        may_hedge=may_hedge, may_cancel=may_cancel, may_probe=may_probe, polls_endpoints=seed % 2 == 0
    )
    balancer = Balancer(config, seed)
    now = 50.0
    client_calls: dict[int, ClientCall] = {}
    zones = {1: "a", 2: "a", 3: "b", 4: "b"}
    state = dict.fromkeys(zones, ServerState.SERVING)
    timers: list[tuple[float, int]] = []
    probing: list[int] = []
    listed = [entry for server, zone in zones.items() for entry in entries(server, zone=zone)]
    events: list[Event] = [ServerList(ListKind.CACHED, listed)]
    for _ in range(data.draw(st.integers(5, 40))):
        actions = balancer.handle(now, events)
        ended_now = {
            e.call
            for e in events
            if isinstance(e, ClientDisconnected) or (isinstance(e, Outcome) and e.final)
        }
        for action in actions:
            if isinstance(action, Send):
                client_call = client_calls[action.call]
                assert not client_call.ended and now < client_call.deadline
                assert state[action.server] is ServerState.SERVING
                assert len(client_call.attempts) < config.max_attempts
                assert 0 < action.timeout <= client_call.deadline - now + 0.006
                if not may_hedge:
                    assert all(a[2] is not None for a in client_call.attempts)
                first = client_call.first_possible_run()
                if first is not None and client_call.cls.effect is Effect.NOT_IDEMPOTENT:
                    raise AssertionError("second attempt of a non-idempotent call that may have run")
                if first is not None and client_call.cls.effect is Effect.IDEMPOTENCY_KEY:
                    assert now - first[1] < client_call.cls.window
                    assert client_call.cls.group == "all" or zones[first[0]] == zones[action.server]
                client_call.attempts.append((action.server, now, None))
            elif isinstance(action, Reject | Fail):
                client_call = client_calls[action.call]
                # An earlier event of the batch that ends a call may still cause an answer, which is ignored.
                assert not client_call.ended or action.call in ended_now
                assert now <= client_call.deadline + config.answer_slack
                assert all(a[2] is not None for a in client_call.attempts)
                if isinstance(action, Reject) and client_call.first_possible_run() is not None:
                    assert client_call.cls.effect is Effect.IDEMPOTENT or client_call.cls.group == "all"
                    assert client_call.cls.effect is not Effect.NOT_IDEMPOTENT
                client_call.ended = True
            elif isinstance(action, Cancel):
                assert may_cancel and client_calls[action.call].attempts[action.attempt]
            elif isinstance(action, Probe):
                assert may_probe
                probing.append(action.server)
            elif isinstance(action, SetTimer):
                timers.append((now + action.delay, action.token))
        # The clock stops at each due time, so timers and timeouts at a client's deadline are never late.
        due_times = [due for due, _ in timers] + [c.deadline for c in client_calls.values() if not c.ended]
        step = data.draw(st.sampled_from([0.0, 0.005, 0.05, 0.3]))
        now = max(now, min([now + step, *[due for due in due_times if due > now]]))
        events = [Timer(token) for due, token in timers if due <= now]
        timers = [t for t in timers if t[0] > now]
        for call, client_call in client_calls.items():
            out = [n for n, a in enumerate(client_call.attempts) if a[2] is None]
            if now >= client_call.deadline:
                for n in out:
                    server, sent, _ = client_call.attempts[n]
                    client_call.attempts[n] = (server, sent, Status.TIMEOUT)
                    events.append(Outcome(call, n, server, Status.TIMEOUT, now - sent, client_call.ended))
                client_call.deadline = now if out and not client_call.ended else client_call.deadline
        for _ in range(data.draw(st.integers(0, 4))):
            kind = data.draw(
                st.sampled_from(["arrive", "arrive", "settle", "settle", "gone", "list", "probed"])
            )
            in_flight = [
                (c, n) for c, k in client_calls.items() for n, a in enumerate(k.attempts) if a[2] is None
            ]
            if kind == "arrive":
                call = len(client_calls) + 1
                budget = data.draw(st.sampled_from([0.01, 0.3, 1.0, 2.0]))
                cls = data.draw(st.sampled_from(sorted(CLASS_BY_NAME)))
                client_calls[call] = ClientCall(cls, now + budget)
                events.append(Arrival(call, cls, budget))
            elif kind == "settle" and in_flight:
                call, n = data.draw(st.sampled_from(in_flight))
                client_call = client_calls[call]
                status = Status(data.draw(st.integers(0, 7)))
                server, sent, _ = client_call.attempts[n]
                client_call.attempts[n] = (server, sent, status)
                client_call.ended = client_call.ended or status is Status.OK
                events.append(Outcome(call, n, server, status, now - sent, client_call.ended))
            elif kind == "gone":
                left = [c for c, k in client_calls.items() if not k.ended]
                if left:
                    call = data.draw(st.sampled_from(left))
                    client_calls[call].ended = True
                    events.append(ClientDisconnected(call))
            elif kind == "list":
                server = data.draw(st.sampled_from(sorted(zones)))
                state[server] = data.draw(st.sampled_from(list(ServerState)))
                started = data.draw(st.sampled_from([0.0, now]))
                events.append(
                    ServerList(
                        ListKind.INCREMENTAL,
                        entries(server, zone=zones[server], state=state[server], started_at=started),
                    )
                )
            elif kind == "probed" and probing:
                events.append(
                    ProbeResult(probing.pop(), data.draw(st.integers(0, 4)), 0.01, {"busy_reqs": 1.0})
                )
        # A queued call is answered in time: none without an attempt is left open after its deadline.
        if not events:
            events = [Timer(99)]
        late = [
            c for c, k in client_calls.items() if not k.ended and not k.attempts and now > k.deadline + 0.3
        ]
        assert not late, late


@checks(max_examples=40, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    servers=st.integers(3, 8),
    rate=st.sampled_from([4, 15, 50]),
    warm_up=st.sampled_from([0.0, 6.0]),
    latency=st.sampled_from([0.02, 0.2]),
    seed=st.integers(0, 99),
)
def test_instance_keeps_to_its_share_of_a_warming_server(
    servers: int, rate: int, warm_up: float, latency: float, seed: int
) -> None:
    """Checks one instance's own traffic, whatever the others do.

    What it sends to a warming server in any window stays below multiple x capacity x window, where capacity
    is its share of the server's capacity at that time.
    """
    config = settings(
        overload_multiple=3.0,
        overload_window=1.5,
        warmup_start_fraction=0.2,
        warmup_time=10.0,
        may_probe=True,
    )
    driver = Driver(config, seed, entries(*range(1, servers + 1)))
    driver.balancer.admission.window = 50.0
    random = Random(seed)
    call, begun, in_flight, sent_at = 0, driver.now, list[tuple[float, Send]](), list[float]()
    restarted = False
    while driver.now - begun < warm_up + 8.0:
        if not restarted and driver.now - begun >= warm_up:
            restarted, restarted_at = True, driver.now
            driver.feed(ServerList(ListKind.INCREMENTAL, entries(1, started_at=driver.now)))
        call += 1
        actions = driver.wait(random.expovariate(rate))
        for probe in [a for a in actions if isinstance(a, Probe)]:  # the warming server looks idle to all
            busy = 0.0 if probe.server == 1 and restarted else 30.0
            driver.feed(ProbeResult(probe.server, Status.OK, 0.001, {"busy_reqs": busy}))
        for send in [a for a in driver.arrive(call) if isinstance(a, Send)]:
            in_flight.append((driver.now + latency, send))
            if restarted and send.server == 1:
                sent_at.append(driver.now - restarted_at)
        while in_flight and in_flight[0][0] <= driver.now:
            driver.settle(in_flight.pop(0)[1], Status.OK, elapsed=latency)
    share = rate / servers  # this instance's calls per second to a warm server
    for start in sent_at:
        sent = sum(1 for t in sent_at if start <= t < start + 1.5)
        capacity = (0.2 + 0.8 * min(1.0, start / 10.0)) * share * 1.5
        assert sent <= 3.0 * capacity + 2, (start, sent, capacity)
