"""Admission, queue, pick and health against figures worked out by hand."""

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


def admission(window: float, latency: float, rate: float, worths: list[float], stage: int = 0) -> Admission:
    part = Admission(stage, Random(3))
    for _ in range(20):
        part.observe_latency(latency)
    part.window, part.rate, part.mix_latency = window, rate, latency
    part.history.extend(worths)
    return part


def test_drop_fraction() -> None:
    # ST = 4 / 0.1 = 40 a second of 50 that come: a fifth is dropped.
    assert admission(4, 0.1, 50, [1.0] * 20).target_drop_rate() == pytest.approx(0.2)
    assert admission(4, 0.1, 39, [1.0] * 20).target_drop_rate() == 0.0


def test_inner_tiers_refuse_later() -> None:
    # Work above is sunk: one tier down ST weighs 1.5 times.
    assert admission(4, 0.1, 120, [1.0] * 20, stage=1).target_drop_rate() == pytest.approx(0.5)


def test_nothing_is_refused_without_samples() -> None:
    part = Admission(0, Random(3))
    part.rate = 1e6
    part.update_threshold()
    assert part.target_drop_rate() == 0.0 and part.admits(0.0)


def test_cut_and_tie_share() -> None:
    # 70% at 1, 30% at 12. Dropping 0.2 of all refuses 2 in 7 of the cheap ones.
    part = admission(4, 0.1, 50, [1.0] * 70 + [12.0] * 30)
    part.update_threshold()
    assert part.threshold == 1.0 and part.tie_reject_fraction == pytest.approx(0.2 / 0.7)
    assert part.admits(12.0)
    refused = sum(not part.admits(1.0) for _ in range(7000))
    assert refused == pytest.approx(2000, rel=0.1)
    # Dropping 0.8 of all takes all cheap ones and a third of the others.
    part.rate = 200
    part.update_threshold()
    assert part.threshold == 12.0 and part.tie_reject_fraction == pytest.approx(0.1 / 0.3)
    assert not part.admits(1.0)


def test_cut_takes_the_whole_level_when_the_cdf_just_reaches_the_target() -> None:
    part = admission(4, 0.1, 80, [1.0] * 50 + [12.0] * 50)
    part.update_threshold()
    assert part.threshold == 1.0 and part.tie_reject_fraction == pytest.approx(1.0) and not part.admits(1.0)


def test_window_grows_only_while_it_limits_and_shrinks_on_late_answers() -> None:
    part = Admission(0, Random(3))
    part.in_startup = False
    before = part.window
    part.on_good_answer(busy=0)
    assert part.window == before
    part.on_good_answer(busy=before)
    assert part.window > before
    grown = part.window
    part.on_late_answer()
    assert part.window < grown
    for _ in range(100):
        part.on_late_answer()
    assert part.window == 2
    # Found in incident ibba0b4: more instances than servers, each with two calls out.
    part.set_min_window(servers=20, balancers=80)
    for _ in range(100):
        part.on_late_answer()
    assert part.window == 1


@pytest.mark.parametrize(
    ("weight", "balancers", "window"), [(5.0, 2, 20.0), (5.0, 8, 5.0), (1.0, 4, 4.0), (1.0, 80, 4.0)]
)
def test_window_starts_by_the_capacity_that_is_listed(weight: float, balancers: int, window: float) -> None:
    # Found on crowd+term+scrape: a proxy restarted under load refused half for 3 s, until W was learned anew.
    driver = Driver(settings(balancers=balancers), servers=entries(1, 2, 3, 4, weight=weight))
    assert driver.balancer.admission.window == window


@pytest.mark.parametrize(("held", "closes"), [(0.0, False), (9.0, True)])
def test_late_answers_close_the_window_only_where_servers_are_crowded(held: float, closes: bool) -> None:
    # Found in r5136: a slowness of all servers, then ordinary long work, kept W at its floor for good while
    # the servers reported next to nothing and nine calls of ten were refused.
    driver = Driver(settings(may_probe=True))
    part = driver.balancer.admission
    for call in range(40):
        for server in driver.balancer.servers.servers:
            driver.feed(ProbeResult(server, Status.OK, 0.01, {"busy_reqs": held}))
        for send in sends(driver.arrive(call)):
            driver.wait(0.1)
            driver.settle(send, Status.OK, elapsed=0.95)
    assert (part.window < 4) is closes


