"""Tests of admission, queueing, server selection and health against values calculated by hand."""

from __future__ import annotations

from random import Random

import pytest
from support.balancing import Driver, entries, only_send, sends, settings

from gladegw import (
    Arrival,
    ClientDisconnected,
    CloseIdle,
    Effect,
    Fail,
    ListKind,
    Outcome,
    Probe,
    ProbeResult,
    Reject,
    RequestClass,
    ServerEntry,
    ServerList,
    ServerState,
    Stalled,
    Status,
    Tenant,
    Timer,
    Watch,
)
from gladegw.balancing.admission import Admission, ClassState
from gladegw.balancing.balancer import TICK_TOKEN


def make_admission(
    window: float, latency: float, rate: float, priority_weights: list[float], stage: int = 0
) -> Admission:
    admission = Admission(stage, Random(3))
    for _ in range(20):
        admission.observe_latency(latency)
    admission.window, admission.rate, admission.mix_latency = window, rate, latency
    admission.history.extend(priority_weights)
    return admission


def test_target_drop_rate() -> None:
    # The window supports 4 / 0.1 = 40 calls per second of 50 that arrive: a fifth is dropped.
    assert make_admission(4, 0.1, 50, [1.0] * 20).target_drop_rate() == pytest.approx(0.2)
    assert make_admission(4, 0.1, 39, [1.0] * 20).target_drop_rate() == 0.0


def test_inner_tiers_reject_at_a_higher_load() -> None:
    # A rejection wastes the work of the tiers above: one tier down the supported rate counts 1.5 times.
    assert make_admission(4, 0.1, 120, [1.0] * 20, stage=1).target_drop_rate() == pytest.approx(0.5)


def test_nothing_is_rejected_without_samples() -> None:
    admission = Admission(0, Random(3))
    admission.rate = 1e6
    admission.update_threshold()
    assert admission.target_drop_rate() == 0.0 and admission.admits(0.0)


def test_threshold_and_tie_reject_fraction() -> None:
    # 70% of the calls have weight 1 and 30% weight 12. Dropping 0.2 of all rejects 2 in 7 of weight 1.
    admission = make_admission(4, 0.1, 50, [1.0] * 70 + [12.0] * 30)
    admission.update_threshold()
    assert admission.threshold == 1.0 and admission.tie_reject_fraction == pytest.approx(0.2 / 0.7)
    assert admission.admits(12.0)
    rejected = sum(not admission.admits(1.0) for _ in range(7000))
    assert rejected == pytest.approx(2000, rel=0.1)
    # Dropping 0.8 of all rejects all calls of weight 1 and a third of the others.
    admission.rate = 200
    admission.update_threshold()
    assert admission.threshold == 12.0 and admission.tie_reject_fraction == pytest.approx(0.1 / 0.3)
    assert not admission.admits(1.0)


def test_threshold_rejects_a_whole_level_that_exactly_meets_the_target() -> None:
    admission = make_admission(4, 0.1, 80, [1.0] * 50 + [12.0] * 50)
    admission.update_threshold()
    assert (
        admission.threshold == 1.0
        and admission.tie_reject_fraction == pytest.approx(1.0)
        and not admission.admits(1.0)
    )


def test_window_grows_only_while_it_limits_and_shrinks_on_late_answers() -> None:
    admission = Admission(0, Random(3))
    admission.in_startup = False
    before = admission.window
    admission.on_good_answer(busy=0)
    assert admission.window == before
    admission.on_good_answer(busy=before)
    assert admission.window > before
    grown = admission.window
    admission.on_late_answer()
    assert admission.window < grown
    for _ in range(100):
        admission.on_late_answer()
    assert admission.window == 2
    # Regression (incident ibba0b4): more instances than servers, each with two calls in flight.
    admission.set_min_window(servers=20, balancers=80)
    for _ in range(100):
        admission.on_late_answer()
    assert admission.window == 1


@pytest.mark.parametrize(
    ("weight", "balancers", "window"), [(5.0, 2, 20.0), (5.0, 8, 5.0), (1.0, 4, 4.0), (1.0, 80, 4.0)]
)
def test_initial_window_follows_the_listed_capacity(weight: float, balancers: int, window: float) -> None:
    # Regression (scenario crowd+term+scrape): a proxy that was restarted under load rejected half of the
    # calls for 3 s, until it had learned its window again.
    driver = Driver(settings(balancers=balancers), servers=entries(1, 2, 3, 4, weight=weight))
    assert driver.balancer.admission.window == window


