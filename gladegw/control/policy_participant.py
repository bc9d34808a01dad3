"""A member's part in policy changes.

The policy records read from the store are passed to the state machine of `policy_commit`, whose actions are
executed on the member's thread. The serving side receives a new policy through `ServingHost.activate` and its
permission to serve through the serving lease.
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
EXTEND_INTERVAL_S = 0.2  # time between extensions of the serving lease
MAX_STALL_S = 1.0  # after a longer gap between extensions, the store is read before the next one
PROBATION_S = 5.0  # after serving a bundle this long, its attempt counter is deleted
MAX_BUNDLE_ATTEMPTS = 2  # processes that may end during an attempt before the bundle is rejected
ATTEMPTS_TTL_S = 60  # lifetime of the attempt counter, and so of a rejection, measured by the store
PREPARE_RETRY_INTERVAL_S = 5.0  # before a committed policy that could not be prepared is tried again
CRASHED = "ended"  # first word of the reason of such a rejection
RETRY_INTERVAL_S = 0.2  # before a request that the store did not answer is sent again

Prepare = Callable[[Mapping[str, str]], Any]  # files to compiled tables; raises ValueError; runs in a thread
Activate = Callable[[int, str, Any, Callable[[], None]], None]  # epoch, digest, prepared tables, callback
OnPrepared = Callable[[int, str, Any], None]  # epoch, digest, prepared tables or None


@dataclass(frozen=True, slots=True)
class ServingHost:
    """Functions of the serving side that the participant uses."""

    prepare: Prepare
    activate: Activate
    serving_lease: ServingLease
    when_cut_off: str = SERVE
    on_prepared: OnPrepared = lambda epoch, digest, tables: None


def own_digests(record: PolicyRecord | PolicyChangeRecord, name: str) -> tuple[str, str]:
    """Return the digest that a member serves, and the fallback's digest if it is in a rollout stage."""
    own_digest = rollout.digest_for(name, record.digest, record.new, record.named)
    return own_digest, record.digest if own_digest != record.digest else ""


def parse_store_state(
    policy_kv: KeyValue | None, change_kv: KeyValue | None, name: str
) -> tuple[CommittedPolicy, OpenChange | None, PolicyRecord]:
    """Return the committed policy and the open change as they apply to a member, and the policy record.

    Raises RecordError if a record is invalid.
    """
    committed = (
        decode(policy_kv.value, PolicyRecord) if policy_kv is not None else PolicyRecord(epoch=0, digest="")
    )
    proposed = decode(change_kv.value, PolicyChangeRecord) if change_kv is not None else None
    open_change = None
    if change_kv is not None and proposed is not None:
        open_change = OpenChange(change_kv.create_revision, proposed.epoch, *own_digests(proposed, name))
    return CommittedPolicy(committed.epoch, *own_digests(committed, name)), open_change, committed


