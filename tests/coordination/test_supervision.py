"""One proxy's processes under a supervisor, in any course of deaths, faults and changes of mind; with defects
planted in the table."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladegw.coordination import supervision
from gladegw.coordination.supervision import (
    NOT_RUNNING,
    ActionKind,
    Phase,
    ProcessStatus,
    Slot,
    Supervision,
    Timeouts,
    VersionOrder,
    apply_order,
    request_version,
    revert_unconfirmed,
    step,
)

BOUNDS = Timeouts(ready=5.0, verify=3.0, drain=4.0, restart_backoff=0.5, max_restart_backoff=4.0)
TICK = 0.25
VERSIONS = ("good", "dies", "never", "bad", "late", "better", "flaps")


@dataclass
class Process:
    version: str
    born: float
    told: bool = False
    lame: bool = False
    deaf: bool = False  # does not heed what it is told

    def seen(self, now: float) -> ProcessStatus:
        age = now - self.born
        if self.version == "dies" and age > 1.0:
            return ProcessStatus(exit_reason="ended with 1")
        ready = age > 0.5 and self.version != "never" and not self.told and not self.lame
        ready &= self.version != "late" or age > BOUNDS.ready + 1
        ready &= self.version != "flaps" or int(age) % 2 == 0
        return ProcessStatus(True, ready, "serves errors" if self.version == "bad" and age > 1.5 else "")


class World:
    """The supervisor's processes, and what must hold whatever happens to them."""

    def __init__(self, seed: int) -> None:
        self.draws = Random(seed)
        self.now = 0.0
        self.state = Supervision(wanted="good", current="good")
        self.there: dict[Slot, Process] = {}
        self.proven = 0.0  # since when the other one was ready without a break
        self.given_up: set[tuple[int, str]] = set()

    def seen(self, slot: Slot) -> ProcessStatus:
        process = self.there.get(slot)
        return process.seen(self.now) if process is not None else NOT_RUNNING

    def tick(self) -> None:
        self.now += TICK
        for slot, process in list(self.there.items()):
            leaves = process.told and not process.deaf and self.draws.random() < 0.3
            if leaves or not process.seen(self.now).alive:
                del self.there[slot]
        current, other = self.seen(Slot.CURRENT), self.seen(Slot.OTHER)
        if not (other.alive and other.ready and not other.failure):
            self.proven = self.now
        before = self.state
        self.state, actions = step(before, current, other, self.now, BOUNDS)
        self.given_up |= {(self.state.epoch, version) for version in self.state.refused}
        for do, slot in actions:
            self.do(do, slot, before, current)
        assert len(self.there) <= 2

    def do(self, do: ActionKind, slot: Slot, before: Supervision, current: ProcessStatus) -> None:
        if do is ActionKind.START:
            version = self.state.current if slot is Slot.CURRENT else self.state.coming
            assert slot not in self.there, "started over one that is there"
            assert (self.state.epoch, version) not in self.given_up or version == before.good, "tried again"
            self.there[slot] = Process(version, self.now, deaf=self.draws.random() < 0.2)
        elif do is ActionKind.PROMOTE:
            assert Slot.CURRENT not in self.there, "it took the place of one that is there"
            self.there[Slot.CURRENT] = self.there.pop(Slot.OTHER)
        else:
            if slot is Slot.CURRENT and current.ready and not current.failure and not self.there[slot].told:
                assert self.now >= self.proven + BOUNDS.verify, f"{do} of who serves before it was proven"
            if do in (ActionKind.DRAIN, ActionKind.REJOIN):
                self.there[slot].lame = do is ActionKind.DRAIN
            elif do is ActionKind.KILL:
                self.there.pop(slot, None)
            elif slot in self.there:
                self.there[slot].told = True

    def settle(self, version: str, ask: str = "", lost: bool = False) -> None:
        """Once nothing happens any more it serves by what was asked for, or by this version where that is no
        good, by one process, in bounded time. `lost`: who served dies first."""
        self.state = request_version(self.state, ask or version, self.state.epoch + 1, keep=bool(ask))
        if lost:
            self.there.pop(Slot.CURRENT)
        most = 2 * (BOUNDS.ready + BOUNDS.verify + BOUNDS.drain + BOUNDS.max_restart_backoff) + 2
        for _ in range(int(most / TICK)):
            self.tick()
        assert self.state.phase is Phase.STEADY and self.state.current == version, self.state
        assert set(self.there) == {Slot.CURRENT} and self.seen(Slot.CURRENT).ready


