"""A simulated fleet: a seed is the same course in each process, nothing breaks, planted defects are found."""

from __future__ import annotations

import asyncio
import dataclasses
import time

import pytest

from gladegw.coordination import policy_commit as table
from gladegw.rig.errors import RigError
from gladegw.rig.simulate import outages, parallel_runs, rollouts
from gladegw.rig.simulate.parallel_runs import Asked, courses, first_found
from gladegw.rig.simulate.scenario_run import Simulated
from gladegw.rig.simulate.seeded_defects import DEFECTS

LASTS = 60.0
SEEDS = 4  # that are looked at for a defect: another program has other courses
AT_ONCE = 2


async def played(*wanted: Asked) -> list[Simulated]:
    return [found async for found in courses(wanted, AT_ONCE)]


@pytest.mark.parametrize("when_cut_off", ["serve", "refuse"])
def test_a_fleet_is_whole_after_whatever_comes(when_cut_off: str) -> None:
    before = time.monotonic()
    asked = Asked(seed=7, lasts=LASTS, when_cut_off=when_cut_off)
    first, again = asyncio.run(played(asked, asked))
    assert first.broken == [] and first.missing == [], first.told
    assert sum(first.faults.values()) > 20 and first.changes.get("everywhere", 0) > 0
    assert first.seconds > LASTS and time.monotonic() - before < LASTS  # its clock has jumped, this one not
    assert again == first


def test_what_cannot_be_prepared_is_tried_again_in_its_time_and_not_at_each_word() -> None:
    """Found by seed 26 of `refuse`: each word of the store began one more chain of tries."""
    stuck = dataclasses.replace(
        table.Participant(),
        phase=table.Phase.PREPARE_FAILED,
        epoch=3,
        digest="old",
        committed=table.CommittedPolicy(4, "bad"),
        seen_revision=9,
    )
    after, actions = table.on_store_update(stuck, table.CommittedPolicy(4, "bad"), None, 10)
    assert actions == () and after.phase is table.Phase.PREPARE_FAILED
    assert table.on_store_update(stuck, table.CommittedPolicy(5, "other"), None, 10)[1] == (
        table.Action.PREPARE,
    )
    assert table.retry_prepare(after)[1] == (table.Action.PREPARE,)


@pytest.mark.parametrize("name", [name for name, defect in DEFECTS.items() if defect.seed])
def test_planted_defects_are_found(name: str) -> None:
    defect = DEFECTS[name]
    wanted = [
        Asked(
            seed=seed,
            members=defect.members,
            lasts=defect.lasts,
            when_cut_off=defect.when_cut_off,
            planted=name,
        )
        for seed in range(defect.seed, defect.seed + SEEDS)
    ]
    assert asyncio.run(first_found(wanted, defect.found, AT_ONCE)) is not None


def test_a_course_that_does_not_end_is_said(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parallel_runs, "WITHIN", 0.05)
    with pytest.raises(RigError, match="seed=3.* has not ended"):
        asyncio.run(played(Asked(seed=3)))


def outages_of(*wanted: outages.Asked) -> list[outages.Outage]:
    return asyncio.run(outages.measure(wanted, AT_ONCE))


def test_the_store_is_away_at_each_point_of_a_change() -> None:
    """Who has agreed and hears nothing stops, whatever the settings; else `serve` serves on, `refuse` not."""
    away = 60.0
    found = outages_of(
        *(
            outages.Asked(when_cut_off=mode, away=away, phase=phase)
            for mode in ("serve", "refuse")
            for phase in outages.PHASES
        )
    )
    assert [one.wrong for one in found] == [[]] * len(found)
    for one in found:
        stops = one.when_cut_off == "refuse" or one.phase == "voted"
        assert one.served < 3 / away if stops else one.served == 1.0, one
        assert one.last < 4.0, one


def test_a_rollout_over_many_members_takes_little_more_than_its_plan_bakes() -> None:
    wanted = [rollouts.Asked(members=24, bad=bad, bake=10.0) for bad in (False, True)]
    good, bad = asyncio.run(rollouts.measure(wanted, AT_ONCE))
    assert (good.state, bad.state, good.wrong, bad.wrong) == ("done", "back", [], [])
    assert good.baked == 20.0 < good.seconds < 45.0 and bad.seconds < 45.0
