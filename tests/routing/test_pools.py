"""Pools: subsets that change little, splits, spill-over of the local zone, and the division of quotas."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gladegw.routing.model import Endpoint, Pool, Selector
from gladegw.routing.pools import Membership, first_usable_pool, selects
from gladegw.routing.quotas import QuotaDivision
from gladegw.routing.read import find_cycles
from gladegw.routing.split import choose, shares, subset

NAMES = st.lists(st.integers(0, 400).map(lambda n: f"s-{n:x}"), min_size=1, max_size=60, unique=True)


@settings(max_examples=100, deadline=None)
@given(NAMES, st.integers(1, 20), st.text("abc", max_size=3))
def test_adding_or_removing_a_member_changes_a_subset_by_one_at_most(
    names: list[str], size: int, proxy: str
) -> None:
    chosen = set(subset(proxy, names, size))
    assert len(chosen) == min(size, len(names)) and chosen <= set(names)
    after_adding = set(subset(proxy, [*names, "new"], size))
    assert after_adding - chosen <= {"new"} and len(chosen - after_adding) <= 1
    removed = names[0]
    after_removing = set(subset(proxy, names[1:], size))
    assert chosen - after_removing <= {removed} and len(after_removing - chosen) <= (removed in chosen)


def test_subsets_cover_a_fleet_evenly() -> None:
    names = [f"s-{n}" for n in range(300)]
    uses = dict.fromkeys(names, 0)
    for proxy in range(200):
        for name in subset(f"p-{proxy}", names, 30):
            uses[name] += 1
    assert sum(uses.values()) == 200 * 30 and min(uses.values()) >= 5 and max(uses.values()) <= 38  # mean 20


@settings(max_examples=100, deadline=None)
@given(
    st.dictionaries(st.sampled_from("abcd"), st.integers(0, 50), min_size=2),
    st.lists(st.text(min_size=1, max_size=6), min_size=1, max_size=30, unique=True),
    st.integers(1, 50),
)
def test_a_key_moves_only_to_a_pool_whose_weight_grew(
    weights: dict[str, int], keys: list[str], added: int
) -> None:
    before = [(name, float(weight)) for name, weight in weights.items()]
    grown = [(name, weight + added if name == "a" else weight) for name, weight in before]
    for key in keys:
        old_pool, new_pool = choose(key, before), choose(key, grown)
        assert old_pool == new_pool or new_pool == "a"
        assert not old_pool or dict(before)[old_pool] > 0


def test_a_split_assigns_keys_in_proportion_to_its_weights() -> None:
    weights = [("a", 90.0), ("b", 10.0)]
    pools = [choose(f"caller-{n}", weights) for n in range(5000)]
    assert shares(weights) == {"a": 0.9, "b": 0.1} and 0.08 < pools.count("b") / 5000 < 0.12


def fleet(**zones: int) -> list[Endpoint]:
    return [Endpoint(f"{zone}-{n}", zone=zone) for zone, count in zones.items() for n in range(count)]


def test_a_selector_requires_each_of_its_fields_to_match() -> None:
    endpoint = Endpoint("pay-7", "north", "large", 3, "Ready", 0.5)
    assert selects(Selector(("north",), ("large",), (3,), ("pay-*",), ("Ready",), 0.5), endpoint)
    for other in (
        Selector(zones=("south",)),
        Selector(types=("small",)),
        Selector(groups=(4,)),
        Selector(names=("ray-*",)),
        Selector(least_weight=0.6),
        Selector(statuses=("Terminating",)),
    ):
        assert not selects(other, endpoint)


def test_losing_local_members_spills_over_until_enough_are_back_but_draining_them_does_not() -> None:
    membership = Membership(Pool("p", local=True, spill_below=0.5, spill_until=0.7), "a", "me")
    all_endpoints = fleet(a=10, b=10)
    assert membership.update(all_endpoints, 0.0).names == {e.name for e in all_endpoints if e.zone == "a"}
    drained = [Endpoint(e.name, e.zone, status="Terminating") if e.name < "a-6" else e for e in all_endpoints]
    assert not membership.update(drained, 1.0).spilled  # drained in order: no member counts as missing
    assert not membership.update(
        [e for e in all_endpoints if e.name not in {"a-0", "a-1", "a-2"}], 2.0
    ).spilled
    mostly_lost = [e for e in all_endpoints if e.zone == "b" or e.name in {"a-6", "a-7", "a-8"}]
    members = membership.update(mostly_lost, 3.0)
    assert members.spilled and len(members.names) == 13 and members.expected >= 7
    all_but_one = [e for e in all_endpoints if e.name != "a-9"]
    assert not membership.update(all_but_one, 4.0).spilled
    assert membership.update(mostly_lost, 5.0).spilled
    assert not membership.update(mostly_lost, 5.0 + 301.0).spilled  # the lost ones are no longer expected
    ejected = frozenset(e.name for e in mostly_lost if e.zone == "a")
    assert membership.update(mostly_lost, 400.0, ejected).spilled  # listed but ejected by the decision module
    assert membership.update(fleet(b=3), 401.0).usable == 3


@settings(max_examples=80, deadline=None)
@given(st.data())
def test_members_are_listed_and_match_the_selector_and_usable_counts_the_ready_ones(
    data: st.DataObject,
) -> None:
    pool = Pool(
        "p", Selector(zones=("a", "b")), local=data.draw(st.booleans()), subset=data.draw(st.integers(0, 5))
    )
    membership = Membership(pool, "a", "me")
    now = 0.0
    for _ in range(6):
        listed = [
            Endpoint(f"{zone}-{n}", zone, status=data.draw(st.sampled_from(["Ready", "Terminating", "Gone"])))
            for zone in "abc"
            for n in range(data.draw(st.integers(0, 5)))
        ]
        now += data.draw(st.sampled_from([0.1, 100.0, 400.0]))
        members = membership.update(listed, now)
        by_name = {endpoint.name: endpoint for endpoint in listed}
        ready = {name for name in members.names if by_name[name].status == "Ready"}
        assert all(by_name[n].zone in "ab" and by_name[n].status != "Gone" for n in members.names)
        assert members.usable == len(ready)
        if any(endpoint.status == "Ready" and endpoint.zone in "ab" for endpoint in listed):
            assert members.usable > 0  # the pool has a usable member while one is listed


def test_the_first_usable_fallback_serves_and_cyclic_fallbacks_end() -> None:
    pools = {
        "a": Pool("a", fallback=("b",)),
        "b": Pool("b", fallback=("a", "c")),
        "c": Pool("c"),
        "d": Pool("d"),
    }
    assert first_usable_pool("a", ["d"], pools, lambda name: name in "cd") == "c"
    assert first_usable_pool("a", ["d"], pools, lambda name: name == "d") == "d"
    assert first_usable_pool("a", [], pools, lambda name: False) is None


@settings(max_examples=80, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["x", "y", "?"]), st.sampled_from("abc"), st.floats(0, 30)), max_size=60
    )
)
def test_the_parts_of_a_quota_always_sum_to_the_quota(arrivals: list[tuple[str, str, float]]) -> None:
    division = QuotaDivision(("a", "b", "c"), {"x": 12.0, "y": 5.0})
    now = 0.0
    for tenant, pool, wait in arrivals:
        now += wait
        division.record_arrival(tenant, pool)
        parts = division.parts_by_pool(now)
        for name, quota in (("x", 12.0), ("y", 5.0)):
            assert abs(sum(parts[pool][name] for pool in "abc") - quota) < 1e-6
            assert all(parts[pool][name] > 0 for pool in "abc")


def test_cycles_are_found_without_following_every_path() -> None:
    wide = {f"n{n}": tuple(f"n{m}" for m in range(n + 1, min(n + 6, 300))) for n in range(300)}
    assert find_cycles(wide) == []
    assert find_cycles({**wide, "n299": ("n0",)})[0][0] == "n0"
    assert find_cycles({"a": ("a",), "b": ("c",), "c": ("b",)}) == [("a",), ("b", "c")]