@pytest.mark.parametrize(("busy", "shrinks"), [(0.0, False), (9.0, True)])
def test_late_answers_shrink_the_window_only_while_servers_are_overloaded(busy: float, shrinks: bool) -> None:
    # Regression (r5136): after a general slowdown, ordinary long calls kept the window at its minimum
    # permanently. Nine calls in ten were rejected while the servers reported almost no load.
    driver = Driver(settings(may_probe=True))
    admission = driver.balancer.admission
    for call in range(40):
        for server in driver.balancer.servers.servers:
            driver.feed(ProbeResult(server, Status.OK, 0.01, {"busy_reqs": busy}))
        for send in sends(driver.arrive(call)):
            driver.wait(0.1)
            driver.settle(send, Status.OK, elapsed=0.95)
    assert (admission.window < 4) is shrinks


def test_a_rejecting_server_is_avoided_and_does_not_shrink_the_window() -> None:
    # Regression (r5136): three servers rejected calls for six seconds. They looked idle, so they were sent
    # further calls, and each rejection shrank the windows of instances that could have used other servers.
    driver = Driver(settings(may_probe=False), servers=entries(1, 2, 3, 4))
    first = only_send(driver.arrive(1000))
    driver.settle(first, Status.OK)
    assert serve(driver, rejecting={first.server}) < 50
    assert driver.balancer.admission.window > 3


def test_the_window_shrinks_if_all_servers_reject() -> None:
    driver = Driver(settings(may_probe=False), servers=entries(1, 2, 3, 4))
    serve(driver, rejecting={1, 2, 3, 4})
    assert driver.balancer.admission.window < 3


def serve(driver: Driver, rejecting: set[int]) -> int:
    """Complete 200 calls with all their attempts; return how many attempts were rejected.

    The servers in `rejecting` reject every attempt.
    """
    rejected = 0
    for call in range(200):
        sent = sends(driver.arrive(call))
        for attempt in range(4):
            if sent:
                status = Status.REJECTED if sent[0].server in rejecting else Status.OK
                rejected += status is Status.REJECTED
                sent = sends(driver.settle(sent[0], status, attempt), call)
        driver.wait(0.05)
    return rejected


@pytest.mark.parametrize(("busy", "shrinks"), [(0.0, False), (9.0, True)])
def test_errors_shrink_the_window_only_while_servers_are_overloaded(busy: float, shrinks: bool) -> None:
    # Regression: failures at inner tiers kept the window at five from the first second on. Half of all calls
    # were rejected while the servers held one or two calls.
    driver = Driver(settings(may_probe=True))
    for call in range(20):
        for server in driver.balancer.servers.servers:
            driver.feed(ProbeResult(server, Status.OK, 0.01, {"busy_reqs": busy}))
        for send in sends(driver.arrive(call, "once")):
            driver.settle(send, Status.ERROR)
    assert (driver.balancer.admission.window < 4) is shrinks


def test_timeouts_shrink_the_window_even_with_idle_servers() -> None:
    driver = Driver(settings(may_probe=True))
    for call in range(10):
        for send in sends(driver.arrive(call)):
            driver.settle(send, Status.TIMEOUT, elapsed=1.0)
    assert driver.balancer.admission.window < 4


def test_ages_of_calls_in_flight_raise_the_processing_time() -> None:
    admission = make_admission(4, 0.1, 50, [1.0] * 20)
    admission.in_flight_age = 10.0  # in mean latencies
    assert admission.processing_time == pytest.approx(0.5)


def test_rejected_calls_count_in_the_processing_time() -> None:
    # Regression (r5136): with the light calls rejected, the processing time was that of the heavy ones, which
    # is three times as long, and the resulting threshold kept rejecting the light ones permanently.
    light = RequestClass("light", priority_weight=1, latency_objective=1.0, deadline=2.0)
    heavy = RequestClass("heavy", priority_weight=9, latency_objective=4.0, deadline=8.0)
    driver = Driver(settings(classes=[light, heavy]))
    driver.balancer.admission.window = 50.0
    for call in range(0, 400, 4):
        for number in range(call, call + 3):
            for send in sends(driver.arrive(number, "light")):
                if call < 200:
                    driver.settle(send, Status.OK, elapsed=0.05)
                else:
                    # Like a rejected call, a cancelled one adds no latency sample.
                    driver.feed(ClientDisconnected(number))
                    driver.settle(send, Status.CANCELLED, final=True)
        driver.settle(only_send(driver.arrive(call + 3, "heavy", 8.0)), Status.OK, elapsed=0.45)
        driver.wait(0.1)
    assert driver.balancer.admission.processing_time == pytest.approx(0.15, rel=0.1)


