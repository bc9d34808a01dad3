"""`bundles`: removes what no policy, change, rollout or kept epoch names any more, and old outcomes."""

from __future__ import annotations

from collections.abc import Iterable

from gladegw.control.clock import boot
from gladegw.control.duties.base import Holding, Work
from gladegw.control.store_cache import View
from gladegw.coordination.records import ChangeOutcomeRecord, PolicyChangeRecord, PolicyRecord, RolloutRecord
from gladegw.coordination.store import Compare, Delete, Operation, Target

UNNAMED = 3600.0  # s for which a bundle was named by nothing: whoever has just sent it is about to propose it
OUTCOMES = 200  # of changes, and of rollouts, that are kept
COURSES = 10  # of rollouts, that are kept
MOST = 32  # deletions in one step, well below the operations of one transaction


def named(view: View) -> set[str]:
    """Digests of all bundles that somebody may still fetch."""
    found: set[str] = set()
    for _, force in view.records("policy", "history", form=PolicyRecord):
        found |= {force.digest, force.new}
    now, change = view.read(view.at.force, PolicyRecord), view.read(view.at.change, PolicyChangeRecord)
    for one in (now, change):
        if one is not None:
            found |= {one.digest, one.new}
    rollout = view.read(view.at.rollout, RolloutRecord)
    if rollout is not None:
        found |= {rollout.old, rollout.new}
    return found


def oldest(outcomes: Iterable[tuple[float, bytes]]) -> list[bytes]:
    """Keys beyond those kept, by their time."""
    return [key for _, key in sorted(outcomes)[:-OUTCOMES]]


class Bundles(Work):
    name = "bundles"
    period = 10.0
    reads = True

    def __init__(self) -> None:
        self.unnamed: dict[str, float] = {}  # since when by this holder's clock: another begins anew

    async def step(self, holding: Holding) -> None:
        view, at, now = holding.view, holding.view.at, boot()
        first, end = at.bundle("")
        there = {key[len(first) :].split(b"/")[0].decode() for key in await holding.names(first, end)}
        used = named(view)
        self.unnamed = {one: self.unnamed.get(one, now) for one in there - used}
        gone = [digest for digest, since in self.unnamed.items() if now >= since + UNNAMED]
        done: list[Operation] = [Delete(*at.bundle(digest)) for digest in gone]
        changes = [
            (one.at, at.ended(id)) for (id,), one in view.records("policy", "ended", form=ChangeOutcomeRecord)
        ]
        rolled = [
            (one.at, at.rolled(id)) for (id,), one in view.records("rollout", "ended", form=RolloutRecord)
        ]
        done += [Delete(key) for key in (*oldest(changes), *oldest(rolled))]
        done += [Delete(*at.course(id)) for id in await self._courses(holding)]
        if done:
            await holding.effect(*done[:MOST], compares=tuple(self._same(view)))

    @staticmethod
    async def _courses(holding: Holding) -> list[str]:
        """Of rollouts but the last few; one that is under way has not ended."""
        view = holding.view
        first, end = view.at.course("")
        there = {key[len(first) :].split(b"/")[0].decode() for key in await holding.names(first, end)}
        ended = {id: one.ended_at for (id,), one in view.records("rollout", "ended", form=RolloutRecord)}
        now = view.read(view.at.rollout, RolloutRecord)
        kept = set(sorted(ended, key=lambda id: ended[id])[-COURSES:]) | {now.id if now is not None else ""}
        return sorted(there - kept)

    @staticmethod
    def _same(view: View) -> Iterable[Compare]:
        """What was looked at is how it is."""
        for key in (view.at.force, view.at.change, view.at.rollout):
            held = view.keys.get(key)
            yield Compare(key, Target.MOD, "=", held.mod_revision if held is not None else 0)

    def end(self) -> None:
        self.unnamed = {}
