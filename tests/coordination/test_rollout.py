"""Rollouts without I/O: state machine, stages, members of a stage and canary analysis."""

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


def step_and_apply(
    rollout: Rollout, observation: Observation, verdict: Verdict | None = None
) -> tuple[Rollout, Step, Observation]:
    """Make one step and apply its writes; return the rollout, the step and the store's new state."""
    after, action = step(rollout, observation, verdict, "seeded defect")
    if action is Step.PROPOSE or (action is Step.FINISH and after.phase is rollout.phase):
        observation = Observation(observation.digest, observation.staged, "r")
    elif action is Step.ROLL_BACK:
        observation = Observation("old", None, None)
    return after, action, observation


def commit_open_change(rollout: Rollout, observation: Observation) -> Observation:
    """Return the store's state after the rollout's open change, if there is one, was committed."""
    if observation.open_change != "r":
        return observation
    if rollout.phase is Phase.FINISHING:
        return Observation("new")
    return Observation("old", ("r", rollout.staged_members))


def test_a_rollout_goes_through_its_stages() -> None:
    rollout, observation, actions = FIRST, Observation("old"), []
    for _ in range(30):
        verdict = Verdict.NOT_WORSE if rollout.phase is Phase.BAKING else None
        rollout, action, observation = step_and_apply(rollout, observation, verdict)
        actions.append(action)
        observation = commit_open_change(rollout, observation)
        if rollout.phase in FINAL_PHASES:
            break
    assert rollout.phase is Phase.DONE and observation == Observation("new")
    assert [action for action in actions if action is not Step.HEARTBEAT] == [
        Step.PROPOSE,
        Step.BAKE,
        Step.NEXT,
        Step.PROPOSE,
        Step.BAKE,
        Step.FINISH,
        Step.FINISH,
        Step.END,
    ]


event_sequences = st.lists(
    st.sampled_from(
        [
            *["step"] * 4,
            *["committed"] * 3,
            *["not worse"] * 3,
            "worse",
            "inconclusive",
            "rejected",
            "pause",
            "resume",
            "roll back",
            "other policy",
            "reverted",
            "blackout starts",
            "blackout ends",
        ]
    ),
    max_size=60,
)


@given(event_sequences)
@settings(max_examples=1500, deadline=None)
def test_in_any_order_of_events_no_stage_begins_without_a_pass_and_none_after_a_stop(
    events: list[str],
) -> None:
    rollout, observation, passed = FIRST, Observation("old"), 0
    stopped = in_blackout = False
    for event in events:
        in_blackout = event == "blackout starts" or (in_blackout and event != "blackout ends")
        observation = replace(observation, in_blackout=in_blackout)
        before, rejected = rollout, bool(observation.rejection)
        if event == "committed":
            observation = commit_open_change(rollout, observation)
        elif event == "rejected" and observation.open_change == "r":
            observation = Observation(observation.digest, observation.staged, None, "p1 rejected it")
        elif event == "reverted" and observation.staged is not None:
            observation = Observation(
                observation.digest, observation.staged, observation.open_change, "", ("a",)
            )
        elif event == "other policy":
            observation = Observation("other", None, None)
        elif event in ("pause", "resume"):
            rollout = replace(rollout, paused=event == "pause")
        elif event == "roll back":
            rollout = roll_back(rollout, "an operator")
        elif event in ("step", "worse", "not worse", "inconclusive"):
            verdict = None
            if rollout.phase is Phase.BAKING and event != "step":
                verdict = {
                    "worse": Verdict.WORSE,
                    "not worse": Verdict.NOT_WORSE,
                    "inconclusive": Verdict.INCONCLUSIVE,
                }[event]
            rollout, action, observation = step_and_apply(rollout, observation, verdict)
            if verdict is Verdict.NOT_WORSE and not before.paused and action in (Step.NEXT, Step.FINISH):
                passed += 1
            if action in (Step.PROPOSE, Step.NEXT) or (
                action is Step.FINISH and rollout.phase is before.phase
            ):
                assert not before.paused and not stopped and not in_blackout
            if before.paused and before.phase is Phase.BAKING:
                assert action in (Step.HEARTBEAT, Step.END)
            if rejected and before.phase in (Phase.ADVANCING, Phase.FINISHING):
                assert rollout.phase in (Phase.ROLLING_BACK, Phase.BAKING, *FINAL_PHASES)
            if rollout.phase is Phase.ROLLED_BACK and before.phase is Phase.ROLLING_BACK:
                assert (
                    observation.staged is None
                    and observation.digest != "new"
                    and observation.open_change is None
                )
            if rollout.phase is Phase.ADVANCING:
                assert rollout.stage <= passed
            if rollout.phase is Phase.FINISHING:
                assert passed == len(rollout.stages)
        stopped = stopped or rollout.phase in (Phase.ROLLING_BACK, Phase.STOPPED, Phase.ROLLED_BACK)
        if stopped:
            assert rollout.phase in (Phase.ROLLING_BACK, Phase.STOPPED, Phase.ROLLED_BACK)
        if before.phase in FINAL_PHASES:
            assert rollout.phase is before.phase


