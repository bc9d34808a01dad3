"""How a fleet retries its polls after an outage or overload of discovery.

Guards against a retry storm (report 83daec): after an outage of discovery, no proxy got an answer for the
rest of the day, and one sent a call to a server whose drain counted as known. Discovery answers calls one
after another and rejects a call that has waited 2 s. Each rejected proxy retried within a second, so calls
arrived faster than discovery answered them. Each waited longer than 2 s, and discovery spent its time on
calls that were already rejected. With longer retry pauses alone, all proxies were answered within seconds
after the same outage; no watch that was already open was rejected.
"""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

from support.balancing import Driver, settings

from gladegw import Balancer, DiscoveryFailure, ListKind, ServerList, SetTimer, Timer, Watch
from gladegw.balancing.balancer import TICK_TOKEN
from gladegw.balancing.endpoint_freshness import EndpointFreshness
from gladegw.balancing.events import Event

PROXIES = 120
START_S = 100.0  # on the simulated clock; all watches end at this time
MAX_POLL_GAP_S = 10.0  # of the settings
MAX_QUEUE_WAIT_S = 2.0  # in discovery's queue, until it rejects the call
OUTAGE_S = 8.0
CHANGE_KNOWN_AFTER_S = 6.0  # a change counts as known this long after discovery had it
CHANGE_KNOWN_AFTER_MOVE_S = 4.0  # the same, counted from a change of discovery's address
ALL_ANSWERED_IN_S = 3.6  # that discovery needs to answer one call of each proxy
DRAIN_GRACE_S = 0.5


class OverloadedDiscovery:
    """Answers the first calls of watches one after another, even those that it has rejected meanwhile.

    A watch that is already open costs it nothing. `capacity`: calls per proxy that it can answer in
    MAX_POLL_GAP_S.
    """

    def __init__(self, capacity: float, down_until: float, proxies: int = PROXIES) -> None:
        self.answer_time = MAX_POLL_GAP_S / (capacity * proxies)
        self.down_until = down_until
        self.busy_until = down_until
        self.calls = 0

    def call(self, now: float) -> tuple[float, bool]:
        """Return when the call ends and whether it is answered."""
        self.calls += 1
        if now < self.down_until:
            return now + MAX_QUEUE_WAIT_S, False
        answered_at = self.busy_until = max(self.busy_until, now) + self.answer_time
        if answered_at > now + MAX_QUEUE_WAIT_S:
            return now + MAX_QUEUE_WAIT_S, False
        return answered_at, True


def answer_times(capacity: float, outage: float) -> list[float]:
    """Return the sorted seconds from discovery's recovery to the first answer, for each answered proxy."""
    return answers_and_calls(capacity, outage, PROXIES)[0]


def answers_and_calls(capacity: float, outage: float, fleet: int) -> tuple[list[float], float]:
    """Return these times and the calls per proxy. All watches end when the outage begins."""
    recovered_at = START_S + outage
    discovery = OverloadedDiscovery(capacity, recovered_at, fleet)
    proxies = [
        Balancer(
            settings(
                polls_endpoints=True,
                max_poll_gap=MAX_POLL_GAP_S,
                balancers=fleet,
                instance=n,
                watch_is_confirmed=True,
                drain_grace=DRAIN_GRACE_S,
            ),
            seed=n,
        )
        for n in range(fleet)
    ]
    event_ids = count()
    events: list[tuple[float, int, int, Event]] = []
    answered: dict[int, float] = {}

    def schedule(at: float, proxy: int, event: Event) -> None:
        heapq.heappush(events, (at, next(event_ids), proxy, event))

    for number, proxy in enumerate(proxies):
        polled_at = 0.0
        while Watch(True) not in proxy.handle(polled_at, [ServerList(ListKind.CACHED), Timer(TICK_TOKEN)]):
            polled_at += 0.1
        proxy.handle(START_S - 1.0, [ServerList(ListKind.FULL)])
        schedule(START_S, number, ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED))
        schedule(START_S, number, Timer(TICK_TOKEN))
    while events and len(answered) < fleet:
        now, _, number, event = heapq.heappop(events)
        if now > recovered_at + 60.0:
            break
        if isinstance(event, ServerList) and event.kind is ListKind.FULL:
            answered[number] = now - recovered_at
        for action in proxies[number].handle(now, [event]):
            if isinstance(action, SetTimer):
                schedule(now + action.delay, number, Timer(action.token))
            elif action == Watch(True):
                ends_at, is_answered = discovery.call(now)
                kind = ListKind.FULL if is_answered else ListKind.FAILED
                schedule(ends_at, number, ServerList(kind, failure=DiscoveryFailure.REJECTED))
    return sorted(answered.values()), discovery.calls / fleet


def test_all_proxies_are_answered_soon_after_an_outage() -> None:
    for capacity in (1.3, 1.5, 1.9):
        seconds = answer_times(capacity, OUTAGE_S)
        assert len(seconds) == PROXIES, capacity
        assert seconds[PROXIES // 2] < CHANGE_KNOWN_AFTER_S, capacity
        assert seconds[-1] < 2 * CHANGE_KNOWN_AFTER_S, capacity


def test_calls_that_renew_a_list_in_time_do_not_overload_discovery() -> None:
    """Each proxy repeats rejected calls within the validity of its list, and all are answered soon after."""
    for fleet in (40, 200):
        seconds, calls_per_proxy = answers_and_calls(1.5, OUTAGE_S, fleet)
        assert len(seconds) == fleet
        assert seconds[-1] < 2 * CHANGE_KNOWN_AFTER_S, fleet
        assert calls_per_proxy < 6.0, fleet


def test_a_single_proxy_retries_a_rejected_poll_early_enough() -> None:
    """A change during the outage counts as known 6 s after discovery is up; the drain grace comes on top."""
    driver = Driver(settings(polls_endpoints=True, max_poll_gap=MAX_POLL_GAP_S))
    while Watch(True) not in driver.wait(0.1):
        pass
    driver.feed(ServerList(ListKind.FULL))
    for _ in range(200):
        driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED))
        polled_at = driver.now
        while Watch(True) not in driver.wait(0.05):
            assert driver.now - polled_at < CHANGE_KNOWN_AFTER_S + DRAIN_GRACE_S


def test_with_pushed_lists_a_rejected_poll_is_retried_within_a_second() -> None:
    """What this proxy's own agent has counts as known at once, and no other proxy calls that agent."""
    driver = Driver(settings(polls_endpoints=False))
    for _ in range(50):
        driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED))
        assert Watch(True) in driver.wait(1.1)


def test_first_calls_at_a_new_address_of_discovery_do_not_overload_it() -> None:
    """Guards against a fleet of which most are rejected after SIGHUP, and refuse requests from 4 s on."""
    for fleet in (40, 200, 800):
        discovery = OverloadedDiscovery(MAX_POLL_GAP_S / ALL_ANSWERED_IN_S, 0.0, fleet)
        delays = [EndpointFreshness(Random(n), True, DRAIN_GRACE_S).move_delay(fleet) for n in range(fleet)]
        answers = [discovery.call(delay) for delay in sorted(delays)]
        in_time = [
            ended for ended, is_answered in answers if is_answered and ended < CHANGE_KNOWN_AFTER_MOVE_S
        ]
        assert len(in_time) > 0.95 * fleet


def test_a_small_fleet_polls_a_new_address_of_discovery_soon() -> None:
    delays = [EndpointFreshness(Random(n), True, DRAIN_GRACE_S).move_delay(3) for n in range(100)]
    assert max(delays) < 0.5
