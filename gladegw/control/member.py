"""Membership of this process in the fleet: its lease, its record, its view of the others, and its duties.

It runs on its own thread, so that a busy serving loop does not delay the renewal of the lease. It only reads
metrics from the serving thread.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import threading
import time
from collections.abc import Callable, Iterable
from random import Random
from typing import TYPE_CHECKING

import msgspec

from gladegw.control.backoff import Backoff
from gladegw.control.clock import boot_time
from gladegw.control.duties.base import DutyWork
from gladegw.control.errors import StoreClientError, StoreRejectedError
from gladegw.control.hedging import hedged
from gladegw.control.interfaces import OnChange
from gladegw.control.keys import KeyRange, Keys
from gladegw.control.leader_election import LeaderElection
from gladegw.control.store_cache import StoreCache
from gladegw.control.store_client import StoreClient
from gladegw.control.store_options import LOG_INTERVAL_S, StoreOptions
from gladegw.control.store_watcher import MAX_RANKED_MEMBERS, LiveWatch, ReportedWatch, StoreWatcher
from gladegw.coordination import election_order
from gladegw.coordination import lease as leases
from gladegw.coordination.duty import Event
from gladegw.coordination.lease import Lease
from gladegw.coordination.records import KnownMemberRecord, MemberMetricsRecord, MemberRecord, encode
from gladegw.coordination.store import Put, StoreEvent, Txn

if TYPE_CHECKING:
    from gladegw.control.policy_participant import PolicyParticipant, ServingHost
    from gladegw.coordination.serving_lease import ServingLease

log = logging.getLogger(__name__)

CLAIM_INTERVAL_S = 0.05  # head start of each member over the next one in the claim order
METRICS_INTERVAL_S = 2.0  # between checks whether this member's metrics have changed
MIN_LEASE_CHECK_INTERVAL_S = 0.02  # shortest interval between checks whether the lease has expired
HANDOVER_TIMEOUT_S = 1.5


class FleetMember:
    """Member of the fleet.

    All methods, and the callback `metrics`, run on the member's thread unless stated otherwise.
    """

    def __init__(
        self,
        options: StoreOptions,
        member: MemberRecord,
        works: Iterable[type[DutyWork]],
        metrics: Callable[[], MemberMetricsRecord | None] = lambda: None,
        clock: Callable[[], float] = boot_time,
        on_duty_change: Callable[[str, int, bool], None] = lambda name, token, begun: None,
        host: ServingHost | None = None,
    ) -> None:
        self.options, self.clock, self.metrics = options, clock, metrics
        self.incarnation = member.incarnation or secrets.token_hex(8)
        self.works = [work() for work in works]
        can = tuple(work.name for work in self.works)
        knows = tuple(capability for work in self.works for capability in work.capabilities)
        self.record = msgspec.structs.replace(
            member, incarnation=self.incarnation, can=can, knows=knows, since=time.time()
        )
        self.name = member.name
        self.keys = Keys(options.prefix)
        self.cache = StoreCache(self.keys)
        self.client = StoreClient(options.endpoints, options.timeout, options.token_file)
        self.watch_client = StoreClient(options.endpoints, options.timeout, options.token_file)
        self.lease, self.ttl = Lease(), float(options.ttl)
        self.registered = self.shutting_down = False
        self.flap_detector, self.flaps_pruned_at = election_order.FlapDetector(), 0.0
        self.on_duty_change = on_duty_change
        self.elections: list[LeaderElection] = []
        self.last_logged: dict[str, float] = {}
        self.random = Random(self.incarnation)
        self.thread: threading.Thread | None = None
        self.registered_at = 0  # store revision of the registration
        self.stored_record: MemberRecord | None = None  # last record that the store has confirmed
        self.participant: PolicyParticipant | None = None
        if host is not None:
            # Imported here, so that members without policies do not load its modules.
            from gladegw.control.policy_participant import PolicyParticipant

            self.participant = PolicyParticipant(self, host)
        self.ready = threading.Event()
        self.revocations: set[asyncio.Task[None]] = set()

    # called from other threads
    @property
    def serving_lease(self) -> ServingLease | None:
        """Serving lease; None if the member takes no part in changes of policy."""
        return self.participant.host.serving_lease if self.participant is not None else None

    @property
    def may_serve(self) -> bool:
        """Whether requests may be served now."""
        return self.serving_lease is None or self.serving_lease.open

    def info(self) -> tuple[str, ...]:
        """Return the policy fields of the operators' INFO command."""
        participant = self.participant
        if participant is None:
            return ()
        state = participant.state
        fields = f"policy.epoch={participant.serving_epoch}", f"policy.digest={state.digest}"
        return (*fields, f"policy.way_back={state.fallback}") if state.fallback else fields

    def start(self) -> None:
        """Start the thread and wait until the member runs."""
        self.thread = threading.Thread(target=self._main, name="agent", daemon=True)
        self.thread.start()
        self.ready.wait()

    def _main(self) -> None:
        """Run the member; if it fails, the process continues to serve."""
        try:
            asyncio.run(self.run())
        except Exception:
            log.exception("coordination: the fleet member failed")
        finally:
            self.ready.set()

    def set_lifecycle_state(self, state: str) -> None:
        """Publish the life-cycle state; draining (lame) members also hand their duties over."""
        if self.thread is not None and self.thread.is_alive():
            self.loop.call_soon_threadsafe(self._on_lifecycle_state, state)

    def shut_down(self) -> None:
        """Hand over all duties, leave the fleet and end the thread, in HANDOVER_TIMEOUT_S and a margin."""
        if self.thread is not None and self.thread.is_alive():
            self.loop.call_soon_threadsafe(self.stopping.set)
            self.thread.join(HANDOVER_TIMEOUT_S + 0.5)

    # called on the member's thread
    async def run(self) -> None:
        """Run until `shut_down` is called, then hand the duties over and leave the fleet."""
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        self.store_reached = asyncio.Event()  # set once the store has answered after a fault
        self.reported_watch = ReportedWatch(self)
        self.elections = [LeaderElection(self, work, self.on_duty_change) for work in self.works]
        self.live_watch = LiveWatch(self, self._on_update)
        loops = [
            self._maintain_lease(),
            self.live_watch.run(),
            self._publish_metrics(),
            self._watch_lease_bound(),
        ]
        if self.participant is not None:
            loops.append(self.participant.run())
        running = [self.loop.create_task(work) for work in loops]
        self.ready.set()
        await self.stopping.wait()
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                await self._hand_over()
        except (TimeoutError, StoreClientError) as fault:
            log.info(
                "coordination: the hand-over at shutdown failed, the lease expires by itself: %s",
                fault or "no answer in time",
            )
        running += self.revocations
        for task in running:
            task.cancel()
        for election in self.elections:
            election.stop()
        self.reported_watch.stop()
        if self.participant is not None:
            self.participant.stop()
        await asyncio.gather(*running, return_exceptions=True)
        self.client.close()
        self.watch_client.close()

    def _on_lifecycle_state(self, state: str) -> None:
        self.record = msgspec.structs.replace(self.record, state=state)
        draining = state in ("lame", "leaving")
        for election in self.elections:
            if draining:
                election.release()
            else:
                election.released = False
                election.schedule_claim()
        self.loop.create_task(self._register())

    async def _hand_over(self) -> None:
        self.shutting_down = True
        for election in self.elections:
            election.release()
        while not all(election.settled for election in self.elections):
            await asyncio.sleep(MIN_LEASE_CHECK_INTERVAL_S / 4)
        if self.lease.id:
            known = KnownMemberRecord(name=self.name, zone=self.record.zone, left=True)
            await self.client.do(Put(self.keys.known_member(self.name), encode(known)))
            await self.client.revoke(self.lease.id)

    def log_fault(self, message: str) -> None:
        """Log a fault, at most every LOG_INTERVAL_S for each kind: the part before the first colon."""
        kind, now = message.partition(":")[0], time.monotonic()
        if now > self.last_logged.get(kind, -LOG_INTERVAL_S) + LOG_INTERVAL_S:
            self.last_logged[kind] = now
            log.warning("coordination: %s", " ".join(message.split()))

    # lease and record
    @property
    def may_claim(self) -> bool:
        """Whether duties may be claimed: the lease is valid, and the store's state under it is known."""
        return (
            self.registered
            and self.live_watch.ranges_known
            and not self.shutting_down
            and self.lease.is_valid(self.clock())
        )

    async def _maintain_lease(self) -> None:
        backoff = Backoff(self.random)
        while True:
            try:
                if not self.lease.id:
                    await self._join()
                    backoff.reset()
                await asyncio.sleep(max(0.0, leases.renewal_due(self.lease, self.ttl) - self.clock()))
                await self._renew()
                backoff.reset()
            except StoreRejectedError as fault:
                self.log_fault(f"the store rejected the request: {fault}")
                await asyncio.sleep(backoff.max_delay())
            except StoreClientError as fault:
                self.log_fault(f"the store is unreachable: {fault}")
                self.store_reached.clear()
                with contextlib.suppress(TimeoutError):  # retry at once if another call is answered
                    async with asyncio.timeout(backoff.next_delay()):
                        await self.store_reached.wait()

    async def _join(self) -> None:
        sent = self.clock()
        id, ttl = await self.client.grant(self.options.ttl)
        self.ttl = float(ttl)
        self.lease = leases.granted(id, sent, self.ttl)
        self.registered = False
        await self._register()

    async def _register(self) -> None:
        """Write this member's record under the lease; after a fault, the next renewal tries again."""
        if not self.lease.id or self.shutting_down:
            return
        record = self.record
        known = self.keys.known_member(self.name)
        operations = (
            Put(self.keys.member(self.name, self.incarnation), encode(record), self.lease.id),
            Put(known, encode(KnownMemberRecord(name=self.name, zone=self.record.zone))),
        )
        try:
            result = await self.client.txn(Txn((), operations))
        except StoreRejectedError as fault:
            self.log_fault(f"the store rejected the member's record: {fault}")
            return
        except StoreClientError:
            return
        self.stored_record = record
        if not self.registered:
            self.registered, self.registered_at = True, result.revision
            if self.participant is not None:
                self.participant.on_rejoin()
                self.participant.on_update()
        for election in self.elections:
            election.schedule_claim()

    async def publish_record(self) -> None:
        """Write the changed record; after a fault, the next renewal tries again."""
        await self._register()

    async def _renew(self) -> None:
        sent, id = self.clock(), self.lease.id
        ttl = await hedged(lambda client: client.keep_alive(id), self.client, self.lease.until - sent)
        self.lease = leases.renewed(self.lease, id, sent, ttl)
        if not self.lease.id:
            self._on_lease_expired()
        elif not self.registered or self.stored_record != self.record:
            await self._register()

    async def _watch_lease_bound(self) -> None:
        """Stop the duties once the lease has expired.

        Safety does not depend on this task: each effect checks the lease itself.
        """
        while True:
            time_left = self.lease.until - self.clock() if self.lease.id else self.ttl / 10
            await asyncio.sleep(max(MIN_LEASE_CHECK_INTERVAL_S, min(time_left, METRICS_INTERVAL_S)))
            if self.lease.id and not self.lease.is_valid(self.clock()):
                self._on_lease_expired()

    def _on_lease_expired(self) -> None:
        """Give up an expired lease and revoke it.

        It is not renewed, because others may have claimed its duties. It is revoked because the store may
        still receive renewals while its responses are lost: without the revocation, the other members would
        have to wait until the last renewal expires.
        """
        expired_id, self.lease, self.registered = self.lease.id, Lease(), False
        for election in self.elections:
            election.on_event(Event.EXPIRED)
        if expired_id:
            task = self.loop.create_task(self._revoke(expired_id))
            self.revocations.add(task)
            task.add_done_callback(self.revocations.discard)

    async def _revoke(self, id: int) -> None:
        with contextlib.suppress(StoreClientError):
            await self.client.revoke(id)

    # other members
    def watcher_of(self, key_range: KeyRange, on_change: OnChange) -> StoreWatcher:
        """Create the watcher of a range; `on_change` is called after each change of it."""
        silence = max(2.0, self.options.ttl / 2)
        backoff = Backoff(self.random)
        return StoreWatcher(
            self.watch_client, self.cache, key_range, silence, backoff, self.log_fault, on_change
        )

    def _on_update(self, events: list[StoreEvent] | None) -> None:
        """Process changes of live keys.

        Each member runs this for each change, so its cost must not grow with the size of the fleet.
        """
        now = self.clock()
        keys = [event.kv.key for event in events if not event.deleted] if events is not None else None
        for key in self.cache.keys_by_kind.get("members", ()) if keys is None else keys:
            kind, *names = self.keys.split(key)
            if kind == "members" and len(names) == 2:
                self.flap_detector.observe(names[0], names[1], now)
        if now > self.flaps_pruned_at + election_order.FLAP_WINDOW_S / 4:
            self.flaps_pruned_at = now
            self.flap_detector.forget(now)
        if self.participant is not None:
            self.participant.on_update()
        changed_keys = {event.kv.key for event in events} if events is not None else None
        for election in self.elections:
            if changed_keys is None or election.key in changed_keys or not election.idle:
                election.on_key(
                    self.cache.entries.get(election.key), self.cache.known_revision(self.keys.claims)
                )

    def _weights(self, duty: str) -> dict[str, float]:
        members = [m for _, m in self.cache.members() if duty in m.can and m.state in ("ready", "starting")]
        return self.flap_detector.weights({member.name for member in members}, self.clock())

    def claim_delay(self, duty: str) -> float:
        """Return the seconds to wait before a claim; 0 for the designated successor."""
        successor = self.cache.successor(duty)
        if successor == self.name:
            return 0.0
        member_count = self.live_watch.members
        if member_count > MAX_RANKED_MEMBERS or not self.live_watch.complete.is_set():
            own_weight = self.flap_detector.weights((self.name,), self.clock())[self.name]
            return election_order.estimated_claim_delay(
                duty, self.name, own_weight, member_count, CLAIM_INTERVAL_S
            ) + (CLAIM_INTERVAL_S if successor else 0.0)
        weights = self._weights(duty)
        return election_order.claim_delay(duty, self.name, weights, CLAIM_INTERVAL_S) + (
            CLAIM_INTERVAL_S if successor in weights else 0.0
        )

    def successor(self, duty: str) -> str:
        """Return the member that should hold the duty next, or an empty string."""
        return election_order.successor(duty, self.name, self._weights(duty))

    async def _publish_metrics(self) -> None:
        last: MemberMetricsRecord | None = None
        published_lease = 0
        while True:
            await asyncio.sleep(METRICS_INTERVAL_S * self.random.uniform(0.8, 1.2))
            current = self.metrics()
            if (
                current is None
                or not self.registered
                or (current == last and published_lease == self.lease.id)
            ):
                continue
            if self.record.state in ("lame", "leaving"):  # a newer process of this name may publish metrics
                continue
            try:
                published_lease = self.lease.id
                value = encode(msgspec.structs.replace(current, incarnation=self.incarnation))
                await self.client.do(Put(self.keys.member_metrics(self.name), value, published_lease))
                last = current
            except StoreClientError as fault:
                self.log_fault(f"the metrics were not published: {fault}")


__all__ = ["FleetMember", "StoreOptions"]
