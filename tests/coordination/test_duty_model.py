"""The duty's machine in all orders of steps and faults, and planted defects that have to be found."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import pytest
from click.testing import CliRunner

from gladegw.cli.rig import rig
from gladegw.coordination import duty as duties
from gladegw.coordination import lease as leases
from gladegw.coordination.duty import Action, Event, Phase
from gladegw.coordination.lease import Lease
from gladegw.coordination.store import Delete, Get, Put, Txn
from gladegw.rig.model_checking.duties import Duties
from gladegw.rig.model_checking.search import Search, walk

STEPS = 1200

TWO = "two hold the duty by their own bounds"
OLDER = "an effect is accepted under an older token"
LATE = "an effect is begun after the holder's bound"
NONE = "a live member does not come to hold the duty"


def test_no_order_of_steps_breaks_an_invariant() -> None:
    found = Search(Duties(2), liveness=10).run(8)
    assert not found.broken, (found.broken, found.trace)
    assert found.states > 5_000 and found.merged > 1_000
    found = Search(Duties(3), liveness=10).run(6)
    assert not found.broken, (found.broken, found.trace)


@pytest.mark.parametrize("seed", range(100, 106))
def test_no_long_run_breaks_an_invariant(seed: int) -> None:
    found = walk(Duties(3, crashes=8, leaves=8, doubles=10, ttl=4), seed, STEPS)
    assert not found.broken, (found.broken, found.trace[-30:])


def without(phase: Phase, event: Event, to: Any = None) -> Callable[[pytest.MonkeyPatch], None]:
    """The table with a row gone, or another in its place."""

    def plant(patch: pytest.MonkeyPatch) -> None:
        table = {key: row for key, row in duties.TRANSITIONS.items() if key != (phase, event)}
        patch.setattr(duties, "TRANSITIONS", table | ({(phase, event): to} if to else {}))

    return plant


def instead(module: Any, name: str, other: Callable[..., Any]) -> Callable[[pytest.MonkeyPatch], None]:
    return lambda patch: patch.setattr(module, name, other)


real_step, real_renewed, real_granted = duties.step, leases.renewed, leases.granted


def gullible(duty: duties.Duty, *word: Any) -> Any:
    return real_step(dataclasses.replace(duty, seen_revision=0), *word)


def from_the_answer(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(leases, "granted", lambda id, sent, ttl, drift: real_granted(id, 0.0, ttl, drift))
    patch.setattr(
        leases, "renewed", lambda lease, id, sent, ttl, drift: real_renewed(lease, id, 0.0, ttl, drift)
    )


def no_drift(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(leases, "granted", lambda id, sent, ttl, drift: real_granted(id, sent, ttl, 0.0))
    patch.setattr(leases, "renewed", lambda le, id, sent, ttl, drift: real_renewed(le, id, sent, ttl, 0.0))


# Each with the long run that finds it (looked for once, from 0 on; a walk is the same each time) and how.
MUTANTS: dict[str, tuple[Callable[[pytest.MonkeyPatch], None], int, str]] = {
    "the token is not compared": (
        instead(duties, "fenced", lambda key, token, *effects: Txn((), effects, (Get(key),))),
        2,
        OLDER,
    ),
    "the clock is read after the answer": (from_the_answer, 17, TWO),
    "no share is given away for drift": (no_drift, 16, TWO),
    "a timer in place of the check": (
        instead(duties, "may_act", lambda duty, lease, now: duty.phase is Phase.HELD),
        0,
        LATE,
    ),
    "a key under an old lease counts as held": (
        instead(
            duties,
            "event_of_key",
            lambda token, by, lease: Event.OWNED
            if token and by <= lease.id
            else Event.OWNED_BY_OTHER
            if token
            else Event.VACANT,
        ),
        0,
        TWO,
    ),
    "a stale word is heeded": (instead(duties, "step", gullible), 16, TWO),
    "a claim takes what another holds": (
        instead(duties, "claim", lambda key, record, lease: Txn((), (Delete(key),), ())),
        0,
        TWO,
    ),
    "a claim overwrites": (
        instead(duties, "claim", lambda key, record, lease: Txn((), (Put(key, record, lease),), (Get(key),))),
        0,
        TWO,
    ),
    "an unanswered claim counts as won": (
        without(Phase.CLAIMING, Event.UNKNOWN, (Phase.HELD, (Action.START,))),
        3,
        TWO,
    ),
    "an unanswered claim is never looked into": (without(Phase.CLAIMING, Event.UNKNOWN), 12, NONE),
    "an expired holder goes on under its next lease": (without(Phase.HELD, Event.EXPIRED), 0, TWO),
    "a lease that the store does not know keeps its bound": (
        instead(
            leases,
            "renewed",
            lambda lease, id, sent, ttl, drift: real_renewed(lease, id, sent, ttl or 2, drift),
        ),
        8,
        TWO,
    ),
    "one that leaves goes on acting": (
        instead(
            duties,
            "may_act",
            lambda duty, lease, now: lease.is_valid(now) and duty.phase in (Phase.HELD, Phase.RELEASING),
        ),
        4,
        TWO,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_a_planted_defect_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    plant, seed, wanted = MUTANTS[name]
    world = Duties(3, crashes=8, leaves=8, doubles=10, ttl=4)
    assert not walk(world, seed, STEPS).broken
    plant(monkeypatch)
    assert walk(world, seed, STEPS).broken == wanted


def test_the_trace_is_the_shortest_and_can_be_read(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(duties, "may_act", lambda duty, lease, now: duty.phase is not Phase.IDLE)
    found = Search(Duties(2), liveness=0).run(14)
    assert found.broken in (LATE, TWO)
    assert len(found.trace) == found.depth and any("claim" in step or "reads" in step for step in found.trace)


def test_a_lease_is_named_before_it_is_used() -> None:
    assert not Lease().is_valid(-1e9) and Lease(1, 5.0).is_valid(4.9) and not Lease(1, 5.0).is_valid(5.0)


def test_the_command_tells_states_and_exits_by_what_it_found(monkeypatch: pytest.MonkeyPatch) -> None:
    asked = ["explore", "--members", "2", "--depth", "3", "--walks", "1", "--steps", "200", "--seed", "0"]
    told = CliRunner().invoke(rig, asked)
    assert told.exit_code == 0 and "states, depth 3" in told.output
    monkeypatch.setattr(duties, "may_act", lambda duty, lease, now: duty.phase is Phase.HELD)
    told = CliRunner().invoke(rig, [*asked[:-1], "0", "--steps", "1200", "--members", "3"])
    assert told.exit_code == 1 and "BROKEN: " in told.output
