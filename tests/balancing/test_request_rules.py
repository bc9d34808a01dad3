"""Rules on sends, retries, deadlines and final answers, at their boundaries."""

from __future__ import annotations

from itertools import pairwise

import pytest
from support.balancing import CLASSES, Driver, entries, only_send, sends, settings, state_update

from gladegw import (
    Action,
    Arrival,
    ClientDisconnected,
    Fail,
    ListKind,
    ProbeResult,
    Reject,
    Send,
    ServerList,
    ServerState,
    Status,
    StreamStarted,
    Timer,
    Watch,
)
from gladegw.balancing.admission import ClassState
from gladegw.balancing.requests import Call, RequestLifecycle
from gladegw.balancing.server_selection import Server

STATUSES_NEVER_RAN = [Status.REJECTED, Status.CONNECT_FAILED, Status.NOT_SENT]
STATUSES_MAY_HAVE_RUN = [Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED]


def lifecycle_with_attempt(
    cls: str, status: Status | None, may_hedge: bool = False, max_attempts: int = 3
) -> tuple[RequestLifecycle, Call]:
    """Return a lifecycle and a call with one attempt on server 1, sent at 100.0.

    `status`: outcome of the attempt; None: still in flight.
    """
    lifecycle = RequestLifecycle(settings(may_hedge=may_hedge, max_attempts=max_attempts), [])
    class_state = ClassState(next(c for c in CLASSES if c.name == cls), 0)
    call = Call(7, class_state, 1.0, 100.0, 102.0, 101.0)
    lifecycle.calls[7] = call
    attempt = lifecycle.send(call, server(1), 100.0, 1.0, 0.0)
    assert attempt is not None
    if status is not None:
        lifecycle.settle(attempt, status, False)
    return lifecycle, call


def server(number: int, zone: str = "a", cell: int = 0, state: ServerState = ServerState.SERVING) -> Server:
    (entry,) = entries(number, zone=zone, state=state)
    entry.cell = cell
    return Server(entry, 0.0)


@pytest.mark.parametrize("status", STATUSES_NEVER_RAN)
@pytest.mark.parametrize("cls", ["safe", "once", "zoned", "keyed"])
def test_a_call_that_never_ran_may_be_sent_again_and_rejected(cls: str, status: Status) -> None:
    lifecycle, call = lifecycle_with_attempt(cls, status)
    assert lifecycle.may_send(call, server(2, zone="b"), 100.6)
    assert lifecycle.may_reject(call)


@pytest.mark.parametrize("status", STATUSES_MAY_HAVE_RUN)
def test_a_call_that_may_have_run_is_repeated_as_its_class_allows(status: Status) -> None:
    lifecycle, call = lifecycle_with_attempt("safe", status)
    assert lifecycle.may_send(call, server(2, zone="b"), 101.9) and lifecycle.may_reject(call)
    lifecycle, call = lifecycle_with_attempt("once", status)
    assert not lifecycle.may_send(call, server(1), 100.1) and not lifecycle.may_reject(call)
    lifecycle, call = lifecycle_with_attempt("zoned", status)
    assert lifecycle.may_send(call, server(2), 100.49) and not lifecycle.may_reject(call)
    assert not lifecycle.may_send(call, server(2, zone="b"), 100.1)
    assert not lifecycle.may_send(call, server(2), 100.5)
    lifecycle, call = lifecycle_with_attempt("keyed", status)
    assert lifecycle.may_send(call, server(2, zone="b"), 100.49) and lifecycle.may_reject(call)
    assert not lifecycle.may_send(call, server(2), 100.5)


def test_deduplication_window_starts_at_the_first_attempt_that_may_have_run() -> None:
    lifecycle, call = lifecycle_with_attempt("zoned", Status.REJECTED)
    second = lifecycle.send(call, server(2), 100.3, 1.0, 0.0)
    assert second is not None
    lifecycle.settle(second, Status.ERROR, False)
    assert lifecycle.may_send(call, server(3), 100.79)
    assert not lifecycle.may_send(call, server(3), 100.8)


