"""A change in stages, as its conductor goes through it: one table without I/O. docs/design/rollout.md has
the invariants. All that decides stands in the record, so that a successor goes on from there."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from gladegw.coordination.canary_analysis import Verdict


class Phase(Enum):
    ADVANCING = "moving"  # the stage's change of policy is proposed, or open
    BAKING = "baking"
    ROLLING_BACK = "going back"
    FINISHING = "finishing"  # the new bundle for all, as one policy
    DONE = "done"
    STOPPED = "stopped"
    ROLLED_BACK = "back"


FINAL_PHASES = (Phase.DONE, Phase.STOPPED, Phase.ROLLED_BACK)


class Step(Enum):
    WAIT = "wait"
    PROPOSE = "propose"  # the stage's change of policy
    BAKE = "bake"  # the stage is in force: from here on it is judged
    NEXT = "next"  # the next stage
    FINISH = "finish"  # it was the last: propose the new bundle for all
    ROLL_BACK = "return"  # write the old policy, whatever is open
    HEARTBEAT = "confirm"  # a sign of life to those in the stage
    END = "end"  # write that it is over


@dataclass(frozen=True, slots=True)
class Rollout:
    """`stages`: names that get the new bundle, by stage, each with all before it; when the last is judged,
    all others follow. `paused`: nothing moves and nothing is judged, but members are confirmed."""

    id: str
    old: str  # digest
    new: str
    stages: tuple[tuple[str, ...], ...]
    stage: int = 0
    phase: Phase = Phase.ADVANCING
    paused: bool = False
    reason: str = ""
    stop_in_place: bool = False  # worse is answered by a stop where it is, not by the way back

    @property
    def staged_members(self) -> tuple[str, ...]:
        """Who has the new bundle at this stage."""
        return self.stages[self.stage]


@dataclass(frozen=True, slots=True)
class Observation:
    """What the store says. `staged`: rollout and names of the policy in force, empty where it is one for all;
    `digest`: its bundle for the others. `open`: id of the rollout whose change is open, "" for another's."""

    digest: str
    staged: tuple[str, tuple[str, ...]] | None = None
    open_change: str | None = None
    rejection: str = ""  # why the stage's last change came to nothing
    reverted_members: tuple[str, ...] = ()  # members of the stage that went back by themselves
    in_blackout: bool = False  # nothing moves now but back, and what is in a stage goes on being judged


def step(
    rollout: Rollout, world: Observation, answer: Verdict | None, reason: str = ""
) -> tuple[Rollout, Step]:
    """What is next, and the record with it. `answer`: the verdict on the stage so far, None: not asked."""
    phase = rollout.phase
    if phase in FINAL_PHASES:
        return rollout, Step.WAIT
    if phase is Phase.ROLLING_BACK:
        if world.staged is None and world.digest != rollout.new and world.open_change != rollout.id:
            return replace(rollout, phase=Phase.ROLLED_BACK), Step.END
        return rollout, Step.ROLL_BACK
    if phase is Phase.FINISHING:
        if world.staged is None and world.digest == rollout.new:
            return replace(rollout, phase=Phase.DONE), Step.END
        if world.rejection:
            return roll_back(rollout, world.rejection), Step.ROLL_BACK
        if world.staged != ((rollout.id, rollout.staged_members) if rollout.stages else None):
            return _superseded(rollout), Step.END
        if not rollout.stages and world.digest != rollout.old:
            return _superseded(rollout), Step.END
        waits = world.open_change is not None or rollout.paused or world.in_blackout
        return rollout, Step.HEARTBEAT if waits else Step.FINISH
    if phase is Phase.ADVANCING:
        if world.staged == (rollout.id, rollout.staged_members):
            return replace(rollout, phase=Phase.BAKING), Step.BAKE
        if world.rejection:
            return roll_back(rollout, world.rejection), Step.ROLL_BACK
        if _is_foreign_policy(rollout, world):
            return _superseded(rollout), Step.END
        if world.open_change is not None or rollout.paused or world.in_blackout:
            return rollout, Step.HEARTBEAT if rollout.stage else Step.WAIT
        return rollout, Step.PROPOSE
    # baking
    if world.staged != (rollout.id, rollout.staged_members):
        return _superseded(rollout), Step.END
    if rollout.paused:
        return rollout, Step.HEARTBEAT
    if world.reverted_members:
        return on_regression(rollout, f"went back by themselves: {', '.join(world.reverted_members)}")
    if answer is Verdict.WORSE:
        return on_regression(rollout, reason)
    if answer is Verdict.NOT_WORSE and not world.in_blackout:
        if rollout.stage + 1 == len(rollout.stages):
            return replace(rollout, phase=Phase.FINISHING), Step.FINISH
        return replace(rollout, phase=Phase.ADVANCING, stage=rollout.stage + 1), Step.NEXT
    return rollout, Step.HEARTBEAT


