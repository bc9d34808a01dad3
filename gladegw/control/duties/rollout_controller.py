"""`rollout`: conducts the change in stages that is under way. What it decides by stands in the store; it
keeps only what the window that is open has seen."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Mapping
from dataclasses import replace

import msgspec

from gladegw.control import program_rollouts
from gladegw.control.duties.base import Holding, Work
from gladegw.control.rollouts import change_id, ended, move, pure, returned, world_of
from gladegw.control.sample_windows import Windows
from gladegw.control.store_cache import View
from gladegw.coordination import blackout_windows, canary_analysis
from gladegw.coordination.canary_analysis import Evaluation, Evidence, Limits, Sample, Verdict
from gladegw.coordination.records import (
    EvidenceRecord,
    HeartbeatRecord,
    PolicyChangeRecord,
    PolicyRecord,
    RolloutRecord,
    TimelinePointRecord,
    encode,
)
from gladegw.coordination.rollout import Observation, Phase, Step, step
from gladegw.coordination.store import Compare, KeyValue, Operation, Put, Target

log = logging.getLogger(__name__)

WINDOW = 2.0  # s, as often as members tell their figures
BEFORE = 6  # windows before the first stage, that tell what is usual
LOOK = 0.2  # s
POINTS = 300  # windows of a stage that are all kept for its page
THINNED = 10  # beyond, each so manieth
SIGNS = 3  # signs in the time after which members go back


class Conduct(Work):
    name = "rollout"
    period = 0.0
    reads = True
    knows = (program_rollouts.CAN,)

    def __init__(self) -> None:
        self.id = ""
        self.windows = Windows()
        self.opened_at = 0.0  # the window
        self.signed_at = -1e9
        self.moving = (-1, 0.0)  # revision of the program's record, and when it was seen first

    async def step(self, holding: Holding) -> None:
        view = holding.view
        kv, record = view.keys.get(view.at.rollout), view.read(view.at.rollout, RolloutRecord)
        if kv is None or record is None:
            self.id = ""
            await asyncio.sleep(5 * LOOK)
            return
        if record.id != self.id:
            self.id = record.id
            self._open(view)
        weighed = view.read(view.at.weighed, EvidenceRecord)
        if weighed is None or weighed.rollout != record.id:
            weighed = EvidenceRecord(rollout=record.id, stage=0)
        await self._window(holding, kv, record, weighed)
        judged = self._judged(record, weighed)
        world = replace(
            self._world(view, record), in_blackout=blackout_windows.in_blackout(record.quiet, time.time())
        )
        after, do = step(
            pure(record),
            world,
            judged.verdict if judged is not None else None,
            judged.reason if judged is not None else "",
        )
        await self._do(holding, kv, record, msgspec.structs.replace(record, **move(after)), do, weighed)
        await asyncio.sleep(LOOK)

    def _world(self, view: View, record: RolloutRecord) -> Observation:
        if record.kind != program_rollouts.KIND:
            return world_of(view, record)
        held = view.keys.get(view.at.program)
        now, written = time.monotonic(), held.mod_revision if held is not None else 0
        if self.moving[0] != written:
            self.moving = written, now
        return program_rollouts.world_of(view, record, now - self.moving[1])

    # evidence
    def _open(self, view: View) -> None:
        self.windows.next(view.figures())
        self.opened_at = time.monotonic()

    def _judged(self, record: RolloutRecord, weighed: EvidenceRecord) -> Evaluation | None:
        if record.phase != Phase.BAKING.value or weighed.stage != record.stage:
            return None
        baked = weighed.baked_s >= record.bake_s
        found = canary_analysis.evaluate(evidence_of(weighed), limits_of(record), baked)
        if found.verdict is Verdict.INCONCLUSIVE and weighed.baked_s >= record.most_s:
            if record.on_thin == "go on":
                return Evaluation(Verdict.NOT_WORSE, found.reason, found.e_values)
            return Evaluation(Verdict.WORSE, f"not enough evidence: {found.reason}", found.e_values)
        return found

    async def _window(
        self, holding: Holding, kv: KeyValue, record: RolloutRecord, weighed: EvidenceRecord
    ) -> None:
        """Weighs the window that is over, once it is."""
        now, view = time.monotonic(), holding.view
        if now < self.opened_at + WINDOW:
            return
        lasted, self.opened_at = now - self.opened_at, now
        window = self.windows.next(view.figures())
        evidence, baked = evidence_of(weighed), weighed.baked_s
        shown: tuple[Operation, ...] = ()
        if record.phase == Phase.ADVANCING.value and record.stage == 0 and view.at.change not in view.keys:
            evidence = canary_analysis.add_baseline_window(evidence, window)
        elif record.phase == Phase.BAKING.value and not record.paused and weighed.stage == record.stage:
            named = record.stages[record.stage]
            evidence = canary_analysis.add_canary_window(evidence, window, named, limits_of(record))
            baked += lasted
            if evidence.windows <= POINTS or evidence.windows % THINNED == 0:
                point = point_of(record, evidence, window, baked)
                shown = (Put(view.at.point(record.id, record.stage, evidence.windows), encode(point)),)
        else:
            return
        told = Put(view.at.weighed, encode(weighed_of(record, evidence, baked)))
        await self._effect(holding, kv, told, *shown)

    # steps
    async def _effect(
        self, holding: Holding, kv: KeyValue, *done: Operation, compares: tuple[Compare, ...] = ()
    ) -> None:
        """Only while the rollout's record is what was looked at."""
        same = Compare(holding.view.at.rollout, Target.MOD, "=", kv.mod_revision)
        await holding.effect(*done, compares=(same, *compares))

    async def _do(
        self,
        holding: Holding,
        kv: KeyValue,
        record: RolloutRecord,
        after: RolloutRecord,
        do: Step,
        weighed: EvidenceRecord,
    ) -> None:
        view = holding.view
        put = Put(view.at.rollout, encode(after, kv.value))
        program = record.kind == program_rollouts.KIND
        if do is Step.HEARTBEAT or (do is Step.WAIT and program):  # who comes up waits for signs, too
            await self._sign(holding, kv, record)
        elif do is Step.PROPOSE or (do is Step.FINISH and after.phase == record.phase):
            if do is Step.PROPOSE and record.stage == 0 and not self._usual(weighed):
                return
            await self._sign(holding, kv, record)
            if program:
                done, compares = program_rollouts.moved(view, record)
                await self._effect(holding, kv, *done, compares=compares)
            else:
                await self._propose(holding, kv, record)
        elif do in (Step.NEXT, Step.FINISH):
            log.warning("rollout %s: stage %d is not worse", record.id, record.stage + 1)
            await self._effect(holding, kv, put)
        elif do is Step.BAKE:
            log.warning("rollout %s: stage %d bakes", record.id, record.stage + 1)
            fresh = Evidence(baseline_levels=weighed.base, baseline_rates=weighed.usual, history=weighed.past)
            told = Put(view.at.weighed, encode(weighed_of(record, fresh, 0.0)))
            await self._effect(holding, kv, put, told)
            self._open(view)
        elif do is Step.ROLL_BACK:
            done, compares = returned(view, after)
            if not done and after == record:  # it is in force, and not all have gone over yet
                return
            log.warning("rollout %s: back: %s", record.id, after.reason)
            await self._effect(holding, kv, put, *done, compares=compares)
        elif do is Step.END:
            log.warning("rollout %s: %s", record.id, after.phase)
            await self._effect(holding, kv, *ended(view, after))

    def _usual(self, weighed: EvidenceRecord) -> bool:
        counts = [count for levels in weighed.base.values() for _, count in levels.values()]
        return max(counts, default=0) >= BEFORE

    async def _sign(self, holding: Holding, kv: KeyValue, record: RolloutRecord) -> None:
        now = time.monotonic()
        if now >= self.signed_at + record.confirm_s / SIGNS:
            await self._effect(
                holding, kv, Put(holding.view.at.sign, encode(HeartbeatRecord(rollout=record.id)))
            )
            self.signed_at = now

    async def _propose(self, holding: Holding, kv: KeyValue, record: RolloutRecord) -> None:
        """The stage, or the new bundle for all, to the vote."""
        view = holding.view
        held = view.keys.get(view.at.force)
        force = view.read(view.at.force, PolicyRecord)
        if held is None or force is None:
            return
        whole = record.phase == Phase.FINISHING.value
        members = tuple(sorted(f"{one.name}#{one.incarnation}" for _, one in view.members()))
        change = PolicyChangeRecord(
            id=change_id(record),
            epoch=force.epoch + 1,
            digest=record.new if whole else record.old,
            new="" if whole else record.new,
            named=() if whole else record.stages[record.stage],
            rollout=record.id,
            confirm_s=record.confirm_s,
            members=members,
            everyone=record.everyone,
            who=record.who,
            why=record.why,
            at=time.time(),
        )
        lease = await holding.grant(record.deadline_s)
        absent = Compare(view.at.change, Target.CREATE, "=", 0)
        same = Compare(view.at.force, Target.MOD, "=", held.mod_revision)
        put = Put(view.at.change, encode(change), lease)
        await self._effect(holding, kv, put, compares=(absent, same))

    def end(self) -> None:
        self.__init__()  # type: ignore[misc]


