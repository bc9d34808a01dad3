"""A change in stages, as its conductor goes through it: one table without I/O. docs/design/rollout.md has
the invariants. All that decides stands in the record, so that a successor goes on from there."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from gladegw.coordination.canary_analysis import Answer


class Phase(Enum):
    MOVING = "moving"  # the stage's change of policy is proposed, or open
    BAKING = "baking"
    GOING_BACK = "going back"
    FINISHING = "finishing"  # the new bundle for all, as one policy
    DONE = "done"
    STOPPED = "stopped"
    BACK = "back"


OVER = (Phase.DONE, Phase.STOPPED, Phase.BACK)


class Do(Enum):
    WAIT = "wait"
    PROPOSE = "propose"  # the stage's change of policy
    BAKE = "bake"  # the stage is in force: from here on it is judged
    NEXT = "next"  # the next stage
    FINISH = "finish"  # it was the last: propose the new bundle for all
    RETURN = "return"  # write the old policy, whatever is open
    CONFIRM = "confirm"  # a sign of life to those in the stage
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
    phase: Phase = Phase.MOVING
    paused: bool = False
    reason: str = ""
    hold: bool = False  # worse is answered by a stop where it is, not by the way back

    @property
    def named(self) -> tuple[str, ...]:
        """Who has the new bundle at this stage."""
        return self.stages[self.stage]


@dataclass(frozen=True, slots=True)
class World:
    """What the store says. `staged`: rollout and names of the policy in force, empty where it is one for all;
    `digest`: its bundle for the others. `open`: id of the rollout whose change is open, "" for another's."""

    digest: str
    staged: tuple[str, tuple[str, ...]] | None = None
    open: str | None = None
    refused: str = ""  # why the stage's last change came to nothing
    gone_back: tuple[str, ...] = ()  # members of the stage that went back by themselves
    quiet: bool = False  # nothing moves now but back, and what is in a stage goes on being judged


def step(rollout: Rollout, world: World, answer: Answer | None, reason: str = "") -> tuple[Rollout, Do]:
    """What is next, and the record with it. `answer`: the verdict on the stage so far, None: not asked."""
    phase = rollout.phase
    if phase in OVER:
        return rollout, Do.WAIT
    if phase is Phase.GOING_BACK:
        if world.staged is None and world.digest != rollout.new and world.open != rollout.id:
            return replace(rollout, phase=Phase.BACK), Do.END
        return rollout, Do.RETURN
    if phase is Phase.FINISHING:
        if world.staged is None and world.digest == rollout.new:
            return replace(rollout, phase=Phase.DONE), Do.END
        if world.refused:
            return turned(rollout, world.refused), Do.RETURN
        if world.staged != ((rollout.id, rollout.named) if rollout.stages else None):
            return _overtaken(rollout), Do.END
        if not rollout.stages and world.digest != rollout.old:
            return _overtaken(rollout), Do.END
        waits = world.open is not None or rollout.paused or world.quiet
        return rollout, Do.CONFIRM if waits else Do.FINISH
    if phase is Phase.MOVING:
        if world.staged == (rollout.id, rollout.named):
            return replace(rollout, phase=Phase.BAKING), Do.BAKE
        if world.refused:
            return turned(rollout, world.refused), Do.RETURN
        if _foreign(rollout, world):
            return _overtaken(rollout), Do.END
        if world.open is not None or rollout.paused or world.quiet:
            return rollout, Do.CONFIRM if rollout.stage else Do.WAIT
        return rollout, Do.PROPOSE
    # baking
    if world.staged != (rollout.id, rollout.named):
        return _overtaken(rollout), Do.END
    if rollout.paused:
        return rollout, Do.CONFIRM
    if world.gone_back:
        return worse(rollout, f"went back by themselves: {', '.join(world.gone_back)}")
    if answer is Answer.WORSE:
        return worse(rollout, reason)
    if answer is Answer.NOT_WORSE and not world.quiet:
        if rollout.stage + 1 == len(rollout.stages):
            return replace(rollout, phase=Phase.FINISHING), Do.FINISH
        return replace(rollout, phase=Phase.MOVING, stage=rollout.stage + 1), Do.NEXT
    return rollout, Do.CONFIRM


def _foreign(rollout: Rollout, world: World) -> bool:
    """Whether another's policy is in force by now."""
    if world.staged is not None:
        expected = [(rollout.id, rollout.stages[rollout.stage - 1])] if rollout.stage else []
        return world.staged not in expected
    return world.digest != rollout.old or rollout.stage > 0


def _overtaken(rollout: Rollout) -> Rollout:
    return replace(rollout, phase=Phase.STOPPED, reason="another policy came into force meanwhile")


def turned(rollout: Rollout, reason: str) -> Rollout:
    """On the way back, from wherever it was."""
    if rollout.phase in OVER:
        return rollout
    return replace(rollout, phase=Phase.GOING_BACK, reason=reason, paused=False)


def worse(rollout: Rollout, reason: str) -> tuple[Rollout, Do]:
    if rollout.hold:
        return replace(rollout, phase=Phase.STOPPED, reason=reason), Do.END
    return turned(rollout, reason), Do.RETURN


def staged(
    members: Mapping[str, str], sizes: Sequence[str], most_of_zone: float = 0.5
) -> tuple[tuple[str, ...], ...]:
    """Names by stage, each with all before it; the last one asked for must be all members, and is not among
    them. `members`: zones by name. `sizes`: counts, shares or zones (`1`, `25%`, `zone a`). Zones take turns,
    so that no stage has more than `most_of_zone` of one that it did not name. Raises ValueError."""
    if not members:
        raise ValueError("there is no member")
    order = turns(members)
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
            count = _count(size, whole)
        if count <= before and before < whole:
            raise ValueError(f"stage {size} is not larger than the one before it")
        found.append(tuple(sorted(order[: min(count, whole)])))
        before = min(count, whole)
        if before < whole and not size.startswith("zone "):
            for zone in sorted(set(members.values())):
                of = [name for name in order if members[name] == zone]
                took = sum(name in found[-1] for name in of)
                if len(of) > 1 and took > max(1, most_of_zone * len(of)):
                    raise ValueError(f"stage {size} takes {took} of {len(of)} members of zone {zone or '-'}")
    if before < whole:
        raise ValueError("the last stage must be all members: 100%")
    return tuple(found[:-1])


def turns(members: Mapping[str, str]) -> list[str]:
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


def _count(size: str, whole: int) -> int:
    number = size.removesuffix("%")
    if not number.isdigit() or int(number) < 1 or (size.endswith("%") and int(number) > 100):
        raise ValueError(f"a stage is a count, a share or a zone, not {size!r}")
    return max(1, -(-whole * int(number) // 100)) if size.endswith("%") else int(number)


def own(name: str, digest: str, new: str, named: Iterable[str]) -> str:
    """The bundle that a member serves by under a policy in stages."""
    return new if new and name in named else digest
