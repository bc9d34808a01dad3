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
from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.rollouts import (
    change_id,
    end_writes,
    observe,
    record_changes,
    rollback_writes,
    to_rollout,
)
from gladegw.control.sample_windows import SampleWindows
from gladegw.control.store_cache import StoreCache
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

WINDOW_S = 2.0  # s, as often as members tell their figures
MIN_BASELINE_WINDOWS = 6  # windows before the first stage, that tell what is usual
POLL_INTERVAL_S = 0.2  # s
MAX_DENSE_POINTS = 300  # windows of a stage that are all kept for its page
SPARSE_POINT_STRIDE = 10  # beyond, each so manieth
HEARTBEATS_PER_TIMEOUT = 3  # signs in the time after which members go back


class RolloutController(DutyWork):
    name = "rollout"
    period = 0.0
    reads_reported = True
    capabilities = (program_rollouts.CAPABILITY,)

    def __init__(self) -> None:
        self.id = ""
        self.windows = SampleWindows()
        self.opened_at = 0.0  # the window
        self.heartbeat_at = -1e9
        self.program_seen = (-1, 0.0)  # revision of the program's record, and when it was seen first

    async def step(self, holding: DutyContext) -> None:
        view = holding.cache
        kv, record = view.entries.get(view.keys.rollout), view.read(view.keys.rollout, RolloutRecord)
        if kv is None or record is None:
            self.id = ""
            await asyncio.sleep(5 * POLL_INTERVAL_S)
            return
        if record.id != self.id:
            self.id = record.id
            self._open_window(view)
        weighed = view.read(view.keys.rollout_evidence, EvidenceRecord)
        if weighed is None or weighed.rollout != record.id:
            weighed = EvidenceRecord(rollout=record.id, stage=0)
        await self._close_window(holding, kv, record, weighed)
        judged = self._evaluate(record, weighed)
        world = replace(
            self._observe(view, record), in_blackout=blackout_windows.in_blackout(record.quiet, time.time())
        )
        after, do = step(
            to_rollout(record),
            world,
            judged.verdict if judged is not None else None,
            judged.reason if judged is not None else "",
        )
        await self._perform(
            holding, kv, record, msgspec.structs.replace(record, **record_changes(after)), do, weighed
        )
        await asyncio.sleep(POLL_INTERVAL_S)

    def _observe(self, view: StoreCache, record: RolloutRecord) -> Observation:
        if record.kind != program_rollouts.KIND:
            return observe(view, record)
        held = view.entries.get(view.keys.program)
        now, written = time.monotonic(), held.mod_revision if held is not None else 0
        if self.program_seen[0] != written:
            self.program_seen = written, now
        return program_rollouts.observe(view, record, now - self.program_seen[1])

    # evidence
    def _open_window(self, view: StoreCache) -> None:
        self.windows.next(view.member_metrics())
        self.opened_at = time.monotonic()

    def _evaluate(self, record: RolloutRecord, weighed: EvidenceRecord) -> Evaluation | None:
        if record.phase != Phase.BAKING.value or weighed.stage != record.stage:
            return None
        baked = weighed.baked_s >= record.bake_s
        found = canary_analysis.evaluate(evidence_of(weighed), limits_of(record), baked)
        if found.verdict is Verdict.INCONCLUSIVE and weighed.baked_s >= record.most_s:
            if record.on_thin == "go on":
                return Evaluation(Verdict.NOT_WORSE, found.reason, found.e_values)
            return Evaluation(Verdict.WORSE, f"not enough evidence: {found.reason}", found.e_values)
        return found

    async def _close_window(
        self, holding: DutyContext, kv: KeyValue, record: RolloutRecord, weighed: EvidenceRecord
    ) -> None:
        """Weighs the window that is over, once it is."""
        now, view = time.monotonic(), holding.cache
        if now < self.opened_at + WINDOW_S:
            return
        lasted, self.opened_at = now - self.opened_at, now
        window = self.windows.next(view.member_metrics())
        evidence, baked = evidence_of(weighed), weighed.baked_s
        shown: tuple[Operation, ...] = ()
        if (
            record.phase == Phase.ADVANCING.value
            and record.stage == 0
            and view.keys.open_change not in view.entries
        ):
            evidence = canary_analysis.add_baseline_window(evidence, window)
        elif record.phase == Phase.BAKING.value and not record.paused and weighed.stage == record.stage:
            named = record.stages[record.stage]
            evidence = canary_analysis.add_canary_window(evidence, window, named, limits_of(record))
            baked += lasted
            if evidence.windows <= MAX_DENSE_POINTS or evidence.windows % SPARSE_POINT_STRIDE == 0:
                point = timeline_point(record, evidence, window, baked)
                shown = (
                    Put(view.keys.timeline_point(record.id, record.stage, evidence.windows), encode(point)),
                )
        else:
            return
        told = Put(view.keys.rollout_evidence, encode(evidence_record(record, evidence, baked)))
        await self._effect(holding, kv, told, *shown)

    # steps
    async def _effect(
        self, holding: DutyContext, kv: KeyValue, *done: Operation, compares: tuple[Compare, ...] = ()
    ) -> None:
        """Only while the rollout's record is what was looked at."""
        same = Compare(holding.cache.keys.rollout, Target.MOD, "=", kv.mod_revision)
        await holding.effect(*done, compares=(same, *compares))

    async def _perform(
        self,
        holding: DutyContext,
        kv: KeyValue,
        record: RolloutRecord,
        after: RolloutRecord,
        do: Step,
        weighed: EvidenceRecord,
    ) -> None:
        view = holding.cache
        put = Put(view.keys.rollout, encode(after, kv.value))
        program = record.kind == program_rollouts.KIND
        if do is Step.HEARTBEAT or (do is Step.WAIT and program):  # who comes up waits for signs, too
            await self._send_heartbeat(holding, kv, record)
        elif do is Step.PROPOSE or (do is Step.FINISH and after.phase == record.phase):
            if do is Step.PROPOSE and record.stage == 0 and not self._has_baseline(weighed):
                return
            await self._send_heartbeat(holding, kv, record)
            if program:
                done, compares = program_rollouts.stage_writes(view, record)
                await self._effect(holding, kv, *done, compares=compares)
            else:
                await self._propose(holding, kv, record)
        elif do in (Step.NEXT, Step.FINISH):
            log.warning("rollout %s: stage %d is not worse", record.id, record.stage + 1)
            await self._effect(holding, kv, put)
        elif do is Step.BAKE:
            log.warning("rollout %s: stage %d bakes", record.id, record.stage + 1)
            fresh = Evidence(baseline_levels=weighed.base, baseline_rates=weighed.usual, history=weighed.past)
            told = Put(view.keys.rollout_evidence, encode(evidence_record(record, fresh, 0.0)))
            await self._effect(holding, kv, put, told)
            self._open_window(view)
        elif do is Step.ROLL_BACK:
            done, compares = rollback_writes(view, after)
            if not done and after == record:  # it is in force, and not all have gone over yet
                return
            log.warning("rollout %s: back: %s", record.id, after.reason)
            await self._effect(holding, kv, put, *done, compares=compares)
        elif do is Step.END:
            log.warning("rollout %s: %s", record.id, after.phase)
            await self._effect(holding, kv, *end_writes(view, after))

    def _has_baseline(self, weighed: EvidenceRecord) -> bool:
        counts = [count for levels in weighed.base.values() for _, count in levels.values()]
        return max(counts, default=0) >= MIN_BASELINE_WINDOWS

    async def _send_heartbeat(self, holding: DutyContext, kv: KeyValue, record: RolloutRecord) -> None:
        now = time.monotonic()
        if now >= self.heartbeat_at + record.confirm_s / HEARTBEATS_PER_TIMEOUT:
            await self._effect(
                holding,
                kv,
                Put(holding.cache.keys.rollout_heartbeat, encode(HeartbeatRecord(rollout=record.id))),
            )
            self.heartbeat_at = now

    async def _propose(self, holding: DutyContext, kv: KeyValue, record: RolloutRecord) -> None:
        """The stage, or the new bundle for all, to the vote."""
        view = holding.cache
        held = view.entries.get(view.keys.committed_policy)
        force = view.read(view.keys.committed_policy, PolicyRecord)
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
        absent = Compare(view.keys.open_change, Target.CREATE, "=", 0)
        same = Compare(view.keys.committed_policy, Target.MOD, "=", held.mod_revision)
        put = Put(view.keys.open_change, encode(change), lease)
        await self._effect(holding, kv, put, compares=(absent, same))

    def end(self) -> None:
        self.__init__()  # type: ignore[misc]


def timeline_point(
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


def evidence_of(record: EvidenceRecord) -> Evidence:
    return Evidence(
        record.wagers,
        record.peaks,
        record.base,
        record.usual,
        record.pool,
        record.requests,
        record.windows,
        record.apart,
        record.past,
        record.lately,
    )


def evidence_record(record: RolloutRecord, evidence: Evidence, baked: float) -> EvidenceRecord:
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
