"""Duty `bundles`: removes unreferenced bundles, old outcomes and old rollout timelines."""

from __future__ import annotations

from collections.abc import Iterable

from gladegw.control.clock import boot_time
from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.store_cache import StoreCache
from gladegw.coordination.records import ChangeOutcomeRecord, PolicyChangeRecord, PolicyRecord, RolloutRecord
from gladegw.coordination.store import Compare, Delete, Operation, Target

UNREFERENCED_GRACE_S = 3600.0  # an uploaded bundle may be about to be proposed
MAX_OUTCOMES = 200  # kept of policy changes, and as many of rollouts
MAX_TIMELINES = 10  # kept of finished rollouts
MAX_DELETES = 32  # per step; below the number of operations that one transaction may have


def referenced_digests(view: StoreCache) -> set[str]:
    """Return the digests of all bundles that members may still fetch."""
    digests: set[str] = set()
    for _, past in view.records("policy", "history", form=PolicyRecord):
        digests |= {past.digest, past.new}
    committed, change = (
        view.read(view.keys.committed_policy, PolicyRecord),
        view.read(view.keys.open_change, PolicyChangeRecord),
    )
    for record in (committed, change):
        if record is not None:
            digests |= {record.digest, record.new}
    rollout = view.read(view.keys.rollout, RolloutRecord)
    if rollout is not None:
        digests |= {rollout.old, rollout.new}
    return digests


def surplus_outcomes(outcomes: Iterable[tuple[float, bytes]]) -> list[bytes]:
    """Return the keys of all but the newest MAX_OUTCOMES outcomes, given as (time, key)."""
    return [key for _, key in sorted(outcomes)[:-MAX_OUTCOMES]]


class BundleCollection(DutyWork):
    """Garbage collection of bundles, outcomes and timelines."""

    name = "bundles"
    period = 10.0
    reads_reported = True

    def __init__(self) -> None:
        self.unreferenced_since: dict[str, float] = {}  # time by this holder's clock, by digest

    async def step(self, context: DutyContext) -> None:
        """Delete expired records, at most MAX_DELETES of them."""
        view, keys, now = context.cache, context.cache.keys, boot_time()
        first, end = keys.bundle("")
        stored = {key[len(first) :].split(b"/")[0].decode() for key in await context.names(first, end)}
        referenced = referenced_digests(view)
        self.unreferenced_since = {
            digest: self.unreferenced_since.get(digest, now) for digest in stored - referenced
        }
        expired = [
            digest for digest, since in self.unreferenced_since.items() if now >= since + UNREFERENCED_GRACE_S
        ]
        operations: list[Operation] = [Delete(*keys.bundle(digest)) for digest in expired]
        changes = [
            (outcome.at, keys.change_outcome(id))
            for (id,), outcome in view.records("policy", "ended", form=ChangeOutcomeRecord)
        ]
        rollouts = [
            (rollout.at, keys.finished_rollout(id))
            for (id,), rollout in view.records("rollout", "ended", form=RolloutRecord)
        ]
        operations += [Delete(key) for key in (*surplus_outcomes(changes), *surplus_outcomes(rollouts))]
        operations += [Delete(*keys.timeline(id)) for id in await self._rollouts_with_old_timelines(context)]
        if operations:
            await context.effect(*operations[:MAX_DELETES], compares=tuple(self._references_unchanged(view)))

    @staticmethod
    async def _rollouts_with_old_timelines(context: DutyContext) -> list[str]:
        """Return the rollouts with a stored timeline, except the current and the last MAX_TIMELINES."""
        view = context.cache
        first, end = view.keys.timeline("")
        stored = {key[len(first) :].split(b"/")[0].decode() for key in await context.names(first, end)}
        ended = {
            id: rollout.ended_at for (id,), rollout in view.records("rollout", "ended", form=RolloutRecord)
        }
        current = view.read(view.keys.rollout, RolloutRecord)
        retained = set(sorted(ended, key=lambda id: ended[id])[-MAX_TIMELINES:]) | {
            current.id if current is not None else ""
        }
        return sorted(stored - retained)

    @staticmethod
    def _references_unchanged(view: StoreCache) -> Iterable[Compare]:
        """Yield comparisons that the records which reference bundles are unchanged."""
        for key in (view.keys.committed_policy, view.keys.open_change, view.keys.rollout):
            entry = view.entries.get(key)
            yield Compare(key, Target.MOD, "=", entry.mod_revision if entry is not None else 0)

    def end(self) -> None:
        """Discard the state kept between steps; see `DutyWork.end`."""
        self.unreferenced_since = {}