def point_of(
    record: RolloutRecord, evidence: Evidence, window: Mapping[str, Sample], baked: float
) -> TimelinePointRecord:
    named = set(record.stages[record.stage])
    new = [sample for name, sample in window.items() if name in named]
    others = [sample for name, sample in window.items() if name not in named]
    log_e = {figure: round(canary_analysis.mixture(wager), 3) for figure, wager in evidence.wagers.items()}
    return TimelinePointRecord(
        at=round(time.time() - record.at, 2),
        stage=record.stage,
        baked_s=round(baked, 2),
        log_e=log_e,
        new=canary_analysis.aggregate(new),
        others=canary_analysis.aggregate(others),
    )


def limits_of(record: RolloutRecord) -> Limits:
    told = record.limits
    return Limits(told.failed, told.refused, told.late, told.level, told.alpha, told.least_requests)


def evidence_of(told: EvidenceRecord) -> Evidence:
    return Evidence(
        told.wagers,
        told.peaks,
        told.base,
        told.usual,
        told.pool,
        told.requests,
        told.windows,
        told.apart,
        told.past,
        told.lately,
    )


def weighed_of(record: RolloutRecord, evidence: Evidence, baked: float) -> EvidenceRecord:
    base = {name: dict(levels) for name, levels in evidence.baseline_levels.items()}
    return EvidenceRecord(
        rollout=record.id,
        stage=record.stage,
        baked_s=baked,
        wagers=dict(evidence.wagers),
        peaks=dict(evidence.peaks),
        base=base,
        usual=dict(evidence.baseline_rates),
        pool=dict(evidence.residuals),
        requests=evidence.requests,
        windows=evidence.windows,
        apart=evidence.divergent_windows,
        past=evidence.history,
        lately=evidence.recent,
    )