def test_only_calls_in_flight_that_are_old_for_their_class_raise_the_processing_time() -> None:
    # Most calls in flight at any moment are the long ones of the mix, so ages count relative to the class.
    light = RequestClass("light", priority_weight=1, latency_objective=1.0, deadline=2.0)
    heavy = RequestClass("heavy", priority_weight=9, latency_objective=4.0, deadline=8.0)
    driver = Driver(settings(classes=[light, heavy]))
    class_states, admission = driver.balancer.classes, driver.balancer.admission
    class_states["light"].mean.value, class_states["heavy"].mean.value = 0.05, 0.45
    for call in range(20):
        driver.settle(only_send(driver.arrive(call, "light")), Status.OK, elapsed=0.05)
    driver.arrive(20, "heavy", 8.0)
    driver.wait(0.4)
    mix_latency = admission.mix_latency
    assert mix_latency < 0.1 and admission.processing_time == mix_latency
    driver.wait(1.0)
    assert admission.processing_time > mix_latency


def fill_window(driver: Driver) -> None:
    """Fill the window with calls, so that the next ones are queued."""
    driver.balancer.admission.window = 2.0
    driver.arrive(1001)
    driver.arrive(1002)


def test_queue_length_is_limited_by_the_wait_and_the_lowest_weight_is_rejected() -> None:
    low = RequestClass("low", priority_weight=1, latency_objective=1.0, deadline=2.0)
    high = RequestClass("high", priority_weight=9, latency_objective=1.0, deadline=2.0)
    driver = Driver(settings(classes=[low, high, *settings().classes]))
    fill_window(driver)
    admission = driver.balancer.admission
    admission.mix_latency, admission.latency.count = 0.4, 0.0  # the wait per position is 0.4 / 2 = 0.2 s
    for class_state in driver.balancer.classes.values():
        class_state.mean.value = 0.2
    # With a latency objective of 1 s, 0.2 n + 2 x 0.2 <= 1 allows three positions.
    actions = driver.feed(*[Arrival(call, "low", 2.0) for call in (1, 2, 3, 4)])
    assert [a for a in actions if isinstance(a, Reject)] == [Reject(4)]
    # A new call of higher weight displaces the last queued call and is first in the queue.
    actions = driver.arrive(5, "high")
    assert [a for a in actions if isinstance(a, Reject)] == [Reject(3)]
    assert [call.id for call in driver.balancer.queue] == [5, 1, 2]


def test_queue_always_has_one_position() -> None:
    driver = Driver(settings())
    fill_window(driver)
    driver.balancer.admission.mix_latency = 50.0
    actions = driver.arrive(1)
    assert not [a for a in actions if isinstance(a, Reject)]
    assert [call.id for call in driver.balancer.queue] == [1]


def test_a_batch_is_processed_before_the_call_of_highest_weight_is_sent() -> None:
    driver = Driver(settings())
    driver.balancer.admission.window = 1.0
    actions = driver.feed(Arrival(1, "once", 2.0), Arrival(2, "safe", 2.0))
    assert only_send(actions).call == 2


def test_pick_prefers_the_least_loaded_server_counting_own_sends() -> None:
    driver = Driver(settings(may_probe=True), servers=entries(1, 2))
    driver.feed(
        ProbeResult(1, Status.OK, 0.001, {"busy_reqs": 5.0}),
        ProbeResult(2, Status.OK, 0.001, {"busy_reqs": 3.0}),
    )
    servers = [only_send(driver.arrive(call)).server for call in (1, 2)]
    assert servers == [2, 2]  # load 3, then 3 + 1 own send, against 5 of server 1
    next_servers = {only_send(driver.arrive(call)).server for call in (3, 4)}
    assert 1 in next_servers


def test_pick_without_probes_uses_own_sends_alone() -> None:
    driver = Driver(settings(may_probe=False), servers=entries(1, 2, 3))
    servers = [only_send(driver.arrive(call)).server for call in range(3)]
    assert sorted(servers) == [1, 2, 3]
    assert not [a for a in driver.wait(5.0) if isinstance(a, Probe)]


def test_pick_scales_by_the_listed_weight() -> None:
    listed = [ServerEntry(1, zone="a", weight=3.0), ServerEntry(2, zone="a", weight=1.0)]
    driver = Driver(settings(), servers=listed)
    servers = [only_send(driver.arrive(call)).server for call in range(4)]
    assert servers.count(1) == 3


def test_crossing_price_keeps_calls_in_the_own_zone() -> None:
    listed = entries(1, zone="a") + entries(2, zone="b")
    driver = Driver(settings(price_crossing=0.5), servers=listed)
    assert {only_send(driver.arrive(call)).server for call in range(4)} == {1}