def test_a_server_that_turns_calls_away_is_avoided_and_closes_no_window() -> None:
    # Found in r5136: three servers turned calls away for six seconds. They looked idle, so calls went on to
    # them, and each refusal closed the windows of those that could have used the others.
    driver = Driver(settings(may_probe=False), servers=entries(1, 2, 3, 4))
    first = only_send(driver.arrive(1000))
    driver.settle(first, Status.OK)
    assert serve(driver, rejecting={first.server}) < 50
    assert driver.balancer.admission.window > 3


def test_servers_that_all_turn_calls_away_close_the_window() -> None:
    driver = Driver(settings(may_probe=False), servers=entries(1, 2, 3, 4))
    serve(driver, rejecting={1, 2, 3, 4})
    assert driver.balancer.admission.window < 3


def serve(driver: Driver, rejecting: set[int]) -> int:
    """Settles 200 calls with all their attempts; returns how many attempts were turned away."""
    away = 0
    for call in range(200):
        out = sends(driver.arrive(call))
        for attempt in range(4):
            if out:
                status = Status.REJECTED if out[0].server in rejecting else Status.OK
                away += status is Status.REJECTED
                out = sends(driver.settle(out[0], status, attempt), call)
        driver.wait(0.05)
    return away


@pytest.mark.parametrize(("held", "closes"), [(0.0, False), (9.0, True)])
def test_errors_close_the_window_only_where_servers_are_crowded(held: float, closes: bool) -> None:
    # Found on a scored day: failures further in kept W at five from the first second, and half of all calls
    # were refused while the servers held one or two.
    driver = Driver(settings(may_probe=True))
    for call in range(20):
        for server in driver.balancer.servers.servers:
            driver.feed(ProbeResult(server, Status.OK, 0.01, {"busy_reqs": held}))
        for send in sends(driver.arrive(call, "once")):
            driver.settle(send, Status.ERROR)
    assert (driver.balancer.admission.window < 4) is closes


def test_time_outs_close_the_window_even_of_idle_servers() -> None:
    driver = Driver(settings(may_probe=True))
    for call in range(10):
        for send in sends(driver.arrive(call)):
            driver.settle(send, Status.TIMEOUT, elapsed=1.0)
    assert driver.balancer.admission.window < 4


def test_outstanding_ages_raise_proc() -> None:
    part = admission(4, 0.1, 50, [1.0] * 20)
    part.in_flight_age = 10.0  # mean latencies
    assert part.processing_time == pytest.approx(0.5)


def test_refused_calls_weigh_in_proc() -> None:
    # Found in r5136: with the cheap calls refused, procQ was that of the heavy ones, three times as long, and
    # the cut that followed from it kept the cheap ones out for good.
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
                    driver.feed(ClientDisconnected(number))  # as good as refused: nothing is learned from it
                    driver.settle(send, Status.CANCELLED, final=True)
        driver.settle(only_send(driver.arrive(call + 3, "heavy", 8.0)), Status.OK, elapsed=0.45)
        driver.wait(0.1)
    assert driver.balancer.admission.processing_time == pytest.approx(0.15, rel=0.1)


def test_heavy_calls_in_flight_are_not_old() -> None:
    # The calls that are out at a moment are the long ones of the mix: only what is old for its class counts.
    light = RequestClass("light", priority_weight=1, latency_objective=1.0, deadline=2.0)
    heavy = RequestClass("heavy", priority_weight=9, latency_objective=4.0, deadline=8.0)
    driver = Driver(settings(classes=[light, heavy]))
    kinds, part = driver.balancer.classes, driver.balancer.admission
    kinds["light"].mean.value, kinds["heavy"].mean.value = 0.05, 0.45
    for call in range(20):
        driver.settle(only_send(driver.arrive(call, "light")), Status.OK, elapsed=0.05)
    driver.arrive(20, "heavy", 8.0)
    driver.wait(0.4)
    usual = part.mix_latency
    assert usual < 0.1 and part.processing_time == usual
    driver.wait(1.0)
    assert part.processing_time > usual


def full(driver: Driver) -> None:
    """Fills the window with calls, so that the next ones are held."""
    driver.balancer.admission.window = 2.0
    driver.arrive(1001)
    driver.arrive(1002)