def _is_foreign_policy(rollout: Rollout, world: Observation) -> bool:
    """Whether another's policy is in force by now."""
    if world.staged is not None:
        expected = [(rollout.id, rollout.stages[rollout.stage - 1])] if rollout.stage else []
        return world.staged not in expected
    return world.digest != rollout.old or rollout.stage > 0


def _superseded(rollout: Rollout) -> Rollout:
    return replace(rollout, phase=Phase.STOPPED, reason="another policy came into force meanwhile")


def roll_back(rollout: Rollout, reason: str) -> Rollout:
    """On the way back, from wherever it was."""
    if rollout.phase in FINAL_PHASES:
        return rollout
    return replace(rollout, phase=Phase.ROLLING_BACK, reason=reason, paused=False)


def on_regression(rollout: Rollout, reason: str) -> tuple[Rollout, Step]:
    if rollout.stop_in_place:
        return replace(rollout, phase=Phase.STOPPED, reason=reason), Step.END
    return roll_back(rollout, reason), Step.ROLL_BACK


def plan_stages(
    members: Mapping[str, str], sizes: Sequence[str], max_zone_fraction: float = 0.5
) -> tuple[tuple[str, ...], ...]:
    """Names by stage, each with all before it; the last one asked for must be all members, and is not among
    them. `members`: zones by name. `sizes`: counts, shares or zones (`1`, `25%`, `zone a`). Zones take turns,
    so that no stage has more than `most_of_zone` of one that it did not name. Raises ValueError."""
    if not members:
        raise ValueError("there is no member")
    order = round_robin_by_zone(members)
    whole, found, before = len(order), [], 0
    for size in sizes:
        if size.startswith("zone "):
            zone = size.removeprefix("zone ").strip()
            if zone not in members.values():
                raise ValueError(f"no member is in zone {zone}")
            first = [name for name in order if members[name] == zone]
            order = first + [name for name in order if members[name] != zone]
            count = len(first)
        else:
            count = _stage_size(size, whole)
        if count <= before and before < whole:
            raise ValueError(f"stage {size} is not larger than the one before it")
        found.append(tuple(sorted(order[: min(count, whole)])))
        before = min(count, whole)
        if before < whole and not size.startswith("zone "):
            for zone in sorted(set(members.values())):
                of = [name for name in order if members[name] == zone]
                took = sum(name in found[-1] for name in of)
                if len(of) > 1 and took > max(1, max_zone_fraction * len(of)):
                    raise ValueError(f"stage {size} takes {took} of {len(of)} members of zone {zone or '-'}")
    if before < whole:
        raise ValueError("the last stage must be all members: 100%")
    return tuple(found[:-1])


def round_robin_by_zone(members: Mapping[str, str]) -> list[str]:
    """Names by turns of their zones, the larger zones first."""
    by_zone: dict[str, list[str]] = {}
    for name in sorted(members):
        by_zone.setdefault(members[name], []).append(name)
    queues = sorted(by_zone.values(), key=lambda names: (-len(names), names))
    found: list[str] = []
    place = 0
    while len(found) < len(members):
        found += [names[place] for names in queues if place < len(names)]
        place += 1
    return found


def _stage_size(size: str, whole: int) -> int:
    number = size.removesuffix("%")
    if not number.isdigit() or int(number) < 1 or (size.endswith("%") and int(number) > 100):
        raise ValueError(f"a stage is a count, a share or a zone, not {size!r}")
    return max(1, -(-whole * int(number) // 100)) if size.endswith("%") else int(number)


def digest_for(name: str, digest: str, new: str, named: Iterable[str]) -> str:
    """The bundle that a member serves by under a policy in stages."""
    return new if new and name in named else digest
