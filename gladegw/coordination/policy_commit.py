"""A change of policy, as each member goes through it and as it is decided: tables and functions without I/O.

Two phases (J. Gray, "Notes on data base operating systems", 1978, section 5.8.3.3), with the votes and the
decision in the store, so that no coordinator is missed: whoever holds the duty decides by one transaction,
and until it does nothing has changed. docs/design/policy.md has the invariants and the table.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum


class Phase(Enum):
    UNKNOWN = "unknown"  # has not read what is in force
    SETTLED = "settled"
    PREPARING = "preparing"  # a change is open
    AGREED = "agreed"  # holds its bundle beside what is in force, and has voted yes
    OPPOSED = "opposed"
    BEHIND = "behind"  # something is in force that it does not hold
    STUCK = "stuck"  # and can't


class Action(Enum):
    PREPARE = "prepare"  # fetch, check and compile `wanted`
    YES = "yes"
    NO = "no"
    TAKE = "take"  # serve by `digest` from here on
    SPARE = "spare"  # prepare the others' bundle too, beside serving: it is the way back from the stage
    DROP = "drop"  # what is held beside is wanted no more


@dataclass(frozen=True, slots=True)
class Force:
    """What is in force, as the store has it for this member; epoch 0: nothing was decided yet. `base`: the
    bundle of the others, where this member is in a stage with one of its own."""

    epoch: int = 0
    digest: str = ""
    base: str = ""

    @property
    def common(self) -> str:
        """By which all members name this epoch."""
        return self.base or self.digest


@dataclass(frozen=True, slots=True)
class Open:
    """A change that is open. `id` is the create revision of its key."""

    id: int
    epoch: int
    digest: str
    base: str = ""  # as in `Force`

    @property
    def common(self) -> str:
        return self.base or self.digest


@dataclass(frozen=True, slots=True)
class Member:
    """`epoch`, `digest`: of what it serves by. `held`: digest of what is prepared beside it. `joined`: it has
    served under this membership, so that it goes on while a change is open. `spare`: what it served by before
    it was in a stage, held for the way back. `alone`: the epoch in which it went back by itself."""

    phase: Phase = Phase.UNKNOWN
    epoch: int = -1
    digest: str = ""
    held: str = ""
    wanted: str = ""  # what is being prepared
    change: Open | None = None
    force: Force = field(default_factory=Force)
    joined: bool = False
    spare: str = ""
    alone: int = -1
    seen: int = 0  # revision of the newest word of the store that was heeded

    @property
    def serves(self) -> bool:
        """Whether requests may be answered by `digest`, as far as is known."""
        return self.joined and self.phase not in (Phase.BEHIND, Phase.STUCK)


P, A = Phase, Action
Actions = tuple[Action, ...]


def told(member: Member, force: Force, change: Open | None, revision: int) -> tuple[Member, Actions]:
    """The store's word: what is in force and which change is open, at one revision. One that is older than
    what was heeded, or would take an epoch back, changes nothing."""
    if revision < member.seen or force.epoch < member.epoch:
        return member, ()
    if force.epoch == member.alone:
        force = Force(force.epoch, force.common)
    member = replace(member, seen=revision)
    actions: Actions = ()
    if force.epoch > member.epoch or member.phase is P.UNKNOWN:
        member, actions = _decided(member, force)
    if member.phase in (P.BEHIND, P.STUCK):
        return replace(member, change=change), actions
    member, more = _opened(member, change)
    return member, actions + more


def _decided(member: Member, force: Force) -> tuple[Member, Actions]:
    if force.digest in (member.held, member.digest, member.spare) or not force.digest:
        return _taken(replace(member, force=force))
    if member.phase is P.BEHIND and member.wanted == force.digest:
        return replace(member, force=force), ()
    if member.phase is P.STUCK and member.force.digest == force.digest:
        return replace(member, force=force), ()  # tried again in its time, not at each word
    drop = (A.DROP,) if member.held else ()
    return replace(member, phase=P.BEHIND, force=force, wanted=force.digest, held=""), (*drop, A.PREPARE)


def _taken(member: Member) -> tuple[Member, Actions]:
    force = member.force
    had = (member.digest, member.spare)
    spare = force.base if force.base and force.base in had else ""
    after = replace(
        member,
        phase=P.SETTLED,
        epoch=force.epoch,
        digest=force.digest,
        held="",
        wanted="",
        change=None,
        spare=spare,
    )
    return after, (A.TAKE, A.SPARE) if force.base and not spare else (A.TAKE,)


def spared(member: Member, digest: str) -> Member:
    """The way back is prepared, by one that began within the stage."""
    wanted = member.force.base == digest and member.epoch == member.force.epoch
    return replace(member, spare=digest) if wanted else member


def unconfirmed(member: Member) -> tuple[Member, Actions]:
    """In a stage, and nobody conducts it as far as it hears: back to what the others serve by, for this
    epoch. That much was decided with the stage."""
    force = member.force
    if not force.base or member.epoch != force.epoch or member.phase in (P.UNKNOWN, P.BEHIND, P.STUCK):
        return member, ()
    alone, back = replace(member, alone=force.epoch), Force(force.epoch, force.base)
    if member.spare == force.base:  # a vote that it has given stands, and what that holds
        return replace(alone, force=back, digest=back.digest, spare=""), (A.TAKE,)
    drop = (A.DROP,) if member.held else ()
    after, actions = _decided(replace(alone, held=""), back)
    return after, drop + actions


def _opened(member: Member, change: Open | None) -> tuple[Member, Actions]:
    """With what is in force taken. A change for another epoch than the next can't be decided."""
    if change is not None and change.epoch != member.epoch + 1:
        change = None
    if change is None:
        drop = (A.DROP,) if member.held else ()
        return replace(member, phase=P.SETTLED, change=None, held="", wanted="", joined=True), drop
    if member.change is not None and member.change.id == change.id:
        return member, ()
    drop = (A.DROP,) if member.held else ()
    after = replace(member, phase=P.PREPARING, change=change, held="", wanted=change.digest)
    return after, (*drop, A.PREPARE)


