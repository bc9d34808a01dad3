"""Rollout records: conversion, the writes of steps, and operators' actions on rollouts."""

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
MAX_UPDATE_ATTEMPTS = 20  # attempts at a write that fails because of concurrent changes


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
    committed = view.read(view.keys.committed_policy, PolicyRecord) or PolicyRecord(epoch=0, digest="")
    change = view.read(view.keys.open_change, PolicyChangeRecord)
    outcome = view.read(view.keys.change_outcome(change_id(record)), ChangeOutcomeRecord)
    rejection = outcome.reason or "refused" if outcome is not None and outcome.outcome != "everywhere" else ""
    staged = (committed.rollout, committed.named) if committed.new else None
    reverted = [
        member.name
        for _, member in view.members()
        if staged is not None
        and member.epoch == committed.epoch
        and member.digest not in ("", own_digests(committed, member.name)[0])
    ]
    open_change = change.rollout if change is not None else None
    return Observation(committed.digest, staged, open_change, rejection, tuple(sorted(set(reverted))))


def change_id(record: RolloutRecord) -> str:
    """Return the id of the policy change of the current stage, or of the final one."""
    return f"{record.id}.{'all' if record.phase == Phase.FINISHING.value else record.stage}"


def cancel_writes(view: StoreCache, record: RolloutRecord) -> tuple[list[Operation], tuple[Compare, ...]]:
    """Return writes that cancel the rollout's open change, and comparisons that none replaced it."""
    key = view.keys.open_change
    change, kv = view.read(key, PolicyChangeRecord), view.entries.get(key)
    if kv is None:
        return [], (Compare(key, Target.CREATE, "=", 0),)
    is_own_change = change is not None and change.rollout == record.id
    return [Delete(key)] if is_own_change else [], (Compare(key, Target.MOD, "=", kv.mod_revision),)


def rollback_writes(view: StoreCache, record: RolloutRecord) -> tuple[list[Operation], tuple[Compare, ...]]:
    """Return writes and comparisons that commit the old version for all members and cancel the open change.

    No vote is needed: members of a stage keep the old routing table prepared, and starting members read the
    committed policy before they serve.
    """
    keys = view.keys
    if record.kind == program_rollouts.KIND:
        return program_rollouts.rollback_writes(view, record)
    committed, entry = view.read(keys.committed_policy, PolicyRecord), view.entries.get(keys.committed_policy)
    writes, compares = cancel_writes(view, record)
    if committed is not None and committed.new and committed.rollout == record.id:
        old_policy = PolicyRecord(
            epoch=committed.epoch + 1,
            digest=record.old,
            who=record.who,
            at=time.time(),
            why=f"rollout {record.id} is rolled back: {record.reason}",
        )
        writes += [
            Put(keys.committed_policy, encode(old_policy)),
            Put(keys.history(old_policy.epoch), encode(old_policy)),
        ]
    unchanged = Compare(
        keys.committed_policy, Target.MOD, "=", entry.mod_revision if entry is not None else 0
    )
    return writes, (*compares, unchanged)


