"""The state machine of a rollout in stages, without I/O.

All state that decisions depend on is in the stored record, so a successor of the controller can continue.
docs/design/rollout.md has the invariants.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from gladegw.coordination.canary_analysis import Verdict


class Phase(Enum):
    """The state of a rollout."""

    ADVANCING = "moving"  # the stage's policy change is not committed yet: to be proposed, or open
    BAKING = "baking"  # the stage is committed and observed
    ROLLING_BACK = "going back"  # the old bundle is being committed for all members
    FINISHING = "finishing"  # the new bundle is being committed for all members
    DONE = "done"
    STOPPED = "stopped"
    ROLLED_BACK = "back"


FINAL_PHASES = (Phase.DONE, Phase.STOPPED, Phase.ROLLED_BACK)


class StagePlanError(ValueError):
    """The stage sizes are invalid; the message names the size and the reason."""


class Step(Enum):
    """What the controller has to do next."""

    WAIT = "wait"
    PROPOSE = "propose"  # propose the stage's policy change
    BAKE = "bake"  # the stage is committed: start its analysis
    NEXT = "next"  # record that the next stage begins
    FINISH = "finish"  # propose the new bundle for all members; first record the phase
    ROLL_BACK = "return"  # commit the old bundle for all members and cancel the open change
    HEARTBEAT = "confirm"  # send a heartbeat to the members of the stage
    END = "end"  # write the final record


@dataclass(frozen=True, slots=True)
class Rollout:
    """A rollout from one bundle to another.

    Each of `stages` has the names of the members with the new bundle, including those of earlier stages.
    After the last stage, all other members get it too. While `paused`, the rollout neither advances nor
    evaluates its stage, but sends heartbeats.
    """

    id: str
    old: str  # digest
    new: str  # digest
    stages: tuple[tuple[str, ...], ...]
    stage: int = 0
    phase: Phase = Phase.ADVANCING
    paused: bool = False
    reason: str = ""
    stop_in_place: bool = False  # on a regression, stop instead of rolling back

    @property
    def staged_members(self) -> tuple[str, ...]:
        """The members with the new bundle at this stage."""
        return self.stages[self.stage]


@dataclass(frozen=True, slots=True)
class Observation:
    """The store's state as far as a rollout depends on it.

    `staged` has the rollout id and the stage's names in the committed policy, None if the policy is the same
    for all members; `digest` is its bundle for members outside the stage. `open_change` is the id of the
    rollout whose change is open, empty for a change that no rollout made, None if no change is open.
    """

    digest: str
    staged: tuple[str, tuple[str, ...]] | None = None
    open_change: str | None = None
    rejection: str = ""  # why the last change was aborted
    reverted_members: tuple[str, ...] = ()  # those that reverted to the old bundle by themselves
    in_blackout: bool = False  # a rollout does not advance, but analysis and rollback continue


def step(
    rollout: Rollout, observation: Observation, verdict: Verdict | None, reason: str = ""
) -> tuple[Rollout, Step]:
    """Return the rollout's new state and the controller's next step.

    `verdict` is the one on the stage so far with its `reason`, None if there was no evaluation.
    """
    phase = rollout.phase
    if phase in FINAL_PHASES:
        return rollout, Step.WAIT
    if phase is Phase.ROLLING_BACK:
        if (
            observation.staged is None
            and observation.digest != rollout.new
            and observation.open_change != rollout.id
        ):
            return replace(rollout, phase=Phase.ROLLED_BACK), Step.END
        return rollout, Step.ROLL_BACK
    if phase is Phase.FINISHING:
        if observation.staged is None and observation.digest == rollout.new:
            return replace(rollout, phase=Phase.DONE), Step.END
        if observation.rejection:
            return roll_back(rollout, observation.rejection), Step.ROLL_BACK
        if observation.staged != ((rollout.id, rollout.staged_members) if rollout.stages else None):
            return _superseded(rollout), Step.END
        if not rollout.stages and observation.digest != rollout.old:
            return _superseded(rollout), Step.END
        waiting = observation.open_change is not None or rollout.paused or observation.in_blackout
        return rollout, Step.HEARTBEAT if waiting else Step.FINISH
    if phase is Phase.ADVANCING:
        if observation.staged == (rollout.id, rollout.staged_members):
            return replace(rollout, phase=Phase.BAKING), Step.BAKE
        if observation.rejection:
            return roll_back(rollout, observation.rejection), Step.ROLL_BACK
        if _is_foreign_policy(rollout, observation):
            return _superseded(rollout), Step.END
        if observation.open_change is not None or rollout.paused or observation.in_blackout:
            return rollout, Step.HEARTBEAT if rollout.stage else Step.WAIT
        return rollout, Step.PROPOSE
    return _step_baking(rollout, observation, verdict, reason)


def _step_baking(
    rollout: Rollout, observation: Observation, verdict: Verdict | None, reason: str
) -> tuple[Rollout, Step]:
    if observation.staged != (rollout.id, rollout.staged_members):
        return _superseded(rollout), Step.END
    if rollout.paused:
        return rollout, Step.HEARTBEAT
    if observation.reverted_members:
        return on_regression(rollout, f"reverted by themselves: {', '.join(observation.reverted_members)}")
    if verdict is Verdict.WORSE:
        return on_regression(rollout, reason)
    if verdict is Verdict.NOT_WORSE and not observation.in_blackout:
        if rollout.stage + 1 == len(rollout.stages):
            return replace(rollout, phase=Phase.FINISHING), Step.FINISH
        return replace(rollout, phase=Phase.ADVANCING, stage=rollout.stage + 1), Step.NEXT
    return rollout, Step.HEARTBEAT


def _is_foreign_policy(rollout: Rollout, observation: Observation) -> bool:
    """Whether the committed policy is not from this rollout."""
    if observation.staged is not None:
        expected = [(rollout.id, rollout.stages[rollout.stage - 1])] if rollout.stage else []
        return observation.staged not in expected
    return observation.digest != rollout.old or rollout.stage > 0


def _superseded(rollout: Rollout) -> Rollout:
    return replace(rollout, phase=Phase.STOPPED, reason="another policy was committed in the meantime")


def roll_back(rollout: Rollout, reason: str) -> Rollout:
    """Start the rollback from any phase but a final one."""
    if rollout.phase in FINAL_PHASES:
        return rollout
    return replace(rollout, phase=Phase.ROLLING_BACK, reason=reason, paused=False)


def on_regression(rollout: Rollout, reason: str) -> tuple[Rollout, Step]:
    """Stop or roll back, according to `stop_in_place`."""
    if rollout.stop_in_place:
        return replace(rollout, phase=Phase.STOPPED, reason=reason), Step.END
    return roll_back(rollout, reason), Step.ROLL_BACK


def plan_stages(
    members: Mapping[str, str], sizes: Sequence[str], max_zone_fraction: float = 0.5
) -> tuple[tuple[str, ...], ...]:
    """Return the names by stage, each stage including the names of earlier ones.

    `members` has zones by name; `sizes` are counts, percentages or zones (`1`, `25%`, `zone a`). The last
    size must cover all members and is not part of the result. Members are taken from the zones in turn. A
    stage given by a count or a percentage must not have more than `max_zone_fraction` of a zone, except for
    one member of each zone.

    Raises StagePlanError.
    """
    if not members:
        raise StagePlanError("there are no members")
    order = round_robin_by_zone(members)
    total, stages, previous_count = len(order), [], 0
    for size in sizes:
        if size.startswith("zone "):
            zone = size.removeprefix("zone ").strip()
            if zone not in members.values():
                raise StagePlanError(f"no member is in zone {zone}")
            in_zone = [name for name in order if members[name] == zone]
            order = in_zone + [name for name in order if members[name] != zone]
            count = len(in_zone)
        else:
            count = _stage_size(size, total)
        if count <= previous_count and previous_count < total:
            raise StagePlanError(f"stage {size} is not larger than the one before it")
        stages.append(tuple(sorted(order[: min(count, total)])))
        previous_count = min(count, total)
        if previous_count < total and not size.startswith("zone "):
            _check_zones(members, size, stages[-1], max_zone_fraction)
    if previous_count < total:
        raise StagePlanError("the last stage must include all members: 100%")
    return tuple(stages[:-1])


def _check_zones(
    members: Mapping[str, str], size: str, staged: Sequence[str], max_zone_fraction: float
) -> None:
    for zone in sorted(set(members.values())):
        in_zone = [name for name in members if members[name] == zone]
        staged_count = sum(name in staged for name in in_zone)
        if len(in_zone) > 1 and staged_count > max(1, max_zone_fraction * len(in_zone)):
            raise StagePlanError(
                f"stage {size} takes {staged_count} of {len(in_zone)} members of zone {zone or '-'}"
            )


def round_robin_by_zone(members: Mapping[str, str]) -> list[str]:
    """Return the names, taken from their zones in turn, starting with the largest zone."""
    by_zone: dict[str, list[str]] = {}
    for name in sorted(members):
        by_zone.setdefault(members[name], []).append(name)
    queues = sorted(by_zone.values(), key=lambda names: (-len(names), names))
    order: list[str] = []
    index = 0
    while len(order) < len(members):
        order += [names[index] for names in queues if index < len(names)]
        index += 1
    return order


def _stage_size(size: str, total: int) -> int:
    number = size.removesuffix("%")
    if not number.isdigit() or int(number) < 1 or (size.endswith("%") and int(number) > 100):
        raise StagePlanError(f"a stage must be a count, a percentage or a zone, not {size!r}")
    return max(1, -(-total * int(number) // 100)) if size.endswith("%") else int(number)


def digest_for(name: str, digest: str, new: str, staged_members: Iterable[str]) -> str:
    """Return the bundle that a member serves under a staged policy.

    `new` is the bundle of the staged members, empty if the policy is the same for all.
    """
    return new if new and name in staged_members else digest
