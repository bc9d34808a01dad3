"""Duty `bundles`: removes unreferenced bundles, old outcomes and old timelines."""

from __future__ import annotations

from collections.abc import Iterable

from gladegw.control.clock import boot_time
from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.store_cache import StoreCache
from gladegw.coordination.records import ChangeOutcomeRecord, PolicyChangeRecord, PolicyRecord, RolloutRecord
from gladegw.coordination.store import Compare, Delete, Operation, Target

UNREFERENCED_GRACE_S = 3600.0  # an uploaded bundle may be about to be proposed
MAX_OUTCOMES = 200  # of changes, and of rollouts
MAX_TIMELINES = 10
MAX_DELETES = 32  # per step, below the operations of one transaction


def referenced_digests(view: StoreCache) -> set[str]:
    """Return the digests of all bundles that members may still fetch."""
    found: set[str] = set()
    for _, force in view.records("policy", "history", form=PolicyRecord):
        found |= {force.digest, force.new}
    now, change = (
        view.read(view.keys.committed_policy, PolicyRecord),
        view.read(view.keys.open_change, PolicyChangeRecord),
    )
    for one in (now, change):
        if one is not None:
            found |= {one.digest, one.new}
    rollout = view.read(view.keys.rollout, RolloutRecord)
    if rollout is not None:
        found |= {rollout.old, rollout.new}
    return found


def oldest(outcomes: Iterable[tuple[float, bytes]]) -> list[bytes]:
    """Return the keys of all but the newest MAX_OUTCOMES outcomes, given with their times."""
    return [key for _, key in sorted(outcomes)[:-MAX_OUTCOMES]]


class BundleCollection(DutyWork):
    """Garbage collection of bundles, outcomes and timelines."""

    name = "bundles"
    period = 10.0
    reads_reported = True

    def __init__(self) -> None:
        self.unreferenced_since: dict[str, float] = {}  # digest to time by this holder's clock

    async def step(self, context: DutyContext) -> None:
        """Delete expired records, at most MAX_DELETES of them."""
        view, at, now = context.cache, context.cache.keys, boot_time()
        first, end = at.bundle("")
        stored = {key[len(first) :].split(b"/")[0].decode() for key in await context.names(first, end)}
        referenced = referenced_digests(view)
        self.unreferenced_since = {one: self.unreferenced_since.get(one, now) for one in stored - referenced}
        expired = [
            digest for digest, since in self.unreferenced_since.items() if now >= since + UNREFERENCED_GRACE_S
        ]
        operations: list[Operation] = [Delete(*at.bundle(digest)) for digest in expired]
        changes = [
            (one.at, at.change_outcome(id))
            for (id,), one in view.records("policy", "ended", form=ChangeOutcomeRecord)
        ]
        rollouts = [
            (one.at, at.finished_rollout(id))
            for (id,), one in view.records("rollout", "ended", form=RolloutRecord)
        ]
        operations += [Delete(key) for key in (*oldest(changes), *oldest(rollouts))]
        operations += [Delete(*at.timeline(id)) for id in await self._remove_old_timelines(context)]
        if operations:
            await context.effect(*operations[:MAX_DELETES], compares=tuple(self._references_unchanged(view)))

    @staticmethod
    async def _remove_old_timelines(context: DutyContext) -> list[str]:
        """Return the rollouts whose timelines to remove: all but the current and the last MAX_TIMELINES."""
        view = context.cache
        first, end = view.keys.timeline("")
        stored = {key[len(first) :].split(b"/")[0].decode() for key in await context.names(first, end)}
        ended = {id: one.ended_at for (id,), one in view.records("rollout", "ended", form=RolloutRecord)}
        now = view.read(view.keys.rollout, RolloutRecord)
        retained = set(sorted(ended, key=lambda id: ended[id])[-MAX_TIMELINES:]) | {
            now.id if now is not None else ""
        }
        return sorted(stored - retained)

    @staticmethod
    def _references_unchanged(view: StoreCache) -> Iterable[Compare]:
        """Yield comparisons that the records which reference bundles are unchanged."""
        for key in (view.keys.committed_policy, view.keys.open_change, view.keys.rollout):
            entry = view.entries.get(key)
            yield Compare(key, Target.MOD, "=", entry.mod_revision if entry is not None else 0)

    def end(self) -> None:
        """Discard the state of the steps; see `DutyWork.end`."""
        self.unreferenced_since = {}
