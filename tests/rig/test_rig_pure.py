"""The rig's parts without sockets: schedules, traces, the node model, scripts, discovery's registry,
settings."""

from __future__ import annotations

import itertools
import json
import tracemalloc
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladegw.rig import scenario
from gladegw.rig.errors import ScenarioError, TraceError
from gladegw.rig.faults import schedule
from gladegw.rig.measures.report import bootstrap
from gladegw.rig.nodes.model import KeyWindow, Kind, Life, NodeModel, Turn
from gladegw.rig.nodes.registry import Endpoint, Registry
from gladegw.rig.traffic.arrivals import Shape, Surge, times
from gladegw.rig.traffic.traces import Count, Options, read
from gladegw.rig.traffic.workload import CallClass, Mix, calls, retry_wait, try_budget

# -- arrivals ----------------------------------------------------------------------------------------


def test_constant_arrivals_are_even_and_all_within_the_run() -> None:
    found = list(times(Shape(rate=50, duration=2), "constant", 1))
    assert found == pytest.approx([n / 50 for n in range(100)])


@given(
    st.sampled_from(["steady", "ramp", "spike", "diurnal"]),
    st.sampled_from(["constant", "poisson"]),
    st.floats(1, 400),
    st.floats(0.5, 8),
    st.integers(0, 1000),
    st.floats(1, 4),
)
@settings(max_examples=60, deadline=None)
def test_a_seed_gives_the_same_ascending_times(
    shape: str, process: str, rate: float, duration: float, seed: int, size: float
) -> None:
    surge = Surge(at=duration / 4, lasts=duration / 4, size=size)
    how = Shape(rate=rate, duration=duration, shape=shape, surges=(surge,))
    found = list(times(how, process, seed))
    assert found == list(times(how, process, seed))
    assert all(a <= b for a, b in itertools.pairwise(found))
    assert all(0 <= at < duration for at in found)


def test_a_surge_brings_its_multiple() -> None:
    surge = Surge(at=4, lasts=4, size=3, edge=0.001)
    found = list(times(Shape(rate=100, duration=12, surges=(surge,)), "constant", 1))
    inside = sum(4 <= at < 8 for at in found)
    assert inside == pytest.approx(1200, rel=0.01)
    assert len(found) - inside == pytest.approx(800, rel=0.01)


# -- what clients ask for ------------------------------------------------------------------------------

MIX = Mix(
    classes=(CallClass(name="safe", share=0.7), CallClass(name="keyed", share=0.3, keyed=True, deadline=6)),
    tenants=(("a", 0.9), ("b", 0.1)),
    retries=2,
    try_share=0.5,
)


def test_the_mix_is_drawn_by_its_shares_and_each_keyed_call_has_a_key_of_its_own() -> None:
    found = list(calls(MIX, Shape(rate=1000, duration=5), "poisson", 3))
    keyed = [call for call in found if call.cls == 1]
    assert len(keyed) / len(found) == pytest.approx(0.3, abs=0.03)
    assert len({call.key for call in keyed}) == len(keyed)
    assert {call.key for call in found if call.cls == 0} == {""}
    assert sum(call.tenant == "a" for call in found) / len(found) == pytest.approx(0.9, abs=0.03)


def test_clients_retry_within_their_deadline_and_as_told() -> None:
    call = next(calls(MIX, Shape(rate=1, duration=5), "constant", 1))
    assert try_budget(MIX, call, 10.0) == pytest.approx(call.deadline / 2)
    assert try_budget(MIX, call, 0.1) == 0.1
    first = retry_wait(MIX, call, 0, 5.0, 503, 0.0)
    assert first is not None and MIX.backoff[0] <= first <= MIX.backoff[1]
    assert retry_wait(MIX, call, 0, 5.0, 503, 1.5) == 1.5
    assert retry_wait(MIX, call, 0, 1.0, 503, 1.5) is None  # no time for it
    assert retry_wait(MIX, call, 2, 5.0, 503, 0.0) is None  # no tries left
    assert retry_wait(MIX, call, 0, 5.0, 200, 0.0) is None
    assert retry_wait(MIX, call, 0, 5.0, 409, 0.0) is None
    assert retry_wait(MIX, call, 0, 5.0, 0, 0.0) is not None  # no answer came


# -- traces --------------------------------------------------------------------------------------------


def trace(path: Path, *lines: str) -> Path:
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return path


