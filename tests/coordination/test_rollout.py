"""Rollouts without I/O: the conductor's table, the stages, and the verdict, with defects planted in it."""

from __future__ import annotations

import math
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladegw.control.sample_windows import SampleWindows
from gladegw.coordination import canary_analysis, fleet_regression, policy_commit
from gladegw.coordination.canary_analysis import Evidence, Limits, Sample, Verdict
from gladegw.coordination.policy_commit import Action, CommittedPolicy, OpenChange, Participant
from gladegw.coordination.records import MemberMetricsRecord
from gladegw.coordination.rollout import (
    FINAL_PHASES,
    Observation,
    Phase,
    Rollout,
    Step,
    plan_stages,
    roll_back,
    step,
)

FIRST = Rollout("r", "old", "new", (("a",), ("a", "b")))


def follow(
    rollout: Rollout, world: Observation, answer: Verdict | None = None
) -> tuple[Rollout, Step, Observation]:
    """One step, with what its writes make of the store."""
    after, do = step(rollout, world, answer, "planted")
    if do is Step.PROPOSE or (do is Step.FINISH and after.phase is rollout.phase):
        world = Observation(world.digest, world.staged, "r")
    elif do is Step.ROLL_BACK:
        world = Observation("old", None, None)
    return after, do, world


def decided(rollout: Rollout, world: Observation) -> Observation:
    if world.open_change != "r":
        return world
    if rollout.phase is Phase.FINISHING:
        return Observation("new")
    return Observation("old", ("r", rollout.staged_members))


def test_a_rollout_goes_through_its_stages() -> None:
    rollout, world, done = FIRST, Observation("old"), []
    for _ in range(30):
        answer = Verdict.NOT_WORSE if rollout.phase is Phase.BAKING else None
        rollout, do, world = follow(rollout, world, answer)
        done.append(do)
        world = decided(rollout, world)
        if rollout.phase in FINAL_PHASES:
            break
    assert rollout.phase is Phase.DONE and world == Observation("new")
    assert [do for do in done if do is not Step.HEARTBEAT] == [
        Step.PROPOSE,
        Step.BAKE,
        Step.NEXT,
        Step.PROPOSE,
        Step.BAKE,
        Step.FINISH,
        Step.FINISH,
        Step.END,
    ]


course = st.lists(
    st.sampled_from(
        [
            *["step"] * 4,
            *["decided"] * 3,
            *["not worse"] * 3,
            "worse",
            "thin",
            "refused",
            "pause",
            "resume",
            "back",
            "foreign",
            "alone",
            "quiet",
            "loud",
        ]
    ),
    max_size=60,
)


@given(course)
@settings(max_examples=1500, deadline=None)
def test_in_any_course_no_stage_begins_without_a_verdict_and_nothing_moves_after_a_stop(
    events: list[str],
) -> None:
    rollout, world, passed = FIRST, Observation("old"), 0
    stopped = quiet_now = False
    for event in events:
        quiet_now = event == "quiet" or (quiet_now and event != "loud")
        world = replace(world, in_blackout=quiet_now)
        before, refused = rollout, bool(world.rejection)
        if event == "decided":
            world = decided(rollout, world)
        elif event == "refused" and world.open_change == "r":
            world = Observation(world.digest, world.staged, None, "p1 says no")
        elif event == "alone" and world.staged is not None:
            world = Observation(world.digest, world.staged, world.open_change, "", ("a",))
        elif event == "foreign":
            world = Observation("other", None, None)
        elif event in ("pause", "resume"):
            rollout = replace(rollout, paused=event == "pause")
        elif event == "back":
            rollout = roll_back(rollout, "an operator")
        elif event in ("step", "worse", "not worse", "thin"):
            answer = None
            if rollout.phase is Phase.BAKING and event != "step":
                answer = {
                    "worse": Verdict.WORSE,
                    "not worse": Verdict.NOT_WORSE,
                    "thin": Verdict.INCONCLUSIVE,
                }[event]
            rollout, do, world = follow(rollout, world, answer)
            if answer is Verdict.NOT_WORSE and not before.paused and do in (Step.NEXT, Step.FINISH):
                passed += 1
            if do in (Step.PROPOSE, Step.NEXT) or (do is Step.FINISH and rollout.phase is before.phase):
                assert not before.paused and not stopped and not quiet_now
            if before.paused and before.phase is Phase.BAKING:
                assert do in (Step.HEARTBEAT, Step.END)
            if refused and before.phase in (Phase.ADVANCING, Phase.FINISHING):
                assert rollout.phase in (Phase.ROLLING_BACK, Phase.BAKING, *FINAL_PHASES)
            if rollout.phase is Phase.ROLLED_BACK and before.phase is Phase.ROLLING_BACK:
                assert world.staged is None and world.digest != "new" and world.open_change is None
            if rollout.phase is Phase.ADVANCING:
                assert rollout.stage <= passed
            if rollout.phase is Phase.FINISHING:
                assert passed == len(rollout.stages)
        stopped = stopped or rollout.phase in (Phase.ROLLING_BACK, Phase.STOPPED, Phase.ROLLED_BACK)
        if stopped:
            assert rollout.phase in (Phase.ROLLING_BACK, Phase.STOPPED, Phase.ROLLED_BACK)
        if before.phase in FINAL_PHASES:
            assert rollout.phase is before.phase