course = st.lists(
    st.one_of(
        st.integers(1, 30),
        st.sampled_from(VERSIONS),
        st.sampled_from(["kill current", "kill other", "again"]),
    ),
    max_size=40,
)


def walk(seed: int, events: list[Any]) -> None:
    world = World(seed)
    for event in events:
        if isinstance(event, int):
            for _ in range(event):
                world.tick()
        elif event == "again":  # the same word of the store, under the same epoch
            world.state = request_version(world.state, world.state.wanted, world.state.epoch)
        elif event in VERSIONS:
            world.state = request_version(
                world.state, event, world.state.epoch + 1, world.draws.random() < 0.5
            )
        else:
            world.there.pop(Slot.CURRENT if event == "kill current" else Slot.OTHER, None)
    world.settle("better")
    world.settle("better", "never")
    world.settle("better", "dies", lost=True)


@given(st.integers(0, 1 << 16), course)
@settings(max_examples=600, deadline=None)
def test_in_any_course_one_serves_until_another_is_proven(seed: int, events: list[Any]) -> None:
    walk(seed, events)


def drawn(seed: int) -> list[Any]:
    draws = Random(seed)
    events: list[Any] = []
    for _ in range(25):
        events += [draws.choice([*VERSIONS, "kill current", "kill other"]), draws.randint(1, 30)]
    return events


@pytest.mark.parametrize(
    ("version", "reason"),
    [
        ("dies", "ended"),
        ("never", "not ready in 5 s"),
        ("late", "not ready"),
        ("bad", "serves errors"),
        ("flaps", "ready no more"),
    ],
)
def test_a_version_that_does_badly_is_given_up(version: str, reason: str) -> None:
    world = World(1)
    world.settle("good")
    pid = world.there[Slot.CURRENT]
    world.state = request_version(world.state, version, 2)
    for _ in range(200):
        world.tick()
    assert world.state.phase is Phase.STEADY and world.there == {Slot.CURRENT: pid}
    assert world.state.refused == {version} and reason in world.state.reason


def _plant(name: str, **changes: Any) -> Any:
    """A table's function that answers with something else in its result."""
    real = getattr(supervision, name)

    def planted(*given: Any) -> Any:
        after, actions = real(*given)
        for key, change in changes.items():
            if key == "actions":
                actions = change(actions)
            else:
                after = replace(after, **{key: change(given[0], after)})
        return after, actions

    return planted


def _unproven(state: Any, current: Any, other: Any, now: float, bounds: Any) -> Any:
    return supervision_real["_verifying"](state, current, other, now + bounds.verify, bounds)


def _not_looked_at(state: Any, current: Any, other: Any, now: float, bounds: Any) -> Any:
    seen = replace(other, failure="", ready=True) if other.alive else other
    return supervision_real["_verifying"](state, current, seen, now, bounds)


def _patient(state: Any, current: Any, other: Any, now: float, bounds: Any) -> Any:
    return supervision_real["_starting_replacement"](state, current, other, now, replace(bounds, ready=1e9))


def _never_killed(state: Any, current: Any, other: Any, now: float, bounds: Any) -> Any:
    return supervision_real["_stopping_previous"](state, current, other, now, replace(bounds, drain=1e9))


def _deaf_to_death(state: Any, current: Any, other: Any, now: float, bounds: Any) -> Any:
    return supervision_real["_steady"](state, replace(current, alive=True), other, now, bounds)


def _ends_both(state: Any, current: Any, other: Any, now: float, bounds: Any) -> Any:
    after, actions = supervision_real["_starting_replacement"](state, current, other, now, bounds)
    return after, (*actions, (ActionKind.TERMINATE, Slot.CURRENT)) if actions == (
        (ActionKind.TERMINATE, Slot.OTHER),
    ) else actions


def _not_called_back(*given: Any) -> Any:
    after, actions = supervision_real["_retaining_previous"](*given)
    return after, tuple(one for one in actions if one[0] is not ActionKind.REJOIN)


