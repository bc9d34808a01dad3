"""Rollouts of program versions: observations for the rollout state machine, and the writes of its steps."""

from __future__ import annotations

import secrets
import time

import msgspec

from gladegw.control.errors import ChangeRejectedError
from gladegw.control.rollout_plan import Plan
from gladegw.control.store_cache import StoreCache
from gladegw.coordination import rollout as table
from gladegw.coordination.records import MemberRecord, ProgramRecord, RolloutRecord, SupervisorRecord, encode
from gladegw.coordination.rollout import Observation, Phase
from gladegw.coordination.store import Compare, Operation, Put, Target

KIND = "program"
CAPABILITY = "program rollouts"  # reported by members whose program can control program rollouts
SERVING_STATES = ("steady", "keeping")  # supervisor states with a serving version and no pending change
MAX_RESTARTS = 2  # restarts of a member in a stage from which on the version counts as faulty


def supervisors(view: StoreCache) -> dict[str, SupervisorRecord]:
    """Return the supervisor records by name."""
    return {
        supervisor.name: supervisor for _, supervisor in view.records("supervisors", form=SupervisorRecord)
    }


def committed_program(view: StoreCache) -> ProgramRecord | None:
    """Return the committed program version, if there is one."""
    return view.read(view.keys.program, ProgramRecord)


def newest_members(view: StoreCache) -> dict[str, MemberRecord]:
    """Return the most recently started process of each name."""
    newest: dict[str, MemberRecord] = {}
    for _, member in view.members():
        if member.name not in newest or member.since > newest[member.name].since:
            newest[member.name] = member
    return newest


def reasons_not_running(view: StoreCache, names: tuple[str, ...], version: str) -> dict[str, str]:
    """Return the names that do not run a version, each with the reason."""
    by_name, members, reasons = supervisors(view), newest_members(view), {}
    for name in names:
        supervisor, member = by_name.get(name), members.get(name)
        if supervisor is None:
            reasons[name] = "its supervisor is not registered"
        elif supervisor.state not in SERVING_STATES or supervisor.version != version:
            reasons[name] = f"its supervisor is {supervisor.state} with version {supervisor.version}"
        elif member is None or member.version != version:
            reasons[name] = "its process is not registered"
    return reasons


def failure_reason(view: StoreCache, names: tuple[str, ...], version: str, epoch: int) -> str:
    """Return why a member cannot run a version, as its supervisor reports; empty if none does."""
    for name, supervisor in sorted(supervisors(view).items()):
        if name in names and supervisor.epoch == epoch:
            if version in supervisor.refused:
                return f"{name}: {supervisor.reason}"
            if supervisor.alone:
                return f"{name} reverted by itself"
            if supervisor.version == version and supervisor.restarts >= MAX_RESTARTS:
                return f"{name} was restarted {supervisor.restarts} times"
    return ""


def all_names(view: StoreCache) -> tuple[str, ...]:
    """Return the names of all members and supervisors."""
    return tuple(sorted({member.name for _, member in view.members()} | supervisors(view).keys()))


def observe(view: StoreCache, record: RolloutRecord, waited_s: float) -> Observation:
    """Return the observation of a program rollout for its state machine.

    `waited_s` is the time since the current program record was first seen, in seconds. Supervisors do not
    vote, so a written stage counts as an open change until all of its members run the version, and as
    committed from then on.
    """
    program = committed_program(view) or ProgramRecord(epoch=0, version=record.old)
    phase, is_own = Phase(record.phase), program.rollout == record.id
    names = program.named if program.new else all_names(view)
    pending = reasons_not_running(view, names, program.new or program.version) if is_own else {}
    failure = failure_reason(view, names, record.new, program.epoch) if is_own else ""
    if pending and not failure and waited_s > record.deadline_s and phase is not Phase.BAKING:
        name = min(pending)
        failure = f"{name} does not run the version after {record.deadline_s} s: {pending[name]}"
    previous_stage = (record.id, record.stages[record.stage - 1]) if record.stage else None
    if phase is Phase.ROLLING_BACK and is_own and not program.new and program.version == record.old:
        return Observation(record.old, None, record.id if pending and not failure else None)
    if phase is Phase.FINISHING and is_own and not program.new:
        if pending or failure:
            staged = (record.id, record.stages[-1]) if record.stages else None
            return Observation(record.old, staged, record.id, failure)
        return Observation(program.version)
    staged = (program.rollout, program.named) if program.new else None
    if phase is Phase.ADVANCING and is_own and staged == (record.id, record.stages[record.stage]):
        if pending or failure:
            return Observation(program.version, previous_stage, record.id, failure)
        return Observation(program.version, staged)
    if phase is Phase.BAKING and failure:
        return Observation(program.version, staged, reverted_members=(failure,))
    return Observation(program.version, staged)


