"""Start times from discovery refer to the wall clock; a step of it must not make a cold server look warm."""

from __future__ import annotations

import time

import pytest
from support.loopback import endpoint, listing

from gladegw.net.endpoint_lists import EndpointInventory

STEPS = (-3600.0, -5.0, 5.0, 3600.0)  # s
AGE = 3.0  # s since a server started, when a list first contains it
SLACK = 0.05  # s


class Clock:
    """Patches the wall clock so that it can be stepped; the monotonic clock is not affected."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.offset, self.real = 0.0, time.time
        patch.setattr(time, "time", lambda: self.real() + self.offset)

    def since_ms(self, age: float) -> float:
        """`since_ms` of a server that started `age` seconds ago, by the present wall clock."""
        return (time.time() - age) * 1000


def apply_list(inventory: EndpointInventory, index: int, *servers: tuple[str, float]) -> dict[str, float]:
    """Apply a list and return the ages of its changed servers in seconds; 0 if no start time is known."""
    entries = [endpoint(name, "127.0.0.1:1", since_ms=since) for name, since in servers]
    changed = inventory.apply_parsed(listing(index, *entries, snapshot=False)).backends
    now = time.monotonic()
    return {
        backend.name: now - backend.entry.started_at if backend.entry.started_at else 0.0
        for backend in changed
    }


@pytest.mark.parametrize("step", STEPS)
def test_a_server_that_started_after_a_step_gets_its_true_age(
    step: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, inventory = Clock(monkeypatch), EndpointInventory()
    apply_list(inventory, 1, ("s-1", clock.since_ms(AGE)))
    clock.offset += step
    age = apply_list(inventory, 2, ("s-2", clock.since_ms(AGE)))["s-2"]
    assert age == pytest.approx(AGE, abs=SLACK)


@pytest.mark.parametrize("step", STEPS)
def test_a_server_that_started_before_a_step_and_is_listed_after_it_gets_no_higher_age(
    step: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, inventory = Clock(monkeypatch), EndpointInventory()
    apply_list(inventory, 1, ("s-1", clock.since_ms(AGE)))
    since = clock.since_ms(AGE)
    clock.offset += step
    age = apply_list(inventory, 2, ("s-2", since))["s-2"]
    assert 0 <= age <= AGE + SLACK


@pytest.mark.parametrize("step", STEPS)
def test_a_step_makes_no_listed_server_look_restarted(step: float, monkeypatch: pytest.MonkeyPatch) -> None:
    clock, inventory = Clock(monkeypatch), EndpointInventory()
    since = clock.since_ms(60.0)
    first = apply_list(inventory, 1, ("s-1", since))["s-1"]
    clock.offset += step
    entry = endpoint("s-1", "127.0.0.1:1", "Terminating", since_ms=since)
    (changed,) = inventory.apply_parsed(listing(2, entry, snapshot=False)).backends
    assert time.monotonic() - changed.entry.started_at == pytest.approx(first, abs=SLACK)