def _kept_for_ever(state: Any, *rest: Any) -> Any:
    return supervision_real["_retaining_previous"](replace(state, keep=True), *rest)


supervision_real = {
    name: getattr(supervision, name)
    for name in (
        "_verifying",
        "_starting_replacement",
        "_stopping_previous",
        "_steady",
        "_retaining_previous",
    )
}
PLANTED: dict[str, tuple[str, Any]] = {
    "the old one is told to end at once": ("_verifying", _unproven),
    "what the new one does is not looked at": ("_verifying", _not_looked_at),
    "one that is never ready is waited for": ("_starting_replacement", _patient),
    "one that does not leave is never killed": ("_stopping_previous", _never_killed),
    "a death is not noticed": ("_steady", _deaf_to_death),
    "both are told to end": ("_starting_replacement", _ends_both),
    "what was given up is tried again": ("_reject_version", lambda state, why: replace(state, reason=why)),
    "the other takes over and the place is not": ("_promote", _plant("_promote", actions=lambda _: ())),
    "who follows is not named": ("_promote", _plant("_promote", current=lambda was, _: was.current)),
    "a start that fails never falls back": ("DEATHS_BEFORE_FALLBACK", 10**9),
    "one that leaves is not followed": (
        "_stopping_replacement",
        lambda state, *_: (replace(state, phase=Phase.STEADY, coming=""), ()),
    ),
    "nothing is started after a death": ("_restart_backoff", lambda *_: 1e9),
    "the one before is drained and never called back": ("_retaining_previous", _not_called_back),
    "it is kept when all is confirmed": ("_retaining_previous", _kept_for_ever),
}


@pytest.mark.parametrize("defect", PLANTED)
def test_each_planted_defect_is_found(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, planted = PLANTED[defect]
    monkeypatch.setattr(supervision, name, planted)
    for seed in range(300):
        try:
            walk(seed, drawn(seed))
        except (AssertionError, KeyError):
            return
    raise AssertionError("not found in 300 walks")


def test_the_walks_find_nothing_in_the_table_as_it_is() -> None:
    for seed in range(300):
        walk(seed, drawn(seed))


def test_a_proof_waits_for_requests_where_there_are_some_and_not_for_ever() -> None:
    ready, thin = ProcessStatus(True, True), ProcessStatus(True, True, insufficient_traffic=True)
    proving = Supervision("better", "good", Phase.VERIFYING, 10.0, coming="better")

    def phase(other: ProcessStatus, after: float) -> Phase:
        return step(proving, ready, other, 10.0 + after * BOUNDS.verify, BOUNDS)[0].phase

    assert phase(ready, 0.9) is Phase.VERIFYING and phase(ready, 1.0) is Phase.STOPPING_PREVIOUS
    assert phase(thin, 3.9) is Phase.VERIFYING and phase(thin, 4.0) is Phase.STOPPING_PREVIOUS
    assert phase(replace(thin, failure="serves errors"), 2.0) is Phase.STOPPING_REPLACEMENT


def test_an_order_is_heeded_by_epochs_and_a_stage_needs_signs() -> None:
    order = apply_order(VersionOrder(), "a", 1, "1.0", "1.1", ("a", "b"), 10.0, 5, 100.0)
    assert (order.wanted, order.base) == ("1.1", "1.0")
    assert apply_order(VersionOrder(), "c", 1, "1.0", "1.1", ("a", "b"), 10.0, 5, 100.0).wanted == "1.0"
    assert apply_order(order, "a", 0, "0.9", "", (), 0.0, 9, 101.0) == order
    later = apply_order(order, "a", 1, "1.0", "1.1", ("a", "b"), 10.0, 6, 108.0)
    assert revert_unconfirmed(later, 117.9).wanted == "1.1"
    alone = revert_unconfirmed(later, 118.1)
    assert alone.wanted == "1.0"
    assert (
        apply_order(alone, "a", 1, "1.0", "1.1", ("a", "b"), 10.0, 9, 119.0).wanted == "1.0"
    )  # for the epoch
    assert apply_order(alone, "a", 2, "1.1", "", (), 0.0, 9, 120.0).wanted == "1.1"
    assert (
        revert_unconfirmed(apply_order(VersionOrder(), "c", 1, "1.0", "", (), 10.0, 1, 0.0), 1e9).wanted
        == "1.0"
    )