def test_pool_is_bounded_and_covers_all_servers_evenly() -> None:
    counts = dict.fromkeys(range(1, 61), 0)
    for instance in range(60):
        driver = Driver(settings(instance=instance, balancers=60), servers=entries(*range(1, 61)))
        pool = driver.balancer.servers.pool
        assert len(pool) <= 16
        for server in pool:
            counts[server.id] += 1
    assert min(counts.values()) >= 5 and max(counts.values()) <= 16


def test_refused_connections_eject_and_a_probe_readmits() -> None:
    driver = Driver(settings(may_probe=True), servers=entries(1, 2))
    send = only_send(driver.arrive(1))
    driver.settle(send, Status.CONNECT_FAILED)
    others = {only_send(driver.arrive(call)).server for call in (2, 3, 4)}
    assert send.server not in others
    driver.wait(1.0)
    assert Probe(send.server) in driver.actions
    driver.feed(ProbeResult(send.server, Status.OK, 0.001, None))
    assert not driver.balancer.servers.servers[send.server].ejected_until


def test_without_probes_a_call_tries_a_server_whose_ejection_is_over() -> None:
    """Nothing else would readmit it: after an outage of a few seconds all servers would stay ejected."""
    driver = Driver(settings(may_probe=False, max_attempts=1), servers=entries(1, 2))
    for call in (1, 2):
        driver.settle(only_send(driver.arrive(call)), Status.CONNECT_FAILED)
        driver.wait(0.01)
    assert all(server.ejected_until for server in driver.balancer.servers.servers.values())
    driver.wait(1.0)
    succeeding, failing = only_send(driver.arrive(3)), only_send(driver.arrive(4))
    assert succeeding.server != failing.server  # on trial: one call at a time
    driver.settle(succeeding, Status.OK)
    driver.settle(failing, Status.CONNECT_FAILED)
    servers = driver.balancer.servers.servers
    assert not servers[succeeding.server].ejected_until and not servers[succeeding.server].on_trial
    assert servers[failing.server].ejected_until > driver.now


def test_a_server_may_be_ejected_any_number_of_times() -> None:
    driver = Driver(settings(may_probe=False), servers=entries(1, 2))
    servers = driver.balancer.servers
    for _ in range(1100):
        assert servers.eject(servers.servers[1], driver.now, hard=True)
        servers.readmit(servers.servers[1], driver.now)


def test_soft_ejection_is_capped() -> None:
    # When everything is slow, no server is at fault.
    driver = Driver(settings(), servers=entries(*range(1, 7)))
    servers = driver.balancer.servers
    ejected = [servers.eject(server, driver.now, hard=False) for server in servers.servers.values()]
    assert sum(ejected) == 2


def test_hung_server_is_avoided_because_of_the_ages_of_its_calls() -> None:
    driver = Driver(settings(), servers=entries(1, 2, 3))
    sent_to_hung = 0
    for call in range(60):
        driver.wait(0.05)
        for send in sends(driver.arrive(call, "once")):
            if send.server == 1:
                sent_to_hung += 1
            else:
                driver.settle(send, Status.OK)
    assert sent_to_hung <= 8  # an even share would be 20


def test_fast_failing_server_is_avoided() -> None:
    driver = Driver(settings(max_attempts=1), servers=entries(1, 2, 3))
    sent_to_failing = 0
    for call in range(200):
        driver.wait(0.02)
        for send in sends(driver.arrive(call, "once")):
            sent_to_failing += send.server == 1
            fails = send.server == 1
            driver.settle(send, Status.ERROR if fails else Status.OK, elapsed=0.001 if fails else 0.05)
    assert sent_to_failing <= 30  # an even share would be 66, and the failing server looks idle


def test_retries_keep_to_their_budget() -> None:
    driver = Driver(settings(max_attempts=3))
    attempts = 0
    for call in range(200):
        driver.wait(0.02)
        in_flight = [(send, 0) for send in sends(driver.arrive(call))]
        while in_flight:
            send, number = in_flight.pop()
            attempts += 1
            in_flight += [
                (retry, number + 1) for retry in sends(driver.settle(send, Status.ERROR, number), send.call)
            ]
    assert attempts <= 200 * 1.15 + 5


def test_over_quota_calls_have_a_lower_priority_weight() -> None:
    driver = Driver(settings(tenants=[Tenant("t", 2.0)], over_quota_weight=0.1, balancers=1), servers=[])
    driver.feed(*[Arrival(call, "safe", 2.0, "t") for call in range(4)])
    assert [call.priority_weight for call in driver.balancer.queue] == [10.0, 10.0, 1.0, 1.0]


