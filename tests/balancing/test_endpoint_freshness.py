"""How long an endpoint list stays valid, and when discovery is polled again (report 24bf6d)."""

from __future__ import annotations

import heapq
from enum import Enum
from itertools import count
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.balancing import Driver, entries, only_send, sends, settings

from gladegw import (
    Balancer,
    DiscoveryFailure,
    ListKind,
    ProbeResult,
    ServerList,
    SetTimer,
    Settings,
    Status,
    Timer,
    Watch,
)
from gladegw.balancing.balancer import TICK_TOKEN
from gladegw.balancing.endpoint_freshness import EndpointFreshness
from gladegw.balancing.events import Event

DRAIN_GRACE_S = 0.5
CONNECT_TIMEOUT_S = 0.1
CHANGE_KNOWN_AFTER_S = 6.0  # a change counts as known this long after discovery had it
CHANGE_KNOWN_AFTER_MOVE_S = 4.0  # the same, counted from a change of discovery's address
MAX_POLL_GAP_S = 10.0  # of the settings
MAX_OBSERVATION_GAP_S = 1.0  # between two signs of an outage
REJECTED_AFTER_S = 0.86  # that a call waits until it is rejected, as in report a22a10
STEP_S = 0.05  # control step of the Balancer
SILENCE_RANGE_S = (1.2, 2.0)  # until a silent watch is closed; depends on how long it was open
MAX_QUEUE_WAIT_S = 1.0  # in discovery's queue; a call that would wait longer is rejected immediately
START_S = 100.0  # on the simulated clock; in the fleet tests all watches fall silent at this time


def new_freshness() -> EndpointFreshness:
    """Return the freshness of a real proxy whose list was updated at START_S."""
    freshness = EndpointFreshness(Random(1), polls=True, drain_grace=DRAIN_GRACE_S, watch_is_confirmed=True)
    freshness.on_update(START_S, by_discovery=True)
    return freshness


def expires_after(freshness: EndpointFreshness) -> float:
    """Return the seconds from START_S until the list has expired."""
    step = 0
    while not freshness.is_expired(START_S + step * STEP_S):
        step += 1
    return step * STEP_S


def test_a_list_expires_when_a_missed_drain_counts_as_known_and_its_grace_is_over() -> None:
    freshness = new_freshness()
    freshness.on_failure(START_S + 2.0, DiscoveryFailure.UNANSWERED)
    assert (
        CHANGE_KNOWN_AFTER_S
        < expires_after(freshness)
        < CHANGE_KNOWN_AFTER_S + DRAIN_GRACE_S - CONNECT_TIMEOUT_S
    )


def simulated_freshness() -> EndpointFreshness:
    """Return the freshness of a simulated instance whose list was updated at START_S."""
    freshness = EndpointFreshness(Random(1), polls=True, drain_grace=DRAIN_GRACE_S)
    freshness.start(0.0, MAX_POLL_GAP_S)
    freshness.on_update(START_S, by_discovery=True)
    return freshness


def test_a_watched_list_never_expires() -> None:
    assert not simulated_freshness().is_expired(START_S + 1000.0)


def test_a_simulated_instance_counts_as_told_four_poll_gaps_after_a_failed_poll() -> None:
    freshness = simulated_freshness()
    freshness.on_failure(START_S + 1.0, DiscoveryFailure.WATCH_REJECTED)
    polled_at = freshness.next_poll_at
    assert freshness.should_poll(polled_at)
    freshness.on_failure(polled_at + 1.0, DiscoveryFailure.WATCH_REJECTED)
    told_at = polled_at + 4 * MAX_POLL_GAP_S
    assert not freshness.is_expired(told_at)
    assert freshness.is_expired(told_at + DRAIN_GRACE_S)


def test_a_list_expires_though_no_call_has_failed_where_watches_are_confirmed() -> None:
    """Guards against a list that is used after a stall in which the process noticed no failed call."""
    freshness = EndpointFreshness(Random(1), True, DRAIN_GRACE_S, watch_is_confirmed=True)
    freshness.on_update(START_S, by_discovery=True)
    assert (
        CHANGE_KNOWN_AFTER_S
        < expires_after(freshness)
        < CHANGE_KNOWN_AFTER_S + DRAIN_GRACE_S - CONNECT_TIMEOUT_S
    )


