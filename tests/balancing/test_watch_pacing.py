"""How a fleet asks discovery again when it has been down or is crowded.

Seen (report 83daec): with discovery back after an outage no proxy was answered for the rest of the day, and
one sent to a server whose drain counted as known. How it came about: discovery answers calls in turn and
refuses one that has waited 2 s. Each refused proxy asked again within a second, so more calls came than
were answered, each waited longer than 2 s, and discovery's time went into calls that nobody waited for any
more. What proved it: with longer pauses alone, all were answered within seconds of the same outage; no
watch that went on was refused.
"""

from __future__ import annotations

import heapq
from itertools import count

from support.balancing import Driver, settings

from gladegw import Balancer, DiscoveryFailure, ListKind, ServerList, SetTimer, Timer, Watch
from gladegw.balancing.balancer import TICK_TOKEN
from gladegw.balancing.events import Event

PROXIES = 120
BEGIN = 100.0  # s on the proxies' clock, at which all watches end
MUST_ASK_WITHIN = 10.0  # s, of the settings
PATIENCE = 2.0  # s that a call waits for its turn before discovery refuses it
OUTAGE = 8.0  # s
TOLD_WITHIN = 6.0  # s after which a change counts as told
DRAIN_GRACE = 0.5  # s


class CrowdedDiscovery:
    """Answers first calls one after another, also those that it has refused meanwhile; a watch that goes on
    costs nothing. `capacity`: first calls that it can answer in the time in which each proxy has to ask."""

    def __init__(self, capacity: float, down_until: float) -> None:
        self.turn = MUST_ASK_WITHIN / (capacity * PROXIES)  # s
        self.down_until = down_until
        self.busy_until = down_until

    def call(self, now: float) -> tuple[float, bool]:
        """When the call ends, and whether with an answer."""
        if now < self.down_until:
            return now + PATIENCE, False
        answered_at = self.busy_until = max(self.busy_until, now) + self.turn
        if answered_at > now + PATIENCE:
            return now + PATIENCE, False
        return answered_at, True


def answered_after(capacity: float, outage: float) -> list[float]:
    """Seconds from discovery's return to each proxy's first answer. All watches end at the outage."""
    back_at = BEGIN + outage
    discovery = CrowdedDiscovery(capacity, back_at)
    proxies = [
        Balancer(
            settings(polls_endpoints=True, max_poll_gap=MUST_ASK_WITHIN, balancers=PROXIES, instance=n),
            seed=n,
        )
        for n in range(PROXIES)
    ]
    order = count()
    events: list[tuple[float, int, int, Event]] = []
    answered: dict[int, float] = {}

    def put(at: float, proxy: int, event: Event) -> None:
        heapq.heappush(events, (at, next(order), proxy, event))

    for number, proxy in enumerate(proxies):
        asked_at = 0.0
        while Watch(True) not in proxy.handle(asked_at, [ServerList(ListKind.CACHED), Timer(TICK_TOKEN)]):
            asked_at += 0.1
        proxy.handle(BEGIN - 1.0, [ServerList(ListKind.FULL)])
        put(BEGIN, number, ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED))
        put(BEGIN, number, Timer(TICK_TOKEN))
    while events and len(answered) < PROXIES:
        now, _, number, event = heapq.heappop(events)
        if now > back_at + 60.0:
            break
        if isinstance(event, ServerList) and event.kind is ListKind.FULL:
            answered[number] = now - back_at
        for action in proxies[number].handle(now, [event]):
            if isinstance(action, SetTimer):
                put(now + action.delay, number, Timer(action.token))
            elif action == Watch(True):
                at, heard = discovery.call(now)
                kind = ListKind.FULL if heard else ListKind.FAILED
                put(at, number, ServerList(kind, failure=DiscoveryFailure.REJECTED))
    return sorted(answered.values())


def test_a_whole_fleet_is_answered_again_soon_after_an_outage() -> None:
    for capacity in (1.3, 1.5, 1.9):
        took = answered_after(capacity, OUTAGE)
        assert len(took) == PROXIES, capacity
        assert took[PROXIES // 2] < TOLD_WITHIN, capacity
        assert took[-1] < 2 * TOLD_WITHIN, capacity


def test_a_refused_call_is_repeated_early_enough_for_a_fleet_of_one() -> None:
    """A change of the outage counts as told 6 s after discovery is back, and the grace of a drain follows."""
    driver = Driver(settings(polls_endpoints=True, max_poll_gap=MUST_ASK_WITHIN))
    while Watch(True) not in driver.wait(0.1):
        pass
    driver.feed(ServerList(ListKind.FULL))
    for _ in range(200):
        driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED))
        asked_at = driver.now
        while Watch(True) not in driver.wait(0.05):
            assert driver.now - asked_at < TOLD_WITHIN + DRAIN_GRACE


def test_where_lists_are_pushed_a_refused_call_is_repeated_within_a_second() -> None:
    """What this proxy's own agent has counts as told at once, and no other proxy calls there."""
    driver = Driver(settings(polls_endpoints=False))
    for _ in range(50):
        driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED))
        assert Watch(True) in driver.wait(1.1)
