"""A member's part in changes of policy: what the store says goes to the table, and the table's actions are
carried out beside the serving loop, which learns of a new policy by `take` and of its right by the gate."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from gladegw.control import policy_bundle
from gladegw.control.backoff import Backoff
from gladegw.control.errors import RefusedByStore, StoreFault
from gladegw.control.policy_bundle import BundleError
from gladegw.coordination import policy_commit, rollout
from gladegw.coordination.lease import MAX_CLOCK_DRIFT
from gladegw.coordination.policy_commit import Action, CommittedPolicy, OpenChange, Participant, Phase
from gladegw.coordination.records import (
    BundleAttemptsRecord,
    PolicyChangeRecord,
    PolicyRecord,
    VoteRecord,
    decode,
    encode,
)
from gladegw.coordination.records import MemberRecord as MemberRecord
from gladegw.coordination.serving_lease import ServingLease
from gladegw.coordination.store import Compare, Delete, Get, KeyValue, Put, Target, Txn

if TYPE_CHECKING:
    from gladegw.control.member import Agent

log = logging.getLogger(__name__)

REFUSE, SERVE = "refuse", "serve"
TICK = 0.2  # s between two extensions of the gate
STOOD = 1.0  # s without one after which the store is asked first
SURE = 5.0  # s of serving by a bundle after which it counts as survived
MOST_TRIES = 2  # deaths with a bundle, after which it is not tried again for
CAUTION = 60  # s, by the store's clock
STUCK_FOR = 5.0  # s until what is in force and could not be prepared is tried again
ENDED = "ended"  # of processes of this name, with a bundle that they had begun
AGAIN = 0.2  # s until what the store did not answer is tried again

Prepare = Callable[[Mapping[str, str]], Any]  # files to what `take` gets; raises ValueError; in a thread
Take = Callable[[int, str, Any, Callable[[], None]], None]  # epoch, digest, what was prepared, done
Agreed = Callable[[int, str, Any], None]  # epoch, digest, what was prepared; without: no more


@dataclass(frozen=True, slots=True)
class Carrier:
    """What the serving side does."""

    prepare: Prepare
    take: Take
    gate: ServingLease
    when_cut_off: str = SERVE
    agreed: Agreed = lambda epoch, digest, ready: None


def own(record: PolicyRecord | PolicyChangeRecord, name: str) -> tuple[str, str]:
    """The bundle that a member of this name serves by, and that of the others where it is in a stage."""
    mine = rollout.digest_for(name, record.digest, record.new, record.named)
    return mine, record.digest if mine != record.digest else ""


def word(
    force: KeyValue | None, change: KeyValue | None, name: str
) -> tuple[CommittedPolicy, OpenChange | None, PolicyRecord]:
    """The store's records as the tables of this member want them; raises RecordError."""
    told = decode(force.value, PolicyRecord) if force is not None else PolicyRecord(epoch=0, digest="")
    asked = decode(change.value, PolicyChangeRecord) if change is not None else None
    opened = None
    if change is not None and asked is not None:
        opened = OpenChange(change.create_revision, asked.epoch, *own(asked, name))
    return CommittedPolicy(told.epoch, *own(told, name)), opened, told