def test_only_a_rollback_starts_in_a_blackout_window() -> None:
    first_stage, last_stage = (
        Observation("old", ("r", ("a",)), in_blackout=True),
        Observation("old", ("r", ("a", "b")), in_blackout=True),
    )
    baking_rollout = replace(FIRST, phase=Phase.BAKING)
    for rollout, observation in (
        (FIRST, Observation("old", in_blackout=True)),
        (replace(FIRST, stage=1), first_stage),
        (replace(FIRST, stage=1, phase=Phase.FINISHING), last_stage),
    ):
        after, action = step(rollout, observation, None)
        assert after == rollout and action in (Step.WAIT, Step.HEARTBEAT)
        assert step(rollout, replace(observation, in_blackout=False), None)[1] in (Step.PROPOSE, Step.FINISH)
    assert step(baking_rollout, first_stage, Verdict.NOT_WORSE) == (baking_rollout, Step.HEARTBEAT)
    assert step(baking_rollout, first_stage, Verdict.WORSE, "why")[1] is Step.ROLL_BACK
    assert step(roll_back(baking_rollout, "why"), first_stage, None)[1] is Step.ROLL_BACK


def test_stages_alternate_between_zones_and_exceed_no_zones_limit() -> None:
    members = {f"{zone}{n}": zone for zone in "ab" for n in range(6)}
    stages = plan_stages(members, ("1", "25%", "100%"))
    assert [len(names) for names in stages] == [1, 3] and set(stages[0]) < set(stages[1])
    assert plan_stages(members, ("zone b", "100%")) == (tuple(f"b{n}" for n in range(6)),)
    assert plan_stages(members, ("100%",)) == ()
    for sizes, why in (
        (("1",), "must include all"),
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
def updated(
    member: Participant, committed: CommittedPolicy, revision: int, change: OpenChange | None = None
) -> Participant:
    """Return the member after a store update, with each requested prepare successful."""
    member, actions = policy_commit.on_store_update(member, committed, change, revision)
    while Action.PREPARE in actions:
        member, actions = policy_commit.on_prepare_result(member, member.preparing, True)
    return member


def staged_member() -> Participant:
    member = updated(Participant(), CommittedPolicy(1, "old"), 1)
    member = updated(member, CommittedPolicy(1, "old"), 2, OpenChange(9, 2, "new", "old"))
    return updated(member, CommittedPolicy(2, "new", "old"), 3)


def test_a_member_of_a_stage_keeps_the_old_bundle_for_a_rollback() -> None:
    member = staged_member()
    assert (member.digest, member.fallback, member.may_serve) == ("new", "old", True)
    back, actions = policy_commit.on_store_update(member, CommittedPolicy(3, "old"), None, 4)
    assert actions == (Action.ACTIVATE,) and back.digest == "old" and back.may_serve and not back.fallback


def test_a_member_that_starts_in_a_stage_prepares_the_old_bundle_while_it_serves() -> None:
    member, actions = policy_commit.on_store_update(Participant(), CommittedPolicy(2, "new", "old"), None, 1)
    assert actions == (Action.PREPARE,)
    member, actions = policy_commit.on_prepare_result(member, "new", True)
    assert actions == (Action.ACTIVATE, Action.PREPARE_FALLBACK) and member.may_serve and not member.fallback
    assert policy_commit.on_fallback_prepared(member, "older") == member  # fallback of an earlier stage
    reverted, actions = policy_commit.revert_unconfirmed(policy_commit.on_fallback_prepared(member, "old"))
    assert actions == (Action.ACTIVATE,) and reverted.digest == "old" and reverted.may_serve


def test_a_member_without_heartbeats_reverts_and_stays_reverted() -> None:
    reverted, actions = policy_commit.revert_unconfirmed(staged_member())
    assert (
        actions == (Action.ACTIVATE,)
        and (reverted.epoch, reverted.digest) == (2, "old")
        and reverted.may_serve
    )
    assert policy_commit.revert_unconfirmed(reverted) == (reverted, ())
    updated_member = updated(reverted, CommittedPolicy(2, "new", "old"), 5)
    assert updated_member.digest == "old"
    rejoined = updated(policy_commit.on_rejoin(updated_member), CommittedPolicy(2, "new", "old"), 6)
    assert rejoined.digest == "old" and rejoined.may_serve
    assert (
        updated(rejoined, CommittedPolicy(3, "new", "old"), 7).digest == "new"
    )  # the next stage is another decision
    prepared_next = updated(
        staged_member(), CommittedPolicy(2, "new", "old"), 5, OpenChange(9, 3, "next", "old")
    )
    in_doubt, _ = policy_commit.revert_unconfirmed(prepared_next)
    assert in_doubt.prepared == "next" and in_doubt.digest == "old" and policy_commit.in_doubt(in_doubt)


# canary analysis
CLASSES = {"status": 5.0, "nearby": 3.0, "booking": 2.0}  # requests per second and member
NAMES = [f"p{n}" for n in range(12)]


def poisson(draws: Random, mean: float) -> int:
    count, limit = 0, math.exp(-mean)
    product = draws.random()
    while product > limit:
        count, product = count + 1, product * draws.random()
    return count


def window(
    draws: Random, seconds: float, harms: dict[str, dict[str, float]], disturbance: float
) -> dict[str, Sample]:
    """Return random samples of all members.

    `harms` has the metrics that get worse by member; `disturbance` is the fraction of requests that fail at
    all members.
    """
    samples = {}
    for number, name in enumerate(NAMES):
        harm = harms.get(name, {})
        requests, failed, refused, late, levels = {}, {}, {}, {}, {}
        for cls, rate in CLASSES.items():
            count = requests[cls] = poisson(draws, rate * seconds)
            failure_rate = min(
                1.0, 0.002 + harm.get(f"failed {cls}", 0.0) + disturbance * draws.uniform(0.5, 1.5)
            )
            failed[cls] = sum(draws.random() < failure_rate for _ in range(count))
            refused[cls] = sum(draws.random() < disturbance for _ in range(count - failed[cls]))
            late_rate = 0.03 + harm.get(f"late {cls}", 0.0) + disturbance
            late[cls] = sum(draws.random() < late_rate for _ in range(count - failed[cls]))
            usual_ms = 20.0 + number + 60 * disturbance
            mean = sum(draws.expovariate(1 / usual_ms) for _ in range(count)) / max(1, count)
            levels[f"ms {cls}"] = mean + harm.get(f"ms {cls}", 0.0)
        levels["attempts"] = 1.02 + draws.gauss(0, 0.01) + harm.get("attempts", 0.0)
        levels["CPU ms"] = (0.5 + draws.gauss(0, 0.02)) * harm.get("cpu", 1.0)
        levels["kB/s"] = draws.gauss(0, 20) + harm.get("kB/s", 0.0)
        backends = "others" if harm.get("other backends") else "all"
        samples[name] = Sample(requests, failed, refused, late, levels, backends)
    return samples


EXTRA_WINDOWS = 12  # further windows of an inconclusive stage


def analyze_stage(
    seed: int,
    harm: dict[str, float],
    windows: int = 30,
    disturbances: bool = False,
    fleet_harm: float = 0.0,
    extra_windows: int = EXTRA_WINDOWS,
) -> tuple[Verdict, int, str]:
    """Analyze a stage with one of twelve members; return the verdict, the number of windows and the reason.

    Windows last 4 s. An inconclusive stage gets up to `extra_windows` more. `fleet_harm` is the
    fraction of requests that fail at all members since the stage began.
    """
    draws, limits, evidence = Random(seed), Limits(), Evidence()
    for _ in range(3):
        evidence = canary_analysis.add_baseline_window(evidence, window(draws, 4.0, {}, 0.0))
    evaluation = canary_analysis.evaluate(evidence, limits, False)
    for number in range(1, windows + extra_windows + 1):
        disturbance = (draws.choice([0.0, 0.0, 0.0, 0.05, 0.3]) if disturbances else 0.0) + fleet_harm
        evidence = canary_analysis.add_canary_window(
            evidence, window(draws, 4.0, {"p3": harm}, disturbance), {"p3"}, limits
        )
        evaluation = canary_analysis.evaluate(evidence, limits, number >= windows)
        if evaluation.verdict is Verdict.WORSE or (
            number >= windows and evaluation.verdict is Verdict.NOT_WORSE
        ):
            return evaluation.verdict, number, evaluation.reason
    return evaluation.verdict, number, evaluation.reason


HARMS = {  # by expected metric: the harm, and the number of windows that must be enough
    "failed status": ({"failed status": 0.05}, 20),
    "ms nearby": ({"ms nearby": 30.0}, 20),
    "kB/s": ({"kB/s": 1000.0}, 7),
    "CPU ms": ({"cpu": 2.0}, 7),
    "attempts": ({"attempts": 0.5}, 7),
    "late status": ({"late status": 0.2}, 20),
    "uses other backends": ({"other backends": 1.0}, canary_analysis.MAX_DIVERGENT_WINDOWS),
}


@pytest.mark.parametrize("metric", HARMS)
def test_a_worse_metric_is_detected(metric: str) -> None:
    harm, max_windows = HARMS[metric]
    for seed in range(10):
        verdict, windows, why = analyze_stage(seed, harm, 40)
        assert verdict is Verdict.WORSE and windows <= max_windows and why.startswith(metric), (windows, why)


def test_an_unchanged_version_is_almost_never_judged_worse() -> None:
    verdicts = [analyze_stage(seed, {}, 30, disturbances=seed % 2 == 0)[0] for seed in range(300)]
    assert verdicts.count(Verdict.WORSE) <= 1 and verdicts.count(Verdict.NOT_WORSE) >= 299


def test_without_baseline_uncertainty_an_unchanged_version_is_judged_worse(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Seeded defect: the error of a baseline is the same in each window and is counted each time."""
    monkeypatch.setattr(canary_analysis, "baseline_uncertainty", lambda residuals, windows: 0.0)
    verdicts = [analyze_stage(seed, {}, 30, disturbances=seed % 2 == 0)[0] for seed in range(300)]
    assert verdicts.count(Verdict.WORSE) > 1


def test_harm_to_all_members_through_shared_backends_is_inconclusive() -> None:
    """No comparison with the other members shows it, since they are harmed as much."""
    for seed in range(10):
        verdict, _, why = analyze_stage(seed, {}, 15, fleet_harm=0.05)
        assert verdict is Verdict.INCONCLUSIVE and why.startswith(
            "inconclusive, all members do worse than before the rollout: failed"
        ), why


def test_without_the_fleet_comparison_harm_to_all_members_is_missed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Seeded defect."""
    monkeypatch.setattr(fleet_regression, "regressed_metric", lambda history, recent, tolerances: "")
    assert analyze_stage(1, {}, 15, fleet_harm=0.05)[0] is Verdict.NOT_WORSE


def test_a_regression_while_the_backend_list_changes_does_not_count() -> None:
    calm = fleet_regression.FleetWindow({"failed status": (1, 500)}, {"ms status": 20.0}, "a")
    bad = replace(calm, rates={"failed status": (50, 500)})
    slow = replace(calm, levels={"ms status": 30.0})
    tolerances = Limits().tolerances

    def regressed_after(*windows: fleet_regression.FleetWindow) -> str:
        recent: tuple[fleet_regression.FleetWindow, ...] = ()
        for window in windows:
            recent = fleet_regression.append_recent(recent, window)
        return fleet_regression.regressed_metric((calm,) * 6, recent, tolerances)

    assert regressed_after(*[bad] * 6) == "failed status 10%, previously 0.2%"
    assert regressed_after(*[slow] * 5, calm) == "ms status 30, previously 20"
    assert regressed_after(*[bad] * 4, calm, calm) == "" == regressed_after(*[bad] * 5)
    assert regressed_after(*[replace(bad, backends=digest) for digest in "ababababababab"]) == ""
    assert (
        regressed_after(*[bad] * 6, replace(calm, backends="b")) == ""
    )  # a change of the list is a known disturbance
    assert regressed_after(*[bad] * 3, *[replace(bad, backends="b")] * 7) != ""
    assert fleet_regression.regressed_metric((calm,) * 2, (bad,) * 6, tolerances) == ""


def test_too_little_evidence_is_inconclusive() -> None:
    assert analyze_stage(1, {}, 2, extra_windows=0)[0] is Verdict.INCONCLUSIVE
    few = dict(list(window(Random(1), 4.0, {}, 0).items())[:3])
    assert (
        canary_analysis.add_canary_window(Evidence(), few, {"p0"}, Limits()) == Evidence()
    )  # two other members are too few for a comparison


@given(st.integers(0, 200), st.integers(0, 200), st.lists(st.tuples(st.integers(0, 50), st.integers(0, 200))))
def test_the_evidence_of_a_window_is_capped(bad: int, good: int, others: list[tuple[int, int]]) -> None:
    rest = [(min(b, n), n) for b, n in others]
    assert (
        max(canary_analysis.rate_factor(bad, bad + good, rest, 0.01)) <= canary_analysis.MAX_LOG_FACTOR + 1e-9
    )


def test_a_rank_factor_has_a_mean_of_at_most_one() -> None:
    """A mean over all ranks of at most 1 bounds the probability of a false alarm."""
    for others in (3, 11, 39):
        values = list(range(others + 1))
        mean = sum(
            math.exp(canary_analysis.rank_factor(v, [o for o in values if o != v], 0.0)) for v in values
        )
        assert mean / (others + 1) <= 1.0


def metrics_record(at_s: float, requests: int, incarnation: str = "i") -> MemberMetricsRecord:
    figures = {"at_ms": round(1000 * at_s), "ended.status.passed": requests, "ended.status.failed": 0}
    return MemberMetricsRecord(name="p0", incarnation=incarnation, figures=figures, serving="s")


def test_a_member_with_few_requests_has_longer_windows() -> None:
    windows = SampleWindows()
    assert windows.next({"p0": metrics_record(0, 0)}) == {}
    assert windows.next({"p0": metrics_record(2, 4)}) == {}
    samples = windows.next({"p0": metrics_record(4, 9)})
    assert (
        samples["p0"].requests == {"status": 9} and samples["p0"].late == {} and samples["p0"].serving == "s"
    )
    assert windows.next({"p0": metrics_record(4, 9)}) == {}  # no new report
    assert windows.next({"p0": metrics_record(6, 60)})["p0"].requests == {"status": 51}
    assert (
        windows.next({"p0": metrics_record(8, 3, "another")}) == {}
    )  # a new process, whose counters start at 0
    assert windows.next({"p0": metrics_record(10, 33, "another")})["p0"].requests == {"status": 30}


def test_members_that_do_not_report_late_requests_are_not_compared() -> None:
    """A version that reports a metric which the old one lacks must not look worse because of it."""
    draws, evidence = Random(3), Evidence()
    for _ in range(40):
        samples = window(draws, 2.0, {"p3": {"late status": 0.9}}, 0.0)
        for name in NAMES:
            if name != "p3":
                samples[name] = replace(samples[name], late={})
        evidence = canary_analysis.add_canary_window(evidence, samples, {"p3"}, Limits())
    assert evidence.peaks.get("late status", 0.0) == 0.0


def test_only_a_lasting_difference_of_backends_counts_as_divergent() -> None:
    def samples(*digests: str) -> list[Sample]:
        return [Sample(serving=digest) for digest in digests]

    divergent = 0
    for own, others in (("a", "bbb"), ("a", "bbc"), ("a", "ccc"), ("", "ccc")):
        divergent = canary_analysis.count_divergent_windows(divergent, samples(own), samples(*others))
    assert divergent == 0  # a member that reports no digest does not count as different
    for own, others in (("a", "bbb"), ("a", "bbc"), ("a", "ccc")):
        divergent = canary_analysis.count_divergent_windows(divergent, samples(own), samples(*others))
    assert divergent == 2
    assert canary_analysis.count_divergent_windows(divergent, samples("c"), samples(*"ccc")) == 0


def test_evidence_just_below_the_bound_stays_inconclusive_after_the_bake_time() -> None:
    """Evidence just below the bound must not count as none.

    Otherwise a version that fails half of its requests can pass, as happened in a simulated fleet.
    """
    near_bound = Evidence(
        wagers={"failed status": (math.log(60),)},
        peaks={"failed status": math.log(60)},
        requests=500,
        windows=4,
    )
    evaluation = canary_analysis.evaluate(near_bound, Limits(), True)
    assert (
        evaluation.verdict is Verdict.INCONCLUSIVE
        and evaluation.reason == "inconclusive, failed status: e-value 60 of 100"
    )
    recovered = replace(near_bound, wagers={"failed status": (math.log(2),)})  # an earlier harm that has gone
    assert canary_analysis.evaluate(recovered, Limits(), True).verdict is Verdict.NOT_WORSE
