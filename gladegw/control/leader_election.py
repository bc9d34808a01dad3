"""One duty at this process: its machine's actions carried out against the store."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from gladegw.control.duties.base import NotHeld, Work
from gladegw.control.errors import StoreFault
from gladegw.coordination import duty as duties
from gladegw.coordination.duty import Action, Duty, Event, Phase
from gladegw.coordination.records import DutyHolderRecord, SuccessorRecord, encode
from gladegw.coordination.store import Compare, Get, KeyValue, Operation, Put, TxnResult

if TYPE_CHECKING:
    from gladegw.control.member import Agent

log = logging.getLogger(__name__)

AGAIN = 0.2  # s until a request whose outcome is not known is looked into again, and a step that failed


class Keeper:
    """`told` is called with (token, begun) at each begin and end, for the record of a test or a rig."""

    def __init__(self, agent: Agent, work: Work, told: Callable[[str, int, bool], None]) -> None:
        self.agent, self.work, self.told = agent, work, told
        self.key = agent.keys.duty(work.name)
        self.duty = Duty()
        self.view = agent.view
        self.acting: set[asyncio.Task[None]] = set()
        self.working: asyncio.Task[None] | None = None
        self.turn: asyncio.TimerHandle | None = None
        self.left = False  # handed over for good: no further claim

    @property
    def token(self) -> int:
        return self.duty.token

    @property
    def idle(self) -> bool:
        """Whether another holds it and nothing is asked: news of other keys change nothing."""
        return self.duty.phase is Phase.IDLE and self.key in self.view.keys and self.turn is None

    # what the store says
    def hear(self, found: KeyValue | None, revision: int) -> None:
        """The key as some word of the store has it, at this revision."""
        token, held_by = (found.create_revision, found.lease) if found is not None else (0, 0)
        event = duties.event_of_key(token, held_by, self.agent.lease)
        self.on(event, token, revision)

    def on(self, event: Event, token: int = 0, revision: int = 0) -> None:
        before = self.duty
        self.duty, actions = duties.step(before, event, token, revision)
        for action in actions:
            if action is Action.START:
                self._begin()
            elif action is Action.STOP:
                self._end(before.token)
            else:
                self._act(action)
        self.look()

    def look(self) -> None:
        """Whether it is this process's turn to claim, now or in a moment."""
        vacant = (
            self.key not in self.view.keys and self.view.to(self.agent.keys.claims) >= self.duty.seen_revision
        )
        may = vacant and self.duty.phase is Phase.IDLE and self.agent.able and not self.left
        if not may:
            if self.turn is not None:
                self.turn.cancel()
                self.turn = None
        elif self.turn is None:
            wait = self.agent.wait(self.work.name)
            self.turn = self.agent.loop.call_later(wait, self._turn)

    def _turn(self) -> None:
        self.turn = None
        if self.key not in self.view.keys and self.agent.able and not self.left:
            self.on(Event.CLAIM_DUE)

    # actions
    def _act(self, action: Action) -> None:
        task = self.agent.loop.create_task(self._asked(action))
        self.acting.add(task)
        task.add_done_callback(self.acting.discard)

    async def _asked(self, action: Action) -> None:
        agent = self.agent
        lease = agent.lease.id
        try:
            if action is Action.READ:
                await asyncio.sleep(AGAIN)
                revision, found = await agent.client.get(Get(self.key))  # linearizable: a claim hangs on it
                self.hear(found[0] if found else None, revision)
                return
            if action is Action.CLAIM:
                record = DutyHolderRecord(holder=agent.name, incarnation=agent.incarnation, since=time.time())
                done = await agent.client.txn(duties.claim(self.key, encode(record), lease))
                if done.succeeded:
                    event = duties.event_of_key(done.revision, lease, agent.lease)
                    self.on(event, done.revision, done.revision)
                    return
            else:
                heir = agent.heir(self.work.name)
                also = (
                    (Put(agent.keys.heir(self.work.name), encode(SuccessorRecord(name=heir))),)
                    if heir
                    else ()
                )
                done = await agent.client.txn(duties.release(self.key, lease, also))
                if done.succeeded:
                    self.on(Event.VACANT, 0, done.revision)
                    return
            self.hear(done.found[0][0] if done.found[0] else None, done.revision)
        except StoreFault as fault:
            agent.trouble(f"{self.work.name}: {action.value}: {fault}")
            if action is Action.RELEASE:
                await asyncio.sleep(AGAIN)
            self.on(Event.UNKNOWN)

    # the work
    async def grant(self, ttl: int) -> int:
        return (await self.agent.client.grant(ttl))[0]

    async def names(self, first: bytes, end: bytes) -> list[bytes]:
        return await self.agent.client.names(first, end)

    async def effect(self, *operations: Operation, compares: tuple[Compare, ...] = ()) -> TxnResult:
        token = self.duty.token
        if not duties.may_act(self.duty, self.agent.lease, self.agent.clock()):
            raise NotHeld(self.work.name)
        done = await self.agent.client.txn(duties.fenced(self.key, token, *operations, compares=compares))
        if not done.succeeded:
            self.hear(done.found[0][0] if done.found[0] else None, done.revision)
            raise NotHeld(self.work.name, begun=True)
        return done

    def _begin(self) -> None:
        self.told(self.work.name, self.duty.token, True)
        self.agent.reader.want(self.work.name, self.work.reads)
        self.agent.live.want(self.work.name, True)
        log.warning("coordination: holds %s, token %d", self.work.name, self.duty.token)
        self.working = self.agent.loop.create_task(self._work(self.duty.token))

    def _end(self, token: int) -> None:
        self.told(self.work.name, token, False)
        self.agent.reader.want(self.work.name, False)
        self.agent.live.want(self.work.name, False)
        log.warning("coordination: holds %s no more, token %d", self.work.name, token)
        working, self.working = self.working, None
        if working is not None:
            working.cancel()
        self.work.end()

    async def _work(self, token: int) -> None:
        try:
            await self.agent.live.whole.wait()
            if self.work.reads:
                await self.agent.reader.known()
            await self.work.begin(self)
        except NotHeld:
            return
        except StoreFault as fault:
            self.agent.trouble(f"{self.work.name}: {fault}")
        while self.duty.token == token:
            try:
                await self.work.step(self)
                pause = self.work.period
            except NotHeld:
                pause = AGAIN  # what it was is heard of by the same answer, or found by the bound
            except StoreFault as fault:
                pause = AGAIN
                self.agent.trouble(f"{self.work.name}: {fault}")
            except Exception:
                pause = AGAIN
                log.exception("coordination: %s", self.work.name)
            await asyncio.sleep(max(pause, self.work.period))

    def leave(self) -> None:
        self.left = True
        self.on(Event.RELEASE)

    @property
    def settled(self) -> bool:
        return self.duty.phase is Phase.IDLE and not self.acting

    def stop(self) -> None:
        for task in (*self.acting, *([self.working] if self.working is not None else [])):
            task.cancel()
        if self.turn is not None:
            self.turn.cancel()