def test_idempotency_key_of_a_cell_allows_no_other_cell() -> None:
    lifecycle, call = lifecycle_with_attempt("zoned", Status.ERROR)
    call.cls.group = "cell"
    assert lifecycle.may_send(call, server(2, cell=0), 100.1)
    assert not lifecycle.may_send(call, server(2, cell=1), 100.1)


def test_two_attempts_in_flight_only_where_hedging_is_allowed() -> None:
    lifecycle, call = lifecycle_with_attempt("safe", None)
    assert not lifecycle.may_send(call, server(2), 100.1)
    lifecycle, call = lifecycle_with_attempt("safe", None, may_hedge=True)
    assert lifecycle.may_send(call, server(2), 100.1)
    lifecycle, call = lifecycle_with_attempt("once", None, may_hedge=True)
    assert not lifecycle.may_send(call, server(2), 100.1) and not lifecycle.may_reject(call)


def test_attempt_limit_deadline_answer_and_server_state_forbid_sends() -> None:
    lifecycle, call = lifecycle_with_attempt("safe", Status.ERROR, max_attempts=1)
    assert not lifecycle.may_send(call, server(2), 100.1)
    lifecycle, call = lifecycle_with_attempt("safe", Status.ERROR)
    assert lifecycle.may_send(call, server(2), 101.999) and not lifecycle.may_send(call, server(2), 102.0)
    for state in (ServerState.DRAINING, ServerState.REMOVED):
        assert not lifecycle.may_send(call, server(2, state=state), 100.1)
    lifecycle.answer(call)
    assert not lifecycle.may_send(call, server(2), 100.1)
    actions = list(lifecycle.actions)
    lifecycle.answer(call)
    assert lifecycle.actions == actions


def test_answer_is_a_rejection_only_if_a_retry_is_safe() -> None:
    for cls, status, answer in (
        ("once", Status.ERROR, Fail),
        ("once", Status.REJECTED, Reject),
        ("safe", Status.ERROR, Reject),
        ("zoned", Status.TIMEOUT, Fail),
        ("keyed", Status.TIMEOUT, Reject),
    ):
        lifecycle, call = lifecycle_with_attempt(cls, status)
        lifecycle.answer(call)
        assert type(lifecycle.actions[-1]) is answer


def test_draining_and_removed_servers_get_no_new_calls() -> None:
    for state in (ServerState.DRAINING, ServerState.REMOVED):
        driver = Driver(settings(), servers=entries(1, 2))
        driver.feed(state_update(1, state))
        for call in range(20):
            for send in sends(driver.arrive(call)):
                assert send.server == 2
                driver.settle(send, Status.OK)


def test_server_absent_from_a_full_list_is_removed() -> None:
    driver = Driver(settings(), servers=entries(1, 2))
    driver.feed(ServerList(ListKind.FULL, entries(2)))
    assert {send.server for call in range(9) for send in sends(driver.arrive(call))} == {2}


def test_call_without_a_server_is_queued_and_rejected_in_time() -> None:
    driver = Driver(settings(), servers=[])
    assert not sends(driver.arrive(1, "once", budget=0.8))
    actions = driver.wait(0.8)
    assert Reject(1) in actions and not sends(actions)


def test_queued_call_is_sent_when_a_server_is_listed() -> None:
    driver = Driver(settings(), servers=[])
    driver.arrive(1)
    assert only_send(driver.feed(ServerList(ListKind.FULL, entries(5)))).server == 5


def test_timeout_at_the_deadline_is_answered_at_once() -> None:
    driver = Driver(settings())
    send = only_send(driver.arrive(1, "once", budget=0.9))
    driver.now += 0.9
    assert Fail(1) in driver.settle(send, Status.TIMEOUT, elapsed=0.9)


def test_call_whose_client_disconnects_within_its_first_batch_gets_no_action() -> None:
    # Regression, found under overload: arrivals were processed after all other events of the batch, so the
    # disconnect was ignored.
    driver = Driver(settings())
    actions = driver.feed(Arrival(9, "safe", 2.0), ClientDisconnected(9))
    actions += driver.wait(3.0)
    assert not any(isinstance(a, Reject | Fail) or sends([a]) for a in actions)