def prepared(member: Member, digest: str, able: bool) -> tuple[Member, Actions]:
    """What became of a PREPARE. One that is wanted no more changes nothing."""
    if digest != member.wanted or member.phase not in (P.PREPARING, P.BEHIND):
        return member, ()
    if member.phase is P.PREPARING:
        if able:
            return replace(member, phase=P.AGREED, held=digest, wanted="", joined=True), (A.YES,)
        return replace(member, phase=P.OPPOSED, wanted=""), (A.NO,)
    if not able:
        return replace(member, phase=P.STUCK, wanted=""), ()
    change = member.change
    after, actions = _taken(replace(member, held=digest))
    after, more = _opened(after, change)
    return after, actions + more


def again(member: Member) -> tuple[Member, Actions]:
    """What could not be prepared is tried once more: a library may have come, a time of caution be over."""
    if member.phase is not P.STUCK:
        return member, ()
    return replace(member, phase=P.BEHIND, wanted=member.force.digest), (A.PREPARE,)


def rejoined(member: Member, goes_on: bool = False) -> Member:
    """Its lease was lost and it is registered anew: it may have missed what was decided meanwhile, and the
    vote under the old lease is gone. `goes_on`: nothing can be decided without it, so it serves as before
    while it asks; but not if it had agreed, since with that vote it may have been."""
    goes_on = goes_on and member.serves and not in_doubt(member)
    return replace(member, phase=P.UNKNOWN, change=None, held="", wanted="", joined=goes_on)


def in_doubt(member: Member) -> bool:
    """Whether what it serves by may be over without its having heard: it has agreed to a change. Until it
    hears what became of it, it may serve only as long as it knows the store's word, whatever the settings say
    of one that is cut off."""
    return member.phase is P.AGREED


class Outcome(Enum):
    WAIT = "wait"
    YES = "yes"
    NO = "no"


@dataclass(frozen=True, slots=True)
class Vote:
    """Of one process on one change: bound to both by id and digest."""

    change: int
    digest: str
    yes: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Verdict:
    outcome: Outcome
    reason: str = ""
    awaited: tuple[str, ...] = ()


def verdict(
    change: Open,
    force: Force,
    proposed_with: Iterable[str],
    registered: Iterable[str],
    votes: Mapping[str, Vote],
    signed_off: Iterable[str] = (),
    unreached: Iterable[str] = (),
) -> Verdict:
    """`proposed_with`: who was registered at the proposal. `signed_off`: of those, who left in order.
    `unreached`: names that are known and have no process, where that is a reason (`when_cut_off` serve)."""
    there = set(registered)
    if change.epoch != force.epoch + 1:
        return Verdict(Outcome.NO, f"epoch {force.epoch} came first")
    lost = sorted(set(proposed_with) - there - set(signed_off))
    if lost:
        return Verdict(Outcome.NO, f"lost while it was open: {', '.join(lost)}")
    valid = {
        who: vote
        for who, vote in votes.items()
        if who in there and vote.change == change.id and vote.digest == change.digest
    }
    against = sorted(who for who, vote in valid.items() if not vote.yes)
    if against:
        return Verdict(Outcome.NO, "; ".join(f"{who}: {valid[who].reason}" for who in against))
    missing = sorted(unreached)
    if missing:
        return Verdict(Outcome.NO, f"not reached: {', '.join(missing)}")
    awaited = tuple(sorted(there - valid.keys()))
    if awaited or not there:
        return Verdict(Outcome.WAIT, "", awaited)
    return Verdict(Outcome.YES)