def test_a_list_expires_once_a_process_that_does_not_poll_counts_as_told() -> None:
    """Guards against a lease of 6 s where the settings ask for a poll in less (report 58289b)."""
    freshness = EndpointFreshness(Random(1), True, DRAIN_GRACE_S, watch_is_confirmed=True)
    freshness.start(START_S, max_poll_gap=4.0)
    freshness.on_update(START_S, by_discovery=True)
    assert 4.0 < expires_after(freshness) < 4.0 + DRAIN_GRACE_S


def test_a_list_is_valid_however_long_a_connect_may_take() -> None:
    """Guards against refusals of all requests: an attempt that connects too long does not begin anyway."""
    driver = Driver(
        settings(polls_endpoints=True, watch_is_confirmed=True, connect_timeout=20.0), servers=entries(1)
    )
    driver.feed(ServerList(ListKind.FULL, entries(1)))
    driver.wait(1.0)
    assert only_send(driver.arrive(1)).start_within < CHANGE_KNOWN_AFTER_S


def test_after_an_address_change_a_list_expires_sooner() -> None:
    freshness = new_freshness()
    freshness.on_address_change(START_S)
    freshness.on_failure(START_S + 2.1, DiscoveryFailure.UNANSWERED)
    assert (
        CHANGE_KNOWN_AFTER_MOVE_S
        < expires_after(freshness)
        < CHANGE_KNOWN_AFTER_MOVE_S + DRAIN_GRACE_S - CONNECT_TIMEOUT_S
    )
    freshness.on_update(START_S + 3.0, by_discovery=True)
    freshness.on_failure(START_S + 3.0, DiscoveryFailure.UNANSWERED)
    assert expires_after(freshness) > 3.0 + CHANGE_KNOWN_AFTER_S


def test_a_list_expires_after_an_address_change_while_no_answer_arrives() -> None:
    freshness = new_freshness()
    freshness.on_address_change(START_S)
    assert (
        CHANGE_KNOWN_AFTER_MOVE_S
        < expires_after(freshness)
        < CHANGE_KNOWN_AFTER_MOVE_S + DRAIN_GRACE_S - CONNECT_TIMEOUT_S
    )


def test_an_inherited_list_expires_no_later_than_the_original() -> None:
    old, new = new_freshness(), new_freshness()
    old.on_failure(START_S + 2.0, DiscoveryFailure.WATCH_REJECTED)
    new.on_update(START_S + 5.0, by_discovery=False)
    new.inherit(old)
    assert expires_after(new) == expires_after(old)


def test_an_inherited_list_stays_valid_in_the_same_outage() -> None:
    old, new = new_freshness(), new_freshness()
    old.on_failure(START_S + 0.5, DiscoveryFailure.WATCH_ENDED)
    new.inherit(old)
    for freshness in (old, new):
        freshness.on_failure(START_S + 0.7, DiscoveryFailure.CONNECTION_REFUSED, begun_at=START_S + 0.7)
    assert new.expires_at == old.expires_at > START_S + 0.7 + CHANGE_KNOWN_AFTER_S


def real_settings(**changes: Any) -> Settings:
    """Return the settings of a real proxy that polls discovery."""
    return settings(polls_endpoints=True, watch_is_confirmed=True, drain_grace=DRAIN_GRACE_S, **changes)


@pytest.mark.parametrize("current", [True, False])
def test_a_list_that_is_not_current_does_not_extend_the_validity(current: bool) -> None:
    driver = Driver(real_settings(), servers=entries(1, 2))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2)))
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED_IMMEDIATELY))
    driver.wait(5.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2), current=current))
    driver.wait(2.0)
    assert bool(sends(driver.arrive(1))) == current


