"""What an operator does with policies: propose, look, call off, remove who is gone for good."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from gladegw.control import policy_bundle
from gladegw.control.duties.policy_coordinator import current_decision, registered, vote_summary, votes
from gladegw.control.errors import StoreClientError, StoreRejectedError
from gladegw.control.fleet_status import read
from gladegw.control.keys import Keys
from gladegw.control.policy_participant import member_state
from gladegw.control.store_cache import StoreCache
from gladegw.control.store_client import StoreClient
from gladegw.coordination.records import (
    ChangeOutcomeRecord,
    PolicyChangeRecord,
    PolicyRecord,
    RolloutRecord,
    decode,
    encode,
)
from gladegw.coordination.store import Compare, Delete, Get, Put, Target, Txn

T = TypeVar("T")
POLL_INTERVAL_S = 0.02  # s between looks at what became of a change
OUTCOME_GRACE_S = 5.0  # s beyond its deadline in which the store has ended it
RETRY_INTERVAL_S = 0.2  # s


@dataclass(slots=True)
class ProposalResult:
    """`votes`: member, vote, reason."""

    outcome: str
    epoch: int
    digest: str
    reason: str = ""
    votes: list[dict[str, str]] = field(default_factory=list)


def vote_rows(cast: Mapping[str, Mapping[str, str]], awaited: tuple[str, ...] = ()) -> list[dict[str, str]]:
    found = [
        {"member": who.partition("#")[0], "vote": one["vote"], "reason": one["reason"]}
        for who, one in cast.items()
    ]
    found += [{"member": who.partition("#")[0], "vote": "awaited", "reason": ""} for who in awaited]
    return sorted(found, key=lambda one: (one["member"], one["vote"]))


def names(whom: tuple[str, ...]) -> str:
    return ", ".join(sorted({who.partition("#")[0] for who in whom}))


def committed_policy(view: StoreCache) -> PolicyRecord:
    return view.read(view.keys.committed_policy, PolicyRecord) or PolicyRecord(epoch=0, digest="")


class PolicyOperator:
    """One store, asked until it answers or `patience` s have passed; then StoreFault is raised."""

    def __init__(self, client: StoreClient, prefix: str, timeout: float = 5.0) -> None:
        self.client, self.prefix, self.timeout = client, prefix, timeout
        self.keys = Keys(prefix)

    async def retry(self, call: Callable[[], Awaitable[T]]) -> T:
        """What does no harm when it is done twice, until the store has answered."""
        end = time.monotonic() + self.timeout
        while True:
            try:
                return await call()
            except StoreRejectedError:
                raise
            except StoreClientError:
                if time.monotonic() > end:
                    raise
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def view(self) -> StoreCache:
        return await self.retry(lambda: read(self.client, self.prefix))

    async def upload(self, files: Mapping[str, str]) -> str:
        """The bundle into the store; its digest. What is there already is left: it can only be the same."""
        raw = policy_bundle.pack(files)
        digest = policy_bundle.digest_of(raw)
        at = self.keys
        for number, piece in enumerate(policy_bundle.split_chunks(raw)):
            key = at.bundle_chunk(digest, number)
            put = Txn((Compare(key, Target.CREATE, "=", 0),), (Put(key, piece),))
            await self.retry(lambda put=put: self.client.txn(put))  # type: ignore[misc]
        return digest

    async def propose(
        self, digest: str, deadline: int, everyone: bool, who: str, why: str, dry: bool
    ) -> PolicyChangeRecord:
        """Raises ValueError where another change is open, StoreFault where the store does not say."""
        view = await self.view()
        force, at = committed_policy(view), view.keys
        rollout = view.read(at.rollout, RolloutRecord)
        if rollout is not None:
            raise ValueError(f"rollout {rollout.id} is under way: wait for its end, or `rollout back`")
        change = PolicyChangeRecord(
            id=secrets.token_hex(8),
            epoch=force.epoch + 1,
            digest=digest,
            everyone=everyone,
            dry=dry,
            members=tuple(sorted(registered(view))),
            who=who,
            why=why,
            at=time.time(),
        )
        lease, _ = await self.retry(lambda: self.client.grant(deadline))
        kv = view.entries.get(at.committed_policy)
        compares = (
            Compare(at.open_change, Target.CREATE, "=", 0),
            Compare(at.bundle_chunk(digest, 0), Target.CREATE, ">", 0),
            Compare(at.committed_policy, Target.MOD, "=", kv.mod_revision if kv is not None else 0),
        )
        try:
            done = await self.client.txn(Txn(compares, (Put(at.open_change, encode(change), lease),)))
            taken = done.succeeded
        except StoreClientError:  # whether it was done is asked
            found = (await self.view()).read(at.open_change, PolicyChangeRecord)
            taken = found is not None and found.id == change.id
        if not taken:
            await self.retry(lambda: self.client.revoke(lease))
            open_one = (await self.view()).read(at.open_change, PolicyChangeRecord)
            if open_one is None:
                raise ValueError("what is in force, or the bundle in the store, has changed meanwhile")
            raise ValueError(f"change {open_one.id} of {open_one.who or 'somebody'} is open")
        return change

    async def outcome(self, change: PolicyChangeRecord, deadline: int) -> ProposalResult:
        """Waits until it is decided, refused, called off or ended by its lease. Two keys are looked at again
        and again, not the fleet: that is what has to hear of the change meanwhile."""
        at, end = self.keys, time.monotonic() + deadline + OUTCOME_GRACE_S
        opened = 0  # its revision, once it was seen
        while True:
            done = await self.retry(
                lambda: self.client.do(Get(at.change_outcome(change.id)), Get(at.open_change))
            )
            ended, stands = done.found
            if ended:
                told_of = decode(ended[0].value, ChangeOutcomeRecord)
                cast = vote_rows(told_of.votes)
                return ProposalResult(told_of.outcome, change.epoch, change.digest, told_of.reason, cast)
            open_one = decode(stands[0].value, PolicyChangeRecord) if stands else None
            if open_one is not None and open_one.id == change.id:
                opened = stands[0].create_revision
            else:
                return await self._undecided(change, opened, "its deadline passed")
            if time.monotonic() > end:
                return await self._undecided(change, opened, "the store did not end it")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _undecided(self, change: PolicyChangeRecord, opened: int, reason: str) -> ProposalResult:
        """Nowhere, and nobody has written why: what is known of its votes."""
        view = await self.view()
        found, given = current_decision(view, change, opened)
        if found.awaited:
            reason += f", awaiting {names(found.awaited)}"
        cast = vote_rows(vote_summary(given, opened), found.awaited)
        return ProposalResult("nowhere", change.epoch, change.digest, reason, cast)

    async def cancel(self, who: str) -> PolicyChangeRecord | None:
        """None: there is none, or it was decided meanwhile."""
        view = await self.view()
        kv, change = (
            view.entries.get(view.keys.open_change),
            view.read(view.keys.open_change, PolicyChangeRecord),
        )
        if kv is None or change is None:
            return None
        ended = ChangeOutcomeRecord(
            id=change.id,
            epoch=change.epoch,
            digest=change.digest,
            outcome="nowhere",
            reason=f"called off by {who}",
            votes=vote_summary(votes(view), kv.create_revision),
            who=change.who,
            why=change.why,
            at=time.time(),
        )
        done = await self.client.txn(
            Txn(
                (Compare(view.keys.open_change, Target.MOD, "=", kv.mod_revision),),
                (Delete(view.keys.open_change), Put(view.keys.change_outcome(change.id), encode(ended))),
            )
        )
        return change if done.succeeded else None

    async def forget_member(self, name: str) -> str:
        """Why not; empty: the name is forgotten, and nothing waits for it any more."""
        view = await self.view()
        if any(member.name == name for _, member in view.members()):
            return f"{name} is there"
        key = view.keys.known_member(name)
        if key not in view.entries:
            return f"no such member: {name}"
        await self.retry(lambda: self.client.do(Delete(key)))
        return ""

    async def files(self, digest: str) -> dict[str, str]:
        """Raises BundleError."""
        at = self.keys
        _, found = await self.retry(lambda: self.client.get(Get(*at.bundle(digest))))
        return policy_bundle.assemble(digest, (kv.value for kv in found))


def status(view: StoreCache) -> dict[str, Any]:
    force = committed_policy(view)
    kv, change = view.entries.get(view.keys.open_change), view.read(view.keys.open_change, PolicyChangeRecord)
    open_one = None
    if kv is not None and change is not None:
        found, cast = current_decision(view, change, kv.create_revision)
        open_one = {
            "id": change.id,
            "epoch": change.epoch,
            "digest": change.digest,
            "who": change.who,
            "why": change.why,
            "dry": change.dry,
            "reason": found.reason,
            "votes": vote_rows(vote_summary(cast, kv.create_revision), found.awaited),
        }
    members = [
        {"name": member.name, "epoch": member.epoch, "state": member_state(member, force)}
        for _, member in view.members()
    ]
    members += [
        {"name": known.name, "epoch": -1, "state": "missing"}
        for known in view.missing_members()
        if not known.left
    ]
    return {
        "epoch": force.epoch,
        "digest": force.digest,
        "who": force.who,
        "why": force.why,
        "change": open_one,
        "members": sorted(members, key=lambda one: str(one["name"])),
    }


def history(view: StoreCache) -> list[dict[str, Any]]:
    return [
        {"epoch": one.epoch, "digest": one.digest, "who": one.who, "why": one.why, "at": one.at}
        for _, one in view.records("policy", "history", form=PolicyRecord)
    ]
