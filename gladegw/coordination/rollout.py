"""The state machine of a rollout in stages, without I/O.

All state that it decides by is in the stored record, so a successor of the controller continues from there.
docs/design/rollout.md has the invariants.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from gladegw.coordination.canary_analysis import Verdict


class Phase(Enum):
    """The state of a rollout."""

    ADVANCING = "moving"  # the stage's change of policy is to be proposed or is open
    BAKING = "baking"
    ROLLING_BACK = "going back"
    FINISHING = "finishing"  # the new bundle is proposed for all members
    DONE = "done"
    STOPPED = "stopped"
    ROLLED_BACK = "back"


FINAL_PHASES = (Phase.DONE, Phase.STOPPED, Phase.ROLLED_BACK)


class StagePlanError(ValueError):
    """Sizes that make no plan of stages; the message names the size and the reason."""


class Step(Enum):
    """What the controller has to do next."""

    WAIT = "wait"
    PROPOSE = "propose"  # the stage's change of policy
    BAKE = "bake"  # the stage is in force, and its analysis starts
    NEXT = "next"  # the next stage
    FINISH = "finish"  # propose the new bundle for all members
    ROLL_BACK = "return"  # write the old policy, whatever change is open
    HEARTBEAT = "confirm"  # to the members of the stage
    END = "end"  # write the outcome


@dataclass(frozen=True, slots=True)
class Rollout:
    """A rollout from one bundle to another.

    Each of `stages` has the names with the new bundle, including those of the stages before; after the last
    one all other members follow. While `paused`, the rollout neither advances nor evaluates its stage, but
    sends heartbeats.
    """

    id: str
    old: str  # digest
    new: str  # digest
    stages: tuple[tuple[str, ...], ...]
    stage: int = 0
    phase: Phase = Phase.ADVANCING
    paused: bool = False
    reason: str = ""
    stop_in_place: bool = False  # on a regression, rather than roll back

    @property
    def staged_members(self) -> tuple[str, ...]:
        """The members with the new bundle at this stage."""
        return self.stages[self.stage]


@dataclass(frozen=True, slots=True)
class Observation:
    """The store's state as far as a rollout depends on it.

    `staged` has the rollout and the names in the committed policy, None if that is the same for all members;
    `digest` is its bundle for the others. `open_change` is the id of the rollout whose change is open, empty
    for a change without one, None if none is open.
    """

    digest: str
    staged: tuple[str, tuple[str, ...]] | None = None
    open_change: str | None = None
    rejection: str = ""  # why the last change was aborted
    reverted_members: tuple[str, ...] = ()  # left the stage by themselves
    in_blackout: bool = False  # no advance, but analysis and rollback go on


def step(
    rollout: Rollout, world: Observation, answer: Verdict | None, reason: str = ""
) -> tuple[Rollout, Step]:
    """Return the rollout's new state and the controller's next step.

    `answer` is the verdict on the stage so far with its `reason`, None if there was no evaluation.
    """
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
        waiting = world.open_change is not None or rollout.paused or world.in_blackout
        return rollout, Step.HEARTBEAT if waiting else Step.FINISH
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
    return _step_baking(rollout, world, answer, reason)


def _step_baking(
    rollout: Rollout, world: Observation, answer: Verdict | None, reason: str
) -> tuple[Rollout, Step]:
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
    """Whether the committed policy is not from this rollout."""
    if world.staged is not None:
        expected = [(rollout.id, rollout.stages[rollout.stage - 1])] if rollout.stage else []
        return world.staged not in expected
    return world.digest != rollout.old or rollout.stage > 0


def _superseded(rollout: Rollout) -> Rollout:
    return replace(rollout, phase=Phase.STOPPED, reason="another policy came into force meanwhile")


def roll_back(rollout: Rollout, reason: str) -> Rollout:
    """Start the rollback from any phase but a final one."""
    if rollout.phase in FINAL_PHASES:
        return rollout
    return replace(rollout, phase=Phase.ROLLING_BACK, reason=reason, paused=False)


def on_regression(rollout: Rollout, reason: str) -> tuple[Rollout, Step]:
    """Stop or roll back, as the rollout's plan says."""
    if rollout.stop_in_place:
        return replace(rollout, phase=Phase.STOPPED, reason=reason), Step.END
    return roll_back(rollout, reason), Step.ROLL_BACK


def plan_stages(
    members: Mapping[str, str], sizes: Sequence[str], max_zone_fraction: float = 0.5
) -> tuple[tuple[str, ...], ...]:
    """Return the names by stage, each including those of the stages before.

    `members` has zones by name; `sizes` are counts, percentages or zones (`1`, `25%`, `zone a`). The last
    size must cover all members and is not part of the result. Members are taken from the zones in turn. A
    stage with more than `max_zone_fraction` of a zone that it does not name is an error.

    Raises StagePlanError.
    """
    if not members:
        raise StagePlanError("there is no member")
    order = round_robin_by_zone(members)
    total, found, before = len(order), [], 0
    for size in sizes:
        if size.startswith("zone "):
            zone = size.removeprefix("zone ").strip()
            if zone not in members.values():
                raise StagePlanError(f"no member is in zone {zone}")
            first = [name for name in order if members[name] == zone]
            order = first + [name for name in order if members[name] != zone]
            count = len(first)
        else:
            count = _stage_size(size, total)
        if count <= before and before < total:
            raise StagePlanError(f"stage {size} is not larger than the one before it")
        found.append(tuple(sorted(order[: min(count, total)])))
        before = min(count, total)
        if before < total and not size.startswith("zone "):
            _check_zones(members, size, found[-1], max_zone_fraction)
    if before < total:
        raise StagePlanError("the last stage must be all members: 100%")
    return tuple(found[:-1])


def _check_zones(
    members: Mapping[str, str], size: str, staged: Sequence[str], max_zone_fraction: float
) -> None:
    for zone in sorted(set(members.values())):
        of_zone = [name for name in members if members[name] == zone]
        taken = sum(name in staged for name in of_zone)
        if len(of_zone) > 1 and taken > max(1, max_zone_fraction * len(of_zone)):
            raise StagePlanError(
                f"stage {size} takes {taken} of {len(of_zone)} members of zone {zone or '-'}"
            )


def round_robin_by_zone(members: Mapping[str, str]) -> list[str]:
    """Return the names, taken from their zones in turn, the larger zones first."""
    by_zone: dict[str, list[str]] = {}
    for name in sorted(members):
        by_zone.setdefault(members[name], []).append(name)
    queues = sorted(by_zone.values(), key=lambda names: (-len(names), names))
    found: list[str] = []
    index = 0
    while len(found) < len(members):
        found += [names[index] for names in queues if index < len(names)]
        index += 1
    return found


def _stage_size(size: str, total: int) -> int:
    number = size.removesuffix("%")
    if not number.isdigit() or int(number) < 1 or (size.endswith("%") and int(number) > 100):
        raise StagePlanError(f"a stage is a count, a share or a zone, not {size!r}")
    return max(1, -(-total * int(number) // 100)) if size.endswith("%") else int(number)


def digest_for(name: str, digest: str, new: str, named: Iterable[str]) -> str:
    """Return the bundle that a member serves by under a policy in stages."""
    return new if new and name in named else digest
