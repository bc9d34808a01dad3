"""Defects planted in the members' own code, each with what a simulated course that finds it says. A rule
counts as tested when its absence is found."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from gladegw.control import policy_participant as members
from gladegw.control.duties import policy_coordinator as deciding
from gladegw.control.leader_election import LeaderElection
from gladegw.coordination import canary_analysis
from gladegw.coordination import duty as duties
from gladegw.coordination import lease as leases
from gladegw.coordination import policy_commit as table
from gladegw.coordination.canary_analysis import Evaluation, Verdict
from gladegw.coordination.duty import Phase
from gladegw.coordination.store import Get, Operation, Txn, TxnResult

Put = Callable[[Any, str, Any], None]  # in an object, under a name, in place of what is there


@dataclass(frozen=True)
class Defect:
    """`found` is part of what is said of it; `seed` the first that shows it, over `lasts` s of `members`; 0:
    no course is likely to, and a test of the duty has it."""

    what: str
    plant: Callable[[Put], None]
    found: str
    seed: int
    members: int = 5
    lasts: float = 60.0
    when_cut_off: str = "serve"


def _no_token(put: Put) -> None:
    put(duties, "fenced", lambda key, token, *effects, compares=(): Txn(compares, effects, (Get(key),)))


def _late_clock(put: Put) -> None:
    granted, renewed = leases.granted, leases.renewed
    put(leases, "granted", lambda id, sent, ttl: granted(id, sent + 0.6, ttl))
    put(leases, "renewed", lambda lease, id, sent, ttl: renewed(lease, id, sent + 0.6, ttl))


def _no_compares(put: Put) -> None:
    real = LeaderElection.effect

    async def effect(self: LeaderElection, *operations: Operation, compares: Any = ()) -> TxnResult:
        return await real(self, *operations)

    put(LeaderElection, "effect", effect)


def _no_bound(put: Put) -> None:
    put(duties, "may_act", lambda duty, lease, now: duty.phase is Phase.HELD)


def _early(put: Put) -> None:
    real = members.PolicyParticipant._apply_store_state

    def apply(self: members.PolicyParticipant, *told: Any) -> None:
        self.state = dataclasses.replace(self.state, joined=True)
        real(self, *told)

    put(members.PolicyParticipant, "_apply_store_state", apply)


def _no_doubt(put: Put) -> None:
    put(table, "in_doubt", lambda member: False)


def _lost_is_yes(put: Put) -> None:
    real = table.decide

    def decide(change: Any, force: Any, proposed_with: Any, *rest: Any) -> Any:
        return real(change, force, (), *rest)

    put(table, "decide", decide)


def _no_verdict(put: Put) -> None:
    put(canary_analysis, "evaluate", lambda evidence, limits, baked: Evaluation(Verdict.NOT_WORSE))


def _any_votes(put: Put) -> None:
    put(deciding, "votes_unchanged", lambda view, cast: ())


DEFECTS: dict[str, Defect] = {
    "no-token": Defect("effects go out without their token", _no_token, "was taken after one of", 5),
    "late-clock": Defect("a lease counts from its answer", _late_clock, "token", 1),
    "no-compares": Defect("effects compare nothing but the token", _no_compares, "stands after", 1),
    "no-bound": Defect("a holder does not look at its bound", _no_bound, "after their bound", 6),
    "early": Defect("a member serves before it has read the store", _early, "which was not decided", 3),
    "no-doubt": Defect("who has agreed and hears nothing serves on", _no_doubt, "s after", 3),
    "lost-is-yes": Defect("who was lost meanwhile is no reason against", _lost_is_yes, "was lost", 9),
    "no-verdict": Defect("a stage is over at its first look", _no_verdict, "without a verdict", 6),
    "any-votes": Defect("votes may end before the decision", _any_votes, "was lost", 0),
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """Nothing for an empty name; raises KeyError for one that is not known."""
    with ExitStack() as stack:
        if name:
            DEFECTS[name].plant(
                lambda where, what, by: stack.enter_context(mock.patch.object(where, what, by))
            )
        yield