class Policies:
    def __init__(self, agent: Agent, carrier: Carrier) -> None:
        self.agent, self.carrier, self.keys = agent, carrier, agent.keys
        self.member = Participant()
        self.ready: dict[str, Any] = {}  # what was prepared, by digest
        self.begun: set[str] = set()  # digests whose count of tries stands in the store for this process
        self.in_use = -1  # epoch that the serving loop works by
        self.confirmed = -math.inf  # until when what is in force is known for certain
        self.ticked = -math.inf
        self.working: set[asyncio.Task[None]] = set()
        self.retry: asyncio.TimerHandle | None = None  # of what could not be prepared
        self.unsigned = 0.0  # s that a stage is served by without a sign; 0: for ever
        self.sign, self.signed = 0, -math.inf  # the newest sign's revision, and when it was heard

    # the store's word
    def heard(self) -> None:
        """The view has changed."""
        view, keys = self.agent.view, self.keys
        force, change, sign = (view.keys.get(key) for key in (keys.force, keys.change, keys.sign))
        self._word(force, change, sign, view.to(keys.policy))

    def _word(
        self, force: KeyValue | None, change: KeyValue | None, sign: KeyValue | None, revision: int
    ) -> None:
        """Who does not serve yet heeds words from its registration on alone, so that whoever decides counts
        it or it has read the decision. Who serves heeds each: it may be what ends that."""
        agent = self.agent
        if not (self.member.joined or (agent.registered and revision >= agent.registered_at)):
            return
        try:
            told, opened, record = word(force, change, agent.name)
        except ValueError as fault:
            self.agent.trouble(f"policy: {fault}")
            return
        if sign is not None and sign.mod_revision > self.sign:
            self.sign, self.signed = sign.mod_revision, agent.clock()
        if told.epoch > self.member.epoch:
            self.unsigned, self.signed = float(record.confirm_s), agent.clock()
        if told.epoch < self.member.epoch:
            self.agent.trouble(f"policy: epoch {told.epoch} in the store after {self.member.epoch}")
        self._act(*policy_commit.on_store_update(self.member, told, opened, revision))

    def rejoined(self) -> None:
        goes_on = self.carrier.when_cut_off == SERVE
        self._act(policy_commit.on_rejoin(self.member, goes_on), (Action.DISCARD_PREPARED,))

    async def confirm(self) -> None:
        """A linearizable read; raises StoreFault."""
        sent = self.agent.clock()
        revision, found = await self.agent.client.get(Get(*self.keys.policy))
        self.agent.reached.set()
        by_key = {kv.key: kv for kv in found}
        keys = self.keys
        force, change, sign = (by_key.get(key) for key in (keys.force, keys.change, keys.sign))
        self._word(force, change, sign, revision)
        if self.agent.registered and self.member.may_serve:
            self.confirmed = sent + self.agent.ttl * (1 - MAX_CLOCK_DRIFT)

    # actions
    def _act(self, member: Participant, actions: tuple[Action, ...]) -> None:
        before, self.member = self.member, member
        if Action.VOTE_YES in actions:  # nothing is decided before this vote is there, so until now it knows
            self.confirmed = max(self.confirmed, self.agent.clock() + self.agent.ttl * (1 - MAX_CLOCK_DRIFT))
        for action in actions:
            if action is Action.PREPARE:
                self._task(self._prepare(member.preparing))
            elif action is Action.ACTIVATE:
                self._take(member.epoch, member.digest)
            elif action is Action.PREPARE_FALLBACK:
                self._task(self._spared(member.committed.baseline))
            elif action is Action.DISCARD_PREPARED:
                self.carrier.agreed(member.epoch, "", None)
                kept = (member.digest, member.fallback)
                self.ready = {digest: one for digest, one in self.ready.items() if digest in kept}
            else:
                if (
                    action is Action.VOTE_YES and member.open_change is not None
                ):  # others may serve by it from here on
                    change = member.open_change
                    self.carrier.agreed(change.epoch, change.fleet_digest, self.ready[member.prepared])
                self._task(self._vote(action is Action.VOTE_YES, ""))
        for digest in self.begun - {member.preparing, member.prepared, member.digest, member.fallback}:
            self._task(self._survived(digest, 0.0))
        if before.phase is not member.phase:
            log.info("policy: %s, epoch %d", member.phase.value, member.epoch)
        self._extend()

    def _task(self, work: Any) -> None:
        task = self.agent.loop.create_task(work)
        self.working.add(task)
        task.add_done_callback(self.working.discard)

    async def _prepare(self, digest: str) -> None:
        reason = ""
        try:
            found = await self._fetched(digest)
            if found is None:
                return
            files = policy_bundle.whole(digest, (kv.value for kv in found))
            self.ready[digest] = await asyncio.to_thread(self.carrier.prepare, files)
        except ValueError as fault:  # also what is wrong with a bundle or its routes
            reason = " ".join(str(fault).split()) or type(fault).__name__
        except Exception as fault:
            log.exception("policy: %s could not be prepared", digest)
            reason = f"{type(fault).__name__}: {fault}"
        if reason:
            log.warning("policy: %s can't be prepared: %s", digest, reason)
        after, actions = policy_commit.on_prepare_result(self.member, digest, not reason)
        if Action.VOTE_NO in actions:
            self.member = after
            self._extend()
            await self._vote(False, reason)
        else:
            self._act(after, actions)
        if self.member.phase is Phase.PREPARE_FAILED:
            if self.retry is not None:
                self.retry.cancel()
            self.retry = self.agent.loop.call_later(STUCK_FOR, self._again)

    def _again(self) -> None:
        self.retry = None
        self._act(*policy_commit.retry_prepare(self.member))

    async def _fetched(self, digest: str) -> tuple[KeyValue, ...] | None:
        """The bundle's pieces; None: it is wanted no more. In the same transaction this process's try is
        counted in the store, before anything of the bundle is touched; raises BundleError where processes of
        this name have died with it too often lately."""
        agent, key = self.agent, self.keys.tries(digest, self.agent.name)
        pieces = Get(*self.keys.bundle(digest))
        lease = count = revision = 0  # what stands in the store, as far as it is known
        backoff = Backoff(agent.draws)
        while self.member.preparing == digest:
            try:
                if digest in self.begun:
                    return (await agent.client.get(pieces))[1]
                lease = lease or (await agent.client.grant(CAUTION))[0]
                tried = Put(key, encode(BundleAttemptsRecord(count=count + 1, last=agent.incarnation)), lease)
                as_known = Compare(key, Target.MOD, "=", revision)
                done = await agent.client.txn(Txn((as_known,), (tried, pieces), (Get(key), pieces)))
            except StoreFault as fault:
                if isinstance(fault, RefusedByStore):
                    lease = 0  # it may have run out meanwhile
                agent.trouble(f"policy: bundle {digest}: {fault}")
                await asyncio.sleep(backoff.next())
                continue
            stands = () if done.succeeded else done.found[0]
            before = (
                decode(stands[0].value, BundleAttemptsRecord) if stands else BundleAttemptsRecord(count=0)
            )
            if done.succeeded or before.last == agent.incarnation:
                self.begun.add(digest)
                return done.found[1]
            if before.count >= MOST_TRIES:
                raise BundleError(f"{ENDED} {before.count} times with bundle {digest}")
            count, revision = before.count, stands[0].mod_revision if stands else 0
        return None

    async def _spared(self, digest: str) -> None:
        """The way back of one that began within a stage: with the store gone by then, there is no other."""
        while self.member.committed.baseline == digest and self.member.fallback != digest:
            try:
                _, found = await self.agent.client.get(Get(*self.keys.bundle(digest)))
                files = policy_bundle.whole(digest, (kv.value for kv in found))
                ready = await asyncio.to_thread(self.carrier.prepare, files)
            except StoreFault as fault:
                self.agent.trouble(f"policy: bundle {digest}: {fault}")
                await asyncio.sleep(AGAIN)
            except Exception as fault:
                log.warning("policy: no way back from the stage is held: %s", " ".join(str(fault).split()))
                return
            else:
                self.ready[digest] = ready
                self.member = policy_commit.on_fallback_prepared(self.member, digest)
                return

    async def _survived(self, digest: str, after: float) -> None:
        await asyncio.sleep(after)
        if digest not in self.begun or digest in (self.member.preparing, self.member.prepared):
            return
        self.begun.discard(digest)
        try:
            await self.agent.client.do(Delete(self.keys.tries(digest, self.agent.name)))
        except StoreFault as fault:
            self.agent.trouble(f"policy: bundle {digest}: {fault}")

    async def _vote(self, yes: bool, reason: str) -> None:
        """Sent again until it is there or the change is over; a vote that came through twice is one."""
        change = self.member.open_change
        while change is not None and self.member.open_change == change:
            agent = self.agent
            if not agent.registered:  # a vote stands under the lease, and ends with it
                await asyncio.sleep(AGAIN)
                continue
            ballot = VoteRecord(change=change.id, digest=change.digest, yes=yes, reason=reason)
            key = self.keys.vote(agent.name, agent.incarnation)
            try:
                await agent.client.do(Put(key, encode(ballot), agent.lease.id))
                return
            except StoreFault as fault:
                agent.trouble(f"policy: vote: {fault}")
                await asyncio.sleep(AGAIN)

    def _take(self, epoch: int, digest: str) -> None:
        agent = self.agent

        def done() -> None:  # on the serving loop
            agent.loop.call_soon_threadsafe(self._taken, epoch, digest)

        log.warning("policy: epoch %d (%s) takes hold", epoch, digest or "the own file")
        self.carrier.take(epoch, self.member.committed.fleet_digest, self.ready.get(digest), done)
        if digest:
            self._task(self._survived(digest, SURE))

    def _taken(self, epoch: int, digest: str) -> None:
        if epoch < self.in_use:
            return
        self.in_use = epoch
        agent = self.agent
        agent.member = msgspec.structs.replace(agent.member, epoch=epoch, digest=digest)
        self._task(agent.tell())
        self._extend()

    # the right to serve
    def _extend(self) -> None:
        gate, member, now = self.carrier.gate, self.member, self.agent.clock()
        if not member.may_serve:
            gate.close()
        elif self.in_use == member.epoch and now < self.ticked + STOOD:
            until = now + STOOD
            if self.carrier.when_cut_off == REFUSE or policy_commit.in_doubt(member):
                until = min(until, self.agent.lease.until, self.confirmed)
            gate.until = until

    async def run(self) -> None:
        """Extends the gate as long as this process runs. After it stood still the store is asked first."""
        while True:
            now = self.agent.clock()
            refuse = self.carrier.when_cut_off == REFUSE or policy_commit.in_doubt(self.member)
            if now > self.ticked + STOOD:
                options = self.agent.options
                await self._asked((1 + len(options.endpoints)) * options.timeout)
            elif refuse and now > self.confirmed - self.agent.ttl / 2:
                await self._asked(0.0)
            self.ticked = self.agent.clock()
            if self.unsigned and self.member.committed.baseline and self.ticked > self.signed + self.unsigned:
                after, actions = policy_commit.revert_unconfirmed(self.member)
                if actions:
                    log.warning("policy: no sign of the rollout for %.0f s: back by itself", self.unsigned)
                self._act(after, actions)
            self._extend()
            await asyncio.sleep(TICK)

    async def _asked(self, patience: float) -> None:
        """Once at least, and until the store has answered: right after a standstill calls of before it fail
        and take the connection with them. If the process stood still again meanwhile, all of it anew."""
        clock, timeout = self.agent.clock, self.agent.options.timeout
        until = clock() + patience
        while True:
            began = clock()
            try:
                await self.confirm()
                return
            except StoreFault as fault:
                self.agent.trouble(f"policy: {fault}")
            if clock() > began + timeout + STOOD:
                until = clock() + max(patience, timeout)
            elif clock() >= until:
                return
            await asyncio.sleep(TICK / 4)

    def stop(self) -> None:
        for task in self.working:
            task.cancel()
        if self.retry is not None:
            self.retry.cancel()


def state(member: MemberRecord, force: PolicyRecord) -> str:
    """What `policy status` says of a member."""
    if member.epoch < 0:
        return "unknown"
    if member.epoch != force.epoch:
        return "behind"
    return "in force" if not force.named or member.digest == own(force, member.name)[0] else "went back"


__all__ = ["REFUSE", "SERVE", "Carrier", "Phase", "Policies", "state", "word"]
