"""`policy`: decides on the change of policy that is open, as soon as its votes say so."""

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

POLL_INTERVAL_S = 1.0  # s without news after which it is looked at all the same
MAX_HISTORY = 100  # epochs that are kept
MAX_COMPARED_VOTES = 100  # votes that one transaction compares: the store takes 128 operations of each kind


def votes(view: StoreCache) -> dict[str, Vote]:
    """By process: `name#incarnation`."""
    found = {}
    for parts, ballot in view.records("policy", "votes", form=VoteRecord):
        found["#".join(parts)] = Vote(ballot.change, ballot.digest, ballot.yes, ballot.reason)
    return found


def votes_on(cast: dict[str, Vote], change: PolicyChangeRecord) -> dict[str, Vote]:
    """The same votes under the change's common digest, but those on another bundle than the voter's own."""
    found = {}
    for who, vote in cast.items():
        mine = own_digests(change, who.partition("#")[0])[0]
        found[who] = replace(vote, digest=change.digest) if vote.digest == mine else replace(vote, digest="")
    return found


def registered(view: StoreCache) -> set[str]:
    return {f"{member.name}#{member.incarnation}" for _, member in view.members()}


def current_decision(
    view: StoreCache, change: PolicyChangeRecord, id: int
) -> tuple[Decision, dict[str, Vote]]:
    """The verdict on an open change by what is known now."""
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
    """The votes on this change, for its record and for people."""
    return {
        who: {"vote": "yes" if vote.yes else "no", "reason": vote.reason}
        for who, vote in cast.items()
        if vote.change == change
    }


class PolicyCoordinator(DutyWork):
    name = "policy"
    period = 0.0
    reads_reported = True

    async def step(self, holding: DutyContext) -> None:
        view = holding.cache
        view.changed.clear()
        kv = view.entries.get(view.keys.open_change)
        change = view.read(view.keys.open_change, PolicyChangeRecord)
        if kv is not None and change is not None:
            found, cast = current_decision(view, change, kv.create_revision)
            if found.outcome is not Outcome.PENDING:
                await self._decide(holding, change, kv, found, cast)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POLL_INTERVAL_S):
                await view.changed.wait()

    @staticmethod
    async def _decide(
        holding: DutyContext, change: PolicyChangeRecord, kv: KeyValue, found: Decision, cast: dict[str, Vote]
    ) -> None:
        """One transaction under the duty's token: that very change is open still, and what is in force is
        what it would replace. A dry run is never decided."""
        at, now = holding.cache.keys, time.time()
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
        done: list[Operation] = [Delete(at.open_change), Put(at.change_outcome(change.id), encode(ended))]
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
            done += [Put(at.committed_policy, encode(new)), Put(at.history(change.epoch), encode(new))]
            if change.epoch > MAX_HISTORY:
                done.append(Delete(at.history(change.epoch - MAX_HISTORY)))
        in_force = holding.cache.entries.get(at.committed_policy)
        compares = (
            Compare(at.open_change, Target.MOD, "=", kv.mod_revision),
            Compare(
                at.committed_policy, Target.MOD, "=", in_force.mod_revision if in_force is not None else 0
            ),
            *(votes_unchanged(holding.cache, cast) if yes else ()),
        )
        await holding.effect(*done, compares=compares)


def votes_unchanged(view: StoreCache, cast: dict[str, Vote]) -> tuple[Compare, ...]:
    """That each vote which was counted stands still: a vote ends with its voter's lease, and news of that may
    be on its way. Of more than one transaction compares, none: there who is lost in these milliseconds is
    counted, and reads what is in force before it serves, as ever."""
    if len(cast) > MAX_COMPARED_VOTES:
        return ()
    keys = [view.keys.vote(name, life) for name, _, life in (who.rpartition("#") for who in sorted(cast))]
    return tuple(Compare(key, Target.MOD, "=", view.entries[key].mod_revision) for key in keys)
