"""Duty `rollout`: controls the current rollout.

All state on which decisions depend is in the store, except for the metrics at the start of the open
window.
"""

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

WINDOW_S = 2.0  # the interval at which members report metrics
MIN_BASELINE_WINDOWS = 6  # windows that the baseline needs before the first stage is proposed
POLL_INTERVAL_S = 0.2
MAX_DENSE_POINTS = 300  # windows of a stage whose points are all stored
SPARSE_POINT_STRIDE = 10  # beyond MAX_DENSE_POINTS, only each tenth point is stored
HEARTBEATS_PER_TIMEOUT = 3  # heartbeats during the timeout after which members revert by themselves


class RolloutController(DutyWork):
    """Controller of policy and program rollouts."""

    name = "rollout"
    period = 0.0
    reads_reported = True
    capabilities = (program_rollouts.CAPABILITY,)

    def __init__(self) -> None:
        self.id = ""  # of the current rollout
        self.windows = SampleWindows()
        self.opened_at = 0.0  # start of the window, on the monotonic clock
        self.heartbeat_at = -1e9  # the last heartbeat, on the monotonic clock
        self.program_seen = (-1, 0.0)  # revision of the program record, and when it was first seen

    async def step(self, context: DutyContext) -> None:
        """Evaluate the rollout and execute the next action of its state machine."""
        view = context.cache
        kv, record = view.entries.get(view.keys.rollout), view.read(view.keys.rollout, RolloutRecord)
        if kv is None or record is None:
            self.id = ""
            await asyncio.sleep(5 * POLL_INTERVAL_S)
            return
        if record.id != self.id:
            self.id = record.id
            self._open_window(view)
        stored = view.read(view.keys.rollout_evidence, EvidenceRecord)
        if stored is None or stored.rollout != record.id:
            stored = EvidenceRecord(rollout=record.id, stage=0)
        await self._close_window(context, kv, record, stored)
        evaluation = self._evaluate(record, stored)
        observation = replace(
            self._observe(view, record), in_blackout=blackout_windows.in_blackout(record.quiet, time.time())
        )
        after, action = step(
            to_rollout(record),
            observation,
            evaluation.verdict if evaluation is not None else None,
            evaluation.reason if evaluation is not None else "",
        )
        await self._perform(
            context, kv, record, msgspec.structs.replace(record, **record_changes(after)), action, stored
        )
        await asyncio.sleep(POLL_INTERVAL_S)

    def _observe(self, view: StoreCache, record: RolloutRecord) -> Observation:
        if record.kind != program_rollouts.KIND:
            return observe(view, record)
        entry = view.entries.get(view.keys.program)
        now, revision = time.monotonic(), entry.mod_revision if entry is not None else 0
        if self.program_seen[0] != revision:
            self.program_seen = revision, now
        return program_rollouts.observe(view, record, now - self.program_seen[1])

    # evidence
    def _open_window(self, view: StoreCache) -> None:
        self.windows.next(view.member_metrics())
        self.opened_at = time.monotonic()

    def _evaluate(self, record: RolloutRecord, stored: EvidenceRecord) -> Evaluation | None:
        if record.phase != Phase.BAKING.value or stored.stage != record.stage:
            return None
        baked = stored.baked_s >= record.bake_s
        evaluation = canary_analysis.evaluate(evidence_of(stored), limits_of(record), baked)
        if evaluation.verdict is Verdict.INCONCLUSIVE and stored.baked_s >= record.most_s:
            if record.on_thin == "go on":
                return Evaluation(Verdict.NOT_WORSE, evaluation.reason, evaluation.e_values)
            return Evaluation(Verdict.WORSE, f"not enough evidence: {evaluation.reason}", evaluation.e_values)
        return evaluation

    async def _close_window(
        self, context: DutyContext, kv: KeyValue, record: RolloutRecord, stored: EvidenceRecord
    ) -> None:
        """Add the window to the evidence once it has ended."""
        now, view = time.monotonic(), context.cache
        if now < self.opened_at + WINDOW_S:
            return
        duration_s, self.opened_at = now - self.opened_at, now
        window = self.windows.next(view.member_metrics())
        evidence, baked = evidence_of(stored), stored.baked_s
        points: tuple[Operation, ...] = ()
        if (
            record.phase == Phase.ADVANCING.value
            and record.stage == 0
            and view.keys.open_change not in view.entries
        ):
            evidence = canary_analysis.add_baseline_window(evidence, window)
        elif record.phase == Phase.BAKING.value and not record.paused and stored.stage == record.stage:
            staged = record.stages[record.stage]
            evidence = canary_analysis.add_canary_window(evidence, window, staged, limits_of(record))
            baked += duration_s
            if evidence.windows <= MAX_DENSE_POINTS or evidence.windows % SPARSE_POINT_STRIDE == 0:
                point = timeline_point(record, evidence, window, baked)
                points = (
                    Put(view.keys.timeline_point(record.id, record.stage, evidence.windows), encode(point)),
                )
        else:
            return
        put_evidence = Put(view.keys.rollout_evidence, encode(evidence_record(record, evidence, baked)))
        await self._effect(context, kv, put_evidence, *points)

    # steps
    async def _effect(
        self, context: DutyContext, kv: KeyValue, *writes: Operation, compares: tuple[Compare, ...] = ()
    ) -> None:
        """Execute writes if the rollout record is unchanged."""
        unchanged = Compare(context.cache.keys.rollout, Target.MOD, "=", kv.mod_revision)
        await context.effect(*writes, compares=(unchanged, *compares))

    async def _perform(
        self,
        context: DutyContext,
        kv: KeyValue,
        record: RolloutRecord,
        after: RolloutRecord,
        action: Step,
        stored: EvidenceRecord,
    ) -> None:
        view = context.cache
        put = Put(view.keys.rollout, encode(after, kv.value))
        program = record.kind == program_rollouts.KIND
        if action is Step.HEARTBEAT or (
            action is Step.WAIT and program
        ):  # processes that are starting need heartbeats, too
            await self._send_heartbeat(context, kv, record)
        elif action is Step.PROPOSE or (action is Step.FINISH and after.phase == record.phase):
            if action is Step.PROPOSE and record.stage == 0 and not self._has_baseline(stored):
                return
            await self._send_heartbeat(context, kv, record)
            if program:
                writes, compares = program_rollouts.stage_writes(view, record)
                await self._effect(context, kv, *writes, compares=compares)
            else:
                await self._propose(context, kv, record)
        elif action in (Step.NEXT, Step.FINISH):
            log.warning("rollout %s: stage %d passed: it is not worse", record.id, record.stage + 1)
            await self._effect(context, kv, put)
        elif action is Step.BAKE:
            log.warning("rollout %s: stage %d is committed, baking starts", record.id, record.stage + 1)
            fresh = Evidence(baseline_levels=stored.base, baseline_rates=stored.usual, history=stored.past)
            put_evidence = Put(view.keys.rollout_evidence, encode(evidence_record(record, fresh, 0.0)))
            await self._effect(context, kv, put, put_evidence)
            self._open_window(view)
        elif action is Step.ROLL_BACK:
            writes, compares = rollback_writes(view, after)
            if not writes and after == record:  # committed, but not all members have followed yet
                return
            log.warning("rollout %s: rolling back: %s", record.id, after.reason)
            await self._effect(context, kv, put, *writes, compares=compares)
        elif action is Step.END:
            log.warning("rollout %s: ended: %s", record.id, after.phase)
            await self._effect(context, kv, *end_writes(view, after))

    def _has_baseline(self, stored: EvidenceRecord) -> bool:
        counts = [count for levels in stored.base.values() for _, count in levels.values()]
        return max(counts, default=0) >= MIN_BASELINE_WINDOWS

    async def _send_heartbeat(self, context: DutyContext, kv: KeyValue, record: RolloutRecord) -> None:
        now = time.monotonic()
        if now >= self.heartbeat_at + record.confirm_s / HEARTBEATS_PER_TIMEOUT:
            await self._effect(
                context,
                kv,
                Put(context.cache.keys.rollout_heartbeat, encode(HeartbeatRecord(rollout=record.id))),
            )
            self.heartbeat_at = now

    async def _propose(self, context: DutyContext, kv: KeyValue, record: RolloutRecord) -> None:
        """Propose the stage, or the new bundle for all members, as a policy change."""
        view = context.cache
        entry = view.entries.get(view.keys.committed_policy)
        committed = view.read(view.keys.committed_policy, PolicyRecord)
        if entry is None or committed is None:
            return
        fleet_wide = record.phase == Phase.FINISHING.value
        members = tuple(sorted(f"{member.name}#{member.incarnation}" for _, member in view.members()))
        change = PolicyChangeRecord(
            id=change_id(record),
            epoch=committed.epoch + 1,
            digest=record.new if fleet_wide else record.old,
            new="" if fleet_wide else record.new,
            named=() if fleet_wide else record.stages[record.stage],
            rollout=record.id,
            confirm_s=record.confirm_s,
            members=members,
            everyone=record.everyone,
            who=record.who,
            why=record.why,
            at=time.time(),
        )
        lease = await context.grant(record.deadline_s)
        absent = Compare(view.keys.open_change, Target.CREATE, "=", 0)
        unchanged = Compare(view.keys.committed_policy, Target.MOD, "=", entry.mod_revision)
        put = Put(view.keys.open_change, encode(change), lease)
        await self._effect(context, kv, put, compares=(absent, unchanged))

    def end(self) -> None:
        """Reset the state that is kept between steps; see `DutyWork.end`."""
        self.__init__()  # type: ignore[misc]


def timeline_point(
    record: RolloutRecord, evidence: Evidence, window: Mapping[str, Sample], baked: float
) -> TimelinePointRecord:
    """Return the timeline point of a window that has ended; `baked` is in seconds."""
    staged = set(record.stages[record.stage])
    new = [sample for name, sample in window.items() if name in staged]
    others = [sample for name, sample in window.items() if name not in staged]
    log_e = {metric: round(canary_analysis.mixture(wager), 3) for metric, wager in evidence.wagers.items()}
    return TimelinePointRecord(
        at=round(time.time() - record.at, 2),
        stage=record.stage,
        baked_s=round(baked, 2),
        log_e=log_e,
        new=canary_analysis.aggregate(new),
        others=canary_analysis.aggregate(others),
    )


def limits_of(record: RolloutRecord) -> Limits:
    """Return the limits in the record of a rollout."""
    limits = record.limits
    return Limits(
        limits.failed, limits.refused, limits.late, limits.level, limits.alpha, limits.least_requests
    )


def evidence_of(record: EvidenceRecord) -> Evidence:
    """Convert a record to the state of the analysis."""
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
    """Build the record of a stage's evidence; `baked` is in seconds."""
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