def test_queue_holds_what_its_wait_allows_and_drops_the_lowest() -> None:
    cheap = RequestClass("cheap", priority_weight=1, latency_objective=1.0, deadline=2.0)
    dear = RequestClass("dear", priority_weight=9, latency_objective=1.0, deadline=2.0)
    driver = Driver(settings(classes=[cheap, dear, *settings().classes]))
    full(driver)
    part = driver.balancer.admission
    part.mix_latency, part.latency.count = 0.4, 0.0  # a place waits 0.4 / 2 = 0.2 s
    for kind in driver.balancer.classes.values():
        kind.mean.value = 0.2
    # Within an aim of 1 s: 0.2 n + 2 x 0.2 <= 1 allows three places.
    actions = driver.feed(*[Arrival(call, "cheap", 2.0) for call in (1, 2, 3, 4)])
    assert [a for a in actions if isinstance(a, Reject)] == [Reject(4)]
    # A worthier newcomer displaces the lowest held call and goes first.
    actions = driver.arrive(5, "dear")
    assert [a for a in actions if isinstance(a, Reject)] == [Reject(3)]
    assert [call.id for call in driver.balancer.queue] == [5, 1, 2]


def test_one_place_remains() -> None:
    driver = Driver(settings())
    full(driver)
    driver.balancer.admission.mix_latency = 50.0
    actions = driver.arrive(1)
    assert not [a for a in actions if isinstance(a, Reject)]
    assert [call.id for call in driver.balancer.queue] == [1]


def test_whole_batch_is_taken_in_before_the_worthiest_goes() -> None:
    driver = Driver(settings())
    driver.balancer.admission.window = 1.0
    actions = driver.feed(Arrival(1, "once", 2.0), Arrival(2, "safe", 2.0))
    assert only_send(actions).call == 2


def test_pick_takes_the_fewest_in_flight_counting_own_sends() -> None:
    driver = Driver(settings(may_probe=True), servers=entries(1, 2))
    driver.feed(
        ProbeResult(1, Status.OK, 0.001, {"busy_reqs": 5.0}),
        ProbeResult(2, Status.OK, 0.001, {"busy_reqs": 3.0}),
    )
    servers = [only_send(driver.arrive(call)).server for call in (1, 2)]
    assert servers == [2, 2]  # 3, then 4 of its own against 5
    more = {only_send(driver.arrive(call)).server for call in (3, 4)}
    assert 1 in more


def test_pick_without_probes_uses_own_sends_alone() -> None:
    driver = Driver(settings(may_probe=False), servers=entries(1, 2, 3))
    servers = [only_send(driver.arrive(call)).server for call in range(3)]
    assert sorted(servers) == [1, 2, 3]
    assert not [a for a in driver.wait(5.0) if isinstance(a, Probe)]


def test_pick_scales_by_the_listed_size() -> None:
    listed = [ServerEntry(1, zone="a", weight=3.0), ServerEntry(2, zone="a", weight=1.0)]
    driver = Driver(settings(), servers=listed)
    servers = [only_send(driver.arrive(call)).server for call in range(4)]
    assert servers.count(1) == 3


def test_crossing_price_keeps_calls_at_home() -> None:
    listed = entries(1, zone="a") + entries(2, zone="b")
    driver = Driver(settings(price_crossing=0.5), servers=listed)
    assert {only_send(driver.arrive(call)).server for call in range(4)} == {1}


def test_pool_is_bounded_and_covers_all_servers_evenly() -> None:
    counts = dict.fromkeys(range(1, 61), 0)
    for me in range(60):
        driver = Driver(settings(instance=me, balancers=60), servers=entries(*range(1, 61)))
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
    """Nothing else would bring it back: after a cut of a few seconds no server would be left for good."""
    driver = Driver(settings(may_probe=False, max_attempts=1), servers=entries(1, 2))
    for call in (1, 2):
        driver.settle(only_send(driver.arrive(call)), Status.CONNECT_FAILED)
        driver.wait(0.01)
    assert all(server.ejected_until for server in driver.balancer.servers.servers.values())
    driver.wait(1.0)
    tried, other = only_send(driver.arrive(3)), only_send(driver.arrive(4))
    assert tried.server != other.server  # on trial: one call at a time
    driver.settle(tried, Status.OK)
    driver.settle(other, Status.CONNECT_FAILED)
    known = driver.balancer.servers.servers
    assert not known[tried.server].ejected_until and not known[tried.server].on_trial
    assert known[other.server].ejected_until > driver.now


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