def test_late_retries_are_recognized_by_their_budget() -> None:
    # Regression (incident i37a472): a few long budgets made every first attempt look like a late retry.
    driver = Driver(settings())
    class_state = driver.balancer.classes["safe"]

    def objective_left(budget: float) -> float:
        return driver.balancer.objective_left(class_state, budget, class_state.typical_budget(budget))

    for _ in range(40):
        assert objective_left(1.2) == pytest.approx(1.0)
    assert objective_left(1.4) == pytest.approx(1.0)
    assert objective_left(1.2) == pytest.approx(1.0)
    assert objective_left(0.9) == pytest.approx(1.0 - (2.0 - 0.9))
    inner = Driver(settings(stage=1))
    assert inner.balancer.objective_left(inner.balancer.classes["safe"], 0.3, 0.0) == pytest.approx(1.0)


def test_slow_start_budget_does_not_fall_with_the_send_rate() -> None:
    # Regression (incident ia644e1): few sends allowed even fewer, so a fleet never warmed up during a rolling
    # restart.
    driver = Driver(settings(), servers=entries(1, 2))
    servers = driver.balancer.servers
    servers.send_rate = 40.0
    servers.refill_warmup_tokens(driver.now, 0.05)
    servers.send_rate = 1.0
    driver.feed(ServerList(ListKind.INCREMENTAL, entries(2, started_at=driver.now)))
    warming = servers.servers[2]
    warming.warmup_tokens = 0.0
    servers.refill_warmup_tokens(driver.now, 0.05)
    assert warming.warmup_tokens == pytest.approx(40 / 2 * 0.3 * 1.5 * 0.05, rel=0.02)


def test_first_watch_opens_within_two_seconds_and_failures_back_off() -> None:
    driver = Driver(settings(polls_endpoints=True))
    driver.wait(2.1)
    assert driver.actions.count(Watch(True)) == 1
    assert Watch(True) not in driver.feed(ServerList(ListKind.FAILED))
    assert Watch(True) not in driver.wait(0.09)
    assert driver.wait(0.2).count(Watch(True)) == 1
    assert Watch(True) not in Driver(settings()).wait(12.0)


def test_a_failed_watch_is_retried_soon_however_many_have_failed() -> None:
    """A change counts as known 6 s after discovery became reachable, however many polls failed before."""
    driver = Driver(settings(polls_endpoints=True, max_poll_gap=40.0))
    driver.wait(2.1)
    for failures in range(1100):
        driver.feed(ServerList(ListKind.FAILED))
        if failures > 5:
            assert Watch(True) not in driver.wait(0.45)
        assert driver.wait(1.1).count(Watch(True)) == 1


def test_class_without_late_weight_times_out_at_its_latency_objective() -> None:
    driver = Driver(settings())
    assert only_send(driver.arrive(1)).timeout == pytest.approx(1.0)
    late = RequestClass(
        "late",
        priority_weight=1,
        latency_objective=1.0,
        deadline=2.0,
        late_weight_fraction=0.5,
        effect=Effect.NOT_IDEMPOTENT,
    )
    driver = Driver(settings(classes=[late]))
    send = only_send(driver.arrive(1, "late"))
    assert send.timeout == pytest.approx(2.0)
    driver.now += 2.0
    assert Fail(1) in driver.settle(send, Status.TIMEOUT, elapsed=2.0)


def test_target_of_inner_tiers_is_smaller() -> None:
    cls = settings().classes[0]
    assert ClassState(cls, 1).min_target == pytest.approx(ClassState(cls, 0).min_target / 2)


def test_window_does_not_shrink_before_the_unloaded_latency_is_known() -> None:
    # Regression (riga-orders at low load): each instance got one call per second, which took over a third of
    # its latency objective. The first answers shrank the window before the unloaded latency could be learned,
    # and half of the calls were rejected.
    driver = Driver(settings(may_probe=False))
    admission = driver.balancer.admission
    before = admission.window
    for call in range(15):
        driver.wait(1.0)
        driver.settle(only_send(driver.arrive(call)), Status.OK, elapsed=0.7)
    assert admission.window >= before and admission.target_drop_rate() == 0.0


def test_answer_with_zero_latency_keeps_the_mean_above_zero() -> None:
    # Regression, found by the property test: a division by a mean latency of 0.
    driver = Driver(settings())
    driver.settle(only_send(driver.arrive(1)), Status.OK, elapsed=0.0)
    assert driver.balancer.classes["safe"].mean.value > 0