@pytest.mark.parametrize("may_probe", [True, False])
@pytest.mark.parametrize(
    "failures",
    [
        [DiscoveryFailure.WATCH_REJECTED, DiscoveryFailure.REJECTED],
        [DiscoveryFailure.REJECTED],
        [DiscoveryFailure.REJECTED_IMMEDIATELY],
        [DiscoveryFailure.UNANSWERED],
        [DiscoveryFailure.WATCH_REJECTED, DiscoveryFailure.UNANSWERED],
        [DiscoveryFailure.WATCH_ENDED, DiscoveryFailure.UNANSWERED],
        [DiscoveryFailure.REJECTED, DiscoveryFailure.CONNECTION_REFUSED],
    ],
)
def test_an_expired_list_is_not_used_whatever_failed_and_whoever_answered(
    failures: list[DiscoveryFailure], may_probe: bool
) -> None:
    """Guards against sends by a list that may lack a known drain (reports 58289b, a22a10).

    Calls that complete prove nothing, nor do answered probes, nor rejected calls to discovery.
    """
    driver = Driver(real_settings(may_probe=may_probe), servers=entries(1, 2))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2)))
    served = 0
    for call in range(40):
        failure = failures[min(call, len(failures) - 1)]
        driver.feed(ServerList(ListKind.FAILED, failure=failure))
        driver.feed(*(ProbeResult(server, Status.OK, STEP_S) for server in (1, 2)))
        for send in sends(driver.arrive(call, budget=0.1)):
            served += 1
            driver.now += STEP_S
            driver.settle(send, Status.OK, elapsed=STEP_S)
        driver.wait(0.2)
    assert served > 20
    assert not sends(driver.arrive(100))


@given(st.floats(0.01, 3.0), st.lists(st.floats(0.01, 5.0), min_size=1, max_size=3))
def test_after_moves_a_list_is_used_until_all_changes_count_as_known(
    updated_after: float, moves_after: list[float]
) -> None:
    """Guards both against use after the time of the first move and against refusals before it."""
    freshness = new_freshness()
    updated_at = START_S + updated_after
    freshness.on_update(updated_at, by_discovery=True)
    moves = [updated_at + after for after in sorted(moves_after)]
    for moved_at in moves:
        freshness.on_address_change(moved_at)
    known_at = min(updated_at + CHANGE_KNOWN_AFTER_S, moves[0] + CHANGE_KNOWN_AFTER_MOVE_S)
    assert freshness.expires_at == pytest.approx(known_at + freshness.send_margin)


class Sign(Enum):
    """What a proxy sees of discovery."""

    UPDATE = None
    ENDED = DiscoveryFailure.WATCH_ENDED
    REFUSED = DiscoveryFailure.CONNECTION_REFUSED
    REJECTED = DiscoveryFailure.REJECTED
    UNANSWERED = DiscoveryFailure.UNANSWERED


def earliest_missed_change(signs: list[tuple[float, Sign]]) -> float:
    """Return the earliest time at which discovery may have had a change, and been reached, unnoticed.

    It can't be reached from the end of a watch to the last of the refused connections that follow one another
    closely; any other failure, or a gap, may hide a change.
    """
    updates = [number for number, (_, sign) in enumerate(signs) if sign is Sign.UPDATE]
    missed_from = seen_until = signs[updates[-1]][0]
    for at, sign in signs[updates[-1] + 1 :]:
        if sign not in (Sign.ENDED, Sign.REFUSED) or at - seen_until > MAX_OBSERVATION_GAP_S:
            break
        seen_until = at
        if sign is Sign.REFUSED:
            missed_from = at
    return missed_from


@given(st.lists(st.tuples(st.floats(0.05, 2.5), st.sampled_from(Sign)), max_size=12))
def test_a_list_is_used_exactly_until_a_missed_drain_can_count_as_known(
    steps: list[tuple[float, Sign]],
) -> None:
    """Guards both against requests after a drain counts as known and against refusals before that."""
    freshness = new_freshness()
    signs = [(START_S, Sign.UPDATE)]
    for delay, sign in steps:
        at = signs[-1][0] + delay
        signs.append((at, sign))
        if sign is Sign.UPDATE:
            freshness.on_update(at, by_discovery=True)
        else:
            freshness.on_failure(at, sign.value, begun_at=at)
    known_at = earliest_missed_change(signs) + CHANGE_KNOWN_AFTER_S
    assert freshness.expires_at == pytest.approx(known_at + freshness.send_margin)


@pytest.mark.parametrize("failure", [None, DiscoveryFailure.WATCH_ENDED])
def test_a_process_that_was_never_told_a_list_does_not_trust_it_in_an_outage(
    failure: DiscoveryFailure | None,
) -> None:
    """Guards against use of a configured list that may lack a drain from before the outage."""
    freshness = EndpointFreshness(Random(1), True, DRAIN_GRACE_S, watch_is_confirmed=True)
    freshness.on_update(START_S, by_discovery=False)
    if failure is not None:
        freshness.on_failure(START_S + 0.1, failure)
    for step in range(1, 60):
        at = START_S + step * 0.2
        freshness.on_failure(at, DiscoveryFailure.CONNECTION_REFUSED, begun_at=at)
    assert expires_after(freshness) < CHANGE_KNOWN_AFTER_S + DRAIN_GRACE_S - CONNECT_TIMEOUT_S