def test_hung_server_is_left_by_the_ages_of_its_calls() -> None:
    driver = Driver(settings(), servers=entries(1, 2, 3))
    hung = 0
    for call in range(60):
        driver.wait(0.05)
        for send in sends(driver.arrive(call, "once")):
            if send.server == 1:
                hung += 1
            else:
                driver.settle(send, Status.OK)
    assert hung <= 8  # of the 20 that an even share would be


def test_fast_failing_server_is_left() -> None:
    driver = Driver(settings(max_attempts=1), servers=entries(1, 2, 3))
    failing = 0
    for call in range(200):
        driver.wait(0.02)
        for send in sends(driver.arrive(call, "once")):
            failing += send.server == 1
            bad = send.server == 1
            driver.settle(send, Status.ERROR if bad else Status.OK, elapsed=0.001 if bad else 0.05)
    assert failing <= 30  # an even share would be 66, and it looks idle


def test_retries_keep_to_their_budget() -> None:
    driver = Driver(settings(max_attempts=3))
    tries = 0
    for call in range(200):
        driver.wait(0.02)
        todo = [(send, 0) for send in sends(driver.arrive(call))]
        while todo:
            send, number = todo.pop()
            tries += 1
            todo += [
                (again, number + 1) for again in sends(driver.settle(send, Status.ERROR, number), send.call)
            ]
    assert tries <= 200 * 1.15 + 5


def test_over_share_calls_are_worth_less() -> None:
    driver = Driver(settings(tenants=[Tenant("t", 2.0)], over_quota_weight=0.1, balancers=1), servers=[])
    driver.feed(*[Arrival(call, "safe", 2.0, "t") for call in range(4)])
    assert [call.priority_weight for call in driver.balancer.queue] == [10.0, 10.0, 1.0, 1.0]


def test_late_tries_are_known_by_their_budget() -> None:
    # Found in incident i37a472: a few long budgets made every first try look late.
    driver = Driver(settings())
    kind = driver.balancer.classes["safe"]

    def aim_left(budget: float) -> float:
        return driver.balancer.objective_left(kind, budget, kind.typical_budget(budget))

    for _ in range(40):
        assert aim_left(1.2) == pytest.approx(1.0)
    assert aim_left(1.4) == pytest.approx(1.0)
    assert aim_left(1.2) == pytest.approx(1.0)
    assert aim_left(0.9) == pytest.approx(1.0 - (2.0 - 0.9))
    inner = Driver(settings(stage=1))
    assert inner.balancer.objective_left(inner.balancer.classes["safe"], 0.3, 0.0) == pytest.approx(1.0)


def test_cold_budget_does_not_fall_with_the_send_rate() -> None:
    # Found in incident ia644e1: few sends allowed fewer still, and a fleet in a roll stayed cold.
    driver = Driver(settings(), servers=entries(1, 2))
    servers = driver.balancer.servers
    servers.send_rate = 40.0
    servers.refill_warmup_tokens(driver.now, 0.05)
    servers.send_rate = 1.0
    driver.feed(ServerList(ListKind.INCREMENTAL, entries(2, started_at=driver.now)))
    cold = servers.servers[2]
    cold.warmup_tokens = 0.0
    servers.refill_warmup_tokens(driver.now, 0.05)
    assert cold.warmup_tokens == pytest.approx(40 / 2 * 0.3 * 1.5 * 0.05, rel=0.02)


def test_asking_starts_within_two_seconds_and_backs_off() -> None:
    driver = Driver(settings(polls_endpoints=True))
    driver.wait(2.1)
    assert driver.actions.count(Watch(True)) == 1
    assert Watch(True) not in driver.feed(ServerList(ListKind.FAILED))
    assert Watch(True) not in driver.wait(0.09)
    assert driver.wait(0.2).count(Watch(True)) == 1
    assert Watch(True) not in Driver(settings()).wait(12.0)


