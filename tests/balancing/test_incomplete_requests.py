"""Requests whose body is still being received are no load: no server works on them before their last byte."""

from __future__ import annotations

from support.balancing import Driver, entries, sends, settings

from gladegw import Arrival, ClientDisconnected, Outcome, RequestCompleted, Status

CROWD = 200


def crowded_driver() -> Driver:
    """A driver with a crowd of requests that are not complete, of a higher weight than others."""
    driver = Driver(settings())
    driver.feed(*(Arrival(call, "safe", 2.0, incomplete=True) for call in range(CROWD)))
    return driver


def test_a_crowd_of_incomplete_requests_takes_neither_window_nor_places_of_the_queue() -> None:
    """Guards against uploads that nobody goes on with, behind which good requests wait (report 9346bc)."""
    driver = crowded_driver()
    assert driver.balancer.window_in_use == 0
    assert len(sends(driver.arrive(1000, "once"))) == 1


def test_incomplete_requests_in_flight_are_limited() -> None:
    driver = crowded_driver()
    assert driver.balancer.incomplete_in_flight == driver.balancer.max_incomplete
    assert sum(server.in_flight for server in driver.balancer.servers.servers.values()) <= CROWD


def test_an_incomplete_request_counts_as_an_arrival_and_as_load_once_it_is_complete() -> None:
    driver = Driver(settings(), servers=entries(1))
    balancer = driver.balancer
    driver.feed(Arrival(1, "safe", 2.0, incomplete=True), Arrival(2, "safe", 2.0, incomplete=True))
    (server,) = balancer.servers.servers.values()
    assert len(balancer.admission.history) == 0
    assert (server.incomplete, server.sent_since_report) == (2, 0)
    driver.feed(RequestCompleted(1))
    assert len(balancer.admission.history) == 1
    assert (server.incomplete, server.sent_since_report) == (1, 1)
    driver.feed(ClientDisconnected(2), Outcome(2, 0, server.id, Status.CANCELLED, 0.1, True))
    driver.feed(Outcome(1, 0, server.id, Status.OK, 0.1, True), RequestCompleted(1), RequestCompleted(2))
    assert len(balancer.admission.history) == 1
    assert (server.incomplete, server.in_flight, balancer.incomplete_in_flight) == (0, 0, 0)
    assert balancer.window_in_use == 0