def test_nothing_but_a_way_back_begins_while_it_is_quiet() -> None:
    baking, last = (
        Observation("old", ("r", ("a",)), in_blackout=True),
        Observation("old", ("r", ("a", "b")), in_blackout=True),
    )
    bakes = replace(FIRST, phase=Phase.BAKING)
    for rollout, world in (
        (FIRST, Observation("old", in_blackout=True)),
        (replace(FIRST, stage=1), baking),
        (replace(FIRST, stage=1, phase=Phase.FINISHING), last),
    ):
        after, do = step(rollout, world, None)
        assert after == rollout and do in (Step.WAIT, Step.HEARTBEAT)
        assert step(rollout, replace(world, in_blackout=False), None)[1] in (Step.PROPOSE, Step.FINISH)
    assert step(bakes, baking, Verdict.NOT_WORSE) == (bakes, Step.HEARTBEAT)
    assert step(bakes, baking, Verdict.WORSE, "why")[1] is Step.ROLL_BACK
    assert step(roll_back(bakes, "why"), baking, None)[1] is Step.ROLL_BACK


def test_stages_take_turns_of_zones_and_never_a_whole_one() -> None:
    members = {f"{zone}{n}": zone for zone in "ab" for n in range(6)}
    stages = plan_stages(members, ("1", "25%", "100%"))
    assert [len(names) for names in stages] == [1, 3] and set(stages[0]) < set(stages[1])
    assert plan_stages(members, ("zone b", "100%")) == (tuple(f"b{n}" for n in range(6)),)
    assert plan_stages(members, ("100%",)) == ()
    for sizes, why in (
        (("1",), "must be all"),
        (("3", "2", "100%"), "not larger"),
        (("x", "100%"), "a count"),
        (("90%", "100%"), "of 6 members of zone"),
        (("zone c", "100%"), "no member is in zone"),
        (("0", "100%"), "a count"),
        (("101%",), "a count"),
    ):
        with pytest.raises(ValueError, match=why):
            plan_stages(members, sizes)


# a member in a stage
def told(
    member: Participant, force: CommittedPolicy, revision: int, change: OpenChange | None = None
) -> Participant:
    member, actions = policy_commit.on_store_update(member, force, change, revision)
    while Action.PREPARE in actions:
        member, actions = policy_commit.on_prepare_result(member, member.preparing, True)
    return member


def in_stage() -> Participant:
    member = told(Participant(), CommittedPolicy(1, "old"), 1)
    member = told(member, CommittedPolicy(1, "old"), 2, OpenChange(9, 2, "new", "old"))
    return told(member, CommittedPolicy(2, "new", "old"), 3)


def test_a_member_of_a_stage_holds_the_way_back() -> None:
    member = in_stage()
    assert (member.digest, member.fallback, member.may_serve) == ("new", "old", True)
    back, actions = policy_commit.on_store_update(member, CommittedPolicy(3, "old"), None, 4)
    assert actions == (Action.ACTIVATE,) and back.digest == "old" and back.may_serve and not back.fallback


