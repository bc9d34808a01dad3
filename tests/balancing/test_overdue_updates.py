"""Which servers get calls while discovery sends no updates, so that the list may lack a drain.

A change counts as known 6 s after discovery had it, even if discovery rejected every call. A draining server
may complete calls as before (report 24bf6d), and may answer probes as before (reports 58289b, a22a10). So
nothing is sent by an expired list. It does not expire while discovery refuses connections, since no change
counts while it can't be reached.
"""

from __future__ import annotations

import pytest
from support.balancing import Driver, entries, only_send, sends, settings, state_update

from gladegw import (
    DiscoveryFailure,
    ListKind,
    Probe,
    ProbeResult,
    Reject,
    ServerList,
    ServerState,
    Status,
)
from gladegw.balancing.events import RejectionReason

CHANGE_KNOWN_AFTER_S = 6.0  # a change counts as known this long after discovery had it
CALL_TIME_S = 0.05


def driver_without_updates(span: float, *servers: int, may_probe: bool = False) -> Driver:
    """Return a driver `span` seconds after an outage of discovery began, in which no calls arrived."""
    setup = settings(polls_endpoints=True, may_probe=may_probe, watch_is_confirmed=True)
    driver = Driver(setup, servers=entries(*servers))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(*servers)))
    started_at = driver.now
    failure = DiscoveryFailure.WATCH_REJECTED
    while driver.now < started_at + span:
        driver.feed(ServerList(ListKind.FAILED, failure=failure))
        failure = DiscoveryFailure.REJECTED
        driver.wait(min(2.0, started_at + span - driver.now))
    return driver


def servers_used(driver: Driver, first: int, calls: int) -> set[int]:
    """Send calls, four at a time, that all succeed; return the servers that got one."""
    servers: set[int] = set()
    for batch_start in range(first, first + calls, 4):
        attempts = [
            send for call in range(batch_start, batch_start + 4) for send in sends(driver.arrive(call), call)
        ]
        driver.now += CALL_TIME_S
        for send in attempts:
            driver.settle(send, Status.OK, elapsed=CALL_TIME_S)
        servers |= {send.server for send in attempts}
    return servers


def test_a_server_that_completed_a_call_lately_gets_none_while_updates_are_overdue() -> None:
    driver = driver_without_updates(4.0, 1, 2, 3, 4)
    first = only_send(driver.arrive(1))
    driver.now += CALL_TIME_S
    driver.settle(first, Status.OK, elapsed=CALL_TIME_S)
    driver.wait(2.5)
    assert servers_used(driver, 10, 12) == set()
    driver.wait(0.3)  # the waiting calls are rejected
    driver.feed(ServerList(ListKind.FULL, entries(1, 2, 3, 4)))
    driver.wait(0.2)
    assert servers_used(driver, 30, 40) == {1, 2, 3, 4}


def test_a_call_is_rejected_soon_while_updates_are_overdue_and_told_when_to_come_back() -> None:
    setup = settings(
        polls_endpoints=True, watch_is_confirmed=True, may_send_retry_after=True, max_retry_after=2.0
    )
    driver = Driver(setup, servers=entries(1, 2))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2)))
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.UNANSWERED))
    driver.wait(CHANGE_KNOWN_AFTER_S + 1.0)
    actions = driver.arrive(1, budget=2.0) + driver.wait(0.2)
    (rejection,) = [action for action in actions if isinstance(action, Reject)]
    assert rejection.reason is RejectionReason.LIST_EXPIRED
    assert 0 < rejection.retry_after <= 2.0


def test_after_the_list_has_expired_a_rejected_call_is_not_tried_elsewhere() -> None:
    """A rejection tells of one server; that the other has not rejected proves nothing."""
    driver = driver_without_updates(4.0, 1, 2, 3, may_probe=True)
    driver.feed(*(ProbeResult(server, Status.OK, CALL_TIME_S) for server in (1, 2, 3)))
    driver.wait(1.6)
    rejected = only_send(driver.arrive(20))
    driver.wait(0.4)
    retries = sends(driver.settle(rejected, Status.REJECTED, elapsed=CALL_TIME_S) + driver.wait(0.1), 20)
    assert retries == []
    assert servers_used(driver, 30, 12) == set()


