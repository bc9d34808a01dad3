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
OUTCOME_GRACE_S = 5.0  # time after the deadline in which the store expires the lease of the change
RETRY_INTERVAL_S = 0.2


@dataclass(slots=True)
class ProposalResult:
    """Outcome of a proposal; each of `votes` has the keys member, vote and reason."""

    outcome: str
    epoch: int
    digest: str
    reason: str = ""
    votes: list[dict[str, str]] = field(default_factory=list)


def vote_rows(
    cast_votes: Mapping[str, Mapping[str, str]], awaited: tuple[str, ...] = ()
) -> list[dict[str, str]]:
    """Return votes and awaited votes as rows, sorted by member."""
    rows = [
        {"member": process.partition("#")[0], "vote": vote["vote"], "reason": vote["reason"]}
        for process, vote in cast_votes.items()
    ]
    rows += [{"member": process.partition("#")[0], "vote": "awaited", "reason": ""} for process in awaited]
    return sorted(rows, key=lambda row: (row["member"], row["vote"]))


def member_names(processes: tuple[str, ...]) -> str:
    """Return the member names of processes (`name#incarnation`), separated by commas."""
    return ", ".join(sorted({process.partition("#")[0] for process in processes}))


def committed_policy(view: StoreCache) -> PolicyRecord:
    """Return the committed policy, or a record of epoch 0 if there is none."""
    return view.read(view.keys.committed_policy, PolicyRecord) or PolicyRecord(epoch=0, digest="")


