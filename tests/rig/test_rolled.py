"""The page of a rollout, and what is kept for it."""

from __future__ import annotations

import math

import msgspec

from gladegw.control.duties.rollout_controller import MAX_DENSE_POINTS, SPARSE_POINT_STRIDE, timeline_point
from gladegw.coordination.canary_analysis import Evidence, Sample
from gladegw.coordination.fleet_regression import FleetWindow
from gladegw.coordination.records import (
    RolloutLimitsRecord,
    RolloutRecord,
    TimelinePointRecord,
    decode,
    encode,
)
from gladegw.rig.measures import rolled

LIMITS = RolloutLimitsRecord(failed=0.002, refused=0.02, level=0.1, alpha=0.01, least_requests=200)
RECORD = RolloutRecord(
    id="r<1>",
    old="o",
    new="n",
    stages=(("a",), ("a", "b")),
    limits=LIMITS,
    bake_s=60,
    most_s=600,
    confirm_s=10,
    deadline_s=10,
    everyone=True,
    stage=1,
    phase="back",
    reason="failed & <done>",
    at=100.0,
    ended_at=190.0,
)


def test_an_interval_holds_its_rate() -> None:
    for bad, of in ((0, 1), (0, 50), (3, 200), (50, 50)):
        rate, low, high = rolled.wilson(bad, of)
        assert 0.0 <= low <= rate + 1e-12 and rate - 1e-12 <= high <= 1.0 and high - low < 1.0
    assert math.isnan(rolled.wilson(0, 0)[0])
    assert rolled.wilson(10, 100)[2] - rolled.wilson(10, 100)[1] > rolled.wilson(100, 1000)[2] - 0.1


def point(stage: int, window: int, bad: int) -> TimelinePointRecord:
    new = FleetWindow({"failed status": (bad, 20)}, {"ms status": 20.0 + bad})
    return TimelinePointRecord(
        at=10.0 + 40 * stage + 2 * window,
        stage=stage,
        baked_s=2.0 * window,
        log_e={"failed status": 0.3 * bad},
        new=new,
        others=FleetWindow({"failed status": (1, 200)}, {"ms status": 21.0}),
    )


def test_a_page_tells_stages_and_figures_and_nothing_as_markup() -> None:
    points = [point(0, window, 0) for window in range(1, 6)] + [point(1, window, 4) for window in range(1, 9)]
    assert [decode(encode(one), TimelinePointRecord) for one in points] == points
    text = rolled.page(RECORD, points)
    assert "failed &amp; &lt;done&gt;" in text and "r&lt;1&gt;" in text and "<svg" in text and "90 s" in text
    assert rolled.stages(RECORD, points) == [
        (1, "a", "not worse", "10 s", 100, "failed status, 0.00"),
        (2, "a b", "back", "16 s", 160, "failed status, 1.20"),
    ]
    assert rolled.rates(points, "new", "failed status")[5][0] == 20.0  # of its own stage alone
    assert "No window was judged" in rolled.page(RECORD, [])


def test_a_point_parts_the_stage_from_the_others_and_few_are_kept_for_ever() -> None:
    window = {name: Sample({"status": 10}, {"status": bad}) for name, bad in (("a", 5), ("b", 0), ("c", 1))}
    first = msgspec.structs.replace(RECORD, stage=0)
    told = timeline_point(first, Evidence(wagers={"failed status": (0.0, 1.0)}), window, 4.0)
    assert told.new.rates["failed status"] == (5, 10) and told.others.rates["failed status"] == (1, 20)
    assert told.log_e["failed status"] > 0.5 and MAX_DENSE_POINTS + 24 * 3600 / 2 / SPARSE_POINT_STRIDE < 5000