@pytest.mark.parametrize(
    "failure",
    [DiscoveryFailure.REJECTED, DiscoveryFailure.REJECTED_IMMEDIATELY, DiscoveryFailure.UNANSWERED],
)
@pytest.mark.parametrize("seen", [None, Status.OK, Status.ERROR])
def test_answered_probes_prove_nothing_whatever_a_draining_server_did(
    seen: Status | None, failure: DiscoveryFailure
) -> None:
    """Guards against taking what one draining server did for what all do (report a22a10)."""
    driver = driver_without_updates(0.0, 1, 2, 3, may_probe=True)
    driver.feed(state_update(3, ServerState.DRAINING))
    driver.wait(1.0)
    if seen is not None:
        driver.feed(ProbeResult(3, seen, CALL_TIME_S))
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.WATCH_REJECTED))
    for _ in range(40):
        driver.feed(ServerList(ListKind.FAILED, failure=failure))
        driver.feed(*(ProbeResult(server, Status.OK, CALL_TIME_S) for server in (1, 2)))
        driver.wait(0.2)
    assert servers_used(driver, 10, 12) == set()
    driver.wait(0.3)  # the waiting calls are rejected
    driver.feed(ServerList(ListKind.INCREMENTAL, []))
    assert servers_used(driver, 30, 12) == {1, 2}


def test_a_server_that_drains_by_the_list_gets_no_probes() -> None:
    driver = driver_without_updates(0.0, 1, 2, may_probe=True)
    driver.feed(*(ProbeResult(server, Status.OK, CALL_TIME_S) for server in (1, 2)))
    driver.feed(state_update(2, ServerState.DRAINING))
    probed = {action.server for action in driver.wait(10.0) if isinstance(action, Probe)}
    assert probed == {1}


def test_while_discovery_refuses_connections_servers_are_used_by_the_list() -> None:
    """Guards against refusing all in an outage in which no change can count as known."""
    driver = driver_without_updates(0.0, 1, 2, 3)
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.WATCH_ENDED))
    for _ in range(100):
        driver.wait(0.2)
        driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.CONNECTION_REFUSED))
    assert servers_used(driver, 0, 12) == {1, 2, 3}
    driver.feed(ServerList(ListKind.FAILED, failure=DiscoveryFailure.REJECTED))
    driver.wait(5.5)
    assert servers_used(driver, 20, 12) == {1, 2, 3}
    driver.wait(1.0)
    assert servers_used(driver, 40, 12) == set()


def test_long_after_an_update_no_server_gets_calls() -> None:
    for may_probe in (True, False):
        driver = driver_without_updates(12.0, 1, 2, 3, may_probe=may_probe)
        assert servers_used(driver, 0, 12) == set()


def test_an_attempt_may_not_begin_after_its_list_has_expired() -> None:
    """Guards against an attempt that a stalled process writes after the grace of a drain."""
    driver = driver_without_updates(5.0, 1, 2)
    send = only_send(driver.arrive(1))
    expires_in = driver.balancer.freshness.expires_at - driver.now
    assert 0 < send.start_within == expires_in


def test_no_server_is_withheld_while_a_watch_is_open_without_changes() -> None:
    driver = Driver(settings(polls_endpoints=True, may_probe=False), servers=entries(1, 2, 3, 4))
    driver.wait(3.0)
    driver.feed(ServerList(ListKind.FULL, entries(1, 2, 3, 4)))
    driver.wait(30.0)
    assert servers_used(driver, 0, 40) == {1, 2, 3, 4}


def test_no_server_is_withheld_while_a_watch_is_confirmed() -> None:
    driver = driver_without_updates(0.0, 1, 2, 3, 4)
    for _ in range(30):
        driver.wait(1.0)
        driver.feed(ServerList(ListKind.INCREMENTAL, []))
    assert servers_used(driver, 0, 40) == {1, 2, 3, 4}
