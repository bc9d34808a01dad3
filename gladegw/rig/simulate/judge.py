"""What a simulated fleet must never do, looked at while it runs and in the store's history afterwards."""

from __future__ import annotations

from collections.abc import Iterable

from gladegw.control import policy_bundle
from gladegw.control.duties.policy_coordinator import registered
from gladegw.control.fleet_status import duties
from gladegw.control.policy_participant import EXTEND_INTERVAL_S, own_digests
from gladegw.control.store_cache import StoreCache
from gladegw.coordination.lease import MAX_CLOCK_DRIFT
from gladegw.coordination.records import (
    EvidenceRecord,
    KnownMemberRecord,
    PolicyChangeRecord,
    PolicyRecord,
    RolloutRecord,
    decode,
)
from gladegw.coordination.store import Get, within
from gladegw.rig.simulate.world import BAD, BROKEN, RATES, TTL, Process, World, files

SLACK = 0.25  # s: between two looks, and a word that was on its way
OVER = ("going back", "back", "stopped")


def digest_of(word: str) -> str:
    return policy_bundle.digest_of(policy_bundle.pack(files(word))) if word else ""


class Judge:
    def __init__(self, world: World) -> None:
        self.world = world
        self.decided: dict[int, tuple[float, PolicyRecord]] = {0: (0.0, PolicyRecord(epoch=0, digest=""))}
        self.seen = 0  # revision of what is in force
        self.words: dict[str, str] = {"": ""}  # by digest
        self.broken: list[str] = []
        self.looks = 0
        stops = (
            TTL * (1 - MAX_CLOCK_DRIFT) / min(RATES) + EXTEND_INTERVAL_S
        )  # of one that has agreed, or of `refuse`
        self.bound = max(1.0 + EXTEND_INTERVAL_S, stops) + SLACK

    def knows(self, word: str) -> str:
        self.words[digest_of(word)] = word
        return word

    def add(self, what: str) -> None:
        if len(self.broken) < 20:
            self.broken.append(f"at {self.world.loop.now:.3f}: {what}")

    # while it runs
    def look(self) -> None:
        world, self.looks = self.world, self.looks + 1
        held = world.cluster.model.keys.get(world.operator.keys.committed_policy)
        if held is not None and held.mod_revision != self.seen:
            self.seen = held.mod_revision
            force = decode(held.value, PolicyRecord)
            self.decided[force.epoch] = (world.loop.now, force)
        for process in world.serving():
            self.serves(process, max(self.decided))

    def serves(self, process: Process, newest: int) -> None:
        found = self.decided.get(process.epoch)
        if found is None:
            return self.add(f"{process.id} serves by epoch {process.epoch}, which was not decided")
        _, force = found
        allowed = self.right(force, process.name)
        if process.word not in allowed:
            self.add(f"{process.id} serves by {process.word!r} under epoch {process.epoch}, not by {allowed}")
        for epoch in range(process.epoch + 1, newest + 1):
            at, later = self.decided[epoch]
            after = self.world.loop.now - at
            if after > self.bound_of(force, later) and process.word not in self.right(later, process.name):
                self.add(f"{process.id} serves by epoch {process.epoch}, {after:.2f} s after {epoch}")
                return

    def right(self, force: PolicyRecord, name: str) -> set[str | None]:
        """Words that a member may serve by under it: its own part, or the others' if it went back."""
        mine, common = own_digests(force, name)
        return {self.words.get(mine), self.words.get(common if common else mine)}

    def bound_of(self, force: PolicyRecord, later: PolicyRecord) -> float:
        """A stage that is taken back waits for nobody: its members that are cut off go back by themselves."""
        if force.new and force.rollout and later.digest == force.digest:
            return max(self.bound, force.confirm_s / min(RATES) + self.bound)
        return self.bound

    # afterwards
    def history(self) -> None:
        world, keys = self.world, self.world.operator.keys
        epoch, token = 0, 0
        weighed: dict[str, EvidenceRecord] = {}
        stages: dict[str, int] = {}
        over: set[str] = set()
        there: set[str] = set()
        left: set[str] = set()
        change: PolicyChangeRecord | None = None
        for event in world.cluster.model.log:
            key, value = event.kv.key, event.kv.value
            if within(key, *keys.members):
                who = "#".join(keys.split(key)[1:])
                (there.discard if event.deleted else there.add)(who)
            if event.deleted:
                continue
            if key == keys.open_change:
                change = decode(value, PolicyChangeRecord)
            elif key.startswith(keys.known_member("")):
                known = decode(value, KnownMemberRecord)
                (left.add if known.left else left.discard)(known.name)
            if key == keys.fleet_record("counted"):
                if int(value) < token:
                    self.add(f"an effect of token {int(value)} was taken after one of {token}")
                token = max(token, int(value))
            elif key == keys.rollout_evidence:
                told = decode(value, EvidenceRecord)
                weighed[told.rollout] = told
            elif key == keys.rollout or key.startswith(keys.finished_rollout("")):
                self._rollout(decode(value, RolloutRecord), weighed, stages, over)
            elif key == keys.committed_policy:
                force = decode(value, PolicyRecord)
                if force.epoch != epoch + 1:
                    self.add(f"epoch {force.epoch} stands after {epoch}")
                epoch = force.epoch
                self._force(force, over)
                decided = change is not None and (force.digest, force.new) == (change.digest, change.new)
                if change is not None and decided and force.epoch == change.epoch:
                    lost = {who for who in change.members if who.partition("#")[0] not in left} - there
                    if lost:
                        self.add(f"epoch {epoch} was decided although {', '.join(sorted(lost))} was lost")
        for duty, holders in world.holders.items():
            for overlap in holders.overlaps():
                self.add(f"{duty}: {overlap}")
            if holders.late:
                self.add(f"{duty}: {holders.late} effects begun after their bound")
        for _, what in world.told:
            if what.startswith("BACK"):
                self.add(what)

    def _force(self, force: PolicyRecord, over: set[str]) -> None:
        if BAD in self.words.get(force.digest, ""):
            self.add(f"epoch {force.epoch} has a bundle for all that fails")
        if force.new and force.rollout in over:
            self.add(f"epoch {force.epoch} is a stage of rollout {force.rollout}, which was over")

    def _rollout(
        self,
        record: RolloutRecord,
        weighed: dict[str, EvidenceRecord],
        stages: dict[str, int],
        over: set[str],
    ) -> None:
        before = stages.get(record.id, 0)
        moved = record.stage > before or record.phase == "finishing"
        if moved and record.id not in over:
            told = weighed.get(record.id)
            baked = told is not None and told.stage == before and told.baked_s >= record.bake_s
            if record.stage > before + 1 or (record.stage > before and not baked):
                self.add(f"rollout {record.id} went to stage {record.stage} from {before} without a verdict")
        stages[record.id] = max(before, record.stage)
        if record.phase in OVER:
            over.add(record.id)
        elif record.id in over and record.phase != "done":
            self.add(f"rollout {record.id} is {record.phase} after it was over")

    def settled(self, wanted: Iterable[str]) -> list[str]:
        """What has not come about, though nothing fails any more."""
        world, keys, missing = self.world, self.world.operator.keys, []
        view = StoreCache(keys)
        for part in (keys.live, keys.reported):
            view.load_snapshot(part, world.cluster.model.revision, world.cluster.model.get(Get(*part)))
        live = {f"{one.name}#i{one.life}": one for one in world.processes.values()}
        if registered(view) != live.keys():
            missing.append(f"registered: {sorted(registered(view))}")
        held = {duty["name"]: duty["holder"] for duty in duties(view)}
        missing += [f"nobody holds {duty}" for duty in wanted if not held.get(duty)]
        for key, what in ((keys.open_change, "a change is open"), (keys.rollout, "a rollout is under way")):
            if key in view.entries:
                missing.append(what)
        newest = max(self.decided)
        for process in world.processes.values():
            right = self.right(self.decided[newest][1], process.name)
            if any(word is not None and BROKEN in word for word in right) and process.name == world.names[0]:
                continue  # it can't prepare what the others decided while it was cut off
            if not process.gate.open or process.epoch != newest or process.word not in right:
                state = "serves" if process.gate.open else "does not serve"
                missing.append(f"{process.id} {state} by epoch {process.epoch} of {newest}, {process.word!r}")
        return missing