def test_one_that_begins_within_a_stage_prepares_the_way_back_beside_serving() -> None:
    member, actions = policy_commit.on_store_update(Participant(), CommittedPolicy(2, "new", "old"), None, 1)
    assert actions == (Action.PREPARE,)
    member, actions = policy_commit.on_prepare_result(member, "new", True)
    assert actions == (Action.ACTIVATE, Action.PREPARE_FALLBACK) and member.may_serve and not member.fallback
    assert policy_commit.on_fallback_prepared(member, "older") == member  # of a stage that is over
    alone, actions = policy_commit.revert_unconfirmed(policy_commit.on_fallback_prepared(member, "old"))
    assert actions == (Action.ACTIVATE,) and alone.digest == "old" and alone.may_serve


def test_one_that_hears_nothing_goes_back_by_itself_and_stays() -> None:
    alone, actions = policy_commit.revert_unconfirmed(in_stage())
    assert actions == (Action.ACTIVATE,) and (alone.epoch, alone.digest) == (2, "old") and alone.may_serve
    assert policy_commit.revert_unconfirmed(alone) == (alone, ())
    heard = told(alone, CommittedPolicy(2, "new", "old"), 5)
    assert heard.digest == "old"
    again = told(policy_commit.on_rejoin(heard), CommittedPolicy(2, "new", "old"), 6)
    assert again.digest == "old" and again.may_serve
    assert (
        told(again, CommittedPolicy(3, "new", "old"), 7).digest == "new"
    )  # the next stage is another decision
    agreed = told(in_stage(), CommittedPolicy(2, "new", "old"), 5, OpenChange(9, 3, "next", "old"))
    left, _ = policy_commit.revert_unconfirmed(agreed)
    assert left.prepared == "next" and left.digest == "old" and policy_commit.in_doubt(left)


# the verdict
CLASSES = {"status": 5.0, "nearby": 3.0, "booking": 2.0}  # requests a second of a member
NAMES = [f"p{n}" for n in range(12)]


def poisson(draws: Random, mean: float) -> int:
    found, left = 0, math.exp(-mean)
    product = draws.random()
    while product > left:
        found, product = found + 1, product * draws.random()
    return found


def window(
    draws: Random, seconds: float, bad: dict[str, dict[str, float]], shock: float
) -> dict[str, Sample]:
    """`bad`: by member, what it does worse; `shock`: a share of all requests that fails, at all."""
    found = {}
    for number, name in enumerate(NAMES):
        mine = bad.get(name, {})
        requests, failed, refused, late, levels = {}, {}, {}, {}, {}
        for cls, rate in CLASSES.items():
            asked = requests[cls] = poisson(draws, rate * seconds)
            fails = min(1.0, 0.002 + mine.get(f"failed {cls}", 0.0) + shock * draws.uniform(0.5, 1.5))
            failed[cls] = sum(draws.random() < fails for _ in range(asked))
            refused[cls] = sum(draws.random() < shock for _ in range(asked - failed[cls]))
            tardy = 0.03 + mine.get(f"late {cls}", 0.0) + shock
            late[cls] = sum(draws.random() < tardy for _ in range(asked - failed[cls]))
            usual = 20.0 + number + 60 * shock
            mean = sum(draws.expovariate(1 / usual) for _ in range(asked)) / max(1, asked)
            levels[f"ms {cls}"] = mean + mine.get(f"ms {cls}", 0.0)
        levels["attempts"] = 1.02 + draws.gauss(0, 0.01) + mine.get("attempts", 0.0)
        levels["CPU ms"] = (0.5 + draws.gauss(0, 0.02)) * mine.get("cpu", 1.0)
        levels["kB/s"] = draws.gauss(0, 20) + mine.get("kB/s", 0.0)
        backends = "others" if mine.get("astray") else "all"
        found[name] = Sample(requests, failed, refused, late, levels, backends)
    return found


MORE = 12  # windows for one in doubt


