"""`bundles`: removes what no policy, change, rollout or kept epoch names any more, and old outcomes."""

from __future__ import annotations

from collections.abc import Iterable

from gladegw.control.clock import boot_time
from gladegw.control.duties.base import DutyContext, DutyWork
from gladegw.control.store_cache import StoreCache
from gladegw.coordination.records import ChangeOutcomeRecord, PolicyChangeRecord, PolicyRecord, RolloutRecord
from gladegw.coordination.store import Compare, Delete, Operation, Target

UNREFERENCED_GRACE_S = (
    3600.0  # s for which a bundle was named by nothing: whoever has just sent it is about to propose it
)
MAX_OUTCOMES = 200  # of changes, and of rollouts, that are kept
MAX_TIMELINES = 10  # of rollouts, that are kept
MAX_DELETES = 32  # deletions in one step, well below the operations of one transaction


def referenced_digests(view: StoreCache) -> set[str]:
    """Digests of all bundles that somebody may still fetch."""
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
    """Keys beyond those kept, by their time."""
    return [key for _, key in sorted(outcomes)[:-MAX_OUTCOMES]]


class BundleCollection(DutyWork):
    name = "bundles"
    period = 10.0
    reads_reported = True

    def __init__(self) -> None:
        self.unreferenced_since: dict[
            str, float
        ] = {}  # since when by this holder's clock: another begins anew

    async def step(self, holding: DutyContext) -> None:
        view, at, now = holding.cache, holding.cache.keys, boot_time()
        first, end = at.bundle("")
        there = {key[len(first) :].split(b"/")[0].decode() for key in await holding.names(first, end)}
        used = referenced_digests(view)
        self.unreferenced_since = {one: self.unreferenced_since.get(one, now) for one in there - used}
        gone = [
            digest for digest, since in self.unreferenced_since.items() if now >= since + UNREFERENCED_GRACE_S
        ]
        done: list[Operation] = [Delete(*at.bundle(digest)) for digest in gone]
        changes = [
            (one.at, at.change_outcome(id))
            for (id,), one in view.records("policy", "ended", form=ChangeOutcomeRecord)
        ]
        rolled = [
            (one.at, at.finished_rollout(id))
            for (id,), one in view.records("rollout", "ended", form=RolloutRecord)
        ]
        done += [Delete(key) for key in (*oldest(changes), *oldest(rolled))]
        done += [Delete(*at.timeline(id)) for id in await self._remove_old_timelines(holding)]
        if done:
            await holding.effect(*done[:MAX_DELETES], compares=tuple(self._references_unchanged(view)))

    @staticmethod
    async def _remove_old_timelines(holding: DutyContext) -> list[str]:
        """Of rollouts but the last few; one that is under way has not ended."""
        view = holding.cache
        first, end = view.keys.timeline("")
        there = {key[len(first) :].split(b"/")[0].decode() for key in await holding.names(first, end)}
        ended = {id: one.ended_at for (id,), one in view.records("rollout", "ended", form=RolloutRecord)}
        now = view.read(view.keys.rollout, RolloutRecord)
        kept = set(sorted(ended, key=lambda id: ended[id])[-MAX_TIMELINES:]) | {
            now.id if now is not None else ""
        }
        return sorted(there - kept)

    @staticmethod
    def _references_unchanged(view: StoreCache) -> Iterable[Compare]:
        """What was looked at is how it is."""
        for key in (view.keys.committed_policy, view.keys.open_change, view.keys.rollout):
            held = view.entries.get(key)
            yield Compare(key, Target.MOD, "=", held.mod_revision if held is not None else 0)

    def end(self) -> None:
        self.unreferenced_since = {}
