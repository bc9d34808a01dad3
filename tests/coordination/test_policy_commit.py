"""The tables of a change of policy: searched, walked at random, and checked against planted defects."""

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


def world(refuse: bool = True) -> Policies:
    return Policies(3, refuse=refuse, changes=30, crashes=6, cuts=6, bad=4)


@pytest.mark.parametrize(
    ("members", "refuse", "depth", "least"), [(2, True, 7, 4000), (2, False, 7, 4000), (3, False, 6, 4000)]
)
def test_nothing_breaks_within_a_depth(members: int, refuse: bool, depth: int, least: int) -> None:
    found = Search(Policies(members, refuse), liveness=20).run(depth, 30_000)
    assert (found.broken, found.trace) == ("", []) and found.states > least


def test_nothing_breaks_in_long_runs() -> None:
    for seed in range(30):
        found = walk(world(refuse=seed % 2 == 0), seed, STEPS)
        assert found.broken == "", found.trace


def judged(**changes: Any) -> Callable[..., Decision]:
    """A verdict of which some arguments are planted."""

    def found(
        change: Any,
        force: Any,
        proposed: Any,
        registered: Any,
        votes: Any,
        left: Any = (),
        unreached: Any = (),
    ) -> Decision:
        told = {
            "change": change,
            "committed": force,
            "proposed_with": proposed,
            "registered": registered,
            "votes": votes,
            "signed_off": left,
            "unreached": unreached,
        }
        return policy_commit.decide(**(told | {name: made(told) for name, made in changes.items()}))

    return found


def any_vote(told: Any) -> Any:
    """Whatever it was about."""
    return {
        who: replace(vote, change=told["change"].id, digest=told["change"].digest)
        for who, vote in told["votes"].items()
    }


def goes_back(member: Participant, force: CommittedPolicy, change: Any, revision: int) -> Any:
    return policy_commit.on_store_update(
        replace(member, seen_revision=0, epoch=min(member.epoch, force.epoch)), force, change, revision
    )


def starts_by_its_file(member: Participant, force: CommittedPolicy, change: Any, revision: int) -> Any:
    if member.phase is Phase.UNKNOWN and force.epoch:
        return replace(member, phase=Phase.SETTLED, epoch=0, joined=True), ()
    return policy_commit.on_store_update(member, force, change, revision)


def joins_at_once(member: Participant, force: CommittedPolicy, change: Any, revision: int) -> Any:
    after, actions = policy_commit.on_store_update(member, force, change, revision)
    return replace(after, joined=True), actions


def takes_before_the_decision(member: Participant, digest: str, able: bool) -> Any:
    after, actions = policy_commit.on_prepare_result(member, digest, able)
    if after.phase is Phase.VOTED_YES and after.open_change is not None:
        after = replace(after, epoch=after.open_change.epoch, digest=digest)
    return after, actions


def agrees_to_what_it_cannot(member: Participant, digest: str, able: bool) -> Any:
    after, actions = policy_commit.on_prepare_result(member, digest, able)
    return after, tuple(Action.VOTE_YES if action is Action.VOTE_NO else action for action in actions)


def rejoins_in_doubt(member: Participant, goes_on: bool) -> Participant:
    return replace(policy_commit.on_rejoin(member, goes_on), joined=goes_on and member.joined)


def takes_any_bundle(member: Participant, digest: str, able: bool) -> Any:
    return policy_commit.on_prepare_result(
        replace(member, preparing=digest or member.preparing), digest, able
    )


DEFECTS: dict[str, dict[str, Any]] = {
    "who was lost counts as nothing": {"verdict": judged(proposed_with=lambda told: ())},
    "a vote is not bound to the change": {"verdict": judged(votes=any_vote)},
    "who has not voted is not awaited": {
        "verdict": judged(registered=lambda told: list(told["votes"]), proposed_with=lambda told: ())
    },
    "a no counts as a yes": {
        "verdict": judged(votes=lambda told: {w: replace(v, yes=True) for w, v in told["votes"].items()})
    },
    "the decision does not compare that the change is open": {"compares": False},
    "a member goes on under a new lease": {"rejoined": lambda member, goes_on: member},
    "one in doubt serves on while it is cut off": {"in_doubt": lambda member: False},
    "one in doubt serves on under a new lease": {"rejoined": rejoins_in_doubt},
    "who is not reached is not waited for": {"verdict": judged(unreached=lambda told: ())},
    "one that was given up serves on": {"dies_with_lease": False},
    "a word that is older is heeded": {"told": goes_back},
    "a start does not ask what is in force": {"told": starts_by_its_file},
    "who joins serves before it has voted": {"told": joins_at_once},
    "a bundle is taken before the decision": {"prepared": takes_before_the_decision},
    "what can't be prepared is agreed to": {"prepared": agrees_to_what_it_cannot},
    "what was prepared for another change counts": {"prepared": takes_any_bundle},
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_planted_defects_are_found(defect: str) -> None:
    for seed in range(WALKS):
        made = world(refuse=seed % 2 == 0)
        for name, rule in DEFECTS[defect].items():
            setattr(made, name, rule)
        if walk(made, seed, STEPS).broken:
            return
    pytest.fail("not found")


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
def test_a_yes_needs_a_yes_of_each(
    proposed: set[str], registered: set[str], votes: dict[str, Vote], unreached: set[str]
) -> None:
    found = policy_commit.decide(
        change, CommittedPolicy(2, "old"), proposed, registered, votes, (), unreached
    )
    agreed = {who for who, vote in votes.items() if vote == Vote(7, "new", True)}
    if found.outcome is Outcome.COMMIT:
        assert registered and registered <= agreed and proposed <= registered and not unreached
    elif found.outcome is Outcome.PENDING:
        assert set(found.awaited) == registered - agreed
    else:
        assert found.reason


def test_one_that_signed_off_is_not_missed() -> None:
    votes = {"a": Vote(7, "new", True)}
    assert policy_commit.decide(change, CommittedPolicy(2, "old"), "ab", "a", votes).outcome is Outcome.ABORT
    assert (
        policy_commit.decide(change, CommittedPolicy(2, "old"), "ab", "a", votes, "b").outcome
        is Outcome.COMMIT
    )
