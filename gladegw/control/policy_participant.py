"""A member's part in policy changes.

States of the store are passed to the state machine of `policy_commit`, whose actions are executed on the
member's thread. The serving side receives a new policy by `ServingHost.activate` and its permission to serve
by the serving lease.
"""

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
from gladegw.control.hedging import hedged
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
EXTEND_INTERVAL_S = 0.2  # between extensions of the serving lease
MAX_STALL_S = 1.0  # without an extension, after which the store is read first
PROBATION_S = 5.0  # of serving with a bundle, after which the attempt counts as survived
MAX_BUNDLE_ATTEMPTS = 2  # failed attempts, after which the bundle is rejected for ATTEMPTS_TTL_S
ATTEMPTS_TTL_S = 60  # by the store's clock
PREPARE_RETRY_INTERVAL_S = 5.0  # after a committed policy could not be prepared
CRASHED = "ended"  # first word of the reason for such a rejection
RETRY_INTERVAL_S = 0.2  # after a request without an answer

Prepare = Callable[[Mapping[str, str]], Any]  # files to prepared tables; raises ValueError; runs in a thread
Activate = Callable[[int, str, Any, Callable[[], None]], None]  # epoch, digest, prepared tables, callback
OnPrepared = Callable[[int, str, Any], None]  # epoch, digest, prepared tables or None


@dataclass(frozen=True, slots=True)
class ServingHost:
    """Functions of the serving side that the participant uses."""

    prepare: Prepare
    activate: Activate
    serving_lease: ServingLease
    when_cut_off: str = SERVE
    on_prepared: OnPrepared = lambda epoch, digest, ready: None


def own_digests(record: PolicyRecord | PolicyChangeRecord, name: str) -> tuple[str, str]:
    """Return the digest that a member serves with, and the fallback's digest if it is in a rollout stage."""
    mine = rollout.digest_for(name, record.digest, record.new, record.named)
    return mine, record.digest if mine != record.digest else ""


def parse_store_state(
    force: KeyValue | None, change: KeyValue | None, name: str
) -> tuple[CommittedPolicy, OpenChange | None, PolicyRecord]:
    """Return the committed policy and the open change as they apply to a member, and the policy record.

    Raises RecordError if a record is invalid.
    """
    committed = decode(force.value, PolicyRecord) if force is not None else PolicyRecord(epoch=0, digest="")
    proposed = decode(change.value, PolicyChangeRecord) if change is not None else None
    opened = None
    if change is not None and proposed is not None:
        opened = OpenChange(change.create_revision, proposed.epoch, *own_digests(proposed, name))
    return CommittedPolicy(committed.epoch, *own_digests(committed, name)), opened, committed