def test_a_failed_call_is_repeated_within_a_second_however_many_failed() -> None:
    """A change counts as told 6 s after discovery could be reached, whatever calls failed before."""
    driver = Driver(settings(polls_endpoints=True, max_poll_gap=40.0))
    driver.wait(2.1)
    for failures in range(1100):
        driver.feed(ServerList(ListKind.FAILED))
        if failures > 5:
            assert Watch(True) not in driver.wait(0.45)
        assert driver.wait(1.1).count(Watch(True)) == 1


def test_class_without_late_worth_times_out_at_its_aim() -> None:
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


def test_window_stays_open_until_the_unhurried_latency_is_known() -> None:
    # Found on the quiet day of riga-orders: a call a second an instance, each taking over a third of its
    # aim. W closed on the first answers, before the unhurried latency could be learned, and half was refused.
    driver = Driver(settings(may_probe=False))
    part = driver.balancer.admission
    before = part.window
    for call in range(15):
        driver.wait(1.0)
        driver.settle(only_send(driver.arrive(call)), Status.OK, elapsed=0.7)
    assert part.window >= before and part.target_drop_rate() == 0.0


def test_answer_within_the_same_instant_is_no_fault() -> None:
    # Found by the property test: a mean latency of 0 divided.
    driver = Driver(settings())
    driver.settle(only_send(driver.arrive(1)), Status.OK, elapsed=0.0)
    assert driver.balancer.classes["safe"].mean.value > 0


def test_few_calls_and_cheap_probes_ask_before_sending() -> None:
    # Found on karachi-main: with one call in two seconds an instance, steady reports are always stale.
    driver = Driver(settings(may_probe=True, price_probe=0.001), servers=entries(1, 2, 3, 4, 5))
    actions = driver.arrive(1)
    asked = [a.server for a in actions if isinstance(a, Probe)]
    assert len(asked) == 3 and not sends(actions)
    driver.feed(*[ProbeResult(server, Status.OK, 0.001, {"busy_reqs": 4.0}) for server in asked[:2]])
    idle = driver.feed(ProbeResult(asked[2], Status.OK, 0.001, {"busy_reqs": 0.0}))
    assert only_send(idle).server not in asked[:2]


def test_call_that_asked_goes_without_answers_after_a_while() -> None:
    driver = Driver(settings(may_probe=True, price_probe=0.001), servers=entries(1, 2, 3, 4, 5))
    assert not sends(driver.arrive(1))
    assert len(sends(driver.wait(0.011))) == 1


def test_target_is_never_below_what_an_unhurried_call_takes() -> None:
    # Found on a quiet day of wa-payments: the unhurried latency was near the target and W closed to 5.
    kind = ClassState(settings().classes[0], 0)
    least = kind.min_target
    for _ in range(30):
        kind.mean.add(0.3, 50)
    kind.learn_base(0.05)
    assert kind.target == pytest.approx(1.75 * 0.3) and kind.target > least
    for _ in range(300):
        kind.mean.add(0.9, 50)
    kind.learn_base(0.05)
    assert kind.target < 0.54  # a crowd does not raise it at once


def test_live_server_without_room_for_connections_is_kept() -> None:
    # Found on a full-size day of central-santiago: ejected as dead, it left its calls to the rest.
    driver = Driver(settings(), servers=entries(1))
    first, second = only_send(driver.arrive(1)), only_send(driver.arrive(2))
    driver.settle(first, Status.OK)
    driver.settle(second, Status.CONNECT_FAILED)
    server = driver.balancer.servers.servers[1]
    assert not server.ejected_until
    again = sends(driver.arrive(3)) + sends(driver.actions, 2)[1:]
    assert len(again) == 1 and server.in_flight == 1  # one connection is open: one call at a time


def test_hopeless_call_is_not_sent_while_others_are_out() -> None:
    # Found in incident i37a472: calls with less than a mean latency left were sent and ended too late.
    driver = Driver(settings())
    driver.balancer.classes["safe"].mean.value = 0.4
    only_send(driver.arrive(1))
    actions = driver.arrive(2, budget=0.3)
    assert Reject(2) in actions and not sends(actions)
    alone = Driver(settings())
    alone.balancer.classes["safe"].mean.value = 0.4
    assert len(sends(alone.arrive(2, budget=0.3))) == 1