def test_candidates_are_probed_first_if_calls_are_few_and_probes_cheap() -> None:
    # Regression (karachi-main): with one call in two seconds per instance, the load reports of regular probes
    # are always outdated.
    driver = Driver(settings(may_probe=True, price_probe=0.001), servers=entries(1, 2, 3, 4, 5))
    actions = driver.arrive(1)
    probed = [a.server for a in actions if isinstance(a, Probe)]
    assert len(probed) == 3 and not sends(actions)
    driver.feed(*[ProbeResult(server, Status.OK, 0.001, {"busy_reqs": 4.0}) for server in probed[:2]])
    last_actions = driver.feed(ProbeResult(probed[2], Status.OK, 0.001, {"busy_reqs": 0.0}))
    assert only_send(last_actions).server not in probed[:2]


def test_call_is_sent_without_probe_results_after_a_while() -> None:
    driver = Driver(settings(may_probe=True, price_probe=0.001), servers=entries(1, 2, 3, 4, 5))
    assert not sends(driver.arrive(1))
    assert len(sends(driver.wait(0.011))) == 1


def test_target_stays_above_the_unloaded_latency() -> None:
    # Regression (wa-payments at low load): the unloaded latency was near the target, and the window shrank
    # to 5.
    class_state = ClassState(settings().classes[0], 0)
    min_target = class_state.min_target
    for _ in range(30):
        class_state.mean.add(0.3, 50)
    class_state.update_target(0.05)
    assert class_state.target == pytest.approx(1.75 * 0.3) and class_state.target > min_target
    for _ in range(300):
        class_state.mean.add(0.9, 50)
    class_state.update_target(0.05)
    assert class_state.target < 0.54  # overload does not raise it at once


def test_live_server_that_refuses_connections_is_not_ejected() -> None:
    # Regression (central-santiago at full size): such a server was ejected as down, and its load moved to the
    # other servers.
    driver = Driver(settings(), servers=entries(1))
    first, second = only_send(driver.arrive(1)), only_send(driver.arrive(2))
    driver.settle(first, Status.OK)
    driver.settle(second, Status.CONNECT_FAILED)
    server = driver.balancer.servers.servers[1]
    assert not server.ejected_until
    further = sends(driver.arrive(3)) + sends(driver.actions, 2)[1:]
    assert len(further) == 1 and server.in_flight == 1  # one connection is open: one call at a time


def test_call_that_would_end_too_late_is_not_sent_while_others_are_in_flight() -> None:
    # Regression (incident i37a472): calls with less than a mean latency left were sent and ended too late.
    driver = Driver(settings())
    driver.balancer.classes["safe"].mean.value = 0.4
    only_send(driver.arrive(1))
    actions = driver.arrive(2, budget=0.3)
    assert Reject(2) in actions and not sends(actions)
    alone = Driver(settings())
    alone.balancer.classes["safe"].mean.value = 0.4
    assert len(sends(alone.arrive(2, budget=0.3))) == 1


def test_idle_instance_probes_rarely() -> None:
    # Regression, found at full size: two probes per second amounted to several probes per call where one call
    # arrives per second.
    driver = Driver(settings(may_probe=True))
    first = [a for a in driver.wait(1.0) if isinstance(a, Probe)]
    driver.feed(*[ProbeResult(a.server, Status.OK, 0.001, {"busy_reqs": 0.0}) for a in first])
    probes = 0
    for _ in range(200):
        sent = [a for a in driver.wait(0.1) if isinstance(a, Probe)]
        probes += len(sent)
        driver.feed(*[ProbeResult(a.server, Status.OK, 0.001, {"busy_reqs": 0.0}) for a in sent])
    assert 2 <= probes <= 12


def test_reset_of_an_idle_connection_does_not_eject() -> None:
    # Regression (pratiche-nord with fault idle_reap): each lost idle connection ejected a healthy server, and
    # the next idle connection was still used.
    driver = Driver(settings(), servers=entries(1))
    driver.settle(only_send(driver.arrive(1, "once")), Status.OK)
    driver.wait(3.0)
    send = only_send(driver.arrive(2, "once"))
    assert CloseIdle(1) not in driver.actions
    driver.settle(send, Status.RESET, elapsed=0.001)
    assert not driver.balancer.servers.servers[1].ejected_until
    driver.settle(only_send(driver.arrive(3, "once")), Status.OK)
    driver.wait(3.0)
    actions = driver.arrive(4, "once")
    assert actions.index(CloseIdle(1)) < actions.index(only_send(actions))


def test_reset_of_a_connection_in_use_ejects() -> None:
    driver = Driver(settings(), servers=entries(1, 2))
    send = only_send(driver.arrive(1, "once"))
    driver.settle(send, Status.RESET)
    assert driver.balancer.servers.servers[send.server].ejected_until


