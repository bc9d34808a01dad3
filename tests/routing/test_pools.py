"""Pools: subsets that move no more than they must, splits, the local zone, quotas that stay whole."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gladegw.routing.model import Endpoint, Pool, Selector
from gladegw.routing.pools import Membership, selects, standing_in
from gladegw.routing.quotas import Division
from gladegw.routing.read import circles
from gladegw.routing.split import choose, shares, subset

NAMES = st.lists(st.integers(0, 400).map(lambda n: f"s-{n:x}"), min_size=1, max_size=60, unique=True)


@settings(max_examples=100, deadline=None)
@given(NAMES, st.integers(1, 20), st.text("abc", max_size=3))
def test_a_subset_moves_by_one_at_most_when_one_comes_or_goes(names: list[str], size: int, me: str) -> None:
    kept = set(subset(me, names, size))
    assert len(kept) == min(size, len(names)) and kept <= set(names)
    more = set(subset(me, [*names, "new"], size))
    assert more - kept <= {"new"} and len(kept - more) <= 1
    gone = names[0]
    less = set(subset(me, names[1:], size))
    assert kept - less <= {gone} and len(less - kept) <= (gone in kept)


def test_subsets_cover_a_fleet_evenly() -> None:
    names = [f"s-{n}" for n in range(300)]
    held = dict.fromkeys(names, 0)
    for proxy in range(200):
        for name in subset(f"p-{proxy}", names, 30):
            held[name] += 1
    assert sum(held.values()) == 200 * 30 and min(held.values()) >= 5 and max(held.values()) <= 38  # mean 20


@settings(max_examples=100, deadline=None)
@given(
    st.dictionaries(st.sampled_from("abcd"), st.integers(0, 50), min_size=2),
    st.lists(st.text(min_size=1, max_size=6), min_size=1, max_size=30, unique=True),
    st.integers(1, 50),
)
def test_a_key_moves_only_towards_the_pool_that_grew(
    weights: dict[str, int], keys: list[str], more: int
) -> None:
    before = [(name, float(weight)) for name, weight in weights.items()]
    grown = [(name, weight + more if name == "a" else weight) for name, weight in before]
    for key in keys:
        was, goes = choose(key, before), choose(key, grown)
        assert was == goes or goes == "a"
        assert not was or dict(before)[was] > 0


def test_a_split_keeps_its_shares() -> None:
    weights = [("a", 90.0), ("b", 10.0)]
    got = [choose(f"caller-{n}", weights) for n in range(5000)]
    assert shares(weights) == {"a": 0.9, "b": 0.1} and 0.08 < got.count("b") / 5000 < 0.12


def fleet(**zones: int) -> list[Endpoint]:
    return [Endpoint(f"{zone}-{n}", zone=zone) for zone, count in zones.items() for n in range(count)]


def test_a_selector_asks_all_that_it_names() -> None:
    one = Endpoint("pay-7", "north", "large", 3, "Ready", 0.5)
    assert selects(Selector(("north",), ("large",), (3,), ("pay-*",), ("Ready",), 0.5), one)
    for other in (
        Selector(zones=("south",)),
        Selector(types=("small",)),
        Selector(groups=(4,)),
        Selector(names=("ray-*",)),
        Selector(least_weight=0.6),
        Selector(statuses=("Terminating",)),
    ):
        assert not selects(other, one)


def test_a_lost_zone_spills_over_and_comes_back_late_while_a_drain_does_not() -> None:
    member = Membership(Pool("p", local=True, spill_below=0.5, spill_until=0.7), "a", "me")
    whole = fleet(a=10, b=10)
    assert member.look(whole, 0.0).names == {one.name for one in whole if one.zone == "a"}
    drained = [Endpoint(e.name, e.zone, status="Terminating") if e.name < "a-6" else e for e in whole]
    assert not member.look(drained, 1.0).spilled  # told to drain: nothing is missing
    assert not member.look([one for one in whole if one.name not in {"a-0", "a-1", "a-2"}], 2.0).spilled
    lost = [one for one in whole if one.zone == "b" or one.name in {"a-6", "a-7", "a-8"}]
    found = member.look(lost, 3.0)
    assert found.spilled and len(found.names) == 13 and found.expected >= 7
    back = [one for one in whole if one.name != "a-9"]
    assert not member.look(back, 4.0).spilled
    assert member.look(lost, 5.0).spilled
    assert not member.look(lost, 5.0 + 301.0).spilled  # forgotten: the zone is as small as that now
    ill = frozenset(one.name for one in lost if one.zone == "a")
    assert member.look(lost, 400.0, ill).spilled  # listed, and taken out of use by the pool's module
    assert member.look(fleet(b=3), 401.0).usable == 3


@settings(max_examples=80, deadline=None)
@given(st.data())
def test_members_are_always_of_the_list_and_usable_ones_are_ready(data: st.DataObject) -> None:
    pool = Pool(
        "p", Selector(zones=("a", "b")), local=data.draw(st.booleans()), subset=data.draw(st.integers(0, 5))
    )
    member = Membership(pool, "a", "me")
    now = 0.0
    for _ in range(6):
        listed = [
            Endpoint(f"{zone}-{n}", zone, status=data.draw(st.sampled_from(["Ready", "Terminating", "Gone"])))
            for zone in "abc"
            for n in range(data.draw(st.integers(0, 5)))
        ]
        now += data.draw(st.sampled_from([0.1, 100.0, 400.0]))
        found = member.look(listed, now)
        by_name = {one.name: one for one in listed}
        ready = {name for name in found.names if by_name[name].status == "Ready"}
        assert all(by_name[n].zone in "ab" and by_name[n].status != "Gone" for n in found.names)
        assert found.usable == len(ready)
        if any(one.status == "Ready" and one.zone in "ab" for one in listed):
            assert found.usable > 0  # while any is usable, the pool is not empty


def test_the_first_usable_pool_stands_in_and_circles_end() -> None:
    pools = {
        "a": Pool("a", fallback=("b",)),
        "b": Pool("b", fallback=("a", "c")),
        "c": Pool("c"),
        "d": Pool("d"),
    }
    assert standing_in("a", ["d"], pools, lambda name: name in "cd") == "c"
    assert standing_in("a", ["d"], pools, lambda name: name == "d") == "d"
    assert standing_in("a", [], pools, lambda name: False) is None


@settings(max_examples=80, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["x", "y", "?"]), st.sampled_from("abc"), st.floats(0, 30)), max_size=60
    )
)
def test_the_parts_of_a_quota_always_sum_to_the_whole(arrivals: list[tuple[str, str, float]]) -> None:
    division = Division(("a", "b", "c"), {"x": 12.0, "y": 5.0})
    now = 0.0
    for tenant, pool, wait in arrivals:
        now += wait
        division.arrived(tenant, pool)
        parts = division.parts(now)
        for name, quota in (("x", 12.0), ("y", 5.0)):
            assert abs(sum(parts[pool][name] for pool in "abc") - quota) < 1e-6
            assert all(parts[pool][name] > 0 for pool in "abc")


def test_circles_are_found_without_walking_every_path() -> None:
    wide = {f"n{n}": tuple(f"n{m}" for m in range(n + 1, min(n + 6, 300))) for n in range(300)}
    assert circles(wide) == []
    assert circles({**wide, "n299": ("n0",)})[0][0] == "n0"
    assert circles({"a": ("a",), "b": ("c",), "c": ("b",)}) == [("a",), ("b", "c")]
