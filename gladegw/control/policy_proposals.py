"""What an operator does with policies: propose, look, call off, remove who is gone for good."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from gladegw.control import policy_bundle
from gladegw.control.duties.policy_coordinator import looked, registered, told, votes
from gladegw.control.errors import RefusedByStore, StoreFault
from gladegw.control.fleet_status import read
from gladegw.control.keys import Keys
from gladegw.control.policy_participant import state
from gladegw.control.store_cache import View
from gladegw.control.store_client import Client
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
LOOK = 0.02  # s between looks at what became of a change
OVER = 5.0  # s beyond its deadline in which the store has ended it
RETRY = 0.2  # s


@dataclass(slots=True)
class Result:
    """`votes`: member, vote, reason."""

    outcome: str
    epoch: int
    digest: str
    reason: str = ""
    votes: list[dict[str, str]] = field(default_factory=list)


def ballots(cast: Mapping[str, Mapping[str, str]], awaited: tuple[str, ...] = ()) -> list[dict[str, str]]:
    found = [
        {"member": who.partition("#")[0], "vote": one["vote"], "reason": one["reason"]}
        for who, one in cast.items()
    ]
    found += [{"member": who.partition("#")[0], "vote": "awaited", "reason": ""} for who in awaited]
    return sorted(found, key=lambda one: (one["member"], one["vote"]))


def names(whom: tuple[str, ...]) -> str:
    return ", ".join(sorted({who.partition("#")[0] for who in whom}))


def in_force(view: View) -> PolicyRecord:
    return view.read(view.at.force, PolicyRecord) or PolicyRecord(epoch=0, digest="")


class Operator:
    """One store, asked until it answers or `patience` s have passed; then StoreFault is raised."""

    def __init__(self, client: Client, prefix: str, patience: float = 5.0) -> None:
        self.client, self.prefix, self.patience = client, prefix, patience
        self.keys = Keys(prefix)

    async def again(self, ask: Callable[[], Awaitable[T]]) -> T:
        """What does no harm when it is done twice, until the store has answered."""
        end = time.monotonic() + self.patience
        while True:
            try:
                return await ask()
            except RefusedByStore:
                raise
            except StoreFault:
                if time.monotonic() > end:
                    raise
                await asyncio.sleep(RETRY)

    async def view(self) -> View:
        return await self.again(lambda: read(self.client, self.prefix))

    async def send(self, files: Mapping[str, str]) -> str:
        """The bundle into the store; its digest. What is there already is left: it can only be the same."""
        raw = policy_bundle.packed(files)
        digest = policy_bundle.digest_of(raw)
        at = self.keys
        for number, piece in enumerate(policy_bundle.pieces(raw)):
            key = at.piece(digest, number)
            put = Txn((Compare(key, Target.CREATE, "=", 0),), (Put(key, piece),))
            await self.again(lambda put=put: self.client.txn(put))  # type: ignore[misc]
        return digest

    async def propose(
        self, digest: str, deadline: int, everyone: bool, who: str, why: str, dry: bool
    ) -> PolicyChangeRecord:
        """Raises ValueError where another change is open, StoreFault where the store does not say."""
        view = await self.view()
        force, at = in_force(view), view.at
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
        lease, _ = await self.again(lambda: self.client.grant(deadline))
        kv = view.keys.get(at.force)
        compares = (
            Compare(at.change, Target.CREATE, "=", 0),
            Compare(at.piece(digest, 0), Target.CREATE, ">", 0),
            Compare(at.force, Target.MOD, "=", kv.mod_revision if kv is not None else 0),
        )
        try:
            done = await self.client.txn(Txn(compares, (Put(at.change, encode(change), lease),)))
            taken = done.succeeded
        except StoreFault:  # whether it was done is asked
            found = (await self.view()).read(at.change, PolicyChangeRecord)
            taken = found is not None and found.id == change.id
        if not taken:
            await self.again(lambda: self.client.revoke(lease))
            open_one = (await self.view()).read(at.change, PolicyChangeRecord)
            if open_one is None:
                raise ValueError("what is in force, or the bundle in the store, has changed meanwhile")
            raise ValueError(f"change {open_one.id} of {open_one.who or 'somebody'} is open")
        return change

    async def outcome(self, change: PolicyChangeRecord, deadline: int) -> Result:
        """Waits until it is decided, refused, called off or ended by its lease. Two keys are looked at again
        and again, not the fleet: that is what has to hear of the change meanwhile."""
        at, end = self.keys, time.monotonic() + deadline + OVER
        opened = 0  # its revision, once it was seen
        while True:
            done = await self.again(lambda: self.client.do(Get(at.ended(change.id)), Get(at.change)))
            ended, stands = done.found
            if ended:
                told_of = decode(ended[0].value, ChangeOutcomeRecord)
                cast = ballots(told_of.votes)
                return Result(told_of.outcome, change.epoch, change.digest, told_of.reason, cast)
            open_one = decode(stands[0].value, PolicyChangeRecord) if stands else None
            if open_one is not None and open_one.id == change.id:
                opened = stands[0].create_revision
            else:
                return await self._unended(change, opened, "its deadline passed")
            if time.monotonic() > end:
                return await self._unended(change, opened, "the store did not end it")
            await asyncio.sleep(LOOK)

    async def _unended(self, change: PolicyChangeRecord, opened: int, reason: str) -> Result:
        """Nowhere, and nobody has written why: what is known of its votes."""
        view = await self.view()
        found, given = looked(view, change, opened)
        if found.awaited:
            reason += f", awaiting {names(found.awaited)}"
        cast = ballots(told(given, opened), found.awaited)
        return Result("nowhere", change.epoch, change.digest, reason, cast)

    async def call_off(self, who: str) -> PolicyChangeRecord | None:
        """None: there is none, or it was decided meanwhile."""
        view = await self.view()
        kv, change = view.keys.get(view.at.change), view.read(view.at.change, PolicyChangeRecord)
        if kv is None or change is None:
            return None
        ended = ChangeOutcomeRecord(
            id=change.id,
            epoch=change.epoch,
            digest=change.digest,
            outcome="nowhere",
            reason=f"called off by {who}",
            votes=told(votes(view), kv.create_revision),
            who=change.who,
            why=change.why,
            at=time.time(),
        )
        done = await self.client.txn(
            Txn(
                (Compare(view.at.change, Target.MOD, "=", kv.mod_revision),),
                (Delete(view.at.change), Put(view.at.ended(change.id), encode(ended))),
            )
        )
        return change if done.succeeded else None

    async def remove(self, name: str) -> str:
        """Why not; empty: the name is forgotten, and nothing waits for it any more."""
        view = await self.view()
        if any(member.name == name for _, member in view.members()):
            return f"{name} is there"
        key = view.at.known(name)
        if key not in view.keys:
            return f"no such member: {name}"
        await self.again(lambda: self.client.do(Delete(key)))
        return ""

    async def files(self, digest: str) -> dict[str, str]:
        """Raises BundleError."""
        at = self.keys
        _, found = await self.again(lambda: self.client.get(Get(*at.bundle(digest))))
        return policy_bundle.whole(digest, (kv.value for kv in found))


def status(view: View) -> dict[str, Any]:
    force = in_force(view)
    kv, change = view.keys.get(view.at.change), view.read(view.at.change, PolicyChangeRecord)
    open_one = None
    if kv is not None and change is not None:
        found, cast = looked(view, change, kv.create_revision)
        open_one = {
            "id": change.id,
            "epoch": change.epoch,
            "digest": change.digest,
            "who": change.who,
            "why": change.why,
            "dry": change.dry,
            "reason": found.reason,
            "votes": ballots(told(cast, kv.create_revision), found.awaited),
        }
    members = [
        {"name": member.name, "epoch": member.epoch, "state": state(member, force)}
        for _, member in view.members()
    ]
    members += [
        {"name": known.name, "epoch": -1, "state": "missing"} for known in view.missing() if not known.left
    ]
    return {
        "epoch": force.epoch,
        "digest": force.digest,
        "who": force.who,
        "why": force.why,
        "change": open_one,
        "members": sorted(members, key=lambda one: str(one["name"])),
    }


def history(view: View) -> list[dict[str, Any]]:
    return [
        {"epoch": one.epoch, "digest": one.digest, "who": one.who, "why": one.why, "at": one.at}
        for _, one in view.records("policy", "history", form=PolicyRecord)
    ]