def test_a_trace_with_gaps_disorder_duplicates_and_a_broken_line(tmp_path: Path) -> None:
    path = trace(
        tmp_path / "t.csv",
        "at,class,tenant,key,budget_ms",
        "10,safe,a,,500",
        "10.2,safe,a,,",
        "10.1,keyed,b,k1,",
        "oops,safe,a,,",
        "10.2,safe,a,,",
        "70,safe,a,,",
        "70.5,safe",
    )
    count = Count()
    found = list(read(path, Options(longest_gap=2.0), count))
    assert [round(request.at, 3) for request in found] == [0, 0.1, 0.2, 0.2, 2.2]
    assert found[0].budget == 0.5 and found[1].key == "k1"
    assert (count.requests, count.out_of_order, count.duplicates, count.gaps) == (5, 1, 1, 1)
    assert count.bad == 2
    assert [line.split(":")[1] for line in count.bad_lines] == ["5", "8"]
    with pytest.raises(TraceError, match=r"t\.csv:5: "):
        list(read(path, Options(bad_lines="fail"), Count()))


@pytest.mark.parametrize(("late", "left"), [("keep", 5), ("drop", 4)])
def test_what_is_out_of_order_beyond_the_window(late: str, left: int, tmp_path: Path) -> None:
    lines = [json.dumps({"at": at}) for at in (1.0, 2.0, 3.0, 4.0, 0.5)]
    path = trace(tmp_path / "t.jsonl", *lines)
    count = Count()
    found = list(read(path, Options(late=late, window=2), count))
    assert len(found) == left and count.late == 1
    assert all(a.at <= b.at for a, b in itertools.pairwise(found))
    with pytest.raises(TraceError, match="comes after"):
        list(read(path, Options(late="fail", window=2), Count()))


def test_a_window_and_a_speed_of_a_trace(tmp_path: Path) -> None:
    path = trace(tmp_path / "t.jsonl", *(json.dumps({"at": 100 + at}) for at in range(10)))
    found = list(read(path, Options(begin=2, end=6, speed=4), Count()))
    assert [request.at for request in found] == [0, 0.25, 0.5, 0.75]


def test_a_capture_is_a_trace(tmp_path: Path) -> None:
    record = {
        "v": 1,
        "kind": "req",
        "id": "x",
        "class": "safe",
        "tenant": "a",
        "budget_ms": 400,
        "steps": [{"step": "admit", "at": 7.5}],
    }
    start = {"v": 1, "kind": "start", "seed": "1"}
    path = trace(
        tmp_path / "c.jsonl", json.dumps(start), json.dumps(record), json.dumps({**record, "steps": []})
    )
    count = Count()
    (found,) = read(path, Options(), count)
    assert (found.cls, found.tenant, found.budget, count.bad) == ("safe", "a", 0.4, 1)


@pytest.mark.parametrize("lines", [(), ("at,class",), ("",)])
def test_an_empty_trace_is_named(lines: tuple[str, ...], tmp_path: Path) -> None:
    with pytest.raises(TraceError, match="holds no request"):
        list(read(trace(tmp_path / "t.csv", *lines), Options(), Count()))


