"""The wall clock may be stepped; discovery tells when servers started by it, and a cold server must be
known as one."""

from __future__ import annotations

import time

import pytest
from support.loopback import endpoint, listing

from gladegw.net.endpoint_lists import EndpointInventory

STEPS = (-3600.0, -5.0, 5.0, 3600.0)  # s
AGE = 3.0  # s since a server started, when a list first tells of it
SLACK = 0.05  # s


class Clock:
    """The wall clock, which can be stepped; the monotonic one runs on."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.offset, self.real = 0.0, time.time
        patch.setattr(time, "time", lambda: self.real() + self.offset)

    def started(self, age: float) -> float:
        """`since_ms` of a server that started so many seconds ago, by the clock as it is now."""
        return (time.time() - age) * 1000


def take(inventory: EndpointInventory, index: int, *servers: tuple[str, float]) -> dict[str, float]:
    """The ages of the servers that a list changes, in seconds; 0 where the start was long ago."""
    entries = [endpoint(name, "127.0.0.1:1", since_ms=since) for name, since in servers]
    told = inventory.apply_parsed(listing(index, *entries, snapshot=False)).backends
    now = time.monotonic()
    return {one.name: now - one.entry.started_at if one.entry.started_at else 0.0 for one in told}


@pytest.mark.parametrize("step", STEPS)
def test_a_server_that_started_after_a_step_is_as_cold_as_it_is(
    step: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, inventory = Clock(monkeypatch), EndpointInventory()
    take(inventory, 1, ("s-1", clock.started(AGE)))
    clock.offset += step
    age = take(inventory, 2, ("s-2", clock.started(AGE)))["s-2"]
    assert age == pytest.approx(AGE, abs=SLACK)


@pytest.mark.parametrize("step", STEPS)
def test_a_server_that_started_before_a_step_and_is_told_of_after_it_is_no_older(
    step: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, inventory = Clock(monkeypatch), EndpointInventory()
    take(inventory, 1, ("s-1", clock.started(AGE)))
    since = clock.started(AGE)
    clock.offset += step
    age = take(inventory, 2, ("s-2", since))["s-2"]
    assert 0 <= age <= AGE + SLACK


@pytest.mark.parametrize("step", STEPS)
def test_a_step_makes_no_listed_server_look_restarted(step: float, monkeypatch: pytest.MonkeyPatch) -> None:
    clock, inventory = Clock(monkeypatch), EndpointInventory()
    since = clock.started(60.0)
    first = take(inventory, 1, ("s-1", since))["s-1"]
    clock.offset += step
    entry = endpoint("s-1", "127.0.0.1:1", "Terminating", since_ms=since)
    (told,) = inventory.apply_parsed(listing(2, entry, snapshot=False)).backends
    assert time.monotonic() - told.entry.started_at == pytest.approx(first, abs=SLACK)
