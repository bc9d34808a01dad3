"""Duty `policy`: decides on the open policy change as soon as its votes allow."""

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

POLL_INTERVAL_S = 1.0  # between checks without store updates
MAX_HISTORY = 100  # epochs
MAX_COMPARED_VOTES = 100  # per transaction: the store takes 128 operations of each kind


def votes(view: StoreCache) -> dict[str, Vote]:
    """Return all votes by process, as `name#incarnation`."""
    found = {}
    for parts, ballot in view.records("policy", "votes", form=VoteRecord):
        found["#".join(parts)] = Vote(ballot.change, ballot.digest, ballot.yes, ballot.reason)
    return found


def votes_on(cast: dict[str, Vote], change: PolicyChangeRecord) -> dict[str, Vote]:
    """Return the votes with the change's common digest.

    Votes on another bundle than the one meant for the voter get an empty digest.
    """
    found = {}
    for who, vote in cast.items():
        mine = own_digests(change, who.partition("#")[0])[0]
        found[who] = replace(vote, digest=change.digest) if vote.digest == mine else replace(vote, digest="")
    return found


def registered(view: StoreCache) -> set[str]:
    """Return the registered processes, as `name#incarnation`."""
    return {f"{member.name}#{member.incarnation}" for _, member in view.members()}


def current_decision(
    view: StoreCache, change: PolicyChangeRecord, id: int
) -> tuple[Decision, dict[str, Vote]]:
    """Return the decision on an open change by the present state, and the votes."""
    force = view.read(view.keys.committed_policy, PolicyRecord) or PolicyRecord(epoch=0, digest="")
    left = {known.name for _, known in view.known_members() if known.left}
    signed_off = [who for who in change.members if who.partition("#")[0] in left]
    unreached = [known.name for known in view.missing_members() if not known.left] if change.everyone else []
    cast = votes_on(votes(view), change)
    opened = policy_commit.OpenChange(id, change.epoch, change.digest)
    found = policy_commit.decide(
        opened,
        policy_commit.CommittedPolicy(force.epoch, force.digest),
        change.members,
        registered(view),
        cast,
        signed_off,
        unreached,
    )
    return found, cast


def vote_summary(cast: dict[str, Vote], change: int) -> dict[str, dict[str, str]]:
    """Return the votes on a change as its outcome record holds them."""
    return {
        who: {"vote": "yes" if vote.yes else "no", "reason": vote.reason}
        for who, vote in cast.items()
        if vote.change == change
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
            found, cast = current_decision(view, change, kv.create_revision)
            if found.outcome is not Outcome.PENDING:
                await self._decide(context, change, kv, found, cast)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POLL_INTERVAL_S):
                await view.changed.wait()

    @staticmethod
    async def _decide(
        context: DutyContext, change: PolicyChangeRecord, kv: KeyValue, found: Decision, cast: dict[str, Vote]
    ) -> None:
        """Write the outcome, and the new policy if the change commits, in one fenced transaction.

        It compares that the same change is still open and the committed policy unchanged. A dry run never
        commits.
        """
        at, now = context.cache.keys, time.time()
        yes = found.outcome is Outcome.COMMIT and not change.dry
        reason = found.reason or ("a dry run: all would go over" if change.dry else "")
        ended = ChangeOutcomeRecord(
            id=change.id,
            epoch=change.epoch,
            digest=change.digest,
            reason=reason,
            at=now,
            votes=vote_summary(cast, kv.create_revision),
            who=change.who,
            why=change.why,
            outcome="everywhere" if yes else "nowhere",
        )
        operations: list[Operation] = [
            Delete(at.open_change),
            Put(at.change_outcome(change.id), encode(ended)),
        ]
        if yes:
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
            operations += [Put(at.committed_policy, encode(new)), Put(at.history(change.epoch), encode(new))]
            if change.epoch > MAX_HISTORY:
                operations.append(Delete(at.history(change.epoch - MAX_HISTORY)))
        in_force = context.cache.entries.get(at.committed_policy)
        compares = (
            Compare(at.open_change, Target.MOD, "=", kv.mod_revision),
            Compare(
                at.committed_policy, Target.MOD, "=", in_force.mod_revision if in_force is not None else 0
            ),
            *(votes_unchanged(context.cache, cast) if yes else ()),
        )
        await context.effect(*operations, compares=compares)


def votes_unchanged(view: StoreCache, cast: dict[str, Vote]) -> tuple[Compare, ...]:
    """Return comparisons that all counted votes still exist.

    A vote ends with its voter's lease, and that event may not have arrived. Above MAX_COMPARED_VOTES there
    are no comparisons: a voter lost at this moment is counted, and reads the committed policy before it
    serves again.
    """
    if len(cast) > MAX_COMPARED_VOTES:
        return ()
    keys = [
        view.keys.vote(name, incarnation)
        for name, _, incarnation in (who.rpartition("#") for who in sorted(cast))
    ]
    return tuple(Compare(key, Target.MOD, "=", view.entries[key].mod_revision) for key in keys)
