"""What is told of holders that are lost one after another, and a short run of it over processes."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest
from support.loopback import ROOT, run

from gladegw.rig.measures.failover import Judge, one_kind, quantiles
from gladegw.rig.measures.member import Line


def test_two_that_held_at_once_are_told() -> None:
    judge = Judge()
    for line in (
        Line("begin", 1.0, "a", "one", 3, 1.8),
        Line("effect", 1.5, "a", "one", 3, 2.2),
        Line("begin", 2.1, "b", "one", 9, 3.0),
        Line("refused", 2.3, "a", "one", 3, 2.2),
        Line("end", 2.9, "b", "one", 9),
        Line("begin", 2.95, "a", "one", 12, 4.0),
    ):
        judge.line(line)
    assert judge.overlaps() == ["token 3 of a until 2.200, token 9 of b from 2.100"]
    assert (judge.effects, judge.late, judge.refused) == (2, 1, 1)


def test_one_that_ended_in_time_overlaps_nobody() -> None:
    judge = Judge()
    for line in (
        Line("begin", 1.0, "a", "one", 3, 9.0),
        Line("end", 2.0, "a", "one", 3),
        Line("begin", 2.001, "b", "one", 4, 9.0),
    ):
        judge.line(line)
    assert judge.overlaps() == []


def test_quantiles_of_gaps() -> None:
    assert quantiles([0.3, 0.1, 0.2]) == {"p50": 0.2, "p99": 0.3, "max": 0.3}


def test_losses_over_processes_leave_one_holder() -> None:
    kinds = ["stop", "term", "slow clock", "cut in", "store stopped", "term heir", "versions"]
    wanted = (word for kind in kinds for word in ("--kind", kind))
    words = ("rig", "losses", "--losses", "2", "--at-once", "3", *wanted)
    told = subprocess.run(
        (sys.executable, "-m", "gladegw", *words, "--json"),
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=120,
        check=False,
    )
    assert told.returncode == 0, told.stderr
    rows = json.loads(told.stdout)["rows"]
    assert [row["kind"] for row in rows] == kinds
    for row in rows:
        assert row["overlaps"] == [] and row["begun_late"] == 0 and row["effects"] > 10
        assert row["not_linearizable"] == [] and row["store_operations"] > 30
    assert rows[1]["max"] < 1.0 and 0.2 < rows[0]["max"] < 4.0
    assert rows[3]["max"] < 1.5  # one whose answers are lost gives its lease back: 1.6 to 2.2 before it did


@pytest.mark.parametrize("unfenced", [False, True])
def test_an_effect_that_comes_after_the_next_holders_is_refused(unfenced: bool) -> None:
    async def test() -> None:
        found = await one_kind("stale", 2, 3, 1, 5, 0.0, unfenced)
        assert len(found.went_back) == (2 if unfenced else 0), found.went_back
        assert unfenced or found.fenced >= 2
        assert not found.overlaps and not found.late and not found.disorder

    run(test())