def test_an_unreachable_discovery_is_polled_several_times_a_second() -> None:
    driver = Driver(real_settings(), servers=entries(1))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1)))
    for _ in range(20):
        driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.CONNECTION_REFUSED))
        assert Watch(True) in driver.wait(0.35)


@pytest.mark.parametrize("price_probe", [0.0, 0.01])
@pytest.mark.parametrize("draining_fails", [True, False])
def test_after_a_move_no_server_gets_calls_by_an_answered_probe(
    price_probe: float, draining_fails: bool
) -> None:
    """Guards against use of a server that answers probes while it drains (review case 8, a22a10)."""
    driver = Driver(real_settings(may_probe=True, price_probe=price_probe), servers=entries(1, 2, 3))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2, 3)))
    driver.feed(*(ProbeResult(server, Status.OK, STEP_S) for server in (1, 2, 3)))
    driver.feed(ServerList(ListKind.ADDRESS_CHANGED))
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED))
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED))
    driver.wait(CHANGE_KNOWN_AFTER_MOVE_S - 2 * STEP_S)
    assert sends(driver.arrive(100) + driver.wait(STEP_S))
    driver.wait(10 * STEP_S)
    other = Status.ERROR if draining_fails else Status.OK
    driver.feed(ProbeResult(1, Status.OK, STEP_S), ProbeResult(2, other, STEP_S))
    used = {send.server for call in range(12) for send in sends(driver.arrive(call) + driver.wait(STEP_S))}
    assert used == set()
    driver.feed(ServerList(ListKind.FULL, entries(1, 3)))
    used = {
        send.server for call in range(20, 40) for send in sends(driver.arrive(call) + driver.wait(STEP_S))
    }
    assert used == {1, 3}


@pytest.mark.parametrize("may_probe", [True, False])
def test_a_process_with_pushed_lists_uses_no_server_until_its_agent_is_heard(may_probe: bool) -> None:
    """Guards against use of a server whose drain the agent has known since before the start (review 2)."""
    setup = settings(may_probe=may_probe, watch_is_confirmed=True, drain_grace=DRAIN_GRACE_S)
    driver = Driver(setup, servers=entries(1, 2))
    driver.wait(2 * STEP_S)
    if may_probe:
        driver.feed(ProbeResult(1, Status.OK, STEP_S), ProbeResult(2, Status.ERROR, STEP_S))
    driver.wait(0.5)
    used = set()
    for call in range(8):
        for send in sends(driver.arrive(call) + driver.wait(STEP_S), call):
            driver.settle(send, Status.OK, elapsed=STEP_S)
            used.add(send.server)
    assert used == set()
    driver.wait(0.3)  # the waiting calls are rejected
    driver.feed(ServerList(ListKind.FULL, entries(1, 2)))
    used = {send.server for call in range(20, 40) for send in sends(driver.arrive(call))}
    assert used == {1, 2}


def test_a_withheld_server_gets_calls_again_after_the_next_update() -> None:
    driver = Driver(real_settings(may_probe=False), servers=entries(1))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1)))
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED_IMMEDIATELY))
    driver.wait(7.0)
    assert not sends(driver.arrive(1))
    assert only_send(driver.feed(ServerList(ListKind.INCREMENTAL, []))).server == 1


