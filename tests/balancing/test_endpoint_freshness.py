"""How long a list holds, and when discovery is asked again (report 24bf6d)."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

import pytest
from support.balancing import Driver, entries, only_send, sends, settings

from gladegw import Balancer, DiscoveryFailure, ListKind, ServerList, SetTimer, Status, Timer, Watch
from gladegw.balancing.balancer import TICK_TOKEN
from gladegw.balancing.endpoint_freshness import EndpointFreshness
from gladegw.balancing.events import Event

DRAIN_GRACE = 0.5  # s
CONNECT = 0.1  # s
TOLD_WITHIN = 6.0  # s after which a change counts as told
MOVED_TOLD_WITHIN = 4.0  # s from the signal, where discovery has moved
STEP = 0.05  # s, of the module
SILENT_FOR = (1.2, 2.0)  # s until a silent watch is given up, by how long it had been open
MOST_WAIT = 1.0  # s that a call may wait for its turn; one that would wait longer is refused at once
BEGIN = 100.0  # s on the proxies' clock, at which all watches fall silent


def freshness() -> EndpointFreshness:
    made = EndpointFreshness(Random(1), polls=True, drain_grace=DRAIN_GRACE, connect_timeout=CONNECT)
    made.on_update(BEGIN, by_discovery=True)
    return made


def lapses_after(made: EndpointFreshness) -> float:
    """Seconds from BEGIN until the list may not be used any more."""
    step = 0
    while not made.is_expired(BEGIN + step * STEP):
        step += 1
    return step * STEP


def test_a_list_holds_until_what_it_may_lack_counts_as_told_and_its_grace_is_over() -> None:
    made = freshness()
    made.on_failure(BEGIN + 2.0, DiscoveryFailure.UNANSWERED)
    assert TOLD_WITHIN < lapses_after(made) < TOLD_WITHIN + DRAIN_GRACE - CONNECT


def test_a_list_that_is_followed_never_lapses() -> None:
    assert not freshness().is_expired(BEGIN + 1000.0)


def test_after_a_move_a_list_holds_no_longer_than_what_the_new_address_tells_may_take() -> None:
    made = freshness()
    made.on_address_change(BEGIN)
    made.on_failure(BEGIN + 2.1, DiscoveryFailure.UNANSWERED)
    assert MOVED_TOLD_WITHIN < lapses_after(made) < MOVED_TOLD_WITHIN + DRAIN_GRACE - CONNECT
    made.on_update(BEGIN + 3.0, by_discovery=True)
    made.on_failure(BEGIN + 3.0, DiscoveryFailure.UNANSWERED)
    assert lapses_after(made) > 3.0 + TOLD_WITHIN


def test_a_whole_list_that_comes_too_slowly_after_a_move_holds_nothing_up() -> None:
    made = freshness()
    made.on_address_change(BEGIN)
    assert MOVED_TOLD_WITHIN < lapses_after(made) < MOVED_TOLD_WITHIN + DRAIN_GRACE - CONNECT


def test_one_that_begins_with_the_list_of_another_holds_it_no_longer() -> None:
    old, new = freshness(), freshness()
    old.on_failure(BEGIN + 2.0, DiscoveryFailure.REJECTED_IMMEDIATELY)
    new.on_update(BEGIN + 5.0, by_discovery=False)
    new.inherit(old)
    assert lapses_after(new) == lapses_after(old)
    assert new.is_discovery_reachable


@pytest.mark.parametrize("current", [True, False])
def test_a_list_that_is_no_news_does_not_lengthen_what_is_known(current: bool) -> None:
    driver = Driver(settings(polls_endpoints=True), servers=entries(1, 2))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2)))
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED_IMMEDIATELY))
    driver.wait(5.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2), current=current))
    driver.wait(2.0)
    assert bool(sends(driver.arrive(1))) == current


def test_a_list_that_has_lapsed_is_used_in_an_outage_and_not_where_discovery_is_up() -> None:
    for failure, used in (
        (DiscoveryFailure.REJECTED_IMMEDIATELY, False),
        (DiscoveryFailure.REJECTED, True),
        (DiscoveryFailure.UNANSWERED, True),
    ):
        driver = Driver(settings(polls_endpoints=True, may_probe=False), servers=entries(1, 2))
        driver.wait(3.0)
        driver.feed(ServerList(ListKind.FULL, entries(1, 2)))
        for call in range(40):
            driver.feed(ServerList(ListKind.FAILED, failure=failure))
            for send in sends(driver.arrive(call, budget=0.1)):
                driver.now += STEP
                driver.settle(send, Status.OK, elapsed=STEP)
            driver.wait(0.2)
        assert bool(sends(driver.arrive(100))) == used, failure


def test_a_withheld_server_gets_calls_again_with_the_next_news() -> None:
    driver = Driver(settings(polls_endpoints=True, may_probe=False), servers=entries(1))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1)))
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED_IMMEDIATELY))
    driver.wait(7.0)
    assert not sends(driver.arrive(1))
    driver.feed(ServerList(ListKind.INCREMENTAL, []))
    assert only_send(driver.wait(0.2)).server == 1


class Fleet:
    """Proxies whose watches fall silent at one moment, before a discovery that answers first calls one after
    another and refuses at once what would wait too long. Refused calls cost it nothing."""

    def __init__(self, proxies: int, all_answered_in: float, seed: int) -> None:
        """`all_answered_in`: s that discovery needs for a call of each."""
        self.turn = all_answered_in / proxies
        self.busy_until = 0.0
        self.order = count()
        self.events: list[tuple[float, int, int, Event]] = []
        draws = Random(seed)
        self.proxies = [self._proxy(number, proxies, seed) for number in range(proxies)]
        for number in range(proxies):
            self._put(BEGIN, number, Timer(TICK_TOKEN))
            self._put(BEGIN + draws.uniform(*SILENT_FOR), number, ServerList(ListKind.FAILED))

    @staticmethod
    def _proxy(number: int, proxies: int, seed: int) -> Balancer:
        setup = settings(polls_endpoints=True, max_poll_gap=10.0, balancers=proxies, instance=number)
        proxy = Balancer(setup, seed * 1000 + number)
        now = 0.0
        while Watch(True) not in proxy.handle(now, [ServerList(ListKind.CACHED), Timer(TICK_TOKEN)]):
            now += 0.1
        proxy.handle(BEGIN, [ServerList(ListKind.FULL)])
        return proxy

    def _put(self, at: float, proxy: int, event: Event) -> None:
        heapq.heappush(self.events, (at, next(self.order), proxy, event))

    def _call(self, now: float, proxy: int) -> None:
        begins_at = max(now, self.busy_until)
        if begins_at - now > MOST_WAIT:
            self._put(now, proxy, ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED_IMMEDIATELY))
        else:
            self.busy_until = begins_at + self.turn
            self._put(self.busy_until, proxy, ServerList(ListKind.FULL))

    def answered_after(self) -> list[float]:
        """Seconds from the silence to each proxy's first news."""
        answered: dict[int, float] = {}
        while len(answered) < len(self.proxies):
            now, _, number, event = heapq.heappop(self.events)
            if isinstance(event, ServerList) and event.kind is ListKind.FULL:
                answered.setdefault(number, now - BEGIN)
            for action in self.proxies[number].handle(now, [event]):
                if isinstance(action, SetTimer):
                    self._put(now + action.delay, number, Timer(action.token))
                elif action == Watch(True):
                    self._call(now, number)
        return sorted(answered.values())