class PolicyParticipant:
    """Participant of the policy commit protocol at one member."""

    def __init__(self, member: ParticipantHost, host: ServingHost) -> None:
        self.member, self.host, self.keys = member, host, member.keys
        self.state = Participant()
        self.prepared_tables: dict[str, Any] = {}  # by digest
        self.attempted: set[str] = set()  # digests with an attempt of this process counted in the store
        self.serving_epoch = -1  # epoch that is active in the serving loop
        self.confirmed_until = -math.inf  # until when the committed policy is certain
        self.extended_at = -math.inf
        self.tasks: set[asyncio.Task[None]] = set()
        self.retry_timer: asyncio.TimerHandle | None = None  # of a policy that could not be prepared
        self.heartbeat_timeout = 0.0  # seconds to serve a stage without a heartbeat; 0: no limit
        self.heartbeat_revision = 0  # of the newest heartbeat
        self.heartbeat_at = -math.inf  # when the newest heartbeat was received

    # store updates
    def on_update(self) -> None:
        """Process a change of the cached policy records."""
        view, keys = self.member.cache, self.keys
        force, change, heartbeat = (
            view.entries.get(key) for key in (keys.committed_policy, keys.open_change, keys.rollout_heartbeat)
        )
        self._apply_store_state(force, change, heartbeat, view.known_revision(keys.policy))

    def _apply_store_state(
        self, force: KeyValue | None, change: KeyValue | None, heartbeat: KeyValue | None, revision: int
    ) -> None:
        """Pass a state of the store to the state machine.

        Before it has joined, a member ignores states older than its registration, so that a coordinator
        either counts it or has decided before it reads. Afterwards each state counts, as it may end serving.
        """
        member = self.member
        if not (self.state.joined or (member.registered and revision >= member.registered_at)):
            return
        try:
            committed, opened, record = parse_store_state(force, change, member.name)
        except ValueError as fault:
            self.member.log_fault(f"policy: {fault}")
            return
        if heartbeat is not None and heartbeat.mod_revision > self.heartbeat_revision:
            self.heartbeat_revision, self.heartbeat_at = heartbeat.mod_revision, member.clock()
        if committed.epoch > self.state.epoch:
            self.heartbeat_timeout, self.heartbeat_at = float(record.confirm_s), member.clock()
        if committed.epoch < self.state.epoch:
            self.member.log_fault(f"policy: epoch {committed.epoch} in the store after {self.state.epoch}")
        self._apply(*policy_commit.on_store_update(self.state, committed, opened, revision))

    def on_rejoin(self) -> None:
        """Process a registration under a new lease."""
        continue_serving = self.host.when_cut_off == SERVE
        self._apply(policy_commit.on_rejoin(self.state, continue_serving), (Action.DISCARD_PREPARED,))

    async def confirm_with_store(self) -> None:
        """Read the policy records linearizably and process them; raises StoreClientError."""
        member, request = self.member, Get(*self.keys.policy)
        sent = member.clock()
        time_left = self.confirmed_until - sent
        revision, found = await hedged(lambda client: client.get(request), member.client, time_left)
        member.store_reached.set()
        by_key = {kv.key: kv for kv in found}
        keys = self.keys
        force, change, heartbeat = (
            by_key.get(key) for key in (keys.committed_policy, keys.open_change, keys.rollout_heartbeat)
        )
        self._apply_store_state(force, change, heartbeat, revision)
        if member.registered and self.state.may_serve:
            self.confirmed_until = sent + member.ttl * (1 - MAX_CLOCK_DRIFT)

    # actions
    def _apply(self, state: Participant, actions: tuple[Action, ...]) -> None:
        before, self.state = self.state, state
        if Action.VOTE_YES in actions:  # no decision can precede this vote
            self.confirmed_until = max(
                self.confirmed_until, self.member.clock() + self.member.ttl * (1 - MAX_CLOCK_DRIFT)
            )
        for action in actions:
            if action is Action.PREPARE:
                self._spawn(self._prepare(state.preparing))
            elif action is Action.ACTIVATE:
                self._activate(state.epoch, state.digest)
            elif action is Action.PREPARE_FALLBACK:
                self._spawn(self._prepare_fallback(state.committed.baseline))
            elif action is Action.DISCARD_PREPARED:
                self.host.on_prepared(state.epoch, "", None)
                retained = (state.digest, state.fallback)
                self.prepared_tables = {
                    digest: tables for digest, tables in self.prepared_tables.items() if digest in retained
                }
            else:
                if action is Action.VOTE_YES and state.open_change is not None:
                    change = state.open_change  # others may serve with it from now on
                    self.host.on_prepared(
                        change.epoch, change.fleet_digest, self.prepared_tables[state.prepared]
                    )
                self._spawn(self._vote(action is Action.VOTE_YES, ""))
        for digest in self.attempted - {state.preparing, state.prepared, state.digest, state.fallback}:
            self._spawn(self._clear_attempts(digest, 0.0))
        if before.phase is not state.phase:
            log.info("policy: %s, epoch %d", state.phase.value, state.epoch)
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
        except ValueError as fault:  # includes invalid bundles and routes
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
        """Return the bundle's chunks, or None if the bundle is no longer needed.

        The same transaction counts this process's attempt, before the bundle is used. Raises BundleError if
        too many recent processes of this name ended during an attempt.
        """
        member, key = self.member, self.keys.bundle_attempts(digest, self.member.name)
        pieces = Get(*self.keys.bundle(digest))
        lease = count = revision = 0  # state in the store, as far as known
        backoff = Backoff(member.random)
        while self.state.preparing == digest:
            try:
                if digest in self.attempted:
                    return (await member.client.get(pieces))[1]
                lease = lease or (await member.client.grant(ATTEMPTS_TTL_S))[0]
                tried = Put(
                    key, encode(BundleAttemptsRecord(count=count + 1, last=member.incarnation)), lease
                )
                as_known = Compare(key, Target.MOD, "=", revision)
                done = await member.client.txn(Txn((as_known,), (tried, pieces), (Get(key), pieces)))
            except StoreClientError as fault:
                if isinstance(fault, StoreRejectedError):
                    lease = 0  # it may have expired
                member.log_fault(f"policy: bundle {digest}: {fault}")
                await asyncio.sleep(backoff.next_delay())
                continue
            stands = () if done.succeeded else done.found[0]
            before = (
                decode(stands[0].value, BundleAttemptsRecord) if stands else BundleAttemptsRecord(count=0)
            )
            if done.succeeded or before.last == member.incarnation:
                self.attempted.add(digest)
                return done.found[1]
            if before.count >= MAX_BUNDLE_ATTEMPTS:
                raise BundleError(f"{CRASHED} {before.count} times with bundle {digest}")
            count, revision = before.count, stands[0].mod_revision if stands else 0
        return None

    async def _prepare_fallback(self, digest: str) -> None:
        """Prepare the fallback of a member that started within a stage, before the store may be lost."""
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
        """Write the vote, repeated until it is confirmed or the change is closed; the write is idempotent."""
        change = self.state.open_change
        while change is not None and self.state.open_change == change:
            member = self.member
            if not member.registered:  # the vote is bound to the lease
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            ballot = VoteRecord(change=change.id, digest=change.digest, yes=yes, reason=reason)
            key = self.keys.vote(member.name, member.incarnation)
            try:
                await member.client.do(Put(key, encode(ballot), member.lease.id))
                return
            except StoreClientError as fault:
                member.log_fault(f"policy: vote: {fault}")
                await asyncio.sleep(RETRY_INTERVAL_S)

    def _activate(self, epoch: int, digest: str) -> None:
        member = self.member

        def done() -> None:  # on the serving loop
            member.loop.call_soon_threadsafe(self._on_activated, epoch, digest)

        log.warning("policy: epoch %d (%s) takes hold", epoch, digest or "the own file")
        self.host.activate(epoch, self.state.committed.fleet_digest, self.prepared_tables.get(digest), done)
        if digest:
            self._spawn(self._clear_attempts(digest, PROBATION_S))

    def _on_activated(self, epoch: int, digest: str) -> None:
        if epoch < self.serving_epoch:
            return
        self.serving_epoch = epoch
        member = self.member
        member.record = msgspec.structs.replace(member.record, epoch=epoch, digest=digest)
        self._spawn(member.publish_record())
        self._extend_serving_lease()

    # serving lease
    def _extend_serving_lease(self) -> None:
        serving_lease, state, now = self.host.serving_lease, self.state, self.member.clock()
        if not state.may_serve:
            serving_lease.close()
        elif self.serving_epoch == state.epoch and now < self.extended_at + MAX_STALL_S:
            until = now + MAX_STALL_S
            if self.host.when_cut_off == REFUSE or policy_commit.in_doubt(state):
                until = min(until, self.member.lease.until, self.confirmed_until)
            serving_lease.until = until

    async def run(self) -> None:
        """Extend the serving lease until cancelled; after a stall the store is read first."""
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
        """Read the policy from the store, with retries for `retry_for` seconds.

        Right after a stall, pending calls fail and close the connection, so one attempt is not enough.
        Another stall meanwhile restarts the time.
        """
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
        """Cancel all tasks and timers."""
        for task in self.tasks:
            task.cancel()
        if self.retry_timer is not None:
            self.retry_timer.cancel()


def member_state(member: MemberRecord, force: PolicyRecord) -> str:
    """Return the state of a member as `policy status` shows it."""
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
