"""Which servers get calls while discovery tells nothing, so that a drain may count as known that is not.

A change counts as known 6 s after discovery had it, also where every call was refused. A server that answers
a probe did not drain when it was sent: it is safe for 6 s more. The others are left alone until news come. A
call that was taken tells nothing where probes are allowed: a server that drains may complete calls as before
(report 24bf6d).
"""

from __future__ import annotations

from support.balancing import Driver, entries, only_send, sends, settings

from gladegw import DiscoveryFailure, ListKind, Probe, ProbeResult, ServerList, Status

TOLD_WITHIN = 6.0  # s after which a change counts as told
CALL = 0.05  # s that a call takes here


def without_news(span: float, *servers: int, may_probe: bool = False) -> Driver:
    """An instance whose calls to discovery were refused for this long; nothing was sent meanwhile."""
    driver = Driver(settings(polls_endpoints=True, may_probe=may_probe), servers=entries(*servers))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(*servers)))
    begun = driver.now
    while driver.now < begun + span:
        driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED))
        driver.wait(min(2.0, begun + span - driver.now))
    return driver


def used(driver: Driver, first: int, calls: int) -> set[int]:
    """The servers that get these calls, four at a time; each takes what it gets."""
    found: set[int] = set()
    for begin in range(first, first + calls, 4):
        out = [only_send(driver.arrive(call)) for call in range(begin, begin + 4)]
        driver.now += CALL
        for send in out:
            driver.settle(send, Status.OK, elapsed=CALL)
        found |= {send.server for send in out}
    return found


def test_only_servers_that_took_a_call_lately_get_calls_while_news_are_overdue() -> None:
    driver = without_news(4.0, 1, 2, 3, 4)
    first = only_send(driver.arrive(1))
    driver.now += CALL
    driver.settle(first, Status.OK, elapsed=CALL)
    driver.wait(2.0)
    assert used(driver, 10, 12) == {first.server}
    driver.feed(ServerList(ListKind.FULL, entries(1, 2, 3, 4)))
    driver.wait(0.2)
    assert used(driver, 30, 40) == {1, 2, 3, 4}


def test_a_server_that_turns_a_call_away_gets_no_more_while_news_are_overdue() -> None:
    driver = without_news(4.0, 1, 2, 3)
    assert used(driver, 0, 12) == {1, 2, 3}
    driver.wait(2.0)
    refusing = only_send(driver.arrive(20))
    driver.now += CALL
    retries = sends(driver.settle(refusing, Status.REJECTED, elapsed=CALL) + driver.wait(0.1), 20)
    assert [send.server != refusing.server for send in retries] == [True]
    driver.settle(retries[0], Status.OK, attempt=1, elapsed=CALL)
    assert refusing.server not in used(driver, 30, 12)


def test_a_server_that_answers_a_probe_gets_calls_though_news_are_overdue() -> None:
    driver = without_news(4.0, 1, 2, may_probe=True)
    first = only_send(driver.arrive(1))
    driver.now += CALL
    driver.settle(first, Status.OK, elapsed=CALL)
    other = 3 - first.server
    driver.feed(ProbeResult(first.server, Status.OK, CALL), ProbeResult(other, Status.REJECTED, CALL))
    assert Probe(other) in driver.wait(3.0)
    assert used(driver, 10, 4) == {first.server}
    driver.feed(ProbeResult(other, Status.OK, CALL))
    driver.wait(0.1)
    assert other in used(driver, 20, 12)


def test_a_server_that_fails_its_probes_gets_no_calls_though_it_answers_them() -> None:
    """A server that drains may complete what it gets, as before; its health check tells (report 24bf6d)."""
    driver = without_news(3.0, 1, 2, may_probe=True)
    for call in range(0, 120, 4):
        used(driver, call, 4)
        driver.feed(ProbeResult(1, Status.OK, CALL), ProbeResult(2, Status.ERROR, CALL))
        driver.wait(0.2)
    assert used(driver, 200, 12) == {1}


def test_where_no_server_has_proven_itself_all_get_calls() -> None:
    driver = without_news(12.0, 1, 2, 3)
    first = only_send(driver.arrive(1))
    driver.now += CALL
    (second,) = sends(driver.settle(first, Status.CONNECT_FAILED, elapsed=CALL) + driver.wait(0.1), 1)
    assert second.server != first.server


def test_a_watch_that_goes_on_quietly_withholds_nothing() -> None:
    driver = Driver(settings(polls_endpoints=True, may_probe=False), servers=entries(1, 2, 3, 4))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2, 3, 4)))
    driver.wait(30.0)
    assert used(driver, 0, 40) == {1, 2, 3, 4}
