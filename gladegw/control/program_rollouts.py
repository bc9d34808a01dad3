"""Program rollouts: observations for the rollout state machine, and the writes of its steps."""

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
CAPABILITY = "program rollouts"  # capability of members that support program rollouts
SERVING_STATES = ("steady", "keeping")  # supervisor states with a serving version and no pending change
MAX_RESTARTS = 2  # of a member in a stage, from which the version counts as faulty


def supervisors(view: StoreCache) -> dict[str, SupervisorRecord]:
    """Return the supervisor records by name."""
    return {one.name: one for _, one in view.records("supervisors", form=SupervisorRecord)}


def committed_program(view: StoreCache) -> ProgramRecord | None:
    """Return the committed program version, if there is one."""
    return view.read(view.keys.program, ProgramRecord)


def newest(view: StoreCache) -> dict[str, MemberRecord]:
    """Return the most recently started process of each name."""
    found: dict[str, MemberRecord] = {}
    for _, member in view.members():
        if member.name not in found or member.since > found[member.name].since:
            found[member.name] = member
    return found


def not_running(view: StoreCache, names: tuple[str, ...], version: str) -> dict[str, str]:
    """Return the names that do not run a version, each with the reason."""
    reported, members, found = supervisors(view), newest(view), {}
    for name in names:
        one, member = reported.get(name), members.get(name)
        if one is None:
            found[name] = "its supervisor is not heard of"
        elif one.state not in SERVING_STATES or one.version != version:
            found[name] = f"{one.state}, {one.version}"
        elif member is None or member.version != version:
            found[name] = "its process is not registered"
    return found


def failure_reason(view: StoreCache, names: tuple[str, ...], version: str, epoch: int) -> str:
    """Return why a member cannot run a version, as its supervisor reports; empty if none does."""
    for name, one in sorted(supervisors(view).items()):
        if name in names and one.epoch == epoch:
            if version in one.refused:
                return f"{name}: {one.reason}"
            if one.alone:
                return f"{name} went back by itself"
            if one.version == version and one.restarts >= MAX_RESTARTS:
                return f"{name} was started again {one.restarts} times"
    return ""


def all_names(view: StoreCache) -> tuple[str, ...]:
    """Return the names of all members and supervisors."""
    return tuple(sorted({member.name for _, member in view.members()} | supervisors(view).keys()))


def observe(view: StoreCache, record: RolloutRecord, waited_s: float) -> Observation:
    """Return the observation of a program rollout for its state machine.

    `waited_s` is the time since the stage's write was first seen, in seconds. A stage counts as committed
    once all of its members run the version, and as open until then.
    """
    program = committed_program(view) or ProgramRecord(epoch=0, version=record.old)
    phase, mine = Phase(record.phase), program.rollout == record.id
    named = program.named if program.new else all_names(view)
    awaited = not_running(view, named, program.new or program.version) if mine else {}
    failure = failure_reason(view, named, record.new, program.epoch) if mine else ""
    if awaited and not failure and waited_s > record.deadline_s and phase is not Phase.BAKING:
        name = min(awaited)
        failure = f"{name} does not run it after {record.deadline_s} s: {awaited[name]}"
    before = (record.id, record.stages[record.stage - 1]) if record.stage else None
    if phase is Phase.ROLLING_BACK and mine and not program.new and program.version == record.old:
        return Observation(record.old, None, record.id if awaited and not failure else None)
    if phase is Phase.FINISHING and mine and not program.new:
        if awaited or failure:
            staged = (record.id, record.stages[-1]) if record.stages else None
            return Observation(record.old, staged, record.id, failure)
        return Observation(program.version)
    staged = (program.rollout, program.named) if program.new else None
    if phase is Phase.ADVANCING and mine and staged == (record.id, record.stages[record.stage]):
        if awaited or failure:
            return Observation(program.version, before, record.id, failure)
        return Observation(program.version, staged)
    if phase is Phase.BAKING and failure:
        return Observation(program.version, staged, reverted_members=(failure,))
    return Observation(program.version, staged)


def _next_program(
    view: StoreCache, record: RolloutRecord, version: str, why: str = ""
) -> tuple[ProgramRecord, Compare]:
    program, entry = committed_program(view), view.entries.get(view.keys.program)
    same = Compare(view.keys.program, Target.MOD, "=", entry.mod_revision if entry is not None else 0)
    epoch = program.epoch + 1 if program is not None else 1
    next_program = ProgramRecord(
        epoch=epoch, version=version, rollout=record.id, who=record.who, why=why or record.why, at=time.time()
    )
    return next_program, same


def stage_writes(view: StoreCache, record: RolloutRecord) -> tuple[list[Operation], tuple[Compare, ...]]:
    """Return the writes of a stage, or of the new version for all members.

    There is no vote: each supervisor starts the version beside the serving process.
    """
    fleet_wide = record.phase == Phase.FINISHING.value
    next_program, same = _next_program(view, record, record.new if fleet_wide else record.old)
    if not fleet_wide:
        named, confirm = record.stages[record.stage], record.confirm_s
        next_program = msgspec.structs.replace(next_program, new=record.new, named=named, confirm_s=confirm)
    return [Put(view.keys.program, encode(next_program))], (same,)


def rollback_writes(view: StoreCache, record: RolloutRecord) -> tuple[list[Operation], tuple[Compare, ...]]:
    """Return the writes of the old version for all members; none if it is committed already."""
    program, entry = committed_program(view), view.entries.get(view.keys.program)
    mine = program is not None and program.rollout == record.id
    if mine and program is not None and record.new in (program.new, program.version):
        next_program, same = _next_program(
            view, record, record.old, f"rollout {record.id} is taken back: {record.reason}"
        )
        return [Put(view.keys.program, encode(next_program))], (same,)
    return [], (Compare(view.keys.program, Target.MOD, "=", entry.mod_revision if entry is not None else 0),)


def start_writes(
    view: StoreCache, plan: Plan, confirm: int, who: str, why: str
) -> tuple[RolloutRecord, list[Operation], tuple[Compare, ...]]:
    """Return the record of a new program rollout, its writes and their comparisons.

    Raises ChangeRejectedError with the reason if it cannot be started, or ValueError for invalid stages.
    """
    at, program, reported = view.keys, committed_program(view), supervisors(view)
    members = newest(view)
    without = sorted(name for name in members if name not in reported)
    if without or not members:
        raise ChangeRejectedError(f"no supervisor is heard of: {', '.join(without) or 'there is no member'}")
    old = sorted(name for name, member in members.items() if CAPABILITY not in member.knows)
    if old:
        raise ChangeRejectedError(f"the program is too old to conduct this: {', '.join(old)}")
    if program is not None and program.new:
        raise ChangeRejectedError(
            f"rollout {program.rollout} has left its stage in force: `rollout back` first"
        )
    versions = sorted({one.version for one in reported.values()})
    if len(versions) > 1 or any(one.state != "steady" for one in reported.values()):
        raise ChangeRejectedError(f"not all are steady with one version: {', '.join(versions)}")
    if program is not None and program.version != versions[0]:
        raise ChangeRejectedError(f"{program.version} is in force and {versions[0]} runs")
    if versions[0] == plan.program:
        raise ChangeRejectedError("that version runs already")
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
    done: list[Operation] = [Put(at.rollout, encode(record))]
    entry = view.entries.get(at.program)
    if entry is None:
        first = ProgramRecord(epoch=1, version=record.old, who=who, why="as it was found", at=time.time())
        done.append(Put(at.program, encode(first)))
    same = Compare(at.program, Target.MOD, "=", entry.mod_revision if entry is not None else 0)
    return record, done, (same,)
