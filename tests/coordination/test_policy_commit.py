"""Model checking of the two-phase commit of policies: search, random walks, and injected defects."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladegw.coordination import policy_commit
from gladegw.coordination.policy_commit import (
    Action,
    CommittedPolicy,
    Decision,
    OpenChange,
    Outcome,
    Participant,
    Phase,
    Vote,
)
from gladegw.rig.model_checking.policies import Policies
from gladegw.rig.model_checking.search import Search, walk

WALKS, STEPS = 60, 300


def make_world(refuse: bool = True) -> Policies:
    return Policies(3, refuse=refuse, changes=30, crashes=6, cuts=6, bad=4)


@pytest.mark.parametrize(
    ("members", "refuse", "depth", "min_states"),
    [(2, True, 7, 4000), (2, False, 7, 4000), (3, False, 6, 4000)],
)
def test_no_order_of_steps_breaks_an_invariant(
    members: int, refuse: bool, depth: int, min_states: int
) -> None:
    result = Search(Policies(members, refuse), liveness=20).run(depth, 30_000)
    assert (result.broken, result.trace) == ("", []) and result.states > min_states


def test_no_long_walk_breaks_an_invariant() -> None:
    for seed in range(30):
        result = walk(make_world(refuse=seed % 2 == 0), seed, STEPS)
        assert result.broken == "", result.trace


def decide_with(**changes: Any) -> Callable[..., Decision]:
    """Return `decide` with some arguments replaced by functions of all its arguments."""

    def defective_decide(
        change: Any,
        committed: Any,
        proposed_with: Any,
        registered: Any,
        votes: Any,
        signed_off: Any = (),
        unreached: Any = (),
    ) -> Decision:
        arguments = {
            "change": change,
            "committed": committed,
            "proposed_with": proposed_with,
            "registered": registered,
            "votes": votes,
            "signed_off": signed_off,
            "unreached": unreached,
        }
        return policy_commit.decide(
            **(arguments | {name: replacement(arguments) for name, replacement in changes.items()})
        )

    return defective_decide


def votes_bound_to_change(arguments: Any) -> Any:
    """Return the votes as if each were for the open change."""
    return {
        name: replace(vote, change=arguments["change"].id, digest=arguments["change"].digest)
        for name, vote in arguments["votes"].items()
    }


def apply_older_update(member: Participant, committed: CommittedPolicy, change: Any, revision: int) -> Any:
    return policy_commit.on_store_update(
        replace(member, seen_revision=0, epoch=min(member.epoch, committed.epoch)),
        committed,
        change,
        revision,
    )


def settle_without_committed_policy(
    member: Participant, committed: CommittedPolicy, change: Any, revision: int
) -> Any:
    if member.phase is Phase.UNKNOWN and committed.epoch:
        return replace(member, phase=Phase.SETTLED, epoch=0, joined=True), ()
    return policy_commit.on_store_update(member, committed, change, revision)


def join_before_voting(member: Participant, committed: CommittedPolicy, change: Any, revision: int) -> Any:
    after, actions = policy_commit.on_store_update(member, committed, change, revision)
    return replace(after, joined=True), actions


def activate_before_decision(member: Participant, digest: str, able: bool) -> Any:
    after, actions = policy_commit.on_prepare_result(member, digest, able)
    if after.phase is Phase.VOTED_YES and after.open_change is not None:
        after = replace(after, epoch=after.open_change.epoch, digest=digest)
    return after, actions


def vote_yes_on_failure(member: Participant, digest: str, able: bool) -> Any:
    after, actions = policy_commit.on_prepare_result(member, digest, able)
    return after, tuple(Action.VOTE_YES if action is Action.VOTE_NO else action for action in actions)


def keep_serving_in_doubt(member: Participant, keep_serving: bool) -> Participant:
    return replace(policy_commit.on_rejoin(member, keep_serving), joined=keep_serving and member.joined)


def accept_obsolete_result(member: Participant, digest: str, able: bool) -> Any:
    return policy_commit.on_prepare_result(
        replace(member, preparing=digest or member.preparing), digest, able
    )


# By name of the defect: the attributes of Policies to replace.
DEFECTS: dict[str, dict[str, Any]] = {
    "a lost process is ignored": {"verdict": decide_with(proposed_with=lambda arguments: ())},
    "a vote is not bound to the change": {"verdict": decide_with(votes=votes_bound_to_change)},
    "a missing vote is not awaited": {
        "verdict": decide_with(
            registered=lambda arguments: list(arguments["votes"]), proposed_with=lambda arguments: ()
        )
    },
    "a no vote counts as yes": {
        "verdict": decide_with(
            votes=lambda arguments: {w: replace(v, yes=True) for w, v in arguments["votes"].items()}
        )
    },
    "the decision does not compare that the change is still open": {"compares": False},
    "a member under a new lease keeps its state": {"rejoined": lambda member, keep_serving: member},
    "a member in doubt serves while it is cut off": {"in_doubt": lambda member: False},
    "a member in doubt serves under a new lease": {"rejoined": keep_serving_in_doubt},
    "a known member without a process does not block": {
        "verdict": decide_with(unreached=lambda arguments: ())
    },
    "a member without a lease keeps serving": {"dies_with_lease": False},
    "an older update is applied": {"told": apply_older_update},
    "a started member does not activate the committed policy": {"told": settle_without_committed_policy},
    "a joining member serves before it has voted": {"told": join_before_voting},
    "a bundle is activated before the decision": {"prepared": activate_before_decision},
    "a failed preparation leads to a yes vote": {"prepared": vote_yes_on_failure},
    "a bundle prepared for another change counts": {"prepared": accept_obsolete_result},
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_injected_defect_is_found(defect: str) -> None:
    for seed in range(WALKS):
        model = make_world(refuse=seed % 2 == 0)
        for name, replacement in DEFECTS[defect].items():
            setattr(model, name, replacement)
        if walk(model, seed, STEPS).broken:
            return
    pytest.fail(f"no invariant broken in {WALKS} walks")


change = OpenChange(7, 3, "new")
names = st.sets(st.sampled_from(["a", "b", "c", "d"]))


@given(
    names,
    names,
    st.dictionaries(
        st.sampled_from("abcd"),
        st.builds(Vote, st.sampled_from([6, 7]), st.sampled_from(["new", "old"]), st.booleans()),
    ),
    names,
)
def test_commit_needs_a_yes_vote_of_each_process(
    proposed: set[str], registered: set[str], votes: dict[str, Vote], unreached: set[str]
) -> None:
    decision = policy_commit.decide(
        change, CommittedPolicy(2, "old"), proposed, registered, votes, (), unreached
    )
    agreed = {name for name, vote in votes.items() if vote == Vote(7, "new", True)}
    if decision.outcome is Outcome.COMMIT:
        assert registered and registered <= agreed and proposed <= registered and not unreached
    elif decision.outcome is Outcome.PENDING:
        assert set(decision.awaited) == registered - agreed
    else:
        assert decision.reason


def test_process_that_left_gracefully_does_not_abort_the_change() -> None:
    votes = {"a": Vote(7, "new", True)}
    assert policy_commit.decide(change, CommittedPolicy(2, "old"), "ab", "a", votes).outcome is Outcome.ABORT
    assert (
        policy_commit.decide(change, CommittedPolicy(2, "old"), "ab", "a", votes, "b").outcome
        is Outcome.COMMIT
    )