def end_writes(view: StoreCache, record: RolloutRecord) -> list[Operation]:
    """Return the writes that end a rollout and store its final record."""
    final = msgspec.structs.replace(record, ended_at=time.time())
    return [
        Delete(view.keys.rollout),
        Delete(view.keys.rollout_evidence),
        Put(view.keys.finished_rollout(record.id), encode(final)),
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
        keys, entry = view.keys, view.entries.get(view.keys.committed_policy)
        committed = view.read(keys.committed_policy, PolicyRecord)
        if committed is None or entry is None or not committed.digest:
            raise RolloutRejectedError("no policy is committed to roll back to: propose one first")
        if committed.new:
            raise RolloutRejectedError(
                f"rollout {committed.rollout} has left its stage committed: run `rollout back` first"
            )
        if committed.digest == new:
            raise RolloutRejectedError("that bundle is already committed")
        zones = {member.name: member.zone for _, member in view.members()}
        try:
            stages = table.plan_stages(zones, plan.stages, plan.most_of_zone)
        except ValueError as fault:
            raise RolloutRejectedError(str(fault)) from None
        record = RolloutRecord(
            id=secrets.token_hex(6),
            old=committed.digest,
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
        result = await self.operator.client.txn(
            Txn(
                (
                    Compare(keys.rollout, Target.CREATE, "=", 0),
                    Compare(keys.open_change, Target.CREATE, "=", 0),
                    Compare(keys.bundle_chunk(new, 0), Target.CREATE, ">", 0),
                    Compare(keys.committed_policy, Target.MOD, "=", entry.mod_revision),
                ),
                (Put(keys.rollout, encode(record)),),
            )
        )
        if not result.succeeded:
            raise RolloutRejectedError("another rollout or policy change is under way")
        return record

    async def _start_program(self, plan: Plan, confirm: int, who: str, why: str) -> RolloutRecord:
        view = await self.operator.view()
        keys = view.keys
        try:
            record, writes, compares = program_rollouts.start_writes(view, plan, confirm, who, why)
        except ValueError as fault:
            raise RolloutRejectedError(str(fault)) from None
        absent = (
            Compare(keys.rollout, Target.CREATE, "=", 0),
            Compare(keys.open_change, Target.CREATE, "=", 0),
        )
        result = await self.operator.client.txn(Txn((*absent, *compares), tuple(writes)))
        if not result.succeeded:
            raise RolloutRejectedError("another rollout or policy change is under way")
        return record

    async def outcome(self, id: str) -> RolloutRecord:
        """Wait until the rollout has ended and return its final record."""
        while True:
            view = await self.operator.view()
            final = view.read(view.keys.finished_rollout(id), RolloutRecord)
            if final is not None:
                return final
            await asyncio.sleep(POLL_INTERVAL_S)

    async def pause(self, paused: bool) -> RolloutRecord:
        """Pause or resume the rollout."""
        return await self._update(lambda record: msgspec.structs.replace(record, paused=paused))

    async def stop(self, why: str, back: bool) -> RolloutRecord:
        """Stop the rollout, or roll it back, in one transaction that needs no running controller."""

        def stopped(record: RolloutRecord) -> RolloutRecord:
            if not back:
                return msgspec.structs.replace(record, phase=Phase.STOPPED.value, reason=why)
            return msgspec.structs.replace(record, **record_changes(table.roll_back(to_rollout(record), why)))

        return await self._update(stopped, back)

    async def _update(self, change: Any, back: bool = False) -> RolloutRecord:
        for _ in range(MAX_UPDATE_ATTEMPTS):
            view = await self.operator.view()
            keys, kv, record = (
                view.keys,
                view.entries.get(view.keys.rollout),
                view.read(view.keys.rollout, RolloutRecord),
            )
            if kv is None or record is None:
                return await self._roll_back_leftover_stage(view, back)
            after: RolloutRecord = change(record)
            writes: list[Operation] = [Put(keys.rollout, encode(after, kv.value))]
            compares: tuple[Compare, ...] = (Compare(keys.rollout, Target.MOD, "=", kv.mod_revision),)
            if back:
                more, more_compares = rollback_writes(view, after)
                writes, compares = [*writes, *more], (*compares, *more_compares)
            elif after.phase == Phase.STOPPED.value:
                more, more_compares = cancel_writes(view, after) if not record.kind else ([], ())
                writes, compares = [*end_writes(view, after), *more], (*compares, *more_compares)
            result = await self.operator.client.txn(Txn(compares, tuple(writes)))
            if result.succeeded:
                return after
        raise RolloutRejectedError("the rollout kept changing while it was being updated: try again")

    async def _roll_back_leftover_stage(self, view: StoreCache, back: bool) -> RolloutRecord:
        """Roll back a stage that a stopped rollout has left committed."""
        keys, entry = view.keys, view.entries.get(view.keys.committed_policy)
        program, committed = (
            program_rollouts.committed_program(view),
            view.read(view.keys.committed_policy, PolicyRecord),
        )
        finished_program = (
            view.read(keys.finished_rollout(program.rollout), RolloutRecord)
            if program and program.new
            else None
        )
        if back and finished_program is not None:
            return await self._roll_back_finished(view, finished_program)
        finished = (
            view.read(keys.finished_rollout(committed.rollout), RolloutRecord)
            if committed is not None and committed.rollout
            else None
        )
        if not back or finished is None or committed is None or not committed.new or entry is None:
            raise RolloutRejectedError("no rollout is under way")
        return await self._roll_back_finished(view, finished)

    async def _roll_back_finished(self, view: StoreCache, finished: RolloutRecord) -> RolloutRecord:
        keys = view.keys
        after = msgspec.structs.replace(
            finished, phase=Phase.ROLLED_BACK.value, reason="rolled back by an operator"
        )
        writes, compares = rollback_writes(view, after)
        result = await self.operator.client.txn(
            Txn(compares, (*writes, Put(keys.finished_rollout(after.id), encode(after))))
        )
        if not result.succeeded:
            raise RolloutRejectedError("the committed version has changed in the meantime")
        return after


def latest(view: StoreCache) -> RolloutRecord | None:
    """Return the current rollout, or the one that ended last."""
    current = view.read(view.keys.rollout, RolloutRecord)
    finished = sorted(history(view), key=lambda record: record.ended_at)
    return current or (finished[-1] if finished else None)


def history(view: StoreCache) -> list[RolloutRecord]:
    """Return the ended rollouts by start time."""
    records = [record for _, record in view.records("rollout", "ended", form=RolloutRecord)]
    return sorted(records, key=lambda record: record.at)


async def timeline(operator: PolicyOperator, id: str) -> list[TimelinePointRecord]:
    """Return the stored timeline of a rollout; raises StoreClientError."""
    _, entries = await operator.client.get(Get(*operator.keys.timeline(id)))
    return [decode(kv.value, TimelinePointRecord) for kv in sorted(entries, key=lambda kv: kv.key)]


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

    `members` are names with the version that each serves; `log_e` is the evidence that the stage does worse,
    by metric: the logarithm of the highest e-value so far, 0 for none.
    """
    if record is not None and record.kind == program_rollouts.KIND:
        members = [
            {"name": member.name, "version": member.version}
            for member in program_rollouts.newest_members(view).values()
        ]
    else:
        members = [{"name": member.name, "version": member.digest} for _, member in view.members()]
    members.sort(key=lambda member: member["name"])
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
