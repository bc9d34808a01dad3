"""Leader election for one duty: executes the actions of the duty's state machine against the store."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from gladegw.control.duties.base import DutyWork, NotHolderError
from gladegw.control.errors import StoreClientError
from gladegw.control.interfaces import ElectionHost
from gladegw.coordination import duty as duties
from gladegw.coordination.duty import Action, Duty, Event, Phase
from gladegw.coordination.records import DutyHolderRecord, SuccessorRecord, encode
from gladegw.coordination.store import Compare, Get, KeyValue, Operation, Put, TxnResult

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.2  # delay after a request with unknown outcome or a failed step


class LeaderElection:
    """Election, holding and release of one duty at this process.

    `on_change` is called with the duty's name, the token, and True when the work starts or False when it
    stops.
    """

    def __init__(
        self, member: ElectionHost, work: DutyWork, on_change: Callable[[str, int, bool], None]
    ) -> None:
        self.member, self.work, self.on_change = member, work, on_change
        self.key = member.keys.duty(work.name)
        self.duty = Duty()
        self.cache = member.cache
        self.pending_requests: set[asyncio.Task[None]] = set()
        self.work_task: asyncio.Task[None] | None = None
        self.claim_timer: asyncio.TimerHandle | None = None
        self.released = False  # no further claims until reset

    @property
    def token(self) -> int:
        """Fencing token of the duty: the revision at which it was claimed."""
        return self.duty.token

    @property
    def idle(self) -> bool:
        """Whether another member holds the duty and no claim is due.

        Changes of other keys then have no effect on the election.
        """
        return self.duty.phase is Phase.IDLE and self.key in self.cache.entries and self.claim_timer is None

    # events from the store and the member
    def on_key(self, entry: KeyValue | None, revision: int) -> None:
        """Process the state of the duty's key as of a store revision."""
        token, lease = (entry.create_revision, entry.lease) if entry is not None else (0, 0)
        event = duties.event_of_key(token, lease, self.member.lease)
        self.on_event(event, token, revision)

    def on_event(self, event: Event, token: int = 0, revision: int = 0) -> None:
        """Step the state machine and execute its actions."""
        before = self.duty
        self.duty, actions = duties.step(before, event, token, revision)
        for action in actions:
            if action is Action.START:
                self._start_work()
            elif action is Action.STOP:
                self._stop_work(before.token)
            else:
                self._send(action)
        self.schedule_claim()

    def schedule_claim(self) -> None:
        """Start the claim timer if the duty is vacant and may be claimed here, else cancel the timer."""
        vacant = (
            self.key not in self.cache.entries
            and self.cache.known_revision(self.member.keys.claims) >= self.duty.seen_revision
        )
        claimable = vacant and self.duty.phase is Phase.IDLE and self.member.may_claim and not self.released
        if not claimable:
            if self.claim_timer is not None:
                self.claim_timer.cancel()
                self.claim_timer = None
        elif self.claim_timer is None:
            delay = self.member.claim_delay(self.work.name)
            self.claim_timer = self.member.loop.call_later(delay, self._claim)

    def _claim(self) -> None:
        self.claim_timer = None
        if self.key not in self.cache.entries and self.member.may_claim and not self.released:
            self.on_event(Event.CLAIM_DUE)

    # actions of the state machine
    def _send(self, action: Action) -> None:
        task = self.member.loop.create_task(self._request(action))
        self.pending_requests.add(task)
        task.add_done_callback(self.pending_requests.discard)

    async def _request(self, action: Action) -> None:
        member = self.member
        lease = member.lease.id
        try:
            if action is Action.READ:
                await asyncio.sleep(RETRY_INTERVAL_S)
                # Linearizable, because a claim depends on it.
                revision, entries = await member.client.get(Get(self.key))
                self.on_key(entries[0] if entries else None, revision)
                return
            if action is Action.CLAIM:
                record = DutyHolderRecord(
                    holder=member.name, incarnation=member.incarnation, since=time.time()
                )
                result = await member.client.txn(duties.claim(self.key, encode(record), lease))
                if result.succeeded:
                    event = duties.event_of_key(result.revision, lease, member.lease)
                    self.on_event(event, result.revision, result.revision)
                    return
            else:
                successor = member.successor(self.work.name)
                put_successor = (
                    (Put(member.keys.successor(self.work.name), encode(SuccessorRecord(name=successor))),)
                    if successor
                    else ()
                )
                result = await member.client.txn(duties.release(self.key, lease, put_successor))
                if result.succeeded:
                    self.on_event(Event.VACANT, 0, result.revision)
                    return
            self.on_key(result.found[0][0] if result.found[0] else None, result.revision)
        except StoreClientError as fault:
            member.log_fault(f"{self.work.name}: {action.value}: {fault}")
            if action is Action.RELEASE:
                await asyncio.sleep(RETRY_INTERVAL_S)
            self.on_event(Event.UNKNOWN)

    # work of the duty
    async def grant(self, ttl: int) -> int:
        """Create a lease that is not renewed; see `DutyContext`."""
        return (await self.member.client.grant(ttl))[0]

    async def names(self, first: bytes, end: bytes) -> list[bytes]:
        """Return the keys of a range; see `DutyContext`."""
        return await self.member.client.names(first, end)

    async def effect(self, *operations: Operation, compares: tuple[Compare, ...] = ()) -> TxnResult:
        """Execute fenced operations; see `DutyContext`."""
        token = self.duty.token
        if not duties.may_act(self.duty, self.member.lease, self.member.clock()):
            raise NotHolderError(self.work.name)
        result = await self.member.client.txn(duties.fenced(self.key, token, *operations, compares=compares))
        if not result.succeeded:
            self.on_key(result.found[0][0] if result.found[0] else None, result.revision)
            raise NotHolderError(self.work.name, started=True)
        return result

    def _start_work(self) -> None:
        self.on_change(self.work.name, self.duty.token, True)
        self.member.reported_watch.want(self.work.name, self.work.reads_reported)
        self.member.live_watch.want(self.work.name, True)
        log.warning("coordination: holds duty %s, token %d", self.work.name, self.duty.token)
        self.work_task = self.member.loop.create_task(self._run_work(self.duty.token))

    def _stop_work(self, token: int) -> None:
        self.on_change(self.work.name, token, False)
        self.member.reported_watch.want(self.work.name, False)
        self.member.live_watch.want(self.work.name, False)
        log.warning("coordination: no longer holds duty %s, token %d", self.work.name, token)
        task, self.work_task = self.work_task, None
        if task is not None:
            task.cancel()
        self.work.end()

    async def _run_work(self, token: int) -> None:
        try:
            await self.member.live_watch.complete.wait()
            if self.work.reads_reported:
                await self.member.reported_watch.wait_loaded()
            await self.work.begin(self)
        except NotHolderError:
            return
        except StoreClientError as fault:
            self.member.log_fault(f"{self.work.name}: {fault}")
        while self.duty.token == token:
            try:
                await self.work.step(self)
                pause = self.work.period
            except NotHolderError:
                pause = RETRY_INTERVAL_S  # `on_key` or the expiry of the lease stops the work
            except StoreClientError as fault:
                pause = RETRY_INTERVAL_S
                self.member.log_fault(f"{self.work.name}: {fault}")
            except Exception:
                pause = RETRY_INTERVAL_S
                log.exception("coordination: a step of duty %s failed", self.work.name)
            await asyncio.sleep(max(pause, self.work.period))

    def release(self) -> None:
        """Hand the duty over and make no further claim."""
        self.released = True
        self.on_event(Event.RELEASE)

    @property
    def settled(self) -> bool:
        """Whether the duty is idle without pending requests."""
        return self.duty.phase is Phase.IDLE and not self.pending_requests

    def stop(self) -> None:
        """Cancel all tasks and timers."""
        for task in (*self.pending_requests, *([self.work_task] if self.work_task is not None else [])):
            task.cancel()
        if self.claim_timer is not None:
            self.claim_timer.cancel()