def test_one_error_does_not_eject() -> None:
    driver = Driver(settings(), servers=entries(1, 2))
    send = only_send(driver.arrive(1, "once"))
    driver.settle(send, Status.ERROR)
    assert not driver.balancer.servers.servers[send.server].ejected_until


def test_calls_keep_to_open_connections_where_new_ones_are_slow() -> None:
    # Regression (incident i513ea5): a third of the attempts got no connection while open ones were idle.
    def second_pick(new_cost: float) -> int:
        driver = Driver(settings(may_probe=False), servers=entries(1, 2))
        first = only_send(driver.arrive(1))
        for call in range(2, 12):  # one server has an open connection; new ones cost `new_cost`
            driver.settle(first, Status.OK, elapsed=0.1)
            driver.balancer.servers.new_connection_cost.add(new_cost, 30)
            driver.balancer.servers.open_connection_cost.add(1.0, 30)
            first = only_send(driver.arrive(call))
        return int(only_send(driver.arrive(12)).server == first.server)

    assert second_pick(new_cost=4.0) == 1 and second_pick(new_cost=1.0) == 0


def test_unprobed_server_is_assumed_to_be_as_loaded_as_its_zone() -> None:
    # Regression (riga-orders at full size): the zone with most traffic used only its own servers, because
    # those without a probe result looked idle, while the servers of other zones were idle.
    listed = entries(1, 2, 3, zone="a") + entries(4, 5, zone="b")
    driver = Driver(settings(may_probe=True, price_crossing=0.04), servers=listed)
    reports = {1: 9.0, 2: 9.0, 4: 0.0}
    driver.feed(
        *[ProbeResult(server, Status.OK, 0.01, {"busy_reqs": busy}) for server, busy in reports.items()]
    )
    assert {only_send(driver.arrive(call)).server for call in range(3)} <= {4, 5}


def test_new_instance_probes_servers_of_all_zones_first() -> None:
    # Regression (riga-orders at full size): for ten seconds no instance of the overloaded zone knew any load,
    # and all sent to servers of their own zone; the retries that followed kept these overloaded.
    listed = [entry for n, zone in enumerate("abc") for entry in entries(*range(n * 8, n * 8 + 8), zone=zone)]
    driver = Driver(settings(may_probe=True), servers=listed)
    probed = [a.server for a in driver.wait(0.3) if isinstance(a, Probe)]
    assert 6 <= len(probed) <= 10 and len(set(probed)) == len(probed)
    assert any(server >= 8 for server in probed)


def test_pause_of_the_instance_is_not_blamed_on_servers() -> None:
    # Regression (incident i309b5f): instances that were paused for two seconds shrank their windows and
    # ejected servers, although the answers had arrived long before they were read.
    driver = Driver(settings(may_probe=False), servers=entries(1, 2, 3))
    sent = [only_send(driver.arrive(call)) for call in range(3)]
    admission = driver.balancer.admission
    driver.wait(0.05)
    window, processing_time = admission.window, admission.processing_time
    driver.now += 1.9
    actions = driver.feed(
        *[Outcome(send.call, 0, send.server, Status.OK, 1.9, True) for send in sent[:2]],
        Outcome(sent[2].call, 0, sent[2].server, Status.TIMEOUT, 1.9, False),
    )
    assert (
        admission.window == window
        and admission.processing_time == pytest.approx(processing_time)
        and Reject(sent[2].call) in actions
    )
    assert not any(server.ejected_until for server in driver.balancer.servers.servers.values())


def test_short_call_is_sent_after_its_candidates_are_probed() -> None:
    # Regression (pratiche-nord at low load): inner calls with less than 0.1 s left were rejected while they
    # waited a hundredth of a second for probes of their candidates.
    driver = Driver(settings(may_probe=True, price_probe=0.001), servers=entries(1, 2, 3, 4, 5))
    driver.balancer.classes["safe"].mean.value = 0.05
    actions = driver.arrive(1, budget=0.08)
    assert not sends(actions) and Reject(1) not in actions
    assert len(sends(driver.wait(0.012))) == 1


def test_a_route_s_attempt_limit_counts_only_attempts_that_may_have_run() -> None:
    driver = Driver(settings(max_attempts=4))
    first = only_send(driver.arrive(1, max_attempts=1))
    (retry,) = sends(driver.settle(first, Status.CONNECT_FAILED) + driver.wait(0.2), 1)
    assert sends(driver.settle(retry, Status.ERROR, 1) + driver.wait(1.0), 1) == []
    unlimited = Driver(settings(max_attempts=4))
    assert sends(unlimited.settle(only_send(unlimited.arrive(1)), Status.ERROR) + unlimited.wait(0.2), 1)