def test_idle_instance_probes_seldom() -> None:
    # Found at full size: two probes a second cost several probes a call where a call a second comes.
    driver = Driver(settings(may_probe=True))
    first = [a for a in driver.wait(1.0) if isinstance(a, Probe)]
    driver.feed(*[ProbeResult(a.server, Status.OK, 0.001, {"busy_reqs": 0.0}) for a in first])
    probes = 0
    for _ in range(200):
        asked = [a for a in driver.wait(0.1) if isinstance(a, Probe)]
        probes += len(asked)
        driver.feed(*[ProbeResult(a.server, Status.OK, 0.001, {"busy_reqs": 0.0}) for a in asked])
    assert 2 <= probes <= 12


def test_reset_on_an_idle_connection_is_not_the_server_s_fault() -> None:
    # Found on idle_reap days of pratiche-nord: each lost idle connection ejected a sound server, and the
    # next idle one was used all the same.
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
    # Found in incident i513ea5: a third of the attempts got no connection while open ones stood idle.
    def second_pick(new_cost: float) -> int:
        driver = Driver(settings(may_probe=False), servers=entries(1, 2))
        first = only_send(driver.arrive(1))
        for call in range(2, 12):  # open on one server, and slow or not when opened
            driver.settle(first, Status.OK, elapsed=0.1)
            driver.balancer.servers.new_connection_cost.add(new_cost, 30)
            driver.balancer.servers.open_connection_cost.add(1.0, 30)
            first = only_send(driver.arrive(call))
        return int(only_send(driver.arrive(12)).server == first.server)

    assert second_pick(new_cost=4.0) == 1 and second_pick(new_cost=1.0) == 0


def test_unasked_server_is_as_loaded_as_its_zone() -> None:
    # Found on the first full-size day of riga-orders: the room with most traffic kept to its own servers,
    # since those that no probe had reached looked idle, while other rooms stood idle.
    listed = entries(1, 2, 3, zone="a") + entries(4, 5, zone="b")
    driver = Driver(settings(may_probe=True, price_crossing=0.04), servers=listed)
    reports = {1: 9.0, 2: 9.0, 4: 0.0}
    driver.feed(
        *[ProbeResult(server, Status.OK, 0.01, {"busy_reqs": busy}) for server, busy in reports.items()]
    )
    assert {only_send(driver.arrive(call)).server for call in range(3)} <= {4, 5}


def test_new_instance_asks_over_all_zones_first() -> None:
    # Found at full size of riga-orders: for ten seconds every instance of the crowded room knew nothing of
    # the loads and sent to its own servers; the retries that followed kept them crowded.
    listed = [entry for n, zone in enumerate("abc") for entry in entries(*range(n * 8, n * 8 + 8), zone=zone)]
    driver = Driver(settings(may_probe=True), servers=listed)
    asked = [a.server for a in driver.wait(0.3) if isinstance(a, Probe)]
    assert 6 <= len(asked) <= 10 and len(set(asked)) == len(asked)
    assert any(server >= 8 for server in asked)


def test_own_pause_is_not_read_as_slow_servers() -> None:
    # Found in incident i309b5f: balancers that stood still for two seconds closed their windows and ejected
    # servers for answers that had long been there.
    driver = Driver(settings(may_probe=False), servers=entries(1, 2, 3))
    out = [only_send(driver.arrive(call)) for call in range(3)]
    part = driver.balancer.admission
    driver.wait(0.05)
    window, proc = part.window, part.processing_time
    driver.now += 1.9
    actions = driver.feed(
        *[Outcome(send.call, 0, send.server, Status.OK, 1.9, True) for send in out[:2]],
        Outcome(out[2].call, 0, out[2].server, Status.TIMEOUT, 1.9, False),
    )
    assert (
        part.window == window
        and part.processing_time == pytest.approx(proc)
        and Reject(out[2].call) in actions
    )
    assert not any(server.ejected_until for server in driver.balancer.servers.servers.values())


def test_short_call_is_sent_once_its_candidates_are_asked() -> None:
    # Found on the quiet day of pratiche-nord: inner calls with less than 0.1 s left were refused while they
    # waited a hundredth for their probes.
    driver = Driver(settings(may_probe=True, price_probe=0.001), servers=entries(1, 2, 3, 4, 5))
    driver.balancer.classes["safe"].mean.value = 0.05
    actions = driver.arrive(1, budget=0.08)
    assert not sends(actions) and Reject(1) not in actions
    assert len(sends(driver.wait(0.012))) == 1