def played(
    seed: int,
    bad: dict[str, float],
    windows: int = 30,
    shocks: bool = False,
    others: float = 0.0,
    more: int = MORE,
) -> tuple[Verdict, int, str]:
    """A stage of one in twelve; the answer, after how many windows of 4 s, and why. One that is in doubt is
    judged for some more. `others`: share that fails for everybody since the stage began."""
    draws, limits, evidence = Random(seed), Limits(), Evidence()
    for _ in range(3):
        evidence = canary_analysis.add_baseline_window(evidence, window(draws, 4.0, {}, 0.0))
    found = canary_analysis.evaluate(evidence, limits, False)
    for number in range(1, windows + more + 1):
        shock = (draws.choice([0.0, 0.0, 0.0, 0.05, 0.3]) if shocks else 0.0) + others
        evidence = canary_analysis.add_canary_window(
            evidence, window(draws, 4.0, {"p3": bad}, shock), {"p3"}, limits
        )
        found = canary_analysis.evaluate(evidence, limits, number >= windows)
        if found.verdict is Verdict.WORSE or (number >= windows and found.verdict is Verdict.NOT_WORSE):
            return found.verdict, number, found.reason
    return found.verdict, number, found.reason


HARMS = {
    "failed status": ({"failed status": 0.05}, 20),
    "ms nearby": ({"ms nearby": 30.0}, 20),
    "kB/s": ({"kB/s": 1000.0}, 7),
    "CPU ms": ({"cpu": 2.0}, 7),
    "attempts": ({"attempts": 0.5}, 7),
    "late status": ({"late status": 0.2}, 20),
    "works by other backends": ({"astray": 1.0}, canary_analysis.MAX_DIVERGENT_WINDOWS),
}


@pytest.mark.parametrize("figure", HARMS)
def test_what_is_worse_is_found(figure: str) -> None:
    bad, within = HARMS[figure]
    for seed in range(10):
        answer, windows, why = played(seed, bad, 40)
        assert answer is Verdict.WORSE and windows <= within and why.startswith(figure), (windows, why)


def test_what_is_unchanged_is_hardly_ever_stopped() -> None:
    answers = [played(seed, {}, 30, shocks=seed % 2 == 0)[0] for seed in range(300)]
    assert answers.count(Verdict.WORSE) <= 1 and answers.count(Verdict.NOT_WORSE) >= 299


def test_what_is_usual_taken_for_certain_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: the same error of it counts in each window."""
    monkeypatch.setattr(canary_analysis, "baseline_uncertainty", lambda pool, seen: 0.0)
    answers = [played(seed, {}, 30, shocks=seed % 2 == 0)[0] for seed in range(300)]
    assert answers.count(Verdict.WORSE) > 1


def test_harm_to_all_through_what_they_share_is_doubt() -> None:
    """No comparison with the others shows it: they suffer alike."""
    for seed in range(10):
        answer, _, why = played(seed, {}, 15, others=0.05)
        assert answer is Verdict.INCONCLUSIVE and why.startswith(
            "in doubt, all do worse than before it: failed"
        ), why


def test_without_the_look_at_all_shared_harm_is_missed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted."""
    monkeypatch.setattr(fleet_regression, "regressed_metric", lambda before, recent, allowed: "")
    assert played(1, {}, 15, others=0.05)[0] is Verdict.NOT_WORSE


def test_what_is_worse_while_the_list_moves_is_no_doubt() -> None:
    calm = fleet_regression.FleetWindow({"failed status": (1, 500)}, {"ms status": 20.0}, "a")
    bad = replace(calm, rates={"failed status": (50, 500)})
    slow = replace(calm, levels={"ms status": 30.0})
    allowed = Limits().tolerances

    def said(*windows: fleet_regression.FleetWindow) -> str:
        recent: tuple[fleet_regression.FleetWindow, ...] = ()
        for one in windows:
            recent = fleet_regression.append_recent(recent, one)
        return fleet_regression.regressed_metric((calm,) * 6, recent, allowed)

    assert said(*[bad] * 6) == "failed status 10% where it was 0.2%"
    assert said(*[slow] * 5, calm) == "ms status 30 where it was 20"
    assert said(*[bad] * 4, calm, calm) == "" == said(*[bad] * 5)
    assert said(*[replace(bad, backends=word) for word in "ababababababab"]) == ""
    assert said(*[bad] * 6, replace(calm, backends="b")) == ""  # known: another list
    assert said(*[bad] * 3, *[replace(bad, backends="b")] * 7) != ""
    assert fleet_regression.regressed_metric((calm,) * 2, (bad,) * 6, allowed) == ""


def test_too_little_is_no_verdict() -> None:
    assert played(1, {}, 2, more=0)[0] is Verdict.INCONCLUSIVE
    few = dict(list(window(Random(1), 4.0, {}, 0).items())[:3])
    assert (
        canary_analysis.add_canary_window(Evidence(), few, {"p0"}, Limits()) == Evidence()
    )  # two others are no comparison