class PolicyParticipant:
    """Participant of the policy commit protocol at one member."""

    def __init__(self, member: ParticipantHost, host: ServingHost) -> None:
        self.member, self.host, self.keys = member, host, member.keys
        self.state = Participant()
        self.prepared_tables: dict[str, Any] = {}  # by digest
        self.attempted: set[str] = set()  # digests with an attempt of this process counted in the store
        self.serving_epoch = -1  # epoch that is active in the serving loop
        self.confirmed_until = -math.inf  # the committed policy may be relied on until then
        self.extended_at = -math.inf
        self.tasks: set[asyncio.Task[None]] = set()
        self.retry_timer: asyncio.TimerHandle | None = None  # retries to prepare a committed policy
        self.heartbeat_timeout = 0.0  # seconds to serve a stage without a heartbeat; 0: no limit
        self.heartbeat_revision = 0  # of the newest heartbeat
        self.heartbeat_at = -math.inf  # when the newest heartbeat was received

    # store updates
    def on_update(self) -> None:
        """Process a change of the cached policy records."""
        view, keys = self.member.cache, self.keys
        policy_kv, change_kv, heartbeat_kv = (
            view.entries.get(key) for key in (keys.committed_policy, keys.open_change, keys.rollout_heartbeat)
        )
        self._apply_store_state(policy_kv, change_kv, heartbeat_kv, view.known_revision(keys.policy))

    def _apply_store_state(
        self,
        policy_kv: KeyValue | None,
        change_kv: KeyValue | None,
        heartbeat_kv: KeyValue | None,
        revision: int,
    ) -> None:
        """Pass the policy records at a store revision to the state machine.

        Until it has joined, a member ignores revisions older than its registration: a coordinator then either
        counts the member or has decided before the member reads. Afterwards every revision is processed,
        because it may end the permission to serve.
        """
        member = self.member
        if not (self.state.joined or (member.registered and revision >= member.registered_at)):
            return
        try:
            committed, open_change, record = parse_store_state(policy_kv, change_kv, member.name)
        except ValueError as fault:
            self.member.log_fault(f"policy: {fault}")
            return
        if heartbeat_kv is not None and heartbeat_kv.mod_revision > self.heartbeat_revision:
            self.heartbeat_revision, self.heartbeat_at = heartbeat_kv.mod_revision, member.clock()
        if committed.epoch > self.state.epoch:
            self.heartbeat_timeout, self.heartbeat_at = float(record.confirm_s), member.clock()
        if committed.epoch < self.state.epoch:
            self.member.log_fault(
                f"policy: epoch {committed.epoch} in the store is older than epoch {self.state.epoch} here"
            )
        self._apply(*policy_commit.on_store_update(self.state, committed, open_change, revision))

    def on_rejoin(self) -> None:
        """Process a registration under a new lease."""
        continue_serving = self.host.when_cut_off == SERVE
        self._apply(policy_commit.on_rejoin(self.state, continue_serving), (Action.DISCARD_PREPARED,))

    async def confirm_with_store(self) -> None:
        """Read the policy records linearizably and process them; raises StoreClientError."""
        member, request = self.member, Get(*self.keys.policy)
        sent = member.clock()
        time_left = self.confirmed_until - sent
        revision, entries = await hedged(lambda client: client.get(request), member.client, time_left)
        member.store_reached.set()
        by_key = {kv.key: kv for kv in entries}
        keys = self.keys
        policy_kv, change_kv, heartbeat_kv = (
            by_key.get(key) for key in (keys.committed_policy, keys.open_change, keys.rollout_heartbeat)
        )
        self._apply_store_state(policy_kv, change_kv, heartbeat_kv, revision)
        if member.registered and self.state.may_serve:
            self.confirmed_until = sent + member.ttl * (1 - MAX_CLOCK_DRIFT)

    # actions
    def _apply(self, state: Participant, actions: tuple[Action, ...]) -> None:
        previous, self.state = self.state, state
        if Action.VOTE_YES in actions:  # the change cannot have been decided before this vote
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
                    change = state.open_change  # after this vote other members may serve its policy
                    self.host.on_prepared(
                        change.epoch, change.fleet_digest, self.prepared_tables[state.prepared]
                    )
                self._spawn(self._vote(action is Action.VOTE_YES, ""))
        for digest in self.attempted - {state.preparing, state.prepared, state.digest, state.fallback}:
            self._spawn(self._clear_attempts(digest, 0.0))
        if previous.phase is not state.phase:
            log.info("policy: %s, epoch %d", state.phase.value, state.epoch)
        self._extend_serving_lease()

    def _spawn(self, work: Any) -> None:
        task = self.member.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _prepare(self, digest: str) -> None:
        reason = ""
        try:
            chunks = await self._fetch_bundle(digest)
            if chunks is None:
                return
            files = policy_bundle.assemble(digest, (kv.value for kv in chunks))
            self.prepared_tables[digest] = await asyncio.to_thread(self.host.prepare, files)
        except ValueError as fault:  # includes invalid bundles and routes
            reason = " ".join(str(fault).split()) or type(fault).__name__
        except Exception as fault:
            log.exception("policy: unexpected error while preparing bundle %s", digest)
            reason = f"{type(fault).__name__}: {fault}"
        if reason:
            log.warning("policy: bundle %s cannot be prepared: %s", digest, reason)
        new_state, actions = policy_commit.on_prepare_result(self.state, digest, not reason)
        if Action.VOTE_NO in actions:
            self.state = new_state
            self._extend_serving_lease()
            await self._vote(False, reason)
        else:
            self._apply(new_state, actions)
        if self.state.phase is Phase.PREPARE_FAILED:
            if self.retry_timer is not None:
                self.retry_timer.cancel()
            self.retry_timer = self.member.loop.call_later(PREPARE_RETRY_INTERVAL_S, self._retry_prepare)

    def _retry_prepare(self) -> None:
        self.retry_timer = None
        self._apply(*policy_commit.retry_prepare(self.state))

    async def _fetch_bundle(self, digest: str) -> tuple[KeyValue, ...] | None:
        """Return the bundle's chunks, or None if the bundle is no longer needed.

        The transaction that reads the chunks also counts an attempt of this process, so that the count is
        stored even if the bundle crashes the process. Raises BundleError if MAX_BUNDLE_ATTEMPTS recent
        processes of this member ended during an attempt.
        """
        member, key = self.member, self.keys.bundle_attempts(digest, self.member.name)
        read_chunks = Get(*self.keys.bundle(digest))
        lease = count = revision = 0  # lease of the next attempt; counter and its revision as last read
        backoff = Backoff(member.random)
        while self.state.preparing == digest:
            try:
                if digest in self.attempted:
                    return (await member.client.get(read_chunks))[1]
                lease = lease or (await member.client.grant(ATTEMPTS_TTL_S))[0]
                count_attempt = Put(
                    key, encode(BundleAttemptsRecord(count=count + 1, last=member.incarnation)), lease
                )
                unchanged = Compare(key, Target.MOD, "=", revision)
                result = await member.client.txn(
                    Txn((unchanged,), (count_attempt, read_chunks), (Get(key), read_chunks))
                )
            except StoreClientError as fault:
                if isinstance(fault, StoreRejectedError):
                    lease = 0  # the lease may have expired
                member.log_fault(f"policy: bundle {digest}: {fault}")
                await asyncio.sleep(backoff.next_delay())
                continue
            current = () if result.succeeded else result.found[0]
            attempts = (
                decode(current[0].value, BundleAttemptsRecord) if current else BundleAttemptsRecord(count=0)
            )
            if result.succeeded or attempts.last == member.incarnation:
                self.attempted.add(digest)
                return result.found[1]
            if attempts.count >= MAX_BUNDLE_ATTEMPTS:
                raise BundleError(f"{CRASHED} {attempts.count} times with bundle {digest}")
            count, revision = attempts.count, current[0].mod_revision if current else 0
        return None

    async def _prepare_fallback(self, digest: str) -> None:
        """Prepare the fallback of a member that started during a rollout stage.

        This is done in advance, because the store may be unreachable when the fallback is needed.
        """
        while self.state.committed.baseline == digest and self.state.fallback != digest:
            try:
                _, chunks = await self.member.client.get(Get(*self.keys.bundle(digest)))
                files = policy_bundle.assemble(digest, (kv.value for kv in chunks))
                tables = await asyncio.to_thread(self.host.prepare, files)
            except StoreClientError as fault:
                self.member.log_fault(f"policy: bundle {digest}: {fault}")
                await asyncio.sleep(RETRY_INTERVAL_S)
            except Exception as fault:
                log.warning(
                    "policy: the fallback of the rollout stage cannot be prepared: %s",
                    " ".join(str(fault).split()),
                )
                return
            else:
                self.prepared_tables[digest] = tables
                self.state = policy_commit.on_fallback_prepared(self.state, digest)
                return

    async def _clear_attempts(self, digest: str, delay: float) -> None:
        await asyncio.sleep(delay)
        if digest not in self.attempted or digest in (self.state.preparing, self.state.prepared):
            return
        self.attempted.discard(digest)
        try:
            await self.member.client.do(Delete(self.keys.bundle_attempts(digest, self.member.name)))
        except StoreClientError as fault:
            self.member.log_fault(f"policy: bundle {digest}: {fault}")

    async def _vote(self, yes: bool, reason: str) -> None:
        """Write the vote until the store confirms it or the change is closed; the write is idempotent."""
        change = self.state.open_change
        while change is not None and self.state.open_change == change:
            member = self.member
            if not member.registered:  # the vote is bound to the lease
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            vote = VoteRecord(change=change.id, digest=change.digest, yes=yes, reason=reason)
            key = self.keys.vote(member.name, member.incarnation)
            try:
                await member.client.do(Put(key, encode(vote), member.lease.id))
                return
            except StoreClientError as fault:
                member.log_fault(f"policy: vote: {fault}")
                await asyncio.sleep(RETRY_INTERVAL_S)

    def _activate(self, epoch: int, digest: str) -> None:
        member = self.member

        def notify_member() -> None:  # on the serving loop
            member.loop.call_soon_threadsafe(self._on_activated, epoch, digest)

        log.warning("policy: activating epoch %d (%s)", epoch, digest or "the proxy's own route file")
        self.host.activate(
            epoch, self.state.committed.fleet_digest, self.prepared_tables.get(digest), notify_member
        )
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
            must_confirm = self.host.when_cut_off == REFUSE or policy_commit.in_doubt(self.state)
            if now > self.extended_at + MAX_STALL_S:
                options = self.member.options
                await self._confirm_with_retries((1 + len(options.endpoints)) * options.timeout)
            elif must_confirm and now > self.confirmed_until - self.member.ttl / 2:
                await self._confirm_with_retries(0.0)
            self.extended_at = self.member.clock()
            if (
                self.heartbeat_timeout
                and self.state.committed.baseline
                and self.extended_at > self.heartbeat_at + self.heartbeat_timeout
            ):
                new_state, actions = policy_commit.revert_unconfirmed(self.state)
                if actions:
                    log.warning(
                        "policy: no heartbeat of the rollout for %.0f s; reverting to the fallback",
                        self.heartbeat_timeout,
                    )
                self._apply(new_state, actions)
            self._extend_serving_lease()
            await asyncio.sleep(EXTEND_INTERVAL_S)

    async def _confirm_with_retries(self, retry_for: float) -> None:
        """Read the policy from the store, with retries for `retry_for` seconds.

        Right after a stall, pending calls fail and close the connection, so one attempt is not enough.
        Another stall during the retries restarts the period.
        """
        clock, timeout = self.member.clock, self.member.options.timeout
        until = clock() + retry_for
        while True:
            attempt_started = clock()
            try:
                await self.confirm_with_store()
                return
            except StoreClientError as fault:
                self.member.log_fault(f"policy: {fault}")
            if clock() > attempt_started + timeout + MAX_STALL_S:
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


def member_state(member: MemberRecord, committed: PolicyRecord) -> str:
    """Return the state of a member as `policy status` shows it."""
    if member.epoch < 0:
        return "unknown"
    if member.epoch != committed.epoch:
        return "behind"
    return (
        "in force"
        if not committed.named or member.digest == own_digests(committed, member.name)[0]
        else "went back"
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
