"""Rollouts of the program: what the store and the supervisors say, as the conductor's table wants it, and the
writes that its steps are."""

from __future__ import annotations

import secrets
import time

import msgspec

from gladegw.control.rollout_plan import Plan
from gladegw.control.store_cache import StoreCache
from gladegw.coordination import rollout as table
from gladegw.coordination.records import MemberRecord, ProgramRecord, RolloutRecord, SupervisorRecord, encode
from gladegw.coordination.rollout import Observation, Phase
from gladegw.coordination.store import Compare, Operation, Put, Target

KIND = "program"
CAPABILITY = "program rollouts"  # what members say that they know who know these
SERVING_STATES = ("steady", "keeping")  # states of a supervisor in which its version serves and nothing moves
MAX_RESTARTS = 2  # of a name in a stage, from which the version is taken for bad


def supervisors(view: StoreCache) -> dict[str, SupervisorRecord]:
    return {one.name: one for _, one in view.records("supervisors", form=SupervisorRecord)}


def committed_program(view: StoreCache) -> ProgramRecord | None:
    return view.read(view.keys.program, ProgramRecord)


def newest(view: StoreCache) -> dict[str, MemberRecord]:
    """The process that each name began last."""
    found: dict[str, MemberRecord] = {}
    for _, member in view.members():
        if member.name not in found or member.since > found[member.name].since:
            found[member.name] = member
    return found


def not_running(view: StoreCache, names: tuple[str, ...], version: str) -> dict[str, str]:
    """Why a name does not run this version, by those that don't."""
    told, members, found = supervisors(view), newest(view), {}
    for name in names:
        one, member = told.get(name), members.get(name)
        if one is None:
            found[name] = "its supervisor is not heard of"
        elif one.state not in SERVING_STATES or one.version != version:
            found[name] = f"{one.state}, {one.version}"
        elif member is None or member.version != version:
            found[name] = "its process is not registered"
    return found


def failure_reason(view: StoreCache, names: tuple[str, ...], version: str, epoch: int) -> str:
    """Why some name can't run this version, as its supervisor has found; empty: none says so."""
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
    return tuple(sorted({member.name for _, member in view.members()} | supervisors(view).keys()))


def observe(view: StoreCache, record: RolloutRecord, waited_s: float) -> Observation:
    """`waited`: s since the stage's write was seen first. A stage counts as in force once all of its names
    run it, and as open until then."""
    program = committed_program(view) or ProgramRecord(epoch=0, version=record.old)
    phase, mine = Phase(record.phase), program.rollout == record.id
    named = program.named if program.new else all_names(view)
    awaited = not_running(view, named, program.new or program.version) if mine else {}
    bad = failure_reason(view, named, record.new, program.epoch) if mine else ""
    if awaited and not bad and waited_s > record.deadline_s and phase is not Phase.BAKING:
        name = min(awaited)
        bad = f"{name} does not run it after {record.deadline_s} s: {awaited[name]}"
    before = (record.id, record.stages[record.stage - 1]) if record.stage else None
    if phase is Phase.ROLLING_BACK and mine and not program.new and program.version == record.old:
        return Observation(record.old, None, record.id if awaited and not bad else None)
    if phase is Phase.FINISHING and mine and not program.new:
        if awaited or bad:
            staged = (record.id, record.stages[-1]) if record.stages else None
            return Observation(record.old, staged, record.id, bad)
        return Observation(program.version)
    staged = (program.rollout, program.named) if program.new else None
    if phase is Phase.ADVANCING and mine and staged == (record.id, record.stages[record.stage]):
        if awaited or bad:
            return Observation(program.version, before, record.id, bad)
        return Observation(program.version, staged)
    if phase is Phase.BAKING and bad:
        return Observation(program.version, staged, reverted_members=(bad,))
    return Observation(program.version, staged)


def _next_program(
    view: StoreCache, record: RolloutRecord, version: str, why: str = ""
) -> tuple[ProgramRecord, Compare]:
    program, held = committed_program(view), view.entries.get(view.keys.program)
    same = Compare(view.keys.program, Target.MOD, "=", held.mod_revision if held is not None else 0)
    epoch = program.epoch + 1 if program is not None else 1
    made = ProgramRecord(
        epoch=epoch, version=version, rollout=record.id, who=record.who, why=why or record.why, at=time.time()
    )
    return made, same


def stage_writes(view: StoreCache, record: RolloutRecord) -> tuple[list[Operation], tuple[Compare, ...]]:
    """The stage, or the new version for all; nobody is asked, each supervisor tries it beside what serves."""
    whole = record.phase == Phase.FINISHING.value
    made, same = _next_program(view, record, record.new if whole else record.old)
    if not whole:
        named, confirm = record.stages[record.stage], record.confirm_s
        made = msgspec.structs.replace(made, new=record.new, named=named, confirm_s=confirm)
    return [Put(view.keys.program, encode(made))], (same,)


def rollback_writes(view: StoreCache, record: RolloutRecord) -> tuple[list[Operation], tuple[Compare, ...]]:
    """The old version for all, unless it is that already."""
    program, held = committed_program(view), view.entries.get(view.keys.program)
    mine = program is not None and program.rollout == record.id
    if mine and program is not None and record.new in (program.new, program.version):
        made, same = _next_program(
            view, record, record.old, f"rollout {record.id} is taken back: {record.reason}"
        )
        return [Put(view.keys.program, encode(made))], (same,)
    return [], (Compare(view.keys.program, Target.MOD, "=", held.mod_revision if held is not None else 0),)


def start_writes(
    view: StoreCache, plan: Plan, confirm: int, who: str, why: str
) -> tuple[RolloutRecord, list[Operation], tuple[Compare, ...]]:
    """The record, and what it is written with. Raises ValueError with the reason why it can't be started."""
    at, program, told = view.keys, committed_program(view), supervisors(view)
    members = newest(view)
    without = sorted(name for name in members if name not in told)
    if without or not members:
        raise ValueError(f"no supervisor is heard of: {', '.join(without) or 'there is no member'}")
    old = sorted(name for name, member in members.items() if CAPABILITY not in member.knows)
    if old:
        raise ValueError(f"the program is too old to conduct this: {', '.join(old)}")
    if program is not None and program.new:
        raise ValueError(f"rollout {program.rollout} has left its stage in force: `rollout back` first")
    versions = sorted({one.version for one in told.values()})
    if len(versions) > 1 or any(one.state != "steady" for one in told.values()):
        raise ValueError(f"not all are steady with one version: {', '.join(versions)}")
    if program is not None and program.version != versions[0]:
        raise ValueError(f"{program.version} is in force and {versions[0]} runs")
    if versions[0] == plan.program:
        raise ValueError("that version runs already")
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
    held = view.entries.get(at.program)
    if held is None:
        first = ProgramRecord(epoch=1, version=record.old, who=who, why="as it was found", at=time.time())
        done.append(Put(at.program, encode(first)))
    same = Compare(at.program, Target.MOD, "=", held.mod_revision if held is not None else 0)
    return record, done, (same,)