class Fleet:
    """Simulated proxies whose watches all fall silent at the same time, and their discovery.

    Discovery answers the first calls of watches one after another and immediately rejects a call that would
    wait too long in its queue. Rejected calls cost it nothing.
    """

    def __init__(self, proxies: int, all_answered_in: float, seed: int) -> None:
        """`all_answered_in`: seconds that discovery needs to answer one call of each proxy."""
        self.answer_time = all_answered_in / proxies
        self.busy_until = 0.0
        self.event_ids = count()
        self.events: list[tuple[float, int, int, Event]] = []
        random = Random(seed)
        self.proxies = [self._proxy(number, proxies, seed) for number in range(proxies)]
        for number in range(proxies):
            self._schedule(START_S, number, Timer(TICK_TOKEN))
            self._schedule(START_S + random.uniform(*SILENCE_RANGE_S), number, ServerList(ListKind.FAILED))

    @staticmethod
    def _proxy(number: int, proxies: int, seed: int) -> Balancer:
        proxy_settings = settings(polls_endpoints=True, max_poll_gap=10.0, balancers=proxies, instance=number)
        proxy = Balancer(proxy_settings, seed * 1000 + number)
        now = 0.0
        while Watch(True) not in proxy.handle(now, [ServerList(ListKind.CACHED), Timer(TICK_TOKEN)]):
            now += 0.1
        proxy.handle(START_S, [ServerList(ListKind.FULL)])
        return proxy

    def _schedule(self, at: float, proxy: int, event: Event) -> None:
        heapq.heappush(self.events, (at, next(self.event_ids), proxy, event))

    def _call_discovery(self, now: float, proxy: int) -> None:
        begins_at = max(now, self.busy_until)
        if begins_at - now > MAX_QUEUE_WAIT_S:
            self._schedule(
                now, proxy, ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED_IMMEDIATELY)
            )
        else:
            self.busy_until = begins_at + self.answer_time
            self._schedule(self.busy_until, proxy, ServerList(ListKind.FULL))

    def answer_times(self) -> list[float]:
        """Return the seconds from the silence to the first full list, sorted, for all proxies."""
        first_list_after: dict[int, float] = {}
        while len(first_list_after) < len(self.proxies):
            now, _, number, event = heapq.heappop(self.events)
            if isinstance(event, ServerList) and event.kind is ListKind.FULL:
                first_list_after.setdefault(number, now - START_S)
            for action in self.proxies[number].handle(now, [event]):
                if isinstance(action, SetTimer):
                    self._schedule(now + action.delay, number, Timer(action.token))
                elif action == Watch(True):
                    self._call_discovery(now, number)
        return sorted(first_list_after.values())


@pytest.mark.parametrize("proxies", [2, 8, 13, 120])
def test_all_proxies_get_a_list_in_time_after_all_watches_fell_silent(proxies: int) -> None:
    for seed in range(4):
        assert Fleet(proxies, 3.9, seed).answer_times()[-1] < CHANGE_KNOWN_AFTER_S, seed


def test_a_call_answered_too_slowly_does_not_extend_the_validity() -> None:
    """An answer that arrives too slowly is abandoned after 5 s; the list stays as old as before the call."""
    freshness = new_freshness()
    freshness.on_failure(START_S + 5.0, DiscoveryFailure.UNANSWERED)
    assert expires_after(freshness) < CHANGE_KNOWN_AFTER_S + DRAIN_GRACE_S - CONNECT_TIMEOUT_S


def test_a_list_that_took_seconds_to_arrive_is_as_old_as_its_first_byte() -> None:
    """Guards against missing a drain that began after a slowly transmitted list was written."""
    driver = Driver(real_settings(may_probe=False), servers=entries(1, 2))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2), as_of=driver.now - 3.0))
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED_IMMEDIATELY))
    driver.wait(CHANGE_KNOWN_AFTER_S - 3.0 + DRAIN_GRACE_S)
    assert not sends(driver.arrive(1))


def test_a_cached_list_read_late_does_not_make_an_update_older() -> None:
    freshness = new_freshness()
    freshness.on_update(START_S + 1.0, by_discovery=True, as_of=START_S - 2.0)
    freshness.on_failure(START_S + 2.0, DiscoveryFailure.UNANSWERED)
    assert expires_after(freshness) > CHANGE_KNOWN_AFTER_S


@given(st.integers(0, 2**16), st.floats(0.0, 2.0))
def test_while_a_list_is_valid_a_rejected_call_is_repeated_in_time_to_renew_it(
    seed: int, first_failure_after: float
) -> None:
    """Guards against a list that expires while no call is made (report a22a10: none for 5 s)."""
    freshness = EndpointFreshness(Random(seed), True, DRAIN_GRACE_S, watch_is_confirmed=True)
    freshness.on_update(START_S, by_discovery=True)
    now = START_S + first_failure_after
    freshness.on_failure(now, DiscoveryFailure.UNANSWERED)
    polls = []
    while freshness.next_poll_at < freshness.expires_at:
        assert freshness.should_poll(freshness.next_poll_at)
        polls.append(freshness.polled_at)
        freshness.on_failure(freshness.polled_at + REJECTED_AFTER_S, DiscoveryFailure.REJECTED)
    assert len(polls) >= 3
    assert all(poll <= freshness.expires_at - REJECTED_AFTER_S for poll in polls)
