"""One duty at this process: its machine's actions carried out against the store."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from gladegw.control.duties.base import DutyWork, NotHolderError
from gladegw.control.errors import StoreClientError
from gladegw.coordination import duty as duties
from gladegw.coordination.duty import Action, Duty, Event, Phase
from gladegw.coordination.records import DutyHolderRecord, SuccessorRecord, encode
from gladegw.coordination.store import Compare, Get, KeyValue, Operation, Put, TxnResult

if TYPE_CHECKING:
    from gladegw.control.member import FleetMember

log = logging.getLogger(__name__)

RETRY_INTERVAL_S = (
    0.2  # s until a request whose outcome is not known is looked into again, and a step that failed
)


class LeaderElection:
    """`told` is called with (token, begun) at each begin and end, for the record of a test or a rig."""

    def __init__(
        self, member: FleetMember, work: DutyWork, on_change: Callable[[str, int, bool], None]
    ) -> None:
        self.member, self.work, self.on_change = member, work, on_change
        self.key = member.keys.duty(work.name)
        self.duty = Duty()
        self.cache = member.cache
        self.pending_requests: set[asyncio.Task[None]] = set()
        self.work_task: asyncio.Task[None] | None = None
        self.claim_timer: asyncio.TimerHandle | None = None
        self.released = False  # handed over for good: no further claim

    @property
    def token(self) -> int:
        return self.duty.token

    @property
    def idle(self) -> bool:
        """Whether another holds it and nothing is asked: news of other keys change nothing."""
        return self.duty.phase is Phase.IDLE and self.key in self.cache.entries and self.claim_timer is None

    # what the store says
    def on_key(self, found: KeyValue | None, revision: int) -> None:
        """The key as some word of the store has it, at this revision."""
        token, held_by = (found.create_revision, found.lease) if found is not None else (0, 0)
        event = duties.event_of_key(token, held_by, self.member.lease)
        self.on_event(event, token, revision)

    def on_event(self, event: Event, token: int = 0, revision: int = 0) -> None:
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
        """Whether it is this process's turn to claim, now or in a moment."""
        vacant = (
            self.key not in self.cache.entries
            and self.cache.known_revision(self.member.keys.claims) >= self.duty.seen_revision
        )
        may = vacant and self.duty.phase is Phase.IDLE and self.member.may_claim and not self.released
        if not may:
            if self.claim_timer is not None:
                self.claim_timer.cancel()
                self.claim_timer = None
        elif self.claim_timer is None:
            wait = self.member.claim_delay(self.work.name)
            self.claim_timer = self.member.loop.call_later(wait, self._claim)

    def _claim(self) -> None:
        self.claim_timer = None
        if self.key not in self.cache.entries and self.member.may_claim and not self.released:
            self.on_event(Event.CLAIM_DUE)

    # actions
    def _send(self, action: Action) -> None:
        task = self.member.loop.create_task(self._request(action))
        self.pending_requests.add(task)
        task.add_done_callback(self.pending_requests.discard)

    async def _request(self, action: Action) -> None:
        agent = self.member
        lease = agent.lease.id
        try:
            if action is Action.READ:
                await asyncio.sleep(RETRY_INTERVAL_S)
                revision, found = await agent.client.get(Get(self.key))  # linearizable: a claim hangs on it
                self.on_key(found[0] if found else None, revision)
                return
            if action is Action.CLAIM:
                record = DutyHolderRecord(holder=agent.name, incarnation=agent.incarnation, since=time.time())
                done = await agent.client.txn(duties.claim(self.key, encode(record), lease))
                if done.succeeded:
                    event = duties.event_of_key(done.revision, lease, agent.lease)
                    self.on_event(event, done.revision, done.revision)
                    return
            else:
                heir = agent.successor(self.work.name)
                also = (
                    (Put(agent.keys.successor(self.work.name), encode(SuccessorRecord(name=heir))),)
                    if heir
                    else ()
                )
                done = await agent.client.txn(duties.release(self.key, lease, also))
                if done.succeeded:
                    self.on_event(Event.VACANT, 0, done.revision)
                    return
            self.on_key(done.found[0][0] if done.found[0] else None, done.revision)
        except StoreClientError as fault:
            agent.log_fault(f"{self.work.name}: {action.value}: {fault}")
            if action is Action.RELEASE:
                await asyncio.sleep(RETRY_INTERVAL_S)
            self.on_event(Event.UNKNOWN)

    # the work
    async def grant(self, ttl: int) -> int:
        return (await self.member.client.grant(ttl))[0]

    async def names(self, first: bytes, end: bytes) -> list[bytes]:
        return await self.member.client.names(first, end)

    async def effect(self, *operations: Operation, compares: tuple[Compare, ...] = ()) -> TxnResult:
        token = self.duty.token
        if not duties.may_act(self.duty, self.member.lease, self.member.clock()):
            raise NotHolderError(self.work.name)
        done = await self.member.client.txn(duties.fenced(self.key, token, *operations, compares=compares))
        if not done.succeeded:
            self.on_key(done.found[0][0] if done.found[0] else None, done.revision)
            raise NotHolderError(self.work.name, begun=True)
        return done

    def _start_work(self) -> None:
        self.on_change(self.work.name, self.duty.token, True)
        self.member.reported_watch.want(self.work.name, self.work.reads_reported)
        self.member.live_watch.want(self.work.name, True)
        log.warning("coordination: holds %s, token %d", self.work.name, self.duty.token)
        self.work_task = self.member.loop.create_task(self._run_work(self.duty.token))

    def _stop_work(self, token: int) -> None:
        self.on_change(self.work.name, token, False)
        self.member.reported_watch.want(self.work.name, False)
        self.member.live_watch.want(self.work.name, False)
        log.warning("coordination: holds %s no more, token %d", self.work.name, token)
        working, self.work_task = self.work_task, None
        if working is not None:
            working.cancel()
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
                pause = RETRY_INTERVAL_S  # what it was is heard of by the same answer, or found by the bound
            except StoreClientError as fault:
                pause = RETRY_INTERVAL_S
                self.member.log_fault(f"{self.work.name}: {fault}")
            except Exception:
                pause = RETRY_INTERVAL_S
                log.exception("coordination: %s", self.work.name)
            await asyncio.sleep(max(pause, self.work.period))

    def release(self) -> None:
        self.released = True
        self.on_event(Event.RELEASE)

    @property
    def settled(self) -> bool:
        return self.duty.phase is Phase.IDLE and not self.pending_requests

    def stop(self) -> None:
        for task in (*self.pending_requests, *([self.work_task] if self.work_task is not None else [])):
            task.cancel()
        if self.claim_timer is not None:
            self.claim_timer.cancel()
