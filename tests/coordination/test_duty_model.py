"""Model checking of the duty state machine: orders of steps and faults, random walks and injected defects."""

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

TWO_HOLDERS = "two hold the duty by their own bounds"
OLDER_TOKEN = "an effect is accepted under an older token"
LATE_EFFECT = "an effect is begun after the holder's bound"
NO_HOLDER = "a live member does not come to hold the duty"


def test_no_order_of_steps_breaks_an_invariant() -> None:
    result = Search(Duties(2), liveness=10).run(8)
    assert not result.broken, (result.broken, result.trace)
    assert result.states > 5_000 and result.merged > 1_000
    result = Search(Duties(3), liveness=10).run(6)
    assert not result.broken, (result.broken, result.trace)


@pytest.mark.parametrize("seed", range(100, 106))
def test_no_long_walk_breaks_an_invariant(seed: int) -> None:
    result = walk(Duties(3, crashes=8, leaves=8, doubles=10, ttl=4), seed, STEPS)
    assert not result.broken, (result.broken, result.trace[-30:])


def replace_transition(
    phase: Phase, event: Event, replacement: Any = None
) -> Callable[[pytest.MonkeyPatch], None]:
    """Return a patch that removes a transition or replaces it."""

    def inject(patch: pytest.MonkeyPatch) -> None:
        table = {key: row for key, row in duties.TRANSITIONS.items() if key != (phase, event)}
        patch.setattr(duties, "TRANSITIONS", table | ({(phase, event): replacement} if replacement else {}))

    return inject


def replace_function(
    module: Any, name: str, replacement: Callable[..., Any]
) -> Callable[[pytest.MonkeyPatch], None]:
    return lambda patch: patch.setattr(module, name, replacement)


real_step, real_renewed, real_granted = duties.step, leases.renewed, leases.granted


def apply_stale_updates(duty: duties.Duty, *arguments: Any) -> Any:
    return real_step(dataclasses.replace(duty, seen_revision=0), *arguments)


def count_from_response(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(leases, "granted", lambda id, sent, ttl, drift: real_granted(id, 0.0, ttl, drift))
    patch.setattr(
        leases, "renewed", lambda lease, id, sent, ttl, drift: real_renewed(lease, id, 0.0, ttl, drift)
    )


def without_drift_allowance(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(leases, "granted", lambda id, sent, ttl, drift: real_granted(id, sent, ttl, 0.0))
    patch.setattr(leases, "renewed", lambda le, id, sent, ttl, drift: real_renewed(le, id, sent, ttl, 0.0))


# By name of the defect: a function that injects it, the seed of a walk that finds it (searched for from 0
# on; a walk depends on its seed alone), and the invariant that it breaks.
MUTANTS: dict[str, tuple[Callable[[pytest.MonkeyPatch], None], int, str]] = {
    "the token is not compared": (
        replace_function(duties, "fenced", lambda key, token, *effects: Txn((), effects, (Get(key),))),
        2,
        OLDER_TOKEN,
    ),
    "the lease is counted from the response": (count_from_response, 17, TWO_HOLDERS),
    "clock drift is not subtracted": (without_drift_allowance, 16, TWO_HOLDERS),
    "the lease is not checked before an effect": (
        replace_function(duties, "may_act", lambda duty, lease, now: duty.phase is Phase.HELD),
        0,
        LATE_EFFECT,
    ),
    "a key under an old lease counts as held": (
        replace_function(
            duties,
            "event_of_key",
            lambda token, lease_of_key, lease: Event.OWNED
            if token and lease_of_key <= lease.id
            else Event.OWNED_BY_OTHER
            if token
            else Event.VACANT,
        ),
        0,
        TWO_HOLDERS,
    ),
    "a stale update is applied": (replace_function(duties, "step", apply_stale_updates), 16, TWO_HOLDERS),
    "a claim deletes another holder's key": (
        replace_function(duties, "claim", lambda key, record, lease: Txn((), (Delete(key),), ())),
        0,
        TWO_HOLDERS,
    ),
    "a claim overwrites the key": (
        replace_function(
            duties, "claim", lambda key, record, lease: Txn((), (Put(key, record, lease),), (Get(key),))
        ),
        0,
        TWO_HOLDERS,
    ),
    "a claim without a response counts as successful": (
        replace_transition(Phase.CLAIMING, Event.UNKNOWN, (Phase.HELD, (Action.START,))),
        3,
        TWO_HOLDERS,
    ),
    "the key is not read after a claim without a response": (
        replace_transition(Phase.CLAIMING, Event.UNKNOWN),
        12,
        NO_HOLDER,
    ),
    "an expired holder keeps the duty under its next lease": (
        replace_transition(Phase.HELD, Event.EXPIRED),
        0,
        TWO_HOLDERS,
    ),
    "a lease that the store does not have keeps its expiry": (
        replace_function(
            leases,
            "renewed",
            lambda lease, id, sent, ttl, drift: real_renewed(lease, id, sent, ttl or 2, drift),
        ),
        8,
        TWO_HOLDERS,
    ),
    "a releasing member starts effects": (
        replace_function(
            duties,
            "may_act",
            lambda duty, lease, now: lease.is_valid(now) and duty.phase in (Phase.HELD, Phase.RELEASING),
        ),
        4,
        TWO_HOLDERS,
    ),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_injected_defect_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    inject, seed, expected = MUTANTS[name]
    world = Duties(3, crashes=8, leaves=8, doubles=10, ttl=4)
    assert not walk(world, seed, STEPS).broken
    inject(monkeypatch)
    assert walk(world, seed, STEPS).broken == expected


def test_trace_of_a_violation_has_one_readable_step_per_level(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(duties, "may_act", lambda duty, lease, now: duty.phase is not Phase.IDLE)
    result = Search(Duties(2), liveness=0).run(14)
    assert result.broken in (LATE_EFFECT, TWO_HOLDERS)
    assert len(result.trace) == result.depth and any(
        "claim" in step or "reads" in step for step in result.trace
    )


def test_lease_is_valid_with_an_id_and_before_its_expiry() -> None:
    assert not Lease().is_valid(-1e9) and Lease(1, 5.0).is_valid(4.9) and not Lease(1, 5.0).is_valid(5.0)


def test_explore_command_prints_states_and_exits_with_1_for_a_violation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    arguments = ["explore", "--members", "2", "--depth", "3", "--walks", "1", "--steps", "200", "--seed", "0"]
    result = CliRunner().invoke(rig, arguments)
    assert result.exit_code == 0 and "states, depth 3" in result.output
    monkeypatch.setattr(duties, "may_act", lambda duty, lease, now: duty.phase is Phase.HELD)
    result = CliRunner().invoke(rig, [*arguments[:-1], "0", "--steps", "1200", "--members", "3"])
    assert result.exit_code == 1 and "BROKEN: " in result.output