def test_a_route_timeout_ends_a_call_but_does_not_make_it_look_late() -> None:
    driver = Driver(settings())
    for call in range(60):  # makes the typical budget known
        driver.settle(only_send(driver.arrive(call, budget=2.0)), Status.OK)
        driver.wait(0.05)
    send = only_send(driver.arrive(99, budget=2.0, route_timeout=0.15))
    assert send.timeout < 0.151


@pytest.mark.parametrize("stalled", [False, True])
def test_stalled_time_of_the_process_does_not_make_a_server_look_hung(stalled: bool) -> None:
    """Otherwise the proxy would shed calls with idle servers after a pause of its own process."""
    driver = Driver(settings(), servers=entries(1))
    for call in range(60):
        driver.settle(only_send(driver.arrive(call)), Status.OK, elapsed=0.001)
        driver.wait(0.01)
    driver.arrive(99)
    driver.now += 0.1
    driver.feed(*([Stalled(0.0995)] if stalled else []), Timer(TICK_TOKEN))
    assert (driver.balancer.admission.in_flight_age < 1.0) == stalled


@pytest.mark.parametrize(
    ("budget", "waited", "served"),
    [(0.9, 0.6, True), (0.9, 0.0, False), (0.45, 1.05, True), (1.5, 0.0, True), (0.45, 0.4, False)],
    ids=["waited here", "tried before", "waited long", "usual", "tried before and waited"],
)
def test_a_first_attempt_that_waited_here_is_not_taken_for_a_late_retry(
    budget: float, waited: float, served: bool
) -> None:
    """Otherwise an idle proxy would reject requests that it read late but could still answer in time."""
    driver = Driver(settings())
    for call in range(60):  # makes the typical budget known; it is below the class's deadline of 2 s
        driver.settle(only_send(driver.arrive(call, budget=1.5)), Status.OK)
        driver.wait(0.05)
    actions = driver.arrive(99, budget=budget, waited=waited) + driver.wait(0.05)
    assert bool(sends(actions, 99)) == served


def replace_servers(driver: Driver, *gone: int) -> None:
    """Remove these servers from the endpoint list, and add as many that have just started."""
    driver.feed(
        ServerList(ListKind.INCREMENTAL, entries(*gone, state=ServerState.REMOVED)),
        ServerList(ListKind.INCREMENTAL, entries(*(20 + n for n in gone), started_at=driver.now)),
    )
    driver.wait(0.1)


def driver_with_one_warm_of_four(balancers: int) -> Driver:
    """Return a driver whose window of 12 was learned on four servers, three of them just replaced."""
    driver = Driver(settings(balancers=balancers), servers=entries(1, 2, 3, 4))
    driver.wait(0.1)
    driver.balancer.admission.window = 12.0
    replace_servers(driver, 2, 3, 4)
    return driver


def test_window_is_scaled_down_to_the_servers_that_are_left() -> None:
    # Regression (scenario join+vast): six of ten servers were replaced within 7 s. Seven instances each kept
    # the window that they had learned on all ten, and the warm servers held up to 22 calls each, until
    # timeouts shrank the windows permanently.
    listed = entries(*range(1, 11))
    drivers = [Driver(settings(instance=i, balancers=12), seed=i, servers=listed) for i in range(12)]
    sent = dict.fromkeys(range(1, 11), 0)  # by server
    for driver in drivers:
        driver.wait(0.1)
        driver.balancer.admission.window = 12.0
        replace_servers(driver, *range(5, 11))
        for number in range(30):
            for send in sends(driver.arrive(number, budget=2.0)):
                sent[send.server] = sent.get(send.server, 0) + 1
    # Of the ten servers that the window was learned on, four are warm and six have 0.3 or slightly more of
    # their capacity.
    assert sum(sent.values()) <= 12 * 12 * (4 + 6 * 0.35) / 10


def test_window_recovers_when_the_new_servers_are_warm() -> None:
    driver = driver_with_one_warm_of_four(balancers=8)
    admission = driver.balancer.admission
    assert admission.limit == pytest.approx(12 * (1 + 3 * 0.3) / 4, rel=0.1)
    driver.wait(11.0)  # the warm-up takes 10 s
    assert admission.limit == pytest.approx(12.0)


def test_window_is_not_scaled_below_the_overload_limit() -> None:
    # With few instances, each may use the available servers up to the overload limit of four calls per unit
    # of weight.
    admission = driver_with_one_warm_of_four(balancers=1).balancer.admission
    assert admission.limit == pytest.approx(4 * (1 + 3 * 0.3), rel=0.1)
    admission.window = 5.0  # a learned window below the overload limit is not raised
    assert admission.limit == 5.0