class PolicyOperator:
    """Operator's access to the policies of one installation.

    Idempotent calls are retried for `timeout` seconds; then StoreClientError is raised.
    """

    def __init__(self, client: StoreClient, prefix: str, timeout: float = 5.0) -> None:
        self.client, self.prefix, self.timeout = client, prefix, timeout
        self.keys = Keys(prefix)

    async def retry(self, call: Callable[[], Awaitable[T]]) -> T:
        """Retry an idempotent call until the store has answered or `timeout` has passed."""
        deadline = time.monotonic() + self.timeout
        while True:
            try:
                return await call()
            except StoreRejectedError:
                raise
            except StoreClientError:
                if time.monotonic() > deadline:
                    raise
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def view(self) -> StoreCache:
        """Read the fleet's records from the store."""
        return await self.retry(lambda: read(self.client, self.prefix))

    async def upload(self, files: Mapping[str, str]) -> str:
        """Store a bundle and return its digest; chunks that exist already are identical and not rewritten."""
        raw = policy_bundle.pack(files)
        digest = policy_bundle.digest_of(raw)
        keys = self.keys
        for number, chunk in enumerate(policy_bundle.split_chunks(raw)):
            key = keys.bundle_chunk(digest, number)
            put = Txn((Compare(key, Target.CREATE, "=", 0),), (Put(key, chunk),))
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
        committed, keys = committed_policy(view), view.keys
        rollout = view.read(keys.rollout, RolloutRecord)
        if rollout is not None:
            raise ChangeRejectedError(
                f"rollout {rollout.id} is under way: wait for its end, or `rollout back`"
            )
        change = PolicyChangeRecord(
            id=secrets.token_hex(8),
            epoch=committed.epoch + 1,
            digest=digest,
            everyone=everyone,
            dry=dry,
            members=tuple(sorted(registered(view))),
            who=who,
            why=why,
            at=time.time(),
        )
        lease, _ = await self.retry(lambda: self.client.grant(deadline))
        kv = view.entries.get(keys.committed_policy)
        compares = (
            Compare(keys.open_change, Target.CREATE, "=", 0),
            Compare(keys.bundle_chunk(digest, 0), Target.CREATE, ">", 0),
            Compare(keys.committed_policy, Target.MOD, "=", kv.mod_revision if kv is not None else 0),
        )
        try:
            result = await self.client.txn(Txn(compares, (Put(keys.open_change, encode(change), lease),)))
            is_open = result.succeeded
        except StoreClientError:  # the outcome is unknown: read it
            stored_change = (await self.view()).read(keys.open_change, PolicyChangeRecord)
            is_open = stored_change is not None and stored_change.id == change.id
        if not is_open:
            await self.retry(lambda: self.client.revoke(lease))
            other_change = (await self.view()).read(keys.open_change, PolicyChangeRecord)
            if other_change is None:
                raise ChangeRejectedError(
                    "what is in force, or the bundle in the store, has changed meanwhile"
                )
            raise ChangeRejectedError(f"change {other_change.id} of {other_change.who or 'somebody'} is open")
        return change

    async def outcome(self, change: PolicyChangeRecord, deadline: int) -> ProposalResult:
        """Wait until the change is decided, cancelled or expired.

        Only two keys are polled, to keep the load on the store low while the members process the change.
        """
        keys, end = self.keys, time.monotonic() + deadline + OUTCOME_GRACE_S
        create_revision = 0  # of the change; 0 until it was read
        while True:
            result = await self.retry(
                lambda: self.client.do(Get(keys.change_outcome(change.id)), Get(keys.open_change))
            )
            outcome_entries, open_entries = result.found
            if outcome_entries:
                record = decode(outcome_entries[0].value, ChangeOutcomeRecord)
                rows = vote_rows(record.votes)
                return ProposalResult(record.outcome, change.epoch, change.digest, record.reason, rows)
            open_change = decode(open_entries[0].value, PolicyChangeRecord) if open_entries else None
            if open_change is not None and open_change.id == change.id:
                create_revision = open_entries[0].create_revision
            else:
                return await self._undecided(change, create_revision, "its deadline passed")
            if time.monotonic() > end:
                return await self._undecided(change, create_revision, "the store did not end it")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _undecided(
        self, change: PolicyChangeRecord, create_revision: int, reason: str
    ) -> ProposalResult:
        """Build the result of a change that ended without an outcome record."""
        view = await self.view()
        decision, cast_votes = current_decision(view, change, create_revision)
        if decision.awaited:
            reason += f", awaiting {member_names(decision.awaited)}"
        rows = vote_rows(vote_summary(cast_votes, create_revision), decision.awaited)
        return ProposalResult("nowhere", change.epoch, change.digest, reason, rows)

    async def cancel(self, who: str) -> PolicyChangeRecord | None:
        """Cancel the open change and return it; None if no change is open or it was decided meanwhile."""
        view = await self.view()
        kv, change = (
            view.entries.get(view.keys.open_change),
            view.read(view.keys.open_change, PolicyChangeRecord),
        )
        if kv is None or change is None:
            return None
        outcome = ChangeOutcomeRecord(
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
        result = await self.client.txn(
            Txn(
                (Compare(view.keys.open_change, Target.MOD, "=", kv.mod_revision),),
                (Delete(view.keys.open_change), Put(view.keys.change_outcome(change.id), encode(outcome))),
            )
        )
        return change if result.succeeded else None

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
        keys = self.keys
        _, chunks = await self.retry(lambda: self.client.get(Get(*keys.bundle(digest))))
        return policy_bundle.assemble(digest, (kv.value for kv in chunks))


def status(view: StoreCache) -> dict[str, Any]:
    """Return the policy, the open change and the members' states, as `policy status` shows them."""
    committed = committed_policy(view)
    kv, change = view.entries.get(view.keys.open_change), view.read(view.keys.open_change, PolicyChangeRecord)
    open_change = None
    if kv is not None and change is not None:
        decision, cast_votes = current_decision(view, change, kv.create_revision)
        open_change = {
            "id": change.id,
            "epoch": change.epoch,
            "digest": change.digest,
            "who": change.who,
            "why": change.why,
            "dry": change.dry,
            "reason": decision.reason,
            "votes": vote_rows(vote_summary(cast_votes, kv.create_revision), decision.awaited),
        }
    members = [
        {"name": member.name, "epoch": member.epoch, "state": member_state(member, committed)}
        for _, member in view.members()
    ]
    members += [
        {"name": known.name, "epoch": -1, "state": "missing"}
        for known in view.missing_members()
        if not known.left
    ]
    return {
        "epoch": committed.epoch,
        "digest": committed.digest,
        "who": committed.who,
        "why": committed.why,
        "change": open_change,
        "members": sorted(members, key=lambda member: str(member["name"])),
    }


def history(view: StoreCache) -> list[dict[str, Any]]:
    """Return the committed policies in the stored history, by epoch."""
    return [
        {"epoch": past.epoch, "digest": past.digest, "who": past.who, "why": past.why, "at": past.at}
        for _, past in view.records("policy", "history", form=PolicyRecord)
    ]
