"""Rollout records: conversion, writes, and operators' actions on rollouts."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Mapping
from typing import Any

import msgspec

from gladegw.control import program_rollouts
from gladegw.control.policy_participant import own_digests
from gladegw.control.policy_proposals import PolicyOperator
from gladegw.control.rollout_plan import Plan
from gladegw.control.store_cache import StoreCache
from gladegw.coordination import rollout as table
from gladegw.coordination.records import (
    ChangeOutcomeRecord,
    EvidenceRecord,
    PolicyChangeRecord,
    PolicyRecord,
    RolloutRecord,
    TimelinePointRecord,
    decode,
    encode,
)
from gladegw.coordination.rollout import Observation, Phase
from gladegw.coordination.store import Compare, Delete, Get, Operation, Put, Target, Txn

POLL_INTERVAL_S = 0.1
MAX_UPDATE_ATTEMPTS = 20  # of a write after concurrent changes


def to_rollout(record: RolloutRecord) -> table.Rollout:
    """Convert a record to the state of the state machine."""
    return table.Rollout(
        record.id,
        record.old,
        record.new,
        record.stages,
        record.stage,
        Phase(record.phase),
        record.paused,
        record.reason,
        record.hold,
    )


def record_changes(after: table.Rollout) -> dict[str, Any]:
    """Return the fields of the record that a step may change."""
    return {"stage": after.stage, "phase": after.phase.value, "paused": after.paused, "reason": after.reason}


def observe(view: StoreCache, record: RolloutRecord) -> Observation:
    """Return the observation of a policy rollout for its state machine."""
    force = view.read(view.keys.committed_policy, PolicyRecord) or PolicyRecord(epoch=0, digest="")
    change = view.read(view.keys.open_change, PolicyChangeRecord)
    over = view.read(view.keys.change_outcome(change_id(record)), ChangeOutcomeRecord)
    refused = over.reason or "refused" if over is not None and over.outcome != "everywhere" else ""
    staged = (force.rollout, force.named) if force.new else None
    reverted = [
        member.name
        for _, member in view.members()
        if staged is not None
        and member.epoch == force.epoch
        and member.digest not in ("", own_digests(force, member.name)[0])
    ]
    opened = change.rollout if change is not None else None
    return Observation(force.digest, staged, opened, refused, tuple(sorted(set(reverted))))


def change_id(record: RolloutRecord) -> str:
    """Return the id of the policy change of the current stage, or of the final one."""
    return f"{record.id}.{'all' if record.phase == Phase.FINISHING.value else record.stage}"


def cancel_writes(view: StoreCache, record: RolloutRecord) -> tuple[list[Operation], tuple[Compare, ...]]:
    """Return writes that cancel the rollout's open change, and comparisons that it is still the open one."""
    key = view.keys.open_change
    change, kv = view.read(key, PolicyChangeRecord), view.entries.get(key)
    if kv is None:
        return [], (Compare(key, Target.CREATE, "=", 0),)
    mine = change is not None and change.rollout == record.id
    return [Delete(key)] if mine else [], (Compare(key, Target.MOD, "=", kv.mod_revision),)


def rollback_writes(view: StoreCache, record: RolloutRecord) -> tuple[list[Operation], tuple[Compare, ...]]:
    """Return writes and comparisons that commit the old version for all members and cancel the open change.

    No vote is needed: members of a stage hold the old table, and starting members read before they serve.
    """
    at = view.keys
    if record.kind == program_rollouts.KIND:
        return program_rollouts.rollback_writes(view, record)
    force, entry = view.read(at.committed_policy, PolicyRecord), view.entries.get(at.committed_policy)
    done, compares = cancel_writes(view, record)
    if force is not None and force.new and force.rollout == record.id:
        back = PolicyRecord(
            epoch=force.epoch + 1,
            digest=record.old,
            who=record.who,
            at=time.time(),
            why=f"rollout {record.id} is taken back: {record.reason}",
        )
        done += [Put(at.committed_policy, encode(back)), Put(at.history(back.epoch), encode(back))]
    same = Compare(at.committed_policy, Target.MOD, "=", entry.mod_revision if entry is not None else 0)
    return done, (*compares, same)


def end_writes(view: StoreCache, record: RolloutRecord) -> list[Operation]:
    """Return the writes that end a rollout and store its final record."""
    over = msgspec.structs.replace(record, ended_at=time.time())
    return [
        Delete(view.keys.rollout),
        Delete(view.keys.rollout_evidence),
        Put(view.keys.finished_rollout(record.id), encode(over)),
    ]


class RolloutRejectedError(ValueError):
    """An action on a rollout was rejected and nothing was changed; the message is one line."""