def test_unknown_ids_and_stale_timers_change_nothing() -> None:
    driver = Driver(settings())
    send = only_send(driver.arrive(1))
    driver.settle(send, Status.OK)
    actions: list[Action] = driver.settle(send, Status.OK)
    actions += driver.feed(ClientDisconnected(1), ClientDisconnected(99), StreamStarted(1, 0, 1))
    assert not [a for a in actions if isinstance(a, Fail | Reject) or sends([a])]
    assert not [a for a in driver.feed(Arrival(1, "safe", 2.0)) if isinstance(a, Fail | Reject) or sends([a])]


def test_started_stream_gets_no_further_action() -> None:
    driver = Driver(settings(may_cancel=True))
    send = only_send(driver.arrive(1))
    driver.feed(StreamStarted(1, 0, send.server))
    actions = driver.wait(4.0)
    assert not [a for a in actions if isinstance(a, Fail | Reject) or sends([a])]
    assert driver.balancer.window_in_use == 0


def test_warming_server_gets_no_more_than_its_slow_start_budget() -> None:
    driver = Driver(settings(), servers=entries(1, 2, 3, 4))
    driver.balancer.admission.window = 20.0
    call, in_flight = 0, list[Send]()
    for _ in range(200):  # all servers warm: the instance learns its own send rate of 40 calls per second
        call += 1
        driver.wait(0.025)
        in_flight.append(only_send(driver.arrive(call)))
        if len(in_flight) > 6:
            driver.settle(in_flight.pop(0), Status.OK, elapsed=0.15)
    driver.feed(ServerList(ListKind.INCREMENTAL, entries(4, started_at=driver.now)))
    started_at = driver.now
    sent_at: list[float] = []  # sends to the warming server, in seconds since its start
    for _ in range(400):
        call += 1
        driver.wait(0.025)
        in_flight.append(only_send(driver.arrive(call)))
        sent_at += [driver.now - started_at] * (in_flight[-1].server == 4)
        driver.settle(in_flight.pop(0), Status.OK, elapsed=0.15)
    warm_rate = 40 / 4  # calls per second of a warm server
    for start in sent_at:
        sent = sum(1 for t in sent_at if start <= t < start + 1.5)
        capacity = (0.3 + 0.7 * start / 10) * warm_rate * 1.5
        assert sent <= 3.0 * capacity + 1
    assert sent_at


@pytest.mark.parametrize(("cls", "budget"), [("unheard of", 2.0), ("safe", 0.0), ("once", -1.0)])
def test_invalid_arrival_is_rejected_once_and_at_once(cls: str, budget: float) -> None:
    driver = Driver(settings())
    actions = driver.arrive(5, cls, budget) + driver.arrive(5, cls, budget) + driver.wait(3.0)
    answers = [a for a in actions if isinstance(a, Reject | Fail) or sends([a])]
    assert answers == [Reject(5)]


def test_unexpected_events_change_nothing() -> None:
    driver = Driver(settings(may_probe=True))
    driver.feed(
        ProbeResult(77, Status.OK, 0.1, {"busy_reqs": 1.0}), Timer(12345), ServerList(ListKind.FULL, [])
    )
    driver.feed(
        ProbeResult(1, Status.OK, 0.1, {"busy_reqs": float("nan")}), ServerList(ListKind.FULL, entries(1))
    )
    for _ in range(3):  # the clock stands still
        driver.feed(Timer(1))
    assert only_send(driver.arrive(1)).server == 1


def test_failed_watches_are_retried_within_the_maximum_poll_gap() -> None:
    # Some sites count every drain as known to an instance that has not polled discovery for four seconds.
    driver = Driver(settings(polls_endpoints=True, max_poll_gap=4.0))
    watched_at: list[float] = []
    while driver.now < 140.0:
        if Watch(True) in driver.wait(0.05):
            watched_at.append(driver.now)
            driver.wait(0.5)
            driver.feed(ServerList(ListKind.FAILED))
    gaps = [later - earlier for earlier, later in pairwise([100.0, *watched_at])]
    assert gaps[0] <= 4.0 and max(gaps) <= 0.5 + 4.0 + 0.1
