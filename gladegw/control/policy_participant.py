"""A member's part in changes of policy: what the store says goes to the table, and the table's actions are
carried out beside the serving loop, which learns of a new policy by `take` and of its right by the gate."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from gladegw.control import policy_bundle
from gladegw.control.backoff import Backoff
from gladegw.control.errors import StoreClientError, StoreRejectedError
from gladegw.control.interfaces import ParticipantHost
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

log = logging.getLogger(__name__)

REFUSE, SERVE = "refuse", "serve"
EXTEND_INTERVAL_S = 0.2  # s between two extensions of the gate
MAX_STALL_S = 1.0  # s without one after which the store is asked first
PROBATION_S = 5.0  # s of serving by a bundle after which it counts as survived
MAX_BUNDLE_ATTEMPTS = 2  # deaths with a bundle, after which it is not tried again for
ATTEMPTS_TTL_S = 60  # s, by the store's clock
PREPARE_RETRY_INTERVAL_S = 5.0  # s until what is in force and could not be prepared is tried again
CRASHED = "ended"  # of processes of this name, with a bundle that they had begun
RETRY_INTERVAL_S = 0.2  # s until what the store did not answer is tried again

Prepare = Callable[[Mapping[str, str]], Any]  # files to what `take` gets; raises ValueError; in a thread
Activate = Callable[[int, str, Any, Callable[[], None]], None]  # epoch, digest, what was prepared, done
OnPrepared = Callable[[int, str, Any], None]  # epoch, digest, what was prepared; without: no more


@dataclass(frozen=True, slots=True)
class ServingHost:
    """What the serving side does."""

    prepare: Prepare
    activate: Activate
    serving_lease: ServingLease
    when_cut_off: str = SERVE
    on_prepared: OnPrepared = lambda epoch, digest, ready: None


def own_digests(record: PolicyRecord | PolicyChangeRecord, name: str) -> tuple[str, str]:
    """The bundle that a member of this name serves by, and that of the others where it is in a stage."""
    mine = rollout.digest_for(name, record.digest, record.new, record.named)
    return mine, record.digest if mine != record.digest else ""


def parse_store_state(
    force: KeyValue | None, change: KeyValue | None, name: str
) -> tuple[CommittedPolicy, OpenChange | None, PolicyRecord]:
    """The store's records as the tables of this member want them; raises RecordError."""
    told = decode(force.value, PolicyRecord) if force is not None else PolicyRecord(epoch=0, digest="")
    asked = decode(change.value, PolicyChangeRecord) if change is not None else None
    opened = None
    if change is not None and asked is not None:
        opened = OpenChange(change.create_revision, asked.epoch, *own_digests(asked, name))
    return CommittedPolicy(told.epoch, *own_digests(told, name)), opened, told