class RolloutOperator:
    """Operator's access to the rollouts of one installation."""

    def __init__(self, operator: PolicyOperator) -> None:
        self.operator = operator

    async def start(
        self,
        plan: Plan,
        files: Mapping[str, str],
        confirm: int,
        deadline: int,
        everyone: bool,
        who: str,
        why: str,
    ) -> RolloutRecord:
        """Start a rollout of a bundle or a program version.

        `confirm` is the heartbeat timeout and `deadline` the limit of each stage's vote, in seconds. Raises
        RolloutRejectedError, or StoreClientError if the outcome is unknown.
        """
        if plan.program:
            return await self._start_program(plan, confirm, who, why)
        new = await self.operator.upload(files)
        view = await self.operator.view()
        at, entry = view.keys, view.entries.get(view.keys.committed_policy)
        force = view.read(at.committed_policy, PolicyRecord)
        if force is None or entry is None or not force.digest:
            raise RolloutRejectedError("no policy is in force that it could go back to: propose one first")
        if force.new:
            raise RolloutRejectedError(
                f"rollout {force.rollout} has left its stage in force: `rollout back` first"
            )
        if force.digest == new:
            raise RolloutRejectedError("that bundle is in force already")
        zones = {member.name: member.zone for _, member in view.members()}
        try:
            stages = table.plan_stages(zones, plan.stages, plan.most_of_zone)
        except ValueError as fault:
            raise RolloutRejectedError(str(fault)) from None
        record = RolloutRecord(
            id=secrets.token_hex(6),
            old=force.digest,
            new=new,
            stages=stages,
            limits=plan.limits,
            bake_s=plan.bake_s,
            most_s=plan.most_s,
            confirm_s=confirm,
            deadline_s=deadline,
            everyone=everyone,
            on_thin=plan.on_thin,
            hold=plan.on_worse == "stop",
            who=who,
            why=why,
            quiet=plan.quiet,
            phase=(Phase.ADVANCING if stages else Phase.FINISHING).value,
            at=time.time(),
        )
        done = await self.operator.client.txn(
            Txn(
                (
                    Compare(at.rollout, Target.CREATE, "=", 0),
                    Compare(at.open_change, Target.CREATE, "=", 0),
                    Compare(at.bundle_chunk(new, 0), Target.CREATE, ">", 0),
                    Compare(at.committed_policy, Target.MOD, "=", entry.mod_revision),
                ),
                (Put(at.rollout, encode(record)),),
            )
        )
        if not done.succeeded:
            raise RolloutRejectedError("another rollout or change of policy is under way")
        return record

    async def _start_program(self, plan: Plan, confirm: int, who: str, why: str) -> RolloutRecord:
        view = await self.operator.view()
        at = view.keys
        try:
            record, writes, compares = program_rollouts.start_writes(view, plan, confirm, who, why)
        except ValueError as fault:
            raise RolloutRejectedError(str(fault)) from None
        absent = Compare(at.rollout, Target.CREATE, "=", 0), Compare(at.open_change, Target.CREATE, "=", 0)
        done = await self.operator.client.txn(Txn((*absent, *compares), tuple(writes)))
        if not done.succeeded:
            raise RolloutRejectedError("another rollout or change of policy is under way")
        return record

    async def outcome(self, id: str) -> RolloutRecord:
        """Wait until the rollout has ended and return its final record."""
        while True:
            view = await self.operator.view()
            over = view.read(view.keys.finished_rollout(id), RolloutRecord)
            if over is not None:
                return over
            await asyncio.sleep(POLL_INTERVAL_S)

    async def pause(self, paused: bool) -> RolloutRecord:
        """Pause or resume the rollout."""
        return await self._update(lambda record: msgspec.structs.replace(record, paused=paused))

    async def stop(self, why: str, back: bool) -> RolloutRecord:
        """Stop the rollout, or roll it back, in one transaction that does not depend on a controller."""

        def changed(record: RolloutRecord) -> RolloutRecord:
            if not back:
                return msgspec.structs.replace(record, phase=Phase.STOPPED.value, reason=why)
            return msgspec.structs.replace(record, **record_changes(table.roll_back(to_rollout(record), why)))

        return await self._update(changed, back)

    async def _update(self, change: Any, back: bool = False) -> RolloutRecord:
        for _ in range(MAX_UPDATE_ATTEMPTS):
            view = await self.operator.view()
            at, kv, record = (
                view.keys,
                view.entries.get(view.keys.rollout),
                view.read(view.keys.rollout, RolloutRecord),
            )
            if kv is None or record is None:
                return await self._roll_back_leftover_stage(view, back)
            after: RolloutRecord = change(record)
            done: list[Operation] = [Put(at.rollout, encode(after, kv.value))]
            compares: tuple[Compare, ...] = (Compare(at.rollout, Target.MOD, "=", kv.mod_revision),)
            if back:
                more, more_compares = rollback_writes(view, after)
                done, compares = [*done, *more], (*compares, *more_compares)
            elif after.phase == Phase.STOPPED.value:
                more, more_compares = cancel_writes(view, after) if not record.kind else ([], ())
                done, compares = [*end_writes(view, after), *more], (*compares, *more_compares)
            result = await self.operator.client.txn(Txn(compares, tuple(done)))
            if result.succeeded:
                return after
        raise RolloutRejectedError("it changes faster than it can be asked to")

    async def _roll_back_leftover_stage(self, view: StoreCache, back: bool) -> RolloutRecord:
        """Roll back a stage that a stopped rollout has left committed."""
        at, entry = view.keys, view.entries.get(view.keys.committed_policy)
        program, force = (
            program_rollouts.committed_program(view),
            view.read(view.keys.committed_policy, PolicyRecord),
        )
        left = (
            view.read(at.finished_rollout(program.rollout), RolloutRecord)
            if program and program.new
            else None
        )
        if back and left is not None:
            return await self._roll_back_finished(view, left)
        over = (
            view.read(at.finished_rollout(force.rollout), RolloutRecord)
            if force is not None and force.rollout
            else None
        )
        if not back or over is None or force is None or not force.new or entry is None:
            raise RolloutRejectedError("no rollout is under way")
        return await self._roll_back_finished(view, over)

    async def _roll_back_finished(self, view: StoreCache, over: RolloutRecord) -> RolloutRecord:
        at = view.keys
        after = msgspec.structs.replace(
            over, phase=Phase.ROLLED_BACK.value, reason="taken back by an operator"
        )
        done, compares = rollback_writes(view, after)
        result = await self.operator.client.txn(
            Txn(compares, (*done, Put(at.finished_rollout(after.id), encode(after))))
        )
        if not result.succeeded:
            raise RolloutRejectedError("what is in force has changed meanwhile")
        return after


