"""Duty `policy`: decides the open policy change as soon as the votes suffice."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import replace

from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.policy_participant import own_digests
from gladegw.control.store_cache import StoreCache
from gladegw.coordination import policy_commit
from gladegw.coordination.policy_commit import Decision, Outcome, Vote
from gladegw.coordination.records import (
    ChangeOutcomeRecord,
    PolicyChangeRecord,
    PolicyRecord,
    VoteRecord,
    encode,
)
from gladegw.coordination.store import Compare, Delete, KeyValue, Operation, Put, Target

POLL_INTERVAL_S = 1.0  # between checks while no store update arrives
MAX_HISTORY = 100  # committed epochs kept in the store
MAX_COMPARED_VOTES = 100  # per transaction: the store takes 128 operations of each kind


def votes(view: StoreCache) -> dict[str, Vote]:
    """Return all votes by process, as `name#incarnation`."""
    by_process = {}
    for parts, record in view.records("policy", "votes", form=VoteRecord):
        by_process["#".join(parts)] = Vote(record.change, record.digest, record.yes, record.reason)
    return by_process


def with_common_digest(cast_votes: dict[str, Vote], change: PolicyChangeRecord) -> dict[str, Vote]:
    """Return the votes with digests that can be compared to the change's digest.

    A rollout stage gives members different bundles. A vote on the bundle meant for its voter gets the
    change's digest, a vote on another bundle an empty one.
    """
    by_process = {}
    for process, vote in cast_votes.items():
        expected = own_digests(change, process.partition("#")[0])[0]
        by_process[process] = (
            replace(vote, digest=change.digest) if vote.digest == expected else replace(vote, digest="")
        )
    return by_process


def registered(view: StoreCache) -> set[str]:
    """Return the registered processes, as `name#incarnation`."""
    return {f"{member.name}#{member.incarnation}" for _, member in view.members()}


def current_decision(
    view: StoreCache, change: PolicyChangeRecord, create_revision: int
) -> tuple[Decision, dict[str, Vote]]:
    """Return the decision on an open change as the cached records allow it now, and the votes."""
    committed = view.read(view.keys.committed_policy, PolicyRecord) or PolicyRecord(epoch=0, digest="")
    left = {known.name for _, known in view.known_members() if known.left}
    signed_off = [process for process in change.members if process.partition("#")[0] in left]
    unreached = [known.name for known in view.missing_members() if not known.left] if change.everyone else []
    cast_votes = with_common_digest(votes(view), change)
    open_change = policy_commit.OpenChange(create_revision, change.epoch, change.digest)
    decision = policy_commit.decide(
        open_change,
        policy_commit.CommittedPolicy(committed.epoch, committed.digest),
        change.members,
        registered(view),
        cast_votes,
        signed_off,
        unreached,
    )
    return decision, cast_votes


def vote_summary(cast_votes: dict[str, Vote], create_revision: int) -> dict[str, dict[str, str]]:
    """Return the votes on a change as its outcome record holds them."""
    return {
        process: {"vote": "yes" if vote.yes else "no", "reason": vote.reason}
        for process, vote in cast_votes.items()
        if vote.change == create_revision
    }


class PolicyCoordinator(DutyWork):
    """Coordinator of the policy commit protocol."""

    name = "policy"
    period = 0.0
    reads_reported = True

    async def step(self, context: DutyContext) -> None:
        """Decide the open change if possible, then wait for a store update."""
        view = context.cache
        view.changed.clear()
        kv = view.entries.get(view.keys.open_change)
        change = view.read(view.keys.open_change, PolicyChangeRecord)
        if kv is not None and change is not None:
            decision, cast_votes = current_decision(view, change, kv.create_revision)
            if decision.outcome is not Outcome.PENDING:
                await self._decide(context, change, kv, decision, cast_votes)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POLL_INTERVAL_S):
                await view.changed.wait()

    @staticmethod
    async def _decide(
        context: DutyContext,
        change: PolicyChangeRecord,
        kv: KeyValue,
        decision: Decision,
        cast_votes: dict[str, Vote],
    ) -> None:
        """Write the outcome, and the new policy if the change commits, in one fenced transaction.

        The transaction has no effect unless the same change is still open and the committed policy is
        unchanged. A dry run never commits.
        """
        keys, now = context.cache.keys, time.time()
        commits = decision.outcome is Outcome.COMMIT and not change.dry
        reason = decision.reason or ("a dry run: all would go over" if change.dry else "")
        outcome = ChangeOutcomeRecord(
            id=change.id,
            epoch=change.epoch,
            digest=change.digest,
            reason=reason,
            at=now,
            votes=vote_summary(cast_votes, kv.create_revision),
            who=change.who,
            why=change.why,
            outcome="everywhere" if commits else "nowhere",
        )
        operations: list[Operation] = [
            Delete(keys.open_change),
            Put(keys.change_outcome(change.id), encode(outcome)),
        ]
        if commits:
            new = PolicyRecord(
                epoch=change.epoch,
                digest=change.digest,
                who=change.who,
                why=change.why,
                at=now,
                new=change.new,
                named=change.named,
                rollout=change.rollout,
                confirm_s=change.confirm_s,
            )
            operations += [
                Put(keys.committed_policy, encode(new)),
                Put(keys.history(change.epoch), encode(new)),
            ]
            if change.epoch > MAX_HISTORY:
                operations.append(Delete(keys.history(change.epoch - MAX_HISTORY)))
        committed = context.cache.entries.get(keys.committed_policy)
        compares = (
            Compare(keys.open_change, Target.MOD, "=", kv.mod_revision),
            Compare(
                keys.committed_policy,
                Target.MOD,
                "=",
                committed.mod_revision if committed is not None else 0,
            ),
            *(votes_unchanged(context.cache, cast_votes) if commits else ()),
        )
        await context.effect(*operations, compares=compares)


def votes_unchanged(view: StoreCache, cast_votes: dict[str, Vote]) -> tuple[Compare, ...]:
    """Return comparisons that hold while all counted votes still exist.

    A vote is deleted with its voter's lease, and this update may not have reached the cache yet. Above
    MAX_COMPARED_VOTES votes there are no comparisons: the vote of a voter lost at this moment is counted, but
    that voter reads the committed policy before it serves again.
    """
    if len(cast_votes) > MAX_COMPARED_VOTES:
        return ()
    keys = [
        view.keys.vote(name, incarnation)
        for name, _, incarnation in (process.rpartition("#") for process in sorted(cast_votes))
    ]
    return tuple(Compare(key, Target.MOD, "=", view.entries[key].mod_revision) for key in keys)
