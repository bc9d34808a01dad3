"""Operators' actions on policies: propose, inspect, cancel, and remove lost members."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from gladegw.control import policy_bundle
from gladegw.control.duties.policy_coordinator import current_decision, registered, vote_summary, votes
from gladegw.control.errors import ChangeRejectedError, StoreClientError, StoreRejectedError
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
POLL_INTERVAL_S = 0.02  # between reads of a change's outcome
OUTCOME_GRACE_S = 5.0  # beyond the deadline, for the store to expire the lease
RETRY_INTERVAL_S = 0.2


@dataclass(slots=True)
class ProposalResult:
    """Outcome of a proposal; each of `votes` has the keys member, vote and reason."""

    outcome: str
    epoch: int
    digest: str
    reason: str = ""
    votes: list[dict[str, str]] = field(default_factory=list)


def vote_rows(cast: Mapping[str, Mapping[str, str]], awaited: tuple[str, ...] = ()) -> list[dict[str, str]]:
    """Return votes and awaited votes as rows, sorted by member."""
    found = [
        {"member": who.partition("#")[0], "vote": one["vote"], "reason": one["reason"]}
        for who, one in cast.items()
    ]
    found += [{"member": who.partition("#")[0], "vote": "awaited", "reason": ""} for who in awaited]
    return sorted(found, key=lambda one: (one["member"], one["vote"]))


def names(whom: tuple[str, ...]) -> str:
    """Return the member names of processes (`name#incarnation`), separated by commas."""
    return ", ".join(sorted({who.partition("#")[0] for who in whom}))


def committed_policy(view: StoreCache) -> PolicyRecord:
    """Return the committed policy, or epoch 0 if there is none."""
    return view.read(view.keys.committed_policy, PolicyRecord) or PolicyRecord(epoch=0, digest="")


class PolicyOperator:
    """Operator's access to the policies of one installation.

    Idempotent calls are retried for `timeout` seconds; then StoreClientError is raised.
    """

    def __init__(self, client: StoreClient, prefix: str, timeout: float = 5.0) -> None:
        self.client, self.prefix, self.timeout = client, prefix, timeout
        self.keys = Keys(prefix)

    async def retry(self, call: Callable[[], Awaitable[T]]) -> T:
        """Retry an idempotent call until the store has answered or the time has passed."""
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
        """Read the fleet's records from the store."""
        return await self.retry(lambda: read(self.client, self.prefix))

    async def upload(self, files: Mapping[str, str]) -> str:
        """Store a bundle and return its digest; chunks that exist already are identical and not rewritten."""
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
        """Open a policy change that expires after `deadline` seconds.

        Raises ChangeRejectedError if a rollout or another change is open or the committed policy has changed,
        and StoreClientError if the outcome is unknown.
        """
        view = await self.view()
        force, at = committed_policy(view), view.keys
        rollout = view.read(at.rollout, RolloutRecord)
        if rollout is not None:
            raise ChangeRejectedError(
                f"rollout {rollout.id} is under way: wait for its end, or `rollout back`"
            )
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
        except StoreClientError:  # the outcome is unknown: read it
            found = (await self.view()).read(at.open_change, PolicyChangeRecord)
            taken = found is not None and found.id == change.id
        if not taken:
            await self.retry(lambda: self.client.revoke(lease))
            open_one = (await self.view()).read(at.open_change, PolicyChangeRecord)
            if open_one is None:
                raise ChangeRejectedError(
                    "what is in force, or the bundle in the store, has changed meanwhile"
                )
            raise ChangeRejectedError(f"change {open_one.id} of {open_one.who or 'somebody'} is open")
        return change

    async def outcome(self, change: PolicyChangeRecord, deadline: int) -> ProposalResult:
        """Wait until the change is decided, cancelled or expired.

        Only two keys are polled, to leave the store to the members, which process the change meanwhile.
        """
        at, end = self.keys, time.monotonic() + deadline + OUTCOME_GRACE_S
        opened = 0  # revision of the change once it was seen
        while True:
            done = await self.retry(
                lambda: self.client.do(Get(at.change_outcome(change.id)), Get(at.open_change))
            )
            ended, opened_entries = done.found
            if ended:
                record = decode(ended[0].value, ChangeOutcomeRecord)
                cast = vote_rows(record.votes)
                return ProposalResult(record.outcome, change.epoch, change.digest, record.reason, cast)
            open_one = decode(opened_entries[0].value, PolicyChangeRecord) if opened_entries else None
            if open_one is not None and open_one.id == change.id:
                opened = opened_entries[0].create_revision
            else:
                return await self._undecided(change, opened, "its deadline passed")
            if time.monotonic() > end:
                return await self._undecided(change, opened, "the store did not end it")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _undecided(self, change: PolicyChangeRecord, opened: int, reason: str) -> ProposalResult:
        """Build the result of a change that ended without an outcome record."""
        view = await self.view()
        found, given = current_decision(view, change, opened)
        if found.awaited:
            reason += f", awaiting {names(found.awaited)}"
        cast = vote_rows(vote_summary(given, opened), found.awaited)
        return ProposalResult("nowhere", change.epoch, change.digest, reason, cast)

    async def cancel(self, who: str) -> PolicyChangeRecord | None:
        """Cancel the open change and return it; None if there is none or it was decided meanwhile."""
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
        """Remove a lost member's name; return the reason if it cannot be removed, else an empty string."""
        view = await self.view()
        if any(member.name == name for _, member in view.members()):
            return f"{name} is there"
        key = view.keys.known_member(name)
        if key not in view.entries:
            return f"no such member: {name}"
        await self.retry(lambda: self.client.do(Delete(key)))
        return ""

    async def files(self, digest: str) -> dict[str, str]:
        """Return the files of a stored bundle; raises BundleError if it is missing or invalid."""
        at = self.keys
        _, found = await self.retry(lambda: self.client.get(Get(*at.bundle(digest))))
        return policy_bundle.assemble(digest, (kv.value for kv in found))


def status(view: StoreCache) -> dict[str, Any]:
    """Return the policy, the open change and the members' states, as `policy status` shows them."""
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
    """Return the stored committed epochs, in order."""
    return [
        {"epoch": one.epoch, "digest": one.digest, "who": one.who, "why": one.why, "at": one.at}
        for _, one in view.records("policy", "history", form=PolicyRecord)
    ]