def test_a_route_lets_no_more_run_than_it_allows_and_what_never_ran_costs_nothing() -> None:
    driver = Driver(settings(max_attempts=4))
    first = only_send(driver.arrive(1, max_attempts=1))
    (again,) = sends(driver.settle(first, Status.CONNECT_FAILED) + driver.wait(0.2), 1)
    assert sends(driver.settle(again, Status.ERROR, 1) + driver.wait(1.0), 1) == []
    free = Driver(settings(max_attempts=4))
    assert sends(free.settle(only_send(free.arrive(1)), Status.ERROR) + free.wait(0.2), 1)


def test_a_routes_time_ends_a_call_and_does_not_make_it_look_late() -> None:
    driver = Driver(settings())
    for call in range(60):  # the usual budget becomes known
        driver.settle(only_send(driver.arrive(call, budget=2.0)), Status.OK)
        driver.wait(0.05)
    send = only_send(driver.arrive(99, budget=2.0, route_timeout=0.15))
    assert send.timeout < 0.151


@pytest.mark.parametrize("stalled", [False, True])
def test_time_in_which_this_process_stood_still_makes_no_server_look_hung(stalled: bool) -> None:
    """Guards against shedding with idle servers after a pause of the proxy itself."""
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
    """Guards against requests refused by an idle proxy because they were read late, with objective left."""
    driver = Driver(settings())
    for call in range(60):  # the usual budget, below the class's deadline of 2 s, becomes known
        driver.settle(only_send(driver.arrive(call, budget=1.5)), Status.OK)
        driver.wait(0.05)
    actions = driver.arrive(99, budget=budget, waited=waited) + driver.wait(0.05)
    assert bool(sends(actions, 99)) == served


def replaced(driver: Driver, *gone: int) -> None:
    """These servers are gone and others, cold, have come in their place."""
    driver.feed(
        ServerList(ListKind.INCREMENTAL, entries(*gone, state=ServerState.REMOVED)),
        ServerList(ListKind.INCREMENTAL, entries(*(20 + n for n in gone), started_at=driver.now)),
    )
    driver.wait(0.1)


def with_one_warm_of_four(balancers: int) -> Driver:
    """W is 12, learned on four servers; three of them have just been replaced."""
    driver = Driver(settings(balancers=balancers), servers=entries(1, 2, 3, 4))
    driver.wait(0.1)
    driver.balancer.admission.window = 12.0
    replaced(driver, 2, 3, 4)
    return driver


def test_what_was_learned_on_all_servers_does_not_fill_the_few_that_are_left() -> None:
    # Found on join+vast: six in ten were replaced within 7 s, seven instances each kept the W that they had
    # learned on all ten, and the warm ones held up to 22 calls each until time-outs closed W for good.
    listed = entries(*range(1, 11))
    instances = [Driver(settings(instance=me, balancers=12), seed=me, servers=listed) for me in range(12)]
    held = dict.fromkeys(range(1, 11), 0)
    for driver in instances:
        driver.wait(0.1)
        driver.balancer.admission.window = 12.0
        replaced(driver, *range(5, 11))
        for number in range(30):
            for send in sends(driver.arrive(number, budget=2.0)):
                held[send.server] = held.get(send.server, 0) + 1
    # Four warm ones and six at 0.3 or a little more of their capacity stand, of ten that W was learned on.
    assert sum(held.values()) <= 12 * 12 * (4 + 6 * 0.35) / 10


def test_w_is_back_when_the_new_servers_are_warm() -> None:
    driver = with_one_warm_of_four(balancers=8)
    part = driver.balancer.admission
    assert part.limit == pytest.approx(12 * (1 + 3 * 0.3) / 4, rel=0.1)
    driver.wait(11.0)  # cold_for is 10 s
    assert part.limit == pytest.approx(12.0)


def test_w_is_not_scaled_below_what_crowds_the_servers_left() -> None:
    # Where instances are few, each may fill what is left until it is crowded: four calls a unit of weight.
    part = with_one_warm_of_four(balancers=1).balancer.admission
    assert part.limit == pytest.approx(4 * (1 + 3 * 0.3), rel=0.1)
    part.window = 5.0  # learned lower, it stays lower
    assert part.limit == 5.0