@pytest.mark.parametrize("proxies", [2, 8, 13, 120])
def test_a_whole_fleet_has_news_in_time_after_all_its_watches_fell_silent(proxies: int) -> None:
    for seed in range(4):
        assert Fleet(proxies, 3.9, seed).answered_after()[-1] < TOLD_WITHIN, seed


def test_a_call_answered_in_drips_does_not_lengthen_how_long_the_list_holds() -> None:
    """An answer that comes in drips is given up after 5 s; the list is as old as before that call began."""
    made = freshness()
    made.on_failure(BEGIN + 5.0, DiscoveryFailure.UNANSWERED)
    assert lapses_after(made) < TOLD_WITHIN + DRAIN_GRACE - CONNECT


def test_an_answer_that_came_over_seconds_is_no_younger_than_its_first_byte() -> None:
    """Guards against a drain missed by a list written before it, that took seconds to arrive."""
    driver = Driver(settings(polls_endpoints=True, may_probe=False), servers=entries(1, 2))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2), age=3.0))
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED_IMMEDIATELY))
    driver.wait(TOLD_WITHIN - 3.0 + DRAIN_GRACE)
    assert not sends(driver.arrive(1))


def test_a_cached_list_read_late_does_not_make_an_update_older() -> None:
    made = freshness()
    made.on_update(BEGIN + 1.0, by_discovery=True, age=3.0)
    made.on_failure(BEGIN + 2.0, DiscoveryFailure.UNANSWERED)
    assert lapses_after(made) > TOLD_WITHIN