@given(st.integers(0, 200), st.integers(0, 200), st.lists(st.tuples(st.integers(0, 50), st.integers(0, 200))))
def test_a_window_never_counts_for_more_than_its_cap(
    bad: int, good: int, others: list[tuple[int, int]]
) -> None:
    rest = [(min(b, n), n) for b, n in others]
    assert (
        max(canary_analysis.rate_factor(bad, bad + good, rest, 0.01)) <= canary_analysis.MAX_LOG_FACTOR + 1e-9
    )


def test_a_rank_is_a_fair_wager() -> None:
    """Its mean over all ranks is at most 1: that bounds the false stops."""
    for others in (3, 11, 39):
        values = list(range(others + 1))
        mean = sum(
            math.exp(canary_analysis.rank_factor(v, [o for o in values if o != v], 0.0)) for v in values
        )
        assert mean / (others + 1) <= 1.0


def told_of(at: float, asked: int, incarnation: str = "i") -> MemberMetricsRecord:
    figures = {"at_ms": round(1000 * at), "ended.status.passed": asked, "ended.status.failed": 0}
    return MemberMetricsRecord(name="p0", incarnation=incarnation, figures=figures, serving="s")


def test_a_member_that_is_asked_little_has_longer_windows() -> None:
    windows = SampleWindows()
    assert windows.next({"p0": told_of(0, 0)}) == {}
    assert windows.next({"p0": told_of(2, 4)}) == {}
    found = windows.next({"p0": told_of(4, 9)})
    assert found["p0"].requests == {"status": 9} and found["p0"].late == {} and found["p0"].serving == "s"
    assert windows.next({"p0": told_of(4, 9)}) == {}  # it has said nothing new
    assert windows.next({"p0": told_of(6, 60)})["p0"].requests == {"status": 51}
    assert windows.next({"p0": told_of(8, 3, "another")}) == {}  # a process of its own, which counts anew
    assert windows.next({"p0": told_of(10, 33, "another")})["p0"].requests == {"status": 30}


def test_members_that_do_not_tell_of_late_ones_are_no_comparison() -> None:
    """A version that tells more than the one before must not look worse for it."""
    draws, evidence = Random(3), Evidence()
    for _ in range(40):
        found = window(draws, 2.0, {"p3": {"late status": 0.9}}, 0.0)
        for name in NAMES:
            if name != "p3":
                found[name] = replace(found[name], late={})
        evidence = canary_analysis.add_canary_window(evidence, found, {"p3"}, Limits())
    assert evidence.peaks.get("late status", 0.0) == 0.0


def test_lists_on_their_way_are_no_difference_and_a_lasting_one_is() -> None:
    def samples(*digests: str) -> list[Sample]:
        return [Sample(serving=digest) for digest in digests]

    apart = 0
    for mine, others in (("a", "bbb"), ("a", "bbc"), ("a", "ccc"), ("", "ccc")):
        apart = canary_analysis.count_divergent_windows(apart, samples(mine), samples(*others))
    assert apart == 0  # one that does not tell is no other
    for mine, others in (("a", "bbb"), ("a", "bbc"), ("a", "ccc")):
        apart = canary_analysis.count_divergent_windows(apart, samples(mine), samples(*others))
    assert apart == 2
    assert canary_analysis.count_divergent_windows(apart, samples("c"), samples(*"ccc")) == 0


def test_time_alone_does_not_acquit_what_is_in_doubt() -> None:
    """Found by a simulated fleet: half of the requests failed, and evidence short of the bound was none."""
    half = Evidence(
        wagers={"failed status": (math.log(60),)},
        peaks={"failed status": math.log(60)},
        requests=500,
        windows=4,
    )
    found = canary_analysis.evaluate(half, Limits(), True)
    assert (
        found.verdict is Verdict.INCONCLUSIVE and found.reason == "in doubt, failed status: e-value 60 of 100"
    )
    calmed = replace(half, wagers={"failed status": (math.log(2),)})  # it was bad once, and is not any more
    assert canary_analysis.evaluate(calmed, Limits(), True).verdict is Verdict.NOT_WORSE
