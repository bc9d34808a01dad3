"""Which servers get calls while discovery sends no updates, so that the list may lack a drain.

A change counts as known 6 s after discovery had it, even if discovery rejected every call. A server that
answers a probe was not draining when the probe was sent, so it may be used for 6 s more. The other servers
are withheld until the next update. Where probes are allowed, a completed call proves nothing: a draining
server may complete calls as before (report 24bf6d).
"""

from __future__ import annotations

from support.balancing import Driver, entries, only_send, sends, settings

from gladegw import DiscoveryFailure, ListKind, Probe, ProbeResult, ServerList, Status

CHANGE_KNOWN_AFTER_S = 6.0  # a change counts as known this long after discovery had it
CALL_TIME_S = 0.05


def driver_without_updates(span: float, *servers: int, may_probe: bool = False) -> Driver:
    """Return a driver after `span` seconds in which discovery rejected all polls and no calls arrived."""
    driver = Driver(settings(polls_endpoints=True, may_probe=may_probe), servers=entries(*servers))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(*servers)))
    started_at = driver.now
    while driver.now < started_at + span:
        driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED))
        driver.wait(min(2.0, started_at + span - driver.now))
    return driver


def servers_used(driver: Driver, first: int, calls: int) -> set[int]:
    """Send calls, four at a time, that all succeed; return the servers that got one."""
    servers: set[int] = set()
    for batch_start in range(first, first + calls, 4):
        attempts = [only_send(driver.arrive(call)) for call in range(batch_start, batch_start + 4)]
        driver.now += CALL_TIME_S
        for send in attempts:
            driver.settle(send, Status.OK, elapsed=CALL_TIME_S)
        servers |= {send.server for send in attempts}
    return servers


def test_only_servers_that_completed_a_call_lately_get_calls_while_updates_are_overdue() -> None:
    driver = driver_without_updates(4.0, 1, 2, 3, 4)
    first = only_send(driver.arrive(1))
    driver.now += CALL_TIME_S
    driver.settle(first, Status.OK, elapsed=CALL_TIME_S)
    driver.wait(2.0)
    assert servers_used(driver, 10, 12) == {first.server}
    driver.feed(ServerList(ListKind.FULL, entries(1, 2, 3, 4)))
    driver.wait(0.2)
    assert servers_used(driver, 30, 40) == {1, 2, 3, 4}


def test_a_server_that_rejects_a_call_gets_no_more_while_updates_are_overdue() -> None:
    driver = driver_without_updates(4.0, 1, 2, 3)
    assert servers_used(driver, 0, 12) == {1, 2, 3}
    driver.wait(2.0)
    rejected = only_send(driver.arrive(20))
    driver.now += CALL_TIME_S
    retries = sends(driver.settle(rejected, Status.REJECTED, elapsed=CALL_TIME_S) + driver.wait(0.1), 20)
    assert [send.server != rejected.server for send in retries] == [True]
    driver.settle(retries[0], Status.OK, attempt=1, elapsed=CALL_TIME_S)
    assert rejected.server not in servers_used(driver, 30, 12)


def test_a_server_that_answers_a_probe_gets_calls_though_updates_are_overdue() -> None:
    driver = driver_without_updates(4.0, 1, 2, may_probe=True)
    first = only_send(driver.arrive(1))
    driver.now += CALL_TIME_S
    driver.settle(first, Status.OK, elapsed=CALL_TIME_S)
    other = 3 - first.server
    driver.feed(
        ProbeResult(first.server, Status.OK, CALL_TIME_S), ProbeResult(other, Status.REJECTED, CALL_TIME_S)
    )
    assert Probe(other) in driver.wait(3.0)
    assert servers_used(driver, 10, 4) == {first.server}
    driver.feed(ProbeResult(other, Status.OK, CALL_TIME_S))
    driver.wait(0.1)
    assert other in servers_used(driver, 20, 12)


def test_a_server_that_fails_its_probes_gets_no_calls_though_it_completes_them() -> None:
    """A draining server may complete calls as before; only its probes show the drain (report 24bf6d)."""
    driver = driver_without_updates(3.0, 1, 2, may_probe=True)
    for call in range(0, 120, 4):
        servers_used(driver, call, 4)
        driver.feed(ProbeResult(1, Status.OK, CALL_TIME_S), ProbeResult(2, Status.ERROR, CALL_TIME_S))
        driver.wait(0.2)
    assert servers_used(driver, 200, 12) == {1}


def test_if_no_server_is_verified_all_get_calls() -> None:
    driver = driver_without_updates(12.0, 1, 2, 3)
    first = only_send(driver.arrive(1))
    driver.now += CALL_TIME_S
    (second,) = sends(driver.settle(first, Status.CONNECT_FAILED, elapsed=CALL_TIME_S) + driver.wait(0.1), 1)
    assert second.server != first.server


def test_no_server_is_withheld_while_a_watch_is_open_without_changes() -> None:
    driver = Driver(settings(polls_endpoints=True, may_probe=False), servers=entries(1, 2, 3, 4))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2, 3, 4)))
    driver.wait(30.0)
    assert servers_used(driver, 0, 40) == {1, 2, 3, 4}