def latest(view: StoreCache) -> RolloutRecord | None:
    """Return the current rollout, or the one that ended last."""
    now = view.read(view.keys.rollout, RolloutRecord)
    over = sorted(history(view), key=lambda one: one.ended_at)
    return now or (over[-1] if over else None)


def history(view: StoreCache) -> list[RolloutRecord]:
    """Return the ended rollouts by start time."""
    found = [one for _, one in view.records("rollout", "ended", form=RolloutRecord)]
    return sorted(found, key=lambda one: one.at)


async def timeline(operator: PolicyOperator, id: str) -> list[TimelinePointRecord]:
    """Return the stored timeline of a rollout; raises StoreClientError."""
    _, found = await operator.client.get(Get(*operator.keys.timeline(id)))
    return [decode(kv.value, TimelinePointRecord) for kv in sorted(found, key=lambda kv: kv.key)]


STATES = {
    Phase.ADVANCING: "running",
    Phase.BAKING: "running",
    Phase.FINISHING: "running",
    Phase.ROLLING_BACK: "going back",
    Phase.DONE: "done",
    Phase.STOPPED: "stopped",
    Phase.ROLLED_BACK: "back",
}


def status(view: StoreCache, record: RolloutRecord | None) -> dict[str, Any]:
    """Return the status of a rollout as `rollout status` shows it.

    `members` are names with the version that each serves; `log_e` is the evidence by metric, 0 for none.
    """
    if record is not None and record.kind == program_rollouts.KIND:
        members = [
            {"name": one.name, "version": one.version} for one in program_rollouts.newest(view).values()
        ]
    else:
        members = [{"name": member.name, "version": member.digest} for _, member in view.members()]
    members.sort(key=lambda one: one["name"])
    if record is None:
        return {"state": "none", "stage": 0, "stages": 0, "verdict": "", "members": members}
    phase = Phase(record.phase)
    state = "paused" if record.paused and STATES[phase] == "running" else STATES[phase]
    stored = view.read(view.keys.rollout_evidence, EvidenceRecord)
    peaks, baked = {}, 0.0
    if stored is not None and stored.rollout == record.id and stored.stage == record.stage:
        peaks, baked = dict(stored.peaks), stored.baked_s
    fleet_wide = phase in (Phase.FINISHING, Phase.DONE)
    return {
        "state": state,
        "stage": len(record.stages) + 1 if fleet_wide else record.stage + 1,
        "stages": len(record.stages) + 1,
        "verdict": record.reason,
        "members": members,
        "id": record.id,
        "phase": record.phase,
        "old": record.old,
        "new": record.new,
        "baked_s": round(baked, 1),
        "named": list(record.stages[record.stage]) if record.stages else [],
        "log_e": {name: round(value, 2) for name, value in sorted(peaks.items())},
    }