def _next_program(
    view: StoreCache, record: RolloutRecord, version: str, why: str = ""
) -> tuple[ProgramRecord, Compare]:
    program, entry = committed_program(view), view.entries.get(view.keys.program)
    unchanged = Compare(view.keys.program, Target.MOD, "=", entry.mod_revision if entry is not None else 0)
    epoch = program.epoch + 1 if program is not None else 1
    next_program = ProgramRecord(
        epoch=epoch, version=version, rollout=record.id, who=record.who, why=why or record.why, at=time.time()
    )
    return next_program, unchanged


def stage_writes(view: StoreCache, record: RolloutRecord) -> tuple[list[Operation], tuple[Compare, ...]]:
    """Return writes and comparisons that commit a stage, or the new version for all members.

    There is no vote: each supervisor starts the version beside the serving process, which serves meanwhile.
    """
    fleet_wide = record.phase == Phase.FINISHING.value
    next_program, unchanged = _next_program(view, record, record.new if fleet_wide else record.old)
    if not fleet_wide:
        named, confirm = record.stages[record.stage], record.confirm_s
        next_program = msgspec.structs.replace(next_program, new=record.new, named=named, confirm_s=confirm)
    return [Put(view.keys.program, encode(next_program))], (unchanged,)


def rollback_writes(view: StoreCache, record: RolloutRecord) -> tuple[list[Operation], tuple[Compare, ...]]:
    """Return writes and comparisons that commit the old version for all members.

    There are no writes if it is committed already.
    """
    program, entry = committed_program(view), view.entries.get(view.keys.program)
    is_own = program is not None and program.rollout == record.id
    if is_own and program is not None and record.new in (program.new, program.version):
        next_program, unchanged = _next_program(
            view, record, record.old, f"rollout {record.id} is rolled back: {record.reason}"
        )
        return [Put(view.keys.program, encode(next_program))], (unchanged,)
    return [], (Compare(view.keys.program, Target.MOD, "=", entry.mod_revision if entry is not None else 0),)


def start_writes(
    view: StoreCache, plan: Plan, confirm: int, who: str, why: str
) -> tuple[RolloutRecord, list[Operation], tuple[Compare, ...]]:
    """Return the record of a new program rollout, its writes and their comparisons.

    Raises ChangeRejectedError with the reason if it cannot be started, or ValueError for invalid stages.
    """
    keys, program, by_name = view.keys, committed_program(view), supervisors(view)
    members = newest_members(view)
    unsupervised = sorted(name for name in members if name not in by_name)
    if unsupervised or not members:
        raise ChangeRejectedError(
            f"no supervisor is registered for: {', '.join(unsupervised) or 'there are no members'}"
        )
    unsupported = sorted(name for name, member in members.items() if CAPABILITY not in member.knows)
    if unsupported:
        raise ChangeRejectedError(f"the program is too old for program rollouts: {', '.join(unsupported)}")
    if program is not None and program.new:
        raise ChangeRejectedError(
            f"rollout {program.rollout} has left its stage committed: run `rollout back` first"
        )
    versions = sorted({supervisor.version for supervisor in by_name.values()})
    if len(versions) > 1 or any(supervisor.state != "steady" for supervisor in by_name.values()):
        raise ChangeRejectedError(
            f"not all supervisors are steady with the same version: {', '.join(versions)}"
        )
    if program is not None and program.version != versions[0]:
        raise ChangeRejectedError(f"version {program.version} is committed, but {versions[0]} is running")
    if versions[0] == plan.program:
        raise ChangeRejectedError("that version is already running")
    stages = table.plan_stages(
        {name: member.zone for name, member in members.items()}, plan.stages, plan.most_of_zone
    )
    record = RolloutRecord(
        id=secrets.token_hex(6),
        old=versions[0],
        new=plan.program,
        stages=stages,
        limits=plan.limits,
        bake_s=plan.bake_s,
        most_s=plan.most_s,
        confirm_s=confirm,
        deadline_s=int(plan.move_s),
        everyone=False,
        on_thin=plan.on_thin,
        hold=plan.on_worse == "stop",
        who=who,
        why=why,
        kind=KIND,
        quiet=plan.quiet,
        phase=(Phase.ADVANCING if stages else Phase.FINISHING).value,
        at=time.time(),
    )
    writes: list[Operation] = [Put(keys.rollout, encode(record))]
    entry = view.entries.get(keys.program)
    if entry is None:
        first = ProgramRecord(
            epoch=1,
            version=record.old,
            who=who,
            why="version running before the first rollout",
            at=time.time(),
        )
        writes.append(Put(keys.program, encode(first)))
    unchanged = Compare(keys.program, Target.MOD, "=", entry.mod_revision if entry is not None else 0)
    return record, writes, (unchanged,)