class PolicyParticipant:
    def __init__(self, member: ParticipantHost, host: ServingHost) -> None:
        self.member, self.host, self.keys = member, host, member.keys
        self.state = Participant()
        self.prepared_tables: dict[str, Any] = {}  # what was prepared, by digest
        self.attempted: set[str] = set()  # digests whose count of tries stands in the store for this process
        self.serving_epoch = -1  # epoch that the serving loop works by
        self.confirmed_until = -math.inf  # until when what is in force is known for certain
        self.extended_at = -math.inf
        self.tasks: set[asyncio.Task[None]] = set()
        self.retry_timer: asyncio.TimerHandle | None = None  # of what could not be prepared
        self.heartbeat_timeout = 0.0  # s that a stage is served by without a sign; 0: for ever
        self.heartbeat_revision, self.heartbeat_at = (
            0,
            -math.inf,
        )  # the newest sign's revision, and when it was heard

    # the store's word
    def on_update(self) -> None:
        """The view has changed."""
        view, keys = self.member.cache, self.keys
        force, change, sign = (
            view.entries.get(key) for key in (keys.committed_policy, keys.open_change, keys.rollout_heartbeat)
        )
        self._apply_store_state(force, change, sign, view.known_revision(keys.policy))

    def _apply_store_state(
        self, force: KeyValue | None, change: KeyValue | None, sign: KeyValue | None, revision: int
    ) -> None:
        """Who does not serve yet heeds words from its registration on alone, so that whoever decides counts
        it or it has read the decision. Who serves heeds each: it may be what ends that."""
        agent = self.member
        if not (self.state.joined or (agent.registered and revision >= agent.registered_at)):
            return
        try:
            told, opened, record = parse_store_state(force, change, agent.name)
        except ValueError as fault:
            self.member.log_fault(f"policy: {fault}")
            return
        if sign is not None and sign.mod_revision > self.heartbeat_revision:
            self.heartbeat_revision, self.heartbeat_at = sign.mod_revision, agent.clock()
        if told.epoch > self.state.epoch:
            self.heartbeat_timeout, self.heartbeat_at = float(record.confirm_s), agent.clock()
        if told.epoch < self.state.epoch:
            self.member.log_fault(f"policy: epoch {told.epoch} in the store after {self.state.epoch}")
        self._apply(*policy_commit.on_store_update(self.state, told, opened, revision))

    def on_rejoin(self) -> None:
        goes_on = self.host.when_cut_off == SERVE
        self._apply(policy_commit.on_rejoin(self.state, goes_on), (Action.DISCARD_PREPARED,))

    async def confirm_with_store(self) -> None:
        """A linearizable read; raises StoreFault."""
        sent = self.member.clock()
        revision, found = await self.member.client.get(Get(*self.keys.policy))
        self.member.store_reached.set()
        by_key = {kv.key: kv for kv in found}
        keys = self.keys
        force, change, sign = (
            by_key.get(key) for key in (keys.committed_policy, keys.open_change, keys.rollout_heartbeat)
        )
        self._apply_store_state(force, change, sign, revision)
        if self.member.registered and self.state.may_serve:
            self.confirmed_until = sent + self.member.ttl * (1 - MAX_CLOCK_DRIFT)

    # actions
    def _apply(self, member: Participant, actions: tuple[Action, ...]) -> None:
        before, self.state = self.state, member
        if Action.VOTE_YES in actions:  # nothing is decided before this vote is there, so until now it knows
            self.confirmed_until = max(
                self.confirmed_until, self.member.clock() + self.member.ttl * (1 - MAX_CLOCK_DRIFT)
            )
        for action in actions:
            if action is Action.PREPARE:
                self._spawn(self._prepare(member.preparing))
            elif action is Action.ACTIVATE:
                self._activate(member.epoch, member.digest)
            elif action is Action.PREPARE_FALLBACK:
                self._spawn(self._prepare_fallback(member.committed.baseline))
            elif action is Action.DISCARD_PREPARED:
                self.host.on_prepared(member.epoch, "", None)
                kept = (member.digest, member.fallback)
                self.prepared_tables = {
                    digest: one for digest, one in self.prepared_tables.items() if digest in kept
                }
            else:
                if (
                    action is Action.VOTE_YES and member.open_change is not None
                ):  # others may serve by it from here on
                    change = member.open_change
                    self.host.on_prepared(
                        change.epoch, change.fleet_digest, self.prepared_tables[member.prepared]
                    )
                self._spawn(self._vote(action is Action.VOTE_YES, ""))
        for digest in self.attempted - {member.preparing, member.prepared, member.digest, member.fallback}:
            self._spawn(self._clear_attempts(digest, 0.0))
        if before.phase is not member.phase:
            log.info("policy: %s, epoch %d", member.phase.value, member.epoch)
        self._extend_serving_lease()

    def _spawn(self, work: Any) -> None:
        task = self.member.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _prepare(self, digest: str) -> None:
        reason = ""
        try:
            found = await self._fetch_bundle(digest)
            if found is None:
                return
            files = policy_bundle.assemble(digest, (kv.value for kv in found))
            self.prepared_tables[digest] = await asyncio.to_thread(self.host.prepare, files)
        except ValueError as fault:  # also what is wrong with a bundle or its routes
            reason = " ".join(str(fault).split()) or type(fault).__name__
        except Exception as fault:
            log.exception("policy: %s could not be prepared", digest)
            reason = f"{type(fault).__name__}: {fault}"
        if reason:
            log.warning("policy: %s can't be prepared: %s", digest, reason)
        after, actions = policy_commit.on_prepare_result(self.state, digest, not reason)
        if Action.VOTE_NO in actions:
            self.state = after
            self._extend_serving_lease()
            await self._vote(False, reason)
        else:
            self._apply(after, actions)
        if self.state.phase is Phase.PREPARE_FAILED:
            if self.retry_timer is not None:
                self.retry_timer.cancel()
            self.retry_timer = self.member.loop.call_later(PREPARE_RETRY_INTERVAL_S, self._retry_prepare)

    def _retry_prepare(self) -> None:
        self.retry_timer = None
        self._apply(*policy_commit.retry_prepare(self.state))

    async def _fetch_bundle(self, digest: str) -> tuple[KeyValue, ...] | None:
        """The bundle's pieces; None: it is wanted no more. In the same transaction this process's try is
        counted in the store, before anything of the bundle is touched; raises BundleError where processes of
        this name have died with it too often lately."""
        agent, key = self.member, self.keys.bundle_attempts(digest, self.member.name)
        pieces = Get(*self.keys.bundle(digest))
        lease = count = revision = 0  # what stands in the store, as far as it is known
        backoff = Backoff(agent.random)
        while self.state.preparing == digest:
            try:
                if digest in self.attempted:
                    return (await agent.client.get(pieces))[1]
                lease = lease or (await agent.client.grant(ATTEMPTS_TTL_S))[0]
                tried = Put(key, encode(BundleAttemptsRecord(count=count + 1, last=agent.incarnation)), lease)
                as_known = Compare(key, Target.MOD, "=", revision)
                done = await agent.client.txn(Txn((as_known,), (tried, pieces), (Get(key), pieces)))
            except StoreClientError as fault:
                if isinstance(fault, StoreRejectedError):
                    lease = 0  # it may have run out meanwhile
                agent.log_fault(f"policy: bundle {digest}: {fault}")
                await asyncio.sleep(backoff.next_delay())
                continue
            stands = () if done.succeeded else done.found[0]
            before = (
                decode(stands[0].value, BundleAttemptsRecord) if stands else BundleAttemptsRecord(count=0)
            )
            if done.succeeded or before.last == agent.incarnation:
                self.attempted.add(digest)
                return done.found[1]
            if before.count >= MAX_BUNDLE_ATTEMPTS:
                raise BundleError(f"{CRASHED} {before.count} times with bundle {digest}")
            count, revision = before.count, stands[0].mod_revision if stands else 0
        return None

    async def _prepare_fallback(self, digest: str) -> None:
        """The way back of one that began within a stage: with the store gone by then, there is no other."""
        while self.state.committed.baseline == digest and self.state.fallback != digest:
            try:
                _, found = await self.member.client.get(Get(*self.keys.bundle(digest)))
                files = policy_bundle.assemble(digest, (kv.value for kv in found))
                ready = await asyncio.to_thread(self.host.prepare, files)
            except StoreClientError as fault:
                self.member.log_fault(f"policy: bundle {digest}: {fault}")
                await asyncio.sleep(RETRY_INTERVAL_S)
            except Exception as fault:
                log.warning("policy: no way back from the stage is held: %s", " ".join(str(fault).split()))
                return
            else:
                self.prepared_tables[digest] = ready
                self.state = policy_commit.on_fallback_prepared(self.state, digest)
                return

    async def _clear_attempts(self, digest: str, after: float) -> None:
        await asyncio.sleep(after)
        if digest not in self.attempted or digest in (self.state.preparing, self.state.prepared):
            return
        self.attempted.discard(digest)
        try:
            await self.member.client.do(Delete(self.keys.bundle_attempts(digest, self.member.name)))
        except StoreClientError as fault:
            self.member.log_fault(f"policy: bundle {digest}: {fault}")

    async def _vote(self, yes: bool, reason: str) -> None:
        """Sent again until it is there or the change is over; a vote that came through twice is one."""
        change = self.state.open_change
        while change is not None and self.state.open_change == change:
            agent = self.member
            if not agent.registered:  # a vote stands under the lease, and ends with it
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            ballot = VoteRecord(change=change.id, digest=change.digest, yes=yes, reason=reason)
            key = self.keys.vote(agent.name, agent.incarnation)
            try:
                await agent.client.do(Put(key, encode(ballot), agent.lease.id))
                return
            except StoreClientError as fault:
                agent.log_fault(f"policy: vote: {fault}")
                await asyncio.sleep(RETRY_INTERVAL_S)

    def _activate(self, epoch: int, digest: str) -> None:
        agent = self.member

        def done() -> None:  # on the serving loop
            agent.loop.call_soon_threadsafe(self._on_activated, epoch, digest)

        log.warning("policy: epoch %d (%s) takes hold", epoch, digest or "the own file")
        self.host.activate(epoch, self.state.committed.fleet_digest, self.prepared_tables.get(digest), done)
        if digest:
            self._spawn(self._clear_attempts(digest, PROBATION_S))

    def _on_activated(self, epoch: int, digest: str) -> None:
        if epoch < self.serving_epoch:
            return
        self.serving_epoch = epoch
        agent = self.member
        agent.record = msgspec.structs.replace(agent.record, epoch=epoch, digest=digest)
        self._spawn(agent.publish_record())
        self._extend_serving_lease()

    # the right to serve
    def _extend_serving_lease(self) -> None:
        gate, member, now = self.host.serving_lease, self.state, self.member.clock()
        if not member.may_serve:
            gate.close()
        elif self.serving_epoch == member.epoch and now < self.extended_at + MAX_STALL_S:
            until = now + MAX_STALL_S
            if self.host.when_cut_off == REFUSE or policy_commit.in_doubt(member):
                until = min(until, self.member.lease.until, self.confirmed_until)
            gate.until = until

    async def run(self) -> None:
        """Extends the gate as long as this process runs. After it stood still the store is asked first."""
        while True:
            now = self.member.clock()
            refuse = self.host.when_cut_off == REFUSE or policy_commit.in_doubt(self.state)
            if now > self.extended_at + MAX_STALL_S:
                options = self.member.options
                await self._confirm_with_retries((1 + len(options.endpoints)) * options.timeout)
            elif refuse and now > self.confirmed_until - self.member.ttl / 2:
                await self._confirm_with_retries(0.0)
            self.extended_at = self.member.clock()
            if (
                self.heartbeat_timeout
                and self.state.committed.baseline
                and self.extended_at > self.heartbeat_at + self.heartbeat_timeout
            ):
                after, actions = policy_commit.revert_unconfirmed(self.state)
                if actions:
                    log.warning(
                        "policy: no sign of the rollout for %.0f s: back by itself", self.heartbeat_timeout
                    )
                self._apply(after, actions)
            self._extend_serving_lease()
            await asyncio.sleep(EXTEND_INTERVAL_S)

    async def _confirm_with_retries(self, retry_for: float) -> None:
        """Once at least, and until the store has answered: right after a standstill calls of before it fail
        and take the connection with them. If the process stood still again meanwhile, all of it anew."""
        clock, timeout = self.member.clock, self.member.options.timeout
        until = clock() + retry_for
        while True:
            began = clock()
            try:
                await self.confirm_with_store()
                return
            except StoreClientError as fault:
                self.member.log_fault(f"policy: {fault}")
            if clock() > began + timeout + MAX_STALL_S:
                until = clock() + max(retry_for, timeout)
            elif clock() >= until:
                return
            await asyncio.sleep(EXTEND_INTERVAL_S / 4)

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.retry_timer is not None:
            self.retry_timer.cancel()


def member_state(member: MemberRecord, force: PolicyRecord) -> str:
    """What `policy status` says of a member."""
    if member.epoch < 0:
        return "unknown"
    if member.epoch != force.epoch:
        return "behind"
    return (
        "in force" if not force.named or member.digest == own_digests(force, member.name)[0] else "went back"
    )


__all__ = [
    "REFUSE",
    "SERVE",
    "Phase",
    "PolicyParticipant",
    "ServingHost",
    "member_state",
    "parse_store_state",
]