def test_a_long_trace_takes_constant_memory(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    with path.open("w") as file:
        for number in range(150_000):
            file.write(f'{{"at":{number / 1000},"class":"safe"}}\n')
    tracemalloc.start()
    count = Count()
    for place, _ in enumerate(read(path, Options(), count)):
        if place == 20_000:
            early = tracemalloc.get_traced_memory()[0]
            tracemalloc.reset_peak()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert count.requests == 150_000
    assert peak < early + 300_000


# -- the node model ------------------------------------------------------------------------------------


def drive(model: NodeModel, until: float) -> list[tuple[float, int]]:
    """Lets time pass; when each request was through."""
    found = []
    while (due := model.next_due()) is not None and due <= until:
        found += [(due, number) for number in model.advance(due)]
        for _ in model.advance(due):
            raise AssertionError("a second look finds more")
        for _, number in found[-1:]:
            if number >= 0:
                model.release(due)
    model.advance(until)
    return found


def test_cores_are_shared_and_none_gives_one_request_more_than_one() -> None:
    model = NodeModel(Kind(cores=2, speed=0.5), 0.0, cold=False)
    for number in range(4):
        assert model.arrive(0.0, number, 0.1) is Turn.RUNS
    assert [round(at, 6) for at, _ in drive(model, 10)][:1] == [
        0.4
    ]  # 0.4 s of work on 1 core-second a second
    alone = NodeModel(Kind(cores=8, speed=1.0), 0.0, cold=False)
    alone.arrive(0.0, 1, 0.2)
    assert drive(alone, 10)[0][0] == pytest.approx(0.2)


def test_beyond_slots_and_room_requests_are_turned_away_unseen() -> None:
    model = NodeModel(Kind(slots=2, room=1), 0.0, cold=False)
    turns = [model.arrive(0.0, number, 1.0) for number in range(4)]
    assert turns == [Turn.RUNS, Turn.RUNS, Turn.WAITS, Turn.FULL]
    assert model.inflight == 3
    assert model.release(0.1) == [2]
    model.life = Life.DRAINING
    assert model.arrive(0.2, 9, 1.0) is Turn.FULL


def test_a_cold_node_warms_with_time_or_work_and_never_slower_than_evenly() -> None:
    kind = Kind(cores=1, cold_from=0.2, cold_for=10, warm_work=1.0)
    model = NodeModel(kind, 0.0, cold=True)
    assert model.capacity(0.0) == pytest.approx(0.2)
    assert model.capacity(5.0) == pytest.approx(0.6)
    assert model.capacity(10.0) == pytest.approx(1.0)
    busy = NodeModel(kind, 0.0, cold=True)
    busy.arrive(0.0, 1, 0.6)
    for moment in range(1, 40):
        busy.advance(moment / 10)
    assert busy.warmth(4.0) > 0.55


def test_a_cold_node_falls_over_when_pushed_and_a_warm_one_does_not() -> None:
    kind = Kind(
        cores=1, cold_from=0.2, cold_for=100, warm_work=1000, slots=1000, fall_multiple=3, fall_for=1.5
    )
    for cold in (True, False):
        model = NodeModel(kind, 0.0, cold=cold)
        for number in range(40):
            at = number * 0.05
            model.advance(at)
            model.arrive(at, number, 0.04)  # 0.8 s of work a second: four times what it can do while cold
        assert model.fell is cold


def test_an_overdriven_node_slows_down_and_recovers_by_rest() -> None:
    kind = Kind(cores=1, slots=100, choke_at=3, choke_after=1.0, choke_factor=2.5, choke_rest=2.0)
    model = NodeModel(kind, 0.0, cold=False)
    for number in range(12):
        model.arrive(0.0, number, 10.0)
    model.advance(1.1)
    assert model.choked_at is not None and model.capacity(1.1) == pytest.approx(0.4)
    for _ in range(12):
        model.release(1.2)
    model._running.clear()
    model.advance(1.3)
    model.advance(3.4)
    assert model.choked_at is None and model.capacity(3.4) == pytest.approx(1.0)


@given(
    st.lists(st.tuples(st.floats(0, 0.5), st.floats(0.001, 0.5)), min_size=1, max_size=40), st.integers(1, 4)
)
@settings(max_examples=80, deadline=None)
def test_all_work_is_done_and_no_faster_than_the_cores_allow(
    arrivals: list[tuple[float, float]], cores: int
) -> None:
    model = NodeModel(Kind(cores=cores, slots=1000, choke_at=1e9), 0.0, cold=False)
    at, done, total = 0.0, 0, 0.0
    for number, (gap, work) in enumerate(arrivals):
        at += gap
        for _ in model.advance(at):
            done += 1
            model.release(at)
        model.arrive(at, number, work)
        total += work
    while (due := model.next_due()) is not None and done < len(arrivals):
        at = max(at, due)
        for _ in model.advance(at):
            done += 1
            model.release(at)
    assert done == len(arrivals) and model.inflight == 0
    assert at >= total / cores - 1e-6


def test_repeats_of_a_key_are_dropped_within_the_window_alone() -> None:
    window = KeyWindow(10.0)
    assert window.seen(0.0, "k") is None
    window.begin(0.0, "k")
    held = window.seen(9.9, "k")
    assert held is not None and held.body is None
    window.end("k", b"done")
    again = window.seen(9.95, "k")
    assert again is not None and again.body == b"done"
    assert window.seen(10.1, "k") is None and not window.held


# -- discovery -----------------------------------------------------------------------------------------


def endpoint(name: str, status: str = "Ready", since_ms: int = 0) -> Endpoint:
    return Endpoint(name, "127.0.0.1:1", "a", "m", 0, status, 1.0, since_ms)


def test_changes_are_told_late_in_versions_and_only_what_is_new() -> None:
    registry = Registry(4000, 30, 1.0)
    registry.plan(0.0, endpoint("a"))
    registry.plan(0.0, endpoint("b"))
    registry.publish(0.0)
    before = registry.version
    registry.plan(3.0, endpoint("a", "Terminating"))
    assert not registry.publish(2.9) and registry.publish(3.0)
    changed = registry.since(before)
    assert not changed.snapshot and [e.status for e in changed.endpoints] == ["Terminating"]
    registry.plan(4.0, endpoint("a", "Gone"))
    registry.publish(4.0)
    assert [e.status for e in registry.since(before).endpoints] == ["Gone"]
    assert [e.name for e in registry.whole().endpoints] == ["b"]
    assert registry.since(before - 5000).snapshot


def test_an_end_that_is_heard_late_says_nothing_of_the_successor() -> None:
    registry = Registry(4000, 30, 1.0)
    registry.plan(1.0, endpoint("a", since_ms=500))
    registry.publish(1.0)
    registry.plan(2.0, endpoint("a", "Gone", since_ms=0))
    assert registry.publish(2.0) == []
    assert [e.name for e in registry.whole().endpoints] == ["a"]


def test_calls_take_turns_and_one_that_would_wait_too_long_fails() -> None:
    registry = Registry(100, 30, 1.0)
    turns = [registry.turn(0.0, 10) for _ in range(5)]
    assert turns[:3] == pytest.approx([0.4, 0.8, 1.2]) and turns[3] is None


def test_a_partial_list_lacks_its_share_and_a_stale_one_does_not_move() -> None:
    registry = Registry(4000, 30, 1.0)
    for number in range(200):
        registry.plan(0.0, endpoint(f"n{number}"))
    registry.publish(0.0)
    registry.left_out = 0.3
    assert 110 < len(registry.whole().endpoints) < 170
    registry.stale = True
    registry.plan(1.0, endpoint("new"))
    assert registry.publish(5.0) == [] and registry.next_due() is None


# -- scenarios and scripts -----------------------------------------------------------------------------

WHOLE = """
scenario "all" {
  duration = 20
  seed     = 4
}
tier "front" { nodes = 10 }
class "safe" { work_ms = 20 }
load { rate = 50 }
fault "deploy" {
  at    = 1
  lasts = 10
  share = 0.8
}
fault "kill" {
  at    = 2
  count = 3
  back  = 4
}
fault "burst" {
  at    = 3
  lasts = 2
  size  = 2.5
}
fault "proxy_stop" {
  at    = 4
  lasts = 1
}
fault "peers" {
  at     = 5
  lasts  = 2
  manner = "garbage"
  rate   = 4
}
"""


def scenario_of(text: str, tmp_path: Path) -> scenario.Scenario:
    path = tmp_path / "s.hcl"
    path.write_text(text, encoding="utf-8")
    return scenario.read(path)


def test_a_seed_gives_the_same_script_byte_for_byte(tmp_path: Path) -> None:
    first, again = (scenario_of(WHOLE, tmp_path) for _ in range(2))
    assert msgspec.json.encode(schedule.script(first)) == msgspec.json.encode(schedule.script(again))
    assert schedule.digest(schedule.script(first)) == "2bb3db9af6d5772f"
    other = scenario_of(WHOLE.replace("seed     = 4", "seed     = 5"), tmp_path)
    assert schedule.digest(schedule.script(other)) != schedule.digest(schedule.script(first))


def test_a_deploy_replaces_its_share_a_few_at_a_time(tmp_path: Path) -> None:
    steps = [step for step in schedule.script(scenario_of(WHOLE, tmp_path)) if step.action == "replace"]
    assert len(steps) == 8 == len({step.target for step in steps})
    assert len({step.at for step in steps}) == 8  # one at a time of ten nodes, at 15 in 100
    assert all(step.until == pytest.approx(step.at + 3) for step in steps)
    kills = [step for step in schedule.script(scenario_of(WHOLE, tmp_path)) if step.action == "kill"]
    assert len(kills) == 3 and all(step.until == 6 for step in kills)


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ("load { rate = 50 }", "load { rate = 0 }", r"s\.hcl:8: load: rate must be above 0"),
        ("load { rate = 50 }", 'load { rate = "much" }', r"s\.hcl:8: load: rate: Expected"),
        ("load { rate = 50 }", "load { pace = 50 }", r"s\.hcl:8: load: .*unknown field `pace`"),
        ("load { rate = 50 }", "lode { rate = 50 }", r"s\.hcl:8: unknown block lode"),
        ('class "safe"', 'class ""', r"s\.hcl:7: class: "),
        ('fault "kill"', 'fault "murder"', r"s\.hcl:14: fault: no such fault: murder"),
        ("  share = 0.8", "  back = 0.8", r"s\.hcl:12: fault: back does not go with deploy"),
        ("  size  = 2.5", "", r"s\.hcl:19: fault: burst needs size"),
        ("  at    = 3", "  at    = 30", r"s\.hcl:20: fault: at 30 s is after the run's end"),
        ('manner = "garbage"', 'manner = "kind"', r"s\.hcl:\d+: fault: manner must be one of"),
        ("duration = 20", "duration = 20 20", r"s\.hcl:3: not HCL"),
        ('tier "front" { nodes = 10 }', 'tier "front" { nodes = 0 }', r"s\.hcl:6: tier: nodes must be 1 to"),
    ],
)
def test_a_bad_scenario_names_file_line_and_reason(old: str, new: str, told: str, tmp_path: Path) -> None:
    assert old in WHOLE
    with pytest.raises(ScenarioError, match=told):
        scenario_of(WHOLE.replace(old, new), tmp_path)


def test_bootstrap_intervals_hold_the_median() -> None:
    middle, low, high = bootstrap([1.0, 2.0, 3.0, 4.0, 10.0])
    assert low <= middle == 3.0 <= high and low < high
    assert bootstrap([5.0]) == (5.0, 5.0, 5.0)
